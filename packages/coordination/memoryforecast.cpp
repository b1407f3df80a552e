#include "coordination/memoryforecast.h"

#include <algorithm>
#include <cmath>

namespace Apricot {

namespace {

/// Minimum number of remaining tokens of a run, as a fraction of the tokens that it has generated.
constexpr double minRemainingFraction = 0.2;

}

std::int64_t peakMemory(std::vector<MemoryUse> uses)
{
    std::sort(uses.begin(), uses.end(),
              [](const MemoryUse &left, const MemoryUse &right) { return left.remainingTokens > right.remainingTokens; });
    std::int64_t peak = 0;
    std::int64_t held = 0;
    std::int64_t running = 0;
    for (const MemoryUse &use : uses) {
        // Just before this run ends, it and all runs that last longer have each grown by its remaining tokens.
        held += use.heldTokens;
        ++running;
        peak = std::max(peak, held + running * use.remainingTokens);
    }
    return peak;
}

std::int64_t estimateOutputTokens(std::int64_t hint, double mean, std::int64_t maxTokens)
{
    if (hint <= 0) {
        return std::min(static_cast<std::int64_t>(mean), maxTokens);
    }
    // Both estimates are usually wrong by a factor rather than a difference, hence the geometric mean.
    const double expected = std::sqrt(static_cast<double>(hint) * std::max(1.0, mean));
    return std::min(static_cast<std::int64_t>(expected), maxTokens);
}

std::int64_t remainingTokens(std::int64_t expected, std::int64_t generated)
{
    return std::max(expected - generated, static_cast<std::int64_t>(minRemainingFraction * static_cast<double>(generated)));
}

}
