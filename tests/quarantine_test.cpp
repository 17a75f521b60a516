// quarantine_test.cpp: requests that end every target that begins to run them.
//
// What was seen: on one day 75 targets of a service ended in waves, each wave within a second, and each wave again some three seconds after
// new targets had come; one request was sent to targets 12 times later than three seconds after it had ended three, and 26 ended in all.
// How it came about: the request ends each target that begins to run it. Its caller gets 502 and sends it again, with a new request id, to
// whatever instance answers; tries come to instances of all data centres within 0.3 s. What caused it: for an instance each try is a new
// request. Nobody remembers what ended under the former ones, and no instance hears of what others have seen. What proved that: with no
// repeat at all two thirds of the sends would be left (12 of 18 lines with one attempt); and the first test here, where each try comes to
// another instance and is sent to one target only.

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
    CPPUNIT_TEST(ARequestThatEndsTargetsIsSentNoMore);
    CPPUNIT_TEST(OneThatMayNotBeRepeatedIsHeldToo);
    CPPUNIT_TEST(OtherCredentialsMakeAnotherRequest);
    CPPUNIT_TEST(ALostAnswerIsNoEnd);
    CPPUNIT_TEST(ATargetThatLeavesIsNoEnd);
    CPPUNIT_TEST(ARequestThatIsAnsweredIsCleared);
    CPPUNIT_TEST(StartsUnderTheSameIdCountEach);
    CPPUNIT_TEST(InstancesThatWereApartLearnFromEachOther);
    CPPUNIT_TEST(ItIsToldWithoutTheStore);
    CPPUNIT_TEST(OperatorsSeeAndLiftIt);
    CPPUNIT_TEST(NewsMergeInAnyOrder);
    CPPUNIT_TEST(ItIsLetGoInTimeAndHeldForLongerTheNextTime);
    CPPUNIT_TEST(WhatIsRememberedIsBounded);
    CPPUNIT_TEST(BytesThatAreNoNewsAreRefused);
    CPPUNIT_TEST_SUITE_END();

    // Tries that come to five instances in turn: no instance meets three of the ends itself.
    void ARequestThatEndsTargetsIsSentNoMore()
    {
        QuarantineFleet fleet(5, 12);
        for (size_t n = 0; n < 3; n++)
        {
            fleet.AskEnding(*fleet.Instances[n]);
        }
        CPPUNIT_ASSERT_EQUAL(3, fleet.Ended());
        RigIdle(&fleet.Parts, SpreadUs);
        for (int round = 0; round < 2; round++)
        {
            for (const Gateway* instance : fleet.Instances)
            {
                CPPUNIT_ASSERT_EQUAL(503, fleet.AskEnding(*instance).Answer.Status);
            }
        }
        CPPUNIT_ASSERT_EQUAL(3, fleet.Ended());
        const Gateway& started_since = fleet.AddInstance();
        CPPUNIT_ASSERT_EQUAL(503, fleet.AskEnding(started_since).Answer.Status);
        CPPUNIT_ASSERT_EQUAL(3, fleet.Ended());
        CPPUNIT_ASSERT_EQUAL(200, RigAsk(&fleet.Parts, *fleet.Instances[0], RigCall()).Answer.Status); // Others are served.
    }

    void OneThatMayNotBeRepeatedIsHeldToo()
    {
        QuarantineFleet fleet(2, 6);
        for (int n = 0; n < 3; n++)
        {
            CPPUNIT_ASSERT_EQUAL(502, fleet.AskEnding(*fleet.Instances[0], "POST").Answer.Status);
        }
        RigIdle(&fleet.Parts, SpreadUs);
        const RigAnswer answer = fleet.AskEnding(*fleet.Instances[1], "POST");
        CPPUNIT_ASSERT_EQUAL(503, answer.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(std::to_string(Code_RequestHeld), *FindHeader(answer.Answer.Headers, HeaderCode));
        CPPUNIT_ASSERT(std::stod(*FindHeader(answer.Answer.Headers, "Retry-After")) > 590); // Until it is let go.
        CPPUNIT_ASSERT_EQUAL(0, RigRuns(fleet.Parts, answer.Id));                           // As the status says.
    }

    void OtherCredentialsMakeAnotherRequest()
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

    // The target closes the connection without an answer and lives on.
    void ALostAnswerIsNoEnd()
    {
        QuarantineFleet fleet(1, 1);
        for (int n = 0; n < 4; n++)
        {
            fleet.Parts.Targets[0]->Script = {n % 2 == 0 ? TargetAct_Close : TargetAct_Reset};
            RigAsk(&fleet.Parts, *fleet.Instances[0], RigCall());
        }
        RigIdle(&fleet.Parts, SpreadUs);
        CPPUNIT_ASSERT(fleet.Instances[0]->Requests.Quarantined.Requests.empty());
        CPPUNIT_ASSERT_EQUAL(200, RigAsk(&fleet.Parts, *fleet.Instances[0], RigCall()).Answer.Status);
    }

    void ATargetThatLeavesIsNoEnd()
    {
        QuarantineFleet fleet(1, 1);
        UsersTarget& target = *fleet.Parts.Targets[0];
        target.WorkUs = 200 * UsPerMs;
        const RigAnswerPtr answer = RigSend(&fleet.Parts, *fleet.Instances[0], RigCall());
        CPPUNIT_ASSERT(RigRun(&fleet.Parts, [&]() { return target.Running == 1; }));
        UsersStoreTarget(&fleet.Parts.Store, target.Id, "svc", target.Address, "dc-a", true);
        const TargetPool& pool = fleet.Instances[0]->Requests.Services.at("svc").Pool;
        CPPUNIT_ASSERT(RigRun(&fleet.Parts, [&]() { return pool.Targets.empty(); }));
        UsersTargetStop(&target);
        CPPUNIT_ASSERT(RigRun(&fleet.Parts, [&]() { return answer->Done; }));
        RigIdle(&fleet.Parts, SpreadUs);
        CPPUNIT_ASSERT(fleet.Instances[0]->Requests.Quarantined.Requests.empty());
    }

    // It was at two targets that ended, and is answered by the third: all instances count from nothing again.
    void ARequestThatIsAnsweredIsCleared()
    {
        QuarantineFleet fleet(2, 4);
        fleet.AskEnding(*fleet.Instances[0]);
        fleet.AskEnding(*fleet.Instances[0]);
        CPPUNIT_ASSERT_EQUAL(2, fleet.Ended());
        for (const auto& target : fleet.Parts.Targets)
        {
            target->EndsOn.clear();
        }
        CPPUNIT_ASSERT_EQUAL(200, fleet.AskEnding(*fleet.Instances[0]).Answer.Status);
        const Quarantine& other = fleet.Instances[1]->Requests.Quarantined;
        CPPUNIT_ASSERT(RigRun(&fleet.Parts, [&]() { return other.Digest == fleet.Instances[0]->Requests.Quarantined.Digest; }));
        CPPUNIT_ASSERT_EQUAL(0, QuarantineEnds(other, other.Requests.begin()->first));
    }

    // One target that starts again at once, each time under the id that it had.
    void StartsUnderTheSameIdCountEach()
    {
        QuarantineFleet fleet(1, 1);
        for (int n = 0; n < 3; n++)
        {
            CPPUNIT_ASSERT_EQUAL(502, fleet.AskEnding(*fleet.Instances[0]).Answer.Status);
            const uint64_t life = 1000 + static_cast<uint64_t>(n);
            fleet.StartAgain("t1", life);
            const TargetDirectory& directory = fleet.Instances[0]->Requests.Directory;
            CPPUNIT_ASSERT(RigRun(&fleet.Parts, [&]() { return directory.Targets.at("t1").Incarnation == life; }));
        }
        CPPUNIT_ASSERT_EQUAL(503, fleet.AskEnding(*fleet.Instances[0]).Answer.Status);
    }

    // Two first contacts that each read the store, and know of nobody but each other: neither hears of the other from the store.
    void InstancesThatWereApartLearnFromEachOther()
    {
        QuarantineFleet fleet(2, 6);
        Gateway& first = *fleet.Instances[0];
        Gateway& second = *fleet.Instances[1];
        ListenerStop(&first.Peers.Server);
        ListenerStop(&second.Peers.Server);
        fleet.AskEnding(first);
        fleet.AskEnding(first);
        fleet.AskEnding(second);
        RigIdle(&fleet.Parts, 2 * SpreadUs);
        const std::string key = first.Requests.Quarantined.Requests.begin()->first;
        CPPUNIT_ASSERT_EQUAL(2, QuarantineEnds(first.Requests.Quarantined, key));
        CPPUNIT_ASSERT_EQUAL(1, QuarantineEnds(second.Requests.Quarantined, key));
        CPPUNIT_ASSERT(bool(RelayStart(&first.Peers, &fleet.Parts.Loop, &first.Rng, fleet.Contacts[0])));
        CPPUNIT_ASSERT(bool(RelayStart(&second.Peers, &fleet.Parts.Loop, &second.Rng, fleet.Contacts[1])));
        const auto know_all = [&]()
        {
            return QuarantineEnds(first.Requests.Quarantined, key) == 3 && QuarantineEnds(second.Requests.Quarantined, key) == 3;
        };
        CPPUNIT_ASSERT(RigRun(&fleet.Parts, know_all));
    }

    // The store is silent from before the first end: whoever reads it has lost it, and others look for better sources.
    void ItIsToldWithoutTheStore()
    {
        QuarantineFleet fleet(4, 6);
        RigIdle(&fleet.Parts, SpreadUs);
        UsersStoreSetMode(&fleet.Parts.Store, StoreMode_Silent);
        RigIdle(&fleet.Parts, 3 * UsPerSecond); // All know it by now.
        for (size_t n = 0; n < 3; n++)
        {
            fleet.AskEnding(*fleet.Instances[n]);
        }
        RigIdle(&fleet.Parts, 2 * UsPerSecond);
        for (const Gateway* instance : fleet.Instances)
        {
            CPPUNIT_ASSERT_EQUAL(503, fleet.AskEnding(*instance).Answer.Status);
        }
        CPPUNIT_ASSERT_EQUAL(3, fleet.Ended());
    }

    void OperatorsSeeAndLiftIt()
    {
        QuarantineFleet fleet(2, 5);
        for (int n = 0; n < 3; n++)
        {
            fleet.AskEnding(*fleet.Instances[0]);
        }
        const Gateway& other = *fleet.Instances[1];
        CPPUNIT_ASSERT(RigRun(&fleet.Parts, [&]() { return !other.Requests.Quarantined.Requests.empty(); }));
        const std::string key = other.Requests.Quarantined.Requests.begin()->first;
        CPPUNIT_ASSERT(RigRun(&fleet.Parts, [&]() { return QuarantineEnds(other.Requests.Quarantined, key) == 3; }));
        CPPUNIT_ASSERT(StatusText(other).find(key) != std::string::npos);
        CPPUNIT_ASSERT(MetricsText(other).find("winchlink_requests_held 1\n") != std::string::npos);
        ClientRequest lift;
        lift.Address = other.Config.MetricsAddress;
        lift.Method = "POST";
        lift.Target = "/lift?request=" + key;
        lift.HasBody = true;
        std::string said;
        ClientSend(&fleet.Parts.Callers, lift, [&](const ClientAnswer& answer) { said = answer.Body; });
        CPPUNIT_ASSERT(RigRun(&fleet.Parts, [&]() { return !said.empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::string(LiftedText), said);
        const Quarantine& first = fleet.Instances[0]->Requests.Quarantined;
        CPPUNIT_ASSERT(RigRun(&fleet.Parts, [&]() { return QuarantineEnds(first, key) == 0; }));
        CPPUNIT_ASSERT_EQUAL(502, fleet.AskEnding(*fleet.Instances[0]).Answer.Status); // It is sent again, and counts anew.
        CPPUNIT_ASSERT_EQUAL(4, fleet.Ended());
    }

    void NewsMergeInAnyOrder()
    {
        CHECK_PROPERTY("whoever has heard the same holds the same, in whatever order and however often",
                       []()
                       {
                           Dice dice;
                           Quarantine source;
                           const TimeUs now = 100 * UsPerSecond;
                           for (int64_t n = dice.Between(1, 30); n > 0; n--)
                           {
                               const std::string request = fmt::format("r{}", dice.Between(0, 4));
                               QuarantineNote(&source, request, fmt::format("t{}", dice.Between(0, 8)), dice.Between(0, now));
                               if (dice.OneIn(8))
                               {
                                   QuarantineAnswered(&source, request);
                               }
                           }
                           std::vector<TargetEndNews> news = QuarantineTell(source, now);
                           Quarantine all;
                           QuarantineTake(&all, news, now);
                           Quarantine parts;
                           std::reverse(news.begin(), news.end());
                           for (const TargetEndNews& one : news)
                           {
                               QuarantineTake(&parts, {one}, now);
                               QuarantineTake(&parts, {one}, now);
                           }
                           RC_ASSERT(all.Digest == source.Digest && parts.Digest == source.Digest);
                           for (const auto& [key, request] : source.Requests)
                           {
                               RC_ASSERT(QuarantineUntil(parts, key, now) == QuarantineUntil(source, key, now));
                           }
                           RC_ASSERT(!QuarantineTake(&all, QuarantineTell(parts, now + UsPerSecond), now + UsPerSecond));
                       });
    }

    void ItIsLetGoInTimeAndHeldForLongerTheNextTime()
    {
        Quarantine quarantine;
        const TimeUs hold = quarantine.Config.QuarantineUs;
        for (int n = 0; n < 3; n++)
        {
            CPPUNIT_ASSERT_EQUAL(TimeUs{0}, QuarantineUntil(quarantine, "r", UsPerSecond));
            QuarantineNote(&quarantine, "r", fmt::format("t{}", n), UsPerSecond);
        }
        CPPUNIT_ASSERT_EQUAL(UsPerSecond + hold, QuarantineUntil(quarantine, "r", UsPerSecond));
        const TimeUs let_go = UsPerSecond + hold;
        QuarantineForget(&quarantine, let_go);
        CPPUNIT_ASSERT_EQUAL(TimeUs{0}, QuarantineUntil(quarantine, "r", let_go));
        QuarantineNote(&quarantine, "r", "t3", let_go); // One more end is enough now.
        CPPUNIT_ASSERT_EQUAL(let_go + 2 * hold, QuarantineUntil(quarantine, "r", let_go));
        QuarantineForget(&quarantine, let_go + 4 * hold);
        CPPUNIT_ASSERT(quarantine.Requests.empty());
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, quarantine.Digest);
    }

    // Whoever sends many requests to a target that ends puts none out that has ended more.
    void WhatIsRememberedIsBounded()
    {
        Quarantine quarantine;
        for (int n = 0; n < 3; n++)
        {
            QuarantineNote(&quarantine, "held", fmt::format("t{}", n), UsPerSecond);
        }
        for (size_t n = 0; n < quarantine.Config.RequestsMax + 100; n++)
        {
            QuarantineNote(&quarantine, fmt::format("r{}", n), "t9", 2 * UsPerSecond);
        }
        for (size_t n = 0; n < quarantine.Config.CrashesMax + 10; n++)
        {
            QuarantineNote(&quarantine, "held", fmt::format("more-{}", n), 3 * UsPerSecond);
        }
        CPPUNIT_ASSERT_EQUAL(quarantine.Config.RequestsMax, quarantine.Requests.size());
        CPPUNIT_ASSERT_EQUAL(quarantine.Config.CrashesMax, quarantine.Requests.at("held").Crashes.size());
        CPPUNIT_ASSERT(QuarantineUntil(quarantine, "held", 3 * UsPerSecond) > 0);
        const std::string long_name(1000, 'x');
        CPPUNIT_ASSERT(!QuarantineTake(&quarantine, {{long_name, "t", 0, false}, {"r", "", 0, false}, {"r", "t", -1, false}}, UsPerSecond));
    }

    void BytesThatAreNoNewsAreRefused()
    {
        CHECK_PROPERTY(
            "cut or changed bytes give an error",
            []()
            {
                Dice dice;
                std::string bytes = EncodeTargetEnds({7, {{"key", "t1@5", 9, true}, {"key", "t2", 3, false}}});
                if (dice.OneIn(2))
                {
                    RC_ASSERT(!DecodeTargetEnds(bytes.substr(0, static_cast<size_t>(dice.Between(0, static_cast<int64_t>(bytes.size()))))));
                    return;
                }
                bytes[static_cast<size_t>(dice.Between(0, static_cast<int64_t>(bytes.size())))] = static_cast<char>(dice.Between(0, 256));
                const Result<TargetEndsMessage> read = DecodeTargetEnds(bytes);
                RC_ASSERT(!read);
                RC_ASSERT(read.error().Code == Code_MessageMalformed);
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

} // namespace Winchlink
