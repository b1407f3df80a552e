#include "coordination/decayingrate.h"

#include <cmath>

namespace Apricot {

DecayingRate::DecayingRate(absl::Duration timeConstant)
    : m_timeConstantSeconds(absl::ToDoubleSeconds(timeConstant))
{
}

void DecayingRate::add(double amount, absl::Time now)
{
    m_sum = sum(now) + amount;
    m_updated = now;
}

double DecayingRate::sum(absl::Time now) const
{
    if (m_sum == 0 || now <= m_updated) {
        return m_sum;
    }
    return m_sum * std::exp(-absl::ToDoubleSeconds(now - m_updated) / m_timeConstantSeconds);
}

double DecayingRate::perSecond(absl::Time now) const
{
    return sum(now) / m_timeConstantSeconds;
}

}
