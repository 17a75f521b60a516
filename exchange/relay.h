// relay.h: serves an instance's copy of the store's items, and each change of them, to other instances.
//
// One instance reads the store; all others follow it, directly or through other followers. Every instance can serve its copy, so that
// instances can start while the store is unavailable. Each answer carries the age of the data, the instance that reads the store, and
// whether the store is lost; Follow (winchlink.h) selects sources by these. Revisions are those of the store, so a follower can switch
// between instances and the store without a full read.
//
// An instance without data holds full reads until it has data. It then passes on the bytes that it received before decoding them, which
// keeps the latency low when a whole fleet starts at once.
//
// Followers and sources also tell each other of instances that take over requests (Peers in winchlink.h): a follower in its query, a source
// behind the items of an answer, for followers that have told of themselves. Earlier versions ignore the query and get no such part.
//
// Messages are encoded by cereal, and their items compressed by zlib. They are not authenticated: the network must admit only the
// platform's own machines to these addresses.

#pragma once

#include "listener.h"
#include "store_reader.h"

#include <deque>

namespace Winchlink
{

inline constexpr const char* TargetCrashesPath = "/ends"; // Path for the exchange of target crashes between instances; see Quarantine.

struct RelayConfig
{
    size_t ChangesKept = 2000;          // Changes kept in memory; a follower that is further behind must do a full read.
    TimeUs HeartbeatUs = 800 * UsPerMs; // Followers get a heartbeat when the data last sent to them is older than this. Counted by the age
                                        // of the data and not by the time of sending, as the data may have been old when it was sent.
};

// A held request of a follower.
struct HeldRequest
{
    ExchangePtr From;
    UpdateRequest Request;
    Timer End;
};

struct Relay
{
    RelayConfig Config;
    Fanout FollowerLimits;  // Limits the followers served here.
    std::string DataCentre; // Of this instance.
    EventLoop* Loop = nullptr;
    Random* Rng = nullptr;
    Listener Server;
    std::map<std::string, StoreItem> Items;                   // By key.
    std::deque<StoreItem> Changes;                            // Latest changes, oldest first.
    uint64_t ChangesFrom = 0;                                 // Changes is complete above this revision.
    uint64_t Revision = 0;                                    // Store revision of Items; 0: no data.
    std::function<TimeUs()> Age;                              // Time since Items was known to be current; empty: 0.
    std::function<void()> OnAskStore;                         // A follower requests that this instance ask the store; may be empty.
    std::function<void(const UpdateRequest&)> OnInstanceSeen; // Gets each request of an instance that can be followed; may be empty.
    std::function<std::string()> Origin;                      // Returns the instance that reads the store for this one; may be empty.
    std::function<bool()> NoPath;                             // See SourceStatus; may be empty.
    std::function<bool()> Reads;                              // Whether this instance is an active reader; may be empty.
    std::function<std::vector<std::string>()> Readers;        // Returns the readers, see SourceStatus; may be empty.
    std::function<void(const UpdateRequest&)> OnFollowerSeen; // Gets each long poll that is served here; may be empty.
    std::function<std::vector<std::string>()> Path;           // Returns the instances that the data passed through; may be empty.
    std::function<void(const PeerUpdate&)> OnPeer;            // Gets what followers tell of instances; may be empty.
    // Returns what a follower is told of instances, beside itself; may be empty.
    std::function<std::vector<PeerUpdate>(const std::string& follower)> PeerNews;
    std::function<bool(const ExchangePtr&)> OnHandoff; // Takes a request that was handed on; false if it is none. May be empty.
    std::function<uint64_t()> QuarantineDigest;        // Returns the digest of the quarantine; may be empty.
    std::function<std::string(const std::string&)>
        OnTargetCrashes;                          // Handles a message with target crashes; returns the answer. May be empty.
    bool StoreLost = false;                       // The store is lost.
    TimeUs TriedUs = 0;                           // If so: time of the last failed attempt to reach it.
    TimeUs AnsweredUs = 0;                        // When updates or heartbeats were last sent to all followers.
    TimeUs AnsweredDataUs = 0;                    // Time as of which that data was known to be current.
    std::map<uint64_t, HeldRequest> HeldRequests; // Held requests, by number.
    uint64_t LastWait = 0;                        // Number of the latest one.
    uint64_t PackedAfter = 0;                     // Cached answer: changes after this revision,
    uint64_t PackedAt = 0;                        // up to this one,
    std::string Packed;                           // encoded.
    std::string All;                              // Cached answer to full reads, encoded.
    uint64_t AllAt = 0;                           // Its revision; 0: none.
    uint64_t Answers = 0;                         // Counter: answers to requests for changes.

    Relay() = default;
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;
};

// Listens for followers.
Result<void> RelayStart(Relay* relay, EventLoop* loop, Random* random, const std::string& address);

// New data from this instance's source: a full read, or changes. Waiting followers are answered.
void RelaySetAll(Relay* relay, const StorePage& all, uint64_t at);
void RelayAddChanges(Relay* relay, const std::vector<StoreItem>& changes, uint64_t at);

// The store is lost, with the last failed attempt at `tried`; the store is available again.
void RelaySetStoreLost(Relay* relay, TimeUs tried);
void RelaySetStoreAvailable(Relay* relay);

// The source answered without changes. Sends a heartbeat to the followers when due, so that the age of their data stays low over several
// hops.
void RelayHeartbeat(Relay* relay);

// Answers all waiting followers at once, to pass on a state other than the store's items, such as a new QuarantineDigest.
void RelayAnswerAll(Relay* relay);

// Addresses of the current followers that can be followed themselves.
std::vector<std::string> RelayFollowers(const Relay& relay);

// The store has answered or failed: answers the followers on whose behalf it was asked.
void RelayAnswerDelegated(Relay* relay);

// What a follower sends about itself and others.
struct RelayFollower
{
    std::string Address;    // Where it can be followed; empty if it can't.
    std::string DataCentre; // Where it runs, percent-encoded.
    // Returns what a source is told of instances, the follower itself first; nothing if it was told recently. May be empty.
    std::function<std::vector<PeerUpdate>(const std::string& source)> PeerNews;
};

// Paths and encodings of the calls of a follower.
StoreDialect RelayDialect(const RelayFollower& own);

// Encodes and decodes a message. Code_MessageMalformed if the bytes are not a valid message.
std::string EncodePage(const StorePage& page);
Result<StorePage> DecodePage(const std::string& bytes);

} // namespace Winchlink
