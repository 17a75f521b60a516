// path_fleet.h: instances that know each other, and targets behind proxies that can cut off single instances, in one event loop.

#pragma once

#include "clock.h"
#include "gateway_rig.h"
#include "process.h"
#include "proxy.h"

#include <fmt/format.h>

namespace Winchlink
{

inline constexpr TimeUs RoundUs = 30 * UsPerMs; // Time between two requests at one instance.

// IP from which an instance connects to its targets.
inline uint32_t SourceOf(size_t instance)
{
    constexpr uint32_t first = 0x7f000101; // 127.0.1.1
    return first + static_cast<uint32_t>(instance);
}

// First tries at one instance.
struct Tally
{
    int Sent = 0;
    int Served = 0;
};

// Instances that follow each other, and targets behind proxies that can cut off single instances.
struct PathFleet
{
    Rig Parts;
    std::vector<std::unique_ptr<Proxy>> Links;         // In the order of Parts.Targets.
    std::vector<std::string> Services;                 // Of the targets.
    std::vector<std::pair<size_t, RigAnswerPtr>> Sent; // Requests with the instance they were sent to.
    std::vector<RigAnswerPtr> Unsafe;                  // Those that must not run twice.

    explicit PathFleet(size_t instances, const std::vector<UsersCustomer>& customers = {})
    {
        for (int n = 0; n < 4; n++)
        {
            AddTarget(fmt::format("s{}", n), "svc");
        }
        for (int n = 0; n < 3; n++)
        {
            AddTarget(fmt::format("o{}", n), "other");
        }
        UsersRoute writes;
        writes.Name = "w";
        writes.Prefix = "/w/";
        writes.Safe = false;
        UsersRoute others;
        others.Name = "o";
        others.Prefix = "/o/";
        others.Parts = {{"other", 1}};
        const std::vector<UsersRoute> routes = {UsersRoute(), writes, others};
        customers.empty() ? RigConfigure(&Parts, routes) : RigConfigureWithCustomers(&Parts, routes, customers);
        StartInstances(instances);
    }

    void AddTarget(const std::string& id, const std::string& service)
    {
        Parts.Targets.push_back(std::make_unique<UsersTarget>());
        UsersTarget& target = *Parts.Targets.back();
        CPPUNIT_ASSERT(UsersTargetStart(&target, &Parts.Loop, id, FreeAddress()));
        Links.push_back(std::make_unique<Proxy>());
        CPPUNIT_ASSERT(ProxyStart(Links.back().get(), &Parts.Loop, FreeAddress(), target.Address));
        Services.push_back(service);
        UsersStoreTarget(&Parts.Store, id, service, Links.back()->Address, "dc-a");
    }

    void StartInstances(size_t instances)
    {
        std::vector<std::string> seeds;
        for (size_t n = 0; n < instances; n++)
        {
            Settings settings = RigSettings(Parts);
            settings.Instance = fmt::format("i{}", n);
            settings.DataCentre = n % 2 == 0 ? "dc-a" : "dc-b";
            settings.PeerAddress = FreeAddress();
            settings.SourceIp = fmt::format("127.0.1.{}", n + 1);
            if (seeds.size() < SeedsMax)
            {
                seeds.push_back(settings.PeerAddress);
            }
            settings.Peers = seeds;
            RigStartWith(&Parts, settings);
        }
        for (const auto& instance : Parts.Instances)
        {
            RigWaitForPlan(&Parts, *instance, Parts.Targets.size());
        }
        RigRunFor(&Parts, UsPerSecond); // Instances learn of each other.
        const auto has_peers = [](const std::unique_ptr<Gateway>& instance)
        {
            return !instance->Requests.Others.Known.empty();
        };
        const auto all_have_peers = [&]()
        {
            return std::all_of(Parts.Instances.begin(), Parts.Instances.end(), has_peers);
        };
        CPPUNIT_ASSERT(instances == 1 || RigRunUntil(&Parts, all_have_peers)); // A machine that is held up takes longer.
    }

    // Sets the mode between an instance and the targets of a service; empty: of all services.
    void Cut(size_t instance, ProxyMode_ mode, const std::string& service = "")
    {
        for (size_t n = 0; n < Links.size(); n++)
        {
            if (service.empty() || Services[n] == service)
            {
                ProxySetModeFor(Links[n].get(), SourceOf(instance), mode);
            }
        }
    }

    void SendOne(size_t instance, int number)
    {
        RigCall call;
        const bool unsafe = number % 3 == 1;
        call.Method = unsafe ? "POST" : "GET";
        call.Target = unsafe ? "/w/x" : number % 3 == 0 ? "/a/x" : "/o/x";
        call.Body = unsafe ? "once" : "";
        const RigAnswerPtr answer = RigSend(&Parts, *Parts.Instances[instance], call);
        Sent.emplace_back(instance, answer);
        if (unsafe)
        {
            Unsafe.push_back(answer);
        }
    }

    // Sends a request to each instance every RoundUs. `between` is called after each.
    void SendRounds(int rounds, const std::function<void(int)>& between = nullptr)
    {
        for (int n = 0; n < rounds; n++)
        {
            for (size_t instance = 0; instance < Parts.Instances.size(); instance++)
            {
                SendOne(instance, n);
            }
            RigRunFor(&Parts, RoundUs);
            if (between)
            {
                between(n);
            }
        }
    }

    void AwaitAll()
    {
        const auto done = [this]()
        {
            return std::all_of(Sent.begin(), Sent.end(), [](const auto& one) { return one.second->Done; });
        };
        CPPUNIT_ASSERT(RigRunUntil(&Parts, done));
    }

    // Answers of the requests sent since `first`, by instance.
    std::vector<Tally> Count(size_t first)
    {
        AwaitAll();
        std::vector<Tally> tallies(Parts.Instances.size());
        for (size_t n = first; n < Sent.size(); n++)
        {
            Tally& tally = tallies[Sent[n].first];
            const ClientAnswer& answer = Sent[n].second->Answer;
            tally.Sent++;
            tally.Served += answer.Status == 200 && FindHeader(answer.Headers, "Winchlink-Response-Signature") != nullptr ? 1 : 0;
        }
        return tallies;
    }

    // Checks that nothing unsafe ran twice, and that what was refused as "not run" was not run.
    void CheckRuns()
    {
        for (const RigAnswerPtr& answer : Unsafe)
        {
            const int status = answer->Answer.Status;
            const bool promised = status == 408 || status == 421 || status == 429 || status == 503;
            CPPUNIT_ASSERT_MESSAGE(answer->Id, RigRunCount(Parts, answer->Id) <= (promised ? 0 : 1));
        }
    }
};

} // namespace Winchlink
