// forward.cpp: a caller's request from its admission to its end. choose.cpp and attempt.cpp have what lies between.
//
// Index of this file:
// [SECTION] Ends
// [SECTION] Customers
// [SECTION] Admission
// [SECTION] Following plan and directory

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

//-----------------------------------------------------------------------------
// [SECTION] Ends
//-----------------------------------------------------------------------------

static void Count(const Call& call, Code_ code)
{
    RowMetrics& metrics = call.Service != nullptr ? call.Service->Metrics : call.Owner->Unrouted;
    CountEnded(&metrics, code);
    metrics.Repeats += static_cast<uint64_t>(std::max(call.Attempts - 1, 0));
    if (code == Code_None)
    {
        ReturnScheduleServed(&call.Service->Returns, NowUs());
        LatencyAdd(&metrics.Latency, NowUs() - call.From->ArrivedUs);
        LatencyAdd(&call.Owner->ByPriority[PriorityOf(call)], NowUs() - call.From->ArrivedUs);
    }
}

static void LogEnd(const Call& call, Code_ code, int status, const std::string& detail)
{
    const Attempt& last = call.Last;
    const bool good = code == Code_None && status < 500;
    const auto write = good ? LogSample : Log; // Failures are never sampled.
    write(LogLevel_Info, code, code == Code_None ? "answered" : "not answered",
          {{"requestId", call.Id},
           {"route", call.Row != nullptr ? call.Row->Name : ""},
           {"service", call.ServiceName},
           {"customer", call.By != nullptr ? call.By->Name : ""},
           {"plan", call.Plan ? call.Plan->Version : 0},
           {"target", last.Target},
           {"status", status},
           {"attempts", call.Attempts},
           {"asked", call.AsksMade},
           {"overLimit", static_cast<int>(call.OverLimit.size())},
           {"targets", call.Service != nullptr ? static_cast<int>(call.Service->Pool.Targets.size()) : 0},
           {"running", last.Report.Running},
           {"waiting", last.Report.Waiting},
           {"pace", last.Report.PacePercent},
           {"reportAgeUs", last.ReportUs > 0 ? last.SentUs - last.ReportUs : -1},
           {"sentAfterUs", last.SentUs > 0 ? last.SentUs - call.From->ArrivedUs : -1},
           {"expectedUs", static_cast<int64_t>(last.ExpectedUs)},
           {"tookUs", NowUs() - call.From->ArrivedUs},
           {"toldWaitUs", call.ToldWaitUs},
           {"detail", detail}});
}

void EndCall(const CallPtr& call, Code_ code, const std::string& detail, CallerReply reply)
{
    assert(!call->Ended && "a request ends once");
    call->Ended = true;
    call->Choosing = Choosing_None;
    call->Deadline = nullptr;
    call->Again = nullptr;
    call->Patience = nullptr;
    call->Slow = nullptr;
    call->Owner->InProgress--;
    if (call->Service != nullptr)
    {
        call->Service->InProgress--;
        GiveRepeatBack(call.get());
        GiveGrantsBack(call.get());
    }
    if (call->QuotaTakenUs > 0 && call->MayHaveRun == 0)
    {
        QuotaReturn(&call->Owner->Quotas, call->By->Id, call->QuotaTakenUs);
    }
    Count(*call, code);
    LogEnd(*call, code, reply.Status, detail);
    reply.CloseConnection = reply.CloseConnection || call->Owner->Leaving;
    Reply(call->From, std::move(reply));
}

void EndCallWith(const CallPtr& call, Code_ code, const std::string& detail, TimeUs retry_after)
{
    const int status = FindCode(code).HttpStatus;
    const WireNames& names = call->Owner->Names;
    const bool not_run = status < 500 || status == 503;
    assert((!not_run || call->MayHaveRun == 0) && "'not run' must be true");
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
        call->ToldWaitUs = retry_after;
    }
    EndCall(call, code, detail, std::move(reply));
}

// When one of the targets that were passed over for their limits takes a request again.
static TimeUs LimitTurn(const Call& call)
{
    double per_us = 0;
    for (const std::string& id : call.OverLimit)
    {
        const PoolTarget* target = PoolFind(&call.Service->Pool, id);
        const TimeUs turn = target != nullptr ? QuotaNamedTurn(call.Owner->TargetLimits, target->LifeId) : 0;
        per_us += turn > 0 ? 1.0 / static_cast<double>(turn) : 0;
    }
    return per_us > 0 ? static_cast<TimeUs>(1.0 / per_us) : 0;
}

// When a target takes a request again, as far as targets have asked to be spared; 0 where that is not what the caller waits for.
static TimeUs SparedFor(const Call& call, Code_ code, TimeUs now)
{
    const std::optional<TimeUs> ends = PoolBackoffEnds(call.Service->Pool, now);
    return ends ? *ends - now : code == Code_TargetsLimited ? LimitTurn(call) : 0;
}

void EndCallBusy(const CallPtr& call, Code_ code, const std::string& detail)
{
    const TimeUs now = NowUs();
    const auto left = static_cast<double>(std::max<TimeUs>(call->CallerUntilUs - now, 0));
    const auto most = static_cast<TimeUs>(call->Owner->Config.ReturnShare * left);
    const TimeUs place = ReturnScheduleTake(&call->Service->Returns, now, call->Owner->Rng);
    EndCallWith(call, code, detail, std::min(place + SparedFor(*call, code, now), most));
}

// Attempts in progress end without an answer.
static void GiveUpAttempts(const CallPtr& call)
{
    for (const Attempt& attempt : call->Active)
    {
        NoteSilent(call.get(), attempt);
    }
    CancelAttempts(call);
}

static void OnDeadline(const CallPtr& call)
{
    const bool sent = call->MayHaveRun > 0 || !call->Active.empty();
    BlameTargets(*call);
    if (call->Kept)
    {
        PassOn(call, std::move(*call->Kept));
        return;
    }
    GiveUpAttempts(call);
    if (sent)
    {
        EndCallWith(call, Code_DeadlinePassed, "deadline");
        return;
    }
    EndCallBusy(call, Code_TargetsBusy, "deadline");
}

static void OnCallerGone(const CallPtr& call)
{
    GiveUpAttempts(call);
    EndCall(call, Code_CallerGone, "", CallerReply{FindCode(Code_CallerGone).HttpStatus, {}, "", true});
}

//-----------------------------------------------------------------------------
// [SECTION] Customers
//-----------------------------------------------------------------------------

bool KeyHolds(const Call& call)
{
    const RoutePlanPtr& plan = call.Owner->Plan;
    if (call.By == nullptr || plan == call.Plan)
    {
        return true;
    }
    const Customer* by = FindCustomer(plan->Callers, call.ByKey);
    return by != nullptr && by->Id == call.By->Id;
}

// Finds out whose request it is. False if it must be refused, as it is then.
static bool Recognize(const CallPtr& call)
{
    Forwarder* forwarder = call->Owner;
    std::vector<Header>& headers = call->From->Headers;
    const std::optional<KeyHash> key = ReadCallerKey(headers);
    call->By = key ? FindCustomer(call->Plan->Callers, *key) : nullptr;
    call->ByKey = key.value_or(KeyHash());
    ReplaceCallerKey(&headers, forwarder->Names.Customer, call->By != nullptr ? call->By->Name : "");
    if (call->By != nullptr || call->Row->Public)
    {
        return true;
    }
    if (key && forwarder->Directory.InTrouble)
    {
        // It may be newer than our plan. "Unknown" would be final to the caller, and another instance may know it.
        EndCallWith(call, Code_KeyNotLearnt, "", forwarder->Config.EmptyRetryUs);
        return false;
    }
    EndCallWith(call, Code_KeyUnknown, key ? "no customer's key" : "no key");
    return false;
}

// Counts the request against its customer's quota. False if that is used up: the request is refused then.
static bool TakeQuota(const CallPtr& call)
{
    Forwarder* forwarder = call->Owner;
    if (call->By == nullptr || call->By->RatePerS <= 0)
    {
        return true;
    }
    const TimeUs now = NowUs();
    CustomerMetrics* counters = CustomerCounters(&forwarder->ByCustomer, call->By->Name);
    if (QuotaTake(&forwarder->Quotas, *call->By, now, forwarder->Rng))
    {
        call->QuotaTakenUs = now;
        counters->Admitted++;
        return true;
    }
    counters->Refused++;
    EndCallWith(call, Code_QuotaUsedUp, call->By->Name, QuotaReturnTime(forwarder->Quotas, call->By->Id, forwarder->Rng));
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

// What the caller's deadline header says; the route's timeout where there is none; none where it is no number of milliseconds.
static std::optional<TimeUs> AskedTime(const Call& call)
{
    const std::string* header = FindHeader(call.From->Headers, call.Owner->Names.Deadline);
    if (header == nullptr)
    {
        return call.Row->TimeoutUs;
    }
    char* end = nullptr;
    const double ms = std::strtod(header->c_str(), &end);
    const bool number = end != header->c_str() && *end == '\0' && std::isfinite(ms);
    if (!number || ms < 0)
    {
        return std::nullopt;
    }
    constexpr double longest = 3600.0 * UsPerSecond; // No caller waits longer, and it fits the type.
    return ms > 0 ? static_cast<TimeUs>(std::min(ms * static_cast<double>(UsPerMs), longest)) : call.Row->TimeoutUs;
}

static void SetDeadline(const CallPtr& call, TimeUs asked)
{
    call->CallerUntilUs = call->From->ArrivedUs + asked;
    call->DeadlineUs = call->From->ArrivedUs + std::min(asked, call->Row->TimeoutUs);
    call->Deadline = TimerStart(call->Owner->Loop, LeftUs(*call, NowUs()), [call]() { OnDeadline(call); });
}

static void Admit(const CallPtr& call)
{
    Forwarder* forwarder = call->Owner;
    const std::optional<TimeUs> asked = AskedTime(*call);
    if (!asked)
    {
        EndCallWith(call, Code_BadDeadline, "");
        return;
    }
    const size_t part = RouteSplitNext(&forwarder->Splits[call->Row->Name], call->Row->Parts, forwarder->Rng);
    call->ServiceName = call->Row->Parts[part].Service;
    call->Spec = FindService(*call->Plan, call->ServiceName);
    call->Service = &forwarder->Services[call->ServiceName];
    call->Service->InProgress++;
    call->Work = &forwarder->Work[call->Row->Name];
    SetDeadline(call, *asked);
    RepeatBudgetRequest(&call->Service->Repeats, NowUs());
    if (call->Spec == nullptr)
    {
        EndCallWith(call, Code_NoTargetLeft, "the plan has no such service", forwarder->Config.EmptyRetryUs);
        return;
    }
    if (IsHeld(call.get()))
    {
        EndCallHeld(call);
        return;
    }
    if (call->Spec->RequestsMost > 0 && call->Service->InProgress > call->Spec->RequestsMost)
    {
        EndCallBusy(call, Code_RowLimit, "");
        return;
    }
    if (TakeQuota(call))
    {
        ChooseTarget(call, Choosing_First);
    }
}

bool ForwardMayOverlap(const Forwarder& forwarder, const Exchange& exchange)
{
    const Route* row = forwarder.Plan ? FindRoute(*forwarder.Plan, HeaderOr(exchange, "Host", ""), exchange.Target) : nullptr;
    return row != nullptr && MayRepeat(*row, exchange.Method);
}

static void FindRow(const CallPtr& call)
{
    call->Row = FindRoute(*call->Plan, HeaderOr(*call->From, "Host", ""), call->From->Target);
    if (call->Row == nullptr)
    {
        EndCallWith(call, Code_NoRoute, call->From->Target);
        return;
    }
    call->Repeatable = MayRepeat(*call->Row, call->From->Method);
    if (!call->Plan->Callers.Required || Recognize(call))
    {
        Admit(call);
    }
}

// An instance that has just started gets its plan within moments; its first callers, who may have been waiting for it, are kept for so
// long. One that still has no plan then refuses at once.
static void AwaitPlan(const CallPtr& call)
{
    Forwarder* forwarder = call->Owner;
    const auto refuse = [call]()
    {
        EndCallWith(call, Code_NoTable, "", call->Owner->Config.EmptyRetryUs);
    };
    const TimeUs left = forwarder->StartedUs + forwarder->Config.FirstPlanUs - NowUs();
    if (left <= 0)
    {
        refuse();
        return;
    }
    call->Deadline = TimerStart(forwarder->Loop, left, refuse);
    forwarder->Unplanned.push_back(call);
    if (forwarder->OnNeeded && forwarder->Unplanned.size() % forwarder->Config.NeedyCallers == 0)
    {
        forwarder->OnNeeded();
    }
}

static void ServeUnplanned(Forwarder* forwarder)
{
    const std::vector<CallPtr> calls = std::move(forwarder->Unplanned);
    forwarder->Unplanned.clear();
    for (const CallPtr& call : calls)
    {
        if (!call->Ended)
        {
            call->Deadline = nullptr;
            call->Plan = forwarder->Plan;
            FindRow(call);
        }
    }
}

void ForwardRequest(Forwarder* forwarder, const ExchangePtr& exchange)
{
    const auto call = std::make_shared<Call>();
    call->Owner = forwarder;
    call->From = exchange;
    call->Plan = forwarder->Plan;
    call->Id = HeaderOr(*exchange, forwarder->Names.RequestId, "");
    if (call->Id.empty())
    {
        call->Id = fmt::format("{}-{}", forwarder->IdPrefix, ++forwarder->LastId);
    }
    forwarder->InProgress++;
    exchange->OnGone = [call]()
    {
        OnCallerGone(call);
    };
    if (call->Plan)
    {
        FindRow(call);
        return;
    }
    AwaitPlan(call);
}

//-----------------------------------------------------------------------------
// [SECTION] Following plan and directory
//-----------------------------------------------------------------------------

static void FollowPlan(Forwarder* forwarder)
{
    for (const ServiceInfo& service : forwarder->Plan->Services)
    {
        ServiceState& state = forwarder->Services[service.Name];
        state.Repeats.Share = forwarder->Config.RepeatShare;
        state.Repeats.WindowUs = forwarder->Config.RepeatWindowUs;
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
    NoteEndedTargets(forwarder);
    for (const auto& [service, listed] : DirectoryOfServices(forwarder->Directory, ServicesToFollow(forwarder)))
    {
        const auto state = forwarder->Services.find(service);
        if (state != forwarder->Services.end())
        {
            PoolFollow(&state->second.Pool, listed, forwarder->DataCentre, forwarder->Rng);
            state->second.FollowedFrom = forwarder->DataCentre;
        }
    }
    if (forwarder->Plan)
    {
        ServeUnplanned(forwarder);
    }
}

} // namespace Winchlink
