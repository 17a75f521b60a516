// winchlink_follow.cpp: which source an instance gets updates from, and how many followers it serves.
//
// After a failure an instance tries its sources in a round: the seeds, for a seed also the store, and then one or more of the other known
// instances. There is no pause within a round. Between rounds there is a backoff with jitter, since many instances fail at the same time.
//
// Index of this file:
// [SECTION] Steps
// [SECTION] Rounds
// [SECTION] Looks
// [SECTION] Answers of sources
// [SECTION] Settings and start
// [SECTION] Fan-out

#include "winchlink.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Steps
//-----------------------------------------------------------------------------

const char* StoreReasonName(StoreReason_ reason)
{
    static constexpr const char* names[StoreReason_COUNT] = {"none", "start", "wait", "history", "retry", "asked", "alone"};
    return names[reason];
}

static TimeUs RandomUpTo(TimeUs max, Random* random)
{
    return std::uniform_int_distribution<TimeUs>(0, max)(*random);
}

static const std::string& RandomAddress(const std::vector<std::string>& addresses, Random* random)
{
    return addresses[std::uniform_int_distribution<size_t>(0, addresses.size() - 1)(*random)];
}

static FollowStep StoreStep(const Follow& follow, StoreReason_ reason)
{
    FollowStep step;
    step.Kind = SourceKind_Store;
    step.Address = follow.StoreAddress;
    step.Reason = reason;
    const bool probing = follow.Tried > 0 || (reason != StoreReason_Start && reason != StoreReason_Poll);
    step.WaitMaxUs = probing ? follow.Config.ShortWaitUs : 0;
    step.MarginDoublings = std::min(follow.StoreTimeouts, follow.Config.MarginDoublings);
    return step;
}

static FollowStep InstanceStep(const Follow& follow, SourceKind_ kind, const std::string& address)
{
    FollowStep step;
    step.Kind = kind;
    step.Address = address;
    step.WaitMaxUs = follow.Tried > 0 ? follow.Config.ShortWaitUs : 0;
    return step;
}

// The next call to the same source.
static FollowStep NextCall(const FollowStep& now)
{
    FollowStep step;
    step.Kind = now.Kind;
    step.Address = now.Address;
    step.Reason = now.Kind == SourceKind_Store ? StoreReason_Poll : StoreReason_None;
    return step;
}

//-----------------------------------------------------------------------------
// [SECTION] Rounds
//-----------------------------------------------------------------------------

// Index of the store in the round of a seed: after the seeds that take precedence. Before the first data it is the first, so that no time
// is lost when one of these seeds is down.
static size_t StoreIndex(const Follow& follow)
{
    return follow.Revision == 0 ? 0 : follow.Rank;
}

static size_t RoundLength(const Follow& follow)
{
    return follow.OtherSeeds.size() + (follow.Reads ? 1 : 0);
}

static FollowStep StepAt(const Follow& follow, size_t place)
{
    if (!follow.Reads)
    {
        return InstanceStep(follow, SourceKind_Seed, follow.OtherSeeds[place]);
    }
    const size_t store = StoreIndex(follow);
    if (place == store)
    {
        const bool first = follow.RoundsInRow == 0;
        const StoreReason_ usual = follow.Revision == 0 ? StoreReason_Start : StoreReason_Poll;
        return StoreStep(follow, first ? usual : StoreReason_Retry);
    }
    FollowStep step = InstanceStep(follow, SourceKind_Seed, follow.OtherSeeds[place < store ? place : place - 1]);
    step.StoreLost = follow.Revision == 0; // Without data: the store, which comes first, has failed.
    return step;
}

static void BeginRound(Follow* follow)
{
    follow->Tried = 0;
    follow->TriedOthers = 0;
    follow->AnyStoreLost = false;
    follow->GraceUntilUs = 0;
    follow->FailbackAtUs = 0;
    follow->Redirected = false;
}

static TimeUs PauseAfterRound(const Follow& follow, Random* random)
{
    const FollowConfig& config = follow.Config;
    if (!follow.Reads)
    {
        return config.PeerRetryUs + RandomUpTo(config.PeerRetryUs, random);
    }
    constexpr int doublings_max = 8;
    const int doublings = std::min(follow.RoundsInRow - 1, doublings_max);
    const TimeUs pause = std::min(config.RetryMaxUs, config.RetryUs << doublings);
    return pause / 2 + RandomUpTo(pause / 2, random);
}

// Whether an instance without any answering source falls back to the store now.
static bool FallsBackToStore(Follow* follow, TimeUs now, Random* random)
{
    const bool old = now >= std::max(follow->FreshUs, follow->StartedUs) + follow->Config.StoreFallbackUs;
    if (follow->Reads || follow->AnyStoreLost || !old)
    {
        return false;
    }
    constexpr int doublings_max = 30;
    const int odds = std::max(1, follow->Config.StoreFallbackOdds >> std::min(follow->UnansweredRounds, doublings_max));
    follow->UnansweredRounds++;
    return std::uniform_int_distribution<int>(1, odds)(*random) == 1;
}

static void EndRound(Follow* follow, TimeUs now, Random* random)
{
    const bool fallback = FallsBackToStore(follow, now, random);
    follow->RoundsInRow++;
    BeginRound(follow);
    if (fallback)
    {
        follow->Next = StoreStep(*follow, StoreReason_Fallback);
        return;
    }
    // A seed tries the other seeds before the store: they may have reached it by now, and a store that does not answer costs a timeout.
    follow->Place = follow->Reads ? (StoreIndex(*follow) + 1) % RoundLength(*follow) : follow->Place;
    follow->Next = StepAt(*follow, follow->Place);
    follow->Next.PauseUs = PauseAfterRound(*follow, random);
}

// Whether to ask the store because callers wait for the first data and a source has failed to provide it. After a power loss the seeds may
// start later than other instances.
static bool AsksStoreForCallers(const Follow& follow)
{
    return follow.CallersWaiting && follow.Revision == 0 && follow.Tried > 0 && !follow.Reads && follow.Next.Kind != SourceKind_Store;
}

// Goes to the next source of the round; `now` is the time at which the current one proved unusable.
static void TryNextSource(Follow* follow, TimeUs now, Random* random)
{
    follow->GraceUntilUs = 0;
    follow->Redirected = false;
    follow->Tried++;
    if (AsksStoreForCallers(*follow))
    {
        follow->Next = StoreStep(*follow, StoreReason_Fallback);
        return;
    }
    const size_t length = RoundLength(*follow);
    if (follow->Tried < length)
    {
        follow->Place = (follow->Place + 1) % length;
        follow->Next = StepAt(*follow, follow->Place);
        return;
    }
    const int others_max = follow->Reads && follow->RoundsInRow == 0 ? follow->Config.FirstDelegatesMax : 1;
    if (follow->TriedOthers < others_max && !follow->KnownInstances.empty())
    {
        follow->TriedOthers++;
        follow->Next = InstanceStep(*follow, SourceKind_Instance, RandomAddress(follow->KnownInstances, random));
        follow->Next.AskStore = follow->Reads;
        return;
    }
    EndRound(follow, now, random);
}

//-----------------------------------------------------------------------------
// [SECTION] Looks
//-----------------------------------------------------------------------------

// An instance that isn't at its preferred source looks at another one from time to time. The current source stays in use until the other
// one has answered with current data: instances that follow this one must not wait for the outcome.

static bool ReadsStore(const Follow& follow)
{
    return (follow.Looking ? follow.Home.Kind : follow.Next.Kind) == SourceKind_Store;
}

// When to look at another source; 0 if the current one is preferred or was named in a redirect.
static TimeUs LookTime(const Follow& follow, TimeUs now, Random* random)
{
    const FollowStep first = StepAt(follow, 0);
    const bool is_first = follow.Next.Kind == first.Kind && follow.Next.Address == first.Address;
    const bool preferred = follow.Reads ? is_first : follow.Next.Kind == SourceKind_Seed;
    const bool fallback = !follow.Reads && follow.Next.Kind == SourceKind_Store;
    if (fallback && follow.CallersWaiting)
    {
        return now; // The waiting callers can be served now; go back to the seeds at once.
    }
    const TimeUs until = fallback ? follow.Config.StoreFailbackUs : follow.Config.FailbackUs;
    return preferred || follow.Redirected ? 0 : now + until + RandomUpTo(until / 2, random);
}

// The source to look at: another reader of the store if one is known, otherwise the sources in turn.
static FollowStep LookStep(Follow* follow)
{
    if (!follow->OtherReader.empty())
    {
        return InstanceStep(*follow, SourceKind_Instance, std::exchange(follow->OtherReader, ""));
    }
    const size_t better = follow->Reads && follow->Place > 0 ? follow->Place : RoundLength(*follow);
    return StepAt(*follow, follow->Looks++ % better);
}

static void BeginLook(Follow* follow)
{
    follow->FailbackAtUs = 0;
    follow->Looking = true;
    follow->Home = NextCall(follow->Next);
    follow->Next = LookStep(follow);
    follow->Next.WaitMaxUs = follow->Config.LookWaitUs;
    follow->Next.ReadsStore = ReadsStore(*follow);
}

// Goes back to the source in use. An instance that read the store just for its waiting callers looks again instead while its data is fresh.
static void EndLook(Follow* follow, TimeUs now, Random* random)
{
    follow->Redirected = false;
    if (follow->ReadForCallers && now < follow->FreshUs + follow->Config.StoreFallbackUs)
    {
        follow->Next = LookStep(follow);
        follow->Next.WaitMaxUs = follow->Config.LookWaitUs;
        follow->Next.ReadsStore = ReadsStore(*follow);
        follow->Next.PauseUs = follow->Config.PeerRetryUs + RandomUpTo(follow->Config.PeerRetryUs, random);
        return;
    }
    follow->Looking = false;
    follow->ReadForCallers = false;
    follow->Next = follow->Home;
    const TimeUs until = ReadsStore(*follow) ? follow->Config.StoreFailbackUs : follow->Config.FailbackUs;
    follow->FailbackAtUs = follow->OtherReader.empty() ? now + until + RandomUpTo(until / 2, random) : now;
}

static bool PassedThisInstance(const Follow& follow, const SourceStatus& status)
{
    const std::vector<std::string>& path = status.Path;
    return !follow.Own.empty() && (status.Origin == follow.Own || std::find(path.begin(), path.end(), follow.Own) != path.end());
}

// Whether to change to a source that was looked at. Of two instances that read the store, the one with the lower address goes on, so that
// they don't both leave it for each other.
static bool IsPreferable(const Follow& follow, const SourceStatus& status)
{
    const bool current = !status.StoreLost && status.Revision >= follow.Revision && status.AgeUs <= follow.Config.LookMaxAgeUs;
    const bool has_precedence = !ReadsStore(follow) || status.Origin < follow.Own;
    return current && !PassedThisInstance(follow, status) && has_precedence;
}

void FollowReaderSeen(Follow* follow, const std::string& address, TimeUs now)
{
    if (ReadsStore(*follow) && !follow->Looking && address < follow->Own)
    {
        follow->OtherReader = address;
        follow->FailbackAtUs = now;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Answers of sources
//-----------------------------------------------------------------------------

// Index of the current source in the round; unchanged if it is not part of the round.
static size_t CurrentPlace(const Follow& follow)
{
    for (size_t place = 0; place < RoundLength(follow); place++)
    {
        const FollowStep step = StepAt(follow, place);
        if (step.Kind == follow.Next.Kind && step.Address == follow.Next.Address)
        {
            return place;
        }
    }
    return follow.Place;
}

static void OnGoodAnswer(Follow* follow, const SourceStatus& status, TimeUs now, Random* random)
{
    const bool from_store = follow->Next.Kind == SourceKind_Store;
    follow->Origin = from_store ? follow->Own : status.Origin;
    follow->Path = from_store ? std::vector<std::string>() : status.Path;
    follow->RoundsInRow = 0;
    follow->UnansweredRounds = 0;
    follow->Tried = 0;
    follow->TriedOthers = 0;
    follow->AnyStoreLost = false;
    follow->Looking = false;
    follow->GraceUntilUs = 0;
    follow->StoreTimeouts = from_store ? 0 : follow->StoreTimeouts;
    follow->Place = CurrentPlace(*follow);
    follow->FailbackAtUs = follow->FailbackAtUs == 0 ? LookTime(*follow, now, random) : follow->FailbackAtUs;
    follow->ReadForCallers = from_store && follow->CallersWaiting && !follow->Reads;
    follow->CallersWaiting = false;
    if (follow->FailbackAtUs != 0 && now >= follow->FailbackAtUs)
    {
        BeginLook(follow);
        return;
    }
    follow->Next = NextCall(follow->Next);
}

// Removes an unusable instance from the known ones. FollowAddInstance() adds it again.
static void ForgetInstance(Follow* follow, const std::string& address)
{
    std::vector<std::string>& known = follow->KnownInstances;
    known.erase(std::remove(known.begin(), known.end(), address), known.end());
}

// The source has lost the store, and the store is being retried: keeps the source for a grace period, then tries the others.
static void OnStoreLost(Follow* follow, TimeUs now, Random* random)
{
    follow->AnyStoreLost = true;
    if (follow->Reads)
    {
        ForgetInstance(follow, follow->Next.Address); // Don't delegate to the same instance again.
        TryNextSource(follow, now, random);
        return;
    }
    const FollowConfig& config = follow->Config;
    const bool looking = follow->Tried > 0;
    const bool last = follow->Tried + 1 >= RoundLength(*follow);
    if (follow->GraceUntilUs == 0 && looking && !last)
    {
        TryNextSource(follow, now, random);
        return;
    }
    if (follow->GraceUntilUs == 0)
    {
        const bool soon = !looking && follow->Next.Kind == SourceKind_Seed;
        const TimeUs patience = soon ? config.SeedGraceUs : config.LostGraceUs;
        follow->GraceUntilUs = now + patience + RandomUpTo(patience, random);
        follow->Tried = 0;
    }
    if (now >= follow->GraceUntilUs)
    {
        follow->Tried = follow->Next.Kind == SourceKind_Seed ? 0 : follow->Tried;
        TryNextSource(follow, now, random);
        return;
    }
    follow->Next = NextCall(follow->Next);
    follow->Next.StoreLost = true;
    follow->Next.WaitMaxUs = follow->GraceUntilUs - now;
}

// Whether an instance that is no seed is a better source than the one that failed. An instance that is not fresher may be a follower of
// this one.
static bool IsFresher(const Follow& follow, const SourceStatus& status, TimeUs now)
{
    return now - status.AgeUs >= follow.FreshUs + follow.Config.FresherMinUs;
}

// The answer of a source that was looked at. An instance that keeps reading the store remembers who else does, to look there next: that
// one then learns of this instance.
static FollowResult_ AnsweredLook(Follow* follow, const SourceStatus& status, TimeUs now, Random* random)
{
    const bool from_store = follow->Next.Kind == SourceKind_Store;
    if (from_store || IsPreferable(*follow, status))
    {
        follow->Revision = status.Revision;
        follow->FreshUs = std::max(follow->FreshUs, now - status.AgeUs);
        OnGoodAnswer(follow, status, now, random);
        return FollowResult_Good;
    }
    const bool two_readers = ReadsStore(*follow) && !status.StoreLost && !PassedThisInstance(*follow, status) &&
                             status.Origin > follow->Own && follow->Next.Address != status.Origin;
    follow->OtherReader = two_readers ? status.Origin : "";
    if (status.Revision > follow->Revision) // Newer data is applied whatever the result.
    {
        follow->Revision = status.Revision;
        follow->FreshUs = std::max(follow->FreshUs, now - status.AgeUs);
    }
    EndLook(follow, now, random);
    return FollowResult_Kept;
}

FollowResult_ FollowAnswered(Follow* follow, const SourceStatus& status, TimeUs now, Random* random)
{
    assert(follow->Next.Kind != SourceKind_None && "call FollowStart() first");
    if (follow->Looking)
    {
        return AnsweredLook(follow, status, now, random);
    }
    const bool from_store = follow->Next.Kind == SourceKind_Store;
    const bool from_self = !from_store && PassedThisInstance(*follow, status);
    const bool not_retried = status.StoreLost && status.TriedUs > follow->Config.StoreTryMaxAgeUs;
    const bool old = !status.StoreLost && status.AgeUs > follow->Config.StaleUs;
    if (status.Revision < follow->Revision)
    {
        FollowFailed(follow, false, now, random);
        return FollowResult_Stale;
    }
    const bool any = follow->TriedOthers == 0 || follow->Next.AskStore || follow->Revision == 0;
    const bool is_behind = !any && !IsFresher(*follow, status, now);
    follow->Revision = status.Revision;
    follow->FreshUs = std::max(follow->FreshUs, now - status.AgeUs);
    if (is_behind || not_retried || old)
    {
        FollowFailed(follow, false, now, random);
        return FollowResult_Stale;
    }
    if (from_self && !status.StoreLost)
    {
        FollowFailed(follow, false, now, random);
        return FollowResult_Loop;
    }
    if (status.StoreLost)
    {
        OnStoreLost(follow, now, random);
        return FollowResult_StoreLost;
    }
    OnGoodAnswer(follow, status, now, random);
    return FollowResult_Good;
}

void FollowFailed(Follow* follow, bool late, TimeUs now, Random* random)
{
    const FollowStep failed = follow->Next;
    if (failed.Kind == SourceKind_Store)
    {
        follow->StoreTimeouts = late ? follow->StoreTimeouts + 1 : 0;
        follow->UnansweredRounds = 0;
        follow->CallersWaiting = false; // Set again when more callers wait. Limits the calls to an unavailable store.
    }
    ForgetInstance(follow, failed.Address);
    if (follow->Looking)
    {
        EndLook(follow, now, random);
        return;
    }
    if (follow->Redirected)
    {
        // Back to the current seed of the round, which redirects to another instance.
        follow->Redirected = false;
        follow->Next = StepAt(*follow, follow->Place);
        follow->Next.PauseUs = RandomUpTo(follow->Config.PeerRetryUs, random);
        return;
    }
    const bool was_fallback = !follow->Reads && failed.Kind == SourceKind_Store;
    follow->Tried = was_fallback ? 0 : follow->Tried; // Try the seeds, except the current one, before the next pause.
    TryNextSource(follow, now, random);
}

void FollowRedirected(Follow* follow, const std::vector<std::string>& addresses, Random* random)
{
    assert(!addresses.empty() && "sent on to nobody");
    for (const std::string& address : addresses)
    {
        FollowAddInstance(follow, address);
    }
    follow->Redirected = true;
    follow->FailbackAtUs = 0;
    FollowStep step;
    step.Kind = SourceKind_Instance;
    step.Address = RandomAddress(addresses, random);
    step.WaitMaxUs = follow->Looking ? follow->Config.LookWaitUs : 0;
    follow->Next = step;
}

bool FollowAskStore(Follow* follow)
{
    if (ReadsStore(*follow))
    {
        return false;
    }
    follow->Redirected = false;
    follow->Looking = false;
    follow->GraceUntilUs = 0;
    follow->FailbackAtUs = 0;
    follow->Next = StoreStep(*follow, StoreReason_Delegated);
    return true;
}

bool FollowCallersWaiting(Follow* follow)
{
    follow->CallersWaiting = true;
    if (!AsksStoreForCallers(*follow))
    {
        return false;
    }
    follow->Redirected = false;
    follow->Next = StoreStep(*follow, StoreReason_Fallback);
    return true;
}

void FollowAddInstance(Follow* follow, const std::string& address)
{
    const std::vector<std::string>& seeds = follow->OtherSeeds;
    const bool is_seed = std::find(seeds.begin(), seeds.end(), address) != seeds.end();
    if (address.empty() || is_seed || address == follow->Own)
    {
        return;
    }
    ForgetInstance(follow, address);
    std::vector<std::string>& known = follow->KnownInstances;
    if (known.size() >= follow->Config.KnownMax)
    {
        known.erase(known.begin());
    }
    known.push_back(address);
}

//-----------------------------------------------------------------------------
// [SECTION] Settings and start
//-----------------------------------------------------------------------------

// Seeds other than this instance, in the order in which they are tried. Seeds use the sorted order, so that they agree on which of them
// reads the store; all other instances shuffle it to spread the load.
static std::vector<std::string> SeedOrder(std::vector<std::string> sorted, const std::string& own, bool reads, Random* random)
{
    sorted.erase(std::remove(sorted.begin(), sorted.end(), own), sorted.end());
    if (!reads)
    {
        std::shuffle(sorted.begin(), sorted.end(), *random);
    }
    return sorted;
}

void FollowSetSources(Follow* follow, const std::string& own, const std::string& store, const std::vector<std::string>& seeds,
                      Random* random)
{
    std::vector<std::string> sorted = seeds;
    std::sort(sorted.begin(), sorted.end());
    sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
    const bool same = follow->StoreAddress == store && follow->Own == own && follow->Seeds == sorted;
    if (same)
    {
        return;
    }
    const auto self = std::find(sorted.begin(), sorted.end(), own);
    const bool read = follow->Reads;
    follow->Own = own;
    follow->StoreAddress = store;
    follow->Seeds = sorted;
    follow->Reads = self != sorted.end() || sorted.empty();
    follow->Rank = self != sorted.end() ? static_cast<size_t>(self - sorted.begin()) : 0;
    follow->OtherSeeds = SeedOrder(sorted, own, follow->Reads, random);
    follow->Place = 0;
    follow->Tried = 0;
    follow->Looking = false;
    const bool recheck = follow->Next.Kind != SourceKind_None && (read || follow->Reads);
    follow->FailbackAtUs = recheck ? 1 : 0; // Reconsider the preferred source at the next good answer.
}

void FollowStart(Follow* follow, TimeUs now)
{
    assert(!follow->StoreAddress.empty() && "call FollowSetSources() first");
    follow->StartedUs = now;
    BeginRound(follow);
    follow->Place = 0;
    follow->Next = StepAt(*follow, follow->Place);
}

//-----------------------------------------------------------------------------
// [SECTION] Fan-out
//-----------------------------------------------------------------------------

// A random selection of the addresses, without the requester's.
static std::vector<std::string> PickRandom(std::vector<std::string> addresses, const std::string& requester, size_t count, Random* random)
{
    const auto excluded = [&](const std::string& address)
    {
        return address.empty() || address == requester;
    };
    addresses.erase(std::remove_if(addresses.begin(), addresses.end(), excluded), addresses.end());
    std::shuffle(addresses.begin(), addresses.end(), *random);
    addresses.resize(std::min(addresses.size(), count));
    return addresses;
}

// The same, preferring the requester's data centre.
static std::vector<std::string> PickNearby(const std::vector<std::string>& nearby, const std::vector<std::string>& all,
                                           const std::string& requester, size_t count, Random* random)
{
    std::vector<std::string> named = PickRandom(nearby, requester, count, random);
    return named.empty() ? PickRandom(all, requester, count, random) : named;
}

// Whether the requester is in another data centre in which enough followers of this instance can serve it.
static bool IsServedInOwnDataCentre(const FanoutConfig& config, const UpdateRequest& requester, const UpdateServer& server, size_t nearby)
{
    const bool far = !requester.DataCentre.empty() && !server.DataCentre.empty() && requester.DataCentre != server.DataCentre;
    return far && !requester.Seed && nearby >= config.RemoteFollowersMax;
}

// Handles a full read. Returns the addresses to redirect to; empty if it is served here.
static std::vector<std::string> RedirectFullRead(Fanout* fanout, const UpdateRequest& requester, const UpdateServer& server, TimeUs now,
                                                 Random* random)
{
    std::deque<ServedFullRead>& starts = fanout->FullReads;
    while (!starts.empty() && now >= starts.front().ServedUs + fanout->Config.FullReadWindowUs)
    {
        starts.pop_front();
    }
    std::vector<std::string> served;
    std::vector<std::string> nearby;
    for (const ServedFullRead& start : starts)
    {
        served.push_back(start.Address);
        if (start.DataCentre == requester.DataCentre)
        {
            nearby.push_back(start.Address);
        }
    }
    const bool again = !requester.Address.empty() && std::find(served.begin(), served.end(), requester.Address) != served.end();
    const bool elsewhere =
        starts.size() >= fanout->Config.FullReadsMax || IsServedInOwnDataCentre(fanout->Config, requester, server, nearby.size());
    std::vector<std::string> named;
    if (!again && elsewhere)
    {
        named = PickNearby(nearby, served, requester.Address, fanout->Config.RedirectsMax, random);
    }
    if (named.empty())
    {
        starts.push_back({now, requester.Address, requester.DataCentre});
    }
    return named;
}

// Whether the requester is to be answered at once.
static bool AnswersNow(const UpdateRequest& requester, const UpdateServer& server)
{
    const bool both_lost = server.Revision == 0 && server.StoreLost && requester.StoreLost; // Waiting here would be pointless.
    if (requester.FullRead)
    {
        return server.Revision != 0 || both_lost;
    }
    const bool loss_changed = server.StoreLost != requester.StoreLost; // The state of the store has changed.
    return server.Revision == 0 || requester.After != server.Revision ||
           loss_changed; // A requester that is ahead is answered too, so that it leaves.
}

UpdateDecision FanoutDecide(Fanout* fanout, const UpdateRequest& requester, const UpdateServer& server, TimeUs now, Random* random)
{
    if (requester.AskStore)
    {
        return {UpdateAction_AskStore, {}};
    }
    const bool full = server.Followers.size() >= fanout->Config.FollowersMax;
    std::vector<std::string> named; // Empty while the store is lost: followers must get that from here.
    if (requester.FullRead)
    {
        named = RedirectFullRead(fanout, requester, server, now, random);
    }
    else if (!server.StoreLost && (full || IsServedInOwnDataCentre(fanout->Config, requester, server, server.Nearby.size())))
    {
        named = PickNearby(server.Nearby, server.Followers, requester.Address, fanout->Config.RedirectsMax, random);
    }
    if (!named.empty())
    {
        return {UpdateAction_Redirect, std::move(named)};
    }
    return {AnswersNow(requester, server) ? UpdateAction_Answer : UpdateAction_Hold, {}};
}

} // namespace Winchlink
