// clock.h: the clocks of an instance.
//
// The library (winchlink.h) gets the time as an argument; only the daemon's I/O code reads clocks.

#pragma once

#include "winchlink.h"

#include <ctime>

namespace Winchlink
{

inline TimeUs ReadClock(clockid_t clock)
{
    timespec now = {};
    clock_gettime(clock, &now);
    return static_cast<TimeUs>(now.tv_sec) * UsPerSecond + now.tv_nsec / 1000;
}

// Monotonic clock; also advances while the machine sleeps or the process is stopped.
inline TimeUs NowUs()
{
    return ReadClock(CLOCK_BOOTTIME);
}

// Wall clock, for log lines.
inline TimeUs WallUs()
{
    return ReadClock(CLOCK_REALTIME);
}

} // namespace Winchlink
