#include "state/eventring.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(EventRings)

BOOST_AUTO_TEST_CASE(oldestEventsAreDroppedFirst)
{
    EventRing ring(2);
    for (int i = 0; i < 3; ++i) {
        ring.add(TimelineEvent{{i, 0}, "node", i == 2 ? "r2" : "r1", "step", {}});
    }
    BOOST_TEST(ring.events("").size() == 2U);
    BOOST_TEST(ring.events("r1").size() == 1U);
    BOOST_TEST(ring.events("r1").front().timestamp.micros == 1);
}

BOOST_AUTO_TEST_CASE(timestampsFollowObservedOnesWhenTheClockGoesBack)
{
    HybridClock clock;
    const absl::Time now = absl::FromUnixMicros(1000);
    clock.observe(HybridTimestamp{5000, 3});
    const HybridTimestamp first = clock.next(now);
    const HybridTimestamp second = clock.next(now - absl::Seconds(1));
    BOOST_TEST((first > HybridTimestamp{5000, 3}));
    BOOST_TEST((second > first));
}

BOOST_AUTO_TEST_SUITE_END()
