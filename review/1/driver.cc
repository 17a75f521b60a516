// driver.cc: upstreams that leave without saying `draining` while the machine that reads the store stands still. See claim.txt.

#include "rig.hpp"

#include <algorithm>

using namespace Review;

static constexpr int MachinesCount = 13;
static constexpr int Cycles = 8;
static constexpr double DrainS = 2;            // Bound of the site.
static constexpr double FreezeS = 3.5;         // One machine of 13 stands still for this long.
static constexpr double LeaveDelayS = 0.02;    // From the freeze to the leaving.
static constexpr double ServesOnShortS = 2.12; // A leaver serves on for drainS and a little longer,
static constexpr double ServesOnLongS = 8;     // or for some seconds longer.
static constexpr double CycleS = 11;
static constexpr double DemandPerS = 110;
static constexpr int Stayers = 3;

struct Sent
{
    std::string Id;
    size_t Machine = 0;
};

struct Load
{
    Rig* Owner = nullptr;
    std::vector<std::unique_ptr<Sent>> Requests;
    std::map<std::string, size_t> MachineOf;
    std::map<int, int> Statuses;
    std::map<std::string, int> StatusOf;
    size_t Next = 0;
    size_t Frozen = MachinesCount; // Gets no requests.
    Timer Tick;
    TimeUs NextUs = 0;
    bool Going = true;
};

static void SendOne(Load* load)
{
    Rig* rig = load->Owner;
    size_t index = load->Next++ % rig->Machines.size();
    if (index == load->Frozen)
    {
        index = load->Next++ % rig->Machines.size();
    }
    const std::string id = fmt::format("d{:06}", load->MachineOf.size());
    load->MachineOf[id] = index;
    ClientRequest request;
    request.Address = rig->Machines[index].Front;
    request.Method = "POST";
    request.Target = "/a/" + id;
    request.HasBody = true;
    request.Body = "authorisation " + id;
    request.Headers = {{"Host", "a.example"}, {"Winchlink-Request-Id", id}, {"Winchlink-Deadline-Ms", "2000"}};
    request.TimeoutUs = 2 * UsPerSecond;
    const TimeUs sent = NowUs();
    ClientSend(&rig->Calls, std::move(request),
               [load, rig, id, index, sent](const ClientAnswer& answer)
               {
                   const int status = answer.End == ClientEnd_Answered ? answer.Status : 0;
                   load->Statuses[status]++;
                   load->StatusOf[id] = status;
                   std::fprintf(rig->Record, "%9.3f  request %s sent %.3f to edge-%zu: %d\n", At(*rig, NowUs()), id.c_str(), At(*rig, sent),
                                index, status);
               });
}

static void Tick(Load* load)
{
    while (load->Going && NowUs() >= load->NextUs)
    {
        SendOne(load);
        load->NextUs += static_cast<TimeUs>(1e6 / DemandPerS);
    }
    load->Tick = TimerStart(&load->Owner->Loop, 2 * UsPerMs, [load]() { Tick(load); });
}

// The machine that reads the store, by its metrics page.
static size_t FindReader(Rig* rig)
{
    for (size_t n = 0; n < rig->Machines.size(); n++)
    {
        ClientRequest request;
        request.Address = rig->Machines[n].Metrics;
        request.Target = "/metrics";
        if (ClientSendAndWait(&rig->Calls, std::move(request)).Body.find("winchlink_reads_store 1") != std::string::npos)
        {
            return n;
        }
    }
    return 0;
}

struct Leave
{
    UsersTarget* Target = nullptr;
    TimeUs AckedUs = 0;
    size_t Frozen = MachinesCount;
};

int main(int argc, char** argv)
{
    if (argc != 3)
    {
        return CannotRun;
    }
    Rig rig;
    if (!Prepare(&rig, {argv[1], argv[2]}, MachinesCount, 1))
    {
        return CannotRun;
    }
    UsersRoute route;
    route.Safe = false;
    route.TimeoutS = 2;
    route.AimS = 1;
    UsersStoreConfigure(&rig.Store, 16, {route});
    std::vector<Leave> leaves(Cycles);
    for (int n = 0; n < Stayers + Cycles; n++)
    {
        UsersTarget* target = AddUpstream(&rig, n < Stayers ? "svc" : "later", "z1", 3, 0.1);
        if (target == nullptr)
        {
            return CannotRun;
        }
        if (n >= Stayers)
        {
            leaves[static_cast<size_t>(n - Stayers)].Target = target;
            UsersStoreRemove(&rig.Store, "servers/" + target->Id);
        }
    }
    for (Machine& machine : rig.Machines)
    {
        StartMachine(&rig, &machine);
    }
    if (!AwaitReady(&rig, 15))
    {
        Note(&rig, "the fleet did not become ready");
        return CannotRun;
    }
    Run(&rig, 3);
    Load load;
    load.Owner = &rig;
    load.NextUs = NowUs();
    Tick(&load);
    std::vector<Timer> ends;
    for (size_t n = 0; n < leaves.size(); n++)
    {
        Leave& leave = leaves[n];
        const double serves_on = n % 2 == 0 ? ServesOnShortS : ServesOnLongS;
        const TimeUs begun = NowUs();
        UsersTarget* target = leave.Target;
        UsersStoreTarget(&rig.Store, target->Id, "svc", target->Address, "z1");
        Note(&rig, "upstream {} joins", target->Id);
        Run(&rig, 3);
        const size_t reader = FindReader(&rig);
        if (Trouble())
        {
            leave.Frozen = reader;
            load.Frozen = reader;
            kill(rig.Machines[reader].Pid, SIGSTOP);
            Note(&rig, "SIGSTOP {}, which reads the store", rig.Machines[reader].Name);
        }
        Run(&rig, LeaveDelayS);
        UsersStoreRemove(&rig.Store, "servers/" + target->Id);
        leave.AckedUs = NowUs();
        Note(&rig, "the entry of {} goes; the store has acknowledged it", target->Id);
        const auto end = [&rig, target]()
        {
            UsersTargetStop(target);
            Note(&rig, "upstream {} ends", target->Id);
        };
        ends.push_back(TimerStart(&rig.Loop, static_cast<TimeUs>(serves_on * 1e6), end));
        Run(&rig, FreezeS - LeaveDelayS);
        if (Trouble())
        {
            kill(rig.Machines[reader].Pid, SIGCONT);
            Note(&rig, "SIGCONT {}", rig.Machines[reader].Name);
        }
        Run(&rig, 1);
        load.Frozen = MachinesCount;
        Run(&rig, CycleS - static_cast<double>(NowUs() - begun) / 1e6);
    }
    load.Going = false;
    Run(&rig, 2.5);

    size_t late = 0;
    size_t lost = 0;
    for (const Leave& leave : leaves)
    {
        size_t late_here = 0;
        double latest = 0;
        for (size_t n = 0; n < leave.Target->Saw.size(); n++)
        {
            const ReceivedRequest& request = leave.Target->Saw[n];
            const double after = static_cast<double>(leave.Target->Arrivals[n] - leave.AckedUs) / 1e6;
            const auto machine = load.MachineOf.find(request.Id);
            const bool in_touch = machine != load.MachineOf.end() && machine->second != leave.Frozen;
            if (!in_touch || !request.Run)
            {
                continue;
            }
            // Later ones may have come over the machine that stood still, which is out of touch for some seconds more.
            const bool sent_in_touch = leave.Frozen == MachinesCount || after < FreezeS - LeaveDelayS;
            latest = sent_in_touch ? std::max(latest, after) : latest;
            if (after > DrainS && sent_in_touch)
            {
                const int status = load.StatusOf[request.Id];
                late_here++;
                lost += status == 502 || status == 504 || status == 0 ? 1 : 0;
                Note(&rig, "upstream {} ran {} of edge-{}, arrived {:.3f} s after its entry had gone; the client got {}", leave.Target->Id,
                     request.Id, machine->second, after, status);
            }
        }
        Note(&rig, "upstream {}: {} requests arrived later than {} s after its entry had gone; the last one after {:.3f} s",
             leave.Target->Id, late_here, DrainS, latest);
        late += late_here;
    }
    for (const auto& [status, count] : load.Statuses)
    {
        Note(&rig, "answers with status {}: {}", status, count);
    }
    const std::string result = fmt::format(
        "DRAIN {}: {} requests of machines in touch reached upstreams later than drainS after these had gone; {} of them were lost",
        late > 0 ? "broken" : "held", late, lost);
    Note(&rig, "{}", result);
    std::puts(result.c_str());
    return late > 0 ? Broken : Held;
}
