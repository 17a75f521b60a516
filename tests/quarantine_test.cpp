// quarantine_test.cpp: quarantine of requests that crash the targets that run them.
//
// Guards against a request that crashes one target after the other because its caller sends it again, each time to another instance.

#include "clock.h"
#include "page_client.h"
#include "pages.h"
#include "quarantine_fleet.h"
#include "request_key.h"

#include <algorithm>
#include <fmt/format.h>

namespace Winchlink
{

class QuarantineTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineTest);
    CPPUNIT_TEST(ARequestThatCrashesTargetsIsQuarantined);
    CPPUNIT_TEST(ARequestThatMayNotBeRetriedIsQuarantined);
    CPPUNIT_TEST(RequestKeysDependOnCredentials);
    CPPUNIT_TEST(ALostAnswerIsNoCrash);
    CPPUNIT_TEST(ADrainingTargetIsNoCrash);
    CPPUNIT_TEST(ACrashCountsWhereMostOtherTargetsAreDown);
    CPPUNIT_TEST(AnAnswerResetsTheCrashCount);
    CPPUNIT_TEST(EachIncarnationCounts);
    CPPUNIT_TEST(SeedsExchangeCrashesAfterAPartition);
    CPPUNIT_TEST(CrashesAreExchangedWithoutTheStore);
    CPPUNIT_TEST(OperatorsSeeAndLiftAQuarantine);
    CPPUNIT_TEST(UpdatesMergeInAnyOrder);
    CPPUNIT_TEST(AQuarantineEndsAndTheNextOneIsLonger);
    CPPUNIT_TEST(WhatIsRememberedIsBounded);
    CPPUNIT_TEST(MalformedBytesAreRefused);
    CPPUNIT_TEST_SUITE_END();

    // Each attempt goes to another instance, so that none of them sees three of the crashes itself.
    void ARequestThatCrashesTargetsIsQuarantined()
    {
        QuarantineFleet fleet(5, 12);
        for (size_t n = 0; n < 3; n++)
        {
            fleet.SendCrashingCall(*fleet.Instances[n]);
        }
        CPPUNIT_ASSERT_EQUAL(3, fleet.CrashedCount());
        RigRunFor(&fleet.Parts, SpreadUs);
        for (int round = 0; round < 2; round++)
        {
            for (const Gateway* instance : fleet.Instances)
            {
                CPPUNIT_ASSERT_EQUAL(503, fleet.SendCrashingCall(*instance).Answer.Status);
            }
        }
        CPPUNIT_ASSERT_EQUAL(3, fleet.CrashedCount());
        const Gateway& started_since = fleet.AddInstance();
        CPPUNIT_ASSERT_EQUAL(503, fleet.SendCrashingCall(started_since).Answer.Status);
        CPPUNIT_ASSERT_EQUAL(3, fleet.CrashedCount());
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&fleet.Parts, *fleet.Instances[0], RigCall()).Answer.Status); // Other requests are served.
    }

    void ARequestThatMayNotBeRetriedIsQuarantined()
    {
        QuarantineFleet fleet(2, 6);
        for (int n = 0; n < 3; n++)
        {
            CPPUNIT_ASSERT_EQUAL(502, fleet.SendCrashingCall(*fleet.Instances[0], "POST").Answer.Status);
        }
        RigRunFor(&fleet.Parts, SpreadUs);
        const RigAnswer answer = fleet.SendCrashingCall(*fleet.Instances[1], "POST");
        CPPUNIT_ASSERT_EQUAL(503, answer.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(std::to_string(Code_RequestHeld), *FindHeader(answer.Answer.Headers, HeaderCode));
        CPPUNIT_ASSERT(std::stod(*FindHeader(answer.Answer.Headers, "Retry-After")) > 590); // Until the quarantine ends.
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(fleet.Parts, answer.Id));
    }

    void RequestKeysDependOnCredentials()
    {
        Exchange one;
        one.Method = "POST";
        one.Target = "/a/x";
        one.Headers = {{"Host", "a.example"}, {"Authorization", "one"}, {"X-Request-Id", "1"}};
        one.Body = "body";
        Exchange same = one;
        same.Headers[2].Value = "2";
        CPPUNIT_ASSERT_EQUAL(RequestKey(one), RequestKey(same));
        for (int part = 0; part < 5; part++)
        {
            Exchange other = one;
            std::string* const parts[] = {&other.Method, &other.Target, &other.Headers[0].Value, &other.Headers[1].Value, &other.Body};
            *parts[part] += "x";
            CPPUNIT_ASSERT(RequestKey(one) != RequestKey(other));
        }
    }

    // The target closes the connection without an answer and keeps running.
    void ALostAnswerIsNoCrash()
    {
        QuarantineFleet fleet(1, 1);
        for (int n = 0; n < 4; n++)
        {
            fleet.Parts.Targets[0]->Script = {n % 2 == 0 ? TargetAct_Close : TargetAct_Reset};
            RigSendAndWait(&fleet.Parts, *fleet.Instances[0], RigCall());
        }
        RigRunFor(&fleet.Parts, SpreadUs);
        CPPUNIT_ASSERT(fleet.Instances[0]->Requests.Quarantined.Requests.empty());
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&fleet.Parts, *fleet.Instances[0], RigCall()).Answer.Status);
    }

    void ADrainingTargetIsNoCrash()
    {
        QuarantineFleet fleet(1, 1);
        UsersTarget& target = *fleet.Parts.Targets[0];
        target.WorkUs = 200 * UsPerMs;
        const RigAnswerPtr answer = RigSend(&fleet.Parts, *fleet.Instances[0], RigCall());
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return target.Running == 1; }));
        UsersStoreTarget(&fleet.Parts.Store, target.Id, "svc", target.Address, "dc-a", true);
        const TargetPool& pool = fleet.Instances[0]->Requests.Services.at("svc").Pool;
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return pool.Targets.empty(); }));
        UsersTargetStop(&target);
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return answer->Done; }));
        RigRunFor(&fleet.Parts, SpreadUs);
        CPPUNIT_ASSERT(fleet.Instances[0]->Requests.Quarantined.Requests.empty());
    }

    // Guards against a crash that is taken for a lost path, because the targets that were contacted to tell had crashed as well.
    void ACrashCountsWhereMostOtherTargetsAreDown()
    {
        for (int n = 0; n < 10; n++)
        {
            QuarantineFleet fleet(1, 5);
            for (const size_t down : {0, 1, 2})
            {
                UsersTargetStop(fleet.Parts.Targets[down].get());
            }
            for (int calls = 0; calls < 100 && fleet.CrashedCount() == 3; calls++)
            {
                fleet.SendCrashingCall(*fleet.Instances[0]);
                RigRunFor(&fleet.Parts, 10 * UsPerMs);
            }
            RigRunFor(&fleet.Parts, SpreadUs);
            CPPUNIT_ASSERT_EQUAL(4, fleet.CrashedCount());
            const Quarantine& known = fleet.Instances[0]->Requests.Quarantined;
            CPPUNIT_ASSERT_EQUAL(size_t{1}, known.Requests.size());
            CPPUNIT_ASSERT_EQUAL(1, QuarantineCrashCount(known, known.Requests.begin()->first));
        }
    }

    // An answer after two crashes resets the crash count at all instances.
    void AnAnswerResetsTheCrashCount()
    {
        QuarantineFleet fleet(2, 4);
        fleet.SendCrashingCall(*fleet.Instances[0]);
        fleet.SendCrashingCall(*fleet.Instances[0]);
        CPPUNIT_ASSERT_EQUAL(2, fleet.CrashedCount());
        for (const auto& target : fleet.Parts.Targets)
        {
            target->CrashPrefix.clear();
        }
        CPPUNIT_ASSERT_EQUAL(200, fleet.SendCrashingCall(*fleet.Instances[0]).Answer.Status);
        const Quarantine& other = fleet.Instances[1]->Requests.Quarantined;
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return other.Digest == fleet.Instances[0]->Requests.Quarantined.Digest; }));
        CPPUNIT_ASSERT_EQUAL(0, QuarantineCrashCount(other, other.Requests.begin()->first));
    }

    // A target that restarts at once under the same id: each incarnation counts.
    void EachIncarnationCounts()
    {
        QuarantineFleet fleet(1, 1);
        for (int n = 0; n < 3; n++)
        {
            CPPUNIT_ASSERT_EQUAL(502, fleet.SendCrashingCall(*fleet.Instances[0]).Answer.Status);
            const uint64_t incarnation = 1000 + static_cast<uint64_t>(n);
            fleet.RestartTarget("t1", incarnation);
            const TargetDirectory& directory = fleet.Instances[0]->Requests.Directory;
            CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return directory.Targets.at("t1").Incarnation == incarnation; }));
        }
        CPPUNIT_ASSERT_EQUAL(503, fleet.SendCrashingCall(*fleet.Instances[0]).Answer.Status);
    }

    // Two seeds that both read the store exchange crashes with each other, although neither is the other's source.
    void SeedsExchangeCrashesAfterAPartition()
    {
        QuarantineFleet fleet(2, 6);
        Gateway& first = *fleet.Instances[0];
        Gateway& second = *fleet.Instances[1];
        ListenerStop(&first.Peers.Server);
        ListenerStop(&second.Peers.Server);
        fleet.SendCrashingCall(first);
        fleet.SendCrashingCall(first);
        fleet.SendCrashingCall(second);
        RigRunFor(&fleet.Parts, 2 * SpreadUs);
        const std::string key = first.Requests.Quarantined.Requests.begin()->first;
        CPPUNIT_ASSERT_EQUAL(2, QuarantineCrashCount(first.Requests.Quarantined, key));
        CPPUNIT_ASSERT_EQUAL(1, QuarantineCrashCount(second.Requests.Quarantined, key));
        CPPUNIT_ASSERT(bool(RelayStart(&first.Peers, &fleet.Parts.Loop, &first.Rng, fleet.SeedAddresses[0])));
        CPPUNIT_ASSERT(bool(RelayStart(&second.Peers, &fleet.Parts.Loop, &second.Rng, fleet.SeedAddresses[1])));
        const auto know_all = [&]()
        {
            return QuarantineCrashCount(first.Requests.Quarantined, key) == 3 &&
                   QuarantineCrashCount(second.Requests.Quarantined, key) == 3;
        };
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, know_all));
    }

    // The store does not answer from before the first crash on, so that instances change their sources.
    void CrashesAreExchangedWithoutTheStore()
    {
        QuarantineFleet fleet(4, 6);
        RigRunFor(&fleet.Parts, SpreadUs);
        UsersStoreSetMode(&fleet.Parts.Store, StoreMode_Silent);
        RigRunFor(&fleet.Parts, 3 * UsPerSecond); // All instances have noticed by then.
        for (size_t n = 0; n < 3; n++)
        {
            fleet.SendCrashingCall(*fleet.Instances[n]);
        }
        RigRunFor(&fleet.Parts, 2 * UsPerSecond);
        for (const Gateway* instance : fleet.Instances)
        {
            CPPUNIT_ASSERT_EQUAL(503, fleet.SendCrashingCall(*instance).Answer.Status);
        }
        CPPUNIT_ASSERT_EQUAL(3, fleet.CrashedCount());
    }

    void OperatorsSeeAndLiftAQuarantine()
    {
        QuarantineFleet fleet(2, 5);
        for (int n = 0; n < 3; n++)
        {
            fleet.SendCrashingCall(*fleet.Instances[0]);
        }
        const Gateway& other = *fleet.Instances[1];
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return !other.Requests.Quarantined.Requests.empty(); }));
        const std::string key = other.Requests.Quarantined.Requests.begin()->first;
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return QuarantineCrashCount(other.Requests.Quarantined, key) == 3; }));
        CPPUNIT_ASSERT(StatusText(other).find(key) != std::string::npos);
        CPPUNIT_ASSERT(MetricsText(other).find("winchlink_requests_held 1\n") != std::string::npos);
        ClientRequest lift;
        lift.Address = other.Config.MetricsAddress;
        lift.Method = "POST";
        lift.Target = "/lift?request=" + key;
        lift.HasBody = true;
        std::string said;
        ClientSend(&fleet.Parts.Callers, lift, [&](const ClientAnswer& answer) { said = answer.Body; });
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return !said.empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::string(LiftedText), said);
        const Quarantine& first = fleet.Instances[0]->Requests.Quarantined;
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return QuarantineCrashCount(first, key) == 0; }));
        CPPUNIT_ASSERT_EQUAL(
            502,
            fleet.SendCrashingCall(*fleet.Instances[0]).Answer.Status); // It is sent to a target, and the count starts at zero.
        CPPUNIT_ASSERT_EQUAL(4, fleet.CrashedCount());
    }

    void UpdatesMergeInAnyOrder()
    {
        CHECK_PROPERTY("whoever has heard the same holds the same, in whatever order and however often",
                       []()
                       {
                           TestRandom dice;
                           Quarantine source;
                           const TimeUs now = 100 * UsPerSecond;
                           for (int64_t n = dice.Between(1, 30); n > 0; n--)
                           {
                               const std::string request = fmt::format("r{}", dice.Between(0, 4));
                               const TimeUs at = dice.Between(0, now);
                               QuarantineAddCrash(&source, request, fmt::format("t{}", dice.Between(0, 8)), at);
                               if (dice.OneIn(8))
                               {
                                   QuarantineClear(&source, request);
                               }
                           }
                           std::vector<TargetCrashUpdate> updates = QuarantineExport(source, now);
                           Quarantine all;
                           QuarantineMerge(&all, updates, now);
                           Quarantine parts;
                           std::reverse(updates.begin(), updates.end());
                           for (const TargetCrashUpdate& one : updates)
                           {
                               QuarantineMerge(&parts, {one}, now);
                               QuarantineMerge(&parts, {one}, now);
                           }
                           RC_ASSERT(all.Digest == source.Digest && parts.Digest == source.Digest);
                           for (const auto& [key, request] : source.Requests)
                           {
                               RC_ASSERT(QuarantineEndUs(parts, key, now) == QuarantineEndUs(source, key, now));
                           }
                           RC_ASSERT(!QuarantineMerge(&all, QuarantineExport(parts, now + UsPerSecond), now + UsPerSecond));
                       });
    }

    void AQuarantineEndsAndTheNextOneIsLonger()
    {
        Quarantine quarantine;
        const TimeUs hold = quarantine.Config.QuarantineUs;
        for (int n = 0; n < 3; n++)
        {
            CPPUNIT_ASSERT_EQUAL(TimeUs{0}, QuarantineEndUs(quarantine, "r", UsPerSecond));
            QuarantineAddCrash(&quarantine, "r", fmt::format("t{}", n), UsPerSecond);
        }
        CPPUNIT_ASSERT_EQUAL(UsPerSecond + hold, QuarantineEndUs(quarantine, "r", UsPerSecond));
        const TimeUs quarantine_end = UsPerSecond + hold;
        QuarantineExpire(&quarantine, quarantine_end);
        CPPUNIT_ASSERT_EQUAL(TimeUs{0}, QuarantineEndUs(quarantine, "r", quarantine_end));
        QuarantineAddCrash(&quarantine, "r", "t3", quarantine_end); // One more crash is enough now.
        CPPUNIT_ASSERT_EQUAL(quarantine_end + 2 * hold, QuarantineEndUs(quarantine, "r", quarantine_end));
        QuarantineExpire(&quarantine, quarantine_end + 4 * hold);
        CPPUNIT_ASSERT(quarantine.Requests.empty());
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, quarantine.Digest);
    }

    // Many requests with one crash each don't displace a request with more crashes.
    void WhatIsRememberedIsBounded()
    {
        Quarantine quarantine;
        for (int n = 0; n < 3; n++)
        {
            QuarantineAddCrash(&quarantine, "held", fmt::format("t{}", n), UsPerSecond);
        }
        for (size_t n = 0; n < quarantine.Config.RequestsMax + 100; n++)
        {
            QuarantineAddCrash(&quarantine, fmt::format("r{}", n), "t9", 2 * UsPerSecond);
        }
        for (size_t n = 0; n < quarantine.Config.CrashesMax + 10; n++)
        {
            QuarantineAddCrash(&quarantine, "held", fmt::format("more-{}", n), 3 * UsPerSecond);
        }
        CPPUNIT_ASSERT_EQUAL(quarantine.Config.RequestsMax, quarantine.Requests.size());
        CPPUNIT_ASSERT_EQUAL(quarantine.Config.CrashesMax, quarantine.Requests.at("held").Crashes.size());
        CPPUNIT_ASSERT(QuarantineEndUs(quarantine, "held", 3 * UsPerSecond) > 0);
        const std::string long_name(1000, 'x');
        CPPUNIT_ASSERT(
            !QuarantineMerge(&quarantine, {{long_name, "t", 0, false}, {"r", "", 0, false}, {"r", "t", -1, false}}, UsPerSecond));
    }

    void MalformedBytesAreRefused()
    {
        CHECK_PROPERTY("cut or changed bytes give an error",
                       []()
                       {
                           TestRandom dice;
                           std::string bytes = EncodeCrashReports({7, {{"key", "t1@5", 9, true}, {"key", "t2", 3, false}}});
                           if (dice.OneIn(2))
                           {
                               RC_ASSERT(!DecodeCrashReports(
                                   bytes.substr(0, static_cast<size_t>(dice.Between(0, static_cast<int64_t>(bytes.size()))))));
                               return;
                           }
                           bytes[static_cast<size_t>(dice.Between(0, static_cast<int64_t>(bytes.size())))] =
                               static_cast<char>(dice.Between(0, 256));
                           const Result<CrashReportsMessage> read = DecodeCrashReports(bytes);
                           RC_ASSERT(!read);
                           RC_ASSERT(read.error().Code == Code_MessageMalformed);
                       });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

} // namespace Winchlink
