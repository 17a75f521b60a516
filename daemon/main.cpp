// main.cpp: entry point of the winchlink program: runs the subcommand.

#include "commands.h"
#include "winchlink.h"

#include <array>
#include <cstring>
#include <curl/curl.h>
#include <fmt/format.h>
#include <malloc.h>

namespace Winchlink
{

static constexpr int OwnPagesBytes = 256 * 1024; // Blocks of this size and more get pages of their own.

struct Subcommand
{
    const char* Name; // As typed.
    const char* Text; // One line of help.
    int (*Run)(int argc, const char** argv);
};

static constexpr std::array<Subcommand, 5> Subcommands = {{
    {"serve", "run an instance that serves a table of rows", RunServe},
    {"gateway", "run an instance on the users' platform", RunGateway},
    {"check", "check tables and settings before they are published", RunCheck},
    {"status", "show the state of an instance", RunStatus},
    {"lift", "end the quarantine of a request under which targets crashed", RunLift},
}};

static void PrintHelp()
{
    fmt::print(
        "winchlink {}: a load balancer for servers whose load shifts within milliseconds\n\nUsage: winchlink COMMAND [OPTION...]\n\n",
        Version);
    for (const Subcommand& subcommand : Subcommands)
    {
        fmt::print("  {:<8} {}\n", subcommand.Name, subcommand.Text);
    }
    fmt::print("\nwinchlink COMMAND --help prints its options. winchlink --version prints the version.\n");
}

// Lets the memory of large bodies return to the system as soon as it is freed. By default the allocator keeps ever larger blocks.
static void ReturnFreedMemory()
{
    mallopt(M_MMAP_THRESHOLD, OwnPagesBytes);
}

static int Main(int argc, const char** argv)
{
    ReturnFreedMemory();
    const char* name = argc > 1 ? argv[1] : "--help";
    if (std::strcmp(name, "--version") == 0)
    {
        fmt::print("winchlink {}\n", Version);
        return Exit_Good;
    }
    if (std::strcmp(name, "--help") == 0 || std::strcmp(name, "-?") == 0)
    {
        PrintHelp();
        return argc > 1 ? Exit_Good : Exit_Usage;
    }
    for (const Subcommand& subcommand : Subcommands)
    {
        if (std::strcmp(name, subcommand.Name) == 0)
        {
            if (curl_global_init(CURL_GLOBAL_NOTHING) != CURLE_OK) // TLS is not used, so it is not initialized.
            {
                fmt::print(stderr, "winchlink: libcurl initialization failed\n");
                return Exit_Start;
            }
            return subcommand.Run(argc - 1, argv + 1);
        }
    }
    fmt::print(stderr, "winchlink: code {}: unknown command \"{}\"; see winchlink --help\n", static_cast<int>(Code_Usage), name);
    return Exit_Usage;
}

} // namespace Winchlink

int main(int argc, char** argv)
{
    return Winchlink::Main(argc, const_cast<const char**>(argv));
}
