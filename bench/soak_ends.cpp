// soak_ends.cpp: faults of a soak: requests that crash targets, target restarts under the same id, and invalid target entries.
//
// Index of this file:
// [SECTION] Crashes and restarts
// [SECTION] Crashing requests
// [SECTION] Invalid entries
// [SECTION] Random choice

#include "soak.h"

#include "clock.h"

#include <algorithm>
#include <fmt/format.h>

namespace Winchlink
{

static int64_t DrawWithCrashesRng(Soak* soak, int64_t min, int64_t max)
{
    return std::uniform_int_distribution<int64_t>(min, max)(soak->CrashesRng);
}

//-----------------------------------------------------------------------------
// [SECTION] Crashes and restarts
//-----------------------------------------------------------------------------

// Closes the open spans of the target now.
template <class T> static void CloseOpenSpans(std::vector<T>* entries, const std::string& id, TimeUs T::*until)
{
    for (T& entry : *entries)
    {
        if (entry.Target == id)
        {
            entry.*until = std::min(entry.*until, NowUs());
        }
    }
}

// Closes all spans that a restart ends: the new process is warm and has announced nothing.
static void CloseSpansOfTarget(SoakLog* log, const std::string& id)
{
    CloseOpenSpans(&log->Colds, id, &SoakColdSpan::UntilUs);
    CloseOpenSpans(&log->Limits, id, &SoakLimitSpan::UntilUs);
    CloseOpenSpans(&log->Rests, id, &SoakRefusalSpan::NextStartUs);
    CloseOpenSpans(&log->AnnouncedDrains, id, &SoakDrain::UntilUs);
}

static void RestartTarget(Soak* soak, SoakTarget* former)
{
    former->Listed = false; // The entry belongs to the new process.
    CloseSpansOfTarget(&soak->Log, former->Part.Id);
    StartAgain(soak, *former, static_cast<uint64_t>(NowUs() / UsPerMs));
}

static void RestartTargetLater(Soak* soak, SoakTarget* target)
{
    target->Down = true;
    Later(soak, DrawWithCrashesRng(soak, 300, 2000) * UsPerMs,
          [soak, target]()
          {
              if (target->Listed) // Not if it was removed meanwhile.
              {
                  RestartTarget(soak, target);
              }
          });
}

static void PollRepairedEntries(Soak* soak);

// Logs targets that a request has crashed and entries that are valid again; runs every few milliseconds.
static void PollCrashes(Soak* soak)
{
    const size_t known = soak->Targets.size(); // Restarts append to it.
    for (size_t n = 0; n < known; n++)
    {
        SoakTarget* target = soak->Targets[n].get();
        const bool ended = target->Listed && !target->Down && target->Part.Listening < 0 && !target->Part.Saw.empty();
        if (ended)
        {
            soak->Log.Ends.push_back({target->Part.EndedBy, NowUs()});
            RestartTargetLater(soak, target);
        }
    }
    PollRepairedEntries(soak);
    Later(soak, 5 * UsPerMs, [soak]() { PollCrashes(soak); });
}

//-----------------------------------------------------------------------------
// [SECTION] Crashing requests
//-----------------------------------------------------------------------------

static void SendCrashingRequest(Soak* soak, const std::string& path)
{
    const SoakInstance* instance = PickInstance(soak);
    if (instance == nullptr)
    {
        return;
    }
    SoakRequest request;
    request.Id = fmt::format("e{}", ++soak->LastRequest);
    request.Repeatable = true;
    request.Instance = instance->Index;
    request.Path = path;
    request.SentUs = NowUs();
    ClientRequest call;
    call.Address = instance->CallerAddress;
    call.Target = path;
    call.Headers = {{"Host", "a.example"}, {"Winchlink-Request-Id", request.Id}, {"Winchlink-Deadline-Ms", "1500"}};
    call.TimeoutUs = 5 * UsPerSecond;
    const size_t index = soak->Log.Requests.size();
    soak->Log.Requests.push_back(request);
    ClientSend(&soak->Callers, std::move(call),
               [soak, index](const ClientAnswer& answer)
               {
                   soak->Log.Requests[index].EndedUs = NowUs();
                   soak->Log.Requests[index].Status = answer.End == ClientEnd_Answered ? answer.Status : 0;
               });
}

// A caller that sends the same path again until the faults end.
static void SendCrashingRequests(Soak* soak, const std::string& path)
{
    if (soak->Striking)
    {
        SendCrashingRequest(soak, path);
        Later(soak, DrawWithCrashesRng(soak, 100, 400) * UsPerMs, [soak, path]() { SendCrashingRequests(soak, path); });
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Invalid entries
//-----------------------------------------------------------------------------

static SoakTarget* PickListed(Soak* soak)
{
    std::vector<SoakTarget*> listed;
    for (const auto& target : soak->Targets)
    {
        if (target->Listed && !target->Down)
        {
            listed.push_back(target.get());
        }
    }
    return listed.empty() ? nullptr : listed[static_cast<size_t>(DrawWithCrashesRng(soak, 0, static_cast<int64_t>(listed.size()) - 1))];
}

static std::string EntryKey(const std::string& id)
{
    return "servers/" + id;
}

static constexpr const char* InvalidEntryValue = "no entry";

// Logs the end of invalid entries that were replaced or removed, by this or another fault.
static void PollRepairedEntries(Soak* soak)
{
    for (auto spoilt = soak->Spoilt.begin(); spoilt != soak->Spoilt.end();)
    {
        const auto item = soak->Store.Items.find(EntryKey(spoilt->first));
        const bool still = item != soak->Store.Items.end() && (!item->second.Foreign.empty() || item->second.Value == InvalidEntryValue);
        if (still)
        {
            ++spoilt;
            continue;
        }
        // Dated by the store: instances may know it before this look.
        soak->Log.Drains[spoilt->second].UntilUs = item != soak->Store.Items.end() ? item->second.AtUs : NowUs();
        spoilt = soak->Spoilt.erase(spoilt);
    }
}

static void PublishInvalidEntry(Soak* soak, SoakTarget* target)
{
    const std::string id = target->Part.Id;
    const std::string key = EntryKey(id);
    if (soak->Spoilt.count(id) > 0)
    {
        return;
    }
    if (DrawWithCrashesRng(soak, 0, 1) == 0)
    {
        UsersStorePut(&soak->Store, key, InvalidEntryValue);
    }
    else
    {
        UsersStorePutForeign(&soak->Store, key, fmt::format(R"({{"privateKey":"{}","value":7}})", key));
    }
    soak->Log.Drains.push_back({id, NowUs()});
    soak->Spoilt[id] = soak->Log.Drains.size() - 1;
    Later(soak, DrawWithCrashesRng(soak, 200, 4000) * UsPerMs, [soak, target]() { PublishEntry(soak, *target); });
}

//-----------------------------------------------------------------------------
// [SECTION] Random choice
//-----------------------------------------------------------------------------

static void InjectCrashFaults(Soak* soak)
{
    if (!soak->Striking)
    {
        return;
    }
    const int64_t draw = DrawWithCrashesRng(soak, 0, 5);
    SoakTarget* target = PickListed(soak);
    if (draw == 0)
    {
        soak->Drawn["ending request"]++;
        SendCrashingRequests(soak, fmt::format("{}{}", SoakCrashPrefix, soak->Drawn["ending request"]));
    }
    else if (draw < 3 && target != nullptr)
    {
        soak->Drawn["restart"]++;
        UsersTargetStop(&target->Part);
        RestartTargetLater(soak, target);
    }
    else if (target != nullptr)
    {
        soak->Drawn["foreign entry"]++;
        PublishInvalidEntry(soak, target);
    }
    Later(soak, DrawWithCrashesRng(soak, 300, 2500) * UsPerMs, [soak]() { InjectCrashFaults(soak); });
}

void InjectCrashes(Soak* soak)
{
    if (soak->Plan.Faults == SoakFaults_All)
    {
        PollCrashes(soak);
        InjectCrashFaults(soak);
    }
}

} // namespace Winchlink
