#include "coordination/activenodes.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>

using namespace Apricot;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(3);

Member node(int number, const std::string &dataCentre, std::int64_t processorMillis)
{
    return Member::Builder()
        .set(&MemberFields::id, NodeId(dataCentre + "-" + std::to_string(number)))
        .set(&MemberFields::dataCentre, DataCentreName(dataCentre))
        .set(&MemberFields::processorMillis, processorMillis)
        .build();
}

/// Five data centres with three large nodes and 56 small ones each.
std::vector<Member> largeDeployment()
{
    std::vector<Member> nodes;
    for (const char *dataCentre : {"a", "b", "c", "d", "e"}) {
        for (int i = 0; i < 59; ++i) {
            nodes.push_back(node(i, dataCentre, i % 20 == 7 ? 500 : 120));
        }
    }
    return nodes;
}

std::map<DataCentreName, int> countByDataCentre(const std::vector<Member> &nodes)
{
    std::map<DataCentreName, int> counts;
    for (const Member &it : nodes) {
        ++counts[it->dataCentre];
    }
    return counts;
}

}

BOOST_AUTO_TEST_SUITE(ActiveNodes)

BOOST_AUTO_TEST_CASE(allNodesOfASmallDeploymentAreActive)
{
    std::vector<Member> nodes;
    for (int i = 0; i < 8; ++i) {
        nodes.push_back(node(i, i < 4 ? "a" : "b", 250));
    }
    BOOST_TEST(chooseActiveNodes(nodes, 10).size() == 8U);
    BOOST_TEST(chooseActiveNodes({}, 10).empty());
}

BOOST_AUTO_TEST_CASE(theLargestNodesOfEachDataCentreComeFirst)
{
    const std::vector<Member> chosen = chooseActiveNodes(largeDeployment(), 400);
    BOOST_TEST(chosen.size() == 10U);
    for (const Member &it : chosen) {
        BOOST_TEST(it->processorMillis == 500);
    }
    for (const auto &[dataCentre, count] : countByDataCentre(chosen)) {
        BOOST_TEST(count == 2);
    }
}

/// A burst on few large and many small nodes: each active node gets the same share, so a small one must not limit the large ones.
BOOST_AUTO_TEST_CASE(smallNodesJoinOnlyIfTheyCarryMoreThanTheLargeOnesAlone)
{
    std::vector<Member> nodes;
    for (const char *dataCentre : {"a", "b", "c"}) {
        for (int i = 0; i < 22; ++i) {
            nodes.push_back(node(i, dataCentre, i < 2 ? 500 : 120));
        }
    }
    const ActiveNodeRules rules;
    for (const double callsPerSecond : {0.0, 100.0, 300.0, 700.0, 1200.0, 1900.0}) {
        const std::vector<Member> chosen = chooseActiveNodes(nodes, callsPerSecond, rules);
        const double share = callsPerSecond / static_cast<double>(chosen.size());
        for (const Member &it : chosen) {
            BOOST_TEST(share * rules.processorMsPerCall <= static_cast<double>(it->processorMillis));
        }
        BOOST_TEST((callsPerSecond > 700 || chosen.size() == 6U));
    }
    BOOST_TEST(chooseActiveNodes(nodes, 1e9).size() == nodes.size());
}

/// Nodes learn of failures one after the other: the choice differs in the failed nodes only.
BOOST_AUTO_TEST_CASE(theLossOfANodeChangesTheChoiceByOneNode)
{
    const std::vector<Member> before = chooseActiveNodes(largeDeployment(), 400);
    std::vector<Member> candidates = largeDeployment();
    std::erase(candidates, before.front());
    const std::vector<Member> after = chooseActiveNodes(candidates, 400);
    const auto kept = std::count_if(after.begin(), after.end(),
                                    [&](const Member &it) { return std::find(before.begin(), before.end(), it) != before.end(); });
    BOOST_TEST(after.size() == before.size());
    BOOST_TEST(static_cast<std::size_t>(kept) == before.size() - 1);
}

BOOST_AUTO_TEST_CASE(aPeakHoldsThroughAShortPause)
{
    PeakRate rate;
    rate.record(100, start);
    rate.record(900, start + absl::Seconds(1));
    rate.record(50, start + absl::Seconds(2));
    BOOST_TEST(rate.current(start + absl::Seconds(9)) == 900.0);
    BOOST_TEST(rate.current(start + absl::Seconds(12)) == 50.0);
}

BOOST_AUTO_TEST_SUITE_END()
