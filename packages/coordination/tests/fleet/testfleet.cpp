#include "coordination/rolebalancer.h"
#include "coordination/rolechange.h"
#include "coordination/roleorderreconciler.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace Apricot;

namespace {

const absl::Time start = absl::FromUnixSeconds(10'000);

DesiredRole desired(std::uint64_t fence)
{
    return DesiredRole::Builder()
        .set(&DesiredRoleFields::endpoint, "e")
        .set(&DesiredRoleFields::role, PoolRole::Decode)
        .set(&DesiredRoleFields::fence, fence)
        .build();
}

}

BOOST_AUTO_TEST_SUITE(Fleet)

BOOST_AUTO_TEST_CASE(anImbalanceMustPersist)
{
    RoleBalancer balancer;
    const PoolUtilization idle{3, 0.2};
    const PoolUtilization full{3, 0.95};
    BOOST_TEST(!balancer.observe(idle, full, false, start).has_value());
    BOOST_TEST(!balancer.observe(idle, idle, false, start + absl::Seconds(20)).has_value());
    BOOST_TEST(!balancer.observe(idle, full, false, start + absl::Seconds(21)).has_value());
    const auto proposal = balancer.observe(idle, full, false, start + absl::Seconds(51));
    BOOST_REQUIRE(proposal.has_value());
    BOOST_TEST((*proposal == RoleProposal{PoolRole::Prefill, PoolRole::Decode}));
    BOOST_TEST(!balancer.observe(idle, full, false, start + absl::Seconds(52)).has_value());
}

BOOST_AUTO_TEST_CASE(theLastEngineOfARoleKeepsItsRole)
{
    RoleBalancer balancer;
    for (int i = 0; i < 200; ++i) {
        BOOST_TEST(!balancer.observe(PoolUtilization{1, 0.0}, PoolUtilization{5, 1.0}, false, start + absl::Seconds(i)).has_value());
    }
}

BOOST_AUTO_TEST_CASE(measurementsDuringAChangeAreIgnored)
{
    RoleBalancer balancer;
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(!balancer.observe(PoolUtilization{3, 0.1}, PoolUtilization{3, 1.0}, true, start + absl::Seconds(i)).has_value());
    }
    BOOST_TEST(!balancer.observe(PoolUtilization{3, 0.1}, PoolUtilization{3, 1.0}, false, start + absl::Seconds(130)).has_value());
    BOOST_TEST(!balancer.observe(PoolUtilization{3, 0.1}, PoolUtilization{3, 1.0}, false, start + absl::Seconds(160)).has_value());
    BOOST_TEST(balancer.observe(PoolUtilization{3, 0.1}, PoolUtilization{3, 1.0}, false, start + absl::Seconds(191)).has_value());
}

BOOST_AUTO_TEST_CASE(loadOscillationsDoNotChangeRoles)
{
    RoleBalancer balancer;
    int proposals = 0;
    for (int i = 0; i < 3600; ++i) {
        const double swing = 0.5 + 0.5 * std::sin(i / 5.0);
        proposals += balancer.observe(PoolUtilization{3, swing}, PoolUtilization{3, 1 - swing}, false, start + absl::Seconds(i)).has_value()
            ? 1
            : 0;
    }
    BOOST_TEST(proposals == 0);
}

BOOST_AUTO_TEST_CASE(theDesiredRoleIsWrittenBeforeAnOrderIsSent)
{
    RoleOrderReconciler reconciler;
    reconciler.recordLeaseAcquired(start);
    const absl::Time now = start + absl::Seconds(5);
    BOOST_TEST((reconciler.decide(desired(0), {}, now + absl::Seconds(3), now) == OrderStep::WriteIntent));
    BOOST_TEST((reconciler.decide(desired(7), {}, now + absl::Seconds(3), now) == OrderStep::Send));
    BOOST_TEST((reconciler.decide(desired(7), {}, now + absl::Seconds(3), now) == OrderStep::Wait));
    BOOST_TEST((reconciler.decide(desired(7), {}, now + absl::Seconds(9), now + RoleOrderReconciler::resendInterval) == OrderStep::Send));
    BOOST_TEST((reconciler.decide(desired(7), ReportedRole{"decode", "", "", 7}, now + absl::Seconds(3), now) == OrderStep::UpToDate));
}

BOOST_AUTO_TEST_CASE(aNewHolderWaitsUntilOrdersOfTheEarlierOneHaveTimedOut)
{
    RoleOrderReconciler reconciler;
    reconciler.recordLeaseAcquired(start);
    BOOST_TEST((reconciler.decide(desired(7), {}, start + absl::Seconds(3), start + absl::Milliseconds(400)) == OrderStep::Wait));
    BOOST_TEST((reconciler.decide(desired(7), {}, start + absl::Seconds(3), start + absl::Milliseconds(600)) == OrderStep::Send));
    BOOST_TEST((reconciler.decide(desired(7), {}, start + absl::Seconds(3), start + absl::Milliseconds(2800)) == OrderStep::Wait));
}

BOOST_AUTO_TEST_CASE(anEngineThatIgnoresFencingReceivesTheOrderAgain)
{
    RoleOrderReconciler reconciler;
    reconciler.recordLeaseAcquired(start);
    absl::Time now = start + absl::Seconds(5);
    BOOST_TEST((reconciler.decide(desired(7), ReportedRole{"decode", "", "", 7}, now + absl::Seconds(3), now) == OrderStep::UpToDate));
    // A delayed order of an earlier holder has taken effect on the engine.
    BOOST_TEST((reconciler.decide(desired(7), ReportedRole{"prefill", "", "", 3}, now + absl::Seconds(3), now) == OrderStep::Send));
}

BOOST_AUTO_TEST_CASE(ordersRespectTheLoadRateOfTheWeightStore)
{
    RoleOrderReconciler reconciler;
    reconciler.recordLeaseAcquired(start);
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
        const absl::Time now = start + absl::Seconds(1) + absl::Milliseconds(100 * i);
        const DesiredRole each = desired(7).with(&DesiredRoleFields::endpoint, std::to_string(i));
        sent += reconciler.decide(each, {}, now + absl::Seconds(3), now) == OrderStep::Send ? 1 : 0;
    }
    BOOST_TEST(sent == 5);
}

BOOST_AUTO_TEST_CASE(aRoleChangesOnlyOnAnEmptyEngine)
{
    RoleChange change
        = RoleChange::Builder().set(&RoleChangeFields::endpoint, "e").set(&RoleChangeFields::toPool, PoolName("decode")).build();
    RoleChangeObservation observed;
    observed.endpoint = Endpoint::Builder().set(&EndpointFields::name, "e").set(&EndpointFields::pool, PoolName("prefill")).build();
    observed.engineIsEmpty = true;
    observed.activeOnAllNodes = true;
    BOOST_TEST((nextRoleChangeStep(change, observed).step == RoleChangeStep::WriteDrain));
    observed.endpoint = observed.endpoint.with(&EndpointFields::drain, true);
    observed.engineIsEmpty = false;
    BOOST_TEST((nextRoleChangeStep(change, observed).step == RoleChangeStep::Nothing));
    observed.engineIsEmpty = true;
    observed.activeOnAllNodes = false;
    BOOST_TEST((nextRoleChangeStep(change, observed).step == RoleChangeStep::Nothing));
    observed.activeOnAllNodes = true;
    RoleChangeDecision next = nextRoleChangeStep(change, observed);
    BOOST_TEST((next.step == RoleChangeStep::WritePool));
    observed.endpoint = observed.endpoint.with(&EndpointFields::pool, PoolName("decode"));
    next = nextRoleChangeStep(next.change, observed);
    BOOST_TEST((next.step == RoleChangeStep::SendOrders));
    BOOST_TEST((nextRoleChangeStep(next.change, observed).step == RoleChangeStep::SendOrders));
    observed.roleActive = true;
    next = nextRoleChangeStep(next.change, observed);
    BOOST_TEST((next.step == RoleChangeStep::WriteUndrain));
    observed.endpoint = observed.endpoint.with(&EndpointFields::drain, false);
    next = nextRoleChangeStep(next.change, observed);
    BOOST_TEST((next.change->phase == RoleChangePhase::Done));
}

BOOST_AUTO_TEST_SUITE_END()
