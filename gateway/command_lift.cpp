// command_lift.cpp: winchlink lift: ends the quarantine of a request under which targets crashed.
//
// The command may be sent to any instance, which informs the others. Crashes after that are counted from zero.

#include "commands.h"
#include "options.h"
#include "page_client.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>

namespace Winchlink
{

static bool IsRequestKey(const std::string& text)
{
    const auto is_hex = [](unsigned char c)
    {
        return std::isxdigit(c) != 0;
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), is_hex);
}

int RunLift(int argc, const char** argv)
{
    const poptOption table[] = {OPTIONS_TAIL};
    const ParsedOptions parsed =
        ParseOptions("winchlink lift", argc, argv, table, "ADDRESS (an instance's metricsAddress) REQUEST (key as shown by status)");
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    const std::vector<std::string>& arguments = parsed.Arguments;
    if (arguments.size() != 2 || !IsAddress(arguments[0]) || !IsRequestKey(arguments[1]))
    {
        fmt::print(stderr, "winchlink lift: code {}: expected an address (IP:port) and a request key as shown by status\n",
                   static_cast<int>(Code_Usage));
        return Exit_Usage;
    }
    const Result<std::string> answer = FetchPage(arguments[0], "POST", "/lift?request=" + arguments[1]);
    if (!answer)
    {
        fmt::print(stderr, "winchlink lift: code {}: {}\n", static_cast<int>(answer.error().Code), answer.error().Detail);
        return Exit_Usage;
    }
    fmt::print("{}", answer.value());
    return answer.value() == LiftedText ? Exit_Good : Exit_Faults;
}

} // namespace Winchlink
