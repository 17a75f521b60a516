// quarantine_fleet.h: instances that exchange updates, and targets that some requests crash, in one event loop.

#pragma once

#include "gateway_rig.h"

#include <fmt/format.h>

namespace Winchlink
{

inline constexpr const char* CrashingPath = "/a/ends";

// Instances that exchange updates, the first two of them seeds, and targets that a request for CrashingPath crashes.
struct QuarantineFleet
{
    Rig Parts;
    std::vector<std::string> SeedAddresses;
    std::vector<Gateway*> Instances;
    int Targets = 0;

    QuarantineFleet(int instances, int targets)
    {
        UsersRoute route;
        route.Attempts = 1; // So that one call crashes at most one target.
        route.AimS = RelaxedAimS;
        SeedAddresses = {FreeAddress(), FreeAddress()};
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
        target.CrashPrefix = CrashingPath;
        return target;
    }

    // Starts another incarnation of a target.
    void RestartTarget(const std::string& id, uint64_t incarnation)
    {
        Parts.Targets.push_back(std::make_unique<UsersTarget>());
        UsersTarget& target = *Parts.Targets.back();
        CPPUNIT_ASSERT(UsersTargetStart(&target, &Parts.Loop, id, FreeAddress()));
        target.CrashPrefix = CrashingPath;
        UsersStoreTarget(&Parts.Store, id, "svc", target.Address, "dc-a", false, 0, incarnation);
    }

    Gateway& AddInstance()
    {
        Settings settings = RigSettings(Parts);
        const size_t index = Instances.size();
        settings.Peers = SeedAddresses;
        settings.PeerAddress = index < SeedAddresses.size() ? SeedAddresses[index] : FreeAddress();
        Instances.push_back(&RigStartWith(&Parts, settings));
        RigWaitForPlan(&Parts, *Instances.back(), static_cast<size_t>(Targets));
        return *Instances.back();
    }

    int CrashedCount() const
    {
        int crashed = 0;
        for (const auto& target : Parts.Targets)
        {
            crashed += target->Listening < 0 ? 1 : 0;
        }
        return crashed;
    }

    RigAnswer SendCrashingCall(const Gateway& instance, const std::string& method = "GET")
    {
        RigCall call;
        call.Method = method;
        call.Target = CrashingPath;
        return RigSendAndWait(&Parts, instance, call);
    }
};

inline constexpr TimeUs SpreadUs = 500 * UsPerMs; // Time within which an update reaches all instances that are connected.

} // namespace Winchlink
