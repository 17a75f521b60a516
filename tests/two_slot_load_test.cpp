// two_slot_load_test.cpp: requests that look for a free slot among targets of two slots, simulated in virtual time without a network.
//
// Guards against refusing requests while slots are free: a target of two slots with one request in progress is nearly full, and three
// tenths of the targets are slow at any moment, so a request that takes only cheap targets is often refused.
//
// The targets are chosen by TargetPool. A target that is slow takes five times as long (drawn anew every 0.15 s, for requests that begin
// then), and 1.7 times as long if both slots are in use. Up to eight targets are probed, 2 ms each; a request that finds none is refused.

#include "pool_model.h"

#include <cmath>
#include <fmt/format.h>

namespace Winchlink
{

namespace
{

constexpr size_t InstanceCount = 95;
constexpr int TargetCount = 37;
constexpr double WorkSeconds = 0.12;
constexpr double ObjectiveSeconds = 0.3;
constexpr TimeUs ProbeUs = 2 * UsPerMs;
constexpr TimeUs PaceUs = 150 * UsPerMs;
constexpr double SlowShare = 0.3;
constexpr double SlowFactor = 5;
constexpr double FullFactor = 1.7;

struct TwoSlotPlan
{
    double RequestsPerSecond = 125;
    int Targets = TargetCount;
    int Slots = 2;
    double SettleCost = PoolConfig().AcceptableCost;
};

struct TwoSlotResult
{
    int Requests = 0;
    int Refused = 0;
    int InTime = 0;
};

struct TwoSlotModel
{
    TwoSlotPlan Plan;
    Random Rng;
    TimeUs Now = 0;
    std::vector<DirectoryTarget> Listed;
    std::map<std::string, std::multiset<TimeUs>> Ending; // End times of the requests, by target.
    std::vector<TargetPool> Pools;
    TwoSlotResult Result;
};

// Returns whether the target is slow now. Depends only on the target and the time step, so all instances get the same result.
bool IsSlow(const std::string& id, TimeUs now)
{
    Random draw(std::hash<std::string>()(id) ^ static_cast<uint64_t>(now / PaceUs) * 0x9E3779B97F4A7C15ULL);
    return std::uniform_real_distribution<double>(0, 1)(draw) < SlowShare;
}

LoadReport LoadOf(TwoSlotModel* model, const std::string& id)
{
    std::multiset<TimeUs>& ending = model->Ending[id];
    ending.erase(ending.begin(), ending.upper_bound(model->Now));
    const int pace = IsSlow(id, model->Now) ? static_cast<int>(SlowFactor * 100) : 100;
    return {static_cast<int>(ending.size()), 0, model->Plan.Slots, pace};
}

// Returns the target that a request is sent to, or null if none of the probed ones is acceptable.
PoolTarget* Choose(TwoSlotModel* model, TargetPool* pool)
{
    PoolProbes probes;
    probes.Now = &model->Now;
    probes.ProbeUs = ProbeUs;
    probes.LoadOf = [model](const std::string& id)
    {
        return LoadOf(model, id);
    };
    PoolTarget* best = ProbeInTurn(pool, &probes);
    return best != nullptr && PoolIsAcceptable(*pool, *best, model->Now) ? best : nullptr;
}

void OneRequest(TwoSlotModel* model)
{
    const TimeUs arrived = model->Now;
    const auto instance = std::uniform_int_distribution<size_t>(0, InstanceCount - 1)(model->Rng);
    TargetPool* pool = &model->Pools[instance];
    PoolTarget* target = Choose(model, pool);
    model->Result.Requests++;
    if (target == nullptr)
    {
        model->Result.Refused++;
        model->Now = arrived; // Requests probe concurrently: the next one doesn't wait for this one's probes.
        return;
    }
    const LoadReport load = LoadOf(model, target->Id);
    const double spread = std::lognormal_distribution<double>(0, 0.3)(model->Rng);
    const double full = PoolNearlyFull(pool->Config, load, 0) ? FullFactor : 1;
    const double work = WorkSeconds * spread * full * load.PacePercent / 100;
    const TimeUs end = model->Now + static_cast<TimeUs>(work * UsPerSecond);
    model->Ending[target->Id].insert(end);
    model->Result.InTime += static_cast<double>(end - arrived) <= ObjectiveSeconds * UsPerSecond ? 1 : 0;
    PoolSent(pool, target);
    target->InFlight--; // InFlight isn't modelled.
    model->Now = arrived;
}

TwoSlotResult SimulateTwoSlots(const TwoSlotPlan& plan)
{
    constexpr double nearly_full_factor = FullFactor; // The value that a pool learns from answers.
    constexpr TimeUs length = 40 * UsPerSecond;
    TwoSlotModel model;
    model.Plan = plan;
    model.Rng.seed(20261202);
    model.Listed.resize(static_cast<size_t>(plan.Targets));
    TargetList all;
    for (int n = 0; n < plan.Targets; n++)
    {
        DirectoryTarget& target = model.Listed[static_cast<size_t>(n)];
        target.Id = fmt::format("t{}", n);
        target.DataCentre = fmt::format("dc{}", n % 4);
        target.Slots = plan.Slots;
        all.push_back(&target);
    }
    model.Pools.resize(InstanceCount);
    size_t instance = 0;
    for (TargetPool& pool : model.Pools)
    {
        pool.Config.AcceptableCost = plan.SettleCost;
        pool.NearlyFullFactor = nearly_full_factor;
        PoolSync(&pool, all, fmt::format("dc{}", instance++ % 4), &model.Rng);
    }
    std::exponential_distribution<double> pause(plan.RequestsPerSecond);
    while (model.Now < length)
    {
        model.Now += static_cast<TimeUs>(pause(model.Rng) * UsPerSecond);
        OneRequest(&model);
    }
    return model.Result;
}

double ShareOf(int part, const TwoSlotResult& result)
{
    return static_cast<double>(part) / result.Requests;
}

// The same plan with an acceptable cost so low that nearly full targets of two slots are rejected.
TwoSlotPlan WithStrictCost(TwoSlotPlan plan)
{
    plan.SettleCost = 1.6;
    return plan;
}

std::string TextOf(const TwoSlotResult& result)
{
    return fmt::format("refused {:.3f}, in time {:.3f}", ShareOf(result.Refused, result), ShareOf(result.InTime, result));
}

} // namespace

class TwoSlotLoadTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(TwoSlotLoadTest);
    CPPUNIT_TEST(ServesRequestsWhileSlotsAreFree);
    CPPUNIT_TEST(ServesABurst);
    CPPUNIT_TEST(UsesOtherDataCentresWhenTargetsAreFew);
    CPPUNIT_TEST(AnOverloadServesNoFewerInTime);
    CPPUNIT_TEST(RejectsSlowTargets);
    CPPUNIT_TEST_SUITE_END();

    static void CheckBetter(const TwoSlotPlan& plan, double refused_max, double in_time_min)
    {
        const TwoSlotResult result = SimulateTwoSlots(plan);
        const TwoSlotResult strict = SimulateTwoSlots(WithStrictCost(plan));
        const std::string text = TextOf(result) + "; strict: " + TextOf(strict);
        CPPUNIT_ASSERT_MESSAGE(text, ShareOf(result.Refused, result) <= refused_max);
        CPPUNIT_ASSERT_MESSAGE(text, ShareOf(result.InTime, result) >= in_time_min);
        CPPUNIT_ASSERT_MESSAGE(text, ShareOf(result.InTime, result) > ShareOf(strict.InTime, strict));
        CPPUNIT_ASSERT_MESSAGE(text, result.Refused < strict.Refused);
    }

    void ServesRequestsWhileSlotsAreFree()
    {
        CheckBetter(TwoSlotPlan(), 0.002, 0.97);
    }

    void ServesABurst()
    {
        TwoSlotPlan burst;
        burst.RequestsPerSecond = 1.7 * 125;
        CheckBetter(burst, 0.04, 0.88);
    }

    // One of four data centres is evacuated: its instances have no targets nearby.
    void UsesOtherDataCentresWhenTargetsAreFew()
    {
        TwoSlotPlan evacuated;
        evacuated.Targets = TargetCount * 3 / 4;
        CheckBetter(evacuated, 0.01, 0.95);
    }

    // Twice the capacity of the targets at their usual pace: accepting nearly full targets must not reduce the number answered in time.
    void AnOverloadServesNoFewerInTime()
    {
        TwoSlotPlan overload;
        overload.RequestsPerSecond = 5 * 125;
        const TwoSlotResult result = SimulateTwoSlots(overload);
        const TwoSlotResult strict = SimulateTwoSlots(WithStrictCost(overload));
        CPPUNIT_ASSERT_MESSAGE(TextOf(result) + "; strict: " + TextOf(strict), result.InTime >= strict.InTime * 0.98);
    }

    void RejectsSlowTargets()
    {
        TargetPool pool;
        PoolTarget target;
        PoolReport(&target, {0, 0, 2, 500}, UsPerSecond);
        CPPUNIT_ASSERT(!PoolIsAcceptable(pool, target, UsPerSecond + 1));
        PoolReport(&target, {1, 0, 2, 100}, UsPerSecond);
        CPPUNIT_ASSERT(PoolIsAcceptable(pool, target, UsPerSecond + 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TwoSlotLoadTest);

} // namespace Winchlink
