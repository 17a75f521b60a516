// store_reader.cpp: follows a key-value store that can only be read.

#include "store_reader.h"

#include <algorithm>
#include <fmt/format.h>

namespace Winchlink
{

static void ReadAll(StoreReader* reader);
static void AwaitChanges(StoreReader* reader);

static void After(StoreReader* reader, TimeUs pause, void (*next)(StoreReader*))
{
    reader->Next = TimerStart(reader->Loop, pause, [reader, next]() { next(reader); });
}

static void Answered(StoreReader* reader)
{
    reader->FailuresInRow = 0;
    reader->OnAnswered();
}

// Reads everything again, after a pause with some chance in it: all instances fail at once.
static void Failed(StoreReader* reader, const std::string& why)
{
    const StoreReaderConfig& config = reader->Config;
    reader->CallsFailed++;
    reader->FailuresInRow++;
    const int doublings = std::min(reader->FailuresInRow - 1, 8);
    const TimeUs pause = std::min(config.RetryMostUs, config.RetryUs << doublings);
    const TimeUs chance = std::uniform_int_distribution<TimeUs>(0, pause / 2)(*reader->Rng);
    reader->OnTrouble(why);
    After(reader, pause / 2 + chance, ReadAll);
}

static std::string WhyFailed(const ClientAnswer& answer)
{
    return answer.End == ClientEnd_Answered ? fmt::format("status {}", answer.Status) : answer.Detail;
}

static void Call(StoreReader* reader, const std::string& target, TimeUs timeout, void (*done)(StoreReader*, const ClientAnswer&))
{
    ClientRequest request;
    request.Address = reader->Config.Address;
    request.Target = target;
    request.TimeoutUs = timeout;
    request.ConnectUs = reader->Config.ConnectUs;
    reader->CallsMade++;
    reader->Running = ClientSend(reader->Calls, std::move(request), [reader, done](const ClientAnswer& answer) { done(reader, answer); });
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
    const Result<StorePage> page = reader->Dialect.ReadPage(answer.Body);
    if (!page)
    {
        Failed(reader, page.error().Detail);
        return;
    }
    // Pages are no snapshot: changes are asked for from the revision of the first.
    reader->PagesAt = reader->Pages.empty() && reader->PagesAt == 0 ? page.value().At : reader->PagesAt;
    reader->Pages.insert(reader->Pages.end(), page.value().Items.begin(), page.value().Items.end());
    if (page.value().More && !page.value().Items.empty())
    {
        ReadPage(reader);
        return;
    }
    reader->At = reader->PagesAt;
    Answered(reader);
    reader->OnAll(reader->Pages, reader->At);
    reader->Pages.clear();
    AwaitChanges(reader);
}

static void ReadPage(StoreReader* reader)
{
    const std::string after = reader->Pages.empty() ? "" : reader->Pages.back().Key;
    Call(reader, reader->Dialect.PageTarget(after), reader->Config.ReadUs, OnPage);
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
    if (answer.End == ClientEnd_Answered && answer.Status == reader->Dialect.HistoryGoneStatus)
    {
        After(reader, std::uniform_int_distribution<TimeUs>(0, reader->Config.GatherUs)(*reader->Rng), ReadAll);
        return;
    }
    if (answer.End != ClientEnd_Answered || answer.Status != 200)
    {
        Failed(reader, WhyFailed(answer));
        return;
    }
    const Result<StorePage> changes = reader->Dialect.ReadChanges(answer.Body);
    if (!changes)
    {
        Failed(reader, changes.error().Detail);
        return;
    }
    Answered(reader);
    reader->At = std::max(reader->At, changes.value().At);
    const bool any = !changes.value().Items.empty();
    if (any)
    {
        reader->OnChanges(changes.value().Items, reader->At);
    }
    After(reader, any ? reader->Config.GatherUs : 0, AwaitChanges);
}

static void AwaitChanges(StoreReader* reader)
{
    const StoreReaderConfig& config = reader->Config;
    Call(reader, reader->Dialect.ChangesTarget(reader->At, config.WaitUs), config.WaitUs + config.MarginUs, OnChanges);
}

void StoreReaderStart(StoreReader* reader, EventLoop* loop, Client* client, Random* random)
{
    reader->Loop = loop;
    reader->Calls = client;
    reader->Rng = random;
    ReadAll(reader);
}

} // namespace Winchlink
