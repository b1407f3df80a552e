#pragma once

#include "transport/eventloop.h"
#include "transport/httpparser.h"
#include "transport/tcpconnection.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <netinet/in.h>
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
    absl::Duration receiveTimeout = absl::Seconds(60); ///< maximum time to receive a whole request, also while its bytes keep arriving
};

/// What a connection is doing.
enum class ConnectionPhase {
    Idle, ///< between requests
    Receiving, ///< a part of a request has been received
    Responding, ///< the owner has the request and has not completed its response
    Sending, ///< the response is complete, and a part of it may not have reached the client
};

/// What a connection holds in memory.
struct ConnectionUse
{
    ConnectionPhase phase = ConnectionPhase::Idle;
    std::size_t bytes = 0;
    std::size_t systemBytes = 0; ///< of responses, which the system holds until the client acknowledges them
    std::uint32_t peerAddress = 0; ///< IPv4 address of the client
    absl::Time lastProgress; ///< when the client last sent or received a byte
    bool isHeldBack = false; ///< there is input that is not read, because the owner has paused reading
    bool hasCompletedRequest = false; ///< a whole request has been received since the connection was opened
    bool isNewRequest = false; ///< the head of the request has just been received, or the whole request
};

/// Whether a connection may go on reading.
enum class ReadPermission {
    Read,
    Pause, ///< stops reading until reviewUse() gets another permission
    Refuse, ///< refuses the request that is being received
};

/// Why the connection of a client was closed.
enum class ServerCloseReason {
    PeerClosed, ///< the client disconnected
    AfterResponse, ///< closed after a response, as the client or the owner wanted
    IdleTimeout, ///< no whole request was received, or nothing of a response was read, within the idle timeout
    Stopped, ///< the listener stopped while no request was in progress
    Aborted, ///< reset to end an incomplete response
    Replaced, ///< closed in order for another connection while it was idle
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

        /// Handles a request that a ReadPermission refuses, with its head. It needs a response; the connection is closed afterwards.
        std::function<void(const Ptr &, const HttpRequestHead &)> onRefused;

        /// Decides whether the connection may go on reading. Runs whenever what it holds has changed.
        std::function<ReadPermission(const Ptr &, const ConnectionUse &)> onUse;

        std::function<bool()> keepsConnectionsOpen; ///< returns whether connections stay open after a response
        std::function<void(const Ptr &, ServerCloseReason)> onClosed; ///< runs once after the connection was closed, as the last callback
    };

    HttpServerConnection(EventLoop &loop, std::shared_ptr<TcpConnection> connection, std::shared_ptr<const Hooks> hooks);

    /// Starts reading requests.
    void start();

    /// Closes the connection if there is no request in progress, no input of another one, and no response on its way to the client.
    void closeIfIdle();

    /// Ends the connection at once: in order if its last response is complete, so that the system goes on sending what it holds of it;
    /// else by a reset, which is handled like a disconnect of the client.
    void closeNow();

    /// Closes the connection in order, for another one, if it is between requests or only a part of a head has been received; refuses a
    /// request whose head has been received. The connection stays open if a request is in progress or a response is on its way to the
    /// client, and until its next response if there is input that has not been read.
    void closeForAnother();

    /// Runs \a onPeerClosed if the client disconnects before the response to the current request was written.
    void setPeerClosedHandler(std::function<void()> onPeerClosed);

    /// Runs \a onInterrupt if interrupt() is called before the response to the current request was written. It has to end the request at
    /// once, with a response or with abort().
    void setInterruptHandler(std::function<void()> onInterrupt);

    /// Ends the request in progress, if there is one whose owner can, or lets the system send the rest of a complete response by itself.
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

    /// Asks the owner again whether the connection may read, and records what it holds.
    void reviewUse();

    /// Records that the last response has reached the client, if the system tells so.
    void reviewDelivery();

    /// Frees what the connection holds at once: refuses the request that is being received, or else resets the connection.
    void evict();

    /// Number of bytes that the connection holds.
    std::size_t heldBytes() const;

    /// Whether the owner has paused reading.
    bool isPaused() const
    {
        return m_isPaused;
    }

    /// Returns the address of the client as "IP:port".
    std::string peerAddressText() const;

    /// A number of the owner's choice that identifies the connection.
    std::uint64_t tag() const
    {
        return m_tag;
    }

    void setTag(std::uint64_t tag)
    {
        m_tag = tag;
    }

    /// Returns the number of bytes that are not yet handed to the system.
    std::size_t unsentBytes() const
    {
        return m_connection->unsentBytes();
    }

    /// Asks the system how many bytes of responses have not reached the client, buffered ones included.
    std::size_t undeliveredBytes() const
    {
        m_connection->refreshDelivery(absl::ZeroDuration());
        return m_connection->unsentBytes() + m_connection->systemBytes();
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
    /// Frees what was received of a request that gets a response instead of being read further; returns its head.
    HttpRequestHead endReading();
    void refuseRequest();
    void dispatchRequest();
    /// Applies the owner's decision about what the connection holds; returns whether it may read on.
    bool requestPermission(bool isNewRequest);
    ConnectionPhase phase() const;
    void continueReading();
    void handleDrained();
    void handleDeliveryChecked();
    void handleResponseSent();
    /// The idle time of a kept connection begins when its response has reached the client.
    void updateIdleStart();
    /// Reports what the connection holds if that has grown by much since the last report.
    void reportGrowth();
    void abortAsPeerClosed();
    void handlePeerClosed(ServerCloseReason reason = ServerCloseReason::PeerClosed);
    /// Whether the client has taken nothing of what waits for it for the idle timeout.
    bool hasStoppedReading() const;
    void closeWhenDelivered();
    void closeIfDelivered();
    void closeAfterDiscardingInput();
    /// Reads no further request, and discards what the client sends until the connection is closed.
    void beginClosing();
    void discardInput(std::size_t bytes);
    void armLingerTimer();
    void close(ServerCloseReason reason);
    /// Whether the owner has completed the response to the last request, or has not got one.
    bool hasCompletedResponse() const
    {
        return !m_requestInProgress || m_isEnding;
    }
    /// Whether bytes of a request, or the end of the connection, wait to be read.
    bool hasUnreadBytes() const;
    /// Asks the system whether a response is on its way to the client.
    bool isDelivering();
    void armTimer();
    void checkTimeouts();

    EventLoop &m_loop;
    std::shared_ptr<TcpConnection> m_connection;
    std::shared_ptr<const Hooks> m_hooks;
    HttpServerLimits m_limits; ///< as of the last response; of the start before the first one
    sockaddr_in m_peerAddress;
    std::uint64_t m_tag = 0;
    std::optional<HttpRequestParser> m_parser; ///< of the request that is being received
    std::string m_input; ///< input that is not parsed yet, such as pipelined requests
    std::function<void()> m_onPeerClosed;
    std::function<void()> m_onInterrupt;
    std::function<void()> m_onDrained;
    std::size_t m_requestBytes = 0; ///< held by the owner for the request in progress
    std::size_t m_lastUnsentBytes = 0; ///< as of the last report
    std::size_t m_lastSystemBytes = 0; ///< as of the last report
    std::size_t m_discardedBytes = 0; ///< after the response to a rejected request
    TimerId m_timer = 0;
    absl::Time m_phaseStart; ///< start of the current phase: idle, or receiving a request
    absl::Time m_lastProgress; ///< when the client last sent or received a byte
    bool m_isPaused = false; ///< by the owner, through a ReadPermission
    bool m_isHeadReported = false; ///< the owner knows the head of the request that is being received
    bool m_hasCompletedRequest = false;
    bool m_isEnding = false; ///< no request is read any more
    bool m_awaitsDelivery = false; ///< the last response is complete and may not have reached the client
    bool m_closesAfterResponse = false; ///< the owner needs its place for another connection
    bool m_requestInProgress = false;
    bool m_requestKeepsAlive = true;
    bool m_responseHasNoBody = false;
    bool m_hasUnreadInput = false; ///< the request was rejected before it was read completely
    bool m_closed = false;
};

}
