#include "coordination/peerclock.h"

#include <algorithm>

namespace Apricot {

namespace {

/// Long enough for a quick word among many, short enough to forget a clock that stood still with its VM.
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
