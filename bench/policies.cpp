// policies.cpp: winchbench policies: the product's policy against ordinary ones, the same traces under the same faults, in one run.
//
// For each user and each situation every policy gets a fleet of its own with the same seeds, and the same trace; rounds alternate the
// policies. Printed as Markdown; a data file for the plots is written beside.

#include "fleet.h"
#include "load.h"
#include "options.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <thread>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] What is played
//-----------------------------------------------------------------------------

static constexpr int BenchServiceUs = 30000; // Median; the stand-in's spread and noise make the mean some 38 ms.
static constexpr double MeanServiceUs = 38000;
static constexpr int BenchSlots = 3;
static constexpr int BenchInstances = 16;
static constexpr TimeUs EventAtUs = 1 * UsPerSecond;

enum Situation_ : int
{
    Situation_Steady30,
    Situation_Steady60,
    Situation_Steady80,
    Situation_Steady95,
    Situation_Overload,
    Situation_Slow,
    Situation_FailFast,
    Situation_Lie,
    Situation_Freeze,
    Situation_Drain,
    Situation_Restart,
    Situation_Replace4,
    Situation_ColdRow,
    Situation_Cut,
    Situation_Pause,
    Situation_Idle,
    Situation_Skew,
    Situation_COUNT,
};

struct SituationInfo
{
    const char* Name;
    const char* Text;
    double Load; // Share of all slots.
};

static constexpr SituationInfo Situations[Situation_COUNT] = {
    {"steady30", "30% of slots", 0.3},
    {"steady60", "60% of slots", 0.6},
    {"steady80", "80% of slots", 0.8},
    {"steady95", "95% of slots", 0.95},
    {"overload", "1.5 times the slots", 1.5},
    {"slow", "60%, one target per row 10 times slower", 0.6},
    {"failfast", "60%, one target per row answers 500 at once", 0.6},
    {"lie", "60%, one target per row reports no load", 0.6},
    {"freeze", "60%, all reports frozen", 0.6},
    {"drain", "60%, one target per row drains", 0.6},
    {"restart", "60%, one target per row killed and started anew", 0.6},
    {"replace4", "60%, four instances killed and replaced", 0.6},
    {"coldrow", "60%, all targets of the first row killed and started anew", 0.6},
    {"cut", "60%, half of the data centres' instances don't reach the other half", 0.6},
    {"pause", "60%, one instance stopped for a second", 0.6},
    {"idle", "60%, one target per row 10 times slower, and at once as fast as the others", 0.6},
    {"skew", "60%, all calls come through four instances", 0.6},
};

static const char* const Policies[] = {"winchlink", "roundrobin", "random", "least", "two", "reported"};

struct PlayResult
{
    std::vector<double> P50, P99, P999, P99All, Good, Refused, Failed, ProbesMs; // One per round.
};

struct BenchUser
{
    const char* Name;
    std::vector<FleetRow> Rows;
    int DataCentres;
};

static FleetPlan PlanOf(const BenchUser& user, const std::string& policy, int instances, int seed)
{
    FleetPlan plan;
    plan.Instances = instances;
    plan.DataCentres = user.DataCentres;
    plan.Seed = seed;
    plan.UseRelay = true;
    plan.Rows = user.Rows;
    for (FleetRow& row : plan.Rows)
    {
        row.ServiceUs = BenchServiceUs;
    }
    if (policy != "winchlink")
    {
        plan.Program = "winchlink_baselines";
        plan.Environment = {{"WINCHBENCH_POLICY", policy}};
    }
    return plan;
}

static constexpr size_t SkewEntries = 4;

static LoadPlan LoadOf(const Fleet& fleet, const SituationInfo& situation, int round, double seconds)
{
    LoadPlan plan;
    plan.Entries = FleetEntries(fleet);
    if (&situation == &Situations[Situation_Skew])
    {
        plan.Entries.resize(SkewEntries);
    }
    plan.Seconds = seconds;
    plan.Seed = static_cast<uint64_t>(round) + 1;
    // Enough to keep an open loop: under overload a call lasts up to its deadline.
    plan.Workers = situation.Load > 1 ? 1200 : 400;
    const int deadline_ms = situation.Load > 1 ? 250 : 1000;
    plan.IdPrefix = fmt::format("{}-{}", situation.Name, round);
    for (const FleetRow& row : fleet.Plan.Rows)
    {
        const double rate = row.Targets * BenchSlots * situation.Load * UsPerSecond / MeanServiceUs;
        plan.Kinds.push_back({row.Name, "GET", row.PathPrefix + "/a", rate * 0.8, deadline_ms});
        plan.Kinds.push_back({row.Name, "POST", row.PathPrefix + "/b", rate * 0.2, deadline_ms});
    }
    return plan;
}

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

// The first target of each row.
static std::vector<size_t> FirstTargets(const Fleet& fleet)
{
    std::vector<size_t> first;
    for (size_t n = 0; n < fleet.Targets.size(); n++)
    {
        if (n == 0 || fleet.Targets[n].Row != fleet.Targets[n - 1].Row)
        {
            first.push_back(n);
        }
    }
    return first;
}

static void SetModes(Fleet* fleet, const std::string& mode, bool all)
{
    for (size_t n = 0; all && n < fleet->Targets.size(); n++)
    {
        FleetTargetAdmin(*fleet, n, "POST", "/admin/mode?set=" + mode);
    }
    for (const size_t n : FirstTargets(*fleet))
    {
        FleetTargetAdmin(*fleet, n, "POST", "/admin/mode?set=" + mode);
    }
}

static std::vector<size_t> TargetsOfFirstRow(const Fleet& fleet)
{
    std::vector<size_t> targets;
    for (size_t n = 0; n < fleet.Targets.size() && fleet.Targets[n].Row == fleet.Targets[0].Row; n++)
    {
        targets.push_back(n);
    }
    return targets;
}

static void RestartTargets(Fleet* fleet, const std::vector<size_t>& targets)
{
    for (const size_t n : targets)
    {
        kill(fleet->Targets[n].Process.Pid, SIGKILL);
        FleetReapTarget(fleet, n);
    }
    SleepUs(500 * UsPerMs);
    for (const size_t n : targets)
    {
        FleetStartTarget(fleet, n);
    }
}

// Every other data centre's instances on one side.
static void CutFleet(const Fleet& fleet)
{
    std::string groups;
    for (const FleetInstance& instance : fleet.Instances)
    {
        groups += instance.DataCentre % 2 == 0 ? 'A' : 'B';
    }
    HttpOnce({"POST", fleet.Relay.Address, "/admin/cut?groups=" + groups, "", {}, 5000});
}

static void PauseOne(Fleet* fleet)
{
    FleetSignalInstance(fleet, 0, SIGSTOP);
    SleepUs(UsPerSecond);
    FleetSignalInstance(fleet, 0, SIGCONT);
}

static void ReplaceFour(Fleet* fleet)
{
    for (size_t n = 0; n < 4; n++)
    {
        FleetSignalInstance(fleet, n, SIGKILL);
        FleetWaitInstance(fleet, n);
        FleetStartInstance(fleet, n);
    }
}

static void MakeFault(Fleet* fleet, Situation_ situation)
{
    SleepUs(EventAtUs);
    switch (situation)
    {
    case Situation_Slow:
        SetModes(fleet, "slow&factor=10", false);
        break;
    case Situation_FailFast:
        SetModes(fleet, "fail", false);
        break;
    case Situation_Lie:
        SetModes(fleet, "lie", false);
        break;
    case Situation_Freeze:
        SetModes(fleet, "freeze", true);
        break;
    case Situation_Drain:
        SetModes(fleet, "drain", false);
        break;
    case Situation_Restart:
        RestartTargets(fleet, FirstTargets(*fleet));
        break;
    case Situation_ColdRow:
        RestartTargets(fleet, TargetsOfFirstRow(*fleet));
        break;
    case Situation_Cut:
        CutFleet(*fleet);
        break;
    case Situation_Pause:
        PauseOne(fleet);
        break;
    case Situation_Idle:
        SetModes(fleet, "ok", false);
        break;
    case Situation_Replace4:
        ReplaceFour(fleet);
        break;
    default:
        break;
    }
}

// Undoes the fault, so that the next situation finds the fleet as new.
static void UndoFault(Fleet* fleet, Situation_ situation)
{
    SetModes(fleet, "ok", true);
    if (situation == Situation_Drain)
    {
        RestartTargets(fleet, FirstTargets(*fleet));
    }
    HttpOnce({"POST", fleet->Relay.Address, "/admin/cut?groups=", "", {}, 5000});
    WaitFor(20 * UsPerSecond,
            [&]()
            {
                size_t n = 0;
                while (n < fleet->Instances.size() && FleetIsReady(*fleet, n))
                {
                    n++;
                }
                return n == fleet->Instances.size();
            });
    SleepUs(UsPerSecond);
}

//-----------------------------------------------------------------------------
// [SECTION] Playing
//-----------------------------------------------------------------------------

static void Play(Fleet* fleet, Situation_ situation, int round, double seconds, PlayResult* result)
{
    if (situation == Situation_Idle)
    {
        SetModes(fleet, "slow&factor=10", false); // From before the first call on; the event ends it.
    }
    const int64_t probes_before = FleetAuditSum(*fleet, "probeUs");
    std::thread fault([&]() { MakeFault(fleet, situation); });
    const std::vector<LoadRecord> records = PlayLoad(LoadOf(*fleet, Situations[situation], round, seconds));
    fault.join();
    const int64_t probes_after = FleetAuditSum(*fleet, "probeUs");
    const LoadSummary s = Summarize(records, -1);
    result->P50.push_back(s.P50Ms);
    result->P99.push_back(s.P99Ms);
    result->P999.push_back(s.P999Ms);
    result->P99All.push_back(s.P99AllMs);
    result->Good.push_back(static_cast<double>(s.InTime) / seconds);
    result->Refused.push_back(100.0 * static_cast<double>(s.Refused) / static_cast<double>(std::max<size_t>(s.Count, 1)));
    result->Failed.push_back(100.0 * static_cast<double>(s.Failed) / static_cast<double>(std::max<size_t>(s.Count, 1)));
    result->ProbesMs.push_back(std::max(0.0, static_cast<double>(probes_after - probes_before) / UsPerMs / seconds));
    UndoFault(fleet, situation);
}

static void Print(const BenchUser& user, Situation_ situation, const std::string& policy, const PlayResult& result, std::ofstream* data)
{
    const Spread p50 = SpreadOf(result.P50);
    const Spread p99 = SpreadOf(result.P99);
    const Spread p999 = SpreadOf(result.P999);
    fmt::print("| {} | {} | {:.0f} | {:.0f} ({:.0f} to {:.0f}) | {:.0f} | {:.0f} | {:.0f} | {:.2f} | {:.2f} | {:.0f} |\n",
               Situations[situation].Name, policy, p50.Median, p99.Median, p99.Least, p99.Most, p999.Median, SpreadOf(result.P99All).Median,
               SpreadOf(result.Good).Median, SpreadOf(result.Refused).Median, SpreadOf(result.Failed).Median,
               SpreadOf(result.ProbesMs).Median);
    *data << user.Name << " " << Situations[situation].Name << " " << policy << " " << p50.Median << " " << p99.Median << " " << p99.Least
          << " " << p99.Most << " " << SpreadOf(result.P99All).Median << " " << p999.Median << " " << SpreadOf(result.Good).Median << "\n";
    data->flush();
    fflush(stdout);
}

// What to play; empty lists mean all.
struct PolicyChoice
{
    std::string User;
    std::string Policy;
    std::string Situation;
    int Instances = BenchInstances;
    int Rounds = 3;
    double Seconds = 5;
};

// `only` is a list of names with commas between, or empty for all.
static bool IsWanted(const std::string& only, const std::string& name)
{
    return only.empty() || ("," + only + ",").find("," + name + ",") != std::string::npos;
}

// Whether each name of such a list is one of `names`.
static bool AreKnown(const std::string& only, const std::vector<std::string>& names)
{
    const auto listed = std::count_if(names.begin(), names.end(), [&](const std::string& name) { return IsWanted(only, name); });
    return only.empty() || listed == std::count(only.begin(), only.end(), ',') + 1;
}

static bool PlayUser(const BenchUser& user, const PolicyChoice& choice, std::ofstream* data)
{
    constexpr size_t policy_count = std::size(Policies);
    std::vector<std::vector<PlayResult>> results(Situation_COUNT, std::vector<PlayResult>(policy_count));
    for (int round = 0; round < choice.Rounds; round++)
    {
        for (size_t policy = 0; policy < policy_count; policy++)
        {
            if (!IsWanted(choice.Policy, Policies[policy]))
            {
                continue;
            }
            Fleet fleet;
            if (!FleetStart(&fleet, PlanOf(user, Policies[policy], choice.Instances, round + 1)))
            {
                fmt::print("the fleet did not become ready\n");
                return false;
            }
            for (int situation = 0; situation < Situation_COUNT; situation++)
            {
                if (IsWanted(choice.Situation, Situations[situation].Name))
                {
                    Play(&fleet, static_cast<Situation_>(situation), round, choice.Seconds,
                         &results[static_cast<size_t>(situation)][policy]);
                }
            }
        }
    }
    fmt::print("\n### {}\n\n| situation | policy | p50 ms | p99 ms (least to most) | p99.9 ms | p99 of all ms | in time/s | refused % | "
               "failed % | probes "
               "ms/s |\n",
               user.Name);
    fmt::print("|---|---|---|---|---|---|---|---|---|---|\n");
    for (int situation = 0; situation < Situation_COUNT; situation++)
    {
        for (size_t policy = 0; policy < policy_count; policy++)
        {
            if (!results[static_cast<size_t>(situation)][policy].P99.empty())
            {
                Print(user, static_cast<Situation_>(situation), Policies[policy], results[static_cast<size_t>(situation)][policy], data);
            }
        }
    }
    return true;
}

static std::string TakeText(char* text)
{
    std::string taken = text != nullptr ? text : "";
    free(text);
    return taken;
}

// False, and a word, for a name that does not exist.
static bool NamesAreKnown(const PolicyChoice& choice, const std::vector<BenchUser>& users)
{
    std::vector<std::string> user_names;
    std::vector<std::string> situation_names;
    std::transform(users.begin(), users.end(), std::back_inserter(user_names), [](const BenchUser& u) { return u.Name; });
    std::transform(std::begin(Situations), std::end(Situations), std::back_inserter(situation_names),
                   [](const SituationInfo& s) { return s.Name; });
    const bool user = AreKnown(choice.User, user_names);
    const bool policy = AreKnown(choice.Policy, {std::begin(Policies), std::end(Policies)});
    const bool situation = AreKnown(choice.Situation, situation_names);
    if (!user || !policy || !situation)
    {
        fmt::print(stderr, "winchbench policies: no such {}\n", !user ? "user" : !policy ? "policy" : "situation");
    }
    return user && policy && situation;
}

int RunPolicies(int argc, const char** argv)
{
    PolicyChoice choice;
    char* user_name = nullptr;
    char* policy = nullptr;
    char* situation = nullptr;
    char* file = nullptr;
    const poptOption table[] = {{"rounds", 'r', POPT_ARG_INT, &choice.Rounds, 0, "rounds", "N"},
                                {"seconds", 's', POPT_ARG_DOUBLE, &choice.Seconds, 0, "length of each play", "N"},
                                {"user", 'u', POPT_ARG_STRING, &user_name, 0, "dakar or attica; both if not given", "NAME"},
                                {"policy", 'p', POPT_ARG_STRING, &policy, 0, "only these, with commas between", "NAMES"},
                                {"situation", 0, POPT_ARG_STRING, &situation, 0, "only these, with commas between", "NAMES"},
                                {"instances", 'i', POPT_ARG_INT, &choice.Instances, 0, "size of the fleet, 4 to 64", "N"},
                                {"data", 'd', POPT_ARG_STRING, &file, 0, "file for the plots", "FILE"},
                                OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchbench policies", argc, argv, table, "");
    choice.User = TakeText(user_name);
    choice.Policy = TakeText(policy);
    choice.Situation = TakeText(situation);
    const std::string data_file = TakeText(file);
    std::ofstream data(data_file.empty() ? "/dev/null" : data_file);
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    const std::vector<BenchUser> users = {{"dakar", DakarRows(), 4}, {"attica", AtticaRows(), 3}};
    choice.Instances = std::clamp(choice.Instances, 4, 64);
    if (!NamesAreKnown(choice, users))
    {
        return 2;
    }
    for (const BenchUser& user : users)
    {
        if (IsWanted(choice.User, user.Name) && !PlayUser(user, choice, &data))
        {
            return 1;
        }
    }
    return 0;
}

} // namespace Winchlink
