// winchlink_directory.cpp: the target directory: which targets there are, as a lagging store tells it.
//
// The store's word is taken as it comes, with one exception. An entry that goes without having said that it leaves may have been lost by a
// store in trouble while its target serves on. Such an entry is kept for a short time, as a last choice: not longer than a target that
// really left goes on serving, unless the store is known to have been in trouble.
//
// An evacuation is a property of a data centre, and each target carries what holds for its own.
//
// Index of this file:
// [SECTION] Reading
// [SECTION] Entries
// [SECTION] Evacuations
// [SECTION] Time

#include "winchlink.h"

#include <algorithm>
#include <utility>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Reading
//-----------------------------------------------------------------------------

std::map<std::string, TargetList> DirectoryByService(const TargetDirectory& directory)
{
    std::set<std::string> services;
    for (const auto& entry : directory.Targets)
    {
        services.insert(entry.second.Service);
    }
    return DirectoryOfServices(directory, services);
}

std::map<std::string, TargetList> DirectoryOfServices(const TargetDirectory& directory, const std::set<std::string>& services)
{
    std::map<std::string, TargetList> lists;
    for (const std::string& service : services)
    {
        lists[service];
    }
    for (const auto& entry : directory.Targets)
    {
        const auto list = lists.find(entry.second.Service);
        if (list != lists.end())
        {
            list->second.push_back(&entry.second);
        }
    }
    return lists;
}

std::set<std::string> DirectoryTakeChanged(TargetDirectory* directory)
{
    return std::exchange(directory->ChangedServices, {});
}

std::vector<std::string> DirectoryTakeEnded(TargetDirectory* directory)
{
    return std::exchange(directory->Ended, {});
}

//-----------------------------------------------------------------------------
// [SECTION] Entries
//-----------------------------------------------------------------------------

static bool IsEvacuated(const TargetDirectory& directory, const std::string& data_centre)
{
    const auto found = directory.Evacuations.find(data_centre);
    return found != directory.Evacuations.end() && found->second.InForce;
}

static void NoteChange(TargetDirectory* directory, const DirectoryTarget& target)
{
    directory->Changes++;
    directory->ChangedServices.insert(target.Service);
}

void DirectoryTrouble(TargetDirectory* directory, TimeUs now)
{
    directory->TroubleUs = now;
    directory->InTrouble = true;
}

void DirectoryAnswered(TargetDirectory* directory, TimeUs now)
{
    if (directory->InTrouble)
    {
        directory->InTrouble = false;
        directory->ReturnedUs = now;
    }
}

static void NoteEnded(TargetDirectory* directory, const DirectoryTarget& target)
{
    if (target.Presence != Presence_Leaving)
    {
        directory->Ended.push_back(TargetLife(target.Id, target.Life));
    }
}

void DirectoryPut(TargetDirectory* directory, const DirectoryTarget& target, TimeUs)
{
    DirectoryTarget& known = directory->Targets[target.Id];
    if (target.Revision < known.Revision)
    {
        return;
    }
    // Perhaps by the target itself; nobody comes back from leaving, but by another start.
    const bool told_us = known.Presence == Presence_Leaving && known.Life == target.Life;
    directory->ChangedServices.insert(known.Service); // It may have belonged to another one.
    const bool started_again = !known.Id.empty() && known.Life != target.Life;
    if (started_again)
    {
        NoteEnded(directory, known);
    }
    known = target;
    known.Presence = told_us ? Presence_Leaving : target.Presence;
    known.Evacuated = IsEvacuated(*directory, target.DataCentre);
    NoteChange(directory, known);
}

// Whether the store may have lost entries of targets that live.
static bool IsAfterTrouble(const TargetDirectory& directory, TimeUs now)
{
    const DirectoryConfig& config = directory.Config;
    return directory.ReturnedUs > 0 && now < directory.ReturnedUs + config.ReturnUs + config.TroubleMemoryUs;
}

static TimeUs ForgetTime(const TargetDirectory& directory, TimeUs now)
{
    const DirectoryConfig& config = directory.Config;
    const TimeUs soonest = now + config.VanishedUs;
    return IsAfterTrouble(directory, now) ? std::max(soonest, directory.ReturnedUs + config.ReturnUs) : soonest;
}

static void Vanish(TargetDirectory* directory, DirectoryTarget* target, TimeUs now)
{
    if (target->Presence == Presence_Ready)
    {
        target->Presence = Presence_Vanished;
        target->ForgetUs = ForgetTime(*directory, now);
        NoteChange(directory, *target);
        if (!directory->InTrouble && !IsAfterTrouble(*directory, now))
        {
            directory->Ended.push_back(TargetLife(target->Id, target->Life));
        }
    }
}

void DirectoryRemove(TargetDirectory* directory, const std::string& id, uint64_t revision, TimeUs now)
{
    const auto found = directory->Targets.find(id);
    if (found == directory->Targets.end() || revision < found->second.Revision)
    {
        return;
    }
    if (found->second.Presence == Presence_Leaving)
    {
        NoteChange(directory, found->second);
        directory->Targets.erase(found);
        return;
    }
    found->second.Revision = revision;
    Vanish(directory, &found->second, now);
}

void DirectoryKeep(TargetDirectory* directory, const std::set<std::string>& ids, uint64_t revision, TimeUs now)
{
    std::vector<std::string> missing; // Removing them changes the directory.
    for (const auto& entry : directory->Targets)
    {
        if (ids.count(entry.first) == 0)
        {
            missing.push_back(entry.first);
        }
    }
    for (const std::string& id : missing)
    {
        DirectoryRemove(directory, id, revision, now);
    }
}

void DirectoryLeaves(TargetDirectory* directory, const std::string& id)
{
    const auto found = directory->Targets.find(id);
    if (found != directory->Targets.end() && found->second.Presence != Presence_Leaving)
    {
        NoteEnded(directory, found->second);
        found->second.Presence = Presence_Leaving;
        NoteChange(directory, found->second);
    }
}

bool DirectoryToldLeaving(TargetDirectory* directory, const std::string& id, uint64_t life)
{
    const auto found = directory->Targets.find(id);
    const bool news = found != directory->Targets.end() && found->second.Life == life && found->second.Presence != Presence_Leaving;
    if (news)
    {
        found->second.Presence = Presence_Leaving;
        NoteChange(directory, found->second);
    }
    return news;
}

//-----------------------------------------------------------------------------
// [SECTION] Evacuations
//-----------------------------------------------------------------------------

bool DirectoryEvacuate(TargetDirectory* directory, const std::string& data_centre, const Evacuation& word)
{
    Evacuation& known = directory->Evacuations[data_centre];
    if (word.Revision < known.Revision)
    {
        return false;
    }
    const bool changed = known.InForce != word.InForce;
    known = word;
    if (!changed)
    {
        return false;
    }
    for (auto& entry : directory->Targets)
    {
        if (entry.second.DataCentre == data_centre)
        {
            entry.second.Evacuated = word.InForce;
            NoteChange(directory, entry.second);
        }
    }
    return true;
}

std::vector<std::string> DirectoryKeepEvacuated(TargetDirectory* directory, const std::set<std::string>& data_centres, uint64_t revision)
{
    std::vector<std::string> given_back;
    for (const auto& entry : directory->Evacuations)
    {
        if (data_centres.count(entry.first) == 0 && entry.second.InForce && entry.second.Revision <= revision)
        {
            given_back.push_back(entry.first);
        }
    }
    for (const std::string& data_centre : given_back)
    {
        DirectoryEvacuate(directory, data_centre, {false, revision});
    }
    return given_back;
}

//-----------------------------------------------------------------------------
// [SECTION] Time
//-----------------------------------------------------------------------------

bool DirectoryTick(TargetDirectory* directory, TimeUs now)
{
    bool any = false;
    for (auto entry = directory->Targets.begin(); entry != directory->Targets.end();)
    {
        const bool over = entry->second.Presence == Presence_Vanished && now >= entry->second.ForgetUs;
        if (over)
        {
            NoteChange(directory, entry->second);
        }
        entry = over ? directory->Targets.erase(entry) : std::next(entry);
        any = any || over;
    }
    return any;
}

std::optional<TimeUs> DirectoryNextForget(const TargetDirectory& directory)
{
    std::optional<TimeUs> next;
    for (const auto& entry : directory.Targets)
    {
        const DirectoryTarget& target = entry.second;
        const bool sooner = !next || target.ForgetUs < *next;
        if (target.Presence == Presence_Vanished && sooner)
        {
            next = target.ForgetUs;
        }
    }
    return next;
}

} // namespace Winchlink
