// choose_load_test.cpp: hundreds of instances search the same busy targets, simulated in virtual time without a network.
//
// Guards against refusing requests while slots are free, against searches that take longer than a request may wait, and against sending
// requests where they would be late. The load shifts within milliseconds: what one instance has seen of a target is outdated by the
// requests of all others.

#include "choose_fleet.h"

namespace Winchlink
{

namespace
{

// 300 instances and 108 targets of two slots, with this multiple of 900 requests a second. Of the targets' time that would take 0.56 at
// their usual pace; the slow phases and the slowdown of nearly full targets more than double it.
ChooseFleetPlan PlanWith(double demand)
{
    ChooseFleetPlan plan;
    plan.Demand = [demand](TimeUs)
    {
        return demand;
    };
    return plan;
}

ChooseFleetResult Simulate(const ChooseFleetPlan& plan)
{
    constexpr TimeUs length = 10 * UsPerSecond;
    ChooseFleet fleet;
    ChooseFleetStart(&fleet, plan);
    ChooseFleetRun(&fleet, length);
    return ChooseFleetTotal(fleet);
}

std::string TextOf(const ChooseFleetResult& a, const ChooseFleetResult& b)
{
    return ChooseFleetText(a) + "\nin comparison: " + ChooseFleetText(b);
}

} // namespace

class ChooseLoadTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(ChooseLoadTest);
    CPPUNIT_TEST(ServesRequestsWhileSlotsAreFree);
    CPPUNIT_TEST(ASearchEndsInItsTime);
    CPPUNIT_TEST(ASearchFindsFreeSlotsAmongBusyTargets);
    CPPUNIT_TEST(SlowProbesDoNotHoldUpASearch);
    CPPUNIT_TEST(WaitingForASlotServesMoreAtFewInstances);
    CPPUNIT_TEST(WhatWouldBeLateIsRefused);
    CPPUNIT_TEST_SUITE_END();

    void ServesRequestsWhileSlotsAreFree()
    {
        const ChooseFleetResult result = Simulate(PlanWith(0.5));
        CPPUNIT_ASSERT_MESSAGE(ChooseFleetText(result), ChooseFleetRefused(result) * 500 <= result.Requests);
        CPPUNIT_ASSERT_MESSAGE(ChooseFleetText(result), ChooseFleetShare(result.InTime, result) >= 0.97);
    }

    // Choosing may take a fifth of the latency objective, and the last probe no longer than its time-out. Whoever can't be served by then
    // is refused at once, and no search probes more targets than it may.
    void ASearchEndsInItsTime()
    {
        const ChooseFleetPlan plan = PlanWith(1.6);
        const ChooseFleetResult result = Simulate(plan);
        const auto choose = static_cast<TimeUs>(plan.Config.MaxChooseShare * static_cast<double>(plan.ObjectiveUs));
        CPPUNIT_ASSERT_MESSAGE(ChooseFleetText(result), ChooseFleetChoseUs(result, 0) <= choose + AdaptiveProbeTimeout().MinUs);
        CPPUNIT_ASSERT_MESSAGE(ChooseFleetText(result), result.Probes <= plan.Config.MaxProbes * static_cast<int>(result.ChoseUs.size()));
        const int ended = result.InTime + result.Late + ChooseFleetRefused(result);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(ChooseFleetText(result), result.Requests, ended);
    }

    void ASearchFindsFreeSlotsAmongBusyTargets()
    {
        ChooseFleetPlan one_probe = PlanWith(1.3);
        one_probe.Config.MaxProbes = 1;
        const ChooseFleetResult result = Simulate(PlanWith(1.3));
        const ChooseFleetResult without = Simulate(one_probe);
        CPPUNIT_ASSERT_MESSAGE(TextOf(result, without), ChooseFleetRefused(result) * 2 < ChooseFleetRefused(without));
        CPPUNIT_ASSERT_MESSAGE(TextOf(result, without),
                               ChooseFleetShare(result.InTime, result) > ChooseFleetShare(without.InTime, without));
    }

    // A fifth of the targets answers probes late: 30 ms where others take 2 ms.
    void SlowProbesDoNotHoldUpASearch()
    {
        ChooseFleetPlan plan = PlanWith(1);
        plan.SlowProbeFactor = 15;
        ChooseFleetPlan one_at_a_time = plan;
        one_at_a_time.Config.SlowProbeUs = 60 * UsPerSecond;
        const ChooseFleetResult result = Simulate(plan);
        const ChooseFleetResult without = Simulate(one_at_a_time);
        CPPUNIT_ASSERT_MESSAGE(TextOf(result, without), ChooseFleetChoseUs(result, 0.05) < ChooseFleetChoseUs(without, 0.05));
        CPPUNIT_ASSERT_MESSAGE(TextOf(result, without), ChooseFleetRefused(result) < ChooseFleetRefused(without));
    }

    // An instance that gets many of the answers sees slots come free. Where hundreds share the targets each sees few, and waiting is of no
    // use.
    void WaitingForASlotServesMoreAtFewInstances()
    {
        ChooseFleetPlan plan = PlanWith(1.3);
        for (ChooseFleetDataCentre& data_centre : plan.DataCentres)
        {
            data_centre.Instances = 3;
        }
        ChooseFleetPlan no_waiting = plan;
        no_waiting.Config.ProbeRetryUs = 60 * UsPerSecond;
        const ChooseFleetResult result = Simulate(plan);
        const ChooseFleetResult without = Simulate(no_waiting);
        CPPUNIT_ASSERT_MESSAGE(TextOf(result, without),
                               ChooseFleetShare(result.InTime, result) > ChooseFleetShare(without.InTime, without));
        CPPUNIT_ASSERT_MESSAGE(TextOf(result, without), ChooseFleetShare(ChooseFleetRefused(result), result) <
                                                            ChooseFleetShare(ChooseFleetRefused(without), without));
    }

    // In an overload slots are not spent on answers that come too late: a slow target is refused rather than taken.
    void WhatWouldBeLateIsRefused()
    {
        const ChooseFleetPlan plan = PlanWith(2);
        ChooseFleetPlan takes_all = plan;
        takes_all.AcceptableCost = 10;
        takes_all.WorkKnown = false;
        const ChooseFleetResult result = Simulate(plan);
        const ChooseFleetResult without = Simulate(takes_all);
        CPPUNIT_ASSERT_MESSAGE(TextOf(result, without), result.Late * 20 <= result.InTime);
        CPPUNIT_ASSERT_MESSAGE(TextOf(result, without), result.Late < without.Late);
        CPPUNIT_ASSERT_MESSAGE(TextOf(result, without),
                               ChooseFleetShare(result.InTime, result) > ChooseFleetShare(without.InTime, without));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChooseLoadTest);

} // namespace Winchlink
