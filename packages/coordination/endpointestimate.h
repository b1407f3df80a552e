#pragma once

#include "coordination/decayingrate.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace Apricot {

/**
 * \class EndpointEstimate
 * \brief What one node has learnt about a plain endpoint from its own calls: the duration of a call, and how many calls it accepts.
 */
class EndpointEstimate
{
public:
    /// Records how long a call took, before which \a requestsAhead calls were known to be unfinished at the endpoint.
    void recordCallTime(absl::Duration duration, double requestsAhead, std::int64_t slots, absl::Time now);

    /// Records that the endpoint has accepted a call before which \a requestsAhead calls were known to be unfinished there.
    void recordAccepted(double requestsAhead);

    /// Records that the endpoint has refused a call because it was full.
    void recordRefused(double requestsAhead, std::int64_t slots, absl::Time now);

    /// Returns the expected duration of a call that gets a slot at once; nothing before the first answer. It does not return to a
    /// common value: endpoints of one service differ in speed.
    std::optional<absl::Duration> callTime() const;

    /// Returns the number of unfinished calls at which the endpoint probably refuses another one; infinite before the first refusal.
    double limit(std::int64_t slots, absl::Time now) const;

    /// Whether the endpoint has just refused a call, so that another one would probably be refused as well.
    bool isFull(absl::Time now) const
    {
        return now < m_fullUntil;
    }

    /// Returns until when the endpoint counts as full after a refusal.
    absl::Time fullUntil() const
    {
        return m_fullUntil;
    }

    /// Whether nothing has been learnt for so long that the endpoint should get a call for a trial.
    bool isOutdated(absl::Time now) const;

    /// Records that a call is sent to the endpoint.
    void recordAttempt(absl::Time now)
    {
        m_lastAttempt = now;
        m_placed.add(1, now);
    }

    /// Returns the decaying number of calls that this node has recently sent to the endpoint.
    double recentlyPlaced(absl::Time now) const
    {
        return m_placed.sum(now);
    }

private:
    /// Time constant of the number of recently placed calls: long enough for a meaningful share, short enough to follow a change of load.
    static constexpr absl::Duration placedTimeConstant = absl::Milliseconds(500);

    DecayingRate m_placed{placedTimeConstant};
    std::optional<absl::Duration> m_callTime;
    int m_samples = 0;
    absl::Time m_lastSample = absl::InfinitePast();
    absl::Time m_lastAttempt = absl::InfinitePast();
    std::optional<double> m_limit;
    absl::Time m_lastRefusal = absl::InfinitePast();
    absl::Time m_fullUntil = absl::InfinitePast();
    absl::Duration m_refusalTime;
};

}
