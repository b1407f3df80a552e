#include "transport/httpserverconnection.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Reading stops when this many bytes of further requests are buffered while a request is in progress.
constexpr std::size_t maxPipelinedInputBytes = 64 * 1024;

/// How long the remaining input of a rejected request is read and discarded.
constexpr absl::Duration lingerTimeout = absl::Seconds(2);

}

HttpServerConnection::HttpServerConnection(EventLoop &loop, std::shared_ptr<TcpConnection> connection, std::shared_ptr<const Hooks> hooks)
    : m_loop(loop)
    , m_connection(std::move(connection))
    , m_hooks(std::move(hooks))
    , m_limits(m_hooks->limits())
    , m_phaseStart(loop.now())
{
}

void HttpServerConnection::start()
{
    const Ptr self = shared_from_this();
    TcpConnection::Callbacks callbacks;
    callbacks.onData = [self](std::string_view bytes) {
        self->handleData(bytes);
    };
    callbacks.onClosed = [self](TcpCloseReason) {
        self->handlePeerClosed();
    };
    callbacks.onDrained = [self] {
        if (const std::function<void()> onDrained = self->m_onDrained) {
            onDrained();
        }
    };
    m_connection->setCallbacks(std::move(callbacks));
    armTimer();
}

void HttpServerConnection::setPeerClosedHandler(std::function<void()> onPeerClosed)
{
    m_onPeerClosed = std::move(onPeerClosed);
}

void HttpServerConnection::setInterruptHandler(std::function<void()> onInterrupt)
{
    m_onInterrupt = std::move(onInterrupt);
}

void HttpServerConnection::interrupt()
{
    if (const std::function<void()> onInterrupt = std::exchange(m_onInterrupt, nullptr)) {
        onInterrupt();
    }
}

void HttpServerConnection::setDrainedHandler(std::function<void()> onDrained)
{
    m_onDrained = std::move(onDrained);
}

void HttpServerConnection::handleData(std::string_view bytes)
{
    m_input.append(bytes);
    if (m_requestInProgress) {
        m_connection->setReading(m_input.size() < maxPipelinedInputBytes);
        return;
    }
    readRequests();
}

void HttpServerConnection::readRequests()
{
    const Ptr self = shared_from_this();
    while (!m_closed && !m_requestInProgress && !m_input.empty()) {
        if (!m_parser) {
            beginRequest();
        }
        const std::size_t used = m_parser->feed(m_input);
        m_input.erase(0, used);
        const ParseState state = m_parser->state();
        if (state == ParseState::Done) {
            dispatchRequest();
        } else if (state != ParseState::Head && state != ParseState::Body) {
            rejectRequest(state);
        } else if (used == 0) {
            return;
        }
    }
}

void HttpServerConnection::beginRequest()
{
    m_phaseStart = m_loop.now();
    m_parser.emplace(m_hooks->limits().parse);
}

void HttpServerConnection::rejectRequest(ParseState state)
{
    m_requestInProgress = true;
    m_requestKeepsAlive = false;
    m_hasUnreadInput = true;
    m_hooks->onMalformed(shared_from_this(), state, m_parser->head());
}

void HttpServerConnection::dispatchRequest()
{
    HttpRequestHead head = m_parser->head();
    std::string body = m_parser->body();
    m_parser.reset();
    m_requestKeepsAlive = head.keepAlive;
    m_responseHasNoBody = head.method == "HEAD";
    m_requestInProgress = true;
    if (m_connection->isClosedByPeer()) {
        return; // A busy node may read a request after its client has left; the end of the connection is reported next.
    }
    m_hooks->onRequest(shared_from_this(), std::move(head), std::move(body));
}

void HttpServerConnection::respond(HttpResponseHead head, std::string_view body)
{
    const Ptr self = shared_from_this();
    head.keepAlive = m_requestKeepsAlive && m_hooks->keepsConnectionsOpen();
    m_requestKeepsAlive = head.keepAlive;
    m_connection->write(encodeHttpResponse(head, body, !m_responseHasNoBody));
    handleResponseSent();
}

void HttpServerConnection::beginStream(HttpResponseHead head, std::string_view part)
{
    head.keepAlive = m_requestKeepsAlive && m_hooks->keepsConnectionsOpen();
    m_requestKeepsAlive = head.keepAlive;
    std::string text = encodeChunkedHead(head);
    if (!part.empty()) {
        text += encodeChunk(part);
    }
    m_connection->write(text);
}

void HttpServerConnection::sendChunk(std::string_view part)
{
    if (!part.empty()) {
        m_connection->write(encodeChunk(part));
    }
}

void HttpServerConnection::endStream()
{
    const Ptr self = shared_from_this();
    m_connection->write(lastChunk);
    handleResponseSent();
}

void HttpServerConnection::abort()
{
    m_connection->abort();
    close(ServerCloseReason::Aborted);
}

void HttpServerConnection::handleResponseSent()
{
    m_requestInProgress = false;
    m_onPeerClosed = nullptr;
    m_onInterrupt = nullptr;
    m_onDrained = nullptr;
    m_phaseStart = m_loop.now();
    m_limits = m_hooks->limits();
    if (m_hasUnreadInput) {
        closeAfterDiscardingInput();
        return;
    }
    if (!m_requestKeepsAlive) {
        closeWhenSent();
        return;
    }
    m_connection->setReading(true);
    if (!m_input.empty()) {
        m_loop.post([self = shared_from_this()] {
            if (!self->m_closed && !self->m_requestInProgress) {
                self->readRequests();
            }
        });
    }
}

void HttpServerConnection::abortAsPeerClosed()
{
    m_connection->abort();
    handlePeerClosed();
}

void HttpServerConnection::handlePeerClosed()
{
    const std::function<void()> onPeerClosed = std::exchange(m_onPeerClosed, nullptr);
    m_closed = true;
    if (onPeerClosed) {
        onPeerClosed();
    }
    close(ServerCloseReason::PeerClosed);
}

void HttpServerConnection::closeAfterDiscardingInput()
{
    // Closing a socket with unread input resets the connection, which could destroy the response before the client has read it.
    const Ptr self = shared_from_this();
    m_requestInProgress = true;
    m_input.clear();
    TcpConnection::Callbacks callbacks;
    callbacks.onClosed = [self](TcpCloseReason) {
        self->close(ServerCloseReason::AfterResponse);
    };
    m_connection->setCallbacks(std::move(callbacks));
    m_connection->setReading(true);
    m_connection->shutdownWrite();
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(lingerTimeout, [self] {
        self->m_timer = 0;
        self->close(ServerCloseReason::AfterResponse);
    });
}

void HttpServerConnection::closeWhenSent()
{
    if (m_connection->unsentBytes() == 0) {
        close(ServerCloseReason::AfterResponse);
        return;
    }
    // Until then the owner must know the connection: a process that ends would cut off the response.
    const Ptr self = shared_from_this();
    m_requestInProgress = true;
    TcpConnection::Callbacks callbacks;
    callbacks.onDrained = [self] {
        self->close(ServerCloseReason::AfterResponse);
    };
    callbacks.onClosed = [self](TcpCloseReason) {
        self->close(ServerCloseReason::PeerClosed);
    };
    m_connection->setCallbacks(std::move(callbacks));
}

void HttpServerConnection::closeIfIdle()
{
    if (!m_requestInProgress && !m_parser && m_input.empty() && !hasPendingBytes()) {
        close(ServerCloseReason::Stopped);
    }
}

bool HttpServerConnection::hasPendingBytes() const
{
    return m_connection->unsentBytes() > 0 || !m_connection->isIdle();
}

void HttpServerConnection::close(ServerCloseReason reason)
{
    const Ptr self = shared_from_this();
    m_closed = true;
    m_onPeerClosed = nullptr;
    m_onInterrupt = nullptr;
    m_onDrained = nullptr;
    m_loop.cancel(std::exchange(m_timer, 0));
    m_connection->close();
    if (const std::shared_ptr<const Hooks> hooks = std::exchange(m_hooks, nullptr)) {
        hooks->onClosed(self, reason);
    }
}

void HttpServerConnection::armTimer()
{
    const absl::Duration interval = std::min(m_limits.headerTimeout, m_limits.idleTimeout) / 2;
    m_timer = m_loop.after(interval, [self = shared_from_this()] { self->checkTimeouts(); });
}

void HttpServerConnection::checkTimeouts()
{
    m_timer = 0;
    if (!m_requestInProgress && hasPendingBytes()) {
        armTimer();
        return;
    }
    const absl::Duration elapsed = m_loop.now() - m_phaseStart;
    const bool isReadingHead = m_parser && m_parser->state() == ParseState::Head;
    // The client may rely on the limits of its last response, so lower ones apply from its next response on.
    const HttpServerLimits current = m_hooks->limits();
    if (!m_requestInProgress && isReadingHead && elapsed > std::max(m_limits.headerTimeout, current.headerTimeout)) {
        rejectRequest(ParseState::Head);
        return;
    }
    const absl::Duration idleTimeout = std::max(m_limits.idleTimeout, current.idleTimeout);
    if (!m_requestInProgress && elapsed > idleTimeout) {
        close(ServerCloseReason::IdleTimeout);
        return;
    }
    armTimer();
}

}
