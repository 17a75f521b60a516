// follow_model.h: simulates a fleet of instances that get the store's changes through a few readers, in virtual time and without a network.
//
// Source selection and fan-out are the library's code (Follow, Fanout); the model adds a store, links and slow processors.
//
// How to use it: create a Model, start its instances with StartAll(), schedule faults, and read ages and counters between RunUntil() calls.

#pragma once

#include "check.h"

#include <functional>
#include <queue>

namespace Winchlink
{

constexpr size_t FleetSize = 473;
constexpr size_t SeedCount = 3;
constexpr const char* StoreAddress = "10.0.0.1:1";

enum ModelState_ : int
{
    ModelState_Up,
    ModelState_Crashed,      // The process has ended: connections are refused at once.
    ModelState_Unresponsive, // Power loss or a frozen process: nothing is answered.
};

struct ModelWait
{
    size_t From = 0;   // Index of the waiting instance.
    uint64_t Call = 0; // Id of its call.
    UpdateRequest Asker;
};

struct ModelInstance
{
    Follow Following;
    Fanout Spread;
    ModelState_ State = ModelState_Unresponsive;
    uint64_t Call = 0;                   // Id of the call in progress; 0 if none.
    std::map<uint64_t, ModelWait> Waits; // Held calls of followers, by call id.
    bool Lost = false;                   // The store can't be reached.
    TimeUs TriedUs = 0;
    TimeUs StoreAnsweredUs = 0;   // Its connection to the store is kept for a while; 0: none.
    std::optional<bool> PathSeen; // What the call to the store in progress has shown of the path to it.
    TimeUs NotifiedUs = 0;
    TimeUs NotifiedFreshUs = 0;
    TimeUs LinkUs = 0;      // The link is busy until then.
    TimeUs BusyUs = 0;      // The processor is busy until then.
    TimeUs DisturbedUs = 0; // Last start, or end of a freeze.
};

// The settings' list of seeds for an instance, drawn anew at each start.
using ModelSeeds = std::function<std::vector<std::string>(size_t instance, Random* random)>;

// The simulation: instances and a queue of events in order of time.
struct Model
{
    using Event = std::pair<std::pair<TimeUs, uint64_t>, std::function<void()>>;
    struct Later
    {
        bool operator()(const Event& a, const Event& b) const
        {
            return a.first > b.first;
        }
    };

    Random Rng;
    TimeUs Now = 0;
    uint64_t LastEvent = 0;
    uint64_t LastCall = 0;
    std::priority_queue<Event, std::vector<Event>, Later> Events;
    std::vector<ModelInstance> Fleet;
    std::map<std::string, size_t> ByAddress;
    ModelSeeds SeedsOf;
    // Whether the store refuses calls of the instance.
    std::function<bool(size_t instance, TimeUs now)> Refuses = [](size_t, TimeUs)
    {
        return false;
    };
    TimeUs EditUs = 500 * UsPerMs; // Interval between changes in the store.
    uint64_t SourcesLeft = 0;      // Times that a source was left because it was behind or had its data from the follower itself.
    // Whether the store leaves calls of the instance unanswered.
    std::function<bool(size_t instance)> SilentTo = [](size_t)
    {
        return false;
    };
    std::function<bool(size_t instance)> CutOff;     // Whether the instance has no path to the store; may be empty.
    std::function<bool(size_t instance)> OutOfTouch; // Whether it has none, or had none a while ago; may be empty.
    bool Silent = false;                             // The store answers no call.
    // Called when the instance has learnt of changes beyond the revision `known`. `after`: as for StoreReader::OnChanges. May be empty.
    std::function<void(size_t instance, uint64_t known, TimeUs after)> OnChanged;
    uint64_t StoreCalls = 0;
    uint64_t InstanceCalls = 0; // Calls between instances.
    std::array<uint64_t, StoreReason_COUNT> CallsFor = {};

    // By default all settings name the first SeedCount instances.
    explicit Model(size_t size = FleetSize, uint64_t seed = 20261202, ModelSeeds seeds_of = nullptr);
};

struct FleetAge
{
    size_t Without = 0;  // Instances that are up and have no data yet.
    TimeUs OldestUs = 0; // Largest age of the data at the others.
};

std::string AddressOf(size_t instance);

// Time of the change with which the store gets this revision.
TimeUs ChangeTime(const Model& model, uint64_t revision);

void ScheduleAt(Model* model, TimeUs when, const std::function<void()>& what);

// Starts the next call of an instance, after its pause or the given one, whichever is longer.
void StartCall(Model* model, size_t instance, TimeUs pause = 0);

void StartAt(Model* model, size_t instance, TimeUs when);

// Stops an instance. If its process ends, held calls fail at once; an unresponsive instance leaves them to time out.
void StopAt(Model* model, size_t instance, ModelState_ state, TimeUs when);

// Wakes an instance that was stopped with ModelState_Unresponsive, with its data.
void WakeAt(Model* model, size_t instance, TimeUs when);

// Starts the seeds at `from + late` and the others within 0.3 s after `from`.
void StartAll(Model* model, TimeUs from, TimeUs late);

void RunUntil(Model* model, TimeUs end);

FleetAge MeasureFleet(const Model& model);

// Runs until `end`; returns the largest age of data at any instance, sampled every 100 ms.
TimeUs MaxAgeUntil(Model* model, TimeUs end);

std::string DescribeCalls(const Model& model);

// Runs until all instances that are up have data and returns that time; 0 if they don't by `end`.
TimeUs RunUntilAllHaveData(Model* model, TimeUs end);

} // namespace Winchlink
