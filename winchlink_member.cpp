// winchlink_member.cpp: membership: who else is there, and who of us reads the platform.
//
// Each heartbeat names its sender and a random few of the peers that the sender knows, each with the age of the last sign of life. The
// view keeps the freshest ViewMax peers: for the fleets of today that is everybody, for thousands it is a random part that renews itself
// (the idea of newscast protocols). What a node sends does not depend on the size of the fleet.
//
// Readers of the platform are found by claims: who asks the platform says so in its heartbeats, and whoever hears of enough better
// ranked claims in its own data centre keeps quiet. Claims are about asking, not about being answered: during an outage the number of
// calls stays as low as ever, and readers that fail take turns with others.
//
// Rows that only a few instances serve are the exception: those few must know each other, to lend each other permits, and in a fleet of
// thousands a random view holds none of them. So they keep each other in their views, once heard of, and see to it that they are heard.
//
// Index of this file:
// [SECTION] Replay window
// [SECTION] View
// [SECTION] Readers of the platform

#include "winchlink_internal.h"

#include <algorithm>
#include <cassert>

namespace Winchlink
{

static constexpr size_t TombstonesMax = 1024;
static constexpr size_t SamplesSharing = SamplesMax - 2;   // Places of a heartbeat for peers that its receiver shares a row with.
static constexpr uint32_t NumberUnknown = UINT32_MAX;      // No heartbeat of that peer has come yet.
static constexpr TimeUs WakeGraceUs = 3 * UsPerSecond;     // After a pause a peer must be heard within this time.
static constexpr TimeUs StepInUsPerPeer = UsPerSecond / 8; // The random wait grows with the view, so that few step in at once.

uint32_t HashDataCentre(const std::string& name)
{
    return static_cast<uint32_t>(HashText(name));
}

static uint64_t DrawBelow(Random* random, uint64_t bound)
{
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(*random);
}

//-----------------------------------------------------------------------------
// [SECTION] Replay window
//-----------------------------------------------------------------------------

static Peer* FindPeer(Membership* m, InstanceId id)
{
    auto found = std::find_if(m->Peers.begin(), m->Peers.end(), [&](const Peer& peer) { return peer.Id == id; });
    return found != m->Peers.end() ? &*found : nullptr;
}

static const Tombstone* FindTombstone(const Membership& m, InstanceId id)
{
    auto found = std::find_if(m.Tombstones.begin(), m.Tombstones.end(), [&](const Tombstone& t) { return t.Id == id; });
    return found != m.Tombstones.end() ? &*found : nullptr;
}

// Notes a sequence number. False if it was seen, or is too old to tell.
static bool NoteSequence(Peer* peer, uint64_t sequence)
{
    if (sequence > peer->Sequence)
    {
        const uint64_t shift = sequence - peer->Sequence;
        peer->Seen = shift < ReplayWindow ? peer->Seen << shift : std::bitset<ReplayWindow>();
        peer->Seen.set(0);
        peer->Sequence = sequence;
        return true;
    }
    const uint64_t back = peer->Sequence - sequence;
    if (back >= ReplayWindow || peer->Seen.test(back))
    {
        return false;
    }
    peer->Seen.set(back);
    return true;
}

// Notes that a peer is gone. A peer that came back by rumour only has no sequence number of its own: what an earlier tombstone of the
// same incarnation knows stays in force, or old messages would count again.
static void Bury(Membership* m, const Peer& peer)
{
    Tombstone next = {peer.Id, peer.Incarnation, peer.Sequence};
    auto old = std::find_if(m->Tombstones.begin(), m->Tombstones.end(), [&](const Tombstone& t) { return t.Id == peer.Id; });
    if (old != m->Tombstones.end())
    {
        const bool same = old->Incarnation == next.Incarnation;
        next.Sequence = same ? std::max(old->Sequence, next.Sequence) : next.Sequence;
        m->Tombstones.erase(old);
    }
    m->Tombstones.push_back(next);
    if (m->Tombstones.size() > TombstonesMax)
    {
        m->Tombstones.erase(m->Tombstones.begin());
    }
}

// Whether a message or a rumour of that incarnation can be about a process that may still live.
static bool BuriedSince(const Membership& m, InstanceId id, uint64_t incarnation, uint64_t sequence)
{
    const Tombstone* tombstone = FindTombstone(m, id);
    if (tombstone == nullptr || incarnation > tombstone->Incarnation)
    {
        return false;
    }
    return incarnation < tombstone->Incarnation || sequence <= tombstone->Sequence;
}

//-----------------------------------------------------------------------------
// [SECTION] View
//-----------------------------------------------------------------------------

static bool InAnyRange(const std::vector<NumberRange>& ranges, uint32_t number)
{
    return std::any_of(ranges.begin(), ranges.end(), [number](const NumberRange& range) { return NumberInRange(range, number); });
}

// Whether that number serves a row that we serve with a few others.
static bool SharesARow(const Membership& m, uint32_t number)
{
    return InAnyRange(m.Shared, number);
}

// How long that peer may be unheard of.
static TimeUs TimeoutOf(const Membership& m, uint32_t number)
{
    return SharesARow(m, number) ? m.Config.PeerTimeoutUs * m.Config.SharingTimeouts : m.Config.PeerTimeoutUs;
}

static size_t CountSharing(const Membership& m)
{
    auto shares = [&m](const Peer& peer)
    {
        return SharesARow(m, peer.Number);
    };
    return m.Shared.empty() ? 0 : static_cast<size_t>(std::count_if(m.Peers.begin(), m.Peers.end(), shares));
}

// Which of a full view must go: the one longest unheard of, and peers that share a row only if they are more than half of the view.
static Peer* FindReplaced(Membership* m)
{
    const bool spare_sharing = CountSharing(*m) <= m->Config.ViewMax / 2;
    Peer* oldest = nullptr;
    for (Peer& peer : m->Peers)
    {
        const bool spared = spare_sharing && SharesARow(*m, peer.Number);
        if (!spared && (oldest == nullptr || peer.HeardUs < oldest->HeardUs))
        {
            oldest = &peer;
        }
    }
    assert(oldest != nullptr && "a full view has peers, and at most half of them are spared");
    return oldest;
}

// Adds a peer; in a full view it takes the place of another.
static Peer* AddPeer(Membership* m, const Endpoint& address, uint64_t incarnation, uint32_t number, TimeUs heard)
{
    Peer peer;
    peer.Id = IdOfEndpoint(address);
    peer.Address = address;
    peer.Incarnation = incarnation;
    peer.Number = number;
    peer.HeardUs = heard;
    if (m->Peers.size() < m->Config.ViewMax)
    {
        m->Peers.push_back(peer);
        return &m->Peers.back();
    }
    Peer* replaced = FindReplaced(m);
    if (replaced->HeardUs > heard && !SharesARow(*m, number))
    {
        return nullptr;
    }
    Bury(m, *replaced);
    *replaced = peer;
    return replaced;
}

static void StartIncarnation(Peer* peer, uint64_t incarnation)
{
    peer->Incarnation = incarnation;
    peer->Sequence = 0;
    peer->Seen.reset();
    peer->Direct = false;
    peer->Table = TableVersion();
    peer->State = InstanceState_Joining;
}

bool MembershipHeard(Membership* m, const MessageHead& head, TimeUs now)
{
    if (head.Sender == IdOfEndpoint(m->Config.Self))
    {
        return false; // Our own, reflected; or a second process under our address.
    }
    if (BuriedSince(*m, head.Sender, head.Incarnation, head.Sequence))
    {
        m->ReplaysRefused++;
        return false;
    }
    Peer* peer = FindPeer(m, head.Sender);
    if (peer != nullptr && head.Incarnation < peer->Incarnation)
    {
        m->ReplaysRefused++;
        return false;
    }
    if (peer == nullptr)
    {
        peer = AddPeer(m, head.Address, head.Incarnation, NumberUnknown, now);
    }
    assert(peer != nullptr && "a peer heard right now is never older than the oldest; is your clock going backwards?");
    if (peer == nullptr)
    {
        return false;
    }
    if (head.Incarnation > peer->Incarnation)
    {
        StartIncarnation(peer, head.Incarnation);
    }
    if (!NoteSequence(peer, head.Sequence))
    {
        m->ReplaysRefused++;
        return false;
    }
    peer->HeardUs = now;
    return true;
}

static void MergeSample(Membership* m, const PeerSample& sample, TimeUs now)
{
    const InstanceId id = IdOfEndpoint(sample.Address);
    const TimeUs heard = now - static_cast<TimeUs>(sample.AgeMs) * UsPerMs;
    const bool self = id == IdOfEndpoint(m->Config.Self);
    // A rumour has no sequence number: UINT64_MAX stands for "newer than any", so only the incarnation decides; its age does the rest.
    if (self || heard <= now - TimeoutOf(*m, sample.Number) || BuriedSince(*m, id, sample.Incarnation, UINT64_MAX))
    {
        return;
    }
    Peer* peer = FindPeer(m, id);
    if (peer == nullptr)
    {
        peer = AddPeer(m, sample.Address, sample.Incarnation, sample.Number, heard);
    }
    if (peer == nullptr || sample.Incarnation < peer->Incarnation)
    {
        return;
    }
    if (sample.Incarnation > peer->Incarnation)
    {
        StartIncarnation(peer, sample.Incarnation);
    }
    peer->HeardUs = std::max(peer->HeardUs, heard);
    peer->DataCentre = sample.DataCentre;
    peer->Number = sample.Number;
}

static void MergeClaim(Membership* m, const ReaderClaim& claim)
{
    if (claim.Id == IdOfEndpoint(m->Config.Self))
    {
        return;
    }
    for (ReaderClaim& known : m->Claims)
    {
        if (known.Id == claim.Id)
        {
            known.AgeMs = std::min(known.AgeMs, claim.AgeMs);
            return;
        }
    }
    m->Claims.push_back(claim);
}

static void AgeClaims(Membership* m, TimeUs now)
{
    const TimeUs passed_ms = (now - m->ClaimsUs) / UsPerMs;
    m->ClaimsUs += passed_ms * UsPerMs;
    for (ReaderClaim& claim : m->Claims)
    {
        claim.AgeMs = static_cast<uint32_t>(std::min<TimeUs>(claim.AgeMs + passed_ms, UINT32_MAX));
    }
    const TimeUs most = m->Config.ClaimTimeoutUs / UsPerMs;
    auto stale = [&](const ReaderClaim& claim)
    {
        return claim.AgeMs > most;
    };
    m->Claims.erase(std::remove_if(m->Claims.begin(), m->Claims.end(), stale), m->Claims.end());
}

// Keeps the best ranked few of each data centre; a heartbeat can't name more.
static void TrimClaims(Membership* m)
{
    std::sort(m->Claims.begin(), m->Claims.end(),
              [](const ReaderClaim& a, const ReaderClaim& b)
              { return a.DataCentre != b.DataCentre ? a.DataCentre < b.DataCentre : a.Id < b.Id; });
    std::vector<ReaderClaim> kept;
    int in_row = 0;
    for (const ReaderClaim& claim : m->Claims)
    {
        in_row = !kept.empty() && kept.back().DataCentre == claim.DataCentre ? in_row + 1 : 0;
        if (in_row <= m->Config.ReadersPerDataCentre)
        {
            kept.push_back(claim);
        }
    }
    m->Claims = std::move(kept);
}

void MembershipMerge(Membership* m, const MessageHead& head, const Heartbeat& beat, TimeUs now)
{
    Peer* peer = FindPeer(m, head.Sender);
    assert(peer != nullptr && "call MembershipHeard() first, and drop the message when it says false");
    const bool latest = head.Sequence == peer->Sequence; // One that was overtaken says nothing new of its sender.
    if (latest)
    {
        peer->Direct = true;
        peer->State = beat.State;
        peer->Table = beat.Table;
        peer->DataCentre = beat.DataCentre;
        peer->Number = beat.Number;
    }
    AgeClaims(m, now);
    for (const ReaderClaim& claim : beat.Claims)
    {
        MergeClaim(m, claim);
    }
    TrimClaims(m);
    for (const PeerSample& sample : beat.Samples)
    {
        MergeSample(m, sample, now); // May move peers in the list: don't use `peer` below.
    }
    if (latest && beat.State == InstanceState_Leaving)
    {
        auto leaving = std::find_if(m->Peers.begin(), m->Peers.end(), [&](const Peer& p) { return p.Id == head.Sender; });
        if (leaving != m->Peers.end())
        {
            leaving->Sequence = UINT64_MAX; // Nothing of this incarnation counts any more, rumours included.
            Bury(m, *leaving);
            m->Peers.erase(leaving);
        }
    }
}

void MembershipFollow(Membership* m, const Table& table)
{
    m->Ranges.clear();
    m->Shared.clear();
    for (const ServiceRow& row : table.Rows)
    {
        const NumberRange range = RangeOfRow(row);
        const bool known = std::find(m->Ranges.begin(), m->Ranges.end(), range) != m->Ranges.end();
        if (range.Count > 0 && !known)
        {
            m->Ranges.push_back(range);
        }
    }
    std::copy_if(m->Ranges.begin(), m->Ranges.end(), std::back_inserter(m->Shared),
                 [m](const NumberRange& range) { return NumberInRange(range, m->Config.Number); });
}

void MembershipExpire(Membership* m, TimeUs now)
{
    AgeClaims(m, now);
    for (size_t n = m->Peers.size(); n-- > 0;)
    {
        if (m->Peers[n].HeardUs <= now - TimeoutOf(*m, m->Peers[n].Number))
        {
            Bury(m, m->Peers[n]);
            m->Peers.erase(m->Peers.begin() + static_cast<std::ptrdiff_t>(n));
        }
    }
}

void MembershipForgetAges(Membership* m, TimeUs now)
{
    for (Peer& peer : m->Peers)
    {
        peer.HeardUs = now - TimeoutOf(*m, peer.Number) + WakeGraceUs;
    }
    m->Claims.clear();
    m->ClaimsUs = now;
}

// One of the peers that share a row with us, so that they go on hearing of us however large the fleet is.
static std::optional<Endpoint> PickSharing(const Membership& m, Random* random)
{
    std::vector<Endpoint> sharing;
    for (const Peer& peer : m.Peers)
    {
        if (SharesARow(m, peer.Number))
        {
            sharing.push_back(peer.Address);
        }
    }
    if (sharing.empty())
    {
        return std::nullopt;
    }
    return sharing[DrawBelow(random, sharing.size())];
}

std::vector<Endpoint> MembershipPick(const Membership& m, size_t count, Random* random)
{
    std::vector<Endpoint> all;
    for (const Peer& peer : m.Peers)
    {
        all.push_back(peer.Address);
    }
    if (all.size() < count)
    {
        for (const Endpoint& seed : m.Seeds)
        {
            const bool known = std::find(all.begin(), all.end(), seed) != all.end();
            if (!known && !(seed == m.Config.Self))
            {
                all.push_back(seed);
            }
        }
    }
    std::shuffle(all.begin(), all.end(), *random);
    const std::optional<Endpoint> sharing = PickSharing(m, random);
    if (sharing && !all.empty())
    {
        std::iter_swap(all.begin(), std::find(all.begin(), all.end(), *sharing));
    }
    all.resize(std::min(all.size(), count));
    return all;
}

static uint32_t NumberOf(const Membership& m, const Endpoint& address)
{
    auto found = std::find_if(m.Peers.begin(), m.Peers.end(), [&](const Peer& peer) { return peer.Address == address; });
    return found != m.Peers.end() ? found->Number : NumberUnknown;
}

std::vector<PeerSample> MembershipSamples(const Membership& m, const Endpoint& to, TimeUs now, Random* random)
{
    std::vector<const Peer*> peers;
    for (const Peer& peer : m.Peers)
    {
        if (!(peer.Address == to))
        {
            peers.push_back(&peer);
        }
    }
    std::shuffle(peers.begin(), peers.end(), *random);
    std::vector<NumberRange> ranges;
    const uint32_t number = NumberOf(m, to);
    std::copy_if(m.Ranges.begin(), m.Ranges.end(), std::back_inserter(ranges),
                 [number](const NumberRange& range) { return NumberInRange(range, number); });
    size_t front = 0;
    for (size_t n = 0; n < peers.size() && front < SamplesSharing && !ranges.empty(); n++)
    {
        if (InAnyRange(ranges, peers[n]->Number))
        {
            std::swap(peers[n], peers[front++]);
        }
    }
    peers.resize(std::min(peers.size(), SamplesMax));
    std::vector<PeerSample> samples;
    for (const Peer* peer : peers)
    {
        const TimeUs age_ms = std::max<TimeUs>((now - peer->HeardUs) / UsPerMs, 0);
        samples.push_back({peer->Address, peer->Incarnation, static_cast<uint32_t>(age_ms), peer->DataCentre, peer->Number});
    }
    return samples;
}

void MembershipFill(const Membership& m, Heartbeat* beat, TimeUs now)
{
    beat->Claims = m.Claims;
    const TimeUs drift_ms = (now - m.ClaimsUs) / UsPerMs;
    for (ReaderClaim& claim : beat->Claims)
    {
        claim.AgeMs = static_cast<uint32_t>(std::min<TimeUs>(claim.AgeMs + drift_ms, UINT32_MAX));
    }
    beat->Claims.resize(std::min(beat->Claims.size(), ClaimsMax - 1));
    const bool claims = m.AskedUs != 0 && now - m.AskedUs < m.Config.ClaimTimeoutUs;
    if (claims)
    {
        beat->Claims.push_back(
            {IdOfEndpoint(m.Config.Self), HashDataCentre(m.Config.DataCentre), static_cast<uint32_t>((now - m.AskedUs) / UsPerMs)});
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Readers of the platform
//-----------------------------------------------------------------------------

// Claims of our data centre that rank before us.
static int BetterClaims(const Membership& m)
{
    const uint32_t data_centre = HashDataCentre(m.Config.DataCentre);
    const InstanceId self = IdOfEndpoint(m.Config.Self);
    auto better = [&](const ReaderClaim& claim)
    {
        return claim.DataCentre == data_centre && claim.Id < self;
    };
    return static_cast<int>(std::count_if(m.Claims.begin(), m.Claims.end(), better));
}

static int AnyClaims(const Membership& m)
{
    const uint32_t data_centre = HashDataCentre(m.Config.DataCentre);
    auto same = [&](const ReaderClaim& claim)
    {
        return claim.DataCentre == data_centre;
    };
    return static_cast<int>(std::count_if(m.Claims.begin(), m.Claims.end(), same));
}

bool MembershipShouldRead(Membership* m, TimeUs now, Random* random)
{
    AgeClaims(m, now);
    if (now < m->RestUntilUs && !m->Peers.empty())
    {
        return false;
    }
    const int readers = m->Config.ReadersPerDataCentre;
    if (BetterClaims(*m) >= readers)
    {
        m->AskedUs = 0;
        m->StepInUs = 0;
        return false;
    }
    if (m->AskedUs != 0)
    {
        return true; // We read already, and not too many rank before us.
    }
    if (AnyClaims(*m) >= readers)
    {
        m->StepInUs = 0;
        return false; // Enough do it already; a better rank is no reason to change readers.
    }
    if (m->StepInUs == 0)
    {
        const TimeUs span = UsPerSecond / 4 + static_cast<TimeUs>(m->Peers.size()) * StepInUsPerPeer;
        m->StepInUs = now + static_cast<TimeUs>(DrawBelow(random, static_cast<uint64_t>(span)));
    }
    return now >= m->StepInUs;
}

void MembershipAsked(Membership* m, TimeUs now)
{
    m->AskedUs = now;
    m->StepInUs = 0;
}

void MembershipAnswered(Membership* m, bool ok, TimeUs now)
{
    if (ok)
    {
        m->FailingSinceUs = 0;
        return;
    }
    if (m->FailingSinceUs == 0)
    {
        m->FailingSinceUs = now;
    }
    const bool failing = now - m->FailingSinceUs >= m->Config.FailingUs;
    if (failing && !m->Peers.empty())
    {
        m->RestUntilUs = now + m->Config.RestUs;
        m->FailingSinceUs = 0;
        m->AskedUs = 0;
    }
}

} // namespace Winchlink
