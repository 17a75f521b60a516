// pages.cpp: the pages for operators.
//
// Index of this file:
// [SECTION] Metrics
// [SECTION] Status

#include "pages.h"

#include "clock.h"
#include "winchlink_internal.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>
#include <sys/resource.h>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Metrics
//-----------------------------------------------------------------------------

static std::string EndedText(const std::string& service, const RowMetrics& metrics)
{
    std::string text;
    for (const CodeCount& count : metrics.Ended)
    {
        text +=
            fmt::format("winchlink_requests_ended{{service=\"{}\",code=\"{}\"}} {}\n", service, static_cast<int>(count.Code), count.Count);
    }
    return text;
}

static std::string ServiceText(const std::string& name, const ServiceState& service)
{
    std::string text = FormatLatency("winchlink_request_seconds", fmt::format("service=\"{}\"", name), service.Metrics.Latency);
    text += EndedText(name, service.Metrics);
    text += fmt::format("winchlink_repeats{{service=\"{}\"}} {}\n", name, service.Metrics.Retries);
    text += fmt::format("winchlink_repeats_refused{{service=\"{}\"}} {}\n", name, service.Metrics.RetriesRefused);
    text += fmt::format("winchlink_repeats_kept{{service=\"{}\"}} {}\n", name, service.Metrics.RetriesKept);
    const SignalCounters& signals = service.Signals;
    text += fmt::format("winchlink_target_signals{{service=\"{}\",signal=\"limit\"}} {}\n", name, signals.Limits);
    text += fmt::format("winchlink_target_signals{{service=\"{}\",signal=\"backoff\"}} {}\n", name, signals.Backoffs);
    text += fmt::format("winchlink_target_signals{{service=\"{}\",signal=\"leaving\"}} {}\n", name, signals.Draining);
    text += fmt::format("winchlink_target_signals{{service=\"{}\",signal=\"unreadable\"}} {}\n", name, signals.Invalid);
    text += fmt::format("winchlink_passed_over_for_limit{{service=\"{}\"}} {}\n", name, signals.OverLimit);
    text += fmt::format("winchlink_question_limit_us{{service=\"{}\"}} {}\n", name, ProbeTimeoutNow(service.ProbeTimeout));
    for (int end = ContactEnd_Answered; end < ContactEnd_COUNT; end++)
    {
        text += fmt::format("winchlink_target_contacts{{service=\"{}\",end=\"{}\"}} {}\n", name,
                            ContactEndName(static_cast<ContactEnd_>(end)), service.Path.Contacts[end]);
    }
    text += fmt::format("winchlink_target_path_open{{service=\"{}\"}} {}\n", name, service.Path.State == TargetPathState_Open ? 1 : 0);
    text += fmt::format("winchlink_target_path_losses{{service=\"{}\"}} {}\n", name, service.Path.Losses);
    text += fmt::format("winchlink_nearly_full_factor{{service=\"{}\"}} {:.3f}\n", name, service.Pool.NearlyFullFactor);
    return text;
}

static std::string StoreCallsText(const StoreReader& store)
{
    std::string text = fmt::format("winchlink_store_calls {}\n", StoreCalls(store));
    for (int reason = StoreReason_None + 1; reason < StoreReason_COUNT; reason++)
    {
        const char* name = StoreReasonName(static_cast<StoreReason_>(reason));
        text += fmt::format("winchlink_store_calls_for{{reason=\"{}\"}} {}\n", name, store.StoreCallsFor[reason]);
    }
    text += fmt::format("winchlink_store_failures {}\n", store.CallsFailed);
    text += fmt::format("winchlink_source_changes {}\n", store.SourceChanges);
    text += fmt::format("winchlink_reads_store {}\n", FollowSource(store.Following).Kind == SourceKind_Store ? 1 : 0);
    return text + fmt::format("winchlink_data_revision {}\n", store.Following.Revision);
}

// One line for each data centre with a known evacuation entry: 1 while it is evacuated.
static std::string EvacuationsText(const TargetDirectory& directory)
{
    std::string text;
    for (const auto& [data_centre, evacuation] : directory.Evacuations)
    {
        text += fmt::format("winchlink_evacuated{{dataCentre=\"{}\"}} {}\n", data_centre, evacuation.InForce ? 1 : 0);
    }
    return text;
}

static int64_t CountLimited(const Quota& limits)
{
    return std::count_if(limits.Limits.begin(), limits.Limits.end(), [](const auto& named) { return named.second.InForce; });
}

static std::string QuotasText(const Gateway& gateway)
{
    std::string text;
    for (const auto& [customer, counters] : gateway.Requests.ByCustomer)
    {
        text += fmt::format("winchlink_customer_admitted{{customer=\"{}\"}} {}\n", customer, counters.Admitted);
        text += fmt::format("winchlink_customer_refused{{customer=\"{}\"}} {}\n", customer, counters.Refused);
    }
    const Quota& quotas = gateway.Requests.Quotas;
    text += fmt::format("winchlink_quota_instances {}\n", quotas.MembersMax);
    text += fmt::format("winchlink_quota_customers_limited {}\n", quotas.Shares.size());
    text += fmt::format("winchlink_targets_limited {}\n", CountLimited(gateway.Requests.TargetLimits));
    const DatagramChannel& channel = gateway.Datagrams.Channels[DatagramChannel_Quotas];
    text += fmt::format("winchlink_quota_datagrams_sent {}\n", channel.Sent);
    text += fmt::format("winchlink_quota_datagrams_received {}\n", channel.Received);
    text += fmt::format("winchlink_quota_datagrams_unreadable {}\n", channel.Dropped[DatagramDrop_Malformed]);
    return text;
}

static int64_t CountQuarantined(const Quarantine& quarantine)
{
    const auto quarantined = [now = NowUs()](const auto& entry)
    {
        return now < entry.second.QuarantinedUntilUs;
    };
    return std::count_if(quarantine.Requests.begin(), quarantine.Requests.end(), quarantined);
}

static std::string HandoffsText(const Forwarder& requests)
{
    std::string text;
    for (int end = PeerEnd_Answered; end < PeerEnd_COUNT; end++)
    {
        text += fmt::format("winchlink_handoffs{{end=\"{}\"}} {}\n", PeerEndName(static_cast<PeerEnd_>(end)), requests.Others.Ended[end]);
    }
    text += fmt::format("winchlink_handoffs_taken {}\n", requests.TakenCount);
    text += fmt::format("winchlink_handoffs_taken_in_progress {}\n", requests.Taken);
    text += fmt::format("winchlink_peers_known {}\n", requests.Others.Known.size());
    return text + FormatLatency("winchlink_handoff_seconds", "end=\"answered\"", requests.HandoffLatency);
}

// Division's view of the own data centre.
static std::string HomeText(const std::string& name, const Division& divided, TimeUs now)
{
    const SharedRoom probed = DivisionTell(divided, {}, false, now);
    const double share = divided.Home.Known > 0 ? divided.Home.Free / divided.Home.Known : 1;
    std::string text = fmt::format("winchlink_division_home_probes{{service=\"{}\"}} {}\n", name, probed.Known);
    text += fmt::format("winchlink_division_home_share{{service=\"{}\"}} {:.3f}\n", name, share);
    return text;
}

// What instances tell each other of a service's load.
static std::string LoadText(const std::string& name, const ServiceState& service, TimeUs now)
{
    const LoadSharing& sharing = service.Sharing;
    const SharedRoom room = LoadRoom(service.Pool, now);
    const Division& divided = service.Divided;
    std::string text = fmt::format("winchlink_load_messages{{service=\"{}\",kind=\"ask\"}} {}\n", name, sharing.Asks);
    text += fmt::format("winchlink_load_messages{{service=\"{}\",kind=\"answer\"}} {}\n", name, sharing.Answers);
    text += fmt::format("winchlink_load_messages{{service=\"{}\",kind=\"offer\"}} {}\n", name, sharing.Offers);
    text += fmt::format("winchlink_load_reports{{service=\"{}\",end=\"taken\"}} {}\n", name, sharing.ReportsTaken);
    text += fmt::format("winchlink_load_reports{{service=\"{}\",end=\"ignored\"}} {}\n", name, sharing.ReportsIgnored);
    text += fmt::format("winchlink_load_room{{service=\"{}\",of=\"targets\"}} {}\n", name, room.Targets);
    text += fmt::format("winchlink_load_room{{service=\"{}\",of=\"known\"}} {}\n", name, room.Known);
    text += fmt::format("winchlink_load_room{{service=\"{}\",of=\"free\"}} {}\n", name, room.Free);
    text += HomeText(name, divided, now);
    text += fmt::format("winchlink_division_active{{service=\"{}\"}} {}\n", name, divided.Active ? 1 : 0);
    text += fmt::format("winchlink_division_requests{{service=\"{}\",end=\"crossed\"}} {}\n", name, divided.Crossed);
    text += fmt::format("winchlink_division_requests{{service=\"{}\",end=\"kept_for_slack\"}} {}\n", name, divided.KeptForSlack);
    text += fmt::format("winchlink_division_requests{{service=\"{}\",end=\"kept_for_room\"}} {}\n", name, divided.KeptForRoom);
    return text;
}

static std::string ChannelText(const DatagramChannel& channel)
{
    std::string text = fmt::format("winchlink_datagrams_sent{{channel=\"{}\"}} {}\n", channel.Name, channel.Sent);
    text += fmt::format("winchlink_datagrams_received{{channel=\"{}\"}} {}\n", channel.Name, channel.Received);
    text += fmt::format("winchlink_datagram_bytes_sent{{channel=\"{}\"}} {}\n", channel.Name, channel.SentBytes);
    text += fmt::format("winchlink_datagram_bytes_received{{channel=\"{}\"}} {}\n", channel.Name, channel.ReceivedBytes);
    for (int drop = DatagramDrop_None + 1; drop < DatagramDrop_COUNT; drop++)
    {
        text += fmt::format("winchlink_datagrams_dropped{{channel=\"{}\",reason=\"{}\"}} {}\n", channel.Name,
                            DatagramDropName(static_cast<DatagramDrop_>(drop)), channel.Dropped[drop]);
    }
    return text;
}

static std::string DefectsText(const Gateway& gateway)
{
    std::string text;
    for (size_t n = AnswerDefect_None + 1; n < AnswerDefect_COUNT; n++)
    {
        const uint64_t count = gateway.Targets.Defective[n] + gateway.Control.Defective[n] + gateway.PeerCalls.Defective[n];
        const char* name = AnswerDefectName(static_cast<AnswerDefect_>(n));
        text += fmt::format("winchlink_answers_defective{{defect=\"{}\"}} {}\n", name, count);
    }
    return text;
}

static std::string DatagramsText(const Gateway& gateway)
{
    std::string text;
    for (const DatagramChannel& channel : gateway.Datagrams.Channels)
    {
        text += ChannelText(channel);
    }
    text += fmt::format("winchlink_datagrams_unknown {}\n", gateway.Datagrams.Unknown);
    text += fmt::format("winchlink_load_unknown_services {}\n", gateway.Load.UnknownServices);
    text += fmt::format("winchlink_load_not_answered {}\n", gateway.Load.NotAnswered);
    text += fmt::format("winchlink_load_wrong_senders {}\n", gateway.Load.WrongSenders);
    return text + fmt::format("winchlink_division_asks {}\n", gateway.Load.DivisionAsks);
}

std::string MetricsText(const Gateway& gateway)
{
    const Forwarder& requests = gateway.Requests;
    const TimeUs now = NowUs();
    std::string text;
    for (const auto& entry : requests.Services)
    {
        text += ServiceText(entry.first, entry.second);
        text += LoadText(entry.first, entry.second, now);
    }
    text += EndedText("", requests.Unrouted);
    for (const auto& entry : requests.ByPriority)
    {
        text += FormatLatency("winchlink_priority_seconds", fmt::format("priority=\"{}\"", entry.first), entry.second);
    }
    text += fmt::format("winchlink_in_progress {}\n", requests.InProgress);
    text += fmt::format("winchlink_link_occupied_us {}\n", OwnLinkOccupiedUs(requests.Link, now));
    text += fmt::format("winchlink_link_awaited_us {}\n",
                        gateway.Targets.ExtendedUs + gateway.Control.ExtendedUs + gateway.PeerCalls.ExtendedUs);
    text += fmt::format("winchlink_longest_step_us {}\n", gateway.Loop->LongestStepUs);
    text += fmt::format("winchlink_suspended_us {}\n", gateway.SuspendedUs);
    text += fmt::format("winchlink_load_questions {}\n", requests.ProbesSent);
    text += fmt::format("winchlink_load_questions_shared {}\n", requests.ProbesShared);
    text += fmt::format("winchlink_target_connections_opened {}\n", gateway.Targets.ConnectionsOpened);
    text += fmt::format("winchlink_requests_overlapped {}\n", gateway.Callers.Overlapped);
    text += fmt::format("winchlink_silent_connections {}\n", gateway.Targets.DeadConnectionsSeen + gateway.Control.DeadConnectionsSeen);
    text += fmt::format("winchlink_spoilt_connections {}\n",
                        gateway.Targets.SpoiltConnections + gateway.Control.SpoiltConnections + gateway.PeerCalls.SpoiltConnections);
    text += fmt::format("winchlink_answers_too_large {}\n",
                        gateway.Targets.AnswersTooLarge + gateway.Control.AnswersTooLarge + gateway.PeerCalls.AnswersTooLarge);
    text += DefectsText(gateway);
    text += fmt::format("winchlink_replays_stopped {}\n", gateway.Targets.ResendsPrevented);
    text += StoreCallsText(gateway.Store);
    text += FormatLatency("winchlink_data_age_seconds", "at=\"request\"", requests.DataAge);
    text += FormatLatency("winchlink_data_age_seconds", "at=\"tick\"", gateway.DataAge);
    text += fmt::format("winchlink_items_invalid {}\n", gateway.Invalid.size());
    text += fmt::format("winchlink_items_invalid_seen {}\n", gateway.InvalidSeen);
    text += fmt::format("winchlink_rows_kept {}\n", requests.Plan ? requests.Plan->RowsKept : 0);
    text += fmt::format("winchlink_rows_left_out {}\n", requests.Plan ? requests.Plan->RowsLeftOut : 0);
    text += EvacuationsText(requests.Directory);
    text += fmt::format("winchlink_requests_held {}\n", CountQuarantined(requests.Quarantined));
    text += fmt::format("winchlink_requests_suspected {}\n", requests.Quarantined.Requests.size());
    text += fmt::format("winchlink_target_ends_calls {}\n", gateway.Crashes.CallsMade);
    text += QuotasText(gateway);
    text += DatagramsText(gateway);
    text += HandoffsText(requests);
    text += fmt::format("winchlink_followers_answered {}\n", gateway.Peers.Answers);
    text += fmt::format("winchlink_plan_version {}\n", requests.Plan ? requests.Plan->Version : 0);
    return text;
}

//-----------------------------------------------------------------------------
// [SECTION] Status
//-----------------------------------------------------------------------------

static json_t* JsonMs(TimeUs time)
{
    return json_integer(time / UsPerMs);
}

// Whether and why a target is used or avoided, for people.
static std::string TargetReason(const TargetPool& pool, const PoolTarget& target, TimeUs now)
{
    if (!PoolMayUse(target, now))
    {
        return fmt::format("has asked for no work for {} ms more", (target.BackoffUntilUs - now) / UsPerMs);
    }
    if (now < target.AvoidUntilUs)
    {
        return fmt::format("avoided after {} failures", target.FailuresInRow);
    }
    if (target.EntryMissing)
    {
        return "its entry has vanished: last choice";
    }
    if (now < target.ColdUntilUs)
    {
        return PoolColdState(pool, target, now) == PoolCold_None ? "cold: slow" : "cold: last choice";
    }
    if (target.ReportUs > 0 && !PoolHasFreeSlot(pool, target))
    {
        return "was full when last asked";
    }
    return "good";
}

static json_t* JsonOfTarget(const Quota& limits, const TargetPool& pool, const PoolTarget& target, TimeUs now)
{
    json_t* object = json_object();
    const TargetLimit* limit = QuotaTargetLimit(limits, target.IncarnationId);
    json_object_set_new(object, "id", JsonText(target.Id));
    json_object_set_new(object, "address", JsonText(target.Address));
    json_object_set_new(object, "near", json_boolean(target.Near));
    json_object_set_new(object, "why", JsonText(TargetReason(pool, target, now)));
    json_object_set_new(object, "inFlight", json_integer(target.InFlight));
    json_object_set_new(object, "running", json_integer(target.Report.Running));
    json_object_set_new(object, "slots", json_integer(target.Slots));
    json_object_set_new(object, "limitPerS", limit != nullptr ? json_real(limit->PerS) : json_null());
    json_object_set_new(object, "limitAgeMs", limit != nullptr ? JsonMs(now - limit->ReceivedUs) : json_null());
    json_object_set_new(object, "pacePercent", json_integer(target.Report.PacePercent));
    json_object_set_new(object, "reportAgeMs", target.ReportUs > 0 ? JsonMs(now - target.ReportUs) : json_null());
    return object;
}

static json_t* JsonOfLoad(const ServiceState& service, TimeUs now)
{
    const SharedRoom room = LoadRoom(service.Pool, now);
    json_t* object = json_object();
    json_object_set_new(object, "asks", JsonNumber(service.Sharing.Asks));
    json_object_set_new(object, "answers", JsonNumber(service.Sharing.Answers));
    json_object_set_new(object, "offers", JsonNumber(service.Sharing.Offers));
    json_object_set_new(object, "reportsTaken", JsonNumber(service.Sharing.ReportsTaken));
    json_object_set_new(object, "near", json_integer(room.Targets));
    json_object_set_new(object, "known", json_integer(room.Known));
    json_object_set_new(object, "free", json_integer(room.Free));
    json_object_set_new(object, "divided", json_boolean(service.Divided.Active));
    json_object_set_new(object, "crossed", JsonNumber(service.Divided.Crossed));
    json_object_set_new(object, "keptForSlack", JsonNumber(service.Divided.KeptForSlack));
    json_object_set_new(object, "keptForRoom", JsonNumber(service.Divided.KeptForRoom));
    return object;
}

static json_t* JsonOfService(const Quota& limits, const std::string& name, const ServiceState& service, TimeUs now)
{
    json_t* targets = json_array();
    for (const PoolTarget& target : service.Pool.Targets)
    {
        json_array_append_new(targets, JsonOfTarget(limits, service.Pool, target, now));
    }
    json_t* ended = json_object();
    for (const CodeCount& count : service.Metrics.Ended)
    {
        json_object_set_new(ended, FindCode(count.Code).Name, JsonNumber(count.Count));
    }
    json_t* object = json_object();
    json_object_set_new(object, "name", JsonText(name));
    json_object_set_new(object, "inProgress", json_integer(service.InProgress));
    json_object_set_new(object, "p50Ms", json_real(LatencyQuantile(service.Metrics.Latency.Histogram, 0.5) * 1000));
    json_object_set_new(object, "p99Ms", json_real(LatencyQuantile(service.Metrics.Latency.Histogram, 0.99) * 1000));
    json_object_set_new(object, "repeats", JsonNumber(service.Metrics.Retries));
    json_object_set_new(object, "repeatsRefused", JsonNumber(service.Metrics.RetriesRefused));
    json_object_set_new(object, "repeatsKept", JsonNumber(service.Metrics.RetriesKept));
    json_object_set_new(object, "ended", ended);
    json_object_set_new(object, "path", json_string(TargetPathStateName(service.Path.State)));
    json_object_set_new(object, "pathForMs", service.Path.ChangedUs > 0 ? JsonMs(now - service.Path.ChangedUs) : json_null());
    json_object_set_new(object, "pathFailures", json_integer(FailedContacts(service.Path.Counts)));
    json_object_set_new(object, "demandPerS", json_real(service.Pool.Demand.PerS));
    json_object_set_new(object, "evacuatedTargets", json_integer(service.Pool.Evacuated));
    json_object_set_new(object, "load", JsonOfLoad(service, now));
    json_object_set_new(object, "targets", targets);
    return object;
}

static json_t* JsonOfInstance(const Gateway& gateway, TimeUs now)
{
    rusage usage = {};
    getrusage(RUSAGE_SELF, &usage);
    const char* state = gateway.StopUs != 0 ? "leaving" : gateway.Requests.Plan ? "serving" : "waiting for its first plan";
    json_t* object = json_object();
    json_object_set_new(object, "name", JsonText(gateway.Config.Instance));
    json_object_set_new(object, "version", json_string(Version));
    json_object_set_new(object, "state", json_string(state));
    json_object_set_new(object, "serving", json_boolean(gateway.StopUs == 0 && gateway.Requests.Plan));
    json_object_set_new(object, "dataCentre", JsonText(gateway.Config.DataCentre));
    json_object_set_new(object, "upMs", JsonMs(now - gateway.StartedUs));
    json_object_set_new(object, "inProgress", json_integer(gateway.Requests.InProgress));
    json_object_set_new(object, "connections", JsonNumber(gateway.Callers.Open.size()));
    json_object_set_new(object, "maxResidentKb", json_integer(usage.ru_maxrss));
    return object;
}

static json_t* JsonOfPlan(const Gateway& gateway, TimeUs now)
{
    const RoutePlanPtr& plan = gateway.Requests.Plan;
    json_t* object = json_object();
    json_object_set_new(object, "version", JsonNumber(plan ? plan->Version : 0));
    json_object_set_new(object, "inForceForMs", plan ? JsonMs(now - gateway.PlanUs) : json_null());
    json_object_set_new(object, "routes", JsonNumber(plan ? plan->Routes.size() : 0));
    json_object_set_new(object, "rowsKept", json_integer(plan ? plan->RowsKept : 0));
    json_object_set_new(object, "rowsLeftOut", json_integer(plan ? plan->RowsLeftOut : 0));
    return object;
}

static json_t* JsonOfTexts(const std::vector<std::string>& texts)
{
    json_t* list = json_array();
    for (const std::string& text : texts)
    {
        json_array_append_new(list, JsonText(text));
    }
    return list;
}

static json_t* JsonOfStore(const Gateway& gateway, TimeUs now)
{
    const StoreReader& store = gateway.Store;
    json_t* object = json_object();
    const Follow& following = store.Following;
    json_object_set_new(object, "source", JsonText(FollowSource(following).Address));
    json_object_set_new(object, "isStore", json_boolean(FollowSource(following).Kind == SourceKind_Store));
    json_object_set_new(object, "readBy", JsonText(following.Origin));
    json_object_set_new(object, "path", JsonOfTexts(following.Path));
    json_object_set_new(object, "readers", JsonOfTexts(following.Readers));
    json_object_set_new(object, "contacts", JsonOfTexts(following.Seeds));
    json_object_set_new(object, "changes", JsonNumber(store.SourceChanges));
    json_object_set_new(object, "revision", JsonNumber(following.Revision));
    json_object_set_new(object, "ageMs", following.FreshUs > 0 ? JsonMs(now - following.FreshUs) : json_null());
    json_object_set_new(object, "lost", json_boolean(gateway.Requests.Directory.StoreUnavailable));
    json_object_set_new(object, "calls", JsonNumber(StoreCalls(store)));
    json_object_set_new(object, "failures", JsonNumber(store.CallsFailed));
    json_object_set_new(object, "followers", JsonNumber(gateway.Peers.HeldRequests.size()));
    return object;
}

static json_t* JsonOfEvacuations(const TargetDirectory& directory)
{
    json_t* list = json_array();
    for (const auto& [data_centre, evacuation] : directory.Evacuations)
    {
        if (evacuation.InForce)
        {
            json_t* object = json_object();
            json_object_set_new(object, "dataCentre", JsonText(data_centre));
            json_object_set_new(object, "revision", JsonNumber(evacuation.Revision));
            json_array_append_new(list, object);
        }
    }
    return list;
}

static json_t* JsonOfCustomers(const Gateway& gateway)
{
    const RoutePlanPtr& plan = gateway.Requests.Plan;
    json_t* limited = json_array();
    for (const auto& [id, decision] : gateway.Requests.Quotas.Shares)
    {
        const Customer* customer = plan ? FindCustomerById(plan->Callers, id) : nullptr;
        if (customer != nullptr && decision.Share < 1)
        {
            json_t* object = json_object();
            json_object_set_new(object, "name", JsonText(customer->Name));
            json_object_set_new(object, "share", json_real(decision.Share));
            json_array_append_new(limited, object);
        }
    }
    json_t* object = json_object();
    json_object_set_new(object, "count", JsonNumber(plan ? plan->Callers.List.size() : 0));
    json_object_set_new(object, "instances", json_real(gateway.Requests.Quotas.MembersMax));
    json_object_set_new(object, "limited", limited);
    return object;
}

static json_t* JsonOfPeers(const Forwarder& requests, TimeUs now)
{
    json_t* known = json_array();
    for (const auto& [address, peer] : requests.Others.Known)
    {
        json_t* object = json_object();
        json_object_set_new(object, "address", JsonText(address));
        json_object_set_new(object, "near", json_boolean(peer.DataCentre == requests.Others.DataCentre));
        json_object_set_new(object, "heardMs", JsonMs(now - peer.HeardUs));
        json_object_set_new(object, "hasPath", json_boolean(peer.HasPath));
        json_object_set_new(object, "inFlight", json_integer(peer.InFlight));
        json_array_append_new(known, object);
    }
    json_t* object = json_object();
    json_object_set_new(object, "handedOn", JsonNumber(requests.Others.Ended[PeerEnd_Answered]));
    json_object_set_new(object, "taken", JsonNumber(requests.TakenCount));
    json_object_set_new(object, "takenInProgress", json_integer(requests.Taken));
    json_object_set_new(object, "known", known);
    return object;
}

static json_t* JsonOfDatagrams(const Gateway& gateway)
{
    json_t* channels = json_array();
    for (const DatagramChannel& channel : gateway.Datagrams.Channels)
    {
        json_t* object = json_object();
        json_object_set_new(object, "name", json_string(channel.Name));
        json_object_set_new(object, "sent", JsonNumber(channel.Sent));
        json_object_set_new(object, "received", JsonNumber(channel.Received));
        json_object_set_new(object, "bytes", JsonNumber(channel.SentBytes + channel.ReceivedBytes));
        json_object_set_new(object, "dropped", JsonNumber(std::accumulate(channel.Dropped.begin(), channel.Dropped.end(), uint64_t{0})));
        json_array_append_new(channels, object);
    }
    json_t* object = json_object();
    json_object_set_new(object, "port", json_integer(gateway.Config.DatagramPort));
    json_object_set_new(object, "sharesLoad", json_boolean(gateway.Load.Shares));
    json_object_set_new(object, "dividesLoad", json_boolean(gateway.Load.Divides));
    json_object_set_new(object, "channels", channels);
    return object;
}

static json_t* JsonOfInvalid(const Gateway& gateway)
{
    json_t* list = json_array();
    for (const auto& [key, why] : gateway.Invalid)
    {
        json_t* object = json_object();
        json_object_set_new(object, "key", JsonText(key));
        json_object_set_new(object, "why", JsonText(why));
        json_array_append_new(list, object);
    }
    return list;
}

static json_t* JsonOfQuarantined(const Quarantine& quarantine, TimeUs now)
{
    json_t* list = json_array();
    for (const auto& [key, request] : quarantine.Requests)
    {
        if (now < request.QuarantinedUntilUs)
        {
            json_t* targets = json_array();
            for (const auto& end : request.Crashes)
            {
                json_array_append_new(targets, JsonText(end.first));
            }
            json_t* object = json_object();
            json_object_set_new(object, "request", JsonText(key));
            json_object_set_new(object, "leftMs", JsonMs(request.QuarantinedUntilUs - now));
            json_object_set_new(object, "ends", json_integer(QuarantineCrashCount(quarantine, key)));
            json_object_set_new(object, "targets", targets);
            json_array_append_new(list, object);
        }
    }
    return list;
}

std::string StatusText(const Gateway& gateway)
{
    const TimeUs now = NowUs();
    json_t* services = json_array();
    for (const auto& entry : gateway.Requests.Services)
    {
        json_array_append_new(services, JsonOfService(gateway.Requests.TargetLimits, entry.first, entry.second, now));
    }
    json_t* object = json_object();
    json_object_set_new(object, "instance", JsonOfInstance(gateway, now));
    json_object_set_new(object, "plan", JsonOfPlan(gateway, now));
    json_object_set_new(object, "store", JsonOfStore(gateway, now));
    json_object_set_new(object, "customers", JsonOfCustomers(gateway));
    json_object_set_new(object, "peers", JsonOfPeers(gateway.Requests, now));
    json_object_set_new(object, "datagrams", JsonOfDatagrams(gateway));
    json_object_set_new(object, "evacuated", JsonOfEvacuations(gateway.Requests.Directory));
    json_object_set_new(object, "invalid", JsonOfInvalid(gateway));
    json_object_set_new(object, "held", JsonOfQuarantined(gateway.Requests.Quarantined, now));
    json_object_set_new(object, "services", services);
    return DumpJson(object, JSON_INDENT(1));
}

} // namespace Winchlink
