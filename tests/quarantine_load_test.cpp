// quarantine_load_test.cpp: requests that end targets, in virtual time over a fleet: how many targets they end, and who is held by mistake.
//
// Patterns: one and fifty such requests that are sent again every 0.4 s, at 3, 30 and 300 instances, while others are served; a service of
// which a third crashes together again and again; targets that are killed one after the other; the same with targets that fall silent,
// which is known once the store has missed three heartbeats of 1.5 s. Grounds of the figures: twelve targets of three slots and work of 100
// ms, as the users' counter service; a target is back after three seconds under another id, as on the recorded day; news take half a second
// through the fleet, five steps of a tree at the shortest time between two words. The innocents are the hardest case for such a rule: 40
// callers that ask for the same page every 0.4 s, whatever became of it before.

#include "check.h"

#include <algorithm>
#include <queue>

namespace Winchlink
{

enum QuarantineRule_ : int
{
    QuarantineRule_None,      // Nobody remembers anything.
    QuarantineRule_Alone,     // Each instance for itself.
    QuarantineRule_CountOnly, // Together, but answers clear nothing.
    QuarantineRule_Full,
    QuarantineRule_COUNT,
};

struct LoadSetting
{
    QuarantineRule_ Rule = QuarantineRule_Full;
    size_t Instances = 30;
    int Ending = 1;         // Requests that end targets.
    int Innocent = 40;      // Requests that end nothing.
    TimeUs KillEveryUs = 0; // Targets are killed so often; 0: never.
    int KillCount = 1;      // So many together.
    bool Silently = false;  // Targets end without closing their connections.
    TimeUs LengthUs = 30 * UsPerSecond;
};

struct LoadResult
{
    int Ends = 0;        // Targets that ended under requests that end them.
    int Tries = 0;       // Of innocent requests.
    int Served = 0;      // Of these.
    int HeldWrongly = 0; // Of these, refused as held.
};

class QuarantineModel
{
public:
    QuarantineModel(const LoadSetting& setting, uint64_t seed)
        : Setting(setting), Rng(seed), Instances(setting.Instances), Silent(setting.Instances)
    {
    }

    LoadResult Play()
    {
        for (int n = 0; n < TargetCount; n++)
        {
            Targets.push_back({NextLife++, {}, 0});
        }
        for (int n = 0; n < Setting.Ending; n++)
        {
            At(Between(0, 400 * UsPerMs), [this, n]() { SendEnding(n); });
        }
        for (int n = 0; n < Setting.Innocent; n++)
        {
            At(Between(0, AgainUs), [this, n]() { SendInnocent(n); });
        }
        if (Setting.KillEveryUs > 0)
        {
            At(Setting.KillEveryUs, [this]() { Kill(); });
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
    static constexpr TimeUs BackUs = 3 * UsPerSecond;
    static constexpr TimeUs AgainUs = 400 * UsPerMs;
    static constexpr TimeUs SpreadUs = 500 * UsPerMs;
    static constexpr TimeUs LookUs = 3 * UsPerMs;     // To find out that a target takes no connection.
    static constexpr TimeUs DeadlineUs = UsPerSecond; // Of requests that are not answered.
    static constexpr TimeUs LapseUs = 4500 * UsPerMs; // Until the store has no entry of a target that fell silent.

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
        bool EndsTargets;
        TimeUs SentUs = 0;
    };

    struct Target
    {
        uint64_t Life;
        std::vector<std::pair<uint64_t, Work>> InProgress;
        TimeUs BackAtUs;
    };

    LoadSetting Setting;
    Random Rng;
    std::vector<Quarantine> Instances;
    std::vector<SilentEnds> Silent; // Of each instance.
    std::vector<Target> Targets;
    std::priority_queue<Event> Events;
    LoadResult Result;
    TimeUs Now = 0;
    uint64_t Order = 0;
    uint64_t NextLife = 1;
    uint64_t NextWork = 1;

    TimeUs Between(TimeUs least, TimeUs most)
    {
        return std::uniform_int_distribution<TimeUs>(least, most)(Rng);
    }

    void At(TimeUs after, std::function<void()> run)
    {
        Events.push({Now + after, ++Order, std::move(run)});
    }

    size_t AnyInstance()
    {
        return static_cast<size_t>(Between(0, static_cast<TimeUs>(Instances.size()) - 1));
    }

    void SendEnding(int number)
    {
        Send({"ends-" + std::to_string(number), AnyInstance(), true});
        At(AgainUs, [this, number]() { SendEnding(number); });
    }

    void SendInnocent(int number)
    {
        Result.Tries++;
        Send({"innocent-" + std::to_string(number), AnyInstance(), false});
        At(AgainUs, [this, number]() { SendInnocent(number); });
    }

    void Send(const Work& work)
    {
        const Quarantine& known = Instances[work.Instance];
        if (Setting.Rule != QuarantineRule_None && QuarantineUntil(known, work.Key, Now) > 0)
        {
            Result.HeldWrongly += work.EndsTargets ? 0 : 1;
            return;
        }
        std::vector<Target*> room;
        for (Target& target : Targets)
        {
            if (Now >= target.BackAtUs && target.InProgress.size() < Slots)
            {
                room.push_back(&target);
            }
        }
        if (room.empty())
        {
            return;
        }
        Target* target = room[static_cast<size_t>(Between(0, static_cast<TimeUs>(room.size()) - 1))];
        const uint64_t id = NextWork++;
        target->InProgress.emplace_back(id, work);
        target->InProgress.back().second.SentUs = Now;
        At(WorkUs, [this, target, id]() { Finish(target, id); });
    }

    void Finish(Target* target, uint64_t id)
    {
        const auto found =
            std::find_if(target->InProgress.begin(), target->InProgress.end(), [id](const auto& entry) { return entry.first == id; });
        if (found == target->InProgress.end())
        {
            return; // The target has ended.
        }
        const Work work = found->second;
        if (work.EndsTargets)
        {
            Result.Ends++;
            End(target);
            return;
        }
        target->InProgress.erase(found);
        Result.Served++;
        if (Setting.Rule == QuarantineRule_Full)
        {
            SilentAnswered(&Silent[work.Instance], work.Key);
        }
        if (Setting.Rule == QuarantineRule_Full && QuarantineAnswered(&Instances[work.Instance], work.Key))
        {
            Spread(work.Instance);
        }
    }

    void End(Target* target)
    {
        const std::vector<std::pair<uint64_t, Work>> lost = std::exchange(target->InProgress, {});
        const uint64_t life = std::exchange(target->Life, NextLife++);
        target->BackAtUs = Now + BackUs;
        if (Setting.Silently)
        {
            FallSilent(lost, life);
            return;
        }
        for (const auto& [id, work] : lost)
        {
            At(LookUs, [this, work = work, life]() { Note(work, life); });
        }
    }

    void FallSilent(const std::vector<std::pair<uint64_t, Work>>& lost, uint64_t life)
    {
        for (const auto& [id, work] : lost)
        {
            At(work.SentUs + DeadlineUs - Now, [this, work = work, life]() { NoteUnanswered(work, life); });
        }
        At(LapseUs, [this, life]() { NoteLapse(life); });
    }

    void NoteUnanswered(const Work& work, uint64_t life)
    {
        if (SilentAttemptEnded(&Silent[work.Instance], {work.Key, TargetLife("t", life), work.SentUs}, Now))
        {
            Note(work, life);
        }
    }

    void NoteLapse(uint64_t life)
    {
        for (size_t n = 0; n < Silent.size(); n++)
        {
            for (const SilentAttempt& attempt : SilentTargetEnded(&Silent[n], TargetLife("t", life), Now))
            {
                Note({attempt.Request, n, false}, life);
            }
        }
    }

    void Note(const Work& work, uint64_t life)
    {
        if (Setting.Rule != QuarantineRule_None && QuarantineNote(&Instances[work.Instance], work.Key, TargetLife("t", life), Now))
        {
            Spread(work.Instance);
        }
    }

    void Spread(size_t from)
    {
        if (Setting.Rule == QuarantineRule_Alone)
        {
            return;
        }
        const std::vector<TargetEndNews> news = QuarantineTell(Instances[from], Now);
        At(SpreadUs,
           [this, news]()
           {
               for (Quarantine& other : Instances)
               {
                   QuarantineTake(&other, news, Now);
               }
           });
    }

    void Kill()
    {
        for (int n = 0; n < Setting.KillCount; n++)
        {
            End(&Targets[static_cast<size_t>(Between(0, TargetCount - 1))]);
        }
        At(Setting.KillEveryUs, [this]() { Kill(); });
    }
};

static LoadResult PlaySeeds(const LoadSetting& setting, int seeds)
{
    LoadResult sum;
    for (int seed = 1; seed <= seeds; seed++)
    {
        const LoadResult one = QuarantineModel(setting, static_cast<uint64_t>(seed)).Play();
        sum.Ends += one.Ends;
        sum.Tries += one.Tries;
        sum.Served += one.Served;
        sum.HeldWrongly += one.HeldWrongly;
    }
    return sum;
}

class QuarantineLoadTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineLoadTest);
    CPPUNIT_TEST(OneSuchRequestEndsFewTargetsOfAnyFleet);
    CPPUNIT_TEST(NoInstanceAloneSeesEnough);
    CPPUNIT_TEST(KilledTargetsHoldNobody);
    CPPUNIT_TEST(TargetsThatFallSilent);
    CPPUNIT_TEST(FiveAtOnce);
    CPPUNIT_TEST(FiftyAtOnceLeaveMoreToOthers);
    CPPUNIT_TEST_SUITE_END();

    static LoadResult Play(QuarantineRule_ rule, size_t instances, int ending, int kills = 0, bool silently = false)
    {
        LoadSetting setting;
        setting.Silently = silently;
        setting.Rule = rule;
        setting.Instances = instances;
        setting.Ending = ending;
        setting.KillEveryUs = kills > 0 ? UsPerSecond / 2 : 0;
        setting.KillCount = kills;
        return PlaySeeds(setting, Seeds);
    }

    static constexpr int Seeds = 2;

    // Three ends and what is on its way in the half second that the news take.
    void OneSuchRequestEndsFewTargetsOfAnyFleet()
    {
        for (const size_t instances : {3, 30, 300})
        {
            const LoadResult held = Play(QuarantineRule_Full, instances, 1);
            CPPUNIT_ASSERT(held.Ends <= 5 * Seeds);
            CPPUNIT_ASSERT(held.Served >= 0.99 * held.Tries);
            CPPUNIT_ASSERT_EQUAL(0, held.HeldWrongly);
        }
        const LoadResult sent_on = Play(QuarantineRule_None, 30, 1);
        CPPUNIT_ASSERT(sent_on.Ends >= 60 * Seeds); // Two a second, as long as the caller comes back.
    }

    void NoInstanceAloneSeesEnough()
    {
        CPPUNIT_ASSERT(Play(QuarantineRule_Alone, 30, 1).Ends >= 50 * Seeds);
    }

    // One target, and a third of them, are killed twice a second: most requests are at several that end.
    void KilledTargetsHoldNobody()
    {
        for (const int kills : {1, 4})
        {
            CPPUNIT_ASSERT_EQUAL(0, Play(QuarantineRule_Full, 30, 0, kills).HeldWrongly);
            CPPUNIT_ASSERT_EQUAL(0, Play(QuarantineRule_Full, 30, 1, kills).HeldWrongly);
            CPPUNIT_ASSERT(Play(QuarantineRule_CountOnly, 30, 0, kills).HeldWrongly >= 100); // So the check can fail.
        }
    }

    // What is sent until the store has missed the third target is not held; then nothing more. Cuts look the same from here, and hold
    // nobody.
    void TargetsThatFallSilent()
    {
        for (const size_t instances : {3, 30, 300})
        {
            const LoadResult held = Play(QuarantineRule_Full, instances, 1, 0, true);
            CPPUNIT_ASSERT(held.Ends <= 20 * Seeds);
            CPPUNIT_ASSERT_EQUAL(0, held.HeldWrongly);
        }
        for (const int kills : {1, 4})
        {
            CPPUNIT_ASSERT_EQUAL(0, Play(QuarantineRule_Full, 30, 0, kills, true).HeldWrongly);
            CPPUNIT_ASSERT(Play(QuarantineRule_CountOnly, 30, 0, kills, true).HeldWrongly >= 50); // So the check can fail.
        }
    }

    void FiveAtOnce()
    {
        const LoadResult held = Play(QuarantineRule_Full, 30, 5);
        const LoadResult sent_on = Play(QuarantineRule_None, 30, 5);
        CPPUNIT_ASSERT(held.Ends <= 5 * 3 * Seeds);
        CPPUNIT_ASSERT(held.HeldWrongly <= 2);
        CPPUNIT_ASSERT(held.Served >= 0.9 * held.Tries);
        CPPUNIT_ASSERT(sent_on.Served <= 0.25 * sent_on.Tries);
    }

    // Each must end three, and twelve targets that are away for three seconds each time don't last for that: others are served little, but
    // ten times as often as without, and one in ten of them is held as well while nothing is answered that could clear it.
    void FiftyAtOnceLeaveMoreToOthers()
    {
        const LoadResult held = Play(QuarantineRule_Full, 30, 50);
        const LoadResult sent_on = Play(QuarantineRule_None, 30, 50);
        CPPUNIT_ASSERT(held.Served >= 5 * sent_on.Served);
        CPPUNIT_ASSERT(held.HeldWrongly <= 0.1 * held.Tries);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineLoadTest);

} // namespace Winchlink
