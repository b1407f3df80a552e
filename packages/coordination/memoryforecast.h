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
/// \a mean alone without a hint; at most \a maxTokens. A \a hint of 0 means no hint.
std::int64_t estimateOutputTokens(std::int64_t hint, double mean, std::int64_t maxTokens);

/// Returns how many more tokens a run will generate, from its \a expected length and the tokens \a generated so far. A run near
/// or beyond its expected length is assumed to generate at least a fixed fraction of \a generated more.
std::int64_t remainingTokens(std::int64_t expected, std::int64_t generated);

}
