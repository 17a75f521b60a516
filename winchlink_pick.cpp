// winchlink_pick.cpp: the policy: which of the targets that may get a request does.
//
// It stands in a file of its own so that the bench can link another in its place (bench/baselines.cpp) and play the same trace to both.
// The product has this one.
//
// Index of this file:
// [SECTION] Two random choices

#include "winchlink_internal.h"

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Two random choices
//-----------------------------------------------------------------------------

static RouterTarget* DrawByShare(const Router& r, const std::vector<RouterTarget*>& from, const RouterTarget* without, TimeUs now,
                                 Random* random)
{
    double sum = 0;
    for (const RouterTarget* target : from)
    {
        sum += target != without ? RouterShare(r, *target, now) : 0;
    }
    double point = std::uniform_real_distribution<double>(0, sum)(*random);
    RouterTarget* last = nullptr;
    for (RouterTarget* target : from)
    {
        if (target == without)
        {
            continue;
        }
        last = target;
        point -= RouterShare(r, *target, now);
        if (point < 0)
        {
            break;
        }
    }
    return last;
}

RouterTarget* PickTarget(Router* router, const std::vector<RouterTarget*>& from, TimeUs now, Random* random)
{
    const Router& r = *router;
    RouterTarget* first = DrawByShare(r, from, nullptr, now, random);
    if (from.size() == 1)
    {
        return first;
    }
    RouterTarget* second = DrawByShare(r, from, first, now, random);
    return RouterCost(r, *second, now) < RouterCost(r, *first, now) ? second : first;
}

} // namespace Winchlink
