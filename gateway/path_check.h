// path_check.h: checks whether a machine can be reached, by opening a connection and closing it without a request.
//
// A connection costs the platform's store nothing, unlike a call.
//
// How to use it: PathCheckStart(); `done` is called once. Destroying the struct ends the check without a result.

#pragma once

#include "loop.h"

namespace Winchlink
{

enum PathState_ : int
{
    PathState_None,
    PathState_Connected, // The connection was accepted.
    PathState_Refused,   // There is a path, but the connection was refused.
    PathState_Silent,    // No answer within the timeout: there is no path.
    PathState_COUNT,
};

struct PathCheck
{
    int Socket = -1;
    PathState_ State = PathState_None;
    Watch Writable;
    Timer End;
    std::function<void(PathState_)> Done;

    PathCheck() = default;
    ~PathCheck();
    PathCheck(const PathCheck&) = delete;
    PathCheck& operator=(const PathCheck&) = delete;
};

// Starts a check of the address, IP:port. Ends a check in progress.
void PathCheckStart(PathCheck* check, EventLoop* loop, const std::string& address, TimeUs timeout, std::function<void(PathState_)> done);

} // namespace Winchlink
