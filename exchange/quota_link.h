// quota_link.h: exchange of quota reports and decisions (Quota in winchlink.h) between instances, in UDP datagrams. Customers' quotas and
// targets' limits are exchanged separately.
//
// Each instance sends the sums of itself and its followers to its source, which answers with the decision; seeds send their sums to each
// other and decide. Each datagram holds totals and no changes, so lost ones are not sent again.
//
// Nothing is sent about customers while none has a quota, nor about targets while no limit is known. Instances that know of a limit send it
// to their followers, which then start to report too; so a limit spreads through the whole fleet.
//
// How to use it: fill the struct, call QuotaLinkStart() once before DatagramLinkStart(), and QuotaLinkUpdate() after each change of the
// plan or of the known limits.

#pragma once

#include "datagram_link.h"

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
    DatagramLink* Datagrams = nullptr;                   // Carries the exchange; it is off while the link is closed.
    std::function<std::string()> Source;                 // Address of the instance's source; empty if unknown.
    std::function<std::vector<std::string>()> Seeds;     // Addresses of the other seeds.
    std::function<std::vector<std::string>()> Followers; // Addresses of all followers, including those that don't report.
    std::string LastSource;                              // Last known source; used while the instance reads the store itself.

    QuotaLink() = default;
    QuotaLink(const QuotaLink&) = delete;
    QuotaLink& operator=(const QuotaLink&) = delete;
};

// Takes the messages of its channel.
void QuotaLinkStart(QuotaLink* link);

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
