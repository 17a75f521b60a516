// target_limit_test.cpp: limits that targets name on their requests, over real instances in one process.
//
// Guards against instances that exceed a target's limit, each by itself or together, or that keep it when the target names none any more.

#include "gateway_rig.h"
#include "process.h"

#include <fmt/format.h>

namespace Winchlink
{

static constexpr TimeUs WindowUs = 4 * UsPerSecond; // Length of the windows over which limits are checked.
static constexpr double WindowOverage = 1.5;        // Allowed arrivals in a window: the limit times this factor,
static constexpr double WindowSlack = 5;            // plus this number.

static double AllowedInWindow(double per_s)
{
    return per_s * static_cast<double>(WindowUs) / static_cast<double>(UsPerSecond) * WindowOverage + WindowSlack;
}

// Maximum number of arrivals in any window.
static size_t MaxInWindow(const std::vector<TimeUs>& arrivals)
{
    size_t max = 0;
    size_t first = 0;
    for (size_t n = 0; n < arrivals.size(); n++)
    {
        while (arrivals[first] + WindowUs <= arrivals[n])
        {
            first++;
        }
        max = std::max(max, n - first + 1);
    }
    return max;
}

// Starts instances with addresses of their own on this machine; the first one is the seed.
static std::vector<const Gateway*> StartFleet(Rig* rig, int instances, size_t targets)
{
    const int port = FreePort("127.0.0.10");
    std::string seed;
    std::vector<const Gateway*> fleet;
    for (int n = 0; n < instances; n++)
    {
        Settings settings = RigSettings(*rig);
        const std::string ip = fmt::format("127.0.0.{}", 10 + n);
        settings.PeerAddress = fmt::format("{}:{}", ip, FreePort(ip.c_str()));
        settings.DatagramPort = port;
        seed = n == 0 ? settings.PeerAddress : seed;
        settings.Peers = {seed};
        fleet.push_back(&RigStartWith(rig, settings));
    }
    for (const Gateway* instance : fleet)
    {
        RigWaitForPlan(rig, *instance, targets);
    }
    return fleet;
}

// Sends requests to the instances in turn, at a steady rate, until `time` has passed.
static void Load(Rig* rig, const std::vector<const Gateway*>& fleet, double per_s, TimeUs time)
{
    const auto pause = static_cast<TimeUs>(static_cast<double>(UsPerSecond) / per_s);
    for (TimeUs passed = 0; passed < time; passed += pause)
    {
        RigSend(rig, *fleet[static_cast<size_t>(passed / pause) % fleet.size()], RigCall());
        RigRunFor(rig, pause);
    }
}

class TargetLimitTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetLimitTest);
    CPPUNIT_TEST(InstancesKeepATargetsLimitTogether);
    CPPUNIT_TEST(CallersAreRefusedAtOnceIfAllTargetsAreAtTheirLimits);
    CPPUNIT_TEST(TargetsThatReportNoLoadMayNameLimits);
    CPPUNIT_TEST(RetriesCountAgainstTheLimit);
    CPPUNIT_TEST(ALimitThatIsNoLongerNamedIsGone);
    CPPUNIT_TEST(AnotherIncarnationHasNoLimit);
    CPPUNIT_TEST(InstancesLearnLimitsFromEachOther);
    CPPUNIT_TEST(NothingIsSentOnceNoLimitIsKnown);
    CPPUNIT_TEST_SUITE_END();

    // Guards against instances that ignore a target's limit, or that enforce it each by itself.
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
        const size_t max = MaxInWindow(limited.Arrivals);
        const std::string text = fmt::format("{} in a window, {} allowed", max, AllowedInWindow(limit));
        CPPUNIT_ASSERT_MESSAGE(text, static_cast<double>(max) <= AllowedInWindow(limit));
    }

    static void CheckKept(const UsersTarget& target, double limit)
    {
        const size_t max = MaxInWindow(target.Arrivals);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} in a window", max), static_cast<double>(max) <= AllowedInWindow(limit));
    }

    void CallersAreRefusedAtOnceIfAllTargetsAreAtTheirLimits()
    {
        Rig rig;
        for (const char* id : {"t1", "t2"})
        {
            RigTarget(&rig, id).Says = {{"Server-Limit", "0.5"}};
        }
        UsersRoute route;
        route.Safe = false;
        RigConfigure(&rig, {route});
        const Gateway& instance = RigInstance(&rig, 2);
        int refused = 0;
        for (int n = 0; n < 40; n++)
        {
            const RigAnswer answer = RigSendAndWait(&rig, instance, RigCall());
            const std::string* code = FindHeader(answer.Answer.Headers, HeaderCode);
            if (answer.Answer.Status == 503)
            {
                CPPUNIT_ASSERT_EQUAL(std::string("2017"), *code);
                CPPUNIT_ASSERT_EQUAL(0, RigRunCount(rig, answer.Id));
                CPPUNIT_ASSERT(std::stod(*FindHeader(answer.Answer.Headers, "Retry-After")) >=
                               0.9); // Both targets together take one request a second.
                refused++;
            }
        }
        CPPUNIT_ASSERT(refused >= 20);
        CPPUNIT_ASSERT_EQUAL(0, instance.Requests.Services.at("svc").InProgress);
    }

    void TargetsThatReportNoLoadMayNameLimits()
    {
        Rig rig;
        UsersTarget& limited = RigTarget(&rig, "t1");
        UsersTarget& other = RigTarget(&rig, "t2");
        limited.SendsLoad = other.SendsLoad = false;
        limited.Says = {{"Server-Limit", "1"}};
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 2);
        for (int n = 0; n < 100; n++)
        {
            CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, RigCall()).Answer.Status);
        }
        CheckKept(limited, 1);
        CPPUNIT_ASSERT(!limited.Arrivals.empty());
    }

    // The other target refuses each request, so that all of them come to the limited one as retries.
    void RetriesCountAgainstTheLimit()
    {
        Rig rig;
        UsersTarget& limited = RigTarget(&rig, "t1");
        UsersTarget& other = RigTarget(&rig, "t2");
        limited.Says = {{"Server-Limit", "1"}};
        other.Script.assign(1000, TargetAct_Refuse);
        RigConfigure(&rig, {UsersRoute()});
        Gateway& instance = RigInstance(&rig, 2);
        instance.Requests.Config.RetryShare = 10;
        ForwarderFollow(&instance.Requests);
        for (int n = 0; n < 100; n++)
        {
            RigSendAndWait(&rig, instance, RigCall());
        }
        CheckKept(limited, 1);
    }

    void ALimitThatIsNoLongerNamedIsGone()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t1");
        target.Says = {{"Server-Limit", "2"}};
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        RigSendAndWait(&rig, instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(size_t{1}, instance.Requests.TargetLimits.Limits.size());
        target.Says.clear();
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return RigSendAndWait(&rig, instance, RigCall()).Answer.Status == 200; }));
        for (int n = 0; n < 50; n++)
        {
            CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, RigCall()).Answer.Status);
        }
    }

    void AnotherIncarnationHasNoLimit()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t1");
        target.Says = {{"Server-Limit", "0"}};
        UsersStoreTarget(&rig.Store, "t1", "svc", target.Address, "dc-a", false, 0, 1000);
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        RigSendAndWait(&rig, instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(503, RigSendAndWait(&rig, instance, RigCall()).Answer.Status);
        target.Says.clear();
        UsersStoreTarget(&rig.Store, "t1", "svc", target.Address, "dc-a", false, 0, 2000);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return instance.Requests.Directory.Targets.at("t1").Incarnation == 2000; }));
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, RigCall()).Answer.Status);
    }

    void InstancesLearnLimitsFromEachOther()
    {
        Rig rig;
        RigTarget(&rig, "t1").Says = {{"Server-Limit", "100"}};
        RigConfigure(&rig, {UsersRoute()});
        const std::vector<const Gateway*> fleet = StartFleet(&rig, 4, 1);
        RigSendAndWait(&rig, *fleet.back(), RigCall());
        const uint64_t id = TargetIncarnationId("t1", fleet[0]->Requests.Directory.Targets.at("t1").Incarnation);
        const auto all_know = [&]()
        {
            return std::all_of(fleet.begin(), fleet.end(),
                               [id](const Gateway* instance) { return QuotaTargetLimit(instance->Requests.TargetLimits, id) != nullptr; });
        };
        CPPUNIT_ASSERT(RigRunUntil(&rig, all_know));
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return fleet[0]->Requests.TargetLimits.MembersMax == 4; }));
    }

    // Guards against instances that keep sending limits to each other after the last one has expired.
    void NothingIsSentOnceNoLimitIsKnown()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t1");
        target.Says = {{"Server-Limit", "100"}};
        RigConfigure(&rig, {UsersRoute()});
        Gateway& instance = RigInstance(&rig, 1);
        instance.Requests.TargetLimits.Config.LiftedLimitExpiryUs = 100 * UsPerMs;
        const Timer& reporting = instance.Quotas.Channels[QuotaSubject_Targets].Reporting;
        CPPUNIT_ASSERT(!reporting);
        RigSendAndWait(&rig, instance, RigCall());
        CPPUNIT_ASSERT(bool(reporting));
        target.Says.clear();
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return RigSendAndWait(&rig, instance, RigCall()).Answer.Status == 200; }));
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return !reporting; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLimitTest);

} // namespace Winchlink
