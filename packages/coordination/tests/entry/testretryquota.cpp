#include "coordination/retryquota.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace Apricot;

namespace {

const RetryLimit limit{0.2, 56, absl::Seconds(10)};
const absl::Time start = absl::UnixEpoch() + absl::Hours(3);

}

BOOST_AUTO_TEST_SUITE(RetryQuotas)

BOOST_AUTO_TEST_CASE(allNodesTogetherKeepTheLimitInEveryWindow)
{
    constexpr std::size_t nodes = 8;
    std::vector<RetryQuota> quotas(nodes, RetryQuota(limit));
    constexpr int steps = 600; // of 50 ms each
    std::vector<int> requests(steps, 0);
    std::vector<int> retries(steps, 0);
    for (int step = 0; step < steps; ++step) {
        const absl::Time now = start + absl::Milliseconds(50) * step;
        for (RetryQuota &quota : quotas) {
            quota.recordRequest(now);
            ++requests[step];
            for (int i = 0; i < 5; ++i) { // every node asks for more retries than the limit allows
                retries[step] += quota.trySpend(1.0 / nodes, now) ? 1 : 0;
            }
        }
    }
    constexpr int window = 200;
    for (int end = window; end <= steps; ++end) {
        double requestCount = 0;
        double retryCount = 0;
        for (int step = end - window; step < end; ++step) {
            requestCount += requests[step];
            retryCount += retries[step];
        }
        BOOST_TEST(retryCount <= limit.ratio * requestCount + limit.headroom);
    }
}

BOOST_AUTO_TEST_CASE(someRetriesAreAllowedWithoutTraffic)
{
    RetryQuota quota(limit);
    BOOST_TEST(quota.trySpend(1.0 / 8, start));
}

BOOST_AUTO_TEST_CASE(spentRetriesAreAvailableAgainAfterTheWindow)
{
    RetryQuota quota(limit);
    while (quota.trySpend(1.0 / 8, start)) { }
    BOOST_TEST(!quota.allows(1.0 / 8, start + absl::Seconds(9)));
    BOOST_TEST(quota.allows(1.0 / 8, start + absl::Seconds(12)));
}

BOOST_AUTO_TEST_SUITE_END()
