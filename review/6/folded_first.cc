// folded_first.cc: three of six upstreams spoil one byte of some answers, the first one behind the status line. The platform starts an
// instance that has ended again.
//
// Usage: folded_first FOLDER RECORD

#include "stage.hh"

#include <set>

using namespace Stage;

static constexpr int Clients = 24;         // At a time, each with a kept connection.
static constexpr double RunS = 5;          // Time for which upstreams spoil answers.
static constexpr int SpoiltOf = 34;        // Each so many answers of these upstreams one is spoilt: below 0.03 of them.
static constexpr size_t SpoilingCount = 3; // Of the six upstreams: half.
static constexpr size_t UpstreamCount = 6;
static constexpr double RestartS = 0.3; // From the end of an instance to its next start.

static std::atomic<bool> Spoils{false};
static std::atomic<bool> Over{false};
static std::atomic<int> Made{0}; // Answers of the upstreams that spoil some.
static std::atomic<int> Spoilt{0};
static std::atomic<int> Answered{0};
static std::atomic<int> Ends{0}; // Of the instance, by itself.

static std::mutex SeenMutex;
static std::set<std::string> PassedOn; // Ids of requests that a sound upstream was given.
static std::vector<std::string> Cut;   // Ids of requests on kept connections that were closed without an answer.

static std::string Work(Upstream* upstream, const Message& request)
{
    const std::string id = request.Header("winchlink-request-id");
    const bool is_sound = !(upstream->Id < "i-" + std::to_string(SpoilingCount));
    if (is_sound)
    {
        const std::lock_guard<std::mutex> lock(SeenMutex);
        PassedOn.insert(id);
    }
    Sleep(0.05);
    std::string answer = upstream->Head(request) + "Content-Length: 5\r\n\r\nhello";
    if (!is_sound && Spoils && ++Made % SpoiltOf == 0)
    {
        Spoilt++;
        answer[answer.find("\r\n") + 2] = ' ';
        Record("%s spoils its answer to %s: %s", upstream->Id.c_str(), id.c_str(), Shown(answer, 90).c_str());
    }
    return answer;
}

static void Client(int port, int number)
{
    Stream stream{Connect(port), "", false};
    int answers = 0; // On this connection.
    for (int n = 0; !Over; n++)
    {
        const std::string id = "c" + std::to_string(number) + "-" + std::to_string(n);
        Message answer;
        const bool sent = stream.Fd >= 0 && SendAll(stream.Fd, Request("GET", "/list/" + id, id, 2000));
        if (sent && ReadMessage(&stream, Now() + 3, &answer))
        {
            Answered++;
            answers++;
            continue;
        }
        if (sent && answers > 0 && stream.Ended)
        {
            const std::lock_guard<std::mutex> lock(SeenMutex);
            Cut.push_back(id);
            Record("%s: the kept connection is closed without an answer", id.c_str());
        }
        close(stream.Fd);
        Sleep(0.05);
        stream = Stream{Connect(port), "", false};
        answers = 0;
    }
    close(stream.Fd);
}

// The platform's part: starts an instance again that has ended.
static void KeepRunning(Instance* instance)
{
    while (!Over)
    {
        int status = 0;
        if (!instance->Runs(&status))
        {
            Ends++;
            Record("the instance has ended by itself: %s %d", WIFSIGNALED(status) ? "signal" : "status",
                   WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
            Sleep(RestartS);
            instance->Launch();
        }
        Sleep(0.01);
    }
}

int main(int argc, char** argv)
{
    if (argc < 3 || (RecordFile = std::fopen(argv[2], "w")) == nullptr)
    {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    Store store;
    store.Start();
    std::vector<Upstream> upstreams(UpstreamCount);
    for (size_t n = 0; n < upstreams.size(); n++)
    {
        upstreams[n].Id = "i-" + std::to_string(n);
        upstreams[n].Capacity = 6;
        upstreams[n].Work = Work;
        upstreams[n].Start();
        store.Put("servers/" + upstreams[n].Id, upstreams[n].Entry());
    }
    store.Put("op/config", Configuration({{"/list/", "safe", 2, 0.5}}));
    Instance instance;
    instance.Start(argv[1], "edge-1", store.Port);
    if (!instance.WaitReady())
    {
        Record("the instance does not start");
        instance.End();
        return 2;
    }
    std::thread platform(KeepRunning, &instance);
    std::vector<std::thread> clients;
    for (int c = 0; c < Clients; c++)
    {
        clients.emplace_back(Client, instance.Front, c);
    }
    Sleep(4); // The instance and its upstreams are in touch.
    Spoils = Troubled();
    Record("%s", Spoils ? "three of six upstreams spoil some of their answers from now on" : "no disruption");
    Sleep(RunS);
    Over = true;
    for (std::thread& client : clients)
    {
        client.join();
    }
    platform.join();
    instance.End();
    int lost = 0;
    for (const std::string& id : Cut)
    {
        lost += static_cast<int>(PassedOn.count(id));
    }
    Record(
        "%d answers spoilt of %d by these upstreams; %d requests answered; the instance ended %d times by itself; %d requests that sound "
        "upstreams had been given ended with their kept connection",
        Spoilt.load(), Made.load(), Answered.load(), Ends.load(), lost);
    Record("LOST %s", lost > 3 ? "broken" : "held");
    const bool played = Answered > 0 && (!Troubled() || Spoilt > 0);
    std::_Exit(!played ? 2 : lost > 3 ? 1 : 0);
}
