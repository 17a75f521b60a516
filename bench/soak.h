// soak.h: a randomised run of real gateway processes under faults from outside them.
//
// The store, the targets, a proxy before each of them for each instance, and the callers live in this process's event loop. Instances are
// killed, paused, stopped, told to reload and restarted by signals; connections are delayed, silenced, cut one way and reset; the store
// refuses, falls silent and forgets; targets lose and spoil answers, leave, vanish, turn cold and come back under another id or the same;
// requests end the targets that run them; another writer spoils entries; data centres are evacuated; configurations come singly and in
// storms. All is drawn from a seed. soak_audit.h says what is checked. It ends only processes that it started.
//
// Index of this file:
// [SECTION] Plan
// [SECTION] Parts
// [SECTION] Faults

#pragma once

#include "process.h"
#include "proxy.h"
#include "soak_audit.h"
#include "users_store.h"
#include "users_target.h"

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Plan
//-----------------------------------------------------------------------------

// What is done to the system.
enum SoakFaults_ : int
{
    SoakFaults_All,        // Everything, drawn from the seed.
    SoakFaults_Roll,       // Planned stops only, one instance after the other.
    SoakFaults_KilledRoll, // The same, but instances are killed and the log says that they were stopped: the audit must find it.
    SoakFaults_COUNT,
};

struct SoakPlan
{
    std::string Program; // Path of the winchlink program.
    SoakFaults_ Faults = SoakFaults_All;
    int Seed = 1;
    int Seconds = 20; // Length of the faults.
    int Instances = 4;
    int Callers = 24;     // More than the targets of one service can serve would be refused, whatever the instances do.
    int BatchCallers = 3; // Of them, some that send requests ahead.
};

struct SoakResult
{
    SoakLog Log;
    std::string Folder;               // Of settings and logs.
    std::map<std::string, int> Drawn; // Faults, by name.
};

// Plays one seed. No result if the stand-ins can't listen.
std::optional<SoakResult> PlaySoak(const SoakPlan& plan);

//-----------------------------------------------------------------------------
// [SECTION] Parts
//-----------------------------------------------------------------------------

inline constexpr TimeUs SoakGraceUs = 4 * UsPerSecond;               // Given to instances that are stopped.
inline constexpr const char* SoakEndingPrefix = "/a/ends-";          // Paths of requests that end the targets that run them.
inline constexpr const char* SoakInstanceHeader = "X-Soak-Instance"; // Of a request: the instance that it was sent to.

struct SoakInstance
{
    int Index = 0;
    std::string Folder; // Settings and log.
    std::string CallerAddress;
    std::string PeerAddress;
    Proxy ToStore;
    pid_t Pid = -1;       // -1: not running.
    bool Ending = false;  // We have ended it, or asked it to end.
    bool Leaving = false; // No new callers.
    size_t Trouble = 0;   // Index of its open trouble plus one; 0: none.
    Timer Next;           // Restart, wake, or kill after the grace time.
};

struct SoakTarget
{
    UsersTarget Part;
    Proxy Before;
    std::string Service;
    std::string Zone;
    bool Listed = true; // Its entry is in the store.
    bool Down = false;  // It has ended, and will start again under its id.
    Timer Next;
    size_t Counted = 0; // Requests that are in the log already.
};

struct Soak
{
    EventLoop Loop;
    Random Rng;
    Random SparedRng; // For targets in need, so that the others draw for seeds what they always drew.
    Random EndsRng;   // For requests that end targets and for starts under the same id, so that Rng draws for seeds what it always drew.
    UsersStore Store;
    std::vector<std::unique_ptr<SoakInstance>> Instances;
    std::vector<std::unique_ptr<SoakTarget>> Targets; // Never shrinks: the audit needs what all have seen.
    Client Callers;
    SoakLog Log;
    SoakPlan Plan;
    std::string Folder;   // Settings and logs.
    int DatagramPort = 0; // Of all instances, each at an address of its own.
    uint64_t Version = 0;
    int LastRequest = 0;
    int LastTarget = 0;
    bool Striking = true;
    bool Calling = true;
    size_t StoreTrouble = 0;              // Index of the open trouble plus one.
    std::map<std::string, size_t> Spoilt; // Targets whose entries are spoilt, with the index in Log.Leavings.
    std::vector<Timer> Pauses;            // Of callers and scheduled ends of faults.
    std::map<std::string, int> Drawn;     // Faults, by name.
};

int64_t Between(Soak* soak, int64_t least, int64_t most);
TimeUs MsBetween(Soak* soak, int64_t least, int64_t most);

// Runs something after a while.
void Later(Soak* soak, TimeUs delay, std::function<void()> run);

// Opens a span of trouble and returns its index plus one.
size_t OpenTrouble(Soak* soak, int instance, bool planned);
void CloseTrouble(Soak* soak, size_t* index);

void WriteSettings(const Soak& soak, const SoakInstance& instance, double repeat_share);
void StartInstance(Soak* soak, SoakInstance* instance);
SoakTarget* AddTarget(Soak* soak, const std::string& service);

// Another start of the target under its id, at another address; `born`: see UsersStoreTarget().
SoakTarget* StartAgain(Soak* soak, const SoakTarget& former, uint64_t born);

// Publishes the next configuration.
void Configure(Soak* soak);

// An instance that takes new callers, by chance; null if there is none.
SoakInstance* PickInstance(Soak* soak);

// A request of a kind drawn by chance to the instance, as of now; not in the log yet.
SoakRequest DrawSoakRequest(Soak* soak, const SoakInstance& instance);

// Sends a request, and another one a while after its answer, until callers are told to end.
void Ask(Soak* soak);

// Sends some requests on one connection before the first is answered, and again a while after the last answer.
void AskInBatches(Soak* soak);

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

// Strikes again and again until told to end.
void Strike(Soak* soak);

// Has requests end targets, starts those again under their ids, and spoils entries, until told to end.
void StrikeByEnds(Soak* soak);

// Targets in need: they name limits, refuse and want nothing, say that they leave.
void StrikeBySpared(Soak* soak);

// Takes note of processes that have ended, and starts those again that we have ended.
void Reap(Soak* soak);

} // namespace Winchlink
