// quarantine_load_test.cpp: quarantine over fleets of 3 to 300 instances, in virtual time.
//
// Guards against requests that crash many targets before they are quarantined, and against harmless requests that are quarantined because
// targets crashed for other reasons while running them. Harmless requests are sent again every 0.4 s under the same key, the hardest case
// for the rule. In some tests targets stop answering and keep their connections open; their crash is known once the store's entry lapses.

#include "check.h"

#include <algorithm>
#include <queue>

namespace Winchlink
{

enum QuarantineRule_ : int
{
    QuarantineRule_None,      // No instance counts crashes.
    QuarantineRule_Alone,     // Each instance counts crashes by itself.
    QuarantineRule_CountOnly, // Instances exchange crashes; answers do not reset the count.
    QuarantineRule_Full,
    QuarantineRule_COUNT,
};

struct LoadSetting
{
    QuarantineRule_ Rule = QuarantineRule_Full;
    size_t Instances = 30;
    int CrashingRequests = 1; // Requests that crash targets.
    int HarmlessRequests = 40;
    TimeUs KillIntervalUs = 0; // Interval at which targets are killed; 0: never.
    int KillCount = 1;         // Targets that are killed together.
    bool Silently = false;     // Targets crash without closing their connections.
    TimeUs LengthUs = 30 * UsPerSecond;
};

struct LoadResult
{
    int CrashCount = 0;         // Targets that requests crashed.
    int AttemptCount = 0;       // Attempts of harmless requests.
    int Served = 0;             // Of these, answered.
    int QuarantinedWrongly = 0; // Of these, refused as quarantined.
};

class QuarantineModel
{
public:
    QuarantineModel(const LoadSetting& setting, uint64_t seed)
        : Setting(setting), Rng(seed), Instances(setting.Instances), Silent(setting.Instances)
    {
    }

    LoadResult RunModel()
    {
        for (int n = 0; n < TargetCount; n++)
        {
            Targets.push_back({NextIncarnation++, {}, 0});
        }
        for (int n = 0; n < Setting.CrashingRequests; n++)
        {
            Schedule(Between(0, 400 * UsPerMs), [this, n]() { SendCrashing(n); });
        }
        for (int n = 0; n < Setting.HarmlessRequests; n++)
        {
            Schedule(Between(0, ResendUs), [this, n]() { SendHarmless(n); });
        }
        if (Setting.KillIntervalUs > 0)
        {
            Schedule(Setting.KillIntervalUs, [this]() { Kill(); });
        }
        while (!Events.empty() && Events.top().AtUs < Setting.LengthUs)
        {
            const Event event = Events.top();
            Events.pop();
            Now = event.AtUs;
            event.Run();
        }
        return Result;
    }

private:
    static constexpr int TargetCount = 12;
    static constexpr size_t Slots = 3;
    static constexpr TimeUs WorkUs = 100 * UsPerMs;
    static constexpr TimeUs RestartUs = 3 * UsPerSecond;
    static constexpr TimeUs ResendUs = 400 * UsPerMs;
    static constexpr TimeUs SpreadUs = 500 * UsPerMs;
    static constexpr TimeUs DetectUs = 3 * UsPerMs;        // Time to detect that a target refuses connections.
    static constexpr TimeUs DeadlineUs = UsPerSecond;      // Deadline of requests that get no answer.
    static constexpr TimeUs EntryLapseUs = 4500 * UsPerMs; // Time until the store drops the entry of a silent target.

    struct Event
    {
        TimeUs AtUs;
        uint64_t Order;
        std::function<void()> Run;

        bool operator<(const Event& other) const
        {
            return std::tie(AtUs, Order) > std::tie(other.AtUs, other.Order);
        }
    };

    struct Work
    {
        std::string Key;
        size_t Instance;
        bool CrashesTargets;
        TimeUs SentUs = 0;
    };

    struct Target
    {
        uint64_t Incarnation;
        std::vector<std::pair<uint64_t, Work>> InProgress;
        TimeUs BackAtUs;
    };

    LoadSetting Setting;
    Random Rng;
    std::vector<Quarantine> Instances;
    std::vector<SilentCrashes> Silent; // Of each instance.
    std::vector<Target> Targets;
    std::priority_queue<Event> Events;
    LoadResult Result;
    TimeUs Now = 0;
    uint64_t Order = 0;
    uint64_t NextIncarnation = 1;
    uint64_t NextWork = 1;

    TimeUs Between(TimeUs min, TimeUs max)
    {
        return std::uniform_int_distribution<TimeUs>(min, max)(Rng);
    }

    void Schedule(TimeUs after, std::function<void()> run)
    {
        Events.push({Now + after, ++Order, std::move(run)});
    }

    size_t AnyInstance()
    {
        return static_cast<size_t>(Between(0, static_cast<TimeUs>(Instances.size()) - 1));
    }

    void SendCrashing(int number)
    {
        Send({"ends-" + std::to_string(number), AnyInstance(), true});
        Schedule(ResendUs, [this, number]() { SendCrashing(number); });
    }

    void SendHarmless(int number)
    {
        Result.AttemptCount++;
        Send({"innocent-" + std::to_string(number), AnyInstance(), false});
        Schedule(ResendUs, [this, number]() { SendHarmless(number); });
    }

    void Send(const Work& work)
    {
        const Quarantine& known = Instances[work.Instance];
        if (Setting.Rule != QuarantineRule_None && QuarantineEndUs(known, work.Key, Now) > 0)
        {
            Result.QuarantinedWrongly += work.CrashesTargets ? 0 : 1;
            return;
        }
        std::vector<Target*> with_free_slot;
        for (Target& target : Targets)
        {
            if (Now >= target.BackAtUs && target.InProgress.size() < Slots)
            {
                with_free_slot.push_back(&target);
            }
        }
        if (with_free_slot.empty())
        {
            return;
        }
        Target* target = with_free_slot[static_cast<size_t>(Between(0, static_cast<TimeUs>(with_free_slot.size()) - 1))];
        const uint64_t id = NextWork++;
        target->InProgress.emplace_back(id, work);
        target->InProgress.back().second.SentUs = Now;
        Schedule(WorkUs, [this, target, id]() { Finish(target, id); });
    }

    void Finish(Target* target, uint64_t id)
    {
        const auto found =
            std::find_if(target->InProgress.begin(), target->InProgress.end(), [id](const auto& entry) { return entry.first == id; });
        if (found == target->InProgress.end())
        {
            return; // The target has crashed.
        }
        const Work work = found->second;
        if (work.CrashesTargets)
        {
            Result.CrashCount++;
            Crash(target);
            return;
        }
        target->InProgress.erase(found);
        Result.Served++;
        if (Setting.Rule == QuarantineRule_Full)
        {
            SilentCrashesAnswered(&Silent[work.Instance], work.Key);
        }
        if (Setting.Rule == QuarantineRule_Full && QuarantineClear(&Instances[work.Instance], work.Key))
        {
            SendUpdates(work.Instance);
        }
    }

    void Crash(Target* target)
    {
        const std::vector<std::pair<uint64_t, Work>> lost = std::exchange(target->InProgress, {});
        const uint64_t incarnation = std::exchange(target->Incarnation, NextIncarnation++);
        target->BackAtUs = Now + RestartUs;
        if (Setting.Silently)
        {
            StopAnswering(lost, incarnation);
            return;
        }
        for (const auto& [id, work] : lost)
        {
            Schedule(DetectUs, [this, work = work, incarnation]() { AddCrash(work, incarnation); });
        }
    }

    void StopAnswering(const std::vector<std::pair<uint64_t, Work>>& lost, uint64_t incarnation)
    {
        for (const auto& [id, work] : lost)
        {
            Schedule(work.SentUs + DeadlineUs - Now, [this, work = work, incarnation]() { OnAttemptTimeout(work, incarnation); });
        }
        Schedule(EntryLapseUs, [this, incarnation]() { OnEntryMissing(incarnation); });
    }

    void OnAttemptTimeout(const Work& work, uint64_t incarnation)
    {
        if (SilentCrashesAddAttempt(&Silent[work.Instance], {work.Key, TargetIncarnation("t", incarnation), work.SentUs}, Now))
        {
            AddCrash(work, incarnation);
        }
    }

    void OnEntryMissing(uint64_t incarnation)
    {
        for (size_t n = 0; n < Silent.size(); n++)
        {
            for (const UnansweredAttempt& attempt : SilentCrashesAddTarget(&Silent[n], TargetIncarnation("t", incarnation), Now))
            {
                AddCrash({attempt.Request, n, false}, incarnation);
            }
        }
    }

    void AddCrash(const Work& work, uint64_t incarnation)
    {
        if (Setting.Rule != QuarantineRule_None &&
            QuarantineAddCrash(&Instances[work.Instance], work.Key, TargetIncarnation("t", incarnation), Now))
        {
            SendUpdates(work.Instance);
        }
    }

    void SendUpdates(size_t from)
    {
        if (Setting.Rule == QuarantineRule_Alone)
        {
            return;
        }
        const std::vector<TargetCrashUpdate> updates = QuarantineExport(Instances[from], Now);
        Schedule(SpreadUs,
                 [this, updates]()
                 {
                     for (Quarantine& other : Instances)
                     {
                         QuarantineMerge(&other, updates, Now);
                     }
                 });
    }

    void Kill()
    {
        for (int n = 0; n < Setting.KillCount; n++)
        {
            Crash(&Targets[static_cast<size_t>(Between(0, TargetCount - 1))]);
        }
        Schedule(Setting.KillIntervalUs, [this]() { Kill(); });
    }
};

static LoadResult RunSeeds(const LoadSetting& setting, int seeds)
{
    LoadResult sum;
    for (int seed = 1; seed <= seeds; seed++)
    {
        const LoadResult one = QuarantineModel(setting, static_cast<uint64_t>(seed)).RunModel();
        sum.CrashCount += one.CrashCount;
        sum.AttemptCount += one.AttemptCount;
        sum.Served += one.Served;
        sum.QuarantinedWrongly += one.QuarantinedWrongly;
    }
    return sum;
}

class QuarantineLoadTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineLoadTest);
    CPPUNIT_TEST(ARequestCrashesFewTargetsOfAnyFleet);
    CPPUNIT_TEST(CountingPerInstanceIsNotEnough);
    CPPUNIT_TEST(KilledTargetsQuarantineNoRequest);
    CPPUNIT_TEST(SilentTargets);
    CPPUNIT_TEST(FiveCrashingRequestsAtOnce);
    CPPUNIT_TEST(FiftyCrashingRequestsAtOnceLeaveMoreToOthers);
    CPPUNIT_TEST_SUITE_END();

    static LoadResult RunModel(QuarantineRule_ rule, size_t instances, int crashing, int kills = 0, bool silently = false)
    {
        LoadSetting setting;
        setting.Silently = silently;
        setting.Rule = rule;
        setting.Instances = instances;
        setting.CrashingRequests = crashing;
        setting.KillIntervalUs = kills > 0 ? UsPerSecond / 2 : 0;
        setting.KillCount = kills;
        return RunSeeds(setting, Seeds);
    }

    static constexpr int Seeds = 2;

    // Three crashes, and those of attempts sent before all instances know of them.
    void ARequestCrashesFewTargetsOfAnyFleet()
    {
        for (const size_t instances : {3, 30, 300})
        {
            const LoadResult with_quarantine = RunModel(QuarantineRule_Full, instances, 1);
            CPPUNIT_ASSERT(with_quarantine.CrashCount <= 5 * Seeds);
            CPPUNIT_ASSERT(with_quarantine.Served >= 0.99 * with_quarantine.AttemptCount);
            CPPUNIT_ASSERT_EQUAL(0, with_quarantine.QuarantinedWrongly);
        }
        const LoadResult without_quarantine = RunModel(QuarantineRule_None, 30, 1);
        CPPUNIT_ASSERT(without_quarantine.CrashCount >= 60 * Seeds); // Two a second for the whole run.
    }

    void CountingPerInstanceIsNotEnough()
    {
        CPPUNIT_ASSERT(RunModel(QuarantineRule_Alone, 30, 1).CrashCount >= 50 * Seeds);
    }

    // One target, or a third of them, is killed twice a second, so that most requests are lost in several crashes.
    void KilledTargetsQuarantineNoRequest()
    {
        for (const int kills : {1, 4})
        {
            CPPUNIT_ASSERT_EQUAL(0, RunModel(QuarantineRule_Full, 30, 0, kills).QuarantinedWrongly);
            CPPUNIT_ASSERT_EQUAL(0, RunModel(QuarantineRule_Full, 30, 1, kills).QuarantinedWrongly);
            CPPUNIT_ASSERT(RunModel(QuarantineRule_CountOnly, 30, 0, kills).QuarantinedWrongly >= 100); // Shows that the check can fail.
        }
    }

    // Crashes are counted once the store has dropped the targets' entries. Until then attempts go on. Partitions look the same to an
    // instance and must not quarantine any request.
    void SilentTargets()
    {
        for (const size_t instances : {3, 30, 300})
        {
            const LoadResult with_quarantine = RunModel(QuarantineRule_Full, instances, 1, 0, true);
            CPPUNIT_ASSERT(with_quarantine.CrashCount <= 20 * Seeds);
            CPPUNIT_ASSERT_EQUAL(0, with_quarantine.QuarantinedWrongly);
        }
        for (const int kills : {1, 4})
        {
            CPPUNIT_ASSERT_EQUAL(0, RunModel(QuarantineRule_Full, 30, 0, kills, true).QuarantinedWrongly);
            CPPUNIT_ASSERT(RunModel(QuarantineRule_CountOnly, 30, 0, kills, true).QuarantinedWrongly >=
                           50); // Shows that the check can fail.
        }
    }

    void FiveCrashingRequestsAtOnce()
    {
        const LoadResult with_quarantine = RunModel(QuarantineRule_Full, 30, 5);
        const LoadResult without_quarantine = RunModel(QuarantineRule_None, 30, 5);
        CPPUNIT_ASSERT(with_quarantine.CrashCount <= 5 * 3 * Seeds);
        CPPUNIT_ASSERT(with_quarantine.QuarantinedWrongly <= 2);
        CPPUNIT_ASSERT(with_quarantine.Served >= 0.9 * with_quarantine.AttemptCount);
        CPPUNIT_ASSERT(without_quarantine.Served <= 0.25 * without_quarantine.AttemptCount);
    }

    // Each of fifty requests crashes three targets before it is quarantined, so that most targets are down for long. Harmless requests are
    // served several times as often as without quarantine; some of them are quarantined while nothing is answered that resets their counts.
    void FiftyCrashingRequestsAtOnceLeaveMoreToOthers()
    {
        const LoadResult with_quarantine = RunModel(QuarantineRule_Full, 30, 50);
        const LoadResult without_quarantine = RunModel(QuarantineRule_None, 30, 50);
        CPPUNIT_ASSERT(with_quarantine.Served >= 5 * without_quarantine.Served);
        CPPUNIT_ASSERT(with_quarantine.QuarantinedWrongly <= 0.1 * with_quarantine.AttemptCount);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineLoadTest);

} // namespace Winchlink
