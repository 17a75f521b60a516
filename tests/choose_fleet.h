// choose_fleet.h: a fleet whose instances choose targets with the library's state machine (Chooser), in virtual time without a network.
//
// Instances, targets and callers are spread over data centres. A target is slow for short phases, and slower when its slots are nearly all
// in use; it refuses a request that finds no free slot. Instances know of each other and of targets only what their own messages tell.
//
// How to use it: fill in a ChooseFleetPlan, call ChooseFleetStart() and ChooseFleetRun(), read Results. Further events, such as messages
// between instances, are scheduled with ChooseFleetAt().
//
// Index of this file:
// [SECTION] Plan and results
// [SECTION] State
// [SECTION] Targets
// [SECTION] Requests
// [SECTION] Choosing
// [SECTION] Fleet

#pragma once

#include "check.h"

#include <fmt/format.h>
#include <functional>
#include <memory>
#include <queue>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Plan and results
//-----------------------------------------------------------------------------

struct ChooseFleetDataCentre
{
    size_t Instances = 100;
    int Targets = 36;
    double RequestsPerSecond = 300; // Of its callers.
};

struct ChooseFleetPlan
{
    std::vector<ChooseFleetDataCentre> DataCentres = {{}, {}, {}};
    std::function<double(TimeUs)> Demand; // Factor of RequestsPerSecond at a time; empty: 1.
    int Slots = 2;                        // Of each target.
    TimeUs WorkUs = 100 * UsPerMs;        // Mean duration at a target of cost 1.
    bool WorkKnown = true;                // False: instances don't know WorkUs (injected fault).
    double WorkSpread = 0.3;              // Standard deviation of its logarithm.
    double SlowShare = 0.2;               // Part of the targets that are slow at a moment,
    double SlowFactor = 5;                // for work that begins then,
    double SlowProbeFactor = 3;           // and for probes,
    TimeUs SlowUs = 150 * UsPerMs;        // in phases of this length.
    double FullFactor = 1.5;              // Slowdown of a nearly full target.
    TimeUs ProbeUs = 2 * UsPerMs;         // Duration of a probe; a request takes half of it to its target.
    TimeUs FarUs = 0;                     // Added to both where the target is in another data centre.
    TimeUs ObjectiveUs = 300 * UsPerMs;   // Time within which an answer is good.
    TimeUs DeadlineUs = UsPerSecond;      // When the caller stops waiting.
    int AttemptsMax = 3;                  // Targets that a request is sent to, if the earlier ones have refused it.
    double UrgentShare = 0.3;             // Part of the requests with priority 0; the others have priority 1.
    ChooserConfig Config;
    double AcceptableCost = PoolConfig().AcceptableCost;
    uint64_t Seed = 20261204;
};

// Requests of the callers of one data centre, or a part of them.
struct ChooseFleetResult
{
    int Requests = 0;
    int InTime = 0;
    int Late = 0; // Answered after the objective.
    std::map<Code_, int> Refused;
    int Sent = 0;
    int SentFar = 0;             // To another data centre.
    int TurnedAway = 0;          // Refused by a target.
    int Probes = 0;              // Without those that shared another one.
    std::vector<TimeUs> ChoseUs; // Length of each round.
};

inline double ChooseFleetShare(int part, const ChooseFleetResult& result)
{
    return static_cast<double>(part) / std::max(result.Requests, 1);
}

inline int ChooseFleetRefused(const ChooseFleetResult& result)
{
    int all = 0;
    for (const auto& refused : result.Refused)
    {
        all += refused.second;
    }
    return all;
}

// The longest round but for this part of them.
inline TimeUs ChooseFleetChoseUs(const ChooseFleetResult& result, double beyond)
{
    std::vector<TimeUs> sorted = result.ChoseUs;
    std::sort(sorted.begin(), sorted.end());
    return sorted.empty() ? 0 : sorted[static_cast<size_t>(static_cast<double>(sorted.size() - 1) * (1 - beyond))];
}

inline std::string ChooseFleetText(const ChooseFleetResult& result)
{
    std::string text = fmt::format("{} requests, in time {:.3f}, late {:.3f}, probes {:.2f}, sent {:.2f}, far {:.3f}, turned away {:.3f}, "
                                   "chose 99 % within {} us, refused {:.3f}:",
                                   result.Requests, ChooseFleetShare(result.InTime, result), ChooseFleetShare(result.Late, result),
                                   ChooseFleetShare(result.Probes, result), ChooseFleetShare(result.Sent, result),
                                   ChooseFleetShare(result.SentFar, result), ChooseFleetShare(result.TurnedAway, result),
                                   ChooseFleetChoseUs(result, 0.01), ChooseFleetShare(ChooseFleetRefused(result), result));
    for (const auto& refused : result.Refused)
    {
        text += fmt::format(" {}={}", static_cast<int>(refused.first), refused.second);
    }
    return text;
}

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

struct ChooseFleetRequest
{
    size_t Instance = 0;
    TimeUs ArrivedUs = 0;
    int Priority = 1;
    Chooser Round;
    TimeUs RoundUs = 0; // Start of the round.
    std::vector<std::string> SentTo;
    ContactCounts Contacts = {};
    uint64_t SlowTimer = 0;  // Number of the last timer that was started; an earlier one does nothing when it fires.
    uint64_t RetryTimer = 0; // The same.
};

using ChooseFleetRequestPtr = std::shared_ptr<ChooseFleetRequest>;

struct ChooseFleetInstance
{
    size_t DataCentre = 0;
    TargetPool Pool;
    TargetPath Path;
    AdaptiveProbeTimeout ProbeTimeout;
    Quota TargetLimits;
    uint64_t OverLimitCount = 0;
    std::vector<ChooseFleetRequestPtr> Waiting;
    std::map<std::string, std::vector<ChooseFleetRequestPtr>> Probes; // In flight, by target: the requests that await the answer.
};

struct ChooseFleetTarget
{
    DirectoryTarget Listed;
    size_t DataCentre = 0;
    int Running = 0;
};

struct ChooseFleetEvent
{
    TimeUs AtUs = 0;
    uint64_t Number = 0; // Events of the same time happen in the order in which they were scheduled.
    std::function<void()> Run;
};

struct ChooseFleetLater
{
    bool operator()(const ChooseFleetEvent& a, const ChooseFleetEvent& b) const
    {
        return a.AtUs != b.AtUs ? a.AtUs > b.AtUs : a.Number > b.Number;
    }
};

struct ChooseFleet
{
    ChooseFleetPlan Plan;
    Random Rng;
    TimeUs Now = UsPerSecond;
    TimeUs EndUs = 0; // No request arrives later.
    std::priority_queue<ChooseFleetEvent, std::vector<ChooseFleetEvent>, ChooseFleetLater> Events;
    uint64_t LastEvent = 0;
    uint64_t LastTimer = 0;
    std::map<std::string, ChooseFleetTarget> Targets; // By id.
    std::vector<ChooseFleetInstance> Instances;
    std::vector<std::vector<size_t>> InstancesOf; // By data centre.
    std::vector<ChooseFleetResult> Results;       // By data centre.
    std::vector<ChooseFleetResult> ByPriority;    // Requests, InTime, Late and Refused only.
};

inline void ChooseFleetAt(ChooseFleet* fleet, TimeUs at, std::function<void()> run)
{
    fleet->Events.push({at, ++fleet->LastEvent, std::move(run)});
}

inline ChooseFleetResult* ChooseFleetResultOf(ChooseFleet* fleet, const ChooseFleetRequest& request)
{
    return &fleet->Results[fleet->Instances[request.Instance].DataCentre];
}

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

// Whether the target is slow now. Depends only on the target and the time, so that all instances see the same.
inline bool ChooseFleetIsSlow(const ChooseFleet& fleet, const std::string& id)
{
    const auto phase = static_cast<uint64_t>(fleet.Now / fleet.Plan.SlowUs);
    Random draw(std::hash<std::string>()(id) ^ phase * 0x9E3779B97F4A7C15ULL);
    return std::uniform_real_distribution<double>(0, 1)(draw) < fleet.Plan.SlowShare;
}

inline LoadReport ChooseFleetLoad(const ChooseFleet& fleet, const std::string& id)
{
    const int pace = ChooseFleetIsSlow(fleet, id) ? static_cast<int>(fleet.Plan.SlowFactor * 100) : 100;
    return {fleet.Targets.at(id).Running, 0, fleet.Plan.Slots, pace};
}

// Extra time of a message between the instance and the target.
inline TimeUs ChooseFleetFarUs(const ChooseFleet& fleet, size_t instance, const std::string& target)
{
    return fleet.Instances[instance].DataCentre == fleet.Targets.at(target).DataCentre ? 0 : fleet.Plan.FarUs;
}

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

inline ChooserRequest ChooseFleetRequestOf(const ChooseFleet& fleet, const ChooseFleetRequest& request)
{
    ChooserRequest out;
    out.ArrivedUs = request.ArrivedUs;
    out.LatencyObjectiveUs = fleet.Plan.ObjectiveUs;
    out.DeadlineUs = request.ArrivedUs + fleet.Plan.DeadlineUs;
    out.WorkUs = fleet.Plan.WorkKnown ? static_cast<double>(fleet.Plan.WorkUs) : 0;
    out.Priority = request.Priority;
    out.Contacts = request.Contacts;
    out.SentTo = &request.SentTo;
    return out;
}

inline ChooserView ChooseFleetView(ChooseFleet* fleet, const ChooseFleetRequest& request)
{
    ChooseFleetInstance& instance = fleet->Instances[request.Instance];
    ChooserView view;
    view.Config = &fleet->Plan.Config;
    view.Request = ChooseFleetRequestOf(*fleet, request);
    view.Pool = &instance.Pool;
    view.Path = &instance.Path;
    view.TargetLimits = &instance.TargetLimits;
    view.OverLimitCount = &instance.OverLimitCount;
    view.Rng = &fleet->Rng;
    view.Admit = []()
    {
        return true;
    };
    view.PickPeer = []()
    {
        return std::string();
    };
    return view;
}

inline void ChooseFleetCarryOut(ChooseFleet* fleet, const ChooseFleetRequestPtr& request, const ChooseActions& actions);

inline void ChooseFleetRefuse(ChooseFleet* fleet, const ChooseFleetRequest& request, Code_ code)
{
    ChooseFleetResultOf(fleet, request)->Refused[code]++;
    fleet->ByPriority[static_cast<size_t>(request.Priority)].Refused[code]++;
}

inline void ChooseFleetChoose(ChooseFleet* fleet, const ChooseFleetRequestPtr& request)
{
    request->RoundUs = fleet->Now;
    ChooseFleetCarryOut(fleet, request, ChooserStart(&request->Round, Choosing_First, ChooseFleetView(fleet, *request), fleet->Now));
}

// The instance hands a free slot of the target to one of its waiting requests.
inline void ChooseFleetServeWaiting(ChooseFleet* fleet, size_t number, const std::string& target)
{
    std::vector<ChooseFleetRequestPtr>& waiting = fleet->Instances[number].Waiting;
    const auto ended = [](const ChooseFleetRequestPtr& request)
    {
        return !request->Round.Waiting;
    };
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(), ended), waiting.end());
    std::vector<ChooserRequest> requests;
    requests.reserve(waiting.size());
    for (const ChooseFleetRequestPtr& request : waiting)
    {
        requests.push_back(ChooseFleetRequestOf(*fleet, *request));
    }
    const std::optional<size_t> first = ChooserMostUrgent(requests, target);
    if (first)
    {
        const ChooseFleetRequestPtr request = waiting[*first];
        const ChooserView view = ChooseFleetView(fleet, *request);
        ChooseFleetCarryOut(fleet, request, ChooserSlotFree(&request->Round, view, target, fleet->Now));
    }
}

// The target's answer reaches the instance. `refused`: it had no free slot.
inline void ChooseFleetAnswered(ChooseFleet* fleet, const ChooseFleetRequestPtr& request, const std::string& id, const LoadReport& report,
                                bool refused)
{
    ChooseFleetInstance& instance = fleet->Instances[request->Instance];
    PoolTarget* target = PoolFind(&instance.Pool, id);
    target->InFlight--;
    PoolReport(target, report, fleet->Now);
    request->Contacts[ContactEnd_Answered]++;
    TargetPathContact(&instance.Path, id, ContactEnd_Answered, instance.Pool.Targets.size(), fleet->Now);
    if (!refused)
    {
        PoolSucceeded(target);
        const bool in_time = fleet->Now <= request->ArrivedUs + fleet->Plan.ObjectiveUs;
        ChooseFleetResult* results[] = {ChooseFleetResultOf(fleet, *request), &fleet->ByPriority[static_cast<size_t>(request->Priority)]};
        for (ChooseFleetResult* result : results)
        {
            (in_time ? result->InTime : result->Late)++;
        }
    }
    else
    {
        ChooseFleetResultOf(fleet, *request)->TurnedAway++;
        PoolFailed(instance.Pool.Config, target, fleet->Now);
        const bool again = static_cast<int>(request->SentTo.size()) < fleet->Plan.AttemptsMax;
        again ? ChooseFleetChoose(fleet, request) : ChooseFleetRefuse(fleet, *request, Code_TargetRefused);
    }
    ChooseFleetServeWaiting(fleet, request->Instance, id);
}

// The request reaches the target.
inline void ChooseFleetArrive(ChooseFleet* fleet, const ChooseFleetRequestPtr& request, const std::string& id, TimeUs way)
{
    ChooseFleetTarget& target = fleet->Targets.at(id);
    const LoadReport before = ChooseFleetLoad(*fleet, id);
    if (target.Running >= fleet->Plan.Slots)
    {
        ChooseFleetAt(fleet, fleet->Now + way, [=]() { ChooseFleetAnswered(fleet, request, id, before, true); });
        return;
    }
    target.Running++;
    const double spread = std::lognormal_distribution<double>(0, fleet->Plan.WorkSpread)(fleet->Rng);
    const double full = PoolNearlyFull(PoolConfig(), before, 0) ? fleet->Plan.FullFactor : 1;
    const auto work = static_cast<TimeUs>(static_cast<double>(fleet->Plan.WorkUs) * spread * full * before.PacePercent / 100);
    const auto end = [=]()
    {
        fleet->Targets.at(id).Running--;
        const LoadReport after = ChooseFleetLoad(*fleet, id);
        ChooseFleetAt(fleet, fleet->Now + way, [=]() { ChooseFleetAnswered(fleet, request, id, after, false); });
    };
    ChooseFleetAt(fleet, fleet->Now + work, end);
}

//-----------------------------------------------------------------------------
// [SECTION] Choosing
//-----------------------------------------------------------------------------

inline void ChooseFleetSend(ChooseFleet* fleet, const ChooseFleetRequestPtr& request, PoolTarget* target)
{
    const TimeUs far = ChooseFleetFarUs(*fleet, request->Instance, target->Id);
    const TimeUs way = (fleet->Plan.ProbeUs + far) / 2;
    ChooseFleetResult* result = ChooseFleetResultOf(fleet, *request);
    result->Sent++;
    result->SentFar += fleet->Targets.at(target->Id).DataCentre != fleet->Instances[request->Instance].DataCentre ? 1 : 0;
    request->SentTo.push_back(target->Id);
    PoolSent(&fleet->Instances[request->Instance].Pool, target);
    ChooseFleetAt(fleet, fleet->Now + way, [=, id = target->Id]() { ChooseFleetArrive(fleet, request, id, way); });
}

// The answer to a probe, or its time-out.
inline void ChooseFleetProbed(ChooseFleet* fleet, size_t number, const std::string& id, const std::optional<LoadReport>& report)
{
    ChooseFleetInstance& instance = fleet->Instances[number];
    const std::vector<ChooseFleetRequestPtr> waiters = std::move(instance.Probes[id]);
    instance.Probes.erase(id);
    PoolTarget* target = PoolFind(&instance.Pool, id);
    const ContactEnd_ end = report ? ContactEnd_Answered : ContactEnd_Silent;
    if (report)
    {
        ProbeTimeoutAnswered(&instance.ProbeTimeout);
        PoolReport(target, *report, fleet->Now);
    }
    else
    {
        ProbeTimeoutExpired(&instance.ProbeTimeout);
        PoolFailed(instance.Pool.Config, target, fleet->Now);
    }
    TargetPathContact(&instance.Path, id, end, instance.Pool.Targets.size(), fleet->Now);
    for (const ChooseFleetRequestPtr& waiter : waiters)
    {
        waiter->Contacts[end]++;
        const ChooserView view = ChooseFleetView(fleet, *waiter);
        ChooseFleetCarryOut(fleet, waiter, ChooserProbed(&waiter->Round, view, id, report.has_value(), fleet->Now));
    }
}

inline void ChooseFleetSendProbe(ChooseFleet* fleet, const ChooseFleetRequest& request, const std::string& id)
{
    const size_t instance = request.Instance;
    const double slow = ChooseFleetIsSlow(*fleet, id) ? fleet->Plan.SlowProbeFactor : 1;
    const TimeUs far = ChooseFleetFarUs(*fleet, instance, id);
    const TimeUs took = far + static_cast<TimeUs>(static_cast<double>(fleet->Plan.ProbeUs) * slow);
    const TimeUs limit = ProbeTimeoutNow(fleet->Instances[instance].ProbeTimeout);
    ChooseFleetResultOf(fleet, request)->Probes++;
    if (took > limit)
    {
        ChooseFleetAt(fleet, fleet->Now + limit, [=]() { ChooseFleetProbed(fleet, instance, id, std::nullopt); });
        return;
    }
    const TimeUs back = (fleet->Plan.ProbeUs + far) / 2;
    const auto answer = [=]()
    {
        const LoadReport report = ChooseFleetLoad(*fleet, id);
        ChooseFleetAt(fleet, fleet->Now + back, [=]() { ChooseFleetProbed(fleet, instance, id, report); });
    };
    ChooseFleetAt(fleet, fleet->Now + took - back, answer);
}

// Probes the target, or shares the answer to a probe that is in flight.
inline void ChooseFleetProbe(ChooseFleet* fleet, const ChooseFleetRequestPtr& request, const std::string& id, TimeUs slow)
{
    const uint64_t timer = ++fleet->LastTimer;
    request->SlowTimer = timer;
    const auto on_slow = [=]()
    {
        if (request->SlowTimer == timer)
        {
            const ChooserView view = ChooseFleetView(fleet, *request);
            ChooseFleetCarryOut(fleet, request, ChooserSlowProbe(&request->Round, view, fleet->Now));
        }
    };
    ChooseFleetAt(fleet, fleet->Now + slow, on_slow);
    std::vector<ChooseFleetRequestPtr>& waiters = fleet->Instances[request->Instance].Probes[id];
    waiters.push_back(request);
    if (waiters.size() == 1)
    {
        ChooseFleetSendProbe(fleet, *request, id);
    }
}

inline void ChooseFleetWait(ChooseFleet* fleet, const ChooseFleetRequestPtr& request, TimeUs delay)
{
    const uint64_t timer = ++fleet->LastTimer;
    request->RetryTimer = timer;
    fleet->Instances[request->Instance].Waiting.push_back(request);
    const auto retry = [=]()
    {
        if (request->RetryTimer == timer && request->Round.Waiting)
        {
            const ChooserView view = ChooseFleetView(fleet, *request);
            ChooseFleetCarryOut(fleet, request, ChooserRetry(&request->Round, view, fleet->Now));
        }
    };
    ChooseFleetAt(fleet, fleet->Now + delay, retry);
}

inline void ChooseFleetCarryOut(ChooseFleet* fleet, const ChooseFleetRequestPtr& request, const ChooseActions& actions)
{
    for (const ChooseAction& action : actions)
    {
        switch (action.Kind)
        {
        case ChooseAction_Probe:
            ChooseFleetProbe(fleet, request, action.Target->Id, action.DelayUs);
            break;
        case ChooseAction_Wait:
            ChooseFleetWait(fleet, request, action.DelayUs);
            break;
        case ChooseAction_Send:
            ChooseFleetResultOf(fleet, *request)->ChoseUs.push_back(fleet->Now - request->RoundUs);
            ChooseFleetSend(fleet, request, action.Target);
            break;
        case ChooseAction_Refuse:
            ChooseFleetResultOf(fleet, *request)->ChoseUs.push_back(fleet->Now - request->RoundUs);
            ChooseFleetRefuse(fleet, *request, action.Code);
            break;
        default:
            CPPUNIT_FAIL("an action that this model has not");
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Fleet
//-----------------------------------------------------------------------------

// Starts the next request of the data centre's callers, and schedules the one after it.
inline void ChooseFleetArrivals(ChooseFleet* fleet, size_t data_centre)
{
    const double factor = fleet->Plan.Demand ? fleet->Plan.Demand(fleet->Now) : 1;
    const double per_second = fleet->Plan.DataCentres[data_centre].RequestsPerSecond * factor;
    const double pause = std::exponential_distribution<double>(per_second)(fleet->Rng);
    const auto next = [=]()
    {
        if (fleet->Now >= fleet->EndUs)
        {
            return;
        }
        const std::vector<size_t>& instances = fleet->InstancesOf[data_centre];
        const auto request = std::make_shared<ChooseFleetRequest>();
        request->Instance = instances[std::uniform_int_distribution<size_t>(0, instances.size() - 1)(fleet->Rng)];
        request->ArrivedUs = fleet->Now;
        request->Priority = std::uniform_real_distribution<double>(0, 1)(fleet->Rng) < fleet->Plan.UrgentShare ? 0 : 1;
        ChooseFleetResultOf(fleet, *request)->Requests++;
        fleet->ByPriority[static_cast<size_t>(request->Priority)].Requests++;
        ChooseFleetChoose(fleet, request);
        ChooseFleetArrivals(fleet, data_centre);
    };
    ChooseFleetAt(fleet, fleet->Now + std::max<TimeUs>(static_cast<TimeUs>(pause * UsPerSecond), 1), next);
}

inline void ChooseFleetStart(ChooseFleet* fleet, const ChooseFleetPlan& plan)
{
    fleet->Plan = plan;
    fleet->Rng.seed(plan.Seed);
    fleet->Results.resize(plan.DataCentres.size());
    fleet->InstancesOf.resize(plan.DataCentres.size());
    fleet->ByPriority.resize(2);
    for (size_t dc = 0; dc < plan.DataCentres.size(); dc++)
    {
        for (int n = 0; n < plan.DataCentres[dc].Targets; n++)
        {
            const std::string id = fmt::format("dc{}-t{}", dc, n);
            ChooseFleetTarget& target = fleet->Targets[id];
            target.DataCentre = dc;
            target.Listed.Id = id;
            target.Listed.DataCentre = fmt::format("dc{}", dc);
            target.Listed.Slots = plan.Slots;
        }
        for (size_t n = 0; n < plan.DataCentres[dc].Instances; n++)
        {
            fleet->InstancesOf[dc].push_back(fleet->Instances.size());
            fleet->Instances.emplace_back();
            fleet->Instances.back().DataCentre = dc;
        }
    }
    TargetList listed;
    for (const auto& entry : fleet->Targets)
    {
        listed.push_back(&entry.second.Listed);
    }
    for (ChooseFleetInstance& instance : fleet->Instances)
    {
        instance.TargetLimits.Config = TargetQuotaConfig();
        instance.Pool.Config.AcceptableCost = plan.AcceptableCost;
        instance.Pool.NearlyFullFactor = plan.FullFactor; // What an instance learns from answers.
        PoolSync(&instance.Pool, listed, fmt::format("dc{}", instance.DataCentre), &fleet->Rng);
    }
}

// Runs for that time, and until all requests have ended.
inline void ChooseFleetRun(ChooseFleet* fleet, TimeUs length)
{
    fleet->EndUs = fleet->Now + length;
    for (size_t dc = 0; dc < fleet->Plan.DataCentres.size(); dc++)
    {
        ChooseFleetArrivals(fleet, dc);
    }
    while (!fleet->Events.empty())
    {
        const ChooseFleetEvent event = fleet->Events.top();
        fleet->Events.pop();
        fleet->Now = event.AtUs;
        event.Run();
    }
}

// The sum over all data centres.
inline ChooseFleetResult ChooseFleetTotal(const ChooseFleet& fleet)
{
    ChooseFleetResult total;
    for (const ChooseFleetResult& result : fleet.Results)
    {
        total.Requests += result.Requests;
        total.InTime += result.InTime;
        total.Late += result.Late;
        total.Sent += result.Sent;
        total.SentFar += result.SentFar;
        total.TurnedAway += result.TurnedAway;
        total.Probes += result.Probes;
        total.ChoseUs.insert(total.ChoseUs.end(), result.ChoseUs.begin(), result.ChoseUs.end());
        for (const auto& refused : result.Refused)
        {
            total.Refused[refused.first] += refused.second;
        }
    }
    return total;
}

} // namespace Winchlink
