#pragma once

#include "state/name.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <functional>
#include <vector>

namespace Apricot {

/**
 * \class OrphanDetector
 * \brief Finds requests that engines hold but no coordinator renews.
 *
 * An unknown request gets a grace period, because its renewal may still be in transit to a new slice owner.
 */
class OrphanDetector
{
public:
    /// Processes the requests \a held by an engine. Returns those that were unknown for longer than the grace period.
    std::vector<RequestId> update(const std::vector<RequestId> &held, const std::function<bool(const RequestId &)> &isKnown,
                                  absl::Time now);

    /// Removes a request that has become known.
    void remove(const RequestId &id);

    /// Removes requests that no engine has reported recently.
    void removeExpired(absl::Time now);

private:
    absl::flat_hash_map<RequestId, absl::Time> m_firstReported; ///< time of the first report of each unknown request
};

}
