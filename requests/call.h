// call.h: state of one caller's request, shared by the parts of the forwarder (forward.cpp, choose.cpp, attempt.cpp, handoff.cpp,
// target_path.cpp, quarantined_calls.cpp, planned_stop.cpp).
//
// A Call is kept alive by the callbacks that refer to it. It ends exactly once, in EndCall(); events that arrive afterwards only update
// statistics and the state of targets.
//
// Index of this file:
// [SECTION] Call
// [SECTION] Ending a call (forward.cpp)
// [SECTION] Choosing a target (choose.cpp)
// [SECTION] Sending (attempt.cpp)
// [SECTION] Handing on to other instances (handoff.cpp)
// [SECTION] Path to the targets (target_path.cpp)
// [SECTION] Requests that crash targets (quarantined_calls.cpp)
// [SECTION] Planned stop (planned_stop.cpp)

#pragma once

#include "handoff.h"

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Call
//-----------------------------------------------------------------------------

inline constexpr size_t HealthAnswerBytesMax = 64 * KiB; // Largest body of an answer to a health check; only status and headers are used.

// One attempt: the request sent to one target, or handed to another instance.
struct Attempt
{
    uint64_t Id = 0;                 // Id returned by ClientSend().
    bool ToPeer = false;             // It was handed to another instance.
    std::string Target;              // Id of the target; the address of the other instance.
    std::string Address;             // IP:port of either.
    uint64_t Incarnation = 0;        // Incarnation of the target.
    uint64_t Generation = 0;         // See PoolTarget::Generation.
    TimeUs SentUs = 0;               // Start of the attempt.
    LoadReport Report;               // Last known load of the target when it was chosen.
    TimeUs ReportUs = 0;             // Time of that report; 0 if none.
    bool NearlyFull = false;         // The target was nearly full with this request.
    double ExpectedUs = 0;           // Expected duration; 0 if unknown.
    LimitGrant Grant;                // Its share of the target's rate limit.
    TimeUs RetryTakenUs = 0;         // If handed to another instance: see Call::RetryTakenUs.
    int Granted = 0;                 // If handed to another instance: targets that it may send the request to.
    bool Crossed = false;            // Division has sent it to another data centre.
    Framing_ Framing = Framing_None; // What ended the body of its answer.
    size_t BodyBytes = 0;            // Bytes of that body.
};

struct Call
{
    Forwarder* Owner = nullptr;
    ExchangePtr Inbound;
    DataState DecidedBy;                 // State of the data when the request was routed.
    RoutePlanPtr Plan;                   // Keeps MatchedRoute and Spec alive.
    const Route* MatchedRoute = nullptr; // Null if no route matches.
    const ServiceInfo* Spec = nullptr;
    ServiceState* Service = nullptr; // Null until a service is chosen.
    RouteWork* Work = nullptr;
    std::string ServiceName;
    std::string Id;                        // Request id, from the caller or generated.
    std::string Key;                       // Identifies the request across the caller's tries, see CallKey(); empty until first used.
    const Customer* KeyOwner = nullptr;    // Customer whose key came with the request; null if there is none.
    KeyHash CallerKeyHash = {};            // Hash of that key.
    std::vector<Header> KeyHeaders;        // The headers with that key, as the caller sent them.
    std::optional<HandoffOffer> TakenFrom; // Another instance that has handed the request on; none for a caller's.
    std::vector<std::string> PeersTried;   // Instances that it was offered to.
    TimeUs PeerRetryUs = 0;                // Retry-After of the instance that refused it for all.
    TimeUs CountedUs = 0;                  // Time at which it was counted for the retry budget; 0 if it was not.
    TimeUs QuotaTakenUs = 0;               // Time at which it was counted against its customer's quota; 0 if it was not.
    TimeUs CallerDeadlineUs = 0;           // Deadline named by the caller; retry advice stays within it.
    TimeUs DeadlineUs = 0;                 // Deadline of this call: the earlier of the caller's deadline and the route's timeout.
    bool NamesTimeout = false;             // An own caller has named its deadline, and first tries are told from later ones.
    TimeUs SinceFirstTryUs = 0;            // Time since the caller's first try; 0 if this is the first one, or nothing tells.
    bool Retryable = false;                // The request may be run more than once.
    bool AdmissionDue = true;              // It is not counted here yet, see AdmitHere().
    bool Ended = false;                    // The caller was answered, or has gone.
    Chooser Round;                         // Choosing a target for the next attempt.
    int AttemptsMax = 1;                   // Targets that it may be sent to, including those of other instances.
    std::vector<std::string> SentTo;       // Targets to which the request was sent.
    ContactCounts Contacts = {};           // Outcomes of its probes and attempts.
    std::vector<Attempt> Active;           // Attempts in flight: at most the first one and its hedge.
    Attempt LastAttempt;                   // The attempt that ended last; for the log.
    int Attempts = 0;                      // Attempts that reached, or may have reached, a target.
    TimeUs RetryTakenUs = 0;               // Time at which a retry was taken from the budget for an attempt that has not begun; 0 if none.
    int MayHaveRun = 0;                    // Ended attempts that a target may have run.
    std::optional<ClientAnswer> FailedAnswer; // Error response of a target; relayed if no other attempt succeeds.
    TimeUs RetryAfterUs = 0;                  // Retry-After sent with a refusal; for the log.
    Timer DeadlineTimer;                      // Fires at DeadlineUs; before there is a plan, when FirstPlanUs ends.
    bool EndsEarly = false;                   // The instance stops before the deadline that the request would have had.
    Timer SendByTimer;                        // While EndsEarly: fires when it is too late to send the request to a target.
    Timer SlowProbeTimer;                     // Fires when a probe is slow.
    Timer ProbeRetryTimer;                    // Probes again after all targets were busy.
    Timer HedgeTimer;                         // Fires when the first attempt is slow, or when a hedge is to be tried again.
};

using CallPtr = std::shared_ptr<Call>;

inline TimeUs LeftUs(const Call& call, TimeUs now)
{
    return call.DeadlineUs - now;
}

//-----------------------------------------------------------------------------
// [SECTION] Ending a call (forward.cpp)
//-----------------------------------------------------------------------------

// Handles a request that was taken from another instance.
void ForwardTaken(Forwarder* forwarder, const ExchangePtr& exchange, const HandoffOffer& offer);

// Counts a request that is to be served here for the retry budget and against its customer's quota, once. Returns false if the quota is
// used up and the request was refused.
bool AdmitHere(const CallPtr& call);

// Answers the caller. Must be called exactly once for each call.
void EndCall(const CallPtr& call, Code_ code, const std::string& detail, CallerReply reply);

// Answers with the HTTP status of the code. Asserts that no target may have run the request where that status implies "not run".
void EndCallWith(const CallPtr& call, Code_ code, const std::string& detail, TimeUs retry_after = 0);

// The deadline has passed: gives the final answer.
void EndCallAtDeadline(const CallPtr& call);

// Refuses a request that has not run because targets are busy; Retry-After says when there may be capacity.
void EndCallBusy(const CallPtr& call, Code_ code, const std::string& detail);

// Whether the request's API key is still valid in the current plan: keys can be revoked while a request waits.
bool IsKeyValid(const Call& call);

// Priority of the request: the customer's, else the route's. 0 is the most urgent.
inline int PriorityOf(const Call& call)
{
    return call.KeyOwner != nullptr && call.KeyOwner->Priority ? *call.KeyOwner->Priority : call.MatchedRoute->Priority;
}

//-----------------------------------------------------------------------------
// [SECTION] Choosing a target (choose.cpp)
//-----------------------------------------------------------------------------

// Chooses a target and sends the request to it, or ends the call. If no target is found for a hedge, the call goes on and the hedge is
// tried again later.
void ChooseTarget(const CallPtr& call, Choosing_ choosing);

// Ends the choosing without a target: refuses the request, unless an attempt is in flight or has given an answer.
void RejectOrFallBack(const CallPtr& call, Code_ code, const std::string& detail);

// Lets the requests that are choosing a target of the service go on at once, as the state of the path has changed.
void ContinueChoosing(ServiceState* service);

// Call when a slot of the target has come free. It goes to the request that ChooserMostUrgent() names.
void ServeWaiting(ServiceState* service, const std::string& target_id);

//-----------------------------------------------------------------------------
// [SECTION] Sending (attempt.cpp)
//-----------------------------------------------------------------------------

enum Verdict_ : int
{
    Verdict_Relay,  // The answer may be relayed to the caller.
    Verdict_NotRun, // The target did not receive the request, or did not run it.
    Verdict_Lost,   // The target may have run the request, and there is no usable answer.
    Verdict_COUNT,
};

// Adds an attempt that was sent to those in flight.
void StartAttempt(const CallPtr& call, const Attempt& attempt);

// Removes the attempt at the target, or at another instance, from those in flight.
Attempt TakeAttempt(Call* call, const std::string& target);

// Relays the answer of an attempt that has ended, tries again, or ends the call.
void ContinueCall(const CallPtr& call, Verdict_ verdict, ClientAnswer answer);

// Sends the request to the target.
void SendTo(const CallPtr& call, PoolTarget* target);

// Relays a target's answer to the caller and ends the call.
void RelayAnswer(const CallPtr& call, ClientAnswer answer);

// No target was found for a hedge: tries again after HedgeRetryUs.
void RetryHedgeLater(const CallPtr& call);

// Returns a retry that was taken from the budget but not sent.
void ReturnRetry(Call* call);

// Returns what was counted against the rate limits of targets that the request was not sent to.
void ReturnGrants(Call* call);

// Counts a failure against the targets of all attempts in flight: they did not answer in time.
void PenalizeTargets(const Call& call);

// The load report in a target's answer; none if it has none.
std::optional<LoadReport> ReadLoad(const Forwarder& forwarder, const std::vector<Header>& headers);

// Cancels all attempts in flight. Their connections are closed, so that the targets can stop the work.
void CancelAttempts(const CallPtr& call);

//-----------------------------------------------------------------------------
// [SECTION] Handing on to other instances (handoff.cpp)
//-----------------------------------------------------------------------------

// Hands the request to another instance. Returns false if it may not be handed on, or if nobody is left to take it.
bool HandOff(const CallPtr& call);

// The same in two parts: the address of the instance, empty if there is none, and the offer to it.
std::string PickPeer(const CallPtr& call);
void HandOffTo(const CallPtr& call, const std::string& address);

//-----------------------------------------------------------------------------
// [SECTION] Path to the targets (target_path.cpp)
//-----------------------------------------------------------------------------

// What the end of a probe or of an attempt says about the path to its target.
ContactEnd_ ContactEndOf(const ClientAnswer& answer);

// Records a contact with a target of the service. When the path is lost, starts to check it.
void NoteContact(Forwarder* forwarder, ServiceState* service, const std::string& target, ContactEnd_ end);

// The same for a contact begun at `begun` that has got no answer in time, and for the outcome of one that was late.
void NoteLate(Forwarder* forwarder, ServiceState* service, const std::string& target, TimeUs begun);
void NoteLateEnded(Forwarder* forwarder, ServiceState* service, const std::string& target, ContactEnd_ end, TimeUs begun);

// Records an attempt that was not answered in time, for the path and for the request.
void NoteUnanswered(Call* call, const Attempt& attempt);

using OnContacted = std::function<void(const std::string& target, ContactEnd_)>;

// Contacts a random target of the service, other than those of `except`, on a new connection, and records the outcome. Where the service
// has no health path nothing is sent: an accepted connection counts as an answer. Returns false if there is no such target.
bool ContactAnyTarget(Forwarder* forwarder, ServiceState* service, const std::vector<std::string>& except, OnContacted done);

// Whether most contacts of the request with targets failed: it was not served for lack of a path, not of free slots.
bool IsMostlyUnreached(const Call& call);

//-----------------------------------------------------------------------------
// [SECTION] Requests that crash targets (quarantined_calls.cpp)
//-----------------------------------------------------------------------------

// Key that identifies the request across the caller's tries, see RequestKey(). Computed on first use.
const std::string& CallKey(Call* call);

// Whether the request is quarantined: it must not be sent, as several targets crashed while they ran it.
bool IsQuarantined(Call* call);

// Refuses a request that is quarantined and has not run.
void EndCallQuarantined(const CallPtr& call);

// Call when the attempt's connection closed without an answer. Checks whether the target has crashed; a crash counts against the request.
void CheckForCrash(Call* call, const Attempt& attempt);

// Call when the attempt ends without an answer. If the target is later found to have crashed, the crash counts against the request.
void RecordUnanswered(Call* call, const Attempt& attempt);

// Counts newly detected crashes against the requests that were in flight at those targets and never answered.
void NoteCrashedTargets(Forwarder* forwarder);

// The request was answered: clears crashes recorded against it.
void NoteAnswered(Call* call);

//-----------------------------------------------------------------------------
// [SECTION] Planned stop (planned_stop.cpp)
//-----------------------------------------------------------------------------

// While the instance drains: moves the request's deadline before the stop, and refuses it when it is too late to send it.
void LimitToStop(const CallPtr& call);

// Whether a target that is expected to take that long answers before the instance stops. 0: nothing is known of the target.
bool AnswersBeforeStop(const Call& call, double expected_us);

} // namespace Winchlink
