// directory_test.cpp: the target directory compared with a simple model, and the removal of missing entries. Guards against reordered or
// duplicate updates that leave the directory in a state other than the store's.

#include "check.h"

#include <fmt/format.h>

namespace Winchlink
{

static DirectoryTarget Entry(const std::string& id, uint64_t revision, Presence_ presence = Presence_Ready)
{
    DirectoryTarget target;
    target.Id = id;
    target.Service = "svc";
    target.Address = "10.0.0.1:80";
    target.Revision = revision;
    target.Presence = presence;
    return target;
}

static Presence_ PresenceOf(const TargetDirectory& directory, const std::string& id)
{
    const auto found = directory.Targets.find(id);
    return found != directory.Targets.end() ? found->second.Presence : Presence_COUNT;
}

class DirectoryTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(DirectoryTest);
    CPPUNIT_TEST(MatchesTheStoreWhateverTheOrderOfUpdates);
    CPPUNIT_TEST(DrainingTargetsStayDraining);
    CPPUNIT_TEST(MissingEntriesAreRemovedAfterADelay);
    CPPUNIT_TEST(ARemovalLearntLateShortensTheDelay);
    CPPUNIT_TEST(LostEntriesAreKeptHoweverLateThatIsLearnt);
    CPPUNIT_TEST(MissingEntriesAreKeptAfterTheStoreRecovers);
    CPPUNIT_TEST(EvacuationsMatchTheStoreWhateverTheOrderOfUpdates);
    CPPUNIT_TEST(OlderRevisionsDoNotChangeAnEvacuation);
    CPPUNIT_TEST_SUITE_END();

    // Updates and full reads may arrive late, repeatedly and in any order; the highest revision of each entry decides.
    void MatchesTheStoreWhateverTheOrderOfUpdates()
    {
        CHECK_PROPERTY("after a last whole read, the directory holds what the store holds",
                       []()
                       {
                           TestRandom dice;
                           TargetDirectory directory;
                           std::map<std::string, DirectoryTarget> store;
                           std::vector<std::pair<DirectoryTarget, bool>> changes; // Entry, and whether it was removed.
                           TimeUs now = UsPerSecond;
                           uint64_t revision = 0;
                           for (int step = 0; step < 60; step++)
                           {
                               now += dice.Between(0, 200) * UsPerMs;
                               const std::string id = fmt::format("t{}", dice.Between(0, 5));
                               revision++;
                               const bool goes = dice.OneIn(3);
                               changes.push_back({Entry(id, revision), goes});
                               if (goes)
                               {
                                   store.erase(id);
                               }
                               else
                               {
                                   store[id] = Entry(id, revision);
                               }
                               const auto& received = changes[static_cast<size_t>(dice.Between(0, static_cast<int64_t>(changes.size())))];
                               if (received.second)
                               {
                                   DirectoryRemove(&directory, received.first.Id, received.first.Revision, now, now);
                               }
                               else
                               {
                                   DirectoryPut(&directory, received.first, now);
                               }
                               DirectoryRemoveExpired(&directory, now);
                           }
                           std::set<std::string> ids;
                           for (const auto& entry : store)
                           {
                               DirectoryPut(&directory, entry.second, now);
                               ids.insert(entry.first);
                           }
                           DirectoryKeepOnly(&directory, ids, revision, now, now);
                           DirectoryRemoveExpired(&directory, now + 10 * UsPerSecond);
                           RC_ASSERT(directory.Targets.size() == store.size());
                           for (const auto& entry : store)
                           {
                               RC_ASSERT(directory.Targets.at(entry.first).Revision == entry.second.Revision);
                           }
                       });
    }

    void DrainingTargetsStayDraining()
    {
        TargetDirectory directory;
        DirectoryPut(&directory, Entry("t", 5), 0);
        DirectoryMarkReplaced(&directory, "t"); // Announced by the target itself, before its entry in the store changes.
        DirectoryPut(&directory, Entry("t", 6), 0);
        CPPUNIT_ASSERT_EQUAL(Presence_Draining, PresenceOf(directory, "t"));
        DirectoryRemove(&directory, "t", 7, 0, 0);
        CPPUNIT_ASSERT_EQUAL(Presence_COUNT, PresenceOf(directory, "t"));
    }

    void MissingEntriesAreRemovedAfterADelay()
    {
        TargetDirectory directory;
        DirectoryPut(&directory, Entry("t", 5), 0);
        const TimeUs went = 10 * UsPerSecond;
        DirectoryRemove(&directory, "t", 4, went, went); // Older than the entry.
        CPPUNIT_ASSERT_EQUAL(Presence_Ready, PresenceOf(directory, "t"));
        DirectoryRemove(&directory, "t", 6, went, went);
        CPPUNIT_ASSERT_EQUAL(Presence_Missing, PresenceOf(directory, "t"));
        DirectoryPut(&directory, Entry("t", 5), went); // Arrives late: the entry was removed since.
        CPPUNIT_ASSERT_EQUAL(Presence_Missing, PresenceOf(directory, "t"));
        const TimeUs kept = directory.Config.ServesRemovedUs - directory.Config.SendMarginUs;
        CPPUNIT_ASSERT(!DirectoryRemoveExpired(&directory, went + kept - 1));
        CPPUNIT_ASSERT(DirectoryRemoveExpired(&directory, went + kept));
        CPPUNIT_ASSERT(directory.Targets.empty());
        // A target keeps serving for two seconds after its entry was removed; it must get no request after that.
        CPPUNIT_ASSERT(kept < 2 * UsPerSecond);
    }

    // Guards against requests to a target that has left, as the time for which it is kept begins when its removal is learnt.
    void ARemovalLearntLateShortensTheDelay()
    {
        TargetDirectory directory;
        const TimeUs kept = directory.Config.ServesRemovedUs - directory.Config.SendMarginUs;
        DirectoryPut(&directory, Entry("t", 5), 0);
        const TimeUs present = 10 * UsPerSecond;
        DirectoryRemove(&directory, "t", 6, present, present + UsPerSecond);
        CPPUNIT_ASSERT(!DirectoryRemoveExpired(&directory, present + kept - 1));
        CPPUNIT_ASSERT(DirectoryRemoveExpired(&directory, present + kept));
        DirectoryPut(&directory, Entry("u", 7), present);
        DirectoryKeepOnly(&directory, {}, 8, present, present + 5 * UsPerSecond); // Learnt after the target may have stopped.
        CPPUNIT_ASSERT(DirectoryRemoveExpired(&directory, present + 5 * UsPerSecond));
    }

    // Evacuations and target entries may arrive late, repeatedly and in any order; the highest revision decides.
    void EvacuationsMatchTheStoreWhateverTheOrderOfUpdates()
    {
        CHECK_PROPERTY("after a last whole read, targets are evacuated where the store says so, and nowhere else",
                       []()
                       {
                           TestRandom dice;
                           TargetDirectory directory;
                           std::map<std::string, bool> store; // Whether each data centre is evacuated.
                           std::vector<std::pair<std::string, Evacuation>> evacuations;
                           uint64_t revision = 0;
                           for (int step = 0; step < 60; step++)
                           {
                               const std::string data_centre = fmt::format("dc{}", dice.Between(0, 3));
                               DirectoryTarget target = Entry(fmt::format("t{}", dice.Between(0, 6)), ++revision);
                               target.DataCentre = fmt::format("dc{}", dice.Between(0, 3));
                               DirectoryPut(&directory, target, 0);
                               store[data_centre] = dice.OneIn(2);
                               evacuations.push_back({data_centre, {store[data_centre], ++revision}});
                               const auto& received =
                                   evacuations[static_cast<size_t>(dice.Between(0, static_cast<int64_t>(evacuations.size())))];
                               DirectoryEvacuate(&directory, received.first, received.second);
                           }
                           std::set<std::string> evacuated;
                           for (const auto& entry : store)
                           {
                               if (entry.second)
                               {
                                   evacuated.insert(entry.first);
                                   DirectoryEvacuate(&directory, entry.first, {true, revision});
                               }
                           }
                           DirectoryKeepOnlyEvacuated(&directory, evacuated, revision);
                           for (const auto& entry : directory.Targets)
                           {
                               RC_ASSERT(entry.second.Evacuated == (evacuated.count(entry.second.DataCentre) > 0));
                           }
                       });
    }

    void OlderRevisionsDoNotChangeAnEvacuation()
    {
        TargetDirectory directory;
        CPPUNIT_ASSERT(DirectoryEvacuate(&directory, "dc", {true, 7}));
        CPPUNIT_ASSERT(!DirectoryEvacuate(&directory, "dc", {true, 7}));
        CPPUNIT_ASSERT(!DirectoryEvacuate(&directory, "dc", {false, 6}));
        CPPUNIT_ASSERT(DirectoryKeepOnlyEvacuated(&directory, {}, 6).empty()); // Read before the evacuation began.
        DirectoryTarget target = Entry("t", 5);
        target.DataCentre = "dc";
        DirectoryPut(&directory, target, 0);
        CPPUNIT_ASSERT(directory.Targets.at("t").Evacuated);
        CPPUNIT_ASSERT(DirectoryEvacuate(&directory, "dc", {false, 9}));
        CPPUNIT_ASSERT(!directory.Targets.at("t").Evacuated);
        CPPUNIT_ASSERT(!DirectoryEvacuate(&directory, "dc", {true, 8})); // Arrives late: the evacuation has ended since.
        CPPUNIT_ASSERT(DirectoryEvacuate(&directory, "dc", {true, 10}));
        CPPUNIT_ASSERT_EQUAL(size_t{1}, DirectoryKeepOnlyEvacuated(&directory, {}, 11).size());
        CPPUNIT_ASSERT(!directory.Targets.at("t").Evacuated);
    }

    // Guards against targets that are no longer used though a failing store has lost their entries: its data is old when it has recovered.
    void LostEntriesAreKeptHoweverLateThatIsLearnt()
    {
        TargetDirectory directory;
        DirectoryPut(&directory, Entry("t", 5), 0);
        const TimeUs present = 10 * UsPerSecond;
        DirectoryStoreFailed(&directory, present + UsPerSecond);
        const TimeUs returned = present + 20 * UsPerSecond;
        DirectoryStoreAnswered(&directory, returned);
        DirectoryRemove(&directory, "t", 9, present, returned + UsPerMs);
        CPPUNIT_ASSERT(!DirectoryRemoveExpired(&directory, returned + 2 * UsPerSecond)); // Targets write their entries again by then.
        CPPUNIT_ASSERT(DirectoryRemoveExpired(&directory, returned + directory.Config.RecoveryUs));
    }

    void MissingEntriesAreKeptAfterTheStoreRecovers()
    {
        TargetDirectory directory;
        DirectoryPut(&directory, Entry("t", 5), 0);
        DirectoryStoreFailed(&directory, 20 * UsPerSecond);
        const TimeUs returned = 24 * UsPerSecond;
        DirectoryStoreAnswered(&directory, returned);
        DirectoryKeepOnly(&directory, {}, 9, returned, returned);
        CPPUNIT_ASSERT_EQUAL(Presence_Missing, PresenceOf(directory, "t"));
        DirectoryRemoveExpired(&directory, returned + 2 * UsPerSecond); // Targets write their entries again within two seconds.
        CPPUNIT_ASSERT_EQUAL(Presence_Missing, PresenceOf(directory, "t"));
        DirectoryPut(&directory, Entry("t", 10), returned + 2 * UsPerSecond);
        CPPUNIT_ASSERT_EQUAL(Presence_Ready, PresenceOf(directory, "t"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryTest);

} // namespace Winchlink
