// command_serve.cpp: winchlink serve: runs an entry instance until a signal ends it.

#include "commands.h"
#include "instance.h"
#include "options.h"
#include "signals.h"

#include <csignal>
#include <fmt/format.h>

namespace Winchlink
{

static void PrintFaults(const std::string& file, const std::vector<Fault>& faults)
{
    for (const Fault& fault : faults)
    {
        Log(LogLevel_Error, fault.Code, "settings refused", {{"file", file}, {"key", fault.Where}, {"detail", fault.Detail}});
    }
}

// Drains; a second signal ends it at once.
static int DrainAndStop(Instance* instance)
{
    std::atomic<bool> force{false};
    std::atomic<int> cut{0};
    std::thread drain(
        [&]()
        {
            cut = InstanceDrain(instance, force);
            kill(getpid(), SIGTERM); // Wakes the wait below.
        });
    WaitForStopSignal();
    force = true;
    drain.join();
    if (cut > 0)
    {
        Log(LogLevel_Error, Code_ForcedStop, "ended with requests in progress", {{"cut", cut.load()}});
        _exit(Exit_Cut); // At once: the threads of these requests are still running.
    }
    InstanceStop(instance);
    Log(LogLevel_Info, Code_None, "stopped", {});
    return Exit_Good;
}

static int Serve(const std::string& file)
{
    const Result<std::string> json = ReadFile(file);
    if (!json)
    {
        PrintFaults(file, {{json.error().Code, "", json.error().Detail}});
        return Exit_Usage;
    }
    const CheckedSettings checked = ParseSettings(json.value());
    if (!checked.Faults.empty())
    {
        PrintFaults(file, checked.Faults);
        return Exit_Usage;
    }
    SetLogLevel(checked.Value.Level);
    std::signal(SIGPIPE, SIG_IGN);
    BlockStopSignals();
    Instance instance;
    if (!InstanceStart(&instance, checked.Value))
    {
        return Exit_Start;
    }
    Log(LogLevel_Info, Code_None, "started", {{"version", Version}, {"traffic", checked.Value.TrafficAddress}});
    WaitForStopSignal();
    return DrainAndStop(&instance);
}

int RunServe(int argc, const char** argv)
{
    char* file = nullptr;
    const poptOption table[] = {{"settings", 's', POPT_ARG_STRING, &file, 0, "settings of this instance (JSON)", "FILE"}, OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchlink serve", argc, argv, table, "--settings FILE");
    const std::unique_ptr<char, decltype(&free)> owner(file, free);
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    if (file == nullptr || !parsed.Arguments.empty())
    {
        fmt::print(stderr, "winchlink serve: code {}: --settings FILE is needed, and nothing else\n", static_cast<int>(Code_Usage));
        return Exit_Usage;
    }
    return Serve(file);
}

} // namespace Winchlink
