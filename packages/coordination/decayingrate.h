#pragma once

#include <absl/time/time.h>

namespace Apricot {

/**
 * \class DecayingRate
 * \brief A sum that fades with a time constant; sum divided by the constant is a rate per second.
 */
class DecayingRate
{
public:
    explicit DecayingRate(absl::Duration timeConstant);

    void add(double amount, absl::Time now);

    /// The faded sum at \a now.
    double sum(absl::Time now) const;

    /// The faded sum per second of the time constant.
    double perSecond(absl::Time now) const;

private:
    double m_timeConstantSeconds;
    double m_sum = 0;
    absl::Time m_updated = absl::InfinitePast();
};

}
