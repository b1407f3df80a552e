#pragma once

#include "transport/eventloop.h"
#include "transport/httplistener.h"
#include "transport/thread.h"
#include "transport/workerpool.h"

#include <absl/time/time.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Apricot {

/// One request. Header names are in lower case; the path and the query parameters are decoded.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
    bool bodyTooLarge = false; ///< the body exceeded the size limit of the server and is not available

    /// Returns the value of a header by its name in lower case; empty if there is none.
    std::string header(const std::string &name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }

    /// Returns the value of a query parameter; empty if there is none.
    std::string parameter(const std::string &name) const
    {
        const auto it = query.find(name);
        return it == query.end() ? std::string() : it->second;
    }
};

/// Returns the next part of a body, or std::nullopt at its end. It may block.
using BodySource = std::function<std::optional<std::string>()>;

/// A response with either a whole body or a source that is read until its end.
struct HttpResponse
{
    int status = 200; ///< 0 closes the connection without a response
    std::map<std::string, std::string> headers;
    std::string body;
    BodySource source; ///< if set, it is used instead of body
    std::function<void()> onClosed; ///< runs after a streamed response has ended or the client has disconnected
};

/**
 * \class HttpServer
 * \brief An HTTP server for blocking handlers. One thread does all network I/O; the threads of a WorkerPool run the handlers.
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

    /// Listens on \a address ("IP:port"); isOpen() returns whether this succeeded.
    HttpServer(const std::string &address, Limits limits, Handler handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    bool isOpen() const
    {
        return m_listener->isOpen();
    }

    /// Stops accepting connections and waits until the responses to all received requests were sent; returns false after \a timeout.
    /// Must not be called by a handler.
    bool drain(absl::Duration timeout);

private:
    struct StreamState;

    void dispatch(const HttpServerConnection::Ptr &connection, const HttpRequestHead &head, std::string body);
    void sendResponse(const HttpServerConnection::Ptr &connection, HttpResponse response, const std::shared_ptr<StreamState> &state);
    void sendStream(const HttpServerConnection::Ptr &connection, const HttpResponse &response, const std::shared_ptr<StreamState> &state);

    Limits m_limits;
    Handler m_handler;
    EventLoop m_loop;
    std::unique_ptr<HttpListener> m_listener;
    std::atomic<bool> m_hasStoppedAccepting{false};
    std::unique_ptr<WorkerPool> m_workers;
    Thread m_thread;
};

}
