// handoff.cpp: hands requests to other instances and takes theirs.
//
// Index of this file:
// [SECTION] Headers
// [SECTION] Offering a request
// [SECTION] The answer of a peer
// [SECTION] Taking a request

#include "handoff.h"

#include "call.h"
#include "clock.h"
#include "log.h"

#include <cmath>
#include <fmt/format.h>
#include <sstream>

namespace Winchlink
{

static constexpr int AttemptsLimit = 1000;             // Larger values are malformed.
static constexpr TimeUs AgeMsLimit = 1000000000;       // The same.
static constexpr TimeUs PeerConnectUs = 100 * UsPerMs; // Timeout of connecting to a peer; short, as there are others.
static constexpr TimeUs ReuseMaxUs = UsPerSecond;      // A kept connection is reused if the peer has answered within this time.
static constexpr size_t DetailMax = 200;               // Bytes of a refusal's body that are logged.

//-----------------------------------------------------------------------------
// [SECTION] Headers
//-----------------------------------------------------------------------------

std::string FormatHandoffOffer(const HandoffOffer& offer)
{
    return fmt::format("{} {} {} {} {}", offer.AttemptsMax, offer.PlanVersion, offer.DataAgeUs / UsPerMs, offer.From,
                       PercentEncoded(offer.Service));
}

std::optional<HandoffOffer> ParseHandoffOffer(const std::string& text)
{
    HandoffOffer offer;
    std::istringstream stream(text);
    std::string encoded;
    std::string surplus;
    TimeUs age_ms = 0;
    const bool complete = stream >> offer.AttemptsMax >> offer.PlanVersion >> age_ms >> offer.From >> encoded && !(stream >> surplus);
    const bool plausible = offer.AttemptsMax >= 1 && offer.AttemptsMax <= AttemptsLimit && age_ms >= 0 && age_ms <= AgeMsLimit;
    if (!complete || !plausible || !IsAddress(offer.From))
    {
        return std::nullopt;
    }
    offer.DataAgeUs = age_ms * UsPerMs;
    offer.Service = PercentDecoded(encoded);
    return offer;
}

std::string FormatHandoffResult(const HandoffResult& result)
{
    const std::string peers = HexEncoded(EncodePeers(result.TryInstead));
    return fmt::format("{} {} {}{}{}", static_cast<int>(result.Code), result.Attempts, result.Taken, peers.empty() ? "" : " ", peers);
}

std::optional<HandoffResult> ParseHandoffResult(const std::string& text)
{
    int code = 0;
    HandoffResult result;
    std::istringstream stream(text);
    std::string surplus;
    std::string peers;
    const bool complete = stream >> code >> result.Attempts >> result.Taken && (!(stream >> peers) || !(stream >> surplus));
    const bool plausible = result.Attempts >= 0 && result.Attempts <= AttemptsLimit && result.Taken >= 0;
    if (!complete || !plausible)
    {
        return std::nullopt;
    }
    result.TryInstead = DecodePeers(HexDecoded(peers));
    result.Code = static_cast<Code_>(code);
    return result;
}

//-----------------------------------------------------------------------------
// [SECTION] Offering a request
//-----------------------------------------------------------------------------

static std::vector<Header> HeadersForPeer(const Call& call, TimeUs now)
{
    const WireNames& names = call.Owner->Names;
    std::vector<Header> headers = call.KeyHeaders;
    for (const Header& header : call.Inbound->Headers)
    {
        const bool replaced = SameHeader(header.Name, names.Deadline) || SameHeader(header.Name, HeaderHandoff) ||
                              SameHeader(header.Name, "Expect") ||
                              (call.Plan->Callers.KeyRequired && SameHeader(header.Name, names.Customer));
        if (!replaced && !IsHopHeader(header.Name))
        {
            headers.push_back(header);
        }
    }
    const TimeUs left_ms = std::max<TimeUs>(LeftUs(call, now) / UsPerMs, 1);
    headers.push_back({names.Deadline, std::to_string(left_ms)});
    if (FindHeader(headers, names.RequestId) == nullptr)
    {
        headers.push_back({names.RequestId, call.Id});
    }
    HandoffOffer offer;
    offer.AttemptsMax = call.AttemptsMax - call.Attempts;
    offer.PlanVersion = call.Plan->Version;
    offer.DataAgeUs = std::max<TimeUs>(call.DecidedBy.AgeUs, 0);
    offer.From = call.Owner->Others.Own;
    offer.Service = call.ServiceName;
    headers.push_back({HeaderHandoff, FormatHandoffOffer(offer)});
    return headers;
}

static void OnPeerAnswer(const CallPtr& call, const std::string& address, ClientAnswer answer);

static ClientRequest MakeOffer(const CallPtr& call, const std::string& address, TimeUs now)
{
    const auto peer = call->Owner->Others.Known.find(address);
    const bool answered_recently = peer != call->Owner->Others.Known.end() && now < peer->second.AnsweredUs + ReuseMaxUs;
    ClientRequest request;
    request.Address = address;
    request.Method = call->Inbound->Method;
    request.Target = call->Inbound->Target;
    request.Headers = HeadersForPeer(*call, now);
    request.HasBody = !call->Inbound->Body.empty() || call->Inbound->Method == "POST" || call->Inbound->Method == "PUT";
    request.Body = call->Inbound->Body;
    request.TimeoutUs = LeftUs(*call, now) + UsPerSecond; // DeadlineTimer fires first.
    request.ConnectUs = PeerConnectUs;
    request.NewConnection = !call->Retryable && !answered_recently; // A kept connection may be dead, and the request lost on it.
    request.MaySend = [call]()
    {
        return !call->Ended && LeftUs(*call, NowUs()) > 0 && !IsQuarantined(call.get()) && IsKeyValid(*call);
    };
    request.AcceptsHeaders = [call](const std::vector<Header>& headers)
    {
        const std::string* id = FindHeader(headers, call->Owner->Names.RequestId);
        return FindHeader(headers, HeaderHandoff) != nullptr && (id == nullptr || *id == call->Id);
    };
    return request;
}

// This instance no longer counts the request: the peer does.
static void ReleaseCounts(Call* call)
{
    if (call->CountedUs > 0)
    {
        RetryBudgetUncount(&call->Service->Retries, call->CountedUs);
        call->CountedUs = 0;
    }
    if (call->QuotaTakenUs > 0)
    {
        QuotaRefund(&call->Owner->Quotas, call->KeyOwner->Id, call->QuotaTakenUs);
        call->QuotaTakenUs = 0;
    }
    call->AdmissionDue = true;
    ReturnGrants(call);
}

void HandOffTo(const CallPtr& call, const std::string& address)
{
    const TimeUs now = NowUs();
    ReleaseCounts(call.get());
    Attempt attempt;
    attempt.Target = address;
    attempt.Address = address;
    attempt.ToPeer = true;
    attempt.SentUs = now;
    attempt.RetryTakenUs = call->RetryTakenUs;
    attempt.Granted = call->AttemptsMax - call->Attempts;
    attempt.ExpectedUs = 2 * call->Work->MeanUs; // The peer hedges by itself first.
    attempt.Id = ClientSend(call->Owner->PeerCalls, MakeOffer(call, address, now),
                            [call, address](ClientAnswer answer) { OnPeerAnswer(call, address, std::move(answer)); });
    PeersSent(&call->Owner->Others, address);
    call->PeersTried.push_back(address);
    call->Attempts += attempt.Granted; // All count as used until the peer answers.
    call->RetryTakenUs = 0;
    StartAttempt(call, attempt);
}

std::string PickPeer(const CallPtr& call)
{
    Forwarder* forwarder = call->Owner;
    const TimeUs now = NowUs();
    const bool allowed = !call->TakenFrom && call->PeersTried.size() < forwarder->Others.Config.TriesMax &&
                         call->Attempts < call->AttemptsMax && LeftUs(*call, now) > 0 && AnswersBeforeStop(*call, 0);
    if (!allowed || forwarder->PeerCalls == nullptr || IsQuarantined(call.get()) || !IsKeyValid(*call))
    {
        return "";
    }
    return PeersPick(forwarder->Others, call->ServiceName, call->PeersTried, now, forwarder->Rng);
}

bool HandOff(const CallPtr& call)
{
    const std::string address = PickPeer(call);
    if (address.empty())
    {
        return false;
    }
    HandOffTo(call, address);
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] The answer of a peer
//-----------------------------------------------------------------------------

enum OfferEnd_ : int
{
    OfferEnd_None,
    OfferEnd_Answered, // A target's answer.
    OfferEnd_NotTaken, // The request was not run, and another instance may take it.
    OfferEnd_Refused,  // The request was not run, and the refusal holds for all instances.
    OfferEnd_Unknown,  // The request may have run.
    OfferEnd_COUNT,
};

// Refusals that are due to the peer's own state, not to the request or to the targets.
static bool IsOwnRefusal(Code_ code)
{
    switch (code)
    {
    case Code_NoTable:
    case Code_NoRoute:
    case Code_RouteNotLearnt:
    case Code_RowLimit:
    case Code_KeyNotLearnt:
    case Code_KeyUnknown:
    case Code_TargetsUnreachable:
    case Code_HandoffRefused:
    case Code_InstanceStopping:
        return true;
    default:
        return false;
    }
}

static bool IsKnownCode(Code_ code)
{
    const std::vector<CodeInfo>& codes = AllCodes();
    return std::any_of(codes.begin(), codes.end(), [code](const CodeInfo& info) { return info.Code == code && info.HttpStatus != 0; });
}

static OfferEnd_ OfferEndOf(const ClientAnswer& answer, const std::optional<HandoffResult>& result)
{
    if (answer.End == ClientEnd_NotConnected || answer.End == ClientEnd_Withheld)
    {
        return OfferEnd_NotTaken;
    }
    if (!result)
    {
        return OfferEnd_Unknown;
    }
    if (result->Code == Code_None)
    {
        return OfferEnd_Answered;
    }
    const bool not_run = answer.Status < 500 || answer.Status == 503;
    return !not_run || !IsKnownCode(result->Code) ? OfferEnd_Unknown : IsOwnRefusal(result->Code) ? OfferEnd_NotTaken : OfferEnd_Refused;
}

static PeerEnd_ PeerEndOf(const ClientAnswer& answer, const std::optional<HandoffResult>& result)
{
    if (answer.End == ClientEnd_Withheld)
    {
        return PeerEnd_None;
    }
    if (answer.End == ClientEnd_NotConnected)
    {
        return PeerEnd_NotConnected;
    }
    if (!result)
    {
        return PeerEnd_Failed;
    }
    const bool unreachable = result->Code == Code_TargetsUnreachable;
    return unreachable ? PeerEnd_NoPath : IsOwnRefusal(result->Code) ? PeerEnd_Full : PeerEnd_Answered;
}

// Offers the request to the next peer, or chooses a target here if the path allows it.
static void OfferAgain(const CallPtr& call, const Attempt& attempt)
{
    call->RetryTakenUs = attempt.RetryTakenUs;
    if (call->Round.Kind != Choosing_None)
    {
        return; // A hedge is being prepared already.
    }
    if (LeftUs(*call, NowUs()) > 0 && HandOff(call))
    {
        return;
    }
    const bool lost = TargetPathNow(&call->Service->Path, NowUs()) == TargetPathState_Lost;
    if (lost || IsMostlyUnreached(*call))
    {
        RejectOrFallBack(call, Code_TargetsUnreachable, "no instance takes it");
        return;
    }
    ChooseTarget(call, call->Active.empty() ? Choosing_First : Choosing_Hedge);
}

static TimeUs RetryAfterOf(const Call& call, const ClientAnswer& answer)
{
    const std::string* text = FindHeader(answer.Headers, call.Owner->Names.RetryAfter);
    const double seconds = text != nullptr ? std::strtod(text->c_str(), nullptr) : 0;
    constexpr double longest = 3600;
    return std::isfinite(seconds) ? static_cast<TimeUs>(std::clamp(seconds, 0.0, longest) * static_cast<double>(UsPerSecond)) : 0;
}

static void LogNotAnswered(const Call& call, const std::string& address, const ClientAnswer& answer,
                           const std::optional<HandoffResult>& result)
{
    LogSample(LogLevel_Info, result ? result->Code : Code_None, "handoff not answered",
              {{"requestId", call.Id},
               {"service", call.ServiceName},
               {"handedTo", address},
               {"tookUs", answer.TookUs},
               {"status", answer.Status},
               {"detail", answer.Detail}});
}

static void OnPeerAnswer(const CallPtr& call, const std::string& address, ClientAnswer answer)
{
    Forwarder* forwarder = call->Owner;
    const Attempt attempt = TakeAttempt(call.get(), address);
    call->LastAttempt = attempt;
    call->Attempts -= attempt.Granted;
    const std::string* header = FindHeader(answer.Headers, HeaderHandoff);
    const std::optional<HandoffResult> result = header != nullptr ? ParseHandoffResult(*header) : std::nullopt;
    const HandoffResult told = result.value_or(HandoffResult());
    const OfferEnd_ end = OfferEndOf(answer, result);
    PeersEnded(&forwarder->Others, address, call->ServiceName, PeerEndOf(answer, result), NowUs());
    PeersLoad(&forwarder->Others, address, told.Taken);
    PeersRecommended(&forwarder->Others, told.TryInstead, NowUs());
    if (end != OfferEnd_Answered)
    {
        LogNotAnswered(*call, address, answer, result);
    }
    const bool may_have_run = end == OfferEnd_Answered || end == OfferEnd_Unknown;
    call->Attempts += may_have_run ? std::max(told.Attempts, 1) : told.Attempts;
    switch (end)
    {
    case OfferEnd_Answered:
        LatencyAdd(&forwarder->HandoffLatency, answer.TookUs);
        call->MayHaveRun++;
        if (answer.Status < 500)
        {
            NoteAnswered(call.get());
        }
        ContinueCall(call, Verdict_Relay, std::move(answer));
        return;
    case OfferEnd_NotTaken:
        OfferAgain(call, attempt);
        return;
    case OfferEnd_Refused:
        call->PeerRetryUs = RetryAfterOf(*call, answer);
        RejectOrFallBack(call, told.Code, "refused by " + address);
        return;
    default:
        call->Attempts = result ? call->Attempts : call->AttemptsMax; // How many targets got it is not known.
        call->MayHaveRun++;
        ContinueCall(call, Verdict_Lost, std::move(answer));
        return;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Taking a request
//-----------------------------------------------------------------------------

static void RemoveHeader(std::vector<Header>* headers, const char* name)
{
    headers->erase(std::remove_if(headers->begin(), headers->end(), [name](const Header& header) { return SameHeader(header.Name, name); }),
                   headers->end());
}

static void RefuseMalformed(const ExchangePtr& exchange)
{
    Log(LogLevel_Warn, Code_BadRequest, "handoff malformed", {{"target", exchange->Target.substr(0, DetailMax)}});
    const HandoffResult refused = {Code_BadRequest, 0, 0, {}};
    Reply(exchange, CallerReply{FindCode(Code_BadRequest).HttpStatus, {{HeaderHandoff, FormatHandoffResult(refused)}}, "", true});
}

bool HandoffReceive(Forwarder* forwarder, const ExchangePtr& exchange)
{
    const std::string* header = FindHeader(exchange->Headers, HeaderHandoff);
    if (header == nullptr)
    {
        return false;
    }
    const std::optional<HandoffOffer> offer = ParseHandoffOffer(*header);
    RemoveHeader(&exchange->Headers, HeaderHandoff);
    if (!offer)
    {
        RefuseMalformed(exchange);
        return true;
    }
    PeersWithoutPath(&forwarder->Others, offer->From, offer->Service, NowUs());
    ForwardTaken(forwarder, exchange, *offer);
    return true;
}

} // namespace Winchlink
