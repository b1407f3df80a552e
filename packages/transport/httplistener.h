#pragma once

#include "transport/eventloop.h"
#include "transport/httpserverconnection.h"
#include "transport/tcplistener.h"

#include <absl/container/flat_hash_set.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace Apricot {

/**
 * \class HttpListener
 * \brief Accepts HTTP connections on one EventLoop and owns them until they are closed.
 */
class HttpListener
{
public:
    /// Callbacks to the owner; \see HttpServerConnection::Hooks.
    struct Hooks
    {
        std::function<HttpServerLimits()> limits = [] {
            return HttpServerLimits();
        };
        std::function<void(const HttpServerConnection::Ptr &, HttpRequestHead, std::string body)> onRequest;
        std::function<void(const HttpServerConnection::Ptr &, ParseState, const HttpRequestHead &)> onMalformed
            = [](const HttpServerConnection::Ptr &connection, ParseState state, const HttpRequestHead &) {
                  respondToMalformed(connection, state);
              };
        /// Handles a request that onUse refuses. \see HttpServerConnection::Hooks::onRefused
        std::function<void(const HttpServerConnection::Ptr &, const HttpRequestHead &)> onRefused
            = [](const HttpServerConnection::Ptr &connection, const HttpRequestHead &) {
                  respondToRefused(connection);
              };
        /// Returns whether a new connection is kept; it is closed if not.
        std::function<bool(const HttpServerConnection::Ptr &)> onOpened = [](const HttpServerConnection::Ptr &) {
            return true;
        };
        std::function<ReadPermission(const HttpServerConnection::Ptr &, const ConnectionUse &)> onUse
            = [](const HttpServerConnection::Ptr &, const ConnectionUse &) {
                  return ReadPermission::Read;
              };
        /// Runs once for a connection that was closed.
        std::function<void(const HttpServerConnection::Ptr &)> onReleased = [](const HttpServerConnection::Ptr &) {
        };
        std::function<bool()> keepsConnectionsOpen = [] {
            return true;
        };
        std::function<void(ServerCloseReason)> onConnectionClosed = [](ServerCloseReason) {
        };
    };

    HttpListener(EventLoop &loop, const std::string &address, AddressSharing sharing, Hooks hooks);
    ~HttpListener();

    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// Whether the listening socket could be opened.
    bool isOpen() const
    {
        return m_listener.isOpen();
    }

    /// Returns the port of the listening socket.
    int port() const
    {
        return m_listener.port();
    }

    /// Stops accepting connections and closes those without a request in progress or a response on its way.
    void stopAccepting();

    /// Interrupts all requests in progress, and closes the connections whose response is complete. \see HttpServerConnection::interrupt()
    void interruptRequests();

    /// Ends all open connections at once. \see HttpServerConnection::closeNow()
    void abortConnections();

    /// Returns the number of open connections. Thread-safe.
    std::size_t connectionCount() const
    {
        return m_connectionCount.load(std::memory_order_relaxed);
    }

    /// Responds to a malformed, oversized or late request with the status for \a state.
    static void respondToMalformed(const HttpServerConnection::Ptr &connection, ParseState state);

    /// Responds to a request for which there is no memory with status 503.
    static void respondToRefused(const HttpServerConnection::Ptr &connection);

private:
    void accept(const std::shared_ptr<TcpConnection> &connection);

    EventLoop &m_loop;
    std::shared_ptr<HttpServerConnection::Hooks> m_hooks;
    std::function<bool(const HttpServerConnection::Ptr &)> m_onOpened;
    absl::flat_hash_set<HttpServerConnection::Ptr> m_connections;
    std::atomic<std::size_t> m_connectionCount{0};
    TcpListener m_listener; ///< declared last, because its callback uses the other members
};

}
