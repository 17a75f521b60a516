// metrics.cpp: counters and latency histograms of requests, per service, priority and customer.

#include "metrics.h"

#include <algorithm>
#include <fmt/format.h>

namespace Winchlink
{

static constexpr unsigned BucketCount = 48; // Eight per decade.
static constexpr double MinSeconds = 1e-4;
static constexpr double MaxSeconds = 1e2;

LatencyStats::LatencyStats()
    : Histogram(std::make_tuple(LatencyAxis(BucketCount, MinSeconds, MaxSeconds)), boost::histogram::dense_storage<uint64_t>())
{
}

void LatencyAdd(LatencyStats* stats, TimeUs latency)
{
    const double seconds = static_cast<double>(latency) / static_cast<double>(UsPerSecond);
    stats->Summary(seconds);
    stats->Histogram(seconds);
}

static uint64_t TotalOf(const LatencyHistogram& histogram)
{
    uint64_t total = 0;
    for (const auto& bucket : boost::histogram::indexed(histogram, boost::histogram::coverage::all))
    {
        total += *bucket;
    }
    return total;
}

double LatencyQuantile(const LatencyHistogram& histogram, double quantile)
{
    const uint64_t total = TotalOf(histogram);
    const double wanted = quantile * static_cast<double>(total);
    double sum = 0;
    for (const auto& bucket : boost::histogram::indexed(histogram, boost::histogram::coverage::all))
    {
        sum += static_cast<double>(*bucket);
        if (total > 0 && sum >= wanted)
        {
            return bucket.bin().upper();
        }
    }
    return 0;
}

void CountEnded(RowMetrics* metrics, Code_ code)
{
    auto found = std::find_if(metrics->Ended.begin(), metrics->Ended.end(), [&](const CodeCount& c) { return c.Code == code; });
    if (found == metrics->Ended.end())
    {
        metrics->Ended.push_back({code, 1});
        return;
    }
    found->Count++;
}

std::string FormatLatency(const char* name, const std::string& labels, const LatencyStats& stats)
{
    std::string text;
    uint64_t sum = 0;
    for (const auto& bucket : boost::histogram::indexed(stats.Histogram, boost::histogram::coverage::all))
    {
        sum += *bucket;
        const double upper = bucket.bin().upper();
        const std::string bound = upper < MaxSeconds * 2 ? fmt::format("{:.6g}", upper) : "+Inf";
        text += fmt::format("{}_bucket{{{},le=\"{}\"}} {}\n", name, labels, bound, sum);
    }
    const auto count = boost::accumulators::count(stats.Summary);
    const double total = count > 0 ? boost::accumulators::mean(stats.Summary) * static_cast<double>(count) : 0;
    text += fmt::format("{}_sum{{{}}} {:.6f}\n", name, labels, total);
    text += fmt::format("{}_count{{{}}} {}\n", name, labels, count);
    return text;
}

CustomerMetrics* CustomerCounters(CustomersMetrics* all, const std::string& customer)
{
    const bool counted = all->size() < CustomersCounted || all->count(customer) > 0;
    return &(*all)[counted ? customer : OtherCustomers];
}

} // namespace Winchlink
