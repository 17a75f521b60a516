// division_test.cpp: which requests cross to another data centre, and properties that hold whatever is told.

#include "check.h"

namespace Winchlink
{

namespace
{

constexpr uint16_t Home = 1;
constexpr uint16_t Other = 2;
constexpr uint16_t Third = 3;
constexpr TimeUs Start = UsPerSecond;
constexpr SharedRoom HomeRoom = {36, 10, 0};
constexpr DivisionRequest Tight = {94.0 * UsPerMs, 2.0 * KiB, 300 * UsPerMs};
constexpr DivisionRequest Slack = {73.0 * UsPerMs, 90.0 * KiB, 800 * UsPerMs};

// A division whose own data centre has no room.
Division Short()
{
    Division division;
    for (int n = 0; n < 10; n++)
    {
        DivisionProbed(&division, false, Start);
    }
    return division;
}

// As many targets of each other data centre as the tests tell of.
const TargetPool& KnownTargets()
{
    static const TargetPool pool = []()
    {
        constexpr int each = 100;
        TargetPool made;
        for (int n = 0; n < 2 * each; n++)
        {
            made.Targets.emplace_back();
            made.Targets.back().DataCentre = n < each ? Other : Third;
        }
        return made;
    }();
    return pool;
}

const std::string Asked = "10.0.0.2:80"; // An instance of another data centre.

void Hear(Division* division, const std::string& from, uint16_t data_centre, const SharedRoom& room, TimeUs now)
{
    DivisionHeard(division, KnownTargets(), from, {LoadMessage_Answer, 0, data_centre, room, {}}, Home, now);
}

// An instance of another data centre is asked, and answers at once.
void Tell(Division* division, uint16_t data_centre, const SharedRoom& room, TimeUs now)
{
    DivisionAsked(division, data_centre, Asked, now);
    Hear(division, Asked, data_centre, room, now);
}

// What instances of the own data centre tell, each once.
void HearHome(Division* division, int instances, const SharedRoom& room, TimeUs now)
{
    for (int n = 0; n < instances; n++)
    {
        Hear(division, "10.0.1." + std::to_string(n) + ":80", Home, room, now);
    }
}

int CountCrossing(Division* division, const SharedRoom& own, const DivisionRequest& request, TimeUs now)
{
    constexpr int tries = 1000;
    Random random(7);
    int crossed = 0;
    for (int n = 0; n < tries; n++)
    {
        for (auto& entry : division->Rooms)
        {
            entry.second.Sent = 0;
        }
        crossed += DivisionPick(division, own, request, now, &random) ? 1 : 0;
    }
    return crossed;
}

Peers PeersOf(const std::vector<uint16_t>& data_centres)
{
    Peers peers;
    peers.DataCentre = Home;
    for (const uint16_t data_centre : data_centres)
    {
        peers.Known["10.0.0." + std::to_string(data_centre) + ":80"].DataCentre = data_centre;
    }
    return peers;
}

SharedRoom RandomRoom(TestRandom* random)
{
    const auto figure = [random]()
    {
        return static_cast<int>(random->OneIn(3) ? random->Between(INT32_MIN, INT32_MAX) : random->Between(-2, 120));
    };
    return {figure(), figure(), figure()};
}

} // namespace

class DivisionTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(DivisionTest);
    CPPUNIT_TEST(CrossesToRoomOnlyWhenShort);
    CPPUNIT_TEST(LittleKnowledgeIsNotShort);
    CPPUNIT_TEST(StaleNewsAreNotUsed);
    CPPUNIT_TEST(EquallyFullDataCentresDontExchange);
    CPPUNIT_TEST(DrawsInProportionToRoom);
    CPPUNIT_TEST(SendsNoMoreThanTheRoom);
    CPPUNIT_TEST(LargeAnswersWithSlackStay);
    CPPUNIT_TEST(AllCrossWithoutTargetsAtHome);
    CPPUNIT_TEST(DoesntCrossWhereTheAnswerWouldBeLate);
    CPPUNIT_TEST(ShortnessHasHysteresis);
    CPPUNIT_TEST(AsksEachDataCentreOncePerInterval);
    CPPUNIT_TEST(SumsUpWhatOthersOfTheDataCentreTell);
    CPPUNIT_TEST(WhoTellsOftenCountsOnce);
    CPPUNIT_TEST(OneThatLiesSwaysNobody);
    CPPUNIT_TEST(WhatWasToldFades);
    CPPUNIT_TEST(TheRoundTripIsThatOfTheInstanceAsked);
    CPPUNIT_TEST(AnAskWithoutAnswerIsNoRoundTrip);
    CPPUNIT_TEST(OnlyInstancesThatWereAskedTellOfOtherDataCentres);
    CPPUNIT_TEST(AClaimOfMoreTargetsThanAreKnown);
    CPPUNIT_TEST(HoldsWhateverIsTold);
    CPPUNIT_TEST(ChoosesWithinADataCentre);
    CPPUNIT_TEST_SUITE_END();

    void CrossesToRoomOnlyWhenShort()
    {
        Division division = Short();
        CPPUNIT_ASSERT_EQUAL(0, CountCrossing(&division, HomeRoom, Tight, Start));
        Tell(&division, Other, {59, 20, 10}, Start);
        CPPUNIT_ASSERT(DivisionMayCross(division, HomeRoom, Start));
        CPPUNIT_ASSERT_EQUAL(1000, CountCrossing(&division, HomeRoom, Tight, Start));
        Division enough;
        for (int n = 0; n < 10; n++)
        {
            DivisionProbed(&enough, true, Start);
        }
        Tell(&enough, Other, {59, 20, 10}, Start);
        CPPUNIT_ASSERT_EQUAL(0, CountCrossing(&enough, HomeRoom, Tight, Start));
    }

    void LittleKnowledgeIsNotShort()
    {
        Division division;
        for (int n = 0; n + 1 < division.Config.KnownMin; n++)
        {
            DivisionProbed(&division, false, Start);
        }
        CPPUNIT_ASSERT(!division.Active);
        DivisionProbed(&division, false, Start);
        CPPUNIT_ASSERT(division.Active);
    }

    void StaleNewsAreNotUsed()
    {
        Division division = Short();
        Tell(&division, Other, {59, 20, 10}, Start);
        const TimeUs stale = Start + division.Config.RoomMaxAgeUs;
        CPPUNIT_ASSERT_EQUAL(1000, CountCrossing(&division, HomeRoom, Tight, stale - 1));
        CPPUNIT_ASSERT_EQUAL(0, CountCrossing(&division, HomeRoom, Tight, stale));
        CPPUNIT_ASSERT(division.Rooms.empty());
    }

    void EquallyFullDataCentresDontExchange()
    {
        Division division = Short();
        for (int n = 0; n < 10; n++)
        {
            DivisionProbed(&division, n % 2 == 0, Start);
        }
        Tell(&division, Other, {59, 100, 25}, Start); // A quarter, as at home.
        CPPUNIT_ASSERT_EQUAL(0, CountCrossing(&division, HomeRoom, Tight, Start));
        Tell(&division, Other, {59, 100, 31}, Start);
        const int some = CountCrossing(&division, HomeRoom, Tight, Start);
        CPPUNIT_ASSERT(some > 0 && some < 1000);
    }

    void DrawsInProportionToRoom()
    {
        Division division = Short();
        Tell(&division, Other, {30, 98, 50}, Start);
        Tell(&division, Third, {90, 98, 50}, Start);
        Random random(7);
        int third = 0;
        for (int n = 0; n < 1000; n++)
        {
            division.Rooms[Other].Sent = 0;
            division.Rooms[Third].Sent = 0;
            third += DivisionPick(&division, HomeRoom, Tight, Start, &random) == Third ? 1 : 0;
        }
        CPPUNIT_ASSERT(third > 700 && third < 800);
    }

    void SendsNoMoreThanTheRoom()
    {
        Division division = Short();
        Tell(&division, Other, {10, 8, 3}, Start); // Three of ten, the prior included.
        Random random(7);
        int crossed = 0;
        for (int n = 0; n < 100; n++)
        {
            crossed += DivisionPick(&division, HomeRoom, Tight, Start, &random) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(3, crossed);
    }

    void LargeAnswersWithSlackStay()
    {
        Division division = Short();
        Tell(&division, Other, {59, 20, 10}, Start);
        CPPUNIT_ASSERT_EQUAL(0, CountCrossing(&division, HomeRoom, Slack, Start));
        CPPUNIT_ASSERT_EQUAL(uint64_t(1000), division.KeptForSlack);
        DivisionRequest late = Slack;
        late.LeftUs = 100 * UsPerMs;
        CPPUNIT_ASSERT_EQUAL(1000, CountCrossing(&division, HomeRoom, late, Start));
        CPPUNIT_ASSERT_EQUAL(1000, CountCrossing(&division, HomeRoom, DivisionRequest(), Start)); // Nothing is known of its kind.
    }

    void AllCrossWithoutTargetsAtHome()
    {
        Division division;
        const SharedRoom none;
        Tell(&division, Other, {59, 20, 1}, Start);
        CPPUNIT_ASSERT_EQUAL(1000, CountCrossing(&division, none, Slack, Start));
        CPPUNIT_ASSERT_EQUAL(0, CountCrossing(&division, HomeRoom, Slack, Start));
    }

    void DoesntCrossWhereTheAnswerWouldBeLate()
    {
        for (const TimeUs round_trip : {98 * UsPerMs, 99 * UsPerMs})
        {
            Division division = Short();
            DivisionAsked(&division, Other, Asked, Start);
            DivisionAsked(&division, Other, "10.0.0.3:80", Start + round_trip / 2);
            const TimeUs now = Start + round_trip;
            Hear(&division, Asked, Other, {59, 20, 10}, now);
            const bool in_time = 1.1 * Tight.WorkUs + 2.0 * static_cast<double>(round_trip) <= static_cast<double>(Tight.LeftUs);
            CPPUNIT_ASSERT_EQUAL(in_time ? 1000 : 0, CountCrossing(&division, HomeRoom, Tight, now));
            CPPUNIT_ASSERT_EQUAL(1000, CountCrossing(&division, SharedRoom(), Tight, now));
        }
    }

    void ShortnessHasHysteresis()
    {
        Division division;
        HearHome(&division, 1, {36, 100, 79}, Start);
        CPPUNIT_ASSERT(division.Active);
        CPPUNIT_ASSERT_EQUAL(Start, division.ChangedUs);
        const TimeUs later = Start + 10 * UsPerSecond; // The average is that of what is told then.
        HearHome(&division, 1, {36, 100, 85}, later);
        CPPUNIT_ASSERT(division.Active);
        HearHome(&division, 1, {36, 100, 95}, later + 10 * UsPerSecond);
        CPPUNIT_ASSERT(!division.Active);
        HearHome(&division, 1, {36, 100, 85}, later + 20 * UsPerSecond);
        CPPUNIT_ASSERT(!division.Active);
    }

    void AsksEachDataCentreOncePerInterval()
    {
        Division division;
        const Peers peers = PeersOf({Home, Other, Third});
        CPPUNIT_ASSERT(DivisionAsks(&division, HomeRoom, peers, Start).empty());
        division = Short();
        CPPUNIT_ASSERT((DivisionAsks(&division, HomeRoom, peers, Start) == std::vector<uint16_t>{Other, Third}));
        CPPUNIT_ASSERT(DivisionAsks(&division, HomeRoom, peers, Start + 1).empty());
        CPPUNIT_ASSERT_EQUAL(size_t(2), DivisionAsks(&division, HomeRoom, peers, Start + division.Config.AskIntervalUs).size());
        Division evacuated;
        CPPUNIT_ASSERT_EQUAL(size_t(2), DivisionAsks(&evacuated, SharedRoom(), peers, Start).size());
    }

    // An instance tells its neighbours only its own probes: what goes round would count again and again.
    void SumsUpWhatOthersOfTheDataCentreTell()
    {
        Division division = Short();
        HearHome(&division, 1, {36, 30, 20}, Start);
        const SharedRoom near = DivisionTell(division, HomeRoom, true, Start);
        const SharedRoom far = DivisionTell(division, HomeRoom, false, Start);
        CPPUNIT_ASSERT(near.Known == 10 && near.Free == 0 && near.Targets == 36);
        CPPUNIT_ASSERT(far.Known == 40 && far.Free == 20 && far.Targets == 36);
        const SharedRoom old = DivisionTell(division, HomeRoom, false, Start + 10 * UsPerSecond);
        CPPUNIT_ASSERT(old.Known == 0 && old.Free == 0);
    }

    // Guards against a data centre that follows one of its instances because that one tells more often.
    void WhoTellsOftenCountsOnce()
    {
        Division division;
        for (int n = 0; n < 10; n++)
        {
            HearHome(&division, 1, {36, 10, 10}, Start);
        }
        Hear(&division, "10.0.2.1:80", Home, {36, 10, 0}, Start);
        const SharedRoom told = DivisionTell(division, HomeRoom, false, Start);
        CPPUNIT_ASSERT(told.Known == 20 && told.Free == 10);
        CPPUNIT_ASSERT(division.Active);
        HearHome(&division, 1, {36, 4, 1}, Start); // The last one replaces what it told before.
        const SharedRoom last = DivisionTell(division, HomeRoom, false, Start);
        CPPUNIT_ASSERT(last.Known == 14 && last.Free == 1);
    }

    // Guards against one instance that keeps all others from sending requests elsewhere, or makes them do so, by what it tells.
    void OneThatLiesSwaysNobody()
    {
        for (const int free : {0, 8})
        {
            Division division;
            const int told_max = static_cast<int>(division.Config.ToldMax);
            const SharedRoom lie = {36, told_max, free == 0 ? told_max : 0};
            Hear(&division, "10.0.2.1:80", Home, lie, Start);
            HearHome(&division, static_cast<int>(division.Config.TellersForEnds) - 1, {36, 8, free}, Start);
            CPPUNIT_ASSERT_EQUAL(free == 0, division.Active);
            Hear(&division, "10.0.2.2:80", Home, {36, 1, free == 0 ? 1 : 0}, Start); // A little of the same, and true.
            CPPUNIT_ASSERT_EQUAL(free == 0, division.Active);
        }
    }

    void WhatWasToldFades()
    {
        Division division;
        HearHome(&division, 1000, {36, 8, 0}, Start);
        CPPUNIT_ASSERT_EQUAL(division.Config.TellersMax, division.Tellers.size());
        const TimeUs later = Start + 10 * division.Config.AverageUs;
        DivisionProbed(&division, true, later);
        CPPUNIT_ASSERT(division.Tellers.empty());
        const SharedRoom told = DivisionTell(division, HomeRoom, false, later);
        CPPUNIT_ASSERT(told.Known == 1 && told.Free == 1);
    }

    // Guards against a way that seems short because another instance answers an earlier ask.
    void TheRoundTripIsThatOfTheInstanceAsked()
    {
        Division division = Short();
        const TimeUs round_trip = 100 * UsPerMs;
        for (int n = 0; n < 30; n++)
        {
            const TimeUs at = Start + 10 * UsPerMs * n;
            DivisionAsked(&division, Other, "10.0.0." + std::to_string(n) + ":80", at);
            if (n >= 10)
            {
                Hear(&division, "10.0.0." + std::to_string(n - 10) + ":80", Other, {59, 20, 10}, at);
                CPPUNIT_ASSERT_EQUAL(round_trip, division.Rooms[Other].RoundTripUs);
            }
        }
        Division other = Short();
        DivisionAsked(&other, Other, "10.0.0.9:80", Start); // Never answers.
        DivisionAsked(&other, Other, Asked, Start + 10 * UsPerMs);
        Hear(&other, Asked, Other, {59, 20, 10}, Start + 10 * UsPerMs + round_trip);
        CPPUNIT_ASSERT_EQUAL(round_trip, other.Rooms[Other].RoundTripUs);
    }

    // Guards against a way that seems long for ever because an instance is down, paused, or the only one there and lost an ask.
    void AnAskWithoutAnswerIsNoRoundTrip()
    {
        Division division = Short();
        const TimeUs round_trip = 20 * UsPerMs;
        TimeUs now = Start;
        const auto ask = [&](const std::string& address, bool answers)
        {
            now += 2 * round_trip;
            DivisionAsked(&division, Other, address, now);
            if (answers)
            {
                Hear(&division, address, Other, {59, 20, 10}, now + round_trip);
            }
        };
        ask(Asked, true);
        for (int n = 0; n < 20; n++)
        {
            ask("10.0.0.9:80", false);
            ask(Asked, n % 3 != 0);
            CPPUNIT_ASSERT_EQUAL(round_trip, division.Rooms[Other].RoundTripUs);
        }
        // One that was paused answers late.
        DivisionAsked(&division, Other, "10.0.0.8:80", now);
        now += 6 * round_trip;
        Hear(&division, "10.0.0.8:80", Other, {59, 20, 10}, now);
        CPPUNIT_ASSERT(division.Rooms[Other].RoundTripUs > round_trip);
        for (int n = 0; n < 10; n++)
        {
            ask(Asked, true);
        }
        CPPUNIT_ASSERT(division.Rooms[Other].RoundTripUs < round_trip + UsPerMs);
    }

    // Guards against data centres that don't exist: they would take the places of others and draw requests.
    void OnlyInstancesThatWereAskedTellOfOtherDataCentres()
    {
        Division division = Short();
        const Peers peers = PeersOf({Other});
        CPPUNIT_ASSERT((DivisionAsks(&division, HomeRoom, peers, Start) == std::vector<uint16_t>{Other}));
        DivisionAsked(&division, Other, Asked, Start);
        for (uint16_t invented = Third; invented < 100; invented++)
        {
            Hear(&division, Asked, invented, {59, 20, 20}, Start);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(1), division.Rooms.size());
        Hear(&division, "10.0.0.9:80", Other, {59, 20, 20}, Start); // It was not asked.
        CPPUNIT_ASSERT_EQUAL(0, CountCrossing(&division, HomeRoom, Tight, Start));
        DivisionHeard(&division, KnownTargets(), Asked, {LoadMessage_Ask, 0, Other, {59, 20, 20}, {}}, Home, Start); // No answer.
        CPPUNIT_ASSERT_EQUAL(0, CountCrossing(&division, HomeRoom, Tight, Start));
        Hear(&division, "10.0.0.2:81", Other, {59, 20, 20}, Start); // Its port for datagrams.
        CPPUNIT_ASSERT_EQUAL(1000, CountCrossing(&division, HomeRoom, Tight, Start));
    }

    // Guards against a data centre that draws all requests that cross because one message tells of 100,000 targets.
    void AClaimOfMoreTargetsThanAreKnown()
    {
        Division division = Short();
        Tell(&division, Other, {100000, 98, 50}, Start);
        Tell(&division, Third, {100, 98, 50}, Start);
        Random random(7);
        int third = 0;
        for (int n = 0; n < 1000; n++)
        {
            division.Rooms[Other].Sent = 0;
            division.Rooms[Third].Sent = 0;
            third += DivisionPick(&division, HomeRoom, Tight, Start, &random) == Third ? 1 : 0;
        }
        CPPUNIT_ASSERT(third > 450 && third < 550);
        TargetPool fewer; // A new plan: nothing is known there.
        fewer.SyncCount = 1;
        DivisionAsked(&division, Other, Asked, Start);
        DivisionHeard(&division, fewer, Asked, {LoadMessage_Answer, 0, Other, {100000, 98, 50}, {}}, Home, Start);
        CPPUNIT_ASSERT_EQUAL(0, division.Rooms[Other].Room.Targets);
    }

    void HoldsWhateverIsTold()
    {
        CHECK_PROPERTY("Division holds whatever is told",
                       []()
                       {
                           TestRandom random;
                           Division division;
                           TimeUs now = Start;
                           uint64_t picks = 0;
                           for (int n = 0; n < 300; n++)
                           {
                               now += random.Between(0, 20 * UsPerMs);
                               const auto data_centre = static_cast<uint16_t>(random.Between(0, 40));
                               const std::string from = "10.0.0." + std::to_string(random.Between(0, 100)) + ":80";
                               if (random.OneIn(2))
                               {
                                   DivisionAsked(&division, data_centre, from, now - random.Between(0, UsPerSecond));
                               }
                               Hear(&division, from, data_centre, RandomRoom(&random), now);
                               DivisionProbed(&division, random.OneIn(2), now);
                               const SharedRoom own = RandomRoom(&random);
                               const Peers peers = PeersOf({static_cast<uint16_t>(random.Between(0, 60))});
                               DivisionAsks(&division, own, peers, now);
                               const DivisionRequest request = {static_cast<double>(random.Between(-1, 100000)),
                                                                static_cast<double>(random.Between(-1, 100000)),
                                                                random.Between(-UsPerSecond, UsPerSecond)};
                               const auto picked = DivisionPick(&division, own, request, now, &random.Rng);
                               picks++;
                               RC_ASSERT(!picked || (*picked != Home && division.Rooms.count(*picked) > 0));
                               RC_ASSERT(division.Crossed + division.KeptForRoom + division.KeptForSlack == picks);
                               RC_ASSERT(division.Rooms.size() <= division.Config.DataCentresMax);
                               RC_ASSERT(division.Tellers.size() <= division.Config.TellersMax);
                               RC_ASSERT(division.Home.Known >= 0 && division.Home.Free >= -1e-9);
                               for (const auto& room : division.Rooms)
                               {
                                   RC_ASSERT(room.second.Room.Free >= 0 && room.second.Room.Free <= room.second.Room.Known);
                                   RC_ASSERT(room.second.Sent <= room.second.Room.Targets);
                                   RC_ASSERT(room.second.Room.Targets <= 100); // As many as are known.
                                   RC_ASSERT(room.second.Asks.size() <= division.Config.AsksMax);
                                   RC_ASSERT(room.second.RoundTripUs >= 0 && room.second.RoundTripUs <= division.Config.AskMaxAgeUs);
                               }
                               for (const bool near : {false, true})
                               {
                                   const SharedRoom told = DivisionTell(division, HomeRoom, near, now);
                                   RC_ASSERT(told.Free >= 0 && told.Free <= told.Known && told.Known <= division.Config.ToldMax);
                               }
                           }
                       });
    }

    void ChoosesWithinADataCentre()
    {
        std::vector<DirectoryTarget> listed(3);
        TargetList all;
        for (size_t n = 0; n < listed.size(); n++)
        {
            listed[n].Id = "t" + std::to_string(n);
            listed[n].DataCentre = n == 0 ? "home" : "other";
            listed[n].Slots = 2;
            all.push_back(&listed[n]);
        }
        Random random(7);
        TargetPool pool;
        pool.Config.ColdPerS = 1;
        PoolSync(&pool, all, "home", &random);
        const uint16_t other = PeerDataCentre("other");
        PoolTarget* first = PoolNextIn(&pool, other, {}, false, Start);
        CPPUNIT_ASSERT(first != nullptr && !first->Near);
        const std::string first_id = first->Id;
        PoolReport(first, {2, 0, 2, 100}, Start);
        PoolTarget* second = PoolNextIn(&pool, other, {}, false, Start);
        const std::string second_id = second != nullptr ? second->Id : "";
        CPPUNIT_ASSERT(!second_id.empty() && second_id != first_id);
        CPPUNIT_ASSERT(PoolNextIn(&pool, other, {second_id}, false, Start) == nullptr);
        PoolReport(PoolFind(&pool, second_id), {0, 0, 2, 300}, Start);
        CPPUNIT_ASSERT(PoolNextIn(&pool, other, {}, false, Start) == nullptr);
        const TimeUs later = Start + UsPerSecond;
        CPPUNIT_ASSERT(PoolNextIn(&pool, other, {}, false, later) != nullptr);
        PoolTarget* cold = PoolFind(&pool, first_id);
        CPPUNIT_ASSERT(cold != nullptr);
        PoolSetCold(pool, cold, later + UsPerSecond);
        CPPUNIT_ASSERT(PoolNextIn(&pool, other, {second_id}, false, later) == nullptr);
        const PoolTarget* near = PoolNextNear(&pool, {}, false, later);
        CPPUNIT_ASSERT(near != nullptr && near->Near);
        CPPUNIT_ASSERT(PoolNextNear(&pool, {"t0"}, false, later) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DivisionTest);

} // namespace Winchlink
