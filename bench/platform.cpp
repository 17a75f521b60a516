// platform.cpp: a stand-in for the platform's service: values that can be read, and a waiting watch on the index.
//
// GET /v1/values/NAME answers as docs/PLATFORM.md says. What the platform's owners do is done by PUT and POST under /admin:
//   PUT  /admin/table          publishes a table (the operators' document); rows that did not change keep their revision
//   PUT  /admin/raw?name=N     puts a value as it is, checked by nobody
//   PUT  /admin/instances      the list of instances
//   POST /admin/mode?mode=M    ok, down (answers nothing but 503), stale (serves what it served when this was set)
//   GET  /admin/calls          counts of calls of each kind, as JSON

#include "bench.h"
#include "names.h"
#include "options.h"
#include "server.h"
#include "signals.h"
#include "winchlink_json.h"

#include <condition_variable>
#include <fmt/format.h>

namespace Winchlink
{

enum PlatformMode_ : int
{
    PlatformMode_Ok,
    PlatformMode_Down,
    PlatformMode_Stale,
    PlatformMode_COUNT,
};

struct Values
{
    uint64_t Revision = 0;                     // Of the index.
    std::map<std::string, std::string> ByName; // What can be read.
};

struct PlatformStandIn
{
    std::mutex Mutex;                // Guards all below.
    std::condition_variable Changed; // A table was published, or the mode changed.
    PlatformMode_ Mode = PlatformMode_Ok;
    Table Published; // Last table.
    Values Live;     // Served in mode ok.
    Values Frozen;   // Served in mode stale.
    uint64_t IndexCalls = 0;
    uint64_t RowCalls = 0;
    uint64_t ListCalls = 0;
    std::atomic<bool> Stopping{false};
};

static ServerResponse Text(int status, const std::string& body)
{
    return {status, {{"Content-Type", "application/json"}}, body, false};
}

static const Values& Served(const PlatformStandIn& p)
{
    return p.Mode == PlatformMode_Stale ? p.Frozen : p.Live;
}

static void CountCall(PlatformStandIn* p, const std::string& name)
{
    if (name == PlatformIndexName)
    {
        p->IndexCalls++;
    }
    else if (name == PlatformInstancesName)
    {
        p->ListCalls++;
    }
    else
    {
        p->RowCalls++;
    }
}

// The waiting watch: answers at once when the index is newer than `after`, else when it becomes so, else 204.
static bool WaitForIndex(PlatformStandIn* p, std::unique_lock<std::mutex>* lock, const std::string& path)
{
    const uint64_t after = std::strtoull(QueryValue(path, "after").c_str(), nullptr, 10);
    const long wait_ms = std::strtol(QueryValue(path, "waitMs").c_str(), nullptr, 10);
    if (wait_ms <= 0 || Served(*p).Revision < after)
    {
        return true; // No watch, or one on a revision that this service has not got: say what there is.
    }
    auto newer = [&]()
    {
        return p->Stopping || p->Mode == PlatformMode_Down || Served(*p).Revision > after;
    };
    p->Changed.wait_for(*lock, std::chrono::milliseconds(wait_ms), newer);
    return Served(*p).Revision > after;
}

static ServerResponse ReadValue(PlatformStandIn* p, const std::string& path)
{
    const std::string rest = path.substr(std::strlen(PlatformValues));
    const std::string name = rest.substr(0, rest.find('?'));
    std::unique_lock<std::mutex> lock(p->Mutex);
    CountCall(p, name);
    if (p->Mode != PlatformMode_Down && name == PlatformIndexName && !WaitForIndex(p, &lock, path))
    {
        return Text(p->Mode == PlatformMode_Down ? 503 : 204, "");
    }
    if (p->Mode == PlatformMode_Down)
    {
        return Text(503, "");
    }
    const Values& values = Served(*p);
    auto found = values.ByName.find(name);
    return found == values.ByName.end() ? Text(404, "") : Text(200, found->second);
}

static ServerResponse PublishTable(PlatformStandIn* p, const std::string& body)
{
    CheckedTable checked = ParseTable(body);
    if (!checked.Faults.empty())
    {
        return Text(400, checked.Faults[0].Where + ": " + checked.Faults[0].Detail);
    }
    const std::lock_guard<std::mutex> lock(p->Mutex);
    AssignRowRevisions(p->Published, &checked.Value);
    p->Published = checked.Value;
    const std::string instances = p->Live.ByName[PlatformInstancesName];
    p->Live.ByName.clear();
    p->Live.ByName[PlatformInstancesName] = instances;
    p->Live.ByName[PlatformIndexName] = FormatIndex(p->Published);
    for (const ServiceRow& row : p->Published.Rows)
    {
        p->Live.ByName[PlatformRowPrefix + row.Name] = FormatRow(row);
    }
    p->Live.Revision = p->Published.Version.Revision;
    p->Changed.notify_all();
    return Text(200, "");
}

static ServerResponse PutRaw(PlatformStandIn* p, const ServerRequest& request)
{
    const std::lock_guard<std::mutex> lock(p->Mutex);
    const std::string name = QueryValue(request.Path, "name");
    p->Live.ByName[name] = request.Body;
    const Result<TableIndex> index = ParseIndex(request.Body);
    if (name == PlatformIndexName && index)
    {
        p->Live.Revision = index.value().Version.Revision;
        p->Changed.notify_all();
    }
    return Text(200, "");
}

static ServerResponse SetMode(PlatformStandIn* p, const std::string& mode)
{
    const std::lock_guard<std::mutex> lock(p->Mutex);
    if (mode == "stale" && p->Mode != PlatformMode_Stale)
    {
        p->Frozen = p->Live;
    }
    p->Mode = mode == "down" ? PlatformMode_Down : mode == "stale" ? PlatformMode_Stale : PlatformMode_Ok;
    p->Changed.notify_all();
    return Text(200, "");
}

static ServerResponse HandlePlatform(PlatformStandIn* p, const ServerRequest& request)
{
    const std::string name = request.Path.substr(0, request.Path.find('?'));
    if (request.Path.compare(0, std::strlen(PlatformValues), PlatformValues) == 0)
    {
        return ReadValue(p, request.Path);
    }
    if (name == "/admin/table")
    {
        return PublishTable(p, request.Body);
    }
    if (name == "/admin/raw")
    {
        return PutRaw(p, request);
    }
    if (name == "/admin/instances")
    {
        const std::lock_guard<std::mutex> lock(p->Mutex);
        p->Live.ByName[PlatformInstancesName] = request.Body;
        return Text(200, "");
    }
    if (name == "/admin/mode")
    {
        return SetMode(p, QueryValue(request.Path, "mode"));
    }
    if (name == "/admin/calls")
    {
        const std::lock_guard<std::mutex> lock(p->Mutex);
        return Text(200, fmt::format("{{\"index\":{},\"rows\":{},\"list\":{}}}", p->IndexCalls, p->RowCalls, p->ListCalls));
    }
    return Text(404, "");
}

int RunPlatform(int argc, const char** argv)
{
    char* address = nullptr;
    const poptOption table[] = {{"address", 'a', POPT_ARG_STRING, &address, 0, "where to listen", "IP:PORT"}, OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchbench platform", argc, argv, table, "--address IP:PORT");
    const std::unique_ptr<char, decltype(&free)> owner(address, free);
    if (parsed.Exit || address == nullptr)
    {
        return parsed.Exit.value_or(2);
    }
    BlockStopSignals();
    PlatformStandIn platform;
    platform.Live.ByName[PlatformInstancesName] = "{\"instances\":[]}";
    Server server;
    ServerConfig config;
    config.Address = address;
    config.ConnectionsMax = 4096;
    config.BodyMax = 64 * MiB;
    const Result<void> started =
        ServerStart(&server, config, [&](const ServerRequest& request) { return HandlePlatform(&platform, request); });
    if (!started)
    {
        fmt::print(stderr, "can't listen on {}\n", started.error().Detail);
        return 3;
    }
    WaitForStopSignal();
    platform.Stopping = true;
    platform.Changed.notify_all();
    ServerStop(&server);
    return 0;
}

} // namespace Winchlink
