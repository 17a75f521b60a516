// quota_fleet.h: a fleet that keeps quotas, in virtual time: instances in a tree, three first contacts, customers that ask; or, in place of
// customers, targets that name limits, of which an instance hears from the target itself or from other instances.
//
// The decisions are the library's own (Quota in winchlink.h); what stands here is the carrying of messages, with delays, losses and cuts,
// and the counting of what is admitted over all instances, which nobody in the fleet does.

#pragma once

#include "check.h"

namespace Winchlink
{

inline constexpr int ContactsMost = 3; // First contacts.
inline constexpr int FollowersMost = 28;

struct QuotaFleetInstance
{
    Quota Known;
    int Parent = -1;        // Whom it follows; none: a first contact.
    int Side = 0;           // Instances on different sides don't reach each other.
    TimeUs DownUntilUs = 0; // It is down, or without power, until then; it knows nothing afterwards.
    TimeUs NextUs = 0;      // Its next report.
    bool Paused = false;    // It does nothing, and goes on later with what it knew.
};

struct QuotaFleetMessage
{
    TimeUs AtUs = 0; // When it arrives.
    int From = 0;
    int To = 0;
    bool Contact = false;
    std::optional<QuotaReport> Report;
    std::optional<QuotaAnswer> Answer;
};

// A customer and what it asks for; or a target, and what would be sent to it without a limit.
struct QuotaFleetCustomer
{
    size_t Index = 0; // In Customers.
    bool IsTarget = false;
    bool Names = false;      // A target: its answers name the limit now.
    TimeUs NamedUs = 0;      // When it began to.
    double AskedPerS = 0;    // Requests a second of all its callers.
    double Backlog = 0;      // Of a request: so much is due.
    std::deque<TimeUs> Runs; // Admitted in the last window, over all instances.
    size_t Asked = 0;        // Counters.
    size_t Admitted = 0;
    size_t MostInWindow = 0;
};

struct QuotaFleet
{
    Customers All;
    std::vector<QuotaFleetCustomer> Asking;
    std::vector<QuotaFleetInstance> Instances;
    std::deque<QuotaFleetMessage> Messages; // By arrival.
    Random Rng;
    TimeUs Now = UsPerSecond;
    double Lost = 0.01; // Datagrams.
    TimeUs DelayUs = 2 * UsPerMs;
    double Uneven = 1;        // Each instance gets up to so many times as much as another.
    std::vector<double> Pull; // How much of the requests each instance gets.
    uint64_t DatagramsSent = 0;
    QuotaConfig Config;
    bool OfTargets = false; // All in Asking are targets: nothing is told before a limit is known.
    bool Alone = false;     // Planted: instances tell each other nothing and take themselves for the fleet.

    QuotaFleet(int instances, uint64_t seed, const QuotaConfig& config = QuotaConfig());
};

// A fleet that keeps limits of targets.
QuotaFleet TargetFleet(int instances, uint64_t seed);

// A target that takes `limit` requests a second and would get `asked`. It names its limit from now on. Returns its place in Asking.
size_t QuotaFleetAddTarget(QuotaFleet* fleet, double limit, double asked);

// From now on the target names another limit, or none.
void QuotaFleetName(QuotaFleet* fleet, size_t target, std::optional<double> limit);

// A customer that may make `rate` requests a second, with as many on top, and asks for `asked`. Returns its place in Asking.
size_t QuotaFleetAdd(QuotaFleet* fleet, double rate, double asked);

// Plays the time.
void QuotaFleetRun(QuotaFleet* fleet, TimeUs time);

// The instance starts anew after `down`.
void QuotaFleetRestart(QuotaFleet* fleet, int instance, TimeUs down);

// Requests that may run in any window.
double QuotaFleetBound(const QuotaFleet& fleet, const QuotaFleetCustomer& asking);

// Share of its requests that was admitted since the last call.
double QuotaFleetServed(QuotaFleetCustomer* asking);

} // namespace Winchlink
