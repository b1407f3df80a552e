#include "coordination/leaveplan.h"

namespace Apricot {

namespace {

/// Time before the end of the grace period that ended calls need to send their last answer.
constexpr absl::Duration endMargin = absl::Milliseconds(400);

/// Calls that arrive up to this long after the stop request are taken, however long they may last: the platform lets an engine work on
/// them until the end.
constexpr absl::Duration takeAllTime = absl::Milliseconds(2700);

}

absl::Time callEnd(const LeavePlan &plan)
{
    return plan->start + plan->grace - endMargin;
}

bool takesCall(const LeavePlan &plan, absl::Time deadline, absl::Time now)
{
    return now < plan->start + takeAllTime || deadline < callEnd(plan);
}

}
