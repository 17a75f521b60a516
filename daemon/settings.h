// settings.h: the settings of one instance, from a JSON file.
//
// docs/OPERATORS.md and examples/settings.json describe each key. All faults of a file are reported at once.

#pragma once

#include "log.h"
#include "winchlink.h"

namespace Winchlink
{

struct Settings
{
    std::string TrafficAddress;            // IP:port where callers connect.
    std::string ControlAddress;            // IP:port for peers, UDP and TCP.
    std::string AdvertisedAddress;         // IP:port at which peers reach ControlAddress; the same if not set.
    std::string OperatorAddress;           // IP:port of the operators' pages.
    std::string PlatformAddress;           // IP:port of the platform's service.
    std::string DataCentre;                // Own data centre.
    std::vector<std::string> Peers;        // Control addresses to try first; may be empty.
    MessageKeys Keys;                      // Message keys.
    int Number = 0;                        // Own number, unique in the fleet: shares of budgets and limits.
    int Numbers = 32;                      // Numbers in the fleet.
    int ClockGuardMs = 50;                 // Wall clocks of the fleet differ by less.
    int ConnectionsMax = 1024;             // Callers' connections.
    int RequestsMax = 512;                 // Requests in progress.
    int BodyMaxBytes = 1024 * 1024;        // Largest request body.
    int AnswerMaxBytes = 16 * 1024 * 1024; // Largest answer body.
    int DrainDelayMs = 2000;               // After the stop signal: not ready, but still serving.
    int DrainMaxMs = 30000;                // Then requests in progress get so long at the most.
    int ViewMax = 64;                      // Peers remembered.
    LogLevel_ Level = LogLevel_Info;       // Least level of log lines.
};

struct CheckedSettings
{
    Settings Value;            // Meaningful only when Faults is empty.
    std::vector<Fault> Faults; // All faults.
};

CheckedSettings ParseSettings(const std::string& json);

// Parts that settings of any kind share.
struct ObjectReader;
void ReadAddress(ObjectReader* r, const char* key, bool required, std::string* out);
void ReadAddresses(ObjectReader* r, const char* key, std::vector<std::string>* out);
void ReadLevel(ObjectReader* r, LogLevel_* out);

// The whole file, or Code_SettingsUnreadable.
Result<std::string> ReadFile(const std::string& path);

} // namespace Winchlink
