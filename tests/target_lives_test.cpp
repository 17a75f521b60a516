// target_lives_test.cpp: targets that start again under the id that they had: what was believed of the former start ends with it.

#include "clock.h"
#include "gateway_rig.h"

#include <fmt/format.h>

namespace Winchlink
{

struct LivesSetting
{
    Rig Parts;
    Gateway* Instance = nullptr;

    LivesSetting()
    {
        Start(1000);
        RigConfigure(&Parts, {UsersRoute()});
        Instance = &RigInstance(&Parts, 1);
    }

    // A start of the target "t1"; its entry is written at once.
    UsersTarget& Start(uint64_t life, const std::string& address = FreeAddress())
    {
        Parts.Targets.push_back(std::make_unique<UsersTarget>());
        UsersTarget& target = *Parts.Targets.back();
        CPPUNIT_ASSERT(UsersTargetStart(&target, &Parts.Loop, "t1", address));
        UsersStoreTarget(&Parts.Store, "t1", "svc", target.Address, "dc-a", false, 0, life);
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

    void Await(uint64_t life)
    {
        CPPUNIT_ASSERT(RigRun(&Parts, [&]() { return Known() != nullptr && Known()->Incarnation == life; }));
    }
};

class TargetLivesTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetLivesTest);
    CPPUNIT_TEST(NothingIsBelievedOfTheFormerStart);
    CPPUNIT_TEST(ItsClockMayBeBehind);
    CPPUNIT_TEST(OneThatSaidThatItLeavesComesBack);
    CPPUNIT_TEST(AnAnswerToAQuestionOfBeforeSaysNothing);
    CPPUNIT_TEST(ARequestOfBeforeIsNotCounted);
    CPPUNIT_TEST(WhatMayHaveRunInTheFormerStartMayHaveRun);
    CPPUNIT_TEST(LateNewsOfTheFormerStartAreOlder);
    CPPUNIT_TEST(StartsWhileTheStoreIsAwayAreFoundAtTheSameAddress);
    CPPUNIT_TEST(StartsWhileTheStoreIsAwayAreTakenWhenItReturns);
    CPPUNIT_TEST(InstancesThatKnowDifferentStartsAgreeOnTheLatest);
    CPPUNIT_TEST_SUITE_END();

    void NothingIsBelievedOfTheFormerStart()
    {
        LivesSetting setting;
        const uint64_t entry = setting.Known()->Generation;
        for (int n = 0; n < 5; n++)
        {
            PoolFailed(PoolConfig(), setting.Known(), NowUs());
        }
        PoolToldCold(PoolConfig(), setting.Known(), NowUs() + 5 * UsPerSecond);
        UsersTargetStop(&setting.Latest());
        setting.Start(2000);
        setting.Await(2000);
        const PoolTarget* known = setting.Known();
        CPPUNIT_ASSERT(known->Generation != entry);
        CPPUNIT_ASSERT_EQUAL(0, known->FailuresInRow);
        CPPUNIT_ASSERT_EQUAL(TimeUs{0}, known->AvoidUntilUs);
        CPPUNIT_ASSERT(known->ColdUntilUs <= NowUs());
        CPPUNIT_ASSERT_EQUAL(200, RigAsk(&setting.Parts, *setting.Instance, RigCall()).Answer.Status);
    }

    void ItsClockMayBeBehind()
    {
        LivesSetting setting;
        UsersTargetStop(&setting.Latest());
        setting.Start(500);
        setting.Await(500);
        CPPUNIT_ASSERT_EQUAL(200, RigAsk(&setting.Parts, *setting.Instance, RigCall()).Answer.Status);
    }

    void OneThatSaidThatItLeavesComesBack()
    {
        LivesSetting setting;
        UsersStoreTarget(&setting.Parts.Store, "t1", "svc", setting.Latest().Address, "dc-a", true, 0, 1000);
        CPPUNIT_ASSERT(RigRun(&setting.Parts, [&]() { return setting.Known() == nullptr; }));
        UsersStoreTarget(&setting.Parts.Store, "t1", "svc", setting.Latest().Address, "dc-a", false, 0, 1000);
        RigIdle(&setting.Parts, 500 * UsPerMs);
        CPPUNIT_ASSERT(setting.Known() == nullptr); // Nobody comes back from leaving, but by another start.
        UsersTargetStop(&setting.Latest());
        setting.Start(2000);
        setting.Await(2000);
        CPPUNIT_ASSERT_EQUAL(200, RigAsk(&setting.Parts, *setting.Instance, RigCall()).Answer.Status);
    }

    // The question hangs at the former start; the new one is known before its time is over.
    void AnAnswerToAQuestionOfBeforeSaysNothing()
    {
        LivesSetting setting;
        setting.Instance->Requests.Services["svc"].ProbeTimeout.MinUs = UsPerSecond;
        setting.Latest().Mute = true;
        const RigAnswerPtr answer = RigSend(&setting.Parts, *setting.Instance, RigCall());
        CPPUNIT_ASSERT(RigRun(&setting.Parts, [&]() { return setting.Latest().HealthAsked > 0; }));
        UsersTarget& former = setting.Latest();
        setting.Start(2000);
        setting.Await(2000);
        UsersTargetStop(&former); // Only now does the question fail.
        CPPUNIT_ASSERT(RigRun(&setting.Parts, [&]() { return answer->Done; }));
        CPPUNIT_ASSERT_EQUAL(TimeUs{0}, setting.Known()->AvoidUnsafeUntilUs); // As after a failure, also where a success came since.
    }

    void ARequestOfBeforeIsNotCounted()
    {
        LivesSetting setting;
        UsersTarget& former = setting.Latest();
        former.WorkUs = 300 * UsPerMs;
        const RigAnswerPtr answer = RigSend(&setting.Parts, *setting.Instance, RigCall());
        CPPUNIT_ASSERT(RigRun(&setting.Parts, [&]() { return former.Running == 1; }));
        setting.Start(2000);
        setting.Await(2000);
        CPPUNIT_ASSERT_EQUAL(0, setting.Known()->InFlight);
        CPPUNIT_ASSERT(RigRun(&setting.Parts, [&]() { return answer->Done; }));
        CPPUNIT_ASSERT_EQUAL(200, answer->Answer.Status); // A ready answer is delivered, also of a former start.
        CPPUNIT_ASSERT_EQUAL(0, setting.Known()->InFlight);
        CPPUNIT_ASSERT_EQUAL(TimeUs{0}, setting.Known()->ReportUs); // And says nothing of the new one's load.
    }

    // The new start answers at once that nothing of the kind runs there; "not run" would not be true for that.
    void WhatMayHaveRunInTheFormerStartMayHaveRun()
    {
        LivesSetting setting;
        UsersTarget& former = setting.Latest();
        former.WorkUs = 300 * UsPerMs;
        UsersRoute unsafe;
        unsafe.Safe = false;
        RigConfigure(&setting.Parts, {unsafe});
        RigAwait(&setting.Parts, *setting.Instance, 1);
        RigCall call;
        call.Method = "POST";
        const RigAnswerPtr answer = RigSend(&setting.Parts, *setting.Instance, call);
        CPPUNIT_ASSERT(RigRun(&setting.Parts, [&]() { return former.Running == 1; }));
        const std::string address = former.Address;
        UsersTargetStop(&former);
        const UsersTarget& again = setting.Start(2000, address);
        CPPUNIT_ASSERT(RigRun(&setting.Parts, [&]() { return answer->Done; }));
        CPPUNIT_ASSERT_EQUAL(502, answer->Answer.Status);
        CPPUNIT_ASSERT_EQUAL(0, UsersTargetRuns(again, answer->Id));
    }

    // From a source that is behind: its revision says so, whatever the numbers of the starts.
    void LateNewsOfTheFormerStartAreOlder()
    {
        TargetDirectory directory;
        DirectoryTarget former;
        former.Id = "t1";
        former.Incarnation = 3000;
        former.Revision = 5;
        DirectoryTarget again = former;
        again.Incarnation = 2000; // Its clock is behind.
        again.Revision = 8;
        DirectoryPut(&directory, former, 0);
        DirectoryPut(&directory, again, 0);
        former.Revision = 7;
        DirectoryPut(&directory, former, 0);
        DirectoryRemove(&directory, "t1", 7, 0);
        CPPUNIT_ASSERT_EQUAL(uint64_t{2000}, directory.Targets.at("t1").Incarnation);
        CPPUNIT_ASSERT_EQUAL(Presence_Ready, directory.Targets.at("t1").Presence);
    }

    // Nothing tells the instance that it is another start; what was in progress in the former one may have run all the same.
    void StartsWhileTheStoreIsAwayAreFoundAtTheSameAddress()
    {
        LivesSetting setting;
        UsersRoute unsafe;
        unsafe.Safe = false;
        RigConfigure(&setting.Parts, {unsafe});
        RigAwait(&setting.Parts, *setting.Instance, 1);
        UsersTarget& former = setting.Latest();
        former.WorkUs = UsPerSecond;
        UsersStoreSetMode(&setting.Parts.Store, StoreMode_Silent);
        RigCall call;
        call.Method = "POST";
        const RigAnswerPtr answer = RigSend(&setting.Parts, *setting.Instance, call);
        CPPUNIT_ASSERT(RigRun(&setting.Parts, [&]() { return former.Running == 1; }));
        const std::string address = former.Address;
        UsersTargetStop(&former);
        const UsersTarget& again = setting.Start(2000, address);
        CPPUNIT_ASSERT(RigRun(&setting.Parts, [&]() { return answer->Done; }));
        CPPUNIT_ASSERT_EQUAL(502, answer->Answer.Status);
        CPPUNIT_ASSERT_EQUAL(uint64_t{1000}, setting.Known()->Incarnation);
        RigIdle(&setting.Parts, PoolConfig().AvoidUnsafeUs); // Until unsafe requests are sent there again.
        CPPUNIT_ASSERT_EQUAL(200, RigAsk(&setting.Parts, *setting.Instance, call).Answer.Status);
        CPPUNIT_ASSERT_EQUAL(0, UsersTargetRuns(again, answer->Id));
        UsersStoreSetMode(&setting.Parts.Store, StoreMode_Good);
        setting.Await(2000);
    }

    // At another address: the former one is no choice, and the new one is used as soon as it is known.
    void StartsWhileTheStoreIsAwayAreTakenWhenItReturns()
    {
        LivesSetting setting;
        UsersStoreSetMode(&setting.Parts.Store, StoreMode_Silent);
        UsersTargetStop(&setting.Latest());
        const UsersTarget& again = setting.Start(500); // Its clock is behind.
        const RigAnswer refused = RigAsk(&setting.Parts, *setting.Instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(503, refused.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(0, RigRuns(setting.Parts, refused.Id));
        UsersStoreSetMode(&setting.Parts.Store, StoreMode_Good);
        setting.Await(500);
        const RigAnswer served = RigAsk(&setting.Parts, *setting.Instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(200, served.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(1, UsersTargetRuns(again, served.Id));
    }

    // A follower that is cut off keeps to the former start; when it hears the others again it never takes them back to that.
    void InstancesThatKnowDifferentStartsAgreeOnTheLatest()
    {
        LivesSetting setting;
        Settings reader_settings = RigSettings(setting.Parts);
        reader_settings.PeerAddress = FreeAddress();
        reader_settings.Peers = {reader_settings.PeerAddress};
        Gateway& reader = RigStartWith(&setting.Parts, reader_settings);
        RigAwait(&setting.Parts, reader, 1);
        Settings follower_settings = reader_settings;
        follower_settings.CallerAddress = FreeAddress();
        follower_settings.ReadyAddress = FreeAddress();
        follower_settings.MetricsAddress = FreeAddress();
        follower_settings.PeerAddress = FreeAddress();
        follower_settings.StoreAddress = FreeAddress(); // Cut off from the store, too.
        Gateway& follower = RigStartWith(&setting.Parts, follower_settings);
        RigAwait(&setting.Parts, follower, 1);
        const auto life_at = [](const Gateway& gateway)
        {
            return gateway.Requests.Directory.Targets.at("t1").Incarnation;
        };
        ListenerStop(&reader.Peers.Server);
        setting.Start(700);
        CPPUNIT_ASSERT(RigRun(&setting.Parts, [&]() { return life_at(reader) == 700; }));
        RigIdle(&setting.Parts, UsPerSecond);
        CPPUNIT_ASSERT_EQUAL(uint64_t{1000}, life_at(follower));
        CPPUNIT_ASSERT(bool(RelayStart(&reader.Peers, &setting.Parts.Loop, &reader.Rng, reader_settings.PeerAddress)));
        CPPUNIT_ASSERT(RigRun(&setting.Parts, [&]() { return life_at(follower) == 700; }));
        RigIdle(&setting.Parts, 300 * UsPerMs);
        CPPUNIT_ASSERT_EQUAL(uint64_t{700}, life_at(reader));
        CPPUNIT_ASSERT_EQUAL(200, RigAsk(&setting.Parts, follower, RigCall()).Answer.Status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLivesTest);

} // namespace Winchlink
