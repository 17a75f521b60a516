// command_status.cpp: winchlink status: prints the state of an instance for operators.
//
// Reads the instance's /status page and prints the state of the instance, its plan, its connection to the store, evacuations, refused
// entries, quarantined requests, and each service with its targets.

#include "commands.h"
#include "options.h"
#include "page_client.h"
#include "winchlink_internal.h"

#include <fmt/format.h>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Reading the page
//-----------------------------------------------------------------------------

static json_int_t Number(json_t* object, const char* key)
{
    return json_integer_value(json_object_get(object, key));
}

static std::string Text(json_t* object, const char* key)
{
    const char* text = json_string_value(json_object_get(object, key));
    return text != nullptr ? text : "";
}

static std::string Texts(json_t* object, const char* key)
{
    std::string all;
    size_t n = 0;
    json_t* text = nullptr;
    json_array_foreach(json_object_get(object, key), n, text)
    {
        all += (n > 0 ? " " : "") + std::string(json_string_value(text));
    }
    return all;
}

static bool Is(json_t* object, const char* key)
{
    return json_is_true(json_object_get(object, key));
}

static std::string Seconds(json_t* object, const char* key)
{
    json_t* value = json_object_get(object, key);
    return json_is_integer(value) ? fmt::format("{:.1f} s", static_cast<double>(json_integer_value(value)) / 1000) : "never";
}

//-----------------------------------------------------------------------------
// [SECTION] Printing
//-----------------------------------------------------------------------------

static void PrintInstance(json_t* root)
{
    json_t* instance = json_object_get(root, "instance");
    fmt::print("instance   {}: {} in {}, up {}, {} requests in progress, {} connections\n", Text(instance, "name"), Text(instance, "state"),
               Text(instance, "dataCentre"), Seconds(instance, "upMs"), Number(instance, "inProgress"), Number(instance, "connections"));
    json_t* plan = json_object_get(root, "plan");
    fmt::print("plan       version {} in force for {}, {} routes\n", Number(plan, "version"), Seconds(plan, "inForceForMs"),
               Number(plan, "routes"));
    if (Number(plan, "rowsKept") + Number(plan, "rowsLeftOut") > 0)
    {
        fmt::print("           rows that can't be used: {} kept in their last valid form, {} left out\n", Number(plan, "rowsKept"),
                   Number(plan, "rowsLeftOut"));
    }
    json_t* store = json_object_get(root, "store");
    fmt::print("store      {} by {}{}, revision {}, known {} ago, {} calls, {} failed, {} followers\n",
               Is(store, "lost") ? "LOST" : "heard", Is(store, "isStore") ? "itself at " : "the instance at ", Text(store, "source"),
               Number(store, "revision"), Seconds(store, "ageMs"), Number(store, "calls"), Number(store, "failures"),
               Number(store, "followers"));
    fmt::print("read by    {}, through {} instances, {} changes of source; own contacts: {}\n", Text(store, "readBy"),
               json_array_size(json_object_get(store, "path")), Number(store, "changes"), Texts(store, "contacts"));
}

static void PrintEvacuations(json_t* root)
{
    size_t n = 0;
    json_t* evacuation = nullptr;
    json_array_foreach(json_object_get(root, "evacuated"), n, evacuation)
    {
        fmt::print("evacuated  {}, as of revision {}: its targets get nothing\n", Text(evacuation, "dataCentre"),
                   Number(evacuation, "revision"));
    }
}

static void PrintPeers(json_t* root)
{
    json_t* peers = json_object_get(root, "peers");
    if (Number(peers, "handedOn") > 0 || Number(peers, "taken") > 0)
    {
        fmt::print("handoffs   {} requests handed to other instances, {} taken from them, {} of these in progress; {} instances known\n",
                   Number(peers, "handedOn"), Number(peers, "taken"), Number(peers, "takenInProgress"),
                   json_array_size(json_object_get(peers, "known")));
    }
}

static void PrintDatagrams(json_t* root)
{
    json_t* datagrams = json_object_get(root, "datagrams");
    if (Number(datagrams, "port") == 0)
    {
        return;
    }
    fmt::print("datagrams  shared load {}, division {}", Is(datagrams, "sharesLoad") ? "on" : "off",
               Is(datagrams, "dividesLoad") ? "on" : "off");
    size_t n = 0;
    json_t* channel = nullptr;
    json_array_foreach(json_object_get(datagrams, "channels"), n, channel)
    {
        fmt::print("; {}: {} sent, {} received, {} bytes, {} dropped", Text(channel, "name"), Number(channel, "sent"),
                   Number(channel, "received"), Number(channel, "bytes"), Number(channel, "dropped"));
    }
    fmt::print("\n");
}

static void PrintInvalid(json_t* root)
{
    size_t n = 0;
    json_t* invalid = nullptr;
    json_array_foreach(json_object_get(root, "invalid"), n, invalid)
    {
        fmt::print("REFUSED    {}: {}\n", Text(invalid, "key"), Text(invalid, "why"));
    }
}

static void PrintQuarantined(json_t* root)
{
    size_t n = 0;
    json_t* quarantined = nullptr;
    json_array_foreach(json_object_get(root, "held"), n, quarantined)
    {
        fmt::print("held       request {} for {} more: {} targets ended under it\n", Text(quarantined, "request"),
                   Seconds(quarantined, "leftMs"), Number(quarantined, "ends"));
    }
}

static void PrintService(json_t* service)
{
    fmt::print("service    {}: {} in progress, p50 {:.2f} ms, p99 {:.2f} ms, {} repeats, {} refused ({} kept for callers that come back)\n",
               Text(service, "name"), Number(service, "inProgress"), json_real_value(json_object_get(service, "p50Ms")),
               json_real_value(json_object_get(service, "p99Ms")), Number(service, "repeats"), Number(service, "repeatsRefused"),
               Number(service, "repeatsKept"));
    const char* code = nullptr;
    json_t* count = nullptr;
    json_object_foreach(json_object_get(service, "ended"), code, count)
    {
        fmt::print("           {} x {}\n", json_integer_value(count), std::string(code) == "None" ? "answered" : code);
    }
    if (Text(service, "path") != "open")
    {
        fmt::print("           path to its targets {} for {}, {} failed contacts since the last answer\n", Text(service, "path"),
                   Seconds(service, "pathForMs"), Number(service, "pathFailures"));
    }
    if (Number(service, "evacuatedTargets") > 0)
    {
        fmt::print("           {} targets in evacuated data centres\n", Number(service, "evacuatedTargets"));
    }
    json_t* load = json_object_get(service, "load");
    if (Number(load, "asks") + Number(load, "answers") + Number(load, "crossed") > 0)
    {
        fmt::print(
            "           load shared: asked {} times, answered {}, {} offers, {} reports taken; {} of {} near targets known, {} free\n",
            Number(load, "asks"), Number(load, "answers"), Number(load, "offers"), Number(load, "reportsTaken"), Number(load, "known"),
            Number(load, "near"), Number(load, "free"));
        fmt::print(
            "           division {}: {} requests served elsewhere, {} kept to wait here, {} kept as there is no more room elsewhere\n",
            Is(load, "divided") ? "in force" : "not needed", Number(load, "crossed"), Number(load, "keptForSlack"),
            Number(load, "keptForRoom"));
    }
    size_t n = 0;
    json_t* target = nullptr;
    json_array_foreach(json_object_get(service, "targets"), n, target)
    {
        fmt::print("  target   {} at {}{}: {}; {} of ours in progress, {} of {} slots in use at {} % pace, told {} ago\n",
                   Text(target, "id"), Text(target, "address"), Is(target, "near") ? "" : " (far)", Text(target, "why"),
                   Number(target, "inFlight"), Number(target, "running"), Number(target, "slots"), Number(target, "pacePercent"),
                   Seconds(target, "reportAgeMs"));
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
    PrintEvacuations(root.get());
    PrintPeers(root.get());
    PrintDatagrams(root.get());
    PrintInvalid(root.get());
    PrintQuarantined(root.get());
    size_t n = 0;
    json_t* service = nullptr;
    json_array_foreach(json_object_get(root.get(), "services"), n, service)
    {
        PrintService(service);
    }
    return Is(json_object_get(root.get(), "instance"), "serving") ? Exit_Good : Exit_Faults;
}

int RunStatus(int argc, const char** argv)
{
    int as_json = 0;
    const poptOption table[] = {{"json", 'j', POPT_ARG_NONE, &as_json, 0, "print the JSON of the page", nullptr}, OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchlink status", argc, argv, table, "ADDRESS (the instance's metricsAddress)");
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    if (parsed.Arguments.size() != 1 || !IsAddress(parsed.Arguments[0]))
    {
        fmt::print(stderr, "winchlink status: code {}: expected one address (IP:port)\n", static_cast<int>(Code_Usage));
        return Exit_Usage;
    }
    const Result<std::string> body = FetchPage(parsed.Arguments[0], "GET", "/status");
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
