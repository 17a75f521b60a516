// policies.cpp: winchbench policies: compares winchlink's choice of targets with common load-balancing policies.
//
// Each policy runs on a new fleet with the same random seeds; each round runs all policies in turn. The results are printed as a Markdown
// table.

#include "bench.h"
#include "fleet.h"
#include "options.h"

#include <array>
#include <fmt/format.h>

namespace Winchlink
{

struct Policy
{
    const char* Name;
    const char* Program; // Executable of the instances, in the folder of winchbench.
    bool UsesProbes;     // Targets are probed for their load.
};

static constexpr std::array<Policy, 7> Policies = {{{"winchlink, probing", "winchlink", true},
                                                    {"winchlink, not probing", "winchlink", false},
                                                    {"roundrobin", "winchlink_baselines", false},
                                                    {"random", "winchlink_baselines", false},
                                                    {"least", "winchlink_baselines", false},
                                                    {"two", "winchlink_baselines", false},
                                                    {"reported", "winchlink_baselines", false}}};

// Load and faults of one comparison.
struct Scenario
{
    const char* Name;
    double Load;     // Offered load as a fraction of the capacity at normal speed.
    bool Noise;      // Targets are slowed down at random times.
    bool SlowTarget; // One target is ten times slower.
    bool FailFast;   // One target fails every request immediately.
};

static constexpr std::array<Scenario, 4> Scenarios = {{{"steady 50 %", 0.5, true, false, false},
                                                       {"a slow target", 0.4, true, true, false},
                                                       {"a target that fails", 0.4, true, false, true},
                                                       {"140 %", 1.4, true, false, false}}};

static constexpr int TargetCount = 10;
static constexpr int SlotCount = 3;
static constexpr TimeUs WorkUs = 30 * UsPerMs;
static constexpr double NoiseShare = 0.25;          // Fraction of the time in which a target is slow.
static constexpr int NoiseFactor = 4;               // Slowdown of service times.
static constexpr TimeUs NoiseBurst = 150 * UsPerMs; // Mean length of a slow period.
static constexpr size_t FailuresScripted = 1000000; // More than one run sends.

struct PolicySamples
{
    std::vector<double> P50, P99, P99All, InTime, Refused, Failed;
};

static void ApplyScenario(Fleet* fleet, const Scenario& scenario, Random* random)
{
    if (scenario.Noise)
    {
        FleetAddNoise(fleet, NoiseShare, NoiseFactor, NoiseBurst, random);
    }
    FleetTarget& first = *fleet->Targets[0];
    if (scenario.SlowTarget)
    {
        constexpr int slower = 10;
        first.Part.WorkUs = slower * WorkUs;
    }
    if (scenario.FailFast)
    {
        first.Part.WorkUs = 0;
        first.Part.Script.assign(FailuresScripted, TargetAct_Failed);
    }
}

static bool RunRound(const Policy& policy, const Scenario& scenario, int round, int seconds, PolicySamples* out)
{
    Fleet fleet;
    FleetPlan plan;
    FleetRow row;
    row.Name = "row";
    row.Targets = TargetCount;
    row.Slots = SlotCount;
    row.WorkUs = WorkUs;
    row.UsesProbes = policy.UsesProbes;
    plan.Program = policy.Program;
    plan.Environment = {{"WINCHBENCH_POLICY", policy.Name}};
    plan.Instances = 4;
    plan.Rows = {row};
    if (!FleetStart(&fleet, plan))
    {
        return false;
    }
    Random random(static_cast<uint64_t>(round) + 1);
    ApplyScenario(&fleet, scenario, &random);
    const double slots_per_second = TargetCount * SlotCount * static_cast<double>(UsPerSecond) / static_cast<double>(WorkUs);
    const std::vector<LoadKind> kinds = {{"row", "GET", scenario.Load * slots_per_second * 0.7, 500},
                                         {"row", "POST", scenario.Load * slots_per_second * 0.3, 500}};
    const auto records = FleetRunLoad(&fleet, FleetEntries(fleet), kinds, seconds * UsPerSecond, static_cast<uint64_t>(round) + 1);
    const LoadSummary s = Summarize(records, kinds, -1);
    const auto count = static_cast<double>(s.Count);
    out->P50.push_back(s.P50Ms);
    out->P99.push_back(s.P99Ms);
    out->P99All.push_back(s.P99AllMs);
    out->InTime.push_back(static_cast<double>(s.InTime) / count * 100);
    out->Refused.push_back(static_cast<double>(s.Refused) / count * 100);
    out->Failed.push_back(static_cast<double>(s.Failed) / count * 100);
    return true;
}

static std::string Cell(const std::vector<double>& values)
{
    const Spread s = SpreadOf(values);
    return fmt::format("{:.1f} ({:.1f} to {:.1f})", s.Median, s.Min, s.Max);
}

static bool RunScenario(const Scenario& scenario, int rounds, int seconds)
{
    std::array<PolicySamples, Policies.size()> samples;
    for (int round = 0; round < rounds; round++)
    {
        for (size_t n = 0; n < Policies.size(); n++)
        {
            if (!RunRound(Policies[n], scenario, round, seconds, &samples[n]))
            {
                return false;
            }
        }
    }
    for (size_t n = 0; n < Policies.size(); n++)
    {
        const PolicySamples& s = samples[n];
        fmt::print("| {} | {} | {} | {} | {} | {} | {} | {} |\n", scenario.Name, Policies[n].Name, Cell(s.P50), Cell(s.P99), Cell(s.P99All),
                   Cell(s.InTime), Cell(s.Refused), Cell(s.Failed));
    }
    fflush(stdout);
    return true;
}

int RunPolicies(int argc, const char** argv)
{
    int rounds = 3;
    int seconds = 5;
    const poptOption table[] = {{"rounds", 'r', POPT_ARG_INT, &rounds, 0, "rounds", "N"},
                                {"seconds", 0, POPT_ARG_INT, &seconds, 0, "length of each play", "N"},
                                OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchbench policies", argc, argv, table, "[--rounds N] [--seconds N]");
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    fmt::print("| scenario | policy | p50 ms | p99 ms | p99 of all ms | in time % | refused % | failed % |\n"
               "|---|---|---|---|---|---|---|---|\n");
    for (const Scenario& scenario : Scenarios)
    {
        if (!RunScenario(scenario, rounds, seconds))
        {
            return 1;
        }
    }
    return 0;
}

} // namespace Winchlink
