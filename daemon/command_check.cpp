// command_check.cpp: winchlink check and winchlink pack: what operators run before they publish a table.

#include "commands.h"
#include "options.h"
#include "settings.h"
#include "winchlink_json.h"

#include <fmt/format.h>
#include <fstream>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] check
//-----------------------------------------------------------------------------

// A document with a key "rows" is meant as a table, any other as settings.
static bool LooksLikeTable(const std::string& json)
{
    std::vector<Fault> faults;
    const JsonPtr root = LoadJson(json, TableCodes, &faults);
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

//-----------------------------------------------------------------------------
// [SECTION] pack
//-----------------------------------------------------------------------------

static bool WriteFile(const std::string& path, const std::string& content)
{
    std::ofstream file(path, std::ios::binary);
    file << content;
    file.close();
    if (!file)
    {
        fmt::print(stderr, "winchlink pack: {} can't be written\n", path);
    }
    return static_cast<bool>(file);
}

static std::optional<Table> LoadTable(const std::string& file)
{
    const Result<std::string> json = ReadFile(file);
    CheckedTable checked;
    if (json)
    {
        checked = ParseTable(json.value());
    }
    else
    {
        checked.Faults.push_back({json.error().Code, "", json.error().Detail});
    }
    for (const Fault& fault : checked.Faults)
    {
        fmt::print(stderr, "{}: {}: code {}: {}\n", file, fault.Where, static_cast<int>(fault.Code), fault.Detail);
    }
    return checked.Faults.empty() ? std::optional<Table>(checked.Value) : std::nullopt;
}

static int Pack(const std::string& file, const char* previous_file, const std::string& folder)
{
    std::optional<Table> next = LoadTable(file);
    const std::optional<Table> previous = previous_file != nullptr ? LoadTable(previous_file) : Table();
    if (!next || !previous)
    {
        return Exit_Faults;
    }
    if (next->Version.Revision <= previous->Version.Revision)
    {
        fmt::print(stderr, "{}: code {}: the revision must be above {}\n", file, static_cast<int>(Code_TableOlder),
                   previous->Version.Revision);
        return Exit_Faults;
    }
    if (previous_file != nullptr)
    {
        AssignRowRevisions(*previous, &*next);
    }
    bool good = WriteFile(folder + "/index", FormatIndex(*next));
    good = WriteFile(folder + "/table", FormatTable(*next)) && good;
    for (const ServiceRow& row : next->Rows)
    {
        good = WriteFile(folder + "/row." + row.Name, FormatRow(row)) && good;
    }
    return good ? Exit_Good : Exit_Usage;
}

int RunPack(int argc, const char** argv)
{
    char* previous = nullptr;
    char* folder = nullptr;
    const poptOption table[] = {{"previous", 'p', POPT_ARG_STRING, &previous, 0,
                                 "table that was published last; rows that did not change keep their revision", "FILE"},
                                {"out", 'o', POPT_ARG_STRING, &folder, 0, "folder for the values: index, row.NAME and table", "FOLDER"},
                                OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchlink pack", argc, argv, table, "--out FOLDER [--previous FILE] TABLE");
    const std::unique_ptr<char, decltype(&free)> previous_owner(previous, free);
    const std::unique_ptr<char, decltype(&free)> folder_owner(folder, free);
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    if (folder == nullptr || parsed.Arguments.size() != 1)
    {
        fmt::print(stderr, "winchlink pack: code {}: --out FOLDER and one table are needed\n", static_cast<int>(Code_Usage));
        return Exit_Usage;
    }
    return Pack(parsed.Arguments[0], previous, folder);
}

} // namespace Winchlink
