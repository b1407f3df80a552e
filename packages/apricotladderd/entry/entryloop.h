#pragma once

#include "apricotladderd/entry/entrycontext.h"
#include "transport/connectionpool.h"
#include "transport/eventloop.h"
#include "transport/httplistener.h"

#include <absl/container/flat_hash_map.h>
#include <absl/random/random.h>

#include <functional>
#include <memory>

namespace Apricot {

/**
 * \class EntryLoop
 * \brief One of the threads that serve calls, with its share of the callers' connections and of those to engines.
 */
class EntryLoop
{
public:
    using RoomFound = std::function<void(const ModelPlacement &)>;

    EntryLoop(EntryContext &context, std::uint64_t index);
    ~EntryLoop();

    EntryLoop(const EntryLoop &) = delete;
    EntryLoop &operator=(const EntryLoop &) = delete;

    /// Starts to accept callers; returns whether the address could be listened at.
    bool listen();

    /// Serves until stop().
    void run();

    /// Ends run(); any thread may call it.
    void stop();

    /// Hands a grant to the call that waits for it; any thread may call it.
    void granted(const Grant &grant);

    /// Closes idle connections and accepts no more; any thread may call it. Calls under way go on.
    void closeListener();

    /// Connections of callers; any thread may read it.
    std::size_t callerCount() const
    {
        return m_listener ? m_listener->connectionCount() : 0;
    }

    // For the connections and calls of this loop:

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

    /// A random number in [0, 1).
    double random()
    {
        return absl::Uniform(m_random, 0.0, 1.0);
    }

    /// A random number of 64 bits.
    std::uint64_t luck()
    {
        return absl::Uniform<std::uint64_t>(m_random);
    }

    /// Registers who is told when a waiting call gets its room.
    WaiterId addWaiter(const RoomFound &found);
    void removeWaiter(WaiterId waiter);

    /// The loop that a waiter belongs to.
    static std::uint64_t loopOf(WaiterId waiter);

private:
    void expireIdle();

    EntryContext &m_context;
    std::uint64_t m_index;
    EventLoop m_events;
    ConnectionPool m_engines;
    absl::InsecureBitGen m_random;
    std::unique_ptr<HttpListener> m_listener;
    absl::flat_hash_map<WaiterId, RoomFound> m_waiters;
    WaiterId m_lastWaiter = 0;
};

}
