// winchlink_pick.cpp: the selection policy: which target is probed or tried next.
//
// A separate file, so that the benchmark can link another policy in its place (bench/baselines.cpp) and compare both on the same trace.

#include "winchlink_internal.h"

#include <algorithm>

namespace Winchlink
{

// Whether a new target is among those passed. Then the other new ones get no preference: all instances prefer the same new targets, so a
// request that probed only these could find them full while others are idle.
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

// 0: healthy; 1: directory entry missing, or failed recently if `unsafe`; 2: avoided after failures; 3: cold, within this instance's
// warm-up share; 4: cold, beyond it.
static int TrustRank(const TargetPool& pool, const PoolTarget& target, bool unsafe, TimeUs now)
{
    constexpr int cold = 3;
    const PoolCold_ state = PoolColdState(pool, target, now);
    if (state != PoolCold_None)
    {
        return cold + (state == PoolCold_MustWait ? 1 : 0);
    }
    const bool failed = unsafe && now < target.AvoidUnsafeUntilUs;
    return now < target.AvoidUntilUs ? 2 : target.EntryMissing || failed ? 1 : 0;
}

PoolRank PoolRankOf(const TargetPool& pool, const PoolTarget& target, bool had_new, bool unsafe, TimeUs now)
{
    const double cost = PoolRankCost(pool, target, now);
    // Requests cross to another data centre only for a target that is known to be good, or when all near ones are full or slow.
    const double limit = pool.Shared && target.Near ? pool.Config.AcceptableCost : pool.Config.GoodCost;
    const int far = target.Near ? 0 : 1;
    const int not_preferred = target.New && !had_new ? 0 : 1;
    return {TrustRank(pool, target, unsafe, now), cost > limit ? 2 + far : far, cost, not_preferred, target.Order};
}

// Unmarks targets that are at rest again.
static void DropMarks(TargetPool* pool, TimeUs now)
{
    const auto unmark_at_rest = [&](PoolTarget* target)
    {
        target->Marked = !PoolAtRest(*pool, *target, now);
        return !target->Marked;
    };
    std::vector<PoolTarget*>& marked = pool->Index.Marked;
    marked.erase(std::remove_if(marked.begin(), marked.end(), unmark_at_rest), marked.end());
}

// The first target of a group that is at rest and not in `passed`, or null.
static PoolTarget* FirstAtRest(const std::set<std::pair<int64_t, PoolTarget*>>& group, const std::vector<std::string>& passed)
{
    const auto is_candidate = [&](const std::pair<int64_t, PoolTarget*>& entry)
    {
        return !entry.second->Marked && !HasPassed(passed, *entry.second);
    };
    const auto found = std::find_if(group.begin(), group.end(), is_candidate);
    return found != group.end() ? found->second : nullptr;
}

static PoolTarget* Next(TargetPool* pool, const std::vector<std::string>& passed, bool unsafe, bool near_only, TimeUs now)
{
    DropMarks(pool, now);
    const bool had_new = PassedNew(*pool, passed);
    PoolTarget* best = nullptr;
    PoolRank best_rank;
    const auto consider = [&](PoolTarget* target)
    {
        if (!PoolMayUse(*target, now) || (near_only && !target->Near))
        {
            return;
        }
        const PoolRank rank = PoolRankOf(*pool, *target, had_new, unsafe, now);
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
    return best != nullptr ? PoolFind(pool, best->Id) : nullptr; // Marks the target, as the caller may change it.
}

PoolTarget* PoolNext(TargetPool* pool, const std::vector<std::string>& passed, bool unsafe, TimeUs now)
{
    return Next(pool, passed, unsafe, false, now);
}

PoolTarget* PoolNextNear(TargetPool* pool, const std::vector<std::string>& passed, bool unsafe, TimeUs now)
{
    return Next(pool, passed, unsafe, true, now);
}

// Whether a request may go to the target, and nothing is known that shows it to be full or slow.
static bool MayHaveRoom(const TargetPool& pool, const PoolTarget& target, TimeUs now)
{
    if (!PoolMayUse(target, now) || PoolColdState(pool, target, now) != PoolCold_None)
    {
        return false;
    }
    const std::optional<KnownLoad> known = PoolKnownLoad(pool, target, now);
    const bool full = known && known->Load.Running + known->Load.Waiting >= known->Load.Slots;
    return !full && (!known || PoolRankCost(pool, target, now) <= pool.Config.AcceptableCost);
}

PoolTarget* PoolNextIn(TargetPool* pool, uint16_t data_centre, const std::vector<std::string>& passed, bool unsafe, TimeUs now)
{
    DropMarks(pool, now);
    PoolTarget* best = nullptr;
    PoolRank best_rank;
    const auto consider = [&](PoolTarget* target)
    {
        if (target->DataCentre != data_centre || !MayHaveRoom(*pool, *target, now) || HasPassed(passed, *target))
        {
            return;
        }
        const bool costly = PoolKnownLoad(*pool, *target, now) && PoolRankCost(*pool, *target, now) > pool->Config.GoodCost;
        const PoolRank rank = {TrustRank(*pool, *target, unsafe, now), costly ? 1 : 0, 0, 0, target->Order};
        if (best == nullptr || rank < best_rank)
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
        const auto is_candidate = [&](const std::pair<int64_t, PoolTarget*>& entry)
        {
            return !entry.second->Marked && entry.second->DataCentre == data_centre && !HasPassed(passed, *entry.second);
        };
        const auto first = std::find_if(group.begin(), group.end(), is_candidate);
        if (first != group.end())
        {
            consider(first->second);
        }
    }
    return best != nullptr ? PoolFind(pool, best->Id) : nullptr;
}

// Compares all targets, as each needs a random order of its own; a table row has at most RowTargetsMax of them.
PoolTarget* PoolNextUnprobed(TargetPool* pool, const std::vector<std::string>& passed, bool unsafe, TimeUs now, Random* random)
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
        PoolRank rank = PoolRankOf(*pool, target, had_new, unsafe, now);
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
