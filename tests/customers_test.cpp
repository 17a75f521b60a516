// customers_test.cpp: customers and their API keys.
//
// Guards against callers that are served with an unknown or revoked key, and against keys that reach targets, other instances or pages.

#include "call.h"
#include "caller_key.h"
#include "clock.h"
#include "gateway_rig.h"
#include "pages.h"

#include <fmt/format.h>

namespace Winchlink
{

static const std::string AnnesKey = "annes-secret-key-0123456789";
static const std::string BensKey = "bens-secret-key-9876543210";

static const UsersCustomer Anne = {"anne", {AnnesKey}};
static const UsersCustomer Ben = {"ben", {BensKey, "bens-second-key"}};

// Long enough that a new configuration is in force before a target finishes, also on a slow machine.
static constexpr TimeUs LongWorkUs = 5 * UsPerSecond;
static constexpr int LongDeadlineMs = 15000;

static RigCall WithKey(const std::string& key)
{
    RigCall call;
    call.Headers = {{"Authorization", "Bearer " + key}};
    return call;
}

static RigCall WithLongDeadline(const std::string& key)
{
    RigCall call = WithKey(key);
    call.DeadlineMs = LongDeadlineMs;
    return call;
}

// A route whose requests wait for a free slot until a target finishes.
static UsersRoute LongRoute()
{
    UsersRoute route;
    route.AimS = 60;
    route.TimeoutS = 16;
    return route;
}

static Gateway& StartForLongWork(Rig* rig, size_t targets)
{
    RigConfigureWithCustomers(rig, {LongRoute()}, {Anne, Ben});
    return RigInstance(rig, targets);
}

static std::string CodeOf(const RigAnswer& answer)
{
    const std::string* code = FindHeader(answer.Answer.Headers, HeaderCode);
    return code != nullptr ? *code : "";
}

static std::string Text(Code_ code)
{
    return std::to_string(static_cast<int>(code));
}

// The customer's name that a target received; "-" if none.
static std::string CustomerSeen(const ReceivedRequest& saw)
{
    const std::string* name = FindHeader(saw.Headers, PlatformNames().Customer);
    return name != nullptr ? *name : "-";
}

static bool ContainsText(const ReceivedRequest& saw, const std::string& text)
{
    const auto contains = [&](const Header& header)
    {
        return header.Value.find(text) != std::string::npos || header.Name.find(text) != std::string::npos;
    };
    return std::any_of(saw.Headers.begin(), saw.Headers.end(), contains) || saw.Path.find(text) != std::string::npos;
}

static void AwaitVersion(Rig* rig, const Gateway& instance)
{
    CPPUNIT_ASSERT(RigRunUntil(rig, [&]() { return instance.Requests.Plan->Version == rig->Version; }));
}

class CustomersTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(CustomersTest);
    CPPUNIT_TEST(KeysAreFoundByTheirHashes);
    CPPUNIT_TEST(AKeyOfTwoCustomersIsRefused);
    CPPUNIT_TEST(TenThousandCustomers);
    CPPUNIT_TEST(SpellingsOfAKey);
    CPPUNIT_TEST(TargetsGetTheNameOfTheKeysCustomer);
    CPPUNIT_TEST(AnUnknownOrMissingKeyIsRefusedAtOnce);
    CPPUNIT_TEST(KeysReachNoTargetInAnySpelling);
    CPPUNIT_TEST(PublicRoutesNeedNoKey);
    CPPUNIT_TEST(WithoutCustomersNothingChanges);
    CPPUNIT_TEST(ARevokedKeyIsRefusedOnKeptConnections);
    CPPUNIT_TEST(AWaitingRequestIsNotSentOnceItsKeyIsRevoked);
    CPPUNIT_TEST(ARequestIsNotRetriedOnceItsKeyIsRevoked);
    CPPUNIT_TEST(AnUnknownKeyIsNotFinalWhileTheStoreIsAway);
    CPPUNIT_TEST(WithoutAPlanNoKeyIsUnknown);
    CPPUNIT_TEST(KeysAreNotSentToInstancesOrShown);
    CPPUNIT_TEST(ACustomersPriorityOverridesTheRoutes);
    CPPUNIT_TEST(CustomersThatCantBeReadKeepThePlan);
    CPPUNIT_TEST_SUITE_END();

    void KeysAreFoundByTheirHashes()
    {
        Customers all;
        Customer anne;
        anne.Name = "anne";
        anne.Keys = {HashKey(AnnesKey), HashKey("another")};
        CPPUNIT_ASSERT(bool(AddCustomer(&all, anne)));
        CPPUNIT_ASSERT_EQUAL(std::string("anne"), FindCustomer(all, HashKey("another"))->Name);
        CPPUNIT_ASSERT(FindCustomer(all, HashKey(BensKey)) == nullptr);
        CPPUNIT_ASSERT(FindCustomer(all, HashKey("")) == nullptr);
        CPPUNIT_ASSERT(*ParseKeyHash(FormatKeyHash(HashKey(AnnesKey))) == HashKey(AnnesKey));
        for (const char* bad : {"", "00", "zz112233445566778899aabbccddeeff", "00112233445566778899aabbccddeeff00"})
        {
            CPPUNIT_ASSERT_MESSAGE(bad, !ParseKeyHash(bad));
        }
    }

    void AKeyOfTwoCustomersIsRefused()
    {
        Customers all;
        Customer one;
        one.Name = "one";
        one.Keys = {HashKey("k"), HashKey("k")}; // The same key twice in one customer is allowed.
        Customer two = one;
        two.Name = "two";
        CPPUNIT_ASSERT(bool(AddCustomer(&all, one)));
        CPPUNIT_ASSERT(!AddCustomer(&all, two));
        CPPUNIT_ASSERT(!AddCustomer(&all, one));
    }

    void TenThousandCustomers()
    {
        Customers all;
        for (int n = 0; n < 10000; n++)
        {
            Customer customer;
            customer.Name = fmt::format("c{}", n);
            customer.Keys = {HashKey(fmt::format("k{}", n)), HashKey(fmt::format("l{}", n))};
            CPPUNIT_ASSERT(bool(AddCustomer(&all, customer)));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("c7777"), FindCustomer(all, HashKey("l7777"))->Name);
    }

    void SpellingsOfAKey()
    {
        const std::vector<std::vector<Header>> good = {{{"Authorization", "Bearer k"}},
                                                       {{"authorization", "bearer   k"}},
                                                       {{"AUTHORIZATION", "BEARER\tk"}},
                                                       {{"Authorization", "Bearer k"}, {"authorization", "bearer k"}}};
        for (const std::vector<Header>& headers : good)
        {
            CPPUNIT_ASSERT(ReadCallerKey(headers) == HashKey("k"));
        }
        const std::vector<std::vector<Header>> bad = {{},
                                                      {{"Authorization", "Bearer"}},
                                                      {{"Authorization", "Bearer "}},
                                                      {{"Authorization", "Bearerk"}},
                                                      {{"Authorization", "Basic k"}},
                                                      {{"Authorization", "Bearer k"}, {"Authorization", "Bearer l"}}};
        for (const std::vector<Header>& headers : bad)
        {
            CPPUNIT_ASSERT(!ReadCallerKey(headers));
        }
    }

    void TargetsGetTheNameOfTheKeysCustomer()
    {
        Rig rig;
        const UsersTarget& target = RigTarget(&rig, "t");
        RigConfigureWithCustomers(&rig, {UsersRoute()}, {Anne, Ben});
        const Gateway& instance = RigInstance(&rig, 1);
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, WithKey(AnnesKey)).Answer.Status);
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, WithKey("bens-second-key")).Answer.Status);
        CPPUNIT_ASSERT_EQUAL(std::string("anne"), CustomerSeen(target.Saw[0]));
        CPPUNIT_ASSERT_EQUAL(std::string("ben"), CustomerSeen(target.Saw[1]));
        CPPUNIT_ASSERT(!ContainsText(target.Saw[0], AnnesKey));
    }

    void AnUnknownOrMissingKeyIsRefusedAtOnce()
    {
        Rig rig;
        const UsersTarget& target = RigTarget(&rig, "t");
        RigConfigureWithCustomers(&rig, {UsersRoute()}, {Anne});
        const Gateway& instance = RigInstance(&rig, 1);
        for (const RigCall& call : {RigCall(), WithKey(BensKey), WithKey("")})
        {
            const RigAnswer answer = RigSendAndWait(&rig, instance, call);
            CPPUNIT_ASSERT_EQUAL(401, answer.Answer.Status);
            CPPUNIT_ASSERT_EQUAL(Text(Code_KeyUnknown), CodeOf(answer));
            CPPUNIT_ASSERT(FindHeader(answer.Answer.Headers, "WWW-Authenticate") != nullptr);
        }
        CPPUNIT_ASSERT(target.Saw.empty());
        CPPUNIT_ASSERT_EQUAL(0, target.HealthAsked);
    }

    // Whatever headers the caller sends, the target gets the customer's name and no key.
    void KeysReachNoTargetInAnySpelling()
    {
        Rig rig;
        const UsersTarget& target = RigTarget(&rig, "t");
        RigConfigureWithCustomers(&rig, {UsersRoute()}, {Anne});
        const Gateway& instance = RigInstance(&rig, 1);
        const std::string name = PlatformNames().Customer;
        RawCaller caller(&rig.Loop, instance.Config.CallerAddress);
        const std::string bearer = "Bearer " + AnnesKey;
        RawSend(caller, "POST /a/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: r1\r\nAUTHORIZATION:" + bearer +
                            "  \r\nauthorization: bearer\t" + AnnesKey + "\r\n" + name +
                            ": ben\r\nWINCHLINK-TENANT-ID: eve\r\nConnection: " + name +
                            ", Authorization\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nAuthorization: " + bearer + "\r\n" + name +
                            ": eve\r\n\r\n");
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return caller.Read.find("HTTP/1.1 200") != std::string::npos; }));
        CPPUNIT_ASSERT_EQUAL(size_t{1}, target.Saw.size());
        CPPUNIT_ASSERT(!ContainsText(target.Saw[0], AnnesKey));
        CPPUNIT_ASSERT(!ContainsText(target.Saw[0], "eve"));
        CPPUNIT_ASSERT(!ContainsText(target.Saw[0], "ben"));
        CPPUNIT_ASSERT_EQUAL(std::string("anne"), CustomerSeen(target.Saw[0]));
    }

    void PublicRoutesNeedNoKey()
    {
        Rig rig;
        const UsersTarget& target = RigTarget(&rig, "t");
        UsersRoute route;
        route.Public = true;
        RigConfigureWithCustomers(&rig, {route}, {Anne});
        const Gateway& instance = RigInstance(&rig, 1);
        RigCall claims;
        claims.Headers = {{PlatformNames().Customer, "anne"}};
        for (const RigCall& call : {RigCall(), claims, WithKey(AnnesKey), WithKey(BensKey)})
        {
            CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, call).Answer.Status);
        }
        const std::vector<std::string> seen = {"-", "-", "anne", "-"};
        for (size_t n = 0; n < seen.size(); n++)
        {
            CPPUNIT_ASSERT_EQUAL(seen[n], CustomerSeen(target.Saw[n]));
            CPPUNIT_ASSERT(FindHeader(target.Saw[n].Headers, "Authorization") == nullptr);
        }
    }

    void WithoutCustomersNothingChanges()
    {
        Rig rig;
        const UsersTarget& target = RigTarget(&rig, "t");
        RigConfigure(&rig, {UsersRoute()});
        const Gateway& instance = RigInstance(&rig, 1);
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, WithKey(AnnesKey)).Answer.Status);
        CPPUNIT_ASSERT(ContainsText(target.Saw[0], AnnesKey)); // Authorization is passed on unchanged.
    }

    void ARevokedKeyIsRefusedOnKeptConnections()
    {
        Rig rig;
        RigTarget(&rig, "t");
        RigConfigureWithCustomers(&rig, {UsersRoute()}, {Anne, Ben});
        const Gateway& instance = RigInstance(&rig, 1);
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, WithKey(BensKey)).Answer.Status);
        RigConfigureWithCustomers(&rig, {UsersRoute()}, {Anne, {"ben", {"bens-second-key"}}});
        AwaitVersion(&rig, instance);
        CPPUNIT_ASSERT_EQUAL(401, RigSendAndWait(&rig, instance, WithKey(BensKey)).Answer.Status);
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, WithKey("bens-second-key")).Answer.Status);
    }

    // All targets are busy: the key is revoked while the request waits for a free slot.
    void AWaitingRequestIsNotSentOnceItsKeyIsRevoked()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t");
        target.WorkUs = LongWorkUs;
        Gateway& instance = StartForLongWork(&rig, 1);
        RigAnswerPtr first;
        for (int n = 1; n <= target.Slots; n++)
        {
            first = RigSend(&rig, instance, WithLongDeadline(AnnesKey));
            CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return target.Running == n; }));
        }
        const RigAnswerPtr second = RigSend(&rig, instance, WithLongDeadline(BensKey));
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return instance.Requests.InProgress == target.Slots + 1; }));
        RigConfigureWithCustomers(&rig, {LongRoute()}, {Anne});
        AwaitVersion(&rig, instance);
        CPPUNIT_ASSERT(!first->Done);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return first->Done && second->Done; }));
        CPPUNIT_ASSERT_EQUAL(200, first->Answer.Status);
        CPPUNIT_ASSERT_EQUAL(401, second->Answer.Status);
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(rig, second->Id));
    }

    void ARequestIsNotRetriedOnceItsKeyIsRevoked()
    {
        Rig rig;
        UsersTarget& one = RigTarget(&rig, "t1");
        UsersTarget& two = RigTarget(&rig, "t2");
        one.WorkUs = two.WorkUs = LongWorkUs;
        one.Script = {TargetAct_Reset};
        two.Script = {TargetAct_Reset};
        Gateway& instance = StartForLongWork(&rig, 2);
        const RigAnswerPtr answer = RigSend(&rig, instance, WithLongDeadline(BensKey));
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return one.Running + two.Running == 1; }));
        RigConfigureWithCustomers(&rig, {LongRoute()}, {Anne});
        AwaitVersion(&rig, instance);
        CPPUNIT_ASSERT(!answer->Done);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return answer->Done; }));
        CPPUNIT_ASSERT_EQUAL(502, answer->Answer.Status); // The attempt may have run.
        CPPUNIT_ASSERT_EQUAL(1, RigRunCount(rig, answer->Id));
    }

    void AnUnknownKeyIsNotFinalWhileTheStoreIsAway()
    {
        Rig rig;
        RigTarget(&rig, "t");
        RigConfigureWithCustomers(&rig, {UsersRoute()}, {Anne});
        const Gateway& instance = RigInstance(&rig, 1);
        UsersStoreSetMode(&rig.Store, StoreMode_Refusing);
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return instance.Requests.Directory.StoreUnavailable; }));
        const RigAnswer unknown = RigSendAndWait(&rig, instance, WithKey(BensKey));
        CPPUNIT_ASSERT_EQUAL(503, unknown.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(Text(Code_KeyNotLearnt), CodeOf(unknown));
        CPPUNIT_ASSERT(FindHeader(unknown.Answer.Headers, "Retry-After") != nullptr);
        CPPUNIT_ASSERT_EQUAL(401, RigSendAndWait(&rig, instance, RigCall()).Answer.Status); // A missing key is unknown in every plan.
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, WithKey(AnnesKey)).Answer.Status);
    }

    void WithoutAPlanNoKeyIsUnknown()
    {
        Rig rig;
        UsersStoreSetMode(&rig.Store, StoreMode_Refusing);
        const Gateway& instance = RigStart(&rig);
        const RigAnswer answer = RigSendAndWait(&rig, instance, WithKey(AnnesKey));
        CPPUNIT_ASSERT_EQUAL(503, answer.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(Text(Code_NoTable), CodeOf(answer));
    }

    // Keys appear neither in the updates for other instances nor on the operators' pages. Updates hold hashes of them.
    void KeysAreNotSentToInstancesOrShown()
    {
        Rig rig;
        RigTarget(&rig, "t");
        RigConfigureWithCustomers(&rig, {UsersRoute()}, {Anne, Ben});
        Settings settings = RigSettings(rig);
        settings.PeerAddress = FreeAddress();
        const Gateway& instance = RigStartWith(&rig, settings);
        RigWaitForPlan(&rig, instance, 1);
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, WithKey(AnnesKey)).Answer.Status);
        CPPUNIT_ASSERT_EQUAL(401, RigSendAndWait(&rig, instance, WithKey("planted-unknown-key")).Answer.Status);
        std::string visible_text;
        for (const auto& entry : instance.Peers.Items)
        {
            visible_text += entry.second.Value;
        }
        CPPUNIT_ASSERT(visible_text.find(FormatKeyHash(HashKey(AnnesKey))) != std::string::npos);
        visible_text += StatusText(instance) + MetricsText(instance);
        for (const std::string& key : {AnnesKey, BensKey, std::string("planted-unknown-key")})
        {
            CPPUNIT_ASSERT(visible_text.find(key) == std::string::npos);
        }
    }

    // Two requests of different customers wait for a slot. The route gives both the same priority.
    void ACustomersPriorityOverridesTheRoutes()
    {
        Rig rig;
        UsersTarget& target = RigTarget(&rig, "t");
        target.WorkUs = 2 * UsPerSecond;
        UsersRoute route;
        route.AimS = 15;
        route.TimeoutS = 15;
        UsersCustomer urgent = Ben;
        urgent.Priority = 0;
        RigConfigureWithCustomers(&rig, {route}, {Anne, urgent});
        Gateway& instance = RigInstance(&rig, 1);
        for (const std::string& key : {AnnesKey, AnnesKey, AnnesKey, AnnesKey, BensKey}) // Three get a slot at once.
        {
            RigCall call = WithKey(key);
            call.DeadlineMs = 15000;
            const int before = instance.Requests.InProgress;
            RigSend(&rig, instance, call);
            CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return instance.Requests.InProgress == before + 1; }));
        }
        ServiceState& service = instance.Requests.Services.at("svc");
        const auto waits = [](const std::weak_ptr<Call>& entry)
        {
            const CallPtr call = entry.lock();
            return call && call->ProbeRetryTimer;
        };
        CPPUNIT_ASSERT(RigRunUntil(&rig, [&]() { return std::count_if(service.Waiting.begin(), service.Waiting.end(), waits) == 2; }));
        std::vector<CallPtr> waiting;
        for (const std::weak_ptr<Call>& entry : service.Waiting)
        {
            waiting.push_back(entry.lock());
        }
        PoolReport(PoolFind(&service.Pool, "t"), LoadReport{0, 0, 3, 100}, NowUs()); // Its slots are free again.
        ServeWaiting(&service, "t");
        for (const CallPtr& call : waiting)
        {
            if (call && call->Round.Kind == Choosing_None)
            {
                CPPUNIT_ASSERT_EQUAL(std::string("ben"), call->KeyOwner->Name);
                return;
            }
        }
        CPPUNIT_FAIL("nobody was served");
    }

    void CustomersThatCantBeReadKeepThePlan()
    {
        Rig rig;
        RigTarget(&rig, "t");
        RigConfigureWithCustomers(&rig, {UsersRoute()}, {Anne});
        const Gateway& instance = RigInstance(&rig, 1);
        const uint64_t before = instance.Requests.Plan->Version;
        for (const char* tenants : {"7", "[7]", "[{\"name\":\"x\"}]", "[{\"name\":\"x\",\"apiKeys\":[7]}]", "[{\"apiKeys\":[]}]",
                                    "[{\"name\":\"x\",\"apiKeys\":[\"k\"]},{\"name\":\"y\",\"apiKeys\":[\"k\"]}]",
                                    "[{\"name\":\"x\",\"apiKeys\":[],\"ratePerS\":\"many\"}]"})
        {
            UsersStorePut(&rig.Store, "op/config",
                          fmt::format("{{\"version\":\"00000099\",\"routes\":[],\"services\":[],\"limits\":{{\"maxHeaderBytes\":1,"
                                      "\"maxBodyBytes\":1,\"headerTimeoutS\":1,\"idleTimeoutS\":1}},\"tenants\":{}}}",
                                      tenants));
            const auto read = [&]()
            {
                return instance.Store.Following.Revision >= rig.Store.Revision && instance.PendingBatches.empty();
            };
            CPPUNIT_ASSERT_MESSAGE(tenants, RigRunUntil(&rig, read));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(tenants, size_t{1}, instance.Invalid.size());
            CPPUNIT_ASSERT_EQUAL(before, instance.Requests.Plan->Version);
        }
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, WithKey(AnnesKey)).Answer.Status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomersTest);

} // namespace Winchlink
