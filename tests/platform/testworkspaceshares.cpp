#include "platform/nodefixture.h"

#include <absl/time/clock.h>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace Apricot;

namespace {

const std::string hotKey = "banfqasnmgkcuyj8pjbv";
const std::string coldKey = "k9m68k7b2ex5wa5xwyhk";

/// Two workspaces, and a route whose calls wait for capacity as long as a node lets any call wait.
Json twoWorkspaces()
{
    Json patient = route("/patient/", "streaming", "model", 1);
    patient["target-latency-ms"] = 10000;
    Json state = desiredState(3, Json::array({patient}));
    state["tenants"] = Json::array();
    for (const auto &[name, key] : {std::pair("hot", hotKey), std::pair("cold", coldKey)}) {
        state["tenants"].push_back(
            Json{{"name", name}, {"api-keys", Json::array({key})}, {"unit", "token_count"}, {"rate-per-s", 0}, {"burst", 0}});
    }
    return state;
}

/// Begins a stream and ends it once \a gate is open.
void streamUntil(Gate &gate, EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request)
{
    PlatformEngineStandIn::beginEventStream(connection, request, 1, 1);
    gate.whenOpen(loop, [connection] { connection->endStream(); });
}

}

BOOST_FIXTURE_TEST_SUITE(WorkspaceShares, PlatformWithNode)

/// One workspace holds all slots of the only engine and has calls that wait when a call of another workspace comes: that one used to be
/// the last, as its wait ends last.
BOOST_AUTO_TEST_CASE(aWorkspaceThatHoldsAllCapacityWaitsForAnother)
{
    constexpr std::size_t usableSlots = 7; // One of the engine's slots stays free.
    store.put("config", "main", twoWorkspaces());
    Gate first;
    Gate others;
    std::atomic<int> begun{0};
    const PlatformEngineStandIn &engine = addEngine(
        "d-1", "model", "decode", [&](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
            streamUntil(begun++ == 0 ? first : others, loop, connection, request);
        });
    startNode();
    std::vector<std::unique_ptr<Thread>> callers;
    const auto call = [&](const std::string &key) {
        callers.push_back(std::make_unique<Thread>("caller", [&, key] { node->callWithKey("/patient/x", key); }));
    };
    const auto waits = [&](int count) {
        const std::string line = "apricotladder_entry_waiting_calls " + std::to_string(count) + "\n";
        return eventually([&] { return node->fetch(node->settings()->metricsAddress, "/metrics").body.find(line) != std::string::npos; });
    };
    for (std::size_t n = 1; n <= usableSlots; ++n) {
        call(hotKey);
        BOOST_REQUIRE(eventually([&] { return engine.receivedRequests().size() == n; }));
        absl::SleepFor(absl::Milliseconds(20)); // The node reads the first event, so that the next prompt can be computed.
    }
    call(hotKey);
    call(hotKey);
    BOOST_REQUIRE(waits(2));
    call(coldKey);
    BOOST_REQUIRE(waits(3));
    first.open();
    BOOST_REQUIRE(eventually([&] { return engine.receivedRequests().size() > usableSlots; }));
    BOOST_TEST(engine.receivedRequests().at(usableSlots).header("Apricotladder-Tenant") == "cold");
    others.open();
    for (const std::unique_ptr<Thread> &it : callers) {
        it->join();
    }
}

BOOST_AUTO_TEST_SUITE_END()
