#include "coordination/retrybudget.h"

#include <algorithm>
#include <cmath>

namespace Apricot {

namespace {

constexpr absl::Duration initialBackoff = absl::Milliseconds(20);
constexpr absl::Duration maxBackoff = absl::Seconds(2);

}

void RetryBudget::recordSuccess()
{
    m_balance = std::min(m_balance + retriesPerSuccess, maxBalance);
}

bool RetryBudget::trySpend(absl::Time now)
{
    if (m_updated != absl::InfinitePast() && now > m_updated) {
        m_balance = std::min(m_balance + retriesPerSecond * absl::ToDoubleSeconds(now - m_updated), maxBalance);
    }
    m_updated = std::max(m_updated, now);
    if (m_balance < 1) {
        return false;
    }
    m_balance -= 1;
    return true;
}

absl::Duration backoff(int attempt, double random)
{
    const double doubled = std::exp2(std::clamp(attempt, 1, 20) - 1);
    const absl::Duration fullBackoff = std::min(initialBackoff * doubled, maxBackoff);
    return fullBackoff * (0.5 + 0.5 * random);
}

}
