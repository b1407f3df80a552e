#include "coordination/memoryforecast.h"

#include <algorithm>
#include <cmath>

namespace Apricot {

namespace {

/// What a run is expected to make at least, as a part of what it has made.
constexpr double leastRemainingPart = 0.2;

}

std::int64_t peakMemory(std::vector<MemoryUse> uses)
{
    std::sort(uses.begin(), uses.end(),
              [](const MemoryUse &left, const MemoryUse &right) { return left.remainingTokens > right.remainingTokens; });
    std::int64_t peak = 0;
    std::int64_t held = 0;
    std::int64_t running = 0;
    for (const MemoryUse &use : uses) {
        // Just before this one ends, it and all that go on for longer have grown by what it had left.
        held += use.heldTokens;
        ++running;
        peak = std::max(peak, held + running * use.remainingTokens);
    }
    return peak;
}

std::int64_t likelyAnswerTokens(std::int64_t hint, double mean, std::int64_t most)
{
    if (hint <= 0) {
        return std::min(static_cast<std::int64_t>(mean), most);
    }
    // Estimates are off by factors, so the middle is taken between their logarithms.
    const double likely = std::sqrt(static_cast<double>(hint) * std::max(1.0, mean));
    return std::min(static_cast<std::int64_t>(likely), most);
}

std::int64_t remainingTokens(std::int64_t likely, std::int64_t made)
{
    return std::max(likely - made, static_cast<std::int64_t>(leastRemainingPart * static_cast<double>(made)));
}

}
