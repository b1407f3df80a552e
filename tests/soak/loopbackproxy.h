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
 * \brief Passes connections on to one address and harms them as it is told. It belongs to its loop's thread.
 */
class LoopbackProxy
{
public:
    /// Listens on a port of its own. \a target may be changed later.
    LoopbackProxy(EventLoop &loop, std::string target);
    ~LoopbackProxy();

    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    /// "IP:port" to connect to.
    std::string address() const;

    void setTarget(const std::string &target);

    /// Harms the path from now on. With PathHarm::None it is healed: connections that lost bytes are reset.
    void setHarm(PathHarm harm);

private:
    /// Two connections that are one path.
    struct Pair
    {
        std::shared_ptr<TcpConnection> near; ///< the side that was accepted
        std::shared_ptr<TcpConnection> far;
        bool isSilent = false;
        bool hasLost = false;
        int late = 0; ///< pieces that are delayed: what comes after them must not overtake them
    };
    using PairRef = std::shared_ptr<Pair>;

    void accept(const std::shared_ptr<TcpConnection> &near);
    TcpConnection::Callbacks callbacksOf(const PairRef &pair, bool fromNear);
    void pass(const PairRef &pair, bool fromNear, std::string_view bytes);
    void end(const PairRef &pair, bool fromNear, TcpCloseReason how);
    void abort(const PairRef &pair);

    EventLoop &m_loop;
    std::string m_target;
    PathHarm m_harm = PathHarm::None;
    std::list<PairRef> m_pairs;
    std::unique_ptr<TcpListener> m_listener;
};

}
