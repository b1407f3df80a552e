#pragma once

#include "transport/eventloop.h"
#include "transport/tcpconnection.h"

#include <functional>
#include <memory>
#include <string>

namespace Apricot {

/// Whether several listeners may share an address.
enum class AddressSharing {
    Exclusive,
    Shared, ///< SO_REUSEPORT: the system distributes connections over all listeners, such as the loops of one process
};

/**
 * \class TcpListener
 * \brief Accepts TCP connections on one EventLoop.
 */
class TcpListener
{
public:
    using AcceptHandler = std::function<void(std::shared_ptr<TcpConnection>)>;

    TcpListener(EventLoop &loop, const std::string &address, AddressSharing sharing, const TcpTimeouts &timeouts, AcceptHandler onAccepted);
    ~TcpListener();

    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

    /// Whether the listening socket could be opened.
    bool isOpen() const
    {
        return m_descriptor >= 0;
    }

    /// Returns the port of the socket, which the system chooses if the address has port 0.
    int port() const;

    /// Accepts the connections that the system has established.
    void acceptPending();

    /// Stops accepting connections.
    void close();

private:
    void pauseAccepting();

    EventLoop &m_loop;
    TcpTimeouts m_timeouts;
    AcceptHandler m_onAccepted;
    int m_descriptor = -1;
    TimerId m_retryTimer = 0;
};

}
