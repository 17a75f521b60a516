// quota_link.h: exchange of quota reports and decisions (Quota in winchlink.h) between instances, in UDP datagrams. Customers' quotas and
// targets' limits are exchanged separately.
//
// Each instance sends the sums of itself and its followers to its source, which answers with the decision; seeds send their sums to each
// other and decide. Each datagram holds totals and no changes, so lost ones are not sent again. The address of an instance for datagrams is
// its peer address with the datagram port, which is the same for the whole fleet.
//
// Nothing is sent about customers while none has a quota, nor about targets while no limit is known. Instances that know of a limit send it
// to their followers, which then start to report too; so a limit spreads through the whole fleet.
//
// How to use it: fill the struct, call QuotaLinkStart() once, and QuotaLinkUpdate() after each change of the plan or of the known limits.

#pragma once

#include "loop.h"

namespace Winchlink
{

// What a quota applies to. Each subject has its own Quota and reports.
enum QuotaSubject_ : uint8_t
{
    QuotaSubject_Customers,
    QuotaSubject_Targets,
    QuotaSubject_COUNT,
};

struct QuotaChannel
{
    Quota* State = nullptr;
    std::function<bool()> IsNeeded;         // Whether there is any quota or limit, so that reports are needed.
    std::function<bool(TimeUs now)> Decide; // Calls QuotaDecide() or QuotaDecideTargets().
    Timer Reporting;
};

struct QuotaLink
{
    EventLoop* Loop = nullptr;
    std::array<QuotaChannel, QuotaSubject_COUNT> Channels;
    std::string Own;                                     // IP:port at which other instances reach this one; empty: there are no others.
    int Port = 0;                                        // For datagrams; 0: the exchange is off.
    std::function<std::string()> Source;                 // Address of the instance's source; empty if unknown.
    std::function<std::vector<std::string>()> Seeds;     // Addresses of the other seeds.
    std::function<std::vector<std::string>()> Followers; // Addresses of all followers, including those that don't report.
    int Socket = -1;
    Watch Readable;
    std::string LastSource;  // Last known source; used while the instance reads the store itself.
    uint64_t Sent = 0;       // Datagrams sent.
    uint64_t Received = 0;   // Datagrams received.
    uint64_t Unreadable = 0; // Received datagrams that could not be decoded.

    QuotaLink() = default;
    ~QuotaLink();
    QuotaLink(const QuotaLink&) = delete;
    QuotaLink& operator=(const QuotaLink&) = delete;
};

// Opens the socket, if a port is set; Code_ListenFailed if that fails.
Result<void> QuotaLinkStart(QuotaLink* link);

// Starts or stops the reports of each subject, as needed. To be called when the plan or a target's limit has changed.
void QuotaLinkUpdate(QuotaLink* link);

enum QuotaMessage_ : uint8_t
{
    QuotaMessage_None,
    QuotaMessage_Report,     // To the source.
    QuotaMessage_SeedReport, // A report to another seed.
    QuotaMessage_Answer,     // A decision.
    QuotaMessage_COUNT,
};

// One datagram. Kind says whether it holds Report or Answer.
struct QuotaMessage
{
    QuotaMessage_ Kind = QuotaMessage_None;
    QuotaSubject_ Subject = QuotaSubject_Customers;
    QuotaReport Report;
    QuotaAnswer Answer;
};

// Encodes and decodes a datagram. Code_MessageMalformed if the bytes are invalid.
std::string EncodeQuota(const QuotaMessage& message);
Result<QuotaMessage> DecodeQuota(const std::string& bytes);

} // namespace Winchlink
