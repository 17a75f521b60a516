// fanout_load_test.cpp: a fleet over several data centres that begins to follow, in virtual time: how often news cross between data
// centres.
//
// The decisions are the library's own (Fanout). Sizes are those of the users' deployments: 117 instances in three data centres, 587 in six.

#include "check.h"

#include <fmt/format.h>

namespace Winchlink
{

static constexpr int ContactCount = 3;

struct FanoutInstance
{
    Fanout Spread;
    std::string Address;
    std::string DataCentre;
    int Follows = -1; // Another instance; none: it reads the store.
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

static NewsHolder HolderFor(const FanoutFleet& fleet, const FanoutInstance& holder, const std::string& data_centre)
{
    NewsHolder known;
    known.Revision = 1;
    known.DataCentre = holder.DataCentre;
    for (const int follower : holder.Followers)
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

// Asks a first contact, and whoever it is sent to, until one lets it wait. Returns how many it asked.
static int Join(FanoutFleet* fleet, int instance)
{
    FanoutInstance& self = fleet->Instances[static_cast<size_t>(instance)];
    const bool contact = instance < ContactCount;
    int at = contact ? 0 : std::uniform_int_distribution<int>(0, ContactCount - 1)(fleet->Rng);
    for (int asked = 1;; asked++)
    {
        FanoutInstance& holder = fleet->Instances[static_cast<size_t>(at)];
        NewsAsker asker;
        asker.Address = self.Address;
        asker.DataCentre = self.DataCentre;
        asker.Seed = contact;
        asker.After = 1;
        const NewsAnswer answer = FanoutAsked(&holder.Spread, asker, HolderFor(*fleet, holder, self.DataCentre), fleet->Now, &fleet->Rng);
        if (answer.Action != NewsVerdict_SendOn)
        {
            self.Follows = at;
            holder.Followers.push_back(instance);
            return asked;
        }
        at = FindByAddress(*fleet, answer.Elsewhere.front());
    }
}

static FanoutFleet Joined(int instances, int data_centres, int* most_asked)
{
    FanoutFleet fleet = MakeFleet(instances, data_centres);
    for (int n = 1; n < instances; n++)
    {
        *most_asked = std::max(*most_asked, Join(&fleet, n));
    }
    return fleet;
}

// Of those that follow one in another data centre.
static int Crossings(const FanoutFleet& fleet)
{
    int crossings = 0;
    for (const FanoutInstance& one : fleet.Instances)
    {
        const bool crosses = one.Follows >= 0 && fleet.Instances[static_cast<size_t>(one.Follows)].DataCentre != one.DataCentre;
        crossings += crosses ? 1 : 0;
    }
    return crossings;
}

class FanoutLoadTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(FanoutLoadTest);
    CPPUNIT_TEST(NewsCrossAFewTimesForEachDataCentre);
    CPPUNIT_TEST(NobodyServesMoreThanItMay);
    CPPUNIT_TEST(StartsAreServedInTheirOwnDataCentre);
    CPPUNIT_TEST(ALostStoreIsHeardFromUs);
    CPPUNIT_TEST(WithoutDataCentresNewsCrossForMostInstances);
    CPPUNIT_TEST_SUITE_END();

    void NewsCrossAFewTimesForEachDataCentre()
    {
        for (const auto& [instances, data_centres] : std::vector<std::pair<int, int>>{{117, 3}, {587, 6}, {1200, 6}})
        {
            int asked = 0;
            const FanoutFleet fleet = Joined(instances, data_centres, &asked);
            const FanoutConfig config;
            // Each first contact serves so many in each other data centre, and the first contacts follow one of them.
            const int allowed = ContactCount * (data_centres - 1) * static_cast<int>(config.FarMost) + ContactCount;
            CPPUNIT_ASSERT(Crossings(fleet) <= allowed);
            CPPUNIT_ASSERT(asked <= 5);
        }
    }

    void NobodyServesMoreThanItMay()
    {
        int asked = 0;
        for (const FanoutInstance& one : Joined(1200, 6, &asked).Instances)
        {
            CPPUNIT_ASSERT(one.Followers.size() <= one.Spread.Config.FollowersMost);
        }
    }

    void StartsAreServedInTheirOwnDataCentre()
    {
        Fanout spread;
        Random random(1);
        NewsHolder holder;
        holder.Revision = 1;
        holder.DataCentre = "here";
        int here = 0;
        for (int n = 0; n < 6; n++)
        {
            NewsAsker asker;
            asker.FullRead = true;
            asker.Address = fmt::format("10.0.0.{}:80", n + 1);
            asker.DataCentre = "there";
            const NewsAnswer answer = FanoutAsked(&spread, asker, holder, UsPerSecond, &random);
            here += answer.Action == NewsVerdict_Answer ? 1 : 0;
            CPPUNIT_ASSERT(answer.Action == NewsVerdict_Answer || !answer.Elsewhere.empty());
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(spread.Config.FarMost), here);
    }

    void ALostStoreIsHeardFromUs()
    {
        Fanout spread;
        Random random(1);
        NewsHolder holder;
        holder.Revision = 1;
        holder.StoreLost = true;
        holder.DataCentre = "here";
        holder.Followers = {"10.0.0.1:80", "10.0.0.2:80"};
        holder.Nearby = holder.Followers;
        NewsAsker asker;
        asker.Address = "10.0.0.3:80";
        asker.DataCentre = "there";
        asker.After = 1;
        CPPUNIT_ASSERT_EQUAL(NewsVerdict_Answer, FanoutAsked(&spread, asker, holder, UsPerSecond, &random).Action);
    }

    // Planted: instances that don't say where they are.
    void WithoutDataCentresNewsCrossForMostInstances()
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
        CPPUNIT_ASSERT(Crossings(fleet) > 117 / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FanoutLoadTest);

} // namespace Winchlink
