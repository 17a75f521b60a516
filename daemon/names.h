// names.h: header names and fixed words of the HTTP interfaces (docs/CALLERS.md and docs/TARGETS.md).

#pragma once

namespace Winchlink
{

// Towards callers and targets.
inline constexpr const char* HeaderDeadline = "X-Deadline-Ms";        // Milliseconds left, in both directions.
inline constexpr const char* HeaderRequestId = "X-Request-Id";        // Accepted from the caller or given by us.
inline constexpr const char* HeaderRun = "X-Winchlink-Run";           // Whether the request was run; one of the words below.
inline constexpr const char* HeaderCode = "X-Winchlink-Code";         // Numbered result code.
inline constexpr const char* HeaderRetryAfterMs = "X-Retry-After-Ms"; // Like Retry-After, but in milliseconds.

inline constexpr const char* RunNotRun = "not-run";
inline constexpr const char* RunUnknown = "unknown";

// From targets.
inline constexpr const char* HeaderStart = "X-Winchlink-Start"; // Start of the target's process; grows with each start.
inline constexpr const char* HeaderState = "X-Winchlink-State"; // "draining" while it leaves.
inline constexpr const char* HeaderBusy = "X-Winchlink-Busy";   // Requests it works on.

inline constexpr const char* StateDraining = "draining";
inline constexpr const char* HealthPath = "/health"; // Probed.

// The platform's service.
inline constexpr const char* PlatformValues = "/v1/values/"; // Followed by a name.
inline constexpr const char* PlatformIndexName = "index";
inline constexpr const char* PlatformRowPrefix = "row.";
inline constexpr const char* PlatformInstancesName = "instances";

} // namespace Winchlink
