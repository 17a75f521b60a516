// fuzz_heartbeat.cpp: libFuzzer target: heartbeats and table requests, as they come from the wire behind their mark.

#include "winchlink_internal.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    // The first byte picks the type, so that the fuzzer need not find the prefix.
    if (size < 1)
    {
        return 0;
    }
    std::string bytes = {static_cast<char>(Winchlink::ProtocolVersion),
                         static_cast<char>(data[0] % 2 == 0 ? Winchlink::MessageType_Heartbeat : Winchlink::MessageType_TableRequest)};
    bytes.append(reinterpret_cast<const char*>(data + 1), size - 1);
    const Winchlink::Result<Winchlink::Message> message = Winchlink::DecodeUnmarked(bytes);
    if (message && message.value().Beat.Samples.size() > Winchlink::SamplesMax)
    {
        __builtin_trap();
    }
    return 0;
}
