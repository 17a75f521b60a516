// crash_reports.cpp: exchange between instances of which requests have crashed targets.
//
// Index of this file:
// [SECTION] Messages
// [SECTION] Sending updates
// [SECTION] Receiving updates

#include "crash_reports.h"

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

template <class Archive> void serialize(Archive& archive, TargetCrashUpdate& news)
{
    archive(news.Request, news.Target, news.AgeUs, news.Cleared);
}

template <class Archive> void serialize(Archive& archive, CrashReportsMessage& message)
{
    archive(message.Digest, message.Updates);
}

std::string EncodeCrashReports(const CrashReportsMessage& message)
{
    const std::string coded = EncodeMessage(message);
    std::string out;
    AppendNumber(&out, Checksum(coded));
    return out + coded;
}

Result<CrashReportsMessage> DecodeCrashReports(const std::string& bytes)
{
    CrashReportsMessage message;
    const std::string coded = bytes.substr(std::min(bytes.size(), NumberBytes));
    const bool whole = bytes.size() > NumberBytes && Checksum(coded) == NumberAt(bytes, 0);
    if (!whole || !DecodeMessage(coded, &message))
    {
        return Error{Code_MessageMalformed, "checksum or encoding is wrong"};
    }
    return message;
}

static std::string EncodeAll(const CrashReports& ends)
{
    return EncodeCrashReports({ends.Known->Digest, QuarantineExport(*ends.Known, NowUs())});
}

//-----------------------------------------------------------------------------
// [SECTION] Sending updates
//-----------------------------------------------------------------------------

static void NotifyFollowers(CrashReports* ends)
{
    ends->NotifyTimer = nullptr;
    ends->NotifiedUs = NowUs();
    ends->OnNotify();
}

// Purpose of a call.
enum EndsCall_ : int
{
    EndsCall_Push,    // Sends all known entries.
    EndsCall_Compare, // Sends only the digest, to compare.
};

static void OnCalled(CrashReports* ends, EndsCall_ kind, const ClientAnswer& answer);

static void SendCall(CrashReports* ends, EndsCall_ kind, const std::string& address, const std::string& message)
{
    ClientRequest request;
    request.Address = address;
    request.Method = "POST";
    request.Target = TargetCrashesPath;
    request.HasBody = true;
    request.Body = message;
    request.TimeoutUs = ends->TimeoutUs;
    request.ConnectUs = ends->ConnectUs;
    ends->InProgress++;
    ends->CallsMade++;
    ClientSend(ends->Calls, std::move(request), [ends, kind](const ClientAnswer& answer) { OnCalled(ends, kind, answer); });
}

static void PushToPeers(CrashReports* ends)
{
    ends->PushTimer = nullptr;
    ends->PushedUs = NowUs();
    const std::string message = EncodeAll(*ends);
    for (const std::string& address : ends->Peers())
    {
        SendCall(ends, EndsCall_Push, address, message);
    }
}

static void PushSoon(CrashReports* ends)
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

static void NotifySoon(CrashReports* ends)
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
static bool Merge(CrashReports* ends, const CrashReportsMessage& message)
{
    const bool changed = QuarantineMerge(ends->Known, message.Updates, NowUs());
    if (changed)
    {
        NotifySoon(ends);
    }
    return changed;
}

static Result<CrashReportsMessage> DecodeOrLog(const std::string& bytes)
{
    Result<CrashReportsMessage> message = DecodeCrashReports(bytes);
    if (!message)
    {
        Log(LogLevel_Warn, message.error().Code, "ends of targets can't be read", {{"bytes", static_cast<uint64_t>(bytes.size())}});
    }
    return message;
}

// Handles the answer to a call. If digests still differ after a comparison, the other instance lacks entries: a push follows.
static void MergeAnswer(CrashReports* ends, EndsCall_ kind, const std::string& bytes)
{
    const Result<CrashReportsMessage> message = DecodeOrLog(bytes);
    if (!message)
    {
        return;
    }
    Merge(ends, message.value());
    const bool differs = message.value().Digest != ends->Known->Digest;
    ends->PushWanted = ends->PushWanted || (differs && kind == EndsCall_Compare);
}

static void OnCalled(CrashReports* ends, EndsCall_ kind, const ClientAnswer& answer)
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

void CrashReportsChanged(CrashReports* ends)
{
    NotifySoon(ends);
    PushSoon(ends);
}

void CrashReportsSourceAnswered(CrashReports* ends, uint64_t digest)
{
    if (digest != ends->Known->Digest)
    {
        PushSoon(ends);
    }
}

void CrashReportsCompare(CrashReports* ends)
{
    if (ends->Known->Digest == 0 || ends->InProgress > 0 || ends->PushTimer)
    {
        return;
    }
    const std::string digest_only = EncodeCrashReports({ends->Known->Digest, {}});
    for (const std::string& address : ends->Peers())
    {
        SendCall(ends, EndsCall_Compare, address, digest_only);
    }
}

std::string CrashReportsReceived(CrashReports* ends, const std::string& bytes)
{
    const Result<CrashReportsMessage> message = DecodeOrLog(bytes);
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
