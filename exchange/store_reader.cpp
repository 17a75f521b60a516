// store_reader.cpp: reads a read-only key-value store.
//
// Index of this file:
// [SECTION] Calls
// [SECTION] Outcome of a call
// [SECTION] Full read
// [SECTION] Long poll for changes
// [SECTION] Start

#include "store_reader.h"

#include "clock.h"
#include "log.h"
#include "message_codec.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <numeric>

namespace Winchlink
{

static void ReadAll(StoreReader* reader);
static void PollChanges(StoreReader* reader);
static void CancelAndContinue(StoreReader* reader);

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

static bool AsksStore(const StoreReader& reader)
{
    return reader.Following.Next.Kind == SourceKind_Store;
}

static const StoreSource& SourceOf(const StoreReader& reader)
{
    return AsksStore(reader) ? reader.FromStore : reader.FromInstance;
}

// Carries out the next step, after its pause or the given one, whichever is longer.
static void StartNextStep(StoreReader* reader, TimeUs pause = 0)
{
    const TimeUs wait = std::max(pause, reader->Following.Next.PauseUs);
    reader->Next = TimerStart(reader->Loop, wait,
                              [reader]()
                              {
                                  const bool all = reader->Following.Revision == 0 || reader->HistoryGone;
                                  all ? ReadAll(reader) : PollChanges(reader);
                              });
}

// Counts calls to the store by reason.
static void CountStoreCall(StoreReader* reader)
{
    if (AsksStore(*reader))
    {
        const StoreReason_ reason = reader->HistoryGone ? StoreReason_HistoryGone : reader->Following.Next.Reason;
        reader->StoreCallsFor[reason]++;
    }
}

// Checks the path to the store if the call in progress has got no answer shortly before its timeout, so that followers learn of a lost path
// together with the failure: until then they look for other sources, which may have lost the same path.
static void CheckPathBeforeTimeout(StoreReader* reader, TimeUs timeout)
{
    const TimeUs connect = reader->FromStore.ConnectUs;
    const auto checked = [reader, call = reader->Current](PathState_ state)
    {
        reader->PathSeen = reader->Current == call ? state : reader->PathSeen;
    };
    const auto check = [reader, connect, checked]()
    {
        PathCheckStart(&reader->StorePath, reader->Loop, reader->Following.StoreAddress, connect, checked);
    };
    const TimeUs lead = connect + connect / 5; // Some more than the check takes.
    reader->PathDelay = TimerStart(reader->Loop, std::max<TimeUs>(timeout - lead, 0), check);
}

static void Call(StoreReader* reader, const std::string& target, TimeUs timeout, void (*done)(StoreReader*, const ClientAnswer&))
{
    FollowStep step = reader->Following.Next;
    step.RouteDigest = step.Address == reader->RouteFrom ? RouteDigest(reader->LastRoute) : 0;
    const StoreSource& source = SourceOf(*reader);
    ClientRequest request;
    request.Address = step.Address;
    request.Target = source.Dialect.QueryFlags ? target + source.Dialect.QueryFlags(step) : target;
    request.TimeoutUs = timeout;
    request.ConnectUs = source.ConnectUs;
    CountStoreCall(reader);
    reader->CalledUs = NowUs();
    const auto answered = [reader, done, step](const ClientAnswer& answer)
    {
        reader->Current = 0;
        if (step.Kind == SourceKind_Store)
        {
            reader->PathDelay = nullptr;
        }
        done(reader, answer);
    };
    reader->Current = ClientSend(reader->Calls, std::move(request), answered);
    reader->PathSeen = PathState_None;
    if (step.Kind == SourceKind_Store)
    {
        CheckPathBeforeTimeout(reader, timeout);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Outcome of a call
//-----------------------------------------------------------------------------

uint32_t RouteDigest(const DataRoute& route)
{
    return std::max(Checksum(EncodeMessage(route)), 1U);
}

TimeUs StoreDataAgeUs(const StoreReader& reader)
{
    const TimeUs fresh = reader.Following.FreshUs;
    return fresh > 0 ? NowUs() - fresh : -1;
}

static std::string JoinAddresses(const std::vector<std::string>& addresses)
{
    return fmt::format("{}", fmt::join(addresses, " "));
}

static void LogFailure(const StoreReader& reader, const std::string& why)
{
    const Follow& following = reader.Following;
    Log(LogLevel_Info, Code_PlatformUnreachable, "source failed",
        {{"address", following.Next.Address},
         {"store", AsksStore(reader) ? 1 : 0},
         {"detail", why},
         {"revision", following.Revision},
         {"dataAgeUs", StoreDataAgeUs(reader)},
         {"readBy", following.Origin}});
}

// Logs a change of the source that is in use. `age`: age of the data before the source's answer.
static void NoteSourceInUse(StoreReader* reader, const FollowStep& step, TimeUs age)
{
    const Follow& following = reader->Following;
    const SourceInUse before = reader->InUse;
    reader->InUse = {step.Address, following.Origin, NowUs()};
    if (before.Address == step.Address && before.Origin == following.Origin)
    {
        return;
    }
    reader->SourceChanges++;
    Log(LogLevel_Info, Code_None, "source changed",
        {{"address", step.Address},
         {"store", step.Kind == SourceKind_Store ? 1 : 0},
         {"reason", StoreReasonName(step.Reason)},
         {"readBy", following.Origin},
         {"path", JoinAddresses(following.Path)},
         {"revision", following.Revision},
         {"dataAgeUs", StoreDataAgeUs(*reader)},
         {"before", before.Address},
         {"readByBefore", before.Origin},
         {"answeredBeforeUs", before.AnsweredUs > 0 ? NowUs() - before.AnsweredUs : -1},
         {"dataAgeBeforeUs", age},
         {"contacts", JoinAddresses(following.Seeds)}});
}

// The reader of the store has no path to it: reads the store if this instance has one.
static void CheckOwnPath(StoreReader* reader)
{
    if (!FollowWantsPathCheck(&reader->Following, NowUs()))
    {
        return;
    }
    const auto checked = [reader](PathState_ state)
    {
        if (FollowPathChecked(&reader->Following, state == PathState_Connected))
        {
            CancelAndContinue(reader);
        }
    };
    const auto start = [reader, checked]()
    {
        PathCheckStart(&reader->StorePath, reader->Loop, reader->Following.StoreAddress, reader->FromStore.ConnectUs, checked);
    };
    const TimeUs jitter = std::uniform_int_distribution<TimeUs>(0, reader->Following.Config.PathCheckJitterUs)(*reader->Rng);
    reader->PathDelay = TimerStart(reader->Loop, jitter, start);
}

// Tells followers whether this instance has a path to the store, after a call to it has failed.
static void NotePath(StoreReader* reader, PathState_ state)
{
    if (FollowStorePath(&reader->Following, state != PathState_Silent))
    {
        Log(LogLevel_Info, Code_PlatformUnreachable, "no path to the store", {{"address", reader->Following.StoreAddress}});
        reader->OnNoPath();
    }
}

static void OnStoreFailure(StoreReader* reader, const std::string& why, bool late, PathState_ path)
{
    FollowFailed(&reader->Following, late, NowUs(), reader->Rng);
    if (path != PathState_None)
    {
        NotePath(reader, path); // First, so that the failure is told together with it.
    }
    reader->OnStoreFailed(why, 0);
    if (late && path == PathState_None)
    {
        const auto checked = [reader](PathState_ state)
        {
            NotePath(reader, state);
        };
        PathCheckStart(&reader->StorePath, reader->Loop, reader->Following.StoreAddress, reader->FromStore.ConnectUs, checked);
    }
}

// `path`: what the call, or a check meanwhile, has shown of the path to the store.
static void OnFailure(StoreReader* reader, const std::string& why, bool late, PathState_ path = PathState_None)
{
    LogFailure(*reader, why);
    reader->CallsFailed++;
    if (AsksStore(*reader))
    {
        OnStoreFailure(reader, why, late, path);
    }
    else
    {
        const std::string source = reader->Following.Next.Address;
        FollowFailed(&reader->Following, late, NowUs(), reader->Rng);
        if (reader->OnSourceFailed)
        {
            reader->OnSourceFailed(source);
        }
    }
    StartNextStep(reader);
}

static void OnCallFailure(StoreReader* reader, const ClientAnswer& answer)
{
    const bool answered = answer.End == ClientEnd_Answered;
    const bool not_connected = answer.End == ClientEnd_NotConnected && answer.TimedOut;
    OnFailure(reader, answered ? fmt::format("status {}", answer.Status) : answer.Detail, answer.End == ClientEnd_TimedOut,
              not_connected ? PathState_Silent : reader->PathSeen);
}

static bool IsGood(const ClientAnswer& answer)
{
    return answer.End == ClientEnd_Answered && answer.Status == 200;
}

static void LogSourceLeft(StoreReader* reader, const FollowStep& step, FollowResult_ result, const StorePage& page, const DataRoute& route)
{
    reader->CallsFailed++;
    Log(LogLevel_Info, Code_PlatformUnreachable, "source left",
        {{"address", step.Address},
         {"detail", result == FollowResult_Loop ? "its data comes from this instance" : "stale or behind"},
         {"revision", page.Revision},
         {"ageUs", page.AgeUs},
         {"ours", reader->Following.Revision},
         {"dataAgeUs", StoreDataAgeUs(*reader)},
         {"readBy", page.Origin},
         {"path", JoinAddresses(route.Path)}});
}

// The route of the data in an answer; the latest one if the source has left it out.
static DataRoute RouteOf(StoreReader* reader, const std::string& address, const StorePage& page)
{
    if (page.HasRoute)
    {
        reader->RouteFrom = address;
        reader->LastRoute = page.Route;
    }
    return address == reader->RouteFrom ? reader->LastRoute : DataRoute();
}

// The earliest time at which the answer that is being handled may have been made: now, unless this process was held up.
static TimeUs AnsweredSinceUs(const StoreReader& reader)
{
    return std::max(reader.CalledUs, LoopReadySinceUs(*reader.Loop));
}

// Logs the first items of an answer that have no key, and how many there are.
static void LogItemsWithoutKey(const StoreReader& reader, const StorePage& page)
{
    constexpr size_t logged_max = 10;
    const uint64_t count = page.ItemsWithoutKey.size();
    for (size_t n = 0; n < std::min<size_t>(count, logged_max); n++)
    {
        const Error& nameless = page.ItemsWithoutKey[n];
        Log(LogLevel_Error, nameless.Code, "item names nothing",
            {{"address", reader.Following.Next.Address}, {"revision", page.Revision}, {"detail", nameless.Detail}, {"count", count}});
    }
}

// Applies the answer of a source and selects the next one. The data is applied unless it is behind the known revision, even when it is
// stale and the source is left. `since`: when the answer was made, at the earliest.
static void ApplyAnswer(StoreReader* reader, const StorePage& page, bool everything, TimeUs since)
{
    const FollowStep step = reader->Following.Next;
    const uint64_t before = reader->Following.Revision;
    if (reader->OnQuarantineDigest && step.Kind != SourceKind_Store)
    {
        reader->OnQuarantineDigest(page.QuarantineDigest);
    }
    const bool no_path_before = reader->Following.NoPath;
    const TimeUs age_before = StoreDataAgeUs(*reader);
    const TimeUs fresh_before = reader->Following.FreshUs;
    const DataRoute route = RouteOf(reader, step.Address, page);
    const TimeUs now = NowUs();
    const SourceStatus status = {
        page.Revision, page.AgeUs + now - since, page.StoreLost, page.TriedUs, page.Origin, route.NoPath, route.Path, route.Readers};
    const FollowResult_ result = FollowAnswered(&reader->Following, status, now, reader->Rng);
    const bool changed = !everything && page.Revision > before; // Also without items that can be read: followers need the revision.
    if (everything && page.Revision >= before)
    {
        reader->HistoryGone = false;
        reader->OnAll(page, page.Revision, fresh_before);
    }
    if (changed)
    {
        reader->OnChanges(page.Items, page.Revision, fresh_before);
    }
    if (result == FollowResult_Good)
    {
        NoteSourceInUse(reader, step, age_before);
        reader->OnAnswered(changed || everything);
    }
    else if (result == FollowResult_StoreLost)
    {
        reader->OnStoreFailed("reported by " + step.Address, page.TriedUs);
        if (reader->Following.NoPath && !no_path_before)
        {
            reader->OnNoPath();
        }
        CheckOwnPath(reader);
    }
    else if (result != FollowResult_Kept)
    {
        LogSourceLeft(reader, step, result, page, route);
    }
    const bool batch = changed && step.Kind == SourceKind_Store;
    StartNextStep(reader, batch ? reader->FromStore.BatchUs : 0);
}

//-----------------------------------------------------------------------------
// [SECTION] Full read
//-----------------------------------------------------------------------------

static void ReadPage(StoreReader* reader);

// Passes on what the answer tells of instances. Follows the redirect of another instance, if there is one.
static bool FollowRedirect(StoreReader* reader, const StorePage& page)
{
    if (reader->OnPeers && !page.Peers.empty())
    {
        reader->OnPeers(page.Peers);
    }
    if (page.Elsewhere.empty())
    {
        return false;
    }
    FollowRedirected(&reader->Following, page.Elsewhere, NowUs(), reader->Rng);
    StartNextStep(reader);
    return true;
}

// Whether another page follows, and the last key of this one, after which that page begins, is a new one. If not, the read would not end.
static bool LeadsOn(const StoreReader& reader, const StorePage& page)
{
    const auto is_last = [&](const StoreItem& item)
    {
        return item.Key == page.Items.back().Key;
    };
    return page.More && !page.Items.empty() && std::none_of(reader.Pages.begin(), reader.Pages.end(), is_last);
}

// A page from which the read can't go on is not taken for the last one, as all that has not been read would be removed. At a start, what
// has been read is better than nothing.
static void OnPage(StoreReader* reader, const ClientAnswer& answer)
{
    if (!IsGood(answer))
    {
        OnCallFailure(reader, answer);
        return;
    }
    Result<StorePage> read = SourceOf(*reader).Dialect.ReadPage(answer.Body);
    if (!read)
    {
        OnFailure(reader, read.error().Detail, false);
        return;
    }
    StorePage& page = read.value();
    LogItemsWithoutKey(*reader, page);
    if (FollowRedirect(reader, page))
    {
        return;
    }
    // Pages are not a snapshot: changes are read from the revision of the first page.
    if (reader->PagesAt == 0)
    {
        reader->PagesAt = page.Revision;
        reader->PagesSinceUs = AnsweredSinceUs(*reader);
    }
    const bool single = reader->Pages.empty() && !page.More;
    const bool leads_on = LeadsOn(*reader, page);
    std::move(page.Items.begin(), page.Items.end(), std::back_inserter(reader->Pages));
    if (leads_on)
    {
        ReadPage(reader);
        return;
    }
    if (page.More && reader->Following.Revision != 0)
    {
        OnFailure(reader, "a page names no key to go on from", false);
        return;
    }
    page.Items = std::move(reader->Pages);
    page.Packed = single ? page.Packed : "";
    page.Revision = reader->PagesAt;
    reader->Pages.clear();
    ApplyAnswer(reader, page, true, reader->PagesSinceUs);
}

static void ReadPage(StoreReader* reader)
{
    const std::string after = reader->Pages.empty() ? "" : reader->Pages.back().Key;
    const StoreSource& source = SourceOf(*reader);
    Call(reader, source.Dialect.PageTarget(after), source.ReadUs, OnPage);
}

static void ReadAll(StoreReader* reader)
{
    reader->Pages.clear();
    reader->PagesAt = 0;
    ReadPage(reader);
}

//-----------------------------------------------------------------------------
// [SECTION] Long poll for changes
//-----------------------------------------------------------------------------

static void OnChanges(StoreReader* reader, const ClientAnswer& answer)
{
    const StoreSource& source = SourceOf(*reader);
    if (answer.End == ClientEnd_Answered && answer.Status == source.Dialect.HistoryGoneStatus)
    {
        reader->HistoryGone = true;
        StartNextStep(reader, std::uniform_int_distribution<TimeUs>(0, source.BatchUs)(*reader->Rng));
        return;
    }
    if (!IsGood(answer))
    {
        OnCallFailure(reader, answer);
        return;
    }
    const Result<StorePage> read = source.Dialect.ReadChanges(answer.Body);
    if (!read)
    {
        OnFailure(reader, read.error().Detail, false);
        return;
    }
    const StorePage& page = read.value();
    LogItemsWithoutKey(*reader, page);
    if (FollowRedirect(reader, page))
    {
        return;
    }
    ApplyAnswer(reader, page, false, AnsweredSinceUs(*reader));
}

static void PollChanges(StoreReader* reader)
{
    const StoreSource& source = SourceOf(*reader);
    const FollowStep& step = reader->Following.Next;
    const Follow& following = reader->Following;
    const bool alone = AsksStore(*reader) && following.Seeds.empty() && following.Followers.empty();
    const TimeUs usual = alone && reader->UnfollowedWaitUs > 0 ? reader->UnfollowedWaitUs : source.WaitUs;
    const TimeUs wait = step.WaitMaxUs > 0 ? std::min(step.WaitMaxUs, usual) : usual;
    const bool tries = step.WaitMaxUs > 0 && step.WaitMaxUs <= following.Config.ShortWaitUs;
    const TimeUs margin = (tries ? source.TryMarginUs : source.MarginUs) << step.MarginDoublings;
    Call(reader, source.Dialect.ChangesTarget(following.Revision, wait), wait + margin, OnChanges);
}

//-----------------------------------------------------------------------------
// [SECTION] Start
//-----------------------------------------------------------------------------

void StoreReaderStart(StoreReader* reader, EventLoop* loop, Client* client, Random* random)
{
    reader->Loop = loop;
    reader->Calls = client;
    reader->Rng = random;
    FollowStart(&reader->Following, NowUs());
    StartNextStep(reader);
}

// Cancels the call in progress and carries out the new next step.
static void CancelAndContinue(StoreReader* reader)
{
    ClientCancel(reader->Calls, reader->Current);
    reader->Current = 0;
    reader->Pages.clear();
    StartNextStep(reader);
}

void StoreReaderAskStore(StoreReader* reader)
{
    if (FollowAskStore(&reader->Following))
    {
        CancelAndContinue(reader);
    }
}

void StoreReaderCallersWaiting(StoreReader* reader)
{
    if (FollowCallersWaiting(&reader->Following))
    {
        CancelAndContinue(reader);
    }
}

uint64_t StoreCalls(const StoreReader& reader)
{
    return std::accumulate(reader.StoreCallsFor.begin(), reader.StoreCallsFor.end(), uint64_t{0});
}

} // namespace Winchlink
