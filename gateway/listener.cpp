// listener.cpp: HTTP/1.1 server: listening, accepting, idle timeouts and stopping. caller_connection.cpp handles the single connection.
//
// Index of this file:
// [SECTION] Accepting
// [SECTION] Connections
// [SECTION] Start and stop

#include "caller_connection.h"

#include "clock.h"
#include "log.h"
#include "socket.h"

#include <cassert>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace Winchlink
{

static constexpr TimeUs IdleCheckUs = 3 * UsPerSecond; // Interval of the check for idle connections.
static constexpr TimeUs IdleGraceUs = 2 * UsPerSecond; // Added to the idle timeout, so that callers close first.
static constexpr TimeUs AcceptPauseUs = 100 * UsPerMs; // Pause after an error of accept(), such as a lack of descriptors.
static constexpr int ListenBacklog = 512;              // Maximum length of the accept queue.
static constexpr int AcceptsPerEvent = 64;             // Connections accepted per event, so that open ones are served too.

//-----------------------------------------------------------------------------
// [SECTION] Accepting
//-----------------------------------------------------------------------------

static void PauseAccepting(Listener* listener)
{
    Log(LogLevel_Warn, Code_None, "connections can't be accepted", {{"errno", errno}, {"open", static_cast<int>(listener->Open.size())}});
    WatchChange(listener->AcceptWatch.get(), 0);
    listener->AcceptPause = TimerStart(listener->Loop, AcceptPauseUs,
                                       [listener]()
                                       {
                                           listener->AcceptPause = nullptr;
                                           WatchChange(listener->AcceptWatch.get(), UV_READABLE);
                                       });
}

// Serves an accepted connection, or closes it if there are too many.
static void OnAccepted(Listener* listener, int socket)
{
    if (listener->Open.size() >= static_cast<size_t>(listener->Config.ConnectionsMax))
    {
        LogSample(LogLevel_Warn, Code_None, "connection closed unread", {{"open", static_cast<int>(listener->Open.size())}});
        close(socket);
        return;
    }
    ConnectionOpen(listener, socket);
}

// Accepts a bounded number of queued connections. True if more may be queued.
static bool AcceptBatch(Listener* listener)
{
    for (int n = 0; n < AcceptsPerEvent; n++)
    {
        const int socket = accept4(listener->Socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0)
        {
            const bool queue_empty = errno == EAGAIN;
            const bool can_retry = errno == ECONNABORTED || errno == EINTR;
            if (!queue_empty && !can_retry)
            {
                PauseAccepting(listener);
            }
            return can_retry;
        }
        OnAccepted(listener, socket);
    }
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Connections
//-----------------------------------------------------------------------------

static std::vector<uint64_t> OpenIds(const Listener& listener)
{
    std::vector<uint64_t> ids;
    for (const auto& entry : listener.Open)
    {
        ids.push_back(entry.first);
    }
    return ids;
}

static void ServeQueued(Listener* listener)
{
    const std::vector<uint64_t> queued = std::move(listener->ServeQueue);
    listener->ServeQueue.clear();
    for (const uint64_t id : queued)
    {
        const auto found = listener->Open.find(id);
        if (found != listener->Open.end())
        {
            found->second->InServeQueue = false;
            ConnectionServe(listener, id);
        }
    }
}

// Loop hook: writes the answers given since the last wait. Serving a connection may produce further answers.
static void BeforeWait(Listener* listener)
{
    while (!listener->ServeQueue.empty())
    {
        ServeQueued(listener);
    }
}

static void CheckIdle(Listener* listener)
{
    const TimeUs now = NowUs();
    const TimeUs limit = listener->Config.Limits.IdleTimeoutUs + IdleGraceUs;
    for (const uint64_t id : OpenIds(*listener))
    {
        const auto found = listener->Open.find(id);
        if (found != listener->Open.end() && ConnectionIsIdle(*found->second, limit, now))
        {
            ConnectionClose(listener, id);
        }
    }
    listener->IdleCheck = TimerStart(listener->Loop, IdleCheckUs, [listener]() { CheckIdle(listener); });
}

void ListenerDrain(Listener* listener)
{
    listener->Draining = true;
}

void ListenerCloseIdle(Listener* listener)
{
    for (const uint64_t id : OpenIds(*listener))
    {
        if (listener->Open.count(id) > 0)
        {
            ConnectionCloseIfIdle(listener, id);
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Start and stop
//-----------------------------------------------------------------------------

Result<void> ListenerStart(Listener* listener, EventLoop* loop, const ListenerConfig& config, ExchangeHandler handler)
{
    assert(listener->Socket < 0 && "the listener is already running");
    listener->Config = config;
    listener->Loop = loop;
    listener->Handler = std::move(handler);
    const Result<Endpoint> endpoint = ParseEndpoint(config.Address);
    if (!endpoint)
    {
        return endpoint.error();
    }
    listener->Socket = OpenBound(endpoint.value());
    if (listener->Socket < 0 || listen(listener->Socket, ListenBacklog) != 0)
    {
        return Error{Code_ListenFailed, config.Address};
    }
    listener->AcceptWatch = WatchStart(loop, listener->Socket, UV_READABLE, [listener](int) { AcceptBatch(listener); });
    listener->Hook = LoopAddHook(loop, [listener]() { BeforeWait(listener); });
    CheckIdle(listener);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

static void CloseListening(Listener* listener)
{
    listener->AcceptPause = nullptr;
    listener->AcceptWatch = nullptr;
    if (listener->Socket >= 0)
    {
        close(listener->Socket);
    }
    listener->Socket = -1;
}

void ListenerCloseSocket(Listener* listener)
{
    while (listener->Socket >= 0 && AcceptBatch(listener))
    {
    }
    CloseListening(listener);
}

void ListenerStop(Listener* listener)
{
    CloseListening(listener);
    for (const uint64_t id : OpenIds(*listener))
    {
        ConnectionClose(listener, id);
    }
    listener->IdleCheck = nullptr;
    if (listener->Hook != 0)
    {
        LoopRemoveHook(listener->Loop, listener->Hook);
        listener->Hook = 0;
    }
}

Listener::~Listener()
{
    ListenerStop(this);
}

void ListenerSetLimits(Listener* listener, const CallerLimits& limits)
{
    listener->Config.Limits = limits;
}

void ListenerIgnoreNew(Listener* listener)
{
    if (!IgnoreNewConnections(listener->Socket))
    {
        Log(LogLevel_Warn, Code_None, "can't ignore new connections: those that arrive during the stop may be reset", {{"errno", errno}});
    }
}

} // namespace Winchlink
