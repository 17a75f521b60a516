// signals.h: waiting for the signals that ask a process to stop.

#pragma once

namespace Winchlink
{

// Call before any thread starts, so that all threads inherit it.
void BlockStopSignals();

// Blocks until SIGTERM or SIGINT comes.
void WaitForStopSignal();

} // namespace Winchlink
