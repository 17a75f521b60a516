// socket_counters.cpp: what the kernel counts of a connection. In a file of its own, as the kernel's header for it can't be included beside
// the C library's.

#include "socket.h"

#include <cstddef>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Winchlink
{

std::optional<int64_t> SocketBytesRead(int socket)
{
    tcp_info info = {};
    socklen_t size = sizeof info;
    constexpr size_t needed = offsetof(tcp_info, tcpi_bytes_received) + sizeof info.tcpi_bytes_received;
    int unread = 0;
    const bool told =
        getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && size >= needed && ioctl(socket, SIOCINQ, &unread) == 0;
    return told ? std::optional<int64_t>(static_cast<int64_t>(info.tcpi_bytes_received) - unread) : std::nullopt;
}

} // namespace Winchlink
