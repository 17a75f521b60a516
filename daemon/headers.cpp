// headers.cpp: HTTP header fields and query values.

#include "headers.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <fmt/format.h>
#include <strings.h>

namespace Winchlink
{

bool SameHeader(const std::string& a, const std::string& b)
{
    return strcasecmp(a.c_str(), b.c_str()) == 0;
}

const std::string* FindHeader(const std::vector<Header>& headers, const std::string& name)
{
    for (const Header& header : headers)
    {
        if (SameHeader(header.Name, name))
        {
            return &header.Value;
        }
    }
    return nullptr;
}

bool IsHopHeader(const std::string& name)
{
    static const std::array<const char*, 10> hop = {
        "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
        "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};
    return std::any_of(hop.begin(), hop.end(), [&](const char* h) { return SameHeader(name, h); });
}

std::string TrimBlanks(const std::string& text)
{
    const char* blanks = " \t\r\n";
    const size_t first = text.find_first_not_of(blanks);
    if (first == std::string::npos)
    {
        return "";
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::string QueryValue(const std::string& target, const std::string& key)
{
    const size_t query = target.find('?');
    size_t at = query;
    while (at != std::string::npos)
    {
        const size_t end = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (pair.compare(0, key.size() + 1, key + "=") == 0)
        {
            return pair.substr(key.size() + 1);
        }
        at = end;
    }
    return "";
}

std::string HexEncoded(const std::string& bytes)
{
    std::string text;
    for (const char byte : bytes)
    {
        text += fmt::format("{:02x}", static_cast<uint8_t>(byte));
    }
    return text;
}

std::string HexDecoded(const std::string& text)
{
    constexpr int hex = 16;
    std::string bytes;
    for (size_t at = 0; at + 1 < text.size(); at += 2)
    {
        const char* end = text.data() + at + 2;
        unsigned value = 0;
        if (std::from_chars(text.data() + at, end, value, hex).ptr != end)
        {
            break;
        }
        bytes += static_cast<char>(value);
    }
    return bytes;
}

std::string PercentDecoded(const std::string& text)
{
    constexpr int hex = 16;
    std::string out;
    for (size_t n = 0; n < text.size(); n++)
    {
        const bool encoded = text[n] == '%' && n + 2 < text.size() && std::isxdigit(static_cast<unsigned char>(text[n + 1])) != 0 &&
                             std::isxdigit(static_cast<unsigned char>(text[n + 2])) != 0;
        out += encoded ? static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, hex)) : text[n];
        n += encoded ? 2 : 0;
    }
    return out;
}

std::string PercentEncoded(const std::string& text)
{
    std::string out;
    for (const char c : text)
    {
        out += std::isalnum(static_cast<unsigned char>(c)) != 0 ? std::string(1, c) : fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return out;
}

} // namespace Winchlink
