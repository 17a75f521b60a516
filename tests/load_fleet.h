// load_fleet.h: a model of a fleet in which instances choose targets and share load reports, in virtual time and without a network.
//
// Each instance has a pool, peers and a LoadSharing of its own; all decisions are the library's. The model adds what surrounds them: the
// order of probes as in a choosing round, targets whose speed changes, and links that delay and lose messages.

#pragma once

#include "check.h"

#include <functional>
#include <queue>

namespace Winchlink
{

struct FleetDataCentre
{
    int Instances = 65;
    int Targets = 36;
    double RequestsPerS = 325; // Of its callers.
};

// What an instance does with the messages between instances.
enum Neighbour_ : int
{
    Neighbour_Normal,
    Neighbour_Silent, // Neither sends nor takes any, as an older version does.
    Neighbour_Lies,   // Offers each instance that asks a free slot of some target, whether there is one or not.
    Neighbour_Late,   // Sends and takes messages half a second late, as if it had been paused in between.
    Neighbour_COUNT,
};

struct FleetPlan
{
    std::vector<FleetDataCentre> DataCentres = {{}, {}, {}};
    bool Shared = true;                   // Load reports are shared.
    double Loss = 0;                      // Share of the messages between instances that are lost.
    Neighbour_ Odd = Neighbour_Normal;    // What some instances do,
    double OddShare = 0;                  // and how many of them.
    TimeUs LengthUs = 12 * UsPerSecond;   // Requests arrive for this long.
    TimeUs CountFromUs = 2 * UsPerSecond; // Those before are not counted.
    TimeUs ObjectiveUs = 300 * UsPerMs;   // Latency objective of the requests.
    TimeUs WorkUs = 94 * UsPerMs;         // Their work.
    int Slots = 2;                        // Of each target.
    double SlowShare = 0.3;               // Share of the targets that are slow at a moment,
    double SlowFactorMax = 7;             // at most by this factor.
    double FullFactor = 1.4;              // Slowdown of a target whose slots are all in use.
    uint64_t Seed = 20261204;
};

struct FleetResult
{
    int Requests = 0;
    int Refused = 0;
    int InTime = 0;
    int Crossed = 0;    // Served in another data centre.
    int Collisions = 0; // Arrived at a target without a free slot.
    int Unusable = 0;   // Sent without a fresh answer of the target itself that said that it had a free slot.
    int64_t Probes = 0;
    int64_t Messages = 0;
    int64_t Bytes = 0;
    std::vector<double> WaitsMs;    // Before the first send.
    std::vector<double> RefusalsMs; // Until refused.
    std::vector<int> RefusedAt;     // By data centre.
    std::vector<int> RequestsAt;

    double PerRequest(int64_t count) const
    {
        return static_cast<double>(count) / std::max(Requests, 1);
    }
};

inline double PercentileOf(std::vector<double> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<size_t>(share * static_cast<double>(values.size())))];
}

struct FleetTarget
{
    int DataCentre = 0;
    int Running = 0;
    std::deque<std::function<void()>> Queue;
};

struct FleetRequest
{
    int Instance = 0;
    TimeUs ArrivedUs = 0;
    TimeUs DeadlineUs = 0; // Of choosing.
    std::vector<std::string> Probed;
    int Probes = 0;
    int InFlight = 0;
    int MaxInFlight = 1;
    TimeUs LastProbeUs = 0;
    int Offered = 0;       // Probes of offered targets, beyond the usual number.
    double WorkFactor = 1; // Its work, as a multiple of the usual.
    bool Waiting = false;  // Until RetryUs.
    bool Done = false;
};

using FleetRequestPtr = std::shared_ptr<FleetRequest>;

struct FleetInstance
{
    int DataCentre = 0;
    uint16_t DataCentreId = 0;
    std::string Address;
    Neighbour_ Kind = Neighbour_Normal;
    TargetPool Pool;
    Peers Others;
    LoadSharing Sharing;
    AdaptiveProbeTimeout Timeout;
    std::vector<FleetRequestPtr> Choosing;
};

class LoadFleet
{
public:
    FleetPlan Plan;
    FleetResult Result;
    TimeUs Now = 100 * UsPerSecond;

    explicit LoadFleet(const FleetPlan& plan) : Plan(plan), Rng(plan.Seed), Arrivals(plan.Seed)
    {
        StartUs = Now;
        MakeTargets();
        MakeInstances();
        Result.RefusedAt.resize(plan.DataCentres.size());
        Result.RequestsAt.resize(plan.DataCentres.size());
        for (size_t n = 0; n < plan.DataCentres.size(); n++)
        {
            ScheduleArrival(static_cast<int>(n));
        }
    }

    FleetResult Run()
    {
        while (!Events.empty())
        {
            const Event event = Events.top();
            Events.pop();
            Now = event.At;
            event.Do();
        }
        return Result;
    }

private:
    static constexpr TimeUs ProbeWorkUs = 6 * UsPerMs;
    static constexpr TimeUs NearUs = 200; // One way within a data centre,
    static constexpr TimeUs FarUs = 1400; // and between two.
    static constexpr TimeUs ReuseUs = 8 * UsPerMs;
    static constexpr TimeUs SlowProbeUs = 5 * UsPerMs;
    static constexpr TimeUs LateProbeUs = 10 * UsPerMs; // Of a slow target: the decision doesn't wait for its answer.
    static constexpr TimeUs RetryUs = 20 * UsPerMs;
    static constexpr int OfferedMax = 1;
    static constexpr TimeUs PaceUs = 150 * UsPerMs;
    static constexpr int ProbesMax = 8;

    struct Event
    {
        TimeUs At = 0;
        uint64_t Number = 0;
        std::function<void()> Do;

        bool operator<(const Event& other) const
        {
            return std::tie(At, Number) > std::tie(other.At, other.Number);
        }
    };

    Random Rng;
    Random Arrivals; // Separate, so that runs with the same plan of arrivals get the same requests.
    TimeUs StartUs = 0;
    uint64_t EventCount = 0;
    std::priority_queue<Event> Events;
    std::map<std::string, FleetTarget> Targets;
    std::vector<DirectoryTarget> Listed;
    std::vector<FleetInstance> Instances;
    std::unordered_map<std::string, int> ByAddress;
    std::vector<std::vector<int>> InDataCentre;
    const std::string Service = "svc";

    void After(TimeUs delay, std::function<void()> what)
    {
        Events.push({Now + delay, ++EventCount, std::move(what)});
    }

    int64_t Draw(int64_t min, int64_t end)
    {
        return std::uniform_int_distribution<int64_t>(min, end - 1)(Rng);
    }

    double Share()
    {
        return std::uniform_real_distribution<double>(0, 1)(Rng);
    }

    bool Counts(TimeUs arrived) const
    {
        return arrived >= StartUs + Plan.CountFromUs;
    }

    static std::string NameOf(int data_centre)
    {
        return "dc" + std::to_string(data_centre);
    }

    void MakeTargets()
    {
        for (size_t place = 0; place < Plan.DataCentres.size(); place++)
        {
            for (int n = 0; n < Plan.DataCentres[place].Targets; n++)
            {
                DirectoryTarget listed;
                listed.Id = "t" + std::to_string(place) + "-" + std::to_string(n);
                listed.Service = Service;
                listed.DataCentre = NameOf(static_cast<int>(place));
                listed.Slots = Plan.Slots;
                Listed.push_back(listed);
                Targets[listed.Id].DataCentre = static_cast<int>(place);
            }
        }
    }

    // Each instance knows up to 64 others, drawn from the whole fleet.
    void MakeInstances()
    {
        TargetList list;
        for (const DirectoryTarget& target : Listed)
        {
            list.push_back(&target);
        }
        std::vector<PeerUpdate> all;
        for (size_t place = 0; place < Plan.DataCentres.size(); place++)
        {
            InDataCentre.emplace_back();
            for (int n = 0; n < Plan.DataCentres[place].Instances; n++)
            {
                const int index = static_cast<int>(all.size());
                InDataCentre.back().push_back(index);
                const std::string address = "10.0." + std::to_string(index / 250) + "." + std::to_string(1 + index % 250) + ":7000";
                all.push_back({address, PeerDataCentre(NameOf(static_cast<int>(place))), 0, true});
                ByAddress[address] = index;
            }
        }
        Instances.resize(all.size());
        for (size_t place = 0; place < InDataCentre.size(); place++)
        {
            for (const int index : InDataCentre[place])
            {
                FleetInstance& instance = Instances[static_cast<size_t>(index)];
                instance.DataCentre = static_cast<int>(place);
                instance.Address = all[static_cast<size_t>(index)].Address;
                instance.DataCentreId = all[static_cast<size_t>(index)].DataCentre;
                instance.Kind = Share() < Plan.OddShare ? Plan.Odd : Neighbour_Normal;
                instance.Pool.Shared = Plan.Shared;
                PoolSync(&instance.Pool, list, NameOf(instance.DataCentre), &Rng);
                instance.Others.Own = instance.Address;
                instance.Others.DataCentre = instance.DataCentreId;
                std::vector<PeerUpdate> known;
                std::sample(all.begin(), all.end(), std::back_inserter(known), instance.Others.Config.PeersMax, Rng);
                for (const PeerUpdate& update : known)
                {
                    PeersHeard(&instance.Others, update, Now);
                }
            }
        }
    }

    // [SECTION] Targets

    // How many times as long as usual a target takes now. Depends on the target and the time only, so it is the same for all instances.
    double SlownessOf(const std::string& id) const
    {
        const auto step = static_cast<uint64_t>(Now / PaceUs);
        Random draw((std::hash<std::string>()(id) ^ Plan.Seed) + step * 0x9E3779B97F4A7C15ULL);
        std::uniform_real_distribution<double> share(0, 1);
        const bool slow = share(draw) < Plan.SlowShare;
        return slow ? 1 + share(draw) * (Plan.SlowFactorMax - 1) : 1;
    }

    LoadReport ReportOf(const std::string& id)
    {
        const FleetTarget& target = Targets[id];
        return {target.Running, static_cast<int>(target.Queue.size()), Plan.Slots, static_cast<int>(100 * SlownessOf(id))};
    }

    TimeUs LinkUs(int a, int b) const
    {
        return a == b ? NearUs : FarUs;
    }

    void Work(const std::string& id, double own, const std::function<void()>& done)
    {
        FleetTarget& target = Targets[id];
        target.Running++;
        const double full = target.Running >= Plan.Slots ? Plan.FullFactor : 1;
        const auto length = static_cast<TimeUs>(static_cast<double>(Plan.WorkUs) * own * full * SlownessOf(id));
        After(length,
              [this, id, done]()
              {
                  FleetTarget& ended = Targets[id];
                  ended.Running--;
                  done();
                  if (!ended.Queue.empty())
                  {
                      const std::function<void()> next = ended.Queue.front();
                      ended.Queue.pop_front();
                      next();
                  }
              });
    }

    // [SECTION] Requests

    void ScheduleArrival(int place)
    {
        const double per_s = Plan.DataCentres[static_cast<size_t>(place)].RequestsPerS;
        const auto gap = static_cast<TimeUs>(std::exponential_distribution<double>(per_s)(Arrivals) * UsPerSecond);
        if (Now + gap < StartUs + Plan.LengthUs)
        {
            After(gap,
                  [this, place]()
                  {
                      const std::vector<int>& there = InDataCentre[static_cast<size_t>(place)];
                      Arrive(there[Arrivals() % there.size()]);
                      ScheduleArrival(place);
                  });
        }
    }

    void Arrive(int index)
    {
        FleetInstance& instance = Instances[static_cast<size_t>(index)];
        const auto request = std::make_shared<FleetRequest>();
        request->Instance = index;
        request->ArrivedUs = Now;
        request->WorkFactor = std::lognormal_distribution<double>(0, 0.2)(Arrivals) * (Arrivals() % 100 < 3 ? 7 : 1);
        request->DeadlineUs = Now + Plan.ObjectiveUs / 5;
        if (Counts(Now))
        {
            Result.Requests++;
            Result.RequestsAt[static_cast<size_t>(instance.DataCentre)]++;
        }
        instance.Choosing.push_back(request);
        ProbeMore(request);
    }

    bool IsGood(const FleetInstance& instance, const PoolTarget& target) const
    {
        return PoolHasFreeSlot(instance.Pool, target) && PoolCost(instance.Pool, target, Now) <= PoolGoodCost(instance.Pool);
    }

    void End(const FleetRequestPtr& request)
    {
        request->Done = true;
        std::vector<FleetRequestPtr>& choosing = Instances[static_cast<size_t>(request->Instance)].Choosing;
        choosing.erase(std::find(choosing.begin(), choosing.end(), request));
    }

    void Send(const FleetRequestPtr& request, PoolTarget* target)
    {
        End(request);
        FleetInstance& instance = Instances[static_cast<size_t>(request->Instance)];
        const bool fresh = target->ReportUs > 0 && Now < target->ReportUs + instance.Pool.Config.ReportMaxAgeUs;
        const bool had_room = fresh && target->Report.Running + target->Report.Waiting < target->Report.Slots;
        PoolSent(&instance.Pool, target, Now);
        const int there = Targets[target->Id].DataCentre;
        if (Counts(request->ArrivedUs))
        {
            Result.Unusable += had_room ? 0 : 1;
            Result.WaitsMs.push_back(static_cast<double>(Now - request->ArrivedUs) / UsPerMs);
            Result.Crossed += there == instance.DataCentre ? 0 : 1;
        }
        const TimeUs link = LinkUs(instance.DataCentre, there);
        After(link,
              [this, request, link, id = target->Id]()
              {
                  const auto work = [this, request, link, id]()
                  {
                      Work(id, request->WorkFactor,
                           [this, request, link, id]()
                           {
                               const LoadReport report = ReportOf(id);
                               After(link, [this, request, id, report]() { OnAnswer(request, id, report); });
                           });
                  };
                  FleetTarget& arrived = Targets[id];
                  const bool full = arrived.Running >= Plan.Slots;
                  Result.Collisions += full && Counts(request->ArrivedUs) ? 1 : 0;
                  if (full)
                  {
                      arrived.Queue.push_back(work);
                      return;
                  }
                  work();
              });
    }

    void OnAnswer(const FleetRequestPtr& request, const std::string& id, const LoadReport& report)
    {
        FleetInstance& instance = Instances[static_cast<size_t>(request->Instance)];
        Result.InTime += Counts(request->ArrivedUs) && Now <= request->ArrivedUs + Plan.ObjectiveUs ? 1 : 0;
        PoolTarget* target = PoolFind(&instance.Pool, id);
        target->InFlight--;
        PoolReport(target, report, Now);
        PoolSucceeded(target);
        for (const FleetRequestPtr& waiting : instance.Choosing)
        {
            if (waiting->Waiting && IsGood(instance, *target))
            {
                Send(FleetRequestPtr(waiting), target);
                return;
            }
        }
        if (Plan.Shared)
        {
            const std::optional<LoadOfferTo> offer =
                LoadOffer(&instance.Sharing, instance.Pool, target, Service, instance.DataCentreId, Now);
            if (offer)
            {
                Tell(request->Instance, offer->Address, offer->Message);
            }
        }
    }

    void Refuse(const FleetRequestPtr& request)
    {
        End(request);
        if (Counts(request->ArrivedUs))
        {
            Result.Refused++;
            Result.RefusedAt[static_cast<size_t>(Instances[static_cast<size_t>(request->Instance)].DataCentre)]++;
            Result.RefusalsMs.push_back(static_cast<double>(Now - request->ArrivedUs) / UsPerMs);
        }
    }

    void Decide(const FleetRequestPtr& request)
    {
        FleetInstance& instance = Instances[static_cast<size_t>(request->Instance)];
        PoolTarget* best = nullptr;
        for (const std::string& id : request->Probed)
        {
            PoolTarget* target = PoolFind(&instance.Pool, id);
            const bool fresh = target->ReportUs > 0 && Now < target->ReportUs + instance.Pool.Config.ReportMaxAgeUs;
            const bool usable = fresh && PoolHasFreeSlot(instance.Pool, *target);
            if (usable && (best == nullptr || PoolCost(instance.Pool, *target, Now) < PoolCost(instance.Pool, *best, Now)))
            {
                best = target;
            }
        }
        const TimeUs left = request->ArrivedUs + Plan.ObjectiveUs - Now;
        const bool in_time =
            best != nullptr && PoolCost(instance.Pool, *best, Now) * static_cast<double>(Plan.WorkUs) < static_cast<double>(left);
        const bool may_wait = Now + RetryUs < request->DeadlineUs;
        if ((in_time && PoolIsAcceptable(instance.Pool, *best, Now)) || (in_time && !may_wait))
        {
            Send(request, best);
        }
        else if (may_wait)
        {
            request->Waiting = true;
            After(RetryUs, [this, request]() { Resume(request); });
        }
        else
        {
            Refuse(request);
        }
    }

    void Resume(const FleetRequestPtr& request)
    {
        if (!request->Done && request->Waiting)
        {
            request->Waiting = false;
            request->Probed.clear();
            ProbeMore(request);
        }
    }

    void ProbeMore(const FleetRequestPtr& request)
    {
        FleetInstance& instance = Instances[static_cast<size_t>(request->Instance)];
        while (Now < request->DeadlineUs)
        {
            PoolTarget* next = PoolNext(&instance.Pool, request->Probed, false, Now);
            const bool latest = next != nullptr && next->ReportUs > 0 && next->ReportUs >= next->ToldUs;
            const bool own = latest && Now < next->ReportUs + ReuseUs;
            if (next == nullptr || (!own && (request->InFlight >= request->MaxInFlight || request->Probes >= ProbesMax + request->Offered)))
            {
                break;
            }
            request->Probed.push_back(next->Id);
            if (!own)
            {
                Probe(request, next->Id);
            }
            else if (IsGood(instance, *next))
            {
                Send(request, next);
                return;
            }
        }
        if (request->InFlight == 0 || Now >= request->LastProbeUs + LateProbeUs)
        {
            Decide(request);
        }
    }

    void Probe(const FleetRequestPtr& request, const std::string& id)
    {
        FleetInstance& instance = Instances[static_cast<size_t>(request->Instance)];
        request->InFlight++;
        request->Probes++;
        request->LastProbeUs = Now;
        After(LateProbeUs,
              [this, request]()
              {
                  if (!request->Done && !request->Waiting)
                  {
                      ProbeMore(request);
                  }
              });
        Result.Probes += Counts(request->ArrivedUs) ? 1 : 0;
        const TimeUs link = LinkUs(instance.DataCentre, Targets[id].DataCentre);
        const auto work = static_cast<TimeUs>(ProbeWorkUs * SlownessOf(id));
        const TimeUs timeout = ProbeTimeoutNow(instance.Timeout);
        const bool late = 2 * link + work > timeout;
        if (late)
        {
            After(timeout, [this, request, id]() { OnProbed(request, id, std::nullopt); });
        }
        else
        {
            After(link + work,
                  [this, request, id, link]()
                  {
                      const LoadReport report = ReportOf(id);
                      After(link, [this, request, id, report]() { OnProbed(request, id, report); });
                  });
        }
        After(SlowProbeUs,
              [this, request, probes = request->Probes]()
              {
                  if (!request->Done && !request->Waiting && request->Probes == probes && request->InFlight > 0)
                  {
                      request->MaxInFlight++;
                      ProbeMore(request);
                  }
              });
    }

    void OnProbed(const FleetRequestPtr& request, const std::string& id, const std::optional<LoadReport>& report)
    {
        FleetInstance& instance = Instances[static_cast<size_t>(request->Instance)];
        PoolTarget* target = PoolFind(&instance.Pool, id);
        request->InFlight--;
        if (report)
        {
            ProbeTimeoutAnswered(&instance.Timeout);
            PoolProbed(&instance.Pool, target, *report, Now);
        }
        else
        {
            ProbeTimeoutExpired(&instance.Timeout);
            PoolFailed(instance.Pool.Config, target, Now);
        }
        if (request->Done || request->Waiting)
        {
            return;
        }
        if (report && IsGood(instance, *target))
        {
            Send(request, target);
            return;
        }
        Ask(request->Instance);
        ProbeMore(request);
    }

    // [SECTION] Messages

    void Ask(int index)
    {
        FleetInstance& instance = Instances[static_cast<size_t>(index)];
        if (!Plan.Shared || instance.Kind == Neighbour_Silent)
        {
            return;
        }
        const std::vector<std::string> asked = LoadAskPeers(&instance.Sharing, instance.Others, instance.DataCentreId, Now, &Rng);
        if (asked.empty())
        {
            return;
        }
        const LoadMessage message = LoadAsk(instance.Pool, Service, instance.DataCentreId, Now);
        for (const std::string& address : asked)
        {
            Tell(index, address, message);
        }
    }

    void Tell(int index, const std::string& address, const LoadMessage& message)
    {
        constexpr int64_t overhead_bytes = 50; // Of IP and UDP, and what precedes the reports.
        constexpr int64_t report_bytes = 12;
        FleetInstance& instance = Instances[static_cast<size_t>(index)];
        if (instance.Kind == Neighbour_Silent)
        {
            return;
        }
        if (Counts(Now))
        {
            Result.Messages++;
            Result.Bytes += overhead_bytes + report_bytes * static_cast<int64_t>(message.Reports.size());
        }
        if (Share() >= Plan.Loss)
        {
            const int to = ByAddress.at(address);
            const bool late = instance.Kind == Neighbour_Late || Instances[static_cast<size_t>(to)].Kind == Neighbour_Late;
            const TimeUs link = LinkUs(instance.DataCentre, Instances[static_cast<size_t>(to)].DataCentre);
            After(link + (late ? UsPerSecond / 2 : 0), [this, to, message, from = instance.Address]() { Hear(to, message, from); });
        }
    }

    void Hear(int index, const LoadMessage& message, const std::string& from)
    {
        FleetInstance& instance = Instances[static_cast<size_t>(index)];
        if (instance.Kind == Neighbour_Silent)
        {
            return;
        }
        std::optional<LoadMessage> answer = LoadHeard(&instance.Sharing, &instance.Pool, message, from, instance.DataCentreId, Now, &Rng);
        if (message.Kind == LoadMessage_Ask && instance.Kind == Neighbour_Lies)
        {
            const DirectoryTarget& any = Listed[static_cast<size_t>(Draw(0, static_cast<int64_t>(Listed.size())))];
            const uint32_t id = SharedTargetId(TargetIncarnationId(any.Id, any.Incarnation));
            answer = message;
            answer->Kind = LoadMessage_Answer;
            answer->Reports = {{id, {0, 0, Plan.Slots, 50}, 0}};
        }
        if (answer)
        {
            Tell(index, from, *answer);
        }
        if (!message.Reports.empty())
        {
            OnOffer(&instance, message.Reports.front().Target);
        }
    }

    // The request that has searched longest probes the target next, also if it has probed it before.
    void OnOffer(FleetInstance* instance, uint32_t shared_id)
    {
        const PoolTarget* target = PoolFindShared(instance->Pool, shared_id);
        if (instance->Choosing.empty() || target == nullptr)
        {
            return;
        }
        const FleetRequestPtr request = instance->Choosing.front();
        std::vector<std::string>& probed = request->Probed;
        probed.erase(std::remove(probed.begin(), probed.end(), target->Id), probed.end());
        if (request->Offered < OfferedMax)
        {
            request->Offered++;
            request->MaxInFlight++;
        }
        request->Waiting = false;
        ProbeMore(request);
    }
};

} // namespace Winchlink
