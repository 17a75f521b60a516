// fleet_model.cpp: several coordinators in one thread, joined by a bad network.

#include "fleet_model.h"

#include <algorithm>

namespace Winchlink
{

static constexpr TimeUs StepUs = 50 * UsPerMs;
static constexpr TimeUs ReadPeriodUs = 500 * UsPerMs;
static constexpr TimeUs SettleUs = 40 * UsPerSecond;

static Endpoint AddressOf(size_t node)
{
    return {0x7f000001, static_cast<uint16_t>(7000 + node)};
}

static TargetKey TargetOf(size_t n)
{
    return KeyOfTarget("127.0.0.1:" + std::to_string(9000 + n));
}

static TablePtr FirstTable()
{
    return std::make_shared<Table>(MakeTable(1, {MakeRow("a", 1, 3), MakeRow("b", 1, 2)}));
}

static void Publish(FleetModel* model, TablePtr table)
{
    model->Published.insert(FormatDigest(table->Version.TableDigest));
    model->History.push_back(table);
    model->Live = std::move(table);
}

//-----------------------------------------------------------------------------
// [SECTION] Starting
//-----------------------------------------------------------------------------

static void StartNode(FleetModel* model, size_t n)
{
    ModelNode& node = model->Nodes[n];
    MembershipConfig config;
    config.Self = AddressOf(n);
    config.DataCentre = n % 2 == 0 ? "dc1" : "dc2";
    config.Incarnation = ++model->Incarnations;
    CoordinatorInit(&node.Own, config, MessageKeys(), model->Luck.Rng(), model->Now);
    node.Own.Members.Seeds = model->List;
    node.Alive = true;
    node.Paused = false;
    node.Highest = TableVersion();
    node.NextReadUs = 0;
}

void ModelStart(FleetModel* model, size_t nodes, ModelFault_ fault)
{
    model->Fault = fault;
    model->Nodes.resize(nodes);
    Publish(model, FirstTable());
    model->Frozen = model->Live;
    for (size_t n = 0; n < nodes; n++)
    {
        model->List.push_back(AddressOf(n));
    }
    for (size_t n = 0; n < 3; n++)
    {
        TargetRun run;
        run.Key = TargetOf(n);
        run.StartId = 1;
        model->Truth[run.Key] = run;
    }
    for (size_t n = 0; n < nodes; n++)
    {
        StartNode(model, n);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Invariants
//-----------------------------------------------------------------------------

static void CheckNode(FleetModel* model, ModelNode* node)
{
    const TableVersion& held = node->Own.Tables.Current->Version;
    RC_ASSERT(!(held < node->Highest)); // Never back within an incarnation.
    node->Highest = held;
    RC_ASSERT(held.Revision == 0 || model->Published.count(FormatDigest(held.TableDigest)) == 1);
    model->Accepted = std::max(model->Accepted, AgreementAccepted(node->Own.Tables, node->Own.Members));
    for (const auto& entry : node->Own.Runs.ByKey)
    {
        if (entry.second.Run.Leaving)
        {
            uint64_t& seen = model->SeenLeaving[entry.first];
            seen = std::max(seen, entry.second.Run.StartId);
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Time
//-----------------------------------------------------------------------------

static void Send(FleetModel* model, size_t from, const std::vector<Envelope>& out)
{
    for (const Envelope& envelope : out)
    {
        const bool lost = model->Luck.Between(0, 100) < model->LosePercent;
        const int copies = lost ? 0 : model->Luck.Between(0, 100) < model->TwicePercent ? 2 : 1;
        for (int n = 0; n < copies; n++)
        {
            model->Wire.push_back({model->Now + model->Luck.Between(0, model->MostDelayUs + 1), from, envelope.To, envelope.Bytes});
        }
    }
}

static void Deliver(FleetModel* model, const ModelMessage& message)
{
    const size_t to = message.To.Port - 7000U;
    ModelNode& node = model->Nodes[to];
    if (!node.Alive || node.Paused || node.Group != model->Nodes[message.From].Group)
    {
        return;
    }
    std::vector<Envelope> out;
    const Result<void> taken = CoordinatorReceive(&node.Own, message.Bytes, model->Now, &out);
    const bool fine = taken.has_value() || taken.error().Code == Code_MessageReplayed;
    RC_ASSERT(fine);
    Send(model, to, out);
}

static void DeliverDue(FleetModel* model)
{
    std::deque<ModelMessage> due;
    std::deque<ModelMessage> later;
    for (ModelMessage& message : model->Wire)
    {
        (message.DueUs <= model->Now ? due : later).push_back(std::move(message));
    }
    model->Wire = std::move(later);
    std::shuffle(due.begin(), due.end(), model->Luck.Rng); // Reordered.
    for (const ModelMessage& message : due)
    {
        Deliver(model, message);
    }
}

static void ReadPlatform(FleetModel* model, ModelNode* node)
{
    Coordinator* own = &node->Own;
    const bool faulty = model->Fault == ModelFault_BelievesPlatformAtOnce || model->Fault == ModelFault_AllRead;
    const bool may_trust = AgreementMayTrustPlatform(own->Tables) || model->Fault == ModelFault_BelievesPlatformAtOnce;
    const bool reads = faulty || (may_trust && MembershipShouldRead(&own->Members, model->Now, &own->Rng));
    if (!reads || model->Now < node->NextReadUs)
    {
        return;
    }
    node->NextReadUs = model->Now + ReadPeriodUs;
    model->PlatformCalls++;
    MembershipAsked(&own->Members, model->Now);
    MembershipAnswered(&own->Members, model->Mode != ModelPlatform_Down, model->Now);
    const TablePtr& served = model->Mode == ModelPlatform_Stale ? model->Frozen : model->Live;
    if (model->Mode == ModelPlatform_Down || !may_trust)
    {
        return;
    }
    if (model->Fault == ModelFault_StepsBack || model->Fault == ModelFault_BelievesPlatformAtOnce)
    {
        own->Tables.Joined = true;
    }
    if (model->Fault == ModelFault_StepsBack)
    {
        own->Tables.Current = served;
        return;
    }
    CoordinatorOffer(own, served, model->Now);
}

static void StepNode(FleetModel* model, size_t n)
{
    ModelNode& node = model->Nodes[n];
    if (!node.Alive || node.Paused)
    {
        return;
    }
    std::vector<Envelope> out;
    CoordinatorTick(&node.Own, model->Now, &out);
    Send(model, n, out);
    ReadPlatform(model, &node);
    CheckNode(model, &node);
}

void ModelRun(FleetModel* model, TimeUs time)
{
    const TimeUs until = model->Now + time;
    while (model->Now < until)
    {
        model->Now += StepUs;
        DeliverDue(model);
        for (size_t n = 0; n < model->Nodes.size(); n++)
        {
            StepNode(model, n);
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

void ModelEdit(FleetModel* model)
{
    Table next = *model->Live;
    next.Version.Revision++;
    ServiceRow& row = next.Rows[static_cast<size_t>(model->Luck.Between(0, static_cast<int64_t>(next.Rows.size())))];
    row.DeadlineMs = static_cast<int>(model->Luck.Between(1, 100000));
    if (model->Luck.OneIn(4))
    {
        next.Rows.push_back(MakeRow("n" + std::to_string(next.Version.Revision), next.Version.Revision, 1));
    }
    else if (next.Rows.size() > 2 && model->Luck.OneIn(4))
    {
        next.Rows.pop_back();
    }
    AssignRowRevisions(*model->Live, &next);
    Publish(model, std::make_shared<Table>(next));
}

size_t ModelAlive(const FleetModel& model)
{
    return static_cast<size_t>(std::count_if(model.Nodes.begin(), model.Nodes.end(), [](const ModelNode& n) { return n.Alive; }));
}

bool ModelIsLastHolder(const FleetModel& model, size_t node)
{
    for (size_t n = 0; n < model.Nodes.size(); n++)
    {
        const ModelNode& other = model.Nodes[n];
        const bool holds = n != node && other.Alive && other.Own.Tables.Joined && !(other.Own.Tables.Current->Version < model.Accepted);
        if (holds)
        {
            return false;
        }
    }
    return true;
}

bool ModelCanReachHolder(const FleetModel& model, size_t node)
{
    for (const ModelNode& other : model.Nodes)
    {
        const bool running = other.Alive && !other.Paused && other.Group == model.Nodes[node].Group;
        const bool listed = std::find(model.List.begin(), model.List.end(), other.Own.Members.Config.Self) != model.List.end();
        if (running && listed && other.Own.Tables.Joined && !(other.Own.Tables.Current->Version < model.Accepted))
        {
            return true;
        }
    }
    return false;
}

void ModelKill(FleetModel* model, size_t node)
{
    model->Nodes[node].Alive = false;
}

void ModelReplace(FleetModel* model, size_t node)
{
    StartNode(model, node);
}

void ModelCut(FleetModel* model, uint64_t groups)
{
    for (size_t n = 0; n < model->Nodes.size(); n++)
    {
        model->Nodes[n].Group = static_cast<int>((groups >> n) & 1U);
    }
}

void ModelHeal(FleetModel* model)
{
    ModelCut(model, 0);
}

void ModelDrainTarget(FleetModel* model, size_t target)
{
    model->Truth[TargetOf(target)].Leaving = true;
}

void ModelRestartTarget(FleetModel* model, size_t target)
{
    TargetRun& run = model->Truth[TargetOf(target)];
    run.StartId++;
    run.Leaving = false;
}

void ModelReport(FleetModel* model, size_t node, size_t target, bool stale)
{
    ModelNode& to = model->Nodes[node];
    if (!to.Alive || to.Paused)
    {
        return;
    }
    TargetRun run = model->Truth[TargetOf(target)];
    run.Leaving = run.Leaving && !stale;
    CoordinatorReport(&to.Own, run, model->Now);
    if (model->Fault == ModelFault_ForgetsLeaving && !run.Leaving)
    {
        // As if the latest report won: every instance takes the mark away, and none is left that could bring it back.
        for (ModelNode& node : model->Nodes)
        {
            node.Own.Runs.ByKey[run.Key].Run.Leaving = false;
            node.Own.Runs.LeavingDigest = 0;
        }
        model->Wire.clear();
    }
    CheckNode(model, &to);
}

//-----------------------------------------------------------------------------
// [SECTION] The end
//-----------------------------------------------------------------------------

static void CheckAgreement(const FleetModel& model)
{
    const ModelNode* first = nullptr;
    for (const ModelNode& node : model.Nodes)
    {
        if (!node.Alive)
        {
            continue;
        }
        first = first == nullptr ? &node : first;
        RC_ASSERT(node.Own.Tables.Joined);
        RC_ASSERT(node.Own.Tables.Current->Version == first->Own.Tables.Current->Version);
        RC_ASSERT(!(node.Own.Tables.Current->Version < model.Accepted));
        RC_ASSERT(node.Own.Runs.LeavingDigest == first->Own.Runs.LeavingDigest);
        for (const auto& seen : model.SeenLeaving)
        {
            const auto run = node.Own.Runs.ByKey.find(seen.first);
            const bool gone = run == node.Own.Runs.ByKey.end();
            RC_ASSERT(gone || run->second.Run.StartId > seen.second || run->second.Run.Leaving);
        }
    }
}

void ModelSettleAndCheck(FleetModel* model)
{
    ModelHeal(model);
    model->LosePercent = 0;
    for (ModelNode& node : model->Nodes)
    {
        node.Paused = false;
        node.Own.Members.Seeds = model->List;
    }
    ModelRun(model, SettleUs);
    CheckAgreement(*model);
    // In the settled fleet only the few readers of each data centre call.
    const uint64_t before = model->PlatformCalls;
    constexpr TimeUs window = 10 * UsPerSecond;
    ModelRun(model, window);
    constexpr uint64_t readers = 4; // Two in each of two data centres.
    const uint64_t most = readers * static_cast<uint64_t>(window / ReadPeriodUs) + readers;
    RC_ASSERT(model->PlatformCalls - before <= most);
}

} // namespace Winchlink
