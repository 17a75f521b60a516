// share_test.cpp: load reports that instances share: what is taken, what is told, and that nothing told makes a target usable.
//
// Guards against reports that are wrong, old or of another incarnation, against slots that are offered twice, and against memory and time
// that grow with what others send.

#include "check.h"

namespace Winchlink
{

namespace
{

constexpr TimeUs Start = 100 * UsPerSecond;
const std::string Service = "svc";

std::vector<DirectoryTarget> ListTargets(int count, int slots)
{
    std::vector<DirectoryTarget> listed(static_cast<size_t>(count));
    for (int n = 0; n < count; n++)
    {
        listed[static_cast<size_t>(n)].Id = "t" + std::to_string(n);
        listed[static_cast<size_t>(n)].Service = Service;
        listed[static_cast<size_t>(n)].DataCentre = n % 3 == 2 ? "far" : "near";
        listed[static_cast<size_t>(n)].Slots = slots;
    }
    return listed;
}

void Sync(TargetPool* pool, const std::vector<DirectoryTarget>& listed, Random* random)
{
    TargetList list;
    for (const DirectoryTarget& target : listed)
    {
        list.push_back(&target);
    }
    PoolSync(pool, list, "near", random);
}

uint32_t SharedIdOf(const std::string& id)
{
    return SharedTargetId(TargetIncarnationId(id, 0));
}

// What decides about the use of a target.
using Usability = std::tuple<bool, bool, bool, bool, double>;

std::vector<Usability> UsabilityOf(const TargetPool& pool, TimeUs now)
{
    std::vector<Usability> all;
    for (const PoolTarget& target : pool.Targets)
    {
        all.emplace_back(PoolMayUse(target, now), PoolHasFreeSlot(pool, target), PoolMaySendCold(pool, target, now),
                         PoolIsAcceptable(pool, target, now), PoolCost(pool, target, now));
    }
    return all;
}

// Any report, also such as no target sends.
LoadReport DrawReport(TestRandom* dice)
{
    const auto figure = [dice]()
    {
        return static_cast<int>(dice->OneIn(8) ? dice->Between(INT32_MIN, INT32_MAX) : dice->Between(-1, 6));
    };
    return {figure(), figure(), figure(), static_cast<int>(100U * static_cast<unsigned>(figure()))}; // May wrap around.
}

// Targets in all the states in which they may not be used.
void DrawStates(TargetPool* pool, TestRandom* dice)
{
    for (PoolTarget& entry : pool->Targets)
    {
        PoolTarget* target = PoolFind(pool, entry.Id);
        target->EntryMissing = dice->OneIn(6);
        target->ColdUntilUs = dice->OneIn(6) ? Start + UsPerSecond : 0;
        target->AvoidUntilUs = dice->OneIn(6) ? Start + UsPerSecond : 0;
        if (dice->OneIn(6))
        {
            PoolBackOff(pool, target->Id, 0, Start + UsPerSecond, Start);
        }
        if (dice->OneIn(2))
        {
            const TimeUs age = dice->Between(0, 100 * UsPerMs);
            PoolReport(target, {static_cast<int>(dice->Between(0, 4)), 0, 3, 100}, Start - age);
        }
    }
}

LoadMessage DrawMessage(TestRandom* dice, int targets)
{
    LoadMessage message;
    message.Kind = static_cast<LoadMessage_>(dice->Between(0, LoadMessage_COUNT));
    message.Service = SharedServiceId(Service);
    message.DataCentre = PeerDataCentre(dice->OneIn(3) ? "far" : "near");
    const int64_t reports = dice->Between(0, 40);
    for (int64_t n = 0; n < reports; n++)
    {
        const std::string id = "t" + std::to_string(dice->Between(0, targets + 2));
        const TimeUs age = dice->OneIn(8) ? dice->Between(-UsPerSecond, UsPerSecond) : dice->Between(0, 20 * UsPerMs);
        message.Reports.push_back({SharedIdOf(id), DrawReport(dice), age});
    }
    return message;
}

} // namespace

class ShareTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(ShareTest);
    CPPUNIT_TEST(WhateverIsToldNoTargetBecomesUsable);
    CPPUNIT_TEST(MemoryIsBounded);
    CPPUNIT_TEST(ASlotIsOfferedOnce);
    CPPUNIT_TEST(OnlyNewerReportsAreTaken);
    CPPUNIT_TEST(WrongReportsAreIgnoredAndCounted);
    CPPUNIT_TEST(OwnRequestsCountBesidesAReportOfOthers);
    CPPUNIT_TEST(AReportOfAnotherIncarnationIsIgnored);
    CPPUNIT_TEST(ToldSlotsComeFirstAndFullTargetsLast);
    CPPUNIT_TEST(TheSearchEndsEarlierWhenFewTargetsAreGood);
    CPPUNIT_TEST(NothingChangesUnlessReportsAreShared);
    CPPUNIT_TEST(AnAskIsAnsweredByOneFreeSlot);
    CPPUNIT_TEST(AFreedSlotIsOfferedToTheLatestThatAsked);
    CPPUNIT_TEST(AnotherDataCentreIsToldOfTargetsWithRoom);
    CPPUNIT_TEST(AsksAreLimited);
    CPPUNIT_TEST(TheRoomCountsTargetsOfTheOwnDataCentre);
    CPPUNIT_TEST(OnlyTargetsWithNewsAreVisited);
    CPPUNIT_TEST(AMessageVisitsFewOfManyTargets);
    CPPUNIT_TEST(TheRoomOfManyTargetsIsEstimated);
    CPPUNIT_TEST(TheRoomIsKeptForAProbesTime);
    CPPUNIT_TEST(AFloodOfAsksLeavesTheSlotsToOthers);
    CPPUNIT_TEST(ALoudAskerDoesNotGetAllOffers);
    CPPUNIT_TEST(AFloodFromManyAddressesTakesFewSlots);
    CPPUNIT_TEST_SUITE_END();

    std::vector<DirectoryTarget> Listed;
    TargetPool Pool;
    LoadSharing Sharing;
    Random Rng;
    uint16_t Near = PeerDataCentre("near");

public:
    void setUp() override
    {
        Reset(&Pool, 12);
        Sharing = LoadSharing();
    }

private:
    void Reset(TargetPool* pool, int targets)
    {
        *pool = TargetPool();
        pool->Shared = true;
        Listed = ListTargets(targets, 3);
        Sync(pool, Listed, &Rng);
    }

    std::optional<LoadMessage> Hear(const LoadMessage& message, const std::string& from = "10.0.0.2:7000", TimeUs now = Start)
    {
        return LoadHeard(&Sharing, &Pool, message, from, Near, now, &Rng);
    }

    std::optional<LoadMessage> Ask(const std::string& data_centre, const std::string& from = "10.0.0.2:7000", TimeUs now = Start)
    {
        LoadMessage message;
        message.Kind = LoadMessage_Ask;
        message.DataCentre = PeerDataCentre(data_centre);
        return Hear(message, from, now);
    }

    void Report(const std::string& id, const LoadReport& report, TimeUs now = Start)
    {
        PoolReport(PoolFind(&Pool, id), report, now);
    }

    bool Tell(const std::string& id, const LoadReport& report, TimeUs age, TimeUs now = Start)
    {
        return PoolTold(&Pool, PoolFind(&Pool, id), report, age, now);
    }

    std::string NextId(const std::vector<std::string>& passed = {}, TimeUs now = Start)
    {
        const PoolTarget* next = PoolNext(&Pool, passed, false, now);
        return next != nullptr ? next->Id : "";
    }

    void WhateverIsToldNoTargetBecomesUsable()
    {
        CHECK_PROPERTY("whatever is told, only a target's own word decides about its use",
                       []()
                       {
                           TestRandom dice;
                           constexpr int targets = 12;
                           TargetPool pool;
                           pool.Shared = true;
                           pool.Config.ColdPerS = 1;
                           std::vector<DirectoryTarget> listed = ListTargets(targets, 3);
                           listed[0].Presence = Presence_Draining;
                           listed[1].Evacuated = true;
                           Sync(&pool, listed, &dice.Rng);
                           DrawStates(&pool, &dice);
                           LoadSharing sharing;
                           for (int n = 0; n < 20; n++)
                           {
                               const std::vector<Usability> before = UsabilityOf(pool, Start);
                               LoadMessage message = DrawMessage(&dice, targets);
                               message.Kind = LoadMessage_Offer; // Asks may take slots, and so make targets less usable.
                               LoadHeard(&sharing, &pool, message, "10.0.0.2:7000", PeerDataCentre("near"), Start, &dice.Rng);
                               RC_ASSERT(UsabilityOf(pool, Start) == before);
                               const PoolTarget* next = PoolNext(&pool, {}, false, Start);
                               RC_ASSERT(next == nullptr || (PoolMayUse(*next, Start) && next->Id != "t0" && next->Id != "t1"));
                           }
                           const auto is_trusted = [](const PoolTarget& target)
                           {
                               return PoolMayUse(target, Start) && !target.EntryMissing && target.ColdUntilUs == 0 &&
                                      target.AvoidUntilUs == 0;
                           };
                           const PoolTarget* next = PoolNext(&pool, {}, false, Start);
                           const bool any = std::any_of(pool.Targets.begin(), pool.Targets.end(), is_trusted);
                           RC_ASSERT(!any || is_trusted(*next));
                       });
    }

    void MemoryIsBounded()
    {
        CHECK_PROPERTY("what others send takes bounded memory",
                       []()
                       {
                           TestRandom dice;
                           constexpr int targets = 9;
                           TargetPool pool;
                           pool.Shared = true;
                           Sync(&pool, ListTargets(targets, 3), &dice.Rng);
                           LoadSharing sharing;
                           TimeUs now = Start;
                           for (int n = 0; n < 200; n++)
                           {
                               now += dice.Between(0, 2 * UsPerMs);
                               const std::string from = "10.0.0." + std::to_string(dice.Between(1, 200)) + ":7000";
                               const std::optional<LoadMessage> answer =
                                   LoadHeard(&sharing, &pool, DrawMessage(&dice, targets), from, PeerDataCentre("near"), now, &dice.Rng);
                               RC_ASSERT(!answer || answer->Reports.size() <= sharing.Config.ReportsMax);
                               RC_ASSERT(sharing.Askers.size() <= sharing.Config.AskersMax);
                               RC_ASSERT(pool.Index.Marked.size() <= pool.Targets.size());
                               RC_ASSERT(pool.Index.BySharedId.size() == pool.Targets.size());
                           }
                       });
    }

    // Guards against instances that compete for a slot which each of them was told of.
    void ASlotIsOfferedOnce()
    {
        CHECK_PROPERTY("no more slots of a target are offered than its answer has shown to be free",
                       []()
                       {
                           TestRandom dice;
                           constexpr int targets = 6;
                           TargetPool pool;
                           pool.Shared = true;
                           Sync(&pool, ListTargets(targets, 3), &dice.Rng);
                           LoadSharing sharing;
                           const uint16_t near = PeerDataCentre("near");
                           std::map<uint32_t, int> free;
                           TimeUs now = Start;
                           const auto count = [&free](const LoadMessage& message)
                           {
                               RC_ASSERT(message.Reports.size() == 1U);
                               RC_ASSERT(--free[message.Reports[0].Target] >= 0);
                           };
                           for (int n = 0; n < 100; n++)
                           {
                               now += dice.Between(0, 3 * UsPerMs);
                               const std::string id = "t" + std::to_string(dice.Between(0, targets));
                               PoolTarget* target = PoolFind(&pool, id);
                               if (dice.OneIn(3))
                               {
                                   const int running = static_cast<int>(dice.Between(0, 4));
                                   PoolReport(target, {running, 0, 3, 100}, now);
                                   free[SharedIdOf(id)] = 3 - running;
                                   const std::optional<LoadOfferTo> offer = LoadOffer(&sharing, pool, target, Service, near, now);
                                   if (offer)
                                   {
                                       count(offer->Message);
                                   }
                                   continue;
                               }
                               LoadMessage ask;
                               ask.Kind = LoadMessage_Ask;
                               ask.DataCentre = near;
                               const std::string from = "10.0.0." + std::to_string(dice.Between(1, 9)) + ":7000";
                               const std::optional<LoadMessage> answer = LoadHeard(&sharing, &pool, ask, from, near, now, &dice.Rng);
                               if (answer)
                               {
                                   count(*answer);
                               }
                           }
                       });
    }

    void OnlyNewerReportsAreTaken()
    {
        Report("t0", {3, 0, 3, 100}, Start - 20 * UsPerMs);
        CPPUNIT_ASSERT(!Tell("t0", {0, 0, 3, 100}, 20 * UsPerMs)); // As old as the own one.
        CPPUNIT_ASSERT(Tell("t0", {1, 0, 3, 100}, 19 * UsPerMs));
        CPPUNIT_ASSERT(!Tell("t0", {2, 0, 3, 100}, 19 * UsPerMs));
        CPPUNIT_ASSERT_EQUAL(1, PoolKnownLoad(Pool, *PoolFind(&Pool, "t0"), Start)->Load.Running);
        Report("t0", {2, 0, 3, 100}, Start);
        CPPUNIT_ASSERT_EQUAL(2, PoolKnownLoad(Pool, *PoolFind(&Pool, "t0"), Start)->Load.Running);
        CPPUNIT_ASSERT(!PoolKnownLoad(Pool, *PoolFind(&Pool, "t0"), Start + Pool.Config.ReportMaxAgeUs));
    }

    void WrongReportsAreIgnoredAndCounted()
    {
        const std::vector<LoadReport> wrong = {{-1, 0, 3, 100},        {0, -1, 3, 100},        {0, 0, 0, 100},      {0, 0, -3, 100},
                                               {0, 0, 13, 100},        {0, 0, 3, 0},           {0, 0, 3, -100},     {INT32_MAX, 0, 3, 100},
                                               {0, INT32_MAX, 3, 100}, {0, 0, INT32_MAX, 100}, {0, 0, 3, INT32_MAX}};
        LoadMessage message;
        message.Kind = LoadMessage_Answer;
        message.DataCentre = Near;
        for (const LoadReport& report : wrong)
        {
            message.Reports = {{SharedIdOf("t0"), report, 0}};
            Hear(message);
        }
        for (const SharedReport& report : {SharedReport{SharedIdOf("t0"), {0, 0, 3, 100}, Sharing.Config.ReportMaxAgeUs},
                                           SharedReport{SharedIdOf("t0"), {0, 0, 3, 100}, -1}, SharedReport{SharedIdOf("unknown"), {}, 0}})
        {
            message.Reports = {report};
            Hear(message);
        }
        CPPUNIT_ASSERT_EQUAL(TimeUs(0), PoolFind(&Pool, "t0")->ToldUs);
        CPPUNIT_ASSERT_EQUAL(uint64_t(wrong.size() + 3), Sharing.ReportsIgnored);
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), Sharing.ReportsTaken);
        message.Reports.assign(100, {SharedIdOf("t0"), {0, 0, 3, 100}, 0});
        Hear(message);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), Sharing.ReportsTaken);
        CPPUNIT_ASSERT_EQUAL(uint64_t(wrong.size() + 3 + 99), Sharing.ReportsIgnored);
    }

    // A report of another instance may not include what this one has sent just before or since.
    void OwnRequestsCountBesidesAReportOfOthers()
    {
        PoolTarget* target = PoolFind(&Pool, "t0");
        Report("t0", {0, 0, 3, 100}, Start - 60 * UsPerMs);
        PoolSent(&Pool, target, Start - 50 * UsPerMs);
        CPPUNIT_ASSERT(Tell("t0", {1, 0, 3, 100}, 30 * UsPerMs)); // Includes it.
        CPPUNIT_ASSERT_EQUAL(1, PoolKnownLoad(Pool, *target, Start)->Load.Running);
        PoolSent(&Pool, target, Start);
        CPPUNIT_ASSERT_EQUAL(3, PoolKnownLoad(Pool, *target, Start)->Load.Running);
        CPPUNIT_ASSERT(Tell("t0", {2, 0, 3, 100}, 0, Start + UsPerMs));
        CPPUNIT_ASSERT_EQUAL(4, PoolKnownLoad(Pool, *target, Start + UsPerMs)->Load.Running);
    }

    void AReportOfAnotherIncarnationIsIgnored()
    {
        Listed[0].Incarnation = 7;
        Sync(&Pool, Listed, &Rng);
        CPPUNIT_ASSERT(PoolFindShared(Pool, SharedIdOf("t0")) == nullptr);
        CPPUNIT_ASSERT(PoolFindShared(Pool, SharedTargetId(TargetIncarnationId("t0", 7))) == PoolFind(&Pool, "t0"));
        Listed.erase(Listed.begin());
        Sync(&Pool, Listed, &Rng);
        CPPUNIT_ASSERT(PoolFindShared(Pool, SharedTargetId(TargetIncarnationId("t0", 7))) == nullptr);
        CPPUNIT_ASSERT_EQUAL(Listed.size(), Pool.Index.BySharedId.size());
    }

    void ToldSlotsComeFirstAndFullTargetsLast()
    {
        Pool.UnknownCost = 1.5;
        const std::string first = NextId();
        const std::string slot = first == "t4" ? "t3" : "t4";
        CPPUNIT_ASSERT(Tell(slot, {0, 0, 3, 100}, 0));
        CPPUNIT_ASSERT(Tell(first, {3, 0, 3, 100}, 0));
        CPPUNIT_ASSERT_EQUAL(slot, NextId());
        const std::string unknown = NextId({slot});
        CPPUNIT_ASSERT(unknown != first && PoolFind(&Pool, unknown)->Near);
        // Near targets of which nothing is known come before full ones, and before unknown ones of other data centres.
        std::vector<std::string> passed;
        for (std::string id = NextId(); id != first; id = NextId(passed))
        {
            CPPUNIT_ASSERT(PoolFind(&Pool, id)->Near);
            passed.push_back(id);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(7), passed.size());
    }

    void TheSearchEndsEarlierWhenFewTargetsAreGood()
    {
        PoolTarget* target = PoolFind(&Pool, "t0");
        TimeUs now = Start;
        const auto probe = [&](const LoadReport& report)
        {
            now += UsPerSecond; // Nothing recent is known.
            PoolProbed(&Pool, target, report, now);
        };
        CPPUNIT_ASSERT_EQUAL(Pool.Config.GoodCost, PoolGoodCost(Pool));
        for (int n = 0; n < 40; n++)
        {
            probe({3, 0, 3, 300});
        }
        CPPUNIT_ASSERT_EQUAL(Pool.Config.AcceptableCost, PoolGoodCost(Pool));
        for (int n = 0; n < 10; n++)
        {
            probe({0, 0, 3, 100});
        }
        CPPUNIT_ASSERT_EQUAL(Pool.Config.GoodCost, PoolGoodCost(Pool));
        const double before = Pool.UnknownCost;
        PoolProbed(&Pool, target, {3, 0, 3, 300}, now); // Known already: it tells nothing of the others.
        CPPUNIT_ASSERT_EQUAL(before, Pool.UnknownCost);
    }

    void NothingChangesUnlessReportsAreShared()
    {
        Pool.Shared = false;
        Pool.UnknownCost = 2;
        const std::string first = NextId();
        CPPUNIT_ASSERT(!Tell(first, {3, 0, 3, 500}, 0));
        CPPUNIT_ASSERT_EQUAL(first, NextId());
        CPPUNIT_ASSERT_EQUAL(Pool.Config.GoodCost, PoolGoodCost(Pool));
        PoolProbed(&Pool, PoolFind(&Pool, first), {3, 0, 3, 500}, Start);
        CPPUNIT_ASSERT_EQUAL(2.0, Pool.UnknownCost);
    }

    void AnAskIsAnsweredByOneFreeSlot()
    {
        CPPUNIT_ASSERT(!Ask("near", "10.0.1.3:7000"));
        CPPUNIT_ASSERT_EQUAL(size_t(1), Sharing.Askers.size());
        Report("t0", {2, 0, 3, 100});
        Report("t2", {0, 0, 3, 100});                  // In another data centre.
        CPPUNIT_ASSERT(Tell("t3", {0, 0, 3, 100}, 0)); // Others have told of it.
        const std::optional<LoadMessage> answer = Ask("near", "10.0.1.4:7000");
        CPPUNIT_ASSERT(answer && answer->Kind == LoadMessage_Answer && answer->Reports.size() == 1);
        CPPUNIT_ASSERT_EQUAL(SharedIdOf("t0"), answer->Reports[0].Target);
        CPPUNIT_ASSERT(!PoolHasFreeSlot(Pool, *PoolFind(&Pool, "t0")));
        CPPUNIT_ASSERT(!Ask("near", "10.0.1.5:7000"));
        Report("t1", {0, 0, 3, 100});
        CPPUNIT_ASSERT(!Ask("near", "10.0.0.3:7000", Start + Sharing.Config.OfferMaxAgeUs));
        for (const PoolTarget& target : Pool.Targets)
        {
            PoolBackOff(&Pool, target.Id, 0, Start + UsPerSecond, Start);
        }
        Report("t1", {0, 0, 3, 100});
        CPPUNIT_ASSERT(!Ask("near", "10.0.1.6:7000"));
    }

    void AFreedSlotIsOfferedToTheLatestThatAsked()
    {
        PoolTarget* target = PoolFind(&Pool, "t0");
        const auto offer = [&](TimeUs now)
        {
            PoolReport(target, {2, 0, 3, 100}, now);
            const std::optional<LoadOfferTo> made = LoadOffer(&Sharing, Pool, target, Service, Near, now);
            return made ? made->Address : "";
        };
        CPPUNIT_ASSERT_EQUAL(std::string(), offer(Start));
        Ask("near", "10.0.0.2:7000", Start);
        Ask("near", "10.0.0.3:7000", Start + UsPerMs);
        Ask("near", "10.0.0.2:7000", Start + 10 * UsPerMs);
        Ask("far", "10.0.0.9:7000", Start + 10 * UsPerMs);
        const TimeUs late = Start + 11 * UsPerMs; // What was known before is too old to be offered.
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:7000"), offer(late));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.3:7000"), offer(late));
        CPPUNIT_ASSERT_EQUAL(std::string(), offer(late));
        Ask("near", "10.0.0.2:7000", late + 20 * UsPerMs);
        CPPUNIT_ASSERT_EQUAL(std::string(), offer(late + 20 * UsPerMs + Sharing.Config.AskerKeptUs));
        CPPUNIT_ASSERT(Sharing.Askers.empty());
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), Sharing.Offers);
    }

    void AnotherDataCentreIsToldOfTargetsWithRoom()
    {
        Report("t0", {0, 0, 3, 100});
        Report("t1", {2, 0, 3, 100});
        Report("t2", {0, 0, 3, 100}); // Not in this data centre.
        Report("t3", {3, 0, 3, 100}); // Full.
        Report("t4", {0, 0, 3, 500}); // Slow.
        const std::optional<LoadMessage> answer = Ask("far");
        CPPUNIT_ASSERT(answer && answer->Kind == LoadMessage_Answer && answer->DataCentre == Near);
        std::set<uint32_t> told;
        for (const SharedReport& report : answer->Reports)
        {
            told.insert(report.Target);
        }
        CPPUNIT_ASSERT(told == std::set<uint32_t>({SharedIdOf("t0"), SharedIdOf("t1")}));
        CPPUNIT_ASSERT(Sharing.Askers.empty()); // It gets no offers: requests don't cross for these.
        CPPUNIT_ASSERT(Ask("far"));
    }

    void AsksAreLimited()
    {
        Peers others;
        others.Own = "10.0.0.1:7000";
        CPPUNIT_ASSERT(LoadAskPeers(&Sharing, others, Near, Start, &Rng).empty());
        for (int n = 2; n < 50; n++)
        {
            PeersHeard(&others, {"10.0.0." + std::to_string(n) + ":7000", Near, 0, true}, Start);
        }
        CPPUNIT_ASSERT_EQUAL(Sharing.Config.AskedPeers, LoadAskPeers(&Sharing, others, Near, Start, &Rng).size());
        CPPUNIT_ASSERT(LoadAskPeers(&Sharing, others, Near, Start + Sharing.Config.AskIntervalUs - 1, &Rng).empty());
        CPPUNIT_ASSERT(!LoadAskPeers(&Sharing, others, Near, Start + Sharing.Config.AskIntervalUs, &Rng).empty());
        CPPUNIT_ASSERT_EQUAL(uint64_t(2 * Sharing.Config.AskedPeers), Sharing.Asks);
    }

    void TheRoomCountsTargetsOfTheOwnDataCentre()
    {
        Report("t0", {0, 0, 3, 100});
        Report("t1", {3, 0, 3, 100});
        Report("t2", {0, 0, 3, 100}); // In another data centre.
        CPPUNIT_ASSERT(Tell("t3", {0, 0, 3, 100}, 0));
        PoolBackOff(&Pool, "t4", 0, Start + UsPerSecond, Start);
        const SharedRoom room = LoadRoom(Pool, Start);
        CPPUNIT_ASSERT_EQUAL(7, room.Targets);
        CPPUNIT_ASSERT_EQUAL(3, room.Known);
        CPPUNIT_ASSERT_EQUAL(2, room.Free);
        const LoadMessage ask = LoadAsk(Pool, Service, Near, Start);
        CPPUNIT_ASSERT(ask.Kind == LoadMessage_Ask && ask.Service == SharedServiceId(Service) && ask.Reports.empty());
        CPPUNIT_ASSERT_EQUAL(7, ask.Room.Targets);
    }

    // All functions visit Index.Marked only. With 1,600 targets it holds the few with recent news.
    void OnlyTargetsWithNewsAreVisited()
    {
        Reset(&Pool, 1600);
        TimeUs now = Start;
        for (int n = 0; n < 1000; n++)
        {
            now += 10 * UsPerMs;
            Tell("t" + std::to_string(n), {0, 0, 3, 100}, 0, now);
            NextId({}, now);
            const auto fresh = static_cast<size_t>(Pool.Config.ReportMaxAgeUs / (10 * UsPerMs));
            CPPUNIT_ASSERT(Pool.Index.Marked.size() <= 2 * fresh + 2);
        }
    }

    // All targets have news, and one of them room: a message looks at a part of them, and another one at another part.
    void AMessageVisitsFewOfManyTargets()
    {
        Reset(&Pool, 6600);
        for (const DirectoryTarget& target : Listed)
        {
            Report(target.Id, {3, 0, 3, 100});
        }
        constexpr int asks = 400;
        std::map<std::string, int> found;
        for (int n = 0; n < asks; n++)
        {
            const TimeUs now = Start + 10 * UsPerMs * n;
            for (const char* data_centre : {"near", "far"})
            {
                Report("t3300", {0, 0, 3, 100}, now);
                const std::optional<LoadMessage> answer = Ask(data_centre, "10.0.0.2:7000", now);
                found[data_centre] += answer && !answer->Reports.empty() ? 1 : 0;
            }
        }
        for (const auto& [data_centre, count] : found)
        {
            CPPUNIT_ASSERT_MESSAGE(data_centre, count > 0 && count < asks / 4);
        }
    }

    void TheRoomOfManyTargetsIsEstimated()
    {
        Reset(&Pool, 6600);
        int near = 0;
        for (const DirectoryTarget& target : Listed)
        {
            const bool half = target.DataCentre == "near" && near++ % 2 == 0;
            Report(target.Id, {half ? 0 : 3, 0, 3, 100});
            PoolFind(&Pool, target.Id)->EntryMissing = near % 10 == 9;
        }
        for (int n = 0; n < 20; n++)
        {
            const SharedRoom room = LoadRoom(Pool, Start + TimeUs{n} * 997);
            CPPUNIT_ASSERT(room.Targets > near * 8 / 10 && room.Targets <= near);
            CPPUNIT_ASSERT(room.Known > 0 && room.Known <= room.Targets);
            CPPUNIT_ASSERT(room.Free > room.Known * 4 / 10 && room.Free < room.Known * 7 / 10);
        }
    }

    // Several messages in this time cost one visit of the targets.
    void TheRoomIsKeptForAProbesTime()
    {
        const auto told = [&](TimeUs now)
        {
            return Ask("far", "10.0.0.2:7000", now)->Room;
        };
        CPPUNIT_ASSERT_EQUAL(8, told(Start).Targets);
        PoolBackOff(&Pool, "t4", 0, Start + UsPerSecond, Start);
        CPPUNIT_ASSERT_EQUAL(8, told(Start + 9 * UsPerMs).Targets);
        CPPUNIT_ASSERT_EQUAL(7, told(Start + 10 * UsPerMs).Targets);
        CPPUNIT_ASSERT_EQUAL(7, told(Start).Targets); // The time of a message may go back a little.
    }

    // Guards against a neighbour that asks all the time, or in whose name somebody does.
    void AFloodOfAsksLeavesTheSlotsToOthers()
    {
        for (const DirectoryTarget& target : Listed)
        {
            Report(target.Id, {2, 0, 3, 100});
        }
        int taken = 0;
        for (int n = 0; n < 50; n++)
        {
            taken += Ask("near", "10.0.0.2:7000", Start + TimeUs{n} * 100) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1, taken);
        const TimeUs now = Start + 5 * UsPerMs;
        const PoolTarget* next = PoolNext(&Pool, {}, false, now);
        CPPUNIT_ASSERT(next != nullptr && next->Near && PoolHasFreeSlot(Pool, *next));
        CPPUNIT_ASSERT(Ask("near", "10.0.0.3:7000", now));
        CPPUNIT_ASSERT(Ask("near", "10.0.0.2:7000", Start + 10 * UsPerMs - 1)); // At the rate of asks it isn't limited.
    }

    void ALoudAskerDoesNotGetAllOffers()
    {
        PoolTarget* target = PoolFind(&Pool, "t0");
        std::vector<std::string> offered;
        Ask("near", "10.0.0.3:7000", Start);
        for (int n = 0; n < 5; n++)
        {
            const TimeUs now = Start + n * UsPerMs;
            Ask("near", "10.0.0.2:7000", now);
            PoolReport(target, {2, 0, 3, 100}, now);
            const std::optional<LoadOfferTo> offer = LoadOffer(&Sharing, Pool, target, Service, Near, now);
            offered.push_back(offer ? offer->Address : "");
            target->Report.Running = 3; // A request of this instance has got it, if nobody else has.
        }
        CPPUNIT_ASSERT(offered == std::vector<std::string>({"10.0.0.2:7000", "10.0.0.3:7000", "", "", ""}));
    }

    void AFloodFromManyAddressesTakesFewSlots()
    {
        Reset(&Pool, 150);
        for (const DirectoryTarget& target : Listed)
        {
            Report(target.Id, {2, 0, 3, 100});
        }
        size_t taken = 0;
        for (int n = 0; n < 100; n++)
        {
            taken += Ask("near", "10.0.1." + std::to_string(n) + ":7000", Start + TimeUs{n} * 50) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(Sharing.Config.AskersMax, taken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShareTest);

} // namespace Winchlink
