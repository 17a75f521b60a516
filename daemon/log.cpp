// log.cpp: structured logs: one JSON line per event, to standard error.

#include "log.h"

#include "clock.h"
#include "winchlink_json.h"

#include <atomic>
#include <fmt/chrono.h>
#include <fmt/format.h>
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

static void WriteAll(const std::string& line)
{
    size_t done = 0;
    while (done < line.size())
    {
        const ssize_t written = write(STDERR_FILENO, line.data() + done, line.size() - done);
        if (written <= 0)
        {
            return; // Nobody reads the log; there is nowhere to say so.
        }
        done += static_cast<size_t>(written);
    }
}

void Log(LogLevel_ level, Code_ code, const char* event, const std::vector<LogField>& fields)
{
    if (level < LeastLevel)
    {
        return;
    }
    const TimeUs wall = WallUs();
    const std::time_t seconds = wall / UsPerSecond;
    std::string line = fmt::format("{{\"time\":\"{:%FT%T}.{:06}Z\",\"level\":\"{}\",\"code\":{},\"event\":\"{}\"", fmt::gmtime(seconds),
                                   wall % UsPerSecond, LogLevelName(level), static_cast<int>(code), event);
    for (const LogField& field : fields)
    {
        line += fmt::format(",\"{}\":{}", field.Key, field.Value);
    }
    line += "}\n";
    WriteAll(line);
}

} // namespace Winchlink
