#include "state/hybridclock.h"

#include <algorithm>

namespace Apricot {

HybridTimestamp HybridClock::next(absl::Time now)
{
    const MutexLock lock(m_mutex);
    const HybridTimestamp wall{absl::ToUnixMicros(now), 0};
    m_last = wall > m_last ? wall : HybridTimestamp{m_last.micros, m_last.counter + 1};
    return m_last;
}

void HybridClock::observe(HybridTimestamp seen)
{
    const MutexLock lock(m_mutex);
    m_last = std::max(m_last, seen);
}

}
