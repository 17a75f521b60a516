// quota_link.h: what instances tell each other of quotas (Quota in winchlink.h), in UDP datagrams: of customers, and of targets that have
// named a limit.
//
// Each instance sends what it and its followers have admitted to the instance that it follows, which answers with what was decided; first
// contacts send the same to each other, and decide. A datagram holds a state and no change, so that nothing is sent again. Other instances
// are reached at the address where they can be followed, at the port for datagrams, which is the same for the whole fleet.
//
// Nothing is told of customers while none has a quota, and of targets while no limit is known. Instances that have heard of a limit tell
// their followers, which then report too: so a limit is known to the whole fleet a moment after the first instance has heard of it.
//
// How to use it: fill the struct, QuotaLinkStart() once, QuotaLinkFollow() after each change of the plan and of the limits that are known.

#pragma once

#include "loop.h"

namespace Winchlink
{

// Whose quotas. Each has a Quota and reports of its own.
enum QuotaSubject_ : uint8_t
{
    QuotaSubject_Customers,
    QuotaSubject_Targets,
    QuotaSubject_COUNT,
};

struct QuotaChannel
{
    Quota* Known = nullptr;
    std::function<bool()> Wanted;           // Whether there is anything to tell.
    std::function<bool(TimeUs now)> Decide; // QuotaDecide(), or QuotaDecideNamed().
    Timer Reporting;
};

struct QuotaLink
{
    EventLoop* Loop = nullptr;
    std::array<QuotaChannel, QuotaSubject_COUNT> Channels;
    std::string Own;                                     // IP:port where this instance can be followed; empty: it is alone.
    int Port = 0;                                        // For datagrams; 0: none are sent.
    std::function<std::string()> Source;                 // The instance that is followed; empty: it is not known.
    std::function<std::vector<std::string>()> Contacts;  // Other first contacts.
    std::function<std::vector<std::string>()> Followers; // Instances that follow this one, whether they report or not.
    int Socket = -1;
    Watch Readable;
    std::string LastSource;  // The one that was last followed: it is kept while the store is read.
    uint64_t Sent = 0;       // Counters: datagrams,
    uint64_t Received = 0;   //
    uint64_t Unreadable = 0; // and those that can't be read.

    QuotaLink() = default;
    ~QuotaLink();
    QuotaLink(const QuotaLink&) = delete;
    QuotaLink& operator=(const QuotaLink&) = delete;
};

// Opens the socket, if there is a port; Code_ListenFailed if it can't be had.
Result<void> QuotaLinkStart(QuotaLink* link);

// The plan has changed, or a limit of a target was heard: begins to tell what is wanted, at once, and ends what is not.
void QuotaLinkFollow(QuotaLink* link);

enum QuotaMessage_ : uint8_t
{
    QuotaMessage_None,
    QuotaMessage_Report,  // To the instance that is followed.
    QuotaMessage_Contact, // A report to another first contact.
    QuotaMessage_Answer,  // What was decided.
    QuotaMessage_COUNT,
};

// One datagram; which of the two it holds is said by Kind.
struct QuotaMessage
{
    QuotaMessage_ Kind = QuotaMessage_None;
    QuotaSubject_ Subject = QuotaSubject_Customers;
    QuotaReport Report;
    QuotaAnswer Answer;
};

// Bytes of a datagram, and back. Code_MessageMalformed for what is none.
std::string EncodeQuota(const QuotaMessage& message);
Result<QuotaMessage> DecodeQuota(const std::string& bytes);

} // namespace Winchlink
