// plan_test.cpp: the route plan. Guards against requests that match the wrong route, and against a wrong split of a route's requests by
// weight.

#include "check.h"

#include <cmath>
#include <fmt/format.h>

namespace Winchlink
{

static Route MakeRoute(const std::string& name, const std::string& host, const std::string& prefix)
{
    Route route;
    route.Name = name;
    route.Host = host;
    route.PathPrefix = prefix;
    route.Parts = {{"svc", 1}};
    return route;
}

// Reference implementation of FindRoute: tries every prefix of the path, longest first.
static std::string FindRouteByTrying(const RoutePlan& plan, const std::string& host, const std::string& path)
{
    for (size_t length = path.size(); length > 0; length--)
    {
        for (const Route& route : plan.Routes)
        {
            const bool whole_part = path[length - 1] == '/' || length == path.size() || path[length] == '/';
            if (route.Host == host && whole_part && route.PathPrefix == path.substr(0, length))
            {
                return route.Name;
            }
        }
    }
    return "";
}

class PlanTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(PlanTest);
    CPPUNIT_TEST(LongestPrefixOfTheHostWins);
    CPPUNIT_TEST(QueryAndPortDoNotCount);
    CPPUNIT_TEST(ANamedHostWinsOverAnyHost);
    CPPUNIT_TEST(RetryableMethodsAreRespected);
    CPPUNIT_TEST(SplitFollowsWeights);
    CPPUNIT_TEST(SplitOfAFleetFollowsWeights);
    CPPUNIT_TEST_SUITE_END();

    void LongestPrefixOfTheHostWins()
    {
        CHECK_PROPERTY("the route found is the one that trying every prefix finds",
                       []()
                       {
                           TestRandom dice;
                           RoutePlan plan;
                           std::set<std::string> used;
                           for (int n = 0; n < 12; n++)
                           {
                               const std::string host = dice.OneIn(2) ? "a" : "b";
                               std::string prefix = "/";
                               for (int64_t part = dice.Between(0, 4); part > 0; part--)
                               {
                                   prefix += dice.OneIn(2) ? "x/" : "xy/";
                               }
                               if (prefix.size() > 1 && dice.OneIn(3))
                               {
                                   prefix.pop_back(); // "/x" matches "/x" and "/x/y", but not "/xy".
                               }
                               if (used.insert(host + prefix).second)
                               {
                                   plan.Routes.push_back(MakeRoute(fmt::format("r{}", n), host, prefix));
                               }
                           }
                           std::string path = "/";
                           for (int64_t part = dice.Between(0, 6); part > 0; part--)
                           {
                               path += dice.OneIn(2) ? "x/" : "xy";
                           }
                           const std::string host = dice.OneIn(2) ? "a" : "b";
                           const Route* found = FindRoute(plan, host, path);
                           RC_ASSERT((found != nullptr ? found->Name : "") == FindRouteByTrying(plan, host, path));
                       });
    }

    void QueryAndPortDoNotCount()
    {
        RoutePlan plan;
        plan.Routes = {MakeRoute("r", "a.example", "/a/"), MakeRoute("q", "a.example", "/a/b/")};
        CPPUNIT_ASSERT_EQUAL(std::string("r"), FindRoute(plan, "A.example:8080", "/a/?x=/a/b/")->Name);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), FindRoute(plan, "a.example", "/a/b/?x")->Name);
        CPPUNIT_ASSERT(FindRoute(plan, "a.example", "/?/a/") == nullptr);
        CPPUNIT_ASSERT(FindRoute(plan, "", "/a/") == nullptr);
    }

    void ANamedHostWinsOverAnyHost()
    {
        RoutePlan plan;
        plan.Routes = {MakeRoute("any", "", "/a/long/prefix"), MakeRoute("named", "a.example", "/")};
        CPPUNIT_ASSERT_EQUAL(std::string("named"), FindRoute(plan, "a.example", "/a/long/prefix")->Name);
        CPPUNIT_ASSERT_EQUAL(std::string("any"), FindRoute(plan, "b.example", "/a/long/prefix/7?q")->Name);
        CPPUNIT_ASSERT(FindRoute(plan, "b.example", "/a/long/prefixes") == nullptr);
        plan.Routes = {MakeRoute("named", "a.example", "/"), MakeRoute("any", "", "/a/long/prefix")};
        CPPUNIT_ASSERT_EQUAL(std::string("named"), FindRoute(plan, "a.example", "/a/long/prefix")->Name);
    }

    void RetryableMethodsAreRespected()
    {
        Route route = MakeRoute("r", "", "/");
        route.RetryMethods = {"GET", "PUT"};
        CPPUNIT_ASSERT(MayRetry(route, "PUT") && !MayRetry(route, "POST") && !MayRetry(route, "get"));
        route.Retryable = true;
        CPPUNIT_ASSERT(MayRetry(route, "POST"));
    }

    void SplitFollowsWeights()
    {
        CHECK_PROPERTY("after any number of requests each part is within one request of its share",
                       []()
                       {
                           TestRandom dice;
                           std::vector<RoutePart> parts;
                           int64_t sum = 0;
                           for (int64_t n = dice.Between(2, 5); n > 0; n--)
                           {
                               const int weight = static_cast<int>(dice.Between(0, 100));
                               parts.push_back({std::to_string(n), weight});
                               sum += weight;
                           }
                           RC_PRE(sum > 0);
                           RouteSplit split;
                           std::vector<int> got(parts.size(), 0);
                           const int64_t requests = dice.Between(1, 400);
                           for (int64_t n = 0; n < requests; n++)
                           {
                               got[RouteSplitNext(&split, parts, &dice.Rng)]++;
                           }
                           for (size_t n = 0; n < parts.size(); n++)
                           {
                               const double share = static_cast<double>(requests * parts[n].Weight) / static_cast<double>(sum);
                               RC_ASSERT(std::fabs(got[n] - share) <= 2.0); // The random start in the middle of a round adds one.
                               RC_ASSERT(parts[n].Weight > 0 || got[n] == 0);
                           }
                       });
    }

    // 18 instances split independently, and each gets only a few of the 200 requests.
    void SplitOfAFleetFollowsWeights()
    {
        CHECK_PROPERTY("over 200 requests of a fleet each part is within 0.1 of its weight",
                       []()
                       {
                           TestRandom dice;
                           const std::vector<RoutePart> parts = {{"a", 90}, {"b", 10}};
                           std::vector<RouteSplit> fleet(18);
                           int few = 0;
                           for (int n = 0; n < 200; n++)
                           {
                               few += RouteSplitNext(&fleet[static_cast<size_t>(dice.Between(0, 18))], parts, &dice.Rng) == 1 ? 1 : 0;
                           }
                           RC_ASSERT(few >= 0 && few <= 40);
                       });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanTest);

} // namespace Winchlink
