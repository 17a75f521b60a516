// server.cpp: an HTTP server on ulfius.
//
// Index of this file:
// [SECTION] Reading the request
// [SECTION] Writing the response
// [SECTION] Connections
// [SECTION] Start and stop

#include "server.h"

#include "clock.h"
#include "socket.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cassert>
#include <microhttpd.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Reading the request
//-----------------------------------------------------------------------------

static std::string FormatSocketAddress(const sockaddr* address)
{
    if (address == nullptr || address->sa_family != AF_INET)
    {
        return "";
    }
    const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(address);
    return FormatEndpoint({ntohl(ipv4->sin_addr.s_addr), ntohs(ipv4->sin_port)});
}

static std::vector<Header> ReadHeaders(const _u_map* map)
{
    std::vector<Header> headers;
    const char** names = u_map_enum_keys(map);
    for (int n = 0; names != nullptr && names[n] != nullptr; n++)
    {
        const char* value = u_map_get(map, names[n]);
        headers.push_back({names[n], value != nullptr ? value : ""});
    }
    return headers;
}

// Notes that the first line of a request has come.
static void MarkBegun(Server* server, const sockaddr* address)
{
    const std::lock_guard<std::mutex> lock(server->Mutex);
    auto found = server->Open.find(FormatSocketAddress(address));
    if (found != server->Open.end())
    {
        found->second.Busy = true;
    }
}

// Fills in what is known of the connection.
static void MarkRead(Server* server, const sockaddr* address, ServerRequest* request)
{
    request->CallerAddress = FormatSocketAddress(address);
    const std::lock_guard<std::mutex> lock(server->Mutex);
    auto found = server->Open.find(request->CallerAddress);
    if (found != server->Open.end())
    {
        found->second.Requests++;
        request->CallerFd = found->second.Socket;
        request->FirstOnConnection = found->second.Requests == 1;
        request->TooMany = server->Open.size() > static_cast<size_t>(server->Config.ConnectionsMax);
    }
}

static void MarkDone(Server* server, const sockaddr* address)
{
    const std::lock_guard<std::mutex> lock(server->Mutex);
    auto found = server->Open.find(FormatSocketAddress(address));
    if (found != server->Open.end())
    {
        found->second.Busy = false;
        found->second.QuietUs = NowUs();
    }
}

static ServerRequest ReadRequest(Server* server, const _u_request* from)
{
    ServerRequest request;
    request.Method = from->http_verb;
    request.Path = from->http_url;
    request.Headers = ReadHeaders(from->map_header);
    if (from->binary_body != nullptr)
    {
        request.Body.assign(static_cast<const char*>(from->binary_body), from->binary_body_length);
    }
    MarkRead(server, from->client_address, &request);
    const std::string* length = FindHeader(request.Headers, "Content-Length");
    const size_t announced = length != nullptr ? std::strtoull(length->c_str(), nullptr, 10) : 0;
    // ulfius cuts a body at its limit without a word; one byte of room shows it.
    request.BodyTooLarge = announced > server->Config.BodyMax || request.Body.size() > server->Config.BodyMax;
    return request;
}

//-----------------------------------------------------------------------------
// [SECTION] Writing the response
//-----------------------------------------------------------------------------

// ulfius keeps one value per header name, but compares names by case while HTTP does not: a second Set-Cookie goes by another spelling.
static std::string OtherSpelling(const std::string& name, unsigned variant)
{
    std::string other = name;
    for (char& c : other)
    {
        if (isalpha(static_cast<unsigned char>(c)) == 0)
        {
            continue;
        }
        c = static_cast<char>((variant & 1U) != 0 ? toupper(c) : tolower(c));
        variant >>= 1U;
    }
    return other;
}

static void AddHeader(_u_map* map, const Header& header)
{
    std::string name = header.Name;
    for (unsigned variant = 0; u_map_has_key(map, name.c_str()) != 0; variant++)
    {
        const std::string other = OtherSpelling(header.Name, variant);
        if (variant > 0 && other == name)
        {
            return; // Every spelling is taken: more repetitions than any sane answer has.
        }
        name = other;
    }
    u_map_put(map, name.c_str(), header.Value.c_str());
}

static void WriteResponse(const ServerResponse& response, _u_response* to)
{
    to->status = response.Status; // ulfius' own setter refuses an empty body, and the status with it.
    if (!response.Body.empty())
    {
        ulfius_set_binary_body_response(to, static_cast<unsigned>(response.Status), response.Body.data(), response.Body.size());
    }
    for (const Header& header : response.Headers)
    {
        AddHeader(to->map_header, header);
    }
    if (response.CloseConnection)
    {
        u_map_put(to->map_header, "Connection", "close");
    }
}

static int OnRequest(const _u_request* request, _u_response* response, void* user)
{
    auto* server = static_cast<Server*>(user);
    WriteResponse(server->Handler(ReadRequest(server, request)), response);
    return U_CALLBACK_COMPLETE;
}

//-----------------------------------------------------------------------------
// [SECTION] Connections
//-----------------------------------------------------------------------------

static const sockaddr* CallerOf(MHD_Connection* connection)
{
    const MHD_ConnectionInfo* address = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    return address != nullptr ? address->client_addr : nullptr;
}

static void* OnFirstLine(void* user, const char* uri, MHD_Connection* connection)
{
    MarkBegun(static_cast<Server*>(user), CallerOf(connection));
    return ulfius_uri_logger(nullptr, uri); // ulfius' own part.
}

static void OnCompleted(void* user, MHD_Connection* connection, void** request, MHD_RequestTerminationCode code)
{
    mhd_request_completed(nullptr, connection, request, code); // ulfius' own part.
    MarkDone(static_cast<Server*>(user), CallerOf(connection));
}

static void OnConnection(void* user, MHD_Connection* connection, void** socket_context, MHD_ConnectionNotificationCode code)
{
    (void)socket_context;
    auto* server = static_cast<Server*>(user);
    const std::string key = FormatSocketAddress(CallerOf(connection));
    const std::lock_guard<std::mutex> lock(server->Mutex);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
        server->Open.erase(key);
        return;
    }
    const MHD_ConnectionInfo* socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (socket != nullptr)
    {
        ServerConnection& opened = server->Open[key];
        opened.Socket = socket->connect_fd;
        opened.QuietUs = NowUs();
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Start and stop
//-----------------------------------------------------------------------------

// libmicrohttpd closes what is over its limit without reading it, and the caller can't know that nothing was run. So its limit is higher
// than ours: so many connections more are read, told, and closed.
static constexpr int RefusalsAtOnce = 256;

static bool StartFramework(Server* server, sockaddr_in* address)
{
    // ulfius requires the first two options.
    MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(OnCompleted), server},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(OnFirstLine), server},
        {MHD_OPTION_SOCK_ADDR, 0, address},
        {MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(OnConnection), server},
        {MHD_OPTION_CONNECTION_LIMIT, server->Config.ConnectionsMax + RefusalsAtOnce, nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(server->Config.IdleSeconds), nullptr},
        {MHD_OPTION_LISTEN_BACKLOG_SIZE, 512, nullptr},
        {MHD_OPTION_END, 0, nullptr},
    };
    const unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
    return ulfius_start_framework_with_mhd_options(server->Instance.get(), flags, options) == U_OK;
}

Result<void> ServerStart(Server* server, const ServerConfig& config, ServerHandler handler)
{
    assert(!server->Instance && "the server runs already");
    server->Config = config;
    server->Handler = std::move(handler);
    const Result<Endpoint> endpoint = ParseEndpoint(config.Address);
    if (!endpoint)
    {
        return endpoint.error();
    }
    sockaddr_in address = ToSocketAddress(endpoint.value());
    server->Instance = std::make_unique<_u_instance>();
    ulfius_init_instance(server->Instance.get(), endpoint.value().Port, &address, nullptr);
    server->Instance->max_post_body_size = config.BodyMax + 1;
    server->Instance->allowed_post_processor = U_POST_PROCESS_NONE; // Bodies are passed on, not understood.
    server->Instance->check_utf8 = 0;
    ulfius_set_default_endpoint(server->Instance.get(), OnRequest, server);
    if (!StartFramework(server, &address))
    {
        ulfius_clean_instance(server->Instance.get());
        server->Instance.reset();
        return Error{Code_ListenFailed, config.Address};
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

static constexpr TimeUs HandshakeUs = 50 * UsPerMs;    // Longer than the way to a caller and back.
static constexpr TimeUs AcceptMaxUs = 2 * UsPerSecond; // A full server accepts nothing more: don't wait for ever.
static constexpr TimeUs AcceptStepUs = UsPerMs;

static bool HasUnaccepted(int listening)
{
    pollfd entry = {listening, POLLIN, 0};
    return poll(&entry, 1, 0) > 0;
}

// Waits until nothing has waited to be accepted for as long as a handshake takes.
static void AwaitAccepted(int listening)
{
    const TimeUs give_up = NowUs() + AcceptMaxUs;
    TimeUs empty_since = NowUs();
    for (TimeUs now = NowUs(); now < give_up && now < empty_since + HandshakeUs; now = NowUs())
    {
        if (HasUnaccepted(listening))
        {
            empty_since = now;
        }
        std::this_thread::sleep_for(std::chrono::microseconds(AcceptStepUs));
    }
}

void ServerQuiesce(Server* server)
{
    if (!server->Instance)
    {
        return;
    }
    // Closing the listening socket resets every connection that waits in its queue, with whatever a caller has sent on it already.
    const MHD_DaemonInfo* info = MHD_get_daemon_info(server->Instance->mhd_daemon, MHD_DAEMON_INFO_LISTEN_FD);
    if (info != nullptr && info->listen_fd >= 0 && IgnoreNewConnections(info->listen_fd))
    {
        AwaitAccepted(info->listen_fd);
    }
    const MHD_socket listening = MHD_quiesce_daemon(server->Instance->mhd_daemon);
    if (listening >= 0)
    {
        close(listening);
    }
}

int ServerBusy(Server* server)
{
    const std::lock_guard<std::mutex> lock(server->Mutex);
    auto busy = [](const auto& entry)
    {
        return entry.second.Busy;
    };
    return static_cast<int>(std::count_if(server->Open.begin(), server->Open.end(), busy));
}

int ServerOpen(Server* server)
{
    const std::lock_guard<std::mutex> lock(server->Mutex);
    return static_cast<int>(server->Open.size());
}

void ServerCloseIdle(Server* server, TimeUs quiet)
{
    const TimeUs now = NowUs();
    const std::lock_guard<std::mutex> lock(server->Mutex);
    for (const auto& entry : server->Open)
    {
        if (!entry.second.Busy && now >= entry.second.QuietUs + quiet)
        {
            shutdown(entry.second.Socket, SHUT_RD); // What has come already is still read and answered.
        }
    }
}

void ServerStop(Server* server)
{
    if (server->Instance)
    {
        ulfius_stop_framework(server->Instance.get());
        ulfius_clean_instance(server->Instance.get());
        server->Instance.reset();
    }
}

} // namespace Winchlink
