// generated_answers_test.cpp: sound answers with changed bytes, read by the client and by a strict reader of this test. Two readers of one
// answer are in use in an instance, its own and libcurl's. Guards against bytes that they read in different ways, so that a caller gets
// anything but the whole answer or a plain failure, and against bytes that end the process.
//
// Index of this file:
// [SECTION] Strict reader
// [SECTION] Answers
// [SECTION] Tests

#include "scripted_server.h"

#include <rapidcheck.h>
#include <regex>

namespace Winchlink
{

namespace
{

//-----------------------------------------------------------------------------
// [SECTION] Strict reader
//-----------------------------------------------------------------------------

// Takes the next line, without its end, from the bytes. False if there is none.
bool TakeLine(std::string* bytes, std::string* line)
{
    const size_t end = bytes->find('\n');
    if (end == std::string::npos)
    {
        return false;
    }
    *line = bytes->substr(0, end > 0 && (*bytes)[end - 1] == '\r' ? end - 1 : end);
    bytes->erase(0, end + 1);
    return true;
}

// Takes the lines of headers or trailers and the empty line behind them. Continuation lines are kept as they are.
bool TakeFields(std::string* bytes, std::vector<std::string>* fields)
{
    static const std::regex field("[!#$%&'*+.^_`|~0-9A-Za-z-]+[ \t]*:[\t\x20-\x7e\x80-\xff]*");
    static const std::regex continuation("[ \t][\t\x20-\x7e\x80-\xff]*");
    std::string line;
    while (TakeLine(bytes, &line))
    {
        if (line.empty())
        {
            return true;
        }
        const bool sound = std::regex_match(line, field) || (!fields->empty() && std::regex_match(line, continuation));
        if (!sound)
        {
            return false;
        }
        fields->push_back(line);
    }
    return false;
}

std::string Lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return text;
}

// The values of the headers with that name.
std::vector<std::string> ValuesOf(const std::vector<std::string>& fields, const std::string& name)
{
    std::vector<std::string> values;
    for (const std::string& field : fields)
    {
        const size_t colon = field.find(':');
        if (colon != std::string::npos && Lower(TrimBlanks(field.substr(0, colon))) == name)
        {
            values.push_back(Lower(TrimBlanks(field.substr(colon + 1))));
        }
    }
    return values;
}

std::optional<std::string> JoinChunks(std::string bytes)
{
    static const std::regex size_line("([0-9A-Fa-f]{1,8})[ \t]*(;.*)?");
    std::string body;
    std::string line;
    std::smatch match;
    while (TakeLine(&bytes, &line) && std::regex_match(line, match, size_line))
    {
        const size_t size = std::stoul(match[1].str(), nullptr, 16);
        std::vector<std::string> trailers;
        if (size == 0)
        {
            return TakeFields(&bytes, &trailers) ? std::optional<std::string>(body) : std::nullopt;
        }
        if (bytes.size() < size + 1)
        {
            return std::nullopt;
        }
        body += bytes.substr(0, size);
        bytes.erase(0, size);
        if (!TakeLine(&bytes, &line) || !line.empty())
        {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

struct StrictAnswer
{
    int Status = 0;
    std::string Body;
};

// Reads an answer whose connection has ended after these bytes; none if it is not sound.
std::optional<StrictAnswer> ReadStrictly(std::string bytes)
{
    static const std::regex start("HTTP/1\\.[01] ([1-5][0-9][0-9])( [\t\x20-\x7e\x80-\xff]*)?");
    std::string line;
    std::smatch match;
    std::vector<std::string> fields;
    int status = 100;
    while (status < 200)
    {
        fields.clear();
        if (!TakeLine(&bytes, &line) || !std::regex_match(line, match, start) || !TakeFields(&bytes, &fields))
        {
            return std::nullopt;
        }
        status = std::stoi(match[1].str());
    }
    const std::vector<std::string> codings = ValuesOf(fields, "transfer-encoding");
    const std::vector<std::string> lengths = ValuesOf(fields, "content-length");
    if (status == 204 || status == 304)
    {
        return StrictAnswer{status, ""};
    }
    if (!codings.empty())
    {
        const std::optional<std::string> body = JoinChunks(bytes);
        return body && codings.front() == "chunked" ? std::optional<StrictAnswer>({status, *body}) : std::nullopt;
    }
    if (lengths.empty())
    {
        return StrictAnswer{status, bytes};
    }
    const bool number = !lengths.front().empty() && lengths.front().find_first_not_of("0123456789") == std::string::npos;
    const size_t length = number && lengths.front().size() < 9 ? std::stoul(lengths.front()) : std::string::npos;
    return length <= bytes.size() ? std::optional<StrictAnswer>({status, bytes.substr(0, length)}) : std::nullopt;
}

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

std::vector<std::string> SoundAnswers()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    return {
        StatusLine + LengthLine() + "\r\n" + OwnBody,
        StatusLine + "X: a\r\n b\r\n" + LengthLine() + "\r\n" + OwnBody,
        StatusLine + chunked + InChunks(OwnBody) + "\r\n",
        StatusLine + chunked + Chunk("{\"page\":215}\n") + Chunk("{\"page\":216}\n") + "0\r\nX: y\r\n\r\n",
        Interim + StatusLine + "\r\n" + OwnBody,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 404 Not Found\r\n" + LengthLine() + "\r\n" + OwnBody,
    };
}

const std::string ChangedTo("\0\t\n\r 019:;Ax\x7f\xff", 14);

// Whether the client says of the bytes what it may say. Where the strict reader refuses them, it may be what their sound form says: a
// change within a chunk extension or a blank is of no consequence.
bool IsAllowed(const std::string& bytes, const StrictAnswer& sound, const ClientAnswer& answer)
{
    if (answer.End != ClientEnd_Answered)
    {
        return answer.Status == 0 && answer.Headers.empty() && answer.Body.empty();
    }
    const StrictAnswer expected = ReadStrictly(bytes).value_or(sound);
    return expected.Status == answer.Status && expected.Body == answer.Body;
}

StrictAnswer ReadSound(const std::string& sound)
{
    const std::optional<StrictAnswer> answer = ReadStrictly(sound);
    CPPUNIT_ASSERT_MESSAGE(Escaped(sound), answer);
    return *answer;
}

struct Generated
{
    std::string Bytes;
    StrictAnswer Sound; // What its sound form says.
};

void Check(ClientRig* rig, CutCheck* check, const Generated& one, bool kept, size_t first_part = 0)
{
    const ClientAnswer answer = rig->Ask(rig->Request("GET", "/x"), {one.Bytes, ScriptEnd_Close, first_part}, kept);
    check->Add(IsAllowed(one.Bytes, one.Sound, answer), TextOf(kept ? "kept" : "new", one.Bytes, answer));
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Tests
//-----------------------------------------------------------------------------

class GeneratedAnswersTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(GeneratedAnswersTest);
    CPPUNIT_TEST(SoundAnswersAreDelivered);
    CPPUNIT_TEST(EachChangedByteIsReadStrictlyOrRefused);
    CPPUNIT_TEST(EachMissingOrRepeatedByteIsReadStrictlyOrRefused);
    CPPUNIT_TEST(SeveralChangesAreReadStrictlyOrRefused);
    CPPUNIT_TEST(AnswersInTwoPartsAreReadAsInOne);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a strict reader, or a client, that refuses what the other tests of this file change.
    void SoundAnswersAreDelivered()
    {
        ClientRig rig;
        for (const std::string& sound : SoundAnswers())
        {
            for (const bool kept : {false, true})
            {
                const ClientAnswer answer = rig.Ask(rig.Request("GET", "/x"), {sound, ScriptEnd_Close}, kept);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(TextOf("", sound, answer), ReadSound(sound).Body, answer.Body);
            }
        }
    }

    // Guards against a byte that is read in two ways, or that ends the process, at any place of an answer.
    void EachChangedByteIsReadStrictlyOrRefused()
    {
        ClientRig rig;
        CutCheck check;
        for (const std::string& sound : SoundAnswers())
        {
            for (size_t at = 0; at < sound.size(); at++)
            {
                for (const char to : ChangedTo)
                {
                    Generated one = {sound, ReadSound(sound)};
                    one.Bytes[at] = to;
                    Check(&rig, &check, one, (at + static_cast<size_t>(to)) % 2 == 0);
                }
            }
        }
        check.Conclude();
    }

    // Guards against the same where bytes are lost, or come twice.
    void EachMissingOrRepeatedByteIsReadStrictlyOrRefused()
    {
        ClientRig rig;
        CutCheck check;
        for (const std::string& sound : SoundAnswers())
        {
            for (size_t at = 0; at < sound.size(); at++)
            {
                for (const bool kept : {false, true})
                {
                    Check(&rig, &check, {std::string(sound).erase(at, 1), ReadSound(sound)}, kept);
                    Check(&rig, &check, {std::string(sound).insert(at, 1, sound[at]), ReadSound(sound)}, kept);
                }
            }
        }
        check.Conclude();
    }

    // Guards against the same where several changes act together.
    void SeveralChangesAreReadStrictlyOrRefused()
    {
        ClientRig rig;
        const std::vector<std::string> all = SoundAnswers();
        const bool held = rc::check(
            [&]()
            {
                const std::string sound = *rc::gen::elementOf(all);
                Generated one = {sound, ReadSound(sound)};
                const int changes = *rc::gen::inRange(2, 6);
                for (int n = 0; n < changes; n++)
                {
                    const size_t at = *rc::gen::inRange<size_t>(0, one.Bytes.size());
                    const char to = *rc::gen::elementOf(ChangedTo);
                    *rc::gen::arbitrary<bool>() ? one.Bytes.insert(at, 1, to) : one.Bytes.replace(at, 1, 1, to);
                }
                const bool kept = *rc::gen::arbitrary<bool>();
                const ClientAnswer answer = rig.Ask(rig.Request("GET", "/x"), {one.Bytes, ScriptEnd_Close}, kept);
                RC_LOG() << TextOf(kept ? "kept" : "new", one.Bytes, answer);
                RC_ASSERT(IsAllowed(one.Bytes, one.Sound, answer));
            });
        CPPUNIT_ASSERT(held);
    }

    // Guards against a line that is judged before it is whole: each answer comes in two parts, cut at every byte.
    void AnswersInTwoPartsAreReadAsInOne()
    {
        ClientRig rig;
        CutCheck check;
        std::vector<std::string> answers = SoundAnswers();
        answers.push_back(StatusLine + " X: y\r\n" + LengthLine() + "\r\n" + OwnBody);
        answers.push_back("HTTP/1.1 000 OK\r\n" + LengthLine() + "\r\n" + OwnBody);
        answers.push_back(StatusLine + "X A: a\r\n" + LengthLine() + "\r\n" + OwnBody);
        for (const std::string& bytes : answers)
        {
            const bool sound = ReadStrictly(bytes).has_value();
            for (size_t first = 1; first < bytes.size(); first++)
            {
                const ClientAnswer answer = rig.Ask(rig.Request("GET", "/x"), {bytes, ScriptEnd_Close, first}, first % 2 == 0);
                const bool as_in_one = sound ? answer.Body == ReadSound(bytes).Body : answer.End != ClientEnd_Answered;
                check.Add(as_in_one, TextOf(fmt::format("{} bytes first", first), bytes, answer));
            }
        }
        check.Conclude();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GeneratedAnswersTest);

} // namespace Winchlink
