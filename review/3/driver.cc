// driver.cc: a service whose upstreams come back cold together, under many short requests. See claim.txt.

#include "rig.hpp"

#include <algorithm>

using namespace Review;

static constexpr int MachinesCount = 17;
static constexpr int UpstreamsCount = 3;
static constexpr double WorkS = 0.02;
static constexpr double DemandPerS = 300;
static constexpr double DownS = 4.5;
static constexpr double WarmupS = 3;      // As the stand-in of the store publishes it for its services,
static constexpr double WarmupPerS = 2.5; // and this.
static constexpr double WarmupOverage = 1.5;
static constexpr double WarmupSlack = 8;

struct Load
{
    Rig* Owner = nullptr;
    std::map<std::string, TimeUs> SentUs;
    std::map<int, int> Statuses;
    size_t Next = 0;
    Timer Tick;
    TimeUs NextUs = 0;
    bool Going = true;
};

static void SendOne(Load* load)
{
    Rig* rig = load->Owner;
    const Machine& machine = rig->Machines[load->Next++ % rig->Machines.size()];
    const std::string id = fmt::format("f{:06}", load->SentUs.size());
    load->SentUs[id] = NowUs();
    ClientRequest request;
    request.Address = machine.Front;
    request.Target = "/a/" + id;
    request.Headers = {{"Host", "a.example"}, {"Winchlink-Request-Id", id}, {"Winchlink-Deadline-Ms", "4000"}};
    request.TimeoutUs = 4 * UsPerSecond;
    ClientSend(&rig->Calls, std::move(request),
               [load, rig, id](const ClientAnswer& answer)
               {
                   const int status = answer.End == ClientEnd_Answered ? answer.Status : 0;
                   load->Statuses[status]++;
                   std::fprintf(rig->Record, "%9.3f  request %s sent %.3f: %d\n", At(*rig, NowUs()), id.c_str(), At(*rig, load->SentUs[id]),
                                status);
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
    route.TimeoutS = 4;
    route.AimS = 2;
    UsersStoreConfigure(&rig.Store, 16, {route});
    for (int n = 0; n < UpstreamsCount; n++)
    {
        if (AddUpstream(&rig, "svc", "z1", 3, WorkS) == nullptr)
        {
            return CannotRun;
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
    Run(&rig, 6);
    const bool cold = Trouble();
    const size_t first = rig.Targets.size();
    if (cold)
    {
        Note(&rig, "the upstreams of the zone are down");
        for (const auto& target : rig.Targets)
        {
            UsersTargetStop(target.get());
        }
        Run(&rig, 1);
        for (const auto& target : rig.Targets)
        {
            UsersStoreRemove(&rig.Store, "servers/" + target->Id);
        }
        Run(&rig, DownS - 1);
        Note(&rig, "the upstreams of the zone are back, cold");
    }
    const TimeUs back = NowUs();
    for (int n = 0; cold && n < UpstreamsCount; n++)
    {
        UsersTarget* target = AddUpstream(&rig, "svc", "z1", 3, WorkS, WarmupS);
        if (target == nullptr)
        {
            return CannotRun;
        }
        target->ColdMs = static_cast<int>(WarmupS * 1000);
        target->PacePercent = 200; // A cold upstream takes twice as long.
    }
    while (NowUs() < back + static_cast<TimeUs>(WarmupS * 1e6))
    {
        Run(&rig, 0.02);
        const double left = WarmupS - static_cast<double>(NowUs() - back) / 1e6;
        for (size_t n = first; n < rig.Targets.size(); n++)
        {
            rig.Targets[n]->ColdMs = std::max(0, static_cast<int>(left * 1000));
        }
    }
    const TimeUs warm = NowUs();
    for (const auto& target : rig.Targets)
    {
        target->PacePercent = 100;
    }
    Run(&rig, 3);
    load.Going = false;
    Run(&rig, 1);

    const double most = WarmupPerS * WarmupOverage + WarmupSlack;
    size_t worst = 0;
    for (size_t t = cold ? first : 0; t < rig.Targets.size(); t++)
    {
        const UsersTarget& target = *rig.Targets[t];
        size_t worst_here = 0;
        for (size_t n = 0; n < target.Arrivals.size(); n++)
        {
            Note(&rig, "upstream {}: {} arrived {:.3f}, sent {:.3f}", target.Id, target.Saw[n].Id, At(rig, target.Arrivals[n]),
                 At(rig, load.SentUs[target.Saw[n].Id]));
        }
        // Windows of one second within the cold time (without the disruption: of as long a time); a request counts if its client sent it
        // and it arrived within the window.
        for (TimeUs from = back; from + UsPerSecond <= warm; from += 5 * UsPerMs)
        {
            size_t count = 0;
            for (size_t n = 0; n < target.Arrivals.size(); n++)
            {
                const bool sent_within = load.SentUs[target.Saw[n].Id] >= from;
                count += sent_within && target.Arrivals[n] < from + UsPerSecond ? 1 : 0;
            }
            worst_here = std::max(worst_here, count);
        }
        Note(&rig, "upstream {}: at most {} requests in one second{}", target.Id, worst_here,
             cold ? " while it was cold" : "; it was never cold");
        worst = std::max(worst, cold ? worst_here : 0);
    }
    for (const auto& [status, count] : load.Statuses)
    {
        Note(&rig, "answers with status {}: {}", status, count);
    }
    const bool broken = static_cast<double>(worst) > most;
    const std::string result = fmt::format("FAILBACK {}: a cold upstream received {} requests in one second; the rule allows {}",
                                           broken ? "broken" : "held", worst, most);
    Note(&rig, "{}", result);
    std::puts(result.c_str());
    return broken ? Broken : Held;
}
