// baselines.cpp: common load-balancing policies with the interface of winchlink_pick.cpp, for comparison.
//
// winchlink_baselines, a variant of the daemon, links this file in place of winchlink_pick.cpp. WINCHBENCH_POLICY names the policy:
//   roundrobin      round robin; the default
//   random          uniformly random
//   least           fewest requests in flight from this instance
//   two             power of two choices, by requests in flight from this instance
//   reported        least load in the last report, whatever its age
// These policies send no load probes and do not avoid targets after failures.

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

static PoolTarget* DrawRandom(const std::vector<PoolTarget*>& from, Random* random)
{
    return from[std::uniform_int_distribution<size_t>(0, from.size() - 1)(*random)];
}

static PoolTarget* RoundRobin(const std::vector<PoolTarget*>& from)
{
    static size_t turn = 0;
    return from[turn++ % from.size()];
}

template <class Load> static PoolTarget* LeastLoaded(std::vector<PoolTarget*> from, Random* random, Load load)
{
    std::shuffle(from.begin(), from.end(), *random); // Breaks ties at random.
    return *std::min_element(from.begin(), from.end(), [&](const PoolTarget* a, const PoolTarget* b) { return load(*a) < load(*b); });
}

PoolTarget* PoolNextUnprobed(TargetPool* pool, const std::vector<std::string>& passed, bool, TimeUs, Random* random)
{
    const std::vector<PoolTarget*> from = Candidates(pool, passed);
    const std::string& name = PolicyName();
    if (from.empty())
    {
        return nullptr;
    }
    if (name == "random")
    {
        return DrawRandom(from, random);
    }
    if (name == "least")
    {
        return LeastLoaded(from, random, [](const PoolTarget& t) { return t.InFlight; });
    }
    if (name == "reported")
    {
        return LeastLoaded(from, random, [](const PoolTarget& t) { return t.Report.Running + t.Report.Waiting; });
    }
    if (name == "two")
    {
        PoolTarget* a = DrawRandom(from, random);
        PoolTarget* b = DrawRandom(from, random);
        return b->InFlight < a->InFlight ? b : a;
    }
    return RoundRobin(from);
}

// Never called: the table of the baselines names no health path, so there are no probes.
PoolTarget* PoolNext(TargetPool*, const std::vector<std::string>&, bool, TimeUs)
{
    return nullptr;
}

// These policies know no data centres, so nothing is divided between them.
PoolTarget* PoolNextNear(TargetPool*, const std::vector<std::string>&, bool, TimeUs)
{
    return nullptr;
}

PoolTarget* PoolNextIn(TargetPool*, uint16_t, const std::vector<std::string>&, bool, TimeUs)
{
    return nullptr;
}

} // namespace Winchlink
