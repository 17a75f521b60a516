// server_test.cpp: the HTTP server by itself: what a planned stop does to callers that come in the moment it closes.

#include "bench.h"
#include "check.h"
#include "fleet.h"
#include "raw_target.h"
#include "server.h"

#include <atomic>
#include <csignal>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Winchlink
{

// Callers that send one request after another, each on a new connection or all on a kept one, until nobody listens any more.
struct BusyCallers
{
    std::string Address;
    bool KeepsConnection = false;
    std::atomic<int> Lost{0}; // Sent, and neither answered nor refused.
    std::atomic<int> Answered{0};
    std::vector<std::thread> Threads;

    void Start(int count, uint64_t seed)
    {
        for (int n = 0; n < count; n++)
        {
            Threads.emplace_back([this, seed, n]() { Run(seed + static_cast<uint64_t>(n)); });
        }
    }

    void Run(uint64_t seed)
    {
        Random random(seed);
        auto client = std::make_unique<HttpClient>();
        HttpAnswer answer;
        do
        {
            answer = HttpSend(client.get(), {"POST", Address, "/", "a", {}, 5000});
            Answered += answer.Status == 200 ? 1 : 0;
            Lost += answer.Status == 0 && answer.Sent ? 1 : 0;
            if (!KeepsConnection)
            {
                client = std::make_unique<HttpClient>();
            }
            SleepUs(static_cast<TimeUs>(random() % 3000));
        } while (answer.Status == 200);
    }

    void Join()
    {
        for (std::thread& thread : Threads)
        {
            thread.join();
        }
        Threads.clear();
    }
};

class ServerTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerTest);
    CPPUNIT_TEST(AStopAnswersWhatWaitsToBeAccepted);
    CPPUNIT_TEST(AStopLosesNoNewConnection);
    CPPUNIT_TEST(AStopLosesNoKeptConnection);
    CPPUNIT_TEST_SUITE_END();

    static void StopUnderLoad(bool keeps_connection, uint64_t seed)
    {
        std::signal(SIGPIPE, SIG_IGN);
        std::atomic<bool> leaving{false};
        Server server;
        ServerConfig config;
        config.Address = "127.0.0.1:" + std::to_string(FreePort("127.0.0.1"));
        const auto handler = [&leaving](const ServerRequest&)
        {
            return ServerResponse{200, {}, "x", leaving};
        };
        CPPUNIT_ASSERT(ServerStart(&server, config, handler).has_value());
        BusyCallers callers;
        callers.Address = config.Address;
        callers.KeepsConnection = keeps_connection;
        callers.Start(16, seed);
        CPPUNIT_ASSERT(WaitFor(20 * UsPerSecond, [&]() { return callers.Answered > 100; }));
        leaving = true;
        ServerQuiesce(&server);
        const auto all_closed = [&server]()
        {
            ServerCloseIdle(&server, 5 * UsPerSecond);
            return ServerOpen(&server) == 0;
        };
        CPPUNIT_ASSERT(WaitFor(20 * UsPerSecond, all_closed));
        ServerStop(&server);
        callers.Join();
        CPPUNIT_ASSERT_EQUAL(0, callers.Lost.load());
    }

public:
    // Callers whose requests wait in the listening socket's queue when the stop begins. The server's mutex holds its acceptor up.
    void AStopAnswersWhatWaitsToBeAccepted()
    {
        std::signal(SIGPIPE, SIG_IGN);
        Server server;
        ServerConfig config;
        config.Address = "127.0.0.1:" + std::to_string(FreePort("127.0.0.1"));
        const auto handler = [](const ServerRequest&)
        {
            return ServerResponse{200, {}, "x", true};
        };
        CPPUNIT_ASSERT(ServerStart(&server, config, handler).has_value());
        server.Mutex.lock();
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        std::vector<int> callers;
        for (int n = 0; n < 5; n++)
        {
            callers.push_back(RawConnect(config.Address));
            CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(request.size()), send(callers.back(), request.data(), request.size(), MSG_NOSIGNAL));
        }
        std::thread stop([&server]() { ServerQuiesce(&server); });
        SleepUs(300 * UsPerMs); // The stop is well under way.
        server.Mutex.unlock();
        stop.join();
        for (const int caller : callers)
        {
            std::string got(4096, '\0');
            got.resize(static_cast<size_t>(std::max<ssize_t>(recv(caller, got.data(), got.size(), 0), 0)));
            close(caller);
            CPPUNIT_ASSERT_MESSAGE(got, got.find("HTTP/1.1 200") == 0);
        }
        ServerStop(&server);
    }

    void AStopLosesNoNewConnection()
    {
        for (uint64_t round = 0; round < 4; round++)
        {
            StopUnderLoad(false, round * 100);
        }
    }

    void AStopLosesNoKeptConnection()
    {
        for (uint64_t round = 0; round < 4; round++)
        {
            StopUnderLoad(true, round * 100);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTest);

} // namespace Winchlink
