// store_reader.cpp: follows a key-value store that can only be read.
//
// Index of this file:
// [SECTION] Calls
// [SECTION] What became of a call
// [SECTION] Reading everything
// [SECTION] Waiting for changes
// [SECTION] Start

#include "store_reader.h"

#include "clock.h"
#include "log.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>
#include <numeric>

namespace Winchlink
{

static void ReadAll(StoreReader* reader);
static void AwaitChanges(StoreReader* reader);

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

// Carries out the next step, after its pause or the given one.
static void GoOn(StoreReader* reader, TimeUs pause = 0)
{
    const TimeUs wait = std::max(pause, reader->Following.Next.PauseUs);
    reader->Next = TimerStart(reader->Loop, wait,
                              [reader]()
                              {
                                  const bool all = reader->Following.At == 0 || reader->HistoryGone;
                                  all ? ReadAll(reader) : AwaitChanges(reader);
                              });
}

// Calls to the store are counted by the reason for which they are made.
static void Count(StoreReader* reader)
{
    if (AsksStore(*reader))
    {
        const StoreReason_ reason = reader->HistoryGone ? StoreReason_History : reader->Following.Next.Reason;
        reader->StoreCallsFor[reason]++;
    }
}

static void Call(StoreReader* reader, const std::string& target, TimeUs timeout, void (*done)(StoreReader*, const ClientAnswer&))
{
    const FollowStep& step = reader->Following.Next;
    const StoreSource& source = SourceOf(*reader);
    ClientRequest request;
    request.Address = step.Address;
    request.Target = source.Dialect.Remarks ? target + source.Dialect.Remarks(step) : target;
    request.TimeoutUs = timeout;
    request.ConnectUs = source.ConnectUs;
    Count(reader);
    const auto answered = [reader, done](const ClientAnswer& answer)
    {
        reader->Current = 0;
        done(reader, answer);
    };
    reader->Current = ClientSend(reader->Calls, std::move(request), answered);
}

//-----------------------------------------------------------------------------
// [SECTION] What became of a call
//-----------------------------------------------------------------------------

static void LogFailure(const StoreReader& reader, const std::string& why)
{
    Log(LogLevel_Info, Code_PlatformUnreachable, "source failed",
        {{"address", reader.Following.Next.Address},
         {"store", AsksStore(reader) ? 1 : 0},
         {"detail", why},
         {"revision", reader.Following.At}});
}

static void Failed(StoreReader* reader, const std::string& why, bool late)
{
    LogFailure(*reader, why);
    reader->CallsFailed++;
    if (AsksStore(*reader))
    {
        reader->OnTrouble(why, 0);
    }
    FollowFailed(&reader->Following, late, NowUs(), reader->Rng);
    GoOn(reader);
}

static void CallFailed(StoreReader* reader, const ClientAnswer& answer)
{
    const bool answered = answer.End == ClientEnd_Answered;
    Failed(reader, answered ? fmt::format("status {}", answer.Status) : answer.Detail, answer.End == ClientEnd_TimedOut);
}

static bool IsGood(const ClientAnswer& answer)
{
    return answer.End == ClientEnd_Answered && answer.Status == 200;
}

static void LeftBehind(StoreReader* reader, const FollowStep& step, FollowVerdict_ verdict, const StorePage& page)
{
    reader->CallsFailed++;
    Log(LogLevel_Info, Code_PlatformUnreachable, "source left",
        {{"address", step.Address},
         {"detail", verdict == FollowVerdict_Ours ? "it follows us" : "behind"},
         {"revision", page.At},
         {"ageUs", page.AgeUs},
         {"ours", reader->Following.At}});
}

// Takes what a source knows and decides whom to ask next. An instance that knows nothing takes what anybody holds, however old, and goes on
// looking for a better source.
static void Heard(StoreReader* reader, const StorePage& page, bool everything)
{
    const FollowStep step = reader->Following.Next;
    const uint64_t before = reader->Following.At;
    for (const Error& nameless : page.Nameless)
    {
        Log(LogLevel_Error, nameless.Code, "item names nothing",
            {{"address", step.Address}, {"revision", page.At}, {"detail", nameless.Detail}});
    }
    if (reader->OnEndsDigest && step.Kind != SourceKind_Store)
    {
        reader->OnEndsDigest(page.EndsDigest);
    }
    const SourceNews news = {page.At, page.AgeUs, page.Trouble, page.TriedUs, page.Origin};
    const FollowVerdict_ verdict = FollowHeard(&reader->Following, news, NowUs(), reader->Rng);
    const bool changed = !everything && page.At > before && !page.Items.empty();
    if (everything && page.At >= before)
    {
        reader->HistoryGone = false;
        reader->OnAll(page, page.At);
    }
    if (changed)
    {
        reader->OnChanges(page.Items, page.At);
    }
    if (verdict == FollowVerdict_Good)
    {
        reader->OnAnswered(changed || everything);
    }
    else if (verdict == FollowVerdict_Lost)
    {
        reader->OnTrouble("told by " + step.Address, page.TriedUs);
    }
    else
    {
        LeftBehind(reader, step, verdict, page);
    }
    const bool gather = changed && step.Kind == SourceKind_Store;
    GoOn(reader, gather ? reader->FromStore.GatherUs : 0);
}

//-----------------------------------------------------------------------------
// [SECTION] Reading everything
//-----------------------------------------------------------------------------

static void ReadPage(StoreReader* reader);

// Others may send on one that asks for everything too.
static bool SentOn(StoreReader* reader, const StorePage& page)
{
    if (page.Elsewhere.empty())
    {
        return false;
    }
    FollowSentOn(&reader->Following, page.Elsewhere, reader->Rng);
    GoOn(reader);
    return true;
}

static void OnPage(StoreReader* reader, const ClientAnswer& answer)
{
    if (!IsGood(answer))
    {
        CallFailed(reader, answer);
        return;
    }
    Result<StorePage> read = SourceOf(*reader).Dialect.ReadPage(answer.Body);
    if (!read)
    {
        Failed(reader, read.error().Detail, false);
        return;
    }
    StorePage& page = read.value();
    if (SentOn(reader, page))
    {
        return;
    }
    // Pages are no snapshot: changes are asked for from the revision of the first.
    reader->PagesAt = reader->PagesAt == 0 ? page.At : reader->PagesAt;
    const bool single = reader->Pages.empty() && !page.More;
    std::move(page.Items.begin(), page.Items.end(), std::back_inserter(reader->Pages));
    if (page.More && !page.Items.empty())
    {
        ReadPage(reader);
        return;
    }
    page.Items = std::move(reader->Pages);
    page.Packed = single ? page.Packed : "";
    page.At = reader->PagesAt;
    reader->Pages.clear();
    Heard(reader, page, true);
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
// [SECTION] Waiting for changes
//-----------------------------------------------------------------------------

static void OnChanges(StoreReader* reader, const ClientAnswer& answer)
{
    const StoreSource& source = SourceOf(*reader);
    if (answer.End == ClientEnd_Answered && answer.Status == source.Dialect.HistoryGoneStatus)
    {
        reader->HistoryGone = true;
        GoOn(reader, std::uniform_int_distribution<TimeUs>(0, source.GatherUs)(*reader->Rng));
        return;
    }
    if (!IsGood(answer))
    {
        CallFailed(reader, answer);
        return;
    }
    const Result<StorePage> read = source.Dialect.ReadChanges(answer.Body);
    if (!read)
    {
        Failed(reader, read.error().Detail, false);
        return;
    }
    const StorePage& page = read.value();
    if (SentOn(reader, page))
    {
        return;
    }
    Heard(reader, page, false);
}

static void AwaitChanges(StoreReader* reader)
{
    const StoreSource& source = SourceOf(*reader);
    const FollowStep& step = reader->Following.Next;
    const TimeUs wait = step.WaitMostUs > 0 ? std::min(step.WaitMostUs, source.WaitUs) : source.WaitUs;
    Call(reader, source.Dialect.ChangesTarget(reader->Following.At, wait), wait + (source.MarginUs << step.MarginDoublings), OnChanges);
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
    GoOn(reader);
}

// Ends the call in progress: there is something better to do.
static void DoInstead(StoreReader* reader)
{
    ClientCancel(reader->Calls, reader->Current);
    reader->Current = 0;
    reader->Pages.clear();
    GoOn(reader);
}

void StoreReaderAskStore(StoreReader* reader)
{
    if (FollowAsked(&reader->Following))
    {
        DoInstead(reader);
    }
}

void StoreReaderNeeded(StoreReader* reader)
{
    if (FollowNeeded(&reader->Following))
    {
        DoInstead(reader);
    }
}

uint64_t StoreCalls(const StoreReader& reader)
{
    return std::accumulate(reader.StoreCallsFor.begin(), reader.StoreCallsFor.end(), uint64_t{0});
}

} // namespace Winchlink
