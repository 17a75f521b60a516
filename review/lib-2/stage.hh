// stage.hh: stand-ins of the platform's store, upstreams and clients for the scripts of review/4 and up, on blocking sockets and threads.
//
// They speak what the users' page PROTOCOL.md says, over loopback addresses only. A script starts the project's program as the deploy file
// does, and ends all that it started.
//
// Index of this file:
// [SECTION] Record
// [SECTION] Sockets
// [SECTION] HTTP
// [SECTION] Store
// [SECTION] Upstreams
// [SECTION] Instances
// [SECTION] Configuration

#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Stage
{

//-----------------------------------------------------------------------------
// [SECTION] Record
//-----------------------------------------------------------------------------

inline double Now() // Seconds, steady clock.
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline void Sleep(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline FILE* RecordFile = nullptr;
inline std::mutex RecordMutex;
inline double RecordStart = Now();

// Writes a line to the record of the script.
inline void Record(const char* format, ...)
{
    const std::lock_guard<std::mutex> lock(RecordMutex);
    std::fprintf(RecordFile, "%9.3f ", Now() - RecordStart);
    va_list args;
    va_start(args, format);
    std::vfprintf(RecordFile, format, args);
    va_end(args);
    std::fputc('\n', RecordFile);
    std::fflush(RecordFile);
}

// Bytes with all that is not printable as \xNN, cut to a length.
inline std::string Shown(const std::string& bytes, size_t max = 400)
{
    std::string out;
    for (const char c : bytes.substr(0, max))
    {
        char code[8];
        std::snprintf(code, sizeof code, "\\x%02x", static_cast<unsigned char>(c));
        out += c >= 0x20 && c < 0x7f ? std::string(1, c) : c == '\n' ? "\\n" : c == '\r' ? "\\r" : code;
    }
    return out + (bytes.size() > max ? "..." : "");
}

//-----------------------------------------------------------------------------
// [SECTION] Sockets
//-----------------------------------------------------------------------------

inline sockaddr_in Loopback(int port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    return address;
}

inline std::string AddressOf(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// A listening socket on a free port.
inline int Listen(int* port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 256) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    {
        std::perror("listen");
        std::exit(2);
    }
    *port = ntohs(address.sin_port);
    return fd;
}

inline int FreePort()
{
    int port = 0;
    close(Listen(&port));
    return port;
}

inline int Connect(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    {
        close(fd);
        return -1;
    }
    return fd;
}

// Sends all bytes. False if the other side has gone.
inline bool SendAll(int fd, const std::string& bytes)
{
    size_t sent = 0;
    while (sent < bytes.size())
    {
        const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        sent += static_cast<size_t>(n);
    }
    return true;
}

// A connection with what was read from it and not used yet.
struct Stream
{
    int Fd = -1;
    std::string Buffer;
    bool Ended = false; // The other side has closed or reset it.

    // Reads once, until `until` (by Now()) at the latest. False if nothing came.
    bool More(double until)
    {
        pollfd wait = {Fd, POLLIN, 0};
        const double left = until - Now();
        if (Ended || poll(&wait, 1, left > 0 ? static_cast<int>(left * 1000) + 1 : 0) <= 0)
        {
            return false;
        }
        char bytes[65536];
        const ssize_t n = recv(Fd, bytes, sizeof bytes, 0);
        Ended = n <= 0;
        Buffer.append(bytes, n > 0 ? static_cast<size_t>(n) : 0);
        return n > 0;
    }
};

// Accepts connections for ever, each in a thread of its own.
inline void ServeEach(int listening, const std::function<void(int)>& serve)
{
    std::thread(
        [listening, serve]()
        {
            for (;;)
            {
                const int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                {
                    return;
                }
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread(
                    [fd, serve]()
                    {
                        serve(fd);
                        close(fd);
                    })
                    .detach();
            }
        })
        .detach();
}

//-----------------------------------------------------------------------------
// [SECTION] HTTP
//-----------------------------------------------------------------------------

struct Message
{
    std::string First;                          // Request line or status line.
    std::string Head;                           // All of the head, with the empty line.
    std::map<std::string, std::string> Headers; // Names in lower case.
    std::string Body;

    std::string Header(const std::string& name) const
    {
        const auto found = Headers.find(name);
        return found != Headers.end() ? found->second : "";
    }
    int Status() const
    {
        return First.size() > 12 ? std::atoi(First.c_str() + 9) : 0;
    }
    std::string Path() const
    {
        const size_t from = First.find(' ') + 1;
        return First.substr(from, First.find(' ', from) - from);
    }
};

inline void ParseHead(const std::string& head, Message* out)
{
    out->Head = head;
    size_t at = head.find("\r\n");
    out->First = head.substr(0, at);
    while (at != std::string::npos && at + 2 < head.size())
    {
        const size_t end = head.find("\r\n", at + 2);
        const std::string line = head.substr(at + 2, end - at - 2);
        at = end;
        const size_t colon = line.find(':');
        if (colon == std::string::npos)
        {
            continue;
        }
        std::string name = line.substr(0, colon);
        for (char& c : name)
        {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        const size_t value = line.find_first_not_of(' ', colon + 1);
        out->Headers.emplace(name, value == std::string::npos ? "" : line.substr(value));
    }
}

// Reads a message whose body has a length, until `until` at the latest. False if it did not come whole.
inline bool ReadMessage(Stream* stream, double until, Message* out)
{
    size_t end = std::string::npos;
    while ((end = stream->Buffer.find("\r\n\r\n")) == std::string::npos)
    {
        if (!stream->More(until))
        {
            return false;
        }
    }
    *out = Message();
    ParseHead(stream->Buffer.substr(0, end + 4), out);
    const size_t length = static_cast<size_t>(std::atoll(out->Header("content-length").c_str()));
    while (stream->Buffer.size() < end + 4 + length)
    {
        if (!stream->More(until))
        {
            return false;
        }
    }
    out->Body = stream->Buffer.substr(end + 4, length);
    stream->Buffer.erase(0, end + 4 + length);
    return true;
}

inline std::string QueryValue(const std::string& path, const std::string& key)
{
    size_t at = path.find('?');
    while (at != std::string::npos)
    {
        const size_t end = path.find('&', at + 1);
        const std::string pair = path.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (pair.compare(0, key.size() + 1, key + "=") == 0)
        {
            return pair.substr(key.size() + 1);
        }
        at = end;
    }
    return "";
}

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

inline std::string Base64(const std::string& in)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t n = 0; n < in.size(); n += 3)
    {
        uint32_t group = 0;
        for (size_t k = 0; k < 3; k++)
        {
            group = group << 8 | (n + k < in.size() ? static_cast<unsigned char>(in[n + k]) : 0U);
        }
        for (size_t k = 0; k < 4; k++)
        {
            out += n + k > in.size() ? '=' : digits[group >> (18 - 6 * k) & 63U];
        }
    }
    return out;
}

// The platform's store: pages and watches of all items. Small deployments fit into one page.
struct Store
{
    int Port = 0;
    std::mutex Mutex;
    std::condition_variable Changed;
    uint64_t Revision = 1;
    std::map<std::string, std::string> Items;             // JSON by key.
    std::vector<std::pair<uint64_t, std::string>> Events; // JSON by revision.

    void Start()
    {
        const int listening = Listen(&Port);
        ServeEach(listening, [this](int fd) { Serve(fd); });
    }

    void Put(const std::string& key, const std::string& value)
    {
        const std::lock_guard<std::mutex> lock(Mutex);
        const std::string revision = std::to_string(++Revision);
        const std::string item = "{\"privateKey\":\"" + key + "\",\"value\":\"" + Base64(value) + "\",\"revision\":" + revision +
                                 ",\"made\":" + revision + ",\"lease\":0}";
        Items[key] = item;
        Events.emplace_back(Revision, item);
        Changed.notify_all();
    }

    std::string Page()
    {
        const std::lock_guard<std::mutex> lock(Mutex);
        std::string items;
        for (const auto& entry : Items)
        {
            items += (items.empty() ? "" : ",") + entry.second;
        }
        return "{\"at\":" + std::to_string(Revision) + ",\"more\":false,\"items\":[" + items + "]}";
    }

    std::string Watch(uint64_t after, double wait)
    {
        std::unique_lock<std::mutex> lock(Mutex);
        Changed.wait_for(lock, std::chrono::duration<double>(wait), [&]() { return Revision > after; });
        std::string events;
        for (const auto& [revision, json] : Events)
        {
            events += revision > after ? (events.empty() ? "" : ",") + json : "";
        }
        return "{\"at\":" + std::to_string(Revision) + ",\"events\":[" + events + "]}";
    }

    void Serve(int fd)
    {
        Stream stream{fd, "", false};
        Message request;
        while (ReadMessage(&stream, Now() + 600, &request))
        {
            const std::string path = request.Path();
            const bool watches = path.compare(0, 9, "/kv-watch") == 0;
            const std::string body = watches ? Watch(std::strtoull(QueryValue(path, "after").c_str(), nullptr, 10),
                                                     std::atof(QueryValue(path, "waitMs").c_str()) / 1000)
                                             : Page();
            if (!SendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                                 "\r\n\r\n" + body))
            {
                return;
            }
        }
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Upstreams
//-----------------------------------------------------------------------------

struct Upstream
{
    std::string Id;
    std::string Service = "svc";
    int Port = 0;
    int Capacity = 3;
    std::atomic<int> Running{0};

    // Works on a request and returns the bytes of its answer; none: the connection is closed.
    std::function<std::string(Upstream*, const Message&)> Work;

    void Start()
    {
        const int listening = Listen(&Port);
        ServeEach(listening, [this](int fd) { Serve(fd); });
    }

    std::string Load(int less = 0)
    {
        return "Winchlink-Server-Load: " + std::to_string(std::max(Running - less, 0)) + ",0," + std::to_string(Capacity) + "\r\n";
    }

    // The first lines of an answer to a request.
    std::string Head(const Message& request, const std::string& status = "200 OK")
    {
        return "HTTP/1.1 " + status + "\r\nWinchlink-Request-Id: " + request.Header("winchlink-request-id") +
               "\r\nWinchlink-Response-Signature: " + Id + ".07.5a2.600.0.c9f2a4d1\r\n" + Load(1);
    }

    void Serve(int fd)
    {
        Stream stream{fd, "", false};
        Message request;
        while (ReadMessage(&stream, Now() + 10, &request)) // Idle connections are closed after 10 s.
        {
            std::string answer;
            if (request.Path() == "/health")
            {
                answer = "HTTP/1.1 200 OK\r\nWinchlink-Instance-Id: " + Id + "\r\n" + Load() + "Content-Length: 0\r\n\r\n";
            }
            else if (request.Header("winchlink-expect-instance") != Id)
            {
                answer = "HTTP/1.1 421 Misdirected Request\r\nWinchlink-Request-Id: " + request.Header("winchlink-request-id") +
                         "\r\nWinchlink-Instance-Id: " + Id + "\r\nContent-Length: 0\r\n\r\n";
            }
            else if (Running >= Capacity + 6)
            {
                answer = "HTTP/1.1 503 Service Unavailable\r\nWinchlink-Request-Id: " + request.Header("winchlink-request-id") +
                         "\r\nWinchlink-Not-Executed: 1\r\n" + Load() + "Content-Length: 0\r\n\r\n";
            }
            else
            {
                Running++;
                answer = Work(this, request);
                Running--;
            }
            if (answer.empty() || !SendAll(fd, answer))
            {
                return;
            }
        }
    }

    std::string Entry() const
    {
        return "{\"address\":\"" + AddressOf(Port) + "\",\"info\":{\"service\":\"" + Service +
               "\",\"version\":\"1\",\"zone\":\"zone-a\",\"capacity\":" + std::to_string(Capacity) +
               "},\"status\":{\"state\":\"ready\",\"warmupLeftS\":0,\"sequence\":1}}";
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Instances
//-----------------------------------------------------------------------------

// An instance of the product, started as the deploy file does.
struct Instance
{
    int Front = 0;
    int Ready = 0;
    int Control = 0;
    pid_t Pid = -1;
    std::string File; // Its settings.
    std::string Log;  // Its output.

    // `folder`: a temporary one, for settings and log.
    void Start(const std::string& folder, const std::string& name, int store_port)
    {
        Front = FreePort();
        Ready = FreePort();
        Control = FreePort();
        const std::string file = folder + "/" + name + ".json";
        FILE* out = std::fopen(file.c_str(), "w");
        std::fprintf(
            out,
            "{\"instance\":\"%s\",\"dataCentre\":\"zone-a\",\"callerAddress\":\"%s\",\"readyAddress\":\"%s\",\"peerAddress\":\"%s\","
            "\"metricsAddress\":\"%s\",\"storeAddress\":\"%s\",\"peers\":[\"%s\"],\"descriptorsMost\":4100,\"linkMbps\":1000.0,"
            "\"datagramPort\":%d,\"graceS\":6,\"repeatShare\":0.2,\"repeatWindowS\":10}\n",
            name.c_str(), AddressOf(Front).c_str(), AddressOf(Ready).c_str(), AddressOf(Control).c_str(), AddressOf(FreePort()).c_str(),
            AddressOf(store_port).c_str(), AddressOf(Control).c_str(), FreePort());
        std::fclose(out);
        File = file;
        Log = folder + "/" + name + ".log";
        Launch();
    }

    // Starts the program with the present settings.
    void Launch()
    {
        Pid = fork();
        if (Pid == 0)
        {
            const int log = open(Log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            const std::string boot = "WINCHLINK_BOOT=" + File;
            const char* environment[] = {"PATH=/usr/bin:/bin", "LANG=C.UTF-8", boot.c_str(), nullptr};
            execle("target/winchlink", "target/winchlink", "gateway", nullptr, environment);
            _exit(127);
        }
    }

    // Waits until it says that it is ready. False if it does not within 10 s.
    bool WaitReady() const
    {
        for (const double until = Now() + 10; Now() < until; Sleep(0.05))
        {
            Stream stream{Connect(Ready), "", false};
            Message answer;
            const bool ready = stream.Fd >= 0 && SendAll(stream.Fd, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
                               ReadMessage(&stream, Now() + 1, &answer) && answer.Status() == 200;
            close(stream.Fd);
            if (ready)
            {
                return true;
            }
        }
        return false;
    }

    // Whether it still runs. If not, `status` is that of waitpid().
    bool Runs(int* status = nullptr) const
    {
        return waitpid(Pid, status, WNOHANG) == 0;
    }

    void End()
    {
        kill(Pid, SIGKILL);
        waitpid(Pid, nullptr, 0);
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

struct RouteOf
{
    std::string Prefix;
    std::string Type;
    double TimeoutS;
    double AimS;
};

inline std::string Configuration(const std::vector<RouteOf>& routes)
{
    std::string list;
    for (const RouteOf& route : routes)
    {
        list += (list.empty() ? "" : ",") + std::string("{\"name\":\"") + route.Prefix.substr(1, route.Prefix.size() - 2) +
                "\",\"host\":\"a.example\",\"pathPrefix\":\"" + route.Prefix + "\",\"service\":\"svc\",\"type\":\"" + route.Type +
                "\",\"timeoutS\":" + std::to_string(route.TimeoutS) + ",\"targetLatencyS\":" + std::to_string(route.AimS) +
                ",\"priority\":1,\"maxAttempts\":3}";
    }
    return "{\"version\":\"00000001\",\"routes\":[" + list +
           "],\"services\":[{\"name\":\"svc\",\"healthPath\":\"/health\",\"maxConnections\":220}],\"limits\":{\"maxHeaderBytes\":16384,"
           "\"maxBodyBytes\":1048576,\"headerTimeoutS\":5,\"idleTimeoutS\":10}}";
}

inline std::string Request(const std::string& method, const std::string& path, const std::string& id, int deadline_ms)
{
    return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: " + id +
           "\r\nWinchlink-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n\r\n";
}

// Whether the disruption is played: the variable TROUBLE is not "0".
inline bool Troubled()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::strcmp(text, "0") != 0;
}

} // namespace Stage
