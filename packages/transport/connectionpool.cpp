#include "transport/connectionpool.h"

#include <string_view>
#include <utility>

namespace Apricot {

namespace {

/// Maximum number of idle connections for each key.
constexpr std::size_t mostIdleConnections = 8;

}

void ConnectionPool::give(const std::string &key, const std::shared_ptr<TcpConnection> &connection, absl::Time now, absl::Time until)
{
    std::vector<Idle> &idle = m_idle[key];
    if (!connection->isOpen() || until <= now || idle.size() >= mostIdleConnections) {
        connection->close();
        return;
    }
    TcpConnection *const raw = connection.get();
    TcpConnection::Callbacks callbacks;
    callbacks.data = [this, key, raw](std::string_view) {
        drop(key, raw);
    };
    callbacks.ended = [this, key, raw](TcpEnd) {
        drop(key, raw);
    };
    connection->setCallbacks(std::move(callbacks));
    idle.push_back(Idle{connection, now, until});
}

std::shared_ptr<TcpConnection> ConnectionPool::take(const std::string &key, absl::Duration mostIdle, absl::Time now)
{
    const auto it = m_idle.find(key);
    while (it != m_idle.end() && !it->second.empty()) {
        const Idle last = std::move(it->second.back());
        it->second.pop_back();
        if (last.connection->isQuiet() && now - last.since <= mostIdle && now < last.until) {
            return last.connection;
        }
        last.connection->close();
    }
    return nullptr;
}

void ConnectionPool::expire(absl::Time now)
{
    for (auto &[key, idle] : m_idle) {
        std::erase_if(idle, [&](const Idle &it) {
            const bool isOver = now >= it.until || !it.connection->isOpen();
            if (isOver) {
                it.connection->close();
            }
            return isOver;
        });
    }
    absl::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

void ConnectionPool::drop(const std::string &key, const TcpConnection *connection)
{
    const auto it = m_idle.find(key);
    if (it == m_idle.end()) {
        return;
    }
    std::erase_if(it->second, [&](const Idle &idle) {
        if (idle.connection.get() != connection) {
            return false;
        }
        idle.connection->close();
        return true;
    });
}

}
