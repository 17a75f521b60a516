// fleet.cpp: runs a small fleet on this machine for benchmarks.
//
// Index of this file:
// [SECTION] Table and targets
// [SECTION] Instances
// [SECTION] Metrics
// [SECTION] Noise
// [SECTION] Load

#include "fleet.h"

#include "bench.h"
#include "clock.h"

#include <csignal>
#include <fmt/format.h>

namespace Winchlink
{

static constexpr TimeUs ReadyMaxUs = 20 * UsPerSecond;

//-----------------------------------------------------------------------------
// [SECTION] Table and targets
//-----------------------------------------------------------------------------

static std::string DataCentreOf(const FleetPlan& plan, int index)
{
    return fmt::format("dc{}", 1 + index % plan.DataCentres);
}

static ServiceRow MakeRow(const FleetRow& plan)
{
    ServiceRow row;
    row.Name = plan.Name;
    row.PathPrefix = "/" + plan.Name + "/";
    row.Class = plan.Class;
    row.DeadlineMs = plan.DeadlineMs;
    row.HealthPath = plan.UsesProbes ? "/health" : "";
    row.RetryMethods = {"GET"};
    return row;
}

static bool AddTargets(Fleet* fleet, const FleetRow& plan)
{
    ServiceRow row = MakeRow(plan);
    for (int n = 0; n < plan.Targets; n++)
    {
        fleet->Targets.push_back(std::make_unique<FleetTarget>());
        FleetTarget& target = *fleet->Targets.back();
        target.Row = plan.Name;
        target.Part.Names = WireNames();
        target.Part.Slots = plan.Slots;
        target.Part.WorkUs = plan.WorkUs;
        const std::string id = fmt::format("{}-{}", plan.Name, n);
        if (!UsersTargetStart(&target.Part, &fleet->Loop, id, FreeLoopback()))
        {
            return false;
        }
        row.Targets.push_back({target.Part.Address, DataCentreOf(fleet->Plan, n), 1, plan.Slots});
    }
    fleet->Rows[plan.Name] = row;
    FleetPublish(fleet, plan.Name);
    return true;
}

void FleetPublish(Fleet* fleet, const std::string& row)
{
    UsersStorePutRow(&fleet->Store, fleet->Rows.at(row));
}

//-----------------------------------------------------------------------------
// [SECTION] Instances
//-----------------------------------------------------------------------------

static Settings MakeSettings(const Fleet& fleet, const FleetInstance& instance, int index)
{
    Settings settings;
    settings.Instance = fmt::format("i{}", index);
    settings.DataCentre = DataCentreOf(fleet.Plan, index);
    settings.CallerAddress = instance.Callers;
    settings.ReadyAddress = instance.Ready;
    settings.MetricsAddress = instance.Pages;
    settings.PeerAddress = instance.Peers;
    settings.StoreAddress = fleet.Store.Address;
    for (size_t n = 0; n < fleet.Instances.size() && n < SeedsMax; n++)
    {
        settings.Peers.push_back(fleet.Instances[n].Peers);
    }
    return settings;
}

static void StartInstances(Fleet* fleet)
{
    for (int n = 0; n < fleet->Plan.Instances; n++)
    {
        const std::string file = fmt::format("{}/i{}.json", fleet->Folder, n);
        fleet->Instances.push_back({-1, FreeLoopback(), FreeLoopback(), FreeLoopback(), FreeLoopback(), file});
    }
    const std::string program = OwnFolder() + "/" + fleet->Plan.Program;
    for (int n = 0; n < fleet->Plan.Instances; n++)
    {
        FleetInstance& instance = fleet->Instances[static_cast<size_t>(n)];
        WriteSettings(instance.SettingsFile, MakeSettings(*fleet, instance, n));
        instance.Pid = StartProcess({program, "serve", "--settings", instance.SettingsFile}, fmt::format("{}/i{}.log", fleet->Folder, n),
                                    fleet->Plan.Environment);
    }
}

static ClientAnswer Get(Fleet* fleet, const std::string& address, const std::string& path)
{
    ClientRequest request;
    request.Address = address;
    request.Target = path;
    return ClientSendAndWait(&fleet->Calls, std::move(request));
}

static bool AwaitReady(Fleet* fleet)
{
    constexpr TimeUs poll_interval = 20 * UsPerMs;
    const TimeUs until = NowUs() + ReadyMaxUs;
    for (const FleetInstance& instance : fleet->Instances)
    {
        while (Get(fleet, instance.Ready, "/ready").Status != 200)
        {
            if (NowUs() > until)
            {
                return false;
            }
            FleetRun(fleet, poll_interval);
        }
    }
    return true;
}

static bool StartAll(Fleet* fleet, const FleetPlan& plan)
{
    std::signal(SIGPIPE, SIG_IGN);
    fleet->Plan = plan;
    fleet->Folder = MakeFolder("winchlink-fleet");
    fleet->Store.ServesTable = true;
    ClientStart(&fleet->Calls, &fleet->Loop);
    if (fleet->Folder.empty() || !UsersStoreStart(&fleet->Store, &fleet->Loop, FreeLoopback()))
    {
        return false;
    }
    for (const FleetRow& row : plan.Rows)
    {
        if (!AddTargets(fleet, row))
        {
            return false;
        }
    }
    StartInstances(fleet);
    return AwaitReady(fleet);
}

bool FleetStart(Fleet* fleet, const FleetPlan& plan)
{
    const bool good = StartAll(fleet, plan);
    if (!good)
    {
        fmt::print("the fleet did not become ready; its logs are in {}\n", fleet->Folder);
    }
    return good;
}

void FleetKillInstance(Fleet* fleet, size_t index)
{
    FleetInstance& instance = fleet->Instances[index];
    if (instance.Pid > 0)
    {
        KillProcess(instance.Pid);
        instance.Pid = -1;
    }
}

Fleet::~Fleet()
{
    for (size_t n = 0; n < Instances.size(); n++)
    {
        FleetKillInstance(this, n);
    }
}

void FleetRun(Fleet* fleet, TimeUs time)
{
    LoopRunUntil(&fleet->Loop, time, []() { return false; });
}

std::vector<std::string> FleetEntries(const Fleet& fleet)
{
    std::vector<std::string> entries;
    for (const FleetInstance& instance : fleet.Instances)
    {
        if (instance.Pid > 0)
        {
            entries.push_back(instance.Callers);
        }
    }
    return entries;
}

//-----------------------------------------------------------------------------
// [SECTION] Metrics
//-----------------------------------------------------------------------------

double FleetMetric(Fleet* fleet, size_t index, const std::string& name)
{
    const std::string text = "\n" + Get(fleet, fleet->Instances[index].Pages, "/metrics").Body;
    const size_t at = text.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::strtod(text.c_str() + at + name.size() + 2, nullptr);
}

//-----------------------------------------------------------------------------
// [SECTION] Noise
//-----------------------------------------------------------------------------

static TimeUs DrawSpan(TimeUs mean, Random* random)
{
    return static_cast<TimeUs>(std::exponential_distribution<double>(1.0 / static_cast<double>(mean))(*random));
}

static void ChangeSpeed(Fleet* fleet, FleetTarget* target, double share, int factor, TimeUs burst, Random* random)
{
    constexpr int usual = 100;
    const bool slow = target->Part.PacePercent == usual;
    const auto between = static_cast<TimeUs>(static_cast<double>(burst) * (1 - share) / share);
    target->Part.PacePercent = slow ? usual * factor : usual;
    target->Noise = TimerStart(&fleet->Loop, DrawSpan(slow ? burst : between, random),
                               [=]() { ChangeSpeed(fleet, target, share, factor, burst, random); });
}

void FleetAddNoise(Fleet* fleet, double share, int factor, TimeUs burst, Random* random)
{
    for (const auto& target : fleet->Targets)
    {
        FleetTarget* part = target.get();
        part->Noise = TimerStart(&fleet->Loop, DrawSpan(burst, random), [=]() { ChangeSpeed(fleet, part, share, factor, burst, random); });
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Load
//-----------------------------------------------------------------------------

namespace
{

// State of a running load generator.
struct LoadRun
{
    Fleet* Owner = nullptr;
    std::vector<std::string> Entries;
    std::vector<LoadKind> Kinds;
    Random Rng;
    TimeUs EndUs = 0;
    std::vector<TimeUs> NextUs; // Next arrival of each kind.
    size_t Sent = 0;
    size_t Ended = 0;
    std::vector<LoadRecord> Records;
    Timer Next;
};

} // namespace

static void SendTo(LoadRun* run, size_t index, size_t entry, TimeUs planned);

static void OnAnswered(LoadRun* run, size_t index, size_t entry, TimeUs planned, const ClientAnswer& answer)
{
    if (answer.End == ClientEnd_NotConnected && entry + 1 < index + run->Entries.size())
    {
        SendTo(run, index, entry + 1, planned); // Nothing was sent, so the request can go to the next instance.
        return;
    }
    LoadRecord& record = run->Records[index];
    run->Ended++;
    record.LatencyUs = NowUs() - planned;
    record.Status = answer.End == ClientEnd_Answered ? answer.Status : 0;
    const std::string* code = FindHeader(answer.Headers, HeaderCode);
    record.Code = code != nullptr ? std::atoi(code->c_str()) : 0;
    const bool good = record.Status > 0 && record.Status < 500;
    record.InTime = good && record.LatencyUs <= run->Kinds[record.Kind].DeadlineMs * UsPerMs;
}

static void SendTo(LoadRun* run, size_t index, size_t entry, TimeUs planned)
{
    constexpr TimeUs timeout = 10 * UsPerSecond;
    const LoadRecord& record = run->Records[index];
    const LoadKind& what = run->Kinds[record.Kind];
    ClientRequest request;
    request.Address = run->Entries[entry % run->Entries.size()];
    request.Method = what.Method;
    request.Target = fmt::format("/{}/{}", what.Row, index);
    request.Headers = {{"Host", "bench.example"}, {"X-Request-Id", record.Id}, {"X-Deadline-Ms", std::to_string(what.DeadlineMs)}};
    request.HasBody = what.Method == "POST";
    request.TimeoutUs = timeout;
    ClientSend(&run->Owner->Calls, std::move(request),
               [run, index, entry, planned](const ClientAnswer& answer) { OnAnswered(run, index, entry, planned, answer); });
}

static void SendOne(LoadRun* run, size_t kind, TimeUs planned)
{
    const size_t index = run->Sent++;
    LoadRecord record;
    record.Kind = kind;
    record.Id = fmt::format("load-{}", index);
    run->Records.push_back(record);
    SendTo(run, index, index, planned);
}

static TimeUs DrawGap(LoadRun* run, size_t kind)
{
    const double seconds = std::exponential_distribution<double>(run->Kinds[kind].PerSecond)(run->Rng);
    return static_cast<TimeUs>(seconds * static_cast<double>(UsPerSecond));
}

// Sends all requests that are due and sets the timer for the next arrival.
static void SendDue(LoadRun* run)
{
    const TimeUs now = NowUs();
    TimeUs next = run->EndUs;
    for (size_t kind = 0; kind < run->Kinds.size(); kind++)
    {
        while (run->NextUs[kind] <= now && run->NextUs[kind] < run->EndUs)
        {
            SendOne(run, kind, run->NextUs[kind]);
            run->NextUs[kind] += DrawGap(run, kind);
        }
        next = std::min(next, run->NextUs[kind]);
    }
    run->Next = next < run->EndUs ? TimerStart(&run->Owner->Loop, next - now, [run]() { SendDue(run); }) : nullptr;
}

std::vector<LoadRecord> FleetRunLoad(Fleet* fleet, const std::vector<std::string>& entries, const std::vector<LoadKind>& kinds,
                                     TimeUs length, uint64_t seed)
{
    constexpr TimeUs last_answers = 12 * UsPerSecond;
    LoadRun run;
    run.Owner = fleet;
    run.Entries = entries;
    run.Kinds = kinds;
    run.Rng.seed(seed);
    const TimeUs start = NowUs();
    run.EndUs = start + length;
    for (size_t kind = 0; kind < kinds.size(); kind++)
    {
        run.NextUs.push_back(start + DrawGap(&run, kind));
    }
    SendDue(&run);
    FleetRun(fleet, length);
    LoopRunUntil(&fleet->Loop, last_answers, [&run]() { return run.Ended == run.Sent; });
    return run.Records;
}

LoadSummary Summarize(const std::vector<LoadRecord>& records, const std::vector<LoadKind>& kinds, int kind)
{
    LoadSummary summary;
    std::vector<double> good;
    std::vector<double> all;
    for (const LoadRecord& record : records)
    {
        if (kind >= 0 && record.Kind != static_cast<size_t>(kind))
        {
            continue;
        }
        const bool is_good = record.Status > 0 && record.Status < 500;
        const double ms = static_cast<double>(record.LatencyUs) / UsPerMs;
        summary.Count++;
        summary.Good += is_good ? 1 : 0;
        summary.InTime += record.InTime ? 1 : 0;
        summary.Refused += record.Status == 503 ? 1 : 0;
        summary.Failed += !is_good && record.Status != 503 ? 1 : 0;
        all.push_back(is_good ? ms : std::max(ms, static_cast<double>(kinds[record.Kind].DeadlineMs)));
        if (is_good)
        {
            good.push_back(ms);
        }
    }
    summary.P50Ms = QuantileOf(good, 0.5);
    summary.P99Ms = QuantileOf(good, 0.99);
    summary.P999Ms = QuantileOf(good, 0.999);
    summary.P99AllMs = QuantileOf(all, 0.99);
    return summary;
}

} // namespace Winchlink
