// transport.h: the service "transport": datagrams and, for what does not fit, TCP, between instances.
//
// Runs on the control thread only. Nothing blocks. A TCP connection carries one message, length first, and closes; a peer's length
// never sizes an allocation. A message that can't be sent is dropped: all messages are repeated by design.

#pragma once

#include "winchlink.h"

#include <curl/curl.h>

namespace Winchlink
{

struct Stream
{
    int Fd = -1;           // Connection.
    bool Outgoing = false; // We opened it.
    std::string Bytes;     // Outgoing: what is left to be written; incoming: what was read so far.
    TimeUs OpenedUs = 0;   // To end it when it takes too long.
};

struct Transport
{
    int Udp = -1;                // Bound to the control address.
    int Listener = -1;           // TCP, same address.
    std::vector<Stream> Streams; // Connections in progress.
    uint64_t SendErrors = 0;     // Messages dropped on our side.
    uint64_t StreamsDropped = 0; // TCP connections that ended badly or late.
};

inline constexpr size_t StreamsMax = 64;

Result<void> TransportStart(Transport* transport, const std::string& address);
void TransportStop(Transport* transport);

void TransportSend(Transport* transport, const Envelope& envelope, TimeUs now);

// What to poll for.
std::vector<curl_waitfd> TransportWaits(const Transport& transport);

// Moves all connections on and returns the messages that have come in.
std::vector<std::string> TransportReceive(Transport* transport, TimeUs now);

} // namespace Winchlink
