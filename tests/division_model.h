// division_model.h: a fleet of instances in three data centres that look for targets, in virtual time, for load tests of the division of
// requests between data centres.
//
// Played by choose_fleet.h, so with the library's Chooser, LoadSharing and Division as they work together: three in a hundred requests take
// seven times as long, three tenths of the targets are slow for a moment, and a target whose slots are all in use takes 1.4 times as long.

#pragma once

#include "choose_fleet.h"

#include <array>
#include <functional>

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
    TimeUs EvacuatedUs = 0;                                     // From here on its targets get no requests; 0: never,
    TimeUs BackUs = 0;                                          // until here.
    TimeUs ColdUs = 0;                                          // Length of their warm-up after it.
    ChooseFleetNeighbour_ Odd = ChooseFleetNeighbour_Normal;    // What some instances do with messages,
    double OddShare = 0;                                        // and how many of them.
    ChooseFleetNeighbour_ LastIs = ChooseFleetNeighbour_Normal; // What the last instance of the last data centre does.
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
    int CrossingTries = 0; // Targets of other data centres that were probed because the part said so.
    int CrossingMet = 0;   // Of these, the ones that had a free slot.
    int Requests = 0;      // Of both kinds, also those that don't count above,
    int Probes = 0;        // their probes,
    int Unusable = 0;      // and those sent where the target's own answer showed no room, or none may go.
    double Bytes = 0;      // Of answers between data centres.
    std::vector<std::array<CentreResult, CentreCount>> Steps; // Small requests, by half second.
};

DivisionResult SimulateDivision(const DivisionPlan& plan);

double InTimeShare(const CentreResult& result);
double InTimeSpread(const DivisionResult& result); // Between the best and the worst data centre; small requests.
double InTimeShareOfAll(const DivisionResult& result);
std::string DivisionText(const DivisionResult& result);

} // namespace Winchlink
