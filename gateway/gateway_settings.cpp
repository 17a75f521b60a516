// gateway_settings.cpp: the settings of a gateway instance, from a JSON file.

#include "gateway_settings.h"

#include "winchlink_json.h"

#include <cmath>

namespace Winchlink
{

static constexpr int DescriptorsMost = 1000000;
static constexpr int DescriptorsKept = 300; // For files (200, says the platform), the store, peers, and connections to targets.
static constexpr double SecondsMost = 3600;

static void ReadSeconds(ObjectReader* r, const char* key, TimeUs* out)
{
    double seconds = static_cast<double>(*out) / static_cast<double>(UsPerSecond);
    ReadRealBetween(r, key, false, 0, SecondsMost, &seconds);
    *out = std::llround(seconds * static_cast<double>(UsPerSecond));
}

CheckedGatewaySettings ParseGatewaySettings(const std::string& json)
{
    CheckedGatewaySettings checked;
    GatewaySettings& out = checked.Value;
    const JsonPtr root = LoadJson(json, SettingsCodes, &checked.Faults);
    ObjectReader r;
    if (!root || !OpenObject(root.get(), "", SettingsCodes, &checked.Faults, &r))
    {
        return checked;
    }
    ReadText(&r, "instance", true, &out.Instance);
    ReadText(&r, "dataCentre", true, &out.DataCentre);
    ReadAddress(&r, "callerAddress", true, &out.CallerAddress);
    ReadAddress(&r, "readyAddress", true, &out.ReadyAddress);
    ReadAddress(&r, "metricsAddress", false, &out.MetricsAddress);
    ReadAddress(&r, "peerAddress", false, &out.PeerAddress);
    ReadAddress(&r, "storeAddress", true, &out.StoreAddress);
    ReadAddresses(&r, "peers", &out.Peers);
    int descriptors = out.ConnectionsMost + DescriptorsKept;
    ReadIntBetween(&r, "descriptorsMost", false, DescriptorsKept + 1, DescriptorsMost, &descriptors);
    out.ConnectionsMost = descriptors - DescriptorsKept;
    ReadSeconds(&r, "graceS", &out.GraceUs);
    ReadSeconds(&r, "repeatWindowS", &out.RepeatWindowUs);
    ReadRealBetween(&r, "repeatShare", false, 0, 1, &out.RepeatShare);
    ReadLevel(&r, &out.Level);
    ReportUnknownKeys(r);
    return checked;
}

} // namespace Winchlink
