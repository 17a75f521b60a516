// winchlink_permit.cpp: permits: a row's limit on concurrent work, shared by the fleet without a view of it.
//
// Ownership follows from the number alone and never moves; only the use of a permit is lent, for a term. The borrower counts the term from
// when it asked, the lender from when it answered, which is later, so the borrower's ends first without any common clock. What is lost
// when messages are lost is freshness of use, never the limit: a lender that hears nothing waits for its term.
//
// Index of this file:
// [SECTION] Shares
// [SECTION] Taking and giving back
// [SECTION] Borrowing
// [SECTION] Lending
// [SECTION] Ends

#include "winchlink_internal.h"

#include <algorithm>
#include <cassert>

namespace Winchlink
{

static constexpr int DefaultConcurrentPerSlot = 3;   // Row limit where the table names none.
static constexpr int TermPerDeadline = 2;            // Terms are so many times the row's deadline.
static constexpr TimeUs TermLeastUs = 500 * UsPerMs; // Shorter leases would cost more messages than they move permits.
static constexpr int ClockDriftPart = 64;            // A borrower's term is shorter by this part: clocks' rates differ by less.
static constexpr TimeUs AnswerUs = 20 * UsPerMs;     // A peer that has not answered by then is passed over.
static constexpr TimeUs AskForgetUs = 500 * UsPerMs; // A later answer counts for nothing.
static constexpr TimeUs FullUs = 25 * UsPerMs;       // After a round without a lease, rest for so long.
static constexpr TimeUs HintUs = 1 * UsPerSecond;    // What a peer said that it could spare is believed for so long.
static constexpr TimeUs RecentUs = 1 * UsPerSecond;  // A row used within this time keeps one own permit unlent.
static constexpr TimeUs IdleUs = 100 * UsPerMs;      // A lease unused for so long is given back.
static constexpr TimeUs ChunkUs = 500 * UsPerMs;     // Leases that follow each other faster are asked for in larger chunks.
static constexpr int ChunkMost = 8;                  // Largest chunk.
static constexpr int AsksAtOnce = 2;                 // Peers asked side by side.
static constexpr int TriesOfRound = 6;               // Peers asked before it is clear that none can spare any.
static constexpr size_t HintsMax = 64;               // Peers whose word is remembered.
static constexpr size_t LentMax = 256;               // Leases given at once.

//-----------------------------------------------------------------------------
// [SECTION] Shares
//-----------------------------------------------------------------------------

int PermitLimit(const ServiceRow& row)
{
    if (row.MaxConcurrent > 0)
    {
        return row.MaxConcurrent;
    }
    int slots = 0;
    for (const TargetRow& target : row.Targets)
    {
        slots += target.Slots;
    }
    return slots * DefaultConcurrentPerSlot;
}

// All shares add up to the limit. What does not divide goes to other numbers in each row.
static int ShareOf(int limit, uint64_t row, const RowPlace& place)
{
    if (!place.Serves)
    {
        return 0;
    }
    const auto count = static_cast<int>(place.Count);
    const auto turned = static_cast<int>((place.Place + row % place.Count) % place.Count);
    return limit / count + (turned < limit % count ? 1 : 0);
}

// Whether the row is shared by other numbers than before, so that another may still hold what is ours now.
static bool Moved(const RowPlace& before, const RowPlace& after)
{
    return before.Serves != after.Serves || before.Count != after.Count || (after.Serves && before.Place != after.Place);
}

void PermitsFollow(Permits* p, const ServiceRow& row, const PermitConfig& config, TimeUs now)
{
    assert(config.Number < config.Numbers && "numbers run from 0 to Numbers - 1");
    const bool fresh = p->Limit == 0;
    const RowPlace before = p->Place;
    const int own_before = PermitsOwn(*p, now);
    p->Config = config;
    p->Row = HashText(row.Name);
    p->LastAskId = p->LastAskId == 0 ? config.FirstAskId : p->LastAskId;
    p->Limit = PermitLimit(row);
    p->Range = RangeOfRow(row);
    p->Place = PlaceInRow(row, config.Number, config.Numbers);
    p->Share = ShareOf(p->Limit, p->Row, p->Place);
    p->TermUs = std::clamp(row.DeadlineMs * UsPerMs * TermPerDeadline, TermLeastUs, PermitTermMostUs);
    if (!fresh && Moved(before, p->Place))
    {
        p->ShareBefore = own_before;
        p->GrowsUs = now + TableSpreadUs + PermitTermMostUs; // The others learn of it, and what they lent comes back.
    }
}

int PermitsOwn(const Permits& p, TimeUs now)
{
    const int whole = p.Place.Serves && p.Limit > 0 ? std::max(p.Share, 1) : 0;
    return now < p.GrowsUs ? std::min(whole, p.ShareBefore) : whole;
}

TimeUs PermitsOwnFrom(const Permits& p)
{
    const bool may_have_lent = p.Place.Count > 1 && p.Share > 0;
    return may_have_lent ? p.Config.StartedUs + p.TermUs : p.Config.StartedUs;
}

static int LentNow(const Permits& p, TimeUs now)
{
    int sum = 0;
    for (const LentPermits& lent : p.Lent)
    {
        sum += now < lent.UntilUs ? lent.Count : 0;
    }
    return sum;
}

// Own permits that nobody uses. Negative for a while after an edit that lowers the limit.
static int IdleOwn(const Permits& p, TimeUs now)
{
    return now >= PermitsOwnFrom(p) ? PermitsOwn(p, now) - p.InUse - LentNow(p, now) : 0;
}

int PermitsIdle(const Permits& p, TimeUs now)
{
    return std::max(0, IdleOwn(p, now));
}

//-----------------------------------------------------------------------------
// [SECTION] Taking and giving back
//-----------------------------------------------------------------------------

static BorrowedPermits* UsableLease(Permits* p, TimeUs deadline, TimeUs now)
{
    for (BorrowedPermits& lease : p->Borrowed)
    {
        if (lease.InUse < lease.Count && now < lease.UntilUs && deadline <= lease.UntilUs)
        {
            return &lease;
        }
    }
    return nullptr;
}

Permit PermitsTake(Permits* p, TimeUs deadline, TimeUs now)
{
    p->UsedUs = now;
    Permit permit;
    BorrowedPermits* lease = nullptr;
    if (IdleOwn(*p, now) > 0)
    {
        p->InUse++;
        permit.Kind = PermitKind_Own;
    }
    else if ((lease = UsableLease(p, deadline, now)) != nullptr)
    {
        lease->InUse++;
        lease->UsedUs = now;
        permit.Kind = PermitKind_Borrowed;
        permit.AskId = lease->AskId;
    }
    p->Ahead = p->Ahead || (IdleOwn(*p, now) <= 0 && UsableLease(p, deadline, now) == nullptr);
    return permit;
}

void PermitsGive(Permits* p, const Permit& permit, TimeUs now)
{
    assert(permit.Kind != PermitKind_None && "there is nothing to give back");
    if (permit.Kind == PermitKind_Own)
    {
        assert(p->InUse > 0 && "a permit was given back twice");
        p->InUse--;
        return;
    }
    for (BorrowedPermits& lease : p->Borrowed)
    {
        if (lease.AskId == permit.AskId)
        {
            assert(lease.InUse > 0 && "a permit was given back twice");
            lease.InUse--;
            lease.UsedUs = now;
            return;
        }
    }
    assert(false && "a lease stays until its last permit is given back");
}

//-----------------------------------------------------------------------------
// [SECTION] Borrowing
//-----------------------------------------------------------------------------

static bool AskedOfLate(const Permits& p, const Endpoint& peer, TimeUs now)
{
    auto recent = [&](const PermitAsk& ask)
    {
        return ask.To == peer && now - ask.SentUs < AnswerUs;
    };
    return std::any_of(p.Asks.begin(), p.Asks.end(), recent);
}

static PermitHint* FindHint(Permits* p, const Endpoint& peer)
{
    auto found = std::find_if(p->Hints.begin(), p->Hints.end(), [&](const PermitHint& hint) { return hint.Peer == peer; });
    return found != p->Hints.end() ? &*found : nullptr;
}

// The peer that said it could spare most; else one that has said nothing of late.
static const Endpoint* BestLender(Permits* p, const std::vector<Endpoint>& peers, TimeUs now)
{
    const Endpoint* best = nullptr;
    int best_idle = 0;
    for (const Endpoint& peer : peers)
    {
        const PermitHint* hint = FindHint(p, peer);
        const bool told = hint != nullptr && now - hint->ToldUs < (hint->Idle > 0 ? HintUs : FullUs);
        const int idle = told ? hint->Idle : 1;
        if (idle > best_idle && !AskedOfLate(*p, peer, now))
        {
            best = &peer;
            best_idle = idle;
        }
    }
    return best;
}

static void EndRound(Permits* p, TimeUs now)
{
    p->Tries = 0;
    p->Ahead = false;
    p->FullUntilUs = now + FullUs;
}

static int AsksInProgress(const Permits& p, TimeUs now)
{
    return static_cast<int>(std::count_if(p.Asks.begin(), p.Asks.end(), [&](const PermitAsk& ask) { return now - ask.SentUs < AnswerUs; }));
}

std::optional<PermitAskOut> PermitsNextAsk(Permits* p, const std::vector<Endpoint>& peers, TimeUs now)
{
    const int want = std::max(p->Waiting, p->Ahead ? p->Chunk : 0);
    const int in_progress = AsksInProgress(*p, now);
    if (want == 0 || now < p->FullUntilUs || in_progress >= AsksAtOnce)
    {
        return std::nullopt;
    }
    const Endpoint* peer = p->Tries < TriesOfRound ? BestLender(p, peers, now) : nullptr;
    if (peer == nullptr)
    {
        if (in_progress == 0)
        {
            EndRound(p, now);
        }
        return std::nullopt;
    }
    p->Tries++;
    PermitAskOut out;
    out.To = *peer;
    out.Ask.Row = p->Row;
    out.Ask.AskId = ++p->LastAskId;
    out.Ask.Want = static_cast<uint16_t>(std::min<int>(want, UINT16_MAX));
    p->Asks.push_back({*peer, out.Ask.AskId, want, now});
    return out;
}

void PermitsCantAsk(Permits* p, TimeUs now)
{
    const bool wants = p->Waiting > 0 || p->Ahead;
    if (wants && now >= p->FullUntilUs && AsksInProgress(*p, now) == 0)
    {
        EndRound(p, now);
    }
}

static void NoteHint(Permits* p, const Endpoint& peer, int idle, TimeUs now)
{
    PermitHint* hint = FindHint(p, peer);
    if (hint == nullptr)
    {
        if (p->Hints.size() >= HintsMax)
        {
            p->Hints.erase(p->Hints.begin());
        }
        p->Hints.push_back({peer, 0, 0});
        hint = &p->Hints.back();
    }
    hint->Idle = idle;
    hint->ToldUs = now;
}

bool PermitsLease(Permits* p, const MessageHead& from, const PermitReply& reply, TimeUs now)
{
    auto asked = std::find_if(p->Asks.begin(), p->Asks.end(),
                              [&](const PermitAsk& ask) { return ask.AskId == reply.AskId && ask.To == from.Address; });
    if (asked == p->Asks.end())
    {
        return false; // We never asked, or too long ago.
    }
    const PermitAsk ask = *asked;
    p->Asks.erase(asked);
    NoteHint(p, from.Address, reply.Idle, now);
    const TimeUs term = std::min<TimeUs>(reply.TermMs * UsPerMs, PermitTermMostUs);
    const TimeUs until = ask.SentUs + term - term / ClockDriftPart;
    const int count = std::min<int>(reply.Count, ask.Want);
    if (count <= 0 || now >= until)
    {
        return false;
    }
    p->Borrowed.push_back({from.Address, ask.AskId, count, 0, until, now});
    p->LeasesTaken++;
    p->Chunk = now - p->LeasedUs < ChunkUs ? std::min(p->Chunk * 2, ChunkMost) : 1;
    p->LeasedUs = now;
    p->Tries = 0;
    p->Ahead = false;
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Lending
//-----------------------------------------------------------------------------

PermitReply PermitsLend(Permits* p, const MessageHead& from, const PermitRequest& ask, TimeUs now)
{
    PermitReply reply;
    reply.Row = ask.Row;
    reply.AskId = ask.AskId;
    reply.TermMs = static_cast<uint32_t>(p->TermUs / UsPerMs);
    const int kept = now - p->UsedUs < RecentUs && p->UsedUs != 0 ? 1 : 0;
    const int spare = p->Share > 0 && p->Lent.size() < LentMax ? std::max(0, IdleOwn(*p, now) - kept) : 0;
    const int count = std::min<int>(ask.Want, spare);
    if (count > 0)
    {
        p->Lent.push_back({from.Sender, from.Incarnation, ask.AskId, count, now + p->TermUs});
        p->LeasesGiven++;
    }
    reply.Count = static_cast<uint16_t>(count);
    reply.Idle = static_cast<uint16_t>(std::min<int>(spare - count, UINT16_MAX));
    return reply;
}

void PermitsReturned(Permits* p, const MessageHead& from, const PermitReturn& returned)
{
    auto is_it = [&](const LentPermits& lent)
    {
        return lent.Borrower == from.Sender && lent.Incarnation == from.Incarnation && lent.AskId == returned.AskId;
    };
    p->Lent.erase(std::remove_if(p->Lent.begin(), p->Lent.end(), is_it), p->Lent.end());
}

//-----------------------------------------------------------------------------
// [SECTION] Ends
//-----------------------------------------------------------------------------

std::vector<PermitReturnOut> PermitsTick(Permits* p, TimeUs now)
{
    std::vector<PermitReturnOut> out;
    auto lent_ended = [&](const LentPermits& lent)
    {
        return now >= lent.UntilUs;
    };
    auto ask_ended = [&](const PermitAsk& ask)
    {
        return now - ask.SentUs >= AskForgetUs;
    };
    auto lease_ended = [&](const BorrowedPermits& lease)
    {
        const bool unused = lease.InUse == 0;
        const bool idle = unused && now < lease.UntilUs && now - lease.UsedUs >= IdleUs;
        if (idle)
        {
            out.push_back({lease.Lender, {p->Row, lease.AskId}});
        }
        return idle || (unused && now >= lease.UntilUs);
    };
    p->Lent.erase(std::remove_if(p->Lent.begin(), p->Lent.end(), lent_ended), p->Lent.end());
    p->Asks.erase(std::remove_if(p->Asks.begin(), p->Asks.end(), ask_ended), p->Asks.end());
    p->Borrowed.erase(std::remove_if(p->Borrowed.begin(), p->Borrowed.end(), lease_ended), p->Borrowed.end());
    return out;
}

bool PermitsActive(const Permits& p)
{
    return !p.Lent.empty() || !p.Asks.empty() || !p.Borrowed.empty() || p.Waiting > 0 || p.Ahead;
}

} // namespace Winchlink
