// planned_stop_test.cpp: requests of an instance that stops as planned. Guards against requests that are cut without an answer when its
// grace time ends, in particular those that may not be repeated.
//
// The requests' deadlines lie far behind the end of the grace time. Targets need either much longer than the grace time, or no time at all.

#include "gateway_rig.h"

#include <fmt/format.h>

namespace Winchlink
{

namespace
{

constexpr TimeUs ShortGraceUs = UsPerSecond;
constexpr TimeUs LongWorkUs = 500 * UsPerMs; // Three times as long exceeds ShortGraceUs.

std::string Head(const std::string& id, size_t length)
{
    return fmt::format("POST /a/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: {}\r\nWinchlink-Deadline-Ms: 20000\r\n"
                       "Content-Length: {}\r\n\r\n",
                       id, length);
}

// An instance with one target, whose requests may not be repeated.
struct StopRig
{
    Rig Parts;
    UsersTarget* Target = nullptr;
    Gateway* Instance = nullptr;

    explicit StopRig(bool safe = false)
    {
        Target = &RigTarget(&Parts, "t1");
        UsersRoute route;
        route.Safe = safe;
        route.TimeoutS = RelaxedAimS;
        route.AimS = RelaxedAimS;
        RigConfigure(&Parts, {route});
        Instance = &RigInstance(&Parts, 1);
    }

    // The instance learns how long the target works on a request.
    void Learn(TimeUs work)
    {
        Target->WorkUs = work;
        RigCall call;
        call.Method = "POST";
        call.Body = "b";
        call.DeadlineMs = 20000;
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&Parts, *Instance, call).Answer.Status);
    }

    void Stop(TimeUs grace)
    {
        Instance->Config.GraceUs = grace;
        GatewayStop(Instance);
    }

    bool Answered(const RawCaller& caller, const std::string& bytes)
    {
        const auto answered = [&]()
        {
            return caller.Read.find(bytes) != std::string::npos;
        };
        RigRunUntil(&Parts, [&]() { return answered() || caller.Ended || Instance->Stopped; });
        uv_run(&Parts.Loop.Uv, UV_RUN_NOWAIT); // The caller reads what the instance has sent just before it stopped.
        return answered();
    }

    bool Runs(const std::string& id)
    {
        return RigRunUntil(&Parts, [&]() { return RigRunCount(Parts, id) == 1; });
    }
};

} // namespace

class PlannedStopTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(PlannedStopTest);
    CPPUNIT_TEST(ARequestThatTheTargetCanNotAnswerInTimeIsRefused);
    CPPUNIT_TEST(ARequestOfUnknownDurationIsRefused);
    CPPUNIT_TEST(ARequestThatFitsIsServed);
    CPPUNIT_TEST(ARequestAtASilentTargetIsAnsweredBeforeTheEnd);
    CPPUNIT_TEST(ARequestThatWaitsForASlotIsRefusedBeforeTheEnd);
    CPPUNIT_TEST(ARequestBehindAnotherIsServed);
    CPPUNIT_TEST(ARequestBehindAnotherIsRefused);
    CPPUNIT_TEST(ARequestThatArrivesBehindTheLastAnswerIsAnswered);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a request whose body is complete late in the stop, that is passed on and cut.
    void ARequestThatTheTargetCanNotAnswerInTimeIsRefused()
    {
        StopRig rig;
        rig.Learn(LongWorkUs);
        const RawCaller caller(&rig.Parts.Loop, rig.Instance->Config.CallerAddress);
        RawSend(caller, Head("late", 4) + "bo");
        CPPUNIT_ASSERT(RigRunUntil(&rig.Parts, [&]() { return rig.Instance->Callers.Open.size() == 1; }));
        rig.Stop(ShortGraceUs);
        RawSend(caller, "dy");
        CPPUNIT_ASSERT_MESSAGE(caller.Read, rig.Answered(caller, "X-Winchlink-Code: 2021"));
        CPPUNIT_ASSERT_EQUAL(size_t{0}, caller.Read.find("HTTP/1.1 503"));
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(rig.Parts, "late"));
    }

    // Guards against the same where no answer of the route has come yet.
    void ARequestOfUnknownDurationIsRefused()
    {
        StopRig rig;
        const RawCaller caller(&rig.Parts.Loop, rig.Instance->Config.CallerAddress);
        RawSend(caller, Head("unknown", 4) + "bo");
        CPPUNIT_ASSERT(RigRunUntil(&rig.Parts, [&]() { return rig.Instance->Callers.Open.size() == 1; }));
        rig.Stop(ShortGraceUs);
        RawSend(caller, "dy");
        CPPUNIT_ASSERT_MESSAGE(caller.Read, rig.Answered(caller, "X-Winchlink-Code: 2021"));
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(rig.Parts, "unknown"));
    }

    // Guards against an instance that refuses what it could still serve, as its balancer sends it requests for some time.
    void ARequestThatFitsIsServed()
    {
        StopRig rig;
        rig.Learn(UsPerMs);
        const RawCaller caller(&rig.Parts.Loop, rig.Instance->Config.CallerAddress);
        RawSend(caller, Head("fits", 4) + "bo");
        CPPUNIT_ASSERT(RigRunUntil(&rig.Parts, [&]() { return rig.Instance->Callers.Open.size() == 1; }));
        rig.Stop(RigTimeoutUs);
        RawSend(caller, "dy");
        CPPUNIT_ASSERT_MESSAGE(caller.Read, rig.Answered(caller, "HTTP/1.1 200"));
        CPPUNIT_ASSERT(RigRunUntil(&rig.Parts, [&]() { return caller.Ended; }));
        CPPUNIT_ASSERT(caller.Read.find("Connection: close") != std::string::npos);
    }

    // Guards against a caller whose connection is closed without an answer while a target is at work.
    void ARequestAtASilentTargetIsAnsweredBeforeTheEnd()
    {
        for (const bool safe : {false, true})
        {
            StopRig rig(safe);
            rig.Target->Script = {TargetAct_Silence};
            const RawCaller caller(&rig.Parts.Loop, rig.Instance->Config.CallerAddress);
            RawSend(caller, Head("silent", 1) + "b");
            CPPUNIT_ASSERT(rig.Runs("silent"));
            rig.Stop(ShortGraceUs);
            CPPUNIT_ASSERT_MESSAGE(caller.Read, rig.Answered(caller, "HTTP/1.1 504"));
            CPPUNIT_ASSERT(RigRunUntil(&rig.Parts, [&]() { return rig.Instance->Stopped; }));
            CPPUNIT_ASSERT_EQUAL(0, rig.Instance->Requests.InProgress);
        }
    }

    // Guards against a request that waits for a free slot until the instance ends: it has not run.
    void ARequestThatWaitsForASlotIsRefusedBeforeTheEnd()
    {
        StopRig rig;
        rig.Target->Slots = 1;
        rig.Target->Queue = 0;
        rig.Target->Script = {TargetAct_Silence};
        const RawCaller first(&rig.Parts.Loop, rig.Instance->Config.CallerAddress);
        RawSend(first, Head("first", 1) + "b");
        CPPUNIT_ASSERT(rig.Runs("first"));
        const RawCaller second(&rig.Parts.Loop, rig.Instance->Config.CallerAddress);
        RawSend(second, Head("second", 1) + "b");
        CPPUNIT_ASSERT(RigRunUntil(&rig.Parts, [&]() { return rig.Instance->Requests.InProgress == 2; }));
        rig.Stop(ShortGraceUs);
        CPPUNIT_ASSERT_MESSAGE(second.Read, rig.Answered(second, "HTTP/1.1 503"));
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(rig.Parts, "second"));
    }

    // Guards against a whole request that the instance has, and closes the connection on without an answer.
    void ARequestBehindAnotherIsServed()
    {
        StopRig rig;
        rig.Learn(UsPerMs);
        rig.Target->WorkUs = 100 * UsPerMs;
        const RawCaller caller(&rig.Parts.Loop, rig.Instance->Config.CallerAddress);
        RawSend(caller, Head("front", 1) + "f" + Head("behind", 1) + "b");
        CPPUNIT_ASSERT(rig.Runs("front"));
        rig.Stop(RigTimeoutUs);
        CPPUNIT_ASSERT(RigRunUntil(&rig.Parts, [&]() { return caller.Ended; }));
        CPPUNIT_ASSERT_MESSAGE(caller.Read, caller.Read.find("Winchlink-Request-Id: behind") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, RigRunCount(rig.Parts, "behind"));
        CPPUNIT_ASSERT(caller.Read.find("Connection: close") > caller.Read.find("Winchlink-Request-Id: behind"));
    }

    // Guards against the same where there is no time to serve it.
    void ARequestBehindAnotherIsRefused()
    {
        StopRig rig;
        rig.Target->Script = {TargetAct_Silence};
        const RawCaller caller(&rig.Parts.Loop, rig.Instance->Config.CallerAddress);
        RawSend(caller, Head("front", 1) + "f" + Head("behind", 1) + "b");
        CPPUNIT_ASSERT(rig.Runs("front"));
        rig.Stop(ShortGraceUs);
        CPPUNIT_ASSERT_MESSAGE(caller.Read, rig.Answered(caller, "X-Winchlink-Code: 2021"));
        CPPUNIT_ASSERT_EQUAL(size_t{0}, caller.Read.find("HTTP/1.1 504"));
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(rig.Parts, "behind"));
    }

    // Guards against an answer that closes the connection though another request is in its socket.
    void ARequestThatArrivesBehindTheLastAnswerIsAnswered()
    {
        StopRig rig;
        rig.Learn(UsPerMs);
        rig.Target->WorkUs = 100 * UsPerMs;
        const RawCaller caller(&rig.Parts.Loop, rig.Instance->Config.CallerAddress);
        RawSend(caller, Head("front", 1) + "f");
        CPPUNIT_ASSERT(rig.Runs("front"));
        rig.Stop(RigTimeoutUs);
        RawSend(caller, Head("later", 1) + "b");
        CPPUNIT_ASSERT(RigRunUntil(&rig.Parts, [&]() { return caller.Ended; }));
        CPPUNIT_ASSERT_MESSAGE(caller.Read, caller.Read.find("Winchlink-Request-Id: later") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopTest);

} // namespace Winchlink
