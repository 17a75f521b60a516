// fleet.h: a fleet on this machine for experiments: real instances, stand-ins for the platform and the targets, on free loopback ports.
//
// Data centre n lives on 127.0.n.1, so that targets can tell who is far. Everything that was started is stopped when the Fleet goes out
// of scope.

#pragma once

#include "bench.h"

#include <set>
#include <sys/types.h>

namespace Winchlink
{

struct FleetRow
{
    std::string Name; // Service.
    std::string PathPrefix;
    Class_ Class = Class_Normal;
    int Targets = 4;
    int MaxConcurrent = 0; // 0: the product's default.
    int MaxConnections = 250;
    int MeasuringBudgetMs = 60;
    int ServiceUs = 8000;
    int DeadlineMs = 1000;
    std::vector<std::string> RepeatMethods = {"GET"};
};

struct FleetPlan
{
    std::string Program = "winchlink";        // The daemon.
    std::vector<std::string> TargetArguments; // Added to every target's command line.
    std::vector<Header> Environment;          // Added for instances.
    int Instances = 3;
    int DataCentres = 1;
    int ViewMax = 64;
    int Seed = 1;
    bool UseRelay = false; // Messages between instances pass a relay that can cut.
    std::vector<FleetRow> Rows;
};

struct Child
{
    pid_t Pid = -1;      // -1: not running.
    std::string Address; // Main address.
};

struct FleetInstance
{
    Child Process; // Address: traffic.
    std::string Control;
    std::string Advertised; // Where peers reach it; the relay's if there is one.
    std::string Operators;
    std::string SettingsFile;
    int DataCentre = 0;
    int Number = 0;
};

struct FleetTarget
{
    Child Process;
    std::string Row;
    int DataCentre = 0;
};

struct Fleet
{
    FleetPlan Plan;
    std::string Folder; // Settings and logs.
    Child Platform;
    Child Relay;
    std::vector<FleetInstance> Instances;
    std::vector<FleetTarget> Targets;
    Table Rows; // Last published.

    Fleet() = default;
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;
};

// Starts all and waits until every instance is ready. False if that does not come.
bool FleetStart(Fleet* fleet, const FleetPlan& plan);

// Stops all; instances drain if `planned`, else they are killed.
void FleetStop(Fleet* fleet);

// Publishes fleet->Rows under the next revision.
void FleetPublish(Fleet* fleet);

void FleetStartInstance(Fleet* fleet, size_t index);
void FleetStartTarget(Fleet* fleet, size_t index);
// Collects a target that was killed.
void FleetReapTarget(Fleet* fleet, size_t index);
void FleetSignalInstance(Fleet* fleet, size_t index, int signal);

// Waits for an instance to end; its exit code, or -1.
int FleetWaitInstance(Fleet* fleet, size_t index);

bool FleetIsReady(const Fleet& fleet, size_t index);
std::string FleetStatus(const Fleet& fleet, size_t index);

// A number in a status page or an audit, by path such as "table.revision"; -1 if it is not there.
int64_t JsonNumberAt(const std::string& json, const std::string& path);

// Sum of a number over all targets' audits.
int64_t FleetAuditSum(const Fleet& fleet, const std::string& key);
// Request ids that any target ran.
std::set<std::string> FleetRunIds(const Fleet& fleet);
std::string FleetTargetAdmin(const Fleet& fleet, size_t index, const std::string& method, const std::string& path);
void FleetPlatformAdmin(const Fleet& fleet, const std::string& method, const std::string& path, const std::string& body);
std::vector<std::string> FleetEntries(const Fleet& fleet);

// Instances that hold exactly this revision.
int FleetCountAtRevision(const Fleet& fleet, uint64_t revision);

int FreePort(const std::string& ip);

// Folder of the program that runs.
std::string OwnFolder();

pid_t StartProcess(const std::vector<std::string>& command, const std::string& log, const std::vector<Header>& environment);

// The rows of the two users as they are today.
std::vector<FleetRow> DakarRows();
std::vector<FleetRow> AtticaRows();

} // namespace Winchlink
