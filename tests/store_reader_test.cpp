// store_reader_test.cpp: decoding of the platform's store format, and reading the store. Guards against invalid data that is accepted or
// that hides valid data, and against missed pages.

#include "clock.h"
#include "gateway_rig.h"
#include "wire.h"

#include <chrono>
#include <fmt/format.h>
#include <thread>

namespace Winchlink
{

static const char* const GoodPlan =
    R"({"version":"0000000c","routes":[{"name":"r","host":"h.example","pathPrefix":"/p/","type":"unsafe","timeoutS":1.2,)"
    R"("targetLatencyS":0.3,"priority":1,"service":"s","maxAttempts":2},{"name":"q","host":"h.example","pathPrefix":"/q/","type":"safe",)"
    R"("timeoutS":1,"targetLatencyS":0.25,"priority":2,"backends":[{"service":"s","weight":90},{"service":"u","weight":10}],)"
    R"("maxAttempts":3,"later":"unknown"}],"services":[{"name":"s","healthPath":"/health","maxConnections":260,"protocol":"h1"}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}})";

class StoreReaderTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreReaderTest);
    CPPUNIT_TEST(ReadsPlans);
    CPPUNIT_TEST(KnowsWhichTypesAreRetryable);
    CPPUNIT_TEST(RefusesIncompletePlans);
    CPPUNIT_TEST(ReadsWarmupRates);
    CPPUNIT_TEST(ReadsTargets);
    CPPUNIT_TEST(ReadsPagesAndChanges);
    CPPUNIT_TEST(ReadsAllPages);
    CPPUNIT_TEST(BatchesChanges);
    CPPUNIT_TEST(DataThatWasReadLateIsNotCurrent);
    CPPUNIT_TEST_SUITE_END();

    void ReadsPlans()
    {
        const Result<RoutePlan> plan = PlatformReadPlan(GoodPlan);
        CPPUNIT_ASSERT(bool(plan));
        CPPUNIT_ASSERT_EQUAL(uint64_t{12}, plan.value().Version);
        const Route& first = plan.value().Routes[0];
        CPPUNIT_ASSERT_EQUAL(TimeUs{1200000}, first.TimeoutUs);
        CPPUNIT_ASSERT_EQUAL(TimeUs{300000}, first.LatencyObjectiveUs);
        CPPUNIT_ASSERT(!first.Retryable);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, first.Parts.size());
        const Route& second = plan.value().Routes[1];
        CPPUNIT_ASSERT(second.Retryable);
        CPPUNIT_ASSERT_EQUAL(90, second.Parts[0].Weight);
        CPPUNIT_ASSERT_EQUAL(std::string("u"), second.Parts[1].Service);
        CPPUNIT_ASSERT_EQUAL(3, second.AttemptsMax);
        CPPUNIT_ASSERT_EQUAL(std::string("/health"), plan.value().Services[0].HealthPath);
        CPPUNIT_ASSERT_EQUAL(TimeUs{15000000}, plan.value().Limits.IdleTimeoutUs);
    }

    void KnowsWhichTypesAreRetryable()
    {
        for (const auto& [type, repeatable] :
             std::map<std::string, bool>{{"safe", true}, {"download", true}, {"unsafe", false}, {"upload", false}, {"other", false}})
        {
            std::string text = GoodPlan;
            text.replace(text.find("unsafe"), std::string("unsafe").size(), type);
            const Result<RoutePlan> plan = PlatformReadPlan(text);
            CPPUNIT_ASSERT_MESSAGE(type, bool(plan));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(type, repeatable, plan.value().Routes[0].Retryable);
        }
    }

    void RefusesIncompletePlans()
    {
        const std::string good = GoodPlan;
        for (const char* key : {"version", "host", "pathPrefix", "type", "timeoutS", "targetLatencyS", "priority", "maxAttempts",
                                "healthPath", "weight", "limits", "idleTimeoutS", "routes", "services"})
        {
            std::string without = good;
            const size_t at = without.find(fmt::format("\"{}\"", key));
            CPPUNIT_ASSERT(at != std::string::npos);
            without.replace(at + 1, 1, "?");
            const Result<RoutePlan> plan = PlatformReadPlan(without);
            CPPUNIT_ASSERT_MESSAGE(key, !plan);
            CPPUNIT_ASSERT_EQUAL(Code_PlatformBadAnswer, plan.error().Code);
        }
        for (size_t length = 0; length < good.size(); length += 7)
        {
            CPPUNIT_ASSERT(!PlatformReadPlan(good.substr(0, length)));
        }
    }

    void ReadsWarmupRates()
    {
        const std::string service = R"({"name":"s","healthPath":"/h","maxConnections":9,"warmupS":3.0,"warmupPerS":2.5})";
        const std::string plan = R"({"version":"00000007","routes":[],"services":[)" + service +
                                 R"(],"limits":{"maxHeaderBytes":1,"maxBodyBytes":1,"headerTimeoutS":3,"idleTimeoutS":15}})";
        const Result<RoutePlan> read = PlatformReadPlan(plan);
        CPPUNIT_ASSERT(bool(read));
        CPPUNIT_ASSERT_EQUAL(2.5, read.value().Services.at(0).ColdPerS);
        CPPUNIT_ASSERT_EQUAL(3 * UsPerSecond, read.value().Services.at(0).ColdUs);
        std::string without = plan;
        without.erase(without.find(R"(,"warmupS")"), std::string(R"(,"warmupS":3.0,"warmupPerS":2.5)").size());
        CPPUNIT_ASSERT_EQUAL(0.0, PlatformReadPlan(without).value().Services.at(0).ColdPerS);
        std::string wrong = plan;
        wrong.replace(wrong.find("2.5"), 3, "\"x\"");
        CPPUNIT_ASSERT(!PlatformReadPlan(wrong));
    }

    void ReadsTargets()
    {
        StoreItem item;
        item.Key = "servers/i-1";
        item.Revision = 44;
        item.Value = R"({"address":"10.128.0.9:8080","info":{"service":"s","version":"v1","zone":"z","capacity":3},)"
                     R"("status":{"state":"ready","sequence":4,"warmupLeftS":1.5}})";
        const Result<DirectoryTarget> ready = PlatformReadTarget(item, UsPerSecond);
        CPPUNIT_ASSERT(bool(ready));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), ready.value().Id);
        CPPUNIT_ASSERT_EQUAL(std::string("z"), ready.value().DataCentre);
        CPPUNIT_ASSERT_EQUAL(TimeUs{2500000}, ready.value().ColdUntilUs);
        CPPUNIT_ASSERT_EQUAL(Presence_Ready, ready.value().Presence);
        item.Value.replace(item.Value.find("\"ready\""), 7, "\"draining\"");
        CPPUNIT_ASSERT_EQUAL(Presence_Draining, PlatformReadTarget(item, 0).value().Presence);
        item.Value.replace(item.Value.find("10.128.0.9:8080"), 15, "nowhere");
        CPPUNIT_ASSERT(!PlatformReadTarget(item, 0));
        CPPUNIT_ASSERT_EQUAL(PlatformItem_Target, PlatformItemKind("servers/i-1"));
        CPPUNIT_ASSERT_EQUAL(PlatformItem_Plan, PlatformItemKind("op/config"));
        CPPUNIT_ASSERT_EQUAL(PlatformItem_Evacuation, PlatformItemKind("op/evacuate/salle"));
        CPPUNIT_ASSERT_EQUAL(PlatformItem_None, PlatformItemKind("op/config2"));
    }

    void ReadsPagesAndChanges()
    {
        const StoreDialect dialect = PlatformStoreDialect();
        const Result<StorePage> page = dialect.ReadPage(
            R"({"items":[{"privateKey":"my/leader","value":"bm9kZS0x","revision":412,"made":412,"lease":0}],"more":true,"at":530})");
        CPPUNIT_ASSERT(bool(page));
        CPPUNIT_ASSERT(page.value().More);
        CPPUNIT_ASSERT_EQUAL(uint64_t{530}, page.value().Revision);
        CPPUNIT_ASSERT_EQUAL(std::string("node-1"), page.value().Items[0].Value);
        const Result<StorePage> changes =
            dialect.ReadChanges(R"({"events":[{"privateKey":"my/old","revision":413,"gone":true}],"at":413})");
        CPPUNIT_ASSERT(bool(changes) && changes.value().Items[0].Gone);
        for (const char* bad : {"", "[]", "{}", R"({"items":[]})"})
        {
            CPPUNIT_ASSERT_MESSAGE(bad, !dialect.ReadPage(bad));
        }
        // An invalid item does not affect others: it has a key, no value, and a revision by which it replaces the previous value.
        for (const char* unreadable : {R"({"items":[{"privateKey":"servers/k"}],"at":7})",
                                       R"({"items":[{"privateKey":"servers/k","value":"%%","revision":7}],"at":9})"})
        {
            const Result<StorePage> read = dialect.ReadPage(unreadable);
            CPPUNIT_ASSERT_MESSAGE(unreadable, read.has_value() && read.value().Items.size() == 1);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(unreadable, uint64_t{7}, read.value().Items[0].Revision);
            CPPUNIT_ASSERT_MESSAGE(unreadable, read.value().Items[0].Value.empty() && !read.value().Items[0].Gone);
            const StoreUpdates updates = PlatformAdapter().Read({read.value().Items, read.value().Revision, true, 0});
            CPPUNIT_ASSERT_MESSAGE(unreadable, updates.Invalid.size() == 1 && updates.Targets.size() == 1 && updates.Targets[0].Gone);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("/kv-watch?pathPrefix=&after=7&waitMs=5000"), dialect.ChangesTarget(7, 5 * UsPerSecond));
        CPPUNIT_ASSERT_EQUAL(std::string("/kv-range?pathPrefix=&after=servers%2Fi%2D1"), dialect.PageTarget("servers/i-1"));
    }

    void ReadsAllPages()
    {
        Rig rig;
        rig.Store.PageItems = 7;
        for (int n = 0; n < 50; n++)
        {
            UsersStoreTarget(&rig.Store, fmt::format("t{}", n), "svc", fmt::format("127.0.0.1:{}", 1000 + n), "dc-a");
        }
        RigConfigure(&rig, {UsersRoute()});
        RigInstance(&rig, 50);
        CPPUNIT_ASSERT(rig.Store.PageCalls >= 8);
    }

    void BatchesChanges()
    {
        Rig rig;
        RigConfigure(&rig, {UsersRoute()});
        Gateway& instance = RigInstance(&rig, 0);
        instance.Store.FromStore.BatchUs = 3 * UsPerSecond; // Longer than all changes take, also on a busy machine.
        const int calls = rig.Store.Calls;
        for (int n = 0; n < 20; n++)
        {
            UsersStoreTarget(&rig.Store, fmt::format("t{}", n), "svc", fmt::format("127.0.0.1:{}", 1000 + n), "dc-a");
            RigRunFor(&rig, UsPerMs);
        }
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return instance.Requests.Directory.Targets.size() == 20; }));
        CPPUNIT_ASSERT(rig.Store.Calls - calls <= 4); // For 20 changes, as they are batched.
    }

    // Guards against an instance that was stopped, reads an old answer of the store, and tells its followers that its data is current: they
    // then keep removed targets for too long.
    void DataThatWasReadLateIsNotCurrent()
    {
        Rig rig;
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 0);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return !rig.Store.Waits.empty(); }));
        const TimeUs answered = NowUs();
        RigTarget(&rig, "t1"); // The store answers the long poll.
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return instance.Store.Following.Revision == rig.Store.Revision; }));
        CPPUNIT_ASSERT(instance.Store.Following.FreshUs <= answered);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReaderTest);

} // namespace Winchlink
