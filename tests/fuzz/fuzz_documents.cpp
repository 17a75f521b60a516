// fuzz_documents.cpp: libFuzzer target: tables, rows, indexes and settings, as operators and the platform write them.

#include "settings.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    const Winchlink::CheckedTable checked = Winchlink::ParseTable(text);
    if (checked.Faults.empty())
    {
        // What was read can be written and read again, and is the same.
        const Winchlink::CheckedTable again = Winchlink::ParseTable(Winchlink::FormatTable(checked.Value));
        if (!again.Faults.empty() || !(again.Value.Version == checked.Value.Version))
        {
            __builtin_trap();
        }
    }
    (void)Winchlink::ParseRow(text);
    (void)Winchlink::ParseIndex(text);
    (void)Winchlink::ParseSettings(text);
    return 0;
}
