// kernel.cpp: the micro-kernel: services that find each other by name.

#include "kernel.h"

#include "log.h"

namespace Winchlink
{

Result<void> KernelStart(Kernel* kernel)
{
    for (const Service& service : kernel->Services)
    {
        Result<void> started = service.Start ? service.Start() : Result<void>(BOOST_OUTCOME_V2_NAMESPACE::success());
        if (!started)
        {
            Log(LogLevel_Error, started.error().Code, "service can't start",
                {{"service", service.Name}, {"detail", started.error().Detail}});
            KernelStop(kernel);
            return started;
        }
        kernel->Started++;
        Log(LogLevel_Debug, Code_None, "service started", {{"service", service.Name}});
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void KernelStop(Kernel* kernel)
{
    while (kernel->Started > 0)
    {
        kernel->Started--;
        const Service& service = kernel->Services[kernel->Started];
        if (service.Stop)
        {
            service.Stop();
        }
    }
}

} // namespace Winchlink
