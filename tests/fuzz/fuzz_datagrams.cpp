// fuzz_datagrams.cpp: libFuzzer target for the datagrams between instances. The input is taken as datagrams with their lengths, with and
// without a correct frame. What is passed on must be plausible, and what is kept of senders bounded.

#include "load_link.h"

namespace
{

using Winchlink::DatagramLink;
using Winchlink::UsPerMs;

constexpr int Port = 7000;
constexpr Winchlink::TimeUs Start = 1000 * Winchlink::UsPerSecond;

void Require(bool holds)
{
    if (!holds)
    {
        __builtin_trap();
    }
}

// What was decoded must be within its ranges, and come out the same when it is sent on.
bool CheckLoad(const std::string& body)
{
    const Winchlink::Result<Winchlink::LoadMessage> message = Winchlink::DecodeLoad(body);
    if (!message)
    {
        return false;
    }
    const Winchlink::LoadMessage& load = message.value();
    Require(load.Kind > Winchlink::LoadMessage_None && load.Kind < Winchlink::LoadMessage_COUNT);
    Require(load.Reports.size() <= Winchlink::LoadReportsMax);
    Require(load.Room.Free <= load.Room.Known);
    for (const Winchlink::SharedReport& report : load.Reports)
    {
        Require(report.Load.Slots > 0 && report.Load.Running <= report.Load.Slots && report.Load.Waiting >= 0 && report.AgeUs >= 0);
    }
    const Winchlink::Result<Winchlink::LoadMessage> again = Winchlink::DecodeLoad(Winchlink::EncodeLoad(load));
    Require(again && Winchlink::EncodeLoad(again.value()) == Winchlink::EncodeLoad(load));
    return true;
}

void TakeAll(const std::string& bytes)
{
    DatagramLink link;
    link.Port = Port;
    link.Config.SendersMax = 4;
    link.Channels[Winchlink::DatagramChannel_Load].OnReceived = [](const Winchlink::Datagram& datagram)
    {
        Require(datagram.DelayUs >= 0 && datagram.DelayUs <= 100 * UsPerMs);
        return CheckLoad(datagram.Body);
    };
    link.Channels[Winchlink::DatagramChannel_Quotas].OnReceived = [](const Winchlink::Datagram&)
    {
        return true;
    };
    Winchlink::TimeUs now = Start;
    for (size_t at = 0; at + 2 < bytes.size();)
    {
        const auto length = static_cast<uint8_t>(bytes[at]);
        const auto sender = static_cast<uint8_t>(bytes[at + 1]);
        const std::string part = bytes.substr(at + 2, length);
        now += sender * UsPerMs;
        DatagramTake(&link, {1U + sender % 8U, Port}, part, sender % 3 == 0 ? sender * UsPerMs : 0, now);
        Require(link.Senders.size() <= link.Config.SendersMax);
        at += 2 + length;
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    CheckLoad(bytes);
    TakeAll(bytes);
    DatagramLink sender;
    const std::string framed =
        DatagramPack(&sender, Winchlink::DatagramChannel_Load, Winchlink::DatagramKind_Load, bytes, Start).value_or("");
    DatagramLink link;
    link.Port = Port;
    link.Channels[Winchlink::DatagramChannel_Load].OnReceived = [&bytes](const Winchlink::Datagram& datagram)
    {
        Require(datagram.Body == bytes);
        return CheckLoad(datagram.Body);
    };
    DatagramTake(&link, {1, Port}, framed, 0, Start);
    return 0;
}
