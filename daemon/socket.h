// socket.h: helpers for IPv4 sockets.

#pragma once

#include "winchlink.h"

#include <netinet/in.h>

namespace Winchlink
{

sockaddr_in ToSocketAddress(const Endpoint& endpoint);

// A non-blocking TCP socket bound to an endpoint; -1 with errno set on failure.
int OpenBound(const Endpoint& endpoint);

// Makes a listening socket ignore new connections, while handshakes in progress still complete. The caller's SYN is dropped without an
// answer; its retransmission is refused if the socket has been closed by then. False with errno set on failure.
bool IgnoreNewConnections(int listening);

enum SocketInput_ : int
{
    SocketInput_None,
    SocketInput_Bytes,
    SocketInput_End,   // The other side has closed the connection.
    SocketInput_Error, // For example, the connection was reset.
    SocketInput_COUNT,
};

// What is to be read from a connection next. Bytes are left unread; an error is told only once.
SocketInput_ SocketPeek(int socket);

// Bytes that were read from a connection since it was opened; none if the system doesn't tell.
std::optional<int64_t> SocketBytesRead(int socket);

} // namespace Winchlink
