// store_updates.cpp: applies items of the store: plan, targets, evacuations, and invalid items.
//
// Index of this file:
// [SECTION] Plan
// [SECTION] Targets
// [SECTION] Evacuations
// [SECTION] Invalid items
// [SECTION] Batches

#include "store_updates.h"

#include "clock.h"

#include <algorithm>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Plan
//-----------------------------------------------------------------------------

static constexpr size_t HandoffHeaderBytes = 2 * KiB; // Added to a request that another instance hands on.

static void ApplyPlan(Gateway* gateway, const RoutePlan& plan)
{
    Forwarder& requests = gateway->Requests;
    const uint64_t current = requests.Plan ? requests.Plan->Version : 0;
    if (plan.Version <= current)
    {
        return; // Already in force, or older.
    }
    requests.Plan = std::make_shared<const RoutePlan>(plan);
    gateway->PlanUs = NowUs();
    ListenerSetLimits(&gateway->Callers, plan.Limits);
    CallerLimits of_peers = gateway->Peers.Server.Config.Limits;
    of_peers.HeaderBytesMax = plan.Limits.HeaderBytesMax + HandoffHeaderBytes;
    of_peers.BodyBytesMax = std::max(of_peers.BodyBytesMax, plan.Limits.BodyBytesMax);
    ListenerSetLimits(&gateway->Peers.Server, of_peers);
    QuotaLinkUpdate(&gateway->Quotas);
    Log(LogLevel_Info, Code_None, "plan in force",
        {{"version", plan.Version},
         {"before", current},
         {"routes", static_cast<int>(plan.Routes.size())},
         {"customers", static_cast<int>(plan.Callers.List.size())}});
}

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

// Summary, for the log, of the changes to one service's targets in one answer of the source.
struct TargetChanges
{
    int Ready = 0;    // New or changed entries of ready targets.
    int Draining = 0; // Entries of draining targets.
    int Gone = 0;     // Removed entries.
    std::string Ids;  // All draining and removed targets, and the first ReadyNamedMax ready ones.
};

static constexpr int ReadyNamedMax = 5;

static void CountChange(const TargetUpdate& update, const std::string& service, std::map<std::string, TargetChanges>* changes)
{
    TargetChanges& of_service = (*changes)[service];
    const bool draining = !update.Gone && update.Target.Presence == Presence_Draining;
    of_service.Gone += update.Gone ? 1 : 0;
    of_service.Draining += draining ? 1 : 0;
    of_service.Ready += update.Gone || draining ? 0 : 1;
    if (update.Gone || draining || of_service.Ready <= ReadyNamedMax)
    {
        of_service.Ids += (of_service.Ids.empty() ? "" : " ") + update.Target.Id + (update.Gone ? ":gone" : draining ? ":leaving" : "");
    }
}

// Writes one line per service rather than per entry, to limit the size of the log.
static void LogChanges(const std::map<std::string, TargetChanges>& changes, const StoreBatch& batch)
{
    const TimeUs after = batch.AfterUs > 0 ? NowUs() - batch.AfterUs : -1;
    for (const auto& [service, of_service] : changes)
    {
        Log(LogLevel_Info, Code_None, "targets changed",
            {{"service", service},
             {"ready", of_service.Ready},
             {"leaving", of_service.Draining},
             {"gone", of_service.Gone},
             {"targets", of_service.Ids},
             {"revision", batch.Revision},
             {"changedWithinUs", after}});
    }
}

// Logs all targets after a full read, one line per service.
static void LogAllTargets(const Gateway& gateway, uint64_t at)
{
    for (const auto& [service, targets] : DirectoryByService(gateway.Requests.Directory))
    {
        std::string ids;
        for (const DirectoryTarget* target : targets)
        {
            ids += (ids.empty() ? "" : " ") + target->Id;
        }
        Log(LogLevel_Info, Code_None, "targets known",
            {{"service", service}, {"count", static_cast<uint64_t>(targets.size())}, {"targets", ids}, {"revision", at}});
    }
}

// `after`: see StoreBatch.
static void ApplyTarget(Gateway* gateway, const TargetUpdate& update, TimeUs after, std::map<std::string, TargetChanges>* changes)
{
    const DirectoryTarget& target = update.Target;
    TargetDirectory& directory = gateway->Requests.Directory;
    const auto known = directory.Targets.find(target.Id);
    const bool outdated = !update.Gone && known != directory.Targets.end() && known->second.Revision >= target.Revision;
    if (outdated)
    {
        return;
    }
    const bool was_known = known != directory.Targets.end();
    if (!update.Gone || was_known)
    {
        CountChange(update, update.Gone ? known->second.Service : target.Service, changes);
    }
    if (update.Gone)
    {
        DirectoryRemove(&directory, target.Id, target.Revision, after, NowUs());
        return;
    }
    DirectoryPut(&directory, target, NowUs());
}

// Removes the targets that `updates`, a full read, does not contain.
static void RemoveUnlistedTargets(Gateway* gateway, const StoreUpdates& updates, const StoreBatch& batch)
{
    std::set<std::string> named;
    for (const TargetUpdate& target : updates.Targets)
    {
        named.insert(target.Target.Id);
    }
    DirectoryKeepOnly(&gateway->Requests.Directory, named, batch.Revision, batch.AfterUs, NowUs());
}

// Schedules the removal of missing targets. It must be on time: later requests may reach a target that has stopped.
static void ScheduleExpiry(Gateway* gateway)
{
    const std::optional<TimeUs> next = DirectoryNextExpiry(gateway->Requests.Directory);
    gateway->ForgetTimer = nullptr;
    if (next)
    {
        gateway->ForgetTimer = TimerStart(gateway->Loop, *next - NowUs(),
                                          [gateway]()
                                          {
                                              DirectoryRemoveExpired(&gateway->Requests.Directory, NowUs());
                                              ForwarderFollow(&gateway->Requests);
                                              ScheduleExpiry(gateway);
                                          });
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Evacuations
//-----------------------------------------------------------------------------

static void LogEvacuation(const Gateway& gateway, const std::string& data_centre, bool in_force, uint64_t revision)
{
    int known = 0;
    for (const auto& entry : gateway.Requests.Directory.Targets)
    {
        known += entry.second.DataCentre == data_centre ? 1 : 0;
    }
    Log(LogLevel_Info, Code_None, in_force ? "data centre evacuated" : "data centre given back",
        {{"dataCentre", data_centre}, {"revision", revision}, {"targets", known}});
}

static void ApplyEvacuations(Gateway* gateway, const StoreUpdates& updates, uint64_t at, bool everything)
{
    TargetDirectory& directory = gateway->Requests.Directory;
    std::set<std::string> named;
    for (const EvacuationUpdate& evacuation : updates.Evacuations)
    {
        named.insert(evacuation.DataCentre);
        if (DirectoryEvacuate(&directory, evacuation.DataCentre, evacuation.NewState))
        {
            LogEvacuation(*gateway, evacuation.DataCentre, evacuation.NewState.InForce, evacuation.NewState.Revision);
        }
    }
    if (!everything)
    {
        return;
    }
    for (const std::string& data_centre : DirectoryKeepOnlyEvacuated(&directory, named, at))
    {
        LogEvacuation(*gateway, data_centre, false, at);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Invalid items
//-----------------------------------------------------------------------------

// Logs each invalid item once, and again when its error changes.
static void UpdateInvalid(Gateway* gateway, const StoreUpdates& updates, const std::vector<StoreItem>& list, uint64_t at, bool everything)
{
    const std::map<std::string, std::string> before = gateway->Invalid;
    if (everything || updates.InvalidIsComplete)
    {
        gateway->Invalid.clear();
    }
    for (const StoreItem& item : list)
    {
        gateway->Invalid.erase(item.Key);
    }
    for (const InvalidItem& invalid : updates.Invalid)
    {
        gateway->Invalid[invalid.Key] = invalid.Why.Detail;
        const auto known = before.find(invalid.Key);
        if (known == before.end() || known->second != invalid.Why.Detail)
        {
            gateway->InvalidSeen++;
            Log(LogLevel_Error, invalid.Why.Code, "item invalid", {{"key", invalid.Key}, {"revision", at}, {"detail", invalid.Why.Detail}});
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Batches
//-----------------------------------------------------------------------------

static void ApplyBatch(Gateway* gateway, const StoreBatch& batch)
{
    const uint64_t at = batch.Revision;
    const bool everything = batch.IsSnapshot;
    const StoreUpdates updates = gateway->Platform.Read({batch.Items, at, everything, NowUs()});
    UpdateInvalid(gateway, updates, batch.Items, at, everything);
    if (updates.Plan)
    {
        ApplyPlan(gateway, *updates.Plan);
    }
    std::map<std::string, TargetChanges> changes;
    for (const TargetUpdate& target : updates.Targets)
    {
        ApplyTarget(gateway, target, batch.AfterUs, &changes);
    }
    if (!everything)
    {
        LogChanges(changes, batch);
    }
    ApplyEvacuations(gateway, updates, at, everything);
    if (everything)
    {
        RemoveUnlistedTargets(gateway, updates, batch);
        LogAllTargets(*gateway, at);
    }
    ForwarderFollow(&gateway->Requests);
    ScheduleExpiry(gateway);
}

// Applies the queued batches in order.
static void ApplyBatches(Gateway* gateway)
{
    gateway->ApplyTimer = nullptr;
    const std::vector<StoreBatch> batches = std::move(gateway->PendingBatches);
    gateway->PendingBatches.clear();
    for (const StoreBatch& batch : batches)
    {
        ApplyBatch(gateway, batch);
        gateway->AppliedRevision = batch.Revision;
    }
}

void ApplySoon(Gateway* gateway, StoreBatch batch)
{
    gateway->PendingBatches.push_back(std::move(batch));
    if (!gateway->ApplyTimer)
    {
        gateway->ApplyTimer = TimerStart(gateway->Loop, gateway->Timing.ApplyUs, [gateway]() { ApplyBatches(gateway); });
    }
}

} // namespace Winchlink
