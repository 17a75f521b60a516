// command_lift.cpp: winchlink lift: lets a request go that is held because targets ended under it.
//
// Any instance may be asked; it tells the others. What the request ends after that counts anew.

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
        ParseOptions("winchlink lift", argc, argv, table, "ADDRESS (an instance's metricsAddress) REQUEST (see status)");
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    const std::vector<std::string>& words = parsed.Arguments;
    if (words.size() != 2 || !IsAddress(words[0]) || !IsRequestKey(words[1]))
    {
        fmt::print(stderr, "winchlink lift: code {}: name an address, IP:port, and a request as status shows it\n",
                   static_cast<int>(Code_Usage));
        return Exit_Usage;
    }
    const Result<std::string> answer = AskPage(words[0], "POST", "/lift?request=" + words[1]);
    if (!answer)
    {
        fmt::print(stderr, "winchlink lift: code {}: {}\n", static_cast<int>(answer.error().Code), answer.error().Detail);
        return Exit_Usage;
    }
    fmt::print("{}", answer.value());
    return answer.value() == LiftedText ? Exit_Good : Exit_Faults;
}

} // namespace Winchlink
