// winchlink_pick.cpp: the policy: which target is asked or tried next.
//
// It stands in a file of its own so that the bench can link another in its place (bench/baselines.cpp) and play the same trace to both.

#include "winchlink_internal.h"

#include <algorithm>

namespace Winchlink
{

// Whether a new target is among those passed. Then the other new ones come in their ordinary order: all instances know the same new ones,
// and a request that asked only these found them full, with most of the others idle (7 % were refused at a quarter of the load,
// PoolLoadTest).
static bool PassedNew(const TargetPool& pool, const std::vector<std::string>& passed)
{
    const auto is_new = [&](const std::string& id)
    {
        const auto found = pool.Index.ById.find(id);
        return found != pool.Index.ById.end() && found->second->New;
    };
    return std::any_of(passed.begin(), passed.end(), is_new);
}

static bool HasPassed(const std::vector<std::string>& passed, const PoolTarget& target)
{
    return std::find(passed.begin(), passed.end(), target.Id) != passed.end();
}

// Whom to trust first: those of which nothing bad is known; doubtful ones; those that have failed; cold ones, whose turn at this instance
// it is, and last the others of them.
static int TrustRank(const TargetPool& pool, const PoolTarget& target, bool careful, TimeUs now)
{
    constexpr int cold = 3;
    const PoolCold_ state = PoolColdState(pool, target, now);
    if (state != PoolCold_None)
    {
        return cold + (state == PoolCold_NotOurs ? 1 : 0);
    }
    const bool failed = careful && now < target.CarefulUntilUs;
    return now < target.AvoidUntilUs ? 2 : target.Doubtful || failed ? 1 : 0;
}

PoolRank PoolRankOf(const TargetPool& pool, const PoolTarget& target, bool had_new, bool careful, TimeUs now)
{
    const double cost = PoolCost(pool, target, now);
    const int far = target.Near ? 0 : 1;
    const int late = target.New && !had_new ? 0 : 1;
    return {TrustRank(pool, target, careful, now), cost > pool.Config.GoodCost ? 2 + far : far, cost, late, target.Order};
}

// Forgets which targets had been marked and are at rest.
static void DropMarks(TargetPool* pool, TimeUs now)
{
    const auto at_rest = [&](PoolTarget* target)
    {
        target->Marked = !PoolAtRest(*pool, *target, now);
        return !target->Marked;
    };
    std::vector<PoolTarget*>& marked = pool->Index.Marked;
    marked.erase(std::remove_if(marked.begin(), marked.end(), at_rest), marked.end());
}

// The first of a group that is at rest and has not been passed, or null.
static PoolTarget* FirstAtRest(const std::set<std::pair<int64_t, PoolTarget*>>& group, const std::vector<std::string>& passed)
{
    const auto wanted = [&](const std::pair<int64_t, PoolTarget*>& entry)
    {
        return !entry.second->Marked && !HasPassed(passed, *entry.second);
    };
    const auto found = std::find_if(group.begin(), group.end(), wanted);
    return found != group.end() ? found->second : nullptr;
}

PoolTarget* PoolNext(TargetPool* pool, const std::vector<std::string>& passed, bool careful, TimeUs now)
{
    DropMarks(pool, now);
    const bool had_new = PassedNew(*pool, passed);
    PoolTarget* best = nullptr;
    PoolRank best_rank;
    const auto consider = [&](PoolTarget* target)
    {
        if (!PoolMayUse(*target, now))
        {
            return;
        }
        const PoolRank rank = PoolRankOf(*pool, *target, had_new, careful, now);
        if ((best == nullptr || rank < best_rank) && !HasPassed(passed, *target))
        {
            best = target;
            best_rank = rank;
        }
    };
    for (PoolTarget* target : pool->Index.Marked)
    {
        consider(target);
    }
    for (const auto& group : pool->Index.Groups)
    {
        PoolTarget* first = FirstAtRest(group, passed);
        if (first != nullptr)
        {
            consider(first);
        }
    }
    return best != nullptr ? PoolFind(pool, best->Id) : nullptr; // Marks it: the caller may change it.
}

// All are looked at, as each needs a draw of its own; a row of the table has 512 targets at the most.
PoolTarget* PoolNextUnasked(TargetPool* pool, const std::vector<std::string>& passed, bool careful, TimeUs now, Random* random)
{
    const bool had_new = PassedNew(*pool, passed);
    PoolTarget* best = nullptr;
    PoolRank best_rank;
    for (PoolTarget& target : pool->Targets)
    {
        if (HasPassed(passed, target) || !PoolMayUse(target, now))
        {
            continue;
        }
        PoolRank rank = PoolRankOf(*pool, target, had_new, careful, now);
        std::get<int64_t>(rank) = PoolDrawOrder(target, random);
        if (best == nullptr || rank < best_rank)
        {
            best = &target;
            best_rank = rank;
        }
    }
    return best != nullptr ? PoolFind(pool, best->Id) : nullptr;
}

} // namespace Winchlink
