// server.h: an HTTP server on ulfius: one thread per connection, with the connection's socket at hand.
//
// ulfius does not tell a handler which socket its request came from; we note it when a connection opens, by the caller's address, so
// that a handler can watch for a hang-up. The stand-ins of the bench use this server too.

#pragma once

#include "upstream.h"
#include "winchlink.h"

#include <functional>
#include <mutex>
#include <ulfius.h>

namespace Winchlink
{

struct ServerRequest
{
    std::string Method;             // As sent.
    std::string Path;               // Path and query, as sent.
    std::vector<Header> Headers;    // As sent.
    std::string Body;               // Whole.
    int CallerFd = -1;              // The connection's socket; -1 if unknown.
    std::string CallerAddress;      // IP:port.
    bool FirstOnConnection = false; // The connection was opened for this request.
    bool BodyTooLarge = false;      // The body was over the limit and is not here.
    bool TooMany = false;           // More connections are open than ConnectionsMax: tell the caller, and close this one.
};

struct ServerResponse
{
    int Status = 200;             // HTTP status.
    std::vector<Header> Headers;  // Besides Content-Length.
    std::string Body;             // Whole.
    bool CloseConnection = false; // Ask the caller to open a new connection next time.
};

using ServerHandler = std::function<ServerResponse(const ServerRequest&)>;

struct ServerConfig
{
    std::string Address;       // IP:port.
    int ConnectionsMax = 1024; // Requests on more are marked; far more are closed without a word.
    size_t BodyMax = MiB;      // Largest body in bytes.
    unsigned IdleSeconds = 60; // A connection silent for longer is closed.
};

struct ServerConnection
{
    int Socket = -1;       // The connection's socket.
    bool Busy = false;     // The first line of a request was read, and its answer is not yet written whole.
    uint64_t Requests = 0; // Read so far.
    TimeUs QuietUs = 0;    // When it was opened, or its last answer was written.
};

struct Server
{
    ServerConfig Config;
    ServerHandler Handler;
    std::unique_ptr<_u_instance> Instance;        // ulfius' part; null while stopped.
    std::mutex Mutex;                             // Guards Open.
    std::map<std::string, ServerConnection> Open; // By the caller's IP:port.

    Server() = default;
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
};

// Starts to listen; Code_ListenFailed if the address can't be had.
Result<void> ServerStart(Server* server, const ServerConfig& config, ServerHandler handler);

// Accepts no more connections; those open go on, and so do those that callers have opened and we have not yet accepted. Takes a moment.
void ServerQuiesce(Server* server);

// Requests whose answers are not yet written whole.
int ServerBusy(Server* server);

// Connections, idle ones included.
int ServerOpen(Server* server);

// Ends connections that have been idle for `quiet`. For a planned stop, after ServerQuiesce(); call it until ServerOpen() is zero.
// HTTP/1.1 has no way to end an idle connection that can't cross the caller's next request: that request is lost with its connection.
// Answering it with `Connection: close` is the only sure way, so a caller gets time to send one; one that is quiet for long is unlikely
// to send in just that moment.
void ServerCloseIdle(Server* server, TimeUs quiet);

// Ends all connections. Wait for ServerOpen() to come to zero first, or answers are cut.
void ServerStop(Server* server);

} // namespace Winchlink
