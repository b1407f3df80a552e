#include "coordination/enginehealth.h"

#include <algorithm>
#include <cmath>

namespace Apricot {

namespace {

/// Time in which the weight of past results halves.
constexpr absl::Duration failureHalfLife = absl::Seconds(3);

/// Time in which the difference between a measured cost and the expected one halves.
constexpr absl::Duration costHalfLife = absl::Seconds(4);

/// Weight of the newest measurement in the cost estimate.
constexpr double newestCostWeight = 0.3;

/// Successful attempts that a new engine is credited with, so that a single failure does not dominate the failure fraction.
constexpr double initialSuccesses = 3;

/// Number of consecutive failures after which an engine is ejected like an unreachable one.
constexpr int failuresUntilEjection = 3;

/// Duration of the first ejection, which doubles up to the maximum until an attempt succeeds.
constexpr absl::Duration minEjectionTime = absl::Milliseconds(600);
constexpr absl::Duration maxEjectionTime = absl::Seconds(4);

/// Duration of the ejection after a refusal, which doubles up to the maximum while the engine accepts nothing: a full engine may have
/// capacity again after a few tokens, one that was unreachable may still be busy with the requests of before.
constexpr absl::Duration minRefusalEjectionTime = absl::Milliseconds(40);
constexpr absl::Duration maxRefusalEjectionTime = absl::Milliseconds(640);

/// A trial without a result ends after this time.
constexpr absl::Duration maxTrialTime = absl::Seconds(1);

double decayFactor(absl::Duration elapsed, absl::Duration halfLife)
{
    return std::exp2(-absl::FDivDuration(std::max(elapsed, absl::ZeroDuration()), halfLife));
}

}

void EngineHealth::decay(absl::Time now)
{
    const double factor = decayFactor(now - m_decayed, failureHalfLife);
    m_successes *= factor;
    m_failures *= factor;
    m_decayed = now;
}

void EngineHealth::eject(absl::Time now)
{
    m_ejectionTime = std::clamp(m_ejectionTime * 2, minEjectionTime, maxEjectionTime);
    m_unreachableUntil = now + m_ejectionTime;
}

void EngineHealth::recordAttempt(absl::Time now)
{
    if (m_ejectionTime > absl::ZeroDuration()) {
        m_trialUntil = now + maxTrialTime;
    }
}

void EngineHealth::recordAccepted()
{
    m_ejectionTime = absl::ZeroDuration();
    m_refusalEjectionTime = absl::ZeroDuration();
    m_ejectedUntil = absl::InfinitePast();
    m_unreachableUntil = absl::InfinitePast();
    m_trialUntil = absl::InfinitePast();
}

void EngineHealth::recordResult(EngineResult result, absl::Time now)
{
    decay(now);
    m_trialUntil = absl::InfinitePast();
    switch (result) {
    case EngineResult::Succeeded:
        m_successes += 1;
        m_consecutiveFailures = 0;
        recordAccepted();
        break;
    case EngineResult::Failed:
        m_failures += 1;
        if (++m_consecutiveFailures >= failuresUntilEjection) {
            eject(now);
        }
        break;
    case EngineResult::Unreachable:
        m_failures += 1;
        eject(now);
        break;
    case EngineResult::Refused:
        // Calls that were sent at the same time are refused at the same time.
        if (now >= m_ejectedUntil) {
            m_refusalEjectionTime = std::clamp(m_refusalEjectionTime * 2, minRefusalEjectionTime, maxRefusalEjectionTime);
            m_ejectedUntil = now + m_refusalEjectionTime;
        }
        break;
    }
}

bool EngineHealth::isRefusing() const
{
    return m_refusalEjectionTime > minRefusalEjectionTime;
}

void EngineHealth::recordCost(double units, absl::Duration duration, absl::Time now)
{
    if (units <= 0) {
        return;
    }
    const absl::Duration measured = duration / units;
    m_cost = m_costUpdated == absl::InfinitePast() ? measured : m_cost * (1 - newestCostWeight) + measured * newestCostWeight;
    m_costUpdated = now;
}

absl::Duration EngineHealth::cost(absl::Duration expected, absl::Time now) const
{
    if (m_costUpdated == absl::InfinitePast()) {
        return expected;
    }
    return expected + (m_cost - expected) * decayFactor(now - m_costUpdated, costHalfLife);
}

std::optional<absl::Duration> EngineHealth::observedCost() const
{
    return m_costUpdated == absl::InfinitePast() ? std::nullopt : std::optional(m_cost);
}

double EngineHealth::failureFraction(absl::Time now) const
{
    const double factor = decayFactor(now - m_decayed, failureHalfLife);
    return m_failures * factor / (m_successes * factor + m_failures * factor + initialSuccesses);
}

}
