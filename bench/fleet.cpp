// fleet.cpp: a fleet on this machine for experiments.
//
// Index of this file:
// [SECTION] Processes and ports
// [SECTION] Rows
// [SECTION] Starting
// [SECTION] Asking
// [SECTION] Stopping

#include "fleet.h"

#include "winchlink_json.h"

#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace Winchlink
{

static constexpr TimeUs ReadyMaxUs = 60 * UsPerSecond;
static constexpr const char* BenchKey = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

//-----------------------------------------------------------------------------
// [SECTION] Processes and ports
//-----------------------------------------------------------------------------

std::string OwnFolder()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

pid_t StartProcess(const std::vector<std::string>& command, const std::string& log, const std::vector<Header>& environment)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& part : command)
    {
        arguments.push_back(const_cast<char*>(part.c_str()));
    }
    arguments.push_back(nullptr);
    std::vector<std::string> own;
    own.reserve(environment.size());
    for (const Header& variable : environment)
    {
        own.push_back(variable.Name + "=" + variable.Value);
    }
    std::vector<char*> variables;
    for (char** variable = environ; *variable != nullptr; variable++)
    {
        variables.push_back(*variable);
    }
    for (std::string& variable : own)
    {
        variables.push_back(variable.data());
    }
    variables.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none); // The child must hear its stop signal whatever we block.
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    pid_t pid = -1;
    if (posix_spawn(&pid, arguments[0], &actions, &attributes, arguments.data(), variables.data()) != 0)
    {
        pid = -1;
    }
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    return pid;
}

// Ports below the range from which the kernel takes the ports of outgoing connections; asking the kernel for free ones gave the same
// port twice in a fleet of 64.
static constexpr int FirstPort = 10000;
static constexpr int PortCount = 22000;

static bool CanBind(int type, const std::string& ip, int port)
{
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool ok = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    return ok;
}

int FreePort(const std::string& ip)
{
    static std::atomic<int> next{getpid() * 37};
    for (int tries = 0; tries < PortCount; tries++)
    {
        const int port = FirstPort + next++ % PortCount;
        if (CanBind(SOCK_STREAM, ip, port) && CanBind(SOCK_DGRAM, ip, port))
        {
            return port;
        }
    }
    return -1;
}

static std::string IpOf(int data_centre)
{
    return fmt::format("127.0.{}.1", data_centre + 1);
}

static std::string FreeAddress(int data_centre)
{
    const std::string ip = IpOf(data_centre);
    return fmt::format("{}:{}", ip, FreePort(ip));
}

static std::string NameOf(int data_centre)
{
    return fmt::format("dc{}", data_centre + 1);
}

//-----------------------------------------------------------------------------
// [SECTION] Rows
//-----------------------------------------------------------------------------

static FleetRow MakeRow(const std::string& name, Class_ value, int targets, int service_us, int budget_ms)
{
    FleetRow row;
    row.Name = name;
    row.PathPrefix = "/" + name;
    row.Class = value;
    row.Targets = targets;
    row.ServiceUs = service_us;
    row.MeasuringBudgetMs = budget_ms;
    return row;
}

std::vector<FleetRow> DakarRows()
{
    return {MakeRow("counter", Class_Critical, 10, 8000, 60), MakeRow("register", Class_Critical, 8, 10000, 60),
            MakeRow("portal", Class_Normal, 20, 8000, 60)};
}

std::vector<FleetRow> AtticaRows()
{
    return {MakeRow("search", Class_Normal, 7, 8000, 12), MakeRow("loans", Class_Critical, 6, 10000, 12),
            MakeRow("progress", Class_Background, 14, 8000, 12)};
}

static ServiceRow TableRowOf(const Fleet& fleet, const FleetRow& plan)
{
    ServiceRow row;
    row.Name = plan.Name;
    row.PathPrefix = plan.PathPrefix;
    row.Class = plan.Class;
    row.MaxConcurrent = plan.MaxConcurrent;
    row.MaxConnections = plan.MaxConnections;
    row.MeasuringBudgetMs = plan.MeasuringBudgetMs;
    row.DeadlineMs = plan.DeadlineMs;
    row.RepeatMethods = plan.RepeatMethods;
    for (const FleetTarget& target : fleet.Targets)
    {
        if (target.Row == plan.Name)
        {
            TargetRow entry;
            entry.Address = target.Process.Address;
            entry.DataCentre = NameOf(target.DataCentre);
            entry.Slots = 3;
            row.Targets.push_back(entry);
        }
    }
    return row;
}

void FleetPublish(Fleet* fleet)
{
    fleet->Rows.Version.Revision++;
    for (ServiceRow& row : fleet->Rows.Rows)
    {
        row.Revision = std::max<uint64_t>(row.Revision, 1);
        SealRow(&row);
    }
    SealTable(&fleet->Rows);
    FleetPlatformAdmin(*fleet, "PUT", "/admin/table", FormatTable(fleet->Rows));
}

//-----------------------------------------------------------------------------
// [SECTION] Starting
//-----------------------------------------------------------------------------

static void WriteSettings(const Fleet& fleet, const FleetInstance& instance)
{
    json_t* object = json_object();
    json_object_set_new(object, "trafficAddress", JsonText(instance.Process.Address));
    json_object_set_new(object, "controlAddress", JsonText(instance.Control));
    json_object_set_new(object, "advertisedAddress", JsonText(instance.Advertised));
    json_object_set_new(object, "operatorAddress", JsonText(instance.Operators));
    json_object_set_new(object, "platformAddress", JsonText(fleet.Platform.Address));
    json_object_set_new(object, "dataCentre", JsonText(NameOf(instance.DataCentre)));
    json_object_set_new(object, "key", json_string(BenchKey));
    json_object_set_new(object, "number", json_integer(instance.Number));
    json_object_set_new(object, "numbers", json_integer(fleet.Plan.Instances));
    json_object_set_new(object, "viewMax", json_integer(fleet.Plan.ViewMax));
    json_object_set_new(object, "drainDelayMs", json_integer(500));
    json_object_set_new(object, "clockGuardMs", json_integer(5));
    std::ofstream(instance.SettingsFile) << DumpJson(object, JSON_INDENT(2));
}

static std::string LogFile(const Fleet& fleet, const std::string& name)
{
    return fleet.Folder + "/" + name + ".log";
}

void FleetStartInstance(Fleet* fleet, size_t index)
{
    FleetInstance& instance = fleet->Instances[index];
    const std::string program = OwnFolder() + "/" + fleet->Plan.Program;
    instance.Process.Pid = StartProcess({program, "serve", "--settings", instance.SettingsFile},
                                        LogFile(*fleet, fmt::format("instance-{}", index)), fleet->Plan.Environment);
}

void FleetStartTarget(Fleet* fleet, size_t index)
{
    FleetTarget& target = fleet->Targets[index];
    int service_us = 8000;
    for (const FleetRow& row : fleet->Plan.Rows)
    {
        service_us = row.Name == target.Row ? row.ServiceUs : service_us;
    }
    std::vector<std::string> command = {OwnFolder() + "/winchbench",
                                        "target",
                                        "--address",
                                        target.Process.Address,
                                        "--service-us",
                                        std::to_string(service_us),
                                        "--seed",
                                        std::to_string(fleet->Plan.Seed * 1000 + static_cast<int>(index))};
    command.insert(command.end(), fleet->Plan.TargetArguments.begin(), fleet->Plan.TargetArguments.end());
    target.Process.Pid = StartProcess(command, LogFile(*fleet, "targets"), {});
}

static void PlanInstances(Fleet* fleet)
{
    for (int n = 0; n < fleet->Plan.Instances; n++)
    {
        FleetInstance instance;
        instance.DataCentre = n % fleet->Plan.DataCentres;
        instance.Number = n;
        instance.Process.Address = FreeAddress(instance.DataCentre);
        instance.Control = FreeAddress(instance.DataCentre);
        instance.Advertised = fleet->Plan.UseRelay ? FreeAddress(instance.DataCentre) : instance.Control;
        instance.Operators = FreeAddress(instance.DataCentre);
        instance.SettingsFile = fmt::format("{}/instance-{}.json", fleet->Folder, n);
        fleet->Instances.push_back(instance);
        WriteSettings(*fleet, instance);
    }
}

static void PlanTargets(Fleet* fleet)
{
    for (const FleetRow& row : fleet->Plan.Rows)
    {
        for (int n = 0; n < row.Targets; n++)
        {
            FleetTarget target;
            target.Row = row.Name;
            target.DataCentre = n % fleet->Plan.DataCentres;
            target.Process.Address = FreeAddress(target.DataCentre);
            fleet->Targets.push_back(target);
        }
    }
}

static void PublishInstances(const Fleet& fleet)
{
    json_t* list = json_array();
    for (const FleetInstance& instance : fleet.Instances)
    {
        json_t* entry = json_object();
        json_object_set_new(entry, "address", JsonText(instance.Advertised));
        json_object_set_new(entry, "state", json_string("live"));
        json_array_append_new(list, entry);
    }
    json_t* object = json_object();
    json_object_set_new(object, "instances", list);
    FleetPlatformAdmin(fleet, "PUT", "/admin/instances", DumpJson(object, 0));
}

static void StartRelay(Fleet* fleet)
{
    if (!fleet->Plan.UseRelay)
    {
        return;
    }
    fleet->Relay.Address = FreeAddress(0);
    std::vector<std::string> command = {OwnFolder() + "/winchbench", "relay", "--address", fleet->Relay.Address};
    for (const FleetInstance& instance : fleet->Instances)
    {
        command.push_back(instance.Advertised + "=" + instance.Control);
    }
    fleet->Relay.Pid = StartProcess(command, LogFile(*fleet, "relay"), {});
}

bool FleetStart(Fleet* fleet, const FleetPlan& plan)
{
    fleet->Plan = plan;
    std::string folder = std::filesystem::temp_directory_path().string() + "/winchlink-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr)
    {
        return false;
    }
    fleet->Folder = folder;
    fleet->Platform.Address = FreeAddress(0);
    fleet->Platform.Pid =
        StartProcess({OwnFolder() + "/winchbench", "platform", "--address", fleet->Platform.Address}, LogFile(*fleet, "platform"), {});
    PlanInstances(fleet);
    PlanTargets(fleet);
    for (size_t n = 0; n < fleet->Targets.size(); n++)
    {
        FleetStartTarget(fleet, n);
    }
    StartRelay(fleet);
    const bool platform_up = WaitFor(ReadyMaxUs,
                                     [&]() {
                                         return HttpOnce({"GET", fleet->Platform.Address, "/admin/calls", "", {}, 500}).Status == 200;
                                     });
    if (!platform_up)
    {
        return false;
    }
    PublishInstances(*fleet);
    for (const FleetRow& row : plan.Rows)
    {
        fleet->Rows.Rows.push_back(TableRowOf(*fleet, row));
    }
    FleetPublish(fleet);
    for (size_t n = 0; n < fleet->Instances.size(); n++)
    {
        FleetStartInstance(fleet, n);
    }
    return WaitFor(ReadyMaxUs,
                   [&]()
                   {
                       size_t ready = 0;
                       while (ready < fleet->Instances.size() && FleetIsReady(*fleet, ready))
                       {
                           ready++;
                       }
                       return ready == fleet->Instances.size();
                   });
}

//-----------------------------------------------------------------------------
// [SECTION] Asking
//-----------------------------------------------------------------------------

bool FleetIsReady(const Fleet& fleet, size_t index)
{
    return HttpOnce({"GET", fleet.Instances[index].Operators, "/ready", "", {}, 1000}).Status == 200;
}

std::string FleetStatus(const Fleet& fleet, size_t index)
{
    return HttpOnce({"GET", fleet.Instances[index].Operators, "/status?brief=1", "", {}, 5000}).Body;
}

int64_t JsonNumberAt(const std::string& json, const std::string& path)
{
    std::vector<Fault> faults;
    const JsonPtr root = LoadJson(json, PlatformCodes, &faults);
    json_t* value = root.get();
    size_t at = 0;
    while (value != nullptr && at <= path.size())
    {
        const size_t dot = std::min(path.find('.', at), path.size());
        value = json_object_get(value, path.substr(at, dot - at).c_str());
        at = dot + 1;
    }
    return json_is_integer(value) ? json_integer_value(value) : -1;
}

std::string FleetTargetAdmin(const Fleet& fleet, size_t index, const std::string& method, const std::string& path)
{
    return HttpOnce({method, fleet.Targets[index].Process.Address, path, "", {}, 10000}).Body;
}

std::set<std::string> FleetRunIds(const Fleet& fleet)
{
    std::set<std::string> ids;
    for (size_t n = 0; n < fleet.Targets.size(); n++)
    {
        const std::string text = FleetTargetAdmin(fleet, n, "GET", "/admin/ids");
        for (size_t at = 0; at < text.size(); at = text.find('\n', at) + 1)
        {
            ids.insert(text.substr(at, text.find(' ', at) - at));
        }
    }
    return ids;
}

int64_t FleetAuditSum(const Fleet& fleet, const std::string& key)
{
    int64_t sum = 0;
    for (size_t n = 0; n < fleet.Targets.size(); n++)
    {
        sum += std::max<int64_t>(0, JsonNumberAt(FleetTargetAdmin(fleet, n, "GET", "/admin/audit"), key));
    }
    return sum;
}

void FleetPlatformAdmin(const Fleet& fleet, const std::string& method, const std::string& path, const std::string& body)
{
    const HttpAnswer answer = HttpOnce({method, fleet.Platform.Address, path, body, {}, 10000});
    if (answer.Status != 200)
    {
        fmt::print(stderr, "platform stand-in: {} {}: status {} {}\n", method, path, answer.Status, answer.Body);
    }
}

std::vector<std::string> FleetEntries(const Fleet& fleet)
{
    std::vector<std::string> entries;
    for (const FleetInstance& instance : fleet.Instances)
    {
        entries.push_back(instance.Process.Address);
    }
    return entries;
}

int FleetCountAtRevision(const Fleet& fleet, uint64_t revision)
{
    int count = 0;
    for (size_t n = 0; n < fleet.Instances.size(); n++)
    {
        count += JsonNumberAt(FleetStatus(fleet, n), "table.revision") == static_cast<int64_t>(revision) ? 1 : 0;
    }
    return count;
}

//-----------------------------------------------------------------------------
// [SECTION] Stopping
//-----------------------------------------------------------------------------

void FleetSignalInstance(Fleet* fleet, size_t index, int signal)
{
    const pid_t pid = fleet->Instances[index].Process.Pid;
    if (pid > 0)
    {
        kill(pid, signal);
    }
}

static int WaitChild(Child* child)
{
    int state = 0;
    if (child->Pid <= 0 || waitpid(child->Pid, &state, 0) != child->Pid)
    {
        return -1;
    }
    child->Pid = -1;
    return WIFEXITED(state) ? WEXITSTATUS(state) : -1;
}

int FleetWaitInstance(Fleet* fleet, size_t index)
{
    return WaitChild(&fleet->Instances[index].Process);
}

void FleetReapTarget(Fleet* fleet, size_t index)
{
    WaitChild(&fleet->Targets[index].Process);
}

static void KillChild(Child* child)
{
    if (child->Pid > 0)
    {
        kill(child->Pid, SIGKILL);
        WaitChild(child);
    }
}

void FleetStop(Fleet* fleet)
{
    for (FleetInstance& instance : fleet->Instances)
    {
        KillChild(&instance.Process);
    }
    for (FleetTarget& target : fleet->Targets)
    {
        KillChild(&target.Process);
    }
    KillChild(&fleet->Relay);
    KillChild(&fleet->Platform);
    if (!fleet->Folder.empty() && getenv("WINCHBENCH_KEEP") == nullptr)
    {
        std::error_code ignored;
        std::filesystem::remove_all(fleet->Folder, ignored);
    }
}

Fleet::~Fleet()
{
    FleetStop(this);
}

} // namespace Winchlink
