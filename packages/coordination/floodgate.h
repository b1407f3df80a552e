#pragma once

#include "state/ranklimit.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <vector>

namespace Apricot {

/**
 * \class FloodGate
 * \brief A coordinator's share of what the owner said it can take, so that a flood is refused without asking the owner.
 */
class FloodGate
{
public:
    /// A limit is forgotten after this long without news of the owner.
    static constexpr absl::Duration validity = absl::Seconds(1);

    /// Takes in the owner's limits; \a nodes coordinators share them.
    void update(const std::vector<RankLimit> &limits, std::size_t nodes, absl::Time now);

    /// Whether a request of \a rank may be sent to the owner at \a now.
    bool admits(const RankName &rank, absl::Time now);

private:
    struct Gate
    {
        bool flooded = false;
        double perSecond = 0;
        double tokens = 0;
        absl::Time updated = absl::InfinitePast(); ///< last refill
        absl::Time heard = absl::InfinitePast(); ///< last news of the owner
    };

    absl::flat_hash_map<RankName, Gate> m_gates;
};

}
