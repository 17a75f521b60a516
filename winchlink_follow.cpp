// winchlink_follow.cpp: which source an instance gets updates from.
//
// After a failure an instance tries its sources in a round: the readers (before the first data the seeds), for a reader also the store, and
// then one or more of the other known instances. There is no pause within a round. Between rounds there is a backoff with jitter, since
// many instances fail at the same time.
//
// Index of this file:
// [SECTION] Steps
// [SECTION] Readers
// [SECTION] Rounds
// [SECTION] Looks
// [SECTION] Answers of sources
// [SECTION] Settings and start

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
    step.NewerThanUs = follow.Tried > 0 ? follow.FreshUs + follow.Config.FresherMinUs : 0;
    step.Reader = follow.Reads;
    step.Starting = follow.Revision == 0 && kind == SourceKind_Seed;
    return step;
}

// The next call to the same source.
static FollowStep NextCall(const Follow& follow, TimeUs now)
{
    const bool store = follow.Next.Kind == SourceKind_Store;
    const TimeUs until_stale = follow.FreshUs + follow.Config.StaleUs - now;
    FollowStep step;
    step.WaitMaxUs = store ? 0 : std::max(until_stale, follow.Config.ShortWaitUs); // Old data is answered for when it becomes stale.
    step.Kind = follow.Next.Kind;
    step.Address = store ? follow.StoreAddress : follow.Next.Address;
    step.Reason = store ? StoreReason_Poll : StoreReason_None;
    step.Reader = follow.Reads;
    return step;
}

//-----------------------------------------------------------------------------
// [SECTION] Readers
//-----------------------------------------------------------------------------

static bool Contains(const std::vector<std::string>& addresses, const std::string& address)
{
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

// The other ones of `names`, in the order in which they are tried. The readers try them in the order of precedence, so that they agree on
// which of them reads the store; all other instances shuffle the first ones, to spread the load.
static std::vector<std::string> OrderOf(std::vector<std::string> names, const std::string& own, size_t active, Random* random)
{
    const bool listed = Contains(names, own);
    names.erase(std::remove(names.begin(), names.end(), own), names.end());
    if (!listed)
    {
        std::shuffle(names.begin(), names.begin() + static_cast<ptrdiff_t>(std::min(names.size(), active)), *random);
    }
    return names;
}

// Sets the instances that are tried after a failure, and the place of this one among them.
static void SetNames(Follow* follow, const std::vector<std::string>& names, Random* random)
{
    const size_t active = follow->Config.ActiveReaders;
    const auto self = std::find(names.begin(), names.end(), follow->Own);
    follow->Rank = static_cast<size_t>(self - names.begin());
    follow->Reads = names.empty() || (self != names.end() && follow->Rank < active);
    follow->Others = OrderOf(names, follow->Own, active, random);
    follow->Place = 0;
}

static void SetReaders(Follow* follow, const std::vector<std::string>& readers, Random* random)
{
    if (follow->Readers == readers)
    {
        return;
    }
    follow->FormerReaders = follow->Readers;
    follow->Readers = readers;
    SetNames(follow, readers, random);
}

std::vector<std::string> FollowActiveReaders(const Follow& follow)
{
    const std::vector<std::string>& names = follow.Readers.empty() ? follow.Seeds : follow.Readers;
    std::vector<std::string> active(names.begin(),
                                    names.begin() + static_cast<ptrdiff_t>(std::min(names.size(), follow.Config.ActiveReaders)));
    active.erase(std::remove(active.begin(), active.end(), follow.Own), active.end());
    return active;
}

static bool IsFollower(const Follow& follow, const std::string& address, TimeUs now)
{
    const auto seen = follow.Followers.find(address);
    return seen != follow.Followers.end() && now - seen->second.SeenUs <= follow.Config.ReaderExpiryUs;
}

// The follower that is added to the readers next: of a data centre that has none yet if possible. Empty if there is none.
static std::string NextReader(const Follow& follow, const std::vector<std::string>& readers, const std::set<std::string>& data_centres,
                              TimeUs now)
{
    std::string best;
    bool best_is_elsewhere = false;
    for (const auto& [address, follower] : follow.Followers)
    {
        const bool eligible = IsFollower(follow, address, now) && !Contains(readers, address);
        const bool elsewhere = data_centres.count(follower.DataCentre) == 0;
        if (eligible && (best.empty() || (elsewhere && !best_is_elsewhere)))
        {
            best = address;
            best_is_elsewhere = elsewhere;
        }
    }
    return best;
}

// The readers as named by this instance, which reads the store: itself, those of the last ones that still follow it, and other followers.
static std::vector<std::string> ChooseReaders(const Follow& follow, TimeUs now)
{
    std::vector<std::string> readers = {follow.Own};
    std::set<std::string> data_centres = {follow.DataCentre};
    const auto add = [&](const std::string& address)
    {
        readers.push_back(address);
        const auto follower = follow.Followers.find(address);
        data_centres.insert(follower != follow.Followers.end() ? follower->second.DataCentre : follow.DataCentre);
    };
    const bool starting = now < follow.StartedUs + follow.Config.ReaderExpiryUs; // The other seeds don't follow this one yet.
    for (const std::string& address : follow.Readers)
    {
        const bool stays = IsFollower(follow, address, now) || (starting && Contains(follow.Seeds, address));
        if (address != follow.Own && stays && readers.size() < follow.Config.ReadersMax)
        {
            add(address);
        }
    }
    while (readers.size() < follow.Config.ReadersMax)
    {
        const std::string next = NextReader(follow, readers, data_centres, now);
        if (next.empty())
        {
            break;
        }
        add(next);
    }
    return readers;
}

void FollowFollowerSeen(Follow* follow, const std::string& address, const std::string& data_centre, TimeUs now)
{
    follow->Followers[address] = {now, data_centre};
    for (auto follower = follow->Followers.begin(); follower != follow->Followers.end();)
    {
        const bool gone = now - follower->second.SeenUs > follow->Config.ReaderExpiryUs;
        follower = gone ? follow->Followers.erase(follower) : std::next(follower);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Rounds
//-----------------------------------------------------------------------------

// Index of the store in the round of an active reader: after the readers that take precedence. Before the first data it is the first, so
// that no time is lost when one of these is down.
static size_t StoreIndex(const Follow& follow)
{
    return follow.Revision == 0 ? 0 : follow.Rank;
}

// Number of sources in a round: for an active reader the other active ones and the store, for all others the readers.
static size_t RoundLength(const Follow& follow)
{
    const size_t active = follow.Config.ActiveReaders;
    return follow.Reads ? std::min(follow.Others.size(), active - 1) + 1 : follow.Others.size();
}

static FollowStep StepAt(const Follow& follow, size_t place)
{
    if (!follow.Reads)
    {
        return InstanceStep(follow, SourceKind_Seed, follow.Others[place]);
    }
    const size_t store = StoreIndex(follow);
    if (place == store)
    {
        const bool first = follow.RoundsInRow == 0;
        const StoreReason_ usual = follow.Revision == 0 ? StoreReason_Start : StoreReason_Poll;
        return StoreStep(follow, first ? usual : StoreReason_Retry);
    }
    FollowStep step = InstanceStep(follow, SourceKind_Seed, follow.Others[place < store ? place : place - 1]);
    step.StoreLost = follow.Revision == 0; // Without data: the store, which comes first, has failed.
    return step;
}

static void BeginRound(Follow* follow)
{
    follow->Tried = 0;
    follow->TriedOthers = 0;
    follow->TriedStore = false;
    follow->AnyStoreLost = false;
    follow->GraceUntilUs = 0;
    follow->FailbackAtUs = 0;
    follow->Redirected = false;
}

static TimeUs PauseAfterRound(const Follow& follow, Random* random)
{
    const FollowConfig& config = follow.Config;
    if (!follow.Reads && !follow.NamedToRead)
    {
        return config.PeerRetryUs + RandomUpTo(config.PeerRetryUs, random);
    }
    constexpr int doublings_max = 8;
    const int doublings = std::min(follow.RoundsInRow - 1, doublings_max);
    const TimeUs pause = std::min(config.RetryMaxUs, config.RetryUs << doublings);
    return pause / 2 + RandomUpTo(pause / 2, random);
}

// Whether to read the store because no reader answers with newer data. Few instances get here, as only followers of a lost reader do. The
// readers that are not active go first, in their order, and the others find them.
static bool ReadsForLostReaders(const Follow& follow, TimeUs now)
{
    const bool listed = follow.Rank < follow.Readers.size();
    const size_t before = listed ? follow.Rank : follow.Others.size();
    const bool lost = follow.StoreLostUs != 0 && now < follow.StoreLostUs + follow.Config.StoreTryMaxAgeUs;
    const bool urgent = !lost && now >= follow.FreshUs + follow.Config.StoreDirectUs;
    const bool tried = follow.Tried >= before || urgent;
    const bool failed = follow.StoreFailedUs != 0 && now < follow.StoreFailedUs + follow.Config.RetryMaxUs;
    return follow.Revision != 0 && !follow.Reads && !follow.AnyStoreLost && !follow.TriedStore && tried && !failed;
}

// Whether an instance without data, and without any answering source, falls back to the store now.
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
    const bool named = follow->NamedToRead && follow->RoundsInRow == 0;
    const bool retries = follow->NamedToRead && follow->RoundsInRow > 0;
    const bool fallback = named || FallsBackToStore(follow, now, random);
    follow->RoundsInRow++;
    BeginRound(follow);
    if (fallback || retries)
    {
        follow->Next = StoreStep(*follow, named ? StoreReason_Start : retries ? StoreReason_Retry : StoreReason_Fallback);
        follow->Next.PauseUs = retries ? PauseAfterRound(*follow, random) : 0;
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
    if (!follow->OtherReader.empty())
    {
        follow->Next = InstanceStep(*follow, SourceKind_Instance, std::exchange(follow->OtherReader, ""));
        return;
    }
    if (AsksStoreForCallers(*follow) || ReadsForLostReaders(*follow, now))
    {
        follow->TriedStore = true;
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

const FollowStep& FollowSource(const Follow& follow)
{
    return follow.Looking ? follow.Home : follow.Next;
}

static bool ReadsStore(const Follow& follow)
{
    return FollowSource(follow).Kind == SourceKind_Store;
}

// Time until the next look. An instance that has begun to read the store soon looks whether others do, and then less and less often.
static TimeUs LookInterval(const Follow& follow, Random* random)
{
    constexpr size_t doublings_max = 8;
    const TimeUs early = follow.Config.FirstLookUs << std::min(follow.Looks, doublings_max);
    const TimeUs interval = ReadsStore(follow) ? std::min(early, follow.Config.FailbackUs) : follow.Config.FailbackUs;
    return interval + RandomUpTo(interval / 2, random);
}

// When to look at another source; 0 for a follower of a reader, or of an instance that was named in a redirect.
static TimeUs LookTime(const Follow& follow, TimeUs now, Random* random)
{
    const bool preferred = !ReadsStore(follow) && (follow.Next.Kind == SourceKind_Seed || follow.Redirected);
    if (preferred)
    {
        return 0;
    }
    return follow.ReadForCallers ? now : now + LookInterval(follow, random); // The callers can be served now.
}

// Instances that may know of another reader of the store: all known ones that don't follow this instance.
static std::vector<std::string> LookCandidates(const Follow& follow, TimeUs now)
{
    std::vector<std::string> candidates;
    for (const auto* addresses : {&follow.Seeds, &follow.Readers, &follow.FormerReaders, &follow.KnownInstances})
    {
        for (const std::string& address : *addresses)
        {
            if (address != follow.Own && !IsFollower(follow, address, now) && !Contains(candidates, address))
            {
                candidates.push_back(address);
            }
        }
    }
    return candidates;
}

// The source to look at: another reader of the store if one is known, otherwise the candidates in turn. False if there is none.
static bool SetLook(Follow* follow, TimeUs now)
{
    const std::vector<std::string> candidates = ReadsStore(*follow) ? LookCandidates(*follow, now) : follow->Others;
    std::string address = std::exchange(follow->OtherReader, "");
    if (address.empty() && !candidates.empty())
    {
        address = candidates[follow->Looks % candidates.size()];
    }
    follow->Looks++;
    if (address.empty())
    {
        return false;
    }
    const SourceKind_ kind = Contains(follow->Others, address) ? SourceKind_Seed : SourceKind_Instance;
    FollowStep look = InstanceStep(*follow, kind, address);
    look.WaitMaxUs = follow->Config.LookWaitUs;
    look.ReadsStore = ReadsStore(*follow);
    follow->Next = look;
    return true;
}

static void BeginLook(Follow* follow, TimeUs now, Random* random)
{
    follow->Home = NextCall(*follow, now);
    follow->Looking = true;
    follow->FailbackAtUs = 0;
    if (!SetLook(follow, now))
    {
        follow->Looking = false;
        follow->Next = follow->Home;
        follow->FailbackAtUs = now + LookInterval(*follow, random);
    }
}

// Goes back to the source in use. An instance that read the store just for its waiting callers looks again instead while its data is fresh.
static void EndLook(Follow* follow, TimeUs now, Random* random)
{
    follow->Redirected = false;
    if (follow->ReadForCallers && now < follow->FreshUs + follow->Config.StoreFallbackUs && SetLook(follow, now))
    {
        follow->Next.PauseUs = follow->Config.PeerRetryUs + RandomUpTo(follow->Config.PeerRetryUs, random);
        return;
    }
    follow->Looking = false;
    follow->ReadForCallers = false;
    follow->Next = follow->Home;
    follow->FailbackAtUs = follow->OtherReader.empty() ? now + LookInterval(*follow, random) : now;
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

static bool HasLostStore(const Follow& follow)
{
    return follow.AnyStoreLost || follow.RoundsInRow > 0;
}

void FollowReaderSeen(Follow* follow, const std::string& address, TimeUs now)
{
    if (HasLostStore(*follow))
    {
        follow->OtherReader = address; // The next source to try.
    }
    else if (ReadsStore(*follow) && !follow->Looking && address < follow->Own)
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
    follow->ReadForCallers = from_store && follow->CallersWaiting && !follow->Reads;
    follow->Origin = from_store ? follow->Own : status.Origin;
    follow->Path = from_store ? std::vector<std::string>() : status.Path;
    follow->Looks = from_store && !follow->Reading ? 0 : follow->Looks;
    follow->Reading = from_store;
    if (from_store && !follow->Own.empty())
    {
        SetReaders(follow, ChooseReaders(*follow, now), random);
    }
    else if (!status.Readers.empty())
    {
        SetReaders(follow, status.Readers, random);
    }
    follow->RoundsInRow = 0;
    follow->UnansweredRounds = 0;
    follow->Tried = 0;
    follow->TriedOthers = 0;
    follow->TriedStore = false;
    follow->AnyStoreLost = false;
    follow->Looking = false;
    follow->GraceUntilUs = 0;
    follow->NamedToRead = false;
    follow->NoPath = false;
    follow->PathCheckedUs = 0;
    follow->StoreTimeouts = from_store ? 0 : follow->StoreTimeouts;
    follow->Place = CurrentPlace(*follow);
    follow->FailbackAtUs = follow->FailbackAtUs == 0 ? LookTime(*follow, now, random) : follow->FailbackAtUs;
    follow->CallersWaiting = false;
    if (follow->FailbackAtUs != 0 && now >= follow->FailbackAtUs)
    {
        BeginLook(follow, now, random);
        return;
    }
    follow->Next = NextCall(*follow, now);
}

// Removes an unusable instance from the known ones. FollowAddInstance() adds it again.
static void ForgetInstance(Follow* follow, const std::string& address)
{
    std::vector<std::string>& known = follow->KnownInstances;
    known.erase(std::remove(known.begin(), known.end(), address), known.end());
}

// The source has lost the store, and the store is being retried: keeps the source for a grace period, then tries the others.
static void OnStoreLost(Follow* follow, const SourceStatus& status, TimeUs now, Random* random)
{
    follow->AnyStoreLost = true;
    follow->StoreLostUs = now;
    follow->NoPath = follow->NoPath || status.NoPath; // A reader that has not checked its path yet knows less.
    if (follow->Reads)
    {
        ForgetInstance(follow, follow->Next.Address); // Don't delegate to the same instance again.
        TryNextSource(follow, now, random);
        return;
    }
    const FollowConfig& config = follow->Config;
    const bool looking = follow->Tried > 0;
    const bool retries = follow->Place < config.ActiveReaders; // It tries the store itself.
    const bool last = retries && follow->Tried + 1 >= std::min(config.ActiveReaders, RoundLength(*follow));
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
    follow->Next = NextCall(*follow, now);
    follow->Next.StoreLost = true;
    follow->Next.WaitMaxUs = follow->GraceUntilUs - now;
}

static bool IsFresher(const Follow& follow, const SourceStatus& status, TimeUs now)
{
    return now - status.AgeUs >= follow.FreshUs + follow.Config.FresherMinUs;
}

// Whether a source is usable in place of the one that failed. One that isn't fresher may have lost the same source, or follow this
// instance.
static bool ReplacesFailedSource(const Follow& follow, const SourceStatus& status, TimeUs now)
{
    const bool through_failed = status.Path.empty() || Contains(status.Path, follow.FailedSource);
    const bool current = !through_failed && follow.TriedOthers == 0 && status.AgeUs <= follow.Config.LookMaxAgeUs;
    return follow.Revision == 0 || current || IsFresher(follow, status, now);
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
    const bool exempt = from_store || follow->Tried == 0 || follow->Next.AskStore || (status.StoreLost && follow->TriedOthers == 0);
    const bool is_behind = !exempt && !ReplacesFailedSource(*follow, status, now);
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
        OnStoreLost(follow, status, now, random);
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
        follow->StoreFailedUs = now;
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
    follow->FailedSource = follow->Tried == 0 && failed.Kind != SourceKind_Store ? failed.Address : follow->FailedSource;
    const bool was_fallback = !follow->Reads && failed.Kind == SourceKind_Store;
    follow->Tried = was_fallback ? 0 : follow->Tried; // Try the readers, except the current one, before the next pause.
    TryNextSource(follow, now, random);
}

void FollowRedirected(Follow* follow, const std::vector<std::string>& addresses, TimeUs now, Random* random)
{
    assert(!addresses.empty() && "sent on to nobody");
    if (Contains(addresses, follow->Own))
    {
        follow->NamedToRead = follow->Revision == 0;
        FollowFailed(follow, false, now, random);
        return;
    }
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

bool FollowWantsPathCheck(Follow* follow, TimeUs now)
{
    const bool due = follow->PathCheckedUs == 0 || now >= follow->PathCheckedUs + follow->Config.PathCheckUs;
    if (!HasLostStore(*follow) || !follow->NoPath || !due || ReadsStore(*follow))
    {
        return false;
    }
    follow->PathCheckedUs = now;
    return true;
}

bool FollowStorePath(Follow* follow, bool has_path)
{
    const bool before = follow->NoPath;
    follow->NoPath = (HasLostStore(*follow) || follow->Tried > 0) && !has_path;
    return follow->NoPath && !before;
}

bool FollowPathChecked(Follow* follow, bool connected)
{
    return connected && HasLostStore(*follow) && FollowAskStore(follow);
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
    if (address.empty() || Contains(follow->Others, address) || address == follow->Own)
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
    follow->Own = own;
    follow->StoreAddress = store;
    follow->Seeds = sorted;
    if (follow->Revision == 0)
    {
        follow->Readers.clear();
        SetNames(follow, sorted, random);
        follow->Readers = Contains(sorted, own) ? sorted : follow->Readers;
        follow->Tried = 0;
    }
    for (const std::string& seed : sorted)
    {
        FollowAddInstance(follow, seed);
    }
    follow->FailbackAtUs = follow->Next.Kind != SourceKind_None ? 1 : 0; // Look at the new seeds with the next good answer.
}

void FollowStart(Follow* follow, TimeUs now)
{
    assert(!follow->StoreAddress.empty() && "call FollowSetSources() first");
    follow->StartedUs = now;
    BeginRound(follow);
    follow->Place = 0;
    follow->Next = StepAt(*follow, follow->Place);
}

} // namespace Winchlink
