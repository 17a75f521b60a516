// follow_load_test.cpp: simulates a fleet of hundreds of instances that get the store's changes through a few readers, in virtual time and
// without a network.
//
// Source selection and fan-out are the library's code (Follow, Fanout); the model adds a store, links and slow processors. The fleet has
// 473 instances, three of them seeds. Guards against too many calls to the store and against stale data at any instance.

#include "check.h"

#include <fmt/format.h>
#include <functional>
#include <queue>

namespace Winchlink
{

namespace
{

constexpr size_t FleetSize = 473;
constexpr size_t SeedCount = 3;
constexpr TimeUs OneWayUs = 800;              // Between instances.
constexpr TimeUs StoreUs = 4 * UsPerMs;       // From the store's answer until it arrives.
constexpr TimeUs MessageUs = UsPerMs;         // Processor time to read a message, at a tenth of a core.
constexpr TimeUs EverythingUs = 10 * UsPerMs; // Processor time to read a full copy of the store.
constexpr TimeUs TransferUs = 20 * UsPerMs;   // Transfer of a full copy: 50 KB at 20 Mbit/s.
constexpr TimeUs StoreWaitUs = 800 * UsPerMs; // This and the next four are equal to the values in GatewayTiming.
constexpr TimeUs StoreMarginUs = 350 * UsPerMs;
constexpr TimeUs StoreBatchUs = 300 * UsPerMs;
constexpr TimeUs PeerWaitUs = 950 * UsPerMs;
constexpr TimeUs PeerMarginUs = 250 * UsPerMs;
constexpr TimeUs FullReadHoldUs = 500 * UsPerMs; // Equal to the value in relay.cpp.
constexpr TimeUs HeartbeatUs = 700 * UsPerMs;    // RelayConfig has 800 ms.
constexpr TimeUs ConnectUs = 100 * UsPerMs;      // Timeout of a connection attempt to an unresponsive instance.
constexpr const char* StoreAddress = "10.0.0.1:1";

enum ModelState_ : int
{
    ModelState_Up,
    ModelState_Crashed,      // The process has ended: connections are refused at once.
    ModelState_Unresponsive, // Power loss or a frozen process: nothing is answered.
};

struct ModelWait
{
    size_t From = 0;   // Index of the waiting instance.
    uint64_t Call = 0; // Id of its call.
    UpdateRequest Asker;
};

struct ModelInstance
{
    Follow Following;
    Fanout Spread;
    ModelState_ State = ModelState_Unresponsive;
    uint64_t Call = 0;                   // Id of the call in progress; 0 if none.
    std::map<uint64_t, ModelWait> Waits; // Held calls of followers, by call id.
    bool Lost = false;                   // The store can't be reached.
    TimeUs TriedUs = 0;
    TimeUs NotifiedUs = 0;
    TimeUs NotifiedFreshUs = 0;
    TimeUs LinkUs = 0; // The link is busy until then.
    TimeUs BusyUs = 0; // The processor is busy until then.
};

// The simulation: instances and a queue of events in order of time.
struct Model
{
    using Event = std::pair<std::pair<TimeUs, uint64_t>, std::function<void()>>;
    struct Later
    {
        bool operator()(const Event& a, const Event& b) const
        {
            return a.first > b.first;
        }
    };

    Random Rng;
    TimeUs Now = 0;
    uint64_t LastEvent = 0;
    uint64_t LastCall = 0;
    std::priority_queue<Event, std::vector<Event>, Later> Events;
    std::vector<ModelInstance> Fleet;
    // Whether the store refuses calls of the instance.
    std::function<bool(size_t instance, TimeUs now)> Refuses = [](size_t, TimeUs)
    {
        return false;
    };
    TimeUs EditUs = 500 * UsPerMs; // Interval between changes in the store.
    uint64_t SourcesLeft = 0;      // Times that a source was left because it was behind or had its data from the follower itself.
    // Whether the store leaves calls of the instance unanswered.
    std::function<bool(size_t instance)> SilentTo = [](size_t)
    {
        return false;
    };
    bool Silent = false; // The store answers no call.
    uint64_t StoreCalls = 0;
    std::array<uint64_t, StoreReason_COUNT> CallsFor = {};

    explicit Model(size_t size = FleetSize, uint64_t seed = 20261202);
};

std::string AddressOf(size_t instance)
{
    return fmt::format("10.1.{}.{}:9", instance / 250, instance % 250);
}

size_t InstanceAt(const Model& model, const std::string& address)
{
    for (size_t n = 0; n < model.Fleet.size(); n++)
    {
        if (model.Fleet[n].Following.Own == address)
        {
            return n;
        }
    }
    CPPUNIT_FAIL("no instance has the address " + address);
    return 0;
}

void ScheduleAt(Model* model, TimeUs when, const std::function<void()>& what)
{
    model->Events.push({{std::max(when, model->Now), ++model->LastEvent}, what});
}

uint64_t StoreRevision(const Model& model, TimeUs now)
{
    return 1000 + static_cast<uint64_t>(now / model.EditUs);
}

void StartCall(Model* model, size_t instance, TimeUs pause = 0);
void OnStoreLost(Model* model, size_t instance, TimeUs tried);

Model::Model(size_t size, uint64_t seed) : Rng(seed)
{
    std::vector<std::string> seeds;
    for (size_t n = 0; n < SeedCount; n++)
    {
        seeds.push_back(AddressOf(n));
    }
    Fleet.resize(size);
    for (size_t n = 0; n < size; n++)
    {
        FollowSetSources(&Fleet[n].Following, AddressOf(n), StoreAddress, seeds, &Rng);
    }
}

// Queues work at an instance's processor behind the work queued before; returns when it is done.
TimeUs QueueWork(Model* model, size_t instance, TimeUs from, TimeUs work)
{
    TimeUs& busy = model->Fleet[instance].BusyUs;
    busy = std::max(busy, from) + work;
    return busy;
}

//-----------------------------------------------------------------------------
// Answers
//-----------------------------------------------------------------------------

void CallFailed(Model* model, size_t instance, uint64_t call, bool late)
{
    ModelInstance& self = model->Fleet[instance];
    if (self.State != ModelState_Up || self.Call != call)
    {
        return;
    }
    self.Call = 0;
    const bool store = self.Following.Next.Kind == SourceKind_Store;
    FollowFailed(&self.Following, late, model->Now, &model->Rng);
    if (store)
    {
        OnStoreLost(model, instance, model->Now);
    }
    StartCall(model, instance);
}

SourceStatus SourceStateOf(const Model& model, const ModelInstance& self)
{
    const Follow& following = self.Following;
    return {following.Revision, model.Now - following.FreshUs, self.Lost, self.Lost ? model.Now - self.TriedUs : 0, following.Origin, {}};
}

void OnSourceAnswer(Model* model, size_t instance, uint64_t call, const SourceStatus& status);

void SendAnswer(Model* model, size_t server, const ModelWait& wait)
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

void EndWaits(Model* model, size_t server, const std::function<bool(const UpdateRequest&)>& matches)
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

void AnswerFollowers(Model* model, size_t server)
{
    ModelInstance& self = model->Fleet[server];
    self.NotifiedUs = model->Now;
    self.NotifiedFreshUs = self.Following.FreshUs;
    const bool knows = self.Following.Revision != 0;
    EndWaits(model, server, [knows](const UpdateRequest& request) { return !request.AskStore && (knows || !request.FullRead); });
}

void EndAskStoreWaits(Model* model, size_t server)
{
    EndWaits(model, server, [](const UpdateRequest& request) { return request.AskStore; });
}

void OnStoreLost(Model* model, size_t instance, TimeUs tried)
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

void OnSourceAnswer(Model* model, size_t instance, uint64_t call, const SourceStatus& status)
{
    ModelInstance& self = model->Fleet[instance];
    if (self.State != ModelState_Up || self.Call != call)
    {
        return;
    }
    self.Call = 0;
    const uint64_t before = self.Following.Revision;
    const bool from_store = self.Following.Next.Kind == SourceKind_Store;
    const FollowResult_ result = FollowAnswered(&self.Following, status, model->Now, &model->Rng);
    model->SourcesLeft += result == FollowResult_Stale || result == FollowResult_Loop ? 1 : 0;
    const bool changed = self.Following.Revision > before;
    if (changed)
    {
        AnswerFollowers(model, instance);
    }
    if (result == FollowResult_StoreLost)
    {
        OnStoreLost(model, instance, model->Now - status.TriedUs);
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

void CallStore(Model* model, size_t instance, uint64_t call, const FollowStep& step)
{
    model->StoreCalls++;
    model->CallsFor[step.Reason]++;
    const Follow& following = model->Fleet[instance].Following;
    const bool everything = following.Revision == 0;
    const uint64_t after = following.Revision;
    const TimeUs wait = step.WaitMaxUs > 0 ? std::min(step.WaitMaxUs, StoreWaitUs) : StoreWaitUs;
    if (model->Silent || model->SilentTo(instance))
    {
        ScheduleAt(model, model->Now + wait + (StoreMarginUs << step.MarginDoublings), [=]() { CallFailed(model, instance, call, true); });
        return;
    }
    if (model->Refuses(instance, model->Now))
    {
        ScheduleAt(model, model->Now + StoreUs, [=]() { CallFailed(model, instance, call, false); });
        return;
    }
    const TimeUs change = (static_cast<TimeUs>(after) - 1000 + 1) * model->EditUs;
    const TimeUs answer = everything ? model->Now : std::max(model->Now, std::min(model->Now + wait, change));
    const auto answered = [=]()
    {
        if (model->Silent || model->SilentTo(instance))
        {
            ScheduleAt(model, model->Now + StoreMarginUs, [=]() { CallFailed(model, instance, call, true); });
            return;
        }
        if (model->Refuses(instance, model->Now))
        {
            CallFailed(model, instance, call, false); // Ends a long poll that is in progress.
            return;
        }
        const SourceStatus status = {StoreRevision(*model, model->Now), 0, false, 0, "", {}};
        const TimeUs read = QueueWork(model, instance, model->Now + StoreUs, everything ? EverythingUs : MessageUs);
        ScheduleAt(model, read, [=]() { OnSourceAnswer(model, instance, call, status); });
    };
    ScheduleAt(model, answer, answered);
}

void Serve(Model* model, size_t server, const ModelWait& wait, TimeUs max)
{
    ModelInstance& self = model->Fleet[server];
    FollowAddInstance(&self.Following, wait.Asker.Address);
    std::vector<std::string> followers;
    for (const auto& entry : self.Waits)
    {
        followers.push_back(entry.second.Asker.Address);
    }
    const UpdateServer holder = {self.Following.Revision, self.Lost, std::move(followers), {}, ""};
    const UpdateDecision answer = FanoutDecide(&self.Spread, wait.Asker, holder, model->Now, &model->Rng);
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
                FollowRedirected(&follower.Following, answer.Elsewhere, &model->Rng);
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

void CallInstance(Model* model, size_t instance, uint64_t call, const FollowStep& step)
{
    const Follow& following = model->Fleet[instance].Following;
    ModelWait wait{instance, call, {following.Own, following.Revision == 0, following.Revision, step.AskStore, step.StoreLost, "", false}};
    const TimeUs usual = wait.Asker.FullRead ? FullReadHoldUs : PeerWaitUs;
    const TimeUs max = step.WaitMaxUs > 0 ? std::min(step.WaitMaxUs, usual) : usual;
    const TimeUs margin = wait.Asker.FullRead ? 700 * UsPerMs : PeerMarginUs;
    const size_t server = InstanceAt(*model, step.Address);
    const auto arrives = [=]()
    {
        const ModelState_ state = model->Fleet[server].State;
        if (state == ModelState_Up)
        {
            Serve(model, server, wait, max);
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
                   const Follow& old = model->Fleet[instance].Following;
                   FollowSetSources(&fresh.Following, old.Own, old.StoreAddress, old.Seeds, &model->Rng);
                   fresh.State = ModelState_Up;
                   model->Fleet[instance] = fresh;
                   FollowStart(&model->Fleet[instance].Following, model->Now);
                   StartCall(model, instance);
               });
}

// Stops an instance. If its process ends, held calls fail at once; an unresponsive instance leaves them to time out.
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

// Starts the seeds at `from + late` and the others within 0.3 s after `from`.
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

struct FleetAge
{
    size_t Without = 0;  // Instances that are up and have no data yet.
    TimeUs OldestUs = 0; // Largest age of the data at the others.
};

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

// Runs until `end`; returns the largest age of data at any instance, sampled every 100 ms.
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

// Runs until all instances that are up have data and returns that time; 0 if they don't by `end`.
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

} // namespace

class FollowLoadTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(FollowLoadTest);
    CPPUNIT_TEST(OnlySeedsReadTheStoreWhenAllStartAtOnce);
    CPPUNIT_TEST(InstancesWithWaitingCallersReadTheStoreOnce);
    CPPUNIT_TEST(FewCallsToAStoreThatRefusesAll);
    CPPUNIT_TEST(FewCallsToAStoreThatDoesNotAnswer);
    CPPUNIT_TEST(FollowersReadForSeedsThatTheStoreRefuses);
    CPPUNIT_TEST(DataStaysFreshWhenTheStoreIgnoresSome);
    CPPUNIT_TEST(StartCompletesWhenTheStoreRefusesAllSeeds);
    CPPUNIT_TEST(DataStaysFreshWhenSeedsFailInTurn);
    CPPUNIT_TEST(FewReadTheStoreWhenAllSeedsFail);
    CPPUNIT_TEST(DataStaysFreshWhenEditsAreRare);
    CPPUNIT_TEST(StoreCallsDoNotGrowWithTheFleet);
    CPPUNIT_TEST_SUITE_END();

    // Starts the fleet, waits until all instances have data, and resets the call counters.
    static void Settle(Model* model)
    {
        StartAll(model, 0, 0);
        RunUntil(model, 8 * UsPerSecond);
        CPPUNIT_ASSERT_EQUAL(size_t{0}, MeasureFleet(*model).Without);
        model->StoreCalls = 0;
        model->CallsFor = {};
    }

    static void CheckCalls(const Model& model, uint64_t max)
    {
        CPPUNIT_ASSERT_MESSAGE(DescribeCalls(model), model.StoreCalls <= max);
    }

    static void CheckAge(TimeUs oldest, TimeUs max)
    {
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms old", oldest / UsPerMs), oldest <= max);
    }

    // All instances start at once, as after a power loss, and the seeds last, 0.3 s after the first. Only the seeds may read the store; the
    // others get their copy through the fan-out.
    void OnlySeedsReadTheStoreWhenAllStartAtOnce()
    {
        Model model;
        StartAll(&model, 0, 300 * UsPerMs);
        RunUntil(&model, 300 * UsPerMs);
        const TimeUs all = RunUntilAllHaveData(&model, 5 * UsPerSecond);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms", all / UsPerMs), all > 0 && all <= 800 * UsPerMs);
        CPPUNIT_ASSERT_EQUAL(uint64_t{SeedCount}, model.CallsFor[StoreReason_Start]);
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, model.CallsFor[StoreReason_Fallback]);
        CheckCalls(model, 15);
    }

    // Callers wait while the seeds are not up yet. Each of the 17 instances with enough waiting callers reads the store once; the other
    // instances wait for the seeds.
    void InstancesWithWaitingCallersReadTheStoreOnce()
    {
        constexpr size_t needed = 17;
        Model model(60);
        StartAll(&model, 0, 600 * UsPerMs);
        for (size_t n = SeedCount; n < SeedCount + needed; n++)
        {
            const auto callers_wait = [&model, n]()
            {
                if (FollowCallersWaiting(&model.Fleet[n].Following))
                {
                    model.Fleet[n].Call = 0;
                    StartCall(&model, n);
                }
            };
            ScheduleAt(&model, 301 * UsPerMs, callers_wait); // All but the seeds have started; some have already had a call to a seed fail.
        }
        RunUntil(&model, 450 * UsPerMs);
        for (size_t n = SeedCount; n < model.Fleet.size(); n++)
        {
            const bool knows = model.Fleet[n].Following.Revision != 0;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("instance {}", n), n < SeedCount + needed, knows);
        }
        RunUntil(&model, 1200 * UsPerMs);
        CPPUNIT_ASSERT_EQUAL(size_t{0}, MeasureFleet(model).Without);
        CPPUNIT_ASSERT_EQUAL(uint64_t{needed}, model.CallsFor[StoreReason_Fallback]);
        CheckCalls(model, needed + 10);
    }

    // The store refuses every call for 8 s. Each seed and one follower on its behalf try it about once a second, whatever the size of the
    // fleet. All have current data within 1.5 s of its return.
    void FewCallsToAStoreThatRefusesAll()
    {
        Model model;
        Settle(&model);
        const TimeUs from = model.Now;
        const TimeUs to = from + 8 * UsPerSecond;
        model.Refuses = [=](size_t, TimeUs now)
        {
            return now >= from && now < to;
        };
        RunUntil(&model, to);
        CheckCalls(model, 90);
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, model.CallsFor[StoreReason_Fallback]);
        RunUntil(&model, to + 1500 * UsPerMs);
        CheckAge(MeasureFleet(model).OldestUs, UsPerSecond);
    }

    // The store accepts calls and answers none for 8 s: as above, with fewer calls because each runs into its timeout.
    void FewCallsToAStoreThatDoesNotAnswer()
    {
        Model model;
        Settle(&model);
        model.Silent = true;
        RunUntil(&model, model.Now + 8 * UsPerSecond);
        CheckCalls(model, 40);
        model.Silent = false;
        RunUntil(&model, model.Now + 3 * UsPerSecond);
        CheckAge(MeasureFleet(model).OldestUs, UsPerSecond);
    }

    // The store refuses all seeds and a third of the others for 9 s: followers read it for the seeds. No instance's data may get older
    // than 2 s.
    void FollowersReadForSeedsThatTheStoreRefuses()
    {
        Model model;
        Settle(&model);
        model.Refuses = [](size_t instance, TimeUs)
        {
            return instance < SeedCount || instance % 3 == 0;
        };
        const TimeUs oldest = MaxAgeUntil(&model, model.Now + 9 * UsPerSecond);
        CheckAge(oldest, 2 * UsPerSecond);
        CheckCalls(model, 130);
    }

    // The store stops answering the seed that reads it and a third of the others. No instance's data may get older than 2 s, the bound for
    // noticing a target that is draining.
    void DataStaysFreshWhenTheStoreIgnoresSome()
    {
        TimeUs oldest = 0;
        for (uint64_t seed = 1; seed <= 60; seed++)
        {
            Model model(13, seed);
            Settle(&model);
            model.SilentTo = [](size_t instance)
            {
                return instance == 0 || instance % 3 == 1;
            };
            oldest = std::max(oldest, MaxAgeUntil(&model, model.Now + 4 * UsPerSecond));
        }
        CheckAge(oldest, 2 * UsPerSecond);
    }

    // The store refuses all seeds and a third of the others during a start: instances that wait at a seed for data read the store for it.
    void StartCompletesWhenTheStoreRefusesAllSeeds()
    {
        Model model;
        model.Refuses = [](size_t instance, TimeUs)
        {
            return instance < SeedCount || instance % 3 == 0;
        };
        StartAll(&model, 0, 0);
        RunUntil(&model, 300 * UsPerMs);
        const TimeUs all = RunUntilAllHaveData(&model, 8 * UsPerSecond);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms", all / UsPerMs), all > 0 && all <= UsPerSecond);
        CheckCalls(model, 30);
    }

    // The seeds fail one after the other, by a crash or by freezing, and each is back 2 s later.
    void DataStaysFreshWhenSeedsFailInTurn()
    {
        for (const ModelState_ state : {ModelState_Crashed, ModelState_Unresponsive})
        {
            Model model;
            Settle(&model);
            for (size_t n = 0; n < SeedCount; n++)
            {
                const TimeUs when = model.Now + static_cast<TimeUs>(n) * 3 * UsPerSecond;
                StopAt(&model, n, state, when);
                StartAt(&model, n, when + 2 * UsPerSecond);
            }
            CheckAge(MaxAgeUntil(&model, model.Now + 10 * UsPerSecond), 2 * UsPerSecond);
            CheckCalls(model, 60);
            CPPUNIT_ASSERT_EQUAL(uint64_t{0}, model.CallsFor[StoreReason_Fallback]);
        }
    }

    // All seeds fail at once, for 3 s: only a few of the other instances may read the store, and the rest follow these.
    void FewReadTheStoreWhenAllSeedsFail()
    {
        for (const ModelState_ state : {ModelState_Crashed, ModelState_Unresponsive})
        {
            Model model;
            Settle(&model);
            for (size_t n = 0; n < SeedCount; n++)
            {
                StopAt(&model, n, state, model.Now);
                StartAt(&model, n, model.Now + 3 * UsPerSecond);
            }
            CheckAge(MaxAgeUntil(&model, model.Now + 9 * UsPerSecond), 4 * UsPerSecond);
            CheckCalls(model, 300);
            CPPUNIT_ASSERT(model.CallsFor[StoreReason_Fallback] > 0);
            CPPUNIT_ASSERT(model.CallsFor[StoreReason_Fallback] < FleetSize / 8);
        }
    }

    // Edits are rarer than the timeout of a long poll. Every instance must still learn in time that its data is current, also if it polls
    // again just after its source was confirmed, and no source is left for being behind.
    void DataStaysFreshWhenEditsAreRare()
    {
        Model model;
        model.EditUs = 3700 * UsPerMs;
        Settle(&model);
        model.SourcesLeft = 0;
        const TimeUs oldest = MaxAgeUntil(&model, model.Now + 120 * UsPerSecond);
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, model.SourcesLeft);
        CheckAge(oldest, 1500 * UsPerMs);
    }

    // In normal operation the store gets the calls of one reader, whatever the size of the fleet.
    void StoreCallsDoNotGrowWithTheFleet()
    {
        uint64_t calls = 0;
        for (const size_t size : {size_t{30}, size_t{100}, size_t{473}, size_t{1500}})
        {
            Model model(size);
            Settle(&model);
            RunUntil(&model, model.Now + 10 * UsPerSecond);
            calls = calls == 0 ? model.StoreCalls : calls;
            CPPUNIT_ASSERT_EQUAL(calls, model.StoreCalls);
        }
        CPPUNIT_ASSERT(calls > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowLoadTest);

} // namespace Winchlink
