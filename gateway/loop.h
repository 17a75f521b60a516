// loop.h: the event loop of an instance, on libuv: timers, watched sockets and signals.
//
// How to use it: start timers and watches, then LoopRun(). All callbacks run on the thread that runs the loop, so nothing here locks. A
// handle ends its timer or watch when it is destroyed; a callback may destroy its own handle.
//
// Index of this file:
// [SECTION] Loop
// [SECTION] Timers
// [SECTION] Sockets
// [SECTION] Signals

#pragma once

#include "winchlink.h"

#include <functional>
#include <set>
#include <uv.h>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Loop
//-----------------------------------------------------------------------------

struct EventLoop
{
    uv_loop_t Uv = {};                               // libuv's part.
    uv_prepare_t Prepare = {};                       // Runs the hooks.
    std::map<uint64_t, std::function<void()>> Hooks; // Called before each wait.
    uint64_t LastHook = 0;                           //
    uint64_t StepFromNs = 0;                         // When the loop last began to wait, by libuv's clock.
    uint64_t IdleNs = 0;                             // How long it had waited in all by then.
    TimeUs LongestStepUs = 0;                        // Longest time that it worked between two waits.
    std::set<struct TimerHandle*> Timers;            // Not run yet.
    std::function<TimeUs()> AsleepUs;                // How long the machine has been suspended in all; another one for tests.
    std::function<void(TimeUs)> OnSuspended;         // Called after a suspension, with its length, before timers run. May be empty.
    TimeUs AsleepBeforeUs = 0;                       // What AsleepUs() last said.

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;
};

// Runs until LoopStop().
void LoopRun(EventLoop* loop);
void LoopStop(EventLoop* loop);

// Runs until `done` holds or the time is over. True if it holds.
bool LoopRunUntil(EventLoop* loop, TimeUs limit, const std::function<bool()>& done);

// Calls `hook` each time the loop is about to wait, after all that was ready has been handled. The number takes it back.
uint64_t LoopBeforeWait(EventLoop* loop, std::function<void()> hook);
void LoopEndBeforeWait(EventLoop* loop, uint64_t number);

//-----------------------------------------------------------------------------
// [SECTION] Timers
//-----------------------------------------------------------------------------

struct TimerHandle;

struct TimerEnd
{
    void operator()(TimerHandle* timer) const;
};

using Timer = std::unique_ptr<TimerHandle, TimerEnd>;

// Calls `run` once after `delay`, rounded up to milliseconds. Time for which the machine is suspended counts, though libuv's clock stands
// still meanwhile: it is noticed when the loop is next about to wait, and each timer that became due runs then, once.
Timer TimerStart(EventLoop* loop, TimeUs delay, std::function<void()> run);

//-----------------------------------------------------------------------------
// [SECTION] Sockets
//-----------------------------------------------------------------------------

struct WatchHandle;

struct WatchEnd
{
    void operator()(WatchHandle* watch) const;
};

using Watch = std::unique_ptr<WatchHandle, WatchEnd>;

// Calls `run` with libuv's events (UV_READABLE, UV_WRITABLE, UV_DISCONNECT) when one of `events` holds. End the watch before the socket
// is closed.
Watch WatchStart(EventLoop* loop, int socket, int events, std::function<void(int events)> run);

// Watches for other events from now on.
void WatchChange(WatchHandle* watch, int events);

//-----------------------------------------------------------------------------
// [SECTION] Signals
//-----------------------------------------------------------------------------

struct SignalHandle;

struct SignalEnd
{
    void operator()(SignalHandle* signal) const;
};

using SignalWatch = std::unique_ptr<SignalHandle, SignalEnd>;

// Calls `run` each time the process gets the signal.
SignalWatch SignalStart(EventLoop* loop, int number, std::function<void()> run);

} // namespace Winchlink
