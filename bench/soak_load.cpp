// soak_load.cpp: faults of a soak that concern shared load and division, and what instances count of them.
//
// Index of this file:
// [SECTION] Counters
// [SECTION] Lying neighbour
// [SECTION] Faults on instances
// [SECTION] Demand
// [SECTION] Random choice

#include "soak.h"

#include "clock.h"
#include "load_link.h"

#include <algorithm>
#include <csignal>

namespace Winchlink
{

static int64_t DrawWithLoadRng(Soak* soak, int64_t min, int64_t max)
{
    return std::uniform_int_distribution<int64_t>(min, max)(soak->LoadRng);
}

static TimeUs DrawTimeWithLoadRng(Soak* soak, int64_t min_ms, int64_t max_ms)
{
    return DrawWithLoadRng(soak, min_ms, max_ms) * UsPerMs;
}

//-----------------------------------------------------------------------------
// [SECTION] Counters
//-----------------------------------------------------------------------------

// The sum of the metrics' values whose name starts and ends like this; labels between.
static uint64_t SumOf(const std::string& text, const std::string& start, const std::string& end)
{
    uint64_t sum = 0;
    for (size_t at = text.find(start); at != std::string::npos; at = text.find(start, at + 1))
    {
        const size_t line_end = text.find('\n', at);
        const std::string line = text.substr(at, line_end - at);
        const size_t labels_end = line.find(end);
        sum += labels_end != std::string::npos ? std::strtoull(line.c_str() + labels_end + end.size(), nullptr, 10) : 0;
    }
    return sum;
}

// Adds what a counter has grown by; it starts again with the process.
static void AddGrowth(SoakInstance* instance, const std::string& name, uint64_t value, uint64_t* sum)
{
    uint64_t& last = instance->Counts[name];
    *sum += value >= last ? value - last : value;
    last = value;
}

static void TakeCounters(Soak* soak, SoakInstance* instance, const std::string& text)
{
    const std::string messages = "winchlink_load_messages{";
    SoakLoadCounts& load = soak->Load;
    AddGrowth(instance, "ask", SumOf(text, messages, "kind=\"ask\"} "), &load.Asks);
    AddGrowth(instance, "answer", SumOf(text, messages, "kind=\"answer\"} "), &load.Told);
    AddGrowth(instance, "offer", SumOf(text, messages, "kind=\"offer\"} "), &load.Told);
    AddGrowth(instance, "taken", SumOf(text, "winchlink_load_reports{", "end=\"taken\"} "), &load.Taken);
    AddGrowth(instance, "crossed", SumOf(text, "winchlink_division_requests{", "end=\"crossed\"} "), &load.Crossed);
}

static void CountLoad(Soak* soak)
{
    for (const auto& instance : soak->Instances)
    {
        if (instance->Pid <= 0)
        {
            continue;
        }
        ClientRequest call;
        call.Address = instance->MetricsAddress;
        call.Target = "/metrics";
        call.TimeoutUs = UsPerSecond;
        ClientSend(&soak->Counters, std::move(call),
                   [soak, counted = instance.get(), pid = instance->Pid](const ClientAnswer& answer)
                   {
                       if (answer.End == ClientEnd_Answered && answer.Status == 200 && counted->Pid == pid)
                       {
                           TakeCounters(soak, counted, answer.Body);
                       }
                   });
    }
    Later(soak, CountLoadUs, [soak]() { CountLoad(soak); });
}

//-----------------------------------------------------------------------------
// [SECTION] Lying neighbour
//-----------------------------------------------------------------------------

// Targets that should get no request now, or fewer: stopped, leaving, limited, refusing, cold, or in an evacuated data centre.
static bool IsUnwilling(const Soak& soak, const SoakTarget& target)
{
    const auto evacuated = [&](const SoakEvacuation& evacuation)
    {
        return evacuation.DataCentre == target.Zone && evacuation.UntilUs > NowUs();
    };
    const UsersTarget& part = target.Part;
    const std::vector<SoakEvacuation>& all = soak.Log.Evacuations;
    return !target.Listed || target.Down || part.Refuses || part.ColdMs > 0 || !part.Says.empty() ||
           std::any_of(all.begin(), all.end(), evacuated);
}

// Targets of the service, the unwilling ones alone if there are any and they are drawn.
static std::vector<const SoakTarget*> TargetsToTell(Soak* soak, const std::string& service)
{
    std::vector<const SoakTarget*> all;
    std::vector<const SoakTarget*> unwilling;
    for (const auto& target : soak->Targets)
    {
        if (target->Service == service)
        {
            all.push_back(target.get());
            if (IsUnwilling(*soak, *target))
            {
                unwilling.push_back(target.get());
            }
        }
    }
    return !unwilling.empty() && DrawWithLoadRng(soak, 0, 2) > 0 ? unwilling : all;
}

// Tells free slots that don't exist; entries that a fault has rewritten name no incarnation, so both are told.
static std::vector<SharedReport> DrawReports(Soak* soak, const std::string& service)
{
    const std::vector<const SoakTarget*> targets = TargetsToTell(soak, service);
    std::vector<SharedReport> reports;
    for (int64_t n = DrawWithLoadRng(soak, 1, 4); n > 0 && !targets.empty(); n--)
    {
        const SoakTarget& target = *targets[static_cast<size_t>(DrawWithLoadRng(soak, 0, static_cast<int64_t>(targets.size()) - 1))];
        for (const uint64_t incarnation : std::set<uint64_t>{0, target.Born})
        {
            SharedReport report;
            report.Target = SharedTargetId(TargetIncarnationId(target.Part.Id, incarnation));
            const int64_t slots_max = DrawWithLoadRng(soak, 0, 9) == 0 ? 200 : 2 * target.Part.Slots; // More are not believed.
            report.Load.Slots = static_cast<int>(DrawWithLoadRng(soak, 1, slots_max));
            report.Load.PacePercent = static_cast<int>(DrawWithLoadRng(soak, 1, 120));
            reports.push_back(report);
        }
    }
    return reports;
}

static LoadMessage DrawLie(Soak* soak, const SoakInstance& instance)
{
    constexpr int many = 200;
    const std::string own = DataCentreOf(instance);
    const std::string other = own == "dc-0" ? "dc-1" : "dc-0";
    const std::string service = DrawWithLoadRng(soak, 0, 1) == 0 ? "svc" : "other";
    const int64_t draw = DrawWithLoadRng(soak, 0, 4);
    const bool full = DrawWithLoadRng(soak, 0, 1) == 0; // Else much room.
    LoadMessage lie;
    lie.Kind = draw < 2 ? LoadMessage_Ask : draw == 2 ? LoadMessage_Offer : LoadMessage_Answer;
    lie.Service = SharedServiceId(service);
    lie.DataCentre = PeerDataCentre(draw == 3 ? other : own);
    lie.Room = {many, many, full ? 0 : many};
    if (lie.Kind != LoadMessage_Ask)
    {
        lie.Reports = DrawReports(soak, service);
    }
    return lie;
}

static void Lie(Soak* soak)
{
    if (soak->Lying)
    {
        const auto last = static_cast<int64_t>(soak->Instances.size()) - 1;
        const SoakInstance& instance = *soak->Instances[static_cast<size_t>(DrawWithLoadRng(soak, 0, last))];
        const LoadMessage lie = DrawLie(soak, instance);
        soak->Load.Lies +=
            DatagramSend(&soak->Liar, DatagramChannel_Load, DatagramKind_Load, instance.PeerAddress, EncodeLoad(lie)) ? 1 : 0;
        Later(soak, DrawTimeWithLoadRng(soak, 1, 5), [soak]() { Lie(soak); }); // An instance reads 16 KiB a second.
    }
}

static void LieForAWhile(Soak* soak)
{
    if (soak->Lying)
    {
        return;
    }
    soak->Drawn["lies"]++;
    soak->Lying = true;
    Lie(soak);
    Later(soak, DrawTimeWithLoadRng(soak, 1000, 5000), [soak]() { soak->Lying = false; });
}

bool StartLoadParts(Soak* soak)
{
    DatagramLink& liar = soak->Liar;
    liar.Loop = &soak->Loop;
    liar.Port = soak->DatagramPort;
    liar.Channels[DatagramChannel_Load].SendRate = {}; // Unbounded.
    liar.Channels[DatagramChannel_Load].OnReceived = [soak](const Datagram&)
    {
        soak->Load.Stolen++;
        return true;
    };
    CountLoad(soak);
    return DatagramLinkStart(&liar).has_value();
}

//-----------------------------------------------------------------------------
// [SECTION] Faults on instances
//-----------------------------------------------------------------------------

// An instance that runs and has no other fault; null if there is none.
static SoakInstance* PickUntroubled(Soak* soak, const std::string& data_centre)
{
    std::vector<SoakInstance*> free;
    for (const auto& instance : soak->Instances)
    {
        const bool there = data_centre.empty() || DataCentreOf(*instance) == data_centre;
        if (instance->Pid > 0 && instance->Trouble == 0 && there)
        {
            free.push_back(instance.get());
        }
    }
    return free.empty() ? nullptr : free[static_cast<size_t>(DrawWithLoadRng(soak, 0, static_cast<int64_t>(free.size()) - 1))];
}

static void PauseBriefly(Soak* soak, SoakInstance* instance, TimeUs until);

static void Resume(Soak* soak, SoakInstance* instance, TimeUs until)
{
    kill(instance->Pid, SIGCONT); // Reap() takes the timer of an instance that has exited.
    if (NowUs() >= until)
    {
        EndDisruption(soak, &instance->Trouble);
        return;
    }
    instance->Next =
        TimerStart(&soak->Loop, DrawTimeWithLoadRng(soak, 5, 150), [soak, instance, until]() { PauseBriefly(soak, instance, until); });
}

// Pauses shorter and somewhat longer than the time after which datagrams are late: it tells and takes old reports.
static void PauseBriefly(Soak* soak, SoakInstance* instance, TimeUs until)
{
    kill(instance->Pid, SIGSTOP);
    instance->Next =
        TimerStart(&soak->Loop, DrawTimeWithLoadRng(soak, 10, 140), [soak, instance, until]() { Resume(soak, instance, until); });
}

static void PauseAgainAndAgain(Soak* soak)
{
    SoakInstance* instance = PickUntroubled(soak, "");
    if (instance != nullptr)
    {
        soak->Drawn["brief pauses"]++;
        instance->Trouble = BeginDisruption(soak, instance->Index, false);
        PauseBriefly(soak, instance, NowUs() + DrawTimeWithLoadRng(soak, 300, 3000));
    }
}

// The instance starts again with another port for datagrams, for some seconds: it neither hears the others nor is heard.
static void CutFromDatagrams(Soak* soak)
{
    SoakInstance* instance = PickUntroubled(soak, "");
    if (instance == nullptr)
    {
        return;
    }
    soak->Drawn["cut from datagrams"]++;
    instance->Deaf = true;
    KillInstance(soak, instance);
    Later(soak, DrawTimeWithLoadRng(soak, 5000, 9000),
          [soak, instance]()
          {
              instance->Deaf = false;
              if (instance->Pid > 0 && instance->Trouble == 0 && instance->DatagramPort != soak->DatagramPort)
              {
                  StopInstance(soak, instance);
              }
          });
}

//-----------------------------------------------------------------------------
// [SECTION] Demand
//-----------------------------------------------------------------------------

// Most of the callers move to one data centre for a time; half of the times an instance is killed there.
static void MoveDemand(Soak* soak)
{
    static const std::array<int64_t, 4> shares = {0, 15, 90, 100};
    soak->Drawn["demand moves"]++;
    soak->DemandPercent = shares[static_cast<size_t>(DrawWithLoadRng(soak, 0, shares.size() - 1))];
    Later(soak, DrawTimeWithLoadRng(soak, 500, 4000), [soak]() { soak->DemandPercent = SoakDemandPercent; });
    SoakInstance* instance = PickUntroubled(soak, soak->DemandPercent > SoakDemandPercent ? "dc-0" : "dc-1");
    if (DrawWithLoadRng(soak, 0, 1) == 0 && instance != nullptr)
    {
        soak->Drawn["kill"]++;
        KillInstance(soak, instance);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Random choice
//-----------------------------------------------------------------------------

static void InjectRandomLoadFault(Soak* soak)
{
    static const std::array<void (*)(Soak*), 7> faults = {LieForAWhile, LieForAWhile,       LieForAWhile,    MoveDemand,
                                                          MoveDemand,   PauseAgainAndAgain, CutFromDatagrams};
    if (soak->Striking)
    {
        faults[static_cast<size_t>(DrawWithLoadRng(soak, 0, faults.size() - 1))](soak);
        Later(soak, DrawTimeWithLoadRng(soak, 300, 2000), [soak]() { InjectRandomLoadFault(soak); });
    }
}

void InjectLoadFaults(Soak* soak)
{
    if (soak->Plan.Faults == SoakFaults_All)
    {
        InjectRandomLoadFault(soak);
    }
}

} // namespace Winchlink
