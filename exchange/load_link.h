// load_link.h: exchange of load reports between instances (Shared load in winchlink.h) and of the room in data centres (Division), in
// datagrams.
//
// An instance asks when its requests find targets busy, answers while it has a plan and doesn't drain, and offers slots that its answers
// show to be free. An ask that was on the way for longer than an asker is remembered comes too late: its request has ended its search. A
// message of another instance is used only for a service that this one knows; its reports count as older by the time that it was on the
// way. One in the name of this instance, or from another data centre than its sender is known to run in (Peers), is not used.
//
// How to use it: fill the struct and call LoadLinkSet(). While sharing is on, Forwarder::OnTargetBusy and OnSlotFree call LoadLinkAsk() and
// LoadLinkFreed().
//
// Index of this file:
// [SECTION] Link
// [SECTION] Messages

#pragma once

#include "datagram_link.h"
#include "forward.h"

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Link
//-----------------------------------------------------------------------------

struct LoadLinkConfig
{
    TimeUs CalmUs = 5 * UsPerSecond;       // Sharing has ended for a service once nobody has asked for this long.
    TimeUs DivisionCheckUs = 10 * UsPerMs; // Time between two checks whether other data centres are to be asked.
    TimeUs WatchUs = 500 * UsPerMs;        // Time between two checks whether sharing and division have ended.
};

// Whether sharing and division have begun for a service, as logged.
struct LoadWatch
{
    TimeUs AskedUs = 0;           // When other instances of the data centre were last asked; 0: never.
    TimeUs HeardUs = 0;           // When another instance was last heard; 0: never.
    TimeUs DivisionCheckedUs = 0; // When other data centres were last considered; 0: never.
    TimeUs SharingUs = 0;         // When sharing began; 0: it has not.
    TimeUs DividingUs = 0;        // When division began; 0: it has not.
    uint64_t Asks = 0;            // Counters of the service before sharing began.
    uint64_t ReportsTaken = 0;
    uint64_t Crossed = 0; // The same when division began.
    uint64_t KeptForRoom = 0;
    uint64_t KeptForSlack = 0;
};

struct LoadLink
{
    LoadLinkConfig Config;
    EventLoop* Loop = nullptr;
    DatagramLink* Datagrams = nullptr;
    Forwarder* Requests = nullptr;
    // Something new is known of the service. `offered`: the target of a free slot that was told to this instance alone; null if none was.
    // May be empty.
    std::function<void(ServiceState*, PoolTarget* offered)> OnHeard;
    bool Shares = false;                                  // Load reports are shared.
    bool Divides = false;                                 // Rooms of data centres are exchanged too.
    std::unordered_map<uint32_t, ServiceState*> Services; // By SharedServiceId().
    size_t ServicesIndexed = 0;                           // Number of the Forwarder's services when Services was made.
    std::map<ServiceState*, LoadWatch> Watched;           // Services for which instances have asked lately.
    Timer WatchTimer;                                     // Next check of Watched.
    uint64_t UnknownServices = 0;                         // Counter: messages of services that are not known here.
    uint64_t WrongSenders = 0; // Counter: messages in the name of this instance, or from a data centre where their sender doesn't run.
    uint64_t NotAnswered = 0;  // Counter: asks that came too late, or while this instance drained or had no plan.
    uint64_t DivisionAsks = 0; // Counter: asks that were sent to other data centres.

    LoadLink() = default;
    LoadLink(const LoadLink&) = delete;
    LoadLink& operator=(const LoadLink&) = delete;
};

// Switches sharing and division on or off, and logs what changes. Division needs sharing. Once off, nothing is sent or used, and what was
// remembered of others is forgotten.
void LoadLinkSet(LoadLink* link, bool shares, bool divides);

// A request found a target of the service busy, or none in the own data centre: asks other instances, if it is time to.
void LoadLinkAsk(LoadLink* link, ServiceState* service, TimeUs now);

// An answer has shown a free slot of the target: offers it to an instance that has asked.
void LoadLinkFreed(LoadLink* link, ServiceState* service, PoolTarget* target, TimeUs now);

// A message of the instance with that address for datagrams has come, `delay` after it was sent.
void LoadLinkHeard(LoadLink* link, const std::string& from, LoadMessage message, TimeUs delay, TimeUs now);

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

// Encodes the body of a datagram: 15 bytes, and 9 for each report. Reports beyond LoadReportsMax are left out, numbers that are too large
// are cut.
inline constexpr size_t LoadReportsMax = 128;
std::string EncodeLoad(const LoadMessage& message);

// Code_MessageMalformed if the bytes are not exactly one message with plausible values. So a message has these fields in all versions: a
// version that tells more does so in a datagram of another kind (DatagramKind_Load is this one's), which older ones drop.
Result<LoadMessage> DecodeLoad(const std::string& bytes);

} // namespace Winchlink
