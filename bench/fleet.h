// fleet.h: a small fleet on this machine for experiments: real instances with a table, and in this process's event loop the service that
// serves the table, the targets and the callers.
//
// Everything that was started is stopped when the Fleet goes out of scope.
//
// Index of this file:
// [SECTION] Fleet
// [SECTION] Load

#pragma once

#include "process.h"
#include "users_store.h"
#include "users_target.h"

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Fleet
//-----------------------------------------------------------------------------

struct FleetRow
{
    std::string Name; // Service, and its path: "/NAME/".
    Class_ Class = Class_Normal;
    int Targets = 4;
    int Slots = 3;
    TimeUs WorkUs = 8 * UsPerMs; // At a target's usual pace.
    int DeadlineMs = 1000;
    bool Asks = true; // The table names a health path.
};

struct FleetPlan
{
    std::string Program = "winchlink"; // The daemon, beside the bench tool.
    std::vector<Header> Environment;   // Added for instances.
    int Instances = 3;
    int DataCentres = 1;
    std::vector<FleetRow> Rows;
};

struct FleetInstance
{
    pid_t Pid = -1; // -1: not running.
    std::string Callers;
    std::string Ready;
    std::string Pages;
    std::string Peers;
    std::string SettingsFile;
};

struct FleetTarget
{
    UsersTarget Part;
    std::string Row;
    Timer Noise; // Its next change of pace.
};

struct Fleet
{
    FleetPlan Plan;
    EventLoop Loop;
    UsersStore Store;
    Client Calls;
    std::string Folder;                                // Settings and logs.
    std::map<std::string, ServiceRow> Rows;            // As published last.
    std::vector<std::unique_ptr<FleetTarget>> Targets; //
    std::vector<FleetInstance> Instances;              //

    Fleet() = default;
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;
};

// Starts all and waits until every instance is ready. If that does not come: false, and a line that says where the logs are.
bool FleetStart(Fleet* fleet, const FleetPlan& plan);

// Publishes a row as it stands in fleet->Rows.
void FleetPublish(Fleet* fleet, const std::string& row);

void FleetKillInstance(Fleet* fleet, size_t index);

// Lets the loop run.
void FleetRun(Fleet* fleet, TimeUs time);

// A value of an instance's metrics page; 0 if it is not there.
double FleetMetric(Fleet* fleet, size_t index, const std::string& name);

// Targets whose pace changes by itself: bursts of `factor` times slower work, `share` of the time, each `burst` long in the mean.
void FleetAddNoise(Fleet* fleet, double share, int factor, TimeUs burst, Random* random);

//-----------------------------------------------------------------------------
// [SECTION] Load
//-----------------------------------------------------------------------------

// A kind of call in the mix.
struct LoadKind
{
    std::string Row; // Which row it calls.
    std::string Method = "GET";
    double PerSecond = 0; // Mean arrivals.
    int DeadlineMs = 1000;
};

struct LoadRecord
{
    size_t Kind = 0;      // Index into the kinds.
    std::string Id;       // Request id.
    TimeUs LatencyUs = 0; // From the planned arrival, so that a slow answer is not hidden by calls that were sent late because of it.
    int Status = 0;       // 0: no whole answer.
    int Code = 0;         // Winchlink's result code, 0 if none.
    bool InTime = false;  // Good, and within its deadline.
};

// Plays arrivals drawn from a seed and keeps to them, whatever the answers do. Calls go to `entries` in turn.
std::vector<LoadRecord> FleetPlayLoad(Fleet* fleet, const std::vector<std::string>& entries, const std::vector<LoadKind>& kinds,
                                      TimeUs length, uint64_t seed);

struct LoadSummary
{
    size_t Count = 0;
    size_t Good = 0;   // Status below 500 and complete.
    size_t InTime = 0; // Good, and within the deadline.
    size_t Refused = 0;
    size_t Failed = 0; // Anything else.
    double P50Ms = 0;  // Of the good ones.
    double P99Ms = 0;
    double P999Ms = 0;
    double P99AllMs = 0; // Of all: one without a good answer counts with its deadline, so that failing fast does not look quick.
};

// Of one kind, or of all if `kind` is negative.
LoadSummary Summarize(const std::vector<LoadRecord>& records, const std::vector<LoadKind>& kinds, int kind);

// Addresses of all instances that run.
std::vector<std::string> FleetEntries(const Fleet& fleet);

} // namespace Winchlink
