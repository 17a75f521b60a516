// main.cpp: the bench tool: stand-ins, load and experiments. No part of the product.

#include "bench.h"

#include <array>
#include <cstring>
#include <fmt/format.h>
#include <ulfius.h>

namespace Winchlink
{

struct BenchCommand
{
    const char* Name;
    const char* Text;
    int (*Run)(int argc, const char** argv);
};

static constexpr BenchCommand BenchCommands[] = {
    {"platform", "stand-in for the platform's service", RunPlatform},
    {"target", "stand-in for a target", RunTarget},
    {"relay", "cuts and delays messages between instances", RunRelay},
    {"load", "plays calls and prints quantiles", RunLoad},
    {"demo", "a small fleet, live", RunDemo},
    {"policies", "the product's policy against ordinary ones", RunPolicies},
    {"capacity", "slopes over instances, rows, edits and calls", RunCapacity},
    {"soak", "a long randomised run under faults", RunSoak},
    {"gateway-soak", "randomised runs of gateway processes under faults, audited", RunGatewaySoak},
    {"added", "latency added against calling the target directly", RunAdded},
};

static int Main(int argc, const char** argv)
{
    for (const BenchCommand& command : BenchCommands)
    {
        if (argc > 1 && std::strcmp(argv[1], command.Name) == 0)
        {
            return command.Run(argc - 1, argv + 1);
        }
    }
    fmt::print("Usage: winchbench COMMAND [OPTION...]\n\n");
    for (const BenchCommand& command : BenchCommands)
    {
        fmt::print("  {:<13} {}\n", command.Name, command.Text);
    }
    return 2;
}

} // namespace Winchlink

int main(int argc, char** argv)
{
    if (!Winchlink::Init() || curl_global_init(CURL_GLOBAL_ALL) != CURLE_OK || ulfius_global_init() != U_OK)
    {
        return 3;
    }
    return Winchlink::Main(argc, const_cast<const char**>(argv));
}
