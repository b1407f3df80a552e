#pragma once

#include "transport/eventloop.h"

#include <absl/time/time.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <string_view>

namespace Apricot {

/// How a TCP connection ended, if not by close() or abort().
enum class TcpEnd {
    NotConnected, ///< it was never established, so no data was sent
    Finished, ///< orderly close by the peer
    Reset, ///< reset by the peer, or a TCP timeout
};

/// TCP timeouts that detect a dead peer or network path.
struct TcpTimes
{
    absl::Duration keepAliveIdle = absl::Seconds(1); ///< idle time before the first keep-alive probe, in whole seconds
    absl::Duration keepAliveInterval = absl::Seconds(1); ///< interval between keep-alive probes, in whole seconds
    int keepAliveProbes = 2; ///< number of unanswered probes that end the connection
    absl::Duration unacknowledged = absl::Seconds(3); ///< maximum time that sent data may stay unacknowledged
};

/**
 * \class TcpConnection
 * \brief A non-blocking TCP connection on one EventLoop.
 *
 * Callbacks run on the loop's thread. None of them runs after close(), abort() or the ended callback.
 */
class TcpConnection : public std::enable_shared_from_this<TcpConnection>
{
public:
    struct Callbacks
    {
        std::function<void()> connected;
        std::function<void(std::string_view)> data;
        std::function<void()> drained; ///< all data that write() had to buffer has been handed to the system
        std::function<void(TcpEnd)> ended;
    };

    /// Starts to connect to \a address. Either connected or ended runs later.
    static std::shared_ptr<TcpConnection> connect(EventLoop &loop, const sockaddr_in &address, const TcpTimes &times, Callbacks callbacks);

    /// Takes ownership of a connected \a descriptor. The callbacks are set with setCallbacks().
    static std::shared_ptr<TcpConnection> adopt(EventLoop &loop, int descriptor, const TcpTimes &times);

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

    /// Pauses or resumes reading. An accepted connection detects a close by the peer even while reading is paused.
    void setReading(bool reading);

    /// Closes the connection in order after the buffered bytes were sent.
    void close();

    /// Shuts down the sending side after the buffered bytes were sent. Data from the peer is still received until close().
    void finishWriting();

    /// Resets the connection, so that the peer cannot mistake incomplete data for complete data.
    void abort();

    bool isOpen() const
    {
        return m_descriptor >= 0;
    }

    /// Whether the connection is open and there is nothing to read, neither data nor the end of the stream.
    bool isQuiet() const;

private:
    TcpConnection(EventLoop &loop, int descriptor);

    void setOptions(const TcpTimes &times) const;
    void start(bool connecting);
    void ready(std::uint32_t events);
    void finishConnect();
    void readAvailable();
    void flush();
    void updateEvents();
    void end(TcpEnd how);
    void release();

    EventLoop &m_loop;
    int m_descriptor;
    bool m_connecting = false;
    bool m_reading = true;
    bool m_closing = false;
    bool m_finishing = false; ///< the sending side is shut down once all bytes are sent
    std::uint32_t m_events = 0;
    std::string m_unsent;
    std::size_t m_unsentOffset = 0;
    bool m_endsWhilePaused = false; ///< a close by the peer is reported while reading is paused, to detect a client that disconnected
    std::shared_ptr<Callbacks> m_callbacks; ///< copied before a callback runs, because the callback may replace them
};

}
