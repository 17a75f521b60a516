// metrics.h: counters and latency histograms of requests, per service, priority and customer.
//
// Boost.Accumulators keeps count, mean and maximum; Boost.Histogram keeps the distribution on a logarithmic axis with a fixed range.

#pragma once

#include "winchlink.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/histogram.hpp>

namespace Winchlink
{

using LatencyAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LatencyHistogram = boost::histogram::histogram<std::tuple<LatencyAxis>, boost::histogram::dense_storage<uint64_t>>;
using LatencySummary = boost::accumulators::accumulator_set<
    double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean, boost::accumulators::tag::max>>;

struct LatencyStats
{
    LatencyStats();

    LatencySummary Summary;     // Seconds.
    LatencyHistogram Histogram; // Seconds, 0.1 ms to 100 s.
};

void LatencyAdd(LatencyStats* stats, TimeUs latency);

// Upper bound in seconds of the bucket in which the quantile lies; 0 without samples.
double LatencyQuantile(const LatencyHistogram& histogram, double quantile);

struct CodeCount
{
    Code_ Code = Code_None; // Result code; None for answers that were passed on to the caller.
    uint64_t Count = 0;     // Requests that ended with this code.
};

struct RowMetrics
{
    LatencyStats Latency;         // From the arrival of a request to its answer; answered requests only.
    std::vector<CodeCount> Ended; // By result code.
    uint64_t Retries = 0;         // Attempts after the first of a request.
    uint64_t RetriesRefused = 0;  // Retries that the budget did not allow.
    uint64_t RetriesKept = 0;     // Of these, the ones kept for callers that can't come back in time, see ForwardConfig::FirstTryShare.
};

void CountEnded(RowMetrics* metrics, Code_ code);

// A histogram in the Prometheus text format; `labels` are put in front of the label "le".
std::string FormatLatency(const char* name, const std::string& labels, const LatencyStats& stats);

// Counters of one customer's requests.
struct CustomerMetrics
{
    uint64_t Admitted = 0; // Requests within the quota.
    uint64_t Refused = 0;  // Requests refused because of the quota.
};

inline constexpr size_t CustomersCounted = 100;           // Customers that are counted by name; all others are counted together.
inline constexpr const char* OtherCustomers = "(others)"; // Name for all others.

using CustomersMetrics = std::map<std::string, CustomerMetrics>;

// The counters of the customer, or those of all others once CustomersCounted customers have their own.
CustomerMetrics* CustomerCounters(CustomersMetrics* all, const std::string& customer);

} // namespace Winchlink
