// request_key.cpp: hashes a request to a key that is independent of its request id.
//
// Index of this file:
// [SECTION] Hashing

#include "request_key.h"

#include <sodium.h>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Hashing
//-----------------------------------------------------------------------------

static constexpr size_t BodyHashed = MiB;                        // Bytes of a body that are hashed; bounds the time on the event loop.
static constexpr size_t KeyBytes = crypto_generichash_BYTES_MIN; // 16; makes accidental collisions negligible.

// The length comes first, so that different sequences of parts never hash the same bytes.
static void AddPart(crypto_generichash_state* state, const std::string& part)
{
    const uint64_t size = part.size();
    crypto_generichash_update(state, reinterpret_cast<const unsigned char*>(&size), sizeof size);
    crypto_generichash_update(state, reinterpret_cast<const unsigned char*>(part.data()), part.size());
}

static void AddHeader(crypto_generichash_state* state, const Exchange& exchange, const std::string& name)
{
    const std::string* value = FindHeader(exchange.Headers, name);
    AddPart(state, value != nullptr ? *value : "");
}

std::string RequestKey(const Exchange& exchange, const std::string& customer_header)
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, KeyBytes);
    AddPart(&state, exchange.Method);
    AddPart(&state, exchange.Target);
    for (const std::string& name : {std::string("Host"), std::string("Authorization"), std::string("Cookie"), customer_header})
    {
        AddHeader(&state, exchange, name);
    }
    AddPart(&state, exchange.Body.substr(0, BodyHashed));
    AddPart(&state, std::to_string(exchange.Body.size()));
    std::array<unsigned char, KeyBytes> hash = {};
    crypto_generichash_final(&state, hash.data(), hash.size());
    std::array<char, 2 * KeyBytes + 1> hex = {};
    sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
    return hex.data();
}

} // namespace Winchlink
