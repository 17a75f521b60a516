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

// Whether figures that another instance told are possible.
static bool IsPlausible(const DivisionConfig& config, const SharedRoom& room)
{
    return room.Targets >= 0 && room.Targets <= config.TargetsMax && room.Free >= 0 && room.Free <= room.Known &&
           room.Known <= config.ToldMax;
}

static double WeightAt(const RoomAverage& average, TimeUs average_us, TimeUs now)
{
    const auto age = static_cast<double>(std::max<TimeUs>(now - average.AtUs, 0));
    return average.AtUs == 0 ? 0 : std::exp(-age / static_cast<double>(average_us));
}

static void Add(RoomAverage* average, TimeUs average_us, double known, double free, TimeUs now)
{
    const double weight = WeightAt(*average, average_us, now);
    average->Known = average->Known * weight + known;
    average->Free = average->Free * weight + free;
    average->AtUs = now;
}

// Share of the probes at home that found room; 1 if little is known.
static double HomeShare(const Division& division)
{
    return division.Home.Known >= division.Config.KnownMin ? division.Home.Free / division.Home.Known : 1;
}

static void AddHome(Division* division, double known, double free, TimeUs now)
{
    Add(&division->Home, division->Config.AverageUs, known, free, now);
    const bool active = HomeShare(*division) < (division->Active ? division->Config.EnoughRoom : division->Config.ShortOfRoom);
    division->ChangedUs = active != division->Active ? now : division->ChangedUs;
    division->Active = active;
}

void DivisionProbed(Division* division, bool room, TimeUs now)
{
    Add(&division->Own, division->Config.AverageUs, 1, room ? 1 : 0, now);
    AddHome(division, 1, room ? 1 : 0, now);
}

SharedRoom DivisionTell(const Division& division, const SharedRoom& own, bool near, TimeUs now)
{
    const RoomAverage& average = near ? division.Own : division.Home;
    const double weight = WeightAt(average, division.Config.AverageUs, now);
    SharedRoom told = own;
    told.Known = static_cast<int>(std::lround(std::min(average.Known * weight, division.Config.ToldMax)));
    told.Free = average.Known > 0 ? static_cast<int>(std::lround(told.Known * average.Free / average.Known)) : 0;
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

void DivisionHeard(Division* division, uint16_t data_centre, uint16_t own, const SharedRoom& room, TimeUs now)
{
    RemoveOld(division, now);
    if (!IsPlausible(division->Config, room))
    {
        return;
    }
    if (data_centre == own)
    {
        AddHome(division, room.Known, room.Free, now);
        return;
    }
    DataCentreRoom* entry = FindOrAddRoom(division, data_centre);
    if (entry != nullptr)
    {
        entry->Room = room;
        entry->HeardUs = now;
        // An answer to an earlier ask may come right after the next one: the time falls slowly.
        if (entry->WaitingUs > 0)
        {
            entry->RoundTripUs = std::max(now - entry->WaitingUs, entry->RoundTripUs * 9 / 10);
        }
        entry->WaitingUs = 0;
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
        const TimeUs interval = entry != nullptr ? std::max(division->Config.AskIntervalUs, entry->RoundTripUs) : 0;
        if (entry != nullptr && (entry->AskedUs == 0 || now >= entry->AskedUs + interval))
        {
            entry->AskedUs = now;
            entry->WaitingUs = entry->WaitingUs > 0 ? entry->WaitingUs : now;
            asked.push_back(data_centre);
        }
    }
    return asked;
}

//-----------------------------------------------------------------------------
// [SECTION] Decision
//-----------------------------------------------------------------------------

bool DivisionHasSlack(const DivisionConfig& config, const DivisionRequest& request)
{
    const double slack = request.WorkUs > 0 ? static_cast<double>(request.LeftUs) / request.WorkUs : 0;
    return request.AnswerBytes * slack >= config.LargeAnswerBytes * config.SlackFactor;
}

// Share of free targets of another data centre; 0 if nothing recent is known.
static double FreeShare(const DivisionConfig& config, const DataCentreRoom& other, TimeUs now)
{
    const bool recent = other.HeardUs > 0 && now < other.HeardUs + config.RoomMaxAgeUs;
    return recent ? other.Room.Free / (other.Room.Known + config.RoomPrior) : 0;
}

// Where a request may go.
struct Candidate
{
    uint16_t DataCentre = 0;
    double Room = 0;        // Free targets that it is likely to have.
    double Probability = 0; // That a request crosses, were it the only candidate.
};

static std::vector<Candidate> Candidates(const Division& division, const SharedRoom& own, TimeUs now)
{
    const DivisionConfig& config = division.Config;
    std::vector<Candidate> candidates;
    for (const auto& entry : division.Rooms)
    {
        const double share = FreeShare(config, entry.second, now);
        const double room = share * entry.second.Room.Targets - entry.second.Sent;
        const double excess = (share - HomeShare(division) - config.RoomMargin) / config.RoomRange;
        const double probability = own.Targets == 0 ? 1 : std::clamp(excess, 0.0, 1.0);
        if (room > 0 && probability > 0)
        {
            candidates.push_back({entry.first, room, probability});
        }
    }
    return candidates;
}

bool DivisionMayCross(const Division& division, const SharedRoom& own, TimeUs now)
{
    return (division.Active || own.Targets == 0) && !Candidates(division, own, now).empty();
}

// Draws a candidate in proportion to its room and probability.
static uint16_t DrawCandidate(const std::vector<Candidate>& candidates, Random* random)
{
    std::vector<double> weights;
    weights.reserve(candidates.size());
    for (const Candidate& candidate : candidates)
    {
        weights.push_back(candidate.Room * candidate.Probability);
    }
    return candidates[std::discrete_distribution<size_t>(weights.begin(), weights.end())(*random)].DataCentre;
}

// Removes the candidates from which the answer would come too late, with one probe before it.
static void RemoveTooFar(const Division& division, const DivisionRequest& request, std::vector<Candidate>* candidates)
{
    const auto too_far = [&](const Candidate& candidate)
    {
        const auto round_trip = static_cast<double>(division.Rooms.at(candidate.DataCentre).RoundTripUs);
        return request.LeftUs > 0 && request.WorkUs + 2 * round_trip > static_cast<double>(request.LeftUs);
    };
    candidates->erase(std::remove_if(candidates->begin(), candidates->end(), too_far), candidates->end());
}

std::optional<uint16_t> DivisionPick(Division* division, const SharedRoom& own, const DivisionRequest& request, TimeUs now, Random* random)
{
    RemoveOld(division, now);
    const bool may_cross = DivisionMayCross(*division, own, now);
    std::vector<Candidate> candidates = may_cross ? Candidates(*division, own, now) : std::vector<Candidate>();
    if (own.Targets > 0)
    {
        RemoveTooFar(*division, request, &candidates);
    }
    double probability = 0;
    for (const Candidate& candidate : candidates)
    {
        probability = std::max(probability, candidate.Probability);
    }
    if (std::uniform_real_distribution<double>(0, 1)(*random) >= probability)
    {
        division->KeptForRoom++;
        return std::nullopt;
    }
    if (own.Targets > 0 && DivisionHasSlack(division->Config, request))
    {
        division->KeptForSlack++;
        return std::nullopt;
    }
    const uint16_t picked = DrawCandidate(candidates, random);
    division->Rooms[picked].Sent++;
    division->Crossed++;
    return picked;
}

} // namespace Winchlink
