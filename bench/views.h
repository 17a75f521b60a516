// views.h: coordinators of many instances in one process: for what can be asked of the library alone at the size of thousands.
//
// Do the few instances that serve a row find each other, what does that cost, and how long does an edit take to reach all. Messages
// arrive at the next step and nothing fails.

#pragma once

#include "winchlink.h"

namespace Winchlink
{

struct ViewsPlan
{
    uint32_t Instances = 240; // All start at once, with a few seeds each.
    uint32_t RowNumbers = 11; // Instances that serve a row.
    size_t ViewMax = 64;      // Peers in a view.
    int Seconds = 60;         // Of simulated time.
    bool KeepSharing = true;  // False: views that don't prefer those who share a row, as a planted fault.
    uint64_t Seed = 1;
};

struct ViewsResult
{
    double KnownShare = 0;      // Of all pairs that share a row, those that know each other at the end.
    double KnownLeast = 0;      // The least such share in the last third of the time.
    int SecondsToMost = -1;     // Until 99 in 100 pairs knew each other; -1: never.
    double BytesPerSecond = 0;  // Sent and received by one instance, in the last third.
    double EditP50Ms = 0;       // From the first instance that has an edit to half of the others; three edits.
    double EditMostMs = 0;      // To the last one, of all edits; -1: not within a minute.
    double MicrosPerSecond = 0; // Processor time of one instance, in the last third.
};

ViewsResult PlayViews(const ViewsPlan& plan);

} // namespace Winchlink
