// main.cpp: the winchlink program: finds the subcommand.

#include "commands.h"
#include "winchlink.h"

#include <array>
#include <cstring>
#include <curl/curl.h>
#include <fmt/format.h>
#include <ulfius.h>

namespace Winchlink
{

struct Subcommand
{
    const char* Name; // As typed.
    const char* Text; // One line of help.
    int (*Run)(int argc, const char** argv);
};

static constexpr std::array<Subcommand, 5> Subcommands = {{
    {"serve", "run an entry instance", RunServe},
    {"gateway", "run a gateway instance, which reads routes and targets from a platform's store", RunGateway},
    {"check", "check tables and settings before they are published", RunCheck},
    {"pack", "make the platform's values from a table", RunPack},
    {"status", "show what an instance knows and does", RunStatus},
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
    fmt::print("\nwinchlink COMMAND --help tells more. winchlink --version prints the version.\n");
}

static int Main(int argc, const char** argv)
{
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
            return subcommand.Run(argc - 1, argv + 1);
        }
    }
    fmt::print(stderr, "winchlink: code {}: there is no command \"{}\"; see winchlink --help\n", static_cast<int>(Code_Usage), name);
    return Exit_Usage;
}

} // namespace Winchlink

int main(int argc, char** argv)
{
    if (!Winchlink::Init() || curl_global_init(CURL_GLOBAL_ALL) != CURLE_OK || ulfius_global_init() != U_OK)
    {
        fmt::print(stderr, "winchlink: a library can't start\n");
        return Winchlink::Exit_Start;
    }
    return Winchlink::Main(argc, const_cast<const char**>(argv));
}
