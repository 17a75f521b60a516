// page_client.h: HTTP client of the operators' commands (status, lift).

#pragma once

#include "winchlink.h"

namespace Winchlink
{

inline constexpr const char* LiftedText = "lifted\n";    // Answer of POST /lift?request=KEY.
inline constexpr const char* NotHeldText = "not held\n"; // The same, if the request was not quarantined.

// Sends a request and returns the body of the answer, or Code_StatusUnreachable. `address`: the instance's metricsAddress.
Result<std::string> FetchPage(const std::string& address, const std::string& method, const std::string& target);

} // namespace Winchlink
