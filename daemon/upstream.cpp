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

#include "upstream.h"

#include "clock.h"
#include "names.h"

#include <cstring>
#include <strings.h>
#include <sys/socket.h>

namespace Winchlink
{

static constexpr TimeUs IdleMaxUs = 20 * UsPerSecond; // A connection idle for longer is closed.
static constexpr long IdleReuseMaxSeconds = 15;       // libcurl does not reuse one idle for longer; targets close theirs.
static constexpr int PollMaxMs = 1000;                // Longest wait in one poll.
static constexpr long ConnectMaxMs = 1000;            // A target on our own network that takes longer is not there.

//-----------------------------------------------------------------------------
// [SECTION] Headers
//-----------------------------------------------------------------------------

bool SameHeader(const std::string& a, const std::string& b)
{
    return strcasecmp(a.c_str(), b.c_str()) == 0;
}

const std::string* FindHeader(const std::vector<Header>& headers, const std::string& name)
{
    for (const Header& header : headers)
    {
        if (SameHeader(header.Name, name))
        {
            return &header.Value;
        }
    }
    return nullptr;
}

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

static std::string Trim(const std::string& text)
{
    const char* blanks = " \t\r\n";
    const size_t first = text.find_first_not_of(blanks);
    if (first == std::string::npos)
    {
        return "";
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
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
        attempt->Answer->Headers.push_back({line.substr(0, colon), Trim(line.substr(colon + 1))});
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

static size_t OnConnectionOpened(void* user, curl_socket_t, curlsocktype)
{
    static_cast<UpstreamPool*>(user)->ConnectionsOpened++;
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
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, attempt->Pool);
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

// One round of waiting for the target, the deadline or the caller's hang-up.
static WaitEnd_ WaitOnce(CURLM* multi, const UpstreamRequest& request, int* caller_fd)
{
    int running = 0;
    curl_multi_perform(multi, &running);
    if (running == 0)
    {
        return WaitEnd_Done;
    }
    const TimeUs left = request.DeadlineUs - NowUs();
    if (left <= 0)
    {
        return WaitEnd_Deadline;
    }
    curl_waitfd caller = {};
    caller.fd = *caller_fd;
    caller.events = CURL_WAIT_POLLIN;
    const int wait_ms = static_cast<int>(std::min<TimeUs>((left + UsPerMs - 1) / UsPerMs, PollMaxMs));
    curl_multi_poll(multi, &caller, *caller_fd >= 0 ? 1 : 0, wait_ms, nullptr);
    if (*caller_fd >= 0 && caller.revents != 0)
    {
        const CallerState_ state = LookAtCaller(*caller_fd);
        if (state == CallerState_Gone)
        {
            return WaitEnd_CallerGone;
        }
        *caller_fd = state == CallerState_Ahead ? -1 : *caller_fd;
    }
    return WaitEnd_None;
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

UpstreamAnswer UpstreamSend(UpstreamPool* pool, const UpstreamRequest& request)
{
    const TimeUs start = NowUs();
    UpstreamAnswer answer;
    Attempt attempt;
    attempt.Request = &request;
    attempt.Pool = pool;
    attempt.Answer = &answer;
    std::unique_ptr<UpstreamHandle> handle = Take(pool, request.Address);
    const HeaderList headers = MakeHeaders(request.Headers);
    Prepare(handle->Easy, request, &attempt, headers.get());
    curl_multi_add_handle(handle->Multi, handle->Easy);
    int caller_fd = request.CallerFd;
    WaitEnd_ end = WaitEnd_None;
    while (end == WaitEnd_None)
    {
        end = WaitOnce(handle->Multi, request, &caller_fd);
    }
    Judge(attempt, end, handle.get());
    curl_multi_remove_handle(handle->Multi, handle->Easy); // Closes the connection of an unfinished transfer: the target sees it.
    curl_easy_reset(handle->Easy);                         // It must not point to this stack frame any more.
    answer.LatencyUs = NowUs() - start;
    if (answer.Outcome == Outcome_Answered || answer.Outcome == Outcome_Failed || answer.Outcome == Outcome_NotRun)
    {
        GiveBack(pool, request.Address, std::move(handle));
    }
    return answer;
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
