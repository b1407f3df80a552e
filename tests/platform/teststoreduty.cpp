#include "coordination/activenodes.h"
#include "platform/nodefixture.h"

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

BOOST_AUTO_TEST_SUITE_END()
