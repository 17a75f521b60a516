// permits.h: a row's permits in the daemon: traffic threads take and give them, the control thread borrows and lends them.
//
// How to use it: traffic calls PermitAcquire() before a request is worked on and PermitRelease() on every way out. The control thread
// calls PermitDeskTick() in each round of its loop. The decisions are the library's (winchlink.h, section Permits).
//
// Index of this file:
// [SECTION] Traffic threads
// [SECTION] Control thread

#pragma once

#include "routing.h"

#include <set>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Traffic threads
//-----------------------------------------------------------------------------

// Takes a permit for a request that ends at `deadline`. Waits some milliseconds for one to be lent where none is free and peers may have
// some; PermitKind_None if none came.
Permit PermitAcquire(Routing* routing, RowState* state, TimeUs deadline);

// Takes one for a hedge: only of our own, and only if another one is left for the next request. Asks nobody.
Permit PermitForHedge(RowState* state, TimeUs deadline);

void PermitRelease(RowState* state, const Permit& permit);

//-----------------------------------------------------------------------------
// [SECTION] Control thread
//-----------------------------------------------------------------------------

struct PermitCounts
{
    uint64_t Asks = 0;     // Requests sent to peers.
    uint64_t HeldBack = 0; // Rounds in which asking had to wait for its rate limit.
};

struct PermitDesk
{
    PermitConfig Config;
    std::map<uint64_t, std::shared_ptr<RowState>> Rows; // By the hash of their names; those of the table in force.
    std::set<uint64_t> Active;                          // Rows with leases or requests for them.
    PermitCounts Counts;
    double AskTokens = 0;   // Requests that may be sent at once.
    TimeUs TokensUs = 0;    // When the tokens were last counted.
    TimeUs NextSweepUs = 0; // When leases are next looked through for those that ended.
};

// Brings the books in line with the rows of a new snapshot. Returns when the own shares of all rows may be used.
TimeUs PermitDeskFollow(PermitDesk* desk, const Snapshot& snapshot, TimeUs now);

// Answers what came, asks for what is wanted, gives back what lies idle. Appends what is to be sent.
void PermitDeskTick(PermitDesk* desk, Routing* routing, Coordinator* fleet, TimeUs now, std::vector<Envelope>* out);

} // namespace Winchlink
