// fuzz_documents.cpp: libFuzzer target for tables, rows and settings, and for the table store's answers.

#include "settings.h"
#include "table_adapter.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    const Winchlink::CheckedTable checked = Winchlink::ParseTable(text);
    if (checked.Faults.empty())
    {
        // A valid table is the same after formatting and parsing it again.
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
        (void)adapter.Read({page.value().Items, page.value().Revision, true, 0});
    }
    return 0;
}
