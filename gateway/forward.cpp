// forward.cpp: a caller's request on its way to a target.
//
// Each request is a Call, held by the callbacks that will move it on. A call ends exactly once, in End(); whatever comes later for it is
// only learnt from.
//
// Index of this file:
// [SECTION] Call
// [SECTION] Ends
// [SECTION] Asking targets
// [SECTION] Sending
// [SECTION] Judging answers
// [SECTION] Admission

#include "forward.h"

#include "clock.h"
#include "log.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Call
//-----------------------------------------------------------------------------

struct Call
{
    Forwarder* Owner = nullptr;
    ExchangePtr From;
    RoutePlanPtr Plan; // Keeps Row alive.
    const Route* Row = nullptr;
    const ServiceInfo* Spec = nullptr;
    ServiceState* Service = nullptr;
    RouteWork* Work = nullptr;
    std::string ServiceName;
    std::string Id;                   // The caller's.
    TimeUs DeadlineUs = 0;            // Answered by then.
    TimeUs AskUntilUs = 0;            // A target is chosen by then, or the request refused.
    std::vector<std::string> Asked;   // Targets asked in this choice.
    std::vector<std::string> Tried;   // Targets that it was sent to.
    int Asking = 0;                   // Questions without an answer.
    int AsksMade = 0;                 // Questions in all.
    bool Choosing = false;            // No target is chosen yet.
    uint64_t Sending = 0;             // The attempt in progress; 0: none.
    std::string Target;               // Of that attempt.
    LoadReport Report;                // The target's load as it was known when it was chosen.
    TimeUs ReportUs = 0;              // When that was told; 0: never.
    bool NearlyFull = false;          // It made the target nearly full.
    Timer Again;                      // Asks again after all targets were busy.
    TimeUs SentUs = 0;                // When it began.
    int Attempts = 0;                 // Sends that reached, or may have reached, a target.
    int MayHaveRun = 0;               // Of those, attempts that may have been run.
    bool Ended = false;               // The caller has been answered.
    Timer Deadline;                   // Ends it at DeadlineUs.
};

using CallPtr = std::shared_ptr<Call>;

static void Choose(const CallPtr& call);
static void AskMore(const CallPtr& call);

static TimeUs LeftUs(const Call& call)
{
    return call.DeadlineUs - NowUs();
}

// A target is passed over if it was asked in this choice or has had the request already.
static std::vector<std::string> Passed(const Call& call)
{
    std::vector<std::string> all = call.Asked;
    all.insert(all.end(), call.Tried.begin(), call.Tried.end());
    return all;
}

//-----------------------------------------------------------------------------
// [SECTION] Ends
//-----------------------------------------------------------------------------

static void Count(const Call& call, Code_ code)
{
    if (call.Service == nullptr)
    {
        return;
    }
    CountEnded(&call.Service->Metrics, code);
    if (code == Code_None)
    {
        LatencyAdd(&call.Service->Metrics.Latency, NowUs() - call.From->ArrivedUs);
    }
}

static void LogEnd(const Call& call, Code_ code, int status, const std::string& detail)
{
    const LogLevel_ level = code == Code_None ? LogLevel_Debug : LogLevel_Info;
    Log(level, code, code == Code_None ? "answered" : "not answered",
        {{"requestId", call.Id},
         {"route", call.Row != nullptr ? call.Row->Name : ""},
         {"service", call.ServiceName},
         {"plan", call.Plan ? call.Plan->Version : 0},
         {"target", call.Target},
         {"status", status},
         {"attempts", call.Attempts},
         {"asked", static_cast<int>(call.Asked.size())},
         {"running", call.Report.Running},
         {"waiting", call.Report.Waiting},
         {"pace", call.Report.PacePercent},
         {"reportAgeUs", call.ReportUs > 0 ? call.SentUs - call.ReportUs : -1},
         {"sentAfterUs", call.SentUs > 0 ? call.SentUs - call.From->ArrivedUs : -1},
         {"tookUs", NowUs() - call.From->ArrivedUs},
         {"detail", detail}});
}

static void End(const CallPtr& call, Code_ code, const std::string& detail, CallerReply reply)
{
    assert(!call->Ended && "a request ends once");
    call->Ended = true;
    call->Choosing = false;
    call->Again = nullptr;
    call->Deadline = nullptr;
    call->Owner->InProgress--;
    Count(*call, code);
    LogEnd(*call, code, reply.Status, detail);
    reply.CloseConnection = reply.CloseConnection || call->Owner->Leaving;
    Reply(call->From, std::move(reply));
}

// Our own answer. Those that promise that nothing was run may be given only where that is so.
static void EndWith(const CallPtr& call, Code_ code, const std::string& detail, TimeUs retry_after = 0)
{
    const int status = FindCode(code).HttpStatus;
    assert((status != 503 || call->MayHaveRun == 0) && "'not run' must be true");
    CallerReply reply;
    reply.Status = status;
    reply.Headers.push_back({call->Owner->Names.RequestId, call->Id});
    reply.Headers.push_back({HeaderCode, std::to_string(static_cast<int>(code))});
    if (status == 503)
    {
        const double seconds = static_cast<double>(retry_after) / static_cast<double>(UsPerSecond);
        reply.Headers.push_back({call->Owner->Names.RetryAfter, fmt::format("{:.3f}", seconds)});
    }
    End(call, code, detail, std::move(reply));
}

static void PassOn(const CallPtr& call, ClientAnswer answer)
{
    CallerReply reply;
    reply.Status = answer.Status;
    reply.Body = std::move(answer.Body);
    for (Header& header : answer.Headers)
    {
        if (!IsHopHeader(header.Name) && !SameHeader(header.Name, call->Owner->Names.Load))
        {
            reply.Headers.push_back(std::move(header));
        }
    }
    End(call, Code_None, "", std::move(reply));
}

// Ends what is still under way at targets, and so their work.
static void Abandon(const CallPtr& call)
{
    if (call->Sending == 0)
    {
        return;
    }
    ClientCancel(call->Owner->Targets, call->Sending);
    call->Sending = 0;
    PoolTarget* target = PoolFind(&call->Service->Pool, call->Target);
    if (target != nullptr)
    {
        target->InFlight--;
        target->Since -= target->ReportUs < call->SentUs && target->Since > 0 ? 1 : 0;
    }
}

static void OnDeadline(const CallPtr& call)
{
    const bool sent = call->MayHaveRun > 0 || call->Sending != 0;
    if (call->Sending != 0)
    {
        PoolTarget* target = PoolFind(&call->Service->Pool, call->Target);
        if (target != nullptr)
        {
            PoolFailed(call->Service->Pool.Config, target, NowUs());
        }
    }
    Abandon(call);
    EndWith(call, sent ? Code_DeadlinePassed : Code_TargetsBusy, "deadline", call->Owner->Config.BusyRetryUs);
}

static void OnCallerGone(const CallPtr& call)
{
    Abandon(call);
    End(call, Code_CallerGone, "", CallerReply{FindCode(Code_CallerGone).HttpStatus, {}, "", true});
}

//-----------------------------------------------------------------------------
// [SECTION] Sending
//-----------------------------------------------------------------------------

static void OnAnswer(const CallPtr& call, ClientAnswer answer);

static std::vector<Header> HeadersForTarget(const Call& call)
{
    const WireNames& names = call.Owner->Names;
    std::vector<Header> headers;
    for (const Header& header : call.From->Headers)
    {
        const bool ours = SameHeader(header.Name, names.Deadline) || SameHeader(header.Name, names.ExpectedTarget) ||
                          SameHeader(header.Name, "Expect");
        if (!ours && !IsHopHeader(header.Name))
        {
            headers.push_back(header);
        }
    }
    const TimeUs left_ms = std::max<TimeUs>(LeftUs(call) / UsPerMs, 1);
    headers.push_back({names.Deadline, std::to_string(left_ms)});
    headers.push_back({names.ExpectedTarget, call.Target});
    return headers;
}

// Right before the request leaves: news since the choice may stop it.
static bool MaySend(const Call& call)
{
    return !call.Ended && LeftUs(call) > 0 && PoolFind(&call.Service->Pool, call.Target) != nullptr;
}

static void Send(const CallPtr& call, PoolTarget* target)
{
    assert((call->Row->Repeatable || call->MayHaveRun == 0) && "a request that may not be repeated may have been run already");
    call->Choosing = false;
    call->Target = target->Id;
    call->SentUs = NowUs();
    call->Report = target->Report;
    call->ReportUs = target->ReportUs;
    call->NearlyFull = PoolNearlyFull(call->Service->Pool.Config, target->Report, target->Since);
    target->InFlight++;
    target->Since++;
    call->Tried.push_back(target->Id);
    call->Attempts++;
    ClientRequest request;
    request.Address = target->Address;
    request.Method = call->From->Method;
    request.Target = call->From->Target;
    request.Headers = HeadersForTarget(*call);
    request.HasBody = !call->From->Body.empty() || call->From->Method == "POST" || call->From->Method == "PUT";
    request.Body = call->From->Body;
    request.TimeoutUs = LeftUs(*call) + UsPerSecond; // The call's own deadline comes first.
    request.ConnectUs = call->Owner->Config.ConnectUs;
    request.MaySend = [call]()
    {
        return MaySend(*call);
    };
    const std::string id_header = call->Owner->Names.RequestId;
    request.Fits = [call, id_header](const std::vector<Header>& headers)
    {
        const std::string* id = FindHeader(headers, id_header);
        return id != nullptr && *id == call->Id;
    };
    call->Sending = ClientSend(call->Owner->Targets, std::move(request), [call](ClientAnswer answer) { OnAnswer(call, std::move(answer)); });
}

//-----------------------------------------------------------------------------
// [SECTION] Asking targets
//-----------------------------------------------------------------------------

static void Refuse(const CallPtr& call, Code_ code, const std::string& detail)
{
    const ForwardConfig& config = call->Owner->Config;
    const bool empty = call->Service->Pool.Targets.empty();
    if (call->MayHaveRun > 0)
    {
        EndWith(call, Code_OutcomeUnknown, detail);
        return;
    }
    EndWith(call, code, detail, empty ? config.EmptyRetryUs : config.BusyRetryUs);
}

// The cheapest of those asked that have room; null if none has.
static PoolTarget* BestAsked(const Call& call, TimeUs now)
{
    TargetPool& pool = call.Service->Pool;
    PoolTarget* best = nullptr;
    for (const std::string& id : call.Asked)
    {
        PoolTarget* target = PoolFind(&pool, id);
        const bool usable = target != nullptr && target->ReportUs > 0 && now < target->ReportUs + pool.Config.ReportUs && PoolHasRoom(pool, *target);
        if (usable && (best == nullptr || PoolCost(pool, *target, now) < PoolCost(pool, *best, now)))
        {
            best = target;
        }
    }
    return best;
}

// Whether a request is expected to be answered within its aim by a target of that cost.
static bool InTime(const Call& call, double cost, TimeUs now)
{
    const auto left = static_cast<double>(call.Row->AimUs - (now - call.From->ArrivedUs));
    return cost * call.Work->MeanUs < left;
}

static void AskAgain(const CallPtr& call)
{
    if (NowUs() < call->AskUntilUs)
    {
        call->Asked.clear();
    }
    AskMore(call);
}

// All targets that may be asked were asked, and none is good.
static void Decide(const CallPtr& call)
{
    const ForwardConfig& config = call->Owner->Config;
    const TimeUs now = NowUs();
    PoolTarget* best = BestAsked(*call, now);
    const double cost = best != nullptr ? PoolCost(call->Service->Pool, *best, now) : 0;
    if (best != nullptr && cost <= config.SettleCost && InTime(*call, cost, now))
    {
        Send(call, best);
        return;
    }
    if (now + config.AskAgainUs < call->AskUntilUs)
    {
        call->Again = TimerStart(call->Owner->Loop, config.AskAgainUs, [call]() { AskAgain(call); });
        call->Service->Waiting.push_back(call);
        return;
    }
    if (best != nullptr && InTime(*call, cost, now))
    {
        Send(call, best);
        return;
    }
    Refuse(call, call->Asked.empty() ? Code_NoTargetLeft : Code_TargetsBusy, best != nullptr ? "too slow" : "");
}

static void LearnFromAsk(Forwarder* forwarder, ServiceState* service, const std::string& id, const ClientAnswer& answer)
{
    PoolTarget* target = PoolFind(&service->Pool, id);
    if (target == nullptr)
    {
        return;
    }
    const std::string* told = FindHeader(answer.Headers, forwarder->Names.TargetId);
    if (answer.End == ClientEnd_Answered && told != nullptr && *told != id)
    {
        Log(LogLevel_Info, Code_None, "target replaced", {{"target", id}, {"address", target->Address}, {"now", *told}});
        DirectoryLeaves(&forwarder->Directory, id);
        ForwarderFollow(forwarder);
        return;
    }
    if (answer.End != ClientEnd_Answered || answer.Status != 200 || told == nullptr)
    {
        PoolFailed(service->Pool.Config, target, NowUs());
        return;
    }
    const std::string* load = FindHeader(answer.Headers, forwarder->Names.Load);
    const std::optional<LoadReport> report = load != nullptr ? ParseLoadReport(*load) : std::nullopt;
    service->Pool.TellsLoad = report.has_value();
    if (report)
    {
        PoolReport(target, *report, NowUs());
    }
}

// Whether a target is good enough to be taken without asking others.
static bool IsGood(const Call& call, const PoolTarget& target, TimeUs now)
{
    const TargetPool& pool = call.Service->Pool;
    return PoolHasRoom(pool, target) && PoolCost(pool, target, now) <= pool.Config.GoodCost;
}

static void OnAsked(const CallPtr& call, const std::string& id, const ClientAnswer& answer)
{
    call->Asking--;
    LearnFromAsk(call->Owner, call->Service, id, answer);
    if (!call->Choosing)
    {
        return;
    }
    const TimeUs now = NowUs();
    PoolTarget* target = PoolFind(&call->Service->Pool, id);
    const bool told = target != nullptr && answer.End == ClientEnd_Answered && target->ReportUs > 0;
    if (told && IsGood(*call, *target, now))
    {
        Send(call, target);
        return;
    }
    AskMore(call);
}

static void Ask(const CallPtr& call, const PoolTarget& target)
{
    call->Asking++;
    call->AsksMade++;
    call->Owner->AsksSent++;
    ClientRequest request;
    request.Address = target.Address;
    request.Target = call->Spec->HealthPath;
    request.TimeoutUs = call->Owner->Config.AskTimeoutUs;
    const std::string id = target.Id;
    const std::string id_header = call->Owner->Names.TargetId;
    // An answer to a request that was given up may come instead; it has no such header.
    request.Fits = [id_header](const std::vector<Header>& headers)
    {
        return FindHeader(headers, id_header) != nullptr;
    };
    ClientSend(call->Owner->Targets, std::move(request), [call, id](const ClientAnswer& answer) { OnAsked(call, id, answer); });
}

// Targets that tell no load are not asked: their health path would wait for a slot. The one with the least of our own work is taken.
static void SendUnasked(const CallPtr& call)
{
    PoolTarget* target = PoolNext(&call->Service->Pool, call->Tried, NowUs(), call->Owner->Rng);
    if (target == nullptr || target->InFlight >= call->Owner->Config.UnaskedMost * target->Slots)
    {
        Refuse(call, target == nullptr ? Code_NoTargetLeft : Code_TargetsBusy, "targets tell no load");
        return;
    }
    Send(call, target);
}

static void AskMore(const CallPtr& call)
{
    call->Again = nullptr;
    if (!call->Choosing)
    {
        return;
    }
    if (!call->Service->Pool.TellsLoad)
    {
        SendUnasked(call);
        return;
    }
    const ForwardConfig& config = call->Owner->Config;
    const TimeUs now = NowUs();
    while (now < call->AskUntilUs)
    {
        PoolTarget* next = PoolNext(&call->Service->Pool, Passed(*call), now, call->Owner->Rng);
        const bool known = next != nullptr && next->ReportUs > 0 && now < next->ReportUs + config.ReuseUs;
        const int at_once = next != nullptr && next->Near ? config.AsksAtOnce : config.FarAsksAtOnce;
        if (next == nullptr || (!known && (call->Asking >= at_once || call->AsksMade >= config.AsksMost)))
        {
            break;
        }
        call->Asked.push_back(next->Id);
        if (!known)
        {
            Ask(call, *next);
        }
        else if (IsGood(*call, *next, now))
        {
            Send(call, next);
            return;
        }
    }
    if (call->Asking == 0)
    {
        Decide(call);
    }
}

static void Choose(const CallPtr& call)
{
    call->Choosing = true;
    call->Asked.clear();
    call->AskUntilUs = NowUs() + static_cast<TimeUs>(call->Owner->Config.AskShare * static_cast<double>(call->Row->AimUs));
    AskMore(call);
}

//-----------------------------------------------------------------------------
// [SECTION] Judging answers
//-----------------------------------------------------------------------------

static bool SaysNotExecuted(const Forwarder& forwarder, const ClientAnswer& answer)
{
    return answer.End == ClientEnd_Answered && (answer.Status == 421 || FindHeader(answer.Headers, forwarder.Names.NotExecuted) != nullptr);
}

// A success that does not carry what only a target can give is no success, and neither is a body in another encoding.
static bool IsGenuine(const Forwarder& forwarder, const ClientAnswer& answer)
{
    const bool signature = forwarder.Names.Signature.empty() || FindHeader(answer.Headers, forwarder.Names.Signature) != nullptr;
    return signature && FindHeader(answer.Headers, "Content-Encoding") == nullptr;
}

// The caller would read these as "not run", and the target did not say so.
static bool IsFalsePromise(int status)
{
    return status == 408 || status == 429 || status == 503;
}

enum Verdict_ : int
{
    Verdict_Pass,   // Pass the answer on.
    Verdict_NotRun, // The target did not get the request, or did not run it.
    Verdict_Lost,   // It may have been run, and there is no answer.
    Verdict_COUNT,
};

static Verdict_ Judge(const Forwarder& forwarder, const ClientAnswer& answer)
{
    if (answer.End == ClientEnd_NotConnected || answer.End == ClientEnd_HeldBack || SaysNotExecuted(forwarder, answer))
    {
        return Verdict_NotRun;
    }
    const bool good = answer.End == ClientEnd_Answered && IsGenuine(forwarder, answer) && !IsFalsePromise(answer.Status);
    return good ? Verdict_Pass : Verdict_Lost;
}

// What a request of the route takes at a target of cost 1, and how much slower nearly full targets are.
static void LearnWork(Call* call, TimeUs took)
{
    constexpr double Gain = 0.05; // Of the latest answer; work varies by a third and more.
    TargetPool& pool = call->Service->Pool;
    double& mean = call->Work->MeanUs;
    const double usual = static_cast<double>(took) * 100.0 / call->Report.PacePercent;
    if (call->NearlyFull && mean > 0)
    {
        PoolLearnNearlyFull(&pool, usual / mean);
        return;
    }
    if (!call->NearlyFull)
    {
        mean = mean == 0 ? usual : mean + Gain * (usual - mean);
    }
}

static void LearnFromAnswer(const CallPtr& call, const ClientAnswer& answer, Verdict_ verdict)
{
    Forwarder* forwarder = call->Owner;
    const std::string id = call->Target;
    if (answer.End == ClientEnd_Answered && answer.Status == 421)
    {
        DirectoryLeaves(&forwarder->Directory, id);
        ForwarderFollow(forwarder);
    }
    PoolTarget* target = PoolFind(&call->Service->Pool, id);
    if (target == nullptr)
    {
        return;
    }
    target->InFlight--;
    target->Since -= target->ReportUs < call->SentUs && target->Since > 0 ? 1 : 0;
    const std::string* load = FindHeader(answer.Headers, forwarder->Names.Load);
    const std::optional<LoadReport> report = load != nullptr ? ParseLoadReport(*load) : std::nullopt;
    if (report)
    {
        call->Service->Pool.TellsLoad = true;
        PoolReport(target, *report, NowUs());
    }
    if (verdict == Verdict_Pass && answer.Status < 500)
    {
        LearnWork(call.get(), answer.TookUs);
        PoolGood(target);
    }
    else if (answer.End != ClientEnd_HeldBack)
    {
        PoolFailed(call->Service->Pool.Config, target, NowUs());
    }
}

// A slot has come free: the most urgent of those that wait gets it, the longest waiting of equals.
static void ServeWaiting(ServiceState* service, const std::string& id)
{
    CallPtr first;
    std::vector<std::weak_ptr<Call>> still;
    for (const std::weak_ptr<Call>& entry : service->Waiting)
    {
        const CallPtr waiting = entry.lock();
        if (!waiting || !waiting->Again)
        {
            continue; // It asks again by now, or has ended.
        }
        still.push_back(entry);
        first = !first || waiting->Row->Priority < first->Row->Priority ? waiting : first;
    }
    service->Waiting = std::move(still);
    PoolTarget* target = PoolFind(&service->Pool, id);
    const TimeUs now = NowUs();
    const bool told = target != nullptr && target->ReportUs > 0;
    if (first && told && IsGood(*first, *target, now))
    {
        first->Again = nullptr;
        Send(first, target);
    }
}

// Another target may get the request, if the budget allows it. What never left a process costs nothing.
static bool MayTryAgain(const CallPtr& call, const ClientAnswer& answer)
{
    const bool left_us = answer.End != ClientEnd_NotConnected && answer.End != ClientEnd_HeldBack;
    if (!left_us)
    {
        call->Attempts--;
        constexpr size_t TriesMost = 8; // Connections that fail at once must not be tried for ever.
        return LeftUs(*call) > 0 && call->Tried.size() < TriesMost;
    }
    const bool allowed = call->Row->Repeatable || call->MayHaveRun == 0;
    return allowed && call->Attempts < call->Row->AttemptsMost && LeftUs(*call) > 0 && RepeatBudgetTake(&call->Service->Repeats, NowUs());
}

static void EndUnanswered(const CallPtr& call, const ClientAnswer& answer)
{
    if (call->MayHaveRun == 0)
    {
        EndWith(call, Code_TargetRefused, answer.Detail, call->Owner->Config.BusyRetryUs);
        return;
    }
    EndWith(call, answer.End == ClientEnd_TimedOut ? Code_DeadlinePassed : Code_OutcomeUnknown, answer.Detail);
}

static void OnAnswer(const CallPtr& call, ClientAnswer answer)
{
    call->Sending = 0;
    const Verdict_ verdict = Judge(*call->Owner, answer);
    LearnFromAnswer(call, answer, verdict);
    ServeWaiting(call->Service, call->Target);
    if (call->Ended)
    {
        return;
    }
    call->MayHaveRun += verdict == Verdict_NotRun ? 0 : 1;
    const bool failed = verdict == Verdict_Pass && answer.Status >= 500;
    const bool done = verdict == Verdict_Pass && !(failed && call->Row->Repeatable);
    if (!done && MayTryAgain(call, answer))
    {
        Choose(call);
        return;
    }
    if (verdict == Verdict_Pass)
    {
        PassOn(call, std::move(answer));
        return;
    }
    EndUnanswered(call, answer);
}

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

static std::string HeaderOr(const Exchange& exchange, const std::string& name, const std::string& otherwise)
{
    const std::string* value = FindHeader(exchange.Headers, name);
    return value != nullptr ? *value : otherwise;
}

static void SetDeadline(const CallPtr& call)
{
    const std::string* deadline = FindHeader(call->From->Headers, call->Owner->Names.Deadline);
    const TimeUs asked = deadline != nullptr ? std::strtoll(deadline->c_str(), nullptr, 10) * UsPerMs : call->Row->TimeoutUs;
    const TimeUs allowed = asked > 0 ? std::min(asked, call->Row->TimeoutUs) : call->Row->TimeoutUs;
    call->DeadlineUs = call->From->ArrivedUs + allowed;
    call->Deadline = TimerStart(call->Owner->Loop, LeftUs(*call), [call]() { OnDeadline(call); });
}

static void Admit(const CallPtr& call)
{
    Forwarder* forwarder = call->Owner;
    const size_t part = RouteSplitNext(&forwarder->Splits[call->Row->Name], call->Row->Parts, forwarder->Rng);
    call->ServiceName = call->Row->Parts[part].Service;
    call->Spec = FindService(*call->Plan, call->ServiceName);
    call->Service = &forwarder->Services[call->ServiceName];
    call->Work = &forwarder->Work[call->Row->Name];
    SetDeadline(call);
    RepeatBudgetRequest(&call->Service->Repeats, NowUs());
    if (call->Spec == nullptr)
    {
        Refuse(call, Code_NoTargetLeft, "the plan has no such service");
        return;
    }
    Choose(call);
}

void ForwardRequest(Forwarder* forwarder, const ExchangePtr& exchange)
{
    const auto call = std::make_shared<Call>();
    call->Owner = forwarder;
    call->From = exchange;
    call->Plan = forwarder->Plan;
    call->Id = HeaderOr(*exchange, forwarder->Names.RequestId, "");
    forwarder->InProgress++;
    exchange->OnGone = [call]()
    {
        OnCallerGone(call);
    };
    if (!call->Plan)
    {
        EndWith(call, Code_NoTable, "", forwarder->Config.EmptyRetryUs);
        return;
    }
    call->Row = FindRoute(*call->Plan, HeaderOr(*exchange, "Host", ""), exchange->Target);
    if (call->Row == nullptr)
    {
        EndWith(call, Code_NoRoute, exchange->Target);
        return;
    }
    Admit(call);
}

void ForwarderFollow(Forwarder* forwarder)
{
    if (forwarder->Plan)
    {
        for (const ServiceInfo& service : forwarder->Plan->Services)
        {
            ServiceState& state = forwarder->Services[service.Name];
            state.Repeats.Share = forwarder->Config.RepeatShare;
            state.Repeats.WindowUs = forwarder->Config.RepeatWindowUs;
        }
    }
    for (auto& entry : forwarder->Services)
    {
        PoolFollow(&entry.second.Pool, forwarder->Directory, entry.first, forwarder->DataCentre);
    }
}

} // namespace Winchlink
