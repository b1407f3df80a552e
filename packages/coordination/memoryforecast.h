#pragma once

#include <cstdint>
#include <vector>

namespace Apricot {

/// What one run holds of an engine's memory, and how much more it will take.
struct MemoryUse
{
    std::int64_t heldTokens = 0;
    std::int64_t remainingTokens = 0; ///< until it ends and frees all

    friend auto operator<=>(const MemoryUse &, const MemoryUse &) = default;
};

/// Most memory that \a uses will hold at once, if all runs make tokens at the same pace.
std::int64_t peakMemory(std::vector<MemoryUse> uses);

/// Expected length of an answer: between the caller's \a hint and the \a mean of such answers, at most \a most; 0 is unknown.
std::int64_t likelyAnswerTokens(std::int64_t hint, double mean, std::int64_t most);

/// Tokens that a run with an expected length will still make after \a made: one that is longer than expected goes on for a while.
std::int64_t remainingTokens(std::int64_t likely, std::int64_t made);

}
