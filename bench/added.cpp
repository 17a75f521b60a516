// added.cpp: winchbench added: the latency that an instance adds, against calling the target stand-in directly, in one run.
//
// The same trace is played to the target and through one instance, in turn, several times; the target answers after a fixed time, so that
// the difference of the quantiles is what the instance adds.

#include "fleet.h"
#include "load.h"
#include "options.h"

#include <fmt/format.h>

namespace Winchlink
{

struct AddedRates
{
    double PerSecond = 0; // Calls.
    double Seconds = 0;   // Per round.
};

static LoadSummary PlayRound(const std::string& entry, const AddedRates& rate, int round)
{
    LoadPlan plan;
    plan.Entries = {entry};
    plan.Kinds = {{"calls", "GET", "/plain/x", rate.PerSecond, 2000}};
    plan.Seconds = rate.Seconds;
    plan.Seed = static_cast<uint64_t>(round) + 1;
    plan.Workers = 64; // No more than the target has slots, or it sheds.
    plan.IdPrefix = fmt::format("{}-{}-{}", entry, rate.PerSecond, round);
    return Summarize(PlayLoad(plan), -1);
}

struct AddedSamples
{
    std::vector<double> DirectP50, DirectP99, DirectP999;
    std::vector<double> AddedP50, AddedP99, AddedP999;
    std::vector<double> DirectGood; // Good answers per second, without an instance.
    size_t NotGood = 0;             // Calls without a good answer.
    double Good = 0;                // Good answers per second, through the instance.
};

static void PlayBoth(const Fleet& fleet, const AddedRates& rate, int round, AddedSamples* out)
{
    const LoadSummary direct = PlayRound(fleet.Targets[0].Process.Address, rate, round);
    const LoadSummary through = PlayRound(fleet.Instances[0].Process.Address, rate, round);
    out->DirectP50.push_back(direct.P50Ms);
    out->DirectP99.push_back(direct.P99Ms);
    out->DirectP999.push_back(direct.P999Ms);
    out->AddedP50.push_back(through.P50Ms - direct.P50Ms);
    out->AddedP99.push_back(through.P99Ms - direct.P99Ms);
    out->AddedP999.push_back(through.P999Ms - direct.P999Ms);
    out->DirectGood.push_back(static_cast<double>(direct.Good) / rate.Seconds);
    out->NotGood += through.Count - through.Good;
    out->Good += static_cast<double>(through.Good) / rate.Seconds;
}

static std::string Cell(const std::vector<double>& values)
{
    const Spread s = SpreadOf(values);
    return fmt::format("{:.2f} ({:.2f} to {:.2f})", s.Median, s.Least, s.Most);
}

static void PrintRate(const AddedRates& rate, int rounds, const AddedSamples& s)
{
    fmt::print("| {:.0f} | {:.0f} | {} | {} | {} | {} | {:.0f} | {} |\n", rate.PerSecond, SpreadOf(s.DirectGood).Median, Cell(s.DirectP99),
               Cell(s.AddedP50), Cell(s.AddedP99), Cell(s.AddedP999), s.Good / rounds, s.NotGood);
    fflush(stdout);
}

int RunAdded(int argc, const char** argv)
{
    int rounds = 5;
    int from = 0;
    const poptOption table[] = {{"rounds", 'r', POPT_ARG_INT, &rounds, 0, "rounds per rate", "N"},
                                {"from", 'f', POPT_ARG_INT, &from, 0, "leave out lower rates", "CALLS"},
                                OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchbench added", argc, argv, table, "[--rounds N] [--from CALLS]");
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    Fleet fleet;
    FleetPlan plan;
    plan.Instances = 1;
    plan.TargetArguments = {"--slots",      "64", "--sigma",  "0", "--noise-every-ms", "0",
                            "--connect-us", "0",  "--far-us", "0", "--service-us",     "2000"};
    FleetRow row;
    row.Name = "plain";
    row.PathPrefix = "/plain";
    row.Targets = 1;
    row.MaxConcurrent = 1000;
    row.MaxConnections = 10000;
    row.MeasuringBudgetMs = 0;
    plan.Rows = {row};
    if (!FleetStart(&fleet, plan))
    {
        fmt::print("the fleet did not become ready\n");
        return 1;
    }
    fmt::print("| calls/s | direct good/s | direct p99 ms | added p50 ms | added p99 ms | added p99.9 ms | good/s | not good "
               "|\n|---|---|---|---|---|---|---|---|\n");
    for (const AddedRates& rate :
         {AddedRates{120, 10}, AddedRates{1000, 4}, AddedRates{2000, 4}, AddedRates{4000, 4}, AddedRates{8000, 3}, AddedRates{12000, 3},
          AddedRates{16000, 3}, AddedRates{20000, 3}, AddedRates{24000, 3}, AddedRates{28000, 3}})
    {
        if (rate.PerSecond < from)
        {
            continue;
        }
        AddedSamples samples;
        for (int round = 0; round < rounds; round++)
        {
            PlayBoth(fleet, rate, round, &samples);
        }
        PrintRate(rate, rounds, samples);
    }
    return 0;
}

} // namespace Winchlink
