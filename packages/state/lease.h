#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <cstdint>

namespace Apricot {

struct LeaseFields
{
    std::uint64_t version = 0; ///< version of the store object, 0 if it does not exist yet; the holder uses it as its fencing number
    NodeId holder;
    std::int64_t untilMs = 0; ///< ms since the epoch

    friend auto operator<=>(const LeaseFields &, const LeaseFields &) = default;
};

/// Identifies the node that currently publishes and reconciles.
/// The lease only avoids duplicate work; correctness relies on conditional updates.
using Lease = Immutable<LeaseFields>;

}
