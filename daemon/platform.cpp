// platform.cpp: reading the table and the list of instances from the platform's service.
//
// Index of this file:
// [SECTION] Calls
// [SECTION] Index
// [SECTION] Rows
// [SECTION] List of instances
// [SECTION] Entry points

#include "platform.h"

#include "log.h"
#include "names.h"
#include "winchlink_json.h"

#include <algorithm>
#include <fmt/format.h>

namespace Winchlink
{

static constexpr int WatchMs = 5000; // The platform holds a watch for so long.
static constexpr int WatchTimeoutMs = WatchMs + 3000;
static constexpr int CallTimeoutMs = 3000;
static constexpr TimeUs BackoffFirstUs = 250 * UsPerMs;
static constexpr TimeUs BackoffMostUs = 10 * UsPerSecond;
static constexpr TimeUs ListPeriodUs = 30 * UsPerSecond; // Readers renew the list so often.
static constexpr size_t RowFetchesMax = 16;              // Row calls at the same time.

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

static uint64_t Call(PlatformReader* reader, Fetcher* fetcher, const std::string& name, int timeout_ms)
{
    reader->Calls++;
    return FetchStart(fetcher, reader->Address, PlatformValues + name, timeout_ms, PlatformValueMax);
}

static void BackOff(PlatformReader* reader, TimeUs now, Random* random)
{
    reader->BackoffUs = std::clamp(reader->BackoffUs * 2, BackoffFirstUs, BackoffMostUs);
    std::uniform_int_distribution<TimeUs> spread(reader->BackoffUs / 2, reader->BackoffUs);
    reader->NextIndexUs = now + spread(*random);
}

static void NoteFailure(PlatformReader* reader, const std::string& what, const std::string& detail, PlatformNews* news)
{
    reader->Failures++;
    news->Failed = true;
    Log(LogLevel_Warn, Code_PlatformUnreachable, "platform call failed", {{"value", what}, {"detail", detail}});
}

static void NoteContact(PlatformReader* reader, TimeUs now, PlatformNews* news)
{
    reader->LastContactUs = now;
    reader->BackoffUs = 0;
    news->Answered = true;
}

//-----------------------------------------------------------------------------
// [SECTION] Index
//-----------------------------------------------------------------------------

// The table served can't be taken. What fails the checks is not read again before it is edited; what may be a torn read, is.
static void Refuse(PlatformReader* reader, uint64_t revision, Code_ code, const std::string& reason, TimeUs now)
{
    const bool may_pass = code == Code_PlatformTorn || code == Code_PlatformBadAnswer;
    reader->SkipRevision = may_pass ? 0 : revision;
    const bool known = reader->RefusedRevision == revision && reader->RefusedReason == reason;
    reader->RefusedRevision = revision;
    reader->RefusedReason = reason;
    reader->State = PlatformState_Idle;
    reader->NextIndexUs = now + UsPerSecond;
    if (!known)
    {
        Log(LogLevel_Error, code, "table refused", {{"revision", revision}, {"detail", reason}});
    }
}

static void FetchRows(PlatformReader* reader, Fetcher* fetcher)
{
    while (!reader->Wanted.empty() && reader->RowFetches.size() < RowFetchesMax)
    {
        const std::string name = reader->Wanted.back();
        reader->Wanted.pop_back();
        const uint64_t id = Call(reader, fetcher, PlatformRowPrefix + name, CallTimeoutMs);
        reader->RowFetches[id] = name;
    }
}

static void StartRows(PlatformReader* reader, Fetcher* fetcher, const Table& have)
{
    reader->Rows.clear();
    reader->Wanted.clear();
    reader->RowsFailed = false;
    for (const IndexEntry& entry : reader->Index.Rows)
    {
        const ServiceRow* row = FindRow(have, entry.Name);
        if (row == nullptr || row->Revision != entry.Revision)
        {
            reader->Wanted.push_back(entry.Name);
        }
    }
    reader->State = PlatformState_Rows;
    FetchRows(reader, fetcher);
}

static void FinishRows(PlatformReader* reader, const Table& have, TimeUs now, PlatformNews* news);

static void FinishRowsIfAllCame(PlatformReader* reader, const Table& have, TimeUs now, PlatformNews* news)
{
    if (reader->RowFetches.empty() && reader->Wanted.empty())
    {
        FinishRows(reader, have, now, news);
    }
}

static void TakeIndex(PlatformReader* reader, Fetcher* fetcher, const FetchResult& result, const Table& have, TimeUs now,
                      PlatformNews* news)
{
    reader->State = PlatformState_Idle;
    reader->NextIndexUs = now;
    if (result.Status == 204)
    {
        // The watch ended without news. One that did not wait is no watch: don't spin on it.
        reader->NextIndexUs = std::max(now, reader->AskedUs + UsPerSecond);
        return;
    }
    const Result<TableIndex> index = ParseIndex(result.Body);
    if (result.Status != 200 || !index)
    {
        const std::string detail = fmt::format("status {}, {}", result.Status, index ? "index good" : index.error().Detail);
        Refuse(reader, 0, Code_PlatformBadAnswer, detail, now);
        return;
    }
    reader->Index = index.value();
    reader->SeenRevision = reader->Index.Version.Revision;
    reader->Older = reader->Index.Version < have.Version;
    if (reader->Older)
    {
        reader->NextIndexUs = now + UsPerSecond; // An answer without waiting: don't spin.
    }
    else if (!(reader->Index.Version == have.Version))
    {
        StartRows(reader, fetcher, have);
        FinishRowsIfAllCame(reader, have, now, news); // An edit that only removes rows needs no fetch.
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Rows
//-----------------------------------------------------------------------------

// The table that the index names, from rows just fetched and rows that we had.
static std::shared_ptr<Table> Assemble(const PlatformReader& reader, const Table& have)
{
    auto table = std::make_shared<Table>();
    table->Version.Revision = reader.Index.Version.Revision;
    for (const IndexEntry& entry : reader.Index.Rows)
    {
        auto fetched = std::find_if(reader.Rows.begin(), reader.Rows.end(), [&](const ServiceRow& row) { return row.Name == entry.Name; });
        const ServiceRow* row = fetched != reader.Rows.end() ? &*fetched : FindRow(have, entry.Name);
        if (row != nullptr)
        {
            table->Rows.push_back(*row);
        }
    }
    SealTable(table.get());
    table->Removed = have.Removed;
    for (const ServiceRow& row : have.Rows)
    {
        if (FindRow(*table, row.Name) == nullptr)
        {
            table->Removed.push_back({row.Name, table->Version.Revision});
        }
    }
    return table;
}

// All rows are here: puts the table together and checks it as a whole.
static void FinishRows(PlatformReader* reader, const Table& have, TimeUs now, PlatformNews* news)
{
    const uint64_t revision = reader->Index.Version.Revision;
    reader->State = PlatformState_Idle;
    reader->NextIndexUs = now;
    if (reader->RowsFailed)
    {
        reader->NextIndexUs = now + BackoffFirstUs;
        return;
    }
    const std::shared_ptr<Table> table = Assemble(*reader, have);
    if (!(table->Version == reader->Index.Version))
    {
        Refuse(reader, revision, Code_PlatformTorn, "index and rows do not fit", now);
        return;
    }
    const std::vector<Fault> faults = CheckTable(*table);
    if (!faults.empty())
    {
        Refuse(reader, revision, faults[0].Code, faults[0].Where + ": " + faults[0].Detail, now);
        return;
    }
    reader->RefusedReason.clear();
    reader->RefusedRevision = 0;
    news->Read = table;
}

static void TakeRow(PlatformReader* reader, const std::string& name, const FetchResult& result, TimeUs now)
{
    const Result<ServiceRow> row = ParseRow(result.Body);
    if (result.Status == 200 && row && row.value().Name == name)
    {
        reader->Rows.push_back(row.value());
        return;
    }
    reader->RowsFailed = true;
    const std::string reason = row ? fmt::format("status {}", result.Status) : row.error().Detail;
    const Code_ code = row ? Code_PlatformTorn : row.error().Code;
    Refuse(reader, reader->Index.Version.Revision, code, "row " + name + ": " + reason, now);
    reader->State = PlatformState_Rows; // The other calls are still on their way.
}

//-----------------------------------------------------------------------------
// [SECTION] List of instances
//-----------------------------------------------------------------------------

static void ReadListEntry(json_t* value, const std::string& where, std::vector<Fault>* faults, std::string* address, std::string* state)
{
    ObjectReader r;
    if (OpenObject(value, where, PlatformCodes, faults, &r))
    {
        ReadText(&r, "address", true, address);
        ReadText(&r, "state", true, state);
    }
}

// Unknown keys are the platform's business: its list may say more than we read.
static void TakeList(const FetchResult& result, PlatformNews* news)
{
    std::vector<Fault> faults;
    const JsonPtr root = LoadJson(result.Body, PlatformCodes, &faults);
    ObjectReader r;
    if (!root || !OpenObject(root.get(), "instances", PlatformCodes, &faults, &r))
    {
        Log(LogLevel_Warn, Code_PlatformBadAnswer, "list of instances refused", {{"detail", FirstFault(faults).Detail}});
        return;
    }
    news->HasList = true;
    size_t n = 0;
    json_t* value = nullptr;
    json_t* instances = ReadList(&r, "instances", true);
    json_array_foreach(instances, n, value)
    {
        std::string address;
        std::string state;
        ReadListEntry(value, ElementPath("instances", n), &faults, &address, &state);
        const Result<Endpoint> endpoint = ParseEndpoint(address);
        if (endpoint && state == "live")
        {
            news->List.push_back(endpoint.value());
        }
    }
    json_t* targets = ReadList(&r, "targets", false);
    json_array_foreach(targets, n, value)
    {
        std::string address;
        std::string state;
        ReadListEntry(value, ElementPath("targets", n), &faults, &address, &state);
        if (state == "leaving")
        {
            news->LeavingTargets.push_back(address);
        }
    }
    for (const Fault& fault : faults)
    {
        Log(LogLevel_Warn, fault.Code, "list of instances has a fault", {{"where", fault.Where}, {"detail", fault.Detail}});
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Entry points
//-----------------------------------------------------------------------------

bool PlatformTick(PlatformReader* reader, Fetcher* fetcher, bool reads, const Table& have, TimeUs now, Random* random)
{
    const uint64_t calls = reader->Calls;
    // An instance that knows no peers needs the list whether it is a reader or not; NextListUs is 0 at the start.
    const bool list_due = now >= reader->NextListUs && (reads || reader->NextListUs == 0);
    if (list_due && reader->ListFetchId == 0)
    {
        std::uniform_int_distribution<TimeUs> spread(ListPeriodUs / 2, ListPeriodUs);
        reader->NextListUs = now + spread(*random);
        reader->ListFetchId = Call(reader, fetcher, PlatformInstancesName, CallTimeoutMs);
    }
    if (reads && reader->State == PlatformState_Idle && now >= reader->NextIndexUs)
    {
        const uint64_t after = std::max(have.Version.Revision, reader->SkipRevision);
        const std::string name = fmt::format("{}?after={}&waitMs={}", PlatformIndexName, after, WatchMs);
        reader->State = PlatformState_Index;
        reader->AskedUs = now;
        reader->FetchId = Call(reader, fetcher, name, WatchTimeoutMs);
        BackOff(reader, now, random); // Taken back when it answers.
    }
    return reader->Calls != calls;
}

bool PlatformTake(PlatformReader* reader, Fetcher* fetcher, const FetchResult& result, const Table& have, TimeUs now, PlatformNews* news)
{
    const bool ok = result.Ok && result.Status < 500;
    auto row = reader->RowFetches.find(result.Id);
    const bool is_index = reader->State == PlatformState_Index && result.Id == reader->FetchId;
    const bool is_list = result.Id == reader->ListFetchId;
    if (!is_index && !is_list && row == reader->RowFetches.end())
    {
        return false;
    }
    const std::string what = is_index ? PlatformIndexName : is_list ? PlatformInstancesName : row->second;
    if (ok)
    {
        NoteContact(reader, now, news);
    }
    else
    {
        NoteFailure(reader, what, result.Ok ? fmt::format("status {}", result.Status) : result.Detail, news);
    }
    if (is_list)
    {
        reader->ListFetchId = 0;
        if (ok && result.Status == 200)
        {
            TakeList(result, news);
        }
        return true;
    }
    if (is_index)
    {
        reader->State = PlatformState_Idle;
        if (ok)
        {
            TakeIndex(reader, fetcher, result, have, now, news);
        }
        return true;
    }
    reader->RowFetches.erase(row);
    reader->RowsFailed = reader->RowsFailed || !ok;
    if (ok)
    {
        TakeRow(reader, what, result, now);
    }
    FetchRows(reader, fetcher);
    FinishRowsIfAllCame(reader, have, now, news);
    return true;
}

} // namespace Winchlink
