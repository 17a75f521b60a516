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

template <class Archive> void serialize(Archive& archive, TargetCrashUpdate& update)
{
    archive(update.Request, update.Target, update.AgeUs, update.Cleared);
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

static std::string EncodeAll(const CrashReports& reports)
{
    return EncodeCrashReports({reports.Known->Digest, QuarantineExport(*reports.Known, NowUs())});
}

//-----------------------------------------------------------------------------
// [SECTION] Sending updates
//-----------------------------------------------------------------------------

static void NotifyFollowers(CrashReports* reports)
{
    reports->NotifyTimer = nullptr;
    reports->NotifiedUs = NowUs();
    reports->OnNotify();
}

// Purpose of a call.
enum ReportCall_ : int
{
    ReportCall_Push,    // Sends all known entries.
    ReportCall_Compare, // Sends only the digest, to compare.
};

static void OnCalled(CrashReports* reports, ReportCall_ kind, const ClientAnswer& answer);

static void SendCall(CrashReports* reports, ReportCall_ kind, const std::string& address, const std::string& message)
{
    ClientRequest request;
    request.Address = address;
    request.Method = "POST";
    request.Target = TargetCrashesPath;
    request.HasBody = true;
    request.Body = message;
    request.TimeoutUs = reports->TimeoutUs;
    request.ConnectUs = reports->ConnectUs;
    reports->InProgress++;
    reports->CallsMade++;
    ClientSend(reports->Calls, std::move(request), [reports, kind](const ClientAnswer& answer) { OnCalled(reports, kind, answer); });
}

static void PushToPeers(CrashReports* reports)
{
    reports->PushTimer = nullptr;
    reports->PushedUs = NowUs();
    const std::string message = EncodeAll(*reports);
    for (const std::string& address : reports->Peers())
    {
        SendCall(reports, ReportCall_Push, address, message);
    }
}

static void PushSoon(CrashReports* reports)
{
    if (reports->InProgress > 0)
    {
        reports->PushWanted = true;
        return;
    }
    if (!reports->PushTimer)
    {
        const TimeUs wait = std::max<TimeUs>(reports->PushedUs + reports->BatchUs - NowUs(), 0);
        reports->PushTimer = TimerStart(reports->Loop, wait, [reports]() { PushToPeers(reports); });
    }
}

static void NotifySoon(CrashReports* reports)
{
    if (!reports->NotifyTimer)
    {
        const TimeUs wait = std::max<TimeUs>(reports->NotifiedUs + reports->BatchUs - NowUs(), 0);
        reports->NotifyTimer = TimerStart(reports->Loop, wait, [reports]() { NotifyFollowers(reports); });
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Receiving updates
//-----------------------------------------------------------------------------

// Adds another instance's entries and notifies the followers of new ones. Returns true if there were any.
static bool Merge(CrashReports* reports, const CrashReportsMessage& message)
{
    const bool changed = QuarantineMerge(reports->Known, message.Updates, NowUs());
    if (changed)
    {
        NotifySoon(reports);
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
static void MergeAnswer(CrashReports* reports, ReportCall_ kind, const std::string& bytes)
{
    const Result<CrashReportsMessage> message = DecodeOrLog(bytes);
    if (!message)
    {
        return;
    }
    Merge(reports, message.value());
    const bool differs = message.value().Digest != reports->Known->Digest;
    reports->PushWanted = reports->PushWanted || (differs && kind == ReportCall_Compare);
}

static void OnCalled(CrashReports* reports, ReportCall_ kind, const ClientAnswer& answer)
{
    reports->InProgress--;
    const bool good = answer.End == ClientEnd_Answered && answer.Status == 200;
    if (!good)
    {
        Log(LogLevel_Info, Code_PlatformUnreachable, "ends of targets not told", {{"detail", answer.Detail}, {"status", answer.Status}});
    }
    else if (!answer.Body.empty())
    {
        MergeAnswer(reports, kind, answer.Body);
    }
    if (reports->InProgress == 0 && std::exchange(reports->PushWanted, false))
    {
        PushSoon(reports);
    }
}

void CrashReportsChanged(CrashReports* reports)
{
    NotifySoon(reports);
    PushSoon(reports);
}

void CrashReportsSourceAnswered(CrashReports* reports, uint64_t digest)
{
    if (digest != reports->Known->Digest)
    {
        PushSoon(reports);
    }
}

void CrashReportsCompare(CrashReports* reports)
{
    if (reports->Known->Digest == 0 || reports->InProgress > 0 || reports->PushTimer)
    {
        return;
    }
    const std::string digest_only = EncodeCrashReports({reports->Known->Digest, {}});
    for (const std::string& address : reports->Peers())
    {
        SendCall(reports, ReportCall_Compare, address, digest_only);
    }
}

std::string CrashReportsReceived(CrashReports* reports, const std::string& bytes)
{
    const Result<CrashReportsMessage> message = DecodeOrLog(bytes);
    if (!message)
    {
        return "";
    }
    if (Merge(reports, message.value()))
    {
        PushSoon(reports);
    }
    return message.value().Digest == reports->Known->Digest ? "" : EncodeAll(*reports);
}

} // namespace Winchlink
