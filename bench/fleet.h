// fleet.h: runs a small fleet on this machine for benchmarks: instances as separate processes; the table's store, simulated targets and a
// load generator in this process's event loop.
//
// The destructor of Fleet ends all instances.
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
    std::string Name; // Name of the service; its path prefix is "/NAME/".
    Class_ Class = Class_Normal;
    int Targets = 4;
    int Slots = 3;
    TimeUs WorkUs = 8 * UsPerMs; // Service time at a target's normal speed.
    int DeadlineMs = 1000;
    bool UsesProbes = true; // The row has a health path, so its targets are probed.
};

struct FleetPlan
{
    std::string Program = "winchlink"; // Executable of the instances, in the folder of winchbench.
    std::vector<Header> Environment;   // Added to the environment of the instances.
    int Instances = 3;
    int DataCentres = 1;
    std::vector<FleetRow> Rows;
};

struct FleetInstance
{
    pid_t Pid = -1; // -1 if not running.
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
    Timer Noise; // Next change of the target's speed.
};

struct Fleet
{
    FleetPlan Plan;
    EventLoop Loop;
    UsersStore Store;
    Client Calls;
    std::string Folder;                     // Settings and logs.
    std::map<std::string, ServiceRow> Rows; // Rows by name, as last published.
    std::vector<std::unique_ptr<FleetTarget>> Targets;
    std::vector<FleetInstance> Instances;

    Fleet() = default;
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;
};

// Starts the fleet and waits until every instance is ready. On failure prints the folder of the logs and returns false.
bool FleetStart(Fleet* fleet, const FleetPlan& plan);

// Writes the current value of fleet->Rows[row] to the store.
void FleetPublish(Fleet* fleet, const std::string& row);

void FleetKillInstance(Fleet* fleet, size_t index);

// Runs the event loop for `time`.
void FleetRun(Fleet* fleet, TimeUs time);

// Returns a value of an instance's metrics page; 0 if it is missing.
double FleetMetric(Fleet* fleet, size_t index, const std::string& name);

// Slows down each target at random: it is `factor` times slower for the given share of the time, in bursts of mean length `burst`.
void FleetAddNoise(Fleet* fleet, double share, int factor, TimeUs burst, Random* random);

//-----------------------------------------------------------------------------
// [SECTION] Load
//-----------------------------------------------------------------------------

// A class of requests in the generated load.
struct LoadKind
{
    std::string Row; // Name of the row that is called.
    std::string Method = "GET";
    double PerSecond = 0; // Mean arrival rate.
    int DeadlineMs = 1000;
};

struct LoadRecord
{
    size_t Kind = 0;      // Index into the kinds.
    std::string Id;       // Request id.
    TimeUs LatencyUs = 0; // From the planned arrival time, which avoids coordinated omission.
    int Status = 0;       // HTTP status; 0 without a complete answer.
    int Code = 0;         // Result code of winchlink; 0 if none.
    bool InTime = false;  // Status below 500, within the deadline.
};

// Generates an open-loop load with Poisson arrivals drawn from `seed`. Requests go to the addresses in `entries` in round-robin order.
std::vector<LoadRecord> FleetRunLoad(Fleet* fleet, const std::vector<std::string>& entries, const std::vector<LoadKind>& kinds,
                                     TimeUs length, uint64_t seed);

struct LoadSummary
{
    size_t Count = 0;
    size_t Good = 0;    // Complete, with a status below 500.
    size_t InTime = 0;  // Good and within the deadline.
    size_t Refused = 0; // Status 503.
    size_t Failed = 0;  // All others.
    double P50Ms = 0;   // Quantiles of the good requests.
    double P99Ms = 0;
    double P999Ms = 0;
    double P99AllMs = 0; // Of all requests; those that are not good count with at least their deadline.
};

// Summarizes the records of one kind, or of all kinds if `kind` is negative.
LoadSummary Summarize(const std::vector<LoadRecord>& records, const std::vector<LoadKind>& kinds, int kind);

// Returns the caller addresses of all running instances.
std::vector<std::string> FleetEntries(const Fleet& fleet);

} // namespace Winchlink
