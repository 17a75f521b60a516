// pages.h: what an instance tells its operators: counters and histograms in the common text format, and its state as JSON, which
// `winchlink status` prints.

#pragma once

#include "gateway.h"

namespace Winchlink
{

std::string MetricsText(const Gateway& gateway);

std::string StatusText(const Gateway& gateway);

} // namespace Winchlink
