#pragma once

#include "soak/soakstep.h"
#include "transport/eventloop.h"
#include "transport/tcpconnection.h"
#include "transport/tcplistener.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace Apricot {

/**
 * \class LoopbackProxy
 * \brief TCP proxy to one address that injects a PathFault into its connections. Used only on the thread of its event loop.
 */
class LoopbackProxy
{
public:
    /// Listens on a free loopback port and forwards to \a target, which setTarget() can change.
    LoopbackProxy(EventLoop &loop, std::string target);
    ~LoopbackProxy();

    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    /// Address to connect to, as "IP:port".
    std::string address() const;

    void setTarget(const std::string &target);

    /// Sets the fault of the path. PathFault::None heals the path and resets the connections that lost data.
    void setFault(PathFault fault);

private:
    /// The two connections that form one forwarded connection.
    struct ConnectionPair
    {
        std::shared_ptr<TcpConnection> client; ///< accepted connection
        std::shared_ptr<TcpConnection> upstream;
        bool isStalled = false;
        bool hasLostData = false;
        int delayedWrites = 0; ///< number of delayed writes, which later data must not overtake
    };
    using ConnectionPairRef = std::shared_ptr<ConnectionPair>;

    void accept(const std::shared_ptr<TcpConnection> &client);
    TcpConnection::Callbacks makeCallbacks(const ConnectionPairRef &pair, bool fromClient);
    void forward(const ConnectionPairRef &pair, bool fromClient, std::string_view bytes);
    void handleClosed(const ConnectionPairRef &pair, bool fromClient, TcpCloseReason reason);
    void abort(const ConnectionPairRef &pair);

    EventLoop &m_loop;
    std::string m_target;
    PathFault m_fault = PathFault::None;
    std::list<ConnectionPairRef> m_pairs;
    std::unique_ptr<TcpListener> m_listener;
};

}
