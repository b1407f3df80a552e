#include "coordination/retrybudget.h"

#include <algorithm>
#include <cmath>

namespace Apricot {

namespace {

constexpr absl::Duration firstBackoff = absl::Milliseconds(20);
constexpr absl::Duration longestBackoff = absl::Seconds(2);

}

void RetryBudget::noteSuccess()
{
    m_saved = std::min(m_saved + perSuccess, most);
}

bool RetryBudget::trySpend(absl::Time now)
{
    if (m_updated != absl::InfinitePast() && now > m_updated) {
        m_saved = std::min(m_saved + perSecond * absl::ToDoubleSeconds(now - m_updated), most);
    }
    m_updated = std::max(m_updated, now);
    if (m_saved < 1) {
        return false;
    }
    m_saved -= 1;
    return true;
}

absl::Duration backoff(int attempt, double random)
{
    const double doubled = std::exp2(std::clamp(attempt, 1, 20) - 1);
    const absl::Duration whole = std::min(firstBackoff * doubled, longestBackoff);
    return whole * (0.5 + 0.5 * random);
}

}
