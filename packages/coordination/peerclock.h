#pragma once

#include <absl/time/time.h>

namespace Apricot {

/**
 * \class PeerClock
 * \brief Translates the steady time of another node into this node's, from the words that come from it.
 *
 * The quickest word of the last seconds tells how the two clocks differ; what was held up on its way does not.
 */
class PeerClock
{
public:
    /// Takes in that a word was sent at \a sent, on the peer's steady clock, and came at \a received, on this node's.
    void heard(absl::Time sent, absl::Time received);

    /// When the peer's \a time is, on this node's steady clock.
    absl::Time toLocal(absl::Time time) const;

private:
    absl::Duration m_difference = absl::InfiniteDuration(); ///< least in the present window
    absl::Duration m_differenceBefore = absl::InfiniteDuration(); ///< least in the window before
    absl::Time m_windowBegan = absl::InfinitePast();
};

}
