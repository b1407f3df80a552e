#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace Apricot {

/**
 * \class SizeQuantile
 * \brief A fading histogram of sizes in steps of a quarter octave, for a high quantile.
 */
class SizeQuantile
{
public:
    void add(std::int64_t size);

    /// Returns an upper bound of the size below which \a share of the samples lie; 0 without samples.
    std::int64_t quantile(double share) const;

private:
    static constexpr std::size_t bucketCount = 80;
    static constexpr double bucketsPerOctave = 4.0;

    /// Each sample takes this part off the older ones, so about 2,000 samples count.
    static constexpr double fading = 0.0005;

    std::array<double, bucketCount> m_buckets{};
    double m_total = 0;
    double m_sampleWeight = 1;
};

}
