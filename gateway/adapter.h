// adapter.h: what an instance must be told of the platform that it runs on: header names, how its store is read, and what the store's
// items mean.
//
// There are two: table_adapter.h for a table of rows (the project's own interface), and platform/wire.h for the users' platform. An
// adapter translates and decides nothing.

#pragma once

#include "store_reader.h"
#include "wire_names.h"

namespace Winchlink
{

// News of one target.
struct TargetNews
{
    DirectoryTarget Target; // If Gone, only its id and revision count.
    bool Gone = false;      // Its entry went.
};

// The operators evacuate a data centre, or give it back.
struct EvacuationNews
{
    std::string DataCentre;
    Evacuation Word;
};

// An item that can't be used. An invalid entry of a target takes the target out of use; what else it would have replaced stays.
struct InvalidItem
{
    std::string Key;
    Error Why;
};

// What items of the store say.
struct StoreNews
{
    std::optional<RoutePlan> Plan;           // A plan, if they hold one.
    std::vector<TargetNews> Targets;         // In the store's order.
    std::vector<EvacuationNews> Evacuations; // In the store's order.
    std::vector<InvalidItem> Invalid;        //
    bool InvalidIsAll = false;               // Invalid names all that are, also those that were read before.
};

// Items that were read together.
struct StoreItems
{
    std::vector<StoreItem> List;
    uint64_t At = 0;         // The store's revision that they belong to.
    bool Everything = false; // These are all items; else they are what changed.
    TimeUs Now = 0;          // Turns times that are left into moments.
};

struct Adapter
{
    WireNames Names;
    StoreDialect Dialect;
    std::function<StoreNews(const StoreItems& items)> Read;
};

} // namespace Winchlink
