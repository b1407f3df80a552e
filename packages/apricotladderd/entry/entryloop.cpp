#include "apricotladderd/entry/entryloop.h"

#include "apricotladderd/entry/calls/calldispatch.h"

#include <utility>

namespace Apricot {

namespace {

/// Position of the loop index in a WaiterId. The bits below it number the waiters of that loop.
constexpr int loopIndexShift = 48;

constexpr absl::Duration idleCheckInterval = absl::Seconds(1);

}

EntryLoop::EntryLoop(EntryContext &context, std::uint64_t index)
    : m_context(context)
    , m_index(index)
    , m_guard(m_events, context.callers, index, context.log, context.metrics,
              [&context](CallerConnectionId connection, CallerCloseReason reason) { context.closeCaller(connection, reason); })
{
}

EntryLoop::~EntryLoop() = default;

bool EntryLoop::listen()
{
    HttpListener::Hooks hooks = callListenerHooks(*this);
    m_guard.guard(hooks);
    m_listener = std::make_unique<HttpListener>(m_events, m_context.settings->callerAddress, AddressSharing::Shared, std::move(hooks));
    return m_listener->isOpen();
}

void EntryLoop::run()
{
    expireIdle();
    m_events.run();
}

void EntryLoop::stop()
{
    m_events.stop();
}

void EntryLoop::deliverGrant(const Grant &grant)
{
    m_events.post([this, grant] {
        const auto it = m_waiters.find(grant.waiter);
        if (it == m_waiters.end()) {
            // The call stopped waiting before the grant arrived.
            for (const EngineReservation &reservation : grant.placement.reservations) {
                m_context.pools.release(grant.placement.decode->service, reservation, m_events.now());
            }
            return;
        }
        const PlacementCallback callback = std::move(it->second);
        m_waiters.erase(it);
        callback(grant.placement);
    });
}

void EntryLoop::closeListener()
{
    m_events.post([this] {
        m_listener->stopAccepting();
        m_isListenerClosed.store(true, std::memory_order_release);
    });
}

void EntryLoop::setLeavePlan(const LeavePlan &plan)
{
    m_events.post([this, plan] { m_leavePlan = plan; });
}

void EntryLoop::endCalls()
{
    m_events.post([this] { m_listener->interruptRequests(); });
}

void EntryLoop::closeCaller(CallerConnectionId connection, CallerCloseReason reason)
{
    m_events.post([this, connection, reason] { m_guard.close(connection, reason); });
}

WaiterId EntryLoop::addWaiter(const PlacementCallback &callback)
{
    const WaiterId id = (m_index << loopIndexShift) | ++m_lastWaiterId;
    m_waiters.emplace(id, callback);
    return id;
}

void EntryLoop::removeWaiter(WaiterId waiter)
{
    m_waiters.erase(waiter);
}

std::uint64_t EntryLoop::loopIndex(WaiterId waiter)
{
    return waiter >> loopIndexShift;
}

void EntryLoop::expireIdle()
{
    m_engines.closeExpired(m_events.now());
    m_events.after(idleCheckInterval, [this] { expireIdle(); });
}

}
