// control.cpp: the one thread that holds control state. Read ControlLoop() at the end first.
//
// Index of this file:
// [SECTION] Operators' view
// [SECTION] Publishing snapshots
// [SECTION] Platform
// [SECTION] Measuring
// [SECTION] Messages and reports
// [SECTION] The loop

#include "control.h"

#include "clock.h"
#include "names.h"

#include <algorithm>

namespace Winchlink
{

static constexpr int TickMs = 20; // Longest wait of the loop.
static constexpr TimeUs ViewPeriodUs = 250 * UsPerMs;
static constexpr TimeUs ProbePeriodUs = 50 * UsPerMs;
static constexpr TimeUs PrunePeriodUs = 1 * UsPerSecond;
static constexpr int ProbeTimeoutMs = 1000;
static constexpr size_t ProbeBodyMax = 64 * KiB;

//-----------------------------------------------------------------------------
// [SECTION] Operators' view
//-----------------------------------------------------------------------------

static std::vector<PeerView> ViewPeers(const Membership& members, TimeUs now)
{
    std::vector<PeerView> peers;
    for (const Peer& peer : members.Peers)
    {
        peers.push_back({FormatEndpoint(peer.Address), peer.Table.Revision, now - peer.HeardUs, peer.Direct});
    }
    return peers;
}

static void UpdateView(Control* control, TimeUs now)
{
    if (now < control->NextViewUs)
    {
        return;
    }
    control->NextViewUs = now + ViewPeriodUs;
    const Coordinator& fleet = control->Fleet;
    auto view = std::make_shared<ControlView>();
    view->InForce = fleet.Tables.Current->Version;
    view->Accepted = AgreementAccepted(fleet.Tables, fleet.Members);
    view->AdoptedUs = fleet.Tables.AdoptedUs;
    view->Joined = fleet.Tables.Joined;
    view->Alone = fleet.Tables.Alone;
    view->State = fleet.State;
    view->Conflicts = fleet.Tables.Conflicts;
    const bool by_platform = control->Platform.RefusedRevision > fleet.Tables.RefusedRevision;
    view->RefusedReason = by_platform ? control->Platform.RefusedReason : fleet.Tables.RefusedReason;
    view->RefusedRevision = std::max(control->Platform.RefusedRevision, fleet.Tables.RefusedRevision);
    view->PlatformReads = fleet.Members.AskedUs != 0;
    view->PlatformOlder = control->Platform.Older;
    view->PlatformSeen = control->Platform.SeenRevision;
    view->PlatformCalls = control->Platform.Calls;
    view->PlatformFailures = control->Platform.Failures;
    view->PlatformContactUs = control->Platform.LastContactUs;
    view->Peers = ViewPeers(fleet.Members, now);
    view->Measuring = {control->Measuring.Probes, control->Measuring.SpentUs};
    view->Permits = control->Permits.Counts;
    view->StreamsDropped = control->Wire.StreamsDropped;
    view->Messages = fleet.Counts;
    view->ReplaysRefused = fleet.Members.ReplaysRefused;
    view->Pauses = fleet.Pauses;
    view->SendErrors = control->Wire.SendErrors;
    view->CpuUs = ThreadCpuUs();
    view->MadeUs = now;
    std::atomic_store(&control->View, ControlViewPtr(view));
}

ControlViewPtr ControlLatest(const Control& control)
{
    return std::atomic_load(&control.View);
}

//-----------------------------------------------------------------------------
// [SECTION] Publishing snapshots
//-----------------------------------------------------------------------------

static std::shared_ptr<RowState> StateOf(Control* control, const std::string& row)
{
    std::shared_ptr<RowState>& state = control->RowStates[row];
    if (!state)
    {
        state = std::make_shared<RowState>();
        state->Rng.seed(control->Fleet.Rng());
    }
    return state;
}

static SnapshotRow MakeSnapshotRow(Control* control, const ServiceRow& row)
{
    SnapshotRow snapshot_row;
    snapshot_row.State = StateOf(control, row.Name);
    for (const TargetRow& target : row.Targets)
    {
        auto run = control->Fleet.Runs.ByKey.find(KeyOfTarget(target.Address));
        if (run != control->Fleet.Runs.ByKey.end())
        {
            snapshot_row.News.push_back({run->second.Run, run->second.ReportedUs});
        }
    }
    return snapshot_row;
}

static void DropOldRowStates(Control* control)
{
    for (auto it = control->RowStates.begin(); it != control->RowStates.end();)
    {
        const bool gone = FindRow(*control->Fleet.Tables.Current, it->first) == nullptr;
        it = gone ? control->RowStates.erase(it) : std::next(it); // Calls in progress hold it by their snapshot.
    }
}

// Publishes a snapshot if traffic threads should see something new.
static void PublishIfChanged(Control* control, TimeUs now)
{
    const TablePtr& table = control->Fleet.Tables.Current;
    const bool serving = control->Fleet.Tables.Joined && table->Version.Revision > 0;
    const bool table_changed = table != control->Published;
    // Only starts and leavings of targets: a load that a probe found is too old to choose by before any traffic thread sees it.
    const bool runs_changed = control->Fleet.Runs.Changes != control->PublishedRuns;
    const bool same = !table_changed && serving == control->PublishedServing && !runs_changed;
    if (same)
    {
        return;
    }
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->Serial = ++control->Serial;
    snapshot->Rows = table;
    snapshot->Number = static_cast<uint32_t>(control->Config.Number);
    snapshot->Numbers = static_cast<uint32_t>(control->Config.Numbers);
    snapshot->Serving = serving;
    snapshot->DataCentre = control->Config.DataCentre;
    for (const ServiceRow& row : table->Rows)
    {
        snapshot->States.push_back(MakeSnapshotRow(control, row));
    }
    if (table_changed)
    {
        control->Routes->PermitsFromUs = PermitDeskFollow(&control->Permits, *snapshot, now);
    }
    control->NextViewUs = now; // Pages never show an older table than callers are served by.
    UpdateView(control, now);
    RoutingPublish(control->Routes, snapshot);
    if (table_changed)
    {
        DropOldRowStates(control);
        BudgetFollowTable(&control->Measuring, *table, WallUs());
        Log(LogLevel_Info, Code_None, "table in force",
            {{"revision", table->Version.Revision}, {"digest", FormatDigest(table->Version.TableDigest)}});
    }
    control->Published = table;
    control->PublishedServing = serving;
    control->PublishedRuns = control->Fleet.Runs.Changes;
}

//-----------------------------------------------------------------------------
// [SECTION] Platform
//-----------------------------------------------------------------------------

static void LearnLeaving(Control* control, const std::string& address, TimeUs now)
{
    const TargetKey key = KeyOfTarget(address);
    auto known = control->Fleet.Runs.ByKey.find(key);
    if (known == control->Fleet.Runs.ByKey.end())
    {
        return;
    }
    // The list lags and does not say which start it means. It can only mean one that we know of.
    TargetRun run = known->second.Run;
    run.Leaving = true;
    run.AgeMs = UINT16_MAX;
    CoordinatorReport(&control->Fleet, run, now);
}

static void TakePlatformNews(Control* control, const PlatformNews& news, TimeUs now)
{
    Membership* members = &control->Fleet.Members;
    if (news.Answered || news.Failed)
    {
        MembershipAnswered(members, news.Answered, now);
    }
    if (news.HasList)
    {
        members->Seeds = news.List;
    }
    for (const std::string& address : news.LeavingTargets)
    {
        LearnLeaving(control, address, now);
    }
    // Still joining: what was read is dropped and read again, once the peers were heard.
    if (news.Read && AgreementMayTrustPlatform(control->Fleet.Tables))
    {
        CoordinatorOffer(&control->Fleet, news.Read, now);
    }
}

static void TickPlatform(Control* control, TimeUs now)
{
    Membership* members = &control->Fleet.Members;
    const bool reads = control->Fleet.Tables.Joined && MembershipShouldRead(members, now, &control->Fleet.Rng);
    const bool called =
        PlatformTick(&control->Platform, &control->Fetches, reads, *control->Fleet.Tables.Current, now, &control->Fleet.Rng);
    if (reads && called)
    {
        MembershipAsked(members, now);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Measuring
//-----------------------------------------------------------------------------

static TimeUs NewsAge(const Control& control, TargetKey key, TimeUs now)
{
    auto run = control.Fleet.Runs.ByKey.find(key);
    auto probe = control.LastNewsUs.find(key);
    const TimeUs reported = run != control.Fleet.Runs.ByKey.end() ? run->second.ReportedUs : 0;
    const TimeUs probed = probe != control.LastNewsUs.end() ? probe->second : 0;
    return now - std::max(reported, probed);
}

// The target of the row that we know least about. Which one we choose does not touch the budget.
static const TargetRow* MostSilent(const Control& control, const ServiceRow& row, TimeUs now)
{
    const TargetRow* best = nullptr;
    TimeUs best_age = -1;
    for (const TargetRow& target : row.Targets)
    {
        const TimeUs age = NewsAge(control, KeyOfTarget(target.Address), now);
        if (age > best_age)
        {
            best = &target;
            best_age = age;
        }
    }
    return best;
}

static void TickMeasuring(Control* control, TimeUs now)
{
    if (now < control->NextProbeUs || !CoordinatorCaughtUp(control->Fleet, now))
    {
        return;
    }
    control->NextProbeUs = now + ProbePeriodUs;
    for (const ServiceRow& row : control->Fleet.Tables.Current->Rows)
    {
        const TargetRow* target = BudgetLook(control->Measuring, row, WallUs()).Mine ? MostSilent(*control, row, now) : nullptr;
        if (target != nullptr && BudgetSpend(&control->Measuring, row, WallUs()))
        {
            control->LastNewsUs[KeyOfTarget(target->Address)] = now;
            const uint64_t id = FetchStart(&control->Fetches, target->Address, HealthPath, ProbeTimeoutMs, ProbeBodyMax);
            control->Probes[id] = {row.Name, target->Address};
        }
    }
}

static void TakeProbe(Control* control, const Probe& probe, const FetchResult& result, TimeUs now)
{
    TargetRun run;
    const bool good = result.Ok && result.Status == 200;
    if (!good)
    {
        Log(LogLevel_Debug, Code_None, "probe failed", {{"row", probe.Row}, {"target", probe.Address}, {"detail", result.Detail}});
        return;
    }
    if (ReadReport(result.Headers, probe.Address, &run))
    {
        CoordinatorReport(&control->Fleet, run, now);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Messages and reports
//-----------------------------------------------------------------------------

static void SendAll(Control* control, const std::vector<Envelope>& out, TimeUs now)
{
    for (const Envelope& envelope : out)
    {
        TransportSend(&control->Wire, envelope, now);
    }
}

static void TakeMessages(Control* control, TimeUs now)
{
    std::vector<Envelope> out;
    for (const std::string& bytes : TransportReceive(&control->Wire, now))
    {
        const Result<void> taken = CoordinatorReceive(&control->Fleet, bytes, now, &out);
        if (!taken)
        {
            Log(LogLevel_Debug, taken.error().Code, "message refused", {{"detail", taken.error().Detail}});
        }
    }
    SendAll(control, out, now);
}

static void TickPermits(Control* control, TimeUs now)
{
    std::vector<Envelope> out;
    PermitDeskTick(&control->Permits, control->Routes, &control->Fleet, now, &out);
    SendAll(control, out, now);
}

static void TakeReports(Control* control, TimeUs now)
{
    TargetRun run;
    while (control->Routes->Reports.pop(run))
    {
        CoordinatorReport(&control->Fleet, run, now);
    }
}

static void TakeFetches(Control* control, TimeUs now)
{
    for (const FetchResult& result : FetchTake(&control->Fetches))
    {
        auto probe = control->Probes.find(result.Id);
        if (probe != control->Probes.end())
        {
            TakeProbe(control, probe->second, result, now);
            control->Probes.erase(probe);
            continue;
        }
        PlatformNews news;
        if (PlatformTake(&control->Platform, &control->Fetches, result, *control->Fleet.Tables.Current, now, &news))
        {
            TakePlatformNews(control, news, now);
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] The loop
//-----------------------------------------------------------------------------

static void Tick(Control* control)
{
    const TimeUs now = NowUs();
    std::vector<Envelope> out;
    if (control->LeaveWanted && !control->LeaveSaid)
    {
        control->LeaveSaid = true;
        CoordinatorLeave(&control->Fleet, now, &out);
    }
    CoordinatorTick(&control->Fleet, now, &out);
    SendAll(control, out, now);
    TakeReports(control, now);
    TickPlatform(control, now);
    TickMeasuring(control, now);
    if (now >= control->NextPruneUs)
    {
        control->NextPruneUs = now + PrunePeriodUs;
        UpstreamPrune(control->Upstream, now);
    }
}

static void ControlLoop(Control* control)
{
    while (!control->StopWanted)
    {
        Tick(control);
        const TimeUs now = NowUs();
        TakeMessages(control, now);
        TickPermits(control, now);
        TakeFetches(control, now);
        PublishIfChanged(control, now);
        UpdateView(control, now);
        control->Routes->CaughtUp = CoordinatorCaughtUp(control->Fleet, now);
        control->Routes->ControlTickUs = now;
        FetcherPoll(&control->Fetches, TransportWaits(control->Wire), TickMs);
    }
}

static MembershipConfig MakeMembershipConfig(const Settings& settings)
{
    MembershipConfig config;
    config.Self = ParseEndpoint(settings.AdvertisedAddress).value();
    config.DataCentre = settings.DataCentre;
    config.Incarnation = static_cast<uint64_t>(WallUs());
    config.ViewMax = static_cast<size_t>(settings.ViewMax);
    config.Number = static_cast<uint32_t>(settings.Number);
    return config;
}

Result<void> ControlStart(Control* control, const Kernel& kernel)
{
    control->Routes = KernelFind<Routing>(kernel, "routing");
    control->Upstream = KernelFind<UpstreamPool>(kernel, "upstream");
    const Settings& settings = control->Config;
    Result<void> listening = TransportStart(&control->Wire, settings.ControlAddress);
    if (!listening)
    {
        return listening;
    }
    FetcherStart(&control->Fetches);
    const TimeUs now = NowUs();
    CoordinatorInit(&control->Fleet, MakeMembershipConfig(settings), settings.Keys,
                    static_cast<uint64_t>(WallUs()) ^ HashDataCentre(settings.ControlAddress), now);
    for (const std::string& peer : settings.Peers)
    {
        control->Fleet.Members.Seeds.push_back(ParseEndpoint(peer).value());
    }
    control->Platform.Address = settings.PlatformAddress;
    BudgetConfig budget;
    budget.Number = static_cast<uint32_t>(settings.Number);
    budget.Numbers = static_cast<uint32_t>(settings.Numbers);
    budget.ClockGuardUs = settings.ClockGuardMs * UsPerMs;
    BudgetInit(&control->Measuring, budget, WallUs());
    control->Permits.Config = {budget.Number, budget.Numbers, now, 0};
    control->Routes->WakeControl = [control]()
    {
        FetcherWake(&control->Fetches);
    };
    control->Routes->ControlTickUs = now;
    control->Thread = std::thread([control]() { ControlLoop(control); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void ControlStop(Control* control)
{
    control->StopWanted = true;
    if (control->Thread.joinable())
    {
        control->Thread.join();
    }
    FetcherStop(&control->Fetches);
    TransportStop(&control->Wire);
}

} // namespace Winchlink
