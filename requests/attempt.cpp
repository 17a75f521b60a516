// attempt.cpp: sends a request to a target, interprets its answer, and decides on retries and hedging.
//
// A request that may not be run twice is retried only if it was never sent, or if the target declared that it did not run it. One that may
// be run more than once is hedged: when the first attempt takes much longer than expected, it is sent to a second target as well, and the
// first good answer is relayed.
//
// Index of this file:
// [SECTION] Classifying answers
// [SECTION] Updating the pool
// [SECTION] Retrying and answering
// [SECTION] Sending and hedging

#include "call.h"

#include "clock.h"
#include "log.h"
#include "target_signals.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Classifying answers
//-----------------------------------------------------------------------------

static bool IsNotExecuted(const Forwarder& forwarder, const ClientAnswer& answer)
{
    constexpr int wrong_target = 421; // Misdirected Request: the address now belongs to another target.
    constexpr int min_error = 400;    // A response with a success status was run, whatever its headers say.
    const WireNames& names = forwarder.Names;
    const std::string* value = FindHeader(answer.Headers, names.NotExecuted);
    const bool declared = value != nullptr && (names.NotExecutedValue.empty() || *value == names.NotExecutedValue);
    return answer.End == ClientEnd_Answered && (answer.Status == wrong_target || (declared && answer.Status >= min_error));
}

// An answer counts only if it has the signature header that only targets set, and if its body is not compressed.
static bool IsGenuine(const Forwarder& forwarder, const ClientAnswer& answer)
{
    const bool signature = forwarder.Names.Signature.empty() || FindHeader(answer.Headers, forwarder.Names.Signature) != nullptr;
    return signature && FindHeader(answer.Headers, "Content-Encoding") == nullptr;
}

// Statuses that a caller would read as "not run", although the target did not declare that.
static bool ImpliesNotRun(int status)
{
    return status == 408 || status == 429 || status == 503;
}

static Verdict_ ClassifyAnswer(const Forwarder& forwarder, const ClientAnswer& answer)
{
    if (answer.End == ClientEnd_NotConnected || answer.End == ClientEnd_Withheld || IsNotExecuted(forwarder, answer))
    {
        return Verdict_NotRun;
    }
    const bool good = answer.End == ClientEnd_Answered && IsGenuine(forwarder, answer) && !ImpliesNotRun(answer.Status);
    return good ? Verdict_Relay : Verdict_Lost;
}

//-----------------------------------------------------------------------------
// [SECTION] Updating the pool
//-----------------------------------------------------------------------------

// Updates the mean duration of the route's requests at a target of cost 1, and how much slower nearly full targets are.
static void LearnWorkTime(Call* call, const Attempt& attempt, TimeUs took)
{
    constexpr double gain = 0.05; // Weight of the latest answer in the moving average; work varies by a third and more.
    double& mean = call->Work->MeanUs;
    const double usual = static_cast<double>(took) * 100.0 / attempt.Report.PacePercent;
    if (!attempt.NearlyFull)
    {
        mean = mean == 0 ? usual : mean + gain * (usual - mean);
    }
    else if (mean > 0)
    {
        PoolUpdateNearlyFull(&call->Service->Pool, usual / mean);
    }
}

static void LearnAnswerSize(RouteWork* work, size_t bytes)
{
    constexpr double gain = 0.05; // Weight of the latest answer in the moving average.
    const auto size = static_cast<double>(bytes);
    work->AnswerBytes = work->AnswerBytes == 0 ? size : work->AnswerBytes + gain * (size - work->AnswerBytes);
}

std::optional<LoadReport> ReadLoad(const Forwarder& forwarder, const std::vector<Header>& headers)
{
    const std::string* load = FindHeader(headers, forwarder.Names.Load);
    return load != nullptr ? ParseLoadReport(*load) : std::nullopt;
}

// The attempt's target; null if it has left the pool or restarted.
static PoolTarget* FindTargetOf(const Call& call, const Attempt& attempt)
{
    return PoolFindEntry(&call.Service->Pool, attempt.Target, attempt.Generation);
}

void PenalizeTargets(const Call& call)
{
    for (const Attempt& attempt : call.Active)
    {
        PoolTarget* target = FindTargetOf(call, attempt);
        if (target != nullptr)
        {
            PoolFailed(call.Service->Pool.Config, target, NowUs());
        }
    }
}

// One request of this instance at the target has ended.
static void ReleaseSlot(PoolTarget* target, const Attempt& attempt)
{
    const bool unreported = target->ReportUs < attempt.SentUs && target->SentSinceReport > 0;
    target->InFlight--;
    target->SentSinceReport -= unreported ? 1 : 0;
}

static void LearnFromAnswer(const CallPtr& call, const Attempt& attempt, const ClientAnswer& answer, Verdict_ verdict)
{
    Forwarder* forwarder = call->Owner;
    if (FindTargetOf(*call, attempt) != nullptr && answer.End == ClientEnd_Answered && answer.Status == 421)
    {
        DirectoryMarkReplaced(&forwarder->Directory, attempt.Target);
        ForwarderFollow(forwarder);
    }
    PoolTarget* target = FindTargetOf(*call, attempt);
    if (target == nullptr)
    {
        return;
    }
    ReleaseSlot(target, attempt);
    const std::optional<LoadReport> report = ReadLoad(*forwarder, answer.Headers);
    if (report)
    {
        call->Service->Pool.ReportsLoad = true;
        PoolReport(target, *report, NowUs());
    }
    if (verdict == Verdict_Relay && answer.Status < 500)
    {
        LearnWorkTime(call.get(), attempt, answer.TookUs);
        PoolDemandServed(&call->Service->Pool, *target, answer.TookUs, NowUs());
        LearnAnswerSize(call->Work, answer.Body.size());
        PoolSucceeded(target);
    }
    else if (answer.End != ClientEnd_Withheld)
    {
        PoolFailed(call->Service->Pool.Config, target, NowUs());
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Retrying and answering
//-----------------------------------------------------------------------------

// An answer without its body, as the one to HEAD, states the length that the body of GET has (RFC 9110, 8.6). Only the target knows it.
static const std::string* StatedLength(const ClientAnswer& answer)
{
    constexpr int no_content = 204;
    const bool states = answer.Framing.Ends == Framing_NoBody && answer.Status != no_content;
    const std::string* length = states ? FindHeader(answer.Headers, "Content-Length") : nullptr;
    const bool plain = length != nullptr && length->find_first_not_of("0123456789") == std::string::npos;
    return plain ? length : nullptr;
}

void RelayAnswer(const CallPtr& call, ClientAnswer answer)
{
    CancelAttempts(call);
    CallerReply reply;
    reply.Status = answer.Status;
    reply.Body = std::move(answer.Body);
    if (const std::string* length = StatedLength(answer))
    {
        reply.Headers.push_back({"Content-Length", *length});
    }
    for (Header& header : answer.Headers)
    {
        const bool internal = SameHeader(header.Name, call->Owner->Names.Load) || SameHeader(header.Name, HeaderHandoff);
        if (!IsHopHeader(header.Name) && !internal)
        {
            reply.Headers.push_back(std::move(header));
        }
    }
    EndCall(call, Code_None, "", std::move(reply));
}

static bool WasSent(const ClientAnswer& answer)
{
    return answer.End != ClientEnd_NotConnected && answer.End != ClientEnd_Withheld;
}

// Takes one retry from the given share of the budget. A refusal is logged, as it explains a later failure.
static bool TakeRetry(const CallPtr& call, double part, Choosing_ kind)
{
    const TimeUs now = NowUs();
    const int least = kind == Choosing_Hedge ? 0 : 1; // A hedge must not take the only retry of a quiet window.
    const bool taken = RetryBudgetTake(&call->Service->Retries, part, now, least);
    if (taken)
    {
        call->RetryTakenUs = now;
    }
    else
    {
        const bool kept = kind != Choosing_Hedge && RetryBudgetAllows(call->Service->Retries, 1, now, least);
        call->Service->Metrics.RetriesRefused++;
        call->Service->Metrics.RetriesKept += kept ? 1 : 0;
        Log(LogLevel_Info, Code_None, "repeat refused by the budget",
            {{"requestId", call->Id},
             {"service", call->ServiceName},
             {"attempts", call->Attempts},
             {"partPercent", std::lround(part * 100)},
             {"kept", kept ? 1 : 0}});
    }
    return taken;
}

// A target that refuses a request although it reports free slots is unhealthy, not busy.
static bool RefusedWithCapacity(const Call& call, const ClientAnswer& answer)
{
    const std::optional<LoadReport> load = ReadLoad(*call.Owner, answer.Headers);
    return load && load->Running + load->Waiting < load->Slots;
}

// The part of the retry budget that a retry after this answer may use.
static double RetryPart(const Call& call, const ClientAnswer& answer)
{
    const ForwardConfig& config = call.Owner->Config;
    RefusedTry refused;
    const TimeUs now = NowUs();
    refused.First = call.NamesTimeout && call.SinceFirstTryUs == 0;             // Else nothing tells first tries from later ones.
    refused.ReturnUs = config.UnhealthyRetryUs + now - call.Inbound->ArrivedUs; // The search begins anew.
    refused.LeftUs = call.Inbound->ArrivedUs + call.MatchedRoute->LatencyObjectiveUs - now;
    refused.WorkUs = call.Work->MeanUs;
    const bool turned_away = call.MayHaveRun == 0 && answer.Status == 503 && RefusedWithCapacity(call, answer);
    const bool returns = turned_away && CallerReturnsInTime(refused);
    return returns ? config.FirstTryShare : 1.0;
}

// Whether the request may be sent to another target. Takes a retry from the budget, unless the request was never sent.
static bool CanRetry(const CallPtr& call, const ClientAnswer& answer)
{
    constexpr size_t max_targets = 8; // Limits retries after failed connections, which do not count as attempts.
    const TimeUs now = NowUs();
    if (LeftUs(*call, now) <= 0 || IsQuarantined(call.get()) || !IsKeyValid(*call))
    {
        return false;
    }
    if (!WasSent(answer))
    {
        return call->SentTo.size() < max_targets;
    }
    const bool allowed = call->Retryable || call->MayHaveRun == 0;
    return allowed && call->Attempts < call->AttemptsMax && TakeRetry(call, RetryPart(*call, answer), Choosing_First);
}

static void EndUnanswered(const CallPtr& call, const ClientAnswer& answer)
{
    if (call->MayHaveRun == 0 && IsQuarantined(call.get()))
    {
        EndCallQuarantined(call);
        return;
    }
    if (call->MayHaveRun == 0 && !IsKeyValid(*call))
    {
        EndCallWith(call, Code_KeyUnknown, "API key revoked");
        return;
    }
    if (call->MayHaveRun == 0 && RefusedWithCapacity(*call, answer))
    {
        EndCallWith(call, Code_TargetRefused, answer.Detail, call->Owner->Config.UnhealthyRetryUs);
        return;
    }
    if (call->MayHaveRun == 0)
    {
        EndCallBusy(call, Code_TargetRefused, answer.Detail);
        return;
    }
    EndCallWith(call, answer.End == ClientEnd_TimedOut ? Code_DeadlinePassed : Code_OutcomeUnknown, answer.Detail);
}

void ContinueCall(const CallPtr& call, Verdict_ verdict, ClientAnswer answer)
{
    const bool failed = verdict == Verdict_Relay && answer.Status >= 500;
    const bool done = verdict == Verdict_Relay && !(failed && call->Retryable);
    if (done)
    {
        RelayAnswer(call, std::move(answer));
        return;
    }
    if (!call->Active.empty())
    {
        return; // The other attempt is still in flight.
    }
    if (call->Round.Kind != Choosing_None)
    {
        call->Round.Kind = Choosing_First; // No attempt is left beside the hedge being prepared: it becomes a retry.
        return;
    }
    if (CanRetry(call, answer))
    {
        if (verdict == Verdict_Relay)
        {
            call->FailedAnswer = std::move(answer);
        }
        ChooseTarget(call, Choosing_First);
        return;
    }
    if (verdict == Verdict_Relay || call->FailedAnswer)
    {
        RelayAnswer(call, verdict == Verdict_Relay ? std::move(answer) : std::move(*call->FailedAnswer));
        return;
    }
    EndUnanswered(call, answer);
}

Attempt TakeAttempt(Call* call, const std::string& target)
{
    const auto found =
        std::find_if(call->Active.begin(), call->Active.end(), [&](const Attempt& attempt) { return attempt.Target == target; });
    assert(found != call->Active.end() && "the attempt is not in flight");
    Attempt attempt = *found;
    call->Active.erase(found);
    return attempt;
}

// Logs a lost attempt with both the request id and the key that is the same at all tries of the caller: the final log line of the call
// names only its last attempt.
static void LogLost(Call* call, const ClientAnswer& answer)
{
    Log(LogLevel_Info, Code_OutcomeUnknown, "attempt lost",
        {{"requestId", call->Id},
         {"request", CallKey(call)},
         {"service", call->ServiceName},
         {"target", call->LastAttempt.Target},
         {"attempt", call->Attempts},
         {"tookUs", answer.TookUs},
         {"status", answer.Status},
         {"defect", AnswerDefectName(answer.Defect)},
         {"headBytes", static_cast<uint64_t>(answer.HeadBytes)},
         {"bodyBytes", static_cast<uint64_t>(answer.BodyBytes)},
         {"detail", answer.Detail}});
}

// No own request has taken the slot that came free at the target: other instances may need it.
static void OfferFreeSlot(const Call& call, const std::string& target)
{
    PoolTarget* found = PoolFind(&call.Service->Pool, target);
    if (call.Owner->OnSlotFree && found != nullptr)
    {
        call.Owner->OnSlotFree(call.Service, found);
    }
}

static void OnAnswer(const CallPtr& call, const std::string& target, ClientAnswer answer)
{
    call->LastAttempt = TakeAttempt(call.get(), target);
    call->LastAttempt.Framing = answer.Framing.Ends;
    call->LastAttempt.BodyBytes = answer.BodyBytes;
    const Verdict_ verdict = ClassifyAnswer(*call->Owner, answer);
    if (answer.End == ClientEnd_TimedOut)
    {
        NoteUnanswered(call.get(), call->LastAttempt);
    }
    else
    {
        const ContactEnd_ end = ContactEndOf(answer);
        NoteContact(call->Owner, call->Service, target, end);
        call->Contacts[end]++;
    }
    if (verdict == Verdict_Lost)
    {
        LogLost(call.get(), answer);
    }
    if (answer.End == ClientEnd_Lost || answer.End == ClientEnd_Broken)
    {
        CheckForCrash(call.get(), call->LastAttempt);
    }
    else if (answer.End == ClientEnd_TimedOut)
    {
        RecordUnanswered(call.get(), call->LastAttempt);
    }
    if (!WasSent(answer))
    {
        call->Attempts--;
        QuotaRefund(&call->Owner->TargetLimits, call->LastAttempt.Grant.IncarnationId, call->LastAttempt.Grant.TakenUs);
    }
    call->MayHaveRun += verdict == Verdict_NotRun ? 0 : 1;
    if (verdict == Verdict_Relay && answer.Status < 500)
    {
        NoteAnswered(call.get());
    }
    LearnFromAnswer(call, call->LastAttempt, answer, verdict);
    if (!call->Ended)
    {
        ContinueCall(call, verdict, std::move(answer));
    }
    ServeWaiting(call->Service, target);
    OfferFreeSlot(*call, target);
}

//-----------------------------------------------------------------------------
// [SECTION] Sending and hedging
//-----------------------------------------------------------------------------

static std::vector<Header> HeadersForTarget(const Call& call, const std::string& target, TimeUs now)
{
    const WireNames& names = call.Owner->Names;
    std::vector<Header> headers;
    for (const Header& header : call.Inbound->Headers)
    {
        const bool replaced =
            SameHeader(header.Name, names.Deadline) || SameHeader(header.Name, names.ExpectedTarget) || SameHeader(header.Name, "Expect");
        if (!replaced && !IsHopHeader(header.Name))
        {
            headers.push_back(header);
        }
    }
    const TimeUs left_ms = std::max<TimeUs>(LeftUs(call, now) / UsPerMs, 1);
    headers.push_back({names.Deadline, std::to_string(left_ms)});
    if (!names.ExpectedTarget.empty())
    {
        headers.push_back({names.ExpectedTarget, target});
    }
    if (FindHeader(headers, names.RequestId) == nullptr)
    {
        headers.push_back({names.RequestId, call.Id});
    }
    return headers;
}

static ClientRequest MakeRequest(const CallPtr& call, const PoolTarget& target, TimeUs now)
{
    ClientRequest request;
    request.Address = target.Address;
    request.Method = call->Inbound->Method;
    request.Target = call->Inbound->Target;
    request.Headers = HeadersForTarget(*call, target.Id, now);
    request.HasBody = !call->Inbound->Body.empty() || call->Inbound->Method == "POST" || call->Inbound->Method == "PUT";
    request.Body = call->Inbound->Body;
    request.TimeoutUs = LeftUs(*call, now) + UsPerSecond; // DeadlineTimer fires first.
    request.ConnectUs = call->Owner->Config.ConnectUs;
    // Checked again right before sending: the target or the request may have become unusable since the choice.
    request.MaySend = [call, id = target.Id, generation = target.Generation]()
    {
        const PoolTarget* found = PoolFindEntry(&call->Service->Pool, id, generation);
        const bool usable = found != nullptr && PoolMayUse(*found, NowUs());
        return !call->Ended && LeftUs(*call, NowUs()) > 0 && usable && !IsQuarantined(call.get()) && IsKeyValid(*call);
    };
    request.AcceptsHeaders = [call](const std::vector<Header>& headers)
    {
        const std::string* id = FindHeader(headers, call->Owner->Names.RequestId);
        return id != nullptr ? *id == call->Id : !call->Owner->Names.AnswersNameRequest;
    };
    request.OnHeaders = [call, source = SignalSource{target.Id, target.Incarnation, false}](int status, const std::vector<Header>& headers)
    {
        ApplyTargetSignals(call->Owner, call->Service, source, status, headers);
    };
    return request;
}

// The first attempt takes much longer than expected: counts a failure against its target, and hedges the request if it may be run more than
// once.
static void OnSlowAttempt(const CallPtr& call)
{
    call->HedgeTimer = nullptr;
    if (call->Active.size() != 1 || call->Round.Kind != Choosing_None)
    {
        return;
    }
    const TimeUs now = NowUs();
    PenalizeTargets(*call);
    const bool time_left = static_cast<double>(LeftUs(*call, now)) > call->Work->MeanUs;
    if (!call->Retryable || call->Attempts >= call->AttemptsMax || !time_left || !IsKeyValid(*call))
    {
        return;
    }
    if (TakeRetry(call, call->Owner->Config.HedgeShare, Choosing_Hedge))
    {
        ChooseTarget(call, Choosing_Hedge);
    }
}

// Starts the timer that detects a slow attempt.
static void StartHedgeTimer(const CallPtr& call, const Attempt& attempt)
{
    const auto patience = static_cast<TimeUs>(call->Owner->Config.SlowFactor * attempt.ExpectedUs);
    if (patience > 0)
    {
        const TimeUs left = attempt.SentUs + patience - NowUs();
        call->HedgeTimer = TimerStart(call->Owner->Loop, left, [call]() { OnSlowAttempt(call); });
    }
}

void StartAttempt(const CallPtr& call, const Attempt& attempt)
{
    ChooserStop(&call->Round);
    call->Active.push_back(attempt);
    if (call->Active.size() == 1)
    {
        StartHedgeTimer(call, attempt);
    }
}

void ReturnRetry(Call* call)
{
    if (call->RetryTakenUs > 0)
    {
        RetryBudgetRefund(&call->Service->Retries, call->RetryTakenUs);
        call->RetryTakenUs = 0;
    }
}

void RetryHedgeLater(const CallPtr& call)
{
    ReturnRetry(call.get());
    ReturnGrants(call.get());
    call->HedgeTimer = TimerStart(call->Owner->Loop, call->Owner->Config.HedgeRetryUs, [call]() { OnSlowAttempt(call); });
}

void ReturnGrants(Call* call)
{
    for (const LimitGrant& grant : call->Round.Grants)
    {
        QuotaRefund(&call->Owner->TargetLimits, grant.IncarnationId, grant.TakenUs);
    }
    call->Round.Grants.clear();
}

// Takes the grant for the target and returns the others.
static LimitGrant TakeGrant(Call* call, const PoolTarget& target)
{
    LimitGrant taken;
    const auto is_for = [&target](const LimitGrant& grant)
    {
        return grant.IncarnationId == target.IncarnationId;
    };
    const auto found = std::find_if(call->Round.Grants.begin(), call->Round.Grants.end(), is_for);
    if (found != call->Round.Grants.end())
    {
        taken = *found;
        call->Round.Grants.erase(found);
    }
    ReturnGrants(call);
    return taken;
}

static Attempt MakeAttempt(const Call& call, const PoolTarget& target, TimeUs now)
{
    const TargetPool& pool = call.Service->Pool;
    Attempt attempt;
    attempt.Target = target.Id;
    attempt.Address = target.Address;
    attempt.Incarnation = target.Incarnation;
    attempt.Generation = target.Generation;
    attempt.SentUs = now;
    attempt.Report = target.Report;
    attempt.ReportUs = target.ReportUs;
    attempt.NearlyFull = PoolNearlyFull(pool.Config, target.Report, target.SentSinceReport);
    attempt.ExpectedUs = PoolCost(pool, target, now) * call.Work->MeanUs;
    return attempt;
}

void SendTo(const CallPtr& call, PoolTarget* target)
{
    assert((call->Retryable || (call->MayHaveRun == 0 && call->Active.empty())) &&
           "a request that must not run twice may have been run already");
    const TimeUs now = NowUs();
    Attempt attempt = MakeAttempt(*call, *target, now);
    attempt.Crossed = call->Round.CrossTo == target->DataCentre;
    call->SentTo.push_back(target->Id);
    call->Attempts++;
    call->RetryTakenUs = 0;
    attempt.Grant = TakeGrant(call.get(), *target);
    PoolSent(&call->Service->Pool, target, now);
    const std::string id = target->Id;
    attempt.Id = ClientSend(call->Owner->Targets, MakeRequest(call, *target, now),
                            [call, id](ClientAnswer answer) { OnAnswer(call, id, std::move(answer)); });
    StartAttempt(call, attempt);
}

void CancelAttempts(const CallPtr& call)
{
    const std::vector<Attempt> active = std::move(call->Active);
    call->Active.clear();
    call->MayHaveRun += static_cast<int>(active.size());
    for (const Attempt& attempt : active)
    {
        call->LastAttempt = attempt;
        if (attempt.ToPeer)
        {
            ClientCancel(call->Owner->PeerCalls, attempt.Id);
            PeersEnded(&call->Owner->Others, attempt.Address, call->ServiceName, PeerEnd_None, NowUs());
            continue;
        }
        ClientCancel(call->Owner->Targets, attempt.Id);
        PoolTarget* target = FindTargetOf(*call, attempt);
        if (target != nullptr)
        {
            ReleaseSlot(target, attempt);
        }
    }
}

} // namespace Winchlink
