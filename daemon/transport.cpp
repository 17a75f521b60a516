// transport.cpp: datagrams and, for what does not fit, TCP, between instances.
//
// Index of this file:
// [SECTION] Sockets
// [SECTION] Sending
// [SECTION] Receiving

#include "transport.h"

#include "socket.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Winchlink
{

static constexpr size_t LengthSize = 4; // Big-endian length before a TCP message.
static constexpr size_t ReadChunk = 64 * KiB;
static constexpr TimeUs StreamMaxUs = 10 * UsPerSecond;
static constexpr int ReceiveBuffer = 4 * MiB; // A burst of a whole fleet's heartbeats fits.
static constexpr int DatagramsPerRound = 512; // Then the loop turns to other work.

//-----------------------------------------------------------------------------
// [SECTION] Sockets
//-----------------------------------------------------------------------------

Result<void> TransportStart(Transport* transport, const std::string& address)
{
    const Result<Endpoint> endpoint = ParseEndpoint(address);
    if (!endpoint)
    {
        return endpoint.error();
    }
    transport->Udp = OpenBound(SOCK_DGRAM, endpoint.value());
    transport->Listener = OpenBound(SOCK_STREAM, endpoint.value());
    const bool listening = transport->Listener >= 0 && listen(transport->Listener, static_cast<int>(StreamsMax)) == 0;
    if (transport->Udp < 0 || !listening)
    {
        const std::string reason = std::strerror(errno);
        TransportStop(transport);
        return Error{Code_ListenFailed, address + ": " + reason};
    }
    setsockopt(transport->Udp, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer, sizeof(ReceiveBuffer));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void TransportStop(Transport* transport)
{
    for (const Stream& stream : transport->Streams)
    {
        close(stream.Fd);
    }
    transport->Streams.clear();
    for (int* fd : {&transport->Udp, &transport->Listener})
    {
        if (*fd >= 0)
        {
            close(*fd);
        }
        *fd = -1;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Sending
//-----------------------------------------------------------------------------

static std::string WithLength(const std::string& bytes)
{
    const uint32_t length = htonl(static_cast<uint32_t>(bytes.size()));
    std::string framed(reinterpret_cast<const char*>(&length), LengthSize);
    return framed + bytes;
}

static void SendByTcp(Transport* transport, const Envelope& envelope, TimeUs now)
{
    if (transport->Streams.size() >= StreamsMax)
    {
        transport->SendErrors++;
        return;
    }
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in to = ToSocketAddress(envelope.To);
    const int result = connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    if (result != 0 && errno != EINPROGRESS)
    {
        close(fd);
        transport->SendErrors++;
        return;
    }
    transport->Streams.push_back({fd, true, WithLength(envelope.Bytes), now});
}

void TransportSend(Transport* transport, const Envelope& envelope, TimeUs now)
{
    if (envelope.Bytes.size() > DatagramMax)
    {
        SendByTcp(transport, envelope, now);
        return;
    }
    const sockaddr_in to = ToSocketAddress(envelope.To);
    const ssize_t sent = sendto(transport->Udp, envelope.Bytes.data(), envelope.Bytes.size(), MSG_NOSIGNAL,
                                reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    transport->SendErrors += sent < 0 ? 1 : 0;
}

//-----------------------------------------------------------------------------
// [SECTION] Receiving
//-----------------------------------------------------------------------------

std::vector<curl_waitfd> TransportWaits(const Transport& transport)
{
    std::vector<curl_waitfd> waits;
    waits.push_back({transport.Udp, CURL_WAIT_POLLIN, 0});
    waits.push_back({transport.Listener, CURL_WAIT_POLLIN, 0});
    for (const Stream& stream : transport.Streams)
    {
        const short events = stream.Outgoing ? CURL_WAIT_POLLOUT : CURL_WAIT_POLLIN;
        waits.push_back({stream.Fd, events, 0});
    }
    return waits;
}

static void ReceiveDatagrams(Transport* transport, std::vector<std::string>* out)
{
    std::array<char, ReadChunk> buffer; // A datagram is never larger.
    for (int n = 0; n < DatagramsPerRound; n++)
    {
        const ssize_t got = recv(transport->Udp, buffer.data(), buffer.size(), 0);
        if (got < 0)
        {
            return;
        }
        out->emplace_back(buffer.data(), static_cast<size_t>(got));
    }
}

static void AcceptStreams(Transport* transport, TimeUs now)
{
    while (transport->Streams.size() < StreamsMax)
    {
        const int fd = accept4(transport->Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
        {
            return;
        }
        transport->Streams.push_back({fd, false, "", now});
    }
}

// Writes what it can. True when done, well or badly.
static bool WriteStream(Transport* transport, Stream* stream)
{
    const ssize_t sent = send(stream->Fd, stream->Bytes.data(), stream->Bytes.size(), MSG_NOSIGNAL);
    if (sent < 0)
    {
        const bool later = errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN || errno == EINTR;
        transport->SendErrors += later ? 0 : 1;
        return !later;
    }
    stream->Bytes.erase(0, static_cast<size_t>(sent));
    return stream->Bytes.empty();
}

// The announced length; MessageMax + 1 while it is not there yet, so that nothing is complete.
static size_t AnnouncedLength(const std::string& bytes)
{
    if (bytes.size() < LengthSize)
    {
        return MessageMax + 1;
    }
    uint32_t length = 0;
    std::memcpy(&length, bytes.data(), LengthSize);
    return ntohl(length);
}

// Reads what is there. True when done, well or badly.
static bool ReadStream(Transport* transport, Stream* stream, std::vector<std::string>* out)
{
    std::array<char, ReadChunk> buffer;
    const ssize_t got = recv(stream->Fd, buffer.data(), buffer.size(), 0);
    if (got < 0)
    {
        return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
    }
    stream->Bytes.append(buffer.data(), static_cast<size_t>(got));
    const size_t length = AnnouncedLength(stream->Bytes);
    if (length <= MessageMax && stream->Bytes.size() == LengthSize + length)
    {
        out->push_back(stream->Bytes.substr(LengthSize));
        return true;
    }
    const bool bad = got == 0 || stream->Bytes.size() > LengthSize + std::min(length, MessageMax);
    transport->StreamsDropped += bad ? 1 : 0;
    return bad;
}

static bool MoveStream(Transport* transport, Stream* stream, TimeUs now, std::vector<std::string>* out)
{
    if (now - stream->OpenedUs > StreamMaxUs)
    {
        transport->StreamsDropped++;
        return true;
    }
    return stream->Outgoing ? WriteStream(transport, stream) : ReadStream(transport, stream, out);
}

std::vector<std::string> TransportReceive(Transport* transport, TimeUs now)
{
    std::vector<std::string> messages;
    ReceiveDatagrams(transport, &messages);
    AcceptStreams(transport, now);
    for (size_t n = transport->Streams.size(); n-- > 0;)
    {
        if (MoveStream(transport, &transport->Streams[n], now, &messages))
        {
            close(transport->Streams[n].Fd);
            transport->Streams.erase(transport->Streams.begin() + static_cast<std::ptrdiff_t>(n));
        }
    }
    return messages;
}

} // namespace Winchlink
