#include "coordination/ownership.h"

#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(Ownership)

BOOST_AUTO_TEST_CASE(onlySlicesOfALostNodeChangeTheirOwner)
{
    std::vector<NodeId> nodes;
    for (int i = 0; i < 8; ++i) {
        nodes.emplace_back(absl::StrCat("node-", i));
    }
    std::map<std::string, NodeId> before;
    for (int i = 0; i < 400; ++i) {
        const std::string slice = absl::StrCat("slice-", i);
        before[slice] = ownerOf(slice, nodes);
    }
    const NodeId lost = nodes.back();
    nodes.pop_back();
    int moved = 0;
    for (const auto &[slice, owner] : before) {
        const NodeId now = ownerOf(slice, nodes);
        if (owner != lost) {
            BOOST_TEST((now == owner));
        } else {
            ++moved;
        }
    }
    BOOST_TEST(moved > 20);
    BOOST_TEST(moved < 90);
}

BOOST_AUTO_TEST_CASE(orderAndOwnerAgreeWhateverTheOrderOfTheNodes)
{
    const std::vector<NodeId> nodes{NodeId("a"), NodeId("b"), NodeId("c")};
    const std::vector<NodeId> reversed{NodeId("c"), NodeId("b"), NodeId("a")};
    BOOST_TEST((nodesByPreference("s", nodes) == nodesByPreference("s", reversed)));
    BOOST_TEST((nodesByPreference("s", nodes).front() == ownerOf("s", reversed)));
    BOOST_TEST(ownerOf("s", {}).isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()
