// answer_lines.cpp: the lines of an answer's head and trailers.
//
// Index of this file:
// [SECTION] Characters
// [SECTION] Lines

#include "answer_lines.h"

#include <algorithm>
#include <cstring>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Characters
//-----------------------------------------------------------------------------

static bool IsDigit(char c)
{
    return c >= '0' && c <= '9';
}

// A character of a token (RFC 9110, 5.6.2).
static bool IsTokenChar(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return letter || IsDigit(c) || (c != '\0' && std::strchr("!#$%&'*+-.^_`|~", c) != nullptr);
}

// The line without the CRLF, or the LF, at its end.
static std::string WithoutEnd(const std::string& line)
{
    const size_t ends = line.size() >= 2 && line.compare(line.size() - 2, 2, "\r\n") == 0 ? 2
                        : !line.empty() && line.back() == '\n'                            ? 1
                                                                                          : 0;
    return line.substr(0, line.size() - ends);
}

// Whether the text may be the value of a header, or a reason: no control characters but tabs.
static bool IsFieldText(const std::string& text)
{
    constexpr unsigned char del = 0x7f;
    return std::all_of(text.begin(), text.end(),
                       [](char c)
                       {
                           const auto byte = static_cast<unsigned char>(c);
                           return c == '\t' || (byte >= ' ' && byte != del);
                       });
}

//-----------------------------------------------------------------------------
// [SECTION] Lines
//-----------------------------------------------------------------------------

std::optional<StatusLine> ParseStatusLine(const std::string& line)
{
    constexpr size_t version_size = 8; // "HTTP/1.1".
    constexpr size_t status_at = version_size + 1;
    constexpr size_t status_end = status_at + 3;
    const std::string text = WithoutEnd(line);
    const std::string version = text.substr(0, version_size);
    if ((version != "HTTP/1.1" && version != "HTTP/1.0") || text.size() < status_end || text[version_size] != ' ')
    {
        return std::nullopt;
    }
    const bool number = std::all_of(text.begin() + status_at, text.begin() + status_end, IsDigit);
    const bool known = number && text[status_at] >= '1' && text[status_at] <= '5';
    const bool ends = text.size() == status_end || (text[status_end] == ' ' && IsFieldText(text.substr(status_end)));
    if (!known || !ends)
    {
        return std::nullopt;
    }
    return StatusLine{std::stoi(text.substr(status_at, status_end - status_at)), version == "HTTP/1.0"};
}

std::optional<Header> ParseFieldLine(const std::string& line)
{
    const std::string text = WithoutEnd(line);
    const size_t colon = text.find(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    const std::string value = text.substr(colon + 1);
    const size_t name_end = text.find_last_not_of(" \t", colon - 1);
    const std::string name = colon > 0 && name_end != std::string::npos ? text.substr(0, name_end + 1) : "";
    const bool token = !name.empty() && std::all_of(name.begin(), name.end(), IsTokenChar);
    return token && IsFieldText(value) ? std::optional<Header>(Header{name, TrimBlanks(value)}) : std::nullopt;
}

bool IsContinuation(const std::string& line)
{
    return !line.empty() && (line.front() == ' ' || line.front() == '\t');
}

std::optional<std::string> ParseContinuation(const std::string& line)
{
    const std::string text = WithoutEnd(line);
    return IsFieldText(text) ? std::optional<std::string>(TrimBlanks(text)) : std::nullopt;
}

} // namespace Winchlink
