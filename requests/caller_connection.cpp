// caller_connection.cpp: one connection of a caller: pipelined requests are read ahead, started and answered in order.
//
// The answer to a request that runs concurrently with others is kept in its exchange until all earlier answers have been written. When the
// connection is closing, the last started request gets the last answer. A request behind it was not started, so that its caller may safely
// send it again on another connection.
//
// Index of this file:
// [SECTION] Closing
// [SECTION] Answering
// [SECTION] Starting requests
// [SECTION] Reading and writing
// [SECTION] Start

#include "caller_connection.h"

#include "clock.h"
#include "log.h"
#include "wire_names.h"

#include <array>
#include <boost/beast/http/status.hpp>
#include <cassert>
#include <cerrno>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Winchlink
{

static constexpr int StatusGone = 499;          // Recorded for a request whose caller has disconnected; never sent.
static constexpr size_t ReadAtOnce = 16 * KiB;  // Size of the read buffer, in bytes.
static constexpr int ReadsPerEvent = 4;         // Reads of one socket per event, so that other sockets are served too.
static constexpr size_t OutputMax = 256 * KiB;  // No further request is read while more unsent bytes than this are buffered.
static constexpr TimeUs LingerUs = UsPerSecond; // How long input is read and discarded after the last answer.

static CallerConnection* Find(Listener* listener, uint64_t id)
{
    const auto found = listener->Open.find(id);
    return found != listener->Open.end() ? found->second.get() : nullptr;
}

//-----------------------------------------------------------------------------
// [SECTION] Closing
//-----------------------------------------------------------------------------

// Notifies the handler that the caller has disconnected.
static void NotifyGone(const ExchangePtr& exchange)
{
    const std::function<void()> gone = std::move(exchange->OnGone); // Moved out, as the call may Reply(), which clears OnGone.
    if (gone)
    {
        gone();
    }
    if (!exchange->Answer)
    {
        exchange->Answer = CallerReply{StatusGone, {}, "", true};
    }
}

void ConnectionClose(Listener* listener, uint64_t id)
{
    const auto found = listener->Open.find(id);
    assert(found != listener->Open.end() && "the connection is closed already");
    const std::unique_ptr<CallerConnection> connection = std::move(found->second);
    listener->Open.erase(found);
    connection->Events = nullptr;
    close(connection->Socket);
    for (const ExchangePtr& exchange : connection->Requests)
    {
        if (exchange->Started && !exchange->Answer)
        {
            NotifyGone(exchange);
        }
    }
}

static void QueueForServe(CallerConnection* connection, Listener* listener)
{
    if (!connection->InServeQueue)
    {
        connection->InServeQueue = true;
        listener->ServeQueue.push_back(connection->Id);
    }
}

void Reply(const ExchangePtr& exchange, CallerReply reply)
{
    assert(!exchange->Answer && "the request has been answered already");
    exchange->Answer = std::move(reply);
    exchange->OnGone = nullptr;
    CallerConnection* connection = Find(exchange->Owner, exchange->Connection);
    if (connection != nullptr)
    {
        connection->Closing = connection->Closing || exchange->Answer->CloseConnection;
        QueueForServe(connection, exchange->Owner);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Answering
//-----------------------------------------------------------------------------

static bool HasNoLength(int status)
{
    constexpr int no_content = 204;
    return status < 200 || status == no_content;
}

static void WriteAnswer(CallerConnection* connection, const Exchange& exchange, bool closes)
{
    constexpr int not_modified = 304;
    const CallerReply& reply = *exchange.Answer;
    const bool has_body = !HasNoLength(reply.Status) && reply.Status != not_modified && exchange.Method != "HEAD";
    const auto reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(static_cast<unsigned>(reply.Status)));
    std::string& out = connection->Output;
    out += fmt::format("HTTP/1.1 {} {}\r\n", reply.Status, std::string(reason));
    for (const Header& header : reply.Headers)
    {
        out.append(header.Name).append(": ").append(header.Value).append("\r\n");
    }
    if (has_body || (!HasNoLength(reply.Status) && !reply.Body.empty()))
    {
        out += fmt::format("Content-Length: {}\r\n", reply.Body.size());
    }
    out += closes ? "Connection: close\r\n\r\n" : "\r\n";
    out += has_body ? reply.Body : "";
}

// Moves the answers that are next in order to the output.
static void WriteAnswers(const Listener& listener, CallerConnection* connection)
{
    std::deque<ExchangePtr>& requests = connection->Requests;
    while (!requests.empty() && requests.front()->Answer)
    {
        const ExchangePtr exchange = requests.front();
        requests.pop_front();
        connection->Closing = connection->Closing || (listener.Draining && requests.empty());
        const bool last_started = requests.empty() || !requests.front()->Started;
        const bool closes = connection->Closing && last_started;
        WriteAnswer(connection, *exchange, closes);
        if (closes)
        {
            requests.clear(); // Requests behind the last answer were not started.
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Starting requests
//-----------------------------------------------------------------------------

static bool IsOutputFull(const CallerConnection& connection)
{
    return connection.Output.size() - connection.Written > OutputMax;
}

// Whether the next request may be read while this one is the latest.
static bool MayReadBehind(const Exchange& latest)
{
    return latest.Started && (latest.CanOverlap || latest.Answer);
}

// Whether a further request may be read: all in progress have been started and may overlap, and the limits permit one more.
static bool MayRead(const Listener& listener, const CallerConnection& connection)
{
    const std::deque<ExchangePtr>& requests = connection.Requests;
    if (connection.Closing || IsOutputFull(connection))
    {
        return false;
    }
    return requests.empty() || (MayReadBehind(*requests.back()) && requests.size() < listener.Config.OverlapMax);
}

static void AddRequest(Listener* listener, CallerConnection* connection)
{
    CallerRequest& request = connection->Reader.Request;
    const auto exchange = std::make_shared<Exchange>();
    exchange->Method = std::move(request.Method);
    exchange->Target = std::move(request.Target);
    exchange->Headers = std::move(request.Headers);
    exchange->Body = std::move(request.Body);
    exchange->ArrivedUs = connection->ReadUs;
    exchange->Owner = listener;
    exchange->Connection = connection->Id;
    exchange->CanOverlap = exchange->Body.empty() && listener->Config.MayOverlap && listener->Config.MayOverlap(*exchange);
    exchange->EndsConnection = !request.KeepsConnection;
    connection->Requests.push_back(exchange);
    RequestReaderBegin(&connection->Reader, listener->Config.Limits);
}

// Queues the error answer to a request that could not be parsed, behind the earlier answers, and closes the connection after it.
static void AddRefusal(Listener* listener, CallerConnection* connection)
{
    const RequestReader& reader = connection->Reader;
    const std::string code = std::to_string(static_cast<int>(reader.Code));
    Log(LogLevel_Info, reader.Code, "request refused unread", {{"target", reader.Request.Target}, {"status", reader.Status}});
    const auto exchange = std::make_shared<Exchange>();
    exchange->Started = true;
    exchange->Answer = CallerReply{reader.Status, {{HeaderCode, code}}, "", true};
    exchange->Owner = listener;
    connection->Requests.push_back(exchange);
    connection->Closing = true;
    connection->Input.clear();
}

// The headers were not complete in time: closes the connection once the started requests have been answered.
static void OnHeaderTimeout(Listener* listener, uint64_t id)
{
    CallerConnection* connection = Find(listener, id);
    connection->HeaderTimeout = nullptr;
    Log(LogLevel_Info, Code_None, "headers came too slowly", {{"inProgress", static_cast<int>(connection->Requests.size())}});
    connection->Closing = true;
    ConnectionServe(listener, id);
}

static void UpdateHeaderTimeout(Listener* listener, CallerConnection* connection)
{
    if (connection->Reader.State != ReadState_Headers)
    {
        connection->HeaderTimeout = nullptr;
    }
    else if (!connection->HeaderTimeout)
    {
        connection->HeaderTimeout = TimerStart(listener->Loop, listener->Config.Limits.HeaderTimeoutUs,
                                               [listener, id = connection->Id]() { OnHeaderTimeout(listener, id); });
    }
}

// Parses the next request from the input. False if it is incomplete, or if no further request may be read now.
static bool ReadNext(Listener* listener, CallerConnection* connection)
{
    if (!MayRead(*listener, *connection))
    {
        return false;
    }
    if (connection->Reader.State == ReadState_Begin)
    {
        RequestReaderBegin(&connection->Reader, listener->Config.Limits); // The limits may have changed since the last request.
    }
    const ReadState_ state = RequestReaderFeed(&connection->Reader, &connection->Input);
    UpdateHeaderTimeout(listener, connection);
    if (state == ReadState_Body && connection->Reader.WantsContinue && connection->Requests.empty())
    {
        connection->Output += "HTTP/1.1 100 Continue\r\n\r\n";
        connection->Reader.WantsContinue = false;
    }
    if (state == ReadState_Complete)
    {
        AddRequest(listener, connection);
    }
    else if (state == ReadState_Refused)
    {
        AddRefusal(listener, connection);
    }
    return state == ReadState_Complete || state == ReadState_Refused;
}

// Passes the latest request to the handler if it may start now. False if there is none to start.
static bool StartLatest(Listener* listener, CallerConnection* connection)
{
    if (connection->Requests.empty() || connection->Requests.back()->Started)
    {
        return false;
    }
    const ExchangePtr latest = connection->Requests.back();
    const bool alone = connection->Requests.size() == 1;
    if (!alone && !latest->CanOverlap)
    {
        return false;
    }
    latest->Started = true;
    connection->Closing = connection->Closing || latest->EndsConnection;
    listener->Overlapped += alone ? 0 : 1;
    listener->Handler(latest);
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Reading and writing
//-----------------------------------------------------------------------------

// Reads what has arrived, and discards it if `drop` is set. False if the caller has disconnected.
static bool Read(CallerConnection* connection, bool drop)
{
    std::array<char, ReadAtOnce> buffer;
    for (int n = 0; n < ReadsPerEvent; n++)
    {
        const ssize_t got = recv(connection->Socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (got <= 0)
        {
            return got < 0 && (errno == EAGAIN || errno == EINTR);
        }
        connection->Input.append(buffer.data(), drop ? 0 : static_cast<size_t>(got));
        connection->ReadUs = NowUs();
        connection->ActiveUs = connection->ReadUs;
        if (static_cast<size_t>(got) < buffer.size())
        {
            return true;
        }
    }
    return true;
}

// Sends as much of the output as the socket takes. False if the caller has disconnected.
static bool Write(const Listener& listener, CallerConnection* connection)
{
    while (connection->Written < connection->Output.size())
    {
        const char* from = connection->Output.data() + connection->Written;
        const ssize_t sent = send(connection->Socket, from, connection->Output.size() - connection->Written, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0)
        {
            return errno == EAGAIN || errno == EINTR;
        }
        connection->Written += static_cast<size_t>(sent);
        connection->ActiveUs = NowUs();
        if (listener.Link != nullptr)
        {
            OwnLinkSent(listener.Link, static_cast<size_t>(sent), connection->ActiveUs);
        }
    }
    std::string().swap(connection->Output); // Frees the memory of large answers; clear() and an assignment would keep it.
    connection->Written = 0;
    return true;
}

// Lingering close: shuts down the sending side and discards input for a while. Closing the socket at once would reset the connection if the
// caller is still sending, and the caller could lose the answer.
static void Linger(Listener* listener, CallerConnection* connection)
{
    shutdown(connection->Socket, SHUT_WR);
    connection->HeaderTimeout = nullptr;
    connection->Lingering = TimerStart(listener->Loop, LingerUs, [listener, id = connection->Id]() { ConnectionClose(listener, id); });
}

static void UpdateWatch(const Listener& listener, CallerConnection* connection)
{
    const bool reads = connection->Lingering || MayRead(listener, *connection);
    const int wanted = UV_DISCONNECT | (reads ? UV_READABLE : 0) | (connection->Output.empty() ? 0 : UV_WRITABLE);
    if (wanted != connection->Watched)
    {
        connection->Watched = wanted;
        WatchChange(connection->Events.get(), wanted);
    }
}

// Reads a request that has arrived behind the last answer, so that this answer does not close the connection.
static void ReadBehindLast(Listener* listener, CallerConnection* connection)
{
    if (connection->Requests.empty() || !connection->Requests.back()->Answer || connection->Closing)
    {
        return;
    }
    if (connection->Input.empty())
    {
        Read(connection, false); // If the caller has disconnected, the next event tells.
    }
    ReadNext(listener, connection);
}

// Reads and starts what has arrived, and moves answers to the output, as far as the limits permit.
static void Advance(Listener* listener, CallerConnection* connection)
{
    do
    {
        if (listener->Draining)
        {
            ReadBehindLast(listener, connection);
        }
        WriteAnswers(*listener, connection);
    } while (StartLatest(listener, connection) || ReadNext(listener, connection));
}

void ConnectionServe(Listener* listener, uint64_t id)
{
    CallerConnection* connection = Find(listener, id);
    bool was_full = false;
    do
    {
        Advance(listener, connection);
        was_full = IsOutputFull(*connection);
        if (!Write(*listener, connection))
        {
            ConnectionClose(listener, id);
            return;
        }
    } while (was_full && !IsOutputFull(*connection)); // No event tells of requests in Input that may be read now.
    const bool over = connection->Closing && connection->Output.empty() && connection->Requests.empty();
    if (over && !connection->Lingering)
    {
        Linger(listener, connection);
    }
    UpdateWatch(*listener, connection);
}

static void OnEvents(Listener* listener, uint64_t id, int events)
{
    CallerConnection* connection = Find(listener, id);
    const bool left = (events & UV_DISCONNECT) != 0;
    if (left || ((events & UV_READABLE) != 0 && !Read(connection, connection->Lingering != nullptr)))
    {
        ConnectionClose(listener, id);
        return;
    }
    ConnectionServe(listener, id);
}

//-----------------------------------------------------------------------------
// [SECTION] Start
//-----------------------------------------------------------------------------

void ConnectionOpen(Listener* listener, int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const uint64_t id = ++listener->LastId;
    auto connection = std::make_unique<CallerConnection>();
    connection->Id = id;
    connection->Socket = socket;
    connection->ActiveUs = NowUs();
    connection->Watched = UV_READABLE | UV_DISCONNECT;
    connection->Events =
        WatchStart(listener->Loop, socket, connection->Watched, [listener, id](int events) { OnEvents(listener, id, events); });
    RequestReaderBegin(&connection->Reader, listener->Config.Limits);
    listener->Open[id] = std::move(connection);
}

bool ConnectionIsIdle(const CallerConnection& connection, TimeUs limit, TimeUs now)
{
    const bool handlers_run = !connection.Requests.empty() && connection.Output.empty();
    return !handlers_run && now > connection.ActiveUs + limit;
}

static bool WaitsForNext(const CallerConnection& connection)
{
    const bool nothing_read = connection.Input.empty() && connection.Reader.State == ReadState_Begin;
    return nothing_read && connection.Requests.empty() && connection.Output.empty() && !connection.Lingering;
}

void ConnectionCloseIfIdle(Listener* listener, uint64_t id)
{
    CallerConnection* connection = Find(listener, id);
    assert(connection != nullptr && "the connection must be open");
    if (!WaitsForNext(*connection))
    {
        return;
    }
    if (!Read(connection, false) || WaitsForNext(*connection))
    {
        ConnectionClose(listener, id);
        return;
    }
    ConnectionServe(listener, id); // A request had arrived after all.
}

} // namespace Winchlink
