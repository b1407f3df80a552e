#pragma once

#include "apricotladderd/entry/entryloop.h"
#include "protocol/httpparser.h"
#include "state/errorkind.h"
#include "transport/tcpconnection.h"

#include <absl/time/time.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Apricot {

class PlainCall;
class StreamCall;

/**
 * \class CallerConnection
 * \brief One caller's connection: reads its requests one after another and writes the answers.
 *
 * A connection on which a call is under way is never closed before the call has its answer, unless the caller leaves.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(EntryLoop &loop, std::shared_ptr<TcpConnection> connection);
    ~CallerConnection();

    void start();

    /// Closes the connection if no request has begun on it.
    void closeIfIdle();

    // For the call under way. Each of the first two, endStream() and breakOff() ends it.

    /// Answers with a whole body.
    void answer(HttpResponseHead head, std::string_view body);

    /// Answers with an error of ours; \a retryAfter tells the caller when to come back.
    void answerError(ErrorKind kind, std::optional<absl::Duration> retryAfter, std::string_view detail);

    /// Begins an answer in chunks with its first events.
    void beginStream(HttpResponseHead head, std::string_view events);
    void sendEvents(std::string_view events);

    /// Completes a stream.
    void endStream(std::string_view lastEvents);

    /// Ends a stream so that it cannot be taken for complete.
    void breakOff();

    /// Bytes that the caller has not read yet.
    std::size_t unsentBytes() const
    {
        return m_connection->unsentBytes();
    }

    /// Runs \a drained each time the caller has caught up.
    void setDrained(std::function<void()> drained);

private:
    using Call = std::variant<std::monostate, std::shared_ptr<PlainCall>, std::shared_ptr<StreamCall>>;

    bool isBusy() const;
    void take(std::string_view bytes);
    void readRequests();
    void startCall();
    void refuseMalformed(ParseState state);
    void callEnded();
    void ended();
    void close();
    void armTimer();
    void checkTime();
    bool keepsOpen() const;

    EntryLoop &m_loop;
    std::shared_ptr<TcpConnection> m_connection;
    HttpRequestParser m_parser;
    std::string m_input; ///< what came after the request under way
    Call m_call;
    std::function<void()> m_drained;
    TimerId m_timer = 0;
    absl::Time m_since; ///< begin of the present phase: idle, or a request that is coming in
    bool m_requestKeepsAlive = true;
    bool m_answerHasNoBody = false;
    bool m_closed = false;
};

}
