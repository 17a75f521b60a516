// fuzz_signals.cpp: libFuzzer target for the signals in targets' headers and for the quota messages between instances. All values that are
// read, and those stored from messages, must be within their ranges.

#include "quota_link.h"
#include "target_signals.h"

#include <cmath>

namespace
{

void Require(bool holds)
{
    if (!holds)
    {
        __builtin_trap();
    }
}

void ReadHeaders(const std::string& text)
{
    using Winchlink::UsPerSecond;
    const std::vector<Winchlink::Header> headers = {
        {"X-Winchlink-Limit", text}, {"X-Winchlink-Cold-Ms", text}, {"X-Winchlink-Leaving", text}, {"Retry-After", text}, {"Date", text}};
    const Winchlink::TargetSignals signals = Winchlink::ParseTargetSignals(Winchlink::WireNames(), 503, headers, 0);
    Require(!signals.LimitPerS || (std::isfinite(*signals.LimitPerS) && *signals.LimitPerS >= 0));
    Require(!signals.BackoffUs || (*signals.BackoffUs >= 0 && *signals.BackoffUs <= 3600 * UsPerSecond));
    Require(!signals.ColdUs || (*signals.ColdUs >= 0 && *signals.ColdUs <= 3600 * UsPerSecond));
}

void ApplyMessage(const std::string& bytes)
{
    constexpr Winchlink::TimeUs now = 1000 * Winchlink::UsPerSecond;
    const Winchlink::Result<Winchlink::QuotaMessage> message = Winchlink::DecodeQuota(bytes);
    if (!message)
    {
        return;
    }
    Winchlink::Quota quota;
    quota.Config = Winchlink::TargetQuotaConfig();
    Winchlink::QuotaOnReport(&quota, "a", message.value().Report, false, now);
    Winchlink::QuotaOnAnswer(&quota, message.value().Answer, now);
    for (const auto& [id, named] : quota.Limits)
    {
        Require(std::isfinite(named.PerS) && named.PerS >= 0 && named.ReceivedUs <= now);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    ReadHeaders(bytes);
    ApplyMessage(bytes);
    return 0;
}
