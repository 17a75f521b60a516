// table_adapter_test.cpp: the table adapter: rows, header names and the status page. Guards against invalid or removed rows that take
// effect or stay in force, and against retries of requests that may have run.

#include "gateway_rig.h"
#include "pages.h"
#include "table_adapter.h"
#include "winchlink_internal.h"

#include <fmt/format.h>

namespace Winchlink
{

// A rig whose store serves a table.
struct TableRig : Rig
{
    ServiceRow Row = MakeRow("loans", 0);

    TableRig()
    {
        Store.ServesTable = true;
        Row.RetryMethods = {"GET"};
        Row.HealthPath = "/health";
    }
};

// Starts a target and adds it to the row; the caller publishes the row.
static UsersTarget& AddTarget(TableRig* rig)
{
    rig->Targets.push_back(std::make_unique<UsersTarget>());
    UsersTarget& target = *rig->Targets.back();
    target.Names = WireNames();
    CPPUNIT_ASSERT(UsersTargetStart(&target, &rig->Loop, fmt::format("t{}", rig->Targets.size()), FreeAddress()));
    rig->Row.Targets.push_back({target.Address, "dc-a", 1, target.Slots});
    return target;
}

static void Publish(TableRig* rig)
{
    UsersStorePutRow(&rig->Store, rig->Row);
}

static bool Holds(const Gateway& instance, uint64_t revision)
{
    return instance.Requests.Plan && instance.Requests.Plan->Version == revision;
}

static void AwaitRevision(TableRig* rig, const Gateway& instance)
{
    CPPUNIT_ASSERT(RigRunUntil(rig, [&]() { return Holds(instance, rig->Store.Revision); }));
}

static Gateway& StartInstance(TableRig* rig)
{
    Publish(rig);
    Gateway& instance = RigStart(rig);
    AwaitRevision(rig, instance);
    return instance;
}

static RigAnswerPtr Send(TableRig* rig, const Gateway& instance, const std::string& method, const std::vector<Header>& headers)
{
    ClientRequest request;
    request.Method = method;
    request.Target = "/loans/7";
    request.Headers = headers;
    return RigSendRequest(rig, instance, std::move(request));
}

static ClientAnswer Ask(TableRig* rig, const Gateway& instance, const std::string& method = "GET",
                        const std::vector<Header>& headers = {{"X-Request-Id", "id-1"}})
{
    const RigAnswerPtr answer = Send(rig, instance, method, headers);
    CPPUNIT_ASSERT(RigRunUntil(rig, [&]() { return answer->Done; }));
    return answer->Answer;
}

static std::string HeaderOf(const ClientAnswer& answer, const std::string& name)
{
    const std::string* value = FindHeader(answer.Headers, name);
    return value != nullptr ? *value : "";
}

class TableAdapterTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(TableAdapterTest);
    CPPUNIT_TEST(ServesATable);
    CPPUNIT_TEST(ReadsPagesOfRows);
    CPPUNIT_TEST(ATargetOfWeightZeroGetsNoRequests);
    CPPUNIT_TEST(ATargetMayBeRemovedAndAddedAgain);
    CPPUNIT_TEST(AnInvalidTableNeverTakesEffect);
    CPPUNIT_TEST(ConflictingRowsAreRefused);
    CPPUNIT_TEST(RemovedRowsAreNoLongerServed);
    CPPUNIT_TEST(AnEvacuationTakesEffectBesideInvalidRows);
    CPPUNIT_TEST(MalformedTablesAreRefused);
    CPPUNIT_TEST(WeightsDecideWhichTargetIsTriedFirst);
    CPPUNIT_TEST(MethodsDecideWhatIsRetried);
    CPPUNIT_TEST(AnUnknownOutcomeBehindAnotherInstanceStaysUnknown);
    CPPUNIT_TEST(ARowsLimitsHold);
    CPPUNIT_TEST(TargetsAreNotProbedWithoutAHealthPath);
    CPPUNIT_TEST(BadDeadlinesAreRefused);
    CPPUNIT_TEST(RequestsWithoutAnIdGetOne);
    CPPUNIT_TEST(TheStatusPageShowsWhyATargetIsAvoided);
    CPPUNIT_TEST_SUITE_END();

    void ServesATable()
    {
        TableRig rig;
        UsersTarget& target = AddTarget(&rig);
        const Gateway& instance = StartInstance(&rig);
        const ClientAnswer answer = Ask(&rig, instance);
        CPPUNIT_ASSERT_EQUAL(200, answer.Status);
        CPPUNIT_ASSERT_EQUAL(std::string("id-1"), HeaderOf(answer, "X-Request-Id"));
        CPPUNIT_ASSERT_EQUAL(std::string("t1 ran GET /loans/7 with 0 bytes"), answer.Body);
        CPPUNIT_ASSERT(FindHeader(target.Saw.at(0).Headers, "X-Deadline-Ms") != nullptr);
    }

    void ReadsPagesOfRows()
    {
        TableRig rig;
        AddTarget(&rig);
        rig.Store.PageItems = 3;
        for (int n = 0; n < 10; n++)
        {
            ServiceRow other = MakeRow(fmt::format("other-{}", n));
            UsersStorePutRow(&rig.Store, other);
        }
        const Gateway& instance = StartInstance(&rig);
        CPPUNIT_ASSERT_EQUAL(size_t{11}, instance.Requests.Plan->Routes.size());
    }

    void ATargetOfWeightZeroGetsNoRequests()
    {
        TableRig rig;
        const UsersTarget& leaving = AddTarget(&rig);
        AddTarget(&rig);
        const Gateway& instance = StartInstance(&rig);
        rig.Row.Targets[0].Weight = 0;
        Publish(&rig);
        AwaitRevision(&rig, instance);
        const size_t before = leaving.Saw.size();
        for (int n = 0; n < 20; n++)
        {
            CPPUNIT_ASSERT_EQUAL(200, Ask(&rig, instance).Status);
        }
        CPPUNIT_ASSERT_EQUAL(before, leaving.Saw.size());
        rig.Row.Targets[1].Weight = 0; // Not even as the last choice.
        Publish(&rig);
        AwaitRevision(&rig, instance);
        CPPUNIT_ASSERT_EQUAL(503, Ask(&rig, instance).Status);
        CPPUNIT_ASSERT_EQUAL(before, leaving.Saw.size());
    }

    void ATargetMayBeRemovedAndAddedAgain()
    {
        TableRig rig;
        const UsersTarget& target = AddTarget(&rig);
        const Gateway& instance = StartInstance(&rig);
        for (int round = 0; round < 3; round++)
        {
            rig.Row.Targets[0].Weight = 0;
            Publish(&rig);
            AwaitRevision(&rig, instance);
            CPPUNIT_ASSERT_EQUAL(503, Ask(&rig, instance).Status);
            rig.Row.Targets[0].Weight = 1;
            Publish(&rig);
            AwaitRevision(&rig, instance);
            CPPUNIT_ASSERT_EQUAL(200, Ask(&rig, instance).Status);
        }
        CPPUNIT_ASSERT_EQUAL(size_t{3}, target.Saw.size());
        CPPUNIT_ASSERT_EQUAL(size_t{1}, instance.Requests.Directory.Targets.size()); // No earlier entries are left.
    }

    void AnInvalidTableNeverTakesEffect()
    {
        TableRig rig;
        AddTarget(&rig);
        const Gateway& instance = StartInstance(&rig);
        const uint64_t good = rig.Store.Revision;
        ServiceRow other = MakeRow("other");
        UsersStorePut(&rig.Store, "loans", R"({"name": "loans", "pathPrefix": "loans", "targets": []})");
        UsersStorePutRow(&rig.Store, other); // Valid itself, but part of an invalid table.
        // Changes are decoded shortly after they were received.
        CPPUNIT_ASSERT(
            RigRunUntil(&rig, [&]() { return instance.Store.Following.Revision == rig.Store.Revision && !instance.Invalid.empty(); }));
        CPPUNIT_ASSERT(Holds(instance, good));
        CPPUNIT_ASSERT_EQUAL(200, Ask(&rig, instance).Status);
        Publish(&rig);
        AwaitRevision(&rig, instance);
        CPPUNIT_ASSERT_EQUAL(size_t{2}, instance.Requests.Plan->Routes.size());
        CPPUNIT_ASSERT(instance.Invalid.empty());
    }

    void ConflictingRowsAreRefused()
    {
        TableRig rig;
        AddTarget(&rig);
        const Gateway& instance = StartInstance(&rig);
        const uint64_t good = rig.Store.Revision;
        ServiceRow other = MakeRow("other");
        other.PathPrefix = rig.Row.PathPrefix;
        UsersStorePutRow(&rig.Store, other);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return instance.Store.Following.Revision == rig.Store.Revision; }));
        CPPUNIT_ASSERT(Holds(instance, good));
        UsersStoreRemove(&rig.Store, "other");
        AwaitRevision(&rig, instance);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, instance.Requests.Plan->Routes.size());
    }

    void RemovedRowsAreNoLongerServed()
    {
        TableRig rig;
        AddTarget(&rig);
        const Gateway& instance = StartInstance(&rig);
        CPPUNIT_ASSERT_EQUAL(200, Ask(&rig, instance).Status);
        UsersStoreRemove(&rig.Store, "loans");
        AwaitRevision(&rig, instance);
        const ClientAnswer answer = Ask(&rig, instance);
        CPPUNIT_ASSERT_EQUAL(404, answer.Status);
        CPPUNIT_ASSERT_EQUAL(std::string(NotRun), HeaderOf(answer, "X-Winchlink-Run"));
        CPPUNIT_ASSERT_EQUAL(std::string("2002"), HeaderOf(answer, "X-Winchlink-Code"));
        CPPUNIT_ASSERT(instance.Requests.Directory.Targets.empty());
    }

    void AnEvacuationTakesEffectBesideInvalidRows()
    {
        TableRig rig;
        rig.Store.PageItems = 1; // The evacuation is on a page of its own.
        AddTarget(&rig);
        const std::string data_centre = "dc-a";
        const Gateway& instance = StartInstance(&rig);
        CPPUNIT_ASSERT_EQUAL(200, Ask(&rig, instance).Status);
        UsersStorePut(&rig.Store, "loans", "{}"); // Not a valid row.
        UsersStoreEvacuate(&rig.Store, data_centre);
        const auto evacuated = [&]()
        {
            return instance.Requests.Services.at("loans").Pool.Evacuated == 1;
        };
        CPPUNIT_ASSERT(RigRunUntil(&rig, evacuated));
        const ClientAnswer refused = Ask(&rig, instance);
        CPPUNIT_ASSERT_EQUAL(503, refused.Status);
        CPPUNIT_ASSERT_EQUAL(std::to_string(Code_TargetsEvacuated), HeaderOf(refused, HeaderCode));
        Publish(&rig);
        const Gateway& started = RigStart(&rig); // Reads page by page.
        AwaitRevision(&rig, started);
        CPPUNIT_ASSERT_EQUAL(503, Ask(&rig, started).Status);
        UsersStoreEndEvacuation(&rig.Store, data_centre);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return !evacuated(); }));
        CPPUNIT_ASSERT_EQUAL(200, Ask(&rig, instance).Status);
    }

    void MalformedTablesAreRefused()
    {
        const StoreDialect dialect = TableAdapter().Dialect;
        for (const char* bad : {"", "[]", "{}", R"({"at": 0, "rows": []})", R"({"at": 1, "rows": {}})"})
        {
            CPPUNIT_ASSERT_MESSAGE(bad, !dialect.ReadPage(bad).has_value());
        }
        // An unreadable item doesn't affect others: it is reported, and has no key or an invalid row.
        for (const char* nameless : {R"({"at": 1, "rows": [1]})", R"({"at": 1, "rows": [{"row": {}, "revision": 1}]})"})
        {
            const Result<StorePage> read = dialect.ReadPage(nameless);
            CPPUNIT_ASSERT_MESSAGE(nameless, read.has_value() && read.value().Items.empty());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(nameless, size_t{1}, read.value().ItemsWithoutKey.size());
        }
        const Result<StorePage> no_row = dialect.ReadPage(R"({"at": 1, "rows": [{"name": "a", "revision": 1}]})");
        CPPUNIT_ASSERT(no_row.has_value());
        const StoreUpdates of_no_row = TableAdapter().Read({no_row.value().Items, 1, true, 0});
        CPPUNIT_ASSERT(!of_no_row.Plan && of_no_row.Invalid.size() == 1 && of_no_row.Targets.empty());
        const Result<StorePage> page = dialect.ReadChanges(R"({"at": 5, "rows": [{"name": "a", "revision": 4, "gone": true}]})");
        CPPUNIT_ASSERT(page.has_value() && page.value().Items.at(0).Gone);
        StoreItem misnamed;
        misnamed.Key = "a";
        misnamed.Value = FormatRow(MakeRow("b"));
        misnamed.Revision = 1;
        const StoreUpdates updates = TableAdapter().Read({{misnamed}, 1, true, 0});
        CPPUNIT_ASSERT(!updates.Plan && updates.Invalid.size() == 1);
    }

    void WeightsDecideWhichTargetIsTriedFirst()
    {
        TargetDirectory directory;
        for (int n = 0; n < 2; n++)
        {
            DirectoryTarget target;
            target.Id = fmt::format("t{}", n);
            target.Service = "svc";
            target.Weight = n == 0 ? 9 : 1;
            DirectoryPut(&directory, target, 0);
        }
        Random random(7);
        int heavy = 0;
        int heavy_unasked = 0;
        constexpr int instances = 2000;
        for (int n = 0; n < instances; n++)
        {
            TargetPool pool;
            PoolSync(&pool, DirectoryByService(directory)["svc"], "", &random);
            heavy += PoolNext(&pool, {}, false, UsPerSecond)->Id == "t0" ? 1 : 0;
            heavy_unasked += PoolNextUnprobed(&pool, {}, false, UsPerSecond, &random)->Id == "t0" ? 1 : 0;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, static_cast<double>(heavy) / instances, 0.03);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, static_cast<double>(heavy_unasked) / instances, 0.03);
    }

    void MethodsDecideWhatIsRetried()
    {
        TableRig rig;
        UsersTarget& first = AddTarget(&rig);
        UsersTarget& second = AddTarget(&rig);
        const Gateway& instance = StartInstance(&rig);
        first.Script = {TargetAct_Failed};
        second.Script = {TargetAct_Failed};
        const ClientAnswer write = Ask(&rig, instance, "POST", {{"X-Request-Id", "write"}});
        CPPUNIT_ASSERT_EQUAL(500, write.Status); // The target's own answer.
        CPPUNIT_ASSERT_EQUAL(1, RigRunCount(rig, "write"));
        const ClientAnswer read = Ask(&rig, instance, "GET", {{"X-Request-Id", "read"}});
        CPPUNIT_ASSERT_EQUAL(200, read.Status);
    }

    // A target behind another winchlink instance passes on that instance's headers.
    void AnUnknownOutcomeBehindAnotherInstanceStaysUnknown()
    {
        TableRig rig;
        UsersTarget& target = AddTarget(&rig);
        target.Names.NotExecuted = "X-Other";                     // It refuses with a plain 503,
        target.Names.Load = "X-Winchlink-Run: unknown\r\nX-Load"; // and every answer says that the outcome is unknown.
        rig.Row.HealthPath = "";
        const Gateway& instance = StartInstance(&rig);
        target.Script = {TargetAct_RefuseUnmarked};
        const ClientAnswer answer = Ask(&rig, instance, "POST", {{"X-Request-Id", "deep"}});
        CPPUNIT_ASSERT_EQUAL(502, answer.Status);
        CPPUNIT_ASSERT_EQUAL(std::string(OutcomeUnknown), HeaderOf(answer, "X-Winchlink-Run"));
        CPPUNIT_ASSERT_EQUAL(1, RigRunCount(rig, "deep"));
    }

    void ARowsLimitsHold()
    {
        TableRig rig;
        UsersTarget& target = AddTarget(&rig);
        target.WorkUs = 300 * UsPerMs;
        target.Slots = 8;
        rig.Row.Targets[0].Slots = 8;
        rig.Row.RequestsPerInstance = 2;
        const Gateway& instance = StartInstance(&rig);
        std::vector<RigAnswerPtr> answers;
        constexpr int asked = 5;
        answers.reserve(asked);
        for (int n = 0; n < asked; n++)
        {
            answers.push_back(Send(&rig, instance, "GET", {{"X-Request-Id", std::to_string(n)}}));
        }
        CPPUNIT_ASSERT(
            RigRunUntil(&rig, [&]() { return std::all_of(answers.begin(), answers.end(), [](const auto& a) { return a->Done; }); }));
        const auto served = std::count_if(answers.begin(), answers.end(), [](const auto& a) { return a->Answer.Status == 200; });
        const auto limited =
            std::count_if(answers.begin(), answers.end(), [](const auto& a) { return HeaderOf(a->Answer, "X-Winchlink-Code") == "2003"; });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, served);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, limited);
        rig.Row.RequestsPerInstance = 0;
        rig.Row.ConnectionsPerInstance = 1;
        Publish(&rig);
        AwaitRevision(&rig, instance);
        const RigAnswerPtr first = Send(&rig, instance, "GET", {{"X-Request-Id", "a"}});
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return target.Running == 1; }));
        const ClientAnswer second = Ask(&rig, instance, "GET", {{"X-Request-Id", "b"}});
        CPPUNIT_ASSERT(first->Done || second.Status == 503); // Never two at a time.
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return first->Done; }));
        CPPUNIT_ASSERT_EQUAL(200, first->Answer.Status);
    }

    void TargetsAreNotProbedWithoutAHealthPath()
    {
        TableRig rig;
        const UsersTarget& target = AddTarget(&rig);
        rig.Row.HealthPath = "";
        const Gateway& instance = StartInstance(&rig);
        for (int n = 0; n < 10; n++)
        {
            CPPUNIT_ASSERT_EQUAL(200, Ask(&rig, instance).Status);
        }
        CPPUNIT_ASSERT_EQUAL(0, target.HealthAsked); // Without a health path there are no probes.
    }

    void BadDeadlinesAreRefused()
    {
        TableRig rig;
        AddTarget(&rig);
        const Gateway& instance = StartInstance(&rig);
        for (const char* bad : {"soon", "", "5s", "-1", "nan", "inf"})
        {
            const ClientAnswer answer = Ask(&rig, instance, "GET", {{"X-Deadline-Ms", bad}});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bad, 400, answer.Status);
            CPPUNIT_ASSERT_EQUAL(std::string("2201"), HeaderOf(answer, "X-Winchlink-Code"));
            CPPUNIT_ASSERT_EQUAL(std::string(NotRun), HeaderOf(answer, "X-Winchlink-Run"));
        }
        CPPUNIT_ASSERT_EQUAL(200, Ask(&rig, instance, "GET", {{"X-Deadline-Ms", "800.5"}}).Status);
        CPPUNIT_ASSERT_EQUAL(200, Ask(&rig, instance, "GET", {{"X-Deadline-Ms", "99999999999999999999"}}).Status);
    }

    void RequestsWithoutAnIdGetOne()
    {
        TableRig rig;
        const UsersTarget& target = AddTarget(&rig);
        const Gateway& instance = StartInstance(&rig);
        CPPUNIT_ASSERT_EQUAL(200, Ask(&rig, instance, "GET", {}).Status);
        CPPUNIT_ASSERT_EQUAL(200, Ask(&rig, instance, "GET", {}).Status);
        CPPUNIT_ASSERT_EQUAL(std::string("test-1"), target.Saw.at(0).Id);
        CPPUNIT_ASSERT_EQUAL(std::string("test-2"), target.Saw.at(1).Id);
    }

    void TheStatusPageShowsWhyATargetIsAvoided()
    {
        TableRig rig;
        UsersTarget& target = AddTarget(&rig);
        const Gateway& instance = StartInstance(&rig);
        target.Ill = true;
        CPPUNIT_ASSERT_EQUAL(503, Ask(&rig, instance).Status);
        std::vector<Fault> faults;
        const JsonPtr page = LoadJson(StatusText(instance), PlatformCodes, &faults);
        CPPUNIT_ASSERT(page != nullptr);
        json_t* service = json_array_get(json_object_get(page.get(), "services"), 0);
        json_t* listed = json_array_get(json_object_get(service, "targets"), 0);
        const std::string why = json_string_value(json_object_get(listed, "why"));
        CPPUNIT_ASSERT_EQUAL(std::string("avoided after"), why.substr(0, 13));
        CPPUNIT_ASSERT(json_is_true(json_object_get(json_object_get(page.get(), "instance"), "serving")));
        CPPUNIT_ASSERT_EQUAL(json_int_t{1}, json_integer_value(json_object_get(json_object_get(service, "ended"), "TargetsBusy")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableAdapterTest);

} // namespace Winchlink
