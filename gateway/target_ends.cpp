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

static std::string AllWeKnow(const TargetEnds& ends)
{
    return EncodeTargetEnds({ends.Known->Digest, QuarantineTell(*ends.Known, NowUs())});
}

//-----------------------------------------------------------------------------
// [SECTION] Telling
//-----------------------------------------------------------------------------

static void TellFollowers(TargetEnds* ends)
{
    ends->Telling = nullptr;
    ends->ToldUs = NowUs();
    ends->OnTell();
}

// What a call is for.
enum EndsCall_ : int
{
    EndsCall_Tell,    // All that we know.
    EndsCall_Compare, // Whether the other one knows the same.
};

static void OnCalled(TargetEnds* ends, EndsCall_ kind, const ClientAnswer& answer);

static void Call(TargetEnds* ends, EndsCall_ kind, const std::string& address, const std::string& message)
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

static void CallOthers(TargetEnds* ends)
{
    ends->Calling = nullptr;
    ends->CalledUs = NowUs();
    const std::string message = AllWeKnow(*ends);
    for (const std::string& address : ends->Others())
    {
        Call(ends, EndsCall_Tell, address, message);
    }
}

static void CallSoon(TargetEnds* ends)
{
    if (ends->InProgress > 0)
    {
        ends->Wanted = true;
        return;
    }
    if (!ends->Calling)
    {
        const TimeUs wait = std::max<TimeUs>(ends->CalledUs + ends->GatherUs - NowUs(), 0);
        ends->Calling = TimerStart(ends->Loop, wait, [ends]() { CallOthers(ends); });
    }
}

static void TellSoon(TargetEnds* ends)
{
    if (!ends->Telling)
    {
        const TimeUs wait = std::max<TimeUs>(ends->ToldUs + ends->GatherUs - NowUs(), 0);
        ends->Telling = TimerStart(ends->Loop, wait, [ends]() { TellFollowers(ends); });
    }
}

//-----------------------------------------------------------------------------
// [SECTION] What is heard
//-----------------------------------------------------------------------------

// Takes what another instance knows; our followers hear of what is new to us. True if anything was.
static bool Take(TargetEnds* ends, const TargetEndsMessage& message)
{
    const bool changed = QuarantineTake(ends->Known, message.News, NowUs());
    if (changed)
    {
        TellSoon(ends);
    }
    return changed;
}

static Result<TargetEndsMessage> Read(const std::string& bytes)
{
    Result<TargetEndsMessage> message = DecodeTargetEnds(bytes);
    if (!message)
    {
        Log(LogLevel_Warn, message.error().Code, "ends of targets can't be read", {{"bytes", static_cast<uint64_t>(bytes.size())}});
    }
    return message;
}

// Of two that differ after they have compared, the other one knows less.
static void TakeAnswer(TargetEnds* ends, EndsCall_ kind, const std::string& bytes)
{
    const Result<TargetEndsMessage> message = Read(bytes);
    if (!message)
    {
        return;
    }
    Take(ends, message.value());
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
        TakeAnswer(ends, kind, answer.Body);
    }
    if (ends->InProgress == 0 && std::exchange(ends->Wanted, false))
    {
        CallSoon(ends);
    }
}

void TargetEndsChanged(TargetEnds* ends)
{
    TellSoon(ends);
    CallSoon(ends);
}

void TargetEndsHeard(TargetEnds* ends, uint64_t digest)
{
    if (digest != ends->Known->Digest)
    {
        CallSoon(ends);
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
        Call(ends, EndsCall_Compare, address, question);
    }
}

std::string TargetEndsTold(TargetEnds* ends, const std::string& bytes)
{
    const Result<TargetEndsMessage> message = Read(bytes);
    if (!message)
    {
        return "";
    }
    if (Take(ends, message.value()))
    {
        CallSoon(ends);
    }
    return message.value().Digest == ends->Known->Digest ? "" : AllWeKnow(*ends);
}

} // namespace Winchlink
