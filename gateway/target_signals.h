// target_signals.h: what a target says of itself in the headers of its answers.
//
// It counts once the headers are there, whatever the answer's status is and whatever becomes of its body or of the request: the caller may
// have left, another attempt may have been faster.

#pragma once

#include "forward.h"

namespace Winchlink
{

struct TargetSignals
{
    std::optional<double> LimitPerS; // Requests a second that it takes from all instances together.
    std::optional<TimeUs> BackoffUs; // It refuses, and wants nothing from this instance for so long.
    std::optional<TimeUs> ColdUs;    // It is cold for so much longer.
    bool Leaving = false;            // It takes no new requests.
    std::vector<Header> Unreadable;  // Headers of the above whose values make no sense; they say nothing.
};

// `status` and `headers` are of one answer. `now_s`: seconds of the wall clock, for a Retry-After that names a date in an answer without
// a Date of its own.
TargetSignals ReadTargetSignals(const WireNames& names, int status, const std::vector<Header>& headers, time_t now_s);

// Which target an answer is from, and to what.
struct SignalSource
{
    std::string Target;  // Id.
    uint64_t Life = 0;   // Which start of it.
    bool Health = false; // The answer is to a question about its health; else to a request.
};

// Takes note of what an answer says of its target.
void HearTarget(Forwarder* forwarder, ServiceState* service, const SignalSource& source, int status, const std::vector<Header>& headers);

} // namespace Winchlink
