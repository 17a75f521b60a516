// request_reader.h: reads one HTTP/1.1 request of a caller from the bytes of its connection, as they come; on Boost.Beast's parser.
//
// How to use it: RequestReaderBegin() with the limits, then RequestReaderFeed() with all bytes that wait, whenever more have come. It takes
// what belongs to the request and leaves the rest, which may be the next request. After ReadState_Whole, take Request and begin anew.

#pragma once

#include "headers.h"
#include "winchlink.h"

namespace Winchlink
{

enum ReadState_ : int
{
    ReadState_Begin,   // Nothing of the request has come.
    ReadState_Headers, // Part of the headers has come.
    ReadState_Body,    // The headers have come, and the body not yet.
    ReadState_Whole,   // The request has come.
    ReadState_Refused, // It will not be read; what follows on the connection can't be told from it. See Status and Code.
    ReadState_COUNT,
};

struct CallerRequest
{
    std::string Method;           // As sent.
    std::string Target;           // Path and query, as sent.
    std::vector<Header> Headers;  // As sent, in order.
    std::string Body;             // Whole, without chunks.
    bool KeepsConnection = false; // The caller expects to send more requests on this connection.
};

struct RequestParser; // Boost.Beast's part.

struct RequestReader
{
    ReadState_ State = ReadState_Begin;
    CallerRequest Request;                 // Complete when Whole; without its body from Body on.
    bool WantsContinue = false;            // In Body: the caller sends the body once it has been told to.
    int Status = 0;                        // When Refused: the answer,
    Code_ Code = Code_None;                // and its code.
    CallerLimits Limits;                   //
    std::unique_ptr<RequestParser> Parser; // Null while nothing has come: idle connections hold no memory for it.

    RequestReader();
    ~RequestReader();
    RequestReader(const RequestReader&) = delete;
    RequestReader& operator=(const RequestReader&) = delete;
};

// Forgets what was read; the next byte begins a request.
void RequestReaderBegin(RequestReader* reader, const CallerLimits& limits);

// Takes what belongs to the request off the front of `bytes`, and returns the state. In Whole and Refused it takes nothing.
ReadState_ RequestReaderFeed(RequestReader* reader, std::string* bytes);

} // namespace Winchlink
