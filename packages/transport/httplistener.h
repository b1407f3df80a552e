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
 * \brief Accepts HTTP connections for one EventLoop and keeps them until they are closed.
 */
class HttpListener
{
public:
    /// What the owner decides; \see HttpServerConnection::Hooks.
    struct Hooks
    {
        std::function<HttpServerLimits()> limits = [] {
            return HttpServerLimits();
        };
        std::function<void(const HttpServerConnection::Self &, HttpRequestHead, std::string body)> request;
        std::function<void(const HttpServerConnection::Self &, ParseState)> malformed = answerMalformed;
        std::function<bool()> keepsOpen = [] {
            return true;
        };
    };

    HttpListener(EventLoop &loop, const std::string &address, ListenAt sharing, Hooks hooks);
    ~HttpListener();

    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// Whether the address could be listened at.
    bool isOpen() const
    {
        return m_listener.isOpen();
    }

    int port() const
    {
        return m_listener.port();
    }

    /// Accepts no more, and closes the connections on which nothing is under way.
    void stopAccepting();

    /// Open connections; any thread may ask.
    std::size_t connectionCount() const
    {
        return m_count.load(std::memory_order_relaxed);
    }

    /// Answers what is no request with the status that fits.
    static void answerMalformed(const HttpServerConnection::Self &connection, ParseState state);

private:
    void accept(std::shared_ptr<TcpConnection> connection);

    EventLoop &m_loop;
    std::shared_ptr<HttpServerConnection::Hooks> m_hooks;
    absl::flat_hash_set<HttpServerConnection::Self> m_connections;
    std::atomic<std::size_t> m_count{0};
    TcpListener m_listener; ///< last, as it uses the others
};

}
