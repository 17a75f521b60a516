// demo.cpp: winchbench demo: three instances, Dakar's rows, an edit, a drain and a kill, and a table of what came of it.
//
// Bounded in time; everything it starts is stopped when it ends.

#include "fleet.h"
#include "load.h"
#include "names.h"
#include "options.h"

#include <csignal>
#include <fmt/format.h>
#include <thread>

namespace Winchlink
{

static constexpr double DemoSeconds = 12;
static constexpr size_t KilledInstance = 2;
static constexpr size_t DrainedTarget = 0;

static LoadPlan DemoLoad(const Fleet& fleet)
{
    LoadPlan plan;
    plan.Entries = FleetEntries(fleet);
    plan.Seconds = DemoSeconds;
    plan.Kinds = {{"counter", "GET", "/counter/renewal", 150, 1000},
                  {"register", "POST", "/register/authorisation", 60, 2000},
                  {"portal", "GET", "/portal/progress", 150, 1000}};
    return plan;
}

// The changes made while the load runs.
static void MakeChanges(Fleet* fleet)
{
    SleepUs(3 * UsPerSecond);
    fmt::print("  3 s  edit: weight of the last portal target set to 0\n");
    for (ServiceRow& row : fleet->Rows.Rows)
    {
        if (row.Name == "portal")
        {
            row.Targets.back().Weight = 0;
        }
    }
    FleetPublish(fleet);
    SleepUs(2 * UsPerSecond);
    fmt::print("  5 s  target {} says that it drains\n", fleet->Targets[DrainedTarget].Process.Address);
    FleetTargetAdmin(*fleet, DrainedTarget, "POST", "/admin/mode?set=drain");
    SleepUs(3 * UsPerSecond);
    fmt::print("  8 s  instance {} is killed\n\n", fleet->Instances[KilledInstance].Process.Address);
    FleetSignalInstance(fleet, KilledInstance, SIGKILL);
    FleetWaitInstance(fleet, KilledInstance);
}

static void PrintCalls(const LoadPlan& plan, const std::vector<LoadRecord>& records)
{
    fmt::print("calls            count    good refused  failed   p50 ms   p99 ms p99.9 ms\n");
    for (size_t n = 0; n < plan.Kinds.size(); n++)
    {
        const LoadSummary s = Summarize(records, static_cast<int>(n));
        fmt::print("{:<14} {:>7} {:>7} {:>7} {:>7} {:>8.2f} {:>8.2f} {:>8.2f}\n", plan.Kinds[n].Name, s.Count, s.Good, s.Refused, s.Failed,
                   s.P50Ms, s.P99Ms, s.P999Ms);
    }
    std::map<int, int> codes;
    for (const LoadRecord& record : records)
    {
        if (record.Code != 0)
        {
            codes[record.Code]++;
        }
    }
    fmt::print("\nrefusals and failures by code ({} kinds):\n", codes.size());
    for (const auto& code : codes)
    {
        fmt::print("  {} {}: {}\n", code.first, FindCode(static_cast<Code_>(code.first)).Name, code.second);
    }
}

static void PrintTargets(const Fleet& fleet)
{
    fmt::print("\ntarget                 row         run  shed  probes  probe ms  most at once  after drain+3s\n");
    for (size_t n = 0; n < fleet.Targets.size(); n++)
    {
        const std::string audit = FleetTargetAdmin(fleet, n, "GET", "/admin/audit");
        fmt::print("{:<22} {:<9} {:>5} {:>5} {:>7} {:>9} {:>13} {:>15}{}\n", fleet.Targets[n].Process.Address, fleet.Targets[n].Row,
                   JsonNumberAt(audit, "run"), JsonNumberAt(audit, "shed"), JsonNumberAt(audit, "probes"),
                   JsonNumberAt(audit, "probeUs") / 1000, JsonNumberAt(audit, "mostWorking"), JsonNumberAt(audit, "afterDrain"),
                   n == DrainedTarget ? "  drained" : "");
    }
}

static void PrintInstances(const Fleet& fleet)
{
    fmt::print("\ninstance               revision  accepted  peers  platform calls  probes  control cpu ms\n");
    for (size_t n = 0; n < fleet.Instances.size(); n++)
    {
        const std::string status = n == KilledInstance ? "" : FleetStatus(fleet, n);
        if (status.empty())
        {
            fmt::print("{:<22} killed\n", fleet.Instances[n].Process.Address);
            continue;
        }
        fmt::print("{:<22} {:>8} {:>9} {:>6} {:>15} {:>7} {:>15}\n", fleet.Instances[n].Process.Address,
                   JsonNumberAt(status, "table.revision"), JsonNumberAt(status, "table.acceptedRevision"),
                   JsonNumberAt(status, "instance.peersSeen"), JsonNumberAt(status, "platform.calls"),
                   JsonNumberAt(status, "measuring.probes"), JsonNumberAt(status, "instance.controlCpuUs") / 1000);
    }
}

static void PrintBudget(const Fleet& fleet, double seconds)
{
    const double spent = static_cast<double>(FleetAuditSum(fleet, "probeUs")) / UsPerMs;
    double budget = 0;
    for (const FleetRow& row : fleet.Plan.Rows)
    {
        budget += row.MeasuringBudgetMs * seconds;
    }
    fmt::print("\nmeasuring: {:.0f} ms of target time spent on probes, of a budget of {:.0f} ms in {:.1f} s\n", spent, budget, seconds);
    fmt::print("requests that may not be repeated and ran twice: {}\n", FleetAuditSum(fleet, "postsRepeated"));
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
    FleetPlan plan;
    plan.DataCentres = 3;
    plan.Rows = DakarRows();
    fmt::print("starting: a platform stand-in, 38 targets, 3 instances in 3 data centres\n");
    const TimeUs start = NowUs();
    if (!FleetStart(&fleet, plan))
    {
        fmt::print("the fleet did not become ready; see the logs with WINCHBENCH_KEEP=1\n");
        return 1;
    }
    fmt::print("ready after {:.1f} s; a load of 360 calls/s runs for {:.0f} s\n", static_cast<double>(NowUs() - start) / UsPerSecond,
               DemoSeconds);
    const LoadPlan load = DemoLoad(fleet);
    std::thread changes([&]() { MakeChanges(&fleet); });
    const std::vector<LoadRecord> records = PlayLoad(load);
    changes.join();
    PrintCalls(load, records);
    PrintTargets(fleet);
    PrintInstances(fleet);
    PrintBudget(fleet, static_cast<double>(NowUs() - start) / UsPerSecond);
    return 0;
}

} // namespace Winchlink
