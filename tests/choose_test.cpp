// choose_test.cpp: the state machine that chooses a request's target: each action, each code of a refusal, and the order of side effects.

#include "check.h"

#include <fmt/format.h>

namespace Winchlink
{

namespace
{

constexpr TimeUs ObjectiveUs = 300 * UsPerMs;

// One request, its instance, and the targets "t0", "t1", ... of two slots.
struct Situation
{
    Random Rng{7};
    TimeUs Now = UsPerSecond;
    std::vector<DirectoryTarget> Listed;
    ChooserConfig Config;
    TargetPool Pool;
    TargetPath Path;
    Quota Limits;
    Chooser Round;
    ChooserRequest Request;
    std::vector<std::string> SentTo;
    uint64_t OverLimitCount = 0;
    bool Admits = true;
    std::string Peer;   // Takes a request; empty: none does.
    std::string Effect; // Calls of Admit and PickPeer, in order.
    bool Shares = false;
    bool Divides = false;
    Division Divided;

    // The last `far` of the targets are in another data centre.
    explicit Situation(size_t targets, size_t far = 0)
    {
        Limits.Config = TargetQuotaConfig();
        Request.ArrivedUs = Now;
        Request.LatencyObjectiveUs = ObjectiveUs;
        Request.DeadlineUs = Now + UsPerSecond;
        Request.WorkUs = 50 * UsPerMs;
        Request.SentTo = &SentTo;
        Listed.resize(targets);
        TargetList all;
        for (size_t n = 0; n < targets; n++)
        {
            Listed[n].Id = fmt::format("t{}", n);
            Listed[n].DataCentre = n + far < targets ? "dc" : "far";
            Listed[n].Slots = 2;
            all.push_back(&Listed[n]);
        }
        PoolSync(&Pool, all, "dc", &Rng);
        for (size_t n = 0; n < targets; n++)
        {
            Target(n).Order = static_cast<int64_t>(n); // Probed in the order of their numbers.
        }
        Reindex();
    }

    // The groups are sorted by Order.
    void Reindex()
    {
        for (auto& group : Pool.Index.Groups)
        {
            const auto entries = std::move(group);
            group.clear();
            for (const auto& entry : entries)
            {
                group.insert({entry.second->Order, entry.second});
            }
        }
    }

    PoolTarget& Target(size_t number)
    {
        return *PoolFind(&Pool, fmt::format("t{}", number));
    }

    ChooserView View()
    {
        ChooserView view;
        view.Config = &Config;
        view.Request = Request;
        view.Pool = &Pool;
        view.Path = &Path;
        view.TargetLimits = &Limits;
        view.OverLimitCount = &OverLimitCount;
        view.Rng = &Rng;
        view.Shares = Shares;
        view.Divided = Divides ? &Divided : nullptr;
        view.Admit = [this]()
        {
            Effect += "admit ";
            return Admits;
        };
        view.PickPeer = [this]()
        {
            Effect += "pick ";
            return Peer;
        };
        return view;
    }

    static std::string Text(const ChooseActions& actions)
    {
        std::string text;
        for (const ChooseAction& action : actions)
        {
            text += text.empty() ? "" : ", ";
            switch (action.Kind)
            {
            case ChooseAction_Ask:
                text += "ask";
                break;
            case ChooseAction_Probe:
                text += fmt::format("probe {} slow after {}", action.Target->Id, action.DelayUs / UsPerMs);
                break;
            case ChooseAction_Send:
                text += "send " + action.Target->Id;
                break;
            case ChooseAction_Wait:
                text += fmt::format("wait {}", action.DelayUs / UsPerMs);
                break;
            case ChooseAction_HandOff:
                text += "hand to " + action.Peer;
                break;
            default:
                text += fmt::format("refuse {} '{}'", static_cast<int>(action.Code), action.Detail);
            }
        }
        return text;
    }

    std::string Start(Choosing_ kind = Choosing_First)
    {
        return Text(ChooserStart(&Round, kind, View(), Now));
    }

    // The probe of a target is answered with this load.
    std::string Answer(size_t target, const LoadReport& load)
    {
        PoolReport(&Target(target), load, Now);
        Request.Contacts[ContactEnd_Answered]++;
        return Text(ChooserProbed(&Round, View(), fmt::format("t{}", target), true, Now));
    }

    // The probe of a target gets no answer.
    std::string Silence(size_t target, ContactEnd_ end = ContactEnd_Silent)
    {
        PoolFailed(Pool.Config, &Target(target), Now);
        Request.Contacts[end]++;
        return Text(ChooserProbed(&Round, View(), fmt::format("t{}", target), false, Now));
    }

    std::string SlowProbe()
    {
        return Text(ChooserSlowProbe(&Round, View(), Now));
    }

    std::string Retry()
    {
        return Text(ChooserRetry(&Round, View(), Now));
    }

    std::string SlotFree(size_t target)
    {
        return Text(ChooserSlotFree(&Round, View(), fmt::format("t{}", target), Now));
    }

    // Another instance offers a free slot.
    std::string Offer(size_t target)
    {
        Now += UsPerMs;
        CPPUNIT_ASSERT(PoolTold(&Pool, &Target(target), {0, 0, 2, 100}, 0, Now));
        return Text(ChooserTold(&Round, View(), Now));
    }

    // Probes at home found no room, and the other data centre has told of some.
    void FarHasRoom()
    {
        Divides = true;
        Divided.Config.HomeProbes = 1;
        for (int n = 0; n < 2 * Divided.Config.KnownMin; n++)
        {
            DivisionProbed(&Divided, false, Now);
        }
        FarTells({20, 20, 20});
    }

    // An instance of the other data centre answers an ask.
    void FarTells(const SharedRoom& room)
    {
        const uint16_t far = PeerDataCentre("far");
        DivisionAsked(&Divided, far, "10.0.0.2:80", Now);
        DivisionHeard(&Divided, Pool, "10.0.0.2:80", {LoadMessage_Answer, 0, far, room, {}}, PeerDataCentre("dc"), Now);
    }

    std::string PathChanged()
    {
        return Text(ChooserPathChanged(&Round, View(), Now));
    }

    // The path is lost, and `failed` contacts have failed.
    void LosePath(int failed)
    {
        for (int n = 0; n < failed; n++)
        {
            TargetPathContact(&Path, fmt::format("t{}", n), ContactEnd_Silent, 8, Now);
        }
    }

    // The target has set a rate limit that is used up.
    void LimitUsedUp(size_t target)
    {
        const uint64_t id = Target(target).IncarnationId;
        QuotaSetTargetLimit(&Limits, id, 0.001, Now);
        for (int n = 0; n < 50 && QuotaTakeTarget(&Limits, id, Now, &Rng); n++)
        {
        }
    }
};

constexpr LoadReport Idle = {0, 0, 2, 100};
constexpr LoadReport Half = {1, 0, 2, 100}; // Nearly full with one more: not good, but acceptable.
constexpr LoadReport Full = {2, 0, 2, 100};
constexpr LoadReport Slow = {0, 0, 2, 500};

std::string Refusal(Code_ code, const std::string& detail = "")
{
    return fmt::format("refuse {} '{}'", static_cast<int>(code), detail);
}

} // namespace

class ChooseTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(ChooseTest);
    CPPUNIT_TEST(SendsToTheFirstGoodTarget);
    CPPUNIT_TEST(NeedsNoProbeForAYoungReport);
    CPPUNIT_TEST(ASlowProbeAllowsAnother);
    CPPUNIT_TEST(ProbesAreLimited);
    CPPUNIT_TEST(NothingIsProbedAfterTheDeadline);
    CPPUNIT_TEST(ProbesOfEarlierRoundsAreNotAwaited);
    CPPUNIT_TEST(NoTargetIsProbedTwiceAtOnce);
    CPPUNIT_TEST(TakesTheBestAcceptableTarget);
    CPPUNIT_TEST(WaitsWhileTargetsAreBusy);
    CPPUNIT_TEST(TakesASlowTargetRatherThanNone);
    CPPUNIT_TEST(RefusesWhatWouldBeLate);
    CPPUNIT_TEST(AFreeSlotGoesToAWaitingRequest);
    CPPUNIT_TEST(TheMostUrgentGetsTheSlot);
    CPPUNIT_TEST(AHedgeDoesNotWait);
    CPPUNIT_TEST(KeepsToTheConnectionLimit);
    CPPUNIT_TEST(RefusesWithoutTargets);
    CPPUNIT_TEST(SkipsTargetsAtTheirLimits);
    CPPUNIT_TEST(TakesALimitOnceInARound);
    CPPUNIT_TEST(RefusesWhenAllTargetsAreLimited);
    CPPUNIT_TEST(RefusesWhenAllTargetsAreInBackoff);
    CPPUNIT_TEST(HandsOnWhatReachesNoTarget);
    CPPUNIT_TEST(LateProbesAreAwaitedWhileThereIsTime);
    CPPUNIT_TEST(AdmitsBeforeTheFirstProbe);
    CPPUNIT_TEST(HandsOnWithoutAPath);
    CPPUNIT_TEST(RefusesWithoutAPath);
    CPPUNIT_TEST(ALostPathEndsTheWaiting);
    CPPUNIT_TEST(AnOpenPathLeavesARequestWaiting);
    CPPUNIT_TEST(SendsUnprobedWhereLoadIsNotReported);
    CPPUNIT_TEST(RefusesUnprobed);
    CPPUNIT_TEST(AsksOthersWhenTargetsAreBusy);
    CPPUNIT_TEST(AnOfferedTargetIsProbedOnceMore);
    CPPUNIT_TEST(OffersWithoutEndAreProbedAFewTimes);
    CPPUNIT_TEST(AnOfferedTargetAtItsConnectionLimitEndsTheSearch);
    CPPUNIT_TEST(WhereLoadIsSharedSlowProbesAreNotAwaited);
    CPPUNIT_TEST(WhereLoadIsSharedAHedgeAwaitsASlowProbe);
    CPPUNIT_TEST(AProbeDoesNotSendTwiceToATarget);
    CPPUNIT_TEST(CrossesAfterProbesAtHome);
    CPPUNIT_TEST(LargeAnswersWithTimeToSpareStayAtHome);
    CPPUNIT_TEST(LargeAnswersTakeSlowTargetsOnlyInAShortage);
    CPPUNIT_TEST(NothingCrossesUnasked);
    CPPUNIT_TEST(WithoutDivisionNothingCrossesBeforeHome);
    CPPUNIT_TEST(CrossesWhenNothingIsLeftAtHome);
    CPPUNIT_TEST(CrossesUnaskedRatherThanBeRefused);
    CPPUNIT_TEST(DivisionMayEndDuringASearch);
    CPPUNIT_TEST(AnOldReportSaysNothing);
    CPPUNIT_TEST_SUITE_END();

    void SendsToTheFirstGoodTarget()
    {
        Situation s(3);
        CPPUNIT_ASSERT_EQUAL(std::string("probe t0 slow after 5"), s.Start());
        CPPUNIT_ASSERT_EQUAL(std::string("probe t1 slow after 5"), s.Answer(0, Full));
        CPPUNIT_ASSERT_EQUAL(std::string("send t1"), s.Answer(1, Idle));
        CPPUNIT_ASSERT_EQUAL(Choosing_None, s.Round.Kind);
        CPPUNIT_ASSERT(s.Round.Awaited.empty());
        CPPUNIT_ASSERT_EQUAL(2, s.Round.ProbeCount);
        CPPUNIT_ASSERT_EQUAL(std::string(), s.SlowProbe()); // The round is over.
    }

    void NeedsNoProbeForAYoungReport()
    {
        Situation s(2);
        PoolReport(&s.Target(0), Idle, s.Now);
        s.Now += s.Config.ReportReuseUs - 1;
        CPPUNIT_ASSERT_EQUAL(std::string("send t0"), s.Start());
        s.Now += 1;
        CPPUNIT_ASSERT_EQUAL(std::string("probe t0 slow after 5"), s.Start());
    }

    void ASlowProbeAllowsAnother()
    {
        Situation s(4);
        s.Start();
        CPPUNIT_ASSERT_EQUAL(std::string("probe t1 slow after 5"), s.SlowProbe());
        CPPUNIT_ASSERT_EQUAL(std::string("probe t2 slow after 5"), s.Answer(1, Full));
        CPPUNIT_ASSERT_EQUAL(std::string("probe t3 slow after 5"), s.SlowProbe());
        CPPUNIT_ASSERT_EQUAL(std::string("send t0"), s.Answer(0, Idle));
        CPPUNIT_ASSERT_EQUAL(std::string(), s.Answer(2, Idle)); // Sent already.
        CPPUNIT_ASSERT_EQUAL(std::string(), s.Silence(3));
        CPPUNIT_ASSERT(s.Round.Awaited.empty());
    }

    void ProbesAreLimited()
    {
        Situation s(20);
        std::string last = s.Start();
        size_t probed = 0;
        while (last.find("probe") == 0)
        {
            last = s.Answer(probed++, Full);
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<size_t>(s.Config.MaxProbes), probed);
        CPPUNIT_ASSERT_EQUAL(std::string("wait 20"), last);
    }

    void NothingIsProbedAfterTheDeadline()
    {
        Situation s(4);
        s.Start();
        s.Now += static_cast<TimeUs>(s.Config.MaxChooseShare * static_cast<double>(ObjectiveUs));
        CPPUNIT_ASSERT_EQUAL(std::string(), s.SlowProbe());
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_TargetsBusy), s.Answer(0, Full));
        Situation late(4);
        late.Start();
        late.Now += ObjectiveUs;
        CPPUNIT_ASSERT_EQUAL(std::string("send t0"), late.Answer(0, Idle)); // What it has found is still taken.
    }

    // Guards against a hanging probe of an earlier round that takes the place of another one or keeps the round from deciding.
    void ProbesOfEarlierRoundsAreNotAwaited()
    {
        Situation s(4);
        s.Start();
        s.SlowProbe();
        CPPUNIT_ASSERT_EQUAL(std::string("send t1"), s.Answer(1, Idle));
        s.SentTo.emplace_back("t1");
        CPPUNIT_ASSERT_EQUAL(std::string("probe t2 slow after 5"), s.Start());
        CPPUNIT_ASSERT_EQUAL(std::string(), s.Answer(0, Full)); // One at a time: t2 is still being probed.
        CPPUNIT_ASSERT_EQUAL(std::string("probe t3 slow after 5"), s.Answer(2, Full));
        Situation hangs(3);
        hangs.Start();
        hangs.SlowProbe();
        hangs.Answer(1, Idle);
        hangs.SentTo.emplace_back("t1");
        hangs.Start();
        CPPUNIT_ASSERT_EQUAL(std::string("wait 20"), hangs.Answer(2, Full));
        CPPUNIT_ASSERT_EQUAL(std::string("send t0"), hangs.Answer(0, Idle)); // What it finds is still taken.
        CPPUNIT_ASSERT(hangs.Round.Awaited.empty() && hangs.Round.Unawaited.empty());
    }

    void NoTargetIsProbedTwiceAtOnce()
    {
        Situation s(2);
        s.Pool.Shared = true;
        s.Start();
        s.SlowProbe();
        CPPUNIT_ASSERT_EQUAL(std::string("wait 20"), s.SlowProbe());
        CPPUNIT_ASSERT_EQUAL(std::string(), s.Offer(0));
        s.Now += s.Config.ProbeRetryUs;
        CPPUNIT_ASSERT_EQUAL(std::string("wait 20"), s.Retry()); // Both are slow: a free slot may come before their answers.
        CPPUNIT_ASSERT_EQUAL(std::string(), s.Answer(1, Full));
        s.Now = s.Round.DeadlineUs - s.Config.ProbeRetryUs;
        CPPUNIT_ASSERT_EQUAL(std::string("probe t1 slow after 5"), s.Retry());
        CPPUNIT_ASSERT_EQUAL(std::string(), s.Answer(1, Full)); // There is no time for another search: t0 is awaited.
        CPPUNIT_ASSERT_EQUAL(std::string("send t0"), s.Answer(0, Idle));
    }

    void TakesTheBestAcceptableTarget()
    {
        Situation s(3);
        s.Pool.NearlyFullFactor = 1.7;
        s.Start();
        s.Answer(0, Half);
        s.Answer(1, {1, 0, 2, 105});
        CPPUNIT_ASSERT_EQUAL(std::string("send t0"), s.Answer(2, {1, 0, 2, 110}));
    }

    void WaitsWhileTargetsAreBusy()
    {
        Situation s(2);
        s.Start();
        s.Answer(0, Full);
        CPPUNIT_ASSERT_EQUAL(std::string("wait 20"), s.Answer(1, Full));
        CPPUNIT_ASSERT(s.Round.Waiting);
        CPPUNIT_ASSERT_EQUAL(std::string(), s.SlowProbe());
        s.Now += s.Config.ProbeRetryUs;
        CPPUNIT_ASSERT_EQUAL(std::string("probe t0 slow after 5"), s.Retry());
        CPPUNIT_ASSERT(!s.Round.Waiting);
        s.Answer(0, Full);
        s.Now += 2 * s.Config.ProbeRetryUs; // The time for choosing is over.
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_TargetsBusy), s.Answer(1, Full));
        CPPUNIT_ASSERT_EQUAL(Choosing_None, s.Round.Kind);
    }

    // When no time is left to wait, a target that is slow but in time is better than a refusal.
    void TakesASlowTargetRatherThanNone()
    {
        Situation s(1);
        s.Start();
        CPPUNIT_ASSERT_EQUAL(std::string("wait 20"), s.Answer(0, Slow));
        s.Now += s.Config.ProbeRetryUs;
        CPPUNIT_ASSERT_EQUAL(std::string("probe t0 slow after 5"), s.Retry());
        s.Now += s.Config.ProbeRetryUs;
        CPPUNIT_ASSERT_EQUAL(std::string("send t0"), s.Answer(0, {0, 0, 2, 400}));
    }

    void RefusesWhatWouldBeLate()
    {
        Situation s(1);
        s.Request.WorkUs = 100 * UsPerMs; // Slow: 500 ms, more than the objective.
        s.Start();
        s.Now += 2 * s.Config.ProbeRetryUs;
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_TargetsBusy, "too slow"), s.Answer(0, Slow));
        s.Request.Sent = true; // After an attempt the deadline counts.
        s.Now += s.Config.ReportReuseUs;
        s.Start();
        s.Now += 2 * s.Config.ProbeRetryUs;
        CPPUNIT_ASSERT_EQUAL(std::string("send t0"), s.Answer(0, Slow));
    }

    void AFreeSlotGoesToAWaitingRequest()
    {
        Situation s(1);
        s.Start();
        s.Answer(0, Full);
        CPPUNIT_ASSERT_EQUAL(std::string(), s.SlotFree(0)); // Still busy.
        CPPUNIT_ASSERT(s.Round.Waiting);
        PoolReport(&s.Target(0), Idle, s.Now);
        CPPUNIT_ASSERT_EQUAL(std::string(), s.SlotFree(1)); // No such target.
        CPPUNIT_ASSERT_EQUAL(std::string("send t0"), s.SlotFree(0));
        CPPUNIT_ASSERT(!s.Round.Waiting);
        CPPUNIT_ASSERT_EQUAL(std::string(), s.SlotFree(0)); // It no longer waits.
        CPPUNIT_ASSERT_EQUAL(std::string(), s.Retry());
    }

    void TheMostUrgentGetsTheSlot()
    {
        const std::vector<std::string> nowhere;
        const std::vector<std::string> sent = {"t0"};
        std::vector<ChooserRequest> waiting(4);
        for (ChooserRequest& request : waiting)
        {
            request.SentTo = &nowhere;
            request.Priority = 2;
        }
        CPPUNIT_ASSERT(!ChooserMostUrgent({}, "t0"));
        CPPUNIT_ASSERT_EQUAL(size_t{0}, *ChooserMostUrgent(waiting, "t0")); // Among equals, the one that waits longest.
        waiting[1].Priority = 0;
        waiting[2].Priority = 1;
        waiting[3].Priority = 0;
        CPPUNIT_ASSERT_EQUAL(size_t{1}, *ChooserMostUrgent(waiting, "t0"));
        waiting[1].SentTo = &sent; // It was sent there before.
        CPPUNIT_ASSERT_EQUAL(size_t{3}, *ChooserMostUrgent(waiting, "t0"));
        CPPUNIT_ASSERT_EQUAL(size_t{1}, *ChooserMostUrgent(waiting, "t1"));
        waiting[3].CameBack = true; // Its caller may have no try left.
        CPPUNIT_ASSERT_EQUAL(size_t{3}, *ChooserMostUrgent(waiting, "t1"));
        waiting[2].CameBack = true; // Less urgent.
        CPPUNIT_ASSERT_EQUAL(size_t{3}, *ChooserMostUrgent(waiting, "t1"));
    }

    void AHedgeDoesNotWait()
    {
        Situation s(2);
        s.Request.Sent = true;
        s.SentTo = {"t0"};
        CPPUNIT_ASSERT_EQUAL(std::string("probe t1 slow after 5"), s.Start(Choosing_Hedge));
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_TargetsBusy), s.Answer(1, Full));
        s.Now += s.Config.ReportReuseUs;
        s.Start(Choosing_Hedge);
        s.Round.Kind = Choosing_First; // The first attempt has failed meanwhile: the hedge becomes a retry.
        CPPUNIT_ASSERT_EQUAL(std::string("wait 20"), s.Answer(1, Full));
    }

    void KeepsToTheConnectionLimit()
    {
        Situation s(2);
        s.Request.ConnectionsMax = 1;
        s.Target(0).InFlight = 1;
        CPPUNIT_ASSERT_EQUAL(std::string("probe t1 slow after 5"), s.Start());
        s.Target(1).InFlight = 1; // Another request was sent there meanwhile.
        CPPUNIT_ASSERT_EQUAL(std::string("wait 20"), s.Answer(1, Idle));
    }

    void RefusesWithoutTargets()
    {
        Situation s(0);
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_NoTargetLeft), s.Start());
        Situation tried(1);
        tried.SentTo = {"t0"};
        tried.Round.DeadlineUs = tried.Now;
        CPPUNIT_ASSERT_EQUAL(std::string("wait 20"), tried.Start());
        tried.Now += ObjectiveUs;
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_NoTargetLeft), tried.Retry());
    }

    void SkipsTargetsAtTheirLimits()
    {
        Situation s(3);
        s.LimitUsedUp(0);
        s.LimitUsedUp(1);
        CPPUNIT_ASSERT_EQUAL(std::string("probe t2 slow after 5"), s.Start());
        CPPUNIT_ASSERT_EQUAL(uint64_t{2}, s.OverLimitCount);
        CPPUNIT_ASSERT_EQUAL(size_t{2}, s.Round.OverLimit.size());
        CPPUNIT_ASSERT_EQUAL(std::string("send t2"), s.Answer(2, Idle));
        CPPUNIT_ASSERT(s.Round.Grants.empty());
        Situation many(6);
        many.Config.MaxOverLimit = 4;
        for (size_t n = 0; n < 6; n++)
        {
            many.LimitUsedUp(n);
        }
        many.Start();
        CPPUNIT_ASSERT_EQUAL(uint64_t{4}, many.OverLimitCount);
    }

    // The limit is taken before the probe, and not again when the answer arrives.
    void TakesALimitOnceInARound()
    {
        Situation s(1);
        s.Limits.Config.MembersDefault = 1;
        QuotaSetTargetLimit(&s.Limits, s.Target(0).IncarnationId, 1000.0, s.Now);
        s.Start();
        CPPUNIT_ASSERT_EQUAL(size_t{1}, s.Round.Grants.size());
        CPPUNIT_ASSERT_EQUAL(s.Target(0).IncarnationId, s.Round.Grants[0].IncarnationId);
        CPPUNIT_ASSERT_EQUAL(s.Now, s.Round.Grants[0].TakenUs);
        CPPUNIT_ASSERT_EQUAL(std::string("send t0"), s.Answer(0, Idle));
        CPPUNIT_ASSERT_EQUAL(size_t{1}, s.Round.Grants.size()); // For the caller to use.
    }

    void RefusesWhenAllTargetsAreLimited()
    {
        Situation s(2);
        s.LimitUsedUp(0);
        s.LimitUsedUp(1);
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_TargetsLimited), s.Start()); // At once: a free slot would not help.
    }

    void RefusesWhenAllTargetsAreInBackoff()
    {
        Situation s(2);
        PoolBackOff(&s.Pool, "t0", 0, s.Now + UsPerSecond, s.Now);
        PoolBackOff(&s.Pool, "t1", 0, s.Now + UsPerSecond, s.Now);
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_TargetsLimited), s.Start());
    }

    // The path counts as open, but most of this request's contacts have failed.
    void HandsOnWhatReachesNoTarget()
    {
        Situation s(2);
        s.Start();
        s.Silence(0);
        s.Now += 3 * s.Config.ProbeRetryUs;
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_TargetsUnreachable), s.Silence(1));
        CPPUNIT_ASSERT_EQUAL(std::string("admit admit admit pick "), s.Effect);
        Situation other(2);
        other.Peer = "10.0.0.9:80";
        other.Start();
        other.Silence(0);
        CPPUNIT_ASSERT_EQUAL(std::string("hand to 10.0.0.9:80"), other.Silence(1));
        CPPUNIT_ASSERT_EQUAL(Choosing_None, other.Round.Kind);
    }

    // Guards against requests that are handed on while their probes may still be answered.
    void LateProbesAreAwaitedWhileThereIsTime()
    {
        Situation s(2);
        s.Peer = "10.0.0.9:80";
        s.Start();
        s.Silence(0, ContactEnd_Late);
        CPPUNIT_ASSERT_EQUAL(std::string("wait 20"), s.Silence(1, ContactEnd_Late));
        Situation ends(2);
        ends.Peer = "10.0.0.9:80";
        ends.Start();
        ends.Silence(0, ContactEnd_Late);
        ends.Now += 3 * ends.Config.ProbeRetryUs; // No time to wait.
        CPPUNIT_ASSERT_EQUAL(std::string("hand to 10.0.0.9:80"), ends.Silence(1, ContactEnd_Late));
    }

    void AdmitsBeforeTheFirstProbe()
    {
        Situation s(1);
        s.Admits = false;
        CPPUNIT_ASSERT_EQUAL(std::string(), s.Start());
        CPPUNIT_ASSERT_EQUAL(std::string("admit "), s.Effect);
        CPPUNIT_ASSERT_EQUAL(Choosing_None, s.Round.Kind);
        CPPUNIT_ASSERT_EQUAL(0, s.Round.ProbeCount);
    }

    // What another instance serves is not counted here.
    void HandsOnWithoutAPath()
    {
        Situation s(8);
        s.LosePath(s.Path.Config.FailedMin);
        s.Peer = "10.0.0.9:80";
        CPPUNIT_ASSERT_EQUAL(std::string("hand to 10.0.0.9:80"), s.Start());
        CPPUNIT_ASSERT_EQUAL(std::string("pick "), s.Effect);
    }

    void RefusesWithoutAPath()
    {
        Situation s(8);
        s.LosePath(s.Path.Config.FailedMin);
        CPPUNIT_ASSERT_EQUAL(std::string("probe t0 slow after 5"), s.Start()); // Nobody takes it, and the loss is not certain.
        CPPUNIT_ASSERT_EQUAL(std::string("pick admit "), s.Effect);
        Situation taken(8);
        taken.LosePath(taken.Path.Config.FailedMin);
        taken.Request.TakenFromPeer = true; // Another instance may serve it.
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_TargetsUnreachable), taken.Start());
        Situation certain(8);
        certain.LosePath(certain.Path.Config.CertainMin);
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_TargetsUnreachable), certain.Start());
        CPPUNIT_ASSERT_EQUAL(std::string("pick "), certain.Effect);
    }

    void ALostPathEndsTheWaiting()
    {
        Situation s(1);
        s.Start();
        s.Answer(0, Full);
        s.LosePath(s.Path.Config.FailedMin);
        s.Now += ObjectiveUs;
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_TargetsBusy), s.PathChanged());
        CPPUNIT_ASSERT(!s.Round.Waiting);
        CPPUNIT_ASSERT_EQUAL(std::string(), s.PathChanged());
    }

    // Guards against requests that probe and wait at once.
    void AnOpenPathLeavesARequestWaiting()
    {
        Situation s(1);
        s.Start();
        s.Answer(0, Full);
        s.Now += s.Config.ReportReuseUs;
        CPPUNIT_ASSERT_EQUAL(std::string(), s.PathChanged());
        CPPUNIT_ASSERT(s.Round.Waiting);
        CPPUNIT_ASSERT_EQUAL(std::string("probe t0 slow after 5"), s.Retry());
        CPPUNIT_ASSERT_EQUAL(std::string(), s.PathChanged()); // It searches, and goes on.
        CPPUNIT_ASSERT(!s.Round.Waiting);
    }

    void SendsUnprobedWhereLoadIsNotReported()
    {
        Situation s(1);
        s.Request.MayProbe = false;
        CPPUNIT_ASSERT_EQUAL(std::string("send t0"), s.Start());
        Situation silent(1);
        silent.Start();
        silent.Pool.ReportsLoad = false;
        CPPUNIT_ASSERT_EQUAL(std::string("send t0"), silent.Silence(0));
        CPPUNIT_ASSERT_EQUAL(std::string("admit admit "), silent.Effect);
    }

    void RefusesUnprobed()
    {
        const std::string detail = "targets report no load";
        Situation s(1);
        s.Request.MayProbe = false;
        s.Target(0).InFlight = s.Config.MaxUnprobedFactor * s.Target(0).Slots;
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_TargetsBusy, detail), s.Start());
        s.SentTo = {"t0"};
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_NoTargetLeft, detail), s.Start());
        s.SentTo.clear();
        s.Target(0).InFlight = 0;
        s.LimitUsedUp(0);
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_TargetsLimited, detail), s.Start());
        Situation backoff(1);
        backoff.Request.MayProbe = false;
        PoolBackOff(&backoff.Pool, "t0", 0, backoff.Now + UsPerSecond, backoff.Now);
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_TargetsLimited, detail), backoff.Start());
        Situation cold(1);
        cold.Request.MayProbe = false;
        cold.Pool.Config.ColdPerS = 0.001;
        cold.Pool.Config.ColdUs = 2 * UsPerSecond;
        PoolSetCold(cold.Pool, &cold.Target(0), cold.Now + UsPerSecond);
        CPPUNIT_ASSERT_EQUAL(Refusal(Code_TargetsBusy, detail), cold.Start());
    }

    void AsksOthersWhenTargetsAreBusy()
    {
        Situation s(4);
        s.Shares = true;
        s.Start();
        CPPUNIT_ASSERT_EQUAL(std::string("probe t1 slow after 5"), s.Answer(0, Full)); // One busy target says little.
        CPPUNIT_ASSERT_EQUAL(std::string("ask, probe t2 slow after 5"), s.Answer(1, Full));
        Situation again(4);
        again.Shares = true;
        again.Pool.Shared = true; // Targets were busy lately.
        again.Start();
        CPPUNIT_ASSERT_EQUAL(std::string("ask, probe t1 slow after 5"), again.Answer(0, Full));
        Situation off(4);
        off.Start();
        off.Answer(0, Full);
        CPPUNIT_ASSERT_EQUAL(std::string("probe t2 slow after 5"), off.Answer(1, Full));
    }

    void AnOfferedTargetIsProbedOnceMore()
    {
        Situation s(1);
        s.Pool.Shared = true;
        s.Start();
        CPPUNIT_ASSERT_EQUAL(std::string("wait 20"), s.Answer(0, Full));
        CPPUNIT_ASSERT_EQUAL(std::string("probe t0 slow after 5"), s.Offer(0));
        CPPUNIT_ASSERT_EQUAL(std::string("wait 20"), s.Answer(0, Full));
        CPPUNIT_ASSERT_EQUAL(std::string(), s.Offer(0)); // Twice in a search is enough.
    }

    // Guards against requests that neighbours keep probing with offers of slots that aren't free.
    void OffersWithoutEndAreProbedAFewTimes()
    {
        Situation s(20);
        s.Pool.Shared = true;
        const auto answer_all = [&s](std::string action)
        {
            while (action.find("probe") == 0)
            {
                action = s.Answer(std::stoul(action.substr(7)), Full);
            }
        };
        answer_all(s.Start());
        CPPUNIT_ASSERT_EQUAL(s.Config.MaxProbes, s.Round.ProbeCount);
        const TimeUs began = s.Now;
        for (size_t n = 0; s.Now < s.Round.DeadlineUs; n++)
        {
            answer_all(s.Offer(n % s.Listed.size()));
            if (s.Round.Waiting && (s.Now - began) % s.Config.ProbeRetryUs == 0)
            {
                answer_all(s.Retry());
            }
        }
        CPPUNIT_ASSERT_EQUAL(s.Config.MaxProbes + s.Config.MaxToldProbes, s.Round.ProbeCount);
    }

    void AnOfferedTargetAtItsConnectionLimitEndsTheSearch()
    {
        Situation s(1);
        s.Pool.Shared = true;
        s.Start();
        s.Answer(0, Full);
        s.Request.ConnectionsMax = 1;
        s.Target(0).InFlight = 1;
        CPPUNIT_ASSERT_EQUAL(std::string("wait 20"), s.Offer(0));
    }

    void WhereLoadIsSharedSlowProbesAreNotAwaited()
    {
        Situation alone(1);
        alone.Start();
        CPPUNIT_ASSERT_EQUAL(std::string(), alone.SlowProbe());
        Situation s(1);
        s.Pool.Shared = true;
        s.Start();
        CPPUNIT_ASSERT_EQUAL(std::string("wait 20"), s.SlowProbe());
        CPPUNIT_ASSERT_EQUAL(std::string("send t0"), s.Answer(0, Idle)); // It was worth the wait.
        Situation last(1);
        last.Pool.Shared = true;
        last.Start();
        last.Now = last.Round.DeadlineUs - last.Config.ProbeRetryUs;
        CPPUNIT_ASSERT_EQUAL(std::string(), last.SlowProbe()); // There is no time for another search: the answer may still come.
    }

    // Guards against a hedge that is given up while its probe is under way.
    void WhereLoadIsSharedAHedgeAwaitsASlowProbe()
    {
        Situation s(2);
        s.Pool.Shared = true;
        s.Request.Sent = true;
        s.SentTo = {"t0"};
        s.Start(Choosing_Hedge);
        CPPUNIT_ASSERT_EQUAL(std::string(), s.SlowProbe());
        CPPUNIT_ASSERT_EQUAL(std::string("send t1"), s.Answer(1, Idle));
    }

    // Guards against a second attempt at the target that the first one is at: the answers of both would be confused.
    void AProbeDoesNotSendTwiceToATarget()
    {
        Situation s(3);
        s.SentTo = {"t1"};
        s.Config.MaxProbes = 1;
        s.Pool.Shared = true;
        s.Request.Retryable = true;
        s.Start();
        CPPUNIT_ASSERT_EQUAL(std::string("wait 20"), s.SlowProbe());
        PoolReport(&s.Target(0), Idle, s.Now);
        CPPUNIT_ASSERT_EQUAL(std::string("send t0"), s.SlotFree(0));
        s.SentTo = {"t1", "t0"};
        s.Request.Sent = true;
        CPPUNIT_ASSERT_EQUAL(std::string("probe t2 slow after 5"), s.Start(Choosing_Hedge));
        CPPUNIT_ASSERT_EQUAL(std::string(), s.Answer(0, Idle));
    }

    void CrossesAfterProbesAtHome()
    {
        Situation s(4, 1);
        s.FarHasRoom();
        CPPUNIT_ASSERT_EQUAL(std::string("probe t0 slow after 5"), s.Start());
        CPPUNIT_ASSERT_EQUAL(std::string("probe t3 slow after 5"), s.Answer(0, Full));
        CPPUNIT_ASSERT_EQUAL(std::string("send t3"), s.Answer(3, Idle));
        CPPUNIT_ASSERT_EQUAL(uint64_t{1}, s.Divided.Crossed);
    }

    void LargeAnswersWithTimeToSpareStayAtHome()
    {
        Situation s(4, 1);
        s.FarHasRoom();
        s.Request.AnswerBytes = 90 * KiB;
        s.Request.LatencyObjectiveUs = UsPerSecond; // 20 times its work.
        s.Start();
        CPPUNIT_ASSERT_EQUAL(std::string("probe t1 slow after 5"), s.Answer(0, Full));
        constexpr LoadReport slow = {0, 0, 2, 300};
        CPPUNIT_ASSERT_EQUAL(std::string("send t1"), s.Answer(1, slow));
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, s.Divided.Crossed);
    }

    // Guards against slower answers while there is room.
    void LargeAnswersTakeSlowTargetsOnlyInAShortage()
    {
        Situation s(4, 1);
        s.Divides = true;
        s.Request.AnswerBytes = 90 * KiB;
        s.Request.LatencyObjectiveUs = UsPerSecond;
        s.Start();
        constexpr LoadReport slow = {0, 0, 2, 300};
        CPPUNIT_ASSERT_EQUAL(std::string("probe t1 slow after 5"), s.Answer(0, slow));
        CPPUNIT_ASSERT_EQUAL(std::string("send t1"), s.Answer(1, Idle));
    }

    // Guards against requests that cross for nothing where few targets are left at home: others are known to have no room.
    void NothingCrossesUnasked()
    {
        Situation s(4, 3);
        s.FarHasRoom();
        s.FarTells({20, 20, 0});
        s.Start();
        CPPUNIT_ASSERT_EQUAL(std::string("wait 20"), s.Answer(0, Full));
        Situation unknown(4, 3); // Without news the order is that of the pool.
        unknown.Divides = true;
        unknown.Start();
        CPPUNIT_ASSERT_EQUAL(std::string("probe t1 slow after 5"), unknown.Answer(0, Full));
    }

    // Guards against requests that are refused beside another data centre with room, where there are few targets at home.
    void CrossesWhenNothingIsLeftAtHome()
    {
        Situation s(3, 2);
        s.FarHasRoom();
        s.Start();
        CPPUNIT_ASSERT_EQUAL(std::string("probe t1 slow after 5"), s.Answer(0, Full)); // One probe at home, not HomeProbes.
        Situation known(4, 1);
        known.FarHasRoom();
        known.Divided.Config.HomeProbes = 4;
        for (size_t n = 0; n < 3; n++)
        {
            PoolReport(&known.Target(n), Full, known.Now); // By other requests: none needs a probe.
        }
        CPPUNIT_ASSERT_EQUAL(std::string("probe t3 slow after 5"), known.Start());
        Situation slack(3, 1);
        slack.FarHasRoom();
        slack.Request.AnswerBytes = 90 * KiB;
        slack.Request.LatencyObjectiveUs = UsPerSecond;
        slack.Start();
        slack.Answer(0, Full);
        slack.Now = slack.Round.DeadlineUs - UsPerMs;
        slack.FarTells({20, 20, 20});
        CPPUNIT_ASSERT_EQUAL(std::string("probe t2 slow after 5"), slack.Answer(1, Full));
    }

    // The data centre has room on average, but not among the targets that this request has found.
    void CrossesUnaskedRatherThanBeRefused()
    {
        Situation s(3, 1);
        s.FarHasRoom();
        s.Divided.Active = false;
        s.Divided.Home = {};
        s.Start();
        s.Answer(0, Full);
        s.Now = s.Round.DeadlineUs - UsPerMs;
        s.FarTells({20, 20, 20});
        CPPUNIT_ASSERT_EQUAL(std::string("probe t2 slow after 5"), s.Answer(1, Full));
    }

    void DivisionMayEndDuringASearch()
    {
        Situation s(3, 2);
        s.FarHasRoom();
        s.Start();
        CPPUNIT_ASSERT_EQUAL(std::string("probe t1 slow after 5"), s.Answer(0, Full));
        s.Divides = false; // By a new plan.
        CPPUNIT_ASSERT_EQUAL(std::string("probe t2 slow after 5"), s.Answer(1, Full));
    }

    // Guards against sending to a target that fails its probes and had a free slot once.
    void AnOldReportSaysNothing()
    {
        Situation s(2);
        PoolReport(&s.Target(0), Idle, s.Now);
        s.Now += UsPerSecond;
        s.Request.ArrivedUs = s.Now;
        s.Start();
        PoolFailed(s.Pool.Config, &s.Target(0), s.Now);
        CPPUNIT_ASSERT_EQUAL(std::string("probe t1 slow after 5"), Situation::Text(ChooserProbed(&s.Round, s.View(), "t0", true, s.Now)));
        s.Answer(1, Full);
        CPPUNIT_ASSERT_EQUAL(std::string(), s.SlotFree(0));
    }

    void WithoutDivisionNothingCrossesBeforeHome()
    {
        Situation s(4, 1);
        s.FarHasRoom();
        s.Divides = false;
        s.Start();
        CPPUNIT_ASSERT_EQUAL(std::string("probe t1 slow after 5"), s.Answer(0, Full));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChooseTest);

} // namespace Winchlink
