// fuzz_documents.cpp: libFuzzer target: tables, rows and settings as operators write them, and the answers of the service that serves them.

#include "settings.h"
#include "table_adapter.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    const Winchlink::CheckedTable checked = Winchlink::ParseTable(text);
    if (checked.Faults.empty())
    {
        // What was read can be written and read again, and is the same.
        const std::string written = Winchlink::FormatTable(checked.Value);
        const Winchlink::CheckedTable again = Winchlink::ParseTable(written);
        if (!again.Faults.empty() || Winchlink::FormatTable(again.Value) != written)
        {
            __builtin_trap();
        }
    }
    (void)Winchlink::ParseRow(text);
    (void)Winchlink::ParseSettings(text);
    const Winchlink::Adapter adapter = Winchlink::TableAdapter();
    const Winchlink::Result<Winchlink::StorePage> page = adapter.Dialect.ReadPage(text);
    if (page)
    {
        (void)adapter.Read({page.value().Items, page.value().At, true, 0});
    }
    return 0;
}
