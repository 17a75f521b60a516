// routing.cpp: what traffic threads see.

#include "routing.h"

#include "clock.h"

namespace Winchlink
{

SnapshotPtr RoutingLatest(const Routing& routing)
{
    return std::atomic_load(&routing.Latest);
}

void RoutingPublish(Routing* routing, SnapshotPtr snapshot)
{
    std::atomic_store(&routing->Latest, std::move(snapshot));
}

bool RoutingIsAwake(const Routing& routing)
{
    return routing.CaughtUp && NowUs() - routing.ControlTickUs < PauseUs;
}

void RowFollow(RowState* state, const Snapshot& snapshot, size_t row_index, TimeUs now)
{
    if (state->Followed >= snapshot.Serial)
    {
        return; // A thread with a newer snapshot was here first.
    }
    const ServiceRow& row = snapshot.Rows->Rows[row_index];
    const RowPlace place = PlaceInRow(row, snapshot.Number, snapshot.Numbers);
    RouterFollow(&state->Balance, row, snapshot.DataCentre, static_cast<int>(place.Count));
    for (const RunNews& news : snapshot.States[row_index].News)
    {
        RouterMergeRun(&state->Balance, news.Run, news.ReportedUs, now);
    }
    state->Followed = snapshot.Serial;
}

} // namespace Winchlink
