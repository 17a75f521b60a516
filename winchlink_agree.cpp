// winchlink_agree.cpp: table agreement and target runs: what is in force, who is leaving.
//
// Both are joins: whatever order news comes in, and however often, the result is the same and never goes back. That is why lost,
// doubled, late and replayed messages need no special care here.
//
// Index of this file:
// [SECTION] Table agreement
// [SECTION] Target runs

#include "winchlink_internal.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Table agreement
//-----------------------------------------------------------------------------

static constexpr size_t AcceptedOthers = 2; // Other holders that make a version accepted.

void AgreementInit(Agreement* a, TimeUs now)
{
    *a = Agreement();
    a->Current = std::make_shared<Table>();
    a->StartedUs = now;
}

AdoptResult_ AgreementAdopt(Agreement* a, TablePtr table, TimeUs now)
{
    assert(table && "offer a table, not null");
    const TableVersion& have = a->Current->Version;
    const TableVersion& offered = table->Version;
    if (offered == have)
    {
        return AdoptResult_Same;
    }
    if (offered.Revision == have.Revision)
    {
        a->Conflicts++;
    }
    if (offered < have)
    {
        a->OlderRefused++;
        return AdoptResult_Older;
    }
    assert(have < offered && "a table must never be replaced by an older one");
    a->Current = std::move(table);
    a->AdoptedUs = now;
    if (a->RefusedRevision <= a->Current->Version.Revision)
    {
        a->RefusedReason.clear();
        a->RefusedRevision = 0;
    }
    return AdoptResult_Adopted;
}

bool AgreementMayTrustPlatform(const Agreement& a)
{
    return a.Joined;
}

TableVersion AgreementAccepted(const Agreement& a, const Membership& m)
{
    std::vector<TableVersion> held = {a.Current->Version};
    for (const Peer& peer : m.Peers)
    {
        if (peer.Direct)
        {
            held.push_back(peer.Table);
        }
    }
    std::sort(held.begin(), held.end(), [](const TableVersion& x, const TableVersion& y) { return y < x; });
    const TableVersion& common = held[std::min(AcceptedOthers, held.size() - 1)];
    return std::min(common, a.Current->Version);
}

//-----------------------------------------------------------------------------
// [SECTION] Target runs
//-----------------------------------------------------------------------------

// A sum of hashes does not depend on the order, and is mended in one step when one target changes.
static void CountLeaving(TargetRuns* runs, const TargetRun& run, bool add)
{
    if (run.Leaving)
    {
        const uint64_t hash = HashText(std::to_string(run.Key) + " " + std::to_string(run.StartId));
        runs->LeavingDigest += add ? hash : -hash;
    }
}

bool RunsMerge(TargetRuns* runs, const TargetRun& report, TimeUs now)
{
    auto found = runs->ByKey.find(report.Key);
    if (found == runs->ByKey.end() || report.StartId < found->second.Run.StartId)
    {
        return false; // No target of ours, or a report of a run that is over.
    }
    TargetRunState& known = found->second;
    const bool anew = report.StartId > known.Run.StartId;
    const bool leaves = report.Leaving && (anew || !known.Run.Leaving);
    CountLeaving(runs, known.Run, false);
    if (anew)
    {
        known.Run = report;
    }
    known.Run.Leaving = known.Run.Leaving || report.Leaving;
    CountLeaving(runs, known.Run, true);
    const TimeUs reported = now - static_cast<TimeUs>(report.AgeMs) * UsPerMs;
    if (anew || reported > known.ReportedUs)
    {
        known.Run.Busy = report.Busy;
        known.ReportedUs = reported;
    }
    if (anew || leaves)
    {
        runs->Changes++;
        if (known.HotRounds == 0)
        {
            runs->Hot.push_back(report.Key);
        }
        known.HotRounds = HotRoundsOfNews;
    }
    return anew || leaves;
}

void RunsFollowTable(TargetRuns* runs, const Table& table)
{
    std::set<TargetKey> wanted;
    for (const ServiceRow& row : table.Rows)
    {
        for (const TargetRow& target : row.Targets)
        {
            wanted.insert(KeyOfTarget(target.Address));
        }
    }
    for (auto it = runs->ByKey.begin(); it != runs->ByKey.end();)
    {
        if (wanted.count(it->first) != 0)
        {
            it++;
            continue;
        }
        CountLeaving(runs, it->second.Run, false);
        it = runs->ByKey.erase(it);
    }
    for (const TargetKey key : wanted)
    {
        runs->ByKey[key].Run.Key = key;
    }
}

static TargetRun RunAt(const TargetRunState& state, TimeUs now)
{
    TargetRun run = state.Run;
    const TimeUs age_ms = std::max<TimeUs>((now - state.ReportedUs) / UsPerMs, 0);
    run.AgeMs = static_cast<uint16_t>(std::min<TimeUs>(age_ms, UINT16_MAX));
    return run;
}

std::vector<TargetRun> RunsLeaving(const TargetRuns& runs)
{
    std::vector<TargetRun> leaving;
    for (const auto& entry : runs.ByKey)
    {
        if (entry.second.Run.Leaving && leaving.size() < LeavingMax)
        {
            leaving.push_back(entry.second.Run);
            leaving.back().AgeMs = UINT16_MAX; // Its load is of no interest.
        }
    }
    return leaving;
}

void RunsFill(TargetRuns* runs, Heartbeat* beat, TimeUs now)
{
    // Latest news first; the list is short, as changes of runs are rare.
    size_t kept = 0;
    for (size_t n = 0; n < runs->Hot.size(); n++)
    {
        const TargetKey key = runs->Hot[runs->Hot.size() - 1 - n];
        auto found = runs->ByKey.find(key);
        if (found != runs->ByKey.end() && found->second.HotRounds > 0 && beat->Runs.size() < RunsMax)
        {
            found->second.HotRounds--;
            beat->Runs.push_back(RunAt(found->second, now));
        }
    }
    for (const TargetKey key : runs->Hot)
    {
        auto found = runs->ByKey.find(key);
        if (found != runs->ByKey.end() && found->second.HotRounds > 0)
        {
            runs->Hot[kept++] = key;
        }
    }
    runs->Hot.resize(kept);
}

} // namespace Winchlink
