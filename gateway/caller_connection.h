// caller_connection.h: one connection of a caller, as listener.cpp and caller_connection.cpp share it.
//
// A connection lives in its listener's map until ConnectionEnd(); each function that may end it says so, and it is not to be touched after.

#pragma once

#include "listener.h"

namespace Winchlink
{

// Takes over an accepted socket.
void ConnectionBegin(Listener* listener, int socket);

// Closes the connection; handlers of requests in progress are told that their caller has left.
void ConnectionEnd(Listener* listener, uint64_t id);

// Writes what is ready, in order, and begins what may begin. May end the connection.
void ConnectionServe(Listener* listener, uint64_t id);

// Nothing has been asked or answered for so long that the connection should end.
bool ConnectionRested(const CallerConnection& connection, TimeUs limit, TimeUs now);

// Ends the connection if it waits for its next request and nothing of that has come.
void ConnectionEndIfIdle(Listener* listener, uint64_t id);

} // namespace Winchlink
