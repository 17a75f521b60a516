// quota_fleet.cpp: model of a fleet that enforces quotas, in virtual time. See quota_fleet.h.

#include "quota_fleet.h"

namespace Winchlink
{

static constexpr TimeUs TickUs = 10 * UsPerMs; // Time step of the model.

static std::string NameOf(int instance)
{
    return "i" + std::to_string(instance);
}

static bool IsSeedInstance(int instance)
{
    return instance < SeedCountMax;
}

// The tree that the relay builds: seeds, then levels of followers.
static int ParentOf(int instance)
{
    const int first_level = SeedCountMax + SeedCountMax * FollowersMost;
    if (IsSeedInstance(instance))
    {
        return -1;
    }
    return instance < first_level ? instance % SeedCountMax : SeedCountMax + (instance - first_level) / FollowersMost;
}

static void StartInstance(QuotaFleet* fleet, int instance)
{
    QuotaFleetInstance& one = fleet->Instances[static_cast<size_t>(instance)];
    one.Known = Quota();
    one.Known.Config = fleet->Config;
    one.Known.IsSeed = IsSeedInstance(instance) || fleet->Isolated;
    one.Known.ExpectsOthers = fleet->Instances.size() > 1 && !fleet->Isolated;
    one.Known.StartedUs = fleet->Now;
    one.Parent = ParentOf(instance);
    one.NextUs = fleet->Now + std::uniform_int_distribution<TimeUs>(0, TickUs)(fleet->Rng);
}

QuotaFleet::QuotaFleet(int instances, uint64_t seed, const QuotaConfig& config)
    : Instances(static_cast<size_t>(instances)), Rng(seed), Config(config)
{
    for (int n = 0; n < instances; n++)
    {
        StartInstance(this, n);
    }
}

static size_t Add(QuotaFleet* fleet, double rate, double burst, double asked)
{
    Customer customer;
    customer.Name = "customer-" + std::to_string(fleet->All.List.size());
    customer.RatePerS = rate;
    customer.Burst = burst;
    CPPUNIT_ASSERT(bool(AddCustomer(&fleet->All, customer)));
    QuotaFleetCustomer load;
    load.Index = fleet->All.List.size() - 1;
    load.RequestedPerS = asked;
    fleet->Loads.push_back(load);
    return fleet->Loads.size() - 1;
}

size_t QuotaFleetAdd(QuotaFleet* fleet, double rate, double asked)
{
    return Add(fleet, rate, rate, asked);
}

QuotaFleet TargetFleet(int instances, uint64_t seed)
{
    QuotaFleet fleet(instances, seed, TargetQuotaConfig());
    fleet.OfTargets = true;
    return fleet;
}

size_t QuotaFleetAddTarget(QuotaFleet* fleet, double limit, double asked)
{
    const size_t target = Add(fleet, limit, 0, asked);
    fleet->Loads[target].IsTarget = true;
    QuotaFleetSetLimit(fleet, target, limit);
    return target;
}

void QuotaFleetSetLimit(QuotaFleet* fleet, size_t target, std::optional<double> limit)
{
    QuotaFleetCustomer& load = fleet->Loads[target];
    load.NamesLimit = limit.has_value();
    load.LimitSinceUs = fleet->Now;
    load.MaxInWindow = 0;
    load.AdmittedUs.clear();
    fleet->All.List[load.Index].RatePerS = limit.value_or(0);
}

static bool IsUp(const QuotaFleet& fleet, int instance)
{
    const QuotaFleetInstance& one = fleet.Instances[static_cast<size_t>(instance)];
    return one.DownUntilUs <= fleet.Now && !one.Paused;
}

// Whether the instance sends reports and answers.
static bool SendsMessages(const QuotaFleet& fleet, const Quota& known)
{
    return !fleet.Isolated && (!fleet.OfTargets || !known.Limits.empty());
}

static void Post(QuotaFleet* fleet, QuotaFleetMessage message)
{
    const int from_side = fleet->Instances[static_cast<size_t>(message.From)].PartitionId;
    const int to_side = fleet->Instances[static_cast<size_t>(message.To)].PartitionId;
    const bool lost = std::uniform_real_distribution<double>(0, 1)(fleet->Rng) < fleet->LossProbability;
    fleet->DatagramsSent++;
    if (from_side == to_side && !lost)
    {
        message.AtUs = fleet->Now + fleet->DelayUs;
        fleet->Messages.push_back(std::move(message));
    }
}

static void PostAnswers(QuotaFleet* fleet, int from, int to)
{
    for (const QuotaAnswer& answer : QuotaAnswers(fleet->Instances[static_cast<size_t>(from)].Known, fleet->Now))
    {
        Post(fleet, {0, from, to, false, std::nullopt, answer});
    }
}

static void AnswerFollowers(QuotaFleet* fleet, int from)
{
    for (const auto& entry : fleet->Instances[static_cast<size_t>(from)].Known.Followers)
    {
        PostAnswers(fleet, from, std::stoi(entry.first.substr(1)));
    }
}

static void PostReportsTo(QuotaFleet* fleet, int from, int to, bool to_seed)
{
    for (const QuotaReport& report : QuotaReports(fleet->Instances[static_cast<size_t>(from)].Known, fleet->Now))
    {
        Post(fleet, {0, from, to, to_seed, report, std::nullopt});
    }
}

static void PostReports(QuotaFleet* fleet, int from)
{
    const int parent = fleet->Instances[static_cast<size_t>(from)].Parent;
    const int seeds = std::min(SeedCountMax, static_cast<int>(fleet->Instances.size()));
    for (int seed = 0; IsSeedInstance(from) && seed < seeds; seed++)
    {
        if (seed != from)
        {
            PostReportsTo(fleet, from, seed, true);
        }
    }
    if (parent >= 0)
    {
        PostReportsTo(fleet, from, parent, false);
    }
}

// A follower that can't reach its source follows a seed that it reaches, if any.
static void FindSource(QuotaFleet* fleet, int instance)
{
    QuotaFleetInstance& one = fleet->Instances[static_cast<size_t>(instance)];
    const auto reaches = [&](int other)
    {
        return other >= 0 && IsUp(*fleet, other) && fleet->Instances[static_cast<size_t>(other)].PartitionId == one.PartitionId;
    };
    if (IsSeedInstance(instance) || reaches(one.Parent))
    {
        return;
    }
    for (int seed = 0; seed < SeedCountMax; seed++)
    {
        one.Parent = reaches(seed) ? seed : one.Parent;
    }
}

static void Decide(QuotaFleet* fleet, int instance)
{
    Quota& known = fleet->Instances[static_cast<size_t>(instance)].Known;
    const bool moved = fleet->OfTargets ? QuotaDecideTargets(&known, fleet->Now) : QuotaDecide(&known, fleet->All, fleet->Now);
    if (moved)
    {
        AnswerFollowers(fleet, instance);
    }
}

// Sends the limits to followers that have sent no report.
static void AnswerOtherFollowers(QuotaFleet* fleet, int from)
{
    const Quota& known = fleet->Instances[static_cast<size_t>(from)].Known;
    for (size_t n = 0; n < fleet->Instances.size(); n++)
    {
        const int other = static_cast<int>(n);
        if (fleet->Instances[n].Parent == from && known.Followers.count(NameOf(other)) == 0)
        {
            PostAnswers(fleet, from, other);
        }
    }
}

static void Report(QuotaFleet* fleet, int instance)
{
    QuotaFleetInstance& one = fleet->Instances[static_cast<size_t>(instance)];
    if (!IsUp(*fleet, instance) || fleet->Now < one.NextUs || !SendsMessages(*fleet, one.Known))
    {
        return;
    }
    one.NextUs = fleet->Now + QuotaReportDelay(one.Known);
    FindSource(fleet, instance);
    Decide(fleet, instance);
    PostReports(fleet, instance);
    if (fleet->OfTargets)
    {
        AnswerOtherFollowers(fleet, instance);
    }
}

static void Deliver(QuotaFleet* fleet, const QuotaFleetMessage& message)
{
    Quota& known = fleet->Instances[static_cast<size_t>(message.To)].Known;
    if (!IsUp(*fleet, message.To))
    {
        return;
    }
    if (message.Answer)
    {
        if (QuotaOnAnswer(&known, *message.Answer, fleet->Now))
        {
            AnswerFollowers(fleet, message.To);
        }
        return;
    }
    const bool unknown = QuotaOnReport(&known, NameOf(message.From), *message.Report, message.ToSeed, fleet->Now);
    Decide(fleet, message.To);
    if (!message.ToSeed)
    {
        PostAnswers(fleet, message.To, message.From);
    }
    else if (unknown)
    {
        PostReportsTo(fleet, message.To, message.From, true);
    }
}

static int DrawInstance(QuotaFleet* fleet)
{
    if (fleet->Weights.empty())
    {
        for (size_t n = 0; n < fleet->Instances.size(); n++)
        {
            fleet->Weights.push_back(std::uniform_real_distribution<double>(1, fleet->LoadRatioMax + 0.001)(fleet->Rng));
        }
    }
    int drawn = 0;
    do
    {
        drawn = std::discrete_distribution<int>(fleet->Weights.begin(), fleet->Weights.end())(fleet->Rng);
    } while (!IsUp(*fleet, drawn));
    return drawn;
}

// Whether the instance admits a request to the target. The target's answer arrives at once.
static bool SendToTarget(QuotaFleet* fleet, QuotaFleetInstance* one, const QuotaFleetCustomer& load)
{
    const Customer& target = fleet->All.List[load.Index];
    const bool taken = QuotaTakeTarget(&one->Known, target.Id, fleet->Now, &fleet->Rng);
    if (taken)
    {
        QuotaSetTargetLimit(&one->Known, target.Id, load.NamesLimit ? std::optional<double>(target.RatePerS) : std::nullopt, fleet->Now);
    }
    return taken;
}

static bool Send(QuotaFleet* fleet, QuotaFleetInstance* one, QuotaFleetCustomer* load)
{
    const Customer& customer = fleet->All.List[load->Index];
    return load->IsTarget ? SendToTarget(fleet, one, *load) : QuotaTake(&one->Known, customer, fleet->Now, &fleet->Rng);
}

static void SendRequest(QuotaFleet* fleet, QuotaFleetCustomer* load)
{
    constexpr TimeUs spread_us = UsPerSecond;    // Time a new limit needs to reach all instances; requests before are not counted.
    constexpr TimeUs named_us = 3 * UsPerSecond; // Windows that end earlier than this after a change are not counted.
    load->Requested++;
    if (!Send(fleet, &fleet->Instances[static_cast<size_t>(DrawInstance(fleet))], load))
    {
        return;
    }
    load->Admitted++;
    if (load->IsTarget && fleet->Now < load->LimitSinceUs + spread_us)
    {
        return;
    }
    load->AdmittedUs.push_back(fleet->Now);
    while (load->AdmittedUs.front() <= fleet->Now - fleet->Config.WindowUs)
    {
        load->AdmittedUs.pop_front();
    }
    if (!load->IsTarget || fleet->Now >= load->LimitSinceUs + named_us)
    {
        load->MaxInWindow = std::max(load->MaxInWindow, load->AdmittedUs.size());
    }
}

static void SendRequests(QuotaFleet* fleet)
{
    bool any_up = false;
    for (size_t n = 0; n < fleet->Instances.size() && !any_up; n++)
    {
        any_up = IsUp(*fleet, static_cast<int>(n));
    }
    for (QuotaFleetCustomer& load : fleet->Loads)
    {
        const double due = load.RequestedPerS * static_cast<double>(TickUs) / static_cast<double>(UsPerSecond);
        const int count = any_up ? std::poisson_distribution<int>(due + 1e-9)(fleet->Rng) : 0;
        for (int n = 0; n < count; n++)
        {
            SendRequest(fleet, &load);
        }
    }
}

void QuotaFleetRun(QuotaFleet* fleet, TimeUs time)
{
    const TimeUs end = fleet->Now + time;
    for (; fleet->Now < end; fleet->Now += TickUs)
    {
        while (!fleet->Messages.empty() && fleet->Messages.front().AtUs <= fleet->Now)
        {
            const QuotaFleetMessage message = std::move(fleet->Messages.front());
            fleet->Messages.pop_front();
            Deliver(fleet, message);
        }
        for (size_t n = 0; n < fleet->Instances.size(); n++)
        {
            Report(fleet, static_cast<int>(n));
        }
        SendRequests(fleet);
    }
}

void QuotaFleetRestart(QuotaFleet* fleet, int instance, TimeUs down)
{
    QuotaFleetInstance& one = fleet->Instances[static_cast<size_t>(instance)];
    StartInstance(fleet, instance);
    one.DownUntilUs = fleet->Now + down;
    one.Known.StartedUs = one.DownUntilUs;
    one.NextUs = one.DownUntilUs;
}

double QuotaFleetBound(const QuotaFleet& fleet, const QuotaFleetCustomer& load)
{
    const Customer& customer = fleet.All.List[load.Index];
    const double window = static_cast<double>(fleet.Config.WindowUs) / static_cast<double>(UsPerSecond);
    return (customer.RatePerS * window + customer.Burst) * (1 + fleet.Config.Overage) + fleet.Config.Slack;
}

double QuotaFleetServed(QuotaFleetCustomer* load)
{
    const double served = load->Requested > 0 ? static_cast<double>(load->Admitted) / static_cast<double>(load->Requested) : 1;
    load->Requested = 0;
    load->Admitted = 0;
    return served;
}

} // namespace Winchlink
