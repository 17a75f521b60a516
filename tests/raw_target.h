// raw_target.h: a target on a bare socket that answers as badly as it is told to.

#pragma once

#include "check.h"

#include <atomic>
#include <thread>

namespace Winchlink
{

enum RawAnswer_ : int
{
    RawAnswer_Good,            // A complete answer; the connection stays open.
    RawAnswer_Nothing,         // Reads the whole request and closes.
    RawAnswer_Garbage,         // Something that is not HTTP.
    RawAnswer_Half,            // Announces more than it sends.
    RawAnswer_Two,             // Two answers for one request.
    RawAnswer_Silence,         // Reads the request and never answers.
    RawAnswer_HugeHeader,      // A header without end, up to a megabyte.
    RawAnswer_Huge,            // A body of two megabytes.
    RawAnswer_NotRun,          // Says that it did not run the request.
    RawAnswer_Draining,        // A good answer that says that it leaves.
    RawAnswer_Empty404,        // A complete answer of status 404 without a body.
    RawAnswer_Cookies,         // Two headers of the same name.
    RawAnswer_GoodThenNothing, // The first request on a connection is answered, the second is read and the connection closed.
    RawAnswer_GoodThenEnd,     // The same, and nobody listens any more before it closes: a process that dies.
};

struct RawTarget
{
    std::string Address;                     // Where it listens.
    std::atomic<int> Answer{RawAnswer_Good}; // How it answers.
    std::atomic<int> Requests{0};            // Read whole.
    std::atomic<int> Closed{0};              // Connections that the other side closed while no answer was sent.
    std::atomic<bool> Stopping{false};
    int Listener = -1;
    std::thread Thread;
    std::vector<std::thread> Connections;

    RawTarget();
    ~RawTarget();
    RawTarget(const RawTarget&) = delete;
    RawTarget& operator=(const RawTarget&) = delete;
};

// Sends bytes to an address and reads until the other side closes or a time passes.
std::string RawExchange(const std::string& address, const std::string& bytes, int wait_ms, bool half_close = false);

// An open connection; close it yourself.
int RawConnect(const std::string& address);

} // namespace Winchlink
