// relay.cpp: a relay between instances that can cut, delay, double and lose datagrams, to test what they do under it.
//
// Usage: winchbench relay --address ADMIN ADVERTISED=CONTROL...
// For each pair it listens on ADVERTISED (UDP and TCP) and passes on to CONTROL. Senders of datagrams are known by their control address.
// POST /admin/cut?groups=A,B,...  the n-th letter is the group of the n-th instance; datagrams pass only within a group; empty heals
// POST /admin/faults?lose=P&twice=P&delayMs=D  percent lost and doubled, delay up to D
// Streams (TCP) pass unless the relay is cut: an answer by stream needs a request by datagram first, which a cut stops.

#include "bench.h"
#include "options.h"
#include "server.h"
#include "signals.h"
#include "socket.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Winchlink
{

struct RelayPath
{
    Endpoint Advertised; // Where we listen.
    Endpoint Control;    // Where we pass on to.
    int Udp = -1;
    int Listener = -1;
};

struct DelayedDatagram
{
    TimeUs At = 0;
    size_t Path = 0;
    std::string Bytes;
};

struct RelayFaults
{
    int LosePercent = 0;
    int TwicePercent = 0;
    int DelayMs = 0;
};

struct RelayStandIn
{
    std::mutex Mutex; // Guards Groups and Faults.
    std::string Groups;
    RelayFaults Faults;
    std::vector<RelayPath> Paths;
    std::vector<DelayedDatagram> Delayed;
    Random Rng{1};
    std::atomic<bool> Stopping{false};
};

static char GroupOf(const RelayStandIn& relay, const Endpoint& control)
{
    for (size_t n = 0; n < relay.Paths.size() && n < relay.Groups.size(); n++)
    {
        if (relay.Paths[n].Control == control)
        {
            return relay.Groups[n];
        }
    }
    return 0;
}

static bool Passes(const RelayStandIn& relay, const Endpoint& from, const Endpoint& to)
{
    return relay.Groups.empty() || GroupOf(relay, from) == GroupOf(relay, to);
}

static bool Draw(RelayStandIn* relay, int percent)
{
    return std::uniform_int_distribution<int>(0, 99)(relay->Rng) < percent;
}

static void PassOn(RelayStandIn* relay, size_t path, const std::string& bytes)
{
    const sockaddr_in to = ToSocketAddress(relay->Paths[path].Control);
    sendto(relay->Paths[path].Udp, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

static void TakeDatagram(RelayStandIn* relay, size_t path, const std::string& bytes, const Endpoint& from)
{
    const std::lock_guard<std::mutex> lock(relay->Mutex);
    if (!Passes(*relay, from, relay->Paths[path].Control) || Draw(relay, relay->Faults.LosePercent))
    {
        return;
    }
    const int copies = Draw(relay, relay->Faults.TwicePercent) ? 2 : 1;
    for (int n = 0; n < copies; n++)
    {
        const TimeUs delay = std::uniform_int_distribution<TimeUs>(0, relay->Faults.DelayMs * UsPerMs)(relay->Rng);
        relay->Delayed.push_back({NowUs() + delay, path, bytes});
    }
}

static void ReadDatagrams(RelayStandIn* relay, size_t path)
{
    std::array<char, 65536> buffer;
    sockaddr_in from = {};
    socklen_t size = sizeof(from);
    ssize_t got = 0;
    while ((got = recvfrom(relay->Paths[path].Udp, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&from), &size)) >= 0)
    {
        TakeDatagram(relay, path, std::string(buffer.data(), static_cast<size_t>(got)),
                     {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)});
    }
}

static void SendDue(RelayStandIn* relay)
{
    const TimeUs now = NowUs();
    for (size_t n = relay->Delayed.size(); n-- > 0;)
    {
        if (relay->Delayed[n].At <= now)
        {
            PassOn(relay, relay->Delayed[n].Path, relay->Delayed[n].Bytes);
            relay->Delayed.erase(relay->Delayed.begin() + static_cast<std::ptrdiff_t>(n));
        }
    }
}

// Copies one stream to its end, then closes both sides.
static void CopyStream(int from, const Endpoint& to)
{
    const int out = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = ToSocketAddress(to);
    std::array<char, 65536> buffer;
    ssize_t got = 0;
    if (connect(out, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
    {
        while ((got = recv(from, buffer.data(), buffer.size(), 0)) > 0 &&
               send(out, buffer.data(), static_cast<size_t>(got), MSG_NOSIGNAL) == got)
        {
        }
    }
    close(out);
    close(from);
}

static void AcceptStream(RelayStandIn* relay, size_t path)
{
    const int fd = accept4(relay->Paths[path].Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
    {
        return;
    }
    const std::lock_guard<std::mutex> lock(relay->Mutex);
    if (!relay->Groups.empty())
    {
        close(fd);
        return;
    }
    std::thread(CopyStream, fd, relay->Paths[path].Control).detach();
}

static void RelayLoop(RelayStandIn* relay)
{
    std::vector<pollfd> polls;
    for (const RelayPath& path : relay->Paths)
    {
        polls.push_back({path.Udp, POLLIN, 0});
        polls.push_back({path.Listener, POLLIN, 0});
    }
    while (!relay->Stopping)
    {
        poll(polls.data(), polls.size(), 2);
        for (size_t n = 0; n < relay->Paths.size(); n++)
        {
            ReadDatagrams(relay, n);
            AcceptStream(relay, n);
        }
        SendDue(relay);
    }
}

static int NumberIn(const std::string& path, const char* key)
{
    return static_cast<int>(std::strtol(QueryValue(path, key).c_str(), nullptr, 10));
}

static ServerResponse HandleRelay(RelayStandIn* relay, const ServerRequest& request)
{
    const std::lock_guard<std::mutex> lock(relay->Mutex);
    if (request.Path.compare(0, 10, "/admin/cut") == 0)
    {
        relay->Groups = QueryValue(request.Path, "groups");
    }
    else
    {
        relay->Faults = {NumberIn(request.Path, "lose"), NumberIn(request.Path, "twice"), NumberIn(request.Path, "delayMs")};
    }
    return {};
}

static bool AddPath(RelayStandIn* relay, const std::string& argument)
{
    const size_t equals = argument.find('=');
    const Result<Endpoint> advertised = ParseEndpoint(argument.substr(0, equals));
    const Result<Endpoint> control = ParseEndpoint(equals != std::string::npos ? argument.substr(equals + 1) : "");
    if (!advertised || !control)
    {
        return false;
    }
    RelayPath path;
    path.Advertised = advertised.value();
    path.Control = control.value();
    path.Udp = OpenBound(SOCK_DGRAM, path.Advertised);
    path.Listener = OpenBound(SOCK_STREAM, path.Advertised);
    const bool good = path.Udp >= 0 && path.Listener >= 0 && listen(path.Listener, 64) == 0;
    relay->Paths.push_back(path);
    return good;
}

int RunRelay(int argc, const char** argv)
{
    char* address = nullptr;
    const poptOption table[] = {{"address", 'a', POPT_ARG_STRING, &address, 0, "where to be controlled", "IP:PORT"}, OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchbench relay", argc, argv, table, "--address IP:PORT ADVERTISED=CONTROL...");
    const std::unique_ptr<char, decltype(&free)> owner(address, free);
    if (parsed.Exit || address == nullptr)
    {
        return parsed.Exit.value_or(2);
    }
    BlockStopSignals();
    RelayStandIn relay;
    for (const std::string& argument : parsed.Arguments)
    {
        if (!AddPath(&relay, argument))
        {
            fmt::print(stderr, "relay: expected ADVERTISED=CONTROL with free addresses, found {}\n", argument);
            return 2;
        }
    }
    Server server;
    ServerConfig config;
    config.Address = address;
    if (!ServerStart(&server, config, [&](const ServerRequest& request) { return HandleRelay(&relay, request); }))
    {
        return 3;
    }
    std::thread loop([&]() { RelayLoop(&relay); });
    WaitForStopSignal();
    relay.Stopping = true;
    loop.join();
    ServerStop(&server);
    return 0;
}

} // namespace Winchlink
