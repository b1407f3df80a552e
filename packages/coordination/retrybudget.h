#pragma once

#include <absl/time/time.h>

namespace Apricot {

/**
 * \class RetryBudget
 * \brief Retries as a part of successes, so that a broken pool is not flooded with repeats.
 */
class RetryBudget
{
public:
    /// Retries earned by each success.
    static constexpr double perSuccess = 0.1;

    /// Retries a second that are always earned.
    static constexpr double perSecond = 1.0;

    /// Most retries that can be saved up.
    static constexpr double most = 20.0;

    void noteSuccess();

    /// Spends one retry if there is one; returns whether there was.
    bool trySpend(absl::Time now);

private:
    double m_saved = most;
    absl::Time m_updated = absl::InfinitePast();
};

/// Wait before retry number \a attempt (1 is the first): doubles each time, and \a random in [0, 1) spreads it over its upper half.
absl::Duration backoff(int attempt, double random);

}
