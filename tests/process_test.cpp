// process_test.cpp: runs the program as separate processes. Guards against requests lost in a rolling restart, a second stop signal without
// effect, and wrong exit codes and error messages.

#include "check.h"
#include "clock.h"
#include "fleet.h"
#include "soak.h"

#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <sys/wait.h>

namespace Winchlink
{

static SoakPlan RollPlan(SoakFaults_ faults)
{
    SoakPlan plan;
    plan.Program = WINCHLINK_PROGRAM;
    plan.Faults = faults;
    plan.Seed = 5;
    plan.Seconds = 10;
    plan.Instances = 3;
    return plan;
}

static bool ContainsText(const std::vector<std::string>& broken, const std::string& what)
{
    return std::any_of(broken.begin(), broken.end(), [&](const std::string& line) { return line.find(what) != std::string::npos; });
}

// Waits until a process ends and returns its wait status. After a timeout the process is killed, which the status shows.
static int AwaitExit(pid_t pid)
{
    constexpr TimeUs timeout = 30 * UsPerSecond; // Longer than any command here takes.
    constexpr useconds_t poll_interval = 10000;
    const TimeUs until = NowUs() + timeout;
    int status = 0;
    while (waitpid(pid, &status, WNOHANG) == 0)
    {
        if (NowUs() > until)
        {
            kill(pid, SIGKILL);
        }
        usleep(poll_interval);
    }
    return status;
}

// Exit code and output of a finished command.
struct CommandResult
{
    int Code = -1;
    std::string Output;
};

static CommandResult RunCommand(const std::vector<std::string>& arguments)
{
    const std::string log = MakeFolder("winchlink-test") + "/output";
    std::vector<std::string> command = {WINCHLINK_PROGRAM};
    command.insert(command.end(), arguments.begin(), arguments.end());
    const pid_t pid = StartProcess(command, log, {});
    CPPUNIT_ASSERT(pid > 0);
    const int status = AwaitExit(pid);
    std::ifstream file(log);
    std::string output((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, output};
}

static std::string WriteFile(const std::string& text)
{
    std::string path = MakeFolder("winchlink-test") + "/settings.json";
    std::ofstream(path) << text;
    return path;
}

class ProcessTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(ProcessTest);
    CPPUNIT_TEST(RollingRestartLosesNoRequests);
    CPPUNIT_TEST(AuditFindsLostRequests);
    CPPUNIT_TEST(SecondSignalStopsImmediately);
    CPPUNIT_TEST(FailedStartsReportTheError);
    CPPUNIT_TEST(StatusAndCheckReturnExitCodes);
    CPPUNIT_TEST_SUITE_END();

    void RollingRestartLosesNoRequests()
    {
        const std::optional<SoakResult> result = PlaySoak(RollPlan(SoakFaults_Roll));
        CPPUNIT_ASSERT(result.has_value());
        CPPUNIT_ASSERT(result->Drawn.at("stop") >= 2);
        CPPUNIT_ASSERT(result->Log.Requests.size() > 1000);
        const std::vector<std::string> broken = AuditSoak(result->Log, SoakBounds());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.empty() ? "" : broken[0], size_t{0}, broken.size());
    }

    // Kills instances where the log says that they were stopped, to show that the audit detects lost requests.
    void AuditFindsLostRequests()
    {
        const std::optional<SoakResult> result = PlaySoak(RollPlan(SoakFaults_KilledRoll));
        CPPUNIT_ASSERT(result.has_value());
        CPPUNIT_ASSERT(ContainsText(AuditSoak(result->Log, SoakBounds()), "cut"));
    }

    void SecondSignalStopsImmediately()
    {
        Fleet fleet;
        FleetPlan plan;
        plan.Instances = 1;
        FleetRow row;
        row.Name = "slow";
        row.Targets = 1;
        row.WorkUs = 20 * UsPerSecond;
        row.DeadlineMs = 30000;
        plan.Rows = {row};
        CPPUNIT_ASSERT(FleetStart(&fleet, plan));
        ClientRequest request;
        request.Address = fleet.Instances[0].Callers;
        request.Target = "/slow/x";
        request.TimeoutUs = 30 * UsPerSecond;
        ClientSend(&fleet.Calls, std::move(request), [](const ClientAnswer&) {});
        CPPUNIT_ASSERT(LoopRunUntil(&fleet.Loop, 20 * UsPerSecond, [&]() { return fleet.Targets[0]->Part.Running == 1; }));
        const pid_t pid = fleet.Instances[0].Pid;
        const TimeUs start = NowUs();
        kill(pid, SIGTERM);
        FleetRun(&fleet, 200 * UsPerMs);
        kill(pid, SIGTERM);
        const int status = AwaitExit(pid);
        fleet.Instances[0].Pid = -1;
        CPPUNIT_ASSERT(WIFEXITED(status));
        CPPUNIT_ASSERT_EQUAL(4, WEXITSTATUS(status)); // Stopped with a request in progress.
        CPPUNIT_ASSERT(NowUs() - start < 15 * UsPerSecond);
    }

    void FailedStartsReportTheError()
    {
        const CommandResult missing = RunCommand({"serve", "--settings", "/does/not/exist"});
        CPPUNIT_ASSERT_EQUAL(2, missing.Code);
        CPPUNIT_ASSERT(missing.Output.find("1001") != std::string::npos);
        const std::string wrong = WriteFile(R"({"instance": "i", "colour": 1})");
        const CommandResult unknown = RunCommand({"gateway", "--settings", wrong});
        CPPUNIT_ASSERT_EQUAL(2, unknown.Code);
        CPPUNIT_ASSERT(unknown.Output.find("1003") != std::string::npos && unknown.Output.find("1005") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, RunCommand({"serve", "--check", "--settings", wrong}).Code);
        CPPUNIT_ASSERT_EQUAL(2, RunCommand({"serve"}).Code);
        CPPUNIT_ASSERT_EQUAL(2, RunCommand({"dance"}).Code);
        CPPUNIT_ASSERT_EQUAL(0, RunCommand({"--version"}).Code);
        const std::string taken = FreeLoopback();
        EventLoop loop;
        UsersStore store;
        CPPUNIT_ASSERT(bool(UsersStoreStart(&store, &loop, taken)));
        const std::string settings = WriteFile(
            fmt::format(R"({{"instance": "i", "dataCentre": "dc1", "callerAddress": "{}", "readyAddress": "{}", "storeAddress": "{}"}})",
                        taken, FreeLoopback(), FreeLoopback()));
        CPPUNIT_ASSERT_EQUAL(0, RunCommand({"serve", "--check", "--settings", settings}).Code);
        const CommandResult in_use = RunCommand({"serve", "--settings", settings});
        CPPUNIT_ASSERT_EQUAL(3, in_use.Code);
        CPPUNIT_ASSERT(in_use.Output.find("5001") != std::string::npos);
    }

    void StatusAndCheckReturnExitCodes()
    {
        const std::string nobody = FreeLoopback();
        CPPUNIT_ASSERT_EQUAL(2, RunCommand({"status", nobody}).Code);
        CPPUNIT_ASSERT_EQUAL(2, RunCommand({"status", "nowhere"}).Code);
        const std::string source = WINCHLINK_SOURCE;
        CPPUNIT_ASSERT_EQUAL(0, RunCommand({"check", source + "/examples/table.json", source + "/examples/settings.json"}).Code);
        const CommandResult bad = RunCommand({"check", source + "/tests/bad_table.json"});
        CPPUNIT_ASSERT_EQUAL(1, bad.Code);
        CPPUNIT_ASSERT(bad.Output.find("1109") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessTest);

} // namespace Winchlink
