// follow_model.cpp: simulates a fleet of instances that get the store's changes, in virtual time.

#include "follow_model.h"

#include <fmt/format.h>

namespace Winchlink
{

constexpr TimeUs OneWayUs = 800;              // Between instances.
constexpr TimeUs StoreUs = 4 * UsPerMs;       // From the store's answer until it arrives.
constexpr TimeUs MessageUs = UsPerMs;         // Processor time to read a message, at a tenth of a core.
constexpr TimeUs EverythingUs = 10 * UsPerMs; // Processor time to read a full copy of the store.
constexpr TimeUs TransferUs = 20 * UsPerMs;   // Transfer of a full copy: 50 KB at 20 Mbit/s.
constexpr TimeUs StoreWaitUs = 800 * UsPerMs; // This and the next four are equal to the values in GatewayTiming.
constexpr TimeUs StoreMarginUs = 350 * UsPerMs;
constexpr TimeUs StoreConnectUs = 250 * UsPerMs;
constexpr TimeUs StoreKeptUs = 8 * UsPerSecond; // Equal to MaxIdleReuseSeconds in client.cpp.
constexpr TimeUs StoreBatchUs = 300 * UsPerMs;
constexpr TimeUs PeerWaitUs = 950 * UsPerMs;
constexpr TimeUs PeerMarginUs = 250 * UsPerMs;
constexpr TimeUs PeerTryMarginUs = 150 * UsPerMs;
constexpr TimeUs FullReadHoldUs = 500 * UsPerMs; // Equal to the value in relay.cpp.
constexpr TimeUs HeartbeatUs = 700 * UsPerMs;    // RelayConfig has 800 ms.
constexpr TimeUs ConnectUs = 100 * UsPerMs;      // Timeout of a connection attempt to an unresponsive instance.

std::string AddressOf(size_t instance)
{
    return fmt::format("10.1.{}.{}:9", instance / 250, instance % 250);
}

// State of the process at an address; an address without a process is that of a machine without power.
static ModelState_ StateAt(const Model& model, const std::string& address)
{
    const auto found = model.ByAddress.find(address);
    return found != model.ByAddress.end() ? model.Fleet[found->second].State : ModelState_Unresponsive;
}

void ScheduleAt(Model* model, TimeUs when, const std::function<void()>& what)
{
    model->Events.push({{std::max(when, model->Now), ++model->LastEvent}, what});
}

static uint64_t StoreRevision(const Model& model, TimeUs now)
{
    return 1000 + static_cast<uint64_t>(now / model.EditUs);
}

TimeUs ChangeTime(const Model& model, uint64_t revision)
{
    return static_cast<TimeUs>(revision - 1000) * model.EditUs;
}

static void OnStoreLost(Model* model, size_t instance, TimeUs tried);
static void AnswerFollowers(Model* model, size_t server);

// The list that all settings name.
static std::vector<std::string> SharedSeeds()
{
    std::vector<std::string> seeds;
    for (size_t n = 0; n < SeedCount; n++)
    {
        seeds.push_back(AddressOf(n));
    }
    return seeds;
}

Model::Model(size_t size, uint64_t seed, ModelSeeds seeds_of) : Rng(seed), SeedsOf(std::move(seeds_of))
{
    if (!SeedsOf)
    {
        SeedsOf = [](size_t, Random*)
        {
            return SharedSeeds();
        };
    }
    Fleet.resize(size);
    for (size_t n = 0; n < size; n++)
    {
        ByAddress[AddressOf(n)] = n;
        FollowSetSources(&Fleet[n].Following, AddressOf(n), StoreAddress, SeedsOf(n, &Rng), &Rng);
    }
}

// Queues work at an instance's processor behind the work queued before; returns when it is done.
static TimeUs QueueWork(Model* model, size_t instance, TimeUs from, TimeUs work)
{
    TimeUs& busy = model->Fleet[instance].BusyUs;
    busy = std::max(busy, from) + work;
    return busy;
}

//-----------------------------------------------------------------------------
// Answers
//-----------------------------------------------------------------------------

static bool HasPath(const Model& model, size_t instance)
{
    return !(model.CutOff && model.CutOff(instance));
}

// Runs `done` once a connection to the store has been accepted, or has timed out.
static void CheckPath(Model* model, size_t instance, TimeUs delay, const std::function<void(bool)>& done)
{
    const auto check = [=]()
    {
        const bool path = HasPath(*model, instance);
        ScheduleAt(model, model->Now + (path ? StoreUs : StoreConnectUs), [=]() { done(path); });
    };
    ScheduleAt(model, model->Now + delay, check);
}

static void CheckOwnPath(Model* model, size_t instance)
{
    Follow* following = &model->Fleet[instance].Following;
    if (!FollowWantsPathCheck(following, model->Now))
    {
        return;
    }
    const auto checked = [=](bool path)
    {
        ModelInstance& self = model->Fleet[instance];
        if (self.State == ModelState_Up && FollowPathChecked(&self.Following, path))
        {
            self.Call = 0;
            StartCall(model, instance);
        }
    };
    const TimeUs jitter = std::uniform_int_distribution<TimeUs>(0, following->Config.PathCheckJitterUs)(model->Rng);
    CheckPath(model, instance, jitter, checked);
}

static void CallFailed(Model* model, size_t instance, uint64_t call, bool late)
{
    ModelInstance& self = model->Fleet[instance];
    if (self.State != ModelState_Up || self.Call != call)
    {
        return;
    }
    self.Call = 0;
    const bool store = self.Following.Next.Kind == SourceKind_Store;
    FollowFailed(&self.Following, late, model->Now, &model->Rng);
    if (store && self.PathSeen && FollowStorePath(&self.Following, *self.PathSeen))
    {
        AnswerFollowers(model, instance);
    }
    if (store)
    {
        OnStoreLost(model, instance, model->Now);
    }
    StartCall(model, instance);
}

static SourceStatus SourceStateOf(const Model& model, const ModelInstance& self)
{
    const Follow& following = self.Following;
    std::vector<std::string> path = following.Path;
    path.push_back(following.Own);
    return {following.Revision,
            model.Now - following.FreshUs,
            self.Lost,
            self.Lost ? model.Now - self.TriedUs : 0,
            following.Origin,
            following.NoPath,
            path,
            following.Readers};
}

static void OnSourceAnswer(Model* model, size_t instance, uint64_t call, const SourceStatus& status);

static void SendAnswer(Model* model, size_t server, const ModelWait& wait)
{
    ModelInstance& self = model->Fleet[server];
    const size_t to = wait.From;
    const uint64_t call = wait.Call;
    if (self.Following.Revision == 0)
    {
        ScheduleAt(model, model->Now + OneWayUs, [=]() { CallFailed(model, to, call, false); });
        return;
    }
    const TimeUs sent = QueueWork(model, server, model->Now, MessageUs / 4); // Sending costs less than reading.
    self.LinkUs = wait.Asker.FullRead ? std::max(self.LinkUs, sent) + TransferUs : self.LinkUs;
    const TimeUs there = (wait.Asker.FullRead ? self.LinkUs : sent) + OneWayUs;
    const TimeUs read = wait.Asker.FullRead ? EverythingUs : MessageUs;
    const SourceStatus status = SourceStateOf(*model, self);
    ScheduleAt(model, there,
               [=]() { ScheduleAt(model, QueueWork(model, to, model->Now, read), [=]() { OnSourceAnswer(model, to, call, status); }); });
}

static void EndWaits(Model* model, size_t server, const std::function<bool(const UpdateRequest&)>& matches)
{
    std::vector<ModelWait> ending;
    for (const auto& entry : model->Fleet[server].Waits)
    {
        if (matches(entry.second.Asker))
        {
            ending.push_back(entry.second);
        }
    }
    for (const ModelWait& wait : ending)
    {
        model->Fleet[server].Waits.erase(wait.Call);
        SendAnswer(model, server, wait);
    }
}

static void AnswerFollowers(Model* model, size_t server)
{
    ModelInstance& self = model->Fleet[server];
    self.NotifiedUs = model->Now;
    self.NotifiedFreshUs = self.Following.FreshUs;
    const bool knows = self.Following.Revision != 0;
    EndWaits(model, server, [knows](const UpdateRequest& request) { return !request.AskStore && (knows || !request.FullRead); });
}

static void EndAskStoreWaits(Model* model, size_t server)
{
    EndWaits(model, server, [](const UpdateRequest& request) { return request.AskStore; });
}

static void OnStoreLost(Model* model, size_t instance, TimeUs tried)
{
    ModelInstance& self = model->Fleet[instance];
    const bool notify = !self.Lost || model->Now >= self.NotifiedUs + HeartbeatUs;
    self.Lost = true;
    self.TriedUs = std::max(self.TriedUs, tried);
    if (self.Following.Revision == 0)
    {
        EndWaits(model, instance, [](const UpdateRequest& request) { return request.FullRead && request.StoreLost && !request.AskStore; });
    }
    else if (notify)
    {
        AnswerFollowers(model, instance);
    }
    EndAskStoreWaits(model, instance);
}

static void OnSourceAnswer(Model* model, size_t instance, uint64_t call, const SourceStatus& status)
{
    ModelInstance& self = model->Fleet[instance];
    if (self.State != ModelState_Up || self.Call != call)
    {
        return;
    }
    self.Call = 0;
    const uint64_t before = self.Following.Revision;
    const TimeUs fresh_before = self.Following.FreshUs;
    const bool no_path_before = self.Following.NoPath;
    const bool from_store = self.Following.Next.Kind == SourceKind_Store;
    const FollowResult_ result = FollowAnswered(&self.Following, status, model->Now, &model->Rng);
    model->SourcesLeft += result == FollowResult_Stale || result == FollowResult_Loop ? 1 : 0;
    const bool changed = self.Following.Revision > before;
    if (changed)
    {
        AnswerFollowers(model, instance);
    }
    if (changed && before != 0 && model->OnChanged)
    {
        model->OnChanged(instance, before, fresh_before);
    }
    if (result == FollowResult_StoreLost)
    {
        OnStoreLost(model, instance, model->Now - status.TriedUs);
        if (self.Following.NoPath && !no_path_before)
        {
            AnswerFollowers(model, instance);
        }
        CheckOwnPath(model, instance);
    }
    if (result == FollowResult_Good)
    {
        const bool found = self.Lost;
        self.Lost = false;
        if (found || self.Following.FreshUs >= self.NotifiedFreshUs + HeartbeatUs)
        {
            AnswerFollowers(model, instance);
        }
        EndAskStoreWaits(model, instance);
    }
    StartCall(model, instance, changed && from_store ? StoreBatchUs : 0);
}

//-----------------------------------------------------------------------------
// Calls
//-----------------------------------------------------------------------------

// As CheckPathBeforeTimeout() in store_reader.cpp.
static void CheckPathBeforeTimeout(Model* model, size_t instance, uint64_t call, TimeUs timeout)
{
    const auto checked = [=](bool path)
    {
        ModelInstance& self = model->Fleet[instance];
        self.PathSeen = self.Call == call ? std::optional<bool>(path) : self.PathSeen;
    };
    CheckPath(model, instance, timeout - StoreConnectUs - StoreConnectUs / 5, checked);
}

static void CallStore(Model* model, size_t instance, uint64_t call, const FollowStep& step)
{
    model->StoreCalls++;
    model->CallsFor[step.Reason]++;
    const Follow& following = model->Fleet[instance].Following;
    const bool everything = following.Revision == 0;
    const uint64_t after = following.Revision;
    const TimeUs wait = step.WaitMaxUs > 0 ? std::min(step.WaitMaxUs, StoreWaitUs) : StoreWaitUs;
    ModelInstance& self = model->Fleet[instance];
    self.PathSeen = std::nullopt;
    const TimeUs timeout = wait + (StoreMarginUs << step.MarginDoublings);
    const bool kept = self.StoreAnsweredUs > 0 && model->Now < self.StoreAnsweredUs + StoreKeptUs;
    if (!kept && !HasPath(*model, instance))
    {
        const auto not_connected = [=]()
        {
            model->Fleet[instance].PathSeen = false;
            CallFailed(model, instance, call, false);
        };
        ScheduleAt(model, model->Now + StoreConnectUs, not_connected);
        return;
    }
    CheckPathBeforeTimeout(model, instance, call, timeout);
    if (model->Silent || model->SilentTo(instance))
    {
        ScheduleAt(model, model->Now + timeout, [=]() { CallFailed(model, instance, call, true); });
        return;
    }
    if (model->Refuses(instance, model->Now))
    {
        ScheduleAt(model, model->Now + StoreUs, [=]() { CallFailed(model, instance, call, false); });
        return;
    }
    const TimeUs change = ChangeTime(*model, after + 1);
    const TimeUs answer = everything ? model->Now : std::max(model->Now, std::min(model->Now + wait, change));
    const auto answered = [=, begun = model->Now]()
    {
        if (model->Silent || model->SilentTo(instance))
        {
            ScheduleAt(model, begun + timeout, [=]() { CallFailed(model, instance, call, true); });
            return;
        }
        if (model->Refuses(instance, model->Now))
        {
            CallFailed(model, instance, call, false); // Ends a long poll that is in progress.
            return;
        }
        model->Fleet[instance].StoreAnsweredUs = model->Now;
        const SourceStatus status = {StoreRevision(*model, model->Now), 0, false, 0, "", false, {}, {}};
        const TimeUs read = QueueWork(model, instance, model->Now + StoreUs, everything ? EverythingUs : MessageUs);
        ScheduleAt(model, read, [=]() { OnSourceAnswer(model, instance, call, status); });
    };
    ScheduleAt(model, answer, answered);
}

static void Serve(Model* model, size_t server, const ModelWait& wait, TimeUs max)
{
    ModelInstance& self = model->Fleet[server];
    FollowAddInstance(&self.Following, wait.Asker.Address);
    if (wait.Asker.ReadsStore)
    {
        FollowReaderSeen(&self.Following, wait.Asker.Address, model->Now);
    }
    std::vector<std::string> followers;
    for (const auto& entry : self.Waits)
    {
        followers.push_back(entry.second.Asker.Address);
    }
    const UpdateServer holder = {
        self.Following.Own, self.Following.Reads, self.Following.Revision, self.Lost, self.Following.FreshUs, std::move(followers), {}, ""};
    const UpdateDecision answer = FanoutDecide(&self.Spread, wait.Asker, holder, model->Now, &model->Rng);
    if (!wait.Asker.FullRead && max >= PeerWaitUs && answer.Action != UpdateAction_Redirect)
    {
        FollowFollowerSeen(&self.Following, wait.Asker.Address, "", model->Now);
    }
    if (answer.Action == UpdateAction_Answer)
    {
        SendAnswer(model, server, wait);
        return;
    }
    if (answer.Action == UpdateAction_Redirect)
    {
        const auto sent_on = [=]()
        {
            ModelInstance& follower = model->Fleet[wait.From];
            if (follower.State == ModelState_Up && follower.Call == wait.Call)
            {
                follower.Call = 0;
                FollowRedirected(&follower.Following, answer.Elsewhere, model->Now, &model->Rng);
                StartCall(model, wait.From);
            }
        };
        ScheduleAt(model, QueueWork(model, server, model->Now, MessageUs / 4) + OneWayUs, sent_on);
        return;
    }
    self.Waits[wait.Call] = wait;
    if (answer.Action == UpdateAction_AskStore && FollowAskStore(&self.Following))
    {
        self.Call = 0;
        StartCall(model, server);
    }
    const auto over = [=]()
    {
        ModelInstance& holder = model->Fleet[server];
        if (holder.State == ModelState_Up && holder.Waits.erase(wait.Call) > 0)
        {
            SendAnswer(model, server, wait);
        }
    };
    ScheduleAt(model, model->Now + max, over);
}

static void CallInstance(Model* model, size_t instance, uint64_t call, const FollowStep& step)
{
    const Follow& following = model->Fleet[instance].Following;
    ModelWait wait{instance,
                   call,
                   {following.Own, following.Revision == 0, following.Revision, step.AskStore, step.StoreLost, "", step.Reader,
                    step.ReadsStore, step.Starting, step.NewerThanUs}};
    model->InstanceCalls++;
    const TimeUs usual = wait.Asker.FullRead ? FullReadHoldUs : PeerWaitUs;
    const TimeUs max = step.WaitMaxUs > 0 ? std::min(step.WaitMaxUs, usual) : usual;
    const bool tries = step.WaitMaxUs > 0 && step.WaitMaxUs <= following.Config.ShortWaitUs;
    const TimeUs margin = wait.Asker.FullRead ? 700 * UsPerMs : tries ? PeerTryMarginUs : PeerMarginUs;
    const auto arrives = [=]()
    {
        const ModelState_ state = StateAt(*model, step.Address);
        if (state == ModelState_Up)
        {
            Serve(model, model->ByAddress.at(step.Address), wait, max);
            return;
        }
        const TimeUs failure_delay = state == ModelState_Crashed ? OneWayUs : ConnectUs;
        ScheduleAt(model, model->Now + failure_delay, [=]() { CallFailed(model, instance, call, false); });
    };
    ScheduleAt(model, model->Now + 2 * OneWayUs, arrives); // Opening a connection, or one way and processing.
    ScheduleAt(model, model->Now + max + margin, [=]() { CallFailed(model, instance, call, true); });
}

void StartCall(Model* model, size_t instance, TimeUs pause)
{
    ModelInstance& self = model->Fleet[instance];
    const uint64_t call = ++model->LastCall;
    self.Call = call;
    const auto ask = [=]()
    {
        const ModelInstance& follower = model->Fleet[instance];
        if (follower.State != ModelState_Up || follower.Call != call)
        {
            return;
        }
        const FollowStep step = follower.Following.Next;
        step.Kind == SourceKind_Store ? CallStore(model, instance, call, step) : CallInstance(model, instance, call, step);
    };
    ScheduleAt(model, model->Now + std::max(pause, self.Following.Next.PauseUs), ask);
}

//-----------------------------------------------------------------------------
// Starts and stops of instances
//-----------------------------------------------------------------------------

void StartAt(Model* model, size_t instance, TimeUs when)
{
    ScheduleAt(model, when,
               [=]()
               {
                   ModelInstance fresh;
                   FollowSetSources(&fresh.Following, AddressOf(instance), StoreAddress, model->SeedsOf(instance, &model->Rng),
                                    &model->Rng);
                   fresh.State = ModelState_Up;
                   fresh.DisturbedUs = model->Now;
                   model->Fleet[instance] = fresh;
                   FollowStart(&model->Fleet[instance].Following, model->Now);
                   StartCall(model, instance);
               });
}

void StopAt(Model* model, size_t instance, ModelState_ state, TimeUs when)
{
    ScheduleAt(model, when,
               [=]()
               {
                   ModelInstance& self = model->Fleet[instance];
                   const std::map<uint64_t, ModelWait> waits = std::move(self.Waits);
                   self.Waits.clear();
                   self.State = state;
                   for (const auto& entry : waits)
                   {
                       const ModelWait wait = entry.second;
                       if (state == ModelState_Crashed)
                       {
                           ScheduleAt(model, model->Now + OneWayUs, [=]() { CallFailed(model, wait.From, wait.Call, false); });
                       }
                   }
               });
}

void WakeAt(Model* model, size_t instance, TimeUs when)
{
    const auto wake = [=]()
    {
        ModelInstance& self = model->Fleet[instance];
        self.State = ModelState_Up;
        self.DisturbedUs = model->Now;
        CallFailed(model, instance, self.Call, true); // Its time passed meanwhile.
    };
    ScheduleAt(model, when, wake);
}

void StartAll(Model* model, TimeUs from, TimeUs late)
{
    for (size_t n = 0; n < model->Fleet.size(); n++)
    {
        const TimeUs spread = std::uniform_int_distribution<TimeUs>(0, 300 * UsPerMs)(model->Rng);
        StartAt(model, n, from + (n < SeedCount ? late : spread));
    }
}

void RunUntil(Model* model, TimeUs end)
{
    while (!model->Events.empty() && model->Events.top().first.first <= end)
    {
        const Model::Event event = model->Events.top();
        model->Events.pop();
        model->Now = event.first.first;
        event.second();
    }
    model->Now = end;
}

FleetAge MeasureFleet(const Model& model)
{
    FleetAge seen;
    for (const ModelInstance& instance : model.Fleet)
    {
        const bool knows = instance.Following.Revision != 0;
        seen.Without += instance.State == ModelState_Up && !knows ? 1 : 0;
        const bool counts = instance.State == ModelState_Up && knows;
        seen.OldestUs = counts ? std::max(seen.OldestUs, model.Now - instance.Following.FreshUs) : seen.OldestUs;
    }
    return seen;
}

TimeUs MaxAgeUntil(Model* model, TimeUs end)
{
    TimeUs oldest = 0;
    while (model->Now < end)
    {
        RunUntil(model, std::min(end, model->Now + 100 * UsPerMs));
        oldest = std::max(oldest, MeasureFleet(*model).OldestUs);
    }
    return oldest;
}

std::string DescribeCalls(const Model& model)
{
    std::string text = fmt::format("{} calls:", model.StoreCalls);
    for (int reason = 1; reason < StoreReason_COUNT; reason++)
    {
        text += fmt::format(" {} {}", StoreReasonName(static_cast<StoreReason_>(reason)), model.CallsFor[static_cast<size_t>(reason)]);
    }
    return text;
}

TimeUs RunUntilAllHaveData(Model* model, TimeUs end)
{
    while (model->Now < end)
    {
        RunUntil(model, model->Now + 10 * UsPerMs);
        if (MeasureFleet(*model).Without == 0)
        {
            return model->Now;
        }
    }
    return 0;
}

} // namespace Winchlink
