#pragma once

#include <absl/time/time.h>

#include <optional>

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
    void note(EngineResult result, absl::Time now);

    /// Takes in that \a units of work took \a duration.
    void noteCost(double units, absl::Duration duration, absl::Time now);

    /// Estimated time for a unit of work: a prompt token, or a whole call. Without news it goes back to what is \a expected of
    /// such engines, so that a slow one is tried again.
    absl::Duration cost(absl::Duration expected, absl::Time now) const;

    /// What was seen last; nothing if no cost was noted yet.
    std::optional<absl::Duration> seenCost() const;

    /// Part of the recent tries that failed, 0 to 1.
    double failureShare(absl::Time now) const;

    /// Whether the engine is passed over after failed connections, failures in a row or a refusal.
    bool isPassedOver(absl::Time now) const
    {
        return now < m_passedOverUntil || now < m_unreachableUntil;
    }

    /// Whether it is passed over because it cannot be reached or fails whatever it gets.
    bool isUnreachable(absl::Time now) const
    {
        return now < m_unreachableUntil;
    }

private:
    void decay(absl::Time now);
    void passOver(absl::Time now);

    absl::Duration m_cost;
    absl::Time m_costNoted = absl::InfinitePast();
    double m_good = 0;
    double m_bad = 0;
    absl::Time m_decayed = absl::UnixEpoch();
    absl::Duration m_passOver;
    absl::Time m_unreachableUntil = absl::InfinitePast();
    absl::Time m_passedOverUntil = absl::InfinitePast(); ///< after a refusal
    int m_failuresInRow = 0;
};

}
