// client.h: HTTP client for targets, the store and other instances, on libcurl inside the event loop.
//
// How to use it: ClientStart() once, then ClientSend() for each request; its callback is called exactly once, unless ClientCancel() comes
// first. Every byte of an answer counts against a bound: of its body, of its headers and trailers, and of what is neither. A request is
// sent at most once: libcurl's automatic resend on a dead connection is prevented. A kept-alive connection can be dead without having been
// reset; once a request has timed out on one, older connections to that address are not reused. Nor is one on which anything arrived while
// no request was in progress: the request is sent on another one. What arrives later is told from an answer by AcceptsHeaders only.

#pragma once

#include "answer_framing.h"
#include "headers.h"
#include "loop.h"

#include <array>
#include <curl/curl.h>
#include <set>

namespace Winchlink
{

struct ClientRequest
{
    std::string Address;              // IP:port.
    std::string Method = "GET";       // HTTP method, sent as it is.
    std::string Target;               // Path and query, sent as they are.
    std::vector<Header> Headers;      // Sent as they are.
    std::string Body;                 // Sent with Content-Length.
    bool HasBody = false;             // Send Body even if it is empty.
    TimeUs TimeoutUs = UsPerSecond;   // From ClientSend() to the last byte of the answer.
    TimeUs ConnectUs = 0;             // For the connection to be established; 0: TimeoutUs applies.
    TimeUs ListenUs = 0;              // After TimeoutUs, reported by OnLate, an answer is awaited for this long, see also Client::Link.
    size_t MaxAnswerBytes = 16 * MiB; // Largest answer body in bytes.
    size_t MaxHeadBytes = 64 * KiB;   // Largest sum of its headers and trailers, and the headers of interim answers, in bytes.
    bool NewConnection = false;       // Don't reuse a connection.
    std::function<bool()> MaySend;    // Called right before the request is sent; false withholds it. May be empty.

    // Returns false if these headers belong to the answer of another request. May be empty.
    std::function<bool(const std::vector<Header>&)> AcceptsHeaders;

    // Called with status and headers once all headers have arrived and AcceptsHeaders() accepted them, even if the answer fails later. It
    // must not send or cancel requests. May be empty.
    std::function<void(int, const std::vector<Header>&)> OnHeaders;

    // Called if there is no complete answer after TimeoutUs and ListenUs is set. May be empty.
    std::function<void()> OnLate;
};

enum ClientEnd_ : int
{
    ClientEnd_None,
    ClientEnd_Answered,     // A complete answer was received: its headers are whole, and its body ended as they say.
    ClientEnd_NotConnected, // No connection could be established; nothing was sent.
    ClientEnd_Withheld,     // MaySend returned false; nothing was sent.
    ClientEnd_Lost,         // The request was sent, and the connection ended without any header of an answer.
    ClientEnd_Broken,       // The answer is incomplete, invalid, too large, or that of another request.
    ClientEnd_TimedOut,     // The request was sent, and no complete answer came in time.
    ClientEnd_COUNT,
};

struct ClientAnswer
{
    ClientEnd_ End = ClientEnd_None;
    int Status = 0; // Set only if End is ClientEnd_Answered; the same holds for Headers and Body.
    std::vector<Header> Headers;
    std::string Body;
    std::string Detail;                       // Cause of a failure, for the log.
    TimeUs TookUs = 0;                        // Time from ClientSend() to the end.
    bool NewConnection = false;               // The request opened a new connection.
    bool TimedOut = false;                    // The time-out of the request or of its connection passed.
    bool TooLarge = false;                    // The answer exceeded a bound; End is ClientEnd_Broken.
    AnswerDefect_ Defect = AnswerDefect_None; // What is wrong with the bytes that came, if any came.
    AnswerFraming Framing;                    // What ends its body.
    size_t HeadBytes = 0;                     // Bytes of its headers and trailers, including those of interim answers.
    size_t BodyBytes = 0;                     // Bytes of its body that came.
};

using ClientDone = std::function<void(ClientAnswer)>;

struct ClientCall;

// Memory of the answers in flight. Beyond the bound the largest answer is given up, and first those whose headers don't tell their length:
// an instance is not brought down by servers whose answers don't end, and other answers go on. Clients may share one.
struct AnswerMemory
{
    size_t MaxBytes = 32 * MiB;       // Less than a third of what a small instance has.
    size_t Bytes = 0;                 // Held now.
    std::set<ClientCall*> LargeCalls; // Those that may be given up.
};

struct Client
{
    EventLoop* Loop = nullptr;
    CURLM* Multi = nullptr;
    Timer Timeout;                                           // Next timeout requested by libcurl.
    OwnLink* Link = nullptr;                                 // Told of answers' bytes, extends ListenUs; may be null.
    std::string SourceIp;                                    // IP from which connections are opened; empty: chosen by the system.
    std::map<curl_socket_t, Watch> Sockets;                  // Sockets watched for libcurl.
    std::map<std::string, curl_socket_t> Connections;        // Open connections by their local and remote address.
    std::map<uint64_t, std::unique_ptr<ClientCall>> Calls;   // In flight, by id.
    std::map<std::string, TimeUs> DeadSince;                 // By address: when a request last timed out on a reused connection.
    uint64_t LastId = 0;                                     // Id of the latest call.
    uint64_t ConnectionsOpened = 0;                          // Counter.
    uint64_t ResendsPrevented = 0;                           // Counter: resends by libcurl that were prevented.
    uint64_t DeadConnectionsSeen = 0;                        // Counter: requests that timed out on a reused connection.
    uint64_t SpoiltConnections = 0;                          // Counter: kept connections that were closed instead of reused.
    AnswerMemory* Memory = nullptr;                          // Set it before ClientStart() to share it; otherwise OwnMemory.
    AnswerMemory OwnMemory;                                  // Of this client's answers only.
    std::vector<uint64_t> GivenUp;                           // Calls to end for lack of memory; their bodies are freed already.
    Timer GiveUp;                                            // Ends them.
    uint64_t AnswersTooLarge = 0;                            // Counter: answers that exceeded a bound.
    std::array<uint64_t, AnswerDefect_COUNT> Defective = {}; // Counters: answers with each defect.
    TimeUs ExtendedUs = 0;                                   // Counter: time for which requests were listened to beyond ListenUs.

    Client();
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
};

void ClientStart(Client* client, EventLoop* loop);

// Sends a request and returns its id. `done` is called from the event loop, never before this function returns.
uint64_t ClientSend(Client* client, ClientRequest request, ClientDone done);

// Sends a request and runs the event loop until it has ended. For commands and tools.
ClientAnswer ClientSendAndWait(Client* client, ClientRequest request);

// Cancels a request; `done` is not called. Closes its connection, so that the server can stop the work. Ids of requests that have ended are
// ignored.
void ClientCancel(Client* client, uint64_t id);

} // namespace Winchlink
