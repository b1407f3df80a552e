#include "state/hybridclock.h"

#include <algorithm>

namespace Apricot {

HybridStamp HybridClock::next(absl::Time now)
{
    const MutexLock lock(m_mutex);
    const HybridStamp wall{absl::ToUnixMicros(now), 0};
    m_last = wall > m_last ? wall : HybridStamp{m_last.micros, m_last.counter + 1};
    return m_last;
}

void HybridClock::observe(HybridStamp seen)
{
    const MutexLock lock(m_mutex);
    m_last = std::max(m_last, seen);
}

}
