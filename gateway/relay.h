// relay.h: what one instance knows of the store, handed on to others: items as they are, and each change.
//
// One instance reads the store; all others follow it, or others that do. Every instance can hand on what it holds, so that a start succeeds
// while the store is away. Each answer says how old its knowledge is, who reads the store, and whether it is lost; Follow (winchlink.h)
// decides by that. Revisions are the store's own, so a follower goes from one instance to another, or to the store, without reading
// everything again.
//
// An instance that knows nothing yet holds those that ask it for everything, and answers them with the bytes that it gets itself, before it
// reads them: a fleet that starts at once learns level by level, and nobody asks twice.
//
// Messages are coded by cereal, and their items compressed by zlib. They are not authenticated: the platform gives no secret to processes,
// and its network lets only its own machines reach these addresses (docs/DESIGN.md).

#pragma once

#include "listener.h"
#include "store_reader.h"

#include <deque>

namespace Winchlink
{

inline constexpr const char* TargetEndsTarget = "/ends"; // Path of what instances tell each other of requests that end targets.

struct RelayConfig
{
    size_t ChangesKept = 2000; // Changes that a follower may be behind without reading everything.
    TimeUs BeatUs =
        800 * UsPerMs; // Followers are told that nothing has changed when they know it as of so long ago. By what they know and not by
                       // when they were last told: some were told old news a moment before, and their followers would leave them.
};

// One that waits for a change, or for everything.
struct RelayWait
{
    ExchangePtr From;
    NewsAsker Asker;
    Timer End;
};

struct Relay
{
    RelayConfig Config;
    Fanout Spread;                                         // How many are served here.
    std::string DataCentre;                                // Own.
    EventLoop* Loop = nullptr;                             //
    Random* Rng = nullptr;                                 //
    Listener Server;                                       //
    std::map<std::string, StoreItem> Items;                // All, by key.
    std::deque<StoreItem> Changes;                         // The latest, in order.
    uint64_t ChangesFrom = 0;                              // All changes above this revision are in Changes.
    uint64_t At = 0;                                       // Revision of Items; 0: nothing is known.
    std::function<TimeUs()> Age;                           // How long ago Items was known to be the store's state.
    std::function<void()> OnLead;                          // Another instance wants us to ask the store; may be empty.
    std::function<void(const std::string&)> OnMet;         // An instance that can be followed has asked us; may be empty.
    std::function<std::string()> Origin;                   // Who reads the store for us; empty: unknown.
    std::function<uint64_t()> EndsDigest;                  // Of what is known of requests that end targets; empty: nothing is told of it.
    std::function<std::string(const std::string&)> OnEnds; // Another instance tells what it knows of them; returns what we know.
    bool Trouble = false;                                  // We have lost the store.
    TimeUs TriedUs = 0;                                    // If so: when it was last asked in vain.
    TimeUs ToldUs = 0;                                     // When all waits were last ended.
    TimeUs ToldFreshUs = 0;                                // When what they were told was known to be the state of the store.
    std::map<uint64_t, RelayWait> Waits;                   // Those that wait.
    uint64_t LastWait = 0;                                 //
    uint64_t PackedAfter = 0;                              // Most followers wait for the same: their items are coded once.
    uint64_t PackedAt = 0;                                 //
    std::string Packed;                                    //
    std::string All;                                       // All items, coded, as they came or for the first that asked.
    uint64_t AllAt = 0;                                    // Their revision.
    uint64_t Answers = 0;                                  // Counter.

    Relay() = default;
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;
};

// Listens for followers.
Result<void> RelayStart(Relay* relay, EventLoop* loop, Random* random, const std::string& address);

// What the reader has learnt. Followers that wait are told.
void RelaySetAll(Relay* relay, const StorePage& all, uint64_t at);
void RelayAddChanges(Relay* relay, const std::vector<StoreItem>& changes, uint64_t at);

// The store is lost, and was last asked at `tried`; or it is back.
void RelaySetLost(Relay* relay, TimeUs tried);
void RelaySetFound(Relay* relay);

// Our source was heard and nothing has changed: followers are told, so that their knowledge is as fresh as ours however many instances it
// passes.
void RelayBeat(Relay* relay);

// Followers are told at once, though the store says nothing new: of something else that we know.
void RelayTell(Relay* relay);

// Addresses of the instances that follow this one now, as far as they can be followed themselves.
std::vector<std::string> RelayFollowers(const Relay& relay);

// The store has answered us, or failed: those for which we asked it are told.
void RelayAnswerLeads(Relay* relay);

// What a follower tells of itself.
struct RelayFollower
{
    std::string Address;    // Where it can be followed; empty: it can't.
    std::string DataCentre; // Where it is.
    bool Contact = false;   // It is a first contact.
};

// How it spells its calls.
StoreDialect RelayDialect(const RelayFollower& own);

// Bytes of a message, and back. Code_MessageMalformed for what is no message.
std::string EncodePage(const StorePage& page);
Result<StorePage> DecodePage(const std::string& bytes);

} // namespace Winchlink
