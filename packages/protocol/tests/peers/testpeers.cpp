#include "protocol/peermessage.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

template<class T>
T roundTrip(const PeerMessage &message)
{
    const auto decoded = toVariant<PeerMessage>([&] { return decodePeerMessage(encodePeerMessage(message)); });
    BOOST_REQUIRE(std::holds_alternative<PeerMessage>(decoded));
    return std::get<T>(std::get<PeerMessage>(decoded));
}

}

BOOST_AUTO_TEST_SUITE(PeerMessages)

BOOST_AUTO_TEST_CASE(heartbeatsSurviveARoundTrip)
{
    const Member sender = Member::Builder()
                              .set(&MemberFields::id, NodeId("node-1"))
                              .set(&MemberFields::incarnation, 5U)
                              .set(&MemberFields::leaving, true)
                              .set(&MemberFields::callerAddress, "127.0.0.1:80")
                              .set(&MemberFields::generation, 9U)
                              .build();
    const MemberClaim claim{NodeId("node-2"), 3, MemberState::Suspect};
    const auto decoded = roundTrip<HeartbeatMessage>(HeartbeatMessage{sender, {claim}, {77, 2}});
    BOOST_TEST((decoded.sender == sender));
    BOOST_TEST((decoded.claims == std::vector<MemberClaim>{claim}));
    BOOST_TEST((decoded.timestamp == HybridTimestamp{77, 2}));
}

BOOST_AUTO_TEST_CASE(eventsAndActionsSurviveARoundTrip)
{
    const Work work = Work::Builder()
                          .set(&WorkFields::id, RequestId("r"))
                          .set(&WorkFields::attempt, 1700000000123U)
                          .set(&WorkFields::promptTokens, 12)
                          .set(&WorkFields::arrivalTime, absl::FromUnixMicros(123456789))
                          .set(&WorkFields::excludedEngine, EngineId("d1"))
                          .build();
    const auto events = roundTrip<OwnerEventsMessage>(OwnerEventsMessage{
        ServiceName("s"), NodeId("n"), {}, {WorkArrived{work}, PrefillFinished{RequestId("r"), 2, absl::Milliseconds(5), 3}}});
    BOOST_TEST((std::get<WorkArrived>(events.events.at(0)).work == work));
    BOOST_TEST((std::get<PrefillFinished>(events.events.at(1)).duration == absl::Milliseconds(5)));
    const std::vector<Action> actions{StartPrefill{RequestId("r"), 1, EngineId("p"), EngineId("d")},
                                      Refuse{RequestId("q"), 1, ErrorKind::RateLimited, absl::Seconds(1)},
                                      CancelOnEngine{RequestId("z"), 4, EngineId("d")}};
    const auto actionsMessage = roundTrip<OwnerActionsMessage>(
        OwnerActionsMessage{ServiceName("s"), NodeId("n"), {}, actions, {RankLimit{RankName("x"), true, 2.5}}});
    BOOST_TEST((actionsMessage.actions == actions));
    BOOST_TEST(actionsMessage.limits.front().requestsPerSecond == 2.5);
}

BOOST_AUTO_TEST_CASE(queriesAndRepliesSurviveARoundTrip)
{
    const auto query = toVariant<PeerQuery>([] { return decodePeerQuery(encodePeerQuery(AttemptStatusQuery{RequestId("a/1")})); });
    BOOST_TEST(std::get<AttemptStatusQuery>(std::get<PeerQuery>(query)).attempt.text() == "a/1");
    const auto reply = toVariant<PeerReply>([] {
        return decodePeerReply(encodePeerReply(SnapshotReply{Generation(GenerationFields{4, "h", 1}), "text"}));
    });
    BOOST_TEST(std::get<SnapshotReply>(std::get<PeerReply>(reply)).generation->number == 4U);
}

// After a pause, a node finds old actions in its socket. They may target engines that are leaving by now.
BOOST_AUTO_TEST_CASE(actionsExpire)
{
    const absl::Time now = absl::FromUnixSeconds(1000);
    const OwnerActionsMessage message{ServiceName("s"), NodeId("n"), HybridTimestamp{absl::ToUnixMicros(now), 0}, {}, {}};
    BOOST_TEST(!message.isStale(now + absl::Milliseconds(900)));
    BOOST_TEST(message.isStale(now + absl::Milliseconds(1100)));
}

BOOST_AUTO_TEST_SUITE_END()
