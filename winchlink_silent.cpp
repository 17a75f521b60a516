// winchlink_silent.cpp: targets that end under a request without closing their connections.
//
// An attempt that got no answer and a target that ended without a word belong together if the end was learnt soon after the attempt's
// start. Either may be known first, so both are kept for that time.
//
// Index of this file:
// [SECTION] Bounds
// [SECTION] What happened

#include "winchlink.h"

#include <algorithm>
#include <iterator>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Bounds
//-----------------------------------------------------------------------------

// Whether a target whose end was learnt then can have ended under the attempt.
static bool IsUnder(const SilentEnds& silent, const SilentAttempt& attempt, TimeUs learnt)
{
    return learnt >= attempt.SentUs && learnt < attempt.SentUs + silent.WithinUs;
}

template <class Entries, class Condition> static void RemoveIf(Entries* entries, const Condition& condition)
{
    entries->erase(std::remove_if(entries->begin(), entries->end(), condition), entries->end());
}

template <class Entries> static void Bound(Entries* entries, size_t most)
{
    while (entries->size() > most)
    {
        entries->pop_front();
    }
}

//-----------------------------------------------------------------------------
// [SECTION] What happened
//-----------------------------------------------------------------------------

bool SilentAttemptEnded(SilentEnds* silent, const SilentAttempt& attempt, TimeUs now)
{
    const auto ended_under_it = [&](const SilentTarget& target)
    {
        return target.Target == attempt.Target && IsUnder(*silent, attempt, target.LearntUs);
    };
    if (std::any_of(silent->Targets.begin(), silent->Targets.end(), ended_under_it))
    {
        return true;
    }
    if (IsUnder(*silent, attempt, now))
    {
        silent->Attempts.push_back(attempt);
        Bound(&silent->Attempts, silent->Most);
    }
    return false;
}

std::vector<SilentAttempt> SilentTargetEnded(SilentEnds* silent, const std::string& target, TimeUs now)
{
    const auto ended_under_it = [&](const SilentAttempt& attempt)
    {
        return attempt.Target == target && IsUnder(*silent, attempt, now);
    };
    std::vector<SilentAttempt> under;
    std::copy_if(silent->Attempts.begin(), silent->Attempts.end(), std::back_inserter(under), ended_under_it);
    RemoveIf(&silent->Attempts, ended_under_it);
    silent->Targets.push_back({target, now});
    Bound(&silent->Targets, silent->Most);
    return under;
}

void SilentAnswered(SilentEnds* silent, const std::string& request)
{
    RemoveIf(&silent->Attempts, [&](const SilentAttempt& attempt) { return attempt.Request == request; });
}

void SilentForget(SilentEnds* silent, TimeUs now)
{
    RemoveIf(&silent->Attempts, [&](const SilentAttempt& attempt) { return !IsUnder(*silent, attempt, now); });
    RemoveIf(&silent->Targets, [&](const SilentTarget& target) { return now >= target.LearntUs + silent->KeptUs; });
}

} // namespace Winchlink
