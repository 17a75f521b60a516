// held.cpp: requests that end targets: seeing that a target has ended under one, and refusing those that are held.
//
// Index of this file:
// [SECTION] Held requests
// [SECTION] Ends of targets

#include "call.h"

#include "clock.h"
#include "log.h"
#include "request_key.h"

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Held requests
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
    const Quarantine& held = call->Owner->Held;
    return held.Requests.empty() ? 0 : QuarantineUntil(held, CallKey(call), NowUs());
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
// [SECTION] Ends of targets
//-----------------------------------------------------------------------------

static void RecordCrash(Forwarder* forwarder, const std::string& request, const std::string& target)
{
    const TimeUs now = NowUs();
    const bool was_quarantined = QuarantineUntil(forwarder->Held, request, now) > 0;
    if (!QuarantineNote(&forwarder->Held, request, target, now))
    {
        return;
    }
    const TimeUs until = QuarantineUntil(forwarder->Held, request, now);
    const bool newly_quarantined = !was_quarantined && until > 0;
    Log(newly_quarantined ? LogLevel_Warn : LogLevel_Info, newly_quarantined ? Code_RequestHeld : Code_None, newly_quarantined ? "request held" : "target ended",
        {{"request", request},
         {"target", target},
         {"ends", QuarantineEnds(forwarder->Held, request)},
         {"heldForUs", until > 0 ? until - now : 0}});
    if (forwarder->OnTargetEnd)
    {
        forwarder->OnTargetEnd();
    }
}

// What a target says, or does not say, right after it closed a connection without an answer.
static bool HasCrashed(const Forwarder& forwarder, const std::string& id, const ClientAnswer& answer)
{
    switch (answer.End)
    {
    case ClientEnd_NotConnected:
    case ClientEnd_Lost:
    case ClientEnd_Broken:
        return true; // Nobody is there, or something in front of it finds nobody.
    case ClientEnd_Answered:
    {
        const std::string* told = FindHeader(answer.Headers, forwarder.Names.TargetId);
        return told != nullptr && *told != id; // Another one has its address already.
    }
    default:
        return false; // It lives, or nothing can be known: it may be cut off, or stand still.
    }
}

// A target that has only cut our connection answers a question on a new one. Where it has no health path nothing is sent: that a connection
// comes up must do.
void CheckForCrash(Call* call, const Attempt& attempt)
{
    Forwarder* forwarder = call->Owner;
    const PoolTarget* target = PoolFindEntry(&call->Service->Pool, attempt.Target, attempt.Entry);
    if (target == nullptr)
    {
        return; // It leaves, or has left: its end is planned.
    }
    ClientRequest request;
    request.Address = attempt.Address;
    request.Target = call->Spec->HealthPath;
    request.NewConnection = true;
    request.TimeoutUs = forwarder->Config.ConnectUs;
    request.MaySend = [asks = !call->Spec->HealthPath.empty() && PoolMayUse(*target, NowUs())]()
    {
        return asks;
    };
    const auto looked = [forwarder, key = CallKey(call), attempt](const ClientAnswer& answer)
    {
        if (HasCrashed(*forwarder, attempt.Target, answer))
        {
            RecordCrash(forwarder, key, TargetLife(attempt.Target, attempt.Life));
        }
    };
    ClientSend(forwarder->Targets, std::move(request), looked);
}

// A target that was asked right before lived when the request was sent: it has not been silent from the start, as one is that ended before.
static bool WasAliveWhenSent(const Forwarder& forwarder, const Attempt& attempt)
{
    return attempt.ReportUs > 0 && attempt.SentUs - attempt.ReportUs <= forwarder.Config.ReuseUs;
}

void RecordUnanswered(Call* call, const Attempt& attempt)
{
    Forwarder* forwarder = call->Owner;
    if (!WasAliveWhenSent(*forwarder, attempt))
    {
        return;
    }
    const SilentAttempt silent = {CallKey(call), TargetLife(attempt.Target, attempt.Life), attempt.SentUs};
    if (SilentAttemptEnded(&forwarder->Silent, silent, NowUs()))
    {
        RecordCrash(forwarder, silent.Request, silent.Target);
    }
}

void NoteCrashedTargets(Forwarder* forwarder)
{
    for (const std::string& target : DirectoryTakeEnded(&forwarder->Directory))
    {
        for (const SilentAttempt& attempt : SilentTargetEnded(&forwarder->Silent, target, NowUs()))
        {
            RecordCrash(forwarder, attempt.Request, attempt.Target);
        }
    }
}

void NoteAnswered(Call* call)
{
    Forwarder* forwarder = call->Owner;
    if (!forwarder->Silent.Attempts.empty())
    {
        SilentAnswered(&forwarder->Silent, CallKey(call));
    }
    if (forwarder->Held.Requests.empty() || !QuarantineAnswered(&forwarder->Held, CallKey(call)))
    {
        return;
    }
    Log(LogLevel_Info, Code_None, "request cleared", {{"request", CallKey(call)}, {"requestId", call->Id}});
    if (forwarder->OnTargetEnd)
    {
        forwarder->OnTargetEnd();
    }
}

} // namespace Winchlink
