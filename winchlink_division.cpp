// winchlink_division.cpp: which requests another data centre serves, and which one, see [SECTION] Division in winchlink.h.
//
// Index of this file:
// [SECTION] Room
// [SECTION] Decision

#include "winchlink_internal.h"

#include <algorithm>
#include <cmath>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Room
//-----------------------------------------------------------------------------

// Limits numbers that came from another instance to what they may be.
static std::optional<SharedRoom> CheckRoom(const SharedRoom& room)
{
    constexpr int targets_max = 100000;
    const bool valid = room.Targets >= 0 && room.Targets <= targets_max && room.Known >= 0 && room.Known <= room.Targets && room.Free >= 0 &&
                       room.Free <= room.Known;
    return valid ? std::optional<SharedRoom>(room) : std::nullopt;
}

static double WeightAt(const RoomAverage& average, TimeUs average_us, TimeUs now)
{
    return average.AtUs == 0 ? 0 : std::exp(-static_cast<double>(std::max<TimeUs>(now - average.AtUs, 0)) / static_cast<double>(average_us));
}

static void SetActive(Division* division, bool active, TimeUs now)
{
    if (division->Active != active)
    {
        division->Active = active;
        division->ChangedUs = now;
    }
}

void DivisionSeen(Division* division, const SharedRoom& own, TimeUs now)
{
    if (!CheckRoom(own))
    {
        return;
    }
    const DivisionConfig& config = division->Config;
    RoomAverage* average = &division->Own;
    const double weight = WeightAt(*average, config.AverageUs, now);
    average->Known = average->Known * weight + own.Known;
    average->Free = average->Free * weight + own.Free;
    average->Targets = own.Targets;
    average->AtUs = now;
    const double share = average->Known > 0 ? average->Free / average->Known : 1;
    const bool enough_known = average->Known >= std::min(config.KnownMin, own.Targets);
    const double limit = division->Active ? config.EnoughRoom : config.ShortOfRoom;
    SetActive(division, own.Targets == 0 || (enough_known && share < limit), now);
}

SharedRoom DivisionTell(const Division& division, const SharedRoom& own, TimeUs now)
{
    const double weight = WeightAt(division.Own, division.Config.AverageUs, now);
    const double known = division.Own.Known * weight + own.Known;
    const double free = division.Own.Free * weight + own.Free;
    SharedRoom told = own;
    told.Known = std::min(static_cast<int>(std::lround(known)), own.Targets);
    told.Free = known > 0 ? std::min(static_cast<int>(std::lround(told.Known * free / known)), told.Known) : 0;
    return told;
}

// Removes news that are too old to be used.
static void RemoveOld(Division* division, TimeUs now)
{
    for (auto entry = division->Rooms.begin(); entry != division->Rooms.end();)
    {
        const TimeUs last = std::max(entry->second.HeardUs, entry->second.AskedUs);
        entry = now >= last + division->Config.RoomMaxAgeUs ? division->Rooms.erase(entry) : std::next(entry);
    }
}

// The entry of a data centre, or null if too many are known.
static DataCentreRoom* FindOrAddRoom(Division* division, uint16_t data_centre)
{
    const bool may_add = division->Rooms.size() < division->Config.DataCentresMax;
    const auto found = division->Rooms.find(data_centre);
    return found != division->Rooms.end() ? &found->second : may_add ? &division->Rooms[data_centre] : nullptr;
}

void DivisionHeard(Division* division, uint16_t data_centre, const SharedRoom& room, TimeUs now)
{
    RemoveOld(division, now);
    DataCentreRoom* entry = CheckRoom(room) ? FindOrAddRoom(division, data_centre) : nullptr;
    if (entry != nullptr)
    {
        entry->Room = room;
        entry->HeardUs = now;
        entry->Sent = 0;
    }
}

std::vector<uint16_t> DivisionAsks(Division* division, const SharedRoom& own, const Peers& peers, TimeUs now)
{
    RemoveOld(division, now);
    std::vector<uint16_t> asked;
    if (!division->Active && own.Targets > 0)
    {
        return asked;
    }
    for (const uint16_t data_centre : PeersDataCentres(peers))
    {
        DataCentreRoom* entry = FindOrAddRoom(division, data_centre);
        const TimeUs interval = division->Config.AskIntervalUs;
        if (entry != nullptr && (entry->AskedUs == 0 || now >= entry->AskedUs + interval))
        {
            entry->AskedUs = now;
            asked.push_back(data_centre);
        }
    }
    return asked;
}

//-----------------------------------------------------------------------------
// [SECTION] Decision
//-----------------------------------------------------------------------------

// Whether the request has so much time left for the size of its answer that it is to wait at home.
static bool HasSlack(const DivisionConfig& config, const DivisionRequest& request)
{
    const double slack = request.WorkUs > 0 ? static_cast<double>(request.LeftUs) / request.WorkUs : 0;
    return request.AnswerBytes * slack >= config.LargeAnswerBytes * config.SlackFactor;
}

// Probability that a request crosses to a data centre with that free share.
static double CrossingProbability(const DivisionConfig& config, double own_share, double share)
{
    return std::clamp((share - own_share - config.RoomMargin) / config.RoomRange, 0.0, 1.0);
}

std::optional<uint16_t> DivisionPick(Division* division, const SharedRoom& own, const DivisionRequest& request, TimeUs now, Random* random)
{
    RemoveOld(division, now);
    const DivisionConfig& config = division->Config;
    const bool no_targets = own.Targets == 0;
    if (!division->Active && !no_targets)
    {
        return std::nullopt;
    }
    const double own_share = division->Own.Known > 0 && !no_targets ? division->Own.Free / division->Own.Known : 0;
    double room = 0;
    double crossing = 0;
    std::vector<std::pair<uint16_t, double>> candidates;
    for (const auto& entry : division->Rooms)
    {
        const DataCentreRoom& other = entry.second;
        const double share = other.Room.Free / (other.Room.Known + config.RoomPrior);
        const double free = share * other.Room.Targets - other.Sent;
        const double probability = no_targets ? 1 : CrossingProbability(config, own_share, share);
        if (other.HeardUs > 0 && now < other.HeardUs + config.RoomMaxAgeUs && free > 0 && probability > 0)
        {
            candidates.emplace_back(entry.first, free * probability);
            room += free * probability;
            crossing = std::max(crossing, probability);
        }
    }
    if (candidates.empty())
    {
        division->KeptForRoom++;
        return std::nullopt;
    }
    if (!no_targets && HasSlack(config, request))
    {
        division->KeptForSlack++;
        return std::nullopt;
    }
    std::uniform_real_distribution<double> draw(0, 1);
    if (draw(*random) >= crossing)
    {
        division->KeptForRoom++;
        return std::nullopt;
    }
    double left = draw(*random) * room;
    uint16_t picked = candidates.back().first;
    for (const auto& candidate : candidates)
    {
        if (left < candidate.second)
        {
            picked = candidate.first;
            break;
        }
        left -= candidate.second;
    }
    division->Rooms[picked].Sent++;
    division->Crossed++;
    return picked;
}

} // namespace Winchlink
