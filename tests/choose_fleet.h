// choose_fleet.h: a fleet whose instances choose targets with the library's state machine (Chooser), in virtual time without a network.
//
// Instances, targets and callers are spread over data centres. A target is slow for short phases, and slower when its slots are nearly all
// in use; it refuses a request that finds no free slot. Instances know of each other and of targets only what their own messages tell:
// where the plan says so, they share load reports and divide requests between data centres, by messages that take time or get lost.
//
// How to use it: fill in a ChooseFleetPlan, call ChooseFleetStart() and ChooseFleetRun(), read Results. Further events are scheduled with
// ChooseFleetAt().
//
// Index of this file:
// [SECTION] Plan and results
// [SECTION] State
// [SECTION] Targets
// [SECTION] Messages
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
    double LargePerSecond = 0;      // The same, requests for large answers.
};

enum ChooseFleetKind_ : size_t
{
    ChooseFleetKind_Small,
    ChooseFleetKind_Large, // With large answers, and more time.
    ChooseFleetKind_COUNT,
};

// What an instance does with the messages between instances.
enum ChooseFleetNeighbour_
{
    ChooseFleetNeighbour_Normal,
    ChooseFleetNeighbour_Silent, // Neither sends nor takes any, as an older version does.
    ChooseFleetNeighbour_Lies,   // Tells each that asks of a free slot, whether there is one or not, and of room everywhere.
    ChooseFleetNeighbour_Late,   // Sends and takes messages half a second late, as if it had been paused in between.
};

struct ChooseFleetPlan
{
    std::vector<ChooseFleetDataCentre> DataCentres = {{}, {}, {}};
    std::function<double(TimeUs)> Demand;                                          // Factor of RequestsPerSecond at a time; empty: 1.
    std::function<double(TimeUs, size_t data_centre, ChooseFleetKind_)> PerSecond; // In place of both, if given.
    int Slots = 2;                                                                 // Of each target.
    TimeUs WorkUs = 100 * UsPerMs;                                                 // Mean duration at a target of cost 1.
    bool WorkKnown = true;                                                         // False: instances don't know WorkUs (injected fault).
    TimeUs LargeWorkUs = 73 * UsPerMs;                                             // The same of requests for large answers.
    double WorkSpread = 0.3;                                                       // Standard deviation of its logarithm.
    double LongShare = 0; // Part of the requests that take LongFactor times as long.
    double LongFactor = 7;
    double SlowShare = 0.2;                  // Part of the targets that are slow at a moment,
    double SlowFactor = 5;                   // for work that begins then,
    double SlowProbeFactor = 3;              // and for probes,
    TimeUs SlowUs = 150 * UsPerMs;           // in phases of this length.
    double FullFactor = 1.5;                 // Slowdown of a nearly full target.
    TimeUs ProbeUs = 2 * UsPerMs;            // Duration of a probe; a request takes half of it to its target.
    TimeUs FarUs = 0;                        // Added to both where the target is in another data centre.
    TimeUs ObjectiveUs = 300 * UsPerMs;      // Time within which an answer is good,
    TimeUs LargeObjectiveUs = 800 * UsPerMs; // and a large one.
    double AnswerBytes = 2 * KiB;
    double LargeAnswerBytes = 90 * KiB;
    TimeUs DeadlineUs = UsPerSecond; // When the caller stops waiting.
    int AttemptsMax = 3;             // Targets that a request is sent to, if the earlier ones have refused it.
    double UrgentShare = 0.3;        // Part of the requests with priority 0; the others have priority 1.
    ChooserConfig Config;
    double AcceptableCost = PoolConfig().AcceptableCost;
    uint64_t Seed = 20261204;

    bool Shares = false;                                        // Instances share load reports,
    bool Divides = false;                                       // and divide requests between data centres.
    TimeUs MessageUs = 200;                                     // A message between instances; half of FarUs is added between data centres.
    double Loss = 0;                                            // Part of the messages that are lost.
    ChooseFleetNeighbour_ Odd = ChooseFleetNeighbour_Normal;    // What some instances do,
    double OddShare = 0;                                        // and how many of them.
    ChooseFleetNeighbour_ LastIs = ChooseFleetNeighbour_Normal; // What the last instance does.
    std::function<bool(TimeUs)> Cut;                            // Neither messages nor probes pass between data centres.
    std::function<bool(TimeUs, size_t instance)> Dead;          // The instances with this number in their data centre are not running.
    std::function<bool(TimeUs, size_t data_centre)> Evacuated;  // Its targets get no new requests; they are cold for ColdUs after.
    TimeUs ColdUs = 0;
    double ColdPerS = 0;
    DivisionConfig Dividing;
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
    int Unusable = 0;            // Sent without a fresh answer of the target itself that showed a free slot, or where none may go.
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
    ChooseFleetKind_ Kind = ChooseFleetKind_Small;
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
    size_t Number = 0;                                                // In its data centre.
    ChooseFleetNeighbour_ Neighbour = ChooseFleetNeighbour_Normal;
    Peers Others; // By the text of their index.
    LoadSharing Sharing;
    Division Divided;
    TimeUs SharedUs = 0;         // When others were last asked or heard; 0: never.
    TimeUs AskedElsewhereUs = 0; // When other data centres were last considered; 0: never.
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
    std::vector<std::vector<size_t>> InstancesOf;                                  // By data centre.
    std::vector<ChooseFleetResult> Results;                                        // By data centre.
    std::vector<ChooseFleetResult> ByPriority;                                     // Requests, InTime, Late and Refused only.
    std::unordered_map<std::string, size_t> ByAddress;                             // Of instances.
    std::function<void(const ChooseFleetRequest&, bool served, bool far)> OnEnded; // May be empty.
    int64_t Messages = 0;
    int64_t ProbesCrossing = 0;     // Probes of targets of another data centre,
    int64_t ProbesCrossingRoom = 0; // and those that found a free slot.
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
    constexpr int cold_factor = 3;
    const int pace = ChooseFleetIsSlow(fleet, id) ? static_cast<int>(fleet.Plan.SlowFactor * 100) : 100;
    const ChooseFleetTarget& target = fleet.Targets.at(id);
    return {target.Running, 0, fleet.Plan.Slots, fleet.Now < target.Listed.ColdUntilUs ? pace * cold_factor : pace};
}

// Extra time of a message between the instance and the target.
inline TimeUs ChooseFleetFarUs(const ChooseFleet& fleet, size_t instance, const std::string& target)
{
    return fleet.Instances[instance].DataCentre == fleet.Targets.at(target).DataCentre ? 0 : fleet.Plan.FarUs;
}

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

inline constexpr const char* ChooseFleetService = "svc";

inline uint16_t ChooseFleetDataCentreId(size_t data_centre)
{
    return PeerDataCentre(fmt::format("dc{}", data_centre));
}

inline bool ChooseFleetIsCut(const ChooseFleet& fleet, size_t a, size_t b)
{
    return a != b && fleet.Plan.Cut && fleet.Plan.Cut(fleet.Now);
}

inline bool ChooseFleetIsDead(const ChooseFleet& fleet, const ChooseFleetInstance& instance)
{
    return fleet.Plan.Dead && fleet.Plan.Dead(fleet.Now, instance.Number);
}

inline void ChooseFleetHear(ChooseFleet* fleet, size_t to, size_t from, const LoadMessage& message);

inline void ChooseFleetTell(ChooseFleet* fleet, size_t from, const std::string& address, LoadMessage message)
{
    const size_t to = fleet->ByAddress.at(address);
    ChooseFleetInstance& sender = fleet->Instances[from];
    ChooseFleetInstance& receiver = fleet->Instances[to];
    const bool near = sender.DataCentre == receiver.DataCentre;
    message.Room = DivisionTell(sender.Divided, message.Room, near, fleet->Now);
    const auto silent = [](const ChooseFleetInstance& instance)
    {
        return instance.Neighbour == ChooseFleetNeighbour_Silent;
    };
    const auto late = [](const ChooseFleetInstance& instance)
    {
        return instance.Neighbour == ChooseFleetNeighbour_Late;
    };
    if (sender.Neighbour == ChooseFleetNeighbour_Lies)
    {
        const int told = static_cast<int>(sender.Divided.Config.ToldMax);
        message.Room.Targets = sender.Divided.Config.TargetsMax;
        message.Room.Known = told;
        message.Room.Free = told;
    }
    if (silent(sender) || silent(receiver) || ChooseFleetIsCut(*fleet, sender.DataCentre, receiver.DataCentre) ||
        std::uniform_real_distribution<double>(0, 1)(fleet->Rng) < fleet->Plan.Loss)
    {
        return;
    }
    fleet->Messages++;
    const TimeUs pause = late(sender) || late(receiver) ? UsPerSecond / 2 : 0;
    const TimeUs way = fleet->Plan.MessageUs + (near ? 0 : fleet->Plan.FarUs / 2) + pause;
    ChooseFleetAt(fleet, fleet->Now + way, [=]() { ChooseFleetHear(fleet, to, from, message); });
}

// The same as LoadLinkAsk().
inline void ChooseFleetAsk(ChooseFleet* fleet, size_t number)
{
    constexpr TimeUs check_us = 10 * UsPerMs;
    ChooseFleetInstance& instance = fleet->Instances[number];
    const uint16_t own = instance.Others.DataCentre;
    const LoadMessage ask = LoadAsk(instance.Pool, ChooseFleetService, own, fleet->Now);
    for (const std::string& peer : LoadAskPeers(&instance.Sharing, instance.Others, own, fleet->Now, &fleet->Rng))
    {
        instance.SharedUs = fleet->Now;
        instance.Pool.Shared = true;
        ChooseFleetTell(fleet, number, peer, ask);
    }
    if (!fleet->Plan.Divides || (instance.AskedElsewhereUs > 0 && fleet->Now < instance.AskedElsewhereUs + check_us))
    {
        return;
    }
    instance.AskedElsewhereUs = fleet->Now;
    for (const uint16_t data_centre : DivisionAsks(&instance.Divided, LoadRoom(instance.Pool, fleet->Now), instance.Others, fleet->Now))
    {
        for (const std::string& peer : PeersDraw(instance.Others, data_centre, 1, fleet->Now, &fleet->Rng))
        {
            ChooseFleetTell(fleet, number, peer, ask);
            DivisionAsked(&instance.Divided, data_centre, peer, fleet->Now);
        }
    }
}

inline void ChooseFleetTakeOffer(ChooseFleet* fleet, size_t number, const std::string& target);

// The same as LoadLinkHeard().
inline void ChooseFleetHear(ChooseFleet* fleet, size_t to, size_t from, const LoadMessage& message)
{
    ChooseFleetInstance& instance = fleet->Instances[to];
    if (ChooseFleetIsDead(*fleet, instance))
    {
        return;
    }
    const uint16_t own = instance.Others.DataCentre;
    const bool near = message.DataCentre == own;
    const bool asks = message.Kind == LoadMessage_Ask;
    const std::string address = fleet->Instances[from].Others.Own;
    instance.SharedUs = fleet->Now;
    instance.Pool.Shared = true;
    const uint64_t taken = instance.Sharing.ReportsTaken;
    std::optional<LoadMessage> answer = LoadHeard(&instance.Sharing, &instance.Pool, message, address, own, fleet->Now, &fleet->Rng);
    if (fleet->Plan.Divides)
    {
        DivisionHeard(&instance.Divided, instance.Pool, address, message, own, fleet->Now);
    }
    if (asks && instance.Neighbour == ChooseFleetNeighbour_Lies)
    {
        const size_t drawn = fleet->Rng() % instance.Pool.Targets.size();
        answer = message;
        answer->Kind = LoadMessage_Answer;
        answer->DataCentre = own;
        answer->Reports = {{SharedTargetId(std::next(instance.Pool.Targets.begin(), static_cast<int>(drawn))->IncarnationId),
                            {0, 0, fleet->Plan.Slots, 50},
                            0}};
    }
    if (answer)
    {
        ChooseFleetTell(fleet, to, address, *answer);
    }
    if (!asks && near && instance.Sharing.ReportsTaken > taken)
    {
        const PoolTarget* offered = PoolFindShared(instance.Pool, message.Reports.front().Target);
        ChooseFleetTakeOffer(fleet, to, offered != nullptr ? offered->Id : "");
    }
}

// A slot of the target has come free, and no request of this instance has taken it.
inline void ChooseFleetOffer(ChooseFleet* fleet, size_t number, const std::string& id)
{
    ChooseFleetInstance& instance = fleet->Instances[number];
    PoolTarget* target = PoolFind(&instance.Pool, id);
    if (!fleet->Plan.Shares || target == nullptr)
    {
        return;
    }
    const std::optional<LoadOfferTo> offer =
        LoadOffer(&instance.Sharing, instance.Pool, target, ChooseFleetService, instance.Others.DataCentre, fleet->Now);
    if (offer)
    {
        ChooseFleetTell(fleet, number, offer->Address, offer->Message);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

inline TimeUs ChooseFleetObjectiveUs(const ChooseFleetPlan& plan, const ChooseFleetRequest& request)
{
    return request.Kind == ChooseFleetKind_Large ? plan.LargeObjectiveUs : plan.ObjectiveUs;
}

inline TimeUs ChooseFleetWorkUs(const ChooseFleetPlan& plan, const ChooseFleetRequest& request)
{
    return request.Kind == ChooseFleetKind_Large ? plan.LargeWorkUs : plan.WorkUs;
}

inline ChooserRequest ChooseFleetRequestOf(const ChooseFleet& fleet, const ChooseFleetRequest& request)
{
    ChooserRequest out;
    out.ArrivedUs = request.ArrivedUs;
    out.LatencyObjectiveUs = ChooseFleetObjectiveUs(fleet.Plan, request);
    out.DeadlineUs = request.ArrivedUs + fleet.Plan.DeadlineUs;
    out.WorkUs = fleet.Plan.WorkKnown ? static_cast<double>(ChooseFleetWorkUs(fleet.Plan, request)) : 0;
    out.AnswerBytes = request.Kind == ChooseFleetKind_Large ? fleet.Plan.LargeAnswerBytes : fleet.Plan.AnswerBytes;
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
    constexpr TimeUs calm_us = 5 * UsPerSecond;
    instance.Pool.Shared = instance.Pool.Shared && fleet->Now < instance.SharedUs + calm_us;
    view.Shares = fleet->Plan.Shares;
    view.Divided = fleet->Plan.Divides ? &instance.Divided : nullptr;
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

inline void ChooseFleetEnded(ChooseFleet* fleet, const ChooseFleetRequest& request, bool served, bool far)
{
    if (fleet->OnEnded)
    {
        fleet->OnEnded(request, served, far);
    }
}

inline void ChooseFleetRefuse(ChooseFleet* fleet, const ChooseFleetRequest& request, Code_ code)
{
    ChooseFleetEnded(fleet, request, false, false);
    ChooseFleetResultOf(fleet, request)->Refused[code]++;
    fleet->ByPriority[static_cast<size_t>(request.Priority)].Refused[code]++;
}

inline void ChooseFleetChoose(ChooseFleet* fleet, const ChooseFleetRequestPtr& request)
{
    request->RoundUs = fleet->Now;
    ChooseFleetCarryOut(fleet, request, ChooserStart(&request->Round, Choosing_First, ChooseFleetView(fleet, *request), fleet->Now));
}

// The most urgent request that waits and was not sent to the target; null if there is none.
inline ChooseFleetRequestPtr ChooseFleetMostUrgent(ChooseFleet* fleet, size_t number, const std::string& target)
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
    return first ? waiting[*first] : nullptr;
}

// The instance hands a free slot of the target to one of its waiting requests.
inline void ChooseFleetServeWaiting(ChooseFleet* fleet, size_t number, const std::string& target)
{
    const ChooseFleetRequestPtr request = ChooseFleetMostUrgent(fleet, number, target);
    if (request)
    {
        const ChooserView view = ChooseFleetView(fleet, *request);
        ChooseFleetCarryOut(fleet, request, ChooserSlotFree(&request->Round, view, target, fleet->Now));
    }
}

// Another instance has offered a free slot of the target.
inline void ChooseFleetTakeOffer(ChooseFleet* fleet, size_t number, const std::string& target)
{
    const ChooseFleetRequestPtr request = ChooseFleetMostUrgent(fleet, number, target);
    if (request)
    {
        ChooseFleetCarryOut(fleet, request, ChooserTold(&request->Round, ChooseFleetView(fleet, *request), fleet->Now));
    }
}

// The target's answer reaches the instance. `refused`: it had no free slot.
inline void ChooseFleetAnswered(ChooseFleet* fleet, const ChooseFleetRequestPtr& request, const std::string& id, const LoadReport& report,
                                bool refused)
{
    ChooseFleetInstance& instance = fleet->Instances[request->Instance];
    PoolTarget* target = PoolFind(&instance.Pool, id);
    if (target != nullptr) // It may have left the pool meanwhile.
    {
        target->InFlight = std::max(target->InFlight - 1, 0);
        PoolReport(target, report, fleet->Now);
        refused ? PoolFailed(instance.Pool.Config, target, fleet->Now) : PoolSucceeded(target);
    }
    request->Contacts[ContactEnd_Answered]++;
    TargetPathContact(&instance.Path, id, ContactEnd_Answered, instance.Pool.Targets.size(), fleet->Now);
    if (!refused)
    {
        ChooseFleetEnded(fleet, *request, true, fleet->Targets.at(id).DataCentre != instance.DataCentre);
        const bool in_time = fleet->Now <= request->ArrivedUs + ChooseFleetObjectiveUs(fleet->Plan, *request);
        ChooseFleetResult* results[] = {ChooseFleetResultOf(fleet, *request), &fleet->ByPriority[static_cast<size_t>(request->Priority)]};
        for (ChooseFleetResult* result : results)
        {
            (in_time ? result->InTime : result->Late)++;
        }
    }
    else
    {
        ChooseFleetResultOf(fleet, *request)->TurnedAway++;
        const bool again = static_cast<int>(request->SentTo.size()) < fleet->Plan.AttemptsMax;
        again ? ChooseFleetChoose(fleet, request) : ChooseFleetRefuse(fleet, *request, Code_TargetRefused);
    }
    ChooseFleetServeWaiting(fleet, request->Instance, id);
    ChooseFleetOffer(fleet, request->Instance, id);
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
    const bool is_long = fleet->Plan.LongShare > 0 && std::uniform_real_distribution<double>(0, 1)(fleet->Rng) < fleet->Plan.LongShare;
    const double spread =
        std::lognormal_distribution<double>(0, fleet->Plan.WorkSpread)(fleet->Rng) * (is_long ? fleet->Plan.LongFactor : 1);
    const double full = PoolNearlyFull(PoolConfig(), before, 0) ? fleet->Plan.FullFactor : 1;
    const auto usual = static_cast<double>(ChooseFleetWorkUs(fleet->Plan, *request));
    const auto work = static_cast<TimeUs>(usual * spread * full * before.PacePercent / 100);
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
    TargetPool* pool = &fleet->Instances[request->Instance].Pool;
    const bool is_fresh = target->ReportUs > 0 && fleet->Now < target->ReportUs + pool->Config.ReportMaxAgeUs;
    const bool had_room = is_fresh && target->Report.Running + target->Report.Waiting + target->SentSinceReport < target->Report.Slots;
    const bool evacuated = fleet->Plan.Evacuated && fleet->Plan.Evacuated(fleet->Now, fleet->Targets.at(target->Id).DataCentre);
    result->Unusable += had_room && !evacuated && PoolMayUse(*target, fleet->Now) ? 0 : 1;
    request->SentTo.push_back(target->Id);
    PoolSent(pool, target, fleet->Now);
    ChooseFleetAt(fleet, fleet->Now + way, [=, id = target->Id]() { ChooseFleetArrive(fleet, request, id, way); });
}

// The answer to a probe, or its time-out.
inline void ChooseFleetProbed(ChooseFleet* fleet, size_t number, const std::string& id, const std::optional<LoadReport>& report)
{
    ChooseFleetInstance& instance = fleet->Instances[number];
    const std::vector<ChooseFleetRequestPtr> waiters = std::move(instance.Probes[id]);
    instance.Probes.erase(id);
    PoolTarget* target = PoolFind(&instance.Pool, id);
    const bool far = fleet->Targets.at(id).DataCentre != instance.DataCentre;
    const ContactEnd_ end = report ? ContactEnd_Answered : ContactEnd_Silent;
    if (report)
    {
        ProbeTimeoutAnswered(&instance.ProbeTimeout);
    }
    else
    {
        ProbeTimeoutExpired(&instance.ProbeTimeout);
    }
    if (target != nullptr && report)
    {
        PoolProbed(&instance.Pool, target, *report, fleet->Now);
        const bool room = PoolHasFreeSlot(instance.Pool, *target) && PoolIsAcceptable(instance.Pool, *target, fleet->Now);
        if (!far && fleet->Plan.Divides)
        {
            DivisionProbed(&instance.Divided, room, fleet->Now);
        }
        fleet->ProbesCrossing += far ? 1 : 0;
        fleet->ProbesCrossingRoom += far && room ? 1 : 0;
    }
    else if (target != nullptr)
    {
        PoolFailed(instance.Pool.Config, target, fleet->Now);
    }
    TargetPathContact(&instance.Path, id, end, instance.Pool.Targets.size(), fleet->Now);
    for (const ChooseFleetRequestPtr& waiter : waiters)
    {
        waiter->Contacts[end]++;
        const ChooserView view = ChooseFleetView(fleet, *waiter);
        ChooseFleetCarryOut(fleet, waiter, ChooserProbed(&waiter->Round, view, id, target != nullptr && report, fleet->Now));
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
    const bool cut = ChooseFleetIsCut(*fleet, fleet->Instances[instance].DataCentre, fleet->Targets.at(id).DataCentre);
    if (took > limit || cut)
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
        case ChooseAction_Ask:
            ChooseFleetAsk(fleet, request->Instance);
            break;
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

inline double ChooseFleetPerSecond(const ChooseFleet& fleet, size_t data_centre, ChooseFleetKind_ kind)
{
    const ChooseFleetPlan& plan = fleet.Plan;
    if (plan.PerSecond)
    {
        return plan.PerSecond(fleet.Now, data_centre, kind);
    }
    const ChooseFleetDataCentre& callers = plan.DataCentres[data_centre];
    return (kind == ChooseFleetKind_Large ? callers.LargePerSecond : callers.RequestsPerSecond) *
           (plan.Demand ? plan.Demand(fleet.Now) : 1);
}

// An instance of the data centre that is running; none if all are dead.
inline std::optional<size_t> ChooseFleetDraw(ChooseFleet* fleet, size_t data_centre)
{
    const std::vector<size_t>& instances = fleet->InstancesOf[data_centre];
    constexpr int tries = 100;
    for (int n = 0; n < tries; n++)
    {
        const size_t drawn = instances[std::uniform_int_distribution<size_t>(0, instances.size() - 1)(fleet->Rng)];
        if (!ChooseFleetIsDead(*fleet, fleet->Instances[drawn]))
        {
            return drawn;
        }
    }
    return std::nullopt;
}

// Starts the next request of the data centre's callers, and schedules the one after it.
inline void ChooseFleetArrivals(ChooseFleet* fleet, size_t data_centre, ChooseFleetKind_ kind)
{
    constexpr TimeUs idle = 50 * UsPerMs; // Until a demand of zero is looked at again.
    const double per_second = ChooseFleetPerSecond(*fleet, data_centre, kind);
    const double pause = per_second > 0 ? std::exponential_distribution<double>(per_second)(fleet->Rng) * UsPerSecond : idle;
    const auto next = [=]()
    {
        if (fleet->Now >= fleet->EndUs)
        {
            return;
        }
        const std::optional<size_t> instance = per_second > 0 ? ChooseFleetDraw(fleet, data_centre) : std::nullopt;
        if (instance)
        {
            const auto request = std::make_shared<ChooseFleetRequest>();
            request->Instance = *instance;
            request->ArrivedUs = fleet->Now;
            request->Kind = kind;
            request->Priority = std::uniform_real_distribution<double>(0, 1)(fleet->Rng) < fleet->Plan.UrgentShare ? 0 : 1;
            ChooseFleetResultOf(fleet, *request)->Requests++;
            fleet->ByPriority[static_cast<size_t>(request->Priority)].Requests++;
            ChooseFleetChoose(fleet, request);
        }
        ChooseFleetArrivals(fleet, data_centre, kind);
    };
    ChooseFleetAt(fleet, fleet->Now + std::max<TimeUs>(static_cast<TimeUs>(pause), 1), next);
}

// Brings the targets, evacuations and warm-ups to all instances.
inline void ChooseFleetSync(ChooseFleet* fleet)
{
    TargetList listed;
    for (auto& entry : fleet->Targets)
    {
        ChooseFleetTarget& target = entry.second;
        const bool evacuated = fleet->Plan.Evacuated && fleet->Plan.Evacuated(fleet->Now, target.DataCentre);
        target.Listed.ColdUntilUs = target.Listed.Evacuated && !evacuated ? fleet->Now + fleet->Plan.ColdUs : target.Listed.ColdUntilUs;
        target.Listed.Evacuated = evacuated;
        listed.push_back(&target.Listed);
    }
    for (ChooseFleetInstance& instance : fleet->Instances)
    {
        PoolSync(&instance.Pool, listed, fmt::format("dc{}", instance.DataCentre), &fleet->Rng);
    }
}

// Each instance knows up to PeersMax others, drawn from the whole fleet.
inline void ChooseFleetMeet(ChooseFleet* fleet)
{
    std::vector<PeerUpdate> all;
    for (size_t n = 0; n < fleet->Instances.size(); n++)
    {
        ChooseFleetInstance& instance = fleet->Instances[n];
        instance.Others.Own = fmt::format("10.0.{}.{}:7000", n / 250, 1 + n % 250);
        instance.Others.DataCentre = ChooseFleetDataCentreId(instance.DataCentre);
        const bool odd = std::uniform_real_distribution<double>(0, 1)(fleet->Rng) < fleet->Plan.OddShare;
        instance.Neighbour = odd ? fleet->Plan.Odd : ChooseFleetNeighbour_Normal;
        instance.Divided.Config = fleet->Plan.Dividing;
        instance.Neighbour =
            n + 1 == fleet->Instances.size() && instance.Neighbour == ChooseFleetNeighbour_Normal ? fleet->Plan.LastIs : instance.Neighbour;
        fleet->ByAddress[instance.Others.Own] = n;
        all.push_back({instance.Others.Own, instance.Others.DataCentre, 0, true});
    }
    for (ChooseFleetInstance& instance : fleet->Instances)
    {
        std::vector<PeerUpdate> known;
        std::sample(all.begin(), all.end(), std::back_inserter(known), instance.Others.Config.PeersMax, fleet->Rng);
        for (const PeerUpdate& update : known)
        {
            PeersHeard(&instance.Others, update, fleet->Now);
        }
    }
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
            fleet->Instances.back().Number = n;
        }
    }
    for (ChooseFleetInstance& instance : fleet->Instances)
    {
        instance.TargetLimits.Config = TargetQuotaConfig();
        instance.Pool.Config.AcceptableCost = plan.AcceptableCost;
        instance.Pool.NearlyFullFactor = plan.FullFactor; // What an instance learns from answers.
        instance.Pool.Config.ColdPerS = plan.ColdPerS;
        instance.Pool.Config.ColdUs = plan.ColdUs;
    }
    ChooseFleetSync(fleet);
    if (plan.Shares)
    {
        ChooseFleetMeet(fleet);
    }
}

// Runs for that time, and until all requests have ended.
inline void ChooseFleetRun(ChooseFleet* fleet, TimeUs length)
{
    fleet->EndUs = fleet->Now + length;
    for (size_t dc = 0; dc < fleet->Plan.DataCentres.size(); dc++)
    {
        ChooseFleetArrivals(fleet, dc, ChooseFleetKind_Small);
        if (ChooseFleetPerSecond(*fleet, dc, ChooseFleetKind_Large) > 0)
        {
            ChooseFleetArrivals(fleet, dc, ChooseFleetKind_Large);
        }
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
        total.Unusable += result.Unusable;
        total.ChoseUs.insert(total.ChoseUs.end(), result.ChoseUs.begin(), result.ChoseUs.end());
        for (const auto& refused : result.Refused)
        {
            total.Refused[refused.first] += refused.second;
        }
    }
    return total;
}

} // namespace Winchlink
