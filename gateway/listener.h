// listener.h: HTTP/1.1 server for callers and for other instances, inside the event loop.
//
// Callers may pipeline requests. Requests that may overlap run concurrently, and their answers are sent in the order of the requests. Any
// other request runs alone on its connection: it starts when all earlier ones have been answered, and no later one starts before it ends.
//
// How to use it: call ListenerStart() with a handler. The handler gets each request once it is complete and may start, keeps the exchange,
// and calls Reply() once, immediately or later. OnGone is called if the caller disconnects before that.

#pragma once

#include "loop.h"
#include "request_reader.h"

#include <deque>
#include <unordered_map>

namespace Winchlink
{

struct CallerReply
{
    int Status = 200;
    std::vector<Header> Headers;
    std::string Body;
    bool CloseConnection = false; // Close the connection once all started requests are answered.
};

struct Listener;

// One request of a caller and its answer.
struct Exchange
{
    std::string Method;           // As sent.
    std::string Target;           // Path and query, as sent.
    std::vector<Header> Headers;  // As sent.
    std::string Body;             // Complete, with chunks joined.
    TimeUs ArrivedUs = 0;         // Time when the last byte of the request was read.
    std::function<void()> OnGone; // Set by the handler; called at most once, if the caller disconnects before Reply().

    // Internal to the listener.
    Listener* Owner = nullptr;
    uint64_t Connection = 0;           // Id of the connection in Owner->Open.
    std::optional<CallerReply> Answer; // Set by Reply().
    bool Started = false;              // The request was passed to the handler.
    bool CanOverlap = false;           // May run concurrently with others of its connection that have this set.
    bool EndsConnection = false;       // The caller asked to close the connection after this request.
};

using ExchangePtr = std::shared_ptr<Exchange>;
using ExchangeHandler = std::function<void(const ExchangePtr&)>;

struct ListenerConfig
{
    std::string Address;       // IP:port.
    int ConnectionsMax = 1024; // Maximum open connections; further ones are closed when accepted.
    size_t OverlapMax = 8;     // Maximum concurrent requests of one connection.
    CallerLimits Limits;       // Limits on sizes and times of requests.

    // Whether a request may run concurrently with others of its connection; if empty, none may. Not called for requests with a body, which
    // always run alone, so that each connection buffers at most one body.
    std::function<bool(const Exchange&)> MayOverlap;
};

struct CallerConnection
{
    uint64_t Id = 0;
    int Socket = -1;
    Watch Events;                     // Watches Socket.
    int Watched = 0;                  // The events it watches for: UV_READABLE, UV_WRITABLE, UV_DISCONNECT.
    std::string Input;                // Bytes received and not parsed yet.
    RequestReader Reader;             // Parser of the next request.
    std::deque<ExchangePtr> Requests; // Complete requests without a written answer, in order; all but the last have been started.
    std::string Output;               // Answers; the bytes from Written on are still to be sent.
    size_t Written = 0;               // Bytes of Output that were sent.
    TimeUs ReadUs = 0;                // Time when bytes were last received.
    TimeUs ActiveUs = 0;              // Time when bytes were last received or sent.
    Timer HeaderTimeout;              // Timeout of the headers; set while they are incomplete.
    bool Closing = false;             // No further request is read; the connection closes after the last answer.
    Timer Lingering;                  // Set after the sending side was shut down: input is discarded until it fires.
    bool InServeQueue = false;        // It is in Listener::ServeQueue.
};

struct Listener
{
    ListenerConfig Config;
    EventLoop* Loop = nullptr;
    ExchangeHandler Handler;
    OwnLink* Link = nullptr; // Told of the bytes of answers; may be null.
    int Socket = -1;
    Watch AcceptWatch;                                                    // Watches Socket for connections to accept.
    Timer AcceptPause;                                                    // Set while accepting is paused after an error.
    Timer IdleCheck;                                                      // Next check for idle connections.
    uint64_t Hook = 0;                                                    // Id of the hook in Loop; 0 if none.
    std::vector<uint64_t> ServeQueue;                                     // Ids of connections to serve before the loop waits.
    std::unordered_map<uint64_t, std::unique_ptr<CallerConnection>> Open; // Open connections by id.
    uint64_t LastId = 0;                                                  // Id of the newest connection.
    bool Draining = false;                                                // See ListenerDrain().
    uint64_t Overlapped = 0;                                              // Counter: requests started while others of their connection ran.

    Listener() = default;
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
};

// Starts to listen. Code_ListenFailed if the address can't be bound.
Result<void> ListenerStart(Listener* listener, EventLoop* loop, const ListenerConfig& config, ExchangeHandler handler);

// Stops listening and closes all connections. Calls OnGone of the requests in progress.
void ListenerStop(Listener* listener);

// Replaces the limits; they apply to requests of which no byte has arrived.
void ListenerSetLimits(Listener* listener, const CallerLimits& limits);

// Ignores new connection attempts (SYNs) from now on; connections in the accept queue are still served. Used for a planned stop, because
// closing the listening socket would reset the queued connections.
void ListenerIgnoreNew(Listener* listener);

// Accepts the queued connections, then closes the listening socket. Call it a short time after ListenerIgnoreNew(), when the handshakes in
// progress are complete: that call has no effect on some networks, and new connections could then delay the stop until it times out.
void ListenerCloseSocket(Listener* listener);

// Closes each connection from now on once all requests that have arrived on it whole are answered; the last answer says so. Used for a
// planned stop.
void ListenerDrain(Listener* listener);

// Answers a request. Call it exactly once for each exchange.
void Reply(const ExchangePtr& exchange, CallerReply reply);

// Closes connections that wait for their next request. Requests that have already arrived on them are still served.
void ListenerCloseIdle(Listener* listener);

} // namespace Winchlink
