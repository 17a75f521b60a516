// store_reader.h: follows a key-value store that can only be read: everything once, then each change.
//
// The reader knows no spelling: a StoreDialect makes its paths and reads its answers (platform/wire.h has the users'). It never trusts a
// store that is silent: each wait has an end, and after any failure everything is read again, since what went meanwhile may not be told.
//
// How to use it: fill Dialect and the callbacks, then StoreReaderStart().

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
};

struct StorePage
{
    std::vector<StoreItem> Items;
    bool More = false; // Another page follows.
    uint64_t At = 0;   // The store's revision.
};

// How a store spells its calls and answers.
struct StoreDialect
{
    std::function<std::string(const std::string& after_key)> PageTarget;           // Path and query of a page of all items.
    std::function<std::string(uint64_t after, TimeUs wait)> ChangesTarget;         // Path and query of a wait for changes.
    std::function<Result<StorePage>(const std::string& body)> ReadPage;            // Answer to the first.
    std::function<Result<StorePage>(const std::string& body)> ReadChanges;         // Answer to the second.
    int HistoryGoneStatus = 410;                                                   // Changes since that revision are forgotten.
};

struct StoreReaderConfig
{
    std::string Address;                          // IP:port.
    TimeUs WaitUs = 5 * UsPerSecond;              // A wait for changes; with the margin, the longest that silence goes unnoticed.
    TimeUs MarginUs = 700 * UsPerMs;              // An answer that is later than this after its time is lost.
    TimeUs ReadUs = 1500 * UsPerMs;               // Longest time for a page.
    TimeUs ConnectUs = 500 * UsPerMs;             // Longest time for a connection.
    TimeUs GatherUs = 200 * UsPerMs;              // Pause after changes, so that several come in one answer: each call has its price.
    TimeUs RetryUs = 250 * UsPerMs;               // First pause after a failure; doubles.
    TimeUs RetryMostUs = UsPerSecond;             // Longest pause after a failure.
};

struct StoreReader
{
    StoreReaderConfig Config;
    StoreDialect Dialect;
    std::function<void(const std::vector<StoreItem>&, uint64_t at)> OnAll;     // Everything, as of a revision.
    std::function<void(const std::vector<StoreItem>&, uint64_t at)> OnChanges; // What changed up to a revision.
    std::function<void(const std::string& why)> OnTrouble;                     // A call failed.
    std::function<void()> OnAnswered;                                          // A call succeeded.

    EventLoop* Loop = nullptr;
    Client* Calls = nullptr;
    Random* Rng = nullptr;
    uint64_t At = 0;               // Revision up to which all is known; 0: nothing is.
    std::vector<StoreItem> Pages;  // Pages read so far.
    uint64_t PagesAt = 0;          // Revision of the first of them.
    Timer Next;                    // The next call.
    uint64_t Running = 0;          // The call in progress.
    int FailuresInRow = 0;
    uint64_t CallsMade = 0;        // Counters.
    uint64_t CallsFailed = 0;
};

void StoreReaderStart(StoreReader* reader, EventLoop* loop, Client* client, Random* random);

} // namespace Winchlink
