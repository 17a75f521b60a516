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
    CPPUNIT_TEST(TheOnlyTargetLeftGetsNothingEither);
    CPPUNIT_TEST(SoDoesOneThatTellsNoLoad);
    CPPUNIT_TEST(AHealthAnswerAsksForRestToo);
    CPPUNIT_TEST(AnotherStartHasAskedForNothing);
    CPPUNIT_TEST(NoTargetIsChosenThatWantsNothing);
    CPPUNIT_TEST(APoolThatForgetsIsFound);
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

    static void CheckRefused(Rig* rig, const Gateway& instance, double least_s)
    {
        const RigAnswer answer = RigAsk(rig, instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(503, answer.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(std::string("2017"), *FindHeader(answer.Answer.Headers, HeaderCode));
        CPPUNIT_ASSERT_EQUAL(0, RigRuns(*rig, answer.Id));
        CPPUNIT_ASSERT(std::stod(*FindHeader(answer.Answer.Headers, "Retry-After")) >= least_s);
    }

    // Nor is it asked for its load. Callers are told a time that follows from its own, as far as they wait.
    void TheOnlyTargetLeftGetsNothingEither()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t");
        target.Script = {TargetAct_Shed};
        target.SaysRefusing = {{"Retry-After", "60"}};
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        RigAsk(&rig, instance, RigCall());
        const int asked = target.HealthAsked;
        for (int n = 0; n < 20; n++)
        {
            CheckRefused(&rig, instance, 0.9); // Half of the two seconds that callers wait, less what has passed.
        }
        CPPUNIT_ASSERT_EQUAL(size_t{1}, target.Arrivals.size());
        CPPUNIT_ASSERT_EQUAL(asked, target.HealthAsked);
    }

    void SoDoesOneThatTellsNoLoad()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t");
        target.TellsLoad = false;
        target.Script = {TargetAct_Good, TargetAct_Shed};
        target.SaysRefusing = {{"Retry-After", "60"}};
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        RigAsk(&rig, instance, RigCall());
        RigAsk(&rig, instance, RigCall());
        CheckRefused(&rig, instance, 0.9);
        CPPUNIT_ASSERT_EQUAL(size_t{2}, target.Arrivals.size());
    }

    void AHealthAnswerAsksForRestToo()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t");
        target.Ill = true;
        target.SaysRefusing = {{"Retry-After", "60"}};
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        RigAsk(&rig, instance, RigCall());
        const int asked = target.HealthAsked;
        target.Ill = false;
        CheckRefused(&rig, instance, 0.9);
        CPPUNIT_ASSERT_EQUAL(asked, target.HealthAsked);
    }

    void AnotherStartHasAskedForNothing()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t");
        UsersStoreTarget(&rig.Store, "t", "svc", target.Address, "dc-a", false, 0, 1000);
        target.Script = {TargetAct_Shed};
        target.SaysRefusing = {{"Retry-After", "60"}};
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        RigAsk(&rig, instance, RigCall());
        CheckRefused(&rig, instance, 0.9);
        UsersStoreTarget(&rig.Store, "t", "svc", target.Address, "dc-a", false, 0, 2000);
        CPPUNIT_ASSERT(RigRun(&rig, [&]() { return instance.Requests.Directory.Targets.at("t").Incarnation == 2000; }));
        CPPUNIT_ASSERT_EQUAL(200, RigAsk(&rig, instance, RigCall()).Answer.Status);
    }

    // A pool of a few targets that come, go, start again, answer and ask for rest in any order, beside a model that only remembers until
    // when each life of a target wants nothing. False if a target was chosen that wants nothing. `forget`: planted, the pool forgets it
    // when the target answers well.
    static bool KeepsBackoffs(Dice* dice, bool forget)
    {
        constexpr int64_t ids = 4;
        TargetPool pool;
        TimeUs now = UsPerSecond;
        std::map<std::string, TimeUs> wants_nothing_until; // By life.
        std::vector<uint64_t> lives(ids, 1);
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
                TimeUs& known = wants_nothing_until[TargetLife(id, lives[n])];
                known = std::max(known, until);
                PoolBackOff(&pool, id, lives[n], until, now);
                break;
            }
            case 1:
                lives[n] += dice->OneIn(4) ? 1 : 0;
                FollowSome(&pool, lives, dice);
                break;
            case 2:
                Answer(&pool, id, forget);
                break;
            default:
                for (PoolTarget* target : {PoolNext(&pool, {}, dice->OneIn(2), now), PoolNextUnasked(&pool, {}, false, now, &dice->Rng)})
                {
                    if (target != nullptr && now < wants_nothing_until[TargetLife(target->Id, target->Incarnation)])
                    {
                        return false;
                    }
                }
            }
        }
        return true;
    }

    static void FollowSome(TargetPool* pool, const std::vector<uint64_t>& lives, Dice* dice)
    {
        std::vector<DirectoryTarget> listed;
        for (size_t n = 0; n < lives.size(); n++)
        {
            DirectoryTarget target;
            target.Id = "t" + std::to_string(n);
            target.Incarnation = lives[n];
            target.Slots = 3;
            target.Presence = dice->OneIn(5) ? Presence_Leaving : dice->OneIn(5) ? Presence_Vanished : Presence_Ready;
            listed.push_back(target);
        }
        TargetList list;
        for (const DirectoryTarget& target : listed)
        {
            list.push_back(&target);
        }
        PoolFollow(pool, list, "dc-a", &dice->Rng);
    }

    static void Answer(TargetPool* pool, const std::string& id, bool forget)
    {
        PoolTarget* target = PoolFind(pool, id);
        if (target != nullptr)
        {
            PoolGood(target);
            target->BackoffUntilUs = forget ? 0 : target->BackoffUntilUs;
        }
    }

    void NoTargetIsChosenThatWantsNothing()
    {
        CHECK_PROPERTY("no target is chosen that wants nothing",
                       []()
                       {
                           Dice dice;
                           RC_ASSERT(KeepsBackoffs(&dice, false));
                       });
    }

    void APoolThatForgetsIsFound()
    {
        CHECK_FINDS_FAULT("a target is chosen that wants nothing",
                          []()
                          {
                              Dice dice;
                              RC_ASSERT(KeepsBackoffs(&dice, true));
                          });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetBackoffTest);

} // namespace Winchlink
