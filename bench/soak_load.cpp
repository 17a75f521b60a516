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
#include <iterator>

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

static int64_t DrawWithDemandRng(Soak* soak, int64_t min, int64_t max)
{
    return std::uniform_int_distribution<int64_t>(min, max)(soak->DemandRng);
}

static int64_t DrawWithLiesRng(Soak* soak, int64_t min, int64_t max)
{
    return std::uniform_int_distribution<int64_t>(min, max)(soak->LiesRng);
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

// What a counter has grown by since the last reading.
static uint64_t GrowthOf(SoakInstance* instance, const std::string& name, uint64_t value)
{
    uint64_t& last = instance->Counts[name];
    const uint64_t growth = std::max(value, last) - last;
    last = std::max(value, last);
    return growth;
}

// `asked`: when the counters were asked for.
static void TakeCounters(Soak* soak, SoakInstance* instance, const std::string& text, TimeUs asked)
{
    const std::string messages = "winchlink_load_messages{";
    SoakReading reading;
    reading.Instance = instance->Index;
    reading.FromUs = instance->CountedUs;
    reading.UntilUs = NowUs();
    reading.Counts.Asks = GrowthOf(instance, "ask", SumOf(text, messages, "kind=\"ask\"} "));
    reading.Counts.Told = GrowthOf(instance, "answer", SumOf(text, messages, "kind=\"answer\"} ")) +
                          GrowthOf(instance, "offer", SumOf(text, messages, "kind=\"offer\"} "));
    reading.Counts.Taken = GrowthOf(instance, "taken", SumOf(text, "winchlink_load_reports{", "end=\"taken\"} "));
    reading.Counts.Crossed = GrowthOf(instance, "crossed", SumOf(text, "winchlink_division_requests{", "end=\"crossed\"} "));
    instance->DivisionActive = SumOf(text, "winchlink_division_active{service=\"svc\"", "} ") > 0;
    instance->CountedUs = asked;
    soak->Log.Readings.push_back(reading);
}

static void ReadCounters(Soak* soak, SoakInstance* instance)
{
    ClientRequest call;
    call.Address = instance->MetricsAddress;
    call.Target = "/metrics";
    call.TimeoutUs = UsPerSecond;
    instance->Counting = true;
    ClientSend(&soak->Counters, std::move(call),
               [soak, instance, pid = instance->Pid, asked = NowUs()](const ClientAnswer& answer)
               {
                   instance->Counting = false;
                   if (answer.End == ClientEnd_Answered && answer.Status == 200 && instance->Pid == pid)
                   {
                       TakeCounters(soak, instance, answer.Body, asked);
                   }
               });
}

static void CountLoad(Soak* soak)
{
    for (const auto& instance : soak->Instances)
    {
        if (instance->Pid > 0 && !instance->Counting)
        {
            ReadCounters(soak, instance.get());
        }
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
    return !unwilling.empty() && DrawWithLiesRng(soak, 0, 2) > 0 ? unwilling : all;
}

// Tells free slots that don't exist; entries that a fault has rewritten name no incarnation, so both are told.
static std::vector<SharedReport> DrawReports(Soak* soak, const std::string& service)
{
    const std::vector<const SoakTarget*> targets = TargetsToTell(soak, service);
    std::vector<SharedReport> reports;
    for (int64_t n = DrawWithLiesRng(soak, 1, 4); n > 0 && !targets.empty(); n--)
    {
        const SoakTarget& target = *targets[static_cast<size_t>(DrawWithLiesRng(soak, 0, static_cast<int64_t>(targets.size()) - 1))];
        for (const uint64_t incarnation : std::set<uint64_t>{0, target.Born})
        {
            SharedReport report;
            report.Target = SharedTargetId(TargetIncarnationId(target.Part.Id, incarnation));
            const int64_t slots_max = DrawWithLiesRng(soak, 0, 9) == 0 ? 200 : int64_t{2} * target.Part.Slots; // More are not believed.
            report.Load.Slots = static_cast<int>(DrawWithLiesRng(soak, 1, slots_max));
            report.Load.PacePercent = static_cast<int>(DrawWithLiesRng(soak, 1, 120));
            reports.push_back(report);
        }
    }
    return reports;
}

// A room that instances believe; one of ten exceeds what they do. Not full: all known targets are free.
static SharedRoom DrawRoom(Soak* soak, bool full)
{
    const int most = static_cast<int>(DivisionConfig().ToldMax);
    const bool too_much = DrawWithLiesRng(soak, 0, 9) == 0;
    SharedRoom room;
    room.Known = static_cast<int>(too_much ? DrawWithLiesRng(soak, most + 1, int64_t{2} * most) : DrawWithLiesRng(soak, 1, most));
    room.Targets = room.Known;
    room.Free = full ? 0 : room.Known;
    return room;
}

static LoadMessage DrawLie(Soak* soak, const SoakInstance& instance)
{
    const std::string own = DataCentreOf(instance);
    const std::string other = own == "dc-0" ? "dc-1" : "dc-0";
    const std::string service = DrawWithLiesRng(soak, 0, 1) == 0 ? "svc" : "other";
    const int64_t draw = DrawWithLiesRng(soak, 0, 4);
    LoadMessage lie;
    lie.Kind = draw < 2 ? LoadMessage_Ask : draw == 2 ? LoadMessage_Offer : LoadMessage_Answer;
    lie.Service = SharedServiceId(service);
    lie.DataCentre = PeerDataCentre(draw == 3 ? other : own);
    lie.Room = DrawRoom(soak, DrawWithLiesRng(soak, 0, 1) == 0);
    if (lie.Kind != LoadMessage_Ask)
    {
        lie.Reports = DrawReports(soak, service);
    }
    return lie;
}

static void SendLie(Soak* soak, const SoakInstance& instance, const LoadMessage& lie)
{
    const bool sent = DatagramSend(&soak->Liar, DatagramChannel_Load, DatagramKind_Load, instance.PeerAddress, EncodeLoad(lie));
    soak->Lies += sent ? 1 : 0;
}

static bool IsLying(const Soak& soak)
{
    return !soak.Log.Lies.empty() && NowUs() < soak.Log.Lies.back().UntilUs;
}

static void Lie(Soak* soak)
{
    if (!IsLying(*soak))
    {
        return;
    }
    const std::set<int>& told = soak->Log.Lies.back().Instances;
    const int64_t draw = DrawWithLiesRng(soak, 0, static_cast<int64_t>(told.size()) - 1);
    const SoakInstance& instance = *soak->Instances[static_cast<size_t>(*std::next(told.begin(), draw))];
    SendLie(soak, instance, DrawLie(soak, instance));
    // An instance reads 16 KiB a second: as much for each, whether all are lied to or some.
    const TimeUs pause = DrawWithLiesRng(soak, 1, 5) * UsPerMs * soak->Log.Instances / static_cast<TimeUs>(told.size());
    Later(soak, pause, [soak]() { Lie(soak); });
}

// Tells lies to all instances, or to one half of those in each data centre, so that the others show how they would be served. `half`: 0 or
// 1; others: all.
static void LieTo(Soak* soak, int64_t half, TimeUs time)
{
    std::set<int> told;
    for (const auto& instance : soak->Instances)
    {
        if (half < 0 || half > 1 || instance->Index / 2 % 2 == half)
        {
            told.insert(instance->Index);
        }
    }
    if (!told.empty()) // Two instances have no second half.
    {
        soak->Drawn["lies"]++;
        soak->Log.Lies.push_back({told, NowUs(), NowUs() + time});
        Lie(soak);
    }
}

static void LieForAWhile(Soak* soak)
{
    if (!IsLying(*soak))
    {
        const int64_t half = DrawWithLiesRng(soak, 0, 2);
        LieTo(soak, half, DrawWithLiesRng(soak, 1000, 5000) * UsPerMs);
    }
}

void LieWithoutOtherFaults(Soak* soak)
{
    constexpr TimeUs time = 3 * UsPerSecond;
    if (soak->Log.SharesLoad)
    {
        LieTo(soak, DrawWithLiesRng(soak, 0, 1), time);
        RunFor(soak, time);
    }
}

bool StartLoadParts(Soak* soak)
{
    DatagramLink& liar = soak->Liar;
    liar.Loop = &soak->Loop;
    liar.Port = soak->DatagramPort;
    liar.Channels[DatagramChannel_Load].SendRate = {}; // Unbounded.
    liar.Channels[DatagramChannel_Load].OnReceived = [soak](const Datagram&)
    {
        soak->Stolen++;
        return true;
    };
    CountLoad(soak);
    return DatagramLinkStart(&liar).has_value();
}

// Several lies, so that the few that no instance believes don't matter, and time for the averages to follow. `full`: their data centre has
// no room.
static void LieToAll(Soak* soak, const std::vector<SoakInstance*>& told, bool full)
{
    constexpr size_t lies = 20;
    std::vector<SharedRoom> rooms;
    std::generate_n(std::back_inserter(rooms), lies, [&]() { return DrawRoom(soak, full); });
    // The last one counts: that of the most probes that is believed, so that what instances have found themselves doesn't outweigh it.
    std::sort(rooms.begin(), rooms.end(), [](const SharedRoom& a, const SharedRoom& b) { return a.Known < b.Known; });
    for (const SharedRoom& room : rooms)
    {
        for (const SoakInstance* instance : told)
        {
            LoadMessage lie;
            lie.Kind = LoadMessage_Offer;
            lie.Service = SharedServiceId("svc");
            lie.DataCentre = PeerDataCentre(DataCentreOf(*instance));
            lie.Room = room;
            lie.Reports = DrawReports(soak, "svc");
            SendLie(soak, *instance, lie);
        }
    }
    RunFor(soak, 4 * DivisionConfig().AverageUs);
}

void LogBeliefs(Soak* soak)
{
    if (!soak->Log.SharesLoad)
    {
        return;
    }
    RunFor(soak, 2 * CountLoadUs);
    std::vector<SoakInstance*> told;
    std::vector<uint64_t> taken;
    for (const auto& instance : soak->Instances)
    {
        const bool deaf = instance->DatagramPort != soak->DatagramPort;
        if (instance->Pid > 0 && instance->Trouble == 0 && !deaf)
        {
            told.push_back(instance.get());
            taken.push_back(instance->Counts["taken"]);
        }
    }
    SoakBeliefs& beliefs = soak->Log.Beliefs;
    beliefs.Instances = static_cast<int>(told.size());
    LieToAll(soak, told, true);
    for (const SoakInstance* instance : told)
    {
        beliefs.NoRoom += instance->DivisionActive ? 1 : 0;
    }
    LieToAll(soak, told, false);
    for (size_t n = 0; n < told.size(); n++)
    {
        beliefs.Room += told[n]->DivisionActive ? 0 : 1;
        beliefs.Reports += told[n]->Counts["taken"] > taken[n] ? 1 : 0;
    }
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

// Its restart is drawn here, so that it doesn't shift the draws of Rng.
static void KillForLoad(Soak* soak, SoakInstance* instance)
{
    instance->RestartUs = DrawTimeWithLoadRng(soak, 0, 1500);
    KillInstance(soak, instance);
}

// The instance takes part again, as soon as no other fault holds it.
static void Rejoin(Soak* soak, SoakInstance* instance)
{
    constexpr TimeUs look_again = 100 * UsPerMs;
    instance->Deaf = false;
    if (instance->DatagramPort == soak->DatagramPort)
    {
        return;
    }
    if (instance->Pid > 0 && instance->Trouble == 0)
    {
        instance->RestartUs = DrawTimeWithLoadRng(soak, 0, 1500);
        StopInstance(soak, instance);
        return;
    }
    Later(soak, look_again, [soak, instance]() { Rejoin(soak, instance); });
}

// The instance starts again with another port for datagrams, for some seconds: it neither hears the others nor is heard.
static void CutFromDatagrams(Soak* soak)
{
    SoakInstance* instance = PickUntroubled(soak, "");
    if (instance == nullptr || instance->DatagramPort != soak->DatagramPort)
    {
        return;
    }
    soak->Drawn["cut from datagrams"]++;
    instance->Deaf = true;
    KillForLoad(soak, instance);
    Later(soak, DrawTimeWithLoadRng(soak, 3000, 6000), [soak, instance]() { Rejoin(soak, instance); });
}

//-----------------------------------------------------------------------------
// [SECTION] Demand
//-----------------------------------------------------------------------------

// Most of the callers move to one data centre for a time; half of the times an instance is killed there.
static void MoveDemand(Soak* soak)
{
    static const std::array<int64_t, 4> shares = {0, 15, 90, 100};
    soak->Drawn["demand moves"]++;
    soak->DemandPercent = shares[static_cast<size_t>(DrawWithDemandRng(soak, 0, shares.size() - 1))];
    Later(soak, DrawWithDemandRng(soak, 500, 4000) * UsPerMs, [soak]() { soak->DemandPercent = SoakDemandPercent; });
    SoakInstance* instance = PickUntroubled(soak, soak->DemandPercent > SoakDemandPercent ? "dc-0" : "dc-1");
    if (DrawWithDemandRng(soak, 0, 1) == 0 && instance != nullptr)
    {
        soak->Drawn["kill"]++;
        KillForLoad(soak, instance);
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
