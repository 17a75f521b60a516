// request_reader.cpp: incremental parser for one HTTP/1.1 request, based on Boost.Beast.
//
// Only Beast's parser is used, none of its input and output. Ambiguous messages that Beast accepts are rejected here: a transfer coding
// other than "chunked", and a Host header that is missing or repeated. Either could lead to request smuggling, where the instance and a
// target parse different requests from the same bytes.
//
// Trailers after a chunked body must be well formed and are dropped, as RFC 9112, 7.1.2 allows. Beast appends them to the headers, so the
// headers are copied and checked before the body is parsed.
//
// Index of this file:
// [SECTION] Errors
// [SECTION] Headers
// [SECTION] Feeding

#include "request_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string_view>

namespace Winchlink
{

namespace http = boost::beast::http;

// Maximum bytes of a chunk's first line, or of all trailers. Beast consumes each only when it is complete, and does not limit its size.
static constexpr size_t ChunkHeadMax = 64 * KiB;

struct RequestParser
{
    http::request_parser<http::string_body> Beast;
};

RequestReader::RequestReader() = default;
RequestReader::~RequestReader() = default;

//-----------------------------------------------------------------------------
// [SECTION] Errors
//-----------------------------------------------------------------------------

static ReadState_ Refuse(RequestReader* reader, Code_ code)
{
    reader->State = ReadState_Refused;
    reader->Code = code;
    reader->Status = FindCode(code).HttpStatus;
    reader->Parser = nullptr;
    return reader->State;
}

static Code_ CodeForError(const boost::beast::error_code& error)
{
    if (error == http::error::header_limit)
    {
        return Code_HeadersTooLarge;
    }
    return error == http::error::body_limit ? Code_BodyTooLarge : Code_BadRequest;
}

//-----------------------------------------------------------------------------
// [SECTION] Headers
//-----------------------------------------------------------------------------

// Size in bytes of the request line and the headers.
static size_t HeaderBytes(const CallerRequest& request)
{
    constexpr size_t line_extra = std::string_view("  HTTP/1.1\r\n").size();
    constexpr size_t header_extra = std::string_view(": \r\n").size();
    size_t bytes = request.Method.size() + request.Target.size() + line_extra;
    for (const Header& header : request.Headers)
    {
        bytes += header.Name.size() + header.Value.size() + header_extra;
    }
    return bytes;
}

// Whether there is no transfer coding but "chunked": Beast looks only at the last one. HTTP/1.0 has none.
static bool IsKnownCoding(const http::request<http::string_body>& message)
{
    constexpr unsigned http_1_1 = 11;
    const size_t codings = message.count(http::field::transfer_encoding);
    const auto first = message[http::field::transfer_encoding];
    return codings == 0 || (codings == 1 && boost::beast::iequals(first, "chunked") && message.version() == http_1_1);
}

// Whether there is exactly one Host header (in HTTP/1.0 at most one), no transfer coding but "chunked", and a supported version.
static bool IsUnambiguous(const RequestParser& parser)
{
    constexpr unsigned http_1_0 = 10;
    constexpr unsigned http_1_1 = 11;
    const auto& message = parser.Beast.get();
    const size_t hosts = message.count(http::field::host);
    const bool one_host = hosts == 1 || (hosts == 0 && message.version() == http_1_0);
    return one_host && IsKnownCoding(message) && (message.version() == http_1_0 || message.version() == http_1_1);
}

static void TakeHeaders(RequestReader* reader)
{
    const auto& message = reader->Parser->Beast.get();
    CallerRequest& request = reader->Request;
    request.Method = std::string(message.method_string());
    request.Target = std::string(message.target());
    for (const auto& field : message)
    {
        request.Headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.KeepsConnection = message.keep_alive();
    const std::string* expects = FindHeader(request.Headers, "Expect");
    reader->WantsContinue = expects != nullptr && SameHeader(*expects, "100-continue");
}

static ReadState_ CheckHeaders(RequestReader* reader)
{
    TakeHeaders(reader);
    if (!IsUnambiguous(*reader->Parser))
    {
        return Refuse(reader, Code_BadRequest);
    }
    if (HeaderBytes(reader->Request) > reader->Limits.HeaderBytesMax)
    {
        return Refuse(reader, Code_HeadersTooLarge);
    }
    reader->State = ReadState_Body;
    return reader->State;
}

//-----------------------------------------------------------------------------
// [SECTION] Feeding
//-----------------------------------------------------------------------------

// Skips empty lines before the request line (RFC 9112, 2.2).
static void SkipLineEnds(std::string* bytes)
{
    bytes->erase(0, std::min(bytes->find_first_not_of("\r\n"), bytes->size()));
}

static void BeginParser(RequestReader* reader)
{
    reader->Parser = std::make_unique<RequestParser>();
    auto& beast = reader->Parser->Beast;
    beast.header_limit(static_cast<std::uint32_t>(reader->Limits.HeaderBytesMax));
    beast.body_limit(reader->Limits.BodyBytesMax);
    reader->State = ReadState_Headers;
}

// Feeds bytes to Beast up to the end of the headers or, if these are complete, of the request. Removes the consumed bytes.
static boost::beast::error_code FeedParser(RequestParser* parser, std::string* bytes)
{
    auto& beast = parser->Beast;
    const bool headers_first = !beast.is_header_done();
    const auto at_end = [&]()
    {
        return headers_first ? beast.is_header_done() : beast.is_done();
    };
    boost::beast::error_code error;
    size_t taken = 0;
    while (!error && !at_end() && taken < bytes->size())
    {
        taken += beast.put(boost::asio::buffer(bytes->data() + taken, bytes->size() - taken), error);
    }
    bytes->erase(0, taken);
    return error == http::error::need_more ? boost::beast::error_code() : error;
}

static ReadState_ FinishRequest(RequestReader* reader)
{
    reader->Request.Body = std::move(reader->Parser->Beast.get().body());
    reader->Parser = nullptr;
    reader->State = ReadState_Complete;
    return reader->State;
}

void RequestReaderBegin(RequestReader* reader, const CallerLimits& limits)
{
    reader->State = ReadState_Begin;
    reader->Request = CallerRequest();
    reader->WantsContinue = false;
    reader->Limits = limits;
    reader->Parser = nullptr;
}

ReadState_ RequestReaderFeed(RequestReader* reader, std::string* bytes)
{
    if (reader->State == ReadState_Complete || reader->State == ReadState_Refused)
    {
        return reader->State;
    }
    if (reader->State == ReadState_Begin)
    {
        SkipLineEnds(bytes);
        if (bytes->empty())
        {
            return reader->State;
        }
        BeginParser(reader);
    }
    if (reader->State == ReadState_Headers)
    {
        const boost::beast::error_code error = FeedParser(reader->Parser.get(), bytes);
        if (error)
        {
            return Refuse(reader, CodeForError(error));
        }
        if (!reader->Parser->Beast.is_header_done() || CheckHeaders(reader) == ReadState_Refused)
        {
            return reader->State;
        }
    }
    const boost::beast::error_code error = FeedParser(reader->Parser.get(), bytes);
    if (error)
    {
        return Refuse(reader, CodeForError(error));
    }
    if (reader->Parser->Beast.is_done())
    {
        return FinishRequest(reader);
    }
    return bytes->size() > ChunkHeadMax ? Refuse(reader, Code_HeadersTooLarge) : reader->State;
}

} // namespace Winchlink
