// gateway_rig.cpp: instances, a store, targets and callers in one event loop.

#include "gateway_rig.h"

#include "process.h"
#include "socket.h"
#include "table_adapter.h"
#include "wire.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Winchlink
{

static const char* const Loopback = "127.0.0.1";

std::string FreeAddress()
{
    return fmt::format("{}:{}", Loopback, FreePort(Loopback));
}

RawCaller::RawCaller(EventLoop* loop, const std::string& address) : Loop(loop), Socket(socket(AF_INET, SOCK_STREAM, 0))
{
    const sockaddr_in to = ToSocketAddress(ParseEndpoint(address).value());
    CPPUNIT_ASSERT_EQUAL(0, connect(Socket, reinterpret_cast<const sockaddr*>(&to), sizeof to));
    Readable = WatchStart(loop, Socket, UV_READABLE,
                          [this](int)
                          {
                              std::string buffer(64 * KiB, '\0');
                              const ssize_t got = recv(Socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
                              Read.append(buffer, 0, got > 0 ? static_cast<size_t>(got) : 0);
                              Ended = got == 0 || (got < 0 && errno != EAGAIN);
                              if (Ended)
                              {
                                  Readable = nullptr;
                              }
                          });
}

RawCaller::~RawCaller()
{
    RawClose(this);
}

void RawSend(const RawCaller& caller, const std::string& bytes)
{
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(bytes.size()), send(caller.Socket, bytes.data(), bytes.size(), MSG_NOSIGNAL));
}

void RawClose(RawCaller* caller)
{
    if (caller->Socket >= 0)
    {
        caller->Readable = nullptr;
        close(caller->Socket);
        caller->Socket = -1;
    }
}

Rig::Rig()
{
    ClientStart(&Callers, &Loop);
    CPPUNIT_ASSERT(bool(UsersStoreStart(&Store, &Loop, FreeAddress())));
}

UsersTarget& RigTarget(Rig* rig, const std::string& id, const std::string& service, const std::string& zone)
{
    rig->Targets.push_back(std::make_unique<UsersTarget>());
    UsersTarget& target = *rig->Targets.back();
    CPPUNIT_ASSERT(UsersTargetStart(&target, &rig->Loop, id, FreeAddress()));
    UsersStoreTarget(&rig->Store, id, service, target.Address, zone);
    return target;
}

void RigConfigure(Rig* rig, const std::vector<UsersRoute>& routes)
{
    UsersStoreConfigure(&rig->Store, ++rig->Version, routes);
}

void RigConfigureWithCustomers(Rig* rig, const std::vector<UsersRoute>& routes, const std::vector<UsersCustomer>& customers)
{
    UsersStoreConfigureCustomers(&rig->Store, ++rig->Version, routes, customers);
}

Settings RigSettings(const Rig& rig)
{
    Settings settings;
    settings.Instance = "test";
    settings.DataCentre = "dc-a";
    settings.CallerAddress = FreeAddress();
    settings.ReadyAddress = FreeAddress();
    settings.MetricsAddress = FreeAddress();
    settings.StoreAddress = rig.Store.Address;
    settings.Level = LogLevel_Error;
    return settings;
}

Gateway& RigStartWith(Rig* rig, const Settings& settings)
{
    rig->Instances.push_back(std::make_unique<Gateway>());
    Gateway& gateway = *rig->Instances.back();
    const Adapter adapter = rig->Store.ServesTable ? TableAdapter() : PlatformAdapter();
    CPPUNIT_ASSERT(bool(GatewayStart(&gateway, &rig->Loop, adapter, settings)));
    return gateway;
}

Gateway& RigStart(Rig* rig)
{
    return RigStartWith(rig, RigSettings(*rig));
}

void RigWaitForPlan(Rig* rig, const Gateway& gateway, size_t targets)
{
    const auto knows = [&]()
    {
        const RoutePlanPtr& plan = gateway.Requests.Plan;
        return plan && plan->Version == rig->Version && gateway.Requests.Directory.Targets.size() == targets;
    };
    CPPUNIT_ASSERT(RigRunUntil(rig, knows));
}

Gateway& RigInstance(Rig* rig, size_t targets)
{
    Gateway& gateway = RigStart(rig);
    RigWaitForPlan(rig, gateway, targets);
    return gateway;
}

bool RigRunUntil(Rig* rig, const std::function<bool()>& done)
{
    return LoopRunUntil(&rig->Loop, RigTimeoutUs, done);
}

void RigRunFor(Rig* rig, TimeUs time)
{
    LoopRunUntil(&rig->Loop, time, []() { return false; });
}

RigAnswerPtr RigSendRequest(Rig* rig, const Gateway& instance, ClientRequest request)
{
    auto out = std::make_shared<RigAnswer>();
    request.Address = instance.Config.CallerAddress;
    request.HasBody = request.Method == "POST";
    request.TimeoutUs = RigTimeoutUs;
    ClientSend(&rig->Callers, std::move(request),
               [out](ClientAnswer answer)
               {
                   out->Done = true;
                   out->Answer = std::move(answer);
               });
    return out;
}

RigAnswerPtr RigSend(Rig* rig, const Gateway& instance, const RigCall& call)
{
    const std::string id = call.Id.empty() ? fmt::format("id-{}", ++rig->LastId) : call.Id;
    ClientRequest request;
    request.Method = call.Method;
    request.Target = call.Target;
    request.Headers = {{"Host", call.Host}, {"Winchlink-Request-Id", id}, {"Winchlink-Deadline-Ms", std::to_string(call.DeadlineMs)}};
    request.Headers.insert(request.Headers.end(), call.Headers.begin(), call.Headers.end());
    request.Body = call.Body;
    RigAnswerPtr out = RigSendRequest(rig, instance, std::move(request));
    out->Id = id;
    return out;
}

RigAnswer RigSendAndWait(Rig* rig, const Gateway& instance, const RigCall& call)
{
    const RigAnswerPtr answer = RigSend(rig, instance, call);
    CPPUNIT_ASSERT(RigRunUntil(rig, [&]() { return answer->Done; }));
    return *answer;
}

int RigRunCount(const Rig& rig, const std::string& id)
{
    int runs = 0;
    for (const auto& target : rig.Targets)
    {
        runs += UsersTargetRuns(*target, id);
    }
    return runs;
}

} // namespace Winchlink
