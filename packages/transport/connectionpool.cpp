#include "transport/connectionpool.h"

#include <string_view>
#include <utility>

namespace Apricot {

namespace {

/// Maximum number of idle connections for each key.
constexpr std::size_t maxIdleConnectionsPerKey = 8;

}

void ConnectionPool::release(const std::string &key, const std::shared_ptr<TcpConnection> &connection, absl::Time now, absl::Time expiresAt)
{
    std::vector<IdleConnection> &idle = m_idle[key];
    if (!connection->isOpen() || expiresAt <= now || idle.size() >= maxIdleConnectionsPerKey) {
        connection->close();
        return;
    }
    TcpConnection *const raw = connection.get();
    TcpConnection::Callbacks callbacks;
    callbacks.onData = [this, key, raw](std::string_view) {
        remove(key, raw);
    };
    callbacks.onClosed = [this, key, raw](TcpCloseReason) {
        remove(key, raw);
    };
    connection->setCallbacks(std::move(callbacks));
    idle.push_back(IdleConnection{connection, now, expiresAt});
}

std::shared_ptr<TcpConnection> ConnectionPool::acquire(const std::string &key, absl::Duration maxIdleTime, absl::Time now)
{
    const auto it = m_idle.find(key);
    while (it != m_idle.end() && !it->second.empty()) {
        const IdleConnection last = std::move(it->second.back());
        it->second.pop_back();
        if (last.connection->isIdle() && now - last.idleSince <= maxIdleTime && now < last.expiresAt) {
            return last.connection;
        }
        last.connection->close();
    }
    return nullptr;
}

void ConnectionPool::closeExpired(absl::Time now)
{
    for (auto &[key, idle] : m_idle) {
        std::erase_if(idle, [&](const IdleConnection &it) {
            const bool isExpired = now >= it.expiresAt || !it.connection->isOpen();
            if (isExpired) {
                it.connection->close();
            }
            return isExpired;
        });
    }
    absl::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

void ConnectionPool::remove(const std::string &key, const TcpConnection *connection)
{
    const auto it = m_idle.find(key);
    if (it == m_idle.end()) {
        return;
    }
    std::erase_if(it->second, [&](const IdleConnection &idle) {
        if (idle.connection.get() != connection) {
            return false;
        }
        idle.connection->close();
        return true;
    });
}

}
