// winchlink_pick.cpp: the policy: which of the targets that may get a request does.
//
// It stands in a file of its own so that the bench can link another in its place (bench/baselines.cpp) and play the same trace to both.
// The product has this one.
//
// Index of this file:
// [SECTION] A few random choices

#include "winchlink_internal.h"

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] A few random choices
//-----------------------------------------------------------------------------

// Draws one by weight and takes it out of the list.
static RouterTarget* TakeByShare(const Router& r, std::vector<RouterTarget*>* from, TimeUs now, Random* random)
{
    double sum = 0;
    for (const RouterTarget* target : *from)
    {
        sum += RouterShare(r, *target, now);
    }
    double point = std::uniform_real_distribution<double>(0, sum)(*random);
    size_t drawn = 0;
    while (drawn + 1 < from->size() && (point -= RouterShare(r, *(*from)[drawn], now)) >= 0)
    {
        drawn++;
    }
    RouterTarget* target = (*from)[drawn];
    from->erase(from->begin() + static_cast<std::ptrdiff_t>(drawn));
    return target;
}

RouterTarget* PickTarget(Router* router, const std::vector<RouterTarget*>& from, TimeUs now, Random* random)
{
    const Router& r = *router;
    std::vector<RouterTarget*> left = from;
    RouterTarget* best = TakeByShare(r, &left, now, random);
    for (int n = 1; n < r.Config.Choices && !left.empty(); n++)
    {
        RouterTarget* other = TakeByShare(r, &left, now, random);
        best = RouterCost(r, *other, now) < RouterCost(r, *best, now) ? other : best;
    }
    return best;
}

} // namespace Winchlink
