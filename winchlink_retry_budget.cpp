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

bool RetryBudgetAllows(const RetryBudget& budget, double part, TimeUs now, int least)
{
    const int64_t current = StepNumber(budget, now);
    const auto steps = static_cast<int64_t>(RetryBudget::Steps);
    int requests = 0;
    int retries = 0;
    for (const RetryBudget::Step& step : budget.Counts)
    {
        const int64_t age = current - step.Number;
        // The oldest step lies only partly in the window. It counts for the retries but not for the requests, so that the share is never
        // exceeded.
        requests += step.Number >= 0 && age < steps ? step.Requests : 0;
        retries += step.Number >= 0 && age <= steps ? step.Retries : 0;
    }
    const double allowed = budget.Share * requests + budget.Extra;
    return retries + 1 <= std::max(part * allowed, std::min(allowed, static_cast<double>(least)));
}

bool RetryBudgetTake(RetryBudget* budget, double part, TimeUs now, int least)
{
    if (!RetryBudgetAllows(*budget, part, now, least))
    {
        return false;
    }
    StepAt(budget, now)->Retries++;
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

static void BeginWindow(CallerTimeouts* timeouts, TimeUs now)
{
    const bool next = now < timeouts->WindowEndUs + CallerTimeouts::WindowUs;
    timeouts->FormerUs = next ? timeouts->LongestUs : decltype(timeouts->FormerUs)();
    timeouts->LongestUs = {};
    timeouts->WindowEndUs = now + CallerTimeouts::WindowUs;
}

static size_t OctaveOf(TimeUs timeout)
{
    size_t octave = 0;
    for (; timeout > 1 && octave + 1 < CallerTimeouts::Octaves; timeout /= 2)
    {
        octave++;
    }
    return octave;
}

// The longest timeout of which this one may be what is left.
static TimeUs FirstTimeout(const CallerTimeouts& timeouts, TimeUs timeout)
{
    TimeUs first = timeout;
    for (size_t octave = OctaveOf(timeout); octave < CallerTimeouts::Octaves; octave++)
    {
        for (const TimeUs named : {timeouts.LongestUs[octave], timeouts.FormerUs[octave]})
        {
            first = named / CallerTimeouts::ReturnPart <= timeout ? std::max(first, named) : first;
        }
    }
    return first;
}

TimeUs CallerTimeoutsNote(CallerTimeouts* timeouts, TimeUs timeout, TimeUs now)
{
    if (now >= timeouts->WindowEndUs)
    {
        BeginWindow(timeouts, now);
    }
    TimeUs* longest = &timeouts->LongestUs[OctaveOf(timeout)];
    *longest = std::max(*longest, timeout);
    const TimeUs missing = FirstTimeout(*timeouts, timeout) - timeout;
    return missing >= CallerTimeouts::ReturnMinUs ? missing : 0;
}

bool CallerReturnsInTime(const RefusedTry& refused)
{
    return refused.First && static_cast<double>(refused.ReturnUs) + refused.WorkUs < static_cast<double>(refused.LeftUs);
}

} // namespace Winchlink
