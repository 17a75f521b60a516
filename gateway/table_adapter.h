// table_adapter.h: adapter for the project's own interface: a service that serves the operators' table row by row.
//
// docs/PLATFORM.md describes its two calls. A row that is invalid or contradicts another one affects no other row: its last valid form
// stays in force, or it is left out if none is known.

#pragma once

#include "adapter.h"

namespace Winchlink
{

// Returns an adapter that stores the rows received so far; each instance needs its own.
Adapter TableAdapter();

} // namespace Winchlink
