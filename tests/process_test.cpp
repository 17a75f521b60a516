// process_test.cpp: real processes: a planned stop, a kill, a pause, a cut, a roll of the fleet, all under load.
//
// The audit is the target stand-ins': they count each request id that they ran. Times are bounds of waiting, never verdicts.

#include "check.h"
#include "fleet.h"
#include "load.h"
#include "names.h"
#include "raw_target.h"

#include <csignal>
#include <set>
#include <thread>

namespace Winchlink
{

static FleetPlan SmallPlan(int instances)
{
    FleetPlan plan;
    plan.Instances = instances;
    FleetRow row;
    row.Name = "x";
    row.PathPrefix = "/x";
    row.Targets = 4;
    row.ServiceUs = 4000;
    row.MeasuringBudgetMs = 60;
    plan.Rows = {row};
    return plan;
}

static LoadPlan SmallLoad(const Fleet& fleet, double seconds)
{
    LoadPlan plan;
    plan.Entries = FleetEntries(fleet);
    plan.Seconds = seconds;
    plan.Workers = 48;
    plan.Kinds = {{"reads", "GET", "/x/a", 60, 5000}, {"writes", "POST", "/x/b", 60, 5000}};
    return plan;
}

// What must hold of every run: nothing that may not be repeated ran twice, what was told as not run was not, answers are their own.
static void CheckRecords(const Fleet& fleet, const std::vector<LoadRecord>& records)
{
    const std::set<std::string> ids = FleetRunIds(fleet);
    CPPUNIT_ASSERT_EQUAL(int64_t(0), FleetAuditSum(fleet, "postsRepeated"));
    for (const LoadRecord& record : records)
    {
        CPPUNIT_ASSERT_MESSAGE(record.Id, !record.Wrong);
        CPPUNIT_ASSERT_MESSAGE(record.Id, !record.NotRun || ids.count(record.Id) == 0);
        CPPUNIT_ASSERT_MESSAGE(record.Id, record.Status != 200 || ids.count(record.Id) == 1);
    }
}

class ProcessTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(ProcessTest);
    CPPUNIT_TEST(RollOfTheFleetCutsNothing);
    CPPUNIT_TEST(FindsCutRequests);
    CPPUNIT_TEST(FindsForeignAnswers);
    CPPUNIT_TEST(KilledAndPausedInstances);
    CPPUNIT_TEST(RowLimitHoldsOverTheFleet);
    CPPUNIT_TEST(FindsALimitThatDoesNotHold);
    CPPUNIT_TEST(CutAndHeal);
    CPPUNIT_TEST(DrainingTargetAndBudget);
    CPPUNIT_TEST(SecondSignalEndsAtOnce);
    CPPUNIT_TEST(BadStartsSayWhy);
    CPPUNIT_TEST_SUITE_END();

public:
    void RollOfTheFleetCutsNothing()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(FleetStart(&fleet, SmallPlan(3)));
        std::vector<int> exits;
        std::thread roll(
            [&]()
            {
                SleepUs(500 * UsPerMs);
                for (size_t n = 0; n < 3; n++)
                {
                    FleetSignalInstance(&fleet, n, SIGTERM);
                    exits.push_back(FleetWaitInstance(&fleet, n));
                    FleetStartInstance(&fleet, n);
                    WaitFor(30 * UsPerSecond, [&]() { return FleetIsReady(fleet, n); });
                }
            });
        const std::vector<LoadRecord> records = PlayLoad(SmallLoad(fleet, 14));
        roll.join();
        for (const int code : exits)
        {
            CPPUNIT_ASSERT_EQUAL(0, code);
        }
        CheckRecords(fleet, records);
        for (const LoadRecord& record : records)
        {
            // Nothing cut, and nothing refused for the stop's sake. (A fresh instance refuses until it has its table: the platform's
            // balancer asks /ready, the load does not.)
            const bool fine = record.Status == 200 || record.Code == Code_NoTable || record.Code == Code_InstanceLeaving;
            const std::string seen = record.Id + " status " + std::to_string(record.Status) + " code " + std::to_string(record.Code);
            CPPUNIT_ASSERT_MESSAGE(seen + " " + record.Failure + " at " + std::to_string(record.PlannedUs) + " us", fine);
        }
    }

    // Planted: the stop of the roll above is a kill. With answers that take 200 ms some are always in progress, and the load sees them cut.
    void FindsCutRequests()
    {
        FleetPlan plan = SmallPlan(1);
        plan.Rows[0].ServiceUs = 200 * 1000;
        Fleet fleet;
        CPPUNIT_ASSERT(FleetStart(&fleet, plan));
        std::thread killer(
            [&]()
            {
                SleepUs(1500 * UsPerMs);
                FleetSignalInstance(&fleet, 0, SIGKILL);
                FleetWaitInstance(&fleet, 0);
            });
        LoadPlan load = SmallLoad(fleet, 2);
        load.Kinds = {{"writes", "POST", "/x/b", 40, 5000}};
        const std::vector<LoadRecord> records = PlayLoad(load);
        killer.join();
        const auto is_cut = [](const LoadRecord& record)
        {
            return record.Status == 0 && !record.NotConnected;
        };
        CPPUNIT_ASSERT(std::any_of(records.begin(), records.end(), is_cut));
    }

    // Planted: something that answers every call alike. The load knows what the answer to each call must be.
    void FindsForeignAnswers()
    {
        const RawTarget target;
        LoadPlan load;
        load.Entries = {target.Address};
        load.Seconds = 0.5;
        load.Workers = 4;
        load.Kinds = {{"reads", "GET", "/x", 40, 1000}};
        const std::vector<LoadRecord> records = PlayLoad(load);
        CPPUNIT_ASSERT(!records.empty());
        CPPUNIT_ASSERT(std::all_of(records.begin(), records.end(), [](const LoadRecord& record) { return record.Wrong; }));
    }

    void KilledAndPausedInstances()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(FleetStart(&fleet, SmallPlan(4)));
        std::thread faults(
            [&]()
            {
                SleepUs(500 * UsPerMs);
                FleetSignalInstance(&fleet, 1, SIGSTOP);
                SleepUs(500 * UsPerMs);
                FleetSignalInstance(&fleet, 2, SIGKILL);
                FleetWaitInstance(&fleet, 2);
                SleepUs(2 * UsPerSecond);
                FleetSignalInstance(&fleet, 1, SIGCONT);
                FleetStartInstance(&fleet, 2);
            });
        const std::vector<LoadRecord> records = PlayLoad(SmallLoad(fleet, 6));
        faults.join();
        CheckRecords(fleet, records);
        CPPUNIT_ASSERT(WaitFor(20 * UsPerSecond, [&]() { return FleetIsReady(fleet, 1) && FleetIsReady(fleet, 2); }));
        CPPUNIT_ASSERT(JsonNumberAt(FleetStatus(fleet, 1), "instance.pauses") >= 1);
    }

    // The most requests that the row's only target ever had at once, under more load than the limit lets through; one instance is killed
    // and replaced meanwhile.
    static int64_t MostBusyWithLimit(int max_concurrent, std::vector<LoadRecord>* records)
    {
        FleetPlan plan = SmallPlan(3);
        plan.Rows[0].Targets = 1;
        plan.Rows[0].ServiceUs = 20 * 1000;
        plan.Rows[0].MeasuringBudgetMs = 0;
        plan.Rows[0].MaxConcurrent = max_concurrent;
        Fleet fleet;
        CPPUNIT_ASSERT(FleetStart(&fleet, plan));
        std::thread killer(
            [&]()
            {
                SleepUs(UsPerSecond);
                FleetSignalInstance(&fleet, 0, SIGKILL);
                FleetWaitInstance(&fleet, 0);
                FleetStartInstance(&fleet, 0);
            });
        LoadPlan load = SmallLoad(fleet, 3);
        load.Kinds = {{"writes", "POST", "/x/b", 400, 1000}};
        *records = PlayLoad(load);
        killer.join();
        CheckRecords(fleet, *records);
        return FleetAuditSum(fleet, "mostBusy");
    }

    void RowLimitHoldsOverTheFleet()
    {
        std::vector<LoadRecord> records;
        const int64_t most = MostBusyWithLimit(4, &records);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most >= 2 && most <= 4);
        const auto limited = [](const LoadRecord& record)
        {
            return record.NotRun && record.Code == Code_RowLimit;
        };
        CPPUNIT_ASSERT(std::any_of(records.begin(), records.end(), limited));
    }

    // Planted: the table names a higher limit.
    void FindsALimitThatDoesNotHold()
    {
        std::vector<LoadRecord> records;
        CPPUNIT_ASSERT(MostBusyWithLimit(40, &records) > 4);
    }

    void CutAndHeal()
    {
        Fleet fleet;
        FleetPlan plan = SmallPlan(4);
        plan.UseRelay = true;
        CPPUNIT_ASSERT(FleetStart(&fleet, plan));
        CPPUNIT_ASSERT(WaitFor(20 * UsPerSecond, [&]() { return FleetCountAtRevision(fleet, 1) == 4; }));
        const auto relay = [&](const std::string& path)
        {
            HttpOnce({"POST", fleet.Relay.Address, path, "", {}, 5000});
        };
        relay("/admin/faults?lose=20&twice=20&delayMs=30");
        relay("/admin/cut?groups=AABB");
        FleetPublish(&fleet);
        // Both sides have readers of their own, so both learn it from the platform.
        CPPUNIT_ASSERT(WaitFor(40 * UsPerSecond, [&]() { return FleetCountAtRevision(fleet, 2) == 4; }));
        FleetPlatformAdmin(fleet, "POST", "/admin/mode?mode=down", "");
        relay("/admin/cut?groups=");
        FleetPlatformAdmin(fleet, "POST", "/admin/mode?mode=ok", "");
        FleetPublish(&fleet);
        CPPUNIT_ASSERT(WaitFor(40 * UsPerSecond, [&]() { return FleetCountAtRevision(fleet, 3) == 4; }));
        CheckRecords(fleet, PlayLoad(SmallLoad(fleet, 1)));
    }

    void DrainingTargetAndBudget()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(FleetStart(&fleet, SmallPlan(3)));
        const TimeUs start = NowUs();
        std::thread drain(
            [&]()
            {
                SleepUs(UsPerSecond);
                FleetTargetAdmin(fleet, 0, "POST", "/admin/mode?set=drain");
            });
        const std::vector<LoadRecord> records = PlayLoad(SmallLoad(fleet, 6));
        drain.join();
        CheckRecords(fleet, records);
        CPPUNIT_ASSERT_EQUAL(int64_t(0), FleetAuditSum(fleet, "afterDrain"));
        const int64_t spent = FleetAuditSum(fleet, "probeUs");
        const int64_t turn_us = 100 * UsPerMs;                  // 6 ms of 60 ms a second.
        const int64_t turns = (NowUs() - start) / turn_us + 40; // And the time that the start took.
        CPPUNIT_ASSERT(spent > 0);
        CPPUNIT_ASSERT(spent <= turns * 6000);
    }

    void SecondSignalEndsAtOnce()
    {
        Fleet fleet;
        FleetPlan plan = SmallPlan(1);
        plan.Rows[0].ServiceUs = 20 * 1000 * 1000;
        plan.Rows[0].DeadlineMs = 60000;
        CPPUNIT_ASSERT(FleetStart(&fleet, plan));
        std::thread caller([&]() { HttpOnce({"POST", fleet.Instances[0].Process.Address, "/x", "a", {}, 60000}); });
        CPPUNIT_ASSERT(WaitFor(10 * UsPerSecond, [&]() { return JsonNumberAt(FleetStatus(fleet, 0), "instance.inProgress") == 1; }));
        FleetSignalInstance(&fleet, 0, SIGTERM);
        CPPUNIT_ASSERT(WaitFor(10 * UsPerSecond, [&]() { return !FleetIsReady(fleet, 0); }));
        FleetSignalInstance(&fleet, 0, SIGTERM);
        CPPUNIT_ASSERT_EQUAL(4, FleetWaitInstance(&fleet, 0));
        caller.join();
    }

    void BadStartsSayWhy()
    {
        const std::string program = OwnFolder() + "/winchlink";
        const auto exit_of = [&](const std::vector<std::string>& arguments)
        {
            std::vector<std::string> command = {program};
            command.insert(command.end(), arguments.begin(), arguments.end());
            Fleet fleet;
            fleet.Instances.emplace_back();
            fleet.Instances[0].Process.Pid = StartProcess(command, "/dev/null", {});
            return FleetWaitInstance(&fleet, 0);
        };
        const std::string source = WINCHLINK_SOURCE;
        CPPUNIT_ASSERT_EQUAL(2, exit_of({"serve"}));
        CPPUNIT_ASSERT_EQUAL(2, exit_of({"serve", "--settings", "/does/not/exist"}));
        CPPUNIT_ASSERT_EQUAL(2, exit_of({"serve", "--colour"}));
        CPPUNIT_ASSERT_EQUAL(2, exit_of({"fly"}));
        CPPUNIT_ASSERT_EQUAL(0, exit_of({"--version"}));
        CPPUNIT_ASSERT_EQUAL(0, exit_of({"check", source + "/examples/table.json", source + "/examples/settings.json"}));
        CPPUNIT_ASSERT_EQUAL(1, exit_of({"check", source + "/tests/bad_table.json"}));
        CPPUNIT_ASSERT_EQUAL(2, exit_of({"status", "127.0.0.1:" + std::to_string(FreePort("127.0.0.1"))}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessTest);

} // namespace Winchlink
