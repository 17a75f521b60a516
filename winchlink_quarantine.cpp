// winchlink_quarantine.cpp: requests that crash the targets that run them.
//
// The state is a set of crashes, each with its request and target. Two sets are merged by their union; a crash that is cleared in one is
// cleared in the result. The merge is commutative, so the order in which updates arrive does not matter.
//
// Index of this file:
// [SECTION] Decision
// [SECTION] Limits
// [SECTION] Events
// [SECTION] Exchange between instances

#include "winchlink_internal.h"

#include <algorithm>
#include <sodium.h>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Decision
//-----------------------------------------------------------------------------

static constexpr size_t NameBytesMax = 200; // Maximum bytes of a key or a target in an update.

uint64_t TargetIncarnationId(const std::string& id, uint64_t incarnation)
{
    return HashId("winchlink target", TargetIncarnation(id, incarnation));
}

std::string TargetIncarnation(const std::string& id, uint64_t incarnation)
{
    return incarnation == 0 ? id : id + "@" + std::to_string(incarnation);
}

static int CountCrashes(const SuspectRequest& request)
{
    const auto counts = [](const auto& entry)
    {
        return !entry.second.Cleared;
    };
    return static_cast<int>(std::count_if(request.Crashes.begin(), request.Crashes.end(), counts));
}

// Sorted times of the crashes that are not cleared.
static std::vector<TimeUs> CrashTimes(const SuspectRequest& request)
{
    std::vector<TimeUs> times;
    for (const auto& [target, crash] : request.Crashes)
    {
        if (!crash.Cleared)
        {
            times.push_back(crash.AtUs);
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

// The quarantine time doubles each time that a request crashes a target after its release. `times` is sorted.
static TimeUs QuarantineTime(const QuarantineConfig& config, const std::vector<TimeUs>& times)
{
    TimeUs duration = config.QuarantineUs;
    for (size_t n = 1; n < times.size(); n++)
    {
        const bool was_released = times[n] - times[n - 1] >= duration;
        duration = was_released ? std::min(2 * duration, config.QuarantineMaxUs) : duration;
    }
    return duration;
}

static void UpdateQuarantine(const QuarantineConfig& config, SuspectRequest* request)
{
    const std::vector<TimeUs> times = CrashTimes(*request);
    const bool quarantined = static_cast<int>(times.size()) >= config.CrashThreshold;
    request->QuarantinedUntilUs = quarantined ? times.back() + QuarantineTime(config, times) : 0;
}

static void AddText(crypto_generichash_state* state, const std::string& text)
{
    const uint64_t size = text.size();
    crypto_generichash_update(state, reinterpret_cast<const unsigned char*>(&size), sizeof size);
    crypto_generichash_update(state, reinterpret_cast<const unsigned char*>(text.data()), text.size());
}

static uint64_t MakeDigest(const Quarantine& quarantine)
{
    if (quarantine.Requests.empty())
    {
        return 0;
    }
    crypto_generichash_state state;
    std::array<unsigned char, crypto_generichash_BYTES_MIN> hash = {};
    crypto_generichash_init(&state, nullptr, 0, hash.size());
    for (const auto& [key, request] : quarantine.Requests)
    {
        for (const auto& [target, crash] : request.Crashes)
        {
            AddText(&state, key);
            AddText(&state, target);
            AddText(&state, crash.Cleared ? "cleared" : "");
        }
    }
    crypto_generichash_final(&state, hash.data(), hash.size());
    uint64_t digest = 0;
    std::copy_n(hash.begin(), sizeof digest, reinterpret_cast<unsigned char*>(&digest));
    return digest == 0 ? 1 : digest;
}

//-----------------------------------------------------------------------------
// [SECTION] Limits
//-----------------------------------------------------------------------------

static TimeUs LastCrashUs(const SuspectRequest& request)
{
    TimeUs last = 0;
    for (const auto& entry : request.Crashes)
    {
        last = std::max(last, entry.second.AtUs);
    }
    return last;
}

// Time after the last crash for which a request is kept. A quarantined one is kept beyond its release, so that the time can double.
static TimeUs RetentionOf(const QuarantineConfig& config, const SuspectRequest& request)
{
    return CountCrashes(request) < config.CrashThreshold ? config.QuarantineUs : 2 * QuarantineTime(config, CrashTimes(request));
}

static bool IsExpired(const QuarantineConfig& config, const SuspectRequest& request, TimeUs now)
{
    return now >= LastCrashUs(request) + RetentionOf(config, request);
}

// Removes the oldest crashes beyond the limit.
static void LimitCrashes(const QuarantineConfig& config, SuspectRequest* request)
{
    const auto earlier = [](const auto& a, const auto& b)
    {
        return a.second.AtUs < b.second.AtUs;
    };
    while (request->Crashes.size() > config.CrashesMax)
    {
        request->Crashes.erase(std::min_element(request->Crashes.begin(), request->Crashes.end(), earlier));
    }
}

// Removes requests beyond the limit: those with the fewest crashes first, and among these the ones whose last crash is the oldest.
static void LimitRequests(Quarantine* quarantine)
{
    const auto removed_before = [](const auto& a, const auto& b)
    {
        const int crashes_a = CountCrashes(a.second);
        const int crashes_b = CountCrashes(b.second);
        return crashes_a != crashes_b ? crashes_a < crashes_b : LastCrashUs(a.second) < LastCrashUs(b.second);
    };
    while (quarantine->Requests.size() > quarantine->Config.RequestsMax)
    {
        quarantine->Requests.erase(std::min_element(quarantine->Requests.begin(), quarantine->Requests.end(), removed_before));
    }
}

static void UpdateDerived(Quarantine* quarantine)
{
    LimitRequests(quarantine);
    for (auto& [key, request] : quarantine->Requests)
    {
        UpdateQuarantine(quarantine->Config, &request);
    }
    quarantine->Digest = MakeDigest(*quarantine);
}

static bool RemoveExpired(Quarantine* quarantine, TimeUs now)
{
    const size_t before = quarantine->Requests.size();
    for (auto entry = quarantine->Requests.begin(); entry != quarantine->Requests.end();)
    {
        entry = IsExpired(quarantine->Config, entry->second, now) ? quarantine->Requests.erase(entry) : std::next(entry);
    }
    return quarantine->Requests.size() != before;
}

void QuarantineExpire(Quarantine* quarantine, TimeUs now)
{
    if (RemoveExpired(quarantine, now))
    {
        UpdateDerived(quarantine);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

bool QuarantineAddCrash(Quarantine* quarantine, const std::string& request, const std::string& target, TimeUs now)
{
    SuspectRequest& suspect = quarantine->Requests[request];
    const bool is_new = suspect.Crashes.emplace(target, TargetCrash{now, false}).second;
    if (is_new)
    {
        LimitCrashes(quarantine->Config, &suspect);
        UpdateDerived(quarantine);
    }
    return is_new;
}

bool QuarantineClear(Quarantine* quarantine, const std::string& request)
{
    const auto found = quarantine->Requests.find(request);
    if (found == quarantine->Requests.end() || CountCrashes(found->second) == 0)
    {
        return false;
    }
    for (auto& entry : found->second.Crashes)
    {
        entry.second.Cleared = true;
    }
    UpdateDerived(quarantine);
    return true;
}

TimeUs QuarantineEndUs(const Quarantine& quarantine, const std::string& request, TimeUs now)
{
    const auto found = quarantine.Requests.find(request);
    return found != quarantine.Requests.end() && now < found->second.QuarantinedUntilUs ? found->second.QuarantinedUntilUs : 0;
}

int QuarantineCrashCount(const Quarantine& quarantine, const std::string& request)
{
    const auto found = quarantine.Requests.find(request);
    return found != quarantine.Requests.end() ? CountCrashes(found->second) : 0;
}

//-----------------------------------------------------------------------------
// [SECTION] Exchange between instances
//-----------------------------------------------------------------------------

std::vector<TargetCrashUpdate> QuarantineExport(const Quarantine& quarantine, TimeUs now)
{
    std::vector<TargetCrashUpdate> updates;
    for (const auto& [key, request] : quarantine.Requests)
    {
        for (const auto& [target, crash] : request.Crashes)
        {
            updates.push_back({key, target, now - crash.AtUs, crash.Cleared});
        }
    }
    return updates;
}

static bool IsPlausible(const QuarantineConfig& config, const TargetCrashUpdate& update)
{
    const bool names =
        !update.Request.empty() && update.Request.size() <= NameBytesMax && !update.Target.empty() && update.Target.size() <= NameBytesMax;
    return names && update.AgeUs >= 0 && update.AgeUs < 2 * config.QuarantineMaxUs;
}

// Merges one crash; true if it was new or newly cleared. Keeps the earlier of two times, so that forwarding never makes a crash younger.
static bool MergeCrash(Quarantine* quarantine, const TargetCrashUpdate& update, TimeUs now)
{
    SuspectRequest& request = quarantine->Requests[update.Request];
    const auto [entry, is_new] = request.Crashes.emplace(update.Target, TargetCrash{now - update.AgeUs, update.Cleared});
    TargetCrash& crash = entry->second;
    const bool cleared_since = !is_new && update.Cleared && !crash.Cleared;
    crash.AtUs = std::min(crash.AtUs, now - update.AgeUs);
    crash.Cleared = crash.Cleared || update.Cleared;
    return is_new || cleared_since;
}

bool QuarantineMerge(Quarantine* quarantine, const std::vector<TargetCrashUpdate>& updates, TimeUs now)
{
    const uint64_t before = quarantine->Digest;
    for (const TargetCrashUpdate& update : updates)
    {
        if (IsPlausible(quarantine->Config, update) && MergeCrash(quarantine, update, now))
        {
            LimitCrashes(quarantine->Config, &quarantine->Requests[update.Request]);
        }
    }
    RemoveExpired(quarantine, now);
    UpdateDerived(quarantine);
    return quarantine->Digest != before;
}

} // namespace Winchlink
