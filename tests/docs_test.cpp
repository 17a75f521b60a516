// docs_test.cpp: checks that documents, examples and deploy/days agree with the code, and that invalid settings are rejected.

#include "check.h"
#include "settings.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <toml++/toml.h>

namespace Winchlink
{

static std::string ReadSource(const std::string& path)
{
    const Result<std::string> content = ReadFile(std::string(WINCHLINK_SOURCE) + "/" + path);
    CPPUNIT_ASSERT_MESSAGE(path, content.has_value());
    return content.value();
}

static const char* GoodSettings = R"({"instance": "i", "dataCentre": "dc1", "callerAddress": "127.0.0.1:1", "readyAddress": "127.0.0.1:2",
  "storeAddress": "127.0.0.1:3")";

class DocsTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(DocsTest);
    CPPUNIT_TEST(CodesPageMatchesTheCode);
    CPPUNIT_TEST(CodesAreInOrder);
    CPPUNIT_TEST(ExamplesAreValid);
    CPPUNIT_TEST(EverySettingIsDocumented);
    CPPUNIT_TEST(EveryKeyOfTheTableIsDocumented);
    CPPUNIT_TEST(InvalidSettingsAreRejected);
    CPPUNIT_TEST(AShareOfRetriesIsBetweenNoneAndAll);
    CPPUNIT_TEST(DayFilesAreValid);
    CPPUNIT_TEST_SUITE_END();

public:
    void CodesPageMatchesTheCode()
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
        CPPUNIT_ASSERT_EQUAL(AllCodes().size() + 1, rows); // One more for the heading: the page has no other codes.
    }

    void CodesAreInOrder()
    {
        for (size_t n = 1; n < AllCodes().size(); n++)
        {
            CPPUNIT_ASSERT(AllCodes()[n - 1].Code < AllCodes()[n].Code);
        }
    }

    void ExamplesAreValid()
    {
        const CheckedSettings settings = ParseSettings(ReadSource("examples/settings.json"));
        CPPUNIT_ASSERT(settings.Faults.empty());
        CPPUNIT_ASSERT_EQUAL(1000.0, settings.Value.LinkMbps);
        CPPUNIT_ASSERT(ParseTable(ReadSource("examples/table.json")).Faults.empty());
        const CheckedTable evacuated = ParseTable(ReadSource("examples/table-evacuated.json"));
        CPPUNIT_ASSERT(evacuated.Faults.empty());
        CPPUNIT_ASSERT_EQUAL(size_t{1}, evacuated.Value.Evacuated.size());
    }

    // Checks that docs/OPERATORS.md mentions every key that follows `mark` in the source file. Returns the number of keys.
    static int CheckKeys(const std::string& file, const std::string& mark)
    {
        const std::string source = ReadSource(file);
        const std::string page = ReadSource("docs/OPERATORS.md");
        int keys = 0;
        for (size_t at = source.find(mark); at != std::string::npos; at = source.find(mark, at + 1))
        {
            const size_t start = at + mark.size();
            const std::string key = source.substr(start, source.find('"', start) - start);
            CPPUNIT_ASSERT_MESSAGE(key, page.find("`" + key + "`") != std::string::npos);
            keys++;
        }
        return keys;
    }

    void EverySettingIsDocumented()
    {
        CPPUNIT_ASSERT(CheckKeys("gateway/settings.cpp", "(r, \"") > 10);
    }

    void EveryKeyOfTheTableIsDocumented()
    {
        CPPUNIT_ASSERT(CheckKeys("winchlink_document.cpp", "(&r, \"") > 15);
    }

    void InvalidSettingsAreRejected()
    {
        CPPUNIT_ASSERT(ParseSettings(std::string(GoodSettings) + "}").Faults.empty());
        const CheckedSettings bad =
            ParseSettings(std::string(GoodSettings) + R"(, "descriptorsMost": "many", "colour": 1, "graceS": -1, "peers": ["x"],
            "logLevel": "loud", "repeatShare": 2, "firstTryShare": 1.1, "metricsAddress": "here"})");
        CPPUNIT_ASSERT(HasFault(bad.Faults, Code_SettingsWrongType, "descriptorsMost"));
        CPPUNIT_ASSERT(HasFault(bad.Faults, Code_SettingsUnknownKey, "colour"));
        CPPUNIT_ASSERT(HasFault(bad.Faults, Code_SettingsOutOfRange, "graceS"));
        CPPUNIT_ASSERT(HasFault(bad.Faults, Code_SettingsOutOfRange, "peers[0]"));
        CPPUNIT_ASSERT(HasFault(bad.Faults, Code_SettingsOutOfRange, "logLevel"));
        CPPUNIT_ASSERT(HasFault(bad.Faults, Code_SettingsOutOfRange, "repeatShare"));
        CPPUNIT_ASSERT(HasFault(bad.Faults, Code_SettingsOutOfRange, "firstTryShare"));
        CPPUNIT_ASSERT(HasFault(bad.Faults, Code_SettingsOutOfRange, "metricsAddress"));
        CPPUNIT_ASSERT(HasFault(ParseSettings("{}").Faults, Code_SettingsMissingKey, "callerAddress"));
        CPPUNIT_ASSERT_EQUAL(int(Code_SettingsNotJson), int(ParseSettings("{").Faults.at(0).Code));
        CPPUNIT_ASSERT_EQUAL(int(Code_SettingsUnreadable), int(ReadFile("/does/not/exist").error().Code));
    }

    static CheckedSettings WithFirstTryShare(const std::string& value)
    {
        return ParseSettings(std::string(GoodSettings) + R"(, "firstTryShare": )" + value + "}");
    }

    void AShareOfRetriesIsBetweenNoneAndAll()
    {
        CPPUNIT_ASSERT_EQUAL(0.25, ParseSettings(std::string(GoodSettings) + "}").Value.FirstTryShare);
        CPPUNIT_ASSERT_EQUAL(0.0, WithFirstTryShare("0").Value.FirstTryShare);
        CPPUNIT_ASSERT_EQUAL(1.0, WithFirstTryShare("1").Value.FirstTryShare);
        CPPUNIT_ASSERT(WithFirstTryShare("0").Faults.empty());
        CPPUNIT_ASSERT(WithFirstTryShare("1").Faults.empty());
        CPPUNIT_ASSERT(HasFault(WithFirstTryShare("-0.01").Faults, Code_SettingsOutOfRange, "firstTryShare"));
        CPPUNIT_ASSERT(HasFault(WithFirstTryShare("1.01").Faults, Code_SettingsOutOfRange, "firstTryShare"));
        CPPUNIT_ASSERT(HasFault(WithFirstTryShare("\"all\"").Faults, Code_SettingsWrongType, "firstTryShare"));
    }

    static void CheckDisruption(const std::string& file, const toml::node& node)
    {
        static const std::set<std::string> numbers = {"at", "for_s", "share", "count", "x", "gap_s"};
        static const std::set<std::string> texts = {"kind", "how", "on", "zone", "service", "class"};
        CPPUNIT_ASSERT_MESSAGE(file, node.is_table());
        const toml::table& disruption = *node.as_table();
        CPPUNIT_ASSERT_MESSAGE(file, disruption.contains("at") && disruption.contains("kind"));
        for (const auto& [key, value] : disruption)
        {
            const std::string name(key.str());
            const bool good = (numbers.count(name) > 0 && value.is_number()) || (texts.count(name) > 0 && value.is_string());
            CPPUNIT_ASSERT_MESSAGE(std::string(file).append(": ").append(name), good);
        }
    }

    // The files in deploy/days are TOML with a first comment line, and list planned work and faults in order of time.
    void DayFilesAreValid()
    {
        size_t files = 0;
        for (const auto& entry : std::filesystem::directory_iterator(std::string(WINCHLINK_SOURCE) + "/deploy/days"))
        {
            const std::string file = entry.path().filename().string();
            const std::string text = ReadSource("deploy/days/" + file);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(file, size_t{0}, text.find("# Tries: "));
            const toml::table day = toml::parse(text);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(file, entry.path().stem().string(), day["name"].value_or(std::string()));
            for (const char* list : {"plan", "faults"})
            {
                CPPUNIT_ASSERT_MESSAGE(file, day[list].is_array());
                double before = 0;
                for (const toml::node& node : *day[list].as_array())
                {
                    CheckDisruption(file, node);
                    const double at = node.as_table()->at("at").value_or(-1.0);
                    CPPUNIT_ASSERT_MESSAGE(file + ": out of order", at >= before);
                    before = at;
                }
            }
            files++;
        }
        CPPUNIT_ASSERT(files >= 8);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocsTest);

} // namespace Winchlink
