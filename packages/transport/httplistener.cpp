#include "transport/httplistener.h"

#include <utility>
#include <vector>

namespace Apricot {

namespace {

constexpr int badRequest = 400;
constexpr int requestTimeout = 408;
constexpr int bodyTooLarge = 413;
constexpr int headTooLarge = 431;

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
    , m_listener(loop, address, sharing, TcpTimeouts(), [this](std::shared_ptr<TcpConnection> it) { accept(std::move(it)); })
{
    m_hooks->limits = std::move(hooks.limits);
    m_hooks->request = std::move(hooks.request);
    m_hooks->malformed = std::move(hooks.malformed);
    m_hooks->keepsOpen = std::move(hooks.keepsOpen);
    m_hooks->closed = [this](const HttpServerConnection::Self &it) {
        m_connections.erase(it);
        m_count.store(m_connections.size(), std::memory_order_relaxed);
    };
}

HttpListener::~HttpListener()
{
    // The callbacks of each connection hold a reference to it, so clearing the set would not destroy the connections.
    const std::vector<HttpServerConnection::Self> connections(m_connections.begin(), m_connections.end());
    for (const HttpServerConnection::Self &it : connections) {
        it->abandon();
    }
}

void HttpListener::accept(std::shared_ptr<TcpConnection> connection)
{
    const auto accepted = std::make_shared<HttpServerConnection>(m_loop, std::move(connection), m_hooks);
    m_connections.insert(accepted);
    m_count.store(m_connections.size(), std::memory_order_relaxed);
    accepted->start();
}

void HttpListener::stopAccepting()
{
    m_listener.close();
    const std::vector<HttpServerConnection::Self> connections(m_connections.begin(), m_connections.end());
    for (const HttpServerConnection::Self &it : connections) {
        it->closeIfIdle();
    }
}

void HttpListener::answerMalformed(const HttpServerConnection::Self &connection, ParseState state)
{
    HttpResponseHead head;
    head.status = statusOf(state);
    head.reason = std::string(reasonPhrase(head.status));
    head.headers.push_back(HttpHeader{"Content-Type", "text/plain"});
    connection->answer(std::move(head), "the request is malformed, too large or was not received in time\n");
}

}
