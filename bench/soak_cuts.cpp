// soak_cuts.cpp: instances of a soak that lose the path to all targets, while callers, the store and the other instances still reach them.

#include "soak.h"

#include "clock.h"

namespace Winchlink
{

static int64_t DrawWithCutsRng(Soak* soak, int64_t min, int64_t max)
{
    return std::uniform_int_distribution<int64_t>(min, max)(soak->CutsRng);
}

uint32_t SourceIpOf(const SoakInstance& instance)
{
    return ParseEndpoint(instance.PeerAddress).value().Ip;
}

static void SetMode(Soak* soak, SoakInstance* instance, ProxyMode_ mode)
{
    instance->ToTargets = mode;
    for (const auto& target : soak->Targets)
    {
        ProxySetModeFor(&target->Before, SourceIpOf(*instance), mode);
    }
}

void ApplyCuts(Soak* soak, SoakTarget* target)
{
    for (const auto& instance : soak->Instances)
    {
        ProxySetModeFor(&target->Before, SourceIpOf(*instance), instance->ToTargets);
    }
}

// The number of instances that a cut hits: one, two of three, or all.
static size_t DrawCount(Soak* soak)
{
    const size_t all = soak->Instances.size();
    const std::array<size_t, 3> counts = {1, (2 * all + 2) / 3, all};
    return counts[static_cast<size_t>(DrawWithCutsRng(soak, 0, counts.size() - 1))];
}

// While connections live on, some of them are reset from time to time.
static void ResetSome(Soak* soak, SoakInstance* instance)
{
    if (instance->ToTargets != ProxyMode_KeepOpen)
    {
        return;
    }
    for (const auto& target : soak->Targets)
    {
        if (DrawWithCutsRng(soak, 0, 3) == 0)
        {
            ProxyResetOne(&target->Before, SourceIpOf(*instance));
        }
    }
    Later(soak, 300 * UsPerMs, [soak, instance]() { ResetSome(soak, instance); });
}

static void Cut(Soak* soak)
{
    static const std::array<ProxyMode_, 4> modes = {ProxyMode_Silent, ProxyMode_OneWay, ProxyMode_Reset, ProxyMode_KeepOpen};
    const ProxyMode_ mode = modes[static_cast<size_t>(DrawWithCutsRng(soak, 0, modes.size() - 1))];
    const size_t count = DrawCount(soak);
    const auto first = static_cast<size_t>(DrawWithCutsRng(soak, 0, static_cast<int64_t>(soak->Instances.size()) - 1));
    SoakCut cut;
    for (size_t n = 0; n < count; n++)
    {
        SoakInstance* instance = soak->Instances[(first + n) % soak->Instances.size()].get();
        SetMode(soak, instance, mode);
        ResetSome(soak, instance);
        cut.Instances.insert(instance->Index);
    }
    soak->Drawn[count == 1 ? "cut from targets" : count < soak->Instances.size() ? "most cut from targets" : "all cut from targets"]++;
    const TimeUs time = DrawWithCutsRng(soak, 1000, 7000) * UsPerMs;
    cut.FromUs = NowUs();
    cut.UntilUs = NowUs() + time;
    soak->Log.Cuts.push_back(cut);
    Later(soak, time,
          [soak, instances = cut.Instances]()
          {
              for (const int index : instances)
              {
                  SetMode(soak, soak->Instances[static_cast<size_t>(index)].get(), ProxyMode_Good);
              }
          });
}

void InjectCuts(Soak* soak)
{
    const TimeUs pause = DrawWithCutsRng(soak, 500, 5000) * UsPerMs;
    Later(soak, pause,
          [soak]()
          {
              const bool in_force = !soak->Log.Cuts.empty() && soak->Log.Cuts.back().UntilUs > NowUs();
              if (soak->Striking && !in_force)
              {
                  Cut(soak);
              }
              if (soak->Striking)
              {
                  InjectCuts(soak);
              }
          });
}

} // namespace Winchlink
