// path_check.cpp: checks whether a machine can be reached.

#include "path_check.h"

#include "log.h"
#include "socket.h"

#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

namespace Winchlink
{

static void Close(PathCheck* check)
{
    check->Writable = nullptr;
    check->End = nullptr;
    if (check->Socket >= 0)
    {
        close(check->Socket);
        check->Socket = -1;
    }
}

static void Finish(PathCheck* check)
{
    const PathState_ state = check->State;
    const std::function<void(PathState_)> done = std::move(check->Done);
    Close(check);
    done(state);
}

static PathState_ ConnectedOrRefused(int socket)
{
    int error = 0;
    socklen_t size = sizeof error;
    const bool known = getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0;
    return known && error == 0 ? PathState_Connected : PathState_Refused;
}

void PathCheckStart(PathCheck* check, EventLoop* loop, const std::string& address, TimeUs timeout, std::function<void(PathState_)> done)
{
    Close(check);
    check->Done = std::move(done);
    check->State = PathState_Silent;
    check->End = TimerStart(loop, timeout, [check]() { Finish(check); });
    const sockaddr_in to = ToSocketAddress(ParseEndpoint(address).value());
    check->Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const bool begun =
        check->Socket >= 0 && (connect(check->Socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0 || errno == EINPROGRESS);
    if (!begun)
    {
        Log(LogLevel_Info, Code_PlatformUnreachable, "path not checked", {{"address", address}, {"detail", std::strerror(errno)}});
        return; // Counts as silent once the timeout is over.
    }
    const auto answered = [check, loop](int)
    {
        check->State = ConnectedOrRefused(check->Socket);
        WatchChange(check->Writable.get(), 0);
        check->End = TimerStart(loop, 0, [check]() { Finish(check); });
    };
    check->Writable = WatchStart(loop, check->Socket, UV_WRITABLE, answered);
}

PathCheck::~PathCheck()
{
    Close(this);
}

} // namespace Winchlink
