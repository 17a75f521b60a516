// routing.h: what traffic threads see: an immutable snapshot of the table, and the running state of each row.
//
// The control thread publishes snapshots and never takes a row's mutex; traffic threads bring a row's router in line with the newest
// snapshot when they first touch it. The one lock that both sides take is that of a row's permits (permits.h), for a few assignments: no
// traffic thread waits for what the control thread does.
//
// Index of this file:
// [SECTION] Rows
// [SECTION] Snapshots

#pragma once

#include "metrics.h"
#include "winchlink.h"

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <condition_variable>
#include <functional>
#include <mutex>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Rows
//-----------------------------------------------------------------------------

// What the control thread knows of a target's run.
struct RunNews
{
    TargetRun Run;         // Latest known.
    TimeUs ReportedUs = 0; // When its load was reported; 0 if never.
};

// A row's permits; traffic threads take and give, the control thread borrows and lends.
struct RowPermits
{
    std::mutex Mutex;              // Guards all below; held for a few assignments only.
    std::condition_variable Freed; // A permit came back, or was lent to us.
    Permits Book;
    TimeUs EmptyUs = 0;    // When nobody waited for one, last.
    bool Reported = false; // The control thread has been told that permits are wanted.
};

// The running state of a row; it outlives snapshots. Only traffic threads and the operators' pages lock it.
struct RowState
{
    std::mutex Mutex;      // Guards all below.
    Router Balance;        // The row's targets.
    RetryBudget Retries;   // The row's share of retries.
    RowMetrics Metrics;    // What callers got.
    Random Rng;            // For the two choices.
    uint64_t Followed = 0; // Serial of the snapshot the router was last brought in line with.
    RowPermits Limit;      // Has its own mutex.
};

//-----------------------------------------------------------------------------
// [SECTION] Snapshots
//-----------------------------------------------------------------------------

struct SnapshotRow
{
    std::shared_ptr<RowState> State; // Running state.
    std::vector<RunNews> News;       // One per target, in the row's order.
};

struct Snapshot
{
    uint64_t Serial = 0;             // Grows with each snapshot.
    TablePtr Rows;                   // Never null.
    std::vector<SnapshotRow> States; // In the order of Rows->Rows.
    uint32_t Number = 0;             // Own number.
    uint32_t Numbers = 1;            // Numbers of the fleet.
    bool Serving = false;            // Has a table that it may believe.
    std::string DataCentre;          // Own.
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

inline constexpr size_t ReportQueueSize = 4096;
inline constexpr size_t WantedQueueSize = 4096; // More than a table can have rows.

// The service "routing".
struct Routing
{
    SnapshotPtr Latest = std::make_shared<Snapshot>();          // Use RoutingLatest().
    boost::lockfree::queue<TargetRun> Reports{ReportQueueSize}; // From traffic threads to the control thread.
    std::atomic<uint64_t> ReportsDropped{0};                    // Queue full.
    boost::lockfree::queue<uint64_t> Wanted{WantedQueueSize};   // Rows that want permits, by the hash of their name.
    std::function<void()> WakeControl;                          // Ends the control thread's wait. Set before traffic starts.
    std::atomic<TimeUs> PermitsFromUs{0};                       // Own shares of all rows may be used from then on.
    std::atomic<TimeUs> ControlTickUs{0};                       // Last tick of the control thread.
    std::atomic<bool> CaughtUp{true};                           // False after a pause until peers were heard.
    std::atomic<bool> Leaving{false};                           // Planned stop has begun: not ready.
    std::atomic<bool> Refusing{false};                          // New requests are refused.
    std::atomic<int> InProgress{0};                             // Requests in progress.
};

SnapshotPtr RoutingLatest(const Routing& routing);
void RoutingPublish(Routing* routing, SnapshotPtr snapshot);

// False from a pause until the control thread has ticked and caught up. Check it right before sending.
bool RoutingIsAwake(const Routing& routing);

// Brings a row's router in line with the snapshot. The row's mutex must be held.
void RowFollow(RowState* state, const Snapshot& snapshot, size_t row_index, TimeUs now);

} // namespace Winchlink
