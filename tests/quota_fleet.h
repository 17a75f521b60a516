// quota_fleet.h: model of a fleet that enforces quotas, in virtual time. Instances form a tree below up to three seeds; customers send
// requests to them. A fleet may have targets with limits in place of customers; instances learn a limit from the target's answers or
// from other instances.
//
// Decisions are those of the library (Quota in winchlink.h). The model delivers the messages, with delays, losses and partitions, and
// counts the requests that all instances admit.

#pragma once

#include "check.h"

namespace Winchlink
{

inline constexpr int SeedCountMax = 3; // Maximum number of seeds.
inline constexpr int FollowersMost = 28;

struct QuotaFleetInstance
{
    Quota Known;
    int Parent = -1;        // Source that it follows; -1 for a seed.
    int PartitionId = 0;    // Instances of different partitions can't reach each other.
    TimeUs DownUntilUs = 0; // Until then it is down; it restarts without state.
    TimeUs NextUs = 0;      // Time of the next report.
    bool Paused = false;    // Does nothing, but keeps its state.
};

struct QuotaFleetMessage
{
    TimeUs AtUs = 0; // Arrival.
    int From = 0;
    int To = 0;
    bool ToSeed = false;
    std::optional<QuotaReport> Report;
    std::optional<QuotaAnswer> Answer;
};

// A customer and its requests; or a target, and the requests that it would get without a limit.
struct QuotaFleetCustomer
{
    size_t Index = 0; // Index in QuotaFleet::All.
    bool IsTarget = false;
    bool NamesLimit = false;       // Of a target: its answers name the limit.
    TimeUs LimitSinceUs = 0;       // Since when they name the present limit, or none.
    double RequestedPerS = 0;      // Request rate over all its callers.
    double Backlog = 0;            // Fraction of a request that is due.
    std::deque<TimeUs> AdmittedUs; // Times of the requests admitted in the last window, over all instances.
    size_t Requested = 0;          // Requests since the last call of QuotaFleetServed.
    size_t Admitted = 0;
    size_t MaxInWindow = 0;
};

struct QuotaFleet
{
    Customers All;
    std::vector<QuotaFleetCustomer> Loads;
    std::vector<QuotaFleetInstance> Instances;
    std::deque<QuotaFleetMessage> Messages; // In order of arrival.
    Random Rng;
    TimeUs Now = UsPerSecond;
    double LossProbability = 0.01; // Probability that a datagram is lost.
    TimeUs DelayUs = 2 * UsPerMs;
    double LoadRatioMax = 1;     // Highest ratio between the request rates of two instances.
    std::vector<double> Weights; // Relative request rate of each instance; drawn if empty.
    uint64_t DatagramsSent = 0;
    QuotaConfig Config;
    bool OfTargets = false; // Loads holds targets: instances send nothing before they know a limit.
    bool Isolated = false;  // Injected fault: instances send nothing and each decides as if it were the whole fleet.

    QuotaFleet(int instances, uint64_t seed, const QuotaConfig& config = QuotaConfig());
};

// A fleet that enforces limits of targets.
QuotaFleet TargetFleet(int instances, uint64_t seed);

// Adds a target that names a limit of `limit` requests a second and would get `asked`. Returns its index in Loads.
size_t QuotaFleetAddTarget(QuotaFleet* fleet, double limit, double asked);

// Changes the limit that the target names from now on; none if empty.
void QuotaFleetSetLimit(QuotaFleet* fleet, size_t target, std::optional<double> limit);

// Adds a customer with a quota of `rate` requests a second and a burst of the same size, that sends `asked`. Returns its index in Loads.
size_t QuotaFleetAdd(QuotaFleet* fleet, double rate, double asked);

// Advances the virtual time by `time`.
void QuotaFleetRun(QuotaFleet* fleet, TimeUs time);

// Restarts the instance without state; it is down for `down`.
void QuotaFleetRestart(QuotaFleet* fleet, int instance, TimeUs down);

// Maximum number of requests that may be admitted in any window.
double QuotaFleetBound(const QuotaFleet& fleet, const QuotaFleetCustomer& load);

// Share of its requests that were admitted since the last call; resets the counters.
double QuotaFleetServed(QuotaFleetCustomer* load);

} // namespace Winchlink
