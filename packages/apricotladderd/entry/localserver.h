#pragma once

#include "protocol/httpparser.h"
#include "transport/eventloop.h"
#include "transport/tcplistener.h"

#include <absl/container/flat_hash_set.h>

#include <functional>
#include <memory>
#include <string>

namespace Apricot {

/// What a LocalServer answers.
struct LocalAnswer
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/**
 * \class LocalServer
 * \brief A small HTTP server for questions that the node answers by itself at once: discovery, readiness, metrics, peers.
 */
class LocalServer
{
public:
    using Handler = std::function<LocalAnswer(const HttpRequestHead &)>;

    LocalServer(EventLoop &loop, const std::string &address, Handler handler);
    ~LocalServer();

    LocalServer(const LocalServer &) = delete;
    LocalServer &operator=(const LocalServer &) = delete;

    /// Whether the address could be listened at.
    bool isOpen() const
    {
        return m_listener.isOpen();
    }

    int port() const
    {
        return m_listener.port();
    }

private:
    class Connection;

    EventLoop &m_loop;
    Handler m_handler;
    TcpListener m_listener;
    absl::flat_hash_set<std::shared_ptr<Connection>> m_connections;
};

}
