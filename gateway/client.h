// client.h: HTTP to targets, the store and peers, on libcurl inside the event loop.
//
// How to use it: ClientStart() once, then ClientSend() for each request; its callback is called once, unless ClientCancel() comes first.
// A request leaves at most once: libcurl's own replay on a connection that died is stopped. A kept connection may go silent for good
// without being reset; once a request has found one so, all connections to that address that are older are left.

#pragma once

#include "headers.h"
#include "loop.h"

#include <curl/curl.h>

namespace Winchlink
{

struct ClientRequest
{
    std::string Address;                                         // IP:port.
    std::string Method = "GET";                                  // As it goes on the wire.
    std::string Target;                                          // Path and query, untouched.
    std::vector<Header> Headers;                                 // Ready to be sent.
    std::string Body;                                            // Sent with its length.
    bool HasBody = false;                                        // Send Body even if it is empty.
    TimeUs TimeoutUs = UsPerSecond;                              // To the last byte of the answer.
    TimeUs ConnectUs = 0;                                        // To the connection; 0: as long as TimeoutUs.
    size_t AnswerMost = 16 * MiB;                                // Largest answer body in bytes.
    bool NewConnection = false;                                  // Don't take a kept connection.
    std::function<bool()> MaySend;                               // Asked right before the request leaves; may be empty.
    std::function<bool(const std::vector<Header>&)> Fits;        // False: these headers belong to another request. May be empty.
    std::function<void(int, const std::vector<Header>&)> OnHead; // The status and all headers of the answer are there, and fit, whatever
                                                                 // becomes of the rest. It must not send or cancel. May be empty.
};

enum ClientEnd_ : int
{
    ClientEnd_None,
    ClientEnd_Answered,     // A whole answer came.
    ClientEnd_NotConnected, // No connection came up: nothing was sent.
    ClientEnd_Withheld,     // MaySend said no: nothing was sent.
    ClientEnd_Lost,         // It was sent, and no whole answer came: reset, closed, or no HTTP.
    ClientEnd_Broken,       // An answer came that is not this request's, or not whole.
    ClientEnd_TimedOut,     // It was sent, and no whole answer came in time.
    ClientEnd_COUNT,
};

struct ClientAnswer
{
    ClientEnd_ End = ClientEnd_None;
    int Status = 0;              // Only if Answered, as are the next two.
    std::vector<Header> Headers; //
    std::string Body;            //
    std::string Detail;          // What went wrong, for the log.
    TimeUs TookUs = 0;           // From ClientSend() to the end.
    bool NewConnection = false;  // A connection was opened for it.
};

using ClientDone = std::function<void(ClientAnswer)>;

struct ClientCall;

struct Client
{
    EventLoop* Loop = nullptr;
    CURLM* Multi = nullptr;
    Timer Timeout;                                         // libcurl's next timeout.
    std::map<curl_socket_t, Watch> Sockets;                // Watched for libcurl.
    std::map<uint64_t, std::unique_ptr<ClientCall>> Calls; // In progress, by id.
    std::vector<CURL*> Spare;                              // Easy handles to be used again.
    std::map<std::string, TimeUs> Silent;                  // By address: when a kept connection was last found silent.
    uint64_t LastId = 0;                                   // Of the latest call.
    uint64_t ConnectionsOpened = 0;                        // Counters.
    uint64_t ReplaysStopped = 0;
    uint64_t SilencesSeen = 0;

    Client();
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
};

void ClientStart(Client* client, EventLoop* loop);

// Sends a request and returns its id. `done` is never called before this function returns.
uint64_t ClientSend(Client* client, ClientRequest request, ClientDone done);

// Sends a request and runs the loop until its answer is there: for commands and tools that have nothing else to do meanwhile.
ClientAnswer ClientAsk(Client* client, ClientRequest request);

// Ends a request; its connection is closed, so that the other side may stop its work. Unknown ids are ignored: it has ended.
void ClientCancel(Client* client, uint64_t id);

} // namespace Winchlink
