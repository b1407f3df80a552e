#include "coordination/memoryforecast.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace Apricot;

namespace {

/// Computes peakMemory() by a simulation in steps of one token.
std::int64_t peakBySimulation(const std::vector<MemoryUse> &uses)
{
    std::int64_t longest = 0;
    for (const MemoryUse &use : uses) {
        longest = std::max(longest, use.remainingTokens);
    }
    std::int64_t peak = 0;
    for (std::int64_t t = 0; t <= longest; ++t) {
        std::int64_t held = 0;
        for (const MemoryUse &use : uses) {
            held += use.remainingTokens >= t ? use.heldTokens + t : 0;
        }
        peak = std::max(peak, held);
    }
    return peak;
}

}

BOOST_AUTO_TEST_SUITE(MemoryForecasts)

BOOST_AUTO_TEST_CASE(thePeakEqualsThatOfASimulation)
{
    std::mt19937 random(20261204);
    for (int round = 0; round < 200; ++round) {
        std::vector<MemoryUse> uses;
        const int n = static_cast<int>(random() % 9);
        for (int i = 0; i < n; ++i) {
            uses.push_back(MemoryUse{static_cast<std::int64_t>(random() % 50), static_cast<std::int64_t>(random() % 40)});
        }
        BOOST_TEST(peakMemory(uses) == peakBySimulation(uses));
    }
}

BOOST_AUTO_TEST_CASE(theEstimateLiesBetweenHintAndMean)
{
    BOOST_TEST(estimateOutputTokens(0, 400, 1000) == 400);
    BOOST_TEST(estimateOutputTokens(100, 400, 1000) == 200);
    BOOST_TEST(estimateOutputTokens(1000000, 400, 1000) == 1000);
}

BOOST_AUTO_TEST_CASE(aRunBeyondItsEstimateIsExpectedToContinue)
{
    BOOST_TEST(remainingTokens(100, 40) == 60);
    BOOST_TEST(remainingTokens(100, 200) > 0);
}

BOOST_AUTO_TEST_SUITE_END()
