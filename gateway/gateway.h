// gateway.h: one instance: its parts, start, reload and planned stop.
//
// How to use it: GatewayStart(), then GatewayRun(). The event loop must outlive the gateway.

#pragma once

#include "adapter.h"
#include "crash_reports.h"
#include "forward.h"
#include "load_link.h"
#include "quota_link.h"
#include "relay.h"
#include "settings.h"

namespace Winchlink
{

// Long-poll times and timeouts of the calls to the sources of updates: the store and other instances (peers).
struct GatewayTiming
{
    TimeUs StoreWaitUs = 800 * UsPerMs;        // Long poll at the store; short enough that followers learn of its loss within 2 s.
    TimeUs UnfollowedWaitUs = 2 * UsPerSecond; // The same without peers: no instance follows this one, and longer polls mean fewer calls.
    TimeUs StoreMarginUs = 350 * UsPerMs;      // Added to the long poll of the store for the timeout of the call.
    TimeUs StoreBatchUs = 300 * UsPerMs;       // Pause after changes from the store, so that several arrive in one call.
    TimeUs PeerWaitUs = 950 * UsPerMs;         // Long poll at a peer; slightly longer than the interval of its heartbeats.
    TimeUs PeerMarginUs = 250 * UsPerMs;       // Added to the long poll of a peer for the timeout of the call: it may be busy.
    TimeUs PeerTryMarginUs = 150 * UsPerMs;    // The same for a short poll that only tries a peer: there are other sources.
    TimeUs StoreReadUs = 1500 * UsPerMs;       // Timeout of reading a page of the store.
    TimeUs PeerReadUs =
        1200 * UsPerMs; // Timeout of reading all items from a peer, which may delay its answer by half a second, or be frozen.
    TimeUs StoreConnectUs = 250 * UsPerMs; // Timeout of connecting to the store.
    TimeUs PeerConnectUs = 100 * UsPerMs;  // Timeout of connecting to a peer; short, as there are other sources to try.
    TimeUs ApplyUs = UsPerMs;              // Delay before updates are parsed and applied, so that they are sent to followers first.
};

// Items received from a source and not parsed yet.
struct StoreBatch
{
    std::vector<StoreItem> Items;
    uint64_t Revision = 0;   // Store revision of Items.
    bool IsSnapshot = false; // Items is a full snapshot; otherwise it holds the changes.
    TimeUs AfterUs = 0;      // Time at which the previous data was current, so that all changes are more recent; 0: there was none.
};

struct Gateway
{
    Settings Config;
    Adapter Platform;
    GatewayTiming Timing;
    std::string SettingsFile;  // Path; the file is read again on SIGHUP and when it changes.
    EventLoop* Loop = nullptr; // Borrowed.
    Random Rng;
    Client Targets;
    Client Control; // Calls to the store and to other instances, on connections apart from those to targets.
    StoreReader Store;
    Client PeerCalls; // Requests that are handed to other instances.
    Relay Peers;
    Forwarder Requests;
    CrashReports Crashes; // Exchange with other instances about requests that crash targets.
    DatagramLink Datagrams;
    LoadLink Load;    // Exchange with other instances about the load of targets and the room in data centres.
    QuotaLink Quotas; // Exchange with other instances about quotas of customers and limits of targets.
    Listener Callers;
    Listener Readiness;
    Listener Metrics;
    std::vector<SignalWatch> Signals;
    Timer TickTimer;                            // Next periodic work, such as the check of the settings file.
    std::vector<StoreBatch> PendingBatches;     // Batches sent to followers and not applied here yet, in order.
    Timer ApplyTimer;                           // Applies PendingBatches.
    Timer ForgetTimer;                          // Removes the next missing target whose retention is over.
    Timer StopTimer;                            // Next step of a planned stop.
    TimeUs StartedUs = 0;                       // Time of GatewayStart().
    uint64_t AppliedRevision = 0;               // Store revision of the last applied batch.
    LatencyStats DataAge;                       // Age of the data, sampled at each tick.
    TimeUs PlanUs = 0;                          // Time when the current plan was applied; 0 if there is none.
    std::map<std::string, std::string> Invalid; // Reasons why items of the store are invalid, by key.
    uint64_t InvalidSeen = 0;                   // Counter: items found invalid, without repetitions of the same fault.
    TimeUs StopUs = 0;                          // Time of the stop signal; 0 if none.
    TimeUs SuspendedUs = 0;                     // Counter: total time for which the machine was suspended.
    bool Stopped = false;                       // The planned stop is complete.
    int64_t SettingsTime = 0;                   // Modification time of the settings file, in Unix nanoseconds; 0 if unknown.

    Gateway() = default;
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;
};

// Starts an instance on the given loop.
Result<void> GatewayStart(Gateway* gateway, EventLoop* loop, const Adapter& adapter, const Settings& settings);

// Handles signals: SIGTERM and SIGINT call GatewayStop(), SIGHUP calls GatewayReload().
void GatewayWatchSignals(Gateway* gateway);

// Starts a planned stop: reports not ready, keeps serving until the balancer in front has noticed, then closes idle connections. `Stopped`
// is set when all connections are closed or the grace time is nearly over. A second call stops at once.
void GatewayStop(Gateway* gateway);

// Reads the settings file again. On a fault, logs it and keeps the old settings.
void GatewayReload(Gateway* gateway);

// Runs until the instance has stopped. Returns the number of requests that were still in progress.
int GatewayRun(Gateway* gateway);

} // namespace Winchlink
