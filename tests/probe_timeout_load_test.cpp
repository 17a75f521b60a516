// probe_timeout_load_test.cpp: the timeout of load probes, simulated for slow, distant and dead targets.
//
// Guards against a timeout that stays too short for slow or distant targets, or grows although targets answer fast.

#include "check.h"

namespace Winchlink
{

static constexpr double ProbeMs = 6;
static constexpr double SlowFactor = 7;
static constexpr int ProbeCount = 400;

struct ProbeLoad
{
    AdaptiveProbeTimeout Timeout;
    Random Rng{20261203};
    double SlowShare = 0.25;
    double DeadShare = 0;   // Share of the probes that are never answered.
    double RoundTripMs = 6; // Largest round-trip time.
    int Late = 0;           // Probes answered after the timeout.
    int Answered = 0;
};

static double Draw(ProbeLoad* load, double min, double max)
{
    return std::uniform_real_distribution<double>(min, max)(load->Rng);
}

static void SendProbe(ProbeLoad* load)
{
    const bool dead = Draw(load, 0, 1) < load->DeadShare;
    const double pace = Draw(load, 0, 1) < load->SlowShare ? SlowFactor : 1;
    const double took_ms = ProbeMs * pace + Draw(load, 1, load->RoundTripMs);
    const bool in_time = !dead && took_ms * UsPerMs <= static_cast<double>(ProbeTimeoutNow(load->Timeout));
    in_time ? ProbeTimeoutAnswered(&load->Timeout) : ProbeTimeoutExpired(&load->Timeout);
    load->Answered += in_time ? 1 : 0;
    load->Late += !dead && !in_time ? 1 : 0;
}

static ProbeLoad SimulateProbes(ProbeLoad load)
{
    for (int n = 0; n < ProbeCount; n++)
    {
        SendProbe(&load);
    }
    return load;
}

class ProbeTimeoutLoadTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(ProbeTimeoutLoadTest);
    CPPUNIT_TEST(AQuarterOfTheTargetsIsSlow);
    CPPUNIT_TEST(TargetsAreFarAway);
    CPPUNIT_TEST(ATenthNeverAnswers);
    CPPUNIT_TEST(KeepsTheMinimumForFastTargets);
    CPPUNIT_TEST(ShrinksWhenProbesAreAnswered);
    CPPUNIT_TEST(AConstantTimeoutMissesSlowTargets);
    CPPUNIT_TEST_SUITE_END();

    void AQuarterOfTheTargetsIsSlow()
    {
        const ProbeLoad load = SimulateProbes(ProbeLoad());
        CPPUNIT_ASSERT(load.Late <= ProbeCount / 50); // The first probes are late, until the timeout has grown.
    }

    void TargetsAreFarAway()
    {
        ProbeLoad far;
        far.RoundTripMs = 70; // A distant region.
        CPPUNIT_ASSERT(SimulateProbes(far).Late <= ProbeCount / 20);
    }

    void ATenthNeverAnswers()
    {
        ProbeLoad load;
        load.DeadShare = 0.1;
        const ProbeLoad result = SimulateProbes(load);
        CPPUNIT_ASSERT(ProbeTimeoutNow(result.Timeout) <= result.Timeout.MaxUs);
        CPPUNIT_ASSERT(result.Late <= ProbeCount / 50);
    }

    void KeepsTheMinimumForFastTargets()
    {
        ProbeLoad fast;
        fast.SlowShare = 0;
        const ProbeLoad result = SimulateProbes(fast);
        CPPUNIT_ASSERT_EQUAL(0, result.Late);
        CPPUNIT_ASSERT_EQUAL(result.Timeout.MinUs, ProbeTimeoutNow(result.Timeout));
    }

    void ShrinksWhenProbesAreAnswered()
    {
        AdaptiveProbeTimeout time;
        ProbeTimeoutExpired(&time);
        const TimeUs grown = ProbeTimeoutNow(time);
        CPPUNIT_ASSERT(grown > time.MinUs);
        const int needed = static_cast<int>(1 / time.LateShare); // Answered probes that offset a late one.
        for (int n = 0; n < needed; n++)
        {
            CPPUNIT_ASSERT(ProbeTimeoutNow(time) > time.MinUs || n > needed / 2);
            ProbeTimeoutAnswered(&time);
        }
        CPPUNIT_ASSERT_EQUAL(time.MinUs, ProbeTimeoutNow(time));
    }

    // Injected fault: the timeout never grows. It must be detected.
    void AConstantTimeoutMissesSlowTargets()
    {
        ProbeLoad load;
        load.Timeout.Growth = 1;
        CPPUNIT_ASSERT(SimulateProbes(load).Late > ProbeCount / 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProbeTimeoutLoadTest);

} // namespace Winchlink
