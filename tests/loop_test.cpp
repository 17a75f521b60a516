// loop_test.cpp: timers across a suspension of the machine, with a simulated clock, and sockets in error. Guards against timers that ignore
// the suspended time or run more than once after it, and against data that is never read because its socket has an error.

#include "check.h"
#include "clock.h"
#include "gateway_rig.h"
#include "loop.h"
#include "socket.h"

#include <array>
#include <chrono>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Winchlink
{

class LoopTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(LoopTest);
    CPPUNIT_TEST(SuspendedTimeCounts);
    CPPUNIT_TEST(PeriodicTimersRunOnceAfterASuspension);
    CPPUNIT_TEST(StoppedTimersDoNotRun);
    CPPUNIT_TEST(EventsOfAHeldUpProcessMayBeOld);
    CPPUNIT_TEST(AResetSocketIsReadToItsEnd);
    CPPUNIT_TEST(AWatchThatIsPausedInAnErrorStaysPaused);
    CPPUNIT_TEST_SUITE_END();

    static constexpr TimeUs Hour = 3600 * UsPerSecond; // Longer than any test runs: such a timer only fires because of a suspension.

    struct FakeSuspension
    {
        EventLoop Loop;
        TimeUs SuspendedSumUs = 0;
        TimeUs ReportedUs = 0;

        FakeSuspension()
        {
            Loop.LastSuspendedTotalUs = 0;
            Loop.SuspendedTotalUs = [this]()
            {
                return SuspendedSumUs;
            };
            Loop.OnSuspended = [this](TimeUs slept)
            {
                ReportedUs += slept;
            };
        }

        bool RunUntil(const std::function<bool()>& done)
        {
            return LoopRunUntil(&Loop, 2 * Hour, done);
        }
    };

    // Two ends of a TCP connection.
    struct Connection
    {
        int Near = -1;
        int Far = -1;

        Connection()
        {
            const std::string address = FreeAddress();
            const sockaddr_in to = ToSocketAddress(ParseEndpoint(address).value());
            const int listening = socket(AF_INET, SOCK_STREAM, 0);
            CPPUNIT_ASSERT_EQUAL(0, bind(listening, reinterpret_cast<const sockaddr*>(&to), sizeof to));
            CPPUNIT_ASSERT_EQUAL(0, listen(listening, 1));
            Near = socket(AF_INET, SOCK_STREAM, 0);
            CPPUNIT_ASSERT_EQUAL(0, connect(Near, reinterpret_cast<const sockaddr*>(&to), sizeof to));
            Far = accept(listening, nullptr, nullptr);
            close(listening);
        }

        // The far end sends the bytes and resets the connection.
        void SendAndReset(const std::string& bytes)
        {
            CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(bytes.size()), send(Far, bytes.data(), bytes.size(), MSG_NOSIGNAL));
            const linger at_once{1, 0};
            setsockopt(Far, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            close(Far);
        }
    };

    void SuspendedTimeCounts()
    {
        FakeSuspension machine;
        bool short_one = false;
        bool long_one = false;
        const Timer first = TimerStart(&machine.Loop, Hour, [&]() { short_one = true; });
        const Timer second = TimerStart(&machine.Loop, 3 * Hour, [&]() { long_one = true; });
        machine.SuspendedSumUs = Hour;
        CPPUNIT_ASSERT(machine.RunUntil([&]() { return short_one; }));
        CPPUNIT_ASSERT(!long_one);
        CPPUNIT_ASSERT_EQUAL(Hour, machine.ReportedUs);
        machine.SuspendedSumUs += Hour;
        bool soon = false;
        const Timer third = TimerStart(&machine.Loop, 0, [&]() { soon = true; });
        CPPUNIT_ASSERT(machine.RunUntil([&]() { return soon; }));
        CPPUNIT_ASSERT(!long_one); // Two of three hours have passed.
        machine.SuspendedSumUs += Hour;
        CPPUNIT_ASSERT(machine.RunUntil([&]() { return long_one; }));
    }

    // A timer that restarts itself runs once after a suspension, not once for each missed interval.
    void PeriodicTimersRunOnceAfterASuspension()
    {
        FakeSuspension machine;
        int runs = 0;
        Timer again;
        const std::function<void()> tick = [&]()
        {
            runs++;
            again = TimerStart(&machine.Loop, Hour, tick);
        };
        again = TimerStart(&machine.Loop, UsPerSecond, tick);
        machine.SuspendedSumUs = Hour;
        CPPUNIT_ASSERT(machine.RunUntil([&]() { return runs > 0; }));
        bool soon = false;
        const Timer later = TimerStart(&machine.Loop, 20 * UsPerMs, [&]() { soon = true; });
        CPPUNIT_ASSERT(machine.RunUntil([&]() { return soon; }));
        CPPUNIT_ASSERT_EQUAL(1, runs);
    }

    void StoppedTimersDoNotRun()
    {
        FakeSuspension machine;
        bool ran = false;
        Timer ended = TimerStart(&machine.Loop, Hour, [&]() { ran = true; });
        ended = nullptr;
        machine.SuspendedSumUs = 2 * Hour;
        bool soon = false;
        const Timer later = TimerStart(&machine.Loop, UsPerMs, [&]() { soon = true; });
        CPPUNIT_ASSERT(machine.RunUntil([&]() { return soon; }));
        CPPUNIT_ASSERT(!ran);
        CPPUNIT_ASSERT(machine.Loop.Timers.empty());
    }

    // Guards against data that counts as current when it is read, although it has waited in a socket while the process was stopped.
    void EventsOfAHeldUpProcessMayBeOld()
    {
        constexpr TimeUs stop = 60 * UsPerMs;
        EventLoop loop;
        uv_run(&loop.Uv, UV_RUN_NOWAIT); // What the loop reads before its first wait is not old.
        CPPUNIT_ASSERT(loop.WaitBeganUs > 0);
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, pipe(ends.data()));
        TimeUs since = 0;
        TimeUs read = 0;
        const Watch watch = WatchStart(&loop, ends[0], UV_READABLE,
                                       [&](int)
                                       {
                                           char byte = 0;
                                           CPPUNIT_ASSERT_EQUAL(ssize_t{1}, ::read(ends[0], &byte, 1));
                                           since = LoopReadySinceUs(loop);
                                           read = NowUs();
                                       });
        TimeUs written = 0;
        const auto stopped = [&]()
        {
            written = NowUs();
            CPPUNIT_ASSERT_EQUAL(ssize_t{1}, write(ends[1], "x", 1));
            std::this_thread::sleep_for(std::chrono::microseconds(stop));
        };
        const Timer timer = TimerStart(&loop, UsPerMs, stopped);
        CPPUNIT_ASSERT(LoopRunUntil(&loop, Hour, [&]() { return read > 0; }));
        CPPUNIT_ASSERT(since <= written);
        CPPUNIT_ASSERT(read >= written + stop);
        loop.HeldUpSinceUs = 0; // Stopped while it waits: the wait is longer than its timeout.
        loop.WaitBeganUs = 1;
        loop.WaitDueUs = 2;
        CPPUNIT_ASSERT_EQUAL(TimeUs{1}, LoopReadySinceUs(loop));
        loop.WaitDueUs = NowUs() + Hour;
        CPPUNIT_ASSERT(LoopReadySinceUs(loop) >= read);
        close(ends[0]);
        close(ends[1]);
    }

    // Guards against data that stays in a socket because the watch ends with the event that tells of an error.
    void AResetSocketIsReadToItsEnd()
    {
        EventLoop loop;
        Connection connection;
        connection.SendAndReset("abc");
        std::string read;
        bool ended = false;
        Watch watch = WatchStart(&loop, connection.Near, UV_READABLE,
                                 [&](int)
                                 {
                                     char byte = 0;
                                     ended = recv(connection.Near, &byte, 1, MSG_DONTWAIT) <= 0;
                                     read += ended ? "" : std::string(1, byte);
                                 });
        LoopRunUntil(&loop, RigTimeoutUs, [&]() { return ended; });
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), read);
        CPPUNIT_ASSERT(ended);
        watch = nullptr;
        close(connection.Near);
    }

    // Guards against a loop that calls again and again for a socket in error whose events are not wanted.
    void AWatchThatIsPausedInAnErrorStaysPaused()
    {
        EventLoop loop;
        Connection connection;
        connection.SendAndReset("abc");
        int calls = 0;
        Watch watch;
        watch = WatchStart(&loop, connection.Near, UV_READABLE,
                           [&](int)
                           {
                               calls++;
                               WatchChange(watch.get(), 0);
                           });
        CPPUNIT_ASSERT(LoopRunUntil(&loop, RigTimeoutUs, [&]() { return calls > 0; }));
        for (int i = 0; i < 3; i++)
        {
            uv_run(&loop.Uv, UV_RUN_NOWAIT);
        }
        CPPUNIT_ASSERT_EQUAL(1, calls);
        watch = nullptr;
        close(connection.Near);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoopTest);

} // namespace Winchlink
