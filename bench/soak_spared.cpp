// soak_spared.cpp: targets in need: they name limits, refuse and want nothing for a while, or say in their answers that they leave.
//
// Index of this file:
// [SECTION] What targets say
// [SECTION] Drawing

#include "soak.h"

#include "clock.h"

#include <fmt/format.h>

namespace Winchlink
{

static int64_t SparedBetween(Soak* soak, int64_t least, int64_t most)
{
    return std::uniform_int_distribution<int64_t>(least, most)(soak->SparedRng);
}

static TimeUs SparedTime(Soak* soak, int64_t least_ms, int64_t most_ms)
{
    return SparedBetween(soak, least_ms, most_ms) * UsPerMs;
}

//-----------------------------------------------------------------------------
// [SECTION] What targets say
//-----------------------------------------------------------------------------

// Whether the target can be given another part to play: it is in the store, lives, and says nothing of itself yet.
static bool IsFree(const SoakTarget& target)
{
    return target.Listed && !target.Down && target.Part.Listening >= 0 && target.Part.Says.empty() && !target.Part.Refuses;
}

static SoakTarget* PickFree(Soak* soak)
{
    std::vector<SoakTarget*> free;
    for (const auto& target : soak->Targets)
    {
        if (IsFree(*target))
        {
            free.push_back(target.get());
        }
    }
    return free.empty() ? nullptr : free[static_cast<size_t>(SparedBetween(soak, 0, static_cast<int64_t>(free.size()) - 1))];
}

static void NameLimit(Soak* soak, SoakTarget* target)
{
    const int64_t per_s = SparedBetween(soak, 1, 6);
    const TimeUs time = SparedTime(soak, 1000, 8000);
    target->Part.Says = {{"Server-Limit", std::to_string(per_s)}};
    soak->Log.Limits.push_back({target->Part.Id, static_cast<double>(per_s), NowUs(), NowUs() + time});
    Later(soak, time, [target]() { target->Part.Says.clear(); });
}

static void RefuseWithRest(Soak* soak, SoakTarget* target)
{
    const int64_t rest_s = SparedBetween(soak, 1, 3);
    const TimeUs time = SparedTime(soak, 300, 3000);
    target->Part.Refuses = true;
    target->Part.SaysRefusing = {{"Retry-After", std::to_string(rest_s)}};
    soak->Log.Rests.push_back({target->Part.Id, rest_s * UsPerSecond, NowUs(), NowUs() + time});
    Later(soak, time,
          [target]()
          {
              target->Part.Refuses = false;
              target->Part.SaysRefusing.clear();
          });
}

// Its entry stays as it is until it ends, as where the store can't be written to.
static void SayLeaving(Soak* soak, SoakTarget* target)
{
    AddTarget(soak, target->Service);
    target->Part.Says = {{"Server-Leaving", "1"}};
    soak->Log.SaidLeaving.push_back({target->Part.Id, NowUs()});
    Later(soak, SparedTime(soak, 3000, 6000),
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
// [SECTION] Drawing
//-----------------------------------------------------------------------------

static void StrikeBySparedAgain(Soak* soak)
{
    if (!soak->Striking)
    {
        return;
    }
    struct Strike
    {
        const char* Name;
        void (*Run)(Soak*, SoakTarget*);
    };
    static const std::array<Strike, 3> strikes = {
        {{"limit", NameLimit}, {"refusal with rest", RefuseWithRest}, {"says that it leaves", SayLeaving}}};
    SoakTarget* target = PickFree(soak);
    if (target != nullptr)
    {
        const Strike& strike = strikes[static_cast<size_t>(SparedBetween(soak, 0, strikes.size() - 1))];
        soak->Drawn[strike.Name]++;
        strike.Run(soak, target);
    }
    Later(soak, SparedTime(soak, 300, 2000), [soak]() { StrikeBySparedAgain(soak); });
}

void StrikeBySpared(Soak* soak)
{
    if (soak->Plan.Faults == SoakFaults_All)
    {
        StrikeBySparedAgain(soak);
    }
}

} // namespace Winchlink
