// caller_connection.h: one connection of a caller; the interface between listener.cpp and caller_connection.cpp.
//
// ConnectionClose() removes the connection from its listener's map and destroys it. Functions that may call it say so; pointers to the
// connection are invalid after them.

#pragma once

#include "listener.h"

namespace Winchlink
{

// Adds a connection to the listener for an accepted socket, and takes ownership of the socket.
void ConnectionOpen(Listener* listener, int socket);

// Closes and destroys the connection. Calls OnGone of the requests in progress.
void ConnectionClose(Listener* listener, uint64_t id);

// Writes the answers that are next in order, and reads and starts further requests. May close the connection.
void ConnectionServe(Listener* listener, uint64_t id);

// Whether no bytes were received or sent for longer than `limit`. False while requests run and no output waits to be sent.
bool ConnectionIsIdle(const CallerConnection& connection, TimeUs limit, TimeUs now);

// Closes the connection if no request is in progress and no byte of the next one has arrived; otherwise serves it.
void ConnectionCloseIfIdle(Listener* listener, uint64_t id);

} // namespace Winchlink
