// winchlink_peers.cpp: other instances that take over requests: who is known, and which of them gets a request.
//
// Index of this file:
// [SECTION] What is known
// [SECTION] Encoding
// [SECTION] Picking a peer
// [SECTION] Outcomes

#include "winchlink_internal.h"

#include <algorithm>
#include <cassert>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] What is known
//-----------------------------------------------------------------------------

const char* PeerEndName(PeerEnd_ end)
{
    static const std::array<const char*, PeerEnd_COUNT> names = {"none", "answered", "no_path", "full", "not_connected", "failed"};
    assert(end >= 0 && end < PeerEnd_COUNT && "not an outcome of a handoff");
    return names[end];
}

static bool IsExpired(const Peers& peers, const Peer& peer, TimeUs now)
{
    return now >= peer.HeardUs + peers.Config.ExpiryUs;
}

static void RemoveExpired(Peers* peers, TimeUs now)
{
    for (auto entry = peers->Known.begin(); entry != peers->Known.end();)
    {
        const bool removable = entry->second.InFlight == 0 && IsExpired(*peers, entry->second, now);
        entry = removable ? peers->Known.erase(entry) : std::next(entry);
    }
}

// Removes the peer that was heard longest ago, except those with requests of this instance.
static void RemoveOldest(Peers* peers)
{
    auto oldest = peers->Known.end();
    for (auto entry = peers->Known.begin(); entry != peers->Known.end(); ++entry)
    {
        const bool older = oldest == peers->Known.end() || entry->second.HeardUs < oldest->second.HeardUs;
        oldest = entry->second.InFlight == 0 && older ? entry : oldest;
    }
    if (oldest != peers->Known.end())
    {
        peers->Known.erase(oldest);
    }
}

void PeersHeard(Peers* peers, const PeerUpdate& update, TimeUs now)
{
    const TimeUs heard = now - std::max<TimeUs>(update.AgeUs, 0);
    const bool plausible = IsAddress(update.Address) && update.Address != peers->Own && now < heard + peers->Config.ExpiryUs;
    const auto found = peers->Known.find(update.Address);
    if (!plausible || (found != peers->Known.end() && found->second.HeardUs >= heard))
    {
        return;
    }
    Peer& peer = peers->Known[update.Address];
    if (update.HasPath && !peer.HasPath)
    {
        peer.NoPath.clear(); // It has regained its path since it refused.
    }
    if (peer.FailedUs > 0 && heard > peer.FailedUs)
    {
        peer.FailedUs = 0; // It runs again.
        peer.UnusableUntilUs = 0;
    }
    peer.DataCentre = update.DataCentre;
    peer.HeardUs = heard;
    peer.HasPath = update.HasPath;
    if (peers->Known.size() > peers->Config.PeersMax)
    {
        RemoveExpired(peers, now);
    }
    if (peers->Known.size() > peers->Config.PeersMax)
    {
        RemoveOldest(peers);
    }
}

bool PeersNewsDue(Peers* peers, const std::string& source, bool has_path, TimeUs now)
{
    const PeerConfig& config = peers->Config;
    for (auto entry = peers->News.begin(); entry != peers->News.end();)
    {
        const bool old = now >= entry->second.DueUs + config.ExpiryUs;
        entry = old ? peers->News.erase(entry) : std::next(entry);
    }
    PeerNews& news = peers->News[source];
    if (now < news.DueUs && news.HasPath == has_path)
    {
        return false;
    }
    news.DelayUs = news.DelayUs == 0 ? config.NewsMinUs : std::min(2 * news.DelayUs, config.NewsMaxUs);
    news.DueUs = now + news.DelayUs;
    news.HasPath = has_path;
    return true;
}

void PeersSourceFailed(Peers* peers, const std::string& source)
{
    peers->News.erase(source);
}

std::vector<PeerUpdate> PeersNews(const Peers& peers, const std::string& except, bool has_path, TimeUs now, Random* random)
{
    std::vector<PeerUpdate> all;
    for (const auto& [address, peer] : peers.Known)
    {
        const bool is_source = peers.News.count(address) > 0; // All its followers know it already.
        if (address != except && !is_source && !IsExpired(peers, peer, now))
        {
            all.push_back({address, peer.DataCentre, now - peer.HeardUs, peer.HasPath});
        }
    }
    std::vector<PeerUpdate> news = {{peers.Own, peers.DataCentre, 0, has_path}};
    std::sample(all.begin(), all.end(), std::back_inserter(news), peers.Config.SampleSize, *random);
    return news;
}

//-----------------------------------------------------------------------------
// [SECTION] Encoding
//-----------------------------------------------------------------------------

// Four bytes of the IP, two of the port, two of the data centre, one of the age; its highest bit is set if there is no path.
static constexpr size_t UpdateBytes = 9;
static constexpr TimeUs AgeUnitUs = UsPerSecond; // Unit of an encoded age.
static constexpr TimeUs AgeMax = 127;            // Largest encoded age.
static constexpr uint8_t NoPathBit = 0x80;

uint16_t PeerDataCentre(const std::string& name)
{
    constexpr uint64_t mask = 0xffff;
    return static_cast<uint16_t>(HashId("winchlink data centre", name) & mask);
}

static void AppendBytes(std::string* out, uint64_t number, int bytes)
{
    for (int n = bytes - 1; n >= 0; n--)
    {
        *out += static_cast<char>(number >> (8 * n));
    }
}

static uint64_t BytesAt(const std::string& bytes, size_t from, size_t count)
{
    uint64_t number = 0;
    for (size_t n = 0; n < count; n++)
    {
        number = number << 8 | static_cast<uint8_t>(bytes[from + n]);
    }
    return number;
}

std::string EncodePeers(const std::vector<PeerUpdate>& updates)
{
    std::string out;
    for (const PeerUpdate& update : updates)
    {
        const Result<Endpoint> endpoint = ParseEndpoint(update.Address);
        if (endpoint)
        {
            const auto age = static_cast<uint8_t>(std::min((update.AgeUs + AgeUnitUs - 1) / AgeUnitUs, AgeMax));
            AppendBytes(&out, endpoint.value().Ip, 4);
            AppendBytes(&out, endpoint.value().Port, 2);
            AppendBytes(&out, update.DataCentre, 2);
            AppendBytes(&out, age | (update.HasPath ? 0 : NoPathBit), 1);
        }
    }
    return out;
}

std::vector<PeerUpdate> DecodePeers(const std::string& bytes)
{
    std::vector<PeerUpdate> updates;
    for (size_t at = 0; at + UpdateBytes <= bytes.size(); at += UpdateBytes)
    {
        const Endpoint endpoint = {static_cast<uint32_t>(BytesAt(bytes, at, 4)), static_cast<uint16_t>(BytesAt(bytes, at + 4, 2))};
        const auto last = static_cast<uint8_t>(bytes[at + UpdateBytes - 1]);
        PeerUpdate update;
        update.Address = FormatEndpoint(endpoint);
        update.DataCentre = static_cast<uint16_t>(BytesAt(bytes, at + 6, 2));
        update.AgeUs = (last & ~NoPathBit) * AgeUnitUs;
        update.HasPath = (last & NoPathBit) == 0;
        updates.push_back(update);
    }
    return updates;
}

//-----------------------------------------------------------------------------
// [SECTION] Picking a peer
//-----------------------------------------------------------------------------

static bool IsUsable(const Peers& peers, const Peer& peer, const std::string& service, TimeUs now)
{
    const auto refusal = peer.NoPath.find(service);
    const bool refuses = refusal != peer.NoPath.end() && now < refusal->second.UntilUs;
    return !refuses && now >= peer.UnusableUntilUs && !IsExpired(peers, peer, now);
}

// Peers of a data centre that the request was offered to.
static int CountPassed(const Peers& peers, uint16_t data_centre, const std::vector<std::string>& passed)
{
    const auto is_there = [&](const std::string& address)
    {
        const auto found = peers.Known.find(address);
        return found != peers.Known.end() && found->second.DataCentre == data_centre;
    };
    return static_cast<int>(std::count_if(passed.begin(), passed.end(), is_there));
}

// Lower is better: whether the peer is known to take requests, whether it is a source, then where it is. Sources come late, as all their
// followers know them.
using PeerRank = std::tuple<int, bool, int>;

static bool IsKnownGood(const Peers& peers, const Peer& peer, TimeUs now)
{
    const PeerConfig& config = peers.Config;
    return peer.TookUs > 0 && now < peer.TookUs + config.KnownGoodUs && peer.InFlight < config.KnownGoodInFlightMax && peer.HasPath;
}

static PeerRank RankOf(const Peers& peers, const std::pair<const std::string, Peer>& entry, const std::vector<std::string>& passed,
                       bool good_first)
{
    const Peer& peer = entry.second;
    const int far = peer.DataCentre == peers.DataCentre ? 0 : 1;
    const int group = peer.HasPath ? (good_first ? 0 : 1) : 2;
    return {group, peers.News.count(entry.first) > 0, passed.empty() ? far : CountPassed(peers, peer.DataCentre, passed)};
}

std::string PeersPick(const Peers& peers, const std::string& service, const std::vector<std::string>& passed, TimeUs now, Random* random)
{
    const auto is_good = [&](const auto& entry)
    {
        return IsKnownGood(peers, entry.second, now);
    };
    const bool enough_good = std::count_if(peers.Known.begin(), peers.Known.end(), is_good) >= peers.Config.KnownGoodMin || !passed.empty();
    std::vector<const std::pair<const std::string, Peer>*> best;
    PeerRank best_rank;
    for (const auto& entry : peers.Known)
    {
        const bool was_passed = std::find(passed.begin(), passed.end(), entry.first) != passed.end();
        if (was_passed || !IsUsable(peers, entry.second, service, now))
        {
            continue;
        }
        const PeerRank rank = RankOf(peers, entry, passed, enough_good && is_good(entry));
        if (best.empty() || rank < best_rank)
        {
            best.clear();
            best_rank = rank;
        }
        if (rank == best_rank)
        {
            best.push_back(&entry);
        }
    }
    if (best.empty())
    {
        return "";
    }
    std::uniform_int_distribution<size_t> draw(0, best.size() - 1);
    const auto* first = best[draw(*random)];
    const auto* second = best[draw(*random)];
    const auto load = [](const Peer& peer)
    {
        return peer.InFlight + peer.Load;
    };
    return load(first->second) <= load(second->second) ? first->first : second->first;
}

std::vector<std::string> PeersDraw(const Peers& peers, uint16_t data_centre, size_t count, TimeUs now, Random* random)
{
    std::vector<std::string> recent;
    std::vector<std::string> others;
    for (const auto& [address, peer] : peers.Known)
    {
        if (peer.DataCentre == data_centre && now >= peer.UnusableUntilUs && !IsExpired(peers, peer, now))
        {
            const bool is_recent = peer.FailedUs == 0 && now < peer.HeardUs + peers.Config.RecentUs;
            (is_recent ? recent : others).push_back(address);
        }
    }
    std::vector<std::string> drawn;
    std::sample(recent.begin(), recent.end(), std::back_inserter(drawn), count, *random);
    std::sample(others.begin(), others.end(), std::back_inserter(drawn), count - drawn.size(), *random);
    return drawn;
}

std::vector<uint16_t> PeersDataCentres(const Peers& peers)
{
    std::set<uint16_t> others;
    for (const auto& entry : peers.Known)
    {
        others.insert(entry.second.DataCentre);
    }
    others.erase(peers.DataCentre);
    return {others.begin(), others.end()};
}

std::vector<PeerUpdate> PeersRecommend(const Peers& peers, TimeUs now, Random* random)
{
    std::vector<PeerUpdate> good;
    for (const auto& [address, peer] : peers.Known)
    {
        if (IsKnownGood(peers, peer, now))
        {
            good.push_back({address, peer.DataCentre, now - peer.HeardUs, true});
        }
    }
    std::vector<PeerUpdate> drawn;
    std::sample(good.begin(), good.end(), std::back_inserter(drawn), peers.Config.RecommendedMax, *random);
    return drawn;
}

void PeersRecommended(Peers* peers, const std::vector<PeerUpdate>& updates, TimeUs now)
{
    const auto is_good = [&](const auto& entry)
    {
        return IsKnownGood(*peers, entry.second, now);
    };
    const bool needs_some = std::none_of(peers->Known.begin(), peers->Known.end(), is_good);
    for (const PeerUpdate& update : updates)
    {
        PeersHeard(peers, update, now);
        const auto found = peers->Known.find(update.Address);
        if (needs_some && found != peers->Known.end() && found->second.TookUs == 0 && found->second.NoPath.empty())
        {
            found->second.TookUs = now;
        }
    }
}

bool PeersAny(const Peers& peers, const std::string& service, TimeUs now)
{
    return std::any_of(peers.Known.begin(), peers.Known.end(),
                       [&](const auto& entry) { return IsUsable(peers, entry.second, service, now); });
}

bool PeersMayTake(const Peers& peers, int taken, int own)
{
    return taken < peers.Config.TakenMin + peers.Config.TakenFactor * own;
}

//-----------------------------------------------------------------------------
// [SECTION] Outcomes
//-----------------------------------------------------------------------------

static Peer* Find(Peers* peers, const std::string& address)
{
    const auto found = peers->Known.find(address);
    return found != peers->Known.end() ? &found->second : nullptr;
}

void PeersLoad(Peers* peers, const std::string& address, int load)
{
    Peer* peer = Find(peers, address);
    if (peer != nullptr)
    {
        peer->Load = load;
    }
}

void PeersSent(Peers* peers, const std::string& address)
{
    Peer* peer = Find(peers, address);
    assert(peer != nullptr && "the peer is not known; take one that PeersPick() returned");
    peer->InFlight++;
}

void PeersWithoutPath(Peers* peers, const std::string& address, const std::string& service, TimeUs now)
{
    Peer* peer = Find(peers, address);
    if (peer == nullptr)
    {
        return;
    }
    PeerRefusal& refusal = peer->NoPath[service];
    if (now < refusal.UntilUs)
    {
        return; // Refusals of requests that were sent together count once.
    }
    const PeerConfig& config = peers->Config;
    const TimeUs share = static_cast<TimeUs>(peers->Known.size()) * config.NoPathShareUs;
    const TimeUs longest = std::clamp(share, config.NoPathMinUs, config.NoPathMaxUs);
    const bool recent = refusal.DelayUs > 0 && now < refusal.UntilUs + config.NoPathMaxUs;
    refusal.DelayUs = std::min(recent ? 2 * refusal.DelayUs : config.NoPathUs, longest);
    refusal.UntilUs = now + refusal.DelayUs;
    peer->TookUs = 0;
}

static void OnPeerResponded(Peer* peer, TimeUs now)
{
    peer->AnsweredUs = now;
    peer->FailedUs = 0;
    peer->FailedDelayUs = 0;
}

static void OnPeerFailed(Peer* peer, TimeUs delay, TimeUs now)
{
    peer->FailedUs = now;
    peer->TookUs = 0;
    peer->UnusableUntilUs = std::max(peer->UnusableUntilUs, now + delay);
}

static void OnPeerNotConnected(const PeerConfig& config, Peer* peer, TimeUs now)
{
    if (now < peer->UnusableUntilUs)
    {
        return; // Failures of requests that were sent together count once.
    }
    const bool recent = peer->FailedDelayUs > 0 && now < peer->UnusableUntilUs + config.FailedUs;
    peer->FailedDelayUs = recent ? std::min(2 * peer->FailedDelayUs, config.FailedUs) : config.NotConnectedUs;
    OnPeerFailed(peer, peer->FailedDelayUs, now);
}

void PeersEnded(Peers* peers, const std::string& address, const std::string& service, PeerEnd_ end, TimeUs now)
{
    peers->Ended[end]++;
    Peer* peer = Find(peers, address);
    if (peer == nullptr)
    {
        return;
    }
    peer->InFlight -= peer->InFlight > 0 ? 1 : 0;
    switch (end)
    {
    case PeerEnd_Answered:
        OnPeerResponded(peer, now);
        peer->TookUs = now;
        peer->NoPath.erase(service);
        return;
    case PeerEnd_NoPath:
        OnPeerResponded(peer, now);
        PeersWithoutPath(peers, address, service, now);
        return;
    case PeerEnd_Full:
        OnPeerResponded(peer, now);
        peer->UnusableUntilUs = std::max(peer->UnusableUntilUs, now + peers->Config.FullUs);
        return;
    case PeerEnd_NotConnected:
        OnPeerNotConnected(peers->Config, peer, now);
        return;
    case PeerEnd_Failed:
        OnPeerFailed(peer, peers->Config.FailedUs, now);
        return;
    default:
        return;
    }
}

} // namespace Winchlink
