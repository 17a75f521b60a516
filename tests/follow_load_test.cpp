// follow_load_test.cpp: a fleet of hundreds that learns from the store through few, played in virtual time without a network.
//
// The decisions are the library's own (Follow, Fanout); the model adds what lies between them: a store, links and slow processors. It is
// the load of a fleet of 473 instances with three first contacts, the users' largest, and its figures are theirs: 4 ms an answer of the
// store, 0.8 ms one way between instances, links of 20 Mbit/s, a tenth of a core. Measured on real processes: 700 targets and their routes
// are 50 KB when packed; a message takes a tenth of a core 1 ms, and everything 10 ms until it can be handed on.
//
// Each test names the pattern that it plays and asserts who asks the store, how often, and how old knowledge gets.

#include "check.h"

#include <fmt/format.h>
#include <functional>
#include <queue>

namespace Winchlink
{

namespace
{

constexpr size_t FleetSize = 473;
constexpr size_t ContactCount = 3;
constexpr TimeUs OneWayUs = 800;                // Between instances.
constexpr TimeUs StoreUs = 4 * UsPerMs;         // An answer of the store.
constexpr TimeUs MessageUs = UsPerMs;           // A message at a tenth of a core.
constexpr TimeUs EverythingUs = 10 * UsPerMs;   // Everything, until it can be handed on.
constexpr TimeUs TransferUs = 20 * UsPerMs;     // 50 KB at 20 Mbit/s.
constexpr TimeUs StoreWaitUs = 800 * UsPerMs;   // As GatewayTiming has it, as are the next six.
constexpr TimeUs StoreMarginUs = 350 * UsPerMs; //
constexpr TimeUs StoreGatherUs = 300 * UsPerMs; //
constexpr TimeUs PeerWaitUs = 950 * UsPerMs;    //
constexpr TimeUs PeerMarginUs = 250 * UsPerMs;  //
constexpr TimeUs HoldUs = 500 * UsPerMs;        //
constexpr TimeUs BeatUs = 700 * UsPerMs;        //
constexpr TimeUs ConnectUs = 100 * UsPerMs;     // To a machine that says nothing.
constexpr const char* StoreAddress = "10.0.0.1:1";

enum Life_ : int
{
    Life_Up,
    Life_Gone,   // Its process is gone: connections are refused at once.
    Life_Silent, // It has no power, or stands still: nothing is answered.
};

struct ModelWait
{
    size_t From = 0;   // Which instance.
    uint64_t Call = 0; // Its call.
    NewsAsker Asker;
};

struct ModelInstance
{
    Follow Following;
    Fanout Spread;
    Life_ Life = Life_Silent;
    uint64_t Call = 0;                   // In progress; 0: none.
    std::map<uint64_t, ModelWait> Waits; // By their calls.
    bool Lost = false;                   // The store.
    TimeUs TriedUs = 0;
    TimeUs ToldUs = 0;
    TimeUs ToldFreshUs = 0;
    TimeUs LinkUs = 0; // Its link is busy until then.
    TimeUs BusyUs = 0; // As is its processor.
};

// Everything that happens, in order.
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
    std::function<bool(size_t instance, TimeUs now)> Refuses = [](size_t, TimeUs)
    {
        return false;
    };                             // The store turns it away.
    TimeUs EditUs = 500 * UsPerMs; // The store changes so often: targets come and go, besides edits.
    uint64_t Left = 0;             // Sources that were found behind, or ours.
    std::function<bool(size_t instance)> Mute = [](size_t)
    {
        return false;
    };                   // The store says nothing to it.
    bool Silent = false; // The store says nothing.
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
    CPPUNIT_FAIL("nobody has the address " + address);
    return 0;
}

void At(Model* model, TimeUs when, const std::function<void()>& what)
{
    model->Events.push({{std::max(when, model->Now), ++model->LastEvent}, what});
}

uint64_t StoreRevision(const Model& model, TimeUs now)
{
    return 1000 + static_cast<uint64_t>(now / model.EditUs);
}

void Step(Model* model, size_t instance, TimeUs pause = 0);
void OnLost(Model* model, size_t instance, TimeUs tried);

Model::Model(size_t size, uint64_t seed) : Rng(seed)
{
    std::vector<std::string> contacts;
    for (size_t n = 0; n < ContactCount; n++)
    {
        contacts.push_back(AddressOf(n));
    }
    Fleet.resize(size);
    for (size_t n = 0; n < size; n++)
    {
        FollowSetSources(&Fleet[n].Following, AddressOf(n), StoreAddress, contacts, &Rng);
    }
}

// Work of an instance's processor, after all that it has to do already.
TimeUs Work(Model* model, size_t instance, TimeUs from, TimeUs work)
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
    if (self.Life != Life_Up || self.Call != call)
    {
        return;
    }
    self.Call = 0;
    const bool store = self.Following.Next.Kind == SourceKind_Store;
    FollowFailed(&self.Following, late, model->Now, &model->Rng);
    if (store)
    {
        OnLost(model, instance, model->Now);
    }
    Step(model, instance);
}

SourceNews NewsOf(const Model& model, const ModelInstance& self)
{
    const Follow& following = self.Following;
    return {following.Revision, model.Now - following.FreshUs, self.Lost, self.Lost ? model.Now - self.TriedUs : 0, following.Origin};
}

void OnNews(Model* model, size_t instance, uint64_t call, const SourceNews& news);

void SendAnswer(Model* model, size_t server, const ModelWait& wait)
{
    ModelInstance& self = model->Fleet[server];
    const size_t to = wait.From;
    const uint64_t call = wait.Call;
    if (self.Following.Revision == 0)
    {
        At(model, model->Now + OneWayUs, [=]() { CallFailed(model, to, call, false); });
        return;
    }
    const TimeUs sent = Work(model, server, model->Now, MessageUs / 4); // Most of a message's work is at the one that reads it.
    self.LinkUs = wait.Asker.FullRead ? std::max(self.LinkUs, sent) + TransferUs : self.LinkUs;
    const TimeUs there = (wait.Asker.FullRead ? self.LinkUs : sent) + OneWayUs;
    const TimeUs read = wait.Asker.FullRead ? EverythingUs : MessageUs;
    const SourceNews news = NewsOf(*model, self);
    At(model, there, [=]() { At(model, Work(model, to, model->Now, read), [=]() { OnNews(model, to, call, news); }); });
}

void EndWaits(Model* model, size_t server, const std::function<bool(const NewsAsker&)>& ends)
{
    std::vector<ModelWait> ending;
    for (const auto& entry : model->Fleet[server].Waits)
    {
        if (ends(entry.second.Asker))
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

void Tell(Model* model, size_t server)
{
    ModelInstance& self = model->Fleet[server];
    self.ToldUs = model->Now;
    self.ToldFreshUs = self.Following.FreshUs;
    const bool knows = self.Following.Revision != 0;
    EndWaits(model, server, [knows](const NewsAsker& asker) { return !asker.AskStore && (knows || !asker.FullRead); });
}

void AnswerLeads(Model* model, size_t server)
{
    EndWaits(model, server, [](const NewsAsker& asker) { return asker.AskStore; });
}

void OnLost(Model* model, size_t instance, TimeUs tried)
{
    ModelInstance& self = model->Fleet[instance];
    const bool tell = !self.Lost || model->Now >= self.ToldUs + BeatUs;
    self.Lost = true;
    self.TriedUs = std::max(self.TriedUs, tried);
    if (self.Following.Revision == 0)
    {
        EndWaits(model, instance, [](const NewsAsker& asker) { return asker.FullRead && asker.StoreLost && !asker.AskStore; });
    }
    else if (tell)
    {
        Tell(model, instance);
    }
    AnswerLeads(model, instance);
}

void OnNews(Model* model, size_t instance, uint64_t call, const SourceNews& news)
{
    ModelInstance& self = model->Fleet[instance];
    if (self.Life != Life_Up || self.Call != call)
    {
        return;
    }
    self.Call = 0;
    const uint64_t before = self.Following.Revision;
    const bool from_store = self.Following.Next.Kind == SourceKind_Store;
    const FollowVerdict_ verdict = FollowHeard(&self.Following, news, model->Now, &model->Rng);
    model->Left += verdict == FollowVerdict_Behind || verdict == FollowVerdict_Ours ? 1 : 0;
    const bool changed = self.Following.Revision > before;
    if (changed)
    {
        Tell(model, instance);
    }
    if (verdict == FollowVerdict_Lost)
    {
        OnLost(model, instance, model->Now - news.TriedUs);
    }
    if (verdict == FollowVerdict_Good)
    {
        const bool found = self.Lost;
        self.Lost = false;
        if (found || self.Following.FreshUs >= self.ToldFreshUs + BeatUs)
        {
            Tell(model, instance);
        }
        AnswerLeads(model, instance);
    }
    Step(model, instance, changed && from_store ? StoreGatherUs : 0);
}

//-----------------------------------------------------------------------------
// Calls
//-----------------------------------------------------------------------------

void AskStore(Model* model, size_t instance, uint64_t call, const FollowStep& step)
{
    model->StoreCalls++;
    model->CallsFor[step.Reason]++;
    const Follow& following = model->Fleet[instance].Following;
    const bool everything = following.Revision == 0;
    const uint64_t after = following.Revision;
    const TimeUs wait = step.WaitMaxUs > 0 ? std::min(step.WaitMaxUs, StoreWaitUs) : StoreWaitUs;
    if (model->Silent || model->Mute(instance))
    {
        At(model, model->Now + wait + (StoreMarginUs << step.MarginDoublings), [=]() { CallFailed(model, instance, call, true); });
        return;
    }
    if (model->Refuses(instance, model->Now))
    {
        At(model, model->Now + StoreUs, [=]() { CallFailed(model, instance, call, false); });
        return;
    }
    const TimeUs change = (static_cast<TimeUs>(after) - 1000 + 1) * model->EditUs;
    const TimeUs answer = everything ? model->Now : std::max(model->Now, std::min(model->Now + wait, change));
    const auto answered = [=]()
    {
        if (model->Silent || model->Mute(instance))
        {
            At(model, model->Now + StoreMarginUs, [=]() { CallFailed(model, instance, call, true); });
            return;
        }
        if (model->Refuses(instance, model->Now))
        {
            CallFailed(model, instance, call, false); // A wait is cut.
            return;
        }
        const SourceNews news = {StoreRevision(*model, model->Now), 0, false, 0, ""};
        const TimeUs read = Work(model, instance, model->Now + StoreUs, everything ? EverythingUs : MessageUs);
        At(model, read, [=]() { OnNews(model, instance, call, news); });
    };
    At(model, answer, answered);
}

void Serve(Model* model, size_t server, const ModelWait& wait, TimeUs most)
{
    ModelInstance& self = model->Fleet[server];
    FollowMet(&self.Following, wait.Asker.Address);
    std::vector<std::string> followers;
    for (const auto& entry : self.Waits)
    {
        followers.push_back(entry.second.Asker.Address);
    }
    const NewsHolder holder = {self.Following.Revision, self.Lost, std::move(followers), {}, ""};
    const NewsAnswer answer = FanoutAsked(&self.Spread, wait.Asker, holder, model->Now, &model->Rng);
    if (answer.Action == NewsVerdict_Answer)
    {
        SendAnswer(model, server, wait);
        return;
    }
    if (answer.Action == NewsVerdict_SendOn)
    {
        const auto sent_on = [=]()
        {
            ModelInstance& asker = model->Fleet[wait.From];
            if (asker.Life == Life_Up && asker.Call == wait.Call)
            {
                asker.Call = 0;
                FollowSentOn(&asker.Following, answer.Elsewhere, &model->Rng);
                Step(model, wait.From);
            }
        };
        At(model, Work(model, server, model->Now, MessageUs / 4) + OneWayUs, sent_on);
        return;
    }
    self.Waits[wait.Call] = wait;
    if (answer.Action == NewsVerdict_Lead && FollowAsked(&self.Following))
    {
        self.Call = 0;
        Step(model, server);
    }
    const auto over = [=]()
    {
        ModelInstance& holder = model->Fleet[server];
        if (holder.Life == Life_Up && holder.Waits.erase(wait.Call) > 0)
        {
            SendAnswer(model, server, wait);
        }
    };
    At(model, model->Now + most, over);
}

void AskInstance(Model* model, size_t instance, uint64_t call, const FollowStep& step)
{
    const Follow& following = model->Fleet[instance].Following;
    ModelWait wait{instance, call, {following.Own, following.Revision == 0, following.Revision, step.AskStore, step.StoreLost, "", false}};
    const TimeUs usual = wait.Asker.FullRead ? HoldUs : PeerWaitUs;
    const TimeUs most = step.WaitMaxUs > 0 ? std::min(step.WaitMaxUs, usual) : usual;
    const TimeUs margin = wait.Asker.FullRead ? 700 * UsPerMs : PeerMarginUs;
    const size_t server = InstanceAt(*model, step.Address);
    const auto arrives = [=]()
    {
        const Life_ life = model->Fleet[server].Life;
        if (life == Life_Up)
        {
            Serve(model, server, wait, most);
            return;
        }
        const TimeUs told = life == Life_Gone ? OneWayUs : ConnectUs;
        At(model, model->Now + told, [=]() { CallFailed(model, instance, call, false); });
    };
    At(model, model->Now + 2 * OneWayUs, arrives); // A connection, or the way there and some work.
    At(model, model->Now + most + margin, [=]() { CallFailed(model, instance, call, true); });
}

void Step(Model* model, size_t instance, TimeUs pause)
{
    ModelInstance& self = model->Fleet[instance];
    const uint64_t call = ++model->LastCall;
    self.Call = call;
    const auto ask = [=]()
    {
        const ModelInstance& asker = model->Fleet[instance];
        if (asker.Life != Life_Up || asker.Call != call)
        {
            return;
        }
        const FollowStep step = asker.Following.Next;
        step.Kind == SourceKind_Store ? AskStore(model, instance, call, step) : AskInstance(model, instance, call, step);
    };
    At(model, model->Now + std::max(pause, self.Following.Next.PauseUs), ask);
}

//-----------------------------------------------------------------------------
// What happens to instances
//-----------------------------------------------------------------------------

void StartAt(Model* model, size_t instance, TimeUs when)
{
    At(model, when,
       [=]()
       {
           ModelInstance fresh;
           const Follow& old = model->Fleet[instance].Following;
           FollowSetSources(&fresh.Following, old.Own, old.StoreAddress, old.Seeds, &model->Rng);
           fresh.Life = Life_Up;
           model->Fleet[instance] = fresh;
           FollowStart(&model->Fleet[instance].Following, model->Now);
           Step(model, instance);
       });
}

// Its process ends: those that wait there see their connections end; a machine without power says nothing.
void EndAt(Model* model, size_t instance, Life_ life, TimeUs when)
{
    At(model, when,
       [=]()
       {
           ModelInstance& self = model->Fleet[instance];
           const std::map<uint64_t, ModelWait> waits = std::move(self.Waits);
           self.Waits.clear();
           self.Life = life;
           for (const auto& entry : waits)
           {
               const ModelWait wait = entry.second;
               if (life == Life_Gone)
               {
                   At(model, model->Now + OneWayUs, [=]() { CallFailed(model, wait.From, wait.Call, false); });
               }
           }
       });
}

// All start within 0.3 s of each other; the first contacts `late` after that.
void StartAll(Model* model, TimeUs from, TimeUs late)
{
    for (size_t n = 0; n < model->Fleet.size(); n++)
    {
        const TimeUs spread = std::uniform_int_distribution<TimeUs>(0, 300 * UsPerMs)(model->Rng);
        StartAt(model, n, from + (n < ContactCount ? late : spread));
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

struct Knowledge
{
    size_t Without = 0;  // Instances that are up and know nothing.
    TimeUs OldestUs = 0; // Age of the oldest knowledge of the others.
};

Knowledge Look(const Model& model)
{
    Knowledge seen;
    for (const ModelInstance& instance : model.Fleet)
    {
        const bool knows = instance.Following.Revision != 0;
        seen.Without += instance.Life == Life_Up && !knows ? 1 : 0;
        const bool counts = instance.Life == Life_Up && knows;
        seen.OldestUs = counts ? std::max(seen.OldestUs, model.Now - instance.Following.FreshUs) : seen.OldestUs;
    }
    return seen;
}

// The oldest knowledge at any instance over a time, looked at ten times a second.
TimeUs OldestUntil(Model* model, TimeUs end)
{
    TimeUs oldest = 0;
    while (model->Now < end)
    {
        RunUntil(model, std::min(end, model->Now + 100 * UsPerMs));
        oldest = std::max(oldest, Look(*model).OldestUs);
    }
    return oldest;
}

std::string Calls(const Model& model)
{
    std::string text = fmt::format("{} calls:", model.StoreCalls);
    for (int reason = 1; reason < StoreReason_COUNT; reason++)
    {
        text += fmt::format(" {} {}", StoreReasonName(static_cast<StoreReason_>(reason)), model.CallsFor[static_cast<size_t>(reason)]);
    }
    return text;
}

// When all that are up know something; 0: not before `end`.
TimeUs AllKnowAt(Model* model, TimeUs end)
{
    while (model->Now < end)
    {
        RunUntil(model, model->Now + 10 * UsPerMs);
        if (Look(*model).Without == 0)
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
    CPPUNIT_TEST(AFleetThatStartsAtOnce);
    CPPUNIT_TEST(CallersThatWaitForAStart);
    CPPUNIT_TEST(AStoreThatRefusesAll);
    CPPUNIT_TEST(AStoreThatIsSilent);
    CPPUNIT_TEST(AStoreThatTurnsAwayAllFirstContacts);
    CPPUNIT_TEST(AStoreThatIsSilentToSome);
    CPPUNIT_TEST(AStartThatTheStoreTurnsAway);
    CPPUNIT_TEST(FirstContactsLostInTurn);
    CPPUNIT_TEST(AllFirstContactsLost);
    CPPUNIT_TEST(RareEditsLeaveNobodyBehind);
    CPPUNIT_TEST(CallsDoNotGrowWithTheFleet);
    CPPUNIT_TEST_SUITE_END();

    // A fleet that runs: all know, and follow.
    static void Settle(Model* model)
    {
        StartAll(model, 0, 0);
        RunUntil(model, 8 * UsPerSecond);
        CPPUNIT_ASSERT_EQUAL(size_t{0}, Look(*model).Without);
        model->StoreCalls = 0;
        model->CallsFor = {};
    }

    static void CheckCalls(const Model& model, uint64_t most)
    {
        CPPUNIT_ASSERT_MESSAGE(Calls(model), model.StoreCalls <= most);
    }

    static void CheckAge(TimeUs oldest, TimeUs most)
    {
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms old", oldest / UsPerMs), oldest <= most);
    }

    // All instances start at the same moment, as after a loss of power, and the first contacts last of all: 0.3 s later on the users'
    // machines. Only these read the store. Everything then passes three levels of eight, each 20 ms for one transfer and 10 to read it.
    void AFleetThatStartsAtOnce()
    {
        Model model;
        StartAll(&model, 0, 300 * UsPerMs);
        RunUntil(&model, 300 * UsPerMs);
        const TimeUs all = AllKnowAt(&model, 5 * UsPerSecond);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms", all / UsPerMs), all > 0 && all <= 800 * UsPerMs);
        CPPUNIT_ASSERT_EQUAL(uint64_t{ContactCount}, model.CallsFor[StoreReason_Start]);
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, model.CallsFor[StoreReason_Alone]);
        CheckCalls(model, 15);
    }

    // After a loss of power callers have been waiting, and the first contacts come back last. Seventeen instances have callers enough, as
    // on the users' small deployments: each asks the store, once, and serves them without the first contacts. The others of the fleet wait.
    void CallersThatWaitForAStart()
    {
        constexpr size_t needed = 17;
        Model model(60);
        StartAll(&model, 0, 600 * UsPerMs);
        for (size_t n = ContactCount; n < ContactCount + needed; n++)
        {
            const auto callers_wait = [&model, n]()
            {
                if (FollowNeeded(&model.Fleet[n].Following))
                {
                    model.Fleet[n].Call = 0;
                    Step(&model, n);
                }
            };
            At(&model, 301 * UsPerMs, callers_wait); // All have started; some have found a first contact silent already.
        }
        RunUntil(&model, 450 * UsPerMs);
        for (size_t n = ContactCount; n < model.Fleet.size(); n++)
        {
            const bool knows = model.Fleet[n].Following.Revision != 0;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("instance {}", n), n < ContactCount + needed, knows);
        }
        RunUntil(&model, 1200 * UsPerMs);
        CPPUNIT_ASSERT_EQUAL(size_t{0}, Look(model).Without);
        CPPUNIT_ASSERT_EQUAL(uint64_t{needed}, model.CallsFor[StoreReason_Alone]);
        CheckCalls(model, needed + 10);
    }

    // The store refuses every call for 8 s, as on the users' days. The three first contacts try it about once a second each, and have one
    // follower each try it: 6 calls a second, whatever the size of the fleet. All know again within 1.5 s of its return.
    void AStoreThatRefusesAll()
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
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, model.CallsFor[StoreReason_Alone]);
        RunUntil(&model, to + 1500 * UsPerMs);
        CheckAge(Look(model).OldestUs, UsPerSecond);
    }

    // The store reads calls and answers none for 8 s: the same, with fewer calls, as each waits.
    void AStoreThatIsSilent()
    {
        Model model;
        Settle(&model);
        model.Silent = true;
        RunUntil(&model, model.Now + 8 * UsPerSecond);
        CheckCalls(model, 40);
        model.Silent = false;
        RunUntil(&model, model.Now + 3 * UsPerSecond);
        CheckAge(Look(model).OldestUs, UsPerSecond);
    }

    // The store turns away all first contacts and a third of the others, for 9 s: followers read it for them. Nobody's knowledge gets
    // older than 2 s, the tightest of the users' bounds for an edit.
    void AStoreThatTurnsAwayAllFirstContacts()
    {
        Model model;
        Settle(&model);
        model.Refuses = [](size_t instance, TimeUs)
        {
            return instance < ContactCount || instance % 3 == 0;
        };
        const TimeUs oldest = OldestUntil(&model, model.Now + 9 * UsPerSecond);
        CheckAge(oldest, 2 * UsPerSecond);
        CheckCalls(model, 130);
    }

    // The store says nothing to the first contact that reads it and to a third of the others, all of a sudden. It takes the reader 1.35 s
    // to notice; nobody's knowledge may get older than the users' bound for a target that leaves, 2 s, but for the 0.1 s that it is looked
    // at in.
    void AStoreThatIsSilentToSome()
    {
        TimeUs oldest = 0;
        for (uint64_t seed = 1; seed <= 60; seed++)
        {
            Model model(13, seed);
            Settle(&model);
            model.Mute = [](size_t instance)
            {
                return instance == 0 || instance % 3 == 1;
            };
            oldest = std::max(oldest, OldestUntil(&model, model.Now + 4 * UsPerSecond));
        }
        CheckAge(oldest, 2 * UsPerSecond);
    }

    // The same while all start: those that wait at a first contact for its knowledge read the store for it.
    void AStartThatTheStoreTurnsAway()
    {
        Model model;
        model.Refuses = [](size_t instance, TimeUs)
        {
            return instance < ContactCount || instance % 3 == 0;
        };
        StartAll(&model, 0, 0);
        RunUntil(&model, 300 * UsPerMs);
        const TimeUs all = AllKnowAt(&model, 8 * UsPerSecond);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms", all / UsPerMs), all > 0 && all <= UsPerSecond);
        CheckCalls(model, 30);
    }

    // The first contacts are lost one after the other, by a kill or without a word, and each is back 2 s later.
    void FirstContactsLostInTurn()
    {
        for (const Life_ life : {Life_Gone, Life_Silent})
        {
            Model model;
            Settle(&model);
            for (size_t n = 0; n < ContactCount; n++)
            {
                const TimeUs when = model.Now + static_cast<TimeUs>(n) * 3 * UsPerSecond;
                EndAt(&model, n, life, when);
                StartAt(&model, n, when + 2 * UsPerSecond);
            }
            CheckAge(OldestUntil(&model, model.Now + 10 * UsPerSecond), 2 * UsPerSecond);
            CheckCalls(model, 60);
            CPPUNIT_ASSERT_EQUAL(uint64_t{0}, model.CallsFor[StoreReason_Alone]);
        }
    }

    // All first contacts are gone at once, for 3 s: a few of those left go to the store by themselves, and the others find them. Without
    // that each of the 470 would ask once a second.
    void AllFirstContactsLost()
    {
        for (const Life_ life : {Life_Gone, Life_Silent})
        {
            Model model;
            Settle(&model);
            for (size_t n = 0; n < ContactCount; n++)
            {
                EndAt(&model, n, life, model.Now);
                StartAt(&model, n, model.Now + 3 * UsPerSecond);
            }
            CheckAge(OldestUntil(&model, model.Now + 9 * UsPerSecond), 4 * UsPerSecond);
            CheckCalls(model, 300);
            CPPUNIT_ASSERT(model.CallsFor[StoreReason_Alone] > 0);
            CPPUNIT_ASSERT(model.CallsFor[StoreReason_Alone] < FleetSize / 8);
        }
    }

    // Edits that come less often than the time after which a wait ends by itself, so that the two meet at any distance: nobody misses that
    // nothing has changed, as half of a chain did who waited again a moment too late, and no source is left for being behind.
    void RareEditsLeaveNobodyBehind()
    {
        Model model;
        model.EditUs = 3700 * UsPerMs;
        Settle(&model);
        model.Left = 0;
        const TimeUs oldest = OldestUntil(&model, model.Now + 120 * UsPerSecond);
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, model.Left);
        CheckAge(oldest, 1500 * UsPerMs);
    }

    // A quiet fleet of any size costs the store the calls of one reader.
    void CallsDoNotGrowWithTheFleet()
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
