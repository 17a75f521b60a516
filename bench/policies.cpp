// policies.cpp: winchbench policies: the product's choice of targets against ordinary ones, the same traces under the same noise, in one
// run.
//
// Every policy gets a fleet of its own with the same seeds; rounds alternate the policies. Printed as Markdown.

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
    const char* Program; // Beside the bench tool.
    bool Asks;           // Targets are asked for their load.
};

static constexpr std::array<Policy, 7> Policies = {{{"winchlink, asking", "winchlink", true},
                                                    {"winchlink, not asking", "winchlink", false},
                                                    {"roundrobin", "winchlink_baselines", false},
                                                    {"random", "winchlink_baselines", false},
                                                    {"least", "winchlink_baselines", false},
                                                    {"two", "winchlink_baselines", false},
                                                    {"reported", "winchlink_baselines", false}}};

// What happens to the targets.
struct Situation
{
    const char* Name;
    double Load;     // Share of all slots at the usual pace.
    bool Noise;      // Neighbours make targets slow now and then.
    bool SlowTarget; // One target is ten times slower from the start.
    bool FailFast;   // One target fails at once.
};

static constexpr std::array<Situation, 4> Situations = {{{"steady 50 %", 0.5, true, false, false},
                                                         {"a slow target", 0.4, true, true, false},
                                                         {"a target that fails", 0.4, true, false, true},
                                                         {"140 %", 1.4, true, false, false}}};

static constexpr int TargetCount = 10;
static constexpr int SlotCount = 3;
static constexpr TimeUs WorkUs = 30 * UsPerMs;
static constexpr double NoiseShare = 0.25;          // As the users' targets are (their site files).
static constexpr int NoiseFactor = 4;               //
static constexpr TimeUs NoiseBurst = 150 * UsPerMs; //
static constexpr size_t FailuresScripted = 1000000; // More than a run sends.

struct PolicySamples
{
    std::vector<double> P50, P99, P99All, InTime, Refused, Failed;
};

static void SetUp(Fleet* fleet, const Situation& situation, Random* random)
{
    if (situation.Noise)
    {
        FleetAddNoise(fleet, NoiseShare, NoiseFactor, NoiseBurst, random);
    }
    FleetTarget& first = *fleet->Targets[0];
    if (situation.SlowTarget)
    {
        constexpr int slower = 10;
        first.Part.WorkUs = slower * WorkUs;
    }
    if (situation.FailFast)
    {
        first.Part.WorkUs = 0;
        first.Part.Script.assign(FailuresScripted, TargetAct_Failed);
    }
}

static bool PlayOnce(const Policy& policy, const Situation& situation, int round, int seconds, PolicySamples* out)
{
    Fleet fleet;
    FleetPlan plan;
    FleetRow row;
    row.Name = "row";
    row.Targets = TargetCount;
    row.Slots = SlotCount;
    row.WorkUs = WorkUs;
    row.Asks = policy.Asks;
    plan.Program = policy.Program;
    plan.Environment = {{"WINCHBENCH_POLICY", policy.Name}};
    plan.Instances = 4;
    plan.Rows = {row};
    if (!FleetStart(&fleet, plan))
    {
        return false;
    }
    Random random(static_cast<uint64_t>(round) + 1);
    SetUp(&fleet, situation, &random);
    const double slots_per_second = TargetCount * SlotCount * static_cast<double>(UsPerSecond) / static_cast<double>(WorkUs);
    const std::vector<LoadKind> kinds = {{"row", "GET", situation.Load * slots_per_second * 0.7, 500},
                                         {"row", "POST", situation.Load * slots_per_second * 0.3, 500}};
    const auto records = FleetPlayLoad(&fleet, FleetEntries(fleet), kinds, seconds * UsPerSecond, static_cast<uint64_t>(round) + 1);
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
    return fmt::format("{:.1f} ({:.1f} to {:.1f})", s.Median, s.Least, s.Most);
}

static bool PlaySituation(const Situation& situation, int rounds, int seconds)
{
    std::array<PolicySamples, Policies.size()> samples;
    for (int round = 0; round < rounds; round++)
    {
        for (size_t n = 0; n < Policies.size(); n++)
        {
            if (!PlayOnce(Policies[n], situation, round, seconds, &samples[n]))
            {
                return false;
            }
        }
    }
    for (size_t n = 0; n < Policies.size(); n++)
    {
        const PolicySamples& s = samples[n];
        fmt::print("| {} | {} | {} | {} | {} | {} | {} | {} |\n", situation.Name, Policies[n].Name, Cell(s.P50), Cell(s.P99),
                   Cell(s.P99All), Cell(s.InTime), Cell(s.Refused), Cell(s.Failed));
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
    fmt::print("| situation | policy | p50 ms | p99 ms | p99 of all ms | in time % | refused % | failed % |\n"
               "|---|---|---|---|---|---|---|---|\n");
    for (const Situation& situation : Situations)
    {
        if (!PlaySituation(situation, rounds, seconds))
        {
            return 1;
        }
    }
    return 0;
}

} // namespace Winchlink
