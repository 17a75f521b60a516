// fleet_model.h: several coordinators in one thread, joined by a network that loses, doubles, delays, reorders and cuts, with a platform
// that can be down or stale and a list of instances that lags.
//
// It is no simulation of a cluster: it has no timing to measure. It is the fake at the coordinator's interface (messages, clock,
// platform) with which the state tests cause failures, and it checks the invariants after each step.

#pragma once

#include "check.h"

#include <deque>
#include <set>

namespace Winchlink
{

// A fault planted into the model's use of the library, to see that the checks find it.
enum ModelFault_ : int
{
    ModelFault_None,
    ModelFault_BelievesPlatformAtOnce, // A fresh instance does not wait for its peers.
    ModelFault_StepsBack,              // What the platform serves is put in force even if it is older.
    ModelFault_ForgetsLeaving,         // A report without the leaving mark takes it away.
    ModelFault_AllRead,                // Every instance reads the platform.
};

struct ModelNode
{
    Coordinator Own;
    bool Alive = false;
    bool Paused = false;
    int Group = 0;         // Messages pass only within a group.
    TableVersion Highest;  // Highest version held in this incarnation.
    TimeUs NextReadUs = 0; // Next call of the platform.
};

struct ModelMessage
{
    TimeUs DueUs = 0;
    size_t From = 0;
    Endpoint To;
    std::string Bytes;
};

enum PlatformMode_ : int
{
    ModelPlatform_Ok,
    ModelPlatform_Down,
    ModelPlatform_Stale,
};

struct FleetModel
{
    ModelFault_ Fault = ModelFault_None;
    Dice Luck;
    TimeUs Now = 1000 * UsPerSecond;
    uint64_t Incarnations = 0;
    std::vector<ModelNode> Nodes;
    std::deque<ModelMessage> Wire;
    int LosePercent = 5;
    int TwicePercent = 5;
    TimeUs MostDelayUs = 50 * UsPerMs;
    PlatformMode_ Mode = ModelPlatform_Ok;
    TablePtr Live;                             // What the platform has.
    TablePtr Frozen;                           // What it serves when stale.
    std::vector<Endpoint> List;                // Its list of instances; lags.
    std::vector<TablePtr> History;             // All that was ever published.
    std::set<std::string> Published;           // Their digests.
    TableVersion Accepted;                     // Highest that any instance has called accepted.
    std::map<TargetKey, TargetRun> Truth;      // Targets as they are.
    std::map<TargetKey, uint64_t> SeenLeaving; // Start that some instance has seen leaving.
    uint64_t PlatformCalls = 0;
};

void ModelStart(FleetModel* model, size_t nodes, ModelFault_ fault);

// Lets time pass: ticks, messages, reads of the platform; checks the invariants after each step.
void ModelRun(FleetModel* model, TimeUs time);

void ModelEdit(FleetModel* model);
void ModelKill(FleetModel* model, size_t node);
void ModelReplace(FleetModel* model, size_t node);
void ModelCut(FleetModel* model, uint64_t groups);
void ModelHeal(FleetModel* model);

// An instance gets a report of a target as it is, or as it was before it said that it leaves.
void ModelReport(FleetModel* model, size_t node, size_t target, bool stale);
void ModelDrainTarget(FleetModel* model, size_t target);
void ModelRestartTarget(FleetModel* model, size_t target);

size_t ModelAlive(const FleetModel& model);

// Whether killing this instance would take the last copy of what was accepted: the case that can't be promised.
bool ModelIsLastHolder(const FleetModel& model, size_t node);

// Whether a live, running instance in reach of this one holds what was accepted. A fresh instance without one can't know of it.
bool ModelCanReachHolder(const FleetModel& model, size_t node);

// Heals everything, lets time pass, and checks that all agree on something not older than what was accepted.
void ModelSettleAndCheck(FleetModel* model);

} // namespace Winchlink
