// answer_framing.cpp: where the body of an answer ends, by its headers.
//
// libcurl takes the first number of a Content-Length for the length, whatever follows it, and the last of several such headers. The headers
// are therefore read here too, and an answer whose framing is ambiguous is not used.
//
// Index of this file:
// [SECTION] Names
// [SECTION] Lengths and codings
// [SECTION] Framing

#include "answer_framing.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Names
//-----------------------------------------------------------------------------

const char* FramingName(Framing_ framing)
{
    static constexpr std::array<const char*, Framing_COUNT> names = {"none", "no body", "length", "chunks", "close", "invalid"};
    return names.at(framing);
}

const char* AnswerDefectName(AnswerDefect_ defect)
{
    static constexpr std::array<const char*, AnswerDefect_COUNT> names = {"none",      "head cut", "body cut", "framing", "other request",
                                                                          "too large", "not HTTP", "status",   "header",  "trailer"};
    return names.at(defect);
}

//-----------------------------------------------------------------------------
// [SECTION] Lengths and codings
//-----------------------------------------------------------------------------

// The elements of all headers with that name, separated by commas (RFC 9110, 5.3), without surrounding blanks.
static std::vector<std::string> ElementsOf(const std::vector<Header>& headers, const std::string& name)
{
    std::vector<std::string> elements;
    for (const Header& header : headers)
    {
        if (!SameHeader(header.Name, name))
        {
            continue;
        }
        size_t from = 0;
        for (size_t comma = header.Value.find(','); comma != std::string::npos; comma = header.Value.find(',', from))
        {
            elements.push_back(TrimBlanks(header.Value.substr(from, comma - from)));
            from = comma + 1;
        }
        elements.push_back(TrimBlanks(header.Value.substr(from)));
    }
    return elements;
}

// The number that consists of these digits; none if there is anything else, or if it is too large.
static std::optional<uint64_t> ParseLength(const std::string& text)
{
    constexpr uint64_t length_max = INT64_MAX; // libcurl's lengths are signed.
    uint64_t length = 0;
    const char* end = text.data() + text.size();
    const auto [at, error] = std::from_chars(text.data(), end, length);
    const bool number = error == std::errc() && at == end;
    return number && length <= length_max ? std::optional<uint64_t>(length) : std::nullopt;
}

//-----------------------------------------------------------------------------
// [SECTION] Framing
//-----------------------------------------------------------------------------

static AnswerFraming ByLength(const std::vector<std::string>& lengths)
{
    const std::optional<uint64_t> length = ParseLength(lengths.front());
    const bool agree = std::all_of(lengths.begin(), lengths.end(), [&](const std::string& other) { return ParseLength(other) == length; });
    return length && agree ? AnswerFraming{Framing_Length, *length} : AnswerFraming{Framing_Invalid, 0};
}

bool IsFramingHeader(const std::string& name)
{
    return SameHeader(name, "Content-Length") || SameHeader(name, "Transfer-Encoding");
}

AnswerFraming FramingOf(const std::string& method, int status, bool http_1_0, const std::vector<Header>& headers)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    const std::vector<std::string> lengths = ElementsOf(headers, "Content-Length");
    const std::vector<std::string> codings = ElementsOf(headers, "Transfer-Encoding");
    const AnswerFraming by_length = lengths.empty() ? AnswerFraming{Framing_Close, 0} : ByLength(lengths);
    if (by_length.Ends == Framing_Invalid)
    {
        return by_length;
    }
    if (method == "HEAD" || status == no_content || status == not_modified)
    {
        return {Framing_NoBody, 0};
    }
    if (codings.empty())
    {
        return by_length;
    }
    const bool chunked = codings.size() == 1 && SameHeader(codings.front(), "chunked") && !http_1_0;
    return {chunked ? Framing_Chunks : Framing_Invalid, 0}; // Chunks override a length.
}

AnswerDefect_ FramingDefect(const AnswerFraming& framing, uint64_t body_bytes, bool whole)
{
    if (framing.Ends == Framing_None)
    {
        return AnswerDefect_HeadCut;
    }
    if (framing.Ends == Framing_Invalid)
    {
        return AnswerDefect_Framing;
    }
    const bool as_stated = framing.Ends != Framing_Length || body_bytes == framing.Length;
    return whole && as_stated ? AnswerDefect_None : AnswerDefect_BodyCut;
}

} // namespace Winchlink
