#include "coordination/storeduty.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

using namespace Apricot;

namespace {

using Limits = StoreDutyLimits;

/// How often the nodes decide.
constexpr absl::Duration tick = absl::Milliseconds(200);

/**
 * \class Deployment
 * \brief Nodes that all know the same of each other, before a store that serves some of them.
 */
class Deployment
{
public:
    Deployment(int activeCount, int otherCount)
    {
        for (int i = 0; i < activeCount + otherCount; ++i) {
            const NodeId id("n" + std::to_string(i));
            m_facts.aliveNodes.push_back(id);
            if (i < activeCount) {
                m_facts.activeNodes.insert(id);
            }
            m_duties[id];
        }
        serve(m_facts.aliveNodes);
        run(absl::Seconds(2));
    }

    const std::vector<NodeId> &nodes() const
    {
        return m_facts.aliveNodes;
    }

    std::vector<NodeId> otherNodes() const
    {
        std::vector<NodeId> others;
        std::copy_if(nodes().begin(), nodes().end(), std::back_inserter(others),
                     [&](const NodeId &it) { return !m_facts.activeNodes.contains(it); });
        return others;
    }

    /// From now on the store serves just \a nodes.
    void serve(const std::vector<NodeId> &nodes)
    {
        m_served = std::set<NodeId>(nodes.begin(), nodes.end());
    }

    void run(absl::Duration time)
    {
        for (const absl::Time end = m_now + time; m_now < end; m_now += tick) {
            std::set<NodeId> asking;
            std::set<NodeId> reaching;
            for (auto &[id, duty] : m_duties) {
                m_facts.self = id;
                if (duty.update(m_facts, m_now)) {
                    asking.insert(id);
                    if (m_served.contains(id)) {
                        reaching.insert(id);
                    }
                }
            }
            m_mostAsking = std::max(m_mostAsking, asking.size());
            m_everAsked.insert(asking.begin(), asking.end());
            m_facts.nodesReachingStore = reaching;
        }
    }

    const std::set<NodeId> &reachingStore() const
    {
        return m_facts.nodesReachingStore;
    }

    std::size_t mostAsking() const
    {
        return m_mostAsking;
    }

    const std::set<NodeId> &everAsked() const
    {
        return m_everAsked;
    }

private:
    StoreDutyFacts m_facts;
    std::map<NodeId, StoreDuty> m_duties;
    std::set<NodeId> m_served;
    std::set<NodeId> m_everAsked;
    std::size_t m_mostAsking = 0;
    absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);
};

}

BOOST_AUTO_TEST_SUITE(StoreDuties)

BOOST_AUTO_TEST_CASE(onlyActiveNodesWatchAStoreThatServesThem)
{
    Deployment deployment(6, 12);
    deployment.run(absl::Seconds(60));
    BOOST_TEST(deployment.mostAsking() == 6U);
    BOOST_TEST(deployment.reachingStore().size() == 6U);
}

/// Guards against CONFIG: the store turned the active nodes away, and none of the nodes that it would have served asked it.
BOOST_AUTO_TEST_CASE(otherNodesTakeOverWhenTheActiveOnesAreTurnedAway)
{
    Deployment deployment(6, 12);
    deployment.serve(deployment.otherNodes());
    deployment.run(absl::Seconds(1));
    BOOST_TEST(!deployment.reachingStore().empty());
    BOOST_TEST(deployment.mostAsking() <= 6 + Limits::groupSize);
    deployment.serve(deployment.nodes());
    deployment.run(absl::Seconds(1));
    BOOST_TEST(deployment.reachingStore().size() == 6U);
}

BOOST_AUTO_TEST_CASE(oneServedActiveNodeIsEnough)
{
    Deployment deployment(6, 12);
    deployment.serve({deployment.nodes().front()});
    deployment.run(absl::Seconds(10));
    BOOST_TEST(deployment.everAsked().size() == 6U);
}

/// The only node that the store serves is found, whichever it is.
BOOST_AUTO_TEST_CASE(everyNodeGetsItsTurn)
{
    constexpr int otherCount = 40;
    constexpr auto groupCount = (otherCount + Limits::groupSize - 1) / Limits::groupSize;
    for (const NodeId &only : Deployment(6, otherCount).otherNodes()) {
        Deployment deployment(6, otherCount);
        deployment.serve({only});
        deployment.run(Limits::longestTurn * groupCount);
        BOOST_TEST((deployment.reachingStore() == std::set<NodeId>{only}));
    }
}

/// Guards against all nodes of a large deployment asking at once while the store is down for all, or limits its rate.
BOOST_AUTO_TEST_CASE(fewNodesAskAStoreThatIsDownForAll)
{
    Deployment deployment(12, 283);
    deployment.serve({});
    deployment.run(absl::Seconds(3));
    BOOST_TEST(deployment.everAsked().size() <= 12 + 4 * Limits::groupSize);
    deployment.run(absl::Seconds(20));
    BOOST_TEST(deployment.mostAsking() == 12 + Limits::groupSize);
}

BOOST_AUTO_TEST_CASE(allNodesAskAStoreThatIsDownForLong)
{
    Deployment deployment(12, 60);
    deployment.serve({});
    deployment.run(absl::Minutes(2));
    BOOST_TEST(deployment.mostAsking() == 12 + Limits::groupSize);
    BOOST_TEST(deployment.everAsked().size() == deployment.nodes().size());
}

/// The store serves another part of the nodes each second.
BOOST_AUTO_TEST_CASE(theDutyFollowsAStoreThatChangesItsMind)
{
    Deployment deployment(6, 12);
    const std::vector<NodeId> others = deployment.otherNodes();
    for (std::size_t i = 0; i < others.size(); ++i) {
        deployment.serve({others[i], others[(i + 5) % others.size()]});
        deployment.run(absl::Milliseconds(1600));
        BOOST_TEST(!deployment.reachingStore().empty());
    }
    BOOST_TEST(deployment.mostAsking() <= 6 + Limits::groupSize);
}

// Guards against an answer of the store that is lost to all nodes and missed by all of them: one has to ask at short intervals, and not
// all.
BOOST_AUTO_TEST_CASE(oneNodeThatReachesTheStoreConfirms)
{
    StoreDutyFacts facts;
    for (const char *name : {"a", "b", "c", "d"}) {
        facts.aliveNodes.emplace_back(name);
    }
    facts.activeNodes = {NodeId("a"), NodeId("b"), NodeId("c")};
    const auto confirming = [&] {
        std::vector<NodeId> found;
        for (const NodeId &it : facts.aliveNodes) {
            facts.self = it;
            if (StoreDuty::isConfirming(facts)) {
                found.push_back(it);
            }
        }
        return found;
    };
    BOOST_TEST(confirming().empty());
    facts.nodesReachingStore = {NodeId("a"), NodeId("b"), NodeId("c"), NodeId("d")};
    while (facts.nodesReachingStore.size() > 1) {
        const std::vector<NodeId> found = confirming();
        BOOST_TEST_REQUIRE(found.size() == 1U);
        BOOST_TEST(facts.activeNodes.contains(found.front()));
        facts.nodesReachingStore.erase(found.front());
    }
    BOOST_TEST((confirming() == std::vector<NodeId>{NodeId("d")}));
}

BOOST_AUTO_TEST_SUITE_END()
