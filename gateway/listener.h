// listener.h: HTTP from callers, and from other instances, inside the event loop.
//
// A caller may send further requests on a connection before the first is answered. Those that may overlap are worked on at the same time,
// and their answers are returned in the order of the requests: on a day without trouble 59 of 2,626 requests more were served in time than
// one after the other (docs/DECISIONS.md). All others are worked on alone: such a request waits for those before it, and nothing behind it
// is begun before its end.
//
// How to use it: ListenerStart() with a handler; the handler gets each request once it has been read whole and its turn has come, keeps the
// exchange, and calls Reply() once, at once or later. OnGone is called if the answer will reach nobody.

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
    bool CloseConnection = false; // Ask the caller to open a new connection next time.
};

struct Listener;

// One request of a caller, from its first byte to the last byte of its answer.
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
    uint64_t Connection = 0;           // Which of the listener's.
    std::optional<CallerReply> Answer; // Set by Reply().
    bool Begun = false;                // The handler has had it.
    bool Overlaps = false;             // Others that overlap may be worked on at the same time.
    bool EndsConnection = false;       // The caller sends nothing after it.
};

using ExchangePtr = std::shared_ptr<Exchange>;
using ExchangeHandler = std::function<void(const ExchangePtr&)>;

struct ListenerConfig
{
    std::string Address;        // IP:port.
    int ConnectionsMost = 1024; // More are closed unread.
    size_t OverlapMost = 8;     // Requests of one connection that are worked on at the same time; bounds what one caller can occupy.
    CallerLimits Limits;        // What callers may send, and how slowly.

    // Whether a request may be worked on beside others of its connection; if empty, none may. Requests with a body never are: at most one
    // body is held for each connection.
    std::function<bool(const Exchange&)> MayOverlap;
};

struct CallerConnection
{
    uint64_t Id = 0;
    int Socket = -1;
    Watch Events;                     // Readable, writable, or closed by the caller.
    int Watched = 0;                  // Which of these are watched for.
    std::string Input;                // Bytes that were read and belong to no request yet.
    RequestReader Reader;             // Of the request that is being read.
    std::deque<ExchangePtr> Requests; // Read whole and not answered, in order; only the last one may not have been begun.
    std::string Output;               // Answers, from the byte Written on.
    size_t Written = 0;               // Bytes of Output that have left.
    TimeUs ReadUs = 0;                // When bytes last came.
    TimeUs ActiveUs = 0;              // When bytes last came or went.
    Timer HeadersLate;                // Runs while the headers of a request are incomplete.
    bool Last = false;                // No further request is read: the last answer closes the connection.
    Timer Lingering;                  // Our side is closed; until then, what the caller still sends is read and dropped.
    bool Touched = false;             // An answer is ready; it is written before the loop waits.
};

struct Listener
{
    ListenerConfig Config;
    EventLoop* Loop = nullptr;
    ExchangeHandler Handler;
    int Socket = -1;
    Watch Ready;                                                          // A connection waits to be accepted.
    Timer Pause;                                                          // Accepting has failed: a moment until the next try.
    Timer IdleCheck;                                                      // Ends connections that have rested for too long.
    uint64_t Hook = 0;                                                    // Of the loop, before each wait.
    std::vector<uint64_t> Touched;                                        // Connections with answers to be written.
    std::unordered_map<uint64_t, std::unique_ptr<CallerConnection>> Open; // By id.
    uint64_t LastId = 0;                                                  // Of the latest connection.
    uint64_t Overlapped = 0;                                              // Counter: requests begun beside others of their connection.

    Listener() = default;
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
};

// Starts to listen; Code_ListenFailed if the address can't be had.
Result<void> ListenerStart(Listener* listener, EventLoop* loop, const ListenerConfig& config, ExchangeHandler handler);

// Stops at once: requests in progress are treated as if their callers had left.
void ListenerStop(Listener* listener);

// Other limits from now on, for requests that have not begun to come.
void ListenerSetLimits(Listener* listener, const CallerLimits& limits);

// Connections that begin from now on are ignored; those already under way are still served. For a planned stop: closing the listening
// socket would reset what waits in its queue.
void ListenerIgnoreNew(Listener* listener);

// Accepts what waits, then refuses further connections. Call it some moments after ListenerIgnoreNew(), when nothing is under way any more:
// not every network honours that, and callers that open one connection after another would otherwise keep a stopping instance busy.
void ListenerCloseSocket(Listener* listener);

// Answers a request. Call exactly once for each exchange.
void Reply(const ExchangePtr& exchange, CallerReply reply);

// Ends connections that wait for their next request; what has been sent on them already is still read and answered.
void ListenerCloseIdle(Listener* listener);

} // namespace Winchlink
