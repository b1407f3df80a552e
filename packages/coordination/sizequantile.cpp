#include "coordination/sizequantile.h"

#include <algorithm>
#include <cmath>

namespace Apricot {

void SizeQuantile::add(std::int64_t size)
{
    const double octave = std::log2(static_cast<double>(std::max<std::int64_t>(size, 1)));
    const auto bucket = std::min(static_cast<std::size_t>(octave * bucketsPerOctave), bucketCount - 1);
    // Increases the weight of new samples instead of reducing every bucket. All weights are rescaled before they get too large.
    m_sampleWeight *= 1 + decayPerSample;
    m_buckets[bucket] += m_sampleWeight;
    m_total += m_sampleWeight;
    constexpr double rescaleThreshold = 1e9;
    if (m_sampleWeight > rescaleThreshold) {
        for (double &it : m_buckets) {
            it /= m_sampleWeight;
        }
        m_total /= m_sampleWeight;
        m_sampleWeight = 1;
    }
}

std::int64_t SizeQuantile::quantile(double fraction) const
{
    double cumulative = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        cumulative += m_buckets[i];
        if (m_total > 0 && cumulative >= fraction * m_total) {
            return static_cast<std::int64_t>(std::ceil(std::exp2(static_cast<double>(i + 1) / bucketsPerOctave)));
        }
    }
    return 0;
}

}
