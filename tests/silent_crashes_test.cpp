// silent_crashes_test.cpp: requests that crash targets whose connections stay open.
//
// Guards against such a request that is never quarantined. To the instance its attempts look like those behind a partition; the crash is
// known only later, from the store or from the next target at the same address.

#include "clock.h"
#include "quarantine_fleet.h"
#include "request_key.h"

#include <fmt/format.h>

namespace Winchlink
{

// Targets that stop answering, with their connections open, on a request for CrashingPath.
struct SilentFleet : QuarantineFleet
{
    explicit SilentFleet(int targets, int instances = 1) : QuarantineFleet(instances, targets)
    {
        for (const auto& target : Parts.Targets)
        {
            target->CrashesSilently = true;
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

    // Sends a request that silences a target, and waits until it has. The answer comes at the request's deadline.
    RigAnswerPtr SilenceOne(int deadline_ms)
    {
        const int before = Silenced();
        RigCall call;
        call.Target = CrashingPath;
        call.DeadlineMs = deadline_ms;
        RigAnswerPtr answer = RigSend(&Parts, *Instances[0], call);
        CPPUNIT_ASSERT(RigRunUntil(&Parts, [&]() { return Silenced() > before; }));
        return answer;
    }

    void Await(const RigAnswerPtr& answer)
    {
        CPPUNIT_ASSERT(RigRunUntil(&Parts, [&]() { return answer->Done; }));
        CPPUNIT_ASSERT_EQUAL(504, answer->Answer.Status);
    }

    // Removes the entries of silent targets, as the store does after missed heartbeats.
    void RemoveSilentEntries()
    {
        for (const auto& target : Parts.Targets)
        {
            if (!target->EndedBy.empty())
            {
                UsersStoreRemove(&Parts.Store, "servers/" + target->Id);
            }
        }
    }

    const Quarantine& KnownQuarantine() const
    {
        return Instances[0]->Requests.Quarantined;
    }

    int CrashCount() const
    {
        return KnownQuarantine().Requests.empty() ? 0 : QuarantineCrashCount(KnownQuarantine(), KnownQuarantine().Requests.begin()->first);
    }

    void AwaitCrashes(int crashes)
    {
        CPPUNIT_ASSERT(RigRunUntil(&Parts, [&]() { return CrashCount() == crashes; }));
    }
};

static constexpr int ShortMs = 200; // Deadline of a caller.

class SilentCrashesTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(SilentCrashesTest);
    CPPUNIT_TEST(ARequestThatSilencesTargetsIsQuarantined);
    CPPUNIT_TEST(AnAttemptInFlightCountsWhenItEnds);
    CPPUNIT_TEST(AnAttemptOfACallerThatLeftCounts);
    CPPUNIT_TEST(AnotherIncarnationShowsTheCrash);
    CPPUNIT_TEST(APartitionOrAHangIsNoCrash);
    CPPUNIT_TEST(AnAnswerSinceThenClearsTheAttempt);
    CPPUNIT_TEST(EntriesLostWhileTheStoreIsInTroubleDoNotCount);
    CPPUNIT_TEST(TargetsThatAreNotProbedDoNotCount);
    CPPUNIT_TEST(WhatIsRememberedIsBounded);
    CPPUNIT_TEST_SUITE_END();

    void ARequestThatSilencesTargetsIsQuarantined()
    {
        SilentFleet fleet(4, 2);
        for (int n = 1; n <= 3; n++)
        {
            fleet.Await(fleet.SilenceOne(ShortMs));
            fleet.RemoveSilentEntries();
            fleet.AwaitCrashes(n);
        }
        RigRunFor(&fleet.Parts, SpreadUs);
        CPPUNIT_ASSERT_EQUAL(503, fleet.SendCrashingCall(*fleet.Instances[0]).Answer.Status);
        CPPUNIT_ASSERT_EQUAL(503, fleet.SendCrashingCall(*fleet.Instances[1]).Answer.Status);
        CPPUNIT_ASSERT_EQUAL(3, fleet.Silenced());
    }

    // The target's entry is removed before the caller's deadline.
    void AnAttemptInFlightCountsWhenItEnds()
    {
        SilentFleet fleet(2);
        const RigAnswerPtr answer = fleet.SilenceOne(800);
        fleet.RemoveSilentEntries();
        const TargetPool& pool = fleet.Instances[0]->Requests.Services.at("svc").Pool;
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return !fleet.Instances[0]->Requests.Unanswered.Targets.empty(); }));
        CPPUNIT_ASSERT(!answer->Done && pool.Targets.size() == 2);
        CPPUNIT_ASSERT_EQUAL(0, fleet.CrashCount());
        fleet.Await(answer);
        CPPUNIT_ASSERT_EQUAL(1, fleet.CrashCount());
    }

    void AnAttemptOfACallerThatLeftCounts()
    {
        SilentFleet fleet(1);
        RawCaller caller(&fleet.Parts.Loop, fleet.Instances[0]->Config.CallerAddress);
        RawSend(caller, fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: r\r\n\r\n", CrashingPath));
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return fleet.Silenced() == 1; }));
        RawClose(&caller);
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return !fleet.Instances[0]->Requests.Unanswered.Attempts.empty(); }));
        fleet.RemoveSilentEntries();
        fleet.AwaitCrashes(1);
    }

    // Another incarnation under the same id, before the entry was removed.
    void AnotherIncarnationShowsTheCrash()
    {
        SilentFleet fleet(1);
        fleet.Await(fleet.SilenceOne(ShortMs));
        fleet.RestartTarget("t1", 1000);
        fleet.AwaitCrashes(1);
    }

    // The target does not answer, but its entry stays.
    void APartitionOrAHangIsNoCrash()
    {
        SilentFleet fleet(1);
        fleet.Await(fleet.SilenceOne(ShortMs));
        RigRunFor(&fleet.Parts, SpreadUs);
        CPPUNIT_ASSERT_EQUAL(0, fleet.CrashCount());
        const SilentCrashes& silent = fleet.Instances[0]->Requests.Unanswered;
        SilentCrashes later = silent;
        CPPUNIT_ASSERT_EQUAL(size_t{1}, later.Attempts.size());
        SilentCrashesExpire(&later, NowUs() + silent.DetectionMaxUs);
        CPPUNIT_ASSERT(later.Attempts.empty());
    }

    // The same request is answered by another target before the crash of the first one is known.
    void AnAnswerSinceThenClearsTheAttempt()
    {
        SilentFleet fleet(2);
        fleet.Await(fleet.SilenceOne(ShortMs));
        for (const auto& target : fleet.Parts.Targets)
        {
            target->CrashPrefix.clear();
        }
        CPPUNIT_ASSERT_EQUAL(200, fleet.SendCrashingCall(*fleet.Instances[0]).Answer.Status);
        fleet.RemoveSilentEntries();
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return !fleet.Instances[0]->Requests.Unanswered.Targets.empty(); }));
        CPPUNIT_ASSERT_EQUAL(0, fleet.CrashCount());
    }

    void EntriesLostWhileTheStoreIsInTroubleDoNotCount()
    {
        TargetDirectory directory;
        DirectoryTarget target;
        target.Id = "t";
        target.Service = "svc";
        target.Revision = 1;
        DirectoryPut(&directory, target, 0);
        DirectoryStoreFailed(&directory, UsPerSecond);
        DirectoryStoreAnswered(&directory, 2 * UsPerSecond);
        DirectoryRemove(&directory, "t", 2, 2 * UsPerSecond, 2 * UsPerSecond);
        CPPUNIT_ASSERT(DirectoryTakeCrashed(&directory).empty());
        target.Revision = 3; // The entry is back. It counts when removed without trouble, but not if the target was draining.
        DirectoryPut(&directory, target, 3 * UsPerSecond);
        DirectoryRemove(&directory, "t", 4, 60 * UsPerSecond, 60 * UsPerSecond);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, DirectoryTakeCrashed(&directory).size());
        target.Revision = 5;
        target.Presence = Presence_Draining;
        DirectoryPut(&directory, target, 61 * UsPerSecond);
        DirectoryRemove(&directory, "t", 6, 62 * UsPerSecond, 62 * UsPerSecond);
        CPPUNIT_ASSERT(DirectoryTakeCrashed(&directory).empty());
    }

    // Targets that report no load are not probed before the request, and may have been silent already.
    void TargetsThatAreNotProbedDoNotCount()
    {
        SilentFleet fleet(1);
        fleet.Parts.Targets[0]->SendsLoad = false;
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&fleet.Parts, *fleet.Instances[0], RigCall()).Answer.Status);
        fleet.Await(fleet.SilenceOne(ShortMs));
        CPPUNIT_ASSERT(fleet.Instances[0]->Requests.Unanswered.Attempts.empty());
    }

    void WhatIsRememberedIsBounded()
    {
        SilentCrashes silent;
        for (size_t n = 0; n < silent.EntriesMax + 10; n++)
        {
            CPPUNIT_ASSERT(!SilentCrashesAddAttempt(&silent, {fmt::format("r{}", n), "t", UsPerSecond}, 2 * UsPerSecond));
            SilentCrashesAddTarget(&silent, fmt::format("u{}", n), 2 * UsPerSecond);
        }
        CPPUNIT_ASSERT_EQUAL(silent.EntriesMax, silent.Attempts.size());
        CPPUNIT_ASSERT_EQUAL(silent.EntriesMax, silent.Targets.size());
        CPPUNIT_ASSERT_EQUAL(silent.EntriesMax, SilentCrashesAddTarget(&silent, "t", UsPerSecond + silent.DetectionMaxUs - 1).size());
        SilentCrashesExpire(&silent, 2 * UsPerSecond + silent.RetentionUs);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, silent.Targets.size()); // The latest one.
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentCrashesTest);

} // namespace Winchlink
