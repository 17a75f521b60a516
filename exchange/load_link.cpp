// load_link.cpp: exchange of load reports and of the room in data centres between instances.
//
// Index of this file:
// [SECTION] Messages
// [SECTION] Beginning and end
// [SECTION] Sending
// [SECTION] Receiving
// [SECTION] Settings

#include "load_link.h"

#include "clock.h"
#include "log.h"
#include "message_codec.h"

#include <algorithm>
#include <limits>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

static constexpr size_t LoadHeadBytes = 15;
static constexpr size_t LoadReportBytes = 9;

namespace
{

// A SharedReport as it is sent.
struct CodedReport
{
    uint32_t Target = 0;
    uint8_t Work = 0; // Running and waiting.
    uint8_t Slots = 0;
    uint16_t PacePercent = 0;
    uint8_t AgeMs = 0; // Rounded up.
};

// A LoadMessage as it is sent.
struct CodedLoad
{
    uint8_t Kind = 0;
    uint32_t Service = 0;
    uint16_t DataCentre = 0;
    std::array<uint16_t, 3> Room{}; // Targets, known, free.
    std::vector<CodedReport> Reports;
};

template <class Archive> void serialize(Archive& archive, CodedReport& report)
{
    archive(report.Target, report.Work, report.Slots, report.PacePercent, report.AgeMs);
}

template <class Archive> void serialize(Archive& archive, CodedLoad& load)
{
    archive(load.Kind, load.Service, load.DataCentre, load.Room[0], load.Room[1], load.Room[2]);
    auto count = static_cast<uint8_t>(load.Reports.size());
    archive(count);
    load.Reports.resize(count); // A byte's worth at most, also where the input is forged.
    for (CodedReport& report : load.Reports)
    {
        archive(report);
    }
}

} // namespace

template <class Number> static Number Cut(int64_t value)
{
    return static_cast<Number>(std::clamp<int64_t>(value, 0, std::numeric_limits<Number>::max()));
}

static CodedReport Coded(const SharedReport& report)
{
    const LoadReport& load = report.Load;
    return {report.Target, Cut<uint8_t>(int64_t{load.Running} + load.Waiting), Cut<uint8_t>(load.Slots), Cut<uint16_t>(load.PacePercent),
            Cut<uint8_t>((report.AgeUs + UsPerMs - 1) / UsPerMs)};
}

std::string EncodeLoad(const LoadMessage& message)
{
    CodedLoad load;
    load.Kind = message.Kind;
    load.Service = message.Service;
    load.DataCentre = message.DataCentre;
    load.Room = {Cut<uint16_t>(message.Room.Targets), Cut<uint16_t>(message.Room.Known), Cut<uint16_t>(message.Room.Free)};
    const size_t count = std::min(message.Reports.size(), LoadReportsMax);
    for (size_t n = 0; n < count; n++)
    {
        load.Reports.push_back(Coded(message.Reports[n]));
    }
    return EncodeMessage(load);
}

static bool IsPlausible(const CodedLoad& load, size_t bytes)
{
    const bool room = load.Room[2] <= load.Room[1];
    const bool kind = load.Kind > LoadMessage_None && load.Kind < LoadMessage_COUNT;
    const bool size = load.Reports.size() <= LoadReportsMax && bytes == LoadHeadBytes + LoadReportBytes * load.Reports.size();
    const auto plausible = [](const CodedReport& report)
    {
        return report.Slots > 0 && report.PacePercent > 0;
    };
    return room && kind && size && std::all_of(load.Reports.begin(), load.Reports.end(), plausible);
}

static SharedReport Decoded(const CodedReport& report)
{
    SharedReport out;
    out.Target = report.Target;
    out.Load.Running = std::min(report.Work, report.Slots);
    out.Load.Waiting = report.Work - out.Load.Running;
    out.Load.Slots = report.Slots;
    out.Load.PacePercent = report.PacePercent;
    out.AgeUs = report.AgeMs * UsPerMs;
    return out;
}

Result<LoadMessage> DecodeLoad(const std::string& bytes)
{
    CodedLoad load;
    if (!DecodeMessage(bytes, &load) || !IsPlausible(load, bytes.size()))
    {
        return Error{Code_MessageMalformed, "malformed load datagram"};
    }
    LoadMessage message;
    message.Kind = static_cast<LoadMessage_>(load.Kind);
    message.Service = load.Service;
    message.DataCentre = load.DataCentre;
    message.Room = {load.Room[0], load.Room[1], load.Room[2]};
    std::transform(load.Reports.begin(), load.Reports.end(), std::back_inserter(message.Reports), Decoded);
    return message;
}

//-----------------------------------------------------------------------------
// [SECTION] Beginning and end
//-----------------------------------------------------------------------------

// Logs that sharing has begun or ended.
static void WatchSharing(const LoadLink& link, const ServiceState& service, LoadWatch* watch, TimeUs now)
{
    const LoadSharing& sharing = service.Sharing;
    const bool active = link.Shares && watch->AskedUs > 0 && now < watch->AskedUs + link.Config.CalmUs;
    if (active == (watch->SharingUs > 0))
    {
        return;
    }
    if (!active)
    {
        Log(LogLevel_Info, Code_None, "load sharing ended",
            {{"service", service.Name},
             {"forUs", watch->AskedUs - watch->SharingUs},
             {"asks", sharing.Asks - watch->Asks},
             {"reportsTaken", sharing.ReportsTaken - watch->ReportsTaken}});
        watch->SharingUs = 0;
        return;
    }
    const SharedRoom room = LoadRoom(service.Pool, now);
    Log(LogLevel_Info, Code_None, "load sharing began",
        {{"service", service.Name}, {"targets", room.Targets}, {"known", room.Known}, {"free", room.Free}});
    watch->SharingUs = now;
    watch->ReportsTaken = sharing.ReportsTaken;
}

// The data centre with the greatest share of free targets, as far as is known; null if none is known.
static const std::pair<const uint16_t, DataCentreRoom>* RoomiestOf(const Division& divided)
{
    const auto less = [](const auto& a, const auto& b)
    {
        return a.second.Room.Free * std::max(b.second.Room.Known, 1) < b.second.Room.Free * std::max(a.second.Room.Known, 1);
    };
    const auto found = std::max_element(divided.Rooms.begin(), divided.Rooms.end(), less);
    return found != divided.Rooms.end() ? &*found : nullptr;
}

// Logs that division has begun or ended. What is known of it is old once no request considers other data centres.
static void WatchDivision(const LoadLink& link, const ServiceState& service, LoadWatch* watch, TimeUs now)
{
    const Division& divided = service.Divided;
    const bool active = link.Divides && divided.Active && now < watch->DivisionCheckedUs + link.Config.CalmUs;
    if (active == (watch->DividingUs > 0))
    {
        return;
    }
    if (!active)
    {
        Log(LogLevel_Info, Code_None, "division ended",
            {{"service", service.Name},
             {"forUs", now - watch->DividingUs},
             {"crossed", divided.Crossed - watch->Crossed},
             {"keptForRoom", divided.KeptForRoom - watch->KeptForRoom},
             {"keptForSlack", divided.KeptForSlack - watch->KeptForSlack}});
        watch->DividingUs = 0;
        return;
    }
    const SharedRoom own = LoadRoom(service.Pool, now);
    const auto* other = RoomiestOf(divided);
    Log(LogLevel_Info, Code_None, "division began",
        {{"service", service.Name},
         {"targets", own.Targets},
         {"known", own.Known},
         {"free", own.Free},
         {"otherKnown", other != nullptr ? other->second.Room.Known : -1},
         {"otherFree", other != nullptr ? other->second.Room.Free : -1}});
    watch->DividingUs = now;
    watch->Crossed = divided.Crossed;
    watch->KeptForRoom = divided.KeptForRoom;
    watch->KeptForSlack = divided.KeptForSlack;
}

static void WatchService(const LoadLink& link, const ServiceState& service, LoadWatch* watch, TimeUs now)
{
    WatchSharing(link, service, watch, now);
    WatchDivision(link, service, watch, now);
}

static void WatchAll(LoadLink* link)
{
    const TimeUs now = NowUs();
    for (auto entry = link->Watched.begin(); entry != link->Watched.end();)
    {
        LoadWatch& watch = entry->second;
        WatchService(*link, *entry->first, &watch, now);
        const TimeUs calm = now - link->Config.CalmUs;
        const bool shared = std::max(watch.AskedUs, watch.HeardUs) > calm; // An instance that is alone considers others in vain.
        const bool recent = shared || watch.DivisionCheckedUs > calm;
        entry->first->Pool.Shared = shared;
        entry = recent ? std::next(entry) : link->Watched.erase(entry);
    }
    link->WatchTimer = link->Watched.empty() ? nullptr : TimerStart(link->Loop, link->Config.WatchUs, [link]() { WatchAll(link); });
}

// Forgets what was remembered of other instances.
static void EndAll(LoadLink* link)
{
    const TimeUs now = NowUs();
    for (auto& [service, watch] : link->Watched)
    {
        WatchService(*link, *service, &watch, now);
    }
    link->Watched.clear();
    link->WatchTimer = nullptr;
    for (auto& [name, service] : link->Requests->Services)
    {
        service.Pool.Shared = false;
        service.Sharing.Askers.clear();
        service.Sharing.Heard.clear();
    }
}

static LoadWatch* WatchOf(LoadLink* link, ServiceState* service)
{
    if (!link->WatchTimer)
    {
        link->WatchTimer = TimerStart(link->Loop, link->Config.WatchUs, [link]() { WatchAll(link); });
    }
    return &link->Watched[service];
}

//-----------------------------------------------------------------------------
// [SECTION] Sending
//-----------------------------------------------------------------------------

static void Send(LoadLink* link, const std::string& instance, const LoadMessage& message)
{
    DatagramSend(link->Datagrams, DatagramChannel_Load, DatagramKind_Load, instance, EncodeLoad(message));
}

// `near`: for instances of the own data centre.
static LoadMessage MakeAsk(const LoadLink& link, const ServiceState& service, bool near, TimeUs now)
{
    const Forwarder& requests = *link.Requests;
    LoadMessage ask = LoadAsk(service.Pool, service.Name, requests.Others.DataCentre, now);
    ask.Room = DivisionTell(service.Divided, ask.Room, near, now);
    return ask;
}

static void AskNearby(LoadLink* link, ServiceState* service, LoadWatch* watch, TimeUs now)
{
    const Forwarder& requests = *link->Requests;
    const uint64_t asks = service->Sharing.Asks;
    const std::vector<std::string> asked = LoadAskPeers(&service->Sharing, requests.Others, requests.Others.DataCentre, now, requests.Rng);
    if (asked.empty())
    {
        return;
    }
    watch->Asks = watch->SharingUs == 0 ? asks : watch->Asks;
    watch->AskedUs = now;
    service->Pool.Shared = true;
    const LoadMessage ask = MakeAsk(*link, *service, true, now);
    for (const std::string& peer : asked)
    {
        Send(link, peer, ask);
    }
}

// Asks for the room in other data centres.
static void AskElsewhere(LoadLink* link, ServiceState* service, LoadWatch* watch, TimeUs now)
{
    if (watch->DivisionCheckedUs > 0 && now < watch->DivisionCheckedUs + link->Config.DivisionCheckUs)
    {
        return;
    }
    watch->DivisionCheckedUs = now;
    const Peers& others = link->Requests->Others;
    for (const uint16_t data_centre : DivisionAsks(&service->Divided, LoadRoom(service->Pool, now), others, now))
    {
        for (const std::string& peer : PeersDraw(others, data_centre, 1, now, link->Requests->Rng))
        {
            Send(link, peer, MakeAsk(*link, *service, false, now));
            DivisionAsked(&service->Divided, data_centre, peer, now);
            link->DivisionAsks++;
        }
    }
}

void LoadLinkAsk(LoadLink* link, ServiceState* service, TimeUs now)
{
    if (!link->Shares)
    {
        return;
    }
    LoadWatch* watch = WatchOf(link, service);
    AskNearby(link, service, watch, now);
    if (link->Divides)
    {
        AskElsewhere(link, service, watch, now);
    }
    WatchService(*link, *service, watch, now);
}

void LoadLinkFreed(LoadLink* link, ServiceState* service, PoolTarget* target, TimeUs now)
{
    if (!link->Shares || service->Sharing.Askers.empty())
    {
        return;
    }
    std::optional<LoadOfferTo> offer =
        LoadOffer(&service->Sharing, service->Pool, target, service->Name, link->Requests->Others.DataCentre, now);
    if (offer)
    {
        offer->Message.Room = DivisionTell(service->Divided, offer->Message.Room, true, now);
        Send(link, offer->Address, offer->Message);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Receiving
//-----------------------------------------------------------------------------

static ServiceState* FindShared(LoadLink* link, uint32_t id)
{
    std::map<std::string, ServiceState>& services = link->Requests->Services; // Never erased.
    if (link->ServicesIndexed != services.size())
    {
        link->Services.clear();
        for (auto& [name, service] : services)
        {
            link->Services[SharedServiceId(name)] = &service;
        }
        link->ServicesIndexed = services.size();
    }
    const auto found = link->Services.find(id);
    return found != link->Services.end() ? found->second : nullptr;
}

// The instance at an IP address that was heard last, or null. `ip`: with the colon before the port, as the ports of an instance for
// datagrams and for others differ.
static const Peer* LatestAt(const Peers& peers, const std::string& ip)
{
    const Peer* latest = nullptr;
    for (auto peer = peers.Known.lower_bound(ip); peer != peers.Known.end() && peer->first.compare(0, ip.size(), ip) == 0; ++peer)
    {
        latest = latest == nullptr || peer->second.HeardUs > latest->HeardUs ? &peer->second : latest;
    }
    return latest;
}

// Whether the sender may be what its message says: not this instance, and in that data centre, if it is known where it runs.
static bool MayBeFrom(const Peers& peers, const std::string& from, uint16_t data_centre)
{
    const std::string ip = from.substr(0, from.rfind(':') + 1);
    const Peer* known = LatestAt(peers, ip);
    return peers.Own.compare(0, ip.size(), ip) != 0 && (known == nullptr || known->DataCentre == data_centre);
}

// The target of a free slot that was told to this instance, if the message holds one. `taken`: reports of it were taken.
static PoolTarget* OfferedBy(const ServiceState& service, const LoadMessage& message, uint16_t own, bool taken)
{
    const bool offers = taken && message.Kind != LoadMessage_Ask && message.DataCentre == own;
    return offers ? PoolFindShared(service.Pool, message.Reports.front().Target) : nullptr;
}

void LoadLinkHeard(LoadLink* link, const std::string& from, LoadMessage message, TimeUs delay, TimeUs now)
{
    const Forwarder& requests = *link->Requests;
    const bool asks = message.Kind == LoadMessage_Ask;
    if (!link->Shares)
    {
        return;
    }
    if (!MayBeFrom(requests.Others, from, message.DataCentre))
    {
        link->WrongSenders++;
        return;
    }
    if (!requests.Plan || (requests.Draining && asks))
    {
        link->NotAnswered++;
        return;
    }
    ServiceState* service = FindShared(link, message.Service);
    if (service == nullptr)
    {
        link->UnknownServices++;
        return;
    }
    const uint16_t own = requests.Others.DataCentre;
    const bool near = message.DataCentre == own;
    LoadSharing* sharing = &service->Sharing;
    if (asks && near && delay >= sharing->Config.AskerKeptUs)
    {
        link->NotAnswered++;
        return;
    }
    WatchOf(link, service)->HeardUs = now;
    service->Pool.Shared = true;
    for (SharedReport& report : message.Reports)
    {
        report.AgeUs += delay;
    }
    const uint64_t taken = sharing->ReportsTaken;
    std::optional<LoadMessage> answer = LoadHeard(sharing, &service->Pool, message, from, own, now, requests.Rng);
    if (link->Divides)
    {
        DivisionHeard(&service->Divided, service->Pool, from, message, own, now);
    }
    if (answer)
    {
        answer->Room = DivisionTell(service->Divided, answer->Room, near, now);
        Send(link, from, *answer);
    }
    if (link->OnHeard)
    {
        link->OnHeard(service, OfferedBy(*service, message, own, sharing->ReportsTaken > taken));
    }
}

// False if the datagram is malformed.
static bool OnReceived(LoadLink* link, const Datagram& datagram)
{
    Result<LoadMessage> message = DecodeLoad(datagram.Body);
    if (message)
    {
        LoadLinkHeard(link, datagram.From, std::move(message.value()), datagram.DelayUs, NowUs());
    }
    return message.has_value();
}

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

static void LogSwitch(bool before, bool after, const char* on, const char* off)
{
    if (before != after)
    {
        Log(LogLevel_Info, Code_None, after ? on : off, {});
    }
}

void LoadLinkSet(LoadLink* link, bool shares, bool divides)
{
    Forwarder* requests = link->Requests;
    divides = shares && divides;
    LogSwitch(link->Shares, shares, "shared load on", "shared load off");
    LogSwitch(link->Divides, divides, "division on", "division off");
    link->Shares = shares;
    link->Divides = divides;
    DatagramChannel& channel = link->Datagrams->Channels[DatagramChannel_Load];
    channel.OnReceived = nullptr;
    requests->OnTargetBusy = nullptr;
    requests->OnSlotFree = nullptr;
    requests->Divides = link->Divides;
    for (auto& [name, service] : requests->Services)
    {
        if (!link->Divides)
        {
            service.Divided.Rooms.clear();
            service.Divided.Active = false;
        }
    }
    if (!shares)
    {
        EndAll(link);
        return;
    }
    channel.OnReceived = [link](const Datagram& datagram)
    {
        return OnReceived(link, datagram);
    };
    requests->OnTargetBusy = [link](ServiceState* service)
    {
        LoadLinkAsk(link, service, NowUs());
    };
    requests->OnSlotFree = [link](ServiceState* service, PoolTarget* target)
    {
        LoadLinkFreed(link, service, target, NowUs());
    };
}

} // namespace Winchlink
