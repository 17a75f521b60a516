// budget_test.cpp: the measuring budget holds for the fleet, whatever the instances believe.
//
// The oracle is the target's: it sees probes arrive and knows nothing of turns but their length.

#include "check.h"

#include <numeric>
#include <set>

namespace Winchlink
{

static ServiceRow BudgetRow()
{
    ServiceRow row = MakeRow("counter", 1);
    row.MeasuringBudgetMs = 12;
    row.ProbeCostMs = 6; // Turns of half a second.
    return row;
}

// One instance with its own idea of the time.
struct BudgetNode
{
    Budget Own;
    TimeUs Skew = 0;        // Its wall clock minus the true one.
    TimeUs PausedUntil = 0; // Does nothing before.
};

enum BudgetFault_ : int
{
    BudgetFault_None,
    BudgetFault_NoEmptyStart,  // A replaced process may probe at once.
    BudgetFault_ClocksApart,   // Clocks differ by more than the guard.
    BudgetFault_SharesByCount, // Every instance probes at budget divided by the peers it sees; views are short.
};

static constexpr uint32_t Nodes = 4;
static constexpr TimeUs StartUs = 1700000000 * UsPerSecond;

static BudgetConfig ConfigOf(uint32_t number)
{
    BudgetConfig config;
    config.Number = number;
    config.Numbers = Nodes;
    return config;
}

static BudgetNode StartNode(Dice* dice, uint32_t number, TimeUs now, BudgetFault_ fault)
{
    BudgetNode node;
    const TimeUs most = fault == BudgetFault_ClocksApart ? 600 * UsPerMs : 49 * UsPerMs / 2;
    node.Skew = dice->Between(-most, most + 1);
    BudgetInit(&node.Own, ConfigOf(number), now + node.Skew);
    if (fault == BudgetFault_NoEmptyStart)
    {
        node.Own.EmptyUntilUs = 0;
    }
    return node;
}

// Two probes may not fall into one turn of true time.
static void PlayBudget(BudgetFault_ fault)
{
    const ServiceRow row = BudgetRow();
    const TimeUs turn = row.ProbeCostMs * UsPerSecond / row.MeasuringBudgetMs;
    Dice dice;
    TimeUs now = StartUs;
    std::vector<BudgetNode> nodes;
    for (uint32_t n = 0; n < Nodes; n++)
    {
        nodes.push_back(StartNode(&dice, n, now, fault));
    }
    std::map<int64_t, int> probes_of_turn;
    std::map<uint32_t, TimeUs> next_share;
    for (int step = 0; step < 3000; step++)
    {
        now += dice.Between(1, 20 * UsPerMs);
        const auto n = static_cast<uint32_t>(dice.Between(0, Nodes));
        const int64_t event = dice.Between(0, 200);
        if (event == 0)
        {
            nodes[n].PausedUntil = now + dice.Between(0, 3 * UsPerSecond);
        }
        else if (event == 1)
        {
            nodes[n] = StartNode(&dice, n, now, fault);
        }
        if (now < nodes[n].PausedUntil)
        {
            continue;
        }
        const bool by_share = fault == BudgetFault_SharesByCount && now >= next_share[n];
        if (by_share)
        {
            next_share[n] = now + turn * 2; // It sees one peer of three.
        }
        if (by_share || (fault != BudgetFault_SharesByCount && BudgetSpend(&nodes[n].Own, row, now + nodes[n].Skew)))
        {
            probes_of_turn[now / turn]++;
        }
    }
    for (const auto& entry : probes_of_turn)
    {
        RC_ASSERT(entry.second <= 1);
    }
    RC_ASSERT(fault != BudgetFault_None || !probes_of_turn.empty());
}

// Edits change a row's budget, its probes' cost and who serves it; each instance learns of an edit at a time of its own within the bound.
// What is spent in a turn of one version must be over before a turn of another begins. `at_once` plants the fault.
static void PlayEdits(bool at_once)
{
    constexpr TimeUs step = 10 * UsPerMs;
    Dice dice;
    Table table;
    table.Version.Revision = 1;
    table.Rows = {BudgetRow()};
    ServiceRow& row = table.Rows[0];
    std::vector<Budget> budgets(Nodes);
    std::vector<TimeUs> learns(Nodes, StartUs);
    std::vector<Table> seen(Nodes);
    TimeUs next_edit = StartUs + dice.Between(0, 10 * UsPerSecond);
    TimeUs spent_until = 0;
    for (uint32_t n = 0; n < Nodes; n++)
    {
        BudgetInit(&budgets[n], ConfigOf(n), StartUs - UsPerSecond);
    }
    for (TimeUs now = StartUs; now < StartUs + 80 * UsPerSecond; now += step)
    {
        if (now >= next_edit)
        {
            table.Version.Revision++;
            row.MeasuringBudgetMs = static_cast<int>(dice.Between(5, 60));
            row.ProbeCostMs = static_cast<int>(dice.Between(1, 20));
            row.FirstNumber = static_cast<int>(dice.Between(0, Nodes));
            row.Numbers = static_cast<int>(dice.Between(1, Nodes - row.FirstNumber + 1));
            for (TimeUs& learns_at : learns)
            {
                learns_at = now + dice.Between(0, TableSpreadUs - 5 * UsPerSecond); // Five seconds for the longest turn, 4 s, to end.
            }
            next_edit = now + TableSpreadUs + dice.Between(0, 10 * UsPerSecond);
        }
        for (uint32_t n = 0; n < Nodes; n++)
        {
            if (now >= learns[n])
            {
                learns[n] = INT64_MAX;
                seen[n] = table;
                BudgetFollowTable(&budgets[n], seen[n], now);
                budgets[n].Rules[row.Name].FromUs = at_once ? 0 : budgets[n].Rules[row.Name].FromUs;
            }
            const BudgetTurn look = BudgetLook(budgets[n], seen[n].Rows[0], now);
            if (BudgetSpend(&budgets[n], seen[n].Rows[0], now))
            {
                RC_ASSERT(look.Turn * look.LengthUs >= spent_until);
                spent_until = (look.Turn + 1) * look.LengthUs;
            }
        }
    }
}

class BudgetTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(BudgetTest);
    CPPUNIT_TEST(AtMostOneProbePerTurn);
    CPPUNIT_TEST(FindsShortViews);
    CPPUNIT_TEST(FindsClocksApart);
    CPPUNIT_TEST(FindsAFullStart);
    CPPUNIT_TEST(EveryNumberGetsTurns);
    CPPUNIT_TEST(NoBudgetNoProbe);
    CPPUNIT_TEST(AnEditDoesNotGiveASecondTurn);
    CPPUNIT_TEST(ARemovedRowIsRemembered);
    CPPUNIT_TEST(OnlyTheNumbersOfARowHaveTurns);
    CPPUNIT_TEST(EditsGiveNoTurnTwice);
    CPPUNIT_TEST(FindsTurnsThatChangeAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void AtMostOneProbePerTurn()
    {
        CHECK_PROPERTY("budget", []() { PlayBudget(BudgetFault_None); });
    }

    void FindsShortViews()
    {
        CHECK_FINDS_FAULT("planted: shares by count", []() { PlayBudget(BudgetFault_SharesByCount); });
    }

    void FindsClocksApart()
    {
        CHECK_FINDS_FAULT("planted: clocks apart", []() { PlayBudget(BudgetFault_ClocksApart); });
    }

    void FindsAFullStart()
    {
        CHECK_FINDS_FAULT("planted: no empty start", []() { PlayBudget(BudgetFault_NoEmptyStart); });
    }

    void EveryNumberGetsTurns()
    {
        const ServiceRow row = BudgetRow();
        std::set<uint32_t> seen;
        for (uint32_t n = 0; n < Nodes; n++)
        {
            Budget budget;
            BudgetInit(&budget, ConfigOf(n), StartUs);
            for (TimeUs now = StartUs; now < StartUs + 30 * UsPerSecond; now += 20 * UsPerMs)
            {
                if (BudgetSpend(&budget, row, now))
                {
                    seen.insert(n);
                }
            }
            CPPUNIT_ASSERT_EQUAL(budget.Probes * 6000, budget.SpentUs);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(Nodes), seen.size());
    }

    void NoBudgetNoProbe()
    {
        ServiceRow row = BudgetRow();
        row.MeasuringBudgetMs = 0;
        Budget budget;
        BudgetConfig alone;
        BudgetInit(&budget, alone, StartUs);
        for (TimeUs now = StartUs; now < StartUs + 10 * UsPerSecond; now += 20 * UsPerMs)
        {
            CPPUNIT_ASSERT(!BudgetSpend(&budget, row, now));
        }
    }

    void AnEditDoesNotGiveASecondTurn()
    {
        ServiceRow row = BudgetRow();
        Budget budget;
        BudgetConfig alone;
        BudgetInit(&budget, alone, StartUs);
        const TimeUs now = StartUs + 10 * UsPerSecond + 100 * UsPerMs;
        CPPUNIT_ASSERT(BudgetSpend(&budget, row, now));
        row.MeasuringBudgetMs = 24; // Turns of a quarter second: their numbers are other ones.
        CPPUNIT_ASSERT(!BudgetSpend(&budget, row, now + 1));
        CPPUNIT_ASSERT(BudgetSpend(&budget, row, now + 500 * UsPerMs));
    }

    void OnlyTheNumbersOfARowHaveTurns()
    {
        ServiceRow row = BudgetRow();
        row.FirstNumber = 3000;
        row.Numbers = 11;
        std::vector<int> probes(6600);
        for (uint32_t number = 2990; number < 3020; number++)
        {
            BudgetConfig config;
            config.Number = number;
            config.Numbers = 6600;
            Budget budget;
            BudgetInit(&budget, config, StartUs);
            for (TimeUs now = StartUs; now < StartUs + 100 * UsPerSecond; now += 100 * UsPerMs)
            {
                probes[number] += BudgetSpend(&budget, row, now) ? 1 : 0;
            }
        }
        for (size_t number = 0; number < probes.size(); number++)
        {
            CPPUNIT_ASSERT_EQUAL(number >= 3000 && number<3011, probes[number]> 0);
        }
        // No turn is lost on numbers that don't serve the row: all of 100 s of turns but the first few, which a fresh process lets pass.
        const int64_t turns = 100 * UsPerSecond / BudgetLook(Budget(), row, StartUs).LengthUs;
        CPPUNIT_ASSERT(std::accumulate(probes.begin(), probes.end(), int64_t(0)) >= turns - 4);
    }

    void EditsGiveNoTurnTwice()
    {
        CHECK_PROPERTY("turns under edits", []() { PlayEdits(false); });
    }

    void FindsTurnsThatChangeAtOnce()
    {
        CHECK_FINDS_FAULT("turns under edits", []() { PlayEdits(true); });
    }

    void ARemovedRowIsRemembered()
    {
        const ServiceRow row = BudgetRow();
        Budget budget;
        BudgetConfig alone;
        BudgetInit(&budget, alone, StartUs);
        const TimeUs now = StartUs + 10 * UsPerSecond + 100 * UsPerMs;
        CPPUNIT_ASSERT(BudgetSpend(&budget, row, now));
        BudgetFollowTable(&budget, Table(), now);
        CPPUNIT_ASSERT(!BudgetSpend(&budget, row, now + 1));
        BudgetFollowTable(&budget, Table(), now + UsPerSecond);
        CPPUNIT_ASSERT(budget.SpentUntilUs.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BudgetTest);

} // namespace Winchlink
