// listener_test.cpp: limits on callers' requests, and requests that arrive during a planned stop. Guards against requests that are lost
// when an instance stops.

#include "gateway_rig.h"

#include <fmt/format.h>

namespace Winchlink
{

// Callers that send one request after another, on new or kept connections, until the connection is refused.
struct BusyCallers
{
    Rig* Owner = nullptr;
    std::string Address;
    bool NewConnections = false;
    int Calling = 0;
    int Answered = 0;
    int Lost = 0; // Connected, but not answered.
    Random Rng;
    std::vector<Timer> Pauses;
};

static void Call(BusyCallers* callers);

static void OnAnswered(BusyCallers* callers, const ClientAnswer& answer)
{
    callers->Answered += answer.End == ClientEnd_Answered && answer.Status == 200 ? 1 : 0;
    callers->Lost += answer.End != ClientEnd_Answered && answer.End != ClientEnd_NotConnected ? 1 : 0;
    if (answer.End != ClientEnd_Answered)
    {
        callers->Calling--;
        return;
    }
    const TimeUs pause = std::uniform_int_distribution<TimeUs>(0, 3 * UsPerMs)(callers->Rng);
    callers->Pauses.push_back(TimerStart(&callers->Owner->Loop, pause, [callers]() { Call(callers); }));
}

static void Call(BusyCallers* callers)
{
    ClientRequest request;
    request.Address = callers->Address;
    request.Method = "POST";
    request.Target = "/a/x";
    request.Headers = {{"Host", "a.example"}, {"Winchlink-Request-Id", "busy"}};
    request.HasBody = true;
    request.NewConnection = callers->NewConnections;
    request.TimeoutUs = 5 * UsPerSecond;
    request.ConnectUs = 300 * UsPerMs;
    ClientSend(&callers->Owner->Callers, std::move(request), [callers](const ClientAnswer& answer) { OnAnswered(callers, answer); });
}

class ListenerTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(ListenerTest);
    CPPUNIT_TEST(AStopLosesNoNewConnection);
    CPPUNIT_TEST(AStopLosesNoKeptConnection);
    CPPUNIT_TEST(AStopServesConnectionsInTheAcceptQueue);
    CPPUNIT_TEST(AStoppingInstanceRefusesNewConnections);
    CPPUNIT_TEST(HeadersBeyondTheLimitAreRefused);
    CPPUNIT_TEST(SlowHeadersEndTheConnection);
    CPPUNIT_TEST(SlowBodiesAreAccepted);
    CPPUNIT_TEST(AnIdleConnectionHoldsNoAnswer);
    CPPUNIT_TEST_SUITE_END();

    // Guards against kept connections that hold the memory of the largest answer they have carried.
    void AnIdleConnectionHoldsNoAnswer()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t1");
        target.BodyLinesMax = 20000;
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        size_t largest = 0;
        for (int n = 0; n < 5; n++)
        {
            largest = std::max(largest, RigSendAndWait(&rig, instance, RigCall()).Answer.Body.size());
        }
        CPPUNIT_ASSERT(largest > 64 * KiB);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, instance.Callers.Open.size());
        CPPUNIT_ASSERT(instance.Callers.Open.begin()->second->Output.capacity() < KiB);
    }

    static void StopUnderLoad(bool new_connections, uint64_t seed)
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t1");
        target.Slots = 64;
        target.WorkUs = UsPerMs;
        UsersRoute route;
        route.Safe = false;
        RigConfigure(&rig, {route});
        Gateway& instance = RigInstance(&rig, 1);
        BusyCallers callers;
        callers.Owner = &rig;
        callers.Address = instance.Config.CallerAddress;
        callers.NewConnections = new_connections;
        callers.Rng.seed(seed);
        for (callers.Calling = 0; callers.Calling < 16; callers.Calling++)
        {
            Call(&callers);
        }
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return callers.Answered > 100; }));
        GatewayStop(&instance);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return instance.Stopped; }));
        CPPUNIT_ASSERT(instance.Callers.Open.empty()); // It stopped because no connection was left, not because of the timeout.
        rig.Instances.clear();                         // Like the end of the process.
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return callers.Calling == 0; }));
        CPPUNIT_ASSERT_EQUAL(0, callers.Lost);
    }

    void AStopLosesNoNewConnection()
    {
        StopUnderLoad(true, 1);
    }

    void AStopLosesNoKeptConnection()
    {
        StopUnderLoad(false, 2);
    }

    // Connections that are in the accept queue when the instance stops accepting are served.
    void AStopServesConnectionsInTheAcceptQueue()
    {
        Rig rig;
        RigTarget(&rig, "t1");
        RigConfigure(&rig, {UsersRoute()});
        Gateway& instance = RigInstance(&rig, 1);
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (int n = 0; n < 5; n++)
        {
            callers.push_back(std::make_unique<RawCaller>(&rig.Loop, instance.Config.CallerAddress));
            RawSend(*callers.back(), fmt::format("GET /a/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: {}\r\n\r\n", n));
        }
        ListenerIgnoreNew(&instance.Callers); // Before the event loop has accepted any of them.
        const auto answered = [&]()
        {
            return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->Read.find("HTTP/1.1 200") == 0; });
        };
        CPPUNIT_ASSERT(RigRunUntil(&rig, answered));
        RigCall late;
        const RigAnswerPtr answer = RigSend(&rig, instance, late);
        RigRunFor(&rig, 300 * UsPerMs);
        CPPUNIT_ASSERT(!answer->Done); // Not accepted, so the caller can try another instance.
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(rig, answer->Id));
    }

    // If a stopping instance still accepted connections, new callers could keep it busy until the timeout, which would cut their requests.
    void AStoppingInstanceRefusesNewConnections()
    {
        Rig rig;
        RigTarget(&rig, "t1").WorkUs = 4500 * UsPerMs; // Keeps the instance from stopping.
        UsersRoute route;
        route.TimeoutS = 10;
        RigConfigure(&rig, {route});
        Gateway& instance = RigInstance(&rig, 1);
        RigCall call;
        call.DeadlineMs = 10000;
        const RigAnswerPtr answer = RigSend(&rig, instance, call);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return RigRunCount(rig, answer->Id) == 1; }));
        GatewayStop(&instance);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return instance.Callers.Socket < 0; }));
        CPPUNIT_ASSERT(!answer->Done);
        RigCall late;
        const RigAnswerPtr refused = RigSend(&rig, instance, late);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return refused->Done; }));
        CPPUNIT_ASSERT_EQUAL(ClientEnd_NotConnected, refused->Answer.End);
        CPPUNIT_ASSERT_EQUAL(std::string("Couldn't connect to server"), refused->Answer.Detail); // Refused immediately, not timed out.
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return answer->Done; }));
        CPPUNIT_ASSERT_EQUAL(200, answer->Answer.Status);
    }

    void HeadersBeyondTheLimitAreRefused()
    {
        Rig rig;
        RigTarget(&rig, "t1");
        RigConfigure(&rig, {UsersRoute()}); // The limit of headers is 16 KiB.
        const Gateway& instance = RigInstance(&rig, 1);
        RawCaller good(&rig.Loop, instance.Config.CallerAddress);
        RawSend(good,
                "GET /a/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: g\r\nX-Long: " + std::string(15 * KiB, 'x') + "\r\n\r\n");
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return good.Read.find("HTTP/1.1 200") == 0; }));
        RawCaller bad(&rig.Loop, instance.Config.CallerAddress);
        RawSend(bad,
                "GET /a/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: b\r\nX-Long: " + std::string(17 * KiB, 'x') + "\r\n\r\n");
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return bad.Ended; }));
        CPPUNIT_ASSERT_EQUAL(size_t{0}, bad.Read.find("HTTP/1.1 431"));
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(rig, "b"));
    }

    // Starts a target and an instance with the given header timeout.
    static const Gateway& StartWithHeaderTimeout(Rig* rig, TimeUs timeout)
    {
        RigTarget(rig, "t1");
        RigConfigure(rig, {UsersRoute()});
        Gateway& instance = RigInstance(rig, 1);
        CallerLimits limits = instance.Requests.Plan->Limits;
        limits.HeaderTimeoutUs = timeout;
        ListenerSetLimits(&instance.Callers, limits);
        return instance;
    }

    // Headers that arrive one by one at short intervals: only a limit on the total time ends the connection.
    void SlowHeadersEndTheConnection()
    {
        Rig rig;
        const Gateway& instance = StartWithHeaderTimeout(&rig, 300 * UsPerMs);
        RawCaller slow(&rig.Loop, instance.Config.CallerAddress);
        RawSend(slow, "GET /a/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: slow\r\n");
        int sent = 0;
        while (!slow.Ended && sent < 100)
        {
            RawSend(slow, fmt::format("X-{}: y\r\n", ++sent));
            RigRunFor(&rig, 50 * UsPerMs);
        }
        CPPUNIT_ASSERT(slow.Ended);
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(rig, "slow"));
    }

    void SlowBodiesAreAccepted()
    {
        Rig rig;
        const Gateway& instance = StartWithHeaderTimeout(&rig, 100 * UsPerMs);
        RawCaller slow(&rig.Loop, instance.Config.CallerAddress);
        RawSend(slow, "POST /a/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: body\r\nContent-Length: 8\r\n\r\n");
        for (int n = 0; n < 8; n++)
        {
            RigRunFor(&rig, 40 * UsPerMs);
            RawSend(slow, "b");
        }
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return slow.Read.find("HTTP/1.1 200") == 0; }));
        CPPUNIT_ASSERT_EQUAL(1, RigRunCount(rig, "body"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListenerTest);

} // namespace Winchlink
