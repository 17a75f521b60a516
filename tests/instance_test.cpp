// instance_test.cpp: an instance in this process, with a platform stand-in and targets: what callers and operators see.

#include "bench.h"
#include "fleet.h"
#include "instance.h"
#include "names.h"
#include "raw_target.h"
#include "winchlink_json.h"

#include <csignal>
#include <fstream>
#include <sys/socket.h>
#include <unistd.h>

namespace Winchlink
{

static std::string LocalAddress()
{
    return "127.0.0.1:" + std::to_string(FreePort("127.0.0.1"));
}

// A platform of three values, in this process.
struct SmallPlatform
{
    std::string Address = LocalAddress();
    Server Listener;
    std::mutex Mutex;
    Table Published;

    SmallPlatform()
    {
        ServerConfig config;
        config.Address = Address;
        CPPUNIT_ASSERT(ServerStart(&Listener, config, [this](const ServerRequest& request) { return Handle(request); }).has_value());
    }

    ~SmallPlatform()
    {
        ServerStop(&Listener);
    }

    SmallPlatform(const SmallPlatform&) = delete;
    SmallPlatform& operator=(const SmallPlatform&) = delete;

    void Publish(Table table)
    {
        const std::lock_guard<std::mutex> lock(Mutex);
        AssignRowRevisions(Published, &table);
        Published = table;
    }

    ServerResponse Handle(const ServerRequest& request)
    {
        const std::lock_guard<std::mutex> lock(Mutex);
        const std::string name = request.Path.substr(std::string(PlatformValues).size());
        if (name.compare(0, 5, PlatformIndexName) == 0)
        {
            const bool news = Published.Version.Revision > std::strtoull(QueryValue(request.Path, "after").c_str(), nullptr, 10);
            return {news ? 200 : 204, {}, news ? FormatIndex(Published) : "", false};
        }
        if (name == PlatformInstancesName)
        {
            return {200, {}, "{\"instances\":[]}", false};
        }
        const ServiceRow* row = FindRow(Published, name.substr(4));
        return {row != nullptr ? 200 : 404, {}, row != nullptr ? FormatRow(*row) : "", false};
    }
};

// A platform, two raw targets, and one instance that serves them under /x (GET may be repeated) and /y (nothing may).
struct SmallFleet
{
    SmallPlatform Platform;
    RawTarget One;
    RawTarget Other;
    Instance Under;
    Settings Config;

    explicit SmallFleet(int connections_max = Settings().ConnectionsMax)
    {
        std::signal(SIGPIPE, SIG_IGN);
        SetLogLevel(LogLevel_Error);
        Config.TrafficAddress = LocalAddress();
        Config.ControlAddress = LocalAddress();
        Config.AdvertisedAddress = Config.ControlAddress;
        Config.OperatorAddress = LocalAddress();
        Config.PlatformAddress = Platform.Address;
        Config.DataCentre = "dc1";
        Config.BodyMaxBytes = 1000;
        Config.AnswerMaxBytes = MiB;
        Config.DrainDelayMs = 0;
        Config.Numbers = 1;
        Config.ConnectionsMax = connections_max;
        Platform.Publish(TableOf(1));
        CPPUNIT_ASSERT(InstanceStart(&Under, Config).has_value());
        CPPUNIT_ASSERT(WaitFor(20 * UsPerSecond, [&]() { return Page("/ready").Status == 200; }));
    }

    ~SmallFleet()
    {
        InstanceStop(&Under);
    }

    SmallFleet(const SmallFleet&) = delete;
    SmallFleet& operator=(const SmallFleet&) = delete;

    Table TableOf(uint64_t revision) const
    {
        ServiceRow x = MakeRow("x", revision, 2);
        x.Targets[0].Address = One.Address;
        x.Targets[1].Address = Other.Address;
        x.RepeatMethods = {"GET"};
        x.DeadlineMs = 10000;
        ServiceRow y = x;
        y.Name = "y";
        y.PathPrefix = "/y";
        y.RepeatMethods.clear();
        SealRow(&x);
        SealRow(&y);
        return MakeTable(revision, {x, y});
    }

    void SetAnswers(RawAnswer_ answer)
    {
        One.Answer = answer;
        Other.Answer = answer;
    }

    int Requests() const
    {
        return One.Requests + Other.Requests;
    }

    HttpAnswer Page(const std::string& path) const
    {
        return HttpOnce({"GET", Config.OperatorAddress, path, "", {}, 5000});
    }

    HttpAnswer Call(const std::string& method, const std::string& path, const std::vector<Header>& headers = {},
                    const std::string& body = "") const
    {
        return HttpOnce({method, Config.TrafficAddress, path, body, headers, 15000});
    }
};

static int CodeOf(const HttpAnswer& answer)
{
    const std::string* code = FindHeader(answer.Headers, HeaderCode);
    return code != nullptr ? std::atoi(code->c_str()) : 0;
}

static std::string RunOf(const HttpAnswer& answer)
{
    const std::string* run = FindHeader(answer.Headers, HeaderRun);
    return run != nullptr ? *run : "";
}

class InstanceTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(InstanceTest);
    CPPUNIT_TEST(AnswersAndPages);
    CPPUNIT_TEST(RefusalsSayWhatTheyMean);
    CPPUNIT_TEST(NothingIsSentTwice);
    CPPUNIT_TEST(RepeatableIsTriedElsewhere);
    CPPUNIT_TEST(AnswersAreCompleteOrPlainlyFailed);
    CPPUNIT_TEST(EmptyAnswersKeepTheirStatus);
    CPPUNIT_TEST(CookiesAllArrive);
    CPPUNIT_TEST(BadCallersHurtNobody);
    CPPUNIT_TEST(LeavingTargetGetsNothingMore);
    CPPUNIT_TEST(EditsComeInForceAndBadOnesDoNot);
    CPPUNIT_TEST(ASlowReadGoesToAnotherTarget);
    CPPUNIT_TEST(ARowOfOtherInstancesIsNotServed);
    CPPUNIT_TEST(TooManyConnectionsAreTold);
    CPPUNIT_TEST(PlannedStopCutsNothing);
    CPPUNIT_TEST(PlannedStopWaitsForAnUpload);
    CPPUNIT_TEST(PlannedStopEndsIdleConnections);
    CPPUNIT_TEST(PausedInstanceSendsNothing);
    CPPUNIT_TEST(FindsAPauseThatGoesUnnoticed);
    CPPUNIT_TEST(HangUpReachesTheTarget);
    CPPUNIT_TEST(NoTableNoService);
    CPPUNIT_TEST_SUITE_END();

public:
    void AnswersAndPages()
    {
        SmallFleet fleet;
        const HttpAnswer answer = fleet.Call("GET", "/x/1?q=2", {{HeaderRequestId, "mine"}});
        CPPUNIT_ASSERT_EQUAL(200, answer.Status);
        CPPUNIT_ASSERT_EQUAL(std::string("good"), answer.Body);
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), *FindHeader(answer.Headers, HeaderRequestId));
        CPPUNIT_ASSERT(!FindHeader(fleet.Call("GET", "/x/1").Headers, HeaderRequestId)->empty());
        CPPUNIT_ASSERT(fleet.Page("/metrics").Body.find("winchlink_requests_total{row=\"x\",class=\"normal\",code=\"0\"") !=
                       std::string::npos);
        const std::string status = fleet.Page("/status").Body;
        CPPUNIT_ASSERT_EQUAL(int64_t(1), JsonNumberAt(status, "table.revision"));
        CPPUNIT_ASSERT(status.find("gets work") != std::string::npos);
        CPPUNIT_ASSERT(fleet.Page("/status?brief=1").Body.find("gets work") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(404, fleet.Page("/other").Status);
    }

    void RefusalsSayWhatTheyMean()
    {
        SmallFleet fleet;
        const HttpAnswer no_route = fleet.Call("GET", "/z");
        CPPUNIT_ASSERT_EQUAL(404, no_route.Status);
        CPPUNIT_ASSERT_EQUAL(int(Code_NoRoute), CodeOf(no_route));
        CPPUNIT_ASSERT_EQUAL(std::string(RunNotRun), RunOf(no_route));
        CPPUNIT_ASSERT_EQUAL(int(Code_BadDeadline), CodeOf(fleet.Call("GET", "/x", {{HeaderDeadline, "soon"}})));
        const HttpAnswer no_time = fleet.Call("GET", "/x", {{HeaderDeadline, "0"}});
        CPPUNIT_ASSERT_EQUAL(int(Code_DeadlineTooShort), CodeOf(no_time));
        CPPUNIT_ASSERT(FindHeader(no_time.Headers, "Retry-After") != nullptr);
        const HttpAnswer large = fleet.Call("POST", "/y", {}, std::string(1001, 'a'));
        CPPUNIT_ASSERT_EQUAL(413, large.Status);
        CPPUNIT_ASSERT_EQUAL(int(Code_BodyTooLarge), CodeOf(large));
        CPPUNIT_ASSERT_EQUAL(0, fleet.Requests());
        CPPUNIT_ASSERT_EQUAL(200, fleet.Call("POST", "/y", {}, std::string(1000, 'a')).Status);
        fleet.SetAnswers(RawAnswer_NotRun);
        const HttpAnswer shed = fleet.Call("POST", "/y", {}, "a");
        CPPUNIT_ASSERT_EQUAL(503, shed.Status);
        CPPUNIT_ASSERT_EQUAL(std::string(RunNotRun), RunOf(shed));
        CPPUNIT_ASSERT(FindHeader(shed.Headers, "Retry-After") != nullptr);
        CPPUNIT_ASSERT_EQUAL(3, fleet.Requests()); // Both targets were asked, as neither ran it.
    }

    void NothingIsSentTwice()
    {
        SmallFleet fleet;
        int sent = 0;
        for (const RawAnswer_ bad : {RawAnswer_Nothing, RawAnswer_Garbage, RawAnswer_Half, RawAnswer_GoodThenNothing, RawAnswer_Huge})
        {
            fleet.SetAnswers(bad);
            for (int n = 0; n < 3; n++)
            {
                const HttpAnswer answer = fleet.Call("POST", "/y", {}, "once");
                const bool refused = RunOf(answer) == RunNotRun;
                sent += refused ? 0 : 1;
                CPPUNIT_ASSERT(refused || answer.Status == 200 || RunOf(answer) == RunUnknown);
                CPPUNIT_ASSERT_EQUAL(sent, fleet.Requests());
            }
        }
    }

    void RepeatableIsTriedElsewhere()
    {
        SmallFleet fleet;
        fleet.One.Answer = RawAnswer_Nothing;
        for (int n = 0; n < 5; n++)
        {
            CPPUNIT_ASSERT_EQUAL(200, fleet.Call("GET", "/x").Status);
        }
    }

    void AnswersAreCompleteOrPlainlyFailed()
    {
        SmallFleet fleet;
        fleet.SetAnswers(RawAnswer_Half);
        const HttpAnswer answer = fleet.Call("GET", "/x");
        CPPUNIT_ASSERT_EQUAL(502, answer.Status);
        CPPUNIT_ASSERT_EQUAL(int(Code_AnswerBroken), CodeOf(answer));
        CPPUNIT_ASSERT_EQUAL(std::string(RunUnknown), RunOf(answer));
    }

    void EmptyAnswersKeepTheirStatus()
    {
        SmallFleet fleet;
        fleet.SetAnswers(RawAnswer_Empty404);
        CPPUNIT_ASSERT_EQUAL(404, fleet.Call("GET", "/x").Status);
    }

    void CookiesAllArrive()
    {
        SmallFleet fleet;
        fleet.SetAnswers(RawAnswer_Cookies);
        const HttpAnswer answer = fleet.Call("GET", "/x");
        int cookies = 0;
        for (const Header& header : answer.Headers)
        {
            cookies += SameHeader(header.Name, "Set-Cookie") ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(3, cookies);
    }

    void BadCallersHurtNobody()
    {
        SmallFleet fleet;
        const std::string& address = fleet.Config.TrafficAddress;
        RawExchange(address, "GET /x HTTP/1.1\r\nHost: a\r\nX-Half", 100, true);
        RawExchange(address, "POST /y HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf", 100, true);
        RawExchange(address, "\r\n\r\n\x01\x02\x03 nonsense\r\n\r\n", 100);
        RawExchange(address, "GET no-slash HTTP/1.1\r\nHost: a\r\n\r\n", 100);
        const std::string huge =
            RawExchange(address, "GET /x HTTP/1.1\r\nHost: a\r\nX-Huge: " + std::string(200000, 'a') + "\r\n\r\n", 500);
        CPPUNIT_ASSERT(huge.find(" 200 ") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, fleet.Requests());
        CPPUNIT_ASSERT_EQUAL(200, fleet.Call("GET", "/x").Status);
        CPPUNIT_ASSERT(WaitFor(5 * UsPerSecond, [&]() { return fleet.Under.Routes.InProgress == 0; }));
    }

    void LeavingTargetGetsNothingMore()
    {
        SmallFleet fleet;
        fleet.One.Answer = RawAnswer_Draining;
        CPPUNIT_ASSERT(WaitFor(5 * UsPerSecond, [&]() { return fleet.Call("GET", "/x").Status == 200 && fleet.One.Requests > 0; }));
        const int before = fleet.One.Requests;
        fleet.One.Answer = RawAnswer_Good;
        for (int n = 0; n < 30; n++)
        {
            CPPUNIT_ASSERT_EQUAL(200, fleet.Call("GET", "/x").Status);
        }
        CPPUNIT_ASSERT_EQUAL(before, fleet.One.Requests.load());
        CPPUNIT_ASSERT(
            WaitFor(5 * UsPerSecond, [&]() { return fleet.Page("/status").Body.find("no work: leaving") != std::string::npos; }));
        // The other row has the same target: news of a run is about the target, not the row.
        CPPUNIT_ASSERT(WaitFor(5 * UsPerSecond, [&]() { return RoutingLatest(fleet.Under.Routes)->States[1].News[0].Run.Leaving; }));
    }

    void EditsComeInForceAndBadOnesDoNot()
    {
        SmallFleet fleet;
        Table next = fleet.TableOf(2);
        next.Rows[0].PathPrefix = "/new";
        fleet.Platform.Publish(next);
        CPPUNIT_ASSERT(WaitFor(10 * UsPerSecond, [&]() { return fleet.Call("GET", "/new").Status == 200; }));
        CPPUNIT_ASSERT_EQUAL(404, fleet.Call("GET", "/x").Status);
        Table removed = fleet.TableOf(3);
        removed.Rows.pop_back();
        removed.Rows[0].PathPrefix = "/new";
        fleet.Platform.Publish(removed); // Nothing to fetch.
        CPPUNIT_ASSERT(WaitFor(10 * UsPerSecond, [&]() { return fleet.Call("GET", "/y").Status == 404; }));
        Table bad = fleet.TableOf(4);
        bad.Rows[0].Targets.clear();
        fleet.Platform.Publish(bad);
        CPPUNIT_ASSERT(WaitFor(10 * UsPerSecond, [&]() { return JsonNumberAt(fleet.Page("/status").Body, "table.refusedRevision") == 4; }));
        CPPUNIT_ASSERT_EQUAL(int64_t(3), JsonNumberAt(fleet.Page("/status").Body, "table.revision"));
        CPPUNIT_ASSERT_EQUAL(200, fleet.Call("GET", "/new").Status);
        fleet.Platform.Publish(fleet.TableOf(5));
        CPPUNIT_ASSERT(WaitFor(10 * UsPerSecond, [&]() { return fleet.Call("GET", "/x").Status == 200; }));
    }

    void ARowOfOtherInstancesIsNotServed()
    {
        SmallFleet fleet;
        Table table = fleet.TableOf(2);
        table.Rows[1].FirstNumber = 1; // We are number 0.
        table.Rows[1].Numbers = 3;
        SealRow(&table.Rows[1]);
        SealTable(&table);
        fleet.Platform.Publish(table);
        CPPUNIT_ASSERT(WaitFor(20 * UsPerSecond, [&]() { return fleet.Call("POST", "/y", {}, "a").Status == 421; }));
        const int before = fleet.Requests();
        const HttpAnswer answer = fleet.Call("POST", "/y", {}, "a");
        CPPUNIT_ASSERT_EQUAL(int(Code_OtherInstances), CodeOf(answer));
        CPPUNIT_ASSERT_EQUAL(std::string(RunNotRun), RunOf(answer));
        CPPUNIT_ASSERT_EQUAL(before, fleet.Requests());
        CPPUNIT_ASSERT_EQUAL(200, fleet.Call("GET", "/x").Status);
    }

    void TooManyConnectionsAreTold()
    {
        SmallFleet fleet(2);
        std::vector<int> idle;
        for (size_t n = 0; n < 2; n++)
        {
            idle.push_back(RawConnect(fleet.Config.TrafficAddress));
            CPPUNIT_ASSERT(WaitFor(5 * UsPerSecond, [&]() { return ServerOpen(&fleet.Under.Calls.Listener) == static_cast<int>(n) + 1; }));
        }
        const HttpAnswer answer = fleet.Call("POST", "/y", {}, "a");
        CPPUNIT_ASSERT_EQUAL(503, answer.Status);
        CPPUNIT_ASSERT_EQUAL(int(Code_InstanceBusy), CodeOf(answer));
        CPPUNIT_ASSERT_EQUAL(std::string(RunNotRun), RunOf(answer));
        CPPUNIT_ASSERT_EQUAL(std::string("close"), *FindHeader(answer.Headers, "Connection"));
        CPPUNIT_ASSERT_EQUAL(0, fleet.Requests());
        for (const int fd : idle)
        {
            close(fd);
        }
        CPPUNIT_ASSERT(WaitFor(5 * UsPerSecond, [&]() { return ServerOpen(&fleet.Under.Calls.Listener) == 0; }));
        CPPUNIT_ASSERT_EQUAL(200, fleet.Call("POST", "/y", {}, "a").Status);
    }

    void PlannedStopCutsNothing()
    {
        SmallFleet fleet;
        fleet.SetAnswers(RawAnswer_Silence);
        std::thread caller(
            [&]()
            {
                const HttpAnswer answer = fleet.Call("POST", "/y", {{HeaderDeadline, "1500"}}, "a");
                CPPUNIT_ASSERT_EQUAL(int(Code_DeadlinePassed), CodeOf(answer)); // Not cut: it got its full time and an answer.
            });
        CPPUNIT_ASSERT(WaitFor(5 * UsPerSecond, [&]() { return fleet.Requests() == 1; }));
        const std::atomic<bool> force{false};
        CPPUNIT_ASSERT_EQUAL(0, InstanceDrain(&fleet.Under, force));
        caller.join();
        CPPUNIT_ASSERT_EQUAL(503, fleet.Page("/ready").Status);
    }

    // A read that waits for a silent target is answered by the other one; what may not be repeated is not sent twice.
    void ASlowReadGoesToAnotherTarget()
    {
        SmallFleet fleet;
        for (int n = 0; n < 20; n++)
        {
            CPPUNIT_ASSERT_EQUAL(200, fleet.Call("GET", "/x").Status);
            CPPUNIT_ASSERT_EQUAL(200, fleet.Call("POST", "/y", {}, "a").Status);
        }
        fleet.One.Answer = RawAnswer_Silence;
        const int before = fleet.One.Requests;
        for (int n = 0; n < 200 && fleet.One.Requests == before; n++)
        {
            CPPUNIT_ASSERT_EQUAL(200, fleet.Call("GET", "/x").Status);
        }
        CPPUNIT_ASSERT(fleet.One.Requests > before);
        CPPUNIT_ASSERT(WaitFor(5 * UsPerSecond, [&]() { return JsonNumberAt(fleet.Page("/status").Body, "instance.inProgress") == 0; }));
        fleet.Other.Answer = RawAnswer_Silence;
        const int sent = fleet.Requests();
        const HttpAnswer answer = fleet.Call("POST", "/y", {{HeaderDeadline, "300"}}, "a");
        CPPUNIT_ASSERT_EQUAL(int(Code_DeadlinePassed), CodeOf(answer));
        CPPUNIT_ASSERT_EQUAL(sent + 1, fleet.Requests());
    }

    // A request counts as in progress from its first line on, not only once its body is here.
    void PlannedStopWaitsForAnUpload()
    {
        SmallFleet fleet;
        const int fd = RawConnect(fleet.Config.TrafficAddress);
        const std::string first = "POST /y HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab";
        CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(first.size()), send(fd, first.data(), first.size(), MSG_NOSIGNAL));
        CPPUNIT_ASSERT(WaitFor(5 * UsPerSecond, [&]() { return ServerBusy(&fleet.Under.Calls.Listener) == 1; }));
        const std::atomic<bool> force{false};
        std::atomic<int> cut{-1};
        std::thread drain([&]() { cut = InstanceDrain(&fleet.Under, force); });
        CPPUNIT_ASSERT(WaitFor(5 * UsPerSecond, [&]() { return fleet.Under.Routes.Refusing.load(); }));
        CPPUNIT_ASSERT_EQUAL(ssize_t(2), send(fd, "cd", 2, MSG_NOSIGNAL));
        std::string got(65536, '\0');
        got.resize(static_cast<size_t>(std::max<ssize_t>(recv(fd, got.data(), got.size(), 0), 0)));
        drain.join();
        close(fd);
        CPPUNIT_ASSERT_EQUAL(0, cut.load());
        CPPUNIT_ASSERT_MESSAGE(got, got.find("HTTP/1.1 503") == 0 && got.find("not-run") != std::string::npos);
    }

    void PlannedStopEndsIdleConnections()
    {
        SmallFleet fleet;
        const int fd = RawConnect(fleet.Config.TrafficAddress);
        CPPUNIT_ASSERT(WaitFor(5 * UsPerSecond, [&]() { return ServerOpen(&fleet.Under.Calls.Listener) == 1; }));
        const std::atomic<bool> force{false};
        CPPUNIT_ASSERT_EQUAL(0, InstanceDrain(&fleet.Under, force));
        CPPUNIT_ASSERT_EQUAL(0, ServerOpen(&fleet.Under.Calls.Listener));
        char byte = 0;
        CPPUNIT_ASSERT_EQUAL(ssize_t(0), recv(fd, &byte, 1, 0)); // An orderly end, no reset.
        close(fd);
    }

    // Stops the control thread and sets when it last ticked.
    static void StopTicking(SmallFleet* fleet, TimeUs ticked_at)
    {
        fleet->Under.Plane.StopWanted = true;
        fleet->Under.Plane.Thread.join();
        fleet->Under.Routes.ControlTickUs = ticked_at;
    }

    // The control thread has not ticked for long, as after a pause of the process: no request leaves.
    void PausedInstanceSendsNothing()
    {
        SmallFleet fleet;
        StopTicking(&fleet, NowUs() - 2 * PauseUs);
        const HttpAnswer answer = fleet.Call("POST", "/y", {}, "a");
        CPPUNIT_ASSERT_EQUAL(int(Code_InstanceWaking), CodeOf(answer));
        CPPUNIT_ASSERT_EQUAL(std::string(RunNotRun), RunOf(answer));
        CPPUNIT_ASSERT_EQUAL(0, fleet.Requests());
    }

    // Planted: the same, but the instance believes that it has just ticked. The request leaves, and the count shows it.
    void FindsAPauseThatGoesUnnoticed()
    {
        SmallFleet fleet;
        StopTicking(&fleet, NowUs() + UsPerSecond);
        CPPUNIT_ASSERT_EQUAL(200, fleet.Call("POST", "/y", {}, "a").Status);
        CPPUNIT_ASSERT_EQUAL(1, fleet.Requests());
    }

    void HangUpReachesTheTarget()
    {
        SmallFleet fleet;
        fleet.SetAnswers(RawAnswer_Silence);
        const int fd = RawConnect(fleet.Config.TrafficAddress);
        const std::string request = "POST /y HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\na";
        CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(request.size()), send(fd, request.data(), request.size(), MSG_NOSIGNAL));
        CPPUNIT_ASSERT(WaitFor(5 * UsPerSecond, [&]() { return fleet.Requests() == 1; }));
        close(fd);
        CPPUNIT_ASSERT(WaitFor(5 * UsPerSecond, [&]() { return fleet.One.Closed + fleet.Other.Closed == 1; }));
        CPPUNIT_ASSERT(WaitFor(5 * UsPerSecond, [&]() { return fleet.Under.Routes.InProgress == 0; }));
    }

    void NoTableNoService()
    {
        Settings config;
        config.TrafficAddress = LocalAddress();
        config.ControlAddress = LocalAddress();
        config.AdvertisedAddress = config.ControlAddress;
        config.OperatorAddress = LocalAddress();
        config.PlatformAddress = LocalAddress(); // Nobody there.
        config.DataCentre = "dc1";
        Instance instance;
        CPPUNIT_ASSERT(InstanceStart(&instance, config).has_value());
        const HttpAnswer answer = HttpOnce({"GET", config.TrafficAddress, "/x", "", {}, 5000});
        const HttpAnswer ready = HttpOnce({"GET", config.OperatorAddress, "/ready", "", {}, 5000});
        InstanceStop(&instance);
        CPPUNIT_ASSERT_EQUAL(int(Code_NoTable), CodeOf(answer));
        CPPUNIT_ASSERT_EQUAL(503, ready.Status);
        Instance second;
        config.OperatorAddress = config.TrafficAddress; // Taken by its own traffic: the start fails as a whole.
        const Result<void> started = InstanceStart(&second, config);
        CPPUNIT_ASSERT(!started && started.error().Code == Code_ListenFailed);
        CPPUNIT_ASSERT_EQUAL(size_t(0), second.Services.Started);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceTest);

} // namespace Winchlink
