// log.cpp: structured logs: one JSON line per event, to standard output.

#include "log.h"

#include "clock.h"
#include "winchlink_internal.h"

#include <algorithm>
#include <atomic>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace Winchlink
{

static std::atomic<int> MinLevel{LogLevel_Info};

static const std::array<const char*, LogLevel_COUNT> LevelNames = {"debug", "info", "warn", "error"};

const char* LogLevelName(LogLevel_ level)
{
    return LevelNames[level];
}

std::optional<LogLevel_> ParseLogLevel(const std::string& name)
{
    for (int n = 0; n < LogLevel_COUNT; n++)
    {
        if (name == LevelNames[n])
        {
            return static_cast<LogLevel_>(n);
        }
    }
    return std::nullopt;
}

void SetLogLevel(LogLevel_ level)
{
    MinLevel = level;
}

LogField::LogField(const char* key, const std::string& text) : Key(key), Value(DumpJson(JsonText(text), JSON_ENCODE_ANY))
{
}

LogField::LogField(const char* key, const char* text) : LogField(key, std::string(text))
{
}

LogField::LogField(const char* key, int64_t number) : Key(key), Value(std::to_string(number))
{
}

LogField::LogField(const char* key, uint64_t number) : Key(key), Value(std::to_string(number))
{
}

LogField::LogField(const char* key, int number) : Key(key), Value(std::to_string(number))
{
}

static std::mutex Limits; // Guards AllLines and Samples.
static LogRateLimit AllLines = {LogLinesPerSecond, 2 * LogLinesPerSecond, 0, 0};
static LogRateLimit Samples = {LogSamplesPerSecond, 2 * LogSamplesPerSecond, 0, 0};

bool LogRateLimitTake(LogRateLimit* limit, TimeUs now)
{
    const double max_lines = 2 * limit->PerSecond;
    const double since = static_cast<double>(now - limit->RefilledUs) / static_cast<double>(UsPerSecond);
    limit->Lines = std::min(max_lines, limit->Lines + std::max(since, 0.0) * limit->PerSecond);
    limit->RefilledUs = now;
    if (limit->Lines < 1)
    {
        limit->Dropped++;
        return false;
    }
    limit->Lines -= 1;
    return true;
}

// Writes without blocking. False if the line was not written in full: standard output is not read, or not fast enough.
static bool WriteLine(const std::string& line)
{
    pollfd out = {STDOUT_FILENO, POLLOUT, 0};
    const bool ready = poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
    return ready && write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

static std::string FormatLine(LogLevel_ level, Code_ code, const char* event, const std::vector<LogField>& fields, uint64_t dropped)
{
    const TimeUs wall = WallUs();
    const std::time_t seconds = wall / UsPerSecond;
    std::string line = fmt::format("{{\"time\":\"{:%FT%T}.{:06}Z\",\"level\":\"{}\",\"code\":{},\"event\":\"{}\"", fmt::gmtime(seconds),
                                   wall % UsPerSecond, LogLevelName(level), static_cast<int>(code), event);
    for (const LogField& field : fields)
    {
        line += fmt::format(",\"{}\":{}", field.Key, field.Value);
    }
    line += dropped > 0 ? fmt::format(",\"leftOut\":{}", dropped) : "";
    return line + "}\n";
}

static void WriteLimited(LogRateLimit* limit, LogLevel_ level, Code_ code, const char* event, const std::vector<LogField>& fields)
{
    if (level < MinLevel)
    {
        return;
    }
    const std::lock_guard<std::mutex> lock(Limits);
    if (!LogRateLimitTake(limit, NowUs()))
    {
        return;
    }
    if (!WriteLine(FormatLine(level, code, event, fields, limit->Dropped)))
    {
        limit->Dropped++;
        return;
    }
    limit->Dropped = 0;
}

void Log(LogLevel_ level, Code_ code, const char* event, const std::vector<LogField>& fields)
{
    WriteLimited(&AllLines, level, code, event, fields);
}

void LogSample(LogLevel_ level, Code_ code, const char* event, const std::vector<LogField>& fields)
{
    WriteLimited(&Samples, level, code, event, fields);
}

} // namespace Winchlink
