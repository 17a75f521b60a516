// traffic.h: the service "traffic": callers' requests, from arrival to answer.
//
// A request passes through named steps, each a function in traffic.cpp, in this order: ReadCall, MatchRow, Admit, Choose (which
// reserves), Send, Settle, and the answer. docs/CALLERS.md says what callers see.

#pragma once

#include "kernel.h"
#include "routing.h"
#include "server.h"
#include "settings.h"
#include "upstream.h"

namespace Winchlink
{

struct Traffic
{
    Settings Config;                  // Own copy.
    Routing* Routes = nullptr;        // Found by name at start.
    UpstreamPool* Upstream = nullptr; // Found by name at start.
    std::string SourceIp;             // Connections to targets come from here.
    Server Listener;                  // Callers' connections.
    std::mutex Mutex;                 // Guards Refused.
    RowMetrics Refused;               // Requests that belong to no row.
};

Result<void> TrafficStart(Traffic* traffic, const Kernel& kernel);
void TrafficStop(Traffic* traffic);

} // namespace Winchlink
