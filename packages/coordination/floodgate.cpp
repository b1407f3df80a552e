#include "coordination/floodgate.h"

#include <algorithm>

namespace Apricot {

namespace {

/// Capacity of a bucket, as seconds of its rate.
constexpr double burstSeconds = 0.5;

/// A coordinator may send at least this many requests at once.
constexpr double minBurst = 2;
/// Factor on a coordinator's even part of the limit, because arrivals are not spread evenly over the coordinators.
constexpr double unevennessFactor = 2;

}

void FloodGate::update(const std::vector<RankLimit> &limits, std::size_t nodes, absl::Time now)
{
    for (const RankLimit &limit : limits) {
        Gate &gate = m_gates[limit.rank];
        if (limit.overloaded && !gate.overloaded) {
            gate.tokens = minBurst;
            gate.updated = now;
        }
        gate.overloaded = limit.overloaded;
        gate.perSecond = limit.requestsPerSecond * unevennessFactor / static_cast<double>(std::max<std::size_t>(nodes, 1));
        gate.heard = now;
    }
}

bool FloodGate::admits(const RankName &rank, absl::Time now)
{
    const auto it = m_gates.find(rank);
    if (it == m_gates.end() || !it->second.overloaded || now - it->second.heard > validity) {
        return true;
    }
    Gate &gate = it->second;
    const double earned = gate.perSecond * absl::ToDoubleSeconds(std::max(now - gate.updated, absl::ZeroDuration()));
    gate.tokens = std::min(gate.tokens + earned, std::max(gate.perSecond * burstSeconds, minBurst));
    gate.updated = now;
    if (gate.tokens < 1) {
        return false;
    }
    gate.tokens -= 1;
    return true;
}

}
