// settings.cpp: the settings of one instance, from a JSON file.

#include "settings.h"

#include "winchlink_internal.h"

#include <cerrno>
#include <cmath>
#include <cstring>
#include <fstream>
#include <sstream>

namespace Winchlink
{

static constexpr int CrashesMaxLimit = 64; // The quarantine records at most this many crashes of a request.
static constexpr int DescriptorsMax = 1000000;
static constexpr int DescriptorsReserved = 300; // Reserved for files, the store, peers and targets.
static constexpr double SecondsMax = 3600;
static constexpr int PortMax = 65535;
static constexpr TimeUs QuotaWindowMinUs = UsPerSecond; // Instances need time to exchange their counts.
static constexpr double QuotaSlackMax = 1e6;
static constexpr double LinkMbpsMin = 0.001;
static constexpr double LinkMbpsMax = 1e6;

static void ReadSeconds(ObjectReader* r, const char* key, TimeUs* out)
{
    double seconds = static_cast<double>(*out) / static_cast<double>(UsPerSecond);
    ReadRealBetween(r, key, false, 0, SecondsMax, &seconds);
    *out = std::llround(seconds * static_cast<double>(UsPerSecond));
}

static void ReadAddress(ObjectReader* r, const char* key, bool required, std::string* out)
{
    const size_t before = r->Faults->size();
    ReadText(r, key, required, out);
    const bool given = required || !out->empty();
    if (r->Faults->size() == before && given && !IsAddress(*out))
    {
        AddFault(*r, r->Codes.OutOfRange, key, "expected IP:port, found \"" + *out + "\"");
    }
}

static void ReadIp(ObjectReader* r, const char* key, std::string* out)
{
    ReadText(r, key, false, out);
    if (!out->empty() && !IsAddress(*out + ":1"))
    {
        AddFault(*r, r->Codes.OutOfRange, key, "expected an IPv4 address, found \"" + *out + "\"");
    }
}

static void ReadAddresses(ObjectReader* r, const char* key, std::vector<std::string>* out)
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

static void ReadLevel(ObjectReader* r, LogLevel_* out)
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
    ReadText(r, "instance", true, &out->Instance);
    ReadText(r, "dataCentre", true, &out->DataCentre);
    ReadAddress(r, "callerAddress", true, &out->CallerAddress);
    ReadAddress(r, "readyAddress", true, &out->ReadyAddress);
    ReadAddress(r, "metricsAddress", false, &out->MetricsAddress);
    ReadAddress(r, "peerAddress", false, &out->PeerAddress);
    ReadIp(r, "sourceIp", &out->SourceIp);
    ReadAddress(r, "storeAddress", true, &out->StoreAddress);
    ReadAddresses(r, "peers", &out->Peers);
    int descriptors = out->ConnectionsMax + DescriptorsReserved;
    ReadIntBetween(r, "descriptorsMost", false, DescriptorsReserved + 1, DescriptorsMax, &descriptors);
    out->ConnectionsMax = descriptors - DescriptorsReserved;
    ReadSeconds(r, "graceS", &out->GraceUs);
    ReadSeconds(r, "repeatWindowS", &out->RetryWindowUs);
    ReadRealBetween(r, "repeatShare", false, 0, 1, &out->RetryShare);
    ReadRealBetween(r, "firstTryShare", false, 0, 1, &out->FirstTryShare);
    ReadIntBetween(r, "endsMost", false, 1, CrashesMaxLimit, &out->CrashesMax);
    ReadSeconds(r, "holdS", &out->QuarantineUs);
    ReadIntBetween(r, "datagramPort", false, 0, PortMax, &out->DatagramPort);
    ReadSeconds(r, "quotaWindowS", &out->QuotaWindowUs);
    if (out->QuotaWindowUs < QuotaWindowMinUs)
    {
        AddFault(*r, r->Codes.OutOfRange, "quotaWindowS", "expected at least 1 second");
    }
    ReadRealBetween(r, "quotaOverage", false, 0, 1, &out->QuotaOverage);
    ReadRealBetween(r, "quotaSlack", false, 0, QuotaSlackMax, &out->QuotaSlack);
    ReadRealBetween(r, "linkMbps", false, 0, LinkMbpsMax, &out->LinkMbps);
    if (out->LinkMbps > 0 && out->LinkMbps < LinkMbpsMin)
    {
        AddFault(*r, r->Codes.OutOfRange, "linkMbps", "expected 0 (unknown) or at least 0.001");
    }
    ReadBool(r, "shareLoad", false, &out->ShareLoad);
    out->DivideLoad = out->ShareLoad;
    ReadBool(r, "divideLoad", false, &out->DivideLoad);
    if (out->DivideLoad && !out->ShareLoad)
    {
        AddFault(*r, r->Codes.OutOfRange, "divideLoad", "needs shareLoad");
    }
    ReadLevel(r, &out->Level);
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

CheckedSettings ReadSettings(const std::string& path)
{
    const Result<std::string> json = ReadFile(path);
    if (!json)
    {
        CheckedSettings unreadable;
        unreadable.Faults.push_back({json.error().Code, "", json.error().Detail});
        return unreadable;
    }
    return ParseSettings(json.value());
}

} // namespace Winchlink
