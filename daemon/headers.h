// headers.h: HTTP header fields, as every server and client of ours holds them.

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

// Names of headers are compared without regard to case.
bool SameHeader(const std::string& a, const std::string& b);

// The first value of that name, or null.
const std::string* FindHeader(const std::vector<Header>& headers, const std::string& name);

// Headers that belong to one connection and are never passed on (RFC 9110, 7.6.1), and those that we set anew.
bool IsHopHeader(const std::string& name);

// Without leading and trailing blanks and line ends.
std::string TrimBlanks(const std::string& text);

} // namespace Winchlink
