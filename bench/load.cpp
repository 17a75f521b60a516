// load.cpp: the load generator.
//
// Index of this file:
// [SECTION] Trace
// [SECTION] Playing
// [SECTION] Summary
// [SECTION] Command

#include "load.h"

#include "names.h"
#include "options.h"

#include <algorithm>
#include <fmt/format.h>
#include <thread>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Trace
//-----------------------------------------------------------------------------

// All arrivals of all kinds, in order. Equal plans give equal traces.
static std::vector<LoadRecord> DrawTrace(const LoadPlan& plan)
{
    std::vector<LoadRecord> trace;
    Random random(plan.Seed);
    for (size_t kind = 0; kind < plan.Kinds.size(); kind++)
    {
        if (plan.Kinds[kind].PerSecond <= 0)
        {
            continue;
        }
        std::exponential_distribution<double> gap(plan.Kinds[kind].PerSecond);
        double at = gap(random);
        while (at < plan.Seconds)
        {
            LoadRecord record;
            record.Kind = kind;
            record.DeadlineUs = plan.Kinds[kind].DeadlineMs * UsPerMs;
            record.PlannedUs = static_cast<TimeUs>(at * UsPerSecond);
            trace.push_back(record);
            at += gap(random);
        }
    }
    std::sort(trace.begin(), trace.end(), [](const LoadRecord& a, const LoadRecord& b) { return a.PlannedUs < b.PlannedUs; });
    for (size_t n = 0; n < trace.size(); n++)
    {
        trace[n].Id = fmt::format("{}-{}", plan.IdPrefix, n);
    }
    return trace;
}

//-----------------------------------------------------------------------------
// [SECTION] Playing
//-----------------------------------------------------------------------------

static int IntHeader(const HttpAnswer& answer, const char* name)
{
    const std::string* value = FindHeader(answer.Headers, name);
    return value != nullptr ? static_cast<int>(std::strtol(value->c_str(), nullptr, 10)) : 0;
}

static void Record(const HttpAnswer& answer, const std::string& expected, LoadRecord* record)
{
    const std::string* run = FindHeader(answer.Headers, HeaderRun);
    const std::string* id = FindHeader(answer.Headers, HeaderRequestId);
    record->Status = answer.Status;
    record->Failure = answer.Failure;
    record->Code = IntHeader(answer, HeaderCode);
    record->NotRun = run != nullptr && *run == RunNotRun;
    const bool foreign = id != nullptr && *id != record->Id;
    record->Wrong = foreign || (answer.Status == 200 && answer.Body != expected);
}

// One call through the platform's balancer: an entry that takes no connection is passed over, since nothing was sent to it.
static HttpAnswer SendThroughBalancer(const LoadPlan& plan, size_t worker, HttpClient* client, HttpCall* call, LoadRecord* record)
{
    HttpAnswer answer;
    for (size_t n = 0; n < plan.Entries.size(); n++)
    {
        call->Address = plan.Entries[(worker + n) % plan.Entries.size()];
        answer = HttpSend(client, *call);
        record->NotConnected = !answer.Sent;
        if (!record->NotConnected)
        {
            break;
        }
    }
    return answer;
}

static void PlayOne(const LoadPlan& plan, size_t worker, TimeUs start, HttpClient* client, LoadRecord* record)
{
    const LoadKind& kind = plan.Kinds[record->Kind];
    HttpCall call;
    call.Method = kind.Method;
    call.Path = kind.Path + (kind.Path.find('?') == std::string::npos ? "?id=" : "&id=") + record->Id;
    call.Body = kind.Method == "POST" ? "body of " + record->Id : "";
    call.Headers = {{HeaderRequestId, record->Id}, {HeaderDeadline, std::to_string(kind.DeadlineMs)}};
    call.TimeoutMs = kind.DeadlineMs + 2000;
    SleepUs(start + record->PlannedUs - NowUs());
    const HttpAnswer answer = SendThroughBalancer(plan, worker, client, &call, record);
    record->LatencyUs = NowUs() - start - record->PlannedUs;
    Record(answer, call.Method + " " + call.Path + " " + call.Body + "\n", record);
}

std::vector<LoadRecord> PlayLoad(const LoadPlan& plan)
{
    std::vector<LoadRecord> trace = DrawTrace(plan);
    std::atomic<size_t> next{0};
    const TimeUs start = NowUs() + 50 * UsPerMs;
    std::vector<std::thread> workers;
    workers.reserve(static_cast<size_t>(plan.Workers));
    for (int n = 0; n < plan.Workers; n++)
    {
        workers.emplace_back(
            [&, n]()
            {
                HttpClient client; // A worker keeps to one entry, as a caller's connection does.
                for (size_t index = next++; index < trace.size(); index = next++)
                {
                    PlayOne(plan, static_cast<size_t>(n), start, &client, &trace[index]);
                }
            });
    }
    for (std::thread& worker : workers)
    {
        worker.join();
    }
    return trace;
}

//-----------------------------------------------------------------------------
// [SECTION] Summary
//-----------------------------------------------------------------------------

LoadSummary Summarize(const std::vector<LoadRecord>& records, int kind)
{
    LoadSummary summary;
    std::vector<double> latencies;
    std::vector<double> all;
    for (const LoadRecord& record : records)
    {
        if (kind >= 0 && record.Kind != static_cast<size_t>(kind))
        {
            continue;
        }
        const bool good = record.Status > 0 && record.Status < 500 && !record.Wrong;
        summary.Count++;
        summary.Good += good ? 1 : 0;
        summary.InTime += good && record.LatencyUs <= record.DeadlineUs ? 1 : 0;
        summary.Refused += record.NotRun ? 1 : 0;
        summary.Failed += !good && !record.NotRun ? 1 : 0;
        const double latency_ms = static_cast<double>(record.LatencyUs) / UsPerMs;
        all.push_back(good ? latency_ms : std::max(latency_ms, static_cast<double>(record.DeadlineUs) / UsPerMs));
        if (good)
        {
            latencies.push_back(latency_ms);
        }
    }
    summary.P50Ms = QuantileOf(&latencies, 0.5);
    summary.P99Ms = QuantileOf(&latencies, 0.99);
    summary.P999Ms = QuantileOf(&latencies, 0.999);
    summary.P99AllMs = QuantileOf(&all, 0.99);
    return summary;
}

//-----------------------------------------------------------------------------
// [SECTION] Command
//-----------------------------------------------------------------------------

static void PrintSummary(const std::string& name, const LoadSummary& s)
{
    fmt::print("{:<16} {:>7} {:>7} {:>7} {:>7} {:>9.2f} {:>9.2f} {:>9.2f}\n", name, s.Count, s.Good, s.Refused, s.Failed, s.P50Ms, s.P99Ms,
               s.P999Ms);
}

int RunLoad(int argc, const char** argv)
{
    LoadPlan plan;
    LoadKind kind;
    char* method = nullptr;
    char* path = nullptr;
    int seed = 1;
    const poptOption table[] = {{"method", 'm', POPT_ARG_STRING, &method, 0, "GET or POST", "METHOD"},
                                {"path", 'p', POPT_ARG_STRING, &path, 0, "path of each call", "PATH"},
                                {"rate", 'r', POPT_ARG_DOUBLE, &kind.PerSecond, 0, "calls per second", "N"},
                                {"seconds", 's', POPT_ARG_DOUBLE, &plan.Seconds, 0, "length of the run, 600 at the most", "N"},
                                {"deadline-ms", 'd', POPT_ARG_INT, &kind.DeadlineMs, 0, "deadline of each call", "MS"},
                                {"workers", 'w', POPT_ARG_INT, &plan.Workers, 0, "calls in progress at the most", "N"},
                                {"seed", 0, POPT_ARG_INT, &seed, 0, "seed of the arrivals", "N"},
                                OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchbench load", argc, argv, table, "--path PATH --rate N ENTRY...");
    kind.Method = method != nullptr ? method : "GET";
    kind.Path = path != nullptr ? path : "/";
    kind.Name = kind.Method + " " + kind.Path;
    free(method);
    free(path);
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    plan.Entries = parsed.Arguments;
    plan.Kinds = {kind};
    plan.Seed = static_cast<uint64_t>(seed);
    plan.Seconds = std::min(plan.Seconds, 600.0);
    if (plan.Entries.empty() || kind.PerSecond <= 0)
    {
        fmt::print(stderr, "winchbench load: name a rate and at least one entry\n");
        return 2;
    }
    fmt::print("{:<16} {:>7} {:>7} {:>7} {:>7} {:>9} {:>9} {:>9}\n", "kind", "calls", "good", "refused", "failed", "p50 ms", "p99 ms",
               "p99.9 ms");
    PrintSummary(kind.Name, Summarize(PlayLoad(plan), -1));
    return 0;
}

} // namespace Winchlink
