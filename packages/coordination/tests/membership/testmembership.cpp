#include "coordination/membership.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

Member node(const std::string &name, std::uint64_t incarnation = 1)
{
    return Member::Builder()
        .set(&MemberFields::id, NodeId(name))
        .set(&MemberFields::incarnation, incarnation)
        .set(&MemberFields::peerAddress, name + ":1")
        .build();
}

struct Cell
{
    absl::Time now = absl::FromUnixSeconds(100);
    Membership here{node("here")};

    MemberState stateOf(const std::string &name) const
    {
        return (*here.find(NodeId(name)))->state;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(MembershipTests, Cell)

BOOST_AUTO_TEST_CASE(aSilentNodeIsSuspectBeforeItIsDead)
{
    here.handleHeartbeat(node("a"), {}, now);
    here.tick(now + MembershipTimes::suspectAfter);
    BOOST_TEST((stateOf("a") == MemberState::Alive));
    now += MembershipTimes::suspectAfter + absl::Milliseconds(1);
    here.tick(now);
    BOOST_TEST((stateOf("a") == MemberState::Suspect));
    BOOST_TEST(here.owners().size() == 1U);
    here.tick(now + MembershipTimes::deadAfterSuspect + absl::Milliseconds(1));
    BOOST_TEST((stateOf("a") == MemberState::Dead));
    BOOST_TEST(here.owners().size() == 1U);
}

BOOST_AUTO_TEST_CASE(failoverTakesLessThanTwoSeconds)
{
    const absl::Duration worst = MembershipTimes::suspectAfter + 2 * MembershipTimes::heartbeatInterval;
    BOOST_TEST((worst < absl::Seconds(2)));
}

BOOST_AUTO_TEST_CASE(aNodeRefutesASuspicionWithANewIncarnation)
{
    here.handleHeartbeat(node("a"), {MemberClaim{NodeId("here"), 1, MemberState::Suspect}}, now);
    BOOST_TEST(here.self()->incarnation == 2U);
}

BOOST_AUTO_TEST_CASE(aClaimAboutARecentlyHeardNodeIsIgnored)
{
    here.handleHeartbeat(node("a"), {}, now);
    here.handleHeartbeat(node("b"), {MemberClaim{NodeId("a"), 1, MemberState::Dead}}, now);
    BOOST_TEST((stateOf("a") == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(aDeadNodeIsRevivedOnlyByANewIncarnation)
{
    here.handleHeartbeat(node("a"), {}, now);
    now += absl::Seconds(5);
    here.tick(now);
    here.tick(now + absl::Seconds(5));
    BOOST_TEST((stateOf("a") == MemberState::Dead));
    here.handleHeartbeat(node("a", 1), {}, now);
    BOOST_TEST((stateOf("a") == MemberState::Dead));
    here.handleHeartbeat(node("a", 2), {}, now);
    BOOST_TEST((stateOf("a") == MemberState::Alive));
}

// Found by the property test: after a partition, two nodes considered each other Dead permanently.
BOOST_AUTO_TEST_CASE(nodesThatConsiderEachOtherDeadRecover)
{
    Membership there(node("there"));
    here.handleHeartbeat(there.self(), {}, now);
    there.handleHeartbeat(here.self(), {}, now);
    for (int i = 0; i < 10; ++i) {
        now += absl::Seconds(1);
        here.tick(now);
        there.tick(now);
    }
    BOOST_TEST((stateOf("there") == MemberState::Dead));
    for (int i = 0; i < 2; ++i) {
        here.handleHeartbeat(there.self(), there.claims(), now);
        there.handleHeartbeat(here.self(), here.claims(), now);
    }
    here.handleHeartbeat(there.self(), there.claims(), now);
    BOOST_TEST((stateOf("there") == MemberState::Alive));
    BOOST_TEST(there.owners().size() == 2U);
}

BOOST_AUTO_TEST_CASE(theVmListSetsAddressesAndLeavingButNotDeath)
{
    here.handleHeartbeat(node("a"), {}, now);
    here.setVmList({Vm(VmFields{"a", "a:1", true}), Vm(VmFields{"b", "b:1", false}), Vm(VmFields{"here", "here:1", false})}, now);
    BOOST_TEST((stateOf("a") == MemberState::Alive));
    BOOST_TEST((*here.find(NodeId("a")))->leaving);
    BOOST_TEST(here.owners().size() == 1U);
    BOOST_TEST(here.heartbeatTargets(now).size() == 2U);
    here.setVmList({}, now);
    BOOST_TEST((stateOf("a") == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(aSilentNodeIsMarkedForANewSocket)
{
    here.handleHeartbeat(node("a"), {}, now);
    BOOST_TEST(!here.heartbeatTargets(now).front().silent);
    BOOST_TEST(here.heartbeatTargets(now + MembershipTimes::rebindAfter + absl::Milliseconds(1)).front().silent);
}

BOOST_AUTO_TEST_SUITE_END()
