// check.h: helpers for unit tests and property tests.

#pragma once

#include "winchlink.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <rapidcheck.h>
#include <rapidcheck/detail/Configuration.h>

// Asserts that a property holds for all generated cases. CHECK_COSTLY_PROPERTY runs only a percentage of the usual number of cases.
#define CHECK_PROPERTY(text, ...) CPPUNIT_ASSERT_MESSAGE(text, Winchlink::HoldsFor(100, true, text, __VA_ARGS__))
#define CHECK_COSTLY_PROPERTY(percent, text, ...) CPPUNIT_ASSERT_MESSAGE(text, Winchlink::HoldsFor(percent, true, text, __VA_ARGS__))

// Asserts that a property fails for code with a deliberate fault, to show that the property can detect it.
#define CHECK_FINDS_FAULT(text, ...) CPPUNIT_ASSERT_MESSAGE(text, !Winchlink::HoldsFor(400, false, text, __VA_ARGS__))

namespace Winchlink
{

// Like rc::check(), but runs `percent` of the number of cases in RC_PARAMS, and shrinks failing cases only if `shrink` is set.
template <class Testable> bool HoldsFor(int percent, bool shrink, const std::string& text, Testable testable)
{
    rc::detail::TestMetadata metadata;
    metadata.id = text;
    metadata.description = text;
    rc::detail::TestParams params = rc::detail::configuration().testParams;
    params.maxSuccess = std::max(1, params.maxSuccess * percent / 100);
    params.disableShrinking = !shrink;
    const rc::detail::TestResult result = rc::detail::checkTestable(testable, metadata, params);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << "\n- " << text << "\n";
    return result.template is<rc::detail::SuccessResult>();
}

// Random numbers of one generated case. rapidcheck generates only the seed: generating and shrinking each value would be too slow for cases
// with thousands of steps.
// A function's arguments may contain one draw at most: C++ doesn't define the order in which they are evaluated, so a seed would give
// different cases on different processors.
struct TestRandom
{
    Random Rng;

    explicit TestRandom(uint64_t seed) : Rng(seed)
    {
    }

    TestRandom() : Rng(*rc::gen::noShrink(rc::gen::arbitrary<uint64_t>()))
    {
    }

    // Returns a uniformly distributed number in [min, end).
    int64_t Between(int64_t min, int64_t end)
    {
        return std::uniform_int_distribution<int64_t>(min, end - 1)(Rng);
    }

    // Returns true with probability 1/n.
    bool OneIn(int64_t n)
    {
        return Between(0, n) == 0;
    }
};

// Returns whether a fault with the given code was reported at the key path `where`.
inline bool HasFault(const std::vector<Fault>& faults, Code_ code, const std::string& where)
{
    return std::any_of(faults.begin(), faults.end(), [&](const Fault& f) { return f.Code == code && f.Where == where; });
}

// Returns a small valid row.
inline ServiceRow MakeRow(const std::string& name, int targets = 2)
{
    constexpr int first_port = 9000;
    ServiceRow row;
    row.Name = name;
    row.PathPrefix = "/" + name;
    for (int n = 0; n < targets; n++)
    {
        row.Targets.push_back({"127.0.0.1:" + std::to_string(first_port + n), "dc1", 1, 3});
    }
    return row;
}

} // namespace Winchlink
