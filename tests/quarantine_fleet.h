// quarantine_fleet.h: instances that know each other, and targets that some requests end, in one event loop.

#pragma once

#include "gateway_rig.h"

#include <fmt/format.h>

namespace Winchlink
{

inline constexpr const char* EndingPath = "/a/ends";

// Instances that know each other, and targets that a request of EndingPath ends.
struct QuarantineFleet
{
    Rig Parts;
    std::vector<std::string> Contacts;
    std::vector<Gateway*> Instances;
    int Targets = 0;

    QuarantineFleet(int instances, int targets)
    {
        UsersRoute route;
        route.Attempts = 1; // So that one try ends one target at the most.
        Contacts = {FreeAddress(), FreeAddress()};
        for (int n = 0; n < targets; n++)
        {
            AddTarget();
        }
        RigConfigure(&Parts, {route});
        for (int n = 0; n < instances; n++)
        {
            AddInstance();
        }
    }

    UsersTarget& AddTarget()
    {
        UsersTarget& target = RigTarget(&Parts, fmt::format("t{}", ++Targets));
        target.EndsOn = EndingPath;
        return target;
    }

    // A target under an id that was there before.
    void StartAgain(const std::string& id, uint64_t life)
    {
        Parts.Targets.push_back(std::make_unique<UsersTarget>());
        UsersTarget& target = *Parts.Targets.back();
        CPPUNIT_ASSERT(UsersTargetStart(&target, &Parts.Loop, id, FreeAddress()));
        target.EndsOn = EndingPath;
        UsersStoreTarget(&Parts.Store, id, "svc", target.Address, "dc-a", false, 0, life);
    }

    Gateway& AddInstance()
    {
        Settings settings = RigSettings(Parts);
        const size_t index = Instances.size();
        settings.Peers = Contacts;
        settings.PeerAddress = index < Contacts.size() ? Contacts[index] : FreeAddress();
        Instances.push_back(&RigStartWith(&Parts, settings));
        RigAwait(&Parts, *Instances.back(), static_cast<size_t>(Targets));
        return *Instances.back();
    }

    int Ended() const
    {
        int ended = 0;
        for (const auto& target : Parts.Targets)
        {
            ended += target->Listening < 0 ? 1 : 0;
        }
        return ended;
    }

    RigAnswer AskEnding(const Gateway& instance, const std::string& method = "GET")
    {
        RigCall call;
        call.Method = method;
        call.Target = EndingPath;
        return RigAsk(&Parts, instance, call);
    }
};

inline constexpr TimeUs SpreadUs = 500 * UsPerMs; // Every instance that hears anybody knows by then what one of them has seen.

} // namespace Winchlink
