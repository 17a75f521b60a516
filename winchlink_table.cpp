// winchlink_table.cpp: addresses, validation of tables, and the route plan made from a table.
//
// Index of this file:
// [SECTION] Addresses
// [SECTION] Validation of one row
// [SECTION] Validation of all rows
// [SECTION] Selection of rows
// [SECTION] Plan

#include "winchlink_internal.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cassert>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Addresses
//-----------------------------------------------------------------------------

bool operator==(const Endpoint& a, const Endpoint& b)
{
    return a.Ip == b.Ip && a.Port == b.Port;
}

// Parses a decimal port; 0 if it is malformed or out of range.
static int ParsePort(const std::string& digits)
{
    constexpr size_t digits_max = 5;
    constexpr int port_max = 65535;
    const bool plain = std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (digits.empty() || digits.size() > digits_max || !plain)
    {
        return 0;
    }
    const int port = std::stoi(digits);
    return port <= port_max ? port : 0;
}

Result<Endpoint> ParseEndpoint(const std::string& address)
{
    const size_t colon = address.find(':');
    const int port = colon == std::string::npos ? 0 : ParsePort(address.substr(colon + 1));
    in_addr ip = {};
    if (port == 0 || inet_pton(AF_INET, address.substr(0, colon).c_str(), &ip) != 1)
    {
        return Error{Code_TableBadAddress, "expected IP:port, found \"" + address + "\""};
    }
    return Endpoint{ntohl(ip.s_addr), static_cast<uint16_t>(port)};
}

std::string FormatEndpoint(const Endpoint& endpoint)
{
    in_addr ip = {};
    ip.s_addr = htonl(endpoint.Ip);
    std::array<char, INET_ADDRSTRLEN> text = {};
    inet_ntop(AF_INET, &ip, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(endpoint.Port);
}

bool IsAddress(const std::string& address)
{
    return ParseEndpoint(address).has_value();
}

const char* ClassName(Class_ value)
{
    static const char* names[Class_COUNT] = {"critical", "normal", "background"};
    assert(value >= 0 && value < Class_COUNT && "not a class");
    return names[value];
}

//-----------------------------------------------------------------------------
// [SECTION] Validation of one row
//-----------------------------------------------------------------------------

static void CheckRange(int value, int min, int max, const std::string& where, std::vector<Fault>* faults)
{
    if (value < min || value > max)
    {
        faults->push_back({Code_TableOutOfRange, where,
                           "expected " + std::to_string(min) + " to " + std::to_string(max) + ", found " + std::to_string(value)});
    }
}

static void CheckText(const std::string& text, const std::string& where, std::vector<Fault>* faults)
{
    const bool clean = std::none_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; });
    if (text.size() > TextMax || !clean)
    {
        faults->push_back({Code_TableOutOfRange, where, "expected at most 256 bytes without control characters"});
    }
}

static void CheckTarget(const TargetRow& target, const std::string& where, std::vector<Fault>* faults)
{
    if (!IsAddress(target.Address))
    {
        faults->push_back({Code_TableBadAddress, where + ".address", "expected IP:port, found \"" + target.Address + "\""});
    }
    CheckText(target.DataCentre, where + ".dataCentre", faults);
    CheckRange(target.Weight, 0, 1000, where + ".weight", faults);
    CheckRange(target.Slots, 1, 10000, where + ".slots", faults);
}

static void CheckTargets(const ServiceRow& row, const std::string& where, std::vector<Fault>* faults)
{
    if (row.Targets.empty())
    {
        faults->push_back({Code_TableNoTargets, where + ".targets", "expected at least one target"});
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
            faults->push_back({Code_TableDuplicateTarget, path + ".address", row.Targets[n].Address + " is listed twice"});
        }
    }
}

static void CheckMethods(const ServiceRow& row, const std::string& where, std::vector<Fault>* faults)
{
    if (row.RetryMethods.size() > RowMethodsMax)
    {
        faults->push_back({Code_TableOutOfRange, where + ".repeatMethods", "at most 16 methods"});
    }
    for (size_t n = 0; n < row.RetryMethods.size(); n++)
    {
        const std::string& method = row.RetryMethods[n];
        const bool upper = std::all_of(method.begin(), method.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
        if (method.empty() || method.size() > MethodMax || !upper)
        {
            faults->push_back({Code_TableOutOfRange, ElementPath(where + ".repeatMethods", n),
                               "expected a method of at most " + std::to_string(MethodMax) + " capital letters, such as GET"});
        }
    }
}

static void CheckName(const ServiceRow& row, const std::string& where, std::vector<Fault>* faults)
{
    if (row.Name.empty())
    {
        faults->push_back({Code_TableOutOfRange, where + ".name", "must not be empty"});
    }
    const bool plain =
        std::all_of(row.Name.begin(), row.Name.end(), [](unsigned char c) { return isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; });
    if (!plain)
    {
        faults->push_back({Code_TableOutOfRange, where + ".name", "expected letters, digits, '-', '_' and '.' only"});
    }
    CheckText(row.Name, where + ".name", faults);
}

static void CheckPaths(const ServiceRow& row, const std::string& where, std::vector<Fault>* faults)
{
    CheckText(row.PathPrefix, where + ".pathPrefix", faults);
    CheckText(row.Host, where + ".host", faults);
    CheckText(row.HealthPath, where + ".healthPath", faults);
    if (row.PathPrefix.empty() && row.Host.empty())
    {
        faults->push_back({Code_TableMissingKey, where, "expected a pathPrefix, a host or both"});
    }
    if (!row.PathPrefix.empty() && row.PathPrefix[0] != '/')
    {
        faults->push_back({Code_TableOutOfRange, where + ".pathPrefix", "must start with /"});
    }
    if (!row.HealthPath.empty() && row.HealthPath[0] != '/')
    {
        faults->push_back({Code_TableOutOfRange, where + ".healthPath", "must start with /"});
    }
}

void CheckRow(const ServiceRow& row, const std::string& where, std::vector<Fault>* faults)
{
    constexpr int deadline_max_ms = 600000;
    CheckName(row, where, faults);
    CheckPaths(row, where, faults);
    CheckRange(row.ConnectionsPerInstance, 1, 100000, where + ".connectionsPerInstance", faults);
    CheckRange(row.RequestsPerInstance, 0, 1000000, where + ".requestsPerInstance", faults);
    CheckRange(row.DeadlineMs, 1, deadline_max_ms, where + ".deadlineMs", faults);
    CheckRange(row.LatencyObjectiveMs, 0, deadline_max_ms, where + ".aimMs", faults);
    CheckRange(row.AttemptsMax, 1, 10, where + ".attemptsMost", faults);
    CheckMethods(row, where, faults);
    CheckTargets(row, where, faults);
}

//-----------------------------------------------------------------------------
// [SECTION] Validation of all rows
//-----------------------------------------------------------------------------

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
            faults->push_back({Code_TableDuplicateService, path + ".name", "\"" + row.Name + "\" is listed twice"});
        }
        if (!routes.insert(row.Host + " " + row.PathPrefix).second)
        {
            faults->push_back(
                {Code_TableDuplicateRoute, path, "another row serves host \"" + row.Host + "\", path \"" + row.PathPrefix + "\""});
        }
    }
}

static std::set<std::string> DataCentresOf(const Table& table)
{
    std::set<std::string> names;
    for (const ServiceRow& row : table.Rows)
    {
        for (const TargetRow& target : row.Targets)
        {
            names.insert(target.DataCentre);
        }
    }
    return names;
}

void CheckEvacuated(const Table& table, std::vector<Fault>* faults)
{
    const std::set<std::string> known = DataCentresOf(table);
    std::set<std::string> seen;
    for (size_t n = 0; n < table.Evacuated.size(); n++)
    {
        const std::string& data_centre = table.Evacuated[n];
        const std::string path = ElementPath("evacuated", n);
        if (known.count(data_centre) == 0)
        {
            faults->push_back({Code_TableUnknownDataCentre, path, "no target is in \"" + data_centre + "\""});
        }
        if (!seen.insert(data_centre).second)
        {
            faults->push_back({Code_TableDuplicateEvacuation, path, "\"" + data_centre + "\" is listed twice"});
        }
    }
}

std::vector<Fault> CheckTable(const Table& table)
{
    std::vector<Fault> faults;
    for (const ServiceRow& row : table.Rows)
    {
        CheckRow(row, "row " + row.Name, &faults);
    }
    CheckRows(table, &faults);
    CheckEvacuated(table, &faults);
    return faults;
}

//-----------------------------------------------------------------------------
// [SECTION] Selection of rows
//-----------------------------------------------------------------------------

using RowFormByName = std::pair<const std::string, RowForm>;

static std::vector<const RowFormByName*> ByRevision(const std::map<std::string, RowForm>& rows)
{
    std::vector<const RowFormByName*> list;
    list.reserve(rows.size());
    for (const RowFormByName& row : rows)
    {
        list.push_back(&row);
    }
    std::stable_sort(list.begin(), list.end(), [](const auto* a, const auto* b) { return a->second.Revision < b->second.Revision; });
    return list;
}

// Adds a row unless it contradicts those that were added before.
static Result<void> AddRow(const RowFormByName& added, RowSelection* selection, std::map<std::string, const RowFormByName*>* by_route)
{
    const ServiceRow& row = added.second.Row;
    if (selection->InForce.size() >= TableRowsMax)
    {
        return Error{Code_TableOutOfRange, "at most " + std::to_string(TableRowsMax) + " rows"};
    }
    const auto [found, is_new] = by_route->insert({row.Host + " " + row.PathPrefix, &added});
    if (!is_new)
    {
        const RowFormByName& first = *found->second;
        return Error{Code_TableDuplicateRoute, "row " + first.first + " of revision " + std::to_string(first.second.Revision) +
                                                   " serves host \"" + row.Host + "\", path \"" + row.PathPrefix + "\""};
    }
    selection->InForce.insert(added);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

RowSelection SelectRows(const std::map<std::string, RowForm>& valid, const std::map<std::string, InvalidRow>& invalid,
                        const std::map<std::string, RowForm>& last)
{
    RowSelection selection;
    selection.Invalid = invalid;
    std::map<std::string, const RowFormByName*> by_route;
    for (const RowFormByName* row : ByRevision(valid))
    {
        const Result<void> added = AddRow(*row, &selection, &by_route);
        if (!added)
        {
            selection.Invalid[row->first] = {added.error(), row->second.Revision, 0};
        }
    }
    for (const RowFormByName* row : ByRevision(last))
    {
        const auto found = selection.Invalid.find(row->first);
        if (found != selection.Invalid.end() && AddRow(*row, &selection, &by_route))
        {
            found->second.KeptRevision = row->second.Revision;
        }
    }
    return selection;
}

//-----------------------------------------------------------------------------
// [SECTION] Plan
//-----------------------------------------------------------------------------

static Route MakeRoute(const ServiceRow& row)
{
    const int objective_ms = row.LatencyObjectiveMs > 0 ? row.LatencyObjectiveMs : row.DeadlineMs / 2;
    Route route;
    route.Name = row.Name;
    route.Host = row.Host;
    route.PathPrefix = row.PathPrefix;
    route.Parts = {{row.Name, 1}};
    route.RetryMethods = row.RetryMethods;
    route.TimeoutUs = row.DeadlineMs * UsPerMs;
    route.LatencyObjectiveUs = objective_ms * UsPerMs;
    route.Priority = row.Class;
    route.AttemptsMax = row.AttemptsMax;
    return route;
}

RoutePlan MakePlan(const Table& table)
{
    RoutePlan plan;
    plan.Version = table.Revision;
    for (const ServiceRow& row : table.Rows)
    {
        plan.Routes.push_back(MakeRoute(row));
        plan.Services.push_back({row.Name, row.HealthPath, row.ConnectionsPerInstance, row.RequestsPerInstance});
    }
    return plan;
}

} // namespace Winchlink
