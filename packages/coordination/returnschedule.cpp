#include "coordination/returnschedule.h"

#include <algorithm>
#include <set>

namespace Apricot {

namespace {

/// Shortest return where no backlog is known, and the range of its random part. Earlier returns meet the same burst.
constexpr absl::Duration overloadRetryAfter = absl::Milliseconds(2500);
constexpr absl::Duration overloadRetryAfterJitter = absl::Milliseconds(1800);

/// Latest return. Callers honour a Retry-After up to a third of their remaining time.
constexpr absl::Duration maxRetryAfter = absl::Milliseconds(4400);
constexpr double honouredFraction = 1.0 / 3;

/// Random part of the latest return: calls of a long backlog do not return at the same moment.
constexpr double maxRetryAfterJitter = 0.1;

}

absl::Duration ReturnSchedule::add(const RefusedCall &call, double placedPerSecond, absl::Duration timeLeft, double random, absl::Time now)
{
    std::erase_if(m_returns, [&](const Return &it) { return it.at <= now; });
    const absl::Duration usual = overloadRetryAfter + overloadRetryAfterJitter * random;
    const absl::Duration honoured = timeLeft * honouredFraction;
    absl::Duration latest = maxRetryAfter;
    if (honoured >= overloadRetryAfter) {
        latest = std::min(latest, honoured);
    }
    latest *= 1 - maxRetryAfterJitter * (1 - random);
    const absl::Duration backlog = expectedBacklog(call, placedPerSecond);
    const absl::Duration retryAfter = std::min(std::max(usual, backlog), latest);
    m_returns.push_back(Return{call, now + retryAfter});
    return retryAfter;
}

absl::Duration ReturnSchedule::expectedBacklog(const RefusedCall &call, double placedPerSecond) const
{
    if (placedPerSecond <= 0) {
        return absl::ZeroDuration();
    }
    double ahead = 1;
    std::set<WorkspaceTag> sharers{call.workspace};
    for (const Return &it : m_returns) {
        ahead += it.call.rank < call.rank || it.call == call ? 1 : 0;
        if (it.call.rank == call.rank) {
            sharers.insert(it.call.workspace);
        }
    }
    return absl::Seconds(ahead * static_cast<double>(sharers.size()) / placedPerSecond);
}

}
