// choose.cpp: chooses a target for a request: probes targets for their load, and waits briefly when all are busy.
//
// Index of this file:
// [SECTION] Handling probe answers
// [SECTION] Selecting a target
// [SECTION] Probing
// [SECTION] Waiting requests

#include "call.h"

#include "clock.h"
#include "log.h"
#include "target_signals.h"

#include <algorithm>

namespace Winchlink
{

static void ProbeMore(const CallPtr& call);

//-----------------------------------------------------------------------------
// [SECTION] Handling probe answers
//-----------------------------------------------------------------------------

// State of a probe in flight.
struct ProbeCall
{
    std::string Target;
    uint64_t Generation = 0; // Of the target's pool entry when it was probed.
    TimeUs SentUs = 0;
    TimeUs TimeoutUs = 0;
    bool Late = false;          // It has timed out; its answer is still awaited.
    std::vector<CallPtr> Calls; // Requests for which it timed out.
};

// Updates the pool from a probe's answer. `generation` is that of the target's pool entry when it was probed; the answer
// of a target that has left the pool or restarted since is ignored.
static void LearnFromProbe(Forwarder* forwarder, ServiceState* service, const std::string& id, uint64_t generation,
                           const ClientAnswer& answer)
{
    PoolTarget* target = PoolFindEntry(&service->Pool, id, generation);
    if (target == nullptr)
    {
        return;
    }
    const WireNames& names = forwarder->Names;
    const std::string* answering_id = FindHeader(answer.Headers, names.TargetId);
    if (answer.End == ClientEnd_Answered && answering_id != nullptr && *answering_id != id)
    {
        Log(LogLevel_Info, Code_None, "target replaced", {{"target", id}, {"address", target->Address}, {"now", *answering_id}});
        DirectoryMarkReplaced(&forwarder->Directory, id);
        ForwarderFollow(forwarder);
        return;
    }
    if (answer.End != ClientEnd_Answered || answer.Status != 200 || (answering_id == nullptr && !names.TargetId.empty()))
    {
        PoolFailed(service->Pool.Config, target, NowUs());
        return;
    }
    const std::optional<LoadReport> report = ReadLoad(*forwarder, answer.Headers);
    service->Pool.ReportsLoad = report.has_value();
    if (report)
    {
        PoolReport(target, *report, NowUs());
        PoolUpdateShare(&service->Pool, *report, service->InProgress);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Selecting a target
//-----------------------------------------------------------------------------

// Whether this instance may open one more connection to the target.
static bool MayConnect(const Call& call, const PoolTarget& target)
{
    const int max = call.Spec->ConnectionsMax;
    return max == 0 || target.InFlight < max;
}

static bool Contains(const std::vector<std::string>& ids, const std::string& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

// Counts the request against the target's rate limit, if it has set one; once in a round of choosing. Returns false if the limit is
// reached.
static bool TakeLimit(Call* call, const PoolTarget& target, TimeUs now)
{
    const auto holds = [&target](const LimitGrant& grant)
    {
        return grant.IncarnationId == target.IncarnationId;
    };
    Quota* limits = &call->Owner->TargetLimits;
    if (QuotaTargetLimit(*limits, target.IncarnationId) == nullptr || std::any_of(call->Grants.begin(), call->Grants.end(), holds))
    {
        return true;
    }
    if (Contains(call->OverLimit, target.Id))
    {
        return false;
    }
    if (QuotaTakeTarget(limits, target.IncarnationId, now, call->Owner->Rng))
    {
        call->Grants.push_back({target.IncarnationId, now});
        return true;
    }
    call->Service->Signals.OverLimit++;
    call->OverLimit.push_back(target.Id);
    return false;
}

static bool HasCapacity(Call* call, const PoolTarget& target, TimeUs now)
{
    const TargetPool& pool = call->Service->Pool;
    const bool usable =
        PoolMayUse(target, now) && PoolHasFreeSlot(pool, target) && PoolMaySendCold(pool, target, now) && MayConnect(*call, target);
    return usable && TakeLimit(call, target, now);
}

// Whether a target is good enough to be chosen without probing others.
static bool IsGood(Call* call, const PoolTarget& target, TimeUs now)
{
    const TargetPool& pool = call->Service->Pool;
    return PoolCost(pool, target, now) <= pool.Config.GoodCost && HasCapacity(call, target, now);
}

// Whether a target of that cost is expected to answer in time. Before the first attempt that is the route's latency objective, as a refused
// request may still be served elsewhere in time; after it, the deadline.
static bool MeetsDeadline(const Call& call, double cost, TimeUs now)
{
    const bool sent = call.MayHaveRun > 0 || !call.Active.empty();
    const TimeUs left = sent ? LeftUs(call, now) : call.Inbound->ArrivedUs + call.MatchedRoute->LatencyObjectiveUs - now;
    return cost * call.Work->MeanUs < static_cast<double>(left);
}

// Targets that were considered in this round or have been sent the request already.
static std::vector<std::string> ExcludedTargets(const Call& call)
{
    std::vector<std::string> all = call.Probed;
    all.insert(all.end(), call.SentTo.begin(), call.SentTo.end());
    return all;
}

void RejectOrFallBack(const CallPtr& call, Code_ code, const std::string& detail)
{
    call->Choosing = Choosing_None;
    if (!call->Active.empty())
    {
        RetryHedgeLater(call);
        return;
    }
    if (call->FailedAnswer)
    {
        RelayAnswer(call, std::move(*call->FailedAnswer));
        return;
    }
    if (call->MayHaveRun > 0)
    {
        EndCallWith(call, Code_OutcomeUnknown, detail);
        return;
    }
    const TargetPool& pool = call->Service->Pool;
    if (pool.Targets.empty())
    {
        EndCallWith(call, pool.Evacuated > 0 ? Code_TargetsEvacuated : Code_NoTargetLeft, detail, call->Owner->Config.EmptyRetryUs);
        return;
    }
    EndCallBusy(call, code, detail);
}

// The target of lowest cost among those considered in this round that have capacity and a recent report; null if there is none.
static PoolTarget* BestProbed(Call* call, TimeUs now)
{
    TargetPool& pool = call->Service->Pool;
    PoolTarget* best = nullptr;
    for (const std::string& id : call->Probed)
    {
        PoolTarget* target = PoolFind(&pool, id);
        const bool has_report = target != nullptr && target->ReportUs > 0 && now < target->ReportUs + pool.Config.ReportMaxAgeUs;
        const bool usable = has_report && HasCapacity(call, *target, now);
        if (usable && (best == nullptr || PoolCost(pool, *target, now) < PoolCost(pool, *best, now)))
        {
            best = target;
        }
    }
    return best;
}

static void ProbeAgain(const CallPtr& call)
{
    call->ProbeRetryTimer = nullptr;
    if (NowUs() < call->ChooseDeadlineUs)
    {
        call->Probed.clear();
        call->OverLimit.clear();
    }
    ProbeMore(call);
}

// Whether all candidates are at their rate limits, or all targets have asked for backoff: waiting for a free slot would be useless.
static bool AllLimited(const Call& call, TimeUs now)
{
    const bool all_over_limit = !call.OverLimit.empty() && call.OverLimit.size() == call.Probed.size();
    return all_over_limit || (call.Probed.empty() && PoolBackoffEnds(call.Service->Pool, now));
}

// Called when no more targets may be probed and none is good: takes the best acceptable one, waits and probes again, or gives up.
static void Decide(const CallPtr& call)
{
    const ForwardConfig& config = call->Owner->Config;
    const TimeUs now = NowUs();
    PoolTarget* best = BestProbed(call.get(), now);
    const double cost = best != nullptr ? PoolCost(call->Service->Pool, *best, now) : 0;
    const bool in_time = best != nullptr && MeetsDeadline(*call, cost, now);
    const bool any = !call->Service->Pool.Targets.empty();
    const bool limited = AllLimited(*call, now);
    const bool may_wait = any && !limited && call->Choosing == Choosing_First && now + config.ProbeRetryUs < call->ChooseDeadlineUs;
    const bool acceptable = in_time && PoolIsAcceptable(call->Service->Pool, *best, now);
    const bool unreached = !limited && IsMostlyUnreached(*call);
    if (!acceptable && unreached && HandOff(call))
    {
        return;
    }
    if (acceptable || (in_time && !may_wait))
    {
        SendTo(call, best);
        return;
    }
    if (may_wait)
    {
        call->ProbeRetryTimer = TimerStart(call->Owner->Loop, config.ProbeRetryUs, [call]() { ProbeAgain(call); });
        call->Service->Waiting.push_back(call);
        return;
    }
    const Code_ code = limited                 ? Code_TargetsLimited
                       : unreached             ? Code_TargetsUnreachable
                       : call->ProbeCount == 0 ? Code_NoTargetLeft
                                               : Code_TargetsBusy;
    RejectOrFallBack(call, code, best != nullptr ? "too slow" : "");
}

//-----------------------------------------------------------------------------
// [SECTION] Probing
//-----------------------------------------------------------------------------

static void OnProbed(const CallPtr& call, const std::string& id, bool answered)
{
    call->ProbesInFlight--;
    if (call->Choosing == Choosing_None || call->ProbeRetryTimer)
    {
        return;
    }
    PoolTarget* target = PoolFind(&call->Service->Pool, id);
    const bool has_report = target != nullptr && answered && target->ReportUs > 0;
    if (has_report && IsGood(call.get(), *target, NowUs()))
    {
        SendTo(call, target);
        return;
    }
    ProbeMore(call);
}

// The requests that await the probe; they no longer do.
static std::vector<CallPtr> TakeWaiters(ServiceState* service, const std::string& id)
{
    std::vector<CallPtr> waiters = std::move(service->Probes[id]);
    service->Probes.erase(id);
    return waiters;
}

// No answer has come in time. The requests go on without it.
static void OnProbeLate(Forwarder* forwarder, ServiceState* service, ProbeCall* probe)
{
    probe->Late = true;
    probe->Calls = TakeWaiters(service, probe->Target);
    if (service->Path.State != TargetPathState_Lost)
    {
        ProbeTimeoutExpired(&service->ProbeTimeout, probe->TimeoutUs);
    }
    if (PoolTarget* target = PoolFindEntry(&service->Pool, probe->Target, probe->Generation))
    {
        PoolFailed(service->Pool.Config, target, NowUs());
    }
    NoteLate(forwarder, service, probe->Target, probe->SentUs);
    for (const CallPtr& call : probe->Calls)
    {
        call->Contacts[ContactEnd_Late]++;
        OnProbed(call, probe->Target, false);
    }
}

static void OnLateProbeEnded(Forwarder* forwarder, ServiceState* service, const ProbeCall& probe, const ClientAnswer& answer)
{
    const ContactEnd_ end = ContactEndOf(answer);
    if (answer.End == ClientEnd_Answered)
    {
        LearnFromProbe(forwarder, service, probe.Target, probe.Generation, answer);
    }
    NoteLateEnded(forwarder, service, probe.Target, end, probe.SentUs);
    for (const CallPtr& call : probe.Calls)
    {
        call->Contacts[ContactEnd_Late]--;
        call->Contacts[end]++;
    }
}

static void OnProbeAnswer(Forwarder* forwarder, ServiceState* service, const ProbeCall& probe, const ClientAnswer& answer)
{
    if (probe.Late)
    {
        OnLateProbeEnded(forwarder, service, probe, answer);
        return;
    }
    const std::vector<CallPtr> waiters = TakeWaiters(service, probe.Target);
    const ContactEnd_ end = ContactEndOf(answer);
    if (answer.End == ClientEnd_Answered)
    {
        ProbeTimeoutAnswered(&service->ProbeTimeout);
    }
    LearnFromProbe(forwarder, service, probe.Target, probe.Generation, answer);
    NoteContact(forwarder, service, probe.Target, end);
    for (const CallPtr& waiter : waiters)
    {
        waiter->Contacts[end]++;
        OnProbed(waiter, probe.Target, answer.End == ClientEnd_Answered);
    }
}

static void SendProbe(const Call& call, const PoolTarget& target)
{
    Forwarder* forwarder = call.Owner;
    ServiceState* service = call.Service;
    forwarder->ProbesSent++;
    ClientRequest request;
    request.Address = target.Address;
    request.Target = call.Spec->HealthPath;
    request.TimeoutUs = ProbeTimeoutNow(service->ProbeTimeout);
    request.ListenUs = service->ProbeTimeout.ListenUs;
    const auto probe = std::make_shared<ProbeCall>();
    probe->Target = target.Id;
    probe->Generation = target.Generation;
    probe->SentUs = NowUs();
    probe->TimeoutUs = request.TimeoutUs;
    request.OnLate = [forwarder, service, probe]()
    {
        OnProbeLate(forwarder, service, probe.get());
    };
    const std::string id_header = forwarder->Names.TargetId;
    // The late answer to a cancelled request may arrive on this connection instead; it lacks this header.
    request.AcceptsHeaders = [id_header](const std::vector<Header>& headers)
    {
        return id_header.empty() || FindHeader(headers, id_header) != nullptr;
    };
    request.OnHeaders =
        [forwarder, service, source = SignalSource{target.Id, target.Incarnation, true}](int status, const std::vector<Header>& headers)
    {
        const std::string* answering_id = FindHeader(headers, forwarder->Names.TargetId);
        if (answering_id == nullptr || *answering_id == source.Target) // Another target may have taken over the address.
        {
            ApplyTargetSignals(forwarder, service, source, status, headers);
        }
    };
    ClientSend(forwarder->Targets, std::move(request),
               [forwarder, service, probe](const ClientAnswer& answer) { OnProbeAnswer(forwarder, service, *probe, answer); });
}

// The probed target may hang: allows one more probe.
static void OnSlowProbe(const CallPtr& call)
{
    call->SlowProbeTimer = nullptr;
    if (call->Choosing != Choosing_None && !call->ProbeRetryTimer)
    {
        call->MaxConcurrentProbes++;
        ProbeMore(call);
    }
}

// Probes the target, or shares the answer to a probe that another request has in flight.
static void Probe(const CallPtr& call, const PoolTarget& target)
{
    std::vector<CallPtr>& waiters = call->Service->Probes[target.Id];
    call->ProbesInFlight++;
    call->ProbeCount++;
    waiters.push_back(call);
    call->SlowProbeTimer = TimerStart(call->Owner->Loop, call->Owner->Config.SlowProbeUs, [call]() { OnSlowProbe(call); });
    if (waiters.size() == 1)
    {
        SendProbe(*call, target);
        return;
    }
    call->Owner->ProbesShared++;
}

// The best target that is not at its rate limit; null if there is none.
static PoolTarget* NextUnprobed(Call* call)
{
    const TimeUs now = NowUs();
    for (;;)
    {
        std::vector<std::string> passed = call->SentTo;
        passed.insert(passed.end(), call->OverLimit.begin(), call->OverLimit.end());
        PoolTarget* target = PoolNextUnprobed(&call->Service->Pool, passed, !call->Retryable, now, call->Owner->Rng);
        if (target == nullptr || TakeLimit(call, *target, now))
        {
            return target;
        }
    }
}

// Targets that report no load are not probed: a request to their health path might have to wait for a slot. Chooses by the load that this
// instance itself has put on them.
static void SendUnprobed(const CallPtr& call)
{
    PoolTarget* target = NextUnprobed(call.get());
    const bool full = target != nullptr && target->InFlight >= call->Owner->Config.MaxUnprobedFactor * target->Slots;
    const bool cold = target != nullptr && !PoolMaySendCold(call->Service->Pool, *target, NowUs());
    if (target == nullptr || full || cold || !MayConnect(*call, *target))
    {
        const bool limited = !call->OverLimit.empty() || PoolBackoffEnds(call->Service->Pool, NowUs());
        const Code_ none = limited ? Code_TargetsLimited : Code_NoTargetLeft;
        RejectOrFallBack(call, target == nullptr ? none : Code_TargetsBusy, "targets report no load");
        return;
    }
    SendTo(call, target);
}

// Handles a request whose targets can't be reached from here: hands it on, or refuses it at once. Returns false if targets are to be
// tried here.
static bool HandleWithoutPath(const CallPtr& call)
{
    TargetPath* path = &call->Service->Path;
    const TargetPathState_ state = TargetPathNow(path, NowUs());
    if (state == TargetPathState_Open)
    {
        return false;
    }
    call->ProbeRetryTimer = nullptr;
    if (HandOff(call))
    {
        return true;
    }
    const bool others_may_serve = call->TakenFrom && state == TargetPathState_Lost;
    if (!TargetPathIsCertain(*path) && !others_may_serve)
    {
        return false;
    }
    RejectOrFallBack(call, Code_TargetsUnreachable, "");
    return true;
}

static void ProbeMore(const CallPtr& call)
{
    if (call->Choosing == Choosing_None || HandleWithoutPath(call) || !AdmitHere(call))
    {
        return;
    }
    if (!call->Service->Pool.ReportsLoad || call->Spec->HealthPath.empty())
    {
        SendUnprobed(call);
        return;
    }
    const ForwardConfig& config = call->Owner->Config;
    const TimeUs now = NowUs();
    while (now < call->ChooseDeadlineUs && call->OverLimit.size() < config.MaxOverLimit)
    {
        PoolTarget* next = PoolNext(&call->Service->Pool, ExcludedTargets(*call), !call->Retryable, now);
        const bool known = next != nullptr && next->ReportUs > 0 && now < next->ReportUs + config.ReportReuseUs;
        if (next == nullptr || (!known && (call->ProbesInFlight >= call->MaxConcurrentProbes ||
                                           call->ProbeCount - call->ProbeCountBefore >= config.MaxProbes)))
        {
            break;
        }
        call->Probed.push_back(next->Id);
        if (!TakeLimit(call.get(), *next, now))
        {
            continue; // A target at its rate limit is not probed either.
        }
        if (!known && MayConnect(*call, *next))
        {
            Probe(call, *next);
        }
        else if (known && IsGood(call.get(), *next, now))
        {
            SendTo(call, next);
            return;
        }
    }
    if (call->ProbesInFlight == 0)
    {
        Decide(call);
    }
}

void ChooseTarget(const CallPtr& call, Choosing_ choosing)
{
    const double share = call->Owner->Config.MaxChooseShare;
    call->Choosing = choosing;
    call->Probed.clear();
    call->OverLimit.clear();
    call->ProbeCountBefore = call->ProbeCount;
    call->MaxConcurrentProbes = 1;
    call->ChooseDeadlineUs = NowUs() + static_cast<TimeUs>(share * static_cast<double>(call->MatchedRoute->LatencyObjectiveUs));
    ProbeMore(call);
}

//-----------------------------------------------------------------------------
// [SECTION] Waiting requests
//-----------------------------------------------------------------------------

void ContinueChoosing(ServiceState* service)
{
    std::set<CallPtr> choosing;
    for (const auto& entry : service->Probes)
    {
        choosing.insert(entry.second.begin(), entry.second.end());
    }
    for (const std::weak_ptr<Call>& entry : service->Waiting)
    {
        const CallPtr waiting = entry.lock();
        if (waiting && waiting->ProbeRetryTimer)
        {
            choosing.insert(waiting);
        }
    }
    for (const CallPtr& call : choosing)
    {
        ProbeMore(call);
    }
}

void ServeWaiting(ServiceState* service, const std::string& target_id)
{
    CallPtr first;
    std::vector<std::weak_ptr<Call>> still_waiting;
    for (const std::weak_ptr<Call>& entry : service->Waiting)
    {
        const CallPtr waiting = entry.lock();
        if (!waiting || !waiting->ProbeRetryTimer)
        {
            continue; // It is probing again, or has ended.
        }
        still_waiting.push_back(entry);
        const bool already_tried = std::find(waiting->SentTo.begin(), waiting->SentTo.end(), target_id) != waiting->SentTo.end();
        first = already_tried ? first : !first || PriorityOf(*waiting) < PriorityOf(*first) ? waiting : first;
    }
    service->Waiting = std::move(still_waiting);
    PoolTarget* target = PoolFind(&service->Pool, target_id);
    const bool has_report = target != nullptr && target->ReportUs > 0;
    if (first && has_report && IsGood(first.get(), *target, NowUs()))
    {
        first->ProbeRetryTimer = nullptr;
        SendTo(first, target);
    }
}

} // namespace Winchlink
