// winchlink_request.cpp: the life of one request and the retry budget.
//
// The rules are few and are asserted here, so that no path through the daemon can break them: a request that may not be repeated is sent
// at most once, and "not run" is said only where no attempt can have been run.
//
// Index of this file:
// [SECTION] Retry budget
// [SECTION] Request life

#include "winchlink.h"

#include <algorithm>
#include <cassert>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Retry budget
//-----------------------------------------------------------------------------

void RetryBudgetEarn(RetryBudget* b)
{
    b->Tokens = std::min(b->Most, b->Tokens + b->Share);
}

bool RetryBudgetSpend(RetryBudget* b)
{
    if (b->Tokens < 1)
    {
        return false;
    }
    b->Tokens -= 1;
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Request life
//-----------------------------------------------------------------------------

void RequestBegin(RequestLife* life)
{
    assert(!life->InAttempt && "one attempt at a time");
    assert(!life->Ended && "the caller has been told already");
    assert((life->Repeatable || life->MayHaveRun == 0) && "a request that may not be repeated may have been run already");
    assert(life->Attempts < AttemptsMax && "too many attempts");
    life->InAttempt = true;
    life->Attempts++;
}

static bool MayRetry(const RequestLife& life, bool time_left, RetryBudget* budget)
{
    const bool safe = life.Repeatable || life.MayHaveRun == 0;
    return safe && time_left && life.Attempts < AttemptsMax && RetryBudgetSpend(budget);
}

static NextStep_ StepAfter(const RequestLife& life, Outcome_ outcome)
{
    switch (outcome)
    {
    case Outcome_Answered:
    case Outcome_Failed:
        return NextStep_Answer;
    case Outcome_Cancelled:
        return NextStep_Gone;
    default:
        return life.MayHaveRun == 0 ? NextStep_NotRun : NextStep_Unknown;
    }
}

NextStep_ RequestEnd(RequestLife* life, Outcome_ outcome, bool time_left, RetryBudget* budget)
{
    assert(life->InAttempt && "begin the attempt first");
    assert(outcome != Outcome_None && "say how the attempt ended");
    life->InAttempt = false;
    const bool not_run = outcome == Outcome_NotSent || outcome == Outcome_NotRun;
    life->MayHaveRun += not_run ? 0 : 1;
    life->Failed = outcome == Outcome_Failed;
    const bool final = outcome == Outcome_Answered || outcome == Outcome_Cancelled;
    if (!final && MayRetry(*life, time_left, budget))
    {
        return NextStep_Retry;
    }
    life->Ended = true;
    const NextStep_ step = StepAfter(*life, outcome);
    assert((step != NextStep_NotRun || life->MayHaveRun == 0) && "'not run' must be true");
    return step;
}

} // namespace Winchlink
