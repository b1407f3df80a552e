#include "coordination/boundedestimate.h"

#include <algorithm>

namespace Apricot {

BoundedEstimate::BoundedEstimate(double initialEstimate)
    : m_initial(initialEstimate)
    , m_estimate(initialEstimate)
{
}

void BoundedEstimate::addSample(double sample)
{
    const double bounded = std::clamp(sample, m_initial / maxFactor, m_initial * maxFactor);
    m_estimate += sampleWeight * (bounded - m_estimate);
}

}
