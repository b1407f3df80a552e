#include "protocol/cellmessage.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace Apricot;

namespace {

PromptReport promptReport()
{
    PromptReport it;
    it.broken = {BrokenPrompt{ServiceName("s"),
                              EngineLifetime{EngineId("e"), 1781008468029},
                              0xfedcba9876543210,
                              {PromptPartId("5c"), PromptPartId("91")},
                              absl::Milliseconds(70)}};
    it.cleared = {ClearedPart{PromptPartId("5c"), absl::Milliseconds(20)}};
    it.quarantined = {QuarantinedParts{PromptPartSet({PromptPartId("91"), PromptPartId("92")}), 2, absl::Seconds(40)}};
    return it;
}

MembershipGossip gossip()
{
    MembershipGossip it;
    it.sender = Member::Builder()
                    .set(&MemberFields::id, NodeId("n"))
                    .set(&MemberFields::incarnation, 7U)
                    .set(&MemberFields::peerAddress, "10.0.0.1:1")
                    .set(&MemberFields::processorMillis, 120)
                    .build();
    it.senderLiveness = NodeLiveness{5, 17, 3, true, false, true};
    it.enginesRevision = 99;
    it.others = {NodeLiveness{6, 18, 0, true, true, false}};
    it.introductions = {it.sender.with(&MemberFields::state, MemberState::Suspect)};
    it.prompts = promptReport();
    return it;
}

LoadReport report()
{
    LoadReport it;
    it.sender = NodeId("n");
    it.senderLiveness = NodeLiveness{5, 17, 3, true, false, true};
    it.generation = 12;
    it.sentAt = absl::FromUnixMicros(1234567);
    it.enginesRevision = 99;
    it.engineLoads = {EngineLoad{EngineId("e"), 2, 300, {EngineRun{5, 100, 50, 7}}}};
    it.waitingCalls = {WaitingCall{ServiceName("s"), 2, absl::FromUnixMillis(1300), 4000, 500, 0xfedcba98U, 12345}};
    it.unreachableEngines = {EngineId("f")};
    it.prompts = promptReport();
    it.spending = {WorkspaceSpending{0xfedcba9876, 1796000000007, 5000, 283860, 3000, -1200},
                   WorkspaceSpending{0x123456789a, 1796000000003, 0, 1, 0, 40}};
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
    desired.requiresKeys = true;
    desired.workspaces = {RoutedWorkspace(RoutedWorkspaceFields{
        WorkspaceName("w"), {KeyDigest(1, 2), KeyDigest(3, 4)}, 1, Allowance(AllowanceFields{AllowanceUnit::Tokens, 283860, 1.5, 200})})};
    EngineEntryFields engine;
    engine.id = EngineId("e");
    engine.stage = EngineStage::Decode;
    return CellState{DesiredState(desired), 55, 60, {EngineEntry(engine)}, {gossip().sender}, promptReport()};
}

}

BOOST_AUTO_TEST_SUITE(CellMessages)

BOOST_AUTO_TEST_CASE(messagesSurviveARoundTrip)
{
    for (const CellMessage &sent : {CellMessage(gossip()), CellMessage(report())}) {
        const auto received = toVariant<CellMessage>([&] { return decodeCellMessage(encodeCellMessage(sent)); });
        BOOST_REQUIRE(std::holds_alternative<CellMessage>(received));
        BOOST_TEST((std::get<CellMessage>(received) == sent));
    }
    const auto cell = toVariant<CellState>([] { return decodeCellState(encodeCellState(state())); });
    BOOST_REQUIRE(std::holds_alternative<CellState>(cell));
    BOOST_TEST((std::get<CellState>(cell) == state()));
}

// Guards against a noticeable increase in the bytes between nodes.
BOOST_AUTO_TEST_CASE(spendingIsShort)
{
    LoadReport with = report();
    LoadReport without = with;
    without.spending.clear();
    BOOST_TEST(encodeCellMessage(with).size() - encodeCellMessage(without).size() <= 45U);
}

BOOST_AUTO_TEST_CASE(truncatedAndModifiedBytesAreRejected)
{
    for (const CellMessage &sent : {CellMessage(gossip()), CellMessage(report())}) {
        const std::string whole = encodeCellMessage(sent);
        const auto isRejected = [](const std::string &bytes) {
            return std::holds_alternative<Error>(toVariant<CellMessage>([&] { return decodeCellMessage(bytes); }));
        };
        for (std::size_t n = 0; n < whole.size(); ++n) {
            BOOST_TEST(isRejected(whole.substr(0, n)));
        }
        BOOST_TEST(isRejected(whole + "x"));
        std::string other = whole;
        other[0] = static_cast<char>(other[0] + 1);
        BOOST_TEST(isRejected(other));
        std::string unknownKind = whole;
        unknownKind[1] = 9;
        BOOST_TEST(isRejected(unknownKind));
    }
}

BOOST_AUTO_TEST_CASE(extremeNumbersSurviveARoundTrip)
{
    LoadReport beat = report();
    beat.enginesRevision = std::numeric_limits<std::uint64_t>::max();
    constexpr std::int64_t min = std::numeric_limits<std::int64_t>::min();
    constexpr std::int64_t max = std::numeric_limits<std::int64_t>::max();
    beat.engineLoads = {EngineLoad{EngineId("e"), min, max, {EngineRun{0, -1, 127, 128}}}};
    const auto read = toVariant<CellMessage>([&] { return decodeCellMessage(encodeCellMessage(beat)); });
    BOOST_REQUIRE(std::holds_alternative<CellMessage>(read));
    BOOST_TEST((std::get<CellMessage>(read) == CellMessage(beat)));
}

BOOST_AUTO_TEST_CASE(anUnterminatedVarintIsRejected)
{
    std::string bytes = encodeCellMessage(report()).substr(0, 2);
    bytes += std::string(64, '\xff');
    BOOST_TEST(std::holds_alternative<Error>(toVariant<CellMessage>([&] { return decodeCellMessage(bytes); })));
}

// A node sends a report to all active nodes at each change. With 89 of them, one change per second and a budget of 17 KB/s, a report
// may have 190 bytes.
BOOST_AUTO_TEST_CASE(theLoadReportOfABusyNodeIsShort)
{
    LoadReport busy;
    busy.sender = NodeId("edge-somewhere-17");
    busy.senderLiveness = NodeLiveness{0x9f86d081884c7d65U, 1771926925041U, 12, true, false, true};
    busy.generation = 18;
    busy.sentAt = absl::FromUnixMillis(100000);
    busy.enginesRevision = 240;
    busy.engineLoads = {EngineLoad{EngineId("i-7d85810862"), 2, 0, {EngineRun{5, 5200, 4500, 700}, EngineRun{6, 8100, 3900, 0}}},
                        EngineLoad{EngineId("i-fee3b219b1"), 1, 8100, {}}};
    BOOST_TEST(encodeCellMessage(busy).size() < 190U);
}

BOOST_AUTO_TEST_SUITE_END()
