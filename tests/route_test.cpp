// route_test.cpp: the router: reservations, leaving, failing, limits.

#include "check.h"

#include <set>

namespace Winchlink
{

static constexpr TimeUs Start = 1000 * UsPerSecond;

static ChooseArgs Args(bool repeatable = true)
{
    ChooseArgs args;
    args.RemainingUs = UsPerSecond;
    args.Repeatable = repeatable;
    return args;
}

static Router RouterOf(const ServiceRow& row)
{
    Router router;
    RouterFollow(&router, row, "dc1", 1);
    return router;
}

// Sends one request and settles it at once; the target, 0 if refused.
static TargetKey Play(Router* router, Random* random, TimeUs now, Outcome_ outcome, TimeUs latency, bool repeatable = true)
{
    const Choice choice = RouterChoose(router, Args(repeatable), now, random);
    if (choice.Refused != RefuseReason_None)
    {
        return 0;
    }
    RouterSettle(router, choice.Target, outcome, latency, now + latency);
    return choice.Target;
}

static TargetRun RunOf(TargetKey key, uint64_t start, bool leaving, uint16_t busy = 0)
{
    return {key, start, leaving, busy, 0};
}

class RouteTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteTest);
    CPPUNIT_TEST(ReservationsComeBack);
    CPPUNIT_TEST(LeavingTargetGetsNothing);
    CPPUNIT_TEST(OnlyANewStartBringsItBack);
    CPPUNIT_TEST(FailingFastAttractsNothing);
    CPPUNIT_TEST(NeverMoreThanHalfOut);
    CPPUNIT_TEST(TrialIsOneRepeatableRequest);
    CPPUNIT_TEST(CancelledTrialFreesThePlace);
    CPPUNIT_TEST(SlowTargetIsAvoided);
    CPPUNIT_TEST(SlowTargetIsTriedAgain);
    CPPUNIT_TEST(UnknownTargetIsTried);
    CPPUNIT_TEST(SheddingTargetIsFull);
    CPPUNIT_TEST(RowLimitRefusesWithATime);
    CPPUNIT_TEST(HedgeDelayIsThe95thPercentile);
    CPPUNIT_TEST(AnOutrunTargetIsKnownToBeSlow);
    CPPUNIT_TEST(DeadlineTooShortRefuses);
    CPPUNIT_TEST(ConnectionShare);
    CPPUNIT_TEST(OldReportsLoseWeight);
    CPPUNIT_TEST(WeightsShareTraffic);
    CPPUNIT_TEST(FollowKeepsWhatIsInProgress);
    CPPUNIT_TEST_SUITE_END();

public:
    // Random calls, settlements, edits and reports: what is in flight is what was chosen and not settled.
    void ReservationsComeBack()
    {
        CHECK_PROPERTY("reservations",
                       []()
                       {
                           Router router = RouterOf(MakeRow("r", 1, 3));
                           Dice dice;
                           Random random(dice.Rng());
                           std::vector<TargetKey> open;
                           TimeUs now = Start;
                           for (int step = 0; step < 200; step++)
                           {
                               now += dice.Between(0, UsPerSecond);
                               const int64_t event = dice.Between(0, 10);
                               if (event < 5)
                               {
                                   const Choice choice = RouterChoose(&router, Args(event < 3), now, &random);
                                   if (choice.Refused == RefuseReason_None)
                                   {
                                       open.push_back(choice.Target);
                                   }
                                   else
                                   {
                                       RC_ASSERT(choice.RetryAfterUs > 0);
                                   }
                               }
                               else if (event < 8 && !open.empty())
                               {
                                   const auto n = static_cast<size_t>(dice.Between(0, static_cast<int64_t>(open.size())));
                                   const auto outcome = static_cast<Outcome_>(dice.Between(Outcome_Answered, Outcome_COUNT));
                                   RouterSettle(&router, open[n], outcome, 5 * UsPerMs, now);
                                   open.erase(open.begin() + static_cast<std::ptrdiff_t>(n));
                               }
                               else if (event == 8)
                               {
                                   RouterFollow(&router, MakeRow("r", 1, static_cast<int>(dice.Between(1, 5))), "dc1", 1);
                               }
                               else
                               {
                                   const TargetKey key = KeyOfTarget("127.0.0.1:9000");
                                   RouterMergeRun(&router, RunOf(key, static_cast<uint64_t>(dice.Between(0, 4)), dice.OneIn(2)), now, now);
                               }
                               int in_flight = 0;
                               for (const std::vector<RouterTarget>* list : {&router.Targets, &router.Retired})
                               {
                                   for (const RouterTarget& target : *list)
                                   {
                                       RC_ASSERT(target.InFlight >= 0);
                                       in_flight += target.InFlight;
                                   }
                               }
                               RC_ASSERT(in_flight == static_cast<int>(open.size()));
                               RC_ASSERT(router.InFlight == in_flight);
                           }
                       });
    }

    void LeavingTargetGetsNothing()
    {
        Router router = RouterOf(MakeRow("r", 1, 2));
        Random random(1);
        const TargetKey leaving = router.Targets[0].Key;
        RouterMergeRun(&router, RunOf(leaving, 5, true), Start, Start);
        for (int n = 0; n < 100; n++)
        {
            CPPUNIT_ASSERT(Play(&router, &random, Start + n, Outcome_Answered, 1) != leaving);
        }
        CPPUNIT_ASSERT(!RouterStillGood(router, leaving));
    }

    void OnlyANewStartBringsItBack()
    {
        Router router = RouterOf(MakeRow("r", 1, 1));
        const TargetKey key = router.Targets[0].Key;
        RouterMergeRun(&router, RunOf(key, 5, true), Start, Start);
        RouterMergeRun(&router, RunOf(key, 5, false), Start + 1, Start + 1);
        RouterMergeRun(&router, RunOf(key, 4, false), Start + 2, Start + 2);
        CPPUNIT_ASSERT(!RouterStillGood(router, key));
        RouterMergeRun(&router, RunOf(key, 6, false), Start + 3, Start + 3);
        CPPUNIT_ASSERT(RouterStillGood(router, key));
    }

    // One of four answers 500 within 0.2 ms, the others take 8 ms: by latency alone it would get nearly everything.
    void FailingFastAttractsNothing()
    {
        Router router = RouterOf(MakeRow("r", 1, 4));
        Random random(1);
        const TargetKey failing = router.Targets[0].Key;
        int to_failing = 0;
        TimeUs now = Start;
        for (int n = 0; n < 1000; n++, now += 10 * UsPerMs)
        {
            const Choice choice = RouterChoose(&router, Args(), now, &random);
            const bool fails = choice.Target == failing;
            to_failing += fails ? 1 : 0;
            RouterSettle(&router, choice.Target, fails ? Outcome_Failed : Outcome_Answered, fails ? 200 : 8 * UsPerMs, now + 8 * UsPerMs);
        }
        CPPUNIT_ASSERT(to_failing < 20);
    }

    void NeverMoreThanHalfOut()
    {
        Router router = RouterOf(MakeRow("r", 1, 5));
        Random random(1);
        TimeUs now = Start;
        for (int n = 0; n < 500; n++, now += UsPerMs)
        {
            Play(&router, &random, now, Outcome_Failed, 200);
            int out = 0;
            for (const RouterTarget& target : router.Targets)
            {
                out += target.OutUntilUs != 0 ? 1 : 0;
            }
            CPPUNIT_ASSERT(out <= 2);
        }
    }

    void TrialIsOneRepeatableRequest()
    {
        Router router = RouterOf(MakeRow("r", 1, 2));
        Random random(1);
        router.Targets[0].OutUntilUs = Start;
        router.Targets[0].FailShare = 1;
        router.Targets[1].Leaving = true;
        CPPUNIT_ASSERT(RouterChoose(&router, Args(false), Start + 1, &random).Refused == RefuseReason_NoTargetLeft);
        const Choice trial = RouterChoose(&router, Args(true), Start + 1, &random);
        CPPUNIT_ASSERT(trial.Trial);
        CPPUNIT_ASSERT(RouterChoose(&router, Args(true), Start + 1, &random).Refused == RefuseReason_NoTargetLeft);
        RouterSettle(&router, trial.Target, Outcome_Answered, UsPerMs, Start + 2);
        CPPUNIT_ASSERT(RouterChoose(&router, Args(false), Start + 3, &random).Refused == RefuseReason_None);
    }

    void CancelledTrialFreesThePlace()
    {
        Router router = RouterOf(MakeRow("r", 1, 1));
        Random random(1);
        router.Targets[0].OutUntilUs = Start;
        const Choice trial = RouterChoose(&router, Args(true), Start + 1, &random);
        RouterSettle(&router, trial.Target, Outcome_Cancelled, UsPerMs, Start + 2);
        CPPUNIT_ASSERT(RouterChoose(&router, Args(true), Start + 3, &random).Trial);
    }

    void SlowTargetIsAvoided()
    {
        Router router = RouterOf(MakeRow("r", 1, 4));
        Random random(1);
        const TargetKey slow = router.Targets[0].Key;
        int to_slow = 0;
        TimeUs now = Start;
        for (int n = 0; n < 1000; n++, now += 5 * UsPerMs)
        {
            const Choice choice = RouterChoose(&router, Args(), now, &random);
            to_slow += choice.Target == slow ? 1 : 0;
            RouterSettle(&router, choice.Target, Outcome_Answered, choice.Target == slow ? 80 * UsPerMs : 8 * UsPerMs, now + UsPerMs);
        }
        CPPUNIT_ASSERT(to_slow < 50);
    }

    void SlowTargetIsTriedAgain()
    {
        Router router = RouterOf(MakeRow("r", 1, 2));
        Random random(1);
        router.Targets[0].LatencyUs = 500.0 * UsPerMs;
        router.Targets[0].AnsweredUs = Start;
        router.Targets[1].LatencyUs = 8.0 * UsPerMs;
        router.Targets[1].AnsweredUs = Start;
        std::set<TargetKey> seen;
        TimeUs now = Start;
        for (int n = 0; n < 6000; n++, now += 10 * UsPerMs)
        {
            seen.insert(Play(&router, &random, now, Outcome_Answered, 8 * UsPerMs));
        }
        CPPUNIT_ASSERT_EQUAL(size_t(2), seen.size());
    }

    // One call at a time, and only one target is known: the other one must get its first request all the same.
    void UnknownTargetIsTried()
    {
        Router router = RouterOf(MakeRow("r", 1, 2));
        Random random(1);
        std::set<TargetKey> seen;
        for (int n = 0; n < 20; n++)
        {
            seen.insert(Play(&router, &random, Start + n * UsPerMs, Outcome_Answered, 200));
        }
        CPPUNIT_ASSERT_EQUAL(size_t(2), seen.size());
    }

    void SheddingTargetIsFull()
    {
        Router router = RouterOf(MakeRow("r", 1, 2));
        Random random(1);
        const Choice choice = RouterChoose(&router, Args(), Start, &random);
        RouterSettle(&router, choice.Target, Outcome_NotRun, 100, Start);
        for (int n = 0; n < 20; n++)
        {
            CPPUNIT_ASSERT(Play(&router, &random, Start + 1 + n, Outcome_Answered, 1) != choice.Target);
        }
    }

    void HedgeDelayIsThe95thPercentile()
    {
        Router router = RouterOf(MakeRow("r", 1, 2));
        CPPUNIT_ASSERT_EQUAL(TimeUs(0), RouterHedgeAfter(router));
        Random random(1);
        std::uniform_real_distribution<double> latency(0, 100.0 * UsPerMs);
        for (int n = 0; n < 5000; n++)
        {
            Play(&router, &random, Start + n, Outcome_Answered, static_cast<TimeUs>(latency(random)));
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(95.0 * UsPerMs, static_cast<double>(RouterHedgeAfter(router)), 6.0 * UsPerMs);
    }

    void AnOutrunTargetIsKnownToBeSlow()
    {
        Router router = RouterOf(MakeRow("r", 1, 2));
        Random random(1);
        for (int n = 0; n < 20; n++)
        {
            Play(&router, &random, Start + n, Outcome_Answered, 5 * UsPerMs);
        }
        const Choice choice = RouterChoose(&router, Args(), Start + 100, &random);
        RouterSettle(&router, choice.Target, Outcome_Outrun, 100 * UsPerMs, Start + 100 * UsPerMs);
        for (int n = 0; n < 10; n++)
        {
            CPPUNIT_ASSERT(Play(&router, &random, Start + 101 * UsPerMs + n, Outcome_Answered, 5 * UsPerMs) != choice.Target);
        }
    }

    void RowLimitRefusesWithATime()
    {
        ServiceRow row = MakeRow("r", 1, 2);
        row.MaxConcurrent = 3;
        Router router = RouterOf(row);
        Random random(1);
        for (int n = 0; n < 3; n++)
        {
            CPPUNIT_ASSERT(RouterChoose(&router, Args(), Start, &random).Refused == RefuseReason_None);
        }
        const Choice refused = RouterChoose(&router, Args(), Start, &random);
        CPPUNIT_ASSERT(refused.Refused == RefuseReason_RowLimit);
        CPPUNIT_ASSERT(refused.RetryAfterUs > 0 && refused.RetryAfterUs < UsPerSecond);
    }

    void DeadlineTooShortRefuses()
    {
        Router router = RouterOf(MakeRow("r", 1, 2));
        Random random(1);
        for (RouterTarget& target : router.Targets)
        {
            target.LatencyUs = 50.0 * UsPerMs;
            target.AnsweredUs = Start;
        }
        ChooseArgs args = Args();
        args.RemainingUs = 20 * UsPerMs;
        const Choice refused = RouterChoose(&router, args, Start, &random);
        CPPUNIT_ASSERT(refused.Refused == RefuseReason_DeadlineTooShort);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(30.0 * UsPerMs, static_cast<double>(refused.RetryAfterUs), 1.0 * UsPerMs);
        CPPUNIT_ASSERT_EQUAL(0, router.InFlight);
    }

    void ConnectionShare()
    {
        ServiceRow row = MakeRow("r", 1, 1);
        row.MaxConnections = 10;
        row.MaxConcurrent = 100;
        Router router;
        RouterFollow(&router, row, "dc1", 4);
        Random random(1);
        CPPUNIT_ASSERT(RouterChoose(&router, Args(), Start, &random).Refused == RefuseReason_None);
        CPPUNIT_ASSERT(RouterChoose(&router, Args(), Start, &random).Refused == RefuseReason_None);
        CPPUNIT_ASSERT(RouterChoose(&router, Args(), Start, &random).Refused == RefuseReason_NoTargetLeft);
    }

    void OldReportsLoseWeight()
    {
        Router router = RouterOf(MakeRow("r", 1, 2));
        RouterMergeRun(&router, RunOf(router.Targets[0].Key, 1, false, 3), Start, Start);
        const double fresh = RouterCost(router, router.Targets[0], Start);
        const double old = RouterCost(router, router.Targets[0], Start + UsPerSecond);
        const double none = RouterCost(router, router.Targets[1], Start);
        CPPUNIT_ASSERT(fresh > 3 * none);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(none, old, none * 0.01);
    }

    void WeightsShareTraffic()
    {
        ServiceRow row = MakeRow("r", 1, 2);
        row.Targets[0].Weight = 0;
        Router router = RouterOf(row);
        Random random(1);
        for (int n = 0; n < 50; n++)
        {
            CPPUNIT_ASSERT(Play(&router, &random, Start + n, Outcome_Answered, 1) == router.Targets[1].Key);
        }
    }

    void FollowKeepsWhatIsInProgress()
    {
        Router router = RouterOf(MakeRow("r", 1, 1));
        Random random(1);
        const Choice choice = RouterChoose(&router, Args(), Start, &random);
        ServiceRow other = MakeRow("r", 2, 1);
        other.Targets[0].Address = "127.0.0.1:9999";
        RouterFollow(&router, other, "dc1", 1);
        CPPUNIT_ASSERT_EQUAL(size_t(1), router.Retired.size());
        CPPUNIT_ASSERT(!RouterStillGood(router, choice.Target));
        RouterSettle(&router, choice.Target, Outcome_Answered, 1, Start);
        CPPUNIT_ASSERT(router.Retired.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTest);

} // namespace Winchlink
