// winchlink_quota.cpp: what customers may ask of the whole fleet, and targets take of it.
//
// Index of this file:
// [SECTION] Limits that targets name
// [SECTION] Counting
// [SECTION] Admitting
// [SECTION] Deciding
// [SECTION] Telling

#include "winchlink.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <functional>

namespace Winchlink
{

static constexpr size_t EntriesMost = 48; // Customers, or limits, in one message: it fits a packet.
static constexpr double CountMost = 1e9;  // Larger ones make no sense.
static constexpr double ShareStep = 0.1;  // A share that moves by more is told at once.
static constexpr double Seconds = 1.0 / static_cast<double>(UsPerSecond);

// What may be asked in one name over the whole fleet.
struct QuotaLimit
{
    uint64_t Id = 0;     // Of a customer, or of a target's life.
    double RatePerS = 0; // Requests a second,
    double Burst = 0;    // and so many on top.
};

static QuotaLimit LimitOf(const Customer& customer)
{
    return {customer.Id, customer.RatePerS, customer.Burst};
}

static bool IsCount(double value)
{
    return std::isfinite(value) && value >= 0 && value <= CountMost;
}

//-----------------------------------------------------------------------------
// [SECTION] Limits that targets name
//-----------------------------------------------------------------------------

QuotaConfig TargetQuotaConfig()
{
    QuotaConfig config;
    config.WindowUs = 4 * UsPerSecond;
    config.Overage = 0.5;
    config.Slack = 5;
    config.OverageUsed = 0.15; // Shares end at 0 and 1, so that the mean lies below the aim: with it, at the limit.
    config.StartParts = 2;
    config.SurgeShare = 0.9;
    config.CutOffShare = 1;
    return config;
}

static QuotaLimit LimitOf(const Quota& quota, uint64_t id, const NamedLimit& named)
{
    return {id, std::max(named.PerS, quota.Config.TrialPerS), 0};
}

bool QuotaName(Quota* quota, uint64_t id, std::optional<double> per_s, TimeUs now)
{
    const auto found = quota->Named.find(id);
    if (!per_s && found == quota->Named.end())
    {
        return false; // Nearly all targets, nearly always.
    }
    NamedLimit& known = quota->Named[id];
    const bool same = known.InForce == per_s.has_value() && (!per_s || known.PerS == *per_s);
    known = {per_s.value_or(known.PerS), per_s.has_value(), now};
    return !same;
}

const NamedLimit* QuotaNamed(const Quota& quota, uint64_t id)
{
    const auto found = quota.Named.find(id);
    return found != quota.Named.end() && found->second.InForce ? &found->second : nullptr;
}

TimeUs QuotaNamedTurn(const Quota& quota, uint64_t id)
{
    const NamedLimit* named = QuotaNamed(quota, id);
    return named != nullptr ? static_cast<TimeUs>(static_cast<double>(UsPerSecond) / LimitOf(quota, id, *named).RatePerS) : 0;
}

static void ForgetNamed(Quota* quota, TimeUs now)
{
    for (auto named = quota->Named.begin(); named != quota->Named.end();)
    {
        const TimeUs kept = named->second.InForce ? quota->Config.NamedKeptUs : quota->Config.LiftedKeptUs;
        const bool old = now - named->second.HeardUs > kept;
        named = old ? quota->Named.erase(named) : std::next(named);
    }
}

static std::vector<NamedLimitNews> NamedNews(const Quota& quota, TimeUs now)
{
    std::vector<NamedLimitNews> news;
    for (const auto& [id, named] : quota.Named)
    {
        news.push_back({id, named.PerS, named.InForce, now - named.HeardUs});
    }
    return news;
}

// True if any of it is new.
static bool HearNamed(Quota* quota, const std::vector<NamedLimitNews>& news, TimeUs now)
{
    bool changed = false;
    for (const NamedLimitNews& told : news)
    {
        const bool sane = IsCount(told.PerS) && told.AgeUs >= 0 && told.AgeUs <= quota->Config.NamedKeptUs;
        const TimeUs heard = now - told.AgeUs;
        const auto found = quota->Named.find(told.Id);
        const bool newer = found == quota->Named.end() || heard > found->second.HeardUs;
        if (sane && newer)
        {
            const bool same = found != quota->Named.end() && found->second.PerS == told.PerS && found->second.InForce == told.InForce;
            quota->Named[told.Id] = {told.PerS, told.InForce, heard};
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

static QuotaStep* PlaceOf(QuotaUse* use, int64_t number)
{
    return &use->Counts[static_cast<size_t>(number) % use->Counts.size()];
}

static QuotaStep* StepAt(QuotaUse* use, const QuotaConfig& config, TimeUs at)
{
    const int64_t number = at / StepUs(config);
    QuotaStep* step = PlaceOf(use, number);
    if (step->Number != number)
    {
        *step = QuotaStep{number, 0, 0};
    }
    return step;
}

// Steps of about a second.
static int64_t StepsOfSecond(const QuotaConfig& config)
{
    return std::clamp<int64_t>(UsPerSecond / StepUs(config), 1, QuotaUse::Steps);
}

static QuotaCount CountOf(const Quota& quota, const QuotaUse& use, TimeUs now)
{
    const QuotaConfig& config = quota.Config;
    const int64_t current = now / StepUs(config);
    const int64_t second = StepsOfSecond(config);
    const TimeUs up = std::max(now - quota.StartedUs, StepUs(config)); // A start has seen only so much.
    const double per_s = 1.0 / (static_cast<double>(second * StepUs(config)) * Seconds);
    const double seen_per_s = std::max(per_s, 1.0 / (static_cast<double>(up) * Seconds));
    QuotaCount count;
    double lately = 0; // With the step that has just begun,
    double before = 0; // and without.
    double rising = 0; // In that step or the one before.
    for (const QuotaStep& step : use.Counts)
    {
        const int64_t age = current - step.Number;
        if (step.Number < 0 || age > QuotaUse::Steps)
        {
            continue;
        }
        count.Admitted += step.Admitted;
        count.Leaving += age > QuotaUse::Steps - second ? step.Admitted * per_s : 0;
        lately += age < second ? step.Wanted : 0;
        before += age >= 1 && age <= second ? step.Wanted : 0;
        rising = age <= 1 ? std::max<double>(rising, step.Wanted) : rising;
    }
    count.Rising = rising / (static_cast<double>(StepUs(config)) * Seconds);
    count.Wanted = std::max(lately, before) * seen_per_s;
    return count;
}

static void AddTo(QuotaCount* sum, const QuotaCount& count)
{
    sum->Admitted += count.Admitted;
    sum->Leaving += count.Leaving;
    sum->Wanted += count.Wanted;
    sum->Rising += count.Rising;
}

using QuotaSums = std::unordered_map<uint64_t, QuotaCount>;

static void AddMembers(QuotaSums* sums, const std::map<std::string, QuotaMember>& members)
{
    for (const auto& entry : members)
    {
        for (const auto& [customer, heard] : entry.second.Counts)
        {
            AddTo(&(*sums)[customer], heard.Count);
        }
    }
}

// Of this instance and of those that report to it.
static QuotaSums SumsBelow(const Quota& quota, TimeUs now)
{
    QuotaSums sums;
    for (const auto& [customer, use] : quota.Own)
    {
        AddTo(&sums[customer], CountOf(quota, use, now));
    }
    AddMembers(&sums, quota.Followers);
    return sums;
}

struct QuotaFleet
{
    double Members = 1; // This instance.
    double Covered = 0;
};

static void AddMembersTo(QuotaFleet* fleet, const std::map<std::string, QuotaMember>& members)
{
    for (const auto& entry : members)
    {
        fleet->Members += entry.second.Members;
        fleet->Covered += entry.second.Covered;
    }
}

static QuotaFleet FleetBelow(const Quota& quota, TimeUs now)
{
    QuotaFleet fleet;
    const double up = static_cast<double>(now - quota.StartedUs) / static_cast<double>(quota.Config.WindowUs);
    fleet.Covered = std::clamp(up, 0.0, 1.0);
    AddMembersTo(&fleet, quota.Followers);
    return fleet;
}

//-----------------------------------------------------------------------------
// [SECTION] Admitting
//-----------------------------------------------------------------------------

// Requests of a window that are aimed at.
static double AimOf(const QuotaConfig& config, const QuotaLimit& limit)
{
    const double quota = limit.RatePerS * static_cast<double>(config.WindowUs) * Seconds + limit.Burst;
    return quota +
           config.OverageUsed * (config.Overage * quota + std::min(config.Slack, quota)); // Who may ask for little gets little more.
}

static double MembersOf(const Quota& quota)
{
    const double now = quota.Decides ? quota.Members : quota.Config.MembersGuess;
    return quota.MembersMost > 0 ? quota.MembersMost : now;
}

// Nobody has told a decision for a while.
static bool IsAlone(const Quota& quota, TimeUs now)
{
    return !quota.Decides && (quota.ToldUs == 0 || now - quota.ToldUs > quota.Config.MemberUs);
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

// Of every so many requests one is taken, beginning anywhere, so that the fleet's rounding errors cancel out.
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

// Fills up what may be admitted without a decision: at first one request, or none in a large fleet, and then our part of the aim.
static void FillAlone(const Quota& quota, QuotaUse* use, double part, TimeUs now, Random* random)
{
    const QuotaConfig& config = quota.Config;
    if (use->AloneUs == 0)
    {
        const double chance = std::min(1.0, config.Slack / (config.CutOffShare * MembersOf(quota)));
        use->Alone = std::uniform_real_distribution<double>(0, 1)(*random) < chance ? 1 : 0;
        use->AloneUs = now;
    }
    const double passed = static_cast<double>(now - use->AloneUs) / static_cast<double>(config.WindowUs);
    use->Alone = std::min(std::max(1.0, part), use->Alone + part * passed);
    use->AloneUs = now;
}

// Takes one of those that may be admitted without a decision.
static bool TakeFilled(QuotaUse* use)
{
    const bool taken = use->Alone >= 1;
    use->Alone -= taken ? 1 : 0;
    return taken;
}

static bool TakeAlone(Quota* quota, QuotaUse* use, const QuotaLimit& limit, TimeUs now, Random* random)
{
    FillAlone(*quota, use, AimOf(quota->Config, limit) / MembersOf(*quota), now, random);
    if (IsAlone(*quota, now) && use->ChargedUs != quota->ToldUs)
    {
        use->Alone -= AdmittedSince(*use, quota->Config, quota->ToldUs); // Nobody else knows of these.
        use->ChargedUs = quota->ToldUs;
    }
    return TakeFilled(use);
}

// For requests that may all come within less time than news take: besides its share, no instance admits more than a few times its even
// part.
static bool TakeShareOfPart(Quota* quota, QuotaUse* use, const QuotaLimit& limit, double share, TimeUs now, Random* random)
{
    const double part = quota->Config.StartParts * AimOf(quota->Config, limit) / MembersOf(*quota);
    FillAlone(*quota, use, part, now, random);
    return use->Alone >= 1 && TakeShare(use, share, random) && TakeFilled(use);
}

static const QuotaDecision* FreshDecision(const Quota& quota, uint64_t id, TimeUs now)
{
    const auto found = quota.Shares.find(id);
    const bool fresh = found != quota.Shares.end() && now - found->second.AtUs <= quota.Config.MemberUs;
    return fresh ? &found->second : nullptr;
}

static bool Take(Quota* quota, const QuotaLimit& limit, TimeUs now, Random* random)
{
    QuotaUse& use = quota->Own[limit.Id];
    QuotaStep* step = StepAt(&use, quota->Config, now);
    step->Wanted++;
    const QuotaDecision* decision = FreshDecision(*quota, limit.Id, now);
    const bool started = quota->Covered < quota->Config.StartCovered; // Nobody knows what it was admitted before the start of all.
    const double share = decision != nullptr ? decision->Share : 1;
    const bool may_surge = started || share >= quota->Config.SurgeShare;
    const bool taken = IsAlone(*quota, now) || (started && decision == nullptr) ? TakeAlone(quota, &use, limit, now, random)
                       : may_surge                                              ? TakeShareOfPart(quota, &use, limit, share, now, random)
                                                                                : TakeShare(&use, share, random);
    step->Admitted += taken ? 1 : 0;
    return taken;
}

bool QuotaTake(Quota* quota, const Customer& customer, TimeUs now, Random* random)
{
    return customer.RatePerS <= 0 || Take(quota, LimitOf(customer), now, random);
}

bool QuotaTakeNamed(Quota* quota, uint64_t id, TimeUs now, Random* random)
{
    const NamedLimit* named = QuotaNamed(*quota, id);
    return named == nullptr || Take(quota, LimitOf(*quota, id, *named), now, random);
}

void QuotaReturn(Quota* quota, uint64_t id, TimeUs taken)
{
    const auto use = quota->Own.find(id);
    if (use == quota->Own.end())
    {
        return;
    }
    const int64_t number = taken / StepUs(quota->Config);
    QuotaStep* step = PlaceOf(&use->second, number);
    step->Admitted -= step->Number == number && step->Admitted > 0 ? 1 : 0;
}

TimeUs QuotaReturnTime(const Quota& quota, uint64_t customer, Random* random)
{
    constexpr double least_share = 0.05; // Who has less is told no longer time: the window has changed by then.
    const auto found = quota.Shares.find(customer);
    const double share = found != quota.Shares.end() ? std::max(found->second.Share, least_share) : 0.5;
    const double turn = static_cast<double>(UsPerSecond) * std::max(0.5, 0.5 / share); // About one in two of such callers has hope by then.
    return static_cast<TimeUs>(std::uniform_real_distribution<double>(0.8, 1.2)(*random) *
                               std::min(turn, static_cast<double>(quota.Config.WindowUs)));
}

//-----------------------------------------------------------------------------
// [SECTION] Deciding
//-----------------------------------------------------------------------------

static void ForgetMembers(std::map<std::string, QuotaMember>* members, TimeUs until)
{
    for (auto member = members->begin(); member != members->end();)
    {
        auto& counts = member->second.Counts;
        for (auto count = counts.begin(); count != counts.end();)
        {
            count = count->second.AtUs < until ? counts.erase(count) : std::next(count);
        }
        member = member->second.HeardUs < until ? members->erase(member) : std::next(member);
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

static void Forget(Quota* quota, TimeUs now)
{
    const TimeUs until = now - quota->Config.MemberUs;
    ForgetMembers(&quota->Followers, until);
    ForgetMembers(&quota->Contacts, until);
    ForgetNamed(quota, now);
    for (auto share = quota->Shares.begin(); share != quota->Shares.end();)
    {
        share = share->second.AtUs < until ? quota->Shares.erase(share) : std::next(share);
    }
    for (auto use = quota->Own.begin(); use != quota->Own.end();)
    {
        use = IsIdle(use->second, quota->Config, now) ? quota->Own.erase(use) : std::next(use);
    }
}

// What is left of a rate that was counted over one step, less what chance may have added: a few requests are no rise.
static double SureRate(const QuotaConfig& config, double rate)
{
    constexpr double deviations = 2;
    const double step_s = static_cast<double>(StepUs(config)) * Seconds;
    const double count = rate * step_s;
    return std::max(count - deviations * std::sqrt(count), 0.0) / step_s;
}

// The share of a customer's requests that brings its sum to the aim. `usable`: part of the quota that is ours to use; `covered`: part of
// the window that is known.
static double Decide(const QuotaConfig& config, const QuotaLimit& limit, const QuotaCount& count, double usable, double covered)
{
    const double aim = AimOf(config, limit) * usable;
    const double unknown = aim * (1 - covered);
    const double even = aim / (static_cast<double>(config.WindowUs) * Seconds);
    const double leaving = std::min(count.Leaving + even * (1 - covered), even); // What came as a burst is not to come as one again.
    const double correction = (aim - count.Admitted - unknown) / (static_cast<double>(config.CorrectUs) * Seconds);
    const double rate = std::max(leaving + correction, 0.0);
    const double wanted = std::max(count.Wanted, SureRate(config, count.Rising));
    return rate >= wanted ? 1 : rate / wanted;
}

// Whether it should be told at once: it falls, or ends.
static bool Moves(double before, double after)
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
        known->second = {1, now}; // Kept until all have heard that it is free again.
    }
    return Moves(before, share);
}

static void TakeMost(Quota* quota, const QuotaMost& most, TimeUs now)
{
    const bool sane = IsCount(most.Members) && most.Members >= 1 && most.AgeUs >= 0 && most.AgeUs <= quota->Config.MembersKeptUs;
    const bool forgotten = now - quota->MembersMostUs > quota->Config.MembersKeptUs;
    if (sane && (forgotten || most.Members >= quota->MembersMost))
    {
        const bool same = !forgotten && most.Members == quota->MembersMost;
        quota->MembersMost = most.Members;
        quota->MembersMostUs = same ? std::max(quota->MembersMostUs, now - most.AgeUs) : now - most.AgeUs;
    }
}

// An instance that follows another one than before is counted twice until its former report lapses: what counts is the least of a time that
// is longer.
static void TakeSteady(Quota* quota, double members, TimeUs now)
{
    quota->MembersLow = quota->MembersLowUs > 0 ? std::min(quota->MembersLow, members) : members;
    quota->MembersLowUs = quota->MembersLowUs > 0 ? quota->MembersLowUs : now;
    if (now - quota->MembersLowUs > 2 * quota->Config.MemberUs)
    {
        TakeMost(quota, {quota->MembersLow, 0}, now);
        quota->MembersLow = members;
        quota->MembersLowUs = now;
    }
}

static QuotaMost MostOf(const Quota& quota, TimeUs now)
{
    return {quota.MembersMost, now - quota.MembersMostUs};
}

static QuotaFleet FleetOf(Quota* quota, TimeUs now)
{
    QuotaFleet fleet = FleetBelow(*quota, now);
    AddMembersTo(&fleet, quota->Contacts);
    TakeSteady(quota, fleet.Members, now);
    quota->Members = fleet.Members;
    quota->Covered = std::min(fleet.Covered / fleet.Members, 1.0);
    return fleet;
}

// What is known of the limit under an id; none: there is no limit.
using LimitLookup = std::function<std::optional<QuotaLimit>(uint64_t)>;

static bool DecideAll(Quota* quota, const LimitLookup& limit_of, TimeUs now)
{
    if (quota->DecidedUs > 0 && now - quota->DecidedUs < quota->Config.DecideUs)
    {
        return false;
    }
    quota->DecidedUs = now;
    Forget(quota, now);
    if (!quota->Decides)
    {
        return false;
    }
    const QuotaFleet fleet = FleetOf(quota, now);
    QuotaSums sums = SumsBelow(*quota, now);
    AddMembers(&sums, quota->Contacts);
    const double usable = quota->MembersMost > 0 ? std::min(fleet.Members / quota->MembersMost, 1.0) : 1;
    bool moved = false;
    for (auto& entry : quota->Shares)
    {
        const bool idle = entry.second.Share < 1 && sums.count(entry.first) == 0;
        entry.second = idle ? QuotaDecision{1, now} : entry.second;
    }
    for (const auto& [id, count] : sums)
    {
        const std::optional<QuotaLimit> limit = limit_of(id);
        const double share = limit ? Decide(quota->Config, *limit, count, usable, quota->Covered) : 1;
        moved = SetShare(quota, id, share, now) || moved;
    }
    return moved;
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

bool QuotaDecideNamed(Quota* quota, TimeUs now)
{
    const auto limit_of = [quota](uint64_t id) -> std::optional<QuotaLimit>
    {
        const NamedLimit* named = QuotaNamed(*quota, id);
        return named != nullptr ? std::optional<QuotaLimit>(LimitOf(*quota, id, *named)) : std::nullopt;
    };
    return DecideAll(quota, limit_of, now);
}

//-----------------------------------------------------------------------------
// [SECTION] Telling
//-----------------------------------------------------------------------------

TimeUs QuotaReportIn(const Quota& quota)
{
    const bool forwards = quota.Decides || !quota.Followers.empty();
    return forwards ? quota.Config.ForwardUs : quota.Config.ReportUs;
}

// Adds named limits to messages, each of which holds a packet's worth.
template <class T> static void AppendNamed(const Quota& quota, std::vector<T>* messages, size_t in_last, TimeUs now)
{
    for (const NamedLimitNews& news : NamedNews(quota, now))
    {
        if (in_last == EntriesMost)
        {
            messages->emplace_back();
            in_last = 0;
        }
        messages->back().Named.push_back(news);
        in_last++;
    }
}

std::vector<QuotaReport> QuotaReports(const Quota& quota, TimeUs now)
{
    const QuotaFleet fleet = FleetBelow(quota, now);
    std::vector<QuotaReport> reports(1);
    for (const auto& [customer, count] : SumsBelow(quota, now))
    {
        if (count.Admitted == 0 && count.Wanted == 0)
        {
            continue;
        }
        if (reports.back().Entries.size() == EntriesMost)
        {
            reports.emplace_back();
        }
        reports.back().Entries.push_back({customer, count});
    }
    AppendNamed(quota, &reports, reports.back().Entries.size(), now);
    for (QuotaReport& report : reports)
    {
        report.Most = MostOf(quota, now);
        report.Members = fleet.Members;
        report.Covered = fleet.Covered;
    }
    return reports;
}

static bool IsSane(const QuotaReport& report)
{
    const auto sane = [](const QuotaReportEntry& entry)
    {
        return IsCount(entry.Count.Admitted) && IsCount(entry.Count.Leaving) && IsCount(entry.Count.Wanted) && IsCount(entry.Count.Rising);
    };
    const bool whole = std::all_of(report.Entries.begin(), report.Entries.end(), sane);
    return whole && IsCount(report.Members) && IsCount(report.Covered);
}

bool QuotaHeardReport(Quota* quota, const std::string& from, const QuotaReport& report, bool contact, TimeUs now)
{
    if (!IsSane(report) || (contact && !quota->Decides))
    {
        return false;
    }
    QuotaMember& member = (contact ? quota->Contacts : quota->Followers)[from];
    const bool unknown = member.HeardUs == 0;
    TakeMost(quota, report.Most, now);
    HearNamed(quota, report.Named, now);
    (contact ? quota->Followers : quota->Contacts).erase(from); // It has become the other.
    member.HeardUs = now;
    member.Members = report.Members;
    member.Covered = report.Covered;
    for (const QuotaReportEntry& entry : report.Entries)
    {
        member.Counts[entry.Customer] = {entry.Count, now};
    }
    return unknown;
}

std::vector<QuotaAnswer> QuotaAnswers(const Quota& quota, TimeUs now)
{
    const bool undecided = quota.Decides && quota.DecidedUs == 0;
    if (IsAlone(quota, now) || undecided)
    {
        return {};
    }
    std::vector<QuotaAnswer> answers(1);
    for (const auto& [customer, decision] : quota.Shares)
    {
        if (answers.back().Shares.size() == EntriesMost)
        {
            answers.emplace_back();
        }
        answers.back().Shares.push_back({customer, decision.Share});
    }
    AppendNamed(quota, &answers, answers.back().Shares.size(), now);
    for (QuotaAnswer& answer : answers)
    {
        answer.Most = MostOf(quota, now);
        answer.Covered = quota.Covered;
    }
    return answers;
}

bool QuotaHeardAnswer(Quota* quota, const QuotaAnswer& answer, TimeUs now)
{
    if (quota->Decides || !IsCount(answer.Covered))
    {
        return false;
    }
    bool moved = IsAlone(*quota, now);
    quota->ToldUs = now;
    TakeMost(quota, answer.Most, now);
    moved = HearNamed(quota, answer.Named, now) || moved;
    quota->Covered = answer.Covered;
    for (const QuotaShare& told : answer.Shares)
    {
        if (IsCount(told.Share) && told.Share <= 1)
        {
            moved = SetShare(quota, told.Customer, told.Share, now) || moved;
        }
    }
    return moved;
}

} // namespace Winchlink
