// winchlink_quota.cpp: quotas of customers and limits of targets, over the whole fleet.
//
// Index of this file:
// [SECTION] Limits of targets
// [SECTION] Counting
// [SECTION] Admission
// [SECTION] Decisions
// [SECTION] Reports and answers

#include "winchlink.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <functional>

namespace Winchlink
{

static constexpr size_t EntriesMax = 48; // Customers, or limits, in one message, so that it fits one packet.
static constexpr double CountMax = 1e9;  // Larger values in messages are invalid.
static constexpr double ShareStep = 0.1; // A share that falls by more is sent at once.
static constexpr double Seconds = 1.0 / static_cast<double>(UsPerSecond);

// Requests allowed over the whole fleet, for one customer or target.
struct QuotaLimit
{
    uint64_t Id = 0;     // Of a customer, or of a target's incarnation.
    double RatePerS = 0; // Requests a second.
    double Burst = 0;    // Requests in addition, in any window.
};

static QuotaLimit LimitOf(const Customer& customer)
{
    return {customer.Id, customer.RatePerS, customer.Burst};
}

static bool IsValidCount(double value)
{
    return std::isfinite(value) && value >= 0 && value <= CountMax;
}

//-----------------------------------------------------------------------------
// [SECTION] Limits of targets
//-----------------------------------------------------------------------------

QuotaConfig TargetQuotaConfig()
{
    QuotaConfig config;
    config.WindowUs = 4 * UsPerSecond;
    config.Overage = 0.5;
    config.Slack = 5;
    config.ToleranceUsed = 0.15; // Shares are cut off at 0 and 1, so the mean stays below the goal; this raises it to the limit.
    config.EvenPartsMax = 2;
    config.BurstShare = 0.9;
    config.PartitionedShare = 1;
    return config;
}

static QuotaLimit LimitOf(const Quota& quota, uint64_t id, const TargetLimit& named)
{
    return {id, std::max(named.PerS, quota.Config.TargetPerSMin), 0};
}

bool QuotaSetTargetLimit(Quota* quota, uint64_t id, std::optional<double> per_s, TimeUs now)
{
    const auto found = quota->Limits.find(id);
    if (!per_s && found == quota->Limits.end())
    {
        return false; // The common case: creates no entry.
    }
    TargetLimit& known = quota->Limits[id];
    const bool same = known.InForce == per_s.has_value() && (!per_s || known.PerS == *per_s);
    known = {per_s.value_or(known.PerS), per_s.has_value(), now};
    return !same;
}

const TargetLimit* QuotaTargetLimit(const Quota& quota, uint64_t id)
{
    const auto found = quota.Limits.find(id);
    return found != quota.Limits.end() && found->second.InForce ? &found->second : nullptr;
}

TimeUs QuotaTargetInterval(const Quota& quota, uint64_t id)
{
    const TargetLimit* named = QuotaTargetLimit(quota, id);
    return named != nullptr ? static_cast<TimeUs>(static_cast<double>(UsPerSecond) / LimitOf(quota, id, *named).RatePerS) : 0;
}

static void RemoveExpiredLimits(Quota* quota, TimeUs now)
{
    for (auto named = quota->Limits.begin(); named != quota->Limits.end();)
    {
        const TimeUs kept = named->second.InForce ? quota->Config.LimitExpiryUs : quota->Config.LiftedLimitExpiryUs;
        const bool old = now - named->second.ReceivedUs > kept;
        named = old ? quota->Limits.erase(named) : std::next(named);
    }
}

static std::vector<TargetLimitUpdate> LimitUpdates(const Quota& quota, TimeUs now)
{
    std::vector<TargetLimitUpdate> updates;
    for (const auto& [id, named] : quota.Limits)
    {
        updates.push_back({id, named.PerS, named.InForce, now - named.ReceivedUs});
    }
    return updates;
}

// Takes limits from a message. True if any limit changed.
static bool ApplyLimitUpdates(Quota* quota, const std::vector<TargetLimitUpdate>& updates, TimeUs now)
{
    bool changed = false;
    for (const TargetLimitUpdate& update : updates)
    {
        const bool valid = IsValidCount(update.PerS) && update.AgeUs >= 0 && update.AgeUs <= quota->Config.LimitExpiryUs;
        const TimeUs received = now - update.AgeUs;
        const auto found = quota->Limits.find(update.Id);
        const bool newer = found == quota->Limits.end() || received > found->second.ReceivedUs;
        if (valid && newer)
        {
            const bool same = found != quota->Limits.end() && found->second.PerS == update.PerS && found->second.InForce == update.InForce;
            quota->Limits[update.Id] = {update.PerS, update.InForce, received};
            changed = changed || !same;
        }
    }
    return changed;
}

//-----------------------------------------------------------------------------
// [SECTION] Counting
//-----------------------------------------------------------------------------

static TimeUs StepUs(const QuotaConfig& config)
{
    return config.WindowUs / QuotaUse::Steps;
}

static QuotaStep* RingEntry(QuotaUse* use, int64_t number)
{
    return &use->Counts[static_cast<size_t>(number) % use->Counts.size()];
}

static QuotaStep* StepAt(QuotaUse* use, const QuotaConfig& config, TimeUs at)
{
    const int64_t number = at / StepUs(config);
    QuotaStep* step = RingEntry(use, number);
    if (step->Number != number)
    {
        *step = QuotaStep{number, 0, 0};
    }
    return step;
}

// Number of steps in about one second.
static int64_t StepsPerSecond(const QuotaConfig& config)
{
    return std::clamp<int64_t>(UsPerSecond / StepUs(config), 1, QuotaUse::Steps);
}

static QuotaCount CountOf(const Quota& quota, const QuotaUse& use, TimeUs now)
{
    const QuotaConfig& config = quota.Config;
    const int64_t current = now / StepUs(config);
    const int64_t second = StepsPerSecond(config);
    const TimeUs uptime = std::max(now - quota.StartedUs, StepUs(config)); // Shortly after a start, rates are taken over this time.
    const double per_s = 1.0 / (static_cast<double>(second * StepUs(config)) * Seconds);
    const double seen_per_s = std::max(per_s, 1.0 / (static_cast<double>(uptime) * Seconds));
    QuotaCount count;
    double last_second = 0; // Requests in the last second, including the current step.
    double before = 0;      // The same, without the current step.
    double recent = 0;      // Requests in the current step or in the one before, whichever has more.
    for (const QuotaStep& step : use.Counts)
    {
        const int64_t age = current - step.Number;
        if (step.Number < 0 || age > QuotaUse::Steps)
        {
            continue;
        }
        count.Admitted += step.Admitted;
        count.Expiring += age > QuotaUse::Steps - second ? step.Admitted * per_s : 0;
        last_second += age < second ? step.Wanted : 0;
        before += age >= 1 && age <= second ? step.Wanted : 0;
        recent = age <= 1 ? std::max<double>(recent, step.Wanted) : recent;
    }
    count.RecentWanted = recent / (static_cast<double>(StepUs(config)) * Seconds);
    count.Wanted = std::max(last_second, before) * seen_per_s;
    return count;
}

static void AddTo(QuotaCount* sum, const QuotaCount& count)
{
    sum->Admitted += count.Admitted;
    sum->Expiring += count.Expiring;
    sum->Wanted += count.Wanted;
    sum->RecentWanted += count.RecentWanted;
}

using QuotaSums = std::unordered_map<uint64_t, QuotaCount>;

static void AddReportedCounts(QuotaSums* sums, const std::map<std::string, QuotaMember>& members)
{
    for (const auto& entry : members)
    {
        for (const auto& [customer, reported] : entry.second.Counts)
        {
            AddTo(&(*sums)[customer], reported.Count);
        }
    }
}

// Sums of this instance and its followers.
static QuotaSums SubtreeSums(const Quota& quota, TimeUs now)
{
    QuotaSums sums;
    for (const auto& [customer, use] : quota.Own)
    {
        AddTo(&sums[customer], CountOf(quota, use, now));
    }
    AddReportedCounts(&sums, quota.Followers);
    return sums;
}

// See QuotaReport for the members.
struct QuotaFleet
{
    double Members = 1; // Includes this instance.
    double Covered = 0;
};

static void AddReportedMembers(QuotaFleet* fleet, const std::map<std::string, QuotaMember>& members)
{
    for (const auto& entry : members)
    {
        fleet->Members += entry.second.Members;
        fleet->Covered += entry.second.Covered;
    }
}

static QuotaFleet SubtreeFleet(const Quota& quota, TimeUs now)
{
    QuotaFleet fleet;
    const double uptime = static_cast<double>(now - quota.StartedUs) / static_cast<double>(quota.Config.WindowUs);
    fleet.Covered = std::clamp(uptime, 0.0, 1.0);
    AddReportedMembers(&fleet, quota.Followers);
    return fleet;
}

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

// Number of requests in a window towards which decisions steer: the quota and a part of the tolerance.
static double AdmissionGoal(const QuotaConfig& config, const QuotaLimit& limit)
{
    const double quota = limit.RatePerS * static_cast<double>(config.WindowUs) * Seconds + limit.Burst;
    return quota + config.ToleranceUsed *
                       (config.Overage * quota + std::min(config.Slack, quota)); // Slack is bounded by the quota, for small quotas.
}

// Whether this seed has heard none of the instances that it expects: it can't tell how many they are, and each of them may be a seed that
// has heard nobody either. After MembersExpiryUs it counts as the whole fleet.
static bool IsAloneSinceStart(const Quota& quota, TimeUs now)
{
    const bool heard_none = quota.MembersMax == 0 && quota.Followers.empty() && quota.Seeds.empty();
    return quota.IsSeed && quota.ExpectsOthers && heard_none && now - quota.StartedUs < quota.Config.MembersExpiryUs;
}

static double MemberCount(const Quota& quota, TimeUs now)
{
    if (quota.MembersMax > 0)
    {
        return quota.MembersMax;
    }
    return IsAloneSinceStart(quota, now) ? quota.Config.MembersUnheard : quota.IsSeed ? quota.Members : quota.Config.MembersDefault;
}

// Whether this instance neither has a recent decision nor can make one.
static bool LacksDecision(const Quota& quota, TimeUs now)
{
    const bool received = quota.DecisionUs > 0 && now - quota.DecisionUs <= quota.Config.ReportExpiryUs;
    return quota.IsSeed ? IsAloneSinceStart(quota, now) : !received;
}

static double AdmittedSince(const QuotaUse& use, const QuotaConfig& config, TimeUs since)
{
    double admitted = 0;
    for (const QuotaStep& step : use.Counts)
    {
        admitted += step.Number > since / StepUs(config) ? step.Admitted : 0;
    }
    return admitted;
}

// Admits one of every 1/share requests. Starts at a random phase, so that the rounding errors of the instances cancel out.
static bool TakeShare(QuotaUse* use, double share, Random* random)
{
    if (share >= 1)
    {
        use->Credit = 0;
        return true;
    }
    use->Credit = use->Credit > 0 ? use->Credit : std::uniform_real_distribution<double>(0, 1)(*random);
    use->Credit += share;
    const bool taken = use->Credit >= 1;
    use->Credit -= taken ? 1 : 0;
    return taken;
}

// Refills the allowance at a rate of `part` requests per window, up to `part` or 1. The first time, it starts with one request, or, in
// a large fleet, with one or none by chance.
static void RefillAllowance(const Quota& quota, QuotaUse* use, double part, TimeUs now, Random* random)
{
    const QuotaConfig& config = quota.Config;
    if (use->AllowanceUs == 0)
    {
        const double chance = std::min(1.0, config.Slack / (config.PartitionedShare * MemberCount(quota, now)));
        use->Allowance = std::uniform_real_distribution<double>(0, 1)(*random) < chance ? 1 : 0;
        use->AllowanceUs = now;
    }
    const double passed = static_cast<double>(now - use->AllowanceUs) / static_cast<double>(config.WindowUs);
    use->Allowance = std::min(std::max(1.0, part), use->Allowance + part * passed);
    use->AllowanceUs = now;
}

// Takes one request from the allowance, if there is one.
static bool TakeFromAllowance(QuotaUse* use)
{
    const bool taken = use->Allowance >= 1;
    use->Allowance -= taken ? 1 : 0;
    return taken;
}

static bool TakeWithoutDecision(Quota* quota, QuotaUse* use, const QuotaLimit& limit, TimeUs now, Random* random)
{
    RefillAllowance(*quota, use, AdmissionGoal(quota->Config, limit) / MemberCount(*quota, now), now, random);
    if (LacksDecision(*quota, now) && use->AllowanceChargedUs != quota->DecisionUs)
    {
        use->Allowance -= AdmittedSince(*use, quota->Config, quota->DecisionUs); // The rest of the fleet doesn't know of these.
        use->AllowanceChargedUs = quota->DecisionUs;
    }
    return TakeFromAllowance(use);
}

// For bursts that are shorter than the delay of reports and decisions: applies the share, and limits the instance to EvenPartsMax times its
// even part.
static bool TakeShareWithinAllowance(Quota* quota, QuotaUse* use, const QuotaLimit& limit, double share, TimeUs now, Random* random)
{
    const double part = quota->Config.EvenPartsMax * AdmissionGoal(quota->Config, limit) / MemberCount(*quota, now);
    RefillAllowance(*quota, use, part, now, random);
    return use->Allowance >= 1 && TakeShare(use, share, random) && TakeFromAllowance(use);
}

static const QuotaDecision* FreshDecision(const Quota& quota, uint64_t id, TimeUs now)
{
    const auto found = quota.Shares.find(id);
    const bool fresh = found != quota.Shares.end() && now - found->second.AtUs <= quota.Config.ReportExpiryUs;
    return fresh ? &found->second : nullptr;
}

static bool Take(Quota* quota, const QuotaLimit& limit, TimeUs now, Random* random)
{
    QuotaUse& use = quota->Own[limit.Id];
    QuotaStep* step = StepAt(&use, quota->Config, now);
    step->Wanted++;
    const QuotaDecision* decision = FreshDecision(*quota, limit.Id, now);
    const bool fleet_started = quota->Covered < quota->Config.CoveredMin; // What was admitted before the fleet started is unknown.
    const double share = decision != nullptr ? decision->Share : 1;
    const bool may_burst = fleet_started || share >= quota->Config.BurstShare;
    const bool taken = LacksDecision(*quota, now) || (fleet_started && decision == nullptr)
                           ? TakeWithoutDecision(quota, &use, limit, now, random)
                       : may_burst ? TakeShareWithinAllowance(quota, &use, limit, share, now, random)
                                   : TakeShare(&use, share, random);
    step->Admitted += taken ? 1 : 0;
    return taken;
}

bool QuotaTake(Quota* quota, const Customer& customer, TimeUs now, Random* random)
{
    return customer.RatePerS <= 0 || Take(quota, LimitOf(customer), now, random);
}

bool QuotaTakeTarget(Quota* quota, uint64_t id, TimeUs now, Random* random)
{
    const TargetLimit* named = QuotaTargetLimit(*quota, id);
    return named == nullptr || Take(quota, LimitOf(*quota, id, *named), now, random);
}

void QuotaRefund(Quota* quota, uint64_t id, TimeUs taken)
{
    const auto use = quota->Own.find(id);
    if (use == quota->Own.end())
    {
        return;
    }
    const int64_t number = taken / StepUs(quota->Config);
    QuotaStep* step = RingEntry(&use->second, number);
    step->Admitted -= step->Number == number && step->Admitted > 0 ? 1 : 0;
}

TimeUs QuotaRetryDelay(const Quota& quota, uint64_t customer, Random* random)
{
    constexpr double min_share = 0.05; // Lower bound of the share, which limits the delay.
    const auto found = quota.Shares.find(customer);
    const double share = found != quota.Shares.end() ? std::max(found->second.Share, min_share) : 0.5;
    const double delay = static_cast<double>(UsPerSecond) * std::max(0.5, 0.5 / share); // A smaller share means a longer delay.
    return static_cast<TimeUs>(std::uniform_real_distribution<double>(0.8, 1.2)(*random) *
                               std::min(delay, static_cast<double>(quota.Config.WindowUs)));
}

//-----------------------------------------------------------------------------
// [SECTION] Decisions
//-----------------------------------------------------------------------------

static void RemoveExpiredMembers(std::map<std::string, QuotaMember>* members, TimeUs until)
{
    for (auto member = members->begin(); member != members->end();)
    {
        auto& counts = member->second.Counts;
        for (auto count = counts.begin(); count != counts.end();)
        {
            count = count->second.AtUs < until ? counts.erase(count) : std::next(count);
        }
        member = member->second.ReceivedUs < until ? members->erase(member) : std::next(member);
    }
}

static bool IsIdle(const QuotaUse& use, const QuotaConfig& config, TimeUs now)
{
    const int64_t oldest = now / StepUs(config) - static_cast<int64_t>(use.Counts.size());
    const auto old = [oldest](const QuotaStep& step)
    {
        return step.Number < oldest;
    };
    return std::all_of(use.Counts.begin(), use.Counts.end(), old);
}

static void RemoveExpired(Quota* quota, TimeUs now)
{
    const TimeUs until = now - quota->Config.ReportExpiryUs;
    RemoveExpiredMembers(&quota->Followers, until);
    RemoveExpiredMembers(&quota->Seeds, until);
    RemoveExpiredLimits(quota, now);
    for (auto share = quota->Shares.begin(); share != quota->Shares.end();)
    {
        share = share->second.AtUs < until ? quota->Shares.erase(share) : std::next(share);
    }
    for (auto use = quota->Own.begin(); use != quota->Own.end();)
    {
        use = IsIdle(use->second, quota->Config, now) ? quota->Own.erase(use) : std::next(use);
    }
}

// Lower bound of a rate that was counted over one step: subtracts two standard deviations, so that random variation of a few requests does
// not count as an increase.
static double RateLowerBound(const QuotaConfig& config, double rate)
{
    constexpr double deviations = 2;
    const double step_s = static_cast<double>(StepUs(config)) * Seconds;
    const double count = rate * step_s;
    return std::max(count - deviations * std::sqrt(count), 0.0) / step_s;
}

// The share of requests to admit so that the sum of the window reaches the goal. `usable`: part of the quota that may be used, below 1 if
// instances are missing; `covered`: part of the window that is covered by reports. Requests in the rest are assumed to equal the goal.
static double ComputeShare(const QuotaConfig& config, const QuotaLimit& limit, const QuotaCount& count, double usable, double covered)
{
    const double goal = AdmissionGoal(config, limit) * usable;
    const double unknown = goal * (1 - covered);
    const double even = goal / (static_cast<double>(config.WindowUs) * Seconds);
    const double expiring = std::min(count.Expiring + even * (1 - covered),
                                     even); // Bounded by the even rate, so that a burst that expires is not admitted as a burst again.
    const double correction = (goal - count.Admitted - unknown) / (static_cast<double>(config.CorrectionUs) * Seconds);
    const double rate = std::max(expiring + correction, 0.0);
    const double wanted = std::max(count.Wanted, RateLowerBound(config, count.RecentWanted));
    return rate >= wanted ? 1 : rate / wanted;
}

// Whether a change of a share should be sent at once: it falls much, or the limitation ends.
static bool IsSignificantChange(double before, double after)
{
    return after < before - ShareStep || (after >= 1 && before < 1);
}

static bool SetShare(Quota* quota, uint64_t customer, double share, TimeUs now)
{
    const auto known = quota->Shares.find(customer);
    const double before = known != quota->Shares.end() ? known->second.Share : 1;
    if (share < 1 || quota->Covered < 1)
    {
        quota->Shares[customer] = {share, now};
    }
    else if (before < 1)
    {
        known->second = {1, now}; // Kept until it expires, so that all instances learn of it.
    }
    return IsSignificantChange(before, share);
}

static void UpdateFleetSize(Quota* quota, const QuotaFleetSize& fleet_size, TimeUs now)
{
    const bool valid = IsValidCount(fleet_size.Members) && fleet_size.Members >= 1 && fleet_size.AgeUs >= 0 &&
                       fleet_size.AgeUs <= quota->Config.MembersExpiryUs;
    const bool forgotten = now - quota->MembersMaxUs > quota->Config.MembersExpiryUs;
    if (valid && (forgotten || fleet_size.Members >= quota->MembersMax))
    {
        const bool same = !forgotten && fleet_size.Members == quota->MembersMax;
        quota->MembersMax = fleet_size.Members;
        quota->MembersMaxUs = same ? std::max(quota->MembersMaxUs, now - fleet_size.AgeUs) : now - fleet_size.AgeUs;
    }
}

// An instance that changes its source is counted twice until its former report expires. So the minimum over a longer period is used.
static void UpdateStableFleetSize(Quota* quota, double members, TimeUs now)
{
    quota->MembersMin = quota->MembersMinUs > 0 ? std::min(quota->MembersMin, members) : members;
    quota->MembersMinUs = quota->MembersMinUs > 0 ? quota->MembersMinUs : now;
    if (now - quota->MembersMinUs > 2 * quota->Config.ReportExpiryUs && !IsAloneSinceStart(*quota, now))
    {
        UpdateFleetSize(quota, {quota->MembersMin, 0}, now);
        quota->MembersMin = members;
        quota->MembersMinUs = now;
    }
}

static QuotaFleetSize FleetSizeOf(const Quota& quota, TimeUs now)
{
    return {quota.MembersMax, now - quota.MembersMaxUs};
}

static QuotaFleet UpdateFleet(Quota* quota, TimeUs now)
{
    QuotaFleet fleet = SubtreeFleet(*quota, now);
    AddReportedMembers(&fleet, quota->Seeds);
    UpdateStableFleetSize(quota, fleet.Members, now);
    quota->Members = fleet.Members;
    quota->Covered = std::min(fleet.Covered / fleet.Members, 1.0);
    return fleet;
}

// Returns the limit for an id, or none.
using LimitLookup = std::function<std::optional<QuotaLimit>(uint64_t)>;

static bool DecideAll(Quota* quota, const LimitLookup& limit_of, TimeUs now)
{
    if (quota->DecidedUs > 0 && now - quota->DecidedUs < quota->Config.DecideUs)
    {
        return false;
    }
    quota->DecidedUs = now;
    RemoveExpired(quota, now);
    if (!quota->IsSeed)
    {
        return false;
    }
    const QuotaFleet fleet = UpdateFleet(quota, now);
    QuotaSums sums = SubtreeSums(*quota, now);
    AddReportedCounts(&sums, quota->Seeds);
    const double usable = quota->MembersMax > 0 ? std::min(fleet.Members / quota->MembersMax, 1.0) : 1;
    bool changed_much = false;
    for (auto& entry : quota->Shares)
    {
        const bool idle = entry.second.Share < 1 && sums.count(entry.first) == 0;
        entry.second = idle ? QuotaDecision{1, now} : entry.second;
    }
    for (const auto& [id, count] : sums)
    {
        const std::optional<QuotaLimit> limit = limit_of(id);
        const double share = limit ? ComputeShare(quota->Config, *limit, count, usable, quota->Covered) : 1;
        changed_much = SetShare(quota, id, share, now) || changed_much;
    }
    return changed_much;
}

bool QuotaDecide(Quota* quota, const Customers& customers, TimeUs now)
{
    const auto limit_of = [&customers](uint64_t id) -> std::optional<QuotaLimit>
    {
        const Customer* customer = FindCustomerById(customers, id);
        const bool limited = customer != nullptr && customer->RatePerS > 0;
        return limited ? std::optional<QuotaLimit>(LimitOf(*customer)) : std::nullopt;
    };
    return DecideAll(quota, limit_of, now);
}

bool QuotaDecideTargets(Quota* quota, TimeUs now)
{
    const auto limit_of = [quota](uint64_t id) -> std::optional<QuotaLimit>
    {
        const TargetLimit* named = QuotaTargetLimit(*quota, id);
        return named != nullptr ? std::optional<QuotaLimit>(LimitOf(*quota, id, *named)) : std::nullopt;
    };
    return DecideAll(quota, limit_of, now);
}

//-----------------------------------------------------------------------------
// [SECTION] Reports and answers
//-----------------------------------------------------------------------------

TimeUs QuotaReportDelay(const Quota& quota)
{
    const bool forwards = quota.IsSeed || !quota.Followers.empty();
    return forwards ? quota.Config.ForwardUs : quota.Config.ReportUs;
}

// Appends the limits of targets to the messages; adds messages when one is full. `in_last`: entries in the last message.
template <class T> static void AppendLimits(const Quota& quota, std::vector<T>* messages, size_t in_last, TimeUs now)
{
    for (const TargetLimitUpdate& update : LimitUpdates(quota, now))
    {
        if (in_last == EntriesMax)
        {
            messages->emplace_back();
            in_last = 0;
        }
        messages->back().Limits.push_back(update);
        in_last++;
    }
}

std::vector<QuotaReport> QuotaReports(const Quota& quota, TimeUs now)
{
    const QuotaFleet fleet = SubtreeFleet(quota, now);
    std::vector<QuotaReport> reports(1);
    for (const auto& [customer, count] : SubtreeSums(quota, now))
    {
        if (count.Admitted == 0 && count.Wanted == 0)
        {
            continue;
        }
        if (reports.back().Entries.size() == EntriesMax)
        {
            reports.emplace_back();
        }
        reports.back().Entries.push_back({customer, count});
    }
    AppendLimits(quota, &reports, reports.back().Entries.size(), now);
    for (QuotaReport& report : reports)
    {
        report.FleetSize = FleetSizeOf(quota, now);
        report.Members = fleet.Members;
        report.Covered = fleet.Covered;
    }
    return reports;
}

static bool IsValid(const QuotaReport& report)
{
    const auto valid = [](const QuotaReportEntry& entry)
    {
        return IsValidCount(entry.Count.Admitted) && IsValidCount(entry.Count.Expiring) && IsValidCount(entry.Count.Wanted) &&
               IsValidCount(entry.Count.RecentWanted);
    };
    const bool whole = std::all_of(report.Entries.begin(), report.Entries.end(), valid);
    return whole && IsValidCount(report.Members) && IsValidCount(report.Covered);
}

bool QuotaOnReport(Quota* quota, const std::string& from, const QuotaReport& report, bool from_seed, TimeUs now)
{
    if (!IsValid(report) || (from_seed && !quota->IsSeed))
    {
        return false;
    }
    QuotaMember& member = (from_seed ? quota->Seeds : quota->Followers)[from];
    const bool unknown = member.ReceivedUs == 0;
    UpdateFleetSize(quota, report.FleetSize, now);
    ApplyLimitUpdates(quota, report.Limits, now);
    (from_seed ? quota->Followers : quota->Seeds).erase(from); // It may have become a seed, or ceased to be one.
    member.ReceivedUs = now;
    member.Members = report.Members;
    member.Covered = report.Covered;
    for (const QuotaReportEntry& entry : report.Entries)
    {
        member.Counts[entry.Id] = {entry.Count, now};
    }
    return unknown;
}

std::vector<QuotaAnswer> QuotaAnswers(const Quota& quota, TimeUs now)
{
    const bool undecided = quota.IsSeed && quota.DecidedUs == 0;
    if (LacksDecision(quota, now) || undecided)
    {
        return {};
    }
    std::vector<QuotaAnswer> answers(1);
    for (const auto& [customer, decision] : quota.Shares)
    {
        if (answers.back().Shares.size() == EntriesMax)
        {
            answers.emplace_back();
        }
        answers.back().Shares.push_back({customer, decision.Share});
    }
    AppendLimits(quota, &answers, answers.back().Shares.size(), now);
    for (QuotaAnswer& answer : answers)
    {
        answer.FleetSize = FleetSizeOf(quota, now);
        answer.Covered = quota.Covered;
    }
    return answers;
}

bool QuotaOnAnswer(Quota* quota, const QuotaAnswer& answer, TimeUs now)
{
    if (quota->IsSeed || !IsValidCount(answer.Covered))
    {
        return false;
    }
    bool forward = LacksDecision(*quota, now);
    quota->DecisionUs = now;
    UpdateFleetSize(quota, answer.FleetSize, now);
    forward = ApplyLimitUpdates(quota, answer.Limits, now) || forward;
    quota->Covered = answer.Covered;
    for (const QuotaShare& entry : answer.Shares)
    {
        if (IsValidCount(entry.Share) && entry.Share <= 1)
        {
            forward = SetShare(quota, entry.Id, entry.Share, now) || forward;
        }
    }
    return forward;
}

} // namespace Winchlink
