// request_key.h: a key that identifies equal requests, independent of their request ids.
//
// A caller that retries a request uses a new request id, and may send it to another instance. The key stays the same, so that all instances
// recognise the request.

#pragma once

#include "listener.h"

namespace Winchlink
{

// A 16-byte BLAKE2b hash, as 32 hexadecimal digits, of method, host, path and query, credentials (Authorization and Cookie), the customer,
// and the size and first MiB of the body. Excluded is what differs between retries: request id, deadline, connection and the caller's
// address. Callers without credentials that send equal requests share a key. The hash is cryptographic: a request can't be forged to match
// the key of another, and bodies can't be recovered from it.
// `customer_header` is the header with the customer's name, which replaces the credentials where there are customers.
std::string RequestKey(const Exchange& exchange, const std::string& customer_header = "");

} // namespace Winchlink
