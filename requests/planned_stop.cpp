// planned_stop.cpp: requests of an instance that is about to stop. Each gets its answer before the instance ends: a request that a target
// is not expected to answer by then is refused as not run, and one that was sent has its deadline before the end.
//
// What a target needs is only known as a mean. A request whose own deadline comes before the end needs no such estimate.

#include "call.h"

#include "clock.h"

#include <algorithm>

namespace Winchlink
{

// Multiple of its mean duration that a request may take at most: work varies, and whoever is refused loses no more than a round trip to
// another instance, while a request that is cut off may have run.
static constexpr double WorkMargin = 3;

// Time that a request of this route needs at a target, at most: until `deadline` if nothing is known.
static TimeUs TimeNeeded(double expected_us, TimeUs deadline, TimeUs now)
{
    const TimeUs left = std::max<TimeUs>(deadline - now, 0);
    return expected_us > 0 ? std::min(left, static_cast<TimeUs>(WorkMargin * expected_us)) : left;
}

bool AnswersBeforeStop(const Call& call, double expected_us)
{
    const double expected = std::max(expected_us, call.Work->MeanUs);
    const TimeUs now = NowUs();
    return !call.EndsEarly || (expected > 0 && now + static_cast<TimeUs>(WorkMargin * expected) <= call.Owner->AnswerByUs);
}

// It is too late to send the request to a target.
static void OnSendBy(const CallPtr& call)
{
    call->SendByTimer = nullptr;
    if (call->Active.empty())
    {
        RejectOrFallBack(call, Code_InstanceStopping, "no target was found in time");
    }
}

void LimitToStop(const CallPtr& call)
{
    const Forwarder& forwarder = *call->Owner;
    if (!forwarder.Draining || call->DeadlineUs <= forwarder.AnswerByUs)
    {
        return;
    }
    const TimeUs now = NowUs();
    const TimeUs send_by = forwarder.AnswerByUs - TimeNeeded(call->Work->MeanUs, call->DeadlineUs, now);
    call->EndsEarly = true;
    call->DeadlineUs = forwarder.AnswerByUs;
    call->DeadlineTimer = TimerStart(forwarder.Loop, std::max<TimeUs>(LeftUs(*call, now), 0), [call]() { EndCallAtDeadline(call); });
    if (send_by <= now)
    {
        OnSendBy(call);
        return;
    }
    call->SendByTimer = TimerStart(forwarder.Loop, send_by - now, [call]() { OnSendBy(call); });
}

void ForwarderDrain(Forwarder* forwarder, TimeUs answer_by)
{
    forwarder->Draining = true;
    forwarder->AnswerByUs = answer_by;
    const std::set<CallPtr> calls = forwarder->Calls; // Some end meanwhile.
    for (const CallPtr& call : calls)
    {
        if (!call->Ended && call->Service != nullptr)
        {
            LimitToStop(call);
        }
        else if (!call->Ended)
        {
            EndCallWith(call, Code_InstanceStopping, "no plan", forwarder->Config.EmptyRetryUs);
        }
    }
}

} // namespace Winchlink
