// winchlink_returns.cpp: the schedule of refused callers.

#include "winchlink.h"

#include <algorithm>
#include <cmath>

namespace Winchlink
{

// Brings the count of served requests up to date: what was served long ago fades.
static void Fade(ReturnSchedule* schedule, TimeUs now)
{
    const TimeUs since = schedule->ServedUs > 0 ? schedule->ServedUs : now;
    const auto passed = static_cast<double>(std::max<TimeUs>(now - since, 0));
    schedule->Served *= std::exp(-passed / static_cast<double>(schedule->MemoryUs));
    schedule->ServedUs = now;
}

void ReturnScheduleServed(ReturnSchedule* schedule, TimeUs now)
{
    Fade(schedule, now);
    schedule->Served += 1;
}

TimeUs ReturnScheduleTake(ReturnSchedule* schedule, TimeUs now, Random* random)
{
    Fade(schedule, now);
    constexpr double least_served = 0.5; // Nothing served for a while: places are as far apart as that tells, and no farther.
    const double between = static_cast<double>(schedule->MemoryUs) / (schedule->Share * std::max(schedule->Served, least_served));
    const TimeUs nearest = std::max(schedule->NextUs, now + schedule->LeastUs);
    schedule->NextUs = std::min(nearest + static_cast<TimeUs>(between), now + schedule->MostUs);
    const double moved = std::uniform_real_distribution<double>(1 - schedule->Spread, 1 + schedule->Spread)(*random);
    return static_cast<TimeUs>(moved * static_cast<double>(nearest - now));
}

} // namespace Winchlink
