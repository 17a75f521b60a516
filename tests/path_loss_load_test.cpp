// path_loss_load_test.cpp: fleets of which a part loses the path to the targets, in virtual time. Guards against callers that are not
// served though some instance has a path, against takers that get far more than others, and against endless offers where nobody has a path.
//
// The library decides (TargetPath, Peers); the model adds the tree of followers, messages of 1.5 ms, and targets that never are full.

#include "check.h"

#include <fmt/format.h>
#include <functional>
#include <queue>

namespace Winchlink
{

static constexpr TimeUs HopUs = 3 * UsPerMs;           // From an offer to its refusal.
static constexpr TimeUs WorkUs = 200 * UsPerMs;        // Of a request at a target.
static constexpr TimeUs TellUs = 800 * UsPerMs;        // Between two messages of a follower and its source.
static constexpr TimeUs ProbeStepUs = 5 * UsPerMs;     // Between two probes of a request.
static constexpr TimeUs ProbeTimeoutUs = 40 * UsPerMs; // Of a probe without an answer.
static constexpr TimeUs CutUs = 10 * UsPerSecond;      // Begin of the cut.
static constexpr TimeUs InTouchUs = 3 * UsPerSecond;   // Callers are to be served as elsewhere from this time after it on.
static constexpr TimeUs BackUs = 18 * UsPerSecond;     // End of the cut.
static constexpr size_t Fanout = 28;
static constexpr size_t ServiceTargets = 20;
static constexpr const char* Service = "svc";

struct CutPlan
{
    size_t Size = 0;                            // Instances.
    double PerS = 1;                            // Requests at each instance.
    bool Refused = false;                       // Connections are refused at once; otherwise they hang.
    std::function<bool(size_t instance)> IsCut; // From CutUs to BackUs.
    TimeUs OnUs = 0;                            // From CutUs on the others have a path for this part of each second only; 0: all the time.
    TimeUs RestartUs = 0;                       // The instances that are cut restart at this time; 0: they don't.
};

struct CutInstance
{
    TargetPath Path;
    Peers Others;
    int Taken = 0;
    int Own = 0;
    int TakenCount = 0; // While the cut lasts.
};

struct CutResult
{
    int Sent = 0;            // At instances that were cut, from InTouchUs after the begin or their restart on.
    int Served = 0;          // Of these.
    int Offers = 0;          // Of these, to other instances.
    int SentElsewhere = 0;   // In the same time, at the other instances.
    int ServedElsewhere = 0; // Of these.
    int TakenMax = 0;
    double TakenMean = 0;
    TimeUs SlowestUs = 0;   // Time until a target or a refusal was found.
    TimeUs OpenAgainUs = 0; // From the end of the cut until all paths are open.
};

// One run.
struct CutModel
{
    using Event = std::pair<std::pair<TimeUs, uint64_t>, std::function<void()>>;
    struct Later
    {
        bool operator()(const Event& a, const Event& b) const
        {
            return a.first > b.first;
        }
    };

    const CutPlan& Plan;
    Random Rng;
    TimeUs Now = 0;
    uint64_t LastEvent = 0;
    std::priority_queue<Event, std::vector<Event>, Later> Events;
    std::vector<CutInstance> Fleet;
    CutResult Result;

    CutModel(const CutPlan& plan, uint64_t seed) : Plan(plan), Rng(seed), Fleet(plan.Size)
    {
        for (size_t n = 0; n < plan.Size; n++)
        {
            Fleet[n].Others.Own = AddressOf(n);
            Fleet[n].Others.DataCentre = static_cast<uint16_t>(n % 4);
            At(Draw(TellUs), [this, n]() { Tell(n); });
            At(Draw(UsPerSecond), [this, n]() { Ask(n); });
            if (plan.RestartUs > 0 && plan.IsCut(n))
            {
                At(plan.RestartUs, [this, n]() { Restart(n); });
            }
        }
    }

    // The instance has forgotten whom it knew, and its followers have lost their connections to it.
    void Restart(size_t n)
    {
        Peers fresh;
        fresh.Own = Fleet[n].Others.Own;
        fresh.DataCentre = Fleet[n].Others.DataCentre;
        Fleet[n].Others = fresh;
        Fleet[n].Path = TargetPath();
        for (size_t follower = n * Fanout + 1; follower <= (n + 1) * Fanout && follower < Fleet.size(); follower++)
        {
            PeersSourceFailed(&Fleet[follower].Others, AddressOf(n));
        }
    }

    static std::string AddressOf(size_t n)
    {
        return fmt::format("10.1.{}.{}:9", n / 250, n % 250);
    }

    TimeUs Draw(TimeUs max)
    {
        return std::uniform_int_distribution<TimeUs>(0, max)(Rng);
    }

    void At(TimeUs delay, const std::function<void()>& what)
    {
        Events.push({{Now + delay, ++LastEvent}, what});
    }

    bool HasPath(size_t n) const
    {
        if (Now < CutUs || Now >= BackUs)
        {
            return true;
        }
        const TimeUs phase = static_cast<TimeUs>(n) * 137 * UsPerMs;
        return !Plan.IsCut(n) && (Plan.OnUs == 0 || (Now + phase) % UsPerSecond < Plan.OnUs);
    }

    void Run()
    {
        while (!Events.empty() && Now < BackUs + 5 * UsPerSecond)
        {
            const Event event = Events.top();
            Events.pop();
            Now = event.first.first;
            event.second();
        }
    }

    void Hear(size_t n, size_t from)
    {
        const bool path = Fleet[from].Path.State != TargetPathState_Lost;
        for (const PeerUpdate& peer : DecodePeers(EncodePeers(PeersNews(Fleet[from].Others, AddressOf(n), path, Now, &Rng))))
        {
            PeersHeard(&Fleet[n].Others, peer, Now);
        }
    }

    void Tell(size_t n)
    {
        At(TellUs, [this, n]() { Tell(n); });
        const size_t source = n > 0 ? (n - 1) / Fanout : 0;
        if (n > 0 && PeersNewsDue(&Fleet[n].Others, AddressOf(source), Fleet[n].Path.State != TargetPathState_Lost, Now))
        {
            Hear(source, n);
            Hear(n, source);
        }
    }

    bool Contact(size_t n, TimeUs delay)
    {
        const bool path = HasPath(n);
        const std::string target = std::to_string(Draw(ServiceTargets - 1));
        const ContactEnd_ failed = Plan.Refused ? ContactEnd_Refused : ContactEnd_Silent;
        TargetPathContact(&Fleet[n].Path, target, path ? ContactEnd_Answered : failed, ServiceTargets, Now + delay);
        return path;
    }

    void Check(size_t n)
    {
        if (TargetPathNow(&Fleet[n].Path, Now) == TargetPathState_Open)
        {
            Result.OpenAgainUs = std::max(Result.OpenAgainUs, Now - BackUs);
            return;
        }
        Contact(n, 0);
        At(TargetPathCheckDelay(Fleet[n].Path, Now), [this, n]() { Check(n); });
    }

    // Probes targets until one answers or the path counts as lost. Returns the time until then; nothing if no target was found.
    std::optional<TimeUs> Search(size_t n, TimeUs* took)
    {
        CutInstance& instance = Fleet[n];
        for (int probe = 0; probe < instance.Path.Config.CertainMin; probe++)
        {
            if (Contact(n, 0))
            {
                return *took + HopUs;
            }
            *took = Plan.Refused ? *took + HopUs : ProbeTimeoutUs + probe * ProbeStepUs;
            if (instance.Path.State == TargetPathState_Lost)
            {
                At(instance.Path.Config.CheckUs, [this, n]() { Check(n); });
                return std::nullopt;
            }
        }
        return std::nullopt;
    }

    // Offers the request to peers. Returns whether one has taken it.
    bool Offer(size_t n, bool counts, TimeUs* took)
    {
        Peers& others = Fleet[n].Others;
        std::vector<std::string> tried;
        while (tried.size() < others.Config.TriesMax)
        {
            const std::string address = PeersPick(others, Service, tried, Now, &Rng);
            if (address.empty())
            {
                return false;
            }
            tried.push_back(address);
            Result.Offers += counts ? 1 : 0;
            *took += HopUs;
            const size_t taker = IndexOf(address);
            PeersSent(&others, address);
            PeersLoad(&others, address, Fleet[taker].Taken);
            PeersWithoutPath(&Fleet[taker].Others, AddressOf(n), Service, Now);
            const bool may_take = PeersMayTake(Fleet[taker].Others, Fleet[taker].Taken, Fleet[taker].Own);
            const bool path = Fleet[taker].Path.State != TargetPathState_Lost && HasPath(taker);
            const PeerEnd_ end = !path ? PeerEnd_NoPath : may_take ? PeerEnd_Answered : PeerEnd_Full;
            if (end == PeerEnd_Answered)
            {
                Fleet[taker].Taken++;
                Fleet[taker].TakenCount++;
                At(WorkUs,
                   [this, n, taker, address]()
                   {
                       Fleet[taker].Taken--;
                       PeersEnded(&Fleet[n].Others, address, Service, PeerEnd_Answered, Now);
                   });
                return true;
            }
            PeersEnded(&others, address, Service, end, Now);
            PeersRecommended(&others, PeersRecommend(Fleet[taker].Others, Now, &Rng), Now);
        }
        return false;
    }

    static size_t IndexOf(const std::string& address)
    {
        unsigned high = 0;
        unsigned low = 0;
        CPPUNIT_ASSERT_EQUAL(2, std::sscanf(address.c_str(), "10.1.%u.%u:9", &high, &low));
        return high * 250 + low;
    }

    void Ask(size_t n)
    {
        At(static_cast<TimeUs>(std::exponential_distribution<double>(Plan.PerS)(Rng) * UsPerSecond), [this, n]() { Ask(n); });
        CutInstance& instance = Fleet[n];
        instance.Path.NeededUs = Now;
        const bool during = Now >= std::max(CutUs, Plan.RestartUs) + InTouchUs && Now < BackUs;
        const bool counts = during && Plan.IsCut(n);
        TimeUs took = 0;
        bool served = TargetPathNow(&instance.Path, Now) == TargetPathState_Open && Search(n, &took).has_value();
        served = served || Offer(n, counts, &took);
        const bool on_trial = TargetPathNow(&instance.Path, Now) == TargetPathState_Trial;
        served = served || (on_trial && Search(n, &took).has_value());
        Result.Sent += counts ? 1 : 0;
        Result.Served += counts && served ? 1 : 0;
        Result.SentElsewhere += during && !counts ? 1 : 0;
        Result.ServedElsewhere += during && !counts && served ? 1 : 0;
        Result.SlowestUs = counts ? std::max(Result.SlowestUs, took) : Result.SlowestUs;
    }
};

static CutResult Play(const CutPlan& plan, uint64_t seed = 20261203)
{
    CutModel model(plan, seed);
    model.Run();
    size_t takers = 0;
    int taken = 0;
    for (size_t n = 0; n < plan.Size; n++)
    {
        takers += plan.IsCut(n) ? 0 : 1;
        taken += model.Fleet[n].TakenCount;
        model.Result.TakenMax = std::max(model.Result.TakenMax, model.Fleet[n].TakenCount);
    }
    model.Result.TakenMean = takers > 0 ? static_cast<double>(taken) / static_cast<double>(takers) : 0;
    return model.Result;
}

class PathLossLoadTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(PathLossLoadTest);
    CPPUNIT_TEST(OneInstanceIsCutOff);
    CPPUNIT_TEST(HalfOfTheFleetIsCutOff);
    CPPUNIT_TEST(TwoThirdsOfTheFleetAreCutOff);
    CPPUNIT_TEST(ADataCentreIsCutOff);
    CPPUNIT_TEST(NineTenthsOfTheFleetAreCutOff);
    CPPUNIT_TEST(AllAreCutOff);
    CPPUNIT_TEST(TheOthersLoseAndRegainTheirPaths);
    CPPUNIT_TEST(InstancesThatRestartFindTheOthers);
    CPPUNIT_TEST_SUITE_END();

    static std::string Text(const CutPlan& plan, const CutResult& result)
    {
        return fmt::format(
            "{} instances, {} a second: {} of {} served, {} offers, at most {} taken (mean {:.0f}), slowest {} us, open again {} us",
            plan.Size, plan.PerS, result.Served, result.Sent, result.Offers, result.TakenMax, result.TakenMean, result.SlowestUs,
            result.OpenAgainUs);
    }

    // Plays fleets of several sizes, at several rates, with silent and with refused connections. At most one in 50 requests may fail, and
    // no instance may take more than four times the mean or its own load, whichever is more.
    static void PlayAll(const std::function<bool(size_t instance, size_t size)>& is_cut)
    {
        for (const size_t size : {size_t{3}, size_t{18}, size_t{99}, size_t{587}})
        {
            for (const double per_s : {0.05, 2.0, 20.0})
            {
                const CutPlan plan = {size, per_s, per_s > 1 && size % 2 == 1,
                                      [&](size_t n)
                                      {
                                          return is_cut(n, size);
                                      }};
                const CutResult result = Play(plan);
                const std::string text = Text(plan, result);
                CPPUNIT_ASSERT_MESSAGE(text, (result.Sent - result.Served) * 50 <= result.Sent);
                const double own = per_s * (BackUs - CutUs) / UsPerSecond;
                CPPUNIT_ASSERT_MESSAGE(text, result.TakenMax <= 4 * std::max(result.TakenMean, own) + 20 || size == 3);
                CPPUNIT_ASSERT_MESSAGE(text, result.OpenAgainUs <= UsPerSecond + 3 * UsPerSecond);
            }
        }
    }

    void OneInstanceIsCutOff()
    {
        PlayAll([](size_t n, size_t) { return n == 1; });
    }

    void HalfOfTheFleetIsCutOff()
    {
        PlayAll([](size_t n, size_t) { return n % 4 < 2 ? n % 8 < 4 : n % 8 >= 4; });
    }

    // Two of three instances of each data centre, the reader of the store among them.
    void TwoThirdsOfTheFleetAreCutOff()
    {
        PlayAll([](size_t n, size_t) { return n % 3 != 2; });
    }

    void ADataCentreIsCutOff()
    {
        PlayAll([](size_t n, size_t) { return n % 4 == 1; });
    }

    // The few others have to be found. At the highest rate they can't take everything, and the rest is refused.
    void NineTenthsOfTheFleetAreCutOff()
    {
        for (const size_t size : {size_t{18}, size_t{99}, size_t{587}})
        {
            const CutPlan plan = {size, 2, true,
                                  [](size_t n)
                                  {
                                      return n % 10 != 7;
                                  }};
            const CutResult result = Play(plan);
            CPPUNIT_ASSERT_MESSAGE(Text(plan, result), (result.Sent - result.Served) * 50 <= result.Sent);
        }
    }

    // Refused without a search, and with few offers: at most TriesMax for a request, and one in NoPathShareUs; each peer at most once in
    // NoPathMinUs.
    void AllAreCutOff()
    {
        for (const size_t size : {size_t{3}, size_t{18}, size_t{99}, size_t{587}})
        {
            const CutPlan plan = {size, 20, size % 2 == 0,
                                  [](size_t)
                                  {
                                      return true;
                                  }};
            const CutResult result = Play(plan);
            const PeerConfig config;
            const std::string text = Text(plan, result);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, result.Served);
            CPPUNIT_ASSERT_MESSAGE(text, result.SlowestUs <= static_cast<TimeUs>(config.TriesMax) * HopUs);
            const double seconds = static_cast<double>(BackUs - CutUs - InTouchUs) / UsPerSecond;
            const size_t peers_known = std::min(size - 1, config.PeersMax);
            const auto peers = static_cast<double>(peers_known);
            const TimeUs gap = std::max(static_cast<TimeUs>(peers_known) * config.NoPathShareUs, config.NoPathMinUs);
            const double per_peer = seconds * UsPerSecond / static_cast<double>(gap) + 1;
            CPPUNIT_ASSERT_MESSAGE(text, result.Offers <= per_peer * peers * static_cast<double>(size) * 2);
        }
    }

    // Guards against callers that are refused because refusals of instances that reach targets again are remembered: two thirds of the
    // share that is served at the others are to be served.
    void TheOthersLoseAndRegainTheirPaths()
    {
        for (const size_t size : {size_t{6}, size_t{18}, size_t{99}})
        {
            for (const TimeUs on : {300 * UsPerMs, 500 * UsPerMs, 800 * UsPerMs})
            {
                const CutPlan plan = {size, 20, true, [](size_t n) { return n % 3 != 2; }, on};
                const CutResult result = Play(plan);
                const double share = static_cast<double>(result.Served) / result.Sent;
                const double elsewhere = static_cast<double>(result.ServedElsewhere) / result.SentElsewhere;
                CPPUNIT_ASSERT_MESSAGE(fmt::format("{}; on {} us: {:.2f}, elsewhere {:.2f}", Text(plan, result), on, share, elsewhere),
                                       share >= elsewhere * 2 / 3);
            }
        }
    }

    // Guards against callers that are refused because a source that restarts is not told of its followers, which alone reach targets.
    void InstancesThatRestartFindTheOthers()
    {
        for (const size_t size : {size_t{3}, size_t{18}, size_t{99}, size_t{587}})
        {
            CutPlan plan = {size, 2, false,
                            [](size_t n)
                            {
                                return n % 3 != 2;
                            }};
            plan.RestartUs = CutUs + 3 * UsPerSecond;
            const CutResult result = Play(plan);
            CPPUNIT_ASSERT_MESSAGE(Text(plan, result), (result.Sent - result.Served) * 50 <= result.Sent);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathLossLoadTest);

} // namespace Winchlink
