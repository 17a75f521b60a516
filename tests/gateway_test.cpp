// gateway_test.cpp: one instance with callers, working targets, changes of configuration and settings, and its shutdown.

#include "clock.h"
#include "gateway_rig.h"
#include "pages.h"

#include <cmath>
#include <fmt/format.h>
#include <fstream>

namespace Winchlink
{

static const std::string* SawHeader(const UsersTarget& target, const std::string& name)
{
    CPPUNIT_ASSERT(!target.Saw.empty());
    return FindHeader(target.Saw.back().Headers, name);
}

// Standard output goes to a file while this exists.
struct CapturedOutput
{
    FILE* File = std::tmpfile();
    int Former = dup(STDOUT_FILENO);

    CapturedOutput()
    {
        (void)std::fflush(stdout);
        dup2(fileno(File), STDOUT_FILENO);
    }

    ~CapturedOutput()
    {
        dup2(Former, STDOUT_FILENO);
        close(Former);
        (void)std::fclose(File);
    }

    CapturedOutput(const CapturedOutput&) = delete;
    CapturedOutput& operator=(const CapturedOutput&) = delete;

    std::string Read() const
    {
        std::string text;
        std::rewind(File);
        for (int next = std::fgetc(File); next != EOF; next = std::fgetc(File))
        {
            text += static_cast<char>(next);
        }
        return text;
    }
};

class GatewayTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(PassesRequestsOnUnchanged);
    CPPUNIT_TEST(PassesAnswersOnUnchanged);
    CPPUNIT_TEST(AcceptsChunkedAndLongBodies);
    CPPUNIT_TEST(RefusesBodiesOverTheLimit);
    CPPUNIT_TEST(AnswersPipelinedRequestsInOrder);
    CPPUNIT_TEST(RefusesUnknownRoutes);
    CPPUNIT_TEST(IsNotReadyAndRefusesWithoutAPlan);
    CPPUNIT_TEST(SendsTheRemainingDeadline);
    CPPUNIT_TEST(EndsARequestAtItsTimeout);
    CPPUNIT_TEST(CancelsTheWorkOfCallersThatLeave);
    CPPUNIT_TEST(RefusesAtOnceWhenAllSlotsAreTaken);
    CPPUNIT_TEST(PrefersTheIdleTargetAtItsUsualPace);
    CPPUNIT_TEST(ProbesAnotherTargetWhenTheFirstIsSlow);
    CPPUNIT_TEST(RequestsShareAProbe);
    CPPUNIT_TEST(UsesAnotherDataCentreWhenTheNearOneIsFull);
    CPPUNIT_TEST(AvoidsTargetsThatReportAColdStart);
    CPPUNIT_TEST(UsesTargetsThatReportNoLoad);
    CPPUNIT_TEST(AppliesNewerConfigurationsOnly);
    CPPUNIT_TEST(AcceptsFourHundredMoreRoutes);
    CPPUNIT_TEST(KeepsThePlanIfAConfigurationIsInvalid);
    CPPUNIT_TEST(SplitsByWeight);
    CPPUNIT_TEST(RequestsOfAFullPartAreRefused);
    CPPUNIT_TEST(StopsWithoutCuttingRequests);
    CPPUNIT_TEST(ReloadsSettings);
    CPPUNIT_TEST(KeepsSettingsThatCantBeReplaced);
    CPPUNIT_TEST(CountsRetriesThatAreKeptForCallersThatCameBack);
    CPPUNIT_TEST(WithoutAShareForFirstTriesAllTriesAreAlike);
    CPPUNIT_TEST(TheLogTellsWhichRequestsDivisionSentElsewhere);
    CPPUNIT_TEST(ShowsMetrics);
    CPPUNIT_TEST_SUITE_END();

    void PassesRequestsOnUnchanged()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t1");
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        RigCall call;
        call.Target = "/a/b%2Fc/../d;x?q=%20+&&r";
        call.Method = "POST";
        call.Body = std::string("zero \0 and more", 15);
        const RigAnswer answer = RigSendAndWait(&rig, instance, call);
        CPPUNIT_ASSERT_EQUAL(200, answer.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, target.Saw.size());
        CPPUNIT_ASSERT_EQUAL(call.Target, target.Saw[0].Path);
        CPPUNIT_ASSERT_EQUAL(call.Method, target.Saw[0].Method);
        CPPUNIT_ASSERT_EQUAL(call.Body, target.Saw[0].Body);
        CPPUNIT_ASSERT_EQUAL(answer.Id, target.Saw[0].Id);
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), *SawHeader(target, "Winchlink-Expect-Instance"));
        CPPUNIT_ASSERT_EQUAL(std::string("a.example"), *SawHeader(target, "Host"));
        CPPUNIT_ASSERT(SawHeader(target, "Accept-Encoding") == nullptr);
    }

    void PassesAnswersOnUnchanged()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t1");
        UsersRoute once;
        once.Attempts = 1;
        RigConfigure(&rig, {once});
        const Gateway& instance = RigInstance(&rig, 1);
        target.Script = {TargetAct_Good, TargetAct_Failed, TargetAct_NoLength};
        RigAnswer answer = RigSendAndWait(&rig, instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(200, answer.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(std::string("t1 ran GET /a/x with 0 bytes"), answer.Answer.Body);
        CPPUNIT_ASSERT_EQUAL("t1." + answer.Id, *FindHeader(answer.Answer.Headers, "Winchlink-Response-Signature"));
        CPPUNIT_ASSERT_EQUAL(answer.Id, *FindHeader(answer.Answer.Headers, "Winchlink-Request-Id"));
        answer = RigSendAndWait(&rig, instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(500, answer.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(std::string("failed"), answer.Answer.Body);
        CPPUNIT_ASSERT(FindHeader(answer.Answer.Headers, "Winchlink-Response-Signature") != nullptr);
        answer = RigSendAndWait(&rig, instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(200, answer.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(std::string("t1 ran GET /a/x with 0 bytes"), answer.Answer.Body);
    }

    void AcceptsChunkedAndLongBodies()
    {
        Rig rig;
        const UsersTarget& target = RigTarget(&rig, "t1");
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        RawCaller caller(&rig.Loop, instance.Config.CallerAddress);
        RawSend(caller, "POST /a/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: chunked\r\nWinchlink-Deadline-Ms: 900\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
        RigRunFor(&rig, 20 * UsPerMs);
        CPPUNIT_ASSERT(target.Saw.empty());
        RawSend(caller, "6\r\n world\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return caller.Read.find("with 11 bytes") != std::string::npos; }));
        CPPUNIT_ASSERT_EQUAL(std::string("hello world"), target.Saw[0].Body);
        RigCall call;
        call.Method = "POST";
        for (int n = 0; n < 60000; n++)
        {
            call.Body += std::to_string(n);
        }
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, call).Answer.Status);
        CPPUNIT_ASSERT(call.Body == target.Saw[1].Body);
    }

    void RefusesBodiesOverTheLimit()
    {
        Rig rig;
        const UsersTarget& target = RigTarget(&rig, "t1");
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        const std::string head = "POST /a/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: big\r\nWinchlink-Deadline-Ms: 900\r\n";
        RawCaller declared(&rig.Loop, instance.Config.CallerAddress);
        RawSend(declared, head + "Content-Length: 1000001\r\n\r\n");
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return declared.Read.rfind("HTTP/1.1 413", 0) == 0; }));
        RawCaller chunked(&rig.Loop, instance.Config.CallerAddress);
        RawSend(chunked, head + "Transfer-Encoding: chunked\r\n\r\n");
        const std::string chunk = fmt::format("{:x}\r\n{}\r\n", 30000, std::string(30000, 'x'));
        for (int n = 0; n < 34; n++)
        {
            RawSend(chunked, chunk);
            RigRunFor(&rig, UsPerMs);
        }
        RawSend(chunked, "0\r\n\r\n");
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return chunked.Read.rfind("HTTP/1.1 413", 0) == 0; }));
        CPPUNIT_ASSERT(target.Saw.empty());
    }

    void AnswersPipelinedRequestsInOrder()
    {
        Rig rig;
        RigTarget(&rig, "t1");
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        RawCaller caller(&rig.Loop, instance.Config.CallerAddress);
        std::string bytes;
        for (int n = 0; n < 5; n++)
        {
            bytes += fmt::format("GET /a/{} HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: p{}\r\nWinchlink-Deadline-Ms: 900\r\n\r\n",
                                 n, n);
        }
        RawSend(caller, bytes);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return caller.Read.find("ran GET /a/4") != std::string::npos; }));
        size_t at = 0;
        for (int n = 0; n < 5; n++)
        {
            const size_t next = caller.Read.find(fmt::format("ran GET /a/{} ", n));
            CPPUNIT_ASSERT(next != std::string::npos && next > at);
            at = next;
        }
    }

    void RefusesUnknownRoutes()
    {
        Rig rig;
        const UsersTarget& target = RigTarget(&rig, "t1");
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        RigCall call;
        call.Target = "/ab/x";
        CPPUNIT_ASSERT_EQUAL(404, RigSendAndWait(&rig, instance, call).Answer.Status);
        call.Target = "/a/x";
        call.Host = "b.example";
        CPPUNIT_ASSERT_EQUAL(404, RigSendAndWait(&rig, instance, call).Answer.Status);
        CPPUNIT_ASSERT(target.Saw.empty());
    }

    static int ReadyStatus(Rig* rig, const Gateway& instance)
    {
        int status = 0;
        ClientRequest request;
        request.Address = instance.Config.ReadyAddress;
        request.Target = "/ready";
        ClientSend(&rig->Callers, request, [&status](const ClientAnswer& answer) { status = answer.Status; });
        CPPUNIT_ASSERT(RigRunUntil(rig, [&]() { return status != 0; }));
        return status;
    }

    void IsNotReadyAndRefusesWithoutAPlan()
    {
        Rig rig;
        const Gateway& instance = RigStart(&rig);
        CPPUNIT_ASSERT_EQUAL(503, ReadyStatus(&rig, instance));
        const RigAnswer answer = RigSendAndWait(&rig, instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(503, answer.Answer.Status);
        CPPUNIT_ASSERT(std::stod(*FindHeader(answer.Answer.Headers, "Retry-After")) > 0);
        RigConfigure(&rig, {UsersRoute()});
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return ReadyStatus(&rig, instance) == 200; }));
    }

    void SendsTheRemainingDeadline()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t1");
        UsersRoute route;
        route.TimeoutS = 0.8;
        RigConfigure(&rig, {route});
        const Gateway& instance = RigInstance(&rig, 1);
        RigCall call;
        call.DeadlineMs = 500;
        RigSendAndWait(&rig, instance, call);
        const int short_one = std::stoi(*SawHeader(target, "Winchlink-Deadline-Ms"));
        CPPUNIT_ASSERT(short_one > 0 && short_one <= 500);
        call.DeadlineMs = 60000;
        RigSendAndWait(&rig, instance, call);
        const int long_one = std::stoi(*SawHeader(target, "Winchlink-Deadline-Ms"));
        CPPUNIT_ASSERT(long_one > 500 && long_one <= 800); // The route's timeout is shorter than the caller's deadline.
    }

    void EndsARequestAtItsTimeout()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t1");
        UsersRoute route;
        route.TimeoutS = 0.15;
        RigConfigure(&rig, {route});
        const Gateway& instance = RigInstance(&rig, 1);
        target.Script = {TargetAct_Silence};
        const RigAnswer answer = RigSendAndWait(&rig, instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(504, answer.Answer.Status);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return target.Saw[0].Cancelled; }));
    }

    void CancelsTheWorkOfCallersThatLeave()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t1");
        target.WorkUs = 10 * UsPerSecond;
        UsersRoute route;
        route.TimeoutS = 30;
        RigConfigure(&rig, {route});
        const Gateway& instance = RigInstance(&rig, 1);
        RawCaller caller(&rig.Loop, instance.Config.CallerAddress);
        RawSend(caller, "GET /a/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: leaves\r\nWinchlink-Deadline-Ms: 30000\r\n\r\n");
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return target.Running == 1; }));
        RawClose(&caller);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return target.Saw[0].Cancelled && instance.Requests.InProgress == 0; }));
        CPPUNIT_ASSERT_EQUAL(0, target.Running);
    }

    void RefusesAtOnceWhenAllSlotsAreTaken()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t1");
        target.WorkUs = 30 * UsPerSecond;
        UsersRoute route;
        route.TimeoutS = 25;
        RigConfigure(&rig, {route});
        const Gateway& instance = RigInstance(&rig, 1);
        std::vector<RigAnswerPtr> pending;
        for (int n = 0; n < target.Slots; n++)
        {
            RigCall call;
            call.DeadlineMs = 30000;
            pending.push_back(RigSend(&rig, instance, call));
            CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return target.Running == n + 1; }));
        }
        const RigAnswer answer = RigSendAndWait(&rig, instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(503, answer.Answer.Status);
        CPPUNIT_ASSERT(std::stod(*FindHeader(answer.Answer.Headers, "Retry-After")) > 0);
        CPPUNIT_ASSERT_EQUAL(std::to_string(static_cast<int>(Code_TargetsBusy)), *FindHeader(answer.Answer.Headers, HeaderCode));
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(rig, answer.Id));
        CPPUNIT_ASSERT_EQUAL(size_t{3}, target.Saw.size()); // The request was not sent.
        CPPUNIT_ASSERT(target.Waiting.empty());
    }

    void PrefersTheIdleTargetAtItsUsualPace()
    {
        Rig rig;
        UsersTarget& slow = RigTarget(&rig, "t1");
        slow.PacePercent = 500;
        const UsersTarget& usual = RigTarget(&rig, "t2");
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 2);
        for (int n = 0; n < 10; n++)
        {
            RigSendAndWait(&rig, instance, RigCall());
        }
        CPPUNIT_ASSERT_EQUAL(size_t{0}, slow.Saw.size());
        CPPUNIT_ASSERT_EQUAL(size_t{10}, usual.Saw.size());
    }

    void ProbesAnotherTargetWhenTheFirstIsSlow()
    {
        Rig rig;
        UsersTarget& first = RigTarget(&rig, "t1");
        UsersTarget& second = RigTarget(&rig, "t2");
        UsersRoute route; // Choosing may take a fifth of the latency objective: long enough for a slow machine.
        route.AimS = 60;
        route.TimeoutS = 60;
        RigConfigure(&rig, {route});
        Gateway& instance = RigInstance(&rig, 2);
        instance.Requests.Services["svc"].ProbeTimeout.MinUs = RigTimeoutUs; // Probes never time out here.
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, RigCall()).Answer.Status);
        RigRunFor(&rig, 200 * UsPerMs); // Makes the load reports stale.
        const std::string next = PoolNext(&instance.Requests.Services["svc"].Pool, {}, false, NowUs())->Id;
        UsersTarget& asked = next == first.Id ? first : second;
        UsersTarget& other = next == first.Id ? second : first;
        asked.Mute = true;
        const RigAnswer answer = RigSendAndWait(&rig, instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(200, answer.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(1, UsersTargetRuns(other, answer.Id));
        CPPUNIT_ASSERT_EQUAL(size_t{1}, instance.Requests.Services["svc"].Probes.size()); // The first probe is still in flight.
    }

    void RequestsShareAProbe()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t1");
        UsersRoute route;
        route.AimS = 10;
        RigConfigure(&rig, {route});
        Gateway& instance = RigInstance(&rig, 1);
        instance.Requests.Services["svc"].ProbeTimeout.MinUs =
            RigTimeoutUs; // The probe stays in flight until all three requests have timed out.
        target.Mute = true;
        const std::vector<RigAnswerPtr> answers = {RigSend(&rig, instance, RigCall()), RigSend(&rig, instance, RigCall()),
                                                   RigSend(&rig, instance, RigCall())};
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return instance.Requests.ProbesShared == 2; }));
        CPPUNIT_ASSERT_EQUAL(uint64_t{1}, instance.Requests.ProbesSent);
        CPPUNIT_ASSERT(
            RigRunUntil(&rig, [&]() { return std::all_of(answers.begin(), answers.end(), [](const auto& a) { return a->Done; }); }));
        for (const RigAnswerPtr& answer : answers)
        {
            CPPUNIT_ASSERT_EQUAL(503, answer->Answer.Status);
        }
    }

    void UsesAnotherDataCentreWhenTheNearOneIsFull()
    {
        Rig rig;
        UsersTarget& near = RigTarget(&rig, "t1");
        const UsersTarget& far = RigTarget(&rig, "t2", "svc", "dc-b");
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 2);
        RigSendAndWait(&rig, instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(size_t{1}, near.Saw.size());
        near.Running = near.Slots; // In use by other instances.
        RigRunFor(&rig, 200 * UsPerMs);
        RigSendAndWait(&rig, instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(size_t{1}, near.Saw.size());
        CPPUNIT_ASSERT_EQUAL(size_t{1}, far.Saw.size());
        near.Running = 0;
    }

    // The target reports its cold start in a header, before its entry in the store does.
    void AvoidsTargetsThatReportAColdStart()
    {
        Rig rig;
        UsersTarget& near = RigTarget(&rig, "near", "svc", "dc-a");
        const UsersTarget& far = RigTarget(&rig, "far", "svc", "dc-b");
        RigConfigure(&rig, {UsersRoute()});
        Gateway& instance = RigInstance(&rig, 2);
        near.ColdMs = 60000;
        for (int n = 0; n < 5; n++)
        {
            CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, RigCall()).Answer.Status);
        }
        CPPUNIT_ASSERT_EQUAL(size_t{5}, far.Saw.size());
        CPPUNIT_ASSERT_EQUAL(1, near.HealthAsked);
        const PoolTarget* known = PoolFind(&instance.Requests.Services.at("svc").Pool, "near");
        CPPUNIT_ASSERT(known->ColdUntilUs > NowUs() + 30 * UsPerSecond);
    }

    void UsesTargetsThatReportNoLoad()
    {
        Rig rig;
        for (const char* id : {"t1", "t2"})
        {
            RigTarget(&rig, id).SendsLoad = false;
        }
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 2);
        for (int n = 0; n < 20; n++)
        {
            CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, RigCall()).Answer.Status);
        }
        CPPUNIT_ASSERT(rig.Targets[0]->Saw.size() > 2 && rig.Targets[1]->Saw.size() > 2);
        // The health path of such targets needs a slot as a request does, so it is not probed for each request.
        CPPUNIT_ASSERT(rig.Targets[0]->HealthAsked + rig.Targets[1]->HealthAsked < 10);
    }

    void AppliesNewerConfigurationsOnly()
    {
        Rig rig;
        RigTarget(&rig, "t1");
        RigTarget(&rig, "t2", "other");
        UsersRoute route;
        RigConfigure(&rig, {route});
        const Gateway& instance = RigInstance(&rig, 2);
        UsersRoute moved;
        moved.Parts = {{"other", 1}};
        UsersRoute added;
        added.Name = "r2";
        added.Prefix = "/a/more/";
        RigConfigure(&rig, {moved, added});
        const auto in_force = [&](uint64_t version)
        {
            return instance.Requests.Plan->Version == version;
        };
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return in_force(2); }));
        CPPUNIT_ASSERT(RigSendAndWait(&rig, instance, RigCall()).Answer.Body.rfind("t2 ran", 0) == 0);
        RigCall longest;
        longest.Target = "/a/more/x";
        CPPUNIT_ASSERT(RigSendAndWait(&rig, instance, longest).Answer.Body.rfind("t1 ran", 0) == 0);
        UsersStoreConfigure(&rig.Store, 1, {route}); // An older version with a newer revision of the store.
        RigRunFor(&rig, 500 * UsPerMs);
        CPPUNIT_ASSERT(in_force(2));
        RigConfigure(&rig, {route});
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return in_force(3); }));
        CPPUNIT_ASSERT(RigSendAndWait(&rig, instance, longest).Answer.Body.rfind("t1 ran", 0) == 0); // Matches the shorter prefix again.
        RigConfigure(&rig, {added});
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return in_force(4); }));
        CPPUNIT_ASSERT_EQUAL(404, RigSendAndWait(&rig, instance, RigCall()).Answer.Status);
    }

    void AcceptsFourHundredMoreRoutes()
    {
        Rig rig;
        RigTarget(&rig, "t1");
        std::vector<UsersRoute> routes = {UsersRoute()};
        RigConfigure(&rig, routes);
        const Gateway& instance = RigInstance(&rig, 1);
        for (int n = 0; n < 400; n++)
        {
            UsersRoute route;
            route.Name = fmt::format("r-{}", n);
            route.Prefix = fmt::format("/b{}/", n);
            route.AimS = RelaxedAimS;
            routes.push_back(route);
        }
        RigConfigure(&rig, routes);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return instance.Requests.Plan->Version == 2; }));
        RigCall call;
        call.Target = "/b399/x";
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, call).Answer.Status);
    }

    void KeepsThePlanIfAConfigurationIsInvalid()
    {
        Rig rig;
        RigTarget(&rig, "t1");
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        UsersStorePut(&rig.Store, "op/config", "{\"version\":\"00000009\",\"routes\":[{\"name\":\"half\"}]");
        UsersStorePut(&rig.Store, "servers/t9", "no JSON");
        UsersStorePut(&rig.Store, "somebody/else", "not ours");
        RigRunFor(&rig, 300 * UsPerMs);
        CPPUNIT_ASSERT_EQUAL(uint64_t{1}, instance.Requests.Plan->Version);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, instance.Requests.Directory.Targets.size());
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, RigCall()).Answer.Status);
    }

    void SplitsByWeight()
    {
        Rig rig;
        const UsersTarget& heavy = RigTarget(&rig, "t1");
        const UsersTarget& light = RigTarget(&rig, "t2", "other");
        UsersRoute route;
        route.Parts = {{"svc", 90}, {"other", 10}};
        RigConfigure(&rig, {route});
        const Gateway& instance = RigInstance(&rig, 2);
        for (int n = 0; n < 100; n++)
        {
            RigSendAndWait(&rig, instance, RigCall());
        }
        CPPUNIT_ASSERT(heavy.Saw.size() >= 89 && heavy.Saw.size() <= 91);
        CPPUNIT_ASSERT_EQUAL(size_t{100}, heavy.Saw.size() + light.Saw.size());
    }

    void RequestsOfAFullPartAreRefused()
    {
        Rig rig;
        RigTarget(&rig, "t1");
        UsersTarget& full = RigTarget(&rig, "t2", "other");
        full.Running = full.Slots; // In use by other instances.
        UsersRoute route;
        route.Parts = {{"svc", 50}, {"other", 50}};
        RigConfigure(&rig, {route});
        const Gateway& instance = RigInstance(&rig, 2);
        int served = 0;
        for (int n = 0; n < 20; n++)
        {
            const int status = RigSendAndWait(&rig, instance, RigCall()).Answer.Status;
            CPPUNIT_ASSERT(status == 200 || status == 503);
            served += status == 200 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(10, served);
        full.Running = 0;
    }

    void StopsWithoutCuttingRequests()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t1");
        target.WorkUs = 300 * UsPerMs;
        RigConfigure(&rig, {UsersRoute()});
        Gateway& instance = RigInstance(&rig, 1);
        RawCaller idle(&rig.Loop, instance.Config.CallerAddress);
        const RigAnswerPtr pending = RigSend(&rig, instance, RigCall());
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return target.Running == 1; }));
        GatewayStop(&instance);
        CPPUNIT_ASSERT_EQUAL(503, ReadyStatus(&rig, instance));
        const RigAnswer later = RigSendAndWait(&rig, instance, RigCall()); // The balancer in front hasn't removed the instance yet.
        CPPUNIT_ASSERT_EQUAL(200, later.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(std::string("close"), *FindHeader(later.Answer.Headers, "Connection"));
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return pending->Done; }));
        CPPUNIT_ASSERT_EQUAL(200, pending->Answer.Status);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return instance.Stopped; }));
        CPPUNIT_ASSERT(idle.Ended);
        CPPUNIT_ASSERT_EQUAL(0, instance.Requests.InProgress);
    }

    static void WriteSettings(const std::string& file, const Settings& settings, const std::string& extra)
    {
        std::ofstream out(file);
        out << fmt::format(R"({{"instance":"t","dataCentre":"dc-b","callerAddress":"{}","readyAddress":"{}","storeAddress":"{}"{}}})",
                           settings.CallerAddress, settings.ReadyAddress, settings.StoreAddress, extra);
    }

    void ReloadsSettings()
    {
        Rig rig;
        RigConfigure(&rig, {UsersRoute()});
        Gateway& instance = RigInstance(&rig, 0);
        instance.SettingsFile = fmt::format("/tmp/winchlink-settings-{}.json", getpid());
        WriteSettings(instance.SettingsFile, instance.Config, R"(,"graceS":2.5,"repeatShare":0.05,"firstTryShare":0.5)");
        CPPUNIT_ASSERT(
            RigRunUntil(&rig, [&]() { return instance.Requests.DataCentre == "dc-b"; })); // The file is reloaded without a signal.
        CPPUNIT_ASSERT_EQUAL(TimeUs{2500000}, instance.Config.GraceUs);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.05, instance.Requests.Config.RetryShare, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, instance.Requests.Config.FirstTryShare, 1e-9);
        unlink(instance.SettingsFile.c_str());
    }

    // Both targets refuse all requests of callers that can come back, though they have room.
    static void RefuseAll(Rig* rig, const Gateway& instance)
    {
        constexpr int requests = 50;
        for (int n = 0; n < requests; n++)
        {
            for (const auto& target : rig->Targets)
            {
                target->Script = {TargetAct_Refuse};
            }
            CPPUNIT_ASSERT_EQUAL(503, RigSendAndWait(rig, instance, RigCall()).Answer.Status);
        }
    }

    static Gateway& InstanceWithTwoTargets(Rig* rig)
    {
        RigTarget(rig, "t1");
        RigTarget(rig, "t2");
        UsersRoute route;
        route.AimS = 1; // Leaves time for a return on a busy machine.
        RigConfigure(rig, {route});
        return RigInstance(rig, 2);
    }

    void CountsRetriesThatAreKeptForCallersThatCameBack()
    {
        Rig rig;
        const Gateway& instance = InstanceWithTwoTargets(&rig);
        RefuseAll(&rig, instance);
        const RowMetrics& metrics = instance.Requests.Services.at("svc").Metrics;
        CPPUNIT_ASSERT(metrics.RetriesKept > 0);
        CPPUNIT_ASSERT(metrics.RetriesKept <= metrics.RetriesRefused);
        const std::string line = fmt::format("winchlink_repeats_kept{{service=\"svc\"}} {}\n", metrics.RetriesKept);
        CPPUNIT_ASSERT(MetricsText(instance).find(line) != std::string::npos);
    }

    void WithoutAShareForFirstTriesAllTriesAreAlike()
    {
        Rig rig;
        Gateway& instance = InstanceWithTwoTargets(&rig);
        instance.Requests.Config.FirstTryShare = 1;
        RefuseAll(&rig, instance);
        const RowMetrics& metrics = instance.Requests.Services.at("svc").Metrics;
        CPPUNIT_ASSERT(metrics.RetriesRefused > 0);
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, metrics.RetriesKept);
        CPPUNIT_ASSERT_EQUAL(TimeUs{0}, instance.Requests.Work.begin()->second.Timeouts.WindowEndUs); // No try is told from another.
    }

    // The last log line of a request that the target answers with an error; such lines are always written.
    static std::string LastLineOfAFailure(Rig* rig, const Gateway& instance)
    {
        rig->Targets[0]->Script = {TargetAct_Failed};
        RigCall call;
        call.Method = "POST";
        SetLogLevel(LogLevel_Info);
        const CapturedOutput output;
        const RigAnswer answer = RigSendAndWait(rig, instance, call);
        SetLogLevel(LogLevel_Error);
        CPPUNIT_ASSERT_EQUAL(500, answer.Answer.Status);
        const std::string text = output.Read();
        const size_t at = text.find("\"requestId\":\"" + answer.Id + "\"");
        CPPUNIT_ASSERT(at != std::string::npos);
        return text.substr(at, text.find('\n', at) - at);
    }

    void TheLogTellsWhichRequestsDivisionSentElsewhere()
    {
        Rig rig;
        RigTarget(&rig, "t1", "svc", "dc-b");
        RigConfigure(&rig, {UsersRoute()});
        Gateway& instance = RigInstance(&rig, 1);
        instance.Requests.Divides = true;
        Division& divided = instance.Requests.Services.at("svc").Divided;
        divided.Config.RoomMaxAgeUs = RigTimeoutUs; // The load of the machine must not decide.
        const uint16_t other = PeerDataCentre("dc-b");
        const std::string asked = "127.0.0.2:1"; // An instance in the other data centre.
        DivisionAsked(&divided, other, asked, NowUs());
        const LoadMessage answer = {LoadMessage_Answer, 0, other, {10, 10, 10}, {}};
        DivisionHeard(&divided, instance.Requests.Services.at("svc").Pool, asked, answer, PeerDataCentre("dc-a"), NowUs());
        CPPUNIT_ASSERT(LastLineOfAFailure(&rig, instance).find("\"crossed\":1") != std::string::npos);
        CPPUNIT_ASSERT(divided.Crossed > 0);
        instance.Requests.Divides = false;
        CPPUNIT_ASSERT(LastLineOfAFailure(&rig, instance).find("\"crossed\":0") != std::string::npos);
        divided.Home = {4, 1, NowUs()};
        CPPUNIT_ASSERT(MetricsText(instance).find("winchlink_division_home_share{service=\"svc\"} 0.250\n") != std::string::npos);
    }

    void KeepsSettingsThatCantBeReplaced()
    {
        Rig rig;
        RigConfigure(&rig, {UsersRoute()});
        Gateway& instance = RigInstance(&rig, 0);
        instance.SettingsFile = fmt::format("/tmp/winchlink-settings-bad-{}.json", getpid());
        WriteSettings(instance.SettingsFile, instance.Config, R"(,"graceS":"soon")");
        GatewayReload(&instance);
        CPPUNIT_ASSERT_EQUAL(std::string("dc-a"), instance.Requests.DataCentre);
        unlink(instance.SettingsFile.c_str());
        GatewayReload(&instance);
        CPPUNIT_ASSERT_EQUAL(std::string("dc-a"), instance.Requests.DataCentre);
    }

    void ShowsMetrics()
    {
        Rig rig;
        RigTarget(&rig, "t1");
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        RigSendAndWait(&rig, instance, RigCall());
        std::string text;
        ClientRequest request;
        request.Address = instance.Config.MetricsAddress;
        request.Target = "/metrics";
        ClientSend(&rig.Callers, request, [&text](const ClientAnswer& answer) { text = answer.Body; });
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return !text.empty(); }));
        CPPUNIT_ASSERT(text.find("winchlink_request_seconds_count{service=\"svc\"} 1\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("winchlink_requests_ended{service=\"svc\",code=\"0\"} 1\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("winchlink_plan_version 1\n") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

} // namespace Winchlink
