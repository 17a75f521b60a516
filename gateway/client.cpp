// client.cpp: HTTP client for targets, the store and other instances, on libcurl inside the event loop.
//
// Some properties of libcurl need care. It sends a request again, even a POST, when a reused connection is closed without an answer: the
// pre-request callback aborts the second send. It takes a surplus answer on a reused connection for the answer to the next request:
// ClientRequest::AcceptsHeaders() checks the headers first. It reports success when a connection is closed in order before the headers are
// complete: EndOf() does not rely on its result alone.
//
// It also reuses a connection on which bytes wait to be read, or that was reset: the pre-request callback looks first, and the request is
// sent on another connection.
//
// libcurl hands over neither the framing of chunks, such as their extensions, nor a line before its end, however long these become. Their
// bytes are the ones that the socket has delivered beyond those of headers and body. They are counted in the progress callback: as long as
// bytes arrive faster than libcurl reads them, it does not return to the event loop.
//
// A reused easy handle keeps a reference to the last header of its previous answer, whose memory has been freed, and appends a header line
// that continues none to it. Each call therefore has a handle of its own.
//
// Index of this file:
// [SECTION] Calls
// [SECTION] Memory
// [SECTION] libcurl's callbacks
// [SECTION] Bytes that are neither headers nor body
// [SECTION] Dead connections
// [SECTION] Spoilt connections
// [SECTION] Ending a call
// [SECTION] The event loop
// [SECTION] Sending

#include "client.h"

#include "answer_lines.h"
#include "clock.h"
#include "log.h"
#include "socket.h"

#include <algorithm>
#include <cassert>
#include <unistd.h>

namespace Winchlink
{

static constexpr long MaxIdleConnections = 256;      // Over all addresses together.
static constexpr long MaxIdleReuseSeconds = 8;       // Less than the idle timeout of targets, which close connections after 10 s or more.
static constexpr int MaxSpoiltConnections = 3;       // Kept connections that a request may find spoilt before it gets a new one.
static constexpr int MaxHeadLines = 1000;            // Header and trailer lines of an answer; libcurl keeps each of them in memory.
static constexpr size_t LargeAnswerBytes = 16 * KiB; // Answers that hold more may be given up for lack of memory.
static constexpr size_t HeadCopies = 3;              // Of a head in memory: libcurl keeps two, one with its lines and one parsed.
static constexpr int FramingCheckSteps = 4;          // Progress callbacks between two counts of the framing, of 1.6 MB at most.
static constexpr int64_t MaxFramingBytes = 64 * KiB; // Framing of an answer, in bytes,
static constexpr int64_t MaxFramingPerByte = 16;     // plus so many for each byte of headers and body: a chunk may hold a single byte.

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;
using EasyHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;

struct ClientCall
{
    Client* Owner = nullptr;
    uint64_t Id = 0;
    ClientRequest Request;
    ClientDone Done;
    ClientAnswer Answer;
    HeaderList Headers{nullptr, curl_slist_free_all};
    EasyHandle Easy{nullptr, curl_easy_cleanup};
    TimeUs StartedUs = 0;
    Timer ListenTimer;                            // End of TimeoutUs, then of ListenUs, if the latter is set.
    TimeUs SilentSinceUs = 0;                     // Time of the mark in Client::DeadSince that this call has set; 0: none.
    TimeUs LinkOccupiedUs = 0;                    // OwnLinkOccupiedUs() at StartedUs.
    TimeUs ExtraUs = 0;                           // Time granted beyond ListenUs, as the link was occupied,
    TimeUs ExtendedAtUs = 0;                      // and when the first of it was granted; 0: none was.
    bool Sent = false;                            // The pre-request callback has let the request be sent.
    bool ClosedUnanswered = false;                // The connection was closed without an answer, and libcurl's resend was prevented.
    bool Withheld = false;                        // MaySend returned false.
    bool Spoilt = false;                          // Its kept connection was spoilt, so the request was not sent on it.
    int SpoiltConnections = 0;                    // How often this happened.
    bool Mismatched = false;                      // The answer belongs to another request.
    bool Unusable = false;                        // Mismatched, or its framing is invalid: the connection is closed.
    const char* TooLarge = nullptr;               // The part of the answer that exceeds its bound; null if none.
    StatusLine Start;                             // Of the latest response, interim or final.
    AnswerDefect_ LineDefect = AnswerDefect_None; // Of the line that ended the call.
    bool HeadOpen = false;                        // The status line of a response was received, and its headers are not complete.
    bool HeadRead = false;                        // All headers of the final answer were received.
    size_t HeadBytes = 0;                         // Bytes of headers and trailers so far, including those of interim answers.
    int HeadLines = 0;                            // Lines of HeadBytes.
    AnswerFraming Framing;                        // Set with HeadRead.
    size_t BodyBytes = 0;                         // Body bytes so far.
    size_t HeldBytes = 0;                         // Part of AnswerMemory::Bytes.
    curl_socket_t Socket = CURL_SOCKET_BAD;       // Of its connection.
    int Steps = 0;                                // Calls of the progress callback since it was sent.
    std::optional<int64_t> UncountedBytes;        // Bytes read from the socket before the first count, less CountedBefore; none before it.
    int64_t CountedBefore = 0;                    // Bytes of headers and body at the first count.
};

//-----------------------------------------------------------------------------
// [SECTION] Memory
//-----------------------------------------------------------------------------

static void Finish(Client* client, CURL* easy, CURLcode result);

static void ReleaseMemory(ClientCall* call)
{
    AnswerMemory* memory = call->Owner->Memory;
    memory->Bytes -= call->HeldBytes;
    call->HeldBytes = 0;
    memory->LargeCalls.erase(call);
}

// Whether the first call is to be given up before the second.
static bool GivesWayBefore(const ClientCall* a, const ClientCall* b)
{
    const bool a_ends = a->Framing.Ends == Framing_Length;
    const bool b_ends = b->Framing.Ends == Framing_Length;
    return a_ends != b_ends ? b_ends : a->HeldBytes > b->HeldBytes;
}

static void EndGivenUp(Client* client)
{
    client->GiveUp = nullptr;
    for (const uint64_t id : std::exchange(client->GivenUp, {}))
    {
        const auto found = client->Calls.find(id);
        if (found != client->Calls.end()) // Otherwise it has ended meanwhile.
        {
            Finish(client, found->second->Easy.get(), CURLE_WRITE_ERROR);
        }
    }
}

// Frees what the call holds and ends it soon: libcurl may be calling, which can't end another transfer then.
static void GiveUpForMemory(ClientCall* call)
{
    Client* client = call->Owner;
    call->TooLarge = "memory";
    std::string().swap(call->Answer.Body); // An assignment would keep its memory.
    ReleaseMemory(call);
    client->GivenUp.push_back(call->Id);
    client->GiveUp = TimerStart(client->Loop, 0, [client]() { EndGivenUp(client); });
}

// Counts what the call holds now. Beyond the bound on all answers, gives up others or the call itself: false in the latter case.
static bool UpdateMemory(ClientCall* call)
{
    AnswerMemory* memory = call->Owner->Memory;
    const size_t held = call->Answer.Body.capacity() + HeadCopies * call->HeadBytes;
    memory->Bytes += held - call->HeldBytes;
    call->HeldBytes = held;
    if (held > LargeAnswerBytes)
    {
        memory->LargeCalls.insert(call);
    }
    while (memory->Bytes > memory->MaxBytes && !memory->LargeCalls.empty())
    {
        GiveUpForMemory(*std::min_element(memory->LargeCalls.begin(), memory->LargeCalls.end(), GivesWayBefore));
    }
    return call->TooLarge == nullptr;
}

//-----------------------------------------------------------------------------
// [SECTION] libcurl's callbacks
//-----------------------------------------------------------------------------

// libcurl passes the socket of a connection only when it opens it, but its addresses before each request. They therefore identify the
// socket of a reused connection. The local address alone doesn't: connections to different servers may share it.
static void FindSocket(ClientCall* call, const char* local_ip, int local_port)
{
    const std::string address = std::string(local_ip) + ":" + std::to_string(local_port) + " " + call->Request.Address;
    std::map<std::string, curl_socket_t>& connections = call->Owner->Connections;
    if (call->Socket != CURL_SOCKET_BAD)
    {
        connections[address] = call->Socket;
        return;
    }
    const auto found = connections.find(address);
    call->Socket = found != connections.end() ? found->second : CURL_SOCKET_BAD;
}

static bool FindSpoiltConnection(ClientCall* call);

static int OnBeforeSend(void* user, char*, char* local_ip, int, int local_port)
{
    auto* call = static_cast<ClientCall*>(user);
    FindSocket(call, local_ip, local_port);
    if (call->Sent)
    {
        call->ClosedUnanswered = true;
        call->Owner->ResendsPrevented++;
        return CURL_PREREQFUNC_ABORT;
    }
    if (FindSpoiltConnection(call))
    {
        return CURL_PREREQFUNC_ABORT; // Closes the connection.
    }
    if (call->Request.MaySend && !call->Request.MaySend())
    {
        call->Withheld = true;
        return CURL_PREREQFUNC_ABORT;
    }
    call->Sent = true;
    return CURL_PREREQFUNC_OK;
}

// Called when all headers of a response have been received. Interim (1xx) responses are ignored.
static void OnHeadersComplete(ClientCall* call)
{
    constexpr int first_final = 200;
    const ClientRequest& request = call->Request;
    const std::vector<Header>& headers = call->Answer.Headers;
    const int status = call->Start.Status;
    call->HeadRead = status >= first_final;
    call->Framing = call->HeadRead ? FramingOf(request.Method, status, call->Start.Http10, headers) : AnswerFraming();
    call->Mismatched = call->HeadRead && request.AcceptsHeaders && !request.AcceptsHeaders(headers);
    call->Unusable = call->Mismatched || call->Framing.Ends == Framing_Invalid;
    if (call->Framing.Ends == Framing_Length && call->Framing.Length > request.MaxAnswerBytes)
    {
        call->TooLarge = "body";
        call->Unusable = true;
    }
    if (call->HeadRead && !call->Unusable && request.OnHeaders)
    {
        request.OnHeaders(status, headers);
    }
}

// Ends the call for a malformed line. Returns what tells libcurl to close the connection.
static size_t RefuseLine(ClientCall* call, AnswerDefect_ defect)
{
    call->LineDefect = defect;
    call->Unusable = true;
    return 0;
}

static size_t BeginHead(ClientCall* call, const std::string& line)
{
    const std::optional<StatusLine> start = ParseStatusLine(line);
    if (!start)
    {
        return RefuseLine(call, AnswerDefect_Status);
    }
    call->Start = *start;
    call->HeadOpen = true;
    call->Answer.Headers.clear(); // Discards the headers of an interim response.
    return line.size();
}

// Appends a line that continues the header before it (RFC 9112, 5.2). libcurl reads such a header without its continuation.
static size_t ContinueHeader(ClientCall* call, const std::string& line)
{
    std::vector<Header>& headers = call->Answer.Headers;
    const std::optional<std::string> text = ParseContinuation(line);
    if (headers.empty() || !text)
    {
        return RefuseLine(call, AnswerDefect_Header);
    }
    if (IsFramingHeader(headers.back().Name))
    {
        return RefuseLine(call, AnswerDefect_Framing);
    }
    headers.back().Value += " " + *text;
    return line.size();
}

static size_t AddHeader(ClientCall* call, const std::string& line)
{
    std::optional<Header> header = ParseFieldLine(line);
    if (!header)
    {
        return RefuseLine(call, AnswerDefect_Header);
    }
    const bool blank_before_colon = line.compare(header->Name.size(), 1, ":") != 0;
    if (blank_before_colon && IsFramingHeader(header->Name))
    {
        return RefuseLine(call, AnswerDefect_Framing); // Readers differ in whether this is the header.
    }
    call->Answer.Headers.push_back(std::move(*header));
    return line.size();
}

static size_t OnHeader(char* data, size_t size, size_t count, void* user)
{
    auto* call = static_cast<ClientCall*>(user);
    const std::string line(data, size * count);
    call->HeadBytes += line.size();
    call->HeadLines++;
    if (call->TooLarge != nullptr || !UpdateMemory(call))
    {
        return 0;
    }
    if (call->HeadBytes > call->Request.MaxHeadBytes || call->HeadLines > MaxHeadLines)
    {
        call->TooLarge = "headers";
        return 0;
    }
    if (!call->HeadOpen && !call->HeadRead)
    {
        return BeginHead(call, line);
    }
    if (line == "\r\n" || line == "\n")
    {
        call->HeadOpen = false;
        if (!call->HeadRead)
        {
            OnHeadersComplete(call);
        }
        return call->Unusable ? 0 : line.size();
    }
    if (call->HeadRead)
    {
        return ParseFieldLine(line) ? line.size() : RefuseLine(call, AnswerDefect_Trailer); // Trailers are dropped.
    }
    return IsContinuation(line) ? ContinueHeader(call, line) : AddHeader(call, line);
}

static size_t OnBody(char* data, size_t size, size_t count, void* user)
{
    auto* call = static_cast<ClientCall*>(user);
    const size_t length = size * count;
    if (call->Owner->Link != nullptr)
    {
        OwnLinkReceived(call->Owner->Link, length);
    }
    call->BodyBytes += length;
    if (call->BodyBytes > call->Request.MaxAnswerBytes)
    {
        call->TooLarge = "body";
    }
    if (call->TooLarge != nullptr)
    {
        return 0;
    }
    call->Answer.Body.append(data, length);
    return UpdateMemory(call) ? length : 0;
}

static int OnConnectionOpened(void* user, curl_socket_t socket, curlsocktype)
{
    auto* call = static_cast<ClientCall*>(user);
    call->Socket = socket;
    call->Owner->ConnectionsOpened++;
    call->Answer.NewConnection = true;
    return CURL_SOCKOPT_OK;
}

static int OnConnectionClosed(void* user, curl_socket_t socket)
{
    std::map<std::string, curl_socket_t>& connections = static_cast<Client*>(user)->Connections;
    for (auto entry = connections.begin(); entry != connections.end();)
    {
        entry = entry->second == socket ? connections.erase(entry) : std::next(entry);
    }
    return close(socket);
}

//-----------------------------------------------------------------------------
// [SECTION] Bytes that are neither headers nor body
//-----------------------------------------------------------------------------

// Whether the answer has too many bytes that are neither headers nor body. Most answers end before the first count, so it costs them
// nothing. The first count excludes the bytes of earlier answers on a reused connection.
static bool HasTooMuchFraming(ClientCall* call)
{
    call->Steps++;
    if (call->Steps % FramingCheckSteps != 0)
    {
        return false;
    }
    const std::optional<int64_t> read = SocketBytesRead(call->Socket);
    if (!read)
    {
        return false;
    }
    const auto counted = static_cast<int64_t>(call->HeadBytes + call->BodyBytes);
    if (!call->UncountedBytes)
    {
        call->UncountedBytes = *read - counted;
        call->CountedBefore = counted;
        return false;
    }
    const int64_t framing = *read - counted - *call->UncountedBytes;
    return framing > MaxFramingBytes + MaxFramingPerByte * (counted - call->CountedBefore);
}

// libcurl's progress callback. Ends the call if it was given up, or if its answer consists of framing.
static int OnStep(void* user, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    auto* call = static_cast<ClientCall*>(user);
    if (call->TooLarge == nullptr && call->Sent && HasTooMuchFraming(call))
    {
        call->TooLarge = "framing";
    }
    return call->TooLarge != nullptr ? 1 : 0;
}

//-----------------------------------------------------------------------------
// [SECTION] Dead connections
//-----------------------------------------------------------------------------

// Marks a reused connection on which a request has timed out without any response. The server may just be slow; but if the connection is
// dead, others to the same address may be dead too, and each request sent on one of them would be lost.
static void MarkSilentConnection(ClientCall* call)
{
    if (call->Sent && !call->Answer.NewConnection && !call->HeadRead)
    {
        call->SilentSinceUs = NowUs();
        call->Owner->DeadSince[call->Request.Address] = call->SilentSinceUs;
    }
}

// Removes the mark: the answer was just late.
static void UnmarkSilentConnection(ClientCall* call)
{
    std::map<std::string, TimeUs>& dead = call->Owner->DeadSince;
    const auto found = dead.find(call->Request.Address);
    if (call->SilentSinceUs > 0 && found != dead.end() && found->second == call->SilentSinceUs)
    {
        dead.erase(found);
    }
}

static void NoteSilentConnection(ClientCall* call)
{
    if (call->HeadRead)
    {
        UnmarkSilentConnection(call);
        return;
    }
    if (call->Answer.End != ClientEnd_TimedOut || call->Answer.NewConnection)
    {
        return;
    }
    MarkSilentConnection(call);
    call->Owner->DeadConnectionsSeen++;
    Log(LogLevel_Info, Code_None, "kept connection silent", {{"address", call->Request.Address}, {"tookUs", call->Answer.TookUs}});
}

// Prevents reuse of connections that were opened before the latest such timeout. libcurl compares connection ages in whole seconds, so one
// second is subtracted, and during the first two seconds a new connection is forced.
static void AvoidSilent(Client* client, const ClientRequest& request, CURL* easy)
{
    const auto found = client->DeadSince.find(request.Address);
    if (found == client->DeadSince.end())
    {
        return;
    }
    const auto seconds = static_cast<long>((NowUs() - found->second) / UsPerSecond);
    if (seconds > MaxIdleReuseSeconds)
    {
        client->DeadSince.erase(found); // Connections that were open then are too old for reuse by now.
        return;
    }
    if (seconds < 2)
    {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        return;
    }
    curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN, seconds - 1);
}

//-----------------------------------------------------------------------------
// [SECTION] Spoilt connections
//-----------------------------------------------------------------------------

static const char* InputName(SocketInput_ input)
{
    return input == SocketInput_Bytes ? "bytes" : input == SocketInput_End ? "end" : "error";
}

// Whether something arrived on the kept connection while no request was in progress: bytes, such as a second answer to an earlier request,
// which would be taken for the answer to this one, or the connection's end.
static bool FindSpoiltConnection(ClientCall* call)
{
    if (call->Answer.NewConnection || call->Socket == CURL_SOCKET_BAD)
    {
        return false;
    }
    const SocketInput_ input = SocketPeek(call->Socket);
    if (input == SocketInput_None)
    {
        return false;
    }
    call->Spoilt = true;
    call->SpoiltConnections++;
    call->Owner->SpoiltConnections++;
    Log(LogLevel_Info, Code_None, "kept connection spoilt", {{"address", call->Request.Address}, {"found", InputName(input)}});
    return true;
}

static void ConfigureHandle(ClientCall* call);

// Sends the request on another connection within the same timeouts. Each spoilt connection is closed, and the last try opens a new one.
static void SendElsewhere(ClientCall* call)
{
    call->Spoilt = false;
    call->Socket = CURL_SOCKET_BAD;
    curl_multi_remove_handle(call->Owner->Multi, call->Easy.get());
    ConfigureHandle(call);
    curl_multi_add_handle(call->Owner->Multi, call->Easy.get());
}

//-----------------------------------------------------------------------------
// [SECTION] Ending a call
//-----------------------------------------------------------------------------

// Bytes came that are no HTTP, or of a version that is not supported.
static bool IsForeign(CURLcode result)
{
    return result == CURLE_WEIRD_SERVER_REPLY || result == CURLE_UNSUPPORTED_PROTOCOL;
}

// libcurl itself has refused a line of the head or of the trailers.
static bool IsLineRefused(CURLcode result)
{
    return IsForeign(result) || result == CURLE_BAD_FUNCTION_ARGUMENT;
}

// What is wrong with the bytes of the answer; AnswerDefect_None also if none have come.
static AnswerDefect_ DefectOf(const ClientCall& call, CURLcode result)
{
    if (call.TooLarge != nullptr)
    {
        return AnswerDefect_TooLarge;
    }
    if (call.Mismatched)
    {
        return AnswerDefect_OtherRequest;
    }
    if (call.LineDefect != AnswerDefect_None)
    {
        return call.LineDefect;
    }
    if (call.HeadBytes == 0)
    {
        return IsForeign(result) ? AnswerDefect_NotHttp : AnswerDefect_None;
    }
    if (IsLineRefused(result))
    {
        return call.HeadRead ? AnswerDefect_Trailer : call.HeadOpen ? AnswerDefect_Header : AnswerDefect_Status;
    }
    return FramingDefect(call.Framing, call.BodyBytes, result == CURLE_OK);
}

static ClientEnd_ EndOf(const ClientCall& call, CURLcode result, AnswerDefect_ defect)
{
    if (call.Withheld)
    {
        return ClientEnd_Withheld;
    }
    if (!call.Sent)
    {
        return ClientEnd_NotConnected;
    }
    if (call.TooLarge != nullptr)
    {
        return ClientEnd_Broken;
    }
    if (result == CURLE_OPERATION_TIMEDOUT)
    {
        return ClientEnd_TimedOut;
    }
    if (result == CURLE_OK && call.HeadRead && defect == AnswerDefect_None)
    {
        return ClientEnd_Answered;
    }
    return call.HeadBytes > 0 || IsForeign(result) ? ClientEnd_Broken : ClientEnd_Lost;
}

static void FillAnswer(ClientCall* call, CURLcode result)
{
    ClientAnswer& answer = call->Answer;
    answer.Defect = DefectOf(*call, result);
    answer.End = EndOf(*call, result, answer.Defect);
    answer.Framing = call->Framing;
    answer.HeadBytes = call->HeadBytes;
    answer.BodyBytes = call->BodyBytes;
    answer.TooLarge = answer.End == ClientEnd_Broken && call->TooLarge != nullptr;
    answer.TimedOut = result == CURLE_OPERATION_TIMEDOUT;
    answer.TookUs = NowUs() - call->StartedUs;
    if (answer.End == ClientEnd_Answered)
    {
        answer.Status = call->Start.Status;
        return;
    }
    answer.Detail = call->ClosedUnanswered                 ? "connection closed without an answer"
                    : call->Mismatched                     ? "answer of another request"
                    : call->TooLarge                       ? std::string("answer too large: ") + call->TooLarge
                    : result == CURLE_OK || call->Unusable ? std::string("answer defective: ") + AnswerDefectName(answer.Defect)
                                                           : curl_easy_strerror(result);
    answer.Headers.clear();
    answer.Body.clear();
}

// Removes the call from the client and its handle from libcurl; null if there is no such call.
static std::unique_ptr<ClientCall> RemoveCall(Client* client, uint64_t id)
{
    const auto found = client->Calls.find(id);
    if (found == client->Calls.end())
    {
        return nullptr;
    }
    std::unique_ptr<ClientCall> call = std::move(found->second);
    client->Calls.erase(found);
    ReleaseMemory(call.get());
    client->ExtendedUs += call->ExtendedAtUs > 0 ? NowUs() - call->ExtendedAtUs : 0;
    curl_multi_remove_handle(client->Multi, call->Easy.get());
    return call;
}

static void NoteTooLarge(const ClientCall& call)
{
    if (call.TooLarge != nullptr)
    {
        call.Owner->AnswersTooLarge++;
        Log(LogLevel_Warn, Code_None, "answer too large",
            {{"address", call.Request.Address},
             {"part", call.TooLarge},
             {"headBytes", static_cast<uint64_t>(call.HeadBytes)},
             {"bodyBytes", static_cast<uint64_t>(call.BodyBytes)},
             {"tookUs", call.Answer.TookUs}});
    }
}

// How the connection ended, as far as libcurl tells: a reset is CURLE_RECV_ERROR.
static void NoteDefect(const ClientCall& call, CURLcode result)
{
    const ClientAnswer& answer = call.Answer;
    if (answer.Defect == AnswerDefect_None)
    {
        return;
    }
    call.Owner->Defective.at(answer.Defect)++;
    Log(LogLevel_Info, Code_None, "answer defective",
        {{"address", call.Request.Address},
         {"defect", AnswerDefectName(answer.Defect)},
         {"ended", curl_easy_strerror(result)},
         {"framing", FramingName(answer.Framing.Ends)},
         {"statedBytes", answer.Framing.Length},
         {"headBytes", static_cast<uint64_t>(answer.HeadBytes)},
         {"bodyBytes", static_cast<uint64_t>(answer.BodyBytes)},
         {"newConnection", answer.NewConnection ? 1 : 0},
         {"tookUs", answer.TookUs}});
}

static void Finish(Client* client, CURL* easy, CURLcode result)
{
    void* user = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &user);
    if (result == CURLE_ABORTED_BY_CALLBACK && static_cast<ClientCall*>(user)->Spoilt)
    {
        SendElsewhere(static_cast<ClientCall*>(user));
        return;
    }
    const uint64_t id = static_cast<ClientCall*>(user)->Id;
    FillAnswer(static_cast<ClientCall*>(user), result);
    NoteSilentConnection(static_cast<ClientCall*>(user));
    NoteTooLarge(*static_cast<ClientCall*>(user));
    NoteDefect(*static_cast<ClientCall*>(user), result);
    const std::unique_ptr<ClientCall> call = RemoveCall(client, id);
    call->Done(std::move(call->Answer));
}

// Ends the call unless an answer comes within this time, and within the time for which the link was occupied meanwhile.
static void ListenFor(ClientCall* call, TimeUs time)
{
    const auto give_up = [call]()
    {
        Client* client = call->Owner;
        const TimeUs more = client->Link != nullptr ? OwnLinkMoreUs(*client->Link, call->LinkOccupiedUs, call->ExtraUs, NowUs()) : 0;
        if (more == 0)
        {
            Finish(client, call->Easy.get(), CURLE_OPERATION_TIMEDOUT);
            return;
        }
        call->ExtraUs += more;
        call->ExtendedAtUs = call->ExtendedAtUs > 0 ? call->ExtendedAtUs : NowUs();
        ListenFor(call, more);
    };
    call->ListenTimer = TimerStart(call->Owner->Loop, time, give_up);
}

// Ends the call unless an answer comes within ListenUs. The time begins only now, so that an answer that has arrived while the loop was
// busy is read first.
static void ListenOn(ClientCall* call)
{
    ListenFor(call, call->Request.ListenUs);
    MarkSilentConnection(call);
    if (const std::function<void()> on_late = call->Request.OnLate)
    {
        on_late(); // May cancel the call.
    }
}

static void FinishAll(Client* client)
{
    int left = 0;
    for (CURLMsg* message = curl_multi_info_read(client->Multi, &left); message != nullptr;
         message = curl_multi_info_read(client->Multi, &left))
    {
        if (message->msg == CURLMSG_DONE)
        {
            Finish(client, message->easy_handle, message->data.result); // The callback may send or cancel other requests.
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] The event loop
//-----------------------------------------------------------------------------

static void OnReady(Client* client, curl_socket_t socket, int events)
{
    const int flags =
        ((events & (UV_READABLE | UV_DISCONNECT)) != 0 ? CURL_CSELECT_IN : 0) | ((events & UV_WRITABLE) != 0 ? CURL_CSELECT_OUT : 0);
    int running = 0;
    curl_multi_socket_action(client->Multi, socket, flags, &running);
    FinishAll(client);
}

static int EventsOf(int what)
{
    return ((what & CURL_POLL_IN) != 0 ? UV_READABLE : 0) | ((what & CURL_POLL_OUT) != 0 ? UV_WRITABLE : 0);
}

static int OnSocket(CURL*, curl_socket_t socket, int what, void* user, void*)
{
    auto* client = static_cast<Client*>(user);
    if (what == CURL_POLL_REMOVE)
    {
        client->Sockets.erase(socket);
        return 0;
    }
    Watch& watched = client->Sockets[socket];
    if (watched)
    {
        WatchChange(watched.get(), EventsOf(what));
        return 0;
    }
    watched = WatchStart(client->Loop, socket, EventsOf(what), [client, socket](int events) { OnReady(client, socket, events); });
    return 0;
}

static void OnTimeout(Client* client)
{
    int running = 0;
    curl_multi_socket_action(client->Multi, CURL_SOCKET_TIMEOUT, 0, &running);
    FinishAll(client);
}

static int OnTimerWanted(CURLM*, long timeout_ms, void* user)
{
    auto* client = static_cast<Client*>(user);
    client->Timeout = nullptr;
    if (timeout_ms >= 0)
    {
        client->Timeout = TimerStart(client->Loop, timeout_ms * UsPerMs, [client]() { OnTimeout(client); });
    }
    return 0;
}

Client::Client() = default;

Client::~Client()
{
    if (Multi == nullptr)
    {
        return;
    }
    for (const auto& entry : Calls)
    {
        ReleaseMemory(entry.second.get());
        curl_multi_remove_handle(Multi, entry.second->Easy.get());
    }
    Calls.clear();             // Frees their handles.
    curl_multi_cleanup(Multi); // Calls OnSocket(), which ends the watches.
}

void ClientStart(Client* client, EventLoop* loop)
{
    assert(client->Multi == nullptr && "the client was started already");
    client->Loop = loop;
    client->Memory = client->Memory != nullptr ? client->Memory : &client->OwnMemory;
    client->Multi = curl_multi_init();
    curl_multi_setopt(client->Multi, CURLMOPT_SOCKETFUNCTION, OnSocket);
    curl_multi_setopt(client->Multi, CURLMOPT_SOCKETDATA, client);
    curl_multi_setopt(client->Multi, CURLMOPT_TIMERFUNCTION, OnTimerWanted);
    curl_multi_setopt(client->Multi, CURLMOPT_TIMERDATA, client);
    curl_multi_setopt(client->Multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
}

//-----------------------------------------------------------------------------
// [SECTION] Sending
//-----------------------------------------------------------------------------

static HeaderList MakeHeaders(const std::vector<Header>& headers)
{
    curl_slist* list = nullptr;
    for (const Header& header : headers)
    {
        // libcurl drops "Name:" and sends "Name;" as a header without a value.
        const std::string line = header.Value.empty() ? header.Name + ";" : header.Name + ": " + header.Value;
        list = curl_slist_append(list, line.c_str());
    }
    for (const char* unwanted : {"Expect:", "Accept:", "Content-Type:"})
    {
        const std::string name(unwanted, std::string(unwanted).size() - 1);
        if (FindHeader(headers, name) == nullptr)
        {
            list = curl_slist_append(list, unwanted); // Prevents libcurl from adding its default headers.
        }
    }
    return HeaderList(list, curl_slist_free_all);
}

static void SetBody(CURL* easy, const ClientRequest& request)
{
    if (request.HasBody)
    {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.Body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.Body.data());
    }
    else if (request.Method == "HEAD")
    {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.Method.c_str());
}

static long MsOf(TimeUs time)
{
    return static_cast<long>(std::max<TimeUs>((time + UsPerMs - 1) / UsPerMs, 1));
}

static void ConfigureHandle(ClientCall* call)
{
    CURL* easy = call->Easy.get();
    const ClientRequest& request = call->Request;
    const std::string url = "http://" + request.Address + "/";
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, call->Request.Target.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_HTTP09_ALLOWED, 0L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 0L);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, MaxIdleReuseSeconds);
    const bool new_connection = request.NewConnection || call->SpoiltConnections >= MaxSpoiltConnections;
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, new_connection ? 1L : 0L);
    const TimeUs left = request.TimeoutUs - (NowUs() - call->StartedUs);
    const long timeout_ms = request.ListenUs > 0 ? 0 : MsOf(left); // 0: ListenTimer ends the call.
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, request.ConnectUs > 0 ? MsOf(request.ConnectUs) : timeout_ms);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->Headers.get());
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, OnBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, OnConnectionOpened);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, call);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, OnConnectionClosed);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, call->Owner);
    curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, OnStep);
    curl_easy_setopt(easy, CURLOPT_XFERINFODATA, call);
    curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L); // Enables OnStep().
    curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
    if (!call->Owner->SourceIp.empty())
    {
        curl_easy_setopt(easy, CURLOPT_INTERFACE, ("host!" + call->Owner->SourceIp).c_str());
    }
    SetBody(easy, request);
    AvoidSilent(call->Owner, request, easy);
}

uint64_t ClientSend(Client* client, ClientRequest request, ClientDone done)
{
    auto call = std::make_unique<ClientCall>();
    const uint64_t id = ++client->LastId;
    call->Owner = client;
    call->Id = id;
    call->Request = std::move(request);
    call->Done = std::move(done);
    call->StartedUs = NowUs();
    call->LinkOccupiedUs = client->Link != nullptr ? OwnLinkOccupiedUs(*client->Link, call->StartedUs) : 0;
    call->Easy.reset(curl_easy_init());
    call->Headers = MakeHeaders(call->Request.Headers);
    ConfigureHandle(call.get());
    CURL* easy = call->Easy.get();
    if (call->Request.ListenUs > 0)
    {
        call->ListenTimer = TimerStart(client->Loop, call->Request.TimeoutUs, [late = call.get()]() { ListenOn(late); });
    }
    client->Calls[id] = std::move(call);
    curl_multi_add_handle(client->Multi, easy); // Only requests a timeout of 0: all callbacks run from the event loop.
    return id;
}

ClientAnswer ClientSendAndWait(Client* client, ClientRequest request)
{
    const TimeUs limit = request.TimeoutUs + request.ListenUs + UsPerSecond; // The request's own timeout fires first.
    std::optional<ClientAnswer> got;
    const uint64_t id = ClientSend(client, std::move(request), [&got](ClientAnswer answer) { got = std::move(answer); });
    if (!LoopRunUntil(client->Loop, limit, [&got]() { return got.has_value(); }))
    {
        ClientCancel(client, id); // The event loop was blocked for long.
        got.emplace();
        got->End = ClientEnd_TimedOut;
        got->Detail = "no answer";
    }
    return std::move(*got);
}

void ClientCancel(Client* client, uint64_t id)
{
    RemoveCall(client, id);
}

} // namespace Winchlink
