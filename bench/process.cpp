// process.cpp: starts and ends child processes, finds free loopback ports for them, and reads their use of processor and memory.
//
// Index of this file:
// [SECTION] Processes
// [SECTION] Ports
// [SECTION] Resource usage

#include "process.h"

#include "winchlink_internal.h"

#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Processes
//-----------------------------------------------------------------------------

std::string OwnFolder()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

std::string MakeFolder(const std::string& name)
{
    std::string folder = "/tmp/" + name + "-XXXXXX";
    return mkdtemp(folder.data()) != nullptr ? folder : "";
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
    posix_spawnattr_setsigmask(&attributes, &none); // The child must not inherit blocked signals: it is stopped by one.
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

static json_t* JsonSeconds(TimeUs time)
{
    return json_real(static_cast<double>(time) / static_cast<double>(UsPerSecond));
}

void WriteSettings(const std::string& file, const Settings& settings)
{
    json_t* peers = json_array();
    for (const std::string& peer : settings.Peers)
    {
        json_array_append_new(peers, JsonText(peer));
    }
    json_t* object = json_object();
    json_object_set_new(object, "instance", JsonText(settings.Instance));
    json_object_set_new(object, "dataCentre", JsonText(settings.DataCentre));
    json_object_set_new(object, "callerAddress", JsonText(settings.CallerAddress));
    json_object_set_new(object, "readyAddress", JsonText(settings.ReadyAddress));
    json_object_set_new(object, "metricsAddress", JsonText(settings.MetricsAddress));
    json_object_set_new(object, "peerAddress", JsonText(settings.PeerAddress));
    json_object_set_new(object, "storeAddress", JsonText(settings.StoreAddress));
    json_object_set_new(object, "peers", peers);
    json_object_set_new(object, "sourceIp", JsonText(settings.SourceIp));
    json_object_set_new(object, "datagramPort", json_integer(settings.DatagramPort));
    json_object_set_new(object, "graceS", JsonSeconds(settings.GraceUs));
    json_object_set_new(object, "repeatShare", json_real(settings.RetryShare));
    json_object_set_new(object, "repeatWindowS", JsonSeconds(settings.RetryWindowUs));
    std::ofstream(file) << DumpJson(object, JSON_COMPACT);
}

void KillProcess(pid_t pid)
{
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
}

//-----------------------------------------------------------------------------
// [SECTION] Ports
//-----------------------------------------------------------------------------

// Ports below the kernel's ephemeral range. Ports chosen by the kernel (bind to port 0) are not used: it may return the same one twice.
static constexpr int FirstPort = 10000;
static constexpr int PortCount = 22000;

static bool CanBind(const std::string& ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
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
    constexpr int stride = 7919; // Processes with neighbouring ids start far apart, as each needs many ports.
    static std::atomic<int> next{getpid() % PortCount * stride};
    for (int tries = 0; tries < PortCount; tries++)
    {
        const int port = FirstPort + next++ % PortCount;
        if (CanBind(ip, port))
        {
            return port;
        }
    }
    return -1;
}

std::string FreeLoopback()
{
    constexpr int numbers = 250;
    const int pid = getpid();
    const std::string ip = fmt::format("127.{}.{}.1", 1 + pid / numbers % numbers, 1 + pid % numbers);
    return fmt::format("{}:{}", ip, FreePort(ip));
}

//-----------------------------------------------------------------------------
// [SECTION] Resource usage
//-----------------------------------------------------------------------------

int64_t CpuTimeUs(pid_t pid)
{
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string text;
    std::getline(file, text);
    const size_t name_end = text.rfind(')');
    if (name_end == std::string::npos)
    {
        return -1;
    }
    // The fields after the name: state, ten numbers, then user and system time in ticks.
    constexpr int before_user = 11;
    std::istringstream fields(text.substr(name_end + 2));
    std::string field;
    for (int n = 0; n < before_user; n++)
    {
        fields >> field;
    }
    int64_t user = 0;
    int64_t system = 0;
    fields >> user >> system;
    return (user + system) * UsPerSecond / sysconf(_SC_CLK_TCK);
}

int64_t ResidentKb(pid_t pid)
{
    std::ifstream file(fmt::format("/proc/{}/statm", pid));
    int64_t size = 0;
    int64_t resident = -1;
    file >> size >> resident;
    return resident < 0 ? -1 : resident * sysconf(_SC_PAGESIZE) / static_cast<int64_t>(KiB);
}

} // namespace Winchlink
