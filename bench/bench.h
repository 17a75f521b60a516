// bench.h: what the commands of the bench tool share: HTTP calls, processes, free ports, quantiles.
//
// The bench tool holds the stand-ins (a platform and a target), a load generator and the experiments. It is no part of the product, and
// the only program here that starts others.
//
// Index of this file:
// [SECTION] Commands
// [SECTION] HTTP calls
// [SECTION] Numbers

#pragma once

#include "clock.h"
#include "upstream.h"

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Commands
//-----------------------------------------------------------------------------

int RunPlatform(int argc, const char** argv);
int RunTarget(int argc, const char** argv);
int RunLoad(int argc, const char** argv);
int RunRelay(int argc, const char** argv);
int RunDemo(int argc, const char** argv);
int RunAdded(int argc, const char** argv);
int RunPolicies(int argc, const char** argv);
int RunCapacity(int argc, const char** argv);
int RunSoak(int argc, const char** argv);
int RunGatewaySoak(int argc, const char** argv);

//-----------------------------------------------------------------------------
// [SECTION] HTTP calls
//-----------------------------------------------------------------------------

struct HttpAnswer
{
    int Status = 0;              // 0: no complete answer.
    bool Sent = false;           // A connection stood and the request was about to leave on it: it may have been run.
    std::string Failure;         // Why there is no complete answer, and whether the connection was a kept one.
    std::string Body;            // Whole.
    std::vector<Header> Headers; // All.
};

struct HttpCall
{
    std::string Method = "GET";
    std::string Address; // IP:port.
    std::string Path = "/";
    std::string Body;
    std::vector<Header> Headers;
    int TimeoutMs = 5000;
};

// A connection that is kept from call to call.
struct HttpClient
{
    CURL* Easy = nullptr;

    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;
};

// Sends the call once at most. libcurl by itself repeats a call, POST included, when a kept connection closes without an answer.
HttpAnswer HttpSend(HttpClient* client, const HttpCall& call);

// One call on a connection of its own.
HttpAnswer HttpOnce(const HttpCall& call);

// The value of a key in a path's query; empty if there is none.
std::string QueryValue(const std::string& path, const std::string& key);

//-----------------------------------------------------------------------------
// [SECTION] Numbers
//-----------------------------------------------------------------------------

// Exact quantile of samples, which are sorted by this call; 0 without samples.
double QuantileOf(std::vector<double>* samples, double quantile);

struct Spread
{
    double Median = 0; // Of repeated runs.
    double Least = 0;
    double Most = 0;
};

Spread SpreadOf(std::vector<double> values);

struct Line
{
    double Intercept = 0;
    double Slope = 0;
    double R2 = 0; // Share of the variance that the line explains.
};

// Least squares.
Line FitLine(const std::vector<double>& x, const std::vector<double>& y);

// Waits for a condition, up to a time; false if it did not come.
bool WaitFor(TimeUs most, const std::function<bool()>& condition);

void SleepUs(TimeUs us);

} // namespace Winchlink
