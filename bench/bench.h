// bench.h: the commands of winchbench and statistics for their output. winchbench is a development tool and not part of the product.
//
// Index of this file:
// [SECTION] Commands
// [SECTION] Numbers

#pragma once

#include <vector>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Commands
//-----------------------------------------------------------------------------

int RunAdded(int argc, const char** argv);
int RunCapacity(int argc, const char** argv);
int RunDemo(int argc, const char** argv);
int RunPolicies(int argc, const char** argv);
int RunPool(int argc, const char** argv);
int RunSoak(int argc, const char** argv);

//-----------------------------------------------------------------------------
// [SECTION] Numbers
//-----------------------------------------------------------------------------

// Returns the exact quantile of the samples; 0 if there are none.
double QuantileOf(std::vector<double> samples, double quantile);

// Median and range of repeated measurements.
struct Spread
{
    double Median = 0;
    double Min = 0;
    double Max = 0;
};

Spread SpreadOf(const std::vector<double>& values);

} // namespace Winchlink
