#include "coordination/rankshares.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

RankShares shares(bool useFloors = true)
{
    const Rank rank = Rank::Builder().set(&RankFields::floorShare, 0.2).build();
    return RankShares(
        {rank.with(&RankFields::name, RankName("other")).with(&RankFields::priority, 1), rank.with(&RankFields::name, RankName("urgent"))},
        useFloors);
}

constexpr auto always = [](std::size_t) {
    return true;
};

}

BOOST_AUTO_TEST_SUITE(RankSharesTests)

BOOST_AUTO_TEST_CASE(ranksAreSortedByUrgencyAndUnknownNamesAreTheLeastUrgent)
{
    const RankShares it = shares();
    BOOST_TEST(it.indexOf(RankName("urgent")) == 0U);
    BOOST_TEST(it.indexOf(RankName("other")) == 1U);
    BOOST_TEST(it.indexOf(RankName("nobody")) == 1U);
}

BOOST_AUTO_TEST_CASE(anOverloadOfTheUrgentRankLeavesTheOtherItsFloorShare)
{
    RankShares it = shares();
    absl::Time now = absl::FromUnixSeconds(10);
    double other = 0;
    constexpr int rounds = 2000;
    for (int i = 0; i < rounds; ++i) {
        now += absl::Milliseconds(10);
        const std::size_t first = it.order(always, now).front();
        it.charge(first, 10, now);
        other += first == 1 ? 1 : 0;
    }
    BOOST_TEST(other / rounds >= 0.95 * 0.2);
    BOOST_TEST(other / rounds <= 0.25);
}

BOOST_AUTO_TEST_CASE(withoutFloorsOnlyUrgencyCounts)
{
    RankShares it = shares(false);
    const absl::Time now = absl::FromUnixSeconds(10);
    it.charge(0, 1000, now);
    BOOST_TEST(it.order(always, now).front() == 0U);
    BOOST_TEST(it.order([](std::size_t rank) { return rank == 1; }, now).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
