#include "coordination/storeduty.h"

#include "coordination/ownership.h"

#include <algorithm>
#include <cstdint>

namespace Apricot {

bool StoreDuty::update(const StoreDutyFacts &facts, absl::Time now)
{
    const auto reachesStore = [&](const NodeId &node) {
        return facts.nodesReachingStore.contains(node);
    };
    const bool isHeldByActive = std::any_of(facts.activeNodes.begin(), facts.activeNodes.end(), reachesStore);
    m_lostSince = isHeldByActive ? absl::InfiniteFuture() : std::min(m_lostSince, now);
    if (facts.activeNodes.contains(facts.self)) {
        return true;
    }
    const absl::Duration waited = now - m_lostSince - StoreDutyLimits::patience;
    if (isHeldByActive || waited < absl::ZeroDuration()) {
        return false;
    }
    if (!facts.nodesReachingStore.empty()) {
        return reachesStore(facts.self);
    }
    return isInTurn(facts, waited);
}

bool StoreDuty::isInTurn(const StoreDutyFacts &facts, absl::Duration waited)
{
    std::vector<NodeId> others;
    std::copy_if(facts.aliveNodes.begin(), facts.aliveNodes.end(), std::back_inserter(others),
                 [&](const NodeId &it) { return !facts.activeNodes.contains(it); });
    const std::vector<NodeId> ordered = nodesByPreference("store", std::move(others));
    const std::size_t groupSize = std::max(StoreDutyLimits::minGroup, ordered.size() / StoreDutyLimits::nodesPerGroupMember);
    const std::size_t groupCount = (ordered.size() + groupSize - 1) / groupSize;
    const auto position = static_cast<std::size_t>(std::find(ordered.begin(), ordered.end(), facts.self) - ordered.begin());
    const auto turn = static_cast<std::size_t>(waited / StoreDutyLimits::turn);
    return groupCount > 0 && position / groupSize == turn % groupCount;
}

}
