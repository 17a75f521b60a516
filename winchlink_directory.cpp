// winchlink_directory.cpp: the target directory: target entries as read from the store.
//
// Entries follow the store with one exception: an entry that disappears without having been marked as draining may have been lost by a
// failing store while its target keeps serving. Such an entry is kept for a short time and used as a last resort. That time ends before a
// stopping target does, and is extended only after a known failure of the store. It begins when the entry was last known to be in the
// store: an instance whose source does not respond learns of a removal late.
//
// Evacuations are stored by data centre; each target has a copy of its data centre's state.
//
// Index of this file:
// [SECTION] Queries
// [SECTION] Entries
// [SECTION] Evacuations
// [SECTION] Expiry

#include "winchlink.h"

#include <algorithm>
#include <utility>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Queries
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

std::vector<std::string> DirectoryTakeCrashed(TargetDirectory* directory)
{
    return std::exchange(directory->Crashed, {});
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

void DirectoryStoreFailed(TargetDirectory* directory, TimeUs now)
{
    directory->StoreFailedUs = now;
    directory->StoreUnavailable = true;
}

void DirectoryStoreAnswered(TargetDirectory* directory, TimeUs now)
{
    if (directory->StoreUnavailable)
    {
        directory->StoreUnavailable = false;
        directory->StoreRecoveredUs = now;
    }
}

static void NoteCrash(TargetDirectory* directory, const DirectoryTarget& target)
{
    if (target.Presence != Presence_Draining)
    {
        directory->Crashed.push_back(TargetIncarnation(target.Id, target.Incarnation));
    }
}

void DirectoryPut(TargetDirectory* directory, const DirectoryTarget& target, TimeUs)
{
    DirectoryTarget& known = directory->Targets[target.Id];
    if (target.Revision < known.Revision)
    {
        return;
    }
    // The target may have announced draining before its entry shows it. Draining ends only with a new incarnation.
    const bool announced_draining = known.Presence == Presence_Draining && known.Incarnation == target.Incarnation;
    directory->ChangedServices.insert(known.Service); // The entry may have moved from another service.
    const bool restarted = !known.Id.empty() && known.Incarnation != target.Incarnation;
    if (restarted)
    {
        NoteCrash(directory, known);
    }
    known = target;
    known.Presence = announced_draining ? Presence_Draining : target.Presence;
    known.Evacuated = IsEvacuated(*directory, target.DataCentre);
    NoteChange(directory, known);
}

// Whether a recent failure of the store may have lost entries of running targets.
static bool MayHaveLostEntries(const TargetDirectory& directory, TimeUs now)
{
    const DirectoryConfig& config = directory.Config;
    return directory.StoreRecoveredUs > 0 && now < directory.StoreRecoveredUs + config.RecoveryUs + config.RecoveryGraceUs;
}

static TimeUs ExpiryTime(const TargetDirectory& directory, TimeUs present, TimeUs now)
{
    const DirectoryConfig& config = directory.Config;
    const TimeUs earliest = present + config.ServesRemovedUs - config.SendMarginUs;
    return MayHaveLostEntries(directory, now) ? std::max(earliest, directory.StoreRecoveredUs + config.RecoveryUs) : earliest;
}

static void MarkMissing(TargetDirectory* directory, DirectoryTarget* target, TimeUs present, TimeUs now)
{
    if (target->Presence == Presence_Ready)
    {
        target->Presence = Presence_Missing;
        target->ExpiryUs = ExpiryTime(*directory, present, now);
        NoteChange(directory, *target);
        if (!directory->StoreUnavailable && !MayHaveLostEntries(*directory, now))
        {
            directory->Crashed.push_back(TargetIncarnation(target->Id, target->Incarnation));
        }
    }
}

void DirectoryRemove(TargetDirectory* directory, const std::string& id, uint64_t revision, TimeUs present, TimeUs now)
{
    const auto found = directory->Targets.find(id);
    if (found == directory->Targets.end() || revision < found->second.Revision)
    {
        return;
    }
    if (found->second.Presence == Presence_Draining)
    {
        NoteChange(directory, found->second);
        directory->Targets.erase(found);
        return;
    }
    found->second.Revision = revision;
    MarkMissing(directory, &found->second, present, now);
}

void DirectoryKeepOnly(TargetDirectory* directory, const std::set<std::string>& ids, uint64_t revision, TimeUs present, TimeUs now)
{
    std::vector<std::string> missing; // Collected first: DirectoryRemove() changes the map.
    for (const auto& entry : directory->Targets)
    {
        if (ids.count(entry.first) == 0)
        {
            missing.push_back(entry.first);
        }
    }
    for (const std::string& id : missing)
    {
        DirectoryRemove(directory, id, revision, present, now);
    }
}

void DirectoryMarkReplaced(TargetDirectory* directory, const std::string& id)
{
    const auto found = directory->Targets.find(id);
    if (found != directory->Targets.end() && found->second.Presence != Presence_Draining)
    {
        NoteCrash(directory, found->second);
        found->second.Presence = Presence_Draining;
        NoteChange(directory, found->second);
    }
}

bool DirectoryMarkDraining(TargetDirectory* directory, const std::string& id, uint64_t incarnation)
{
    const auto found = directory->Targets.find(id);
    const bool is_new =
        found != directory->Targets.end() && found->second.Incarnation == incarnation && found->second.Presence != Presence_Draining;
    if (is_new)
    {
        found->second.Presence = Presence_Draining;
        NoteChange(directory, found->second);
    }
    return is_new;
}

//-----------------------------------------------------------------------------
// [SECTION] Evacuations
//-----------------------------------------------------------------------------

bool DirectoryEvacuate(TargetDirectory* directory, const std::string& data_centre, const Evacuation& evacuation)
{
    Evacuation& known = directory->Evacuations[data_centre];
    if (evacuation.Revision < known.Revision)
    {
        return false;
    }
    const bool changed = known.InForce != evacuation.InForce;
    known = evacuation;
    if (!changed)
    {
        return false;
    }
    for (auto& entry : directory->Targets)
    {
        if (entry.second.DataCentre == data_centre)
        {
            entry.second.Evacuated = evacuation.InForce;
            NoteChange(directory, entry.second);
        }
    }
    return true;
}

std::vector<std::string> DirectoryKeepOnlyEvacuated(TargetDirectory* directory, const std::set<std::string>& data_centres,
                                                    uint64_t revision)
{
    std::vector<std::string> lifted;
    for (const auto& entry : directory->Evacuations)
    {
        if (data_centres.count(entry.first) == 0 && entry.second.InForce && entry.second.Revision <= revision)
        {
            lifted.push_back(entry.first);
        }
    }
    for (const std::string& data_centre : lifted)
    {
        DirectoryEvacuate(directory, data_centre, {false, revision});
    }
    return lifted;
}

//-----------------------------------------------------------------------------
// [SECTION] Expiry
//-----------------------------------------------------------------------------

bool DirectoryRemoveExpired(TargetDirectory* directory, TimeUs now)
{
    bool any = false;
    for (auto entry = directory->Targets.begin(); entry != directory->Targets.end();)
    {
        const bool expired = entry->second.Presence == Presence_Missing && now >= entry->second.ExpiryUs;
        if (expired)
        {
            NoteChange(directory, entry->second);
        }
        entry = expired ? directory->Targets.erase(entry) : std::next(entry);
        any = any || expired;
    }
    return any;
}

std::optional<TimeUs> DirectoryNextExpiry(const TargetDirectory& directory)
{
    std::optional<TimeUs> next;
    for (const auto& entry : directory.Targets)
    {
        const DirectoryTarget& target = entry.second;
        const bool sooner = !next || target.ExpiryUs < *next;
        if (target.Presence == Presence_Missing && sooner)
        {
            next = target.ExpiryUs;
        }
    }
    return next;
}

} // namespace Winchlink
