// fuzz_page.cpp: libFuzzer target for the pages of store items that instances send each other.

#include "relay.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    const Winchlink::Result<Winchlink::StorePage> page = Winchlink::DecodePage(bytes);
    if (page)
    {
        const Winchlink::Result<Winchlink::StorePage> again = Winchlink::DecodePage(Winchlink::EncodePage(page.value()));
        if (!again || again.value().Revision != page.value().Revision || again.value().Items.size() != page.value().Items.size())
        {
            __builtin_trap();
        }
    }
    return 0;
}
