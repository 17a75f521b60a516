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
    int Status = 0;        // 100 to 599.
    bool Http_1_0 = false; // The version is HTTP/1.0, otherwise HTTP/1.1.
};

// The line with its end. None if the version is not supported, if the status is unknown to HTTP, or if the line is malformed.
std::optional<StatusLine> ParseStatusLine(const std::string& line);

} // namespace Winchlink
