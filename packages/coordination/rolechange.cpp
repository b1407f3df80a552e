#include "coordination/rolechange.h"

namespace Apricot {

namespace {

RoleChangeDecision advanceTo(const RoleChange &change, RoleChangePhase phase, RoleChangeStep step)
{
    return {change.with(&RoleChangeFields::phase, phase), step};
}

}

RoleChangeDecision stepRoleChange(const RoleChange &change, const RoleChangeView &view)
{
    const bool moved = view.endpoint->pool == change->toPool;
    switch (change->phase) {
    case RoleChangePhase::Draining:
        if (!view.endpoint->drain) {
            return {change, RoleChangeStep::WriteDrain};
        }
        if (!view.inForceEverywhere || !view.engineIsEmpty) {
            return {change, RoleChangeStep::Nothing};
        }
        return advanceTo(change, RoleChangePhase::Moving, RoleChangeStep::WritePool);
    case RoleChangePhase::Moving:
        if (!moved) {
            return {change, RoleChangeStep::WritePool};
        }
        return advanceTo(change, RoleChangePhase::Ordering, RoleChangeStep::SendOrders);
    case RoleChangePhase::Ordering:
        if (!view.roleInForce) {
            return {change, RoleChangeStep::SendOrders};
        }
        return advanceTo(change, RoleChangePhase::Opening, RoleChangeStep::WriteOpen);
    case RoleChangePhase::Opening:
        if (view.endpoint->drain) {
            return {change, RoleChangeStep::WriteOpen};
        }
        return advanceTo(change, RoleChangePhase::Done, RoleChangeStep::Nothing);
    case RoleChangePhase::Done:
        break;
    }
    return {change, RoleChangeStep::Nothing};
}

}
