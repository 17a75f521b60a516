// instance.cpp: one entry instance: all services in one kernel.

#include "instance.h"

#include "clock.h"

#include <chrono>

namespace Winchlink
{

static constexpr int DrainStepMs = 10;
static constexpr TimeUs IdleQuietUs = 2 * UsPerSecond; // An idle caller gets so long to be told to close by itself.

Result<void> InstanceStart(Instance* instance, const Settings& settings)
{
    instance->Config = settings;
    instance->Plane.Config = settings;
    instance->Calls.Config = settings;
    instance->Operators.Config = settings;
    Kernel* kernel = &instance->Services;
    KernelRegister(kernel, "routing", &instance->Routes, nullptr, nullptr);
    KernelRegister(kernel, "upstream", &instance->Upstream, nullptr, [instance]() { UpstreamClear(&instance->Upstream); });
    KernelRegister(
        kernel, "control", &instance->Plane, [instance]() { return ControlStart(&instance->Plane, instance->Services); },
        [instance]() { ControlStop(&instance->Plane); });
    KernelRegister(
        kernel, "traffic", &instance->Calls, [instance]() { return TrafficStart(&instance->Calls, instance->Services); },
        [instance]() { TrafficStop(&instance->Calls); });
    KernelRegister(
        kernel, "pages", &instance->Operators, [instance]() { return PagesStart(&instance->Operators, instance->Services); },
        [instance]() { PagesStop(&instance->Operators); });
    return KernelStart(kernel);
}

static void WaitUntil(TimeUs until, const std::atomic<bool>& force, const std::function<bool()>& done)
{
    while (!force && !done() && NowUs() < until)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(DrainStepMs));
    }
}

int InstanceDrain(Instance* instance, const std::atomic<bool>& force)
{
    const Settings& settings = instance->Config;
    instance->Routes.Leaving = true;
    instance->Plane.LeaveWanted = true;
    Log(LogLevel_Info, Code_None, "draining", {{"inProgress", instance->Routes.InProgress.load()}});
    // Still serving: the platform's balancer needs a moment to see that we are not ready.
    WaitUntil(NowUs() + settings.DrainDelayMs * UsPerMs, force, []() { return false; });
    instance->Routes.Refusing = true;
    Server* listener = &instance->Calls.Listener;
    ServerQuiesce(listener);
    const auto all_closed = [listener]()
    {
        ServerCloseIdle(listener, IdleQuietUs);
        return ServerOpen(listener) == 0;
    };
    WaitUntil(NowUs() + settings.DrainMaxMs * UsPerMs, force, all_closed);
    return ServerBusy(listener);
}

void InstanceStop(Instance* instance)
{
    KernelStop(&instance->Services);
}

} // namespace Winchlink
