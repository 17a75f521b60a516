// fuzz_request.cpp: libFuzzer target for callers' requests. The result must not depend on how the bytes are split.

#include "request_reader.h"

#include <algorithm>

namespace
{

struct Seen
{
    std::string Requests; // All requests that were read, in order.
    bool Refused = false;
};

// Reads the bytes in pieces. If they end within headers, the headers are terminated, so that the reader accepts or refuses the request.
Seen ReadInPieces(const std::string& bytes, size_t piece)
{
    Winchlink::CallerLimits limits;
    limits.HeaderBytesMax = 512; // Small, so that inputs reach the limits.
    limits.BodyBytesMax = 64;
    Winchlink::RequestReader reader;
    Winchlink::RequestReaderBegin(&reader, limits);
    Seen seen;
    std::string waiting;
    for (size_t at = 0; at < bytes.size(); at += piece)
    {
        waiting += bytes.substr(at, piece);
        while (Winchlink::RequestReaderFeed(&reader, &waiting) == Winchlink::ReadState_Complete)
        {
            const Winchlink::CallerRequest& request = reader.Request;
            seen.Requests += request.Method + ' ' + request.Target + '\n' + request.Body + '\n';
            if (request.Body.size() > limits.BodyBytesMax)
            {
                __builtin_trap();
            }
            Winchlink::RequestReaderBegin(&reader, limits);
        }
    }
    if (reader.State == Winchlink::ReadState_Headers)
    {
        waiting += "\r\n\r\n";
        Winchlink::RequestReaderFeed(&reader, &waiting);
    }
    seen.Refused = reader.State == Winchlink::ReadState_Refused;
    return seen;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    const Seen whole = ReadInPieces(bytes, std::max<size_t>(size, 1));
    const Seen cut = ReadInPieces(bytes, 3);
    if (whole.Requests != cut.Requests || whole.Refused != cut.Refused)
    {
        __builtin_trap();
    }
    return 0;
}
