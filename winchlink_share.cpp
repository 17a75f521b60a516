// winchlink_share.cpp: load reports that instances exchange: whom to ask, what to tell, and who is offered a slot that comes free.
//
// Only marked targets are visited, see PoolIndex: those with a recent report or requests of this instance, and not the whole service. Of
// many, a message visits LoadVisitsMax.
//
// Index of this file:
// [SECTION] What is told
// [SECTION] Asking
// [SECTION] Offers

#include "winchlink_internal.h"

#include <algorithm>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] What is told
//-----------------------------------------------------------------------------

uint32_t SharedTargetId(uint64_t incarnation_id)
{
    return static_cast<uint32_t>(incarnation_id);
}

uint32_t SharedServiceId(const std::string& service)
{
    return static_cast<uint32_t>(HashId("winchlink shared load", service));
}

// The marked target from which a message visits them: of many, another one each time, so that none is left out for long.
static size_t DrawFirst(const TargetPool& pool, Random* random)
{
    const size_t count = pool.Index.Marked.size();
    return count > LoadVisitsMax ? (*random)() % count : 0;
}

// Calls `visit` for marked targets, from that one on, until it returns true; for LoadVisitsMax at most.
template <class Visit> static void VisitMarked(const TargetPool& pool, size_t first, Visit visit)
{
    const std::vector<PoolTarget*>& marked = pool.Index.Marked;
    const size_t count = std::min(marked.size(), LoadVisitsMax);
    for (size_t n = 0; n < count; n++)
    {
        if (visit(marked[(first + n) % marked.size()]))
        {
            return;
        }
    }
}

// Whether requests of this instance may go to the target now, as far as their number is not limited.
static bool IsUsable(const TargetPool& pool, const PoolTarget& target, TimeUs now)
{
    return PoolMayUse(target, now) && !target.EntryMissing && now >= target.AvoidUntilUs &&
           PoolColdState(pool, target, now) == PoolCold_None;
}

// Whether the target has room for one more request, by the latest that is known.
static bool HasRoom(const TargetPool& pool, const PoolTarget& target, const KnownLoad& known, TimeUs now)
{
    return known.Load.Running + known.Load.Waiting < known.Load.Slots && PoolRankCost(pool, target, now) <= pool.Config.AcceptableCost;
}

// Whether requests of others may be told that the target has room. `max_age`: of what is known.
static std::optional<SharedReport> ReportOfRoom(const TargetPool& pool, const PoolTarget& target, TimeUs max_age, TimeUs now)
{
    const std::optional<KnownLoad> known = PoolKnownLoad(pool, target, now);
    const bool fresh = known && now < known->AtUs + max_age;
    if (!fresh || !target.Near || !IsUsable(pool, target, now) || !HasRoom(pool, target, *known, now))
    {
        return std::nullopt;
    }
    return SharedReport{SharedTargetId(target.IncarnationId), known->Load, now - known->AtUs};
}

// Targets of this data centre that have room, in random order.
static std::vector<SharedReport> ReportsOfRoom(const LoadSharing& sharing, const TargetPool& pool, TimeUs now, Random* random)
{
    std::vector<SharedReport> reports;
    const auto collect = [&](const PoolTarget* target)
    {
        const std::optional<SharedReport> report = ReportOfRoom(pool, *target, sharing.Config.ReportMaxAgeUs, now);
        if (report)
        {
            reports.push_back(*report);
        }
        return false;
    };
    VisitMarked(pool, DrawFirst(pool, random), collect);
    std::shuffle(reports.begin(), reports.end(), *random);
    reports.resize(std::min(reports.size(), sharing.Config.ReportsMax));
    return reports;
}

// Targets of the own data centre that were visited.
struct VisitedRoom
{
    int Unusable = 0;
    int Known = 0; // Of those that may be used.
    int Free = 0;
};

static VisitedRoom VisitRoom(const TargetPool& pool, TimeUs now)
{
    VisitedRoom seen;
    const auto count = [&](const PoolTarget* target)
    {
        const bool usable = target->Near && IsUsable(pool, *target, now);
        const std::optional<KnownLoad> known = usable ? PoolKnownLoad(pool, *target, now) : std::nullopt;
        seen.Unusable += target->Near && !usable ? 1 : 0;
        seen.Known += known ? 1 : 0;
        seen.Free += known && HasRoom(pool, *target, *known, now) ? 1 : 0;
        return false;
    };
    const size_t marked = pool.Index.Marked.size();
    VisitMarked(pool, marked > 0 ? static_cast<uint64_t>(now) % marked : 0, count); // Messages come at random times.
    return seen;
}

SharedRoom LoadRoom(const TargetPool& pool, TimeUs now)
{
    constexpr size_t near_groups = 2; // Every second group, see PoolGroupCount.
    int near = 0;
    for (size_t group = 0; group < PoolGroupCount; group += near_groups)
    {
        near += static_cast<int>(pool.Index.Groups[group].size());
    }
    const VisitedRoom seen = VisitRoom(pool, now);
    const size_t marked = pool.Index.Marked.size();
    const double scale = marked > LoadVisitsMax ? static_cast<double>(marked) / LoadVisitsMax : 1;
    const auto scaled = [scale](int count)
    {
        return static_cast<int>(count * scale);
    };
    SharedRoom room;
    room.Targets = std::max(near - scaled(seen.Unusable), 0);
    room.Known = std::min(scaled(seen.Known), room.Targets);
    room.Free = std::min(scaled(seen.Free), room.Known);
    return room;
}

// The room to tell in messages.
static SharedRoom RecentRoom(LoadSharing* sharing, const TargetPool& pool, TimeUs now)
{
    if (sharing->RoomUs == 0 || now >= sharing->RoomUs + sharing->Config.RoomKeptUs)
    {
        sharing->Room = LoadRoom(pool, now);
        sharing->RoomUs = now;
    }
    return sharing->Room;
}

//-----------------------------------------------------------------------------
// [SECTION] Asking
//-----------------------------------------------------------------------------

std::vector<std::string> LoadAskPeers(LoadSharing* sharing, const Peers& peers, uint16_t data_centre, TimeUs now, Random* random)
{
    if (sharing->AskedUs > 0 && now < sharing->AskedUs + sharing->Config.AskIntervalUs)
    {
        return {};
    }
    std::vector<std::string> asked = PeersDraw(peers, data_centre, sharing->Config.AskedPeers, now, random);
    if (!asked.empty())
    {
        sharing->AskedUs = now;
        sharing->Asks += asked.size();
    }
    return asked;
}

static LoadMessage MakeMessage(LoadMessage_ kind, const SharedRoom& room, uint32_t service, uint16_t data_centre)
{
    LoadMessage message;
    message.Kind = kind;
    message.Service = service;
    message.DataCentre = data_centre;
    message.Room = room;
    return message;
}

LoadMessage LoadAsk(const TargetPool& pool, const std::string& service, uint16_t data_centre, TimeUs now)
{
    return MakeMessage(LoadMessage_Ask, LoadRoom(pool, now), SharedServiceId(service), data_centre);
}

static void TakeReports(LoadSharing* sharing, TargetPool* pool, const std::vector<SharedReport>& reports, TimeUs now)
{
    const size_t count = std::min(reports.size(), sharing->Config.ReportsMax);
    for (size_t n = 0; n < count; n++)
    {
        const SharedReport& report = reports[n];
        PoolTarget* target = PoolFindShared(*pool, report.Target);
        const bool taken =
            target != nullptr && report.AgeUs < sharing->Config.ReportMaxAgeUs && PoolTold(pool, target, report.Load, report.AgeUs, now);
        (taken ? sharing->ReportsTaken : sharing->ReportsIgnored)++;
    }
    sharing->ReportsIgnored += reports.size() - count;
}

// Whether an ask is not to be ignored.
static bool TakeAsk(LoadSharing* sharing, const std::string& from, TimeUs now)
{
    std::deque<LoadAsker>& heard = sharing->Heard;
    while (!heard.empty() && now >= heard.front().AtUs + sharing->Config.AskIgnoredUs)
    {
        heard.pop_front();
    }
    const auto is_it = [&](const LoadAsker& other)
    {
        return other.Address == from;
    };
    if (heard.size() >= sharing->Config.AskersMax || std::any_of(heard.begin(), heard.end(), is_it))
    {
        return false;
    }
    heard.push_back({from, now});
    return true;
}

static void Remember(LoadSharing* sharing, const std::string& address, TimeUs now)
{
    std::deque<LoadAsker>& askers = sharing->Askers;
    askers.erase(std::remove_if(askers.begin(), askers.end(), [&](const LoadAsker& asker) { return asker.Address == address; }),
                 askers.end());
    askers.push_back({address, now});
    if (askers.size() > sharing->Config.AskersMax)
    {
        askers.pop_front();
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Offers
//-----------------------------------------------------------------------------

// Whether another instance may be told of the target's free slot, so that it is the only one to know.
static std::optional<SharedReport> Offerable(const LoadSharing& sharing, const TargetPool& pool, const PoolTarget& target, TimeUs now)
{
    const bool own = target.ReportUs > 0 && target.ReportUs >= target.ToldUs; // Slots that others have offered are theirs to give.
    return own ? ReportOfRoom(pool, target, sharing.Config.OfferMaxAgeUs, now) : std::nullopt;
}

// A free slot that may be offered, if there is one; counts as taken.
static std::vector<SharedReport> TakeSlot(const LoadSharing& sharing, const TargetPool& pool, TimeUs now, Random* random)
{
    std::vector<SharedReport> taken;
    const auto take = [&](PoolTarget* target)
    {
        const std::optional<SharedReport> report = Offerable(sharing, pool, *target, now);
        if (report)
        {
            taken.push_back(*report);
            target->SentSinceReport++;
        }
        return report.has_value();
    };
    VisitMarked(pool, DrawFirst(pool, random), take);
    return taken;
}

std::optional<LoadMessage> LoadHeard(LoadSharing* sharing, TargetPool* pool, const LoadMessage& message, const std::string& from,
                                     uint16_t data_centre, TimeUs now, Random* random)
{
    TakeReports(sharing, pool, message.Reports, now);
    if (message.Kind != LoadMessage_Ask)
    {
        return std::nullopt;
    }
    const bool near = message.DataCentre == data_centre;
    if (near && !TakeAsk(sharing, from, now))
    {
        return std::nullopt;
    }
    std::vector<SharedReport> reports = near ? TakeSlot(*sharing, *pool, now, random) : ReportsOfRoom(*sharing, *pool, now, random);
    if (near && reports.empty())
    {
        Remember(sharing, from, now);
        return std::nullopt;
    }
    LoadMessage answer = MakeMessage(LoadMessage_Answer, RecentRoom(sharing, *pool, now), message.Service, data_centre);
    answer.Reports = std::move(reports);
    sharing->Answers++;
    return answer;
}

std::optional<LoadOfferTo> LoadOffer(LoadSharing* sharing, const TargetPool& pool, PoolTarget* target, const std::string& service,
                                     uint16_t data_centre, TimeUs now)
{
    std::deque<LoadAsker>& askers = sharing->Askers;
    while (!askers.empty() && now >= askers.front().AtUs + sharing->Config.AskerKeptUs)
    {
        askers.pop_front();
    }
    const std::optional<SharedReport> report = Offerable(*sharing, pool, *target, now);
    if (askers.empty() || !report)
    {
        return std::nullopt;
    }
    LoadOfferTo offer;
    offer.Address = askers.back().Address; // The requests of those that asked long ago have probably found a target.
    offer.Message = MakeMessage(LoadMessage_Offer, RecentRoom(sharing, pool, now), SharedServiceId(service), data_centre);
    offer.Message.Reports.push_back(*report);
    askers.pop_back();
    target->SentSinceReport++;
    sharing->Offers++;
    return offer;
}

} // namespace Winchlink
