// pages.h: the pages for operators: metrics in the Prometheus text format, and the state of the instance as JSON, which `winchlink status`
// prints.

#pragma once

#include "gateway.h"

namespace Winchlink
{

// Body of the metrics page.
std::string MetricsText(const Gateway& gateway);

// Body of /status: a JSON object.
std::string StatusText(const Gateway& gateway);

} // namespace Winchlink
