// caller_key.cpp: reads and removes the customer's key in a caller's request.

#include "caller_key.h"

#include <algorithm>
#include <sodium.h>
#include <strings.h>

namespace Winchlink
{

static constexpr const char* KeyHeader = "Authorization";

// The key after the scheme "Bearer"; empty if the scheme is another one.
static std::string BearerKey(const std::string& value)
{
    const std::string scheme = "Bearer";
    const bool bearer = strncasecmp(value.c_str(), scheme.c_str(), scheme.size()) == 0 && value.size() > scheme.size() &&
                        (value[scheme.size()] == ' ' || value[scheme.size()] == '\t');
    return bearer ? TrimBlanks(value.substr(scheme.size())) : "";
}

std::optional<KeyHash> ReadCallerKey(const std::vector<Header>& headers)
{
    std::optional<KeyHash> found;
    for (const Header& header : headers)
    {
        if (!SameHeader(header.Name, KeyHeader))
        {
            continue;
        }
        std::string key = BearerKey(header.Value);
        const KeyHash hash = HashKey(key);
        const bool usable = !key.empty() && (!found || *found == hash);
        sodium_memzero(key.data(), key.size());
        if (!usable)
        {
            return std::nullopt;
        }
        found = hash;
    }
    return found;
}

std::vector<Header> CallerKeyHeaders(const std::vector<Header>& headers)
{
    std::vector<Header> found;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(found),
                 [](const Header& header) { return SameHeader(header.Name, KeyHeader); });
    return found;
}

void WipeHeaders(std::vector<Header>* headers)
{
    for (Header& header : *headers)
    {
        sodium_memzero(header.Value.data(), header.Value.size());
    }
    headers->clear();
}

void ReplaceCallerKey(std::vector<Header>* headers, const std::string& customer_header, const std::string& customer)
{
    const auto replaced = [&](Header& header)
    {
        const bool key = SameHeader(header.Name, KeyHeader);
        if (key)
        {
            sodium_memzero(header.Value.data(), header.Value.size());
        }
        return key || SameHeader(header.Name, customer_header);
    };
    headers->erase(std::remove_if(headers->begin(), headers->end(), replaced), headers->end());
    if (!customer.empty())
    {
        headers->push_back({customer_header, customer});
    }
}

} // namespace Winchlink
