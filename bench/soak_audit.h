// soak_audit.h: what a soak of instances saw, and the checks on it. Pure, so that tests can plant each fault.

#pragma once

#include "winchlink.h"

#include <limits>
#include <set>

namespace Winchlink
{

// A request as its caller saw it.
struct SoakRequest
{
    std::string Id;
    bool Repeatable = false;
    int Instance = -1;        // Which instance it was sent to.
    std::string Path;         //
    TimeUs SentUs = 0;        //
    TimeUs EndedUs = 0;       // 0: not yet.
    int Status = 0;           // 0: no whole answer.
    bool OwnAnswer = false;   // A success is signed, whole, and names the request's method and path.
    bool NotRead = false;     // It stood behind an answer that closed its connection: to its caller it was not read.
    bool MovingRoute = false; // It went to the route whose service changes with each configuration.
};

// A request as a target saw it.
struct SoakArrival
{
    std::string Id;
    std::string Target;     // Its id.
    std::string Service;    //
    int Instance = -1;      // From which instance.
    TimeUs AtUs = 0;        //
    bool Run = false;       // Work began.
    std::string DataCentre; // Of the target.
};

// A span in which something was done to an instance or to the store.
struct SoakTrouble
{
    int Instance = -1; // -1: the store.
    TimeUs FromUs = 0;
    TimeUs UntilUs = 0;
    bool Planned = false; // A planned stop, and nothing else.
};

struct SoakVersion
{
    std::string Service; // Of the moving route.
    TimeUs AtUs = 0;     // Acknowledged by the store.
};

// A target that leaves, or whose entry another writer has spoilt.
struct SoakLeaving
{
    std::string Target;
    TimeUs AtUs = 0;                                     // Acknowledged by the store.
    TimeUs UntilUs = std::numeric_limits<TimeUs>::max(); // Its entry is good again.
};

// A target that has ended under a request.
struct SoakEnd
{
    std::string Path; // Of the request.
    TimeUs AtUs = 0;
};

struct SoakEvacuation
{
    std::string DataCentre;
    TimeUs FromUs = 0;  // Acknowledged by the store.
    TimeUs UntilUs = 0; // Given back.
};

// A target that has turned cold.
struct SoakCold
{
    std::string Target;
    TimeUs FromUs = 0; // It says so to whoever asks.
    TimeUs UntilUs = 0;
};

// A target that names a limit in its answers.
struct SoakLimit
{
    std::string Target;
    double PerS = 0;
    TimeUs FromUs = 0;
    TimeUs UntilUs = 0;
};

// A target that refuses every request, and wants nothing for so long after each from the instance that sent it.
struct SoakRest
{
    std::string Target;
    TimeUs RestUs = 0;
    TimeUs FromUs = 0;
    TimeUs UntilUs = 0;
    TimeUs NextStartUs = std::numeric_limits<TimeUs>::max(); // Another start of it, which wants requests again.
};

struct SoakLog
{
    std::vector<SoakRequest> Requests;
    std::vector<SoakArrival> Arrivals;
    std::vector<SoakTrouble> Troubles;
    std::vector<SoakVersion> Versions; // In order.
    std::vector<SoakLeaving> Leavings;
    std::vector<SoakEvacuation> Evacuations;
    std::vector<SoakCold> Colds;
    std::vector<SoakEnd> Ends; // In order.
    std::vector<SoakLimit> Limits;
    std::vector<SoakRest> Rests;
    std::vector<SoakLeaving> SaidLeaving; // In their answers; acknowledged by nobody.
    int Instances = 0;
    int OwnEnds = 0;       // Instances that ended by themselves.
    int ForeignBytes = 0;  // Connections on which more came than answers to what was asked.
    int LateEnds = 0;      // Instances that had to be killed after their grace time.
    int RecoveryAsked = 0; // After all faults.
    int RecoveryGood = 0;
};

// The bounds of the users' pages that the checks go by.
struct SoakBounds
{
    TimeUs DrainUs = 2 * UsPerSecond;
    TimeUs ApplyUs = 2 * UsPerSecond;
    TimeUs EvacuateUs = 2 * UsPerSecond;    // Stricter than the users' 5 s.
    TimeUs ColdSeenUs = 300 * UsPerMs;      // Requests that were on their way when a target turned cold have arrived.
    double ColdInASecond = 2.5 * 1.5 + 8;   // Requests that a cold target may get in any second, from all instances.
    TimeUs TouchUs = 3 * UsPerSecond;       // An instance counts after so long without trouble.
    TimeUs HeardUs = 500 * UsPerMs;         // What an instance sent before an answer came has arrived.
    TimeUs LimitSpreadUs = 3 * UsPerSecond; // A limit binds so long after it was first named,
    TimeUs LimitWindowUs = 4 * UsPerSecond; // in any such window,
    double LimitOverage = 1.5;              // up to so many times itself
    double LimitSlack = 5;                  // and so many requests more.
    size_t RestMost = 2;                    // Requests to a target that wants nothing from an instance.
    TimeUs WindowUs = 10 * UsPerSecond;     // Of the repeat budget.
    double RepeatShare = 0.2;               //
    int RepeatExtra = 2;                    // Repeats beyond it, an instance and service.
    size_t EndsMost = 3;         // Targets that may end under a request; so many times is it sent on later than TouchUs after that.
    double RecoveryShare = 0.95; // Of the requests after all faults are served.
};

// One line for each broken promise, the first of each kind with its request.
std::vector<std::string> AuditSoak(const SoakLog& log, const SoakBounds& bounds);

} // namespace Winchlink
