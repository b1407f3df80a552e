#include "transport/httplistener.h"

#include <utility>
#include <vector>

namespace Apricot {

namespace {

constexpr int badRequest = 400;
constexpr int requestTimeout = 408;
constexpr int bodyTooLarge = 413;
constexpr int headTooLarge = 431;
constexpr int unavailable = 503;

int statusOf(ParseState state)
{
    switch (state) {
    case ParseState::Head:
        return requestTimeout; // The head was not complete within the header timeout.
    case ParseState::HeadTooLarge:
        return headTooLarge;
    case ParseState::BodyTooLarge:
        return bodyTooLarge;
    case ParseState::Body:
    case ParseState::Done:
    case ParseState::Malformed:
        return badRequest;
    }
    return badRequest;
}

}

HttpListener::HttpListener(EventLoop &loop, const std::string &address, AddressSharing sharing, Hooks hooks)
    : m_loop(loop)
    , m_hooks(std::make_shared<HttpServerConnection::Hooks>())
    , m_listener(loop, address, sharing, TcpTimeouts(), [this](const std::shared_ptr<TcpConnection> &it) { accept(it); })
{
    m_hooks->limits = std::move(hooks.limits);
    m_hooks->onRequest = std::move(hooks.onRequest);
    m_hooks->onMalformed = std::move(hooks.onMalformed);
    m_hooks->onRefused = std::move(hooks.onRefused);
    m_hooks->onUse = std::move(hooks.onUse);
    m_hooks->keepsConnectionsOpen = std::move(hooks.keepsConnectionsOpen);
    m_onOpened = std::move(hooks.onOpened);
    m_hooks->onClosed = [this, report = std::move(hooks.onConnectionClosed),
                         release = std::move(hooks.onReleased)](const HttpServerConnection::Ptr &it, ServerCloseReason reason) {
        m_connections.erase(it);
        release(it);
        m_connectionCount.store(m_connections.size(), std::memory_order_relaxed);
        report(reason);
    };
}

HttpListener::~HttpListener()
{
    // The callbacks of each connection refer to it, so clearing the set alone would not destroy the connections.
    abortConnections();
}

void HttpListener::abortConnections()
{
    const std::vector<HttpServerConnection::Ptr> connections(m_connections.begin(), m_connections.end());
    for (const HttpServerConnection::Ptr &it : connections) {
        it->closeNow();
    }
}

void HttpListener::interruptRequests()
{
    const std::vector<HttpServerConnection::Ptr> connections(m_connections.begin(), m_connections.end());
    for (const HttpServerConnection::Ptr &it : connections) {
        it->interrupt();
    }
}

void HttpListener::accept(const std::shared_ptr<TcpConnection> &connection)
{
    const auto accepted = std::make_shared<HttpServerConnection>(m_loop, connection, m_hooks);
    if (!m_onOpened(accepted)) {
        connection->close();
        return;
    }
    m_connections.insert(accepted);
    m_connectionCount.store(m_connections.size(), std::memory_order_relaxed);
    accepted->start();
}

void HttpListener::stopAccepting()
{
    m_listener.acceptPending(); // The clients of these connections may have sent requests.
    m_listener.close();
    const std::vector<HttpServerConnection::Ptr> connections(m_connections.begin(), m_connections.end());
    for (const HttpServerConnection::Ptr &it : connections) {
        it->closeIfIdle();
    }
}

void HttpListener::respondToRefused(const HttpServerConnection::Ptr &connection)
{
    HttpResponseHead head;
    head.status = unavailable;
    head.reason = std::string(reasonPhrase(head.status));
    head.headers = {{"Content-Type", "text/plain"}, {"Retry-After", "1"}};
    connection->respond(std::move(head), "too much is held for callers; the request has not run\n");
}

void HttpListener::respondToMalformed(const HttpServerConnection::Ptr &connection, ParseState state)
{
    HttpResponseHead head;
    head.status = statusOf(state);
    head.reason = std::string(reasonPhrase(head.status));
    head.headers.push_back(HttpHeader{"Content-Type", "text/plain"});
    connection->respond(std::move(head), "the request is malformed, too large or was not received in time\n");
}

}
