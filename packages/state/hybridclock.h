#pragma once

#include "state/mutex.h"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>

namespace Apricot {

/// Timestamp of a hybrid logical clock: microseconds since the epoch, and a counter that orders equal times.
struct HybridTimestamp
{
    std::int64_t micros = 0;
    std::uint32_t counter = 0;

    friend auto operator<=>(const HybridTimestamp &, const HybridTimestamp &) = default;
};

/**
 * \class HybridClock
 * \brief Produces timestamps that never decrease and that are later than every timestamp received from another process.
 */
class HybridClock
{
public:
    /// Returns the timestamp for an event of this process at wall-clock time \a now.
    HybridTimestamp next(absl::Time now);

    /// Advances the clock to a timestamp received from another process.
    void observe(HybridTimestamp seen);

private:
    Mutex m_mutex;
    HybridTimestamp m_last ABSL_GUARDED_BY(m_mutex);
};

}
