// relay.cpp: what one instance knows of the store, handed on to others.
//
// Index of this file:
// [SECTION] Messages
// [SECTION] Answers
// [SECTION] What the reader has learnt
// [SECTION] Start

#include "relay.h"

#include "clock.h"
#include "message_codec.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <zlib.h>

namespace Winchlink
{

static constexpr size_t MessageMost = 32 * MiB;        // Decoded; a store of 6,600 targets is some 3 MB.
static constexpr int CompressionLevel = 1;             // Routes repeat themselves so much that more gains little.
static constexpr int HistoryGone = 410;                // Status: the follower must read everything; the store says it so too.
static constexpr int NothingKnown = 503;               // Status: we know nothing ourselves.
static constexpr TimeUs HoldMostUs = 500 * UsPerMs;    // One that wants everything from one that knows nothing waits so long for it.
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

// Items by themselves: the size of their code, and the code compressed. Nothing for no items.
static std::string Pack(const std::vector<StoreItem>& items)
{
    if (items.empty())
    {
        return "";
    }
    const std::string plain = EncodeMessage(items);
    std::string out;
    AppendNumber(&out, plain.size());
    return out + Compress(plain);
}

static Error Malformed(const char* why)
{
    return Error{Code_MessageMalformed, why};
}

static Result<std::vector<StoreItem>> Unpack(const std::string& packed)
{
    std::vector<StoreItem> items;
    if (packed.empty())
    {
        return items;
    }
    if (packed.size() < NumberBytes)
    {
        return Malformed("too short");
    }
    uLongf size = NumberAt(packed, 0);
    if (size > MessageMost)
    {
        return Malformed("too large");
    }
    std::string plain(size, '\0');
    const auto* bytes = reinterpret_cast<const Bytef*>(packed.data() + NumberBytes);
    if (uncompress(reinterpret_cast<Bytef*>(plain.data()), &size, bytes, packed.size() - NumberBytes) != Z_OK || size != plain.size())
    {
        return Malformed("not compressed as it says");
    }
    if (!DecodeMessage(plain, &items))
    {
        return Malformed("not coded as it should be");
    }
    return items;
}

// The sizes of the head and of the packed items, the head's checksum (the items' is zlib's), and then these two.
static std::string EncodePacked(const StorePage& head, const std::string& packed)
{
    const std::string coded = EncodeMessage(head);
    std::string out;
    AppendNumber(&out, coded.size());
    AppendNumber(&out, packed.size());
    AppendNumber(&out, Checksum(coded));
    return out + coded + packed;
}

std::string EncodePage(const StorePage& page)
{
    return EncodePacked(page, Pack(page.Items));
}

Result<StorePage> DecodePage(const std::string& bytes)
{
    constexpr size_t sizes = 3 * NumberBytes;
    if (bytes.size() < sizes)
    {
        return Malformed("too short");
    }
    const size_t head_size = NumberAt(bytes, 0);
    if (bytes.size() != sizes + head_size + NumberAt(bytes, NumberBytes))
    {
        return Malformed("not as long as it says");
    }
    StorePage page;
    const std::string head = bytes.substr(sizes, head_size);
    if (Checksum(head) != NumberAt(bytes, 2 * NumberBytes) || !DecodeMessage(head, &page))
    {
        return Malformed("not coded as it should be");
    }
    page.Packed = bytes.substr(sizes + head_size);
    Result<std::vector<StoreItem>> items = Unpack(page.Packed);
    if (!items)
    {
        return items.error();
    }
    page.Items = std::move(items.value());
    return page;
}

static std::string Remarks(const FollowStep& step)
{
    return std::string(step.Lead ? "&lead=1" : "") + (step.Lost ? "&lost=1" : "");
}

StoreDialect RelayDialect(const RelayFollower& own)
{
    const std::string who =
        fmt::format("from={}&dataCentre={}{}", own.Address, PercentEncoded(own.DataCentre), own.Contact ? "&contact=1" : "");
    StoreDialect dialect;
    dialect.PageTarget = [who](const std::string&)
    {
        return fmt::format("/items?waitMs={}&{}", HoldMostUs / UsPerMs, who);
    };
    dialect.ChangesTarget = [who](uint64_t after, TimeUs wait)
    {
        return fmt::format("/changes?after={}&waitMs={}&{}", after, wait / UsPerMs, who);
    };
    dialect.Remarks = Remarks;
    dialect.HistoryGoneStatus = HistoryGone;
    dialect.ReadPage = DecodePage;
    dialect.ReadChanges = DecodePage;
    return dialect;
}

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

static StorePage MakeHead(const Relay& relay)
{
    StorePage head;
    head.At = relay.At;
    head.AgeUs = relay.Age ? relay.Age() : 0;
    head.Trouble = relay.Trouble;
    head.TriedUs = relay.Trouble ? NowUs() - relay.TriedUs : 0;
    head.Origin = relay.Origin ? relay.Origin() : "";
    head.EndsDigest = relay.EndsDigest ? relay.EndsDigest() : 0;
    return head;
}

static void ReplyPage(const ExchangePtr& call, const StorePage& head, const std::string& packed)
{
    Reply(call, CallerReply{200, {{"Content-Type", "application/octet-stream"}}, EncodePacked(head, packed), false});
}

static void ReplyStatus(const ExchangePtr& call, int status)
{
    Reply(call, CallerReply{status, {}, "", false});
}

static std::string PackChanges(const Relay& relay, uint64_t after)
{
    std::vector<StoreItem> items;
    for (const StoreItem& change : relay.Changes)
    {
        if (change.Revision > after)
        {
            items.push_back(change);
        }
    }
    return Pack(items);
}

static void AnswerAll(Relay* relay, const ExchangePtr& call)
{
    if (relay->AllAt != relay->At)
    {
        std::vector<StoreItem> items;
        for (const auto& entry : relay->Items)
        {
            items.push_back(entry.second);
        }
        relay->All = Pack(items);
        relay->AllAt = relay->At;
    }
    ReplyPage(call, MakeHead(*relay), relay->All);
}

static void AnswerChanges(Relay* relay, const ExchangePtr& call, uint64_t after)
{
    relay->Answers++;
    if (after >= relay->At)
    {
        ReplyPage(call, MakeHead(*relay), "");
        return;
    }
    if (relay->PackedAfter != after || relay->PackedAt != relay->At)
    {
        relay->Packed = PackChanges(*relay, after);
        relay->PackedAfter = after;
        relay->PackedAt = relay->At;
    }
    ReplyPage(call, MakeHead(*relay), relay->Packed);
}

// Answers one that waits, or that need not wait, by what is known now.
static void Answer(Relay* relay, const RelayWait& wait)
{
    if (relay->At == 0)
    {
        ReplyStatus(wait.From, NothingKnown);
        return;
    }
    if (wait.Asker.Everything)
    {
        AnswerAll(relay, wait.From);
        return;
    }
    if (wait.Asker.After < relay->ChangesFrom)
    {
        ReplyStatus(wait.From, HistoryGone);
        return;
    }
    AnswerChanges(relay, wait.From, wait.Asker.After);
}

static void EndWait(Relay* relay, uint64_t id)
{
    RelayWait wait = std::move(relay->Waits.at(id));
    relay->Waits.erase(id);
    Answer(relay, wait);
}

static void BeginWait(Relay* relay, RelayWait wait, TimeUs most)
{
    const uint64_t id = ++relay->LastWait;
    wait.End = TimerStart(relay->Loop, std::min(most, WaitMostUs), [relay, id]() { EndWait(relay, id); });
    wait.From->OnGone = [relay, id]()
    {
        relay->Waits.erase(id);
    };
    relay->Waits[id] = std::move(wait);
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

// What we know, to one that asks.
static NewsHolder HolderFor(const Relay& relay, const NewsAsker& asker)
{
    NewsHolder holder;
    holder.At = relay.At;
    holder.Lost = relay.Trouble;
    holder.DataCentre = relay.DataCentre;
    for (const auto& entry : relay.Waits)
    {
        const NewsAsker& follower = entry.second.Asker;
        holder.Followers.push_back(follower.Address);
        if (follower.DataCentre == asker.DataCentre)
        {
            holder.Beside.push_back(follower.Address);
        }
    }
    return holder;
}

static void SendOn(const Relay& relay, const ExchangePtr& call, std::vector<std::string> elsewhere)
{
    StorePage head = MakeHead(relay);
    head.Elsewhere = std::move(elsewhere);
    ReplyPage(call, head, "");
}

static void OnCall(Relay* relay, const ExchangePtr& call)
{
    if (relay->OnEnds && call->Target == TargetEndsTarget)
    {
        Reply(call, CallerReply{200, {{"Content-Type", "application/octet-stream"}}, relay->OnEnds(call->Body), false});
        return;
    }
    RelayWait wait;
    wait.From = call;
    wait.Asker.Address = FollowerIn(call->Target);
    wait.Asker.Everything = call->Target.rfind("/items", 0) == 0;
    wait.Asker.After = NumberIn(call->Target, "after");
    wait.Asker.Lead = relay->OnLead && NumberIn(call->Target, "lead") != 0;
    wait.Asker.Lost = NumberIn(call->Target, "lost") != 0;
    if (!wait.Asker.Address.empty() && relay->OnMet)
    {
        relay->OnMet(wait.Asker.Address);
    }
    wait.Asker.DataCentre = QueryValue(call->Target, "dataCentre");
    wait.Asker.Contact = NumberIn(call->Target, "contact") != 0;
    const NewsAnswer answer = FanoutAsked(&relay->Spread, wait.Asker, HolderFor(*relay, wait.Asker), NowUs(), relay->Rng);
    switch (answer.Verdict)
    {
    case NewsVerdict_SendOn:
        SendOn(*relay, call, answer.Elsewhere);
        return;
    case NewsVerdict_Lead:
        BeginWait(relay, std::move(wait), WaitMostUs);
        relay->OnLead();
        return;
    case NewsVerdict_Hold:
        BeginWait(relay, std::move(wait), static_cast<TimeUs>(NumberIn(call->Target, "waitMs")) * UsPerMs);
        return;
    default:
        Answer(relay, wait);
        return;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] What the reader has learnt
//-----------------------------------------------------------------------------

std::vector<std::string> RelayFollowers(const Relay& relay)
{
    std::vector<std::string> followers;
    for (const auto& entry : relay.Waits)
    {
        if (!entry.second.Asker.Address.empty())
        {
            followers.push_back(entry.second.Asker.Address);
        }
    }
    return followers;
}

// Takes all waits out and answers each: answering may bring new calls.
static void EndWaits(Relay* relay, const std::function<bool(const RelayWait&)>& ends)
{
    std::vector<uint64_t> ending;
    for (const auto& entry : relay->Waits)
    {
        if (ends(entry.second))
        {
            ending.push_back(entry.first);
        }
    }
    for (const uint64_t id : ending)
    {
        if (relay->Waits.count(id) > 0)
        {
            EndWait(relay, id);
        }
    }
}

// When what we know was known to be the store's state.
static TimeUs FreshUs(const Relay& relay)
{
    return NowUs() - (relay.Age ? relay.Age() : 0);
}

// Those for which we ask the store are told when it has answered.
static void TellFollowers(Relay* relay)
{
    relay->ToldUs = NowUs();
    relay->ToldFreshUs = FreshUs(*relay);
    EndWaits(relay, [relay](const RelayWait& wait) { return !wait.Asker.Lead && (!wait.Asker.Everything || relay->At != 0); });
}

// What differs between what was known and everything as of a later revision.
static std::vector<StoreItem> Differences(const Relay& relay, const std::vector<StoreItem>& items, uint64_t at)
{
    std::vector<StoreItem> changes;
    std::set<std::string> named;
    for (const StoreItem& item : items)
    {
        named.insert(item.Key);
        const auto known = relay.Items.find(item.Key);
        if (known == relay.Items.end() || known->second.Revision < item.Revision)
        {
            changes.push_back(item);
        }
    }
    for (const auto& entry : relay.Items)
    {
        if (named.count(entry.first) == 0 && entry.second.Revision <= at)
        {
            changes.push_back({entry.first, "", at, true});
        }
    }
    const auto earlier = [](const StoreItem& a, const StoreItem& b)
    {
        return a.Revision < b.Revision;
    };
    std::sort(changes.begin(), changes.end(), earlier);
    return changes;
}

void RelaySetAll(Relay* relay, const StorePage& all, uint64_t at)
{
    if (relay->At != 0 && at >= relay->At)
    {
        RelayAddChanges(relay, Differences(*relay, all.Items, at), at); // Followers need not read everything too.
        return;
    }
    relay->Items.clear();
    for (const StoreItem& item : all.Items)
    {
        relay->Items[item.Key] = item;
    }
    relay->At = at;
    relay->Changes.clear();
    relay->ChangesFrom = at;
    relay->All = all.Packed;
    relay->AllAt = all.Packed.empty() ? 0 : at;
    TellFollowers(relay);
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
        relay->ChangesFrom = std::max(relay->ChangesFrom, relay->Changes.front().Revision);
        relay->Changes.pop_front();
    }
    relay->At = at;
    TellFollowers(relay);
}

void RelaySetLost(Relay* relay, TimeUs tried)
{
    const bool before = relay->Trouble;
    relay->Trouble = true;
    relay->TriedUs = std::max(relay->TriedUs, tried);
    if (relay->At == 0)
    {
        EndWaits(relay, [](const RelayWait& wait) { return wait.Asker.Everything && wait.Asker.Lost && !wait.Asker.Lead; });
        return;
    }
    if (!before || NowUs() >= relay->ToldUs + relay->Config.BeatUs)
    {
        TellFollowers(relay);
    }
}

void RelaySetFound(Relay* relay)
{
    if (relay->Trouble)
    {
        relay->Trouble = false;
        TellFollowers(relay);
    }
}

void RelayBeat(Relay* relay)
{
    if (FreshUs(*relay) >= relay->ToldFreshUs + relay->Config.BeatUs)
    {
        TellFollowers(relay);
    }
}

void RelayTell(Relay* relay)
{
    TellFollowers(relay);
}

void RelayAnswerLeads(Relay* relay)
{
    EndWaits(relay, [](const RelayWait& wait) { return wait.Asker.Lead; });
}

//-----------------------------------------------------------------------------
// [SECTION] Start
//-----------------------------------------------------------------------------

Result<void> RelayStart(Relay* relay, EventLoop* loop, Random* random, const std::string& address)
{
    relay->Loop = loop;
    relay->Rng = random;
    ListenerConfig config;
    config.Address = address;
    return ListenerStart(&relay->Server, loop, config, [relay](const ExchangePtr& call) { OnCall(relay, call); });
}

Relay::~Relay()
{
    ListenerStop(&Server); // Waits belong to its calls.
}

} // namespace Winchlink
