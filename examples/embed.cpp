// embed.cpp: example of the library without the daemon: parses a table, finds the route of a request and chooses a target.
//
// It is built with the repository as build/embed. It opens no socket, and uses a variable as the clock.

#include "winchlink.h"

#include <cstdio>

using namespace Winchlink;

static const char* TableJson = R"({
  "revision": 1,
  "rows": [{
    "name": "loans", "pathPrefix": "/loans", "class": "critical", "repeatMethods": ["GET"],
    "targets": [{"address": "127.0.0.1:9001", "slots": 3}, {"address": "127.0.0.1:9002", "slots": 3}]
  }]
})";

int main()
{
    const CheckedTable checked = ParseTable(TableJson);
    for (const Fault& fault : checked.Faults)
    {
        std::printf("%s: code %d: %s\n", fault.Where.c_str(), fault.Code, fault.Detail.c_str());
    }
    if (!checked.Faults.empty())
    {
        return 1;
    }
    const RoutePlan plan = MakePlan(checked.Value);
    const Route* route = FindRoute(plan, "shop.example", "/loans/17?full=1");
    std::printf("the request matches route %s; a GET %s be retried\n", route->Name.c_str(), MayRetry(*route, "GET") ? "may" : "may not");

    // The directory holds the known targets, the pool their load.
    TimeUs now = 1000 * UsPerSecond;
    Random random(3);
    TargetDirectory directory;
    for (const TargetRow& row : checked.Value.Rows[0].Targets)
    {
        DirectoryTarget target;
        target.Id = row.Address;
        target.Service = "loans";
        target.Address = row.Address;
        target.Slots = row.Slots;
        DirectoryPut(&directory, target, now);
    }
    TargetPool pool;
    PoolSync(&pool, DirectoryByService(directory)["loans"], "dc1", &random);

    // Probe targets until one has a free slot. Here the first one reports that all its slots are in use.
    const PoolTarget* first = PoolNext(&pool, {}, false, now);
    const std::string full = first->Id;
    PoolReport(PoolFind(&pool, full), *ParseLoadReport("3,1,3,100"), now);
    PoolTarget* second = PoolNext(&pool, {full}, false, now);
    PoolReport(second, *ParseLoadReport("0,0,3,100"), now);
    std::printf("%s: %s, %s: %s\n", full.c_str(), PoolHasFreeSlot(pool, *PoolFind(&pool, full)) ? "free slot" : "no free slot",
                second->Id.c_str(), PoolHasFreeSlot(pool, *second) ? "free slot" : "no free slot");
    PoolSent(&pool, second);

    // The request fails. A GET may be retried at another target if the retry budget allows it.
    now += 20 * UsPerMs;
    PoolFailed(pool.Config, second, now);
    RetryBudget budget;
    RetryBudgetCount(&budget, now);
    std::printf("a retry is %s\n", RetryBudgetTake(&budget, 1.0, now) ? "allowed" : "not allowed");
    return 0;
}
