// scripted_server.cpp: a server that sends prepared bytes as its answers.
//
// Index of this file:
// [SECTION] Answers
// [SECTION] Scripted server
// [SECTION] Texts

#include "scripted_server.h"

#include "socket.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

std::string SignedLines(const std::string& id)
{
    return fmt::format("Winchlink-Request-Id: {}\r\nWinchlink-Response-Signature: s\r\n", id);
}

std::string LengthLine(size_t length)
{
    return fmt::format("Content-Length: {}\r\n", length);
}

std::string Chunk(const std::string& bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string InChunks(const std::string& body)
{
    return Chunk(body.substr(0, 10)) + Chunk(body.substr(10)) + "0\r\n";
}

std::string WholeAnswer(const std::string& id)
{
    return StatusLine + SignedLines(id) + LengthLine() + "\r\n" + OwnBody;
}

std::string FillIn(const std::string& text, const std::string& lines)
{
    const size_t at = text.find("{}");
    return at == std::string::npos ? text : text.substr(0, at) + lines + text.substr(at + 2);
}

static bool PromisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool IsWholeOrFailed(const ClientAnswer& answer)
{
    const bool whole = answer.Status == 200 && answer.Body == OwnBody;
    const bool is_signed = FindHeader(answer.Headers, "Winchlink-Response-Signature") != nullptr;
    return whole || (answer.Status >= 500 && !PromisesNotRun(answer.Status) && !is_signed);
}

//-----------------------------------------------------------------------------
// [SECTION] Scripted server
//-----------------------------------------------------------------------------

static void Close(ScriptedConnection* connection)
{
    connection->Ready = nullptr;
    close(connection->Socket);
    connection->Closed = true;
}

static void Reset(ScriptedConnection* connection)
{
    const linger at_once = {1, 0};
    setsockopt(connection->Socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    Close(connection);
}

static ReceivedRequest ParseRequest(const std::string& head)
{
    ReceivedRequest request;
    request.Method = head.substr(0, head.find(' '));
    const size_t path = request.Method.size() + 1;
    request.Path = head.substr(path, head.find(' ', path) - path);
    for (size_t at = head.find("\r\n"); at != std::string::npos && at + 2 < head.size(); at = head.find("\r\n", at + 2))
    {
        const size_t colon = head.find(": ", at);
        const size_t end = head.find("\r\n", at + 2);
        if (colon < end)
        {
            request.Headers.push_back({head.substr(at + 2, colon - at - 2), head.substr(colon + 2, end - colon - 2)});
        }
    }
    const std::string* id = FindHeader(request.Headers, "Winchlink-Request-Id");
    request.Id = id != nullptr ? *id : "";
    return request;
}

static void SendBytes(const ScriptedConnection& connection, const std::string& bytes)
{
    const auto size = static_cast<ssize_t>(bytes.size());
    CPPUNIT_ASSERT_EQUAL(size, send(connection.Socket, bytes.data(), bytes.size(), MSG_NOSIGNAL));
}

static void EndAnswer(ScriptedConnection* connection, ScriptEnd_ end)
{
    if (end == ScriptEnd_Reset)
    {
        Reset(connection);
    }
    else if (end == ScriptEnd_Close)
    {
        shutdown(connection->Socket, SHUT_WR);
        connection->Ended = true;
    }
}

static void SendAnswer(EventLoop* loop, ScriptedConnection* connection, const ScriptedAnswer& answer)
{
    if (answer.FirstPart == 0)
    {
        SendBytes(*connection, answer.Bytes);
        EndAnswer(connection, answer.End);
        return;
    }
    SendBytes(*connection, answer.Bytes.substr(0, answer.FirstPart));
    const auto send_rest = [connection, answer]()
    {
        if (!connection->Closed)
        {
            const std::string rest = answer.Bytes.substr(answer.FirstPart);
            send(connection->Socket, rest.data(), rest.size(), MSG_NOSIGNAL); // The client may have closed the connection meanwhile.
            EndAnswer(connection, answer.End);
        }
    };
    connection->Later = TimerStart(loop, answer.RestUs, send_rest);
}

// Takes the request that has been read from `received`; false if it is not complete.
static bool TakeRequest(const ScriptedServer& server, std::string* received, ReceivedRequest* out)
{
    const size_t end = received->find("\r\n\r\n");
    if (end == std::string::npos)
    {
        return false;
    }
    *out = ParseRequest(received->substr(0, end + 2));
    const std::string* length = FindHeader(out->Headers, "Content-Length");
    const size_t body = length != nullptr && server.ReadsBodies ? std::strtoull(length->c_str(), nullptr, 10) : 0;
    if (received->size() < end + 4 + body)
    {
        return false;
    }
    out->Body = received->substr(end + 4, body);
    received->erase(0, end + 4 + body);
    return true;
}

static void OnReadable(ScriptedServer* server, ScriptedConnection* connection)
{
    std::string buffer(64 * KiB, '\0');
    const ssize_t got = recv(connection->Socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (got == 0 || (got < 0 && errno != EAGAIN))
    {
        Close(connection);
        return;
    }
    connection->Received.append(buffer, 0, got > 0 ? static_cast<size_t>(got) : 0);
    ReceivedRequest request;
    if (connection->Ended || !TakeRequest(*server, &connection->Received, &request))
    {
        return;
    }
    server->Saw[request.Path]++;
    connection->Requests++;
    server->Last = connection;
    connection->Ended = !server->ReadsBodies && FindHeader(request.Headers, "Content-Length") != nullptr;
    SendAnswer(server->Loop, connection, server->Answer(request));
}

static void Accept(ScriptedServer* server)
{
    const int accepted = accept4(server->Listening, nullptr, nullptr, SOCK_NONBLOCK);
    if (accepted < 0)
    {
        return;
    }
    server->Connections.push_back(std::make_unique<ScriptedConnection>());
    ScriptedConnection* connection = server->Connections.back().get();
    connection->Socket = accepted;
    connection->Ready = WatchStart(server->Loop, accepted, UV_READABLE, [=](int) { OnReadable(server, connection); });
}

ScriptedServer::ScriptedServer(EventLoop* loop, std::function<ScriptedAnswer(const ReceivedRequest&)> answer)
    : Loop(loop), Answer(std::move(answer))
{
    const sockaddr_in at = ToSocketAddress(ParseEndpoint(Address).value());
    CPPUNIT_ASSERT_EQUAL(0, bind(Listening, reinterpret_cast<const sockaddr*>(&at), sizeof at));
    CPPUNIT_ASSERT_EQUAL(0, listen(Listening, 16));
    Accepting = WatchStart(loop, Listening, UV_READABLE, [this](int) { Accept(this); });
}

ScriptedServer::~ScriptedServer()
{
    Accepting = nullptr;
    close(Listening);
    for (const auto& connection : Connections)
    {
        if (!connection->Closed)
        {
            Close(connection.get());
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Texts
//-----------------------------------------------------------------------------

std::string Escaped(const std::string& bytes)
{
    std::string out;
    for (const char c : bytes)
    {
        out += c == '\r' ? "\\r" : c == '\n' ? "\\n" : std::string(1, c);
    }
    return out;
}

std::string TextOf(const std::string& what, const std::string& bytes, const ClientAnswer& answer)
{
    return fmt::format("{}: \"{}\" -> end {}, status {}, {} bytes, {}", what, Escaped(bytes), static_cast<int>(answer.End), answer.Status,
                       answer.Body.size(), answer.Detail);
}

} // namespace Winchlink
