// adapter.h: interface to the platform that an instance runs on: header names, how its store is read, and how the store's items are parsed.
//
// Two implementations exist: table_adapter.h for a table of rows (the project's own interface), and platform/wire.h for the platform's
// key-value store. An adapter only translates formats; it contains no policy.

#pragma once

#include "store_reader.h"
#include "wire_names.h"

namespace Winchlink
{

// An update of one target.
struct TargetUpdate
{
    DirectoryTarget Target; // If Gone, only id and revision are used.
    bool Gone = false;      // Its entry was removed.
};

// Operators started or ended the evacuation of a data centre.
struct EvacuationUpdate
{
    std::string DataCentre;
    Evacuation NewState;
};

// An item that can't be parsed or applied. An invalid entry of a target removes the target; for other items the last valid value stays.
struct InvalidItem
{
    std::string Key;
    Error Why;
};

// The parsed items of the store.
struct StoreUpdates
{
    std::optional<RoutePlan> Plan;             // The new plan, if there is one.
    std::vector<TargetUpdate> Targets;         // In the store's order.
    std::vector<EvacuationUpdate> Evacuations; // In the store's order.
    std::vector<InvalidItem> Invalid;          // Invalid items among the parsed ones.
    bool InvalidIsComplete = false;            // Invalid is the complete list, including items of earlier calls.
};

// Items that were received together.
struct StoreItems
{
    std::vector<StoreItem> List;
    uint64_t Revision = 0;   // Revision of the store.
    bool IsSnapshot = false; // List is a full snapshot; otherwise it holds the changes.
    TimeUs Now = 0;          // Current time, to convert remaining times to points in time.
};

struct Adapter
{
    WireNames Names;
    StoreDialect Dialect;
    std::function<StoreUpdates(const StoreItems& items)> Read;
};

} // namespace Winchlink
