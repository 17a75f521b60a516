// winchlink_path.cpp: whether this instance reaches a service's targets.
//
// Index of this file:
// [SECTION] Names
// [SECTION] Own link
// [SECTION] State

#include "winchlink.h"

#include <algorithm>
#include <cassert>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Names
//-----------------------------------------------------------------------------

const char* ContactEndName(ContactEnd_ end)
{
    static const std::array<const char*, ContactEnd_COUNT> names = {"none", "answered", "refused", "reset", "silent", "late"};
    assert(end >= 0 && end < ContactEnd_COUNT && "not an outcome of a contact");
    return names[end];
}

const char* TargetPathStateName(TargetPathState_ state)
{
    static const std::array<const char*, TargetPathState_COUNT> names = {"open", "lost", "trial"};
    assert(state >= 0 && state < TargetPathState_COUNT && "not a state of a path");
    return names[state];
}

//-----------------------------------------------------------------------------
// [SECTION] Own link
//-----------------------------------------------------------------------------

static TimeUs TakesUs(const OwnLink& link, size_t bytes)
{
    return link.BytesPerS > 0 ? static_cast<TimeUs>(static_cast<double>(bytes) / link.BytesPerS * UsPerSecond) : 0;
}

void OwnLinkSent(OwnLink* link, size_t bytes, TimeUs now)
{
    // A bandwidth that is told too low must not leave a backlog that outlasts the traffic.
    const TimeUs from = std::max(link->SentUntilUs, now);
    link->SentUntilUs = std::max(from, std::min(from + TakesUs(*link, bytes), now + link->ExtraMaxUs));
    link->SentUs += link->SentUntilUs - from;
}

void OwnLinkReceived(OwnLink* link, size_t bytes)
{
    link->ReceivedUs += TakesUs(*link, bytes);
}

TimeUs OwnLinkOccupiedUs(const OwnLink& link, TimeUs now)
{
    return link.SentUs - std::max<TimeUs>(link.SentUntilUs - now, 0) + link.ReceivedUs;
}

TimeUs OwnLinkExtraUs(const OwnLink& link, TimeUs occupied, TimeUs now)
{
    return std::min(OwnLinkOccupiedUs(link, now) - occupied, link.ExtraMaxUs);
}

TimeUs OwnLinkMoreUs(const OwnLink& link, TimeUs occupied, TimeUs granted, TimeUs now)
{
    const TimeUs more = OwnLinkExtraUs(link, occupied, now) - granted;
    return more >= link.StepMinUs ? more : 0;
}

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

int UnreachedContacts(const ContactCounts& counts)
{
    return counts[ContactEnd_Refused] + counts[ContactEnd_Silent] + counts[ContactEnd_Late];
}

int FailedContacts(const ContactCounts& counts)
{
    return UnreachedContacts(counts) + counts[ContactEnd_Reset];
}

bool TargetPathResetsCount(const TargetPath& path, TimeUs now)
{
    return now >= path.AnsweredUs + path.Config.ResetUs;
}

static void ChangeState(TargetPath* path, TargetPathState_ state, TimeUs now)
{
    path->State = state;
    path->ChangedUs = now;
}

static void StartTrial(TargetPath* path, TimeUs now)
{
    ChangeState(path, TargetPathState_Trial, now);
    path->TrialUs = path->TrialUs == 0 ? path->Config.TrialUs : std::min(2 * path->TrialUs, path->Config.TrialMaxUs);
}

static void Lose(TargetPath* path, TimeUs now)
{
    const bool calm = path->LostUs == 0 || now >= path->LostUs + path->Config.CalmUs;
    path->TrialUs = calm ? 0 : path->TrialUs;
    path->LostUs = now;
    path->Losses++;
    ChangeState(path, TargetPathState_Lost, now);
}

static bool OnAnswer(TargetPath* path, TimeUs now)
{
    path->Counts = {};
    path->Failed.clear();
    path->AnsweredUs = now;
    if (path->State != TargetPathState_Lost)
    {
        return false;
    }
    StartTrial(path, now);
    return true;
}

// Whether the late contacts among those that failed may count: targets that are just slow answer before SilentMin contacts are silent.
static bool IsConfirmed(const TargetPath& path, int failed)
{
    const int late = path.Counts[ContactEnd_Late];
    return late == 0 || failed - late >= path.Config.FailedMin || path.Counts[ContactEnd_Silent] >= path.Config.SilentMin;
}

static bool OnFailure(TargetPath* path, const std::string& target, ContactEnd_ end, size_t targets, TimeUs now)
{
    const auto failed_min = static_cast<size_t>(path->Config.FailedMin);
    path->Counts[end]++;
    if (path->Failed.size() < failed_min)
    {
        path->Failed.insert(target);
    }
    const int failed = TargetPathResetsCount(*path, now) ? FailedContacts(path->Counts) : UnreachedContacts(path->Counts);
    const bool enough = failed >= path->Config.FailedMin && path->Failed.size() >= std::min(failed_min, targets);
    if (!enough || !IsConfirmed(*path, failed) || path->State == TargetPathState_Lost)
    {
        return false;
    }
    Lose(path, now);
    return true;
}

bool TargetPathContact(TargetPath* path, const std::string& target, ContactEnd_ end, size_t targets, TimeUs now)
{
    TargetPathNow(path, now);
    path->Contacts[end]++;
    if (end == ContactEnd_None)
    {
        return false;
    }
    return end == ContactEnd_Answered ? OnAnswer(path, now) : OnFailure(path, target, end, targets, now);
}

bool TargetPathLate(TargetPath* path, const std::string& target, TimeUs begun, size_t targets, TimeUs now)
{
    if (begun < path->AnsweredUs)
    {
        path->Contacts[ContactEnd_Late]++;
        return false;
    }
    return TargetPathContact(path, target, ContactEnd_Late, targets, now);
}

bool TargetPathLateEnded(TargetPath* path, const std::string& target, ContactEnd_ end, TimeUs begun, size_t targets, TimeUs now)
{
    const bool counted = begun >= path->AnsweredUs;
    if (!counted && end != ContactEnd_Answered)
    {
        path->Contacts[end]++;
        return false;
    }
    if (end == ContactEnd_Answered && path->State == TargetPathState_Lost && begun < path->LostUs)
    {
        path->Contacts[end]++;
        path->AnsweredUs = now;
        TargetPathForget(path, now); // The path was there all the time: no trial.
        return true;
    }
    int* late = &path->Counts[ContactEnd_Late];
    *late = std::max(*late - 1, 0); // TargetPathNewTarget() may have cleared it.
    return TargetPathContact(path, target, end, targets, now);
}

TargetPathState_ TargetPathNow(TargetPath* path, TimeUs now)
{
    if (path->State == TargetPathState_Trial && now >= path->ChangedUs + path->TrialUs)
    {
        ChangeState(path, TargetPathState_Open, now);
    }
    return path->State;
}

void TargetPathNewTarget(TargetPath* path)
{
    path->Counts = {};
    path->Failed.clear();
}

void TargetPathForget(TargetPath* path, TimeUs now)
{
    TargetPathNewTarget(path);
    ChangeState(path, TargetPathState_Open, now);
}

bool TargetPathIsCertain(const TargetPath& path)
{
    return path.State == TargetPathState_Lost && FailedContacts(path.Counts) >= path.Config.CertainMin;
}

TimeUs TargetPathCheckDelay(const TargetPath& path, TimeUs now)
{
    const bool needed = path.NeededUs > 0 && now < path.NeededUs + path.Config.NeededUs;
    return needed ? path.Config.CheckUs : path.Config.CheckIdleUs;
}

} // namespace Winchlink
