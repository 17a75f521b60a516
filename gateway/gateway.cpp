// gateway.cpp: one instance: connects its parts, starts, reloads and stops them.
//
// Index of this file:
// [SECTION] Following the store
// [SECTION] Requests that crash targets
// [SECTION] Requests of other instances
// [SECTION] Quotas
// [SECTION] Datagrams
// [SECTION] Readiness and pages
// [SECTION] Planned stop
// [SECTION] Settings
// [SECTION] Start

#include "gateway.h"

#include "handoff.h"

#include "clock.h"
#include "page_client.h"
#include "pages.h"
#include "store_updates.h"

#include <algorithm>
#include <csignal>
#include <sys/stat.h>

namespace Winchlink
{

static constexpr TimeUs TickUs = 500 * UsPerMs;    // Interval of periodic work, such as the check of the settings file.
static constexpr TimeUs StopStepUs = 50 * UsPerMs; // Interval at which a stopping instance checks whether all connections are closed.
static constexpr TimeUs KeepAcceptingUs = 3 * UsPerSecond; // After the stop signal; covers two failed readiness checks of 1 s.
static constexpr TimeUs PendingConnectUs = 200 * UsPerMs;  // Time for handshakes in progress once new connections are ignored.
static constexpr TimeUs StopMarginUs = 300 * UsPerMs;      // The instance exits this long before the end of the grace time.
static constexpr TimeUs LastAnswersUs = 100 * UsPerMs;     // Before that: time in which the last answers are sent to callers.
static constexpr double BytesPerSOfMbps = 1e6 / 8;

//-----------------------------------------------------------------------------
// [SECTION] Following the store
//-----------------------------------------------------------------------------

// Configures the sources of updates.
static std::vector<PeerUpdate> NewsForSource(Gateway* gateway, const std::string& source);

static void SetSources(Gateway* gateway)
{
    const Settings& settings = gateway->Config;
    const GatewayTiming& timing = gateway->Timing;
    StoreReader& reader = gateway->Store;
    reader.FromStore = {gateway->Platform.Dialect, timing.StoreWaitUs, timing.StoreMarginUs, timing.StoreMarginUs,
                        timing.StoreBatchUs,       timing.StoreReadUs, timing.StoreConnectUs};
    reader.UnfollowedWaitUs = timing.UnfollowedWaitUs;
    FollowSetSources(&reader.Following, settings.PeerAddress, settings.StoreAddress, settings.Peers, &gateway->Rng);
    const auto news = [gateway](const std::string& source)
    {
        return NewsForSource(gateway, source);
    };
    const RelayFollower own = {settings.PeerAddress, PercentEncoded(settings.DataCentre), news};
    reader.FromInstance = {RelayDialect(own), timing.PeerWaitUs,   timing.PeerMarginUs, timing.PeerTryMarginUs, 0,
                           timing.PeerReadUs, timing.PeerConnectUs};
    gateway->Peers.DataCentre = PercentEncoded(settings.DataCentre); // Encoded as in the query of followers.
    reader.Following.DataCentre = gateway->Peers.DataCentre;
    gateway->Requests.Others.Own = settings.PeerAddress;
    gateway->Requests.Others.DataCentre = PeerDataCentre(settings.DataCentre);
}

// Whether the settings name other instances that exchange datagrams with this one.
static bool ExpectsOthers(const Settings& settings)
{
    const auto is_other = [&settings](const std::string& peer)
    {
        return peer != settings.PeerAddress;
    };
    return settings.DatagramPort != 0 && !settings.PeerAddress.empty() &&
           std::any_of(settings.Peers.begin(), settings.Peers.end(), is_other);
}

// The active readers decide on quotas.
static void UpdateQuotaRole(Gateway* gateway)
{
    for (Quota* quota : {&gateway->Requests.Quotas, &gateway->Requests.TargetLimits})
    {
        quota->IsSeed = gateway->Store.Following.Reads;
        quota->ExpectsOthers = ExpectsOthers(gateway->Config);
    }
}

static void OnStoreTrouble(Gateway* gateway, const std::string& why, TimeUs tried)
{
    if (!gateway->Requests.Directory.StoreUnavailable)
    {
        Log(LogLevel_Warn, Code_PlatformUnreachable, "store lost", {{"detail", why}, {"revision", gateway->Store.Following.Revision}});
    }
    DirectoryStoreFailed(&gateway->Requests.Directory, NowUs());
    RelaySetStoreLost(&gateway->Peers, NowUs() - tried);
    RelayAnswerDelegated(&gateway->Peers);
}

static void OnStoreAnswered(Gateway* gateway, bool changed)
{
    if (gateway->Requests.Directory.StoreUnavailable)
    {
        Log(LogLevel_Info, Code_None, "store regained",
            {{"revision", gateway->Store.Following.Revision}, {"origin", gateway->Store.Following.Origin}});
    }
    UpdateQuotaRole(gateway);
    DirectoryStoreAnswered(&gateway->Requests.Directory, NowUs());
    RelaySetStoreAvailable(&gateway->Peers);
    RelayAnswerDelegated(&gateway->Peers);
    if (!changed)
    {
        RelayHeartbeat(&gateway->Peers);
    }
}

static void OnStoreAll(Gateway* gateway, const StorePage& all, uint64_t at, TimeUs after)
{
    RelaySetAll(&gateway->Peers, all, at);
    ApplySoon(gateway, {all.Items, at, true, after});
}

static void OnStoreChanges(Gateway* gateway, const std::vector<StoreItem>& items, uint64_t at, TimeUs after)
{
    RelayAddChanges(&gateway->Peers, items, at);
    ApplySoon(gateway, {items, at, false, after});
}

static DataState CurrentData(const Gateway& gateway)
{
    const Follow& following = gateway.Store.Following;
    DataState state;
    state.Revision = gateway.PendingBatches.empty() ? following.Revision : gateway.AppliedRevision;
    state.AgeUs = StoreDataAgeUs(gateway.Store);
    state.ReadBy = following.Origin;
    state.Source = gateway.Store.InUse.Address;
    return state;
}

static void StartStore(Gateway* gateway)
{
    StoreReader& store = gateway->Store;
    store.OnAll = [gateway](const StorePage& all, uint64_t at, TimeUs after)
    {
        OnStoreAll(gateway, all, at, after);
    };
    store.OnChanges = [gateway](const std::vector<StoreItem>& items, uint64_t at, TimeUs after)
    {
        OnStoreChanges(gateway, items, at, after);
    };
    store.OnStoreFailed = [gateway](const std::string& why, TimeUs tried)
    {
        OnStoreTrouble(gateway, why, tried);
    };
    store.OnSourceFailed = [gateway](const std::string& source)
    {
        PeersSourceFailed(&gateway->Requests.Others, source);
    };
    store.OnNoPath = [gateway]()
    {
        RelayAnswerAll(&gateway->Peers);
    };
    store.OnAnswered = [gateway](bool changed)
    {
        OnStoreAnswered(gateway, changed);
    };
    Relay& peers = gateway->Peers;
    peers.Age = [&store]()
    {
        return NowUs() - store.Following.FreshUs;
    };
    peers.Origin = [&store]()
    {
        return store.Following.Origin;
    };
    peers.Path = [&store]()
    {
        std::vector<std::string> path = store.Following.Path;
        path.push_back(store.Following.Own);
        return path;
    };
    peers.NoPath = [&store]()
    {
        return store.Following.NoPath;
    };
    peers.Reads = [&store]()
    {
        return store.Following.Reads;
    };
    peers.Readers = [&store]()
    {
        return store.Following.Readers;
    };
    peers.OnFollowerSeen = [&store](const UpdateRequest& request)
    {
        FollowFollowerSeen(&store.Following, request.Address, request.DataCentre, NowUs());
    };
    peers.OnAskStore = [&store]()
    {
        StoreReaderAskStore(&store);
    };
    peers.OnInstanceSeen = [&store](const UpdateRequest& request)
    {
        FollowAddInstance(&store.Following, request.Address);
        if (request.ReadsStore)
        {
            FollowReaderSeen(&store.Following, request.Address, NowUs());
        }
    };
    gateway->Requests.CurrentData = [gateway]()
    {
        return CurrentData(*gateway);
    };
    gateway->Requests.OnPlanNeeded = [&store]()
    {
        StoreReaderCallersWaiting(&store);
    };
    StoreReaderStart(&store, gateway->Loop, &gateway->Control, &gateway->Rng);
}

//-----------------------------------------------------------------------------
// [SECTION] Requests that crash targets
//-----------------------------------------------------------------------------

static bool ReadsStore(const Gateway& gateway)
{
    return FollowSource(gateway.Store.Following).Kind == SourceKind_Store;
}

// Instances to which a reader of the store pushes what it knows: those that may belong to another tree of followers.
static std::vector<std::string> OtherTrees(const Follow& following)
{
    std::vector<std::string> others = FollowActiveReaders(following);
    for (const std::string& seed : following.Seeds)
    {
        const bool known = seed == following.Own || std::find(others.begin(), others.end(), seed) != others.end();
        if (!known)
        {
            others.push_back(seed);
        }
    }
    return others;
}

static void StartCrashExchange(Gateway* gateway)
{
    CrashReports& crashes = gateway->Crashes;
    crashes.Loop = gateway->Loop;
    crashes.Calls = &gateway->Control;
    crashes.Known = &gateway->Requests.Quarantined;
    crashes.Peers = [gateway]()
    {
        const Follow& following = gateway->Store.Following;
        return ReadsStore(*gateway) ? OtherTrees(following) : std::vector<std::string>{FollowSource(following).Address};
    };
    crashes.OnNotify = [gateway]()
    {
        RelayAnswerAll(&gateway->Peers);
    };
    gateway->Requests.OnQuarantineChanged = [&crashes]()
    {
        CrashReportsChanged(&crashes);
    };
    gateway->Store.OnQuarantineDigest = [&crashes](uint64_t digest)
    {
        CrashReportsSourceAnswered(&crashes, digest);
    };
    gateway->Peers.QuarantineDigest = [&crashes]()
    {
        return crashes.Known->Digest;
    };
    gateway->Peers.OnTargetCrashes = [&crashes](const std::string& bytes)
    {
        return CrashReportsReceived(&crashes, bytes);
    };
}

//-----------------------------------------------------------------------------
// [SECTION] Requests of other instances
//-----------------------------------------------------------------------------

// Whether targets of all services are reached, as far as is known.
static bool HasPathToAll(const Forwarder& requests)
{
    return std::none_of(requests.Services.begin(), requests.Services.end(),
                        [](const auto& entry) { return entry.second.Path.State == TargetPathState_Lost; });
}

static std::vector<PeerUpdate> NewsFor(const Gateway& gateway, const std::string& instance)
{
    const Forwarder& requests = gateway.Requests;
    return PeersNews(requests.Others, instance, HasPathToAll(requests), NowUs(), requests.Rng);
}

static std::vector<PeerUpdate> NewsForSource(Gateway* gateway, const std::string& source)
{
    const bool due = PeersNewsDue(&gateway->Requests.Others, source, HasPathToAll(gateway->Requests), NowUs());
    return due ? NewsFor(*gateway, source) : std::vector<PeerUpdate>();
}

static void StartHandoffs(Gateway* gateway)
{
    Forwarder* requests = &gateway->Requests;
    ClientStart(&gateway->PeerCalls, gateway->Loop);
    requests->PeerCalls = &gateway->PeerCalls;
    gateway->Peers.OnHandoff = [requests](const ExchangePtr& exchange)
    {
        return HandoffReceive(requests, exchange);
    };
    gateway->Peers.OnPeer = [requests](const PeerUpdate& peer)
    {
        PeersHeard(&requests->Others, peer, NowUs());
    };
    gateway->Peers.PeerNews = [gateway](const std::string& follower)
    {
        return NewsFor(*gateway, follower);
    };
    gateway->Store.OnPeers = [requests](const std::vector<PeerUpdate>& peers)
    {
        for (const PeerUpdate& peer : peers)
        {
            PeersHeard(&requests->Others, peer, NowUs());
        }
    };
}

//-----------------------------------------------------------------------------
// [SECTION] Quotas
//-----------------------------------------------------------------------------

// The address of the instance that is the source of updates; empty if the source is the store.
static std::string SourceInstance(const Gateway& gateway)
{
    const FollowStep& step = FollowSource(gateway.Store.Following);
    const bool instance = step.Kind == SourceKind_Seed || step.Kind == SourceKind_Instance;
    return instance ? step.Address : "";
}

static bool AnyQuota(const Customers& customers)
{
    return std::any_of(customers.List.begin(), customers.List.end(), [](const Customer& customer) { return customer.RatePerS > 0; });
}

static QuotaChannel CustomersChannel(Gateway* gateway)
{
    const auto wanted = [gateway]()
    {
        const RoutePlanPtr& plan = gateway->Requests.Plan;
        return plan && AnyQuota(plan->Callers);
    };
    const auto decide = [gateway](TimeUs now)
    {
        const RoutePlanPtr& plan = gateway->Requests.Plan;
        return plan && QuotaDecide(&gateway->Requests.Quotas, plan->Callers, now);
    };
    return {&gateway->Requests.Quotas, wanted, decide, nullptr};
}

static QuotaChannel TargetsChannel(Gateway* gateway)
{
    Quota* limits = &gateway->Requests.TargetLimits;
    limits->Config = TargetQuotaConfig();
    const auto wanted = [limits]()
    {
        return !limits->Limits.empty();
    };
    const auto decide = [limits](TimeUs now)
    {
        return QuotaDecideTargets(limits, now);
    };
    return {limits, wanted, decide, nullptr};
}

static void StartQuotas(Gateway* gateway)
{
    QuotaLink& link = gateway->Quotas;
    link.Loop = gateway->Loop;
    link.Channels[QuotaSubject_Customers] = CustomersChannel(gateway);
    link.Channels[QuotaSubject_Targets] = TargetsChannel(gateway);
    for (QuotaChannel& channel : link.Channels)
    {
        channel.State->StartedUs = gateway->StartedUs;
    }
    link.Datagrams = &gateway->Datagrams;
    link.Source = [gateway]()
    {
        return SourceInstance(*gateway);
    };
    link.Seeds = [gateway]()
    {
        return FollowActiveReaders(gateway->Store.Following);
    };
    link.Followers = [gateway]()
    {
        return RelayFollowers(gateway->Peers);
    };
    gateway->Requests.OnTargetLimitChanged = [&link]()
    {
        QuotaLinkUpdate(&link);
    };
    QuotaLinkStart(&link);
}

//-----------------------------------------------------------------------------
// [SECTION] Datagrams
//-----------------------------------------------------------------------------

// What instances need to share load and is not set; null if nothing is missing.
static const char* MissingForSharing(const Settings& settings)
{
    return !settings.ShareLoad            ? "shareLoad is false"
           : settings.DatagramPort == 0   ? "no datagramPort"
           : settings.PeerAddress.empty() ? "no peerAddress"
                                          : nullptr;
}

static void SetLoadSharing(Gateway* gateway)
{
    LoadLinkSet(&gateway->Load, MissingForSharing(gateway->Config) == nullptr, gateway->Config.DivideLoad);
}

static Result<void> StartDatagrams(Gateway* gateway)
{
    DatagramLink& link = gateway->Datagrams;
    link.Loop = gateway->Loop;
    link.Own = gateway->Config.PeerAddress;
    link.Port = gateway->Config.DatagramPort;
    StartQuotas(gateway);
    gateway->Load.Loop = gateway->Loop;
    gateway->Load.Datagrams = &link;
    gateway->Load.Requests = &gateway->Requests;
    gateway->Load.OnHeard = TakeOffer;
    SetLoadSharing(gateway);
    const char* missing = MissingForSharing(gateway->Config);
    if (missing != nullptr)
    {
        Log(LogLevel_Info, Code_None, "shared load off", {{"reason", missing}});
    }
    return DatagramLinkStart(&link);
}

//-----------------------------------------------------------------------------
// [SECTION] Readiness and pages
//-----------------------------------------------------------------------------

static bool IsReady(const Gateway& gateway)
{
    return gateway.Requests.Plan != nullptr && gateway.StopUs == 0;
}

static void Lift(Gateway* gateway, const ExchangePtr& exchange)
{
    const std::string key = QueryValue(exchange->Target, "request");
    const bool lifted = QuarantineClear(&gateway->Requests.Quarantined, key);
    Log(LogLevel_Warn, Code_None, "request lifted", {{"request", key}, {"wasHeld", lifted ? 1 : 0}});
    if (lifted)
    {
        CrashReportsChanged(&gateway->Crashes);
    }
    Reply(exchange, CallerReply{200, {{"Content-Type", "text/plain"}}, lifted ? LiftedText : NotHeldText, false});
}

static void AnswerPage(Gateway* gateway, const ExchangePtr& exchange)
{
    if (exchange->Method == "POST" && exchange->Target.rfind("/lift?", 0) == 0)
    {
        Lift(gateway, exchange);
        return;
    }
    if (exchange->Target == "/status")
    {
        Reply(exchange, CallerReply{200, {{"Content-Type", "application/json"}}, StatusText(*gateway), false});
        return;
    }
    Reply(exchange, CallerReply{200, {{"Content-Type", "text/plain"}}, MetricsText(*gateway), false});
}

static Result<void> StartPages(Gateway* gateway)
{
    ListenerConfig config;
    config.ConnectionsMax = 64;
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
                         [gateway](const ExchangePtr& exchange) { AnswerPage(gateway, exchange); });
}

//-----------------------------------------------------------------------------
// [SECTION] Planned stop
//-----------------------------------------------------------------------------

static void EndLoop(Gateway* gateway)
{
    gateway->Stopped = true;
    LoopStop(gateway->Loop);
}

// Closes idle connections, and ends the loop once all are closed or the grace time is nearly over.
static void StopWhenIdle(Gateway* gateway)
{
    ListenerCloseIdle(&gateway->Callers);
    const TimeUs since = NowUs() - gateway->StopUs;
    const bool quiet = since > KeepAcceptingUs + PendingConnectUs;
    if (quiet)
    {
        ListenerCloseSocket(&gateway->Callers);
    }
    const bool done = quiet && gateway->Callers.Open.empty() && gateway->Requests.Taken == 0;
    if (done || since > gateway->Config.GraceUs - StopMarginUs)
    {
        EndLoop(gateway);
        return;
    }
    gateway->StopTimer = TimerStart(gateway->Loop, StopStepUs, [gateway]() { StopWhenIdle(gateway); });
}

static void StopAccepting(Gateway* gateway)
{
    ListenerIgnoreNew(&gateway->Callers); // New connections would otherwise delay the exit until the grace time ends.
    StopWhenIdle(gateway);
}

void GatewayStop(Gateway* gateway)
{
    if (gateway->StopUs != 0)
    {
        EndLoop(gateway);
        return;
    }
    gateway->StopUs = NowUs();
    const TimeUs answer_by = std::max(gateway->StopUs, gateway->StopUs + gateway->Config.GraceUs - StopMarginUs - LastAnswersUs);
    Log(LogLevel_Info, Code_None, "stopping", {{"inProgress", gateway->Requests.InProgress}});
    ListenerDrain(&gateway->Callers);
    ForwarderDrain(&gateway->Requests, answer_by);
    const TimeUs serve_on = std::min(KeepAcceptingUs, gateway->Config.GraceUs - StopMarginUs);
    gateway->StopTimer = TimerStart(gateway->Loop, serve_on, [gateway]() { StopAccepting(gateway); });
}

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

static void ApplySettings(Gateway* gateway, const Settings& settings)
{
    gateway->Config.GraceUs = settings.GraceUs;
    gateway->Config.Peers = settings.Peers;
    gateway->Config.StoreAddress = settings.StoreAddress;
    SetSources(gateway);
    gateway->Requests.Config.RetryShare = settings.RetryShare;
    gateway->Requests.Config.FirstTryShare = settings.FirstTryShare;
    gateway->Requests.Config.RetryWindowUs = settings.RetryWindowUs;
    gateway->Requests.Quarantined.Config.CrashThreshold = settings.CrashesMax;
    gateway->Requests.Quarantined.Config.QuarantineUs = settings.QuarantineUs;
    gateway->Requests.Quotas.Config.WindowUs = settings.QuotaWindowUs;
    gateway->Requests.Quotas.Config.Overage = settings.QuotaOverage;
    gateway->Requests.Quotas.Config.Slack = settings.QuotaSlack;
    gateway->Requests.Link.BytesPerS = settings.LinkMbps * BytesPerSOfMbps;
    UpdateQuotaRole(gateway);
    gateway->Requests.DataCentre = settings.DataCentre;
    gateway->Config.ShareLoad = settings.ShareLoad;
    gateway->Config.DivideLoad = settings.DivideLoad;
    if (gateway->Load.Datagrams != nullptr) // Not at the start.
    {
        SetLoadSharing(gateway);
    }
    SetLogLevel(settings.Level);
    ForwarderFollow(&gateway->Requests);
}

void GatewayReload(Gateway* gateway)
{
    const CheckedSettings checked = ReadSettings(gateway->SettingsFile);
    if (!checked.Faults.empty())
    {
        const Fault& fault = checked.Faults.front();
        Log(LogLevel_Error, fault.Code, "settings kept", {{"file", gateway->SettingsFile}, {"key", fault.Where}, {"detail", fault.Detail}});
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
    CheckSettingsFile(gateway);
    if (gateway->Store.Following.FreshUs > 0)
    {
        LatencyAdd(&gateway->DataAge, StoreDataAgeUs(gateway->Store));
    }
    QuarantineExpire(&gateway->Requests.Quarantined, NowUs());
    SilentCrashesExpire(&gateway->Requests.Unanswered, NowUs());
    if (ReadsStore(*gateway))
    {
        CrashReportsCompare(&gateway->Crashes);
    }
    gateway->TickTimer = TimerStart(gateway->Loop, TickUs, [gateway]() { Tick(gateway); });
}

void GatewayWatchSignals(Gateway* gateway)
{
    for (const int number : {SIGTERM, SIGINT})
    {
        gateway->Signals.push_back(SignalStart(gateway->Loop, number, [gateway]() { GatewayStop(gateway); }));
    }
    gateway->Signals.push_back(SignalStart(gateway->Loop, SIGHUP, [gateway]() { GatewayReload(gateway); }));
}

Result<void> GatewayStart(Gateway* gateway, EventLoop* loop, const Adapter& adapter, const Settings& settings)
{
    gateway->Loop = loop;
    gateway->Platform = adapter;
    gateway->Config = settings;
    gateway->StartedUs = NowUs();
    gateway->Rng.seed(std::random_device()());
    gateway->SettingsTime = ChangeTime(gateway->SettingsFile);
    gateway->Control.Memory = &gateway->Targets.OwnMemory;
    gateway->PeerCalls.Memory = &gateway->Targets.OwnMemory;
    ClientStart(&gateway->Targets, gateway->Loop);
    gateway->Targets.SourceIp = settings.SourceIp;
    ClientStart(&gateway->Control, gateway->Loop);
    Forwarder& requests = gateway->Requests;
    requests.Names = adapter.Names;
    requests.IdPrefix = settings.Instance;
    requests.Loop = gateway->Loop;
    requests.StartedUs = gateway->StartedUs;
    requests.Targets = &gateway->Targets;
    gateway->Targets.Link = &requests.Link;
    gateway->Control.Link = &requests.Link;
    gateway->PeerCalls.Link = &requests.Link;
    gateway->Callers.Link = &requests.Link;
    gateway->Peers.Server.Link = &requests.Link;
    requests.Rng = &gateway->Rng;
    ApplySettings(gateway, settings);
    ListenerConfig callers;
    callers.Address = settings.CallerAddress;
    callers.ConnectionsMax = settings.ConnectionsMax;
    callers.MayOverlap = [&requests](const Exchange& exchange)
    {
        return ForwardMayOverlap(requests, exchange);
    };
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
        StartHandoffs(gateway);
        const Result<void> peers = RelayStart(&gateway->Peers, loop, &gateway->Rng, settings.PeerAddress);
        if (!peers)
        {
            return peers.error();
        }
    }
    const Result<void> datagrams = StartDatagrams(gateway);
    if (!datagrams)
    {
        return datagrams.error();
    }
    loop->OnSuspended = [gateway](TimeUs suspended)
    {
        gateway->SuspendedUs += suspended;
        Log(LogLevel_Warn, Code_None, "was suspended", {{"forUs", suspended}});
    };
    StartCrashExchange(gateway);
    StartStore(gateway);
    Tick(gateway);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Gateway::~Gateway()
{
    if (Loop != nullptr)
    {
        Loop->OnSuspended = nullptr; // The loop may outlive the gateway.
    }
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
