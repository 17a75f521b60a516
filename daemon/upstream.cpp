// upstream.cpp: sending one request to one target, through pooled libcurl handles.
//
// Three traps of libcurl are closed here. A request on a reused connection that the target closes without an answer would be sent a
// second time, POST included: the pre-request callback aborts its second call. A blocking transfer would notice neither the caller's
// hang-up nor an exact deadline: each handle has a multi handle, which polls the caller's socket as well. A target that answers with
// something that is not HTTP/1.x would be taken for HTTP/0.9: that is off by default in the version we build against, and set anyway.
//
// Index of this file:
// [SECTION] Headers
// [SECTION] Handles
// [SECTION] Callbacks
// [SECTION] Sending
// [SECTION] Outcome
// [SECTION] Pool
// [SECTION] Attempts

#include "upstream.h"

#include "clock.h"
#include "names.h"

#include <cstring>
#include <sys/socket.h>

namespace Winchlink
{

static constexpr TimeUs IdleMaxUs = 20 * UsPerSecond; // A connection idle for longer is closed.
static constexpr long IdleReuseMaxSeconds = 15;       // libcurl does not reuse one idle for longer; targets close theirs.
static constexpr int BothPollMaxMs = 2;               // Longest wait while two attempts are in progress.
static constexpr int PollMaxMs = 1000;                // Longest wait in one poll.
static constexpr long ConnectMaxMs = 1000;            // A target on our own network that takes longer is not there.

//-----------------------------------------------------------------------------
// [SECTION] Headers
//-----------------------------------------------------------------------------

bool ReadReport(const std::vector<Header>& headers, const std::string& address, TargetRun* out)
{
    const std::string* start = FindHeader(headers, HeaderStart);
    const std::string* state = FindHeader(headers, HeaderState);
    const std::string* busy = FindHeader(headers, HeaderBusy);
    if (start == nullptr && state == nullptr && busy == nullptr)
    {
        return false;
    }
    out->Key = KeyOfTarget(address);
    out->StartId = start != nullptr ? std::strtoull(start->c_str(), nullptr, 10) : 0;
    out->Leaving = state != nullptr && *state == StateDraining;
    const unsigned long count = busy != nullptr ? std::strtoul(busy->c_str(), nullptr, 10) : 0;
    out->Busy = static_cast<uint16_t>(std::min<unsigned long>(count, UINT16_MAX));
    out->AgeMs = 0;
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Handles
//-----------------------------------------------------------------------------

struct UpstreamHandle
{
    CURLM* Multi = nullptr; // Holds the one connection.
    CURL* Easy = nullptr;   // Reused from attempt to attempt.
    TimeUs IdleSinceUs = 0; // When it was given back.
    int Socket = -1;        // Of its connection, the last one opened.

    UpstreamHandle() : Multi(curl_multi_init()), Easy(curl_easy_init())
    {
        curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, 1L);
    }

    ~UpstreamHandle()
    {
        curl_easy_cleanup(Easy);
        curl_multi_cleanup(Multi);
    }

    UpstreamHandle(const UpstreamHandle&) = delete;
    UpstreamHandle& operator=(const UpstreamHandle&) = delete;
};

// State of one attempt, for the callbacks.
struct Attempt
{
    const UpstreamRequest* Request = nullptr;
    UpstreamPool* Pool = nullptr;
    UpstreamHandle* Handle = nullptr;
    UpstreamAnswer* Answer = nullptr;
    int Prepared = 0;           // Calls of the pre-request callback: how often the request was about to be sent.
    bool StoppedUnsent = false; // The last check said no.
    bool TooLarge = false;      // Answer body over the limit.
};

//-----------------------------------------------------------------------------
// [SECTION] Callbacks
//-----------------------------------------------------------------------------

static int OnPrepared(void* user, char*, char*, int, int)
{
    auto* attempt = static_cast<Attempt*>(user);
    if (attempt->Prepared > 0)
    {
        attempt->Pool->ReplaysStopped++;
        return CURL_PREREQFUNC_ABORT;
    }
    if (!attempt->Request->StillGood())
    {
        attempt->StoppedUnsent = true;
        return CURL_PREREQFUNC_ABORT;
    }
    attempt->Prepared++;
    return CURL_PREREQFUNC_OK;
}

static size_t OnHeader(char* data, size_t size, size_t count, void* user)
{
    auto* attempt = static_cast<Attempt*>(user);
    const std::string line(data, size * count);
    if (line.compare(0, 5, "HTTP/") == 0)
    {
        attempt->Answer->Headers.clear(); // An interim answer came before; only the last one counts.
        return line.size();
    }
    const size_t colon = line.find(':');
    if (colon != std::string::npos)
    {
        attempt->Answer->Headers.push_back({line.substr(0, colon), TrimBlanks(line.substr(colon + 1))});
    }
    return line.size();
}

static size_t OnBody(char* data, size_t size, size_t count, void* user)
{
    auto* attempt = static_cast<Attempt*>(user);
    std::string& body = attempt->Answer->Body;
    const size_t length = size * count;
    if (body.size() + length > attempt->Request->AnswerMax)
    {
        attempt->TooLarge = true;
        return 0;
    }
    body.append(data, length);
    return length;
}

static int OnConnectionOpened(void* user, curl_socket_t socket, curlsocktype)
{
    auto* attempt = static_cast<Attempt*>(user);
    attempt->Pool->ConnectionsOpened++;
    attempt->Handle->Socket = socket;
    return CURL_SOCKOPT_OK;
}

//-----------------------------------------------------------------------------
// [SECTION] Sending
//-----------------------------------------------------------------------------

using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

static HeaderList MakeHeaders(const std::vector<Header>& headers)
{
    curl_slist* list = nullptr;
    for (const Header& header : headers)
    {
        // curl drops "Name:" and sends "Name;" as an empty header.
        const std::string line = header.Value.empty() ? header.Name + ";" : header.Name + ": " + header.Value;
        list = curl_slist_append(list, line.c_str());
    }
    list = curl_slist_append(list, "Expect:"); // Never wait for 100-continue.
    return HeaderList(list, curl_slist_free_all);
}

static void SetMethod(CURL* easy, const UpstreamRequest& request)
{
    if (request.Method == "HEAD")
    {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    if (request.Body != nullptr)
    {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.Body->size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.Body->data());
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.Method.c_str());
}

static void Prepare(CURL* easy, const UpstreamRequest& request, Attempt* attempt, curl_slist* headers)
{
    const std::string url = "http://" + request.Address + "/";
    curl_easy_reset(easy); // Keeps the connection.
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request.Path.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_HTTP09_ALLOWED, 0L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, IdleReuseMaxSeconds);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, ConnectMaxMs);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, OnPrepared);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, attempt);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, attempt);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, attempt);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, OnConnectionOpened);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, attempt);
    if (!request.SourceIp.empty())
    {
        curl_easy_setopt(easy, CURLOPT_INTERFACE, request.SourceIp.c_str());
    }
    SetMethod(easy, request);
}

enum CallerState_ : int
{
    CallerState_Waiting,
    CallerState_Ahead, // It has sent its next request already; its socket stays readable and can't be watched.
    CallerState_Gone,
    CallerState_COUNT,
};

static CallerState_ LookAtCaller(int fd)
{
    char byte = 0;
    const ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0)
    {
        return CallerState_Ahead;
    }
    const bool nothing_yet = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return nothing_yet ? CallerState_Waiting : CallerState_Gone;
}

enum WaitEnd_ : int
{
    WaitEnd_None,
    WaitEnd_Done, // libcurl has finished.
    WaitEnd_Deadline,
    WaitEnd_CallerGone,
    WaitEnd_COUNT,
};

// Whether the caller hung up, as far as its socket tells. One that has sent ahead is not watched any more.
static bool CallerIsGone(const curl_waitfd& caller, int* caller_fd)
{
    if (*caller_fd < 0 || caller.revents == 0)
    {
        return false;
    }
    const CallerState_ state = LookAtCaller(*caller_fd);
    *caller_fd = state == CallerState_Ahead ? -1 : *caller_fd;
    return state == CallerState_Gone;
}

static CURLcode ResultOf(CURLM* multi)
{
    int left = 0;
    const CURLMsg* message = curl_multi_info_read(multi, &left);
    return message != nullptr ? message->data.result : CURLE_GOT_NOTHING;
}

//-----------------------------------------------------------------------------
// [SECTION] Outcome
//-----------------------------------------------------------------------------

static void Fail(UpstreamAnswer* answer, Outcome_ outcome, Code_ code)
{
    answer->Outcome = outcome;
    answer->Code = code;
    answer->Headers.clear();
    answer->Body.clear();
}

static bool TargetSaysNotRun(const UpstreamAnswer& answer)
{
    const std::string* run = FindHeader(answer.Headers, HeaderRun);
    return run != nullptr && *run == RunNotRun && answer.Status >= 400;
}

static void JudgeAnswer(const Attempt& attempt, CURL* easy)
{
    UpstreamAnswer* answer = attempt.Answer;
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    answer->Status = static_cast<int>(status);
    answer->HasReport = ReadReport(answer->Headers, attempt.Request->Address, &answer->Report);
    if (TargetSaysNotRun(*answer))
    {
        answer->Outcome = Outcome_NotRun;
        answer->Code = Code_TargetRefused;
        return;
    }
    answer->Outcome = answer->Status >= 500 ? Outcome_Failed : Outcome_Answered;
}

static void JudgeFailure(const Attempt& attempt, CURLcode result)
{
    UpstreamAnswer* answer = attempt.Answer;
    if (attempt.Prepared == 0)
    {
        // Nothing was sent: the connection failed, or the last check before sending said no.
        Fail(answer, Outcome_NotSent, attempt.StoppedUnsent ? Code_NoTargetLeft : Code_ConnectFailed);
        return;
    }
    const bool broken = result == CURLE_PARTIAL_FILE || result == CURLE_WEIRD_SERVER_REPLY || result == CURLE_UNSUPPORTED_PROTOCOL ||
                        result == CURLE_BAD_CONTENT_ENCODING;
    const Code_ code = attempt.TooLarge ? Code_AnswerTooLarge : broken ? Code_AnswerBroken : Code_OutcomeUnknown;
    Fail(answer, Outcome_Unknown, code);
}

static void Judge(const Attempt& attempt, WaitEnd_ end, UpstreamHandle* handle)
{
    const CURLcode result = end == WaitEnd_Done ? ResultOf(handle->Multi) : CURLE_OK;
    if (end == WaitEnd_CallerGone)
    {
        const bool unsent = attempt.Prepared == 0;
        Fail(attempt.Answer, unsent ? Outcome_NotSent : Outcome_Cancelled, Code_CallerGone);
    }
    else if (end == WaitEnd_Deadline)
    {
        const bool unsent = attempt.Prepared == 0;
        Fail(attempt.Answer, unsent ? Outcome_NotSent : Outcome_Unknown, unsent ? Code_DeadlineTooShort : Code_DeadlinePassed);
    }
    else if (result == CURLE_OK)
    {
        JudgeAnswer(attempt, handle->Easy);
    }
    else
    {
        JudgeFailure(attempt, result);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Pool
//-----------------------------------------------------------------------------

UpstreamPool::UpstreamPool() = default;

UpstreamPool::~UpstreamPool() = default;

static std::unique_ptr<UpstreamHandle> Take(UpstreamPool* pool, const std::string& address)
{
    const std::lock_guard<std::mutex> lock(pool->Mutex);
    auto found = pool->Idle.find(address);
    if (found == pool->Idle.end() || found->second.empty())
    {
        return std::make_unique<UpstreamHandle>();
    }
    std::unique_ptr<UpstreamHandle> handle = std::move(found->second.back());
    found->second.pop_back();
    return handle;
}

static void GiveBack(UpstreamPool* pool, const std::string& address, std::unique_ptr<UpstreamHandle> handle)
{
    handle->IdleSinceUs = NowUs();
    const std::lock_guard<std::mutex> lock(pool->Mutex);
    pool->Idle[address].push_back(std::move(handle));
}

//-----------------------------------------------------------------------------
// [SECTION] Attempts
//-----------------------------------------------------------------------------

// One attempt from its start to its end.
struct Leg
{
    UpstreamRequest Request;
    UpstreamAnswer Answer;
    Attempt State;
    std::unique_ptr<UpstreamHandle> Handle;
    HeaderList Headers{nullptr, curl_slist_free_all};
    TimeUs StartedUs = 0;
    bool Ended = false;

    Leg() = default;
    Leg(const Leg&) = delete;
    Leg& operator=(const Leg&) = delete;
};

static void StartLeg(UpstreamPool* pool, const UpstreamRequest& request, Leg* leg)
{
    leg->StartedUs = NowUs();
    leg->Request = request;
    leg->Handle = Take(pool, request.Address);
    leg->Headers = MakeHeaders(request.Headers);
    leg->State.Request = &leg->Request;
    leg->State.Pool = pool;
    leg->State.Handle = leg->Handle.get();
    leg->State.Answer = &leg->Answer;
    Prepare(leg->Handle->Easy, leg->Request, &leg->State, leg->Headers.get());
    curl_multi_add_handle(leg->Handle->Multi, leg->Handle->Easy);
}

static void EndLeg(UpstreamPool* pool, WaitEnd_ end, Leg* leg)
{
    UpstreamHandle* handle = leg->Handle.get();
    Judge(leg->State, end, handle);
    curl_multi_remove_handle(handle->Multi, handle->Easy); // Closes the connection of an unfinished transfer: the target sees it.
    curl_easy_reset(handle->Easy);                         // It must not point to this stack frame any more.
    leg->Answer.LatencyUs = NowUs() - leg->StartedUs;
    leg->Ended = true;
    const Outcome_ outcome = leg->Answer.Outcome;
    if (outcome == Outcome_Answered || outcome == Outcome_Failed || outcome == Outcome_NotRun)
    {
        GiveBack(pool, leg->Request.Address, std::move(leg->Handle));
    }
}

// Moves an attempt on without waiting; ends it if it has come to an end.
static void MoveLeg(UpstreamPool* pool, Leg* leg)
{
    if (leg->Ended)
    {
        return;
    }
    int running = 0;
    curl_multi_perform(leg->Handle->Multi, &running);
    if (running == 0)
    {
        EndLeg(pool, WaitEnd_Done, leg);
    }
    else if (NowUs() >= leg->Request.DeadlineUs)
    {
        EndLeg(pool, WaitEnd_Deadline, leg);
    }
}

// Waits for either attempt, the caller, or a time. libcurl polls the sockets of one attempt; of the other we know the socket, but not
// whether it waits to write, so it is looked at often. True if the caller hung up.
static bool WaitForLegs(const Leg& first, const Leg* second, int* caller_fd, TimeUs until)
{
    const bool both = second != nullptr && !second->Ended && !first.Ended;
    const Leg& polled = first.Ended && second != nullptr ? *second : first;
    std::array<curl_waitfd, 2> others = {};
    unsigned count = 0;
    if (*caller_fd >= 0)
    {
        others[count++] = {*caller_fd, CURL_WAIT_POLLIN, 0};
    }
    if (both && second->Handle->Socket >= 0)
    {
        others[count++] = {second->Handle->Socket, CURL_WAIT_POLLIN, 0};
    }
    const TimeUs left = std::max<TimeUs>(until - NowUs(), 0);
    const int most = both ? BothPollMaxMs : PollMaxMs;
    const int wait_ms = static_cast<int>(std::min<TimeUs>((left + UsPerMs - 1) / UsPerMs, most));
    curl_multi_poll(polled.Handle->Multi, others.data(), count, wait_ms, nullptr);
    return CallerIsGone(others[0], caller_fd);
}

static bool IsGood(const Leg& leg)
{
    return leg.Ended && leg.Answer.Outcome == Outcome_Answered;
}

static void EndOutrun(UpstreamPool* pool, Leg* leg)
{
    if (!leg->Ended)
    {
        const bool unsent = leg->State.Prepared == 0;
        EndLeg(pool, WaitEnd_CallerGone, leg);
        Fail(&leg->Answer, unsent ? Outcome_NotSent : Outcome_Outrun, unsent ? Code_DeadlineTooShort : Code_None);
    }
}

// The second attempt, if it is time for it and wanted. `due` becomes "never" once it was asked for.
static std::unique_ptr<Leg> MaybeSecond(UpstreamPool* pool, const UpstreamHedge& hedge, TimeUs* due)
{
    if (NowUs() < *due)
    {
        return nullptr;
    }
    *due = INT64_MAX;
    const std::optional<UpstreamRequest> request = hedge.MakeSecond();
    if (!request)
    {
        return nullptr;
    }
    auto leg = std::make_unique<Leg>();
    StartLeg(pool, *request, leg.get());
    return leg;
}

// Moves both on until one is answered well or both have ended.
static void RunLegs(UpstreamPool* pool, const UpstreamHedge& hedge, Leg* first, std::unique_ptr<Leg>* second)
{
    int caller_fd = first->Request.CallerFd;
    TimeUs due = hedge.AfterUs > 0 ? first->StartedUs + hedge.AfterUs : INT64_MAX;
    while (true)
    {
        MoveLeg(pool, first);
        if (!first->Ended && !*second)
        {
            *second = MaybeSecond(pool, hedge, &due);
        }
        if (*second)
        {
            MoveLeg(pool, second->get());
        }
        const bool all_ended = first->Ended && (!*second || (*second)->Ended);
        if (all_ended || IsGood(*first) || (*second && IsGood(**second)))
        {
            return;
        }
        const bool gone = WaitForLegs(*first, second->get(), &caller_fd, std::min(first->Request.DeadlineUs, due));
        for (Leg* leg : {first, second->get()})
        {
            if (gone && leg != nullptr && !leg->Ended)
            {
                EndLeg(pool, WaitEnd_CallerGone, leg);
            }
        }
    }
}

UpstreamPair UpstreamSendHedged(UpstreamPool* pool, const UpstreamRequest& first, const UpstreamHedge& hedge)
{
    Leg one;
    std::unique_ptr<Leg> two;
    StartLeg(pool, first, &one);
    RunLegs(pool, hedge, &one, &two);
    UpstreamPair pair;
    pair.SecondWon = two && IsGood(*two) && !IsGood(one);
    EndOutrun(pool, &one);
    pair.First = std::move(one.Answer);
    if (two)
    {
        EndOutrun(pool, two.get());
        pair.Second = std::move(two->Answer);
    }
    return pair;
}

UpstreamAnswer UpstreamSend(UpstreamPool* pool, const UpstreamRequest& request)
{
    return UpstreamSendHedged(pool, request, UpstreamHedge()).First;
}

void UpstreamPrune(UpstreamPool* pool, TimeUs now)
{
    std::vector<std::unique_ptr<UpstreamHandle>> closing; // Closed after the mutex is free again.
    const std::lock_guard<std::mutex> lock(pool->Mutex);
    for (auto it = pool->Idle.begin(); it != pool->Idle.end();)
    {
        std::vector<std::unique_ptr<UpstreamHandle>>& list = it->second;
        while (!list.empty() && now - list.front()->IdleSinceUs > IdleMaxUs)
        {
            closing.push_back(std::move(list.front()));
            list.erase(list.begin());
        }
        it = list.empty() ? pool->Idle.erase(it) : std::next(it);
    }
}

void UpstreamClear(UpstreamPool* pool)
{
    const std::lock_guard<std::mutex> lock(pool->Mutex);
    pool->Idle.clear();
}

} // namespace Winchlink
