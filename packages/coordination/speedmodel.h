#pragma once

#include <cstdint>

namespace Apricot {

/**
 * \class SpeedModel
 * \brief A learnt figure that follows what is seen and stays within a factor of its first estimate.
 *
 * The bound keeps one wrong report (a paused process, a clock step) from making an engine look free or useless.
 */
class SpeedModel
{
public:
    /// Highest factor between the learnt figure and the first estimate, either way.
    static constexpr double maxFactor = 4.0;

    /// Weight of one new sample.
    static constexpr double sampleWeight = 0.05;

    explicit SpeedModel(double firstEstimate = 1.0);

    void learn(double sample);

    double estimate() const
    {
        return m_estimate;
    }

private:
    double m_first;
    double m_estimate;
};

}
