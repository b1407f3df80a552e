#pragma once

#include <absl/time/time.h>

namespace Apricot {

/**
 * \class DecayingRate
 * \brief An exponentially decaying sum. The sum divided by its time constant is a rate per second.
 */
class DecayingRate
{
public:
    explicit DecayingRate(absl::Duration timeConstant);

    /// Adds \a amount to the decayed sum.
    void add(double amount, absl::Time now);

    /// Returns the decayed sum at \a now.
    double sum(absl::Time now) const;

    /// Returns the decayed sum per second of the time constant.
    double perSecond(absl::Time now) const;

private:
    double m_timeConstantSeconds;
    double m_sum = 0;
    absl::Time m_updated = absl::InfinitePast();
};

}
