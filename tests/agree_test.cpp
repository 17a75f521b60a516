// agree_test.cpp: table agreement and target runs under failures: a state test on the fleet model, and the cases one by one.

#include "fleet_model.h"
#include "views.h"

#include <functional>
#include <rapidcheck/state.h>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] State test
//-----------------------------------------------------------------------------

enum EventKind_ : int
{
    EventKind_Run,
    EventKind_Edit,
    EventKind_Kill,
    EventKind_Replace,
    EventKind_Pause,
    EventKind_Wake,
    EventKind_Cut,
    EventKind_Heal,
    EventKind_PlatformDown,
    EventKind_PlatformStale,
    EventKind_PlatformOk,
    EventKind_BadNetwork,
    EventKind_GoodNetwork,
    EventKind_ListLags,
    EventKind_Report,
    EventKind_DrainTarget,
    EventKind_RestartTarget,
    EventKind_COUNT,
};

static const char* EventNames[EventKind_COUNT] = {"run",         "edit",     "kill",         "replace",       "pause",        "wake",
                                                  "cut",         "heal",     "platformDown", "platformStale", "platformOk",   "badNetwork",
                                                  "goodNetwork", "listLags", "report",       "drainTarget",   "restartTarget"};

// What the commands need to know beforehand: nothing but the size of the fleet; whether an event makes sense is decided when it happens.
struct EventModel
{
    size_t Nodes = 0;
};

struct Event : rc::state::Command<EventModel, FleetModel>
{
    EventKind_ Kind;
    size_t Node;
    uint32_t Number;

    explicit Event(const EventModel& model)
        : Kind(static_cast<EventKind_>(*rc::gen::inRange<int>(0, EventKind_COUNT))),
          Node(*rc::gen::resize(1000, rc::gen::inRange<size_t>(0, model.Nodes))),
          Number(*rc::gen::resize(1000, rc::gen::inRange<uint32_t>(0, 1U << 16U)))
    {
    }

    void Happen(FleetModel* fleet) const
    {
        ModelNode& node = fleet->Nodes[Node];
        switch (Kind)
        {
        case EventKind_Run:
            ModelRun(fleet, static_cast<TimeUs>(Number % 6000) * UsPerMs);
            break;
        case EventKind_Edit:
            ModelEdit(fleet);
            break;
        case EventKind_Kill:
            // The last copy of an accepted table can't be saved by anybody, and one instance alone has no peer to ask.
            if (node.Alive && ModelAlive(*fleet) > 2 && !ModelIsLastHolder(*fleet, Node))
            {
                ModelKill(fleet, Node);
            }
            break;
        case EventKind_Replace:
            // The platform takes an instance in while others can be reached; what is promised without them stands in docs/INVARIANTS.md.
            if (!node.Alive && fleet->Nodes[Node].Group == 0 && fleet->LosePercent < 20 && ModelCanReachHolder(*fleet, Node))
            {
                ModelReplace(fleet, Node);
                ModelRun(fleet, JoinTimeoutUs + UsPerSecond);
            }
            break;
        case EventKind_Pause:
            node.Paused = ModelAlive(*fleet) > 2;
            break;
        case EventKind_Wake:
            node.Paused = false;
            break;
        case EventKind_Cut:
            ModelCut(fleet, Number);
            break;
        case EventKind_Heal:
            ModelHeal(fleet);
            break;
        case EventKind_PlatformDown:
            fleet->Mode = ModelPlatform_Down;
            break;
        case EventKind_PlatformStale:
            fleet->Frozen = fleet->History[Number % fleet->History.size()]; // Any it ever had: older than what is in force, or not.
            fleet->Mode = ModelPlatform_Stale;
            break;
        case EventKind_PlatformOk:
            fleet->Mode = ModelPlatform_Ok;
            break;
        case EventKind_BadNetwork:
            fleet->LosePercent = static_cast<int>(Number % 60);
            fleet->MostDelayUs = static_cast<TimeUs>(Number % 2000) * UsPerMs;
            break;
        case EventKind_GoodNetwork:
            fleet->LosePercent = 5;
            fleet->MostDelayUs = 50 * UsPerMs;
            break;
        case EventKind_ListLags:
            fleet->List.pop_back();
            fleet->List.insert(fleet->List.begin(), Endpoint{0x7f000001, static_cast<uint16_t>(7000 + Node)});
            break;
        case EventKind_Report:
            ModelReport(fleet, Node, Number % 3, Number % 2 == 0);
            break;
        case EventKind_DrainTarget:
            ModelDrainTarget(fleet, Number % 3);
            break;
        default:
            ModelRestartTarget(fleet, Number % 3);
            break;
        }
    }

    void run(const EventModel& model, FleetModel& fleet) const override
    {
        (void)model;
        Happen(&fleet);
    }

    void show(std::ostream& out) const override
    {
        out << EventNames[Kind] << "(" << Node << ", " << Number << ")";
    }
};

static void PlayEvents(ModelFault_ fault)
{
    EventModel model;
    model.Nodes = static_cast<size_t>(*rc::gen::inRange(3, 8));
    FleetModel fleet;
    ModelStart(&fleet, model.Nodes, fault);
    ModelRun(&fleet, JoinTimeoutUs + 2 * UsPerSecond);
    rc::state::check(model, fleet, rc::state::gen::execOneOfWithArgs<Event>());
    ModelSettleAndCheck(&fleet);
}

//-----------------------------------------------------------------------------
// [SECTION] One by one
//-----------------------------------------------------------------------------

class AgreeTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(AgreeTest);
    CPPUNIT_TEST(AnyEvents);
    CPPUNIT_TEST(FindsSteppingBack);
    CPPUNIT_TEST(FindsForgottenLeaving);
    CPPUNIT_TEST(FindsAllReading);
    CPPUNIT_TEST(PlatformDownRightAfterOneRead);
    CPPUNIT_TEST(PlatformServesOlder);
    CPPUNIT_TEST(TwoContentsUnderOneRevision);
    CPPUNIT_TEST(FreshInstanceHearsPeersFirst);
    CPPUNIT_TEST(FindsFreshInstanceThatBelievesAtOnce);
    CPPUNIT_TEST(FreshInstanceWithNobody);
    CPPUNIT_TEST(EveryInstanceReplacedWithinAMinute);
    CPPUNIT_TEST(CutHealsWithDifferentRevisions);
    CPPUNIT_TEST(PlannedStopIsForgottenAtOnce);
    CPPUNIT_TEST(PauseIsNoticed);
    CPPUNIT_TEST(ReplayedMessagesChangeNothing);
    CPPUNIT_TEST(ReadersAreFew);
    CPPUNIT_TEST(InstancesOfARowFindEachOther);
    CPPUNIT_TEST(FindsViewsThatForgetThem);
    CPPUNIT_TEST_SUITE_END();

public:
    void AnyEvents()
    {
        CHECK_COSTLY_PROPERTY(50, "agreement under any events", []() { PlayEvents(ModelFault_None); });
    }

    void FindsSteppingBack()
    {
        CHECK_FINDS_FAULT("planted: steps back", []() { PlayEvents(ModelFault_StepsBack); });
    }

    void FindsForgottenLeaving()
    {
        CHECK_FINDS_FAULT("planted: forgets leaving", []() { PlayEvents(ModelFault_ForgetsLeaving); });
    }

    void FindsAllReading()
    {
        CHECK_FINDS_FAULT("planted: all read", []() { PlayEvents(ModelFault_AllRead); });
    }

    // Starts a settled fleet in a case of its own.
    static void WithFleet(size_t nodes, const std::function<void(FleetModel*)>& body)
    {
        CHECK_COSTLY_PROPERTY(10, "case",
                              [&]()
                              {
                                  FleetModel fleet;
                                  ModelStart(&fleet, nodes, ModelFault_None);
                                  ModelRun(&fleet, JoinTimeoutUs + 2 * UsPerSecond);
                                  body(&fleet);
                              });
    }

    void PlatformDownRightAfterOneRead()
    {
        WithFleet(6,
                  [](FleetModel* fleet)
                  {
                      ModelEdit(fleet);
                      fleet->Mode = ModelPlatform_Down;
                      CoordinatorOffer(&fleet->Nodes[3].Own, fleet->Live, fleet->Now);
                      ModelRun(fleet, 5 * UsPerSecond);
                      for (const ModelNode& node : fleet->Nodes)
                      {
                          RC_ASSERT(node.Own.Tables.Current->Version == fleet->Live->Version);
                      }
                      RC_ASSERT(fleet->Accepted == fleet->Live->Version);
                  });
    }

    void PlatformServesOlder()
    {
        WithFleet(5,
                  [](FleetModel* fleet)
                  {
                      fleet->Frozen = fleet->Live;
                      ModelEdit(fleet);
                      ModelRun(fleet, 5 * UsPerSecond);
                      fleet->Mode = ModelPlatform_Stale;
                      ModelRun(fleet, 10 * UsPerSecond);
                      for (const ModelNode& node : fleet->Nodes)
                      {
                          RC_ASSERT(node.Own.Tables.Current->Version == fleet->Live->Version);
                      }
                  });
    }

    void TwoContentsUnderOneRevision()
    {
        WithFleet(5,
                  [](FleetModel* fleet)
                  {
                      const TablePtr before = fleet->Live;
                      ModelEdit(fleet);
                      const TablePtr one = fleet->Live;
                      fleet->Live = before;
                      ModelEdit(fleet);
                      const TablePtr other = fleet->Live;
                      CoordinatorOffer(&fleet->Nodes[0].Own, one, fleet->Now);
                      CoordinatorOffer(&fleet->Nodes[1].Own, other, fleet->Now);
                      ModelRun(fleet, 10 * UsPerSecond);
                      uint64_t conflicts = 0;
                      for (const ModelNode& node : fleet->Nodes)
                      {
                          RC_ASSERT(node.Own.Tables.Current->Version == std::max(one->Version, other->Version));
                          conflicts += node.Own.Tables.Conflicts;
                      }
                      RC_ASSERT(one->Version == other->Version || conflicts > 0);
                  });
    }

    static void FreshBesideStalePlatform(ModelFault_ fault)
    {
        FleetModel fleet;
        ModelStart(&fleet, 5, fault);
        ModelRun(&fleet, JoinTimeoutUs + 2 * UsPerSecond);
        fleet.Frozen = fleet.Live;
        ModelEdit(&fleet);
        ModelRun(&fleet, 8 * UsPerSecond);
        fleet.Mode = ModelPlatform_Stale;
        ModelKill(&fleet, 2);
        ModelReplace(&fleet, 2);
        const ModelNode& fresh = fleet.Nodes[2];
        for (int step = 0; step < 100; step++)
        {
            ModelRun(&fleet, 50 * UsPerMs);
            const bool serves = fresh.Own.State == InstanceState_Serving;
            RC_ASSERT(!serves || fresh.Own.Tables.Current->Version == fleet.Live->Version);
        }
        RC_ASSERT(fresh.Own.State == InstanceState_Serving);
    }

    void FreshInstanceHearsPeersFirst()
    {
        CHECK_COSTLY_PROPERTY(10, "fresh instance, stale platform", []() { FreshBesideStalePlatform(ModelFault_None); });
    }

    void FindsFreshInstanceThatBelievesAtOnce()
    {
        CHECK_FINDS_FAULT("planted: believes the platform at once", []() { FreshBesideStalePlatform(ModelFault_BelievesPlatformAtOnce); });
    }

    // Alone it takes the platform's word, and says so.
    void FreshInstanceWithNobody()
    {
        WithFleet(1,
                  [](FleetModel* fleet)
                  {
                      RC_ASSERT(fleet->Nodes[0].Own.State == InstanceState_Serving);
                      RC_ASSERT(fleet->Nodes[0].Own.Tables.Alone);
                  });
    }

    void EveryInstanceReplacedWithinAMinute()
    {
        WithFleet(6,
                  [](FleetModel* fleet)
                  {
                      fleet->Frozen = fleet->Live;
                      ModelEdit(fleet);
                      ModelRun(fleet, 5 * UsPerSecond);
                      fleet->Mode = ModelPlatform_Stale;
                      for (size_t n = 0; n < fleet->Nodes.size(); n++)
                      {
                          ModelKill(fleet, n);
                          ModelReplace(fleet, n);
                          ModelRun(fleet, 9 * UsPerSecond);
                      }
                      for (const ModelNode& node : fleet->Nodes)
                      {
                          RC_ASSERT(node.Own.Tables.Current->Version == fleet->Live->Version);
                      }
                  });
    }

    void CutHealsWithDifferentRevisions()
    {
        WithFleet(6,
                  [](FleetModel* fleet)
                  {
                      ModelCut(fleet, 0x7);
                      fleet->Mode = ModelPlatform_Down;
                      ModelEdit(fleet);
                      CoordinatorOffer(&fleet->Nodes[0].Own, fleet->Live, fleet->Now);
                      ModelRun(fleet, 20 * UsPerSecond);
                      ModelEdit(fleet);
                      CoordinatorOffer(&fleet->Nodes[5].Own, fleet->Live, fleet->Now);
                      ModelRun(fleet, 20 * UsPerSecond);
                      RC_ASSERT(fleet->Nodes[1].Own.Tables.Current->Version.Revision == 2);
                      RC_ASSERT(fleet->Nodes[4].Own.Tables.Current->Version.Revision == 3);
                      ModelSettleAndCheck(fleet);
                      RC_ASSERT(fleet->Nodes[1].Own.Tables.Current->Version == fleet->Live->Version);
                  });
    }

    void PlannedStopIsForgottenAtOnce()
    {
        WithFleet(4,
                  [](FleetModel* fleet)
                  {
                      fleet->LosePercent = 0;
                      ModelRun(fleet, 3 * UsPerSecond);
                      std::vector<Envelope> out;
                      CoordinatorLeave(&fleet->Nodes[1].Own, fleet->Now, &out);
                      for (const Envelope& envelope : out)
                      {
                          fleet->Wire.push_back({fleet->Now, 1, envelope.To, envelope.Bytes});
                      }
                      ModelKill(fleet, 1);
                      ModelRun(fleet, 500 * UsPerMs);
                      const InstanceId gone = IdOfEndpoint(fleet->Nodes[1].Own.Members.Config.Self);
                      for (size_t n : {size_t(0), size_t(2), size_t(3)})
                      {
                          for (const Peer& peer : fleet->Nodes[n].Own.Members.Peers)
                          {
                              RC_ASSERT(peer.Id != gone);
                          }
                      }
                  });
    }

    void PauseIsNoticed()
    {
        WithFleet(4,
                  [](FleetModel* fleet)
                  {
                      Coordinator* paused = &fleet->Nodes[1].Own;
                      RC_ASSERT(CoordinatorCaughtUp(*paused, fleet->Now));
                      fleet->Nodes[1].Paused = true;
                      ModelRun(fleet, 3 * UsPerSecond);
                      RC_ASSERT(!CoordinatorCaughtUp(*paused, fleet->Now)); // Before it has ticked once.
                      std::vector<Envelope> out;
                      CoordinatorTick(paused, fleet->Now, &out);
                      RC_ASSERT(!CoordinatorCaughtUp(*paused, fleet->Now)); // Before it has heard anybody.
                      RC_ASSERT(paused->Pauses == 1);
                      fleet->Nodes[1].Paused = false;
                      ModelRun(fleet, 2 * UsPerSecond);
                      RC_ASSERT(CoordinatorCaughtUp(*paused, fleet->Now));
                  });
    }

    void ReplayedMessagesChangeNothing()
    {
        WithFleet(3,
                  [](FleetModel* fleet)
                  {
                      std::vector<Envelope> recorded;
                      Coordinator* sender = &fleet->Nodes[0].Own;
                      sender->NextBeatUs = fleet->Now;
                      CoordinatorTick(sender, fleet->Now, &recorded);
                      RC_ASSERT(!recorded.empty());
                      const size_t to = recorded[0].To.Port - 7000U;
                      Coordinator* receiver = &fleet->Nodes[to].Own;
                      std::vector<Envelope> ignored;
                      RC_ASSERT(CoordinatorReceive(receiver, recorded[0].Bytes, fleet->Now, &ignored).has_value());
                      RC_ASSERT(!CoordinatorReceive(receiver, recorded[0].Bytes, fleet->Now, &ignored).has_value());
                      // The sender dies and is forgotten: its old message does not bring it back.
                      ModelKill(fleet, 0);
                      ModelRun(fleet, 12 * UsPerSecond);
                      const size_t peers = receiver->Members.Peers.size();
                      RC_ASSERT(!CoordinatorReceive(receiver, recorded[0].Bytes, fleet->Now, &ignored).has_value());
                      RC_ASSERT(receiver->Members.Peers.size() == peers);
                  });
    }

    void ReadersAreFew()
    {
        WithFleet(12,
                  [](FleetModel* fleet)
                  {
                      ModelRun(fleet, 10 * UsPerSecond);
                      int readers = 0;
                      for (const ModelNode& node : fleet->Nodes)
                      {
                          readers += node.Own.Members.AskedUs != 0 ? 1 : 0;
                      }
                      RC_ASSERT(readers >= 2 && readers <= 6);
                      // All readers die: others step in.
                      for (size_t n = 0; n < fleet->Nodes.size(); n++)
                      {
                          if (fleet->Nodes[n].Own.Members.AskedUs != 0)
                          {
                              ModelKill(fleet, n);
                          }
                      }
                      ModelRun(fleet, 25 * UsPerSecond);
                      const uint64_t before = fleet->PlatformCalls;
                      ModelRun(fleet, 5 * UsPerSecond);
                      RC_ASSERT(fleet->PlatformCalls > before);
                  });
    }

    // In a fleet many times larger than a view, those who serve a row with us are found and kept.
    void InstancesOfARowFindEachOther()
    {
        ViewsPlan plan;
        plan.ViewMax = 16;
        plan.RowNumbers = 6;
        const ViewsResult result = PlayViews(plan);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(result.KnownLeast), result.KnownLeast > 0.95);
    }

    // Planted: views that prefer nobody.
    void FindsViewsThatForgetThem()
    {
        ViewsPlan plan;
        plan.ViewMax = 16;
        plan.RowNumbers = 6;
        plan.KeepSharing = false;
        CPPUNIT_ASSERT(PlayViews(plan).KnownLeast < 0.5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgreeTest);

} // namespace Winchlink
