// fuzz_permit.cpp: libFuzzer target: the three messages about permits, decoded and taken in by a book of permits.

#include "winchlink_internal.h"

static constexpr Winchlink::TimeUs Now = 1000 * Winchlink::UsPerSecond;
static constexpr int Limit = 10;

// A book with one request to a peer in progress.
static Winchlink::Permits MakeBook(const Winchlink::Endpoint& peer)
{
    Winchlink::ServiceRow row;
    row.Name = "r";
    row.MaxConcurrent = Limit;
    Winchlink::Permits book;
    Winchlink::PermitsFollow(&book, row, {0, 1, 0, 0}, 0);
    book.Waiting = 1;
    Winchlink::PermitsNextAsk(&book, {peer}, Now);
    return book;
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    if (size == 0)
    {
        return 0;
    }
    const char type = static_cast<char>(Winchlink::MessageType_PermitRequest + data[0] % 3);
    std::string bytes = {static_cast<char>(Winchlink::ProtocolVersion), type};
    bytes.append(reinterpret_cast<const char*>(data + 1), size - 1);
    const Winchlink::Result<Winchlink::Message> decoded = Winchlink::DecodeUnmarked(bytes);
    if (!decoded)
    {
        return 0;
    }
    const Winchlink::Message& message = decoded.value();
    Winchlink::Permits book = MakeBook(message.Head.Address);
    Winchlink::PermitsLend(&book, message.Head, message.Ask, Now);
    Winchlink::PermitsLease(&book, message.Head, message.Lease, Now);
    Winchlink::PermitsReturned(&book, message.Head, message.Return);
    Winchlink::PermitsTick(&book, Now);
    int lent = 0;
    for (const Winchlink::LentPermits& lease : book.Lent)
    {
        lent += lease.Count;
    }
    if (lent > Limit || book.Borrowed.size() > 1)
    {
        __builtin_trap();
    }
    return 0;
}
