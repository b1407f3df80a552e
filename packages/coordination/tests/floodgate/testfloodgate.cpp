#include "coordination/floodgate.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(FloodGates)

BOOST_AUTO_TEST_CASE(anOverloadedRankIsLimitedToTheOwnersRate)
{
    FloodGate gate;
    absl::Time now = absl::FromUnixSeconds(50);
    const RankName rank("other");
    int admitted = 0;
    for (int i = 0; i < 2000; ++i) {
        now += absl::Milliseconds(5);
        gate.update({RankLimit{rank, true, 40}}, 4, now);
        admitted += gate.admits(rank, now) ? 1 : 0;
    }
    // 10 s at twice a quarter of 40 requests per second.
    BOOST_TEST(admitted >= 190);
    BOOST_TEST(admitted <= 220);
    BOOST_TEST(gate.admits(RankName("urgent"), now));
}

BOOST_AUTO_TEST_CASE(anExpiredLimitIsIgnored)
{
    FloodGate gate;
    const absl::Time now = absl::FromUnixSeconds(50);
    gate.update({RankLimit{RankName("other"), true, 0}}, 1, now);
    gate.admits(RankName("other"), now);
    gate.admits(RankName("other"), now);
    BOOST_TEST(!gate.admits(RankName("other"), now));
    BOOST_TEST(gate.admits(RankName("other"), now + FloodGate::validity + absl::Milliseconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
