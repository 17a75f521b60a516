// answer_framing.h: where the body of an answer ends, by its headers (RFC 9112, 6.3).
//
// How to use it: FramingOf() once all headers of the final answer have been read; then FramingDefect() when its connection has ended, or
// when the client takes it for complete.

#pragma once

#include "headers.h"

#include <cstdint>

namespace Winchlink
{

// What ends the body of an answer.
enum Framing_ : int
{
    Framing_None,    // The headers are not complete.
    Framing_NoBody,  // The status, or the request's method, allows no body.
    Framing_Length,  // Content-Length.
    Framing_Chunks,  // The last chunk.
    Framing_Close,   // The end of the connection: nobody can tell a body that is cut off by an orderly close from a whole one.
    Framing_Invalid, // Nothing: lengths that differ or are no numbers, or a transfer coding that is not supported.
    Framing_COUNT,
};

const char* FramingName(Framing_ framing);

struct AnswerFraming
{
    Framing_ Ends = Framing_None;
    uint64_t Length = 0; // In bytes; set for Framing_Length.
};

// Whether the header says where a body ends.
bool IsFramingHeader(const std::string& name);

// `http_1_0`: of the answer's version. Chunks are no part of HTTP/1.0, so that an answer of that version with chunks is invalid.
AnswerFraming FramingOf(const std::string& method, int status, bool http_1_0, const std::vector<Header>& headers);

// What is wrong with an answer.
enum AnswerDefect_ : int
{
    AnswerDefect_None,
    AnswerDefect_HeadCut,      // It ended within its headers.
    AnswerDefect_BodyCut,      // It ended before its body did.
    AnswerDefect_Framing,      // Framing_Invalid.
    AnswerDefect_OtherRequest, // It names another request.
    AnswerDefect_TooLarge,     // It exceeded a bound of ClientRequest.
    AnswerDefect_NotHttp,      // Its bytes are no HTTP.
    AnswerDefect_Status,       // Its status line is malformed, or its status is not one of 100 to 599.
    AnswerDefect_Header,       // A line of its head is no header, or malformed.
    AnswerDefect_Trailer,      // The same of its trailers.
    AnswerDefect_COUNT,
};

const char* AnswerDefectName(AnswerDefect_ defect);

// The defect that the framing shows in an answer with so many bytes of body. `whole`: the connection and the chunks have ended in order.
AnswerDefect_ FramingDefect(const AnswerFraming& framing, uint64_t body_bytes, bool whole);

} // namespace Winchlink
