// peers_test.cpp: which instance is asked to take a request. Guards against an instance that runs again and is passed over, and against
// requests that are lost on one that hangs.

#include "check.h"

namespace Winchlink
{

static const std::string PeerAddress = "10.0.0.2:7000";
static const std::string Service = "svc";

class PeersTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(PeersTest);
    CPPUNIT_TEST(AnInstanceThatStartsAgainIsAskedSoon);
    CPPUNIT_TEST(AnInstanceThatStaysAwayIsAskedRarely);
    CPPUNIT_TEST(AnInstanceThatHangsIsAskedRarely);
    CPPUNIT_TEST(AnInstanceThatWasHeardSinceItFailedIsAsked);
    CPPUNIT_TEST_SUITE_END();

    Peers Others;
    Random Rng;
    TimeUs Now = 100 * UsPerSecond;

public:
    void setUp() override
    {
        Others = Peers();
        Others.Own = "10.0.0.1:7000";
        PeersHeard(&Others, {PeerAddress, 0, 0, true}, Now);
    }

private:
    bool IsAsked()
    {
        return !PeersPick(Others, Service, {}, Now, &Rng).empty();
    }

    void Offer(PeerEnd_ end)
    {
        PeersSent(&Others, PeerAddress);
        PeersEnded(&Others, PeerAddress, Service, end, Now);
    }

    // Offers a request every 10 ms, all of which fail, and returns how many there were.
    int FailFor(TimeUs time, PeerEnd_ end)
    {
        constexpr TimeUs step = 10 * UsPerMs;
        int offers = 0;
        for (const TimeUs until = Now + time; Now < until; Now += step)
        {
            if (IsAsked())
            {
                Offer(end);
                offers++;
            }
        }
        return offers;
    }

    // Guards against callers that are refused for seconds although the only instance with a path runs again.
    void AnInstanceThatStartsAgainIsAskedSoon()
    {
        for (const TimeUs away : {100 * UsPerMs, 500 * UsPerMs, UsPerSecond, 5 * UsPerSecond})
        {
            setUp();
            FailFor(away, PeerEnd_NotConnected);
            Now += std::min(away, Others.Config.FailedUs) + Others.Config.NotConnectedUs;
            CPPUNIT_ASSERT(IsAsked());
        }
    }

    void AnInstanceThatStaysAwayIsAskedRarely()
    {
        const int first = FailFor(Others.Config.FailedUs, PeerEnd_NotConnected);
        CPPUNIT_ASSERT(first <= 6);
        CPPUNIT_ASSERT(FailFor(10 * Others.Config.FailedUs, PeerEnd_NotConnected) <= 11);
        Offer(PeerEnd_Answered);
        const TimeUs since = Now;
        Offer(PeerEnd_NotConnected);
        CPPUNIT_ASSERT_EQUAL(since + Others.Config.NotConnectedUs, Others.Known.at(PeerAddress).UnusableUntilUs);
        Offer(PeerEnd_NotConnected); // It was sent together with the one before.
        CPPUNIT_ASSERT_EQUAL(since + Others.Config.NotConnectedUs, Others.Known.at(PeerAddress).UnusableUntilUs);
    }

    // What is sent to it and must not run twice is lost.
    void AnInstanceThatHangsIsAskedRarely()
    {
        CPPUNIT_ASSERT_EQUAL(1, FailFor(Others.Config.FailedUs, PeerEnd_Failed));
    }

    void AnInstanceThatWasHeardSinceItFailedIsAsked()
    {
        Offer(PeerEnd_Failed);
        CPPUNIT_ASSERT(!IsAsked());
        Now += UsPerSecond;
        PeersHeard(&Others, {PeerAddress, 0, UsPerSecond, true}, Now); // From before the failure, perhaps.
        CPPUNIT_ASSERT(!IsAsked());
        PeersHeard(&Others, {PeerAddress, 0, UsPerSecond / 2, true}, Now);
        CPPUNIT_ASSERT(IsAsked());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeersTest);

} // namespace Winchlink
