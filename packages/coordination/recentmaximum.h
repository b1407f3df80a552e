#pragma once

#include <absl/time/time.h>

#include <algorithm>

namespace Apricot {

/**
 * \class RecentMaximum
 * \brief The longest duration of the last one to two windows. A single unusual value is forgotten after that.
 */
class RecentMaximum
{
public:
    static constexpr absl::Duration window = absl::Seconds(20);

    /// Records \a value at \a now, and returns the maximum with it.
    absl::Duration record(absl::Duration value, absl::Time now)
    {
        if (now - m_windowStart >= 2 * window) {
            m_previous = absl::ZeroDuration();
            m_current = absl::ZeroDuration();
            m_windowStart = now;
        } else if (now - m_windowStart >= window) {
            m_previous = m_current;
            m_current = absl::ZeroDuration();
            m_windowStart += window;
        }
        m_current = std::max(m_current, value);
        return std::max(m_current, m_previous);
    }

private:
    absl::Duration m_current; ///< maximum of the current window
    absl::Duration m_previous; ///< maximum of the window before
    absl::Time m_windowStart = absl::InfinitePast();
};

}
