// winchlink_retry_schedule.cpp: retry times for refused callers.

#include "winchlink.h"

#include <algorithm>
#include <cmath>

namespace Winchlink
{

// Applies the exponential decay of the count of served requests up to now.
static void DecayServed(RetrySchedule* schedule, TimeUs now)
{
    const TimeUs since = schedule->ServedUs > 0 ? schedule->ServedUs : now;
    const auto passed = static_cast<double>(std::max<TimeUs>(now - since, 0));
    schedule->Served *= std::exp(-passed / static_cast<double>(schedule->ServedDecayUs));
    schedule->ServedUs = now;
}

void RetryScheduleServed(RetrySchedule* schedule, TimeUs now)
{
    DecayServed(schedule, now);
    schedule->Served += 1;
}

TimeUs RetryScheduleTake(RetrySchedule* schedule, TimeUs now, Random* random)
{
    DecayServed(schedule, now);
    constexpr double min_served = 0.5; // Lower bound, for times in which nothing was served.
    const double interval = static_cast<double>(schedule->ServedDecayUs) / (schedule->Share * std::max(schedule->Served, min_served));
    const TimeUs nearest = std::max(schedule->NextUs, now + schedule->MinUs);
    schedule->NextUs = std::min(nearest + static_cast<TimeUs>(interval), now + schedule->MaxUs);
    const double jitter = std::uniform_real_distribution<double>(1 - schedule->Jitter, 1 + schedule->Jitter)(*random);
    return static_cast<TimeUs>(jitter * static_cast<double>(nearest - now));
}

} // namespace Winchlink
