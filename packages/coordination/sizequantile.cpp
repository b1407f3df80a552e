#include "coordination/sizequantile.h"

#include <algorithm>
#include <cmath>

namespace Apricot {

void SizeQuantile::add(std::int64_t size)
{
    const double octave = std::log2(static_cast<double>(std::max<std::int64_t>(size, 1)));
    const auto bucket = std::min(static_cast<std::size_t>(octave * bucketsPerOctave), bucketCount - 1);
    // Increases the weight of new samples instead of reducing every bucket. All weights are rescaled before they get too large.
    m_sampleWeight *= 1 + fading;
    m_buckets[bucket] += m_sampleWeight;
    m_total += m_sampleWeight;
    constexpr double scaleBackAt = 1e9;
    if (m_sampleWeight > scaleBackAt) {
        for (double &it : m_buckets) {
            it /= m_sampleWeight;
        }
        m_total /= m_sampleWeight;
        m_sampleWeight = 1;
    }
}

std::int64_t SizeQuantile::quantile(double share) const
{
    double seen = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        seen += m_buckets[i];
        if (m_total > 0 && seen >= share * m_total) {
            return static_cast<std::int64_t>(std::ceil(std::exp2(static_cast<double>(i + 1) / bucketsPerOctave)));
        }
    }
    return 0;
}

}
