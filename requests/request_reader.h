// request_reader.h: incremental parser for one HTTP/1.1 request, based on Boost.Beast.
//
// How to use it: call RequestReaderBegin() with the limits, then RequestReaderFeed() with all unparsed bytes whenever more have arrived. It
// consumes what belongs to the request and leaves the rest, which may be the next request. After ReadState_Complete, move Request out and
// call RequestReaderBegin() again.

#pragma once

#include "headers.h"
#include "winchlink.h"

namespace Winchlink
{

enum ReadState_ : int
{
    ReadState_Begin,    // No byte of the request has arrived.
    ReadState_Headers,  // The headers are incomplete.
    ReadState_Body,     // The headers are complete, the body is not.
    ReadState_Complete, // The request is complete.
    ReadState_Refused,  // The request is rejected, see Status and Code. Its end is unknown, so the connection can't be used further.
    ReadState_COUNT,
};

struct CallerRequest
{
    std::string Method;           // As sent.
    std::string Target;           // Path and query, as sent.
    std::vector<Header> Headers;  // As sent, in order.
    std::string Body;             // Complete, with chunks joined.
    bool KeepsConnection = false; // The connection stays open after this request (keep-alive).
};

struct RequestParser; // Wraps Boost.Beast's parser.

struct RequestReader
{
    ReadState_ State = ReadState_Begin;
    CallerRequest Request;                 // Complete in ReadState_Complete; in ReadState_Body without its body.
    bool WantsContinue = false;            // In ReadState_Body: the caller sent "Expect: 100-continue".
    int Status = 0;                        // In ReadState_Refused: HTTP status of the answer.
    Code_ Code = Code_None;                // In ReadState_Refused: error code of the answer.
    CallerLimits Limits;                   // Set by RequestReaderBegin().
    std::unique_ptr<RequestParser> Parser; // Null in ReadState_Begin, so that idle connections need no memory for it.

    RequestReader();
    ~RequestReader();
    RequestReader(const RequestReader&) = delete;
    RequestReader& operator=(const RequestReader&) = delete;
};

// Resets the reader; the next byte starts a request.
void RequestReaderBegin(RequestReader* reader, const CallerLimits& limits);

// Parses the request from the front of `bytes`, removes what it consumed, and returns the state. Consumes nothing in ReadState_Complete and
// ReadState_Refused.
ReadState_ RequestReaderFeed(RequestReader* reader, std::string* bytes);

} // namespace Winchlink
