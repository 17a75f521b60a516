// handoff_test.cpp: requests that an instance without a path to the targets hands to another one. Guards against requests that run twice,
// change on the way, go in a circle, pass a limit twice or not at all, and against callers that wait although nobody can serve them.

#include "handoff.h"
#include "pages.h"
#include "path_fleet.h"
#include "relay.h"

namespace Winchlink
{

static const std::string AnnesKey = "annes-secret-key-0123456789";

// Two instances and more, of which the second has no path to any target.
struct HandoffFleet : PathFleet
{
    explicit HandoffFleet(size_t instances = 2, const std::vector<UsersCustomer>& customers = {}) : PathFleet(instances, customers)
    {
        Cut(1, ProxyMode_Silent);
    }

    Gateway& First()
    {
        return *Parts.Instances[0];
    }

    Gateway& Second()
    {
        return *Parts.Instances[1];
    }

    // Sends requests to the second instance until it knows that it has no path. They may be refused: how many targets one is tried at
    // before its latency objective has passed depends on the machine.
    void AwaitLoss(const RigCall& call = RigCall())
    {
        const auto lost = [this]()
        {
            return Second().Requests.Services.at("svc").Path.State == TargetPathState_Lost;
        };
        constexpr int requests_max = 20;
        for (int n = 0; n < requests_max && !lost(); n++)
        {
            const RigAnswerPtr answer = RigSend(&Parts, Second(), call);
            CPPUNIT_ASSERT(RigRunUntil(&Parts, [&]() { return answer->Done; }));
        }
        CPPUNIT_ASSERT(lost());
    }

    // The request as its target received it.
    const ReceivedRequest& Received(const std::string& id) const
    {
        const ReceivedRequest* found = nullptr;
        for (const auto& target : Parts.Targets)
        {
            for (const ReceivedRequest& saw : target->Saw)
            {
                found = saw.Id == id ? &saw : found;
            }
        }
        CPPUNIT_ASSERT_MESSAGE(id, found != nullptr);
        return *found;
    }
};

static int TextsWith(const std::vector<Header>& headers, const std::string& part)
{
    return static_cast<int>(std::count_if(
        headers.begin(), headers.end(),
        [&](const Header& header) { return header.Name.find(part) != std::string::npos || header.Value.find(part) != std::string::npos; }));
}

class HandoffTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(HandoffTest);
    CPPUNIT_TEST(HeadersSurviveEncodingAndDecoding);
    CPPUNIT_TEST(MalformedHeadersAreRefused);
    CPPUNIT_TEST(RequestsArriveUnchanged);
    CPPUNIT_TEST(TheDeadlineShrinks);
    CPPUNIT_TEST(TheAnswerIsTheTargets);
    CPPUNIT_TEST(ARequestGoesOverOneHopAtMost);
    CPPUNIT_TEST(WhereNobodyHasAPathRequestsAreRefusedAtOnce);
    CPPUNIT_TEST(ARequestIsNotOfferedAgainOnceItMayHaveRun);
    CPPUNIT_TEST(AFullInstanceRefusesAndTheNextOneTakes);
    CPPUNIT_TEST(AnInstanceWithAnOlderPlanTakesNothing);
    CPPUNIT_TEST(AStoppingInstanceTakesNothingAndFinishesWhatItTook);
    CPPUNIT_TEST(ACallerThatLeavesCancelsTheTargetsWork);
    CPPUNIT_TEST(TheInstanceThatTakesARequestChecksItsKey);
    CPPUNIT_TEST(RequestsCountOnceForQuotasAndRetries);
    CPPUNIT_TEST(TheTargetsOfBothInstancesCount);
    CPPUNIT_TEST(ARequestThatRanElsewhereIsNotRefusedForItsQuota);
    CPPUNIT_TEST(CallersCanNotPassRequestsOffAsHandedOn);
    CPPUNIT_TEST(ACutIsNoCrash);
    CPPUNIT_TEST(TargetsThatAreSlowAreNoLoss);
    CPPUNIT_TEST(ARequestWhoseProbesAreAllLateIsServedHere);
    CPPUNIT_TEST(AnOccupiedLinkIsNoLoss);
    CPPUNIT_TEST(AnswersAreCountedOnTheOwnLink);
    CPPUNIT_TEST(TargetsAreUsedAgainOnceThePathIsBack);
    CPPUNIT_TEST(EarlierVersionsAreNotAskedAndReadTheAnswers);
    CPPUNIT_TEST(TheStatusPageShowsThePath);
    CPPUNIT_TEST_SUITE_END();

    void HeadersSurviveEncodingAndDecoding()
    {
        CHECK_PROPERTY(
            "an offer and a result are read as they were written",
            []()
            {
                TestRandom dice;
                HandoffOffer offer;
                offer.AttemptsMax = static_cast<int>(dice.Between(1, 100));
                offer.From = "10.0.0.1:80";
                offer.PlanVersion = static_cast<uint64_t>(dice.Between(0, 1000000));
                offer.DataAgeUs = dice.Between(0, 10000) * UsPerMs;
                for (int64_t n = dice.Between(1, 20); n > 0; n--)
                {
                    offer.Service += static_cast<char>(dice.Between(1, 256));
                }
                const std::optional<HandoffOffer> read = ParseHandoffOffer(FormatHandoffOffer(offer));
                RC_ASSERT(read.has_value());
                RC_ASSERT(read->AttemptsMax == offer.AttemptsMax && read->From == offer.From && read->Service == offer.Service);
                RC_ASSERT(read->PlanVersion == offer.PlanVersion && read->DataAgeUs == offer.DataAgeUs);
                const std::vector<PeerUpdate> peers = {{offer.From, 7, 5 * UsPerSecond, false}, {"1.2.3.4:65535", 65535, 0, true}};
                const std::vector<PeerUpdate> heard = DecodePeers(EncodePeers(peers) + "part");
                RC_ASSERT(heard.size() == peers.size() && heard[0].Address == offer.From && heard[1].Address == peers[1].Address);
                RC_ASSERT(heard[0].AgeUs == peers[0].AgeUs && heard[0].DataCentre == 7 && !heard[0].HasPath && heard[1].HasPath);
                const HandoffResult result = {Code_TargetsBusy, static_cast<int>(dice.Between(0, 100)),
                                              static_cast<int>(dice.Between(0, 100)), peers};
                const std::optional<HandoffResult> told = ParseHandoffResult(FormatHandoffResult(result));
                RC_ASSERT(told.has_value());
                RC_ASSERT(told->Code == result.Code && told->Attempts == result.Attempts && told->Taken == result.Taken);
                RC_ASSERT(told->TryInstead.size() == 2);
            });
    }

    void MalformedHeadersAreRefused()
    {
        for (const char* text :
             {"", "1", "1 1 1 10.0.0.1:80", "0 1 1 10.0.0.1:80 svc", "x 1 1 10.0.0.1:80 svc", "1 1 1 nowhere svc",
              "1 1 1 10.0.0.1:80 svc x", "-1 1 1 10.0.0.1:80 svc", "1 1 -1 10.0.0.1:80 svc", "99999999999 1 1 10.0.0.1:80 svc"})
        {
            CPPUNIT_ASSERT_MESSAGE(text, !ParseHandoffOffer(text));
        }
        for (const char* text : {"", "2012 1", "x 1 1", "2012 -1 1", "2012 1 -1", "2012 1 1 00 1"})
        {
            CPPUNIT_ASSERT_MESSAGE(text, !ParseHandoffResult(text));
        }
        HandoffFleet fleet(1);
        ClientRequest request;
        request.Address = fleet.First().Config.PeerAddress;
        request.Target = "/a/x";
        request.Headers = {{"Host", "a.example"}, {HeaderHandoff, "nonsense"}};
        CPPUNIT_ASSERT_EQUAL(400, ClientSendAndWait(&fleet.Parts.Callers, std::move(request)).Status);
    }

    void RequestsArriveUnchanged()
    {
        HandoffFleet fleet;
        fleet.AwaitLoss();
        RigCall call;
        call.Method = "POST";
        call.Target = "/w/x%20y?page=2&sort=new";
        call.Body = std::string("body\0with\r\n zero", 16);
        call.Headers = {{"X-Own", "kept as it is"}, {"Content-Type", "text/odd"}};
        const RigAnswer answer = RigSendAndWait(&fleet.Parts, fleet.Second(), call);
        CPPUNIT_ASSERT_EQUAL(200, answer.Answer.Status);
        const ReceivedRequest& received = fleet.Received(answer.Id);
        CPPUNIT_ASSERT_EQUAL(call.Method, received.Method);
        CPPUNIT_ASSERT_EQUAL(call.Target, received.Path);
        CPPUNIT_ASSERT_EQUAL(call.Body, received.Body);
        CPPUNIT_ASSERT_EQUAL(std::string("kept as it is"), *FindHeader(received.Headers, "X-Own"));
        CPPUNIT_ASSERT_EQUAL(std::string("text/odd"), *FindHeader(received.Headers, "Content-Type"));
        CPPUNIT_ASSERT_EQUAL(0, TextsWith(received.Headers, "Handoff"));
        CPPUNIT_ASSERT_EQUAL(1, RigRunCount(fleet.Parts, answer.Id));
    }

    void TheDeadlineShrinks()
    {
        HandoffFleet fleet;
        fleet.AwaitLoss();
        RigCall call;
        call.DeadlineMs = 700;
        const RigAnswer answer = RigSendAndWait(&fleet.Parts, fleet.Second(), call);
        CPPUNIT_ASSERT(std::stoi(*FindHeader(fleet.Received(answer.Id).Headers, "Winchlink-Deadline-Ms")) <= call.DeadlineMs);
    }

    // A failure that a target has signed is passed on as it is, and nothing of the hop is shown.
    void TheAnswerIsTheTargets()
    {
        HandoffFleet fleet;
        fleet.AwaitLoss();
        for (const auto& target : fleet.Parts.Targets)
        {
            target->Script = {TargetAct_Failed};
        }
        RigCall call;
        call.Method = "POST";
        call.Target = "/w/x";
        const RigAnswer answer = RigSendAndWait(&fleet.Parts, fleet.Second(), call);
        CPPUNIT_ASSERT_EQUAL(500, answer.Answer.Status);
        CPPUNIT_ASSERT(FindHeader(answer.Answer.Headers, "Winchlink-Response-Signature") != nullptr);
        CPPUNIT_ASSERT_EQUAL(answer.Id, *FindHeader(answer.Answer.Headers, "Winchlink-Request-Id"));
        CPPUNIT_ASSERT_EQUAL(0, TextsWith(answer.Answer.Headers, "Handoff"));
    }

    void ARequestGoesOverOneHopAtMost()
    {
        HandoffFleet fleet(3);
        for (size_t n = 0; n < 3; n++)
        {
            fleet.Cut(n, ProxyMode_Reset);
        }
        fleet.SendRounds(20);
        fleet.Count(0);
        const size_t sent = fleet.Sent.size();
        uint64_t taken = 0;
        for (const auto& instance : fleet.Parts.Instances)
        {
            taken += instance->Requests.TakenCount;
            CPPUNIT_ASSERT_EQUAL(0, instance->Requests.Taken);
        }
        const size_t tries_max = fleet.First().Requests.Others.Config.TriesMax;
        CPPUNIT_ASSERT(taken > 0 && taken <= sent * tries_max);
        CPPUNIT_ASSERT_EQUAL(uint64_t(sent), AllAnswered(fleet));
    }

    static uint64_t AllAnswered(const PathFleet& fleet)
    {
        return static_cast<uint64_t>(std::count_if(fleet.Sent.begin(), fleet.Sent.end(), [](const auto& one) { return one.second->Done; }));
    }

    void WhereNobodyHasAPathRequestsAreRefusedAtOnce()
    {
        HandoffFleet fleet(3);
        for (size_t n = 0; n < 3; n++)
        {
            fleet.Cut(n, ProxyMode_Silent);
        }
        fleet.SendRounds(30);
        fleet.AwaitAll();
        const uint64_t probes = fleet.Second().Requests.ProbesSent;
        const RigAnswer answer = RigSendAndWait(&fleet.Parts, fleet.Second(), RigCall());
        CPPUNIT_ASSERT_EQUAL(503, answer.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(std::to_string(Code_TargetsUnreachable), *FindHeader(answer.Answer.Headers, HeaderCode));
        CPPUNIT_ASSERT(std::stod(*FindHeader(answer.Answer.Headers, "Retry-After")) > 0);
        CPPUNIT_ASSERT_EQUAL(probes, fleet.Second().Requests.ProbesSent);
    }

    // The instance that took the request loses its connection to the target that runs it.
    void ARequestIsNotOfferedAgainOnceItMayHaveRun()
    {
        HandoffFleet fleet(3);
        fleet.AwaitLoss();
        for (const auto& target : fleet.Parts.Targets)
        {
            target->Script = {TargetAct_Close};
        }
        RigCall call;
        call.Method = "POST";
        call.Target = "/w/x";
        call.Body = "once";
        const RigAnswer answer = RigSendAndWait(&fleet.Parts, fleet.Second(), call);
        CPPUNIT_ASSERT_EQUAL(502, answer.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(1, RigRunCount(fleet.Parts, answer.Id));
    }

    void AFullInstanceRefusesAndTheNextOneTakes()
    {
        HandoffFleet fleet(3);
        fleet.AwaitLoss();
        fleet.First().Requests.Others.Config.TakenMin = 0;
        fleet.First().Requests.Others.Config.TakenFactor = 0;
        const uint64_t by_third = fleet.Parts.Instances[2]->Requests.TakenCount;
        for (int n = 0; n < 10; n++)
        {
            CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&fleet.Parts, fleet.Second(), RigCall()).Answer.Status);
        }
        CPPUNIT_ASSERT_EQUAL(by_third + 10, fleet.Parts.Instances[2]->Requests.TakenCount);
    }

    // Guards against requests that an instance in touch hands to one that still has an older configuration.
    void AnInstanceWithAnOlderPlanTakesNothing()
    {
        HandoffFleet fleet;
        fleet.AwaitLoss();
        RoutePlan newer = *fleet.Second().Requests.Plan;
        newer.Version++;
        fleet.Second().Requests.Plan = std::make_shared<const RoutePlan>(newer);
        CPPUNIT_ASSERT_EQUAL(503, RigSendAndWait(&fleet.Parts, fleet.Second(), RigCall()).Answer.Status);
    }

    void AStoppingInstanceTakesNothingAndFinishesWhatItTook()
    {
        HandoffFleet fleet;
        fleet.AwaitLoss();
        for (const auto& target : fleet.Parts.Targets)
        {
            target->WorkUs = 400 * UsPerMs;
        }
        const RigAnswerPtr before = RigSend(&fleet.Parts, fleet.Second(), RigCall());
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return fleet.First().Requests.Taken == 1; }));
        GatewayStop(&fleet.First());
        const RigAnswer after = RigSendAndWait(&fleet.Parts, fleet.Second(), RigCall());
        CPPUNIT_ASSERT_EQUAL(503, after.Answer.Status);
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return before->Done; }));
        CPPUNIT_ASSERT_EQUAL(200, before->Answer.Status);
    }

    void ACallerThatLeavesCancelsTheTargetsWork()
    {
        HandoffFleet fleet;
        fleet.AwaitLoss();
        for (const auto& target : fleet.Parts.Targets)
        {
            target->WorkUs = 10 * UsPerSecond;
        }
        RawCaller caller(&fleet.Parts.Loop, fleet.Second().Config.CallerAddress);
        RawSend(caller, "GET /a/x HTTP/1.1\r\nHost: a.example\r\nWinchlink-Request-Id: left\r\n\r\n");
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return RigRunCount(fleet.Parts, "left") == 1; }));
        RawClose(&caller);
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return fleet.Received("left").Cancelled; }));
        CPPUNIT_ASSERT_EQUAL(0, fleet.First().Requests.Taken);
    }

    // The key goes with the request, to be checked where it is taken; targets get the customer's name only. Nobody is let in by the address
    // for other instances who could not call as a caller.
    void TheInstanceThatTakesARequestChecksItsKey()
    {
        HandoffFleet fleet(2, {{"anne", {AnnesKey}}});
        RigCall call;
        call.Headers = {{"Authorization", "Bearer " + AnnesKey}};
        fleet.AwaitLoss(call);
        for (int n = 0; n < 3; n++)
        {
            const RigAnswer answer = RigSendAndWait(&fleet.Parts, fleet.Second(), call);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.Answer.Body, 200, answer.Answer.Status);
            const std::vector<Header>& headers = fleet.Received(answer.Id).Headers;
            CPPUNIT_ASSERT_EQUAL(std::string("anne"), *FindHeader(headers, fleet.First().Requests.Names.Customer));
            CPPUNIT_ASSERT_EQUAL(0, TextsWith(headers, AnnesKey));
        }
        for (const std::string& key : {std::string("unknown-key"), FormatKeyHash(HashKey(AnnesKey)), std::string("anne")})
        {
            ClientRequest request;
            request.Address = fleet.First().Config.PeerAddress;
            request.Target = "/a/x";
            request.Headers = {{"Host", "a.example"},
                               {"Winchlink-Request-Id", "forged"},
                               {"Authorization", "Bearer " + key},
                               {fleet.First().Requests.Names.Customer, "anne"},
                               {HeaderHandoff, "2 1 0 127.0.0.1:9 svc"}};
            // Without recent data an instance can't tell that a key is unknown.
            CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return !fleet.First().Requests.Directory.StoreUnavailable; }));
            CPPUNIT_ASSERT_EQUAL(401, ClientSendAndWait(&fleet.Parts.Callers, std::move(request)).Status);
        }
        CPPUNIT_ASSERT_EQUAL(0, RigRunCount(fleet.Parts, "forged"));
    }

    static int Admitted(const Gateway& instance)
    {
        int admitted = 0;
        for (const auto& [id, use] : instance.Requests.Quotas.Own)
        {
            for (const QuotaStep& step : use.Counts)
            {
                admitted += step.Admitted;
            }
        }
        return admitted;
    }

    static int CountedRequests(const Gateway& instance)
    {
        int counted = 0;
        for (const RetryBudget::Step& step : instance.Requests.Services.at("svc").Retries.Counts)
        {
            counted += step.Requests;
        }
        return counted;
    }

    // Time in which an instance without a decision on a quota of AnnesRate may admit a request by itself.
    static constexpr TimeUs AllowanceUs = 20 * UsPerMs;
    static constexpr double AnnesRate = 100000;

    // Without a decision an instance of a fleet of unknown size admits a customer's first request only by chance.
    static void AwaitAdmission(HandoffFleet* fleet, const RigCall& call)
    {
        int status = 0;
        for (int n = 0; n < 100 && status != 200; n++)
        {
            status = RigSendAndWait(&fleet->Parts, fleet->Second(), call).Answer.Status;
            RigRunFor(&fleet->Parts, AllowanceUs);
        }
        CPPUNIT_ASSERT_EQUAL(200, status);
    }

    void RequestsCountOnceForQuotasAndRetries()
    {
        constexpr int sent = 12;
        HandoffFleet fleet(2, {{"anne", {AnnesKey}, AnnesRate, AnnesRate}});
        RigCall call;
        call.Headers = {{"Authorization", "Bearer " + AnnesKey}};
        AwaitAdmission(&fleet, call);
        const int admitted_before = Admitted(fleet.First()) + Admitted(fleet.Second());
        const int counted_before = CountedRequests(fleet.First()) + CountedRequests(fleet.Second());
        for (int n = 0; n < sent; n++)
        {
            CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&fleet.Parts, fleet.Second(), call).Answer.Status);
            RigRunFor(&fleet.Parts, AllowanceUs);
        }
        CPPUNIT_ASSERT_EQUAL(sent, Admitted(fleet.First()) + Admitted(fleet.Second()) - admitted_before);
        CPPUNIT_ASSERT_EQUAL(sent, CountedRequests(fleet.First()) + CountedRequests(fleet.Second()) - counted_before);
    }

    static void UseUpQuota(Forwarder* forwarder, const Customer& customer)
    {
        constexpr int requests = 2000; // Far more than an instance without a decision admits by itself.
        for (int n = 0; n < requests; n++)
        {
            QuotaTake(&forwarder->Quotas, customer, NowUs(), forwarder->Rng);
        }
    }

    // Guards against a request that runs at more targets than its route allows: at two of another instance, and at one of this instance,
    // whose path is back meanwhile.
    void TheTargetsOfBothInstancesCount()
    {
        HandoffFleet fleet;
        fleet.AwaitLoss();
        for (const auto& target : fleet.Parts.Targets)
        {
            target->WorkUs = 600 * UsPerMs; // Slow enough for hedged requests.
        }
        for (const auto& instance : fleet.Parts.Instances)
        {
            instance->Requests.Services.at("svc").Retries.Extra = 100;
            instance->Requests.Work.at("r").MeanUs = 30 * UsPerMs;
        }
        const RigAnswerPtr answer = RigSend(&fleet.Parts, fleet.Second(), RigCall());
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return RigRunCount(fleet.Parts, answer->Id) == 1; }));
        fleet.Cut(1, ProxyMode_Good);
        TargetPathForget(&fleet.Second().Requests.Services.at("svc").Path, NowUs());
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, [&]() { return answer->Done; }));
        CPPUNIT_ASSERT_EQUAL(200, answer->Answer.Status);
        CPPUNIT_ASSERT_EQUAL(2, RigRunCount(fleet.Parts, answer->Id));
    }

    // Guards against a request that another instance admitted and ran, and that is refused for its quota when it is tried again here.
    void ARequestThatRanElsewhereIsNotRefusedForItsQuota()
    {
        HandoffFleet fleet(2, {{"anne", {AnnesKey}, AnnesRate / 10, AnnesRate / 10}});
        RigCall call;
        call.Headers = {{"Authorization", "Bearer " + AnnesKey}};
        AwaitAdmission(&fleet, call);
        RetryBudget& budget = fleet.First().Requests.Services.at("svc").Retries;
        budget.Share = 0;
        budget.Extra = 0; // The first instance does not try again by itself.
        for (const auto& target : fleet.Parts.Targets)
        {
            target->WorkUs = 300 * UsPerMs;
            target->Script = {TargetAct_Failed, TargetAct_Failed};
        }
        const RigAnswerPtr answer = RigSend(&fleet.Parts, fleet.Second(), call);
        const bool ran = RigRunUntil(&fleet.Parts, [&]() { return RigRunCount(fleet.Parts, answer->Id) == 1; });
        CPPUNIT_ASSERT_MESSAGE(answer->Answer.Body, ran);
        Forwarder& second = fleet.Second().Requests;
        const Customer& anne = second.Plan->Callers.List.front();
        fleet.Cut(1, ProxyMode_Good);
        TargetPathForget(&second.Services.at("svc").Path, NowUs());
        const auto done = [&]()
        {
            UseUpQuota(&second, anne);
            return answer->Done;
        };
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, done));
        CPPUNIT_ASSERT_EQUAL(500, answer->Answer.Status);
        CPPUNIT_ASSERT_EQUAL(2, RigRunCount(fleet.Parts, answer->Id));
    }

    // A caller's header of that name changes nothing at the address for callers.
    void CallersCanNotPassRequestsOffAsHandedOn()
    {
        HandoffFleet fleet;
        RigCall call;
        call.Headers = {{HeaderHandoff, "2 1 0 127.0.0.1:9 other"}};
        const RigAnswer direct = RigSendAndWait(&fleet.Parts, fleet.First(), call);
        CPPUNIT_ASSERT_EQUAL(200, direct.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, fleet.First().Requests.TakenCount);
        CPPUNIT_ASSERT_EQUAL(0, TextsWith(direct.Answer.Headers, "Handoff"));
        fleet.AwaitLoss();
        const RigAnswer handed_on = RigSendAndWait(&fleet.Parts, fleet.Second(), call);
        CPPUNIT_ASSERT_EQUAL(200, handed_on.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(0, TextsWith(fleet.Received(handed_on.Id).Headers, "Handoff"));
    }

    // Guards against requests that are blamed for crashes because the instance lost its path while they ran.
    void ACutIsNoCrash()
    {
        PathFleet fleet(3);
        for (const auto& target : fleet.Parts.Targets)
        {
            target->WorkUs = 300 * UsPerMs;
        }
        constexpr int requests = 8;
        std::vector<RigAnswerPtr> answers;
        answers.reserve(requests);
        for (int n = 0; n < requests; n++)
        {
            answers.push_back(RigSend(&fleet.Parts, *fleet.Parts.Instances[1], RigCall()));
        }
        const auto running = [&]()
        {
            const bool any = std::any_of(fleet.Parts.Targets.begin(), fleet.Parts.Targets.end(),
                                         [](const std::unique_ptr<UsersTarget>& target) { return target->Running > 0; });
            return fleet.Parts.Instances[1]->Requests.Services.at("svc").Pool.InUse && any;
        };
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, running));
        fleet.Cut(1, ProxyMode_Reset);
        const auto all_done = [&]()
        {
            return std::all_of(answers.begin(), answers.end(), [](const RigAnswerPtr& answer) { return answer->Done; });
        };
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, all_done));
        RigRunFor(&fleet.Parts, UsPerSecond); // The checks of the targets end.
        for (const auto& instance : fleet.Parts.Instances)
        {
            CPPUNIT_ASSERT(instance->Requests.Quarantined.Requests.empty());
        }
    }

    // Guards against requests that are handed on because several targets answer probes a little late.
    void TargetsThatAreSlowAreNoLoss()
    {
        PathFleet fleet(2);
        for (const auto& link : fleet.Links)
        {
            link->DelayUs = 23 * UsPerMs; // Twice: beyond the initial timeout of probes.
        }
        fleet.Cut(1, ProxyMode_Delay);
        Forwarder& requests = fleet.Parts.Instances[1]->Requests;
        requests.Services.at("svc").ProbeTimeout.ListenUs = 500 * UsPerMs; // The load of the machine must not decide,
        requests.Config.Choosing.MaxChooseShare = 1;                       // nor end the search.
        requests.Services.at("svc").Pool.Config.ReportMaxAgeUs = 500 * UsPerMs;
        const TargetPath& path = requests.Services.at("svc").Path;
        const auto enough_late = [&path]()
        {
            return path.Contacts[ContactEnd_Late] >= 3;
        };
        constexpr int requests_max = 50;
        for (int n = 0; n < 5 || (n < requests_max && !enough_late()); n++) // On a machine that is held up few answers are seen to be late.
        {
            const RigAnswer answer = RigSendAndWait(&fleet.Parts, *fleet.Parts.Instances[1], RigCall());
            CPPUNIT_ASSERT_EQUAL(200, answer.Answer.Status);
            RigRunFor(&fleet.Parts, 200 * UsPerMs);
        }
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, path.Losses);
        CPPUNIT_ASSERT(enough_late());
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, path.Contacts[ContactEnd_Silent]);
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, fleet.Parts.Instances[0]->Requests.TakenCount);
    }

    // Guards against a request that is handed on before the answers to its first probes can have come, because all of them are late.
    void ARequestWhoseProbesAreAllLateIsServedHere()
    {
        PathFleet fleet(2);
        for (const auto& link : fleet.Links)
        {
            link->DelayUs = 35 * UsPerMs; // Twice: later than the last of the first probes times out.
        }
        fleet.Cut(1, ProxyMode_Delay);
        Forwarder& requests = fleet.Parts.Instances[1]->Requests;
        requests.Services.at("svc").ProbeTimeout.ListenUs = 500 * UsPerMs; // The load of the machine must not decide,
        requests.Config.Choosing.MaxChooseShare = 1;                       // nor end the search.
        requests.Services.at("svc").Pool.Config.ReportMaxAgeUs = 500 * UsPerMs;
        const RigAnswer answer = RigSendAndWait(&fleet.Parts, *fleet.Parts.Instances[1], RigCall());
        CPPUNIT_ASSERT_EQUAL(200, answer.Answer.Status);
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, requests.Services.at("svc").Path.Losses);
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, fleet.Parts.Instances[0]->Requests.TakenCount);
    }

    // Guards against requests that are handed on because probes wait behind large answers on the own link.
    void AnOccupiedLinkIsNoLoss()
    {
        PathFleet fleet(2);
        for (const auto& link : fleet.Links)
        {
            link->DelayUs = 60 * UsPerMs; // Twice: beyond the time for which late answers are awaited otherwise.
        }
        fleet.Cut(1, ProxyMode_Delay);
        Forwarder& requests = fleet.Parts.Instances[1]->Requests;
        requests.Link.BytesPerS = 1e6;
        OwnLinkSent(&requests.Link, 10 * MiB, NowUs());
        const uint64_t before = requests.Services.at("svc").Path.Contacts[ContactEnd_Answered];
        RigSend(&fleet.Parts, *fleet.Parts.Instances[1], RigCall());
        const auto answered = [&]()
        {
            return requests.Services.at("svc").Path.Contacts[ContactEnd_Answered] > before;
        };
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, answered));
        CPPUNIT_ASSERT(fleet.Parts.Instances[1]->Targets.ExtendedUs > 0);
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, requests.Services.at("svc").Path.Losses);
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, requests.Services.at("svc").Path.Contacts[ContactEnd_Silent]);
    }

    void AnswersAreCountedOnTheOwnLink()
    {
        PathFleet fleet(1);
        OwnLink& link = fleet.Parts.Instances[0]->Requests.Link;
        link = OwnLink();
        link.BytesPerS = 1e3;
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&fleet.Parts, *fleet.Parts.Instances[0], RigCall()).Answer.Status);
        CPPUNIT_ASSERT(link.SentUs > 0);
        CPPUNIT_ASSERT(link.ReceivedUs > 0);
    }

    void TargetsAreUsedAgainOnceThePathIsBack()
    {
        HandoffFleet fleet;
        fleet.AwaitLoss();
        fleet.Cut(1, ProxyMode_Good);
        const auto open = [&]()
        {
            return TargetPathNow(&fleet.Second().Requests.Services.at("svc").Path, NowUs()) == TargetPathState_Open;
        };
        CPPUNIT_ASSERT(RigRunUntil(&fleet.Parts, open));
        const uint64_t taken = fleet.First().Requests.TakenCount;
        for (int n = 0; n < 5; n++)
        {
            CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&fleet.Parts, fleet.Second(), RigCall()).Answer.Status);
        }
        CPPUNIT_ASSERT_EQUAL(taken, fleet.First().Requests.TakenCount);
        CPPUNIT_ASSERT_EQUAL(ProbeTimeoutNow(AdaptiveProbeTimeout()),
                             ProbeTimeoutNow(fleet.Second().Requests.Services.at("svc").ProbeTimeout));
    }

    // A follower of an earlier version tells nothing of itself: it is not known as a peer, and its answer has no part that it can't read.
    void EarlierVersionsAreNotAskedAndReadTheAnswers()
    {
        HandoffFleet fleet(1);
        const uint64_t at = fleet.Parts.Store.Revision;
        const std::string query = fmt::format("/changes?after={}&waitMs=0&from=127.0.0.1:9&dataCentre=dc", at);
        for (const bool tells : {false, true})
        {
            ClientRequest request;
            request.Address = fleet.First().Config.PeerAddress;
            request.Target = query + (tells ? "&peers=7f0000010009123400"
                                              "7f000001000a123485"
                                              "77x"
                                            : "");
            const ClientAnswer answer = ClientSendAndWait(&fleet.Parts.Callers, std::move(request));
            CPPUNIT_ASSERT_EQUAL(200, answer.Status);
            const Result<StorePage> page = DecodePage(answer.Body);
            CPPUNIT_ASSERT(bool(page));
            CPPUNIT_ASSERT_EQUAL(size_t(tells ? 2 : 0), page.value().Peers.size());
            CPPUNIT_ASSERT_EQUAL(size_t(tells ? 2 : 0), fleet.First().Requests.Others.Known.size());
        }
        CPPUNIT_ASSERT(fleet.First().Requests.Others.Known.at("127.0.0.1:9").HasPath);
        CPPUNIT_ASSERT(!fleet.First().Requests.Others.Known.at("127.0.0.1:10").HasPath);
    }

    void TheStatusPageShowsThePath()
    {
        HandoffFleet fleet;
        fleet.AwaitLoss();
        const uint64_t answered = fleet.Second().Requests.Others.Ended[PeerEnd_Answered];
        const uint64_t taken = fleet.First().Requests.TakenCount;
        CPPUNIT_ASSERT_EQUAL(200, RigSendAndWait(&fleet.Parts, fleet.Second(), RigCall()).Answer.Status);
        const std::string status = StatusText(fleet.Second());
        CPPUNIT_ASSERT(status.find("\"path\": \"lost\"") != std::string::npos);
        CPPUNIT_ASSERT(status.find("\"handedOn\"") != std::string::npos);
        CPPUNIT_ASSERT(MetricsText(fleet.Second()).find("winchlink_target_path_open{service=\"svc\"} 0") != std::string::npos);
        const std::string handed_on = fmt::format("winchlink_handoffs{{end=\"answered\"}} {}\n", answered + 1);
        const std::string taken_on = fmt::format("winchlink_handoffs_taken {}\n", taken + 1);
        CPPUNIT_ASSERT(MetricsText(fleet.Second()).find(handed_on) != std::string::npos);
        CPPUNIT_ASSERT(MetricsText(fleet.First()).find(taken_on) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandoffTest);

} // namespace Winchlink
