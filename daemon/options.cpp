// options.cpp: parsing of command lines with popt, shared by all commands.

#include "options.h"

#include "commands.h"
#include "winchlink.h"

#include <fmt/format.h>
#include <memory>

namespace Winchlink
{

ParsedOptions ParseOptions(const char* name, int argc, const char** argv, const poptOption* table, const char* usage)
{
    using Context = std::unique_ptr<std::remove_pointer_t<poptContext>, decltype(&poptFreeContext)>;
    const Context context(poptGetContext(name, argc, argv, table, 0), poptFreeContext);
    poptSetOtherOptionHelp(context.get(), usage);
    ParsedOptions parsed;
    int option = 0;
    while ((option = poptGetNextOpt(context.get())) > 0)
    {
        if (option == OptionVersion)
        {
            fmt::print("winchlink {}\n", Version);
            parsed.Exit = Exit_Good;
            return parsed;
        }
    }
    if (option < -1)
    {
        fmt::print(stderr, "{}: code {}: {}: {}\n", name, static_cast<int>(Code_Usage),
                   poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(option));
        parsed.Exit = Exit_Usage;
        return parsed;
    }
    while (const char* argument = poptGetArg(context.get()))
    {
        parsed.Arguments.emplace_back(argument);
    }
    return parsed;
}

} // namespace Winchlink
