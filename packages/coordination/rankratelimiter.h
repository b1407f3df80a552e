#pragma once

#include "state/ranklimit.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <vector>

namespace Apricot {

/**
 * \class RankRateLimiter
 * \brief Token buckets that limit a coordinator to its part of the slice owner's rank limits.
 *
 * In an overload, the coordinator refuses excess requests itself without sending them to the owner.
 */
class RankRateLimiter
{
public:
    /// A limit is ignored if the owner has not updated it for this long.
    static constexpr absl::Duration limitTimeout = absl::Seconds(1);

    /// Applies the owner's limits, which \a nodes coordinators share evenly.
    void update(const std::vector<RankLimit> &limits, std::size_t nodes, absl::Time now);

    /// Whether a request of \a rank may be sent to the owner at \a now. Consumes a token if the rank is limited.
    bool tryAcquire(const RankName &rank, absl::Time now);

private:
    struct Bucket
    {
        bool overloaded = false;
        double perSecond = 0;
        double tokens = 0;
        absl::Time lastRefill = absl::InfinitePast(); ///< time of the last token refill
        absl::Time lastLimitUpdate = absl::InfinitePast(); ///< time of the last limit from the owner
    };

    absl::flat_hash_map<RankName, Bucket> m_buckets;
};

}
