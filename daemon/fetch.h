// fetch.h: HTTP fetches of the control thread, none of which blocks: the platform's values and probes of targets.
//
// FetchStart() begins one, FetchTake() gives those that ended. All run in one libcurl multi handle, whose poll is the control thread's
// one place to wait.

#pragma once

#include "upstream.h"

namespace Winchlink
{

struct FetchResult
{
    uint64_t Id = 0;             // As FetchStart() gave it.
    bool Ok = false;             // A complete answer came.
    int Status = 0;              // Its status.
    std::string Body;            // Its body.
    std::vector<Header> Headers; // Its headers.
    std::string Detail;          // What went wrong.
};

struct Fetch;

struct Fetcher
{
    CURLM* Multi = nullptr;                      // Made by FetcherStart().
    std::vector<std::unique_ptr<Fetch>> Running; // In progress.
    uint64_t LastId = 0;                         // Of the latest fetch.

    Fetcher();
    ~Fetcher();
};

void FetcherStart(Fetcher* fetcher);
void FetcherStop(Fetcher* fetcher);

// Begins a GET of http://address/path. A body above `most` bytes fails it.
uint64_t FetchStart(Fetcher* fetcher, const std::string& address, const std::string& path, int timeout_ms, size_t most);

// Waits until a socket is ready or the time is over.
void FetcherPoll(Fetcher* fetcher, std::vector<curl_waitfd> others, int timeout_ms);

// Ends a wait in FetcherPoll() from another thread.
void FetcherWake(Fetcher* fetcher);

// Moves all on and returns those that ended.
std::vector<FetchResult> FetchTake(Fetcher* fetcher);

} // namespace Winchlink
