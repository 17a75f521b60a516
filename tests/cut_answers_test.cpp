// cut_answers_test.cpp: answers whose connection ends before they are complete, and answers whose framing contradicts itself. Guards
// against callers that get such an answer as a whole one, and against an instance that learns from it.
//
// Index of this file:
// [SECTION] Answers
// [SECTION] Cuts
// [SECTION] Framing
// [SECTION] Instance
// [SECTION] Tests

#include "clock.h"
#include "handoff.h"
#include "page_client.h"
#include "pages.h"
#include "path_fleet.h"
#include "scripted_server.h"
#include "socket.h"

#include <fmt/format.h>
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

// A proper answer.
struct SoundAnswer
{
    const char* Name = "";
    std::string Head; // With the empty line, and with interim answers.
    std::string Rest; // The framed body.
    std::string Body;
    int Status = 200;
    const char* Method = "";         // Of the request, if the answer depends on it.
    bool EndsWithConnection = false; // A close in order ends the body.
};

std::vector<SoundAnswer> AllFramings(const std::string& id = "r1")
{
    const std::string start = StatusLine + SignedLines(id);
    const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string no_body = SignedLines(id) + LengthLine() + "\r\n";
    return {
        {"length", start + LengthLine() + "\r\n", OwnBody, OwnBody},
        {"length first", StatusLine + LengthLine() + SignedLines(id) + "\r\n", OwnBody, OwnBody},
        {"length of 0", StatusLine + LengthLine(0) + SignedLines(id) + "\r\n", "", ""},
        {"chunks", chunked, InChunks(OwnBody) + "\r\n", OwnBody},
        {"chunks and trailers", chunked, InChunks(OwnBody) + "Server-Limit: 1\r\n\r\n", OwnBody},
        {"until close", start + "\r\n", OwnBody, OwnBody, 200, "", true},
        {"until close, HTTP/1.0", "HTTP/1.0 200 OK\r\n" + SignedLines(id) + "\r\n", OwnBody, OwnBody, 200, "", true},
        {"interim answer and length", Interim + start + LengthLine() + "\r\n", OwnBody, OwnBody},
        {"interim answer and chunks", Interim + chunked, InChunks(OwnBody) + "\r\n", OwnBody},
        {"to HEAD", StatusLine + no_body, "", "", 200, "HEAD"},
        {"204", "HTTP/1.1 204 No Content\r\n" + SignedLines(id) + "\r\n", "", "", 204},
        {"304", "HTTP/1.1 304 Not Modified\r\n" + no_body, "", "", 304},
    };
}

//-----------------------------------------------------------------------------
// [SECTION] Cuts
//-----------------------------------------------------------------------------

// Whether the client may say this of the first `sent` bytes of the answer.
bool IsAllowed(const SoundAnswer& sound, size_t sent, ScriptEnd_ end, const ClientAnswer& answer)
{
    if (answer.End != ClientEnd_Answered)
    {
        return answer.Status == 0 && answer.Headers.empty() && answer.Body.empty();
    }
    const bool head = sent >= sound.Head.size();
    const bool ended = head && sound.EndsWithConnection && end == ScriptEnd_Close;
    const bool whole = answer.Body == (ended ? sound.Body.substr(0, sent - sound.Head.size()) : sound.Body);
    return head && whole && answer.Status == sound.Status;
}

// A part of an answer.
enum CutIn_ : int
{
    CutIn_Head,
    CutIn_Body,
    CutIn_COUNT,
};

// Cuts all answers at every byte of the part.
void CheckCuts(CutIn_ part, ScriptEnd_ end, bool long_request)
{
    ClientRig rig;
    rig.Server.ReadsBodies = !long_request;
    const std::string body = long_request ? std::string(MiB, 'x') : "once";
    CutCheck check;
    for (const SoundAnswer& sound : AllFramings())
    {
        const std::string all = sound.Head + sound.Rest;
        const size_t from = part == CutIn_Head ? 0 : sound.Head.size();
        const size_t to = part == CutIn_Head ? sound.Head.size() : all.size();
        for (const std::string method : {"GET", "POST"})
        {
            ClientRequest request = rig.Request(*sound.Method != 0 ? sound.Method : method, "/x");
            request.HasBody = method == "POST" && *sound.Method == 0;
            request.Body = request.HasBody ? body : "";
            const bool skipped = method == "POST" ? *sound.Method != 0 : long_request;
            for (size_t sent = from; sent < to && !skipped; sent++)
            {
                for (const bool kept : {false, true})
                {
                    const ClientAnswer answer = rig.Ask(request, {all.substr(0, sent), end}, kept);
                    const bool heads = rig.HeadsSeen == 0 || sent >= sound.Head.size();
                    check.Add(heads && IsAllowed(sound, sent, end, answer),
                              TextOf(fmt::format("{}, {}, kept {}", sound.Name, method, kept), all.substr(0, sent), answer));
                }
            }
        }
    }
    check.Conclude();
}

//-----------------------------------------------------------------------------
// [SECTION] Framing
//-----------------------------------------------------------------------------

// What must become of an answer.
enum Outcome_ : int
{
    Outcome_None,
    Outcome_Whole,  // It is valid: delivered whole.
    Outcome_Failed, // Its length is contradicting or invalid: failed, and the connection closed.
    Outcome_WholeOrFailed,
    Outcome_COUNT,
};

struct FramingCase
{
    Outcome_ Outcome = Outcome_None;
    std::string Lines; // Of the head.
    std::string Rest;  // The framed body.
};

std::vector<FramingCase> LengthCases()
{
    const std::string zeros(30, '0');
    const std::string nines(30, '9');
    std::vector<FramingCase> cases;
    for (const char* value : {"25", "25 ", "25\t", "25, 25", "25,25,25", "25\r\nContent-Length: 25"})
    {
        cases.push_back({Outcome_Whole, fmt::format("Content-Length: {}\r\n", value), OwnBody});
    }
    cases.push_back({Outcome_Whole, "content-length:25\r\n", OwnBody});
    cases.push_back({Outcome_WholeOrFailed, "Content-Length: " + zeros + "25\r\n", OwnBody});
    for (const char* value : {"25\r\nContent-Length: 5",
                              "5\r\nContent-Length: 25",
                              "5\r\nX: y\r\ncontent-length: 25",
                              "25\r\nContent-Length: 25, 5",
                              "5, 25",
                              "25, 5",
                              "5,25,25",
                              "5abc",
                              "25abc",
                              "25 5",
                              "5;25",
                              "-1",
                              "-5",
                              "+5",
                              "+25",
                              "",
                              " ",
                              "0x19",
                              "5.0",
                              "5e1",
                              "abc",
                              "5,",
                              ",5",
                              "\"25\"",
                              "5\r\n 25"})
    {
        cases.push_back({Outcome_Failed, fmt::format("Content-Length: {}\r\n", value), OwnBody});
    }
    cases.push_back({Outcome_Failed, "Content-Length: " + nines + "\r\n", OwnBody});
    cases.push_back({Outcome_Failed, "Content-Length: 18446744073709551621\r\n", OwnBody}); // 5 in 64 bits.
    cases.push_back({Outcome_Failed, "Content-Length: 4294967301, 5\r\n", OwnBody});        // 5 in 32 bits.
    cases.push_back({Outcome_WholeOrFailed, "Content-Length:\r\n 25\r\n", OwnBody});
    cases.push_back({Outcome_WholeOrFailed, "Content-Length : 25\r\n", OwnBody});
    cases.push_back({Outcome_WholeOrFailed, "Content-Length: 25\r\nContent-Length : 5\r\n", OwnBody});
    cases.push_back({Outcome_WholeOrFailed, "Content-Length : 5\r\nContent-Length: 25\r\n", OwnBody});
    return cases;
}

// Heads that break off, with another one behind them: the server has begun an answer and then sent one of an error.
std::vector<FramingCase> BrokenHeadCases()
{
    std::vector<FramingCase> cases;
    for (const std::string& begun : {std::string(), std::string("X: y\r\n"), std::string("Content-Ty"), LengthLine()})
    {
        for (const char* reason : {"", " Internal Server Error", " Error: too many files"})
        {
            const std::string lines = fmt::format("{}HTTP/1.1 500{}\r\n{}", begun, reason, LengthLine(5));
            cases.push_back({Outcome_Failed, lines, OwnBody.substr(0, 5)});
        }
    }
    cases.push_back({Outcome_Failed, LengthLine() + "HTTP/x: y\r\n" + LengthLine(5), OwnBody});
    cases.push_back({Outcome_Failed, LengthLine() + "Content-Ty\r\n", OwnBody});
    return cases;
}

std::vector<FramingCase> ChunkCases()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string body = InChunks(OwnBody) + "\r\n";
    return {
        {Outcome_Whole, "transfer-encoding:Chunked \r\n", body},
        {Outcome_Whole, chunked, InChunks(OwnBody) + "Content-Length: 5\r\n\r\n"},
        {Outcome_Whole, chunked, InChunks(OwnBody) + "Content-Length: -1abc\r\nTransfer-Encoding: gzip\r\n\r\n"},
        {Outcome_WholeOrFailed, LengthLine(5) + chunked, body},
        {Outcome_WholeOrFailed, chunked + LengthLine(5), body},
        {Outcome_WholeOrFailed, LengthLine() + chunked, body},
        {Outcome_WholeOrFailed, chunked + LengthLine(), body},
        {Outcome_WholeOrFailed, chunked + chunked, body},
        {Outcome_WholeOrFailed, "Transfer-Encoding: chunked, chunked\r\n", body},
        {Outcome_WholeOrFailed, "Transfer-Encoding: chunked, identity\r\n", body},
        {Outcome_WholeOrFailed, "Transfer-Encoding: identity, chunked\r\n", body},
        {Outcome_WholeOrFailed, "Transfer-Encoding : chunked\r\n", body},
        {Outcome_WholeOrFailed, "Transfer-Encoding: identity\r\n", OwnBody},
        {Outcome_WholeOrFailed, "Transfer-Encoding: identity\r\n" + LengthLine(5), OwnBody},
        {Outcome_WholeOrFailed, "Transfer-Encoding:\r\n" + LengthLine(), OwnBody},
        {Outcome_WholeOrFailed, "Transfer-Encoding:\r\n chunked\r\n", body},
        {Outcome_WholeOrFailed, "Transfer-Encoding:\r\n\tchunked\r\n" + LengthLine(5), body},
        {Outcome_WholeOrFailed, "X: y\r\n Transfer-Encoding: chunked\r\n", OwnBody},
        {Outcome_WholeOrFailed, chunked + " \r\n", body},
        {Outcome_Failed, "Transfer-Encoding:\r\n chunked\r\n", Chunk(OwnBody)},
        {Outcome_Failed, "Transfer-Encoding: gzip, chunked\r\n", body},
        {Outcome_Failed, "Transfer-Encoding: gzip\r\n" + LengthLine(), OwnBody},
        {Outcome_Failed, "Transfer-Encoding: xchunked\r\n" + LengthLine(5), body},
        {Outcome_Failed, "Transfer-Encoding: chunked;q=1\r\n" + LengthLine(5), body},
    };
}

std::vector<FramingCase> ChunkSizeCases()
{
    std::vector<FramingCase> cases;
    for (const char* size : {"0x19", "-19", "+19", " ", "", "zz", "\"19\"", "100000000000000000000", "10000000000000019"})
    {
        cases.push_back({Outcome_Failed, "Transfer-Encoding: chunked\r\n", fmt::format("{}\r\n{}\r\n0\r\n\r\n", size, OwnBody)});
    }
    for (const char* size : {"19 ", "0000000019", "19;a=b", "19;\"0\""})
    {
        cases.push_back({Outcome_WholeOrFailed, "Transfer-Encoding: chunked\r\n", fmt::format("{}\r\n{}\r\n0\r\n\r\n", size, OwnBody)});
    }
    cases.push_back({Outcome_Failed, "Transfer-Encoding: chunked\r\n", "5\r\n" + OwnBody + "\r\n0\r\n\r\n"}); // Longer than its size.
    return cases;
}

bool IsRight(Outcome_ outcome, const ClientAnswer& answer)
{
    const bool whole = answer.End == ClientEnd_Answered && answer.Status == 200 && answer.Body == OwnBody;
    const bool failed = answer.End == ClientEnd_Broken || answer.End == ClientEnd_Lost;
    return outcome == Outcome_Whole ? whole : outcome == Outcome_Failed ? failed : whole || failed;
}

// The server closes its connection after each answer, and must get none of the next requests on it.
void CheckFraming(const std::vector<FramingCase>& cases)
{
    ClientRig rig;
    CutCheck check;
    for (const FramingCase& one : cases)
    {
        for (const bool interim : {false, true})
        {
            const std::string bytes = (interim ? Interim : "") + StatusLine + SignedLines("r1") + one.Lines + "\r\n" + one.Rest;
            for (const bool kept : {false, true})
            {
                const ClientAnswer answer = rig.Ask(rig.Request("GET", "/x"), {bytes, ScriptEnd_Close}, kept);
                check.Add(IsRight(one.Outcome, answer), TextOf(fmt::format("outcome {}", static_cast<int>(one.Outcome)), bytes, answer));
            }
        }
    }
    check.Conclude();
}

//-----------------------------------------------------------------------------
// [SECTION] Instance
//-----------------------------------------------------------------------------

// Answers that end early, or whose framing contradicts itself. "{}" stands for the signed lines.
std::vector<std::string> CutAnswers()
{
    return {
        StatusLine,
        StatusLine + "Winchlink-Requ",
        StatusLine + "{}",
        StatusLine + "{}Content-Length: 2",
        StatusLine + "{}" + LengthLine(),
        StatusLine + "{}" + LengthLine() + "\r",
        StatusLine + "{}Transfer-Encoding: chunked\r\n",
        StatusLine + LengthLine(0) + "{}",
        StatusLine + LengthLine() + "{}",
        Interim,
        Interim + StatusLine + "{}",
        "HTTP/1.0 200 OK\r\n{}",
        "HTTP/1.1 204 No Content\r\n{}",
        StatusLine + "{}" + LengthLine() + "\r\n" + OwnBody.substr(0, OwnBody.size() - 1),
        StatusLine + "{}Transfer-Encoding: chunked\r\n\r\n" + Chunk(OwnBody),
        StatusLine + "{}" + LengthLine() + LengthLine(5) + "\r\n" + OwnBody,
        StatusLine + "{}Content-Length: 5, 25\r\n\r\n" + OwnBody,
        StatusLine + "{}Content-Length: 5abc\r\n\r\n" + OwnBody,
    };
}

// A request that must not run twice, sent to a target that cuts its answers: fails, and runs once.
void CheckUnsafe(ScriptEnd_ end, bool kept, const std::string& body)
{
    CutCheck check;
    for (const std::string& cut : CutAnswers())
    {
        InstanceRig rig(false, false);
        rig.Target.ReadsBodies = body.size() < KiB;
        rig.End = end;
        if (kept)
        {
            CPPUNIT_ASSERT_EQUAL(200, rig.Ask("/a/first").Answer.Status);
        }
        else
        {
            rig.Health.insert(StatusLine.size(), "Connection: close\r\n");
            rig.HealthEnd = ScriptEnd_Close;
        }
        rig.Cut = cut;
        const RigAnswer answer = rig.Ask("/a/x", body);
        const std::string text = fmt::format("kept {}, ran {}, instance's status {}", kept, rig.Target.Saw["/a/x"], answer.Answer.Status);
        check.Add(IsWholeOrFailed(answer.Answer) && rig.Target.Saw["/a/x"] == 1, TextOf(text, cut, answer.Answer));
    }
    check.Conclude();
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Tests
//-----------------------------------------------------------------------------

class CutAnswersTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(CutAnswersTest);
    CPPUNIT_TEST(WholeAnswersAreDelivered);
    CPPUNIT_TEST(HeadsCutByACloseAreNoAnswers);
    CPPUNIT_TEST(HeadsCutByAResetAreNoAnswers);
    CPPUNIT_TEST(BodiesCutByACloseAreNotWhole);
    CPPUNIT_TEST(BodiesCutByAResetAreNotWhole);
    CPPUNIT_TEST(HeadsCutBesideALongRequestAreNoAnswers);
    CPPUNIT_TEST(BodiesCutBesideALongRequestAreNotWhole);
    CPPUNIT_TEST(ResetsBesideALongRequestAreNoAnswers);
    CPPUNIT_TEST(AnswersWithoutABodyAreWhole);
    CPPUNIT_TEST(InterimAnswersAreNoAnswers);
    CPPUNIT_TEST(ContradictingLengthsFail);
    CPPUNIT_TEST(BrokenHeadsFail);
    CPPUNIT_TEST(TrailersLeaveTheHeadersAsTheyAre);
    CPPUNIT_TEST(ContradictingEncodingsFail);
    CPPUNIT_TEST(InvalidChunkSizesFail);
    CPPUNIT_TEST(ConnectionsWithContradictingLengthsAreClosed);
    CPPUNIT_TEST(UnsafeRequestsGetNoCutAnswers);
    CPPUNIT_TEST(UnsafeRequestsOnKeptConnectionsGetNoCutAnswers);
    CPPUNIT_TEST(UnsafeRequestsGetNoAnswersCutByAReset);
    CPPUNIT_TEST(LongUnsafeRequestsGetNoCutAnswers);
    CPPUNIT_TEST(SafeRequestsAreRetriedAfterCutAnswers);
    CPPUNIT_TEST(AnswersWithoutABodyKeepTheirStatedLength);
    CPPUNIT_TEST(CutAnswersAreFailuresOfTheTarget);
    CPPUNIT_TEST(CutAnswersQuarantineNoRequest);
    CPPUNIT_TEST(CutHealthAnswersQuarantineNoRequest);
    CPPUNIT_TEST(ForeignBytesQuarantineNoRequest);
    CPPUNIT_TEST(CutHealthAnswersAreNoReports);
    CPPUNIT_TEST(ACutHealthAnswerReplacesNoTarget);
    CPPUNIT_TEST(CutHealthAnswersAreNoLostPath);
    CPPUNIT_TEST(CutPagesOfTheStoreChangeNothing);
    CPPUNIT_TEST(ACutStatusOfTheStoreIsNoLostHistory);
    CPPUNIT_TEST(CutAnswersOfPeersReachNoCaller);
    CPPUNIT_TEST(CutCrashReportsAreNotMerged);
    CPPUNIT_TEST(CommandsRefuseCutPages);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a check that refuses proper answers, whether their connection stays open or not.
    void WholeAnswersAreDelivered()
    {
        ClientRig rig;
        CutCheck check;
        for (const SoundAnswer& sound : AllFramings())
        {
            for (const ScriptEnd_ end : {ScriptEnd_Open, ScriptEnd_Close})
            {
                for (const bool kept : {false, true})
                {
                    const ScriptedAnswer script = {sound.Head + sound.Rest, sound.EndsWithConnection ? ScriptEnd_Close : end};
                    const ClientAnswer answer = rig.Ask(rig.Request(*sound.Method != 0 ? sound.Method : "GET", "/x"), script, kept);
                    const bool whole = answer.Status == sound.Status && answer.Body == sound.Body;
                    check.Add(whole, TextOf(fmt::format("{}, kept {}", sound.Name, kept), script.Bytes, answer));
                }
            }
        }
        check.Conclude();
    }

    // Guards against an answer whose connection is closed within its head and that counts as a whole one with an empty body.
    void HeadsCutByACloseAreNoAnswers()
    {
        CheckCuts(CutIn_Head, ScriptEnd_Close, false);
    }

    // Guards against a reset within a head that is taken for the end of an answer.
    void HeadsCutByAResetAreNoAnswers()
    {
        CheckCuts(CutIn_Head, ScriptEnd_Reset, false);
    }

    // Guards against a body that is passed on although its connection was closed before its stated end.
    void BodiesCutByACloseAreNotWhole()
    {
        CheckCuts(CutIn_Body, ScriptEnd_Close, false);
    }

    // Guards against a reset that is taken for a close in order, which ends a body without length.
    void BodiesCutByAResetAreNotWhole()
    {
        CheckCuts(CutIn_Body, ScriptEnd_Reset, false);
    }

    // Guards against a cut head that counts as an answer while the request's body is still being sent.
    void HeadsCutBesideALongRequestAreNoAnswers()
    {
        CheckCuts(CutIn_Head, ScriptEnd_Close, true);
    }

    // Guards against a part of a body that is passed on, as the request's body is still being sent.
    void BodiesCutBesideALongRequestAreNotWhole()
    {
        CheckCuts(CutIn_Body, ScriptEnd_Close, true);
    }

    // Guards against the same where the target leaves the request's body unread, which makes its close a reset.
    void ResetsBesideALongRequestAreNoAnswers()
    {
        CheckCuts(CutIn_Head, ScriptEnd_Reset, true);
        CheckCuts(CutIn_Body, ScriptEnd_Reset, true);
    }

    // Guards against a stated length that is taken for that of a body where none may follow, so that the connection or the answer is lost.
    void AnswersWithoutABodyAreWhole()
    {
        ClientRig rig;
        for (const SoundAnswer& sound : AllFramings())
        {
            for (int n = 0; n < 3 && sound.Rest.empty(); n++)
            {
                const bool kept = n > 0;
                const ClientAnswer answer =
                    rig.Ask(rig.Request(*sound.Method != 0 ? sound.Method : "GET", "/x"), {sound.Head, ScriptEnd_Open}, kept);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(TextOf(sound.Name, sound.Head, answer), sound.Status, answer.Status);
            }
        }
    }

    // Guards against an interim answer that is taken for the answer when the connection is closed after it.
    void InterimAnswersAreNoAnswers()
    {
        ClientRig rig;
        CutCheck check;
        for (const char* status : {"100 Continue", "101 Switching Protocols", "102 Processing", "103 Early Hints", "199 Odd"})
        {
            const std::string one = fmt::format("HTTP/1.1 {}\r\n{}\r\n", status, SignedLines("r1"));
            for (const std::string& bytes : {one, one + one, one + OwnBody, one + StatusLine})
            {
                for (const bool kept : {false, true})
                {
                    const ClientAnswer answer = rig.Ask(rig.Request("GET", "/x"), {bytes, ScriptEnd_Close}, kept);
                    check.Add(answer.End == ClientEnd_Broken || answer.End == ClientEnd_Lost, TextOf(status, bytes, answer));
                }
            }
        }
        check.Conclude();
    }

    // Guards against a body that is cut to the last one of several lengths, or to the digits that an invalid length begins with.
    void ContradictingLengthsFail()
    {
        CheckFraming(LengthCases());
    }

    // Guards against the status of one answer with the headers and the body of another, where the first one's head breaks off.
    void BrokenHeadsFail()
    {
        CheckFraming(BrokenHeadCases());
    }

    // Guards against headers that are lost, as a trailer is taken for one of them or looks like the start of another answer. The latter is
    // no trailer, so that the answer fails.
    void TrailersLeaveTheHeadersAsTheyAre()
    {
        ClientRig rig;
        const std::string head = StatusLine + SignedLines("r1") + "Transfer-Encoding: chunked\r\n\r\n";
        const ClientAnswer sound = rig.Ask(rig.Request("GET", "/x"), {head + InChunks(OwnBody) + "X: y\r\n\r\n", ScriptEnd_Open}, true);
        CPPUNIT_ASSERT_EQUAL(OwnBody, sound.Body);
        CPPUNIT_ASSERT_EQUAL(size_t{3}, sound.Headers.size());
        const ClientAnswer odd = rig.Ask(rig.Request("GET", "/x"), {head + InChunks(OwnBody) + "HTTP/x: y\r\n\r\n", ScriptEnd_Open}, true);
        CPPUNIT_ASSERT_EQUAL(int(ClientEnd_Broken), int(odd.End));
        CPPUNIT_ASSERT(odd.Headers.empty() && odd.Body.empty());
    }

    // Guards against a body that is framed by its length although it has a transfer coding, or passed on with a coding.
    void ContradictingEncodingsFail()
    {
        CheckFraming(ChunkCases());
    }

    // Guards against a size that is no number and is read as 0, the end of the body.
    void InvalidChunkSizesFail()
    {
        CheckFraming(ChunkSizeCases());
    }

    // Guards against bytes beyond a length in doubt that stay on a kept connection, for the next request to meet.
    void ConnectionsWithContradictingLengthsAreClosed()
    {
        for (const FramingCase& one : LengthCases())
        {
            ClientRig rig;
            const std::string bytes = StatusLine + SignedLines("r1") + one.Lines + "\r\n" + one.Rest;
            if (one.Outcome == Outcome_Failed)
            {
                const ClientAnswer answer = rig.Ask(rig.Request("GET", "/x"), {bytes, ScriptEnd_Open}, true);
                CPPUNIT_ASSERT_MESSAGE(TextOf("", bytes, answer), IsRight(one.Outcome, answer));
                CPPUNIT_ASSERT_MESSAGE(bytes, LoopRunUntil(&rig.Loop, RigTimeoutUs, [&rig]() { return rig.Server.Last->Closed; }));
            }
        }
    }

    // Guards against a cut answer that reaches the caller of a request that must not run twice, or a second run after it.
    void UnsafeRequestsGetNoCutAnswers()
    {
        CheckUnsafe(ScriptEnd_Close, false, "once");
    }

    // Guards against the same after another request on the connection.
    void UnsafeRequestsOnKeptConnectionsGetNoCutAnswers()
    {
        CheckUnsafe(ScriptEnd_Close, true, "once");
    }

    // Guards against the same where the connection is reset after the last byte.
    void UnsafeRequestsGetNoAnswersCutByAReset()
    {
        CheckUnsafe(ScriptEnd_Reset, true, "once");
    }

    // Guards against the same where the target answers before it has read the request's body.
    void LongUnsafeRequestsGetNoCutAnswers()
    {
        CheckUnsafe(ScriptEnd_Close, true, std::string(600000, 'x'));
    }

    // Guards against a cut answer that reaches the caller although another target would give a whole one.
    void SafeRequestsAreRetriedAfterCutAnswers()
    {
        CutCheck check;
        for (const std::string& cut : CutAnswers())
        {
            for (const ScriptEnd_ end : {ScriptEnd_Close, ScriptEnd_Reset})
            {
                InstanceRig rig(true, true);
                rig.Cut = cut;
                rig.End = end;
                const RigAnswer answer = rig.Ask("/a/x");
                const bool whole = answer.Answer.Status == 200 && answer.Answer.Body == OwnBody;
                CPPUNIT_ASSERT_EQUAL(1, rig.Target.Saw["/a/x"]);
                check.Add(whole, TextOf(fmt::format("reset {}", end == ScriptEnd_Reset), cut, answer.Answer));
            }
        }
        check.Conclude();
    }

    // Guards against a caller that is told that a body has 0 bytes, as the answer to HEAD, or a 304, comes without it.
    void AnswersWithoutABodyKeepTheirStatedLength()
    {
        struct Stated
        {
            const char* Method;
            const char* Start;
            const char* Lines;
            const char* Length; // That the caller is told; empty: none.
        };
        const std::vector<Stated> all = {
            {"HEAD", "200 OK", "Content-Length: 25\r\n", "25"},
            {"HEAD", "200 OK", "Content-Length: 25\r\nContent-Length: 25\r\n", "25"},
            {"HEAD", "200 OK", "Content-Length: 25, 25\r\n", ""},
            {"HEAD", "200 OK", "Content-Length: 0\r\n", "0"},
            {"HEAD", "200 OK", "Transfer-Encoding: chunked\r\n", ""},
            {"HEAD", "200 OK", "", ""},
            {"HEAD", "404 Not Found", "Content-Length: 25\r\n", "25"},
            {"HEAD", "204 No Content", "Content-Length: 25\r\n", ""},
            {"GET", "304 Not Modified", "Content-Length: 25\r\n", "25"},
            {"GET", "304 Not Modified", "", ""},
            {"GET", "204 No Content", "Content-Length: 25\r\n", ""},
        };
        InstanceRig rig(true, false);
        rig.End = ScriptEnd_Open;
        for (const Stated& one : all)
        {
            rig.Cut = fmt::format("HTTP/1.1 {}\r\n{{}}{}\r\n", one.Start, one.Lines);
            RigCall call;
            call.Method = one.Method;
            const RigAnswer answer = RigSendAndWait(&rig.Parts, *rig.Instance, call);
            const std::string* length = FindHeader(answer.Answer.Headers, "Content-Length");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(rig.Cut, std::atoi(one.Start), answer.Answer.Status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(rig.Cut, std::string(one.Length), length != nullptr ? *length : "");
        }
    }

    // Guards against a target that counts as sound, with answers of no bytes, while it cuts them.
    void CutAnswersAreFailuresOfTheTarget()
    {
        CutCheck check;
        for (const std::string& cut : CutAnswers())
        {
            InstanceRig rig(false, false);
            rig.Cut = cut;
            const RigAnswer answer = rig.Ask("/a/x", "once");
            check.Add(rig.Pooled("t1").FailuresInRow > 0, TextOf("", cut, answer.Answer));
        }
        check.Conclude();
    }

    // Targets that close the connection after these bytes of their answers, and of the next answer to a health check, if `cut_checks` is
    // set.
    static std::function<ScriptedAnswer(const ReceivedRequest&)> CutsAnswers(const std::string& id, const std::string& bytes,
                                                                             bool cut_checks, int* checks_cut)
    {
        std::string health = SoundHealth;
        health.replace(health.find("t1"), 2, id);
        return [health, bytes, cut_checks, checks_cut, cut_next = false](const ReceivedRequest& request) mutable
        {
            if (request.Path != "/health")
            {
                cut_next = cut_checks;
                return ScriptedAnswer{bytes, ScriptEnd_Close};
            }
            *checks_cut += cut_next ? 1 : 0;
            return std::exchange(cut_next, false) ? ScriptedAnswer{bytes, ScriptEnd_Close} : ScriptedAnswer{health, ScriptEnd_Open};
        };
    }

    static void CheckNotQuarantined(const std::string& bytes, bool cut_checks)
    {
        int checks_cut = 0;
        InstanceRig rig(true, false);
        rig.Target.Answer = CutsAnswers("t1", bytes, cut_checks, &checks_cut);
        std::vector<std::unique_ptr<ScriptedServer>> targets;
        for (int n = 2; n < 6; n++)
        {
            const std::string id = fmt::format("t{}", n);
            targets.push_back(std::make_unique<ScriptedServer>(&rig.Parts.Loop, CutsAnswers(id, bytes, cut_checks, &checks_cut)));
            UsersStoreTarget(&rig.Parts.Store, id, "svc", targets.back()->Address, "dc-a");
        }
        RigWaitForPlan(&rig.Parts, *rig.Instance, 5);
        for (int n = 0; n < 10; n++)
        {
            rig.Ask("/a/x");
            RigRunFor(&rig.Parts, 50 * UsPerMs); // The checks for crashes end.
        }
        CPPUNIT_ASSERT(cut_checks == (checks_cut > 0));
        CPPUNIT_ASSERT(rig.Instance->Requests.Quarantined.Requests.empty());
    }

    // Guards against a request that is refused for all targets as it seems to crash them: they only cut their answers.
    void CutAnswersQuarantineNoRequest()
    {
        CheckNotQuarantined(StatusLine, false);
    }

    // Guards against the same where the targets cut the answers to health checks too: a process that begins an answer hasn't crashed.
    void CutHealthAnswersQuarantineNoRequest()
    {
        CheckNotQuarantined(StatusLine, true);
    }

    // Guards against the same where what they send is no answer of a version that is known.
    void ForeignBytesQuarantineNoRequest()
    {
        for (const char* bytes : {"HTTP/1.2 200 OK\r\n\r\n", "none of HTTP\r\n"})
        {
            CheckNotQuarantined(bytes, true);
        }
    }

    // Guards against a target whose cut health answers count as good, so that requests are sent to it.
    void CutHealthAnswersAreNoReports()
    {
        CutCheck check;
        const size_t load_end = SoundHealth.find(LengthLine(0));
        for (const size_t sent : {StatusLine.size(), load_end, load_end + 8, SoundHealth.size() - 2, SoundHealth.size() - 1})
        {
            InstanceRig rig(true, true);
            rig.Health = SoundHealth.substr(0, sent);
            rig.HealthEnd = ScriptEnd_Close;
            for (int n = 0; n < 3; n++)
            {
                CPPUNIT_ASSERT_EQUAL(200, rig.Ask("/a/x").Answer.Status);
            }
            const bool unused = rig.Target.Saw["/health"] > 0 && rig.Target.Saw["/a/x"] == 0;
            const PoolTarget& target = rig.Pooled("t1");
            check.Add(unused && target.ReportUs == 0 && target.FailuresInRow > 0,
                      fmt::format("\"{}\": {} requests", Escaped(rig.Health), rig.Target.Saw["/a/x"]));
        }
        check.Conclude();
    }

    // Guards against a target that is removed since a cut health answer names another one at its address.
    void ACutHealthAnswerReplacesNoTarget()
    {
        InstanceRig rig(true, true);
        rig.Health = StatusLine + "Winchlink-Instance-Id: t9\r\n";
        rig.HealthEnd = ScriptEnd_Close;
        CPPUNIT_ASSERT_EQUAL(200, rig.Ask("/a/x").Answer.Status);
        CPPUNIT_ASSERT(rig.Target.Saw["/health"] > 0);
        CPPUNIT_ASSERT(rig.Pooled("t1").FailuresInRow > 0);
    }

    static int SeenBy(const ScriptedServer& server)
    {
        int seen = 0;
        for (const auto& entry : server.Saw)
        {
            seen += entry.second;
        }
        return seen;
    }

    // Guards against an instance that believes to have no path to targets whose bytes reach it.
    void CutHealthAnswersAreNoLostPath()
    {
        InstanceRig rig(true, false);
        std::vector<std::unique_ptr<ScriptedServer>> targets;
        for (int n = 2; n < 6; n++)
        {
            targets.push_back(std::make_unique<ScriptedServer>(&rig.Parts.Loop,
                                                               [](const ReceivedRequest&) {
                                                                   return ScriptedAnswer{StatusLine, ScriptEnd_Close};
                                                               }));
            UsersStoreTarget(&rig.Parts.Store, fmt::format("t{}", n), "svc", targets.back()->Address, "dc-a");
        }
        RigWaitForPlan(&rig.Parts, *rig.Instance, 5);
        rig.Cut = StatusLine;
        rig.Health = StatusLine;
        rig.HealthEnd = ScriptEnd_Close;
        RigRunFor(&rig.Parts, rig.Instance->Requests.Services.at("svc").Path.Config.ResetUs);
        constexpr int requests = 10;
        RigCall call;
        call.DeadlineMs = 1000;
        std::vector<RigAnswerPtr> answers(requests);
        std::generate(answers.begin(), answers.end(), [&]() { return RigSend(&rig.Parts, *rig.Instance, call); });
        const auto is_done = [](const RigAnswerPtr& answer)
        {
            return answer->Done;
        };
        CPPUNIT_ASSERT(RigRunUntil(&rig.Parts, [&]() { return std::all_of(answers.begin(), answers.end(), is_done); }));
        CPPUNIT_ASSERT(SeenBy(*targets.front()) > 0);
        CPPUNIT_ASSERT_EQUAL(TargetPathState_Open, rig.Instance->Requests.Services.at("svc").Path.State);
    }

    // Guards against targets that are removed, or data that counts as current, after a page whose end is missing.
    void CutPagesOfTheStoreChangeNothing()
    {
        CutCheck check;
        Rig source;
        RigTarget(&source, "t1");
        RigTarget(&source, "t2");
        RigConfigure(&source, {UsersRoute()});
        ClientRequest request;
        request.Address = source.Store.Address;
        request.Target = "/kv-range?pathPrefix=";
        const std::string page = ClientSendAndWait(&source.Callers, std::move(request)).Body;
        const std::string length = LengthLine(page.size()) + "\r\n";
        const std::string whole = StatusLine + length + page;
        const std::string empty = R"({"items":[],"more":false,"at":1000000})";
        const std::vector<std::string> cuts = {
            StatusLine,
            StatusLine + "Content-Type: application/json\r\n",
            StatusLine + LengthLine(0),
            Interim + StatusLine,
            whole.substr(0, whole.size() / 2),
            whole.substr(0, whole.size() - 1),
            StatusLine + length + empty,
            StatusLine + "\r\n" + page.substr(0, page.size() - 1),
            StatusLine + "Transfer-Encoding: chunked\r\n\r\n" + Chunk(empty),
            StatusLine + LengthLine(page.size()) + LengthLine(empty.size()) + "\r\n" + empty,
            StatusLine + fmt::format("Content-Length: {}, {}\r\n\r\n", empty.size(), page.size()) + empty,
        };
        for (const std::string& cut : cuts)
        {
            bool cuts_pages = false;
            Rig rig;
            rig.Version = source.Version;
            ScriptedServer store(&rig.Loop,
                                 [&](const ReceivedRequest& read)
                                 {
                                     const bool is_page = read.Path.rfind("/kv-range", 0) == 0;
                                     return !is_page     ? ScriptedAnswer{"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", ScriptEnd_Open}
                                            : cuts_pages ? ScriptedAnswer{cut, ScriptEnd_Close}
                                                         : ScriptedAnswer{whole, ScriptEnd_Open};
                                 });
            Settings settings = RigSettings(rig);
            settings.StoreAddress = store.Address;
            const Gateway& instance = RigStartWith(&rig, settings);
            RigWaitForPlan(&rig, instance, 2);
            cuts_pages = true;
            const uint64_t failed = instance.Store.CallsFailed;
            const int pages = store.Saw["/kv-range?pathPrefix="];
            CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return store.Saw["/kv-range?pathPrefix="] > pages + 1; }));
            const std::map<std::string, DirectoryTarget>& targets = instance.Requests.Directory.Targets;
            const bool kept =
                targets.size() == 2 && targets.at("t1").Presence == Presence_Ready && targets.at("t2").Presence == Presence_Ready;
            check.Add(kept && instance.Store.CallsFailed > failed && instance.Requests.Directory.StoreUnavailable,
                      fmt::format("{} targets, {} calls failed: {}", targets.size(), instance.Store.CallsFailed - failed,
                                  Escaped(cut.substr(0, 100))));
        }
        check.Conclude();
    }

    // Guards against a status that is believed before its head has ended: the whole store would be read for it.
    void ACutStatusOfTheStoreIsNoLostHistory()
    {
        Rig source;
        RigTarget(&source, "t1");
        RigConfigure(&source, {UsersRoute()});
        ClientRequest request;
        request.Address = source.Store.Address;
        request.Target = "/kv-range?pathPrefix=";
        const std::string page = ClientSendAndWait(&source.Callers, std::move(request)).Body;
        Rig rig;
        rig.Version = source.Version;
        int pages = 0;
        int polls = 0;
        ScriptedServer store(&rig.Loop,
                             [&](const ReceivedRequest& read)
                             {
                                 const bool is_page = read.Path.rfind("/kv-range", 0) == 0;
                                 (is_page ? pages : polls)++;
                                 return is_page ? ScriptedAnswer{StatusLine + LengthLine(page.size()) + "\r\n" + page, ScriptEnd_Open}
                                                : ScriptedAnswer{"HTTP/1.1 410 Gone\r\n", ScriptEnd_Close};
                             });
        Settings settings = RigSettings(rig);
        settings.StoreAddress = store.Address;
        const Gateway& instance = RigStartWith(&rig, settings);
        RigWaitForPlan(&rig, instance, 1);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return polls > 2; }));
        CPPUNIT_ASSERT_EQUAL(1, pages);
        CPPUNIT_ASSERT(instance.Store.CallsFailed > 0);
    }

    // Guards against a cut answer that reaches the caller when another instance has passed it on, or was cut itself.
    void CutAnswersOfPeersReachNoCaller()
    {
        PathFleet fleet(1);
        fleet.Cut(0, ProxyMode_Silent);
        Gateway& instance = *fleet.Parts.Instances[0];
        const auto lost = [&instance]()
        {
            return instance.Requests.Services.at("svc").Path.State == TargetPathState_Lost;
        };
        for (int n = 0; n < 20 && !lost(); n++)
        {
            RigSendAndWait(&fleet.Parts, instance, RigCall());
        }
        CPPUNIT_ASSERT(lost());
        std::string cut;
        const std::string taken = fmt::format("{}: {}\r\n", HeaderHandoff, FormatHandoffResult({Code_None, 1, 0, {}}));
        const ScriptedServer peer(&fleet.Parts.Loop,
                                  [&](const ReceivedRequest& request) {
                                      return ScriptedAnswer{FillIn(cut, SignedLines(request.Id) + taken), ScriptEnd_Close};
                                  });
        CutCheck check;
        std::vector<std::string> cuts = CutAnswers();
        cuts.insert(cuts.begin(), StatusLine + "{}" + LengthLine() + "\r\n" + OwnBody);
        for (const std::string& each : cuts)
        {
            cut = each;
            for (const char* path : {"/a/x", "/w/x"})
            {
                instance.Requests.Others.Known.clear();
                PeersHeard(&instance.Requests.Others, {peer.Address, 7, 0, true}, NowUs());
                RigCall call;
                call.Method = path == std::string("/w/x") ? "POST" : "GET";
                call.Target = path;
                call.Body = call.Method == "POST" ? "once" : "";
                const int before = SeenBy(peer);
                const RigAnswer answer = RigSendAndWait(&fleet.Parts, instance, call);
                const std::string text = fmt::format("{}, handed on {} times", path, SeenBy(peer) - before);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(text, before + 1, SeenBy(peer));
                CPPUNIT_ASSERT(&each != &cuts.front() || answer.Answer.Status == 200);
                check.Add(IsWholeOrFailed(answer.Answer), TextOf(text, cut, answer.Answer));
            }
        }
        check.Conclude();
    }

    // Guards against crashes that are learnt from a part of another instance's answer.
    void CutCrashReportsAreNotMerged()
    {
        const std::string request(32, 'a');
        const std::string message = EncodeCrashReports({1, {{request, "t1/1", 0, false}, {request, "t2/1", 0, false}}});
        const std::string head = StatusLine + LengthLine(message.size()) + "\r\n";
        CutCheck check;
        for (size_t sent = 0; sent <= head.size() + message.size(); sent++)
        {
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
            rig.Next = {(head + message).substr(0, sent), ScriptEnd_Close};
            CrashReportsCompare(&reports);
            CPPUNIT_ASSERT(LoopRunUntil(&rig.Loop, RigTimeoutUs, [&reports]() { return reports.InProgress == 0; }));
            const int crashes = QuarantineCrashCount(known, request);
            check.Add(crashes == (sent < head.size() + message.size() ? 0 : 2), fmt::format("{} bytes: {} crashes", sent, crashes));
        }
        check.Conclude();
    }

    // Guards against a command that prints a page, or says that it has worked, without having read the whole answer.
    void CommandsRefuseCutPages()
    {
        const std::string page = "lifted\n";
        const std::string whole = StatusLine + LengthLine(page.size()) + "\r\n" + page;
        CutCheck check;
        for (size_t sent = 1; sent <= whole.size(); sent++)
        {
            const std::string address = FreeAddress();
            const int listening = socket(AF_INET, SOCK_STREAM, 0);
            const sockaddr_in at = ToSocketAddress(ParseEndpoint(address).value());
            CPPUNIT_ASSERT_EQUAL(0, bind(listening, reinterpret_cast<const sockaddr*>(&at), sizeof at));
            CPPUNIT_ASSERT_EQUAL(0, listen(listening, 1));
            const auto answer = [&]()
            {
                const int connection = accept(listening, nullptr, nullptr);
                std::string buffer(KiB, '\0');
                recv(connection, buffer.data(), buffer.size(), 0);
                send(connection, whole.data(), sent, MSG_NOSIGNAL);
                close(connection);
            };
            std::thread server(answer);
            const Result<std::string> got = FetchPage(address, "POST", "/lift?request=1");
            shutdown(listening, SHUT_RDWR);
            server.join();
            close(listening);
            const bool right = sent == whole.size() ? got && got.value() == page : !got;
            check.Add(right, fmt::format("\"{}\" -> {}", Escaped(whole.substr(0, sent)),
                                         got ? "page of " + std::to_string(got.value().size()) : "failed"));
        }
        check.Conclude();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutAnswersTest);

} // namespace Winchlink
