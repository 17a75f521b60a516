// store_updates.h: applies items of the store: plan, targets, evacuations, and invalid items.

#pragma once

#include "gateway.h"

namespace Winchlink
{

// Queues a batch of items and applies the queue, in order, after a short delay, so that followers are served first.
void ApplySoon(Gateway* gateway, StoreBatch batch);

} // namespace Winchlink
