// common.cpp: what the commands of the bench tool share.
//
// Index of this file:
// [SECTION] HTTP calls
// [SECTION] Numbers

#include "bench.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <csignal>
#include <thread>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] HTTP calls
//-----------------------------------------------------------------------------

HttpClient::HttpClient() : Easy(curl_easy_init())
{
}

HttpClient::~HttpClient()
{
    curl_easy_cleanup(Easy);
}

static size_t OnAnswerBody(char* data, size_t size, size_t count, void* user)
{
    static_cast<HttpAnswer*>(user)->Body.append(data, size * count);
    return size * count;
}

static size_t OnAnswerHeader(char* data, size_t size, size_t count, void* user)
{
    const std::string line(data, size * count);
    const size_t colon = line.find(": ");
    if (colon != std::string::npos && line.size() >= colon + 4)
    {
        static_cast<HttpAnswer*>(user)->Headers.push_back({line.substr(0, colon), line.substr(colon + 2, line.size() - colon - 4)});
    }
    return line.size();
}

// Right before the request leaves; the second time would be libcurl's repetition on a new connection.
static int OnBeforeSending(void* user, char*, char*, int, int)
{
    auto* answer = static_cast<HttpAnswer*>(user);
    const bool repetition = answer->Sent;
    answer->Sent = true;
    return repetition ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static curl_slist* MakeList(const std::vector<Header>& headers)
{
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    for (const Header& header : headers)
    {
        list = curl_slist_append(list, (header.Name + ": " + header.Value).c_str());
    }
    return list;
}

static std::string DescribeFailure(CURL* easy, CURLcode code)
{
    long opened = 0;
    long os_error = 0;
    curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &opened);
    curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &os_error);
    const char* connection = opened > 0 ? "new" : "kept";
    return std::string(curl_easy_strerror(code)) + ", " + connection + " connection, errno " + std::to_string(os_error);
}

HttpAnswer HttpSend(HttpClient* client, const HttpCall& call)
{
    HttpAnswer answer;
    CURL* easy = client->Easy;
    curl_easy_reset(easy);
    const std::string url = "http://" + call.Address + call.Path;
    curl_slist* list = MakeList(call.Headers);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.TimeoutMs));
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnAnswerBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnAnswerHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &answer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, OnBeforeSending);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &answer);
    if (call.Method != "GET")
    {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.Body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.Body.data());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.Method.c_str());
    }
    const CURLcode code = curl_easy_perform(easy);
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    answer.Status = code == CURLE_OK ? static_cast<int>(status) : 0;
    answer.Failure = code == CURLE_OK ? "" : DescribeFailure(easy, code);
    curl_slist_free_all(list);
    return answer;
}

HttpAnswer HttpOnce(const HttpCall& call)
{
    HttpClient client;
    return HttpSend(&client, call);
}

std::string QueryValue(const std::string& path, const std::string& key)
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
// [SECTION] Numbers
//-----------------------------------------------------------------------------

double QuantileOf(std::vector<double>* samples, double quantile)
{
    if (samples->empty())
    {
        return 0;
    }
    std::sort(samples->begin(), samples->end());
    const double rank = std::ceil(quantile * static_cast<double>(samples->size()));
    const size_t index = static_cast<size_t>(std::max(rank, 1.0)) - 1;
    return (*samples)[std::min(index, samples->size() - 1)];
}

Spread SpreadOf(std::vector<double> values)
{
    Spread spread;
    spread.Median = QuantileOf(&values, 0.5);
    spread.Least = values.empty() ? 0 : values.front();
    spread.Most = values.empty() ? 0 : values.back();
    return spread;
}

Line FitLine(const std::vector<double>& x, const std::vector<double>& y)
{
    const double n = static_cast<double>(x.size());
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    double syy = 0;
    for (size_t i = 0; i < x.size(); i++)
    {
        sx += x[i];
        sy += y[i];
        sxx += x[i] * x[i];
        sxy += x[i] * y[i];
        syy += y[i] * y[i];
    }
    Line line;
    const double dx = n * sxx - sx * sx;
    const double dy = n * syy - sy * sy;
    const double dxy = n * sxy - sx * sy;
    line.Slope = dx != 0 ? dxy / dx : 0;
    line.Intercept = n > 0 ? (sy - line.Slope * sx) / n : 0;
    line.R2 = dx != 0 && dy != 0 ? dxy * dxy / (dx * dy) : 1;
    return line;
}

bool WaitFor(TimeUs most, const std::function<bool()>& condition)
{
    const TimeUs until = NowUs() + most;
    while (!condition())
    {
        if (NowUs() >= until)
        {
            return false;
        }
        SleepUs(10 * UsPerMs);
    }
    return true;
}

void SleepUs(TimeUs us)
{
    if (us > 0)
    {
        std::this_thread::sleep_for(std::chrono::microseconds(us));
    }
}

} // namespace Winchlink
