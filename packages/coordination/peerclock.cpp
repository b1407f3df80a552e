#include "coordination/peerclock.h"

#include <algorithm>

namespace Apricot {

namespace {

/// Length of a measuring window: long enough to contain a message with a short delay, short enough to adapt when the peer's
/// clock stood still because its VM was paused.
constexpr absl::Duration window = absl::Seconds(3);

}

void PeerClock::heard(absl::Time sent, absl::Time received)
{
    if (received - m_windowBegan > window) {
        const bool isNextWindow = received - m_windowBegan <= 2 * window;
        m_differenceBefore = isNextWindow ? m_difference : absl::InfiniteDuration();
        m_difference = absl::InfiniteDuration();
        m_windowBegan = received;
    }
    m_difference = std::min(m_difference, received - sent);
}

absl::Time PeerClock::toLocal(absl::Time time) const
{
    return time + std::min(m_difference, m_differenceBefore);
}

}
