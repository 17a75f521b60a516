// table_adapter.h: the project's own interface: a service that serves the operators' table, row by row.
//
// docs/PLATFORM.md describes its two calls. Rows are applied together as they came, checked as one table: a table with a fault never comes
// in force, and the last good one stays.

#pragma once

#include "adapter.h"

namespace Winchlink
{

// Keeps the rows it has read: one adapter for each instance.
Adapter TableAdapter();

} // namespace Winchlink
