#pragma once

#include <cstdint>
#include <vector>

namespace Apricot {

/// KV memory that one run holds on an engine, and how much more it will need.
struct MemoryUse
{
    std::int64_t heldTokens = 0;
    std::int64_t remainingTokens = 0; ///< further tokens until the run ends and releases all its memory

    friend auto operator<=>(const MemoryUse &, const MemoryUse &) = default;
};

/// Returns the peak memory of \a uses in tokens, if all runs generate tokens at the same rate.
std::int64_t peakMemory(std::vector<MemoryUse> uses);

/// Returns the expected length of an answer: the geometric mean of the caller's \a hint and the \a mean of such answers, or
/// \a mean alone without a hint; at most \a most. A \a hint of 0 is none.
std::int64_t estimateOutputTokens(std::int64_t hint, double mean, std::int64_t most);

/// Returns how many tokens a run with the expected length \a likely will still generate after \a made. A run near or beyond its
/// expected length is assumed to generate at least a fixed fraction of \a made more.
std::int64_t remainingTokens(std::int64_t likely, std::int64_t made);

}
