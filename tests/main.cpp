// main.cpp: runs the tests and prints "N passed, N failed" last.
//
// Usage: winchtests [--only SUITE]... [--skip SUITE]... [--list]
// A suite is the part of a test's name before "Test::". RC_PARAMS sets the seed and the number of cases of the property tests;
// by default both are fixed, so that runs are reproducible.

#include "winchlink.h"

#include <cppunit/Exception.h>
#include <cppunit/SourceLine.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <curl/curl.h>
#include <string>
#include <vector>

namespace
{

struct Selection
{
    std::vector<std::string> Only;
    std::vector<std::string> Skip;
    bool List = false;
};

bool StartsWithAny(const std::string& name, const std::vector<std::string>& prefixes)
{
    for (const std::string& prefix : prefixes)
    {
        if (name.compare(0, prefix.size(), prefix) == 0)
        {
            return true;
        }
    }
    return false;
}

bool IsSelected(const Selection& selection, const std::string& name)
{
    const bool included = selection.Only.empty() || StartsWithAny(name, selection.Only);
    return included && !StartsWithAny(name, selection.Skip);
}

Selection ReadArguments(int argc, char** argv)
{
    Selection selection;
    for (int n = 1; n < argc; n++)
    {
        const std::string argument = argv[n];
        selection.List = selection.List || argument == "--list";
        if (argument == "--only" && n + 1 < argc)
        {
            selection.Only.emplace_back(argv[++n]);
        }
        if (argument == "--skip" && n + 1 < argc)
        {
            selection.Skip.emplace_back(argv[++n]);
        }
    }
    return selection;
}

void Collect(CPPUNIT_NS::Test* test, const Selection& selection, std::vector<CPPUNIT_NS::Test*>* out)
{
    if (test->getChildTestCount() == 0 && IsSelected(selection, test->getName()))
    {
        out->push_back(test);
    }
    for (int n = 0; n < test->getChildTestCount(); n++)
    {
        Collect(test->getChildTestAt(n), selection, out);
    }
}

// Indents each line by two blanks; scripts/test.sh prints all lines that start so.
std::string Indent(const std::string& text)
{
    std::string out = "  ";
    for (const char c : text)
    {
        out += c;
        out += c == '\n' ? "  " : "";
    }
    return out;
}

// Runs one test and returns whether it passed.
bool RunTest(CPPUNIT_NS::Test* test)
{
    CPPUNIT_NS::TestResult result;
    CPPUNIT_NS::TestResultCollector collector;
    result.addListener(&collector);
    test->run(&result);
    for (const CPPUNIT_NS::TestFailure* failure : collector.failures())
    {
        const CPPUNIT_NS::SourceLine line = failure->sourceLine();
        std::printf("FAIL %s\n  %s:%d\n%s\n", test->getName().c_str(), line.fileName().c_str(), line.lineNumber(),
                    Indent(failure->thrownException()->what()).c_str());
    }
    return collector.wasSuccessful();
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    setenv("RC_PARAMS", "seed=20240917 max_success=100", 0);
    if (curl_global_init(CURL_GLOBAL_NOTHING) != CURLE_OK)
    {
        std::printf("libcurl can't start\n0 passed, 1 failed\n");
        return 1;
    }
    const Selection selection = ReadArguments(argc, argv);
    std::vector<CPPUNIT_NS::Test*> tests;
    CPPUNIT_NS::Test* all = CPPUNIT_NS::TestFactoryRegistry::getRegistry().makeTest();
    Collect(all, selection, &tests);
    int passed = 0;
    int failed = 0;
    for (CPPUNIT_NS::Test* test : tests)
    {
        std::printf("%s %s\n", selection.List ? "test" : "run", test->getName().c_str());
        std::fflush(stdout);
        if (!selection.List)
        {
            (RunTest(test) ? passed : failed)++;
        }
    }
    delete all;
    std::printf("%d passed, %d failed\n", passed, failed);
    return failed == 0 ? 0 : 1;
}
