// fuzz_answer.cpp: libFuzzer target for the answers of servers, read by the client with libcurl as it is installed. The first byte of the
// input selects a new or a kept connection, and whether the bytes come in two parts. Whatever the bytes are, the process goes on, and an
// answer has a status and headers that HTTP allows, or is none.

#include "answer_lines.h"
#include "client.h"
#include "log.h"

#include <cassert>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Winchlink
{

namespace
{

// A server with one connection at a time.
struct AnswerServer
{
    EventLoop* Loop = nullptr;
    int Listening = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    std::string Address;
    Watch Accepting;
    int Connection = -1;
    Watch Ready;
    Timer Later;        // Sends the rest of an answer.
    std::string Answer; // To the next request; empty: a proper one.
    size_t FirstPart = 0;
};

void EndConnection(AnswerServer* server)
{
    server->Ready = nullptr;
    server->Later = nullptr;
    close(server->Connection);
    server->Connection = -1;
}

void SendRest(AnswerServer* server, const std::string& rest)
{
    send(server->Connection, rest.data(), rest.size(), MSG_NOSIGNAL);
    EndConnection(server);
}

void OnReadable(AnswerServer* server)
{
    std::string buffer(KiB, '\0');
    if (recv(server->Connection, buffer.data(), buffer.size(), MSG_DONTWAIT) <= 0)
    {
        EndConnection(server);
        return;
    }
    if (server->Answer.empty())
    {
        const std::string proper = "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 0\r\n\r\n";
        send(server->Connection, proper.data(), proper.size(), MSG_NOSIGNAL);
        return;
    }
    send(server->Connection, server->Answer.data(), server->FirstPart, MSG_NOSIGNAL);
    if (server->FirstPart == server->Answer.size())
    {
        EndConnection(server);
        return;
    }
    server->Later =
        TimerStart(server->Loop, UsPerMs, [server, rest = server->Answer.substr(server->FirstPart)]() { SendRest(server, rest); });
}

void OnAcceptable(AnswerServer* server)
{
    const int accepted = accept4(server->Listening, nullptr, nullptr, SOCK_NONBLOCK);
    if (accepted < 0)
    {
        return;
    }
    if (server->Connection >= 0)
    {
        EndConnection(server);
    }
    server->Connection = accepted;
    server->Ready = WatchStart(server->Loop, accepted, UV_READABLE, [server](int) { OnReadable(server); });
}

void Listen(AnswerServer* server, EventLoop* loop)
{
    server->Loop = loop;
    sockaddr_in at = {};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK); // On a free port.
    socklen_t size = sizeof at;
    [[maybe_unused]] const bool listens = bind(server->Listening, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
                                          listen(server->Listening, 1) == 0 &&
                                          getsockname(server->Listening, reinterpret_cast<sockaddr*>(&at), &size) == 0;
    assert(listens && "the server can't listen on the loopback interface");
    server->Address = fmt::format("127.0.0.1:{}", ntohs(at.sin_port));
    server->Accepting = WatchStart(loop, server->Listening, UV_READABLE, [server](int) { OnAcceptable(server); });
}

// They live as long as the process, so that each answer is read after many others.
struct Parts
{
    EventLoop Loop;
    AnswerServer Server;
    Client Calls;

    Parts()
    {
        SetLogLevel(LogLevel_Error);
        Listen(&Server, &Loop);
        ClientStart(&Calls, &Loop);
    }
};

ClientAnswer Ask(Parts* parts, bool new_connection)
{
    ClientRequest request;
    request.Address = parts->Server.Address;
    request.Target = "/";
    request.NewConnection = new_connection;
    return ClientSendAndWait(&parts->Calls, std::move(request));
}

bool IsSound(const ClientAnswer& answer)
{
    const bool status = answer.Status >= 200 && answer.Status <= 599;
    return status && std::all_of(answer.Headers.begin(), answer.Headers.end(),
                                 [](const Header& header) { return ParseFieldLine(header.Name + ": " + header.Value + "\r\n"); });
}

} // namespace

} // namespace Winchlink

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    static auto* parts = new Winchlink::Parts();
    constexpr size_t answer_max = 8192; // Fits the buffers of a socket.
    if (size < 2 || size > answer_max)
    {
        return 0;
    }
    constexpr unsigned kept = 1;
    constexpr unsigned in_parts = 14; // One input in eight, as each takes a millisecond.
    const std::string bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    if ((data[0] & kept) != 0)
    {
        parts->Server.Answer = "";
        if (Winchlink::Ask(parts, false).Status != 200)
        {
            __builtin_trap();
        }
    }
    parts->Server.Answer = bytes;
    parts->Server.FirstPart = (data[0] & in_parts) == in_parts ? (data[0] * bytes.size()) / 256 : bytes.size();
    const Winchlink::ClientAnswer answer = Winchlink::Ask(parts, (data[0] & kept) == 0);
    const bool answered = answer.End == Winchlink::ClientEnd_Answered;
    if (answered ? !Winchlink::IsSound(answer) : answer.Status != 0)
    {
        __builtin_trap();
    }
    return 0;
}
