// target_ends.cpp: exchange between instances of which requests have crashed targets.
//
// Index of this file:
// [SECTION] Messages
// [SECTION] Sending updates
// [SECTION] Receiving updates

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
    archive(message.Digest, message.Updates);
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
        return Error{Code_MessageMalformed, "checksum or encoding is wrong"};
    }
    return message;
}

static std::string EncodeAll(const TargetEnds& ends)
{
    return EncodeTargetEnds({ends.Known->Digest, QuarantineTell(*ends.Known, NowUs())});
}

//-----------------------------------------------------------------------------
// [SECTION] Sending updates
//-----------------------------------------------------------------------------

static void NotifyFollowers(TargetEnds* ends)
{
    ends->NotifyTimer = nullptr;
    ends->NotifiedUs = NowUs();
    ends->OnTell();
}

// Purpose of a call.
enum EndsCall_ : int
{
    EndsCall_Push,    // Sends all known entries.
    EndsCall_Compare, // Sends only the digest, to compare.
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
    ends->PushTimer = nullptr;
    ends->PushedUs = NowUs();
    const std::string message = EncodeAll(*ends);
    for (const std::string& address : ends->Peers())
    {
        SendCall(ends, EndsCall_Push, address, message);
    }
}

static void PushSoon(TargetEnds* ends)
{
    if (ends->InProgress > 0)
    {
        ends->PushWanted = true;
        return;
    }
    if (!ends->PushTimer)
    {
        const TimeUs wait = std::max<TimeUs>(ends->PushedUs + ends->BatchUs - NowUs(), 0);
        ends->PushTimer = TimerStart(ends->Loop, wait, [ends]() { PushToPeers(ends); });
    }
}

static void NotifySoon(TargetEnds* ends)
{
    if (!ends->NotifyTimer)
    {
        const TimeUs wait = std::max<TimeUs>(ends->NotifiedUs + ends->BatchUs - NowUs(), 0);
        ends->NotifyTimer = TimerStart(ends->Loop, wait, [ends]() { NotifyFollowers(ends); });
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Receiving updates
//-----------------------------------------------------------------------------

// Adds another instance's entries and notifies the followers of new ones. Returns true if there were any.
static bool Merge(TargetEnds* ends, const TargetEndsMessage& message)
{
    const bool changed = QuarantineTake(ends->Known, message.Updates, NowUs());
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

// Handles the answer to a call. If digests still differ after a comparison, the other instance lacks entries: a push follows.
static void MergeAnswer(TargetEnds* ends, EndsCall_ kind, const std::string& bytes)
{
    const Result<TargetEndsMessage> message = DecodeOrLog(bytes);
    if (!message)
    {
        return;
    }
    Merge(ends, message.value());
    const bool differs = message.value().Digest != ends->Known->Digest;
    ends->PushWanted = ends->PushWanted || (differs && kind == EndsCall_Compare);
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
    if (ends->InProgress == 0 && std::exchange(ends->PushWanted, false))
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
    if (ends->Known->Digest == 0 || ends->InProgress > 0 || ends->PushTimer)
    {
        return;
    }
    const std::string digest_only = EncodeTargetEnds({ends->Known->Digest, {}});
    for (const std::string& address : ends->Peers())
    {
        SendCall(ends, EndsCall_Compare, address, digest_only);
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
