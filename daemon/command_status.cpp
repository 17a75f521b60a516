// command_status.cpp: winchlink status: what an operator wants to see at three in the morning.
//
// Reads the instance's /status page and prints the parts in the order in which one asks: is it serving, with which table, does it hear
// the platform and its peers, and which target does not get work and why.

#include "commands.h"
#include "fetch.h"
#include "options.h"
#include "winchlink_json.h"

#include <fmt/format.h>

namespace Winchlink
{

static constexpr int StatusTimeoutMs = 3000;
static constexpr size_t StatusMax = 64 * MiB;

static Result<std::string> FetchStatus(const std::string& address)
{
    Fetcher fetcher;
    FetcherStart(&fetcher);
    FetchStart(&fetcher, address, "/status", StatusTimeoutMs, StatusMax);
    std::vector<FetchResult> results;
    while (results.empty())
    {
        FetcherPoll(&fetcher, {}, StatusTimeoutMs);
        results = FetchTake(&fetcher);
    }
    if (!results[0].Ok || results[0].Status != 200)
    {
        return Error{Code_StatusUnreachable,
                     address + ": " + (results[0].Ok ? fmt::format("status {}", results[0].Status) : results[0].Detail)};
    }
    return std::move(results[0].Body);
}

static json_int_t Number(json_t* object, const char* key)
{
    return json_integer_value(json_object_get(object, key));
}

static std::string Text(json_t* object, const char* key)
{
    const char* text = json_string_value(json_object_get(object, key));
    return text != nullptr ? text : "";
}

static bool Is(json_t* object, const char* key)
{
    return json_is_true(json_object_get(object, key));
}

static std::string Ago(json_t* object, const char* key)
{
    json_t* value = json_object_get(object, key);
    return json_is_integer(value) ? fmt::format("{:.1f} s", static_cast<double>(json_integer_value(value)) / 1000) : "never";
}

static void PrintInstance(json_t* root)
{
    json_t* instance = json_object_get(root, "instance");
    fmt::print("instance   {} in {}, up {}, {} requests in progress{}\n", Text(instance, "state"), Text(instance, "dataCentre"),
               Ago(instance, "upMs"), Number(instance, "inProgress"), Is(instance, "awake") ? "" : ", WAKING FROM A PAUSE");
    json_t* table = json_object_get(root, "table");
    fmt::print("table      revision {} in force for {}, accepted up to {}\n", Number(table, "revision"), Ago(table, "inForceForMs"),
               Number(table, "acceptedRevision"));
    if (Is(table, "unconfirmedByPeers"))
    {
        fmt::print("           WARNING: no peer answered at the start; the platform's word was taken alone\n");
    }
    if (!Text(table, "refusedReason").empty())
    {
        fmt::print("           REFUSED revision {}: {}\n", Number(table, "refusedRevision"), Text(table, "refusedReason"));
    }
    if (Number(table, "conflicts") > 0)
    {
        fmt::print("           CONFLICT: two contents under one revision; publish again with a higher one\n");
    }
    json_t* platform = json_object_get(root, "platform");
    fmt::print("platform   last contact {} ago{}, {} calls, {} failed{}\n", Ago(platform, "lastContactAgoMs"),
               Is(platform, "isReader") ? " (reader)" : "", Number(platform, "calls"), Number(platform, "failures"),
               Is(platform, "servesOlder") ? ", SERVES AN OLDER TABLE" : "");
    json_t* measuring = json_object_get(root, "measuring");
    fmt::print("measuring  {} probes, {} ms of target time\n", Number(measuring, "probes"), Number(measuring, "spentMs"));
}

static void PrintPeers(json_t* root)
{
    json_t* peers = json_object_get(root, "peers");
    fmt::print("peers      {}\n", json_array_size(peers));
    size_t n = 0;
    json_t* peer = nullptr;
    json_array_foreach(peers, n, peer)
    {
        fmt::print("           {} revision {} heard {} ago{}\n", Text(peer, "address"), Number(peer, "revision"), Ago(peer, "heardAgoMs"),
                   Is(peer, "direct") ? "" : " by others");
    }
}

static void PrintRow(json_t* row)
{
    fmt::print("row        {} ({}): {} of {} in progress, p50 {:.2f} ms, p99 {:.2f} ms, {} retries\n", Text(row, "name"),
               Text(row, "class"), Number(row, "inFlight"), Number(row, "maxConcurrent"), json_real_value(json_object_get(row, "p50Ms")),
               json_real_value(json_object_get(row, "p99Ms")), Number(row, "retries"));
    const char* code = nullptr;
    json_t* count = nullptr;
    json_object_foreach(json_object_get(row, "ended"), code, count)
    {
        fmt::print("           {} x {}\n", json_integer_value(count), std::string(code) == "None" ? "answered" : code);
    }
    size_t n = 0;
    json_t* target = nullptr;
    json_array_foreach(json_object_get(row, "targets"), n, target)
    {
        fmt::print("  target   {} {}; {} of {} in progress, {:.2f} ms, {:.0f}% failing\n", Text(target, "address"), Text(target, "why"),
                   Number(target, "inFlight"), Number(target, "maxInFlight"), static_cast<double>(Number(target, "latencyUs")) / 1000,
                   json_real_value(json_object_get(target, "failShare")) * 100);
    }
}

static int PrintStatus(const std::string& body)
{
    std::vector<Fault> faults;
    const JsonPtr root = LoadJson(body, PlatformCodes, &faults);
    if (!root)
    {
        fmt::print(stderr, "winchlink status: code {}: the page is not JSON\n", static_cast<int>(Code_StatusUnreachable));
        return Exit_Usage;
    }
    PrintInstance(root.get());
    PrintPeers(root.get());
    size_t n = 0;
    json_t* row = nullptr;
    json_array_foreach(json_object_get(root.get(), "rows"), n, row)
    {
        PrintRow(row);
    }
    return Text(json_object_get(root.get(), "instance"), "state") == "serving" ? Exit_Good : Exit_Faults;
}

int RunStatus(int argc, const char** argv)
{
    int as_json = 0;
    const poptOption table[] = {{"json", 'j', POPT_ARG_NONE, &as_json, 0, "print the page as it is", nullptr}, OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchlink status", argc, argv, table, "ADDRESS (the instance's operatorAddress)");
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    if (parsed.Arguments.size() != 1)
    {
        fmt::print(stderr, "winchlink status: code {}: name one address\n", static_cast<int>(Code_Usage));
        return Exit_Usage;
    }
    const Result<std::string> body = FetchStatus(parsed.Arguments[0]);
    if (!body)
    {
        fmt::print(stderr, "winchlink status: code {}: {}\n", static_cast<int>(body.error().Code), body.error().Detail);
        return Exit_Usage;
    }
    if (as_json != 0)
    {
        fmt::print("{}\n", body.value());
        return Exit_Good;
    }
    return PrintStatus(body.value());
}

} // namespace Winchlink
