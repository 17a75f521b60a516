// winchlink.h: the coordination parts of the winchlink load balancer, as a library.
//
// What it is: the decisions of the daemon without its sockets and threads. Each part is a plain struct and a few free functions. Time,
// random numbers and messages are arguments, so that every part can be embedded, replayed and fuzzed. Nothing here blocks, locks or
// does I/O; guard a struct with your own mutex if several threads use it.
//
// How to use it: read this file top to bottom, then examples/embed.cpp. Link libwinchlink, jansson and sodium, and call Init() once.
// All times are microseconds of one clock of yours; it must count while the machine sleeps (CLOCK_BOOTTIME). Only the measuring budget
// takes wall-clock time, as its turns are common to the fleet.
//
// Index of this file:
// [SECTION] Constants
// [SECTION] Result codes
// [SECTION] Table
// [SECTION] Messages
// [SECTION] Membership
// [SECTION] Table agreement
// [SECTION] Target runs (who is leaving, who started anew)
// [SECTION] Coordinator (the three parts above, joined to one message pump)
// [SECTION] Measuring budget
// [SECTION] Permits (a row's limit on concurrent work, lent for a term)
// [SECTION] Router
// [SECTION] Request life and retry budget
// [SECTION] Route plan (what a gateway instance serves; newer versions win)
// [SECTION] Target directory (which targets there are, as a lagging store tells it)
// [SECTION] Target pool (which target to ask for its load, and which to take)

#pragma once

#include <array>
#include <bitset>
#include <boost/outcome/result.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
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

// Call once before anything else; safe to call again. False when the crypto library can't start.
bool Init();

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
    Code_TableDigestMismatch = 1112,
    Code_TableOlder = 1113,
    Code_TableConflict = 1114,

    Code_NoTable = 2001,
    Code_NoRoute = 2002,
    Code_RowLimit = 2003,
    Code_NoTargetLeft = 2004,
    Code_DeadlineTooShort = 2005,
    Code_InstanceBusy = 2006,
    Code_InstanceLeaving = 2007,
    Code_InstanceWaking = 2008,
    Code_TargetRefused = 2009,
    Code_ConnectFailed = 2010,
    Code_OtherInstances = 2011,
    Code_TargetsBusy = 2012,

    Code_OutcomeUnknown = 2101,
    Code_DeadlinePassed = 2102,
    Code_AnswerBroken = 2103,
    Code_CallerGone = 2104,
    Code_AnswerTooLarge = 2105,

    Code_BadDeadline = 2201,
    Code_BodyTooLarge = 2202,
    Code_BadRequest = 2203,

    Code_MessageTooShort = 3001,
    Code_MessageBadMark = 3002,
    Code_MessageBadVersion = 3003,
    Code_MessageBadType = 3004,
    Code_MessageMalformed = 3005,
    Code_MessageReplayed = 3006,

    Code_PlatformUnreachable = 4001,
    Code_PlatformBadAnswer = 4002,
    Code_PlatformOlder = 4003,
    Code_PlatformTorn = 4004,

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
// [SECTION] Table
//-----------------------------------------------------------------------------

inline constexpr size_t TableRowsMax = 2048;         // Rows in one table.
inline constexpr size_t RowTargetsMax = 512;         // Targets in one row.
inline constexpr size_t RowMethodsMax = 16;          // Methods in one row's list.
inline constexpr int RowNumberMost = 1000000;        // Largest instance number that a row may name.
inline constexpr size_t MethodMax = 32;              // Letters of a method.
inline constexpr size_t TextMax = 256;               // Bytes of a name, host, prefix or address.
inline constexpr size_t PlatformValueMax = MiB;      // Bytes of one platform value.
inline constexpr size_t TableDocumentMax = 16 * MiB; // Bytes of the operators\' whole document; 600 rows of 11 targets are some 1.4 MB.

using Digest = std::array<uint8_t, 16>; // BLAKE2b-128.
using TargetKey = uint64_t;             // SipHash of the target's address.

enum Class_ : int
{
    Class_Critical,   // Refused last.
    Class_Normal,     // Refused before critical.
    Class_Background, // Refused first; may wait.
    Class_COUNT,
};

const char* ClassName(Class_ value);

struct TargetRow
{
    std::string Address;    // "IP:port".
    std::string DataCentre; // Where it runs; compared with the instance's own.
    int Weight = 1;         // Share of the row's traffic, 0 (none) to 1000.
    int Slots = 1;          // Requests it works on at once.
};

struct ServiceRow
{
    std::string Name;                       // Unique in the table.
    uint64_t Revision = 0;                  // Table revision that last changed this row.
    std::string PathPrefix;                 // Requests whose path starts so belong to the row; may be empty if Host is set.
    std::string Host;                       // Requests with this Host header; empty means any.
    Class_ Class = Class_Normal;            // Who gives way to whom.
    int MaxConnections = 250;               // Connections to one target, over the fleet.
    int MaxConcurrent = 0;                  // Requests in progress in the row, over the fleet; 0 means three times the sum of slots.
    int MeasuringBudgetMs = 0;              // Milliseconds of target time per second that probes may cost the row, over the fleet.
    int ProbeCostMs = 6;                    // Target time one probe costs.
    int DeadlineMs = 1000;                  // Deadline where the caller names none.
    int FirstNumber = 0;                    // Where Numbers is set: the first of the instance numbers that serve the row.
    int Numbers = 0;                        // How many numbers, from FirstNumber on, serve the row; 0: every instance does.
    std::vector<std::string> RepeatMethods; // Methods that may be run more than once.
    std::vector<TargetRow> Targets;         // At least one.
    Digest RowDigest = {};                  // Digest of all of the above; set by SealRow().
};

struct RemovedRow
{
    std::string Name;      // Row that was removed.
    uint64_t Revision = 0; // Table revision that removed it.
};

// Versions are ordered by revision, then by digest: two contents under one revision are an operator's mistake, and the larger digest
// wins everywhere alike.
struct TableVersion
{
    uint64_t Revision = 0;   // 0: no table yet.
    Digest TableDigest = {}; // Digest of revision and row digests.
};

bool operator==(const TableVersion& a, const TableVersion& b);
bool operator<(const TableVersion& a, const TableVersion& b);

struct Table
{
    TableVersion Version;            // Revision and digest of the rows below.
    std::vector<ServiceRow> Rows;    // Sorted by name.
    std::vector<RemovedRow> Removed; // Rows removed of late, for deltas; not part of the digest.
};

using TablePtr = std::shared_ptr<const Table>;

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

// Reads the operators' document (docs/OPERATORS.md). Reports every fault, not only the first. The rows keep the revision they name, or
// take the table's where they name none.
CheckedTable ParseTable(const std::string& json);

// All checks on a table that was put together from rows.
std::vector<Fault> CheckTable(const Table& table);

// Reads one row as the platform serves it.
Result<ServiceRow> ParseRow(const std::string& json);

// The row as the platform serves it.
std::string FormatRow(const ServiceRow& row);

// The whole table as the operators' document.
std::string FormatTable(const Table& table);

// Sets the row's digest from its content.
void SealRow(ServiceRow* row);

// Sorts the rows by name and sets the table's digest. Rows must be sealed.
void SealTable(Table* table);

// Gives each row of `next` the revision of the table that last changed its content, and notes the rows that `previous` had and `next`
// has not. Use it before publishing.
void AssignRowRevisions(const Table& previous, Table* next);

// The row of that name, or null.
const ServiceRow* FindRow(const Table& table, const std::string& name);

// The row a request belongs to: the longest path prefix among rows of that host, then among rows of any host. Null if none.
const ServiceRow* MatchRow(const Table& table, const std::string& host, const std::string& path);

TargetKey KeyOfTarget(const std::string& address);

// An edit is in force everywhere by then. What two versions of a row must not both give away waits for so long.
inline constexpr TimeUs TableSpreadUs = 11 * UsPerSecond;

// The instance numbers that serve a row.
struct NumberRange
{
    uint32_t First = 0;
    uint32_t Count = 0; // From First on; 0: all numbers.
};

NumberRange RangeOfRow(const ServiceRow& row);
bool operator==(const NumberRange& a, const NumberRange& b);
bool NumberInRange(const NumberRange& range, uint32_t number);

// An instance's place among those that serve a row. Limits and turns are shared by place, so that they stay whole numbers however large
// the fleet is.
struct RowPlace
{
    bool Serves = true; // The row is served by this instance.
    uint32_t Place = 0; // 0 to Count - 1; meaningless if Serves is false.
    uint32_t Count = 1; // Instances that share the row.
};

RowPlace PlaceInRow(const ServiceRow& row, uint32_t number, uint32_t numbers);

// True for "a.b.c.d:port" with a port from 1 to 65535.
bool IsAddress(const std::string& address);

// The index value of the platform: which rows there are and when each changed.
struct IndexEntry
{
    std::string Name;      // Row.
    uint64_t Revision = 0; // Its revision.
};

struct TableIndex
{
    TableVersion Version;         // Of the whole table.
    std::vector<IndexEntry> Rows; // Sorted by name.
};

Result<TableIndex> ParseIndex(const std::string& json);
std::string FormatIndex(const Table& table);

struct TableDelta
{
    TableVersion From;               // What the receiver must hold; revision 0 for a whole table.
    TableVersion To;                 // What it holds afterwards.
    std::vector<ServiceRow> Rows;    // Rows newer than From.
    std::vector<RemovedRow> Removed; // Names removed since From.
};

// What turns `have` into `current`. A whole table where `have` is not a revision the delta can be computed from.
TableDelta MakeDelta(const Table& current, const TableVersion& have);

// Applies all or nothing: the digest must come out as delta.To says, otherwise Code_TableDigestMismatch.
Result<TablePtr> ApplyDelta(const Table& have, const TableDelta& delta);

std::string FormatDigest(const Digest& digest);
Result<Digest> ParseDigest(const std::string& hex);

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

using InstanceId = uint64_t; // SipHash of the instance's control address.

inline constexpr size_t SamplesMax = 8;       // Peers named in one heartbeat.
inline constexpr size_t ClaimsMax = 12;       // Platform readers named in one heartbeat.
inline constexpr size_t RunsMax = 24;         // Target runs named in one heartbeat.
inline constexpr size_t LeavingMax = 4096;    // Leaving targets in one table reply.
inline constexpr size_t DatagramMax = 1200;   // Larger messages go by TCP.
inline constexpr size_t MessageMax = 8 * MiB; // Larger messages are refused.
inline constexpr size_t KeySize = 32;         // Bytes of a message key.

struct Endpoint
{
    uint32_t Ip = 0;   // IPv4, host order.
    uint16_t Port = 0; // UDP and TCP port.
};

bool operator==(const Endpoint& a, const Endpoint& b);
Result<Endpoint> ParseEndpoint(const std::string& address);
std::string FormatEndpoint(const Endpoint& endpoint);
InstanceId IdOfEndpoint(const Endpoint& endpoint);

struct PeerSample
{
    Endpoint Address;         // Control address; the id follows from it.
    uint64_t Incarnation = 0; // Start of that process.
    uint32_t AgeMs = 0;       // Since anybody heard it.
    uint32_t DataCentre = 0;  // Hash of the data centre's name.
    uint32_t Number = 0;      // Its number.
};

struct ReaderClaim
{
    InstanceId Id = 0;       // An instance that reads the platform.
    uint32_t DataCentre = 0; // Where it is.
    uint32_t AgeMs = 0;      // Since it last asked the platform.
};

// The last known run of a target. Merging is a join: the larger start wins, and within one start leaving stays leaving.
struct TargetRun
{
    TargetKey Key = 0;    // Which target.
    uint64_t StartId = 0; // Start of the target's process, as it reports it; grows with each start.
    bool Leaving = false; // It said that it drains, or the platform's list did.
    uint16_t Busy = 0;    // Requests it worked on when it reported.
    uint16_t AgeMs = 0;   // Of the report; saturates.
};

enum MessageType_ : uint8_t
{
    MessageType_None,
    MessageType_Heartbeat,
    MessageType_TableRequest,
    MessageType_TableReply,
    MessageType_PermitRequest,
    MessageType_PermitReply,
    MessageType_PermitReturn,
    MessageType_COUNT,
};

enum InstanceState_ : uint8_t
{
    InstanceState_Joining, // Has no table it may believe yet.
    InstanceState_Serving,
    InstanceState_Leaving, // Planned stop: forget it.
    InstanceState_COUNT,
};

struct Heartbeat
{
    InstanceState_ State = InstanceState_Joining;
    uint32_t DataCentre = 0;         // Hash of the sender's data centre name.
    uint32_t Number = 0;             // The sender's number.
    TableVersion Table;              // What it holds.
    uint64_t RunsDigest = 0;         // Digest of its leaving targets.
    bool WantsReply = false;         // A joining instance asks to be heartbeaten at once.
    std::vector<PeerSample> Samples; // Other peers it knows.
    std::vector<ReaderClaim> Claims; // Platform readers it knows.
    std::vector<TargetRun> Runs;     // Recent news of targets.
};

struct TableRequest
{
    TableVersion Have;      // Revision 0: send it whole.
    bool WantsRuns = false; // Send all leaving targets too.
};

struct TableReply
{
    TableDelta Delta;            // May be empty (From equals To).
    std::vector<TargetRun> Runs; // All leaving targets, if asked for.
};

// Asks a peer for permits of a row.
struct PermitRequest
{
    uint64_t Row = 0;   // Hash of the row's name.
    uint64_t AskId = 0; // The borrower's number of this request; names the lease from then on.
    uint16_t Want = 0;  // How many.
};

struct PermitReply
{
    uint64_t Row = 0;    // As asked.
    uint64_t AskId = 0;  // As asked.
    uint16_t Count = 0;  // Lent; 0 if none can be spared.
    uint16_t Idle = 0;   // What the lender could still spare.
    uint32_t TermMs = 0; // How long, counted by the borrower from when it asked.
};

// Gives a lease back before its end.
struct PermitReturn
{
    uint64_t Row = 0;   // As asked.
    uint64_t AskId = 0; // Which lease.
};

struct MessageHead
{
    InstanceId Sender = 0;    // Who sent it.
    Endpoint Address;         // Where it can be reached.
    uint64_t Incarnation = 0; // Start of the sender's process.
    uint64_t Sequence = 0;    // Grows with each message of one incarnation.
};

struct Message
{
    MessageHead Head;
    MessageType_ Type = MessageType_None; // Which one of the following is set.
    Heartbeat Beat;
    TableRequest Request;
    TableReply Reply;
    PermitRequest Ask;
    PermitReply Lease;
    PermitReturn Return;
};

struct MessageKeys
{
    std::array<uint8_t, KeySize> Current = {};            // Marks what is sent.
    std::optional<std::array<uint8_t, KeySize>> Previous; // Accepted as well while keys are being changed.
};

// Encodes and marks a message (HMAC-SHA-512-256, first 16 bytes).
std::string EncodeMessage(const Message& message, const MessageKeys& keys);

// Checks the mark first, then decodes. Lengths in the message never size an allocation.
Result<Message> DecodeMessage(const std::string& bytes, const MessageKeys& keys);

//-----------------------------------------------------------------------------
// [SECTION] Membership
//-----------------------------------------------------------------------------

struct MembershipConfig
{
    Endpoint Self;                            // Own control address.
    std::string DataCentre;                   // Own data centre.
    uint64_t Incarnation = 0;                 // Start of this process; must grow from start to start.
    uint32_t Number = 0;                      // Own number; unique in the fleet.
    int Fanout = 3;                           // Peers heartbeaten per period.
    TimeUs PeriodUs = 1 * UsPerSecond;        // Heartbeat period.
    TimeUs PeerTimeoutUs = 8 * UsPerSecond;   // Unheard of for so long: gone.
    int SharingTimeouts = 4;                  // Peers that share a row with us are kept for so many timeouts: they are hard to find again.
    size_t ViewMax = 64;                      // Peers remembered; beyond it the view is a random part of the fleet.
    int ReadersPerDataCentre = 2;             // Instances that read the platform, per data centre.
    TimeUs ClaimTimeoutUs = 15 * UsPerSecond; // A reader that has not asked for so long is none.
    TimeUs FailingUs = 20 * UsPerSecond;      // A reader that the platform does not answer for so long lets others try.
    TimeUs RestUs = 60 * UsPerSecond;         // And for so long.
};

inline constexpr size_t ReplayWindow = 256; // Messages may overtake each other by so many (UDP and TCP side by side).

struct Peer
{
    InstanceId Id = 0;              // Hash of Address.
    Endpoint Address;               // Control address.
    uint64_t Incarnation = 0;       // Latest seen.
    uint64_t Sequence = 0;          // Largest of that incarnation; 0 if only heard of.
    std::bitset<ReplayWindow> Seen; // Which of the last ReplayWindow numbers came; bit 0 is Sequence.
    TimeUs HeardUs = 0;             // When anybody last heard it.
    uint32_t DataCentre = 0;        // Hash of its data centre's name.
    uint32_t Number = 0;            // Its number, as last told.
    InstanceState_ State = InstanceState_Joining;
    bool Direct = false; // We have had a message of this incarnation ourselves.
    TableVersion Table;  // What it held in its last direct heartbeat.
};

// A peer that is gone or forgotten; kept so that its old messages can't bring it back.
struct Tombstone
{
    InstanceId Id = 0;
    uint64_t Incarnation = 0;
    uint64_t Sequence = 0;
};

struct Membership
{
    MembershipConfig Config;
    std::vector<NumberRange> Ranges;   // Numbers of the rows that only a few instances serve, each range once.
    std::vector<NumberRange> Shared;   // Those of them that we are in. These peers stay in the view.
    std::vector<Peer> Peers;           // Live peers, no order.
    std::vector<Tombstone> Tombstones; // Oldest first, bounded.
    std::vector<Endpoint> Seeds;       // From settings and the platform's list; tried while few peers are known.
    std::vector<ReaderClaim> Claims;   // Other instances that read the platform, AgeMs as of ClaimsUs.
    TimeUs ClaimsUs = 0;               // When the ages above were last advanced.
    TimeUs AskedUs = 0;                // When we last asked the platform ourselves; 0 if not, or not any more.
    TimeUs FailingSinceUs = 0;         // When the platform began not to answer us; 0 while it does.
    TimeUs RestUntilUs = 0;            // We let others try until then.
    TimeUs StepInUs = 0;               // Too few readers are seen: we step in then; 0 if there are enough.
    uint64_t ReplaysRefused = 0;       // Messages older than one already seen.
};

uint32_t HashDataCentre(const std::string& name);

// Notes that a message came. False when it is a replay or from a past incarnation: ignore it then.
bool MembershipHeard(Membership* m, const MessageHead& head, TimeUs now);

// Takes in what a heartbeat says of its sender and of others.
void MembershipMerge(Membership* m, const MessageHead& head, const Heartbeat& beat, TimeUs now);

// Takes note of the rows that only a few instances serve, this one among them.
void MembershipFollow(Membership* m, const Table& table);

// Drops peers unheard of for too long.
void MembershipExpire(Membership* m, TimeUs now);

// Up to `count` distinct random live peers, or seeds while there are too few.
std::vector<Endpoint> MembershipPick(const Membership& m, size_t count, Random* random);

// Readers for the next heartbeat.
void MembershipFill(const Membership& m, Heartbeat* beat, TimeUs now);

// Peers for a heartbeat to that one: those who share a row with it first, so that they meet, and others at random.
std::vector<PeerSample> MembershipSamples(const Membership& m, const Endpoint& to, TimeUs now, Random* random);

// Whether this instance is one of those that should read the platform now. Steps in after a random wait where too few others do.
bool MembershipShouldRead(Membership* m, TimeUs now, Random* random);

// We ask the platform now: renews our claim.
void MembershipAsked(Membership* m, TimeUs now);

// How that ended. One that fails for long rests, so that others, who may not be cut off, try in its place.
void MembershipAnswered(Membership* m, bool ok, TimeUs now);

// A pause: nothing heard before it proves that a peer is still there.
void MembershipForgetAges(Membership* m, TimeUs now);

//-----------------------------------------------------------------------------
// [SECTION] Table agreement
//-----------------------------------------------------------------------------

enum AdoptResult_ : int
{
    AdoptResult_Adopted, // It is in force now.
    AdoptResult_Same,    // We hold it already.
    AdoptResult_Older,   // Refused: older than what we hold.
    AdoptResult_COUNT,
};

struct Agreement
{
    TablePtr Current;                 // Never null; revision 0 until one is adopted.
    TimeUs AdoptedUs = 0;             // When Current came in force here.
    bool Joined = false;              // Has heard enough peers to believe the platform.
    bool Alone = false;               // Joined because nobody answered in time.
    TimeUs StartedUs = 0;             // Start of joining.
    std::vector<InstanceId> Answered; // Serving peers whose version was heard while joining.
    uint64_t Conflicts = 0;           // Two contents under one revision were seen: an operator must look.
    uint64_t OlderRefused = 0;        // Offers that would have stepped back.
    std::string RefusedReason;        // Why a newer table was not taken; empty when none was refused.
    uint64_t RefusedRevision = 0;     // Which one.
};

inline constexpr TimeUs JoinTimeoutUs = 3 * UsPerSecond; // Wait for peers before the platform is believed unheard.
inline constexpr size_t JoinAnswers = 3;                 // Peers to hear first, if so many are known.

void AgreementInit(Agreement* a, TimeUs now);

// The one place where a table comes in force. Never steps back.
AdoptResult_ AgreementAdopt(Agreement* a, TablePtr table, TimeUs now);

// Whether a table read from the platform may be adopted now.
bool AgreementMayTrustPlatform(const Agreement& a);

// Highest version known to be held by this instance and at least two others (all others, if there are fewer). An edit counts as
// accepted from then on: no single failure can lose it.
TableVersion AgreementAccepted(const Agreement& a, const Membership& m);

//-----------------------------------------------------------------------------
// [SECTION] Target runs (who is leaving, who started anew)
//-----------------------------------------------------------------------------

struct TargetRunState
{
    TargetRun Run;         // Latest known.
    TimeUs ReportedUs = 0; // When its load was reported, by our clock.
    int HotRounds = 0;     // Heartbeats that still carry it as news.
};

struct TargetRuns
{
    std::map<TargetKey, TargetRunState> ByKey; // Only targets of the table in force.
    std::vector<TargetKey> Hot;                // Those that heartbeats carry as news.
    uint64_t LeavingDigest = 0;                // Digest of all leaving targets; equal digests mean equal sets.
    uint64_t Changes = 0;                      // Starts and leavings noticed so far.
};

inline constexpr int HotRoundsOfNews = 12; // Heartbeats that carry a changed run.

// Joins one report into what is known. True if the start or the leaving mark changed.
bool RunsMerge(TargetRuns* runs, const TargetRun& report, TimeUs now);

// Drops what no row mentions, adds what is new.
void RunsFollowTable(TargetRuns* runs, const Table& table);

// All leaving targets.
std::vector<TargetRun> RunsLeaving(const TargetRuns& runs);

// Fills a heartbeat with the hottest news and counts their rounds down.
void RunsFill(TargetRuns* runs, Heartbeat* beat, TimeUs now);

//-----------------------------------------------------------------------------
// [SECTION] Coordinator (the three parts above, joined to one message pump)
//-----------------------------------------------------------------------------

struct Envelope
{
    Endpoint To;       // Receiver.
    std::string Bytes; // Encoded and marked. UDP up to DatagramMax, TCP above.
};

struct CoordinatorCounts
{
    uint64_t Sent = 0;      // Messages.
    uint64_t SentBytes = 0; // Without IP and UDP headers.
    uint64_t Received = 0;  // Messages, refused ones included.
    uint64_t ReceivedBytes = 0;
    uint64_t Refused = 0; // Bad mark, malformed, replayed.
    uint64_t DeltasApplied = 0;
    uint64_t WholesApplied = 0;
};

// A message about permits, for whoever keeps them.
struct PermitMail
{
    MessageHead Head;
    MessageType_ Type = MessageType_None; // Which one of the following is set.
    PermitRequest Ask;
    PermitReply Lease;
    PermitReturn Return;
};

struct Coordinator
{
    MessageKeys Keys;
    Membership Members;
    Agreement Tables;
    TargetRuns Runs;
    CoordinatorCounts Counts;
    Random Rng; // Injected by CoordinatorInit().
    InstanceState_ State = InstanceState_Joining;
    uint64_t Sequence = 0;               // Of the last message sent.
    TimeUs NextBeatUs = 0;               // Next periodic heartbeat.
    TimeUs NextHotUs = 0;                // Next extra heartbeat while there is news.
    int HotBeats = 0;                    // Extra heartbeats left.
    TimeUs RequestedUs = 0;              // Last table request, to ask one peer at a time.
    TimeUs RunsRequestedUs = 0;          // Last request for leaving targets.
    TimeUs LastTickUs = 0;               // For noticing pauses.
    TimeUs WokeUs = 0;                   // When the last pause ended; 0 once caught up.
    uint64_t Pauses = 0;                 // Pauses noticed.
    std::vector<PermitMail> PermitInbox; // Take it out after each CoordinatorReceive().
};

inline constexpr TimeUs PauseUs = 1 * UsPerSecond;           // A gap between ticks that counts as a pause.
inline constexpr TimeUs CatchUpUs = 1 * UsPerSecond;         // Wait for a peer after a pause, at the most.
inline constexpr TimeUs JoinPeriodUs = 200 * UsPerMs;        // Heartbeats to seeds while joining.
inline constexpr TimeUs HotPeriodUs = 100 * UsPerMs;         // Extra heartbeats while there is news.
inline constexpr int HotBeatsOfNews = 8;                     // How many.
inline constexpr TimeUs TableRequestRetryUs = 500 * UsPerMs; // Ask another peer after so long.

void CoordinatorInit(Coordinator* c, const MembershipConfig& config, const MessageKeys& keys, uint64_t seed, TimeUs now);

// Call every 10 to 100 ms. Appends what is to be sent.
void CoordinatorTick(Coordinator* c, TimeUs now, std::vector<Envelope>* out);

// Takes one message in. Appends what is to be sent. The error tells why a message was ignored.
Result<void> CoordinatorReceive(Coordinator* c, const std::string& bytes, TimeUs now, std::vector<Envelope>* out);

// Offers a table that was read from the platform and checked.
AdoptResult_ CoordinatorOffer(Coordinator* c, TablePtr table, TimeUs now);

// Offers a report that a target gave us.
void CoordinatorReport(Coordinator* c, const TargetRun& report, TimeUs now);

// False from a pause until a peer was heard again, or until it is clear that none will be. Send no request while it is false.
bool CoordinatorCaughtUp(const Coordinator& c, TimeUs now);

// Sends a message about permits.
void CoordinatorMail(Coordinator* c, const Endpoint& to, const PermitMail& mail, std::vector<Envelope>* out);

struct ServingPeer
{
    Endpoint Address;
    uint32_t Number = 0;
};

// Peers that serve, as far as we know; random order.
std::vector<ServingPeer> CoordinatorServingPeers(Coordinator* c);

// Says goodbye to all known peers.
void CoordinatorLeave(Coordinator* c, TimeUs now, std::vector<Envelope>* out);

//-----------------------------------------------------------------------------
// [SECTION] Measuring budget
//-----------------------------------------------------------------------------

// Wall-clock time is cut into turns of ProbeCost/Budget seconds per row. Only the instance whose number equals a hash of row and turn
// may probe in a turn, once, in its middle part. No view of the fleet is needed, so none can be wrong.
struct BudgetConfig
{
    uint32_t Number = 0;                // Own number; unique in the fleet.
    uint32_t Numbers = 1;               // Numbers run from 0 to Numbers - 1; the same in the whole fleet.
    TimeUs ClockGuardUs = 50 * UsPerMs; // Clocks differ by less than this.
};

struct BudgetTurn
{
    bool Mine = false;   // May probe now.
    int64_t Turn = 0;    // Number of the turn.
    TimeUs LengthUs = 0; // Length of a turn; 0 if the row has no budget.
};

// What the turns of a row follow from. Two versions of a row must not both have turns.
struct TurnRule
{
    int BudgetMs = 0;
    int CostMs = 0;
    NumberRange Range;
    TimeUs FromUs = 0; // Wall-clock time from which these turns count.
};

struct Budget
{
    BudgetConfig Config;
    int64_t EmptyUntilUs = 0;                   // Wall-clock time before which a fresh process may not probe.
    std::map<std::string, TimeUs> SpentUntilUs; // Per row: wall-clock end of the turn that we last took.
    std::map<std::string, TurnRule> Rules;      // Per row: what its turns follow from, and since when.
    bool HasTable = false;                      // BudgetFollowTable() was called.
    uint64_t Probes = 0;                        // Probes allowed so far.
    uint64_t SpentUs = 0;                       // Target time they were charged.
};

void BudgetInit(Budget* b, const BudgetConfig& config, TimeUs wall_now);

// Whose turn it is in that row. Does not spend anything.
BudgetTurn BudgetLook(const Budget& b, const ServiceRow& row, TimeUs wall_now);

// Takes the turn if it is ours and not spent. Call right before the probe is sent, with a clock read right before.
bool BudgetSpend(Budget* b, const ServiceRow& row, TimeUs wall_now);

// Call it when a table comes in force. A row whose turns have changed has none until the edit is in force everywhere. Drops what belongs to
// rows that are gone and whose last turn is over.
void BudgetFollowTable(Budget* b, const Table& table, TimeUs wall_now);

//-----------------------------------------------------------------------------
// [SECTION] Permits (a row's limit on concurrent work, lent for a term)
//-----------------------------------------------------------------------------

// Each request in progress holds a permit of its row. Each number of the fleet owns a fixed share of a row's permits, so no two instances
// can believe that they own the same one, whatever they see of each other. One that runs short borrows idle permits of a peer for a term.
// A request may hold a borrowed permit only if its deadline lies within the term, so that the lender can count on having it back.
// The limit holds if it is not below the number of instances that serve the row (each always owns one permit), processes with one number
// do not overlap in time, and a request ends at its deadline.
struct PermitConfig
{
    uint32_t Number = 0;     // Own number; unique in the fleet.
    uint32_t Numbers = 1;    // Numbers run from 0 to Numbers - 1; the same in the whole fleet.
    TimeUs StartedUs = 0;    // Start of this process. What an earlier one of the same number lent may be in use for a term from then on.
    uint64_t FirstAskId = 0; // A random number: an answer to an earlier process, or an earlier book, must not fit a request of this one.
};

enum PermitKind_ : int
{
    PermitKind_None, // No permit.
    PermitKind_Own,
    PermitKind_Borrowed,
    PermitKind_COUNT,
};

// A permit held by one request.
struct Permit
{
    PermitKind_ Kind = PermitKind_None;
    uint64_t AskId = 0; // Of the lease, if borrowed.
};

struct LentPermits
{
    InstanceId Borrower = 0;  // Who has them.
    uint64_t Incarnation = 0; // Which start of it.
    uint64_t AskId = 0;       // The borrower's number of the lease.
    int Count = 0;            // How many.
    TimeUs UntilUs = 0;       // Ours again from then on.
};

struct BorrowedPermits
{
    Endpoint Lender;    // Whose they are.
    uint64_t AskId = 0; // Our number of the lease.
    int Count = 0;      // How many.
    int InUse = 0;      // Held by requests.
    TimeUs UntilUs = 0; // No request's deadline may lie beyond.
    TimeUs UsedUs = 0;  // When one was last taken or given back.
};

struct PermitAsk
{
    Endpoint To;        // Whom we asked.
    uint64_t AskId = 0; // Our number of the request.
    int Want = 0;       // How many.
    TimeUs SentUs = 0;  // The term counts from here.
};

// What a peer last said that it could spare.
struct PermitHint
{
    Endpoint Peer;
    int Idle = 0;
    TimeUs ToldUs = 0;
};

struct Permits
{
    PermitConfig Config;
    uint64_t Row = 0;                      // Hash of the row's name.
    int Limit = 0;                         // Of the row, over the fleet.
    int Share = 0;                         // What our number owns of it, and may lend.
    NumberRange Range;                     // Who serves the row.
    RowPlace Place;                        // Our place among them.
    int ShareBefore = 0;                   // What our place owned before the row was last given to other numbers.
    TimeUs GrowsUs = 0;                    // Until then we own no more than that: others may still hold the rest.
    int InUse = 0;                         // Own ones held by requests.
    TimeUs TermUs = 0;                     // Of the leases that we give.
    TimeUs UsedUs = 0;                     // When one was last wanted here; one stays unlent for a while after.
    std::vector<LentPermits> Lent;         // Own ones that others have.
    std::vector<BorrowedPermits> Borrowed; // Others' that we have.
    std::vector<PermitAsk> Asks;           // Not answered yet.
    std::vector<PermitHint> Hints;         // Bounded.
    uint64_t LastAskId = 0;                // Of our requests.
    int Waiting = 0;                       // Requests that wait for a permit.
    bool Ahead = false;                    // The last free one was taken: borrow before one is missed.
    int Tries = 0;                         // Peers asked since a lease last came.
    int Chunk = 1;                         // Permits asked for ahead; doubles while leases are taken in quick succession.
    TimeUs LeasedUs = 0;                   // When the last lease came.
    TimeUs FullUntilUs = 0;                // Nobody could spare one: don't ask until then.
    uint64_t LeasesTaken = 0;              // Counters.
    uint64_t LeasesGiven = 0;
};

struct PermitAskOut
{
    Endpoint To;
    PermitRequest Ask;
};

struct PermitReturnOut
{
    Endpoint To;
    PermitReturn Return;
};

inline constexpr TimeUs PermitTermMostUs = 4 * UsPerSecond; // Longest lease.

// What the limit of a row is: its own, or the default.
int PermitLimit(const ServiceRow& row);

// Brings the book in line with its row. Permits that are in use or lent stay so, also where the share shrinks.
void PermitsFollow(Permits* p, const ServiceRow& row, const PermitConfig& config, TimeUs now);

// What we own now: our share, or one permit if that is none; less while a row is given to other numbers, and none of a row that we don't
// serve.
int PermitsOwn(const Permits& p, TimeUs now);

// From when on our own share may be used: a fresh process waits for the leases of an earlier one of its number to end.
TimeUs PermitsOwnFrom(const Permits& p);

// Takes a permit for a request that ends at `deadline` at the latest. PermitKind_None if there is none.
Permit PermitsTake(Permits* p, TimeUs deadline, TimeUs now);

// Own permits that nobody uses.
int PermitsIdle(const Permits& p, TimeUs now);

// Gives it back. Call exactly once for each permit taken.
void PermitsGive(Permits* p, const Permit& permit, TimeUs now);

// Whom to ask for permits now, if anybody. `peers` are those that serve, in random order. Call it again until it names nobody.
std::optional<PermitAskOut> PermitsNextAsk(Permits* p, const std::vector<Endpoint>& peers, TimeUs now);

// Asking is not possible now: whoever waits need not, unless an answer is still on its way.
void PermitsCantAsk(Permits* p, TimeUs now);

// Answers a peer that asks.
PermitReply PermitsLend(Permits* p, const MessageHead& from, const PermitRequest& ask, TimeUs now);

// Takes a peer's answer in. True if permits came.
bool PermitsLease(Permits* p, const MessageHead& from, const PermitReply& reply, TimeUs now);

// A peer gives a lease back.
void PermitsReturned(Permits* p, const MessageHead& from, const PermitReturn& returned);

// Drops what has ended. Leases that lie idle are given back: send what is returned.
std::vector<PermitReturnOut> PermitsTick(Permits* p, TimeUs now);

// Whether PermitsTick() has anything to do.
bool PermitsActive(const Permits& p);

//-----------------------------------------------------------------------------
// [SECTION] Router
//-----------------------------------------------------------------------------

struct RouterTarget
{
    TargetKey Key = 0;      // Which target.
    std::string Address;    // Where.
    bool Near = false;      // In our own data centre.
    int Weight = 1;         // From the table.
    int Slots = 1;          // From the table.
    int MaxInFlight = 0;    // Our share of the row's connection limit to this target.
    int InFlight = 0;       // Reserved by us.
    double LatencyUs = 0;   // Moving average of successful answers; 0 before the first.
    TimeUs AnsweredUs = 0;  // When the last answer came.
    TimeUs BusySinceUs = 0; // When it last answered while it had work of ours, or got some when it had none.
    double FailShare = 0;   // Moving average of failed answers, 0 to 1.
    int Samples = 0;        // Answers seen, saturating.
    int ReportBusy = 0;     // Requests of others that it last reported.
    TimeUs ReportUs = 0;    // When.
    uint64_t StartId = 0;   // Its latest known start.
    bool Leaving = false;   // Gets no new request.
    TimeUs OutUntilUs = 0;  // Ejected until then; afterwards one trial.
    bool OnTrial = false;   // A trial request is in progress.
    int Ejections = 0;      // In a row, for the growing pause.
    TimeUs StartedUs = 0;   // When its latest start was noticed, for slow start; 0 if it was there before us.
};

enum RefuseReason_ : int
{
    RefuseReason_None,
    RefuseReason_NoTargetLeft,     // All are leaving, out, of weight 0, or were tried already.
    RefuseReason_RowLimit,         // We alone have used up the row's limit on concurrent work. (Permits hold it over the fleet.)
    RefuseReason_DeadlineTooShort, // No target is expected to finish in time.
    RefuseReason_COUNT,
};

struct RouterConfig
{
    double ReportTauUs = 100.0 * UsPerMs;    // For limits and deadlines, a report loses weight with this time constant.
    double ChoiceTauUs = 20.0 * UsPerMs;     // For the choice: shorter, as an old report says less than our own reservations.
    int Choices = 4;                         // Candidates drawn by weight, of which the cheapest is taken.
    double SlowFrom = 2;                     // Latency above so many times the row's makes a target dearer; below it is taken for noise.
    double LatencyGain = 0.2;                // Weight of a new latency in the moving average.
    double LatencyGainUp = 0.5;              // The same where the new one is higher: slowness is noticed at once.
    double LatencyTauUs = 5.0 * UsPerSecond; // What was learnt of a silent target loses weight with this time constant.
    double HopedShare = 0.9;                 // A target silent for long is hoped to take this share of the row's best latency.
    double FailGain = 0.2;                   // Weight of a new outcome in the moving average.
    double FailPenalty = 20.0;               // Cost factor at FailShare 1, so that failing fast does not attract work.
    double EjectShare = 0.5;                 // FailShare above which a target is taken out.
    int EjectSamples = 5;                    // Not before so many answers.
    double EjectMaxPart = 0.5;               // Never more than this part of a row.
    TimeUs EjectUs = 2 * UsPerSecond;        // First pause; doubles up to eight times.
    TimeUs SlowStartUs = 5 * UsPerSecond;    // A fresh target's weight grows over this time.
    double FirstLatencyUs = 5.0 * UsPerMs;   // Assumed before the first answer of the row.
    double SlowShare = 0.95;                 // Share of a row's answers that are not slow: the rest may be hedged.
    double SlowStep = 0.02;                  // How fast the estimate of it moves, as a part of itself per answer.
    double FarUs = 3.0 * UsPerMs;            // Added before the first answer of a target in another data centre.
};

struct Router
{
    RouterConfig Config;
    std::string Name;                  // Row.
    uint64_t RowRevision = 0;          // Of the row last followed.
    int MaxConcurrent = 0;             // Row limit over the fleet.
    double SlowUs = 0;                 // What 95 of 100 answers of the row are faster than, about; 0 before the first.
    int InFlight = 0;                  // Sum of the targets' InFlight.
    std::vector<RouterTarget> Targets; // In the order of the row.
    std::vector<RouterTarget> Retired; // No longer in the row, with requests still in progress.
};

struct Choice
{
    RefuseReason_ Refused = RefuseReason_None; // None: Target is set and one reservation is held.
    TargetKey Target = 0;                      // Chosen.
    std::string Address;                       // Where.
    bool Trial = false;                        // First request after an ejection.
    TimeUs RetryAfterUs = 0;                   // When refused: when to come back, from the measured state.
};

struct ChooseArgs
{
    TimeUs RemainingUs = 0;       // Time left to the deadline.
    bool Repeatable = false;      // May be run more than once; only such go on trial.
    std::vector<TargetKey> Tried; // Not these again.
};

enum Outcome_ : int
{
    Outcome_None,
    Outcome_Answered,  // A complete answer, below status 500.
    Outcome_Failed,    // A complete answer of status 500 or above.
    Outcome_NotSent,   // No byte of the request left.
    Outcome_NotRun,    // The target says that it did not run it.
    Outcome_Unknown,   // Sent, and no complete answer came.
    Outcome_Cancelled, // The caller went away or the deadline passed.
    Outcome_Outrun,    // Another attempt of the same request was answered first.
    Outcome_COUNT,
};

// Brings the router in line with a row. Running statistics of targets that stay are kept. `sharers` divides the limits on connections:
// name the most instances that there can ever be, not those that are seen, and the limits hold whatever anybody sees.
void RouterFollow(Router* r, const ServiceRow& row, const std::string& data_centre, int sharers);

// Takes in the last known run of a target.
void RouterMergeRun(Router* r, const TargetRun& run, TimeUs reported_at, TimeUs now);

// Chooses a target and reserves one place on it, or refuses.
Choice RouterChoose(Router* r, const ChooseArgs& args, TimeUs now, Random* random);

// Right before sending: whether the chosen target may still get the request.
bool RouterStillGood(const Router& r, TargetKey target);

// Gives the reservation back and learns from the outcome. Call exactly once for each successful choice.
void RouterSettle(Router* r, TargetKey target, Outcome_ outcome, TimeUs latency, TimeUs now);

// How long a repeatable request waits for its answer before a second attempt goes to another target; 0: never.
TimeUs RouterHedgeAfter(const Router& r);

// Relative cost of one more request: 1/slots for an idle target that is neither slow nor failing. Public for tests and for the operators'
// page.
double RouterCost(const Router& r, const RouterTarget& target, TimeUs now);

//-----------------------------------------------------------------------------
// [SECTION] Request life and retry budget
//-----------------------------------------------------------------------------

// Retries are paid from a share of the traffic, so that they can't multiply through the layers of a deep call.
struct RetryBudget
{
    double Share = 0.1; // Retries per request.
    double Most = 10;   // Tokens kept at the most.
    double Tokens = 10; // Tokens left.
};

void RetryBudgetEarn(RetryBudget* b);
bool RetryBudgetSpend(RetryBudget* b);

enum NextStep_ : int
{
    NextStep_Retry,   // Choose again.
    NextStep_Answer,  // Pass the answer on.
    NextStep_NotRun,  // Tell the caller that it was not run.
    NextStep_Unknown, // Tell the caller that the outcome is unknown.
    NextStep_Gone,    // Nobody is there to be told.
    NextStep_COUNT,
};

inline constexpr int AttemptsMax = 3; // Attempts of one request, the first included.

// One request from admission to its end. The asserts in its functions are the rules that must always hold.
struct RequestLife
{
    bool Repeatable = false; // May be run more than once.
    int Attempts = 0;        // Begun so far.
    int MayHaveRun = 0;      // Attempts that may have been run by a target.
    bool InAttempt = false;  // Between begin and end.
    bool Ended = false;      // Caller has been told.
    bool Failed = false;     // The last attempt got a complete answer of status 500 or above.
    bool Hedged = false;     // A second attempt runs beside the one in progress.
};

void RequestBegin(RequestLife* life);

// Whether a second attempt may be begun beside a slow first one; takes a token if so. Only half of the tokens go to hedges, so that
// requests that were not run can still be sent to another target.
bool RequestMayHedge(const RequestLife& life, RetryBudget* budget);

// Begins the second attempt, and ends it. It must end before the first one does.
void RequestHedgeBegin(RequestLife* life);
void RequestHedgeEnd(RequestLife* life, Outcome_ outcome);

// Ends an attempt and says what comes next.
NextStep_ RequestEnd(RequestLife* life, Outcome_ outcome, bool time_left, RetryBudget* budget);

//-----------------------------------------------------------------------------
// [SECTION] Route plan (what a gateway instance serves; newer versions win)
//-----------------------------------------------------------------------------

// A part of a route's requests goes to each of its services.
struct RoutePart
{
    std::string Service; // Which service.
    int Weight = 1;      // Its share is Weight / sum of weights.
};

struct Route
{
    std::string Name;             // Unique in the plan.
    std::string Host;             // Requests with this Host header.
    std::string PathPrefix;       // Requests whose path begins so; ends with a slash.
    std::vector<RoutePart> Parts; // At least one.
    bool Repeatable = false;      // Requests may be run more than once.
    TimeUs TimeoutUs = 0;         // A request is answered by then, whatever the answer.
    TimeUs AimUs = 0;             // An answer within this time is good.
    int Priority = 0;             // 0 is the most urgent.
    int AttemptsMost = 1;         // Targets that one request may be sent to.
};

struct ServiceInfo
{
    std::string Name;        // Unique in the plan.
    std::string HealthPath;  // GET of it tells health and load of a target.
    int ConnectionsMost = 0; // That one target accepts, from the whole fleet.
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
};

using RoutePlanPtr = std::shared_ptr<const RoutePlan>;

// The route of a request: of those with its host, the one with the longest prefix of the path. Null if none. The port in `host` and the
// query in `target` are passed over.
const Route* FindRoute(const RoutePlan& plan, const std::string& host, const std::string& target);

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
    std::string Id;         // Of this start of the target; another start has another id.
    std::string Service;    // Which service it belongs to.
    std::string Address;    // IP:port; may have belonged to another target before.
    std::string DataCentre; // Where it runs.
    int Slots = 1;          // Requests it works on at once.
    Presence_ Presence = Presence_Ready;
    TimeUs WarmUntilUs = 0; // It is slow until then.
    TimeUs ForgetUs = 0;    // When Vanished: gone for good from then on.
    uint64_t Revision = 0;  // Of the store, when the entry last changed.
};

struct DirectoryConfig
{
    TimeUs VanishedUs = 1500 * UsPerMs;   // An entry that went is kept so long; targets serve on for 2 s after it.
    TimeUs ReturnUs = 2200 * UsPerMs;     // After trouble of the store, entries that it lost are back by then.
    TimeUs TroubleMemoryUs = UsPerSecond; // Entries that go so soon after trouble may have been lost by the store.
};

struct TargetDirectory
{
    DirectoryConfig Config;
    std::map<std::string, DirectoryTarget> Targets; // By id.
    uint64_t Changes = 0;                           // Grows with each change.
    TimeUs TroubleUs = 0;                           // When the store last failed; 0 if never.
    bool InTrouble = false;                         // It failed and has not answered since.
    TimeUs ReturnedUs = 0;                          // When it answered again.
};

// The store failed to answer, or answers again.
void DirectoryTrouble(TargetDirectory* directory, TimeUs now);
void DirectoryAnswered(TargetDirectory* directory, TimeUs now);

// An entry as the store tells it. One that is older than what is known is passed over.
void DirectoryPut(TargetDirectory* directory, const DirectoryTarget& target, TimeUs now);

// The store says that an entry went at that revision.
void DirectoryRemove(TargetDirectory* directory, const std::string& id, uint64_t revision, TimeUs now);

// All entries as of a revision: what is not among them and not newer went.
void DirectoryReplace(TargetDirectory* directory, const std::vector<DirectoryTarget>& all, uint64_t revision, TimeUs now);

// A target itself says that it leaves, or that its address belongs to another one.
void DirectoryLeaves(TargetDirectory* directory, const std::string& id);

// Forgets vanished entries when their time is over. True if any went.
bool DirectoryTick(TargetDirectory* directory, TimeUs now);

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

// The load in "running,waiting,slots,pace"; the pace may be missing. None where the text is no such list.
std::optional<LoadReport> ParseLoadReport(const std::string& text);

struct PoolTarget
{
    std::string Id;
    std::string Address;
    bool Near = false;         // In our own data centre.
    bool Doubtful = false;     // Its entry has vanished.
    int Slots = 1;             // As its entry says.
    TimeUs WarmUntilUs = 0;    // It is slow until then.
    int64_t Order = 0;         // Among equals the lowest is asked first: an instance keeps to the same few, and to their connections.
    int InFlight = 0;          // Our requests there.
    int Since = 0;             // Of those, sent since Report was made.
    LoadReport Report;         // The last one.
    TimeUs ReportUs = 0;       // When it came; 0: never.
    int FailuresInRow = 0;     // Requests and questions without a good answer.
    TimeUs AvoidUntilUs = 0;   // After failures: taken only where nothing else is left.
    TimeUs CarefulUntilUs = 0; // After failures: it gets what may not be repeated only where nothing better is left.
};

struct PoolConfig
{
    double NearlyFullShare = 0.8;       // Some targets are slower when fuller than this (users' site files, "knee").
    double NearlyFullGain = 0.05;       // Least weight of a new answer in the estimate of by how much.
    int NearlyFullPrior = 3;            // The first guess counts as so many answers.
    double NearlyFullMost = 3.0;        // Longest factor that one answer may tell: more has other causes.
    double WarmFactor = 2.0;            // Those that have just started are slower too.
    double GoodCost = 1.25;             // A target at this cost or less is taken without asking further.
    TimeUs ReportUs = 150 * UsPerMs;    // Load shifts within this time: an older report says nothing (users' site files, "noise").
    TimeUs AvoidUs = 200 * UsPerMs;     // First pause after a failure; doubles with each further one.
    int AvoidDoublings = 4;             // At most so often.
    TimeUs CarefulUs = 3 * UsPerSecond; // A failure speaks against requests that may not be repeated for so long.
};

struct TargetPool
{
    PoolConfig Config;
    std::vector<PoolTarget> Targets;
    bool InUse = false;            // It has had a request: targets that come later are new.
    bool TellsLoad = true;         // Targets of this service tell their load; false once one has answered without.
    double NearlyFullFactor = 1.4; // How many times longer work takes at a nearly full target: learnt, from a guess between none and 1.8.
    int NearlyFullSeen = 0;        // Answers that it was learnt from.
};

// Brings the pool in line with the directory; what is known of targets that stay is kept. New targets are asked first until they have had
// a request.
void PoolFollow(TargetPool* pool, const TargetDirectory& directory, const std::string& service, const std::string& data_centre,
                Random* random);

// A request goes to the target.
void PoolSent(TargetPool* pool, PoolTarget* target, Random* random);

// The target of that id, or null.
PoolTarget* PoolFind(TargetPool* pool, const std::string& id);

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

// Learns from an answer how much slower nearly full targets are: it took `factor` times what the same work takes elsewhere.
void PoolLearnNearlyFull(TargetPool* pool, double factor);

// How many times longer than usual one more request is expected to take there.
double PoolCost(const TargetPool& pool, const PoolTarget& target, TimeUs now);

void PoolReport(PoolTarget* target, const LoadReport& report, TimeUs now);
void PoolFailed(const PoolConfig& config, PoolTarget* target, TimeUs now);
void PoolGood(PoolTarget* target);

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

} // namespace Winchlink
