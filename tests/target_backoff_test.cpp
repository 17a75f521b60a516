// target_backoff_test.cpp: targets that refuse requests and ask for a backoff.
//
// Guards against instances that send requests or probes to a target before its backoff ends.

#include "gateway_rig.h"

#include <fmt/format.h>

namespace Winchlink
{

static constexpr TimeUs BackoffUs = 2 * UsPerSecond;
static constexpr TimeUs InFlightGraceUs = 500 * UsPerMs; // Requests sent before the refusal arrived are not counted for so long.
static constexpr size_t LateArrivalsMax = 2;             // Requests allowed between that and the end of the backoff.

// A target that refuses every third request with a backoff of 2 s and runs the others.
static UsersTarget& AddRefusingTarget(Rig* rig)
{
    UsersTarget& target = RigTarget(rig, "refusing");
    for (int n = 0; n < 300; n++)
    {
        target.Script.insert(target.Script.end(), {TargetAct_Good, TargetAct_Good, TargetAct_Refuse});
    }
    target.RefusalHeaders = {{"Retry-After", "2"}};
    return target;
}

// Maximum number of requests that arrived during the backoff of one refusal.
static size_t LateArrivals(const UsersTarget& target)
{
    size_t late = 0;
    for (const TimeUs refused : target.Refusals)
    {
        const auto came_late = [refused](TimeUs at)
        {
            return at > refused + InFlightGraceUs && at < refused + BackoffUs;
        };
        late = std::max<size_t>(late, std::count_if(target.Arrivals.begin(), target.Arrivals.end(), came_late));
    }
    return late;
}

// Sends requests at a steady rate without waiting for answers, so far apart that targets are probed for each.
static void SendMany(Rig* rig, const Gateway& instance, const RigCall& call, int count)
{
    for (int n = 0; n < count; n++)
    {
        RigSend(rig, instance, call);
        RigRunFor(rig, 20 * UsPerMs);
    }
}

class TargetBackoffTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetBackoffTest);
    CPPUNIT_TEST(ATargetGetsNothingDuringItsBackoff);
    CPPUNIT_TEST(TheOnlyTargetLeftGetsNothingDuringItsBackoff);
    CPPUNIT_TEST(ATargetWithoutLoadReportsGetsNothingDuringItsBackoff);
    CPPUNIT_TEST(AHealthAnswerMayAskForABackoff);
    CPPUNIT_TEST(AnotherIncarnationHasNoBackoff);
    CPPUNIT_TEST(NoTargetIsChosenDuringItsBackoff);
    CPPUNIT_TEST(APoolThatForgetsABackoffIsFound);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a backoff that ends as soon as another answer of the target is good.
    void ATargetGetsNothingDuringItsBackoff()
    {
        Rig rig;
        const UsersTarget& refusing = AddRefusingTarget(&rig);
        RigTarget(&rig, "other", "svc", "dc-b"); // In another data centre, so that the refusing target is preferred.
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 2);
        SendMany(&rig, instance, RigCall(), 150);
        const std::string text = fmt::format("{} requests, {} allowed", LateArrivals(refusing), LateArrivalsMax);
        CPPUNIT_ASSERT_MESSAGE(text, LateArrivals(refusing) <= LateArrivalsMax);
    }

    static void CheckRefused(Rig* rig, const Gateway& instance, double min_s)
    {
        const RigAnswer answer = RigSendAndWait(rig, instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(503, answer.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(std::string("2017"), *FindHeader(answer.Answer.Headers, HeaderCode));
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(*rig, answer.Id));
        CPPUNIT_ASSERT(std::stod(*FindHeader(answer.Answer.Headers, "Retry-After")) >= min_s);
    }

    // The target is not probed either. Retry-After for callers follows from the backoff, capped to the time that callers wait.
    void TheOnlyTargetLeftGetsNothingDuringItsBackoff()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t");
        target.Script = {TargetAct_Refuse};
        target.RefusalHeaders = {{"Retry-After", "60"}};
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        RigSendAndWait(&rig, instance, RigCall());
        const int asked = target.HealthAsked;
        for (int n = 0; n < 20; n++)
        {
            CheckRefused(&rig, instance, 0.9); // Half of the caller's two seconds, less the time passed.
        }
        CPPUNIT_ASSERT_EQUAL(size_t{1}, target.Arrivals.size());
        CPPUNIT_ASSERT_EQUAL(asked, target.HealthAsked);
    }

    void ATargetWithoutLoadReportsGetsNothingDuringItsBackoff()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t");
        target.SendsLoad = false;
        target.Script = {TargetAct_Good, TargetAct_Refuse};
        target.RefusalHeaders = {{"Retry-After", "60"}};
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        RigSendAndWait(&rig, instance, RigCall());
        RigSendAndWait(&rig, instance, RigCall());
        CheckRefused(&rig, instance, 0.9);
        CPPUNIT_ASSERT_EQUAL(size_t{2}, target.Arrivals.size());
    }

    void AHealthAnswerMayAskForABackoff()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t");
        target.Ill = true;
        target.RefusalHeaders = {{"Retry-After", "60"}};
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        RigSendAndWait(&rig, instance, RigCall());
        const int asked = target.HealthAsked;
        target.Ill = false;
        CheckRefused(&rig, instance, 0.9);
        CPPUNIT_ASSERT_EQUAL(asked, target.HealthAsked);
    }

    void AnotherIncarnationHasNoBackoff()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t");
        UsersStoreTarget(&rig.Store, "t", "svc", target.Address, "dc-a", false, 0, 1000);
        target.Script = {TargetAct_Refuse};
        target.RefusalHeaders = {{"Retry-After", "60"}};
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        RigSendAndWait(&rig, instance, RigCall());
        CheckRefused(&rig, instance, 0.9);
        UsersStoreTarget(&rig.Store, "t", "svc", target.Address, "dc-a", false, 0, 2000);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return instance.Requests.Directory.Targets.at("t").Incarnation == 2000; }));
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, RigCall()).Answer.Status);
    }

    // Runs random changes of a few targets (added, removed, restarted, answered, backoff) on a pool, beside a model that holds only the end
    // of each incarnation's backoff. Returns false if a target was chosen during its backoff. `forget`: injected fault, the pool drops the
    // backoff when the target answers well.
    static bool KeepsBackoffs(TestRandom* dice, bool forget)
    {
        constexpr int64_t ids = 4;
        TargetPool pool;
        TimeUs now = UsPerSecond;
        std::map<std::string, TimeUs> backoff_until; // By incarnation.
        std::vector<uint64_t> incarnations(ids, 1);
        for (int step = 0; step < 200; step++)
        {
            now += dice->Between(0, 300) * UsPerMs;
            const auto n = static_cast<size_t>(dice->Between(0, ids));
            const std::string id = "t" + std::to_string(n);
            switch (dice->Between(0, 5))
            {
            case 0:
            {
                const TimeUs until = now + dice->Between(0, 3000) * UsPerMs;
                TimeUs& known = backoff_until[TargetIncarnation(id, incarnations[n])];
                known = std::max(known, until);
                PoolBackOff(&pool, id, incarnations[n], until, now);
                break;
            }
            case 1:
                incarnations[n] += dice->OneIn(4) ? 1 : 0;
                UpdatePool(&pool, incarnations, dice);
                break;
            case 2:
                Answer(&pool, id, forget);
                break;
            default:
                for (PoolTarget* target : {PoolNext(&pool, {}, dice->OneIn(2), now), PoolNextUnprobed(&pool, {}, false, now, &dice->Rng)})
                {
                    if (target != nullptr && now < backoff_until[TargetIncarnation(target->Id, target->Incarnation)])
                    {
                        return false;
                    }
                }
            }
        }
        return true;
    }

    static void UpdatePool(TargetPool* pool, const std::vector<uint64_t>& incarnations, TestRandom* dice)
    {
        std::vector<DirectoryTarget> listed;
        for (size_t n = 0; n < incarnations.size(); n++)
        {
            DirectoryTarget target;
            target.Id = "t" + std::to_string(n);
            target.Incarnation = incarnations[n];
            target.Slots = 3;
            target.Presence = dice->OneIn(5) ? Presence_Draining : dice->OneIn(5) ? Presence_Missing : Presence_Ready;
            listed.push_back(target);
        }
        TargetList list;
        for (const DirectoryTarget& target : listed)
        {
            list.push_back(&target);
        }
        PoolSync(pool, list, "dc-a", &dice->Rng);
    }

    static void Answer(TargetPool* pool, const std::string& id, bool forget)
    {
        PoolTarget* target = PoolFind(pool, id);
        if (target != nullptr)
        {
            PoolSucceeded(target);
            target->BackoffUntilUs = forget ? 0 : target->BackoffUntilUs;
        }
    }

    void NoTargetIsChosenDuringItsBackoff()
    {
        CHECK_PROPERTY("no target is chosen that wants nothing",
                       []()
                       {
                           TestRandom dice;
                           RC_ASSERT(KeepsBackoffs(&dice, false));
                       });
    }

    void APoolThatForgetsABackoffIsFound()
    {
        CHECK_FINDS_FAULT("a target is chosen that wants nothing",
                          []()
                          {
                              TestRandom dice;
                              RC_ASSERT(KeepsBackoffs(&dice, true));
                          });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetBackoffTest);

} // namespace Winchlink
