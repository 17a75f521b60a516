// wire_test.cpp: messages: codec, marks, hostile input.

#include "check.h"
#include "winchlink_internal.h"

#include <malloc.h>

namespace Winchlink
{

static MessageKeys KeysOf(uint8_t fill)
{
    MessageKeys keys;
    keys.Current.fill(fill);
    return keys;
}

static Message MakeMessage(MessageType_ type)
{
    Message message;
    message.Type = type;
    message.Head.Address = {0x7f000001, 7001};
    message.Head.Incarnation = 5;
    message.Head.Sequence = 9;
    return message;
}

static Message MakeReply()
{
    Message message = MakeMessage(MessageType_TableReply);
    const Table table = MakeTable(3, {MakeRow("a", 1), MakeRow("b", 3)});
    message.Reply.Delta = MakeDelta(table, TableVersion());
    message.Reply.Runs.push_back({1, 2, true, 3, 4});
    return message;
}

static Message MakeBeat()
{
    Message message = MakeMessage(MessageType_Heartbeat);
    message.Beat.State = InstanceState_Serving;
    message.Beat.Samples.push_back({{0x7f000001, 7002}, 3, 100, 1});
    message.Beat.Claims.push_back({7, 1, 20});
    message.Beat.Runs.push_back({1, 2, true, 3, 4});
    return message;
}

class WireTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(WireTest);
    CPPUNIT_TEST(MessagesSurviveTheWire);
    CPPUNIT_TEST(OnlyHoldersOfAKeyAreHeard);
    CPPUNIT_TEST(TwoKeysWhileChanging);
    CPPUNIT_TEST(EveryChangedByteIsRefused);
    CPPUNIT_TEST(FindsADecoderWithoutMarks);
    CPPUNIT_TEST(PermitMessagesSurviveTheWire);
    CPPUNIT_TEST(CutMessagesAreRefused);
    CPPUNIT_TEST(HostileLengthsAllocateNothing);
    CPPUNIT_TEST(HeartbeatFitsADatagram);
    CPPUNIT_TEST(AddressesAreStrict);
    CPPUNIT_TEST_SUITE_END();

public:
    void MessagesSurviveTheWire()
    {
        const MessageKeys keys = KeysOf(1);
        const Result<Message> beat = DecodeMessage(EncodeMessage(MakeBeat(), keys), keys);
        CPPUNIT_ASSERT(beat.has_value());
        CPPUNIT_ASSERT_EQUAL(uint64_t(9), beat.value().Head.Sequence);
        CPPUNIT_ASSERT_EQUAL(uint16_t(7002), beat.value().Beat.Samples.at(0).Address.Port);
        CPPUNIT_ASSERT_EQUAL(true, beat.value().Beat.Runs.at(0).Leaving);
        const Result<Message> reply = DecodeMessage(EncodeMessage(MakeReply(), keys), keys);
        CPPUNIT_ASSERT(reply.has_value());
        CPPUNIT_ASSERT(ApplyDelta(Table(), reply.value().Reply.Delta).has_value());
    }

    void OnlyHoldersOfAKeyAreHeard()
    {
        const Result<Message> refused = DecodeMessage(EncodeMessage(MakeBeat(), KeysOf(1)), KeysOf(2));
        CPPUNIT_ASSERT_EQUAL(int(Code_MessageBadMark), int(refused.error().Code));
    }

    void TwoKeysWhileChanging()
    {
        MessageKeys keys = KeysOf(2);
        keys.Previous = KeysOf(1).Current;
        CPPUNIT_ASSERT(DecodeMessage(EncodeMessage(MakeBeat(), KeysOf(1)), keys).has_value());
        CPPUNIT_ASSERT(DecodeMessage(EncodeMessage(MakeBeat(), KeysOf(2)), keys).has_value());
        CPPUNIT_ASSERT(!DecodeMessage(EncodeMessage(MakeBeat(), KeysOf(3)), keys).has_value());
    }

    // How many messages with one changed bit a decoder takes.
    template <class Decode> static int TakenWithAChange(const std::string& good, Decode decode)
    {
        int taken = 0;
        for (size_t n = 0; n < good.size(); n++)
        {
            std::string bad = good;
            bad[n] = static_cast<char>(bad[n] ^ 1);
            taken += decode(bad).has_value() ? 1 : 0;
        }
        return taken;
    }

    void EveryChangedByteIsRefused()
    {
        const MessageKeys keys = KeysOf(1);
        const auto decode = [&](const std::string& bytes)
        {
            return DecodeMessage(bytes, keys);
        };
        CPPUNIT_ASSERT_EQUAL(0, TakenWithAChange(EncodeMessage(MakeBeat(), keys), decode));
    }

    // Planted: the mark is not looked at.
    void FindsADecoderWithoutMarks()
    {
        const auto decode = [](const std::string& bytes)
        {
            return DecodeUnmarked(bytes.substr(0, bytes.size() - MarkSize));
        };
        CPPUNIT_ASSERT(TakenWithAChange(EncodeMessage(MakeBeat(), KeysOf(1)), decode) > 100);
    }

    void PermitMessagesSurviveTheWire()
    {
        Message message;
        message.Head.Address = {0x7f000001, 7001};
        message.Type = MessageType_PermitRequest;
        message.Ask = {11, 12, 13};
        const Result<Message> ask = DecodeMessage(EncodeMessage(message, KeysOf(1)), KeysOf(1));
        CPPUNIT_ASSERT_EQUAL(uint64_t(12), ask.value().Ask.AskId);
        CPPUNIT_ASSERT_EQUAL(uint16_t(13), ask.value().Ask.Want);
        CPPUNIT_ASSERT_EQUAL(size_t(59), EncodeMessage(message, KeysOf(1)).size()); // docs/CAPACITY.md counts with these sizes.
        message.Type = MessageType_PermitReply;
        message.Lease = {11, 12, 3, 4, 2000};
        const Result<Message> lease = DecodeMessage(EncodeMessage(message, KeysOf(1)), KeysOf(1));
        CPPUNIT_ASSERT_EQUAL(uint16_t(3), lease.value().Lease.Count);
        CPPUNIT_ASSERT_EQUAL(uint32_t(2000), lease.value().Lease.TermMs);
        CPPUNIT_ASSERT_EQUAL(size_t(65), EncodeMessage(message, KeysOf(1)).size());
        message.Type = MessageType_PermitReturn;
        message.Return = {11, 12};
        const Result<Message> returned = DecodeMessage(EncodeMessage(message, KeysOf(1)), KeysOf(1));
        CPPUNIT_ASSERT_EQUAL(uint64_t(12), returned.value().Return.AskId);
        CPPUNIT_ASSERT_EQUAL(size_t(57), EncodeMessage(message, KeysOf(1)).size());
    }

    // Without the mark, so that the decoder itself is reached.
    void CutMessagesAreRefused()
    {
        for (const Message& message : {MakeBeat(), MakeReply()})
        {
            const std::string good = EncodeMessage(message, KeysOf(1));
            const size_t whole = good.size() - MarkSize;
            CPPUNIT_ASSERT(DecodeUnmarked(good.substr(0, whole)).has_value());
            for (size_t size = 0; size < whole; size++)
            {
                CPPUNIT_ASSERT(!DecodeUnmarked(good.substr(0, size)).has_value());
            }
            CPPUNIT_ASSERT(!DecodeUnmarked(good.substr(0, whole) + "x").has_value());
        }
    }

    // Every four bytes in turn are set to four thousand million: where they are a length, the decoder must not believe it.
    void HostileLengthsAllocateNothing()
    {
        const std::string good = EncodeMessage(MakeReply(), KeysOf(1));
        const size_t before = mallinfo2().arena + mallinfo2().hblkhd;
        int refused = 0;
        for (size_t n = 3; n + 4 + MarkSize <= good.size(); n++)
        {
            std::string bad = good.substr(0, good.size() - MarkSize);
            bad.replace(n, 4, "\xff\xff\xff\xff");
            refused += DecodeUnmarked(bad).has_value() ? 0 : 1;
        }
        const size_t after = mallinfo2().arena + mallinfo2().hblkhd;
        CPPUNIT_ASSERT(refused > 10);
        CPPUNIT_ASSERT(after <= before + 8 * MiB);
    }

    void HeartbeatFitsADatagram()
    {
        Message message = MakeBeat();
        message.Beat.Samples.resize(SamplesMax, message.Beat.Samples[0]);
        message.Beat.Claims.resize(ClaimsMax, message.Beat.Claims[0]);
        message.Beat.Runs.resize(RunsMax, message.Beat.Runs[0]);
        CPPUNIT_ASSERT(EncodeMessage(message, KeysOf(1)).size() <= DatagramMax);
    }

    void AddressesAreStrict()
    {
        CPPUNIT_ASSERT(IsAddress("10.0.0.1:80"));
        for (const char* bad : {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:8a", "host:80", "10.0.0:80",
                                "10.0.0.1:+80", "1.2.3.4:80 "})
        {
            CPPUNIT_ASSERT_MESSAGE(bad, !IsAddress(bad));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), FormatEndpoint(ParseEndpoint("10.0.0.1:80").value()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireTest);

} // namespace Winchlink
