// forward.cpp: admits requests and ends them. choose.cpp chooses their targets, attempt.cpp sends them.
//
// Index of this file:
// [SECTION] Ending a call
// [SECTION] Customers
// [SECTION] Admission
// [SECTION] Updates of plan and directory

#include "forward.h"

#include "call.h"
#include "caller_key.h"
#include "clock.h"
#include "log.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <fmt/format.h>

namespace Winchlink
{

static constexpr TimeUs OtherInstanceUs = 50 * UsPerMs; // Retry-After where another instance can serve the request at once.

//-----------------------------------------------------------------------------
// [SECTION] Ending a call
//-----------------------------------------------------------------------------

static void CountCall(const Call& call, Code_ code)
{
    RowMetrics& metrics = call.Service != nullptr ? call.Service->Metrics : call.Owner->Unrouted;
    CountEnded(&metrics, code);
    metrics.Retries += static_cast<uint64_t>(std::max(call.Attempts - 1, 0));
    if (code == Code_None)
    {
        RetryScheduleServed(&call.Service->RetryTimes, NowUs());
        LatencyAdd(&metrics.Latency, NowUs() - call.Inbound->ArrivedUs);
        LatencyAdd(&call.Owner->ByPriority[PriorityOf(call)], NowUs() - call.Inbound->ArrivedUs);
    }
}

static void LogEnd(const Call& call, Code_ code, int status, const std::string& detail)
{
    const Attempt& last = call.LastAttempt;
    const bool good = code == Code_None && status < 500;
    const auto write = good ? LogSample : Log; // Failures are always logged.
    write(LogLevel_Info, code, code == Code_None ? "answered" : "not answered",
          {{"requestId", call.Id},
           {"route", call.MatchedRoute != nullptr ? call.MatchedRoute->Name : ""},
           {"service", call.ServiceName},
           {"customer", call.KeyOwner != nullptr ? call.KeyOwner->Name : ""},
           {"plan", call.Plan ? call.Plan->Version : 0},
           {"revision", call.DecidedBy.Revision},
           {"dataAgeUs", call.DecidedBy.AgeUs},
           {"source", call.DecidedBy.Source},
           {"readBy", call.DecidedBy.ReadBy},
           {"target", last.ToPeer ? "" : last.Target},
           {"handedTo", last.ToPeer ? last.Address : ""},
           {"offers", static_cast<int>(call.PeersTried.size())},
           {"takenFrom", call.TakenFrom ? call.TakenFrom->From : ""},
           {"status", status},
           {"framing", FramingName(last.Framing)},
           {"bodyBytes", static_cast<uint64_t>(last.BodyBytes)},
           {"attempts", call.Attempts},
           {"crossed", last.Crossed ? 1 : 0},
           {"asked", call.Round.ProbeCount},
           {"refused", call.Contacts[ContactEnd_Refused]},
           {"reset", call.Contacts[ContactEnd_Reset]},
           {"silent", call.Contacts[ContactEnd_Silent]},
           {"late", call.Contacts[ContactEnd_Late]},
           {"path", call.Service != nullptr ? TargetPathStateName(call.Service->Path.State) : ""},
           {"overLimit", static_cast<int>(call.Round.OverLimit.size())},
           {"targets", call.Service != nullptr ? static_cast<int>(call.Service->Pool.Targets.size()) : 0},
           {"running", last.Report.Running},
           {"waiting", last.Report.Waiting},
           {"pace", last.Report.PacePercent},
           {"reportAgeUs", last.ReportUs > 0 ? last.SentUs - last.ReportUs : -1},
           {"sentAfterUs", last.SentUs > 0 ? last.SentUs - call.Inbound->ArrivedUs : -1},
           {"expectedUs", static_cast<int64_t>(last.ExpectedUs)},
           {"tookUs", NowUs() - call.Inbound->ArrivedUs},
           {"toldWaitUs", call.RetryAfterUs},
           {"detail", detail}});
}

void EndCall(const CallPtr& call, Code_ code, const std::string& detail, CallerReply reply)
{
    assert(!call->Ended && "the call has ended already");
    call->Ended = true;
    ChooserStop(&call->Round);
    call->DeadlineTimer = nullptr;
    call->SendByTimer = nullptr;
    call->ProbeRetryTimer = nullptr;
    call->SlowProbeTimer = nullptr;
    call->HedgeTimer = nullptr;
    call->Owner->InProgress--;
    call->Owner->Taken -= call->TakenFrom ? 1 : 0;
    WipeHeaders(&call->KeyHeaders);
    if (call->Service != nullptr)
    {
        call->Service->InProgress--;
        ReturnRetry(call.get());
        ReturnGrants(call.get());
    }
    if (call->QuotaTakenUs > 0 && call->MayHaveRun == 0)
    {
        QuotaRefund(&call->Owner->Quotas, call->KeyOwner->Id, call->QuotaTakenUs);
    }
    CountCall(*call, code);
    LogEnd(*call, code, reply.Status, detail);
    if (call->TakenFrom)
    {
        HandoffResult result = {code, call->Attempts, call->Owner->Taken, {}};
        if (code == Code_TargetsUnreachable)
        {
            result.TryInstead = PeersRecommend(call->Owner->Others, NowUs(), call->Owner->Rng);
        }
        reply.Headers.push_back({HeaderHandoff, FormatHandoffResult(result)});
    }
    reply.CloseConnection = reply.CloseConnection || (call->TakenFrom && call->Owner->Draining);
    Reply(call->Inbound, std::move(reply));
    call->Owner->Calls.erase(call);
}

void EndCallWith(const CallPtr& call, Code_ code, const std::string& detail, TimeUs retry_after)
{
    const int status = FindCode(code).HttpStatus;
    const WireNames& names = call->Owner->Names;
    const bool not_run = status < 500 || status == 503;
    assert((!not_run || call->MayHaveRun == 0) && "the status implies 'not run', but a target may have run the request");
    CallerReply reply;
    reply.Status = status;
    reply.Headers.push_back({names.RequestId, call->Id});
    reply.Headers.push_back({HeaderCode, std::to_string(static_cast<int>(code))});
    if (!names.Outcome.empty())
    {
        reply.Headers.push_back({names.Outcome, not_run ? NotRun : OutcomeUnknown});
    }
    if (status == 401)
    {
        reply.Headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    if (status == 503 || status == 429)
    {
        const double seconds = static_cast<double>(retry_after) / static_cast<double>(UsPerSecond);
        reply.Headers.push_back({names.RetryAfter, fmt::format("{:.3f}", seconds)});
        call->RetryAfterUs = retry_after;
    }
    EndCall(call, code, detail, std::move(reply));
}

// Mean time until one of the targets that were skipped for their rate limits takes a request again.
static TimeUs LimitWaitUs(const Call& call)
{
    double per_us = 0;
    for (const std::string& id : call.Round.OverLimit)
    {
        const PoolTarget* target = PoolFind(&call.Service->Pool, id);
        const TimeUs turn = target != nullptr ? QuotaTargetInterval(call.Owner->TargetLimits, target->IncarnationId) : 0;
        per_us += turn > 0 ? 1.0 / static_cast<double>(turn) : 0;
    }
    return per_us > 0 ? static_cast<TimeUs>(1.0 / per_us) : 0;
}

// Time until a target takes a request again, where targets have asked for backoff or are at their rate limits; else 0.
static TimeUs TargetWaitUs(const Call& call, Code_ code, TimeUs now)
{
    const std::optional<TimeUs> backoff_end = PoolBackoffEnds(call.Service->Pool, now);
    return backoff_end ? *backoff_end - now : code == Code_TargetsLimited ? LimitWaitUs(call) : 0;
}

// Time after which the refused caller should return. Without a path nothing is known of the targets' load: it may return soon, and reaches
// another instance then.
static TimeUs ReturnWaitUs(const CallPtr& call, Code_ code, TimeUs now)
{
    if (call->PeerRetryUs > 0)
    {
        return call->PeerRetryUs;
    }
    if (code == Code_InstanceStopping)
    {
        return OtherInstanceUs;
    }
    if (code == Code_TargetsUnreachable || code == Code_HandoffRefused)
    {
        const TimeUs least = call->Owner->Config.EmptyRetryUs;
        return std::uniform_int_distribution<TimeUs>(least, 2 * least)(*call->Owner->Rng);
    }
    return RetryScheduleTake(&call->Service->RetryTimes, now, call->Owner->Rng) + TargetWaitUs(*call, code, now);
}

void EndCallBusy(const CallPtr& call, Code_ code, const std::string& detail)
{
    const TimeUs now = NowUs();
    const auto left = static_cast<double>(std::max<TimeUs>(call->CallerDeadlineUs - now, 0));
    const auto max_wait = static_cast<TimeUs>(call->Owner->Config.MaxRetryAfterShare * left);
    EndCallWith(call, code, detail, std::min(ReturnWaitUs(call, code, now), max_wait));
}

// Cancels the attempts in flight and records them as unanswered.
static void AbandonAttempts(const CallPtr& call)
{
    for (const Attempt& attempt : call->Active)
    {
        RecordUnanswered(call.get(), attempt);
    }
    CancelAttempts(call);
}

void EndCallAtDeadline(const CallPtr& call)
{
    const bool sent = call->MayHaveRun > 0 || !call->Active.empty();
    PenalizeTargets(*call);
    for (const Attempt& attempt : call->Active)
    {
        if (!attempt.ToPeer)
        {
            NoteUnanswered(call.get(), attempt);
        }
    }
    if (call->FailedAnswer)
    {
        RelayAnswer(call, std::move(*call->FailedAnswer));
        return;
    }
    AbandonAttempts(call);
    if (sent)
    {
        EndCallWith(call, Code_DeadlinePassed, "deadline");
        return;
    }
    EndCallBusy(call, Code_TargetsBusy, "deadline");
}

static void OnCallerGone(const CallPtr& call)
{
    AbandonAttempts(call);
    EndCall(call, Code_CallerGone, "", CallerReply{FindCode(Code_CallerGone).HttpStatus, {}, "", true});
}

//-----------------------------------------------------------------------------
// [SECTION] Customers
//-----------------------------------------------------------------------------

bool IsKeyValid(const Call& call)
{
    const RoutePlanPtr& plan = call.Owner->Plan;
    if (call.KeyOwner == nullptr || plan == call.Plan)
    {
        return true;
    }
    const Customer* by = FindCustomer(plan->Callers, call.CallerKeyHash);
    return by != nullptr && by->Id == call.KeyOwner->Id;
}

// Finds the customer by the request's API key and replaces the key header by the customer's name. Returns false if the request was refused.
static bool IdentifyCustomer(const CallPtr& call)
{
    Forwarder* forwarder = call->Owner;
    std::vector<Header>& headers = call->Inbound->Headers;
    const std::optional<KeyHash> key = ReadCallerKey(headers);
    call->KeyOwner = key ? FindCustomer(call->Plan->Callers, *key) : nullptr;
    call->CallerKeyHash = key.value_or(KeyHash());
    call->KeyHeaders = CallerKeyHeaders(headers);
    ReplaceCallerKey(&headers, forwarder->Names.Customer, call->KeyOwner != nullptr ? call->KeyOwner->Name : "");
    if (call->KeyOwner != nullptr || call->MatchedRoute->Public)
    {
        return true;
    }
    if (key && forwarder->Directory.StoreUnavailable)
    {
        // The key may be newer than this instance's plan. The caller should retry, as another instance may know it.
        EndCallWith(call, Code_KeyNotLearnt, "", forwarder->Config.EmptyRetryUs);
        return false;
    }
    EndCallWith(call, Code_KeyUnknown, key ? "unknown API key" : "no API key");
    return false;
}

// Counts the request against its customer's quota. Returns false if the quota is used up and the request was refused.
static bool TakeQuota(const CallPtr& call)
{
    Forwarder* forwarder = call->Owner;
    if (call->KeyOwner == nullptr || call->KeyOwner->RatePerS <= 0)
    {
        return true;
    }
    const TimeUs now = NowUs();
    CustomerMetrics* counters = CustomerCounters(&forwarder->ByCustomer, call->KeyOwner->Name);
    if (QuotaTake(&forwarder->Quotas, *call->KeyOwner, now, forwarder->Rng))
    {
        call->QuotaTakenUs = now;
        counters->Admitted++;
        return true;
    }
    counters->Refused++;
    EndCallWith(call, Code_QuotaUsedUp, call->KeyOwner->Name, QuotaRetryDelay(forwarder->Quotas, call->KeyOwner->Id, forwarder->Rng));
    return false;
}

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

static std::string HeaderOr(const Exchange& exchange, const std::string& name, const std::string& otherwise)
{
    const std::string* value = FindHeader(exchange.Headers, name);
    return value != nullptr ? *value : otherwise;
}

// The caller's deadline header; the route's timeout if there is none or it is 0. No value if the header is no number of milliseconds.
static std::optional<TimeUs> RequestedTimeout(const Call& call)
{
    const std::string* header = FindHeader(call.Inbound->Headers, call.Owner->Names.Deadline);
    if (header == nullptr)
    {
        return call.MatchedRoute->TimeoutUs;
    }
    char* end = nullptr;
    const double ms = std::strtod(header->c_str(), &end);
    const bool number = end != header->c_str() && *end == '\0' && std::isfinite(ms);
    if (!number || ms < 0)
    {
        return std::nullopt;
    }
    constexpr double longest = 3600.0 * UsPerSecond; // Keeps the conversion to TimeUs within range.
    return ms > 0 ? static_cast<TimeUs>(std::min(ms * static_cast<double>(UsPerMs), longest)) : call.MatchedRoute->TimeoutUs;
}

static void SetDeadline(const CallPtr& call, TimeUs timeout)
{
    call->CallerDeadlineUs = call->Inbound->ArrivedUs + timeout;
    call->DeadlineUs = call->Inbound->ArrivedUs + std::min(timeout, call->MatchedRoute->TimeoutUs);
    call->DeadlineTimer = TimerStart(call->Owner->Loop, LeftUs(*call, NowUs()), [call]() { EndCallAtDeadline(call); });
}

bool AdmitHere(const CallPtr& call)
{
    if (!call->AdmissionDue)
    {
        return true;
    }
    call->AdmissionDue = false;
    call->CountedUs = NowUs();
    RetryBudgetCount(&call->Service->Retries, call->CountedUs);
    const bool sent = call->MayHaveRun > 0 || !call->Active.empty(); // Another instance has admitted it.
    return sent || TakeQuota(call);
}

// The part of the route that serves the request: the one that the instance has chosen that handed it on, if there is any.
static const std::string& ServiceOf(const CallPtr& call)
{
    const std::vector<RoutePart>& parts = call->MatchedRoute->Parts;
    for (const RoutePart& part : parts)
    {
        if (call->TakenFrom && part.Service == call->TakenFrom->Service)
        {
            return part.Service;
        }
    }
    return parts[RouteSplitNext(&call->Owner->Splits[call->MatchedRoute->Name], parts, call->Owner->Rng)].Service;
}

// Whether a request of another instance can be taken: only with a plan and targets that are as current as there, and beside the requests of
// the own callers.
static bool MayTake(const Call& call)
{
    const Forwarder& forwarder = *call.Owner;
    const int others = forwarder.Taken - 1; // Without this one.
    const TimeUs age_max = call.TakenFrom->DataAgeUs + forwarder.Config.TakenAgeUs;
    const bool current = call.Plan->Version >= call.TakenFrom->PlanVersion && call.DecidedBy.AgeUs <= age_max;
    return current && !forwarder.Draining && PeersMayTake(forwarder.Others, others, forwarder.InProgress - forwarder.Taken);
}

// Tells a caller's first try from a later one, if the caller has named a deadline and ForwardConfig::FirstTryShare needs it.
static void NoteCallerTimeout(Call* call, TimeUs timeout)
{
    const std::string* header = FindHeader(call->Inbound->Headers, call->Owner->Names.Deadline);
    const bool told_apart = call->Owner->Config.FirstTryShare < 1;
    call->NamesTimeout = told_apart && header != nullptr && std::strtod(header->c_str(), nullptr) > 0;
    if (call->NamesTimeout)
    {
        call->SinceFirstTryUs = CallerTimeoutsNote(&call->Work->Timeouts, timeout, NowUs());
    }
}

static void AdmitCall(const CallPtr& call)
{
    Forwarder* forwarder = call->Owner;
    const std::optional<TimeUs> timeout = RequestedTimeout(*call);
    if (!timeout)
    {
        EndCallWith(call, Code_BadDeadline, "");
        return;
    }
    call->ServiceName = ServiceOf(call);
    call->Spec = FindService(*call->Plan, call->ServiceName);
    call->Service = &forwarder->Services[call->ServiceName];
    call->Service->InProgress++;
    call->Service->Path.NeededUs = NowUs();
    PoolDemandArrived(&call->Service->Pool, NowUs());
    call->Work = &forwarder->Work[call->MatchedRoute->Name];
    call->AttemptsMax = call->MatchedRoute->AttemptsMax;
    if (call->TakenFrom)
    {
        call->AttemptsMax = std::min(call->AttemptsMax, call->TakenFrom->AttemptsMax);
    }
    else
    {
        NoteCallerTimeout(call.get(), *timeout);
    }
    SetDeadline(call, *timeout);
    if (call->Spec == nullptr)
    {
        EndCallWith(call, Code_NoTargetLeft, "service not in plan", forwarder->Config.EmptyRetryUs);
        return;
    }
    if (IsQuarantined(call.get()))
    {
        EndCallQuarantined(call);
        return;
    }
    if (call->Spec->RequestsMax > 0 && call->Service->InProgress > call->Spec->RequestsMax)
    {
        EndCallBusy(call, Code_RowLimit, "");
        return;
    }
    if (call->TakenFrom && !MayTake(*call))
    {
        EndCallBusy(call, Code_HandoffRefused, "");
        return;
    }
    LimitToStop(call);
    if (!call->Ended)
    {
        ChooseTarget(call, Choosing_First);
    }
}

bool ForwardMayOverlap(const Forwarder& forwarder, const Exchange& exchange)
{
    const Route* row = forwarder.Plan ? FindRoute(*forwarder.Plan, HeaderOr(exchange, "Host", ""), exchange.Target) : nullptr;
    return row != nullptr && MayRetry(*row, exchange.Method);
}

// Notes by which data the request is decided.
static void NoteData(Call* call)
{
    Forwarder* forwarder = call->Owner;
    if (forwarder->CurrentData)
    {
        call->DecidedBy = forwarder->CurrentData();
        LatencyAdd(&forwarder->DataAge, std::max<TimeUs>(call->DecidedBy.AgeUs, 0));
    }
}

static void RefuseWithoutRoute(const CallPtr& call)
{
    const Forwarder* forwarder = call->Owner;
    const bool row_left_out = forwarder->Plan && forwarder->Plan->RowsLeftOut > 0;
    if (forwarder->Directory.StoreUnavailable || row_left_out)
    {
        // The route may be unknown only to this instance. The caller should retry, as another instance may know it.
        EndCallWith(call, Code_RouteNotLearnt, call->Inbound->Target, forwarder->Config.EmptyRetryUs);
        return;
    }
    EndCallWith(call, Code_NoRoute, call->Inbound->Target);
}

static void MatchRoute(const CallPtr& call)
{
    NoteData(call.get());
    call->MatchedRoute = FindRoute(*call->Plan, HeaderOr(*call->Inbound, "Host", ""), call->Inbound->Target);
    if (call->MatchedRoute == nullptr)
    {
        RefuseWithoutRoute(call);
        return;
    }
    call->Retryable = MayRetry(*call->MatchedRoute, call->Inbound->Method);
    if (!call->Plan->Callers.KeyRequired || IdentifyCustomer(call))
    {
        AdmitCall(call);
    }
}

// Keeps requests that arrive before the first plan until FirstPlanUs after the start; later ones are refused at once.
static void AwaitPlan(const CallPtr& call)
{
    Forwarder* forwarder = call->Owner;
    const auto refuse = [call]()
    {
        EndCallWith(call, Code_NoTable, "", call->Owner->Config.EmptyRetryUs);
    };
    const TimeUs left = forwarder->StartedUs + forwarder->Config.FirstPlanUs - NowUs();
    if (left <= 0 || call->TakenFrom)
    {
        refuse();
        return;
    }
    call->DeadlineTimer = TimerStart(forwarder->Loop, left, refuse);
    forwarder->Unplanned.push_back(call);
    if (forwarder->OnPlanNeeded && forwarder->Unplanned.size() % forwarder->Config.PlanWaitersPerStoreCall == 0)
    {
        forwarder->OnPlanNeeded();
    }
}

static void ResumeUnplanned(Forwarder* forwarder)
{
    const std::vector<CallPtr> calls = std::move(forwarder->Unplanned);
    forwarder->Unplanned.clear();
    for (const CallPtr& call : calls)
    {
        if (!call->Ended)
        {
            call->DeadlineTimer = nullptr;
            call->Plan = forwarder->Plan;
            MatchRoute(call);
        }
    }
}

static void StartCall(Forwarder* forwarder, const ExchangePtr& exchange, const std::optional<HandoffOffer>& taken_from)
{
    const auto call = std::make_shared<Call>();
    call->TakenFrom = taken_from;
    forwarder->Taken += taken_from ? 1 : 0;
    forwarder->TakenCount += taken_from ? 1 : 0;
    call->Owner = forwarder;
    call->Inbound = exchange;
    call->Plan = forwarder->Plan;
    call->Id = HeaderOr(*exchange, forwarder->Names.RequestId, "");
    if (call->Id.empty())
    {
        call->Id = fmt::format("{}-{}", forwarder->IdPrefix, ++forwarder->LastId);
    }
    forwarder->InProgress++;
    forwarder->Calls.insert(call);
    exchange->OnGone = [call]()
    {
        OnCallerGone(call);
    };
    if (call->Plan)
    {
        MatchRoute(call);
        return;
    }
    AwaitPlan(call);
}

void ForwardRequest(Forwarder* forwarder, const ExchangePtr& exchange)
{
    StartCall(forwarder, exchange, std::nullopt);
}

void ForwardTaken(Forwarder* forwarder, const ExchangePtr& exchange, const HandoffOffer& offer)
{
    StartCall(forwarder, exchange, offer);
}

//-----------------------------------------------------------------------------
// [SECTION] Updates of plan and directory
//-----------------------------------------------------------------------------

static void FollowPlan(Forwarder* forwarder)
{
    for (const ServiceInfo& service : forwarder->Plan->Services)
    {
        ServiceState& state = forwarder->Services[service.Name];
        state.Name = service.Name;
        state.Retries.Share = forwarder->Config.RetryShare;
        state.Retries.WindowUs = forwarder->Config.RetryWindowUs;
        state.Pool.Config.ColdPerS = service.ColdPerS;
        state.Pool.Config.ColdUs = service.ColdUs;
    }
}

// Services whose pools may differ from the directory.
static std::set<std::string> ServicesToFollow(Forwarder* forwarder)
{
    std::set<std::string> services = DirectoryTakeChanged(&forwarder->Directory);
    for (const auto& entry : forwarder->Services)
    {
        if (entry.second.FollowedFrom != forwarder->DataCentre)
        {
            services.insert(entry.first);
        }
    }
    return services;
}

void ForwarderFollow(Forwarder* forwarder)
{
    if (forwarder->Plan)
    {
        FollowPlan(forwarder);
    }
    NoteCrashedTargets(forwarder);
    for (const auto& [service, listed] : DirectoryOfServices(forwarder->Directory, ServicesToFollow(forwarder)))
    {
        const auto state = forwarder->Services.find(service);
        if (state != forwarder->Services.end())
        {
            const uint64_t last_added = state->second.Pool.LastGeneration;
            PoolSync(&state->second.Pool, listed, forwarder->DataCentre, forwarder->Rng);
            if (state->second.Pool.LastGeneration != last_added)
            {
                TargetPathNewTarget(&state->second.Path);
            }
            state->second.FollowedFrom = forwarder->DataCentre;
        }
    }
    if (forwarder->Plan)
    {
        ResumeUnplanned(forwarder);
    }
}

} // namespace Winchlink
