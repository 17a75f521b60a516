// raw_target.cpp: a target on a bare socket that answers as badly as it is told to.

#include "raw_target.h"

#include "fleet.h"
#include "socket.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Winchlink
{

static constexpr int PollMs = 20;

static bool ReadRequest(RawTarget* target, int fd, std::string* buffer)
{
    while (!target->Stopping)
    {
        const size_t end = buffer->find("\r\n\r\n");
        if (end != std::string::npos)
        {
            const size_t at = buffer->find("Content-Length: ");
            const size_t length = at < end ? std::strtoul(buffer->c_str() + at + 16, nullptr, 10) : 0;
            if (buffer->size() >= end + 4 + length)
            {
                buffer->erase(0, end + 4 + length);
                target->Requests++;
                return true;
            }
        }
        pollfd wait = {fd, POLLIN, 0};
        if (poll(&wait, 1, PollMs) <= 0)
        {
            continue;
        }
        std::array<char, 65536> chunk;
        const ssize_t got = recv(fd, chunk.data(), chunk.size(), 0);
        if (got <= 0)
        {
            return false;
        }
        buffer->append(chunk.data(), static_cast<size_t>(got));
    }
    return false;
}

static void Write(int fd, const std::string& bytes)
{
    size_t done = 0;
    while (done < bytes.size())
    {
        const ssize_t sent = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return;
        }
        done += static_cast<size_t>(sent);
    }
}

static std::string Good(const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Waits for the other side to close.
static void Hold(RawTarget* target, int fd)
{
    while (!target->Stopping)
    {
        pollfd wait = {fd, POLLIN, 0};
        char byte = 0;
        if (poll(&wait, 1, PollMs) > 0 && recv(fd, &byte, 1, 0) <= 0)
        {
            target->Closed++;
            return;
        }
    }
}

// Answers one request; false when the connection is to be closed.
static bool AnswerOne(RawTarget* target, int fd, int nth)
{
    switch (target->Answer)
    {
    case RawAnswer_Nothing:
        return false;
    case RawAnswer_Garbage:
        Write(fd, "this is no answer at all\r\n\r\n");
        return false;
    case RawAnswer_Half:
        Write(fd, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this");
        return false;
    case RawAnswer_Two:
        Write(fd, Good("", "first") + Good("", "second"));
        return true;
    case RawAnswer_Silence:
        Hold(target, fd);
        return false;
    case RawAnswer_HugeHeader:
        Write(fd, "HTTP/1.1 200 OK\r\nX-Long: " + std::string(MiB, 'a') + "\r\n\r\n");
        return false;
    case RawAnswer_Huge:
        Write(fd, Good("", std::string(2 * MiB, 'b')));
        return true;
    case RawAnswer_NotRun:
        Write(fd, "HTTP/1.1 503 Busy\r\nX-Winchlink-Run: not-run\r\nContent-Length: 0\r\n\r\n");
        return true;
    case RawAnswer_Draining:
        Write(fd, Good("X-Winchlink-Start: 5\r\nX-Winchlink-State: draining\r\n", "leaving"));
        return true;
    case RawAnswer_Empty404:
        Write(fd, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        return true;
    case RawAnswer_Cookies:
        Write(fd, Good("Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nSet-Cookie: c=3\r\n", "cookies"));
        return true;
    case RawAnswer_GoodThenNothing:
    case RawAnswer_GoodThenEnd:
        if (nth > 1)
        {
            const bool dies = target->Answer == RawAnswer_GoodThenEnd;
            return dies && shutdown(target->Listener, SHUT_RDWR) != 0;
        }
        Write(fd, Good("", "good"));
        return true;
    default:
        Write(fd, Good("", "good"));
        return true;
    }
}

static void Serve(RawTarget* target, int fd)
{
    std::string buffer;
    int nth = 1;
    while (ReadRequest(target, fd, &buffer) && AnswerOne(target, fd, nth))
    {
        nth++;
    }
    shutdown(fd, SHUT_RDWR);
    close(fd);
}

static void Accept(RawTarget* target)
{
    while (!target->Stopping)
    {
        pollfd wait = {target->Listener, POLLIN, 0};
        if (poll(&wait, 1, PollMs) <= 0)
        {
            continue;
        }
        const int fd = accept4(target->Listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0)
        {
            target->Connections.emplace_back(Serve, target, fd);
        }
    }
}

RawTarget::RawTarget()
    : Address("127.0.0.1:" + std::to_string(FreePort("127.0.0.1"))), Listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in address = ToSocketAddress(ParseEndpoint(Address).value());
    const int on = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const bool ok = bind(Listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 && listen(Listener, 64) == 0;
    CPPUNIT_ASSERT(ok);
    Thread = std::thread(Accept, this);
}

RawTarget::~RawTarget()
{
    Stopping = true;
    Thread.join();
    for (std::thread& connection : Connections)
    {
        connection.join();
    }
    close(Listener);
}

int RawConnect(const std::string& address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = ToSocketAddress(ParseEndpoint(address).value());
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0)
    {
        close(fd);
        return -1;
    }
    return fd;
}

std::string RawExchange(const std::string& address, const std::string& bytes, int wait_ms, bool half_close)
{
    const int fd = RawConnect(address);
    Write(fd, bytes);
    if (half_close)
    {
        shutdown(fd, SHUT_WR);
    }
    std::string got;
    pollfd wait = {fd, POLLIN, 0};
    while (poll(&wait, 1, wait_ms) > 0)
    {
        std::array<char, 65536> chunk;
        const ssize_t size = recv(fd, chunk.data(), chunk.size(), 0);
        if (size <= 0)
        {
            break;
        }
        got.append(chunk.data(), static_cast<size_t>(size));
    }
    close(fd);
    return got;
}

} // namespace Winchlink
