// winchlink_budget.cpp: the retry budget.

#include "winchlink.h"

namespace Winchlink
{

static int64_t StepNumber(const RepeatBudget& budget, TimeUs at)
{
    return at / (budget.WindowUs / static_cast<TimeUs>(RepeatBudget::Steps));
}

// The ring entry for the step; it may still hold an older one.
static RepeatBudget::Step* RingEntry(RepeatBudget* budget, int64_t number)
{
    return &budget->Counts[static_cast<size_t>(number) % budget->Counts.size()];
}

static RepeatBudget::Step* StepAt(RepeatBudget* budget, TimeUs now)
{
    const int64_t number = StepNumber(*budget, now);
    RepeatBudget::Step* step = RingEntry(budget, number);
    if (step->Number != number)
    {
        *step = RepeatBudget::Step{number, 0, 0};
    }
    return step;
}

void RepeatBudgetRequest(RepeatBudget* budget, TimeUs now)
{
    StepAt(budget, now)->Requests++;
}

bool RepeatBudgetTake(RepeatBudget* budget, double part, TimeUs now)
{
    RepeatBudget::Step* current = StepAt(budget, now);
    const auto steps = static_cast<int64_t>(RepeatBudget::Steps);
    int requests = 0;
    int retries = 0;
    for (const RepeatBudget::Step& step : budget->Counts)
    {
        const int64_t age = current->Number - step.Number;
        // The oldest step lies only partly in the window. It counts for the retries but not for the requests, so that the share is never
        // exceeded.
        requests += step.Number >= 0 && age < steps ? step.Requests : 0;
        retries += step.Number >= 0 && age <= steps ? step.Retries : 0;
    }
    if (retries + 1 > part * (budget->Share * requests + budget->Extra))
    {
        return false;
    }
    current->Retries++;
    return true;
}

void RepeatBudgetReturn(RepeatBudget* budget, TimeUs taken)
{
    const int64_t number = StepNumber(*budget, taken);
    RepeatBudget::Step* step = RingEntry(budget, number);
    const bool still_counted = step->Number == number && step->Retries > 0; // Else the entry has been reused.
    step->Retries -= still_counted ? 1 : 0;
}

} // namespace Winchlink
