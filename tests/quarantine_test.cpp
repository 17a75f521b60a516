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
#include "gateway_rig.h"

#include <fmt/format.h>

namespace Winchlink
{

static const char* const EndingPath = "/a/ends";

// Instances that know each other, and targets that a request of EndingPath ends.
struct QuarantineFleet
{
    Rig Parts;
    std::vector<std::string> Contacts;
    std::vector<Gateway*> Instances;
    int Targets = 0;

    QuarantineFleet(int instances, int targets)
    {
        UsersRoute route;
        route.Attempts = 1; // So that one try ends one target at the most.
        Contacts = {FreeAddress(), FreeAddress()};
        for (int n = 0; n < targets; n++)
        {
            AddTarget();
        }
        RigConfigure(&Parts, {route});
        for (int n = 0; n < instances; n++)
        {
            AddInstance();
        }
    }

    UsersTarget& AddTarget()
    {
        UsersTarget& target = RigTarget(&Parts, fmt::format("t{}", ++Targets));
        target.EndsOn = EndingPath;
        return target;
    }

    Gateway& AddInstance()
    {
        Settings settings = RigSettings(Parts);
        const size_t index = Instances.size();
        settings.Peers = Contacts;
        settings.PeerAddress = index < Contacts.size() ? Contacts[index] : FreeAddress();
        Instances.push_back(&RigStartWith(&Parts, settings));
        RigAwait(&Parts, *Instances.back(), static_cast<size_t>(Targets));
        return *Instances.back();
    }

    int Ended() const
    {
        int ended = 0;
        for (const auto& target : Parts.Targets)
        {
            ended += target->Listening < 0 ? 1 : 0;
        }
        return ended;
    }

    RigAnswer AskEnding(const Gateway& instance, const std::string& method = "GET")
    {
        RigCall call;
        call.Method = method;
        call.Target = EndingPath;
        return RigAsk(&Parts, instance, call);
    }
};

static constexpr TimeUs SpreadUs = 500 * UsPerMs; // Every instance that hears anybody knows by then what one of them has seen.

class QuarantineTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineTest);
    CPPUNIT_TEST(ARequestThatEndsTargetsIsSentNoMore);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

} // namespace Winchlink
