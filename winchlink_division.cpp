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

// As it counts now.
static RoomAverage Aged(const RoomAverage& average, TimeUs average_us, TimeUs now)
{
    const double weight = WeightAt(average, average_us, now);
    return {average.Known * weight, average.Free * weight, now};
}

// Share of the probes at home that found room; 1 if little is known.
static double HomeShare(const Division& division)
{
    return division.Home.Known >= division.Config.KnownMin ? division.Home.Free / division.Home.Known : 1;
}

// What the instances that have told count now. Removes those that count for nothing.
static std::vector<RoomAverage> AgedTellers(Division* division, TimeUs now)
{
    constexpr double known_min = 0.5;
    std::vector<RoomAverage> all;
    for (auto entry = division->Tellers.begin(); entry != division->Tellers.end();)
    {
        const RoomAverage aged = Aged(entry->second, division->Config.AverageUs, now);
        const bool counts = aged.Known >= known_min;
        if (counts)
        {
            all.push_back(aged);
        }
        entry = counts ? std::next(entry) : division->Tellers.erase(entry);
    }
    return all;
}

static void AddTo(RoomAverage* sum, const RoomAverage& part, int sign)
{
    sum->Known += sign * part.Known;
    sum->Free += sign * part.Free;
}

// Removes the ones that raise and lower the share of room in the sum the most, so that no single instance sways it.
static void RemoveEnds(std::vector<RoomAverage>* tellers, const RoomAverage& sum)
{
    const double share = sum.Free / sum.Known;
    const auto raises_less = [share](const RoomAverage& a, const RoomAverage& b)
    {
        return a.Free - share * a.Known < b.Free - share * b.Known;
    };
    tellers->erase(std::max_element(tellers->begin(), tellers->end(), raises_less));
    tellers->erase(std::min_element(tellers->begin(), tellers->end(), raises_less));
}

static RoomAverage SumOf(const RoomAverage& own, const std::vector<RoomAverage>& tellers)
{
    RoomAverage sum = own;
    for (const RoomAverage& teller : tellers)
    {
        AddTo(&sum, teller, 1);
    }
    return sum;
}

static void SumUpHome(Division* division, TimeUs now)
{
    std::vector<RoomAverage> tellers = AgedTellers(division, now);
    const RoomAverage own = Aged(division->Own, division->Config.AverageUs, now);
    if (tellers.size() >= division->Config.TellersForEnds)
    {
        RemoveEnds(&tellers, SumOf(own, tellers));
    }
    division->Home = SumOf(own, tellers);
    const bool active = HomeShare(*division) < (division->Active ? division->Config.EnoughRoom : division->Config.ShortOfRoom);
    division->ChangedUs = active != division->Active ? now : division->ChangedUs;
    division->Active = active;
}

// Another instance of the own data centre has told of its probes. What it told before is part of them, or old.
static void HomeHeard(Division* division, const std::string& from, const SharedRoom& room, TimeUs now)
{
    std::map<std::string, RoomAverage>& tellers = division->Tellers;
    tellers[from] = {static_cast<double>(room.Known), static_cast<double>(room.Free), now};
    if (tellers.size() > division->Config.TellersMax)
    {
        const auto older = [](const auto& a, const auto& b)
        {
            return a.second.AtUs < b.second.AtUs;
        };
        tellers.erase(std::min_element(tellers.begin(), tellers.end(), older));
    }
    SumUpHome(division, now);
}

void DivisionProbed(Division* division, bool room, TimeUs now)
{
    division->Own = Aged(division->Own, division->Config.AverageUs, now);
    AddTo(&division->Own, {1, room ? 1.0 : 0.0, now}, 1);
    SumUpHome(division, now);
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

// Removes data centres that were neither heard nor asked lately.
static void RemoveOld(Division* division, TimeUs now)
{
    for (auto entry = division->Rooms.begin(); entry != division->Rooms.end();)
    {
        const TimeUs last = std::max(entry->second.HeardUs, entry->second.AskedUs);
        const TimeUs kept = std::max(division->Config.RoomMaxAgeUs, 2 * entry->second.RoundTripUs); // Its answer may be on the way.
        entry = now >= last + kept ? division->Rooms.erase(entry) : std::next(entry);
    }
}

// The entry of a data centre, or null if too many are known.
static DataCentreRoom* FindOrAddRoom(Division* division, uint16_t data_centre)
{
    const bool may_add = division->Rooms.size() < division->Config.DataCentresMax;
    const auto found = division->Rooms.find(data_centre);
    return found != division->Rooms.end() ? &found->second : may_add ? &division->Rooms[data_centre] : nullptr;
}

void DivisionAsked(Division* division, uint16_t data_centre, const std::string& address, TimeUs now)
{
    DataCentreRoom* entry = FindOrAddRoom(division, data_centre);
    if (entry == nullptr)
    {
        return;
    }
    entry->AskedUs = now;
    entry->Asks.push_back({address, now});
    if (entry->Asks.size() > division->Config.AsksMax)
    {
        entry->Asks.pop_front();
    }
}

// Whether both addresses are of the same instance: the ports for datagrams and for requests differ.
static bool IsSameInstance(const std::string& a, const std::string& b)
{
    return a.substr(0, a.find(':')) == b.substr(0, b.find(':'));
}

// Removes the ask that the instance has answered, and returns when it was sent; none if the instance wasn't asked. Of several it is the
// first, unless that one was probably lost.
static std::optional<TimeUs> TakeAsk(const DivisionConfig& config, DataCentreRoom* entry, const std::string& from, TimeUs now)
{
    std::deque<DivisionAsk>& asks = entry->Asks;
    while (!asks.empty() && now >= asks.front().AtUs + config.AskMaxAgeUs)
    {
        asks.pop_front();
    }
    const TimeUs usual = entry->RoundTripUs > 0 ? 2 * std::max(config.AskIntervalUs, entry->RoundTripUs) : config.AskMaxAgeUs;
    auto taken = asks.end();
    for (auto ask = asks.begin(); ask != asks.end(); ++ask)
    {
        const bool lost = taken != asks.end() && now >= taken->AtUs + usual;
        taken = IsSameInstance(ask->Address, from) && (taken == asks.end() || lost) ? ask : taken;
    }
    if (taken == asks.end())
    {
        return std::nullopt;
    }
    const TimeUs asked = taken->AtUs;
    asks.erase(taken);
    return asked;
}

// Follows a shorter time sooner than a longer one, which may be that of a paused instance.
static void MeasureRoundTrip(DataCentreRoom* entry, TimeUs measured)
{
    const TimeUs change = measured - entry->RoundTripUs;
    entry->RoundTripUs += entry->HeardUs == 0 ? change : change < 0 ? change / 2 : change / 8;
}

// Targets of the data centre that this instance knows: no message makes them more.
static int TargetsIn(const TargetPool& pool, uint16_t data_centre, DataCentreRoom* entry)
{
    if (entry->CountedSync != pool.SyncCount)
    {
        const auto is_there = [data_centre](const PoolTarget& target)
        {
            return target.DataCentre == data_centre;
        };
        entry->TargetsKnown = static_cast<int>(std::count_if(pool.Targets.begin(), pool.Targets.end(), is_there));
        entry->CountedSync = pool.SyncCount;
    }
    return entry->TargetsKnown;
}

static void ElsewhereHeard(Division* division, const TargetPool& pool, const std::string& from, const LoadMessage& message, TimeUs now)
{
    const auto found = division->Rooms.find(message.DataCentre);
    const std::optional<TimeUs> asked =
        found != division->Rooms.end() ? TakeAsk(division->Config, &found->second, from, now) : std::nullopt;
    if (!asked)
    {
        return;
    }
    DataCentreRoom& entry = found->second;
    MeasureRoundTrip(&entry, now - *asked);
    entry.Room = message.Room;
    entry.Room.Targets = std::min(entry.Room.Targets, TargetsIn(pool, message.DataCentre, &entry));
    entry.HeardUs = now;
    entry.Sent = 0;
}

void DivisionHeard(Division* division, const TargetPool& pool, const std::string& from, const LoadMessage& message, uint16_t own,
                   TimeUs now)
{
    RemoveOld(division, now);
    if (!IsPlausible(division->Config, message.Room))
    {
        return;
    }
    if (message.DataCentre == own)
    {
        HomeHeard(division, from, message.Room, now);
    }
    else if (message.Kind == LoadMessage_Answer) // Who asks from elsewhere is short of room.
    {
        ElsewhereHeard(division, pool, from, message, now);
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

// Removes the candidates from which the answer would come too late, with one probe before it. The margin is for the target's own part of
// that probe, which no message measures.
static void RemoveTooFar(const Division& division, const DivisionRequest& request, std::vector<Candidate>* candidates)
{
    constexpr double margin = 0.1; // Of the work.
    const auto too_far = [&](const Candidate& candidate)
    {
        const auto round_trip = static_cast<double>(division.Rooms.at(candidate.DataCentre).RoundTripUs);
        return request.LeftUs > 0 && request.WorkUs * (1 + margin) + 2 * round_trip > static_cast<double>(request.LeftUs);
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
