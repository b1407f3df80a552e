#include "coordination/peerclock.h"

#include <algorithm>

namespace Apricot {

namespace {

/// Length of a measuring window: long enough to contain a message with a short delay, short enough to adapt when the peer's
/// clock stopped because its VM was paused.
constexpr absl::Duration window = absl::Seconds(3);

}

void PeerClock::addSample(absl::Time sent, absl::Time received)
{
    if (received - m_windowStart > window) {
        const bool isNextWindow = received - m_windowStart <= 2 * window;
        m_previousMinOffset = isNextWindow ? m_minOffset : absl::InfiniteDuration();
        m_minOffset = absl::InfiniteDuration();
        m_windowStart = received;
    }
    m_minOffset = std::min(m_minOffset, received - sent);
}

absl::Time PeerClock::toLocal(absl::Time time) const
{
    return time + std::min(m_minOffset, m_previousMinOffset);
}

}
