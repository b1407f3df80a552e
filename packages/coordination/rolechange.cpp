#include "coordination/rolechange.h"

namespace Apricot {

namespace {

RoleChangeDecision advanceTo(const RoleChange &change, RoleChangePhase phase, RoleChangeStep step)
{
    return {change.with(&RoleChangeFields::phase, phase), step};
}

}

RoleChangeDecision nextRoleChangeStep(const RoleChange &change, const RoleChangeObservation &observed)
{
    const bool moved = observed.endpoint->pool == change->toPool;
    switch (change->phase) {
    case RoleChangePhase::Draining:
        if (!observed.endpoint->drain) {
            return {change, RoleChangeStep::WriteDrain};
        }
        if (!observed.activeOnAllNodes || !observed.engineIsEmpty) {
            return {change, RoleChangeStep::Nothing};
        }
        return advanceTo(change, RoleChangePhase::Moving, RoleChangeStep::WritePool);
    case RoleChangePhase::Moving:
        if (!moved) {
            return {change, RoleChangeStep::WritePool};
        }
        return advanceTo(change, RoleChangePhase::Ordering, RoleChangeStep::SendOrders);
    case RoleChangePhase::Ordering:
        if (!observed.roleActive) {
            return {change, RoleChangeStep::SendOrders};
        }
        return advanceTo(change, RoleChangePhase::Opening, RoleChangeStep::WriteUndrain);
    case RoleChangePhase::Opening:
        if (observed.endpoint->drain) {
            return {change, RoleChangeStep::WriteUndrain};
        }
        return advanceTo(change, RoleChangePhase::Done, RoleChangeStep::Nothing);
    case RoleChangePhase::Done:
        break;
    }
    return {change, RoleChangeStep::Nothing};
}

}
