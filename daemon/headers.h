// headers.h: HTTP header fields and query values, for the HTTP servers and clients.

#pragma once

#include <string>
#include <vector>

namespace Winchlink
{

struct Header
{
    std::string Name;  // As received.
    std::string Value; // Without surrounding blanks.
};

// Compares two names of headers, ignoring case.
bool SameHeader(const std::string& a, const std::string& b);

// The value of the first header with that name, or null.
const std::string* FindHeader(const std::vector<Header>& headers, const std::string& name);

// Hop-by-hop headers (RFC 9110, 7.6.1), which are never forwarded, and Content-Length, which is set anew.
bool IsHopHeader(const std::string& name);

// Removes leading and trailing whitespace and line ends.
std::string TrimBlanks(const std::string& text);

// The value of a key in the query of a request target, not decoded; empty if there is none.
std::string QueryValue(const std::string& target, const std::string& key);

// Decodes "%XX"; other characters stay as they are.
std::string PercentDecoded(const std::string& text);

// Two hexadecimal digits for each byte. Decoding ends at the first two characters that are none.
std::string HexEncoded(const std::string& bytes);
std::string HexDecoded(const std::string& text);

// Encodes a text as a query value: everything except letters and digits becomes "%XX".
std::string PercentEncoded(const std::string& text);

} // namespace Winchlink
