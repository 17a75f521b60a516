// socket.cpp: helpers for IPv4 sockets.

#include "socket.h"

#include <array>
#include <cerrno>
#include <linux/filter.h>
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

int OpenBound(const Endpoint& endpoint)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = ToSocketAddress(endpoint);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
    {
        const int reason = errno;
        close(fd);
        errno = reason;
        return -1;
    }
    return fd;
}

bool IgnoreNewConnections(int listening)
{
    // A BPF program that drops packets with the SYN flag and accepts all others.
    constexpr uint32_t tcp_flags_offset = 13;
    constexpr uint32_t syn = 0x02;
    constexpr uint32_t whole_packet = 0xffffffff;
    std::array<sock_filter, 4> instructions = {{BPF_STMT(BPF_LD | BPF_B | BPF_ABS, tcp_flags_offset),
                                                BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, syn, 0, 1), BPF_STMT(BPF_RET | BPF_K, 0),
                                                BPF_STMT(BPF_RET | BPF_K, whole_packet)}};
    const sock_fprog program = {static_cast<unsigned short>(instructions.size()), instructions.data()};
    return setsockopt(listening, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0;
}

SocketInput_ SocketPeek(int socket)
{
    char byte = 0;
    const ssize_t got = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got >= 0)
    {
        return got > 0 ? SocketInput_Bytes : SocketInput_End;
    }
    return errno == EAGAIN || errno == EWOULDBLOCK ? SocketInput_None : SocketInput_Error;
}

} // namespace Winchlink
