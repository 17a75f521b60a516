// quota_link.cpp: exchange of quota reports and decisions between instances.
//
// Index of this file:
// [SECTION] Messages
// [SECTION] Sending
// [SECTION] Receiving
// [SECTION] Start

#include "quota_link.h"

#include "clock.h"
#include "message_codec.h"

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

// Encodes counts in single precision, which halves the size and is precise enough.
template <class Archive> static void SerializeCount(Archive& archive, double& value)
{
    auto as_float = static_cast<float>(value);
    archive(as_float);
    value = static_cast<double>(as_float);
}

template <class Archive> void serialize(Archive& archive, QuotaReportEntry& entry)
{
    archive(entry.Id);
    SerializeCount(archive, entry.Count.Admitted);
    SerializeCount(archive, entry.Count.Expiring);
    SerializeCount(archive, entry.Count.Wanted);
    SerializeCount(archive, entry.Count.RecentWanted);
}

template <class Archive> void serialize(Archive& archive, QuotaShare& share)
{
    archive(share.Id);
    SerializeCount(archive, share.Share);
}

template <class Archive> void serialize(Archive& archive, QuotaFleetSize& fleet_size)
{
    SerializeCount(archive, fleet_size.Members);
    archive(fleet_size.AgeUs);
}

template <class Archive> void serialize(Archive& archive, TargetLimitUpdate& update)
{
    archive(update.Id);
    SerializeCount(archive, update.PerS);
    archive(update.InForce, update.AgeUs);
}

template <class Archive> void serialize(Archive& archive, QuotaReport& report)
{
    archive(report.FleetSize);
    SerializeCount(archive, report.Members);
    SerializeCount(archive, report.Covered);
    archive(report.Entries, report.Limits);
}

template <class Archive> void serialize(Archive& archive, QuotaAnswer& answer)
{
    archive(answer.FleetSize);
    SerializeCount(archive, answer.Covered);
    archive(answer.Shares, answer.Limits);
}

// The subject and the content.
static std::string BodyOf(const QuotaMessage& message)
{
    const std::string content = message.Kind == QuotaMessage_Answer ? EncodeMessage(message.Answer) : EncodeMessage(message.Report);
    return static_cast<char>(message.Subject) + content;
}

static Result<QuotaMessage> DecodeBody(uint8_t kind, const std::string& body)
{
    QuotaMessage message;
    const uint8_t subject = body.empty() ? uint8_t{QuotaSubject_COUNT} : static_cast<uint8_t>(body[0]);
    const bool known = subject < QuotaSubject_COUNT;
    const std::string content = known ? body.substr(1) : "";
    const bool answer = known && kind == QuotaMessage_Answer;
    const bool report = known && (kind == QuotaMessage_Report || kind == QuotaMessage_SeedReport);
    const bool read = answer ? DecodeMessage(content, &message.Answer) : report && DecodeMessage(content, &message.Report);
    if (!read)
    {
        return Error{Code_MessageMalformed, "malformed quota datagram"};
    }
    message.Kind = static_cast<QuotaMessage_>(kind);
    message.Subject = static_cast<QuotaSubject_>(subject);
    return message;
}

std::string EncodeQuota(const QuotaMessage& message)
{
    return DatagramFrame(message.Kind, BodyOf(message));
}

Result<QuotaMessage> DecodeQuota(const std::string& bytes)
{
    const std::optional<std::string> body = DatagramBody(bytes);
    return DecodeBody(body ? static_cast<uint8_t>(bytes[0]) : uint8_t{QuotaMessage_None}, body.value_or(""));
}

//-----------------------------------------------------------------------------
// [SECTION] Sending
//-----------------------------------------------------------------------------

// Doesn't retry: the next datagram replaces a lost one.
static void Send(QuotaLink* link, const std::string& address, const QuotaMessage& message)
{
    DatagramSend(link->Datagrams, DatagramChannel_Quotas, message.Kind, address, BodyOf(message));
}

static QuotaChannel& ChannelOf(QuotaLink* link, QuotaSubject_ subject)
{
    return link->Channels[subject];
}

static void SendReports(QuotaLink* link, QuotaSubject_ subject, const std::string& address, QuotaMessage_ kind)
{
    for (const QuotaReport& report : QuotaReports(*ChannelOf(link, subject).State, NowUs()))
    {
        Send(link, address, {kind, subject, report, {}});
    }
}

static void SendAnswers(QuotaLink* link, QuotaSubject_ subject, const std::string& address)
{
    for (const QuotaAnswer& answer : QuotaAnswers(*ChannelOf(link, subject).State, NowUs()))
    {
        Send(link, address, {QuotaMessage_Answer, subject, {}, answer});
    }
}

static void AnswerReporters(QuotaLink* link, QuotaSubject_ subject)
{
    for (const auto& entry : ChannelOf(link, subject).State->Followers)
    {
        SendAnswers(link, subject, entry.first);
    }
}

// Sends the decision to followers that don't report: they may not know of a limit yet.
static void AnswerOtherFollowers(QuotaLink* link, QuotaSubject_ subject)
{
    const auto& reporters = ChannelOf(link, subject).State->Followers;
    for (const std::string& follower : link->Followers())
    {
        if (reporters.count(DatagramAddress(*link->Datagrams, follower)) == 0)
        {
            SendAnswers(link, subject, follower);
        }
    }
}

static void ReportToSource(QuotaLink* link, QuotaSubject_ subject)
{
    const std::string source = link->Source();
    link->LastSource = source.empty() ? link->LastSource : source;
    SendReports(link, subject, link->LastSource, QuotaMessage_Report);
}

static void Decide(QuotaLink* link, QuotaSubject_ subject)
{
    if (ChannelOf(link, subject).Decide(NowUs()))
    {
        AnswerReporters(link, subject);
    }
}

static void Report(QuotaLink* link, QuotaSubject_ subject)
{
    QuotaChannel& channel = ChannelOf(link, subject);
    if (!channel.IsNeeded())
    {
        channel.Reporting = nullptr; // The last limit has expired.
        return;
    }
    channel.Reporting = TimerStart(link->Loop, QuotaReportDelay(*channel.State), [link, subject]() { Report(link, subject); });
    Decide(link, subject);
    AnswerOtherFollowers(link, subject);
    if (!channel.State->IsSeed)
    {
        ReportToSource(link, subject);
        return;
    }
    for (const std::string& seed : link->Seeds())
    {
        SendReports(link, subject, seed, QuotaMessage_SeedReport);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Receiving
//-----------------------------------------------------------------------------

static void Take(QuotaLink* link, const std::string& from, const QuotaMessage& message)
{
    const TimeUs now = NowUs();
    const QuotaSubject_ subject = message.Subject;
    Quota* known = ChannelOf(link, subject).State;
    if (message.Kind == QuotaMessage_Answer)
    {
        if (QuotaOnAnswer(known, message.Answer, now))
        {
            AnswerReporters(link, subject);
        }
        return;
    }
    const bool from_seed = message.Kind == QuotaMessage_SeedReport;
    const bool unknown = QuotaOnReport(known, from, message.Report, from_seed, now);
    Decide(link, subject);
    if (!from_seed)
    {
        SendAnswers(link, subject, from);
    }
    else if (unknown)
    {
        SendReports(link, subject, from, QuotaMessage_SeedReport);
    }
}

// False if the datagram is malformed.
static bool OnReceived(QuotaLink* link, const Datagram& datagram)
{
    const Result<QuotaMessage> message = DecodeBody(datagram.Kind, datagram.Body);
    if (!message)
    {
        return false;
    }
    Take(link, datagram.From, message.value());
    QuotaLinkUpdate(link); // The message may contain the first limit.
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Start
//-----------------------------------------------------------------------------

void QuotaLinkStart(QuotaLink* link)
{
    link->Datagrams->Channels[DatagramChannel_Quotas].OnReceived = [link](const Datagram& datagram)
    {
        return OnReceived(link, datagram);
    };
}

void QuotaLinkUpdate(QuotaLink* link)
{
    for (const QuotaSubject_ subject : {QuotaSubject_Customers, QuotaSubject_Targets})
    {
        QuotaChannel& channel = ChannelOf(link, subject);
        const bool wanted = channel.IsNeeded();
        if (!wanted)
        {
            channel.Reporting = nullptr;
        }
        else if (!channel.Reporting)
        {
            Report(link, subject);
        }
    }
}

} // namespace Winchlink
