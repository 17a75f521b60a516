// winchlink_coord.cpp: the coordinator: membership, table agreement and target runs behind one message pump.
//
// Heartbeats go to a few random peers each period, and more often while there is news. Whoever sees from a heartbeat that its sender
// holds a newer table asks it for the difference; whoever sees that the sender holds an older one heartbeats back, so that it asks.
// Load reports are not spread: at 6,600 nodes they would cost some 13 times a node's whole allowance (docs/CAPACITY.md). Only changes of
// a target's run, its start and its leaving, are.
//
// Index of this file:
// [SECTION] Sending
// [SECTION] Joining
// [SECTION] Ticking
// [SECTION] Receiving
// [SECTION] Offers and permits

#include "winchlink_internal.h"

#include <algorithm>
#include <cassert>

namespace Winchlink
{

static constexpr TimeUs RunsRequestPeriodUs = 1 * UsPerSecond; // Leaving targets are asked for at most so often.

//-----------------------------------------------------------------------------
// [SECTION] Sending
//-----------------------------------------------------------------------------

static void Send(Coordinator* c, const Endpoint& to, Message* message, std::vector<Envelope>* out)
{
    message->Head.Address = c->Members.Config.Self;
    message->Head.Incarnation = c->Members.Config.Incarnation;
    message->Head.Sequence = ++c->Sequence;
    Envelope envelope{to, EncodeMessage(*message, c->Keys)};
    assert(envelope.Bytes.size() <= MessageMax && "a table of legal size never makes a message so large");
    c->Counts.Sent++;
    c->Counts.SentBytes += envelope.Bytes.size();
    out->push_back(std::move(envelope));
}

static Message MakeHeartbeat(Coordinator* c, bool wants_reply, TimeUs now)
{
    Message message;
    message.Type = MessageType_Heartbeat;
    message.Beat.State = c->State;
    message.Beat.DataCentre = HashDataCentre(c->Members.Config.DataCentre);
    message.Beat.Number = c->Members.Config.Number;
    message.Beat.Table = c->Tables.Current->Version;
    message.Beat.RunsDigest = c->Runs.LeavingDigest;
    message.Beat.WantsReply = wants_reply;
    MembershipFill(c->Members, &message.Beat, now);
    RunsFill(&c->Runs, &message.Beat, now);
    return message;
}

static void SendHeartbeats(Coordinator* c, const std::vector<Endpoint>& to, bool wants_reply, TimeUs now, std::vector<Envelope>* out)
{
    if (to.empty())
    {
        return;
    }
    Message message = MakeHeartbeat(c, wants_reply, now);
    for (const Endpoint& peer : to)
    {
        message.Beat.Samples = MembershipSamples(c->Members, peer, now, &c->Rng);
        Send(c, peer, &message, out);
    }
}

static void SendRequest(Coordinator* c, const Endpoint& to, const TableVersion& have, bool wants_runs, std::vector<Envelope>* out)
{
    Message message;
    message.Type = MessageType_TableRequest;
    message.Request.Have = have;
    message.Request.WantsRuns = wants_runs;
    Send(c, to, &message, out);
}

// A table came in force.
static void FollowTable(Coordinator* c)
{
    RunsFollowTable(&c->Runs, *c->Tables.Current);
    MembershipFollow(&c->Members, *c->Tables.Current);
}

static void NoteNews(Coordinator* c, TimeUs now)
{
    c->HotBeats = HotBeatsOfNews;
    c->NextHotUs = now;
}

//-----------------------------------------------------------------------------
// [SECTION] Joining
//-----------------------------------------------------------------------------

static void UpdateState(Coordinator* c)
{
    if (c->State == InstanceState_Leaving)
    {
        return;
    }
    const bool serving = c->Tables.Joined && c->Tables.Current->Version.Revision > 0;
    c->State = serving ? InstanceState_Serving : InstanceState_Joining;
}

// The newest version that a serving peer told us of.
static TableVersion NewestHeard(const Coordinator& c)
{
    TableVersion newest;
    for (const Peer& peer : c.Members.Peers)
    {
        if (peer.Direct && newest < peer.Table)
        {
            newest = peer.Table;
        }
    }
    return newest;
}

// A fresh instance must hear its peers before it believes the platform, whose word may be old. It waits for the answers of a few, or of
// all that it knows of, and until it holds the newest that they told of; and no longer than JoinTimeoutUs where nobody answers.
static void TryToJoin(Coordinator* c, TimeUs now)
{
    Agreement& a = c->Tables;
    if (a.Joined)
    {
        return;
    }
    const bool holds_newest = !(a.Current->Version < NewestHeard(*c));
    const bool enough = a.Answered.size() >= JoinAnswers && holds_newest;
    const bool late = now - a.StartedUs >= JoinTimeoutUs;
    const bool some = late && !a.Answered.empty() && holds_newest;
    const bool none = late && a.Answered.empty();
    if (enough || some || none)
    {
        a.Joined = true;
        a.Alone = none;
    }
}

static void NoteAnswer(Coordinator* c, InstanceId sender, const Heartbeat& beat)
{
    std::vector<InstanceId>& answered = c->Tables.Answered;
    const bool counts = beat.State == InstanceState_Serving && beat.Table.Revision > 0;
    const bool known = std::find(answered.begin(), answered.end(), sender) != answered.end();
    if (!c->Tables.Joined && counts && !known)
    {
        answered.push_back(sender);
    }
    if (counts)
    {
        c->Tables.Alone = false; // Somebody who serves has been heard: the newest table is on its way.
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Ticking
//-----------------------------------------------------------------------------

void CoordinatorInit(Coordinator* c, const MembershipConfig& config, const MessageKeys& keys, uint64_t seed, TimeUs now)
{
    assert(config.Incarnation != 0 && "give each start of the process its own, growing incarnation");
    assert(config.Self.Port != 0 && "the control address must be one that peers can reach");
    *c = Coordinator();
    c->Keys = keys;
    c->Members.Config = config;
    c->Members.ClaimsUs = now;
    c->Rng.seed(seed);
    c->NextBeatUs = now;
    c->LastTickUs = now;
    AgreementInit(&c->Tables, now);
}

static void NotePause(Coordinator* c, TimeUs now)
{
    const bool paused = now - c->LastTickUs >= PauseUs;
    c->LastTickUs = now;
    if (!paused)
    {
        return;
    }
    c->Pauses++;
    c->WokeUs = now;
    c->NextBeatUs = now;
    MembershipForgetAges(&c->Members, now);
}

bool CoordinatorCaughtUp(const Coordinator& c, TimeUs now)
{
    const bool paused_now = now - c.LastTickUs >= PauseUs;
    const bool waking = c.WokeUs != 0 && now - c.WokeUs < CatchUpUs && !c.Members.Peers.empty();
    return !paused_now && !waking;
}

static TimeUs NextPeriod(Coordinator* c, TimeUs now)
{
    // A tenth of jitter, so that heartbeats of instances that started together drift apart.
    const TimeUs period = c->Members.Config.PeriodUs;
    std::uniform_int_distribution<TimeUs> spread(-period / 10, period / 10);
    return now + period + spread(c->Rng);
}

void CoordinatorTick(Coordinator* c, TimeUs now, std::vector<Envelope>* out)
{
    NotePause(c, now);
    MembershipExpire(&c->Members, now);
    TryToJoin(c, now);
    UpdateState(c);
    const size_t fanout = static_cast<size_t>(c->Members.Config.Fanout);
    if (now >= c->NextBeatUs)
    {
        const bool eager = !c->Tables.Joined || c->WokeUs != 0;
        c->NextBeatUs = c->Tables.Joined ? NextPeriod(c, now) : now + JoinPeriodUs;
        SendHeartbeats(c, MembershipPick(c->Members, fanout, &c->Rng), eager, now, out);
    }
    else if (c->HotBeats > 0 && now >= c->NextHotUs)
    {
        c->HotBeats--;
        c->NextHotUs = now + HotPeriodUs;
        SendHeartbeats(c, MembershipPick(c->Members, fanout, &c->Rng), false, now, out);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Receiving
//-----------------------------------------------------------------------------

static void MergeRuns(Coordinator* c, const std::vector<TargetRun>& runs, TimeUs now)
{
    bool news = false;
    for (const TargetRun& run : runs)
    {
        news = RunsMerge(&c->Runs, run, now) || news;
    }
    if (news)
    {
        NoteNews(c, now);
    }
}

// Compares what the sender holds with what we hold, and sees to it that the older side asks.
static void CompareTables(Coordinator* c, const Message& message, TimeUs now, std::vector<Envelope>* out)
{
    const TableVersion& ours = c->Tables.Current->Version;
    const TableVersion& theirs = message.Beat.Table;
    const bool may_ask = c->RequestedUs == 0 || now - c->RequestedUs >= TableRequestRetryUs;
    if (ours < theirs && may_ask)
    {
        c->RequestedUs = now;
        SendRequest(c, message.Head.Address, ours, true, out);
        return;
    }
    const bool may_ask_runs = now - c->RunsRequestedUs >= RunsRequestPeriodUs || c->RunsRequestedUs == 0;
    if (ours == theirs && message.Beat.RunsDigest != c->Runs.LeavingDigest && may_ask_runs)
    {
        c->RunsRequestedUs = now;
        SendRequest(c, message.Head.Address, ours, true, out);
    }
    if (theirs < ours || message.Beat.WantsReply)
    {
        SendHeartbeats(c, {message.Head.Address}, false, now, out);
    }
}

static void ReceiveHeartbeat(Coordinator* c, const Message& message, TimeUs now, std::vector<Envelope>* out)
{
    MembershipMerge(&c->Members, message.Head, message.Beat, now);
    c->WokeUs = 0;
    MergeRuns(c, message.Beat.Runs, now);
    NoteAnswer(c, message.Head.Sender, message.Beat);
    if (message.Beat.State != InstanceState_Leaving)
    {
        CompareTables(c, message, now, out);
    }
}

static void ReceiveRequest(Coordinator* c, const Message& message, std::vector<Envelope>* out)
{
    Message reply;
    reply.Type = MessageType_TableReply;
    const TableVersion& ours = c->Tables.Current->Version;
    reply.Reply.Delta.From = ours;
    reply.Reply.Delta.To = ours;
    if (message.Request.Have < ours)
    {
        reply.Reply.Delta = MakeDelta(*c->Tables.Current, message.Request.Have);
    }
    if (message.Request.WantsRuns)
    {
        reply.Reply.Runs = RunsLeaving(c->Runs);
    }
    Send(c, message.Head.Address, &reply, out);
}

static bool RowsAreGood(Coordinator* c, const TableDelta& delta)
{
    std::vector<Fault> faults;
    for (const ServiceRow& row : delta.Rows)
    {
        CheckRow(row, "row " + row.Name, &faults);
    }
    if (faults.empty())
    {
        return true;
    }
    c->Tables.RefusedRevision = delta.To.Revision;
    c->Tables.RefusedReason = faults[0].Where + ": " + faults[0].Detail;
    return false;
}

static void AdoptFromPeer(Coordinator* c, const Message& message, TimeUs now, std::vector<Envelope>* out)
{
    const TableDelta& delta = message.Reply.Delta;
    if (!(c->Tables.Current->Version < delta.To) || !RowsAreGood(c, delta))
    {
        return;
    }
    const Result<TablePtr> applied = ApplyDelta(*c->Tables.Current, delta);
    if (!applied)
    {
        // The delta does not fit what we hold by now: take the whole table, which always fits.
        if (delta.From.Revision != 0)
        {
            c->RequestedUs = now;
            SendRequest(c, message.Head.Address, TableVersion(), true, out);
        }
        return;
    }
    const AdoptResult_ result = AgreementAdopt(&c->Tables, applied.value(), now);
    assert(result == AdoptResult_Adopted && "checked above that it is newer");
    if (result != AdoptResult_Adopted)
    {
        return;
    }
    (delta.From.Revision == 0 ? c->Counts.WholesApplied : c->Counts.DeltasApplied)++;
    FollowTable(c);
    NoteNews(c, now);
}

static void ReceiveReply(Coordinator* c, const Message& message, TimeUs now, std::vector<Envelope>* out)
{
    c->RequestedUs = 0;
    AdoptFromPeer(c, message, now, out);
    MergeRuns(c, message.Reply.Runs, now);
    TryToJoin(c, now);
    UpdateState(c);
}

Result<void> CoordinatorReceive(Coordinator* c, const std::string& bytes, TimeUs now, std::vector<Envelope>* out)
{
    c->Counts.Received++;
    c->Counts.ReceivedBytes += bytes.size();
    const Result<Message> message = DecodeMessage(bytes, c->Keys);
    if (!message)
    {
        c->Counts.Refused++;
        return message.error();
    }
    if (!MembershipHeard(&c->Members, message.value().Head, now))
    {
        c->Counts.Refused++;
        return Error{Code_MessageReplayed, FormatEndpoint(message.value().Head.Address)};
    }
    switch (message.value().Type)
    {
    case MessageType_Heartbeat:
        ReceiveHeartbeat(c, message.value(), now, out);
        break;
    case MessageType_TableRequest:
        ReceiveRequest(c, message.value(), out);
        break;
    case MessageType_TableReply:
        ReceiveReply(c, message.value(), now, out);
        break;
    default:
        c->PermitInbox.push_back(
            {message.value().Head, message.value().Type, message.value().Ask, message.value().Lease, message.value().Return});
        break;
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

//-----------------------------------------------------------------------------
// [SECTION] Offers and permits
//-----------------------------------------------------------------------------

AdoptResult_ CoordinatorOffer(Coordinator* c, TablePtr table, TimeUs now)
{
    assert(AgreementMayTrustPlatform(c->Tables) && "hear the peers first: the platform may serve an old table");
    const AdoptResult_ result = AgreementAdopt(&c->Tables, std::move(table), now);
    if (result == AdoptResult_Adopted)
    {
        FollowTable(c);
        NoteNews(c, now);
        UpdateState(c);
    }
    return result;
}

void CoordinatorReport(Coordinator* c, const TargetRun& report, TimeUs now)
{
    MergeRuns(c, {report}, now);
}

void CoordinatorMail(Coordinator* c, const Endpoint& to, const PermitMail& mail, std::vector<Envelope>* out)
{
    Message message;
    message.Type = mail.Type;
    message.Ask = mail.Ask;
    message.Lease = mail.Lease;
    message.Return = mail.Return;
    Send(c, to, &message, out);
}

std::vector<ServingPeer> CoordinatorServingPeers(Coordinator* c)
{
    std::vector<ServingPeer> serving;
    for (const Peer& peer : c->Members.Peers)
    {
        if (peer.State == InstanceState_Serving)
        {
            serving.push_back({peer.Address, peer.Number});
        }
    }
    std::shuffle(serving.begin(), serving.end(), c->Rng);
    return serving;
}

void CoordinatorLeave(Coordinator* c, TimeUs now, std::vector<Envelope>* out)
{
    c->State = InstanceState_Leaving;
    SendHeartbeats(c, MembershipPick(c->Members, c->Members.Config.ViewMax, &c->Rng), false, now, out);
}

} // namespace Winchlink
