// gateway_soak.cpp: winchbench gateway-soak: a randomised run of real gateway processes under faults from outside them.
//
// The store, the targets, a proxy before each of them for each instance, and the callers live in this process's event loop. Instances are
// killed, paused, stopped, told to reload and restarted by signals; connections are delayed, silenced, cut one way and reset; the store
// refuses, falls silent and forgets; targets lose and spoil answers, leave, vanish and come back under another id; configurations come
// singly and in storms. All is drawn from a seed. soak_audit.h says what is checked. It ends only processes that it started.
//
// Index of this file:
// [SECTION] Parts
// [SECTION] Callers
// [SECTION] Faults on instances
// [SECTION] Faults on store and targets
// [SECTION] The run

#include "bench.h"
#include "fleet.h"
#include "gateway.h"
#include "options.h"
#include "proxy.h"
#include "soak_audit.h"
#include "users_store.h"
#include "users_target.h"

#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Winchlink
{

static constexpr double GraceS = 4;
static constexpr const char* InstanceHeader = "X-Soak-Instance";
static constexpr const char* MovingPrefix = "/m/";
static constexpr int ReadersMost = 3;

//-----------------------------------------------------------------------------
// [SECTION] Parts
//-----------------------------------------------------------------------------

struct SoakInstance
{
    int Index = 0;
    std::string Folder; // Settings and log.
    std::string CallerAddress;
    std::string PeerAddress;
    Proxy ToStore;
    pid_t Pid = -1;       // -1: not running.
    bool Ending = false;  // We have ended it, or asked it to end.
    bool Leaving = false; // No new callers.
    size_t Trouble = 0;   // Index of its open trouble plus one; 0: none.
    Timer Next;           // Restart, wake, or kill after the grace time.
};

struct SoakTarget
{
    UsersTarget Part;
    Proxy Before;
    std::string Service;
    std::string Zone;
    bool Listed = true; // Its entry is in the store.
    Timer Next;
    size_t Counted = 0; // Requests that are in the log already.
};

struct GatewaySoak
{
    EventLoop Loop;
    Random Rng;
    UsersStore Store;
    std::vector<std::unique_ptr<SoakInstance>> Instances;
    std::vector<std::unique_ptr<SoakTarget>> Targets; // Never shrinks: the audit needs what all have seen.
    Client Callers;
    SoakLog Log;
    std::string Program;
    uint64_t Version = 0;
    int LastRequest = 0;
    int LastTarget = 0;
    bool Faults = true;
    bool Calling = true;
    size_t StoreTrouble = 0;          // Index of the open trouble plus one.
    std::vector<Timer> Pauses;        // Of callers and scheduled ends of faults.
    std::map<std::string, int> Drawn; // Faults, by name.
};

static int64_t Between(GatewaySoak* soak, int64_t least, int64_t most)
{
    return std::uniform_int_distribution<int64_t>(least, most)(soak->Rng);
}

static TimeUs MsBetween(GatewaySoak* soak, int64_t least, int64_t most)
{
    return Between(soak, least, most) * UsPerMs;
}

// Each run has a loopback address of its own, so that runs side by side do not take each other's ports.
static std::string FreeLoopback()
{
    constexpr int numbers = 250;
    const int pid = getpid();
    const std::string ip = fmt::format("127.{}.{}.1", 1 + pid / numbers % numbers, 1 + pid % numbers);
    return fmt::format("{}:{}", ip, FreePort(ip));
}

static void Later(GatewaySoak* soak, TimeUs delay, std::function<void()> run)
{
    soak->Pauses.push_back(TimerStart(&soak->Loop, delay, std::move(run)));
}

// Opens a span of trouble and returns its index plus one.
static size_t OpenTrouble(GatewaySoak* soak, int instance, bool planned)
{
    constexpr TimeUs open_end = std::numeric_limits<TimeUs>::max();
    soak->Log.Troubles.push_back({instance, NowUs(), open_end, planned});
    return soak->Log.Troubles.size();
}

static void CloseTrouble(GatewaySoak* soak, size_t* index)
{
    if (*index != 0)
    {
        soak->Log.Troubles[*index - 1].UntilUs = NowUs();
        *index = 0;
    }
}

static void WriteSettings(const GatewaySoak& soak, const SoakInstance& instance, double repeat_share)
{
    std::string peers;
    for (size_t n = 0; n < soak.Instances.size() && n < ReadersMost; n++)
    {
        peers += fmt::format("{}\"{}\"", n == 0 ? "" : ",", soak.Instances[n]->PeerAddress);
    }
    std::ofstream out(instance.Folder + "/settings.json");
    out << fmt::format(R"({{"instance":"i{}","dataCentre":"dc-{}","callerAddress":"{}","readyAddress":"{}","peerAddress":"{}",)"
                       R"("storeAddress":"{}","peers":[{}],"graceS":{},"repeatShare":{},"repeatWindowS":10}})",
                       instance.Index, instance.Index % 2, instance.CallerAddress, FreeLoopback(), instance.PeerAddress,
                       instance.ToStore.Address, peers, GraceS, repeat_share);
}

static void StartInstance(GatewaySoak* soak, SoakInstance* instance)
{
    instance->Pid =
        StartProcess({soak->Program, "gateway", "--settings", instance->Folder + "/settings.json"}, instance->Folder + "/log", {});
    instance->Ending = false;
    instance->Leaving = false;
    CloseTrouble(soak, &instance->Trouble);
}

static SoakTarget* AddTarget(GatewaySoak* soak, const std::string& service)
{
    soak->Targets.push_back(std::make_unique<SoakTarget>());
    SoakTarget* target = soak->Targets.back().get();
    const std::string id = fmt::format("t{}", ++soak->LastTarget);
    target->Service = service;
    target->Zone = fmt::format("dc-{}", soak->LastTarget % 2);
    target->Part.WorkUs = 15 * UsPerMs;
    target->Part.ResetsWhenFull = soak->LastTarget % 3 == 0;
    UsersTargetStart(&target->Part, &soak->Loop, id, FreeLoopback());
    ProxyStart(&target->Before, &soak->Loop, FreeLoopback(), target->Part.Address);
    UsersStoreTarget(&soak->Store, id, service, target->Before.Address, target->Zone);
    return target;
}

static void Configure(GatewaySoak* soak)
{
    const std::string moving = soak->Version % 2 == 0 ? "svc" : "other";
    UsersRoute reads;
    UsersRoute writes;
    writes.Name = "w";
    writes.Prefix = "/w/";
    writes.Safe = false;
    UsersRoute moves;
    moves.Name = "m";
    moves.Prefix = MovingPrefix;
    moves.Parts = {{moving, 1}};
    std::vector<UsersRoute> routes = {reads, writes, moves};
    for (int64_t n = Between(soak, 0, 5) * 20; n > 0; n--)
    {
        UsersRoute idle;
        idle.Name = fmt::format("idle-{}", n);
        idle.Prefix = fmt::format("/idle-{}/", n);
        routes.push_back(idle);
    }
    UsersStoreConfigure(&soak->Store, ++soak->Version, routes);
    soak->Log.Versions.push_back({moving, NowUs()});
}

//-----------------------------------------------------------------------------
// [SECTION] Callers
//-----------------------------------------------------------------------------

static void Ask(GatewaySoak* soak);

static SoakInstance* PickInstance(GatewaySoak* soak)
{
    std::vector<SoakInstance*> open;
    for (const auto& instance : soak->Instances)
    {
        if (instance->Pid > 0 && !instance->Leaving)
        {
            open.push_back(instance.get());
        }
    }
    return open.empty() ? nullptr : open[static_cast<size_t>(Between(soak, 0, static_cast<int64_t>(open.size()) - 1))];
}

static void AskLater(GatewaySoak* soak)
{
    if (soak->Calling)
    {
        Later(soak, MsBetween(soak, 2, 60), [soak]() { Ask(soak); });
    }
}

static void OnAnswered(GatewaySoak* soak, size_t index, const std::string& method, const ClientAnswer& answer)
{
    SoakRequest& request = soak->Log.Requests[index];
    request.EndedUs = NowUs();
    request.Status = answer.End == ClientEnd_Answered ? answer.Status : 0;
    const std::string* signature = FindHeader(answer.Headers, "Winchlink-Response-Signature");
    const std::string own = fmt::format(" ran {} {} with {} bytes", method, request.Path, method == "POST" ? 4 : 0);
    request.OwnAnswer = signature != nullptr && answer.Body.find(own) != std::string::npos;
    AskLater(soak);
}

static void Ask(GatewaySoak* soak)
{
    const SoakInstance* instance = PickInstance(soak);
    if (instance == nullptr)
    {
        AskLater(soak);
        return;
    }
    const int64_t kind = Between(soak, 0, 2);
    SoakRequest request;
    request.Id = fmt::format("q{}", ++soak->LastRequest);
    request.Repeatable = kind != 1;
    request.MovingRoute = kind == 2;
    request.Instance = instance->Index;
    request.Path = fmt::format("{}{}", kind == 0 ? "/a/" : kind == 1 ? "/w/" : MovingPrefix, soak->LastRequest);
    request.SentUs = NowUs();
    const std::string method = kind == 1 ? "POST" : "GET";
    ClientRequest call;
    call.Address = instance->CallerAddress;
    call.Method = method;
    call.Target = request.Path;
    call.Headers = {{"Host", "a.example"},
                    {"Winchlink-Request-Id", request.Id},
                    {"Winchlink-Deadline-Ms", "1500"},
                    {InstanceHeader, std::to_string(instance->Index)}};
    call.Body = kind == 1 ? "once" : "";
    call.HasBody = kind == 1;
    call.TimeoutUs = 5 * UsPerSecond;
    call.ConnectUs = UsPerSecond;
    const size_t index = soak->Log.Requests.size();
    soak->Log.Requests.push_back(request);
    ClientSend(&soak->Callers, std::move(call),
               [soak, index, method](const ClientAnswer& answer) { OnAnswered(soak, index, method, answer); });
}

//-----------------------------------------------------------------------------
// [SECTION] Faults on instances
//-----------------------------------------------------------------------------

static void RestartLater(GatewaySoak* soak, SoakInstance* instance, TimeUs delay)
{
    instance->Next = TimerStart(&soak->Loop, delay, [soak, instance]() { StartInstance(soak, instance); });
}

static void KillInstance(GatewaySoak* soak, SoakInstance* instance)
{
    CloseTrouble(soak, &instance->Trouble);
    instance->Trouble = OpenTrouble(soak, instance->Index, false);
    instance->Ending = true;
    kill(instance->Pid, SIGKILL);
}

static void PauseInstance(GatewaySoak* soak, SoakInstance* instance)
{
    instance->Trouble = OpenTrouble(soak, instance->Index, false);
    kill(instance->Pid, SIGSTOP);
    const pid_t pid = instance->Pid;
    instance->Next = TimerStart(&soak->Loop, MsBetween(soak, 50, 2500),
                                [soak, instance, pid]()
                                {
                                    kill(pid, SIGCONT);
                                    CloseTrouble(soak, &instance->Trouble);
                                });
}

static void StopInstance(GatewaySoak* soak, SoakInstance* instance)
{
    instance->Trouble = OpenTrouble(soak, instance->Index, true);
    instance->Ending = true;
    kill(instance->Pid, SIGTERM);
    Later(soak, 2 * UsPerSecond, [instance]() { instance->Leaving = instance->Ending; }); // The balancer notices.
    constexpr TimeUs slack = UsPerSecond;
    const auto grace = static_cast<TimeUs>(GraceS * static_cast<double>(UsPerSecond));
    instance->Next = TimerStart(&soak->Loop, grace + slack,
                                [soak, instance]()
                                {
                                    soak->Log.LateEnds++;
                                    KillInstance(soak, instance);
                                });
}

static void ReloadInstance(GatewaySoak* soak, SoakInstance* instance)
{
    WriteSettings(*soak, *instance, Between(soak, 0, 1) == 0 ? 0.2 : 0.1);
    if (Between(soak, 0, 1) == 0)
    {
        kill(instance->Pid, SIGHUP); // Else it finds out by itself.
    }
}

static void CutFromStore(GatewaySoak* soak, SoakInstance* instance)
{
    instance->Trouble = OpenTrouble(soak, instance->Index, false);
    ProxySetMode(&instance->ToStore, static_cast<ProxyMode_>(Between(soak, ProxyMode_Delay, ProxyMode_Reset)));
    instance->Next = TimerStart(&soak->Loop, MsBetween(soak, 200, 4000),
                                [soak, instance]()
                                {
                                    ProxySetMode(&instance->ToStore, ProxyMode_Good);
                                    CloseTrouble(soak, &instance->Trouble);
                                });
}

// Takes note of processes that have ended, and starts those again that we have ended.
static void Reap(GatewaySoak* soak)
{
    for (const auto& instance : soak->Instances)
    {
        int status = 0;
        if (instance->Pid <= 0 || waitpid(instance->Pid, &status, WNOHANG) != instance->Pid)
        {
            continue;
        }
        if (!instance->Ending)
        {
            soak->Log.OwnEnds++;
            fmt::print("instance {} ended by itself, status {}\n", instance->Index, status);
        }
        instance->Pid = -1;
        ProxySetMode(&instance->ToStore, ProxyMode_Good);
        RestartLater(soak, instance.get(), MsBetween(soak, 0, 1500));
    }
    Later(soak, 20 * UsPerMs, [soak]() { Reap(soak); });
}

//-----------------------------------------------------------------------------
// [SECTION] Faults on store and targets
//-----------------------------------------------------------------------------

static void HurtStore(GatewaySoak* soak)
{
    soak->StoreTrouble = OpenTrouble(soak, -1, false);
    UsersStoreSetMode(&soak->Store, static_cast<StoreMode_>(Between(soak, StoreMode_Silent, StoreMode_Deaf)));
    Later(soak, MsBetween(soak, 200, 4000),
          [soak]()
          {
              const bool deaf = soak->Store.Mode == StoreMode_Deaf;
              UsersStoreSetMode(&soak->Store, StoreMode_Good);
              if (deaf)
              {
                  UsersStoreCompact(&soak->Store);
              }
              soak->Store.Held.clear();
              CloseTrouble(soak, &soak->StoreTrouble);
          });
}

static void HurtLink(GatewaySoak* soak, SoakTarget* target)
{
    ProxySetMode(&target->Before, static_cast<ProxyMode_>(Between(soak, ProxyMode_Delay, ProxyMode_Reset)));
    target->Next = TimerStart(&soak->Loop, MsBetween(soak, 100, 3000), [target]() { ProxySetMode(&target->Before, ProxyMode_Good); });
}

static void SpoilAnswers(GatewaySoak* soak, SoakTarget* target)
{
    for (int64_t n = Between(soak, 1, 6); n > 0; n--)
    {
        target->Part.Script.push_back(static_cast<TargetAct_>(Between(soak, TargetAct_Failed, TargetAct_Closing)));
    }
}

static void EndTarget(GatewaySoak* soak, SoakTarget* target)
{
    target->Listed = false;
    UsersStoreRemove(&soak->Store, "servers/" + target->Part.Id);
}

static void Drain(GatewaySoak* soak, SoakTarget* target)
{
    const std::string id = target->Part.Id;
    AddTarget(soak, target->Service);
    UsersStoreTarget(&soak->Store, id, target->Service, target->Before.Address, target->Zone, true);
    soak->Log.Leavings.push_back({id, NowUs()});
    target->Listed = false;
    target->Next = TimerStart(&soak->Loop, MsBetween(soak, 2500, 5000),
                              [soak, target]()
                              {
                                  EndTarget(soak, target);
                                  UsersTargetStop(&target->Part);
                              });
}

static void Lapse(GatewaySoak* soak, SoakTarget* target)
{
    UsersStoreRemove(&soak->Store, "servers/" + target->Part.Id);
    target->Next = TimerStart(&soak->Loop, MsBetween(soak, 100, 1500),
                              [soak, target]()
                              { UsersStoreTarget(&soak->Store, target->Part.Id, target->Service, target->Before.Address, target->Zone); });
}

// It crashes, and another one gets its address before anybody is told.
static void ReplaceInPlace(GatewaySoak* soak, SoakTarget* target)
{
    const std::string before = target->Before.Address;
    UsersTargetStop(&target->Part);
    EndTarget(soak, target);
    SoakTarget* next = AddTarget(soak, target->Service == "svc" ? "other" : "svc");
    AddTarget(soak, target->Service);
    target->Before.Server = next->Part.Address; // Connections to the old address reach the new target.
}

//-----------------------------------------------------------------------------
// [SECTION] The run
//-----------------------------------------------------------------------------

static SoakTarget* PickTarget(GatewaySoak* soak)
{
    std::vector<SoakTarget*> listed;
    for (const auto& target : soak->Targets)
    {
        if (target->Listed && target->Before.Mode == ProxyMode_Good)
        {
            listed.push_back(target.get());
        }
    }
    return listed.empty() ? nullptr : listed[static_cast<size_t>(Between(soak, 0, static_cast<int64_t>(listed.size()) - 1))];
}

static void StrikeInstance(GatewaySoak* soak, SoakInstance* instance)
{
    if (instance->Pid <= 0 || instance->Trouble != 0)
    {
        return;
    }
    struct Strike
    {
        const char* Name;
        void (*Run)(GatewaySoak*, SoakInstance*);
    };
    static const std::array<Strike, 5> strikes = {{{"kill", KillInstance},
                                                   {"pause", PauseInstance},
                                                   {"stop", StopInstance},
                                                   {"reload", ReloadInstance},
                                                   {"cut from store", CutFromStore}}};
    const Strike& strike = strikes[static_cast<size_t>(Between(soak, 0, strikes.size() - 1))];
    soak->Drawn[strike.Name]++;
    strike.Run(soak, instance);
}

static void StrikeTarget(GatewaySoak* soak, SoakTarget* target)
{
    struct Strike
    {
        const char* Name;
        void (*Run)(GatewaySoak*, SoakTarget*);
    };
    static const std::array<Strike, 5> strikes = {
        {{"link", HurtLink}, {"spoiled answers", SpoilAnswers}, {"drain", Drain}, {"lapse", Lapse}, {"replaced in place", ReplaceInPlace}}};
    const Strike& strike = strikes[static_cast<size_t>(Between(soak, 0, strikes.size() - 1))];
    soak->Drawn[strike.Name]++;
    strike.Run(soak, target);
}

static void StrikeStore(GatewaySoak* soak)
{
    if (soak->StoreTrouble == 0)
    {
        soak->Drawn["store"]++;
        HurtStore(soak);
    }
}

static void ChangeConfiguration(GatewaySoak* soak)
{
    soak->Drawn["configuration"]++;
    for (int64_t n = Between(soak, 0, 3) == 0 ? 6 : 1; n > 0; n--)
    {
        Later(soak, n * 150 * UsPerMs, [soak]() { Configure(soak); });
    }
}

static void Strike(GatewaySoak* soak)
{
    if (!soak->Faults)
    {
        return;
    }
    const int64_t draw = Between(soak, 0, 9);
    SoakTarget* target = PickTarget(soak);
    if (draw < 4)
    {
        StrikeInstance(soak,
                       soak->Instances[static_cast<size_t>(Between(soak, 0, static_cast<int64_t>(soak->Instances.size()) - 1))].get());
    }
    else if (draw < 7 && target != nullptr)
    {
        StrikeTarget(soak, target);
    }
    else if (draw < 8)
    {
        StrikeStore(soak);
    }
    else
    {
        ChangeConfiguration(soak);
    }
    Later(soak, MsBetween(soak, 50, 900), [soak]() { Strike(soak); });
}

// Copies what targets have seen into the log, while it is known when it came.
static void CollectArrivals(GatewaySoak* soak)
{
    for (const auto& target : soak->Targets)
    {
        std::vector<TargetSaw>& saw = target->Part.Saw;
        for (; target->Counted < saw.size(); target->Counted++)
        {
            const TargetSaw& one = saw[target->Counted];
            const std::string* from = FindHeader(one.Headers, InstanceHeader);
            const int instance = from != nullptr ? std::atoi(from->c_str()) : -1;
            soak->Log.Arrivals.push_back({one.Id, target->Part.Id, target->Service, instance, NowUs(), false});
        }
    }
    Later(soak, 10 * UsPerMs, [soak]() { CollectArrivals(soak); });
}

// Whether each request was run is known for certain only at the end.
static void MarkRuns(GatewaySoak* soak)
{
    std::map<std::pair<std::string, std::string>, int> runs; // By target and request.
    for (const auto& target : soak->Targets)
    {
        for (const TargetSaw& saw : target->Part.Saw)
        {
            runs[{target->Part.Id, saw.Id}] += saw.Run ? 1 : 0;
        }
    }
    for (SoakArrival& arrival : soak->Log.Arrivals)
    {
        int& left = runs[{arrival.Target, arrival.Id}];
        arrival.Run = left > 0;
        left -= arrival.Run ? 1 : 0;
    }
}

static bool StartAll(GatewaySoak* soak, int instances, const std::string& folder)
{
    if (!UsersStoreStart(&soak->Store, &soak->Loop, FreeLoopback()))
    {
        return false;
    }
    for (int n = 0; n < instances; n++)
    {
        soak->Instances.push_back(std::make_unique<SoakInstance>());
        SoakInstance& instance = *soak->Instances.back();
        instance.Index = n;
        instance.Folder = fmt::format("{}/i{}", folder, n);
        mkdir(instance.Folder.c_str(), 0755);
        instance.CallerAddress = FreeLoopback();
        instance.PeerAddress = FreeLoopback();
        ProxyStart(&instance.ToStore, &soak->Loop, FreeLoopback(), soak->Store.Address);
    }
    for (int n = 0; n < 8; n++)
    {
        AddTarget(soak, n % 2 == 0 ? "svc" : "other");
    }
    Configure(soak);
    for (const auto& instance : soak->Instances)
    {
        WriteSettings(*soak, *instance, 0.2);
        StartInstance(soak, instance.get());
    }
    return true;
}

static void Play(GatewaySoak* soak, TimeUs length, int callers)
{
    LoopRunUntil(&soak->Loop, UsPerSecond, []() { return false; }); // Instances start.
    for (int n = 0; n < callers; n++)
    {
        Ask(soak);
    }
    Reap(soak);
    CollectArrivals(soak);
    Strike(soak);
    LoopRunUntil(&soak->Loop, length, []() { return false; });
    soak->Faults = false;
    constexpr TimeUs calm = 12 * UsPerSecond; // Faults in progress end, instances restart.
    LoopRunUntil(&soak->Loop, calm, []() { return false; });
    const size_t first = soak->Log.Requests.size();
    constexpr TimeUs measured = 3 * UsPerSecond;
    LoopRunUntil(&soak->Loop, measured, []() { return false; });
    const size_t end = soak->Log.Requests.size();
    soak->Calling = false;
    LoopRunUntil(&soak->Loop, 2 * UsPerSecond, []() { return false; });
    for (size_t n = first; n < end; n++)
    {
        soak->Log.RecoveryAsked++;
        soak->Log.RecoveryGood += soak->Log.Requests[n].Status == 200 ? 1 : 0;
    }
}

static void EndProcesses(GatewaySoak* soak)
{
    for (const auto& instance : soak->Instances)
    {
        if (instance->Pid > 0)
        {
            kill(instance->Pid, SIGCONT);
            kill(instance->Pid, SIGKILL);
            waitpid(instance->Pid, nullptr, 0);
        }
    }
}

static void Report(const GatewaySoak& soak, int seed)
{
    std::map<int, int> statuses;
    for (const SoakRequest& request : soak.Log.Requests)
    {
        statuses[request.Status]++;
    }
    std::string text = fmt::format("seed {}: {} requests, answers", seed, soak.Log.Requests.size());
    for (const auto& entry : statuses)
    {
        text += fmt::format(" {}:{}", entry.first, entry.second);
    }
    text += "; faults";
    for (const auto& entry : soak.Drawn)
    {
        text += fmt::format(" {}:{}", entry.first, entry.second);
    }
    fmt::print("{}\n", text);
}

static int PlaySeed(const std::string& program, int seed, int seconds, int instances)
{
    std::string folder = "/tmp/winchlink-soak-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr)
    {
        fmt::print(stderr, "no folder for logs\n");
        return 1;
    }
    GatewaySoak soak;
    soak.Rng.seed(static_cast<uint64_t>(seed));
    soak.Program = program;
    soak.Log.Instances = instances;
    ClientStart(&soak.Callers, &soak.Loop);
    if (!StartAll(&soak, instances, folder))
    {
        fmt::print(stderr, "the store stand-in can't listen\n");
        return 1;
    }
    constexpr int callers_most = 24; // More than the targets of one service can serve would be refused, whatever the instances do.
    Play(&soak, seconds * UsPerSecond, std::min(instances * 6, callers_most));
    EndProcesses(&soak);
    MarkRuns(&soak);
    Report(soak, seed);
    const std::vector<std::string> broken = AuditSoak(soak.Log, SoakBounds());
    for (const std::string& line : broken)
    {
        fmt::print("BROKEN seed {}: {}; logs in {}\n", seed, line, folder);
    }
    return broken.empty() ? 0 : 1;
}

int RunGatewaySoak(int argc, const char** argv)
{
    int seed = 1;
    int seeds = 1;
    int seconds = 20;
    int instances = 4;
    const poptOption table[] = {{"seed", 0, POPT_ARG_INT, &seed, 0, "first seed", "N"},
                                {"seeds", 0, POPT_ARG_INT, &seeds, 0, "how many seeds, one after the other", "N"},
                                {"seconds", 0, POPT_ARG_INT, &seconds, 0, "length of the faults of each", "N"},
                                {"instances", 0, POPT_ARG_INT, &instances, 0, "gateway processes", "N"},
                                OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchbench gateway-soak", argc, argv, table, "");
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const std::string program = OwnFolder() + "/winchlink";
    int broken = 0;
    for (int n = 0; n < seeds; n++)
    {
        broken += PlaySeed(program, seed + n, seconds, instances);
    }
    fmt::print("gateway-soak: {} of {} seeds broke a promise\n", broken, seeds);
    return broken == 0 ? 0 : 1;
}

} // namespace Winchlink
