// answer_lines.cpp: the lines of an answer's head and trailers.

#include "answer_lines.h"

#include <algorithm>

namespace Winchlink
{

static bool IsDigit(char c)
{
    return c >= '0' && c <= '9';
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

} // namespace Winchlink
