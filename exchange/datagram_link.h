// datagram_link.h: one UDP socket for the small messages between instances that may be lost, with a channel for each purpose.
//
// A datagram is [kind, 1 byte][checksum, 4 bytes][body]. Kinds belong to channels; instances of versions that don't know a kind drop it.
// Nothing is sent twice: each message replaces the one before, or is worth nothing later.
//
// Datagrams of stamped channels start their body with the time by the sender's clock, 4 bytes in microseconds. The clocks of machines
// differ by an unknown time, so the shortest difference that was lately seen between a sender's stamps and their arrival counts as no
// delay, and what is longer as the delay. So late and repeated datagrams are dropped, also those that waited while this instance was
// paused.
//
// Each channel is bounded: in the size of a datagram, and stamped ones in bytes a second in each direction. What exceeds a bound is dropped
// and counted.
//
// The address of an instance for datagrams is its peer address with the datagram port, which is the same for the whole fleet.
//
// How to use it: fill the struct, set OnReceived of the channels in use, call DatagramLinkStart() once, then DatagramSend().
//
// Index of this file:
// [SECTION] Channels
// [SECTION] Link
// [SECTION] Parts without the socket

#pragma once

#include "loop.h"

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Channels
//-----------------------------------------------------------------------------

enum DatagramChannel_ : int
{
    DatagramChannel_Quotas, // exchange/quota_link.h
    DatagramChannel_Load,   // exchange/load_link.h
    DatagramChannel_COUNT,
};

inline constexpr uint8_t DatagramKind_Load = 4; // The only kind of its channel; those below are QuotaMessage_.

// Why a datagram was not sent or not passed on.
enum DatagramDrop_ : int
{
    DatagramDrop_None,
    DatagramDrop_SendTooLarge,
    DatagramDrop_SendOverRate,
    DatagramDrop_SendFailed, // Not accepted by the system, or no address.
    DatagramDrop_TooLarge,
    DatagramDrop_OverRate,
    DatagramDrop_Malformed, // Wrong checksum, or the channel can't read it.
    DatagramDrop_Foreign,   // Not from the datagram port of another instance.
    DatagramDrop_Late,
    DatagramDrop_Repeated,
    DatagramDrop_Unused, // The channel is off.
    DatagramDrop_COUNT,
};

const char* DatagramDropName(DatagramDrop_ drop);

// Token bucket.
struct DatagramRate
{
    double BytesPerS = 0; // 0: unbounded.
    double Burst = 0;     // Bytes that may pass at once.
    double Bytes = -1;    // Bytes that may pass now; -1: not used yet.
    TimeUs FilledUs = 0;  // When Bytes was last filled.
};

// A datagram for a channel.
struct Datagram
{
    std::string From;   // Address of the sender for datagrams.
    uint8_t Kind = 0;   // One of the channel's kinds.
    std::string Body;   // Without the stamp.
    TimeUs DelayUs = 0; // Estimated time on the way; 0 where the channel isn't stamped.
};

struct DatagramChannel
{
    const char* Name = "";
    uint8_t KindMin = 0; // Its kinds.
    uint8_t KindMax = 0;
    bool Stamped = false;
    size_t BytesMax = 0;                                // Bytes of a datagram.
    TimeUs DelayMaxUs = 0;                              // Stamped datagrams that took longer are late.
    DatagramRate SendRate;                              // Of datagrams to all instances together.
    DatagramRate ReceiveRate;                           // Of those from all; what exceeds it is dropped before its checksum is computed.
    std::function<bool(const Datagram&)> OnReceived;    // Returns false if the body is malformed. Empty: the channel is off.
    uint64_t Sent = 0;                                  // Counters: datagrams and bytes that were sent.
    uint64_t SentBytes = 0;                             //
    uint64_t Received = 0;                              // Counters: datagrams and bytes that came, including those dropped.
    uint64_t ReceivedBytes = 0;                         //
    std::array<uint64_t, DatagramDrop_COUNT> Dropped{}; // Counters: datagrams that were dropped, by reason.
};

// The channels with their bounds.
std::array<DatagramChannel, DatagramChannel_COUNT> DatagramChannels();

//-----------------------------------------------------------------------------
// [SECTION] Link
//-----------------------------------------------------------------------------

// What is known of a sender's clock.
struct DatagramSender
{
    TimeUs HeardUs = 0;                   // Time of its last datagram.
    TimeUs WindowUs = 0;                  // Start of the current window.
    std::optional<uint32_t> Lowest;       // Shortest difference between arrival and stamp in this window,
    std::optional<uint32_t> LowestBefore; // and in the one before.
    bool Taken = false;                   // A datagram was taken in this window.
    std::vector<uint32_t> Stamps;         // Latest stamps of datagrams that were taken. Those of a sender increase.
};

struct DatagramLinkConfig
{
    TimeUs WindowUs = 10 * UsPerSecond; // Window of the shortest difference: clocks drift, and jump when a machine starts again.
    size_t SendersMax = 1024;           // Senders whose clocks are remembered; those heard longest ago are removed first.
};

struct DatagramLink
{
    DatagramLinkConfig Config;
    EventLoop* Loop = nullptr;
    std::string Own; // IP:port at which other instances reach this one; empty: there are no others.
    int Port = 0;    // For datagrams; 0: nothing is sent or received.
    std::array<DatagramChannel, DatagramChannel_COUNT> Channels = DatagramChannels();
    std::unordered_map<uint32_t, DatagramSender> Senders; // By IP address.
    TimeUs LastStampUs = 0;                               // Stamp of the last datagram sent.
    uint64_t Unknown = 0;                                 // Counter: datagrams of unknown kinds, such as those of later versions.
    uint64_t Truncated = 0;                               // Counter: datagrams that are too short to have a kind.
    uint32_t OwnIp = 0;                                   // IP address of Own; set by DatagramLinkStart().
    int Socket = -1;
    Watch Readable;

    DatagramLink() = default;
    ~DatagramLink();
    DatagramLink(const DatagramLink&) = delete;
    DatagramLink& operator=(const DatagramLink&) = delete;
};

// Opens the socket, if there is a port and an address; Code_ListenFailed if that fails.
Result<void> DatagramLinkStart(DatagramLink* link);

// Whether datagrams can be sent.
bool DatagramLinkIsOpen(const DatagramLink& link);

// The address of an instance for datagrams, or empty if `instance` is no address.
std::string DatagramAddress(const DatagramLink& link, const std::string& instance);

// Sends a datagram to an instance, of which any address will do. Returns false if it was dropped.
bool DatagramSend(DatagramLink* link, DatagramChannel_ channel, uint8_t kind, const std::string& instance, const std::string& body);

//-----------------------------------------------------------------------------
// [SECTION] Parts without the socket
//-----------------------------------------------------------------------------

// Whether the bytes may pass now; counts them if so.
bool DatagramRateTake(DatagramRate* rate, size_t bytes, TimeUs now);

// Kind, checksum and body of a datagram that isn't stamped. DatagramBody() returns none if the checksum is wrong.
std::string DatagramFrame(uint8_t kind, const std::string& body);
std::optional<std::string> DatagramBody(const std::string& bytes);

// The bytes of a datagram that is to be sent; none if it exceeds a bound.
std::optional<std::string> DatagramPack(DatagramLink* link, DatagramChannel_ channel, uint8_t kind, const std::string& body, TimeUs now);

// A datagram has come: checks it and passes it to its channel. `queued`: time for which it has waited to be read. Returns why it was
// dropped, if it was.
DatagramDrop_ DatagramTake(DatagramLink* link, const Endpoint& from, const std::string& bytes, TimeUs queued, TimeUs now);

} // namespace Winchlink
