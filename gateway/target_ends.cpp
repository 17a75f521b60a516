// target_ends.cpp: what instances tell each other of requests that end targets.
//
// Index of this file:
// [SECTION] Messages
// [SECTION] Telling
// [SECTION] What is heard

#include "target_ends.h"

#include "clock.h"
#include "log.h"
#include "message_codec.h"
#include "relay.h"

#include <algorithm>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

template <class Archive> void serialize(Archive& archive, TargetEndNews& news)
{
    archive(news.Request, news.Target, news.AgeUs, news.Cleared);
}

template <class Archive> void serialize(Archive& archive, TargetEndsMessage& message)
{
    archive(message.Digest, message.News);
}

std::string EncodeTargetEnds(const TargetEndsMessage& message)
{
    const std::string coded = EncodeMessage(message);
    std::string out;
    AppendNumber(&out, Checksum(coded));
    return out + coded;
}

Result<TargetEndsMessage> DecodeTargetEnds(const std::string& bytes)
{
    TargetEndsMessage message;
    const std::string coded = bytes.substr(std::min(bytes.size(), NumberBytes));
    const bool whole = bytes.size() > NumberBytes && Checksum(coded) == NumberAt(bytes, 0);
    if (!whole || !DecodeMessage(coded, &message))
    {
        return Error{Code_MessageMalformed, "not coded as it should be"};
    }
    return message;
}

static std::string EncodeAll(const TargetEnds& ends)
{
    return EncodeTargetEnds({ends.Known->Digest, QuarantineTell(*ends.Known, NowUs())});
}

//-----------------------------------------------------------------------------
// [SECTION] Telling
//-----------------------------------------------------------------------------

static void NotifyFollowers(TargetEnds* ends)
{
    ends->Telling = nullptr;
    ends->ToldUs = NowUs();
    ends->OnTell();
}

// What a call is for.
enum EndsCall_ : int
{
    EndsCall_Push,    // All that we know.
    EndsCall_Compare, // Whether the other one knows the same.
};

static void OnCalled(TargetEnds* ends, EndsCall_ kind, const ClientAnswer& answer);

static void SendCall(TargetEnds* ends, EndsCall_ kind, const std::string& address, const std::string& message)
{
    ClientRequest request;
    request.Address = address;
    request.Method = "POST";
    request.Target = TargetEndsTarget;
    request.HasBody = true;
    request.Body = message;
    request.TimeoutUs = ends->TimeoutUs;
    request.ConnectUs = ends->ConnectUs;
    ends->InProgress++;
    ends->CallsMade++;
    ClientSend(ends->Calls, std::move(request), [ends, kind](const ClientAnswer& answer) { OnCalled(ends, kind, answer); });
}

static void PushToPeers(TargetEnds* ends)
{
    ends->Calling = nullptr;
    ends->CalledUs = NowUs();
    const std::string message = EncodeAll(*ends);
    for (const std::string& address : ends->Others())
    {
        SendCall(ends, EndsCall_Push, address, message);
    }
}

static void PushSoon(TargetEnds* ends)
{
    if (ends->InProgress > 0)
    {
        ends->Wanted = true;
        return;
    }
    if (!ends->Calling)
    {
        const TimeUs wait = std::max<TimeUs>(ends->CalledUs + ends->GatherUs - NowUs(), 0);
        ends->Calling = TimerStart(ends->Loop, wait, [ends]() { PushToPeers(ends); });
    }
}

static void NotifySoon(TargetEnds* ends)
{
    if (!ends->Telling)
    {
        const TimeUs wait = std::max<TimeUs>(ends->ToldUs + ends->GatherUs - NowUs(), 0);
        ends->Telling = TimerStart(ends->Loop, wait, [ends]() { NotifyFollowers(ends); });
    }
}

//-----------------------------------------------------------------------------
// [SECTION] What is heard
//-----------------------------------------------------------------------------

// Takes what another instance knows; our followers hear of what is new to us. True if anything was.
static bool Merge(TargetEnds* ends, const TargetEndsMessage& message)
{
    const bool changed = QuarantineTake(ends->Known, message.News, NowUs());
    if (changed)
    {
        NotifySoon(ends);
    }
    return changed;
}

static Result<TargetEndsMessage> DecodeOrLog(const std::string& bytes)
{
    Result<TargetEndsMessage> message = DecodeTargetEnds(bytes);
    if (!message)
    {
        Log(LogLevel_Warn, message.error().Code, "ends of targets can't be read", {{"bytes", static_cast<uint64_t>(bytes.size())}});
    }
    return message;
}

// Of two that differ after they have compared, the other one knows less.
static void MergeAnswer(TargetEnds* ends, EndsCall_ kind, const std::string& bytes)
{
    const Result<TargetEndsMessage> message = DecodeOrLog(bytes);
    if (!message)
    {
        return;
    }
    Merge(ends, message.value());
    const bool differs = message.value().Digest != ends->Known->Digest;
    ends->Wanted = ends->Wanted || (differs && kind == EndsCall_Compare);
}

static void OnCalled(TargetEnds* ends, EndsCall_ kind, const ClientAnswer& answer)
{
    ends->InProgress--;
    const bool good = answer.End == ClientEnd_Answered && answer.Status == 200;
    if (!good)
    {
        Log(LogLevel_Info, Code_PlatformUnreachable, "ends of targets not told", {{"detail", answer.Detail}, {"status", answer.Status}});
    }
    else if (!answer.Body.empty())
    {
        MergeAnswer(ends, kind, answer.Body);
    }
    if (ends->InProgress == 0 && std::exchange(ends->Wanted, false))
    {
        PushSoon(ends);
    }
}

void TargetEndsChanged(TargetEnds* ends)
{
    NotifySoon(ends);
    PushSoon(ends);
}

void TargetEndsHeard(TargetEnds* ends, uint64_t digest)
{
    if (digest != ends->Known->Digest)
    {
        PushSoon(ends);
    }
}

void TargetEndsCompare(TargetEnds* ends)
{
    if (ends->Known->Digest == 0 || ends->InProgress > 0 || ends->Calling)
    {
        return;
    }
    const std::string question = EncodeTargetEnds({ends->Known->Digest, {}});
    for (const std::string& address : ends->Others())
    {
        SendCall(ends, EndsCall_Compare, address, question);
    }
}

std::string TargetEndsTold(TargetEnds* ends, const std::string& bytes)
{
    const Result<TargetEndsMessage> message = DecodeOrLog(bytes);
    if (!message)
    {
        return "";
    }
    if (Merge(ends, message.value()))
    {
        PushSoon(ends);
    }
    return message.value().Digest == ends->Known->Digest ? "" : EncodeAll(*ends);
}

} // namespace Winchlink
