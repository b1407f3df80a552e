#pragma once

#include "transport/eventloop.h"
#include "transport/httpmessage.h"
#include "transport/httpparser.h"
#include "transport/tcpconnection.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace Apricot {

/// How the end of a response's body is marked.
enum class BodyFraming : std::uint8_t {
    Delimited, ///< by a length, or by chunks for a stream
    UntilClose, ///< only by the end of the connection
};

/**
 * \class SoakServerConnection
 * \brief Server side of one connection to an engine of the soak. Unlike HttpServerConnection, it can also break the rules of HTTP.
 *
 * Used only on the thread of its event loop. All output is held back while the connection is silent, and sent in order afterwards.
 */
class SoakServerConnection : public std::enable_shared_from_this<SoakServerConnection>
{
public:
    using Ptr = std::shared_ptr<SoakServerConnection>;

    struct Hooks
    {
        std::function<void(const Ptr &, const HttpRequestHead &, const std::string &body)> onRequest;
        std::function<void(const Ptr &)> onClosed;
    };

    SoakServerConnection(EventLoop &loop, std::shared_ptr<TcpConnection> connection, std::shared_ptr<const Hooks> hooks);

    void start();

    /// Holds back all output, or sends what was held back.
    void setSilent(bool silent);

    /// Sends a complete response.
    void respond(const HttpResponseHead &head, std::string_view body, BodyFraming framing);

    /// Sends the head of a stream.
    void beginStream(const HttpResponseHead &head, BodyFraming framing);
    void sendPart(std::string_view part);

    /// Completes a stream.
    void endStream();

    /// Sends \a bytes as they are.
    void write(std::string_view bytes);

    /// Runs \a task when all output before it has been sent.
    void afterOutput(std::function<void()> task)
    {
        perform(std::move(task));
    }

    /// Closes the connection in order.
    void close();

    /// Resets the connection.
    void abort();

    bool isClosed() const
    {
        return m_isClosed;
    }

private:
    using Output = std::function<void()>;

    void handleData(std::string_view bytes);
    void readRequest();
    void handleClosed();
    void perform(Output output);
    void finishResponse();

    EventLoop &m_loop;
    std::shared_ptr<TcpConnection> m_connection;
    std::shared_ptr<const Hooks> m_hooks;
    HttpRequestParser m_parser;
    std::string m_input; ///< input that is not parsed yet
    std::deque<Output> m_heldOutput;
    BodyFraming m_framing = BodyFraming::Delimited;
    bool m_isSilent = false;
    bool m_hasRequest = false;
    bool m_keepsAlive = true;
    bool m_isClosed = false;
};

}
