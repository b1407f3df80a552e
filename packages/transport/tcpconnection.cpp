#include "transport/tcpconnection.h"

#include <cerrno>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Apricot {

namespace {

/// Interval at which the path of outstanding data is checked; less than any user timeout.
constexpr absl::Duration sendPathCheckInterval = absl::Milliseconds(500);

/// How long the system goes on sending what was written before an orderly close, to a peer that reads slowly.
constexpr absl::Duration closedUserTimeout = absl::Minutes(2);

void setOption(int descriptor, int level, int name, int value)
{
    setsockopt(descriptor, level, name, &value, sizeof(value));
}

}

TcpConnection::TcpConnection(EventLoop &loop, int descriptor, const TcpTimeouts &timeouts)
    : m_loop(loop)
    , m_descriptor(descriptor)
    , m_timeouts(timeouts)
    , m_sendPath(timeouts.userTimeout)
{
}

TcpConnection::~TcpConnection()
{
    closeDescriptor();
}

std::shared_ptr<TcpConnection> TcpConnection::connect(EventLoop &loop, const sockaddr_in &address, const TcpTimeouts &timeouts,
                                                      Callbacks callbacks)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    std::shared_ptr<TcpConnection> connection(new TcpConnection(loop, descriptor, timeouts));
    connection->setCallbacks(std::move(callbacks));
    if (descriptor < 0) {
        loop.post([connection] { connection->handleClosed(TcpCloseReason::NotConnected); });
        return connection;
    }
    connection->setOptions();
    const int rc = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    if (rc != 0 && errno != EINPROGRESS) {
        loop.post([connection] { connection->handleClosed(TcpCloseReason::NotConnected); });
        return connection;
    }
    connection->start(true);
    return connection;
}

std::shared_ptr<TcpConnection> TcpConnection::adopt(EventLoop &loop, int descriptor, const TcpTimeouts &timeouts)
{
    std::shared_ptr<TcpConnection> connection(new TcpConnection(loop, descriptor, timeouts));
    connection->m_isAccepted = true;
    connection->setOptions();
    connection->start(false);
    return connection;
}

void TcpConnection::setCallbacks(Callbacks callbacks)
{
    m_callbacks = std::make_shared<Callbacks>(std::move(callbacks));
}

void TcpConnection::setOptions() const
{
    setOption(m_descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(m_descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(m_descriptor, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(absl::ToInt64Seconds(m_timeouts.keepAliveIdle)));
    setOption(m_descriptor, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(absl::ToInt64Seconds(m_timeouts.keepAliveInterval)));
    setOption(m_descriptor, IPPROTO_TCP, TCP_KEEPCNT, m_timeouts.keepAliveProbes);
    setUserTimeout(m_timeouts.userTimeout);
}

void TcpConnection::setUserTimeout(absl::Duration timeout) const
{
    setOption(m_descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(absl::ToInt64Milliseconds(timeout)));
}

void TcpConnection::start(bool connecting)
{
    m_connecting = connecting;
    m_events = connecting ? EPOLLOUT : EPOLLIN | EPOLLRDHUP;
    m_loop.watch(m_descriptor, m_events, [self = shared_from_this()](std::uint32_t events) { self->handleEvents(events); });
}

void TcpConnection::handleEvents(std::uint32_t events)
{
    if (m_connecting) {
        finishConnect();
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        flush();
    }
    if (m_descriptor < 0 || (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) == 0) {
        return;
    }
    if (m_reading) {
        readOnce();
    } else if ((events & (EPOLLHUP | EPOLLERR)) != 0) {
        handleClosed(TcpCloseReason::Reset);
    } else if (m_isAccepted && (events & EPOLLRDHUP) != 0) {
        handleClosed(TcpCloseReason::ClosedByPeer);
    }
}

void TcpConnection::finishConnect()
{
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        handleClosed(TcpCloseReason::NotConnected);
        return;
    }
    m_connecting = false;
    const std::shared_ptr<TcpConnection> self = shared_from_this();
    const std::shared_ptr<Callbacks> callbacks = m_callbacks;
    if (callbacks->onConnected) {
        callbacks->onConnected();
    }
    if (m_descriptor >= 0) {
        flush();
        updateEvents();
    }
}

void TcpConnection::readOnce()
{
    const std::shared_ptr<TcpConnection> self = shared_from_this();
    std::vector<char> &buf = m_loop.scratchBuffer();
    const ssize_t n = recv(m_descriptor, buf.data(), buf.size(), 0);
    if (n > 0) {
        const std::shared_ptr<Callbacks> callbacks = m_callbacks;
        if (callbacks->onData) {
            callbacks->onData(std::string_view(buf.data(), static_cast<std::size_t>(n)));
        }
    } else if (n == 0) {
        handleClosed(m_isReset ? TcpCloseReason::Reset : TcpCloseReason::ClosedByPeer);
    } else if (errno != EAGAIN && errno != EINTR) {
        handleClosed(TcpCloseReason::Reset);
    }
}

void TcpConnection::write(std::string_view bytes)
{
    if (m_descriptor < 0 || m_closeAfterFlush) {
        return;
    }
    if (m_connecting || unsentBytes() > 0) {
        m_unsent.append(bytes);
        return;
    }
    const std::size_t sent = sendNow(bytes);
    if (sent < bytes.size()) {
        m_unsent.assign(bytes.substr(sent));
        m_unsentOffset = 0;
        m_lastBufferChange = m_loop.now();
        updateEvents();
    }
}

void TcpConnection::writeOwned(std::string bytes)
{
    if (m_descriptor < 0 || m_closeAfterFlush) {
        return;
    }
    if (unsentBytes() > 0) {
        m_unsent.append(bytes);
        return;
    }
    const std::size_t sent = m_connecting ? 0 : sendNow(bytes);
    if (sent < bytes.size()) {
        m_unsent = std::move(bytes);
        m_unsentOffset = sent;
        m_lastBufferChange = m_loop.now();
        updateEvents();
    }
}

std::size_t TcpConnection::sendNow(std::string_view bytes)
{
    const ssize_t n = send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
        // An epoll event follows. Handling the end here would run a callback while the caller is still writing.
        recordSendError(errno);
        return bytes.size();
    }
    const std::size_t sent = n > 0 ? static_cast<std::size_t>(n) : 0;
    recordSent(sent);
    return sent;
}

void TcpConnection::handleFailedFlush(int error)
{
    recordSendError(error);
    if (m_closeAfterFlush || !m_reading) {
        handleClosed(TcpCloseReason::Reset);
        return;
    }
    // What the peer sent before may still be read: it may be a complete answer.
    std::string().swap(m_unsent);
    m_unsentOffset = 0;
    updateEvents();
}

void TcpConnection::recordSendError(int error)
{
    // EPIPE: the peer had closed in order before, so all that it sent has arrived.
    m_isReset = m_isReset || error != EPIPE;
}

void TcpConnection::flush()
{
    while (m_descriptor >= 0 && unsentBytes() > 0) {
        const ssize_t n = send(m_descriptor, m_unsent.data() + m_unsentOffset, unsentBytes(), MSG_NOSIGNAL);
        if (n < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                handleFailedFlush(errno);
            }
            return;
        }
        m_unsentOffset += static_cast<std::size_t>(n);
        m_lastBufferChange = m_loop.now();
        recordSent(static_cast<std::size_t>(n));
    }
    if (m_descriptor < 0) {
        return;
    }
    const bool hadUnsentBytes = !m_unsent.empty();
    std::string().swap(m_unsent); // Idle connections hold no buffer.
    m_unsentOffset = 0;
    if (m_closeAfterFlush) {
        prepareOrderlyClose();
        closeDescriptor();
        return;
    }
    if (m_shutdownAfterFlush) {
        shutdown(m_descriptor, SHUT_WR);
    }
    updateEvents();
    const std::shared_ptr<Callbacks> callbacks = m_callbacks;
    if (hadUnsentBytes && callbacks->onDrained) {
        callbacks->onDrained();
    }
}

void TcpConnection::recordSent(std::size_t bytes)
{
    m_systemBytes += bytes;
    if (!m_mayHoldData) {
        m_mayHoldData = true;
        m_undeliveredSince = m_loop.now();
    }
    checkSendPathLater();
}

void TcpConnection::checkSendPathLater()
{
    if (m_sendPathTimer == 0) {
        m_sendPathTimer = m_loop.after(sendPathCheckInterval, [this] { checkSendPath(); });
    }
}

void TcpConnection::checkSendPath()
{
    const std::shared_ptr<TcpConnection> self = shared_from_this();
    m_sendPathTimer = 0;
    const bool isDead = readDelivery();
    const bool isAbandoned = m_closeAfterFlush && m_loop.now() - lastSendProgress() >= closedUserTimeout;
    if (isDead || isAbandoned) {
        setResetOnClose();
        handleClosed(TcpCloseReason::Reset);
        return;
    }
    if (m_mayHoldData) {
        checkSendPathLater();
    }
    const std::shared_ptr<Callbacks> callbacks = m_callbacks;
    if (callbacks->onDeliveryChecked) {
        callbacks->onDeliveryChecked();
    }
}

void TcpConnection::refreshDelivery(absl::Duration maxAge)
{
    if (m_mayHoldData && m_loop.now() - m_lastDeliveryRead >= maxAge) {
        readDelivery(); // A dead path is noticed at the next check.
    }
}

bool TcpConnection::readDelivery()
{
    m_lastDeliveryRead = m_loop.now();
    const std::optional<SendState> state = readSendState(m_descriptor);
    m_systemBytes = state ? state->outstandingBytes : 0;
    const bool isDead = state && m_sendPath.update(*state, m_loop.now());
    if (state) {
        updateUserTimeout(*state);
    }
    if (!state || !state->hasOutstandingData) {
        m_mayHoldData = false;
    }
    return isDead;
}

void TcpConnection::updateUserTimeout(const SendState &state)
{
    // The system counts the time in which the window of the peer is closed, although the peer answers. From then on until all data is
    // acknowledged, only the check of the path limits the time without an answer.
    const bool isWindowClosed = state.hasOutstandingData && !state.awaitsAcknowledgement;
    if (m_hasUserTimeout ? isWindowClosed : !state.hasOutstandingData) {
        m_hasUserTimeout = !m_hasUserTimeout;
        setUserTimeout(m_hasUserTimeout ? m_timeouts.userTimeout : absl::ZeroDuration());
    }
}

void TcpConnection::updateEvents()
{
    if (m_connecting || m_descriptor < 0) {
        return;
    }
    const std::uint32_t wanted
        = (m_reading ? EPOLLIN : 0U) | (m_reading || m_isAccepted ? EPOLLRDHUP : 0U) | (unsentBytes() > 0 ? EPOLLOUT : 0U);
    if (wanted != m_events) {
        m_events = wanted;
        m_loop.changeEvents(m_descriptor, wanted);
    }
}

bool TcpConnection::isIdle() const
{
    char byte = 0;
    return m_descriptor >= 0 && recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

bool TcpConnection::isClosedByPeer() const
{
    char byte = 0;
    const ssize_t n = m_descriptor < 0 ? 1 : recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno == ECONNRESET);
}

void TcpConnection::setReading(bool reading)
{
    m_reading = reading;
    updateEvents();
}

void TcpConnection::setSystemBuffers(int bytes) const
{
    setOption(m_descriptor, SOL_SOCKET, SO_RCVBUF, bytes);
    setOption(m_descriptor, SOL_SOCKET, SO_SNDBUF, bytes);
}

sockaddr_in TcpConnection::peerAddress() const
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    if (m_descriptor < 0 || getpeername(m_descriptor, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        return sockaddr_in{};
    }
    return address;
}

void TcpConnection::close()
{
    if (m_descriptor < 0) {
        return;
    }
    m_callbacks = std::make_shared<Callbacks>();
    if (unsentBytes() == 0 || m_connecting) {
        prepareOrderlyClose();
        closeDescriptor();
        return;
    }
    m_closeAfterFlush = true;
}

void TcpConnection::prepareOrderlyClose() const
{
    if (m_isAccepted && m_mayHoldData) {
        setUserTimeout(closedUserTimeout);
    }
}

void TcpConnection::setResetOnClose() const
{
    const linger reset{1, 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

void TcpConnection::shutdownWrite()
{
    m_shutdownAfterFlush = true;
    if (m_descriptor >= 0 && !m_connecting && unsentBytes() == 0) {
        shutdown(m_descriptor, SHUT_WR);
    }
}

void TcpConnection::abort()
{
    if (m_descriptor < 0) {
        return;
    }
    m_callbacks = std::make_shared<Callbacks>();
    setResetOnClose();
    closeDescriptor();
}

void TcpConnection::handleClosed(TcpCloseReason reason)
{
    const std::shared_ptr<TcpConnection> self = shared_from_this();
    const std::shared_ptr<Callbacks> callbacks = std::exchange(m_callbacks, std::make_shared<Callbacks>());
    closeDescriptor();
    if (callbacks->onClosed) {
        callbacks->onClosed(reason);
    }
}

void TcpConnection::closeDescriptor()
{
    if (m_descriptor >= 0) {
        m_loop.cancel(std::exchange(m_sendPathTimer, 0));
        const int descriptor = std::exchange(m_descriptor, -1);
        m_loop.unwatch(descriptor);
        ::close(descriptor);
    }
}

}
