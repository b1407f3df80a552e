#include "coordination/recentmaximum.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(3);

}

BOOST_AUTO_TEST_SUITE(RecentMaxima)

BOOST_AUTO_TEST_CASE(theMaximumHoldsForAtLeastOneWindow)
{
    RecentMaximum maximum;
    BOOST_TEST((maximum.record(absl::Seconds(14), start) == absl::Seconds(14)));
    BOOST_TEST((maximum.record(absl::Seconds(3), start + RecentMaximum::window) == absl::Seconds(14)));
}

/// One caller with an unusually long deadline must not make all later calls of the route look like retries.
BOOST_AUTO_TEST_CASE(anUnusualValueIsForgotten)
{
    RecentMaximum maximum;
    maximum.record(absl::Hours(1), start);
    for (absl::Duration at = absl::Seconds(1); at < 2 * RecentMaximum::window; at += absl::Seconds(1)) {
        maximum.record(absl::Seconds(14), start + at);
    }
    BOOST_TEST((maximum.record(absl::Seconds(3), start + 2 * RecentMaximum::window) == absl::Seconds(14)));
    BOOST_TEST((maximum.record(absl::Seconds(3), start + absl::Hours(1)) == absl::Seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()
