// follow_bound_test.cpp: how old the data may get at an instance in touch, whatever is lost, in virtual time. Guards against edits that are
// in force too late: the bound is the users' time for an edit at fleets of that size. Guards also against targets that are kept for longer
// after the removal of their entries than they serve, as the removal is learnt late.

#include "follow_model.h"

#include <fmt/format.h>
#include <numeric>

namespace Winchlink
{

static constexpr TimeUs InTouchUs = 3 * UsPerSecond; // An instance counts again this long after its start or the end of a freeze.
static constexpr int RunsEach = 4;                   // Seeds of each case.
static constexpr TimeUs ServesUs = 2 * UsPerSecond;  // A target that leaves serves for this long after its entry has gone.

struct BoundCase
{
    size_t Size = 0;    // Instances.
    TimeUs BoundUs = 0; // Users' time for an edit.
};

static const std::vector<BoundCase> Fleets = {{3, 2 * UsPerSecond}, {17, 2 * UsPerSecond}, {99, 2500 * UsPerMs}, {587, 4 * UsPerSecond}};

// What was seen at instances in touch.
struct BoundSeen
{
    TimeUs OldestUs = 0; // Largest age of data; the time since its start for an instance that has none.
    size_t LateMax = 0;  // Most instances beyond the bound at one time.
    TimeUs KeptUs = 0;   // Longest time for which an instance keeps a target after the removal of its entry.
};

static std::vector<std::string> RandomSeeds(size_t instance, size_t size, size_t count, Random* random)
{
    std::vector<std::string> seeds;
    std::uniform_int_distribution<size_t> any(0, size - 1);
    while (seeds.size() < std::min(count, size - 1))
    {
        const std::string address = AddressOf(any(*random));
        const bool used = address == AddressOf(instance) || std::find(seeds.begin(), seeds.end(), address) != seeds.end();
        if (!used)
        {
            seeds.push_back(address);
        }
    }
    return seeds;
}

// A list of its own for each instance, drawn anew at each start, that names three others.
static ModelSeeds ListsOfOthers(size_t size)
{
    return [size](size_t instance, Random* random)
    {
        return RandomSeeds(instance, size, 3, random);
    };
}

// Of all kinds: shared, of others, with the instance itself, of one, empty, with addresses at which nobody is.
static ModelSeeds ListsOfAllKinds(size_t size)
{
    return [size](size_t instance, Random* random)
    {
        std::vector<std::string> seeds = RandomSeeds(instance, size, 3, random);
        switch (std::uniform_int_distribution<int>(0, 5)(*random))
        {
        case 0:
            return std::vector<std::string>{AddressOf(0), AddressOf(1), AddressOf(2)};
        case 1:
            seeds.back() = AddressOf(instance);
            return seeds;
        case 2:
            return std::vector<std::string>{seeds.front()};
        case 3:
            return std::vector<std::string>();
        case 4:
            seeds.front() = AddressOf(size);
            return seeds;
        default:
            return seeds;
        }
    };
}

// Whether an instance is in touch: up, undisturbed for a while, and not cut off from the store.
static bool IsInTouch(const Model& model, size_t n)
{
    const ModelInstance& instance = model.Fleet[n];
    const bool settled = instance.State == ModelState_Up && model.Now >= instance.DisturbedUs + InTouchUs;
    return settled && !(model.OutOfTouch && model.OutOfTouch(n));
}

// Time after the removal of a target's entry until which an instance keeps the target. `known`, `after`: see Model::OnChanged; the entry
// was removed by the first change that the instance did not know.
static TimeUs KeptAfterRemoval(const Model& model, uint64_t known, TimeUs after)
{
    TargetDirectory directory;
    DirectoryTarget target;
    target.Id = "t";
    target.Revision = known;
    DirectoryPut(&directory, target, after);
    DirectoryRemove(&directory, target.Id, known + 1, after, model.Now);
    return directory.Targets.at(target.Id).ExpiryUs - ChangeTime(model, known + 1);
}

static BoundSeen Watch(Model* model, TimeUs end, TimeUs bound)
{
    BoundSeen seen;
    model->OnChanged = [&](size_t, uint64_t known, TimeUs after)
    {
        seen.KeptUs = std::max(seen.KeptUs, KeptAfterRemoval(*model, known, after));
    };
    while (model->Now < end)
    {
        RunUntil(model, std::min(end, model->Now + 50 * UsPerMs));
        size_t late = 0;
        for (size_t n = 0; n < model->Fleet.size(); n++)
        {
            const ModelInstance& instance = model->Fleet[n];
            const TimeUs since = instance.Following.Revision != 0 ? instance.Following.FreshUs : instance.DisturbedUs;
            const TimeUs age = IsInTouch(*model, n) ? model->Now - since : 0;
            seen.OldestUs = std::max(seen.OldestUs, age);
            late += age > bound ? 1 : 0;
        }
        seen.LateMax = std::max(seen.LateMax, late);
    }
    model->OnChanged = nullptr;
    return seen;
}

static size_t AnyInstance(Model* model)
{
    return std::uniform_int_distribution<size_t>(0, model->Fleet.size() - 1)(model->Rng);
}

// Index of the instance whose data most instances have; the fleet's reader.
static size_t CommonReader(const Model& model)
{
    std::map<std::string, int> counts;
    for (const ModelInstance& instance : model.Fleet)
    {
        counts[instance.Following.Origin]++;
    }
    const auto fewer = [](const auto& a, const auto& b)
    {
        return a.second < b.second;
    };
    return model.ByAddress.at(std::max_element(counts.begin(), counts.end(), fewer)->first);
}

// Plans the faults of one run from the time `from` on.
using FaultPlan = std::function<void(Model* model, TimeUs from)>;

static void Calm(Model*, TimeUs)
{
}

static void OneCrashesEveryTwoSeconds(Model* model, TimeUs from)
{
    for (TimeUs when = from; when < from + 12 * UsPerSecond; when += 2 * UsPerSecond)
    {
        const size_t instance = AnyInstance(model);
        StopAt(model, instance, ModelState_Crashed, when);
        StartAt(model, instance, when + 1500 * UsPerMs);
    }
}

static void OneFallsSilentEveryThreeSeconds(Model* model, TimeUs from)
{
    for (TimeUs when = from; when < from + 12 * UsPerSecond; when += 3 * UsPerSecond)
    {
        const size_t instance = AnyInstance(model);
        StopAt(model, instance, ModelState_Unresponsive, when);
        WakeAt(model, instance, when + 2900 * UsPerMs);
    }
}

static void OneRestartsEverySecond(Model* model, TimeUs from)
{
    for (TimeUs when = from; when < from + 12 * UsPerSecond; when += UsPerSecond)
    {
        const size_t instance = AnyInstance(model);
        StopAt(model, instance, ModelState_Crashed, when);
        StartAt(model, instance, when + 300 * UsPerMs);
    }
}

static void AllAreKilledAtOnce(Model* model, TimeUs from)
{
    for (size_t n = 0; n < model->Fleet.size(); n++)
    {
        StopAt(model, n, ModelState_Crashed, from);
        StartAt(model, n, from + UsPerSecond + std::uniform_int_distribution<TimeUs>(0, 300 * UsPerMs)(model->Rng));
    }
}

// The store turns a third of the instances away.
static void AllAreKilledWhileTheStoreRefusesSome(Model* model, TimeUs from)
{
    model->Refuses = [](size_t instance, TimeUs)
    {
        return instance % 3 == 1;
    };
    AllAreKilledAtOnce(model, from);
}

static void TheReaderFallsSilent(Model* model, TimeUs from)
{
    const auto silence = [=]()
    {
        StopAt(model, CommonReader(*model), ModelState_Unresponsive, model->Now);
    };
    for (const TimeUs when : {from, from + 4 * UsPerSecond, from + 8 * UsPerSecond})
    {
        ScheduleAt(model, when, silence);
    }
}

static void ThreeFallSilentTogether(Model* model, TimeUs from)
{
    for (size_t n = 0; n < SeedCount; n++)
    {
        StopAt(model, n, ModelState_Unresponsive, from);
        WakeAt(model, n, from + 8 * UsPerSecond);
    }
}

static void TwoCrashAndTheThirdFallsSilent(Model* model, TimeUs from)
{
    StopAt(model, 0, ModelState_Crashed, from);
    StopAt(model, 1, ModelState_Crashed, from);
    StopAt(model, 2, ModelState_Unresponsive, from);
}

static void ThreeFallSilentInTurn(Model* model, TimeUs from)
{
    StopAt(model, 0, ModelState_Unresponsive, from);
    StopAt(model, 1, ModelState_Unresponsive, from + 1200 * UsPerMs);
    StopAt(model, 2, ModelState_Unresponsive, from + 1600 * UsPerMs);
}

static void MostFallSilent(Model* model, TimeUs from)
{
    for (size_t n = 0; n < model->Fleet.size(); n++)
    {
        if (n % 10 != 9)
        {
            StopAt(model, n, ModelState_Unresponsive, from);
            WakeAt(model, n, from + 6 * UsPerSecond);
        }
    }
}

// The store answers nothing to the first instances and serves the others, for 6 s.
static void TheStoreIgnoresThree(Model* model, TimeUs from)
{
    model->SilentTo = [=](size_t instance)
    {
        return instance < SeedCount && model->Now >= from && model->Now < from + 6 * UsPerSecond;
    };
}

// The store refuses the first instances for 3 s; others read it for them meanwhile.
static void TheStoreRefusesThreeForAWhile(Model* model, TimeUs from)
{
    model->Refuses = [=](size_t instance, TimeUs now)
    {
        return instance < SeedCount && now >= from && now < from + 3 * UsPerSecond;
    };
}

// Instances that read the store for the first three still do so when most others fall silent.
static void MostFallSilentAfterTheStoreRefusedThree(Model* model, TimeUs from)
{
    TheStoreRefusesThreeForAWhile(model, from);
    MostFallSilent(model, from + 3 * UsPerSecond + std::uniform_int_distribution<TimeUs>(0, 2 * UsPerSecond)(model->Rng));
}

// Nine of ten instances have no path to the store for 6 s; all reach each other.
static void MostAreCutOffFromTheStore(Model* model, TimeUs from)
{
    const TimeUs until = from + 6 * UsPerSecond;
    const auto cut_until = [=](size_t instance, TimeUs end)
    {
        return instance % 10 != 9 && model->Now >= from && model->Now < end;
    };
    model->SilentTo = [=](size_t instance)
    {
        return cut_until(instance, until);
    };
    model->CutOff = model->SilentTo;
    model->OutOfTouch = [=](size_t instance)
    {
        return cut_until(instance, until + InTouchUs);
    };
}

// Draws this share of the instances.
static std::vector<bool> DrawShare(Model* model, double share)
{
    std::vector<size_t> order(model->Fleet.size());
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), model->Rng);
    std::vector<bool> drawn(order.size());
    for (size_t n = 0; n < static_cast<size_t>(share * static_cast<double>(order.size())); n++)
    {
        drawn[order[n]] = true;
    }
    return drawn;
}

// 0.93 of the instances, drawn anew each time, have no path to the store for a while; in between 0.9 are frozen for 4 s.
static void MostAreCutOffThenFrozenThenCutOff(Model* model, TimeUs from)
{
    struct Cut
    {
        std::vector<bool> Instances;
        TimeUs FromUs = 0;
        TimeUs UntilUs = 0;
    };
    constexpr double cut_share = 0.93;
    constexpr double frozen_share = 0.9;
    const TimeUs late = std::uniform_int_distribution<TimeUs>(0, UsPerSecond)(model->Rng);
    const std::vector<Cut> cuts = {{DrawShare(model, cut_share), from, from + 6 * UsPerSecond},
                                   {DrawShare(model, cut_share), from + 18 * UsPerSecond + late, from + 22 * UsPerSecond + late}};
    const auto is_cut = [=](size_t instance, TimeUs after)
    {
        const auto strikes = [&](const Cut& cut)
        {
            return cut.Instances[instance] && model->Now >= cut.FromUs && model->Now < cut.UntilUs + after;
        };
        return std::any_of(cuts.begin(), cuts.end(), strikes);
    };
    model->SilentTo = [=](size_t instance)
    {
        return is_cut(instance, 0);
    };
    model->CutOff = model->SilentTo;
    model->OutOfTouch = [=](size_t instance)
    {
        return is_cut(instance, InTouchUs);
    };
    const std::vector<bool> frozen = DrawShare(model, frozen_share);
    for (size_t n = 0; n < frozen.size(); n++)
    {
        if (frozen[n])
        {
            StopAt(model, n, ModelState_Unresponsive, from + 10 * UsPerSecond);
            WakeAt(model, n, from + 14 * UsPerSecond);
        }
    }
}

class FollowBoundTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(FollowBoundTest);
    CPPUNIT_TEST(DataIsFreshInCalmWithListsThatDiffer);
    CPPUNIT_TEST(DataIsFreshWhenAnyCrashWithListsThatDiffer);
    CPPUNIT_TEST(DataIsFreshWhenAnyFallSilentWithListsThatDiffer);
    CPPUNIT_TEST(DataIsFreshDuringRestartsWithListsThatDiffer);
    CPPUNIT_TEST(DataIsFreshAfterAKillOfAllWithListsThatDiffer);
    CPPUNIT_TEST(DataIsFreshWhenTheReaderFallsSilentWithListsThatDiffer);
    CPPUNIT_TEST(DataIsFreshWithListsOfAllKinds);
    CPPUNIT_TEST(DataIsFreshWhenAllNamedFallSilentTogether);
    CPPUNIT_TEST(DataIsFreshWhenAllNamedFallSilentInTurn);
    CPPUNIT_TEST(DataIsFreshWhenAllNamedAreLostInTwoWays);
    CPPUNIT_TEST(DataIsFreshWhenMostFallSilent);
    CPPUNIT_TEST(DataIsFreshWhenTheStoreIgnoresAllNamed);
    CPPUNIT_TEST(DataIsFreshWhereTheStoreIsReachableThoughMostAreCutOff);
    CPPUNIT_TEST(DataIsFreshWhileMostAreCutOffAndFrozenInTurn);
    CPPUNIT_TEST(DataIsFreshAfterTheStoreRefusedAllNamed);
    CPPUNIT_TEST(DataIsFreshWhenMostFallSilentAfterTheStoreRefusedAllNamed);
    CPPUNIT_TEST(RemovedTargetsAreDroppedInTimeThoughSourcesFallSilent);
    CPPUNIT_TEST_SUITE_END();

    static void CheckBound(const BoundCase& fleet, const FaultPlan& faults, const std::function<ModelSeeds(size_t)>& lists,
                           uint64_t runs = RunsEach, TimeUs end = 24 * UsPerSecond)
    {
        for (uint64_t seed = 1; seed <= runs; seed++)
        {
            Model model(fleet.Size, seed, lists ? lists(fleet.Size) : nullptr);
            StartAll(&model, 0, 0);
            RunUntil(&model, 6 * UsPerSecond);
            faults(&model, 10 * UsPerSecond);
            const BoundSeen seen = Watch(&model, end, fleet.BoundUs);
            const std::string text =
                fmt::format("{} instances, seed {}: {} ms old, {} late at once, removed targets kept for {} ms; {}", fleet.Size, seed,
                            seen.OldestUs / UsPerMs, seen.LateMax, seen.KeptUs / UsPerMs, DescribeCalls(model));
            CPPUNIT_ASSERT_MESSAGE(text, seen.OldestUs <= fleet.BoundUs);
            CPPUNIT_ASSERT_MESSAGE(text, seen.KeptUs <= ServesUs);
        }
    }

    static void CheckFleets(const FaultPlan& faults, const std::function<ModelSeeds(size_t)>& lists)
    {
        for (const BoundCase& fleet : Fleets)
        {
            CheckBound(fleet, faults, lists);
        }
    }

    // For faults that leave nobody in a fleet of three who could read the store.
    static void CheckFleetsBeyondThree(const FaultPlan& faults, const std::function<ModelSeeds(size_t)>& lists)
    {
        for (const BoundCase& fleet : Fleets)
        {
            if (fleet.Size > SeedCount)
            {
                CheckBound(fleet, faults, lists);
            }
        }
    }

    // Guards against a fleet without a lasting reader because each instance's settings name other seeds.
    void DataIsFreshInCalmWithListsThatDiffer()
    {
        CheckFleets(Calm, ListsOfOthers);
    }

    // Guards against stale data when sources crash and no seed list is shared.
    void DataIsFreshWhenAnyCrashWithListsThatDiffer()
    {
        CheckFleets(OneCrashesEveryTwoSeconds, ListsOfOthers);
    }

    // Guards against stale data when sources fall silent and no seed list is shared.
    void DataIsFreshWhenAnyFallSilentWithListsThatDiffer()
    {
        CheckFleets(OneFallsSilentEveryThreeSeconds, ListsOfOthers);
    }

    // Guards against stale data during restarts that each bring another seed list.
    void DataIsFreshDuringRestartsWithListsThatDiffer()
    {
        CheckFleets(OneRestartsEverySecond, ListsOfOthers);
    }

    // Guards against instances that stay without current data after a kill of all, each with another seed list afterwards.
    void DataIsFreshAfterAKillOfAllWithListsThatDiffer()
    {
        CheckFleets(AllAreKilledAtOnce, ListsOfOthers);
        CheckFleets(AllAreKilledWhileTheStoreRefusesSome, ListsOfOthers);
    }

    // Guards against a reader's loss that costs more than the bound.
    void DataIsFreshWhenTheReaderFallsSilentWithListsThatDiffer()
    {
        CheckFleetsBeyondThree(TheReaderFallsSilent, ListsOfOthers);
    }

    // Guards against rules that hold only for seed lists of one kind.
    void DataIsFreshWithListsOfAllKinds()
    {
        CheckFleets(Calm, ListsOfAllKinds);
        CheckFleets(OneFallsSilentEveryThreeSeconds, ListsOfAllKinds);
        CheckFleets(AllAreKilledAtOnce, ListsOfAllKinds);
    }

    // Guards against waits that add up when all seeds of a shared list fall silent at the same time.
    void DataIsFreshWhenAllNamedFallSilentTogether()
    {
        CheckFleets(ThreeFallSilentTogether, nullptr);
    }

    // Guards against waits that add up when each seed falls silent as it is tried.
    void DataIsFreshWhenAllNamedFallSilentInTurn()
    {
        CheckFleets(ThreeFallSilentInTurn, nullptr);
    }

    // Guards against waits that add up when two seeds crash and the third falls silent.
    void DataIsFreshWhenAllNamedAreLostInTwoWays()
    {
        CheckFleets(TwoCrashAndTheThirdFallsSilent, nullptr);
    }

    // Guards against stale data at the remaining instances when nine of ten are cut off or frozen.
    void DataIsFreshWhenMostFallSilent()
    {
        CheckFleets(MostFallSilent, nullptr);
        CheckFleets(MostFallSilent, ListsOfOthers);
    }

    // Guards against a delegation that starts only after all seeds have waited for the store in turn.
    void DataIsFreshWhenTheStoreIgnoresAllNamed()
    {
        CheckFleetsBeyondThree(TheStoreIgnoresThree, nullptr);
    }

    // Guards against instances that could reach the store and wait for sources that can't.
    void DataIsFreshWhereTheStoreIsReachableThoughMostAreCutOff()
    {
        CheckFleetsBeyondThree(MostAreCutOffFromTheStore, nullptr);
    }

    // Guards against instances that could reach the store and don't learn that their reader can't: it forgets when it asks others, or finds
    // out only after its followers have gone on to readers that don't know yet. Rare: it needs many runs.
    void DataIsFreshWhileMostAreCutOffAndFrozenInTurn()
    {
        constexpr uint64_t runs = 60;
        constexpr uint64_t runs_large = 5;
        constexpr TimeUs end = 36 * UsPerSecond;
        for (const BoundCase& fleet : Fleets)
        {
            if (fleet.Size > SeedCount)
            {
                CheckBound(fleet, MostAreCutOffThenFrozenThenCutOff, nullptr, fleet.Size < 100 ? runs : runs_large, end);
            }
        }
    }

    // Guards against an instance that reads the store for others and leaves it to follow one of them.
    void DataIsFreshAfterTheStoreRefusedAllNamed()
    {
        CheckFleetsBeyondThree(TheStoreRefusesThreeForAWhile, nullptr);
    }

    // Guards against stale data when an instance that reads the store for others stops doing so while most other sources are silent.
    void DataIsFreshWhenMostFallSilentAfterTheStoreRefusedAllNamed()
    {
        CheckFleetsBeyondThree(MostFallSilentAfterTheStoreRefusedThree, nullptr);
    }

    // Guards against requests to a target that has left: its entry goes while the source of updates does not respond, and the time for
    // which it is kept begins only when that is learnt. Changes are so rare that the data is as old as it gets when the entry goes.
    void RemovedTargetsAreDroppedInTimeThoughSourcesFallSilent()
    {
        constexpr uint64_t runs = uint64_t{2} * RunsEach;
        for (const FaultPlan& faults : {FaultPlan(TheReaderFallsSilent), FaultPlan(ThreeFallSilentInTurn), FaultPlan(MostFallSilent)})
        {
            for (uint64_t seed = 1; seed <= runs; seed++)
            {
                Model model(FleetSize, seed);
                model.EditUs = 1700 * UsPerMs;
                StartAll(&model, 0, 0);
                RunUntil(&model, 6 * UsPerSecond);
                faults(&model, 10 * UsPerSecond + static_cast<TimeUs>(seed) * 100 * UsPerMs);
                const BoundSeen seen = Watch(&model, 24 * UsPerSecond, ServesUs);
                const std::string text = fmt::format("seed {}: removed targets kept for {} ms", seed, seen.KeptUs / UsPerMs);
                CPPUNIT_ASSERT_MESSAGE(text, seen.KeptUs <= ServesUs);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowBoundTest);

} // namespace Winchlink
