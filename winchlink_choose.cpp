// winchlink_choose.cpp: chooses the target of a request: a state machine of probes, their answers and timers.
//
// Index of this file:
// [SECTION] Actions
// [SECTION] Checks on a target
// [SECTION] End of the search
// [SECTION] Search
// [SECTION] Events
// [SECTION] Waiting requests

#include "winchlink_internal.h"

#include <algorithm>
#include <iterator>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

// One event: its time, and the actions that result from it.
struct Step
{
    Chooser* State;
    const ChooserView& View;
    TimeUs Now;
    ChooseActions Actions;
};

static ChooseAction* AddAction(Step* step, ChooseAction_ kind)
{
    step->Actions.emplace_back();
    step->Actions.back().Kind = kind;
    return &step->Actions.back();
}

static void Ask(Step* step)
{
    if (step->View.Shares)
    {
        AddAction(step, ChooseAction_Ask);
    }
}

static void Probe(Step* step, PoolTarget* target)
{
    step->State->Awaited.push_back(target->Id);
    step->State->ProbeCount++;
    ChooseAction* action = AddAction(step, ChooseAction_Probe);
    action->Target = target;
    action->DelayUs = step->View.Config->SlowProbeUs;
}

static void Send(Step* step, PoolTarget* target)
{
    ChooserStop(step->State);
    AddAction(step, ChooseAction_Send)->Target = target;
}

static void Wait(Step* step)
{
    step->State->Waiting = true;
    AddAction(step, ChooseAction_Wait)->DelayUs = step->View.Config->ProbeRetryUs;
}

// Returns false if there is no instance to hand the request to.
static bool HandOff(Step* step)
{
    std::string peer = step->View.PickPeer();
    if (peer.empty())
    {
        return false;
    }
    ChooserStop(step->State);
    AddAction(step, ChooseAction_HandOff)->Peer = std::move(peer);
    return true;
}

static void Refuse(Step* step, Code_ code, const char* detail)
{
    ChooserStop(step->State);
    ChooseAction* action = AddAction(step, ChooseAction_Refuse);
    action->Code = code;
    action->Detail = detail;
}

//-----------------------------------------------------------------------------
// [SECTION] Checks on a target
//-----------------------------------------------------------------------------

static bool Contains(const std::vector<std::string>& ids, const std::string& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

// Returns false if the id is not among them.
static bool Remove(std::vector<std::string>* ids, const std::string& id)
{
    const auto found = std::find(ids->begin(), ids->end(), id);
    if (found == ids->end())
    {
        return false;
    }
    ids->erase(found);
    return true;
}

// Whether this instance may open one more connection to the target.
static bool MayConnect(const Step& step, const PoolTarget& target)
{
    const int max = step.View.Request.ConnectionsMax;
    return max == 0 || target.InFlight < max;
}

// Counts the request against the target's rate limit, if it has set one; once in a round. Returns false if the limit is reached.
static bool TakeLimit(Step* step, const PoolTarget& target)
{
    Chooser* chooser = step->State;
    const ChooserView& view = step->View;
    const auto holds = [&target](const LimitGrant& grant)
    {
        return grant.IncarnationId == target.IncarnationId;
    };
    if (QuotaTargetLimit(*view.TargetLimits, target.IncarnationId) == nullptr ||
        std::any_of(chooser->Grants.begin(), chooser->Grants.end(), holds))
    {
        return true;
    }
    if (Contains(chooser->OverLimit, target.Id))
    {
        return false;
    }
    if (QuotaTakeTarget(view.TargetLimits, target.IncarnationId, step->Now, view.Rng))
    {
        chooser->Grants.push_back({target.IncarnationId, step->Now});
        return true;
    }
    (*view.OverLimitCount)++;
    chooser->OverLimit.push_back(target.Id);
    return false;
}

// Whether what the target itself has last told this instance still counts.
static bool HasFreshReport(const Step& step, const PoolTarget& target)
{
    return target.ReportUs > 0 && step.Now < target.ReportUs + step.View.Pool->Config.ReportMaxAgeUs;
}

static bool HasCapacity(Step* step, const PoolTarget& target)
{
    const TargetPool& pool = *step->View.Pool;
    const bool usable = PoolMayUse(target, step->Now) && PoolHasFreeSlot(pool, target) && PoolMaySendCold(pool, target, step->Now) &&
                        MayConnect(*step, target);
    return usable && TakeLimit(step, target);
}

static DivisionRequest DivisionRequestOf(const Step& step)
{
    const ChooserRequest& request = step.View.Request;
    return {request.WorkUs, request.AnswerBytes, request.ArrivedUs + request.LatencyObjectiveUs - step.Now};
}

// Whether the own data centre is short of room and the request rather waits there than crosses to another one, see DivisionHasSlack().
static bool StaysAtHome(const Step& step)
{
    const ChooserView& view = step.View;
    return view.Divided != nullptr && view.Divided->Active && DivisionHasSlack(view.Divided->Config, DivisionRequestOf(step));
}

// The cost up to which a target is taken without probing others.
static double GoodCostOf(const Step& step, const PoolTarget& target)
{
    const double good = PoolGoodCost(*step.View.Pool);
    if (!target.Near || !StaysAtHome(step))
    {
        return good;
    }
    const DivisionRequest request = DivisionRequestOf(step);
    const double affordable = step.View.Config->SlackCostShare * static_cast<double>(request.LeftUs) / request.WorkUs;
    return std::max(good, std::min(affordable, step.View.Config->SlackCostMax));
}

// Whether a target is good enough to be chosen without probing others.
static bool IsGood(Step* step, const PoolTarget& target)
{
    return PoolCost(*step->View.Pool, target, step->Now) <= GoodCostOf(*step, target) && HasCapacity(step, target);
}

// Whether a target of that cost is expected to answer in time. Before the first attempt that is the route's latency objective, as a refused
// request may still be served elsewhere in time; after it, the deadline.
static bool MeetsDeadline(const Step& step, double cost)
{
    const ChooserRequest& request = step.View.Request;
    const TimeUs end = request.Sent ? request.DeadlineUs : request.ArrivedUs + request.LatencyObjectiveUs;
    return cost * request.WorkUs < static_cast<double>(end - step.Now);
}

//-----------------------------------------------------------------------------
// [SECTION] End of the search
//-----------------------------------------------------------------------------

// The target of lowest cost among those considered in this search that have capacity and a recent report; null if there is none.
static PoolTarget* BestProbed(Step* step)
{
    TargetPool* pool = step->View.Pool;
    PoolTarget* best = nullptr;
    for (const std::string& id : step->State->Probed)
    {
        PoolTarget* target = PoolFind(pool, id);
        const bool usable = target != nullptr && HasFreshReport(*step, *target) && HasCapacity(step, *target);
        if (usable && (best == nullptr || PoolCost(*pool, *target, step->Now) < PoolCost(*pool, *best, step->Now)))
        {
            best = target;
        }
    }
    return best;
}

// Whether all candidates are at their rate limits, or all targets have asked for backoff: waiting for a free slot would be useless.
static bool AllLimited(const Step& step)
{
    const Chooser& chooser = *step.State;
    const bool all_over_limit = !chooser.OverLimit.empty() && chooser.OverLimit.size() == chooser.Probed.size();
    return all_over_limit || (chooser.Probed.empty() && PoolBackoffEnds(*step.View.Pool, step.Now));
}

static bool HasTimeToWait(const Step& step)
{
    return step.Now + step.View.Config->ProbeRetryUs < step.State->DeadlineUs;
}

// Whether the request can wait and search again.
static bool CanWait(const Step& step)
{
    return step.State->Kind == Choosing_First && HasTimeToWait(step);
}

// Whether the request is not served for lack of a path. While it can wait, a probe that is late says nothing: its answer may still come.
static bool IsUnreached(const Step& step, bool may_wait)
{
    ContactCounts contacts = step.View.Request.Contacts;
    contacts[ContactEnd_Late] = may_wait ? 0 : contacts[ContactEnd_Late];
    return ChooserUnreached(*step.View.Path, contacts, step.Now);
}

// No more targets may be probed and none is good: takes the best acceptable one, waits and probes again, or gives up.
static void Decide(Step* step)
{
    const ChooserView& view = step->View;
    const Chooser& chooser = *step->State;
    PoolTarget* best = BestProbed(step);
    const bool in_time = best != nullptr && MeetsDeadline(*step, PoolCost(*view.Pool, *best, step->Now));
    const bool affordable = in_time && PoolCost(*view.Pool, *best, step->Now) <= GoodCostOf(*step, *best);
    const bool acceptable = affordable || (in_time && PoolIsAcceptable(*view.Pool, *best, step->Now));
    const bool limited = AllLimited(*step);
    const bool may_wait = !view.Pool->Targets.empty() && !limited && CanWait(*step);
    const bool unreached = !limited && IsUnreached(*step, may_wait);
    if (!acceptable && unreached && HandOff(step))
    {
        return;
    }
    if (acceptable || (in_time && !may_wait))
    {
        Send(step, best);
        return;
    }
    if (may_wait)
    {
        Wait(step);
        return;
    }
    const Code_ code = limited                   ? Code_TargetsLimited
                       : unreached               ? Code_TargetsUnreachable
                       : chooser.ProbeCount == 0 ? Code_NoTargetLeft
                                                 : Code_TargetsBusy;
    Refuse(step, code, best != nullptr ? "too slow" : "");
}

//-----------------------------------------------------------------------------
// [SECTION] Search
//-----------------------------------------------------------------------------

// The best target that is not at its rate limit; null if there is none.
static PoolTarget* NextUnprobed(Step* step)
{
    const ChooserView& view = step->View;
    for (;;)
    {
        std::vector<std::string> passed = *view.Request.SentTo;
        passed.insert(passed.end(), step->State->OverLimit.begin(), step->State->OverLimit.end());
        PoolTarget* target = PoolNextUnprobed(view.Pool, passed, !view.Request.Retryable, step->Now, view.Rng);
        if (target == nullptr || TakeLimit(step, *target))
        {
            return target;
        }
    }
}

// Targets that report no load are not probed: a request to their health path might have to wait for a slot. Chooses by the load that this
// instance itself has put on them.
static void SendUnprobed(Step* step)
{
    const ChooserView& view = step->View;
    PoolTarget* target = NextUnprobed(step);
    const bool full = target != nullptr && target->InFlight >= view.Config->MaxUnprobedFactor * target->Slots;
    const bool cold = target != nullptr && !PoolMaySendCold(*view.Pool, *target, step->Now);
    if (target == nullptr || full || cold || !MayConnect(*step, *target))
    {
        const bool limited = !step->State->OverLimit.empty() || PoolBackoffEnds(*view.Pool, step->Now);
        const Code_ none = limited ? Code_TargetsLimited : Code_NoTargetLeft;
        Refuse(step, target == nullptr ? none : Code_TargetsBusy, "targets report no load");
        return;
    }
    Send(step, target);
}

// Handles a request whose targets can't be reached from here: hands it on, or refuses it at once. Returns false if targets are to be tried
// here.
static bool HandleWithoutPath(Step* step)
{
    const ChooserView& view = step->View;
    const TargetPathState_ state = TargetPathNow(view.Path, step->Now);
    if (state == TargetPathState_Open)
    {
        return false;
    }
    step->State->Waiting = false;
    if (HandOff(step))
    {
        return true;
    }
    const bool others_may_serve = view.Request.TakenFromPeer && state == TargetPathState_Lost;
    if (!TargetPathIsCertain(*view.Path) && !others_may_serve)
    {
        return false;
    }
    Refuse(step, Code_TargetsUnreachable, "");
    return true;
}

// Whether a free slot at the target is known from a recent report, the own or that of another instance.
static bool IsKnownFree(const Step& step, const PoolTarget& target)
{
    const TargetPool& pool = *step.View.Pool;
    const std::optional<KnownLoad> known = PoolKnownLoad(pool, target, step.Now);
    return known && known->Load.Running + known->Load.Waiting < known->Load.Slots &&
           PoolRankCost(pool, target, step.Now) <= PoolGoodCost(pool);
}

// Whether another instance has offered a free slot of a target that was considered before. It is then considered once more, unless it is
// still being probed.
static bool IsOfferedAgain(const Step& step, const std::string& id)
{
    const Chooser& chooser = *step.State;
    const PoolTarget* target = PoolFind(step.View.Pool, id);
    const bool first = std::count(chooser.Probed.begin(), chooser.Probed.end(), id) == 1 && !Contains(chooser.OverLimit, id);
    const bool ended = !Contains(chooser.Awaited, id);
    return first && ended && target != nullptr && target->ToldUs > target->ReportUs && IsKnownFree(step, *target);
}

// Targets that are not considered in this search: those considered before, those that were sent the request, and those that are still being
// probed from earlier rounds.
static std::vector<std::string> PassedTargets(const Step& step)
{
    std::vector<std::string> passed;
    std::copy_if(step.State->Probed.begin(), step.State->Probed.end(), std::back_inserter(passed),
                 [&](const std::string& id) { return !IsOfferedAgain(step, id); });
    passed.insert(passed.end(), step.View.Request.SentTo->begin(), step.View.Request.SentTo->end());
    passed.insert(passed.end(), step.State->Unawaited.begin(), step.State->Unawaited.end());
    return passed;
}

// A target in the data centre that is to serve the request, if that is another one. Decided once in a search, when enough targets at home
// were probed in vain or there are none. Null if there is none.
static PoolTarget* CrossCandidate(Step* step, const std::vector<std::string>& passed)
{
    const ChooserView& view = step->View;
    Chooser* chooser = step->State;
    if (view.Divided == nullptr)
    {
        return nullptr;
    }
    const SharedRoom own = LoadRoom(*view.Pool, step->Now);
    const auto probes = static_cast<size_t>(chooser->ProbeCount - chooser->ProbeCountBefore);
    const bool home_left = PoolNextNear(view.Pool, passed, !view.Request.Retryable, step->Now) != nullptr;
    if (home_left && probes < view.Divided->Config.HomeProbes)
    {
        return nullptr;
    }
    if (!chooser->Divided)
    {
        chooser->Divided = true;
        chooser->CrossTo = DivisionPick(view.Divided, own, DivisionRequestOf(*step), step->Now, view.Rng);
    }
    return chooser->CrossTo ? PoolNextIn(view.Pool, *chooser->CrossTo, passed, !view.Request.Retryable, step->Now) : nullptr;
}

// Whether a request may cross although DivisionPick() has named no data centre: while none has told of its room lately or there are no
// targets at home, and where it would be refused otherwise although one has told of free targets.
static bool MayCrossUnasked(const Step& step)
{
    const Division* divided = step.View.Divided;
    if (divided == nullptr || LoadRoom(*step.View.Pool, step.Now).Targets == 0)
    {
        return true;
    }
    bool told = false;
    bool free = false;
    for (const auto& entry : divided->Rooms)
    {
        const DataCentreRoom& other = entry.second;
        const bool recent = other.HeardUs > 0 && step.Now < other.HeardUs + divided->Config.RoomMaxAgeUs;
        told = told || recent;
        free = free || (recent && other.Room.Free > 0);
    }
    return !told || (free && !HasTimeToWait(step));
}

// The next target to consider: neither considered in this search nor sent the request already. Null if none is left.
static PoolTarget* NextCandidate(Step* step)
{
    const std::vector<std::string> passed = PassedTargets(*step);
    PoolTarget* next = PoolNext(step->View.Pool, passed, !step->View.Request.Retryable, step->Now);
    if (next != nullptr && next->Near && IsKnownFree(*step, *next))
    {
        return next;
    }
    PoolTarget* crossing = CrossCandidate(step, passed);
    if (crossing != nullptr)
    {
        return crossing;
    }
    const bool near_only = next != nullptr && !next->Near && !MayCrossUnasked(*step);
    return near_only ? PoolNextNear(step->View.Pool, passed, !step->View.Request.Retryable, step->Now) : next;
}

// Whether the target may be probed now. Those that others have told to be free, and those of the data centre that the request crosses to,
// may be when all else was in vain.
static bool MayProbe(const Step& step, const PoolTarget& target)
{
    const Chooser& chooser = *step.State;
    const ChooserConfig& config = *step.View.Config;
    const bool told = step.View.Pool->Shared && IsKnownFree(step, target);
    const bool crosses = step.View.Divided != nullptr && chooser.CrossTo && target.DataCentre == *chooser.CrossTo;
    const int extra = crosses ? static_cast<int>(step.View.Divided->Config.AwayProbes) : told ? config.MaxToldProbes : 0;
    const bool has_place = static_cast<int>(chooser.Awaited.size()) < chooser.MaxConcurrentProbes;
    return has_place && chooser.ProbeCount - chooser.ProbeCountBefore < config.MaxProbes + extra;
}

// Whether the target needs no probe: its own report is young, and no other instance has told of it since.
static bool IsReportYoung(const Step& step, const PoolTarget& target)
{
    const bool young = target.ReportUs > 0 && step.Now < target.ReportUs + step.View.Config->ReportReuseUs;
    return young && target.ToldUs <= target.ReportUs;
}

// Considers candidates until one is good or no more may be probed now.
static void ProbeMore(Step* step)
{
    Chooser* chooser = step->State;
    const ChooserConfig& config = *step->View.Config;
    while (step->Now < chooser->DeadlineUs && chooser->OverLimit.size() < config.MaxOverLimit)
    {
        PoolTarget* next = NextCandidate(step);
        const bool known = next != nullptr && IsReportYoung(*step, *next);
        if (next == nullptr || (!known && !MayProbe(*step, *next)))
        {
            break;
        }
        chooser->Probed.push_back(next->Id);
        if (!TakeLimit(step, *next))
        {
            continue; // A target at its rate limit is not probed either.
        }
        if (!known && MayConnect(*step, *next))
        {
            Probe(step, next);
        }
        else if (known && IsGood(step, *next))
        {
            Send(step, next);
            return;
        }
    }
    if (chooser->Awaited.empty())
    {
        Decide(step);
    }
}

// Goes on with the round, if there is one.
static void Continue(Step* step)
{
    if (step->State->Kind == Choosing_None || HandleWithoutPath(step))
    {
        return;
    }
    if (!step->View.Admit())
    {
        ChooserStop(step->State);
        return;
    }
    if (!step->View.Pool->ReportsLoad || !step->View.Request.MayProbe)
    {
        SendUnprobed(step);
        return;
    }
    ProbeMore(step);
}

// Where load is shared, slow probes are not awaited while the request can search again: slots that are free now won't be once a slow
// target has answered. To be called when all probes under way are slow.
static void DecideIfSlow(Step* step)
{
    const Chooser& chooser = *step->State;
    const bool only_awaits = chooser.Kind != Choosing_None && !chooser.Waiting && step->Actions.empty();
    if (only_awaits && step->View.Pool->Shared && CanWait(*step))
    {
        Decide(step);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

ChooseActions ChooserStart(Chooser* chooser, Choosing_ kind, const ChooserView& view, TimeUs now)
{
    const double share = view.Config->MaxChooseShare;
    chooser->Kind = kind;
    chooser->Probed.clear();
    chooser->OverLimit.clear();
    chooser->Unawaited.insert(chooser->Unawaited.end(), chooser->Awaited.begin(), chooser->Awaited.end());
    chooser->Awaited.clear();
    chooser->ProbeCountBefore = chooser->ProbeCount;
    chooser->MaxConcurrentProbes = 1;
    chooser->Divided = false;
    chooser->CrossTo.reset();
    chooser->DeadlineUs = now + static_cast<TimeUs>(share * static_cast<double>(view.Request.LatencyObjectiveUs));
    Step step = {chooser, view, now, {}};
    Continue(&step);
    return step.Actions;
}

ChooseActions ChooserProbed(Chooser* chooser, const ChooserView& view, const std::string& target, bool answered, TimeUs now)
{
    Step step = {chooser, view, now, {}};
    if (!Remove(&chooser->Awaited, target))
    {
        Remove(&chooser->Unawaited, target);
    }
    if (chooser->Kind == Choosing_None)
    {
        return {};
    }
    PoolTarget* found = PoolFind(view.Pool, target);
    const bool has_report = found != nullptr && answered && HasFreshReport(step, *found);
    const bool sent_there = Contains(*view.Request.SentTo, target); // A slot came free there while the probe was under way.
    if (has_report && !sent_there && IsGood(&step, *found))
    {
        Send(&step, found);
        return step.Actions;
    }
    if (chooser->Waiting)
    {
        return {};
    }
    constexpr size_t busy_min = 2; // Targets found busy before others are asked: one alone says little of a service.
    if (view.Pool->Shared || chooser->Probed.size() >= busy_min)
    {
        Ask(&step);
    }
    Continue(&step);
    return step.Actions;
}

ChooseActions ChooserSlowProbe(Chooser* chooser, const ChooserView& view, TimeUs now)
{
    if (chooser->Kind == Choosing_None || chooser->Waiting)
    {
        return {};
    }
    chooser->MaxConcurrentProbes++; // The probed target may hang.
    Step step = {chooser, view, now, {}};
    Continue(&step);
    DecideIfSlow(&step);
    return step.Actions;
}

ChooseActions ChooserRetry(Chooser* chooser, const ChooserView& view, TimeUs now)
{
    chooser->Waiting = false;
    if (now < chooser->DeadlineUs)
    {
        chooser->Probed = chooser->Awaited; // Those that are still being probed are not probed twice at once.
        chooser->OverLimit.clear();
        chooser->Divided = false;
        chooser->CrossTo.reset();
    }
    Step step = {chooser, view, now, {}};
    Continue(&step);
    DecideIfSlow(&step);
    return step.Actions;
}

ChooseActions ChooserSlotFree(Chooser* chooser, const ChooserView& view, const std::string& target, TimeUs now)
{
    Step step = {chooser, view, now, {}};
    PoolTarget* found = PoolFind(view.Pool, target);
    if (chooser->Waiting && found != nullptr && HasFreshReport(step, *found) && IsGood(&step, *found))
    {
        Send(&step, found);
    }
    return step.Actions;
}

ChooseActions ChooserTold(Chooser* chooser, const ChooserView& view, TimeUs now)
{
    Step step = {chooser, view, now, {}};
    if (!chooser->Waiting || now >= chooser->DeadlineUs)
    {
        return {};
    }
    const PoolTarget* next = PoolNext(view.Pool, PassedTargets(step), !view.Request.Retryable, now);
    if (next != nullptr && IsKnownFree(step, *next))
    {
        chooser->Waiting = false;
        Continue(&step);
    }
    return step.Actions;
}

ChooseActions ChooserPathChanged(Chooser* chooser, const ChooserView& view, TimeUs now)
{
    if (chooser->Waiting && TargetPathNow(view.Path, now) == TargetPathState_Open)
    {
        return {};
    }
    Step step = {chooser, view, now, {}};
    Continue(&step);
    return step.Actions;
}

void ChooserStop(Chooser* chooser)
{
    chooser->Kind = Choosing_None;
    chooser->Waiting = false;
}

//-----------------------------------------------------------------------------
// [SECTION] Waiting requests
//-----------------------------------------------------------------------------

static bool IsMoreUrgent(const ChooserRequest& a, const ChooserRequest& b)
{
    return a.Priority != b.Priority ? a.Priority < b.Priority : a.CameBack && !b.CameBack;
}

std::optional<size_t> ChooserMostUrgent(const std::vector<ChooserRequest>& waiting, const std::string& target)
{
    std::optional<size_t> first;
    for (size_t n = 0; n < waiting.size(); n++)
    {
        const bool already_tried = Contains(*waiting[n].SentTo, target);
        if (!already_tried && (!first || IsMoreUrgent(waiting[n], waiting[*first])))
        {
            first = n;
        }
    }
    return first;
}

bool ChooserUnreached(const TargetPath& path, const ContactCounts& contacts, TimeUs now)
{
    const int answered = contacts[ContactEnd_Answered];
    const bool resets_count = TargetPathResetsCount(path, now);
    return resets_count ? FailedContacts(contacts) > answered : UnreachedContacts(contacts) > answered + contacts[ContactEnd_Reset];
}

} // namespace Winchlink
