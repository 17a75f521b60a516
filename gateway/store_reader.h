// store_reader.h: follows a key-value store that can only be read: everything once, then each change.
//
// A change may come from the store itself or from another instance that reads it (relay.h): calls to the store have a price, and each of
// them counts against its rates. A reader has a list of sources and works with one at a time, the first by preference. It never trusts a
// source that is silent: each wait has an end, a source that fails, is behind or has itself lost the store is left for the next one.
//
// The reader knows no spelling: a StoreDialect makes paths and reads answers (platform/wire.h has the users', relay.h our own).
//
// How to use it: fill Sources and the callbacks, then StoreReaderStart().

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
    bool More = false;                  // Another page follows.
    uint64_t At = 0;                    // The store's revision.
    TimeUs AgeUs = 0;                   // How long ago this was known to be the store's state; 0 from the store itself.
    bool Trouble = false;               // The source has lost the store.
    std::vector<std::string> Elsewhere; // The source has as many followers as it takes: these instances know the same.

    template <class Archive> void serialize(Archive& archive)
    {
        archive(Items, More, At, AgeUs, Trouble, Elsewhere);
    }
};

// How a source spells its calls and answers.
struct StoreDialect
{
    std::function<std::string(const std::string& after_key)> PageTarget;   // Path and query of a page of all items.
    std::function<std::string(uint64_t after, TimeUs wait)> ChangesTarget; // Path and query of a wait for changes.
    std::function<Result<StorePage>(const std::string& body)> ReadPage;    // Answer to the first.
    std::function<Result<StorePage>(const std::string& body)> ReadChanges; // Answer to the second.
    int HistoryGoneStatus = 410;                                           // Changes since that revision are forgotten.
};

struct StoreSource
{
    std::string Address; // IP:port.
    StoreDialect Dialect;
    TimeUs WaitUs = 0;    // A wait for changes; with the margin, the longest that silence goes unnoticed.
    TimeUs MarginUs = 0;  // An answer that is later than this after its time is lost.
    TimeUs GatherUs = 0;  // Pause after changes, so that several come in one answer.
    bool IsStore = false; // The store itself, not another instance.
};

struct StoreReaderConfig
{
    TimeUs ReadUs = 1500 * UsPerMs;    // Longest time for a page of the store.
    TimeUs PeerReadUs = 700 * UsPerMs; // And of another instance, which may be frozen.
    TimeUs ConnectUs = 250 * UsPerMs;  // Longest time for a connection.
    TimeUs RetryUs = 250 * UsPerMs;    // First pause after all sources failed; doubles. Refused calls have their price too.
    TimeUs RetryMostUs = UsPerSecond;  // Longest such pause.
    TimeUs StaleUs = 1600 * UsPerMs;   // A source that is further behind the store is left.
    TimeUs ReturnUs = 4 * UsPerSecond; // After so long the preferred source is tried again; up to half more, by chance.
    TimeUs PatienceUs = 800 * UsPerMs; // While all is as fresh as this, one that follows others does not go to the store for a failure.
    TimeUs PeerRetryUs = 80 * UsPerMs; // It tries the others again after this pause instead.
};

struct StoreReader
{
    StoreReaderConfig Config;
    std::vector<StoreSource> Sources;                                          // By preference.
    std::function<void(const std::vector<StoreItem>&, uint64_t at)> OnAll;     // Everything, as of a revision.
    std::function<void(const std::vector<StoreItem>&, uint64_t at)> OnChanges; // What changed up to a revision.
    std::function<void(const std::string& why)> OnTrouble;                     // The store failed, or a source has lost it.
    std::function<void(bool changed)> OnAnswered;                              // A good answer came; `changed`: with changes.

    EventLoop* Loop = nullptr;
    Client* Calls = nullptr;
    Random* Rng = nullptr;
    uint64_t At = 0;                     // Revision up to which all is known; 0: nothing is.
    TimeUs FreshUs = 0;                  // When that was last known to be the store's state.
    std::vector<StoreItem> Pages;        // Pages read so far.
    uint64_t PagesAt = 0;                // Revision of the first of them.
    size_t Current = 0;                  // Index of the source in use.
    std::optional<StoreSource> Referred; // In use instead: where that source has sent us.
    TimeUs ReturnAtUs = 0;               // When to go back to the preferred one.
    Timer Next;                          // The next call.
    int FailuresInRow = 0;
    uint64_t StoreCalls = 0;  // Counters: calls to the store itself.
    uint64_t CallsFailed = 0; // Of any source.
};

// Starts to read everything from the store itself, if it is among the sources, then follows them. (Starting from other instances saves the
// store a call and costs a fleet that starts together 0.4 s: docs/MEASUREMENTS.md.)
void StoreReaderStart(StoreReader* reader, EventLoop* loop, Client* client, Random* random);

// Other sources from now on; what is known stays.
void StoreReaderSetSources(StoreReader* reader, std::vector<StoreSource> sources);

} // namespace Winchlink
