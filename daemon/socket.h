// socket.h: small helpers for IPv4 sockets, shared by the listener and the stand-ins.

#pragma once

#include "winchlink.h"

#include <netinet/in.h>

namespace Winchlink
{

sockaddr_in ToSocketAddress(const Endpoint& endpoint);

// A non-blocking TCP socket bound to an endpoint; -1 with errno set if it can't be had.
int OpenBound(const Endpoint& endpoint);

// From now on no new connection reaches this listening socket; those already under way still do. To the caller the port looks silent,
// and its second try finds it closed. False with errno set if the system refuses.
bool IgnoreNewConnections(int listening);

} // namespace Winchlink
