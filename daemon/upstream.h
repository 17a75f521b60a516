// upstream.h: sending one request to one target, through pooled libcurl handles.
//
// Each handle owns one connection to one target. A handle is taken for one attempt and given back afterwards, so the number of
// connections to a target never exceeds the requests that were ever in progress there at once, which the router bounds.
//
// Index of this file:
// [SECTION] Requests and answers
// [SECTION] Pool

#pragma once

#include "headers.h"
#include "winchlink.h"

#include <atomic>
#include <curl/curl.h>
#include <functional>
#include <mutex>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Requests and answers
//-----------------------------------------------------------------------------

struct UpstreamRequest
{
    std::string Method;                // As the caller sent it.
    std::string Path;                  // Path and query, untouched.
    std::vector<Header> Headers;       // Ready to be sent.
    const std::string* Body = nullptr; // Borrowed; null for none.
    std::string Address;               // Target.
    std::string SourceIp;              // Own IP number to connect from; empty for any.
    TimeUs DeadlineUs = 0;             // By NowUs().
    int CallerFd = -1;                 // Caller's connection, watched for a hang-up; -1 for none.
    size_t AnswerMax = 0;              // Largest answer body in bytes.
    std::function<bool()> StillGood;   // Asked right before the request is sent; false stops it unsent.
};

struct UpstreamAnswer
{
    Outcome_ Outcome = Outcome_None; // How the attempt ended.
    Code_ Code = Code_None;          // Why, where it failed.
    int Status = 0;                  // HTTP status of a complete answer.
    std::vector<Header> Headers;     // Of a complete answer.
    std::string Body;                // Of a complete answer.
    TimeUs LatencyUs = 0;            // From choosing to the end.
    bool HasReport = false;          // The answer told about the target.
    TargetRun Report;                // What it told.
};

//-----------------------------------------------------------------------------
// [SECTION] Pool
//-----------------------------------------------------------------------------

struct UpstreamHandle;

// The service "upstream".
struct UpstreamPool
{
    std::mutex Mutex;                                                         // Guards Idle.
    std::map<std::string, std::vector<std::unique_ptr<UpstreamHandle>>> Idle; // By target address, latest used last.
    std::atomic<uint64_t> ConnectionsOpened{0};                               // Since the start.
    std::atomic<uint64_t> ReplaysStopped{0};                                  // libcurl wanted to send a request a second time.

    UpstreamPool();
    ~UpstreamPool();
};

// Sends one request and waits for its end: an answer, a failure, the deadline or the caller's hang-up.
UpstreamAnswer UpstreamSend(UpstreamPool* pool, const UpstreamRequest& request);

// A request that may go to a second target while the first has not answered.
struct UpstreamHedge
{
    TimeUs AfterUs = 0;                                         // How long to wait for the first answer.
    std::function<std::optional<UpstreamRequest>()> MakeSecond; // Asked once by then; may decline.
};

struct UpstreamPair
{
    UpstreamAnswer First;
    std::optional<UpstreamAnswer> Second; // Set if there was a second attempt.
    bool SecondWon = false;               // The second one's answer is the request's; the first was outrun.
};

// The same with a hedge. The first good answer wins, and the other attempt ends at once with Outcome_Outrun. While no answer is good,
// both go on to their ends.
UpstreamPair UpstreamSendHedged(UpstreamPool* pool, const UpstreamRequest& first, const UpstreamHedge& hedge);

// Closes connections that have been idle for too long.
void UpstreamPrune(UpstreamPool* pool, TimeUs now);

// Closes all idle connections.
void UpstreamClear(UpstreamPool* pool);

// Reads what a target tells about itself in its headers; false if it tells nothing.
bool ReadReport(const std::vector<Header>& headers, const std::string& address, TargetRun* out);

} // namespace Winchlink
