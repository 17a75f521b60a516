// endless_answers_test.cpp: servers whose answers never end: in the head, in interim answers, in trailers, in chunk extensions, in the
// body. Guards against an instance that reads on until its memory or its time is gone, and against requests for sound targets that are lost
// meanwhile.

#include "pages.h"
#include "scripted_server.h"
#include "socket.h"

#include <atomic>
#include <fmt/format.h>
#include <malloc.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Winchlink
{

namespace
{

constexpr size_t ReadMax = 24 * MiB; // The largest body of 16 MiB, and what sockets hold.

// An answer: a head and a beginning, then the same bytes for ever.
struct EndlessAnswer
{
    const char* Name = "";
    std::string Head;
    std::string Repeated;
};

const std::string Chunked = "HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n";

// "{}" stands for the headers that make the answer a proper one.
std::vector<EndlessAnswer> AllKinds()
{
    const std::string filler(1000, 'a');
    return {
        {"headers", "HTTP/1.1 200 OK\r\n{}", "X-Filler: " + filler + "\r\n"},
        {"short headers", "HTTP/1.1 200 OK\r\n{}", "a:b\r\n"},
        {"a header", "HTTP/1.1 200 OK\r\n{}X-Filler: ", filler},
        {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"trailers", Chunked + "5\r\nhello\r\n0\r\n", "a:b\r\n"},
        {"a trailer", Chunked + "5\r\nhello\r\n0\r\nX-Filler: ", filler},
        {"a chunk extension", Chunked + "5;x=", filler},
        {"chunk extensions", Chunked, "1;" + filler + "\r\nb\r\n"},
        {"chunks", Chunked, "3e8\r\n" + filler + "\r\n"},
        {"a body without length", "HTTP/1.1 200 OK\r\n{}\r\n", filler},
        {"no answer", "", filler},
    };
}

struct EndlessConnection
{
    int Socket = -1;
    Watch Ready;
    std::string Received;
    std::string Pending; // To be sent next.
    const EndlessAnswer* Answer = nullptr;
    size_t Sent = 0;
    bool Closed = false; // By the other side.
};

// A target that answers either its requests or its health checks without end.
struct EndlessServer
{
    EventLoop* Loop = nullptr;
    std::string Address = FreeAddress();
    EndlessAnswer Answer;
    bool OnHealthChecks = false;
    int Listening = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    Watch Accepting;
    std::vector<std::unique_ptr<EndlessConnection>> Connections;

    EndlessServer(EventLoop* loop, EndlessAnswer answer, bool on_health_checks);
    ~EndlessServer();
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

    size_t LargestAnswer() const;
    bool AllClosed() const;
};

void Close(EndlessConnection* connection)
{
    connection->Ready = nullptr;
    close(connection->Socket);
    connection->Closed = true;
}

std::string HeaderIn(const std::string& request, const std::string& name)
{
    const size_t at = request.find(name + ": ");
    const size_t from = at + name.size() + 2;
    return at != std::string::npos ? request.substr(from, request.find("\r\n", from) - from) : "";
}

// Sends what is pending, and for an endless answer goes on with it.
void SendOn(EndlessConnection* connection)
{
    constexpr size_t at_once = 256 * KiB;
    while (connection->Answer != nullptr && connection->Pending.size() < at_once)
    {
        connection->Pending += connection->Answer->Repeated;
    }
    const ssize_t sent = send(connection->Socket, connection->Pending.data(), connection->Pending.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN)
    {
        Close(connection);
        return;
    }
    connection->Sent += sent > 0 ? static_cast<size_t>(sent) : 0;
    connection->Pending.erase(0, sent > 0 ? static_cast<size_t>(sent) : 0);
    const bool more = connection->Answer != nullptr || !connection->Pending.empty();
    WatchChange(connection->Ready.get(), more ? UV_READABLE | UV_WRITABLE : UV_READABLE);
}

void Begin(EndlessServer* server, EndlessConnection* connection)
{
    const std::string request = std::exchange(connection->Received, "");
    const bool health = request.rfind("GET /health", 0) == 0;
    const bool endless = health == server->OnHealthChecks;
    const std::string id = HeaderIn(request, "Winchlink-Request-Id");
    const std::string own = health ? "Winchlink-Instance-Id: t1\r\nWinchlink-Server-Load: 0,0,3,100\r\n"
                                   : fmt::format("Winchlink-Request-Id: {}\r\nWinchlink-Response-Signature: s\r\n", id);
    const std::string head = endless ? server->Answer.Head : "HTTP/1.1 200 OK\r\n{}Content-Length: 0\r\n\r\n";
    const size_t at = head.find("{}");
    connection->Pending += at != std::string::npos ? head.substr(0, at) + own + head.substr(at + 2) : head;
    connection->Answer = endless ? &server->Answer : nullptr;
    SendOn(connection);
}

void OnEvent(EndlessServer* server, EndlessConnection* connection, int events)
{
    if ((events & (UV_READABLE | UV_DISCONNECT)) != 0)
    {
        std::string buffer(64 * KiB, '\0');
        const ssize_t got = recv(connection->Socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (got == 0 || (got < 0 && errno != EAGAIN))
        {
            Close(connection);
            return;
        }
        connection->Received.append(buffer, 0, got > 0 ? static_cast<size_t>(got) : 0);
        if (connection->Received.find("\r\n\r\n") != std::string::npos)
        {
            Begin(server, connection);
            return;
        }
    }
    if ((events & UV_WRITABLE) != 0)
    {
        SendOn(connection);
    }
}

void Accept(EndlessServer* server)
{
    const int accepted = accept4(server->Listening, nullptr, nullptr, SOCK_NONBLOCK);
    if (accepted < 0)
    {
        return;
    }
    server->Connections.push_back(std::make_unique<EndlessConnection>());
    EndlessConnection* connection = server->Connections.back().get();
    connection->Socket = accepted;
    connection->Ready = WatchStart(server->Loop, accepted, UV_READABLE, [=](int events) { OnEvent(server, connection, events); });
}

EndlessServer::EndlessServer(EventLoop* loop, EndlessAnswer answer, bool on_health_checks)
    : Loop(loop), Answer(std::move(answer)), OnHealthChecks(on_health_checks)
{
    const sockaddr_in at = ToSocketAddress(ParseEndpoint(Address).value());
    CPPUNIT_ASSERT_EQUAL(0, bind(Listening, reinterpret_cast<const sockaddr*>(&at), sizeof at));
    CPPUNIT_ASSERT_EQUAL(0, listen(Listening, 16));
    Accepting = WatchStart(loop, Listening, UV_READABLE, [this](int) { Accept(this); });
}

EndlessServer::~EndlessServer()
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

size_t EndlessServer::LargestAnswer() const
{
    size_t largest = 0;
    for (const auto& connection : Connections)
    {
        largest = std::max(largest, connection->Sent);
    }
    return largest;
}

// Whether no endless answer goes on.
bool EndlessServer::AllClosed() const
{
    return std::all_of(Connections.begin(), Connections.end(),
                       [](const auto& connection) { return connection->Closed || connection->Answer == nullptr; });
}

// The same as EndlessServer, one connection, in a thread of its own: bytes come also while the client is reading.
struct FastServer
{
    std::string Address = FreeAddress();
    EndlessAnswer Answer;
    int ProperAnswers = 0; // So many requests get a proper answer first.
    int Listening = socket(AF_INET, SOCK_STREAM, 0);
    std::atomic<size_t> Sent = 0;
    std::thread Sender;

    FastServer(EndlessAnswer answer, int proper_answers);
    ~FastServer();
    FastServer(const FastServer&) = delete;
    FastServer& operator=(const FastServer&) = delete;
};

bool SendAll(int connection, const std::string& bytes)
{
    size_t sent = 0;
    ssize_t last = 1;
    while (sent < bytes.size() && last > 0) // A process that was stopped sends a part only.
    {
        last = send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        sent += last > 0 ? static_cast<size_t>(last) : 0;
    }
    return sent == bytes.size();
}

void SendWithoutEnd(FastServer* server)
{
    const int connection = accept(server->Listening, nullptr, nullptr);
    std::string buffer(64 * KiB, '\0');
    bool open = true;
    for (int n = 0; n < server->ProperAnswers && open; n++)
    {
        open = recv(connection, buffer.data(), buffer.size(), 0) > 0 && SendAll(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    open = open && recv(connection, buffer.data(), buffer.size(), 0) > 0;
    const std::string& head = server->Answer.Head;
    const size_t own_headers = head.find("{}");
    open = open && SendAll(connection, own_headers != std::string::npos ? std::string(head).erase(own_headers, 2) : head);
    std::string repeated;
    while (repeated.size() < buffer.size())
    {
        repeated += server->Answer.Repeated;
    }
    while (open)
    {
        open = SendAll(connection, repeated);
        server->Sent += repeated.size();
    }
    close(connection);
}

FastServer::FastServer(EndlessAnswer answer, int proper_answers) : Answer(std::move(answer)), ProperAnswers(proper_answers)
{
    const sockaddr_in at = ToSocketAddress(ParseEndpoint(Address).value());
    CPPUNIT_ASSERT_EQUAL(0, bind(Listening, reinterpret_cast<const sockaddr*>(&at), sizeof at));
    const int send_buffer = 64 * KiB; // Else a held-up client leaves megabytes in it, which count as sent.
    CPPUNIT_ASSERT_EQUAL(0, setsockopt(Listening, SOL_SOCKET, SO_SNDBUF, &send_buffer, sizeof send_buffer));
    CPPUNIT_ASSERT_EQUAL(0, listen(Listening, 16));
    Sender = std::thread([this]() { SendWithoutEnd(this); });
}

FastServer::~FastServer()
{
    shutdown(Listening, SHUT_RDWR); // Ends accept(); a connection has ended with its client.
    Sender.join();
    close(Listening);
}

} // namespace

class EndlessAnswersTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessAnswersTest);
    CPPUNIT_TEST(EachKindIsGivenUp);
    CPPUNIT_TEST(EachKindIsGivenUpThoughBytesComeFast);
    CPPUNIT_TEST(AnEndlessAnswerOnAReusedConnectionIsGivenUp);
    CPPUNIT_TEST(LargeAnswersInSmallChunksArePassedOn);
    CPPUNIT_TEST(BytesAfterAWholeAnswerAreNotRead);
    CPPUNIT_TEST(RequestsAreServedBesideEndlessAnswers);
    CPPUNIT_TEST(RequestsAreServedBesideEndlessHealthChecks);
    CPPUNIT_TEST(RequestsThatMayNotBeRepeatedFailOnce);
    CPPUNIT_TEST(AStopIsObeyedBesideEndlessHealthChecks);
    CPPUNIT_TEST(ManyEndlessBodiesStayWithinTheMemory);
    CPPUNIT_TEST(MoreEndlessBodiesStayWithinTheMemory);
    CPPUNIT_TEST(ASoundAnswerIsServedBesideManyEndlessBodies);
    CPPUNIT_TEST(ALengthBeyondTheBoundIsRefusedUnread);
    CPPUNIT_TEST(TheClientsOfAnInstanceShareTheirMemory);
    CPPUNIT_TEST_SUITE_END();

    static ClientRequest Call(const std::string& address)
    {
        ClientRequest request;
        request.Address = address;
        request.Target = "/x";
        request.TimeoutUs = RigTimeoutUs;
        return request;
    }

    // Guards against any use of the client, such as reading the store, that goes on with such an answer until its timeout.
    void EachKindIsGivenUp()
    {
        for (const EndlessAnswer& kind : AllKinds())
        {
            EventLoop loop;
            Client client;
            ClientStart(&client, &loop);
            const EndlessServer server(&loop, kind, false);
            const ClientAnswer answer = ClientSendAndWait(&client, Call(server.Address));
            const std::string text = fmt::format("{}: {}, {} bytes", kind.Name, answer.Detail, server.LargestAnswer());
            CPPUNIT_ASSERT_MESSAGE(text, answer.End == ClientEnd_Broken || answer.End == ClientEnd_Lost);
            CPPUNIT_ASSERT_MESSAGE(text, server.LargestAnswer() <= ReadMax);
            CPPUNIT_ASSERT_MESSAGE(text, LoopRunUntil(&loop, RigTimeoutUs, [&]() { return server.AllClosed(); }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, size_t{0}, client.Memory->Bytes);
        }
    }

    // Guards against a client that reads such an answer, and does nothing else, as long as the server sends faster than it reads. With some
    // proper answers before, the connection is a reused one.
    void EachKindIsGivenUpThoughBytesComeFast()
    {
        for (const EndlessAnswer& kind : AllKinds())
        {
            for (const int proper_answers : {0, 3})
            {
                FastServer server(kind, proper_answers);
                EventLoop loop;
                Client client;
                ClientStart(&client, &loop);
                for (int n = 0; n < proper_answers; n++)
                {
                    CPPUNIT_ASSERT_EQUAL(200, ClientSendAndWait(&client, Call(server.Address)).Status);
                }
                const ClientAnswer answer = ClientSendAndWait(&client, Call(server.Address));
                const std::string text =
                    fmt::format("{} after {}: {}, {} bytes", kind.Name, proper_answers, answer.Detail, server.Sent.load());
                CPPUNIT_ASSERT_MESSAGE(text, answer.End == ClientEnd_Broken || answer.End == ClientEnd_Lost);
                CPPUNIT_ASSERT_MESSAGE(text, server.Sent.load() <= ReadMax);
            }
        }
    }

    // Guards against bytes of earlier answers that are taken for those of this one, or the other way round.
    void AnEndlessAnswerOnAReusedConnectionIsGivenUp()
    {
        EventLoop loop;
        Client client;
        ClientStart(&client, &loop);
        EndlessServer server(&loop, {"a chunk extension", Chunked + "5;x=", "a"}, true);
        for (int n = 0; n < 20; n++)
        {
            CPPUNIT_ASSERT_EQUAL(200, ClientSendAndWait(&client, Call(server.Address)).Status);
        }
        CPPUNIT_ASSERT_EQUAL(size_t{1}, server.Connections.size());
        server.OnHealthChecks = false;
        const ClientAnswer answer = ClientSendAndWait(&client, Call(server.Address));
        CPPUNIT_ASSERT_EQUAL(int(ClientEnd_Broken), int(answer.End));
        CPPUNIT_ASSERT_EQUAL(uint64_t{1}, client.AnswersTooLarge);
    }

    // Guards against a bound on framing that large answers exceed which come in the smallest chunks.
    void LargeAnswersInSmallChunksArePassedOn()
    {
        constexpr size_t length = 500000;
        std::string body;
        for (size_t n = 0; n < length; n++)
        {
            body += "1\r\nb\r\n";
        }
        EventLoop loop;
        Client client;
        ClientStart(&client, &loop);
        EndlessServer server(&loop, {"small chunks", Chunked + body + "0\r\n\r\n", ""}, false);
        server.Answer.Repeated = "HTTP/1.1 200 OK\r\n\r\n"; // Surplus, which belongs to no request.
        const ClientAnswer answer = ClientSendAndWait(&client, Call(server.Address));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.Detail, 200, answer.Status);
        CPPUNIT_ASSERT_EQUAL(length, answer.Body.size());
    }

    // Guards against a client that reads on after the end of an answer, or keeps connections open on which bytes come without end.
    void BytesAfterAWholeAnswerAreNotRead()
    {
        EventLoop loop;
        Client client;
        ClientStart(&client, &loop);
        const std::string filler(1000, 'a');
        const EndlessServer server(&loop, {"a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", filler}, false);
        for (int n = 0; n < 10; n++)
        {
            const ClientAnswer answer = ClientSendAndWait(&client, Call(server.Address));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.Detail, 200, answer.Status);
            CPPUNIT_ASSERT_EQUAL(std::string("hello"), answer.Body);
        }
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} bytes", server.LargestAnswer()), server.LargestAnswer() <= ReadMax);
        const auto few_open = [&server]()
        {
            const auto is_open = [](const auto& connection)
            {
                return !connection->Closed;
            };
            return std::count_if(server.Connections.begin(), server.Connections.end(), is_open) <= 1;
        };
        CPPUNIT_ASSERT(LoopRunUntil(&loop, RigTimeoutUs, few_open)); // The server learns of a closed connection from its socket.
    }

    // Nothing ends the request before the answer has reached its bound, however slow the machine is.
    static UsersRoute RelaxedRoute()
    {
        UsersRoute route;
        route.TimeoutS = RelaxedAimS;
        route.AimS = RelaxedAimS;
        return route;
    }

    static RigCall RelaxedCall()
    {
        RigCall call;
        call.DeadlineMs = static_cast<int>(RelaxedAimS) * 1000;
        return call;
    }

    // An endless target beside a sound one, which is farther away: all requests are served by the latter.
    static void CheckServed(const EndlessAnswer& kind, bool on_health_checks)
    {
        Rig rig;
        const EndlessServer endless(&rig.Loop, kind, on_health_checks);
        UsersStoreTarget(&rig.Store, "t1", "svc", endless.Address, "dc-a");
        RigTarget(&rig, "t2", "svc", "dc-b");
        RigConfigure(&rig, {RelaxedRoute()});
        const Gateway& instance = RigInstance(&rig, 2);
        for (int n = 0; n < 6; n++)
        {
            const RigAnswer answer = RigSendAndWait(&rig, instance, RelaxedCall());
            const std::string text = fmt::format("{}, request {}: {}", kind.Name, n, answer.Answer.Status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 200, answer.Answer.Status);
        }
        const bool given_up = instance.Targets.AnswersTooLarge > 0; // Otherwise the bytes are no answer, as of a crashed target.
        CPPUNIT_ASSERT_MESSAGE(kind.Name, !given_up || instance.Requests.Quarantined.Requests.empty());
        const std::string text = fmt::format("{}: {} bytes", kind.Name, endless.LargestAnswer());
        CPPUNIT_ASSERT_MESSAGE(text, RigRunUntil(&rig, [&]() { return endless.AllClosed(); }));
        CPPUNIT_ASSERT_MESSAGE(text, !endless.Connections.empty() && endless.LargestAnswer() <= ReadMax);
    }

    // Guards against requests that wait for the end of an endless answer instead of being sent to another target.
    void RequestsAreServedBesideEndlessAnswers()
    {
        for (const EndlessAnswer& kind : AllKinds())
        {
            CheckServed(kind, false);
        }
    }

    // Guards against an instance that is brought down by the answer to a health check.
    void RequestsAreServedBesideEndlessHealthChecks()
    {
        for (const EndlessAnswer& kind : AllKinds())
        {
            CheckServed(kind, true);
        }
    }

    // Guards against a request that runs twice, or is refused as not run, after an endless answer: the target has run it.
    void RequestsThatMayNotBeRepeatedFailOnce()
    {
        Rig rig;
        const EndlessServer endless(&rig.Loop, {"trailers", Chunked + "0\r\n", "a:b\r\n"}, false);
        UsersStoreTarget(&rig.Store, "t1", "svc", endless.Address, "dc-a");
        const UsersTarget& sound = RigTarget(&rig, "t2", "svc", "dc-b");
        UsersRoute route = RelaxedRoute();
        route.Safe = false;
        RigConfigure(&rig, {route});
        const Gateway& instance = RigInstance(&rig, 2);
        RigCall call = RelaxedCall();
        call.Method = "POST";
        CPPUNIT_ASSERT_EQUAL(502, RigSendAndWait(&rig, instance, call).Answer.Status);
        CPPUNIT_ASSERT_EQUAL(size_t{0}, sound.Saw.size());
        CPPUNIT_ASSERT(MetricsText(instance).find("winchlink_answers_too_large 1") != std::string::npos);
    }

    // Guards against an instance that reads an answer and does nothing else, not even stop.
    void AStopIsObeyedBesideEndlessHealthChecks()
    {
        Rig rig;
        const EndlessServer endless(&rig.Loop, {"trailers", Chunked + "0\r\n", "a:b\r\n"}, true);
        UsersStoreTarget(&rig.Store, "t1", "svc", endless.Address, "dc-a");
        RigConfigure(&rig, {UsersRoute()});
        Gateway& instance = RigInstance(&rig, 1);
        const RigAnswerPtr answer = RigSend(&rig, instance, RigCall());
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return endless.LargestAnswer() > 0; }));
        GatewayStop(&instance);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return instance.Stopped && answer->Done; }));
        CPPUNIT_ASSERT_EQUAL(503, answer->Answer.Status);
    }

    // Bytes that the program has allocated; 0 where the allocator doesn't tell, as under AddressSanitizer.
    static size_t Allocated()
    {
        const struct mallinfo2 info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    static size_t PendingBytes(const EndlessServer& server)
    {
        size_t bytes = 0;
        for (const auto& connection : server.Connections)
        {
            bytes += connection->Pending.capacity();
        }
        return bytes;
    }

    // `pace_bytes`: size of the server's send buffers, so that the answers grow alike, as over slow links; 0: as usual.
    static void CheckMemory(size_t answers, int pace_bytes)
    {
        constexpr size_t memory = 64 * MiB; // More than half of the smallest instance's.
        EventLoop loop;
        Client client;
        ClientStart(&client, &loop);
        const EndlessServer server(&loop, {"a body without length", "HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'a')}, false);
        const auto size = static_cast<socklen_t>(sizeof pace_bytes);
        CPPUNIT_ASSERT(pace_bytes == 0 || setsockopt(server.Listening, SOL_SOCKET, SO_SNDBUF, &pace_bytes, size) == 0);
        size_t ended = 0;
        for (size_t n = 0; n < answers; n++)
        {
            ClientSend(&client, Call(server.Address), [&](const ClientAnswer&) { ended++; });
        }
        const size_t before = Allocated();
        size_t largest = 0;
        const auto all_ended = [&]()
        {
            const size_t added = Allocated() - before;
            largest = std::max({largest, client.Memory->Bytes, added - std::min(added, PendingBytes(server))});
            return ended == answers;
        };
        CPPUNIT_ASSERT(LoopRunUntil(&loop, RigTimeoutUs, all_ended));
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} bytes", largest), largest <= memory);
    }

    // Guards against answers that are each within their bound and together exceed the memory of an instance.
    void ManyEndlessBodiesStayWithinTheMemory()
    {
        CheckMemory(16, 0);
    }

    // Guards against a bound on all answers together that rises with their number.
    void MoreEndlessBodiesStayWithinTheMemory()
    {
        CheckMemory(150, 16 * KiB);
    }

    // Guards against a sound answer that is given up for lack of memory while answers without end hold most of it.
    void ASoundAnswerIsServedBesideManyEndlessBodies()
    {
        constexpr size_t endless_answers = 150;
        constexpr size_t first_part = 100 * KiB;
        ClientRig rig;
        const EndlessServer endless(&rig.Loop, {"a body without length", "HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'a')}, false);
        const std::string body(MiB, 'b');
        rig.Next = {StatusLine + LengthLine(body.size()) + "\r\n" + body, ScriptEnd_Open, first_part, 200 * UsPerMs};
        std::optional<ClientAnswer> sound;
        ClientSend(&rig.Calls, rig.Request("GET", "/x"), [&](ClientAnswer answer) { sound = std::move(answer); });
        CPPUNIT_ASSERT(LoopRunUntil(&rig.Loop, RigTimeoutUs, [&]() { return rig.Calls.Memory->Bytes >= first_part; }));
        size_t ended = 0;
        for (size_t n = 0; n < endless_answers; n++)
        {
            ClientSend(&rig.Calls, Call(endless.Address), [&](const ClientAnswer&) { ended++; });
        }
        CPPUNIT_ASSERT(LoopRunUntil(&rig.Loop, RigTimeoutUs, [&]() { return sound && ended == endless_answers; }));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(sound->Detail, int(ClientEnd_Answered), int(sound->End));
        CPPUNIT_ASSERT(sound->Body == body);
        CPPUNIT_ASSERT_EQUAL(size_t{0}, rig.Calls.Memory->Bytes);
    }

    // Guards against a body that is read although its head says that it exceeds the bound.
    void ALengthBeyondTheBoundIsRefusedUnread()
    {
        ClientRig rig;
        ClientRequest request = rig.Request("GET", "/x");
        const ClientAnswer answer = rig.Ask(request, {StatusLine + LengthLine(request.MaxAnswerBytes + 1) + "\r\n" + "b", ScriptEnd_Open});
        CPPUNIT_ASSERT_EQUAL(int(ClientEnd_Broken), int(answer.End));
        CPPUNIT_ASSERT(answer.TooLarge);
        CPPUNIT_ASSERT_EQUAL(0, rig.HeadsSeen);
    }

    // Guards against a bound that holds for requests, for the store and for requests that are handed on separately.
    void TheClientsOfAnInstanceShareTheirMemory()
    {
        Rig rig;
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 0);
        CPPUNIT_ASSERT(instance.Targets.Memory == instance.Control.Memory && instance.Targets.Memory == instance.PeerCalls.Memory);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessAnswersTest);

} // namespace Winchlink
