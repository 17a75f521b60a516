// baselines.cpp: ordinary policies, behind the product's own interface, for comparison.
//
// The bench build of the daemon (winchlink_baselines) links this file in place of winchlink_pick.cpp. WINCHBENCH_POLICY names the policy:
//   roundrobin      by weight, in turn
//   random          by weight
//   least           fewest requests in flight, in this instance's own view
//   two             two random candidates, the one with fewer in flight in this instance's own view
//   reported        least load as last reported, whatever its age
// They have the same limits and know of leaving targets, but neither ejection nor latency nor hedges: that is what makes them ordinary.

#include "winchlink_internal.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>

namespace Winchlink
{

static std::string ReadPolicyName()
{
    const char* name = getenv("WINCHBENCH_POLICY");
    return name != nullptr ? name : "roundrobin";
}

static const std::string& PolicyName()
{
    static const std::string name = ReadPolicyName();
    return name;
}

static RouterTarget* DrawByWeight(const std::vector<RouterTarget*>& from, Random* random)
{
    int sum = 0;
    for (const RouterTarget* target : from)
    {
        sum += target->Weight;
    }
    int point = std::uniform_int_distribution<int>(0, sum - 1)(*random);
    for (RouterTarget* target : from)
    {
        point -= target->Weight;
        if (point < 0)
        {
            return target;
        }
    }
    return from.back();
}

// Smooth weighted round robin would need state per target; with equal weights, as in the bench, this is the same.
static RouterTarget* PickInTurn(const std::vector<RouterTarget*>& from)
{
    static std::atomic<size_t> turn{0};
    return from[turn++ % from.size()];
}

template <class Load> static RouterTarget* PickLeast(const std::vector<RouterTarget*>& from, Random* random, Load load)
{
    // Ties are broken at random, or the first target would get all that is equal.
    std::vector<RouterTarget*> order = from;
    std::shuffle(order.begin(), order.end(), *random);
    return *std::min_element(order.begin(), order.end(), [&](const RouterTarget* a, const RouterTarget* b) { return load(*a) < load(*b); });
}

RouterTarget* PickTarget(Router* router, const std::vector<RouterTarget*>& from, TimeUs now, Random* random)
{
    (void)now;
    router->Config.EjectShare = 2; // Never.
    router->Config.SlowShare = 0;  // No hedges.
    const std::string& name = PolicyName();
    if (name == "random")
    {
        return DrawByWeight(from, random);
    }
    if (name == "least")
    {
        return PickLeast(from, random, [](const RouterTarget& t) { return t.InFlight; });
    }
    if (name == "reported")
    {
        return PickLeast(from, random, [](const RouterTarget& t) { return t.ReportBusy; });
    }
    if (name == "two")
    {
        RouterTarget* a = DrawByWeight(from, random);
        RouterTarget* b = DrawByWeight(from, random);
        return b->InFlight < a->InFlight ? b : a;
    }
    return PickInTurn(from);
}

} // namespace Winchlink
