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

/// How a TCP connection ended, as its other side or the network showed it.
enum class TcpEnd {
    NotConnected, ///< it was never established: no byte of ours was taken
    Finished, ///< the other side closed it in order
    Reset, ///< it was reset, or the network gave it up
};

/// How soon a silent path is given up.
struct TcpTimes
{
    absl::Duration keepAliveIdle = absl::Seconds(1); ///< silence before the first probe, whole seconds
    absl::Duration keepAliveInterval = absl::Seconds(1); ///< between probes, whole seconds
    int keepAliveProbes = 2; ///< unanswered probes that end the connection
    absl::Duration unacknowledged = absl::Seconds(3); ///< longest age of bytes that the other side has not acknowledged
};

/**
 * \class TcpConnection
 * \brief A non-blocking TCP connection of one EventLoop.
 *
 * Callbacks run on the loop's thread; none runs after close(), abort() or the end.
 */
class TcpConnection : public std::enable_shared_from_this<TcpConnection>
{
public:
    struct Callbacks
    {
        std::function<void()> connected;
        std::function<void(std::string_view)> data;
        std::function<void()> drained; ///< what write() had to keep has been handed to the system
        std::function<void(TcpEnd)> ended;
    };

    /// Starts to connect to \a address.
    static std::shared_ptr<TcpConnection> connect(EventLoop &loop, const sockaddr_in &address, const TcpTimes &times, Callbacks callbacks);

    /// Takes over a connected \a descriptor. Callbacks follow with setCallbacks().
    static std::shared_ptr<TcpConnection> adopt(EventLoop &loop, int descriptor, const TcpTimes &times);

    ~TcpConnection();

    TcpConnection(const TcpConnection &) = delete;
    TcpConnection &operator=(const TcpConnection &) = delete;

    void setCallbacks(Callbacks callbacks);

    /// Sends \a bytes, or keeps what the system does not take at once.
    void write(std::string_view bytes);

    /// Bytes that wait for the other side to read.
    std::size_t unsentBytes() const
    {
        return m_unsent.size() - m_unsentOffset;
    }

    /// Stops and resumes reading. The end of an adopted connection is noticed all the same.
    void setReading(bool reading);

    /// Closes in order, after the bytes that still wait were sent.
    void close();

    /// Sends what waits and the end of our side. What the other side still sends goes to the callbacks until close().
    void finishWriting();

    /// Ends the connection with a reset, so that the other side cannot take what it got for complete.
    void abort();

    bool isOpen() const
    {
        return m_descriptor >= 0;
    }

    /// Whether the connection is open and nothing has come that was not read: neither bytes nor an end.
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
    bool m_finishing = false; ///< our side ends once all is sent
    std::uint32_t m_events = 0;
    std::string m_unsent;
    std::size_t m_unsentOffset = 0;
    bool m_endsWhilePaused = false; ///< an end is told even while nothing is read: a caller that left
    std::shared_ptr<Callbacks> m_callbacks; ///< held by whoever runs one, as the callback may replace them
};

}
