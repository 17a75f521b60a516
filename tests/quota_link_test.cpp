// quota_link_test.cpp: quota datagrams between instances: their encoding, and instances that enforce a quota together.
//
// Guards against messages that are decoded wrongly or accepted when malformed, and against quotas that are enforced per instance.

#include "gateway_rig.h"
#include "process.h"

#include <fmt/format.h>

namespace Winchlink
{

static QuotaMessage Report(int entries)
{
    QuotaMessage message;
    message.Kind = QuotaMessage_Report;
    message.Report.Members = 28;
    message.Report.Covered = 27.5;
    message.Report.FleetSize = {30, 5 * UsPerSecond};
    for (int n = 0; n < entries; n++)
    {
        message.Report.Entries.push_back({static_cast<uint64_t>(n), {1.0 * n, 2, 3, 4}});
    }
    return message;
}

// Settings with an address of its own on this machine and one datagram port for all instances.
static Settings SettingsOf(const Rig& rig, int number, int port, const std::vector<std::string>& seeds)
{
    Settings settings = RigSettings(rig);
    const std::string ip = fmt::format("127.0.0.{}", 10 + number);
    settings.PeerAddress = fmt::format("{}:{}", ip, FreePort(ip.c_str()));
    settings.DatagramPort = port;
    settings.Peers = seeds;
    return settings;
}

class QuotaLinkTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaLinkTest);
    CPPUNIT_TEST(MessagesSurviveEncoding);
    CPPUNIT_TEST(LimitsSurviveEncoding);
    CPPUNIT_TEST(InvalidLimitsAreIgnored);
    CPPUNIT_TEST(BytesThatAreNoMessageAreRefused);
    CPPUNIT_TEST(AReportOfManyCustomersFitsPackets);
    CPPUNIT_TEST(ACustomerAboveItsQuotaIsRefusedAtOnce);
    CPPUNIT_TEST(RequestsThatNoTargetRanDoNotCount);
    CPPUNIT_TEST(InstancesKeepAQuotaTogether);
    CPPUNIT_TEST(ReadersThatHaveHeardNobodyAdmitLittle);
    CPPUNIT_TEST_SUITE_END();

    void MessagesSurviveEncoding()
    {
        const Result<QuotaMessage> report = DecodeQuota(EncodeQuota(Report(3)));
        CPPUNIT_ASSERT(bool(report));
        CPPUNIT_ASSERT_EQUAL(size_t{3}, report.value().Report.Entries.size());
        CPPUNIT_ASSERT_EQUAL(2.0, report.value().Report.Entries[2].Count.Admitted);
        CPPUNIT_ASSERT_EQUAL(27.5, report.value().Report.Covered);
        CPPUNIT_ASSERT_EQUAL(5 * UsPerSecond, report.value().Report.FleetSize.AgeUs);
        QuotaMessage answer;
        answer.Kind = QuotaMessage_Answer;
        answer.Answer.Shares = {{7, 0.25}};
        answer.Answer.Covered = 0.5;
        const Result<QuotaMessage> back = DecodeQuota(EncodeQuota(answer));
        CPPUNIT_ASSERT(bool(back));
        CPPUNIT_ASSERT_EQUAL(0.25, back.value().Answer.Shares[0].Share);
        CPPUNIT_ASSERT_EQUAL(0.5, back.value().Answer.Covered);
    }

    void LimitsSurviveEncoding()
    {
        QuotaMessage message = Report(1);
        message.Subject = QuotaSubject_Targets;
        message.Report.Limits = {{9, 2.5, true, 30 * UsPerMs}, {10, 0, false, 0}};
        const Result<QuotaMessage> back = DecodeQuota(EncodeQuota(message));
        CPPUNIT_ASSERT(bool(back));
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(QuotaSubject_Targets), static_cast<int>(back.value().Subject));
        CPPUNIT_ASSERT_EQUAL(size_t{2}, back.value().Report.Limits.size());
        CPPUNIT_ASSERT_EQUAL(2.5, back.value().Report.Limits[0].PerS);
        CPPUNIT_ASSERT(back.value().Report.Limits[0].InForce);
        CPPUNIT_ASSERT_EQUAL(30 * UsPerMs, back.value().Report.Limits[0].AgeUs);
    }

    void InvalidLimitsAreIgnored()
    {
        Quota quota;
        const TimeUs now = 1000 * UsPerSecond;
        for (const double wrong : {-1.0, 1e300, std::nan("")})
        {
            QuotaReport report;
            report.Limits = {{1, wrong, true, 0}};
            QuotaOnReport(&quota, "x", report, false, now);
        }
        QuotaReport old;
        old.Limits = {{1, 1, true, quota.Config.LimitExpiryUs + 1}, {2, 1, true, -1}};
        QuotaOnReport(&quota, "x", old, false, now);
        CPPUNIT_ASSERT(quota.Limits.empty());
    }

    void BytesThatAreNoMessageAreRefused()
    {
        const std::string good = EncodeQuota(Report(3));
        for (size_t n = 0; n < good.size(); n++)
        {
            std::string bad = good;
            bad[n] = static_cast<char>(bad[n] ^ 0x5a);
            CPPUNIT_ASSERT(!DecodeQuota(bad) ||
                           n == 0); // The first byte is the kind: a report to a source and one to a seed have the same format.
            CPPUNIT_ASSERT(!DecodeQuota(good.substr(0, n)));
        }
        Quota quota;
        for (const double wrong : {-1.0, 1e300, std::nan("")})
        {
            QuotaReport report = Report(1).Report;
            report.Entries[0].Count.Admitted = wrong;
            CPPUNIT_ASSERT(!QuotaOnReport(&quota, "x", report, false, UsPerSecond));
            CPPUNIT_ASSERT(quota.Followers.empty());
        }
    }

    void AReportOfManyCustomersFitsPackets()
    {
        constexpr size_t packet = 1400;
        Quota quota;
        Random random(1);
        Customer customer;
        customer.RatePerS = 10;
        for (uint64_t n = 0; n < 500; n++)
        {
            customer.Id = n + 1;
            QuotaTake(&quota, customer, UsPerSecond, &random);
        }
        size_t entries = 0;
        for (const QuotaReport& report : QuotaReports(quota, UsPerSecond))
        {
            QuotaMessage message;
            message.Kind = QuotaMessage_Report;
            message.Report = report;
            CPPUNIT_ASSERT(EncodeQuota(message).size() <= packet);
            entries += report.Entries.size();
        }
        CPPUNIT_ASSERT_EQUAL(size_t{500}, entries);
    }

    // A fleet of one instance.
    void ACustomerAboveItsQuotaIsRefusedAtOnce()
    {
        Rig rig;
        RigTarget(&rig, "t").WorkUs = UsPerMs;
        RigConfigureWithCustomers(&rig, {UsersRoute()}, {{"anne", {"k"}, 2, 2}, {"ben", {"l"}}});
        const Gateway& instance = RigInstance(&rig, 1);
        RigCall anne;
        anne.Headers = {{"Authorization", "Bearer k"}};
        RigCall ben;
        ben.Headers = {{"Authorization", "Bearer l"}};
        int served = 0;
        int refused = 0;
        for (int n = 0; n < 400; n++)
        {
            const RigAnswer answer = RigSendAndWait(&rig, instance, anne);
            served += answer.Answer.Status == 200 ? 1 : 0;
            refused += answer.Answer.Status == 429 ? 1 : 0;
            CPPUNIT_ASSERT(answer.Answer.Status == 200 || FindHeader(answer.Answer.Headers, "Retry-After") != nullptr);
            CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&rig, instance, ben).Answer.Status);
        }
        const double bound = (2 * 5 + 2) * 1.25 + 20;
        CPPUNIT_ASSERT_EQUAL(400, served + refused);
        CPPUNIT_ASSERT(served <= 2 * bound); // The run takes less than two windows.
        CPPUNIT_ASSERT(refused > 0);
        CPPUNIT_ASSERT_EQUAL(uint64_t{400},
                             instance.Requests.ByCustomer.at("anne").Admitted + instance.Requests.ByCustomer.at("anne").Refused);
    }

    void RequestsThatNoTargetRanDoNotCount()
    {
        Quota quota;
        quota.IsSeed = true;
        Random random(1);
        Customer customer;
        customer.Id = 1;
        customer.RatePerS = 10;
        CPPUNIT_ASSERT(QuotaTake(&quota, customer, UsPerSecond, &random));
        CPPUNIT_ASSERT_EQUAL(1.0, QuotaReports(quota, UsPerSecond)[0].Entries[0].Count.Admitted);
        QuotaRefund(&quota, 1, UsPerSecond);
        CPPUNIT_ASSERT_EQUAL(0.0, QuotaReports(quota, UsPerSecond)[0].Entries[0].Count.Admitted);
        QuotaRefund(&quota, 1, UsPerSecond); // A second refund has no effect.
        CPPUNIT_ASSERT_EQUAL(0.0, QuotaReports(quota, UsPerSecond)[0].Entries[0].Count.Admitted);
    }

    // Guards against instances that each admit a customer's whole quota while none of those that their settings name is up.
    void ReadersThatHaveHeardNobodyAdmitLittle()
    {
        Rig rig;
        RigTarget(&rig, "t").WorkUs = UsPerMs;
        RigConfigureWithCustomers(&rig, {UsersRoute()}, {{"anne", {"k"}, 20, 20}});
        const int port = FreePort("127.0.0.10");
        const std::string gone = FreeAddress();
        constexpr int count = 10;
        std::vector<Gateway*> instances;
        instances.reserve(count);
        for (int number = 0; number < count; number++)
        {
            instances.push_back(&RigStartWith(&rig, SettingsOf(rig, number, port, {gone})));
        }
        RigCall anne;
        anne.Headers = {{"Authorization", "Bearer k"}};
        int served = 0;
        for (Gateway* instance : instances)
        {
            RigWaitForPlan(&rig, *instance, 1);
            const Quota& quota = instance->Requests.Quotas;
            CPPUNIT_ASSERT(
                RigRunUntil(&rig, [&]() { return quota.Covered >= quota.Config.CoveredMin; })); // Up for that part of the window.
            for (int n = 0; n < 30; n++)
            {
                served += RigSendAndWait(&rig, *instance, anne).Answer.Status == 200 ? 1 : 0;
            }
            CPPUNIT_ASSERT_EQUAL(0.0, quota.MembersMax);
        }
        const double bound = (20 * 5 + 20) * 1.25 + 20;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served), served <= bound);
    }

    // A seed and two followers learn the size of the fleet, and all of them limit a customer whose requests come to one of them.
    void InstancesKeepAQuotaTogether()
    {
        Rig rig;
        RigTarget(&rig, "t").WorkUs = UsPerMs;
        RigConfigureWithCustomers(&rig, {UsersRoute()}, {{"anne", {"k"}, 2, 2}});
        const int port = FreePort("127.0.0.10");
        const Settings first = SettingsOf(rig, 0, port, {});
        Settings seed_settings = first;
        seed_settings.Peers = {first.PeerAddress};
        std::vector<Gateway*> instances = {&RigStartWith(&rig, seed_settings)};
        for (const int number : {1, 2})
        {
            instances.push_back(&RigStartWith(&rig, SettingsOf(rig, number, port, {first.PeerAddress})));
        }
        const auto all_counted = [&]()
        {
            return std::all_of(instances.begin(), instances.end(), [](const Gateway* one) { return one->Requests.Quotas.MembersMax == 3; });
        };
        CPPUNIT_ASSERT(RigRunUntil(&rig, all_counted));
        RigCall anne;
        anne.Headers = {{"Authorization", "Bearer k"}};
        const auto limited_everywhere = [&]()
        {
            const auto limited = [](const Gateway* one)
            {
                const auto& shares = one->Requests.Quotas.Shares;
                return !shares.empty() && shares.begin()->second.Share < 0.5;
            };
            RigSend(&rig, *instances[1], anne);
            return std::all_of(instances.begin(), instances.end(), limited);
        };
        CPPUNIT_ASSERT(RigRunUntil(&rig, limited_everywhere));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLinkTest);

} // namespace Winchlink
