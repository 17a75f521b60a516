// loop.cpp: the event loop of an instance, on libuv.
//
// libuv requires a handle to stay in memory until its close callback, so handles are freed there.
//
// Index of this file:
// [SECTION] Loop
// [SECTION] Timers
// [SECTION] Sockets
// [SECTION] Signals

#include "loop.h"

#include "clock.h"
#include <algorithm>

#include <cassert>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Loop
//-----------------------------------------------------------------------------

struct TimerHandle
{
    uv_timer_t Uv = {};
    EventLoop* Owner = nullptr;
    std::function<void()> Run;
};

static constexpr TimeUs HeldUpMinUs = 20 * UsPerMs; // Longer than callbacks usually take, and than timers are usually late.

// Updates LongestStepUs: the time since the last wait started, minus the time waited. Returns the latter.
static TimeUs MeasureStep(EventLoop* loop)
{
    constexpr uint64_t ns_per_us = 1000;
    const uint64_t now = uv_hrtime();
    const uint64_t idle = uv_metrics_idle_time(&loop->Uv);
    const uint64_t passed = now - loop->StepStartNs;
    const uint64_t waited = idle - loop->IdleNs;
    const auto worked = static_cast<TimeUs>((passed > waited ? passed - waited : 0) / ns_per_us);
    loop->LongestStepUs = std::max(loop->LongestStepUs, loop->StepStartNs > 0 ? worked : 0);
    loop->StepStartNs = now;
    loop->IdleNs = idle;
    return static_cast<TimeUs>(waited / ns_per_us);
}

// Records when the wait that follows begins and ends at the latest, and whether the process was held up before it.
static void NoteWait(EventLoop* loop, TimeUs waited)
{
    const TimeUs now = NowUs();
    const TimeUs worked = now - loop->WaitBeganUs - waited;
    const int timeout_ms = uv_backend_timeout(&loop->Uv);
    loop->HeldUpSinceUs = loop->WaitBeganUs > 0 && worked >= HeldUpMinUs ? now - worked : 0;
    loop->WaitBeganUs = now;
    loop->WaitDueUs = timeout_ms >= 0 ? now + timeout_ms * UsPerMs : 0;
}

static TimeUs TotalSuspendedUs()
{
    return ReadClock(CLOCK_BOOTTIME) - ReadClock(CLOCK_MONOTONIC);
}

static void StartTimer(TimerHandle* timer, uint64_t delay_ms);

// Advances all timers by the time for which the machine was suspended, as libuv's clock stands still then. Otherwise timeouts would be
// late by the length of the suspension.
static void AdvanceTimers(EventLoop* loop)
{
    constexpr TimeUs min_suspension = 20 * UsPerMs; // Smaller differences come from reading the two clocks one after the other.
    const TimeUs total = loop->SuspendedTotalUs();
    const TimeUs suspended = total - loop->LastSuspendedTotalUs;
    if (suspended < min_suspension)
    {
        return;
    }
    loop->LastSuspendedTotalUs = total;
    if (loop->OnSuspended)
    {
        loop->OnSuspended(suspended);
    }
    const auto suspended_ms = static_cast<uint64_t>(suspended / UsPerMs);
    for (TimerHandle* timer : loop->Timers)
    {
        const uint64_t left = uv_timer_get_due_in(&timer->Uv);
        StartTimer(timer, left > suspended_ms ? left - suspended_ms : 0);
    }
}

static void RunHooks(uv_prepare_t* prepare)
{
    auto* loop = static_cast<EventLoop*>(prepare->data);
    AdvanceTimers(loop);
    for (const auto& entry : loop->Hooks)
    {
        entry.second();
    }
    NoteWait(loop, MeasureStep(loop));
}

EventLoop::EventLoop() : SuspendedTotalUs(TotalSuspendedUs), LastSuspendedTotalUs(TotalSuspendedUs())
{
    const int made = uv_loop_init(&Uv);
    assert(made == 0 && "creating an event loop failed, for example for lack of file descriptors");
    (void)made;
    uv_loop_configure(&Uv, UV_METRICS_IDLE_TIME);
    uv_prepare_init(&Uv, &Prepare);
    Prepare.data = this;
    uv_prepare_start(&Prepare, RunHooks);
}

EventLoop::~EventLoop()
{
    uv_close(reinterpret_cast<uv_handle_t*>(&Prepare), nullptr);
    uv_run(&Uv, UV_RUN_NOWAIT); // Runs the close callbacks.
    uv_loop_close(&Uv);
}

void LoopRun(EventLoop* loop)
{
    uv_run(&loop->Uv, UV_RUN_DEFAULT);
}

void LoopStop(EventLoop* loop)
{
    uv_stop(&loop->Uv);
}

TimeUs LoopReadySinceUs(const EventLoop& loop)
{
    const TimeUs now = NowUs();
    if (loop.HeldUpSinceUs > 0)
    {
        return loop.HeldUpSinceUs;
    }
    const bool overslept = loop.WaitDueUs > 0 && now >= loop.WaitDueUs + HeldUpMinUs;
    return overslept ? loop.WaitBeganUs : now;
}

bool LoopRunUntil(EventLoop* loop, TimeUs limit, const std::function<bool()>& done)
{
    bool over = false;
    const Timer guard = TimerStart(loop, limit, [&over]() { over = true; });
    while (!done() && !over)
    {
        uv_run(&loop->Uv, UV_RUN_ONCE);
    }
    return done();
}

uint64_t LoopAddHook(EventLoop* loop, std::function<void()> hook)
{
    loop->Hooks[++loop->LastHook] = std::move(hook);
    return loop->LastHook;
}

void LoopRemoveHook(EventLoop* loop, uint64_t number)
{
    loop->Hooks.erase(number);
}

template <class Handle> static void CloseAndFree(Handle* handle)
{
    uv_close(reinterpret_cast<uv_handle_t*>(&handle->Uv), [](uv_handle_t* uv) { delete static_cast<Handle*>(uv->data); });
}

//-----------------------------------------------------------------------------
// [SECTION] Timers
//-----------------------------------------------------------------------------

void TimerDeleter::operator()(TimerHandle* timer) const
{
    uv_timer_stop(&timer->Uv);
    timer->Owner->Timers.erase(timer);
    CloseAndFree(timer);
}

static void OnTimer(uv_timer_t* uv)
{
    auto* timer = static_cast<TimerHandle*>(uv->data);
    timer->Owner->Timers.erase(timer);
    const std::function<void()> once = std::move(timer->Run); // Moved out, as the call may destroy the timer.
    once();
}

static void StartTimer(TimerHandle* timer, uint64_t delay_ms)
{
    uv_timer_start(&timer->Uv, OnTimer, delay_ms, 0);
}

Timer TimerStart(EventLoop* loop, TimeUs delay, std::function<void()> run)
{
    Timer timer(new TimerHandle());
    timer->Owner = loop;
    timer->Run = std::move(run);
    uv_timer_init(&loop->Uv, &timer->Uv);
    timer->Uv.data = timer.get();
    loop->Timers.insert(timer.get());
    const TimeUs rounded_up = (std::max<TimeUs>(delay, 0) + UsPerMs - 1) / UsPerMs;
    StartTimer(timer.get(), static_cast<uint64_t>(rounded_up));
    return timer;
}

//-----------------------------------------------------------------------------
// [SECTION] Sockets
//-----------------------------------------------------------------------------

struct WatchHandle
{
    uv_poll_t Uv = {};
    std::function<void(int)> Run;
    int Wanted = 0; // Events that are watched; 0: paused.
};

void WatchDeleter::operator()(WatchHandle* watch) const
{
    uv_poll_stop(&watch->Uv);
    CloseAndFree(watch);
}

static void OnSocketReady(uv_poll_t* uv, int status, int events)
{
    auto* watch = static_cast<WatchHandle*>(uv->data);
    const std::function<void(int)> run = watch->Run; // Copied, as the call may destroy the watch.
    if (status < 0)
    {
        WatchChange(watch, watch->Wanted); // libuv has stopped it for the socket's error, but there may be more to read.
    }
    run(status < 0 ? UV_READABLE | UV_WRITABLE | UV_DISCONNECT : events);
}

Watch WatchStart(EventLoop* loop, int socket, int events, std::function<void(int)> run)
{
    Watch watch(new WatchHandle());
    watch->Run = std::move(run);
    uv_poll_init(&loop->Uv, &watch->Uv, socket);
    watch->Uv.data = watch.get();
    WatchChange(watch.get(), events);
    return watch;
}

void WatchChange(WatchHandle* watch, int events)
{
    watch->Wanted = events;
    if (events == 0)
    {
        uv_poll_stop(&watch->Uv);
        return;
    }
    uv_poll_start(&watch->Uv, events, OnSocketReady);
}

//-----------------------------------------------------------------------------
// [SECTION] Signals
//-----------------------------------------------------------------------------

struct SignalHandle
{
    uv_signal_t Uv = {};
    std::function<void()> Run;
};

void SignalDeleter::operator()(SignalHandle* signal) const
{
    uv_signal_stop(&signal->Uv);
    CloseAndFree(signal);
}

SignalWatch SignalStart(EventLoop* loop, int number, std::function<void()> run)
{
    SignalWatch watch(new SignalHandle());
    watch->Run = std::move(run);
    uv_signal_init(&loop->Uv, &watch->Uv);
    watch->Uv.data = watch.get();
    uv_signal_start(
        &watch->Uv, [](uv_signal_t* uv, int) { static_cast<SignalHandle*>(uv->data)->Run(); }, number);
    return watch;
}

} // namespace Winchlink
