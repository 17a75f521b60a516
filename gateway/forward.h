// forward.h: a caller's request on its way to a target: matched, given a target, sent, and answered.
//
// A target's load shifts faster than any report of it can travel, so targets are asked right before a request is sent: near ones first,
// until one has a free slot at its usual pace. Where none of those asked has a free slot the request is refused at once; nothing queues at
// targets. A request that may not be repeated is sent again only after a target has said that it did not run it, or when it never left.
//
// How to use it: fill the struct, ForwarderFollow() after each change of the plan or the directory, ForwardRequest() for each request.

#pragma once

#include "client.h"
#include "listener.h"
#include "metrics.h"
#include "wire_names.h"

namespace Winchlink
{

struct ForwardConfig
{
    TimeUs SlowProbeUs = 5 * UsPerMs;       // A target that takes longer to tell its load is not waited for alone; usual: 0.6 to 3 ms.
    int MaxProbes = 8;                      // Questions asked for one attempt.
    size_t MaxOverLimit = 64;               // Targets at their limits that are passed over for one attempt: looking at each costs time.
    TimeUs ReuseUs = 8 * UsPerMs;           // A report is believed for so long without asking again.
    TimeUs AskAgainUs = 20 * UsPerMs;       // All busy: pause before asking again.
    double MaxChooseShare = 0.2;            // Part of a route's aim that choosing may take: 0.3 serves 0.5 % more in time.
    int MaxUnprobedFactor = 2;              // Where targets tell no load: our requests at one target, as a multiple of its slots.
    TimeUs ConnectUs = 250 * UsPerMs;       // To connect to a target on our own network.
    double MaxRetryAfterShare = 0.5;        // A refused caller comes back within this part of the time it has left.
    TimeUs UnhealthyRetryUs = 50 * UsPerMs; // A target with room refused: 2.4 % more in time where half is refused so.
    TimeUs FirstPlanUs = 600 * UsPerMs; // A start has its plan by then, also where it waits for a first contact that comes up 0.3 s later.
    size_t NeedyCallers = 6; // So many that wait for the first plan are worth a start's calls to the store: it is one or two, and
                             // they cost what up to five requests earn.
    TimeUs EmptyRetryUs = 500 * UsPerMs; // When to come back where there is no target or no plan yet.
    double SlowFactor = 1.7;             // An attempt that takes so many times as long as expected is slow (docs/MEASUREMENTS.md).
    double HedgeShare = 0.4;             // Part of the repeat budget for second attempts beside slow ones.
    TimeUs HedgeRetryUs = 50 * UsPerMs;  // No target for a second attempt: pause before looking again. Slots come free within this time.
    double RepeatShare = 0.2;            // See RepeatBudget.
    TimeUs RepeatWindowUs = 10 * UsPerSecond; //
};

struct Call;

// What targets of a service said of themselves: answers that named it.
struct SignalCounters
{
    uint64_t Limits = 0;     // A limit on their requests.
    uint64_t Backoffs = 0;   // That they want nothing for a while.
    uint64_t Leaving = 0;    // That they leave.
    uint64_t Unreadable = 0; // Values that make no sense.
    uint64_t OverLimit = 0;  // Requests passed over a target because it was at its limit.
};

// What an instance knows of one service.
struct ServiceState
{
    TargetPool Pool;
    RepeatBudget Repeats;
    AskTime Asks;                                                        // How long its targets may take to tell their load.
    ReturnSchedule Returns;                                              // Of callers that were refused because targets were busy.
    std::vector<std::weak_ptr<Call>> Waiting;                            // Requests that found all targets busy and will ask again.
    std::map<std::string, std::vector<std::shared_ptr<Call>>> Questions; // To targets, in progress: requests that wait for each answer.
    int InProgress = 0;                                                  // Requests not answered yet.
    std::optional<std::string> FollowedFrom;                             // Data centre for which Pool was last brought in line.
    RowMetrics Metrics;
    SignalCounters Signals;
};

// What is known of the work that a route's requests make.
struct RouteWork
{
    double MeanUs = 0; // At a target of cost 1; 0 before the first answer.
};

struct Forwarder
{
    ForwardConfig Config;
    WireNames Names;
    std::string DataCentre; // Own.
    EventLoop* Loop = nullptr;
    Client* Targets = nullptr;
    Random* Rng = nullptr;
    RoutePlanPtr Plan;                            // Null before the first.
    TimeUs StartedUs = 0;                         // When it began to take requests.
    std::vector<std::shared_ptr<Call>> Unplanned; // Requests that came before the first plan.
    std::function<void()> OnNeeded;               // Called for each NeedyCallers of them; may be empty.
    TargetDirectory Directory;                    //
    Timer Following;                              // ForwarderFollow() right after what is in progress.
    Quota Quotas;                                 // What customers may ask.
    Quota TargetLimits;                           // What targets that have named a limit take.
    std::function<void()> OnLimit;                // Called after each change of these; may be empty.
    Quarantine Held;                              // Requests that end targets.
    SilentEnds Silent;                            // What may turn out to be an end of a target.
    std::function<void()> OnTargetEnd;            // Called after each change of Held by this instance itself; may be empty.
    std::map<std::string, ServiceState> Services; // By name. Never erased: requests hold on to them.
    RowMetrics Unrouted;                          // Requests that belong to no service.
    std::map<int, LatencyStats> ByPriority;       // Answers, by the priority of the customer or the route.
    CustomersMetrics ByCustomer;                  // Of customers with a quota.
    std::map<std::string, RouteSplit> Splits;     // By route name.
    std::map<std::string, RouteWork> Work;        // By route name.
    bool Leaving = false;                         // Tell callers to open their next connection elsewhere.
    int InProgress = 0;                           // Requests not answered yet.
    std::string IdPrefix;                         // Of ids for requests that come without one.
    uint64_t LastId = 0;                          // Of those.
    uint64_t AsksSent = 0;                        // Counters: questions to targets,
    uint64_t AsksShared = 0;                      // and requests that found the same question on its way.
};

// Brings pools in line with plan and directory; only those whose targets have changed are looked at.
void ForwarderFollow(Forwarder* forwarder);

void ForwardRequest(Forwarder* forwarder, const ExchangePtr& exchange);

// Whether a request may be worked on beside others of its connection: its route says that it may run more than once.
bool ForwardMayOverlap(const Forwarder& forwarder, const Exchange& exchange);

} // namespace Winchlink
