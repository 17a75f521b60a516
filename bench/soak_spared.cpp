// soak_spared.cpp: target signals of a soak: rate limits, refusals with Retry-After, and drains announced only in answers.
//
// Index of this file:
// [SECTION] Target signals
// [SECTION] Random choice

#include "soak.h"

#include "clock.h"

#include <fmt/format.h>

namespace Winchlink
{

static int64_t DrawWithSignalsRng(Soak* soak, int64_t min, int64_t max)
{
    return std::uniform_int_distribution<int64_t>(min, max)(soak->SignalsRng);
}

static TimeUs DrawTimeWithSignalsRng(Soak* soak, int64_t min_ms, int64_t max_ms)
{
    return DrawWithSignalsRng(soak, min_ms, max_ms) * UsPerMs;
}

//-----------------------------------------------------------------------------
// [SECTION] Target signals
//-----------------------------------------------------------------------------

// Whether the target is in the store, runs, and sends no signal yet.
static bool HasNoSignal(const SoakTarget& target)
{
    return target.Listed && !target.Down && target.Part.Listening >= 0 && target.Part.Says.empty() && !target.Part.Refuses;
}

static SoakTarget* PickWithoutSignal(Soak* soak)
{
    std::vector<SoakTarget*> free;
    for (const auto& target : soak->Targets)
    {
        if (HasNoSignal(*target))
        {
            free.push_back(target.get());
        }
    }
    return free.empty() ? nullptr : free[static_cast<size_t>(DrawWithSignalsRng(soak, 0, static_cast<int64_t>(free.size()) - 1))];
}

static void SendLimit(Soak* soak, SoakTarget* target)
{
    const int64_t per_s = DrawWithSignalsRng(soak, 1, 6);
    const TimeUs time = DrawTimeWithSignalsRng(soak, 1000, 8000);
    target->Part.Says = {{"Server-Limit", std::to_string(per_s)}};
    soak->Log.Limits.push_back({target->Part.Id, static_cast<double>(per_s), NowUs(), NowUs() + time});
    Later(soak, time, [target]() { target->Part.Says.clear(); });
}

static void RefuseWithRetryAfter(Soak* soak, SoakTarget* target)
{
    const int64_t rest_s = DrawWithSignalsRng(soak, 1, 3);
    const TimeUs time = DrawTimeWithSignalsRng(soak, 300, 3000);
    target->Part.Refuses = true;
    target->Part.RefusalHeaders = {{"Retry-After", std::to_string(rest_s)}};
    soak->Log.Rests.push_back({target->Part.Id, rest_s * UsPerSecond, NowUs(), NowUs() + time});
    Later(soak, time,
          [target]()
          {
              target->Part.Refuses = false;
              target->Part.RefusalHeaders.clear();
          });
}

// The target announces its drain only in its answers, as if it could not write to the store, and is removed later.
static void AnnounceDrain(Soak* soak, SoakTarget* target)
{
    AddTarget(soak, target->Service, target->Zone);
    target->Part.Says = {{"Server-Leaving", "1"}};
    soak->Log.AnnouncedDrains.push_back({target->Part.Id, NowUs()});
    Later(soak, DrawTimeWithSignalsRng(soak, 3000, 6000),
          [soak, target]()
          {
              if (target->Listed && !target->Down)
              {
                  target->Listed = false;
                  UsersStoreRemove(&soak->Store, "servers/" + target->Part.Id);
              }
              UsersTargetStop(&target->Part);
          });
}

//-----------------------------------------------------------------------------
// [SECTION] Random choice
//-----------------------------------------------------------------------------

static void InjectSignalFaults(Soak* soak)
{
    if (!soak->Striking)
    {
        return;
    }
    struct NamedFault
    {
        const char* Name;
        void (*Run)(Soak*, SoakTarget*);
    };
    static const std::array<NamedFault, 3> faults = {
        {{"limit", SendLimit}, {"refusal with rest", RefuseWithRetryAfter}, {"says that it leaves", AnnounceDrain}}};
    SoakTarget* target = PickWithoutSignal(soak);
    if (target != nullptr)
    {
        const NamedFault& fault = faults[static_cast<size_t>(DrawWithSignalsRng(soak, 0, faults.size() - 1))];
        soak->Drawn[fault.Name]++;
        fault.Run(soak, target);
    }
    Later(soak, DrawTimeWithSignalsRng(soak, 300, 2000), [soak]() { InjectSignalFaults(soak); });
}

void InjectSignals(Soak* soak)
{
    if (soak->Plan.Faults == SoakFaults_All)
    {
        InjectSignalFaults(soak);
    }
}

} // namespace Winchlink
