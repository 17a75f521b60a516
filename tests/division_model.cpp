// division_model.cpp: see division_model.h.

#include "division_model.h"

#include <fmt/format.h>

namespace Winchlink
{

namespace
{

constexpr TimeUs ProbeUs = 6 * UsPerMs;
constexpr TimeUs NeighbourUs = 200; // One way to an instance of the own data centre.
constexpr TimeUs PaceUs = 150 * UsPerMs;
constexpr TimeUs ReuseUs = 8 * UsPerMs;   // A report of this age is used without a probe.
constexpr TimeUs RepeatUs = 20 * UsPerMs; // Until a request that found no target looks again.
constexpr TimeUs StepUs = UsPerSecond / 2;
constexpr double SlowShare = 0.3;
constexpr double FullFactor = 1.4;
constexpr size_t TriesMax = 1;
constexpr int Slots = 2;
constexpr double ColdPerS = 5;
constexpr const char* Service = "svc";

struct Kind
{
    double WorkUs = 0;
    TimeUs ObjectiveUs = 0;
    double Bytes = 0;
};

constexpr Kind Small = {94.0 * UsPerMs, 300 * UsPerMs, 2.0 * KiB};
constexpr Kind Large = {73.0 * UsPerMs, 800 * UsPerMs, 90.0 * KiB};

struct ModelTarget
{
    DirectoryTarget Listed;
    size_t Centre = 0;
    std::multiset<TimeUs> Ending;
};

struct ModelInstance
{
    size_t Centre = 0;
    size_t Number = 0;
    TargetPool Pool;
    LoadSharing Sharing;
    Division Shares;
    Peers Others;
    std::map<std::string, std::vector<std::function<void(PoolTarget*)>>> Probes; // Requests that wait for the answer, by target.
};

struct ModelRequest
{
    ModelInstance* At = nullptr;
    const Kind* What = nullptr;
    TimeUs ArrivedUs = 0;
    std::vector<std::string> Passed;
    size_t Probes = 0;
    size_t FarTries = 0;
    size_t Tries = 0;
    bool Stays = false; // It doesn't cross in this round.
};

using RequestPtr = std::shared_ptr<ModelRequest>;

struct Event
{
    TimeUs AtUs = 0;
    uint64_t Number = 0;
    std::function<void()> Run;
};

struct LaterEvent
{
    bool operator()(const Event& a, const Event& b) const
    {
        return std::tie(a.AtUs, a.Number) > std::tie(b.AtUs, b.Number);
    }
};

class Model
{
public:
    explicit Model(const DivisionPlan& plan) : Plan(plan), Rng(plan.Seed)
    {
        for (size_t centre = 0; centre < CentreCount; centre++)
        {
            Centres[centre] = PeerDataCentre(NameOf(centre));
            for (int n = 0; n < Plan.Targets[centre]; n++)
            {
                ModelTarget target;
                target.Listed.Id = fmt::format("{}-{}", NameOf(centre), n);
                target.Listed.DataCentre = NameOf(centre);
                target.Listed.Slots = Slots;
                target.Centre = centre;
                Targets[target.Listed.Id] = std::move(target);
            }
        }
        for (size_t centre = 0; centre < CentreCount; centre++)
        {
            for (size_t n = 0; n < Plan.Instances[centre]; n++)
            {
                Instances[centre].push_back(std::make_unique<ModelInstance>());
                Start(Instances[centre].back().get(), centre, n);
            }
        }
        Sync();
    }

    DivisionResult Run()
    {
        for (size_t centre = 0; centre < CentreCount; centre++)
        {
            ArriveNext(centre, &Small, Plan.PerS);
            ArriveNext(centre, &Large, Plan.LargePerS);
        }
        if (Plan.EvacuatedUs > 0)
        {
            At(Plan.EvacuatedUs, [this]() { Sync(); });
            At(Plan.BackUs, [this]() { Sync(); });
        }
        while (!Events.empty())
        {
            const Event event = Events.top();
            Events.pop();
            Now = event.AtUs;
            event.Run();
        }
        return Result;
    }

private:
    static std::string NameOf(size_t centre)
    {
        return fmt::format("dc{}", centre);
    }

    void At(TimeUs at, std::function<void()> run)
    {
        Events.push({at, ++EventCount, std::move(run)});
    }

    double Draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(Rng);
    }

    void Start(ModelInstance* instance, size_t centre, size_t number)
    {
        instance->Centre = centre;
        instance->Number = number;
        instance->Pool.Shared = true;
        instance->Pool.Config.ColdPerS = ColdPerS;
        instance->Pool.Config.ColdUs = Plan.ColdUs;
        instance->Pool.NearlyFullFactor = FullFactor;
        instance->Shares.Config = Plan.Config;
        instance->Others.DataCentre = Centres[centre];
        for (size_t other = 0; other < CentreCount; other++)
        {
            instance->Others.Known[NameOf(other)].DataCentre = Centres[other];
        }
    }

    bool IsCut(size_t a, size_t b) const
    {
        return a != b && Plan.Cut && Plan.Cut(Now);
    }

    bool IsDead(const ModelInstance& instance) const
    {
        return Plan.Dead && Plan.Dead(Now, instance.Number);
    }

    // Brings evacuations and warm-ups to all instances.
    void Sync()
    {
        const bool evacuated = Plan.EvacuatedUs > 0 && Now >= Plan.EvacuatedUs && Now < Plan.BackUs;
        const bool back = Plan.EvacuatedUs > 0 && Now >= Plan.BackUs;
        TargetList listed;
        for (auto& entry : Targets)
        {
            const bool concerned = entry.second.Centre == Plan.EvacuatedCentre;
            entry.second.Listed.Evacuated = concerned && evacuated;
            entry.second.Listed.ColdUntilUs = concerned && back ? Plan.BackUs + Plan.ColdUs : 0;
            listed.push_back(&entry.second.Listed);
        }
        for (const auto& centre : Instances)
        {
            for (const auto& instance : centre)
            {
                PoolSync(&instance->Pool, listed, NameOf(instance->Centre), &Rng);
            }
        }
    }

    void ArriveNext(size_t centre, const Kind* kind, const std::function<PerCentre(TimeUs)>& per_s)
    {
        const double rate = per_s ? per_s(Now)[centre] : 0;
        constexpr TimeUs idle = 50 * UsPerMs;
        const TimeUs at = Now + (rate > 0 ? static_cast<TimeUs>(std::exponential_distribution<double>(rate)(Rng) * UsPerSecond) : idle);
        if (at >= Plan.LengthUs || !per_s)
        {
            return;
        }
        At(at,
           [this, centre, kind, per_s, arrives = rate > 0]()
           {
               ArriveNext(centre, kind, per_s);
               if (arrives)
               {
                   Arrive(centre, kind);
               }
           });
    }

    // An instance that is running, or null.
    ModelInstance* DrawInstance(size_t centre)
    {
        for (int tries = 0; tries < 100; tries++)
        {
            ModelInstance* drawn = Instances[centre][Rng() % Instances[centre].size()].get();
            if (!IsDead(*drawn))
            {
                return drawn;
            }
        }
        return nullptr;
    }

    void Arrive(size_t centre, const Kind* kind)
    {
        ModelInstance* instance = DrawInstance(centre);
        if (instance != nullptr)
        {
            const auto request = std::make_shared<ModelRequest>();
            request->At = instance;
            request->What = kind;
            request->ArrivedUs = Now;
            Search(request);
        }
    }

    LoadReport LoadOf(const std::string& id)
    {
        ModelTarget* target = &Targets[id];
        target->Ending.erase(target->Ending.begin(), target->Ending.upper_bound(Now));
        Random draw(std::hash<std::string>()(id) ^ static_cast<uint64_t>(Now / PaceUs) * 0x9E3779B97F4A7C15ULL);
        const bool slow = std::uniform_real_distribution<double>(0, 1)(draw) < SlowShare;
        const int cold = Now < target->Listed.ColdUntilUs ? 3 : 1;
        return {static_cast<int>(target->Ending.size()), 0, Slots, (slow ? 500 : 100) * cold};
    }

    void AskNeighbours(ModelInstance* instance)
    {
        const LoadSharingConfig& config = instance->Sharing.Config;
        if (instance->Sharing.AskedUs > 0 && Now < instance->Sharing.AskedUs + config.AskIntervalUs)
        {
            return;
        }
        instance->Sharing.AskedUs = Now;
        for (size_t n = 0; n < std::min(config.AskedPeers, Instances[instance->Centre].size() - 1); n++)
        {
            Ask(instance, instance->Centre);
        }
    }

    // Asks an instance drawn from the data centre for what it knows.
    void Ask(ModelInstance* instance, size_t centre)
    {
        const size_t drawn = Rng() % Instances[centre].size();
        LoadMessage ask = LoadAsk(instance->Pool, Service, Centres[instance->Centre], Now);
        ask.Room = DivisionTell(instance->Shares, LoadRoom(instance->Pool, Now), centre == instance->Centre, Now);
        if (Instances[centre][drawn].get() != instance)
        {
            Tell(*instance, centre, drawn, ask);
        }
    }

    void Tell(const ModelInstance& from, size_t centre, size_t number, const LoadMessage& message)
    {
        ModelInstance* to = Instances[centre][number].get();
        if (IsDead(*to) || IsCut(from.Centre, centre) || Draw() < Plan.LostShare)
        {
            return;
        }
        const size_t from_centre = from.Centre;
        const size_t from_number = from.Number;
        At(Now + (from_centre == centre ? NeighbourUs : Plan.OneWayUs),
           [this, to, from_centre, from_number, message]() { Hear(to, from_centre, from_number, message); });
    }

    void Hear(ModelInstance* at, size_t from_centre, size_t from_number, const LoadMessage& message)
    {
        const uint16_t own = Centres[at->Centre];
        const std::string address = fmt::format("{}", from_number);
        if (from_centre == at->Centre || message.Kind == LoadMessage_Answer)
        {
            DivisionHeard(&at->Shares, message.DataCentre, own, message.Room, Now);
        }
        std::optional<LoadMessage> answer = LoadHeard(&at->Sharing, &at->Pool, message, address, own, Now, &Rng);
        if (answer)
        {
            answer->Room = DivisionTell(at->Shares, LoadRoom(at->Pool, Now), from_centre == at->Centre, Now);
            Tell(*at, from_centre, from_number, *answer);
        }
    }

    void AskOthers(ModelInstance* instance)
    {
        for (const uint16_t data_centre : DivisionAsks(&instance->Shares, LoadRoom(instance->Pool, Now), instance->Others, Now))
        {
            Result.Messages++;
            Ask(instance, static_cast<size_t>(std::find(Centres.begin(), Centres.end(), data_centre) - Centres.begin()));
        }
    }

    bool IsGood(const ModelRequest& request, const PoolTarget& target) const
    {
        const TargetPool& pool = request.At->Pool;
        return PoolHasFreeSlot(pool, target) && PoolMaySendCold(pool, target, Now) && PoolCost(pool, target, Now) <= PoolGoodCost(pool);
    }

    void Search(const RequestPtr& request)
    {
        TargetPool* pool = &request->At->Pool;
        const bool home_only = Plan.Divide && LoadRoom(*pool, Now).Targets > 0;
        for (;;)
        {
            PoolTarget* next = home_only ? NextNear(pool, request->Passed) : PoolNext(pool, request->Passed, false, Now);
            next = Plan.Divide && !home_only ? NextByDivision(request, next) : next;
            const bool known = next != nullptr && next->ReportUs > 0 && Now < next->ReportUs + ReuseUs;
            if (next == nullptr || (!known && request->Probes >= HomeProbesMax(*request)))
            {
                HomeEnds(request);
                return;
            }
            request->Passed.push_back(next->Id);
            if (known && IsGood(*request, *next))
            {
                Send(request, next);
                return;
            }
            if (!known)
            {
                request->Probes++;
                Probe(request, next->Id, [this, request](PoolTarget* target) { Probed(request, target); });
                return;
            }
        }
    }

    PoolTarget* NextNear(TargetPool* pool, std::vector<std::string> passed) const
    {
        PoolTarget* next = PoolNext(pool, passed, false, Now);
        while (next != nullptr && !next->Near)
        {
            passed.push_back(next->Id);
            next = PoolNext(pool, passed, false, Now);
        }
        return next;
    }

    // A request that doesn't cross goes on at home.
    size_t HomeProbesMax(const ModelRequest& request) const
    {
        const ModelInstance& instance = *request.At;
        const bool may_cross = Plan.Divide && !request.Stays && DivisionMayCross(instance.Shares, LoadRoom(instance.Pool, Now), Now);
        return may_cross ? std::min(instance.Shares.Config.HomeProbes, ModelProbesMax) : ModelProbesMax;
    }

    // The next target of a request whose data centre has none; `otherwise` if no other one is known to have room.
    PoolTarget* NextByDivision(const RequestPtr& request, PoolTarget* otherwise)
    {
        ModelInstance* instance = request->At;
        AskOthers(instance);
        const std::optional<uint16_t> picked = DivisionPick(&instance->Shares, LoadRoom(instance->Pool, Now), NeedsOf(*request), Now, &Rng);
        PoolTarget* target = picked ? PoolNextIn(&instance->Pool, *picked, request->Passed, false, Now) : nullptr;
        return target != nullptr ? target : otherwise;
    }

    DivisionRequest NeedsOf(const ModelRequest& request) const
    {
        return {request.What->WorkUs, request.What->Bytes, request.ArrivedUs + request.What->ObjectiveUs - Now};
    }

    using AfterProbe = std::function<void(PoolTarget*)>;

    // Requests of an instance that want to know the same target's load share a probe.
    void Probe(const RequestPtr& request, const std::string& id, const AfterProbe& then)
    {
        ModelInstance* instance = request->At;
        std::vector<AfterProbe>& waiting = instance->Probes[id];
        waiting.push_back(then);
        if (waiting.size() > 1)
        {
            return;
        }
        const size_t centre = Targets[id].Centre;
        const bool reached = !IsCut(instance->Centre, centre);
        constexpr TimeUs time_out = 40 * UsPerMs;
        const TimeUs way = ProbeUs / 2 + (centre != instance->Centre ? Plan.OneWayUs : 0);
        At(Now + (reached ? way : time_out),
           [this, instance, id, reached, way]()
           {
               const LoadReport load = LoadOf(id);
               At(Now + (reached ? way : 0), [this, instance, id, reached, load]() { ProbeEnds(instance, id, reached, load); });
           });
    }

    void ProbeEnds(ModelInstance* instance, const std::string& id, bool reached, const LoadReport& load)
    {
        PoolTarget* target = PoolFind(&instance->Pool, id);
        if (target != nullptr && reached)
        {
            PoolProbed(&instance->Pool, target, load, Now);
        }
        else if (target != nullptr)
        {
            PoolFailed(instance->Pool.Config, target, Now);
        }
        const std::vector<AfterProbe> waiting = std::move(instance->Probes[id]);
        instance->Probes.erase(id);
        for (const AfterProbe& then : waiting)
        {
            then(reached ? PoolFind(&instance->Pool, id) : nullptr);
        }
    }

    void Probed(const RequestPtr& request, PoolTarget* target)
    {
        if (target != nullptr && target->Near)
        {
            const TargetPool& pool = request->At->Pool;
            DivisionProbed(&request->At->Shares, PoolHasFreeSlot(pool, *target) && PoolIsAcceptable(pool, *target, Now), Now);
        }
        if (target != nullptr && IsGood(*request, *target))
        {
            Send(request, target);
            return;
        }
        AskNeighbours(request->At);
        if (Plan.Divide)
        {
            AskOthers(request->At);
        }
        Search(request);
    }

    TimeUs ChooseDeadline(const ModelRequest& request) const
    {
        constexpr double share = 0.2;
        return request.ArrivedUs + static_cast<TimeUs>(share * static_cast<double>(request.What->ObjectiveUs));
    }

    // No good target at home.
    void HomeEnds(const RequestPtr& request)
    {
        TargetPool* pool = &request->At->Pool;
        PoolTarget* best = nullptr;
        for (const std::string& id : request->Passed)
        {
            PoolTarget* target = PoolFind(pool, id);
            const bool fresh = target != nullptr && target->ReportUs > 0 && Now < target->ReportUs + pool->Config.ReportMaxAgeUs;
            const bool usable =
                fresh && PoolHasFreeSlot(*pool, *target) && PoolMaySendCold(*pool, *target, Now) && PoolIsAcceptable(*pool, *target, Now);
            best = usable && (best == nullptr || PoolCost(*pool, *target, Now) < PoolCost(*pool, *best, Now)) ? target : best;
        }
        if (best != nullptr)
        {
            Send(request, best);
            return;
        }
        if (Plan.Divide && !request->Stays && TryFar(request))
        {
            return;
        }
        if (Plan.Divide && !request->Stays && request->Probes < ModelProbesMax)
        {
            request->Stays = true;
            Search(request);
            return;
        }
        if (Now + RepeatUs < ChooseDeadline(*request))
        {
            At(Now + RepeatUs,
               [this, request]()
               {
                   request->Passed.clear();
                   request->Probes = 0;
                   request->FarTries = 0;
                   request->Stays = false;
                   Search(request);
               });
            return;
        }
        End(request, Now, false, true, false);
    }

    bool TryFar(const RequestPtr& request)
    {
        ModelInstance* instance = request->At;
        const SharedRoom own = LoadRoom(instance->Pool, Now);
        AskOthers(instance);
        if (request->FarTries++ >= instance->Shares.Config.AwayProbes)
        {
            return false;
        }
        const std::optional<uint16_t> picked = DivisionPick(&instance->Shares, own, NeedsOf(*request), Now, &Rng);
        PoolTarget* target = picked ? PoolNextIn(&instance->Pool, *picked, request->Passed, false, Now) : nullptr;
        if (target == nullptr)
        {
            return false;
        }
        request->Passed.push_back(target->Id);
        Result.CrossingTries++;
        Probe(request, target->Id,
              [this, request](PoolTarget* probed)
              {
                  const TargetPool& pool = request->At->Pool;
                  const bool met = probed != nullptr && PoolHasFreeSlot(pool, *probed) && PoolIsAcceptable(pool, *probed, Now);
                  Result.CrossingMet += met ? 1 : 0;
                  if (met)
                  {
                      Send(request, probed);
                      return;
                  }
                  HomeEnds(request);
              });
        return true;
    }

    void Send(const RequestPtr& request, PoolTarget* pool_target)
    {
        const std::string id = pool_target->Id;
        const bool far = Targets[id].Centre != request->At->Centre;
        PoolSent(&request->At->Pool, pool_target, Now);
        const TimeUs way = far ? Plan.OneWayUs : 0;
        At(Now + way,
           [this, request, id, far, way]()
           {
               const LoadReport load = LoadOf(id);
               ModelTarget* target = &Targets[id];
               if (load.Running >= Slots)
               {
                   At(Now + way, [this, request, id, load, far]() { Answered(request, id, load, far, false); });
                   return;
               }
               const double tail = Draw() < 0.03 ? 7 : 1;
               const double full = load.Running + 1 >= Slots ? FullFactor : 1;
               const TimeUs end = Now + static_cast<TimeUs>(request->What->WorkUs * tail * full * load.PacePercent / 100);
               target->Ending.insert(end);
               At(end + way, [this, request, id, far]() { Answered(request, id, LoadOf(id), far, true); });
           });
    }

    void Answered(const RequestPtr& request, const std::string& id, const LoadReport& load, bool far, bool served)
    {
        PoolTarget* target = PoolFind(&request->At->Pool, id);
        if (target != nullptr)
        {
            target->InFlight = std::max(target->InFlight - 1, 0);
            PoolReport(target, load, Now);
            const std::optional<LoadOfferTo> offer =
                LoadOffer(&request->At->Sharing, request->At->Pool, target, Service, Centres[request->At->Centre], Now);
            if (offer)
            {
                LoadMessage message = offer->Message;
                message.Room = DivisionTell(request->At->Shares, message.Room, true, Now);
                Tell(*request->At, request->At->Centre, std::stoul(offer->Address), message);
            }
        }
        if (!served)
        {
            if (request->Tries++ < TriesMax && Now < ChooseDeadline(*request))
            {
                request->Passed = {id};
                request->Probes = 0;
                request->FarTries = 0;
                request->Stays = false;
                Search(request);
                return;
            }
        }
        Result.Bytes += far && served ? request->What->Bytes : 0;
        End(request, Now, served, !served, far);
    }

    void End(const RequestPtr& request, TimeUs now, bool served, bool refused, bool far)
    {
        const size_t centre = request->At->Centre;
        const bool small = request->What == &Small;
        const bool in_time = served && now - request->ArrivedUs <= request->What->ObjectiveUs;
        const auto count = [&](CentreResult* result)
        {
            result->Requests++;
            result->InTime += in_time ? 1 : 0;
            result->Refused += refused ? 1 : 0;
            result->Crossed += far ? 1 : 0;
        };
        if (request->ArrivedUs >= Plan.CountedFromUs)
        {
            count(&(small ? Result.Small : Result.Large)[centre]);
        }
        const auto step = static_cast<size_t>(request->ArrivedUs / StepUs);
        Result.Steps.resize(std::max(Result.Steps.size(), step + 1));
        if (small)
        {
            count(&Result.Steps[step][centre]);
        }
    }

    const DivisionPlan& Plan;
    Random Rng;
    TimeUs Now = 0;
    uint64_t EventCount = 0;
    std::priority_queue<Event, std::vector<Event>, LaterEvent> Events;
    std::array<uint16_t, CentreCount> Centres = {};
    std::map<std::string, ModelTarget> Targets;
    std::array<std::vector<std::unique_ptr<ModelInstance>>, CentreCount> Instances;
    DivisionResult Result;
};

} // namespace

DivisionResult SimulateDivision(const DivisionPlan& plan)
{
    return Model(plan).Run();
}

double InTimeShare(const CentreResult& result)
{
    return result.Requests > 0 ? static_cast<double>(result.InTime) / result.Requests : 1;
}

double InTimeSpread(const DivisionResult& result)
{
    const auto by_share = [](const CentreResult& a, const CentreResult& b)
    {
        return InTimeShare(a) < InTimeShare(b);
    };
    const auto ends = std::minmax_element(result.Small.begin(), result.Small.end(), by_share);
    return InTimeShare(*ends.second) - InTimeShare(*ends.first);
}

double InTimeShareOfAll(const DivisionResult& result)
{
    CentreResult all;
    for (const CentreResult& centre : result.Small)
    {
        all.Requests += centre.Requests;
        all.InTime += centre.InTime;
    }
    return InTimeShare(all);
}

std::string DivisionText(const DivisionResult& result)
{
    std::string text = fmt::format("all {:.3f}:", InTimeShareOfAll(result));
    for (const CentreResult& centre : result.Small)
    {
        text +=
            fmt::format(" [{} in time {:.3f} refused {} crossed {}]", centre.Requests, InTimeShare(centre), centre.Refused, centre.Crossed);
    }
    for (const CentreResult& centre : result.Large)
    {
        text += centre.Requests > 0 ? fmt::format(" large [{} in time {:.3f} refused {} crossed {}]", centre.Requests, InTimeShare(centre),
                                                  centre.Refused, centre.Crossed)
                                    : "";
    }
    return text + fmt::format(" tries {} met {} bytes {:.1f} M", result.CrossingTries, result.CrossingMet, result.Bytes / MiB);
}

} // namespace Winchlink
