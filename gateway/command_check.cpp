// command_check.cpp: winchlink check: validates tables and settings files, before a table is published or an instance is started.

#include "commands.h"
#include "options.h"
#include "settings.h"
#include "winchlink_internal.h"

#include <algorithm>
#include <fmt/format.h>

namespace Winchlink
{

// A document with a key "rows" is checked as a table, any other as settings.
static bool LooksLikeTable(const std::string& json)
{
    std::vector<Fault> unreadable;
    std::vector<Fault> faults;
    const JsonPtr root = LoadTable(json, &unreadable, &faults);
    return root && json_object_get(root.get(), "rows") != nullptr;
}

static int CheckFile(const std::string& file)
{
    const Result<std::string> json = ReadFile(file);
    if (!json)
    {
        fmt::print("{}: code {}: {}\n", file, static_cast<int>(json.error().Code), json.error().Detail);
        return Exit_Usage;
    }
    const bool table = LooksLikeTable(json.value());
    const std::vector<Fault> faults = table ? ParseTable(json.value()).Faults : ParseSettings(json.value()).Faults;
    for (const Fault& fault : faults)
    {
        fmt::print("{}: {}: code {} {}: {}\n", file, fault.Where, static_cast<int>(fault.Code), FindCode(fault.Code).Name, fault.Detail);
    }
    if (faults.empty())
    {
        fmt::print("{}: good {}\n", file, table ? "table" : "settings");
    }
    return faults.empty() ? Exit_Good : Exit_Faults;
}

int RunCheck(int argc, const char** argv)
{
    const poptOption table[] = {OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchlink check", argc, argv, table, "FILE...");
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    if (parsed.Arguments.empty())
    {
        fmt::print(stderr, "winchlink check: code {}: name at least one file\n", static_cast<int>(Code_Usage));
        return Exit_Usage;
    }
    int worst = Exit_Good;
    for (const std::string& file : parsed.Arguments)
    {
        worst = std::max(worst, CheckFile(file));
    }
    return worst;
}

} // namespace Winchlink
