// winchlink_share.cpp: load reports that instances exchange: whom to ask, what to tell, and who is offered a slot that comes free.
//
// Only marked targets are visited, see PoolIndex: those with a recent report or requests of this instance, and not the whole service.
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
    for (const PoolTarget* target : pool.Index.Marked)
    {
        const std::optional<SharedReport> report = ReportOfRoom(pool, *target, sharing.Config.ReportMaxAgeUs, now);
        if (report)
        {
            reports.push_back(*report);
        }
    }
    std::shuffle(reports.begin(), reports.end(), *random);
    reports.resize(std::min(reports.size(), sharing.Config.ReportsMax));
    return reports;
}

SharedRoom LoadRoom(const TargetPool& pool, TimeUs now)
{
    constexpr size_t near_groups = 2; // Every second group, see PoolGroupCount.
    SharedRoom room;
    for (size_t group = 0; group < PoolGroupCount; group += near_groups)
    {
        room.Targets += static_cast<int>(pool.Index.Groups[group].size());
    }
    for (const PoolTarget* target : pool.Index.Marked)
    {
        if (!target->Near)
        {
            continue;
        }
        if (!IsUsable(pool, *target, now))
        {
            room.Targets--;
            continue;
        }
        const std::optional<KnownLoad> known = PoolKnownLoad(pool, *target, now);
        room.Known += known ? 1 : 0;
        room.Free += known && HasRoom(pool, *target, *known, now) ? 1 : 0;
    }
    return room;
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

static LoadMessage MakeMessage(LoadMessage_ kind, const TargetPool& pool, uint32_t service, uint16_t data_centre, TimeUs now)
{
    LoadMessage message;
    message.Kind = kind;
    message.Service = service;
    message.DataCentre = data_centre;
    message.Room = LoadRoom(pool, now);
    return message;
}

LoadMessage LoadAsk(const TargetPool& pool, const std::string& service, uint16_t data_centre, TimeUs now)
{
    return MakeMessage(LoadMessage_Ask, pool, SharedServiceId(service), data_centre, now);
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

// The first free slot that may be offered; counts as taken.
static std::vector<SharedReport> TakeSlot(const LoadSharing& sharing, const TargetPool& pool, TimeUs now)
{
    for (PoolTarget* target : pool.Index.Marked)
    {
        const std::optional<SharedReport> report = Offerable(sharing, pool, *target, now);
        if (report)
        {
            target->SentSinceReport++;
            return {*report};
        }
    }
    return {};
}

std::optional<LoadMessage> LoadHeard(LoadSharing* sharing, TargetPool* pool, const LoadMessage& message, const std::string& from,
                                     uint16_t data_centre, TimeUs now, Random* random)
{
    TakeReports(sharing, pool, message.Reports, now);
    if (message.Kind != LoadMessage_Ask)
    {
        return std::nullopt;
    }
    LoadMessage answer = MakeMessage(LoadMessage_Answer, *pool, message.Service, data_centre, now);
    const bool near = message.DataCentre == data_centre;
    answer.Reports = near ? TakeSlot(*sharing, *pool, now) : ReportsOfRoom(*sharing, *pool, now, random);
    if (near && answer.Reports.empty())
    {
        Remember(sharing, from, now);
        return std::nullopt;
    }
    sharing->Answers++;
    return answer;
}

std::optional<LoadOfferTo> LoadOffer(LoadSharing* sharing, const TargetPool& pool, PoolTarget* target, const std::string& service,
                                     uint16_t data_centre, TimeUs now)
{
    std::deque<LoadAsker>& askers = sharing->Askers;
    while (!askers.empty() && now >= askers.front().AskedUs + sharing->Config.AskerKeptUs)
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
    offer.Message = MakeMessage(LoadMessage_Offer, pool, SharedServiceId(service), data_centre, now);
    offer.Message.Reports.push_back(*report);
    askers.pop_back();
    target->SentSinceReport++;
    sharing->Offers++;
    return offer;
}

} // namespace Winchlink
