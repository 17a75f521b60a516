// handoff.h: hands a caller's request to another instance when this one reaches no target of its service, and takes those of others.
//
// The request goes over one hop at most: a request that was taken from another instance is never handed on. It keeps its id, method, path,
// body, headers and the caller's key, and is authorized, limited and sent by the instance that takes it as if its caller had come there.
// Its deadline is what is left of it. The answer says whether a target gave it; if not, its result code says whether the request may have
// run. So a request that must not run twice is offered to a second instance only if it surely was not read, or not run, by the first.
//
// How to use it: HandOff() for a request of this instance; HandoffReceive() for requests on the address for other instances.

#pragma once

#include "forward.h"

namespace Winchlink
{

inline constexpr const char* HeaderHandoff = "X-Winchlink-Handoff"; // Of a handed-on request, and of its answer.

// Value of the header of a request: "ATTEMPTS VERSION AGEMS FROM SERVICE".
struct HandoffOffer
{
    int AttemptsMax = 1;      // Targets that the request may still be sent to.
    uint64_t PlanVersion = 0; // Plan in force at the offering instance; one with an older plan must not take the request.
    TimeUs DataAgeUs = 0;     // Age of its data; an instance whose data is much older must not take the request either.
    std::string From;         // Its address for others.
    std::string Service;      // Service that the route's split has chosen for the request.
};

// Value of the header of its answer: "CODE ATTEMPTS TAKEN [PEERS]".
struct HandoffResult
{
    Code_ Code = Code_None;             // None: a target's answer.
    int Attempts = 0;                   // Targets that the request was sent to.
    int Taken = 0;                      // Requests of other instances that this one has in progress.
    std::vector<PeerUpdate> TryInstead; // Instances that may take it, if this one has no path.
};

std::string FormatHandoffOffer(const HandoffOffer& offer);
std::optional<HandoffOffer> ParseHandoffOffer(const std::string& text);
std::string FormatHandoffResult(const HandoffResult& result);
std::optional<HandoffResult> ParseHandoffResult(const std::string& text);

// Takes a request from another instance, or refuses it. Returns false if the exchange is no handed-on request.
bool HandoffReceive(Forwarder* forwarder, const ExchangePtr& exchange);

} // namespace Winchlink
