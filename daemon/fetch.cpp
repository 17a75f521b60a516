// fetch.cpp: HTTP fetches of the control thread, none of which blocks.

#include "fetch.h"

#include <algorithm>

namespace Winchlink
{

struct Fetch
{
    CURL* Easy = nullptr; // Owned.
    FetchResult Result;   // Being filled.
    size_t Most = 0;      // Largest body in bytes.
};

Fetcher::Fetcher() = default;

Fetcher::~Fetcher()
{
    FetcherStop(this);
}

void FetcherStart(Fetcher* fetcher)
{
    fetcher->Multi = curl_multi_init();
}

void FetcherStop(Fetcher* fetcher)
{
    for (const std::unique_ptr<Fetch>& fetch : fetcher->Running)
    {
        curl_multi_remove_handle(fetcher->Multi, fetch->Easy);
        curl_easy_cleanup(fetch->Easy);
    }
    fetcher->Running.clear();
    if (fetcher->Multi != nullptr)
    {
        curl_multi_cleanup(fetcher->Multi);
        fetcher->Multi = nullptr;
    }
}

static size_t OnFetchBody(char* data, size_t size, size_t count, void* user)
{
    auto* fetch = static_cast<Fetch*>(user);
    if (fetch->Result.Body.size() + size * count > fetch->Most)
    {
        fetch->Result.Detail = "larger than " + std::to_string(fetch->Most) + " bytes";
        return 0;
    }
    fetch->Result.Body.append(data, size * count);
    return size * count;
}

static size_t OnFetchHeader(char* data, size_t size, size_t count, void* user)
{
    auto* fetch = static_cast<Fetch*>(user);
    const std::string line(data, size * count);
    const size_t colon = line.find(':');
    const size_t end = line.find_last_not_of("\r\n");
    const size_t value = colon != std::string::npos ? line.find_first_not_of(' ', colon + 1) : std::string::npos;
    if (value != std::string::npos && end != std::string::npos && value <= end)
    {
        fetch->Result.Headers.push_back({line.substr(0, colon), line.substr(value, end - value + 1)});
    }
    return line.size();
}

uint64_t FetchStart(Fetcher* fetcher, const std::string& address, const std::string& path, int timeout_ms, size_t most)
{
    auto fetch = std::make_unique<Fetch>();
    fetch->Easy = curl_easy_init();
    fetch->Result.Id = ++fetcher->LastId;
    fetch->Most = most;
    const std::string url = "http://" + address + path;
    curl_easy_setopt(fetch->Easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(fetch->Easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(fetch->Easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(fetch->Easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_ms));
    curl_easy_setopt(fetch->Easy, CURLOPT_WRITEFUNCTION, OnFetchBody);
    curl_easy_setopt(fetch->Easy, CURLOPT_WRITEDATA, fetch.get());
    curl_easy_setopt(fetch->Easy, CURLOPT_HEADERFUNCTION, OnFetchHeader);
    curl_easy_setopt(fetch->Easy, CURLOPT_HEADERDATA, fetch.get());
    curl_multi_add_handle(fetcher->Multi, fetch->Easy);
    fetcher->Running.push_back(std::move(fetch));
    return fetcher->LastId;
}

void FetcherPoll(Fetcher* fetcher, std::vector<curl_waitfd> others, int timeout_ms)
{
    curl_multi_poll(fetcher->Multi, others.data(), static_cast<unsigned>(others.size()), timeout_ms, nullptr);
}

void FetcherWake(Fetcher* fetcher)
{
    curl_multi_wakeup(fetcher->Multi);
}

static FetchResult Finish(Fetcher* fetcher, size_t index, CURLcode code)
{
    Fetch* fetch = fetcher->Running[index].get();
    FetchResult result = std::move(fetch->Result);
    long status = 0;
    curl_easy_getinfo(fetch->Easy, CURLINFO_RESPONSE_CODE, &status);
    result.Status = static_cast<int>(status);
    result.Ok = code == CURLE_OK;
    if (!result.Ok && result.Detail.empty())
    {
        result.Detail = curl_easy_strerror(code);
    }
    curl_multi_remove_handle(fetcher->Multi, fetch->Easy);
    curl_easy_cleanup(fetch->Easy);
    fetcher->Running.erase(fetcher->Running.begin() + static_cast<std::ptrdiff_t>(index));
    return result;
}

std::vector<FetchResult> FetchTake(Fetcher* fetcher)
{
    std::vector<FetchResult> ended;
    int running = 0;
    curl_multi_perform(fetcher->Multi, &running);
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(fetcher->Multi, &left))
    {
        const CURLcode code = message->data.result;
        const CURL* easy = message->easy_handle;
        auto same = [&](const std::unique_ptr<Fetch>& fetch)
        {
            return fetch->Easy == easy;
        };
        auto found = std::find_if(fetcher->Running.begin(), fetcher->Running.end(), same);
        if (found != fetcher->Running.end())
        {
            ended.push_back(Finish(fetcher, static_cast<size_t>(found - fetcher->Running.begin()), code));
        }
    }
    return ended;
}

} // namespace Winchlink
