#pragma once

#include <absl/time/time.h>

namespace Apricot {

/**
 * \class UnknownLoad
 * \brief Memory of an engine that is used by calls this node does not know of, as learned from what the engine refuses and accepts.
 *
 * Nodes that cannot reach each other place on the same engines, and an engine that was unreachable may still hold runs of before. What
 * was learned fades, as such calls end.
 */
class UnknownLoad
{
public:
    /// Records that the engine had no room although the load that is known left \a freeTokens.
    void recordRefused(double freeTokens, absl::Time now);

    /// Records that the engine had room for a load that left \a freeTokens.
    void recordAccepted(double freeTokens, absl::Time now);

    /// Returns the estimated memory use, in tokens.
    double tokens(absl::Time now) const;

private:
    void set(double tokens, absl::Time now);

    double m_tokens = 0;
    absl::Time m_updated = absl::InfinitePast();
};

}
