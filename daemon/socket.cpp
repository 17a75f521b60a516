// socket.cpp: small helpers for IPv4 sockets.

#include "socket.h"

#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace Winchlink
{

sockaddr_in ToSocketAddress(const Endpoint& endpoint)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.Ip);
    address.sin_port = htons(endpoint.Port);
    return address;
}

int OpenBound(int type, const Endpoint& endpoint)
{
    const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = ToSocketAddress(endpoint);
    const int on = 1;
    if (type == SOCK_STREAM)
    {
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
    {
        const int reason = errno;
        close(fd);
        errno = reason;
        return -1;
    }
    return fd;
}

} // namespace Winchlink
