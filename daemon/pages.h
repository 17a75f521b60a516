// pages.h: the service "pages": what operators and the platform's balancer see: /status, /metrics and /ready.

#pragma once

#include "control.h"
#include "traffic.h"

namespace Winchlink
{

struct Pages
{
    Settings Config;                  // Own copy.
    Routing* Routes = nullptr;        // Found by name at start.
    Control* Plane = nullptr;         // Found by name at start.
    Traffic* Calls = nullptr;         // Found by name at start.
    UpstreamPool* Upstream = nullptr; // Found by name at start.
    TimeUs StartedUs = 0;             // When the instance started.
    Server Listener;
};

Result<void> PagesStart(Pages* pages, const Kernel& kernel);
void PagesStop(Pages* pages);

// The status page as JSON; `brief` leaves the rows out. Locks each row for a moment.
std::string FormatStatus(Pages* pages, bool brief);

// All metrics in the common text exposition format.
std::string FormatMetrics(Pages* pages);

} // namespace Winchlink
