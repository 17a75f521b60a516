// winchlink_quarantine.cpp: requests that end the targets that run them.
//
// What is known is a set of ends, each with the request and the target. Two sets are merged by taking all of both; an end that is cleared
// in one is cleared in both. So the order in which instances hear of each other's ends does not matter.
//
// Index of this file:
// [SECTION] Judging
// [SECTION] Bounds
// [SECTION] What happened
// [SECTION] Between instances

#include "winchlink_internal.h"

#include <algorithm>
#include <sodium.h>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Judging
//-----------------------------------------------------------------------------

static constexpr size_t NameMost = 200; // Bytes of a key or a target's name that another instance tells: ids of the store are no longer.

uint64_t TargetLifeId(const std::string& id, uint64_t life)
{
    return HashId("winchlink target", TargetLife(id, life));
}

std::string TargetLife(const std::string& id, uint64_t life)
{
    return life == 0 ? id : id + "@" + std::to_string(life);
}

static int CountEnds(const SuspectRequest& request)
{
    const auto counts = [](const auto& entry)
    {
        return !entry.second.Cleared;
    };
    return static_cast<int>(std::count_if(request.Ends.begin(), request.Ends.end(), counts));
}

// When the ends that count were, in order.
static std::vector<TimeUs> TimesOf(const SuspectRequest& request)
{
    std::vector<TimeUs> times;
    for (const auto& [target, end] : request.Ends)
    {
        if (!end.Cleared)
        {
            times.push_back(end.AtUs);
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

// A request that was let go and ended a target again is held for twice as long as the last time. `times` in order.
static TimeUs HoldTime(const QuarantineConfig& config, const std::vector<TimeUs>& times)
{
    TimeUs hold = config.HoldUs;
    for (size_t n = 1; n < times.size(); n++)
    {
        const bool was_let_go = times[n] - times[n - 1] >= hold;
        hold = was_let_go ? std::min(2 * hold, config.HoldMostUs) : hold;
    }
    return hold;
}

static void Judge(const QuarantineConfig& config, SuspectRequest* request)
{
    const std::vector<TimeUs> times = TimesOf(*request);
    const bool held = static_cast<int>(times.size()) >= config.EndsMost;
    request->HeldUntilUs = held ? times.back() + HoldTime(config, times) : 0;
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
        for (const auto& [target, end] : request.Ends)
        {
            AddText(&state, key);
            AddText(&state, target);
            AddText(&state, end.Cleared ? "cleared" : "");
        }
    }
    crypto_generichash_final(&state, hash.data(), hash.size());
    uint64_t digest = 0;
    std::copy_n(hash.begin(), sizeof digest, reinterpret_cast<unsigned char*>(&digest));
    return digest == 0 ? 1 : digest;
}

//-----------------------------------------------------------------------------
// [SECTION] Bounds
//-----------------------------------------------------------------------------

static TimeUs LastEnd(const SuspectRequest& request)
{
    TimeUs last = 0;
    for (const auto& entry : request.Ends)
    {
        last = std::max(last, entry.second.AtUs);
    }
    return last;
}

// How long after its last end a request is remembered: one that has been held, until it could be let go once more.
static TimeUs KeptFor(const QuarantineConfig& config, const SuspectRequest& request)
{
    return CountEnds(request) < config.EndsMost ? config.HoldUs : 2 * HoldTime(config, TimesOf(request));
}

static bool IsTooOld(const QuarantineConfig& config, const SuspectRequest& request, TimeUs now)
{
    return now >= LastEnd(request) + KeptFor(config, request);
}

// The oldest ends go first.
static void BoundEnds(const QuarantineConfig& config, SuspectRequest* request)
{
    const auto earlier = [](const auto& a, const auto& b)
    {
        return a.second.AtUs < b.second.AtUs;
    };
    while (request->Ends.size() > config.EndsKept)
    {
        request->Ends.erase(std::min_element(request->Ends.begin(), request->Ends.end(), earlier));
    }
}

// Of those with the fewest ends the oldest goes first: only targets that really end fill the list, and a request that has ended many stays.
static void BoundRequests(Quarantine* quarantine)
{
    const auto weaker = [](const auto& a, const auto& b)
    {
        const int ends_a = CountEnds(a.second);
        const int ends_b = CountEnds(b.second);
        return ends_a != ends_b ? ends_a < ends_b : LastEnd(a.second) < LastEnd(b.second);
    };
    while (quarantine->Requests.size() > quarantine->Config.RequestsMost)
    {
        quarantine->Requests.erase(std::min_element(quarantine->Requests.begin(), quarantine->Requests.end(), weaker));
    }
}

static void BringUpToDate(Quarantine* quarantine)
{
    BoundRequests(quarantine);
    for (auto& [key, request] : quarantine->Requests)
    {
        Judge(quarantine->Config, &request);
    }
    quarantine->Digest = MakeDigest(*quarantine);
}

static bool DropTooOld(Quarantine* quarantine, TimeUs now)
{
    const size_t before = quarantine->Requests.size();
    for (auto entry = quarantine->Requests.begin(); entry != quarantine->Requests.end();)
    {
        entry = IsTooOld(quarantine->Config, entry->second, now) ? quarantine->Requests.erase(entry) : std::next(entry);
    }
    return quarantine->Requests.size() != before;
}

void QuarantineForget(Quarantine* quarantine, TimeUs now)
{
    if (DropTooOld(quarantine, now))
    {
        BringUpToDate(quarantine);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] What happened
//-----------------------------------------------------------------------------

bool QuarantineNote(Quarantine* quarantine, const std::string& request, const std::string& target, TimeUs now)
{
    SuspectRequest& suspect = quarantine->Requests[request];
    const bool is_new = suspect.Ends.emplace(target, TargetEnd{now, false}).second;
    if (is_new)
    {
        BoundEnds(quarantine->Config, &suspect);
        BringUpToDate(quarantine);
    }
    return is_new;
}

bool QuarantineAnswered(Quarantine* quarantine, const std::string& request)
{
    const auto found = quarantine->Requests.find(request);
    if (found == quarantine->Requests.end() || CountEnds(found->second) == 0)
    {
        return false;
    }
    for (auto& entry : found->second.Ends)
    {
        entry.second.Cleared = true;
    }
    BringUpToDate(quarantine);
    return true;
}

TimeUs QuarantineUntil(const Quarantine& quarantine, const std::string& request, TimeUs now)
{
    const auto found = quarantine.Requests.find(request);
    return found != quarantine.Requests.end() && now < found->second.HeldUntilUs ? found->second.HeldUntilUs : 0;
}

int QuarantineEnds(const Quarantine& quarantine, const std::string& request)
{
    const auto found = quarantine.Requests.find(request);
    return found != quarantine.Requests.end() ? CountEnds(found->second) : 0;
}

//-----------------------------------------------------------------------------
// [SECTION] Between instances
//-----------------------------------------------------------------------------

std::vector<TargetEndNews> QuarantineTell(const Quarantine& quarantine, TimeUs now)
{
    std::vector<TargetEndNews> news;
    for (const auto& [key, request] : quarantine.Requests)
    {
        for (const auto& [target, end] : request.Ends)
        {
            news.push_back({key, target, now - end.AtUs, end.Cleared});
        }
    }
    return news;
}

static bool MakesSense(const QuarantineConfig& config, const TargetEndNews& news)
{
    const bool names = !news.Request.empty() && news.Request.size() <= NameMost && !news.Target.empty() && news.Target.size() <= NameMost;
    return names && news.AgeUs >= 0 && news.AgeUs < 2 * config.HoldMostUs;
}

// Takes one end. Of two times the earlier one stays, so that handing an end round never makes it younger.
static bool TakeEnd(Quarantine* quarantine, const TargetEndNews& news, TimeUs now)
{
    SuspectRequest& request = quarantine->Requests[news.Request];
    const auto [entry, is_new] = request.Ends.emplace(news.Target, TargetEnd{now - news.AgeUs, news.Cleared});
    TargetEnd& end = entry->second;
    const bool cleared_since = !is_new && news.Cleared && !end.Cleared;
    end.AtUs = std::min(end.AtUs, now - news.AgeUs);
    end.Cleared = end.Cleared || news.Cleared;
    return is_new || cleared_since;
}

bool QuarantineTake(Quarantine* quarantine, const std::vector<TargetEndNews>& news, TimeUs now)
{
    const uint64_t before = quarantine->Digest;
    for (const TargetEndNews& end : news)
    {
        if (MakesSense(quarantine->Config, end) && TakeEnd(quarantine, end, now))
        {
            BoundEnds(quarantine->Config, &quarantine->Requests[end.Request]);
        }
    }
    DropTooOld(quarantine, now);
    BringUpToDate(quarantine);
    return quarantine->Digest != before;
}

} // namespace Winchlink
