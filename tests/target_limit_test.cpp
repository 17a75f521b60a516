// target_limit_test.cpp: targets that name a limit on their requests, over real instances in one process.

#include "gateway_rig.h"
#include "process.h"

#include <fmt/format.h>

namespace Winchlink
{

static constexpr TimeUs WindowUs = 4 * UsPerSecond; // Over which the users count,
static constexpr double WindowOverage = 1.5;        // what they allow of a limit,
static constexpr double WindowSlack = 5;            // and the requests on top.

static double AllowedInWindow(double per_s)
{
    return per_s * static_cast<double>(WindowUs) / static_cast<double>(UsPerSecond) * WindowOverage + WindowSlack;
}

// Requests of moments that a target got, the most in any window.
static size_t MostInWindow(const std::vector<TimeUs>& arrivals)
{
    size_t most = 0;
    size_t first = 0;
    for (size_t n = 0; n < arrivals.size(); n++)
    {
        while (arrivals[first] + WindowUs <= arrivals[n])
        {
            first++;
        }
        most = std::max(most, n - first + 1);
    }
    return most;
}

// Instances that find each other, with addresses of their own on this machine; the first is the first contact.
static std::vector<const Gateway*> StartFleet(Rig* rig, int instances, size_t targets)
{
    const int port = FreePort("127.0.0.10");
    std::string contact;
    std::vector<const Gateway*> fleet;
    for (int n = 0; n < instances; n++)
    {
        Settings settings = RigSettings(*rig);
        const std::string ip = fmt::format("127.0.0.{}", 10 + n);
        settings.PeerAddress = fmt::format("{}:{}", ip, FreePort(ip.c_str()));
        settings.DatagramPort = port;
        contact = n == 0 ? settings.PeerAddress : contact;
        settings.Peers = {contact};
        fleet.push_back(&RigStartWith(rig, settings));
    }
    for (const Gateway* instance : fleet)
    {
        RigAwait(rig, *instance, targets);
    }
    return fleet;
}

// Callers that ask instances by turns, at a steady pace, until the time is over.
static void Load(Rig* rig, const std::vector<const Gateway*>& fleet, double per_s, TimeUs time)
{
    const auto pause = static_cast<TimeUs>(static_cast<double>(UsPerSecond) / per_s);
    for (TimeUs passed = 0; passed < time; passed += pause)
    {
        RigSend(rig, *fleet[static_cast<size_t>(passed / pause) % fleet.size()], RigCall());
        RigIdle(rig, pause);
    }
}

class TargetLimitTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetLimitTest);
    CPPUNIT_TEST(InstancesKeepATargetsLimitTogether);
    CPPUNIT_TEST_SUITE_END();

    // Guards against instances that send on to a target in need as if it had named no limit, or that keep it each by itself.
    void InstancesKeepATargetsLimitTogether()
    {
        constexpr double limit = 2;
        Rig rig;
        UsersTarget& limited = RigTarget(&rig, "limited");
        RigTarget(&rig, "other");
        limited.Says = {{"Server-Limit", "2"}};
        RigConfigure(&rig, {UsersRoute()});
        const std::vector<const Gateway*> fleet = StartFleet(&rig, 6, 2);
        Load(&rig, fleet, 60, 6 * UsPerSecond);
        const size_t most = MostInWindow(limited.Arrivals);
        const std::string text = fmt::format("{} in a window, {} allowed", most, AllowedInWindow(limit));
        CPPUNIT_ASSERT_MESSAGE(text, static_cast<double>(most) <= AllowedInWindow(limit));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLimitTest);

} // namespace Winchlink
