#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <cstdint>

namespace Apricot {

struct LeaseFields
{
    std::uint64_t version = 0; ///< of the object; 0: it does not exist yet. It is the fencing number of what the holder does
    NodeId holder;
    std::int64_t untilMs = 0; ///< ms since the epoch

    friend auto operator<=>(const LeaseFields &, const LeaseFields &) = default;
};

/// Who publishes and reconciles at present. It saves work; conditional updates give safety.
using Lease = Immutable<LeaseFields>;

}
