// pages.cpp: what operators and the platform's balancer see.
//
// Index of this file:
// [SECTION] Status
// [SECTION] Metrics
// [SECTION] Server

#include "pages.h"

#include "clock.h"
#include "winchlink_json.h"

#include <fmt/format.h>
#include <sys/resource.h>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Status
//-----------------------------------------------------------------------------

static json_t* JsonMs(TimeUs us)
{
    return json_integer(us / UsPerMs);
}

static const char* StateName(InstanceState_ state)
{
    static const std::array<const char*, InstanceState_COUNT> names = {"joining", "serving", "leaving"};
    return names[state];
}

// Why a target gets work, or why not: one word that an operator can act on.
static std::string WhyOf(const RouterTarget& target, TimeUs now)
{
    if (target.Leaving)
    {
        return "no work: leaving";
    }
    if (target.Weight == 0)
    {
        return "no work: weight 0";
    }
    if (target.OutUntilUs > now)
    {
        return fmt::format("no work: failing, next trial in {} ms", (target.OutUntilUs - now) / UsPerMs);
    }
    if (target.OutUntilUs != 0)
    {
        return "on trial after failing";
    }
    if (target.InFlight >= target.MaxInFlight)
    {
        return "full: this instance's share of the connections is in use";
    }
    return "gets work";
}

static json_t* JsonOfTarget(const RouterTarget& target, TimeUs now)
{
    json_t* object = json_object();
    json_object_set_new(object, "address", JsonText(target.Address));
    json_object_set_new(object, "why", JsonText(WhyOf(target, now)));
    json_object_set_new(object, "inFlight", json_integer(target.InFlight));
    json_object_set_new(object, "maxInFlight", json_integer(target.MaxInFlight));
    json_object_set_new(object, "latencyUs", json_integer(static_cast<json_int_t>(target.LatencyUs)));
    json_object_set_new(object, "failShare", json_real(target.FailShare));
    json_object_set_new(object, "reportedBusyOfOthers", json_integer(target.ReportBusy));
    json_object_set_new(object, "reportAgeMs", target.ReportUs == 0 ? json_null() : JsonMs(now - target.ReportUs));
    json_object_set_new(object, "startId", JsonNumber(target.StartId));
    return object;
}

static json_t* JsonOfEnded(const RowMetrics& metrics)
{
    json_t* object = json_object();
    for (const CodeCount& count : metrics.Ended)
    {
        json_object_set_new(object, FindCode(count.Code).Name, JsonNumber(count.Count));
    }
    return object;
}

static json_t* JsonOfPermits(RowPermits* limit, TimeUs now)
{
    const std::lock_guard<std::mutex> lock(limit->Mutex);
    const Permits& book = limit->Book;
    int lent = 0;
    int borrowed = 0;
    int borrowed_in_use = 0;
    for (const LentPermits& lease : book.Lent)
    {
        lent += now < lease.UntilUs ? lease.Count : 0;
    }
    for (const BorrowedPermits& lease : book.Borrowed)
    {
        borrowed += lease.Count;
        borrowed_in_use += lease.InUse;
    }
    json_t* object = json_object();
    json_object_set_new(object, "limit", json_integer(book.Limit));
    json_object_set_new(object, "own", json_integer(PermitsOwn(book, now)));
    json_object_set_new(object, "ownInUse", json_integer(book.InUse));
    json_object_set_new(object, "lent", json_integer(lent));
    json_object_set_new(object, "borrowed", json_integer(borrowed));
    json_object_set_new(object, "borrowedInUse", json_integer(borrowed_in_use));
    json_object_set_new(object, "leasesTaken", JsonNumber(book.LeasesTaken));
    json_object_set_new(object, "leasesGiven", JsonNumber(book.LeasesGiven));
    return object;
}

static json_t* JsonOfRow(const ServiceRow& row, RowState* state, TimeUs now)
{
    json_t* permits = JsonOfPermits(&state->Limit, now);
    const std::lock_guard<std::mutex> lock(state->Mutex);
    json_t* targets = json_array();
    for (const RouterTarget& target : state->Balance.Targets)
    {
        json_array_append_new(targets, JsonOfTarget(target, now));
    }
    const LatencyHistogram& histogram = state->Metrics.Latency.Histogram;
    json_t* object = json_object();
    json_object_set_new(object, "name", JsonText(row.Name));
    json_object_set_new(object, "class", json_string(ClassName(row.Class)));
    json_object_set_new(object, "revision", JsonNumber(row.Revision));
    json_object_set_new(object, "inFlight", json_integer(state->Balance.InFlight));
    json_object_set_new(object, "maxConcurrent", json_integer(state->Balance.MaxConcurrent));
    json_object_set_new(object, "permits", permits);
    json_object_set_new(object, "retryTokens", json_real(state->Retries.Tokens));
    json_object_set_new(object, "retries", JsonNumber(state->Metrics.Retries));
    json_object_set_new(object, "hedges", JsonNumber(state->Metrics.Hedges));
    json_object_set_new(object, "hedgesWon", JsonNumber(state->Metrics.HedgesWon));
    json_object_set_new(object, "hedgeAfterMs", json_real(state->Balance.SlowUs / UsPerMs));
    json_object_set_new(object, "ended", JsonOfEnded(state->Metrics));
    json_object_set_new(object, "p50Ms", json_real(LatencyQuantile(histogram, 0.5) * 1000));
    json_object_set_new(object, "p99Ms", json_real(LatencyQuantile(histogram, 0.99) * 1000));
    json_object_set_new(object, "targets", targets);
    return object;
}

static json_t* JsonOfTable(const ControlView& view, TimeUs now)
{
    json_t* object = json_object();
    json_object_set_new(object, "revision", JsonNumber(view.InForce.Revision));
    json_object_set_new(object, "digest", JsonText(FormatDigest(view.InForce.TableDigest)));
    json_object_set_new(object, "inForceForMs", view.InForce.Revision == 0 ? json_null() : JsonMs(now - view.AdoptedUs));
    json_object_set_new(object, "acceptedRevision", JsonNumber(view.Accepted.Revision));
    json_object_set_new(object, "conflicts", JsonNumber(view.Conflicts));
    json_object_set_new(object, "refusedRevision", JsonNumber(view.RefusedRevision));
    json_object_set_new(object, "refusedReason", JsonText(view.RefusedReason));
    json_object_set_new(object, "unconfirmedByPeers", json_boolean(view.Alone));
    return object;
}

static json_t* JsonOfPlatform(const ControlView& view, TimeUs now)
{
    json_t* object = json_object();
    json_object_set_new(object, "isReader", json_boolean(view.PlatformReads));
    json_object_set_new(object, "lastContactAgoMs", view.PlatformContactUs == 0 ? json_null() : JsonMs(now - view.PlatformContactUs));
    json_object_set_new(object, "servesRevision", JsonNumber(view.PlatformSeen));
    json_object_set_new(object, "servesOlder", json_boolean(view.PlatformOlder));
    json_object_set_new(object, "calls", JsonNumber(view.PlatformCalls));
    json_object_set_new(object, "failures", JsonNumber(view.PlatformFailures));
    return object;
}

static json_t* JsonOfPeers(const ControlView& view)
{
    json_t* list = json_array();
    for (const PeerView& peer : view.Peers)
    {
        json_t* object = json_object();
        json_object_set_new(object, "address", JsonText(peer.Address));
        json_object_set_new(object, "heardAgoMs", JsonMs(peer.HeardAgoUs));
        json_object_set_new(object, "direct", json_boolean(peer.Direct));
        json_object_set_new(object, "revision", JsonNumber(peer.Revision));
        json_array_append_new(list, object);
    }
    return list;
}

static json_t* JsonOfMessages(const ControlView& view)
{
    json_t* object = json_object();
    json_object_set_new(object, "sent", JsonNumber(view.Messages.Sent));
    json_object_set_new(object, "sentBytes", JsonNumber(view.Messages.SentBytes));
    json_object_set_new(object, "received", JsonNumber(view.Messages.Received));
    json_object_set_new(object, "receivedBytes", JsonNumber(view.Messages.ReceivedBytes));
    json_object_set_new(object, "refused", JsonNumber(view.Messages.Refused));
    json_object_set_new(object, "deltas", JsonNumber(view.Messages.DeltasApplied));
    json_object_set_new(object, "wholes", JsonNumber(view.Messages.WholesApplied));
    json_object_set_new(object, "streamsDropped", JsonNumber(view.StreamsDropped));
    json_object_set_new(object, "permitAsks", JsonNumber(view.Permits.Asks));
    json_object_set_new(object, "permitAsksHeldBack", JsonNumber(view.Permits.HeldBack));
    return object;
}

static json_t* JsonOfProcess(const Pages& pages, const ControlView& view, TimeUs now)
{
    rusage usage = {};
    getrusage(RUSAGE_SELF, &usage);
    json_t* object = json_object();
    json_object_set_new(object, "version", json_string(Version));
    json_object_set_new(object, "dataCentre", JsonText(pages.Config.DataCentre));
    json_object_set_new(object, "state", json_string(StateName(view.State)));
    json_object_set_new(object, "upMs", JsonMs(now - pages.StartedUs));
    json_object_set_new(object, "inProgress", json_integer(pages.Routes->InProgress));
    json_object_set_new(object, "peersSeen", JsonNumber(view.Peers.size()));
    json_object_set_new(object, "awake", json_boolean(RoutingIsAwake(*pages.Routes)));
    json_object_set_new(object, "pauses", JsonNumber(view.Pauses));
    json_object_set_new(object, "controlCpuUs", json_integer(view.CpuUs));
    json_object_set_new(object, "maxResidentKb", json_integer(usage.ru_maxrss));
    json_object_set_new(object, "connectionsOpened", JsonNumber(pages.Upstream->ConnectionsOpened));
    json_object_set_new(object, "replaysStopped", JsonNumber(pages.Upstream->ReplaysStopped));
    return object;
}

std::string FormatStatus(Pages* pages, bool brief)
{
    const TimeUs now = NowUs();
    const ControlViewPtr view = ControlLatest(*pages->Plane);
    const SnapshotPtr snapshot = RoutingLatest(*pages->Routes);
    json_t* measuring = json_object();
    json_object_set_new(measuring, "probes", JsonNumber(view->Measuring.Probes));
    json_object_set_new(measuring, "spentMs", JsonNumber(view->Measuring.SpentUs / UsPerMs));
    json_t* rows = json_array();
    for (size_t n = 0; !brief && n < snapshot->States.size(); n++)
    {
        json_array_append_new(rows, JsonOfRow(snapshot->Rows->Rows[n], snapshot->States[n].State.get(), now));
    }
    json_t* object = json_object();
    json_object_set_new(object, "instance", JsonOfProcess(*pages, *view, now));
    json_object_set_new(object, "table", JsonOfTable(*view, now));
    json_object_set_new(object, "platform", JsonOfPlatform(*view, now));
    json_object_set_new(object, "measuring", measuring);
    json_object_set_new(object, "messages", JsonOfMessages(*view));
    json_object_set_new(object, "peers", JsonOfPeers(*view));
    json_object_set_new(object, "rows", rows);
    return DumpJson(object, JSON_INDENT(1));
}

//-----------------------------------------------------------------------------
// [SECTION] Metrics
//-----------------------------------------------------------------------------

static std::string Metric(const char* name, const char* kind, const char* help, uint64_t value)
{
    return fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n{0} {3}\n", name, help, kind, value);
}

static std::string FormatControlMetrics(const Pages& pages, const ControlView& view)
{
    std::string text;
    text += Metric("winchlink_table_revision", "gauge", "Revision in force.", view.InForce.Revision);
    text += Metric("winchlink_table_accepted_revision", "gauge", "Highest revision known to be held by enough instances.",
                   view.Accepted.Revision);
    text += Metric("winchlink_table_conflicts_total", "counter", "Two contents under one revision.", view.Conflicts);
    text += Metric("winchlink_table_refused_revision", "gauge", "Newer revision that was not taken; 0 if none.", view.RefusedRevision);
    text += Metric("winchlink_peers", "gauge", "Live peers seen.", view.Peers.size());
    text += Metric("winchlink_platform_calls_total", "counter", "Calls of the platform's service.", view.PlatformCalls);
    text += Metric("winchlink_platform_failures_total", "counter", "Calls that were not answered.", view.PlatformFailures);
    text += Metric("winchlink_probes_total", "counter", "Probes sent.", view.Measuring.Probes);
    text += Metric("winchlink_probe_target_microseconds_total", "counter", "Target time charged for probes.", view.Measuring.SpentUs);
    text += Metric("winchlink_messages_sent_total", "counter", "Messages to peers.", view.Messages.Sent);
    text += Metric("winchlink_messages_sent_bytes_total", "counter", "Bytes to peers.", view.Messages.SentBytes);
    text += Metric("winchlink_messages_received_total", "counter", "Messages from peers.", view.Messages.Received);
    text += Metric("winchlink_messages_received_bytes_total", "counter", "Bytes from peers.", view.Messages.ReceivedBytes);
    text += Metric("winchlink_messages_refused_total", "counter", "Messages without a valid mark, malformed or replayed.",
                   view.Messages.Refused);
    text += Metric("winchlink_streams_dropped_total", "counter", "Messages over TCP that were given up.", view.StreamsDropped);
    text += Metric("winchlink_permit_asks_total", "counter", "Times that a peer was asked for permits.", view.Permits.Asks);
    text += Metric("winchlink_permit_asks_held_back_total", "counter", "Times that asking had to wait for its own rate limit.",
                   view.Permits.HeldBack);
    text += Metric("winchlink_pauses_total", "counter", "Pauses of this process noticed.", view.Pauses);
    text += Metric("winchlink_control_cpu_microseconds_total", "counter", "Processor time of the control thread.",
                   static_cast<uint64_t>(view.CpuUs));
    text += Metric("winchlink_requests_in_progress", "gauge", "Requests in progress.", static_cast<uint64_t>(pages.Routes->InProgress));
    text += Metric("winchlink_upstream_connections_opened_total", "counter", "Connections opened to targets.",
                   pages.Upstream->ConnectionsOpened);
    text += Metric("winchlink_replays_stopped_total", "counter", "Requests that libcurl would have sent twice.",
                   pages.Upstream->ReplaysStopped);
    text += Metric("winchlink_reports_dropped_total", "counter", "Reports of targets dropped, queue full.", pages.Routes->ReportsDropped);
    return text;
}

static std::string FormatEnded(const std::string& labels, const RowMetrics& metrics)
{
    std::string text;
    for (const CodeCount& count : metrics.Ended)
    {
        const char* name = FindCode(count.Code).Name;
        text += fmt::format("winchlink_requests_total{{{},code=\"{}\",result=\"{}\"}} {}\n", labels, static_cast<int>(count.Code), name,
                            count.Count);
    }
    return text;
}

std::string FormatMetrics(Pages* pages)
{
    const ControlViewPtr view = ControlLatest(*pages->Plane);
    const SnapshotPtr snapshot = RoutingLatest(*pages->Routes);
    std::string text = FormatControlMetrics(*pages, *view);
    std::array<LatencyStats, Class_COUNT> classes;
    text += "# HELP winchlink_requests_total Requests by result code.\n# TYPE winchlink_requests_total counter\n";
    std::string latencies = "# HELP winchlink_request_seconds Time from arrival to answer.\n# TYPE winchlink_request_seconds histogram\n";
    for (size_t n = 0; n < snapshot->States.size(); n++)
    {
        const ServiceRow& row = snapshot->Rows->Rows[n];
        const std::string labels = fmt::format("row=\"{}\",class=\"{}\"", row.Name, ClassName(row.Class));
        RowState* state = snapshot->States[n].State.get();
        const std::lock_guard<std::mutex> lock(state->Mutex);
        text += FormatEnded(labels, state->Metrics);
        latencies += FormatLatency("winchlink_request_seconds", labels, state->Metrics.Latency);
        classes[row.Class].Histogram += state->Metrics.Latency.Histogram;
    }
    {
        const std::lock_guard<std::mutex> lock(pages->Calls->Mutex);
        text += FormatEnded("row=\"\",class=\"\"", pages->Calls->Refused);
    }
    latencies += "# HELP winchlink_class_quantile_seconds Latency quantiles of a class.\n# TYPE winchlink_class_quantile_seconds gauge\n";
    for (int n = 0; n < Class_COUNT; n++)
    {
        for (const double quantile : {0.5, 0.99, 0.999})
        {
            const double value = LatencyQuantile(classes[static_cast<size_t>(n)].Histogram, quantile);
            latencies += fmt::format("winchlink_class_quantile_seconds{{class=\"{}\",quantile=\"{}\"}} {:.6g}\n",
                                     ClassName(static_cast<Class_>(n)), quantile, value);
        }
    }
    return text + latencies;
}

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

static ServerResponse ReadyPage(const Pages& pages)
{
    const bool serving = RoutingLatest(*pages.Routes)->Serving && !pages.Routes->Leaving && RoutingIsAwake(*pages.Routes);
    const bool ready = serving && NowUs() >= pages.Routes->PermitsFromUs;
    ServerResponse response;
    response.Status = ready ? 200 : 503;
    response.Headers = {{"Content-Type", "text/plain"}};
    response.Body = ready ? "ready\n" : "not ready\n";
    return response;
}

static ServerResponse HandlePage(Pages* pages, const ServerRequest& request)
{
    if (request.Path == "/ready")
    {
        return ReadyPage(*pages);
    }
    const bool brief = request.Path == "/status?brief=1";
    if (request.Path == "/status" || brief)
    {
        return {200, {{"Content-Type", "application/json"}}, FormatStatus(pages, brief), false};
    }
    if (request.Path == "/metrics")
    {
        return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, FormatMetrics(pages), false};
    }
    return {404, {{"Content-Type", "text/plain"}}, "pages: /ready /status /metrics\n", false};
}

Result<void> PagesStart(Pages* pages, const Kernel& kernel)
{
    pages->Routes = KernelFind<Routing>(kernel, "routing");
    pages->Plane = KernelFind<Control>(kernel, "control");
    pages->Calls = KernelFind<Traffic>(kernel, "traffic");
    pages->Upstream = KernelFind<UpstreamPool>(kernel, "upstream");
    pages->StartedUs = NowUs();
    ServerConfig config;
    config.Address = pages->Config.OperatorAddress;
    config.ConnectionsMax = 64;
    return ServerStart(&pages->Listener, config, [pages](const ServerRequest& request) { return HandlePage(pages, request); });
}

void PagesStop(Pages* pages)
{
    ServerStop(&pages->Listener);
}

} // namespace Winchlink
