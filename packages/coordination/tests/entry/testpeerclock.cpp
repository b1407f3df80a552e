#include "coordination/peerclock.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(PeerClocks)

namespace {

const absl::Time here = absl::FromUnixSeconds(1000);
const absl::Time there = absl::FromUnixSeconds(5); ///< the same moment on the peer's clock
constexpr absl::Duration minDelay = absl::Milliseconds(1);

}

BOOST_AUTO_TEST_CASE(aDelayedMessageDoesNotChangeTheOffset)
{
    PeerClock clock;
    clock.addSample(there, here + minDelay);
    clock.addSample(there + absl::Milliseconds(100), here + absl::Milliseconds(140));
    BOOST_TEST((clock.toLocal(there + absl::Milliseconds(500)) == here + absl::Milliseconds(500) + minDelay));
}

BOOST_AUTO_TEST_CASE(theMinimumOffsetIsKeptIntoTheNextWindow)
{
    PeerClock clock;
    clock.addSample(there, here + minDelay);
    clock.addSample(there + absl::Seconds(4), here + absl::Seconds(4) + absl::Milliseconds(30));
    BOOST_TEST((clock.toLocal(there) == here + minDelay));
}

BOOST_AUTO_TEST_CASE(theOffsetAdaptsAfterThePeersClockStopped)
{
    PeerClock clock;
    clock.addSample(there, here + minDelay);
    const absl::Duration pause = absl::Seconds(2);
    for (int second = 3; second < 12; ++second) {
        clock.addSample(there + absl::Seconds(second), here + absl::Seconds(second) + pause + minDelay);
    }
    BOOST_TEST((clock.toLocal(there) == here + pause + minDelay));
}

BOOST_AUTO_TEST_SUITE_END()
