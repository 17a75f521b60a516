// table_adapter.h: adapter for the project's own interface: a service that serves the operators' table row by row.
//
// docs/PLATFORM.md describes its two calls. All rows are checked together as one table; a table with a fault is rejected as a whole, and
// the last valid one stays in use.

#pragma once

#include "adapter.h"

namespace Winchlink
{

// Returns an adapter that stores the rows received so far; each instance needs its own.
Adapter TableAdapter();

} // namespace Winchlink
