#include "coordination/outlierdetector.h"
#include "coordination/retrybudget.h"
#include "coordination/storeratelimiter.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

const absl::Time start = absl::FromUnixSeconds(500);

}

BOOST_AUTO_TEST_SUITE(Retries)

BOOST_AUTO_TEST_CASE(theBudgetRunsOutAndIsRefilled)
{
    RetryBudget budget;
    int spent = 0;
    while (budget.trySpend(start)) {
        ++spent;
    }
    BOOST_TEST(spent == static_cast<int>(RetryBudget::maxBalance));
    BOOST_TEST(budget.trySpend(start + absl::Seconds(2)));
    for (int i = 0; i < 30; ++i) {
        budget.recordSuccess();
    }
    BOOST_TEST(budget.trySpend(start + absl::Seconds(2)));
}

BOOST_AUTO_TEST_CASE(backoffDoublesWithinItsJitter)
{
    BOOST_TEST((backoff(1, 0) == absl::Milliseconds(10)));
    BOOST_TEST((backoff(2, 0) == absl::Milliseconds(20)));
    BOOST_TEST((backoff(1, 0.999) < absl::Milliseconds(20)));
    BOOST_TEST((backoff(1000, 0.999) <= absl::Seconds(2)));
}

BOOST_AUTO_TEST_CASE(aSingleFailedConnectionDoesNotEjectTheEngine)
{
    OutlierDetector detector;
    const EngineId engine("d0");
    BOOST_TEST((detector.recordStalledConnection(engine) == FailureAction::ReconnectAndResume));
    BOOST_TEST((detector.recordConnectFailure(engine, start) == FailureAction::ReconnectAndResume));
    BOOST_TEST((detector.recordConnectFailure(engine, start) == FailureAction::EngineLost));
    BOOST_TEST(detector.isEjected(engine, start));
    detector.recordSuccess(engine);
    BOOST_TEST(!detector.isEjected(engine, start));
}

BOOST_AUTO_TEST_CASE(aWholePoolIsNeverEjected)
{
    OutlierDetector detector;
    const std::vector<EngineId> pool{EngineId("a"), EngineId("b"), EngineId("c")};
    for (std::size_t i = 0; i < pool.size(); ++i) {
        detector.recordConnectFailure(pool[i], start);
        detector.recordConnectFailure(pool[i], start);
        BOOST_TEST(detector.usable(pool, start).size() >= 2U);
    }
}

BOOST_AUTO_TEST_CASE(nodesShareTheStoresRates)
{
    StoreRateLimiter limiter;
    limiter.setNodeCount(10);
    int writes = 0;
    while (limiter.acquireWrite(start) == absl::ZeroDuration()) {
        ++writes;
    }
    BOOST_TEST(writes == static_cast<int>(StoreRateLimits::writesPerSecond / 10));
    BOOST_TEST((limiter.acquireWrite(start) > absl::ZeroDuration()));
    BOOST_TEST((limiter.acquireWrite(start + absl::Seconds(1)) == absl::ZeroDuration()));
}

BOOST_AUTO_TEST_SUITE_END()
