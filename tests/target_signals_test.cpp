// target_signals_test.cpp: signals in the headers of targets' answers: limit, backoff, draining.
//
// Guards against values that are read wrongly, and against signals that are missed or taken from the wrong kind of answer.

#include "gateway_rig.h"
#include "target_signals.h"

namespace Winchlink
{

static constexpr time_t Noon = 1767268800; // 2026-01-01 12:00:00 UTC.

static TargetSignals Read(int status, const std::vector<Header>& headers)
{
    return ParseTargetSignals(WireNames(), status, headers, Noon);
}

static std::optional<double> Limit(const std::string& text)
{
    return Read(200, {{"X-Winchlink-Limit", text}}).LimitPerS;
}

static std::optional<TimeUs> Backoff(const std::string& text)
{
    return Read(503, {{"Retry-After", text}}).BackoffUs;
}

class TargetSignalsTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetSignalsTest);
    CPPUNIT_TEST(ReadsLimits);
    CPPUNIT_TEST(ReadsHowLongToBackOff);
    CPPUNIT_TEST(OnlyRefusalsAskToBackOff);
    CPPUNIT_TEST(ReadsDraining);
    CPPUNIT_TEST(AnyValueIsReadOrIgnored);
    CPPUNIT_TEST(SignalsCountInAnswersOfAnyKind);
    CPPUNIT_TEST(SignalsOfAnotherTargetDoNotCount);
    CPPUNIT_TEST(TrailersAndInterimAnswersAreIgnored);
    CPPUNIT_TEST(ADrainingTargetGetsNothingMore);
    CPPUNIT_TEST(AHealthAnswerMayAnnounceDraining);
    CPPUNIT_TEST(AnotherIncarnationDoesNotDrain);
    CPPUNIT_TEST(ADrainingTargetHasNotCrashed);
    CPPUNIT_TEST(AnUnhealthyTargetMayReportThatItIsCold);
    CPPUNIT_TEST_SUITE_END();

    void ReadsLimits()
    {
        CPPUNIT_ASSERT_EQUAL(2.0, Limit("2").value());
        CPPUNIT_ASSERT_EQUAL(2.25, Limit("2.25").value());
        CPPUNIT_ASSERT_EQUAL(0.0, Limit("0").value());
        for (const char* wrong : {"", "-2", "two", "2 a second", "nan", "inf", "0x10", "2,5", "1.2.3"})
        {
            CPPUNIT_ASSERT_MESSAGE(wrong, !Limit(wrong));
        }
        CPPUNIT_ASSERT(!Read(200, {}).LimitPerS);
    }

    void ReadsHowLongToBackOff()
    {
        CPPUNIT_ASSERT_EQUAL(3 * UsPerSecond, Backoff("3").value());
        CPPUNIT_ASSERT_EQUAL(250 * UsPerMs, Backoff("0.25").value());
        CPPUNIT_ASSERT_EQUAL(TimeUs{0}, Backoff("0").value());
        CPPUNIT_ASSERT_EQUAL(5 * UsPerSecond, Backoff("Thu, 01 Jan 2026 12:00:05 GMT").value());
        CPPUNIT_ASSERT_EQUAL(TimeUs{0}, Backoff("Thu, 01 Jan 2026 11:59:00 GMT").value());
        for (const char* wrong : {"", "-3", "soon", "3 s", "Thu, 99 Foo"})
        {
            CPPUNIT_ASSERT_MESSAGE(wrong, !Backoff(wrong));
        }
        CPPUNIT_ASSERT(Backoff("999999999999").value() <= 3600 * UsPerSecond);
    }

    void OnlyRefusalsAskToBackOff()
    {
        for (const int status : {200, 301, 404, 500, 502})
        {
            CPPUNIT_ASSERT(!Read(status, {{"Retry-After", "3"}}).BackoffUs);
        }
        CPPUNIT_ASSERT(Read(429, {{"Retry-After", "3"}}).BackoffUs);
        // Relative to the Date header, if there is one.
        const std::vector<Header> dates = {{"Date", "Thu, 01 Jan 2026 09:00:00 GMT"}, {"Retry-After", "Thu, 01 Jan 2026 09:00:02 GMT"}};
        CPPUNIT_ASSERT_EQUAL(2 * UsPerSecond, Read(503, dates).BackoffUs.value());
    }

    void ReadsDraining()
    {
        CPPUNIT_ASSERT(Read(200, {{"x-winchlink-leaving", "1"}}).Draining);
        CPPUNIT_ASSERT(!Read(200, {{"X-Winchlink-Leaving", "0"}}).Draining);
        CPPUNIT_ASSERT(!Read(200, {}).Draining);
    }

    void AnyValueIsReadOrIgnored()
    {
        CHECK_PROPERTY("what is read lies in its range, whatever the bytes",
                       [](const std::string& text)
                       {
                           const std::vector<Header> headers = {{"X-Winchlink-Limit", text}, {"Retry-After", text}, {"Date", text}};
                           const TargetSignals signals = Read(503, headers);
                           RC_ASSERT(!signals.LimitPerS || *signals.LimitPerS >= 0);
                           RC_ASSERT(!signals.BackoffUs || (*signals.BackoffUs >= 0 && *signals.BackoffUs <= 3600 * UsPerSecond));
                       });
    }

    static uint64_t LimitSignals(const Gateway& instance)
    {
        return instance.Requests.Services.at("svc").Signals.Limits;
    }

    // Answers that are passed on, that cause a retry, that are cut off after their headers, or that answer a probe.
    void SignalsCountInAnswersOfAnyKind()
    {
        for (const TargetAct_ act : {TargetAct_Good, TargetAct_Failed, TargetAct_Refuse, TargetAct_RefuseUnmarked, TargetAct_CutShort,
                                     TargetAct_Unsigned, TargetAct_Encoded, TargetAct_NoLengthReset})
        {
            Rig rig;
            UsersTarget& target = RigTarget(&rig, "t");
            RigConfigure(&rig, {UsersRoute()});
            const Gateway& instance = RigInstance(&rig, 1);
            target.Script = {act};
            target.Names.Load = "";
            target.Says = {{"Server-Limit", "100"}};
            RigSendAndWait(&rig, instance, RigCall());
            const std::string text = "act " + std::to_string(act);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, uint64_t{2}, LimitSignals(instance)); // The health answer, and the answer to the request.
        }
    }

    void SignalsOfAnotherTargetDoNotCount()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t");
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, RigCall()).Answer.Status);
        target.Id = "another"; // Another target has the address now; health answers and 421 name it.
        target.Says = {{"Server-Limit", "100"}};
        RigSendAndWait(&rig, instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, LimitSignals(instance));
    }

    void TrailersAndInterimAnswersAreIgnored()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t");
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        target.Script = {TargetAct_Trailers};
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, RigCall()).Answer.Status);
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, LimitSignals(instance));
    }

    // Guards against requests to a target that announced in an answer that it drains, while its directory entry still says "ready".
    void ADrainingTargetGetsNothingMore()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t");
        RigTarget(&rig, "other", "svc", "dc-b");
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 2);
        target.Says = {{"Server-Leaving", "1"}};
        target.SendsLoad = false;
        RigSendAndWait(&rig, instance, RigCall());
        for (int n = 0; n < 30; n++)
        {
            CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, RigCall()).Answer.Status);
            UsersStoreTarget(&rig.Store, "t", "svc", target.Address, "dc-a"); // Its entry changes, but still says "ready".
        }
        CPPUNIT_ASSERT(target.Arrivals.size() <= 1);
    }

    void AHealthAnswerMayAnnounceDraining()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t");
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        target.Ill = true;
        target.Says = {{"Server-Leaving", "1"}};
        RigSendAndWait(&rig, instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(Presence_Draining), static_cast<int>(instance.Requests.Directory.Targets.at("t").Presence));
    }

    void AnotherIncarnationDoesNotDrain()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t");
        UsersStoreTarget(&rig.Store, "t", "svc", target.Address, "dc-a", false, 0, 1000);
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        target.Says = {{"Server-Leaving", "1"}};
        RigSendAndWait(&rig, instance, RigCall());
        CPPUNIT_ASSERT_EQUAL(503, RigSendAndWait(&rig, instance, RigCall()).Answer.Status);
        target.Says.clear();
        UsersStoreTarget(&rig.Store, "t", "svc", target.Address, "dc-a", false, 0, 2000);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return instance.Requests.Directory.Targets.at("t").Incarnation == 2000; }));
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, RigCall()).Answer.Status);
    }

    void AnUnhealthyTargetMayReportThatItIsCold()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t");
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        target.Ill = true;
        target.ColdMs = 5000;
        RigSendAndWait(&rig, instance, RigCall());
        CPPUNIT_ASSERT(instance.Requests.Services.at("svc").Pool.Targets.front().ColdUntilUs > 0);
    }

    // The removal of a draining target's entry is no crash.
    void ADrainingTargetHasNotCrashed()
    {
        TargetDirectory directory;
        DirectoryTarget target;
        target.Id = "t";
        target.Revision = 5;
        DirectoryPut(&directory, target, UsPerSecond);
        CPPUNIT_ASSERT(!DirectoryMarkDraining(&directory, "t", 7));
        CPPUNIT_ASSERT(DirectoryMarkDraining(&directory, "t", 0));
        CPPUNIT_ASSERT(!DirectoryMarkDraining(&directory, "t", 0));
        DirectoryRemove(&directory, "t", 6, 2 * UsPerSecond, 2 * UsPerSecond);
        CPPUNIT_ASSERT(DirectoryTakeCrashed(&directory).empty());
        CPPUNIT_ASSERT(directory.Targets.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetSignalsTest);

} // namespace Winchlink
