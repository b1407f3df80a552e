#include "state/invariant.h"

#include "state/mutex.h"

#include <atomic>
#include <utility>

namespace Apricot {

namespace {

std::atomic<std::uint64_t> totalViolations{0};

struct HandlerSlot
{
    Mutex mutex;
    Invariants::Handler handler ABSL_GUARDED_BY(mutex);
};

HandlerSlot &handlerSlot()
{
    static HandlerSlot slot;
    return slot;
}

}

void Invariants::setHandler(Handler handler)
{
    HandlerSlot &slot = handlerSlot();
    const MutexLock lock(slot.mutex);
    slot.handler = std::move(handler);
}

std::uint64_t Invariants::violationCount()
{
    return totalViolations.load();
}

void Invariants::reset()
{
    totalViolations.store(0);
}

void Invariants::reportViolation(std::string_view name, const std::string &values)
{
    totalViolations.fetch_add(1);
    HandlerSlot &slot = handlerSlot();
    const MutexLock lock(slot.mutex);
    if (slot.handler) {
        slot.handler(name, values);
    }
}

}
