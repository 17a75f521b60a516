// settings.cpp: the settings of one instance, from a JSON file.

#include "settings.h"

#include "winchlink_json.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <limits>
#include <sodium.h>
#include <sstream>

namespace Winchlink
{

static constexpr int IntMax = std::numeric_limits<int>::max();

void ReadAddress(ObjectReader* r, const char* key, bool required, std::string* out)
{
    const size_t before = r->Faults->size();
    ReadText(r, key, required, out);
    const bool given = required || !out->empty();
    if (r->Faults->size() == before && given && !IsAddress(*out))
    {
        AddFault(*r, r->Codes.OutOfRange, key, "expected IP:port, found \"" + *out + "\"");
    }
}

void ReadAddresses(ObjectReader* r, const char* key, std::vector<std::string>* out)
{
    ReadTexts(r, key, false, out);
    for (size_t n = 0; n < out->size(); n++)
    {
        if (!IsAddress((*out)[n]))
        {
            AddFault(*r, r->Codes.OutOfRange, ElementPath(key, n), "expected IP:port, found \"" + (*out)[n] + "\"");
        }
    }
}

// Reads a key of 64 hexadecimal digits. False if there is none.
static bool ReadMessageKey(ObjectReader* r, const char* key, bool required, std::array<uint8_t, KeySize>* out)
{
    const size_t before = r->Faults->size();
    std::string hex;
    ReadText(r, key, required, &hex);
    if (r->Faults->size() != before || (hex.empty() && !required))
    {
        return false;
    }
    size_t size = 0;
    const bool ok = sodium_hex2bin(out->data(), out->size(), hex.data(), hex.size(), nullptr, &size, nullptr) == 0;
    if (!ok || size != KeySize || hex.size() != 2 * KeySize)
    {
        AddFault(*r, r->Codes.OutOfRange, key, "expected 64 hexadecimal digits");
        return false;
    }
    return true;
}

static void ReadKeys(ObjectReader* r, MessageKeys* out)
{
    ReadMessageKey(r, "key", true, &out->Current);
    std::array<uint8_t, KeySize> previous = {};
    if (ReadMessageKey(r, "previousKey", false, &previous))
    {
        out->Previous = previous;
    }
}

void ReadLevel(ObjectReader* r, LogLevel_* out)
{
    std::string name = LogLevelName(*out);
    ReadText(r, "logLevel", false, &name);
    const std::optional<LogLevel_> level = ParseLogLevel(name);
    if (!level)
    {
        AddFault(*r, r->Codes.OutOfRange, "logLevel", "expected debug, info, warn or error");
        return;
    }
    *out = *level;
}

static void ReadAll(ObjectReader* r, Settings* out)
{
    ReadAddress(r, "trafficAddress", true, &out->TrafficAddress);
    ReadAddress(r, "controlAddress", true, &out->ControlAddress);
    ReadAddress(r, "advertisedAddress", false, &out->AdvertisedAddress);
    ReadAddress(r, "operatorAddress", true, &out->OperatorAddress);
    ReadAddress(r, "platformAddress", true, &out->PlatformAddress);
    ReadText(r, "dataCentre", true, &out->DataCentre);
    ReadAddresses(r, "peers", &out->Peers);
    ReadKeys(r, &out->Keys);
    ReadIntBetween(r, "number", true, 0, IntMax, &out->Number);
    ReadIntBetween(r, "numbers", false, 1, IntMax, &out->Numbers);
    ReadIntBetween(r, "clockGuardMs", false, 1, 10000, &out->ClockGuardMs);
    ReadIntBetween(r, "connectionsMax", false, 1, 100000, &out->ConnectionsMax);
    ReadIntBetween(r, "requestsMax", false, 1, 100000, &out->RequestsMax);
    ReadIntBetween(r, "bodyMaxBytes", false, 1, IntMax, &out->BodyMaxBytes);
    ReadIntBetween(r, "answerMaxBytes", false, 1, IntMax, &out->AnswerMaxBytes);
    ReadIntBetween(r, "drainDelayMs", false, 0, 600000, &out->DrainDelayMs);
    ReadIntBetween(r, "drainMaxMs", false, 0, 600000, &out->DrainMaxMs);
    ReadIntBetween(r, "viewMax", false, 8, 1024, &out->ViewMax);
    ReadLevel(r, &out->Level);
    if (out->AdvertisedAddress.empty())
    {
        out->AdvertisedAddress = out->ControlAddress;
    }
    if (out->Number >= out->Numbers)
    {
        AddFault(*r, r->Codes.OutOfRange, "number", "must be below numbers");
    }
}

CheckedSettings ParseSettings(const std::string& json)
{
    CheckedSettings checked;
    const JsonPtr root = LoadJson(json, SettingsCodes, &checked.Faults);
    ObjectReader r;
    if (root && OpenObject(root.get(), "", SettingsCodes, &checked.Faults, &r))
    {
        ReadAll(&r, &checked.Value);
        ReportUnknownKeys(r);
    }
    return checked;
}

Result<std::string> ReadFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    if (!file)
    {
        return Error{Code_SettingsUnreadable, path + ": " + std::strerror(errno)};
    }
    return content.str();
}

} // namespace Winchlink
