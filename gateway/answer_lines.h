// answer_lines.h: the lines of an answer's head and trailers (RFC 9112, 4 and 5; RFC 9110, 5 and 15).
//
// How to use it: the client passes each line that it gets from libcurl, before anything of it is used. libcurl is more lenient, so an
// answer with a line that is refused here is not used at all.

#pragma once

#include "headers.h"

#include <optional>

namespace Winchlink
{

struct StatusLine
{
    int Status = 0;      // 100 to 599.
    bool Http10 = false; // The version is HTTP/1.0, otherwise HTTP/1.1.
};

// The line with its end. None if the version is not supported, if the status is unknown to HTTP, or if the line is malformed.
std::optional<StatusLine> ParseStatusLine(const std::string& line);

// A header line or a trailer, with its end. None if the name is no token, or if the value has control characters other than tabs. Blanks
// between the name and the colon are dropped, as a proxy has to (RFC 9112, 5.1).
std::optional<Header> ParseFieldLine(const std::string& line);

// Whether the line begins with a blank, so that it continues the one before it.
bool IsContinuation(const std::string& line);

// The text of such a line, without blanks around it. None if it has control characters other than tabs.
std::optional<std::string> ParseContinuation(const std::string& line);

} // namespace Winchlink
