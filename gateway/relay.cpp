// relay.cpp: what one instance knows of the store, handed on to others.
//
// Index of this file:
// [SECTION] Messages
// [SECTION] Answers
// [SECTION] What the reader has learnt
// [SECTION] Start

#include "relay.h"

#include "clock.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <fmt/format.h>
#include <sstream>
#include <zlib.h>

namespace Winchlink
{

static constexpr size_t MessageMost = 32 * MiB;        // Decoded; a store of 6,600 targets is some 3 MB.
static constexpr int CompressionLevel = 1;             // Routes repeat themselves so much that more gains little.
static constexpr int HistoryGone = 410;                // Status: the follower must read everything; the store says it so too.
static constexpr TimeUs WaitMostUs = 10 * UsPerSecond; // A follower that asks for more waits so long.

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

static std::string Compress(const std::string& plain)
{
    uLongf size = compressBound(plain.size());
    std::string out(size, '\0');
    compress2(reinterpret_cast<Bytef*>(out.data()), &size, reinterpret_cast<const Bytef*>(plain.data()), plain.size(), CompressionLevel);
    out.resize(size);
    return out;
}

std::string EncodePage(const StorePage& page)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(page);
    }
    const std::string plain = stream.str();
    const auto size = static_cast<uint32_t>(plain.size());
    std::string out;
    for (int shift = 0; shift < 32; shift += 8)
    {
        out += static_cast<char>(size >> shift);
    }
    return out + Compress(plain);
}

static Error Malformed(const char* why)
{
    return Error{Code_MessageMalformed, why};
}

Result<StorePage> DecodePage(const std::string& bytes)
{
    constexpr size_t head_size = 4;
    if (bytes.size() < head_size)
    {
        return Malformed("too short");
    }
    uLongf size = 0;
    for (size_t n = 0; n < head_size; n++)
    {
        size |= static_cast<uLongf>(static_cast<uint8_t>(bytes[n])) << (8 * n);
    }
    if (size > MessageMost)
    {
        return Malformed("too large");
    }
    std::string plain(size, '\0');
    const auto* packed = reinterpret_cast<const Bytef*>(bytes.data() + head_size);
    if (uncompress(reinterpret_cast<Bytef*>(plain.data()), &size, packed, bytes.size() - head_size) != Z_OK || size != plain.size())
    {
        return Malformed("not compressed as it says");
    }
    StorePage page;
    try
    {
        std::istringstream stream(plain);
        cereal::PortableBinaryInputArchive archive(stream);
        archive(page);
    }
    catch (const std::exception&) // cereal's way to say that the bytes end too soon, or ask for too much memory.
    {
        return Malformed("not coded as it should be");
    }
    return page;
}

StoreDialect RelayDialect(const std::string& own_address)
{
    StoreDialect dialect;
    dialect.PageTarget = [](const std::string&)
    {
        return "/items";
    };
    dialect.ChangesTarget = [own_address](uint64_t after, TimeUs wait)
    {
        return fmt::format("/changes?after={}&waitMs={}&from={}", after, wait / UsPerMs, own_address);
    };
    dialect.HistoryGoneStatus = HistoryGone;
    dialect.ReadPage = DecodePage;
    dialect.ReadChanges = DecodePage;
    return dialect;
}

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

static StorePage MakePage(const Relay& relay)
{
    StorePage page;
    page.At = relay.At;
    page.AgeUs = relay.Age ? relay.Age() : 0;
    page.Trouble = relay.Trouble;
    return page;
}

static CallerReply BytesReply(std::string bytes)
{
    return CallerReply{200, {{"Content-Type", "application/octet-stream"}}, std::move(bytes), false};
}

static std::string EncodeChanges(Relay* relay, uint64_t after)
{
    StorePage page = MakePage(*relay);
    for (const StoreItem& change : relay->Changes)
    {
        if (change.Revision > after)
        {
            page.Items.push_back(change);
        }
    }
    return EncodePage(page);
}

static const std::string& EncodeAll(Relay* relay)
{
    constexpr TimeUs reuse = 100 * UsPerMs; // By so much the age that is told may be too low.
    const TimeUs now = NowUs();
    if (relay->AllAt == relay->At && now < relay->AllUs + reuse)
    {
        return relay->All;
    }
    StorePage page = MakePage(*relay);
    for (const auto& entry : relay->Items)
    {
        page.Items.push_back(entry.second);
    }
    relay->All = EncodePage(page);
    relay->AllAt = relay->At;
    relay->AllUs = now;
    return relay->All;
}

static void AnswerChanges(Relay* relay, const ExchangePtr& call, uint64_t after)
{
    relay->Answers++;
    const bool none = after >= relay->At || relay->Trouble;
    if (none)
    {
        Reply(call, BytesReply(EncodePage(MakePage(*relay))));
        return;
    }
    if (relay->EncodedAfter != after || relay->EncodedAt != relay->At)
    {
        relay->Encoded = EncodeChanges(relay, after);
        relay->EncodedAfter = after;
        relay->EncodedAt = relay->At;
    }
    Reply(call, BytesReply(relay->Encoded));
}

static void EndWait(Relay* relay, uint64_t id)
{
    const ExchangePtr call = relay->Waits.at(id).From;
    const uint64_t after = relay->Waits.at(id).After;
    relay->Waits.erase(id);
    AnswerChanges(relay, call, after);
}

static uint64_t NumberIn(const std::string& target, const std::string& key)
{
    return std::strtoull(QueryValue(target, key).c_str(), nullptr, 10);
}

// Where a follower can be followed itself; empty if it does not say.
static std::string FollowerIn(const std::string& target)
{
    const std::string address = QueryValue(target, "from");
    return IsAddress(address) ? address : "";
}

// Some of the followers, the longest waiting first.
static std::vector<std::string> NameFollowers(const Relay& relay, const std::string& except)
{
    std::vector<std::string> named;
    for (const auto& entry : relay.Waits)
    {
        const std::string& follower = entry.second.Follower;
        if (named.size() < relay.Config.NamedMost && !follower.empty() && follower != except)
        {
            named.push_back(follower);
        }
    }
    return named;
}

// Whether the follower was sent on to others: we have as many as we take.
static bool SendOn(Relay* relay, const ExchangePtr& call, const std::string& follower)
{
    if (relay->Waits.size() < relay->Config.FollowersMost)
    {
        return false;
    }
    StorePage page = MakePage(*relay);
    page.Elsewhere = NameFollowers(*relay, follower);
    if (page.Elsewhere.empty())
    {
        return false;
    }
    Reply(call, BytesReply(EncodePage(page)));
    return true;
}

static void BeginWait(Relay* relay, const ExchangePtr& call)
{
    const uint64_t after = NumberIn(call->Target, "after");
    if (after < relay->ChangesFrom)
    {
        Reply(call, CallerReply{HistoryGone, {}, "", false});
        return;
    }
    if (after != relay->At || relay->Trouble)
    {
        AnswerChanges(relay, call, after); // One that is ahead of us finds another source.
        return;
    }
    const std::string follower = FollowerIn(call->Target);
    if (SendOn(relay, call, follower))
    {
        return;
    }
    const uint64_t id = ++relay->LastWait;
    const TimeUs wait = std::min(static_cast<TimeUs>(NumberIn(call->Target, "waitMs")) * UsPerMs, WaitMostUs);
    RelayWait& waiting = relay->Waits[id];
    waiting.From = call;
    waiting.After = after;
    waiting.Follower = follower;
    waiting.End = TimerStart(relay->Loop, wait, [relay, id]() { EndWait(relay, id); });
    call->OnGone = [relay, id]()
    {
        relay->Waits.erase(id);
    };
}

static void OnCall(Relay* relay, const ExchangePtr& call)
{
    if (relay->At == 0)
    {
        Reply(call, CallerReply{503, {}, "", false}); // Nothing is known yet.
        return;
    }
    if (call->Target.rfind("/changes", 0) == 0)
    {
        BeginWait(relay, call);
        return;
    }
    Reply(call, BytesReply(EncodeAll(relay)));
}

//-----------------------------------------------------------------------------
// [SECTION] What the reader has learnt
//-----------------------------------------------------------------------------

// Takes all waits out and answers each: answering may bring new calls.
static void EndAllWaits(Relay* relay, const std::function<void(const RelayWait&)>& answer)
{
    const std::map<uint64_t, RelayWait> waits = std::move(relay->Waits);
    relay->Waits.clear();
    relay->ToldUs = NowUs();
    for (const auto& entry : waits)
    {
        answer(entry.second);
    }
}

static void TellFollowers(Relay* relay)
{
    EndAllWaits(relay, [relay](const RelayWait& wait) { AnswerChanges(relay, wait.From, wait.After); });
}

void RelaySetAll(Relay* relay, const std::vector<StoreItem>& items, uint64_t at)
{
    relay->Items.clear();
    for (const StoreItem& item : items)
    {
        relay->Items[item.Key] = item;
    }
    relay->At = at;
    relay->Changes.clear();
    relay->ChangesFrom = at; // What went since an earlier revision is not known one by one: followers read everything too.
    EndAllWaits(relay, [](const RelayWait& wait) { Reply(wait.From, CallerReply{HistoryGone, {}, "", false}); });
}

void RelayAddChanges(Relay* relay, const std::vector<StoreItem>& changes, uint64_t at)
{
    for (const StoreItem& change : changes)
    {
        relay->Changes.push_back(change);
        if (change.Gone)
        {
            relay->Items.erase(change.Key);
        }
        else
        {
            relay->Items[change.Key] = change;
        }
    }
    while (relay->Changes.size() > relay->Config.ChangesKept)
    {
        relay->ChangesFrom = relay->Changes.front().Revision;
        relay->Changes.pop_front();
    }
    relay->At = at;
    TellFollowers(relay);
}

void RelaySetTrouble(Relay* relay, bool trouble)
{
    if (trouble == relay->Trouble)
    {
        return;
    }
    relay->Trouble = trouble;
    relay->AllAt = 0; // What was coded says otherwise.
    if (trouble)
    {
        TellFollowers(relay);
    }
}

void RelayBeat(Relay* relay)
{
    if (NowUs() >= relay->ToldUs + relay->Config.BeatUs)
    {
        TellFollowers(relay);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Start
//-----------------------------------------------------------------------------

Result<void> RelayStart(Relay* relay, EventLoop* loop, const std::string& address)
{
    relay->Loop = loop;
    ListenerConfig config;
    config.Address = address;
    return ListenerStart(&relay->Server, loop, config, [relay](const ExchangePtr& call) { OnCall(relay, call); });
}

Relay::~Relay()
{
    ListenerStop(&Server); // Waits belong to its calls.
}

} // namespace Winchlink
