// upstream_test.cpp: one request to one target: what is told of it when the target behaves badly.

#include "clock.h"
#include "fleet.h"
#include "raw_target.h"
#include "upstream.h"

#include <sys/socket.h>
#include <unistd.h>

namespace Winchlink
{

static UpstreamRequest RequestTo(const RawTarget& target, const std::string* body)
{
    UpstreamRequest request;
    request.Method = body != nullptr ? "POST" : "GET";
    request.Path = "/x";
    request.Body = body;
    request.Address = target.Address;
    request.DeadlineUs = NowUs() + 10 * UsPerSecond;
    request.AnswerMax = MiB;
    request.StillGood = []()
    {
        return true;
    };
    return request;
}

static const std::string Body = "renew 17";

class UpstreamTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamTest);
    CPPUNIT_TEST(GoodAnswer);
    CPPUNIT_TEST(AReusedConnectionNeverReplays);
    CPPUNIT_TEST(BadAnswersAreUnknown);
    CPPUNIT_TEST(TargetThatShedsIsBelieved);
    CPPUNIT_TEST(NobodyThereIsNotSent);
    CPPUNIT_TEST(LastCheckStopsItUnsent);
    CPPUNIT_TEST(DeadlineEndsIt);
    CPPUNIT_TEST(HangUpCancels);
    CPPUNIT_TEST(SecondAnswerGoesNowhere);
    CPPUNIT_TEST(ReadsReports);
    CPPUNIT_TEST(IdleConnectionsAreClosed);
    CPPUNIT_TEST(LoadClientSendsOnce);
    CPPUNIT_TEST(HedgeWinsAgainstSilence);
    CPPUNIT_TEST(HedgeThatFailsDoesNotWin);
    CPPUNIT_TEST(HedgeMayBeDeclined);
    CPPUNIT_TEST(HangUpEndsBothAttempts);
    CPPUNIT_TEST_SUITE_END();

public:
    void GoodAnswer()
    {
        RawTarget target;
        UpstreamPool pool;
        for (int n = 0; n < 3; n++)
        {
            const UpstreamAnswer answer = UpstreamSend(&pool, RequestTo(target, &Body));
            CPPUNIT_ASSERT_EQUAL(int(Outcome_Answered), int(answer.Outcome));
            CPPUNIT_ASSERT_EQUAL(std::string("good"), answer.Body);
        }
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), pool.ConnectionsOpened.load());
        CPPUNIT_ASSERT_EQUAL(3, target.Requests.load());
    }

    // libcurl sends a request again when a reused connection closes without an answer, POST included.
    void AReusedConnectionNeverReplays()
    {
        RawTarget target;
        target.Answer = RawAnswer_GoodThenNothing;
        UpstreamPool pool;
        CPPUNIT_ASSERT_EQUAL(int(Outcome_Answered), int(UpstreamSend(&pool, RequestTo(target, &Body)).Outcome));
        const UpstreamAnswer second = UpstreamSend(&pool, RequestTo(target, &Body));
        CPPUNIT_ASSERT_EQUAL(int(Outcome_Unknown), int(second.Outcome));
        CPPUNIT_ASSERT_EQUAL(2, target.Requests.load());
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), pool.ReplaysStopped.load());
    }

    void BadAnswersAreUnknown()
    {
        RawTarget target;
        UpstreamPool pool;
        for (const RawAnswer_ bad : {RawAnswer_Nothing, RawAnswer_Garbage, RawAnswer_Half, RawAnswer_Huge, RawAnswer_HugeHeader})
        {
            target.Answer = bad;
            const UpstreamAnswer answer = UpstreamSend(&pool, RequestTo(target, nullptr));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(bad), int(Outcome_Unknown), int(answer.Outcome));
            CPPUNIT_ASSERT(answer.Body.empty() && answer.Headers.empty());
            CPPUNIT_ASSERT(answer.Code != Code_None);
        }
        target.Answer = RawAnswer_Half;
        CPPUNIT_ASSERT_EQUAL(int(Code_AnswerBroken), int(UpstreamSend(&pool, RequestTo(target, nullptr)).Code));
        target.Answer = RawAnswer_Huge;
        CPPUNIT_ASSERT_EQUAL(int(Code_AnswerTooLarge), int(UpstreamSend(&pool, RequestTo(target, nullptr)).Code));
    }

    void TargetThatShedsIsBelieved()
    {
        RawTarget target;
        target.Answer = RawAnswer_NotRun;
        UpstreamPool pool;
        const UpstreamAnswer answer = UpstreamSend(&pool, RequestTo(target, &Body));
        CPPUNIT_ASSERT_EQUAL(int(Outcome_NotRun), int(answer.Outcome));
        CPPUNIT_ASSERT_EQUAL(int(Code_TargetRefused), int(answer.Code));
    }

    void NobodyThereIsNotSent()
    {
        std::string address;
        {
            const RawTarget target;
            address = target.Address;
        }
        UpstreamPool pool;
        const RawTarget other;
        UpstreamRequest request = RequestTo(other, &Body);
        request.Address = address;
        const UpstreamAnswer answer = UpstreamSend(&pool, request);
        CPPUNIT_ASSERT_EQUAL(int(Outcome_NotSent), int(answer.Outcome));
        CPPUNIT_ASSERT_EQUAL(int(Code_ConnectFailed), int(answer.Code));
    }

    void LastCheckStopsItUnsent()
    {
        RawTarget target;
        UpstreamPool pool;
        for (int n = 0; n < 2; n++) // On a new connection, then on a reused one.
        {
            UpstreamRequest request = RequestTo(target, &Body);
            request.StillGood = []()
            {
                return false;
            };
            CPPUNIT_ASSERT_EQUAL(int(Outcome_NotSent), int(UpstreamSend(&pool, request).Outcome));
            CPPUNIT_ASSERT_EQUAL(n, target.Requests.load());
            UpstreamSend(&pool, RequestTo(target, &Body));
        }
    }

    void DeadlineEndsIt()
    {
        RawTarget target;
        target.Answer = RawAnswer_Silence;
        UpstreamPool pool;
        UpstreamRequest request = RequestTo(target, &Body);
        request.DeadlineUs = NowUs() + 50 * UsPerMs;
        const UpstreamAnswer answer = UpstreamSend(&pool, request);
        CPPUNIT_ASSERT_EQUAL(int(Outcome_Unknown), int(answer.Outcome));
        CPPUNIT_ASSERT_EQUAL(int(Code_DeadlinePassed), int(answer.Code));
    }

    void HangUpCancels()
    {
        RawTarget target;
        target.Answer = RawAnswer_Silence;
        UpstreamPool pool;
        int pair[2] = {-1, -1};
        CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM, 0, pair));
        UpstreamRequest request = RequestTo(target, &Body);
        request.CallerFd = pair[0];
        std::thread caller(
            [&]()
            {
                while (target.Requests == 0)
                {
                    std::this_thread::sleep_for(std::chrono::milliseconds(1));
                }
                close(pair[1]);
            });
        const UpstreamAnswer answer = UpstreamSend(&pool, request);
        caller.join();
        close(pair[0]);
        CPPUNIT_ASSERT_EQUAL(int(Outcome_Cancelled), int(answer.Outcome));
        for (int n = 0; n < 500 && target.Closed == 0; n++)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        CPPUNIT_ASSERT_EQUAL(1, target.Closed.load()); // The target learns of it.
    }

    // A target that answers twice: the second answer must not become the answer to the next request.
    void SecondAnswerGoesNowhere()
    {
        RawTarget target;
        target.Answer = RawAnswer_Two;
        UpstreamPool pool;
        for (int n = 0; n < 3; n++)
        {
            const UpstreamAnswer answer = UpstreamSend(&pool, RequestTo(target, nullptr));
            const bool own = answer.Outcome == Outcome_Answered && answer.Body == "first";
            CPPUNIT_ASSERT(own || answer.Outcome == Outcome_Unknown);
        }
    }

    void ReadsReports()
    {
        TargetRun run;
        CPPUNIT_ASSERT(!ReadReport({{"Content-Type", "x"}}, "127.0.0.1:1", &run));
        CPPUNIT_ASSERT(ReadReport({{"x-winchlink-start", "17"}, {"X-Winchlink-State", "draining"}, {"X-Winchlink-Busy", "99999999"}},
                                  "127.0.0.1:1", &run));
        CPPUNIT_ASSERT_EQUAL(uint64_t(17), run.StartId);
        CPPUNIT_ASSERT(run.Leaving);
        CPPUNIT_ASSERT_EQUAL(uint16_t(65535), run.Busy);
    }

    void IdleConnectionsAreClosed()
    {
        RawTarget target;
        UpstreamPool pool;
        UpstreamSend(&pool, RequestTo(target, nullptr));
        CPPUNIT_ASSERT_EQUAL(size_t(1), pool.Idle.size());
        UpstreamPrune(&pool, NowUs());
        CPPUNIT_ASSERT_EQUAL(size_t(1), pool.Idle.size());
        UpstreamPrune(&pool, NowUs() + 60 * UsPerSecond);
        CPPUNIT_ASSERT_EQUAL(size_t(0), pool.Idle.size());
    }

    // The load tool counts deliveries, so it must not make any by itself. An instance that dies with the call in progress closes the kept
    // connection and its listener: that is a call that may have been run, not one that found nobody.
    void LoadClientSendsOnce()
    {
        HttpClient client;
        HttpCall call;
        call.Method = "POST";
        call.Body = Body;
        for (const bool dies : {false, true})
        {
            RawTarget target;
            target.Answer = dies ? RawAnswer_GoodThenEnd : RawAnswer_GoodThenNothing;
            call.Address = target.Address;
            CPPUNIT_ASSERT_EQUAL(200, HttpSend(&client, call).Status);
            const HttpAnswer second = HttpSend(&client, call);
            CPPUNIT_ASSERT_EQUAL(0, second.Status);
            CPPUNIT_ASSERT(second.Sent);
            CPPUNIT_ASSERT_EQUAL(2, target.Requests.load());
        }
        call.Address = "127.0.0.1:" + std::to_string(FreePort("127.0.0.1"));
        CPPUNIT_ASSERT(!HttpSend(&client, call).Sent);
    }

    static UpstreamHedge HedgeTo(const RawTarget& target)
    {
        UpstreamHedge hedge;
        hedge.AfterUs = 20 * UsPerMs;
        hedge.MakeSecond = [&target]()
        {
            return std::optional<UpstreamRequest>(RequestTo(target, nullptr));
        };
        return hedge;
    }

    void HedgeWinsAgainstSilence()
    {
        RawTarget silent;
        silent.Answer = RawAnswer_Silence;
        RawTarget good;
        UpstreamPool pool;
        const UpstreamPair pair = UpstreamSendHedged(&pool, RequestTo(silent, nullptr), HedgeTo(good));
        CPPUNIT_ASSERT(pair.SecondWon);
        CPPUNIT_ASSERT_EQUAL(std::string("good"), pair.Second->Body);
        CPPUNIT_ASSERT_EQUAL(int(Outcome_Outrun), int(pair.First.Outcome));
        CPPUNIT_ASSERT(WaitFor(5 * UsPerSecond, [&]() { return silent.Closed == 1; })); // The target is told.
        CPPUNIT_ASSERT_EQUAL(size_t(1), pool.Idle.size());                              // And that connection is not used again.
    }

    // The first attempt's answer stands, however late, where the second one fails.
    void HedgeThatFailsDoesNotWin()
    {
        RawTarget silent;
        silent.Answer = RawAnswer_Silence;
        RawTarget bad;
        bad.Answer = RawAnswer_Nothing;
        UpstreamPool pool;
        UpstreamRequest first = RequestTo(silent, nullptr);
        first.DeadlineUs = NowUs() + 200 * UsPerMs;
        const UpstreamPair pair = UpstreamSendHedged(&pool, first, HedgeTo(bad));
        CPPUNIT_ASSERT(!pair.SecondWon);
        CPPUNIT_ASSERT_EQUAL(int(Outcome_Unknown), int(pair.Second->Outcome));
        CPPUNIT_ASSERT_EQUAL(int(Code_DeadlinePassed), int(pair.First.Code));
    }

    void HedgeMayBeDeclined()
    {
        RawTarget silent;
        silent.Answer = RawAnswer_Silence;
        UpstreamPool pool;
        UpstreamRequest first = RequestTo(silent, nullptr);
        first.DeadlineUs = NowUs() + 200 * UsPerMs;
        int asked = 0;
        UpstreamHedge hedge;
        hedge.AfterUs = 20 * UsPerMs;
        hedge.MakeSecond = [&]()
        {
            asked++;
            return std::optional<UpstreamRequest>();
        };
        const UpstreamPair pair = UpstreamSendHedged(&pool, first, hedge);
        CPPUNIT_ASSERT(!pair.Second.has_value());
        CPPUNIT_ASSERT_EQUAL(1, asked);
    }

    void HangUpEndsBothAttempts()
    {
        RawTarget one;
        RawTarget other;
        one.Answer = RawAnswer_Silence;
        other.Answer = RawAnswer_Silence;
        int ends[2] = {-1, -1};
        CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM, 0, ends));
        UpstreamPool pool;
        UpstreamRequest first = RequestTo(one, nullptr);
        first.CallerFd = ends[0];
        std::thread caller(
            [&]()
            {
                WaitFor(5 * UsPerSecond, [&]() { return one.Requests + other.Requests == 2; });
                close(ends[1]);
            });
        const UpstreamPair pair = UpstreamSendHedged(&pool, first, HedgeTo(other));
        caller.join();
        close(ends[0]);
        CPPUNIT_ASSERT_EQUAL(int(Outcome_Cancelled), int(pair.First.Outcome));
        CPPUNIT_ASSERT_EQUAL(int(Outcome_Cancelled), int(pair.Second->Outcome));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamTest);

} // namespace Winchlink
