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

// Reports of this instance and of others that are young enough to be passed on: in random order, those of targets with room first. An
// instance that asks from another data centre is told of targets near to this one.
static std::vector<SharedReport> ReportsToTell(const LoadSharing& sharing, const TargetPool& pool, bool near_only, TimeUs now,
                                               Random* random)
{
    std::vector<SharedReport> with_room;
    std::vector<SharedReport> others;
    for (const PoolTarget* target : pool.Index.Marked)
    {
        const std::optional<KnownLoad> known = PoolKnownLoad(pool, *target, now);
        if (!known || now >= known->AtUs + sharing.Config.ReportMaxAgeUs || (near_only && !target->Near))
        {
            continue;
        }
        const bool room = IsUsable(pool, *target, now) && HasRoom(pool, *target, *known, now);
        (room ? with_room : others).push_back({SharedTargetId(target->IncarnationId), known->Load, now - known->AtUs});
    }
    std::shuffle(with_room.begin(), with_room.end(), *random);
    std::shuffle(others.begin(), others.end(), *random);
    with_room.insert(with_room.end(), others.begin(), others.end());
    with_room.resize(std::min(with_room.size(), sharing.Config.ReportsMax));
    return with_room;
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

LoadMessage LoadAsk(const LoadSharing& sharing, const TargetPool& pool, const std::string& service, uint16_t data_centre, TimeUs now,
                    Random* random)
{
    LoadMessage message = MakeMessage(LoadMessage_Ask, pool, SharedServiceId(service), data_centre, now);
    message.Reports = ReportsToTell(sharing, pool, false, now, random);
    return message;
}

static void TakeReports(LoadSharing* sharing, TargetPool* pool, const std::vector<SharedReport>& reports, TimeUs now)
{
    const size_t count = std::min(reports.size(), sharing->Config.ReportsMax);
    for (size_t n = 0; n < count; n++)
    {
        const SharedReport& report = reports[n];
        const auto found = pool->Index.BySharedId.find(report.Target);
        const bool taken = found != pool->Index.BySharedId.end() && report.AgeUs < sharing->Config.ReportMaxAgeUs &&
                           PoolTold(pool, found->second, report.Load, report.AgeUs, now);
        (taken ? sharing->ReportsTaken : sharing->ReportsIgnored)++;
    }
    sharing->ReportsIgnored += reports.size() - count;
}

static void RemoveAsker(LoadSharing* sharing, const std::string& address)
{
    std::deque<LoadAsker>& askers = sharing->Askers;
    askers.erase(std::remove_if(askers.begin(), askers.end(), [&](const LoadAsker& asker) { return asker.Address == address; }),
                 askers.end());
}

static void Remember(LoadSharing* sharing, const std::string& address, TimeUs now)
{
    RemoveAsker(sharing, address);
    if (sharing->Askers.size() >= sharing->Config.AskersMax && !sharing->Askers.empty())
    {
        sharing->Askers.pop_front();
    }
    sharing->Askers.push_back({address, now});
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
    if (near) // Requests cross by division, not because a slot is free.
    {
        Remember(sharing, from, now);
    }
    LoadMessage answer = MakeMessage(LoadMessage_Answer, *pool, message.Service, data_centre, now);
    answer.Reports = ReportsToTell(*sharing, *pool, !near, now, random);
    sharing->Answers++;
    return answer;
}

//-----------------------------------------------------------------------------
// [SECTION] Offers
//-----------------------------------------------------------------------------

std::optional<LoadOfferTo> LoadOffer(LoadSharing* sharing, const TargetPool& pool, PoolTarget* target, const std::string& service,
                                     uint16_t data_centre, TimeUs now)
{
    std::deque<LoadAsker>& askers = sharing->Askers;
    while (!askers.empty() && now >= askers.front().AskedUs + sharing->Config.AskerKeptUs)
    {
        askers.pop_front();
    }
    const std::optional<KnownLoad> known = PoolKnownLoad(pool, *target, now);
    if (askers.empty() || !target->Near || !known || !IsUsable(pool, *target, now) || !HasRoom(pool, *target, *known, now))
    {
        return std::nullopt;
    }
    LoadOfferTo offer;
    offer.Address = askers.front().Address;
    offer.Message = MakeMessage(LoadMessage_Offer, pool, SharedServiceId(service), data_centre, now);
    offer.Message.Reports.push_back({SharedTargetId(target->IncarnationId), known->Load, now - known->AtUs});
    askers.pop_front();
    target->SentSinceReport++;
    sharing->Offers++;
    return offer;
}

} // namespace Winchlink
