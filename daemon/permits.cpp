// permits.cpp: a row's permits in the daemon.
//
// Index of this file:
// [SECTION] Traffic threads
// [SECTION] Following the table
// [SECTION] Messages
// [SECTION] Asking and giving back

#include "permits.h"

#include "clock.h"

#include <algorithm>
#include <chrono>
#include <sodium.h>

namespace Winchlink
{

// A short queue is let through, a standing one is not: it would add its wait to every request and save none.
static constexpr TimeUs WaitMostUs = 50 * UsPerMs;     // While the queue is short-lived.
static constexpr TimeUs WaitStandingUs = 10 * UsPerMs; // Once somebody has been waiting all the time for StandingUs.
static constexpr TimeUs StandingUs = 100 * UsPerMs;
static constexpr int WaitPart = 4;         // No longer than this part of what is left to the deadline.
static constexpr double AsksPerSecond = 8; // An ask and its answer are some 180 bytes: 2 KB/s, and as much for those of others.
static constexpr double AsksBurst = 48;
static constexpr TimeUs SweepPeriodUs = 20 * UsPerMs;

//-----------------------------------------------------------------------------
// [SECTION] Traffic threads
//-----------------------------------------------------------------------------

// Whether the control thread has to be told. The permits' mutex must be held.
static bool MustReport(RowPermits* limit, TimeUs now)
{
    const bool wanted = limit->Book.Waiting > 0 || limit->Book.Ahead;
    const bool report = wanted && !limit->Reported && now >= limit->Book.FullUntilUs;
    limit->Reported = limit->Reported || report;
    return report;
}

static void Report(Routing* routing, uint64_t row)
{
    if (routing->Wanted.push(row) && routing->WakeControl)
    {
        routing->WakeControl();
    }
}

Permit PermitAcquire(Routing* routing, RowState* state, TimeUs deadline)
{
    RowPermits* limit = &state->Limit;
    const TimeUs start = NowUs();
    std::unique_lock<std::mutex> lock(limit->Mutex);
    limit->EmptyUs = limit->Book.Waiting == 0 ? start : limit->EmptyUs;
    const TimeUs most = start - limit->EmptyUs < StandingUs ? WaitMostUs : WaitStandingUs;
    const TimeUs until = start + std::min(most, (deadline - start) / WaitPart);
    const uint64_t row = limit->Book.Row;
    Permit permit = PermitsTake(&limit->Book, deadline, start);
    const bool has_it = permit.Kind != PermitKind_None;
    limit->Book.Waiting += has_it ? 0 : 1;
    if (MustReport(limit, start))
    {
        lock.unlock();
        Report(routing, row);
        lock.lock();
    }
    if (has_it)
    {
        return permit;
    }
    for (TimeUs now = NowUs(); permit.Kind == PermitKind_None && now < until; now = NowUs())
    {
        limit->Freed.wait_for(lock, std::chrono::microseconds(until - now));
        permit = PermitsTake(&limit->Book, deadline, NowUs());
    }
    limit->Book.Waiting--;
    return permit;
}

Permit PermitForHedge(RowState* state, TimeUs deadline)
{
    RowPermits* limit = &state->Limit;
    const std::lock_guard<std::mutex> lock(limit->Mutex);
    const TimeUs now = NowUs();
    const bool spare = limit->Book.Waiting == 0 && PermitsIdle(limit->Book, now) > 1;
    return spare ? PermitsTake(&limit->Book, deadline, now) : Permit();
}

void PermitRelease(RowState* state, const Permit& permit)
{
    RowPermits* limit = &state->Limit;
    const std::lock_guard<std::mutex> lock(limit->Mutex);
    PermitsGive(&limit->Book, permit, NowUs());
    if (limit->Book.Waiting > 0)
    {
        limit->Freed.notify_one();
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Following the table
//-----------------------------------------------------------------------------

TimeUs PermitDeskFollow(PermitDesk* desk, const Snapshot& snapshot, TimeUs now)
{
    desk->Rows.clear();
    TimeUs from = 0;
    for (size_t n = 0; n < snapshot.States.size(); n++)
    {
        const std::shared_ptr<RowState>& state = snapshot.States[n].State;
        const std::lock_guard<std::mutex> lock(state->Limit.Mutex);
        randombytes_buf(&desk->Config.FirstAskId, sizeof(desk->Config.FirstAskId));
        PermitsFollow(&state->Limit.Book, snapshot.Rows->Rows[n], desk->Config, now);
        desk->Rows[state->Limit.Book.Row] = state;
        from = std::max(from, PermitsOwnFrom(state->Limit.Book));
    }
    return from;
}

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

static uint64_t RowOf(const PermitMail& mail)
{
    switch (mail.Type)
    {
    case MessageType_PermitRequest:
        return mail.Ask.Row;
    case MessageType_PermitReply:
        return mail.Lease.Row;
    default:
        return mail.Return.Row;
    }
}

static void Lend(RowPermits* limit, Coordinator* fleet, const PermitMail& mail, TimeUs now, std::vector<Envelope>* out)
{
    PermitMail reply;
    reply.Type = MessageType_PermitReply;
    reply.Lease = PermitsLend(&limit->Book, mail.Head, mail.Ask, now);
    CoordinatorMail(fleet, mail.Head.Address, reply, out);
}

static void TakeMail(PermitDesk* desk, Coordinator* fleet, const PermitMail& mail, TimeUs now, std::vector<Envelope>* out)
{
    auto found = desk->Rows.find(RowOf(mail));
    if (found == desk->Rows.end())
    {
        return; // A row that one of us does not have, or not yet. The asker passes us over.
    }
    desk->Active.insert(found->first);
    RowPermits* limit = &found->second->Limit;
    const std::lock_guard<std::mutex> lock(limit->Mutex);
    switch (mail.Type)
    {
    case MessageType_PermitRequest:
        Lend(limit, fleet, mail, now, out);
        break;
    case MessageType_PermitReply:
        if (PermitsLease(&limit->Book, mail.Head, mail.Lease, now))
        {
            limit->Freed.notify_all();
        }
        break;
    default:
        PermitsReturned(&limit->Book, mail.Head, mail.Return);
        break;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Asking and giving back
//-----------------------------------------------------------------------------

static void FillTokens(PermitDesk* desk, TimeUs now)
{
    const double seconds = static_cast<double>(now - desk->TokensUs) / UsPerSecond;
    desk->AskTokens = std::min(AsksBurst, desk->AskTokens + seconds * AsksPerSecond);
    desk->TokensUs = now;
}

static void Ask(PermitDesk* desk, RowPermits* limit, Coordinator* fleet, const std::vector<Endpoint>& peers, TimeUs now,
                std::vector<Envelope>* out)
{
    while (desk->AskTokens >= 1)
    {
        const std::optional<PermitAskOut> ask = PermitsNextAsk(&limit->Book, peers, now);
        if (!ask)
        {
            break;
        }
        desk->AskTokens -= 1;
        desk->Counts.Asks++;
        PermitMail mail;
        mail.Type = MessageType_PermitRequest;
        mail.Ask = ask->Ask;
        CoordinatorMail(fleet, ask->To, mail, out);
    }
    if (desk->AskTokens < 1)
    {
        desk->Counts.HeldBack++;
        PermitsCantAsk(&limit->Book, now);
    }
}

// Peers that own permits of that row.
static std::vector<Endpoint> LendersOf(const Permits& book, const std::vector<ServingPeer>& peers)
{
    std::vector<Endpoint> lenders;
    for (const ServingPeer& peer : peers)
    {
        if (NumberInRange(book.Range, peer.Number))
        {
            lenders.push_back(peer.Address);
        }
    }
    return lenders;
}

static void GiveBack(RowPermits* limit, Coordinator* fleet, TimeUs now, std::vector<Envelope>* out)
{
    for (const PermitReturnOut& returned : PermitsTick(&limit->Book, now))
    {
        PermitMail mail;
        mail.Type = MessageType_PermitReturn;
        mail.Return = returned.Return;
        CoordinatorMail(fleet, returned.To, mail, out);
    }
}

// One row's turn. False when nothing is left to do for it.
static bool TickRow(PermitDesk* desk, RowPermits* limit, Coordinator* fleet, const std::vector<ServingPeer>& peers, bool sweep, TimeUs now,
                    std::vector<Envelope>* out)
{
    const std::lock_guard<std::mutex> lock(limit->Mutex);
    limit->Reported = false;
    Ask(desk, limit, fleet, LendersOf(limit->Book, peers), now, out);
    if (sweep)
    {
        GiveBack(limit, fleet, now, out);
    }
    return PermitsActive(limit->Book);
}

void PermitDeskTick(PermitDesk* desk, Routing* routing, Coordinator* fleet, TimeUs now, std::vector<Envelope>* out)
{
    FillTokens(desk, now);
    for (const PermitMail& mail : fleet->PermitInbox)
    {
        TakeMail(desk, fleet, mail, now, out);
    }
    fleet->PermitInbox.clear();
    uint64_t wanted = 0;
    while (routing->Wanted.pop(wanted))
    {
        desk->Active.insert(wanted);
    }
    if (desk->Active.empty())
    {
        return;
    }
    const bool sweep = now >= desk->NextSweepUs;
    desk->NextSweepUs = sweep ? now + SweepPeriodUs : desk->NextSweepUs;
    const std::vector<ServingPeer> peers = CoordinatorServingPeers(fleet);
    for (auto it = desk->Active.begin(); it != desk->Active.end();)
    {
        auto row = desk->Rows.find(*it);
        const bool active = row != desk->Rows.end() && TickRow(desk, &row->second->Limit, fleet, peers, sweep, now, out);
        it = active ? std::next(it) : desk->Active.erase(it);
    }
}

} // namespace Winchlink
