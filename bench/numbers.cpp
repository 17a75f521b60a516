// numbers.cpp: quantiles, and the median and range of samples.

#include "bench.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace Winchlink
{

double QuantileOf(std::vector<double> samples, double quantile)
{
    if (samples.empty())
    {
        return 0;
    }
    std::sort(samples.begin(), samples.end());
    const double rank = std::ceil(quantile * static_cast<double>(samples.size()));
    const size_t index = static_cast<size_t>(std::max(rank, 1.0)) - 1;
    return samples[std::min(index, samples.size() - 1)];
}

Spread SpreadOf(const std::vector<double>& values)
{
    if (values.empty())
    {
        return {};
    }
    const auto min_max = std::minmax_element(values.begin(), values.end());
    return {QuantileOf(values, 0.5), *min_max.first, *min_max.second};
}

} // namespace Winchlink
