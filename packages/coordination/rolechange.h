#pragma once

#include "coordination/roleorderreconciler.h"
#include "state/configobjects.h"
#include "state/rolechange.h"

#include <optional>
#include <string>

namespace Apricot {

/// Observed state of the engine and its endpoint, on which the next step is based.
struct RoleChangeObservation
{
    Endpoint endpoint; ///< as currently configured
    bool activeOnAllNodes = false; ///< whether that configuration is active on all nodes
    bool engineIsEmpty = false; ///< whether the engine reports no requests and no memory in use
    bool roleActive = false; ///< whether the engine reports the wanted role with the current fencing number
};

/// Next operation of a role change.
enum class RoleChangeStep { Nothing, WriteDrain, WritePool, SendOrders, WriteUndrain };

/// The updated role change and the operation to perform.
struct RoleChangeDecision
{
    RoleChange change;
    RoleChangeStep step = RoleChangeStep::Nothing;
};

/// Determines the next step. The order is: drain the endpoint, move it to the other pool, order the new role, end the drain.
RoleChangeDecision nextRoleChangeStep(const RoleChange &change, const RoleChangeObservation &observed);

}
