// main.cpp: command line of winchbench, the tool for benchmarks and soak tests. It is not part of the product.

#include "bench.h"

#include <array>
#include <cstring>
#include <curl/curl.h>
#include <fmt/format.h>

namespace Winchlink
{

struct BenchCommand
{
    const char* Name;
    const char* Text;
    int (*Run)(int argc, const char** argv);
};

static constexpr BenchCommand BenchCommands[] = {
    {"demo", "runs a small fleet under load and prints what happened", RunDemo},
    {"policies", "compares the choice of targets with common load-balancing policies", RunPolicies},
    {"pool", "measures target-pool operations by the number of targets", RunPool},
    {"capacity", "measures cost by rows, edits, followers and request rate", RunCapacity},
    {"soak", "runs gateway processes under random faults and audits the results", RunSoak},
    {"added", "measures the latency that an instance adds", RunAdded},
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
    if (curl_global_init(CURL_GLOBAL_NOTHING) != CURLE_OK)
    {
        return 3;
    }
    return Winchlink::Main(argc, const_cast<const char**>(argv));
}
