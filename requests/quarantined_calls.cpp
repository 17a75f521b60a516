// quarantined_calls.cpp: requests that crash targets: detects crashes while a request is in flight, and refuses quarantined requests.
//
// Index of this file:
// [SECTION] Quarantined requests
// [SECTION] Crashes of targets

#include "call.h"

#include "clock.h"
#include "log.h"
#include "request_key.h"

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Quarantined requests
//-----------------------------------------------------------------------------

const std::string& CallKey(Call* call)
{
    if (call->Key.empty())
    {
        call->Key = RequestKey(*call->Inbound, call->Owner->Names.Customer);
    }
    return call->Key;
}

static TimeUs QuarantinedUntil(Call* call)
{
    const Quarantine& quarantine = call->Owner->Quarantined;
    return quarantine.Requests.empty() ? 0 : QuarantineEndUs(quarantine, CallKey(call), NowUs());
}

bool IsQuarantined(Call* call)
{
    return QuarantinedUntil(call) > 0;
}

void EndCallQuarantined(const CallPtr& call)
{
    const TimeUs left = std::max<TimeUs>(QuarantinedUntil(call.get()) - NowUs(), 0);
    EndCallWith(call, Code_RequestHeld, CallKey(call.get()), left);
}

//-----------------------------------------------------------------------------
// [SECTION] Crashes of targets
//-----------------------------------------------------------------------------

static void RecordCrash(Forwarder* forwarder, const std::string& request, const std::string& target)
{
    const TimeUs now = NowUs();
    const bool was_quarantined = QuarantineEndUs(forwarder->Quarantined, request, now) > 0;
    if (!QuarantineAddCrash(&forwarder->Quarantined, request, target, now))
    {
        return;
    }
    const TimeUs until = QuarantineEndUs(forwarder->Quarantined, request, now);
    const bool newly_quarantined = !was_quarantined && until > 0;
    Log(newly_quarantined ? LogLevel_Warn : LogLevel_Info, newly_quarantined ? Code_RequestHeld : Code_None,
        newly_quarantined ? "request held" : "target ended",
        {{"request", request},
         {"target", target},
         {"ends", QuarantineCrashCount(forwarder->Quarantined, request)},
         {"heldForUs", until > 0 ? until - now : 0}});
    if (forwarder->OnQuarantineChanged)
    {
        forwarder->OnQuarantineChanged();
    }
}

// Whether the answer to the check after a connection was closed without an answer shows that the target has crashed.
static bool HasCrashed(const Forwarder& forwarder, const std::string& id, const ClientAnswer& answer)
{
    switch (answer.End)
    {
    case ClientEnd_NotConnected:
    case ClientEnd_Lost:
        return true; // Nothing listens there, or a proxy in front of the target cannot reach it.
    case ClientEnd_Broken:
        return false; // Its bytes come from a running process.
    case ClientEnd_Answered:
    {
        const std::string* answering_id = FindHeader(answer.Headers, forwarder.Names.TargetId);
        return answering_id != nullptr && *answering_id != id; // Another target has taken over the address.
    }
    default:
        return false; // It is alive, or its state is unknown: it may be unreachable or hang.
    }
}

// A target that no longer accepts connections after it lost a request.
struct SuspectedCrash
{
    std::string Request; // Key of the request.
    Attempt At;
    TimeUs LostUs = 0;                  // End of the attempt.
    std::vector<std::string> Contacted; // This target and those that were contacted since.
};

static void RecordSilent(Forwarder* forwarder, const std::string& request, const Attempt& attempt);

// Records the crash if another target of the service is reached. Otherwise the instance may have lost its path to all of them: the crash
// then counts only once the store shows it.
static void RecordIfOthersAnswer(Forwarder* forwarder, ServiceState* service, const SuspectedCrash& crash)
{
    constexpr size_t contacted_max = 9; // Eight others: some may have crashed as well.
    const auto contacted = [forwarder, service, crash](const std::string& target, ContactEnd_)
    {
        SuspectedCrash next = crash;
        next.Contacted.push_back(target);
        RecordIfOthersAnswer(forwarder, service, next);
    };
    const bool others_answer = service->Path.AnsweredUs > crash.LostUs;
    if (!others_answer && crash.Contacted.size() < contacted_max && ContactAnyTarget(forwarder, service, crash.Contacted, contacted))
    {
        return;
    }
    const bool only_target = crash.Contacted.size() == 1; // There is nothing to compare with.
    if (others_answer || only_target)
    {
        RecordCrash(forwarder, crash.Request, TargetIncarnation(crash.At.Target, crash.At.Incarnation));
        return;
    }
    RecordSilent(forwarder, crash.Request, crash.At);
}

// A target that has only closed the connection answers a health request on a new one. Where the service has no health path, nothing is
// sent: a connection that is accepted shows that the target is alive.
void CheckForCrash(Call* call, const Attempt& attempt)
{
    Forwarder* forwarder = call->Owner;
    const PoolTarget* target = PoolFindEntry(&call->Service->Pool, attempt.Target, attempt.Generation);
    if (target == nullptr)
    {
        return; // It is draining or has left: an intended stop.
    }
    ClientRequest request;
    request.Address = attempt.Address;
    request.Target = call->Spec->HealthPath;
    request.MaxAnswerBytes = HealthAnswerBytesMax;
    request.NewConnection = true;
    request.TimeoutUs = forwarder->Config.ConnectUs;
    request.MaySend = [may_probe = !call->Spec->HealthPath.empty() && PoolMayUse(*target, NowUs())]()
    {
        return may_probe;
    };
    const SuspectedCrash crash = {CallKey(call), attempt, NowUs(), {attempt.Target}};
    const auto on_checked = [forwarder, service = call->Service, crash](const ClientAnswer& answer)
    {
        if (HasCrashed(*forwarder, crash.At.Target, answer))
        {
            RecordIfOthersAnswer(forwarder, service, crash);
        }
    };
    ClientSend(forwarder->Targets, std::move(request), on_checked);
}

// Whether a recent load report shows that the target was alive when the request was sent. Otherwise it may have crashed before.
static bool WasAliveWhenSent(const Forwarder& forwarder, const Attempt& attempt)
{
    return attempt.ReportUs > 0 && attempt.SentUs - attempt.ReportUs <= forwarder.Config.Choosing.ReportReuseUs;
}

static void RecordSilent(Forwarder* forwarder, const std::string& request, const Attempt& attempt)
{
    if (!WasAliveWhenSent(*forwarder, attempt))
    {
        return;
    }
    const UnansweredAttempt silent = {request, TargetIncarnation(attempt.Target, attempt.Incarnation), attempt.SentUs};
    if (SilentCrashesAddAttempt(&forwarder->Unanswered, silent, NowUs()))
    {
        RecordCrash(forwarder, silent.Request, silent.Target);
    }
}

void RecordUnanswered(Call* call, const Attempt& attempt)
{
    if (!attempt.ToPeer)
    {
        RecordSilent(call->Owner, CallKey(call), attempt);
    }
}

void NoteCrashedTargets(Forwarder* forwarder)
{
    for (const std::string& target : DirectoryTakeCrashed(&forwarder->Directory))
    {
        for (const UnansweredAttempt& attempt : SilentCrashesAddTarget(&forwarder->Unanswered, target, NowUs()))
        {
            RecordCrash(forwarder, attempt.Request, attempt.Target);
        }
    }
}

void NoteAnswered(Call* call)
{
    Forwarder* forwarder = call->Owner;
    if (!forwarder->Unanswered.Attempts.empty())
    {
        SilentCrashesAnswered(&forwarder->Unanswered, CallKey(call));
    }
    if (forwarder->Quarantined.Requests.empty() || !QuarantineClear(&forwarder->Quarantined, CallKey(call)))
    {
        return;
    }
    Log(LogLevel_Info, Code_None, "request cleared", {{"request", CallKey(call)}, {"requestId", call->Id}});
    if (forwarder->OnQuarantineChanged)
    {
        forwarder->OnQuarantineChanged();
    }
}

} // namespace Winchlink
