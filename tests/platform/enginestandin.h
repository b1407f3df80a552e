#pragma once

#include "transport/eventloop.h"
#include "transport/httplistener.h"
#include "transport/thread.h"

#include <functional>
#include <memory>
#include <pthread.h>
#include <string>
#include <vector>

namespace Apricot {

/// A request received by an engine.
struct ReceivedRequest
{
    HttpRequestHead head;
    std::string body;
    absl::Time arrivedAt;

    std::string header(const char *name) const
    {
        return std::string(headerValue(head.headers, name));
    }
};

/**
 * \class PlatformEngineStandIn
 * \brief Stand-in for an engine or a plain endpoint: runs a callback of the test for each request, and records all requests.
 *
 * A request whose Apricotladder-Expected-Instance names another engine is refused with status 421.
 */
class PlatformEngineStandIn
{
public:
    using Behaviour = std::function<void(EventLoop &, const HttpServerConnection::Ptr &, const ReceivedRequest &)>;

    PlatformEngineStandIn(std::string id, Behaviour behaviour);
    ~PlatformEngineStandIn();

    PlatformEngineStandIn(const PlatformEngineStandIn &) = delete;
    PlatformEngineStandIn &operator=(const PlatformEngineStandIn &) = delete;

    std::string id() const;

    /// Continues as a new lifetime with the id \a id at the same address.
    void restartAs(const std::string &id);

    const std::string &address() const
    {
        return m_address;
    }

    /// Returns all requests received so far, in order of arrival.
    std::vector<ReceivedRequest> receivedRequests() const;

    /// Returns the number of requests whose sender closed the connection before the response.
    int abandonedCount() const;

    /// Returns the head of a signed response to \a request.
    static HttpResponseHead signedHead(const ReceivedRequest &request, int status, const char *contentType);

    /// Returns \a head with the header by which an engine says that it leaves.
    static HttpResponseHead leavingHead(HttpResponseHead head);

    /// Sends a signed response with the id of the attempt, as engines do.
    static void respondSigned(const HttpServerConnection::Ptr &connection, const ReceivedRequest &request, int status,
                              const std::string &body);

    /// Refuses the request with status 503 and the header Apricotladder-Not-Executed.
    static void respondNotExecuted(const HttpServerConnection::Ptr &connection);

    /// Sends the head of an event stream, and events with the ids from \a first to \a last. The stream stays open.
    static void beginEventStream(const HttpServerConnection::Ptr &connection, const ReceivedRequest &request, int first, int last);

private:
    void handleRequest(const HttpServerConnection::Ptr &connection, ReceivedRequest request);

    std::string m_id; ///< under m_mutex
    Behaviour m_behaviour;
    EventLoop m_loop;
    std::unique_ptr<HttpListener> m_listener;
    std::string m_address;
    mutable pthread_mutex_t m_mutex = PTHREAD_MUTEX_INITIALIZER;
    std::vector<ReceivedRequest> m_receivedRequests; ///< under m_mutex
    int m_abandonedCount = 0; ///< under m_mutex
    Thread m_thread;
};

}
