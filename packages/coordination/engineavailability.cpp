#include "coordination/engineavailability.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Time without a notice after which an engine that the store no longer lists has exited.
constexpr absl::Duration maxExitTime = absl::Minutes(10);

/// Longest back-off; an engine that asks for more is asked again after this time.
constexpr absl::Duration maxBackOff = absl::Minutes(1);

/// Time over which the callers that were refused during a back-off return: a minimum, and a part of the time that was left.
constexpr absl::Duration minRetrySpread = absl::Milliseconds(200);
constexpr double retrySpreadFraction = 0.5;

/// Time for which a prefill engine must still serve when a decode engine is told to fetch a KV cache from it.
constexpr absl::Duration maxFetchTime = absl::Milliseconds(300);

}

EngineNoticeResult EngineAvailability::record(const EngineNotice &notice, std::int64_t startedMs, absl::Time now)
{
    EngineNoticeResult result;
    m_updated = now;
    if (notice.isLeaving) {
        result.isNewlyLeaving = recordLeaving(startedMs, now);
    }
    if (notice.retryAfter) {
        result.backOffUntil = recordBackOff(*notice.retryAfter, now);
    }
    result.isFirstBadRetryAfter = recordBadRetryAfter(notice);
    return result;
}

bool EngineAvailability::recordLeaving(std::int64_t startedMs, absl::Time now)
{
    if (leavingSince(startedMs)) {
        return false;
    }
    m_leaving = LeavingLifetime{startedMs, now};
    return true;
}

std::optional<absl::Time> EngineAvailability::recordBackOff(absl::Duration retryAfter, absl::Time now)
{
    const absl::Time until = now + std::min(retryAfter, maxBackOff);
    // Of the requests that were sent at the same time, another one may have been refused for longer.
    if (until <= std::max(m_backOffUntil, now)) {
        return std::nullopt;
    }
    m_backOffUntil = until;
    return until;
}

bool EngineAvailability::recordBadRetryAfter(const EngineNotice &notice)
{
    const bool isBad = notice.hasUnusableRetryAfter || (notice.retryAfter && *notice.retryAfter > maxBackOff);
    return isBad && !std::exchange(m_hasSentBadRetryAfter, true);
}

std::optional<absl::Time> EngineAvailability::leavingSince(std::int64_t startedMs) const
{
    return m_leaving && startedMs <= m_leaving->startedMs ? std::optional(m_leaving->since) : std::nullopt;
}

bool EngineAvailability::isExpired(absl::Time now) const
{
    return now - m_updated >= maxExitTime;
}

absl::Duration retryAfterBackOff(absl::Duration timeLeft, double random)
{
    return timeLeft + (minRetrySpread + timeLeft * retrySpreadFraction) * random;
}

absl::Time usableUntil(absl::Time expiry, std::optional<absl::Time> leavingSince, absl::Duration drainTime)
{
    return leavingSince ? std::min(expiry, *leavingSince + drainTime - maxFetchTime) : expiry;
}

}
