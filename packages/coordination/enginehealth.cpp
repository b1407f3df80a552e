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
constexpr double creditedGood = 3;

/// Number of consecutive failures after which an engine is ejected like an unreachable one.
constexpr int failuresUntilPassOver = 3;

constexpr absl::Duration firstPassOver = absl::Milliseconds(600);
constexpr absl::Duration longestPassOver = absl::Seconds(4);

/// A full engine may have room again after a few tokens.
constexpr absl::Duration passOverAfterRefusal = absl::Milliseconds(40);

double halvings(absl::Duration passed, absl::Duration halfLife)
{
    return std::exp2(-absl::FDivDuration(std::max(passed, absl::ZeroDuration()), halfLife));
}

}

void EngineHealth::decay(absl::Time now)
{
    const double left = halvings(now - m_decayed, failureHalfLife);
    m_good *= left;
    m_bad *= left;
    m_decayed = now;
}

void EngineHealth::passOver(absl::Time now)
{
    m_passOver = std::clamp(m_passOver * 2, firstPassOver, longestPassOver);
    m_unreachableUntil = now + m_passOver;
}

void EngineHealth::note(EngineResult result, absl::Time now)
{
    decay(now);
    switch (result) {
    case EngineResult::Good:
        m_good += 1;
        m_failuresInRow = 0;
        m_passOver = absl::ZeroDuration();
        m_passedOverUntil = absl::InfinitePast();
        m_unreachableUntil = absl::InfinitePast();
        break;
    case EngineResult::Failed:
        m_bad += 1;
        if (++m_failuresInRow >= failuresUntilPassOver) {
            passOver(now);
        }
        break;
    case EngineResult::Unreachable:
        m_bad += 1;
        passOver(now);
        break;
    case EngineResult::Refused:
        m_passedOverUntil = std::max(m_passedOverUntil, now + passOverAfterRefusal);
        break;
    }
}

void EngineHealth::recordCost(double units, absl::Duration duration, absl::Time now)
{
    if (units <= 0) {
        return;
    }
    const absl::Duration seen = duration / units;
    m_cost = m_costNoted == absl::InfinitePast() ? seen : m_cost * (1 - newestCostWeight) + seen * newestCostWeight;
    m_costNoted = now;
}

absl::Duration EngineHealth::cost(absl::Duration expected, absl::Time now) const
{
    if (m_costNoted == absl::InfinitePast()) {
        return expected;
    }
    return expected + (m_cost - expected) * halvings(now - m_costNoted, costHalfLife);
}

std::optional<absl::Duration> EngineHealth::seenCost() const
{
    return m_costNoted == absl::InfinitePast() ? std::nullopt : std::optional(m_cost);
}

double EngineHealth::failureFraction(absl::Time now) const
{
    const double left = halvings(now - m_decayed, failureHalfLife);
    return m_bad * left / (m_good * left + m_bad * left + creditedGood);
}

}
