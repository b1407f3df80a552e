#include "coordination/generationtracker.h"
#include "coordination/leasekeeper.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

const absl::Time start = absl::FromUnixSeconds(500);

}

BOOST_AUTO_TEST_SUITE(Leases)

BOOST_AUTO_TEST_CASE(aPausedHolderNoLongerHolds)
{
    LeaseKeeper keeper(NodeId("a"));
    const std::optional<Lease> wanted = keeper.wanted(Lease(), start);
    BOOST_REQUIRE(wanted.has_value());
    keeper.written(*wanted, 7, start);
    BOOST_TEST(keeper.holds(start + absl::Seconds(1)));
    BOOST_TEST(keeper.fence() == 7U);
    BOOST_TEST(!keeper.holds(start + LeaseKeeper::length));
}

BOOST_AUTO_TEST_CASE(aWriteCountsFromBeforeItWasSent)
{
    LeaseKeeper keeper(NodeId("a"));
    const std::optional<Lease> wanted = keeper.wanted(Lease(), start);
    keeper.written(*wanted, 1, start - absl::Seconds(2));
    BOOST_TEST(!keeper.holds(start + absl::Seconds(1)));
}

BOOST_AUTO_TEST_CASE(anotherNodesLeaseIsWaitedOut)
{
    LeaseKeeper keeper(NodeId("a"));
    const Lease held(LeaseFields{3, NodeId("b"), absl::ToUnixMillis(start + absl::Seconds(2))});
    BOOST_TEST(!keeper.wanted(held, start).has_value());
    BOOST_TEST(!keeper.wanted(held, start + absl::Seconds(2)).has_value());
    const std::optional<Lease> wanted = keeper.wanted(held, start + absl::Seconds(2) + LeaseKeeper::safetyMargin);
    BOOST_REQUIRE(wanted.has_value());
    BOOST_TEST((*wanted)->version == 3U);
}

BOOST_AUTO_TEST_CASE(generationsOnlyRise)
{
    GenerationTracker gate;
    BOOST_TEST(gate.tryAdvance(Generation(GenerationFields{3, "c", 1})));
    BOOST_TEST(!gate.tryAdvance(Generation(GenerationFields{2, "b", 1})));
    BOOST_TEST(!gate.tryAdvance(Generation(GenerationFields{3, "x", 1})));
    BOOST_TEST(gate.current()->hash == "c");
    BOOST_TEST(!nextGeneration(gate.current(), "c", 1).has_value());
    BOOST_TEST((*nextGeneration(gate.current(), "d", 1))->number == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
