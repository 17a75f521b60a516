// pipeline_test.cpp: HTTP pipelining over raw sockets. Guards against answers in the wrong order, unsafe requests that run concurrently,
// requests that run after the connection was closed, and request smuggling.

#include "gateway_rig.h"

#include <fmt/format.h>

namespace Winchlink
{

static constexpr TimeUs LongWorkUs = 150 * UsPerMs; // Long enough to observe concurrent requests.

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

// Returns the ids of the answered requests, in the order of the answers.
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
    CPPUNIT_TEST(RetryableRequestsRunConcurrentlyAndAreAnsweredInOrder);
    CPPUNIT_TEST(AnswersWaitForEarlierAnswers);
    CPPUNIT_TEST(AnUnsafeRequestRunsAloneAndInOrder);
    CPPUNIT_TEST(ConcurrentRequestsAreLimited);
    CPPUNIT_TEST(ADisconnectCancelsAllRequestsOfTheCaller);
    CPPUNIT_TEST(RequestsAfterConnectionCloseAreNotRun);
    CPPUNIT_TEST(AStopAnswersAllRequestsInFlight);
    CPPUNIT_TEST(RequestsMayBeSplitAnywhere);
    CPPUNIT_TEST(ARequestWithABodyRunsAlone);
    CPPUNIT_TEST(AmbiguousRequestsAreRefused);
    CPPUNIT_TEST(TrailersAreNotHeaders);
    CPPUNIT_TEST(EndlessTrailersAreRefused);
    CPPUNIT_TEST(AMalformedRequestIsAnsweredInOrder);
    CPPUNIT_TEST(ExpectContinueIsAnswered);
    CPPUNIT_TEST(RequestsBehindLargeAnswersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

    // Guards against requests that have been read and are never started, as the answers before them filled the output and the socket took
    // these at once: neither the socket nor the output tells of anything then.
    void RequestsBehindLargeAnswersAreAnswered()
    {
        constexpr size_t requests = 16;
        Setup setup;
        Prepare(&setup, 2, 5 * UsPerMs);
        for (UsersTarget* target : setup.Targets)
        {
            target->BodyLinesMax = 20000;
        }
        setup.Targets[0]->WorkUs = LongWorkUs; // Holds up the answers behind its own, which are then written together.
        const RawCaller caller(&setup.Fleet.Loop, setup.Instance->Config.CallerAddress);
        std::string all;
        for (size_t n = 0; n < requests; n++)
        {
            all += Get(fmt::format("n{}", n));
        }
        RawSend(caller, all);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(Answers(caller)), AwaitAnswers(&setup, caller, requests));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(caller.Read.size()), caller.Read.size() > 512 * KiB);
    }

    struct Setup
    {
        Rig Fleet;
        std::vector<UsersTarget*> Targets;
        Gateway* Instance = nullptr;
    };

    // Starts targets and an instance with the routes "/a/" (retryable) and "/u/" (not retryable).
    static void Prepare(Setup* setup, int targets, TimeUs work)
    {
        for (int n = 0; n < targets; n++)
        {
            UsersTarget& target = RigTarget(&setup->Fleet, fmt::format("t{}", n));
            target.WorkUs = work;
            target.Slots = 16;
            setup->Targets.push_back(&target);
        }
        UsersRoute unsafe;
        unsafe.Name = "unsafe";
        unsafe.Prefix = "/u/";
        unsafe.Safe = false;
        RigConfigure(&setup->Fleet, {UsersRoute(), unsafe});
        setup->Instance = &RigInstance(&setup->Fleet, static_cast<size_t>(targets));
    }

    static int Running(const Setup& setup)
    {
        int running = 0;
        for (const UsersTarget* target : setup.Targets)
        {
            running += target->Running;
        }
        return running;
    }

    static bool AwaitAnswers(Setup* setup, const RawCaller& caller, size_t answers)
    {
        return RigRunUntil(&setup->Fleet, [&]() { return Answers(caller) == answers; });
    }

    void RetryableRequestsRunConcurrentlyAndAreAnsweredInOrder()
    {
        Setup setup;
        Prepare(&setup, 2, LongWorkUs);
        const RawCaller caller(&setup.Fleet.Loop, setup.Instance->Config.CallerAddress);
        RawSend(caller, Get("p1") + Get("p2") + Get("p3") + Get("p4"));
        CPPUNIT_ASSERT(RigRunUntil(&setup.Fleet, [&]() { return Running(setup) == 4; }));
        CPPUNIT_ASSERT(AwaitAnswers(&setup, caller, 4));
        CPPUNIT_ASSERT(AnsweredIds(caller) == Ids({"p1", "p2", "p3", "p4"}));
        CPPUNIT_ASSERT_EQUAL(uint64_t{3}, setup.Instance->Callers.Overlapped);
    }

    void AnswersWaitForEarlierAnswers()
    {
        Setup setup;
        Prepare(&setup, 1, 5 * UsPerMs);
        setup.Targets[0]->Script = {TargetAct_Silence}; // The first request gets no answer and ends at its deadline.
        const RawCaller caller(&setup.Fleet.Loop, setup.Instance->Config.CallerAddress);
        RawSend(caller,
                "GET /a/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: stuck\r\nWinchlink-Deadline-Ms: 400\r\n\r\n" + Get("quick"));
        CPPUNIT_ASSERT(RigRunUntil(&setup.Fleet, [&]() { return RigRunCount(setup.Fleet, "quick") == 1; }));
        RigRunFor(&setup.Fleet, 50 * UsPerMs);
        CPPUNIT_ASSERT_EQUAL(size_t{0}, Answers(caller));
        CPPUNIT_ASSERT(AwaitAnswers(&setup, caller, 2));
        CPPUNIT_ASSERT(AnsweredIds(caller) == Ids({"stuck", "quick"}));
        CPPUNIT_ASSERT_EQUAL(size_t{0}, caller.Read.find("HTTP/1.1 504"));
    }

    void AnUnsafeRequestRunsAloneAndInOrder()
    {
        Setup setup;
        Prepare(&setup, 1, LongWorkUs);
        const RawCaller caller(&setup.Fleet.Loop, setup.Instance->Config.CallerAddress);
        RawSend(caller, Get("before") + Post("unsafe", "b") + Get("behind"));
        CPPUNIT_ASSERT(RigRunUntil(&setup.Fleet, [&]() { return Running(setup) == 1; }));
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(setup.Fleet, "unsafe"));
        CPPUNIT_ASSERT(AwaitAnswers(&setup, caller, 1));
        CPPUNIT_ASSERT(RigRunUntil(&setup.Fleet, [&]() { return RigRunCount(setup.Fleet, "unsafe") == 1; }));
        RigRunFor(&setup.Fleet, 20 * UsPerMs);
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(setup.Fleet, "behind"));
        CPPUNIT_ASSERT(AwaitAnswers(&setup, caller, 3));
        CPPUNIT_ASSERT(AnsweredIds(caller) == Ids({"before", "unsafe", "behind"}));
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, setup.Instance->Callers.Overlapped);
    }

    void ConcurrentRequestsAreLimited()
    {
        Setup setup;
        Prepare(&setup, 2, LongWorkUs);
        setup.Instance->Callers.Config.OverlapMax = 3;
        const RawCaller caller(&setup.Fleet.Loop, setup.Instance->Config.CallerAddress);
        std::string all;
        for (int n = 0; n < 9; n++)
        {
            all += Get(fmt::format("n{}", n));
        }
        RawSend(caller, all);
        int max = 0;
        const auto answered = [&]()
        {
            max = std::max(max, Running(setup));
            return Answers(caller) == 9;
        };
        CPPUNIT_ASSERT(RigRunUntil(&setup.Fleet, answered));
        CPPUNIT_ASSERT_EQUAL(3, max);
    }

    void ADisconnectCancelsAllRequestsOfTheCaller()
    {
        Setup setup;
        Prepare(&setup, 2, 10 * UsPerSecond);
        RawCaller caller(&setup.Fleet.Loop, setup.Instance->Config.CallerAddress);
        RawSend(caller, Get("g1") + Get("g2") + Get("g3") + Post("never", "b"));
        CPPUNIT_ASSERT(RigRunUntil(&setup.Fleet, [&]() { return Running(setup) == 3; }));
        RawClose(&caller);
        const auto cancelled = [&]()
        {
            int ended = 0;
            for (const UsersTarget* target : setup.Targets)
            {
                ended += static_cast<int>(
                    std::count_if(target->Saw.begin(), target->Saw.end(), [](const ReceivedRequest& saw) { return saw.Cancelled; }));
            }
            return ended == 3;
        };
        CPPUNIT_ASSERT(RigRunUntil(&setup.Fleet, cancelled));
        CPPUNIT_ASSERT_EQUAL(0, setup.Instance->Requests.InProgress);
        CPPUNIT_ASSERT(setup.Instance->Callers.Open.empty());
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(setup.Fleet, "never"));
    }

    void RequestsAfterConnectionCloseAreNotRun()
    {
        Setup setup;
        Prepare(&setup, 1, 5 * UsPerMs);
        const RawCaller caller(&setup.Fleet.Loop, setup.Instance->Config.CallerAddress);
        RawSend(caller, "GET /a/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: last\r\nConnection: close\r\n\r\n" + Get("b1") +
                            Post("b2", "b"));
        CPPUNIT_ASSERT(RigRunUntil(&setup.Fleet, [&]() { return caller.Ended; }));
        CPPUNIT_ASSERT_EQUAL(size_t{1}, Answers(caller));
        CPPUNIT_ASSERT_EQUAL(size_t{1}, CountOf(caller.Read, "Connection: close"));
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(setup.Fleet, "b1") + RigRunCount(setup.Fleet, "b2"));
    }

    // Guards against a stop that leaves a request that has arrived without an answer: whoever may not send it again would not know whether
    // it has run. Only the last answer has "Connection: close".
    void AStopAnswersAllRequestsInFlight()
    {
        Setup setup;
        Prepare(&setup, 1, LongWorkUs);
        const RawCaller caller(&setup.Fleet.Loop, setup.Instance->Config.CallerAddress);
        RawSend(caller, Get("s1") + Get("s2") + Get("s3") + Post("s4", "b"));
        CPPUNIT_ASSERT(RigRunUntil(&setup.Fleet, [&]() { return Running(setup) == 3; }));
        GatewayStop(setup.Instance);
        CPPUNIT_ASSERT(RigRunUntil(&setup.Fleet, [&]() { return caller.Ended; }));
        CPPUNIT_ASSERT(AnsweredIds(caller) == Ids({"s1", "s2", "s3", "s4"}));
        CPPUNIT_ASSERT_EQUAL(size_t{1}, CountOf(caller.Read, "Connection: close"));
        CPPUNIT_ASSERT(caller.Read.find("Connection: close") > caller.Read.find("Winchlink-Request-Id: s4"));
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(CountOf(caller.Read, "HTTP/1.1 200")), 3 + RigRunCount(setup.Fleet, "s4"));
    }

    void RequestsMayBeSplitAnywhere()
    {
        Setup setup;
        Prepare(&setup, 1, UsPerMs);
        const std::string all = Get("w1") + Post("w2", "\r\nGET /a/x HTTP/1.1\r\n") + Get("w3") +
                                "POST /u/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: w4\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        for (size_t split = 1; split < all.size(); split += 7)
        {
            const RawCaller caller(&setup.Fleet.Loop, setup.Instance->Config.CallerAddress);
            RawSend(caller, all.substr(0, split));
            RigRunFor(&setup.Fleet, UsPerMs);
            RawSend(caller, all.substr(split));
            CPPUNIT_ASSERT(AwaitAnswers(&setup, caller, 4));
            CPPUNIT_ASSERT(AnsweredIds(caller) == Ids({"w1", "w2", "w3", "w4"}));
            CPPUNIT_ASSERT_EQUAL(std::string("abcde"), setup.Targets[0]->Saw.back().Body);
        }
    }

    // At most one request body is buffered per connection.
    void ARequestWithABodyRunsAlone()
    {
        Setup setup;
        Prepare(&setup, 1, LongWorkUs);
        const RawCaller caller(&setup.Fleet.Loop, setup.Instance->Config.CallerAddress);
        RawSend(caller, Get("c1") + Post("c2", "body", "/a/x"));
        CPPUNIT_ASSERT(AwaitAnswers(&setup, caller, 1));
        CPPUNIT_ASSERT(AwaitAnswers(&setup, caller, 2));
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, setup.Instance->Callers.Overlapped);
    }

    // Bytes that parsers may split into requests in different ways (request smuggling) are refused, and no part of them is run.
    void AmbiguousRequestsAreRefused()
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
            head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            head + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST /u/x HTTP/1.0\r\nHost: a.example\r\nWinchlink-Request-Id: amb\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            head + "Transfer-Encoding: chunked\r\n\r\nz\r\n" + inner,
            head + "Host: b.example\r\nContent-Length: 0\r\n\r\n" + inner,
            "POST /u/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n" + inner,
            "POST /u/x HTTP/2.0\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n" + inner,
            "POST /u/x\r\n\r\n" + inner,
        };
        Setup setup;
        Prepare(&setup, 1, UsPerMs);
        for (const std::string& bytes : all)
        {
            const RawCaller caller(&setup.Fleet.Loop, setup.Instance->Config.CallerAddress);
            RawSend(caller, bytes);
            CPPUNIT_ASSERT_MESSAGE(bytes, RigRunUntil(&setup.Fleet, [&]() { return caller.Ended; }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, size_t{0}, caller.Read.find("HTTP/1.1 400"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, size_t{1}, Answers(caller));
        }
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(setup.Fleet, "amb") + RigRunCount(setup.Fleet, "smuggled"));
    }

    // Trailers behind a chunked body must not be taken as headers, however the bytes are split into reads.
    void TrailersAreNotHeaders()
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
            CPPUNIT_ASSERT_EQUAL(ReadState_Complete, reader.State);
            CPPUNIT_ASSERT_EQUAL(std::string("abc"), reader.Request.Body);
            CPPUNIT_ASSERT_EQUAL(size_t{2}, reader.Request.Headers.size());
            CPPUNIT_ASSERT_EQUAL(std::string("a.example"), reader.Request.Headers[0].Value);
            CPPUNIT_ASSERT(reader.Request.KeepsConnection);
        }
    }

    void EndlessTrailersAreRefused()
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

    void AMalformedRequestIsAnsweredInOrder()
    {
        Setup setup;
        Prepare(&setup, 1, LongWorkUs);
        const RawCaller caller(&setup.Fleet.Loop, setup.Instance->Config.CallerAddress);
        RawSend(caller, Get("m1") + Get("m2") + "\x16\x03 no request\r\n\r\n" + Get("m3"));
        CPPUNIT_ASSERT(RigRunUntil(&setup.Fleet, [&]() { return caller.Ended; }));
        CPPUNIT_ASSERT_EQUAL(size_t{3}, Answers(caller));
        CPPUNIT_ASSERT(AnsweredIds(caller) == Ids({"m1", "m2"}));
        CPPUNIT_ASSERT(caller.Read.find("HTTP/1.1 400") > caller.Read.find("m2"));
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(setup.Fleet, "m3"));
    }

    void ExpectContinueIsAnswered()
    {
        Setup setup;
        Prepare(&setup, 1, UsPerMs);
        const RawCaller caller(&setup.Fleet.Loop, setup.Instance->Config.CallerAddress);
        RawSend(caller,
                "POST /u/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: cont\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
        CPPUNIT_ASSERT(RigRunUntil(&setup.Fleet, [&]() { return caller.Read == "HTTP/1.1 100 Continue\r\n\r\n"; }));
        RawSend(caller, "ok");
        CPPUNIT_ASSERT(AwaitAnswers(&setup, caller, 2));
        CPPUNIT_ASSERT_EQUAL(1, RigRunCount(setup.Fleet, "cont"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PipelineTest);

} // namespace Winchlink
