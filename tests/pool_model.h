// pool_model.h: a model of how an instance probes targets one after the other, for load tests in virtual time.

#pragma once

#include "check.h"

#include <functional>

namespace Winchlink
{

inline constexpr size_t ModelProbesMax = 8; // Equal to ChooserConfig::MaxProbes.

struct PoolProbes
{
    TimeUs* Now = nullptr;                                // The model's clock; each probe advances it.
    TimeUs ProbeUs = 0;                                   // Duration of a probe.
    std::function<LoadReport(const std::string&)> LoadOf; // Returns the current load of a target.
    int SentProbes = 0;
};

// Probes targets until one is good or the limit is reached. Returns the cheapest one with a free slot, or null if there is none.
inline PoolTarget* ProbeInTurn(TargetPool* pool, PoolProbes* probes)
{
    std::vector<std::string> probed;
    PoolTarget* best = nullptr;
    while (probed.size() < ModelProbesMax)
    {
        const TimeUs before = *probes->Now;
        PoolTarget* next = PoolNext(pool, probed, false, before);
        if (next == nullptr)
        {
            break;
        }
        probed.push_back(next->Id);
        probes->SentProbes++;
        *probes->Now += probes->ProbeUs;
        const TimeUs now = *probes->Now;
        PoolReport(next, probes->LoadOf(next->Id), now);
        const bool has_capacity = PoolHasFreeSlot(*pool, *next) && PoolMaySendCold(*pool, *next, now);
        const double cost = PoolCost(*pool, *next, now);
        best = has_capacity && (best == nullptr || cost < PoolCost(*pool, *best, now)) ? next : best;
        if (has_capacity && cost <= pool->Config.GoodCost)
        {
            break;
        }
    }
    return best;
}

} // namespace Winchlink
