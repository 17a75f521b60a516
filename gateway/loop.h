// loop.h: the event loop of an instance, on libuv: timers, watched sockets and signals.
//
// How to use it: start timers and watches, then call LoopRun(). All callbacks run on the thread that runs the loop, so there are no locks.
// Destroying a handle stops its timer or watch; a callback may destroy its own handle.
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
    uv_loop_t Uv = {};                               // libuv's loop.
    uv_prepare_t Prepare = {};                       // Calls the hooks.
    std::map<uint64_t, std::function<void()>> Hooks; // Called before each wait, by id.
    uint64_t LastHook = 0;                           // Id of the newest hook.
    uint64_t StepStartNs = 0;                        // Time when the loop last started to wait, by libuv's clock.
    uint64_t IdleNs = 0;                             // Total time the loop had waited by then.
    TimeUs LongestStepUs = 0;                        // Longest time spent on callbacks between two waits.
    TimeUs WaitBeganUs = 0;                          // Time when the loop last started to wait, by NowUs(); 0: not yet.
    TimeUs WaitDueUs = 0;                            // When that wait ends at the latest; 0: when a socket is ready.
    TimeUs HeldUpSinceUs = 0;                        // If the callbacks before it took long: when they began. Otherwise 0.
    std::set<struct TimerHandle*> Timers;            // Timers that have not fired.
    std::function<TimeUs()> SuspendedTotalUs;        // Total time for which the machine was suspended; tests replace it.
    std::function<void(TimeUs)> OnSuspended;         // Called after a suspension, with its length, before timers run. May be empty.
    TimeUs LastSuspendedTotalUs = 0;                 // Last result of SuspendedTotalUs().

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;
};

// Runs until LoopStop().
void LoopRun(EventLoop* loop);
void LoopStop(EventLoop* loop);

// Runs until `done` returns true or the time limit is over. Returns the last result of `done`.
bool LoopRunUntil(EventLoop* loop, TimeUs limit, const std::function<bool()>& done);

// Since when the events that are being handled may have been ready: now, or earlier if the process was held up meanwhile, for example by
// SIGSTOP. What a message says of the present then holds for that earlier time only.
TimeUs LoopReadySinceUs(const EventLoop& loop);

// Calls `hook` each time before the loop waits, after all ready events have been handled. Returns an id for LoopRemoveHook().
uint64_t LoopAddHook(EventLoop* loop, std::function<void()> hook);
void LoopRemoveHook(EventLoop* loop, uint64_t number);

//-----------------------------------------------------------------------------
// [SECTION] Timers
//-----------------------------------------------------------------------------

struct TimerHandle;

struct TimerDeleter
{
    void operator()(TimerHandle* timer) const;
};

using Timer = std::unique_ptr<TimerHandle, TimerDeleter>;

// Calls `run` once after `delay`, rounded up to milliseconds. Time for which the machine is suspended counts, although libuv's clock does
// not advance then: suspensions are detected before each wait, and timers that became due run then.
Timer TimerStart(EventLoop* loop, TimeUs delay, std::function<void()> run);

//-----------------------------------------------------------------------------
// [SECTION] Sockets
//-----------------------------------------------------------------------------

struct WatchHandle;

struct WatchDeleter
{
    void operator()(WatchHandle* watch) const;
};

using Watch = std::unique_ptr<WatchHandle, WatchDeleter>;

// Calls `run` with libuv's events (UV_READABLE, UV_WRITABLE, UV_DISCONNECT) when one of `events` occurs. Destroy the watch before closing
// the socket.
Watch WatchStart(EventLoop* loop, int socket, int events, std::function<void(int events)> run);

// Replaces the watched events; 0 pauses the watch.
void WatchChange(WatchHandle* watch, int events);

//-----------------------------------------------------------------------------
// [SECTION] Signals
//-----------------------------------------------------------------------------

struct SignalHandle;

struct SignalDeleter
{
    void operator()(SignalHandle* signal) const;
};

using SignalWatch = std::unique_ptr<SignalHandle, SignalDeleter>;

// Calls `run` each time the process gets the signal.
SignalWatch SignalStart(EventLoop* loop, int number, std::function<void()> run);

} // namespace Winchlink
