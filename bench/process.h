// process.h: starts and ends child processes, finds free loopback ports for them, and reads their use of processor and memory.

#pragma once

#include "headers.h"
#include "settings.h"

#include <sys/types.h>

namespace Winchlink
{

// Returns the folder of the running executable.
std::string OwnFolder();

// Creates a new folder under /tmp and returns its path; empty on failure.
std::string MakeFolder(const std::string& name);

inline constexpr size_t SeedsMax = 3; // Number of seeds in a fleet: they read the store, and the other instances follow them.

// Writes the settings file of an instance.
void WriteSettings(const std::string& file, const Settings& settings);

// Starts a program with its output appended to the file `log` and returns its pid; -1 on failure. `environment` is added to the environment
// of this process.
pid_t StartProcess(const std::vector<std::string>& command, const std::string& log, const std::vector<Header>& environment);

// Kills a child process with SIGKILL and reaps it.
void KillProcess(pid_t pid);

// Returns a port on which `ip` can be bound; -1 if there is none.
int FreePort(const std::string& ip);

// Returns a free address on a loopback IP derived from the pid, so that concurrent runs do not take each other's ports.
std::string FreeLoopback();

// Returns the processor time that a process has used, in microseconds; -1 if there is no such process.
int64_t CpuTimeUs(pid_t pid);

// Returns the resident memory of a process in KiB; -1 if there is no such process.
int64_t ResidentKb(pid_t pid);

} // namespace Winchlink
