#include "coordination/repeatshare.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace Apricot;

namespace {

const RepeatBound bound{0.2, 56, absl::Seconds(10)};
const absl::Time start = absl::UnixEpoch() + absl::Hours(3);

}

BOOST_AUTO_TEST_SUITE(Repeats)

BOOST_AUTO_TEST_CASE(allNodesTogetherKeepTheBoundInEverySpan)
{
    constexpr std::size_t nodes = 8;
    std::vector<RepeatShare> shares(nodes, RepeatShare(bound));
    constexpr int steps = 600; // of 50 ms each
    std::vector<int> requests(steps, 0);
    std::vector<int> repeats(steps, 0);
    for (int step = 0; step < steps; ++step) {
        const absl::Time now = start + absl::Milliseconds(50) * step;
        for (RepeatShare &share : shares) {
            share.noteRequest(now);
            ++requests[step];
            for (int i = 0; i < 5; ++i) { // every node tries more retries than the limit allows
                repeats[step] += share.trySpend(nodes, now) ? 1 : 0;
            }
        }
    }
    constexpr int window = 200;
    for (int end = window; end <= steps; ++end) {
        double asked = 0;
        double again = 0;
        for (int step = end - window; step < end; ++step) {
            asked += requests[step];
            again += repeats[step];
        }
        BOOST_TEST(again <= bound.ratio * asked + bound.headroom);
    }
}

BOOST_AUTO_TEST_CASE(someRepeatsAreAllowedWithoutTraffic)
{
    RepeatShare share(bound);
    BOOST_TEST(share.trySpend(8, start));
}

BOOST_AUTO_TEST_CASE(whatWasSpentComesBackAfterTheWindow)
{
    RepeatShare share(bound);
    while (share.trySpend(8, start)) { }
    BOOST_TEST(!share.allows(8, start + absl::Seconds(9)));
    BOOST_TEST(share.allows(8, start + absl::Seconds(12)));
}

BOOST_AUTO_TEST_SUITE_END()
