#include "apricotladderd/entry/callers/callerguard.h"

#include "state/overloaded.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace Apricot {

namespace {

/// Position of the index of the guard in a CallerConnectionId. The bits below it number the connections of that guard.
constexpr int indexShift = 48;

/// Interval at which a node that is short of memory chooses connections to close, and resumes those that it has paused.
constexpr absl::Duration reliefInterval = absl::Milliseconds(100);

/// Callers must not be able to fill the log.
constexpr absl::Duration minReportInterval = absl::Seconds(1);

/// How many connections are chosen for a new one if they turn out to have got a request meanwhile.
constexpr int maxReplaceAttempts = 3;

CallerPhase callerPhase(ConnectionPhase phase)
{
    switch (phase) {
    case ConnectionPhase::Idle:
        return CallerPhase::Idle;
    case ConnectionPhase::Receiving:
        return CallerPhase::Receiving;
    case ConnectionPhase::Responding:
        return CallerPhase::Running;
    case ConnectionPhase::Sending:
        return CallerPhase::Answering;
    }
    return CallerPhase::Idle;
}

const char *limitName(CallerLimit limit)
{
    switch (limit) {
    case CallerLimit::Total:
        return "total";
    case CallerLimit::Address:
        return "address";
    case CallerLimit::Connection:
        return "connection";
    case CallerLimit::System:
        return "system";
    }
    return "total";
}

const char *reasonName(CallerCloseReason reason)
{
    return reason == CallerCloseReason::Memory ? "memory" : "connections";
}

}

CallerGuard::CallerGuard(EventLoop &loop, CallerAccount &account, std::uint64_t index, EventLog &log, EntryMetrics &metrics,
                         CloseHandler closeElsewhere)
    : m_loop(loop)
    , m_account(account)
    , m_index(index)
    , m_log(log)
    , m_metrics(metrics)
    , m_closeElsewhere(std::move(closeElsewhere))
{
}

void CallerGuard::guard(HttpListener::Hooks &hooks)
{
    hooks.onOpened = [this](const HttpServerConnection::Ptr &connection) {
        return handleOpened(connection);
    };
    hooks.onUse = [this](const HttpServerConnection::Ptr &connection, const ConnectionUse &use) {
        return handleUse(connection, use);
    };
    hooks.onReleased = [this](const HttpServerConnection::Ptr &connection) {
        m_connections.erase(connection->tag());
        m_unadmitted.erase(connection->tag());
        m_account.remove(connection->tag());
    };
}

std::uint64_t CallerGuard::index(CallerConnectionId connection)
{
    return connection >> indexShift;
}

bool CallerGuard::handleOpened(const HttpServerConnection::Ptr &connection)
{
    connection->setTag((m_index << indexShift) | ++m_lastConnection);
    if (m_account.isFull() && !makePlace()) {
        if (m_account.isExhausted()) {
            m_metrics.countCallerRefusal("connections");
            report("call.overlimit", "connections", *connection);
            return false;
        }
        m_unadmitted.insert(connection->tag());
    }
    m_connections.emplace(connection->tag(), connection);
    return true;
}

bool CallerGuard::makePlace()
{
    for (int attempt = 0; attempt < maxReplaceAttempts && m_account.isFull(); ++attempt) {
        const std::optional<CallerConnectionId> replaced = chooseReplaced();
        if (!replaced) {
            return false;
        }
        closeAnywhere(*replaced, CallerCloseReason::Connections);
    }
    return !m_account.isFull();
}

std::optional<CallerConnectionId> CallerGuard::chooseReplaced()
{
    const std::optional<CallerConnectionId> chosen = m_account.takeForNewConnection(m_loop.now());
    if (chosen) {
        return chosen;
    }
    for (const HttpServerConnection::Ptr &it : openConnections()) {
        it->reviewDelivery(); // An answer may have reached its caller since the last report.
    }
    return m_account.takeForNewConnection(m_loop.now());
}

ReadPermission CallerGuard::handleUse(const HttpServerConnection::Ptr &connection, const ConnectionUse &use)
{
    const CallerConnection state(CallerConnectionFields{connection->tag(), use.peerAddress, callerPhase(use.phase), use.bytes,
                                                        use.lastProgress, use.isHeldBack, use.hasCompletedRequest, use.systemBytes});
    const ReadDecision decision = m_account.update(state, use.isNewRequest);
    if (use.isNewRequest && m_unadmitted.erase(connection->tag()) > 0 && m_account.isFull()) {
        m_metrics.countCallerRefusal("connections");
        report("call.overlimit", "connections", *connection);
        return ReadPermission::Refuse;
    }
    if (m_account.needsRelief()) {
        armTimer();
    }
    return std::visit(Overloaded{
                          [](const ReadOn &) { return ReadPermission::Read; },
                          [this](const PauseReading &) {
                              armTimer();
                              return ReadPermission::Pause;
                          },
                          [&](const RefuseRequest &refusal) {
                              m_metrics.countCallerRefusal(limitName(refusal.limit));
                              report("call.overlimit", limitName(refusal.limit), *connection);
                              return ReadPermission::Refuse;
                          },
                      },
                      decision);
}

void CallerGuard::closeAnywhere(CallerConnectionId connection, CallerCloseReason reason)
{
    if (index(connection) == m_index) {
        close(connection, reason);
    } else {
        m_closeElsewhere(connection, reason);
    }
}

void CallerGuard::close(CallerConnectionId connection, CallerCloseReason reason)
{
    const auto it = m_connections.find(connection);
    if (it == m_connections.end() || !m_account.mayClose(connection)) {
        return;
    }
    const HttpServerConnection::Ptr found = it->second;
    if (reason == CallerCloseReason::Memory) {
        m_metrics.countCallerEviction(reasonName(reason));
        report("call.evicted", reasonName(reason), *found);
        found->evict();
        return;
    }
    found->closeForAnother();
    if (found->isClosed()) {
        m_metrics.countCallerEviction(reasonName(reason));
        report("call.evicted", reasonName(reason), *found);
    } else {
        found->reviewUse(); // It counts again.
    }
}

void CallerGuard::armTimer()
{
    if (m_timer == 0) {
        m_timer = m_loop.after(reliefInterval, [this] { relieve(); });
    }
}

void CallerGuard::relieve()
{
    m_timer = 0;
    reviewConnections(); // Callers may have read since the last report, which was then not a reason to close them.
    const CallerRelief relief = m_account.relieve(m_loop.now());
    for (const CallerConnectionId it : relief->closed) {
        closeAnywhere(it, CallerCloseReason::Memory);
    }
    const bool hasPaused = reviewConnections();
    if (hasPaused || m_account.needsRelief()) {
        armTimer();
    }
}

std::vector<HttpServerConnection::Ptr> CallerGuard::openConnections() const
{
    std::vector<HttpServerConnection::Ptr> connections;
    std::transform(m_connections.begin(), m_connections.end(), std::back_inserter(connections), [](const auto &it) { return it.second; });
    return connections;
}

bool CallerGuard::reviewConnections()
{
    bool hasPaused = false;
    for (const HttpServerConnection::Ptr &it : openConnections()) {
        it->reviewUse();
        hasPaused = hasPaused || it->isPaused();
    }
    return hasPaused;
}

void CallerGuard::report(const char *event, const char *why, const HttpServerConnection &connection)
{
    ++m_unreported;
    if (m_loop.now() - m_lastReport < minReportInterval) {
        return;
    }
    m_lastReport = m_loop.now();
    m_log.add(LogLevel::Warning, event, RequestId(),
              {{"why", std::string(why)},
               {"caller", connection.peerAddressText()},
               {"bytes", static_cast<std::int64_t>(connection.heldBytes())},
               {"undeliveredBytes", static_cast<std::int64_t>(connection.undeliveredBytes())},
               {"totalBytes", static_cast<std::int64_t>(m_account.totalBytes())},
               {"connections", static_cast<std::int64_t>(m_account.connectionCount())},
               {"since", std::exchange(m_unreported, 0)}});
}

}
