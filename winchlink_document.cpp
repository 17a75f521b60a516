// winchlink_document.cpp: the table as JSON: the operators' document, and the platform's values.
//
// Parsing is strict: an unknown key is more often a misspelt one than one to be ignored. Every fault is reported, so that an operator
// mends a table in one go.
//
// Index of this file:
// [SECTION] Reading JSON
// [SECTION] Checks
// [SECTION] Writing JSON

#include "winchlink_internal.h"
#include "winchlink_json.h"

#include <algorithm>
#include <set>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Reading JSON
//-----------------------------------------------------------------------------

namespace
{

void ReadTarget(json_t* value, const std::string& where, std::vector<Fault>* faults, std::vector<TargetRow>* out)
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

void ReadClass(ObjectReader* r, Class_* out)
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

void ReadRow(json_t* value, const std::string& where, uint64_t default_revision, std::vector<Fault>* faults, std::vector<ServiceRow>* out)
{
    ObjectReader r;
    if (!OpenObject(value, where, TableCodes, faults, &r))
    {
        return;
    }
    ServiceRow row;
    row.Revision = default_revision;
    ReadText(&r, "name", true, &row.Name);
    ReadRevision(&r, "revision", false, &row.Revision);
    ReadText(&r, "pathPrefix", false, &row.PathPrefix);
    ReadText(&r, "host", false, &row.Host);
    ReadClass(&r, &row.Class);
    ReadInt(&r, "maxConnections", false, &row.MaxConnections);
    ReadInt(&r, "maxConcurrent", false, &row.MaxConcurrent);
    ReadInt(&r, "measuringBudgetMs", false, &row.MeasuringBudgetMs);
    ReadInt(&r, "probeCostMs", false, &row.ProbeCostMs);
    ReadInt(&r, "deadlineMs", false, &row.DeadlineMs);
    ReadInt(&r, "firstNumber", false, &row.FirstNumber);
    ReadInt(&r, "numbers", false, &row.Numbers);
    ReadTexts(&r, "repeatMethods", false, &row.RepeatMethods);
    size_t index = 0;
    json_t* target = nullptr;
    json_t* targets = ReadList(&r, "targets", true);
    json_array_foreach(targets, index, target)
    {
        ReadTarget(target, ElementPath(PathOf(r, "targets"), index), faults, &row.Targets);
    }
    ReportUnknownKeys(r);
    const size_t before = faults->size();
    CheckRow(row, where, faults);
    if (faults->size() == before)
    {
        SealRow(&row); // Only a row within its limits has an encoding, and so a digest.
    }
    out->push_back(std::move(row));
}

// Parses a platform value or an operators' document of limited size.
JsonPtr LoadBounded(const std::string& json, size_t most, const JsonCodes& codes, std::vector<Fault>* faults)
{
    if (json.size() > most)
    {
        faults->push_back({Code_TableTooLarge, "", "larger than " + std::to_string(most) + " bytes"});
        return JsonPtr(nullptr, json_decref);
    }
    return LoadJson(json, codes, faults);
}

//-----------------------------------------------------------------------------
// [SECTION] Checks
//-----------------------------------------------------------------------------

void CheckRange(int value, int least, int most, const std::string& where, std::vector<Fault>* faults)
{
    if (value < least || value > most)
    {
        faults->push_back({Code_TableOutOfRange, where,
                           "expected " + std::to_string(least) + " to " + std::to_string(most) + ", found " + std::to_string(value)});
    }
}

void CheckText(const std::string& text, const std::string& where, std::vector<Fault>* faults)
{
    const bool clean = std::none_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; });
    if (text.size() > TextMax || !clean)
    {
        faults->push_back({Code_TableOutOfRange, where, "expected at most 256 bytes without control characters"});
    }
}

void CheckTarget(const TargetRow& target, const std::string& where, std::vector<Fault>* faults)
{
    if (!IsAddress(target.Address))
    {
        faults->push_back({Code_TableBadAddress, where + ".address", "expected IP:port, found \"" + target.Address + "\""});
    }
    CheckText(target.DataCentre, where + ".dataCentre", faults);
    CheckRange(target.Weight, 0, 1000, where + ".weight", faults);
    CheckRange(target.Slots, 1, 10000, where + ".slots", faults);
}

void CheckTargets(const ServiceRow& row, const std::string& where, std::vector<Fault>* faults)
{
    if (row.Targets.empty())
    {
        faults->push_back({Code_TableNoTargets, where + ".targets", "a row needs at least one target"});
    }
    if (row.Targets.size() > RowTargetsMax)
    {
        faults->push_back({Code_TableOutOfRange, where + ".targets", "at most " + std::to_string(RowTargetsMax) + " targets"});
    }
    std::set<std::string> seen;
    for (size_t n = 0; n < row.Targets.size(); n++)
    {
        const std::string path = ElementPath(where + ".targets", n);
        CheckTarget(row.Targets[n], path, faults);
        if (!seen.insert(row.Targets[n].Address).second)
        {
            faults->push_back({Code_TableDuplicateTarget, path + ".address", row.Targets[n].Address + " is named twice"});
        }
    }
}

void CheckNumbers(const ServiceRow& row, const std::string& where, std::vector<Fault>* faults)
{
    CheckRange(row.FirstNumber, 0, RowNumberMost, where + ".firstNumber", faults);
    CheckRange(row.Numbers, 0, RowNumberMost, where + ".numbers", faults);
    if (row.Numbers == 0 && row.FirstNumber != 0)
    {
        faults->push_back({Code_TableMissingKey, where + ".numbers", "firstNumber means nothing without it"});
    }
}

void CheckMethods(const ServiceRow& row, const std::string& where, std::vector<Fault>* faults)
{
    if (row.RepeatMethods.size() > RowMethodsMax)
    {
        faults->push_back({Code_TableOutOfRange, where + ".repeatMethods", "at most 16 methods"});
    }
    for (size_t n = 0; n < row.RepeatMethods.size(); n++)
    {
        const std::string& method = row.RepeatMethods[n];
        const bool upper = std::all_of(method.begin(), method.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
        if (method.empty() || method.size() > MethodMax || !upper)
        {
            faults->push_back({Code_TableOutOfRange, ElementPath(where + ".repeatMethods", n),
                               "expected a method of at most " + std::to_string(MethodMax) + " capitals, such as GET"});
        }
    }
}

// Checks that need all rows.
void CheckRows(const Table& table, std::vector<Fault>* faults)
{
    if (table.Rows.size() > TableRowsMax)
    {
        faults->push_back({Code_TableOutOfRange, "rows", "at most " + std::to_string(TableRowsMax) + " rows"});
    }
    std::set<std::string> names;
    std::set<std::string> routes;
    for (size_t n = 0; n < table.Rows.size(); n++)
    {
        const ServiceRow& row = table.Rows[n];
        const std::string path = ElementPath("rows", n);
        if (!names.insert(row.Name).second)
        {
            faults->push_back({Code_TableDuplicateService, path + ".name", "\"" + row.Name + "\" is named twice"});
        }
        if (!routes.insert(row.Host + " " + row.PathPrefix).second)
        {
            faults->push_back(
                {Code_TableDuplicateRoute, path, "another row serves host \"" + row.Host + "\", path \"" + row.PathPrefix + "\""});
        }
        if (row.Revision > table.Version.Revision)
        {
            faults->push_back({Code_TableOutOfRange, path + ".revision", "a row can't be newer than its table"});
        }
    }
}

} // namespace

bool IsAddress(const std::string& address)
{
    return ParseEndpoint(address).has_value();
}

void CheckRow(const ServiceRow& row, const std::string& where, std::vector<Fault>* faults)
{
    if (row.Name.empty())
    {
        faults->push_back({Code_TableOutOfRange, where + ".name", "a name can't be empty"});
    }
    const bool plain = std::all_of(row.Name.begin(), row.Name.end(),
                                   [](unsigned char c) { return (isalnum(c) != 0) || c == '-' || c == '_' || c == '.'; });
    if (!plain)
    {
        faults->push_back({Code_TableOutOfRange, where + ".name", "expected letters, digits, '-', '_' and '.' only"});
    }
    CheckText(row.Name, where + ".name", faults);
    CheckText(row.PathPrefix, where + ".pathPrefix", faults);
    CheckText(row.Host, where + ".host", faults);
    if (row.PathPrefix.empty() && row.Host.empty())
    {
        faults->push_back({Code_TableMissingKey, where, "a row needs a pathPrefix, a host or both"});
    }
    if (!row.PathPrefix.empty() && row.PathPrefix[0] != '/')
    {
        faults->push_back({Code_TableOutOfRange, where + ".pathPrefix", "must start with /"});
    }
    CheckRange(row.MaxConnections, 1, 100000, where + ".maxConnections", faults);
    CheckRange(row.MaxConcurrent, 0, 1000000, where + ".maxConcurrent", faults);
    CheckRange(row.MeasuringBudgetMs, 0, 1000, where + ".measuringBudgetMs", faults);
    CheckRange(row.ProbeCostMs, 1, 1000, where + ".probeCostMs", faults);
    CheckRange(row.DeadlineMs, 1, 600000, where + ".deadlineMs", faults);
    CheckNumbers(row, where, faults);
    CheckMethods(row, where, faults);
    CheckTargets(row, where, faults);
}

std::vector<Fault> CheckTable(const Table& table)
{
    std::vector<Fault> faults;
    for (const ServiceRow& row : table.Rows)
    {
        CheckRow(row, "row " + row.Name, &faults);
    }
    CheckRows(table, &faults);
    return faults;
}

CheckedTable ParseTable(const std::string& json)
{
    CheckedTable checked;
    const JsonPtr root = LoadBounded(json, TableDocumentMax, TableCodes, &checked.Faults);
    ObjectReader r;
    if (!root || !OpenObject(root.get(), "", TableCodes, &checked.Faults, &r))
    {
        return checked;
    }
    ReadRevision(&r, "revision", true, &checked.Value.Version.Revision);
    size_t index = 0;
    json_t* row = nullptr;
    json_t* rows = ReadList(&r, "rows", true);
    json_array_foreach(rows, index, row)
    {
        ReadRow(row, ElementPath("rows", index), checked.Value.Version.Revision, &checked.Faults, &checked.Value.Rows);
    }
    ReportUnknownKeys(r);
    CheckRows(checked.Value, &checked.Faults);
    SealTable(&checked.Value);
    return checked;
}

Result<ServiceRow> ParseRow(const std::string& json)
{
    std::vector<Fault> faults;
    std::vector<ServiceRow> rows;
    const JsonPtr root = LoadBounded(json, PlatformValueMax, TableCodes, &faults);
    if (root)
    {
        ReadRow(root.get(), "row", 0, &faults, &rows);
    }
    if (!faults.empty())
    {
        return FirstFault(faults);
    }
    assert(rows.size() == 1 && "a row without faults was not read");
    return rows[0];
}

Result<TableIndex> ParseIndex(const std::string& json)
{
    std::vector<Fault> faults;
    const JsonPtr root = LoadBounded(json, PlatformValueMax, PlatformCodes, &faults);
    ObjectReader r;
    TableIndex index;
    std::string digest;
    if (root && OpenObject(root.get(), "index", PlatformCodes, &faults, &r))
    {
        ReadRevision(&r, "revision", true, &index.Version.Revision);
        ReadText(&r, "digest", true, &digest);
        size_t n = 0;
        json_t* value = nullptr;
        json_t* rows = ReadList(&r, "rows", true);
        json_array_foreach(rows, n, value)
        {
            ObjectReader entry;
            if (OpenObject(value, ElementPath("index.rows", n), PlatformCodes, &faults, &entry))
            {
                index.Rows.emplace_back();
                ReadText(&entry, "name", true, &index.Rows.back().Name);
                ReadRevision(&entry, "revision", true, &index.Rows.back().Revision);
                ReportUnknownKeys(entry);
            }
        }
        ReportUnknownKeys(r);
    }
    if (!faults.empty())
    {
        return FirstFault(faults);
    }
    const Result<Digest> parsed = ParseDigest(digest);
    if (!parsed)
    {
        return parsed.error();
    }
    index.Version.TableDigest = parsed.value();
    return index;
}

//-----------------------------------------------------------------------------
// [SECTION] Writing JSON
//-----------------------------------------------------------------------------

namespace
{

json_t* JsonOfTarget(const TargetRow& target)
{
    json_t* object = json_object();
    json_object_set_new(object, "address", JsonText(target.Address));
    json_object_set_new(object, "dataCentre", JsonText(target.DataCentre));
    json_object_set_new(object, "weight", json_integer(target.Weight));
    json_object_set_new(object, "slots", json_integer(target.Slots));
    return object;
}

json_t* JsonOfRow(const ServiceRow& row)
{
    json_t* object = json_object();
    json_object_set_new(object, "name", JsonText(row.Name));
    json_object_set_new(object, "revision", JsonNumber(row.Revision));
    json_object_set_new(object, "pathPrefix", JsonText(row.PathPrefix));
    json_object_set_new(object, "host", JsonText(row.Host));
    json_object_set_new(object, "class", json_string(ClassName(row.Class)));
    json_object_set_new(object, "maxConnections", json_integer(row.MaxConnections));
    json_object_set_new(object, "maxConcurrent", json_integer(row.MaxConcurrent));
    json_object_set_new(object, "measuringBudgetMs", json_integer(row.MeasuringBudgetMs));
    json_object_set_new(object, "probeCostMs", json_integer(row.ProbeCostMs));
    json_object_set_new(object, "deadlineMs", json_integer(row.DeadlineMs));
    json_object_set_new(object, "firstNumber", json_integer(row.FirstNumber));
    json_object_set_new(object, "numbers", json_integer(row.Numbers));
    json_t* methods = json_array();
    for (const std::string& method : row.RepeatMethods)
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

} // namespace

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
    json_object_set_new(object, "revision", JsonNumber(table.Version.Revision));
    json_object_set_new(object, "rows", rows);
    return DumpJson(object, JSON_INDENT(2));
}

std::string FormatIndex(const Table& table)
{
    json_t* rows = json_array();
    for (const ServiceRow& row : table.Rows)
    {
        json_t* entry = json_object();
        json_object_set_new(entry, "name", JsonText(row.Name));
        json_object_set_new(entry, "revision", JsonNumber(row.Revision));
        json_array_append_new(rows, entry);
    }
    json_t* object = json_object();
    json_object_set_new(object, "revision", JsonNumber(table.Version.Revision));
    json_object_set_new(object, "digest", JsonText(FormatDigest(table.Version.TableDigest)));
    json_object_set_new(object, "rows", rows);
    return DumpJson(object, JSON_COMPACT);
}

} // namespace Winchlink
