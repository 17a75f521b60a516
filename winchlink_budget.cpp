// winchlink_budget.cpp: the measuring budget: a hard bound on what probes cost a row, for the fleet as a whole.
//
// How it works: a row with budget B ms of target time per second and probes of C ms has turns of C/B seconds. In each turn exactly one
// of the numbers that serve the row may probe, once. So the fleet spends at most C per turn, which is B per second, whatever anybody
// believes about who is alive. The turn of a dead instance is lost, which costs freshness and never budget. (Weighed against it in
// docs/DESIGN.md: shares by live count, which a short list breaks, and owners by rendezvous, which two views break.)
//
// Clocks: the fleet's wall clocks must agree within ClockGuardUs. A probe is allowed only in the middle of a turn, a guard away from
// both ends, so that two neighbours never take one turn for two.
//
// Index of this file:
// [SECTION] Turns
// [SECTION] Spending

#include "winchlink_internal.h"

#include <algorithm>
#include <cassert>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Turns
//-----------------------------------------------------------------------------

// Turns shorter than this leave too little room between the guards; the row then spends less than its budget, never more.
static constexpr int GuardsPerTurn = 4;

static TimeUs TurnLength(const ServiceRow& row, TimeUs guard)
{
    if (row.MeasuringBudgetMs <= 0)
    {
        return 0;
    }
    const TimeUs exact = static_cast<TimeUs>(row.ProbeCostMs) * UsPerSecond / row.MeasuringBudgetMs;
    return std::max(exact, GuardsPerTurn * guard);
}

// Which of the places of those that serve the row has that turn.
static uint32_t PlaceOfTurn(const std::string& row, int64_t turn, uint32_t count)
{
    return static_cast<uint32_t>(HashText(row + "#" + std::to_string(turn)) % count);
}

static bool SameTurns(const TurnRule& a, const TurnRule& b)
{
    return a.BudgetMs == b.BudgetMs && a.CostMs == b.CostMs && a.Range == b.Range;
}

static bool RuleCounts(const Budget& b, const ServiceRow& row, TimeUs wall_now)
{
    auto rule = b.Rules.find(row.Name);
    return rule == b.Rules.end() || wall_now >= rule->second.FromUs;
}

void BudgetInit(Budget* b, const BudgetConfig& config, TimeUs wall_now)
{
    assert(config.Number < config.Numbers && "numbers run from 0 to Numbers - 1");
    *b = Budget();
    b->Config = config;
    b->EmptyUntilUs = wall_now;
}

BudgetTurn BudgetLook(const Budget& b, const ServiceRow& row, TimeUs wall_now)
{
    BudgetTurn look;
    const TimeUs guard = b.Config.ClockGuardUs;
    look.LengthUs = TurnLength(row, guard);
    if (look.LengthUs == 0)
    {
        return look;
    }
    look.Turn = wall_now / look.LengthUs;
    const TimeUs into = wall_now % look.LengthUs;
    const bool middle = into >= guard && into < look.LengthUs - guard;
    // A process that replaced another under the same number may not know that the turn was used: its first turn is one that began
    // a whole turn after its own start.
    const bool old_enough = look.Turn * look.LengthUs >= b.EmptyUntilUs + look.LengthUs;
    const RowPlace place = PlaceInRow(row, b.Config.Number, b.Config.Numbers);
    const bool may = middle && old_enough && place.Serves && RuleCounts(b, row, wall_now);
    look.Mine = may && PlaceOfTurn(row.Name, look.Turn, place.Count) == place.Place;
    return look;
}

//-----------------------------------------------------------------------------
// [SECTION] Spending
//-----------------------------------------------------------------------------

bool BudgetSpend(Budget* b, const ServiceRow& row, TimeUs wall_now)
{
    const BudgetTurn look = BudgetLook(*b, row, wall_now);
    // By time and not by number: an edit of the budget changes the length of turns and so their numbers.
    auto last = b->SpentUntilUs.find(row.Name);
    const TimeUs start = look.Turn * look.LengthUs;
    const bool spent = last != b->SpentUntilUs.end() && start < last->second;
    if (!look.Mine || spent)
    {
        return false;
    }
    b->SpentUntilUs[row.Name] = start + look.LengthUs;
    b->Probes++;
    b->SpentUs += static_cast<uint64_t>(row.ProbeCostMs) * UsPerMs;
    return true;
}

// A row that we did not have may have been removed and come back with other turns: it waits as well, unless this is the first table.
static void FollowRules(Budget* b, const Table& table, TimeUs wall_now)
{
    std::map<std::string, TurnRule> rules;
    for (const ServiceRow& row : table.Rows)
    {
        TurnRule rule = {row.MeasuringBudgetMs, row.ProbeCostMs, RangeOfRow(row), 0};
        auto before = b->Rules.find(row.Name);
        const bool same = before != b->Rules.end() && SameTurns(before->second, rule);
        rule.FromUs = same ? before->second.FromUs : (b->HasTable ? wall_now + TableSpreadUs : 0);
        rules[row.Name] = rule;
    }
    b->Rules = std::move(rules);
    b->HasTable = b->HasTable || table.Version.Revision > 0; // Before, there was none that others could have had too.
}

void BudgetFollowTable(Budget* b, const Table& table, TimeUs wall_now)
{
    FollowRules(b, table, wall_now);
    for (auto it = b->SpentUntilUs.begin(); it != b->SpentUntilUs.end();)
    {
        const bool over = it->second <= wall_now;
        it = over && FindRow(table, it->first) == nullptr ? b->SpentUntilUs.erase(it) : std::next(it);
    }
}

} // namespace Winchlink
