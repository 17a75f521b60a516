// signals.cpp: waiting for the signals that ask a process to stop.

#include "signals.h"

#include <csignal>

namespace Winchlink
{

static sigset_t StopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void BlockStopSignals()
{
    const sigset_t signals = StopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void WaitForStopSignal()
{
    const sigset_t signals = StopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace Winchlink
