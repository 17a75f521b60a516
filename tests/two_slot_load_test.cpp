// two_slot_load_test.cpp: requests in search of a free slot among targets of two slots, played in virtual time without a network.
//
// The pattern: a target with one request in progress is nearly full, and between a third and a half of all are; three tenths of the targets
// are five times slower at any moment. Good ones are rare, so a request that takes nothing else is refused beside idle slots.
//
// The choice is the library's own (TargetPool). Figures are the users': 95 instances, a service of 37 targets of two slots, 125 requests a
// second of 0.12 s (spread 0.3) that are to be answered within 0.3 s; a pace of x5 for three tenths of the time, drawn anew every 0.15 s,
// for the requests that begin then; x1.7 when both slots are in use. A question takes 2 ms, eight are asked at the most, and a request that
// finds nothing is refused: callers who come back are late at that aim.

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
constexpr double AimSeconds = 0.3;
constexpr TimeUs QuestionUs = 2 * UsPerMs;
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
    std::map<std::string, std::multiset<TimeUs>> Ending; // By target: when its requests end.
    std::vector<TargetPool> Pools;
    TwoSlotResult Result;
};

// Whether the target is slow now: drawn for each target and step of time, the same for whoever asks.
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

// The target that a request gets; null: none of those asked is taken.
PoolTarget* Choose(TwoSlotModel* model, TargetPool* pool)
{
    PoolQuestions questions;
    questions.Now = &model->Now;
    questions.EachUs = QuestionUs;
    questions.Tell = [model](const std::string& id)
    {
        return LoadOf(model, id);
    };
    PoolTarget* best = AskInTurn(pool, &questions);
    return best != nullptr && PoolSettles(*pool, *best, model->Now) ? best : nullptr;
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
        model->Now = arrived; // The next request does not wait for this one's questions.
        return;
    }
    const LoadReport load = LoadOf(model, target->Id);
    const double spread = std::lognormal_distribution<double>(0, 0.3)(model->Rng);
    const double full = PoolNearlyFull(pool->Config, load, 0) ? FullFactor : 1;
    const double work = WorkSeconds * spread * full * load.PacePercent / 100;
    const TimeUs end = model->Now + static_cast<TimeUs>(work * UsPerSecond);
    model->Ending[target->Id].insert(end);
    model->Result.InTime += static_cast<double>(end - arrived) <= AimSeconds * UsPerSecond ? 1 : 0;
    PoolSent(pool, target);
    target->InFlight--; // The model's instances have one request at a time.
    model->Now = arrived;
}

TwoSlotResult PlayTwoSlots(const TwoSlotPlan& plan)
{
    constexpr double learnt = FullFactor; // As the pool learns it from answers.
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
        pool.NearlyFullFactor = learnt;
        PoolFollow(&pool, all, fmt::format("dc{}", instance++ % 4), &model.Rng);
    }
    std::exponential_distribution<double> pause(plan.RequestsPerSecond);
    while (model.Now < length)
    {
        model.Now += static_cast<TimeUs>(pause(model.Rng) * UsPerSecond);
        OneRequest(&model);
    }
    return model.Result;
}

double PartOf(int part, const TwoSlotResult& result)
{
    return static_cast<double>(part) / result.Requests;
}

// As it was while nearly full targets of two slots were not settled for.
TwoSlotPlan Choosy(TwoSlotPlan plan)
{
    plan.SettleCost = 1.6;
    return plan;
}

std::string TextOf(const TwoSlotResult& result)
{
    return fmt::format("refused {:.3f}, in time {:.3f}", PartOf(result.Refused, result), PartOf(result.InTime, result));
}

} // namespace

class TwoSlotLoadTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(TwoSlotLoadTest);
    CPPUNIT_TEST(NobodyIsRefusedBesideIdleSlots);
    CPPUNIT_TEST(ABurstIsServed);
    CPPUNIT_TEST(ADataCentreWithTooFewTargetsIsHelpedByOthers);
    CPPUNIT_TEST(InADeepOverloadNoLessIsServed);
    CPPUNIT_TEST(SlowTargetsAreNotSettledFor);
    CPPUNIT_TEST_SUITE_END();

    static void CheckBetter(const TwoSlotPlan& plan, double refused_most, double in_time_least)
    {
        const TwoSlotResult result = PlayTwoSlots(plan);
        const TwoSlotResult choosy = PlayTwoSlots(Choosy(plan));
        const std::string text = TextOf(result) + "; choosy: " + TextOf(choosy);
        CPPUNIT_ASSERT_MESSAGE(text, PartOf(result.Refused, result) <= refused_most);
        CPPUNIT_ASSERT_MESSAGE(text, PartOf(result.InTime, result) >= in_time_least);
        CPPUNIT_ASSERT_MESSAGE(text, PartOf(result.InTime, result) > PartOf(choosy.InTime, choosy));
        CPPUNIT_ASSERT_MESSAGE(text, result.Refused < choosy.Refused);
    }

    void NobodyIsRefusedBesideIdleSlots()
    {
        CheckBetter(TwoSlotPlan(), 0.002, 0.97);
    }

    void ABurstIsServed()
    {
        TwoSlotPlan burst;
        burst.RequestsPerSecond = 1.7 * 125;
        CheckBetter(burst, 0.04, 0.88);
    }

    // As where a data centre is evacuated: its callers find none near.
    void ADataCentreWithTooFewTargetsIsHelpedByOthers()
    {
        TwoSlotPlan evacuated;
        evacuated.Targets = TargetCount * 3 / 4;
        CheckBetter(evacuated, 0.01, 0.95);
    }

    // Twice what the targets can bear at their usual pace: their last slots are worth less, and still no fewer are answered in time.
    void InADeepOverloadNoLessIsServed()
    {
        TwoSlotPlan overload;
        overload.RequestsPerSecond = 5 * 125;
        const TwoSlotResult result = PlayTwoSlots(overload);
        const TwoSlotResult choosy = PlayTwoSlots(Choosy(overload));
        CPPUNIT_ASSERT_MESSAGE(TextOf(result) + "; choosy: " + TextOf(choosy), result.InTime >= choosy.InTime * 0.98);
    }

    void SlowTargetsAreNotSettledFor()
    {
        TargetPool pool;
        PoolTarget target;
        PoolReport(&target, {0, 0, 2, 500}, UsPerSecond);
        CPPUNIT_ASSERT(!PoolSettles(pool, target, UsPerSecond + 1));
        PoolReport(&target, {1, 0, 2, 100}, UsPerSecond);
        CPPUNIT_ASSERT(PoolSettles(pool, target, UsPerSecond + 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TwoSlotLoadTest);

} // namespace Winchlink
