#include "coordination/generationtracker.h"
#include "coordination/leasemanager.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

const absl::Time start = absl::FromUnixSeconds(500);

}

BOOST_AUTO_TEST_SUITE(Leases)

BOOST_AUTO_TEST_CASE(aPausedHolderDoesNotHoldAnExpiredLease)
{
    LeaseManager manager(NodeId("a"));
    const std::optional<Lease> wanted = manager.leaseToWrite(Lease(), start);
    BOOST_REQUIRE(wanted.has_value());
    manager.recordWritten(*wanted, 7, start);
    BOOST_TEST(manager.holds(start + absl::Seconds(1)));
    BOOST_TEST(manager.fence() == 7U);
    BOOST_TEST(!manager.holds(start + LeaseManager::leaseDuration));
}

BOOST_AUTO_TEST_CASE(theLeaseRunsFromTheTimeBeforeItsWriteWasSent)
{
    LeaseManager manager(NodeId("a"));
    const std::optional<Lease> wanted = manager.leaseToWrite(Lease(), start);
    manager.recordWritten(*wanted, 1, start - absl::Seconds(2));
    BOOST_TEST(!manager.holds(start + absl::Seconds(1)));
}

BOOST_AUTO_TEST_CASE(anotherNodesLeaseIsAcquiredOnlyAfterItsEnd)
{
    LeaseManager manager(NodeId("a"));
    const Lease held(LeaseFields{3, NodeId("b"), absl::ToUnixMillis(start + absl::Seconds(2))});
    BOOST_TEST(!manager.leaseToWrite(held, start).has_value());
    BOOST_TEST(!manager.leaseToWrite(held, start + absl::Seconds(2)).has_value());
    const std::optional<Lease> wanted = manager.leaseToWrite(held, start + absl::Seconds(2) + LeaseManager::safetyMargin);
    BOOST_REQUIRE(wanted.has_value());
    BOOST_TEST((*wanted)->version == 3U);
}

BOOST_AUTO_TEST_CASE(generationsOnlyIncrease)
{
    GenerationTracker tracker;
    BOOST_TEST(tracker.tryAdvance(Generation(GenerationFields{3, "c", 1})));
    BOOST_TEST(!tracker.tryAdvance(Generation(GenerationFields{2, "b", 1})));
    BOOST_TEST(!tracker.tryAdvance(Generation(GenerationFields{3, "x", 1})));
    BOOST_TEST(tracker.current()->hash == "c");
    BOOST_TEST(!nextGeneration(tracker.current(), "c", 1).has_value());
    BOOST_TEST((*nextGeneration(tracker.current(), "d", 1))->number == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
