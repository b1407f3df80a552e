#pragma once

#include "transport/eventloop.h"
#include "transport/sendpath.h"

#include <absl/time/time.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <string_view>

namespace Apricot {

/// How a TCP connection ended, if not by close() or abort().
enum class TcpCloseReason {
    NotConnected, ///< it was never established, so no data was sent
    ClosedByPeer, ///< orderly close by the peer
    Reset, ///< reset by the peer, or a TCP timeout
};

/// TCP timeouts that detect a dead peer or network path.
struct TcpTimeouts
{
    absl::Duration keepAliveIdle = absl::Seconds(1); ///< idle time before the first keep-alive probe, in whole seconds
    absl::Duration keepAliveInterval = absl::Seconds(1); ///< interval between keep-alive probes, in whole seconds
    int keepAliveProbes = 2; ///< number of unanswered probes that end the connection
    absl::Duration userTimeout = absl::Seconds(3); ///< maximum time that sent data may stay unacknowledged; not limited while the peer
                                                   ///< acknowledges what it gets, but reads slowly or has closed its window
};

/**
 * \class TcpConnection
 * \brief A non-blocking TCP connection on one EventLoop.
 *
 * Callbacks run on the loop's thread. None of them runs after close(), abort() or onClosed.
 */
class TcpConnection : public std::enable_shared_from_this<TcpConnection>
{
public:
    struct Callbacks
    {
        std::function<void()> onConnected;
        std::function<void(std::string_view)> onData;
        std::function<void()> onDrained; ///< all data that write() had to buffer has been handed to the system
        std::function<void()> onDeliveryChecked; ///< the system has told what it still holds for the peer; \see mayHaveUndeliveredBytes()
        std::function<void(TcpCloseReason)> onClosed;
    };

    /// Starts to connect to \a address. onConnected or onClosed reports the result later, unless close() or abort() is called
    /// before.
    static std::shared_ptr<TcpConnection> connect(EventLoop &loop, const sockaddr_in &address, const TcpTimeouts &timeouts,
                                                  Callbacks callbacks);

    /// Takes ownership of a connected \a descriptor. The callbacks are set with setCallbacks().
    static std::shared_ptr<TcpConnection> adopt(EventLoop &loop, int descriptor, const TcpTimeouts &timeouts);

    ~TcpConnection();

    TcpConnection(const TcpConnection &) = delete;
    TcpConnection &operator=(const TcpConnection &) = delete;

    void setCallbacks(Callbacks callbacks);

    /// Sends \a bytes; buffers those that the system does not accept immediately.
    void write(std::string_view bytes);

    /// Returns the number of buffered bytes that were not yet handed to the system.
    std::size_t unsentBytes() const
    {
        return m_unsent.size() - m_unsentOffset;
    }

    /// Sends \a bytes like write(), and buffers them without another copy.
    void writeOwned(std::string bytes);

    /// Returns the size of the buffer that holds them, which is larger while it is being sent.
    std::size_t bufferedBytes() const
    {
        return m_unsent.capacity();
    }

    /// Pauses or resumes reading. An accepted connection detects a close by the peer even while reading is paused.
    void setReading(bool reading);

    /// When the peer last acknowledged data, as of some hundred milliseconds ago, or the system last took buffered bytes; not earlier than
    /// the time from which bytes are undelivered.
    absl::Time lastSendProgress() const
    {
        return std::max({m_lastBufferChange, m_undeliveredSince, m_sendPath.lastProgress()});
    }

    /// Whether bytes that were written may not have reached the peer: they are buffered, or the system was not seen to hold none. A system
    /// that does not tell what it holds counts as holding none some hundred milliseconds after the last write().
    bool mayHaveUndeliveredBytes() const
    {
        return unsentBytes() > 0 || m_mayHoldData;
    }

    /// Bytes that the system holds until the peer acknowledges them: those known of at the last check, and all that were handed to it
    /// since.
    std::size_t systemBytes() const
    {
        return m_systemBytes;
    }

    /// Asks the system what it still holds for the peer, unless it was asked within \a maxAge. Runs no callback; onDeliveryChecked runs
    /// some hundred milliseconds later.
    void refreshDelivery(absl::Duration maxAge);

    /// Limits what the system buffers for this connection in each direction, in bytes.
    void setSystemBuffers(int bytes) const;

    /// The IPv4 address and the port of the peer; zero if it is not known.
    sockaddr_in peerAddress() const;

    /// Closes the connection in order after the buffered bytes were sent.
    void close();

    /// Shuts down the sending side after the buffered bytes were sent. Data from the peer is still received until close().
    void shutdownWrite();

    /// Resets the connection, so that the peer cannot mistake incomplete data for complete data.
    void abort();

    bool isOpen() const
    {
        return m_descriptor >= 0;
    }

    /// Whether the connection is open and there is nothing to read, neither data nor the end of the stream.
    bool isIdle() const;

    /// Whether the peer has closed or reset the connection, and all data before that has been read.
    bool isClosedByPeer() const;

private:
    TcpConnection(EventLoop &loop, int descriptor, const TcpTimeouts &timeouts);

    void setOptions() const;
    void setUserTimeout(absl::Duration timeout) const;
    void prepareOrderlyClose() const;
    void setResetOnClose() const;
    void start(bool connecting);
    void handleEvents(std::uint32_t events);
    void finishConnect();
    /// Reads once, so that a peer that sends fast does not keep the loop from its timers and other descriptors. The loop calls again
    /// while there is more.
    void readOnce();
    /// Records the error of a send. The system reports a reset once: if a send gets it, reading ends as if the peer had closed in order.
    void recordSendError(int error);
    /// Hands bytes to the system; returns how many need not be buffered.
    std::size_t sendNow(std::string_view bytes);
    void flush();
    void handleFailedFlush(int error);
    void updateEvents();
    /// Records that the system has taken \a bytes to send.
    void recordSent(std::size_t bytes);
    void checkSendPathLater();
    void checkSendPath();
    /// Reads what the system holds for the peer; returns whether the path to it is dead.
    bool readDelivery();
    /// Lets the system limit the time of unacknowledged data, except while the peer answers probes of its closed window.
    void updateUserTimeout(const SendState &state);
    void handleClosed(TcpCloseReason reason);
    void closeDescriptor();

    EventLoop &m_loop;
    int m_descriptor;
    TcpTimeouts m_timeouts;
    bool m_connecting = false;
    bool m_reading = true;
    bool m_closeAfterFlush = false;
    bool m_shutdownAfterFlush = false; ///< the sending side is shut down once all bytes are sent
    std::uint32_t m_events = 0;
    std::string m_unsent;
    std::size_t m_unsentOffset = 0;
    absl::Time m_lastBufferChange = absl::InfinitePast(); ///< when the system last took buffered bytes, or bytes were buffered after none
    SendPathMonitor m_sendPath;
    bool m_mayHoldData = false; ///< the system was handed data and was not seen to hold none since
    TimerId m_sendPathTimer = 0; ///< runs while that is so, and once after
    absl::Time m_undeliveredSince = absl::InfinitePast(); ///< when it was last handed data while it held none
    absl::Time m_lastDeliveryRead = absl::InfinitePast();
    std::size_t m_systemBytes = 0;
    bool m_hasUserTimeout = true; ///< the system limits the time of unacknowledged data
    bool m_isReset = false; ///< a send has got the report of a reset
    bool m_isAccepted = false; ///< the peer opened it; its disconnect is detected while reading is paused
    std::shared_ptr<Callbacks> m_callbacks; ///< copied before a callback runs, because the callback may replace them
};

}
