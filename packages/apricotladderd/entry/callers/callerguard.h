#pragma once

#include "apricotladderd/entry/callers/calleraccount.h"
#include "apricotladderd/entry/entrymetrics.h"
#include "apricotladderd/entry/eventlog.h"
#include "transport/httplistener.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <functional>
#include <optional>
#include <vector>

namespace Apricot {

/// Why a node closed the connection of a caller.
enum class CallerCloseReason : std::uint8_t {
    Memory, ///< it held many bytes without progress, or the limit was exceeded
    Connections, ///< a new connection took its place
};

/**
 * \class CallerGuard
 * \brief Connects the listeners of one event loop to the account of what a node holds for its callers, and carries out its decisions.
 */
class CallerGuard
{
public:
    /// Closes a connection of any loop for the given reason.
    using CloseHandler = std::function<void(CallerConnectionId, CallerCloseReason)>;

    /// \a index numbers the guards of \a account.
    CallerGuard(EventLoop &loop, CallerAccount &account, std::uint64_t index, EventLog &log, EntryMetrics &metrics,
                CloseHandler closeElsewhere);

    CallerGuard(const CallerGuard &) = delete;
    CallerGuard &operator=(const CallerGuard &) = delete;

    /// Makes the connections of a listener subject to the account. Must be called before the listener is constructed, and this must outlive
    /// it.
    void guard(HttpListener::Hooks &hooks);

    /// Closes a connection of this loop, if it still exists.
    void close(CallerConnectionId connection, CallerCloseReason reason);

    /// Index of the guard that a connection belongs to.
    static std::uint64_t index(CallerConnectionId connection);

private:
    bool handleOpened(const HttpServerConnection::Ptr &connection);
    ReadPermission handleUse(const HttpServerConnection::Ptr &connection, const ConnectionUse &use);
    /// Closes a connection for a new one; returns whether there is a place for that.
    bool makePlace();
    /// Chooses the connection to close for a new one; std::nullopt if there is none.
    std::optional<CallerConnectionId> chooseReplaced();
    /// The connections of this loop, as a copy: each may be closed while they are visited.
    std::vector<HttpServerConnection::Ptr> openConnections() const;
    /// Reports anew what all connections of this loop hold; returns whether one of them is paused.
    bool reviewConnections();
    void closeAnywhere(CallerConnectionId connection, CallerCloseReason reason);
    void armTimer();
    void relieve();
    /// Logs a refusal or a closed connection, unless another one was logged within the last second.
    void report(const char *event, const char *why, const HttpServerConnection &connection);

    EventLoop &m_loop;
    CallerAccount &m_account;
    std::uint64_t m_index;
    EventLog &m_log;
    EntryMetrics &m_metrics;
    CloseHandler m_closeElsewhere;
    absl::flat_hash_map<CallerConnectionId, HttpServerConnection::Ptr> m_connections;
    absl::flat_hash_set<CallerConnectionId> m_unadmitted; ///< opened without a place: the next request is refused if there is none by then
    std::uint64_t m_lastConnection = 0;
    TimerId m_timer = 0;
    absl::Time m_lastReport = absl::InfinitePast(); ///< time of the last log line
    std::int64_t m_unreported = 0; ///< refusals and closed connections since then, which have no line
};

}
