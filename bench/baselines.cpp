// baselines.cpp: ordinary policies, behind the product's own interface, for comparison.
//
// The bench build of the daemon (winchlink_baselines) links this file in place of winchlink_pick.cpp. WINCHBENCH_POLICY names the policy:
//   roundrobin      in turn
//   random          by chance
//   least           fewest requests in flight, in this instance's own view
//   two             two random candidates, the one with fewer in flight in this instance's own view
//   reported        least load as last reported, whatever its age
// Targets are not asked for their load, and failures are not remembered: that is what makes them ordinary.

#include "winchlink.h"

#include <algorithm>
#include <cstdlib>

namespace Winchlink
{

static const std::string& PolicyName()
{
    static const char* named = getenv("WINCHBENCH_POLICY");
    static const std::string name = named != nullptr ? named : "roundrobin";
    return name;
}

static std::vector<PoolTarget*> Candidates(TargetPool* pool, const std::vector<std::string>& passed)
{
    std::vector<PoolTarget*> candidates;
    for (PoolTarget& target : pool->Targets)
    {
        if (std::find(passed.begin(), passed.end(), target.Id) == passed.end())
        {
            candidates.push_back(&target);
        }
    }
    return candidates;
}

static PoolTarget* Draw(const std::vector<PoolTarget*>& from, Random* random)
{
    return from[std::uniform_int_distribution<size_t>(0, from.size() - 1)(*random)];
}

static PoolTarget* InTurn(const std::vector<PoolTarget*>& from)
{
    static size_t turn = 0;
    return from[turn++ % from.size()];
}

template <class Load> static PoolTarget* Least(std::vector<PoolTarget*> from, Random* random, Load load)
{
    std::shuffle(from.begin(), from.end(), *random); // Or the first of equals would get everything.
    return *std::min_element(from.begin(), from.end(), [&](const PoolTarget* a, const PoolTarget* b) { return load(*a) < load(*b); });
}

PoolTarget* PoolNextUnasked(TargetPool* pool, const std::vector<std::string>& passed, bool, TimeUs, Random* random)
{
    const std::vector<PoolTarget*> from = Candidates(pool, passed);
    const std::string& name = PolicyName();
    if (from.empty())
    {
        return nullptr;
    }
    if (name == "random")
    {
        return Draw(from, random);
    }
    if (name == "least")
    {
        return Least(from, random, [](const PoolTarget& t) { return t.InFlight; });
    }
    if (name == "reported")
    {
        return Least(from, random, [](const PoolTarget& t) { return t.Report.Running + t.Report.Waiting; });
    }
    if (name == "two")
    {
        PoolTarget* a = Draw(from, random);
        PoolTarget* b = Draw(from, random);
        return b->InFlight < a->InFlight ? b : a;
    }
    return InTurn(from);
}

// Baselines ask nobody: their table names no health path.
PoolTarget* PoolNext(TargetPool*, const std::vector<std::string>&, bool, TimeUs)
{
    return nullptr;
}

} // namespace Winchlink
