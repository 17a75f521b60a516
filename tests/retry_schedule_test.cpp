// retry_schedule_test.cpp: the schedule of retry times for refused callers.
//
// Guards against callers that all retry at the same moment, or that wait too long after a short overload.

#include "gateway_rig.h"

namespace Winchlink
{

static constexpr TimeUs StepUs = 100 * UsPerMs;

// Serves and refuses a fixed number of requests per step from `from` on for `time`. Returns the retry times that were assigned.
static std::vector<TimeUs> RunSchedule(RetrySchedule* schedule, Random* random, TimeUs from, TimeUs time, int served, int refused)
{
    std::vector<TimeUs> retry_times;
    for (TimeUs now = from; now < from + time; now += StepUs)
    {
        for (int n = 0; n < served; n++)
        {
            RetryScheduleServed(schedule, now);
        }
        for (int n = 0; n < refused; n++)
        {
            retry_times.push_back(now + RetryScheduleTake(schedule, now, random));
        }
    }
    return retry_times;
}

static int MaxInOneSecond(const std::vector<TimeUs>& retry_times)
{
    int max = 0;
    for (const TimeUs from : retry_times)
    {
        const auto within = [from](TimeUs retry_time)
        {
            return retry_time >= from && retry_time < from + UsPerSecond;
        };
        max = std::max(max, static_cast<int>(std::count_if(retry_times.begin(), retry_times.end(), within)));
    }
    return max;
}

class RetryScheduleTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryScheduleTest);
    CPPUNIT_TEST(OneRefusedCallerReturnsSoon);
    CPPUNIT_TEST(AStartIsNotTakenForAnOverload);
    CPPUNIT_TEST(ALongOverloadKeepsCallersAwayLonger);
    CPPUNIT_TEST(TheScheduleEmptiesWhenTheOverloadIsOver);
    CPPUNIT_TEST(CallersDoNotReturnTogether);
    CPPUNIT_TEST(RetryTimesStayWithinTheirBounds);
    CPPUNIT_TEST(RetryTimesStayWithinTheCallersDeadline);
    CPPUNIT_TEST_SUITE_END();

    void OneRefusedCallerReturnsSoon()
    {
        RetrySchedule schedule;
        Random random(1);
        RunSchedule(&schedule, &random, 0, 5 * UsPerSecond, 1, 0);
        const TimeUs wait = RetryScheduleTake(&schedule, 5 * UsPerSecond, &random);
        CPPUNIT_ASSERT(wait >= schedule.MinUs * 8 / 10 && wait <= schedule.MinUs * 12 / 10);
    }

    // After a start nothing has been served yet; this is no sign of an overload.
    void AStartIsNotTakenForAnOverload()
    {
        RetrySchedule schedule;
        Random random(1);
        const TimeUs start = 5000 * UsPerSecond;
        RetryScheduleTake(&schedule, start, &random);
        CPPUNIT_ASSERT(RetryScheduleTake(&schedule, start + StepUs, &random) < 2 * UsPerSecond);
    }

    void ALongOverloadKeepsCallersAwayLonger()
    {
        RetrySchedule schedule;
        Random random(1);
        RunSchedule(&schedule, &random, 0, 3 * UsPerSecond, 1, 1);
        const TimeUs now = 3 * UsPerSecond;
        CPPUNIT_ASSERT(RetryScheduleTake(&schedule, now, &random) > 3 * UsPerSecond);
    }

    void TheScheduleEmptiesWhenTheOverloadIsOver()
    {
        RetrySchedule schedule;
        Random random(1);
        RunSchedule(&schedule, &random, 0, 3 * UsPerSecond, 1, 1);
        RunSchedule(&schedule, &random, 3 * UsPerSecond, schedule.MaxUs, 1, 0);
        const TimeUs wait = RetryScheduleTake(&schedule, 3 * UsPerSecond + schedule.MaxUs, &random);
        CPPUNIT_ASSERT(wait <= schedule.MinUs * 12 / 10);
    }

    // Callers refused within one step return at the rate that the schedule allows; with a fixed wait they all return at once.
    void CallersDoNotReturnTogether()
    {
        RetrySchedule schedule;
        schedule.Jitter = 0; // Without jitter, so that the schedule's own spacing is counted.
        Random random(1);
        RunSchedule(&schedule, &random, 0, 10 * UsPerSecond, 2, 0); // 20 served a second.
        const std::vector<TimeUs> retry_times = RunSchedule(&schedule, &random, 10 * UsPerSecond, StepUs, 0, 15);
        CPPUNIT_ASSERT(MaxInOneSecond(retry_times) <= 6);
        schedule.MaxUs = schedule.MinUs;
        CPPUNIT_ASSERT_EQUAL(15, MaxInOneSecond(RunSchedule(&schedule, &random, 30 * UsPerSecond, StepUs, 0, 15)));
    }

    void RetryTimesStayWithinTheirBounds()
    {
        const auto within = []()
        {
            TestRandom dice;
            RetrySchedule schedule;
            TimeUs now = dice.Between(0, UsPerSecond);
            for (int n = 0; n < 300; n++)
            {
                now += dice.OneIn(20) ? dice.Between(0, 20 * UsPerSecond) : dice.Between(0, 50 * UsPerMs);
                if (dice.OneIn(2))
                {
                    RetryScheduleServed(&schedule, now);
                    continue;
                }
                const TimeUs wait = RetryScheduleTake(&schedule, now, &dice.Rng);
                RC_ASSERT(static_cast<double>(wait) >= (1 - schedule.Jitter) * static_cast<double>(schedule.MinUs) - 1);
                RC_ASSERT(static_cast<double>(wait) <= (1 + schedule.Jitter) * static_cast<double>(schedule.MaxUs));
            }
        };
        CHECK_PROPERTY("places are between the least and the most, whatever was served and refused", within);
    }

    // Retry-After is at most half of the caller's remaining time, so that the retry can still be served.
    void RetryTimesStayWithinTheCallersDeadline()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t1");
        target.Running = target.Slots; // Never has a free slot.
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        std::vector<RigAnswerPtr> answers;
        for (int n = 0; n < 20; n++)
        {
            RigCall call;
            call.DeadlineMs = 1500;
            answers.push_back(RigSend(&rig, instance, call));
        }
        double longest = 0;
        for (const RigAnswerPtr& answer : answers)
        {
            CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return answer->Done; }));
            CPPUNIT_ASSERT_EQUAL(503, answer->Answer.Status);
            longest = std::max(longest, std::stod(*FindHeader(answer->Answer.Headers, "Retry-After")));
        }
        CPPUNIT_ASSERT(longest > 0.4); // The schedule spreads the callers.
        CPPUNIT_ASSERT(longest <= 0.75);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryScheduleTest);

} // namespace Winchlink
