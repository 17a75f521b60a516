// capacity.cpp: winchbench capacity: the slopes from which docs/CAPACITY.md is worked out.
//
// Four series, each in one run: instances of the fleet, rows of the table, edits, calls. What each costs an instance is read from the
// instance itself (control thread's processor time, bytes) and from the kernel (memory, processor time of the process).

#include "fleet.h"
#include "load.h"
#include "options.h"
#include "views.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

namespace Winchlink
{

static constexpr double SettleSeconds = 4;

//-----------------------------------------------------------------------------
// [SECTION] Readings
//-----------------------------------------------------------------------------

static double ResidentMb(pid_t pid)
{
    std::ifstream file(fmt::format("/proc/{}/statm", pid));
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / static_cast<double>(MiB);
}

// Processor time of the whole process.
static double ProcessCpuUs(pid_t pid)
{
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string word;
    double user = 0;
    double system = 0;
    for (int n = 1; n <= 15 && file >> word; n++)
    {
        user = n == 14 ? std::stod(word) : user;
        system = n == 15 ? std::stod(word) : system;
    }
    return (user + system) * UsPerSecond / static_cast<double>(sysconf(_SC_CLK_TCK));
}

struct Reading
{
    double At = 0;           // Seconds.
    double ControlCpuUs = 0; // Means over the instances.
    double SentBytes = 0;
    double ReceivedBytes = 0;
    double Messages = 0;
    double ResidentMbMean = 0;
    double PlatformCalls = 0; // Of the whole fleet.
};

static double CallsOfPlatform(const Fleet& fleet)
{
    const std::string calls = HttpOnce({"GET", fleet.Platform.Address, "/admin/calls", "", {}, 5000}).Body;
    return static_cast<double>(JsonNumberAt(calls, "index") + JsonNumberAt(calls, "rows") + JsonNumberAt(calls, "list"));
}

static Reading Read(const Fleet& fleet)
{
    Reading reading;
    reading.At = static_cast<double>(NowUs()) / UsPerSecond;
    const auto count = static_cast<double>(fleet.Instances.size());
    for (size_t n = 0; n < fleet.Instances.size(); n++)
    {
        const std::string status = FleetStatus(fleet, n);
        reading.ControlCpuUs += static_cast<double>(JsonNumberAt(status, "instance.controlCpuUs")) / count;
        reading.SentBytes += static_cast<double>(JsonNumberAt(status, "messages.sentBytes")) / count;
        reading.ReceivedBytes += static_cast<double>(JsonNumberAt(status, "messages.receivedBytes")) / count;
        reading.Messages += static_cast<double>(JsonNumberAt(status, "messages.sent")) / count;
        reading.ResidentMbMean += ResidentMb(fleet.Instances[n].Process.Pid) / count;
    }
    reading.PlatformCalls = CallsOfPlatform(fleet);
    return reading;
}

struct Rates
{
    double CpuPercent = 0;     // Control thread, of one core.
    double BytesPerSecond = 0; // Sent and received, mean per instance.
    double MessagesPerSecond = 0;
    double ResidentMb = 0;
    double CallsPerSecond = 0; // Of the platform, by the whole fleet.
};

static Rates RatesBetween(const Reading& a, const Reading& b)
{
    const double seconds = b.At - a.At;
    Rates rates;
    rates.CpuPercent = 100 * (b.ControlCpuUs - a.ControlCpuUs) / (seconds * UsPerSecond);
    rates.BytesPerSecond = (b.SentBytes - a.SentBytes + b.ReceivedBytes - a.ReceivedBytes) / seconds;
    rates.MessagesPerSecond = (b.Messages - a.Messages) / seconds;
    rates.ResidentMb = b.ResidentMbMean;
    rates.CallsPerSecond = (b.PlatformCalls - a.PlatformCalls) / seconds;
    return rates;
}

static Rates Observe(const Fleet& fleet, double seconds)
{
    const Reading before = Read(fleet);
    SleepUs(static_cast<TimeUs>(seconds * UsPerSecond));
    return RatesBetween(before, Read(fleet));
}

static std::string FormatLine(const Line& line)
{
    return fmt::format("{:.4g} + {:.4g} x, R2 {:.3f}", line.Intercept, line.Slope, line.R2);
}

// Milliseconds from publishing until the edit was in force, for each instance.
static std::vector<double> SpreadOfEdit(Fleet* fleet)
{
    const TimeUs published = NowUs();
    FleetPublish(fleet);
    std::vector<double> times;
    for (size_t n = 0; n < fleet->Instances.size(); n++)
    {
        const auto revision = static_cast<int64_t>(fleet->Rows.Version.Revision);
        std::string status;
        WaitFor(15 * UsPerSecond,
                [&]()
                {
                    status = FleetStatus(*fleet, n);
                    return JsonNumberAt(status, "table.revision") >= revision;
                });
        const TimeUs adopted = NowUs() - JsonNumberAt(status, "table.inForceForMs") * UsPerMs;
        times.push_back(std::max(0.0, static_cast<double>(adopted - published) / UsPerMs));
    }
    return times;
}

//-----------------------------------------------------------------------------
// [SECTION] Series: instances
//-----------------------------------------------------------------------------

static FleetRow IdleRow()
{
    FleetRow row;
    row.Name = "idle";
    row.PathPrefix = "/idle";
    row.Targets = 1;
    row.MeasuringBudgetMs = 0;
    return row;
}

static bool SeriesOfInstances(int least, int most, int view)
{
    fmt::print("\n## Instances (views of {}, 4 data centres, one row, edits one by one)\n\n| instances | control cpu % of a core | "
               "bytes/s, both ways | messages/s sent | "
               "resident MB | platform calls/s | edit in force p50 ms | max ms |\n|---|---|---|---|---|---|---|---|\n",
               view);
    std::vector<double> x;
    std::vector<double> cpu;
    std::vector<double> bytes;
    std::vector<double> calls;
    std::vector<double> spread;
    for (int instances = least; instances <= most; instances *= 2)
    {
        Fleet fleet;
        FleetPlan plan;
        plan.Instances = instances;
        plan.DataCentres = 4;
        plan.ViewMax = view;
        plan.Rows = {IdleRow()};
        if (!FleetStart(&fleet, plan))
        {
            fmt::print("a fleet of {} did not become ready\n", instances);
            return false;
        }
        SleepUs(static_cast<TimeUs>((SettleSeconds + 4) * UsPerSecond)); // Until surplus readers have stepped back.
        const Rates rates = Observe(fleet, 10);
        std::vector<double> times;
        for (int edit = 0; edit < 5; edit++)
        {
            const std::vector<double> one = SpreadOfEdit(&fleet);
            times.insert(times.end(), one.begin(), one.end());
            SleepUs(UsPerSecond);
        }
        fmt::print("| {} | {:.2f} | {:.0f} | {:.1f} | {:.1f} | {:.2f} | {:.0f} | {:.0f} |\n", instances, rates.CpuPercent,
                   rates.BytesPerSecond, rates.MessagesPerSecond, rates.ResidentMb, rates.CallsPerSecond, QuantileOf(&times, 0.5),
                   QuantileOf(&times, 1.0));
        fflush(stdout);
        x.push_back(instances);
        cpu.push_back(rates.CpuPercent);
        bytes.push_back(rates.BytesPerSecond);
        calls.push_back(rates.CallsPerSecond);
        spread.push_back(QuantileOf(&times, 1.0));
    }
    fmt::print("\nfits over instances: cpu % {}; bytes/s {}; platform calls/s {}; slowest edit ms {}\n", FormatLine(FitLine(x, cpu)),
               FormatLine(FitLine(x, bytes)), FormatLine(FitLine(x, calls)), FormatLine(FitLine(x, spread)));
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Series: rows and edits
//-----------------------------------------------------------------------------

static ServiceRow PaperRow(int n, int targets)
{
    ServiceRow row;
    row.Name = fmt::format("service-{}", n);
    row.PathPrefix = fmt::format("/service-{}", n);
    row.MeasuringBudgetMs = 0; // These targets are not there: they must not be probed.
    row.RepeatMethods = {"GET"};
    for (int t = 0; t < targets; t++)
    {
        TargetRow target;
        target.Address = fmt::format("127.77.{}.{}:{}", n / 250, n % 250 + 1, 10000 + t);
        target.DataCentre = fmt::format("dc{}", t % 4 + 1);
        target.Slots = 3;
        row.Targets.push_back(target);
    }
    return row;
}

static void EditOneRow(Fleet* fleet, int edit)
{
    ServiceRow& row = fleet->Rows.Rows[static_cast<size_t>(edit) % fleet->Rows.Rows.size()];
    row.DeadlineMs = 1000 + edit;
    FleetPublish(fleet);
}

static bool SeriesOfRows()
{
    fmt::print(
        "\n## Rows (4 instances, 11 targets each), and edits at 8.7 a second, 100 times the rate planned for\n\n| rows | resident MB | "
        "idle "
        "cpu % | idle "
        "bytes/s | cpu % under edits | bytes/s under edits | bytes per edit | cpu ms per edit |\n|---|---|---|---|---|---|---|---|\n");
    std::vector<double> x;
    std::vector<double> memory;
    std::vector<double> edit_cpu;
    for (const int rows : {10, 75, 150, 300, 600})
    {
        Fleet fleet;
        FleetPlan plan;
        plan.Instances = 4;
        plan.Rows = {IdleRow()};
        if (!FleetStart(&fleet, plan))
        {
            return false;
        }
        for (int n = 1; n < rows; n++)
        {
            fleet.Rows.Rows.push_back(PaperRow(n, 11));
        }
        FleetPublish(&fleet);
        WaitFor(20 * UsPerSecond, [&]() { return FleetCountAtRevision(fleet, fleet.Rows.Version.Revision) == 4; });
        SleepUs(static_cast<TimeUs>(SettleSeconds * UsPerSecond));
        const Rates idle = Observe(fleet, 6);
        const Reading before = Read(fleet);
        constexpr int edits = 60;
        for (int edit = 0; edit < edits; edit++)
        {
            const TimeUs next = NowUs() + UsPerSecond * 10 / 87;
            EditOneRow(&fleet, edit);
            SleepUs(next - NowUs());
        }
        WaitFor(20 * UsPerSecond, [&]() { return FleetCountAtRevision(fleet, fleet.Rows.Version.Revision) == 4; });
        const Reading after = Read(fleet);
        const Rates busy = RatesBetween(before, after);
        const double seconds = after.At - before.At;
        const double bytes_per_edit = (busy.BytesPerSecond - idle.BytesPerSecond) * seconds / edits;
        const double cpu_per_edit = (busy.CpuPercent - idle.CpuPercent) / 100 * seconds * 1000 / edits;
        fmt::print("| {} | {:.1f} | {:.2f} | {:.0f} | {:.2f} | {:.0f} | {:.0f} | {:.3f} |\n", rows, busy.ResidentMb, idle.CpuPercent,
                   idle.BytesPerSecond, busy.CpuPercent, busy.BytesPerSecond, bytes_per_edit, cpu_per_edit);
        fflush(stdout);
        x.push_back(rows);
        memory.push_back(busy.ResidentMb);
        edit_cpu.push_back(cpu_per_edit);
    }
    fmt::print("\nfits over rows: resident MB {}; cpu ms per edit {}\n", FormatLine(FitLine(x, memory)), FormatLine(FitLine(x, edit_cpu)));
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Series: calls
//-----------------------------------------------------------------------------

static bool SeriesOfCalls()
{
    fmt::print("\n## Calls (one instance, one target)\n\n| calls/s | good/s | cpu % of the process | cpu us per call | p50 ms | p99 ms | "
               "resident MB "
               "|\n|---|---|---|---|---|---|---|\n");
    Fleet fleet;
    FleetPlan plan;
    plan.Instances = 1;
    FleetRow row = IdleRow();
    row.MaxConcurrent = 1000;
    row.MaxConnections = 10000;
    plan.Rows = {row};
    plan.TargetArguments = {"--slots",      "64", "--sigma",  "0", "--noise-every-ms", "0",
                            "--connect-us", "0",  "--far-us", "0", "--service-us",     "2000"};
    if (!FleetStart(&fleet, plan))
    {
        return false;
    }
    std::vector<double> x;
    std::vector<double> cpu;
    for (const double rate : {120.0, 500.0, 1000.0, 2000.0, 3000.0})
    {
        LoadPlan load;
        load.Entries = FleetEntries(fleet);
        load.Kinds = {{"calls", "GET", "/idle/x", rate, 2000}};
        load.Seconds = 5;
        load.Workers = 64;
        const pid_t pid = fleet.Instances[0].Process.Pid;
        const double before = ProcessCpuUs(pid);
        const LoadSummary s = Summarize(PlayLoad(load), -1);
        const double used = ProcessCpuUs(pid) - before;
        fmt::print("| {:.0f} | {:.0f} | {:.1f} | {:.0f} | {:.2f} | {:.2f} | {:.1f} |\n", rate, static_cast<double>(s.Good) / load.Seconds,
                   100 * used / (load.Seconds * UsPerSecond), used / static_cast<double>(std::max<size_t>(s.Count, 1)), s.P50Ms, s.P99Ms,
                   ResidentMb(pid));
        fflush(stdout);
        x.push_back(rate);
        cpu.push_back(100 * used / (load.Seconds * UsPerSecond));
    }
    fmt::print("\nfit over calls/s: cpu % {}\n", FormatLine(FitLine(x, cpu)));
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Series: instances that share a row
//-----------------------------------------------------------------------------

static bool SeriesOfSharing()
{
    fmt::print(
        "\n## Instances of a row (11 of the fleet, views of 64; the library's coordinators in one process, whole fleet started at "
        "once)\n\n| instances | pairs of a row that know each other, % | least in the last third, % | seconds until 99 % | bytes/s, both "
        "ways | processor us/s | edit at half ms | at the last ms |\n|---|---|---|---|---|---|---|---|\n");
    for (const uint32_t instances : {110U, 440U, 1650U, 6600U})
    {
        ViewsPlan plan;
        plan.Instances = instances;
        plan.Seconds = 60;
        const ViewsResult r = PlayViews(plan);
        fmt::print("| {} | {:.1f} | {:.1f} | {} | {:.0f} | {:.0f} | {:.0f} | {:.0f} |\n", instances, 100 * r.KnownShare, 100 * r.KnownLeast,
                   r.SecondsToMost, r.BytesPerSecond, r.MicrosPerSecond, r.EditP50Ms, r.EditMostMs);
        fflush(stdout);
    }
    return true;
}

static constexpr int FullView = 64;
static constexpr int SmallView = 16; // So that a fleet of this machine is many times larger than a view.

int RunCapacity(int argc, const char** argv)
{
    int most = 128;
    char* name = nullptr;
    const poptOption table[] = {
        {"instances", 'i', POPT_ARG_INT, &most, 0, "largest fleet", "N"},
        {"series", 's', POPT_ARG_STRING, &name, 0, "instances, views, sharing, rows or calls; all if not given", "NAME"},
        OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchbench capacity", argc, argv, table, "[--instances N] [--series NAME]");
    const std::string only = name != nullptr ? name : "";
    free(name);
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    most = std::min(most, 256);
    bool good = true;
    const auto wanted = [&](const char* series)
    {
        return good && (only.empty() || only == series);
    };
    good = wanted("instances") ? SeriesOfInstances(4, most, FullView) : good;
    good = wanted("views") ? SeriesOfInstances(32, most, SmallView) : good;
    good = wanted("sharing") ? SeriesOfSharing() : good;
    good = wanted("rows") ? SeriesOfRows() : good;
    good = wanted("calls") ? SeriesOfCalls() : good;
    return good ? 0 : 1;
}

} // namespace Winchlink
