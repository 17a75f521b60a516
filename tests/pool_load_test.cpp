// pool_load_test.cpp: many instances that choose among the same targets, simulated in virtual time without a network.
//
// Guards against refusals and surplus probes when many targets are replaced at once. The targets are chosen by TargetPool. An instance
// probes up to eight targets one after the other, takes the first good one, and refuses the request when none of them has a free slot; a
// probe takes no time. The load is about a quarter of the slots.

#include "pool_model.h"

#include <fmt/format.h>
#include <queue>

namespace Winchlink
{

namespace
{

constexpr int InstanceCount = 80;
constexpr int TargetCount = 67;
constexpr int SlotCount = 3;
constexpr double RequestsPerSecond = 1.3; // For each instance.
constexpr double WorkSeconds = 0.47;

struct PoolModel
{
    Random Rng{20261202};
    TimeUs Now = 0;
    std::vector<TargetPool> Pools;                       // One for each instance.
    std::map<std::string, DirectoryTarget> Listed;       // Targets in the store, by id.
    std::map<std::string, std::multiset<TimeUs>> Ending; // End times of the requests, by target.
    std::map<std::string, int> Served;                   // Requests, by target.
    int SentProbes = 0;
    int Requests = 0;
    int Refused = 0;
};

void List(PoolModel* model, const std::string& id)
{
    DirectoryTarget& target = model->Listed[id];
    target.Id = id;
    target.DataCentre = "dc";
    target.Slots = SlotCount;
}

void FollowListed(PoolModel* model)
{
    TargetList all;
    for (const auto& entry : model->Listed)
    {
        all.push_back(&entry.second);
    }
    model->Pools.resize(InstanceCount);
    for (TargetPool& pool : model->Pools)
    {
        PoolSync(&pool, all, "dc", &model->Rng);
    }
}

LoadReport LoadOf(PoolModel* model, const std::string& id)
{
    std::multiset<TimeUs>& ending = model->Ending[id];
    ending.erase(ending.begin(), ending.upper_bound(model->Now));
    LoadReport report;
    report.Running = static_cast<int>(ending.size());
    report.Slots = SlotCount;
    return report;
}

// Returns the target that a request is sent to, or null if none of the probed ones has a free slot.
PoolTarget* Choose(PoolModel* model, TargetPool* pool)
{
    PoolProbes probes;
    probes.Now = &model->Now;
    probes.LoadOf = [model](const std::string& id)
    {
        return LoadOf(model, id);
    };
    PoolTarget* best = ProbeInTurn(pool, &probes);
    model->SentProbes += probes.SentProbes;
    return best;
}

void OneRequest(PoolModel* model)
{
    const auto instance = std::uniform_int_distribution<size_t>(0, InstanceCount - 1)(model->Rng);
    TargetPool* pool = &model->Pools[instance];
    PoolTarget* target = Choose(model, pool);
    model->Requests++;
    if (target == nullptr)
    {
        model->Refused++;
        return;
    }
    const double work = std::exponential_distribution<double>(1 / WorkSeconds)(model->Rng);
    model->Ending[target->Id].insert(model->Now + static_cast<TimeUs>(work * UsPerSecond));
    model->Served[target->Id]++;
    PoolSent(pool, target);
    target->InFlight--; // InFlight isn't modelled.
}

void RunLoad(PoolModel* model, double seconds)
{
    const TimeUs end = model->Now + static_cast<TimeUs>(seconds * UsPerSecond);
    std::exponential_distribution<double> pause(InstanceCount * RequestsPerSecond);
    while (model->Now < end)
    {
        model->Now += static_cast<TimeUs>(pause(model->Rng) * UsPerSecond);
        OneRequest(model);
    }
}

} // namespace

class PoolLoadTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(PoolLoadTest);
    CPPUNIT_TEST(AddingTargetsKeepsRefusalsAndProbesLow);
    CPPUNIT_TEST_SUITE_END();

    // A quarter of the targets is replaced at once by warm ones. Each instance prefers new targets until each had a request; meanwhile it
    // must still use the old ones, most of which are idle, and each new target gets requests within 2 s.
    void AddingTargetsKeepsRefusalsAndProbesLow()
    {
        constexpr int joining = 17;
        PoolModel model;
        for (int n = 0; n < TargetCount; n++)
        {
            List(&model, fmt::format("old-{}", n));
        }
        FollowListed(&model);
        RunLoad(&model, 10);
        CPPUNIT_ASSERT_EQUAL(0, model.Refused);
        for (int n = 0; n < joining; n++)
        {
            model.Listed.erase(fmt::format("old-{}", n));
            List(&model, fmt::format("new-{}", n));
        }
        FollowListed(&model);
        model.Requests = 0;
        model.SentProbes = 0;
        model.Served.clear();
        RunLoad(&model, 2);
        for (int n = 0; n < joining; n++)
        {
            const std::string id = fmt::format("new-{}", n);
            CPPUNIT_ASSERT_MESSAGE(id, model.Served[id] > 0);
        }
        RunLoad(&model, 10);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of {} refused", model.Refused, model.Requests), model.Refused * 100 <= model.Requests);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} probes for {} requests", model.SentProbes, model.Requests),
                               model.SentProbes <= 3 * model.Requests);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolLoadTest);

} // namespace Winchlink
