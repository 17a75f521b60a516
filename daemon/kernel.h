// kernel.h: the micro-kernel: services that find each other by name.
//
// A service is any struct of ours, registered under a name with a function to start and one to stop it. Services are started in the
// order of registration and stopped in reverse; one that can't start stops those before it. Register in the order of need.

#pragma once

#include "winchlink.h"

#include <cassert>
#include <functional>
#include <typeindex>

namespace Winchlink
{

struct Service
{
    std::string Name;                    // Unique.
    void* Instance = nullptr;            // Borrowed; must outlive the kernel.
    std::type_index Type = typeid(void); // Type of Instance, checked on finding.
    std::function<Result<void>()> Start; // May be empty.
    std::function<void()> Stop;          // May be empty; called only after a start that succeeded.
};

struct Kernel
{
    std::vector<Service> Services; // In order of registration.
    size_t Started = 0;            // How many of them run.
};

template <class T>
void KernelRegister(Kernel* kernel, const std::string& name, T* instance, std::function<Result<void>()> start, std::function<void()> stop)
{
    for (const Service& service : kernel->Services)
    {
        assert(service.Name != name && "two services have the same name");
    }
    kernel->Services.push_back({name, instance, typeid(T), std::move(start), std::move(stop)});
}

// The service of that name. Asserts that it exists and is a T.
template <class T> T* KernelFind(const Kernel& kernel, const std::string& name)
{
    for (const Service& service : kernel.Services)
    {
        if (service.Name == name)
        {
            assert(service.Type == typeid(T) && "the service of that name has another type");
            return static_cast<T*>(service.Instance);
        }
    }
    assert(false && "no service of that name; register it first");
    return nullptr;
}

// Starts all services, or none: on an error those already started are stopped again.
Result<void> KernelStart(Kernel* kernel);

// Stops the running services in reverse order.
void KernelStop(Kernel* kernel);

} // namespace Winchlink
