#include "protocol/cellmessage.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace Apricot;

namespace {

CellHeartbeat heartbeat()
{
    CellHeartbeat it;
    it.sender = Member::Builder()
                    .set(&MemberFields::id, NodeId("n"))
                    .set(&MemberFields::incarnation, 7U)
                    .set(&MemberFields::peerAddress, "10.0.0.1:1")
                    .build();
    it.sentAt = absl::FromUnixMicros(1234567);
    it.claims = {MemberClaim{NodeId("m"), 3, MemberState::Dead}};
    it.enginesRevision = 99;
    it.engineLoads = {EngineLoad{EngineId("e"), 2, 300, {EngineRun{5, 100, 50, 7}}}};
    it.waitingCalls = {WaitingCall{ServiceName("s"), 2, absl::FromUnixMillis(1300), 4000, 500}};
    it.unreachableEngines = {EngineId("f")};
    return it;
}

CellState state()
{
    RouteFields route;
    route.host = "h";
    route.timeout = absl::Milliseconds(1500);
    route.services = {WeightedService{ServiceName("s"), 3}};
    ModelEngineSpecFields model;
    model.kvCapacityTokens = 1000;
    model.tokensPerEvent = 4;
    RoutedServiceFields service;
    service.name = ServiceName("s");
    service.model = ModelEngineSpec(model);
    DesiredStateFields desired;
    desired.version = 12;
    desired.routes = {Route(route)};
    desired.services = {RoutedService(service)};
    EngineEntryFields engine;
    engine.id = EngineId("e");
    engine.stage = EngineStage::Decode;
    return CellState{DesiredState(desired), 55, {EngineEntry(engine)}};
}

}

BOOST_AUTO_TEST_SUITE(CellMessages)

BOOST_AUTO_TEST_CASE(messagesSurviveARoundTrip)
{
    const auto beat = toVariant<CellHeartbeat>([] { return decodeCellHeartbeat(encodeCellHeartbeat(heartbeat())); });
    BOOST_REQUIRE(std::holds_alternative<CellHeartbeat>(beat));
    BOOST_TEST((std::get<CellHeartbeat>(beat) == heartbeat()));
    const auto cell = toVariant<CellState>([] { return decodeCellState(encodeCellState(state())); });
    BOOST_REQUIRE(std::holds_alternative<CellState>(cell));
    BOOST_TEST((std::get<CellState>(cell) == state()));
}

BOOST_AUTO_TEST_CASE(truncatedAndModifiedBytesAreRejected)
{
    const std::string whole = encodeCellHeartbeat(heartbeat());
    for (std::size_t n = 0; n < whole.size(); ++n) {
        BOOST_TEST(std::holds_alternative<Error>(toVariant<CellHeartbeat>([&] { return decodeCellHeartbeat(whole.substr(0, n)); })));
    }
    BOOST_TEST(std::holds_alternative<Error>(toVariant<CellHeartbeat>([&] { return decodeCellHeartbeat(whole + "x"); })));
    std::string other = whole;
    other[0] = static_cast<char>(other[0] + 1);
    BOOST_TEST(std::holds_alternative<Error>(toVariant<CellHeartbeat>([&] { return decodeCellHeartbeat(other); })));
}

BOOST_AUTO_TEST_CASE(extremeNumbersSurviveARoundTrip)
{
    CellHeartbeat beat = heartbeat();
    beat.enginesRevision = std::numeric_limits<std::uint64_t>::max();
    constexpr std::int64_t min = std::numeric_limits<std::int64_t>::min();
    constexpr std::int64_t max = std::numeric_limits<std::int64_t>::max();
    beat.engineLoads = {EngineLoad{EngineId("e"), min, max, {EngineRun{0, -1, 127, 128}}}};
    const auto read = toVariant<CellHeartbeat>([&] { return decodeCellHeartbeat(encodeCellHeartbeat(beat)); });
    BOOST_REQUIRE(std::holds_alternative<CellHeartbeat>(read));
    BOOST_TEST((std::get<CellHeartbeat>(read) == beat));
}

BOOST_AUTO_TEST_CASE(anUnterminatedVarintIsRejected)
{
    std::string bytes = encodeCellHeartbeat(heartbeat()).substr(0, 1);
    bytes += std::string(64, '\xff');
    BOOST_TEST(std::holds_alternative<Error>(toVariant<CellHeartbeat>([&] { return decodeCellHeartbeat(bytes); })));
}

// A node sends a heartbeat to all peers at each change. With 89 nodes, one change per second and a budget of 17 KB/s, a heartbeat
// may have 190 bytes.
BOOST_AUTO_TEST_CASE(theHeartbeatOfABusyNodeIsShort)
{
    CellHeartbeat beat;
    beat.sender = Member::Builder()
                      .set(&MemberFields::id, NodeId("edge-somewhere-17"))
                      .set(&MemberFields::incarnation, 1771926925041U)
                      .set(&MemberFields::dataCentre, DataCentreName("somewhere"))
                      .set(&MemberFields::peerAddress, "10.1.0.40:7660")
                      .set(&MemberFields::callerAddress, "10.1.0.40:8608")
                      .set(&MemberFields::generation, 18U)
                      .build();
    beat.sentAt = absl::FromUnixMillis(100000);
    beat.enginesRevision = 240;
    beat.engineLoads = {EngineLoad{EngineId("i-7d85810862"), 2, 0, {EngineRun{5, 5200, 4500, 700}, EngineRun{6, 8100, 3900, 0}}},
                        EngineLoad{EngineId("i-fee3b219b1"), 1, 8100, {}}};
    BOOST_TEST(encodeCellHeartbeat(beat).size() < 190U);
}

BOOST_AUTO_TEST_SUITE_END()
