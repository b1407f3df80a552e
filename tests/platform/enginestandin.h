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

/// What an engine got.
struct ReceivedRequest
{
    HttpRequestHead head;
    std::string body;

    std::string header(const char *name) const
    {
        return std::string(headerValue(head.headers, name));
    }
};

/**
 * \class PlatformEngineStandIn
 * \brief An engine or a plain endpoint that does what the test says with each request, and remembers what it got.
 */
class PlatformEngineStandIn
{
public:
    using Behaviour = std::function<void(EventLoop &, const HttpServerConnection::Ptr &, const ReceivedRequest &)>;

    PlatformEngineStandIn(std::string id, Behaviour behaviour);
    ~PlatformEngineStandIn();

    PlatformEngineStandIn(const PlatformEngineStandIn &) = delete;
    PlatformEngineStandIn &operator=(const PlatformEngineStandIn &) = delete;

    const std::string &id() const
    {
        return m_id;
    }

    const std::string &address() const
    {
        return m_address;
    }

    std::vector<ReceivedRequest> arrivals() const;

    /// Requests whose caller closed the connection before the answer.
    int left() const;

    /// Head of an answer that an engine signs.
    static HttpResponseHead signedHead(const ReceivedRequest &arrival, int status, const char *contentType);

    /// Answers as engines do: signed, with the attempt's id.
    static void respondSigned(const HttpServerConnection::Ptr &connection, const ReceivedRequest &arrival, int status,
                              const std::string &body);

    /// Says that the request did not run.
    static void respondNotExecuted(const HttpServerConnection::Ptr &connection);

    /// Sends the head of a stream and events with the ids from \a first to \a last.
    static void beginEventStream(const HttpServerConnection::Ptr &connection, const ReceivedRequest &arrival, int first, int last);

private:
    void take(const HttpServerConnection::Ptr &connection, ReceivedRequest arrival);

    std::string m_id;
    Behaviour m_behaviour;
    EventLoop m_loop;
    std::unique_ptr<HttpListener> m_listener;
    std::string m_address;
    mutable pthread_mutex_t m_mutex = PTHREAD_MUTEX_INITIALIZER;
    std::vector<ReceivedRequest> m_arrivals; ///< under m_mutex
    int m_left = 0; ///< under m_mutex
    Thread m_thread;
};

}
