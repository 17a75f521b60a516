// log.h: structured logs: one JSON line per event, to standard output.
//
// How to use it: Log(LogLevel_Warn, Code_RowLimit, "refused", {{"row", name}, {"retryAfterMs", ms}});
// Thread-safe: each line is a single write. Never blocks: lines beyond the rate limit, or that the reader of standard output doesn't accept
// at once, are dropped, and the next line says how many ("leftOut").

#pragma once

#include "winchlink.h"

namespace Winchlink
{

enum LogLevel_ : int
{
    LogLevel_Debug,
    LogLevel_Info,
    LogLevel_Warn,
    LogLevel_Error,
    LogLevel_COUNT,
};

const char* LogLevelName(LogLevel_ level);

// The level with that name, or none.
std::optional<LogLevel_> ParseLogLevel(const std::string& name);

// Lines below this level are not written. Set once at start.
void SetLogLevel(LogLevel_ level);

struct LogField
{
    LogField(const char* key, const std::string& text);
    LogField(const char* key, const char* text);
    LogField(const char* key, int64_t number);
    LogField(const char* key, uint64_t number);
    LogField(const char* key, int number);

    const char* Key;   // JSON key.
    std::string Value; // Encoded as JSON.
};

// Rate limits of Log() and LogSample(), lines a second. Bursts of up to two seconds' worth are allowed.
inline constexpr double LogLinesPerSecond = 400;
inline constexpr double LogSamplesPerSecond = 5;

// Token bucket that limits the rate of lines.
struct LogRateLimit
{
    double PerSecond = 0;  // Refill rate, lines a second.
    double Lines = 0;      // Lines that may be written now.
    TimeUs RefilledUs = 0; // When Lines was last refilled.
    uint64_t Dropped = 0;  // Lines dropped since the last written one.
};

// Takes one line from the bucket. If it is empty, counts the line as dropped and returns false.
bool LogRateLimitTake(LogRateLimit* allowance, TimeUs now);

// Like Log(), for frequent events such as those of single requests: at most LogSamplesPerSecond lines, each with the number of dropped
// ones.
void LogSample(LogLevel_ level, Code_ code, const char* event, const std::vector<LogField>& fields);

// Writes one line: time, level, code, event, and the fields.
void Log(LogLevel_ level, Code_ code, const char* event, const std::vector<LogField>& fields);

} // namespace Winchlink
