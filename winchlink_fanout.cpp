// winchlink_fanout.cpp: whom an instance serves updates to, and whom it redirects to one of its followers.
//
// Index of this file:
// [SECTION] Redirects
// [SECTION] Decision

#include "winchlink.h"

#include <algorithm>
#include <utility>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Redirects
//-----------------------------------------------------------------------------

// A random selection of the addresses, without the requester's.
static std::vector<std::string> PickRandom(std::vector<std::string> addresses, const std::string& requester, size_t count, Random* random)
{
    const auto excluded = [&](const std::string& address)
    {
        return address.empty() || address == requester;
    };
    addresses.erase(std::remove_if(addresses.begin(), addresses.end(), excluded), addresses.end());
    std::shuffle(addresses.begin(), addresses.end(), *random);
    addresses.resize(std::min(addresses.size(), count));
    return addresses;
}

// The same, preferring the requester's data centre.
static std::vector<std::string> PickNearby(const std::vector<std::string>& nearby, const std::vector<std::string>& all,
                                           const std::string& requester, size_t count, Random* random)
{
    std::vector<std::string> named = PickRandom(nearby, requester, count, random);
    return named.empty() ? PickRandom(all, requester, count, random) : named;
}

// Whether the requester is in another data centre in which enough followers of this instance can serve it.
static bool IsServedInOwnDataCentre(const FanoutConfig& config, const UpdateRequest& requester, const UpdateServer& server, size_t nearby)
{
    const bool far = !requester.DataCentre.empty() && !server.DataCentre.empty() && requester.DataCentre != server.DataCentre;
    return far && !requester.Reader && nearby >= config.RemoteFollowersMax;
}

// Handles a full read. Returns the addresses to redirect to; empty if it is served here.
static std::vector<std::string> RedirectFullRead(Fanout* fanout, const UpdateRequest& requester, const UpdateServer& server, TimeUs now,
                                                 Random* random)
{
    std::deque<ServedFullRead>& starts = fanout->FullReads;
    while (!starts.empty() && now >= starts.front().ServedUs + fanout->Config.FullReadWindowUs)
    {
        starts.pop_front();
    }
    std::vector<std::string> served;
    std::vector<std::string> nearby;
    for (const ServedFullRead& start : starts)
    {
        served.push_back(start.Address);
        if (start.DataCentre == requester.DataCentre)
        {
            nearby.push_back(start.Address);
        }
    }
    const bool again = !requester.Address.empty() && std::find(served.begin(), served.end(), requester.Address) != served.end();
    const bool elsewhere =
        starts.size() >= fanout->Config.FullReadsMax || IsServedInOwnDataCentre(fanout->Config, requester, server, nearby.size());
    std::vector<std::string> named;
    if (!again && elsewhere)
    {
        named = PickNearby(nearby, served, requester.Address, fanout->Config.RedirectsMax, random);
    }
    if (named.empty())
    {
        starts.push_back({now, requester.Address, requester.DataCentre});
    }
    return named;
}

// Among instances without data, those with lower addresses read the store, and the others wait for them. Returns the address to redirect a
// lower one to, possibly its own; empty if it may wait here.
static std::vector<std::string> RedirectToLowest(Fanout* fanout, const UpdateRequest& requester, const UpdateServer& server, TimeUs now)
{
    std::deque<Starter>& starters = fanout->Starters;
    starters.push_back({now, requester.Address});
    while (now >= starters.front().AskedUs + fanout->Config.StarterExpiryUs)
    {
        starters.pop_front();
    }
    const bool waits = server.Reads || !requester.Starting || requester.Address.empty() || requester.Address > server.Own;
    if (waits)
    {
        return {};
    }
    std::string lowest = requester.Address;
    for (const Starter& starter : starters)
    {
        lowest = starter.Address.empty() ? lowest : std::min(lowest, starter.Address);
    }
    return {lowest};
}

//-----------------------------------------------------------------------------
// [SECTION] Decision
//-----------------------------------------------------------------------------

// Whether the requester is to be answered at once.
static bool AnswersNow(const UpdateRequest& requester, const UpdateServer& server)
{
    const bool both_lost = server.Revision == 0 && server.StoreLost && requester.StoreLost; // Waiting here would be pointless.
    if (requester.FullRead)
    {
        return server.Revision != 0 || both_lost;
    }
    const bool loss_changed = server.StoreLost != requester.StoreLost; // The state of the store has changed.
    const bool newer = requester.NewerThanUs != 0 && server.FreshUs >= requester.NewerThanUs;
    return server.Revision == 0 || requester.After != server.Revision || newer ||
           loss_changed; // A requester that is ahead is answered too, so that it leaves.
}

UpdateDecision FanoutDecide(Fanout* fanout, const UpdateRequest& requester, const UpdateServer& server, TimeUs now, Random* random)
{
    if (requester.AskStore)
    {
        return {UpdateAction_AskStore, {}};
    }
    const bool full = server.Followers.size() >= fanout->Config.FollowersMax;
    std::vector<std::string> named; // Empty while the store is lost: followers must get that from here.
    if (requester.FullRead && server.Revision == 0)
    {
        named = RedirectToLowest(fanout, requester, server, now);
    }
    if (requester.FullRead && named.empty())
    {
        named = RedirectFullRead(fanout, requester, server, now, random);
    }
    else if (!requester.FullRead && !server.StoreLost && !requester.Reader &&
             (full || IsServedInOwnDataCentre(fanout->Config, requester, server, server.Nearby.size())))
    {
        named = PickNearby(server.Nearby, server.Followers, requester.Address, fanout->Config.RedirectsMax, random);
    }
    if (!named.empty())
    {
        return {UpdateAction_Redirect, std::move(named)};
    }
    return {AnswersNow(requester, server) ? UpdateAction_Answer : UpdateAction_Hold, {}};
}

} // namespace Winchlink
