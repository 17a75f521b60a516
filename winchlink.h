// winchlink.h: the decisions of the winchlink load balancer, as a library.
//
// What it is: the daemon without its sockets: which route and which target a request gets, which targets there are, what may be sent
// twice. Each part is a plain struct and a few free functions. Time and random numbers are arguments, so that every part can be embedded,
// replayed and fuzzed. Nothing here blocks, locks or does I/O; guard a struct with your own mutex if several threads use it.
//
// How to use it: read this file top to bottom, then examples/embed.cpp. Link libwinchlink, jansson and libsodium. All times are
// microseconds of one clock of yours; it must count while the machine sleeps (CLOCK_BOOTTIME).
//
// Index of this file:
// [SECTION] Constants
// [SECTION] Result codes
// [SECTION] Addresses
// [SECTION] Table (what operators edit)
// [SECTION] Customers (who may call, and how much; known by the keys of their requests)
// [SECTION] Route plan (what an instance serves; newer versions win)
// [SECTION] Target directory (which targets there are, as a lagging store tells it)
// [SECTION] Target pool (which target to ask for its load, and which to take)
// [SECTION] Repeat budget (which requests may be sent twice)
// [SECTION] Quarantine (requests that end the targets that run them)
// [SECTION] Silent ends (targets that end without closing their connections)
// [SECTION] Return schedule (when refused callers may come back)
// [SECTION] Quotas (what customers may ask, and targets take, of the whole fleet, though nobody counts it)
// [SECTION] Source of news (whom an instance asks, so that few of a fleet ask the store)
// [SECTION] Fan-out (how many others an instance serves, and where it sends the rest)

#pragma once

#include <array>
#include <boost/outcome/result.hpp>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Constants
//-----------------------------------------------------------------------------

inline constexpr const char* Version = "0.1.0";
inline constexpr int64_t UsPerMs = 1000;
inline constexpr int64_t UsPerSecond = 1000 * UsPerMs;
inline constexpr size_t KiB = 1024;
inline constexpr size_t MiB = 1024 * KiB;

using TimeUs = int64_t;         // Microseconds of an injected clock.
using Random = std::mt19937_64; // Injected random source; seed it yourself.

//-----------------------------------------------------------------------------
// [SECTION] Result codes
//-----------------------------------------------------------------------------

// Numbers of all refusals, failures and alarms, as used in logs, headers and docs/CODES.md. Numbers are never reused.
enum Code_ : int
{
    Code_None = 0,

    Code_SettingsUnreadable = 1001,
    Code_SettingsNotJson = 1002,
    Code_SettingsUnknownKey = 1003,
    Code_SettingsWrongType = 1004,
    Code_SettingsMissingKey = 1005,
    Code_SettingsOutOfRange = 1006,

    Code_TableNotJson = 1101,
    Code_TableUnknownKey = 1102,
    Code_TableWrongType = 1103,
    Code_TableMissingKey = 1104,
    Code_TableOutOfRange = 1105,
    Code_TableDuplicateService = 1106,
    Code_TableDuplicateRoute = 1107,
    Code_TableDuplicateTarget = 1108,
    Code_TableNoTargets = 1109,
    Code_TableBadAddress = 1110,
    Code_TableTooLarge = 1111,
    Code_TableUnknownDataCentre = 1115,
    Code_TableDuplicateEvacuation = 1116,

    Code_NoTable = 2001,
    Code_NoRoute = 2002,
    Code_RowLimit = 2003,
    Code_NoTargetLeft = 2004,
    Code_TargetRefused = 2009,
    Code_TargetsBusy = 2012,
    Code_TargetsEvacuated = 2013,
    Code_RequestHeld = 2014,
    Code_QuotaUsedUp = 2015,
    Code_KeyNotLearnt = 2016,
    Code_TargetsLimited = 2017,

    Code_OutcomeUnknown = 2101,
    Code_DeadlinePassed = 2102,
    Code_CallerGone = 2104,

    Code_BadDeadline = 2201,
    Code_BodyTooLarge = 2202,
    Code_HeadersTooLarge = 2204,
    Code_BadRequest = 2205,
    Code_KeyUnknown = 2206,

    Code_MessageMalformed = 3005,

    Code_PlatformUnreachable = 4001,
    Code_PlatformBadAnswer = 4002,

    Code_ListenFailed = 5001,
    Code_ForcedStop = 5002,
    Code_Usage = 5003,
    Code_StatusUnreachable = 5004,
};

struct CodeInfo
{
    Code_ Code;
    const char* Name; // Name without the prefix, as in docs/CODES.md.
    int HttpStatus;   // Status of the answer to the caller; 0 if the code is never sent to callers.
    const char* Text; // One-line description.
};

// All codes, in ascending order.
const std::vector<CodeInfo>& AllCodes();

// The entry of one code. Asserts that the code is listed.
const CodeInfo& FindCode(Code_ code);

struct Error
{
    Code_ Code = Code_None;
    std::string Detail; // Where and why: file, key path, expected value.
};

template <class T> using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, Error>;

//-----------------------------------------------------------------------------
// [SECTION] Addresses
//-----------------------------------------------------------------------------

struct Endpoint
{
    uint32_t Ip = 0;   // IPv4, host order.
    uint16_t Port = 0; // UDP or TCP port.
};

bool operator==(const Endpoint& a, const Endpoint& b);

// "a.b.c.d:port" with a port from 1 to 65535; Code_TableBadAddress for anything else.
Result<Endpoint> ParseEndpoint(const std::string& address);
std::string FormatEndpoint(const Endpoint& endpoint);
bool IsAddress(const std::string& address);

//-----------------------------------------------------------------------------
// [SECTION] Table (what operators edit)
//-----------------------------------------------------------------------------

inline constexpr size_t TableRowsMax = 2048;         // Rows in one table.
inline constexpr size_t RowTargetsMax = 512;         // Targets in one row.
inline constexpr size_t RowMethodsMax = 16;          // Methods in one row's list.
inline constexpr size_t MethodMax = 32;              // Letters of a method.
inline constexpr size_t TextMax = 256;               // Bytes of a name, host, prefix or address.
inline constexpr size_t RowValueMax = MiB;           // Bytes of one row's document.
inline constexpr size_t TableDocumentMax = 16 * MiB; // Bytes of the whole document; 600 rows of 11 targets are some 1.4 MB.

enum Class_ : int
{
    Class_Critical,   // Served first where slots are short.
    Class_Normal,     // Served before background.
    Class_Background, // Served last; may wait.
    Class_COUNT,
};

const char* ClassName(Class_ value);

struct TargetRow
{
    std::string Address;    // "IP:port".
    std::string DataCentre; // Where it runs; compared with the instance's own.
    int Weight = 1;         // How often it is tried first, relative to others, 0 (no work) to 1000.
    int Slots = 1;          // Requests it works on at once.
};

struct ServiceRow
{
    std::string Name;                       // Unique in the table.
    std::string PathPrefix;                 // Requests whose path starts so belong to the row; may be empty if Host is set.
    std::string Host;                       // Requests with this Host header; empty means any.
    Class_ Class = Class_Normal;            // Who gives way to whom.
    int ConnectionsPerInstance = 16;        // Connections that one instance holds to one target, at the most.
    int RequestsPerInstance = 0;            // Requests of the row in progress at one instance, at the most; 0: no limit.
    int DeadlineMs = 1000;                  // Deadline where the caller names none.
    int AimMs = 0;                          // An answer within this time is good; 0: half of DeadlineMs.
    int AttemptsMost = 3;                   // Targets that one request may be sent to.
    std::string HealthPath;                 // GET of it tells a target's load at once; empty: targets are never asked.
    std::vector<std::string> RepeatMethods; // Methods that may be run more than once.
    std::vector<TargetRow> Targets;         // At least one.
};

struct Table
{
    uint64_t Revision = 0;              // Grows with each edit; 0: no table yet.
    std::vector<ServiceRow> Rows;       // As the document names them.
    std::vector<std::string> Evacuated; // Data centres whose targets get nothing, each once.
};

struct Fault
{
    Code_ Code = Code_None; // Which check failed.
    std::string Where;      // Key path, such as "rows[3].targets[0].weight".
    std::string Detail;     // What was expected and what was found.
};

struct CheckedTable
{
    Table Value;               // Meaningful only when Faults is empty.
    std::vector<Fault> Faults; // All faults, in document order.
};

// Reads the operators' document (docs/OPERATORS.md). Reports every fault, not only the first.
CheckedTable ParseTable(const std::string& json);

// All checks on a table that was put together from rows.
std::vector<Fault> CheckTable(const Table& table);

// Reads one row of the document by itself.
Result<ServiceRow> ParseRow(const std::string& json);

// The row and the table as documents.
std::string FormatRow(const ServiceRow& row);
std::string FormatTable(const Table& table);

//-----------------------------------------------------------------------------
// [SECTION] Customers (who may call, and how much; known by the keys of their requests)
//-----------------------------------------------------------------------------

// Keys are secrets of customers. Only their hashes are stored, compared and sent to other instances.
inline constexpr size_t KeyHashBytes = 16;
using KeyHash = std::array<uint8_t, KeyHashBytes>;

KeyHash HashKey(const std::string& key);
std::string FormatKeyHash(const KeyHash& hash);               // Hexadecimal digits.
std::optional<KeyHash> ParseKeyHash(const std::string& text); // None if the text is not a hash in hexadecimal digits.

struct Customer
{
    std::string Name;            // Unique in the plan.
    uint64_t Id = 0;             // Hash of the name, used between instances.
    std::vector<KeyHash> Keys;   // Any of them authenticates a request.
    std::optional<int> Priority; // Replaces the route's priority for its requests.
    double RatePerS = 0;         // Quota: requests a second over the whole fleet; 0: unlimited.
    double Burst = 0;            // Requests in addition, in any window.
};

struct KeyHashHasher
{
    size_t operator()(const KeyHash& hash) const; // Takes the first bytes: a hash is uniformly distributed.
};

struct Customers
{
    bool Required = false; // Requests need a key, except on public routes.
    std::vector<Customer> List;
    std::unordered_map<KeyHash, size_t, KeyHashHasher> ByKey; // Index into List.
    std::unordered_map<uint64_t, size_t> ById;                // Index into List.
};

// Adds a customer and its keys. Code_PlatformBadAnswer if another customer has its name or one of its keys.
Result<void> AddCustomer(Customers* customers, Customer customer);

// The customer that has the key, or null.
const Customer* FindCustomer(const Customers& customers, const KeyHash& key);

// The customer with that id, or null.
const Customer* FindCustomerById(const Customers& customers, uint64_t id);

//-----------------------------------------------------------------------------
// [SECTION] Route plan (what an instance serves; newer versions win)
//-----------------------------------------------------------------------------

// A part of a route's requests goes to each of its services.
struct RoutePart
{
    std::string Service; // Which service.
    int Weight = 1;      // Its share is Weight / sum of weights.
};

struct Route
{
    std::string Name;                       // Unique in the plan.
    std::string Host;                       // Requests with this Host header; empty: with any, where no route names theirs.
    std::string PathPrefix;                 // Requests whose path is this or lies below it.
    std::vector<RoutePart> Parts;           // At least one.
    bool Repeatable = false;                // Requests of any method may be run more than once.
    std::vector<std::string> RepeatMethods; // Where not Repeatable: methods that may be.
    TimeUs TimeoutUs = 0;                   // A request is answered by then, whatever the answer.
    TimeUs AimUs = 0;                       // An answer within this time is good.
    int Priority = 0;                       // 0 is the most urgent.
    int AttemptsMost = 1;                   // Targets that one request may be sent to.
    bool Public = false;                    // Its requests need no customer's key.
};

struct ServiceInfo
{
    std::string Name;        // Unique in the plan.
    std::string HealthPath;  // GET of it tells health and load of a target; empty: targets are not asked.
    int ConnectionsMost = 0; // Connections to one target, at the most; 0: no limit.
    int RequestsMost = 0;    // Requests in progress at this instance, at the most; 0: no limit.
    double ColdPerS = 0;     // Requests a second, of all instances, that a target bears while it is cold; 0: nothing is said of it.
    TimeUs ColdUs = 0;       // How long a target is cold.
};

// What callers may send.
struct CallerLimits
{
    size_t HeaderBytesMost = 16 * KiB;
    size_t BodyBytesMost = 64 * MiB;
    TimeUs HeaderTimeoutUs = 3 * UsPerSecond; // To read all headers.
    TimeUs IdleTimeoutUs = 15 * UsPerSecond;  // Between two requests of a connection.
};

struct RoutePlan
{
    uint64_t Version = 0; // 0: no plan yet. Higher versions replace lower ones, never the reverse.
    std::vector<Route> Routes;
    std::vector<ServiceInfo> Services;
    CallerLimits Limits;
    Customers Callers;
};

using RoutePlanPtr = std::shared_ptr<const RoutePlan>;

// The plan that serves a table: a route and a service for each row, under the table's revision.
RoutePlan MakePlan(const Table& table);

int64_t SumOfWeights(const std::vector<RoutePart>& parts);

// The route of a request: of those with its host, else of those with none, the one with the longest prefix of the path. "/a" serves "/a"
// and "/a/b" but not "/ab". Null if none. The port in `host` and the query in `target` are passed over.
const Route* FindRoute(const RoutePlan& plan, const std::string& host, const std::string& target);

// Whether a request of that method may be run more than once.
bool MayRepeat(const Route& route, const std::string& method);

// The service of that name, or null.
const ServiceInfo* FindService(const RoutePlan& plan, const std::string& name);

// Smooth weighted round robin: after any number of requests each part is within one request of its share. Instances start at random
// places, so that their rounding errors cancel out.
struct RouteSplit
{
    std::vector<RoutePart> Parts; // Those that Credit belongs to.
    std::vector<int64_t> Credit;  // What each part is behind its share, in weights.
};

// The part that gets the next request.
size_t RouteSplitNext(RouteSplit* split, const std::vector<RoutePart>& parts, Random* random);

//-----------------------------------------------------------------------------
// [SECTION] Target directory (which targets there are, as a lagging store tells it)
//-----------------------------------------------------------------------------

enum Presence_ : int
{
    Presence_Ready,
    Presence_Leaving,  // It said that it leaves: no new request.
    Presence_Vanished, // Its entry went without a word: it left, it crashed, or the store lost it. Used only where nothing else is left.
    Presence_COUNT,
};

struct DirectoryTarget
{
    std::string Id;         // Of the target.
    uint64_t Life = 0;      // Which start of it: another start under the same id has another number; 0: starts have ids of their own.
    std::string Service;    // Which service it belongs to.
    std::string Address;    // IP:port; may have belonged to another target before.
    std::string DataCentre; // Where it runs.
    int Slots = 1;          // Requests it works on at once.
    int Weight = 1;         // How often it is tried first, relative to others.
    Presence_ Presence = Presence_Ready;
    TimeUs WarmUntilUs = 0; // It is slow until then.
    TimeUs ForgetUs = 0;    // When Vanished: gone for good from then on.
    uint64_t Revision = 0;  // Of the store, when the entry last changed.
    bool Evacuated = false; // Its data centre is: no new request. Kept by the directory; not part of the entry.
};

struct DirectoryConfig
{
    TimeUs VanishedUs =
        1300 * UsPerMs; // An entry that went is kept so long. Targets serve on for 2 s after it, and we learn of it up to 0.4 s late.
    TimeUs ReturnUs = 2200 * UsPerMs;     // After trouble of the store, entries that it lost are back by then.
    TimeUs TroubleMemoryUs = UsPerSecond; // Entries that go so soon after trouble may have been lost by the store.
};

// The latest word of the operators on one data centre.
struct Evacuation
{
    bool InForce = false;  // Its targets get nothing; false: it was given back.
    uint64_t Revision = 0; // Of the store, when that was said.
};

struct TargetDirectory
{
    DirectoryConfig Config;
    std::map<std::string, DirectoryTarget> Targets; // By id.
    std::map<std::string, Evacuation> Evacuations;  // By data centre. Those given back are kept, so that nothing older counts again.
    std::set<std::string> ChangedServices;          // Services of targets that have changed since DirectoryTakeChanged().
    std::vector<std::string> Ended;                 // Targets' lives that ended without a word since DirectoryTakeEnded().
    uint64_t Changes = 0;                           // Grows with each change.
    TimeUs TroubleUs = 0;                           // When the store last failed; 0 if never.
    bool InTrouble = false;                         // It failed and has not answered since.
    TimeUs ReturnedUs = 0;                          // When it answered again.
};

using TargetList = std::vector<const DirectoryTarget*>; // Borrowed from a directory, until its next change.

// All targets of each service, by its name.
std::map<std::string, TargetList> DirectoryByService(const TargetDirectory& directory);

// The same of some services only; each of them is in the result.
std::map<std::string, TargetList> DirectoryOfServices(const TargetDirectory& directory, const std::set<std::string>& services);

// Takes note that all changes so far are known. Returns the services that they concern.
std::set<std::string> DirectoryTakeChanged(TargetDirectory* directory);

// Takes note of targets that have ended without having said that they leave, as far as that can be known. Returns their lives (see
// TargetLife()). Not among them: what a store in trouble may have lost.
std::vector<std::string> DirectoryTakeEnded(TargetDirectory* directory);

// The store failed to answer, or answers again.
void DirectoryTrouble(TargetDirectory* directory, TimeUs now);
void DirectoryAnswered(TargetDirectory* directory, TimeUs now);

// An entry as the store tells it. One that is older than what is known is passed over.
void DirectoryPut(TargetDirectory* directory, const DirectoryTarget& target, TimeUs now);

// The store says that an entry went at that revision.
void DirectoryRemove(TargetDirectory* directory, const std::string& id, uint64_t revision, TimeUs now);

// These are all entries as of a revision: what is not among them and not newer went.
void DirectoryKeep(TargetDirectory* directory, const std::set<std::string>& ids, uint64_t revision, TimeUs now);

// The operators evacuate a data centre, or give it back. It holds until they say otherwise, for targets that are not known yet too. An
// older word than the last one is passed over. True if anything changed.
bool DirectoryEvacuate(TargetDirectory* directory, const std::string& data_centre, const Evacuation& word);

// These data centres are all that were evacuated as of a revision: others that have nothing newer were given back. Returns those.
std::vector<std::string> DirectoryKeepEvacuated(TargetDirectory* directory, const std::set<std::string>& data_centres, uint64_t revision);

// Its address belongs to another target now, as that one says, though the store does not tell yet that it is gone.
void DirectoryLeaves(TargetDirectory* directory, const std::string& id);

// That life of a target says itself that it leaves, before its entry does. True if that is new.
bool DirectoryToldLeaving(TargetDirectory* directory, const std::string& id, uint64_t life);

// Forgets vanished entries when their time is over. True if any went.
bool DirectoryTick(TargetDirectory* directory, TimeUs now);

// When the next vanished entry must be forgotten; none if there is no such entry.
std::optional<TimeUs> DirectoryNextForget(const TargetDirectory& directory);

//-----------------------------------------------------------------------------
// [SECTION] Target pool (which target to ask for its load, and which to take)
//-----------------------------------------------------------------------------

// What a target tells of its load.
struct LoadReport
{
    int Running = 0;       // Requests it works on.
    int Waiting = 0;       // Requests in its queue.
    int Slots = 1;         // Requests it can work on at once.
    int PacePercent = 100; // Time that work takes there now; 100 is usual.
};

// How long a target may take to tell its load before it is passed over: learnt for each service from what its targets take, as a slow
// target takes several times as long as another, and a dead one for ever. The time grows with each answer that does not come within it and
// shrinks a little with each that does, so that in the mean one in LateShare comes too late, whatever targets and network take.
//
// A constant is either too short for slow targets, whose connections then are taken for silent ones and given up, or too long for fast
// ones.
struct AskTime
{
    TimeUs LeastUs = 40 * UsPerMs; // Answers of targets in good order, on a network in good order, come within it.
    TimeUs MostUs = 160 * UsPerMs; // Targets that never answer must not hold a request for longer.
    double LateShare = 0.005;      // Answers that may come too late.
    double Growth = 1.5;           // After a late one.
    double NowUs = 0;              // What it is now; 0: LeastUs, as nothing is known.
};

TimeUs AskTimeNow(const AskTime& time);
void AskTimeAnswered(AskTime* time);
void AskTimeLate(AskTime* time);

// The load in "running,waiting,slots,pace"; the pace may be missing. None where the text is no such list.
std::optional<LoadReport> ParseLoadReport(const std::string& text);

struct PoolTarget
{
    std::string Id;
    uint64_t Life = 0;   // Which start of it, as its entry says.
    uint64_t LifeId = 0; // Stands for both, see TargetLifeId().
    std::string Address;
    bool Near = false;         // In our own data centre.
    bool Doubtful = false;     // Its entry has vanished.
    int Slots = 1;             // As its entry says.
    int Weight = 1;            // As its entry says.
    TimeUs WarmUntilUs = 0;    // It is cold, and slow, until then.
    int ColdSent = 0;          // Our requests to it since it was last cold.
    bool New = false;          // It came while the pool was in use and has had no request of ours.
    int64_t Order = 0;         // Among equals the lowest is asked first: an instance keeps to the same few, and to their connections.
    uint64_t Entry = 0;        // Counts entries into the pool: a target that left it and came back has another one.
    int InFlight = 0;          // Our requests there, of this entry.
    int Since = 0;             // Of those, sent since Report was made.
    LoadReport Report;         // The last one.
    TimeUs ReportUs = 0;       // When it came; 0: never.
    int FailuresInRow = 0;     // Requests and questions without a good answer.
    TimeUs AvoidUntilUs = 0;   // After failures: taken only where nothing else is left.
    TimeUs CarefulUntilUs = 0; // After failures: it gets what may not be repeated only where nothing better is left.
    TimeUs BackoffUntilUs = 0; // It asked for nothing from us until then, see PoolBackOff().

    // Kept by the pool.
    int Group = 0;       // See PoolIndex.
    bool Marked = false; // The same.
    uint64_t Listed = 0; // The last PoolFollow() that named it.
};

inline constexpr int PoolGroupCount = 4; // Near and far, of one slot and of several.

// Finds targets without a look at all of them, so that a decision costs the same whatever the size of a service: with 6,600 targets the
// next one to ask is found in 0.6 us (362 us by a look at all), and one by its id in 0.02 us (winchbench pool).
//
// Most targets are at rest: nothing is known of them, and nothing of ours is there. Of these the one that comes first in its group is the
// best. All others are marked and looked at one by one: those asked of late, with requests of ours, new, cold, doubtful or failed. Whoever
// gets a pointer to a target may change it, so it is marked then; marks are dropped when a target is found at rest.
struct PoolIndex
{
    std::unordered_map<std::string, std::list<PoolTarget>::iterator> ById;
    std::array<std::set<std::pair<int64_t, PoolTarget*>>, PoolGroupCount> Groups; // By Order.
    std::vector<PoolTarget*> Marked;
};

struct PoolConfig
{
    double NearlyFullShare = 0.8;       // Some targets are slower when fuller than this (users' site files, "knee").
    double NearlyFullGain = 0.05;       // Least weight of a new answer in the estimate of by how much.
    int NearlyFullPrior = 3;            // The first guess counts as so many answers.
    double NearlyFullMost = 3.0;        // Longest factor that one answer may tell: more has other causes.
    double WarmFactor = 2.0;            // Those that have just started are slower too.
    double ColdPerS = 0;                // As the service says, see ServiceInfo.
    TimeUs ColdUs = 0;                  // The same.
    double ShareGain = 0.02;            // Weight of a new report in the estimate of our share of a service's work: some 50 reports.
    double SharePrior = 10;             // Requests that others are taken to have in progress beyond those reported: a start takes little.
    double GoodCost = 1.25;             // A target at this cost or less is taken without asking further.
    double SettleCost = 2.0;            // At this cost or less it is taken when no good one was found: see PoolSettles().
    TimeUs ReportUs = 150 * UsPerMs;    // Load shifts within this time: an older report says nothing (users' site files, "noise").
    TimeUs AvoidUs = 200 * UsPerMs;     // First pause after a failure; doubles with each further one.
    int AvoidDoublings = 4;             // At most so often.
    TimeUs CarefulUs = 3 * UsPerSecond; // A failure speaks against requests that may not be repeated for so long.
};

struct TargetPool
{
    PoolConfig Config;
    std::list<PoolTarget> Targets; // PoolFollow() alone changes who is there.
    PoolIndex Index;               // Over Targets.
    uint64_t Follows = 0;          // Calls of PoolFollow().
    bool InUse = false;            // It has had a request: targets that come later are new.
    bool TellsLoad = true;         // Targets of this service tell their load; false once one has answered without.
    double NearlyFullFactor = 1.4; // How many times longer work takes at a nearly full target: learnt, from a guess between none and 1.8.
    int NearlyFullSeen = 0;        // Answers that it was learnt from.
    double ReportedWork = 0;       // Requests at one target, in the mean of those that told theirs of late.
    double OwnWork = 0;            // Our requests in progress, in the mean of the same moments.
    std::unordered_map<uint64_t, TimeUs> Backoffs; // By life: targets that want nothing until then, also while they are not in the pool.
    int Evacuated = 0;                             // Targets of the service that are left out because their data centre is evacuated.
    uint64_t LastEntry = 0;                        // See PoolTarget.

    TargetPool() = default;
    TargetPool(TargetPool&&) = default;
    TargetPool& operator=(TargetPool&&) = default;
    TargetPool(const TargetPool&) = delete; // The index points into it.
    TargetPool& operator=(const TargetPool&) = delete;
};

// Brings the pool in line with the targets of its service; what is known of targets that stay is kept. Targets that leave, and those of
// evacuated data centres, are not in it, so that nothing that looks for a target finds them. Of the new targets one is asked first for each
// request until all have had one.
void PoolFollow(TargetPool* pool, const TargetList& listed, const std::string& data_centre, Random* random);

// A request goes to the target.
void PoolSent(TargetPool* pool, PoolTarget* target);

// The target of that id, or null. A pointer is good until the pool is used again.
PoolTarget* PoolFind(TargetPool* pool, const std::string& id);

// The same, as long as it is that entry: one that has come back since, or started again, is another one to whoever had to do with it.
PoolTarget* PoolFindEntry(TargetPool* pool, const std::string& id, uint64_t entry);

// The next target to ask, or to try where targets tell no load; null when all are in `passed`. `careful`, for what may not be repeated:
// those that have failed of late come after those that have not.
PoolTarget* PoolNext(TargetPool* pool, const std::vector<std::string>& passed, bool careful, TimeUs now);

// The same where targets are not asked: among equals by chance, as nothing would tell an instance that others keep to the same ones.
PoolTarget* PoolNextUnasked(TargetPool* pool, const std::vector<std::string>& passed, bool careful, TimeUs now, Random* random);

// Whether one more request would make the target nearly full.
bool PoolNearlyFull(const PoolConfig& config, const LoadReport& report, int more);

// Whether the target's last report leaves room for one more request. Where nearly full targets are so much slower that they do less in
// all, their last slots are not used (docs/MEASUREMENTS.md).
bool PoolHasRoom(const TargetPool& pool, const PoolTarget& target);

// Whether a target may get a request although it is cold; true for those that are not, and where nothing is said of what they bear.
//
// Nobody counts the fleet, and a target that fails at once looks idle to everybody. So each instance takes its share of the rate that the
// target bears, and its share is that of the work: its own requests in progress, against what targets report of all. The shares of a fleet
// add up to one. Each instance's requests to a cold target fall at even distances after a random beginning, so that those of the fleet come
// as by chance, at the rate in the mean. Besides, the target must have told just now that it has nothing to do. (ColdLoadTest: of 18 to
// 473 instances that find a whole service cold and failing at once, a target gets 5 requests in any second at the most, where the users
// allow 11.75; without the share 9 to 76.) What it costs: cold targets get about a quarter of what they bear.
bool PoolMayTakeCold(const TargetPool& pool, const PoolTarget& target, TimeUs now);

// Learns from a report what our share of the service's work is; `own`: our requests in progress.
void PoolLearnShare(TargetPool* pool, const LoadReport& report, int own);

// The target says itself how long it is still cold.
void PoolToldCold(const PoolConfig& config, PoolTarget* target, TimeUs until);

// Learns from an answer how much slower nearly full targets are: it took `factor` times what the same work takes elsewhere.
void PoolLearnNearlyFull(TargetPool* pool, double factor);

// How many times longer than usual one more request is expected to take there.
double PoolCost(const TargetPool& pool, const PoolTarget& target, TimeUs now);

// Whether a target that has room is taken, once those asked are known and none of them is good, rather than wait for a better one. One that
// is nearly full is, as long as it does no less in all with its last slot in use (twice the usual time, at two slots); a slow one is not.
//
// What it buys: with two slots the target of one request in progress is nearly full, and up to half of all are. At 1.6 requests were
// refused beside them: 0.696 of the worth of four days with bursts, evacuations and losses against 0.737 at 2.0, in time 0.876 and 0.915
// (two seeds each); with three and six slots no difference beyond the spread (TwoSlotLoadTest).
bool PoolSettles(const TargetPool& pool, const PoolTarget& target, TimeUs now);

// That life of a target wants nothing from us until then: no request, no question. It holds whatever else the target answers, and for one
// that leaves the pool and comes back; another start of it has asked for nothing. True if it could be used until now.
bool PoolBackOff(TargetPool* pool, const std::string& id, uint64_t life, TimeUs until, TimeUs now);

// Whether the target may get anything now.
bool PoolMayUse(const PoolTarget& target, TimeUs now);

// When the first target may get something again; none if one may now, or there is none.
std::optional<TimeUs> PoolBackoffEnds(const TargetPool& pool, TimeUs now);

void PoolReport(PoolTarget* target, const LoadReport& report, TimeUs now);
void PoolFailed(const PoolConfig& config, PoolTarget* target, TimeUs now);
void PoolGood(PoolTarget* target);

//-----------------------------------------------------------------------------
// [SECTION] Repeat budget (which requests may be sent twice)
//-----------------------------------------------------------------------------

// Limits retries to a share of the requests of the last window. Each instance keeps its own budget; the share then also holds for the
// fleet.
struct RepeatBudget
{
    static constexpr size_t Steps = 20; // Parts of the window.

    struct Step
    {
        int64_t Number = -1; // Time divided by the length of a step; -1: unused.
        int Requests = 0;
        int Repeats = 0;
    };

    double Share = 0.2;                   // Retries allowed per request.
    int Extra = 1;                        // Retries allowed per window in addition.
    TimeUs WindowUs = 10 * UsPerSecond;   // Length of the window.
    std::array<Step, 2 * Steps> Counts{}; // Ring, by step number.
};

// Counts a request.
void RepeatBudgetRequest(RepeatBudget* budget, TimeUs now);

// Takes one retry if the budget allows it. `part`: part of the budget that may be used, 0 to 1.
bool RepeatBudgetTake(RepeatBudget* budget, double part, TimeUs now);

// Gives back an unused retry that was taken at `taken`. It is deducted from the step in which it was counted, if that is still kept.
void RepeatBudgetReturn(RepeatBudget* budget, TimeUs taken);

//-----------------------------------------------------------------------------
// [SECTION] Quarantine (requests that end the targets that run them)
//-----------------------------------------------------------------------------

// Some requests end every target that begins to run them, and their callers send them again. Each try has another request id and comes to
// another instance, so that repeat budgets don't see it, and no instance alone meets enough of the ends. So each instance remembers which
// targets have ended under which request, by what stays the same at every try (a key), and tells the others; what all have seen together
// decides. Held requests are refused; without that one such request, sent again every 0.4 s, ends a service of twelve targets for good.
//
// A request that merely was at a target when it ended must not be taken for the one that ended it. So an answer, wherever it comes from,
// clears a request of all ends before; one that ends its targets is never answered. (QuarantineLoadTest: 40 callers that ask for the same
// page every 0.4 s while a target is killed twice a second: none of 6,000 tries is refused wrongly, 104 without clearing.)
//
// How to use it: QuarantineNote() for each request in progress at a target that has ended, QuarantineAnswered() when one was answered,
// QuarantineUntil() before one is sent; hand on QuarantineTell() where digests differ, and take what comes with QuarantineTake(). In
// whatever order news come, all that have heard the same hold the same requests.

struct QuarantineConfig
{
    int EndsMost = 3;                              // A request is held once so many targets have ended under it: the users allow three.
    TimeUs HoldUs = 600 * UsPerSecond;             // So long after the last end; doubled for each time that it ended a target again later.
    TimeUs HoldMostUs = 24 * 3600LL * UsPerSecond; // The longest time that it is held: targets have been mended by then.
    size_t RequestsMost = 512;                     // Requests that are remembered; those with the fewest ends go first. 100 KB.
    size_t EndsKept = 64;                          // Targets that are remembered of each.
};

// A target that ended while the request was there.
struct TargetEnd
{
    TimeUs AtUs = 0;      // When.
    bool Cleared = false; // The request has been answered since, or an operator has lifted it.
};

struct SuspectRequest
{
    std::map<std::string, TargetEnd> Ends; // By target and its life.
    TimeUs HeldUntilUs = 0;                // It is refused until then; 0: it is not.
};

// What instances tell each other.
struct TargetEndNews
{
    std::string Request; // Key.
    std::string Target;  // And its life.
    TimeUs AgeUs = 0;    // How long ago.
    bool Cleared = false;
};

struct Quarantine
{
    QuarantineConfig Config;
    std::map<std::string, SuspectRequest> Requests; // By key. Empty on nearly all days: then no request costs anything.
    uint64_t Digest = 0;                            // Of all that is known but the times: alike where the same is known. 0: nothing is.
};

// A target's name in here: its id and which start of it.
std::string TargetLife(const std::string& id, uint64_t life);

// A number that stands for it.
uint64_t TargetLifeId(const std::string& id, uint64_t life);

// A target has ended while the request was in progress there. True if that was not known.
bool QuarantineNote(Quarantine* quarantine, const std::string& request, const std::string& target, TimeUs now);

// The request was answered, or an operator lifts it: its ends so far count no more. True if there were any.
bool QuarantineAnswered(Quarantine* quarantine, const std::string& request);

// Until when the request is refused; 0: it is not.
TimeUs QuarantineUntil(const Quarantine& quarantine, const std::string& request, TimeUs now);

// Ends that count against the request.
int QuarantineEnds(const Quarantine& quarantine, const std::string& request);

// All that is known, and what another instance has told. True if any of it was new. News that make no sense are passed over.
std::vector<TargetEndNews> QuarantineTell(const Quarantine& quarantine, TimeUs now);
bool QuarantineTake(Quarantine* quarantine, const std::vector<TargetEndNews>& news, TimeUs now);

// Forgets what is too old to count. Call it every second or so.
void QuarantineForget(Quarantine* quarantine, TimeUs now);

//-----------------------------------------------------------------------------
// [SECTION] Silent ends (targets that end without closing their connections)
//-----------------------------------------------------------------------------

// A target whose machine falls silent closes no connection: what it was working on is never answered, as behind a cut or at a target that
// hangs. Only later does the store tell the difference: another start has its id or its address, or its entry goes though nobody said that
// it leaves. So attempts that ended unanswered are remembered for a while, and so are such targets: an attempt may still wait when its
// target's end is known. Without it a request that silences its targets is never held, however many (SilentEndsTest: none of its ends
// counts).
//
// How to use it: SilentAttemptEnded() for each attempt that ended unanswered, SilentTargetEnded() for each of DirectoryTakeEnded(),
// SilentAnswered() when a request was answered. What they return are ends for the quarantine.

struct SilentAttempt
{
    std::string Request; // Key.
    std::string Target;  // And its life.
    TimeUs SentUs = 0;   // When it began.
};

struct SilentTarget
{
    std::string Target;  // And its life.
    TimeUs LearntUs = 0; // When it was known to have ended.
};

struct SilentEnds
{
    TimeUs WithinUs =
        8 * UsPerSecond;              // A target that ends under an attempt is known to have ended so soon after the attempt's start: an
                                      // entry goes after three heartbeats of up to 1.5 s; the rest is for the work, the store and a margin.
    TimeUs KeptUs = 60 * UsPerSecond; // Such a target is remembered for so long: attempts wait no longer for an answer.
    size_t Most = 512;                // Attempts, and targets, that are remembered; the oldest go first. 100 KB.
    std::deque<SilentAttempt> Attempts; // In the order in which they ended.
    std::deque<SilentTarget> Targets;   // In the order in which they were learnt.
};

// An attempt ended without an answer. True if its target is known to have ended under it; else that may still turn out.
bool SilentAttemptEnded(SilentEnds* silent, const SilentAttempt& attempt, TimeUs now);

// A target ended without a word. Returns the attempts under which it did.
std::vector<SilentAttempt> SilentTargetEnded(SilentEnds* silent, const std::string& target, TimeUs now);

// The request was answered: its former attempts say nothing any more.
void SilentAnswered(SilentEnds* silent, const std::string& request);

// Forgets what is too old to count. Call it every second or so.
void SilentForget(SilentEnds* silent, TimeUs now);

//-----------------------------------------------------------------------------
// [SECTION] Return schedule (when refused callers may come back)
//-----------------------------------------------------------------------------

// Computes when refused callers should retry (Retry-After). Retries are spaced so that they take at most a fixed share of the measured
// service rate. In a short overload the next retry time is near; in a long one the schedule extends up to MostUs, so that retries don't
// take slots from requests that can still be served in time. Each instance knows only its own refusals and service rate, so load has to be
// spread evenly over the instances.
struct ReturnSchedule
{
    TimeUs LeastUs = 300 * UsPerMs;         // Minimum delay of a retry, before jitter: about the duration of one request.
    TimeUs MostUs = 5 * UsPerSecond;        // Maximum delay of a retry, before jitter.
    double Share = 0.25;                    // Part of the service rate for retries; the rest is for new requests.
    double Spread = 0.2;                    // Jitter, as a part of the delay.
    TimeUs ServedDecayUs = 2 * UsPerSecond; // Time constant of the exponential decay of Served.
    double Served = 10;                     // Served requests, decayed; starts above 0 so that a start is not taken for an overload.
    TimeUs ServedUs = 0;                    // When Served was last updated.
    TimeUs NextUs = 0;                      // The latest retry time that was assigned.
};

// Counts a served request.
void ReturnScheduleServed(ReturnSchedule* schedule, TimeUs now);

// Assigns the next retry time to a refused caller; returns the delay from now.
TimeUs ReturnScheduleTake(ReturnSchedule* schedule, TimeUs now, Random* random);

//-----------------------------------------------------------------------------
// [SECTION] Quotas (what customers may ask, and targets take, of the whole fleet, though nobody counts it)
//-----------------------------------------------------------------------------

// A customer's quota limits its requests in any window, summed over all instances. A single instance sees too small a part of the traffic
// to tell whether a customer exceeds its quota, so admission is decided from fleet-wide sums:
//
//  - Reports go up the tree. Each instance counts the requests it got and admitted per customer, and periodically sends the sums of itself
//    and of its followers to its source. The seeds exchange their sums, so that each of them knows the whole fleet.
//  - Decisions go down the tree. Each seed computes for every customer the share of its requests (0 to 1) that may be admitted, and answers
//    the reports with these shares. Each instance admits that share of the requests it gets.
//
// Reports hold totals and no changes, so lost and duplicated ones do no harm. Decisions steer the admitted sum of the last window towards
// the quota plus a part (ToleranceUsed) of the tolerance; the rest of the tolerance absorbs the delay of reports and decisions.
//
//  - Partition: instances that stopped reporting may still admit requests. The others use only their part of the quota, which is their
//    number divided by the largest recent number of instances.
//  - No decision received: an instance admits requests by itself, from an allowance that fills at the rate of its even part of the quota.
//    The allowance starts with one request of each customer, or, in a large fleet, with one or none by chance.
//  - Restart: an instance doesn't know what it admitted before it started. Its part of the quota counts as used up for that time.
//
// An overloaded target can name a limit in its answers: requests a second from all instances together. The same mechanism enforces it, with
// a Quota of its own in which requests are counted by target. These limits are not part of the plan: they spread with reports and decisions
// from the instance that got the answer. A request that is not admitted at one target goes to another. After a restart of the fleet or
// while a limit is new, each instance admits at most EvenPartsMax times its even part.
//
// How to use it: QuotaTake() for each request of a customer with a quota, QuotaReturn() for one that no target has run; QuotaDecide()
// after each received report and every QuotaReportIn(), then send QuotaReports() to the source or, from a seed, to the other seeds. Pass
// received reports to QuotaHeardReport() and answer them with QuotaAnswers(), which the sender passes to QuotaHeardAnswer(). For targets:
// TargetQuotaConfig(), QuotaName() for each of their answers, and QuotaTakeNamed() and QuotaDecideNamed() in place of QuotaTake() and
// QuotaDecide().

struct QuotaConfig
{
    TimeUs WindowUs = 5 * UsPerSecond;         // Requests are counted over this time.
    double Overage = 0.25;                     // Tolerance in a window, as a part of the quota,
    double Slack = 20;                         // plus this number of requests.
    double ToleranceUsed = 0.3;                // Part of the tolerance that is added to the quota; the rest absorbs reporting delays.
    TimeUs ReportUs = 250 * UsPerMs;           // Report interval of instances without followers,
    TimeUs ForwardUs = 100 * UsPerMs;          // and of seeds and instances with followers, to limit the delay at each level of the tree.
    TimeUs DecideUs = 50 * UsPerMs;            // Minimum time between two decisions.
    TimeUs ReportExpiryUs = 750 * UsPerMs;     // Reports and decisions expire after this time: two in a row may be lost.
    TimeUs MembersExpiryUs = 60 * UsPerSecond; // Instances that stopped reporting are assumed to admit requests for this time.
    TimeUs CorrectionUs = 1500 * UsPerMs;      // Time constant of the correction of the window's sum; longer than the delay of reports.
    double CoveredMin = 0.5;                   // Below this covered part of the window, the fleet counts as just started.
    double EvenPartsMax = 3;                   // Maximum of an instance after a start of the fleet, in multiples of its even part.
    double MembersDefault = 100;               // Assumed number of instances while none is known.
    double PartitionedShare = 0.25;            // Part of the fleet that may each admit one request without a decision within Slack.
    double BurstShare = 2; // From this share on, an instance admits at most EvenPartsMax times its even part; above 1: no such bound.
    double TargetPerSMin = 1.0 / 60;        // Minimum rate of a target with a limit, so that its answers can report a higher limit.
    TimeUs NamedKeptUs = 300 * UsPerSecond; // A target's limit expires this long after it was last named.
    TimeUs LiftedKeptUs = 10 * UsPerSecond; // The end of a limit is passed on for this time.
};

// The configuration for limits of targets: a window of 4 s, and a tolerance of half the limit plus 5 requests.
QuotaConfig TargetQuotaConfig();

// A limit that a target named in an answer. The latest answer to any instance holds.
struct TargetLimit
{
    double PerS = 0;      // Requests a second, from all instances together.
    bool InForce = false; // False: the latest answer named no limit.
    TimeUs HeardUs = 0;   // When the answer was received.
};

// Request counts of one customer or target.
struct QuotaCount
{
    double Admitted = 0;     // Requests in the last window.
    double Leaving = 0;      // Admitted requests a second in the oldest second of the window, which expire next.
    double Wanted = 0;       // Requests a second, admitted or not, over the last second.
    double RecentWanted = 0; // The same in the current or previous step, whichever has more; detects sudden increases.
};

// Requests counted in one step of the window.
struct QuotaStep
{
    int64_t Number = -1; // Time divided by the length of a step; -1: unused.
    int Wanted = 0;
    int Admitted = 0;
};

// What this instance has counted for one customer or target.
struct QuotaUse
{
    static constexpr int Steps = 20;              // Parts of the window.
    std::array<QuotaStep, Steps + 4> Counts = {}; // Ring, by step number.
    double Credit = 0;                            // Sum of shares; a request is admitted when it reaches 1.
    double Alone = 0;                             // Allowance: requests that may be admitted without a decision.
    TimeUs AloneUs = 0;                           // When the allowance was last filled; 0: never.
    TimeUs AllowanceChargedUs = 0;                // Time of the decision since which admitted requests were deducted from the allowance.
};

struct QuotaReportEntry
{
    uint64_t Customer = 0; // Id of a customer, or of a target's incarnation.
    QuotaCount Count;
};

// A target's limit as sent between instances.
struct TargetLimitUpdate
{
    uint64_t Id = 0; // Of the target's incarnation.
    double PerS = 0;
    bool InForce = false;
    TimeUs AgeUs = 0; // Time since the target's answer was received.
};

// The largest recent number of instances. It is part of every report and answer, so that it survives the instance that counted it.
struct QuotaFleetSize
{
    double Members = 0; // 0: unknown.
    TimeUs AgeUs = 0;   // Time since they were counted.
};

// One message of a report; a report that is too large for one packet is sent as several.
struct QuotaReport
{
    QuotaFleetSize Most;
    double Members = 0; // Instances included in the sums.
    double Covered = 0; // Sum over these instances of the part of the window, 0 to 1, that each has been up for.
    std::vector<QuotaReportEntry> Entries;
    std::vector<TargetLimitUpdate> Named;
};

struct QuotaShare
{
    uint64_t Customer = 0; // Id of a customer, or of a target's incarnation.
    double Share = 1;      // Part of its requests that is admitted, 0 to 1.
};

// One message of a decision. Customers that are not listed are admitted in full, unless Covered is below 1.
struct QuotaAnswer
{
    QuotaFleetSize Most;
    double Covered = 0; // Part of the window that is covered by reports, 0 to 1.
    std::vector<QuotaShare> Shares;
    std::vector<TargetLimitUpdate> Named;
};

struct QuotaReportedCount
{
    QuotaCount Count;
    TimeUs AtUs = 0; // When it was received.
};

// The last reports of another instance.
struct QuotaMember
{
    TimeUs HeardUs = 0; // Time of the last report; 0 if none.
    double Members = 0; // As in QuotaReport.
    double Covered = 0;
    std::unordered_map<uint64_t, QuotaReportedCount> Counts; // By customer or target.
};

struct QuotaDecision
{
    double Share = 1;
    TimeUs AtUs = 0; // When it was made or received.
};

struct Quota
{
    QuotaConfig Config;
    bool Decides = false;                               // This instance is a seed.
    TimeUs StartedUs = 0;                               // When this instance was started.
    std::unordered_map<uint64_t, TargetLimit> Named;    // Limits of targets, by incarnation.
    std::unordered_map<uint64_t, QuotaUse> Own;         // Counts of this instance, by customer or target; idle entries are removed.
    std::map<std::string, QuotaMember> Followers;       // Instances that report to this one, by address.
    std::map<std::string, QuotaMember> Contacts;        // Other seeds, by address.
    std::unordered_map<uint64_t, QuotaDecision> Shares; // Customers or targets whose share is below 1, or was until recently.
    double Members = 1;                                 // Instances that report now; kept by seeds.
    double Covered = 0;                                 // Part of the window that is covered by reports of all instances, 0 to 1.
    TimeUs ToldUs = 0;                                  // When a decision was last received; 0: never.
    TimeUs DecidedUs = 0;                               // When QuotaDecide() last ran; 0: never.
    double MembersMost = 0;                             // Largest recent number of instances; 0: unknown.
    TimeUs MembersMaxUs = 0;                            // When MembersMost was counted.
    double MembersMin = 0;                              // Smallest number of instances since MembersMinUs.
    TimeUs MembersMinUs = 0;                            // Start of that period; 0: none yet.
};

// Whether a request of the customer is admitted. Counts the request.
bool QuotaTake(Quota* quota, const Customer& customer, TimeUs now, Random* random);

// Takes back the admission, made at `taken`, of a request that no target ran or that was sent to another target.
void QuotaReturn(Quota* quota, uint64_t id, TimeUs taken);

// Records the limit named in a target's answer, or that it named none. True if this is a change.
bool QuotaName(Quota* quota, uint64_t id, std::optional<double> per_s, TimeUs now);

// The limit in force for a target, or null.
const TargetLimit* QuotaNamed(const Quota& quota, uint64_t id);

// Whether a request is admitted at a target; always true for targets without a limit. Counts the request if there is a limit.
bool QuotaTakeNamed(Quota* quota, uint64_t id, TimeUs now, Random* random);

// Time between two requests at the target's limit; 0 without a limit.
TimeUs QuotaNamedTurn(const Quota& quota, uint64_t id);

// How long a refused caller should wait before it retries.
TimeUs QuotaReturnTime(const Quota& quota, uint64_t customer, Random* random);

// Removes expired data and, at a seed, computes the shares; does nothing within DecideUs of the last call. True if a share changed so much
// that the decision should be sent at once.
bool QuotaDecide(Quota* quota, const Customers& customers, TimeUs now);

// The same for limits of targets.
bool QuotaDecideNamed(Quota* quota, TimeUs now);

// Time until the next report is due.
TimeUs QuotaReportIn(const Quota& quota);

// The report for the source or for other seeds, as one or more messages.
std::vector<QuotaReport> QuotaReports(const Quota& quota, TimeUs now);

// Takes a report of another instance; `from_seed`: the sender is another seed. Invalid reports are ignored. True if the sender was unknown:
// a seed that has just started should get a report at once.
bool QuotaHeardReport(Quota* quota, const std::string& from, const QuotaReport& report, bool from_seed, TimeUs now);

// The decision for instances that report, as messages; empty if there is none.
std::vector<QuotaAnswer> QuotaAnswers(const Quota& quota, TimeUs now);

// Takes a decision from the source. True if it should be forwarded to the followers at once: it is the first for a while, or a share
// changed much.
bool QuotaHeardAnswer(Quota* quota, const QuotaAnswer& answer, TimeUs now);

//-----------------------------------------------------------------------------
// [SECTION] Source of news (whom an instance asks, so that few of a fleet ask the store)
//-----------------------------------------------------------------------------

// Each call to the store has a price, and all instances together a rate. So the number of calls must follow from the edits and not from the
// number of instances, also while the store is away or turns some instances away.
//
// The first contacts are the instances that everybody's settings name. One of them reads the store, the others of them follow it and take
// its place at once if it fails; everybody else follows a first contact, or an instance that one has sent it to. Everybody says how old its
// knowledge is, who reads the store for it, and, if the store is lost, when it was last asked in vain:
//  - An instance whose source has lost the store stays there for a moment, as the source may soon have found another way, and then looks
//    at the other first contacts. It does not ask the store: that is known to be away.
//  - A first contact that has lost the store, and whose fellows have lost it too, lets its followers ask the store for it, one at a time:
//    the store may have turned away just the first contacts.
//  - An instance that nobody answers, or whose sources have not asked the store for a while, goes to the store by itself, at a chance that
//    doubles from one in 64 to certainty: the first ones to succeed are found by the others.
//  - An instance that has just started, whose first contact is silent and for which callers wait, goes to the store as well: after a loss
//    of power the first contacts may be the last to come back.
//  - Nobody follows an instance that is read for by itself, however long the way round.
//
// On 473 instances a store that refuses all calls for 8 s gets some 70 of them in that time; were each instance to ask for itself once a
// second, it would be 3,800. A start of all at once costs some ten calls until everybody knows, in place of one or two for each
// (FollowLoadTest, which plays the library in virtual time).
//
// How to use it: FollowSetSources() and FollowStart(), then carry out Next, tell what became of it with one of FollowHeard(),
// FollowFailed() and FollowSentOn(), and carry out the new Next.

enum SourceKind_ : int
{
    SourceKind_None,
    SourceKind_Store,    // The store itself.
    SourceKind_Contact,  // A first contact.
    SourceKind_Instance, // Another instance: a source has sent us there, or it follows us.
    SourceKind_COUNT,
};

// Why the store is asked; counted, so that a day's calls can be told apart.
enum StoreReason_ : int
{
    StoreReason_None,
    StoreReason_Start,   // Everything, at the start of a first contact.
    StoreReason_Wait,    // The next changes.
    StoreReason_History, // Everything again: the store has forgotten the changes since.
    StoreReason_Retry,   // Another try after a failure.
    StoreReason_Asked,   // For a first contact that can't reach the store.
    StoreReason_Alone,   // No other instance answers; at a start, callers wait besides.
    StoreReason_COUNT,
};

const char* StoreReasonName(StoreReason_ reason);

struct FollowConfig
{
    TimeUs RetryUs = 250 * UsPerMs;    // A first contact's first pause after all its sources failed; doubles. Refused calls are priced too.
    TimeUs RetryMostUs = UsPerSecond;  // Longest such pause: the return of the store is noticed within it.
    TimeUs PeerRetryUs = 80 * UsPerMs; // Pause of others after no source answered: an instance that starts listens by then.
    TimeUs ProbeUs = 100 * UsPerMs;    // Wait for changes at a source that is tried after another one failed: it may be silent too.
    TimeUs StaleUs = 1600 * UsPerMs;   // A source that is further behind the store is left.
    TimeUs ReturnUs = 4 * UsPerSecond; // After so long the preferred source is tried again; up to half more, by chance.
    TimeUs AloneReturnUs = UsPerSecond; // The same for one that went to the store by itself: others did too, and a few are enough.
    TimeUs FresherUs = 100 * UsPerMs;   // An instance that is no first contact is followed if it is fresher by so much.
    TimeUs PatienceUs = 200 * UsPerMs;  // A first contact that has lost the store is kept so long, up to twice by chance: longer than it
                                        // takes to look at two fellows and to have a follower ask.
    TimeUs LostUs = 2 * UsPerSecond;    // The same once all have lost it, and for a source that is no first contact.
    TimeUs AskedUs = 3500 * UsPerMs;    // A source that says that the store is lost, but has not heard of a try for so long, is no source.
    TimeUs AloneUs = 800 * UsPerMs;     // While all is as fresh as this, an instance that nobody answers does not go to the store.
    int FirstLeadsMost = 2;  // Followers that a first contact has ask the store at once; then one in each round. Some are turned away too.
    int AloneOdds = 64;      // Then one in so many goes, and twice as many at each round of its sources.
    int MarginDoublings = 2; // A store whose answers are late is given twice the time, so often: it may be slow.
    size_t KnownMost = 8;    // Other instances that are remembered, for when no first contact answers.
};

// The next thing to do.
struct FollowStep
{
    SourceKind_ Kind = SourceKind_None;
    std::string Address;                    // IP:port.
    TimeUs PauseUs = 0;                     // Before it is asked.
    TimeUs WaitMostUs = 0;                  // Longest wait for changes; 0: as long as usual.
    StoreReason_ Reason = StoreReason_None; // Why the store is asked, if it is.
    bool Lead = false;                      // It is to ask the store for us.
    bool Lost = false;                      // We know that the store is lost: it need not tell us so.
    int MarginDoublings = 0;                // Its answer may come later than usual: so often twice the time.
};

// What a source says of its knowledge.
struct SourceNews
{
    uint64_t At = 0;      // The store's revision up to which it knows all.
    TimeUs AgeUs = 0;     // How long ago that was known to be the store's state.
    bool Trouble = false; // It has lost the store.
    TimeUs TriedUs = 0;   // If so: how long ago the store was last asked in vain.
    std::string Origin;   // Where the instance that reads the store for it can be followed; the source itself, if it does.
};

enum FollowVerdict_ : int
{
    FollowVerdict_None,
    FollowVerdict_Good,   // Fresh: the source is followed.
    FollowVerdict_Lost,   // It has lost the store, as is known to others.
    FollowVerdict_Behind, // Older than what we know, too old, or nobody has asked the store for too long: it is left.
    FollowVerdict_Ours,   // It knows what we have told: it is left.
    FollowVerdict_COUNT,
};

struct Follow
{
    FollowConfig Config;
    std::string Own;                   // Where we can be followed; empty: we can't.
    std::string StoreAddress;          // IP:port.
    std::vector<std::string> Named;    // The first contacts as the settings name them, sorted.
    std::vector<std::string> Contacts; // The first contacts but us, in the order in which they are tried.
    size_t Rank = 0;                   // First contacts that read the store rather than we do; only if Reads.
    bool Reads = false;                // We are a first contact, or there is none.
    std::vector<std::string> Known;    // Other instances, the latest last.

    uint64_t At = 0;       // Revision up to which all is known; 0: nothing is.
    TimeUs FreshUs = 0;    // When that was last known to be the store's state.
    std::string Origin;    // Who reads the store for us; Own if we do.
    FollowStep Next;       // What to do next.
    TimeUs StartedUs = 0;  // When it began.
    TimeUs ReturnAtUs = 0; // When to try the preferred source again; 0: never.
    bool Sent = false;     // The source was named by another one, and is kept while it is good.
    bool Needed = false;   // We know nothing, and callers wait for that.
    int StoreTimeouts = 0; // Answers of the store in a row that came too late.

    // The round of sources, after one has failed.
    size_t Place = 0;       // Where it stands.
    size_t Tried = 0;       // Sources that were no good.
    TimeUs KeptUntilUs = 0; // The source has lost the store, and is kept until then; 0: it has not.
    int TriedOthers = 0;    // Instances beyond the first contacts that were tried.
    bool ToldLost = false;  // Somebody answered and has lost the store.
    bool LeftStore = false; // We come from the store, and it was good: nobody knows better.
    int RoundsInRow = 0;    // Rounds without a good source.
    int AloneRounds = 0;    // Of these, those in which nobody answered and our knowledge was old.
};

// Whom to ask, from the settings. What is known stays; a source that is in use is kept until it fails.
void FollowSetSources(Follow* follow, const std::string& own, const std::string& store, const std::vector<std::string>& contacts,
                      Random* random);

// The first step.
void FollowStart(Follow* follow, TimeUs now);

// The source of Next has answered. Good answers bring `At` and `FreshUs` up to date; the caller takes what is new in any case.
FollowVerdict_ FollowHeard(Follow* follow, const SourceNews& news, TimeUs now, Random* random);

// It has failed; `late`: by silence.
void FollowFailed(Follow* follow, bool late, TimeUs now, Random* random);

// It has sent us on to one of these.
void FollowSentOn(Follow* follow, const std::vector<std::string>& addresses, Random* random);

// The store is to be asked at once, for another instance. False if it is the source already.
bool FollowAsked(Follow* follow);

// We know nothing, and callers wait for that. True if the store is to be asked at once, for them: the first contact is silent.
bool FollowNeeded(Follow* follow);

// Another instance is there: it follows us, or a source has named it.
void FollowMet(Follow* follow, const std::string& address);

//-----------------------------------------------------------------------------
// [SECTION] Fan-out (how many others an instance serves, and where it sends the rest)
//-----------------------------------------------------------------------------

struct FanoutConfig
{
    size_t FollowersMost = 28;      // That wait for changes: 10 KB/s where little changes (docs/CAPACITY.md).
    size_t StartsMost = 8;          // That read everything at about the same time: 50 KB each, on links of 20 Mbit/s.
    TimeUs StartUs = 500 * UsPerMs; // What counts as the same time.
    size_t NamedMost = 3;           // Others that are named to one that is sent on.
    size_t FarMost = 2;             // Followers in each other data centre: news go there so often, and are handed on inside. The second
                                    // one is for the loss of the first.
};

struct FanoutStart
{
    TimeUs ServedUs = 0;    // When it asked.
    std::string Address;    // Where it can be followed; may be empty.
    std::string DataCentre; // Where it is; empty: unknown.
};

struct Fanout
{
    FanoutConfig Config;
    std::deque<FanoutStart> Starts; // The latest, in order.
};

// Another instance, and what it wants.
struct NewsAsker
{
    std::string Address;     // Where it can be followed; empty: it can't.
    bool Everything = false; // All that we know; else what comes after a revision.
    uint64_t After = 0;      // That revision.
    bool Lead = false;       // We are to ask the store for it.
    bool Lost = false;       // It has lost the store itself.
    std::string DataCentre;  // Where it is; empty: unknown.
    bool Contact = false;    // It is a first contact.
};

enum NewsVerdict_ : int
{
    NewsVerdict_None,
    NewsVerdict_Answer, // By what is known now; if that is nothing, with a refusal.
    NewsVerdict_SendOn, // To one of those named.
    NewsVerdict_Hold,   // Until there is something new to it, or its time is over.
    NewsVerdict_Lead,   // Ask the store, and answer when that has answered.
    NewsVerdict_COUNT,
};

struct NewsAnswer
{
    NewsVerdict_ Verdict = NewsVerdict_None;
    std::vector<std::string> Elsewhere; // Where it is sent.
};

// What an instance that is asked knows itself.
struct NewsHolder
{
    uint64_t At = 0;                    // Revision up to which it knows all; 0: it knows nothing.
    bool Lost = false;                  // It has lost the store.
    std::vector<std::string> Followers; // Those that wait there already.
    std::vector<std::string> Beside;    // Of these, those in the asker's data centre.
    std::string DataCentre;             // Where it is; empty: unknown.
};

// What becomes of one that asks. An instance that knows nothing holds those that want everything: they learn it in the moment in which it
// does.
NewsAnswer FanoutAsked(Fanout* fanout, const NewsAsker& asker, const NewsHolder& holder, TimeUs now, Random* random);

} // namespace Winchlink
