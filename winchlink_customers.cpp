// winchlink_customers.cpp: customers, and lookup by the hashes of their keys.

#include "winchlink_internal.h"

#include <cstring>
#include <sodium.h>

namespace Winchlink
{

static KeyHash HashText(const char* purpose, const std::string& text)
{
    KeyHash hash = {};
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, hash.size());
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(purpose), std::strlen(purpose) + 1);
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(text.data()), text.size());
    crypto_generichash_final(&state, hash.data(), hash.size());
    return hash;
}

KeyHash HashKey(const std::string& key)
{
    return HashText("winchlink key", key);
}

std::string FormatKeyHash(const KeyHash& hash)
{
    std::string hex(2 * KeyHashBytes + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
    hex.pop_back(); // The terminating zero.
    return hex;
}

std::optional<KeyHash> ParseKeyHash(const std::string& text)
{
    KeyHash hash = {};
    size_t size = 0;
    const char* end = nullptr;
    const int done = sodium_hex2bin(hash.data(), hash.size(), text.data(), text.size(), nullptr, &size, &end);
    const bool whole = done == 0 && size == hash.size() && end == text.data() + text.size();
    return whole ? std::optional<KeyHash>(hash) : std::nullopt;
}

size_t KeyHashHasher::operator()(const KeyHash& hash) const
{
    size_t value = 0;
    std::memcpy(&value, hash.data(), sizeof value);
    return value;
}

uint64_t HashId(const char* purpose, const std::string& text)
{
    const KeyHash hash = HashText(purpose, text);
    uint64_t id = 0;
    for (size_t n = 0; n < sizeof id; n++)
    {
        id = id << 8 | hash[n];
    }
    return id;
}

Result<void> AddCustomer(Customers* customers, Customer customer)
{
    customer.Id = HashId("winchlink customer", customer.Name);
    const size_t index = customers->List.size();
    if (!customers->ById.emplace(customer.Id, index).second)
    {
        return Error{Code_PlatformBadAnswer, "customer " + customer.Name + ": duplicate name"};
    }
    for (const KeyHash& key : customer.Keys)
    {
        const auto added = customers->ByKey.emplace(key, index);
        if (!added.second && added.first->second != index)
        {
            return Error{Code_PlatformBadAnswer,
                         "customer " + customer.Name + ": shares a key with customer " + customers->List[added.first->second].Name};
        }
    }
    customers->List.push_back(std::move(customer));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

// No constant-time comparison is needed: only hashes are compared, and a partial match reveals nothing about the key.
const Customer* FindCustomer(const Customers& customers, const KeyHash& key)
{
    const auto found = customers.ByKey.find(key);
    return found != customers.ByKey.end() ? &customers.List[found->second] : nullptr;
}

const Customer* FindCustomerById(const Customers& customers, uint64_t id)
{
    const auto found = customers.ById.find(id);
    return found != customers.ById.end() ? &customers.List[found->second] : nullptr;
}

} // namespace Winchlink
