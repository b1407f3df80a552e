#include "coordination/endpointestimate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Apricot {

namespace {

/// Time constant of the estimate. A sample counts for the time since the one before, not as one of a number: a stall of half a second
/// then changes the estimate by about a tenth of its excess, however many calls it delays.
constexpr absl::Duration callTimeConstant = absl::Seconds(5);

/// Maximum weight of one sample after the first ones.
constexpr double maxSampleWeight = 0.3;

/// Call time that the duration of the first refusals is based on, before any call was answered.
constexpr absl::Duration initialCallTime = absl::Milliseconds(20);

/// Number of first samples of which the estimate is the plain mean.
constexpr int firstSamples = 5;

/// Factor to the estimate beyond which a sample is cut off.
constexpr double maxSampleFactor = 4;

/// Time without an attempt or an answer after which an endpoint gets a call for a trial.
constexpr absl::Duration trialInterval = absl::Seconds(5);

/// Weight of a refusal below the limit: the load is known only approximately. An acceptance above it proves that there was room.
constexpr double refusedWeight = 0.3;

/// Time in which the limit rises by one call while no refusal confirms it: it may have been learnt from wrong load data, or during a
/// disturbance.
constexpr absl::Duration limitGrowthInterval = absl::Seconds(1);

/// Rise after which a limit that no refusal has confirmed does not count any more, as a fraction of itself.
constexpr double maxLimitGrowth = 1.0;

/// Number of unfinished calls, as a fraction of the slots, from which on a refusal means that the endpoint is full.
constexpr double minFullFraction = 0.5;

/// Time for which an endpoint counts as full after a refusal, in times between two completions there; it doubles up to the maximum
/// while it accepts nothing.
constexpr double fullTimeInCompletions = 1;
constexpr absl::Duration minFullTime = absl::Milliseconds(2);
constexpr absl::Duration maxFullTime = absl::Milliseconds(160);

}

void EndpointEstimate::recordCallTime(absl::Duration duration, double requestsAhead, std::int64_t slots, absl::Time now)
{
    // Without a free slot, the call has waited until one became free.
    const auto slotCount = static_cast<double>(std::max<std::int64_t>(1, slots));
    const double queued = std::max(0.0, requestsAhead + 1 - slotCount);
    absl::Duration sample = duration / (1 + queued / slotCount);
    if (m_callTime) {
        sample = std::min(sample, *m_callTime * maxSampleFactor);
    }
    ++m_samples;
    const double timeWeight = 1 - std::exp(-absl::FDivDuration(std::max(now - m_lastSample, absl::ZeroDuration()), callTimeConstant));
    const double weight = m_samples <= firstSamples ? 1.0 / m_samples : std::min(timeWeight, maxSampleWeight);
    m_callTime = m_callTime ? *m_callTime + (sample - *m_callTime) * weight : sample;
    m_lastSample = now;
}

void EndpointEstimate::recordAccepted(double requestsAhead)
{
    m_refusalTime = absl::ZeroDuration();
    if (m_limit) {
        m_limit = std::max(*m_limit, requestsAhead + 1);
    }
}

void EndpointEstimate::recordRefused(double requestsAhead, std::int64_t slots, absl::Time now)
{
    // An endpoint with few calls refuses for another reason than their number.
    if (requestsAhead >= minFullFraction * static_cast<double>(slots)) {
        const double before = limit(slots, now);
        const double seen = std::max(requestsAhead, static_cast<double>(slots));
        m_limit = std::isinf(before) ? seen : before + refusedWeight * (std::min(seen, before) - before);
        m_lastRefusal = now;
    }
    if (now >= m_fullUntil) {
        const absl::Duration untilCompletion
            = m_callTime.value_or(initialCallTime) / static_cast<double>(std::max<std::int64_t>(1, slots)) * fullTimeInCompletions;
        m_refusalTime = std::clamp(std::max(m_refusalTime * 2, untilCompletion), minFullTime, maxFullTime);
        m_fullUntil = now + m_refusalTime;
    }
}

std::optional<absl::Duration> EndpointEstimate::callTime() const
{
    return m_callTime;
}

double EndpointEstimate::limit(std::int64_t slots, absl::Time now) const
{
    if (!m_limit) {
        return std::numeric_limits<double>::infinity();
    }
    const double growth = std::floor(absl::FDivDuration(std::max(now - m_lastRefusal, absl::ZeroDuration()), limitGrowthInterval));
    if (growth > maxLimitGrowth * *m_limit) {
        return std::numeric_limits<double>::infinity();
    }
    return std::max(*m_limit + growth, static_cast<double>(slots));
}

bool EndpointEstimate::isOutdated(absl::Time now) const
{
    return m_callTime && now - std::max(m_lastSample, m_lastAttempt) > trialInterval;
}

}
