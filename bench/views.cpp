// views.cpp: coordinators of many instances in one process.

#include "views.h"

#include "bench.h"

#include <algorithm>

namespace Winchlink
{

static constexpr TimeUs ViewStepUs = 100 * UsPerMs;
static constexpr TimeUs EditStepUs = 10 * UsPerMs;
static constexpr TimeUs EditMaxUs = 60 * UsPerSecond;
static constexpr int Edits = 3;
static constexpr size_t SeedsEach = 16;
static constexpr uint16_t ViewPort = 7000;

struct ViewFleet
{
    std::vector<Coordinator> Instances; // By number.
    std::vector<Envelope> Wire;         // To be delivered at the next step.
    TimeUs Now = 1000 * UsPerSecond;
};

// Instance n is told apart by its IP.
static Endpoint ViewEndpoint(uint32_t number)
{
    return {number + 1, ViewPort};
}

static TablePtr ViewTable(const ViewsPlan& plan)
{
    auto table = std::make_shared<Table>();
    table->Version.Revision = 1;
    for (uint32_t first = 0; first + plan.RowNumbers <= plan.Instances; first += plan.RowNumbers)
    {
        ServiceRow row;
        row.Name = "service-" + std::to_string(first);
        row.Revision = 1;
        row.PathPrefix = "/" + row.Name;
        row.FirstNumber = static_cast<int>(first);
        row.Numbers = static_cast<int>(plan.RowNumbers);
        row.Targets.push_back({"127.0.0.1:1", "", 1, 1});
        SealRow(&row);
        table->Rows.push_back(row);
    }
    SealTable(table.get());
    return table;
}

static void StartViews(ViewFleet* fleet, const ViewsPlan& plan)
{
    Random random(plan.Seed);
    const TablePtr table = ViewTable(plan);
    fleet->Instances.resize(plan.Instances);
    for (uint32_t n = 0; n < plan.Instances; n++)
    {
        MembershipConfig config;
        config.Self = ViewEndpoint(n);
        config.DataCentre = "dc" + std::to_string(n % 4);
        config.Incarnation = 1;
        config.Number = n;
        config.ViewMax = plan.ViewMax;
        Coordinator* c = &fleet->Instances[n];
        CoordinatorInit(c, config, MessageKeys(), random(), fleet->Now);
        for (size_t seed = 0; seed < SeedsEach; seed++)
        {
            c->Members.Seeds.push_back(ViewEndpoint(static_cast<uint32_t>(random() % plan.Instances)));
        }
        c->Tables.Joined = true; // Joining has its own tests.
        CoordinatorOffer(c, table, fleet->Now);
        if (!plan.KeepSharing)
        {
            c->Members.Shared.clear();
            c->Members.Ranges.clear();
        }
    }
}

static void StepViews(ViewFleet* fleet, TimeUs step)
{
    fleet->Now += step;
    std::vector<Envelope> due;
    due.swap(fleet->Wire);
    for (const Envelope& message : due)
    {
        (void)CoordinatorReceive(&fleet->Instances[message.To.Ip - 1], message.Bytes, fleet->Now, &fleet->Wire);
    }
    for (Coordinator& c : fleet->Instances)
    {
        CoordinatorTick(&c, fleet->Now, &fleet->Wire);
    }
}

static double ShareOfKnownPairs(const ViewFleet& fleet, const ViewsPlan& plan)
{
    uint64_t known = 0;
    uint64_t all = 0;
    for (uint32_t n = 0; n < plan.Instances / plan.RowNumbers * plan.RowNumbers; n++)
    {
        const uint32_t row = n / plan.RowNumbers;
        for (const Peer& peer : fleet.Instances[n].Members.Peers)
        {
            known += (peer.Address.Ip - 1) / plan.RowNumbers == row ? 1 : 0;
        }
        all += plan.RowNumbers - 1;
    }
    return static_cast<double>(known) / static_cast<double>(all);
}

static double BytesOfAll(const ViewFleet& fleet)
{
    double bytes = 0;
    for (const Coordinator& c : fleet.Instances)
    {
        bytes += static_cast<double>(c.Counts.SentBytes + c.Counts.ReceivedBytes);
    }
    return bytes;
}

static TablePtr EditedTable(const Table& before, size_t row)
{
    auto table = std::make_shared<Table>(before);
    table->Version.Revision++;
    table->Rows[row].DeadlineMs++;
    AssignRowRevisions(before, table.get());
    return table;
}

// Gives an edit to one instance and notes when each other one has it.
static void PlayEdit(ViewFleet* fleet, int edit, std::vector<double>* times)
{
    Coordinator* reader = &fleet->Instances[static_cast<size_t>(edit) * fleet->Instances.size() / Edits];
    const TablePtr table = EditedTable(*reader->Tables.Current, static_cast<size_t>(edit));
    CoordinatorOffer(reader, table, fleet->Now);
    const TimeUs start = fleet->Now;
    const size_t wanted = times->size() + fleet->Instances.size();
    std::vector<bool> has(fleet->Instances.size());
    while (times->size() < wanted && fleet->Now < start + EditMaxUs)
    {
        StepViews(fleet, EditStepUs);
        for (size_t n = 0; n < has.size(); n++)
        {
            if (!has[n] && fleet->Instances[n].Tables.Current->Version == table->Version)
            {
                has[n] = true;
                times->push_back(static_cast<double>(fleet->Now - start) / UsPerMs);
            }
        }
    }
}

static void PlayEdits(ViewFleet* fleet, ViewsResult* result)
{
    std::vector<double> times;
    for (int edit = 0; edit < Edits; edit++)
    {
        PlayEdit(fleet, edit, &times);
    }
    const bool all = times.size() == Edits * fleet->Instances.size();
    result->EditP50Ms = QuantileOf(&times, 0.5);
    result->EditMostMs = all ? QuantileOf(&times, 1.0) : -1;
}

ViewsResult PlayViews(const ViewsPlan& plan)
{
    ViewFleet fleet;
    StartViews(&fleet, plan);
    ViewsResult result;
    result.KnownLeast = 1;
    const int last_third = plan.Seconds - plan.Seconds / 3;
    double bytes_before = 0;
    TimeUs cpu_before = 0;
    for (int second = 1; second <= plan.Seconds; second++)
    {
        for (TimeUs t = 0; t < UsPerSecond; t += ViewStepUs)
        {
            StepViews(&fleet, ViewStepUs);
        }
        result.KnownShare = ShareOfKnownPairs(fleet, plan);
        const bool most = result.KnownShare >= 0.99;
        result.SecondsToMost = result.SecondsToMost < 0 && most ? second : result.SecondsToMost;
        result.KnownLeast = second > last_third ? std::min(result.KnownLeast, result.KnownShare) : 1;
        if (second == last_third)
        {
            bytes_before = BytesOfAll(fleet);
            cpu_before = ThreadCpuUs();
        }
    }
    const double measured = static_cast<double>(plan.Seconds - last_third) * plan.Instances;
    result.BytesPerSecond = (BytesOfAll(fleet) - bytes_before) / measured;
    result.MicrosPerSecond = static_cast<double>(ThreadCpuUs() - cpu_before) / measured;
    PlayEdits(&fleet, &result);
    return result;
}

} // namespace Winchlink
