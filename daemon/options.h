// options.h: command lines with popt, the same way for every command.
//
// How to use it: fill a popt table that ends with OPTIONS_TAIL, call ParseOptions(), read the remaining arguments.

#pragma once

#include <optional>
#include <popt.h>
#include <string>
#include <vector>

// Help and version for every command, then the end of the table.
#define OPTIONS_TAIL                                                                                                                       \
    {"version", '\0', POPT_ARG_NONE, nullptr, Winchlink::OptionVersion, "print the version", nullptr}, POPT_AUTOHELP POPT_TABLEEND

namespace Winchlink
{

inline constexpr int OptionVersion = 1000;

struct ParsedOptions
{
    std::vector<std::string> Arguments; // What is not an option.
    std::optional<int> Exit;            // Set: end now, with this exit code.
};

// `usage` describes the arguments after the options. Prints faults itself.
ParsedOptions ParseOptions(const char* name, int argc, const char** argv, const poptOption* table, const char* usage);

} // namespace Winchlink
