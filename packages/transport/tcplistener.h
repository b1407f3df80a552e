#pragma once

#include "transport/eventloop.h"
#include "transport/tcpconnection.h"

#include <functional>
#include <memory>
#include <string>

namespace Apricot {

/// Whether other listeners may have the same address.
enum class ListenAt {
    OwnAddress,
    SharedAddress, ///< the system spreads callers over all listeners, such as the loops of one process
};

/**
 * \class TcpListener
 * \brief Accepts connections for one EventLoop.
 */
class TcpListener
{
public:
    using Accepted = std::function<void(std::shared_ptr<TcpConnection>)>;

    TcpListener(EventLoop &loop, const std::string &address, ListenAt sharing, const TcpTimes &times, Accepted accepted);
    ~TcpListener();

    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

    /// Whether the address could be listened at.
    bool isOpen() const
    {
        return m_descriptor >= 0;
    }

    /// Port that is listened at, also where the address left the choice to the system.
    int port() const;

    void close();

private:
    void acceptAll();

    EventLoop &m_loop;
    TcpTimes m_times;
    Accepted m_accepted;
    int m_descriptor = -1;
};

}
