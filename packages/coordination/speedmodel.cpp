#include "coordination/speedmodel.h"

#include <algorithm>

namespace Apricot {

SpeedModel::SpeedModel(double firstEstimate)
    : m_first(firstEstimate)
    , m_estimate(firstEstimate)
{
}

void SpeedModel::learn(double sample)
{
    const double bounded = std::clamp(sample, m_first / maxFactor, m_first * maxFactor);
    m_estimate += sampleWeight * (bounded - m_estimate);
}

}
