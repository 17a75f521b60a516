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

bool RequestMayHedge(const RequestLife& life, RetryBudget* budget)
{
    const bool may = life.Repeatable && life.InAttempt && !life.Hedged && life.Attempts < AttemptsMax;
    return may && budget->Tokens >= budget->Most / 2 && RetryBudgetSpend(budget);
}

void RequestHedgeBegin(RequestLife* life)
{
    assert(life->InAttempt && !life->Hedged && "hedge an attempt that is in progress, once");
    assert(life->Repeatable && "a request that may not be repeated is never hedged");
    assert(life->Attempts < AttemptsMax && "too many attempts");
    life->Hedged = true;
    life->Attempts++;
}

static bool MayHaveBeenRun(Outcome_ outcome)
{
    return outcome != Outcome_NotSent && outcome != Outcome_NotRun;
}

void RequestHedgeEnd(RequestLife* life, Outcome_ outcome)
{
    assert(life->Hedged && "there is no hedge to end");
    assert(outcome != Outcome_None && "say how the hedge ended");
    life->Hedged = false;
    life->MayHaveRun += MayHaveBeenRun(outcome) ? 1 : 0;
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
    assert(outcome != Outcome_None && outcome != Outcome_Outrun && "say how the attempt ended; the faster one's end is the request's");
    assert(!life->Hedged && "end the hedge first");
    life->InAttempt = false;
    life->MayHaveRun += MayHaveBeenRun(outcome) ? 1 : 0;
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
