// quota_link.cpp: exchange of quota reports and decisions between instances.
//
// Index of this file:
// [SECTION] Messages
// [SECTION] Sending
// [SECTION] Receiving
// [SECTION] Start

#include "quota_link.h"

#include "clock.h"
#include "log.h"
#include "message_codec.h"
#include "socket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

namespace Winchlink
{

static constexpr size_t DatagramMax = 4 * KiB; // Larger than any datagram that is sent.
static constexpr int ReadsMax = 64;            // Datagrams read in one pass of the event loop.

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

std::string EncodeQuota(const QuotaMessage& message)
{
    const std::string body = message.Kind == QuotaMessage_Answer ? EncodeMessage(message.Answer) : EncodeMessage(message.Report);
    const std::string coded = static_cast<char>(message.Subject) + body;
    std::string out(1, static_cast<char>(message.Kind));
    AppendNumber(&out, Checksum(coded));
    return out + coded;
}

Result<QuotaMessage> DecodeQuota(const std::string& bytes)
{
    constexpr size_t head = 1 + NumberBytes;
    QuotaMessage message;
    const std::string coded = bytes.substr(std::min(bytes.size(), head));
    const uint8_t subject = coded.empty() ? uint8_t{QuotaSubject_COUNT} : static_cast<uint8_t>(coded[0]);
    const bool whole = subject < QuotaSubject_COUNT && Checksum(coded) == NumberAt(bytes, 1);
    const std::string body = whole ? coded.substr(1) : "";
    const auto kind = whole ? static_cast<uint8_t>(bytes[0]) : uint8_t{QuotaMessage_None};
    const bool answer = kind == QuotaMessage_Answer;
    const bool report = kind == QuotaMessage_Report || kind == QuotaMessage_SeedReport;
    const bool read = answer ? DecodeMessage(body, &message.Answer) : report && DecodeMessage(body, &message.Report);
    if (!read)
    {
        return Error{Code_MessageMalformed, "malformed quota datagram"};
    }
    message.Kind = static_cast<QuotaMessage_>(kind);
    message.Subject = static_cast<QuotaSubject_>(subject);
    return message;
}

//-----------------------------------------------------------------------------
// [SECTION] Sending
//-----------------------------------------------------------------------------

// Doesn't retry: the next datagram replaces a lost one.
static void Send(QuotaLink* link, const std::string& address, const QuotaMessage& message)
{
    Result<Endpoint> to = ParseEndpoint(address);
    if (!to || link->Socket < 0)
    {
        return;
    }
    to.value().Port = static_cast<uint16_t>(link->Port);
    const sockaddr_in where = ToSocketAddress(to.value());
    const std::string bytes = EncodeQuota(message);
    const ssize_t sent =
        sendto(link->Socket, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&where), sizeof where);
    if (sent != static_cast<ssize_t>(bytes.size()))
    {
        LogSample(LogLevel_Info, Code_PlatformUnreachable, "quota datagram not sent",
                  {{"address", address}, {"detail", std::strerror(errno)}});
        return;
    }
    link->Sent++;
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

// The address of an instance for datagrams, or empty if `instance` is no address.
static std::string DatagramAddress(const QuotaLink& link, const std::string& instance)
{
    Result<Endpoint> endpoint = ParseEndpoint(instance);
    if (!endpoint)
    {
        return "";
    }
    endpoint.value().Port = static_cast<uint16_t>(link.Port);
    return FormatEndpoint(endpoint.value());
}

// Sends the decision to followers that don't report: they may not know of a limit yet.
static void AnswerOtherFollowers(QuotaLink* link, QuotaSubject_ subject)
{
    const auto& reporters = ChannelOf(link, subject).State->Followers;
    for (const std::string& follower : link->Followers())
    {
        if (reporters.count(DatagramAddress(*link, follower)) == 0)
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

// False if no datagram is waiting.
static bool ReadOne(QuotaLink* link)
{
    std::string bytes(DatagramMax, '\0');
    sockaddr_in from = {};
    socklen_t size = sizeof from;
    const ssize_t got = recvfrom(link->Socket, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0)
    {
        return errno == ECONNREFUSED || errno == EINTR; // An earlier datagram could not be delivered.
    }
    bytes.resize(static_cast<size_t>(got));
    link->Received++;
    const std::string sender = FormatEndpoint({ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)});
    const Result<QuotaMessage> message = DecodeQuota(bytes);
    if (!message)
    {
        link->Unreadable++;
        LogSample(LogLevel_Warn, message.error().Code, "quota datagram malformed",
                  {{"address", sender}, {"bytes", static_cast<uint64_t>(got)}});
        return true;
    }
    Take(link, sender, message.value());
    QuotaLinkUpdate(link); // The message may contain the first limit.
    return true;
}

static void OnReadable(QuotaLink* link)
{
    int reads = 0;
    while (reads < ReadsMax && ReadOne(link))
    {
        reads++;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Start
//-----------------------------------------------------------------------------

Result<void> QuotaLinkStart(QuotaLink* link)
{
    if (link->Port == 0 || link->Own.empty())
    {
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    Endpoint own = ParseEndpoint(link->Own).value();
    own.Port = static_cast<uint16_t>(link->Port);
    const sockaddr_in address = ToSocketAddress(own);
    link->Socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (link->Socket < 0 || bind(link->Socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    {
        return Error{Code_ListenFailed, FormatEndpoint(own) + " (datagrams): " + std::strerror(errno)};
    }
    link->Readable = WatchStart(link->Loop, link->Socket, UV_READABLE, [link](int) { OnReadable(link); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
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

QuotaLink::~QuotaLink()
{
    Readable = nullptr;
    if (Socket >= 0)
    {
        close(Socket);
    }
}

} // namespace Winchlink
