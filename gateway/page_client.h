// page_client.h: how the commands for operators ask an instance.

#pragma once

#include "winchlink.h"

namespace Winchlink
{

inline constexpr const char* LiftedText = "lifted\n";    // Answer of POST /lift?request=KEY.
inline constexpr const char* NotHeldText = "not held\n"; // The same: nothing counted against it.

// The body of the page, or Code_StatusUnreachable. `address`: IP:port of the instance's operators' pages.
Result<std::string> AskPage(const std::string& address, const std::string& method, const std::string& target);

} // namespace Winchlink
