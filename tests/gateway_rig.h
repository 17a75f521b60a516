// gateway_rig.h: instances, a store, targets and callers in one event loop, for tests without processes and threads.
//
// Functions that wait do so for an event, with a limit long enough for any machine.

#pragma once

#include "check.h"
#include "gateway.h"
#include "users_store.h"
#include "users_target.h"

namespace Winchlink
{

inline constexpr double RelaxedAimS = 60; // A latency objective that a busy machine doesn't miss: a search takes up to a fifth of it.
inline constexpr TimeUs RigTimeoutUs = 20 * UsPerSecond; // Limit of a wait; a test that reaches it hangs.

// A caller on a plain socket, for bytes that an HTTP library wouldn't send.
struct RawCaller
{
    EventLoop* Loop = nullptr;
    int Socket = -1;
    Watch Readable;
    std::string Read;   // All bytes received.
    bool Ended = false; // The instance closed the connection.

    RawCaller(EventLoop* loop, const std::string& address);
    ~RawCaller();
    RawCaller(const RawCaller&) = delete;
    RawCaller& operator=(const RawCaller&) = delete;
};

void RawSend(const RawCaller& caller, const std::string& bytes);
void RawClose(RawCaller* caller);

struct Rig
{
    EventLoop Loop;
    UsersStore Store;
    std::vector<std::unique_ptr<UsersTarget>> Targets;
    std::vector<std::unique_ptr<Gateway>> Instances;
    Client Callers;
    int LastId = 0;
    uint64_t Version = 0; // Version of the latest configuration.

    Rig();
};

// Starts a target and adds its entry to the store.
UsersTarget& RigTarget(Rig* rig, const std::string& id, const std::string& service = "svc", const std::string& zone = "dc-a");

// Publishes the next version of the configuration with these routes.
void RigConfigure(Rig* rig, const std::vector<UsersRoute>& routes);

// Same as RigConfigure(), with customers.
void RigConfigureWithCustomers(Rig* rig, const std::vector<UsersRoute>& routes, const std::vector<UsersCustomer>& customers);

// Starts an instance in the data centre "dc-a".
Gateway& RigStart(Rig* rig);

// Same as RigStart(), but waits until the instance has the latest configuration and `targets` targets.
Gateway& RigInstance(Rig* rig, size_t targets);

Settings RigSettings(const Rig& rig);

// Returns a local address with a free port.
std::string FreeAddress();

// Starts an instance with these settings and the adapter for the store of the rig.
Gateway& RigStartWith(Rig* rig, const Settings& settings);

// Waits until the instance has the latest configuration and `targets` targets.
void RigWaitForPlan(Rig* rig, const Gateway& gateway, size_t targets);

// Runs the loop until done() returns true. Returns false if RigTimeoutUs passed first.
bool RigRunUntil(Rig* rig, const std::function<bool()>& done);

// Runs the loop for this time, to check that something does not happen.
void RigRunFor(Rig* rig, TimeUs time);

struct RigCall
{
    std::string Method = "GET";
    std::string Target = "/a/x";
    std::string Host = "a.example";
    std::string Body;
    int DeadlineMs = 2000;
    std::string Id;              // Request id; generated if empty.
    std::vector<Header> Headers; // Additional headers.
};

struct RigAnswer
{
    bool Done = false;
    std::string Id; // Request id.
    ClientAnswer Answer;
};

using RigAnswerPtr = std::shared_ptr<RigAnswer>;

// Sends a request unchanged, without waiting for its answer.
RigAnswerPtr RigSendRequest(Rig* rig, const Gateway& instance, ClientRequest request);

// Sends a request with the platform's headers, without waiting for its answer.
RigAnswerPtr RigSend(Rig* rig, const Gateway& instance, const RigCall& call);

// Sends a request and waits for its answer.
RigAnswer RigSendAndWait(Rig* rig, const Gateway& instance, const RigCall& call);

// Returns how often the targets ran requests with this id.
int RigRunCount(const Rig& rig, const std::string& id);

} // namespace Winchlink
