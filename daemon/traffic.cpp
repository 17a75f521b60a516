// traffic.cpp: callers' requests, from arrival to answer. Read HandleCall() at the end first: it is the whole path.
//
// Index of this file:
// [SECTION] The call
// [SECTION] Answers of our own
// [SECTION] Step 1: ReadCall
// [SECTION] Step 2: Match and admit
// [SECTION] Step 3: Choose and reserve
// [SECTION] Step 4: Send
// [SECTION] Step 5: Settle
// [SECTION] The path

#include "traffic.h"

#include "clock.h"
#include "names.h"
#include "permits.h"
#include "winchlink_json.h"

#include <algorithm>
#include <fmt/format.h>
#include <sodium.h>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] The call
//-----------------------------------------------------------------------------

// A second attempt beside a slow one.
struct HedgeState
{
    Permit Held;          // Its own.
    TargetKey Target = 0; // Where it went.
};

// Everything about one request of a caller.
struct Call
{
    const ServerRequest* From = nullptr; // As it came.
    std::string Id;                      // The caller's, or ours.
    TimeUs ArrivedUs = 0;                // When it came.
    TimeUs DeadlineUs = 0;               // When its answer is of no use any more.
    SnapshotPtr Seen;                    // The table it is served by, to its end.
    size_t RowIndex = 0;                 // Its row in that table.
    const ServiceRow* Row = nullptr;     // The same.
    RowState* State = nullptr;           // The row's running state.
    RequestLife Life;                    // Attempts so far.
    std::vector<TargetKey> Tried;        // Targets of those attempts.
    TimeUs RetryAfterUs = 0;             // For a refusal.
    HedgeState Hedge;                    // The second attempt in progress, if there is one.
    TimeUs HedgeAfterUs = 0;             // How long the first attempt may take before it is hedged.
    Permit Held;                         // Of the row's limit on concurrent work, from admission to the end.
};

// The end of a request, before it is put into HTTP.
struct CallEnd
{
    Code_ Code = Code_None; // None: Answer is passed on.
    std::string Detail;     // For people.
    UpstreamAnswer Answer;  // The target's.
};

//-----------------------------------------------------------------------------
// [SECTION] Answers of our own
//-----------------------------------------------------------------------------

// Not run, unknown, or neither: what a code means for the caller's request.
static const char* RunWord(Code_ code)
{
    const bool not_run = (code >= Code_NoTable && code <= Code_OtherInstances) || (code >= Code_BadDeadline && code <= Code_BadRequest);
    return not_run ? RunNotRun : RunUnknown;
}

static std::string ExplainJson(const Call& call, Code_ code, const std::string& detail)
{
    const CodeInfo& info = FindCode(code);
    json_t* object = json_object();
    json_object_set_new(object, "code", json_integer(code));
    json_object_set_new(object, "name", json_string(info.Name));
    json_object_set_new(object, "text", json_string(info.Text));
    json_object_set_new(object, "detail", JsonText(detail));
    json_object_set_new(object, "run", json_string(RunWord(code)));
    json_object_set_new(object, "retryAfterMs", json_integer((call.RetryAfterUs + UsPerMs - 1) / UsPerMs));
    json_object_set_new(object, "requestId", JsonText(call.Id));
    return DumpJson(object, JSON_COMPACT) + "\n";
}

static ServerResponse ExplainEnd(const Call& call, Code_ code, const std::string& detail)
{
    ServerResponse response;
    response.Status = FindCode(code).HttpStatus;
    response.Body = ExplainJson(call, code, detail);
    response.Headers = {
        {"Content-Type", "application/json"}, {HeaderRequestId, call.Id}, {HeaderCode, std::to_string(code)}, {HeaderRun, RunWord(code)}};
    if (call.RetryAfterUs > 0)
    {
        const TimeUs seconds = (call.RetryAfterUs + UsPerSecond - 1) / UsPerSecond;
        const TimeUs ms = (call.RetryAfterUs + UsPerMs - 1) / UsPerMs;
        response.Headers.push_back({"Retry-After", std::to_string(seconds)});
        response.Headers.push_back({HeaderRetryAfterMs, std::to_string(ms)});
    }
    return response;
}

static ServerResponse PassOn(const Call& call, const UpstreamAnswer& answer)
{
    ServerResponse response;
    response.Status = answer.Status;
    response.Body = answer.Body;
    for (const Header& header : answer.Headers)
    {
        if (!IsHopHeader(header.Name) && !SameHeader(header.Name, HeaderRequestId))
        {
            response.Headers.push_back(header);
        }
    }
    response.Headers.push_back({HeaderRequestId, call.Id});
    return response;
}

//-----------------------------------------------------------------------------
// [SECTION] Step 1: ReadCall
//-----------------------------------------------------------------------------

static constexpr size_t RequestIdMax = 128;
static constexpr TimeUs DeadlineMaxMs = 600000;

static std::string NewRequestId()
{
    std::array<uint8_t, 8> random = {};
    randombytes_buf(random.data(), random.size());
    std::array<char, 2 * random.size() + 1> hex = {};
    sodium_bin2hex(hex.data(), hex.size(), random.data(), random.size());
    return hex.data();
}

static std::string IdOf(const ServerRequest& request)
{
    const std::string* given = FindHeader(request.Headers, HeaderRequestId);
    const bool usable = given != nullptr && !given->empty() && given->size() <= RequestIdMax;
    return usable ? *given : NewRequestId();
}

static std::optional<TimeUs> ParseDeadlineMs(const std::string& text)
{
    const bool digits =
        !text.empty() && text.size() <= 9 && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (!digits)
    {
        return std::nullopt;
    }
    return std::min<TimeUs>(std::stoll(text), DeadlineMaxMs);
}

static CallEnd ReadCall(Call* call, const ServerRequest& request)
{
    call->From = &request;
    call->Id = IdOf(request);
    call->ArrivedUs = NowUs();
    if (request.BodyTooLarge)
    {
        return {Code_BodyTooLarge, "", {}};
    }
    if (request.Path.empty() || request.Path[0] != '/')
    {
        return {Code_BadRequest, "the path must start with /", {}};
    }
    return {};
}

static CallEnd ReadDeadline(Call* call)
{
    const std::string* given = FindHeader(call->From->Headers, HeaderDeadline);
    const std::optional<TimeUs> ms = given != nullptr ? ParseDeadlineMs(*given) : call->Row->DeadlineMs;
    if (!ms)
    {
        return {Code_BadDeadline, *given, {}};
    }
    call->DeadlineUs = call->ArrivedUs + *ms * UsPerMs;
    return {};
}

//-----------------------------------------------------------------------------
// [SECTION] Step 2: Match and admit
//-----------------------------------------------------------------------------

static constexpr TimeUs LeavingRetryUs = 10 * UsPerMs;                      // Another instance can take it at once.
static constexpr std::array<int, Class_COUNT> ClassPercent = {100, 90, 75}; // Share of the instance that each class may fill.

static CallEnd Match(Call* call, const Traffic& traffic)
{
    call->Seen = RoutingLatest(*traffic.Routes);
    if (!call->Seen->Serving)
    {
        call->RetryAfterUs = JoinTimeoutUs;
        return {Code_NoTable, "", {}};
    }
    const std::string* host = FindHeader(call->From->Headers, "Host");
    call->Row = MatchRow(*call->Seen->Rows, host != nullptr ? *host : "", call->From->Path);
    if (call->Row == nullptr)
    {
        return {Code_NoRoute, call->From->Path, {}};
    }
    call->RowIndex = static_cast<size_t>(call->Row - call->Seen->Rows->Rows.data());
    call->State = call->Seen->States[call->RowIndex].State.get();
    const std::vector<std::string>& methods = call->Row->RepeatMethods;
    call->Life.Repeatable = std::find(methods.begin(), methods.end(), call->From->Method) != methods.end();
    return ReadDeadline(call);
}

// How long until this instance, as full as it is, has room again: one mean answer.
static TimeUs MeanAnswerUs(RowState* state)
{
    const std::lock_guard<std::mutex> lock(state->Mutex);
    const LatencySummary& summary = state->Metrics.Latency.Summary;
    const bool any = boost::accumulators::count(summary) > 0;
    return any ? static_cast<TimeUs>(boost::accumulators::mean(summary) * UsPerSecond) + 1 : UsPerSecond;
}

static CallEnd Admit(Call* call, const Traffic& traffic)
{
    if (call->From->TooMany)
    {
        call->RetryAfterUs = MeanAnswerUs(call->State);
        return {Code_InstanceBusy, "connections", {}};
    }
    if (!NumberInRange(RangeOfRow(*call->Row), call->Seen->Number))
    {
        return {Code_OtherInstances, call->Row->Name, {}};
    }
    if (traffic.Routes->Refusing)
    {
        call->RetryAfterUs = LeavingRetryUs;
        return {Code_InstanceLeaving, "", {}};
    }
    if (!RoutingIsAwake(*traffic.Routes))
    {
        call->RetryAfterUs = CatchUpUs;
        return {Code_InstanceWaking, "", {}};
    }
    const int most = traffic.Config.RequestsMax * ClassPercent[call->Row->Class] / 100;
    if (traffic.Routes->InProgress > most)
    {
        call->RetryAfterUs = MeanAnswerUs(call->State);
        return {Code_InstanceBusy, ClassName(call->Row->Class), {}};
    }
    return {};
}

// One more request of the row may be in progress, over the fleet.
static CallEnd TakePermit(Call* call, const Traffic& traffic)
{
    call->Held = PermitAcquire(traffic.Routes, call->State, call->DeadlineUs);
    return call->Held.Kind != PermitKind_None ? CallEnd() : CallEnd{Code_RowLimit, call->Row->Name, {}};
}

//-----------------------------------------------------------------------------
// [SECTION] Step 3: Choose and reserve
//-----------------------------------------------------------------------------

static Code_ CodeOfRefusal(RefuseReason_ reason)
{
    switch (reason)
    {
    case RefuseReason_RowLimit:
        return Code_RowLimit;
    case RefuseReason_DeadlineTooShort:
        return Code_DeadlineTooShort;
    default:
        return Code_NoTargetLeft;
    }
}

static ChooseArgs MakeChooseArgs(const Call& call, TimeUs now)
{
    ChooseArgs args;
    args.RemainingUs = call.DeadlineUs - now;
    args.Repeatable = call.Life.Repeatable;
    args.Tried = call.Tried;
    return args;
}

static Choice Choose(Call* call)
{
    const TimeUs now = NowUs();
    const ChooseArgs args = MakeChooseArgs(*call, now);
    const std::lock_guard<std::mutex> lock(call->State->Mutex);
    RowFollow(call->State, *call->Seen, call->RowIndex, now);
    Choice choice = RouterChoose(&call->State->Balance, args, now, &call->State->Rng);
    call->RetryAfterUs = choice.RetryAfterUs;
    call->HedgeAfterUs = RouterHedgeAfter(call->State->Balance);
    return choice;
}

// The same for a hedge, which must be paid for.
static Choice ChooseForHedge(Call* call)
{
    const TimeUs now = NowUs();
    const ChooseArgs args = MakeChooseArgs(*call, now);
    const std::lock_guard<std::mutex> lock(call->State->Mutex);
    Choice choice = RouterChoose(&call->State->Balance, args, now, &call->State->Rng);
    if (choice.Refused == RefuseReason_None && !RequestMayHedge(call->Life, &call->State->Retries))
    {
        RouterSettle(&call->State->Balance, choice.Target, Outcome_Cancelled, 0, now);
        choice.Refused = RefuseReason_NoTargetLeft;
    }
    return choice;
}

//-----------------------------------------------------------------------------
// [SECTION] Step 4: Send
//-----------------------------------------------------------------------------

static std::vector<Header> HeadersForTarget(const Call& call)
{
    std::vector<Header> headers;
    for (const Header& header : call.From->Headers)
    {
        const bool ours =
            SameHeader(header.Name, HeaderDeadline) || SameHeader(header.Name, HeaderRequestId) || SameHeader(header.Name, "Expect");
        if (!ours && !IsHopHeader(header.Name))
        {
            headers.push_back(header);
        }
    }
    const TimeUs left_ms = std::max<TimeUs>((call.DeadlineUs - NowUs()) / UsPerMs, 0);
    headers.push_back({HeaderDeadline, std::to_string(left_ms)});
    headers.push_back({HeaderRequestId, call.Id});
    return headers;
}

// The check right before the request leaves: a pause, or news since the choice, stops it unsent.
static bool MaySendNow(const Traffic& traffic, const Call& call, TargetKey target)
{
    if (!RoutingIsAwake(*traffic.Routes))
    {
        return false;
    }
    const SnapshotPtr latest = RoutingLatest(*traffic.Routes);
    const ServiceRow* row = FindRow(*latest->Rows, call.Row->Name);
    if (row == nullptr)
    {
        return false; // The row was removed since.
    }
    const size_t index = static_cast<size_t>(row - latest->Rows->Rows.data());
    const std::lock_guard<std::mutex> lock(call.State->Mutex);
    RowFollow(call.State, *latest, index, NowUs());
    return RouterStillGood(call.State->Balance, target);
}

static UpstreamRequest MakeRequest(const Traffic& traffic, const Call& call, const Choice& choice)
{
    const bool has_body = !call.From->Body.empty() || call.From->Method == "POST" || call.From->Method == "PUT";
    UpstreamRequest request;
    request.Method = call.From->Method;
    request.Path = call.From->Path;
    request.Headers = HeadersForTarget(call);
    request.Body = has_body ? &call.From->Body : nullptr;
    request.Address = choice.Address;
    request.SourceIp = traffic.SourceIp;
    request.DeadlineUs = call.DeadlineUs;
    request.CallerFd = call.From->CallerFd;
    request.AnswerMax = static_cast<size_t>(traffic.Config.AnswerMaxBytes);
    const TargetKey target = choice.Target;
    request.StillGood = [&traffic, &call, target]()
    {
        return MaySendNow(traffic, call, target);
    };
    return request;
}

// A second attempt at another target: if the row has a permit to spare at once, the retry budget a token, and the router a target.
static std::optional<UpstreamRequest> MakeHedge(Traffic* traffic, Call* call)
{
    Permit permit = PermitForHedge(call->State, call->DeadlineUs);
    if (permit.Kind == PermitKind_None)
    {
        return std::nullopt;
    }
    const Choice choice = ChooseForHedge(call);
    if (choice.Refused != RefuseReason_None)
    {
        PermitRelease(call->State, permit);
        return std::nullopt;
    }
    call->Hedge = {permit, choice.Target};
    RequestHedgeBegin(&call->Life);
    return MakeRequest(*traffic, *call, choice);
}

// Sends to the chosen target, and to a second one if the first is slow and the request may be repeated.
static UpstreamPair Send(Traffic* traffic, Call* call, const Choice& choice)
{
    UpstreamHedge hedge;
    hedge.AfterUs = call->Life.Repeatable ? call->HedgeAfterUs : 0;
    hedge.MakeSecond = [&]()
    {
        return MakeHedge(traffic, call);
    };
    return UpstreamSendHedged(traffic->Upstream, MakeRequest(*traffic, *call, choice), hedge);
}

//-----------------------------------------------------------------------------
// [SECTION] Step 5: Settle
//-----------------------------------------------------------------------------

// News for the whole fleet: a start or a leaving that the control thread may not know of yet.
static void PassNewsToControl(Traffic* traffic, const RouterTarget& known, const TargetRun& report)
{
    const bool news = report.StartId > known.StartId || (report.Leaving && !known.Leaving);
    if (news && !traffic->Routes->Reports.bounded_push(report))
    {
        traffic->Routes->ReportsDropped++;
    }
}

static void LearnReport(Traffic* traffic, RowState* state, const TargetRun& report, TimeUs now)
{
    for (const RouterTarget& target : state->Balance.Targets)
    {
        if (target.Key == report.Key)
        {
            PassNewsToControl(traffic, target, report);
            break;
        }
    }
    RouterMergeRun(&state->Balance, report, now, now);
}

// An outcome by which the target is not to blame: nothing was sent because we changed our mind.
static bool OwnDecision(const UpstreamAnswer& answer)
{
    return answer.Outcome == Outcome_NotSent && answer.Code != Code_ConnectFailed;
}

// What one attempt tells about its target. The row's mutex must be held.
static void SettleAttempt(Traffic* traffic, RowState* state, TargetKey target, const UpstreamAnswer& answer, TimeUs now)
{
    const Outcome_ learnt = OwnDecision(answer) ? Outcome_Cancelled : answer.Outcome;
    RouterSettle(&state->Balance, target, learnt, answer.LatencyUs, now);
    if (answer.HasReport)
    {
        LearnReport(traffic, state, answer.Report, now);
    }
}

// The slower of two attempts, or the one that failed; the request goes on with the other.
static void SettleLoser(Traffic* traffic, Call* call, TargetKey target, const UpstreamAnswer& answer, bool hedge_won)
{
    {
        const std::lock_guard<std::mutex> lock(call->State->Mutex);
        SettleAttempt(traffic, call->State, target, answer, NowUs());
        call->State->Metrics.Hedges++;
        call->State->Metrics.HedgesWon += hedge_won ? 1 : 0;
    }
    RequestHedgeEnd(&call->Life, answer.Outcome);
    PermitRelease(call->State, call->Hedge.Held);
    call->Hedge = HedgeState();
}

static NextStep_ Settle(Traffic* traffic, Call* call, TargetKey target, const UpstreamAnswer& answer)
{
    const TimeUs now = NowUs();
    const std::lock_guard<std::mutex> lock(call->State->Mutex);
    SettleAttempt(traffic, call->State, target, answer, now);
    const bool caller_there = answer.Code != Code_CallerGone;
    const bool time_left = now < call->DeadlineUs && caller_there;
    const NextStep_ step = RequestEnd(&call->Life, answer.Outcome, time_left, &call->State->Retries);
    call->State->Metrics.Retries += step == NextStep_Retry ? 1 : 0;
    return step;
}

//-----------------------------------------------------------------------------
// [SECTION] The path
//-----------------------------------------------------------------------------

// What to tell the caller when no further attempt is made.
static CallEnd EndOf(const Call& call, NextStep_ step, UpstreamAnswer answer)
{
    if (step == NextStep_Answer)
    {
        return {Code_None, "", std::move(answer)};
    }
    const bool says_not_run = std::string(RunWord(answer.Code)) == RunNotRun;
    const Code_ code = step == NextStep_Unknown && says_not_run ? Code_OutcomeUnknown : answer.Code;
    const std::string attempts = fmt::format("after {} attempt(s)", call.Life.Attempts);
    return {code, attempts, {}};
}

static CallEnd EndOfRefusal(const Call& call, const Choice& choice, const UpstreamAnswer& last)
{
    if (call.Life.Attempts == 0)
    {
        return {CodeOfRefusal(choice.Refused), call.Row->Name, {}};
    }
    // No target is left for a retry. The last attempt's own end stands; "not run" only if no attempt may have been.
    if (last.Outcome == Outcome_Failed)
    {
        return {Code_None, "", last};
    }
    return EndOf(call, call.Life.MayHaveRun == 0 ? NextStep_NotRun : NextStep_Unknown, last);
}

static CallEnd Attempt(Traffic* traffic, Call* call)
{
    UpstreamAnswer answer;
    while (true)
    {
        const Choice choice = Choose(call);
        if (choice.Refused != RefuseReason_None)
        {
            return EndOfRefusal(*call, choice, answer);
        }
        RequestBegin(&call->Life);
        call->Tried.push_back(choice.Target);
        UpstreamPair pair = Send(traffic, call, choice);
        TargetKey target = choice.Target;
        if (pair.Second)
        {
            const TargetKey second = call->Hedge.Target;
            call->Tried.push_back(second);
            SettleLoser(traffic, call, pair.SecondWon ? target : second, pair.SecondWon ? pair.First : *pair.Second, pair.SecondWon);
            target = pair.SecondWon ? second : target;
        }
        answer = std::move(pair.SecondWon ? *pair.Second : pair.First);
        const NextStep_ step = Settle(traffic, call, target, answer);
        if (step != NextStep_Retry)
        {
            return EndOf(*call, step, std::move(answer));
        }
    }
}

static void Count(Traffic* traffic, const Call& call, const CallEnd& end)
{
    if (call.State == nullptr)
    {
        const std::lock_guard<std::mutex> lock(traffic->Mutex);
        CountEnded(&traffic->Refused, end.Code);
        return;
    }
    const std::lock_guard<std::mutex> lock(call.State->Mutex);
    RowMetrics& metrics = call.State->Metrics;
    CountEnded(&metrics, end.Code);
    if (end.Code == Code_None)
    {
        RetryBudgetEarn(&call.State->Retries);
        LatencyAdd(&metrics.Latency, NowUs() - call.ArrivedUs);
        metrics.UpstreamFailures += end.Answer.Status >= 500 ? 1 : 0;
    }
}

// Every refusal that another moment may cure says when; one that no step has given a time to takes the row's mean answer.
static void FillRetryAfter(Call* call, Code_ code)
{
    const bool may_pass = code != Code_None && FindCode(code).HttpStatus == 503;
    if (may_pass && call->RetryAfterUs == 0 && call->State != nullptr)
    {
        call->RetryAfterUs = MeanAnswerUs(call->State);
    }
}

static void LogEnd(const Call& call, const CallEnd& end)
{
    const bool ok = end.Code == Code_None;
    const bool unknown = !ok && std::string(RunWord(end.Code)) == RunUnknown;
    const LogLevel_ level = unknown ? LogLevel_Warn : LogLevel_Debug;
    Log(level, end.Code, ok ? "answered" : "refused",
        {{"requestId", call.Id},
         {"row", call.Row != nullptr ? call.Row->Name : ""},
         {"status", ok ? end.Answer.Status : FindCode(end.Code).HttpStatus},
         {"attempts", call.Life.Attempts},
         {"us", NowUs() - call.ArrivedUs},
         {"detail", end.Detail}});
}

// The whole path of a request. Each step either goes on or ends it.
static CallEnd Serve(Traffic* traffic, Call* call, const ServerRequest& request)
{
    CallEnd end = ReadCall(call, request);
    if (end.Code == Code_None)
    {
        end = Match(call, *traffic);
    }
    if (end.Code == Code_None)
    {
        end = Admit(call, *traffic);
    }
    if (end.Code == Code_None)
    {
        end = TakePermit(call, *traffic);
    }
    if (end.Code == Code_None)
    {
        end = Attempt(traffic, call);
    }
    if (call->Held.Kind != PermitKind_None)
    {
        PermitRelease(call->State, call->Held);
    }
    return end;
}

static ServerResponse HandleCall(Traffic* traffic, const ServerRequest& request)
{
    Call call;
    traffic->Routes->InProgress++;
    CallEnd end = Serve(traffic, &call, request);
    traffic->Routes->InProgress--;
    FillRetryAfter(&call, end.Code);
    Count(traffic, call, end);
    LogEnd(call, end);
    ServerResponse response = end.Code == Code_None ? PassOn(call, end.Answer) : ExplainEnd(call, end.Code, end.Detail);
    response.CloseConnection = traffic->Routes->Leaving || request.TooMany;
    return response;
}

Result<void> TrafficStart(Traffic* traffic, const Kernel& kernel)
{
    traffic->Routes = KernelFind<Routing>(kernel, "routing");
    traffic->Upstream = KernelFind<UpstreamPool>(kernel, "upstream");
    // Targets see the address that operators know this instance by.
    traffic->SourceIp = traffic->Config.TrafficAddress.substr(0, traffic->Config.TrafficAddress.find(':'));
    ServerConfig config;
    config.Address = traffic->Config.TrafficAddress;
    config.ConnectionsMax = traffic->Config.ConnectionsMax;
    config.BodyMax = static_cast<size_t>(traffic->Config.BodyMaxBytes);
    return ServerStart(&traffic->Listener, config, [traffic](const ServerRequest& request) { return HandleCall(traffic, request); });
}

void TrafficStop(Traffic* traffic)
{
    ServerStop(&traffic->Listener);
}

} // namespace Winchlink
