#include "coordination/peerclock.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(PeerClocks)

namespace {

const absl::Time here = absl::FromUnixSeconds(1000);
const absl::Time there = absl::FromUnixSeconds(5); ///< the same moment on the peer's clock
constexpr absl::Duration quickest = absl::Milliseconds(1);

}

BOOST_AUTO_TEST_CASE(aWordThatWasHeldUpDoesNotMoveThePeersTime)
{
    PeerClock clock;
    clock.heard(there, here + quickest);
    clock.heard(there + absl::Milliseconds(100), here + absl::Milliseconds(140));
    BOOST_TEST((clock.toLocal(there + absl::Milliseconds(500)) == here + absl::Milliseconds(500) + quickest));
}

BOOST_AUTO_TEST_CASE(theQuickestWordIsRememberedIntoTheNextWindow)
{
    PeerClock clock;
    clock.heard(there, here + quickest);
    clock.heard(there + absl::Seconds(4), here + absl::Seconds(4) + absl::Milliseconds(30));
    BOOST_TEST((clock.toLocal(there) == here + quickest));
}

BOOST_AUTO_TEST_CASE(aClockThatStoodStillIsLearntAnew)
{
    PeerClock clock;
    clock.heard(there, here + quickest);
    const absl::Duration stood = absl::Seconds(2);
    for (int second = 3; second < 12; ++second) {
        clock.heard(there + absl::Seconds(second), here + absl::Seconds(second) + stood + quickest);
    }
    BOOST_TEST((clock.toLocal(there) == here + stood + quickest));
}

BOOST_AUTO_TEST_SUITE_END()
