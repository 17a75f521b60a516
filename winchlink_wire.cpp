// winchlink_wire.cpp: messages between instances: codec and authentication.
//
// A message is a version byte, a type byte, the cereal encoding of head and body, and a mark: the first 16 bytes of
// HMAC-SHA-512-256 over all before it. The mark is checked before anything is decoded, so that only holders of the key reach the
// decoder; the decoder is bounded all the same, because a key can leak.
//
// Index of this file:
// [SECTION] Endpoints
// [SECTION] Codec of bodies
// [SECTION] Marks
// [SECTION] Encode and decode

#include "winchlink_internal.h"

#include <arpa/inet.h>
#include <cassert>
#include <cstring>
#include <sodium.h>
#include <sstream>

namespace Winchlink
{

static constexpr size_t PrefixSize = 2; // Version and type.

//-----------------------------------------------------------------------------
// [SECTION] Endpoints
//-----------------------------------------------------------------------------

bool operator==(const Endpoint& a, const Endpoint& b)
{
    return a.Ip == b.Ip && a.Port == b.Port;
}

Result<Endpoint> ParseEndpoint(const std::string& address)
{
    const Error error{Code_TableBadAddress, "expected IP:port, found \"" + address + "\""};
    const size_t colon = address.find(':');
    if (colon == std::string::npos || address.size() - colon < 2 || address.size() - colon > 6)
    {
        return error;
    }
    in_addr ip = {};
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &ip) != 1)
    {
        return error;
    }
    int port = 0;
    for (size_t n = colon + 1; n < address.size(); n++)
    {
        if (address[n] < '0' || address[n] > '9')
        {
            return error;
        }
        port = port * 10 + (address[n] - '0');
    }
    if (port < 1 || port > 65535)
    {
        return error;
    }
    return Endpoint{ntohl(ip.s_addr), static_cast<uint16_t>(port)};
}

std::string FormatEndpoint(const Endpoint& endpoint)
{
    in_addr ip = {};
    ip.s_addr = htonl(endpoint.Ip);
    std::array<char, INET_ADDRSTRLEN> text = {};
    inet_ntop(AF_INET, &ip, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(endpoint.Port);
}

InstanceId IdOfEndpoint(const Endpoint& endpoint)
{
    return HashText(FormatEndpoint(endpoint));
}

//-----------------------------------------------------------------------------
// [SECTION] Codec of bodies
//-----------------------------------------------------------------------------

namespace
{

template <class Archive> void CodeVersion(Archive& archive, TableVersion& version)
{
    archive(version.Revision, version.TableDigest);
}

template <class Archive> void CodeEndpoint(Archive& archive, Endpoint& endpoint)
{
    archive(endpoint.Ip, endpoint.Port);
}

template <class Archive> void CodeHead(Archive& archive, MessageHead& head)
{
    CodeEndpoint(archive, head.Address);
    archive(head.Incarnation, head.Sequence);
}

template <class Archive> void CodeSample(Archive& archive, PeerSample& sample)
{
    CodeEndpoint(archive, sample.Address);
    archive(sample.Incarnation, sample.AgeMs, sample.DataCentre, sample.Number);
}

template <class Archive> void CodeClaim(Archive& archive, ReaderClaim& claim)
{
    archive(claim.Id, claim.DataCentre, claim.AgeMs);
}

template <class Archive> void CodeRun(Archive& archive, TargetRun& run)
{
    archive(run.Key, run.StartId, run.Leaving, run.Busy, run.AgeMs);
}

template <class Archive> void CodeHeartbeat(Archive& archive, Heartbeat& beat)
{
    CodeEnum(archive, beat.State, InstanceState_COUNT);
    archive(beat.DataCentre, beat.Number);
    CodeVersion(archive, beat.Table);
    archive(beat.RunsDigest, beat.WantsReply);
    CodeList(archive, beat.Samples, SamplesMax, [&](PeerSample& sample) { CodeSample(archive, sample); });
    CodeList(archive, beat.Claims, ClaimsMax, [&](ReaderClaim& claim) { CodeClaim(archive, claim); });
    CodeList(archive, beat.Runs, RunsMax, [&](TargetRun& run) { CodeRun(archive, run); });
}

template <class Archive> void CodeRequest(Archive& archive, TableRequest& request)
{
    CodeVersion(archive, request.Have);
    archive(request.WantsRuns);
}

template <class Archive> void CodeReply(Archive& archive, TableReply& reply)
{
    CodeVersion(archive, reply.Delta.From);
    CodeVersion(archive, reply.Delta.To);
    CodeList(archive, reply.Delta.Rows, TableRowsMax, [&](ServiceRow& row) { CodeRow(archive, row); });
    CodeList(archive, reply.Delta.Removed, TableRowsMax,
             [&](RemovedRow& removed)
             {
                 CodeText(archive, removed.Name, TextMax);
                 archive(removed.Revision);
             });
    CodeList(archive, reply.Runs, LeavingMax, [&](TargetRun& run) { CodeRun(archive, run); });
}

template <class Archive> void CodeAsk(Archive& archive, PermitRequest& ask)
{
    archive(ask.Row, ask.AskId, ask.Want);
}

template <class Archive> void CodeLease(Archive& archive, PermitReply& lease)
{
    archive(lease.Row, lease.AskId, lease.Count, lease.Idle, lease.TermMs);
}

template <class Archive> void CodeReturn(Archive& archive, PermitReturn& returned)
{
    archive(returned.Row, returned.AskId);
}

template <class Archive> void CodeBody(Archive& archive, Message& message)
{
    CodeHead(archive, message.Head);
    switch (message.Type)
    {
    case MessageType_Heartbeat:
        CodeHeartbeat(archive, message.Beat);
        break;
    case MessageType_TableRequest:
        CodeRequest(archive, message.Request);
        break;
    case MessageType_TableReply:
        CodeReply(archive, message.Reply);
        break;
    case MessageType_PermitRequest:
        CodeAsk(archive, message.Ask);
        break;
    case MessageType_PermitReply:
        CodeLease(archive, message.Lease);
        break;
    case MessageType_PermitReturn:
        CodeReturn(archive, message.Return);
        break;
    default:
        assert(false && "a message without a type can't be encoded");
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Marks
//-----------------------------------------------------------------------------

std::string MarkOf(const std::string& bytes, size_t size, const std::array<uint8_t, KeySize>& key)
{
    static_assert(KeySize == crypto_auth_hmacsha512256_KEYBYTES);
    std::array<unsigned char, crypto_auth_hmacsha512256_BYTES> mark = {};
    crypto_auth_hmacsha512256(mark.data(), reinterpret_cast<const unsigned char*>(bytes.data()), size, key.data());
    return std::string(reinterpret_cast<const char*>(mark.data()), MarkSize);
}

bool MarkFits(const std::string& bytes, const std::array<uint8_t, KeySize>& key)
{
    const size_t size = bytes.size() - MarkSize;
    const std::string expected = MarkOf(bytes, size, key);
    return sodium_memcmp(expected.data(), bytes.data() + size, MarkSize) == 0;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Encode and decode
//-----------------------------------------------------------------------------

std::string EncodeMessage(const Message& message, const MessageKeys& keys)
{
    std::ostringstream stream;
    stream.put(static_cast<char>(ProtocolVersion));
    stream.put(static_cast<char>(message.Type));
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        CodeBody(archive, const_cast<Message&>(message)); // Saving reads only; the codec is shared with loading.
    }
    std::string bytes = stream.str();
    bytes += MarkOf(bytes, bytes.size(), keys.Current);
    return bytes;
}

Result<Message> DecodeMessage(const std::string& bytes, const MessageKeys& keys)
{
    if (bytes.size() < PrefixSize + MarkSize)
    {
        return Error{Code_MessageTooShort, std::to_string(bytes.size()) + " bytes"};
    }
    const bool marked = MarkFits(bytes, keys.Current) || (keys.Previous && MarkFits(bytes, *keys.Previous));
    if (!marked)
    {
        return Error{Code_MessageBadMark, ""};
    }
    return DecodeUnmarked(bytes.substr(0, bytes.size() - MarkSize));
}

Result<Message> DecodeUnmarked(const std::string& bytes)
{
    if (bytes.size() < PrefixSize)
    {
        return Error{Code_MessageTooShort, std::to_string(bytes.size()) + " bytes"};
    }
    if (static_cast<uint8_t>(bytes[0]) != ProtocolVersion)
    {
        return Error{Code_MessageBadVersion, "version " + std::to_string(static_cast<uint8_t>(bytes[0]))};
    }
    Message message;
    const uint8_t type = static_cast<uint8_t>(bytes[1]);
    if (type == MessageType_None || type >= MessageType_COUNT)
    {
        return Error{Code_MessageBadType, "type " + std::to_string(type)};
    }
    message.Type = static_cast<MessageType_>(type);
    std::istringstream stream(bytes.substr(PrefixSize));
    try
    {
        cereal::PortableBinaryInputArchive archive(stream);
        CodeBody(archive, message);
    }
    catch (const std::exception& e) // cereal reports short input by exceptions; they end here.
    {
        return Error{Code_MessageMalformed, e.what()};
    }
    if (stream.peek() != std::istringstream::traits_type::eof())
    {
        return Error{Code_MessageMalformed, "bytes after the end"};
    }
    message.Head.Sender = IdOfEndpoint(message.Head.Address);
    return message;
}

} // namespace Winchlink
