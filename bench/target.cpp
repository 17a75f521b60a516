// target.cpp: a stand-in for a target: work slots, a queue, noise, lies, and an audit of what it ran.
//
// It works on up to --slots requests at once and queues up to --queue more; beyond that it sheds ("not run"). A request takes a random
// time around --service-us; now and then a noisy neighbour makes all work slower for a while. It honours deadlines and hang-ups while a
// request is queued. A caller in another data centre (another third number of the IP) is --far-us away, one way.
//
// Control: POST /admin/mode?set=M&factor=F with M one of
//   ok, slow (F times slower), fail (500 at once), lie (reports no load), freeze (reports the load of this moment for ever), drain
// GET /admin/audit tells counts as JSON; GET /admin/ids lists "ID METHOD COUNT" of all that was run.

#include "bench.h"
#include "names.h"
#include "options.h"
#include "server.h"
#include "signals.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <fmt/format.h>
#include <sys/socket.h>

namespace Winchlink
{

struct TargetOptions
{
    char* Address = nullptr; // Where to listen.
    int Slots = 3;           // Requests worked on at once.
    int Queue = 32;          // Requests waiting beyond.
    int ServiceUs = 8000;    // Median time of a request.
    int SigmaPercent = 40;   // Spread of the logarithm.
    int NoiseEveryMs = 400;  // Mean time between a neighbour's bursts; 0 for none.
    int NoiseForMs = 25;     // Mean length of a burst.
    int NoiseFactor = 4;     // How much slower work is meanwhile.
    int ProbeUs = 6000;      // Time that a probe takes of a slot.
    int ConnectUs = 1000;    // Time that a new connection costs.
    int FarUs = 1500;        // One way to another data centre.
    int LagMs = 20;          // Reports of load are so old.
    int Seed = 1;
};

enum TargetMode_ : int
{
    TargetMode_Ok,
    TargetMode_Slow,
    TargetMode_Fail,
    TargetMode_Lie,
    TargetMode_Freeze,
    TargetMode_COUNT,
};

struct LoadSample
{
    TimeUs At = 0;
    int Busy = 0;
};

struct RunCount
{
    std::string Method;
    int Count = 0;
};

struct TargetStandIn
{
    TargetOptions Options;
    std::mutex Mutex; // Guards all below.
    std::condition_variable SlotFree;
    Random Rng;
    TargetMode_ Mode = TargetMode_Ok;
    double Factor = 1; // In mode slow.
    bool Draining = false;
    TimeUs DrainingSinceUs = 0;
    uint64_t StartId = 0;
    int Working = 0;
    uint64_t NextTicket = 0;        // First come, first served.
    std::deque<uint64_t> Waiting;   // Tickets in the queue.
    std::deque<LoadSample> History; // For lagging reports.
    int FrozenBusy = 0;
    TimeUs NoiseUntilUs = 0;
    TimeUs NextNoiseUs = 0;
    std::map<std::string, RunCount> Runs; // By request id.
    uint64_t Shed = 0;
    uint64_t Cancelled = 0;
    uint64_t Probes = 0;
    uint64_t ProbeUs = 0;
    uint64_t AfterDrain = 0; // Requests that came later than 3 s after the drain began.
    int MostWorking = 0;
    int MostBusy = 0;    // Working and waiting together.
    size_t MostOpen = 0; // Connections.
    Server Listener;
};

static constexpr TimeUs DrainGraceUs = 3 * UsPerSecond;
static constexpr size_t HistoryMax = 4096;

//-----------------------------------------------------------------------------
// [SECTION] Load and its reports
//-----------------------------------------------------------------------------

static int BusyNow(const TargetStandIn& t)
{
    return t.Working + static_cast<int>(t.Waiting.size());
}

static void NoteLoad(TargetStandIn* t)
{
    t->History.push_back({NowUs(), BusyNow(*t)});
    t->MostWorking = std::max(t->MostWorking, t->Working);
    t->MostBusy = std::max(t->MostBusy, BusyNow(*t));
    if (t->History.size() > HistoryMax)
    {
        t->History.pop_front();
    }
}

// The load as it was LagMs ago.
static int LaggingBusy(const TargetStandIn& t)
{
    const TimeUs at = NowUs() - t.Options.LagMs * UsPerMs;
    int busy = 0;
    for (auto sample = t.History.rbegin(); sample != t.History.rend(); ++sample)
    {
        if (sample->At <= at)
        {
            busy = sample->Busy;
            break;
        }
    }
    return busy;
}

static int ReportedBusy(const TargetStandIn& t)
{
    switch (t.Mode)
    {
    case TargetMode_Lie:
        return 0;
    case TargetMode_Freeze:
        return t.FrozenBusy;
    default:
        return LaggingBusy(t);
    }
}

static ServerResponse Answer(TargetStandIn* t, int status, const std::string& body)
{
    const std::lock_guard<std::mutex> lock(t->Mutex);
    ServerResponse response;
    response.Status = status;
    response.Body = body;
    response.Headers = {{"Content-Type", "text/plain"},
                        {HeaderStart, std::to_string(t->StartId)},
                        {HeaderState, t->Draining ? StateDraining : "ready"},
                        {HeaderBusy, std::to_string(ReportedBusy(*t))}};
    return response;
}

//-----------------------------------------------------------------------------
// [SECTION] Slots
//-----------------------------------------------------------------------------

static bool HungUp(int fd)
{
    char byte = 0;
    return fd >= 0 && recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

// Takes a slot, first come, first served. False if the caller hung up or the deadline passed in the queue.
static bool TakeSlot(TargetStandIn* t, std::unique_lock<std::mutex>* lock, int fd, TimeUs deadline)
{
    const uint64_t ticket = t->NextTicket++;
    t->Waiting.push_back(ticket);
    NoteLoad(t);
    auto my_turn = [&]()
    {
        return t->Working < t->Options.Slots && t->Waiting.front() == ticket;
    };
    while (!t->SlotFree.wait_for(*lock, std::chrono::milliseconds(5), my_turn))
    {
        if (HungUp(fd) || NowUs() >= deadline)
        {
            t->Waiting.erase(std::find(t->Waiting.begin(), t->Waiting.end(), ticket));
            t->SlotFree.notify_all();
            return false;
        }
    }
    t->Waiting.pop_front();
    t->Working++;
    NoteLoad(t);
    t->SlotFree.notify_all();
    return true;
}

static void LeaveSlot(TargetStandIn* t)
{
    t->Working--;
    NoteLoad(t);
    t->SlotFree.notify_all();
}

// A time around the median, longer while a neighbour is noisy or the mode is slow.
static TimeUs DrawServiceUs(TargetStandIn* t)
{
    const TimeUs now = NowUs();
    if (t->Options.NoiseEveryMs > 0 && now >= t->NextNoiseUs)
    {
        std::exponential_distribution<double> length(1.0 / t->Options.NoiseForMs);
        std::exponential_distribution<double> gap(1.0 / t->Options.NoiseEveryMs);
        t->NoiseUntilUs = now + static_cast<TimeUs>(length(t->Rng) * UsPerMs);
        t->NextNoiseUs = t->NoiseUntilUs + static_cast<TimeUs>(gap(t->Rng) * UsPerMs);
    }
    std::lognormal_distribution<double> service(std::log(t->Options.ServiceUs), t->Options.SigmaPercent / 100.0);
    const double noise = now < t->NoiseUntilUs ? t->Options.NoiseFactor : 1;
    const double slow = t->Mode == TargetMode_Slow ? t->Factor : 1;
    return static_cast<TimeUs>(service(t->Rng) * noise * slow);
}

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

static bool IsFar(const TargetStandIn& t, const ServerRequest& request)
{
    const Result<Endpoint> own = ParseEndpoint(t.Options.Address);
    const Result<Endpoint> caller = ParseEndpoint(request.CallerAddress);
    return own && caller && (own.value().Ip >> 8U) != (caller.value().Ip >> 8U);
}

static ServerResponse Refuse(TargetStandIn* t, uint64_t* counter)
{
    {
        const std::lock_guard<std::mutex> lock(t->Mutex);
        (*counter)++;
    }
    ServerResponse response = Answer(t, 503, "not run\n");
    response.Headers.push_back({HeaderRun, RunNotRun});
    return response;
}

static void CountRun(TargetStandIn* t, const ServerRequest& request)
{
    const std::string* id = FindHeader(request.Headers, HeaderRequestId);
    RunCount& run = t->Runs[id != nullptr ? *id : ""];
    run.Method = request.Method;
    run.Count++;
    const bool late = t->Draining && NowUs() - t->DrainingSinceUs > DrainGraceUs;
    t->AfterDrain += late ? 1 : 0;
}

static ServerResponse Work(TargetStandIn* t, const ServerRequest& request)
{
    const std::string* deadline_ms = FindHeader(request.Headers, HeaderDeadline);
    const TimeUs deadline = NowUs() + (deadline_ms != nullptr ? std::strtoll(deadline_ms->c_str(), nullptr, 10) : 60000) * UsPerMs;
    std::unique_lock<std::mutex> lock(t->Mutex);
    if (static_cast<int>(t->Waiting.size()) >= t->Options.Queue)
    {
        lock.unlock();
        return Refuse(t, &t->Shed);
    }
    if (t->Mode == TargetMode_Fail)
    {
        CountRun(t, request);
        lock.unlock();
        return Answer(t, 500, "failing\n");
    }
    if (!TakeSlot(t, &lock, request.CallerFd, deadline))
    {
        lock.unlock();
        return Refuse(t, &t->Cancelled);
    }
    CountRun(t, request);
    const TimeUs service = DrawServiceUs(t);
    lock.unlock();
    SleepUs(service);
    lock.lock();
    LeaveSlot(t);
    lock.unlock();
    return Answer(t, 200, request.Method + " " + request.Path + " " + request.Body + "\n");
}

static ServerResponse Health(TargetStandIn* t, const ServerRequest& request)
{
    {
        std::unique_lock<std::mutex> lock(t->Mutex);
        t->Probes++;
        t->ProbeUs += static_cast<uint64_t>(t->Options.ProbeUs);
        if (TakeSlot(t, &lock, request.CallerFd, NowUs() + UsPerSecond))
        {
            lock.unlock();
            SleepUs(t->Options.ProbeUs);
            lock.lock();
            LeaveSlot(t);
        }
    }
    return Answer(t, 200, "healthy\n");
}

static ServerResponse HandleRequest(TargetStandIn* t, const ServerRequest& request)
{
    {
        const std::lock_guard<std::mutex> lock(t->Listener.Mutex);
        t->MostOpen = std::max(t->MostOpen, t->Listener.Open.size());
    }
    const TimeUs one_way = IsFar(*t, request) ? t->Options.FarUs : 0;
    SleepUs(one_way + (request.FirstOnConnection ? t->Options.ConnectUs : 0));
    ServerResponse response = request.Path == HealthPath ? Health(t, request) : Work(t, request);
    SleepUs(one_way);
    return response;
}

//-----------------------------------------------------------------------------
// [SECTION] Control
//-----------------------------------------------------------------------------

static ServerResponse Audit(TargetStandIn* t)
{
    const std::lock_guard<std::mutex> lock(t->Mutex);
    uint64_t run = 0;
    uint64_t repeated = 0;
    for (const auto& entry : t->Runs)
    {
        run += static_cast<uint64_t>(entry.second.Count);
        repeated += entry.second.Method == "POST" && entry.second.Count > 1 ? 1 : 0;
    }
    const std::string body =
        fmt::format("{{\"run\":{},\"distinct\":{},\"postsRepeated\":{},\"shed\":{},\"cancelled\":{},\"probes\":{},\"probeUs\":{},"
                    "\"afterDrain\":{},\"mostWorking\":{},\"mostBusy\":{},\"mostConnections\":{},\"busy\":{}}}",
                    run, t->Runs.size(), repeated, t->Shed, t->Cancelled, t->Probes, t->ProbeUs, t->AfterDrain, t->MostWorking, t->MostBusy,
                    t->MostOpen, BusyNow(*t));
    return {200, {{"Content-Type", "application/json"}}, body, false};
}

static ServerResponse Ids(TargetStandIn* t)
{
    const std::lock_guard<std::mutex> lock(t->Mutex);
    std::string body;
    for (const auto& entry : t->Runs)
    {
        body += entry.first + " " + entry.second.Method + " " + std::to_string(entry.second.Count) + "\n";
    }
    return {200, {{"Content-Type", "text/plain"}}, body, false};
}

static ServerResponse SetMode(TargetStandIn* t, const std::string& path)
{
    const std::lock_guard<std::mutex> lock(t->Mutex);
    const std::string set = QueryValue(path, "set");
    const std::string factor = QueryValue(path, "factor");
    if (set == "drain")
    {
        t->Draining = true;
        t->DrainingSinceUs = NowUs();
        return {200, {}, "", false};
    }
    t->FrozenBusy = LaggingBusy(*t);
    t->Factor = factor.empty() ? 1 : std::strtod(factor.c_str(), nullptr);
    t->Mode = set == "slow"     ? TargetMode_Slow
              : set == "fail"   ? TargetMode_Fail
              : set == "lie"    ? TargetMode_Lie
              : set == "freeze" ? TargetMode_Freeze
                                : TargetMode_Ok;
    return {200, {}, "", false};
}

static ServerResponse HandleTarget(TargetStandIn* t, const ServerRequest& request)
{
    const std::string name = request.Path.substr(0, request.Path.find('?'));
    if (name == "/admin/audit")
    {
        return Audit(t);
    }
    if (name == "/admin/ids")
    {
        return Ids(t);
    }
    if (name == "/admin/mode")
    {
        return SetMode(t, request.Path);
    }
    return HandleRequest(t, request);
}

int RunTarget(int argc, const char** argv)
{
    TargetOptions o;
    const poptOption table[] = {
        {"address", 'a', POPT_ARG_STRING, &o.Address, 0, "where to listen", "IP:PORT"},
        {"slots", 0, POPT_ARG_INT, &o.Slots, 0, "requests worked on at once", "N"},
        {"queue", 0, POPT_ARG_INT, &o.Queue, 0, "requests waiting beyond", "N"},
        {"service-us", 0, POPT_ARG_INT, &o.ServiceUs, 0, "median time of a request", "US"},
        {"sigma", 0, POPT_ARG_INT, &o.SigmaPercent, 0, "spread of its logarithm, percent", "N"},
        {"noise-every-ms", 0, POPT_ARG_INT, &o.NoiseEveryMs, 0, "mean time between bursts of a neighbour, 0 for none", "MS"},
        {"noise-for-ms", 0, POPT_ARG_INT, &o.NoiseForMs, 0, "mean length of a burst", "MS"},
        {"noise-factor", 0, POPT_ARG_INT, &o.NoiseFactor, 0, "how much slower work is meanwhile", "N"},
        {"probe-us", 0, POPT_ARG_INT, &o.ProbeUs, 0, "time that a probe takes of a slot", "US"},
        {"connect-us", 0, POPT_ARG_INT, &o.ConnectUs, 0, "time that a new connection costs", "US"},
        {"far-us", 0, POPT_ARG_INT, &o.FarUs, 0, "one way to another data centre", "US"},
        {"lag-ms", 0, POPT_ARG_INT, &o.LagMs, 0, "age of load reports", "MS"},
        {"seed", 0, POPT_ARG_INT, &o.Seed, 0, "seed of all that is random", "N"},
        OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchbench target", argc, argv, table, "--address IP:PORT");
    const std::unique_ptr<char, decltype(&free)> owner(o.Address, free);
    if (parsed.Exit || o.Address == nullptr)
    {
        return parsed.Exit.value_or(2);
    }
    BlockStopSignals();
    TargetStandIn target;
    target.Options = o;
    target.Rng.seed(static_cast<uint64_t>(o.Seed));
    target.StartId = static_cast<uint64_t>(WallUs());
    ServerConfig config;
    config.Address = o.Address;
    config.ConnectionsMax = 4096;
    const Result<void> started =
        ServerStart(&target.Listener, config, [&](const ServerRequest& request) { return HandleTarget(&target, request); });
    if (!started)
    {
        fmt::print(stderr, "can't listen on {}\n", started.error().Detail);
        return 3;
    }
    WaitForStopSignal();
    ServerStop(&target.Listener);
    return 0;
}

} // namespace Winchlink
