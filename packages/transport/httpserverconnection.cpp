#include "transport/httpserverconnection.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Reading stops when this many bytes of further requests are buffered while a request is in progress.
constexpr std::size_t mostInputAhead = 64 * 1024;

/// How long the remaining input of a rejected request is read and discarded.
constexpr absl::Duration longestRest = absl::Seconds(2);

}

HttpServerConnection::HttpServerConnection(EventLoop &loop, std::shared_ptr<TcpConnection> connection, std::shared_ptr<const Hooks> hooks)
    : m_loop(loop)
    , m_connection(std::move(connection))
    , m_hooks(std::move(hooks))
    , m_limits(m_hooks->limits())
    , m_parser(m_limits.parse)
    , m_since(loop.now())
{
}

void HttpServerConnection::start()
{
    const Self self = shared_from_this();
    TcpConnection::Callbacks callbacks;
    callbacks.onData = [self](std::string_view bytes) {
        self->take(bytes);
    };
    callbacks.onClosed = [self](TcpCloseReason) {
        self->otherSideLeft();
    };
    callbacks.onDrained = [self] {
        if (const std::function<void()> drained = self->m_drained) {
            drained();
        }
    };
    m_connection->setCallbacks(std::move(callbacks));
    armTimer();
}

void HttpServerConnection::setGone(std::function<void()> gone)
{
    m_gone = std::move(gone);
}

void HttpServerConnection::setDrained(std::function<void()> drained)
{
    m_drained = std::move(drained);
}

void HttpServerConnection::take(std::string_view bytes)
{
    m_input.append(bytes);
    if (m_busy) {
        m_connection->setReading(m_input.size() < mostInputAhead);
        return;
    }
    readRequests();
}

void HttpServerConnection::readRequests()
{
    const Self self = shared_from_this();
    while (!m_closed && !m_busy && !m_input.empty()) {
        if (!m_parser.hasStarted()) {
            m_since = m_loop.now();
        }
        const std::size_t used = m_parser.feed(m_input);
        m_input.erase(0, used);
        const ParseState state = m_parser.state();
        if (state == ParseState::Done) {
            handOver();
        } else if (state != ParseState::Head && state != ParseState::Body) {
            giveUpRequest(state);
        } else if (used == 0) {
            return;
        }
    }
}

void HttpServerConnection::giveUpRequest(ParseState state)
{
    m_busy = true;
    m_requestKeepsAlive = false;
    m_hasUnreadRest = true;
    m_hooks->malformed(shared_from_this(), state);
}

void HttpServerConnection::handOver()
{
    HttpRequestHead head = m_parser.head();
    std::string body = m_parser.body();
    m_limits = m_hooks->limits();
    m_parser = HttpRequestParser(m_limits.parse);
    m_requestKeepsAlive = head.keepAlive;
    m_answerHasNoBody = head.method == "HEAD";
    m_busy = true;
    m_hooks->request(shared_from_this(), std::move(head), std::move(body));
}

void HttpServerConnection::answer(HttpResponseHead head, std::string_view body)
{
    const Self self = shared_from_this();
    head.keepAlive = m_requestKeepsAlive && m_hooks->keepsOpen();
    m_requestKeepsAlive = head.keepAlive;
    m_connection->write(encodeHttpResponse(head, body, !m_answerHasNoBody));
    requestAnswered();
}

void HttpServerConnection::beginStream(HttpResponseHead head, std::string_view part)
{
    head.keepAlive = m_requestKeepsAlive && m_hooks->keepsOpen();
    m_requestKeepsAlive = head.keepAlive;
    std::string text = encodeChunkedHead(head);
    if (!part.empty()) {
        text += encodeChunk(part);
    }
    m_connection->write(text);
}

void HttpServerConnection::sendPart(std::string_view part)
{
    if (!part.empty()) {
        m_connection->write(encodeChunk(part));
    }
}

void HttpServerConnection::endStream()
{
    const Self self = shared_from_this();
    m_connection->write(lastChunk);
    requestAnswered();
}

void HttpServerConnection::breakOff()
{
    m_connection->abort();
    close();
}

void HttpServerConnection::requestAnswered()
{
    m_busy = false;
    m_gone = nullptr;
    m_drained = nullptr;
    m_since = m_loop.now();
    if (m_hasUnreadRest) {
        closeAfterRest();
        return;
    }
    if (!m_requestKeepsAlive) {
        close();
        return;
    }
    m_connection->setReading(true);
    if (!m_input.empty()) {
        m_loop.post([self = shared_from_this()] {
            if (!self->m_closed && !self->m_busy) {
                self->readRequests();
            }
        });
    }
}

void HttpServerConnection::abandon()
{
    m_connection->abort();
    otherSideLeft();
}

void HttpServerConnection::otherSideLeft()
{
    const std::function<void()> gone = std::exchange(m_gone, nullptr);
    m_closed = true;
    if (gone) {
        gone();
    }
    close();
}

void HttpServerConnection::closeAfterRest()
{
    // Closing a socket with unread input resets the connection, which could destroy the response before the client has read it.
    const Self self = shared_from_this();
    m_busy = true;
    m_input.clear();
    TcpConnection::Callbacks callbacks;
    callbacks.onClosed = [self](TcpCloseReason) {
        self->close();
    };
    m_connection->setCallbacks(std::move(callbacks));
    m_connection->setReading(true);
    m_connection->shutdownWrite();
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(longestRest, [self] {
        self->m_timer = 0;
        self->close();
    });
}

void HttpServerConnection::closeIfIdle()
{
    if (!m_busy && !m_parser.hasStarted() && m_input.empty()) {
        close();
    }
}

void HttpServerConnection::close()
{
    const Self self = shared_from_this();
    m_closed = true;
    m_gone = nullptr;
    m_drained = nullptr;
    m_loop.cancel(std::exchange(m_timer, 0));
    m_connection->close();
    if (const std::shared_ptr<const Hooks> hooks = std::exchange(m_hooks, nullptr)) {
        hooks->closed(self);
    }
}

void HttpServerConnection::armTimer()
{
    const absl::Duration check = std::min(m_limits.headerTimeout, m_limits.idleTimeout) / 2;
    m_timer = m_loop.after(check, [self = shared_from_this()] { self->checkTime(); });
}

void HttpServerConnection::checkTime()
{
    m_timer = 0;
    const absl::Duration passed = m_loop.now() - m_since;
    const bool isReadingHead = m_parser.hasStarted() && m_parser.state() == ParseState::Head;
    if (!m_busy && isReadingHead && passed > m_limits.headerTimeout) {
        giveUpRequest(ParseState::Head);
        return;
    }
    m_limits = m_hooks->limits();
    if (!m_busy && passed > m_limits.idleTimeout) {
        close();
        return;
    }
    armTimer();
}

}
