// listener.h: HTTP from callers, on libmicrohttpd inside the event loop.
//
// The house server is ulfius, which needs a thread for each request that waits for a target; libmicrohttpd, which ulfius is built on, can
// suspend a request instead, so that one thread holds any number of them (docs/DESIGN.md gives the measurement).
//
// How to use it: ListenerStart() with a handler; the handler gets each request once it has been read whole, keeps the exchange, and calls
// Reply() once, at once or later. OnGone is called if the caller leaves before that.

#pragma once

#include "headers.h"
#include "loop.h"

struct MHD_Daemon;
struct MHD_Connection;
struct MHD_Response;

namespace Winchlink
{

struct CallerReply
{
    int Status = 200;
    std::vector<Header> Headers;
    std::string Body;
    bool CloseConnection = false; // Ask the caller to open a new connection next time.
};

struct Listener;

// One request of a caller, from its first line to the last byte of its answer.
struct Exchange
{
    std::string Method;           // As sent.
    std::string Target;           // Path and query, as sent.
    std::vector<Header> Headers;  // As sent.
    std::string Body;             // Whole.
    TimeUs ArrivedUs = 0;         // When the last byte of the request was read.
    std::function<void()> OnGone; // Set it to be told that the caller left; called at most once, and never after Reply().

    // The listener's own part.
    Listener* Owner = nullptr;
    MHD_Connection* Connection = nullptr;
    std::optional<CallerReply> Answer; // Set by Reply().
    bool Begun = false;                // The headers have been read.
    bool Handed = false;               // The handler has the request.
    bool Suspended = false;            // libmicrohttpd does not touch the connection until Reply().
    bool BodyTooLarge = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;
using ExchangeHandler = std::function<void(const ExchangePtr&)>;

struct ListenerConfig
{
    std::string Address;        // IP:port.
    int ConnectionsMost = 1024; // More are closed unread.
    CallerLimits Limits;        // What callers may send, and how slowly.
};

struct CallerConnection
{
    Watch Hangup;        // Watches for the caller's leaving.
    Timer HeadersLate;   // Runs from a request's first line until its headers have been read.
    int Socket = -1;     //
    ExchangePtr Current; // Request in progress, or null.
    bool Gone = false;   // The caller has left.
};

struct Listener
{
    ListenerConfig Config;
    EventLoop* Loop = nullptr;
    ExchangeHandler Handler;
    MHD_Daemon* Daemon = nullptr;
    Watch Ready;                                      // libmicrohttpd's own poll set.
    Timer Timeout;                                    // Its next timeout.
    uint64_t Hook = 0;                                // Of the loop, before each wait.
    bool RunWanted = false;                           // A reply waits to be written.
    std::map<MHD_Connection*, CallerConnection> Open; // Connections.

    Listener() = default;
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
};

// Starts to listen; Code_ListenFailed if the address can't be had.
Result<void> ListenerStart(Listener* listener, EventLoop* loop, const ListenerConfig& config, ExchangeHandler handler);

// Stops at once: requests in progress are treated as if their callers had left.
void ListenerStop(Listener* listener);

// Other limits from now on; the idle timeout holds for connections opened later, and for open ones from their next request.
void ListenerSetLimits(Listener* listener, const CallerLimits& limits);

// Connections that begin from now on are ignored; those already under way are still served. For a planned stop: closing the listening
// socket would reset what waits in its queue.
void ListenerIgnoreNew(Listener* listener);

// Answers a request. Call exactly once for each exchange.
void Reply(const ExchangePtr& exchange, CallerReply reply);

// Ends connections that wait for their next request; what has been sent on them already is still read.
void ListenerCloseIdle(Listener* listener);

} // namespace Winchlink
