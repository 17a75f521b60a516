// target_path_test.cpp: what an instance believes of its path to a service's targets. Guards against a loss that is not noticed, one that
// is believed without evidence, and a path that is trusted again too soon.

#include "check.h"

namespace Winchlink
{

class TargetPathTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetPathTest);
    CPPUNIT_TEST(FailuresAtSeveralTargetsAreALoss);
    CPPUNIT_TEST(ResetsOfFullTargetsAreNoLoss);
    CPPUNIT_TEST(AnAnswerOfAnyTargetClearsFailures);
    CPPUNIT_TEST(OneTargetThatFailsIsNoLoss);
    CPPUNIT_TEST(AServiceOfOneTargetNeedsAsManyFailures);
    CPPUNIT_TEST(APathThatIsBackIsOnTrial);
    CPPUNIT_TEST(LateContactsAreALossOnceSomeAreSilent);
    CPPUNIT_TEST(ALateAnswerFromBeforeALossEndsItWithoutATrial);
    CPPUNIT_TEST(LargeAnswersOccupyTheLink);
    CPPUNIT_TEST(AnOccupiedLinkIsNoExcuseForLong);
    CPPUNIT_TEST(TrialsGrowWhileLossesRepeat);
    CPPUNIT_TEST(NothingIsKnownWithoutTargets);
    CPPUNIT_TEST(TheStateFollowsTheContacts);
    CPPUNIT_TEST(SmallAnswersDoNotExtendTheWaiting);
    CPPUNIT_TEST_SUITE_END();

    static constexpr size_t Targets = 10;

    static bool Fail(TargetPath* path, int target, TimeUs now, ContactEnd_ end = ContactEnd_Silent)
    {
        return TargetPathContact(path, std::to_string(target), end, Targets, now);
    }

    static void Lose(TargetPath* path, TimeUs now)
    {
        for (int n = 0; n < path->Config.FailedMin; n++)
        {
            Fail(path, n, now);
        }
        CPPUNIT_ASSERT_EQUAL(TargetPathState_Lost, path->State);
    }

    void FailuresAtSeveralTargetsAreALoss()
    {
        for (const ContactEnd_ end : {ContactEnd_Refused, ContactEnd_Reset, ContactEnd_Silent})
        {
            TargetPath path;
            const TimeUs now = path.Config.ResetUs;
            for (int n = 1; n < path.Config.FailedMin; n++)
            {
                CPPUNIT_ASSERT(!Fail(&path, n, now, end));
            }
            CPPUNIT_ASSERT(Fail(&path, 0, now, end));
            CPPUNIT_ASSERT_EQUAL(TargetPathState_Lost, TargetPathNow(&path, now));
        }
    }

    // Guards against a service in overload that counts as unreachable, so that its requests are handed around.
    void ResetsOfFullTargetsAreNoLoss()
    {
        TargetPath path;
        const TimeUs answered = 10 * UsPerSecond;
        Fail(&path, 0, answered, ContactEnd_Answered);
        for (int n = 0; n < 100; n++)
        {
            CPPUNIT_ASSERT(!Fail(&path, n, answered + path.Config.ResetUs - 1, ContactEnd_Reset));
        }
        CPPUNIT_ASSERT(Fail(&path, 0, answered + path.Config.ResetUs, ContactEnd_Reset));
    }

    void AnAnswerOfAnyTargetClearsFailures()
    {
        TargetPath path;
        for (int n = 0; n < 100; n++)
        {
            const ContactEnd_ end = n % path.Config.FailedMin == 0 ? ContactEnd_Answered : ContactEnd_Refused;
            CPPUNIT_ASSERT(!Fail(&path, n, n + 1, end));
        }
    }

    void OneTargetThatFailsIsNoLoss()
    {
        TargetPath path;
        for (int n = 0; n < 100; n++)
        {
            CPPUNIT_ASSERT(!Fail(&path, 0, n + 1, ContactEnd_Reset));
        }
    }

    void AServiceOfOneTargetNeedsAsManyFailures()
    {
        TargetPath path;
        for (int n = 1; n < path.Config.FailedMin; n++)
        {
            CPPUNIT_ASSERT(!TargetPathContact(&path, "only", ContactEnd_Silent, 1, 1));
        }
        CPPUNIT_ASSERT(TargetPathContact(&path, "only", ContactEnd_Silent, 1, 1));
    }

    void APathThatIsBackIsOnTrial()
    {
        TargetPath path;
        Lose(&path, 1);
        CPPUNIT_ASSERT(Fail(&path, 3, 10, ContactEnd_Answered));
        CPPUNIT_ASSERT_EQUAL(TargetPathState_Trial, TargetPathNow(&path, 10 + path.Config.TrialUs - 1));
        CPPUNIT_ASSERT_EQUAL(TargetPathState_Open, TargetPathNow(&path, 10 + path.Config.TrialUs));
    }

    // Guards against targets that are slow at once and are taken for a lost path.
    void LateContactsAreALossOnceSomeAreSilent()
    {
        TargetPath path;
        for (int n = 0; n < 100; n++)
        {
            CPPUNIT_ASSERT(!TargetPathLate(&path, std::to_string(n), 1, Targets, 2));
        }
        for (int n = 1; n < path.Config.SilentMin; n++)
        {
            CPPUNIT_ASSERT(!TargetPathLateEnded(&path, std::to_string(n), ContactEnd_Silent, 1, Targets, 3));
        }
        CPPUNIT_ASSERT(TargetPathLateEnded(&path, "0", ContactEnd_Silent, 1, Targets, 3));
        CPPUNIT_ASSERT_EQUAL(TargetPathState_Lost, path.State);
    }

    // Guards against requests that are handed on for a trial period although the path was there all the time.
    void ALateAnswerFromBeforeALossEndsItWithoutATrial()
    {
        TargetPath path;
        TargetPathLate(&path, "late", 1, Targets, 2);
        Lose(&path, 3);
        CPPUNIT_ASSERT(TargetPathLateEnded(&path, "late", ContactEnd_Answered, 1, Targets, 4));
        CPPUNIT_ASSERT_EQUAL(TargetPathState_Open, path.State);
        CPPUNIT_ASSERT_EQUAL(TimeUs{4}, path.AnsweredUs);
        CPPUNIT_ASSERT_EQUAL(0, FailedContacts(path.Counts));
        Lose(&path, 5);
        TargetPathLate(&path, "late", 6, Targets, 7);
        CPPUNIT_ASSERT(TargetPathLateEnded(&path, "late", ContactEnd_Answered, 6, Targets, 8));
        CPPUNIT_ASSERT_EQUAL(TargetPathState_Trial, path.State);
    }

    void LargeAnswersOccupyTheLink()
    {
        constexpr TimeUs now = 5 * UsPerSecond;
        OwnLink unknown;
        OwnLinkSent(&unknown, MiB, now);
        OwnLinkReceived(&unknown, MiB);
        CPPUNIT_ASSERT_EQUAL(TimeUs{0}, OwnLinkExtraUs(unknown, 0, now + UsPerSecond));
        OwnLink link;
        link.BytesPerS = 1e6;
        OwnLinkSent(&link, 50000, now);
        OwnLinkSent(&link, 50000, now); // Waits behind the first.
        CPPUNIT_ASSERT_EQUAL(TimeUs{0}, OwnLinkExtraUs(link, 0, now));
        CPPUNIT_ASSERT_EQUAL(30 * UsPerMs, OwnLinkExtraUs(link, 0, now + 30 * UsPerMs));
        const TimeUs occupied = OwnLinkOccupiedUs(link, now + 90 * UsPerMs);
        CPPUNIT_ASSERT_EQUAL(10 * UsPerMs, OwnLinkExtraUs(link, occupied, now + 200 * UsPerMs));
        OwnLinkReceived(&link, 20000);
        CPPUNIT_ASSERT_EQUAL(30 * UsPerMs, OwnLinkExtraUs(link, occupied, now + 200 * UsPerMs));
    }

    // Guards against a cut that is not seen while other answers keep the link occupied.
    void AnOccupiedLinkIsNoExcuseForLong()
    {
        OwnLink link;
        link.BytesPerS = 1e6;
        OwnLinkSent(&link, 100 * MiB, 0);
        CPPUNIT_ASSERT_EQUAL(link.ExtraMaxUs, OwnLinkExtraUs(link, 0, 60 * UsPerSecond));
        const TimeUs later = 60 * UsPerSecond; // No backlog is left of what can't have been on the link.
        CPPUNIT_ASSERT_EQUAL(TimeUs{0}, OwnLinkExtraUs(link, OwnLinkOccupiedUs(link, later), later + UsPerSecond));
    }

    // Guards against cuts that stay hidden while other services are busy.
    void SmallAnswersDoNotExtendTheWaiting()
    {
        OwnLink link;
        link.BytesPerS = 1.25e8;
        constexpr size_t answer = 500;
        constexpr TimeUs gap = 200;
        const TimeUs occupied = OwnLinkOccupiedUs(link, 0);
        TimeUs granted = 0;
        TimeUs now = 0;
        TimeUs until = 55 * UsPerMs;
        for (;;)
        {
            for (; now < until; now += gap)
            {
                OwnLinkSent(&link, answer, now);
            }
            const TimeUs more = OwnLinkMoreUs(link, occupied, granted, now);
            if (more == 0)
            {
                break;
            }
            granted += more;
            until += more;
        }
        CPPUNIT_ASSERT(now < 60 * UsPerMs);
    }

    void TrialsGrowWhileLossesRepeat()
    {
        TargetPath path;
        TimeUs now = 1;
        for (int n = 0; n < 10; n++)
        {
            Lose(&path, now);
            Fail(&path, 0, now, ContactEnd_Answered);
            CPPUNIT_ASSERT_EQUAL(std::min(path.Config.TrialUs << n, path.Config.TrialMaxUs), path.TrialUs);
            now += path.TrialUs;
        }
        now += path.Config.CalmUs;
        Lose(&path, now);
        Fail(&path, 0, now, ContactEnd_Answered);
        CPPUNIT_ASSERT_EQUAL(path.Config.TrialUs, path.TrialUs);
    }

    // Random contacts, against a plain count of the failures in a row and of their targets.
    // Guards against an instance that tells others that it has no path to a service that has left.
    void NothingIsKnownWithoutTargets()
    {
        TargetPath path;
        Lose(&path, UsPerSecond);
        TargetPathForget(&path, 2 * UsPerSecond);
        CPPUNIT_ASSERT_EQUAL(TargetPathState_Open, path.State);
        CPPUNIT_ASSERT_EQUAL(0, FailedContacts(path.Counts));
        CPPUNIT_ASSERT(!Fail(&path, 0, 2 * UsPerSecond));
    }

    void TheStateFollowsTheContacts()
    {
        CHECK_PROPERTY("lost after enough failures at enough targets without an answer, and only then",
                       []()
                       {
                           TestRandom dice;
                           TargetPath path;
                           std::set<int64_t> failed;
                           int failures = 0;
                           TimeUs now = 1;
                           bool lost = false;
                           const int64_t targets = dice.Between(1, 8);
                           for (int n = 0; n < 60; n++)
                           {
                               now += dice.Between(0, 100 * UsPerMs);
                               const int64_t target = dice.Between(0, targets);
                               const bool answered = dice.OneIn(6);
                               TargetPathContact(&path, std::to_string(target), answered ? ContactEnd_Answered : ContactEnd_Refused,
                                                 static_cast<size_t>(targets), now);
                               failures = answered ? 0 : failures + 1;
                               answered ? failed.clear() : static_cast<void>(failed.insert(target));
                               const auto enough =
                                   std::min<size_t>(static_cast<size_t>(path.Config.FailedMin), static_cast<size_t>(targets));
                               lost = !answered && (lost || (failures >= path.Config.FailedMin && failed.size() >= enough));
                               RC_ASSERT((TargetPathNow(&path, now) == TargetPathState_Lost) == lost);
                           }
                       });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPathTest);

} // namespace Winchlink
