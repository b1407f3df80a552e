#pragma once

#include "transport/eventloop.h"
#include "transport/httpparser.h"
#include "transport/tcpconnection.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Apricot {

/// Size and time limits for requests.
struct HttpServerLimits
{
    ParseLimits parse;
    absl::Duration headerTimeout = absl::Seconds(10); ///< maximum time to receive the whole head of a request
    absl::Duration idleTimeout = absl::Seconds(30); ///< maximum time between requests, and to receive a whole request
};

/// Why the connection of a client was closed.
enum class ServerCloseReason {
    PeerClosed, ///< the client disconnected
    AfterResponse, ///< closed after a response, as the client or the owner wanted
    IdleTimeout, ///< no whole request was received within the idle timeout
    Stopped, ///< the listener stopped while the connection was idle
    Aborted, ///< reset to end an incomplete response
};

/**
 * \class HttpServerConnection
 * \brief Server side of one HTTP connection. Reads one request at a time and writes its response.
 *
 * A connection with a request in progress is not closed before the response was sent, unless the client disconnects.
 */
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    using Ptr = std::shared_ptr<HttpServerConnection>;

    /// Callbacks to the owner. They run on the loop's thread.
    struct Hooks
    {
        std::function<HttpServerLimits()> limits; ///< returns the current limits

        /// Handles a complete request. The owner must call one of respond(), endStream() and abort(), now or later.
        std::function<void(const Ptr &, HttpRequestHead, std::string body)> onRequest;

        /// Handles a malformed, oversized or late request, whose head is empty if it could not be parsed. It needs a response like a
        /// valid request; the connection is closed afterwards.
        std::function<void(const Ptr &, ParseState, const HttpRequestHead &)> onMalformed;

        std::function<bool()> keepsConnectionsOpen; ///< returns whether connections stay open after a response
        std::function<void(const Ptr &, ServerCloseReason)> onClosed; ///< runs once after the connection was closed, as the last callback
    };

    HttpServerConnection(EventLoop &loop, std::shared_ptr<TcpConnection> connection, std::shared_ptr<const Hooks> hooks);

    /// Starts reading requests.
    void start();

    /// Closes the connection if there is no request in progress and no input of another one.
    void closeIfIdle();

    /// Resets the connection and handles this like a disconnect of the client.
    void abortAsPeerClosed();

    /// Runs \a onPeerClosed if the client disconnects before the response to the current request was written.
    void setPeerClosedHandler(std::function<void()> onPeerClosed);

    /// Runs \a onInterrupt if interrupt() is called before the response to the current request was written. It has to end the request at
    /// once, with a response or with abort().
    void setInterruptHandler(std::function<void()> onInterrupt);

    /// Ends the request in progress, if there is one whose owner can.
    void interrupt();

    /// Runs \a onDrained each time all buffered output has been handed to the system.
    void setDrainedHandler(std::function<void()> onDrained);

    /// Sends a response with its whole body.
    void respond(HttpResponseHead head, std::string_view body);

    /// Begins a chunked response; \a part is the first part of its body and may be empty.
    void beginStream(HttpResponseHead head, std::string_view part);

    /// Sends a part of a chunked response.
    void sendChunk(std::string_view part);

    /// Completes a chunked response.
    void endStream();

    /// Resets the connection, so that the client cannot mistake an incomplete chunked response for a complete one.
    void abort();

    /// Returns the number of bytes that are not yet handed to the system.
    std::size_t unsentBytes() const
    {
        return m_connection->unsentBytes();
    }

    bool isClosed() const
    {
        return m_closed;
    }

private:
    void handleData(std::string_view bytes);
    void readRequests();
    void beginRequest();
    void rejectRequest(ParseState state);
    void dispatchRequest();
    void handleResponseSent();
    void handlePeerClosed();
    void closeWhenSent();
    void closeAfterDiscardingInput();
    void close(ServerCloseReason reason);
    /// Whether bytes of a response wait to be sent, or bytes of a request, or the end of the connection, wait to be read.
    bool hasPendingBytes() const;
    void armTimer();
    void checkTimeouts();

    EventLoop &m_loop;
    std::shared_ptr<TcpConnection> m_connection;
    std::shared_ptr<const Hooks> m_hooks;
    HttpServerLimits m_limits; ///< as of the last response; of the start before the first one
    std::optional<HttpRequestParser> m_parser; ///< of the request that is being received
    std::string m_input; ///< input that is not parsed yet, such as pipelined requests
    std::function<void()> m_onPeerClosed;
    std::function<void()> m_onInterrupt;
    std::function<void()> m_onDrained;
    TimerId m_timer = 0;
    absl::Time m_phaseStart; ///< start of the current phase: idle, or receiving a request
    bool m_requestInProgress = false;
    bool m_requestKeepsAlive = true;
    bool m_responseHasNoBody = false;
    bool m_hasUnreadInput = false; ///< the request was rejected before it was read completely
    bool m_closed = false;
};

}
