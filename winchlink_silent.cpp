// winchlink_silent.cpp: targets that crash without closing their connections.
//
// An unanswered attempt is attributed to a crash of its target if the crash was detected soon after the attempt's start. Either event may
// arrive first, so both are kept for a while.
//
// Index of this file:
// [SECTION] Limits
// [SECTION] Events

#include "winchlink.h"

#include <algorithm>
#include <iterator>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Limits
//-----------------------------------------------------------------------------

// Whether a crash detected at time `detected_us` can have happened during the attempt.
static bool CanExplain(const SilentCrashes& silent, const UnansweredAttempt& attempt, TimeUs detected_us)
{
    return detected_us >= attempt.SentUs && detected_us < attempt.SentUs + silent.DetectionMaxUs;
}

template <class Entries, class Condition> static void RemoveIf(Entries* entries, const Condition& condition)
{
    entries->erase(std::remove_if(entries->begin(), entries->end(), condition), entries->end());
}

template <class Entries> static void LimitSize(Entries* entries, size_t max_size)
{
    while (entries->size() > max_size)
    {
        entries->pop_front();
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

bool SilentCrashesAddAttempt(SilentCrashes* silent, const UnansweredAttempt& attempt, TimeUs now)
{
    const auto crashed_during_attempt = [&](const CrashedTarget& target)
    {
        return target.Target == attempt.Target && CanExplain(*silent, attempt, target.DetectedUs);
    };
    if (std::any_of(silent->Targets.begin(), silent->Targets.end(), crashed_during_attempt))
    {
        return true;
    }
    if (CanExplain(*silent, attempt, now))
    {
        silent->Attempts.push_back(attempt);
        LimitSize(&silent->Attempts, silent->EntriesMax);
    }
    return false;
}

std::vector<UnansweredAttempt> SilentCrashesAddTarget(SilentCrashes* silent, const std::string& target, TimeUs now)
{
    const auto crashed_during_attempt = [&](const UnansweredAttempt& attempt)
    {
        return attempt.Target == target && CanExplain(*silent, attempt, now);
    };
    std::vector<UnansweredAttempt> affected;
    std::copy_if(silent->Attempts.begin(), silent->Attempts.end(), std::back_inserter(affected), crashed_during_attempt);
    RemoveIf(&silent->Attempts, crashed_during_attempt);
    silent->Targets.push_back({target, now});
    LimitSize(&silent->Targets, silent->EntriesMax);
    return affected;
}

void SilentCrashesAnswered(SilentCrashes* silent, const std::string& request)
{
    RemoveIf(&silent->Attempts, [&](const UnansweredAttempt& attempt) { return attempt.Request == request; });
}

void SilentCrashesExpire(SilentCrashes* silent, TimeUs now)
{
    RemoveIf(&silent->Attempts, [&](const UnansweredAttempt& attempt) { return !CanExplain(*silent, attempt, now); });
    RemoveIf(&silent->Targets, [&](const CrashedTarget& target) { return now >= target.DetectedUs + silent->RetentionUs; });
}

} // namespace Winchlink
