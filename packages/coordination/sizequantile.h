#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace Apricot {

/**
 * \class SizeQuantile
 * \brief Estimates quantiles of sizes with a decaying histogram whose buckets are a quarter octave wide.
 */
class SizeQuantile
{
public:
    void add(std::int64_t size);

    /// Returns an upper bound of the quantile \a fraction, 0 to 1, of the samples; 0 without samples.
    std::int64_t quantile(double fraction) const;

private:
    static constexpr std::size_t bucketCount = 80;
    static constexpr double bucketsPerOctave = 4.0;

    /// Each sample reduces the weight of the older ones by this fraction, so about 2,000 samples are effective.
    static constexpr double decayPerSample = 0.0005;

    std::array<double, bucketCount> m_buckets{};
    double m_total = 0;
    double m_sampleWeight = 1;
};

}
