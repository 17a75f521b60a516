// target_backoff_test.cpp: targets that refuse and want nothing from an instance for a while.

#include "gateway_rig.h"

#include <fmt/format.h>

namespace Winchlink
{

static constexpr TimeUs BackoffUs = 2 * UsPerSecond;
static constexpr TimeUs OnTheirWayUs = 500 * UsPerMs; // What was sent before the refusal came arrives by then.
static constexpr size_t LateMost = 2;                 // Requests that the users allow between that and the end of the time.

// A target that turns every third request away and asks for rest, with answers between that run.
static UsersTarget& RefusingTarget(Rig* rig)
{
    UsersTarget& target = RigTarget(rig, "refusing");
    for (int n = 0; n < 300; n++)
    {
        target.Script.insert(target.Script.end(), {TargetAct_Good, TargetAct_Good, TargetAct_Shed});
    }
    target.SaysRefusing = {{"Retry-After", "2"}};
    return target;
}

// Requests that came while the target wanted nothing, by the times of its refusals.
static size_t LateArrivals(const UsersTarget& target)
{
    size_t late = 0;
    for (const TimeUs refused : target.Refusals)
    {
        const auto came_late = [refused](TimeUs at)
        {
            return at > refused + OnTheirWayUs && at < refused + BackoffUs;
        };
        late = std::max<size_t>(late, std::count_if(target.Arrivals.begin(), target.Arrivals.end(), came_late));
    }
    return late;
}

// Sends requests at an even pace, without waiting for their answers; so far apart that targets are asked for each.
static void SendMany(Rig* rig, const Gateway& instance, const RigCall& call, int count)
{
    for (int n = 0; n < count; n++)
    {
        RigSend(rig, instance, call);
        RigIdle(rig, 20 * UsPerMs);
    }
}

class TargetBackoffTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetBackoffTest);
    CPPUNIT_TEST(ATargetThatAsksForRestGetsNothing);
    CPPUNIT_TEST_SUITE_END();

    // Guards against targets that turn requests away and get more of them as soon as another answer of theirs is good.
    void ATargetThatAsksForRestGetsNothing()
    {
        Rig rig;
        const UsersTarget& refusing = RefusingTarget(&rig);
        RigTarget(&rig, "other", "svc", "dc-b"); // Farther away: the other one is asked first.
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 2);
        SendMany(&rig, instance, RigCall(), 150);
        const std::string text = fmt::format("{} requests, {} allowed", LateArrivals(refusing), LateMost);
        CPPUNIT_ASSERT_MESSAGE(text, LateArrivals(refusing) <= LateMost);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetBackoffTest);

} // namespace Winchlink
