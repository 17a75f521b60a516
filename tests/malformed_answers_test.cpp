// malformed_answers_test.cpp: answers with bytes that HTTP/1.1 does not allow, in the status line, in headers and in trailers. Guards
// against an instance that ends, against callers that get such bytes or a part of a body, and against an instance that learns from such an
// answer.
//
// Index of this file:
// [SECTION] Answers
// [SECTION] Uses of the client
// [SECTION] Tests

#include "clock.h"
#include "crash_reports.h"
#include "handoff.h"
#include "page_client.h"
#include "path_fleet.h"
#include "scripted_server.h"
#include "socket.h"

#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Winchlink
{

namespace
{

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

// "{}" stands for the headers that make the answer a proper one.
const std::string OwnHeaders = "{}" + LengthLine() + "\r\n";

// Heads whose first header line begins with a blank: it continues a line that isn't there.
std::vector<std::string> FoldedFirstLines()
{
    const std::string rest = OwnHeaders + OwnBody;
    std::vector<std::string> answers;
    for (const std::string& start :
         {StatusLine, std::string("HTTP/1.0 200 OK\r\n"), "HTTP/1.1 100 Continue\r\n\r\n" + StatusLine, Interim + StatusLine})
    {
        for (const char* line : {" X: y", "\tX: y", " \t X: y", " y", " ", "\t"})
        {
            answers.push_back(fmt::format("{}{}\r\n{}", start, line, rest));
            answers.push_back(fmt::format("{}{}\n{}", start, line, rest));
        }
        answers.push_back(fmt::format("{} X: y\r\n Z: z\r\n{}", start, rest));
        answers.push_back(fmt::format("{} X: {:y>2000}\r\n{}", start, "", rest));
    }
    answers.push_back("HTTP/1.1 100 Continue\r\n X: y\r\n\r\n" + StatusLine + rest);
    return answers;
}

// Status lines with a status that HTTP does not know, or in another form than its own.
std::vector<std::string> MalformedStatusLines()
{
    std::vector<std::string> answers;
    for (const char* line :
         {"HTTP/1.1 000 OK",  "HTTP/1.1 001 OK",  "HTTP/1.1 099 OK",   "HTTP/1.1 600 OK",   "HTTP/1.1 999 OK", "HTTP/1.0 000 OK",
          "HTTP/1.1 20 OK",   "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK",   "HTTP/1.1 +20 OK",   "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK",
          "HTTP/1.1 200OK",   "HTTP/1.1 OK",      "HTTP/1.1 ",         "HTTP/1.1",          "HTTP/1.2 200 OK", "HTTP/2 200 OK",
          "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 \x01", "HTTP/1.1 200 O\rK", "http/1.1 200 OK", "HTTP/1.01 200 OK"})
    {
        for (const std::string& before : {std::string(), Interim})
        {
            answers.push_back(fmt::format("{}{}\r\n{}{}", before, line, OwnHeaders, OwnBody));
        }
    }
    return answers;
}

// Header lines with bytes that their name or their value must not have.
std::vector<std::string> MalformedHeaderLines()
{
    std::vector<std::string> answers;
    for (const std::string& line :
         {std::string("X A: a"), std::string("X\x01: a"), std::string("X\x7f: a"), std::string("X\rY: a"), std::string("X\xc3\xa9: a"),
          std::string("(X): a"), std::string("X/Y: a"), std::string("{\"x\": a"), std::string(": a"), std::string("X"),
          std::string("X\0: a", 5), std::string("X: a\rb"), std::string("X: a\r"), std::string("X: \x01"), std::string("X: a\x7f"),
          std::string("X: a\0b", 6), std::string("X: y\r\n a\rb"), std::string("X: y\r\n \x01")})
    {
        answers.push_back(fmt::format("{}{}\r\n{}{}", StatusLine, line, OwnHeaders, OwnBody));
        answers.push_back(fmt::format("{}A: b\r\n{}\r\n{}{}", StatusLine, line, OwnHeaders, OwnBody));
        answers.push_back(fmt::format("HTTP/1.1 103 Early Hints\r\n{}\r\n\r\n{}{}{}", line, StatusLine, OwnHeaders, OwnBody));
    }
    return answers;
}

// Chunked answers whose last chunk is followed by lines that are no trailers, such as the rest of a body whose chunk has a spoilt size.
std::vector<std::string> MalformedTrailers()
{
    const std::string head = StatusLine + "{}Transfer-Encoding: chunked\r\n\r\n";
    std::vector<std::string> answers;
    for (const char* lines : {"{\"page\":216}", "{\"page\":216}\r\n0", "X A: y", " X: y", "\tX: y", "X: y\r\n Z: z", ": y", "X\x01: y",
                              "X: \x01", "X", "HTTP/x: y", "HTTP/1.1 200 OK", "<a href=\"x:y\">"})
    {
        answers.push_back(head + InChunks(OwnBody) + lines + "\r\n\r\n");
        answers.push_back(head + InChunks(OwnBody) + lines + "\n\r\n");
    }
    answers.push_back(head + Chunk("{\"page\":215}\n") + "0\r\n{\"page\":216}\n\r\n" + Chunk("{\"page\":217}\n") + "0\r\n\r\n");
    return answers;
}

//-----------------------------------------------------------------------------
// [SECTION] Uses of the client
//-----------------------------------------------------------------------------

// Requests must be served by the sound target, and the instance must go on serving.
void CheckRequests(const std::vector<std::string>& answers)
{
    CutCheck check;
    for (const std::string& malformed : answers)
    {
        InstanceRig rig(true, true);
        rig.End = ScriptEnd_Open;
        CPPUNIT_ASSERT_EQUAL(200, rig.Ask("/a/first").Answer.Status);
        rig.Cut = malformed;
        for (const char* path : {"/a/x", "/a/y"})
        {
            const RigAnswer answer = rig.Ask(path);
            check.Add(answer.Answer.Status == 200 && answer.Answer.Body == OwnBody, TextOf(path, malformed, answer.Answer));
        }
        check.Add(rig.Target.Saw["/a/x"] == 1, "the target was not asked");
    }
    check.Conclude();
}

// A request that must not run twice fails, and runs once.
void CheckUnsafeRequests(const std::vector<std::string>& answers)
{
    CutCheck check;
    for (const std::string& malformed : answers)
    {
        InstanceRig rig(false, false);
        rig.End = ScriptEnd_Open;
        CPPUNIT_ASSERT_EQUAL(200, rig.Ask("/a/first").Answer.Status);
        rig.Cut = malformed;
        const RigAnswer answer = rig.Ask("/a/x", "once");
        check.Add(answer.Answer.Status == 502 && rig.Target.Saw["/a/x"] == 1, TextOf("unsafe", malformed, answer.Answer));
        check.Add(rig.Pooled("t1").FailuresInRow > 0, TextOf("the target counts as sound", malformed, answer.Answer));
    }
    check.Conclude();
}

// The target must count as failed, and requests must be served by the sound one.
void CheckHealthChecks(const std::vector<std::string>& answers)
{
    CutCheck check;
    for (const std::string& malformed : answers)
    {
        InstanceRig rig(true, true);
        rig.Health = FillIn(malformed, "Winchlink-Instance-Id: t1\r\nWinchlink-Server-Load: 0,0,3,100\r\n");
        for (int n = 0; n < 3; n++)
        {
            const RigAnswer answer = rig.Ask("/a/x");
            check.Add(answer.Answer.Status == 200 && answer.Answer.Body == OwnBody, TextOf("health", malformed, answer.Answer));
        }
        const PoolTarget& target = rig.Pooled("t1");
        check.Add(rig.Target.Saw["/health"] > 0 && rig.Target.Saw["/a/x"] == 0 && target.ReportUs == 0 && target.FailuresInRow > 0,
                  "believed: " + Escaped(malformed));
    }
    check.Conclude();
}

// What the instance knows must stay as it is, and the reading must count as failed.
void CheckPagesOfTheStore(const std::vector<std::string>& answers)
{
    Rig source;
    RigTarget(&source, "t1");
    RigConfigure(&source, {UsersRoute()});
    ClientRequest request;
    request.Address = source.Store.Address;
    request.Target = "/kv-range?pathPrefix=";
    const std::string page = ClientSendAndWait(&source.Callers, std::move(request)).Body;
    const std::string whole = StatusLine + LengthLine(page.size()) + "\r\n" + page;
    const std::string empty = R"({"items":[],"more":false,"at":1000000})";
    CutCheck check;
    for (const std::string& malformed : answers)
    {
        std::string answer = FillIn(malformed, "");
        const size_t length = answer.rfind(LengthLine());
        CPPUNIT_ASSERT(length != std::string::npos);
        answer = fmt::format("{}{}\r\n{}", answer.substr(0, length), LengthLine(empty.size()), empty);
        bool spoils_pages = false;
        Rig rig;
        rig.Version = source.Version;
        ScriptedServer store(&rig.Loop,
                             [&](const ReceivedRequest& read)
                             {
                                 const bool is_page = read.Path.rfind("/kv-range", 0) == 0;
                                 return !is_page       ? ScriptedAnswer{"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", ScriptEnd_Open}
                                        : spoils_pages ? ScriptedAnswer{answer, ScriptEnd_Open}
                                                       : ScriptedAnswer{whole, ScriptEnd_Open};
                             });
        Settings settings = RigSettings(rig);
        settings.StoreAddress = store.Address;
        const Gateway& instance = RigStartWith(&rig, settings);
        RigWaitForPlan(&rig, instance, 1);
        spoils_pages = true;
        const uint64_t failed = instance.Store.CallsFailed;
        const int pages = store.Saw["/kv-range?pathPrefix="];
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return store.Saw["/kv-range?pathPrefix="] > pages + 1; }));
        check.Add(instance.Requests.Directory.Targets.count("t1") == 1 && instance.Store.CallsFailed > failed, Escaped(answer));
    }
    check.Conclude();
}

void LoseThePath(PathFleet* fleet, const Gateway& instance)
{
    fleet->Cut(0, ProxyMode_Silent);
    const auto lost = [&instance]()
    {
        return instance.Requests.Services.at("svc").Path.State == TargetPathState_Lost;
    };
    for (int n = 0; n < 20 && !lost(); n++)
    {
        RigSendAndWait(&fleet->Parts, instance, RigCall());
    }
    CPPUNIT_ASSERT(lost());
}

// The caller of a request that another instance has taken must get a failure.
void CheckHandOffs(const std::vector<std::string>& answers)
{
    PathFleet fleet(1);
    Gateway& instance = *fleet.Parts.Instances[0];
    LoseThePath(&fleet, instance);
    const std::string taken = fmt::format("{}: {}\r\n", HeaderHandoff, FormatHandoffResult({Code_None, 1, 0, {}}));
    std::string malformed;
    int taken_requests = 0;
    const ScriptedServer peer(&fleet.Parts.Loop,
                              [&](const ReceivedRequest& request)
                              {
                                  taken_requests++;
                                  return ScriptedAnswer{FillIn(malformed, SignedLines(request.Id) + taken), ScriptEnd_Open};
                              });
    CutCheck check;
    for (const std::string& each : answers)
    {
        malformed = each;
        instance.Requests.Others.Known.clear();
        PeersHeard(&instance.Requests.Others, {peer.Address, 7, 0, true}, NowUs());
        const int before = taken_requests;
        RigCall call;
        call.Method = "POST";
        call.Target = "/w/x";
        call.Body = "once";
        const RigAnswer answer = RigSendAndWait(&fleet.Parts, instance, call);
        CPPUNIT_ASSERT_EQUAL(before + 1, taken_requests);
        check.Add(answer.Answer.Status != 200 && IsWholeOrFailed(answer.Answer), TextOf("handed on", malformed, answer.Answer));
    }
    check.Conclude();
}

// Nothing must be learnt from them.
void CheckCrashReports(const std::vector<std::string>& answers)
{
    const std::string request(32, 'a');
    const std::string message = EncodeCrashReports({1, {{request, "t1/1", 0, false}, {request, "t2/1", 0, false}}});
    CutCheck check;
    for (const std::string& malformed : answers)
    {
        const std::string whole = FillIn(malformed, "");
        ClientRig rig;
        Quarantine known;
        QuarantineAddCrash(&known, std::string(32, 'b'), "t3/1", NowUs());
        CrashReports reports;
        reports.Loop = &rig.Loop;
        reports.Calls = &rig.Calls;
        reports.Known = &known;
        reports.OnNotify = []() {
        };
        reports.Peers = [&rig]()
        {
            return std::vector<std::string>{rig.Server.Address};
        };
        rig.Next = {whole.substr(0, whole.rfind(LengthLine())) + LengthLine(message.size()) + "\r\n" + message, ScriptEnd_Close};
        CrashReportsCompare(&reports);
        CPPUNIT_ASSERT(LoopRunUntil(&rig.Loop, RigTimeoutUs, [&reports]() { return reports.InProgress == 0; }));
        check.Add(QuarantineCrashCount(known, request) == 0, Escaped(malformed));
    }
    check.Conclude();
}

// Answers the first request on its only connection, from a thread of its own.
struct OneAnswer
{
    std::string Address = FreeAddress();
    int Listening = socket(AF_INET, SOCK_STREAM, 0);
    std::thread Server;

    explicit OneAnswer(const std::string& bytes)
    {
        const sockaddr_in at = ToSocketAddress(ParseEndpoint(Address).value());
        CPPUNIT_ASSERT_EQUAL(0, bind(Listening, reinterpret_cast<const sockaddr*>(&at), sizeof at));
        CPPUNIT_ASSERT_EQUAL(0, listen(Listening, 1));
        const auto answer = [this, bytes]()
        {
            const int connection = accept(Listening, nullptr, nullptr);
            std::string buffer(KiB, '\0');
            recv(connection, buffer.data(), buffer.size(), 0);
            send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            close(connection);
        };
        Server = std::thread(answer);
    }

    ~OneAnswer()
    {
        shutdown(Listening, SHUT_RDWR);
        Server.join();
        close(Listening);
    }

    OneAnswer(const OneAnswer&) = delete;
    OneAnswer& operator=(const OneAnswer&) = delete;
};

// The command must fail.
void CheckCommands(const std::vector<std::string>& answers)
{
    CutCheck check;
    for (const std::string& malformed : answers)
    {
        const OneAnswer server(FillIn(malformed, ""));
        check.Add(!FetchPage(server.Address, "POST", "/lift?request=1"), Escaped(malformed));
    }
    check.Conclude();
}

// Checks what becomes of such answers at each use of the client.
void CheckEachUse(const std::vector<std::string>& answers)
{
    CheckRequests(answers);
    CheckUnsafeRequests(answers);
    CheckHealthChecks(answers);
    CheckPagesOfTheStore(answers);
    CheckHandOffs(answers);
    CheckCrashReports(answers);
    CheckCommands(answers);
}

// The client must fail each of them after any number of sound answers, close the connection, and stay usable. `heads`: how often a head
// counts as received.
void CheckClient(const std::vector<std::string>& answers, AnswerDefect_ defect, int heads = 0)
{
    ClientRig rig;
    CutCheck check;
    for (const std::string& malformed : answers)
    {
        const std::string bytes = FillIn(malformed, SignedLines("r1"));
        for (int sound = 0; sound < 3; sound++)
        {
            for (int n = 0; n < sound; n++)
            {
                CPPUNIT_ASSERT_EQUAL(200, ClientSendAndWait(&rig.Calls, rig.Request("GET", "/sound")).Status);
            }
            const ClientAnswer answer = rig.Ask(rig.Request("GET", "/x"), {bytes, ScriptEnd_Open});
            const bool failed = answer.End == ClientEnd_Broken && answer.Status == 0 && answer.Headers.empty() && answer.Body.empty();
            const bool named = answer.Defect == defect || answer.Defect == AnswerDefect_NotHttp;
            const std::string text =
                fmt::format("after {} sound answers, {} heads, {}", sound, rig.HeadsSeen, AnswerDefectName(answer.Defect));
            check.Add(failed && named && rig.HeadsSeen == heads, TextOf(text, bytes, answer));
            CPPUNIT_ASSERT(LoopRunUntil(&rig.Loop, RigTimeoutUs, [&rig]() { return rig.Server.Last->Closed; }));
        }
    }
    check.Conclude();
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Tests
//-----------------------------------------------------------------------------

class MalformedAnswersTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(MalformedAnswersTest);
    CPPUNIT_TEST(AFoldedFirstLineEndsNoProcess);
    CPPUNIT_TEST(AFoldedFirstLineEndsNoInstance);
    CPPUNIT_TEST(UnknownStatusesAreNoAnswers);
    CPPUNIT_TEST(UnknownStatusesReachNoCaller);
    CPPUNIT_TEST(KnownStatusesAreDelivered);
    CPPUNIT_TEST(MalformedHeaderLinesAreNoAnswers);
    CPPUNIT_TEST(MalformedHeaderLinesReachNoCaller);
    CPPUNIT_TEST(UnusualHeaderLinesAreDelivered);
    CPPUNIT_TEST(BodiesThatPassForTrailersAreNotWhole);
    CPPUNIT_TEST(BodiesThatPassForTrailersReachNoCaller);
    CPPUNIT_TEST(UnusualTrailersAreDelivered);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a process that ends as libcurl appends the line to a header of an earlier answer, which has been freed.
    void AFoldedFirstLineEndsNoProcess()
    {
        CheckClient(FoldedFirstLines(), AnswerDefect_Header);
    }

    // Guards against the same at each use of the client.
    void AFoldedFirstLineEndsNoInstance()
    {
        const std::vector<std::string> all = FoldedFirstLines();
        CheckEachUse({all.begin(), all.begin() + 2});
    }

    // Guards against an answer with a status outside 100 to 599, such as 000, or one that is read as a status and is none.
    void UnknownStatusesAreNoAnswers()
    {
        CheckClient(MalformedStatusLines(), AnswerDefect_Status);
    }

    // Guards against callers that get such a status, and against targets, a store or other instances that count as sound with it.
    void UnknownStatusesReachNoCaller()
    {
        CheckEachUse(MalformedStatusLines());
    }

    // Guards against a check of statuses that refuses valid ones.
    void KnownStatusesAreDelivered()
    {
        ClientRig rig;
        for (const auto& [line, status] : {std::pair("200", 200), std::pair("200 ", 200), std::pair("299 Odd", 299),
                                           std::pair("404 Not Found", 404), std::pair("599 \xc3\xa9", 599)})
        {
            for (const char* version : {"HTTP/1.1 ", "HTTP/1.0 "})
            {
                const std::string bytes = version + std::string(line) + "\r\n" + LengthLine() + "\r\n" + OwnBody;
                const ClientAnswer answer = rig.Ask(rig.Request("GET", "/x"), {bytes, ScriptEnd_Open});
                CPPUNIT_ASSERT_EQUAL_MESSAGE(TextOf("", bytes, answer), status, answer.Status);
                CPPUNIT_ASSERT_EQUAL(OwnBody, answer.Body);
            }
        }
    }

    // Guards against callers whose library stops reading at a line that is no header, and against headers that are read in two ways.
    void MalformedHeaderLinesAreNoAnswers()
    {
        CheckClient(MalformedHeaderLines(), AnswerDefect_Header);
    }

    // Guards against the same at each use of the client.
    void MalformedHeaderLinesReachNoCaller()
    {
        CheckEachUse(MalformedHeaderLines());
    }

    // Guards against a check of header lines that refuses valid ones, or loses a part of them.
    void UnusualHeaderLinesAreDelivered()
    {
        struct Line
        {
            const char* Sent;
            const char* Name;
            const char* Value;
        };
        ClientRig rig;
        for (const Line& line :
             {Line{"X: a", "X", "a"}, Line{"X:a", "X", "a"}, Line{"X:", "X", ""}, Line{"X: \t", "X", ""}, Line{"X:\ta\tb ", "X", "a\tb"},
              Line{"X : a", "X", "a"}, Line{"X: a: b", "X", "a: b"}, Line{"X: \xc3\xa9", "X", "\xc3\xa9"}, Line{"X: a\r\n b", "X", "a b"},
              Line{"X: HTTP/1.1 200", "X", "HTTP/1.1 200"}, Line{"!#$%&'*+-.^_`|~09aZ: v", "!#$%&'*+-.^_`|~09aZ", "v"}})
        {
            for (const char* end : {"\r\n", "\n"})
            {
                const std::string bytes = fmt::format("{}{}{}{}{}{}", StatusLine, line.Sent, end, LengthLine(), end, OwnBody);
                const ClientAnswer answer = rig.Ask(rig.Request("GET", "/x"), {bytes, ScriptEnd_Open});
                CPPUNIT_ASSERT_EQUAL_MESSAGE(TextOf("", bytes, answer), OwnBody, answer.Body);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(Escaped(bytes), std::string(line.Name), answer.Headers.front().Name);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(Escaped(bytes), std::string(line.Value), answer.Headers.front().Value);
            }
        }
    }

    // Guards against a part of a body that is delivered as the whole, as the rest of it is read as trailers.
    void BodiesThatPassForTrailersAreNotWhole()
    {
        CheckClient(MalformedTrailers(), AnswerDefect_Trailer, 1);
    }

    // Guards against callers that get such a part, and against targets that count as sound with it.
    void BodiesThatPassForTrailersReachNoCaller()
    {
        CheckRequests(MalformedTrailers());
        CheckUnsafeRequests(MalformedTrailers());
        CheckHealthChecks(MalformedTrailers());
        CheckHandOffs(MalformedTrailers());
    }

    // Guards against a check of trailers that refuses valid ones.
    void UnusualTrailersAreDelivered()
    {
        ClientRig rig;
        const std::string start = StatusLine + "Transfer-Encoding: chunked\r\n\r\n" + InChunks(OwnBody);
        for (const char* lines : {"", "X: y\r\n", "X:\r\nZ: \xc3\xa9\r\n", "Content-Length: 5\r\n"})
        {
            const ClientAnswer answer = rig.Ask(rig.Request("GET", "/x"), {start + std::string(lines) + "\r\n", ScriptEnd_Open});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(TextOf("", lines, answer), OwnBody, answer.Body);
            CPPUNIT_ASSERT_EQUAL(size_t{1}, answer.Headers.size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedAnswersTest);

} // namespace Winchlink
