// demo.cpp: winchbench demo: runs three instances under load for ten seconds, takes a target out of service, kills an instance, and prints
// the results.
//
// All processes that it starts are ended before it returns.

#include "bench.h"
#include "clock.h"
#include "fleet.h"
#include "options.h"

#include <fmt/format.h>

namespace Winchlink
{

static constexpr TimeUs DemoUs = 10 * UsPerSecond;
static constexpr size_t KilledInstance = 2;
static constexpr size_t RemovedTarget = 0;

static const std::vector<LoadKind>& DemoLoad()
{
    static const std::vector<LoadKind> kinds = {
        {"counter", "GET", 150, 1000}, {"register", "POST", 60, 2000}, {"portal", "GET", 150, 1000}};
    return kinds;
}

static FleetPlan DemoPlan()
{
    FleetPlan plan;
    plan.DataCentres = 3;
    plan.Rows = {{"counter", Class_Critical, 10}, {"register", Class_Critical, 8}, {"portal", Class_Normal, 20}};
    return plan;
}

static void RemoveTarget(Fleet* fleet)
{
    const FleetTarget& target = *fleet->Targets[RemovedTarget];
    fmt::print("  4 s  edit: target {} of {} gets the weight 0\n", target.Part.Address, target.Row);
    fleet->Rows[target.Row].Targets[0].Weight = 0;
    FleetPublish(fleet, target.Row);
}

static void PrintCalls(const std::vector<LoadRecord>& records)
{
    fmt::print("\ncalls            count    good refused  failed   p50 ms   p99 ms p99.9 ms\n");
    for (size_t n = 0; n < DemoLoad().size(); n++)
    {
        const LoadSummary s = Summarize(records, DemoLoad(), static_cast<int>(n));
        fmt::print("{:<14} {:>7} {:>7} {:>7} {:>7} {:>8.2f} {:>8.2f} {:>8.2f}\n", DemoLoad()[n].Row, s.Count, s.Good, s.Refused, s.Failed,
                   s.P50Ms, s.P99Ms, s.P999Ms);
    }
    std::map<int, int> codes;
    for (const LoadRecord& record : records)
    {
        codes[record.Code] += record.Code != 0 ? 1 : 0;
    }
    for (const auto& code : codes)
    {
        if (code.first != 0)
        {
            fmt::print("  code {} {}: {}\n", code.first, FindCode(static_cast<Code_>(code.first)).Name, code.second);
        }
    }
}

// Returns the number of non-retryable requests that ran more than once.
static int CountRerunWrites(const Fleet& fleet)
{
    std::map<std::string, int> runs;
    for (const auto& target : fleet.Targets)
    {
        for (const ReceivedRequest& saw : target->Part.Saw)
        {
            runs[saw.Id] += saw.Method == "POST" && saw.Run ? 1 : 0;
        }
    }
    int reruns = 0;
    for (const auto& run : runs)
    {
        reruns += run.second > 1 ? 1 : 0;
    }
    return reruns;
}

// `saw_before`: number of requests that the removed target had received two seconds after the edit.
static void PrintFleet(Fleet* fleet, size_t saw_before)
{
    const size_t later = fleet->Targets[RemovedTarget]->Part.Saw.size() - saw_before;
    fmt::print("\nnon-retryable requests that ran more than once: {}\n", CountRerunWrites(*fleet));
    fmt::print("requests to the removed target later than 2 s after the edit: {}\n", later);
    fmt::print("calls to the table store: {}\n\ninstance                plan     probes  connections opened\n", fleet->Store.Calls);
    for (size_t n = 0; n < fleet->Instances.size(); n++)
    {
        const FleetInstance& instance = fleet->Instances[n];
        if (instance.Pid < 0)
        {
            fmt::print("{:<22} killed\n", instance.Callers);
            continue;
        }
        fmt::print("{:<22} {:>5} {:>10} {:>19}\n", instance.Callers, FleetMetric(fleet, n, "winchlink_plan_version"),
                   FleetMetric(fleet, n, "winchlink_load_questions"), FleetMetric(fleet, n, "winchlink_target_connections_opened"));
    }
}

int RunDemo(int argc, const char** argv)
{
    const poptOption table[] = {OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchbench demo", argc, argv, table, "");
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    Fleet fleet;
    fmt::print("starting: the table store, 38 targets, 3 instances in 3 data centres\n");
    const TimeUs start = NowUs();
    if (!FleetStart(&fleet, DemoPlan()))
    {
        return 1;
    }
    fmt::print("ready after {:.1f} s; a load of 360 calls/s runs for {} s\n", static_cast<double>(NowUs() - start) / UsPerSecond,
               DemoUs / UsPerSecond);
    size_t saw_before = 0;
    const Timer edit = TimerStart(&fleet.Loop, 4 * UsPerSecond, [&]() { RemoveTarget(&fleet); });
    const Timer count = TimerStart(&fleet.Loop, 6 * UsPerSecond, [&]() { saw_before = fleet.Targets[RemovedTarget]->Part.Saw.size(); });
    const Timer kill = TimerStart(&fleet.Loop, 8 * UsPerSecond,
                                  [&]()
                                  {
                                      fmt::print("  8 s  instance {} is killed\n", fleet.Instances[KilledInstance].Callers);
                                      FleetKillInstance(&fleet, KilledInstance);
                                  });
    const std::vector<LoadRecord> records = FleetRunLoad(&fleet, FleetEntries(fleet), DemoLoad(), DemoUs, 1);
    PrintCalls(records);
    PrintFleet(&fleet, saw_before);
    return 0;
}

} // namespace Winchlink
