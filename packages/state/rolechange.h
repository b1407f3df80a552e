#pragma once

#include "state/configobjects.h"

#include <string>

namespace Apricot {

/// Phase of a role change.
enum class RoleChangePhase { Draining, Moving, Ordering, Opening, Done };

struct RoleChangeFields
{
    std::string endpoint;
    PoolName toPool;
    PoolRole toRole = PoolRole::Decode;
    RoleChangePhase phase = RoleChangePhase::Draining;

    friend auto operator<=>(const RoleChangeFields &, const RoleChangeFields &) = default;
};

/// A role change in progress. A new lease holder reconstructs it from the configuration objects.
using RoleChange = Immutable<RoleChangeFields>;

}
