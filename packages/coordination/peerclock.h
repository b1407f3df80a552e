#pragma once

#include <absl/time/time.h>

namespace Apricot {

/**
 * \class PeerClock
 * \brief Converts times on another node's steady clock to this node's, from the send times of its messages.
 *
 * The message with the shortest delay within the last seconds gives the offset of the clocks; delayed messages do not change it.
 */
class PeerClock
{
public:
    /// Records that a message was sent at \a sent, on the peer's steady clock, and arrived at \a received, on this node's.
    void addSample(absl::Time sent, absl::Time received);

    /// Returns the peer's \a time on this node's steady clock; InfiniteFuture before the first message.
    absl::Time toLocal(absl::Time time) const;

private:
    absl::Duration m_minOffset = absl::InfiniteDuration(); ///< minimum in the current window
    absl::Duration m_previousMinOffset = absl::InfiniteDuration(); ///< minimum in the previous window
    absl::Time m_windowStart = absl::InfinitePast();
};

}
