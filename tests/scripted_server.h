// scripted_server.h: a server that sends prepared bytes as its answers, and what tests of odd answers share: a client and an instance in
// front of such a server.
//
// How to use it: set ClientRig::Next, or InstanceRig::Cut, to the bytes of an answer, then call Ask().
//
// Index of this file:
// [SECTION] Answers
// [SECTION] Scripted server
// [SECTION] Client
// [SECTION] Instance

#pragma once

#include "gateway_rig.h"
#include "log.h"

#include <fmt/format.h>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

inline const std::string OwnBody = "the whole body: by length";
inline const std::string StatusLine = "HTTP/1.1 200 OK\r\n";
inline const std::string Interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";

std::string SignedLines(const std::string& id);
std::string LengthLine(size_t length = OwnBody.size());
std::string Chunk(const std::string& bytes);
std::string InChunks(const std::string& body);
std::string WholeAnswer(const std::string& id);

// Replaces "{}" in the text by the lines.
std::string FillIn(const std::string& text, const std::string& lines);

//-----------------------------------------------------------------------------
// [SECTION] Scripted server
//-----------------------------------------------------------------------------

// What a server does after the bytes of an answer.
enum ScriptEnd_ : int
{
    ScriptEnd_Open,  // Keeps the connection open.
    ScriptEnd_Close, // Closes it in order (FIN).
    ScriptEnd_Reset, // Resets it.
    ScriptEnd_COUNT,
};

struct ScriptedAnswer
{
    std::string Bytes;
    ScriptEnd_ End = ScriptEnd_Open;
    size_t FirstPart = 0;    // Bytes that are sent at once; 0: all.
    TimeUs RestUs = UsPerMs; // Time until the others are sent.
};

struct ScriptedConnection
{
    int Socket = -1;
    Watch Ready;
    std::string Received;
    int Requests = 0;    // Received on it.
    Timer Later;         // Sends the rest of an answer.
    bool Ended = false;  // No answer follows; what is received is discarded.
    bool Closed = false; // By both sides, or reset.
};

struct ScriptedServer
{
    EventLoop* Loop = nullptr;
    std::string Address = FreeAddress();
    std::function<ScriptedAnswer(const ReceivedRequest&)> Answer;
    bool ReadsBodies = true; // Else an answer is sent after the head of a request, and nothing follows it.
    int Listening = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    Watch Accepting;
    std::vector<std::unique_ptr<ScriptedConnection>> Connections;
    std::map<std::string, int> Saw;           // Number of requests by path.
    const ScriptedConnection* Last = nullptr; // Connection of the latest request.

    ScriptedServer(EventLoop* loop, std::function<ScriptedAnswer(const ReceivedRequest&)> answer);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;
};

//-----------------------------------------------------------------------------
// [SECTION] Client
//-----------------------------------------------------------------------------

// A client and a server that gives a proper answer to "/sound" and the one under test to all other requests.
struct ClientRig
{
    EventLoop Loop;
    Client Calls;
    ScriptedAnswer Next;
    ScriptedServer Server;
    int HeadsSeen = 0; // Calls of OnHeaders for the latest request.

    ClientRig()
        : Server(&Loop,
                 [this](const ReceivedRequest& request) {
                     return request.Path == "/sound" ? ScriptedAnswer{StatusLine + LengthLine(0) + "\r\n", ScriptEnd_Open} : Next;
                 })
    {
        SetLogLevel(LogLevel_Error); // Thousands of defective answers are logged otherwise.
        ClientStart(&Calls, &Loop);
    }

    ClientRequest Request(const std::string& method, const std::string& path) const
    {
        ClientRequest request;
        request.Address = Server.Address;
        request.Method = method;
        request.Target = path;
        request.HasBody = method == "POST";
        request.TimeoutUs = RigTimeoutUs;
        return request;
    }

    ClientAnswer Ask(ClientRequest request, const ScriptedAnswer& script)
    {
        Next = script;
        HeadsSeen = 0;
        request.OnHeaders = [this](int, const std::vector<Header>&)
        {
            HeadsSeen++;
        };
        return ClientSendAndWait(&Calls, std::move(request));
    }

    // Asks on a new connection, or on one that has had a proper answer.
    ClientAnswer Ask(ClientRequest request, const ScriptedAnswer& script, bool kept)
    {
        request.NewConnection = !kept;
        if (kept)
        {
            CPPUNIT_ASSERT_EQUAL(200, ClientSendAndWait(&Calls, Request("GET", "/sound")).Status);
        }
        const ScriptedConnection* before = Server.Last;
        ClientAnswer answer = Ask(std::move(request), script);
        CPPUNIT_ASSERT(kept ? Server.Last == before : Server.Last->Requests == 1);
        return answer;
    }
};

// Collects what was wrong in a series of checks.
struct CutCheck
{
    int Cuts = 0;
    int Wrong = 0;
    std::string FirstWrong;

    void Add(bool right, const std::string& text)
    {
        Cuts++;
        Wrong += right ? 0 : 1;
        FirstWrong += right || Wrong > 3 ? "" : "\n" + text;
    }

    void Conclude() const
    {
        CPPUNIT_ASSERT(Cuts > 0);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of {} wrong:{}", Wrong, Cuts, FirstWrong), Wrong == 0);
    }
};

std::string TextOf(const std::string& what, const std::string& bytes, const ClientAnswer& answer);
std::string Escaped(const std::string& bytes);

//-----------------------------------------------------------------------------
// [SECTION] Instance
//-----------------------------------------------------------------------------

inline const std::string SoundHealth =
    StatusLine + "Winchlink-Instance-Id: t1\r\nWinchlink-Server-Load: 0,0,3,100\r\n" + LengthLine(0) + "\r\n";

// Whether a caller may get this: the whole body, or a failure that says nothing about the request and isn't signed.
bool IsWholeOrFailed(const ClientAnswer& answer);

// An instance with one target, or with a sound one besides, which is farther away.
struct InstanceRig
{
    Rig Parts;
    std::string Cut;                  // The target's answers, see CutAnswers(); empty: whole ones.
    std::string Health = SoundHealth; // To its health checks.
    ScriptEnd_ End = ScriptEnd_Close; // After an answer.
    ScriptEnd_ HealthEnd = ScriptEnd_Open;
    ScriptedServer Target;
    std::unique_ptr<ScriptedServer> Sound;
    Gateway* Instance = nullptr;

    explicit InstanceRig(bool safe, bool with_sound)
        : Target(&Parts.Loop, [this](const ReceivedRequest& request) { return Answer(request); })
    {
        UsersStoreTarget(&Parts.Store, "t1", "svc", Target.Address, "dc-a");
        if (with_sound)
        {
            Sound = std::make_unique<ScriptedServer>(&Parts.Loop, [](const ReceivedRequest& request) { return SoundAnswerTo(request); });
            UsersStoreTarget(&Parts.Store, "t2", "svc", Sound->Address, "dc-b");
        }
        UsersRoute route;
        route.Safe = safe;
        route.TimeoutS = RelaxedAimS;
        route.AimS = RelaxedAimS;
        RigConfigure(&Parts, {route});
        Instance = &RigInstance(&Parts, with_sound ? 2 : 1);
    }

    static ScriptedAnswer SoundAnswerTo(const ReceivedRequest& request)
    {
        std::string health = SoundHealth;
        health.replace(health.find("t1"), 2, "t2");
        return {request.Path == "/health" ? health : WholeAnswer(request.Id), ScriptEnd_Open};
    }

    ScriptedAnswer Answer(const ReceivedRequest& request) const
    {
        if (request.Path == "/health")
        {
            return {Health, HealthEnd};
        }
        return Cut.empty() ? ScriptedAnswer{WholeAnswer(request.Id), ScriptEnd_Open}
                           : ScriptedAnswer{FillIn(Cut, SignedLines(request.Id)), End};
    }

    RigAnswer Ask(const std::string& path, const std::string& body = "")
    {
        RigCall call;
        call.Method = body.empty() ? "GET" : "POST";
        call.Target = path;
        call.Body = body;
        call.DeadlineMs = static_cast<int>(RelaxedAimS) * 1000;
        return RigSendAndWait(&Parts, *Instance, call);
    }

    const PoolTarget& Pooled(const std::string& id) const
    {
        const auto& targets = Instance->Requests.Services.at("svc").Pool.Targets;
        const auto found = std::find_if(targets.begin(), targets.end(), [&](const PoolTarget& target) { return target.Id == id; });
        CPPUNIT_ASSERT(found != targets.end());
        return *found;
    }
};

} // namespace Winchlink
