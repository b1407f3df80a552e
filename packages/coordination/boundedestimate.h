#pragma once

#include <cstdint>

namespace Apricot {

/**
 * \class BoundedEstimate
 * \brief An exponentially smoothed estimate that stays within a factor of its initial value.
 *
 * The bound prevents a wrong sample, for example after a paused process or a clock step, from making an engine appear
 * idle or unusable.
 */
class BoundedEstimate
{
public:
    /// Maximum ratio between the estimate and its initial value, in both directions.
    static constexpr double maxFactor = 4.0;

    /// Weight of a new sample in the smoothed estimate.
    static constexpr double sampleWeight = 0.05;

    explicit BoundedEstimate(double initialEstimate = 1.0);

    void addSample(double sample);

    double estimate() const
    {
        return m_estimate;
    }

private:
    double m_initial;
    double m_estimate;
};

}
