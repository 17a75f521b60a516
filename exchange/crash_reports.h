// crash_reports.h: exchange between instances of which requests have crashed targets (Quarantine in winchlink.h).
//
// Updates travel both ways along the tree in which instances follow each other. An instance with new entries pushes them to its source. Its
// followers are notified by a digest in the next long-poll answer, which is sent at once; if theirs differs, they push all that they know
// and get the instance's entries in the answer. Several instances may read the store, so there can be more than one tree for a while: these
// push to the seeds, and compare digests with them as long as anything is known. Each exchange is one call that carries all entries that
// either side knows; there are no calls while nothing is known. An instance that was cut off, or has just started, catches up with the
// first answer of its source.
//
// How to use it: fill in a CrashReports, call CrashReportsChanged() after each local change of the quarantine, CrashReportsSourceAnswered()
// for each answer of the source, CrashReportsReceived() for each incoming call, and CrashReportsCompare() regularly in instances that read
// the store.

#pragma once

#include "client.h"

namespace Winchlink
{

struct CrashReports
{
    TimeUs BatchUs = 100 * UsPerMs;   // Shortest time between two rounds of calls, and between two notifications of followers.
    TimeUs TimeoutUs = 600 * UsPerMs; // Timeout of a call. A failed call is not retried: the source's next answer triggers another.
    TimeUs ConnectUs = 100 * UsPerMs; // Timeout for its connection.
    EventLoop* Loop = nullptr;
    Client* Calls = nullptr;
    Quarantine* Known = nullptr;
    std::function<std::vector<std::string>()> Peers; // Addresses to push to: the source, or the seeds.
    std::function<void()> OnNotify;                  // Called to notify the followers.
    int InProgress = 0;                              // Calls in flight.
    bool PushWanted = false;                         // More calls are to follow these.
    TimeUs PushedUs = 0;                             // Start of the last round of calls.
    TimeUs NotifiedUs = 0;                           // Time of the last notification of followers.
    Timer PushTimer;                                 // Starts the next round of calls.
    Timer NotifyTimer;                               // Sends the next notification to followers.
    uint64_t CallsMade = 0;                          // Counter.
};

struct CrashReportsMessage
{
    uint64_t Digest = 0;                    // Digest of all entries that the sender knows, see Quarantine.
    std::vector<TargetCrashUpdate> Updates; // All these entries; empty to compare digests only.
};

// This instance itself has changed the quarantine.
void CrashReportsChanged(CrashReports* reports);

// The source has answered a poll; `digest` is of the entries that it knows.
void CrashReportsSourceAnswered(CrashReports* reports, uint64_t digest);

// Compares digests with the others, if anything is known. For instances that read the store, which have no source whose answers carry a
// digest.
void CrashReportsCompare(CrashReports* reports);

// Handles an incoming call. Returns the answer: all entries that this instance knows, or an empty string if the digests are equal after the
// update.
std::string CrashReportsReceived(CrashReports* reports, const std::string& bytes);

// Encodes and decodes a message. Decoding returns Code_MessageMalformed for invalid bytes.
std::string EncodeCrashReports(const CrashReportsMessage& message);
Result<CrashReportsMessage> DecodeCrashReports(const std::string& bytes);

} // namespace Winchlink
