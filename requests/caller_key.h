// caller_key.h: reads the customer's key from a caller's request, and removes it before the request is sent to a target.

#pragma once

#include "headers.h"
#include "winchlink.h"

namespace Winchlink
{

// The hash of the key in "Authorization: Bearer KEY". None if there is no such header, or if several differ.
std::optional<KeyHash> ReadCallerKey(const std::vector<Header>& headers);

// The headers with a key, to be handed on with the request to another instance. WipeHeaders() overwrites them once they are not needed.
std::vector<Header> CallerKeyHeaders(const std::vector<Header>& headers);
void WipeHeaders(std::vector<Header>* headers);

// Removes all Authorization headers, and sets the header `customer_header` to the customer's name in place of any value from the caller. If
// `customer` is empty, the header is only removed.
void ReplaceCallerKey(std::vector<Header>* headers, const std::string& customer_header, const std::string& customer);

} // namespace Winchlink
