#pragma once

#include "coordination/decayingrate.h"
#include "state/configobjects.h"

#include <absl/container/inlined_vector.h>

#include <cstddef>
#include <vector>

namespace Apricot {

/// Rank indexes in the order in which the ranks are served.
using RankOrder = absl::InlinedVector<std::size_t, 8>;

/**
 * \class RankShares
 * \brief Determines the order in which ranks are served: by urgency, but ranks below their floor share come first.
 *
 * A rank is identified by its index in order of urgency. Shares are fractions of the engine time that was recently assigned.
 */
class RankShares
{
public:
    /// \a ranks may be in any order; they are sorted by priority. If \a useFloors is false, only urgency counts.
    RankShares(std::vector<Rank> ranks, bool useFloors);

    std::size_t count() const
    {
        return m_ranks.size();
    }

    const Rank &rank(std::size_t index) const
    {
        return m_ranks[index];
    }

    /// Returns the index of the rank called \a name, or of the least urgent rank if there is none.
    std::size_t indexOf(const RankName &name) const;

    /// Records that \a engineMs of engine time were assigned to a rank.
    void charge(std::size_t index, double engineMs, absl::Time now);

    /// Returns the fraction of the recent engine time that was assigned to the rank; 0 if none was assigned at all.
    double recentFraction(std::size_t index, absl::Time now) const;

    /// Returns the ranks for which \a hasWork(index) is true, in the order in which they are served at \a now.
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

    /// Factor on the floor share, because the charged cost is only an estimate.
    static constexpr double floorMarginFactor = 1.05;

    std::vector<Rank> m_ranks;
    std::vector<DecayingRate> m_engineTime;
    bool m_useFloors;
};

}
