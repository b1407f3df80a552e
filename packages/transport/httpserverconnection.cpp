#include "transport/httpserverconnection.h"

#include "transport/socketaddress.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Reading stops when this many bytes of further requests are buffered while a request is in progress.
constexpr std::size_t maxPipelinedInputBytes = 64 * 1024;

/// What the system buffers for a connection in each direction. Unread input and unsent responses of many clients would otherwise grow
/// to megabytes each.
constexpr int systemBufferBytes = 128 * 1024;

/// An owner learns of the part of a stream that has not reached the client when it has grown by this much.
constexpr std::size_t minReportedBytes = 16 * 1024;

/// The system is asked again after this time how much it holds, before that is reported.
constexpr absl::Duration maxDeliveryAge = absl::Milliseconds(50);

/// Memory of a connection without any buffer: its objects, callbacks and timer.
constexpr std::size_t baseBytes = 4096;

/// Copies of a body that exist while its request is sent to an engine: the received one and the encoded one.
constexpr std::size_t bodyCopies = 2;

}

HttpServerConnection::HttpServerConnection(EventLoop &loop, std::shared_ptr<TcpConnection> connection, std::shared_ptr<const Hooks> hooks)
    : m_loop(loop)
    , m_connection(std::move(connection))
    , m_hooks(std::move(hooks))
    , m_limits(m_hooks->limits())
    , m_peerAddress(m_connection->peerAddress())
    , m_phaseStart(loop.now())
    , m_lastProgress(loop.now())
{
    m_connection->setSystemBuffers(systemBufferBytes);
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
        self->handleDrained();
    };
    callbacks.onDeliveryChecked = [self] {
        self->handleDeliveryChecked();
    };
    m_connection->setCallbacks(std::move(callbacks));
    armTimer();
    requestPermission(false);
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
    } else if (!m_closed && hasCompletedResponse() && m_connection->unsentBytes() == 0 && !hasUnreadBytes()) {
        close(ServerCloseReason::Stopped);
    }
}

void HttpServerConnection::setDrainedHandler(std::function<void()> onDrained)
{
    m_onDrained = std::move(onDrained);
}

void HttpServerConnection::handleData(std::string_view bytes)
{
    const Ptr self = shared_from_this();
    m_lastProgress = m_loop.now();
    m_input.append(bytes);
    if (!m_requestInProgress) {
        readRequests();
    }
    if (m_closed || m_isEnding) {
        return;
    }
    if (m_input.empty()) {
        std::string().swap(m_input); // Idle connections hold no buffer.
    }
    if (m_input.size() >= maxPipelinedInputBytes) {
        m_connection->setReading(false);
    }
    requestPermission(false);
}

void HttpServerConnection::readRequests()
{
    const Ptr self = shared_from_this();
    // A client that does not read its responses must not make them pile up, so the next request waits until they are sent.
    while (!m_closed && !m_requestInProgress && !m_input.empty() && m_connection->unsentBytes() == 0) {
        if (!m_parser) {
            beginRequest();
        }
        const std::size_t used = m_parser->feed(m_input);
        m_input.erase(0, used);
        const ParseState state = m_parser->state();
        if (state != ParseState::Head && state != ParseState::Body && state != ParseState::Done) {
            rejectRequest(state);
            return;
        }
        if (m_parser->hasHead() && !m_isHeadReported) {
            m_isHeadReported = true;
            requestPermission(true);
        }
        if (m_requestInProgress || m_closed) {
            return;
        }
        if (state == ParseState::Done) {
            dispatchRequest();
        } else if (used == 0) {
            return;
        }
    }
}

void HttpServerConnection::handleDrained()
{
    const Ptr self = shared_from_this();
    m_lastProgress = m_loop.now();
    if (const std::function<void()> onDrained = m_onDrained) {
        onDrained();
    }
    if (m_closed) {
        return;
    }
    if (m_requestInProgress) {
        requestPermission(false);
    } else {
        continueReading();
    }
}

void HttpServerConnection::handleDeliveryChecked()
{
    updateIdleStart();
    requestPermission(false);
}

void HttpServerConnection::updateIdleStart()
{
    if (m_awaitsDelivery && !m_requestInProgress && !m_parser && !m_connection->mayHaveUndeliveredBytes()) {
        m_awaitsDelivery = false;
        m_phaseStart = std::max(m_phaseStart, m_connection->lastSendProgress());
    }
}

void HttpServerConnection::continueReading()
{
    if (!m_isPaused) {
        m_connection->setReading(true);
    }
    readRequests();
    if (!m_closed && !m_isEnding) {
        requestPermission(false);
    }
}

ConnectionPhase HttpServerConnection::phase() const
{
    if (m_requestInProgress && !m_isEnding) {
        return ConnectionPhase::Responding;
    }
    if (!m_isEnding && (m_parser || m_closesAfterResponse)) {
        return ConnectionPhase::Receiving;
    }
    return m_connection->mayHaveUndeliveredBytes() ? ConnectionPhase::Sending : ConnectionPhase::Idle;
}

std::size_t HttpServerConnection::heldBytes() const
{
    return baseBytes + m_input.capacity() + (m_parser ? m_parser->heldBytes() : 0) + m_requestBytes + m_connection->bufferedBytes();
}

std::string HttpServerConnection::peerAddressText() const
{
    return socketAddressText(m_peerAddress);
}

bool HttpServerConnection::requestPermission(bool isNewRequest)
{
    if (!m_hooks) {
        return false;
    }
    const Ptr self = shared_from_this();
    const std::size_t unsent = m_connection->unsentBytes();
    if (unsent < m_lastUnsentBytes) {
        m_lastProgress = m_loop.now();
    }
    m_lastUnsentBytes = unsent;
    if (m_connection->systemBytes() >= minReportedBytes) {
        m_connection->refreshDelivery(maxDeliveryAge);
    }
    m_lastSystemBytes = m_connection->systemBytes();
    ConnectionUse use;
    use.phase = phase();
    use.bytes = heldBytes();
    use.systemBytes = m_lastSystemBytes;
    use.peerAddress = m_peerAddress.sin_addr.s_addr;
    use.lastProgress = std::max(m_lastProgress, m_connection->lastSendProgress());
    use.isHeldBack = m_isPaused && !m_connection->isIdle();
    use.hasCompletedRequest = m_hasCompletedRequest;
    use.isNewRequest = isNewRequest;
    const ReadPermission permission = m_hooks->onUse(self, use);
    if (m_isEnding || m_requestInProgress || m_closed) {
        return true; // What is read meanwhile is bounded.
    }
    if (permission == ReadPermission::Refuse && m_parser && m_parser->hasHead()) {
        refuseRequest();
        return false;
    }
    const bool pauses = permission != ReadPermission::Read;
    if (pauses && !m_isPaused) {
        m_connection->setReading(false);
    } else if (!pauses && m_isPaused) {
        m_lastProgress = use.isHeldBack ? m_loop.now() : m_lastProgress; // The client gets the usual time to go on.
        m_connection->setReading(m_input.size() < maxPipelinedInputBytes);
    }
    m_isPaused = pauses;
    return !pauses;
}

void HttpServerConnection::reviewUse()
{
    if (!m_closed) {
        m_connection->refreshDelivery(maxDeliveryAge);
        updateIdleStart();
        requestPermission(false);
    }
}

void HttpServerConnection::reviewDelivery()
{
    if (m_closed || !m_awaitsDelivery || !hasCompletedResponse()) {
        return;
    }
    m_connection->refreshDelivery(maxDeliveryAge);
    if (!m_connection->mayHaveUndeliveredBytes()) {
        updateIdleStart();
        requestPermission(false);
        if (m_isEnding) {
            closeIfDelivered();
        }
    }
}

void HttpServerConnection::reportGrowth()
{
    const std::size_t undelivered = m_connection->unsentBytes() + m_connection->systemBytes();
    if (undelivered > m_lastUnsentBytes + m_lastSystemBytes + minReportedBytes) {
        requestPermission(false);
    }
}

void HttpServerConnection::beginRequest()
{
    m_awaitsDelivery = false;
    m_phaseStart = m_loop.now();
    m_isHeadReported = false;
    m_parser.emplace(m_hooks->limits().parse);
}

HttpRequestHead HttpServerConnection::endReading()
{
    HttpRequestHead head = m_parser->head();
    m_responseHasNoBody = head.method == "HEAD";
    m_parser.reset();
    std::string().swap(m_input);
    m_requestInProgress = true;
    m_requestKeepsAlive = false;
    m_hasUnreadInput = true;
    return head;
}

void HttpServerConnection::rejectRequest(ParseState state)
{
    const HttpRequestHead head = endReading();
    m_hooks->onMalformed(shared_from_this(), state, head);
}

void HttpServerConnection::refuseRequest()
{
    const HttpRequestHead head = endReading();
    m_hooks->onRefused(shared_from_this(), head);
}

void HttpServerConnection::dispatchRequest()
{
    HttpRequestHead head = m_parser->head();
    std::string body = m_parser->takeBody();
    m_requestBytes = m_parser->heldBytes() + bodyCopies * body.size();
    m_responseHasNoBody = head.method == "HEAD";
    if (!requestPermission(true) && m_requestInProgress) {
        return; // It was refused: a request that runs needs more memory than one that is received.
    }
    m_parser.reset();
    m_isPaused = false;
    m_connection->setReading(m_input.size() < maxPipelinedInputBytes); // The end of the connection must be noticed from now on.
    m_hasCompletedRequest = true;
    m_requestKeepsAlive = head.keepAlive && !m_closesAfterResponse;
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
    m_connection->writeOwned(encodeHttpResponse(head, body, !m_responseHasNoBody));
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
    reportGrowth();
}

void HttpServerConnection::sendChunk(std::string_view part)
{
    if (!part.empty()) {
        m_connection->write(encodeChunk(part));
    }
    reportGrowth();
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
    m_requestBytes = 0;
    m_onPeerClosed = nullptr;
    m_onInterrupt = nullptr;
    m_onDrained = nullptr;
    m_phaseStart = m_loop.now();
    m_lastProgress = m_loop.now();
    m_limits = m_hooks->limits();
    m_awaitsDelivery = true;
    if (m_hasUnreadInput) {
        closeAfterDiscardingInput();
        return;
    }
    if (!m_requestKeepsAlive) {
        closeWhenDelivered();
        return;
    }
    m_connection->setReading(m_input.size() < maxPipelinedInputBytes);
    requestPermission(false);
    if (!m_input.empty()) {
        m_loop.post([self = shared_from_this()] {
            if (!self->m_closed && !self->m_requestInProgress) {
                self->continueReading();
            }
        });
    }
}

}
