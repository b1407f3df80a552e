#pragma once

#include "transport/eventloop.h"
#include "transport/tcpconnection.h"

#include <functional>
#include <memory>
#include <string>

namespace Apricot {

/// Whether several listeners may share an address.
enum class ListenAt {
    OwnAddress,
    SharedAddress, ///< SO_REUSEPORT: the system distributes connections over all listeners, such as the loops of one process
};

/**
 * \class TcpListener
 * \brief Accepts TCP connections on one EventLoop.
 */
class TcpListener
{
public:
    using Accepted = std::function<void(std::shared_ptr<TcpConnection>)>;

    TcpListener(EventLoop &loop, const std::string &address, ListenAt sharing, const TcpTimes &times, Accepted accepted);
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

    /// Stops accepting connections.
    void close();

private:
    void acceptAll();

    EventLoop &m_loop;
    TcpTimes m_times;
    Accepted m_accepted;
    int m_descriptor = -1;
};

}
