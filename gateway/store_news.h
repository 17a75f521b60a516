// store_news.h: what an instance makes of items of the store: its plan, its targets, evacuated data centres, and items that are invalid.

#pragma once

#include "gateway.h"

namespace Winchlink
{

// Reads what has been learnt a moment later, in order: it is handed on to others first.
void ReadSoon(Gateway* gateway, StoreBatch batch);

} // namespace Winchlink
