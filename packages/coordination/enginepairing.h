#pragma once

#include "state/name.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <vector>

namespace Apricot {

/// Returns the indices, in ascending order, of the cheapest candidate of each data centre whose cost is at most \a maxCost; the first one
/// among equals. A candidate has a cost and a dataCentre().
///
/// The cost of a pair of engines is the sum of their costs and of a penalty that depends on whether they are in the same data centre.
/// The cheapest partner of any engine is therefore among these candidates, and the pairs that have to be compared grow linearly with the
/// number of engines.
template<class Candidate>
std::vector<std::size_t> cheapestOfEachDataCentre(const std::vector<Candidate> &candidates, double maxCost)
{
    std::map<DataCentreName, std::size_t> cheapest;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].cost > maxCost) {
            continue;
        }
        const auto [it, isFirst] = cheapest.try_emplace(candidates[i].dataCentre(), i);
        if (!isFirst && candidates[i].cost < candidates[it->second].cost) {
            it->second = i;
        }
    }
    std::vector<std::size_t> indices;
    indices.reserve(cheapest.size());
    for (const auto &entry : cheapest) {
        indices.push_back(entry.second);
    }
    std::sort(indices.begin(), indices.end());
    return indices;
}

}
