#pragma once

#include "transport/eventloop.h"
#include "transport/httpparser.h"
#include "transport/tcpconnection.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Apricot {

/// What the other side may send, and how long it may take.
struct HttpServerLimits
{
    ParseLimits parse;
    absl::Duration headerTimeout = absl::Seconds(10); ///< for the whole head of a request
    absl::Duration idleTimeout = absl::Seconds(30); ///< between requests
};

/**
 * \class HttpServerConnection
 * \brief The server's side of one connection: reads requests one after another and writes their answers.
 *
 * A connection on which a request is under way is never closed before the answer, unless the other side leaves.
 */
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    using Self = std::shared_ptr<HttpServerConnection>;

    /// What the owner decides. They run on the loop's thread.
    struct Hooks
    {
        std::function<HttpServerLimits()> limits; ///< asked for each request

        /// A whole request is here. It is answered by one of answer(), endStream() and breakOff(), at once or later.
        std::function<void(const Self &, HttpRequestHead, std::string body)> request;

        /// What came is no request or is over a limit; answered like a request. The connection is closed afterwards.
        std::function<void(const Self &, ParseState)> malformed;

        std::function<bool()> keepsOpen; ///< whether connections stay open after an answer
        std::function<void(const Self &)> closed; ///< the last that is heard of the connection
    };

    HttpServerConnection(EventLoop &loop, std::shared_ptr<TcpConnection> connection, std::shared_ptr<const Hooks> hooks);

    void start();

    /// Closes the connection if no request has begun on it.
    void closeIfIdle();

    /// Ends the connection as if the other side had left.
    void abandon();

    /// Runs \a gone if the other side leaves before the request under way has its answer.
    void setGone(std::function<void()> gone);

    /// Runs \a drained each time the other side has caught up with what was written.
    void setDrained(std::function<void()> drained);

    /// Answers with a whole body.
    void answer(HttpResponseHead head, std::string_view body);

    /// Begins an answer in chunks, with its first part.
    void beginStream(HttpResponseHead head, std::string_view part);
    void sendPart(std::string_view part);

    /// Completes an answer in chunks.
    void endStream();

    /// Ends the connection so that an answer in chunks cannot be taken for complete.
    void breakOff();

    /// Bytes that the other side has not read yet.
    std::size_t unsentBytes() const
    {
        return m_connection->unsentBytes();
    }

    bool isClosed() const
    {
        return m_closed;
    }

private:
    void take(std::string_view bytes);
    void readRequests();
    void giveUpRequest(ParseState state);
    void handOver();
    void requestAnswered();
    void otherSideLeft();
    void closeAfterRest();
    void close();
    void armTimer();
    void checkTime();

    EventLoop &m_loop;
    std::shared_ptr<TcpConnection> m_connection;
    std::shared_ptr<const Hooks> m_hooks;
    HttpServerLimits m_limits;
    HttpRequestParser m_parser;
    std::string m_input; ///< what came after the request under way
    std::function<void()> m_gone;
    std::function<void()> m_drained;
    TimerId m_timer = 0;
    absl::Time m_since; ///< begin of the present phase: idle, or a request that is coming in
    bool m_busy = false;
    bool m_requestKeepsAlive = true;
    bool m_answerHasNoBody = false;
    bool m_hasUnreadRest = false; ///< the request was given up before all of it was read
    bool m_closed = false;
};

}
