// store_reader.cpp: follows a key-value store that can only be read.
//
// Index of this file:
// [SECTION] Sources
// [SECTION] Reading everything
// [SECTION] Waiting for changes

#include "store_reader.h"

#include "clock.h"
#include "log.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace Winchlink
{

static void ReadAll(StoreReader* reader);
static void AwaitChanges(StoreReader* reader);

//-----------------------------------------------------------------------------
// [SECTION] Sources
//-----------------------------------------------------------------------------

static const StoreSource& SourceOf(const StoreReader& reader)
{
    return reader.Referred ? *reader.Referred : reader.Sources[reader.Current];
}

static void After(StoreReader* reader, TimeUs pause, void (*next)(StoreReader*))
{
    reader->Next = TimerStart(reader->Loop, pause, [reader, next]() { next(reader); });
}

static TimeUs UpTo(StoreReader* reader, TimeUs most)
{
    return std::uniform_int_distribution<TimeUs>(0, most)(*reader->Rng);
}

static void Use(StoreReader* reader, size_t index)
{
    reader->Current = index;
    reader->Referred.reset();
    const TimeUs until = reader->Config.ReturnUs + UpTo(reader, reader->Config.ReturnUs / 2);
    reader->ReturnAtUs = index == 0 ? 0 : NowUs() + until;
}

static void GoOn(StoreReader* reader)
{
    if (reader->At == 0)
    {
        ReadAll(reader);
        return;
    }
    AwaitChanges(reader);
}

// The pause after a failure: none while there is another source to try, then longer and longer, with some chance: all instances fail
// at once.
static TimeUs PauseAfterFailure(StoreReader* reader)
{
    const StoreReaderConfig& config = reader->Config;
    const int rounds = reader->FailuresInRow / static_cast<int>(reader->Sources.size());
    if (rounds == 0)
    {
        return 0;
    }
    constexpr int doublings_most = 8;
    const TimeUs pause = std::min(config.RetryMostUs, config.RetryUs << std::min(rounds - 1, doublings_most));
    return pause / 2 + UpTo(reader, pause / 2);
}

static void Failed(StoreReader* reader, const std::string& why)
{
    const StoreSource& source = SourceOf(*reader);
    Log(LogLevel_Info, Code_PlatformUnreachable, "source failed",
        {{"address", source.Address}, {"store", source.IsStore ? 1 : 0}, {"detail", why}, {"revision", reader->At}});
    reader->CallsFailed++;
    reader->FailuresInRow++;
    if (source.IsStore)
    {
        reader->OnTrouble(why);
    }
    if (reader->Referred)
    {
        reader->Referred.reset(); // Back to the source that sent us there.
        After(reader, UpTo(reader, reader->Config.PeerRetryUs), GoOn);
        return;
    }
    const TimeUs pause = PauseAfterFailure(reader);
    const size_t next = (reader->Current + 1) % reader->Sources.size();
    const bool fresh = NowUs() < reader->FreshUs + reader->Config.PatienceUs;
    if (next != 0 && reader->Sources[next].IsStore && fresh)
    {
        Use(reader, 0);
        After(reader, reader->Config.PeerRetryUs, GoOn);
        return;
    }
    Use(reader, next);
    After(reader, pause, GoOn);
}

static std::string WhyFailed(const ClientAnswer& answer)
{
    return answer.End == ClientEnd_Answered ? fmt::format("status {}", answer.Status) : answer.Detail;
}

static void Call(StoreReader* reader, const std::string& target, TimeUs timeout, void (*done)(StoreReader*, const ClientAnswer&))
{
    const StoreSource& source = SourceOf(*reader);
    ClientRequest request;
    request.Address = source.Address;
    request.Target = target;
    request.TimeoutUs = timeout;
    request.ConnectUs = reader->Config.ConnectUs;
    reader->StoreCalls += source.IsStore ? 1 : 0;
    ClientSend(reader->Calls, std::move(request), [reader, done](const ClientAnswer& answer) { done(reader, answer); });
}

// Whether what a source says may be believed; if not, it is left.
static bool Believe(StoreReader* reader, const StorePage& page)
{
    if (page.Trouble)
    {
        reader->OnTrouble("told by " + SourceOf(*reader).Address);
        Failed(reader, "it has lost the store");
        return false;
    }
    if (page.At < reader->At || page.AgeUs > reader->Config.StaleUs)
    {
        Failed(reader, fmt::format("behind: revision {}, {} us old", page.At, page.AgeUs));
        return false;
    }
    reader->FailuresInRow = 0;
    reader->FreshUs = NowUs() - page.AgeUs;
    reader->OnAnswered(!page.Items.empty());
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Reading everything
//-----------------------------------------------------------------------------

static void ReadPage(StoreReader* reader);

static void OnPage(StoreReader* reader, const ClientAnswer& answer)
{
    if (answer.End != ClientEnd_Answered || answer.Status != 200)
    {
        Failed(reader, WhyFailed(answer));
        return;
    }
    const Result<StorePage> page = SourceOf(*reader).Dialect.ReadPage(answer.Body);
    if (!page)
    {
        Failed(reader, page.error().Detail);
        return;
    }
    // Pages are no snapshot: changes are asked for from the revision of the first.
    reader->PagesAt = reader->PagesAt == 0 ? page.value().At : reader->PagesAt;
    reader->Pages.insert(reader->Pages.end(), page.value().Items.begin(), page.value().Items.end());
    if (page.value().More && !page.value().Items.empty())
    {
        ReadPage(reader);
        return;
    }
    // One that knows nothing takes what anybody holds, however old, and goes on looking for a better source.
    const bool first = reader->At == 0;
    if (!first && !Believe(reader, page.value()))
    {
        return;
    }
    reader->At = std::max(reader->At, reader->PagesAt);
    reader->OnAll(reader->Pages, reader->PagesAt);
    reader->Pages.clear();
    if (first && !Believe(reader, page.value()))
    {
        return;
    }
    Use(reader, 0);
    AwaitChanges(reader);
}

static void ReadPage(StoreReader* reader)
{
    const std::string after = reader->Pages.empty() ? "" : reader->Pages.back().Key;
    const StoreSource& source = SourceOf(*reader);
    Call(reader, source.Dialect.PageTarget(after), source.IsStore ? reader->Config.ReadUs : reader->Config.PeerReadUs, OnPage);
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

// Follows one of the instances that a source names, and stays there while it is good.
static void Refer(StoreReader* reader, const std::vector<std::string>& addresses)
{
    const size_t drawn = std::uniform_int_distribution<size_t>(0, addresses.size() - 1)(*reader->Rng);
    StoreSource source = SourceOf(*reader);
    source.Address = addresses[drawn];
    reader->Referred = source;
    reader->ReturnAtUs = 0;
    After(reader, 0, GoOn);
}

static void OnChanges(StoreReader* reader, const ClientAnswer& answer)
{
    const StoreSource& source = SourceOf(*reader);
    if (answer.End == ClientEnd_Answered && answer.Status == source.Dialect.HistoryGoneStatus)
    {
        After(reader, UpTo(reader, source.GatherUs), ReadAll);
        return;
    }
    if (answer.End != ClientEnd_Answered || answer.Status != 200)
    {
        Failed(reader, WhyFailed(answer));
        return;
    }
    const Result<StorePage> changes = source.Dialect.ReadChanges(answer.Body);
    if (!changes)
    {
        Failed(reader, changes.error().Detail);
        return;
    }
    if (!changes.value().Elsewhere.empty())
    {
        Refer(reader, changes.value().Elsewhere);
        return;
    }
    if (!Believe(reader, changes.value()))
    {
        return;
    }
    reader->At = changes.value().At;
    const bool any = !changes.value().Items.empty();
    if (any)
    {
        reader->OnChanges(changes.value().Items, reader->At);
    }
    After(reader, any ? source.GatherUs : 0, AwaitChanges);
}

static void AwaitChanges(StoreReader* reader)
{
    if (reader->ReturnAtUs != 0 && NowUs() > reader->ReturnAtUs)
    {
        Use(reader, 0);
    }
    const StoreSource& source = SourceOf(*reader);
    Call(reader, source.Dialect.ChangesTarget(reader->At, source.WaitUs), source.WaitUs + source.MarginUs, OnChanges);
}

void StoreReaderStart(StoreReader* reader, EventLoop* loop, Client* client, Random* random)
{
    assert(!reader->Sources.empty() && "a reader needs a source");
    reader->Loop = loop;
    reader->Calls = client;
    reader->Rng = random;
    const auto is_store = [](const StoreSource& source)
    {
        return source.IsStore;
    };
    const auto store = std::find_if(reader->Sources.begin(), reader->Sources.end(), is_store);
    Use(reader, store != reader->Sources.end() ? static_cast<size_t>(store - reader->Sources.begin()) : 0);
    ReadAll(reader);
}

void StoreReaderSetSources(StoreReader* reader, std::vector<StoreSource> sources)
{
    assert(!sources.empty() && "a reader needs a source");
    reader->Sources = std::move(sources);
    reader->Current = std::min(reader->Current, reader->Sources.size() - 1);
}

} // namespace Winchlink
