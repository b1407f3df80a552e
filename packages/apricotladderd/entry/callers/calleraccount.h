#pragma once

#include "coordination/callermemory.h"
#include "state/entrysettings.h"
#include "state/shardedmap.h"

#include <atomic>
#include <cstddef>
#include <vector>

namespace Apricot {

/// Returns the limits that \a settings give; the number of connections follows from the process's limit of descriptors if they give none.
CallerMemoryLimits callerMemoryLimits(const EntrySettings &settings);

/// Returns the limits of the ports for discovery, readiness, peers and metrics together, next to \a callers of calls.
CallerMemoryLimits controlMemoryLimits(const CallerMemoryLimits &callers);

/**
 * \class CallerAccount
 * \brief The account of the bytes that a node holds for its callers: per connection, per address and in total. Thread-safe; each shard has
 * its own lock.
 */
class CallerAccount
{
public:
    /// \a answerBytes are the bytes of answers that are being read from engines. They belong to the total and must outlive this.
    CallerAccount(const CallerMemoryLimits &limits, const std::atomic<std::size_t> &answerBytes);

    /// Records the current state of \a connection, which need not be known yet, and decides whether to read on from it. Calls for one
    /// connection must not overlap.
    ReadDecision update(const CallerConnection &connection, bool isNewRequest);

    /// Removes a connection. Does nothing if it is not known.
    void remove(CallerConnectionId connection);

    /// Whether a connection that was chosen some time ago may still be closed: an engine may be running its request by now.
    bool mayClose(CallerConnectionId connection) const;

    /// Chooses what to do about the bytes in use, and sets the preferred connection.
    CallerRelief relieve(absl::Time now);

    /// Removes the connection that is to be closed for a new one and returns it; std::nullopt if none may be closed. It no longer counts
    /// even if its own thread closes it later, so that each new connection replaces another one; it counts again with its next update() if
    /// it cannot be closed.
    std::optional<CallerConnectionId> takeForNewConnection(absl::Time now);

    const CallerMemoryLimits &limits() const
    {
        return m_limits;
    }

    /// Whether a new connection needs the place of another one.
    bool isFull() const
    {
        return m_connections.size() >= admittedConnections(m_limits);
    }

    /// Whether there is no place for a connection that is only told that its request is refused either.
    bool isExhausted() const
    {
        return m_connections.size() >= m_limits->connections;
    }

    bool needsRelief() const
    {
        return Apricot::needsRelief(m_limits, totalBytes(), systemBytes());
    }

    /// Bytes in use, answers that are being read included.
    std::size_t totalBytes() const
    {
        return m_bytes.load(std::memory_order_relaxed) + m_answerBytes.load(std::memory_order_relaxed);
    }

    /// Bytes of answers that the system holds for the callers; not part of totalBytes().
    std::size_t systemBytes() const
    {
        return m_systemBytes.load(std::memory_order_relaxed);
    }

    std::size_t connectionCount() const
    {
        return m_connections.size();
    }

private:
    std::vector<CallerConnection> connections() const;
    std::size_t charge(std::uint32_t address, std::size_t before, std::size_t after);
    void chargeSystem(std::size_t before, std::size_t after);
    /// Takes what a removed connection held out of the sums.
    void release(const CallerConnection &connection);

    CallerMemoryLimits m_limits;
    const std::atomic<std::size_t> &m_answerBytes;
    std::atomic<std::size_t> m_bytes{0};
    std::atomic<std::size_t> m_systemBytes{0};
    std::atomic<CallerConnectionId> m_preferred{0}; ///< 0: none
    ShardedMap<CallerConnectionId, CallerConnection> m_connections;
    ShardedMap<std::uint32_t, std::size_t> m_addressBytes; ///< without addresses that use none
};

}
