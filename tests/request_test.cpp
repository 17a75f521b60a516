// request_test.cpp: the life of a request: at most once, honest refusals, bounded retries.
//
// The oracle counts what a target may have run; it knows nothing of the rules by which the life decides.

#include "check.h"

namespace Winchlink
{

enum LifeFault_ : int
{
    LifeFault_None,
    LifeFault_RetriesAll,         // Takes every request for one that may be repeated.
    LifeFault_CallsUnknownNotRun, // Tells "not run" where the outcome is unknown.
};

// How the attempt ends that decides the request; only the other one of two can be outrun.
static Outcome_ DrawOutcome(Dice* dice)
{
    return static_cast<Outcome_>(dice->Between(Outcome_Answered, Outcome_Outrun));
}

static bool MayRun(Outcome_ outcome)
{
    return outcome != Outcome_NotSent && outcome != Outcome_NotRun;
}

// A second attempt beside the first, if one may be made. Returns how many attempts it added, and adds those that may have run.
static int PlayHedge(Dice* dice, RetryBudget* budget, RequestLife* life, int* may_have_run)
{
    if (!dice->OneIn(2) || !RequestMayHedge(*life, budget))
    {
        return 0;
    }
    RequestHedgeBegin(life);
    const auto outcome = static_cast<Outcome_>(dice->Between(Outcome_Answered, Outcome_COUNT));
    *may_have_run += MayRun(outcome) ? 1 : 0;
    RequestHedgeEnd(life, outcome);
    return 1;
}

static void PlayRequest(Dice* dice, RetryBudget* budget, LifeFault_ fault, int* retries)
{
    const bool repeatable = dice->OneIn(2);
    RequestLife life;
    life.Repeatable = repeatable || fault == LifeFault_RetriesAll;
    int may_have_run = 0;
    int attempts = 0;
    NextStep_ step = NextStep_Retry;
    while (step == NextStep_Retry)
    {
        RequestBegin(&life);
        attempts++;
        attempts += PlayHedge(dice, budget, &life, &may_have_run);
        const Outcome_ outcome = DrawOutcome(dice);
        may_have_run += MayRun(outcome) ? 1 : 0;
        step = RequestEnd(&life, outcome, dice->OneIn(2), budget);
        RC_ASSERT(outcome != Outcome_Answered || step == NextStep_Answer);
        RC_ASSERT(outcome != Outcome_Cancelled || step == NextStep_Gone);
    }
    if (fault == LifeFault_CallsUnknownNotRun && step == NextStep_Unknown)
    {
        step = NextStep_NotRun;
    }
    *retries += attempts - 1;
    RC_ASSERT(repeatable || may_have_run <= 1);
    RC_ASSERT(step != NextStep_NotRun || may_have_run == 0);
    RC_ASSERT(step != NextStep_Unknown || may_have_run > 0);
    RC_ASSERT(attempts <= AttemptsMax);
}

static void PlayRequests(LifeFault_ fault)
{
    Dice dice;
    RetryBudget budget;
    int retries = 0;
    const int requests = static_cast<int>(dice.Between(1, 60));
    for (int n = 0; n < requests; n++)
    {
        PlayRequest(&dice, &budget, fault, &retries);
        RetryBudgetEarn(&budget);
    }
    RC_ASSERT(retries <= 10 + requests / 10);
}

class RequestTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestTest);
    CPPUNIT_TEST(AtMostOnceAndHonest);
    CPPUNIT_TEST(FindsRetriesOfAll);
    CPPUNIT_TEST(FindsDishonestRefusals);
    CPPUNIT_TEST(RetriesStayAShareOfTraffic);
    CPPUNIT_TEST(HedgesLeaveTokensForRetries);
    CPPUNIT_TEST(OnlyWhatMayBeRepeatedIsHedged);
    CPPUNIT_TEST_SUITE_END();

public:
    void AtMostOnceAndHonest()
    {
        CHECK_PROPERTY("request life", []() { PlayRequests(LifeFault_None); });
    }

    void FindsRetriesOfAll()
    {
        CHECK_FINDS_FAULT("planted: retries of all", []() { PlayRequests(LifeFault_RetriesAll); });
    }

    void FindsDishonestRefusals()
    {
        CHECK_FINDS_FAULT("planted: unknown told as not run", []() { PlayRequests(LifeFault_CallsUnknownNotRun); });
    }

    // Every attempt fails: what reaches the targets is 1.1 times the traffic, not three times.
    void RetriesStayAShareOfTraffic()
    {
        RetryBudget budget;
        int attempts = 0;
        constexpr int requests = 1000;
        for (int n = 0; n < requests; n++)
        {
            RetryBudgetEarn(&budget);
            RequestLife life;
            life.Repeatable = true;
            NextStep_ step = NextStep_Retry;
            while (step == NextStep_Retry)
            {
                RequestBegin(&life);
                attempts++;
                step = RequestEnd(&life, Outcome_Unknown, true, &budget);
            }
        }
        CPPUNIT_ASSERT(attempts <= requests + requests / 10 + 10);
    }

    void HedgesLeaveTokensForRetries()
    {
        RetryBudget budget;
        RequestLife life;
        life.Repeatable = true;
        RequestBegin(&life);
        int hedges = 0;
        while (RequestMayHedge(life, &budget))
        {
            hedges++;
        }
        CPPUNIT_ASSERT_EQUAL(6, hedges); // From ten tokens down to below five.
        CPPUNIT_ASSERT(RetryBudgetSpend(&budget));
    }

    void OnlyWhatMayBeRepeatedIsHedged()
    {
        RetryBudget budget;
        RequestLife life;
        CPPUNIT_ASSERT(!RequestMayHedge(life, &budget)); // Not begun.
        RequestBegin(&life);
        CPPUNIT_ASSERT(!RequestMayHedge(life, &budget));
        life.Repeatable = true;
        CPPUNIT_ASSERT(RequestMayHedge(life, &budget));
        RequestHedgeBegin(&life);
        CPPUNIT_ASSERT(!RequestMayHedge(life, &budget)); // One at a time.
        RequestHedgeEnd(&life, Outcome_Outrun);
        CPPUNIT_ASSERT(RequestEnd(&life, Outcome_NotRun, false, &budget) == NextStep_Unknown); // The other one may have run.
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTest);

} // namespace Winchlink
