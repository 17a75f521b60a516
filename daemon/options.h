// options.h: parsing of command lines with popt, shared by all commands.
//
// How to use it: fill a popt table that ends with OPTIONS_TAIL, call ParseOptions(), read the remaining arguments.

#pragma once

#include <optional>
#include <popt.h>
#include <string>
#include <vector>

// The options --help and --version of every command, and the end of the table.
#define OPTIONS_TAIL                                                                                                                       \
    {"version", '\0', POPT_ARG_NONE, nullptr, Winchlink::OptionVersion, "print the version", nullptr}, POPT_AUTOHELP POPT_TABLEEND

namespace Winchlink
{

inline constexpr int OptionVersion = 1000;

struct ParsedOptions
{
    std::vector<std::string> Arguments; // Arguments that are not options.
    std::optional<int> Exit;            // If set, the program exits with this code.
};

// `usage` describes the arguments after the options. Prints errors to standard error.
ParsedOptions ParseOptions(const char* name, int argc, const char** argv, const poptOption* table, const char* usage);

} // namespace Winchlink
