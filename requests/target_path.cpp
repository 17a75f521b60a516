// target_path.cpp: what an instance believes of its path to the targets of each service, and the checks while there is none.
//
// Index of this file:
// [SECTION] Contacts
// [SECTION] Checks
// [SECTION] Changes

#include "call.h"

#include "clock.h"
#include "log.h"

#include <algorithm>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Contacts
//-----------------------------------------------------------------------------

ContactEnd_ ContactEndOf(const ClientAnswer& answer)
{
    switch (answer.End)
    {
    case ClientEnd_Answered:
    case ClientEnd_Broken:
        return ContactEnd_Answered;
    case ClientEnd_NotConnected:
        return answer.TimedOut ? ContactEnd_Silent : ContactEnd_Refused;
    case ClientEnd_Lost:
        return ContactEnd_Reset;
    case ClientEnd_TimedOut:
        return ContactEnd_Silent;
    default:
        return ContactEnd_None;
    }
}

bool IsMostlyUnreached(const Call& call)
{
    return ChooserUnreached(call.Service->Path, call.Contacts, NowUs());
}

// A random target that may be contacted, other than those of `except`, if possible one that has not failed; null if there is none.
static const PoolTarget* DrawTarget(const TargetPool& pool, const std::vector<std::string>& except, Random* random)
{
    std::vector<const PoolTarget*> sound;
    std::vector<const PoolTarget*> failed;
    for (const PoolTarget& target : pool.Targets)
    {
        const bool excluded = std::find(except.begin(), except.end(), target.Id) != except.end();
        if (!excluded && PoolMayUse(target, NowUs()))
        {
            (target.FailuresInRow == 0 ? sound : failed).push_back(&target);
        }
    }
    const std::vector<const PoolTarget*>& drawn = sound.empty() ? failed : sound;
    return drawn.empty() ? nullptr : drawn[std::uniform_int_distribution<size_t>(0, drawn.size() - 1)(*random)];
}

bool ContactAnyTarget(Forwarder* forwarder, ServiceState* service, const std::vector<std::string>& except, OnContacted done)
{
    const PoolTarget* target = DrawTarget(service->Pool, except, forwarder->Rng);
    const ServiceInfo* spec = forwarder->Plan ? FindService(*forwarder->Plan, service->Name) : nullptr;
    if (target == nullptr || spec == nullptr)
    {
        return false;
    }
    ClientRequest request;
    request.Address = target->Address;
    request.Target = spec->HealthPath;
    request.MaxAnswerBytes = HealthAnswerBytesMax;
    request.NewConnection = true;
    request.TimeoutUs = forwarder->Config.ConnectUs;
    request.MaySend = [probed = !spec->HealthPath.empty()]()
    {
        return probed;
    };
    const auto contacted = [forwarder, service, id = target->Id, done = std::move(done)](const ClientAnswer& answer)
    {
        const ContactEnd_ end = answer.End == ClientEnd_Withheld ? ContactEnd_Answered : ContactEndOf(answer);
        NoteContact(forwarder, service, id, end);
        done(id, end);
    };
    ClientSend(forwarder->Targets, std::move(request), contacted);
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Checks
//-----------------------------------------------------------------------------

static void CheckPath(Forwarder* forwarder, ServiceState* service);

static void CheckPathLater(Forwarder* forwarder, ServiceState* service)
{
    const TimeUs now = NowUs();
    if (TargetPathNow(&service->Path, now) == TargetPathState_Open)
    {
        service->PathCheck = nullptr;
        return;
    }
    service->PathCheck =
        TimerStart(forwarder->Loop, TargetPathCheckDelay(service->Path, now), [forwarder, service]() { CheckPath(forwarder, service); });
}

static void CheckPath(Forwarder* forwarder, ServiceState* service)
{
    const auto done = [forwarder, service](const std::string&, ContactEnd_)
    {
        CheckPathLater(forwarder, service);
    };
    if (!ContactAnyTarget(forwarder, service, {}, done))
    {
        TargetPathForget(&service->Path, NowUs());
        service->PathCheck = nullptr;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Changes
//-----------------------------------------------------------------------------

// `failed`: contacts that failed before the change; `before`: time of the change before.
static void LogPath(const ServiceState& service, const ContactCounts& failed, TimeUs before, TimeUs now)
{
    const TargetPath& path = service.Path;
    const bool lost = path.State == TargetPathState_Lost;
    Log(lost ? LogLevel_Warn : LogLevel_Info, lost ? Code_TargetsUnreachable : Code_None,
        lost ? "path to targets lost" : "path to targets back",
        {{"service", service.Name},
         {"refused", failed[ContactEnd_Refused]},
         {"reset", failed[ContactEnd_Reset]},
         {"silent", failed[ContactEnd_Silent]},
         {"late", failed[ContactEnd_Late]},
         {"failedAtLeast", static_cast<int>(path.Failed.size())},
         {"targets", static_cast<int>(service.Pool.Targets.size())},
         {"answeredBeforeUs", path.AnsweredUs > 0 ? now - path.AnsweredUs : -1},
         {"stateBeforeUs", before > 0 ? now - before : -1},
         {"losses", path.Losses}});
}

static void OnPathLost(Forwarder* forwarder, ServiceState* service)
{
    const ContactCounts& failed = service->Path.Counts;
    ProbeTimeoutRevert(&service->ProbeTimeout, failed[ContactEnd_Silent] + failed[ContactEnd_Late]);
    if (!service->PathCheck)
    {
        CheckPathLater(forwarder, service);
    }
    service->PathChanged = TimerStart(forwarder->Loop, 0, [service]() { ContinueChoosing(service); });
}

// Records a contact by `record`, which returns whether the state has changed.
static void RecordContact(Forwarder* forwarder, ServiceState* service, const std::function<bool(TargetPath*, TimeUs)>& record)
{
    const TimeUs now = NowUs();
    const ContactCounts failed = service->Path.Counts;
    const TimeUs before = service->Path.ChangedUs;
    if (!record(&service->Path, now))
    {
        return;
    }
    const bool lost = service->Path.State == TargetPathState_Lost;
    LogPath(*service, lost ? service->Path.Counts : failed, before, now);
    if (lost)
    {
        OnPathLost(forwarder, service);
    }
}

void NoteContact(Forwarder* forwarder, ServiceState* service, const std::string& target, ContactEnd_ end)
{
    RecordContact(forwarder, service,
                  [&](TargetPath* path, TimeUs now) { return TargetPathContact(path, target, end, service->Pool.Targets.size(), now); });
}

void NoteLate(Forwarder* forwarder, ServiceState* service, const std::string& target, TimeUs begun)
{
    RecordContact(forwarder, service,
                  [&](TargetPath* path, TimeUs now) { return TargetPathLate(path, target, begun, service->Pool.Targets.size(), now); });
}

void NoteLateEnded(Forwarder* forwarder, ServiceState* service, const std::string& target, ContactEnd_ end, TimeUs begun)
{
    RecordContact(forwarder, service,
                  [&](TargetPath* path, TimeUs now)
                  { return TargetPathLateEnded(path, target, end, begun, service->Pool.Targets.size(), now); });
}

void NoteUnanswered(Call* call, const Attempt& attempt)
{
    const bool probed = call->Service->Pool.ReportsLoad && !call->Spec->HealthPath.empty();
    if (probed) // Its work may just take long; probes tell whether there is a path.
    {
        NoteLate(call->Owner, call->Service, attempt.Target, attempt.SentUs);
        call->Contacts[ContactEnd_Late]++;
        return;
    }
    NoteContact(call->Owner, call->Service, attempt.Target, ContactEnd_Silent);
    call->Contacts[ContactEnd_Silent]++;
}

} // namespace Winchlink
