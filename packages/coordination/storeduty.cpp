#include "coordination/storeduty.h"

#include "coordination/ownership.h"

#include <algorithm>
#include <iterator>

namespace Apricot {

namespace {

/// Returns the number of turns that have ended after \a waited.
std::size_t turnAfter(absl::Duration waited)
{
    std::size_t turn = 0;
    for (absl::Duration length = StoreDutyLimits::firstTurn; waited >= length; ++turn) {
        waited -= length;
        length = turn == 0 ? length : std::min(length * 2, StoreDutyLimits::longestTurn);
    }
    return turn;
}

}

bool StoreDuty::update(const StoreDutyFacts &facts, absl::Time now)
{
    const auto reachesStore = [&](const NodeId &node) {
        return facts.nodesReachingStore.contains(node);
    };
    const bool isHeldByActive = std::any_of(facts.activeNodes.begin(), facts.activeNodes.end(), reachesStore);
    m_lostSince = isHeldByActive ? absl::InfiniteFuture() : std::min(m_lostSince, now);
    m_unansweredSince = facts.nodesReachingStore.empty() ? std::min(m_unansweredSince, now) : absl::InfiniteFuture();
    if (facts.activeNodes.contains(facts.self)) {
        return true;
    }
    const absl::Time begin = m_lostSince + StoreDutyLimits::patience;
    if (isHeldByActive || now < begin) {
        return false;
    }
    if (!facts.nodesReachingStore.empty()) {
        return reachesStore(facts.self);
    }
    return isInTurn(facts, now - std::max(begin, m_unansweredSince));
}

bool StoreDuty::isConfirming(const StoreDutyFacts &facts)
{
    std::vector<NodeId> candidates;
    std::copy_if(facts.nodesReachingStore.begin(), facts.nodesReachingStore.end(), std::back_inserter(candidates),
                 [&](const NodeId &it) { return facts.activeNodes.contains(it); });
    if (candidates.empty()) {
        candidates.assign(facts.nodesReachingStore.begin(), facts.nodesReachingStore.end());
    }
    return ownerOf("confirm", candidates) == facts.self && facts.nodesReachingStore.contains(facts.self);
}

bool StoreDuty::isInTurn(const StoreDutyFacts &facts, absl::Duration waited)
{
    std::vector<NodeId> others;
    std::copy_if(facts.aliveNodes.begin(), facts.aliveNodes.end(), std::back_inserter(others),
                 [&](const NodeId &it) { return !facts.activeNodes.contains(it); });
    const std::vector<NodeId> ordered = nodesByPreference("store", std::move(others));
    const std::size_t groupCount = (ordered.size() + StoreDutyLimits::groupSize - 1) / StoreDutyLimits::groupSize;
    const auto position = static_cast<std::size_t>(std::find(ordered.begin(), ordered.end(), facts.self) - ordered.begin());
    return groupCount > 0 && position / StoreDutyLimits::groupSize == turnAfter(waited) % groupCount;
}

}
