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
    bool Ulfius; // It serves or calls with ulfius, whose libraries take time and memory to start.
};

static constexpr std::array<Subcommand, 5> Subcommands = {{
    {"serve", "run an entry instance", RunServe, true},
    {"gateway", "run a gateway instance, which reads routes and targets from a platform's store", RunGateway, false},
    {"check", "check tables and settings before they are published", RunCheck, false},
    {"pack", "make the platform's values from a table", RunPack, false},
    {"status", "show what an instance knows and does", RunStatus, true},
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

static bool StartLibraries(bool ulfius)
{
    const bool curl = curl_global_init(ulfius ? CURL_GLOBAL_ALL : CURL_GLOBAL_NOTHING) == CURLE_OK; // Without TLS where it is not used.
    return Init() && curl && (!ulfius || ulfius_global_init() == U_OK);
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
            if (!StartLibraries(subcommand.Ulfius))
            {
                fmt::print(stderr, "winchlink: a library can't start\n");
                return Exit_Start;
            }
            return subcommand.Run(argc - 1, argv + 1);
        }
    }
    fmt::print(stderr, "winchlink: code {}: there is no command \"{}\"; see winchlink --help\n", static_cast<int>(Code_Usage), name);
    return Exit_Usage;
}

} // namespace Winchlink

int main(int argc, char** argv)
{
    return Winchlink::Main(argc, const_cast<const char**>(argv));
}
