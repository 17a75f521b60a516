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

// Every refusal, failure and alarm has one number, the same in logs, headers and docs/CODES.md. Numbers are never reused.
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
    Code_ Code;       // The number.
    const char* Name; // Its name without the prefix, as docs/CODES.md writes it.
    int HttpStatus;   // Status a caller sees; 0 where no caller sees the code.
    const char* Text; // One line for people.
};

// All codes in ascending order.
const std::vector<CodeInfo>& AllCodes();

// The entry of one code. Asserts that the code is listed.
const CodeInfo& FindCode(Code_ code);

struct Error
{
    Code_ Code = Code_None; // What went wrong.
    std::string Detail;     // Where and why: file, key path, expectation.
};

template <class T> using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, Error>;

//-----------------------------------------------------------------------------
// [SECTION] Addresses
//-----------------------------------------------------------------------------

struct Endpoint
{
    uint32_t Ip = 0;   // IPv4 address in host byte order.
    uint16_t Port = 0; // UDP or TCP port.
};

bool operator==(const Endpoint& a, const Endpoint& b);

// Parses "a.b.c.d:port" with a port from 1 to 65535; fails with Code_TableBadAddress.
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
inline constexpr size_t TableDocumentMax = 16 * MiB; // Bytes of the whole document.

enum Class_ : int
{
    Class_Critical,   // Highest priority when free slots are scarce.
    Class_Normal,     // Medium priority.
    Class_Background, // Lowest priority; may wait longest.
    Class_COUNT,
};

const char* ClassName(Class_ value);

struct TargetRow
{
    std::string Address;    // "IP:port".
    std::string DataCentre; // Where it runs. Targets in the instance's data centre are preferred.
    int Weight = 1;         // Relative share of the requests, 0 (none) to 1000.
    int Slots = 1;          // Requests that it can process concurrently.
};

struct ServiceRow
{
    std::string Name;                       // Unique in the table.
    std::string PathPrefix;                 // Path prefix of the row's requests; may be empty if Host is set.
    std::string Host;                       // Host header of the row's requests; empty: any.
    Class_ Class = Class_Normal;            // Priority of the row's requests.
    int ConnectionsPerInstance = 16;        // Maximum connections from one instance to one target.
    int RequestsPerInstance = 0;            // Maximum requests of the row in progress at one instance; 0: no limit.
    int DeadlineMs = 1000;                  // Deadline of requests that set none.
    int AimMs = 0;                          // Latency objective; 0: half of DeadlineMs.
    int AttemptsMost = 3;                   // Maximum attempts of one request.
    std::string HealthPath;                 // Path of the probe, a GET request; empty: targets are not probed.
    std::vector<std::string> RepeatMethods; // Methods of requests that may be retried.
    std::vector<TargetRow> Targets;         // At least one.
};

struct Table
{
    uint64_t Revision = 0;              // Increases with each edit; 0: no table yet.
    std::vector<ServiceRow> Rows;       // In document order.
    std::vector<std::string> Evacuated; // Data centres whose targets get no requests, without duplicates.
};

struct Fault
{
    Code_ Code = Code_None; // The check that failed.
    std::string Where;      // Key path, such as "rows[3].targets[0].weight".
    std::string Detail;     // Expected and actual value.
};

struct CheckedTable
{
    Table Value;               // Valid only if Faults is empty.
    std::vector<Fault> Faults; // All faults, in document order.
};

// Parses and validates the operators' document (docs/OPERATORS.md). Reports all faults, not only the first.
CheckedTable ParseTable(const std::string& json);

// Validates a table that was assembled from single rows.
std::vector<Fault> CheckTable(const Table& table);

// Parses and validates a single row of the document.
Result<ServiceRow> ParseRow(const std::string& json);

// The row and the table as JSON documents.
std::string FormatRow(const ServiceRow& row);
std::string FormatTable(const Table& table);

//-----------------------------------------------------------------------------
// [SECTION] Customers (who may call, and how much; known by the keys of their requests)
//-----------------------------------------------------------------------------

// Keys are secrets of customers. Only hashes of them are kept, compared and told to other instances; a hash serves to recognize a key, and
// the key can't be had from it.
inline constexpr size_t KeyHashBytes = 16;
using KeyHash = std::array<uint8_t, KeyHashBytes>;

KeyHash HashKey(const std::string& key);
std::string FormatKeyHash(const KeyHash& hash);               // Hexadecimal digits.
std::optional<KeyHash> ParseKeyHash(const std::string& text); // None where the text is no such hash.

struct Customer
{
    std::string Name;            // Unique in the plan.
    uint64_t Id = 0;             // Stands for the name between instances.
    std::vector<KeyHash> Keys;   // Each is good for a request.
    std::optional<int> Priority; // Of its requests, in place of the route's.
    double RatePerS = 0;         // Requests a second that it may make, over the whole fleet; 0: as many as it likes.
    double Burst = 0;            // And so many on top.
};

struct KeyHashHasher
{
    size_t operator()(const KeyHash& hash) const; // Its bytes are as good as random.
};

struct Customers
{
    bool Required = false; // Requests need a key, but those of public routes.
    std::vector<Customer> List;
    std::unordered_map<KeyHash, size_t, KeyHashHasher> ByKey; // Index into List.
    std::unordered_map<uint64_t, size_t> ById;                // The same.
};

// Adds a customer and its keys. Code_PlatformBadAnswer if its name, or one of its keys, is another customer's: whose request it is would
// not be known.
Result<void> AddCustomer(Customers* customers, Customer customer);

// The customer whose key it is; null if it is nobody's.
const Customer* FindCustomer(const Customers& customers, const KeyHash& key);

// The customer of that id; null if there is none.
const Customer* FindCustomerById(const Customers& customers, uint64_t id);

//-----------------------------------------------------------------------------
// [SECTION] Route plan (what an instance serves; newer versions win)
//-----------------------------------------------------------------------------

// One of the services that share a route's requests.
struct RoutePart
{
    std::string Service; // Name of the service.
    int Weight = 1;      // Its share of the requests is Weight / sum of all weights.
};

struct Route
{
    std::string Name;                       // Unique in the plan.
    std::string Host;                       // Host header of its requests; empty: any host without a matching route of its own.
    std::string PathPrefix;                 // Matches this path and the paths below it.
    std::vector<RoutePart> Parts;           // At least one.
    bool Repeatable = false;                // Requests of any method may be retried.
    std::vector<std::string> RepeatMethods; // If not Repeatable: methods of requests that may be retried.
    TimeUs TimeoutUs = 0;                   // Time within which the caller gets an answer, if only an error.
    TimeUs AimUs = 0;                       // Latency objective.
    int Priority = 0;                       // 0 is the highest priority.
    int AttemptsMost = 1;                   // Maximum attempts of one request.
    bool Public = false;                    // Its requests need no customer key.
};

struct ServiceInfo
{
    std::string Name;        // Unique in the plan.
    std::string HealthPath;  // Path of the probe, a GET request; empty: targets are not probed.
    int ConnectionsMost = 0; // Maximum connections to one target; 0: no limit.
    int RequestsMost = 0;    // Maximum requests in progress at this instance; 0: no limit.
    double ColdPerS = 0;     // Maximum requests per second, from all instances, to a cold target; 0: no limit.
    TimeUs ColdUs = 0;       // Length of a target's warm-up, during which it is cold.
};

// Limits of what callers may send.
struct CallerLimits
{
    size_t HeaderBytesMost = 16 * KiB;
    size_t BodyBytesMost = 64 * MiB;
    TimeUs HeaderTimeoutUs = 3 * UsPerSecond; // To receive all headers.
    TimeUs IdleTimeoutUs = 15 * UsPerSecond;  // Between two requests on a connection.
};

struct RoutePlan
{
    uint64_t Version = 0; // 0: no plan yet. Only a higher version replaces a plan.
    std::vector<Route> Routes;
    std::vector<ServiceInfo> Services;
    CallerLimits Limits;
    Customers Callers;
};

using RoutePlanPtr = std::shared_ptr<const RoutePlan>;

// Makes the plan of a table: one route and one service for each row. Its version is the table's revision.
RoutePlan MakePlan(const Table& table);

int64_t SumOfWeights(const std::vector<RoutePart>& parts);

// Finds the route of a request: the longest matching path prefix among the routes with its host or, if none matches, among those without a
// host. "/a" matches "/a" and "/a/b" but not "/ab". Null if there is none. Ignores the port in `host` and the query in `target`.
const Route* FindRoute(const RoutePlan& plan, const std::string& host, const std::string& target);

// Whether a request with that method may be retried.
bool MayRepeat(const Route& route, const std::string& method);

// The service with that name, or null.
const ServiceInfo* FindService(const RoutePlan& plan, const std::string& name);

// State of a smooth weighted round robin, which keeps each part within one request of its share. Instances start at random positions, so
// that their rounding errors cancel out.
struct RouteSplit
{
    std::vector<RoutePart> Parts; // Parts that Credit refers to; a change restarts the round.
    std::vector<int64_t> Credit;  // Deficit of each part relative to its share, in units of weight.
};

// Index of the part that gets the next request.
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

// The load that a target reports.
struct LoadReport
{
    int Running = 0;       // Requests being processed.
    int Waiting = 0;       // Requests in the target's queue.
    int Slots = 1;         // Requests that it can process concurrently.
    int PacePercent = 100; // Current processing time, in percent of the usual one.
};

// Adaptive timeout of load probes, one for each service. It grows with each probe that times out and shrinks slightly with each that is
// answered in time, so that on average a share LateShare of the probes times out.
struct AskTime
{
    TimeUs LeastUs = 40 * UsPerMs; // Lower bound, and the initial value.
    TimeUs MostUs = 160 * UsPerMs; // Upper bound: the longest time that an unresponsive target delays a request.
    double LateShare = 0.005;      // Share of the probes that may time out.
    double Growth = 1.5;           // Factor after a probe that timed out.
    double NowUs = 0;              // Current timeout; 0 before the first probe.
};

TimeUs AskTimeNow(const AskTime& time);
void AskTimeAnswered(AskTime* time);
void AskTimeLate(AskTime* time);

// Parses "running,waiting,slots,pace"; the pace is optional. Returns none if the text is malformed.
std::optional<LoadReport> ParseLoadReport(const std::string& text);

struct PoolTarget
{
    std::string Id;
    uint64_t Life = 0;   // Incarnation, from the directory.
    uint64_t LifeId = 0; // Hash of Id and Life, see TargetLifeId().
    std::string Address;
    bool Near = false;         // In the instance's data centre.
    bool Doubtful = false;     // Its directory entry is missing.
    int Slots = 1;             // Requests that it can process concurrently, from the directory.
    int Weight = 1;            // From the directory.
    TimeUs WarmUntilUs = 0;    // End of its warm-up, during which it is cold and slower; 0 if none.
    int ColdSent = 0;          // Requests that this instance sent to it since the start of the warm-up.
    bool New = false;          // Added while the pool was in use, and this instance has not sent it a request yet.
    int64_t Order = 0;         // Among equals, the lowest is probed first, so that an instance reuses connections to the same targets.
    uint64_t Entry = 0;        // Generation of the pool entry; differs after the target was removed and added again.
    int InFlight = 0;          // Requests of this instance in progress there, sent through this entry.
    int Since = 0;             // Requests that this instance sent to it since Report.
    LoadReport Report;         // The last one.
    TimeUs ReportUs = 0;       // Time of the last report; 0 if none.
    int FailuresInRow = 0;     // Consecutive failed requests and probes.
    TimeUs AvoidUntilUs = 0;   // After failures: used only as a last resort until then.
    TimeUs CarefulUntilUs = 0; // After failures: ranked lower until then for requests that can't be retried.
    TimeUs BackoffUntilUs = 0; // End of the back-off that the target requested, see PoolBackOff().

    // Managed by the pool.
    int Group = 0;       // Index into PoolIndex::Groups.
    bool Marked = false; // In PoolIndex::Marked.
    uint64_t Listed = 0; // Value of TargetPool::Follows at the last PoolFollow() that listed it.
};

inline constexpr int PoolGroupCount = 4; // In the own or another data centre, with and without a request making the target nearly full.

// Index that makes the cost of choosing a target independent of the size of the service.
//
// Most targets are at rest: without a recent report, requests of this instance or any other special state. Among these, the first of each
// group ranks best. All others are marked and compared one by one: targets that were probed recently, have requests of this instance, or
// are new, cold, doubtful or failed. A function that returns a pointer to a target marks it, as the caller may change it; PoolNext()
// unmarks targets that are at rest again.
struct PoolIndex
{
    std::unordered_map<std::string, std::list<PoolTarget>::iterator> ById;
    std::array<std::set<std::pair<int64_t, PoolTarget*>>, PoolGroupCount> Groups; // Sorted by Order.
    std::vector<PoolTarget*> Marked;
};

struct PoolConfig
{
    double NearlyFullShare = 0.8;       // A target with more than this share of its slots in use is nearly full.
    double NearlyFullGain = 0.05;       // Minimum weight of a new sample in the estimate of NearlyFullFactor.
    int NearlyFullPrior = 3;            // Number of samples that the initial estimate counts as.
    double NearlyFullMost = 3.0;        // Upper bound of one sample.
    double WarmFactor = 2.0;            // Cost factor of cold targets.
    double ColdPerS = 0;                // See ServiceInfo.
    TimeUs ColdUs = 0;                  // See ServiceInfo.
    double ShareGain = 0.02;            // Weight of a new report in the estimate of this instance's share of the work.
    double SharePrior = 10;             // Requests added to the estimated total, so that the share is small while little is known.
    double GoodCost = 1.25;             // A target with at most this cost is taken without further probes.
    double SettleCost = 2.0;            // Maximum cost of a target taken when no good one was found, see PoolSettles().
    TimeUs ReportUs = 150 * UsPerMs;    // Age at which a report is stale.
    TimeUs AvoidUs = 200 * UsPerMs;     // Avoidance period after the first failure; doubles with each consecutive one.
    int AvoidDoublings = 4;             // Maximum number of doublings.
    TimeUs CarefulUs = 3 * UsPerSecond; // Time after a failure in which requests that can't be retried prefer other targets.
};

struct TargetPool
{
    PoolConfig Config;
    std::list<PoolTarget> Targets; // Only PoolFollow() adds and removes targets.
    PoolIndex Index;               // Over Targets.
    uint64_t Follows = 0;          // Calls of PoolFollow().
    bool InUse = false;            // A request was sent; targets added from now on are new.
    bool TellsLoad = true;         // Targets of this service report their load; false once one has answered without a report.
    double NearlyFullFactor = 1.4; // Estimated slowdown of a nearly full target.
    int NearlyFullSeen = 0;        // Samples in NearlyFullFactor.
    double ReportedWork = 0;       // Moving average of the requests at one target, from load reports.
    double OwnWork = 0;            // Moving average of this instance's requests in progress, sampled at the same times.
    std::unordered_map<uint64_t, TimeUs> Backoffs; // End of the back-off by LifeId, also of targets that are not in the pool.
    int Evacuated = 0;                             // Targets left out because their data centre is evacuated.
    uint64_t LastEntry = 0;                        // Last value of PoolTarget::Entry.

    TargetPool() = default;
    TargetPool(TargetPool&&) = default;
    TargetPool& operator=(TargetPool&&) = default;
    TargetPool(const TargetPool&) = delete; // The index points into it.
    TargetPool& operator=(const TargetPool&) = delete;
};

// Synchronises the pool with the targets of its service; the state of targets that stay is kept. Draining targets and those of evacuated
// data centres are not in the pool. For each request one new target is probed first, until every new target has had a request.
void PoolFollow(TargetPool* pool, const TargetList& listed, const std::string& data_centre, Random* random);

// Records that a request was sent to the target.
void PoolSent(TargetPool* pool, PoolTarget* target);

// The target with that id, or null. The pointer is valid until the pool is used again.
PoolTarget* PoolFind(TargetPool* pool, const std::string& id);

// The same, but null if the target was removed and added again or restarted since, so that its pool entry is another one.
PoolTarget* PoolFindEntry(TargetPool* pool, const std::string& id, uint64_t entry);

// The next target to probe, or to try where targets report no load; null if none is left that is not in `passed`. `careful`: the request
// can't be retried, so targets that failed recently rank lower.
PoolTarget* PoolNext(TargetPool* pool, const std::vector<std::string>& passed, bool careful, TimeUs now);

// The same where targets are not probed: chooses among equals at random. Without probes, instances that prefer the same targets would not
// notice it.
PoolTarget* PoolNextUnasked(TargetPool* pool, const std::vector<std::string>& passed, bool careful, TimeUs now, Random* random);

// Whether one more request would make the target nearly full.
bool PoolNearlyFull(const PoolConfig& config, const LoadReport& report, int more);

// Whether the target has a free slot for one more request, by its last report. Where the slowdown of nearly full targets would reduce
// their total throughput, their last slots are not used.
bool PoolHasRoom(const TargetPool& pool, const PoolTarget& target);

// Whether the warm-up limit allows a request to the target now; true for warm targets, and where the service sets no limit.
//
// The limit ColdPerS applies to all instances together, but their number is unknown. Each instance therefore uses a share of the limit: its
// own requests in progress divided by the total that targets report. The shares of all instances add up to about one. An instance spaces
// its requests to a cold target evenly after a random phase, so that instances don't send at the same time. The target must also have
// reported that it is idle.
bool PoolMayTakeCold(const TargetPool& pool, const PoolTarget& target, TimeUs now);

// Updates the estimate of this instance's share of the service's work. `own`: requests of this instance in progress.
void PoolLearnShare(TargetPool* pool, const LoadReport& report, int own);

// Sets the end of the target's warm-up, as reported by the target or its directory entry. Never shortens it.
void PoolToldCold(const PoolConfig& config, PoolTarget* target, TimeUs until);

// Adds a sample to NearlyFullFactor: a request at a nearly full target took `factor` times as long as the same work elsewhere.
void PoolLearnNearlyFull(TargetPool* pool, double factor);

// Expected time of one more request at the target, as a multiple of the usual time.
double PoolCost(const TargetPool& pool, const PoolTarget& target, TimeUs now);

// Whether a target with a free slot is acceptable when none of the probed targets is good. A nearly full target is, up to twice the usual
// time; a slow one is not. With two slots, a target with one request in progress already counts as nearly full, so a lower bound would
// refuse requests while slots are free.
bool PoolSettles(const TargetPool& pool, const PoolTarget& target, TimeUs now);

// Starts or extends a back-off that an incarnation of a target requested: it gets neither requests nor probes until then. The back-off
// outlasts later answers and removal from the pool, and does not apply to other incarnations. Returns true if the target was usable before.
bool PoolBackOff(TargetPool* pool, const std::string& id, uint64_t incarnation, TimeUs until, TimeUs now);

// Whether no back-off forbids requests and probes to the target now.
bool PoolMayUse(const PoolTarget& target, TimeUs now);

// The earliest end of a back-off if all targets are in back-off; none otherwise, or if the pool is empty.
std::optional<TimeUs> PoolBackoffEnds(const TargetPool& pool, TimeUs now);

void PoolReport(PoolTarget* target, const LoadReport& report, TimeUs now);
void PoolFailed(const PoolConfig& config, PoolTarget* target, TimeUs now);
void PoolGood(PoolTarget* target);

//-----------------------------------------------------------------------------
// [SECTION] Repeat budget (which requests may be sent twice)
//-----------------------------------------------------------------------------

// Repeated sends, as a share of the requests of the last window. Each instance keeps its own share, so the sum over the fleet keeps the
// fleet's without anybody counting it.
struct RepeatBudget
{
    static constexpr size_t Steps = 20; // Parts of the window.

    struct Step
    {
        int64_t Number = -1; // Which step of time it counts.
        int Requests = 0;
        int Repeats = 0;
    };

    double Share = 0.2;                   // Repeats a request.
    int Extra = 1;                        // Repeats beyond that, a window.
    TimeUs WindowUs = 10 * UsPerSecond;   // Length of the window.
    std::array<Step, 2 * Steps> Counts{}; // Ring, by step number.
};

void RepeatBudgetRequest(RepeatBudget* budget, TimeUs now);

// Takes one repeat if there is one. `part` of the budget may be used for it, 0 to 1.
bool RepeatBudgetTake(RepeatBudget* budget, double part, TimeUs now);

// Gives back one that was taken at `taken` and not used. It goes back to where it was counted: a step may have ended since.
void RepeatBudgetReturn(RepeatBudget* budget, TimeUs taken);

//-----------------------------------------------------------------------------
// [SECTION] Quarantine (requests that end the targets that run them)
//-----------------------------------------------------------------------------

// Some requests crash every target that runs them. When callers retry such a request, each try has another request id and may reach another
// instance, so retry budgets don't stop it and no instance alone sees all the crashes. Each instance therefore records which targets
// crashed while running a request, by a key that is the same at every try, and exchanges these records with the others. A request with
// too many crashes is quarantined: it is refused.
//
// A request that was merely in progress at a target when it crashed must not be blamed. An answer from any target therefore clears all
// earlier crashes of a request: one that crashes its targets is never answered.
//
// How to use it: QuarantineNote() for each request in progress at a target that crashed, QuarantineAnswered() when one was answered,
// QuarantineUntil() before one is sent. Send QuarantineTell() to instances with another digest and merge what they send with
// QuarantineTake(). Instances with the same records quarantine the same requests, whatever the order of the updates.

struct QuarantineConfig
{
    int EndsMost = 3;                              // Number of crashes at which a request is quarantined.
    TimeUs HoldUs = 600 * UsPerSecond;             // Initial quarantine time after the last crash; doubles with each crash after a release.
    TimeUs HoldMostUs = 24 * 3600LL * UsPerSecond; // Upper bound of the quarantine time.
    size_t RequestsMost = 512;                     // Requests kept; those with the fewest crashes are removed first.
    size_t EndsKept = 64;                          // Crashes kept for each request.
};

// A crash of a target while the request was in progress there.
struct TargetEnd
{
    TimeUs AtUs = 0;      // Time of the crash.
    bool Cleared = false; // The request was answered since, or an operator lifted its quarantine.
};

struct SuspectRequest
{
    std::map<std::string, TargetEnd> Ends; // By TargetLife().
    TimeUs HeldUntilUs = 0;                // End of the quarantine; 0 if not quarantined.
};

// A crash as instances exchange it.
struct TargetEndNews
{
    std::string Request; // Key of the request.
    std::string Target;  // See TargetLife().
    TimeUs AgeUs = 0;    // Time since the crash.
    bool Cleared = false;
};

struct Quarantine
{
    QuarantineConfig Config;
    std::map<std::string, SuspectRequest> Requests; // By key.
    uint64_t Digest = 0;                            // Hash of all records except their times; 0 if there are none.
};

// Identifies one incarnation of a target: its id and, if not 0, "@" and the incarnation.
std::string TargetLife(const std::string& id, uint64_t incarnation);

// A hash of TargetLife().
uint64_t TargetLifeId(const std::string& id, uint64_t incarnation);

// Records that a target crashed while the request was in progress there. Returns true if the crash was new.
bool QuarantineNote(Quarantine* quarantine, const std::string& request, const std::string& target, TimeUs now);

// Clears all crashes of a request that was answered, or whose quarantine an operator lifts. Returns true if there were any.
bool QuarantineAnswered(Quarantine* quarantine, const std::string& request);

// End of the request's quarantine; 0 if it is not quarantined.
TimeUs QuarantineUntil(const Quarantine& quarantine, const std::string& request, TimeUs now);

// Number of crashes that are not cleared.
int QuarantineEnds(const Quarantine& quarantine, const std::string& request);

// Exports all records, and merges those of another instance. QuarantineTake() ignores implausible updates and returns true if the state
// changed.
std::vector<TargetEndNews> QuarantineTell(const Quarantine& quarantine, TimeUs now);
bool QuarantineTake(Quarantine* quarantine, const std::vector<TargetEndNews>& updates, TimeUs now);

// Removes expired records. Call it about once a second.
void QuarantineForget(Quarantine* quarantine, TimeUs now);

//-----------------------------------------------------------------------------
// [SECTION] Silent ends (targets that end without closing their connections)
//-----------------------------------------------------------------------------

// A target whose machine fails closes no connection: its requests time out, as after a network partition or at a target that hangs. Only
// later does the store show the crash: a new incarnation has its id or its address, or its entry is missing though it was not draining.
// Unanswered attempts and crashed targets are therefore kept for a while and matched, so that such crashes count for the quarantine. An
// attempt may still be in progress when the crash of its target is detected.
//
// How to use it: SilentAttemptEnded() for each attempt that ended unanswered, SilentTargetEnded() for each target from
// DirectoryTakeEnded(), SilentAnswered() when a request was answered. Pass the crashes they report to QuarantineNote().

struct SilentAttempt
{
    std::string Request; // Key of the request.
    std::string Target;  // See TargetLife().
    TimeUs SentUs = 0;   // Start of the attempt.
};

struct SilentTarget
{
    std::string Target;  // See TargetLife().
    TimeUs LearntUs = 0; // Time at which its crash was detected.
};

struct SilentEnds
{
    TimeUs WithinUs = 8 * UsPerSecond;  // Longest time from an attempt's start to the detection of a crash during it.
    TimeUs KeptUs = 60 * UsPerSecond;   // Time for which a crashed target is kept, to be matched with attempts that end later.
    size_t Most = 512;                  // Maximum number of attempts, and of targets; the oldest are removed first.
    std::deque<SilentAttempt> Attempts; // In the order in which they ended.
    std::deque<SilentTarget> Targets;   // In the order of detection.
};

// Records that an attempt ended without an answer. Returns true if its target is known to have crashed during it; otherwise
// SilentTargetEnded() may still report it.
bool SilentAttemptEnded(SilentEnds* silent, const SilentAttempt& attempt, TimeUs now);

// Records that a target crashed. Returns the recorded attempts that were in progress at that time.
std::vector<SilentAttempt> SilentTargetEnded(SilentEnds* silent, const std::string& target, TimeUs now);

// The request was answered: removes its attempts.
void SilentAnswered(SilentEnds* silent, const std::string& request);

// Removes expired records. Call it about once a second.
void SilentForget(SilentEnds* silent, TimeUs now);

//-----------------------------------------------------------------------------
// [SECTION] Return schedule (when refused callers may come back)
//-----------------------------------------------------------------------------

// Places in time for refused callers, one after the other, as fast as a part of the measured rate of service allows. In a short overload
// the next place is near; in a long one the schedule fills, and callers stay away until it is likely to be over instead of taking the slots
// of those who could still be served in time (0.01 of an overloaded day's worth, docs/DECISIONS.md). An instance knows only its own
// refusals and service; as callers come back to any instance, what it gives out and what it gets are alike where load is spread evenly.
struct ReturnSchedule
{
    TimeUs LeastUs = 300 * UsPerMs;    // The next place is no nearer: about the work of one request.
    TimeUs MostUs = 5 * UsPerSecond;   // And no farther.
    double Share = 0.25;               // Part of the service that may go to callers who come back; the rest is for new requests.
    double Spread = 0.2;               // Places are moved by up to this part, so that callers of one moment don't return together.
    TimeUs MemoryUs = 2 * UsPerSecond; // Service is counted over about this time.
    double Served = 10;  // Requests served within that memory; at first a guess, so that a start is not taken for an overload.
    TimeUs ServedUs = 0; // When Served was last brought up to date.
    TimeUs NextUs = 0;   // The latest place that was given out.
};

// A request has been served.
void ReturnScheduleServed(ReturnSchedule* schedule, TimeUs now);

// Gives a refused caller its place: how long it should stay away.
TimeUs ReturnScheduleTake(ReturnSchedule* schedule, TimeUs now, Random* random);

//-----------------------------------------------------------------------------
// [SECTION] Quotas (what customers may ask, and targets take, of the whole fleet, though nobody counts it)
//-----------------------------------------------------------------------------

// A customer may make so many requests in any window, over all instances, whether they hear of each other or not; and one that stays below
// its quota must not be refused. No instance sees more than a small part, too little to tell a customer that asks for ten times its quota
// from one that asks for half.
//
// So instances report what they admit along the tree in which they follow each other: each one tells the instance that it follows the sums
// of itself and of those that report to it. The first contacts exchange their sums, and each decides for those below it what share of a
// customer's requests is admitted; every instance admits that share of what it gets. Reports are states and not changes: a lost one, or one
// that comes twice, does no harm. What is decided steers the sum of the last window towards the quota and a part of what it may be passed
// by; the rest is for what is known late.
//
//  - Instances that are not heard any more may be cut off and still admit. The others use no more than their part of the quota, by their
//    number against the largest of late.
//  - An instance that hears no decision admits by itself: of a small fleet one request of each customer, and its part of the quota, by the
//    number of instances.
//  - An instance that has just started knows nothing of what it admitted before. Its part of the quota counts as used up in the window
//    before its start.
//
// A target in need names a limit in its answers: so many requests a second, of all instances together. That is the same matter with the
// roles changed, and the same mechanism keeps it, in a Quota of its own: what is counted are requests to the target, and the limit is not
// in the plan but travels with reports and decisions, from the first instance that hears it. A request that is not admitted goes to another
// target. While nobody can know how many requests are on their way, after a start or when a limit is new, each instance admits a few times
// its even part at the most.
//
// How to use it: QuotaTake() for each request of a customer with a quota, QuotaReturn() for one that no target has run; QuotaDecide()
// after each report that comes, and every QuotaReportIn(), then hand QuotaReports() to the instance that is followed, or, at a first
// contact, to the others of them. Take what comes with QuotaHeardReport() and answer with QuotaAnswers(), which the sender takes with
// QuotaHeardAnswer(). For targets: TargetQuotaConfig(), QuotaName() for each of their answers, and QuotaTakeNamed() and QuotaDecideNamed()
// in place of the other two.

struct QuotaConfig
{
    TimeUs WindowUs = 5 * UsPerSecond;       // Over which a customer's requests are counted.
    double Overage = 0.25;                   // In a window a customer may pass its quota by this part of it,
    double Slack = 20;                       // and by so many requests more.
    double OverageUsed = 0.3;                // Part of these two that is aimed at: the rest is for what is known late.
    TimeUs ReportUs = 250 * UsPerMs;         // How often instances report,
    TimeUs ForwardUs = 100 * UsPerMs;        // and those to which others report, so that news are not held up at each of them.
    TimeUs DecideUs = 50 * UsPerMs;          // Shortest time between two decisions.
    TimeUs MemberUs = 750 * UsPerMs;         // Reports and decisions are believed for so long: two in a row may be lost.
    TimeUs MembersKeptUs = 60 * UsPerSecond; // Instances that went silent may be cut off and still admit for so long.
    TimeUs CorrectUs = 1500 * UsPerMs;       // Time in which the sum of a window is brought to its aim: some twice as long as news take.
    double StartCovered = 0.5;               // While less of the window is known, most of the fleet has just started.
    double StartParts = 3;     // After a start of all an instance admits so many times its even part, at the most: callers come unevenly.
    double MembersGuess = 100; // Instances of the fleet, for one that has never heard of any.
    double CutOffShare = 0.25; // Part of the fleet that may admit one request each by itself within Slack.
    double SurgeShare = 2; // At this share and above, an instance admits StartParts at the most, in case many come at once; above 1: never.
    double TrialPerS = 1.0 / 60; // Rate of a target that names a lower limit, or none at all: its answers tell when it takes more.
    TimeUs NamedKeptUs = 300 * UsPerSecond; // A limit is believed for so long after it was last named.
    TimeUs LiftedKeptUs = 10 * UsPerSecond; // That it is no longer named is told for so long: all have heard by then.
};

// For limits that targets name: a target may get half as much again as it names, and 5 requests, in 4 s.
QuotaConfig TargetQuotaConfig();

// A limit that a target named in an answer. The latest word holds, wherever in the fleet it was heard.
struct NamedLimit
{
    double PerS = 0;      // Requests a second, of all instances together.
    bool InForce = false; // False: it has answered since without naming one.
    TimeUs HeardUs = 0;   // When the answer came.
};

// What was seen of a customer.
struct QuotaCount
{
    double Admitted = 0; // Requests in the last window.
    double Leaving = 0;  // Of these a second, that the window is about to leave behind.
    double Wanted = 0;   // Requests a second, admitted or not, of the last second,
    double Rising = 0;   // and of the last part of it: who asks for much more all of a sudden is seen so.
};

struct QuotaStep
{
    int64_t Number = -1; // Which step of time it counts.
    int Wanted = 0;
    int Admitted = 0;
};

// What this instance has seen of a customer.
struct QuotaUse
{
    static constexpr int Steps = 20;              // Parts of the window.
    std::array<QuotaStep, Steps + 4> Counts = {}; // Ring, by step number.
    double Credit = 0;                            // Of the share that is admitted: a request is, when it comes to one.
    double Alone = 0;                             // Requests that may be admitted without a decision,
    TimeUs AloneUs = 0;                           // as of then; 0: never counted.
    TimeUs ChargedUs = 0;                         // Decision since which admitted requests were taken off that.
};

struct QuotaReportEntry
{
    uint64_t Customer = 0; // Id.
    QuotaCount Count;
};

// A limit as instances tell it each other.
struct NamedLimitNews
{
    uint64_t Id = 0; // Of the target's life.
    double PerS = 0;
    bool InForce = false;
    TimeUs AgeUs = 0; // How long ago it was heard.
};

// How many instances there were at most of late. All tell it each other, so that it outlives whoever counted them.
struct QuotaMost
{
    double Members = 0; // 0: unknown.
    TimeUs AgeUs = 0;   // How long ago they were counted.
};

// Part of what an instance reports; several make up the whole.
struct QuotaReport
{
    QuotaMost Most;
    double Members = 0; // Instances that the sums are of.
    double Covered = 0; // The same, each by the part of the window that it has been up for.
    std::vector<QuotaReportEntry> Entries;
    std::vector<NamedLimitNews> Named;
};

struct QuotaShare
{
    uint64_t Customer = 0; // Id.
    double Share = 1;      // Part of its requests that is admitted.
};

// Part of what was decided. A customer that isn't named is admitted in full, unless the window is not known whole.
struct QuotaAnswer
{
    QuotaMost Most;
    double Covered = 0; // Part of the window that is known, 0 to 1.
    std::vector<QuotaShare> Shares;
    std::vector<NamedLimitNews> Named;
};

struct QuotaHeard
{
    QuotaCount Count;
    TimeUs AtUs = 0; // When it was reported.
};

// An instance that reports to this one.
struct QuotaMember
{
    TimeUs HeardUs = 0;
    double Members = 0;
    double Covered = 0;
    std::unordered_map<uint64_t, QuotaHeard> Counts; // By customer.
};

struct QuotaDecision
{
    double Share = 1;
    TimeUs AtUs = 0; // When it was made, or told.
};

struct Quota
{
    QuotaConfig Config;
    bool Decides = false;                               // We are a first contact.
    TimeUs StartedUs = 0;                               // When this instance was started.
    std::unordered_map<uint64_t, NamedLimit> Named;     // Of targets, by life.
    std::unordered_map<uint64_t, QuotaUse> Own;         // By customer or target; those without requests for a while are forgotten.
    std::map<std::string, QuotaMember> Followers;       // By address: those that report to us.
    std::map<std::string, QuotaMember> Contacts;        // The same of other first contacts.
    std::unordered_map<uint64_t, QuotaDecision> Shares; // Of customers that are not admitted in full, or were not a moment ago.
    double Members = 1;                                 // Instances heard now, if we decide.
    double Covered = 0;                                 // Part of the window that is known of them all, 0 to 1.
    TimeUs ToldUs = 0;                                  // When a decision was last told; 0: never.
    TimeUs DecidedUs = 0;                               // When we last decided.
    double MembersMost = 0;                             // Most instances of late; 0: unknown.
    TimeUs MembersMostUs = 0;                           // When they were counted.
    double MembersLow = 0;                              // Fewest instances counted since
    TimeUs MembersLowUs = 0;                            // then.
};

// Whether a request of the customer may be served. It counts from now on.
bool QuotaTake(Quota* quota, const Customer& customer, TimeUs now, Random* random);

// One that was taken at `taken` was run by no target, or did not go to this one.
void QuotaReturn(Quota* quota, uint64_t id, TimeUs taken);

// A target has answered, and named a limit or none. True if that is new.
bool QuotaName(Quota* quota, uint64_t id, std::optional<double> per_s, TimeUs now);

// The limit that is in force for a target, or null.
const NamedLimit* QuotaNamed(const Quota& quota, uint64_t id);

// Whether a request may go to a target. It counts from now on. True for targets without a limit.
bool QuotaTakeNamed(Quota* quota, uint64_t id, TimeUs now, Random* random);

// When a request that was not admitted at a target may be, from now.
TimeUs QuotaNamedTurn(const Quota& quota, uint64_t id);

// When a refused caller may come back with some hope, from now.
TimeUs QuotaReturnTime(const Quota& quota, uint64_t customer, Random* random);

// Forgets what is too old, and, at a first contact, decides, unless it has just done so. True if anybody's share has changed so much that
// it should be told at once.
bool QuotaDecide(Quota* quota, const Customers& customers, TimeUs now);

// The same for targets.
bool QuotaDecideNamed(Quota* quota, TimeUs now);

// How long to wait before the next report.
TimeUs QuotaReportIn(const Quota& quota);

// What is reported to the instance that is followed, or to other first contacts. At least one.
std::vector<QuotaReport> QuotaReports(const Quota& quota, TimeUs now);

// Another instance reports; `contact`: it is a first contact, as we are. Reports that make no sense are passed over. True if it was not
// known: another first contact that has just started should hear at once what we know.
bool QuotaHeardReport(Quota* quota, const std::string& from, const QuotaReport& report, bool contact, TimeUs now);

// What those that report are told; nothing if nothing is known.
std::vector<QuotaAnswer> QuotaAnswers(const Quota& quota, TimeUs now);

// The instance that we report to has told what was decided. True if it should be handed on at once: nothing was known before, or
// somebody's share has changed much.
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
