#include "protocol/timelinejson.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(Timelines)

BOOST_AUTO_TEST_CASE(eventsAndStatusSurviveARoundTrip)
{
    const std::vector<TimelineEvent> events{{{5, 1}, "n", "r", "prefill.started", "p0"}};
    BOOST_TEST(
        (std::get<std::vector<TimelineEvent>>(toVariant<std::vector<TimelineEvent>>([&] { return decodeTimeline(encodeTimeline(events)); }))
         == events));
    NodeStatus status;
    status.node = NodeId("n");
    status.generation = 3;
    status.members = {Member::Builder().set(&MemberFields::id, NodeId("m")).set(&MemberFields::state, MemberState::Suspect).build()};
    status.slices = {SliceStatus{ServiceName("s"), 1, 2, 3, 4}};
    const auto decoded = toVariant<NodeStatus>([&] { return decodeNodeStatus(encodeNodeStatus(status)); });
    BOOST_TEST((std::get<NodeStatus>(decoded).members == status.members));
    BOOST_TEST(std::get<NodeStatus>(decoded).slices.front().reservedPieces == 4);
}

BOOST_AUTO_TEST_SUITE_END()
