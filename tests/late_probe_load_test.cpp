// late_probe_load_test.cpp: load probes of slow targets in virtual time, while the path to the targets is good and while it is cut.
//
// Guards against a path that counts as lost although targets are just slow or the own link is full, and against a cut that is seen late.
//
// The library decides (TargetPath, OwnLink, AdaptiveProbeTimeout); the model adds the requests of many instances, which probe targets one
// after the other, targets that answer late, and links on which probes wait behind large answers.

#include "check.h"

#include <fmt/format.h>
#include <functional>
#include <numeric>
#include <queue>

namespace Winchlink
{

static constexpr TimeUs ProbeUs = 6 * UsPerMs;       // Of a probe at a target of usual pace.
static constexpr int SlowFactor = 7;                 // At a slow one.
static constexpr TimeUs SlowProbeUs = 5 * UsPerMs;   // After this time without an answer the next target is probed as well.
static constexpr TimeUs WorkUs = 94 * UsPerMs;       // Of a request at a target of usual pace.
static constexpr TimeUs HangslineUs = 300 * UsPerMs; // Of a request.
static constexpr TimeUs PaceUs = 500 * UsPerMs;      // A target keeps its pace for this long.
static constexpr TimeUs LastUs = 10 * UsPerSecond;   // Length of a run.
static constexpr TimeUs StallUs = 100 * UsPerMs;     // Longest time for which an instance handles no events.
static constexpr int ProbesMax = 8;                  // For each request.
static constexpr size_t ServiceTargets = 36;
static constexpr double PartBytes = 16 * 1024; // Large answers arrive in parts of this size.

struct LateProbePlan
{
    size_t Instances = 197;
    double PerS = 4;              // Rate at each instance at which requests come.
    int Together = 1;             // Most requests that come at the same moment.
    double SlowShare = 0.3;       // Share of the targets that are slow at a moment.
    double BusyShare = 0.5;       // Share of the probed targets that have no free slot.
    size_t Refusing = 0;          // Targets that refuse connections at a moment.
    size_t Hanging = 0;           // Targets that never answer at a moment.
    double StallsPerS = 0;        // Rate at which an instance stalls.
    TimeUs RoundTripUs = UsPerMs; // Longest round trip.
    TimeUs CutUs = 2 * LastUs;    // From then on the path is cut.
    bool CutRefuses = false;      // Connections are refused at once; otherwise contacts are silent.
    bool Listens = true;          // Injected fault if not: a probe that has timed out is given up at once.
    double LinkBytesPerS = 0;     // Bandwidth of each instance's link; 0: no limit.
    double LargePerS = 0;         // Rate at which an instance passes on large answers.
    double LargeBytes = 90e3;     // Their mean size; from a third of it to five thirds.
    bool LargeInCut = false;      // Large answers are those of another service, which is not cut off.
    double NewShare = 0.6;        // Share of the probes that open a connection; matters for the link only.
    bool KnowsLink = true;        // Injected fault if not: the link's bandwidth is not known.
};

struct LateProbeInstance
{
    TargetPath Path;
    AdaptiveProbeTimeout Timeout;
    TimeUs StalledUntilUs = 0;
    TimeUs FirstCutUs = 0;   // First request after the cut; 0: none yet.
    int CutProbes = 0;       // Probes from then on.
    TimeUs CutTimeoutUs = 0; // Longest timeout of the first FailedMin of them.
    OwnLink Link;
    TimeUs OutUntilUs = 0; // When the link has carried what was sent; the same for what was received.
    TimeUs InUntilUs = 0;
};

struct LateProbeResult
{
    int Requests = 0;
    int Probes = 0;
    int Late = 0;
    int FalseLosses = 0;
    int Seen = 0;         // Instances that have seen the cut.
    int Unseen = 0;       // Instances that have not, a second after their first request.
    TimeUs SeenSumUs = 0; // From an instance's first request after the cut until it has seen it.
    TimeUs TooLateUs = 0; // The same, beyond the timeout of its probes, at most.
    TimeUs SeenMaxUs = 0;
};

struct LateProbeModel
{
    using Event = std::pair<std::pair<TimeUs, uint64_t>, std::function<void()>>;
    struct Later
    {
        bool operator()(const Event& a, const Event& b) const
        {
            return a.first > b.first;
        }
    };
    struct Search
    {
        std::set<size_t> Probed;
        bool Done = false;
        int InFlight = 0;
    };
    using SearchPtr = std::shared_ptr<Search>;
    struct ProbeState
    {
        TimeUs BegunUs = 0;
        TimeUs TimeoutUs = 0;
        TimeUs OccupiedUs = 0; // Of the link, when it was begun.
        TimeUs ExtraUs = 0;
        bool Late = false;
        bool Ended = false;
    };

    const LateProbePlan& Plan;
    Random Rng;
    TimeUs Now = 0;
    uint64_t LastEvent = 0;
    std::priority_queue<Event, std::vector<Event>, Later> Events;
    std::vector<LateProbeInstance> Fleet;
    std::vector<bool> Slow;
    std::vector<bool> Refuses;
    std::vector<bool> Hangs;
    LateProbeResult Result;

    LateProbeModel(const LateProbePlan& plan, uint64_t seed)
        : Plan(plan), Rng(seed), Fleet(plan.Instances), Slow(ServiceTargets), Refuses(ServiceTargets), Hangs(ServiceTargets)
    {
        DrawTargets();
        for (size_t n = 0; n < plan.Instances; n++)
        {
            Fleet[n].Link.BytesPerS = plan.KnowsLink ? plan.LinkBytesPerS : 0;
            NextRequest(n);
            NextStall(n);
            NextLarge(n);
        }
    }

    TimeUs Draw(TimeUs max)
    {
        return std::uniform_int_distribution<TimeUs>(0, max)(Rng);
    }

    bool Happens(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(Rng) < share;
    }

    TimeUs Gap(double per_s)
    {
        return static_cast<TimeUs>(std::exponential_distribution<double>(per_s)(Rng) * UsPerSecond);
    }

    void At(TimeUs delay, const std::function<void()>& what)
    {
        Events.push({{Now + delay, ++LastEvent}, what});
    }

    // For an event of an instance: one that stalls handles it when it goes on, timers before what has arrived.
    void AtInstance(size_t n, TimeUs delay, bool timer, const std::function<void()>& what)
    {
        At(delay,
           [this, n, timer, what]()
           {
               const TimeUs left = Fleet[n].StalledUntilUs - Now;
               left > 0 ? At(timer ? left : left + 1, what) : what();
           });
    }

    void Run()
    {
        while (!Events.empty() && Now < LastUs + UsPerSecond)
        {
            const Event event = Events.top();
            Events.pop();
            Now = event.first.first;
            event.second();
        }
        for (const LateProbeInstance& instance : Fleet)
        {
            const bool contacts = instance.FirstCutUs > 0 && Now >= instance.FirstCutUs + UsPerSecond;
            Result.Unseen += contacts && instance.Path.LostUs < Plan.CutUs ? 1 : 0;
        }
    }

    void DrawTargets()
    {
        std::vector<size_t> order(ServiceTargets);
        std::iota(order.begin(), order.end(), 0);
        std::shuffle(order.begin(), order.end(), Rng);
        for (size_t n = 0; n < ServiceTargets; n++)
        {
            Slow[order[n]] = Happens(Plan.SlowShare);
            Refuses[order[n]] = n < Plan.Refusing;
            Hangs[order[n]] = n >= Plan.Refusing && n < Plan.Refusing + Plan.Hanging;
        }
        At(PaceUs, [this]() { DrawTargets(); });
    }

    void NextStall(size_t n)
    {
        if (Plan.StallsPerS > 0)
        {
            At(Gap(Plan.StallsPerS),
               [this, n]()
               {
                   Fleet[n].StalledUntilUs = Now + Draw(StallUs);
                   NextStall(n);
               });
        }
    }

    // Passes a large answer on: it arrives in parts, then is sent whole.
    void NextLarge(size_t n)
    {
        if (Plan.LargePerS <= 0 || Plan.LinkBytesPerS <= 0)
        {
            return;
        }
        const auto next = [this, n]()
        {
            NextLarge(n);
            if (!IsCut() || Plan.LargeInCut)
            {
                ReceiveLarge(n, std::uniform_real_distribution<double>(Plan.LargeBytes / 3, Plan.LargeBytes * 5 / 3)(Rng));
            }
        };
        At(Gap(Plan.LargePerS), next);
    }

    void ReceiveLarge(size_t n, double bytes)
    {
        double left = bytes;
        while (left > 0)
        {
            const double part = std::min(left, PartBytes);
            const TimeUs delay = Occupy(&Fleet[n].InUntilUs, part);
            const auto arrived = [this, n, part, bytes, last = left <= PartBytes]()
            {
                OwnLinkReceived(&Fleet[n].Link, static_cast<size_t>(part));
                if (last)
                {
                    OwnLinkSent(&Fleet[n].Link, static_cast<size_t>(bytes), Now);
                    Occupy(&Fleet[n].OutUntilUs, bytes);
                }
            };
            AtInstance(n, delay, false, arrived);
            left -= PartBytes;
        }
    }

    // Time until the link has carried these bytes too.
    TimeUs Occupy(TimeUs* until, double bytes) const
    {
        *until = std::max(*until, Now) + static_cast<TimeUs>(bytes / Plan.LinkBytesPerS * UsPerSecond);
        return *until - Now;
    }

    // When a message that is sent now has passed the link; the same for one that arrives at `at`. Later large answers don't delay it.
    TimeUs SentAt(size_t n, TimeUs at) const
    {
        return std::max(at, Fleet[n].OutUntilUs);
    }

    TimeUs ReceivedAt(size_t n, TimeUs at) const
    {
        return std::max(at, Fleet[n].InUntilUs);
    }

    // Time from the probe to its answer, which takes `work` at the target.
    TimeUs ProbeTakes(size_t n, TimeUs work)
    {
        TimeUs at = Now;
        if (Happens(Plan.NewShare))
        {
            at = ReceivedAt(n, SentAt(n, at) + Draw(Plan.RoundTripUs));
        }
        return ReceivedAt(n, SentAt(n, at) + work + Draw(Plan.RoundTripUs)) - Now;
    }

    void NextRequest(size_t n)
    {
        AtInstance(n, Gap(Plan.PerS), false,
                   [this, n]()
                   {
                       for (TimeUs left = 1 + Draw(Plan.Together - 1); left > 0; left--)
                       {
                           Result.Requests++;
                           Fleet[n].FirstCutUs = IsCut() && Fleet[n].FirstCutUs == 0 ? Now : Fleet[n].FirstCutUs;
                           Probe(n, std::make_shared<Search>());
                       }
                       NextRequest(n);
                   });
    }

    bool IsCut() const
    {
        return Now >= Plan.CutUs;
    }

    void Note(size_t n, bool changed)
    {
        LateProbeInstance& instance = Fleet[n];
        if (!changed || instance.Path.State != TargetPathState_Lost)
        {
            return;
        }
        const ContactCounts& counts = instance.Path.Counts;
        ProbeTimeoutRevert(&instance.Timeout, counts[ContactEnd_Silent] + counts[ContactEnd_Late]);
        if (!IsCut())
        {
            Result.FalseLosses++;
            TargetPathForget(&instance.Path, Now); // The path is good, and is used on.
            return;
        }
        if (instance.FirstCutUs == 0)
        {
            return; // By contacts that were begun before.
        }
        const TimeUs seen = Now - instance.FirstCutUs;
        Result.SeenMaxUs = std::max(Result.SeenMaxUs, seen);
        Result.TooLateUs = std::max(Result.TooLateUs, seen - instance.CutTimeoutUs);
        Result.SeenSumUs += seen;
        Result.Seen++;
    }

    void Contact(size_t n, size_t target, ContactEnd_ end)
    {
        Note(n, TargetPathContact(&Fleet[n].Path, std::to_string(target), end, ServiceTargets, Now));
    }

    // Sends the request to the target that was found.
    void Send(size_t n, size_t target)
    {
        const TimeUs took = WorkUs * (Slow[target] ? SlowFactor : 1);
        if (took <= HangslineUs && Now + took < Plan.CutUs)
        {
            AtInstance(n, took, false, [this, n, target]() { Contact(n, target, ContactEnd_Answered); });
            return;
        }
        AtInstance(n, HangslineUs, true,
                   [this, n, target, begun = Now]()
                   {
                       Plan.Listens ? Note(n, TargetPathLate(&Fleet[n].Path, std::to_string(target), begun, ServiceTargets, Now))
                                    : Contact(n, target, ContactEnd_Silent);
                   });
    }

    void Continue(size_t n, const SearchPtr& search)
    {
        search->InFlight--;
        if (!search->Done)
        {
            Probe(n, search);
        }
    }

    void OnProbed(size_t n, const SearchPtr& search, size_t target)
    {
        if (!search->Done && !Happens(Plan.BusyShare))
        {
            search->Done = true;
            Send(n, target);
        }
        Continue(n, search);
    }

    void Probe(size_t n, const SearchPtr& search)
    {
        if (search->Probed.size() >= ProbesMax || (IsCut() && Fleet[n].Path.State == TargetPathState_Lost))
        {
            return;
        }
        size_t target = 0;
        do
        {
            target = static_cast<size_t>(Draw(ServiceTargets - 1));
        } while (!search->Probed.insert(target).second);
        search->InFlight++;
        Result.Probes++;
        SendProbe(n, search, target);
        AtInstance(n, SlowProbeUs, true,
                   [this, n, search]()
                   {
                       if (!search->Done && search->InFlight > 0)
                       {
                           Probe(n, search);
                       }
                   });
    }

    void SendProbe(size_t n, const SearchPtr& search, size_t target)
    {
        LateProbeInstance& instance = Fleet[n];
        if (IsCut() ? Plan.CutRefuses : Refuses[target])
        {
            AtInstance(n, Draw(Plan.RoundTripUs), false,
                       [this, n, search, target]()
                       {
                           Contact(n, target, ContactEnd_Refused);
                           Continue(n, search);
                       });
            return;
        }
        if (instance.FirstCutUs > 0 && ++instance.CutProbes <= instance.Path.Config.FailedMin)
        {
            instance.CutTimeoutUs = std::max(instance.CutTimeoutUs, ProbeTimeoutNow(instance.Timeout));
        }
        const auto probe = std::make_shared<ProbeState>();
        probe->BegunUs = Now;
        probe->OccupiedUs = OwnLinkOccupiedUs(instance.Link, Now);
        probe->TimeoutUs = ProbeTimeoutNow(instance.Timeout);
        const auto unless_ended = [this, n, probe](TimeUs delay, bool timer, const std::function<void()>& what)
        {
            AtInstance(n, delay, timer,
                       [probe, what]()
                       {
                           if (!probe->Ended)
                           {
                               what();
                           }
                       });
        };
        unless_ended(probe->TimeoutUs, true,
                     [this, n, search, target, probe, unless_ended]()
                     {
                         OnLate(n, search, target, probe.get());
                         Listen(n, target, probe, Fleet[n].Timeout.ListenUs);
                     });
        const TimeUs work = ProbeUs * (Slow[target] ? SlowFactor : 1);
        const TimeUs took = Plan.LinkBytesPerS > 0 ? ProbeTakes(n, work) : work + Draw(Plan.RoundTripUs);
        if (Now + took < Plan.CutUs && !Hangs[target])
        {
            unless_ended(took, false, [this, n, search, target, probe]() { OnAnswer(n, search, target, probe.get()); });
        }
    }

    void OnAnswer(size_t n, const SearchPtr& search, size_t target, ProbeState* probe)
    {
        probe->Ended = true;
        if (probe->Late)
        {
            EndLate(n, target, ContactEnd_Answered, *probe);
            return;
        }
        ProbeTimeoutAnswered(&Fleet[n].Timeout);
        Contact(n, target, ContactEnd_Answered);
        OnProbed(n, search, target);
    }

    void OnLate(size_t n, const SearchPtr& search, size_t target, ProbeState* probe)
    {
        Result.Late++;
        probe->Late = true;
        probe->Ended = !Plan.Listens;
        ProbeTimeoutExpired(&Fleet[n].Timeout, Plan.Listens ? probe->TimeoutUs : 0);
        if (Plan.Listens)
        {
            Note(n, TargetPathLate(&Fleet[n].Path, std::to_string(target), probe->BegunUs, ServiceTargets, Now));
        }
        else
        {
            Contact(n, target, ContactEnd_Silent);
        }
        Continue(n, search);
    }

    // As the gateway's client does.
    void Listen(size_t n, size_t target, const std::shared_ptr<ProbeState>& probe, TimeUs time)
    {
        const auto over = [this, n, target, probe]()
        {
            const TimeUs more = OwnLinkMoreUs(Fleet[n].Link, probe->OccupiedUs, probe->ExtraUs, Now);
            if (probe->Ended || more == 0)
            {
                probe->Ended ? void() : OnSilent(n, target, probe.get());
                return;
            }
            probe->ExtraUs += more;
            Listen(n, target, probe, more);
        };
        AtInstance(n, time, true, over);
    }

    void OnSilent(size_t n, size_t target, ProbeState* probe)
    {
        probe->Ended = true;
        EndLate(n, target, ContactEnd_Silent, *probe);
    }

    void EndLate(size_t n, size_t target, ContactEnd_ end, const ProbeState& probe)
    {
        Note(n, TargetPathLateEnded(&Fleet[n].Path, std::to_string(target), end, probe.BegunUs, ServiceTargets, Now));
    }
};

class LateProbeLoadTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(LateProbeLoadTest);
    CPPUNIT_TEST(ACrestLosesNoPath);
    CPPUNIT_TEST(AShedLosesNoPath);
    CPPUNIT_TEST(AReleaseOfTargetsLosesNoPath);
    CPPUNIT_TEST(AStartLosesNoPath);
    CPPUNIT_TEST(ASilentCutIsSeenAsSoon);
    CPPUNIT_TEST(ARefusedCutIsSeenAsSoon);
    CPPUNIT_TEST(AFullLinkLosesNoPath);
    CPPUNIT_TEST(ACutIsSeenOnAFullLink);
    CPPUNIT_TEST(ACutOfOneServiceIsSeenOnAFullLink);
    CPPUNIT_TEST(GivingUpLateProbesLosesPaths);
    CPPUNIT_TEST(AnUnknownLinkLosesPaths);
    CPPUNIT_TEST_SUITE_END();

    static LateProbeResult Play(const LateProbePlan& plan, uint64_t seed = 20261204)
    {
        LateProbeModel model(plan, seed);
        model.Run();
        return model.Result;
    }

    static std::string Text(const LateProbeResult& result)
    {
        return fmt::format(
            "{} requests, {} probes, {} late, {} false losses; cut seen by {}, after {} us (mean), {} us at most, {} us beyond "
            "the timeout, not seen by {}",
            result.Requests, result.Probes, result.Late, result.FalseLosses, result.Seen, result.SeenSumUs / std::max(result.Seen, 1),
            result.SeenMaxUs, result.TooLateUs, result.Unseen);
    }

    static void CheckNoLoss(const LateProbePlan& plan)
    {
        for (const uint64_t seed : {1, 2, 3})
        {
            const LateProbeResult result = Play(plan, seed);
            CPPUNIT_ASSERT_MESSAGE(Text(result), result.Late > 100);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(Text(result), 0, result.FalseLosses);
        }
    }

    // Load pattern: a crest of the demand, with bursts, while three tenths of the targets are slow. Guards against several slow targets
    // that are taken for a lost path.
    void ACrestLosesNoPath()
    {
        LateProbePlan plan;
        CheckNoLoss(plan);
        plan.Together = 4;
        CheckNoLoss(plan);
        plan.PerS = 12;
        plan.BusyShare = 0.8;
        CheckNoLoss(plan);
    }

    // Load pattern: refused callers come back while hardly any target has a free slot.
    void AShedLosesNoPath()
    {
        LateProbePlan plan;
        plan.PerS = 12;
        plan.BusyShare = 0.95;
        plan.RoundTripUs = 6 * UsPerMs;
        CheckNoLoss(plan);
    }

    // Load pattern: targets are replaced, so that some refuse connections and one hangs.
    void AReleaseOfTargetsLosesNoPath()
    {
        LateProbePlan plan;
        plan.Refusing = 2;
        plan.Hanging = 1;
        plan.Together = 4;
        CheckNoLoss(plan);
    }

    // Load pattern: instances start, handle no events for up to 0.1 s while they read the configuration, and all callers come at once.
    void AStartLosesNoPath()
    {
        LateProbePlan plan;
        plan.Together = 8;
        plan.StallsPerS = 2;
        plan.RoundTripUs = 6 * UsPerMs;
        CheckNoLoss(plan);
    }

    // The first four probes after the cut are 5 ms apart, and the second has to be silent.
    void ASilentCutIsSeenAsSoon()
    {
        for (const double slow : {0.0, 0.3})
        {
            LateProbePlan plan;
            plan.SlowShare = slow;
            plan.CutUs = LastUs / 2;
            const LateProbeResult result = Play(plan);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(Text(result), 0, result.Unseen);
            CPPUNIT_ASSERT_MESSAGE(Text(result), result.TooLateUs <= AdaptiveProbeTimeout().ListenUs + SlowProbeUs);
            CPPUNIT_ASSERT_MESSAGE(Text(result), result.Seen > 150);
            plan.Listens = false;
            const LateProbeResult given_up = Play(plan);
            const std::string both = Text(result) + "; given up: " + Text(given_up);
            CPPUNIT_ASSERT_MESSAGE(both, result.SeenSumUs / result.Seen <= given_up.SeenSumUs / given_up.Seen + 2 * SlowProbeUs);
            CPPUNIT_ASSERT_MESSAGE(both, result.SeenMaxUs <= given_up.SeenMaxUs + 2 * SlowProbeUs);
        }
    }

    void ARefusedCutIsSeenAsSoon()
    {
        LateProbePlan plan;
        plan.CutUs = LastUs / 2;
        plan.CutRefuses = true;
        const LateProbeResult result = Play(plan);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Text(result), 0, result.Unseen);
        CPPUNIT_ASSERT_MESSAGE(Text(result), result.SeenMaxUs <= TargetPathConfig().FailedMin * plan.RoundTripUs);
    }

    // A narrow link at an instance that has a tenth of a core, and targets up to 8 ms away.
    static LateProbePlan NarrowLink()
    {
        LateProbePlan plan;
        plan.LinkBytesPerS = 10e6 / 8;
        plan.LargePerS = 3;
        plan.Together = 4;
        plan.StallsPerS = 0.5;
        plan.RoundTripUs = 16 * UsPerMs;
        return plan;
    }

    // Load pattern: a crest in which probes and their answers wait behind large answers on the instance's own link.
    void AFullLinkLosesNoPath()
    {
        LateProbePlan plan = NarrowLink();
        CheckNoLoss(plan);
        plan.LargePerS = 4;
        CheckNoLoss(plan);
        plan.PerS = 12;
        plan.BusyShare = 0.8;
        CheckNoLoss(plan);
    }

    // What was sent before the cut still fills the links of some instances for a while.
    void ACutIsSeenOnAFullLink()
    {
        LateProbePlan plan = NarrowLink();
        plan.CutUs = LastUs / 2;
        const LateProbeResult result = Play(plan);
        plan.KnowsLink = false;
        const LateProbeResult unknown = Play(plan);
        const std::string both = Text(result) + "; link unknown: " + Text(unknown);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(both, 0, result.Unseen);
        CPPUNIT_ASSERT_MESSAGE(both, result.Seen > 150);
        CPPUNIT_ASSERT_MESSAGE(both, result.SeenSumUs / result.Seen <= unknown.SeenSumUs / unknown.Seen + 50 * UsPerMs);
        CPPUNIT_ASSERT_MESSAGE(both, result.SeenMaxUs <= unknown.SeenMaxUs + OwnLink().ExtraMaxUs);
    }

    // Large answers of another service keep the link full, which must not hide the cut.
    void ACutOfOneServiceIsSeenOnAFullLink()
    {
        LateProbePlan plan = NarrowLink();
        plan.CutUs = LastUs / 2;
        plan.LargeInCut = true;
        plan.LargePerS = 6;
        plan.PerS = 12; // The next contact that counts comes soon after the last one that is excused.
        const LateProbeResult result = Play(plan);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Text(result), 0, result.Unseen);
        CPPUNIT_ASSERT_MESSAGE(Text(result), result.Seen > 150);
        CPPUNIT_ASSERT_MESSAGE(Text(result), result.SeenMaxUs <= OwnLink().ExtraMaxUs + UsPerSecond / 2);
    }

    // Injected fault: it must be detected.
    void AnUnknownLinkLosesPaths()
    {
        LateProbePlan plan = NarrowLink();
        plan.KnowsLink = false;
        const LateProbeResult result = Play(plan);
        CPPUNIT_ASSERT_MESSAGE(Text(result), result.FalseLosses > 10);
    }

    // Injected fault: it must be detected.
    void GivingUpLateProbesLosesPaths()
    {
        LateProbePlan plan;
        plan.Listens = false;
        const LateProbeResult result = Play(plan);
        CPPUNIT_ASSERT_MESSAGE(Text(result), result.FalseLosses > 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateProbeLoadTest);

} // namespace Winchlink
