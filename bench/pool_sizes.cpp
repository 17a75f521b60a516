// pool_sizes.cpp: winchbench pool: measures the time of target-pool operations by the number of targets, and of computing a request's key
// by the size of its body.
//
// The results are printed as Markdown tables.

#include "bench.h"
#include "options.h"
#include "request_key.h"
#include "winchlink_internal.h"

#include <array>
#include <chrono>
#include <fmt/format.h>
#include <functional>

namespace Winchlink
{

static constexpr std::array<int, 6> Sizes = {10, 60, 190, 1300, 2000, 6600};
static constexpr int InProgress = 8;       // Requests in flight.
static constexpr int ProbesPerRequest = 8; // Targets probed for one request.

static double MeasureSeconds(const std::function<void()>& run, int times)
{
    const auto start = std::chrono::steady_clock::now();
    for (int n = 0; n < times; n++)
    {
        run();
    }
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count() / times;
}

static TargetDirectory MakeDirectory(int size)
{
    TargetDirectory directory;
    for (int n = 0; n < size; n++)
    {
        DirectoryTarget target;
        target.Id = fmt::format("i-{:010x}", 0x5bd1e995ULL * static_cast<uint64_t>(n + 1));
        target.Service = "svc";
        target.DataCentre = n % 4 == 0 ? "near" : "far";
        target.Slots = 2;
        target.Revision = 1;
        DirectoryPut(&directory, target, 0);
    }
    return directory;
}

static void ProbeSome(TargetPool* pool, TimeUs now)
{
    std::vector<std::string> probed;
    for (int n = 0; n < ProbesPerRequest; n++)
    {
        PoolTarget* next = PoolNext(pool, probed, false, now);
        probed.push_back(next->Id);
        PoolReport(next, {2, 0, 2, 100}, now);
    }
}

static void MeasurePool(int size)
{
    constexpr int follows = 50;
    constexpr int requests = 2000;
    constexpr TimeUs pause = 50 * UsPerMs; // Simulated time between requests.
    Random random(1);
    TargetDirectory directory = MakeDirectory(size);
    TargetPool pool;
    PoolSync(&pool, DirectoryByService(directory)["svc"], "near", &random);
    TimeUs now = 10 * UsPerSecond;
    std::vector<std::string> busy;
    for (int n = 0; n < InProgress; n++)
    {
        PoolTarget* target = PoolNext(&pool, busy, false, now);
        busy.push_back(target->Id);
        PoolSent(&pool, target);
    }
    DirectoryTarget changed = directory.Targets.begin()->second;
    const auto follow = [&]()
    {
        changed.Revision++;
        DirectoryPut(&directory, changed, now);
        const std::set<std::string> services = DirectoryTakeChanged(&directory);
        PoolSync(&pool, DirectoryOfServices(directory, services).at("svc"), "near", &random);
    };
    const auto probe = [&]()
    {
        now += pause;
        ProbeSome(&pool, now);
    };
    const auto find = [&]()
    {
        PoolFind(&pool, busy.front());
    };
    fmt::print("| {} | {:.3f} | {:.2f} | {:.3f} |\n", size, MeasureSeconds(follow, follows) * 1e3,
               MeasureSeconds(probe, requests) / ProbesPerRequest * 1e6, MeasureSeconds(find, requests) * 1e6);
}

// Measures the time to compute the key by which requests that crash targets are recognised.
static void MeasureRequestKey(size_t body)
{
    constexpr int requests = 200;
    Exchange exchange;
    exchange.Method = "POST";
    exchange.Target = "/renewals/2026/12?page=3";
    exchange.Headers = {{"Host", "renewals.example"}, {"Authorization", std::string(64, 'a')}};
    exchange.Body = std::string(body, 'x');
    const auto make = [&]()
    {
        RequestKey(exchange);
    };
    fmt::print("| {} | {:.2f} |\n", body, MeasureSeconds(make, requests) * 1e6);
}

int RunPool(int argc, const char** argv)
{
    const poptOption table[] = {OPTIONS_TAIL};
    const ParsedOptions parsed = ParseOptions("winchbench pool", argc, argv, table, "");
    if (parsed.Exit)
    {
        return *parsed.Exit;
    }
    fmt::print("| targets | apply a change, ms | choose a target to probe, us | find a target by id, us |\n|---|---|---|---|\n");
    for (const int size : Sizes)
    {
        MeasurePool(size);
    }
    fmt::print("\n| body, bytes | compute the request key, us |\n|---|---|\n");
    for (const size_t body : {size_t{0}, KiB, 64 * KiB, MiB, 4 * MiB})
    {
        MeasureRequestKey(body);
    }
    return 0;
}

} // namespace Winchlink
