// wire_names.h: the header names that an instance speaks towards callers and targets.
//
// The defaults are the project's own (docs/CALLERS.md, docs/TARGETS.md); an adapter replaces them by those of its platform.

#pragma once

#include <string>

namespace Winchlink
{

inline constexpr const char* HeaderCode = "X-Winchlink-Code"; // Numbered result code, in our own answers.
inline constexpr const char* NotRun = "not-run";              // Value of WireNames::Outcome: no target has run or will run the request.
inline constexpr const char* OutcomeUnknown = "unknown";      // It may have been run.

struct WireNames
{
    std::string RequestId = "X-Request-Id";        // Request and answer: tells answers on one connection apart.
    bool AnswersNameRequest = false;               // Targets must repeat it in answers; else they may.
    std::string Deadline = "X-Deadline-Ms";        // Request: milliseconds that the sender will wait.
    std::string ExpectedTarget;                    // Request to a target: another target must not run it. Empty: not sent.
    std::string Signature;                         // Answer: only a target sets it. Empty: not checked.
    std::string NotExecuted = "X-Winchlink-Run";   // Answer: the target did not run the request, where it has this value.
    std::string NotExecutedValue = NotRun;         // Empty: any.
    std::string Load = "X-Winchlink-Load";         // Answer: the target's load.
    std::string ColdMs = "X-Winchlink-Cold-Ms";    // Answer to a health question: how much longer the target is cold.
    std::string TargetId;                          // Answer to a health question: which target answers. Empty: not checked.
    std::string Customer = "X-Winchlink-Customer"; // Request to a target: whose request it is, where the plan has customers.
    std::string Limit = "X-Winchlink-Limit";       // Answer: requests a second that the target takes from all instances together.
    std::string Leaving = "X-Winchlink-Leaving";   // Answer: "1": the target takes no new requests.
    std::string RetryAfter = "Retry-After";        // Refusal, to a caller or of a target: seconds, fractions included.
    std::string Outcome = "X-Winchlink-Run";       // Our own answer to a caller: one of the two words above. Empty: not sent.
};

} // namespace Winchlink
