#pragma once

#include "transport/eventloop.h"
#include "transport/httplistener.h"
#include "transport/thread.h"
#include "transport/workerpool.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Apricot {

/// One request as it came in. Header names are in lower case.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
    bool bodyTooLarge = false; ///< the body was over the server's limit and is not here

    std::string header(const std::string &name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }

    std::string parameter(const std::string &name) const
    {
        const auto it = query.find(name);
        return it == query.end() ? std::string() : it->second;
    }
};

/// Gives the next part of a body; blocks until there is one, returns nothing at the end.
using BodySource = std::function<std::optional<std::string>()>;

/// What to answer: a whole body, or a source that is read until it ends.
struct HttpResponse
{
    int status = 200; ///< 0 closes the connection without an answer
    std::map<std::string, std::string> headers;
    std::string body;
    BodySource source; ///< if set, it is read in place of body
    std::function<void()> closed; ///< runs when a streamed answer ended or the other side went away
};

/**
 * \class HttpServer
 * \brief An HTTP server for handlers that block: one thread reads and writes, workers run the handlers.
 */
class HttpServer
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    struct Limits
    {
        std::size_t bodyBytes = 1024 * 1024;
        unsigned connections = 2000;
        unsigned idleSeconds = 30;
    };

    /// Listens on \a address ("IP:port"); isOpen() says whether that worked.
    HttpServer(const std::string &address, Limits limits, Handler handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    bool isOpen() const
    {
        return m_listener->isOpen();
    }

    /// Takes no new connections; requests under way go on.
    void stopAccepting();

private:
    struct Outgoing;

    void take(const HttpServerConnection::Self &connection, const HttpRequestHead &head, std::string body);
    void reply(const HttpServerConnection::Self &connection, HttpResponse response, const std::shared_ptr<Outgoing> &outgoing);
    void streamOut(const HttpServerConnection::Self &connection, const HttpResponse &response, const std::shared_ptr<Outgoing> &outgoing);

    Limits m_limits;
    Handler m_handler;
    EventLoop m_loop;
    std::unique_ptr<HttpListener> m_listener;
    std::unique_ptr<WorkerPool> m_workers;
    Thread m_thread;
};

}
