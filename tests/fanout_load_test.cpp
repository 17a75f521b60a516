// fanout_load_test.cpp: simulates a fleet in several data centres whose instances choose their sources, in virtual time with the library's
// Fanout. Guards against too many transfers between data centres and against sources with too many followers.

#include "check.h"

#include <fmt/format.h>

namespace Winchlink
{

static constexpr int SeedCount = 3;

struct FanoutInstance
{
    Fanout Spread;
    std::string Address;
    std::string DataCentre;
    int Source = -1; // Index of its source; -1 if it reads the store.
    std::vector<int> Followers;
};

struct FanoutFleet
{
    std::vector<FanoutInstance> Instances;
    Random Rng{20261203};
    TimeUs Now = UsPerSecond;
};

static FanoutFleet MakeFleet(int instances, int data_centres)
{
    FanoutFleet fleet;
    fleet.Instances.resize(static_cast<size_t>(instances));
    for (int n = 0; n < instances; n++)
    {
        fleet.Instances[static_cast<size_t>(n)].Address = fmt::format("10.0.{}.{}:80", n / 250, n % 250);
        fleet.Instances[static_cast<size_t>(n)].DataCentre = fmt::format("dc-{}", n % data_centres);
    }
    return fleet;
}

static UpdateServer ServerFor(const FanoutFleet& fleet, const FanoutInstance& server, const std::string& data_centre)
{
    UpdateServer known;
    known.Revision = 1;
    known.DataCentre = server.DataCentre;
    for (const int follower : server.Followers)
    {
        const FanoutInstance& one = fleet.Instances[static_cast<size_t>(follower)];
        known.Followers.push_back(one.Address);
        if (one.DataCentre == data_centre)
        {
            known.Nearby.push_back(one.Address);
        }
    }
    return known;
}

static int FindByAddress(const FanoutFleet& fleet, const std::string& address)
{
    const auto has = [&](const FanoutInstance& one)
    {
        return one.Address == address;
    };
    return static_cast<int>(std::find_if(fleet.Instances.begin(), fleet.Instances.end(), has) - fleet.Instances.begin());
}

// Calls a seed and the instances that it is redirected to until one accepts it as a follower. Returns the number of calls.
static int Join(FanoutFleet* fleet, int instance)
{
    FanoutInstance& self = fleet->Instances[static_cast<size_t>(instance)];
    const bool is_seed = instance < SeedCount;
    int at = is_seed ? 0 : std::uniform_int_distribution<int>(0, SeedCount - 1)(fleet->Rng);
    for (int calls = 1;; calls++)
    {
        FanoutInstance& server = fleet->Instances[static_cast<size_t>(at)];
        UpdateRequest request;
        request.Address = self.Address;
        request.DataCentre = self.DataCentre;
        request.Reader = is_seed;
        request.After = 1;
        const UpdateDecision answer =
            FanoutDecide(&server.Spread, request, ServerFor(*fleet, server, self.DataCentre), fleet->Now, &fleet->Rng);
        if (answer.Action != UpdateAction_Redirect)
        {
            self.Source = at;
            server.Followers.push_back(instance);
            return calls;
        }
        at = FindByAddress(*fleet, answer.Elsewhere.front());
    }
}

static FanoutFleet MakeJoinedFleet(int instances, int data_centres, int* max_calls)
{
    FanoutFleet fleet = MakeFleet(instances, data_centres);
    for (int n = 1; n < instances; n++)
    {
        *max_calls = std::max(*max_calls, Join(&fleet, n));
    }
    return fleet;
}

// Number of instances that follow a source in another data centre.
static int CountRemoteFollowers(const FanoutFleet& fleet)
{
    int remote = 0;
    for (const FanoutInstance& one : fleet.Instances)
    {
        const bool is_remote = one.Source >= 0 && fleet.Instances[static_cast<size_t>(one.Source)].DataCentre != one.DataCentre;
        remote += is_remote ? 1 : 0;
    }
    return remote;
}

class FanoutLoadTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(FanoutLoadTest);
    CPPUNIT_TEST(FewFollowersHaveARemoteSource);
    CPPUNIT_TEST(NoSourceHasTooManyFollowers);
    CPPUNIT_TEST(FullReadsAreRedirectedToTheirOwnDataCentre);
    CPPUNIT_TEST(ALostStoreIsReportedWithoutARedirect);
    CPPUNIT_TEST(WithoutDataCentresMostSourcesAreRemote);
    CPPUNIT_TEST_SUITE_END();

    void FewFollowersHaveARemoteSource()
    {
        for (const auto& [instances, data_centres] : std::vector<std::pair<int, int>>{{117, 3}, {587, 6}, {1200, 6}})
        {
            int calls = 0;
            const FanoutFleet fleet = MakeJoinedFleet(instances, data_centres, &calls);
            const FanoutConfig config;
            // Each seed serves RemoteFollowersMax followers in each other data centre, and the seeds follow one of the seeds.
            const int allowed = SeedCount * (data_centres - 1) * static_cast<int>(config.RemoteFollowersMax) + SeedCount;
            CPPUNIT_ASSERT(CountRemoteFollowers(fleet) <= allowed);
            CPPUNIT_ASSERT(calls <= 5);
        }
    }

    void NoSourceHasTooManyFollowers()
    {
        int calls = 0;
        for (const FanoutInstance& one : MakeJoinedFleet(1200, 6, &calls).Instances)
        {
            CPPUNIT_ASSERT(one.Followers.size() <= one.Spread.Config.FollowersMax);
        }
    }

    void FullReadsAreRedirectedToTheirOwnDataCentre()
    {
        Fanout spread;
        Random random(1);
        UpdateServer server;
        server.Revision = 1;
        server.DataCentre = "here";
        int here = 0;
        for (int n = 0; n < 6; n++)
        {
            UpdateRequest request;
            request.FullRead = true;
            request.Address = fmt::format("10.0.0.{}:80", n + 1);
            request.DataCentre = "there";
            const UpdateDecision answer = FanoutDecide(&spread, request, server, UsPerSecond, &random);
            here += answer.Action == UpdateAction_Answer ? 1 : 0;
            CPPUNIT_ASSERT(answer.Action == UpdateAction_Answer || !answer.Elsewhere.empty());
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(spread.Config.RemoteFollowersMax), here);
    }

    void ALostStoreIsReportedWithoutARedirect()
    {
        Fanout spread;
        Random random(1);
        UpdateServer server;
        server.Revision = 1;
        server.StoreLost = true;
        server.DataCentre = "here";
        server.Followers = {"10.0.0.1:80", "10.0.0.2:80"};
        server.Nearby = server.Followers;
        UpdateRequest request;
        request.Address = "10.0.0.3:80";
        request.DataCentre = "there";
        request.After = 1;
        CPPUNIT_ASSERT_EQUAL(UpdateAction_Answer, FanoutDecide(&spread, request, server, UsPerSecond, &random).Action);
    }

    // Counter-check: without data centres in the requests, most followers have a source in another data centre.
    void WithoutDataCentresMostSourcesAreRemote()
    {
        FanoutFleet fleet = MakeFleet(117, 3);
        std::vector<std::string> where;
        for (FanoutInstance& one : fleet.Instances)
        {
            where.push_back(one.DataCentre);
            one.DataCentre = "";
        }
        for (int n = 1; n < 117; n++)
        {
            Join(&fleet, n);
        }
        for (size_t n = 0; n < where.size(); n++)
        {
            fleet.Instances[n].DataCentre = where[n];
        }
        CPPUNIT_ASSERT(CountRemoteFollowers(fleet) > 117 / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FanoutLoadTest);

} // namespace Winchlink
