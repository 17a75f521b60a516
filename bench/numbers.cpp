// numbers.cpp: quantiles, spreads and fits.

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
    const auto ends = std::minmax_element(values.begin(), values.end());
    return {QuantileOf(values, 0.5), *ends.first, *ends.second};
}

Line FitLine(const std::vector<double>& x, const std::vector<double>& y)
{
    const double n = static_cast<double>(x.size());
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    double syy = 0;
    for (size_t i = 0; i < x.size(); i++)
    {
        sx += x[i];
        sy += y[i];
        sxx += x[i] * x[i];
        sxy += x[i] * y[i];
        syy += y[i] * y[i];
    }
    Line line;
    const double dx = n * sxx - sx * sx;
    const double dy = n * syy - sy * sy;
    const double dxy = n * sxy - sx * sy;
    line.Slope = dx != 0 ? dxy / dx : 0;
    line.Intercept = n > 0 ? (sy - line.Slope * sx) / n : 0;
    line.R2 = dx != 0 && dy != 0 ? dxy * dxy / (dx * dy) : 1;
    return line;
}

} // namespace Winchlink
