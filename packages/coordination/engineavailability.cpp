#include "coordination/engineavailability.h"

#include <algorithm>

namespace Apricot {

namespace {

/// Time without a notice after which an engine that the store no longer lists has exited.
constexpr absl::Duration maxExitTime = absl::Minutes(10);

/// Time for which a prefill engine must still serve when a decode engine is told to fetch a KV cache from it.
constexpr absl::Duration maxFetchTime = absl::Milliseconds(300);

}

EngineNoticeResult EngineAvailability::record(const EngineNotice &notice, std::int64_t startedMs, absl::Time now)
{
    EngineNoticeResult result;
    if (notice.isLeaving) {
        m_updated = now;
        if (!leavingSince(startedMs)) {
            m_leaving = LeavingLifetime{startedMs, now};
            result.isNewlyLeaving = true;
        }
    }
    return result;
}

std::optional<absl::Time> EngineAvailability::leavingSince(std::int64_t startedMs) const
{
    return m_leaving && startedMs <= m_leaving->startedMs ? std::optional(m_leaving->since) : std::nullopt;
}

bool EngineAvailability::isExpired(absl::Time now) const
{
    return now - m_updated >= maxExitTime;
}

absl::Time usableUntil(absl::Time expiry, std::optional<absl::Time> leavingSince, absl::Duration drainTime)
{
    return leavingSince ? std::min(expiry, *leavingSince + drainTime - maxFetchTime) : expiry;
}

}
