#pragma once

#include "state/name.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <functional>
#include <vector>

namespace Apricot {

/**
 * \class OrphanWatch
 * \brief Finds requests that engines hold and that nobody renews.
 *
 * A request is given some time to become known, as its renewal may be on its way to a new owner.
 */
class OrphanWatch
{
public:
    /// Takes in what an engine holds; returns the requests that have been unknown for too long.
    std::vector<RequestId> look(const std::vector<RequestId> &held, const std::function<bool(const RequestId &)> &isKnown, absl::Time now);

    /// The request has become known.
    void forget(const RequestId &id);

    /// Drops what no engine has reported for a while.
    void forgetOld(absl::Time now);

private:
    absl::flat_hash_map<RequestId, absl::Time> m_since; ///< first report of each unknown request
};

}
