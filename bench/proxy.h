// proxy.h: a loopback proxy inside an event loop that delays, resets, silences or cuts one way what passes through it.

#pragma once

#include "loop.h"

namespace Winchlink
{

enum ProxyMode_ : int
{
    ProxyMode_Good,
    ProxyMode_Delay,  // Bytes wait for DelayUs, in both directions.
    ProxyMode_Silent, // Connections come up; no byte passes.
    ProxyMode_OneWay, // Bytes pass to the server and not back.
    ProxyMode_Reset,  // Open connections were reset; new ones are too.
    ProxyMode_COUNT,
};

struct ProxyPair;

struct Proxy
{
    EventLoop* Loop = nullptr;
    std::string Address; // Where it listens.
    std::string Server;  // Where it leads.
    ProxyMode_ Mode = ProxyMode_Good;
    TimeUs DelayUs = 50 * UsPerMs;
    int Listening = -1;
    Watch Accepting;
    std::map<uint64_t, std::unique_ptr<ProxyPair>> Pairs; // Connections.
    uint64_t LastPair = 0;

    Proxy();
    ~Proxy();
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;
};

// False if the address can't be had.
bool ProxyStart(Proxy* proxy, EventLoop* loop, const std::string& address, const std::string& server);

// From now on. Bytes that were held are passed on when it turns good.
void ProxySetMode(Proxy* proxy, ProxyMode_ mode);

} // namespace Winchlink
