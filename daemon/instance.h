// instance.h: one entry instance: all services in one kernel. The tests run several of these in one process.

#pragma once

#include "pages.h"

namespace Winchlink
{

struct Instance
{
    Kernel Services;
    Routing Routes;
    UpstreamPool Upstream;
    Control Plane;
    Traffic Calls;
    Pages Operators;
    Settings Config;
};

// Starts all services; on an error nothing runs.
Result<void> InstanceStart(Instance* instance, const Settings& settings);

// Planned stop: not ready, then refusing, then waits for requests in progress, bounded by the settings and by `force`.
// Returns how many requests were cut.
int InstanceDrain(Instance* instance, const std::atomic<bool>& force);

// Stops all services.
void InstanceStop(Instance* instance);

} // namespace Winchlink
