// division_model.h: a fleet of instances in three data centres that look for targets, in virtual time, for load tests of the division of
// requests between data centres.
//
// The library decides (TargetPool, Division). The model adds what instances of a data centre learn from each other, messages that take time
// or get lost, and targets with slots: three in a hundred requests take seven times as long, three tenths of the targets are slow for a
// moment, and a target whose slots are all in use takes 1.4 times as long.

#pragma once

#include "pool_model.h"

#include <array>
#include <functional>
#include <queue>

namespace Winchlink
{

inline constexpr size_t CentreCount = 3;

using PerCentre = std::array<double, CentreCount>;

struct DivisionPlan
{
    std::array<size_t, CentreCount> Instances = {65, 66, 66};
    std::array<int, CentreCount> Targets = {59, 56, 36};
    TimeUs LengthUs = 20 * UsPerSecond;
    TimeUs CountedFromUs = 2 * UsPerSecond;            // Requests before it are not in the result.
    TimeUs OneWayUs = 1400;                            // Between data centres.
    double LostShare = 0;                              // Of the messages between instances.
    bool Divide = true;                                // False: without the part, near first.
    std::function<PerCentre(TimeUs)> PerS;             // Small requests a second.
    std::function<PerCentre(TimeUs)> LargePerS;        // Large ones.
    std::function<bool(TimeUs)> Cut;                   // Nothing passes between data centres.
    std::function<bool(TimeUs, size_t instance)> Dead; // The instances with this number are not running.
    size_t EvacuatedCentre = 0;
    TimeUs EvacuatedUs = 0; // From here on its targets get no requests; 0: never,
    TimeUs BackUs = 0;      // until here.
    TimeUs ColdUs = 0;      // Length of their warm-up after it.
    DivisionConfig Config;
    uint64_t Seed = 1;
};

struct CentreResult
{
    int Requests = 0;
    int InTime = 0;
    int Refused = 0;
    int Crossed = 0;
};

struct DivisionResult
{
    std::array<CentreResult, CentreCount> Small;
    std::array<CentreResult, CentreCount> Large;
    int CrossingTries = 0;                                    // Targets of other data centres that were probed because the part said so.
    int CrossingMet = 0;                                      // Of these, the ones that had a free slot.
    double Bytes = 0;                                         // Of answers between data centres.
    int Messages = 0;                                         // Asks of other data centres.
    std::vector<std::array<CentreResult, CentreCount>> Steps; // Small requests, by half second.
};

DivisionResult SimulateDivision(const DivisionPlan& plan);

double InTimeShare(const CentreResult& result);
double InTimeSpread(const DivisionResult& result); // Between the best and the worst data centre; small requests.
double InTimeShareOfAll(const DivisionResult& result);
std::string DivisionText(const DivisionResult& result);

} // namespace Winchlink
