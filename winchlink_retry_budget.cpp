// winchlink_retry_budget.cpp: the retry budget, and which requests are a caller's later tries.
//
// Index of this file:
// [SECTION] Budget
// [SECTION] Callers that come back

#include "winchlink.h"

#include <algorithm>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Budget
//-----------------------------------------------------------------------------

static int64_t StepNumber(const RetryBudget& budget, TimeUs at)
{
    return at / (budget.WindowUs / static_cast<TimeUs>(RetryBudget::Steps));
}

// The ring entry for the step; it may still hold an older one.
static RetryBudget::Step* RingEntry(RetryBudget* budget, int64_t number)
{
    return &budget->Counts[static_cast<size_t>(number) % budget->Counts.size()];
}

static RetryBudget::Step* StepAt(RetryBudget* budget, TimeUs now)
{
    const int64_t number = StepNumber(*budget, now);
    RetryBudget::Step* step = RingEntry(budget, number);
    if (step->Number != number)
    {
        *step = RetryBudget::Step{number, 0, 0};
    }
    return step;
}

void RetryBudgetCount(RetryBudget* budget, TimeUs now)
{
    StepAt(budget, now)->Requests++;
}

void RetryBudgetUncount(RetryBudget* budget, TimeUs counted)
{
    const int64_t number = StepNumber(*budget, counted);
    RetryBudget::Step* step = RingEntry(budget, number);
    const bool still_counted = step->Number == number && step->Requests > 0; // Else the entry has been reused.
    step->Requests -= still_counted ? 1 : 0;
}

bool RetryBudgetTake(RetryBudget* budget, double part, TimeUs now, int least)
{
    RetryBudget::Step* current = StepAt(budget, now);
    const auto steps = static_cast<int64_t>(RetryBudget::Steps);
    int requests = 0;
    int retries = 0;
    for (const RetryBudget::Step& step : budget->Counts)
    {
        const int64_t age = current->Number - step.Number;
        // The oldest step lies only partly in the window. It counts for the retries but not for the requests, so that the share is never
        // exceeded.
        requests += step.Number >= 0 && age < steps ? step.Requests : 0;
        retries += step.Number >= 0 && age <= steps ? step.Retries : 0;
    }
    const double allowed = budget->Share * requests + budget->Extra;
    if (retries + 1 > std::max(part * allowed, std::min(allowed, static_cast<double>(least))))
    {
        return false;
    }
    current->Retries++;
    return true;
}

void RetryBudgetRefund(RetryBudget* budget, TimeUs taken)
{
    const int64_t number = StepNumber(*budget, taken);
    RetryBudget::Step* step = RingEntry(budget, number);
    const bool still_counted = step->Number == number && step->Retries > 0; // Else the entry has been reused.
    step->Retries -= still_counted ? 1 : 0;
}

//-----------------------------------------------------------------------------
// [SECTION] Callers that come back
//-----------------------------------------------------------------------------

TimeUs CallerTimeoutsNote(CallerTimeouts* timeouts, TimeUs timeout, TimeUs now)
{
    if (now >= timeouts->WindowEndUs)
    {
        const bool next = now < timeouts->WindowEndUs + CallerTimeouts::WindowUs;
        timeouts->FormerUs = next ? timeouts->LongestUs : 0;
        timeouts->LongestUs = 0;
        timeouts->WindowEndUs = now + CallerTimeouts::WindowUs;
    }
    timeouts->LongestUs = std::max(timeouts->LongestUs, timeout);
    const TimeUs missing = std::max(timeouts->LongestUs, timeouts->FormerUs) - timeout;
    return missing >= CallerTimeouts::ReturnMinUs ? missing : 0;
}

bool CallerReturnsInTime(const RefusedTry& refused)
{
    return refused.First && static_cast<double>(refused.ReturnUs) + refused.WorkUs < static_cast<double>(refused.LeftUs);
}

} // namespace Winchlink
