// follow_load_test.cpp: a fleet of 473 instances, three of them seeds, that get the store's changes through a few readers, in virtual time.
// Guards against too many calls to the store and against stale data at any instance.

#include "follow_model.h"

#include <fmt/format.h>

namespace Winchlink
{

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
