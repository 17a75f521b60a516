// target_signals.cpp: signals that targets send in the headers of their answers.
//
// Index of this file:
// [SECTION] Parsing
// [SECTION] Applying

#include "target_signals.h"

#include "clock.h"
#include "log.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <fmt/format.h>

namespace Winchlink
{

static constexpr double BackoffMaxS = 3600; // Upper bound of a requested backoff.
static constexpr double ColdMaxMs = 3.6e6;  // Upper bound of a reported warm-up.
static constexpr double LimitMaxPerS = 1e9; // Upper bound of a rate limit.

//-----------------------------------------------------------------------------
// [SECTION] Parsing
//-----------------------------------------------------------------------------

// Parses a non-negative decimal number; none if the text is anything else.
static std::optional<double> ParseNumber(const std::string& text)
{
    const bool decimal = !text.empty() && text.find_first_not_of("0123456789.") == std::string::npos;
    if (!decimal)
    {
        return std::nullopt;
    }
    char* end = nullptr;
    const double number = std::strtod(text.c_str(), &end);
    const bool whole = end == text.c_str() + text.size() && std::isfinite(number);
    return whole ? std::optional<double>(number) : std::nullopt;
}

static std::optional<time_t> ParseDate(const std::string& text)
{
    const time_t date = curl_getdate(text.c_str(), nullptr);
    return date >= 0 ? std::optional<time_t>(date) : std::nullopt;
}

// Parses seconds or an HTTP date. A date is taken relative to the answer's Date header, as the clocks may differ.
static std::optional<double> ParseRetryAfter(const std::string& text, const std::vector<Header>& headers, time_t now_s)
{
    const std::optional<double> seconds = ParseNumber(text);
    const bool has_letters = std::any_of(text.begin(), text.end(), [](unsigned char c) { return std::isalpha(c) != 0; });
    const std::optional<time_t> until = has_letters ? ParseDate(text) : std::nullopt;
    if (seconds || !until)
    {
        return seconds;
    }
    const std::string* date = FindHeader(headers, "Date");
    const std::optional<time_t> from = date != nullptr ? ParseDate(*date) : std::nullopt;
    return std::max(std::difftime(*until, from.value_or(now_s)), 0.0);
}

static TimeUs ToTimeUs(double amount, double max, TimeUs unit)
{
    return std::llround(std::min(amount, max) * static_cast<double>(unit));
}

static bool IsRefusal(int status)
{
    return status == 429 || status == 503;
}

// Parses the number in a header; a malformed value is added to signals->Invalid.
static std::optional<double> ParseNumberHeader(const std::vector<Header>& headers, const std::string& name, TargetSignals* signals)
{
    const std::string* text = name.empty() ? nullptr : FindHeader(headers, name);
    const std::optional<double> number = text != nullptr ? ParseNumber(*text) : std::nullopt;
    if (text != nullptr && !number)
    {
        signals->Invalid.push_back({name, *text});
    }
    return number;
}

TargetSignals ParseTargetSignals(const WireNames& names, int status, const std::vector<Header>& headers, time_t now_s)
{
    TargetSignals signals;
    const std::optional<double> limit = ParseNumberHeader(headers, names.Limit, &signals);
    if (limit)
    {
        signals.LimitPerS = std::min(*limit, LimitMaxPerS);
    }
    const std::optional<double> cold = ParseNumberHeader(headers, names.WarmupMs, &signals);
    if (cold)
    {
        signals.ColdUs = ToTimeUs(*cold, ColdMaxMs, UsPerMs);
    }
    const std::string* draining = FindHeader(headers, names.Draining);
    signals.Draining = draining != nullptr && *draining == "1";
    const std::string* retry = IsRefusal(status) ? FindHeader(headers, names.RetryAfter) : nullptr;
    const std::optional<double> backoff = retry != nullptr ? ParseRetryAfter(*retry, headers, now_s) : std::nullopt;
    if (backoff)
    {
        signals.BackoffUs = ToTimeUs(*backoff, BackoffMaxS, UsPerSecond);
    }
    else if (retry != nullptr)
    {
        signals.Invalid.push_back({names.RetryAfter, *retry});
    }
    return signals;
}

//-----------------------------------------------------------------------------
// [SECTION] Applying
//-----------------------------------------------------------------------------

static void CountSignals(const TargetSignals& signals, SignalCounters* counters)
{
    counters->Limits += signals.LimitPerS ? 1 : 0;
    counters->Backoffs += signals.BackoffUs ? 1 : 0;
    counters->Draining += signals.Draining ? 1 : 0;
    counters->Invalid += signals.Invalid.size();
}

static void LogInvalidSignals(const SignalSource& source, const std::vector<Header>& unreadable)
{
    for (const Header& header : unreadable)
    {
        LogSample(LogLevel_Warn, Code_None, "target signal can't be read",
                  {{"target", source.Target}, {"header", header.Name}, {"value", header.Value}});
    }
}

static void LogSignals(const SignalSource& source, int status, const TargetSignals& signals)
{
    if (signals.LimitPerS || signals.BackoffUs || signals.Draining)
    {
        LogSample(LogLevel_Info, Code_None, "target signal",
                  {{"target", source.Target},
                   {"health", source.HealthProbe ? 1 : 0},
                   {"status", status},
                   {"limitPerS", signals.LimitPerS ? fmt::format("{:.3f}", *signals.LimitPerS) : ""},
                   {"backoffUs", signals.BackoffUs.value_or(-1)},
                   {"leaving", signals.Draining ? 1 : 0}});
    }
    LogInvalidSignals(source, signals.Invalid);
}

// Only an answer to a request can remove a limit by not having one: health answers of some targets never contain it.
static void ApplyLimit(Forwarder* forwarder, const SignalSource& source, const TargetSignals& signals)
{
    const bool removes_limit = !source.HealthProbe && !forwarder->TargetLimits.Limits.empty();
    if (!signals.LimitPerS && !removes_limit)
    {
        return;
    }
    const uint64_t id = TargetIncarnationId(source.Target, source.Incarnation);
    if (QuotaSetTargetLimit(&forwarder->TargetLimits, id, signals.LimitPerS, NowUs()))
    {
        Log(LogLevel_Info, Code_None, signals.LimitPerS ? "target names a limit" : "target names no limit any more",
            {{"target", source.Target},
             {"perS", fmt::format("{:.3f}", signals.LimitPerS.value_or(0))},
             {"health", source.HealthProbe ? 1 : 0}});
        if (forwarder->OnTargetLimitChanged)
        {
            forwarder->OnTargetLimitChanged();
        }
    }
}

static void ApplyBackoff(ServiceState* service, const SignalSource& source, int status, const TargetSignals& signals)
{
    const TimeUs now = NowUs();
    const TimeUs time = signals.BackoffUs.value_or(0);
    if (time > 0 && PoolBackOff(&service->Pool, source.Target, source.Incarnation, now + time, now))
    {
        Log(LogLevel_Info, Code_None, "target wants nothing",
            {{"target", source.Target}, {"forUs", time}, {"status", status}, {"health", source.HealthProbe ? 1 : 0}});
    }
}

static void ApplyDraining(Forwarder* forwarder, const SignalSource& source, const TargetSignals& signals)
{
    if (signals.Draining && DirectoryMarkDraining(&forwarder->Directory, source.Target, source.Incarnation))
    {
        Log(LogLevel_Info, Code_None, "target says that it leaves", {{"target", source.Target}, {"health", source.HealthProbe ? 1 : 0}});
        // Deferred to the event loop: ForwarderFollow() may send requests, which must not happen inside the header callback of a transfer.
        forwarder->FollowTimer = TimerStart(forwarder->Loop, 0, [forwarder]() { ForwarderFollow(forwarder); });
    }
}

static void ApplyWarmup(ServiceState* service, const SignalSource& source, const TargetSignals& signals)
{
    PoolTarget* target = signals.ColdUs ? PoolFind(&service->Pool, source.Target) : nullptr;
    if (target != nullptr && target->Incarnation == source.Incarnation)
    {
        PoolSetCold(service->Pool, target, NowUs() + *signals.ColdUs);
    }
}

void ApplyTargetSignals(Forwarder* forwarder, ServiceState* service, const SignalSource& source, int status,
                        const std::vector<Header>& headers)
{
    constexpr int wrong_target = 421; // Misdirected request: the signals are those of another target at that address.
    if (status == wrong_target)
    {
        return;
    }
    const TargetSignals signals = ParseTargetSignals(forwarder->Names, status, headers, std::time(nullptr));
    CountSignals(signals, &service->Signals);
    LogSignals(source, status, signals);
    ApplyLimit(forwarder, source, signals);
    ApplyBackoff(service, source, status, signals);
    ApplyDraining(forwarder, source, signals);
    ApplyWarmup(service, source, signals);
}

} // namespace Winchlink
