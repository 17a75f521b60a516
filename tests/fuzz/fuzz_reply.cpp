// fuzz_reply.cpp: libFuzzer target: table replies, and the deltas they carry, applied to a table.

#include "winchlink_internal.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    std::string bytes = {static_cast<char>(Winchlink::ProtocolVersion), static_cast<char>(Winchlink::MessageType_TableReply)};
    bytes.append(reinterpret_cast<const char*>(data), size);
    const Winchlink::Result<Winchlink::Message> message = Winchlink::DecodeUnmarked(bytes);
    if (!message)
    {
        return 0;
    }
    const Winchlink::TableDelta& delta = message.value().Reply.Delta;
    const Winchlink::Result<Winchlink::TablePtr> applied = Winchlink::ApplyDelta(Winchlink::Table(), delta);
    if (applied && !(applied.value()->Version == delta.To))
    {
        __builtin_trap();
    }
    return 0;
}
