// platform.h: the service "platform": reading the table and the list of instances from the platform's service.
//
// Reading one edit takes one call for the index, and one for each row that changed. A waiting watch on the index is one call. Only the
// few instances that membership names as readers call at all; the others learn rows from their peers. Runs on the control thread.

#pragma once

#include "fetch.h"
#include "winchlink.h"

#include <deque>

namespace Winchlink
{

enum PlatformState_ : int
{
    PlatformState_Idle,  // Waiting for its next turn.
    PlatformState_Index, // Watching or fetching the index.
    PlatformState_Rows,  // Fetching rows that changed.
    PlatformState_COUNT,
};

struct PlatformReader
{
    std::string Address; // IP:port of the service.
    PlatformState_ State = PlatformState_Idle;
    uint64_t FetchId = 0;                       // Index or instances fetch in progress.
    uint64_t ListFetchId = 0;                   // Fetch of the instances in progress.
    TableIndex Index;                           // Of the table being read.
    std::vector<std::string> Wanted;            // Rows still to be fetched.
    std::map<uint64_t, std::string> RowFetches; // Row fetches in progress.
    std::vector<ServiceRow> Rows;               // Rows fetched.
    bool RowsFailed = false;                    // Some row did not come.
    TimeUs AskedUs = 0;                         // When the index was last asked for.
    TimeUs NextIndexUs = 0;                     // Not before.
    TimeUs NextListUs = 0;                      // Not before.
    TimeUs BackoffUs = 0;                       // Grows while the platform does not answer.
    TimeUs LastContactUs = 0;                   // Last good answer; 0 if never.
    uint64_t Calls = 0;                         // Calls made.
    uint64_t Failures = 0;                      // Calls not answered.
    uint64_t SeenRevision = 0;                  // Revision it served last.
    bool Older = false;                         // It serves an older table than ours.
    std::string RefusedReason;                  // Why the newest table it serves was not taken.
    uint64_t RefusedRevision = 0;               // Which one.
    uint64_t SkipRevision = 0;                  // Failed its checks: wait for a newer one.
};

// What a step of the reader has brought.
struct PlatformNews
{
    TablePtr Read;                           // A complete, checked table; null if none.
    bool Answered = false;                   // The platform answered a call.
    bool Failed = false;                     // It did not.
    bool HasList = false;                    // List is set.
    std::vector<Endpoint> List;              // Live instances' control addresses.
    std::vector<std::string> LeavingTargets; // Addresses of targets that leave.
};

// Starts calls that are due. `reads` is whether this instance is a reader now; `have` is the table in force. True if a call was made.
bool PlatformTick(PlatformReader* reader, Fetcher* fetcher, bool reads, const Table& have, TimeUs now, Random* random);

// Takes a fetch result that is the reader's. False if it is not.
bool PlatformTake(PlatformReader* reader, Fetcher* fetcher, const FetchResult& result, const Table& have, TimeUs now, PlatformNews* news);

} // namespace Winchlink
