#pragma once

#include "state/member.h"

#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace Apricot {

/// How many nodes take calls.
struct ActiveNodeRules
{
    std::size_t minCount = 6; ///< at least this many, if there are as many
    std::size_t smallDeployment = 12; ///< with at most this many nodes, all are active
    double processorMsPerCall = 4; ///< processor time to provide for each call, with room for bursts, ms
};

/// Chooses the nodes that callers are directed to, from the nodes that could serve them. Only these nodes take calls, so only they
/// exchange what they have placed on engines and watch the store: the cost of both depends on the load, not on the number of nodes.
///
/// The nodes are spread over the data centres; in each, those with the most processor time come first. Callers choose among the active
/// nodes at random, so each gets the same share of the calls, and the smallest one limits them all: small nodes are added to large ones
/// only if there are enough of them. Every node that knows the same candidates and the same load chooses the same nodes.
std::vector<Member> chooseActiveNodes(const std::vector<Member> &candidates, double callsPerSecond, const ActiveNodeRules &rules = {});

/**
 * \class PeakRate
 * \brief The highest rate of the recent past. It rises at once and falls slowly, so that nodes are not exchanged in short pauses.
 */
class PeakRate
{
public:
    /// Records the rate at \a now, per second.
    void record(double perSecond, absl::Time now);

    /// Returns the highest rate that was recorded within the last holding time, or the latest one.
    double current(absl::Time now) const;

private:
    double m_peak = 0;
    double m_latest = 0;
    absl::Time m_peakAt = absl::InfinitePast();
};

}
