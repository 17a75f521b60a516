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
    std::vector<Fault> unreadable; // Their items have no row.
    StorePage page;
    const JsonPtr root = LoadJsonList(body, {"rows", {"name", "revision"}}, PlatformCodes, &unreadable, &faults);
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

// The rows received so far.
struct TableState
{
    std::map<std::string, RowForm> Rows;            // Valid rows, by name.
    std::map<std::string, InvalidRow> Invalid;      // Rows that can't be parsed, by name.
    std::map<std::string, RowForm> InForce;         // Rows in force, by name.
    std::map<std::string, DirectoryTarget> Targets; // Targets of the rows in force, by id.
    bool HasPlan = false;                           // There has been a plan.
};

// An item named with this prefix and a data centre evacuates it. Names of rows contain no colon.
static constexpr const char* EvacuationPrefix = "evacuated:";

static bool IsEvacuation(const StoreItem& item)
{
    return item.Key.rfind(EvacuationPrefix, 0) == 0;
}

static Result<ServiceRow> ReadRow(const StoreItem& item)
{
    if (item.Value.empty())
    {
        return Error{Code_TableNotJson, "no JSON object, or one that can't be parsed"};
    }
    Result<ServiceRow> row = ParseRow(item.Value);
    if (row && row.value().Name != item.Key)
    {
        return Error{Code_PlatformBadAnswer, "it holds a row of another name, " + row.value().Name};
    }
    return row;
}

static void ApplyRow(TableState* state, const StoreItem& item)
{
    state->Rows.erase(item.Key);
    state->Invalid.erase(item.Key);
    if (item.Gone)
    {
        state->InForce.erase(item.Key); // A row added later under its name doesn't keep its form.
        return;
    }
    const Result<ServiceRow> row = ReadRow(item);
    if (!row)
    {
        state->Invalid[item.Key] = {row.error(), item.Revision, 0};
        return;
    }
    state->Rows[item.Key] = {row.value(), item.Revision};
}

// An error that names the row, its revision and what is in force in place of it.
static InvalidItem DescribeInvalid(const std::string& name, const InvalidRow& row)
{
    const std::string in_force = row.KeptRevision > 0 ? fmt::format("revision {} of it stays in force", row.KeptRevision) : "left out";
    return {name, {row.Why.Code, fmt::format("row {} of revision {}: {}; {}", name, row.Revision, row.Why.Detail, in_force)}};
}

// None if no row can be used and there was no plan before: such an instance is not ready.
static std::optional<RoutePlan> MakeRowsPlan(TableState* state, const RowSelection& selection, uint64_t revision)
{
    const bool nothing_usable = selection.InForce.empty() && !selection.Invalid.empty();
    if (nothing_usable && !state->HasPlan)
    {
        return std::nullopt;
    }
    Table table;
    table.Revision = revision;
    for (const auto& entry : selection.InForce)
    {
        table.Rows.push_back(entry.second.Row);
    }
    RoutePlan plan = MakePlan(table);
    for (const auto& entry : selection.Invalid)
    {
        (entry.second.KeptRevision > 0 ? plan.RowsKept : plan.RowsLeftOut)++;
    }
    state->HasPlan = true;
    return plan;
}

//-----------------------------------------------------------------------------
// [SECTION] Evacuations
//-----------------------------------------------------------------------------

// Data centres without targets are accepted too: targets that join one later get no requests.
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
    for (const auto& entry : state.InForce)
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
    for (const auto& entry : state->Targets)
    {
        if (next.count(entry.first) == 0)
        {
            AddRemovedTarget(entry.second, items.Revision, updates);
        }
    }
    for (const auto& entry : next)
    {
        const auto before = state->Targets.find(entry.first);
        const bool same = before != state->Targets.end() && before->second.Revision == entry.second.Revision;
        if (items.IsSnapshot || !same)
        {
            updates->Targets.push_back({entry.second, false});
        }
    }
    state->Targets = std::move(next);
}

static StoreUpdates ReadTable(TableState* state, const StoreItems& items)
{
    StoreUpdates updates;
    if (items.IsSnapshot)
    {
        state->Rows.clear();
        state->Invalid.clear();
    }
    updates.InvalidIsComplete = true;
    updates.Evacuations = ReadEvacuations(items.List);
    for (const StoreItem& item : items.List)
    {
        if (!IsEvacuation(item))
        {
            ApplyRow(state, item);
        }
    }
    RowSelection selection = SelectRows(state->Rows, state->Invalid, state->InForce);
    for (const auto& entry : selection.Invalid)
    {
        updates.Invalid.push_back(DescribeInvalid(entry.first, entry.second));
    }
    updates.Plan = MakeRowsPlan(state, selection, items.Revision);
    state->InForce = std::move(selection.InForce);
    AddTargets(state, items, &updates);
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
