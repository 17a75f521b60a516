// commands.h: the subcommands of the winchlink program.
//
// Each takes argc and argv starting with its own name, and returns the exit code of the process (docs/OPERATORS.md).

#pragma once

namespace Winchlink
{

enum Exit_ : int
{
    Exit_Good = 0,
    Exit_Faults = 1,     // check: faults were found; status: not serving; lift: not quarantined.
    Exit_Usage = 2,      // Invalid command line, unreadable file or unreachable instance.
    Exit_Start = 3,      // serve, gateway: start failed.
    Exit_ForcedStop = 4, // serve, gateway: stopped by force while requests were in progress.
    Exit_COUNT,
};

int RunServe(int argc, const char** argv);
int RunCheck(int argc, const char** argv);
int RunGateway(int argc, const char** argv);
int RunStatus(int argc, const char** argv);
int RunLift(int argc, const char** argv);

} // namespace Winchlink
