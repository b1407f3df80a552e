#include "coordination/enginepairing.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace Apricot;

namespace {

struct Engine
{
    DataCentreName name;
    double cost = 0;

    const DataCentreName &dataCentre() const
    {
        return name;
    }
};

using Pair = std::optional<std::pair<std::size_t, std::size_t>>;

/// Returns the first pair of lowest cost of \a decodes with those of \a prefills that \a indices names.
Pair cheapestPair(const std::vector<Engine> &decodes, const std::vector<Engine> &prefills, const std::vector<std::size_t> &indices)
{
    constexpr double transferCost = 15;
    Pair best;
    double lowest = 0;
    for (std::size_t decode = 0; decode < decodes.size(); ++decode) {
        for (const std::size_t prefill : indices) {
            const bool isNear = decodes[decode].name == prefills[prefill].name;
            const double cost = decodes[decode].cost + prefills[prefill].cost + (isNear ? 0 : transferCost);
            if (!best || cost < lowest) {
                best = std::pair(decode, prefill);
                lowest = cost;
            }
        }
    }
    return best;
}

std::vector<Engine> randomEngines(std::mt19937_64 &random, std::size_t maxCount)
{
    std::vector<Engine> engines(random() % (maxCount + 1));
    for (Engine &it : engines) {
        // Whole numbers, so that equal costs are frequent.
        it = Engine{DataCentreName("dc" + std::to_string(random() % 4)), static_cast<double>(random() % 40)};
    }
    return engines;
}

}

BOOST_AUTO_TEST_SUITE(EnginePairing)

/// Guards against a reduced set of pairs that misses the placement which the comparison of all pairs finds.
BOOST_AUTO_TEST_CASE(theReducedPairsContainTheCheapestOfAllPairs)
{
    constexpr double maxCost = 30;
    std::mt19937_64 random(20261206);
    for (int i = 0; i < 5000; ++i) {
        const std::vector<Engine> decodes = randomEngines(random, 12);
        const std::vector<Engine> prefills = randomEngines(random, 20);
        std::vector<std::size_t> all;
        for (std::size_t n = 0; n < prefills.size(); ++n) {
            if (prefills[n].cost <= maxCost) {
                all.push_back(n);
            }
        }
        BOOST_REQUIRE(
            (cheapestPair(decodes, prefills, cheapestOfEachDataCentre(prefills, maxCost)) == cheapestPair(decodes, prefills, all)));
    }
}

/// Guards against a number of pairs that grows with the square of the number of engines.
BOOST_AUTO_TEST_CASE(oneCandidateIsLeftOfEachDataCentre)
{
    std::vector<Engine> prefills;
    for (int i = 0; i < 3000; ++i) {
        prefills.push_back(Engine{DataCentreName("dc" + std::to_string(i % 13)), 1.0 + i});
    }
    BOOST_TEST(cheapestOfEachDataCentre(prefills, 1e9).size() == 13U);
    BOOST_TEST(cheapestOfEachDataCentre(prefills, 2).size() == 2U);
    BOOST_TEST(cheapestOfEachDataCentre(prefills, 0).empty());
}

BOOST_AUTO_TEST_SUITE_END()
