#include "coordination/boundedestimate.h"
#include "coordination/decayingrate.h"
#include "coordination/policy.h"
#include "coordination/prefixindex.h"
#include "coordination/sizequantile.h"
#include "coordination/streamassembler.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(Estimates)

BOOST_AUTO_TEST_CASE(estimatesFollowSamplesWithinTheirBounds)
{
    BoundedEstimate estimate(100);
    for (int i = 0; i < 1000; ++i) {
        estimate.addSample(150);
    }
    BOOST_TEST(estimate.estimate() == 150, boost::test_tools::tolerance(0.01));
    for (int i = 0; i < 1000; ++i) {
        estimate.addSample(1e9);
    }
    BOOST_TEST(estimate.estimate() <= 100 * BoundedEstimate::maxFactor);
}

BOOST_AUTO_TEST_CASE(quantilesAreUpperBounds)
{
    SizeQuantile sizes;
    BOOST_TEST(sizes.quantile(0.99) == 0);
    for (int i = 1; i <= 1000; ++i) {
        sizes.add(i);
    }
    BOOST_TEST(sizes.quantile(0.5) >= 450);
    BOOST_TEST(sizes.quantile(0.5) <= 700);
    BOOST_TEST(sizes.quantile(0.999) >= 990);
}

BOOST_AUTO_TEST_CASE(ratesDecay)
{
    DecayingRate rate(absl::Seconds(1));
    const absl::Time now = absl::FromUnixSeconds(9);
    rate.add(10, now);
    BOOST_TEST(rate.sum(now) == 10);
    BOOST_TEST(rate.sum(now + absl::Seconds(1)) == 10 / 2.718281828, boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(theLeastRecentlyUsedPrefixIsDropped)
{
    PrefixIndex index(2);
    index.touch(1);
    index.touch(2);
    index.touch(1);
    index.touch(3);
    BOOST_TEST(index.contains(1));
    BOOST_TEST(!index.contains(2));
    BOOST_TEST(!index.contains(0));
    index.replace({2});
    BOOST_TEST(!index.contains(1));
}

BOOST_AUTO_TEST_CASE(tokensAreAppendedOnceAndInOrder)
{
    StreamAssembler assembler;
    BOOST_TEST(assembler.tryAppend(0, "a"));
    BOOST_TEST(!assembler.tryAppend(0, "a"));
    BOOST_TEST(!assembler.tryAppend(2, "c"));
    BOOST_TEST(assembler.tryAppend(1, "b"));
    BOOST_TEST(assembler.nextOffset() == 2);
}

BOOST_AUTO_TEST_CASE(everyPolicyNameIsKnown)
{
    Policy policy;
    for (const std::string &name : policyNames()) {
        BOOST_TEST(policyFromName(name, &policy), name);
    }
    BOOST_TEST(!policyFromName("nothing", &policy));
}

BOOST_AUTO_TEST_SUITE_END()
