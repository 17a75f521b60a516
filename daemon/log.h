// log.h: structured logs: one JSON line per event, to standard output.
//
// How to use it: Log(LogLevel_Warn, Code_RowLimit, "refused", {{"row", name}, {"retryAfterMs", ms}});
// Lines of several threads never mix: each is one write. The volume is bounded, and a reader that does not read is not waited for: lines
// beyond either are left out, and a line says how many.

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

// The level of that name, or none.
std::optional<LogLevel_> ParseLogLevel(const std::string& name);

// Lines below this level are dropped. Set once at start.
void SetLogLevel(LogLevel_ level);

struct LogField
{
    LogField(const char* key, const std::string& text);
    LogField(const char* key, const char* text);
    LogField(const char* key, int64_t number);
    LogField(const char* key, uint64_t number);
    LogField(const char* key, int number);

    const char* Key;   // JSON key.
    std::string Value; // Already JSON.
};

// Lines a second that Log() and LogSample() write; more are left out and counted. A burst may be as long as two seconds' worth.
inline constexpr double LogLinesPerSecond = 400;
inline constexpr double LogSamplesPerSecond = 5;

// How many lines may be written now.
struct LogAllowance
{
    double PerSecond = 0; // Lines.
    double Lines = 0;     // Left now.
    TimeUs FilledUs = 0;  // When Lines was last brought up to date.
    uint64_t LeftOut = 0; // Lines left out since the last one that was written.
};

// Takes one line, or counts it as left out.
bool LogAllowanceTake(LogAllowance* allowance, TimeUs now);

// Like Log(), for what happens with every request and is no failure: a few a second are written, each with how many were left out before.
void LogSample(LogLevel_ level, Code_ code, const char* event, const std::vector<LogField>& fields);

// Writes one line: time, level, code, event, then the fields.
void Log(LogLevel_ level, Code_ code, const char* event, const std::vector<LogField>& fields);

} // namespace Winchlink
