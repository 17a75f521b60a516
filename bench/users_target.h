// users_target.h: a stand-in of targets on bare sockets, written from the users' published protocol, that misbehaves as told. With other
// header names it stands in for targets of the project's own interface (docs/TARGETS.md).
//
// It runs inside an event loop. It works on so many requests at a time as it has slots and queues a few more; each request takes WorkUs.
// Faults strike the requests that a script names, in order.

#pragma once

#include "headers.h"
#include "loop.h"
#include "wire.h"

#include <deque>

namespace Winchlink
{

// How one request is answered.
enum TargetAct_ : int
{
    TargetAct_Good,
    TargetAct_Failed,        // Status 500, signed: it was run.
    TargetAct_Shed,          // Status 503 that says that it was not run.
    TargetAct_BareShed,      // Status 503 that does not say so: it was run.
    TargetAct_Reset,         // Runs it and resets the connection.
    TargetAct_Close,         // Runs it and closes the connection without an answer.
    TargetAct_Silence,       // Runs it and never answers.
    TargetAct_Garbage,       // Bytes that are no HTTP.
    TargetAct_CutShort,      // Announces more than it sends, then closes.
    TargetAct_Unsigned,      // A success without signature.
    TargetAct_Encoded,       // A success with a Content-Encoding.
    TargetAct_Surplus,       // A second answer behind the whole one.
    TargetAct_LateSurplus,   // A second answer behind the whole one, a little later.
    TargetAct_OtherId,       // An answer that names another request.
    TargetAct_NoLength,      // A good answer without length that ends with the connection.
    TargetAct_NoLengthReset, // The same, but it ends with a reset.
    TargetAct_Closing,       // A good answer, after which it closes the connection, as it says.
    TargetAct_Trailers,      // A good answer behind an interim one and before trailers, both of which name a limit.
    TargetAct_Early,         // Answers 400, signed, before it has read the body, and reads on.
    TargetAct_COUNT,
};

// What was seen of one request.
struct TargetSaw
{
    std::string Id;     // Of the request.
    std::string Method; //
    std::string Path;   // And query.
    std::string Body;   //
    std::vector<Header> Headers;
    bool Run = false;       // Work began.
    bool Cancelled = false; // Its connection closed while it was in work.
};

struct TargetConnection;

struct UsersTarget
{
    std::string Id;
    std::string Address;
    EventLoop* Loop = nullptr;
    int Slots = 3;
    int Queue = 6;
    TimeUs WorkUs = 5 * UsPerMs;       // At the usual pace.
    WireNames Names = PlatformNames(); // Header names that it speaks.
    int PacePercent = 100;             // Time that work takes now, for requests that begin now; told to whoever asks.
    int ColdMs = 0;                    // Health answers say that it is cold for so much longer; 0: nothing.
    bool Refuses = false;              // All requests are shed.
    bool Ill = false;                  // Health answers 503.
    bool Mute = false;                 // Health questions are read and never answered.
    bool TellsLoad = true;             // Answers carry the load.
    std::vector<Header> Says;          // Further headers of all its answers, health answers too.
    std::vector<Header> SaysRefusing;  // And of those with status 503.
    bool ResetsWhenFull = false;       // Else it sheds.
    std::string EndsOn;                // A request whose path begins so ends it, once its work is done, as a crash does; empty: none.
    bool EndsSilently = false;         // Then its connections stay open, and nothing answers any more.
    std::string EndedBy;               // Path of the request that has ended it.
    std::deque<TargetAct_> Script;     // For the next requests that it runs or sheds; good when empty.
    std::vector<TargetSaw> Saw;        // Every request, health questions apart.
    std::vector<TimeUs> Arrivals;      // When these came.
    std::vector<TimeUs> Refusals;      // When requests were refused with status 503.
    int HealthAsked = 0;
    int Running = 0;
    int Accepted = 0; // Connections.

    int Listening = -1;
    Watch Accepting;
    std::map<uint64_t, std::unique_ptr<TargetConnection>> Connections;
    uint64_t LastConnection = 0;
    std::deque<std::pair<uint64_t, size_t>> Waiting; // Connection and request, in order.

    UsersTarget();
    ~UsersTarget();
    UsersTarget(const UsersTarget&) = delete;
    UsersTarget& operator=(const UsersTarget&) = delete;
};

// Listens on the address. False if it can't be had.
bool UsersTargetStart(UsersTarget* target, EventLoop* loop, const std::string& id, const std::string& address);

// Connections that are open now stay open and are never read again; new ones work.
void UsersTargetHush(UsersTarget* target);

// Ends it as a loss of power does: sockets stay open, and nothing answers.
void UsersTargetSilence(UsersTarget* target);

// Ends it as a crash does: all sockets close.
void UsersTargetStop(UsersTarget* target);

// How often requests of that id were run.
int UsersTargetRuns(const UsersTarget& target, const std::string& id);

} // namespace Winchlink
