#pragma once

#include <absl/time/time.h>

#include <optional>

namespace Apricot {

/// The result of an attempt at an engine, as it counts for the engine's health.
enum class EngineResult {
    Succeeded,
    Failed, ///< the engine answered with an error, or sent no usable answer
    Unreachable, ///< no connection could be established
    Refused, ///< the engine declined because it is full or leaving
};

/**
 * \class EngineHealth
 * \brief Recent failures of one engine and its time for a unit of work, as one node observes them.
 */
class EngineHealth
{
public:
    /// Records the result of an attempt at the engine.
    void recordResult(EngineResult result, absl::Time now);

    /// Records that an attempt at the engine begins. After an ejection, it is a trial: until its result, the engine stays ejected for
    /// all other calls.
    void recordAttempt(absl::Time now);

    /// Records that the engine has accepted a call.
    void recordAccepted();

    /// Records that \a units of work took \a duration.
    void recordCost(double units, absl::Duration duration, absl::Time now);

    /// Returns the estimated time for a unit of work: a prompt token, or a whole call. Without new measurements the estimate
    /// returns to \a expected, the value for such engines, so that a slow engine is used again.
    absl::Duration cost(absl::Duration expected, absl::Time now) const;

    /// Returns the estimate as of the last measurement, which does not return to the expected value; nothing before any measurement.
    std::optional<absl::Duration> observedCost() const;

    /// Returns the fraction of the recent attempts that failed, 0 to 1.
    double failureFraction(absl::Time now) const;

    /// Whether the engine is ejected after failed connections, consecutive failures or a refusal, or because a trial is in progress.
    bool isEjected(absl::Time now) const
    {
        return now < m_ejectedUntil || now < m_unreachableUntil || now < m_trialUntil;
    }

    /// Whether the engine has refused calls repeatedly and accepted none since.
    bool isRefusing() const;

    /// Whether the engine is ejected because no connection can be established or because of consecutive failures.
    bool isUnreachable(absl::Time now) const
    {
        return now < m_unreachableUntil;
    }

private:
    void decay(absl::Time now);
    void eject(absl::Time now);

    absl::Duration m_cost;
    absl::Time m_costUpdated = absl::InfinitePast();
    double m_successes = 0;
    double m_failures = 0;
    absl::Time m_decayed = absl::UnixEpoch();
    absl::Duration m_ejectionTime;
    absl::Duration m_refusalEjectionTime;
    absl::Time m_unreachableUntil = absl::InfinitePast();
    absl::Time m_ejectedUntil = absl::InfinitePast(); ///< end of the ejection after a refusal
    absl::Time m_trialUntil = absl::InfinitePast(); ///< latest end of the trial in progress
    int m_consecutiveFailures = 0;
};

}
