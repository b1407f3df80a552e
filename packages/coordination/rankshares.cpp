#include "coordination/rankshares.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

constexpr absl::Duration engineTimeWindow = absl::Seconds(5);

}

RankShares::RankShares(std::vector<Rank> ranks, bool useFloors)
    : m_ranks(std::move(ranks))
    , m_useFloors(useFloors)
{
    std::stable_sort(m_ranks.begin(), m_ranks.end(), [](const Rank &a, const Rank &b) { return a->priority < b->priority; });
    if (m_ranks.empty()) {
        m_ranks.emplace_back();
    }
    m_engineTime.assign(m_ranks.size(), DecayingRate(engineTimeWindow));
}

std::size_t RankShares::indexOf(const RankName &name) const
{
    for (std::size_t i = 0; i < m_ranks.size(); ++i) {
        if (m_ranks[i]->name == name) {
            return i;
        }
    }
    return m_ranks.size() - 1;
}

void RankShares::charge(std::size_t index, double engineMs, absl::Time now)
{
    m_engineTime[index].add(engineMs, now);
}

double RankShares::recentFraction(std::size_t index, absl::Time now) const
{
    double total = 0;
    for (const DecayingRate &it : m_engineTime) {
        total += it.sum(now);
    }
    return total > 0 ? m_engineTime[index].sum(now) / total : 0;
}

bool RankShares::isBelowFloor(std::size_t index, absl::Time now) const
{
    const double floor = m_ranks[index]->floorShare;
    return m_useFloors && floor > 0 && recentFraction(index, now) < floor * floorMarginFactor;
}

}
