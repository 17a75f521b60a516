// winchlink_document.cpp: the table as JSON: the operators' document, and single rows.
//
// Parsing is strict: unknown keys are errors, as most are misspelt. All faults of a document are reported together.
//
// Index of this file:
// [SECTION] Reading
// [SECTION] Writing

#include "winchlink_internal.h"

#include <algorithm>
#include <cassert>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Reading
//-----------------------------------------------------------------------------

static void ReadTarget(json_t* value, const std::string& where, std::vector<Fault>* faults, std::vector<TargetRow>* out)
{
    ObjectReader r;
    if (!OpenObject(value, where, TableCodes, faults, &r))
    {
        return;
    }
    TargetRow target;
    ReadText(&r, "address", true, &target.Address);
    ReadText(&r, "dataCentre", false, &target.DataCentre);
    ReadInt(&r, "weight", false, &target.Weight);
    ReadInt(&r, "slots", false, &target.Slots);
    ReportUnknownKeys(r);
    out->push_back(target);
}

static void ReadClass(ObjectReader* r, Class_* out)
{
    std::string name = ClassName(*out);
    ReadText(r, "class", false, &name);
    for (int n = 0; n < Class_COUNT; n++)
    {
        if (name == ClassName(static_cast<Class_>(n)))
        {
            *out = static_cast<Class_>(n);
            return;
        }
    }
    AddFault(*r, r->Codes.OutOfRange, "class", "expected critical, normal or background");
}

static void ReadRow(json_t* value, const std::string& where, std::vector<Fault>* faults, std::vector<ServiceRow>* out)
{
    ObjectReader r;
    if (!OpenObject(value, where, TableCodes, faults, &r))
    {
        return;
    }
    ServiceRow row;
    ReadText(&r, "name", true, &row.Name);
    ReadText(&r, "pathPrefix", false, &row.PathPrefix);
    ReadText(&r, "host", false, &row.Host);
    ReadClass(&r, &row.Class);
    ReadInt(&r, "connectionsPerInstance", false, &row.ConnectionsPerInstance);
    ReadInt(&r, "requestsPerInstance", false, &row.RequestsPerInstance);
    ReadInt(&r, "deadlineMs", false, &row.DeadlineMs);
    ReadInt(&r, "aimMs", false, &row.LatencyObjectiveMs);
    ReadInt(&r, "attemptsMost", false, &row.AttemptsMax);
    ReadText(&r, "healthPath", false, &row.HealthPath);
    ReadTexts(&r, "repeatMethods", false, &row.RetryMethods);
    size_t index = 0;
    json_t* target = nullptr;
    json_t* targets = ReadList(&r, "targets", true);
    json_array_foreach(targets, index, target)
    {
        ReadTarget(target, ElementPath(PathOf(r, "targets"), index), faults, &row.Targets);
    }
    ReportUnknownKeys(r);
    CheckRow(row, where, faults);
    out->push_back(std::move(row));
}

static bool IsWithin(const std::string& json, size_t max_size, std::vector<Fault>* faults)
{
    if (json.size() > max_size)
    {
        faults->push_back({Code_TableTooLarge, "", "larger than " + std::to_string(max_size) + " bytes"});
        return false;
    }
    return true;
}

JsonPtr LoadTable(const std::string& json, std::vector<Fault>* unreadable, std::vector<Fault>* faults)
{
    if (!IsWithin(json, TableDocumentMax, faults))
    {
        return JsonPtr(nullptr, json_decref);
    }
    return LoadJsonList(json, {"rows", {"name"}}, TableCodes, unreadable, faults);
}

// Adds a row with a name and route of its own if row `index` was not read, so that faults of later rows name their positions.
static void AddPlaceholder(size_t index, std::vector<ServiceRow>* rows)
{
    if (rows->size() == index)
    {
        ServiceRow row;
        row.Name = ElementPath("rows", index);
        row.PathPrefix = row.Name;
        rows->push_back(row);
    }
}

CheckedTable ParseTable(const std::string& json)
{
    CheckedTable checked;
    std::vector<Fault> unreadable; // In the order of the rows.
    const JsonPtr root = LoadTable(json, &unreadable, &checked.Faults);
    ObjectReader r;
    if (!root || !OpenObject(root.get(), "", TableCodes, &checked.Faults, &r))
    {
        return checked;
    }
    ReadRevision(&r, "revision", true, &checked.Value.Revision);
    size_t index = 0;
    json_t* row = nullptr;
    json_t* rows = ReadList(&r, "rows", true);
    auto next = unreadable.begin();
    json_array_foreach(rows, index, row)
    {
        const std::string path = ElementPath("rows", index);
        if (next != unreadable.end() && next->Where == path)
        {
            checked.Faults.push_back(*next++);
        }
        else
        {
            ReadRow(row, path, &checked.Faults, &checked.Value.Rows);
        }
        AddPlaceholder(index, &checked.Value.Rows);
    }
    ReadTexts(&r, "evacuated", false, &checked.Value.Evacuated);
    ReportUnknownKeys(r);
    CheckRows(checked.Value, &checked.Faults);
    CheckEvacuated(checked.Value, &checked.Faults);
    return checked;
}

Result<ServiceRow> ParseRow(const std::string& json)
{
    std::vector<Fault> faults;
    std::vector<ServiceRow> rows;
    const JsonPtr root = IsWithin(json, RowValueMax, &faults) ? LoadJson(json, TableCodes, &faults) : JsonPtr(nullptr, json_decref);
    if (root)
    {
        ReadRow(root.get(), "row", &faults, &rows);
    }
    if (!faults.empty())
    {
        return FirstFault(faults);
    }
    assert(rows.size() == 1 && "a row without faults was not read");
    return rows[0];
}

//-----------------------------------------------------------------------------
// [SECTION] Writing
//-----------------------------------------------------------------------------

static json_t* JsonOfTarget(const TargetRow& target)
{
    json_t* object = json_object();
    json_object_set_new(object, "address", JsonText(target.Address));
    json_object_set_new(object, "dataCentre", JsonText(target.DataCentre));
    json_object_set_new(object, "weight", json_integer(target.Weight));
    json_object_set_new(object, "slots", json_integer(target.Slots));
    return object;
}

static json_t* JsonOfRow(const ServiceRow& row)
{
    json_t* object = json_object();
    json_object_set_new(object, "name", JsonText(row.Name));
    json_object_set_new(object, "pathPrefix", JsonText(row.PathPrefix));
    json_object_set_new(object, "host", JsonText(row.Host));
    json_object_set_new(object, "class", json_string(ClassName(row.Class)));
    json_object_set_new(object, "connectionsPerInstance", json_integer(row.ConnectionsPerInstance));
    json_object_set_new(object, "requestsPerInstance", json_integer(row.RequestsPerInstance));
    json_object_set_new(object, "deadlineMs", json_integer(row.DeadlineMs));
    json_object_set_new(object, "aimMs", json_integer(row.LatencyObjectiveMs));
    json_object_set_new(object, "attemptsMost", json_integer(row.AttemptsMax));
    json_object_set_new(object, "healthPath", JsonText(row.HealthPath));
    json_t* methods = json_array();
    for (const std::string& method : row.RetryMethods)
    {
        json_array_append_new(methods, JsonText(method));
    }
    json_object_set_new(object, "repeatMethods", methods);
    json_t* targets = json_array();
    for (const TargetRow& target : row.Targets)
    {
        json_array_append_new(targets, JsonOfTarget(target));
    }
    json_object_set_new(object, "targets", targets);
    return object;
}

std::string FormatRow(const ServiceRow& row)
{
    return DumpJson(JsonOfRow(row), JSON_COMPACT);
}

std::string FormatTable(const Table& table)
{
    json_t* rows = json_array();
    for (const ServiceRow& row : table.Rows)
    {
        json_array_append_new(rows, JsonOfRow(row));
    }
    json_t* object = json_object();
    json_object_set_new(object, "revision", JsonNumber(table.Revision));
    json_object_set_new(object, "rows", rows);
    json_t* evacuated = json_array();
    for (const std::string& data_centre : table.Evacuated)
    {
        json_array_append_new(evacuated, JsonText(data_centre));
    }
    json_object_set_new(object, "evacuated", evacuated);
    return DumpJson(object, JSON_INDENT(2));
}

} // namespace Winchlink
