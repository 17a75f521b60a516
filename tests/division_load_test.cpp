// division_load_test.cpp: load that is uneven between data centres, see division_model.h. Guards against a data centre that refuses
// requests while another has room, against requests that cross for nothing, and against swings.
//
// Each pattern is also played without the part, near first, to show that it is the part that serves it.

#include "division_model.h"

#include <cmath>
#include <fmt/format.h>

namespace Winchlink
{

namespace
{

constexpr double SpreadMax = 0.02;      // Callers of all data centres fare alike: in time, between the best and the worst one.
constexpr double CrestPerS = 1.5 * 580; // Small requests of all data centres together.
constexpr PerCentre Uneven = {0.285, 0.285, 0.43};

// Waves of the demand, as a factor.
double WaveAt(TimeUs now)
{
    constexpr double first_us = 11.0 * UsPerSecond;
    constexpr double second_us = 17.0 * UsPerSecond;
    const auto at = static_cast<double>(now);
    return 1 + 0.3 * std::sin(2 * M_PI * at / first_us) + 0.2 * std::sin(2 * M_PI * at / second_us);
}

PerCentre Times(const PerCentre& shares, double factor)
{
    return {shares[0] * factor, shares[1] * factor, shares[2] * factor};
}

std::function<PerCentre(TimeUs)> Waves(const PerCentre& shares, double per_s)
{
    return [shares, per_s](TimeUs now)
    {
        return Times(shares, per_s * WaveAt(now));
    };
}

DivisionResult WithoutDivision(DivisionPlan plan)
{
    plan.Divide = false;
    return SimulateDivision(plan);
}

int CrossedOf(const std::array<CentreResult, CentreCount>& results)
{
    return results[0].Crossed + results[1].Crossed + results[2].Crossed;
}

// Adds the small requests of another run, and what is counted for all of them.
void Add(DivisionResult* result, const DivisionResult& other)
{
    for (size_t centre = 0; centre < CentreCount; centre++)
    {
        result->Small[centre].Requests += other.Small[centre].Requests;
        result->Small[centre].InTime += other.Small[centre].InTime;
        result->Small[centre].Refused += other.Small[centre].Refused;
        result->Small[centre].Crossed += other.Small[centre].Crossed;
    }
    result->Requests += other.Requests;
    result->Probes += other.Probes;
    result->Unusable += other.Unusable;
}

// The small requests of the half seconds from `from` to `end`.
DivisionResult Between(const DivisionResult& result, TimeUs from, TimeUs end)
{
    constexpr TimeUs step = UsPerSecond / 2;
    DivisionResult part;
    for (size_t n = static_cast<size_t>(from / step); n < std::min(result.Steps.size(), static_cast<size_t>(end / step)); n++)
    {
        for (size_t centre = 0; centre < CentreCount; centre++)
        {
            part.Small[centre].Requests += result.Steps[n][centre].Requests;
            part.Small[centre].InTime += result.Steps[n][centre].InTime;
            part.Small[centre].Refused += result.Steps[n][centre].Refused;
            part.Small[centre].Crossed += result.Steps[n][centre].Crossed;
        }
    }
    return part;
}

} // namespace

class DivisionLoadTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(DivisionLoadTest);
    CPPUNIT_TEST(ADataCentreWithAQuarterOfTheTargetsAndTwoFifthsOfTheCallers);
    CPPUNIT_TEST(AThirdOfTheCallersMoveToAnotherDataCentreWithinASecond);
    CPPUNIT_TEST(AStepIsAnsweredWithoutASwingAtAnySize);
    CPPUNIT_TEST(AStepBetweenDataCentresThatAreFarApart);
    CPPUNIT_TEST(AStepIsAnsweredWithoutASwingAtThreeInstances);
    CPPUNIT_TEST(ADataCentreIsEvacuatedAndComesBackCold);
    CPPUNIT_TEST(HalfOfTheInstancesDieInACrest);
    CPPUNIT_TEST(DataCentresCutFromEachOtherAgreeAgain);
    CPPUNIT_TEST(ALargeAnswerBurstBesideSmallOnes);
    CPPUNIT_TEST(EquallyFullDataCentresExchangeLittle);
    CPPUNIT_TEST(NoDataCentreRefusesWhileAnotherHasRoom);
    CPPUNIT_TEST(ACrestWhileMessagesAreLost);
    CPPUNIT_TEST(ACrestWhileANeighbourLies);
    CPPUNIT_TEST(ACrestWhileANeighbourComesBackWithOldReports);
    CPPUNIT_TEST(ACrestWhileNeighboursAreSilent);
    CPPUNIT_TEST_SUITE_END();

    // Pattern: a data centre with a quarter of the targets and two fifths of the callers, in a crest.
    void ADataCentreWithAQuarterOfTheTargetsAndTwoFifthsOfTheCallers()
    {
        DivisionPlan plan;
        plan.PerS = Waves(Uneven, CrestPerS);
        const DivisionResult result = SimulateDivision(plan);
        const DivisionResult without = WithoutDivision(plan);
        const std::string text = DivisionText(result) + "; without: " + DivisionText(without);
        CPPUNIT_ASSERT_MESSAGE(text, InTimeSpread(result) <= SpreadMax);
        CPPUNIT_ASSERT_MESSAGE(text, InTimeSpread(without) > 5 * SpreadMax);
        CPPUNIT_ASSERT_MESSAGE(text, InTimeShareOfAll(result) > InTimeShareOfAll(without) + SpreadMax);
        // Only the excess crosses: of two that cross, one at least would not have been served in time at home.
        const auto in_time = [](const DivisionResult& of)
        {
            return of.Small[0].InTime + of.Small[1].InTime + of.Small[2].InTime;
        };
        CPPUNIT_ASSERT_MESSAGE(text, 2 * (in_time(result) - in_time(without)) >= CrossedOf(result.Small));
    }

    static DivisionPlan ShiftPlan()
    {
        constexpr TimeUs from = 5 * UsPerSecond;
        DivisionPlan plan;
        plan.LengthUs = 20 * UsPerSecond;
        plan.PerS = [](TimeUs now) -> PerCentre
        {
            constexpr double moved = 1.0 / 3;
            const double part = std::clamp(static_cast<double>(now - from) / UsPerSecond, 0.0, 1.0) * moved;
            constexpr PerCentre even = {59.0 / 151, 56.0 / 151, 36.0 / 151};
            return Times({even[0] * (1 - part), even[1] * (1 - part), even[2] + (even[0] + even[1]) * part}, CrestPerS);
        };
        return plan;
    }

    // Pattern: a third of the callers move to another data centre within a second.
    void AThirdOfTheCallersMoveToAnotherDataCentreWithinASecond()
    {
        constexpr TimeUs followed = 8 * UsPerSecond; // Two seconds after the move.
        const DivisionPlan plan = ShiftPlan();
        const DivisionResult result = Between(SimulateDivision(plan), followed, plan.LengthUs);
        const DivisionResult without = Between(WithoutDivision(plan), followed, plan.LengthUs);
        const std::string text = DivisionText(result) + "; without: " + DivisionText(without);
        CPPUNIT_ASSERT_MESSAGE(text, InTimeSpread(result) <= SpreadMax);
        CPPUNIT_ASSERT_MESSAGE(text, InTimeSpread(without) > 5 * SpreadMax);
    }

    struct Step
    {
        std::array<size_t, CentreCount> Instances;
        TimeUs OneWayUs;
        double LostShare;
    };

    // Pattern: a third of the callers move, at 18 to 587 instances, with lost messages. The crossing flow neither swings to and fro between
    // data centres nor overshoots: after the step it stays near its mean.
    void AStepIsAnsweredWithoutASwingAtAnySize()
    {
        CheckSteps({{{6, 6, 6}, 3 * UsPerMs, 0.2}, {{65, 66, 66}, 3 * UsPerMs, 0.2}, {{195, 196, 196}, 3 * UsPerMs, 0.2}});
    }

    // Pattern: the same between data centres that are far apart, where the way takes much of the time that a request has, or all of it.
    void AStepBetweenDataCentresThatAreFarApart()
    {
        CheckSteps({{{65, 66, 66}, 20 * UsPerMs, 0.2}, {{65, 66, 66}, 50 * UsPerMs, 0.2}});
    }

    // Pattern: the same with one instance in each data centre.
    void AStepIsAnsweredWithoutASwingAtThreeInstances()
    {
        CheckSteps({{{1, 1, 1}, 3 * UsPerMs, 0}});
    }

    static void CheckSteps(const std::vector<Step>& cases)
    {
        constexpr TimeUs followed = 7 * UsPerSecond;
        for (const Step& played : cases)
        {
            DivisionPlan plan = ShiftPlan();
            plan.Instances = played.Instances;
            plan.OneWayUs = played.OneWayUs;
            plan.LostShare = played.LostShare;
            const DivisionResult all = SimulateDivision(plan);
            const DivisionResult after = Between(all, followed, plan.LengthUs);
            const std::string text =
                fmt::format("{} instances, {} us one way: {}", 3 * played.Instances[0], played.OneWayUs, DivisionText(after));
            const double mean = after.Small[2].Crossed / (static_cast<double>(plan.LengthUs - followed) / UsPerSecond);
            int above = 0;
            for (TimeUs from = 5 * UsPerSecond; from < plan.LengthUs; from += UsPerSecond)
            {
                const int crossed = Between(all, from, from + UsPerSecond).Small[2].Crossed;
                above += crossed > 1.5 * mean ? 1 : 0;
            }
            // At 50 ms one way an answer from elsewhere would be late: then nothing crosses.
            constexpr TimeUs too_far = 50 * UsPerMs;
            CPPUNIT_ASSERT_MESSAGE(text, (after.Small[2].Crossed > 0) == (played.OneWayUs < too_far));
            CPPUNIT_ASSERT_MESSAGE(text, above <= 1);
            CPPUNIT_ASSERT_MESSAGE(text, after.Small[0].Crossed + after.Small[1].Crossed <= 0.1 * after.Small[2].Crossed);
        }
    }

    // Pattern: a data centre is evacuated and comes back cold.
    void ADataCentreIsEvacuatedAndComesBackCold()
    {
        DivisionPlan plan;
        plan.PerS = Waves(Uneven, 0.6 * CrestPerS);
        plan.LargePerS = Waves(Uneven, 0.05 * CrestPerS);
        plan.EvacuatedCentre = 2;
        plan.EvacuatedUs = 5 * UsPerSecond;
        plan.BackUs = 10 * UsPerSecond;
        plan.ColdUs = 3 * UsPerSecond;
        const DivisionResult result = SimulateDivision(plan);
        const DivisionResult without = WithoutDivision(plan);
        const std::string text = DivisionText(result) + "; without: " + DivisionText(without);
        CPPUNIT_ASSERT_MESSAGE(text, InTimeSpread(result) <= SpreadMax);
        CPPUNIT_ASSERT_MESSAGE(text, InTimeShareOfAll(result) >= InTimeShareOfAll(without));
        // Afterwards nearly all stays at home again.
        const DivisionResult after = Between(result, plan.BackUs + plan.ColdUs + UsPerSecond, plan.LengthUs);
        CPPUNIT_ASSERT_MESSAGE(DivisionText(after), after.Small[2].Crossed <= 0.1 * after.Small[2].Requests);
    }

    // Pattern: half of the instances die in a crest.
    void HalfOfTheInstancesDieInACrest()
    {
        constexpr TimeUs die = 5 * UsPerSecond;
        DivisionPlan plan;
        plan.LengthUs = 20 * UsPerSecond;
        plan.PerS = [](TimeUs)
        {
            return Times(Uneven, CrestPerS);
        };
        plan.Dead = [](TimeUs now, size_t instance)
        {
            return now >= die && instance % 2 == 1;
        };
        const DivisionResult result = Between(SimulateDivision(plan), die, plan.LengthUs);
        const DivisionResult without = Between(WithoutDivision(plan), die, plan.LengthUs);
        const std::string text = DivisionText(result) + "; without: " + DivisionText(without);
        CPPUNIT_ASSERT_MESSAGE(text, InTimeSpread(result) <= SpreadMax);
        CPPUNIT_ASSERT_MESSAGE(text, InTimeSpread(without) > 5 * SpreadMax);
    }

    // Pattern: data centres cut from each other: each for itself, and agreeing again after.
    void DataCentresCutFromEachOtherAgreeAgain()
    {
        constexpr TimeUs cut = 5 * UsPerSecond;
        constexpr TimeUs back = 15 * UsPerSecond;
        DivisionPlan plan;
        plan.LengthUs = 30 * UsPerSecond;
        plan.PerS = [](TimeUs)
        {
            return Times(Uneven, CrestPerS);
        };
        plan.Cut = [](TimeUs now)
        {
            return now >= cut && now < back;
        };
        const DivisionResult all = SimulateDivision(plan);
        const DivisionResult without = WithoutDivision(plan);
        const DivisionResult apart = Between(all, cut + UsPerSecond, back - UsPerSecond);
        const DivisionResult apart_without = Between(without, cut + UsPerSecond, back - UsPerSecond);
        const DivisionResult after = Between(all, back + UsPerSecond, plan.LengthUs);
        const std::string text =
            fmt::format("apart {}; without: {}; after {}", DivisionText(apart), DivisionText(apart_without), DivisionText(after));
        CPPUNIT_ASSERT_MESSAGE(text, CrossedOf(apart.Small) == 0);
        CPPUNIT_ASSERT_MESSAGE(text, InTimeShareOfAll(apart) >= InTimeShareOfAll(apart_without) - SpreadMax);
        CPPUNIT_ASSERT_MESSAGE(text, InTimeSpread(after) <= SpreadMax);
        const DivisionResult after_without = Between(without, back + UsPerSecond, plan.LengthUs);
        CPPUNIT_ASSERT_MESSAGE(text, InTimeSpread(after_without) > 5 * SpreadMax);
    }

    // Pattern: a large-answer burst beside small ones.
    void ALargeAnswerBurstBesideSmallOnes()
    {
        DivisionPlan plan;
        plan.PerS = Waves(Uneven, 0.8 * CrestPerS);
        plan.LargePerS = [](TimeUs now)
        {
            return Times(Uneven, now > 5 * UsPerSecond && now < 15 * UsPerSecond ? 150 : 40);
        };
        const DivisionResult result = SimulateDivision(plan);
        const DivisionResult without = WithoutDivision(plan);
        DivisionPlan unordered_plan = plan;
        unordered_plan.Config.SlackFactor = 1e9; // Kinds make no difference.
        const DivisionResult unordered = SimulateDivision(unordered_plan);
        const std::string text =
            fmt::format("{}; without: {}; kinds alike: {}", DivisionText(result), DivisionText(without), DivisionText(unordered));
        CPPUNIT_ASSERT_MESSAGE(text, CrossedOf(result.Large) <= 0.01 * result.Large[2].Requests);
        CPPUNIT_ASSERT_MESSAGE(text, CrossedOf(unordered.Large) > 0.1 * result.Large[2].Requests);
        CPPUNIT_ASSERT_MESSAGE(text, result.Bytes <= 0.5 * unordered.Bytes);
        CPPUNIT_ASSERT_MESSAGE(text, InTimeSpread(result) <= SpreadMax);
        CPPUNIT_ASSERT_MESSAGE(text, InTimeShareOfAll(result) > InTimeShareOfAll(without));
    }

    // Pattern: twice the crest, with demand in proportion to the targets: what crosses serves nobody.
    void EquallyFullDataCentresExchangeLittle()
    {
        DivisionPlan plan;
        plan.LengthUs = 10 * UsPerSecond;
        plan.PerS = [](TimeUs)
        {
            return Times({59.0 / 151, 56.0 / 151, 36.0 / 151}, 2 * CrestPerS);
        };
        const DivisionResult result = SimulateDivision(plan);
        const std::string text = DivisionText(result);
        const int requests = result.Small[0].Requests + result.Small[1].Requests + result.Small[2].Requests;
        CPPUNIT_ASSERT_MESSAGE(text, CrossedOf(result.Small) <= 0.03 * requests);
    }

    static double RefusedShare(const CentreResult& result)
    {
        return static_cast<double>(result.Refused) / std::max(result.Requests, 1);
    }

    // The crest of a data centre with a quarter of the targets and two fifths of the callers, twice.
    static DivisionResult PlayCrest(DivisionPlan plan)
    {
        plan.PerS = Waves(Uneven, CrestPerS);
        DivisionResult both = SimulateDivision(plan);
        plan.Seed++;
        Add(&both, SimulateDivision(plan));
        return both;
    }

    // Nothing that is told overrides what a target's own answer, its evacuation or its back-off says, and a request needs no more probes.
    static void CheckKnown(const DivisionResult& result)
    {
        constexpr int probes_max = 5;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(DivisionText(result), 0, result.Unusable);
        CPPUNIT_ASSERT_MESSAGE(DivisionText(result), result.Probes <= probes_max * result.Requests);
    }

    static void CheckCrest(const DivisionPlan& plan)
    {
        const DivisionResult result = PlayCrest(plan);
        CheckKnown(result);
        CPPUNIT_ASSERT_MESSAGE(DivisionText(result), InTimeSpread(result) <= SpreadMax);
        const double least = std::min(RefusedShare(result.Small[0]), RefusedShare(result.Small[1]));
        CPPUNIT_ASSERT_MESSAGE(DivisionText(result), RefusedShare(result.Small[2]) - least <= SpreadMax);
    }

    // Pattern: a crest of callers in one data centre, with two series of random numbers.
    void NoDataCentreRefusesWhileAnotherHasRoom()
    {
        CheckCrest({});
    }

    // Pattern: the same while three tenths of the messages between instances are lost.
    void ACrestWhileMessagesAreLost()
    {
        DivisionPlan plan;
        plan.LostShare = 0.3;
        CheckCrest(plan);
    }

    // Pattern: the same while one instance tells room that there isn't, and more targets than there are.
    void ACrestWhileANeighbourLies()
    {
        DivisionPlan plan;
        plan.LastIs = ChooseFleetNeighbour_Lies;
        CheckCrest(plan);
    }

    // Pattern: an instance was paused and comes back with old reports.
    void ACrestWhileANeighbourComesBackWithOldReports()
    {
        DivisionPlan plan;
        plan.LastIs = ChooseFleetNeighbour_Late;
        CheckCrest(plan);
    }

    // Pattern: the same while three tenths of the instances neither tell nor hear, as of an older version. These choose near first, so the
    // callers of the small data centre can't fare as well, but better than without.
    void ACrestWhileNeighboursAreSilent()
    {
        DivisionPlan plan;
        plan.Odd = ChooseFleetNeighbour_Silent;
        plan.OddShare = 0.3;
        const DivisionResult result = PlayCrest(plan);
        plan.Divide = false;
        const DivisionResult without = PlayCrest(plan);
        const std::string text = DivisionText(result) + "; without: " + DivisionText(without);
        CheckKnown(result);
        CPPUNIT_ASSERT_MESSAGE(text, InTimeSpread(result) <= SpreadMax);
        CPPUNIT_ASSERT_MESSAGE(text, 2 * RefusedShare(result.Small[2]) <= RefusedShare(without.Small[2]));
        CPPUNIT_ASSERT_MESSAGE(text, InTimeShareOfAll(result) > InTimeShareOfAll(without));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DivisionLoadTest);

} // namespace Winchlink
