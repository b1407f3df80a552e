#include "coordination/leaveplan.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const LeavePlan plan(LeavePlanFields{start, absl::Seconds(8)});

}

BOOST_AUTO_TEST_SUITE(LeavePlans)

BOOST_AUTO_TEST_CASE(aNodeThatDoesNotLeaveTakesEveryCall)
{
    BOOST_TEST(takesCall(LeavePlan(), absl::InfiniteFuture(), start));
    BOOST_TEST((callEnd(LeavePlan()) == absl::InfiniteFuture()));
}

BOOST_AUTO_TEST_CASE(callsThatArriveSoonAfterTheStopRequestAreTaken)
{
    BOOST_TEST(takesCall(plan, start + absl::Minutes(1), start));
    BOOST_TEST(takesCall(plan, start + absl::Minutes(1), start + absl::Seconds(2)));
}

/// Guards against LOST: calls that came late in the grace period were passed on and then cut at its end.
BOOST_AUTO_TEST_CASE(aCallThatMayOutlastTheNodeIsNotTakenLateInTheGracePeriod)
{
    BOOST_TEST(!takesCall(plan, start + absl::Seconds(8), start + absl::Seconds(3)));
    BOOST_TEST(!takesCall(plan, start + absl::Seconds(8), start + absl::Milliseconds(7500)));
    BOOST_TEST(!takesCall(plan, callEnd(plan), start + absl::Seconds(3)));
    BOOST_TEST(takesCall(plan, start + absl::Seconds(7), start + absl::Seconds(6)));
    BOOST_TEST((callEnd(plan) < start + absl::Seconds(8)));
}

BOOST_AUTO_TEST_SUITE_END()
