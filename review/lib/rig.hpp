// rig.hpp: a small deployment for the scripts of this review: the project's own stand-ins of the platform's store and of the upstreams, in
// one event loop, and instances of the program under test as separate processes, started with the command of the deploy file.

#pragma once

#include "client.h"
#include "clock.h"
#include "log.h"
#include "process.h"
#include "users_store.h"
#include "users_target.h"
#include "winchlink_internal.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <memory>
#include <sys/wait.h>
#include <unistd.h>

namespace Review
{

using namespace Winchlink;

// Exit codes of a script.
enum Exit_Review : int
{
    Held = 0,
    Broken = 1,
    CannotRun = 2,
};

struct Machine
{
    std::string Name;
    std::string Zone = "z1";
    std::string Ip;
    std::string Front;
    std::string Ready;
    std::string Control;
    std::string Metrics;
    std::string File;
    pid_t Pid = -1;
};

// Bounds that go into the settings, as the site's page names them.
struct Bounds
{
    double GraceS = 6;
    double QuotaWindowS = 0; // 0: the site has no quotas.
    double QuotaOverage = 0.25;
    double QuotaSlack = 20;
};

struct Rig
{
    EventLoop Loop;
    UsersStore Store;
    Client Calls;
    std::string Folder;
    std::string Program;
    Bounds Limits;
    int DatagramPort = 0;
    std::vector<std::unique_ptr<UsersTarget>> Targets;
    std::vector<Machine> Machines;
    std::FILE* Record = nullptr;
    TimeUs StartUs = 0;

    ~Rig();
};

// Processes that a signal to this one has to end as well.
inline std::array<volatile pid_t, 64> Started = {};

inline void EndStarted(int)
{
    for (const pid_t pid : Started)
    {
        if (pid > 0)
        {
            kill(pid, SIGKILL);
        }
    }
    _exit(CannotRun);
}

inline double At(const Rig& rig, TimeUs now)
{
    return static_cast<double>(now - rig.StartUs) / 1e6;
}

template <class... Args> void Note(Rig* rig, const char* format, const Args&... args)
{
    const std::string line = fmt::format("{:9.3f}  {}\n", At(*rig, NowUs()), fmt::format(fmt::runtime(format), args...));
    std::fputs(line.c_str(), rig->Record);
}

inline void Run(Rig* rig, double seconds)
{
    LoopRunUntil(&rig->Loop, static_cast<TimeUs>(seconds * 1e6), []() { return false; });
}

inline std::string Quoted(const std::string& text)
{
    return "\"" + text + "\"";
}

// The settings file as deploy/settings.json gives it. The seeds are the first three machines.
inline void WriteSettingsFile(const Rig& rig, const Machine& machine)
{
    std::string seeds;
    for (size_t n = 0; n < rig.Machines.size() && n < SeedsMax; n++)
    {
        seeds += (n > 0 ? "," : "") + Quoted(rig.Machines[n].Control);
    }
    std::string text = "{\n";
    const auto add = [&text](const std::string& key, const std::string& value)
    {
        text += "  " + Quoted(key) + ": " + value + ",\n";
    };
    add("instance", Quoted(machine.Name));
    add("dataCentre", Quoted(machine.Zone));
    add("callerAddress", Quoted(machine.Front));
    add("readyAddress", Quoted(machine.Ready));
    add("peerAddress", Quoted(machine.Control));
    add("metricsAddress", Quoted(machine.Metrics));
    add("storeAddress", Quoted(rig.Store.Address));
    add("peers", "[" + seeds + "]");
    add("descriptorsMost", "4100");
    add("linkMbps", "1000.0");
    add("datagramPort", std::to_string(rig.DatagramPort));
    add("graceS", fmt::format("{}", rig.Limits.GraceS));
    if (rig.Limits.QuotaWindowS > 0)
    {
        add("quotaWindowS", fmt::format("{}", rig.Limits.QuotaWindowS));
        add("quotaOverage", fmt::format("{}", rig.Limits.QuotaOverage));
        add("quotaSlack", fmt::format("{}", rig.Limits.QuotaSlack));
    }
    add("repeatShare", "0.2");
    text += "  \"repeatWindowS\": 10\n}\n";
    std::ofstream(machine.File) << text;
}

inline void StartMachine(Rig* rig, Machine* machine)
{
    machine->Pid = StartProcess({rig->Program, "gateway"}, rig->Folder + "/" + machine->Name + ".log", {{"WINCHLINK_BOOT", machine->File}});
    Started[static_cast<size_t>(machine - rig->Machines.data()) % Started.size()] = machine->Pid;
    Note(rig, "start {} pid {}", machine->Name, machine->Pid);
}

inline void KillMachine(Rig* rig, Machine* machine)
{
    if (machine->Pid > 0)
    {
        KillProcess(machine->Pid);
        Note(rig, "SIGKILL {}", machine->Name);
        machine->Pid = -1;
        Started[static_cast<size_t>(machine - rig->Machines.data()) % Started.size()] = 0;
    }
}

// Prepares the rig: a free IP for each machine, the store and the record. `arguments`: PROGRAM RECORD.
inline bool Prepare(Rig* rig, const std::vector<std::string>& arguments, int machines, int zones)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, EndStarted);
    std::signal(SIGINT, EndStarted);
    SetLogLevel(LogLevel_Error); // Of the stand-ins; the program under test writes its own log files.
    rig->Program = arguments.at(0);
    rig->Record = std::fopen(arguments.at(1).c_str(), "w");
    rig->Folder = MakeFolder("winchlink-review");
    rig->StartUs = NowUs();
    const int pid = getpid();
    const std::string net = fmt::format("127.{}.{}", 1 + pid / 250 % 250, 1 + pid % 250);
    const std::string store_ip = net + ".1";
    rig->DatagramPort = FreePort(net + ".2");
    if (rig->Record == nullptr || rig->Folder.empty() ||
        !UsersStoreStart(&rig->Store, &rig->Loop, fmt::format("{}:{}", store_ip, FreePort(store_ip))))
    {
        return false;
    }
    ClientStart(&rig->Calls, &rig->Loop);
    for (int n = 0; n < machines; n++)
    {
        Machine machine;
        machine.Name = fmt::format("edge-{}", n);
        machine.Zone = fmt::format("z{}", 1 + n % zones);
        machine.Ip = fmt::format("{}.{}", net, 2 + n);
        machine.Front = fmt::format("{}:{}", machine.Ip, FreePort(machine.Ip));
        machine.Ready = fmt::format("{}:{}", machine.Ip, FreePort(machine.Ip));
        machine.Control = fmt::format("{}:{}", machine.Ip, FreePort(machine.Ip));
        machine.Metrics = fmt::format("{}:{}", machine.Ip, FreePort(machine.Ip));
        machine.File = fmt::format("{}/{}.json", rig->Folder, machine.Name);
        rig->Machines.push_back(machine);
    }
    for (const Machine& machine : rig->Machines)
    {
        WriteSettingsFile(*rig, machine);
    }
    return true;
}

// Adds an upstream with an entry in the store.
inline UsersTarget* AddUpstream(Rig* rig, const std::string& service, const std::string& zone, int slots, double work_s, double cold_s = 0)
{
    rig->Targets.push_back(std::make_unique<UsersTarget>());
    UsersTarget* target = rig->Targets.back().get();
    target->Slots = slots;
    target->Queue = 4 * slots;
    target->WorkUs = static_cast<TimeUs>(work_s * 1e6);
    const std::string id = fmt::format("i-{}-{}", service, rig->Targets.size());
    if (!UsersTargetStart(target, &rig->Loop, id, FreeLoopback()))
    {
        return nullptr;
    }
    UsersStoreTarget(&rig->Store, id, service, target->Address, zone, false, cold_s);
    return target;
}

inline bool IsReady(Rig* rig, const Machine& machine)
{
    ClientRequest request;
    request.Address = machine.Ready;
    request.Target = "/ready";
    return ClientSendAndWait(&rig->Calls, std::move(request)).Status == 200;
}

inline bool AwaitReady(Rig* rig, double limit_s)
{
    const TimeUs until = NowUs() + static_cast<TimeUs>(limit_s * 1e6);
    for (const Machine& machine : rig->Machines)
    {
        while (!IsReady(rig, machine))
        {
            if (NowUs() > until)
            {
                return false;
            }
            Run(rig, 0.02);
        }
    }
    return true;
}

inline Rig::~Rig()
{
    for (Machine& machine : Machines)
    {
        if (machine.Pid > 0)
        {
            KillProcess(machine.Pid);
        }
    }
    if (Record != nullptr)
    {
        std::fclose(Record);
    }
    if (!Folder.empty() && std::getenv("KEEP_LOGS") == nullptr)
    {
        const std::string folder = Folder;
        for (const Machine& machine : Machines)
        {
            std::remove(machine.File.c_str());
            std::remove((folder + "/" + machine.Name + ".log").c_str());
        }
        rmdir(folder.c_str());
    }
}

inline bool Trouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace Review
