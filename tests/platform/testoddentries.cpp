#include "platform/nodefixture.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace Apricot;

namespace {

/// Specs that another program may have written: nested deeply, with a number too large, with bytes that are no text, with a bad port.
std::vector<std::string> oddSpecs()
{
    constexpr std::size_t levels = 100000;
    return {std::string(levels, '[') + std::string(levels, ']'),
            R"({"service":"desk","address":"127.0.0.1:9","state":"ready","slots":1e400})",
            "{\"service\":\"desk\",\"address\":\"127.0.0.1:9\",\"state\":\"ready\",\"zone\":\"\xff\"}",
            R"({"service":"desk","address":"127.0.0.1:99999","state":"ready","slots":8})"};
}

/// Number of malformed entries of engines that \a node has counted.
int malformedEntries(const NodeUnderTest &node)
{
    const std::string text = node.fetch(node.settings()->metricsAddress, "/metrics").body;
    const std::string key = "malformed_entries_total{kind=\"servers\"} ";
    const std::size_t at = text.find(key);
    return at == std::string::npos ? 0 : std::stoi(text.substr(at + key.size()));
}

}

BOOST_FIXTURE_TEST_SUITE(OddEntriesInTheStore, Platform)

/// A node that read one odd entry in its first list ended, or never became ready.
BOOST_AUTO_TEST_CASE(aNodeStartsAndFollowsChangesBesideOddEntries)
{
    const std::vector<std::string> specs = oddSpecs();
    for (std::size_t i = 0; i < specs.size(); ++i) {
        store.putText("servers", "odd-" + std::to_string(i), specs[i]);
        store.putText("apricot-nodes", "odd-" + std::to_string(i), specs[i]);
    }
    addEngine("i-1", "desk", "", respondSuccessfully);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST(node.call("/read/x").status == 200);
    BOOST_TEST(malformedEntries(node) == static_cast<int>(specs.size()));
    store.compactHistory(); // The node lists again, and reports no entry twice.
    PlatformEngineStandIn &added = addEngine("i-2", "desk", "", respondSuccessfully);
    BOOST_TEST(eventually([&] {
        node.call("/read/x");
        return !added.receivedRequests().empty();
    }));
    BOOST_TEST(malformedEntries(node) == static_cast<int>(specs.size()));
}

/// A node that watched the store ended with one odd change, or followed no later one; the entry's engine got calls on.
BOOST_AUTO_TEST_CASE(anEntryThatBecomesOddNamesNoEngineUntilItIsGoodAgain)
{
    PlatformEngineStandIn &changing = addEngine("i-1", "desk", "", respondSuccessfully);
    addEngine("i-2", "desk", "", respondSuccessfully);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    const auto receivesCalls = [&] {
        const std::size_t before = changing.receivedRequests().size();
        node.call("/read/x");
        node.call("/read/x");
        return changing.receivedRequests().size() > before;
    };
    for (const std::string &spec : oddSpecs()) {
        BOOST_TEST(eventually(receivesCalls));
        store.putText("servers", "i-1", spec);
        BOOST_TEST(eventually([&] { return !receivesCalls(); }));
        publishEngine(changing, "desk", "", "ready");
    }
    BOOST_TEST(eventually(receivesCalls));
    BOOST_TEST(!node.hasEnded());
}

BOOST_AUTO_TEST_SUITE_END()
