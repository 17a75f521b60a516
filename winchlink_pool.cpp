// winchlink_pool.cpp: the target pool: load reports, cost estimates, backoff and warm-up of the targets of one service.
//
// Index of this file:
// [SECTION] Reports
// [SECTION] Pool
// [SECTION] Back-off
// [SECTION] Cold targets
// [SECTION] Nearly full targets

#include "winchlink_internal.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Reports
//-----------------------------------------------------------------------------

TimeUs ProbeTimeoutNow(const AdaptiveProbeTimeout& time)
{
    return std::max(time.MinUs, static_cast<TimeUs>(time.CurrentUs));
}

// Shrinks the timeout so that it is stable when a share LateShare of the answers is late.
void ProbeTimeoutAnswered(AdaptiveProbeTimeout* time)
{
    const double shrink_factor = std::pow(time->Growth, -time->LateShare / (1 - time->LateShare));
    time->CurrentUs = std::max(time->CurrentUs * shrink_factor, static_cast<double>(time->MinUs));
}

void ProbeTimeoutExpired(AdaptiveProbeTimeout* time, TimeUs used)
{
    const double grown = static_cast<double>(used > 0 ? used : ProbeTimeoutNow(*time)) * time->Growth;
    time->CurrentUs = std::max(time->CurrentUs, std::min(grown, static_cast<double>(time->MaxUs)));
}

void ProbeTimeoutRevert(AdaptiveProbeTimeout* time, int probes)
{
    for (int n = 0; n < probes; n++)
    {
        time->CurrentUs = std::max(time->CurrentUs / time->Growth, static_cast<double>(time->MinUs));
    }
}

std::optional<LoadReport> ParseLoadReport(const std::string& text)
{
    LoadReport report;
    const int read = std::sscanf(text.c_str(), "%d,%d,%d,%d", &report.Running, &report.Waiting, &report.Slots, &report.PacePercent);
    const bool valid = report.Running >= 0 && report.Waiting >= 0 && report.Slots > 0 && report.PacePercent > 0;
    return read >= 3 && valid ? std::optional<LoadReport>(report) : std::nullopt;
}

void PoolReport(PoolTarget* target, const LoadReport& report, TimeUs now)
{
    target->Report = report;
    target->ReportUs = now;
    target->SentSinceReport = 0;
}

// Follows the cost at which the mean gain of a probe equals its cost (the reservation value of an unknown target).
static void UpdateUnknownCost(TargetPool* pool, double found)
{
    const PoolConfig& config = pool->Config;
    const double gain = std::max(pool->UnknownCost - found, 0.0);
    pool->UnknownCost += config.UnknownGain * (config.ProbeCost - gain);
    pool->UnknownCost = std::clamp(pool->UnknownCost, 1.0, config.AcceptableCost);
}

void PoolProbed(TargetPool* pool, PoolTarget* target, const LoadReport& report, TimeUs now)
{
    const bool was_unknown = pool->Shared && !PoolKnownLoad(*pool, *target, now);
    PoolReport(target, report, now);
    if (was_unknown)
    {
        UpdateUnknownCost(pool, PoolHasFreeSlot(*pool, *target) ? PoolCost(*pool, *target, now) : pool->Config.AcceptableCost);
    }
}

double PoolGoodCost(const TargetPool& pool)
{
    return pool.Shared ? std::max(pool.Config.GoodCost, pool.UnknownCost) : pool.Config.GoodCost;
}

void PoolFailed(const PoolConfig& config, PoolTarget* target, TimeUs now)
{
    const int doublings = std::min(target->FailuresInRow, config.AvoidDoublings);
    target->AvoidUntilUs = now + (config.AvoidUs << doublings);
    target->AvoidUnsafeUntilUs = now + config.AvoidUnsafeUs;
    target->FailuresInRow++;
}

void PoolSucceeded(PoolTarget* target)
{
    target->FailuresInRow = 0;
    target->AvoidUntilUs = 0;
}

//-----------------------------------------------------------------------------
// [SECTION] Pool
//-----------------------------------------------------------------------------

static void Mark(TargetPool* pool, PoolTarget* target)
{
    if (!target->Marked)
    {
        target->Marked = true;
        pool->Index.Marked.push_back(target);
    }
}

PoolTarget* PoolFind(TargetPool* pool, const std::string& id)
{
    const auto found = pool->Index.ById.find(id);
    if (found == pool->Index.ById.end())
    {
        return nullptr;
    }
    Mark(pool, &*found->second);
    return &*found->second;
}

PoolTarget* PoolFindEntry(TargetPool* pool, const std::string& id, uint64_t generation)
{
    PoolTarget* target = PoolFind(pool, id);
    return target != nullptr && target->Generation == generation ? target : nullptr;
}

PoolTarget* PoolFindShared(const TargetPool& pool, uint32_t shared_id)
{
    const auto found = pool.Index.BySharedId.find(shared_id);
    return found != pool.Index.BySharedId.end() ? found->second : nullptr;
}

int64_t PoolDrawOrder(const PoolTarget& target, Random* random)
{
    constexpr double scale = 1e15;     // Keeps orders distinct for weights up to 1000.
    constexpr double max_order = 1e18; // Fits int64_t.
    const double drawn = std::exponential_distribution<double>(std::max(target.Weight, 1))(*random);
    return static_cast<int64_t>(std::min(drawn * scale, max_order));
}

void PoolSent(TargetPool* pool, PoolTarget* target, TimeUs now)
{
    pool->InUse = true;
    target->InFlight++;
    target->SentSinceReport++;
    target->SentUs = now;
    target->ColdSent++;
    target->New = false;
}

static void RemoveFromGroup(TargetPool* pool, PoolTarget* target)
{
    pool->Index.Groups[static_cast<size_t>(target->Group)].erase({target->Order, target});
}

static void AddToGroup(TargetPool* pool, PoolTarget* target)
{
    const bool nearly_full_with_one = PoolNearlyFull(pool->Config, {0, 0, target->Slots, 100}, 0);
    target->Group = (target->Near ? 0 : 1) + (nearly_full_with_one ? 2 : 0);
    pool->Index.Groups[static_cast<size_t>(target->Group)].insert({target->Order, target});
}

// End of the backoff that this incarnation of a target requested; 0 if none.
static TimeUs BackoffOf(const TargetPool& pool, uint64_t incarnation_id)
{
    const auto found = pool.Backoffs.find(incarnation_id);
    return found != pool.Backoffs.end() ? found->second : 0;
}

static PoolTarget* AddTarget(TargetPool* pool, const DirectoryTarget& listed)
{
    pool->Targets.emplace_back();
    PoolTarget* target = &pool->Targets.back();
    target->Id = listed.Id;
    target->Incarnation = listed.Incarnation;
    target->IncarnationId = TargetIncarnationId(listed.Id, listed.Incarnation);
    target->New = pool->InUse;
    target->BackoffUntilUs = BackoffOf(*pool, target->IncarnationId);
    target->Generation = ++pool->LastGeneration;
    pool->Index.ById[listed.Id] = std::prev(pool->Targets.end());
    pool->Index.BySharedId[SharedTargetId(target->IncarnationId)] = target;
    return target;
}

// Removes a target from the pool and returns the next one. The target must not be in Index.Marked.
static std::list<PoolTarget>::iterator RemoveTarget(TargetPool* pool, std::list<PoolTarget>::iterator target)
{
    RemoveFromGroup(pool, &*target);
    pool->Index.ById.erase(target->Id);
    const auto shared = pool->Index.BySharedId.find(SharedTargetId(target->IncarnationId));
    if (shared != pool->Index.BySharedId.end() && shared->second == &*target) // Another target may have the same hash.
    {
        pool->Index.BySharedId.erase(shared);
    }
    return pool->Targets.erase(target);
}

// Removes the targets that the last PoolSync() did not list.
static void RemoveUnlisted(TargetPool* pool)
{
    const auto unlisted = [pool](const PoolTarget& target)
    {
        return target.LastSync != pool->SyncCount;
    };
    std::vector<PoolTarget*>& marked = pool->Index.Marked;
    marked.erase(std::remove_if(marked.begin(), marked.end(), [&](const PoolTarget* target) { return unlisted(*target); }), marked.end());
    for (auto target = pool->Targets.begin(); target != pool->Targets.end();)
    {
        target = unlisted(*target) ? RemoveTarget(pool, target) : std::next(target);
    }
}

// Removes the previous incarnation of a restarted target: its load, failures and requests in flight don't apply to the new one.
static void RemovePreviousIncarnation(TargetPool* pool, const DirectoryTarget& listed)
{
    const auto found = pool->Index.ById.find(listed.Id);
    if (found != pool->Index.ById.end() && found->second->Incarnation != listed.Incarnation)
    {
        std::vector<PoolTarget*>& marked = pool->Index.Marked;
        marked.erase(std::remove(marked.begin(), marked.end(), &*found->second), marked.end());
        RemoveTarget(pool, found->second);
    }
}

static void SyncEntry(TargetPool* pool, const DirectoryTarget& listed, bool near, uint16_t data_centre, Random* random)
{
    RemovePreviousIncarnation(pool, listed);
    const auto found = pool->Index.ById.find(listed.Id);
    const bool known = found != pool->Index.ById.end();
    PoolTarget* target = known ? &*found->second : AddTarget(pool, listed);
    const bool same_weight = known && target->Weight == listed.Weight;
    const bool same_group = same_weight && target->Near == near && target->Slots == listed.Slots;
    if (known && !same_group)
    {
        RemoveFromGroup(pool, target);
    }
    target->LastSync = pool->SyncCount;
    target->Address = listed.Address;
    target->Near = near;
    target->DataCentre = data_centre;
    target->EntryMissing = listed.Presence == Presence_Missing;
    target->Slots = listed.Slots;
    target->Weight = listed.Weight;
    if (!same_weight)
    {
        target->Order = PoolDrawOrder(*target, random);
    }
    PoolSetCold(*pool, target, listed.ColdUntilUs);
    if (!same_group)
    {
        AddToGroup(pool, target);
    }
    if (target->EntryMissing || target->New || target->ColdUntilUs > 0 || target->BackoffUntilUs > 0)
    {
        Mark(pool, target);
    }
}

void PoolSync(TargetPool* pool, const TargetList& listed_targets, const std::string& data_centre, Random* random)
{
    pool->SyncCount++;
    pool->Evacuated = 0;
    size_t followed = 0;
    std::unordered_map<std::string, uint16_t> hashes; // Of data centres: each is hashed once, not for each target.
    const auto hash_of = [&hashes](const std::string& name)
    {
        const auto found = hashes.find(name);
        return found != hashes.end() ? found->second : hashes[name] = PeerDataCentre(name);
    };
    for (const DirectoryTarget* listed : listed_targets)
    {
        const bool draining = listed->Presence == Presence_Draining;
        pool->Evacuated += !draining && listed->Evacuated ? 1 : 0;
        if (!draining && !listed->Evacuated)
        {
            SyncEntry(pool, *listed, listed->DataCentre == data_centre, hash_of(listed->DataCentre), random);
            followed++;
        }
    }
    if (followed < pool->Targets.size())
    {
        RemoveUnlisted(pool);
    }
}

static bool IsFresh(const PoolConfig& config, const PoolTarget& target, TimeUs now)
{
    return target.ReportUs > 0 && now < target.ReportUs + config.ReportMaxAgeUs;
}

// Whether a report of another instance is the latest that is known of the target.
static bool IsToldFresh(const TargetPool& pool, const PoolTarget& target, TimeUs now)
{
    return pool.Shared && target.ToldUs > target.ReportUs && now < target.ToldUs + pool.Config.ReportMaxAgeUs;
}

bool PoolAtRest(const TargetPool& pool, const PoolTarget& target, TimeUs now)
{
    const bool idle = target.InFlight == 0 && !IsFresh(pool.Config, target, now) && !IsToldFresh(pool, target, now);
    const bool trusted = now >= target.AvoidUntilUs && now >= target.AvoidUnsafeUntilUs && !target.EntryMissing;
    return idle && trusted && !target.New && now >= target.ColdUntilUs && PoolMayUse(target, now);
}

// Whether one more request would make a target nearly full that already has `busy` requests.
static bool MakesNearlyFull(const PoolConfig& config, int busy, int slots)
{
    return busy + 1 > config.NearlyFullShare * slots;
}

bool PoolNearlyFull(const PoolConfig& config, const LoadReport& report, int more)
{
    return MakesNearlyFull(config, report.Running + report.Waiting + more, report.Slots);
}

// Expected time of one more request at a target with this load.
static double CostOf(const TargetPool& pool, const PoolTarget& target, const LoadReport& load, TimeUs now)
{
    const PoolConfig& config = pool.Config;
    const int busy = load.Running + load.Waiting;
    const bool nearly_full = MakesNearlyFull(config, busy, load.Slots);
    const double queue = busy >= load.Slots ? 1.0 + static_cast<double>(busy + 1 - load.Slots) / load.Slots : 1.0;
    const double warm = now < target.ColdUntilUs ? config.ColdFactor : 1.0;
    return load.PacePercent / 100.0 * queue * warm * (nearly_full ? pool.NearlyFullFactor : 1.0);
}

static LoadReport WithSent(LoadReport report, int sent)
{
    report.Running += sent;
    return report;
}

double PoolCost(const TargetPool& pool, const PoolTarget& target, TimeUs now)
{
    const bool fresh = IsFresh(pool.Config, target, now);
    return CostOf(pool, target, fresh ? WithSent(target.Report, target.SentSinceReport) : LoadReport{target.InFlight, 0, target.Slots, 100},
                  now);
}

std::optional<KnownLoad> PoolKnownLoad(const TargetPool& pool, const PoolTarget& target, TimeUs now)
{
    if (IsToldFresh(pool, target, now))
    {
        // A request without a time of sending counts: one slot too few costs less than one too many.
        const bool may_miss_sent = target.SentUs == 0 || target.SentUs + pool.Config.ReportLagUs > target.ToldUs;
        return KnownLoad{WithSent(target.Told, may_miss_sent ? target.SentSinceReport : 0), target.ToldUs};
    }
    if (IsFresh(pool.Config, target, now))
    {
        return KnownLoad{WithSent(target.Report, target.SentSinceReport), target.ReportUs};
    }
    return std::nullopt;
}

double PoolRankCost(const TargetPool& pool, const PoolTarget& target, TimeUs now)
{
    if (!pool.Shared)
    {
        return PoolCost(pool, target, now);
    }
    const std::optional<KnownLoad> known = PoolKnownLoad(pool, target, now);
    if (!known)
    {
        return std::max(PoolCost(pool, target, now), pool.UnknownCost);
    }
    const double cost = CostOf(pool, target, known->Load, now);
    if (cost >= pool.UnknownCost || known->AtUs == target.ReportUs)
    {
        return cost;
    }
    // Others look for free slots too, so one that was told of is soon in use. That a target was full stays true for longer.
    const double age = static_cast<double>(now - known->AtUs) / static_cast<double>(pool.Config.ToldRoomUs);
    return cost + std::min(age, 1.0) * (pool.UnknownCost - cost);
}

static bool IsPlausible(const PoolConfig& config, const PoolTarget& target, const LoadReport& report)
{
    const bool work =
        report.Running >= 0 && report.Waiting >= 0 && report.Running <= config.ToldWorkMax && report.Waiting <= config.ToldWorkMax;
    const bool slots = report.Slots > 0 && report.Slots <= config.ToldSlotsFactor * static_cast<int64_t>(target.Slots);
    return work && slots && report.PacePercent > 0 && report.PacePercent <= config.ToldPaceMax;
}

bool PoolTold(TargetPool* pool, PoolTarget* target, const LoadReport& report, TimeUs age, TimeUs now)
{
    const bool fresh = age >= 0 && age < pool->Config.ReportMaxAgeUs && now - age > std::max(target->ReportUs, target->ToldUs);
    if (!pool->Shared || !fresh || !IsPlausible(pool->Config, *target, report))
    {
        return false;
    }
    target->Told = report;
    target->ToldUs = now - age;
    Mark(pool, target);
    return true;
}

bool PoolIsAcceptable(const TargetPool& pool, const PoolTarget& target, TimeUs now)
{
    return PoolCost(pool, target, now) <= pool.Config.AcceptableCost;
}

bool PoolHasFreeSlot(const TargetPool& pool, const PoolTarget& target)
{
    const int slots = target.Report.Slots;
    const int below = std::max(1, static_cast<int>(pool.Config.NearlyFullShare * slots));
    const bool last_slots_cost_throughput = slots / pool.NearlyFullFactor < below;
    return target.Report.Running + target.Report.Waiting + target.SentSinceReport < (last_slots_cost_throughput ? below : slots);
}

//-----------------------------------------------------------------------------
// [SECTION] Back-off
//-----------------------------------------------------------------------------

static void RemoveExpiredBackoffs(TargetPool* pool, TimeUs now)
{
    for (auto backoff = pool->Backoffs.begin(); backoff != pool->Backoffs.end();)
    {
        backoff = backoff->second <= now ? pool->Backoffs.erase(backoff) : std::next(backoff);
    }
}

bool PoolBackOff(TargetPool* pool, const std::string& id, uint64_t incarnation, TimeUs until, TimeUs now)
{
    RemoveExpiredBackoffs(pool, now);
    TimeUs& known = pool->Backoffs[TargetIncarnationId(id, incarnation)];
    const bool usable = now >= known;
    known = std::max(known, until);
    PoolTarget* target = PoolFind(pool, id);
    if (target != nullptr && target->Incarnation == incarnation)
    {
        target->BackoffUntilUs = known;
    }
    return usable;
}

bool PoolMayUse(const PoolTarget& target, TimeUs now)
{
    return now >= target.BackoffUntilUs;
}

std::optional<TimeUs> PoolBackoffEnds(const TargetPool& pool, TimeUs now)
{
    std::optional<TimeUs> earliest;
    for (const PoolTarget& target : pool.Targets)
    {
        if (PoolMayUse(target, now))
        {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(target.BackoffUntilUs), target.BackoffUntilUs);
    }
    return earliest;
}

//-----------------------------------------------------------------------------
// [SECTION] Cold targets
//-----------------------------------------------------------------------------

void PoolSetCold(const TargetPool& pool, PoolTarget* target, TimeUs until)
{
    const bool again = until - pool.Config.ColdUs >= target->ColdUntilUs; // A new cold period, not the current one reported again.
    if (again)
    {
        target->ColdSent = 0;
        target->ColdAllowedBefore = pool.Demand.ColdAllowed;
    }
    target->ColdUntilUs = std::max(target->ColdUntilUs, until);
}

static double Decay(TimeUs time, TimeUs over)
{
    return std::exp(-static_cast<double>(time) / static_cast<double>(over));
}

static void AddEvent(EventRate* rate, TimeUs over, TimeUs now)
{
    rate->Sum = 1 + rate->Sum * Decay(now - rate->AtUs, over);
    rate->FirstUs = rate->FirstUs > 0 ? rate->FirstUs : now;
    rate->AtUs = now;
}

// Mean events a second up to the last one, over the given time or the time since the first event, whichever is shorter.
static double MeanPerS(const EventRate& rate, TimeUs over)
{
    const double passed = 1 - Decay(rate.AtUs - rate.FirstUs, over);
    const double seconds = static_cast<double>(over) / UsPerSecond * passed;
    return seconds > 0 ? (rate.Sum - 1) / seconds : 0;
}

// Factor by which a request adds less to ColdAllowed while more requests than usual arrive.
static double DemandRise(const TargetPool& pool)
{
    constexpr double prior = 0.5;    // Requests added to both rates, so that a single request is no rise where few arrive.
    constexpr double exponent = 1.5; // Above 1, as the average of recent requests follows a rise late.
    const PoolConfig& config = pool.Config;
    const double usual = MeanPerS(pool.Demand.Usual, config.UsualUs) * static_cast<double>(config.RecentUs) / UsPerSecond;
    return std::pow(std::max((pool.Demand.Recent.Sum + prior) / (usual + prior), 1.0), exponent);
}

// Part of this instance's requests that targets serve, while they are warm: the others are not in ServiceDemand::PerS.
static double ServedPart(const TargetPool& pool)
{
    constexpr double prior = 0.5; // Requests added to both counts: one that is still in progress has not been refused.
    const ServiceDemand& demand = pool.Demand;
    const TimeUs at = std::max(demand.Usual.AtUs, demand.Served.AtUs);
    const double arrived = demand.Usual.Sum * Decay(at - demand.Usual.AtUs, pool.Config.UsualUs);
    const double served = demand.Served.Sum * Decay(at - demand.Served.AtUs, pool.Config.UsualUs);
    return std::min((served + prior) / (arrived + prior), 1.0);
}

void PoolDemandArrived(TargetPool* pool, TimeUs now)
{
    const PoolConfig& config = pool->Config;
    ServiceDemand& demand = pool->Demand;
    // Rare requests mean rare probes: a report since the previous request also shows that there are warm targets.
    const bool reported = now < demand.ReportUs + config.RecentUs || demand.ReportUs >= demand.Recent.AtUs;
    AddEvent(&demand.Recent, config.RecentUs, now);
    if (demand.ReportUs > 0 && reported)
    {
        AddEvent(&demand.Usual, config.UsualUs, now);
    }
    if (demand.PerS > 0)
    {
        demand.ColdAllowed += std::min(config.ColdPerS * ServedPart(*pool) / (demand.PerS * DemandRise(*pool)), 1.0);
    }
}

void PoolDemandReported(TargetPool* pool, const PoolTarget& target, const LoadReport& report, TimeUs now)
{
    if (now < target.ColdUntilUs)
    {
        return;
    }
    const PoolConfig& config = pool->Config;
    ServiceDemand& demand = pool->Demand;
    const double over_time = 1 - Decay(now - demand.ReportUs, config.UsualUs);
    demand.Reports++;
    demand.ReportUs = now;
    const double gain = std::max(std::min(config.WorkGain, over_time), 1.0 / (demand.Reports + config.WorkPrior));
    demand.Work += gain * (report.Running + report.Waiting - demand.Work);
    const double all = demand.Work * static_cast<double>(pool->Targets.size());
    demand.PerS = demand.WorkUs > 0 ? all * UsPerSecond / demand.WorkUs : 0;
}

void PoolDemandServed(TargetPool* pool, const PoolTarget& target, TimeUs took, TimeUs now)
{
    if (now < target.ColdUntilUs)
    {
        return;
    }
    ServiceDemand& demand = pool->Demand;
    AddEvent(&demand.Served, pool->Config.UsualUs, now);
    const auto time = static_cast<double>(took);
    demand.WorkUs = demand.WorkUs == 0 ? time : demand.WorkUs + pool->Config.WorkGain * (time - demand.WorkUs);
}

PoolCold_ PoolColdState(const TargetPool& pool, const PoolTarget& target, TimeUs now)
{
    if (pool.Config.ColdPerS <= 0 || now >= target.ColdUntilUs)
    {
        return PoolCold_None;
    }
    constexpr int64_t phases = 1000000;
    const double phase = static_cast<double>(target.Order % phases) / phases; // Random, see PoolDrawOrder().
    const double allowed = phase + pool.Demand.ColdAllowed - target.ColdAllowedBefore;
    return target.ColdSent + 1 <= allowed ? PoolCold_MaySend : PoolCold_MustWait;
}

bool PoolMaySendCold(const TargetPool& pool, const PoolTarget& target, TimeUs now)
{
    const PoolCold_ state = PoolColdState(pool, target, now);
    const bool idle = target.Report.Running + target.Report.Waiting + target.SentSinceReport == 0 && target.InFlight == 0;
    return state == PoolCold_None || (state == PoolCold_MaySend && idle);
}

//-----------------------------------------------------------------------------
// [SECTION] Nearly full targets
//-----------------------------------------------------------------------------

void PoolUpdateNearlyFull(TargetPool* pool, double factor)
{
    const double clamped = std::clamp(factor, 1.0, pool->Config.NearlyFullFactorMax);
    pool->NearlyFullSamples++;
    const double gain = std::max(pool->Config.NearlyFullGain, 1.0 / (pool->NearlyFullSamples + pool->Config.NearlyFullPrior));
    pool->NearlyFullFactor += gain * (clamped - pool->NearlyFullFactor);
}

} // namespace Winchlink
