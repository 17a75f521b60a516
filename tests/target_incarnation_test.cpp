// target_incarnation_test.cpp: targets that restart under the same id. Guards against state of the previous incarnation (failures, warm-up,
// load, requests in flight) that is applied to the new one.

#include "clock.h"
#include "gateway_rig.h"

#include <fmt/format.h>

namespace Winchlink
{

struct IncarnationRig
{
    Rig Parts;
    Gateway* Instance = nullptr;

    IncarnationRig()
    {
        Start(1000);
        RigConfigure(&Parts, {UsersRoute()});
        Instance = &RigInstance(&Parts, 1);
    }

    // Starts an incarnation of target "t1" and writes its entry to the store.
    UsersTarget& Start(uint64_t incarnation, const std::string& address = FreeAddress())
    {
        Parts.Targets.push_back(std::make_unique<UsersTarget>());
        UsersTarget& target = *Parts.Targets.back();
        CPPUNIT_ASSERT(UsersTargetStart(&target, &Parts.Loop, "t1", address));
        UsersStoreTarget(&Parts.Store, "t1", "svc", target.Address, "dc-a", false, 0, incarnation);
        return target;
    }

    UsersTarget& Latest() const
    {
        return *Parts.Targets.back();
    }

    PoolTarget* Known() const
    {
        return PoolFind(&Instance->Requests.Services.at("svc").Pool, "t1");
    }

    void Await(uint64_t incarnation)
    {
        CPPUNIT_ASSERT(RigRunUntil(&Parts, [&]() { return Known() != nullptr && Known()->Incarnation == incarnation; }));
    }
};

class TargetIncarnationTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetIncarnationTest);
    CPPUNIT_TEST(ARestartResetsTheTargetsState);
    CPPUNIT_TEST(ARestartWithAnEarlierClockIsAccepted);
    CPPUNIT_TEST(ADrainingTargetReturnsOnlyByARestart);
    CPPUNIT_TEST(AProbeOfThePreviousIncarnationIsIgnored);
    CPPUNIT_TEST(ARequestToThePreviousIncarnationIsNotCounted);
    CPPUNIT_TEST(AnUnsafeRequestIsNotRetriedAtTheNewIncarnation);
    CPPUNIT_TEST(LateUpdatesOfThePreviousIncarnationAreIgnored);
    CPPUNIT_TEST(ARestartAtTheSameAddressIsUsedWhileTheStoreIsUnavailable);
    CPPUNIT_TEST(ARestartAtANewAddressIsUsedWhenTheStoreReturns);
    CPPUNIT_TEST(InstancesAgreeOnTheLatestIncarnation);
    CPPUNIT_TEST_SUITE_END();

    void ARestartResetsTheTargetsState()
    {
        IncarnationRig setting;
        const uint64_t entry = setting.Known()->Generation;
        for (int n = 0; n < 5; n++)
        {
            PoolFailed(PoolConfig(), setting.Known(), NowUs());
        }
        PoolSetCold(TargetPool(), setting.Known(), NowUs() + 5 * UsPerSecond);
        UsersTargetStop(&setting.Latest());
        setting.Start(2000);
        setting.Await(2000);
        const PoolTarget* known = setting.Known();
        CPPUNIT_ASSERT(known->Generation != entry);
        CPPUNIT_ASSERT_EQUAL(0, known->FailuresInRow);
        CPPUNIT_ASSERT_EQUAL(TimeUs{0}, known->AvoidUntilUs);
        CPPUNIT_ASSERT(known->ColdUntilUs <= NowUs());
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&setting.Parts, *setting.Instance, RigCall()).Answer.Status);
    }

    void ARestartWithAnEarlierClockIsAccepted()
    {
        IncarnationRig setting;
        UsersTargetStop(&setting.Latest());
        setting.Start(500);
        setting.Await(500);
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&setting.Parts, *setting.Instance, RigCall()).Answer.Status);
    }

    void ADrainingTargetReturnsOnlyByARestart()
    {
        IncarnationRig setting;
        UsersStoreTarget(&setting.Parts.Store, "t1", "svc", setting.Latest().Address, "dc-a", true, 0, 1000);
        CPPUNIT_ASSERT(RigRunUntil(&setting.Parts, [&]() { return setting.Known() == nullptr; }));
        UsersStoreTarget(&setting.Parts.Store, "t1", "svc", setting.Latest().Address, "dc-a", false, 0, 1000);
        RigRunFor(&setting.Parts, 500 * UsPerMs);
        CPPUNIT_ASSERT(setting.Known() == nullptr); // A draining target becomes usable again only by a new incarnation.
        UsersTargetStop(&setting.Latest());
        setting.Start(2000);
        setting.Await(2000);
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&setting.Parts, *setting.Instance, RigCall()).Answer.Status);
    }

    // The probe of the previous incarnation is unanswered; the new incarnation is known before the probe times out.
    void AProbeOfThePreviousIncarnationIsIgnored()
    {
        IncarnationRig setting;
        setting.Instance->Requests.Services["svc"].ProbeTimeout.MinUs = UsPerSecond;
        setting.Latest().Mute = true;
        const RigAnswerPtr answer = RigSend(&setting.Parts, *setting.Instance, RigCall());
        CPPUNIT_ASSERT(RigRunUntil(&setting.Parts, [&]() { return setting.Latest().HealthAsked > 0; }));
        UsersTarget& previous = setting.Latest();
        setting.Start(2000);
        setting.Await(2000);
        UsersTargetStop(&previous); // Makes the probe fail.
        CPPUNIT_ASSERT(RigRunUntil(&setting.Parts, [&]() { return answer->Done; }));
        CPPUNIT_ASSERT_EQUAL(TimeUs{0}, setting.Known()->AvoidUnsafeUntilUs); // Set by a failure, and not cleared by a later success.
    }

    void ARequestToThePreviousIncarnationIsNotCounted()
    {
        IncarnationRig setting;
        UsersTarget& previous = setting.Latest();
        previous.WorkUs = 300 * UsPerMs;
        const RigAnswerPtr answer = RigSend(&setting.Parts, *setting.Instance, RigCall());
        CPPUNIT_ASSERT(RigRunUntil(&setting.Parts, [&]() { return previous.Running == 1; }));
        setting.Start(2000);
        setting.Await(2000);
        CPPUNIT_ASSERT_EQUAL(0, setting.Known()->InFlight);
        CPPUNIT_ASSERT(RigRunUntil(&setting.Parts, [&]() { return answer->Done; }));
        CPPUNIT_ASSERT_EQUAL(200, answer->Answer.Status); // The answer of the previous incarnation is still delivered.
        CPPUNIT_ASSERT_EQUAL(0, setting.Known()->InFlight);
        CPPUNIT_ASSERT_EQUAL(TimeUs{0}, setting.Known()->ReportUs); // Its load report doesn't apply to the new incarnation.
    }

    // An unsafe request was in progress in the previous incarnation: its outcome is unknown, and the new incarnation must not get it.
    void AnUnsafeRequestIsNotRetriedAtTheNewIncarnation()
    {
        IncarnationRig setting;
        UsersTarget& previous = setting.Latest();
        previous.WorkUs = 300 * UsPerMs;
        UsersRoute unsafe;
        unsafe.Safe = false;
        RigConfigure(&setting.Parts, {unsafe});
        RigWaitForPlan(&setting.Parts, *setting.Instance, 1);
        RigCall call;
        call.Method = "POST";
        const RigAnswerPtr answer = RigSend(&setting.Parts, *setting.Instance, call);
        CPPUNIT_ASSERT(RigRunUntil(&setting.Parts, [&]() { return previous.Running == 1; }));
        const std::string address = previous.Address;
        UsersTargetStop(&previous);
        const UsersTarget& restarted = setting.Start(2000, address);
        CPPUNIT_ASSERT(RigRunUntil(&setting.Parts, [&]() { return answer->Done; }));
        CPPUNIT_ASSERT_EQUAL(502, answer->Answer.Status);
        CPPUNIT_ASSERT_EQUAL(0, UsersTargetRuns(restarted, answer->Id));
    }

    // Late updates from a source that is behind are recognised by their revision, not by the incarnation's number.
    void LateUpdatesOfThePreviousIncarnationAreIgnored()
    {
        TargetDirectory directory;
        DirectoryTarget previous;
        previous.Id = "t1";
        previous.Incarnation = 3000;
        previous.Revision = 5;
        DirectoryTarget restarted = previous;
        restarted.Incarnation = 2000; // Its clock is behind.
        restarted.Revision = 8;
        DirectoryPut(&directory, previous, 0);
        DirectoryPut(&directory, restarted, 0);
        previous.Revision = 7;
        DirectoryPut(&directory, previous, 0);
        DirectoryRemove(&directory, "t1", 7, 0, 0);
        CPPUNIT_ASSERT_EQUAL(uint64_t{2000}, directory.Targets.at("t1").Incarnation);
        CPPUNIT_ASSERT_EQUAL(Presence_Ready, directory.Targets.at("t1").Presence);
    }

    // The instance can't learn of the new incarnation; the outcome of requests in progress in the previous one is unknown all the same.
    void ARestartAtTheSameAddressIsUsedWhileTheStoreIsUnavailable()
    {
        IncarnationRig setting;
        UsersRoute unsafe;
        unsafe.Safe = false;
        RigConfigure(&setting.Parts, {unsafe});
        RigWaitForPlan(&setting.Parts, *setting.Instance, 1);
        UsersTarget& previous = setting.Latest();
        previous.WorkUs = UsPerSecond;
        UsersStoreSetMode(&setting.Parts.Store, StoreMode_Silent);
        RigCall call;
        call.Method = "POST";
        const RigAnswerPtr answer = RigSend(&setting.Parts, *setting.Instance, call);
        CPPUNIT_ASSERT(RigRunUntil(&setting.Parts, [&]() { return previous.Running == 1; }));
        const std::string address = previous.Address;
        UsersTargetStop(&previous);
        const UsersTarget& restarted = setting.Start(2000, address);
        CPPUNIT_ASSERT(RigRunUntil(&setting.Parts, [&]() { return answer->Done; }));
        CPPUNIT_ASSERT_EQUAL(502, answer->Answer.Status);
        CPPUNIT_ASSERT_EQUAL(uint64_t{1000}, setting.Known()->Incarnation);
        RigRunFor(&setting.Parts, PoolConfig().AvoidUnsafeUs); // After this time unsafe requests are sent there again.
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&setting.Parts, *setting.Instance, call).Answer.Status);
        CPPUNIT_ASSERT_EQUAL(0, UsersTargetRuns(restarted, answer->Id));
        UsersStoreSetMode(&setting.Parts.Store, StoreMode_Good);
        setting.Await(2000);
    }

    // At a new address: the previous address fails, and the new one is used as soon as the store reports it.
    void ARestartAtANewAddressIsUsedWhenTheStoreReturns()
    {
        IncarnationRig setting;
        UsersStoreSetMode(&setting.Parts.Store, StoreMode_Silent);
        UsersTargetStop(&setting.Latest());
        const UsersTarget& restarted = setting.Start(500); // Its clock is behind.
        const RigAnswer refused = RigSendAndWait(&setting.Parts, *setting.Instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(503, refused.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(setting.Parts, refused.Id));
        UsersStoreSetMode(&setting.Parts.Store, StoreMode_Good);
        setting.Await(500);
        const RigAnswer served = RigSendAndWait(&setting.Parts, *setting.Instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(200, served.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(1, UsersTargetRuns(restarted, served.Id));
    }

    // A follower that is cut off keeps the previous incarnation; after reconnecting it takes the new one and never reverts the others.
    void InstancesAgreeOnTheLatestIncarnation()
    {
        IncarnationRig setting;
        Settings reader_settings = RigSettings(setting.Parts);
        reader_settings.PeerAddress = FreeAddress();
        reader_settings.Peers = {reader_settings.PeerAddress};
        Gateway& reader = RigStartWith(&setting.Parts, reader_settings);
        RigWaitForPlan(&setting.Parts, reader, 1);
        Settings follower_settings = reader_settings;
        follower_settings.CallerAddress = FreeAddress();
        follower_settings.ReadyAddress = FreeAddress();
        follower_settings.MetricsAddress = FreeAddress();
        follower_settings.PeerAddress = FreeAddress();
        follower_settings.StoreAddress = FreeAddress(); // It can't reach the store either.
        Gateway& follower = RigStartWith(&setting.Parts, follower_settings);
        RigWaitForPlan(&setting.Parts, follower, 1);
        const auto incarnation_at = [](const Gateway& gateway)
        {
            return gateway.Requests.Directory.Targets.at("t1").Incarnation;
        };
        ListenerStop(&reader.Peers.Server);
        setting.Start(700);
        CPPUNIT_ASSERT(RigRunUntil(&setting.Parts, [&]() { return incarnation_at(reader) == 700; }));
        RigRunFor(&setting.Parts, UsPerSecond);
        CPPUNIT_ASSERT_EQUAL(uint64_t{1000}, incarnation_at(follower));
        CPPUNIT_ASSERT(bool(RelayStart(&reader.Peers, &setting.Parts.Loop, &reader.Rng, reader_settings.PeerAddress)));
        CPPUNIT_ASSERT(RigRunUntil(&setting.Parts, [&]() { return incarnation_at(follower) == 700; }));
        RigRunFor(&setting.Parts, 300 * UsPerMs);
        CPPUNIT_ASSERT_EQUAL(uint64_t{700}, incarnation_at(reader));
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&setting.Parts, follower, RigCall()).Answer.Status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetIncarnationTest);

} // namespace Winchlink
