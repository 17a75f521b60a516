// forward.h: handles a caller's request: matches its route, chooses a target, sends the request there and answers the caller.
//
// A target's load changes faster than reports of it can be distributed, so targets are probed right before a request is sent: near ones
// first, until one has a free slot at its usual pace. If no probed target gets a free slot in time, the request is refused; requests are
// not queued at targets. A request that must not run twice is retried only if it was never sent, or if the target declared that it did not
// run it.
//
// How to use it: fill in a Forwarder, call ForwarderFollow() after each change of the plan or the directory, and ForwardRequest() for each
// request.

#pragma once

#include "client.h"
#include "listener.h"
#include "metrics.h"
#include "wire_names.h"

namespace Winchlink
{

struct ForwardConfig
{
    ChooserConfig Choosing;                 // See Chooser.
    TimeUs ConnectUs = 250 * UsPerMs;       // Timeout for connecting to a target.
    double MaxRetryAfterShare = 0.5;        // Upper bound of Retry-After, as a part of the caller's remaining time.
    TimeUs UnhealthyRetryUs = 10 * UsPerMs; // Retry-After where a target refused although it had free slots: none has to come free.
    TimeUs FirstPlanUs =
        600 * UsPerMs; // After a start: longest time that requests wait for the first plan. Covers a seed that starts 0.3 s later.
    size_t PlanWaitersPerStoreCall = 6;      // Requests waiting for the first plan per call of OnPlanNeeded.
    TimeUs EmptyRetryUs = 500 * UsPerMs;     // Retry-After where there is no target or no plan yet.
    double SlowFactor = 1.7;                 // An attempt is slow after this multiple of its expected duration.
    double HedgeShare = 0.4;                 // Part of the retry budget that hedged requests may use.
    double FirstTryShare = 0.25;             // Once this part is used, first tries whose callers can come back in time are not retried; 1:
                                             // first tries aren't told from later ones, here nor in the order in which requests wait.
    TimeUs HedgeRetryUs = 50 * UsPerMs;      // No target found for a hedge: delay before trying again. Slots come free within this time.
    TimeUs TakenAgeUs = 1500 * UsPerMs;      // A request is not taken from an instance whose data is more current by this.
    double RetryShare = 0.2;                 // See RetryBudget.
    TimeUs RetryWindowUs = 10 * UsPerSecond; // See RetryBudget.
};

struct Call;

// State of the store's data by which a request is decided; for the log.
struct DataState
{
    uint64_t Revision = 0; // Store revision up to which changes are in force.
    TimeUs AgeUs = -1;     // Time since the data was known to be current; -1 if there is none.
    std::string ReadBy;    // Instance that reads the store for this one.
    std::string Source;    // Where this instance gets the data: the store or another instance.
};

// Counters of signals in the answers of a service's targets.
struct SignalCounters
{
    uint64_t Limits = 0;    // Rate limits.
    uint64_t Backoffs = 0;  // Requests for backoff.
    uint64_t Draining = 0;  // Notices that they are draining.
    uint64_t Invalid = 0;   // Invalid values.
    uint64_t OverLimit = 0; // Targets skipped because they were at their rate limits.
};

// State of one service in this instance.
struct ServiceState
{
    std::string Name;
    TargetPool Pool;
    TargetPath Path;
    Timer PathCheck;   // Next check of the path while it is not open.
    Timer PathChanged; // Lets requests that are choosing a target go on.
    RetryBudget Retries;
    AdaptiveProbeTimeout ProbeTimeout;        // Timeout of probes, adapted to the targets' response times.
    RetrySchedule RetryTimes;                 // Computes Retry-After for callers refused because targets were busy.
    std::vector<std::weak_ptr<Call>> Waiting; // Requests that found all targets busy and will probe again.
    // Probes in flight, by target id: the requests that await the answer.
    std::map<std::string, std::vector<std::shared_ptr<Call>>> Probes;
    int InProgress = 0;                      // Requests not answered yet.
    std::optional<std::string> FollowedFrom; // Value of Forwarder::DataCentre at the last update of Pool.
    RowMetrics Metrics;
    SignalCounters Signals;
    LoadSharing Sharing; // Exchange of load reports with other instances.
    Division Divided;    // Requests that other data centres serve.
};

// What is learnt of a route's requests.
struct RouteWork
{
    double MeanUs = 0;       // Mean duration at a target of cost 1; 0 before the first answer.
    double AnswerBytes = 0;  // Mean size of the answers; 0 before the first one.
    CallerTimeouts Timeouts; // Named by own callers.
};

struct Forwarder
{
    ForwardConfig Config;
    WireNames Names;
    std::string DataCentre; // Data centre of this instance.
    EventLoop* Loop = nullptr;
    Client* Targets = nullptr;
    OwnLink Link; // What the link of this instance's machine carries.
    Random* Rng = nullptr;
    RoutePlanPtr Plan;                            // Null until the first plan.
    TimeUs StartedUs = 0;                         // Time at which this instance began to accept requests.
    std::vector<std::shared_ptr<Call>> Unplanned; // Requests that wait for the first plan.
    std::function<void()> OnPlanNeeded;           // Called each time PlanWaitersPerStoreCall more of them wait; may be empty.
    std::function<DataState()> CurrentData;       // Returns the state of the data; may be empty.
    LatencyStats DataAge;                         // Age of the data when requests were decided.
    TargetDirectory Directory;
    Timer FollowTimer;                            // Calls ForwarderFollow() once the current event has been handled.
    Quota Quotas;                                 // Customers' quotas.
    Quota TargetLimits;                           // Rate limits set by targets.
    std::function<void()> OnTargetLimitChanged;   // Called after each change of TargetLimits; may be empty.
    Quarantine Quarantined;                       // Requests that crash targets.
    SilentCrashes Unanswered;                     // Attempts that ended without an answer: a crash of their target may be detected later.
    std::function<void()> OnQuarantineChanged;    // Called when this instance itself has changed the quarantine; may be empty.
    std::map<std::string, ServiceState> Services; // By name. Never erased: requests keep pointers to them.
    RowMetrics Unrouted;                          // Metrics of requests that were assigned to no service.
    std::map<int, LatencyStats> ByPriority;       // Latency of answers, by the priority of the customer or the route.
    CustomersMetrics ByCustomer;                  // Metrics of customers with a quota.
    std::map<std::string, RouteSplit> Splits;     // By route name.
    std::map<std::string, RouteWork> Work;        // By route name.
    Peers Others;                                 // Other instances that take over requests.
    Client* PeerCalls = nullptr;                  // For requests that are handed to them; null: none are.
    int Taken = 0;                                // Requests of other instances in progress; counted in InProgress too.
    uint64_t TakenCount = 0;                      // Counter: requests of other instances that were taken.
    LatencyStats HandoffLatency;                  // From the offer of a request to its answer.
    bool Draining = false;                        // See ForwarderDrain().
    TimeUs AnswerByUs = 0;                        // While draining: the time by which all requests must have been answered.
    std::set<std::shared_ptr<Call>> Calls;        // Requests not answered yet.
    int InProgress = 0;                           // Number of Calls.
    std::string IdPrefix;                         // Prefix of ids for requests that come without one.
    uint64_t LastId = 0;                          // Number of the last generated id.
    uint64_t ProbesSent = 0;                      // Counter: probes sent.
    uint64_t ProbesShared = 0;                    // Counter: requests that shared a probe in flight.

    // Off while instances share no load reports.
    bool Divides = false;                                       // Requests are divided between data centres.
    std::function<void(ServiceState*)> OnTargetBusy;            // A request found a target without a free slot, or none.
    std::function<void(ServiceState*, PoolTarget*)> OnSlotFree; // An answer has shown a free slot of its target.
};

// Updates the services' pools from the plan and the directory. Only pools whose targets have changed are updated.
void ForwarderFollow(Forwarder* forwarder);

void ForwardRequest(Forwarder* forwarder, const ExchangePtr& exchange);

// The instance will stop: all requests are answered by this time. What a target is not expected to answer by then is not sent to one any
// more, but refused, and no request of another instance is taken.
void ForwarderDrain(Forwarder* forwarder, TimeUs answer_by);

// Another instance has offered a free slot of the target: lets the most urgent request that waits for one go on. Does nothing if `offered`
// is null.
void TakeOffer(ServiceState* service, PoolTarget* offered);

// Whether a pipelined request may be handled concurrently with others of its connection: only if its route allows it to run more than once.
bool ForwardMayOverlap(const Forwarder& forwarder, const Exchange& exchange);

} // namespace Winchlink
