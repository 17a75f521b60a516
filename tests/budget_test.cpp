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

// A row whose turns change by edits, and instances that learn of them at times of their own.
struct EditedTurns
{
    Dice Rolls;
    Table Live;                                                // What the operator published last.
    std::vector<Budget> Budgets = std::vector<Budget>(Nodes);  // One per instance.
    std::vector<Table> Seen = std::vector<Table>(Nodes);       // What each has in force.
    std::vector<TimeUs> LearnsUs = std::vector<TimeUs>(Nodes); // When each learns of the last edit.
    TimeUs NextEditUs = StartUs;
    TimeUs SpentUntilUs = 0; // End of the last turn in which a probe was sent.
};

// Changes all that turns follow from. The longest turn is 4 s, and must be over when the new ones begin.
static void EditTurns(EditedTurns* e, TimeUs now)
{
    constexpr TimeUs longest_turn = 4 * UsPerSecond;
    ServiceRow& row = e->Live.Rows[0];
    e->Live.Version.Revision++;
    row.MeasuringBudgetMs = static_cast<int>(e->Rolls.Between(5, 60));
    row.ProbeCostMs = static_cast<int>(e->Rolls.Between(1, 21));
    row.FirstNumber = static_cast<int>(e->Rolls.Between(0, Nodes));
    row.Numbers = static_cast<int>(e->Rolls.Between(1, Nodes - row.FirstNumber + 1));
    for (TimeUs& learns : e->LearnsUs)
    {
        learns = now + e->Rolls.Between(0, TableSpreadUs - longest_turn);
    }
    e->NextEditUs = now + TableSpreadUs + e->Rolls.Between(0, 10 * UsPerSecond);
}

// What is spent in a turn of one version must be over before a turn of another begins.
static void SpendIfMine(EditedTurns* e, uint32_t n, TimeUs now)
{
    const ServiceRow& row = e->Seen[n].Rows[0];
    const BudgetTurn look = BudgetLook(e->Budgets[n], row, now);
    if (BudgetSpend(&e->Budgets[n], row, now))
    {
        RC_ASSERT(look.Turn * look.LengthUs >= e->SpentUntilUs);
        e->SpentUntilUs = (look.Turn + 1) * look.LengthUs;
    }
}

// `at_once` plants the fault: turns count from the edit on.
static void PlayEdits(bool at_once)
{
    EditedTurns e;
    e.Live.Version.Revision = 1;
    e.Live.Rows = {BudgetRow()};
    e.NextEditUs = StartUs + e.Rolls.Between(1, 10 * UsPerSecond);
    for (uint32_t n = 0; n < Nodes; n++)
    {
        BudgetInit(&e.Budgets[n], ConfigOf(n), StartUs - UsPerSecond);
        e.Seen[n] = e.Live;
        e.LearnsUs[n] = StartUs;
    }
    for (TimeUs now = StartUs; now < StartUs + 80 * UsPerSecond; now += 10 * UsPerMs)
    {
        if (now >= e.NextEditUs)
        {
            EditTurns(&e, now);
        }
        for (uint32_t n = 0; n < Nodes; n++)
        {
            if (now >= e.LearnsUs[n])
            {
                e.LearnsUs[n] = INT64_MAX;
                e.Seen[n] = e.Live;
                BudgetFollowTable(&e.Budgets[n], e.Seen[n], now);
                TurnRule* rule = &e.Budgets[n].Rules[BudgetRow().Name];
                rule->FromUs = at_once ? 0 : rule->FromUs;
            }
            SpendIfMine(&e, n, now);
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
