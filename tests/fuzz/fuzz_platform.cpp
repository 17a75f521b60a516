// fuzz_platform.cpp: libFuzzer target: everything that the adapter to the users' platform reads, and load reports.

#include "wire.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    const Winchlink::StoreDialect dialect = Winchlink::PlatformStoreDialect();
    (void)dialect.ReadPage(text);
    (void)dialect.ReadChanges(text);
    Winchlink::StoreItem item;
    item.Key = "servers/fuzzed";
    item.Value = text;
    (void)Winchlink::PlatformReadTarget(item, 0);
    (void)Winchlink::ParseLoadReport(text);
    const Winchlink::Result<Winchlink::RoutePlan> plan = Winchlink::PlatformReadPlan(text);
    if (plan && plan.value().Version == 0)
    {
        __builtin_trap(); // Version 0 means that there is no plan.
    }
    return 0;
}
