// wire_names.h: the header names that a gateway instance speaks towards callers and targets.
//
// The defaults are the project's own (docs/CALLERS.md, docs/TARGETS.md); an adapter replaces them by those of its platform.

#pragma once

#include "names.h"

#include <string>

namespace Winchlink
{

struct WireNames
{
    std::string RequestId = HeaderRequestId;        // Request and answer: tells answers on one connection apart.
    std::string Deadline = HeaderDeadline;          // Request: milliseconds that the sender will wait.
    std::string ExpectedTarget = "X-Expect-Target"; // Request to a target: another target must not run it.
    std::string Signature;                          // Answer: only a target sets it; empty: not checked.
    std::string NotExecuted = HeaderRun;            // Answer: the target did not run the request.
    std::string Load = HeaderBusy;                  // Answer: the target's load.
    std::string TargetId = "X-Target";              // Answer to a health question: which target answers.
    std::string RetryAfter = "Retry-After";         // Answer to a caller: seconds, fractions included.
};

} // namespace Winchlink
