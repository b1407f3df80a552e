#pragma once

#include "state/configobjects.h"

#include <string>

namespace Apricot {

/// How far a role change has come.
enum class RoleChangePhase { Draining, Moving, Ordering, Opening, Done };

struct RoleChangeFields
{
    std::string endpoint;
    PoolName toPool;
    PoolRole toRole = PoolRole::Decode;
    RoleChangePhase phase = RoleChangePhase::Draining;

    friend auto operator<=>(const RoleChangeFields &, const RoleChangeFields &) = default;
};

/// A role change under way, as an immutable value; a new holder works it out again from the objects.
using RoleChange = Immutable<RoleChangeFields>;

}
