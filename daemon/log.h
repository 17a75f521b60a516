// log.h: structured logs: one JSON line per event, to standard error.
//
// How to use it: Log(LogLevel_Warn, Code_RowLimit, "refused", {{"row", name}, {"retryAfterMs", ms}});
// Lines of several threads never mix: each is one write.

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

// Writes one line: time, level, code, event, then the fields.
void Log(LogLevel_ level, Code_ code, const char* event, const std::vector<LogField>& fields);

} // namespace Winchlink
