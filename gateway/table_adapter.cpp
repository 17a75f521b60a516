// table_adapter.cpp: the operators' table, translated into a plan and targets.
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

// An item whose row can't be read is handed on without it: whoever reads it finds the row invalid. False if it names no row.
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
    std::vector<Fault> unread;
    r.Faults = &unread;
    ReadRevision(&r, "revision", true, &out->Revision);
    out->Gone = unread.empty() && json_is_true(json_object_get(value, "gone"));
    out->Revision = unread.empty() ? out->Revision : at;
    json_t* row = json_object_get(value, "row");
    const bool readable = unread.empty() && json_is_object(row);
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
        ReadRevision(&r, "at", true, &page.At);
        page.More = json_is_true(json_object_get(root.get(), "more"));
        size_t n = 0;
        json_t* value = nullptr;
        json_t* rows = ReadList(&r, "rows", true);
        json_array_foreach(rows, n, value)
        {
            StoreItem item;
            if (ReadItem(value, ElementPath("rows", n), page.At, &nameless, &item))
            {
                page.Items.push_back(std::move(item));
            }
        }
    }
    for (const Fault& fault : nameless)
    {
        page.Nameless.push_back({fault.Code, fault.Where + ": " + fault.Detail});
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

struct KnownRow
{
    ServiceRow Row;
    uint64_t Revision = 0; // Of its last change.
};

// What was read so far.
struct TableState
{
    std::map<std::string, KnownRow> Rows;           // As the service says, by name.
    std::map<std::string, Error> Unusable;          // Rows that can't be read: while there are any, no table comes in force.
    std::map<std::string, DirectoryTarget> InForce; // Targets of the last good table, by id.
};

// Names of items that are no rows: the rest is an evacuated data centre. No row's name has a colon.
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

static void TakeRow(TableState* state, const StoreItem& item)
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

// In force whatever is wrong with the rows: who empties a data centre can't wait for that. Names that no target has are taken as they come;
// targets that join such a data centre get nothing.
static std::vector<EvacuationNews> ReadEvacuations(const std::vector<StoreItem>& list)
{
    std::vector<EvacuationNews> news;
    for (const StoreItem& item : list)
    {
        if (IsEvacuation(item))
        {
            news.push_back({item.Key.substr(std::string(EvacuationPrefix).size()), {!item.Gone, item.Revision}});
        }
    }
    return news;
}

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

// The targets that may get work, by id.
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

// A target that is taken out of the table, or gets the weight 0, gets nothing more from now on. It may come back with a later edit.
static void AddLeaving(const DirectoryTarget& before, uint64_t revision, StoreNews* news)
{
    DirectoryTarget leaving = before;
    leaving.Presence = Presence_Leaving;
    leaving.Revision = revision;
    news->Targets.push_back({leaving, false});
    news->Targets.push_back({leaving, true});
}

// Where everything was read all targets are named, else those of rows that have changed.
static void AddTargets(TableState* state, const StoreItems& items, StoreNews* news)
{
    std::map<std::string, DirectoryTarget> next = MakeTargets(*state);
    for (const auto& entry : state->InForce)
    {
        if (next.count(entry.first) == 0)
        {
            AddLeaving(entry.second, items.At, news);
        }
    }
    for (const auto& entry : next)
    {
        const auto before = state->InForce.find(entry.first);
        const bool same = before != state->InForce.end() && before->second.Revision == entry.second.Revision;
        if (items.Everything || !same)
        {
            news->Targets.push_back({entry.second, false});
        }
    }
    state->InForce = std::move(next);
}

static StoreNews ReadTable(TableState* state, const StoreItems& items)
{
    StoreNews news;
    if (items.Everything)
    {
        state->Rows.clear();
        state->Unusable.clear();
    }
    news.InvalidIsAll = true; // A table is in force as a whole, or not at all.
    news.Evacuations = ReadEvacuations(items.List);
    for (const StoreItem& item : items.List)
    {
        if (!IsEvacuation(item))
        {
            TakeRow(state, item);
        }
    }
    for (const auto& entry : state->Unusable)
    {
        news.Invalid.push_back({entry.first, entry.second});
    }
    const Table table = MakeTable(*state, items.At);
    std::vector<Fault> faults;
    CheckRows(table, &faults); // Each row by itself was checked when it was read.
    for (const Fault& fault : faults)
    {
        news.Invalid.push_back({fault.Where, {fault.Code, fault.Where + ": " + fault.Detail}});
    }
    if (news.Invalid.empty())
    {
        news.Plan = MakePlan(table);
        AddTargets(state, items, &news);
    }
    return news;
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
