// ask_time_load_test.cpp: how long targets may take to tell their load, under loads that a constant time fits badly.
//
// Times are those of the users' deployments: a question takes 6 ms at a target at its usual pace, and 1 to 6 ms on the way; a quarter of
// the targets is slow at any moment, up to seven times. An instance asks some hundred times in a day.

#include "check.h"

namespace Winchlink
{

static constexpr double ProbeMs = 6;
static constexpr double SlowFactor = 7;
static constexpr int QuestionsOfADay = 400;

struct AskLoad
{
    AskTime Learnt;
    Random Rng{20261203};
    double SlowShare = 0.25;
    double DeadShare = 0; // Never answer.
    double WayMs = 6;     // There and back, at the most.
    int Late = 0;         // Of those that would have answered.
    int Answered = 0;
};

static double Draw(AskLoad* load, double least, double most)
{
    return std::uniform_real_distribution<double>(least, most)(load->Rng);
}

static void Ask(AskLoad* load)
{
    const bool dead = Draw(load, 0, 1) < load->DeadShare;
    const double pace = Draw(load, 0, 1) < load->SlowShare ? SlowFactor : 1;
    const double took_ms = ProbeMs * pace + Draw(load, 1, load->WayMs);
    const bool in_time = !dead && took_ms * UsPerMs <= static_cast<double>(AskTimeNow(load->Learnt));
    in_time ? AskTimeAnswered(&load->Learnt) : AskTimeLate(&load->Learnt);
    load->Answered += in_time ? 1 : 0;
    load->Late += !dead && !in_time ? 1 : 0;
}

static AskLoad Play(AskLoad load)
{
    for (int n = 0; n < QuestionsOfADay; n++)
    {
        Ask(&load);
    }
    return load;
}

class AskTimeLoadTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(AskTimeLoadTest);
    CPPUNIT_TEST(AQuarterOfTheTargetsIsSlow);
    CPPUNIT_TEST(TargetsAreFarAway);
    CPPUNIT_TEST(ATenthNeverAnswers);
    CPPUNIT_TEST(FastTargetsAreNotWaitedForLonger);
    CPPUNIT_TEST(ItShrinksOnceAllAnswerInTime);
    CPPUNIT_TEST(AConstantTimeLosesSlowTargets);
    CPPUNIT_TEST_SUITE_END();

    void AQuarterOfTheTargetsIsSlow()
    {
        const AskLoad load = Play(AskLoad());
        CPPUNIT_ASSERT(load.Late <= QuestionsOfADay / 50); // One in fifty, while it is learnt.
    }

    void TargetsAreFarAway()
    {
        AskLoad far;
        far.WayMs = 70; // Another region.
        CPPUNIT_ASSERT(Play(far).Late <= QuestionsOfADay / 20);
    }

    void ATenthNeverAnswers()
    {
        AskLoad load;
        load.DeadShare = 0.1;
        const AskLoad played = Play(load);
        CPPUNIT_ASSERT(AskTimeNow(played.Learnt) <= played.Learnt.MaxUs);
        CPPUNIT_ASSERT(played.Late <= QuestionsOfADay / 50);
    }

    void FastTargetsAreNotWaitedForLonger()
    {
        AskLoad fast;
        fast.SlowShare = 0;
        const AskLoad played = Play(fast);
        CPPUNIT_ASSERT_EQUAL(0, played.Late);
        CPPUNIT_ASSERT_EQUAL(played.Learnt.MinUs, AskTimeNow(played.Learnt));
    }

    void ItShrinksOnceAllAnswerInTime()
    {
        AskTime time;
        AskTimeLate(&time);
        const TimeUs grown = AskTimeNow(time);
        CPPUNIT_ASSERT(grown > time.MinUs);
        const int needed = static_cast<int>(1 / time.LateShare); // So many for each late one.
        for (int n = 0; n < needed; n++)
        {
            CPPUNIT_ASSERT(AskTimeNow(time) > time.MinUs || n > needed / 2);
            AskTimeAnswered(&time);
        }
        CPPUNIT_ASSERT_EQUAL(time.MinUs, AskTimeNow(time));
    }

    // What the learnt time is for: planted, a time that never grows.
    void AConstantTimeLosesSlowTargets()
    {
        AskLoad load;
        load.Learnt.Growth = 1;
        CPPUNIT_ASSERT(Play(load).Late > QuestionsOfADay / 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AskTimeLoadTest);

} // namespace Winchlink
