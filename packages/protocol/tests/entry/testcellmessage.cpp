#include "protocol/cellmessage.h"

#include <boost/test/unit_test.hpp>

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
    it.loads = {EngineLoad{EngineId("e"), 2, 300, {EngineRun{5, 100, 50, 7}}}};
    it.waiting = {WaitingCall{ServiceName("s"), 2, absl::FromUnixMillis(1300), 4000, 500}};
    it.doubts = {EngineId("f")};
    return it;
}

CellState state()
{
    RouteFields route;
    route.host = "h";
    route.timeout = absl::Milliseconds(1500);
    route.shares = {ServiceShare{ServiceName("s"), 3}};
    ModelServingFields model;
    model.memoryTokens = 1000;
    model.tokensPerEvent = 4;
    RoutedServiceFields service;
    service.name = ServiceName("s");
    service.model = ModelServing(model);
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

BOOST_AUTO_TEST_CASE(whatIsWrittenIsReadBack)
{
    const auto beat = collect<CellHeartbeat>([] { return decodeCellHeartbeat(encodeCellHeartbeat(heartbeat())); });
    BOOST_REQUIRE(std::holds_alternative<CellHeartbeat>(beat));
    BOOST_TEST((std::get<CellHeartbeat>(beat) == heartbeat()));
    const auto cell = collect<CellState>([] { return decodeCellState(encodeCellState(state())); });
    BOOST_REQUIRE(std::holds_alternative<CellState>(cell));
    BOOST_TEST((std::get<CellState>(cell) == state()));
}

BOOST_AUTO_TEST_CASE(cutAndChangedBytesAreErrors)
{
    const std::string whole = encodeCellHeartbeat(heartbeat());
    for (std::size_t n = 0; n < whole.size(); ++n) {
        BOOST_TEST(std::holds_alternative<Error>(collect<CellHeartbeat>([&] { return decodeCellHeartbeat(whole.substr(0, n)); })));
    }
    BOOST_TEST(std::holds_alternative<Error>(collect<CellHeartbeat>([&] { return decodeCellHeartbeat(whole + "x"); })));
    std::string other = whole;
    other[0] = static_cast<char>(other[0] + 1);
    BOOST_TEST(std::holds_alternative<Error>(collect<CellHeartbeat>([&] { return decodeCellHeartbeat(other); })));
}

BOOST_AUTO_TEST_SUITE_END()
