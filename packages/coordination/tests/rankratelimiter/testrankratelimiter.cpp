#include "coordination/rankratelimiter.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(RankRateLimiterTests)

BOOST_AUTO_TEST_CASE(anOverloadedRankIsLimitedToTheOwnersRate)
{
    RankRateLimiter limiter;
    absl::Time now = absl::FromUnixSeconds(50);
    const RankName rank("other");
    int admitted = 0;
    for (int i = 0; i < 2000; ++i) {
        now += absl::Milliseconds(5);
        limiter.update({RankLimit{rank, true, 40}}, 4, now);
        admitted += limiter.tryAcquire(rank, now) ? 1 : 0;
    }
    // 10 s at twice a quarter of 40 requests per second.
    BOOST_TEST(admitted >= 190);
    BOOST_TEST(admitted <= 220);
    BOOST_TEST(limiter.tryAcquire(RankName("urgent"), now));
}

BOOST_AUTO_TEST_CASE(anExpiredLimitIsIgnored)
{
    RankRateLimiter limiter;
    const absl::Time now = absl::FromUnixSeconds(50);
    limiter.update({RankLimit{RankName("other"), true, 0}}, 1, now);
    limiter.tryAcquire(RankName("other"), now);
    limiter.tryAcquire(RankName("other"), now);
    BOOST_TEST(!limiter.tryAcquire(RankName("other"), now));
    BOOST_TEST(limiter.tryAcquire(RankName("other"), now + RankRateLimiter::limitTimeout + absl::Milliseconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
