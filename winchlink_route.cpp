// winchlink_route.cpp: the router: which target of a row gets a request, or why none does.
//
// Every report of a target's load is stale when it arrives, so the router trusts most what it knows exactly, its own reservations, next
// what answers carried a moment ago, and old reports not at all. Two random candidates are compared rather than all: equal news at many
// instances would otherwise send them all to the same idle target.
//
// Index of this file:
// [SECTION] Following the table
// [SECTION] Estimates
// [SECTION] Choosing
// [SECTION] Settling
// [SECTION] Ejection

#include "winchlink_internal.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Winchlink
{

static constexpr int SamplesCap = 1000;       // RouterTarget::Samples saturates here.
static constexpr int EjectionsCap = 3;        // The pause doubles at most so often: eight times the first.
static constexpr int AnyTrialAfterPauses = 4; // Then a request that may not be repeated may go on trial as well.
static constexpr double LeastSlowStart = 0.1; // Share of its weight that a fresh target starts with.

//-----------------------------------------------------------------------------
// [SECTION] Following the table
//-----------------------------------------------------------------------------

static RouterTarget* FindIn(std::vector<RouterTarget>* list, TargetKey key)
{
    auto found = std::find_if(list->begin(), list->end(), [&](const RouterTarget& t) { return t.Key == key; });
    return found != list->end() ? &*found : nullptr;
}

static RouterTarget* FindTarget(Router* r, TargetKey key)
{
    RouterTarget* target = FindIn(&r->Targets, key);
    return target != nullptr ? target : FindIn(&r->Retired, key);
}

static RouterTarget FollowTarget(Router* r, const ServiceRow& row, const TargetRow& wanted, const std::string& data_centre, int sharers)
{
    const TargetKey key = KeyOfTarget(wanted.Address);
    const RouterTarget* known = FindTarget(r, key);
    RouterTarget target = known != nullptr ? *known : RouterTarget();
    target.Key = key;
    target.Address = wanted.Address;
    target.Near = wanted.DataCentre.empty() || wanted.DataCentre == data_centre;
    target.Weight = wanted.Weight;
    target.Slots = wanted.Slots;
    target.MaxInFlight = std::max(1, row.MaxConnections / std::max(1, sharers));
    return target;
}

void RouterFollow(Router* r, const ServiceRow& row, const std::string& data_centre, int sharers)
{
    std::vector<RouterTarget> next;
    for (const TargetRow& wanted : row.Targets)
    {
        next.push_back(FollowTarget(r, row, wanted, data_centre, sharers));
    }
    std::vector<RouterTarget> retired;
    for (std::vector<RouterTarget>* list : {&r->Targets, &r->Retired})
    {
        for (const RouterTarget& target : *list)
        {
            if (target.InFlight > 0 && FindIn(&next, target.Key) == nullptr)
            {
                retired.push_back(target);
            }
        }
    }
    r->Targets = std::move(next);
    r->Retired = std::move(retired);
    r->Name = row.Name;
    r->RowRevision = row.Revision;
    r->MaxConcurrent = PermitLimit(row);
}

void RouterMergeRun(Router* r, const TargetRun& run, TimeUs reported_at, TimeUs now)
{
    RouterTarget* target = FindIn(&r->Targets, run.Key);
    if (target == nullptr || run.StartId < target->StartId)
    {
        return;
    }
    if (run.StartId > target->StartId)
    {
        const bool restarted = target->StartId != 0;
        target->StartId = run.StartId;
        target->Leaving = false;
        target->ReportUs = 0;
        target->StartedUs = restarted ? now : 0;
        target->OutUntilUs = restarted ? 0 : target->OutUntilUs;
        target->FailShare = restarted ? 0 : target->FailShare;
        target->LatencyUs = restarted ? 0 : target->LatencyUs; // What its last run was like says little about this one.
    }
    target->Leaving = target->Leaving || run.Leaving;
    if (reported_at > target->ReportUs)
    {
        target->ReportUs = reported_at;
        target->ReportBusy = std::max(0, run.Busy - target->InFlight);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Estimates
//-----------------------------------------------------------------------------

// Requests of other instances at that target, as far as its last report still counts. An absent report is not an idle target, but
// neither is it a busy one: it says nothing.
static double OthersAt(const RouterTarget& target, double tau, TimeUs now)
{
    if (target.ReportUs == 0)
    {
        return 0;
    }
    const double age = static_cast<double>(std::max<TimeUs>(now - target.ReportUs, 0));
    return target.ReportBusy * std::exp(-age / tau);
}

static double RowLatency(const Router& r)
{
    double sum = 0;
    int count = 0;
    for (const RouterTarget& target : r.Targets)
    {
        if (target.LatencyUs > 0)
        {
            sum += std::log(target.LatencyUs);
            count++;
        }
    }
    return count > 0 ? std::exp(sum / count) : r.Config.FirstLatencyUs; // Geometric mean: one slow target hardly moves it.
}

static double BestLatency(const Router& r)
{
    double best = 0;
    for (const RouterTarget& target : r.Targets)
    {
        const bool better = target.LatencyUs > 0 && (best <= 0 || target.LatencyUs < best);
        best = better ? target.LatencyUs : best;
    }
    return best > 0 ? best : r.Config.FirstLatencyUs;
}

// What we learnt of a target loses weight while it is silent, and drifts to a little better than the best: a target that was slow once
// is tried again, and one request is what that costs. (Drifting to the row's mean was tried: a target ten times slower than its only
// peer then never came back.)
static double LatencyOf(const Router& r, const RouterTarget& target, TimeUs now)
{
    const double hoped = BestLatency(r) * r.Config.HopedShare;
    if (target.LatencyUs <= 0)
    {
        return hoped + (target.Near ? 0 : r.Config.FarUs); // Hoped for as well, or a target that nobody knows never gets its first request.
    }
    const double silent = static_cast<double>(std::max<TimeUs>(now - target.AnsweredUs, 0));
    const double weight = std::exp(-silent / r.Config.LatencyTauUs);
    return hoped + (target.LatencyUs - hoped) * weight;
}

// Time that the target has had work of ours and answered none of it. One that has slowed down shows it here first.
static double StalledUs(const RouterTarget& target, TimeUs now)
{
    return target.InFlight > 0 ? static_cast<double>(std::max<TimeUs>(now - target.BusySinceUs, 0)) : 0;
}

// 1 for a target as fast as its row or a little slower. (The plain product of latency and queue was measured first: it follows the noise
// of single answers, and its p99 was worse than that of the fewest requests in flight at every load.)
static double SlowFactor(const Router& r, const RouterTarget& target, TimeUs now)
{
    const double latency = std::max(LatencyOf(r, target, now), StalledUs(target, now));
    return std::max(1.0, latency / (r.Config.SlowFrom * RowLatency(r)));
}

double RouterCost(const Router& r, const RouterTarget& target, TimeUs now)
{
    const double busy = target.InFlight + OthersAt(target, r.Config.ChoiceTauUs, now);
    const double queue = (busy + 1) / target.Slots;
    const double failing = 1 + r.Config.FailPenalty * target.FailShare;
    return queue * SlowFactor(r, target, now) * failing;
}

// Time until that target is expected to have answered one more request.
static double ExpectedUs(const Router& r, const RouterTarget& target, TimeUs now)
{
    const double busy = target.InFlight + OthersAt(target, r.Config.ReportTauUs, now);
    const double rounds = std::max(0.0, busy + 1 - target.Slots) / target.Slots;
    return LatencyOf(r, target, now) * (1 + rounds);
}

// Weight with slow start: a fresh process is cold.
double RouterShare(const Router& r, const RouterTarget& target, TimeUs now)
{
    if (target.StartedUs == 0)
    {
        return target.Weight;
    }
    const double age = static_cast<double>(now - target.StartedUs) / static_cast<double>(r.Config.SlowStartUs);
    return target.Weight * std::clamp(age, LeastSlowStart, 1.0);
}

//-----------------------------------------------------------------------------
// [SECTION] Choosing
//-----------------------------------------------------------------------------

static TimeUs PauseOf(const Router& r, const RouterTarget& target)
{
    return r.Config.EjectUs << std::min(target.Ejections, EjectionsCap);
}

// Whether an ejected target may take this request as its trial.
static bool MayTry(const Router& r, const RouterTarget& target, const ChooseArgs& args, TimeUs now)
{
    if (now < target.OutUntilUs || target.OnTrial)
    {
        return false;
    }
    return args.Repeatable || now >= target.OutUntilUs + AnyTrialAfterPauses * PauseOf(r, target);
}

static bool IsEligible(const Router& r, const RouterTarget& target, const ChooseArgs& args, TimeUs now)
{
    const bool tried = std::find(args.Tried.begin(), args.Tried.end(), target.Key) != args.Tried.end();
    if (tried || target.Leaving || target.Weight == 0 || target.InFlight >= target.MaxInFlight)
    {
        return false;
    }
    return target.OutUntilUs == 0 || MayTry(r, target, args, now);
}

static RouterTarget* Cheapest(const Router& r, const std::vector<RouterTarget*>& from, TimeUs now)
{
    return *std::min_element(from.begin(), from.end(),
                             [&](const RouterTarget* a, const RouterTarget* b) { return ExpectedUs(r, *a, now) < ExpectedUs(r, *b, now); });
}

static Choice Refuse(RefuseReason_ reason, double retry_after)
{
    Choice choice;
    choice.Refused = reason;
    choice.RetryAfterUs = std::max<TimeUs>(static_cast<TimeUs>(retry_after), 1);
    return choice;
}

// When a target may come back: the earliest end of an ejection, or one answer's time.
static double NextTargetUs(const Router& r, TimeUs now)
{
    double soonest = RowLatency(r);
    bool any = false;
    for (const RouterTarget& target : r.Targets)
    {
        if (target.OutUntilUs > now)
        {
            const double wait = static_cast<double>(target.OutUntilUs - now);
            soonest = any ? std::min(soonest, wait) : wait;
            any = true;
        }
    }
    return soonest;
}

static int RowSlots(const Router& r)
{
    int slots = 0;
    for (const RouterTarget& target : r.Targets)
    {
        slots += target.Slots;
    }
    return std::max(slots, 1);
}

static Choice Reserve(Router* r, RouterTarget* target, TimeUs now)
{
    Choice choice;
    choice.Target = target->Key;
    choice.Address = target->Address;
    choice.Trial = target->OutUntilUs != 0;
    target->OnTrial = target->OnTrial || choice.Trial;
    target->BusySinceUs = target->InFlight == 0 ? now : target->BusySinceUs;
    target->InFlight++;
    r->InFlight++;
    return choice;
}

Choice RouterChoose(Router* r, const ChooseArgs& args, TimeUs now, Random* random)
{
    if (r->InFlight >= r->MaxConcurrent)
    {
        return Refuse(RefuseReason_RowLimit, RowLatency(*r) / RowSlots(*r)); // The whole fleet's limit, used up by us alone.
    }
    std::vector<RouterTarget*> eligible;
    for (RouterTarget& target : r->Targets)
    {
        if (IsEligible(*r, target, args, now))
        {
            eligible.push_back(&target);
        }
    }
    if (eligible.empty())
    {
        return Refuse(RefuseReason_NoTargetLeft, NextTargetUs(*r, now));
    }
    RouterTarget* target = PickTarget(r, eligible, now, random);
    const double remaining = static_cast<double>(args.RemainingUs);
    if (ExpectedUs(*r, *target, now) > remaining)
    {
        target = Cheapest(*r, eligible, now);
    }
    const double expected = ExpectedUs(*r, *target, now);
    if (expected > remaining)
    {
        return Refuse(RefuseReason_DeadlineTooShort, expected - remaining);
    }
    return Reserve(r, target, now);
}

bool RouterStillGood(const Router& r, TargetKey target)
{
    for (const RouterTarget& t : r.Targets)
    {
        if (t.Key == target)
        {
            return !t.Leaving && t.Weight > 0;
        }
    }
    return false;
}

//-----------------------------------------------------------------------------
// [SECTION] Settling
//-----------------------------------------------------------------------------

static void LearnLatency(const Router& r, RouterTarget* target, double latency, TimeUs now)
{
    const double gain = latency > target->LatencyUs ? r.Config.LatencyGainUp : r.Config.LatencyGain;
    target->LatencyUs = target->LatencyUs <= 0 ? latency : target->LatencyUs + gain * (latency - target->LatencyUs);
    target->AnsweredUs = now;
}

// Moves the estimate up by 0.95 steps for a slow answer and down by 0.05 for another: it rests where 95 of 100 are faster.
static void LearnSlow(Router* r, double latency)
{
    const double slow_share = 1 - r->Config.SlowShare;
    const double move = latency > r->SlowUs ? r->Config.SlowShare : -slow_share;
    r->SlowUs = r->SlowUs <= 0 ? 2 * latency : r->SlowUs * (1 + r->Config.SlowStep * move);
}

TimeUs RouterHedgeAfter(const Router& r)
{
    return r.Config.SlowShare > 0 ? static_cast<TimeUs>(r.SlowUs) : 0;
}

static void LearnOutcome(const Router& r, RouterTarget* target, bool failed)
{
    const double outcome = failed ? 1.0 : 0.0;
    target->FailShare += r.Config.FailGain * (outcome - target->FailShare);
    target->Samples = std::min(target->Samples + 1, SamplesCap);
}

static void EjectIfFailing(Router* r, RouterTarget* target, bool trial_failed, TimeUs now);

static void SettleTrial(RouterTarget* target, bool failed)
{
    target->OnTrial = false;
    if (!failed)
    {
        target->OutUntilUs = 0;
        target->Ejections = 0;
        target->FailShare = 0;
    }
}

void RouterSettle(Router* r, TargetKey key, Outcome_ outcome, TimeUs latency, TimeUs now)
{
    RouterTarget* target = FindTarget(r, key);
    assert(target != nullptr && "settle what RouterChoose() gave you, once");
    assert(target->InFlight > 0 && r->InFlight > 0 && "a reservation was given back twice");
    target->InFlight--;
    target->BusySinceUs = now;
    r->InFlight--;
    const bool failed = outcome == Outcome_Failed || outcome == Outcome_Unknown || outcome == Outcome_NotSent;
    const bool tells = failed || outcome == Outcome_Answered;
    if (outcome == Outcome_Answered)
    {
        LearnLatency(*r, target, static_cast<double>(latency), now);
        LearnSlow(r, static_cast<double>(latency));
    }
    if (outcome == Outcome_Outrun && static_cast<double>(latency) > target->LatencyUs)
    {
        LearnLatency(*r, target, static_cast<double>(latency), now); // At least so slow; without this a slow target would look unknown.
        LearnSlow(r, static_cast<double>(latency));
    }
    if (outcome == Outcome_NotRun)
    {
        target->ReportBusy = std::max(target->ReportBusy, target->Slots); // It shed: it is full, whatever it reported.
        target->ReportUs = now;
    }
    if (tells)
    {
        const bool trial = target->OnTrial;
        LearnOutcome(*r, target, failed);
        SettleTrial(target, failed);
        EjectIfFailing(r, target, trial && failed, now);
    }
    target->OnTrial = target->OnTrial && target->InFlight > 0; // A cancelled trial says nothing; the next request may be one.
    auto done = [](const RouterTarget& t)
    {
        return t.InFlight == 0;
    };
    r->Retired.erase(std::remove_if(r->Retired.begin(), r->Retired.end(), done), r->Retired.end());
}

//-----------------------------------------------------------------------------
// [SECTION] Ejection
//-----------------------------------------------------------------------------

static void EjectIfFailing(Router* r, RouterTarget* target, bool trial_failed, TimeUs now)
{
    const bool failing = target->FailShare > r->Config.EjectShare && target->Samples >= r->Config.EjectSamples;
    if (target->OutUntilUs != 0 && !trial_failed)
    {
        return; // Out already; this was a request from before.
    }
    auto is_out = [](const RouterTarget& t)
    {
        return t.OutUntilUs != 0;
    };
    const auto out = std::count_if(r->Targets.begin(), r->Targets.end(), is_out);
    const bool room = static_cast<double>(out + 1) <= r->Config.EjectMaxPart * static_cast<double>(r->Targets.size());
    if (trial_failed || (failing && room))
    {
        target->OutUntilUs = now + PauseOf(*r, *target);
        target->Ejections++;
    }
}

} // namespace Winchlink
