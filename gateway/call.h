// call.h: one caller's request inside an instance, as the parts of the forwarder share it (forward.cpp, choose.cpp, attempt.cpp).
//
// A Call is held by the callbacks that will move it on. It ends exactly once, in EndCall(); whatever comes later for it is only learnt
// from.
//
// Index of this file:
// [SECTION] Call
// [SECTION] Ends (forward.cpp)
// [SECTION] Choosing a target (choose.cpp)
// [SECTION] Sending (attempt.cpp)
// [SECTION] Requests that end targets (held.cpp)

#pragma once

#include "forward.h"

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Call
//-----------------------------------------------------------------------------

// A request that counts against a target's limit, see QuotaTakeNamed().
struct LimitGrant
{
    uint64_t LifeId = 0; // Of the target; 0: none.
    TimeUs TakenUs = 0;  // When it was counted.
};

// One send to one target.
struct Attempt
{
    uint64_t Id = 0;         // Of the client's call.
    std::string Target;      // Which target.
    std::string Address;     // Where it is.
    uint64_t Life = 0;       // Which start of it.
    uint64_t Entry = 0;      // Its entry into the pool: it may have left and come back since.
    TimeUs SentUs = 0;       // When it began.
    LoadReport Report;       // The target's load as it was known when it was chosen.
    TimeUs ReportUs = 0;     // When that was told; 0: never.
    bool NearlyFull = false; // It made the target nearly full.
    double ExpectedUs = 0;   // How long it was expected to take; 0: nothing was known.
    LimitGrant Grant;        // What it counts for at the target's limit.
};

enum Choosing_ : int
{
    Choosing_None,   // No target is wanted.
    Choosing_First,  // For the request, or for its next attempt after one has failed.
    Choosing_Second, // For a second attempt beside a slow first one: only what is good at once.
    Choosing_COUNT,
};

struct Call
{
    Forwarder* Owner = nullptr;
    ExchangePtr From;
    RoutePlanPtr Plan;          // Keeps Row and Spec alive.
    const Route* Row = nullptr; // Null if no route fits.
    const ServiceInfo* Spec = nullptr;
    ServiceState* Service = nullptr; // Null before a service is chosen.
    RouteWork* Work = nullptr;       //
    std::string ServiceName;         //
    std::string Id;                  // The caller's.
    std::string Key;                 // What is the same at every try of the request, see CallKey(); empty until it is wanted.
    bool Repeatable = false;         // It may be run more than once.
    const Customer* By = nullptr;    // Whose request it is; null if nobody's key was given, or none is needed.
    KeyHash ByKey = {};              // By which of its keys.
    TimeUs QuotaTakenUs = 0;         // When it was counted against its customer's quota; 0: it was not.
    TimeUs CallerUntilUs = 0;        // The caller waits until then, over all of its tries.
    TimeUs DeadlineUs = 0;           // Answered by then.
    TimeUs ChooseUntilUs = 0;        // A target is chosen by then, or the request refused.
    Choosing_ Choosing = Choosing_None;
    std::vector<std::string> Asked;     // Targets asked in this round.
    std::vector<std::string> Tried;     // Targets that it was sent to.
    std::vector<std::string> OverLimit; // Targets asked or considered in this round that are at their limits.
    std::vector<LimitGrant> Grants;     // Of targets that it may be sent to; given back if it isn't.
    int Asking = 0;                     // Questions without an answer.
    int AsksMade = 0;                   // Questions in all.
    int AsksBefore = 0;                 // Of those, for former attempts.
    int AsksAtOnce = 1;                 // Questions without an answer, at the most: more when one takes longer than usual.
    std::vector<Attempt> Active;        // Attempts in progress, two at the most.
    Attempt Last;                       // The latest attempt that ended, for the log.
    int Attempts = 0;                   // Sends that reached, or may have reached, a target.
    TimeUs RepeatTakenUs = 0;           // When a repeat was taken out of the budget for an attempt that has not begun; 0: none is.
    int MayHaveRun = 0;                 // Of those that have ended, attempts that may have been run.
    std::optional<ClientAnswer> Kept;   // A target's failure, passed on if no other attempt comes to more.
    TimeUs ToldWaitUs = 0;              // When the refused caller was told to come back, from now; for the log.
    bool Ended = false;                 // The caller has been answered.
    Timer Deadline;                     // Ends it at DeadlineUs.
    Timer Patience;                     // A question takes longer than usual.
    Timer Again;                        // Asks again after all targets were busy.
    Timer Slow;                         // The first attempt takes longer than expected.
};

using CallPtr = std::shared_ptr<Call>;

inline TimeUs LeftUs(const Call& call, TimeUs now)
{
    return call.DeadlineUs - now;
}

//-----------------------------------------------------------------------------
// [SECTION] Ends (forward.cpp)
//-----------------------------------------------------------------------------

// Answers the caller. Call it once.
void EndCall(const CallPtr& call, Code_ code, const std::string& detail, CallerReply reply);

// Our own answer, with the status that goes with the code. Asserts that "not run" is true where the status promises it.
void EndCallWith(const CallPtr& call, Code_ code, const std::string& detail, TimeUs retry_after = 0);

// Refuses a request that has not run because targets are busy, and tells the caller when there may be room.
void EndCallBusy(const CallPtr& call, Code_ code, const std::string& detail);

// Whether the plan in force still knows the key that the request came with: customers' keys may be taken away while it waits.
bool KeyHolds(const Call& call);

// Who gives way to whom: 0 is the most urgent.
inline int PriorityOf(const Call& call)
{
    return call.By != nullptr && call.By->Priority ? *call.By->Priority : call.Row->Priority;
}

//-----------------------------------------------------------------------------
// [SECTION] Choosing a target (choose.cpp)
//-----------------------------------------------------------------------------

// Chooses a target and sends, or ends the call. For a second attempt it only sends, or does nothing.
void ChooseTarget(const CallPtr& call, Choosing_ choosing);

// A slot of that target has come free: the most urgent of the requests that wait gets it, the longest waiting of equals.
void ServeWaiting(ServiceState* service, const std::string& target_id);

//-----------------------------------------------------------------------------
// [SECTION] Sending (attempt.cpp)
//-----------------------------------------------------------------------------

// Sends the request to the target.
void SendTo(const CallPtr& call, PoolTarget* target);

// Passes a target's answer on.
void PassOn(const CallPtr& call, ClientAnswer answer);

// No target was found for a second attempt: looks again in a while.
void SecondAgain(const CallPtr& call);

// A repeat that was taken out of the budget and not sent can be had by others. Without that, each second attempt whose first was answered
// while its target was chosen cost one, of 1.2 in ten seconds where a service has few requests.
void GiveRepeatBack(Call* call);

// It counts no more against the limits of targets that it was not sent to.
void GiveGrantsBack(Call* call);

// Targets of the attempts in progress are avoided for a while: they did not answer in time.
void BlameTargets(const Call& call);

// The load in a target's answer; none where it tells none.
std::optional<LoadReport> ReadLoad(const Forwarder& forwarder, const std::vector<Header>& headers);

// Ends all attempts in progress, and so the targets' work.
void CancelAttempts(const CallPtr& call);

//-----------------------------------------------------------------------------
// [SECTION] Requests that end targets (held.cpp)
//-----------------------------------------------------------------------------

// See RequestKey(); made when it is first wanted.
const std::string& CallKey(Call* call);

// Whether the request may be sent to no target now, because it has ended several.
bool IsHeld(Call* call);

// Refuses a request that is held and has not run.
void EndCallHeld(const CallPtr& call);

// The attempt's connection ended without an answer: if its target has ended, that counts against the request.
void LookWhetherEnded(Call* call, const Attempt& attempt);

// The attempt ends without an answer. If its target turns out to have ended, that counts against the request.
void NoteSilent(Call* call, const Attempt& attempt);

// Targets have ended without a word: that counts against what was in progress there and never answered.
void NoteEndedTargets(Forwarder* forwarder);

// The request was answered: no target ends under it.
void NoteAnswered(Call* call);

} // namespace Winchlink
