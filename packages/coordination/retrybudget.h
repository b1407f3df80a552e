#pragma once

#include <absl/time/time.h>

namespace Apricot {

/**
 * \class RetryBudget
 * \brief A token bucket for retries that fills with successes, so that a failing pool is not flooded with retries.
 */
class RetryBudget
{
public:
    /// Retries earned by each success.
    static constexpr double retriesPerSuccess = 0.1;

    /// Retries earned per second regardless of successes.
    static constexpr double retriesPerSecond = 1.0;

    /// Maximum number of retries that can accumulate.
    static constexpr double maxBalance = 20.0;

    /// Adds the retries earned by a success.
    void recordSuccess();

    /// Spends one retry if one is available; returns whether it was.
    bool trySpend(absl::Time now);

private:
    double m_balance = maxBalance;
    absl::Time m_updated = absl::InfinitePast();
};

/// Returns the wait before retry number \a attempt (1 is the first). It doubles with each retry up to a maximum; \a random in
/// [0, 1) distributes it over the upper half of that value.
absl::Duration backoff(int attempt, double random);

}
