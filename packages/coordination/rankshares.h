#pragma once

#include "coordination/decayingrate.h"
#include "state/configobjects.h"

#include <absl/container/inlined_vector.h>

#include <cstddef>
#include <vector>

namespace Apricot {

/// Ranks by index, first the one that is served first.
using RankOrder = absl::InlinedVector<std::size_t, 8>;

/**
 * \class RankShares
 * \brief Says which rank is served next: the most urgent one, unless another is below its floor share.
 *
 * Ranks are named by their index in order of urgency. Shares are parts of the engine time given out in the last seconds.
 */
class RankShares
{
public:
    /// Ranks in any order; they are sorted by priority. \a useFloors false serves by urgency alone.
    RankShares(std::vector<Rank> ranks, bool useFloors);

    std::size_t count() const
    {
        return m_ranks.size();
    }

    const Rank &rank(std::size_t index) const
    {
        return m_ranks[index];
    }

    /// Index of the rank called \a name; the least urgent one if there is none.
    std::size_t indexOf(const RankName &name) const;

    /// Notes that \a engineMs of engine time were given to a rank.
    void charge(std::size_t index, double engineMs, absl::Time now);

    /// Part of the recent engine time that went to the rank; 0 if none was given out.
    double share(std::size_t index, absl::Time now) const;

    /// Ranks for which \a hasWork(index) is true, in the order in which they are served at \a now.
    template<class HasWork>
    RankOrder order(HasWork &&hasWork, absl::Time now) const
    {
        RankOrder belowFloor;
        RankOrder others;
        for (std::size_t i = 0; i < m_ranks.size(); ++i) {
            if (hasWork(i)) {
                (isBelowFloor(i, now) ? belowFloor : others).push_back(i);
            }
        }
        belowFloor.insert(belowFloor.end(), others.begin(), others.end());
        return belowFloor;
    }

private:
    bool isBelowFloor(std::size_t index, absl::Time now) const;

    /// The floor is kept a little above its nominal value, as the charged cost is an estimate.
    static constexpr double floorMargin = 1.05;

    std::vector<Rank> m_ranks;
    std::vector<DecayingRate> m_given;
    bool m_useFloors;
};

}
