#include "coordination/activenodes.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace Apricot {

namespace {

/// How long a peak of the rate counts.
constexpr absl::Duration peakHoldTime = absl::Seconds(10);

/// Processor time to assume for a node that does not announce it, ms per second.
constexpr std::int64_t defaultProcessorMillis = 1000;

std::int64_t processorMillis(const Member &node)
{
    return node->processorMillis > 0 ? node->processorMillis : defaultProcessorMillis;
}

std::map<DataCentreName, std::vector<Member>> byDataCentre(const std::vector<Member> &candidates)
{
    std::map<DataCentreName, std::vector<Member>> groups;
    for (const Member &node : candidates) {
        groups[node->dataCentre].push_back(node);
    }
    for (auto &[name, nodes] : groups) {
        std::sort(nodes.begin(), nodes.end(), [](const Member &left, const Member &right) {
            return std::tuple(-processorMillis(left), left->id) < std::tuple(-processorMillis(right), right->id);
        });
    }
    return groups;
}

}

std::vector<Member> chooseActiveNodes(const std::vector<Member> &candidates, double callsPerSecond, const ActiveNodeRules &rules)
{
    if (candidates.size() <= rules.smallDeployment) {
        return candidates;
    }
    const std::map<DataCentreName, std::vector<Member>> groups = byDataCentre(candidates);
    const double neededMillis = callsPerSecond * rules.processorMsPerCall;
    std::int64_t smallest = std::numeric_limits<std::int64_t>::max();
    std::vector<Member> chosen;
    for (std::size_t round = 0; chosen.size() < candidates.size(); ++round) {
        for (const auto &[name, nodes] : groups) {
            if (round < nodes.size()) {
                chosen.push_back(nodes[round]);
                smallest = std::min(smallest, processorMillis(nodes[round]));
            }
        }
        // Whole rounds only, so that no data centre has fewer nodes than another one while it has spare nodes.
        const double carriedMillis = static_cast<double>(chosen.size()) * static_cast<double>(smallest);
        if (chosen.size() >= rules.minCount && carriedMillis >= neededMillis) {
            break;
        }
    }
    return chosen;
}

void PeakRate::record(double perSecond, absl::Time now)
{
    m_latest = perSecond;
    if (perSecond >= current(now)) {
        m_peak = perSecond;
        m_peakAt = now;
    }
}

double PeakRate::current(absl::Time now) const
{
    return now - m_peakAt <= peakHoldTime ? m_peak : m_latest;
}

}
