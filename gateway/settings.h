// settings.h: the settings of one instance, from a JSON file.
//
// docs/OPERATORS.md and examples/settings.json describe each key; deploy/settings.json is a template for deployments. All faults of a file
// are reported together.

#pragma once

#include "log.h"

namespace Winchlink
{

struct Settings
{
    std::string Instance;                    // Name of the instance in logs and request ids.
    std::string DataCentre;                  // Data centre of the instance.
    std::string CallerAddress;               // IP:port for callers.
    std::string ReadyAddress;                // IP:port for readiness checks of the balancer in front.
    std::string MetricsAddress;              // IP:port of the metrics and status pages; empty: none.
    std::string PeerAddress;                 // IP:port for other instances; empty: none.
    std::string SourceIp;                    // IP from which connections to targets are opened; empty: chosen by the system.
    std::string StoreAddress;                // IP:port of the platform's store or of the table service.
    std::vector<std::string> Peers;          // Peer addresses of the seeds; some may be out of date.
    int ConnectionsMax = 1024;               // Maximum open connections of callers.
    TimeUs GraceUs = 6 * UsPerSecond;        // Time from the stop signal until the process is killed.
    TimeUs RetryWindowUs = 10 * UsPerSecond; // Window of the retry budget.
    double RetryShare = 0.2;                 // Retries as a share of a service's requests in a window.
    double FirstTryShare = 0.25;             // Part of them for first tries whose callers can come back; 1: as much as all others.
    int CrashesMax = 3;                      // A request is quarantined once it has crashed this many targets.
    TimeUs QuarantineUs = 600 * UsPerSecond; // Duration of a request's first quarantine.
    int DatagramPort = 0;                    // Port for datagrams between instances, on the IP of PeerAddress; the same for all; 0: none.
    TimeUs QuotaWindowUs = 5 * UsPerSecond;  // Window in which customers' requests are counted.
    double QuotaOverage = 0.25;              // Share of its quota by which a customer may exceed it in a window.
    double QuotaSlack = 20;                  // Requests by which a customer may exceed its quota in a window, in addition.
    double LinkMbps = 0;                     // Bandwidth of the machine's link; 0: unknown.
    bool ShareLoad = true;                   // Instances share load reports, if there are a datagram port and a peer address.
    bool DivideLoad = true;                  // Requests go to other data centres that have more room; needs ShareLoad.
    LogLevel_ Level = LogLevel_Info;         // Minimum level of log lines.
};

struct CheckedSettings
{
    Settings Value; // Meaningful only when Faults is empty.
    std::vector<Fault> Faults;
};

CheckedSettings ParseSettings(const std::string& json);

// The contents of a file, or Code_SettingsUnreadable.
Result<std::string> ReadFile(const std::string& path);

// Reads and checks a settings file. A file that can't be read is reported as a fault.
CheckedSettings ReadSettings(const std::string& path);

} // namespace Winchlink
