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

static std::atomic<int> LeastLevel{LogLevel_Info};

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
    LeastLevel = level;
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

static std::mutex Allowances; // Guards the next two.
static LogAllowance AllLines = {LogLinesPerSecond, 2 * LogLinesPerSecond, 0, 0};
static LogAllowance Samples = {LogSamplesPerSecond, 2 * LogSamplesPerSecond, 0, 0};

bool LogAllowanceTake(LogAllowance* allowance, TimeUs now)
{
    const double most = 2 * allowance->PerSecond;
    const double since = static_cast<double>(now - allowance->FilledUs) / static_cast<double>(UsPerSecond);
    allowance->Lines = std::min(most, allowance->Lines + std::max(since, 0.0) * allowance->PerSecond);
    allowance->FilledUs = now;
    if (allowance->Lines < 1)
    {
        allowance->LeftOut++;
        return false;
    }
    allowance->Lines -= 1;
    return true;
}

// False if the line was not written whole: nobody reads, or not fast enough.
static bool WriteLine(const std::string& line)
{
    pollfd out = {STDOUT_FILENO, POLLOUT, 0};
    const bool ready = poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
    return ready && write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

static std::string FormatLine(LogLevel_ level, Code_ code, const char* event, const std::vector<LogField>& fields, uint64_t left_out)
{
    const TimeUs wall = WallUs();
    const std::time_t seconds = wall / UsPerSecond;
    std::string line = fmt::format("{{\"time\":\"{:%FT%T}.{:06}Z\",\"level\":\"{}\",\"code\":{},\"event\":\"{}\"", fmt::gmtime(seconds),
                                   wall % UsPerSecond, LogLevelName(level), static_cast<int>(code), event);
    for (const LogField& field : fields)
    {
        line += fmt::format(",\"{}\":{}", field.Key, field.Value);
    }
    line += left_out > 0 ? fmt::format(",\"leftOut\":{}", left_out) : "";
    return line + "}\n";
}

static void WriteWithin(LogAllowance* allowance, LogLevel_ level, Code_ code, const char* event, const std::vector<LogField>& fields)
{
    if (level < LeastLevel)
    {
        return;
    }
    const std::lock_guard<std::mutex> lock(Allowances);
    if (!LogAllowanceTake(allowance, NowUs()))
    {
        return;
    }
    if (!WriteLine(FormatLine(level, code, event, fields, allowance->LeftOut)))
    {
        allowance->LeftOut++;
        return;
    }
    allowance->LeftOut = 0;
}

void Log(LogLevel_ level, Code_ code, const char* event, const std::vector<LogField>& fields)
{
    WriteWithin(&AllLines, level, code, event, fields);
}

void LogSample(LogLevel_ level, Code_ code, const char* event, const std::vector<LogField>& fields)
{
    WriteWithin(&Samples, level, code, event, fields);
}

} // namespace Winchlink
