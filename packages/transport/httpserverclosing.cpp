// How an HttpServerConnection ends: timeouts, planned stops, and closing without the loss of a response that the system still sends.
#include "transport/httpserverconnection.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// How long the remaining input of a client is read and discarded after the last response; longer while the response is on its way.
constexpr absl::Duration lingerTimeout = absl::Seconds(2);

/// How many bytes of it at most: as much as a body within usual limits.
constexpr std::size_t maxDiscardedBytes = 4 << 20;

/// A client that takes nothing of a response for a shorter time has not stopped reading, however low the idle timeout is.
constexpr absl::Duration minReadTimeout = absl::Seconds(3);

}

void HttpServerConnection::evict()
{
    if (m_parser && m_parser->hasHead() && !m_requestInProgress) {
        refuseRequest();
    } else if (!m_closed) {
        abortAsPeerClosed();
    }
}

void HttpServerConnection::closeForAnother()
{
    if (m_closed || !hasCompletedResponse() || isDelivering()) {
        return;
    }
    if (m_isEnding) {
        close(ServerCloseReason::AfterResponse);
    } else if (m_parser && m_parser->hasHead()) {
        refuseRequest();
    } else if (hasUnreadBytes()) {
        m_closesAfterResponse = true; // Closing now would reset the connection, and the request may have been sent before.
    } else {
        close(ServerCloseReason::Replaced);
    }
}

void HttpServerConnection::abortAsPeerClosed()
{
    m_connection->abort();
    handlePeerClosed();
}

void HttpServerConnection::handlePeerClosed(ServerCloseReason reason)
{
    const std::function<void()> onPeerClosed = std::exchange(m_onPeerClosed, nullptr);
    m_closed = true;
    if (onPeerClosed) {
        onPeerClosed();
    }
    close(reason);
}

void HttpServerConnection::closeNow()
{
    if (m_closed) {
        return;
    }
    if (hasCompletedResponse() && m_connection->unsentBytes() == 0) {
        close(ServerCloseReason::Stopped);
    } else {
        abortAsPeerClosed();
    }
}

void HttpServerConnection::beginClosing()
{
    // Until the end the owner must know the connection: a process that ends would cut off the response.
    const Ptr self = shared_from_this();
    m_requestInProgress = true;
    m_isEnding = true;
    std::string().swap(m_input);
    requestPermission(false);
    TcpConnection::Callbacks callbacks;
    callbacks.onData = [self](std::string_view bytes) {
        self->discardInput(bytes.size());
    };
    callbacks.onClosed = [self](TcpCloseReason) {
        const bool hasSentAll = self->m_connection->unsentBytes() == 0;
        self->close(hasSentAll ? ServerCloseReason::AfterResponse : ServerCloseReason::PeerClosed);
    };
    callbacks.onDrained = [self] {
        self->closeIfDelivered();
    };
    callbacks.onDeliveryChecked = [self] {
        self->requestPermission(false);
        self->closeIfDelivered();
    };
    m_connection->setCallbacks(std::move(callbacks));
    m_connection->setReading(true);
}

void HttpServerConnection::discardInput(std::size_t bytes)
{
    m_discardedBytes += bytes;
    if (m_discardedBytes > maxDiscardedBytes) {
        m_connection->setReading(false);
    }
}

void HttpServerConnection::closeAfterDiscardingInput()
{
    // Closing a socket with unread input resets the connection, which could destroy the response before the client has read it.
    beginClosing();
    m_connection->shutdownWrite();
    m_loop.cancel(m_timer);
    armLingerTimer();
}

void HttpServerConnection::armLingerTimer()
{
    m_timer = m_loop.after(lingerTimeout, [self = shared_from_this()] {
        self->m_timer = 0;
        if (self->hasStoppedReading()) {
            self->m_connection->abort();
            self->close(ServerCloseReason::IdleTimeout);
        } else if (self->isDelivering()) {
            self->armLingerTimer();
        } else {
            self->close(ServerCloseReason::AfterResponse);
        }
    });
}

void HttpServerConnection::closeWhenDelivered()
{
    if (!isDelivering()) {
        close(ServerCloseReason::AfterResponse);
        return;
    }
    beginClosing();
}

void HttpServerConnection::closeIfDelivered()
{
    if (!m_closed && !m_hasUnreadInput && !isDelivering()) {
        close(ServerCloseReason::AfterResponse);
    }
}

void HttpServerConnection::closeIfIdle()
{
    if (!m_requestInProgress && !m_parser && m_input.empty() && !isDelivering() && !hasUnreadBytes()) {
        close(ServerCloseReason::Stopped);
    }
}

bool HttpServerConnection::hasUnreadBytes() const
{
    return !m_connection->isIdle();
}

bool HttpServerConnection::isDelivering()
{
    m_connection->refreshDelivery(absl::ZeroDuration());
    updateIdleStart();
    return m_connection->mayHaveUndeliveredBytes();
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

bool HttpServerConnection::hasStoppedReading() const
{
    const absl::Duration timeout = std::max({m_limits.idleTimeout, m_hooks->limits().idleTimeout, minReadTimeout});
    return m_connection->mayHaveUndeliveredBytes() && m_loop.now() - m_connection->lastSendProgress() > timeout;
}

void HttpServerConnection::armTimer()
{
    const absl::Duration interval = std::min(m_limits.headerTimeout, m_limits.idleTimeout) / 2;
    m_timer = m_loop.after(interval, [self = shared_from_this()] { self->checkTimeouts(); });
}

void HttpServerConnection::checkTimeouts()
{
    m_timer = 0;
    if (hasStoppedReading()) {
        m_connection->abort();
        handlePeerClosed(ServerCloseReason::IdleTimeout);
        return;
    }
    const absl::Duration elapsed = m_loop.now() - m_phaseStart;
    if (!m_requestInProgress && m_parser && elapsed > std::max(m_limits.receiveTimeout, m_hooks->limits().receiveTimeout)) {
        rejectRequest(ParseState::Head);
        return;
    }
    if (!m_requestInProgress && (m_connection->mayHaveUndeliveredBytes() || hasUnreadBytes())) {
        armTimer();
        return;
    }
    const bool isReadingHead = m_parser && m_parser->state() == ParseState::Head;
    // The client may rely on the limits of its last response, so lower ones apply from its next response on.
    const HttpServerLimits current = m_hooks->limits();
    if (!m_requestInProgress && isReadingHead && elapsed > std::max(m_limits.headerTimeout, current.headerTimeout)) {
        rejectRequest(ParseState::Head);
        return;
    }
    const absl::Duration idleTimeout = std::max(m_limits.idleTimeout, current.idleTimeout);
    if (!m_requestInProgress && m_parser && elapsed > idleTimeout) {
        rejectRequest(ParseState::Head);
        return;
    }
    if (!m_requestInProgress && elapsed > idleTimeout) {
        close(ServerCloseReason::IdleTimeout);
        return;
    }
    armTimer();
}

}
