#pragma once

#include "transport/tcpconnection.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <memory>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class ConnectionPool
 * \brief Idle connections of one EventLoop, each of which can be reused for another exchange.
 *
 * A connection that receives data while it is idle is closed, because the data belongs to no request.
 */
class ConnectionPool
{
public:
    /// Adds an idle connection under \a key until \a expiresAt. Closes it instead if it is not open, \a expiresAt has passed or the key
    /// has too many idle connections.
    void release(const std::string &key, const std::shared_ptr<TcpConnection> &connection, absl::Time now, absl::Time expiresAt);

    /// Removes and returns the most recently used connection of \a key that has been idle for at most \a maxIdleTime; null if there
    /// is none.
    std::shared_ptr<TcpConnection> acquire(const std::string &key, absl::Duration maxIdleTime, absl::Time now);

    /// Closes the connections that have expired.
    void closeExpired(absl::Time now);

private:
    struct IdleConnection
    {
        std::shared_ptr<TcpConnection> connection;
        absl::Time idleSince;
        absl::Time expiresAt;
    };

    void remove(const std::string &key, const TcpConnection *connection);

    absl::flat_hash_map<std::string, std::vector<IdleConnection>> m_idle;
};

}
