// target_path.cpp: what an instance believes of its path to the targets of each service.

#include "call.h"

#include "clock.h"
#include "log.h"

namespace Winchlink
{

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
         {"failedAtLeast", static_cast<int>(path.Failed.size())},
         {"targets", static_cast<int>(service.Pool.Targets.size())},
         {"answeredBeforeUs", path.AnsweredUs > 0 ? now - path.AnsweredUs : -1},
         {"stateBeforeUs", before > 0 ? now - before : -1},
         {"losses", path.Losses}});
}

void NoteContact(ServiceState* service, const std::string& target, ContactEnd_ end)
{
    const TimeUs now = NowUs();
    const ContactCounts failed = service->Path.Counts;
    const TimeUs before = service->Path.ChangedUs;
    if (TargetPathContact(&service->Path, target, end, service->Pool.Targets.size(), now))
    {
        const bool lost = service->Path.State == TargetPathState_Lost;
        LogPath(*service, lost ? service->Path.Counts : failed, before, now);
    }
}

} // namespace Winchlink
