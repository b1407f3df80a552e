#pragma once

#include "transport/eventloop.h"
#include "transport/tcplistener.h"
#include "transport/thread.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class RawEngineStandIn
 * \brief Stand-in for a faulty engine: a callback of the test writes arbitrary bytes in response to each request.
 *
 * Requests are expected to arrive in one piece.
 */
class RawEngineStandIn
{
public:
    using Connection = std::shared_ptr<TcpConnection>;

    /// Handles a request; \a onConnection is its number on its connection, starting at 0.
    using Behaviour = std::function<void(EventLoop &, const Connection &, const std::string &request, int onConnection)>;

    explicit RawEngineStandIn(Behaviour behaviour)
        : m_behaviour(std::move(behaviour))
        , m_listener(m_loop, "127.0.0.1:0", AddressSharing::Exclusive, TcpTimeouts(), [this](const Connection &it) { accept(it); })
        , m_thread("engine", [this] { m_loop.run(); })
    {
    }

    ~RawEngineStandIn()
    {
        m_loop.stop();
        m_thread.join();
        for (const Connection &it : m_connections) {
            it->abort();
        }
    }

    RawEngineStandIn(const RawEngineStandIn &) = delete;
    RawEngineStandIn &operator=(const RawEngineStandIn &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_listener.port());
    }

private:
    void accept(const Connection &connection)
    {
        m_connections.push_back(connection);
        TcpConnection::Callbacks callbacks;
        const auto count = std::make_shared<int>(0);
        callbacks.onData = [this, raw = connection.get(), count](std::string_view bytes) {
            m_behaviour(m_loop, raw->shared_from_this(), std::string(bytes), (*count)++);
        };
        connection->setCallbacks(std::move(callbacks));
    }

    Behaviour m_behaviour;
    EventLoop m_loop;
    std::vector<Connection> m_connections;
    TcpListener m_listener;
    Thread m_thread;
};

}
