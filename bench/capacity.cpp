// capacity.cpp: winchbench capacity: measures the figures of docs/CAPACITY.md.
//
// Measures how the cost of one instance grows with the rows of the table, with the number of followers and with the request rate. Memory
// and processor time are read from /proc; the longest event-loop step is read from the instance's metrics.

#include "bench.h"
#include "clock.h"
#include "fleet.h"
#include "options.h"
#include "relay.h"

#include <fmt/format.h>

namespace Winchlink
{

static constexpr int TargetsPerRow = 11;

static constexpr TimeUs SettleUs = 3 * UsPerSecond; // Time for start-up work to finish.

static double CpuShare(int64_t used_us, TimeUs span)
{
    return static_cast<double>(used_us) / static_cast<double>(span) * 100;
}

// Waits for start-up work to finish, then returns the processor use of the idle instance in percent of a core.
static double MeasureIdle(Fleet* fleet)
{
    constexpr TimeUs idle = 5 * UsPerSecond;
    FleetRun(fleet, SettleUs);
    const pid_t pid = fleet->Instances[0].Pid;
    const int64_t from = CpuTimeUs(pid);
    FleetRun(fleet, idle);
    return CpuShare(CpuTimeUs(pid) - from, idle);
}

//-----------------------------------------------------------------------------
// [SECTION] Rows and edits
//-----------------------------------------------------------------------------

// Publishes rows with targets that are never called.
static void PublishRows(Fleet* fleet, int rows)
{
    constexpr int first_port = 1000;
    for (int n = 0; n < rows; n++)
    {
        ServiceRow row;
        row.Name = fmt::format("row-{}", n);
        row.PathPrefix = fmt::format("/row-{}/", n);
        for (int target = 0; target < TargetsPerRow; target++)
        {
            row.Targets.push_back({fmt::format("10.{}.{}.1:{}", n / 250, n % 250, first_port + target), "dc1", 1, 3});
        }
        fleet->Rows[row.Name] = row;
        FleetPublish(fleet, row.Name);
    }
}

static bool MeasureRows(int rows)
{
    constexpr int edits = 40;
    constexpr TimeUs between_edits = 500 * UsPerMs; // Longer than changes are batched, so that each edit is applied separately.
    Fleet fleet;
    FleetPlan plan;
    plan.Instances = 1;
    plan.Rows = {{"plain", Class_Normal, 1}};
    if (!FleetStart(&fleet, plan))
    {
        return false;
    }
    PublishRows(&fleet, rows);
    const double idle_share = MeasureIdle(&fleet);
    const pid_t pid = fleet.Instances[0].Pid;
    const int64_t from = CpuTimeUs(pid);
    for (int n = 0; n < edits; n++)
    {
        ServiceRow& row = fleet.Rows[fmt::format("row-{}", n % rows)];
        row.DeadlineMs++;
        FleetPublish(&fleet, row.Name);
        FleetRun(&fleet, between_edits);
    }
    const double all_ms = static_cast<double>(CpuTimeUs(pid) - from) / UsPerMs;
    const double per_edit_ms = all_ms / edits - idle_share / 100 * between_edits / UsPerMs;
    fmt::print("| {} | {:.1f} | {:.2f} | {:.2f} | {:.1f} | {} |\n", rows, static_cast<double>(ResidentKb(pid)) / 1024, idle_share,
               per_edit_ms, FleetMetric(&fleet, 0, "winchlink_longest_step_us") / UsPerMs,
               FleetMetric(&fleet, 0, "winchlink_plan_version"));
    fflush(stdout);
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Followers
//-----------------------------------------------------------------------------

struct Follower
{
    StoreReader Reader;
    TimeUs LastChangeUs = 0; // Time of the last change received; 0 if none.
};

static void StartFollower(Fleet* fleet, Follower* follower, Client* client, Random* random)
{
    const std::string& address = fleet->Instances[0].Peers;
    const TimeUs timeout = UsPerSecond; // Long poll, its answer, and a page.
    follower->Reader.FromInstance = {RelayDialect({}), timeout, timeout, 0, timeout, timeout};
    follower->Reader.FromStore = follower->Reader.FromInstance; // Not used: the instance is always reachable.
    FollowSetSources(&follower->Reader.Following, "", address, {address}, random);
    follower->Reader.OnAll = [](const StorePage&, uint64_t, TimeUs) {
    };
    follower->Reader.OnChanges = [follower](const std::vector<StoreItem>&, uint64_t, TimeUs)
    {
        follower->LastChangeUs = NowUs();
    };
    follower->Reader.OnStoreFailed = [](const std::string&, TimeUs) {
    };
    follower->Reader.OnAnswered = [](bool) {
    };
    StoreReaderStart(&follower->Reader, &fleet->Loop, client, random);
}

static bool MeasureFollowers(int count)
{
    constexpr int edits = 10;
    Fleet fleet;
    FleetPlan plan;
    plan.Instances = 1;
    plan.Rows = {{"plain", Class_Normal, TargetsPerRow}};
    if (!FleetStart(&fleet, plan))
    {
        return false;
    }
    Client client;
    ClientStart(&client, &fleet.Loop);
    Random random(1);
    std::vector<std::unique_ptr<Follower>> followers;
    for (int n = 0; n < count; n++)
    {
        followers.push_back(std::make_unique<Follower>());
        StartFollower(&fleet, followers.back().get(), &client, &random);
    }
    const double idle_share = MeasureIdle(&fleet);
    std::vector<double> last_ms;
    for (int n = 0; n < edits; n++)
    {
        fleet.Rows["plain"].DeadlineMs++;
        const TimeUs published = NowUs();
        FleetPublish(&fleet, "plain");
        FleetRun(&fleet, UsPerSecond);
        TimeUs last = 0;
        for (const auto& follower : followers)
        {
            last = std::max(last, follower->LastChangeUs);
        }
        last_ms.push_back(static_cast<double>(last - published) / UsPerMs);
    }
    fmt::print("| {} | {:.2f} | {:.1f} | {:.1f} | {:.0f} |\n", count, idle_share,
               static_cast<double>(ResidentKb(fleet.Instances[0].Pid)) / 1024,
               FleetMetric(&fleet, 0, "winchlink_longest_step_us") / UsPerMs, QuantileOf(last_ms, 0.5));
    fflush(stdout);
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

static bool MeasureCalls(bool probes, double rate)
{
    constexpr TimeUs length = 6 * UsPerSecond;
    Fleet fleet;
    FleetPlan plan;
    plan.Instances = 1;
    plan.Rows = {{"plain", Class_Normal, TargetsPerRow, 100, 2 * UsPerMs, 1000, probes}};
    if (!FleetStart(&fleet, plan))
    {
        return false;
    }
    const pid_t pid = fleet.Instances[0].Pid;
    const std::vector<LoadKind> kinds = {{"plain", "GET", rate, 1000}};
    const int64_t from = CpuTimeUs(pid);
    const auto records = FleetRunLoad(&fleet, FleetEntries(fleet), kinds, length, 1);
    const int64_t used = CpuTimeUs(pid) - from;
    const LoadSummary s = Summarize(records, kinds, -1);
    const double probes_per_call = FleetMetric(&fleet, 0, "winchlink_load_questions") / static_cast<double>(s.Count);
    fmt::print("| {} | {:.0f} | {} of {} | {:.1f} | {:.0f} | {:.2f} | {:.2f} | {:.2f} | {:.1f} |\n", probes ? "yes" : "no", rate, s.Good,
               s.Count, CpuShare(used, length), static_cast<double>(used) / static_cast<double>(s.Count), probes_per_call, s.P50Ms, s.P99Ms,
               static_cast<double>(ResidentKb(pid)) / 1024);
    fflush(stdout);
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Command
//-----------------------------------------------------------------------------

int RunCapacity(int argc, const char** argv)
{
    const poptOption table[] = {OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchbench capacity", argc, argv, table, "");
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    bool good = true;
    fmt::print(
        "Rows of {} targets\n\n| rows | resident MB | idle cpu % | cpu ms per edit | longest step ms | plan |\n|---|---|---|---|---|---|\n",
        TargetsPerRow);
    for (const int rows : {10, 150, 300, 600})
    {
        good = good && MeasureRows(rows);
    }
    fmt::print("\nFollowers of one instance\n\n| followers | idle cpu % | resident MB | longest step ms | edit at the last follower, ms |\n"
               "|---|---|---|---|---|\n");
    for (const int followers : {1, 16, 64, 256})
    {
        good = good && MeasureFollowers(followers);
    }
    fmt::print("\nCalls\n\n| probes | calls/s | good | cpu % | cpu us per call | probes per call | p50 ms | p99 ms | resident MB |\n"
               "|---|---|---|---|---|---|---|---|---|\n");
    for (const bool probes : {true, false})
    {
        for (const double rate : {120.0, 500.0, 1500.0})
        {
            good = good && MeasureCalls(probes, rate);
        }
    }
    return good ? 0 : 1;
}

} // namespace Winchlink
