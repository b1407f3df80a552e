#include "coordination/unknownload.h"

#include <algorithm>
#include <cmath>

namespace Apricot {

namespace {

/// Time in which an estimate halves: about the length of an answer.
constexpr absl::Duration halfLife = absl::Seconds(4);

}

void UnknownLoad::set(double tokens, absl::Time now)
{
    m_tokens = tokens;
    m_updated = now;
}

void UnknownLoad::recordRefused(double freeTokens, absl::Time now)
{
    set(std::max(tokens(now), freeTokens), now);
}

void UnknownLoad::recordAccepted(double freeTokens, absl::Time now)
{
    set(std::min(tokens(now), std::max(0.0, freeTokens)), now);
}

double UnknownLoad::tokens(absl::Time now) const
{
    return m_updated == absl::InfinitePast() ? 0 : m_tokens * std::exp2(-absl::FDivDuration(now - m_updated, halfLife));
}

}
