// clock.h: the clocks of an instance.
//
// Everything that decides takes time as an argument; these are read at the edges only.

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

// Counts while the machine sleeps and the process is stopped; never jumps back.
inline TimeUs NowUs()
{
    return ReadClock(CLOCK_BOOTTIME);
}

// Wall clock, for people.
inline TimeUs WallUs()
{
    return ReadClock(CLOCK_REALTIME);
}

} // namespace Winchlink
