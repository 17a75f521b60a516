// winchlink_plan.cpp: the route plan: route lookup, and the weighted split of a route's requests among its services.

#include "winchlink.h"

#include <algorithm>
#include <cassert>
#include <strings.h>

namespace Winchlink
{

static std::string WithoutPort(const std::string& host)
{
    return host.substr(0, host.find(':'));
}

// Matches whole path segments: "/loans" matches "/loans" and "/loans/7" but not "/loans-archive".
static bool PrefixMatches(const std::string& prefix, const std::string& path)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
    {
        return false;
    }
    return prefix.empty() || prefix.back() == '/' || path.size() == prefix.size() || path[prefix.size()] == '/';
}

const Route* FindRoute(const RoutePlan& plan, const std::string& host, const std::string& target)
{
    const std::string name = WithoutPort(host);
    const std::string path = target.substr(0, target.find('?'));
    const Route* best = nullptr;
    for (const Route& route : plan.Routes)
    {
        const bool named = !route.Host.empty();
        if (!PrefixMatches(route.PathPrefix, path) || (named && strcasecmp(route.Host.c_str(), name.c_str()) != 0))
        {
            continue;
        }
        const bool best_named = best != nullptr && !best->Host.empty();
        const bool longer = best == nullptr || route.PathPrefix.size() > best->PathPrefix.size();
        if ((named && !best_named) || (named == best_named && longer))
        {
            best = &route;
        }
    }
    return best;
}

bool MayRetry(const Route& route, const std::string& method)
{
    const std::vector<std::string>& methods = route.RetryMethods;
    return route.Retryable || std::find(methods.begin(), methods.end(), method) != methods.end();
}

const ServiceInfo* FindService(const RoutePlan& plan, const std::string& name)
{
    const auto found = std::find_if(plan.Services.begin(), plan.Services.end(), [&](const ServiceInfo& s) { return s.Name == name; });
    return found != plan.Services.end() ? &*found : nullptr;
}

static bool SameParts(const std::vector<RoutePart>& a, const std::vector<RoutePart>& b)
{
    const auto same = [](const RoutePart& x, const RoutePart& y)
    {
        return x.Service == y.Service && x.Weight == y.Weight;
    };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), same);
}

int64_t SumOfWeights(const std::vector<RoutePart>& parts)
{
    int64_t sum = 0;
    for (const RoutePart& part : parts)
    {
        sum += part.Weight;
    }
    return sum;
}

// One step of smooth weighted round robin: adds each part's weight to its credit, chooses the part with the most credit and charges it
// the sum of the weights.
static size_t RoundRobinStep(RouteSplit* split, int64_t sum)
{
    for (size_t n = 0; n < split->Parts.size(); n++)
    {
        split->Credit[n] += split->Parts[n].Weight;
    }
    const size_t chosen = static_cast<size_t>(std::max_element(split->Credit.begin(), split->Credit.end()) - split->Credit.begin());
    split->Credit[chosen] -= sum;
    return chosen;
}

size_t RouteSplitNext(RouteSplit* split, const std::vector<RoutePart>& parts, Random* random)
{
    assert(!parts.empty() && "a route has at least one part");
    if (parts.size() == 1)
    {
        return 0;
    }
    const int64_t sum = SumOfWeights(parts);
    assert(sum > 0 && "the weights of a route have a sum above zero");
    if (!SameParts(split->Parts, parts))
    {
        constexpr int64_t skipped_max = 1000; // Bounds the cost of starting at a random position of the round.
        split->Parts = parts;
        split->Credit.assign(parts.size(), 0);
        const int64_t skipped = std::uniform_int_distribution<int64_t>(0, std::min(sum, skipped_max) - 1)(*random);
        for (int64_t n = 0; n < skipped; n++)
        {
            RoundRobinStep(split, sum);
        }
    }
    return RoundRobinStep(split, sum);
}

} // namespace Winchlink
