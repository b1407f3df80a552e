#pragma once

#include <absl/time/time.h>

namespace Apricot {

/// How a try at an engine ended, as far as the engine's health goes.
enum class EngineResult {
    Good,
    Failed, ///< an error of its own, a spoilt answer or none
    Unreachable, ///< no connection could be made
    Refused, ///< it says that it is full or leaving
};

/**
 * \class EngineHealth
 * \brief What one node has seen of one engine lately: failures, and how long it takes for a unit of work.
 */
class EngineHealth
{
public:
    /// \a expectedCost is the first estimate of the time for a unit of work: a prompt token, or a whole call.
    explicit EngineHealth(absl::Duration expectedCost = absl::ZeroDuration());

    void note(EngineResult result, absl::Time now);

    /// Takes in that \a units of work took \a duration.
    void noteCost(double units, absl::Duration duration, absl::Time now);

    /// Estimated time for a unit of work. Without news it goes back to the first estimate, so that a slow engine is tried again.
    absl::Duration cost(absl::Time now) const;

    /// Part of the recent tries that failed, 0 to 1.
    double failureShare(absl::Time now) const;

    /// Whether the engine is passed over after failed connections or a refusal.
    bool isPassedOver(absl::Time now) const
    {
        return now < m_passedOverUntil;
    }

private:
    void decay(absl::Time now);

    absl::Duration m_expectedCost;
    absl::Duration m_cost;
    absl::Time m_costNoted = absl::InfinitePast();
    double m_good = 0;
    double m_bad = 0;
    absl::Time m_decayed = absl::UnixEpoch();
    absl::Duration m_passOver;
    absl::Time m_passedOverUntil = absl::InfinitePast();
};

}
