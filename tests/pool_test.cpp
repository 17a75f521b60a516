// pool_test.cpp: the order in which the target pool chooses targets, and the retry budget of a whole fleet.

#include "check.h"
#include "winchlink_internal.h"

#include <fmt/format.h>

namespace Winchlink
{

static TargetPool PoolOf(int targets)
{
    TargetDirectory directory;
    for (int n = 0; n < targets; n++)
    {
        DirectoryTarget target;
        target.Id = fmt::format("t{}", n);
        target.Service = "svc";
        target.Address = fmt::format("10.0.0.{}:80", n + 1);
        target.DataCentre = n % 2 == 0 ? "near" : "far";
        target.Slots = 3;
        target.Revision = 1;
        DirectoryPut(&directory, target, 0);
    }
    TargetPool pool;
    Random random(1);
    PoolSync(&pool, DirectoryByService(directory)["svc"], "near", &random);
    return pool;
}

// Times of all requests and retries of one service in the whole fleet. The budget applies to any span of the window's length.
struct FleetCounts
{
    std::vector<TimeUs> Requests;
    std::vector<TimeUs> Retries;
};

static int CountIn(const std::vector<TimeUs>& times, TimeUs from, TimeUs to)
{
    return static_cast<int>(std::count_if(times.begin(), times.end(), [&](TimeUs t) { return t >= from && t < to; }));
}

class PoolTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(PoolTest);
    CPPUNIT_TEST(ReadsLoadReports);
    CPPUNIT_TEST(ProbesNearTargetsFirst);
    CPPUNIT_TEST(ProbesFarTargetsBeforeSlowNearOnes);
    CPPUNIT_TEST(AvoidsFailingTargetsForAWhile);
    CPPUNIT_TEST(MissingTargetsComeLast);
    CPPUNIT_TEST(KeepsTheStateOfTargetsThatStay);
    CPPUNIT_TEST(PrefersTheSameTargetAmongEquals);
    CPPUNIT_TEST(ProbesNewTargetsUntilTheyGetARequest);
    CPPUNIT_TEST(TheNextTargetMatchesALinearSearch);
    CPPUNIT_TEST(CostsFollowLoadAndPace);
    CPPUNIT_TEST(AFleetKeepsTheRetryBudgetInEveryWindow);
    CPPUNIT_TEST(AnUnlimitedRetryBudgetIsDetected);
    CPPUNIT_TEST(AnUnusedRetryIsRefundedInAnyStep);
    CPPUNIT_TEST_SUITE_END();

    void ReadsLoadReports()
    {
        const std::optional<LoadReport> four = ParseLoadReport("2,5,3,480");
        CPPUNIT_ASSERT(four && four->Running == 2 && four->Waiting == 5 && four->Slots == 3 && four->PacePercent == 480);
        const std::optional<LoadReport> three = ParseLoadReport("3,0,8");
        CPPUNIT_ASSERT(three && three->Slots == 8 && three->PacePercent == 100);
        for (const char* bad : {"", "3", "a,b,c", "1,2", "-1,0,3", "1,0,0", "1,0,3,0"})
        {
            CPPUNIT_ASSERT_MESSAGE(bad, !ParseLoadReport(bad));
        }
    }

    void ProbesNearTargetsFirst()
    {
        TargetPool pool = PoolOf(6);
        std::vector<std::string> asked;
        for (int n = 0; n < 6; n++)
        {
            const PoolTarget* next = PoolNext(&pool, asked, false, UsPerSecond);
            CPPUNIT_ASSERT(next != nullptr);
            CPPUNIT_ASSERT_EQUAL(n < 3, next->Near);
            asked.push_back(next->Id);
        }
        CPPUNIT_ASSERT(PoolNext(&pool, asked, false, UsPerSecond) == nullptr);
    }

    void ProbesFarTargetsBeforeSlowNearOnes()
    {
        TargetPool pool = PoolOf(2);
        const TimeUs now = UsPerSecond;
        PoolReport(PoolFind(&pool, "t0"), {0, 0, 3, 500}, now);
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), PoolNext(&pool, {}, false, now + UsPerMs)->Id);
        const TimeUs later = now + pool.Config.ReportMaxAgeUs + 1; // The report is stale.
        CPPUNIT_ASSERT_EQUAL(std::string("t0"), PoolNext(&pool, {}, false, later)->Id);
    }

    void AvoidsFailingTargetsForAWhile()
    {
        TargetPool pool = PoolOf(4);
        TimeUs now = UsPerSecond;
        PoolTarget* failing = PoolFind(&pool, "t0");
        for (int n = 0; n < 10; n++)
        {
            PoolFailed(pool.Config, failing, now);
            CPPUNIT_ASSERT(PoolNext(&pool, {}, false, now)->Id != "t0");
            CPPUNIT_ASSERT(failing->AvoidUntilUs <= now + 16 * pool.Config.AvoidUs); // The backoff is bounded.
            now = failing->AvoidUntilUs;
        }
        PoolFailed(pool.Config, failing, now);
        PoolSucceeded(failing);
        CPPUNIT_ASSERT_EQUAL(TimeUs{0}, failing->AvoidUntilUs);
        // A request that may not be retried avoids the target for longer.
        CPPUNIT_ASSERT(PoolNext(&pool, {}, true, now)->Id != "t0");
        CPPUNIT_ASSERT_EQUAL(0, failing->FailuresInRow);
    }

    void MissingTargetsComeLast()
    {
        TargetPool pool = PoolOf(4);
        PoolFind(&pool, "t0")->EntryMissing = true;
        std::vector<std::string> asked;
        asked.reserve(3);
        for (int n = 0; n < 3; n++)
        {
            asked.push_back(PoolNext(&pool, asked, false, UsPerSecond)->Id);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("t0"), PoolNext(&pool, asked, false, UsPerSecond)->Id);
    }

    void KeepsTheStateOfTargetsThatStay()
    {
        TargetDirectory directory;
        DirectoryTarget target;
        target.Id = "t";
        target.Service = "svc";
        target.Revision = 1;
        DirectoryPut(&directory, target, 0);
        TargetPool pool;
        Random random(1);
        PoolSync(&pool, DirectoryByService(directory)["svc"], "near", &random);
        PoolFind(&pool, "t")->InFlight = 2;
        target.Id = "u";
        DirectoryPut(&directory, target, 0);
        PoolSync(&pool, DirectoryByService(directory)["svc"], "near", &random);
        CPPUNIT_ASSERT_EQUAL(size_t{2}, pool.Targets.size());
        CPPUNIT_ASSERT_EQUAL(2, PoolFind(&pool, "t")->InFlight);
        DirectoryMarkReplaced(&directory, "t");
        PoolSync(&pool, DirectoryByService(directory)["svc"], "near", &random);
        CPPUNIT_ASSERT(PoolFind(&pool, "t") == nullptr);
    }

    void PrefersTheSameTargetAmongEquals()
    {
        TargetPool pool = PoolOf(20);
        const std::string first = PoolNext(&pool, {}, false, UsPerSecond)->Id;
        for (int n = 0; n < 10; n++)
        {
            CPPUNIT_ASSERT_EQUAL(first, PoolNext(&pool, {}, false, n * UsPerSecond)->Id);
        }
    }

    void ProbesNewTargetsUntilTheyGetARequest()
    {
        TargetPool pool = PoolOf(20);
        pool.InUse = true;
        TargetDirectory directory;
        for (const PoolTarget& known : pool.Targets)
        {
            DirectoryTarget target;
            target.Id = known.Id;
            target.Service = "svc";
            target.DataCentre = known.Near ? "near" : "far";
            DirectoryPut(&directory, target, 0);
        }
        DirectoryTarget added;
        added.Id = "new";
        added.Service = "svc";
        added.DataCentre = "near";
        DirectoryPut(&directory, added, 0);
        Random random(7);
        PoolSync(&pool, DirectoryByService(directory)["svc"], "near", &random);
        CPPUNIT_ASSERT_EQUAL(std::string("new"), PoolNext(&pool, {}, false, UsPerSecond)->Id);
        PoolSent(&pool, PoolFind(&pool, "new"));
        PoolFind(&pool, "new")->InFlight = 0;
        CPPUNIT_ASSERT(!PoolFind(&pool, "new")->New);
    }

    // Reference implementation of PoolNext: a linear search over all targets.
    static std::string FindByLinearSearch(const TargetPool& pool, const std::vector<std::string>& passed, bool careful, TimeUs now)
    {
        const auto has_passed = [&](const PoolTarget& target)
        {
            return std::find(passed.begin(), passed.end(), target.Id) != passed.end();
        };
        const bool had_new =
            std::any_of(pool.Targets.begin(), pool.Targets.end(), [&](const PoolTarget& t) { return t.New && has_passed(t); });
        std::string best;
        PoolRank best_rank;
        for (const PoolTarget& target : pool.Targets)
        {
            const PoolRank rank = PoolRankOf(pool, target, had_new, careful, now);
            if (!has_passed(target) && (best.empty() || rank < best_rank))
            {
                best = target.Id;
                best_rank = rank;
            }
        }
        return best;
    }

    static DirectoryTarget DrawEntry(TestRandom* dice, int number, TimeUs now)
    {
        DirectoryTarget target;
        target.Id = fmt::format("t{}", number);
        target.DataCentre = dice->OneIn(2) ? "near" : "far";
        target.Slots = static_cast<int>(dice->Between(1, 4));
        target.Weight = static_cast<int>(dice->Between(1, 3));
        target.Presence = dice->OneIn(8) ? Presence_Missing : dice->OneIn(8) ? Presence_Draining : Presence_Ready;
        target.Evacuated = dice->OneIn(10);
        target.ColdUntilUs = dice->OneIn(4) ? now + dice->Between(0, 4) * UsPerSecond : 0;
        return target;
    }

    // Applies a random event to a target: a report, a request, an end, a failure or a success.
    static void ApplyRandomEvent(TestRandom* dice, TargetPool* pool, PoolTarget* target, TimeUs now)
    {
        switch (dice->Between(0, 5))
        {
        case 0:
            PoolReport(target, {static_cast<int>(dice->Between(0, 4)), 0, 3, static_cast<int>(dice->Between(90, 500))}, now);
            return;
        case 1:
            PoolSent(pool, target);
            return;
        case 2:
            target->InFlight = 0;
            return;
        case 3:
            PoolFailed(pool->Config, target, now);
            return;
        default:
            PoolSucceeded(target);
            return;
        }
    }

    void TheNextTargetMatchesALinearSearch()
    {
        CHECK_PROPERTY("whatever became of targets, the next one to ask is the one that a look at all of them finds",
                       []()
                       {
                           TestRandom dice;
                           TargetPool pool;
                           pool.Config.ColdPerS = dice.OneIn(2) ? 2.5 : 0;
                           pool.Config.ColdUs = 3 * UsPerSecond;
                           TimeUs now = 100 * UsPerSecond;
                           std::map<std::string, DirectoryTarget> listed;
                           for (int step = 0; step < 200; step++)
                           {
                               now += dice.Between(0, 80) * UsPerMs;
                               if (dice.OneIn(10))
                               {
                                   const DirectoryTarget changed = DrawEntry(&dice, static_cast<int>(dice.Between(0, 30)), now);
                                   listed[changed.Id] = changed;
                                   TargetList list;
                                   for (const auto& entry : listed)
                                   {
                                       list.push_back(&entry.second);
                                   }
                                   PoolSync(&pool, list, dice.OneIn(20) ? "far" : "near", &dice.Rng);
                               }
                               const bool careful = dice.OneIn(2);
                               std::vector<std::string> passed;
                               for (int n = 0; n < 4; n++)
                               {
                                   const std::string expected = FindByLinearSearch(pool, passed, careful, now);
                                   PoolTarget* next = PoolNext(&pool, passed, careful, now);
                                   RC_ASSERT((next != nullptr ? next->Id : "") == expected);
                                   if (next == nullptr)
                                   {
                                       break;
                                   }
                                   passed.push_back(next->Id);
                                   ApplyRandomEvent(&dice, &pool, next, now);
                               }
                           }
                       });
    }

    void CostsFollowLoadAndPace()
    {
        CHECK_PROPERTY("more work, a slower pace or a cold start never make a target cheaper",
                       []()
                       {
                           TestRandom dice;
                           const TargetPool pool;
                           const TimeUs now = 10 * UsPerSecond;
                           PoolTarget a;
                           const LoadReport report = {static_cast<int>(dice.Between(0, 4)), static_cast<int>(dice.Between(0, 6)), 3,
                                                      static_cast<int>(dice.Between(50, 600))};
                           PoolReport(&a, report, now);
                           const double cost = PoolCost(pool, a, now);
                           RC_ASSERT(cost > 0);
                           PoolTarget busier = a;
                           busier.SentSinceReport++;
                           RC_ASSERT(PoolCost(pool, busier, now) >= cost);
                           PoolTarget slower = a;
                           slower.Report.PacePercent += 50;
                           RC_ASSERT(PoolCost(pool, slower, now) >= cost);
                           PoolTarget cold = a;
                           cold.ColdUntilUs = now + 1;
                           RC_ASSERT(PoolCost(pool, cold, now) >= cost);
                       });
    }

    // Each instance's budget counts only its own requests; the limit applies to the sum over the fleet.
    static void SimulateFleet(bool unlimited)
    {
        TestRandom dice;
        const auto instances = static_cast<size_t>(dice.Between(1, 30));
        std::vector<RetryBudget> fleet(instances);
        FleetCounts counts;
        counts.Requests.reserve(4000);
        TimeUs now = 100 * UsPerSecond;
        const TimeUs window = fleet[0].WindowUs;
        for (int n = 0; n < 4000; n++)
        {
            // The load rises and falls, and instances get requests at random.
            now += dice.Between(0, n % 1000 < 500 ? 4 : 40) * UsPerMs;
            RetryBudget& budget = fleet[static_cast<size_t>(dice.Between(0, static_cast<int64_t>(instances)))];
            RetryBudgetCount(&budget, now);
            counts.Requests.push_back(now);
            if (dice.OneIn(2) && (RetryBudgetTake(&budget, dice.OneIn(2) ? 1.0 : 0.5, now) || unlimited))
            {
                counts.Retries.push_back(now);
            }
        }
        const double extra = 64; // Smallest allowance; it grows with the fleet.
        const double allowed_extra = std::max(extra, 2.0 * static_cast<double>(instances));
        for (const TimeUs at : counts.Retries)
        {
            const TimeUs from = at + 1 - window;
            const int retries = CountIn(counts.Retries, from, at + 1);
            const int max = std::max({CountIn(counts.Requests, from, at + 1), CountIn(counts.Requests, from - window, from),
                                      CountIn(counts.Requests, from - window / 2, from + window / 2)});
            RC_ASSERT(retries <= 0.2 * max + allowed_extra);
        }
    }

    void AFleetKeepsTheRetryBudgetInEveryWindow()
    {
        CHECK_COSTLY_PROPERTY(10, "repeats of the fleet in any window are within the users' budget", []() { SimulateFleet(false); });
    }

    void AnUnlimitedRetryBudgetIsDetected()
    {
        CHECK_FINDS_FAULT("repeats that ask nobody break the users' budget", []() { SimulateFleet(true); });
    }

    // A request that takes a retry from the budget but finds no target gives it back. Guards against losing that retry when a step of the
    // budget's window ended in between.
    void AnUnusedRetryIsRefundedInAnyStep()
    {
        RetryBudget budget;
        const TimeUs step = budget.WindowUs / static_cast<TimeUs>(RetryBudget::Steps);
        const TimeUs taken = 100 * step - 1; // The last microsecond of a step.
        RetryBudgetCount(&budget, taken);
        for (TimeUs later = 0; later < budget.WindowUs; later += step)
        {
            CPPUNIT_ASSERT(RetryBudgetTake(&budget, 1.0, taken));
            CPPUNIT_ASSERT(!RetryBudgetTake(&budget, 1.0, taken + later));
            RetryBudgetRefund(&budget, taken);
            CPPUNIT_ASSERT(RetryBudgetTake(&budget, 1.0, taken + later));
            RetryBudgetRefund(&budget, taken + later);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolTest);

} // namespace Winchlink
