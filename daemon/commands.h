// commands.h: the subcommands of the winchlink program.
//
// Each takes the arguments after its own name, and returns the exit code of the process (docs/OPERATORS.md).

#pragma once

namespace Winchlink
{

enum Exit_ : int
{
    Exit_Good = 0,
    Exit_Faults = 1, // check: faults were found; status: not serving; lift: not held.
    Exit_Usage = 2,  // The command line can't be understood, or a file not read.
    Exit_Start = 3,  // serve, gateway: can't start.
    Exit_Cut = 4,    // serve, gateway: ended with requests in progress.
    Exit_COUNT,
};

int RunServe(int argc, const char** argv);
int RunCheck(int argc, const char** argv);
int RunGateway(int argc, const char** argv);
int RunStatus(int argc, const char** argv);
int RunLift(int argc, const char** argv);

} // namespace Winchlink
