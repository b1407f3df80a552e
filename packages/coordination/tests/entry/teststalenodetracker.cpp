#include "coordination/stalenodetracker.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

Member node(const char *name, MemberState state = MemberState::Alive)
{
    return Member::Builder().set(&MemberFields::id, NodeId(name)).set(&MemberFields::state, state).build();
}

struct Cell
{
    const absl::Time start = absl::FromUnixSeconds(100);
    const std::vector<StoredNode> stored{{node("a"), 3}, {node("b"), 4}, {node("c"), 5}};
    const std::vector<Member> withoutC{node("a"), node("b"), node("c", MemberState::Dead)};
    const std::vector<Member> whole{node("a"), node("b"), node("c")};
    const std::vector<StoredNode> none;
    const std::vector<StoredNode> onlyC{{node("c"), 5}};
    StaleNodeTracker first;
    StaleNodeTracker second;

    std::vector<StoredNode> atFirst(const std::vector<Member> &members, absl::Duration later)
    {
        return first.update(stored, members, NodeId("a"), start + later);
    }
};

}

BOOST_FIXTURE_TEST_SUITE(StaleNodeTrackerTests, Cell)

BOOST_AUTO_TEST_CASE(aNodeIsStaleOnlyAfterTheTimeout)
{
    BOOST_TEST((atFirst(withoutC, absl::ZeroDuration()) == none));
    BOOST_TEST((atFirst(withoutC, StaleNodeTracker::staleAfter - absl::Milliseconds(1)) == none));
    BOOST_TEST((atFirst(withoutC, StaleNodeTracker::staleAfter) == onlyC));
}

BOOST_AUTO_TEST_CASE(aNodeThatWasAliveInBetweenIsNotStale)
{
    atFirst(withoutC, absl::ZeroDuration());
    atFirst(whole, absl::Seconds(20));
    BOOST_TEST((atFirst(withoutC, absl::Seconds(25)) == none));
    BOOST_TEST((atFirst(withoutC, StaleNodeTracker::staleAfter + absl::Seconds(1)) == none));
    BOOST_TEST((atFirst(withoutC, StaleNodeTracker::staleAfter + absl::Seconds(25)) == onlyC));
}

BOOST_AUTO_TEST_CASE(onlyTheFirstAliveNodeRemoves)
{
    const auto atSecond = [this](const std::vector<Member> &members, absl::Duration later) {
        return second.update(stored, members, NodeId("b"), start + later);
    };
    atSecond(withoutC, absl::ZeroDuration());
    BOOST_TEST((atSecond(withoutC, StaleNodeTracker::staleAfter) == none));
    // The first node fails too: the second one takes over, with the times that it recorded itself.
    const std::vector<Member> withoutAAndC{node("a", MemberState::Suspect), node("b"), node("c", MemberState::Dead)};
    BOOST_TEST((atSecond(withoutAAndC, StaleNodeTracker::staleAfter) == onlyC));
}

BOOST_AUTO_TEST_CASE(aNodeNeverRemovesItself)
{
    first.update(stored, {}, NodeId("a"), start);
    BOOST_TEST((first.update(stored, {node("a")}, NodeId("a"), start + StaleNodeTracker::staleAfter).size() == 2U));
}

BOOST_AUTO_TEST_SUITE_END()
