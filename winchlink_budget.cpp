// winchlink_budget.cpp: the budget of repeated sends.

#include "winchlink.h"

namespace Winchlink
{

static RepeatBudget::Step* StepAt(RepeatBudget* budget, TimeUs now)
{
    const int64_t number = now / (budget->WindowUs / static_cast<TimeUs>(RepeatBudget::Steps));
    RepeatBudget::Step* step = &budget->Counts[static_cast<size_t>(number) % budget->Counts.size()];
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
    int repeats = 0;
    for (const RepeatBudget::Step& step : budget->Counts)
    {
        const int64_t age = current->Number - step.Number;
        // The window may begin anywhere within a step: such a step counts for the repeats and not for the requests.
        requests += step.Number >= 0 && age < steps ? step.Requests : 0;
        repeats += step.Number >= 0 && age <= steps ? step.Repeats : 0;
    }
    if (repeats + 1 > part * (budget->Share * requests + budget->Extra))
    {
        return false;
    }
    current->Repeats++;
    return true;
}

void RepeatBudgetReturn(RepeatBudget* budget, TimeUs now)
{
    RepeatBudget::Step* current = StepAt(budget, now);
    current->Repeats -= current->Repeats > 0 ? 1 : 0; // In another step it is left: too few repeats break no promise.
}

} // namespace Winchlink
