// target_ends.h: what instances tell each other of requests that end targets (Quarantine in winchlink.h).
//
// News go along the tree in which instances follow each other, both ways: whoever knows something new tells the instance that it follows,
// and its own followers see by a digest in their next answer, which comes at once, that they know less or more. There may be more than
// one tree for a while, as several instances may read the store: those tell the first contacts, and ask them again as long as anything is
// known. Each exchange is one call that carries all that either knows; there is none on nearly all days. So a fleet of 6,600 knows within
// some eight such calls, and whoever was cut off, or has just started, hears with the first answer of whatever instance it follows.
//
// How to use it: fill the struct, TargetEndsChanged() after each change of what is known, and the other two where calls arrive.

#pragma once

#include "client.h"

namespace Winchlink
{

struct TargetEnds
{
    TimeUs GatherUs = 100 * UsPerMs;  // Shortest time between two calls, and between two words to followers: a target that ends under nine
                                      // requests is told of once. News have three seconds, and a tree of 6,600 takes six steps.
    TimeUs TimeoutUs = 600 * UsPerMs; // Of a call; the next answer of the source brings another one.
    TimeUs ConnectUs = 100 * UsPerMs; // For its connection, on our own network.
    EventLoop* Loop = nullptr;
    Client* Calls = nullptr;
    Quarantine* Known = nullptr;
    std::function<std::vector<std::string>()> Others; // Whom to tell: the instance that is followed, or the first contacts.
    std::function<void()> OnTell;                     // Our followers are to be told.
    int InProgress = 0;                               // Calls.
    bool Wanted = false;                              // Others are to follow these.
    TimeUs CalledUs = 0;                              // When the last call began.
    TimeUs ToldUs = 0;                                // When followers were last told.
    Timer Calling;                                    // The next calls.
    Timer Telling;                                    // The next word to followers.
    uint64_t CallsMade = 0;                           // Counter.
};

struct TargetEndsMessage
{
    uint64_t Digest = 0;             // Of all that the sender knows, see Quarantine.
    std::vector<TargetEndNews> News; // All of that, or nothing: it only asks whether the other one knows the same.
};

// This instance has learnt something itself.
void TargetEndsChanged(TargetEnds* ends);

// The instance that we follow has answered; `digest` is of what it knows.
void TargetEndsHeard(TargetEnds* ends, uint64_t digest);

// Asks the others whether they know the same, if anything is known. For those that nobody answers: they read the store.
void TargetEndsCompare(TargetEnds* ends);

// Another instance tells what it knows. Returns what we know, or nothing where it knows all of that.
std::string TargetEndsTold(TargetEnds* ends, const std::string& bytes);

// Bytes of a message, and back. Code_MessageMalformed for what is no message.
std::string EncodeTargetEnds(const TargetEndsMessage& message);
Result<TargetEndsMessage> DecodeTargetEnds(const std::string& bytes);

} // namespace Winchlink
