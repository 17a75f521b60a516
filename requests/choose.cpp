// choose.cpp: chooses a target for a request: sends the probes, starts the timers and carries out what winchlink_choose.cpp decides.
//
// Index of this file:
// [SECTION] Actions
// [SECTION] Probes
// [SECTION] Rounds
// [SECTION] Waiting requests

#include "call.h"

#include "clock.h"
#include "log.h"
#include "target_signals.h"

namespace Winchlink
{

static void Probe(const CallPtr& call, const PoolTarget& target, TimeUs slow);

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

static ChooserRequest RequestOf(const Call& call)
{
    ChooserRequest request;
    request.ArrivedUs = call.Inbound->ArrivedUs;
    request.LatencyObjectiveUs = call.MatchedRoute->LatencyObjectiveUs;
    request.DeadlineUs = call.DeadlineUs;
    request.WorkUs = call.Work->MeanUs;
    request.AnswerBytes = call.Work->AnswerBytes;
    request.Priority = PriorityOf(call);
    request.CameBack = call.SinceFirstTryUs > 0;
    request.Retryable = call.Retryable;
    request.Sent = call.MayHaveRun > 0 || !call.Active.empty();
    request.TakenFromPeer = call.TakenFrom.has_value();
    request.MayProbe = !call.Spec->HealthPath.empty();
    request.ConnectionsMax = call.Spec->ConnectionsMax;
    request.Contacts = call.Contacts;
    request.SentTo = &call.SentTo;
    return request;
}

static ChooserView ViewOf(const CallPtr& call)
{
    ChooserView view;
    view.Config = &call->Owner->Config.Choosing;
    view.Request = RequestOf(*call);
    view.Pool = &call->Service->Pool;
    view.Path = &call->Service->Path;
    view.TargetLimits = &call->Owner->TargetLimits;
    view.OverLimitCount = &call->Service->Signals.OverLimit;
    view.Rng = call->Owner->Rng;
    view.Shares = call->Owner->OnTargetBusy != nullptr;
    view.Divided = call->Owner->Divides ? &call->Service->Divided : nullptr;
    view.Admit = [&call]()
    {
        return AdmitHere(call);
    };
    view.PickPeer = [&call]()
    {
        return PickPeer(call);
    };
    return view;
}

// Sends the request to the target, unless the instance stops before the target is expected to answer.
static void SendOrRefuse(const CallPtr& call, PoolTarget* target)
{
    if (AnswersBeforeStop(*call, PoolCost(call->Service->Pool, *target, NowUs()) * call->Work->MeanUs))
    {
        SendTo(call, target);
        return;
    }
    RejectOrFallBack(call, Code_InstanceStopping, "the target may answer too late");
}

static void CarryOut(const CallPtr& call, const ChooseActions& actions);

static void StartWaiting(const CallPtr& call, TimeUs delay)
{
    const auto retry = [call]()
    {
        call->ProbeRetryTimer = nullptr;
        CarryOut(call, ChooserRetry(&call->Round, ViewOf(call), NowUs()));
    };
    call->ProbeRetryTimer = TimerStart(call->Owner->Loop, delay, retry);
    call->Service->Waiting.push_back(call);
}

static void CarryOut(const CallPtr& call, const ChooseActions& actions)
{
    if (!call->Round.Waiting)
    {
        call->ProbeRetryTimer = nullptr;
    }
    for (const ChooseAction& action : actions)
    {
        switch (action.Kind)
        {
        case ChooseAction_Ask:
            call->Owner->OnTargetBusy(call->Service);
            break;
        case ChooseAction_Probe:
            Probe(call, *action.Target, action.DelayUs);
            break;
        case ChooseAction_Send:
            SendOrRefuse(call, action.Target);
            break;
        case ChooseAction_Wait:
            StartWaiting(call, action.DelayUs);
            break;
        case ChooseAction_HandOff:
            HandOffTo(call, action.Peer);
            break;
        case ChooseAction_Refuse:
            RejectOrFallBack(call, action.Code, action.Detail);
            break;
        default:
            break;
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Probes
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
// of a target that has left the pool or restarted since is ignored. Returns true if the pool holds a new report.
static bool LearnFromProbe(Forwarder* forwarder, ServiceState* service, const std::string& id, uint64_t generation,
                           const ClientAnswer& answer)
{
    PoolTarget* target = PoolFindEntry(&service->Pool, id, generation);
    if (target == nullptr)
    {
        return false;
    }
    const WireNames& names = forwarder->Names;
    const std::string* answering_id = FindHeader(answer.Headers, names.TargetId);
    if (answer.End == ClientEnd_Answered && answering_id != nullptr && *answering_id != id)
    {
        Log(LogLevel_Info, Code_None, "target replaced", {{"target", id}, {"address", target->Address}, {"now", *answering_id}});
        DirectoryMarkReplaced(&forwarder->Directory, id);
        ForwarderFollow(forwarder);
        return false;
    }
    if (answer.End != ClientEnd_Answered || answer.Status != 200 || (answering_id == nullptr && !names.TargetId.empty()))
    {
        PoolFailed(service->Pool.Config, target, NowUs());
        return false;
    }
    const std::optional<LoadReport> report = ReadLoad(*forwarder, answer.Headers);
    service->Pool.ReportsLoad = report.has_value();
    if (report)
    {
        const TimeUs now = NowUs();
        PoolProbed(&service->Pool, target, *report, now);
        if (forwarder->Divides && target->Near)
        {
            DivisionProbed(&service->Divided, PoolHasFreeSlot(service->Pool, *target) && PoolIsAcceptable(service->Pool, *target, now),
                           now);
        }
        PoolDemandReported(&service->Pool, *target, *report, now);
    }
    return report.has_value();
}

// The requests that await the probe; they no longer do.
static std::vector<CallPtr> TakeWaiters(ServiceState* service, const std::string& id)
{
    std::vector<CallPtr> waiters = std::move(service->Probes[id]);
    service->Probes.erase(id);
    return waiters;
}

// Lets the requests that awaited the probe go on. `answered`: with a report.
static void ContinueProbed(const std::vector<CallPtr>& calls, const std::string& target, ContactEnd_ end, bool answered)
{
    for (const CallPtr& call : calls)
    {
        call->Contacts[end]++;
        CarryOut(call, ChooserProbed(&call->Round, ViewOf(call), target, answered, NowUs()));
    }
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
    ContinueProbed(probe->Calls, probe->Target, ContactEnd_Late, false);
}

static void OnLateProbeEnded(Forwarder* forwarder, ServiceState* service, const ProbeCall& probe, const ClientAnswer& answer)
{
    const ContactEnd_ end = ContactEndOf(answer);
    const bool fresh = NowUs() < probe.SentUs + service->Pool.Config.ReportMaxAgeUs;
    const bool has_report =
        answer.End == ClientEnd_Answered && fresh && LearnFromProbe(forwarder, service, probe.Target, probe.Generation, answer);
    NoteLateEnded(forwarder, service, probe.Target, end, probe.SentUs);
    for (const CallPtr& call : probe.Calls)
    {
        call->Contacts[ContactEnd_Late]--;
        call->Contacts[end]++;
    }
    if (has_report)
    {
        ServeWaiting(service, probe.Target);
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
    const bool has_report = LearnFromProbe(forwarder, service, probe.Target, probe.Generation, answer);
    NoteContact(forwarder, service, probe.Target, end);
    ContinueProbed(waiters, probe.Target, end, has_report);
}

static void SendProbe(const Call& call, const PoolTarget& target)
{
    Forwarder* forwarder = call.Owner;
    ServiceState* service = call.Service;
    forwarder->ProbesSent++;
    ClientRequest request;
    request.Address = target.Address;
    request.Target = call.Spec->HealthPath;
    request.MaxAnswerBytes = HealthAnswerBytesMax;
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

// Probes the target, or shares the answer to a probe that another request has in flight.
static void Probe(const CallPtr& call, const PoolTarget& target, TimeUs slow)
{
    const auto on_slow = [call]()
    {
        call->SlowProbeTimer = nullptr;
        CarryOut(call, ChooserSlowProbe(&call->Round, ViewOf(call), NowUs()));
    };
    call->SlowProbeTimer = TimerStart(call->Owner->Loop, slow, on_slow);
    std::vector<CallPtr>& waiters = call->Service->Probes[target.Id];
    waiters.push_back(call);
    if (waiters.size() == 1)
    {
        SendProbe(*call, target);
        return;
    }
    call->Owner->ProbesShared++;
}

//-----------------------------------------------------------------------------
// [SECTION] Rounds
//-----------------------------------------------------------------------------

void ChooseTarget(const CallPtr& call, Choosing_ choosing)
{
    CarryOut(call, ChooserStart(&call->Round, choosing, ViewOf(call), NowUs()));
}

void RejectOrFallBack(const CallPtr& call, Code_ code, const std::string& detail)
{
    ChooserStop(&call->Round);
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
        if (waiting && waiting->Round.Waiting)
        {
            choosing.insert(waiting);
        }
    }
    for (const CallPtr& call : choosing)
    {
        CarryOut(call, ChooserPathChanged(&call->Round, ViewOf(call), NowUs()));
    }
}

// The most urgent request that waits for a free target and was not sent to this one; null if there is none.
static CallPtr MostUrgentWaiting(ServiceState* service, const std::string& target_id)
{
    std::vector<CallPtr> waiting;
    std::vector<ChooserRequest> requests;
    for (const std::weak_ptr<Call>& entry : service->Waiting)
    {
        const CallPtr call = entry.lock();
        if (call && call->Round.Waiting) // Otherwise it is probing again, or has ended.
        {
            waiting.push_back(call);
            requests.push_back(RequestOf(*call));
        }
    }
    service->Waiting.assign(waiting.begin(), waiting.end());
    const std::optional<size_t> first = ChooserMostUrgent(requests, target_id);
    return first ? waiting[*first] : nullptr;
}

void ServeWaiting(ServiceState* service, const std::string& target_id)
{
    const CallPtr call = MostUrgentWaiting(service, target_id);
    if (call)
    {
        CarryOut(call, ChooserSlotFree(&call->Round, ViewOf(call), target_id, NowUs()));
    }
}

void TakeOffer(ServiceState* service, PoolTarget* offered)
{
    const CallPtr call = offered != nullptr ? MostUrgentWaiting(service, offered->Id) : nullptr;
    if (call)
    {
        CarryOut(call, ChooserTold(&call->Round, ViewOf(call), NowUs()));
    }
}

} // namespace Winchlink
