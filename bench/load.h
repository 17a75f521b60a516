// load.h: the load generator: plays a trace of calls and records what came back.
//
// Arrivals are drawn from a seed and kept to, whatever the answers do (an open loop); latency counts from the planned arrival, so that a
// slow answer is not hidden by calls that were sent late because of it.

#pragma once

#include "bench.h"

namespace Winchlink
{

// A kind of call in the mix.
struct LoadKind
{
    std::string Name;      // For the report.
    std::string Method;    // GET or POST.
    std::string Path;      // Sent as it is.
    double PerSecond = 0;  // Mean arrivals.
    int DeadlineMs = 1000; // Sent with each call.
};

struct LoadPlan
{
    std::vector<std::string> Entries; // Instances' traffic addresses; calls go to them in turn.
    std::vector<LoadKind> Kinds;
    double Seconds = 5;
    uint64_t Seed = 1;
    int Workers = 128;             // Calls in progress at the most.
    std::string IdPrefix = "load"; // Request ids start so.
};

struct LoadRecord
{
    size_t Kind = 0;           // Index into the plan's kinds.
    std::string Id;            // Request id.
    TimeUs DeadlineUs = 0;     // From the planned arrival.
    TimeUs PlannedUs = 0;      // From the start of the run.
    TimeUs LatencyUs = 0;      // From the planned arrival.
    int Status = 0;            // 0: no complete answer.
    int Code = 0;              // Winchlink's result code, 0 if none.
    bool NotRun = false;       // The answer says that it was not run.
    bool Wrong = false;        // The answer is not the one to this call.
    bool NotConnected = false; // No instance took a connection.
    std::string Failure;       // Why there is no complete answer.
};

struct LoadSummary
{
    size_t Count = 0;
    size_t Good = 0;    // Status below 500 and complete.
    size_t InTime = 0;  // Good, and within the deadline, counted from the planned arrival.
    size_t Refused = 0; // Told as not run.
    size_t Failed = 0;  // Anything else.
    double P50Ms = 0;   // Of the good ones.
    double P99Ms = 0;
    double P999Ms = 0;
    double P99AllMs = 0; // Of all: one without a good answer counts with its deadline, so that failing fast does not look quick.
};

std::vector<LoadRecord> PlayLoad(const LoadPlan& plan);

// Of one kind, or of all if `kind` is negative.
LoadSummary Summarize(const std::vector<LoadRecord>& records, int kind);

} // namespace Winchlink
