// gateway.cpp: one gateway instance.
//
// Index of this file:
// [SECTION] What the store says
// [SECTION] Readiness and metrics
// [SECTION] Planned stop
// [SECTION] Settings
// [SECTION] Start

#include "gateway.h"

#include "clock.h"
#include "wire.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <sys/stat.h>

namespace Winchlink
{

static constexpr TimeUs TickUs = 500 * UsPerMs;          // How often vanished targets are looked at.
static constexpr TimeUs StopStepUs = 50 * UsPerMs;       // How often a stopping instance looks whether it is done.
static constexpr TimeUs StillAcceptUs = 3 * UsPerSecond; // The balancer in front takes two misses, a second each, to notice.
static constexpr TimeUs StopMarginUs = 300 * UsPerMs;    // An instance ends by itself so long before it would be killed.

//-----------------------------------------------------------------------------
// [SECTION] What the store says
//-----------------------------------------------------------------------------

static void TakePlan(Gateway* gateway, const StoreItem& item)
{
    const Result<RoutePlan> plan = PlatformReadPlan(item.Value);
    if (!plan)
    {
        Log(LogLevel_Error, plan.error().Code, "plan refused", {{"revision", item.Revision}, {"detail", plan.error().Detail}});
        return;
    }
    Forwarder& requests = gateway->Requests;
    const uint64_t held = requests.Plan ? requests.Plan->Version : 0;
    if (plan.value().Version <= held)
    {
        return; // The same again, or an older one.
    }
    requests.Plan = std::make_shared<const RoutePlan>(plan.value());
    const CallerLimits& limits = requests.Plan->Limits;
    ListenerSetLimits(&gateway->Callers, limits.BodyBytesMost, limits.IdleTimeoutUs);
    Log(LogLevel_Info, Code_None, "plan in force",
        {{"version", plan.value().Version},
         {"before", held},
         {"revision", item.Revision},
         {"routes", static_cast<int>(plan.value().Routes.size())}});
}

static void LogTarget(const char* event, const DirectoryTarget& target)
{
    Log(LogLevel_Info, Code_None, event,
        {{"target", target.Id},
         {"service", target.Service},
         {"address", target.Address},
         {"leaving", target.Presence == Presence_Leaving ? 1 : 0},
         {"revision", target.Revision}});
}

static void TakeTarget(Gateway* gateway, const StoreItem& item, std::vector<DirectoryTarget>* all)
{
    TargetDirectory& directory = gateway->Requests.Directory;
    if (item.Gone)
    {
        const std::string id = PlatformTargetId(item.Key);
        Log(LogLevel_Info, Code_None, "target entry gone", {{"target", id}, {"revision", item.Revision}});
        DirectoryRemove(&directory, id, item.Revision, NowUs());
        return;
    }
    const Result<DirectoryTarget> target = PlatformReadTarget(item, NowUs());
    if (!target)
    {
        Log(LogLevel_Error, target.error().Code, "target refused", {{"detail", target.error().Detail}});
        return;
    }
    LogTarget("target entry", target.value());
    if (all != nullptr)
    {
        all->push_back(target.value()); // DirectoryReplace() takes them all at once.
        return;
    }
    DirectoryPut(&directory, target.value(), NowUs());
}

static void TakeItems(Gateway* gateway, const std::vector<StoreItem>& items, std::vector<DirectoryTarget>* all)
{
    for (const StoreItem& item : items)
    {
        switch (PlatformItemKind(item.Key))
        {
        case PlatformItem_Plan:
            if (!item.Gone)
            {
                TakePlan(gateway, item);
            }
            break;
        case PlatformItem_Target:
            TakeTarget(gateway, item, all);
            break;
        default:
            break;
        }
    }
}

// Where changes come from, by preference. Those that others name as their first contacts read the store; all others follow them, each
// beginning with another one.
static std::vector<StoreSource> MakeSources(Gateway* gateway)
{
    const GatewaySettings& settings = gateway->Config;
    const bool reads = std::find(settings.Peers.begin(), settings.Peers.end(), settings.PeerAddress) != settings.Peers.end();
    StoreSource store;
    store.Address = settings.StoreAddress;
    store.Dialect = PlatformStoreDialect();
    store.WaitUs = reads ? gateway->Timing.ReaderWaitUs : gateway->Timing.StoreWaitUs;
    store.MarginUs = gateway->Timing.StoreMarginUs;
    store.GatherUs = gateway->Timing.StoreGatherUs;
    store.IsStore = true;
    std::vector<StoreSource> peers;
    for (const std::string& address : settings.Peers)
    {
        if (address != settings.PeerAddress)
        {
            peers.push_back({address, RelayDialect(), gateway->Timing.PeerWaitUs, gateway->Timing.PeerMarginUs, 0, false});
        }
    }
    std::shuffle(peers.begin(), peers.end(), gateway->Rng);
    peers.insert(reads ? peers.begin() : peers.end(), store);
    return peers;
}

static void OnStoreTrouble(Gateway* gateway, const std::string& why)
{
    if (!gateway->Requests.Directory.InTrouble)
    {
        Log(LogLevel_Warn, Code_PlatformUnreachable, "store lost", {{"detail", why}, {"revision", gateway->Store.At}});
    }
    DirectoryTrouble(&gateway->Requests.Directory, NowUs());
    RelaySetTrouble(&gateway->Peers, true);
}

static void OnStoreAnswered(Gateway* gateway)
{
    if (gateway->Requests.Directory.InTrouble)
    {
        Log(LogLevel_Info, Code_None, "store regained", {{"revision", gateway->Store.At}});
    }
    DirectoryAnswered(&gateway->Requests.Directory, NowUs());
    RelaySetTrouble(&gateway->Peers, false);
}

static void OnStoreAll(Gateway* gateway, const std::vector<StoreItem>& items, uint64_t at)
{
    std::vector<DirectoryTarget> all;
    TakeItems(gateway, items, &all);
    DirectoryReplace(&gateway->Requests.Directory, all, at, NowUs());
    ForwarderFollow(&gateway->Requests);
    RelaySetAll(&gateway->Peers, items, at);
}

static void OnStoreChanges(Gateway* gateway, const std::vector<StoreItem>& items, uint64_t at)
{
    TakeItems(gateway, items, nullptr);
    ForwarderFollow(&gateway->Requests);
    RelayAddChanges(&gateway->Peers, items, at);
}

static void StartStore(Gateway* gateway)
{
    StoreReader& store = gateway->Store;
    store.OnAll = [gateway](const std::vector<StoreItem>& items, uint64_t at)
    {
        OnStoreAll(gateway, items, at);
    };
    store.OnChanges = [gateway](const std::vector<StoreItem>& items, uint64_t at)
    {
        OnStoreChanges(gateway, items, at);
    };
    store.OnTrouble = [gateway](const std::string& why)
    {
        OnStoreTrouble(gateway, why);
    };
    store.OnAnswered = [gateway]()
    {
        OnStoreAnswered(gateway);
    };
    gateway->Peers.Age = [&store]()
    {
        return NowUs() - store.FreshUs;
    };
    StoreReaderStart(&store, gateway->Loop, &gateway->Control, &gateway->Rng);
}

//-----------------------------------------------------------------------------
// [SECTION] Readiness and metrics
//-----------------------------------------------------------------------------

static bool IsReady(const Gateway& gateway)
{
    return gateway.Requests.Plan != nullptr && gateway.StopUs == 0;
}

static std::string MetricsText(const Gateway& gateway)
{
    std::string text;
    for (const auto& entry : gateway.Requests.Services)
    {
        const std::string labels = fmt::format("service=\"{}\"", entry.first);
        text += FormatLatency("winchlink_request_seconds", labels, entry.second.Metrics.Latency);
        for (const CodeCount& count : entry.second.Metrics.Ended)
        {
            text += fmt::format("winchlink_requests_ended{{{},code=\"{}\"}} {}\n", labels, static_cast<int>(count.Code), count.Count);
        }
    }
    for (const auto& entry : gateway.Requests.ByPriority)
    {
        text += FormatLatency("winchlink_priority_seconds", fmt::format("priority=\"{}\"", entry.first), entry.second);
    }
    text += fmt::format("winchlink_in_progress {}\n", gateway.Requests.InProgress);
    text += fmt::format("winchlink_load_questions {}\n", gateway.Requests.AsksSent);
    text += fmt::format("winchlink_target_connections_opened {}\n", gateway.Targets.ConnectionsOpened);
    text += fmt::format("winchlink_store_calls {}\nwinchlink_store_failures {}\n", gateway.Store.StoreCalls, gateway.Store.CallsFailed);
    text += fmt::format("winchlink_plan_version {}\n", gateway.Requests.Plan ? gateway.Requests.Plan->Version : 0);
    return text;
}

static Result<void> StartPages(Gateway* gateway)
{
    ListenerConfig config;
    config.ConnectionsMost = 64;
    config.Address = gateway->Config.ReadyAddress;
    Result<void> ready = ListenerStart(&gateway->Readiness, gateway->Loop, config,
                                       [gateway](const ExchangePtr& exchange) {
                                           Reply(exchange, CallerReply{IsReady(*gateway) ? 200 : 503, {}, "", false});
                                       });
    if (!ready || gateway->Config.MetricsAddress.empty())
    {
        return ready;
    }
    config.Address = gateway->Config.MetricsAddress;
    return ListenerStart(&gateway->Metrics, gateway->Loop, config,
                         [gateway](const ExchangePtr& exchange) {
                             Reply(exchange, CallerReply{200, {{"Content-Type", "text/plain"}}, MetricsText(*gateway), false});
                         });
}

//-----------------------------------------------------------------------------
// [SECTION] Planned stop
//-----------------------------------------------------------------------------

static void EndLoop(Gateway* gateway)
{
    gateway->Stopped = true;
    LoopStop(gateway->Loop);
}

static void StopStep(Gateway* gateway)
{
    const TimeUs since = NowUs() - gateway->StopUs;
    const bool out_of_balancer = since > StillAcceptUs;
    if (out_of_balancer)
    {
        ListenerCloseIdle(&gateway->Callers);
    }
    const bool done = out_of_balancer && gateway->Callers.Open.empty();
    if (done || since > gateway->Config.GraceUs - StopMarginUs)
    {
        EndLoop(gateway);
        return;
    }
    gateway->Stopping = TimerStart(gateway->Loop, StopStepUs, [gateway]() { StopStep(gateway); });
}

void GatewayStop(Gateway* gateway)
{
    if (gateway->StopUs != 0)
    {
        EndLoop(gateway);
        return;
    }
    gateway->StopUs = NowUs();
    gateway->Requests.Leaving = true;
    Log(LogLevel_Info, Code_None, "stopping", {{"inProgress", gateway->Requests.InProgress}});
    StopStep(gateway);
}

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

static void ApplySettings(Gateway* gateway, const GatewaySettings& settings)
{
    gateway->Config.GraceUs = settings.GraceUs;
    gateway->Config.Peers = settings.Peers;
    gateway->Config.StoreAddress = settings.StoreAddress;
    StoreReaderSetSources(&gateway->Store, MakeSources(gateway));
    gateway->Requests.Config.RepeatShare = settings.RepeatShare;
    gateway->Requests.Config.RepeatWindowUs = settings.RepeatWindowUs;
    gateway->Requests.DataCentre = settings.DataCentre;
    SetLogLevel(settings.Level);
    ForwarderFollow(&gateway->Requests);
}

void GatewayReload(Gateway* gateway)
{
    const Result<std::string> json = ReadFile(gateway->SettingsFile);
    const CheckedGatewaySettings checked = json ? ParseGatewaySettings(json.value()) : CheckedGatewaySettings();
    if (!json || !checked.Faults.empty())
    {
        const std::string detail = json ? checked.Faults.front().Where + ": " + checked.Faults.front().Detail : json.error().Detail;
        const Code_ code = json ? checked.Faults.front().Code : json.error().Code;
        Log(LogLevel_Error, code, "settings kept", {{"file", gateway->SettingsFile}, {"detail", detail}});
        return;
    }
    ApplySettings(gateway, checked.Value);
    Log(LogLevel_Info, Code_None, "settings loaded", {{"file", gateway->SettingsFile}});
}

static int64_t ChangeTime(const std::string& file)
{
    struct stat info = {};
    return stat(file.c_str(), &info) == 0 ? info.st_mtim.tv_sec * 1000000000LL + info.st_mtim.tv_nsec : 0;
}

static void CheckSettingsFile(Gateway* gateway)
{
    const int64_t changed = ChangeTime(gateway->SettingsFile);
    if (changed != 0 && changed != gateway->SettingsTime)
    {
        gateway->SettingsTime = changed;
        GatewayReload(gateway);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Start
//-----------------------------------------------------------------------------

static void Tick(Gateway* gateway)
{
    if (DirectoryTick(&gateway->Requests.Directory, NowUs()))
    {
        ForwarderFollow(&gateway->Requests);
    }
    CheckSettingsFile(gateway);
    gateway->Second = TimerStart(gateway->Loop, TickUs, [gateway]() { Tick(gateway); });
}

void GatewayWatchSignals(Gateway* gateway)
{
    for (const int number : {SIGTERM, SIGINT})
    {
        gateway->Signals.push_back(SignalStart(gateway->Loop, number, [gateway]() { GatewayStop(gateway); }));
    }
    gateway->Signals.push_back(SignalStart(gateway->Loop, SIGHUP, [gateway]() { GatewayReload(gateway); }));
}

Result<void> GatewayStart(Gateway* gateway, EventLoop* loop, const GatewaySettings& settings)
{
    gateway->Loop = loop;
    gateway->Config = settings;
    gateway->Rng.seed(std::random_device()());
    gateway->SettingsTime = ChangeTime(gateway->SettingsFile);
    ClientStart(&gateway->Targets, gateway->Loop);
    ClientStart(&gateway->Control, gateway->Loop);
    Forwarder& requests = gateway->Requests;
    requests.Names = PlatformNames();
    requests.Loop = gateway->Loop;
    requests.Targets = &gateway->Targets;
    requests.Rng = &gateway->Rng;
    ApplySettings(gateway, settings);
    ListenerConfig callers;
    callers.Address = settings.CallerAddress;
    callers.ConnectionsMost = settings.ConnectionsMost;
    const Result<void> listening = ListenerStart(&gateway->Callers, gateway->Loop, callers,
                                                 [&requests](const ExchangePtr& exchange) { ForwardRequest(&requests, exchange); });
    if (!listening)
    {
        return listening.error();
    }
    const Result<void> pages = StartPages(gateway);
    if (!pages)
    {
        return pages.error();
    }
    if (!settings.PeerAddress.empty())
    {
        const Result<void> peers = RelayStart(&gateway->Peers, loop, settings.PeerAddress);
        if (!peers)
        {
            return peers.error();
        }
    }
    StartStore(gateway);
    Tick(gateway);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

int GatewayRun(Gateway* gateway)
{
    while (!gateway->Stopped)
    {
        LoopRun(gateway->Loop);
    }
    return gateway->Requests.InProgress;
}

} // namespace Winchlink
