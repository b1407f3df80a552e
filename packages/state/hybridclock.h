#pragma once

#include "state/mutex.h"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>

namespace Apricot {

/// A hybrid logical clock stamp: microseconds since the epoch, then a counter that orders equal times.
struct HybridStamp
{
    std::int64_t micros = 0;
    std::uint32_t counter = 0;

    friend auto operator<=>(const HybridStamp &, const HybridStamp &) = default;
};

/**
 * \class HybridClock
 * \brief Gives stamps that never go back and that follow every stamp seen from another process.
 */
class HybridClock
{
public:
    /// Returns the next stamp for an event of this process at \a now.
    HybridStamp next(absl::Time now);

    /// Takes note of a stamp that came with a message.
    void observe(HybridStamp seen);

private:
    Mutex m_mutex;
    HybridStamp m_last ABSL_GUARDED_BY(m_mutex);
};

}
