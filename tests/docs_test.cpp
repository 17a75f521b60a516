// docs_test.cpp: documents and examples agree with the code; settings are checked; services start in order.

#include "check.h"
#include "kernel.h"
#include "settings.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace Winchlink
{

static std::string ReadSource(const std::string& path)
{
    const Result<std::string> content = ReadFile(std::string(WINCHLINK_SOURCE) + "/" + path);
    CPPUNIT_ASSERT_MESSAGE(path, content.has_value());
    return content.value();
}

static const char* GoodSettings = R"({"trafficAddress": "127.0.0.1:1", "controlAddress": "127.0.0.1:2", "operatorAddress": "127.0.0.1:3",
  "platformAddress": "127.0.0.1:4", "dataCentre": "dc1", "number": 0,
  "key": "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f")";

class DocsTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(DocsTest);
    CPPUNIT_TEST(CodesPageAgrees);
    CPPUNIT_TEST(CodesAreInOrder);
    CPPUNIT_TEST(ExamplesAreGood);
    CPPUNIT_TEST(EverySettingIsDocumented);
    CPPUNIT_TEST(SettingsAreChecked);
    CPPUNIT_TEST(ServicesStartInOrderAndStopInReverse);
    CPPUNIT_TEST_SUITE_END();

public:
    void CodesPageAgrees()
    {
        const std::string page = ReadSource("docs/CODES.md");
        size_t rows = 0;
        for (const CodeInfo& info : AllCodes())
        {
            const std::string status = info.HttpStatus == 0 ? "" : std::to_string(info.HttpStatus);
            const std::string row = "| " + std::to_string(info.Code) + " | " + info.Name + " | " + status + " | " + info.Text + " |\n";
            CPPUNIT_ASSERT_MESSAGE(row, page.find(row) != std::string::npos);
        }
        for (size_t at = page.find("\n| "); at != std::string::npos; at = page.find("\n| ", at + 1))
        {
            rows++;
        }
        CPPUNIT_ASSERT_EQUAL(AllCodes().size() + 1, rows); // And the heading: no code on the page that the program has not got.
    }

    void CodesAreInOrder()
    {
        for (size_t n = 1; n < AllCodes().size(); n++)
        {
            CPPUNIT_ASSERT(AllCodes()[n - 1].Code < AllCodes()[n].Code);
        }
    }

    void ExamplesAreGood()
    {
        CPPUNIT_ASSERT(ParseSettings(ReadSource("examples/settings.json")).Faults.empty());
        CPPUNIT_ASSERT(ParseTable(ReadSource("examples/table.json")).Faults.empty());
    }

    void EverySettingIsDocumented()
    {
        const std::string source = ReadSource("daemon/settings.cpp");
        const std::string page = ReadSource("docs/OPERATORS.md");
        int keys = 0;
        for (size_t at = source.find("(r, \""); at != std::string::npos; at = source.find("(r, \"", at + 1))
        {
            const size_t start = at + 5;
            const std::string key = source.substr(start, source.find('"', start) - start);
            CPPUNIT_ASSERT_MESSAGE(key, page.find("`" + key + "`") != std::string::npos);
            keys++;
        }
        CPPUNIT_ASSERT(keys > 15);
    }

    void SettingsAreChecked()
    {
        CPPUNIT_ASSERT(ParseSettings(std::string(GoodSettings) + "}").Faults.empty());
        const CheckedSettings bad =
            ParseSettings(std::string(GoodSettings) + R"(, "numbers": "many", "colour": 1, "bodyMaxBytes": 0, "peers": ["x"],
            "logLevel": "loud", "previousKey": "abc"})");
        CPPUNIT_ASSERT(HasFault(bad.Faults, Code_SettingsWrongType, "numbers"));
        CPPUNIT_ASSERT(HasFault(bad.Faults, Code_SettingsUnknownKey, "colour"));
        CPPUNIT_ASSERT(HasFault(bad.Faults, Code_SettingsOutOfRange, "bodyMaxBytes"));
        CPPUNIT_ASSERT(HasFault(bad.Faults, Code_SettingsOutOfRange, "peers[0]"));
        CPPUNIT_ASSERT(HasFault(bad.Faults, Code_SettingsOutOfRange, "logLevel"));
        CPPUNIT_ASSERT(HasFault(bad.Faults, Code_SettingsOutOfRange, "previousKey"));
        CPPUNIT_ASSERT(HasFault(ParseSettings("{}").Faults, Code_SettingsMissingKey, "trafficAddress"));
        CPPUNIT_ASSERT_EQUAL(int(Code_SettingsNotJson), int(ParseSettings("{").Faults.at(0).Code));
        CPPUNIT_ASSERT_EQUAL(int(Code_SettingsUnreadable), int(ReadFile("/does/not/exist").error().Code));
    }

    void ServicesStartInOrderAndStopInReverse()
    {
        std::string trace;
        Kernel kernel;
        int one = 1;
        int two = 2;
        bool fail = false;
        auto good = [&](const char* name)
        {
            return [&trace, name]()
            {
                trace += name;
                return Result<void>(BOOST_OUTCOME_V2_NAMESPACE::success());
            };
        };
        KernelRegister(&kernel, "one", &one, good("+1"), [&]() { trace += "-1"; });
        KernelRegister(&kernel, "two", &two, good("+2"), [&]() { trace += "-2"; });
        KernelRegister(
            &kernel, "three", &fail,
            [&]() {
                return fail ? Result<void>(Error{Code_ListenFailed, ""}) : Result<void>(BOOST_OUTCOME_V2_NAMESPACE::success());
            },
            [&]() { trace += "-3"; });
        CPPUNIT_ASSERT(KernelStart(&kernel).has_value());
        CPPUNIT_ASSERT_EQUAL(2, *KernelFind<int>(kernel, "two"));
        KernelStop(&kernel);
        CPPUNIT_ASSERT_EQUAL(std::string("+1+2-3-2-1"), trace);
        trace.clear();
        fail = true;
        CPPUNIT_ASSERT(!KernelStart(&kernel).has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("+1+2-2-1"), trace);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocsTest);

} // namespace Winchlink
