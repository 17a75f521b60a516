// datagram_link_test.cpp: the datagrams between instances: their bytes, their bounds, and which of them are dropped.
//
// Guards against instances of two versions that misread each other, against messages that are late, repeated, forged or corrupted and
// still used, and against more traffic than the bounds allow.

#include "check.h"
#include "clock.h"
#include "datagram_link.h"
#include "process.h"
#include "quota_link.h"
#include "socket.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Winchlink
{

static constexpr TimeUs Start = 1000 * UsPerSecond;
static constexpr TimeUs Patience = 20 * UsPerSecond; // Longest wait; a test that reaches it hangs.
static constexpr int TestPort = 7000;
static constexpr Endpoint Other = {0x0a000002, TestPort};

static std::string FromHex(const std::string& hex)
{
    std::string bytes;
    for (size_t n = 0; n + 1 < hex.size(); n += 2)
    {
        bytes += static_cast<char>(std::stoi(hex.substr(n, 2), nullptr, 16));
    }
    return bytes;
}

// A link without a socket that records what its load channel gets.
struct Receiver
{
    DatagramLink Link;
    std::vector<Datagram> Heard;

    Receiver()
    {
        Link.Port = TestPort;
        Link.OwnIp = 0x0a000001;
        Link.Channels[DatagramChannel_Load].OnReceived = [this](const Datagram& datagram)
        {
            Heard.push_back(datagram);
            return datagram.Body != "nonsense";
        };
    }

    DatagramChannel& Load()
    {
        return Link.Channels[DatagramChannel_Load];
    }
};

// A datagram of the load channel as another instance sends it at `sent` by its own clock.
static std::string Packed(DatagramLink* sender, const std::string& body, TimeUs sent)
{
    const std::optional<std::string> bytes = DatagramPack(sender, DatagramChannel_Load, DatagramKind_Load, body, sent);
    CPPUNIT_ASSERT(bytes.has_value());
    return *bytes;
}

// A link on an address of its own on this machine.
struct SocketLink
{
    DatagramLink Link;
    std::vector<Datagram> Heard;

    SocketLink(EventLoop* loop, const std::string& ip, int port)
    {
        Link.Loop = loop;
        Link.Own = ip + ":1";
        Link.Port = port;
        const auto record = [this](const Datagram& datagram)
        {
            Heard.push_back(datagram);
            return true;
        };
        for (DatagramChannel& channel : Link.Channels)
        {
            channel.OnReceived = record;
            channel.DelayMaxUs = Patience; // However slow this machine is.
        }
        CPPUNIT_ASSERT(DatagramLinkStart(&Link));
        CPPUNIT_ASSERT(DatagramLinkIsOpen(Link));
    }
};

// The kernel notes when datagrams come only a moment after the first socket has asked for it: sends until it does.
static void AwaitArrivalTimes(EventLoop* loop, SocketLink* from, SocketLink* to)
{
    while (to->Heard.empty() || to->Heard.back().DelayUs == 0)
    {
        const size_t heard = to->Heard.size();
        to->Link.Senders.clear(); // Without its clock only the time in the socket is known.
        CPPUNIT_ASSERT(heard < 1000);
        CPPUNIT_ASSERT(DatagramSend(&from->Link, DatagramChannel_Load, DatagramKind_Load, to->Link.Own, "x"));
        usleep(static_cast<useconds_t>(2 * UsPerMs));
        CPPUNIT_ASSERT(LoopRunUntil(loop, Patience, [&]() { return to->Heard.size() > heard; }));
    }
}

// Sends bytes from a socket whose port isn't the datagram port.
static void SendFromElsewhere(const std::string& address, const std::string& bytes)
{
    const sockaddr_in to = ToSocketAddress(ParseEndpoint(address).value());
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(bytes.size()),
                         sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to));
    close(fd);
}

class DatagramLinkTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(DatagramLinkTest);
    CPPUNIT_TEST(QuotasKeepTheBytesOfEarlierVersions);
    CPPUNIT_TEST(AnEarlierVersionDropsNewKinds);
    CPPUNIT_TEST(UnknownKindsAreCountedApart);
    CPPUNIT_TEST(CorruptedDatagramsAreDropped);
    CPPUNIT_TEST(TheSizeIsBounded);
    CPPUNIT_TEST(TheRateIsBounded);
    CPPUNIT_TEST(TheRateOfReadingIsBounded);
    CPPUNIT_TEST(DelaysAreSeenWhateverTheClocks);
    CPPUNIT_TEST(LateDatagramsAreDropped);
    CPPUNIT_TEST(RepeatedDatagramsAreDropped);
    CPPUNIT_TEST(AMachineWithANewClockIsHeardAgain);
    CPPUNIT_TEST(OneLateDatagramHidesNoOthers);
    CPPUNIT_TEST(ForeignDatagramsAreDropped);
    CPPUNIT_TEST(AChannelThatIsOffTakesNothing);
    CPPUNIT_TEST(SendersAreBounded);
    CPPUNIT_TEST(LinksExchangeDatagrams);
    CPPUNIT_TEST(WhatWaitedDuringAPauseIsLate);
    CPPUNIT_TEST(WithoutAPortNothingIsSent);
    CPPUNIT_TEST_SUITE_END();

    // Datagrams recorded from a version in which the quotas had the socket to themselves.
    void QuotasKeepTheBytesOfEarlierVersions()
    {
        const std::string report = FromHex(
            "01f72da6f501010000f041404b4c00000000000000e0410000dc41010000000000000007000000000000000000803f0000004000004040000080400100"
            "000000000000090000000000000000002040013075000000000000");
        QuotaMessage message;
        message.Kind = QuotaMessage_Report;
        message.Subject = QuotaSubject_Targets;
        message.Report.Members = 28;
        message.Report.Covered = 27.5;
        message.Report.FleetSize = {30, 5 * UsPerSecond};
        message.Report.Entries = {{7, {1, 2, 3, 4}}};
        message.Report.Limits = {{9, 2.5, true, 30 * UsPerMs}};
        CPPUNIT_ASSERT(report == EncodeQuota(message));
        const std::string answer =
            FromHex("0339347c4c00010000000000000000000000000000003f010000000000000007000000000000000000803e0000000000000000");
        QuotaMessage decision;
        decision.Kind = QuotaMessage_Answer;
        decision.Answer.Covered = 0.5;
        decision.Answer.Shares = {{7, 0.25}};
        CPPUNIT_ASSERT(answer == EncodeQuota(decision));

        DatagramLink link; // What the link sends is what is encoded.
        const std::optional<std::string> sent = DatagramPack(&link, DatagramChannel_Quotas, QuotaMessage_Answer, answer.substr(5), Start);
        CPPUNIT_ASSERT(sent == answer);
        QuotaLink quotas;
        quotas.Datagrams = &link;
        std::array<Quota, QuotaSubject_COUNT> states;
        for (const QuotaSubject_ subject : {QuotaSubject_Customers, QuotaSubject_Targets})
        {
            quotas.Channels[subject].State = &states[subject];
            quotas.Channels[subject].IsNeeded = []()
            {
                return false;
            };
            quotas.Channels[subject].Decide = [](TimeUs)
            {
                return false;
            };
        }
        QuotaLinkStart(&quotas);
        const Endpoint any_port = {0x0a000002, 9};
        CPPUNIT_ASSERT_EQUAL(int(DatagramDrop_None), int(DatagramTake(&link, any_port, report, 0, Start)));
        CPPUNIT_ASSERT_EQUAL(size_t{1}, states[QuotaSubject_Targets].Followers.size());
        CPPUNIT_ASSERT_EQUAL(size_t{1}, states[QuotaSubject_Targets].Limits.size());
    }

    // An earlier version reads every datagram with DecodeQuota().
    void AnEarlierVersionDropsNewKinds()
    {
        CHECK_PROPERTY("no datagram of a new channel is one of the quotas",
                       [](const std::string& body)
                       {
                           DatagramLink sender;
                           RC_PRE(body.size() < 1000);
                           RC_ASSERT(!DecodeQuota(Packed(&sender, body, Start)));
                       });
    }

    void UnknownKindsAreCountedApart()
    {
        Receiver here;
        for (int kind = 0; kind < 256; kind++)
        {
            const bool known = kind >= QuotaMessage_Report && kind <= DatagramKind_Load;
            DatagramTake(&here.Link, Other, DatagramFrame(static_cast<uint8_t>(kind), "later"), 0, Start);
            CPPUNIT_ASSERT_EQUAL(uint64_t(known ? 0 : 1), here.Link.Unknown);
            here.Link.Unknown = 0;
        }
        CPPUNIT_ASSERT(here.Heard.empty());
        DatagramTake(&here.Link, Other, "", 0, Start);
        CPPUNIT_ASSERT_EQUAL(uint64_t{1}, here.Link.Truncated);
    }

    void CorruptedDatagramsAreDropped()
    {
        Receiver here;
        here.Load().ReceiveRate = {};
        int quotas = 0;
        here.Link.Channels[DatagramChannel_Quotas].OnReceived = [&quotas](const Datagram&)
        {
            quotas++;
            return true;
        };
        DatagramLink sender;
        const std::string good = Packed(&sender, "some load", Start);
        for (size_t n = 0; n < good.size(); n++)
        {
            for (int bit = 0; bit < 8; bit++)
            {
                std::string bad = good;
                bad[n] = static_cast<char>(bad[n] ^ (1 << bit));
                CPPUNIT_ASSERT(DatagramTake(&here.Link, Other, bad, 0, Start) != DatagramDrop_None);
            }
            CPPUNIT_ASSERT(DatagramTake(&here.Link, Other, good.substr(0, n), 0, Start) != DatagramDrop_None);
        }
        for (int kind = 0; kind < 256; kind++)
        {
            std::string bad = good;
            bad[0] = static_cast<char>(kind);
            CPPUNIT_ASSERT(kind == DatagramKind_Load || DatagramTake(&here.Link, Other, bad, 0, Start) != DatagramDrop_None);
        }
        CPPUNIT_ASSERT(here.Heard.empty());
        CPPUNIT_ASSERT_EQUAL(0, quotas);
        CPPUNIT_ASSERT(here.Load().Dropped[DatagramDrop_Malformed] >= 8 * (good.size() - 1));
        CPPUNIT_ASSERT_EQUAL(int(DatagramDrop_None), int(DatagramTake(&here.Link, Other, good, 0, Start)));
        CPPUNIT_ASSERT_EQUAL(std::string("some load"), here.Heard.at(0).Body);
        const std::string nonsense = Packed(&sender, "nonsense", Start + 1);
        CPPUNIT_ASSERT_EQUAL(int(DatagramDrop_Malformed), int(DatagramTake(&here.Link, Other, nonsense, 0, Start + 1)));
    }

    void TheSizeIsBounded()
    {
        constexpr size_t packet = 1200;
        DatagramLink sender;
        DatagramChannel& load = sender.Channels[DatagramChannel_Load];
        const std::string most(packet - 9, 'x');
        CPPUNIT_ASSERT_EQUAL(packet, Packed(&sender, most, Start).size());
        CPPUNIT_ASSERT(!DatagramPack(&sender, DatagramChannel_Load, DatagramKind_Load, most + "x", Start));
        CPPUNIT_ASSERT_EQUAL(uint64_t{1}, load.Dropped[DatagramDrop_SendTooLarge]);
        load.BytesMax = 2 * packet;
        Receiver here;
        CPPUNIT_ASSERT_EQUAL(int(DatagramDrop_TooLarge),
                             int(DatagramTake(&here.Link, Other, Packed(&sender, most + "x", Start + 1), 0, Start)));
    }

    // However much there is to say, an instance says at most this much: for each second, and once as much as in a burst.
    void TheRateIsBounded()
    {
        CHECK_COSTLY_PROPERTY(30, "sent bytes are within the bound in every interval",
                              [](uint64_t seed)
                              {
                                  TestRandom random(seed);
                                  DatagramLink sender;
                                  const DatagramRate bound = sender.Channels[DatagramChannel_Load].SendRate;
                                  RC_ASSERT(bound.BytesPerS > 0);
                                  RC_ASSERT(bound.BytesPerS <= 10e3);
                                  std::vector<std::pair<TimeUs, size_t>> sent;
                                  TimeUs now = Start;
                                  for (int n = 0; n < 3000; n++)
                                  {
                                      now += random.OneIn(200) ? random.Between(0, 3 * UsPerSecond) : random.Between(0, 4 * UsPerMs);
                                      const std::string body(static_cast<size_t>(random.Between(0, 1100)), 'x');
                                      const auto bytes = DatagramPack(&sender, DatagramChannel_Load, DatagramKind_Load, body, now);
                                      if (bytes)
                                      {
                                          sent.emplace_back(now, bytes->size());
                                      }
                                  }
                                  for (size_t from = 0; from < sent.size(); from += 7)
                                  {
                                      double sum = 0;
                                      for (size_t n = from; n < sent.size(); n++)
                                      {
                                          sum += static_cast<double>(sent[n].second);
                                          const double seconds =
                                              static_cast<double>(sent[n].first - sent[from].first) / static_cast<double>(UsPerSecond);
                                          RC_ASSERT(sum <= bound.Burst + seconds * bound.BytesPerS + 1);
                                      }
                                  }
                                  RC_ASSERT(sender.Channels[DatagramChannel_Load].Dropped[DatagramDrop_SendOverRate] > 0);
                                  const std::string last(1000, 'x'); // Not silenced for ever.
                                  RC_ASSERT(bool(DatagramPack(&sender, DatagramChannel_Load, DatagramKind_Load, last, now + UsPerSecond)));
                              });
    }

    void TheRateOfReadingIsBounded()
    {
        Receiver here;
        DatagramLink flood;
        flood.Channels[DatagramChannel_Load].SendRate = {};
        const double most = here.Load().ReceiveRate.Burst + here.Load().ReceiveRate.BytesPerS;
        size_t bytes = 0;
        for (TimeUs now = Start; now < Start + UsPerSecond; now += UsPerMs)
        {
            const std::string datagram = Packed(&flood, std::string(900, 'x'), now);
            bytes += DatagramTake(&here.Link, Other, datagram, 0, now) == DatagramDrop_None ? datagram.size() : 0;
        }
        CPPUNIT_ASSERT(static_cast<double>(bytes) <= most);
        CPPUNIT_ASSERT(here.Load().Dropped[DatagramDrop_OverRate] > 0);
        CPPUNIT_ASSERT_EQUAL(uint64_t{1000}, here.Load().Received);
    }

    void DelaysAreSeenWhateverTheClocks()
    {
        CHECK_PROPERTY("after a datagram without delay, the delay of others is known",
                       [](uint64_t seed)
                       {
                           TestRandom random(seed);
                           Receiver here;
                           DatagramLink sender;
                           const TimeUs ahead = random.Between(-(TimeUs{1} << 40), TimeUs{1} << 40); // The sender's clock.
                           TimeUs now = Start + (TimeUs{1} << 41);
                           DatagramTake(&here.Link, Other, Packed(&sender, "x", now + ahead), 0, now);
                           for (int n = 0; n < 20; n++)
                           {
                               now += random.Between(here.Load().DelayMaxUs, 500 * UsPerMs);
                               const TimeUs delay = random.Between(0, here.Load().DelayMaxUs);
                               DatagramTake(&here.Link, Other, Packed(&sender, "x", now + ahead - delay), 0, now);
                               RC_ASSERT(here.Heard.size() == static_cast<size_t>(n) + 2);
                               RC_ASSERT(here.Heard.back().DelayUs == delay);
                           }
                       });
    }

    void LateDatagramsAreDropped()
    {
        Receiver here;
        DatagramLink sender;
        DatagramTake(&here.Link, Other, Packed(&sender, "x", Start), 0, Start);
        const std::string slow = Packed(&sender, "x", Start + UsPerSecond);
        const TimeUs late = Start + UsPerSecond + here.Load().DelayMaxUs + 1;
        CPPUNIT_ASSERT_EQUAL(int(DatagramDrop_Late), int(DatagramTake(&here.Link, Other, slow, 0, late)));
        const Endpoint stranger = {0x0a000003, TestPort}; // Nothing is known of its clock, but this one has waited here.
        const std::string waited = Packed(&sender, "x", Start + 2 * UsPerSecond);
        CPPUNIT_ASSERT_EQUAL(int(DatagramDrop_Late),
                             int(DatagramTake(&here.Link, stranger, waited, here.Load().DelayMaxUs + 1, Start + 2 * UsPerSecond)));
        CPPUNIT_ASSERT_EQUAL(uint64_t{2}, here.Load().Dropped[DatagramDrop_Late]);
    }

    void RepeatedDatagramsAreDropped()
    {
        Receiver here;
        DatagramLink sender;
        std::vector<std::string> sent;
        for (TimeUs now = Start; now < Start + 100 * UsPerMs; now += 10 * UsPerMs)
        {
            sent.push_back(Packed(&sender, "x", now));
            sent.push_back(Packed(&sender, "x", now)); // Two at once are two.
            CPPUNIT_ASSERT_EQUAL(int(DatagramDrop_None), int(DatagramTake(&here.Link, Other, sent[sent.size() - 2], 0, now)));
            CPPUNIT_ASSERT_EQUAL(int(DatagramDrop_None), int(DatagramTake(&here.Link, Other, sent.back(), 0, now)));
        }
        const size_t heard = here.Heard.size();
        for (const TimeUs after : {TimeUs{0}, 50 * UsPerMs, UsPerSecond, 11 * UsPerSecond})
        {
            for (const std::string& bytes : sent)
            {
                DatagramTake(&here.Link, Other, bytes, 0, Start + 100 * UsPerMs + after);
            }
            CPPUNIT_ASSERT_EQUAL(heard, here.Heard.size());
        }
        CPPUNIT_ASSERT(here.Load().Dropped[DatagramDrop_Repeated] > 0);
    }

    // A machine that has started again counts its time from another moment.
    void AMachineWithANewClockIsHeardAgain()
    {
        for (const TimeUs jump : {-1000 * UsPerSecond, 1000 * UsPerSecond})
        {
            Receiver here;
            DatagramLink sender;
            TimeUs now = Start;
            for (int n = 0; n < 100; n++, now += 300 * UsPerMs)
            {
                DatagramTake(&here.Link, Other, Packed(&sender, "x", now), 0, now);
            }
            CPPUNIT_ASSERT_EQUAL(size_t{100}, here.Heard.size());
            DatagramLink again;
            const TimeUs back = now;
            while (here.Heard.size() == 100)
            {
                now += 300 * UsPerMs;
                DatagramTake(&here.Link, Other, Packed(&again, "x", now + jump), 0, now);
                CPPUNIT_ASSERT(now < back + 2 * here.Link.Config.WindowUs + UsPerSecond);
            }
        }
    }

    // The first datagram heard from a sender may be a late one.
    void OneLateDatagramHidesNoOthers()
    {
        Receiver here;
        DatagramLink sender;
        DatagramTake(&here.Link, Other, Packed(&sender, "late", Start - UsPerSecond), 0, Start);
        DatagramTake(&here.Link, Other, Packed(&sender, "x", Start + UsPerMs), 0, Start + UsPerMs);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), here.Heard.back().Body);
        CPPUNIT_ASSERT_EQUAL(TimeUs{0}, here.Heard.back().DelayUs);
        const std::string old = Packed(&sender, "old", Start + 2 * UsPerMs);
        CPPUNIT_ASSERT_EQUAL(int(DatagramDrop_Late), int(DatagramTake(&here.Link, Other, old, 0, Start + UsPerSecond)));
    }

    void ForeignDatagramsAreDropped()
    {
        Receiver here;
        DatagramLink sender;
        const Endpoint port = {Other.Ip, TestPort + 1};
        const Endpoint itself = {here.Link.OwnIp, TestPort};
        for (const Endpoint& from : {port, itself})
        {
            CPPUNIT_ASSERT_EQUAL(int(DatagramDrop_Foreign), int(DatagramTake(&here.Link, from, Packed(&sender, "x", Start), 0, Start)));
        }
        CPPUNIT_ASSERT(here.Link.Senders.empty());
    }

    void AChannelThatIsOffTakesNothing()
    {
        Receiver here;
        here.Load().OnReceived = nullptr;
        DatagramLink sender;
        CPPUNIT_ASSERT_EQUAL(int(DatagramDrop_Unused), int(DatagramTake(&here.Link, Other, Packed(&sender, "x", Start), 0, Start)));
        CPPUNIT_ASSERT_EQUAL(uint64_t{1}, here.Load().Dropped[DatagramDrop_Unused]);
    }

    void SendersAreBounded()
    {
        Receiver here;
        here.Load().ReceiveRate = {};
        DatagramLink sender;
        sender.Channels[DatagramChannel_Load].SendRate = {};
        for (uint32_t n = 0; n < 5000; n++)
        {
            const TimeUs now = Start + n * UsPerMs;
            const Endpoint from = {0x0b000000 + n, TestPort};
            CPPUNIT_ASSERT_EQUAL(int(DatagramDrop_None), int(DatagramTake(&here.Link, from, Packed(&sender, "x", now), 0, now)));
            CPPUNIT_ASSERT(here.Link.Senders.size() <= here.Link.Config.SendersMax);
        }
        CPPUNIT_ASSERT_EQUAL(size_t{1}, here.Link.Senders.count(0x0b000000 + 4999));
        CPPUNIT_ASSERT_EQUAL(size_t{0}, here.Link.Senders.count(0x0b000000));
    }

    void LinksExchangeDatagrams()
    {
        EventLoop loop;
        const int port = FreePort("127.0.0.20");
        SocketLink one(&loop, "127.0.0.20", port);
        SocketLink two(&loop, "127.0.0.21", port);
        CPPUNIT_ASSERT(DatagramSend(&one.Link, DatagramChannel_Load, DatagramKind_Load, "127.0.0.21:1", "hello"));
        CPPUNIT_ASSERT(DatagramSend(&one.Link, DatagramChannel_Quotas, QuotaMessage_Report, "127.0.0.21:1", "totals"));
        CPPUNIT_ASSERT(LoopRunUntil(&loop, Patience, [&]() { return two.Heard.size() == 2; }));
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), two.Heard[0].Body);
        CPPUNIT_ASSERT_EQUAL(fmt::format("127.0.0.20:{}", port), two.Heard[0].From);
        CPPUNIT_ASSERT_EQUAL(std::string("totals"), two.Heard[1].Body);
        CPPUNIT_ASSERT(DatagramSend(&two.Link, DatagramChannel_Load, DatagramKind_Load, two.Heard[0].From, "back"));
        CPPUNIT_ASSERT(LoopRunUntil(&loop, Patience, [&]() { return one.Heard.size() == 1; }));
        const DatagramChannel& load = one.Link.Channels[DatagramChannel_Load];
        CPPUNIT_ASSERT_EQUAL(uint64_t{1}, load.Sent);
        CPPUNIT_ASSERT_EQUAL(uint64_t{9 + 5}, load.SentBytes);
        CPPUNIT_ASSERT_EQUAL(uint64_t{9 + 4}, load.ReceivedBytes);

        DatagramLink forger;
        SendFromElsewhere(two.Heard[0].From, Packed(&forger, "forged", NowUs()));
        SendFromElsewhere(two.Heard[0].From, "\x04");
        const auto dropped = [&load](DatagramDrop_ drop)
        {
            return load.Dropped[drop];
        };
        CPPUNIT_ASSERT(LoopRunUntil(&loop, Patience, [&]() { return dropped(DatagramDrop_Foreign) == 2; }));
        CPPUNIT_ASSERT_EQUAL(size_t{1}, one.Heard.size());
    }

    // What has come while an instance was paused is old, although nothing is known of the sender's clock.
    void WhatWaitedDuringAPauseIsLate()
    {
        EventLoop loop;
        const int port = FreePort("127.0.0.20");
        SocketLink one(&loop, "127.0.0.20", port);
        SocketLink two(&loop, "127.0.0.21", port);
        DatagramChannel& load = two.Link.Channels[DatagramChannel_Load];
        AwaitArrivalTimes(&loop, &one, &two);
        two.Heard.clear();
        two.Link.Senders.clear();
        load.Received = 0;
        load.DelayMaxUs = DatagramChannels()[DatagramChannel_Load].DelayMaxUs;
        CPPUNIT_ASSERT(DatagramSend(&one.Link, DatagramChannel_Load, DatagramKind_Load, "127.0.0.21:1", "old"));
        usleep(static_cast<useconds_t>(load.DelayMaxUs + 20 * UsPerMs));
        CPPUNIT_ASSERT(LoopRunUntil(&loop, Patience, [&]() { return load.Received == 1; }));
        CPPUNIT_ASSERT_EQUAL(uint64_t{1}, load.Dropped[DatagramDrop_Late]);
        CPPUNIT_ASSERT(two.Heard.empty());
    }

    void WithoutAPortNothingIsSent()
    {
        EventLoop loop;
        DatagramLink link;
        link.Loop = &loop;
        link.Own = "127.0.0.20:1";
        CPPUNIT_ASSERT(DatagramLinkStart(&link));
        CPPUNIT_ASSERT(!DatagramLinkIsOpen(link));
        CPPUNIT_ASSERT(!DatagramSend(&link, DatagramChannel_Load, DatagramKind_Load, "127.0.0.21:1", "x"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatagramLinkTest);

} // namespace Winchlink
