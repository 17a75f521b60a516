// command_serve.cpp: winchlink serve and winchlink gateway: run an instance until a signal stops it.
//
// They differ only in the adapter for configuration and headers: a table of rows, or the platform's key-value store.

#include "commands.h"
#include "gateway.h"
#include "options.h"
#include "table_adapter.h"
#include "wire.h"

#include <csignal>
#include <fmt/format.h>
#include <unistd.h>

namespace Winchlink
{

static constexpr const char* SettingsVariable = "WINCHLINK_BOOT"; // Path of the settings file, if --settings is not given.

static int Serve(const std::string& file, const Settings& settings, const Adapter& adapter)
{
    SetLogLevel(settings.Level);
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    Gateway gateway;
    gateway.SettingsFile = file;
    const Result<void> started = GatewayStart(&gateway, &loop, adapter, settings);
    if (!started)
    {
        Log(LogLevel_Error, started.error().Code, "can't start", {{"detail", started.error().Detail}});
        return Exit_Start;
    }
    GatewayWatchSignals(&gateway);
    Log(LogLevel_Info, Code_None, "started", {{"version", Version}, {"instance", settings.Instance}});
    const int cut = GatewayRun(&gateway);
    Log(LogLevel_Info, cut > 0 ? Code_ForcedStop : Code_None, "stopped", {{"cut", cut}});
    _exit(cut > 0 ? Exit_ForcedStop : Exit_Good); // Skips destructors: requests in progress still refer to parts of the instance.
}

static int CheckAndServe(const std::string& file, bool check_only, const Adapter& adapter)
{
    const CheckedSettings checked = ReadSettings(file);
    for (const Fault& fault : checked.Faults)
    {
        Log(LogLevel_Error, fault.Code, "settings refused", {{"file", file}, {"key", fault.Where}, {"detail", fault.Detail}});
    }
    if (!checked.Faults.empty())
    {
        return check_only ? Exit_Faults : Exit_Usage;
    }
    if (check_only)
    {
        fmt::print("{}: no faults\n", file);
        return Exit_Good;
    }
    return Serve(file, checked.Value, adapter);
}

static int RunWith(const char* name, int argc, const char** argv, const Adapter& adapter)
{
    char* file = nullptr;
    int check_only = 0;
    const poptOption table[] = {{"settings", 's', POPT_ARG_STRING, &file, 0, "settings of this instance (JSON)", "FILE"},
                                {"check", 'c', POPT_ARG_NONE, &check_only, 0, "check the settings and exit", nullptr},
                                OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions(name, argc, argv, table, "[--check] [--settings FILE]");
    const std::unique_ptr<char, decltype(&free)> owner(file, free);
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    const char* named = file != nullptr ? file : std::getenv(SettingsVariable);
    if (named == nullptr || !parsed.Arguments.empty())
    {
        fmt::print(stderr, "{}: code {}: expected --settings FILE (or {} in the environment) and no other arguments\n", name,
                   static_cast<int>(Code_Usage), SettingsVariable);
        return Exit_Usage;
    }
    return CheckAndServe(named, check_only != 0, adapter);
}

int RunServe(int argc, const char** argv)
{
    return RunWith("winchlink serve", argc, argv, TableAdapter());
}

int RunGateway(int argc, const char** argv)
{
    return RunWith("winchlink gateway", argc, argv, PlatformAdapter());
}

} // namespace Winchlink
