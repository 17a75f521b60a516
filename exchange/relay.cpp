// relay.cpp: serves an instance's copy of the store's items to other instances.
//
// Index of this file:
// [SECTION] Messages
// [SECTION] Answers
// [SECTION] Updates from the source
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

static constexpr size_t MessageBytesMax = 32 * MiB;        // Bytes of a decoded message.
static constexpr int CompressionLevel = 1;                 // Fastest: the data is repetitive, so higher levels save little.
static constexpr int HistoryGoneStatus = 410;              // Status: changes are no longer kept; a full read is needed. As the store's.
static constexpr int NoDataStatus = 503;                   // Status: this instance has no data.
static constexpr TimeUs FullReadHoldUs = 500 * UsPerMs;    // Wait that a full read asks for; it applies at an instance without data.
static constexpr TimeUs FollowerWaitMinUs = 500 * UsPerMs; // A shorter long poll only tries this source.
static constexpr TimeUs HoldMaxUs = 10 * UsPerSecond;      // Longest hold of any request.

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

// Encodes items: their size when decoded, then the compressed bytes. Empty if there are no items.
static std::string PackItems(const std::vector<StoreItem>& items)
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

static Result<std::vector<StoreItem>> UnpackItems(const std::string& packed)
{
    std::vector<StoreItem> items;
    if (packed.empty())
    {
        return items;
    }
    if (packed.size() < NumberBytes)
    {
        return Malformed("items too short");
    }
    uLongf size = NumberAt(packed, 0);
    if (size > MessageBytesMax)
    {
        return Malformed("items too large");
    }
    std::string plain(size, '\0');
    const auto* bytes = reinterpret_cast<const Bytef*>(packed.data() + NumberBytes);
    if (uncompress(reinterpret_cast<Bytef*>(plain.data()), &size, bytes, packed.size() - NumberBytes) != Z_OK || size != plain.size())
    {
        return Malformed("items do not decompress to the stated size");
    }
    if (!DecodeMessage(plain, &items))
    {
        return Malformed("items can't be decoded");
    }
    return items;
}

// Decodes the head of a message; one without a route ends before it. False if the bytes are invalid.
static bool DecodeHead(const std::string& bytes, StorePage* page)
{
    std::istringstream stream(bytes);
    if (!ReadMessage(stream, page))
    {
        return false;
    }
    page->HasRoute = stream.peek() != EOF;
    return !page->HasRoute || ReadMessage(stream, &page->Route);
}

// Message format: size of the head, size of the packed items, checksum of the head (zlib checks the items), head with Route, packed items;
// then PackPeers().
static std::string EncodePacked(const StorePage& head, const std::string& packed)
{
    const std::string coded = EncodeMessage(head) + (head.HasRoute ? EncodeMessage(head.Route) : "");
    std::string out;
    AppendNumber(&out, coded.size());
    AppendNumber(&out, packed.size());
    AppendNumber(&out, Checksum(coded));
    return out + coded + packed;
}

// The part of an answer that tells of instances, behind the items: a checksum and the list.
static std::string PackPeers(const std::vector<PeerUpdate>& peers)
{
    if (peers.empty())
    {
        return "";
    }
    const std::string coded = EncodePeers(peers);
    std::string out;
    AppendNumber(&out, Checksum(coded));
    return out + coded;
}

static bool UnpackPeers(const std::string& bytes, std::vector<PeerUpdate>* peers)
{
    if (bytes.empty())
    {
        return true;
    }
    const std::string coded = bytes.substr(std::min(bytes.size(), NumberBytes));
    if (coded.empty() || Checksum(coded) != NumberAt(bytes, 0))
    {
        return false;
    }
    *peers = DecodePeers(coded);
    return true;
}

std::string EncodePage(const StorePage& page)
{
    return EncodePacked(page, PackItems(page.Items)) + PackPeers(page.Peers);
}

Result<StorePage> DecodePage(const std::string& bytes)
{
    constexpr size_t sizes = 3 * NumberBytes;
    if (bytes.size() < sizes)
    {
        return Malformed("message too short");
    }
    const size_t head_size = NumberAt(bytes, 0);
    const size_t packed_size = NumberAt(bytes, NumberBytes);
    if (bytes.size() < sizes + head_size + packed_size)
    {
        return Malformed("length differs from the stated sizes");
    }
    StorePage page;
    const std::string head = bytes.substr(sizes, head_size);
    if (Checksum(head) != NumberAt(bytes, 2 * NumberBytes) || !DecodeHead(head, &page))
    {
        return Malformed("message head has a wrong checksum or can't be decoded");
    }
    page.Packed = bytes.substr(sizes + head_size, packed_size);
    if (!UnpackPeers(bytes.substr(sizes + head_size + packed_size), &page.Peers))
    {
        return Malformed("list of instances has a wrong checksum or can't be decoded");
    }
    Result<std::vector<StoreItem>> items = UnpackItems(page.Packed);
    if (!items)
    {
        return items.error();
    }
    page.Items = std::move(items.value());
    return page;
}

static std::string QueryFlags(const FollowStep& step)
{
    const std::string newer = step.NewerThanUs != 0 ? fmt::format("&ageMs={}", (NowUs() - step.NewerThanUs) / UsPerMs) : "";
    return newer + std::string(step.AskStore ? "&lead=1" : "") + (step.StoreLost ? "&lost=1" : "") + (step.ReadsStore ? "&reads=1" : "") +
           (step.Reader ? "&contact=1" : "") + (step.Starting ? "&start=1" : "") +
           (step.RouteDigest != 0 ? fmt::format("&route={}", step.RouteDigest) : "");
}

StoreDialect RelayDialect(const RelayFollower& own)
{
    const std::string who = fmt::format("from={}&dataCentre={}", own.Address, own.DataCentre);
    StoreDialect dialect;
    dialect.PageTarget = [who](const std::string&)
    {
        return fmt::format("/items?waitMs={}&{}", FullReadHoldUs / UsPerMs, who);
    };
    dialect.ChangesTarget = [who](uint64_t after, TimeUs wait)
    {
        return fmt::format("/changes?after={}&waitMs={}&{}", after, wait / UsPerMs, who);
    };
    dialect.QueryFlags = [news = own.PeerNews](const FollowStep& step)
    {
        const std::vector<PeerUpdate> peers = news ? news(step.Address) : std::vector<PeerUpdate>();
        return QueryFlags(step) + (peers.empty() ? "" : "&peers=" + HexEncoded(EncodePeers(peers)));
    };
    dialect.HistoryGoneStatus = HistoryGoneStatus;
    dialect.ReadPage = DecodePage;
    dialect.ReadChanges = DecodePage;
    return dialect;
}

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

static uint64_t QueryNumber(const std::string& target, const std::string& key)
{
    return std::strtoull(QueryValue(target, key).c_str(), nullptr, 10);
}

// `known_route`: digest of the route that the follower knows.
static StorePage MakeHead(const Relay& relay, uint64_t known_route)
{
    StorePage head;
    head.Revision = relay.Revision;
    head.AgeUs = relay.Age ? relay.Age() : 0;
    head.StoreLost = relay.StoreLost;
    head.TriedUs = relay.StoreLost ? NowUs() - relay.TriedUs : 0;
    head.Origin = relay.Origin ? relay.Origin() : "";
    head.QuarantineDigest = relay.QuarantineDigest ? relay.QuarantineDigest() : 0;
    head.Route.Path = relay.Path ? relay.Path() : std::vector<std::string>();
    head.Route.NoPath = relay.NoPath && relay.NoPath();
    head.Route.Readers = relay.Readers ? relay.Readers() : std::vector<std::string>();
    head.HasRoute = RouteDigest(head.Route) != known_route;
    return head;
}

// What the sender of a request is told of instances; nothing if it doesn't tell of itself.
static std::vector<PeerUpdate> PeersFor(const Relay& relay, const ExchangePtr& call)
{
    const bool tells = relay.PeerNews && !QueryValue(call->Target, "peers").empty();
    return tells ? relay.PeerNews(QueryValue(call->Target, "from")) : std::vector<PeerUpdate>();
}

static void ReplyPage(const Relay& relay, const ExchangePtr& call, const StorePage& head, const std::string& packed)
{
    std::string body = EncodePacked(head, packed) + PackPeers(PeersFor(relay, call));
    Reply(call, CallerReply{200, {{"Content-Type", "application/octet-stream"}}, std::move(body), false});
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
    return PackItems(items);
}

static void AnswerFullRead(Relay* relay, const ExchangePtr& call)
{
    if (relay->AllAt != relay->Revision)
    {
        std::vector<StoreItem> items;
        for (const auto& entry : relay->Items)
        {
            items.push_back(entry.second);
        }
        relay->All = PackItems(items);
        relay->AllAt = relay->Revision;
    }
    ReplyPage(*relay, call, MakeHead(*relay, 0), relay->All);
}

static void AnswerChanges(Relay* relay, const ExchangePtr& call, uint64_t after)
{
    const StorePage head = MakeHead(*relay, QueryNumber(call->Target, "route"));
    relay->Answers++;
    if (after >= relay->Revision)
    {
        ReplyPage(*relay, call, head, "");
        return;
    }
    if (relay->PackedAfter != after || relay->PackedAt != relay->Revision)
    {
        relay->Packed = PackChanges(*relay, after);
        relay->PackedAfter = after;
        relay->PackedAt = relay->Revision;
    }
    ReplyPage(*relay, call, head, relay->Packed);
}

// Answers a request with the current data.
static void Answer(Relay* relay, const HeldRequest& wait)
{
    if (relay->Revision == 0)
    {
        ReplyStatus(wait.From, NoDataStatus);
        return;
    }
    if (wait.Request.FullRead)
    {
        AnswerFullRead(relay, wait.From);
        return;
    }
    if (wait.Request.After < relay->ChangesFrom)
    {
        ReplyStatus(wait.From, HistoryGoneStatus);
        return;
    }
    AnswerChanges(relay, wait.From, wait.Request.After);
}

static void AnswerHeld(Relay* relay, uint64_t id)
{
    HeldRequest wait = std::move(relay->HeldRequests.at(id));
    relay->HeldRequests.erase(id);
    Answer(relay, wait);
}

static void HoldRequest(Relay* relay, HeldRequest wait, TimeUs max_wait)
{
    const uint64_t id = ++relay->LastWait;
    wait.End = TimerStart(relay->Loop, std::min(max_wait, HoldMaxUs), [relay, id]() { AnswerHeld(relay, id); });
    wait.From->OnGone = [relay, id]()
    {
        relay->HeldRequests.erase(id);
    };
    relay->HeldRequests[id] = std::move(wait);
}

// The address at which a follower can be followed itself; empty if it sent none.
static std::string FollowerAddress(const std::string& target)
{
    const std::string address = QueryValue(target, "from");
    return IsAddress(address) ? address : "";
}

// State of this instance for FanoutDecide().
static UpdateServer RelayState(const Relay& relay, const UpdateRequest& requester)
{
    UpdateServer state;
    state.Own = relay.Server.Config.Address;
    state.Reads = relay.Reads && relay.Reads();
    state.Revision = relay.Revision;
    state.StoreLost = relay.StoreLost;
    state.FreshUs = NowUs() - (relay.Age ? relay.Age() : 0);
    state.DataCentre = relay.DataCentre;
    for (const auto& entry : relay.HeldRequests)
    {
        const UpdateRequest& follower = entry.second.Request;
        state.Followers.push_back(follower.Address);
        if (follower.DataCentre == requester.DataCentre)
        {
            state.Nearby.push_back(follower.Address);
        }
    }
    return state;
}

static void Redirect(const Relay& relay, const ExchangePtr& call, std::vector<std::string> elsewhere)
{
    StorePage head = MakeHead(relay, 0);
    head.Elsewhere = std::move(elsewhere);
    ReplyPage(relay, call, head, "");
}

// Passes on what the request tells of its sender and of other instances.
static void NotePeers(const Relay& relay, const ExchangePtr& call)
{
    if (!relay.OnPeer)
    {
        return;
    }
    for (const PeerUpdate& peer : DecodePeers(HexDecoded(QueryValue(call->Target, "peers"))))
    {
        relay.OnPeer(peer);
    }
}

static void OnRequest(Relay* relay, const ExchangePtr& call)
{
    if (relay->OnHandoff && relay->OnHandoff(call))
    {
        return;
    }
    NotePeers(*relay, call);
    if (relay->OnTargetCrashes && call->Target == TargetCrashesPath)
    {
        Reply(call, CallerReply{200, {{"Content-Type", "application/octet-stream"}}, relay->OnTargetCrashes(call->Body), false});
        return;
    }
    HeldRequest wait;
    wait.From = call;
    wait.Request.Address = FollowerAddress(call->Target);
    wait.Request.FullRead = call->Target.rfind("/items", 0) == 0;
    wait.Request.After = QueryNumber(call->Target, "after");
    wait.Request.AskStore = relay->OnAskStore && QueryNumber(call->Target, "lead") != 0;
    wait.Request.StoreLost = QueryNumber(call->Target, "lost") != 0;
    const std::string age = QueryValue(call->Target, "ageMs");
    wait.Request.NewerThanUs = age.empty() ? 0 : NowUs() - std::strtoll(age.c_str(), nullptr, 10) * UsPerMs;
    wait.Request.Starting = QueryNumber(call->Target, "start") != 0;
    wait.Request.ReadsStore = QueryNumber(call->Target, "reads") != 0;
    if (!wait.Request.Address.empty() && relay->OnInstanceSeen)
    {
        relay->OnInstanceSeen(wait.Request);
    }
    wait.Request.DataCentre = QueryValue(call->Target, "dataCentre");
    wait.Request.Reader = QueryNumber(call->Target, "contact") != 0;
    const UpdateDecision answer = FanoutDecide(&relay->FollowerLimits, wait.Request, RelayState(*relay, wait.Request), NowUs(), relay->Rng);
    const TimeUs max_wait = static_cast<TimeUs>(QueryNumber(call->Target, "waitMs")) * UsPerMs;
    const bool follows = !wait.Request.FullRead && max_wait >= FollowerWaitMinUs && !wait.Request.Address.empty();
    if (follows && answer.Action != UpdateAction_Redirect && relay->OnFollowerSeen)
    {
        relay->OnFollowerSeen(wait.Request);
    }
    switch (answer.Action)
    {
    case UpdateAction_Redirect:
        Redirect(*relay, call, answer.Elsewhere);
        return;
    case UpdateAction_AskStore:
        HoldRequest(relay, std::move(wait), HoldMaxUs);
        relay->OnAskStore();
        return;
    case UpdateAction_Hold:
        HoldRequest(relay, std::move(wait), max_wait);
        return;
    default:
        Answer(relay, wait);
        return;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Updates from the source
//-----------------------------------------------------------------------------

std::vector<std::string> RelayFollowers(const Relay& relay)
{
    std::vector<std::string> followers;
    for (const auto& entry : relay.HeldRequests)
    {
        if (!entry.second.Request.Address.empty())
        {
            followers.push_back(entry.second.Request.Address);
        }
    }
    return followers;
}

// Answers the held requests that match. Their ids are collected first, as answering may add or remove held requests.
static void AnswerHeldIf(Relay* relay, const std::function<bool(const HeldRequest&)>& matches)
{
    std::vector<uint64_t> ending;
    for (const auto& entry : relay->HeldRequests)
    {
        if (matches(entry.second))
        {
            ending.push_back(entry.first);
        }
    }
    for (const uint64_t id : ending)
    {
        if (relay->HeldRequests.count(id) > 0)
        {
            AnswerHeld(relay, id);
        }
    }
}

// Time as of which the data was known to be current.
static TimeUs DataTimeUs(const Relay& relay)
{
    return NowUs() - (relay.Age ? relay.Age() : 0);
}

// Answers all held requests, except those on whose behalf the store is being asked, and full reads while there is no data.
static void AnswerFollowers(Relay* relay)
{
    relay->AnsweredUs = NowUs();
    relay->AnsweredDataUs = DataTimeUs(*relay);
    AnswerHeldIf(relay,
                 [relay](const HeldRequest& wait) { return !wait.Request.AskStore && (!wait.Request.FullRead || relay->Revision != 0); });
}

// Changes between the current items and a full read at a later revision.
static std::vector<StoreItem> ChangesSince(const Relay& relay, const std::vector<StoreItem>& items, uint64_t at)
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
    if (relay->Revision != 0 && at >= relay->Revision)
    {
        RelayAddChanges(relay, ChangesSince(*relay, all.Items, at), at); // Spares the followers a full read.
        return;
    }
    relay->Items.clear();
    for (const StoreItem& item : all.Items)
    {
        relay->Items[item.Key] = item;
    }
    relay->Revision = at;
    relay->Changes.clear();
    relay->ChangesFrom = at;
    relay->All = all.Packed;
    relay->AllAt = all.Packed.empty() ? 0 : at;
    AnswerFollowers(relay);
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
    relay->Revision = at;
    AnswerFollowers(relay);
}

void RelaySetStoreLost(Relay* relay, TimeUs tried)
{
    const bool before = relay->StoreLost;
    relay->StoreLost = true;
    relay->TriedUs = std::max(relay->TriedUs, tried);
    if (relay->Revision == 0)
    {
        AnswerHeldIf(relay,
                     [](const HeldRequest& wait) { return wait.Request.FullRead && wait.Request.StoreLost && !wait.Request.AskStore; });
        return;
    }
    if (!before || NowUs() >= relay->AnsweredUs + relay->Config.HeartbeatUs)
    {
        AnswerFollowers(relay);
    }
}

void RelaySetStoreAvailable(Relay* relay)
{
    if (relay->StoreLost)
    {
        relay->StoreLost = false;
        AnswerFollowers(relay);
    }
}

void RelayHeartbeat(Relay* relay)
{
    if (DataTimeUs(*relay) >= relay->AnsweredDataUs + relay->Config.HeartbeatUs)
    {
        AnswerFollowers(relay);
    }
}

void RelayAnswerAll(Relay* relay)
{
    AnswerFollowers(relay);
}

void RelayAnswerDelegated(Relay* relay)
{
    AnswerHeldIf(relay, [](const HeldRequest& wait) { return wait.Request.AskStore; });
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
    return ListenerStart(&relay->Server, loop, config, [relay](const ExchangePtr& call) { OnRequest(relay, call); });
}

Relay::~Relay()
{
    ListenerStop(&Server); // Before HeldRequests is destroyed: it holds calls of the listener.
}

} // namespace Winchlink
