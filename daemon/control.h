// control.h: the service "control": the one thread that holds control state.
//
// It runs the coordinator, the transport, the platform reader and the probes, and publishes snapshots for traffic threads. Other threads
// talk to it only through Routing (snapshots out, reports in) and ControlView (what the operators' pages show).

#pragma once

#include "fetch.h"
#include "kernel.h"
#include "permits.h"
#include "platform.h"
#include "routing.h"
#include "settings.h"
#include "transport.h"

#include <thread>

namespace Winchlink
{

struct PeerView
{
    std::string Address;   // Control address.
    uint64_t Revision = 0; // What it holds; 0 if only heard of.
    TimeUs HeardAgoUs = 0; // Since anybody heard it.
    bool Direct = false;   // We have heard it ourselves.
};

struct BudgetView
{
    uint64_t Probes = 0;  // Probes sent by this instance.
    uint64_t SpentUs = 0; // Target time they were charged.
};

// What the control thread tells the operators' pages; immutable.
struct ControlView
{
    TableVersion InForce;  // Table in force.
    TableVersion Accepted; // Highest version known to be safe.
    TimeUs AdoptedUs = 0;  // When InForce came in force here.
    bool Joined = false;
    bool Alone = false; // Believed the platform because no peer answered.
    InstanceState_ State = InstanceState_Joining;
    uint64_t Conflicts = 0;    // Two contents under one revision.
    std::string RefusedReason; // Of a newer table that was not taken.
    uint64_t RefusedRevision = 0;
    bool PlatformReads = false; // This instance reads the platform.
    bool PlatformOlder = false; // The platform serves an older table.
    uint64_t PlatformSeen = 0;  // Revision it served last.
    uint64_t PlatformCalls = 0;
    uint64_t PlatformFailures = 0;
    TimeUs PlatformContactUs = 0; // Last good answer; 0 if never.
    std::vector<PeerView> Peers;
    BudgetView Measuring;
    PermitCounts Permits;
    uint64_t StreamsDropped = 0; // Messages over TCP that were given up.
    CoordinatorCounts Messages;
    uint64_t ReplaysRefused = 0;
    uint64_t Pauses = 0;
    uint64_t SendErrors = 0;
    TimeUs CpuUs = 0;  // Processor time of the control thread.
    TimeUs MadeUs = 0; // When this view was made.
};

using ControlViewPtr = std::shared_ptr<const ControlView>;

// A probe in progress.
struct Probe
{
    std::string Row;     // For whose budget.
    std::string Address; // Which target.
};

struct Control
{
    Settings Config;                  // Own copy.
    Routing* Routes = nullptr;        // Found by name at start.
    UpstreamPool* Upstream = nullptr; // Found by name at start; its idle connections are closed from here.
    Coordinator Fleet;                // Control state.
    Transport Wire;
    Fetcher Fetches;
    PlatformReader Platform;
    Budget Measuring;
    PermitDesk Permits;
    std::map<uint64_t, Probe> Probes;                           // In progress, by fetch id.
    std::map<TargetKey, TimeUs> LastNewsUs;                     // When a target was last probed by us, to probe the most silent first.
    std::map<std::string, std::shared_ptr<RowState>> RowStates; // By row name; outlive snapshots.
    TablePtr Published;                                         // Table of the last snapshot.
    uint64_t Serial = 0;                                        // Of the last snapshot.
    bool PublishedServing = false;
    uint64_t PublishedRuns = 0;                            // Changes of targets' runs that the last snapshot holds.
    TimeUs NextViewUs = 0;                                 // Next ControlView.
    TimeUs NextProbeUs = 0;                                // Next look at the turns.
    TimeUs NextPruneUs = 0;                                // Next closing of idle connections.
    ControlViewPtr View = std::make_shared<ControlView>(); // Use ControlLatest().
    std::atomic<bool> StopWanted{false};
    std::atomic<bool> LeaveWanted{false}; // Say goodbye to the peers.
    bool LeaveSaid = false;
    std::thread Thread;
};

Result<void> ControlStart(Control* control, const Kernel& kernel);
void ControlStop(Control* control);
ControlViewPtr ControlLatest(const Control& control);

} // namespace Winchlink
