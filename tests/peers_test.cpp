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
    CPPUNIT_TEST(ADrawIsRandomAndStaysInTheDataCentre);
    CPPUNIT_TEST(ADrawPrefersPeersHeardRecently);
    CPPUNIT_TEST(ADrawLeavesOutPeersThatFailed);
    CPPUNIT_TEST(OtherDataCentresAreListedOnce);
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

    // Knows ten peers in each of three data centres, the first of which is the own one.
    void MeetPeers()
    {
        Others.Known.clear();
        Others.DataCentre = 1;
        for (int n = 0; n < 30; n++)
        {
            const auto data_centre = static_cast<uint16_t>(1 + n / 10);
            PeersHeard(&Others, {"10.0.1." + std::to_string(n + 1) + ":7000", data_centre, 0, true}, Now);
        }
    }

    std::vector<std::string> Draw(uint16_t data_centre, size_t count)
    {
        return PeersDraw(Others, data_centre, count, Now, &Rng);
    }

    void ADrawIsRandomAndStaysInTheDataCentre()
    {
        MeetPeers();
        std::map<std::string, int> drawn;
        for (int n = 0; n < 1000; n++)
        {
            const std::vector<std::string> peers = Draw(2, 3);
            CPPUNIT_ASSERT_EQUAL(size_t(3), std::set<std::string>(peers.begin(), peers.end()).size());
            for (const std::string& address : peers)
            {
                drawn[address]++;
                CPPUNIT_ASSERT_EQUAL(uint16_t(2), Others.Known.at(address).DataCentre);
            }
        }
        CPPUNIT_ASSERT_EQUAL(size_t(10), drawn.size());
        for (const auto& entry : drawn)
        {
            CPPUNIT_ASSERT(entry.second > 200 && entry.second < 400); // 300 each on average.
        }
        CPPUNIT_ASSERT_EQUAL(size_t(10), Draw(3, 64).size());
        CPPUNIT_ASSERT(Draw(4, 3).empty());
        CPPUNIT_ASSERT(Draw(2, 0).empty());
    }

    void ADrawPrefersPeersHeardRecently()
    {
        MeetPeers();
        Now += Others.Config.RecentUs;
        PeersHeard(&Others, {"10.0.1.1:7000", 1, 0, true}, Now);
        PeersHeard(&Others, {"10.0.1.2:7000", 1, 0, true}, Now);
        const std::vector<std::string> drawn = Draw(1, 3);
        CPPUNIT_ASSERT_EQUAL(size_t(3), drawn.size());
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.1.1:7000"), std::min(drawn[0], drawn[1]));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.1.2:7000"), std::max(drawn[0], drawn[1]));
        Now += Others.Config.ExpiryUs;
        CPPUNIT_ASSERT(Draw(1, 3).empty());
    }

    // Guards against asks that are lost on peers that no longer run.
    void ADrawLeavesOutPeersThatFailed()
    {
        MeetPeers();
        for (int n = 0; n < 10; n++)
        {
            const std::string address = "10.0.1." + std::to_string(n + 1) + ":7000";
            PeersSent(&Others, address);
            PeersEnded(&Others, address, Service, n < 8 ? PeerEnd_NotConnected : PeerEnd_Answered, Now);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(2), Draw(1, 5).size());
        Now += Others.Config.FailedUs; // Those that failed may be tried again, after the others.
        const std::vector<std::string> drawn = Draw(1, 2);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.1.10:7000"), std::min(drawn[0], drawn[1]));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.1.9:7000"), std::max(drawn[0], drawn[1]));
    }

    void OtherDataCentresAreListedOnce()
    {
        CPPUNIT_ASSERT(PeersDataCentres(Others).empty());
        MeetPeers();
        CPPUNIT_ASSERT(PeersDataCentres(Others) == std::vector<uint16_t>({2, 3}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeersTest);

} // namespace Winchlink
