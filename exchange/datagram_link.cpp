// datagram_link.cpp: one UDP socket for the small messages between instances that may be lost.
//
// Index of this file:
// [SECTION] Channels
// [SECTION] Packing
// [SECTION] Clocks of senders
// [SECTION] Taking
// [SECTION] Socket

#include "datagram_link.h"

#include "clock.h"
#include "log.h"
#include "message_codec.h"
#include "socket.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

namespace Winchlink
{

static constexpr size_t BufferBytes = 4 * KiB;            // Larger than any datagram that is sent.
static constexpr int ReadsMax = 64;                       // Datagrams read in one pass of the event loop.
static constexpr size_t HeadBytes = 1 + NumberBytes;      // Kind and checksum.
static constexpr size_t StampBytes = NumberBytes;         // At the start of a stamped body.
static constexpr size_t DatagramBytesMax = 1200;          // Fits into one packet on any path.
static constexpr size_t StampsKept = 16;                  // Stamps of one sender; more than are on the way at once.
static constexpr double LoadSendBytesPerS = 8 * KiB;      // Leaves room for the other channels below 10 KB a second.
static constexpr double LoadReceiveBytesPerS = 16 * KiB;  // Others may ask an instance more often than it asks.
static constexpr double LoadBurstS = 2;                   // A crest of the demand starts with many asks.
static constexpr TimeUs LoadDelayMaxUs = 100 * UsPerMs;   // Load reports live about this long.
static constexpr TimeUs QueuedMaxUs = 3600 * UsPerSecond; // Longer times come from a step of the wall clock.

//-----------------------------------------------------------------------------
// [SECTION] Channels
//-----------------------------------------------------------------------------

const char* DatagramDropName(DatagramDrop_ drop)
{
    static const std::array<const char*, DatagramDrop_COUNT> names = {"none",      "send_too_large", "send_over_rate", "send_failed",
                                                                      "too_large", "over_rate",      "malformed",      "foreign",
                                                                      "late",      "repeated",       "unused"};
    assert(drop >= 0 && drop < DatagramDrop_COUNT && "not a reason");
    return names[drop];
}

std::array<DatagramChannel, DatagramChannel_COUNT> DatagramChannels()
{
    std::array<DatagramChannel, DatagramChannel_COUNT> channels;
    DatagramChannel& quotas = channels[DatagramChannel_Quotas];
    quotas.Name = "quotas";
    quotas.KindMin = 1;
    quotas.KindMax = 3;
    quotas.BytesMax = BufferBytes;
    DatagramChannel& load = channels[DatagramChannel_Load];
    load.Name = "load";
    load.KindMin = DatagramKind_Load;
    load.KindMax = DatagramKind_Load;
    load.Stamped = true;
    load.BytesMax = DatagramBytesMax;
    load.DelayMaxUs = LoadDelayMaxUs;
    load.SendRate = {LoadSendBytesPerS, LoadBurstS * LoadSendBytesPerS, -1, 0};
    load.ReceiveRate = {LoadReceiveBytesPerS, LoadBurstS * LoadReceiveBytesPerS, -1, 0};
    return channels;
}

// The channel of a kind, or null.
static DatagramChannel* ChannelOf(DatagramLink* link, uint8_t kind)
{
    const auto has = [kind](const DatagramChannel& channel)
    {
        return kind >= channel.KindMin && kind <= channel.KindMax;
    };
    const auto found = std::find_if(link->Channels.begin(), link->Channels.end(), has);
    return found != link->Channels.end() ? &*found : nullptr;
}

//-----------------------------------------------------------------------------
// [SECTION] Packing
//-----------------------------------------------------------------------------

bool DatagramRateTake(DatagramRate* rate, size_t bytes, TimeUs now)
{
    if (rate->BytesPerS <= 0)
    {
        return true;
    }
    const double passed = static_cast<double>(std::max<TimeUs>(now - rate->FilledUs, 0)) / static_cast<double>(UsPerSecond);
    rate->Bytes = rate->Bytes < 0 ? rate->Burst : std::min(rate->Burst, rate->Bytes + passed * rate->BytesPerS);
    rate->FilledUs = now;
    if (rate->Bytes < static_cast<double>(bytes))
    {
        return false;
    }
    rate->Bytes -= static_cast<double>(bytes);
    return true;
}

// The checksum of stamped channels covers the kind too, so that a datagram whose kind was corrupted is no datagram of another channel.
static uint32_t ChecksumOf(bool stamped, uint8_t kind, const std::string& body)
{
    return stamped ? Checksum(static_cast<char>(kind) + body) : Checksum(body);
}

static std::string Frame(bool stamped, uint8_t kind, const std::string& body)
{
    std::string out(1, static_cast<char>(kind));
    AppendNumber(&out, ChecksumOf(stamped, kind, body));
    return out + body;
}

std::string DatagramFrame(uint8_t kind, const std::string& body)
{
    return Frame(false, kind, body);
}

// The body, with the stamp if there is one; none if it is too short or the checksum is wrong.
static std::optional<std::string> BodyOf(bool stamped, const std::string& bytes)
{
    if (bytes.size() < HeadBytes + (stamped ? StampBytes : 0))
    {
        return std::nullopt;
    }
    std::string body = bytes.substr(HeadBytes);
    const bool good = ChecksumOf(stamped, static_cast<uint8_t>(bytes[0]), body) == NumberAt(bytes, 1);
    return good ? std::optional<std::string>(std::move(body)) : std::nullopt;
}

std::optional<std::string> DatagramBody(const std::string& bytes)
{
    return BodyOf(false, bytes);
}

// Stamps increase, so that no two datagrams have the same.
static uint32_t NextStamp(DatagramLink* link, TimeUs now)
{
    link->LastStampUs = std::max(now, link->LastStampUs + 1);
    return static_cast<uint32_t>(link->LastStampUs);
}

std::optional<std::string> DatagramPack(DatagramLink* link, DatagramChannel_ channel, uint8_t kind, const std::string& body, TimeUs now)
{
    DatagramChannel& used = link->Channels[channel];
    assert(kind >= used.KindMin && kind <= used.KindMax && "not a kind of the channel");
    const size_t bytes = HeadBytes + (used.Stamped ? StampBytes : 0) + body.size();
    const DatagramDrop_ drop = bytes > used.BytesMax                           ? DatagramDrop_SendTooLarge
                               : !DatagramRateTake(&used.SendRate, bytes, now) ? DatagramDrop_SendOverRate
                                                                               : DatagramDrop_None;
    if (drop != DatagramDrop_None)
    {
        used.Dropped[drop]++;
        return std::nullopt;
    }
    std::string stamp;
    if (used.Stamped)
    {
        AppendNumber(&stamp, NextStamp(link, now));
    }
    return Frame(used.Stamped, kind, stamp + body);
}

//-----------------------------------------------------------------------------
// [SECTION] Clocks of senders
//-----------------------------------------------------------------------------

// Differences wrap around with the stamps.
static TimeUs Difference(uint32_t a, uint32_t b)
{
    return static_cast<int32_t>(a - b);
}

static void Lower(std::optional<uint32_t>* lowest, uint32_t value)
{
    if (!*lowest || Difference(value, **lowest) < 0)
    {
        *lowest = value;
    }
}

static DatagramSender& SenderOf(DatagramLink* link, uint32_t ip)
{
    if (link->Senders.size() >= link->Config.SendersMax && link->Senders.count(ip) == 0)
    {
        const auto heard_before = [](const auto& a, const auto& b)
        {
            return a.second.HeardUs < b.second.HeardUs;
        };
        link->Senders.erase(std::min_element(link->Senders.begin(), link->Senders.end(), heard_before));
    }
    return link->Senders[ip];
}

// Starts the next window if the current one is over. Nothing is known of a sender that was silent for two, and the clock of one of which
// nothing was taken may have started again.
static void TurnWindow(DatagramSender* sender, TimeUs window, TimeUs now)
{
    const TimeUs since = now - sender->WindowUs;
    if (since < window)
    {
        return;
    }
    sender->LowestBefore = since < 2 * window ? sender->Lowest : std::nullopt;
    sender->Lowest = std::nullopt;
    if (!sender->Taken)
    {
        sender->Stamps.clear();
    }
    sender->Taken = false;
    sender->WindowUs = now;
}

// The delay of a datagram with that stamp, compared with the fastest one.
static TimeUs DelayOf(DatagramSender* sender, uint32_t stamp, TimeUs now)
{
    const uint32_t difference = static_cast<uint32_t>(now) - stamp;
    Lower(&sender->Lowest, difference);
    const TimeUs delay = Difference(difference, *sender->Lowest);
    return sender->LowestBefore ? std::max(delay, Difference(difference, *sender->LowestBefore)) : delay;
}

// Whether the stamp was taken before, or is older than all that are kept; keeps it otherwise.
static bool IsRepeated(std::vector<uint32_t>* stamps, uint32_t stamp)
{
    const auto older = [](uint32_t a, uint32_t b)
    {
        return Difference(a, b) < 0;
    };
    if (std::find(stamps->begin(), stamps->end(), stamp) != stamps->end())
    {
        return true;
    }
    if (stamps->size() < StampsKept)
    {
        stamps->push_back(stamp);
        return false;
    }
    const auto oldest = std::min_element(stamps->begin(), stamps->end(), older);
    if (older(stamp, *oldest))
    {
        return true;
    }
    *oldest = stamp;
    return false;
}

// Sets the delay of a datagram with that stamp.
static DatagramDrop_ CheckStamp(DatagramLink* link, const DatagramChannel& channel, uint32_t ip, uint32_t stamp, TimeUs queued, TimeUs now,
                                TimeUs* delay)
{
    DatagramSender& sender = SenderOf(link, ip);
    TurnWindow(&sender, link->Config.WindowUs, now);
    sender.HeardUs = now;
    *delay = std::max(DelayOf(&sender, stamp, now), queued);
    if (*delay > channel.DelayMaxUs)
    {
        return DatagramDrop_Late;
    }
    if (IsRepeated(&sender.Stamps, stamp))
    {
        return DatagramDrop_Repeated;
    }
    sender.Taken = true;
    return DatagramDrop_None;
}

//-----------------------------------------------------------------------------
// [SECTION] Taking
//-----------------------------------------------------------------------------

// Checks a datagram and takes it apart.
static DatagramDrop_ Unpack(DatagramLink* link, DatagramChannel* channel, const Endpoint& from, const std::string& bytes, TimeUs queued,
                            TimeUs now, Datagram* out)
{
    if (channel->Stamped && (from.Port != link->Port || from.Ip == link->OwnIp))
    {
        return DatagramDrop_Foreign;
    }
    if (bytes.size() > channel->BytesMax)
    {
        return DatagramDrop_TooLarge;
    }
    if (!DatagramRateTake(&channel->ReceiveRate, bytes.size(), now))
    {
        return DatagramDrop_OverRate;
    }
    std::optional<std::string> body = BodyOf(channel->Stamped, bytes);
    if (!body)
    {
        return DatagramDrop_Malformed;
    }
    if (!channel->Stamped)
    {
        out->Body = std::move(*body);
        return DatagramDrop_None;
    }
    out->Body = body->substr(StampBytes);
    return CheckStamp(link, *channel, from.Ip, static_cast<uint32_t>(NumberAt(*body, 0)), queued, now, &out->DelayUs);
}

static DatagramDrop_ PassOn(DatagramLink* link, DatagramChannel* channel, const Endpoint& from, const std::string& bytes, TimeUs queued,
                            TimeUs now)
{
    if (!channel->OnReceived)
    {
        return DatagramDrop_Unused;
    }
    Datagram datagram;
    datagram.From = FormatEndpoint(from);
    datagram.Kind = static_cast<uint8_t>(bytes[0]);
    const DatagramDrop_ drop = Unpack(link, channel, from, bytes, queued, now, &datagram);
    if (drop != DatagramDrop_None)
    {
        return drop;
    }
    return channel->OnReceived(datagram) ? DatagramDrop_None : DatagramDrop_Malformed;
}

DatagramDrop_ DatagramTake(DatagramLink* link, const Endpoint& from, const std::string& bytes, TimeUs queued, TimeUs now)
{
    if (bytes.empty())
    {
        link->Truncated++;
        return DatagramDrop_Malformed;
    }
    DatagramChannel* channel = ChannelOf(link, static_cast<uint8_t>(bytes[0]));
    if (channel == nullptr)
    {
        link->Unknown++;
        return DatagramDrop_Unused;
    }
    channel->Received++;
    channel->ReceivedBytes += bytes.size();
    const DatagramDrop_ drop = PassOn(link, channel, from, bytes, queued, now);
    channel->Dropped[drop] += drop != DatagramDrop_None ? 1 : 0;
    if (drop == DatagramDrop_Malformed)
    {
        LogSample(LogLevel_Warn, Code_MessageMalformed, "datagram malformed",
                  {{"channel", channel->Name}, {"address", FormatEndpoint(from)}, {"bytes", static_cast<uint64_t>(bytes.size())}});
    }
    return drop;
}

//-----------------------------------------------------------------------------
// [SECTION] Socket
//-----------------------------------------------------------------------------

bool DatagramLinkIsOpen(const DatagramLink& link)
{
    return link.Socket >= 0;
}

std::string DatagramAddress(const DatagramLink& link, const std::string& instance)
{
    Result<Endpoint> endpoint = ParseEndpoint(instance);
    if (!endpoint)
    {
        return "";
    }
    endpoint.value().Port = static_cast<uint16_t>(link.Port);
    return FormatEndpoint(endpoint.value());
}

bool DatagramSend(DatagramLink* link, DatagramChannel_ channel, uint8_t kind, const std::string& instance, const std::string& body)
{
    Result<Endpoint> to = ParseEndpoint(instance);
    if (!to || link->Socket < 0)
    {
        return false;
    }
    to.value().Port = static_cast<uint16_t>(link->Port);
    const std::optional<std::string> bytes = DatagramPack(link, channel, kind, body, NowUs());
    if (!bytes)
    {
        return false;
    }
    DatagramChannel& used = link->Channels[channel];
    const sockaddr_in where = ToSocketAddress(to.value());
    const ssize_t sent =
        sendto(link->Socket, bytes->data(), bytes->size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&where), sizeof where);
    if (sent != static_cast<ssize_t>(bytes->size()))
    {
        used.Dropped[DatagramDrop_SendFailed]++;
        LogSample(LogLevel_Info, Code_PlatformUnreachable, "datagram not sent",
                  {{"channel", used.Name}, {"address", instance}, {"detail", std::strerror(errno)}});
        return false;
    }
    used.Sent++;
    used.SentBytes += bytes->size();
    return true;
}

// The time for which a datagram has waited to be read; the kernel notes by the wall clock when it came.
static TimeUs QueuedFor(msghdr* message)
{
    for (cmsghdr* part = CMSG_FIRSTHDR(message); part != nullptr; part = CMSG_NXTHDR(message, part))
    {
        if (part->cmsg_level == SOL_SOCKET && part->cmsg_type == SCM_TIMESTAMPNS)
        {
            timespec came = {};
            std::memcpy(&came, CMSG_DATA(part), sizeof came);
            const TimeUs queued = WallUs() - (static_cast<TimeUs>(came.tv_sec) * UsPerSecond + came.tv_nsec / 1000);
            return queued >= 0 && queued < QueuedMaxUs ? queued : 0;
        }
    }
    return 0;
}

// False if no datagram is waiting.
static bool ReadOne(DatagramLink* link)
{
    std::string bytes(BufferBytes, '\0');
    sockaddr_in from = {};
    iovec space = {bytes.data(), bytes.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(timespec))> control = {};
    msghdr message = {};
    message.msg_name = &from;
    message.msg_namelen = sizeof from;
    message.msg_iov = &space;
    message.msg_iovlen = 1;
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    const ssize_t got = recvmsg(link->Socket, &message, MSG_DONTWAIT);
    if (got < 0)
    {
        return errno == ECONNREFUSED || errno == EINTR; // An earlier datagram could not be delivered.
    }
    bytes.resize(static_cast<size_t>(got));
    const Endpoint sender = {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)};
    DatagramTake(link, sender, bytes, QueuedFor(&message), NowUs());
    return true;
}

static void OnReadable(DatagramLink* link)
{
    int reads = 0;
    while (reads < ReadsMax && ReadOne(link))
    {
        reads++;
    }
}

Result<void> DatagramLinkStart(DatagramLink* link)
{
    if (link->Port == 0 || link->Own.empty())
    {
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    Endpoint own = ParseEndpoint(link->Own).value();
    own.Port = static_cast<uint16_t>(link->Port);
    link->OwnIp = own.Ip;
    const sockaddr_in address = ToSocketAddress(own);
    const int on = 1;
    link->Socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (link->Socket < 0 || bind(link->Socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    {
        return Error{Code_ListenFailed, FormatEndpoint(own) + " (datagrams): " + std::strerror(errno)};
    }
    setsockopt(link->Socket, SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on);
    link->Readable = WatchStart(link->Loop, link->Socket, UV_READABLE, [link](int) { OnReadable(link); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

DatagramLink::~DatagramLink()
{
    Readable = nullptr;
    if (Socket >= 0)
    {
        close(Socket);
    }
}

} // namespace Winchlink
