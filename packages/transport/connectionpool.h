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
 * \brief Idle connections of one loop to engines and to the store, each good for one more exchange.
 *
 * A connection on which anything comes while it is idle is closed: such bytes belong to no request.
 */
class ConnectionPool
{
public:
    /// Keeps \a connection for whoever asks for \a key, at most until \a until.
    void give(const std::string &key, const std::shared_ptr<TcpConnection> &connection, absl::Time now, absl::Time until);

    /// The connection of \a key that was used last, if it has been idle for \a mostIdle at most; null if there is none.
    std::shared_ptr<TcpConnection> take(const std::string &key, absl::Duration mostIdle, absl::Time now);

    /// Closes what has been idle for too long.
    void expire(absl::Time now);

private:
    struct Idle
    {
        std::shared_ptr<TcpConnection> connection;
        absl::Time since;
        absl::Time until;
    };

    void drop(const std::string &key, const TcpConnection *connection);

    absl::flat_hash_map<std::string, std::vector<Idle>> m_idle;
};

}
