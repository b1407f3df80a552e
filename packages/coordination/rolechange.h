#pragma once

#include "coordination/orderkeeper.h"
#include "state/configobjects.h"
#include "state/rolechange.h"

#include <optional>
#include <string>

namespace Apricot {

/// What is known of the engine when the next step is decided on.
struct RoleChangeView
{
    Endpoint endpoint; ///< as configured now
    bool inForceEverywhere = false; ///< all nodes have that configuration
    bool engineIsEmpty = false; ///< it reports no request and no memory in use
    bool roleInForce = false; ///< it reports the wanted role under the present fencing number
};

/// What to do next.
enum class RoleChangeStep { Nothing, WriteDrain, WritePool, SendOrders, WriteOpen };

/// The change after a look at the engine, and what to do.
struct RoleChangeDecision
{
    RoleChange change;
    RoleChangeStep step = RoleChangeStep::Nothing;
};

/// Decides on the next step: drain first, then move the endpoint to the other pool, then order the role, then open it.
RoleChangeDecision stepRoleChange(const RoleChange &change, const RoleChangeView &view);

}
