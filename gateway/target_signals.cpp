// target_signals.cpp: what a target says of itself in the headers of its answers.
//
// Index of this file:
// [SECTION] Reading
// [SECTION] Hearing

#include "target_signals.h"

#include "clock.h"
#include "log.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <fmt/format.h>

namespace Winchlink
{

static constexpr double BackoffMostS = 3600; // A target that asks for more is tried once an hour.
static constexpr double ColdMostMs = 3.6e6;  // The same.
static constexpr double LimitMostPerS = 1e9; // More is no limit.

//-----------------------------------------------------------------------------
// [SECTION] Reading
//-----------------------------------------------------------------------------

// A number from 0 that makes up the whole text; none for anything else.
static std::optional<double> ReadNumber(const std::string& text)
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

static std::optional<time_t> ReadDate(const std::string& text)
{
    const time_t date = curl_getdate(text.c_str(), nullptr);
    return date >= 0 ? std::optional<time_t>(date) : std::nullopt;
}

// Seconds, or a date, which is seen against the answer's own Date: clocks differ.
static std::optional<double> ReadRetryAfter(const std::string& text, const std::vector<Header>& headers, time_t now_s)
{
    const std::optional<double> seconds = ReadNumber(text);
    const bool has_letters = std::any_of(text.begin(), text.end(), [](unsigned char c) { return std::isalpha(c) != 0; });
    const std::optional<time_t> until = has_letters ? ReadDate(text) : std::nullopt;
    if (seconds || !until)
    {
        return seconds;
    }
    const std::string* date = FindHeader(headers, "Date");
    const std::optional<time_t> from = date != nullptr ? ReadDate(*date) : std::nullopt;
    return std::max(std::difftime(*until, from.value_or(now_s)), 0.0);
}

static TimeUs TimeOf(double amount, double most, TimeUs unit)
{
    return std::llround(std::min(amount, most) * static_cast<double>(unit));
}

static bool IsRefusal(int status)
{
    return status == 429 || status == 503;
}

// The number in a header; one that makes no sense is put among those that can't be read.
static std::optional<double> NumberIn(const std::vector<Header>& headers, const std::string& name, TargetSignals* signals)
{
    const std::string* text = name.empty() ? nullptr : FindHeader(headers, name);
    const std::optional<double> number = text != nullptr ? ReadNumber(*text) : std::nullopt;
    if (text != nullptr && !number)
    {
        signals->Unreadable.push_back({name, *text});
    }
    return number;
}

TargetSignals ReadTargetSignals(const WireNames& names, int status, const std::vector<Header>& headers, time_t now_s)
{
    TargetSignals signals;
    const std::optional<double> limit = NumberIn(headers, names.Limit, &signals);
    if (limit)
    {
        signals.LimitPerS = std::min(*limit, LimitMostPerS);
    }
    const std::optional<double> cold = NumberIn(headers, names.ColdMs, &signals);
    if (cold)
    {
        signals.ColdUs = TimeOf(*cold, ColdMostMs, UsPerMs);
    }
    const std::string* leaving = FindHeader(headers, names.Leaving);
    signals.Leaving = leaving != nullptr && *leaving == "1";
    const std::string* retry = IsRefusal(status) ? FindHeader(headers, names.RetryAfter) : nullptr;
    const std::optional<double> backoff = retry != nullptr ? ReadRetryAfter(*retry, headers, now_s) : std::nullopt;
    if (backoff)
    {
        signals.BackoffUs = TimeOf(*backoff, BackoffMostS, UsPerSecond);
    }
    else if (retry != nullptr)
    {
        signals.Unreadable.push_back({names.RetryAfter, *retry});
    }
    return signals;
}

//-----------------------------------------------------------------------------
// [SECTION] Hearing
//-----------------------------------------------------------------------------

static void CountSignals(const TargetSignals& signals, SignalCounters* counters)
{
    counters->Limits += signals.LimitPerS ? 1 : 0;
    counters->Backoffs += signals.BackoffUs ? 1 : 0;
    counters->Leaving += signals.Leaving ? 1 : 0;
    counters->Unreadable += signals.Unreadable.size();
}

static void LogUnreadable(const SignalSource& source, const std::vector<Header>& unreadable)
{
    for (const Header& header : unreadable)
    {
        LogSample(LogLevel_Warn, Code_None, "target signal can't be read",
                  {{"target", source.Target}, {"header", header.Name}, {"value", header.Value}});
    }
}

static void LogSignals(const SignalSource& source, int status, const TargetSignals& signals)
{
    if (signals.LimitPerS || signals.BackoffUs || signals.Leaving)
    {
        LogSample(LogLevel_Info, Code_None, "target signal",
                  {{"target", source.Target},
                   {"health", source.Health ? 1 : 0},
                   {"status", status},
                   {"limitPerS", signals.LimitPerS ? fmt::format("{:.3f}", *signals.LimitPerS) : ""},
                   {"backoffUs", signals.BackoffUs.value_or(-1)},
                   {"leaving", signals.Leaving ? 1 : 0}});
    }
    LogUnreadable(source, signals.Unreadable);
}

// A health answer without a limit says nothing of one that only answers to requests have named: some targets tell less there.
static void HearLimit(Forwarder* forwarder, const SignalSource& source, const TargetSignals& signals)
{
    const bool ends_one = !source.Health && !forwarder->TargetLimits.Named.empty();
    if (!signals.LimitPerS && !ends_one)
    {
        return;
    }
    const uint64_t id = TargetLifeId(source.Target, source.Life);
    if (QuotaName(&forwarder->TargetLimits, id, signals.LimitPerS, NowUs()))
    {
        Log(LogLevel_Info, Code_None, signals.LimitPerS ? "target names a limit" : "target names no limit any more",
            {{"target", source.Target}, {"perS", fmt::format("{:.3f}", signals.LimitPerS.value_or(0))}, {"health", source.Health ? 1 : 0}});
        if (forwarder->OnLimit)
        {
            forwarder->OnLimit();
        }
    }
}

static void HearBackoff(ServiceState* service, const SignalSource& source, int status, const TargetSignals& signals)
{
    const TimeUs now = NowUs();
    const TimeUs time = signals.BackoffUs.value_or(0);
    if (time > 0 && PoolBackOff(&service->Pool, source.Target, source.Life, now + time, now))
    {
        Log(LogLevel_Info, Code_None, "target wants nothing",
            {{"target", source.Target}, {"forUs", time}, {"status", status}, {"health", source.Health ? 1 : 0}});
    }
}

static void HearLeaving(Forwarder* forwarder, const SignalSource& source, const TargetSignals& signals)
{
    if (signals.Leaving && DirectoryToldLeaving(&forwarder->Directory, source.Target, source.Life))
    {
        Log(LogLevel_Info, Code_None, "target says that it leaves", {{"target", source.Target}, {"health", source.Health ? 1 : 0}});
        forwarder->Following =
            TimerStart(forwarder->Loop, 0, [forwarder]() { ForwarderFollow(forwarder); }); // May send, as we may not here.
    }
}

static void HearCold(ServiceState* service, const SignalSource& source, const TargetSignals& signals)
{
    PoolTarget* target = signals.ColdUs ? PoolFind(&service->Pool, source.Target) : nullptr;
    if (target != nullptr && target->Life == source.Life)
    {
        PoolToldCold(service->Pool.Config, target, NowUs() + *signals.ColdUs);
    }
}

void HearTarget(Forwarder* forwarder, ServiceState* service, const SignalSource& source, int status, const std::vector<Header>& headers)
{
    constexpr int wrong_target = 421; // What it says is of another target at that address.
    if (status == wrong_target)
    {
        return;
    }
    const TargetSignals signals = ReadTargetSignals(forwarder->Names, status, headers, std::time(nullptr));
    CountSignals(signals, &service->Signals);
    LogSignals(source, status, signals);
    HearLimit(forwarder, source, signals);
    HearBackoff(service, source, status, signals);
    HearLeaving(forwarder, source, signals);
    HearCold(service, source, signals);
}

} // namespace Winchlink
