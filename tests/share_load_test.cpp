// share_load_test.cpp: load reports that instances share: load tests of a fleet in virtual time, and what holds whatever is told.
//
// Guards against instances that each search the same few targets for themselves, refuse while slots are free, and compete for the slots
// that all of them know of.

#include "load_fleet.h"

#include <fmt/format.h>

namespace Winchlink
{

namespace
{

constexpr int FleetInstances = 65; // In each of three data centres.

// Each instance gets four to five requests a second, which is as many as the targets can take when three tenths of them are slow.
FleetPlan Crest(double per_instance_s)
{
    FleetPlan plan;
    plan.DataCentres.assign(3, {FleetInstances, 36, FleetInstances * per_instance_s});
    return plan;
}

FleetResult Run(const FleetPlan& plan)
{
    return LoadFleet(plan).Run();
}

FleetResult RunAlone(FleetPlan plan)
{
    plan.Shared = false;
    return Run(plan);
}

FleetResult RunSilent(FleetPlan plan)
{
    plan.Odd = Neighbour_Silent;
    plan.OddShare = 1;
    return Run(plan);
}

double BytesPerS(const FleetPlan& plan, const FleetResult& result)
{
    int instances = 0;
    for (const FleetDataCentre& data_centre : plan.DataCentres)
    {
        instances += data_centre.Instances;
    }
    return static_cast<double>(result.Bytes) * UsPerSecond / static_cast<double>(plan.LengthUs - plan.CountFromUs) / instances;
}

std::string Describe(const FleetResult& result)
{
    return fmt::format("{} requests, {:.2f} probes, wait {:.1f} ms, at most {:.1f} for 99 of 100, refused {:.4f}, collisions {:.4f}, "
                       "in time {:.4f}, crossed {:.4f}",
                       result.Requests, result.PerRequest(result.Probes), PercentileOf(result.WaitsMs, 0.5),
                       PercentileOf(result.WaitsMs, 0.99), result.PerRequest(result.Refused), result.PerRequest(result.Collisions),
                       result.PerRequest(result.InTime), result.PerRequest(result.Crossed));
}

} // namespace

class ShareLoadTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(ShareLoadTest);
    CPPUNIT_TEST(ACrestIsServedWithFewerProbesAndRefusals);
    CPPUNIT_TEST(ADataCentreWithAQuarterOfTheTargetsAndTwoFifthsOfTheCallers);
    CPPUNIT_TEST(ACrestWhileNeighboursAreSilent);
    CPPUNIT_TEST(ACrestWhileMessagesAreLost);
    CPPUNIT_TEST(ANeighbourThatTellsWrongLoads);
    CPPUNIT_TEST(NeighboursOnAnOlderVersionOrPaused);
    CPPUNIT_TEST(MessagesDoNotGrowWithTheFleet);
    CPPUNIT_TEST_SUITE_END();

    // Pattern: a crest, in which each instance sees four requests a second and the load of a target shifts within 150 ms.
    void ACrestIsServedWithFewerProbesAndRefusals()
    {
        for (const double per_s : {4.0, 4.5})
        {
            const FleetPlan plan = Crest(per_s);
            const FleetResult alone = RunAlone(plan);
            const FleetResult shared = Run(plan);
            const std::string text = Describe(alone) + "\n" + Describe(shared);
            CPPUNIT_ASSERT_MESSAGE(text, 2 * shared.PerRequest(shared.Refused) <= alone.PerRequest(alone.Refused));
            CPPUNIT_ASSERT_MESSAGE(text, shared.PerRequest(shared.Probes) <= alone.PerRequest(alone.Probes) - 2);
            CPPUNIT_ASSERT_MESSAGE(text, shared.PerRequest(shared.Collisions) <= alone.PerRequest(alone.Collisions));
            CPPUNIT_ASSERT_MESSAGE(text, shared.PerRequest(shared.InTime) >= alone.PerRequest(alone.InTime) + 0.02);
            CPPUNIT_ASSERT_MESSAGE(text, PercentileOf(shared.WaitsMs, 0.5) <= PercentileOf(alone.WaitsMs, 0.5) / 2);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, shared.Unusable);
            CPPUNIT_ASSERT_MESSAGE(text, BytesPerS(plan, shared) <= 6000);
        }
    }

    // Pattern: a data centre with a quarter of the targets and two fifths of the callers. More arrives there than its targets can take, so
    // the rest is a matter of division; what can be served there is to be served, and nothing more is to cross than before.
    void ADataCentreWithAQuarterOfTheTargetsAndTwoFifthsOfTheCallers()
    {
        constexpr double all_per_s = 908;
        FleetPlan plan;
        plan.DataCentres = {{65, 59, 0.285 * all_per_s}, {65, 56, 0.285 * all_per_s}, {65, 36, 0.43 * all_per_s}};
        const FleetResult alone = RunAlone(plan);
        const FleetResult shared = Run(plan);
        const std::string text = Describe(alone) + "\n" + Describe(shared);
        CPPUNIT_ASSERT_MESSAGE(text, 3 * shared.RefusedAt[2] <= 2 * alone.RefusedAt[2]);
        CPPUNIT_ASSERT_MESSAGE(text, shared.RefusedAt[0] + shared.RefusedAt[1] <= alone.RefusedAt[0] + alone.RefusedAt[1] + 5);
        CPPUNIT_ASSERT_MESSAGE(text, shared.PerRequest(shared.InTime) >= alone.PerRequest(alone.InTime) + 0.05);
        CPPUNIT_ASSERT_MESSAGE(text, shared.PerRequest(shared.Crossed) <= alone.PerRequest(alone.Crossed) + 0.01);
        CPPUNIT_ASSERT_MESSAGE(text, shared.PerRequest(shared.Collisions) <= alone.PerRequest(alone.Collisions));
    }

    // Pattern: a crest while neighbours are silent, as they are on an older version, restarted or cut off. Sharing is no worse than none.
    void ACrestWhileNeighboursAreSilent()
    {
        const FleetPlan plan = Crest(4.5);
        const FleetResult alone = RunAlone(plan);
        const FleetResult silent = RunSilent(plan);
        const std::string text = Describe(alone) + "\n" + Describe(silent);
        CPPUNIT_ASSERT_MESSAGE(text, silent.PerRequest(silent.Refused) <= alone.PerRequest(alone.Refused));
        CPPUNIT_ASSERT_MESSAGE(text, silent.PerRequest(silent.Probes) <= alone.PerRequest(alone.Probes));
        CPPUNIT_ASSERT_MESSAGE(text, silent.PerRequest(silent.InTime) >= alone.PerRequest(alone.InTime));
        CPPUNIT_ASSERT_MESSAGE(text, silent.PerRequest(silent.Collisions) <= alone.PerRequest(alone.Collisions));
    }

    // Pattern: a crest while a part or all of the messages are lost.
    void ACrestWhileMessagesAreLost()
    {
        const FleetPlan plan = Crest(4.5);
        const FleetResult silent = RunSilent(plan);
        for (const double loss : {0.1, 0.5, 1.0})
        {
            FleetPlan lossy = plan;
            lossy.Loss = loss;
            const FleetResult result = Run(lossy);
            const std::string text = fmt::format("{} lost\n", loss) + Describe(silent) + "\n" + Describe(result);
            CPPUNIT_ASSERT_MESSAGE(text, result.PerRequest(result.Refused) <= silent.PerRequest(silent.Refused) + 0.01);
            CPPUNIT_ASSERT_MESSAGE(text, result.PerRequest(result.InTime) >= silent.PerRequest(silent.InTime) - 0.01);
            CPPUNIT_ASSERT_MESSAGE(text, BytesPerS(lossy, result) <= 6000);
        }
    }

    // Pattern: a neighbour that tells wrong loads. It costs at worst one probe a request, and nothing is used that its own answer did not
    // show to have room.
    void ANeighbourThatTellsWrongLoads()
    {
        FleetPlan plan = Crest(4);
        const FleetResult silent = RunSilent(plan);
        plan.Odd = Neighbour_Lies;
        for (const double share : {0.05, 0.3, 1.0})
        {
            plan.OddShare = share;
            const FleetResult result = Run(plan);
            const std::string text = fmt::format("{} of the instances\n", share) + Describe(silent) + "\n" + Describe(result);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, result.Unusable);
            CPPUNIT_ASSERT_MESSAGE(text, result.PerRequest(result.Probes) <= silent.PerRequest(silent.Probes) + 1);
            CPPUNIT_ASSERT_MESSAGE(text, result.PerRequest(result.Refused) <= silent.PerRequest(silent.Refused) + 0.01);
            CPPUNIT_ASSERT_MESSAGE(text, result.PerRequest(result.InTime) >= silent.PerRequest(silent.InTime) - 0.01);
        }
    }

    // Pattern: neighbours on an older version, restarted, or paused with old messages.
    void NeighboursOnAnOlderVersionOrPaused()
    {
        const FleetPlan plan = Crest(4.5);
        const FleetResult silent = RunSilent(plan);
        for (const Neighbour_ odd : {Neighbour_Silent, Neighbour_Late})
        {
            FleetPlan mixed = plan;
            mixed.Odd = odd;
            mixed.OddShare = 0.5;
            const FleetResult result = Run(mixed);
            const std::string text = Describe(silent) + "\n" + Describe(result);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, result.Unusable);
            CPPUNIT_ASSERT_MESSAGE(text, result.PerRequest(result.Refused) <= silent.PerRequest(silent.Refused) + 0.005);
            CPPUNIT_ASSERT_MESSAGE(text, result.PerRequest(result.InTime) >= silent.PerRequest(silent.InTime) - 0.005);
            CPPUNIT_ASSERT_MESSAGE(text, result.PerRequest(result.Probes) <= silent.PerRequest(silent.Probes) + 1);
        }
    }

    // Each instance knows a bounded number of others, and asks as often as it searches.
    void MessagesDoNotGrowWithTheFleet()
    {
        for (const int instances : {1, 6, 196})
        {
            constexpr double per_instance_s = 4.5;
            FleetPlan plan;
            const int targets = std::max(2, instances * 36 / FleetInstances);
            plan.DataCentres.assign(3, {instances, targets, instances * per_instance_s});
            plan.LengthUs = 6 * UsPerSecond;
            const FleetResult result = Run(plan);
            CPPUNIT_ASSERT_MESSAGE(Describe(result), BytesPerS(plan, result) <= 6000);
            CPPUNIT_ASSERT_EQUAL(0, result.Unusable);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShareLoadTest);

} // namespace Winchlink
