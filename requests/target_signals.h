// target_signals.h: signals that targets send in the headers of their answers.
//
// Signals are applied when the headers arrive, whatever the status of the answer, and even if the request was cancelled or another attempt
// was answered first.

#pragma once

#include "forward.h"

namespace Winchlink
{

struct TargetSignals
{
    std::optional<double> LimitPerS; // Rate limit in requests per second, for all instances together.
    std::optional<TimeUs> BackoffUs; // Time for which this instance must send it nothing.
    std::optional<TimeUs> ColdUs;    // Remaining warm-up time.
    bool Draining = false;           // It takes no new requests.
    std::vector<Header> Invalid;     // Signal headers with malformed values, which are ignored.
};

// Parses the signals of one answer. `now_s`: wall-clock time in seconds; used for a Retry-After date if the answer has no Date header.
TargetSignals ParseTargetSignals(const WireNames& names, int status, const std::vector<Header>& headers, time_t now_s);

// The origin of an answer.
struct SignalSource
{
    std::string Target;       // Id of the target.
    uint64_t Incarnation = 0; // Incarnation of the target.
    bool HealthProbe = false; // Answer to a health probe; otherwise to a request.
};

// Applies the signals of an answer to the state of its target.
void ApplyTargetSignals(Forwarder* forwarder, ServiceState* service, const SignalSource& source, int status,
                        const std::vector<Header>& headers);

} // namespace Winchlink
