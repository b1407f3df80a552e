#include "coordination/activenodes.h"
#include "platform/nodefixture.h"

#include <absl/time/clock.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace Apricot;

BOOST_FIXTURE_TEST_SUITE(NodesBeforeTheStore, Platform)

/// Guards against CONFIG: with more nodes than are active, only the active ones asked the store, also when it turned away just these.
BOOST_AUTO_TEST_CASE(nodesThatTheStoreServesTakeOverWhenTheActiveOnesAreTurnedAway)
{
    constexpr std::size_t otherCount = 8;
    constexpr std::size_t kindsWatched = 2;
    const std::size_t activeCount = ActiveNodeRules().minCount;
    addEngine("i-1", "desk", "", respondSuccessfully);
    std::vector<std::unique_ptr<NodeUnderTest>> nodes;
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < activeCount + otherCount; ++i) {
        // Nodes of equal size become active in order of name.
        const bool isActive = i < activeCount;
        nodes.push_back(std::make_unique<NodeUnderTest>((isActive ? "a" : "b") + std::to_string(i),
                                                        isActive ? store.restrictedAddress() : store.address(), seeds));
        seeds.push_back(nodes.back()->settings()->peerAddress);
    }
    const auto allServe = [&](const std::string &path) {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto &it) { return it->call(path).status == 200; });
    };
    BOOST_REQUIRE(eventually([&] { return allServe("/read/x"); }));
    BOOST_REQUIRE(eventually([&] { return store.watchCount() == activeCount * kindsWatched; }));
    store.setTurnsAway(true);
    store.put("config", "main", desiredState(3, Json::array({route("/new/", "idempotent", "desk", 1)})));
    BOOST_TEST(eventually([&] { return allServe("/new/x"); }));
    store.setTurnsAway(false);
    BOOST_TEST(eventually([&] { return store.watchCount() == activeCount * kindsWatched; }));
    store.put("config", "main", desiredState(4, Json::array({route("/newer/", "idempotent", "desk", 1)})));
    BOOST_TEST(eventually([&] { return allServe("/newer/x"); }));
}

/// Guards against CONFIG and DRAIN: the answer of the store to the watch of every node is lost, its connection stays open, and the change
/// was not seen until the watches ended by themselves, 16.5 s after their start.
BOOST_AUTO_TEST_CASE(aChangeWhoseAnswerIsLostToAllNodesIsInForceInTime)
{
    constexpr absl::Duration changeTime = absl::Seconds(8);
    PlatformEngineStandIn &leaving = addEngine("i-1", "desk", "", respondSuccessfully);
    addEngine("i-2", "desk", "", respondSuccessfully);
    const NodeUnderTest first("n1", store.address(), {}, 1, absl::Seconds(20), "error", changeTime);
    const NodeUnderTest second("n2", store.address(), {first.settings()->peerAddress}, 1, absl::Seconds(20), "error", changeTime);
    BOOST_REQUIRE(eventually([&] { return first.isReady() && second.isReady() && store.watchCount() == 4U; }));
    absl::SleepFor(absl::Seconds(2)); // The nodes know each other.

    store.setLosesWatchAnswers("config");
    store.put("config", "main", desiredState(3, Json::array({route("/new/", "idempotent", "desk", 2)})));
    const absl::Time changed = absl::Now();
    store.setLosesWatchAnswers("");
    BOOST_TEST(eventually([&] { return first.call("/new/x").status == 200 && second.call("/new/x").status == 200; }));
    BOOST_TEST((absl::Now() - changed < changeTime));

    store.setLosesWatchAnswers("servers");
    publishEngine(leaving, "desk", "", "draining");
    const absl::Time left = absl::Now();
    store.setLosesWatchAnswers("");
    const auto isUsed = [&] {
        const std::size_t before = leaving.receivedRequests().size();
        for (int i = 0; i < 6; ++i) {
            first.call("/read/x");
            second.call("/read/x");
        }
        return leaving.receivedRequests().size() > before;
    };
    BOOST_TEST(eventually([&] { return !isUsed(); }));
    BOOST_TEST((absl::Now() - left < changeTime));
}

BOOST_AUTO_TEST_SUITE_END()
