// table_adapter.cpp: translates the operators' table into a route plan and targets.
//
// Index of this file:
// [SECTION] The service's calls
// [SECTION] Rows
// [SECTION] Evacuations
// [SECTION] Targets

#include "table_adapter.h"

#include "headers.h"
#include "winchlink_internal.h"

#include <fmt/format.h>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] The service's calls
//-----------------------------------------------------------------------------

// Parses one item. If its row is malformed, the value is left empty, so that every reader of the item, here and at followers, reports the
// row as invalid. False if the item has no name.
static bool ReadItem(json_t* value, const std::string& where, uint64_t at, std::vector<Fault>* faults, StoreItem* out)
{
    ObjectReader r;
    const size_t before = faults->size();
    if (!OpenObject(value, where, PlatformCodes, faults, &r))
    {
        return false;
    }
    ReadText(&r, "name", true, &out->Key);
    if (faults->size() != before)
    {
        return false;
    }
    std::vector<Fault> row_faults;
    r.Faults = &row_faults;
    ReadRevision(&r, "revision", true, &out->Revision);
    out->Gone = row_faults.empty() && json_is_true(json_object_get(value, "gone"));
    out->Revision = row_faults.empty() ? out->Revision : at;
    json_t* row = json_object_get(value, "row");
    const bool readable = row_faults.empty() && json_is_object(row);
    out->Value = !out->Gone && readable ? DumpJson(json_incref(row), JSON_COMPACT) : "";
    return true;
}

static Result<StorePage> ReadRows(const std::string& body)
{
    std::vector<Fault> faults;
    std::vector<Fault> nameless;
    StorePage page;
    const JsonPtr root = LoadJson(body, PlatformCodes, &faults);
    ObjectReader r;
    if (root && OpenObject(root.get(), "", PlatformCodes, &faults, &r))
    {
        ReadRevision(&r, "at", true, &page.Revision);
        page.More = json_is_true(json_object_get(root.get(), "more"));
        size_t n = 0;
        json_t* value = nullptr;
        json_t* rows = ReadList(&r, "rows", true);
        json_array_foreach(rows, n, value)
        {
            StoreItem item;
            if (ReadItem(value, ElementPath("rows", n), page.Revision, &nameless, &item))
            {
                page.Items.push_back(std::move(item));
            }
        }
    }
    for (const Fault& fault : nameless)
    {
        page.ItemsWithoutKey.push_back({fault.Code, fault.Where + ": " + fault.Detail});
    }
    if (!faults.empty())
    {
        return FirstFault(faults);
    }
    return page;
}

static StoreDialect TableDialect()
{
    StoreDialect dialect;
    dialect.PageTarget = [](const std::string& after_key)
    {
        return "/v1/rows?after=" + PercentEncoded(after_key);
    };
    dialect.ChangesTarget = [](uint64_t after, TimeUs wait)
    {
        return fmt::format("/v1/changes?after={}&waitMs={}", after, wait / UsPerMs);
    };
    dialect.ReadPage = ReadRows;
    dialect.ReadChanges = ReadRows;
    return dialect;
}

//-----------------------------------------------------------------------------
// [SECTION] Rows
//-----------------------------------------------------------------------------

struct RowEntry
{
    ServiceRow Row;
    uint64_t Revision = 0; // Revision of the last change.
};

// The rows received so far.
struct TableState
{
    std::map<std::string, RowEntry> Rows;           // Valid rows, by name.
    std::map<std::string, Error> Unusable;          // Errors of malformed rows, by name; while there are any, the table is rejected.
    std::map<std::string, DirectoryTarget> InForce; // Targets of the last valid table, by id.
};

// An item named with this prefix and a data centre evacuates it. Names of rows contain no colon.
static constexpr const char* EvacuationPrefix = "evacuated:";

static bool IsEvacuation(const StoreItem& item)
{
    return item.Key.rfind(EvacuationPrefix, 0) == 0;
}

static Result<ServiceRow> ReadRow(const StoreItem& item)
{
    Result<ServiceRow> row = ParseRow(item.Value);
    if (!row)
    {
        return Error{row.error().Code, "row " + item.Key + ": " + row.error().Detail};
    }
    if (row.value().Name != item.Key)
    {
        return Error{Code_PlatformBadAnswer, "row " + item.Key + " holds a row of another name, " + row.value().Name};
    }
    return row;
}

static void ApplyRow(TableState* state, const StoreItem& item)
{
    state->Rows.erase(item.Key);
    state->Unusable.erase(item.Key);
    if (item.Gone)
    {
        return;
    }
    const Result<ServiceRow> row = ReadRow(item);
    if (!row)
    {
        state->Unusable[item.Key] = row.error();
        return;
    }
    state->Rows[item.Key] = {row.value(), item.Revision};
}

static Table MakeTable(const TableState& state, uint64_t revision)
{
    Table table;
    table.Revision = revision;
    for (const auto& entry : state.Rows)
    {
        table.Rows.push_back(entry.second.Row);
    }
    return table;
}

//-----------------------------------------------------------------------------
// [SECTION] Evacuations
//-----------------------------------------------------------------------------

// Evacuations apply even while the rows have faults, so that an evacuation is never delayed. Data centres without targets are accepted too:
// targets that join one later get no requests.
static std::vector<EvacuationUpdate> ReadEvacuations(const std::vector<StoreItem>& list)
{
    std::vector<EvacuationUpdate> updates;
    for (const StoreItem& item : list)
    {
        if (IsEvacuation(item))
        {
            updates.push_back({item.Key.substr(std::string(EvacuationPrefix).size()), {!item.Gone, item.Revision}});
        }
    }
    return updates;
}

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

// The targets with a weight above 0, by id.
static std::map<std::string, DirectoryTarget> MakeTargets(const TableState& state)
{
    std::map<std::string, DirectoryTarget> targets;
    for (const auto& entry : state.Rows)
    {
        for (const TargetRow& listed : entry.second.Row.Targets)
        {
            if (listed.Weight == 0)
            {
                continue;
            }
            DirectoryTarget target;
            target.Id = entry.first + "@" + listed.Address;
            target.Service = entry.first;
            target.Address = listed.Address;
            target.DataCentre = listed.DataCentre;
            target.Slots = listed.Slots;
            target.Weight = listed.Weight;
            target.Revision = entry.second.Revision;
            targets[target.Id] = target;
        }
    }
    return targets;
}

// Reports a target that was removed from the table, or whose weight became 0, as draining and then as removed.
static void AddRemovedTarget(const DirectoryTarget& before, uint64_t revision, StoreUpdates* updates)
{
    DirectoryTarget draining = before;
    draining.Presence = Presence_Draining;
    draining.Revision = revision;
    updates->Targets.push_back({draining, false});
    updates->Targets.push_back({draining, true});
}

// Reports all targets after a full snapshot, otherwise only removed ones and those of changed rows.
static void AddTargets(TableState* state, const StoreItems& items, StoreUpdates* updates)
{
    std::map<std::string, DirectoryTarget> next = MakeTargets(*state);
    for (const auto& entry : state->InForce)
    {
        if (next.count(entry.first) == 0)
        {
            AddRemovedTarget(entry.second, items.Revision, updates);
        }
    }
    for (const auto& entry : next)
    {
        const auto before = state->InForce.find(entry.first);
        const bool same = before != state->InForce.end() && before->second.Revision == entry.second.Revision;
        if (items.IsSnapshot || !same)
        {
            updates->Targets.push_back({entry.second, false});
        }
    }
    state->InForce = std::move(next);
}

static StoreUpdates ReadTable(TableState* state, const StoreItems& items)
{
    StoreUpdates updates;
    if (items.IsSnapshot)
    {
        state->Rows.clear();
        state->Unusable.clear();
    }
    updates.InvalidIsComplete = true; // The table is always checked as a whole.
    updates.Evacuations = ReadEvacuations(items.List);
    for (const StoreItem& item : items.List)
    {
        if (!IsEvacuation(item))
        {
            ApplyRow(state, item);
        }
    }
    for (const auto& entry : state->Unusable)
    {
        updates.Invalid.push_back({entry.first, entry.second});
    }
    const Table table = MakeTable(*state, items.Revision);
    std::vector<Fault> faults;
    CheckRows(table, &faults); // Checks across rows; ParseRow() has checked each row.
    for (const Fault& fault : faults)
    {
        updates.Invalid.push_back({fault.Where, {fault.Code, fault.Where + ": " + fault.Detail}});
    }
    if (updates.Invalid.empty())
    {
        updates.Plan = MakePlan(table);
        AddTargets(state, items, &updates);
    }
    return updates;
}

Adapter TableAdapter()
{
    Adapter adapter;
    adapter.Dialect = TableDialect();
    adapter.Read = [state = std::make_shared<TableState>()](const StoreItems& items)
    {
        return ReadTable(state.get(), items);
    };
    return adapter;
}

} // namespace Winchlink
