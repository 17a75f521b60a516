// added.cpp: winchbench added: measures the latency that an instance adds.
//
// Sends the same load directly to a simulated target and through one instance, alternating for several rounds. The target answers after a
// fixed time, so the difference of the quantiles is the added latency. Runs with and without load probes.

#include "bench.h"
#include "fleet.h"
#include "options.h"

#include <fmt/format.h>

namespace Winchlink
{

struct AddedSamples
{
    std::vector<double> DirectP99;
    std::vector<double> AddedP50;
    std::vector<double> AddedP99;
    size_t WithoutGoodAnswer = 0; // Requests through the instance without a good answer.
};

static void MeasureAdded(Fleet* fleet, double rate, int round, AddedSamples* out)
{
    constexpr TimeUs length = 5 * UsPerSecond;
    const std::vector<LoadKind> kinds = {{"plain", "GET", rate, 2000}};
    const auto seed = static_cast<uint64_t>(round) + 1;
    const auto direct = FleetRunLoad(fleet, {fleet->Targets[0]->Part.Address}, kinds, length, seed);
    const auto through = FleetRunLoad(fleet, FleetEntries(*fleet), kinds, length, seed);
    const LoadSummary without = Summarize(direct, kinds, -1);
    const LoadSummary with = Summarize(through, kinds, -1);
    out->DirectP99.push_back(without.P99Ms);
    out->AddedP50.push_back(with.P50Ms - without.P50Ms);
    out->AddedP99.push_back(with.P99Ms - without.P99Ms);
    out->WithoutGoodAnswer += with.Count - with.Good;
}

static std::string Cell(const std::vector<double>& values)
{
    const Spread s = SpreadOf(values);
    return fmt::format("{:.2f} ({:.2f} to {:.2f})", s.Median, s.Min, s.Max);
}

static bool MeasureRates(bool probes, int rounds)
{
    Fleet fleet;
    FleetPlan plan;
    plan.Instances = 1;
    FleetRow row;
    row.Name = "plain";
    row.Targets = 1;
    row.Slots = 1000;
    row.WorkUs = 2 * UsPerMs;
    row.UsesProbes = probes;
    plan.Rows = {row};
    if (!FleetStart(&fleet, plan))
    {
        return false;
    }
    for (const double rate : {120.0, 500.0, 1000.0, 2000.0})
    {
        AddedSamples samples;
        for (int round = 0; round < rounds; round++)
        {
            MeasureAdded(&fleet, rate, round, &samples);
        }
        fmt::print("| {} | {:.0f} | {} | {} | {} | {} |\n", probes ? "yes" : "no", rate, Cell(samples.DirectP99), Cell(samples.AddedP50),
                   Cell(samples.AddedP99), samples.WithoutGoodAnswer);
        fflush(stdout);
    }
    return true;
}

int RunAdded(int argc, const char** argv)
{
    int rounds = 3;
    const poptOption table[] = {{"rounds", 'r', POPT_ARG_INT, &rounds, 0, "rounds per rate", "N"}, OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchbench added", argc, argv, table, "[--rounds N]");
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    fmt::print("| probes | calls/s | direct p99 ms | added p50 ms | added p99 ms | not good |\n|---|---|---|---|---|---|\n");
    const bool good = MeasureRates(true, rounds) && MeasureRates(false, rounds);
    return good ? 0 : 1;
}

} // namespace Winchlink
