// store_reader.h: follows a key-value store that can only be read: everything once, then each change.
//
// A change may come from the store itself or from another instance that knows it (relay.h): calls to the store have a price, and each of
// them counts against its rates. Whom to ask is decided by the library (Follow in winchlink.h); this file carries the decisions out: it
// makes the calls, reads the answers, and tells what they were. It never trusts a source that is silent: each wait has an end.
//
// The reader knows no spelling: a StoreDialect makes paths and reads answers (platform/wire.h has the users', relay.h our own).
//
// How to use it: fill FromStore, FromInstance, Following's sources and the callbacks, then StoreReaderStart().

#pragma once

#include "client.h"

namespace Winchlink
{

struct StoreItem
{
    std::string Key;
    std::string Value;     // Decoded; empty if Gone.
    uint64_t Revision = 0; // Of its last change.
    bool Gone = false;     // The key was removed.

    template <class Archive> void serialize(Archive& archive)
    {
        archive(Key, Value, Revision, Gone);
    }
};

struct StorePage
{
    std::vector<StoreItem> Items;
    std::vector<Error> Nameless;        // Items that name nothing; they are passed over, and hide no others.
    bool More = false;                  // Another page follows.
    uint64_t At = 0;                    // The store's revision.
    TimeUs AgeUs = 0;                   // How long ago this was known to be the store's state; 0 from the store itself.
    bool Trouble = false;               // The source has lost the store.
    TimeUs TriedUs = 0;                 // If so: how long ago the store was last asked in vain.
    std::string Origin;                 // Where the instance that reads the store for the source can be followed; may be empty.
    std::vector<std::string> Elsewhere; // The source serves as many as it can: these instances know the same.
    uint64_t EndsDigest = 0;            // Of what the source knows of requests that end targets; only from an instance.
    std::string Packed;                 // Items as they came from another instance, to be handed on without coding them again.

    // What instances tell each other besides the items.
    template <class Archive> void serialize(Archive& archive)
    {
        archive(More, At, AgeUs, Trouble, TriedUs, Origin, Elsewhere, EndsDigest);
    }
};

// How a source spells its calls and answers.
struct StoreDialect
{
    std::function<std::string(const std::string& after_key)> PageTarget;   // Path and query of a page of all items.
    std::function<std::string(uint64_t after, TimeUs wait)> ChangesTarget; // Path and query of a wait for changes.
    std::function<Result<StorePage>(const std::string& body)> ReadPage;    // Answer to the first.
    std::function<Result<StorePage>(const std::string& body)> ReadChanges; // Answer to the second.
    std::function<std::string(const FollowStep& step)> Remarks;            // Added to either, for other instances; may be empty.
    int HistoryGoneStatus = 410;                                           // Changes since that revision are forgotten.
};

struct StoreSource
{
    StoreDialect Dialect;
    TimeUs WaitUs = 0;    // A wait for changes; with the margin, the longest that silence goes unnoticed.
    TimeUs MarginUs = 0;  // An answer that is later than this after its time is lost.
    TimeUs GatherUs = 0;  // Pause after changes, so that several come in one answer.
    TimeUs ReadUs = 0;    // Longest time for a page.
    TimeUs ConnectUs = 0; // Longest time for a connection.
};

struct StoreReader
{
    StoreSource FromStore;
    StoreSource FromInstance;
    Follow Following;
    std::function<void(const StorePage& all, uint64_t at)> OnAll;              // Everything, as of a revision.
    std::function<void(const std::vector<StoreItem>&, uint64_t at)> OnChanges; // What changed up to a revision.
    std::function<void(const std::string& why, TimeUs tried)> OnTrouble;       // The store failed; `tried`: how long ago it was asked.
    std::function<void(bool changed)> OnAnswered;                              // A good answer came; `changed`: with changes.
    std::function<void(uint64_t digest)> OnEndsDigest;                         // An instance has answered, see StorePage. May be empty.

    EventLoop* Loop = nullptr;
    Client* Calls = nullptr;
    Random* Rng = nullptr;
    std::vector<StoreItem> Pages;                               // Pages read so far.
    uint64_t PagesAt = 0;                                       // Revision of the first of them.
    bool HistoryGone = false;                                   // Everything must be read again.
    uint64_t Current = 0;                                       // The call in progress.
    Timer Next;                                                 // The next call.
    std::array<uint64_t, StoreReason_COUNT> StoreCallsFor = {}; // Counters: calls to the store itself, by reason.
    uint64_t CallsFailed = 0;                                   // Of any source.
};

// Starts to read everything, then follows.
void StoreReaderStart(StoreReader* reader, EventLoop* loop, Client* client, Random* random);

// Asks the store at once, for another instance that can't.
void StoreReaderAskStore(StoreReader* reader);

// We know nothing, and callers wait for that.
void StoreReaderNeeded(StoreReader* reader);

// All calls to the store itself so far.
uint64_t StoreCalls(const StoreReader& reader);

} // namespace Winchlink
