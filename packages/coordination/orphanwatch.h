#pragma once

#include "state/name.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <functional>
#include <vector>

namespace Apricot {

/**
 * \class OrphanWatch
 * \brief Finds requests that engines hold but no coordinator renews.
 *
 * An unknown request gets a grace period, because its renewal may still be in transit to a new slice owner.
 */
class OrphanWatch
{
public:
    /// Processes the requests \a held by an engine. Returns those that were unknown for longer than the grace period.
    std::vector<RequestId> look(const std::vector<RequestId> &held, const std::function<bool(const RequestId &)> &isKnown, absl::Time now);

    /// Removes a request that has become known.
    void forget(const RequestId &id);

    /// Removes requests that no engine has reported recently.
    void forgetOld(absl::Time now);

private:
    absl::flat_hash_map<RequestId, absl::Time> m_since; ///< time of the first report of each unknown request
};

}
