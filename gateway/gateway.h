// gateway.h: one gateway instance: its parts, its start, its reload and its planned stop.

#pragma once

#include "forward.h"
#include "gateway_settings.h"
#include "store_reader.h"

namespace Winchlink
{

struct Gateway
{
    GatewaySettings Config;
    std::string SettingsFile; // Read again on SIGHUP and when it changes.
    EventLoop Loop;
    Random Rng;
    Client Targets;
    Client Control; // For the store: its connections are kept apart from those to targets.
    StoreReader Store;
    Forwarder Requests;
    Listener Callers;
    Listener Readiness;
    Listener Metrics;
    std::vector<SignalWatch> Signals;
    Timer Second;            // Once a second: settings file, vanished targets.
    Timer Stopping;          // Steps of a planned stop.
    TimeUs StopUs = 0;       // When the stop signal came; 0: not yet.
    int64_t SettingsTime = 0; // When the settings file was last changed.
};

// Starts an instance; on an error nothing runs.
Result<void> GatewayStart(Gateway* gateway, const GatewaySettings& settings);

// Runs until the instance has been stopped by a signal. Returns how many requests were cut.
int GatewayRun(Gateway* gateway);

} // namespace Winchlink
