// store_reader.h: reads a read-only key-value store: one full read, then long polls for changes.
//
// The data comes from the store itself or from another instance (relay.h), as calls to the store are billed and rate-limited. The library
// selects the source (Follow in winchlink.h); the reader makes the calls, decodes the answers, and reports the outcome. Every call has a
// timeout.
//
// The reader is independent of paths and encodings: a StoreDialect supplies them (platform/wire.h for the store, relay.h for instances).
//
// How to use it: fill FromStore, FromInstance, Following's sources and the callbacks, then StoreReaderStart().

#pragma once

#include "client.h"
#include "path_check.h"

namespace Winchlink
{

struct StoreItem
{
    std::string Key;
    std::string Value;     // Decoded; empty if Gone.
    uint64_t Revision = 0; // Store revision of its last change.
    bool Gone = false;     // The key was removed.

    template <class Archive> void serialize(Archive& archive)
    {
        archive(Key, Value, Revision, Gone);
    }
};

// How an instance got its data. Left out of an answer if the follower knows it already; earlier versions don't send it.
struct DataRoute
{
    std::vector<std::string> Path;    // Instances that the data passed through, see SourceStatus.
    std::vector<std::string> Readers; // The readers, see SourceStatus.
    bool NoPath = false;              // See SourceStatus.

    template <class Archive> void serialize(Archive& archive)
    {
        archive(Path, Readers, NoPath);
    }
};

struct StorePage
{
    std::vector<StoreItem> Items;
    std::vector<Error> ItemsWithoutKey; // Items without a usable key; they are logged and skipped.
    bool More = false;                  // Another page follows.
    uint64_t Revision = 0;              // Store revision of the data.
    TimeUs AgeUs = 0;                   // Time since the data was known to be current; 0 from the store itself.
    bool StoreLost = false;             // The source has lost the store.
    TimeUs TriedUs = 0;                 // If so: time since the last failed attempt to reach the store.
    std::string Origin;                 // Address of the instance that reads the store for the source; may be empty.
    std::vector<std::string> Elsewhere; // Redirect: ask one of these instances instead.
    uint64_t QuarantineDigest = 0;      // Digest of the source's quarantine; only from an instance.
    DataRoute Route;                    // How the source got its data; only from an instance.
    bool HasRoute = false;              // The answer contained Route.
    std::vector<PeerUpdate> Peers;      // The source and other instances that it knows; only from an instance.
    std::string Packed;                 // Items as received from another instance, to be passed on without encoding them again.

    // Head of a message between instances; Route and the items follow separately.
    template <class Archive> void serialize(Archive& archive)
    {
        archive(More, Revision, AgeUs, StoreLost, TriedUs, Origin, Elsewhere, QuarantineDigest);
    }
};

// Paths and encodings of one kind of source.
struct StoreDialect
{
    std::function<std::string(const std::string& after_key)> PageTarget;   // Path and query for a page of a full read.
    std::function<std::string(uint64_t after, TimeUs wait)> ChangesTarget; // Path and query for a long poll.
    std::function<Result<StorePage>(const std::string& body)> ReadPage;    // Decodes a page.
    std::function<Result<StorePage>(const std::string& body)> ReadChanges; // Decodes the answer to a long poll.
    std::function<std::string(const FollowStep& step)> QueryFlags;         // Query parameters added to either; may be empty.
    int HistoryGoneStatus = 410;                                           // Status if changes since the revision are no longer kept.
};

struct StoreSource
{
    StoreDialect Dialect;
    TimeUs WaitUs = 0;      // Duration of a long poll.
    TimeUs MarginUs = 0;    // Added to it for the timeout of the call.
    TimeUs TryMarginUs = 0; // The same for a short poll that only tries the source.
    TimeUs BatchUs = 0;     // Pause after changes, to batch them.
    TimeUs ReadUs = 0;      // Timeout of a page.
    TimeUs ConnectUs = 0;   // Connect timeout.
};

// A source that answered with current data, for the log.
struct SourceInUse
{
    std::string Address;
    std::string Origin;    // Instance that reads the store for it.
    TimeUs AnsweredUs = 0; // Time of its last answer; 0 if there was none.
};

struct StoreReader
{
    StoreSource FromStore;
    StoreSource FromInstance;
    TimeUs UnfollowedWaitUs = 0; // Long poll at the store while no other instance is known; 0: as usual.
    Follow Following;
    // A full read, or changes up to a revision. `after`: time at which the previous data was current, so that all changes are more recent;
    // 0: there was no data.
    std::function<void(const StorePage& all, uint64_t at, TimeUs after)> OnAll;
    std::function<void(const std::vector<StoreItem>&, uint64_t at, TimeUs after)> OnChanges;
    std::function<void(const std::string& why, TimeUs tried)> OnStoreFailed; // The store failed, `tried` microseconds ago.
    std::function<void(const std::string& source)> OnSourceFailed;           // An instance that was read from failed. May be empty.
    std::function<void()> OnNoPath;                                          // Followers are to learn that there is no path to the store.
    std::function<void(bool changed)> OnAnswered;                            // A source answered with current data.
    std::function<void(const std::vector<PeerUpdate>&)> OnPeers;             // An instance answered, see StorePage. May be empty.
    std::function<void(uint64_t digest)> OnQuarantineDigest;                 // An instance answered, see StorePage. May be empty.

    EventLoop* Loop = nullptr;
    Client* Calls = nullptr;
    Random* Rng = nullptr;
    std::vector<StoreItem> Pages;                               // Items of the pages read so far.
    uint64_t PagesAt = 0;                                       // Revision of the first page.
    TimeUs PagesSinceUs = 0;                                    // Time at which the first page was current.
    bool HistoryGone = false;                                   // A full read is needed.
    uint64_t Current = 0;                                       // Id of the call in progress; 0 if none.
    TimeUs CalledUs = 0;                                        // When it was sent.
    Timer Next;                                                 // Starts the next call.
    PathCheck StorePath;                                        // Checks whether there is a path to the store.
    Timer PathDelay;                                            // Starts the check.
    PathState_ PathSeen = PathState_None;                       // Result of a check during the call in progress.
    std::array<uint64_t, StoreReason_COUNT> StoreCallsFor = {}; // Counters: calls to the store, by reason.
    uint64_t CallsFailed = 0;                                   // Counter: failed calls, and sources left.
    SourceInUse InUse;                                          // The source that last answered with current data.
    std::string RouteFrom;                                      // The instance that sent LastRoute.
    DataRoute LastRoute;                                        // The latest route that an answer contained.
    uint64_t SourceChanges = 0;                                 // Counter: changes of InUse.
};

// Starts the full read. Long polls follow.
void StoreReaderStart(StoreReader* reader, EventLoop* loop, Client* client, Random* random);

// Asks the store at once, on behalf of another instance.
void StoreReaderAskStore(StoreReader* reader);

// Callers wait for the first data; see FollowCallersWaiting().
void StoreReaderCallersWaiting(StoreReader* reader);

// Digest of a route, see FollowStep.
uint32_t RouteDigest(const DataRoute& route);

// Age of the data at this instance; -1 if there is none.
TimeUs StoreDataAgeUs(const StoreReader& reader);

// Number of calls to the store so far.
uint64_t StoreCalls(const StoreReader& reader);

} // namespace Winchlink
