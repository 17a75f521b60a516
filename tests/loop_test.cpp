// loop_test.cpp: timers across a suspension of the machine, with a clock of the test's own.

#include "check.h"
#include "clock.h"
#include "loop.h"

namespace Winchlink
{

class LoopTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(LoopTest);
    CPPUNIT_TEST(TimeAsleepCounts);
    CPPUNIT_TEST(WhatIsDueRunsOnce);
    CPPUNIT_TEST(TimersThatWereEndedStayEnded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr TimeUs Hour = 3600 * UsPerSecond; // No test waits so long: what runs ran because of the suspension.

    struct Sleeper
    {
        EventLoop Loop;
        TimeUs Asleep = 0;
        TimeUs Told = 0;

        Sleeper()
        {
            Loop.AsleepBeforeUs = 0;
            Loop.AsleepUs = [this]()
            {
                return Asleep;
            };
            Loop.OnSuspended = [this](TimeUs slept)
            {
                Told += slept;
            };
        }

        bool RunUntil(const std::function<bool()>& done)
        {
            return LoopRunUntil(&Loop, 2 * Hour, done);
        }
    };

    void TimeAsleepCounts()
    {
        Sleeper sleeper;
        bool short_one = false;
        bool long_one = false;
        const Timer first = TimerStart(&sleeper.Loop, Hour, [&]() { short_one = true; });
        const Timer second = TimerStart(&sleeper.Loop, 3 * Hour, [&]() { long_one = true; });
        sleeper.Asleep = Hour;
        CPPUNIT_ASSERT(sleeper.RunUntil([&]() { return short_one; }));
        CPPUNIT_ASSERT(!long_one);
        CPPUNIT_ASSERT_EQUAL(Hour, sleeper.Told);
        sleeper.Asleep += Hour;
        bool soon = false;
        const Timer third = TimerStart(&sleeper.Loop, 0, [&]() { soon = true; });
        CPPUNIT_ASSERT(sleeper.RunUntil([&]() { return soon; }));
        CPPUNIT_ASSERT(!long_one); // Two of its three hours are over.
        sleeper.Asleep += Hour;
        CPPUNIT_ASSERT(sleeper.RunUntil([&]() { return long_one; }));
    }

    // One that starts itself again each second does not make up for the hour.
    void WhatIsDueRunsOnce()
    {
        Sleeper sleeper;
        int runs = 0;
        Timer again;
        const std::function<void()> tick = [&]()
        {
            runs++;
            again = TimerStart(&sleeper.Loop, Hour, tick);
        };
        again = TimerStart(&sleeper.Loop, UsPerSecond, tick);
        sleeper.Asleep = Hour;
        CPPUNIT_ASSERT(sleeper.RunUntil([&]() { return runs > 0; }));
        bool soon = false;
        const Timer later = TimerStart(&sleeper.Loop, 20 * UsPerMs, [&]() { soon = true; });
        CPPUNIT_ASSERT(sleeper.RunUntil([&]() { return soon; }));
        CPPUNIT_ASSERT_EQUAL(1, runs);
    }

    void TimersThatWereEndedStayEnded()
    {
        Sleeper sleeper;
        bool ran = false;
        Timer ended = TimerStart(&sleeper.Loop, Hour, [&]() { ran = true; });
        ended = nullptr;
        sleeper.Asleep = 2 * Hour;
        bool soon = false;
        const Timer later = TimerStart(&sleeper.Loop, UsPerMs, [&]() { soon = true; });
        CPPUNIT_ASSERT(sleeper.RunUntil([&]() { return soon; }));
        CPPUNIT_ASSERT(!ran);
        CPPUNIT_ASSERT(sleeper.Loop.Timers.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoopTest);

} // namespace Winchlink
