// pipeline_test.cpp: requests that a caller sends before the first is answered, by raw sockets: which run side by side, in which order they
// are answered, what a hang-up and a closing answer do to those behind, and bytes that could be read in two ways.

#include "gateway_rig.h"

#include <fmt/format.h>

namespace Winchlink
{

static constexpr TimeUs LongWorkUs = 150 * UsPerMs; // Long enough that requests of one moment are seen side by side.

static std::string Get(const std::string& id, const std::string& path = "/a/x")
{
    return fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: {}\r\n\r\n", path, id);
}

static std::string Post(const std::string& id, const std::string& body, const std::string& path = "/u/x")
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: {}\r\nContent-Length: {}\r\n\r\n{}", path, id,
                       body.size(), body);
}

static size_t CountOf(const std::string& text, const std::string& part)
{
    size_t count = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
    {
        count++;
    }
    return count;
}

static size_t Answers(const RawCaller& caller)
{
    return CountOf(caller.Read, "HTTP/1.1 ");
}

// The requests whose answers came, in order.
static std::vector<std::string> AnsweredIds(const RawCaller& caller)
{
    const std::string name = "Winchlink-Request-Id: ";
    std::vector<std::string> ids;
    for (size_t at = caller.Read.find(name); at != std::string::npos; at = caller.Read.find(name, at + 1))
    {
        const size_t from = at + name.size();
        ids.push_back(caller.Read.substr(from, caller.Read.find("\r\n", from) - from));
    }
    return ids;
}

using Ids = std::vector<std::string>;

class PipelineTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(PipelineTest);
    CPPUNIT_TEST(RepeatableRequestsRunSideBySideAndAreAnsweredInOrder);
    CPPUNIT_TEST(AnswersWaitForThoseBefore);
    CPPUNIT_TEST(AnUnsafeRequestWaitsAndNothingOvertakesIt);
    CPPUNIT_TEST(NoMoreThanTheBoundAreBegun);
    CPPUNIT_TEST(ACallerThatLeavesEndsAllOfItsRequests);
    CPPUNIT_TEST(WhatStandsBehindAClosingAnswerIsNotRun);
    CPPUNIT_TEST(AStopAnswersAllThatWereBegun);
    CPPUNIT_TEST(BytesMayBeSplitAnywhere);
    CPPUNIT_TEST(ARequestWithABodyIsWorkedOnAlone);
    CPPUNIT_TEST(AmbiguousBytesAreRefusedAndRunNothing);
    CPPUNIT_TEST(TrailersAreNoHeaders);
    CPPUNIT_TEST(TrailersWithoutEndAreRefused);
    CPPUNIT_TEST(AMalformedRequestIsAnsweredBehindThoseBeforeIt);
    CPPUNIT_TEST(ABodyIsSentAfterTheCallerIsToldToContinue);
    CPPUNIT_TEST_SUITE_END();

    struct Setting
    {
        Rig Fleet;
        std::vector<UsersTarget*> Targets;
        Gateway* Instance = nullptr;
    };

    // Targets for "/a/" (repeatable) and "/u/" (not), and an instance.
    static void Prepare(Setting* setting, int targets, TimeUs work)
    {
        for (int n = 0; n < targets; n++)
        {
            UsersTarget& target = RigTarget(&setting->Fleet, fmt::format("t{}", n));
            target.WorkUs = work;
            target.Slots = 16;
            setting->Targets.push_back(&target);
        }
        UsersRoute unsafe;
        unsafe.Name = "unsafe";
        unsafe.Prefix = "/u/";
        unsafe.Safe = false;
        RigConfigure(&setting->Fleet, {UsersRoute(), unsafe});
        setting->Instance = &RigInstance(&setting->Fleet, static_cast<size_t>(targets));
    }

    static int Running(const Setting& setting)
    {
        int running = 0;
        for (const UsersTarget* target : setting.Targets)
        {
            running += target->Running;
        }
        return running;
    }

    static bool AwaitAnswers(Setting* setting, const RawCaller& caller, size_t answers)
    {
        return RigRun(&setting->Fleet, [&]() { return Answers(caller) == answers; });
    }

    void RepeatableRequestsRunSideBySideAndAreAnsweredInOrder()
    {
        Setting setting;
        Prepare(&setting, 2, LongWorkUs);
        const RawCaller caller(&setting.Fleet.Loop, setting.Instance->Config.CallerAddress);
        RawSend(caller, Get("p1") + Get("p2") + Get("p3") + Get("p4"));
        CPPUNIT_ASSERT(RigRun(&setting.Fleet, [&]() { return Running(setting) == 4; }));
        CPPUNIT_ASSERT(AwaitAnswers(&setting, caller, 4));
        CPPUNIT_ASSERT(AnsweredIds(caller) == Ids({"p1", "p2", "p3", "p4"}));
        CPPUNIT_ASSERT_EQUAL(uint64_t{3}, setting.Instance->Callers.Overlapped);
    }

    void AnswersWaitForThoseBefore()
    {
        Setting setting;
        Prepare(&setting, 1, 5 * UsPerMs);
        setting.Targets[0]->Script = {TargetAct_Silence}; // The first is never answered; it ends at its deadline.
        const RawCaller caller(&setting.Fleet.Loop, setting.Instance->Config.CallerAddress);
        RawSend(caller,
                "GET /a/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: stuck\r\nWinchlink-Deadline-Ms: 400\r\n\r\n" + Get("quick"));
        CPPUNIT_ASSERT(RigRun(&setting.Fleet, [&]() { return RigRuns(setting.Fleet, "quick") == 1; }));
        RigIdle(&setting.Fleet, 50 * UsPerMs);
        CPPUNIT_ASSERT_EQUAL(size_t{0}, Answers(caller));
        CPPUNIT_ASSERT(AwaitAnswers(&setting, caller, 2));
        CPPUNIT_ASSERT(AnsweredIds(caller) == Ids({"stuck", "quick"}));
        CPPUNIT_ASSERT_EQUAL(size_t{0}, caller.Read.find("HTTP/1.1 504"));
    }

    void AnUnsafeRequestWaitsAndNothingOvertakesIt()
    {
        Setting setting;
        Prepare(&setting, 1, LongWorkUs);
        const RawCaller caller(&setting.Fleet.Loop, setting.Instance->Config.CallerAddress);
        RawSend(caller, Get("before") + Post("unsafe", "b") + Get("behind"));
        CPPUNIT_ASSERT(RigRun(&setting.Fleet, [&]() { return Running(setting) == 1; }));
        CPPUNIT_ASSERT_EQUAL(0, RigRuns(setting.Fleet, "unsafe"));
        CPPUNIT_ASSERT(AwaitAnswers(&setting, caller, 1));
        CPPUNIT_ASSERT(RigRun(&setting.Fleet, [&]() { return RigRuns(setting.Fleet, "unsafe") == 1; }));
        RigIdle(&setting.Fleet, 20 * UsPerMs);
        CPPUNIT_ASSERT_EQUAL(0, RigRuns(setting.Fleet, "behind"));
        CPPUNIT_ASSERT(AwaitAnswers(&setting, caller, 3));
        CPPUNIT_ASSERT(AnsweredIds(caller) == Ids({"before", "unsafe", "behind"}));
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, setting.Instance->Callers.Overlapped);
    }

    void NoMoreThanTheBoundAreBegun()
    {
        Setting setting;
        Prepare(&setting, 2, LongWorkUs);
        setting.Instance->Callers.Config.OverlapMax = 3;
        const RawCaller caller(&setting.Fleet.Loop, setting.Instance->Config.CallerAddress);
        std::string all;
        for (int n = 0; n < 9; n++)
        {
            all += Get(fmt::format("n{}", n));
        }
        RawSend(caller, all);
        int most = 0;
        const auto answered = [&]()
        {
            most = std::max(most, Running(setting));
            return Answers(caller) == 9;
        };
        CPPUNIT_ASSERT(RigRun(&setting.Fleet, answered));
        CPPUNIT_ASSERT_EQUAL(3, most);
    }

    void ACallerThatLeavesEndsAllOfItsRequests()
    {
        Setting setting;
        Prepare(&setting, 2, 10 * UsPerSecond);
        RawCaller caller(&setting.Fleet.Loop, setting.Instance->Config.CallerAddress);
        RawSend(caller, Get("g1") + Get("g2") + Get("g3") + Post("never", "b"));
        CPPUNIT_ASSERT(RigRun(&setting.Fleet, [&]() { return Running(setting) == 3; }));
        RawClose(&caller);
        const auto cancelled = [&]()
        {
            int ended = 0;
            for (const UsersTarget* target : setting.Targets)
            {
                ended += static_cast<int>(
                    std::count_if(target->Saw.begin(), target->Saw.end(), [](const TargetSaw& saw) { return saw.Cancelled; }));
            }
            return ended == 3;
        };
        CPPUNIT_ASSERT(RigRun(&setting.Fleet, cancelled));
        CPPUNIT_ASSERT_EQUAL(0, setting.Instance->Requests.InProgress);
        CPPUNIT_ASSERT(setting.Instance->Callers.Open.empty());
        CPPUNIT_ASSERT_EQUAL(0, RigRuns(setting.Fleet, "never"));
    }

    void WhatStandsBehindAClosingAnswerIsNotRun()
    {
        Setting setting;
        Prepare(&setting, 1, 5 * UsPerMs);
        const RawCaller caller(&setting.Fleet.Loop, setting.Instance->Config.CallerAddress);
        RawSend(caller, "GET /a/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: last\r\nConnection: close\r\n\r\n" + Get("b1") +
                            Post("b2", "b"));
        CPPUNIT_ASSERT(RigRun(&setting.Fleet, [&]() { return caller.Ended; }));
        CPPUNIT_ASSERT_EQUAL(size_t{1}, Answers(caller));
        CPPUNIT_ASSERT_EQUAL(size_t{1}, CountOf(caller.Read, "Connection: close"));
        CPPUNIT_ASSERT_EQUAL(0, RigRuns(setting.Fleet, "b1") + RigRuns(setting.Fleet, "b2"));
    }

    // Only the last answer says that the connection closes; what was read behind it was not run.
    void AStopAnswersAllThatWereBegun()
    {
        Setting setting;
        Prepare(&setting, 1, LongWorkUs);
        const RawCaller caller(&setting.Fleet.Loop, setting.Instance->Config.CallerAddress);
        RawSend(caller, Get("s1") + Get("s2") + Get("s3") + Post("s4", "b"));
        CPPUNIT_ASSERT(RigRun(&setting.Fleet, [&]() { return Running(setting) == 3; }));
        GatewayStop(setting.Instance);
        CPPUNIT_ASSERT(RigRun(&setting.Fleet, [&]() { return caller.Ended; }));
        CPPUNIT_ASSERT(AnsweredIds(caller) == Ids({"s1", "s2", "s3"}));
        CPPUNIT_ASSERT_EQUAL(size_t{1}, CountOf(caller.Read, "Connection: close"));
        CPPUNIT_ASSERT(caller.Read.find("Connection: close") > caller.Read.find("Winchlink-Request-Id: s3"));
        CPPUNIT_ASSERT_EQUAL(0, RigRuns(setting.Fleet, "s4"));
    }

    void BytesMayBeSplitAnywhere()
    {
        Setting setting;
        Prepare(&setting, 1, UsPerMs);
        const std::string all = Get("w1") + Post("w2", "\r\nGET /a/x HTTP/1.1\r\n") + Get("w3") +
                                "POST /u/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: w4\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        for (size_t split = 1; split < all.size(); split += 7)
        {
            const RawCaller caller(&setting.Fleet.Loop, setting.Instance->Config.CallerAddress);
            RawSend(caller, all.substr(0, split));
            RigIdle(&setting.Fleet, UsPerMs);
            RawSend(caller, all.substr(split));
            CPPUNIT_ASSERT(AwaitAnswers(&setting, caller, 4));
            CPPUNIT_ASSERT(AnsweredIds(caller) == Ids({"w1", "w2", "w3", "w4"}));
            CPPUNIT_ASSERT_EQUAL(std::string("abcde"), setting.Targets[0]->Saw.back().Body);
        }
    }

    // At most one body is held for a connection.
    void ARequestWithABodyIsWorkedOnAlone()
    {
        Setting setting;
        Prepare(&setting, 1, LongWorkUs);
        const RawCaller caller(&setting.Fleet.Loop, setting.Instance->Config.CallerAddress);
        RawSend(caller, Get("c1") + Post("c2", "body", "/a/x"));
        CPPUNIT_ASSERT(AwaitAnswers(&setting, caller, 1));
        CPPUNIT_ASSERT(AwaitAnswers(&setting, caller, 2));
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, setting.Instance->Callers.Overlapped);
    }

    // Two readers could see other requests in these bytes: they are refused, and nothing of them runs.
    void AmbiguousBytesAreRefusedAndRunNothing()
    {
        const std::string head = "POST /u/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: amb\r\n";
        const std::string inner = Get("smuggled");
        const std::vector<std::string> all = {
            head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
            head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + inner,
            head + "Content-Length: 0\r\nContent-Length: 40\r\n\r\n" + inner,
            head + "Content-Length: +0\r\n\r\n" + inner,
            head + "Content-Length: 0x0\r\n\r\n" + inner,
            head + "Content-Length : 0\r\n\r\n" + inner,
            head + "Transfer-Encoding: xchunked\r\n\r\n" + inner,
            head + "Transfer-Encoding: chunked, identity\r\n\r\n" + inner,
            head + "Transfer-Encoding: chunked\r\n\r\nz\r\n" + inner,
            head + "Host: b.example\r\nContent-Length: 0\r\n\r\n" + inner,
            "POST /u/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n" + inner,
            "POST /u/x HTTP/2.0\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n" + inner,
            "POST /u/x\r\n\r\n" + inner,
        };
        Setting setting;
        Prepare(&setting, 1, UsPerMs);
        for (const std::string& bytes : all)
        {
            const RawCaller caller(&setting.Fleet.Loop, setting.Instance->Config.CallerAddress);
            RawSend(caller, bytes);
            CPPUNIT_ASSERT_MESSAGE(bytes, RigRun(&setting.Fleet, [&]() { return caller.Ended; }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, size_t{0}, caller.Read.find("HTTP/1.1 400"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, size_t{1}, Answers(caller));
        }
        CPPUNIT_ASSERT_EQUAL(0, RigRuns(setting.Fleet, "amb") + RigRuns(setting.Fleet, "smuggled"));
    }

    // What stands behind a chunked body, and came in the same read, counted as headers: a second host was refused when it came at once,
    // and a request got other headers when it came in pieces.
    void TrailersAreNoHeaders()
    {
        const std::string trailers = "Host: b.example\r\nWinchlink-Request-Id: other\r\nConnection: close\r\n\r\n";
        const std::string bytes = "POST /u/x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" + trailers;
        for (const size_t piece : {bytes.size(), size_t{1}, size_t{7}})
        {
            RequestReader reader;
            RequestReaderBegin(&reader, CallerLimits());
            std::string waiting;
            for (size_t at = 0; at < bytes.size(); at += piece)
            {
                waiting += bytes.substr(at, piece);
                RequestReaderFeed(&reader, &waiting);
            }
            CPPUNIT_ASSERT_EQUAL(ReadState_Whole, reader.State);
            CPPUNIT_ASSERT_EQUAL(std::string("abc"), reader.Request.Body);
            CPPUNIT_ASSERT_EQUAL(size_t{2}, reader.Request.Headers.size());
            CPPUNIT_ASSERT_EQUAL(std::string("a.example"), reader.Request.Headers[0].Value);
            CPPUNIT_ASSERT(reader.Request.KeepsConnection);
        }
    }

    void TrailersWithoutEndAreRefused()
    {
        RequestReader reader;
        RequestReaderBegin(&reader, CallerLimits());
        std::string waiting = "POST /u/x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
        for (int n = 0; n < 20000 && reader.State != ReadState_Refused; n++)
        {
            waiting += "X: y\r\n";
            RequestReaderFeed(&reader, &waiting);
        }
        CPPUNIT_ASSERT_EQUAL(ReadState_Refused, reader.State);
        CPPUNIT_ASSERT_EQUAL(Code_HeadersTooLarge, reader.Code);
    }

    void AMalformedRequestIsAnsweredBehindThoseBeforeIt()
    {
        Setting setting;
        Prepare(&setting, 1, LongWorkUs);
        const RawCaller caller(&setting.Fleet.Loop, setting.Instance->Config.CallerAddress);
        RawSend(caller, Get("m1") + Get("m2") + "\x16\x03 no request\r\n\r\n" + Get("m3"));
        CPPUNIT_ASSERT(RigRun(&setting.Fleet, [&]() { return caller.Ended; }));
        CPPUNIT_ASSERT_EQUAL(size_t{3}, Answers(caller));
        CPPUNIT_ASSERT(AnsweredIds(caller) == Ids({"m1", "m2"}));
        CPPUNIT_ASSERT(caller.Read.find("HTTP/1.1 400") > caller.Read.find("m2"));
        CPPUNIT_ASSERT_EQUAL(0, RigRuns(setting.Fleet, "m3"));
    }

    void ABodyIsSentAfterTheCallerIsToldToContinue()
    {
        Setting setting;
        Prepare(&setting, 1, UsPerMs);
        const RawCaller caller(&setting.Fleet.Loop, setting.Instance->Config.CallerAddress);
        RawSend(caller,
                "POST /u/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: cont\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
        CPPUNIT_ASSERT(RigRun(&setting.Fleet, [&]() { return caller.Read == "HTTP/1.1 100 Continue\r\n\r\n"; }));
        RawSend(caller, "ok");
        CPPUNIT_ASSERT(AwaitAnswers(&setting, caller, 2));
        CPPUNIT_ASSERT_EQUAL(1, RigRuns(setting.Fleet, "cont"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PipelineTest);

} // namespace Winchlink
