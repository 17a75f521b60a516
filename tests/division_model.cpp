// division_model.cpp: see division_model.h.

#include "division_model.h"

namespace Winchlink
{

namespace
{

constexpr TimeUs StepUs = UsPerSecond / 2;
constexpr TimeUs StartUs = UsPerSecond; // Of the fleet's clock.

void CountEnd(const DivisionPlan& plan, const ChooseFleet& fleet, const ChooseFleetRequest& request, bool served, bool far,
              DivisionResult* result)
{
    const size_t centre = fleet.Instances[request.Instance].DataCentre;
    const TimeUs arrived = request.ArrivedUs - StartUs;
    const bool in_time = served && fleet.Now - request.ArrivedUs <= ChooseFleetObjectiveUs(fleet.Plan, request);
    const auto count = [&](CentreResult* counted)
    {
        counted->Requests++;
        counted->InTime += in_time ? 1 : 0;
        counted->Refused += served ? 0 : 1;
        counted->Crossed += far ? 1 : 0;
    };
    if (arrived >= plan.CountedFromUs)
    {
        count(&(request.Kind == ChooseFleetKind_Small ? result->Small : result->Large)[centre]);
    }
    const auto step = static_cast<size_t>(arrived / StepUs);
    result->Steps.resize(std::max(result->Steps.size(), step + 1));
    if (request.Kind == ChooseFleetKind_Small)
    {
        count(&result->Steps[step][centre]);
    }
    const double bytes = request.Kind == ChooseFleetKind_Large ? fleet.Plan.LargeAnswerBytes : fleet.Plan.AnswerBytes;
    result->Bytes += far ? bytes : 0;
}

// Three in a hundred requests take seven times as long, three tenths of the targets are slow for a moment.
ChooseFleetPlan FleetPlanOf(const DivisionPlan& plan)
{
    ChooseFleetPlan out;
    for (size_t centre = 0; centre < CentreCount; centre++)
    {
        out.DataCentres[centre].Instances = plan.Instances[centre];
        out.DataCentres[centre].Targets = plan.Targets[centre];
    }
    out.PerSecond = [&plan](TimeUs now, size_t centre, ChooseFleetKind_ kind)
    {
        const auto& per_s = kind == ChooseFleetKind_Large ? plan.LargePerS : plan.PerS;
        return per_s ? per_s(now - StartUs)[centre] : 0;
    };
    out.WorkUs = 94 * UsPerMs;
    out.WorkSpread = 0;
    out.LongShare = 0.03;
    out.SlowShare = 0.3;
    out.SlowFactor = 5;
    out.SlowProbeFactor = 1;
    out.FullFactor = 1.4;
    out.ProbeUs = 6 * UsPerMs;
    out.FarUs = 2 * plan.OneWayUs;
    out.AttemptsMax = 2;
    out.Shares = true;
    out.Divides = plan.Divide;
    out.Loss = plan.LostShare;
    out.Cut = [&plan](TimeUs now)
    {
        return plan.Cut && plan.Cut(now - StartUs);
    };
    out.Dead = [&plan](TimeUs now, size_t instance)
    {
        return plan.Dead && plan.Dead(now - StartUs, instance);
    };
    out.Evacuated = [&plan](TimeUs now, size_t centre)
    {
        return centre == plan.EvacuatedCentre && now - StartUs >= plan.EvacuatedUs && now - StartUs < plan.BackUs;
    };
    out.ColdUs = plan.ColdUs;
    out.ColdPerS = 5;
    out.Odd = plan.Odd;
    out.OddShare = plan.OddShare;
    out.LastIs = plan.LastIs;
    out.Dividing = plan.Config;
    out.Seed = plan.Seed;
    return out;
}

} // namespace

DivisionResult SimulateDivision(const DivisionPlan& plan)
{
    DivisionResult result;
    ChooseFleet fleet;
    ChooseFleetStart(&fleet, FleetPlanOf(plan));
    fleet.OnEnded = [&](const ChooseFleetRequest& request, bool served, bool far)
    {
        CountEnd(plan, fleet, request, served, far, &result);
    };
    for (const TimeUs change : {plan.EvacuatedUs, plan.BackUs})
    {
        if (change > 0)
        {
            ChooseFleetAt(&fleet, StartUs + change, [&fleet]() { ChooseFleetSync(&fleet); });
        }
    }
    ChooseFleetRun(&fleet, plan.LengthUs);
    const ChooseFleetResult total = ChooseFleetTotal(fleet);
    result.Requests = total.Requests;
    result.Probes = total.Probes;
    result.Unusable = total.Unusable;
    result.CrossingTries = static_cast<int>(fleet.ProbesCrossing);
    result.CrossingMet = static_cast<int>(fleet.ProbesCrossingRoom);
    return result;
}

double InTimeShare(const CentreResult& result)
{
    return result.Requests > 0 ? static_cast<double>(result.InTime) / result.Requests : 1;
}

double InTimeSpread(const DivisionResult& result)
{
    const auto by_share = [](const CentreResult& a, const CentreResult& b)
    {
        return InTimeShare(a) < InTimeShare(b);
    };
    const auto ends = std::minmax_element(result.Small.begin(), result.Small.end(), by_share);
    return InTimeShare(*ends.second) - InTimeShare(*ends.first);
}

double InTimeShareOfAll(const DivisionResult& result)
{
    CentreResult all;
    for (const CentreResult& centre : result.Small)
    {
        all.Requests += centre.Requests;
        all.InTime += centre.InTime;
    }
    return InTimeShare(all);
}

std::string DivisionText(const DivisionResult& result)
{
    std::string text = fmt::format("all {:.3f}:", InTimeShareOfAll(result));
    for (const CentreResult& centre : result.Small)
    {
        text +=
            fmt::format(" [{} in time {:.3f} refused {} crossed {}]", centre.Requests, InTimeShare(centre), centre.Refused, centre.Crossed);
    }
    for (const CentreResult& centre : result.Large)
    {
        text += centre.Requests > 0 ? fmt::format(" large [{} in time {:.3f} refused {} crossed {}]", centre.Requests, InTimeShare(centre),
                                                  centre.Refused, centre.Crossed)
                                    : "";
    }
    return text + fmt::format(" probes {:.2f} tries {} met {} bytes {:.1f} M",
                              static_cast<double>(result.Probes) / std::max(result.Requests, 1), result.CrossingTries, result.CrossingMet,
                              result.Bytes / MiB);
}

} // namespace Winchlink
