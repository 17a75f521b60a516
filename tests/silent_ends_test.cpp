// silent_ends_test.cpp: requests under which targets fall silent instead of closing their connections.
//
// Such a request was never held: its attempts looked like those behind a cut, and each try of its caller silenced one more target. What
// tells a silent end from a cut is known only later, from the store or from whoever has the target's address next.

#include "clock.h"
#include "quarantine_fleet.h"
#include "request_key.h"

#include <fmt/format.h>

namespace Winchlink
{

// One instance, and targets that fall silent under a request of EndingPath.
struct SilentFleet : QuarantineFleet
{
    explicit SilentFleet(int targets, int instances = 1) : QuarantineFleet(instances, targets)
    {
        for (const auto& target : Parts.Targets)
        {
            target->EndsSilently = true;
        }
    }

    int Silenced() const
    {
        int silenced = 0;
        for (const auto& target : Parts.Targets)
        {
            silenced += target->EndedBy.empty() ? 0 : 1;
        }
        return silenced;
    }

    // Sends one that silences a target, and waits until it has. Its answer comes at its deadline.
    RigAnswerPtr SilenceOne(int deadline_ms)
    {
        const int before = Silenced();
        RigCall call;
        call.Target = EndingPath;
        call.DeadlineMs = deadline_ms;
        RigAnswerPtr answer = RigSend(&Parts, *Instances[0], call);
        CPPUNIT_ASSERT(RigRun(&Parts, [&]() { return Silenced() > before; }));
        return answer;
    }

    void Await(const RigAnswerPtr& answer)
    {
        CPPUNIT_ASSERT(RigRun(&Parts, [&]() { return answer->Done; }));
        CPPUNIT_ASSERT_EQUAL(504, answer->Answer.Status);
    }

    // Entries of silent targets go, as the store does with whom it hears no more.
    void Forget()
    {
        for (const auto& target : Parts.Targets)
        {
            if (!target->EndedBy.empty())
            {
                UsersStoreRemove(&Parts.Store, "servers/" + target->Id);
            }
        }
    }

    const Quarantine& Held() const
    {
        return Instances[0]->Requests.Quarantined;
    }

    int Ends() const
    {
        return Held().Requests.empty() ? 0 : QuarantineEnds(Held(), Held().Requests.begin()->first);
    }

    void AwaitEnds(int ends)
    {
        CPPUNIT_ASSERT(RigRun(&Parts, [&]() { return Ends() == ends; }));
    }
};

static constexpr int ShortMs = 200; // A caller's deadline.

class SilentEndsTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(SilentEndsTest);
    CPPUNIT_TEST(ARequestThatSilencesTargetsIsHeld);
    CPPUNIT_TEST(AnAttemptThatStillWaitsCountsWhenItEnds);
    CPPUNIT_TEST(ACallerThatLeavesHidesNothing);
    CPPUNIT_TEST(AnotherStartOfTheTargetShowsIt);
    CPPUNIT_TEST(ACutOrAHangIsNoEnd);
    CPPUNIT_TEST(AnAnswerSinceThenClearsIt);
    CPPUNIT_TEST(EntriesThatAStoreInTroubleLosesShowNothing);
    CPPUNIT_TEST(WhatIsNotAskedFirstShowsNothing);
    CPPUNIT_TEST(WhatIsRememberedIsBounded);
    CPPUNIT_TEST_SUITE_END();

    void ARequestThatSilencesTargetsIsHeld()
    {
        SilentFleet fleet(4, 2);
        for (int n = 1; n <= 3; n++)
        {
            fleet.Await(fleet.SilenceOne(ShortMs));
            fleet.Forget();
            fleet.AwaitEnds(n);
        }
        RigIdle(&fleet.Parts, SpreadUs);
        CPPUNIT_ASSERT_EQUAL(503, fleet.AskEnding(*fleet.Instances[0]).Answer.Status);
        CPPUNIT_ASSERT_EQUAL(503, fleet.AskEnding(*fleet.Instances[1]).Answer.Status);
        CPPUNIT_ASSERT_EQUAL(3, fleet.Silenced());
    }

    // The target's entry goes before the caller's deadline.
    void AnAttemptThatStillWaitsCountsWhenItEnds()
    {
        SilentFleet fleet(2);
        const RigAnswerPtr answer = fleet.SilenceOne(800);
        fleet.Forget();
        const TargetPool& pool = fleet.Instances[0]->Requests.Services.at("svc").Pool;
        CPPUNIT_ASSERT(RigRun(&fleet.Parts, [&]() { return !fleet.Instances[0]->Requests.Unanswered.Targets.empty(); }));
        CPPUNIT_ASSERT(!answer->Done && pool.Targets.size() == 2);
        CPPUNIT_ASSERT_EQUAL(0, fleet.Ends());
        fleet.Await(answer);
        CPPUNIT_ASSERT_EQUAL(1, fleet.Ends());
    }

    void ACallerThatLeavesHidesNothing()
    {
        SilentFleet fleet(1);
        RawCaller caller(&fleet.Parts.Loop, fleet.Instances[0]->Config.CallerAddress);
        RawSend(caller, fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: r\r\n\r\n", EndingPath));
        CPPUNIT_ASSERT(RigRun(&fleet.Parts, [&]() { return fleet.Silenced() == 1; }));
        RawClose(&caller);
        CPPUNIT_ASSERT(RigRun(&fleet.Parts, [&]() { return !fleet.Instances[0]->Requests.Unanswered.Attempts.empty(); }));
        fleet.Forget();
        fleet.AwaitEnds(1);
    }

    // Under its id, before its entry has gone.
    void AnotherStartOfTheTargetShowsIt()
    {
        SilentFleet fleet(1);
        fleet.Await(fleet.SilenceOne(ShortMs));
        fleet.StartAgain("t1", 1000);
        fleet.AwaitEnds(1);
    }

    // The target is silent to us, and its entry stays.
    void ACutOrAHangIsNoEnd()
    {
        SilentFleet fleet(1);
        fleet.Await(fleet.SilenceOne(ShortMs));
        RigIdle(&fleet.Parts, SpreadUs);
        CPPUNIT_ASSERT_EQUAL(0, fleet.Ends());
        const SilentEnds& silent = fleet.Instances[0]->Requests.Unanswered;
        SilentEnds later = silent;
        CPPUNIT_ASSERT_EQUAL(size_t{1}, later.Attempts.size());
        SilentForget(&later, NowUs() + silent.DetectionMaxUs);
        CPPUNIT_ASSERT(later.Attempts.empty());
    }

    // The same request is answered by another target before the first one's end is known.
    void AnAnswerSinceThenClearsIt()
    {
        SilentFleet fleet(2);
        fleet.Await(fleet.SilenceOne(ShortMs));
        for (const auto& target : fleet.Parts.Targets)
        {
            target->EndsOn.clear();
        }
        CPPUNIT_ASSERT_EQUAL(200, fleet.AskEnding(*fleet.Instances[0]).Answer.Status);
        fleet.Forget();
        CPPUNIT_ASSERT(RigRun(&fleet.Parts, [&]() { return !fleet.Instances[0]->Requests.Unanswered.Targets.empty(); }));
        CPPUNIT_ASSERT_EQUAL(0, fleet.Ends());
    }

    void EntriesThatAStoreInTroubleLosesShowNothing()
    {
        TargetDirectory directory;
        DirectoryTarget target;
        target.Id = "t";
        target.Service = "svc";
        target.Revision = 1;
        DirectoryPut(&directory, target, 0);
        DirectoryTrouble(&directory, UsPerSecond);
        DirectoryAnswered(&directory, 2 * UsPerSecond);
        DirectoryRemove(&directory, "t", 2, 2 * UsPerSecond);
        CPPUNIT_ASSERT(DirectoryTakeEnded(&directory).empty());
        target.Revision = 3; // It is back, and goes without trouble; one that says that it leaves does not count either.
        DirectoryPut(&directory, target, 3 * UsPerSecond);
        DirectoryRemove(&directory, "t", 4, 60 * UsPerSecond);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, DirectoryTakeEnded(&directory).size());
        target.Revision = 5;
        target.Presence = Presence_Leaving;
        DirectoryPut(&directory, target, 61 * UsPerSecond);
        DirectoryRemove(&directory, "t", 6, 62 * UsPerSecond);
        CPPUNIT_ASSERT(DirectoryTakeEnded(&directory).empty());
    }

    // Targets that tell no load may have been silent before the request came.
    void WhatIsNotAskedFirstShowsNothing()
    {
        SilentFleet fleet(1);
        fleet.Parts.Targets[0]->TellsLoad = false;
        CPPUNIT_ASSERT_EQUAL(200, RigAsk(&fleet.Parts, *fleet.Instances[0], RigCall()).Answer.Status);
        fleet.Await(fleet.SilenceOne(ShortMs));
        CPPUNIT_ASSERT(fleet.Instances[0]->Requests.Unanswered.Attempts.empty());
    }

    void WhatIsRememberedIsBounded()
    {
        SilentEnds silent;
        for (size_t n = 0; n < silent.EntriesMax + 10; n++)
        {
            CPPUNIT_ASSERT(!SilentAttemptEnded(&silent, {fmt::format("r{}", n), "t", UsPerSecond}, 2 * UsPerSecond));
            SilentTargetEnded(&silent, fmt::format("u{}", n), 2 * UsPerSecond);
        }
        CPPUNIT_ASSERT_EQUAL(silent.EntriesMax, silent.Attempts.size());
        CPPUNIT_ASSERT_EQUAL(silent.EntriesMax, silent.Targets.size());
        CPPUNIT_ASSERT_EQUAL(silent.EntriesMax, SilentTargetEnded(&silent, "t", UsPerSecond + silent.DetectionMaxUs - 1).size());
        SilentForget(&silent, 2 * UsPerSecond + silent.RetentionUs);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, silent.Targets.size()); // The latest one.
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentEndsTest);

} // namespace Winchlink
