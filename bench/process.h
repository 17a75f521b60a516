// process.h: starting the real programs, and free loopback ports for them. The bench tool is the only program here that starts others.

#pragma once

#include "headers.h"
#include "settings.h"

#include <sys/types.h>

namespace Winchlink
{

// Folder of the program that runs.
std::string OwnFolder();

// A new folder under /tmp; empty if there can be none.
std::string MakeFolder(const std::string& name);

inline constexpr size_t ReadersMost = 3; // Instances of a fleet that read the store; the others follow them.

// Writes the settings file of an instance.
void WriteSettings(const std::string& file, const Settings& settings);

// Starts a program with its output appended to the file `log`; `environment` is added to our own. -1 if it can't be started.
pid_t StartProcess(const std::vector<std::string>& command, const std::string& log, const std::vector<Header>& environment);

// Ends a process that we started, at once, and collects it.
void KillProcess(pid_t pid);

int FreePort(const std::string& ip);

// A free address on a loopback IP of this process, so that runs side by side do not take each other's ports.
std::string FreeLoopback();

// Processor time that a process has used so far, in microseconds; -1 if there is no such process.
int64_t CpuTimeUs(pid_t pid);

// Memory that a process holds now, in KiB; -1 if there is no such process.
int64_t ResidentKb(pid_t pid);

} // namespace Winchlink
