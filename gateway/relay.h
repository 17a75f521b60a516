// relay.h: what one instance knows of the store, handed on to others: items as they are, and each change.
//
// A few instances read the store; all others follow one of them. Every instance can hand on what it holds, so that a start succeeds while
// the store is away. Each answer says how old its knowledge is and whether the source has lost the store; StoreReader decides by that.
// Revisions are the store's own, so a follower goes from one instance to another, or to the store, without reading everything again.
//
// Messages are coded by cereal and compressed by zlib. They are not authenticated: the platform gives no secret to processes, and its
// network lets only its own machines reach these addresses (docs/DESIGN.md).

#pragma once

#include "listener.h"
#include "store_reader.h"

#include <deque>

namespace Winchlink
{

struct RelayConfig
{
    size_t ChangesKept = 2000;     // Changes that a follower may be behind without reading everything.
    size_t FollowersMost = 64;     // Followers beyond that are sent on to some of these (docs/CAPACITY.md has what each costs).
    size_t NamedMost = 3;          // How many of them are named to one that is sent on.
    TimeUs BeatUs = 800 * UsPerMs; // Followers are told that nothing has changed no more often than this.
};

struct RelayWait
{
    ExchangePtr From;
    uint64_t After = 0;
    std::string Follower; // Where it can be followed in its turn; empty if it can't.
    Timer End;
};

struct Relay
{
    RelayConfig Config;
    EventLoop* Loop = nullptr;
    Listener Server;
    std::map<std::string, StoreItem> Items; // All, by key.
    std::deque<StoreItem> Changes;          // The latest, in order.
    uint64_t ChangesFrom = 0;               // All changes above this revision are in Changes.
    uint64_t At = 0;                        // Revision of Items; 0: nothing is known.
    std::function<TimeUs()> Age;            // How long ago Items was known to be the store's state.
    bool Trouble = false;                   // We have lost the store.
    TimeUs ToldUs = 0;                      // When all waits were last ended.
    std::map<uint64_t, RelayWait> Waits;    // Followers that wait for a change.
    uint64_t LastWait = 0;                  //
    uint64_t EncodedAfter = 0;              // Most followers wait for the same: their answer is coded once.
    uint64_t EncodedAt = 0;                 //
    std::string Encoded;                    //
    std::string All;                        // All items, coded: a fleet that starts asks for the same at once.
    uint64_t AllAt = 0;                     // Their revision.
    TimeUs AllUs = 0;                       // When they were coded: the age that they tell is of then.
    uint64_t Answers = 0;                   // Counter.

    Relay() = default;
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;
};

// Listens for followers.
Result<void> RelayStart(Relay* relay, EventLoop* loop, const std::string& address);

// What the reader has learnt. Followers that wait are told.
void RelaySetAll(Relay* relay, const std::vector<StoreItem>& items, uint64_t at);
void RelayAddChanges(Relay* relay, const std::vector<StoreItem>& changes, uint64_t at);
void RelaySetTrouble(Relay* relay, bool trouble);

// Our source was heard and nothing has changed: followers are told, so that their knowledge is as fresh as ours however many instances it
// passes.
void RelayBeat(Relay* relay);

// How a follower spells its calls; `own_address` is where it can be followed itself, or empty.
StoreDialect RelayDialect(const std::string& own_address);

// Bytes of a message, and back. Code_MessageMalformed for what is no message.
std::string EncodePage(const StorePage& page);
Result<StorePage> DecodePage(const std::string& bytes);

} // namespace Winchlink
