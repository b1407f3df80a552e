#pragma once

#include "apricotladderd/entry/entrycontext.h"
#include "coordination/leaveplan.h"
#include "coordination/loglinelimit.h"
#include "transport/connectionpool.h"
#include "transport/eventloop.h"
#include "transport/httplistener.h"

#include <absl/container/flat_hash_map.h>
#include <absl/random/random.h>

#include <atomic>
#include <functional>
#include <memory>

namespace Apricot {

/**
 * \class EntryLoop
 * \brief The event loop of one thread that serves calls, with its own connections to callers and to engines.
 */
class EntryLoop
{
public:
    using PlacementCallback = std::function<void(const ModelPlacement &)>;

    EntryLoop(EntryContext &context, std::uint64_t index);
    ~EntryLoop();

    EntryLoop(const EntryLoop &) = delete;
    EntryLoop &operator=(const EntryLoop &) = delete;

    /// Starts accepting callers; returns whether it could listen on the callers' address.
    bool listen();

    /// Runs the event loop until stop() is called.
    void run();

    /// Ends run(); any thread may call it.
    void stop();

    /// Delivers \a grant to the waiting call, or releases its reservations if that call no longer waits; any thread may call it.
    void deliverGrant(const Grant &grant);

    /// Stops accepting connections and closes idle ones; calls in progress continue. Any thread may call it.
    void closeListener();

    /// Whether closeListener() has taken effect; any thread may call it.
    bool isListenerClosed() const
    {
        return m_isListenerClosed.load(std::memory_order_acquire);
    }

    /// Sets the schedule of the node's planned stop. Any thread may call it.
    void setLeavePlan(const LeavePlan &plan);

    /// Ends the calls in progress, each with an answer if it has not sent a part of one. Any thread may call it.
    void endCalls();

    /// Number of open connections to callers; any thread may call it.
    std::size_t callerCount() const
    {
        return m_listener ? m_listener->connectionCount() : 0;
    }

    /// Closes the connection of a caller of this loop. Any thread may call it.
    void closeCaller(CallerConnectionId connection, CallerCloseReason reason);

    // The functions below are called only on this loop's thread, by its connections and calls.

    EntryContext &context()
    {
        return m_context;
    }

    EventLoop &events()
    {
        return m_events;
    }

    ConnectionPool &engines()
    {
        return m_engines;
    }

    /// The schedule of the node's planned stop.
    const LeavePlan &leavePlan() const
    {
        return m_leavePlan;
    }

    /// The limit on log lines about calls without a valid key.
    LogLineLimit &rejectionLog()
    {
        return m_rejectionLog;
    }

    /// The limit on log lines about calls above the allowance of their workspace.
    LogLineLimit &allowanceLog()
    {
        return m_allowanceLog;
    }

    /// A random number in [0, 1).
    double random()
    {
        return absl::Uniform(m_random, 0.0, 1.0);
    }

    /// A random 64-bit number.
    std::uint64_t randomBits()
    {
        return absl::Uniform<std::uint64_t>(m_random);
    }

    /// Registers \a callback, which is called once when the waiting call gets a placement; returns the id of the waiter.
    WaiterId addWaiter(const PlacementCallback &callback);
    void removeWaiter(WaiterId waiter);

    /// The index of the loop that \a waiter belongs to.
    static std::uint64_t loopIndex(WaiterId waiter);

private:
    void expireIdle();

    EntryContext &m_context;
    std::uint64_t m_index;
    EventLoop m_events;
    ConnectionPool m_engines;
    absl::InsecureBitGen m_random;
    CallerGuard m_guard; ///< before the listener, whose connections refer to it
    std::unique_ptr<HttpListener> m_listener;
    LeavePlan m_leavePlan;
    LogLineLimit m_rejectionLog;
    LogLineLimit m_allowanceLog;
    std::atomic<bool> m_isListenerClosed{false};
    absl::flat_hash_map<WaiterId, PlacementCallback> m_waiters;
    WaiterId m_lastWaiterId = 0;
};

}
